//! Schedules periodic duties that the fronts share: each duty runs once per round, on one of the fronts.
//! Without I/O.
//!
//! A duty is a kind of work on a target, such as asking a node for its load. Time is divided into rounds of
//! the kind's period. In each round the fronts of the view are ranked by rendezvous hashing ([`rank`]): the
//! first owns the duty, the next ones are standbys. Each standby runs the duty one stagger interval after the
//! front ranked before it, unless a report says that the duty was started or done. Ownership is a function of
//! view, duty and round. No front claims it, so no message can take it away, and the failure of a front
//! affects only its own share.
//!
//! Whatever the views are, a front runs a duty only in rounds in which it is eligible ([`is_eligible`]). Each
//! front can compute this alone. Over all fronts it limits the mean number of runs per round, even if every
//! front considers itself the owner.
//!
//! Fronts agree on rounds by a common clock ([`FleetClock`]), the median of their clocks.

mod clock;
mod rendezvous;
mod scheduler;

pub use clock::FleetClock;
pub use rendezvous::{DEFAULT_WEIGHT, is_eligible, rank};
pub use scheduler::{
    Counters, Duty, DutyKind, DutyReport, DutyRow, DutyScheduler, DutyState, Output, Rejection, Settings,
    Target, TargetState,
};
