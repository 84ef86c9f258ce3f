//! The list of nodes, and what is known of each incarnation of a node: its connections, the sessions that play there,
//! and the releases that it is owed.
//!
//! A node that has left the list, or whose id has another address now, is retired: it is not dialled, since its
//! address may belong to another node, and its open connections show when it ends.

use super::attempts::{Attempt, Stage};
use super::links::LinkState;
use super::liveness::Suspicion;
use super::playing::CAUSE_BROKEN;
use super::takeover::TakeoverCheck;
use super::*;
use pepperhook::{Outcome, ServerEntry, ServerState, ZoneId};
use pepperhook_changelog::{Entry, State};
use pepperhook_liveness::FailureDetector;
use std::net::SocketAddrV4;

/// Releases kept for a node that may still play sessions which were ended without its confirmation, at most.
/// This bounds memory: the settings limit the streams of a node, and one front has only part of them.
const MAX_PENDING_RELEASES: usize = 512;

/// One incarnation of a node.
pub struct Incarnation {
    pub server: ServerId,
    pub address: SocketAddrV4,
    /// Number of sessions that it can play.
    pub max_streams: usize,
    /// Start of the process by the list, Unix time in milliseconds.
    pub started_ms: u64,
    pub state: State,
    /// Another incarnation has taken the id, or the list does not name it any more. It is not dialled again,
    /// since its address may belong to another node.
    pub retired: bool,
    /// When it was last queried after it left the list.
    pub asked_at: Option<Time>,
    /// It was found dead. A connection that comes up clears this.
    pub dead: bool,
    pub links: BTreeSet<LinkId>,
    /// Sessions that play there.
    pub playing: BTreeSet<SessionId>,
    pub detector: FailureDetector,
    pub suspicion: Option<Suspicion>,
    pub takeover_check: Option<TakeoverCheck>,
    /// Releases to send on the next connection that comes up.
    pub pending_releases: VecDeque<ToNode>,
}

impl Incarnation {
    /// When a message or another sign of life was last received.
    pub fn last_heard(&self) -> Time {
        self.detector.last_heard()
    }

    /// Whether its address still belongs to it.
    pub fn may_dial(&self) -> bool {
        !self.retired
    }

    /// Whether it may be alive and has to be reached: sessions play there whose ends it reports, or it has to be
    /// sent a release.
    pub fn is_watched(&self) -> bool {
        !self.retired && !self.dead && self.has_sessions()
    }

    /// Whether sessions play there, or do as far as it knows.
    pub fn has_sessions(&self) -> bool {
        !self.playing.is_empty() || !self.pending_releases.is_empty()
    }

    /// Whether a release waits for a connection to this node, which may be alive.
    pub fn awaits_release(&self) -> bool {
        self.is_watched() && !self.pending_releases.is_empty()
    }
}

fn server_entry(e: &Entry) -> ServerEntry {
    ServerEntry {
        server: ServerId(e.id),
        zone: ZoneId(e.zone),
        kind: pepperhook::KindId(e.kind),
        cell: e.cell,
        state: match e.state {
            State::Ready => ServerState::Ready,
            State::Draining => ServerState::Draining,
            State::Gone => ServerState::Gone,
        },
        weight: e.weight,
        started: Some(e.started_ms.saturating_mul(MS)).filter(|t| *t > 0),
    }
}

impl Core {
    pub(super) fn is_ready(&self, incarnation: IncarnationId) -> bool {
        self.incarnations.get(&incarnation).is_some_and(|node| node.state == State::Ready && !node.retired)
    }

    /// Applies the current list of nodes.
    pub(super) fn update_nodes(&mut self, now: Time, entries: &[Entry], out: &mut Vec<Effect>) {
        let listed: BTreeSet<u32> = entries.iter().map(|e| e.id).collect();
        let gone: Vec<_> =
            self.current.iter().filter(|(id, _)| !listed.contains(&id.0)).map(|(_, node)| *node).collect();
        gone.into_iter().for_each(|incarnation| self.retire(now, incarnation, out));
        for e in entries {
            let known = self.current.get(&ServerId(e.id)).copied();
            let same = known
                .filter(|node| self.incarnations.get(node).is_some_and(|node| node.address == e.address));
            match (same, known) {
                (Some(incarnation), _) => self.update_incarnation(now, incarnation, e, out),
                (None, old) => {
                    self.add_incarnation(now, e);
                    old.into_iter().for_each(|old| self.retire(now, old, out));
                }
            }
        }
        self.close_misdirected_links(now, entries, out);
        self.pending.push_back(Event::ListFull(entries.iter().map(server_entry).collect()));
    }

    /// Maximum number of streams on a node; an unknown kind counts as the last one.
    fn max_streams(&self, kind: u16) -> usize {
        let kinds = &self.kind_max_streams;
        kinds.get(usize::from(kind)).or(kinds.last()).map_or(usize::MAX, |streams| *streams as usize)
    }

    fn add_incarnation(&mut self, now: Time, e: &Entry) {
        let incarnation = IncarnationId(self.fresh_number());
        self.current.insert(ServerId(e.id), incarnation);
        let new = Incarnation {
            server: ServerId(e.id),
            address: e.address,
            max_streams: self.max_streams(e.kind),
            started_ms: e.started_ms,
            state: e.state,
            retired: false,
            asked_at: None,
            dead: false,
            links: BTreeSet::new(),
            playing: BTreeSet::new(),
            detector: FailureDetector::new(now),
            suspicion: None,
            takeover_check: None,
            pending_releases: VecDeque::new(),
        };
        self.incarnations.insert(incarnation, new);
    }

    /// Updates a node that is listed at its known address. If it has restarted, sessions and connections
    /// older than that start have ended.
    fn update_incarnation(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        e: &Entry,
        out: &mut Vec<Effect>,
    ) {
        let max_streams = self.max_streams(e.kind);
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        (node.state, node.max_streams) = (e.state, max_streams);
        if node.started_ms >= e.started_ms {
            return;
        }
        node.started_ms = e.started_ms;
        let started = e.started_ms.saturating_mul(MS);
        let (links, playing) = (node.links.clone(), node.playing.clone());
        let older = |link: &LinkId| self.links.get(link).is_some_and(|l| l.opened_at < started);
        let links: Vec<_> = links.into_iter().filter(older).collect();
        for link in links {
            self.close_dead_link(link, out);
        }
        for id in playing {
            // The real start of a session that was handed over is not known. The list that named its node is
            // older than this restart, so the session most likely is too. Kept, its end might never be
            // reported; ended here, it is also released at its node.
            let Some((since, handed_over)) = self.playing_since(id) else { continue };
            if since >= started && !handed_over {
                continue;
            }
            let message = ToNode::Release(id, self.title(id), CAUSE_BROKEN);
            self.session_ended(now, id, Outcome::Broken, Vec::new(), out);
            if since >= started {
                self.send_to_node(now, incarnation, message, out);
            }
        }
    }

    /// Since when a session plays, and whether it was handed over then.
    pub(super) fn playing_since(&self, id: SessionId) -> Option<(Time, bool)> {
        let s = self.sessions.get(&id)?;
        let Phase::Playing(_, since) = s.phase else { return None };
        Some((since, s.request.playing_at.is_some()))
    }

    /// Retires an incarnation whose id now has another address or which has left the list. Its open
    /// connections show when it ends.
    fn retire(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        (node.retired, node.state, node.suspicion) = (true, State::Gone, None);
        let (server, links) = (node.server, node.links.clone());
        if self.current.get(&server) == Some(&incarnation) {
            self.current.remove(&server);
        }
        // A dial that succeeds now may reach another process at its address, whose messages would be taken
        // for this incarnation's.
        for link in links {
            if self.links.get(&link).is_some_and(|l| l.state == LinkState::Dialling) {
                self.cancel_dial(link, out);
            }
        }
        if self.incarnations.get(&incarnation).is_some_and(|node| node.links.is_empty()) {
            self.end_incarnation(now, incarnation, out);
        }
    }

    /// Abandons a dial. Nothing was sent on it.
    fn cancel_dial(&mut self, link: LinkId, out: &mut Vec<Effect>) {
        let set_ups = self.links.get(&link).map(|l| l.set_ups.clone()).unwrap_or_default();
        set_ups.into_iter().for_each(|id| self.attempt_ended(id, Outcome::Unsent, Vec::new()));
        self.close_link(link, out);
    }

    /// Closes connections to retired incarnations that lead to another node. If a node has taken over the
    /// address of a retired one, connections that came up since it started lead to it: the list may be late,
    /// and the dead node was dialled until then. What was received on them was credited to the wrong node,
    /// and sessions set up over them are released where they really play.
    fn close_misdirected_links(&mut self, now: Time, entries: &[Entry], out: &mut Vec<Effect>) {
        let listed: BTreeMap<_, _> = entries.iter().map(|e| (e.address, e.started_ms)).collect();
        let retired = self.incarnations.iter().filter(|(_, node)| node.retired);
        let reused: Vec<_> = retired
            .filter_map(|(id, node)| Some((*id, *listed.get(&node.address)?, node.links.clone())))
            .collect();
        for (incarnation, started_ms, links) in reused {
            let started = started_ms.saturating_mul(MS);
            let misdirected = |link: &LinkId| self.links.get(link).is_some_and(|l| l.opened_at >= started);
            let links: Vec<_> = links.into_iter().filter(misdirected).collect();
            let Some(link_up) =
                links.iter().copied().find(|node| self.links.get(node).is_some_and(Link::is_up))
            else {
                continue;
            };
            let playing =
                self.incarnations.get(&incarnation).map(|node| node.playing.clone()).unwrap_or_default();
            for id in playing {
                if self.playing_since(id).is_some_and(|(since, handed_over)| since >= started && !handed_over)
                {
                    self.send(now, link_up, ToNode::Release(id, self.title(id), CAUSE_BROKEN), out);
                    self.session_ended(now, id, Outcome::Broken, Vec::new(), out);
                }
            }
            links.into_iter().for_each(|link| self.close_dead_link(link, out));
            if self.incarnations.get(&incarnation).is_some_and(|node| node.links.is_empty()) {
                self.end_incarnation(now, incarnation, out);
            }
        }
    }

    /// Whether this is the listed incarnation of its id or, if the id is not listed, its last one.
    pub(super) fn is_current(&self, incarnation: IncarnationId) -> bool {
        let server = self.incarnations.get(&incarnation).map(|node| node.server);
        server.and_then(|s| self.current.get(&s)).is_none_or(|current| *current == incarnation)
    }

    /// The outcome of an attempt or session as reported to the controller: a failure of an older incarnation
    /// is no reason to suspect the current one.
    pub(super) fn outcome_for_controller(&self, incarnation: IncarnationId, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Served | Outcome::Cancelled => outcome,
            _ if self.is_current(incarnation) => outcome,
            _ if outcome.never_ran() => Outcome::Unsent,
            _ => Outcome::LinkBroken,
        }
    }

    /// A session is handed over with this node. If no session was known there, its silence so far proves nothing; if it was
    /// found dead, that is checked again.
    pub(super) fn begin_watch(&mut self, now: Time, incarnation: IncarnationId) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        if !node.dead && node.playing.is_empty() {
            node.detector.watch_from(now);
        }
        node.dead = false;
    }

    /// Closes a connection to a process that has ended.
    pub(super) fn close_dead_link(&mut self, link: LinkId, out: &mut Vec<Effect>) {
        let set_ups = self.links.get(&link).map(|l| l.set_ups.clone()).unwrap_or_default();
        for id in set_ups {
            let unsent = |a: &Attempt| matches!(a.stage, Stage::Dialling(_) | Stage::CheckingViewer(_));
            let sent = self.attempt(id).is_some_and(|a| !unsent(a));
            self.attempt_ended(id, if sent { Outcome::Broken } else { Outcome::ConnectFailed }, Vec::new());
        }
        self.close_link(link, out);
    }

    /// Ends all attempts, connections and sessions of an incarnation.
    pub(super) fn end_incarnation(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        (node.dead, node.suspicion, node.takeover_check) = (true, None, None);
        let (links, playing) = (node.links.clone(), node.playing.clone());
        let retired = node.retired;
        self.end_lost_attempts(incarnation, Outcome::Broken);
        links.into_iter().for_each(|link| self.close_dead_link(link, out));
        for id in playing {
            if !retired {
                self.queue_release(incarnation, ToNode::Release(id, self.title(id), CAUSE_BROKEN));
            }
            self.session_ended(now, id, Outcome::Broken, Vec::new(), out);
        }
    }

    fn queue_release(&mut self, incarnation: IncarnationId, message: ToNode) {
        if let Some(node) = self
            .incarnations
            .get_mut(&incarnation)
            .filter(|node| node.pending_releases.len() < MAX_PENDING_RELEASES)
        {
            node.pending_releases.push_back(message);
        }
    }

    /// Keeps the releases among unsent messages for later; other messages are outdated by then.
    pub(super) fn keep_releases(&mut self, incarnation: IncarnationId, messages: Vec<ToNode>) {
        messages
            .into_iter()
            .filter(|m| matches!(m, ToNode::Release(..)))
            .for_each(|m| self.queue_release(incarnation, m));
    }
}
