//! What of the list the core is told: nodes that can be dialled, with starts that can have been.

use pepperhook_changelog::{Entry, NodeList};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Starts told for a time to come, by node: what was told, and what is gone by.
#[derive(Debug, Default)]
pub struct Roster(BTreeMap<u32, (u64, u64)>);

impl Roster {
    /// The nodes of the list that can be used. `now` is Unix time, milliseconds.
    ///
    /// A node at an address that leads nowhere is left out, since nothing can run there; the unspecified address would
    /// lead to this machine. One that is to start in time to come has started by the time that it is told: else it
    /// would count as just started, and be sent next to nothing, until then. Told again it keeps that start, which
    /// would otherwise end what has been set up there since.
    pub fn usable(&mut self, list: &NodeList, now: u64) -> Vec<Entry> {
        let mut ahead = BTreeMap::new();
        let mut entry = |e: &Entry| {
            let told = e.started_ms;
            let started_ms = match self.0.get(&e.id) {
                Some((same, held)) if *same == told => *held,
                _ => told.min(now),
            };
            if started_ms != told {
                ahead.insert(e.id, (told, started_ms));
            }
            Entry { started_ms, ..*e }
        };
        let entries = list.nodes().values().filter(|e| leads_somewhere(e.address)).map(&mut entry).collect();
        self.0 = ahead;
        entries
    }
}

fn leads_somewhere(address: SocketAddrV4) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
}

#[cfg(test)]
mod tests;
