//! A log that the fleet agrees on. `docs/agreement.md` has the design and what is promised.
//!
//! Few voters decide entries; every other front learns them. A front that *holds* knows for a stated time that nothing
//! newer takes effect without it. Time, messages and the disk's answers are handed in; [`Store`](store::Store) alone
//! does I/O.

pub mod catch_up;
pub mod fragments;
pub mod genesis;
mod journal;
pub mod lease;
pub mod node;
pub mod progress;
pub mod proposals;
pub mod registers;
pub mod store;
pub mod types;
pub mod voter;
pub mod wire;

pub use node::{Node, Note, Out, Settings, View};
pub use proposals::Answer;
pub use registers::{Outcome, Register, Registers, sound_voters};
pub use store::{Kept, KeptLog, Op, Store, StoreError};
pub use types::*;
