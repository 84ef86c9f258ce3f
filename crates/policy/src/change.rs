//! Contents of the policy's register: the active policy, or the present step of a change.

use crate::policy::{MAX_POLICY_BYTES, Policy};
use crate::trial::{RequestCounts, Trial};
use pepperhook_agreement::{MAX_BODY_BYTES, Subject};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The register that holds the policy.
pub const SUBJECT: Subject = Subject { space: 1, number: 0 };
/// Limit of a stored reason, bytes.
pub const MAX_REASON_BYTES: usize = 256;

/// Who requested a policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Idempotency key of the request: random, and the same when the request is repeated.
    pub key: u128,
    /// The front that received the request.
    pub front: u64,
    /// The operator's name, as given in the request.
    pub name: String,
}

/// A change that was rolled back or reversed, and why.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UndoneChange {
    /// The version that the change made or would have made.
    pub version: u64,
    /// Who requested it.
    pub origin: Origin,
    /// The front that undid it.
    pub by: u64,
    /// That front's reason.
    pub reason: String,
}

/// A trial and the counts that it compares with.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TrialBaseline {
    /// The trial.
    pub trial: Trial,
    /// The watched requests in a period of the trial's length before the change.
    pub before: RequestCounts,
}

/// A change in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyChange {
    /// The version of the new policy.
    pub version: u64,
    /// Who requested it.
    pub origin: Origin,
    /// The version of the old policy.
    pub old_version: u64,
    /// Who requested the old policy.
    pub old_origin: Origin,
    /// Canonical text of the old policy.
    pub old: String,
    /// Canonical text of the new policy.
    pub new: String,
    /// Time after which the first step is rolled back if its entry is not stable, milliseconds.
    pub first_step_timeout_ms: u32,
    /// The trial to pass before the change is completed, if any.
    pub baseline: Option<TrialBaseline>,
    /// The change that this one reverses because its trial failed.
    pub undoes: Option<UndoneChange>,
}

/// Contents of the register. A version is active everywhere once its entry is stable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RegisterState {
    /// No change is in progress.
    Active {
        /// The active version.
        version: u64,
        /// The highest version that any change has used.
        highest_version: u64,
        /// Canonical text of the policy.
        policy: String,
        /// Who requested it.
        origin: Origin,
        /// The last change that was undone, if none was completed since.
        undone: Option<UndoneChange>,
    },
    /// All fronts apply the intersection of the old and the new policy. The change can still be rolled back.
    FirstStep(PolicyChange),
    /// All fronts apply the new policy. The change can no longer be rolled back.
    SecondStep(PolicyChange),
    /// All fronts apply the new policy while the trial measures the service.
    Trial {
        /// The change.
        steps: PolicyChange,
        /// The watched totals at the start of the trial.
        from: RequestCounts,
    },
    /// All fronts apply the old policy again. The next change has to wait until no front applies the intersection any more.
    Rollback {
        /// The change.
        steps: PolicyChange,
        /// The front that rolled it back.
        by: u64,
        /// That front's reason.
        reason: String,
    },
}

/// The register's bytes are invalid, or a later release wrote them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this release cannot decode the policy's register; a later release may have written it")]
pub struct UnreadableRegister;

#[derive(Serialize, Deserialize)]
enum Wire {
    V1(RegisterState),
}

impl RegisterState {
    /// Encodes the state as a command's body; `None` if that is too long.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(&Wire::V1(self.clone())).ok()?;
        (bytes.len() <= MAX_BODY_BYTES).then_some(bytes)
    }

    /// Decodes a command's body.
    ///
    /// # Errors
    /// If the bytes are invalid or too many, of a later release, or hold too long a policy.
    pub fn decode(bytes: &[u8]) -> Result<Self, UnreadableRegister> {
        if bytes.len() > MAX_BODY_BYTES {
            return Err(UnreadableRegister);
        }
        let (Wire::V1(change), rest) = postcard::take_from_bytes(bytes).map_err(|_| UnreadableRegister)?;
        let texts: &[&str] = match &change {
            Self::Active { policy, .. } => &[policy],
            Self::FirstStep(s)
            | Self::SecondStep(s)
            | Self::Trial { steps: s, .. }
            | Self::Rollback { steps: s, .. } => &[&s.old, &s.new],
        };
        let fits = rest.is_empty() && texts.iter().all(|t| t.len() <= MAX_POLICY_BYTES);
        if fits { Ok(change) } else { Err(UnreadableRegister) }
    }

    /// The step's name, as operators see it.
    #[must_use]
    pub fn step(&self) -> &'static str {
        match self {
            Self::Active { .. } => "stands",
            Self::FirstStep(_) => "first",
            Self::SecondStep(_) => "second",
            Self::Trial { .. } => "trial",
            Self::Rollback { .. } => "back",
        }
    }

    /// The active version, or the version of the change in progress.
    #[must_use]
    pub fn version(&self) -> u64 {
        match self {
            Self::Active { version, .. } => *version,
            Self::FirstStep(s)
            | Self::SecondStep(s)
            | Self::Trial { steps: s, .. }
            | Self::Rollback { steps: s, .. } => s.version,
        }
    }

    /// Who requested the active policy, or the change in progress.
    #[must_use]
    pub fn origin(&self) -> &Origin {
        match self {
            Self::Active { origin, .. } => origin,
            Self::FirstStep(s)
            | Self::SecondStep(s)
            | Self::Trial { steps: s, .. }
            | Self::Rollback { steps: s, .. } => &s.origin,
        }
    }

    /// The old and the new policy; both are the active one if no change is in progress. Those among `known` are not parsed
    /// again.
    pub(crate) fn policies(&self, known: &[&Policy]) -> Result<(Policy, Policy), UnreadableRegister> {
        let read = |text: &str| match known.iter().find(|p| p.text() == text) {
            Some(policy) => Ok((*policy).clone()),
            None => Policy::from_canonical(text).map_err(|_| UnreadableRegister),
        };
        match self {
            Self::Active { policy, .. } => read(policy).map(|p| (p.clone(), p)),
            Self::FirstStep(s)
            | Self::SecondStep(s)
            | Self::Trial { steps: s, .. }
            | Self::Rollback { steps: s, .. } => Ok((read(&s.old)?, read(&s.new)?)),
        }
    }
}

/// Truncates a text to at most `limit` bytes at a character boundary.
pub(crate) fn truncate(text: &str, limit: usize) -> String {
    let mut end = text.len().min(limit);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.get(..end).unwrap_or_default().to_owned()
}

/// Derives a command's key as the 128-bit FNV-1a hash (Fowler, Noll, Vo) of the parts. All fronts that propose a step derive
/// the same key, so the step is applied once.
pub(crate) fn derive_key(parts: &[u128]) -> u128 {
    let bytes = parts.iter().flat_map(|p| p.to_be_bytes());
    bytes.fold(0x6c62_272e_07bb_0142_62b8_2175_6295_c58d, |hash: u128, byte| {
        (hash ^ u128::from(byte)).wrapping_mul(0x0000_0000_0100_0000_0000_0000_0000_013b)
    })
}
