//! A log that the fleet agrees on. `docs/agreement.md` has the design and what is promised.
//!
//! Few voters decide entries; every other front learns them. A front that *holds* knows for a stated time that nothing
//! newer takes effect without it. Time, messages and the disk's answers are handed in; [`Store`](store::Store) alone
//! does I/O.

mod journal;
pub mod store;
pub mod types;
pub mod voter;

pub use types::*;
