//! The fleet's policy: a numbered document, and its change in steps that hold everywhere or nowhere. No I/O.
//!
//! `docs/policy.md` has the design, what is promised and what is not. A [`Policy`] is the fleet's part of the settings.
//! [`tighter`] of two is one under which nothing that adds up over the fleet exceeds either. A [`Change`] goes from one to
//! the other by way of it, on one register of the agreed log; a [`Governor`] is one front's part in that.

mod answer;
mod change;
mod governor;
mod intersection;
mod policy;
mod trial;

pub use answer::{Answer, Ask, Effect, MOST_NAME, Pace, Unfit};
pub use change::{Change, MOST_WHY, Made, Proof, SUBJECT, Steps, Undone, Unread};
pub use governor::{Around, Fits, Governor};
pub use intersection::{RULES, Rule, neighbours, tighter, within};
pub use policy::{Difference, Fixed, MOST_ASKED, MOST_TEXT, Policy, PolicyError};
pub use trial::{Counts, Sums, Trial, Verdict, Watch};
