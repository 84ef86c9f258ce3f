//! Load reports of nodes from probes, from other fronts and from answers, and how old the latest report of a node is
//! when a session is placed there.

use super::Engine;
use super::types::AttemptEnd;
use pepperhook::{Event, ServerId, Time};
use pepperhook_inventory::Node;
use pepperhook_signalling::LoadReport;

/// The incarnation of a node: its start time in milliseconds, 0 if unknown. Readings of another incarnation are
/// not valid for it.
#[must_use]
pub fn incarnation(node: &Node) -> u64 {
    node.entry.started.unwrap_or(0) / 1_000_000
}

impl Engine {
    /// Takes the result of a probe; `None` if the node did not answer.
    pub(super) fn probe_ended(&mut self, now: Time, node: ServerId, load: Option<LoadReport>) {
        let report = load.map(|load| self.gauges(&load));
        if report.as_ref().is_some_and(|r| !r.is_empty()) {
            self.note_report(node, now);
        }
        self.pending_events.push_back(Event::Probed(node, report));
    }

    /// Takes a load report that another front read `age` ago; ignored unless it is of the node's present incarnation.
    pub(super) fn peer_report(
        &mut self,
        now: Time,
        node: ServerId,
        reported_incarnation: u64,
        age: Time,
        load: &LoadReport,
    ) {
        if self.nodes.get(&node).is_none_or(|n| incarnation(&n.node) != reported_incarnation) {
            return;
        }
        self.note_report(node, now.saturating_sub(age));
        let report = self.gauges(load);
        self.pending_events.push_back(Event::PeerReport(node, age, report));
    }

    /// Records that the load of a node was read at this time.
    pub(super) fn note_report(&mut self, node: ServerId, at: Time) {
        if let Some(state) = self.nodes.get_mut(&node) {
            state.last_report_at = state.last_report_at.max(Some(at));
        }
    }

    /// Records the time of the load report in the answer to an attempt, if there is one.
    pub(super) fn note_answer_report(&mut self, now: Time, node: ServerId, end: &AttemptEnd) {
        let has_report = match end {
            AttemptEnd::Created(c) => !c.load.0.is_empty(),
            AttemptEnd::Answered(_, load) => !load.0.is_empty(),
            _ => false,
        };
        if has_report {
            self.note_report(node, now);
        }
    }

    /// Records how old the latest load report of a node is when a set-up is sent there.
    pub(super) fn record_report_age(&mut self, now: Time, node: ServerId) {
        let reported_at = self.nodes.get(&node).and_then(|n| n.last_report_at);
        self.metrics.record_placement(reported_at.map(|at| now.saturating_sub(at)));
    }
}
