//! A log that the fleet agrees on. `docs/agreement.md` has the design and what is promised.
//!
//! Few voters decide entries; every other front learns them. A front that *holds* knows for a stated time that nothing
//! newer takes effect without it. Time, messages and the disk's answers are handed in; [`Store`](store::Store) alone
//! does I/O.

pub mod hold;
pub mod learn;
pub mod parcel;
pub mod registers;
pub mod types;

pub use registers::{Outcome, Register, Registers};
pub use types::*;
