//! Requests of operators, their answers, and the effects of a governor.

use crate::change::{Origin, UndoneChange};
use crate::policy::{Difference, Policy};
use crate::trial::Trial;
use pepperhook_agreement::Command;
use std::fmt;

/// Limit of an operator's name, bytes.
pub const MAX_OPERATOR_BYTES: usize = 64;

/// Times of a governor, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// A first step whose entry is not stable after this time is rolled back. It is several times the lease, so that a front
    /// that is down does not cause that: its lease expires first.
    pub first_step_timeout_ms: u32,
    /// Delay before fronts other than the leader propose the next step: half of it for the change's author, one to four
    /// times it for the others.
    pub proposal_delay_ms: u64,
    /// Interval at which a proposal is repeated while the register does not change.
    pub repeat_ms: u64,
    /// Time after which a request without a decision is answered with [`Answer::Unknown`].
    pub answer_timeout_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            first_step_timeout_ms: 30_000,
            proposal_delay_ms: 500,
            repeat_ms: 3_000,
            answer_timeout_ms: 10_000,
        }
    }
}

/// An operator's request for another policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyRequest {
    /// Idempotency key: random, and the same when the request is repeated, at any front.
    pub key: u128,
    /// The operator's name.
    pub name: String,
    /// The version from which the operator started.
    pub base_version: u64,
    /// The whole policy, in the syntax of the settings.
    pub text: String,
    /// Check the request and describe the change without making it.
    pub dry_run: bool,
    /// Reverse the change if the service becomes worse.
    pub trial: Option<Trial>,
}

/// A front that cannot apply a policy, and why.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Inapplicable {
    /// The front.
    pub front: u64,
    /// The reason.
    pub reason: String,
}

/// Answer to an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The first step is decided. [`Answer::Completed`] or [`Answer::Undone`] follows.
    Accepted {
        /// The version of the new policy.
        version: u64,
        /// Number of the step's log entry.
        entry: u64,
    },
    /// The change is completed: the policy is active on all fronts.
    Completed {
        /// Its version.
        version: u64,
    },
    /// The change was undone: the former policy is active.
    Undone(UndoneChange),
    /// Result of a dry run. Nothing was proposed.
    DryRun {
        /// The version that the new policy would have.
        version: u64,
        /// The settings that it would change.
        changes: Vec<Difference>,
        /// The settings that the first step would change.
        first: Vec<Difference>,
    },
    /// The requested policy is already active.
    Unchanged {
        /// Its version.
        version: u64,
    },
    /// The version from which the operator started is not the active one.
    Conflict {
        /// Who made the request.
        requester: Origin,
        /// The version from which the operator started.
        base_version: u64,
        /// The active version, or the version of the change in progress.
        current_version: u64,
        /// Who requested that.
        origin: Origin,
    },
    /// Another change is in progress; the request can be repeated when it is completed.
    ChangeInProgress {
        /// The version of that change.
        version: u64,
        /// Its step, as [`crate::RegisterState::step`] names it.
        step: &'static str,
        /// Who requested it.
        origin: Origin,
    },
    /// The trial of this version is being ended and the version kept. The requester of the change gets
    /// [`Answer::Completed`].
    EndingTrial {
        /// The version.
        version: u64,
    },
    /// The request is invalid, or changes what must not change; the reason, with line numbers if it concerns the text.
    Refused(String),
    /// This front cannot apply the policy.
    Inapplicable(Inapplicable),
    /// The fleet has not agreed on a policy yet, or this release cannot read it.
    NotAgreed,
    /// Too many requests are pending at this front.
    Busy,
    /// The outcome is unknown; the request can be repeated with the same key.
    Unknown,
}

fn write_differences(f: &mut fmt::Formatter<'_>, head: &str, all: &[Difference]) -> fmt::Result {
    write!(f, "\n  {head}:")?;
    all.iter().try_for_each(|d| write!(f, "\n    {d}"))
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (at front {})", self.name, self.front)
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { version, entry } => write!(f, "accepted as version {version}, entry {entry}"),
            Self::Completed { version } => write!(f, "version {version} stands everywhere"),
            Self::Undone(u) => write!(f, "version {} was undone by front {}: {}", u.version, u.by, u.reason),
            Self::DryRun { version, changes, first } => {
                write!(f, "would be version {version}")?;
                write_differences(f, "it changes", changes)?;
                write_differences(f, "of that in the first step", first)
            }
            Self::Unchanged { version } => {
                write!(f, "nothing to change: version {version} stands and says the same")
            }
            Self::Conflict { requester, base_version, current_version, origin } => write!(
                f,
                "conflict: {requester} changed version {base_version}, but version {current_version} by {origin} came before"
            ),
            Self::ChangeInProgress { version, step, origin } => {
                write!(
                    f,
                    "version {version} by {origin} is under way, step {step}: ask again when it is through"
                )
            }
            Self::EndingTrial { version } => {
                write!(f, "the trial of version {version} is being ended, it stands")
            }
            Self::Refused(reason) => write!(f, "refused: {}", reason.trim_end()),
            Self::Inapplicable(Inapplicable { front, reason }) => {
                write!(f, "refused: front {front} cannot go by it: {reason}")
            }
            Self::NotAgreed => write!(f, "the fleet has agreed on no policy that this front can read"),
            Self::Busy => write!(f, "too many changes wait at this front"),
            Self::Unknown => write!(f, "not known whether it was decided: ask again with the same key"),
        }
    }
}

/// An effect that the governor's caller executes, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Propose this command to the agreement.
    Propose(Command),
    /// Apply this policy from now on. It must be applied before any [`Effect::Confirm`] that follows is executed.
    Activate {
        /// The policy's version, or that of the change in progress.
        version: u64,
        /// The step, as [`crate::RegisterState::step`] names it.
        step: &'static str,
        /// The policy.
        policy: Policy,
    },
    /// Confirm that this front has applied all entries up to this one.
    Confirm(u64),
    /// Answer the request with this key.
    Answer {
        /// The key.
        key: u128,
        /// The answer.
        answer: Answer,
    },
    /// The front cannot apply the agreed policy, for this reason. It confirms no entry until that changes.
    CannotApply(String),
}
