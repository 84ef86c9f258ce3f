//! What the fleet agrees on, rehearsed: fronts as processes behind relays, operators who change the policy while fronts are
//! killed, stopped and cut off, viewers all the while; judged from sockets and consoles.
//!
//! - [`plan`]: what is asked and what goes wrong when, as a file and from a seed.
//! - [`run`]: plays a plan.
//! - [`operators`]: those who ask for changes.
//! - [`checker`]: the rules. It shares no code with what it judges.
//! - [`figures`]: times, service and refusals.

pub mod checker;
pub mod figures;
pub mod operators;
pub mod plan;
pub mod run;
