//! Membership of the fronts: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnation numbers, based
//! on the foca crate.
//!
//! [`Membership`] does no I/O: messages and times go in, messages and changes of the view come out. Transport
//! and authentication of messages are the task of the exchange. The view determines only which fronts share
//! work; it never allows an action or forbids one, so a wrong view cannot break a rule of placement.
//!
//! In addition to the protocol:
//! - Runs of a front (from a start to the next) have ascending numbers; see [`Member`].
//! - Time during which this front's process was suspended does not count as time in which other members failed
//!   to answer.
//! - Seeds that are not in the view are contacted again and again, so that a partition of any length heals.
//! - A message is accepted only if the sender that it names is the front that sealed it. Run numbers too far in
//!   the future are rejected.

mod member;
mod swim;

pub use member::Member;
pub use swim::{Change, Membership, Output, Rejection, Settings};
