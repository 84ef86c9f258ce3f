//! Rehearsals of the agreement on the policy: fronts run as processes behind relays, operators change the policy while
//! fronts are killed, suspended and isolated, and viewers request sessions. Checked by sockets and consoles.
//!
//! - [`plan`]: the requested changes and the schedule of faults, as a file or from a seed.
//! - [`run`]: plays a plan.
//! - [`operators`]: operators who request changes.
//! - [`checker`]: checks the rules. It shares no code with the fronts.
//! - [`figures`]: statistics: times, service and refusals.

pub mod checker;
pub mod figures;
pub mod operators;
pub mod plan;
pub mod run;
