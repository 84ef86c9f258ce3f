//! The lease protocol: which fronts may act on the agreed state, and for how long. It has a voter's grants, a
//! front's lease, and the *stable* entry that every leaseholder has confirmed.
//!
//! A front requests a lease from each voter separately. The request names the last entry that the front
//! *confirms*: it acts on the log up to there. A voter grants for a limited time if the confirmed entry is
//! not below the voter's minimum. Its reply carries the voter's *watermark*: no unexpired lease that it
//! granted has confirmed less. The highest entry that a majority's watermarks have reached is stable, because
//! a front holds its lease by a majority too and two majorities share a voter.
//!
//! Safety rests on four rules:
//! - A voter's minimum is at most the last entry that its own disk has as decided, and exactly that entry
//!   after a start. So a voter that forgot its minimum never goes below it.
//! - A voter that started has forgotten its grants, and a voter in a new set of voters does not know the
//!   grants of the former set: it reports no watermark until one full lease time has passed.
//! - A voter whose log has a command that would replace the set of voters grants no more leases
//!   (`reconfiguring`), whether that command is decided or not. Once it is decided, a majority had it, so
//!   leases from the former voters expire before the new voters report a watermark.
//! - The confirmed entry of a front never decreases within a run; grants to an earlier run count until they
//!   expire.

use crate::types::{VoterId, majority};
use std::collections::BTreeMap;

/// Maximum number of unexpired grants that a voter keeps: one for each front and run.
pub const MAX_GRANTS: usize = 2_048;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    request: u64,
    confirmed: u64,
    until_ms: u64,
}

/// A voter's side of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grants {
    /// The configuration since which the set of voters is unchanged.
    voters_since: u32,
    grant_ms: u64,
    /// No watermark is reported before this time.
    no_watermark_until_ms: u64,
    min_confirmed: u64,
    /// By front and run.
    grants: BTreeMap<(u64, u64), Grant>,
}

/// A voter's answer to a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GrantReply {
    /// Whether the lease is granted.
    pub granted: bool,
    /// The voter grants no lease to a front that has confirmed less than this entry.
    pub min_confirmed: u64,
    /// The voter's watermark; `None` while it cannot know one.
    pub watermark: Option<u64>,
}

impl Grants {
    /// For a voter that just started, or whose set of voters changed. `durable` is the last entry that its
    /// disk has as decided. The requester counts a grant for `lease_ms`; the voter counts it for 1 % longer,
    /// because clock rates differ by less than that.
    #[must_use]
    pub fn new(now_ms: u64, lease_ms: u64, voters_since: u32, durable: u64) -> Self {
        let grant_ms = lease_ms.saturating_add(lease_ms.div_ceil(100));
        let no_watermark_until_ms = now_ms.saturating_add(grant_ms);
        Self {
            voters_since,
            grant_ms,
            no_watermark_until_ms,
            min_confirmed: durable,
            grants: BTreeMap::new(),
        }
    }

    /// The configuration since which the set of voters is unchanged.
    #[must_use]
    pub fn voters_since(&self) -> u32 {
        self.voters_since
    }

    /// Answers a lease request of a front in a run. `reconfiguring` is whether the voter's log has a command
    /// that may replace the set of voters.
    pub fn request(
        &mut self,
        now_ms: u64,
        front_and_run: (u64, u64),
        request: u64,
        confirmed: u64,
        reconfiguring: bool,
    ) -> GrantReply {
        let until_ms = now_ms.saturating_add(self.grant_ms);
        self.grants.retain(|_, g| now_ms < g.until_ms);
        let has_room = self.grants.len() < MAX_GRANTS;
        let granted = !reconfiguring
            && confirmed >= self.min_confirmed
            && match self.grants.get_mut(&front_and_run) {
                // A request that was overtaken by a later one must not lower the entry which that one
                // confirmed.
                Some(g) if request <= g.request || confirmed < g.confirmed => false,
                Some(g) => {
                    *g = Grant { request, confirmed, until_ms };
                    true
                }
                None if has_room => {
                    self.grants.insert(front_and_run, Grant { request, confirmed, until_ms });
                    true
                }
                None => false,
            };
        GrantReply { granted, min_confirmed: self.min_confirmed, watermark: self.watermark(now_ms) }
    }

    /// The watermark: no lease by this voter's grants, now or later, has confirmed less than this entry.
    #[must_use]
    pub fn watermark(&self, now_ms: u64) -> Option<u64> {
        if now_ms < self.no_watermark_until_ms {
            return None;
        }
        let unexpired = self.grants.values().filter(|g| now_ms < g.until_ms);
        Some(unexpired.map(|g| g.confirmed).fold(self.min_confirmed, u64::min))
    }

    /// Raises the minimum to the last entry that the voter's disk has as decided, once the watermark has
    /// reached the former minimum. A minimum that rose with every entry would exclude slow fronts for as long
    /// as entries arrive quickly.
    pub fn raise_min_confirmed(&mut self, now_ms: u64, durable: u64) {
        self.grants.retain(|_, g| now_ms < g.until_ms);
        if durable > self.min_confirmed && self.watermark(now_ms) == Some(self.min_confirmed) {
            self.min_confirmed = durable;
        }
    }

    /// The voter grants no lease to a front that has confirmed less than this entry.
    #[must_use]
    pub fn min_confirmed(&self) -> u64 {
        self.min_confirmed
    }

    /// Fronts with unexpired grants.
    pub fn fronts(&self, now_ms: u64) -> impl Iterator<Item = u64> {
        self.grants.iter().filter(move |(_, g)| now_ms < g.until_ms).map(|((front, _), _)| *front)
    }

    /// Number of unexpired grants.
    #[must_use]
    pub fn unexpired(&self, now_ms: u64) -> usize {
        self.grants.values().filter(|g| now_ms < g.until_ms).count()
    }
}

/// A front's side of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    valid_ms: u64,
    voters_since: u32,
    voters: Vec<VoterId>,
    /// By voter: send time of the last request that it granted.
    granted: BTreeMap<VoterId, u64>,
    watermarks: BTreeMap<VoterId, u64>,
    /// Expiry of the lease that the former set of voters granted.
    former_until_ms: u64,
    stable: u64,
    confirmed: u64,
}

impl Lease {
    /// A lease that no voter has granted yet. Voters grant it for `lease_ms`; the front counts it for 1 %
    /// less, because clock rates differ by less than that.
    #[must_use]
    pub fn new(lease_ms: u64) -> Self {
        Self {
            valid_ms: lease_ms.saturating_sub(lease_ms.div_ceil(100)),
            voters_since: 0,
            voters: Vec::new(),
            granted: BTreeMap::new(),
            watermarks: BTreeMap::new(),
            former_until_ms: 0,
            stable: 0,
            confirmed: 0,
        }
    }

    /// Sets the voters, and the configuration since which they are the voters. A lease that the former voters
    /// granted stays valid until it expires.
    pub fn set_voters(&mut self, voters_since: u32, voters: &[VoterId]) {
        if voters_since != self.voters_since {
            self.former_until_ms = self.until_ms();
            self.voters_since = voters_since;
            self.voters = voters.to_vec();
            self.granted.clear();
            self.watermarks.clear();
        }
    }

    /// The front now acts on the log up to this entry; a lower number than before is ignored.
    pub fn confirm(&mut self, number: u64) {
        self.confirmed = self.confirmed.max(number);
    }

    /// The last entry that the front has confirmed.
    #[must_use]
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Processes a voter's reply to the request that was sent at `requested_ms`. Returns whether the stable
    /// entry advanced.
    pub fn on_reply(
        &mut self,
        voter: VoterId,
        voters_since: u32,
        requested_ms: u64,
        reply: &GrantReply,
    ) -> bool {
        if voters_since != self.voters_since || !self.voters.contains(&voter) {
            return false;
        }
        if reply.granted {
            let last = self.granted.entry(voter).or_insert(requested_ms);
            *last = (*last).max(requested_ms);
        }
        if let Some(number) = reply.watermark {
            let last = self.watermarks.entry(voter).or_insert(number);
            *last = (*last).max(number);
        }
        let stable = self.reached_by_majority(&self.watermarks).unwrap_or(0);
        let advanced = stable > self.stable;
        self.stable = self.stable.max(stable);
        advanced
    }

    /// The highest number that a majority of the voters is at or above.
    fn reached_by_majority(&self, by_voter: &BTreeMap<VoterId, u64>) -> Option<u64> {
        let mut all: Vec<u64> = by_voter.values().copied().collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(majority(self.voters.len()).saturating_sub(1)).copied()
    }

    /// When the lease expires, by the front's own clock; 0 if it was never held.
    #[must_use]
    pub fn until_ms(&self) -> u64 {
        let until = self
            .reached_by_majority(&self.granted)
            .map_or(0, |requested| requested.saturating_add(self.valid_ms));
        until.max(self.former_until_ms)
    }

    /// Whether the lease is held now.
    #[must_use]
    pub fn is_held(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms()
    }

    /// The stable entry: no front that holds a lease has confirmed less.
    #[must_use]
    pub fn stable(&self) -> u64 {
        self.stable
    }
}
