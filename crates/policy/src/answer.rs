//! What operators ask and are told, and what a governor wants done.

use crate::change::{Made, Undone};
use crate::policy::{Difference, Policy};
use crate::trial::Trial;
use pepperhook_agreement::Command;
use std::fmt;

/// Bytes of an operator's name at most.
pub const MOST_NAME: usize = 64;

/// Times of a governor, ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// A first step that stood so long without being settled is undone. Long against the hold, so that a front that is down
    /// does not undo a change.
    pub first_ms: u32,
    /// Where the leader does not drive a step the author does after half this time, the others after one to four times it.
    pub drive_ms: u64,
    /// What was proposed is proposed again after this time if the register has not moved.
    pub again_ms: u64,
    /// An operator is told that nothing is known of a change after this time.
    pub ask_ms: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self { first_ms: 30_000, drive_ms: 500, again_ms: 3_000, ask_ms: 10_000 }
    }
}

/// An operator's wish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Names the change. Drawn once; the same when the same change is asked for again, at any front.
    pub key: u128,
    /// The operator, as they call themselves.
    pub name: String,
    /// The version that the operator looked at.
    pub against: u64,
    /// The whole policy, in the settings' form.
    pub text: String,
    /// Only says what would be.
    pub dry_run: bool,
    /// Undo the change if service becomes worse by it.
    pub trial: Option<Trial>,
}

/// Why a front cannot go by a policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Unfit {
    /// The front.
    pub front: u64,
    /// Its reason.
    pub why: String,
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The first step is decided. [`Answer::Stands`] or [`Answer::Undone`] follows.
    Accepted {
        /// The version that the change makes.
        version: u64,
        /// Number of the entry.
        number: u64,
    },
    /// The change is through: the policy stands.
    Stands {
        /// Its version.
        version: u64,
    },
    /// The change was undone: the one before stands.
    Undone(Undone),
    /// What would be. Nothing was proposed.
    Dry {
        /// The version that the change would make.
        version: u64,
        /// What it changes.
        changes: Vec<Difference>,
        /// What the first step changes.
        first: Vec<Difference>,
    },
    /// The policy that was asked for stands.
    Same {
        /// Its version.
        version: u64,
    },
    /// The version that was looked at no longer stands.
    Conflict {
        /// The one who asked.
        asked: Made,
        /// The version that they looked at.
        against: u64,
        /// The version that stands, or that is being made.
        stands: u64,
        /// Who made it.
        made: Made,
    },
    /// A change is under way; ask again when it is through.
    UnderWay {
        /// The version that it makes.
        version: u64,
        /// Its step.
        step: &'static str,
        /// Who asked for it.
        made: Made,
    },
    /// The trial of this version is being ended: it stands. [`Answer::Stands`] follows for who asked for it.
    Keeping {
        /// The version.
        version: u64,
    },
    /// The document is none, or changes what it may not; why, with lines where there are any.
    Refused(String),
    /// This front cannot go by it.
    Unfit(Unfit),
    /// The fleet has not agreed on a policy yet, or this edition cannot read what it agreed on.
    NotAgreed,
    /// Too many changes wait at this front.
    Busy,
    /// It is not known whether it was decided: ask again with the same key.
    Unknown,
}

fn lines(f: &mut fmt::Formatter<'_>, head: &str, all: &[Difference]) -> fmt::Result {
    write!(f, "\n  {head}:")?;
    all.iter().try_for_each(|d| write!(f, "\n    {d}"))
}

impl fmt::Display for Made {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (at front {})", self.name, self.front)
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { version, number } => write!(f, "accepted as version {version}, entry {number}"),
            Self::Stands { version } => write!(f, "version {version} stands everywhere"),
            Self::Undone(u) => write!(f, "version {} was undone by front {}: {}", u.version, u.by, u.why),
            Self::Dry { version, changes, first } => {
                write!(f, "would be version {version}")?;
                lines(f, "it changes", changes)?;
                lines(f, "of that in the first step", first)
            }
            Self::Same { version } => {
                write!(f, "nothing to change: version {version} stands and says the same")
            }
            Self::Conflict { asked, against, stands, made } => write!(
                f,
                "conflict: {asked} changed version {against}, but version {stands} by {made} came before"
            ),
            Self::UnderWay { version, step, made } => {
                write!(
                    f,
                    "version {version} by {made} is under way, step {step}: ask again when it is through"
                )
            }
            Self::Keeping { version } => {
                write!(f, "the trial of version {version} is being ended, it stands")
            }
            Self::Refused(why) => write!(f, "refused: {}", why.trim_end()),
            Self::Unfit(Unfit { front, why }) => write!(f, "refused: front {front} cannot go by it: {why}"),
            Self::NotAgreed => write!(f, "the fleet has agreed on no policy that this front can read"),
            Self::Busy => write!(f, "too many changes wait at this front"),
            Self::Unknown => write!(f, "not known whether it was decided: ask again with the same key"),
        }
    }
}

/// What a governor wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Propose this to the agreement.
    Propose(Command),
    /// The front goes by this policy from now on. It has to be carried out before any [`Effect::Vouch`] that follows.
    InForce {
        /// The version that stands or is being made.
        version: u64,
        /// The step, as [`crate::Change::step`] has it.
        step: &'static str,
        /// The policy.
        policy: Policy,
    },
    /// The front goes by all entries up to this.
    Vouch(u64),
    /// The answer to the ask of this key.
    Told {
        /// The key.
        key: u128,
        /// The answer.
        answer: Answer,
    },
    /// The front cannot go by what was decided; why. It vouches for nothing until that changes.
    Stuck(String),
}
