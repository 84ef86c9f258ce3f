//! The nodes of the list, and their event streams, which report load and the ends of sessions.

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
    /// Path of the session whose event stream is open or being opened.
    pub event_stream_of: Option<String>,
    /// Time of its latest load report.
    pub last_report_at: Option<Time>,
    /// How its last list of sessions differs from those known here.
    pub list_differences: reconcile::Differences,
}

impl Engine {
    /// Takes a new list of nodes.
    pub(super) fn set_nodes(&mut self, nodes: Vec<Node>) {
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
                        event_stream_of: None,
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

    /// Opens the node's event stream on the oldest of its playing sessions, unless one is open. Another process may have
    /// taken over the node's address: if it knows the oldest session it knows all, and otherwise it is asked about the
    /// next one. A younger session may be its own, and tells nothing about those before.
    pub(super) fn open_node_events(&mut self, node: ServerId, effects: &mut Vec<Effect>) {
        let Some(state) = self.nodes.get_mut(&node).filter(|s| s.event_stream_of.is_none()) else { return };
        let streams = state.playing.iter().filter_map(|(path, id)| {
            let events = self.sessions.get(id)?.playing.as_ref()?.events.clone()?;
            Some((*id, path.clone(), events))
        });
        if let Some((_, path, events)) = streams.min() {
            state.event_stream_of = Some(path);
            effects.push(Effect::OpenNodeEvents(node, events));
        }
    }

    /// Handles an event from a node's event stream.
    pub(super) fn node_event(
        &mut self,
        now: Time,
        node: ServerId,
        event: NodeEvent,
        effects: &mut Vec<Effect>,
    ) {
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

    /// Handles the end of a node's event stream, and opens another one if the node offers events.
    pub(super) fn stream_ended(&mut self, node: ServerId, how: StreamEnd, effects: &mut Vec<Effect>) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let Some(path) = state.event_stream_of.take() else { return };
        match how {
            StreamEnd::Closed => {}
            StreamEnd::SessionUnknown => {
                if let Some(id) = state.playing.get(&path).copied() {
                    self.end_playing(id, Outcome::Broken, false, Some(("inactive", "lost")), effects);
                }
            }
            // The node offers no events: the front learns of the end of a session only from its viewer.
            StreamEnd::Refused => return,
            StreamEnd::NoConnection => {
                let playing: Vec<SessionId> = state.playing.values().copied().collect();
                self.metrics.nodes_lost += 1;
                for id in playing {
                    self.end_playing(id, Outcome::Broken, false, Some(("inactive", "lost")), effects);
                }
            }
        }
        self.open_node_events(node, effects);
    }
}
