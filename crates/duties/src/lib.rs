//! Periodic duties that fronts share: each duty is done once a round by one of them. Decided here without I/O.
//!
//! A duty is a kind of work on a target, such as asking a node for its load. Time is cut into rounds of the kind's
//! period. In each round the members of the view stand in an order drawn by rendezvous hashing ([`rank`]): the first
//! owns the duty, the next ones stand by and do it, a step apart, if nothing is heard of it. Ownership is a function
//! of view, duty and round: nobody claims it, so no message can seize it, and a member that dies takes along only its
//! own share.
//!
//! Whatever the views, a front acts only where its own draw is low enough ([`is_eligible`]): that it can tell alone, and
//! over all fronts it comes to `most` actions a round, even where each of them believes that it is the owner.
//!
//! Fronts agree on rounds by a clock of the fleet ([`FleetClock`]), the median of theirs.

mod clock;
mod rendezvous;
mod scheduler;

pub use clock::FleetClock;
pub use rendezvous::{DEFAULT_WEIGHT, is_eligible, rank};
pub use scheduler::{
    Counters, Duty, DutyKind, DutyReport, DutyRow, DutyScheduler, DutyState, Output, Rejection, Settings,
    Target, TargetState,
};
