//! What shows that a node lives, and what shows that it does not.
//!
//! A process that died refuses dials; a machine that vanished lets them run out, and says nothing on open connections. A
//! broken connection alone shows neither, and a node that stalls still takes connections. So a sign of trouble only
//! raises a doubt; the node is dialled, and the dial decides: a new connection ends the doubt; two refusals, or silence
//! for [`DEAD_AFTER_SILENCE`] with dials that run out, end the sessions that stand there. A connection that is still up speaks for
//! the node only if something came on it since the doubt began.
//!
//! Hundreds of front ends watch the same nodes, and each connection is work for a node. So the watch goes by the time
//! that the rule on releases leaves, not by a shorter one, and uses each connection twice: its coming up is one sign of
//! life, and the node's end of it, once this side has shut its own, another.
//!
//! A node that the list names no more is not dialled, since its address may be another's: it is asked on the connections
//! that are still up, and if nothing comes, its sessions are over.

use super::attempts::{Attempt, Stage};
use super::links::LinkState;
use super::playing::CAUSE_BROKEN;
use super::*;
use pepperhook::{Outcome, ServerEntry, ServerState, ZoneId};
use pepperhook_changelog::{Entry, State};
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Refused dials in a row that show a dead process.
const DEAD_AFTER_REFUSALS: u32 = 2;
/// So many while a connection to it is still up: a node that holds as many connections as it takes refuses too.
const DEAD_AFTER_REFUSALS_WITH_LINK: u32 = 5;
/// A node that is listed no more has so long to answer.
const RETIRED_ANSWER_TIME: Time = 800 * MS;
/// Between two dials of a node in doubt.
const REDIAL_INTERVAL: Time = 100 * MS;
/// Dials that run out show a vanished machine after so long.
const DEAD_AFTER_SILENCE: Time = 2_000 * MS;
/// Left over of the time within which an end must be told: the way to the viewer, and a late turn of this process.
const END_NOTICE_MARGIN: Time = 250 * MS;
/// After a time-out a node is in doubt if it has said nothing for so long; one that was asked for a sign has so long.
pub const SIGN_OF_LIFE_TIME: Time = 500 * MS;
/// Sessions that were released without their node's word and may stand there still, at most. It bounds memory; a node runs as
/// many streams as the settings say, a front holds its part of them.
const MAX_PENDING_RELEASES: usize = 512;

/// One life of a node.
pub struct Incarnation {
    pub server: ServerId,
    pub address: SocketAddrV4,
    started_ms: u64,
    state: State,
    /// Another life has taken the id or the list names it no more: it is not dialled again, since its address may be
    /// another's.
    retired: bool,
    /// When it was asked last, listed no more.
    asked_at: Option<Time>,
    /// Shown to be dead; a connection that comes up shows otherwise.
    dead: bool,
    pub links: BTreeSet<LinkId>,
    pub playing: BTreeSet<SessionId>,
    pub last_heard: Time,
    suspicion: Option<Suspicion>,
    /// Words that are due at the node if it comes back.
    pending_releases: VecDeque<ToNode>,
}

struct Suspicion {
    since: Time,
    refused_dials: u32,
    /// It was asked on a connection that is still up.
    asked: bool,
    /// The next dial has its time already.
    redial_scheduled: bool,
}

impl Incarnation {
    pub fn may_dial(&self) -> bool {
        !self.retired
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

    /// Takes in the list as it is now.
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

    fn add_incarnation(&mut self, now: Time, e: &Entry) {
        let incarnation = IncarnationId(self.fresh_number());
        self.current.insert(ServerId(e.id), incarnation);
        let new = Incarnation {
            server: ServerId(e.id),
            address: e.address,
            started_ms: e.started_ms,
            state: e.state,
            retired: false,
            asked_at: None,
            dead: false,
            links: BTreeSet::new(),
            playing: BTreeSet::new(),
            last_heard: now,
            suspicion: None,
            pending_releases: VecDeque::new(),
        };
        self.incarnations.insert(incarnation, new);
    }

    /// A node is listed where it was. Where it has started anew since, what is older than that start is over.
    fn update_incarnation(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        e: &Entry,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        node.state = e.state;
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
            // When one that was handed_over over began is not known: the list that told its node was older than this start,
            // so that most likely it is too. Left standing it might never be told; ended, it is so at its node as well.
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

    /// Since when a session stands, and whether it was handed_over over then.
    fn playing_since(&self, id: SessionId) -> Option<(Time, bool)> {
        let s = self.sessions.get(&id)?;
        let Phase::Playing(_, since) = s.phase else { return None };
        Some((since, s.request.playing_at.is_some()))
    }

    /// A life is past: its id stands for another address, or the list names it no more. Its connections tell when it
    /// ends.
    fn retire(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        (node.retired, node.state, node.suspicion) = (true, State::Gone, None);
        let (server, links) = (node.server, node.links.clone());
        if self.current.get(&server) == Some(&incarnation) {
            self.current.remove(&server);
        }
        // What comes up now may lead to another process at its address, whose word would count for this one.
        for link in links {
            if self.links.get(&link).is_some_and(|l| l.state == LinkState::Dialling) {
                self.cancel_dial(link, out);
            }
        }
        if self.incarnations.get(&incarnation).is_some_and(|node| node.links.is_empty()) {
            self.end_incarnation(now, incarnation, out);
        }
    }

    /// Takes a dial back; nothing was sent over it.
    fn cancel_dial(&mut self, link: LinkId, out: &mut Vec<Effect>) {
        let set_ups = self.links.get(&link).map(|l| l.set_ups.clone()).unwrap_or_default();
        set_ups.into_iter().for_each(|id| self.attempt_ended(id, Outcome::Unsent, Vec::new()));
        self.close_link(link, out);
    }

    /// Where a node of another id has the address of one that is gone, connections that came up since it started lead
    /// to it, however they were meant: the list may tell late, and a node that died was dialled until then. What came
    /// on them spoke for the wrong node, and what was set up over them is cut where it really plays.
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

    /// Whether this is the life of its id that the list names, or the last one that it named.
    pub(super) fn is_current(&self, incarnation: IncarnationId) -> bool {
        let server = self.incarnations.get(&incarnation).map(|node| node.server);
        server.and_then(|s| self.current.get(&s)).is_none_or(|current| *current == incarnation)
    }

    /// How an attempt or a session ended, as the module is to hear of it: what befell an older life of an id is no
    /// ground to suspect the node that has the id now.
    pub(super) fn outcome_for_controller(&self, incarnation: IncarnationId, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Served | Outcome::Cancelled => outcome,
            _ if self.is_current(incarnation) => outcome,
            _ if outcome.never_ran() => Outcome::Unsent,
            _ => Outcome::LinkBroken,
        }
    }

    /// A session was handed_over over with this node: whether it is dead is found out anew.
    pub(super) fn clear_dead(&mut self, incarnation: IncarnationId) {
        if let Some(node) = self.incarnations.get_mut(&incarnation) {
            node.dead = false;
        }
    }

    /// Closes a connection to a process that is no more.
    fn close_dead_link(&mut self, link: LinkId, out: &mut Vec<Effect>) {
        let set_ups = self.links.get(&link).map(|l| l.set_ups.clone()).unwrap_or_default();
        for id in set_ups {
            let unsent = |a: &Attempt| matches!(a.stage, Stage::Dialling(_) | Stage::CheckingViewer(_));
            let sent = self.attempt(id).is_some_and(|a| !unsent(a));
            self.attempt_ended(id, if sent { Outcome::Broken } else { Outcome::ConnectFailed }, Vec::new());
        }
        self.close_link(link, out);
    }

    /// Everything at a life is over.
    fn end_incarnation(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        (node.dead, node.suspicion) = (true, None);
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

    /// Words that no connection took: releases are due later, rungs are not.
    pub(super) fn keep_releases(&mut self, incarnation: IncarnationId, words: Vec<ToNode>) {
        words
            .into_iter()
            .filter(|w| matches!(w, ToNode::Release(..)))
            .for_each(|w| self.queue_release(incarnation, w));
    }

    /// Requests whose attempt there waits to learn whether the node lives.
    fn lost_attempts(&self, incarnation: IncarnationId) -> impl Iterator<Item = SessionId> {
        let is_lost = move |s: &Session| matches!(&s.phase, Phase::Open(Some(a)) if a.incarnation == incarnation && a.stage == Stage::LinkLost);
        self.sessions.iter().filter(move |(_, s)| is_lost(s)).map(|(id, _)| *id)
    }

    fn end_lost_attempts(&mut self, incarnation: IncarnationId, outcome: Outcome) {
        let ids: Vec<_> = self.lost_attempts(incarnation).collect();
        ids.into_iter().for_each(|id| self.attempt_ended(id, outcome, Vec::new()));
    }

    /// A connection came up: the node lives.
    pub(super) fn confirm_alive(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        link: LinkId,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        (node.last_heard, node.suspicion, node.dead) = (now, None, false);
        let pending_releases = std::mem::take(&mut node.pending_releases);
        pending_releases.into_iter().for_each(|message| self.send(now, link, message, out));
        self.end_lost_attempts(incarnation, Outcome::LinkBroken);
    }

    /// A connection broke or ended.
    pub(super) fn link_lost(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        had_work: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.incarnations.get(&incarnation) else { return };
        if node.retired {
            if node.links.is_empty() {
                self.end_incarnation(now, incarnation, out);
            } else {
                self.end_lost_attempts(incarnation, Outcome::LinkBroken);
            }
        } else if had_work || !node.playing.is_empty() {
            self.suspect(now, incarnation, out);
        }
    }

    fn suspect(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        self.suspect_since(now, now, incarnation, out);
    }

    pub(super) fn suspect_since(
        &mut self,
        now: Time,
        since: Time,
        incarnation: IncarnationId,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.incarnations.get_mut(&incarnation).filter(|node| !node.retired && !node.dead)
        else {
            return;
        };
        node.suspicion.get_or_insert(Suspicion {
            since,
            refused_dials: 0,
            asked: false,
            redial_scheduled: false,
        });
        if self.dialling_link(now, incarnation, out).is_none() {
            self.schedule_redial(now, incarnation);
        }
    }

    fn schedule_redial(&mut self, now: Time, incarnation: IncarnationId) {
        if let Some(suspicion) = self
            .incarnations
            .get_mut(&incarnation)
            .and_then(|node| node.suspicion.as_mut())
            .filter(|s| !s.redial_scheduled)
        {
            suspicion.redial_scheduled = true;
            self.set_timer(now + REDIAL_INTERVAL, Wake::Redial(incarnation));
        }
    }

    pub(super) fn suspect_if_quiet(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        if self.incarnations.get(&incarnation).is_some_and(|node| node.last_heard + SIGN_OF_LIFE_TIME < now) {
            self.suspect(now, incarnation, out);
        }
    }

    pub(super) fn redial(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        let Some(suspicion) =
            self.incarnations.get_mut(&incarnation).and_then(|node| node.suspicion.as_mut())
        else {
            return;
        };
        suspicion.redial_scheduled = false;
        self.suspect(now, incarnation, out);
    }

    /// A dial brought no connection.
    pub(super) fn judge_failed_dial(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        dial_end: DialEnd,
        out: &mut Vec<Effect>,
    ) {
        let dial = self.sockets.dial;
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        if node.retired {
            if node.links.is_empty() {
                self.end_incarnation(now, incarnation, out);
            }
            return;
        }
        let up = node.links.iter().any(|link| self.links.get(link).is_some_and(Link::is_up));
        let has_lost_attempts = self.lost_attempts(incarnation).next().is_some();
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        if node.dead || (node.playing.is_empty() && !has_lost_attempts) {
            node.suspicion = None;
            return;
        }
        let since = if dial_end == DialEnd::TimedOut { now.saturating_sub(dial) } else { now };
        let suspicion = node.suspicion.get_or_insert(Suspicion {
            since,
            refused_dials: 0,
            asked: false,
            redial_scheduled: false,
        });
        if node.last_heard > suspicion.since {
            // It talks on another connection, and only takes no new one.
            node.suspicion = None;
            return self.end_lost_attempts(incarnation, Outcome::LinkBroken);
        }
        suspicion.refused_dials += u32::from(dial_end == DialEnd::Refused);
        let ask = up && !std::mem::replace(&mut suspicion.asked, true);
        let refused =
            suspicion.refused_dials >= if up { DEAD_AFTER_REFUSALS_WITH_LINK } else { DEAD_AFTER_REFUSALS };
        let dead = refused || (dial_end == DialEnd::TimedOut && now - suspicion.since >= DEAD_AFTER_SILENCE);
        if dead {
            let (server, sessions) = (node.server.0, node.playing.len());
            let line =
                format!("s-{server:08x} held to be dead: {dial_end:?}, {sessions} sessions stood there");
            out.push(Effect::Log("node-dead", line));
            self.end_incarnation(now, incarnation, out);
        } else {
            if ask {
                self.request_sign_of_life(now, incarnation, out);
            }
            self.schedule_redial(now, incarnation);
        }
    }

    /// Asks a node that is listed no more whether it is still there, and ends what stands there if it says nothing.
    fn query_retired(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        if !self.probing {
            // Nothing may be asked; a process that died has reset its connections, a machine that vanished is silent.
            let quiet = |node: &Incarnation| {
                node.last_heard.saturating_add(self.quiet_limit(incarnation, node.last_heard)) < now
            };
            if self.incarnations.get(&incarnation).is_some_and(quiet) {
                self.end_incarnation(now, incarnation, out);
            }
            return;
        }
        let Some(node) = self.incarnations.get_mut(&incarnation) else { return };
        match node.asked_at {
            Some(at) if at + RETIRED_ANSWER_TIME > now => return,
            Some(at) if node.last_heard < at => return self.end_incarnation(now, incarnation, out),
            _ => node.asked_at = Some(now),
        }
        self.request_sign_of_life(now, incarnation, out);
    }

    /// Asks on each connection that is up; whatever comes back is a sign of life. Where nodes may not be asked, one that
    /// carries nothing is shut: a node that lives ends it, and has a place for the next one.
    fn request_sign_of_life(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        if !self.probing {
            if let Some(link) = self.idle_link(incarnation) {
                self.half_close(now, link, out);
            }
            return;
        }
        let Some(node) = self.incarnations.get(&incarnation) else { return };
        for link in node.links.clone() {
            let question = ProbeId(self.fresh_number());
            self.send(now, link, ToNode::QueryLoad(question), out);
        }
    }

    /// A node with standing sessions may say nothing for so long: what is left of the time for telling an end when a
    /// vanished machine has been found out. Less up to an eighth that each front and node draw anew each time, so that
    /// fronts which heard a node at one moment do not all ask it at one moment.
    fn quiet_limit(&self, incarnation: IncarnationId, last_heard: Time) -> Time {
        let found =
            SWEEP_INTERVAL + DEAD_AFTER_SILENCE + self.sockets.dial + REDIAL_INTERVAL + END_NOTICE_MARGIN;
        let all = END_NOTICE_LIMIT.saturating_sub(found);
        let draw = (incarnation.0 ^ last_heard).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56;
        all - all / 8 * draw / 256
    }

    /// Looks for a sign of life of a node that has said nothing for long: the end of a connection that can be spared,
    /// else a new one.
    fn check_alive(&mut self, now: Time, incarnation: IncarnationId, out: &mut Vec<Effect>) {
        match self.spare_link(incarnation) {
            Some(link) => self.half_close(now, link, out),
            None => self.suspect(now, incarnation, out),
        }
    }

    pub(super) fn sweep_incarnations(&mut self, now: Time, out: &mut Vec<Effect>) {
        let shut = |node: &Incarnation| {
            node.links.iter().any(|id| self.links.get(id).is_some_and(Link::is_half_closed))
        };
        let quiet = |id: &IncarnationId, node: &Incarnation| {
            let asked = node.suspicion.is_some() || shut(node);
            node.links.is_empty()
                || (!asked && node.last_heard + self.quiet_limit(*id, node.last_heard) < now)
        };
        let watched = |node: &Incarnation| !node.retired && !node.dead && !node.playing.is_empty();
        let all = self.incarnations.iter().filter(|(id, node)| watched(node) && quiet(id, node));
        let quiet: Vec<_> = all.map(|(id, _)| *id).collect();
        quiet.into_iter().for_each(|incarnation| self.check_alive(now, incarnation, out));
        let retired = |node: &Incarnation| node.retired && !node.playing.is_empty();
        let retired: Vec<_> =
            self.incarnations.iter().filter(|(_, node)| retired(node)).map(|(id, _)| *id).collect();
        retired.into_iter().for_each(|incarnation| self.query_retired(now, incarnation, out));
        self.incarnations
            .retain(|_, node| !(node.retired && node.playing.is_empty() && node.links.is_empty()));
    }
}
