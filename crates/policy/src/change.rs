//! What the register of the policy says: which policy stands, or which step of a change.

use crate::policy::{MOST_TEXT, Policy};
use crate::trial::{Counts, Trial};
use pepperhook_agreement::{MAX_BODY_BYTES, Subject};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The register of the policy.
pub const SUBJECT: Subject = Subject { space: 1, number: 0 };
/// Bytes of a reason that are kept at most.
pub const MOST_WHY: usize = 256;

/// Who made a policy or asked for a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Made {
    /// Names the change; drawn by who asks, the same when they ask again.
    pub key: u128,
    /// The front that was asked.
    pub front: u64,
    /// The operator, as they call themselves.
    pub name: String,
}

/// A change that was undone, and why.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Undone {
    /// The version it would have been.
    pub version: u64,
    /// Who asked for it.
    pub made: Made,
    /// The front that undid it.
    pub by: u64,
    /// Its reason.
    pub why: String,
}

/// A trial with what it compares to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proof {
    /// The trial.
    pub trial: Trial,
    /// What it watches, over its time before the change.
    pub before: Counts,
}

/// A change under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Steps {
    /// The version that it makes.
    pub version: u64,
    /// Who asked for it.
    pub made: Made,
    /// The version that it comes after.
    pub old_version: u64,
    /// Who made that.
    pub old_made: Made,
    /// The policy that it comes after.
    pub old: String,
    /// The policy that it makes.
    pub new: String,
    /// The first step is undone where it has stood so long without being settled.
    pub first_ms: u32,
    /// Judged by service before it stands.
    pub proof: Option<Proof>,
    /// The change that this one undoes, since its trial went badly.
    pub undoes: Option<Undone>,
}

/// What the register says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// No change is under way.
    Stands {
        /// The version that stands.
        version: u64,
        /// The highest version that was ever asked for.
        last: u64,
        /// The policy.
        policy: String,
        /// Who made it.
        made: Made,
        /// The change that was undone last, if none was made since.
        undone: Option<Undone>,
    },
    /// Everyone goes by the tighter of both. It can be undone.
    First(Steps),
    /// Everyone goes by the new one. Only forward.
    Second(Steps),
    /// Everyone goes by the new one, and service is watched.
    Trial {
        /// The change.
        steps: Steps,
        /// The sums that are watched, as the trial began.
        from: Counts,
    },
    /// Everyone goes by the old one again; another change can begin only once nobody goes by the tighter any more.
    Back {
        /// The change.
        steps: Steps,
        /// The front that undid it.
        by: u64,
        /// Its reason.
        why: String,
    },
}

/// Bytes that are no such thing, or of a later edition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the register of the policy says what this edition cannot read")]
pub struct Unread;

#[derive(Serialize, Deserialize)]
enum Wire {
    V1(Change),
}

impl Change {
    /// The bytes of a command's body; `None` if they are too many.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(&Wire::V1(self.clone())).ok()?;
        (bytes.len() <= MAX_BODY_BYTES).then_some(bytes)
    }

    /// Reads them.
    ///
    /// # Errors
    /// They are none, too many, of a later edition, or hold a policy that is none.
    pub fn decode(bytes: &[u8]) -> Result<Self, Unread> {
        if bytes.len() > MAX_BODY_BYTES {
            return Err(Unread);
        }
        let (Wire::V1(change), rest) = postcard::take_from_bytes(bytes).map_err(|_| Unread)?;
        let texts: &[&str] = match &change {
            Self::Stands { policy, .. } => &[policy],
            Self::First(s) | Self::Second(s) | Self::Trial { steps: s, .. } | Self::Back { steps: s, .. } => {
                &[&s.old, &s.new]
            }
        };
        let fits = rest.is_empty() && texts.iter().all(|t| t.len() <= MOST_TEXT);
        if fits { Ok(change) } else { Err(Unread) }
    }

    /// The step's name.
    #[must_use]
    pub fn step(&self) -> &'static str {
        match self {
            Self::Stands { .. } => "stands",
            Self::First(_) => "first",
            Self::Second(_) => "second",
            Self::Trial { .. } => "trial",
            Self::Back { .. } => "back",
        }
    }

    /// The version that stands or is being made.
    #[must_use]
    pub fn version(&self) -> u64 {
        match self {
            Self::Stands { version, .. } => *version,
            Self::First(s) | Self::Second(s) | Self::Trial { steps: s, .. } | Self::Back { steps: s, .. } => {
                s.version
            }
        }
    }

    /// Who made what stands or asked for what is being made.
    #[must_use]
    pub fn made(&self) -> &Made {
        match self {
            Self::Stands { made, .. } => made,
            Self::First(s) | Self::Second(s) | Self::Trial { steps: s, .. } | Self::Back { steps: s, .. } => {
                &s.made
            }
        }
    }

    /// The policies: the one that stands or stood, and the one that is to stand. Those that are known are not read again.
    pub(crate) fn policies(&self, known: &[&Policy]) -> Result<(Policy, Policy), Unread> {
        let read = |text: &str| match known.iter().find(|p| p.text() == text) {
            Some(policy) => Ok((*policy).clone()),
            None => Policy::stored(text).map_err(|_| Unread),
        };
        match self {
            Self::Stands { policy, .. } => read(policy).map(|p| (p.clone(), p)),
            Self::First(s) | Self::Second(s) | Self::Trial { steps: s, .. } | Self::Back { steps: s, .. } => {
                Ok((read(&s.old)?, read(&s.new)?))
            }
        }
    }
}

/// Cuts a text to so many bytes, between characters.
pub(crate) fn cut(text: &str, most: usize) -> String {
    let mut end = text.len().min(most);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.get(..end).unwrap_or_default().to_owned()
}

/// A key that follows from what it follows: FNV-1a of 128 bits (Fowler, Noll, Vo) over the parts. Whoever drives a step
/// derives the same, so that many of them are one.
pub(crate) fn derived(parts: &[u128]) -> u128 {
    let bytes = parts.iter().flat_map(|p| p.to_be_bytes());
    bytes.fold(0x6c62_272e_07bb_0142_62b8_2175_6295_c58d, |hash: u128, byte| {
        (hash ^ u128::from(byte)).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013b)
    })
}
