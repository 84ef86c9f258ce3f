//! Which fronts are there: SWIM (Das, Gupta, Motivala 2002) with suspicion and incarnation numbers, by the foca
//! crate.
//!
//! [`Membership`] is without I/O: messages and time go in, messages and changes of the view come out. How they
//! travel, sealed and checked for who sent them, is the exchange's. Nothing of the six rules needs the view: it says
//! who shares the work, not what may be done.
//!
//! What is added to the protocol:
//! - A member is told from its earlier runs by its run number, which only rises; see [`Member`].
//! - A front that stood still does not hold it against the others: time that passed unseen does not count as time in
//!   which they did not answer.
//! - Seeds are asked again as long as they are not in the view, so that a partition heals however long it lasted.
//! - A message speaks for the front whose seal it came under, and no run is believed that lies in the future.

mod member;
mod swim;

pub use member::Member;
pub use swim::{Change, Membership, Output, Rejection, Settings};
