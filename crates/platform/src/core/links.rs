//! Connections to nodes. A set-up gets a connection of its own where there are enough, so that a broken
//! connection affects one set-up only. Playing sessions need no connection of their own, but one is kept to
//! each node where sessions play, to receive their ends.

use super::attempts::Stage;
use super::liveness::SIGN_OF_LIFE_TIME;
use super::places::DialPurpose;
use super::*;
use pepperhook::Outcome;

/// Messages that wait for a connection to come up, at most; further ones are dropped, rungs included. One
/// message per session suffices, and a dial takes no longer than the dial timeout of the settings.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Time after which a release that was sent has reached its node, unless the connection had ended before.
const RELEASE_DELIVERY_TIME: Time = 500 * MS;
/// Dials for one attempt, at most, if they fail for a local reason. A second dial tells a chance failure from
/// a fault on this side, independent of the settings.
const MAX_DIALS: u8 = 2;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Dialling,
    Up,
    /// This side half-closed it at this time. Nothing more is sent on it; when the node closes it, that is a
    /// sign of life.
    HalfClosed(Time),
}

/// A connection to a node.
pub struct Link {
    pub incarnation: IncarnationId,
    pub state: LinkState,
    /// When it was dialled and, once it is up, when it came up.
    pub opened_at: Time,
    /// A set-up was sent on it. It is preferred to others, since the node's work for a new connection is
    /// done.
    pub carried_set_up: bool,
    /// It accepted no bytes, or the node had closed it, when a set-up was about to be sent. Cleared when a
    /// message comes on it.
    pub blocked: bool,
    /// When a message was last sent or received on it.
    pub last_used: Time,
    /// When a message was last received on it.
    pub heard_at: Option<Time>,
    /// When the first message was sent that awaits an answer, since the last one was received.
    pub unanswered_since: Option<Time>,
    /// Set-ups in flight on it or waiting for it.
    pub set_ups: BTreeSet<SessionId>,
    probes: BTreeSet<ProbeId>,
    queue: Vec<ToNode>,
    /// Releases sent on it that the node has not acknowledged.
    unacknowledged: Vec<SentRelease>,
}

/// A release that may be lost with its connection.
struct SentRelease {
    sent_at: Time,
    message: ToNode,
}

impl SentRelease {
    fn is_under_way(&self, now: Time) -> bool {
        self.sent_at + RELEASE_DELIVERY_TIME > now
    }

    fn is_of(&self, session: SessionId) -> bool {
        matches!(self.message, ToNode::Release(released, ..) if released == session)
    }
}

impl Link {
    pub fn is_up(&self) -> bool {
        self.state == LinkState::Up
    }

    pub fn is_half_closed(&self) -> bool {
        matches!(self.state, LinkState::HalfClosed(_))
    }

    /// Whether no release waits for it to come up.
    pub fn has_no_queued_release(&self) -> bool {
        !self.queue.iter().any(|message| matches!(message, ToNode::Release(..)))
    }

    fn release_sent(&mut self, now: Time, message: ToNode) {
        self.unacknowledged.retain(|release| release.is_under_way(now));
        self.unacknowledged.push(SentRelease { sent_at: now, message });
    }

    fn release_acknowledged(&mut self, session: SessionId) {
        self.unacknowledged.retain(|release| !release.is_of(session));
    }

    /// Releases that may have been lost with the connection: the node may have closed it before it read them.
    fn into_lost_releases(self, now: Time) -> Vec<ToNode> {
        let lost = self.unacknowledged.into_iter().filter(|release| release.is_under_way(now));
        lost.map(|release| release.message).collect()
    }

    /// Whether a question on it has been unanswered for some time.
    pub fn is_silent(&self, now: Time) -> bool {
        self.unanswered_since.is_some_and(|at| at + SIGN_OF_LIFE_TIME <= now)
    }

    /// Whether nothing on it awaits an answer, and nothing waits for it to come up.
    pub fn is_idle(&self) -> bool {
        self.set_ups.is_empty() && self.probes.is_empty() && self.queue.is_empty()
    }
}

/// A load query in flight.
pub struct Probe {
    server: ServerId,
    incarnation: IncarnationId,
    link: LinkId,
    /// It was already repeated on a second connection.
    retried: bool,
}

impl Core {
    /// Dials a node if there is a place for the connection. A node that is not in the list any more is never
    /// dialled, since its address may belong to another one.
    pub(super) fn dial(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        purpose: DialPurpose,
        out: &mut Vec<Effect>,
    ) -> Option<LinkId> {
        if !self.incarnations.get(&incarnation).is_some_and(Incarnation::may_dial) {
            return None;
        }
        if !self.take_place(incarnation, purpose, out) {
            return None;
        }
        let link = LinkId(self.fresh_number());
        let l = self.incarnations.get_mut(&incarnation)?;
        l.links.insert(link);
        out.push(Effect::Dial(link, l.address.into()));
        let new = Link {
            incarnation,
            state: LinkState::Dialling,
            opened_at: now,
            carried_set_up: false,
            blocked: false,
            last_used: now,
            heard_at: None,
            unanswered_since: None,
            set_ups: BTreeSet::new(),
            probes: BTreeSet::new(),
            queue: Vec::new(),
            unacknowledged: Vec::new(),
        };
        self.links.insert(link, new);
        Some(link)
    }

    pub(super) fn close_link(&mut self, link: LinkId, out: &mut Vec<Effect>) {
        let Some(l) = self.drop_link(link) else { return };
        out.push(Effect::CloseLink(link));
        for id in l.probes {
            self.probe_ended(id, None);
        }
    }

    pub(super) fn drop_link(&mut self, link: LinkId) -> Option<Link> {
        let l = self.links.remove(&link)?;
        self.end_takeover_check(l.incarnation, link);
        if let Some(incarnation) = self.incarnations.get_mut(&l.incarnation) {
            incarnation.links.remove(&link);
        }
        Some(l)
    }

    /// Whether the node is unlikely to close a connection for idleness while a message is on its way. The
    /// last fifth of the idle time is avoided, which is far longer than any message takes.
    fn is_fresh(&self, now: Time, link: &Link) -> bool {
        link.last_used + self.sockets.idle_timeout / 5 * 4 > now
    }

    pub(super) fn up_links(&self, incarnation: IncarnationId) -> impl Iterator<Item = (LinkId, &Link)> {
        let ids = self.incarnations.get(&incarnation).into_iter().flat_map(|node| &node.links);
        ids.filter_map(|id| self.links.get(id).map(|l| (*id, l))).filter(|(_, l)| l.is_up())
    }

    /// A connection for a set-up: a free one, preferably one that has carried a set-up, then the one used
    /// last; else a new one; else the one with the fewest set-ups.
    pub(super) fn link_for_set_up(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        out: &mut Vec<Effect>,
    ) -> Option<LinkId> {
        let free = self
            .up_links(incarnation)
            .filter(|(_, l)| l.set_ups.is_empty() && !l.blocked && self.is_fresh(now, l));
        if let Some((link, _)) = free.max_by_key(|(_, l)| (l.carried_set_up, l.last_used)) {
            return Some(link);
        }
        if let Some(link) = self.dial(now, incarnation, DialPurpose::Request, out) {
            return Some(link);
        }
        let ids = self.incarnations.get(&incarnation).into_iter().flat_map(|node| &node.links);
        let some = ids.filter_map(|id| self.links.get(id).map(|l| (*id, l)));
        let room = some.filter(|(_, l)| {
            !l.is_half_closed() && !l.blocked && l.set_ups.len() < self.sockets.max_set_ups_per_link
        });
        room.min_by_key(|(_, l)| (!l.is_up(), l.set_ups.len())).map(|(link, _)| link)
    }

    pub(super) fn send(&mut self, now: Time, link: LinkId, message: ToNode, out: &mut Vec<Effect>) {
        if let Some(l) = self.links.get_mut(&link).filter(|l| l.is_up()) {
            l.last_used = now;
            if message.awaits_answer() {
                l.unanswered_since.get_or_insert(now);
            }
            if matches!(message, ToNode::Release(..)) {
                l.release_sent(now, message.clone());
            }
            out.push(Effect::SendToNode(link, message));
        }
    }

    /// Sends a message about a playing session on any connection to its node. If there is none and no place for
    /// one, a release is kept for the next connection.
    pub(super) fn send_to_node(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        message: ToNode,
        out: &mut Vec<Effect>,
    ) {
        let up = self
            .up_links(incarnation)
            .filter(|(_, l)| self.is_fresh(now, l))
            .max_by_key(|(_, l)| (l.carried_set_up, l.last_used));
        if let Some((link, _)) = up {
            return self.send(now, link, message, out);
        }
        let link = self.dialling_link(now, incarnation, DialPurpose::Watch, out);
        match link.and_then(|link| self.links.get_mut(&link)) {
            Some(l) if l.queue.len() < MAX_QUEUED_MESSAGES => l.queue.push(message),
            Some(_) => {}
            None => self.keep_releases(incarnation, vec![message]),
        }
    }

    /// A connection that is being dialled, else a new one.
    pub(super) fn dialling_link(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        purpose: DialPurpose,
        out: &mut Vec<Effect>,
    ) -> Option<LinkId> {
        let ids = &self.incarnations.get(&incarnation)?.links;
        let dialled =
            ids.iter().copied().find(|id| self.links.get(id).is_some_and(|l| l.state == LinkState::Dialling));
        dialled.or_else(|| self.dial(now, incarnation, purpose, out))
    }

    // ---- load queries --------------------------------------------------------------------------

    pub(super) fn probe(&mut self, now: Time, server: ServerId, out: &mut Vec<Effect>) {
        let incarnation = self.current.get(&server).copied();
        let Some((incarnation, link)) =
            incarnation.and_then(|l| self.link_for_probe(now, l, out).map(|link| (l, link)))
        else {
            return self.pending.push_back(Event::Probed(server, None));
        };
        let id = ProbeId(self.fresh_number());
        self.probes.insert(id, Probe { server, incarnation, link, retried: false });
        self.set_timer(now + self.sockets.dial_timeout, Wake::ProbeTimeout(id));
        self.query_load(now, id, link, out);
    }

    fn link_for_probe(
        &mut self,
        now: Time,
        incarnation: IncarnationId,
        out: &mut Vec<Effect>,
    ) -> Option<LinkId> {
        let up = self
            .up_links(incarnation)
            .filter(|(_, l)| self.is_fresh(now, l))
            .min_by_key(|(_, l)| (l.is_silent(now), l.set_ups.len()));
        if let Some((link, _)) = up {
            return Some(link);
        }
        self.dialling_link(now, incarnation, DialPurpose::Request, out)
    }

    fn query_load(&mut self, now: Time, id: ProbeId, link: LinkId, out: &mut Vec<Effect>) {
        if let Some(l) = self.links.get_mut(&link) {
            l.probes.insert(id);
        }
        self.send(now, link, ToNode::QueryLoad(id), out);
    }

    /// Queries the node for a sign of life; the load that it reports is not used.
    pub(super) fn query_sign_of_life(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        let probe = ProbeId(self.fresh_number());
        self.send(now, link, ToNode::QueryLoad(probe), out);
    }

    fn probe_ended(&mut self, id: ProbeId, report: Option<Vec<f64>>) -> Option<Probe> {
        let probe = self.probes.remove(&id)?;
        if let Some(link) = self.links.get_mut(&probe.link) {
            link.probes.remove(&id);
        }
        // A report of an older incarnation is no evidence about the current one.
        let report = if self.is_current(probe.incarnation) { report } else { Some(Vec::new()) };
        self.pending.push_back(Event::Probed(probe.server, report));
        Some(probe)
    }

    pub(super) fn probe_timed_out(&mut self, now: Time, id: ProbeId, out: &mut Vec<Effect>) {
        if let Some(probe) = self.probe_ended(id, None) {
            self.suspect_if_quiet(now, probe.incarnation, out);
        }
    }

    /// Repeats a load query once whose connection broke, since that is not an answer of the node.
    fn retry_probe(&mut self, now: Time, id: ProbeId, out: &mut Vec<Effect>) {
        let Some(probe) = self.probes.get(&id) else { return };
        let (incarnation, retried) = (probe.incarnation, probe.retried);
        let link = if retried { None } else { self.link_for_probe(now, incarnation, out) };
        match (link, self.probes.get_mut(&id)) {
            (Some(link), Some(probe)) => {
                (probe.link, probe.retried) = (link, true);
                self.query_load(now, id, link, out);
            }
            _ => {
                self.probe_ended(id, None);
            }
        }
    }

    // ---- state changes of connections ----------------------------------------------------------

    pub(super) fn link_up(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        let Some(l) = self.links.get_mut(&link) else { return out.push(Effect::CloseLink(link)) };
        (l.state, l.last_used, l.opened_at) = (LinkState::Up, now, now);
        let (incarnation, queue) = (l.incarnation, std::mem::take(&mut l.queue));
        let (set_ups, probes) = (l.set_ups.clone(), l.probes.clone());
        self.confirm_alive(now, incarnation, link, out);
        queue.into_iter().for_each(|message| self.send(now, link, message, out));
        set_ups.into_iter().for_each(|id| self.check_viewer(now, id, out));
        probes.into_iter().for_each(|id| self.send(now, link, ToNode::QueryLoad(id), out));
    }

    pub(super) fn dial_failed(&mut self, now: Time, link: LinkId, dial_end: DialEnd, out: &mut Vec<Effect>) {
        let Some(l) = self.drop_link(link) else { return };
        for id in l.set_ups {
            let dials = match self.attempt(id).map(|a| a.stage) {
                Some(Stage::Dialling(dials)) => dials,
                _ => continue,
            };
            if dial_end == DialEnd::Failed && dials < MAX_DIALS {
                if let Some(next) = self.link_for_set_up(now, l.incarnation, out) {
                    self.move_set_up(now, id, next, dials + 1, out);
                    continue;
                }
            }
            // A dial that failed for a local reason is no evidence about the node.
            let outcome = if dial_end == DialEnd::Failed { Outcome::Unsent } else { Outcome::ConnectFailed };
            self.attempt_ended(id, outcome, Vec::new());
        }
        for id in l.probes {
            match dial_end {
                DialEnd::Failed => self.retry_probe(now, id, out),
                _ => {
                    self.probe_ended(id, None);
                }
            }
        }
        self.keep_releases(l.incarnation, l.queue);
        self.judge_failed_dial(now, l.incarnation, dial_end, out);
    }

    pub(super) fn move_set_up(
        &mut self,
        now: Time,
        id: SessionId,
        to: LinkId,
        dials: u8,
        out: &mut Vec<Effect>,
    ) {
        let Some(attempt) = self.attempt_mut(id) else { return };
        (attempt.link, attempt.stage) = (to, Stage::Dialling(dials));
        if let Some(link) = self.links.get_mut(&to) {
            link.set_ups.insert(id);
        }
        self.check_viewer(now, id, out);
    }

    pub(super) fn link_down(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        let Some(l) = self.drop_link(link) else { return };
        let mut lost_attempts = false;
        for id in l.set_ups.iter().copied() {
            match self.attempt(id).map(|a| a.stage) {
                Some(Stage::Sent) => {
                    lost_attempts = true;
                    if let Some(attempt) = self.attempt_mut(id) {
                        attempt.stage = Stage::LinkLost;
                    }
                }
                Some(Stage::CheckingViewer(_)) => self.attempt_ended(id, Outcome::Unsent, Vec::new()),
                // Closing the connection cancels the set-up at the node.
                Some(Stage::Cancelling) => self.attempt_ended(id, Outcome::TimedOut, Vec::new()),
                _ => {}
            }
        }
        let (incarnation, lost_probes) = (l.incarnation, !l.probes.is_empty());
        l.probes.iter().for_each(|id| self.retry_probe(now, *id, out));
        self.keep_releases(incarnation, l.into_lost_releases(now));
        self.link_lost(now, incarnation, lost_attempts || lost_probes, out);
    }

    pub(super) fn node_message(&mut self, now: Time, link: LinkId, message: FromNode, out: &mut Vec<Effect>) {
        let Some(l) = self.links.get_mut(&link) else { return };
        (l.last_used, l.blocked) = (now, false);
        (l.heard_at, l.unanswered_since) = (Some(now), None);
        if let FromNode::Acknowledged(id) | FromNode::SessionEnded(id, ..) = &message {
            l.release_acknowledged(*id);
        }
        let (incarnation, opened_at) = (l.incarnation, l.opened_at);
        if let Some(incarnation) = self.incarnations.get_mut(&incarnation) {
            incarnation.detector.heard(now);
        }
        self.note_for_takeover_check(now, incarnation, opened_at);
        match message {
            FromNode::Started(id, body) => self.set_up_succeeded(now, link, id, body, out),
            FromNode::SetUpFailed(id, outcome, report) => self.set_up_failed(link, id, outcome, report),
            FromNode::SessionEnded(id, outcome, report) => {
                self.node_ended_session(now, link, id, outcome, report, out)
            }
            FromNode::Acknowledged(id) => {
                if self.attempt(id).is_some_and(|a| a.link == link && a.stage == Stage::Cancelling) {
                    self.attempt_ended(id, Outcome::TimedOut, Vec::new());
                }
            }
            FromNode::Notification(id, kind, value) => self.notification(link, id, kind, value),
            FromNode::LoadReport(id, report) => {
                if self.probes.get(&id).is_some_and(|p| p.link == link) {
                    self.probe_ended(id, report);
                }
            }
            FromNode::Other => {}
        }
    }

    /// Half-closes a connection that carries nothing. A running process closes its side at once, so a
    /// connection that is no longer needed yields one more sign of life.
    pub(super) fn half_close(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        let Some(l) = self.links.get_mut(&link).filter(|l| l.is_up()) else { return };
        l.state = LinkState::HalfClosed(now);
        out.push(Effect::HalfCloseLink(link));
        self.set_timer(now + SIGN_OF_LIFE_TIME, Wake::HalfCloseTimeout(link));
    }

    /// The node was there when this connection was closed or reset.
    fn note_end_by_node(&mut self, now: Time, link: LinkId) {
        let incarnation = self.links.get(&link).map(|l| l.incarnation);
        if let Some(node) = incarnation.and_then(|id| self.incarnations.get_mut(&id)) {
            node.detector.heard(now);
        }
    }

    /// A connection was reset: by a node that lives, or since its process has ended just now.
    pub(super) fn link_reset(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        self.note_end_by_node(now, link);
        self.link_down(now, link, out);
    }

    /// The node closed a connection. If this side had half-closed it, that is the sign of life which was asked for: a dead
    /// process would have reset it or stayed silent.
    pub(super) fn link_ended_by_node(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        if !self.links.get(&link).is_some_and(Link::is_half_closed) {
            self.note_end_by_node(now, link);
            return self.link_down(now, link, out);
        }
        let Some(Link { incarnation, opened_at, .. }) = self.drop_link(link) else { return };
        self.note_for_takeover_check(now, incarnation, opened_at);
        let Some(l) = self.incarnations.get_mut(&incarnation) else { return };
        l.detector.heard(now);
        if l.links.is_empty() {
            self.link_lost(now, incarnation, false, out);
        }
    }

    /// A node that does not close a half-closed connection stalls or has vanished, so it is dialled.
    pub(super) fn half_close_timed_out(&mut self, now: Time, link: LinkId, out: &mut Vec<Effect>) {
        let Some(Link { incarnation, state: LinkState::HalfClosed(since), .. }) = self.links.get(&link)
        else {
            return;
        };
        let (incarnation, since) = (*incarnation, *since);
        if self.is_under_takeover_check(link) {
            return;
        }
        self.close_link(link, out);
        if self
            .incarnations
            .get(&incarnation)
            .is_some_and(|node| node.last_heard() <= since && !node.playing.is_empty())
        {
            self.suspect_since(now, since, incarnation, out);
        }
    }

    /// A connection that carries nothing, if the node has another one that is up. Prefers one that never
    /// carried a set-up, then the one unused for longest.
    pub(super) fn spare_link(&self, incarnation: IncarnationId) -> Option<LinkId> {
        self.idle_link(incarnation).filter(|_| self.up_links(incarnation).count() > 1)
    }

    /// Like [`Self::spare_link`], but also returns the only connection to the node.
    pub(super) fn idle_link(&self, incarnation: IncarnationId) -> Option<LinkId> {
        let idle = self.up_links(incarnation).filter(|(_, l)| l.is_idle());
        idle.min_by_key(|(_, l)| (l.carried_set_up, l.last_used)).map(|(link, _)| link)
    }

    /// Closes idle connections before the nodes do, and those to nodes that are not in the list any more at
    /// once. Where sessions play, a new connection replaces the last one and carries what could not be sent
    /// before.
    pub(super) fn sweep_links(&mut self, now: Time, out: &mut Vec<Effect>) {
        let unlisted = |l: &Link| {
            self.incarnations
                .get(&l.incarnation)
                .is_none_or(|node| !node.may_dial() && node.playing.is_empty())
        };
        let old = |l: &Link| l.is_up() && l.is_idle() && (!self.is_fresh(now, l) || unlisted(l));
        let old: Vec<_> =
            self.links.iter().filter(|(_, l)| old(l)).map(|(id, l)| (*id, l.incarnation)).collect();
        for (link, incarnation) in old {
            if self.incarnations.get(&incarnation).is_none_or(|node| node.playing.is_empty()) {
                self.close_link(link, out);
                continue;
            }
            // The last one is closed only once another is up, since the node may accept no more connections. If
            // there is no place for another one, it takes the place of this one.
            if self.up_links(incarnation).count() > 1
                || self.dialling_link(now, incarnation, DialPurpose::Watch, out).is_none()
            {
                self.half_close(now, link, out);
            }
        }
    }
}
