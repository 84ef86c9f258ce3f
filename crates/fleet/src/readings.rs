//! What fronts saw of nodes, told to the others with the moment at which it was seen.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The records' space: soft, since the next reading takes its place.
pub const SPACE: u8 = pepperhook_exchange::FIRST_EPHEMERAL_SPACE;
/// Values of one reading at most.
const MOST_VALUES: usize = 8;
/// Readings told in one record at most; with three values each they fit.
const MOST_TOLD: usize = 26;
/// A reading older than this says nothing any more, milliseconds.
const OLDEST_MS: u64 = 30_000;
/// Nodes of which readings are kept at most.
const MOST_NODES: usize = 16_384;

/// What was seen of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// The node.
    pub node: u64,
    /// Which life of it.
    pub life: u64,
    /// When, by the fleet's clock, milliseconds.
    pub at_ms: u64,
    /// Values in an order on which all fronts agree; NaN for one that is missing.
    pub values: Vec<f32>,
}

/// Readings that came and those that are to be told.
#[derive(Default)]
pub struct Readings {
    latest: BTreeMap<u64, Reading>,
    own: VecDeque<Reading>,
    fresh: bool,
    told_ms: u64,
}

impl Readings {
    /// Takes in a reading; true if it is newer than what was known, and not too old or of the future.
    pub fn take(&mut self, now_ms: u64, reading: &Reading) -> bool {
        let old = reading.at_ms.saturating_add(OLDEST_MS) < now_ms;
        let future = reading.at_ms > now_ms.saturating_add(1_000);
        let known = self.latest.get(&reading.node).is_some_and(|r| r.at_ms >= reading.at_ms);
        let full = self.latest.len() >= MOST_NODES && !self.latest.contains_key(&reading.node);
        if old || future || known || full || reading.values.len() > MOST_VALUES {
            return false;
        }
        self.latest.insert(reading.node, reading.clone());
        true
    }

    /// A reading taken here: it will be told.
    pub fn own(&mut self, reading: Reading) {
        self.own.retain(|r| r.node != reading.node);
        self.own.push_back(reading);
        while self.own.len() > MOST_TOLD {
            self.own.pop_front();
        }
        self.fresh = true;
    }

    /// What is to be told now: own readings of the last period again and again, so that a lost datagram matters
    /// little.
    pub fn due(&mut self, now_ms: u64, period_ms: u64) -> Option<Vec<Reading>> {
        if !self.fresh || now_ms < self.told_ms.saturating_add(period_ms / 10) {
            return None;
        }
        (self.fresh, self.told_ms) = (false, now_ms);
        self.own.retain(|r| r.at_ms.saturating_add(period_ms) >= now_ms);
        Some(self.own.iter().cloned().collect())
    }

    /// The last reading of a node.
    pub fn latest(&self, node: u64) -> Option<&Reading> {
        self.latest.get(&node)
    }

    /// Only these nodes' readings are kept.
    pub fn keep(&mut self, there: impl Fn(u64) -> bool) {
        self.latest.retain(|node, _| there(*node));
    }
}
