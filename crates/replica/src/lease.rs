//! Who may write a stream: a lease of a majority of its guards.
//!
//! A guard grants a stream to one front at a time, for a time that it counts from when it was asked. Who holds it counts
//! from when it sent the question, and by [`Config::lease_ms`] less what clocks' rates may differ, so that it stops before
//! any guard may grant the stream to another. A later holder has a higher epoch; a guard that granted one answers lower
//! ones with it. A guard that restarted has forgotten its grants: it counts as another guard, since guards are named with
//! their runs.
//!
//! Guards are replaced by who holds the stream: the old ones first promise to answer with the new ones, then the new ones
//! grant it. From when a majority of the old has promised, nobody can have a majority of them.

use crate::log::Position;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A guard: a front in one run.
pub type Guardian = (u64, u64);

/// The guards of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Config {
    /// Higher for each set of guards.
    pub number: u32,
    /// The guards, by number.
    pub guards: Vec<Guardian>,
    /// Those that come after them, once the holder has begun to replace them.
    pub next: Option<Vec<Guardian>>,
}

/// Guards, or holders of copies, that a message may name at most.
pub const MOST_NAMED: usize = 64;

impl Config {
    /// Whether it names guards, and no more than there may be.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let fits = |guards: &Vec<Guardian>| (1..=MOST_NAMED).contains(&guards.len());
        fits(&self.guards) && self.next.as_ref().is_none_or(fits)
    }
}

/// More than half.
#[must_use]
pub fn majority(of: usize) -> usize {
    of / 2 + 1
}

/// A guard's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Granted.
    Granted {
        /// Under this epoch.
        epoch: u32,
        /// Under this number of guards.
        number: u32,
        /// The guard knows those that come next, and will answer others with them.
        next: bool,
    },
    /// Another holds it, or held it last.
    Taken {
        /// Under this epoch.
        epoch: u32,
        /// Who.
        holder: u64,
        /// From where it went on; `None` as long as it only claims the stream.
        from: Option<Position>,
    },
    /// The asker's copy is older than what every holder of a copy had already.
    Behind,
    /// The guards were replaced by these.
    Replaced(Config),
}

/// A question to a guard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Question<'a> {
    /// Who asks.
    pub asker: u64,
    /// The epoch under which it holds or claims the stream.
    pub epoch: u32,
    /// The guards that it goes by.
    pub config: &'a Config,
    /// Of the holder: what all who hold copies have. Of a claimant: what it has itself.
    pub at: Position,
    /// Where the copy stood that the asker goes on from, or went on from.
    pub from: Position,
    /// It has held the stream under this epoch already: it is no mere claimant.
    pub writes: bool,
}

/// What a guard remembers of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Guard {
    epoch: u32,
    holder: u64,
    until_ms: u64,
    config: Config,
    /// No copy that stands before this may be gone on with: it lacks what was deleted since.
    floor: Position,
    /// Where the holder went on from.
    from: Position,
    /// It has held the stream, as it says.
    writes: bool,
}

impl Guard {
    /// Answers a question for a stream; `known` is what was remembered of it, and what is to be remembered.
    pub fn asked(known: &mut Option<Self>, now_ms: u64, lease_ms: u64, q: &Question) -> Answer {
        let until_ms = now_ms.saturating_add(lease_ms);
        let (epoch, number) = (q.epoch, q.config.number);
        let granted = Answer::Granted { epoch, number, next: q.config.next.is_some() };
        let new = Self {
            epoch,
            holder: q.asker,
            until_ms,
            config: q.config.clone(),
            floor: q.at,
            from: q.from,
            writes: q.writes,
        };
        let Some(guard) = known else {
            *known = Some(new);
            return granted;
        };
        let held = &guard.config;
        if number < held.number
            || (number == held.number && held.next.is_some() && q.config.next != held.next)
        {
            return Answer::Replaced(held.clone());
        }
        if guard.holder == q.asker && guard.epoch == epoch {
            (guard.config, guard.until_ms) = (q.config.clone(), until_ms);
            guard.floor = guard.floor.max(q.at);
            (guard.from, guard.writes) = (q.from, guard.writes || q.writes);
            return granted;
        }
        if now_ms < guard.until_ms || epoch <= guard.epoch {
            let from = guard.writes.then_some(guard.from);
            return Answer::Taken { epoch: guard.epoch, holder: guard.holder, from };
        }
        if q.at < guard.floor {
            return Answer::Behind;
        }
        *guard = new;
        granted
    }

    /// Whether it may be forgotten: nobody has asked for so long after its end.
    #[must_use]
    pub fn is_over(&self, now_ms: u64, for_ms: u64) -> bool {
        self.until_ms.saturating_add(for_ms) <= now_ms
    }
}

/// The holder's side, or a claimant's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// The epoch that is held or claimed.
    pub epoch: u32,
    config: Config,
    /// When the last question that each guard granted was sent, and by which number it went.
    granted: BTreeMap<Guardian, (u64, u32, bool)>,
    lease_ms: u64,
    /// It was claimed while the guards were being replaced: most of both sets are needed.
    joint: bool,
}

impl Tenure {
    /// Nothing granted yet. `lease_ms` is what guards grant; a hundredth of it is kept back, since clocks' rates differ
    /// by less.
    #[must_use]
    pub fn new(epoch: u32, config: Config, lease_ms: u64) -> Self {
        let joint = config.next.is_some();
        Self { epoch, config, granted: BTreeMap::new(), lease_ms: lease_ms - lease_ms.div_ceil(100), joint }
    }

    /// The guards that it goes by.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// All that are to be asked.
    #[must_use]
    pub fn guards(&self) -> Vec<Guardian> {
        let mut all = self.config.guards.clone();
        all.extend(self.config.next.iter().flatten().filter(|g| !self.config.guards.contains(g)));
        all
    }

    /// The guards are to be replaced by these; nothing happens while others are on their way.
    pub fn replace(&mut self, next: Vec<Guardian>) {
        if self.config.next.is_none() && next != self.config.guards && !next.is_empty() {
            self.config.next = Some(next);
        }
    }

    /// A guard granted a question that was sent at this time.
    pub fn granted(&mut self, guard: Guardian, asked_ms: u64, number: u32, with_next: bool) {
        if number != self.config.number {
            return;
        }
        let last = self.granted.entry(guard).or_insert((asked_ms, number, with_next));
        *last = (last.0.max(asked_ms), number, last.2 || with_next);
        // Once most of the old have promised the new, and most of the new have granted, the old are done with.
        let Some(next) = &self.config.next else { return };
        let promised = |set: &[Guardian]| {
            set.iter().filter(|g| self.granted.get(g).is_some_and(|(.., with)| *with)).count()
                >= majority(set.len())
        };
        if promised(&self.config.guards) && promised(next) {
            let guards = next.clone();
            self.granted.retain(|g, _| guards.contains(g));
            self.config = Config { number: self.config.number + 1, guards, next: None };
            self.joint = false;
            let number = self.config.number;
            self.granted.values_mut().for_each(|g| (g.1, g.2) = (number, false));
        }
    }

    /// Until when the stream is held, by the holder's own clock; `None` if a majority never granted it.
    #[must_use]
    pub fn until_ms(&self) -> Option<u64> {
        let most = |set: &[Guardian]| {
            let asked = set.iter().filter_map(|g| self.granted.get(g)).map(|(asked, ..)| *asked);
            let mut asked: Vec<u64> = asked.collect();
            asked.sort_unstable_by(|a, b| b.cmp(a));
            asked.get(majority(set.len()) - 1).copied()
        };
        let mut last = most(&self.config.guards)?;
        if let Some(next) = self.config.next.as_ref().filter(|_| self.joint) {
            last = last.min(most(next)?);
        }
        Some(last.saturating_add(self.lease_ms))
    }

    /// Whether the stream is held now.
    #[must_use]
    pub fn holds(&self, now_ms: u64) -> bool {
        self.until_ms().is_some_and(|until| now_ms < until)
    }
}
