//! What is seen of nodes besides answers and event streams: by duties of this front and of others. And how old it is
//! when a session is placed by it.

use super::Engine;
use super::types::AttemptEnd;
use pepperhook::{Event, ServerId, Time};
use pepperhook_inventory::Node;
use pepperhook_signalling::LoadReport;

/// Which life of a node an entry of the list is: what was seen in another one says nothing of this.
#[must_use]
pub fn incarnation(node: &Node) -> u64 {
    node.entry.started.unwrap_or(0) / 1_000_000
}

impl Engine {
    /// A node that was asked for its load answered, or did not.
    pub(super) fn probed(&mut self, now: Time, node: ServerId, load: Option<LoadReport>) {
        let report = load.map(|load| self.gauges(&load));
        if report.as_ref().is_some_and(|r| !r.is_empty()) {
            self.read_at(node, now);
        }
        self.pending.push_back(Event::Probed(node, report));
    }

    /// Another front saw this.
    pub(super) fn seen(&mut self, now: Time, node: ServerId, seen: u64, age: Time, load: &LoadReport) {
        if self.nodes.get(&node).is_none_or(|n| incarnation(&n.node) != seen) {
            return;
        }
        self.read_at(node, now.saturating_sub(age));
        let report = self.gauges(load);
        self.pending.push_back(Event::PeerReport(node, age, report));
    }

    /// It was seen at this time how full a node is.
    pub(super) fn read_at(&mut self, node: ServerId, at: Time) {
        if let Some(state) = self.nodes.get_mut(&node) {
            state.read = state.read.max(Some(at));
        }
    }

    /// An answer brought a load report along.
    pub(super) fn note_read(&mut self, now: Time, node: ServerId, end: &AttemptEnd) {
        let told = match end {
            AttemptEnd::Created(c) => !c.load.0.is_empty(),
            AttemptEnd::Answered(_, load) => !load.0.is_empty(),
            _ => false,
        };
        if told {
            self.read_at(node, now);
        }
    }

    /// A session goes to a node: how old is what is known of it?
    pub(super) fn note_age(&mut self, now: Time, node: ServerId) {
        let read = self.nodes.get(&node).and_then(|n| n.read);
        self.metrics.record_placement(read.map(|at| now.saturating_sub(at)));
    }
}
