//! Whether nodes with playing sessions live: their event streams, the verdict when none can be opened, and the sessions
//! that were given up by it.
//!
//! Each connection that comes up and each answer is a sign of life, whatever it says. A failed dial is judged by the
//! failure detector; until its verdict the stream is dialled again, with pauses. If the verdict is wrong, the node plays
//! on what was given up here. So these sessions are kept by their paths, and deleted once the node is reached.

use super::types::*;
use super::{Engine, Timer};
use pepperhook::{Outcome, ServerId, ServerState, SessionId, Time};
use pepperhook_liveness::{FIRST_REDIAL_PAUSE, FailedDial, FailureDetector, Limits, Verdict};
use std::collections::BTreeSet;

const MS: Time = 1_000_000;
/// Time in which the end of a session must be known.
const END_NOTICE_LIMIT: Time = 8_000 * MS;
/// Pause after a node that can be reached has not opened a stream.
const REFUSED_STREAM_PAUSE: Time = 500 * MS;
/// Pause between attempts to delete sessions that were given up.
const GIVEN_UP_PAUSE: Time = 2_000 * MS;
/// Most sessions of a node that are remembered after they were given up.
const MAX_GIVEN_UP: usize = 4_096;

/// What is known of a node's life.
pub struct NodeWatch {
    detector: FailureDetector,
    /// Path of the session whose event stream is open or being opened.
    stream_of: Option<String>,
    /// Sessions that were given up and may play there, by their paths.
    given_up: BTreeSet<String>,
    /// An effect deletes some of them at present, or a timer for it is set.
    is_deleting: bool,
}

impl NodeWatch {
    pub fn new(now: Time) -> Self {
        Self {
            detector: FailureDetector::new(now),
            stream_of: None,
            given_up: BTreeSet::new(),
            is_deleting: false,
        }
    }
}

impl Engine {
    fn detector_limits(&self) -> Limits {
        Limits::new(END_NOTICE_LIMIT, self.config.connect_timeout)
    }

    /// A sign of life of a node came at this time.
    pub(super) fn node_heard(&mut self, at: Time, node: ServerId) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        if at >= state.watch.detector.last_heard() {
            state.watch.detector.heard(at);
        }
    }

    /// Opens the node's event stream on the oldest of its playing sessions, unless one is open. Another process may have
    /// taken over the node's address: if it knows the oldest session it knows all, and otherwise it is asked about the
    /// next one. A younger session may be its own, and tells nothing about those before.
    pub(super) fn open_node_events(&mut self, node: ServerId, effects: &mut Vec<Effect>) {
        let Some(state) = self.nodes.get_mut(&node).filter(|s| s.watch.stream_of.is_none()) else { return };
        let streams = state.playing.iter().filter_map(|(path, id)| {
            let events = self.sessions.get(id)?.playing.as_ref()?.events.clone()?;
            Some((*id, path.clone(), events))
        });
        if let Some((_, path, events)) = streams.min() {
            state.watch.stream_of = Some(path);
            effects.push(Effect::OpenNodeEvents(node, events));
        }
    }

    /// Handles the end of a node's event stream, and opens another one, if there are sessions at a node that lives.
    pub(super) fn stream_ended(
        &mut self,
        now: Time,
        node: ServerId,
        how: StreamEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let Some(path) = state.watch.stream_of.take() else { return };
        match how {
            StreamEnd::Closed => self.node_heard(now, node),
            StreamEnd::Silent(time) => self.node_heard(now.saturating_sub(time), node),
            StreamEnd::SessionUnknown => {
                self.node_heard(now, node);
                self.lose_session_at(node, &path, effects);
            }
            StreamEnd::Refused => {
                self.node_heard(now, node);
                return self.reopen_events_at(now.saturating_add(REFUSED_STREAM_PAUSE), node);
            }
            StreamEnd::DialFailed(None) => {
                return self.reopen_events_at(now.saturating_add(FIRST_REDIAL_PAUSE), node);
            }
            StreamEnd::DialFailed(Some(end)) => return self.judge_failed_dial(now, node, end, effects),
        }
        self.open_node_events(node, effects);
    }

    fn reopen_events_at(&mut self, at: Time, node: ServerId) {
        self.timers.set(at, Timer::ReopenEvents(node));
    }

    fn judge_failed_dial(&mut self, now: Time, node: ServerId, end: FailedDial, effects: &mut Vec<Effect>) {
        let limits = self.detector_limits();
        let Some(state) = self.nodes.get_mut(&node) else { return };
        if state.watch.detector.dial_failed(now, end, None, &limits) == Verdict::Dead {
            return self.give_up_sessions(now, node, effects);
        }
        let next_dial_at = state.watch.detector.next_dial_at(now, &limits);
        self.reopen_events_at(next_dial_at, node);
    }

    /// Ends all sessions at a node that is held to be dead.
    fn give_up_sessions(&mut self, now: Time, node: ServerId, effects: &mut Vec<Effect>) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let playing: Vec<(String, SessionId)> = state.playing.clone().into_iter().collect();
        let room = MAX_GIVEN_UP.saturating_sub(state.watch.given_up.len());
        state.watch.given_up.extend(playing.iter().take(room).map(|(path, _)| path.clone()));
        self.metrics.nodes_lost += 1;
        effects.push(Effect::Log(format!(
            "node {} held to be dead, {} sessions stood there",
            state.node.name,
            playing.len()
        )));
        for (_, id) in playing {
            self.lose_session(id, effects);
        }
        self.delete_given_up_at(now.saturating_add(GIVEN_UP_PAUSE), node);
    }

    /// Ends a session that its node does not know any more.
    pub(super) fn lose_session_at(&mut self, node: ServerId, path: &str, effects: &mut Vec<Effect>) {
        if let Some(id) = self.nodes.get(&node).and_then(|state| state.playing.get(path)).copied() {
            self.lose_session(id, effects);
        }
    }

    fn lose_session(&mut self, id: SessionId, effects: &mut Vec<Effect>) {
        self.end_playing(id, Outcome::Broken, false, Some(("inactive", "lost")), effects);
    }

    fn delete_given_up_at(&mut self, at: Time, node: ServerId) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        if !state.watch.given_up.is_empty() && !state.watch.is_deleting {
            state.watch.is_deleting = true;
            self.timers.set(at, Timer::DeleteGivenUp(node));
        }
    }

    /// Deletes the sessions that were given up at a node. The address of one that has left the list may belong to another.
    pub(super) fn delete_given_up(&mut self, node: ServerId, effects: &mut Vec<Effect>) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let paths = std::mem::take(&mut state.watch.given_up);
        state.watch.is_deleting = !paths.is_empty() && state.node.entry.state != ServerState::Gone;
        if state.watch.is_deleting {
            effects.push(Effect::DeleteGivenUp(node, paths));
        }
    }

    /// The node could not be reached to delete these sessions; none are left if it answered for each.
    pub(super) fn given_up_remain(&mut self, now: Time, node: ServerId, paths: BTreeSet<String>) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        state.watch.is_deleting = false;
        state.watch.given_up.extend(paths);
        self.delete_given_up_at(now.saturating_add(GIVEN_UP_PAUSE), node);
    }
}
