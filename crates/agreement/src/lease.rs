//! Who may act on what was agreed, and for how long: a voter's grants, a front's hold, and what is settled.
//!
//! A front asks each voter apart and says up to which entry it goes by what was agreed: it *vouches*. A voter grants for
//! a time, unless that is under its floor, and tells the number that it has *cleared*: no grant of it that may still be in
//! use vouches for less. What a majority has cleared is settled, since a front holds by a majority too.
//!
//! It rests on four rules:
//! - A floor is at most what the voter's own disk has as decided, and after a start it is all of that: so a voter that
//!   forgot its floor never goes under it.
//! - A voter that started has forgotten its grants, and one whose voters are new does not know the old ones': it clears
//!   nothing for a whole hold.
//! - A voter with a command in its log that would bring other voters grants nothing more (`sealed`), decided or not. Once
//!   it is decided a majority had it, so that holds of the old voters run out before the new ones clear anything.
//! - What a front vouches for never falls within its run; an earlier run's grants stay until they run out.

use crate::types::{VoterId, majority};
use std::collections::BTreeMap;

/// Grants that a voter remembers at most: fronts, in all their runs that may still hold.
pub const MOST_GRANTS: usize = 2_048;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    question: u64,
    vouched: u64,
    until_ms: u64,
}

/// A voter's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grants {
    /// The configuration from which its voters have been the same.
    since: u32,
    kept_ms: u64,
    /// It clears nothing before this.
    closed_ms: u64,
    floor: u64,
    /// By front and run.
    grants: BTreeMap<(u64, u64), Grant>,
}

/// A voter's answer to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Granted {
    /// Whether it grants.
    pub granted: bool,
    /// What has to be vouched for at least.
    pub floor: u64,
    /// What it has cleared; `None` as long as it clears nothing.
    pub cleared: Option<u64>,
}

impl Grants {
    /// A voter that just started, or that votes beside others than before. `durable` is the last entry that its disk has
    /// as decided. A grant lasts `hold_ms` for who asked; here a hundredth more, since clocks' rates differ by less.
    #[must_use]
    pub fn new(now_ms: u64, hold_ms: u64, since: u32, durable: u64) -> Self {
        let kept_ms = hold_ms.saturating_add(hold_ms.div_ceil(100));
        let closed_ms = now_ms.saturating_add(kept_ms);
        Self { since, kept_ms, closed_ms, floor: durable, grants: BTreeMap::new() }
    }

    /// The configuration from which its voters have been the same.
    #[must_use]
    pub fn since(&self) -> u32 {
        self.since
    }

    /// A front in a run asks. `sealed` is whether the voter's log has a command that may bring other voters.
    pub fn asked(
        &mut self,
        now_ms: u64,
        front: (u64, u64),
        question: u64,
        vouched: u64,
        sealed: bool,
    ) -> Granted {
        let until_ms = now_ms.saturating_add(self.kept_ms);
        self.grants.retain(|_, g| now_ms < g.until_ms);
        let room = self.grants.len() < MOST_GRANTS;
        let granted = !sealed
            && vouched >= self.floor
            && match self.grants.get_mut(&front) {
                // A question that was overtaken by a later one must not lower what that vouched for.
                Some(g) if question <= g.question || vouched < g.vouched => false,
                Some(g) => {
                    *g = Grant { question, vouched, until_ms };
                    true
                }
                None if room => {
                    self.grants.insert(front, Grant { question, vouched, until_ms });
                    true
                }
                None => false,
            };
        Granted { granted, floor: self.floor, cleared: self.cleared(now_ms) }
    }

    /// The number under which nobody holds by this voter's grants, nor ever will again.
    #[must_use]
    pub fn cleared(&self, now_ms: u64) -> Option<u64> {
        if now_ms < self.closed_ms {
            return None;
        }
        let valid = self.grants.values().filter(|g| now_ms < g.until_ms);
        Some(valid.map(|g| g.vouched).fold(self.floor, u64::min))
    }

    /// Raises the floor to what the voter's disk has as decided, once all of the floor before it is cleared. Floors that
    /// rose with every entry would leave fronts behind for good while entries come fast.
    pub fn raise(&mut self, now_ms: u64, durable: u64) {
        self.grants.retain(|_, g| now_ms < g.until_ms);
        if durable > self.floor && self.cleared(now_ms) == Some(self.floor) {
            self.floor = durable;
        }
    }

    /// What has to be vouched for at least.
    #[must_use]
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Fronts with grants that have not run out.
    pub fn fronts(&self, now_ms: u64) -> impl Iterator<Item = u64> {
        self.grants.iter().filter(move |(_, g)| now_ms < g.until_ms).map(|((front, _), _)| *front)
    }

    /// Grants that have not run out.
    #[must_use]
    pub fn valid(&self, now_ms: u64) -> usize {
        self.grants.values().filter(|g| now_ms < g.until_ms).count()
    }
}

/// A front's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Hold {
    held_ms: u64,
    since: u32,
    voters: Vec<VoterId>,
    /// When the last question that each voter granted was sent.
    granted: BTreeMap<VoterId, u64>,
    cleared: BTreeMap<VoterId, u64>,
    /// By voters that were replaced since.
    before_ms: u64,
    settled: u64,
    vouched: u64,
}

impl Hold {
    /// Nothing granted yet. `hold_ms` is what voters grant; a hundredth of it is kept back.
    #[must_use]
    pub fn new(hold_ms: u64) -> Self {
        Self {
            held_ms: hold_ms.saturating_sub(hold_ms.div_ceil(100)),
            since: 0,
            voters: Vec::new(),
            granted: BTreeMap::new(),
            cleared: BTreeMap::new(),
            before_ms: 0,
            settled: 0,
            vouched: 0,
        }
    }

    /// Who votes now, and from which configuration on. What others granted counts on until it runs out.
    pub fn set_voters(&mut self, since: u32, voters: &[VoterId]) {
        if since != self.since {
            self.before_ms = self.until_ms();
            self.since = since;
            self.voters = voters.to_vec();
            self.granted.clear();
            self.cleared.clear();
        }
    }

    /// The front goes by what was agreed up to this entry; never less than before.
    pub fn vouch(&mut self, number: u64) {
        self.vouched = self.vouched.max(number);
    }

    /// Up to where it vouches.
    #[must_use]
    pub fn vouched(&self) -> u64 {
        self.vouched
    }

    /// A voter's answer to the question that was sent at this time. True if more is settled by it.
    pub fn answered(&mut self, voter: VoterId, since: u32, asked_ms: u64, answer: &Granted) -> bool {
        if since != self.since || !self.voters.contains(&voter) {
            return false;
        }
        if answer.granted {
            let last = self.granted.entry(voter).or_insert(asked_ms);
            *last = (*last).max(asked_ms);
        }
        if let Some(number) = answer.cleared {
            let last = self.cleared.entry(voter).or_insert(number);
            *last = (*last).max(number);
        }
        let settled = self.least_of_majority(&self.cleared).unwrap_or(0);
        let more = settled > self.settled;
        self.settled = self.settled.max(settled);
        more
    }

    /// The highest number that a majority is at or above.
    fn least_of_majority(&self, of: &BTreeMap<VoterId, u64>) -> Option<u64> {
        let mut all: Vec<u64> = of.values().copied().collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(majority(self.voters.len()).saturating_sub(1)).copied()
    }

    /// Until when it holds, by its own clock; 0 if it never did.
    #[must_use]
    pub fn until_ms(&self) -> u64 {
        let until =
            self.least_of_majority(&self.granted).map_or(0, |asked| asked.saturating_add(self.held_ms));
        until.max(self.before_ms)
    }

    /// Whether it holds now.
    #[must_use]
    pub fn holds(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms()
    }

    /// Up to where no front that holds goes by less.
    #[must_use]
    pub fn settled(&self) -> u64 {
        self.settled
    }
}
