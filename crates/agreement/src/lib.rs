//! A replicated log that the fronts of a fleet agree on. `docs/agreement.md` has the design and its
//! guarantees.
//!
//! A few voters decide the entries; every other front learns them. A front that holds a *lease* knows that
//! until the lease expires no newer entry takes effect in the fleet unless this front has confirmed it. Time,
//! messages and the results of disk writes are passed in as arguments; only [`Store`](store::Store) does I/O.

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

pub use node::{Node, Note, Output, Settings, View};
pub use proposals::ProposalResult;
pub use registers::{Outcome, Register, Registers, valid_voters};
pub use store::{Store, StoreError, StoreOp, StoredLog, StoredState};
pub use types::*;
