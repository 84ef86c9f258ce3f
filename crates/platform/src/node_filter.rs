//! Filters the node list for the core: only nodes with an address that can be dialled, and no start times in the future.

use pepperhook_changelog::{Entry, NodeList};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Remembers, by node id, start times that were in the future when they were first listed: the listed start and the
/// start that replaced it, both Unix time in milliseconds.
#[derive(Debug, Default)]
pub struct NodeFilter(BTreeMap<u32, (u64, u64)>);

impl NodeFilter {
    /// Returns the nodes of the list that can be used. `now` is Unix time in milliseconds.
    ///
    /// A node is left out if its address is unspecified, multicast or broadcast, or has port 0: no node can run there,
    /// and the unspecified address would connect to this machine.
    ///
    /// A start time in the future is replaced by `now`. Otherwise the node would count as just started, and get almost
    /// no sessions, until that time. While the listed start stays the same, the replacement stays too: a later one would
    /// end the sessions that were set up since.
    pub fn usable(&mut self, list: &NodeList, now: u64) -> Vec<Entry> {
        let mut future_starts = BTreeMap::new();
        let mut with_past_start = |e: &Entry| {
            let listed = e.started_ms;
            let started_ms = match self.0.get(&e.id) {
                Some((same, replacement)) if *same == listed => *replacement,
                _ => listed.min(now),
            };
            if started_ms != listed {
                future_starts.insert(e.id, (listed, started_ms));
            }
            Entry { started_ms, ..*e }
        };
        let entries =
            list.nodes().values().filter(|e| is_dialable(e.address)).map(&mut with_past_start).collect();
        self.0 = future_starts;
        entries
    }
}

fn is_dialable(address: SocketAddrV4) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
}

#[cfg(test)]
mod tests;
