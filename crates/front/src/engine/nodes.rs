//! The nodes of the list, and the events that they send: load, and the ends of sessions.

use super::node_watch::NodeWatch;
use super::types::*;
use super::{Engine, reconcile};
use pepperhook::{Event, NotificationKind, Outcome, ServerId, ServerState, SessionId, Time};
use pepperhook_inventory::Node;
use std::collections::{BTreeMap, BTreeSet};

/// A node as this front knows it.
pub struct NodeState {
    pub node: Node,
    /// Sessions that play there, by their path at the node.
    pub playing: BTreeMap<String, SessionId>,
    pub watch: NodeWatch,
    /// Time of its latest load report.
    pub last_report_at: Option<Time>,
    /// How its last list of sessions differs from those known here.
    pub list_differences: reconcile::Differences,
}

impl Engine {
    /// Takes a new list of nodes.
    pub(super) fn set_nodes(&mut self, now: Time, nodes: Vec<Node>) {
        let entries = nodes.iter().map(|n| n.entry).collect();
        let listed: BTreeSet<ServerId> = nodes.iter().map(|n| n.entry.server).collect();
        for (id, state) in &mut self.nodes {
            if !listed.contains(id) {
                state.node.entry.state = ServerState::Gone;
            }
        }
        // A node that left the list is removed once it has no sessions or attempts of this front.
        let busy: BTreeSet<ServerId> = self.attempts.values().map(|a| a.node).collect();
        self.nodes.retain(|id, s| listed.contains(id) || !s.playing.is_empty() || busy.contains(id));
        for node in nodes {
            let id = node.entry.server;
            match self.nodes.get_mut(&id) {
                Some(state) => state.node = node,
                None => {
                    let state = NodeState {
                        node,
                        playing: BTreeMap::new(),
                        watch: NodeWatch::new(now),
                        last_report_at: None,
                        list_differences: reconcile::Differences::default(),
                    };
                    self.nodes.insert(id, state);
                }
            }
        }
        self.pending_events.push_back(Event::ListFull(entries));
        self.update_node_capacities();
    }

    /// Handles an event from a node's event stream.
    pub(super) fn node_event(
        &mut self,
        now: Time,
        node: ServerId,
        event: NodeEvent,
        effects: &mut Vec<Effect>,
    ) {
        self.node_heard(now, node);
        if matches!(event, NodeEvent::Link(_)) {
            // The settings say by how much such events are delayed.
            self.note_report(node, now.saturating_sub(self.config.decisions.notification_delay));
        }
        let Some(state) = self.nodes.get(&node) else { return };
        let (kind, value) = match event {
            NodeEvent::Inactive(path) => {
                if let Some(id) = state.playing.get(&path).copied() {
                    self.end_playing(id, Outcome::Served, false, Some(("inactive", "ended")), effects);
                }
                return;
            }
            NodeEvent::Delivered(v) => (NotificationKind::Delivered, v),
            NodeEvent::Link(v) => (NotificationKind::LinkUse, v),
            NodeEvent::Uplink(v) => (NotificationKind::UplinkUse, v),
        };
        if let Some(id) = state.playing.values().next() {
            self.pending_events.push_back(Event::Notification(*id, node, kind, value));
        }
    }
}
