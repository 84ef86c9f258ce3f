//! Load readings of nodes, taken by this front or shared by other fronts as records of the exchange.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Space of the records that carry readings. It is ephemeral, since the next reading replaces each one.
pub const READING_SPACE: u8 = pepperhook_exchange::FIRST_EPHEMERAL_SPACE;
/// Limit of the values in one reading.
const MAX_VALUES: usize = 8;
/// Limit of the readings in one record. With three values each, so many fit.
const MAX_SHARED_READINGS: usize = 26;
/// Age from which a reading is rejected as stale, milliseconds.
const MAX_AGE_MS: u64 = 30_000;
/// How far a reading's time may lie in the future, milliseconds; clocks of fronts differ a little.
const MAX_CLOCK_SKEW_MS: u64 = 1_000;
/// Limit of the nodes whose readings are stored.
const MAX_NODES: usize = 16_384;

/// Load values of a node at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    /// The node.
    pub node: u64,
    /// The node's incarnation, which changes with each restart.
    pub incarnation: u64,
    /// When the values were read, by the fleet's clock, Unix milliseconds.
    pub at_ms: u64,
    /// The values, in an order that is the same on all fronts; NaN for a missing one.
    pub values: Vec<f32>,
}

/// The latest reading of each node, and this front's own readings that are to be shared.
#[derive(Default)]
pub struct Readings {
    latest: BTreeMap<u64, Reading>,
    own: VecDeque<Reading>,
    /// `own` changed since it was last shared.
    unshared: bool,
    shared_ms: u64,
}

impl Readings {
    /// Stores a reading; false if it is stale, in the future, too long, not newer than the stored one, or if there is no
    /// room for another node.
    pub fn store(&mut self, now_ms: u64, reading: &Reading) -> bool {
        let stale = reading.at_ms.saturating_add(MAX_AGE_MS) < now_ms;
        let future = reading.at_ms > now_ms.saturating_add(MAX_CLOCK_SKEW_MS);
        let known = self.latest.get(&reading.node).is_some_and(|r| r.at_ms >= reading.at_ms);
        let full = self.latest.len() >= MAX_NODES && !self.latest.contains_key(&reading.node);
        if stale || future || known || full || reading.values.len() > MAX_VALUES {
            return false;
        }
        self.latest.insert(reading.node, reading.clone());
        true
    }

    /// Queues a reading that this front took to be shared.
    pub fn share(&mut self, reading: Reading) {
        self.own.retain(|r| r.node != reading.node);
        self.own.push_back(reading);
        while self.own.len() > MAX_SHARED_READINGS {
            self.own.pop_front();
        }
        self.unshared = true;
    }

    /// The readings to share now, if any are new and a tenth of the period has passed since the last call that returned
    /// some. They include all own readings of the last period, so that a lost datagram matters little.
    pub fn due(&mut self, now_ms: u64, period_ms: u64) -> Option<Vec<Reading>> {
        if !self.unshared || now_ms < self.shared_ms.saturating_add(period_ms / 10) {
            return None;
        }
        (self.unshared, self.shared_ms) = (false, now_ms);
        self.own.retain(|r| r.at_ms.saturating_add(period_ms) >= now_ms);
        Some(self.own.iter().cloned().collect())
    }

    /// The latest reading of a node.
    pub fn latest(&self, node: u64) -> Option<&Reading> {
        self.latest.get(&node)
    }

    /// Removes the readings of nodes for which the predicate is false.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.latest.retain(|node, _| keep(*node));
    }
}
