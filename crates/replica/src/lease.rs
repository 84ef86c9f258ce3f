//! The lease of a stream: the right to write it, granted by a majority of its grantors.
//!
//! A grantor grants a stream to one front at a time, for the lease time counted from when it receives the
//! request. The holder counts from when it sent the request, and subtracts from the lease time a margin for
//! the difference between clock rates. It therefore stops before any grantor may grant the stream to another
//! front. A later holder has a higher epoch; a grantor denies requests with an epoch that is not higher than
//! the one it granted. Grantors are identified by front and run, because a grantor that restarts has lost its
//! grants and counts as a different grantor.
//!
//! The lease holder replaces grantors in two phases: the old grantors promise to refer other requesters to
//! the new set, then the new ones grant the lease. Once a majority of the old grantors has promised, no other
//! front can get a majority of them.

use crate::log::Position;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identifies a grantor: a front's number and its run.
pub type GrantorId = (u64, u64);

/// The grantors of a stream, with the next set during a replacement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantorSet {
    /// Increases with each replacement of the grantors.
    pub version: u32,
    /// The grantors, ordered by front number.
    pub grantors: Vec<GrantorId>,
    /// The grantors that replace them; present while the lease holder is replacing the set.
    pub next: Option<Vec<GrantorId>>,
}

/// Maximum number of grantors in a set, and of followers in a message.
pub const MAX_NAMED_FRONTS: usize = 64;

impl GrantorSet {
    /// Returns whether each set has at least one and at most `MAX_NAMED_FRONTS` grantors.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let fits = |grantors: &Vec<GrantorId>| (1..=MAX_NAMED_FRONTS).contains(&grantors.len());
        fits(&self.grantors) && self.next.as_ref().is_none_or(fits)
    }
}

/// The smallest majority of `of` members.
#[must_use]
pub fn majority(of: usize) -> usize {
    of / 2 + 1
}

/// A grantor's answer to a lease request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// The lease is granted.
    Granted {
        /// The epoch of the request.
        epoch: u32,
        /// Version of the grantor set in the request.
        set_version: u32,
        /// The request named the next grantors, and the grantor refers other requesters to them from now on.
        promised_next: bool,
    },
    /// Another front holds the lease or requests it, or the requested epoch is not higher than the last one
    /// granted.
    Denied {
        /// The epoch of the last grant.
        epoch: u32,
        /// The front that it was granted to.
        holder: u64,
        /// The position that the holder continued from; `None` while it has not reported that it held the
        /// lease.
        base: Option<Position>,
    },
    /// The requester's copy is older than a position that all followers had reached.
    StaleCopy,
    /// The grantors were replaced, or are being replaced, by this set.
    Reconfigured(GrantorSet),
}

/// A request to a grantor for the lease of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseRequest<'a> {
    /// The front that requests the lease.
    pub requester: u64,
    /// The epoch under which it holds or requests the lease.
    pub epoch: u32,
    /// The grantors as the requester knows them.
    pub grantor_set: &'a GrantorSet,
    /// From the writer: the lowest position of all followers. From a candidate: the position of its copy.
    pub position: Position,
    /// The position that the requester continues, or continued, from.
    pub base: Position,
    /// The requester has already held the lease under this epoch.
    pub has_held: bool,
}

/// What a grantor remembers about its last grant for a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    epoch: u32,
    holder: u64,
    expires_ms: u64,
    grantor_set: GrantorSet,
    /// Copies before this position must not be continued: they still contain keys that were deleted since.
    min_position: Position,
    /// The position that the holder continued from.
    base: Position,
    /// The holder has reported that it held the lease.
    has_held: bool,
}

impl Grant {
    /// Answers a request for a stream. `known` is the last grant for the stream and is updated.
    pub fn answer(
        known: &mut Option<Self>,
        now_ms: u64,
        lease_ms: u64,
        request: &LeaseRequest,
    ) -> LeaseAnswer {
        let expires_ms = now_ms.saturating_add(lease_ms);
        let (epoch, set_version) = (request.epoch, request.grantor_set.version);
        let granted =
            LeaseAnswer::Granted { epoch, set_version, promised_next: request.grantor_set.next.is_some() };
        let new = Self {
            epoch,
            holder: request.requester,
            expires_ms,
            grantor_set: request.grantor_set.clone(),
            min_position: request.position,
            base: request.base,
            has_held: request.has_held,
        };
        let Some(grant) = known else {
            *known = Some(new);
            return granted;
        };
        let known_set = &grant.grantor_set;
        if set_version < known_set.version
            || (set_version == known_set.version
                && known_set.next.is_some()
                && request.grantor_set.next != known_set.next)
        {
            return LeaseAnswer::Reconfigured(known_set.clone());
        }
        if grant.holder == request.requester && grant.epoch == epoch {
            (grant.grantor_set, grant.expires_ms) = (request.grantor_set.clone(), expires_ms);
            grant.min_position = grant.min_position.max(request.position);
            (grant.base, grant.has_held) = (request.base, grant.has_held || request.has_held);
            return granted;
        }
        if now_ms < grant.expires_ms || epoch <= grant.epoch {
            let base = grant.has_held.then_some(grant.base);
            return LeaseAnswer::Denied { epoch: grant.epoch, holder: grant.holder, base };
        }
        if request.position < grant.min_position {
            return LeaseAnswer::StaleCopy;
        }
        *grant = new;
        granted
    }

    /// Returns whether the grant expired at least `retention_ms` ago and may be forgotten.
    #[must_use]
    pub fn is_forgettable(&self, now_ms: u64, retention_ms: u64) -> bool {
        self.expires_ms.saturating_add(retention_ms) <= now_ms
    }
}

/// The lease of a stream as its holder, or a front that requests it, sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The epoch that is held or requested.
    pub epoch: u32,
    grantor_set: GrantorSet,
    /// By grantor: when the last request that it granted was sent (milliseconds), the version of the grantor
    /// set, and whether it promised to refer others to the next set.
    grants: BTreeMap<GrantorId, (u64, u32, bool)>,
    /// The lease time as the holder counts it, that is, less the margin for clock rates.
    duration_ms: u64,
    /// The lease was first requested during a replacement of grantors: majorities of both sets are needed.
    joint: bool,
}

impl Lease {
    /// A lease without grants. `lease_ms` is the time that grantors grant; the holder uses a hundredth less,
    /// because the rates of the fronts' clocks differ by less than that.
    #[must_use]
    pub fn new(epoch: u32, grantor_set: GrantorSet, lease_ms: u64) -> Self {
        let joint = grantor_set.next.is_some();
        Self {
            epoch,
            grantor_set,
            grants: BTreeMap::new(),
            duration_ms: lease_ms - lease_ms.div_ceil(100),
            joint,
        }
    }

    /// The grantors, and the next ones during a replacement.
    #[must_use]
    pub fn grantor_set(&self) -> &GrantorSet {
        &self.grantor_set
    }

    /// All grantors that a request goes to: the current ones and the next.
    #[must_use]
    pub fn recipients(&self) -> Vec<GrantorId> {
        let mut all = self.grantor_set.grantors.clone();
        all.extend(self.grantor_set.next.iter().flatten().filter(|g| !self.grantor_set.grantors.contains(g)));
        all
    }

    /// Starts replacing the grantors with `next`; does nothing while a replacement is in progress.
    pub fn replace_grantors(&mut self, next: Vec<GrantorId>) {
        if self.grantor_set.next.is_none() && next != self.grantor_set.grantors && !next.is_empty() {
            self.grantor_set.next = Some(next);
        }
    }

    /// Records that a grantor granted the request that was sent at `sent_ms`.
    pub fn record_grant(&mut self, grantor: GrantorId, sent_ms: u64, set_version: u32, promised_next: bool) {
        if set_version != self.grantor_set.version {
            return;
        }
        let last = self.grants.entry(grantor).or_insert((sent_ms, set_version, promised_next));
        *last = (last.0.max(sent_ms), set_version, last.2 || promised_next);
        // The replacement is complete once majorities of the old and of the new grantors have promised the
        // new set.
        let Some(next) = &self.grantor_set.next else { return };
        let majority_promised = |set: &[GrantorId]| {
            set.iter().filter(|g| self.grants.get(g).is_some_and(|(.., promised)| *promised)).count()
                >= majority(set.len())
        };
        if majority_promised(&self.grantor_set.grantors) && majority_promised(next) {
            let grantors = next.clone();
            self.grants.retain(|g, _| grantors.contains(g));
            self.grantor_set = GrantorSet { version: self.grantor_set.version + 1, grantors, next: None };
            self.joint = false;
            let version = self.grantor_set.version;
            self.grants.values_mut().for_each(|g| (g.1, g.2) = (version, false));
        }
    }

    /// When the lease expires by the holder's own clock, milliseconds; `None` if a majority never granted it.
    #[must_use]
    pub fn expires_ms(&self) -> Option<u64> {
        let majority_sent_ms = |set: &[GrantorId]| {
            let sent = set.iter().filter_map(|g| self.grants.get(g)).map(|(sent_ms, ..)| *sent_ms);
            let mut sent: Vec<u64> = sent.collect();
            sent.sort_unstable_by(|a, b| b.cmp(a));
            sent.get(majority(set.len()) - 1).copied()
        };
        let mut start_ms = majority_sent_ms(&self.grantor_set.grantors)?;
        if let Some(next) = self.grantor_set.next.as_ref().filter(|_| self.joint) {
            start_ms = start_ms.min(majority_sent_ms(next)?);
        }
        Some(start_ms.saturating_add(self.duration_ms))
    }

    /// Returns whether the lease is held now.
    #[must_use]
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.expires_ms().is_some_and(|expires_ms| now_ms < expires_ms)
    }
}
