//! The fleet's policy: a versioned document that all fronts agree on, and its change in two steps. No I/O.
//!
//! A [`Policy`] is the part of the settings that is common to the fleet. To change it, all fronts first apply the
//! intersection of the old and the new policy (see [`intersect`]), and only when all have done so the new one. In between, a
//! change can be rolled back. One register of the agreed log holds the policy or the present step of its change, as a
//! [`RegisterState`]; a [`Governor`] on each front applies what the register says and proposes the next step. A change may
//! be made on [`Trial`], to be reversed if service becomes worse. `docs/policy.md` describes the design and its guarantees.

mod answer;
mod change;
mod governor;
mod intersection;
mod policy;
mod trial;

pub use answer::{Answer, Effect, Inapplicable, MAX_OPERATOR_BYTES, PolicyRequest, Timing};
pub use change::{
    MAX_REASON_BYTES, Origin, PolicyChange, RegisterState, SUBJECT, TrialBaseline, UndoneChange,
    UnreadableRegister,
};
pub use governor::{Context, Governor, PolicyChecker};
pub use intersection::{RULES, Rule, can_coexist, intersect, is_within};
pub use policy::{Difference, ImmutableField, MAX_POLICY_BYTES, MAX_REQUEST_BYTES, Policy, PolicyError};
pub use trial::{RequestCounts, ServiceTotals, Trial, TrialMetric, Verdict};
