//! Membership of the fronts: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnation numbers, based
//! on the foca crate.
//!
//! [`Membership`] does no I/O: messages and times go in, messages and changes of the view come out. Transport
//! and authentication of messages are the task of the exchange. None of the six rules of the service depends
//! on the view: it determines which fronts share work, not which actions are allowed.
//!
//! In addition to the protocol:
//! - Runs of a front are distinguished by a run number that only rises; see [`Member`].
//! - Time during which this front did not run does not count as time in which other members failed to answer.
//! - Seeds that are not in the view are contacted again and again, so that a partition of any length heals.
//! - A message is accepted only if its sender is the front that sealed it. Runs too far in the future are
//!   rejected.

mod member;
mod swim;

pub use member::Member;
pub use swim::{Change, Membership, Output, Rejection, Settings};
