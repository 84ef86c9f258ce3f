//! Standing sessions: no connection owns them. Their end is taken from, and told on, any right connection.

use super::attempts::{Stage, ended};
use super::*;
use bytes::Bytes;
use pepperhook::{NotificationKind, Outcome};

/// The node's word on a moved session is waited for so long: well within the second in which the protocol wants a viewer told.
const MOVED: Time = 300 * MS;
/// Causes of an end as they go to a viewer: played to its end, ended on purpose, cut.
const ENDED: u16 = 16;
const CANCELLED: u16 = 31;
pub const CUT: u16 = 41;

/// An end that waits for a connection of its viewer's side, for as long as anybody waits for it.
pub struct Untold {
    peer: IpAddr,
    until: Time,
    word: ToViewer,
}

/// The list may be late: a session that was handed over with a node that it does not name waits for it so long.
const LATE: Time = 2_000 * MS;

/// A session that was handed over with a node that the list does not name yet.
pub struct Unplaced {
    conn: ConnId,
    peer: IpAddr,
    ask: SetUpRequest,
    server: ServerId,
}

/// An end that a node told of a session that is not held: it may be handed over yet.
pub struct Early {
    pub at: Time,
    server: ServerId,
    outcome: Outcome,
}

impl Core {
    /// A session that was under way at the start; one that is known already is left as it is.
    pub(super) fn under_way(
        &mut self,
        now: Time,
        conn: ConnId,
        peer: IpAddr,
        ask: SetUpRequest,
        server: ServerId,
        out: &mut Vec<Effect>,
    ) {
        let (id, spec) = (ask.id, ask.spec);
        if self.sessions.contains_key(&id) || self.unplaced.contains_key(&id) {
            return;
        }
        let title = spec.title.0;
        if self.ended.contains_key(&id) {
            // Its viewer has not heard of the end, or it would not hand the session over.
            return self.tell_end(now, conn, peer, ToViewer::Ended(id, title, CUT), out);
        }
        if self.sessions.len() >= self.bounds.sessions {
            return out.push(Effect::SendToViewer(conn, ToViewer::Refused(id, None)));
        }
        // Nothing of it is sent on.
        let ask = SetUpRequest { body: Bytes::new(), ..ask };
        let Some(life) = self.current.get(&server).copied() else {
            if self.unplaced.len() >= self.bounds.open_requests {
                return out.push(Effect::SendToViewer(conn, ToViewer::UnknownSession(id)));
            }
            self.unplaced.insert(id, Unplaced { conn, peer, ask, server });
            return self.at(now + LATE, Wake::Handed(id));
        };
        let phase = Phase::Standing(life, now);
        // The description is of no further use, and thousands of long ones would fill the memory.
        let ask = SetUpRequest { body: Bytes::new(), ..ask };
        self.sessions.insert(id, Session { ask, conn, peer, rung: 0, attempts: 1, phase });
        self.stands(life, conn, id);
        self.became_good(now, conn, out);
        self.pending.push_back(Event::Adopted(id, spec, server));
        // Its node may have told its end while the front was away: on the first connection that it was offered.
        if let Some(early) = self.early.remove(&id).filter(|e| e.server == server) {
            return self.over(now, id, early.outcome, Vec::new(), out);
        }
        self.revive(life);
        // The node tells its end on any connection, so that there must be one.
        if self.lives.get(&life).is_some_and(|l| l.links.is_empty()) {
            self.dial(now, life, out);
        }
    }

    /// The list has changed: it may name the node of one that waits for that.
    pub(super) fn place_handed(&mut self, now: Time, out: &mut Vec<Effect>) {
        let named = self.unplaced.iter().filter(|(_, u)| self.current.contains_key(&u.server));
        let named: Vec<_> = named.map(|(id, _)| *id).collect();
        for id in named {
            if let Some(Unplaced { conn, peer, ask, server }) = self.unplaced.remove(&id) {
                self.under_way(now, conn, peer, ask, server, out);
            }
        }
    }

    /// The list does not name its node: it is over, and whoever made it up hears that there is none.
    pub(super) fn handed_time(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Unplaced { conn, peer, ask, .. }) = self.unplaced.remove(&id) else { return };
        self.remember(now, id, ask.spec.title.0, false);
        self.tell_end(now, conn, peer, ToViewer::Ended(id, ask.spec.title.0, CUT), out);
        out.push(Effect::SendToViewer(conn, ToViewer::UnknownSession(id)));
    }

    fn stands(&mut self, life: IncarnationId, conn: ConnId, id: SessionId) {
        if let Some(life) = self.lives.get_mut(&life) {
            life.standing.insert(id);
        }
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.carries += 1;
        }
    }

    /// A node's answer that a session stands.
    pub(super) fn plays(
        &mut self,
        now: Time,
        link: LinkId,
        id: SessionId,
        body: Bytes,
        out: &mut Vec<Effect>,
    ) {
        let attempt = self.attempt(id).filter(|a| a.link == link).map(|a| (a.stage, a.life));
        match attempt {
            Some((Stage::Sent, life)) => {
                self.take_attempt(id);
                let Some(s) = self.sessions.get_mut(&id) else { return };
                s.phase = Phase::Standing(life, now);
                // No further attempt takes the description.
                s.ask.body = Bytes::new();
                self.open -= 1;
                let conn = s.conn;
                if let Some(conn) = self.conns.get_mut(&conn) {
                    conn.open.remove(&id);
                }
                self.stands(life, conn, id);
                out.push(Effect::SendToViewer(conn, ToViewer::Started(id, body)));
                let Some(server) = self.lives.get(&life).map(|l| l.server) else { return };
                self.pending.push_back(Event::Started(id, server));
            }
            // It crossed the give-up: it is cut at the node and reaches no viewer.
            Some((Stage::Closing, _)) => {
                self.write(now, link, ToNode::Release(id, self.title(id), CANCELLED), out);
                self.attempt_ended(id, Outcome::TimedOut, Vec::new());
            }
            // A second copy of an answer, or one under an unknown id, is passed over.
            _ => {
                let cut = self.ended.get(&id).filter(|e| e.cut).map(|e| e.title);
                if let Some(title) = cut {
                    self.write(now, link, ToNode::Release(id, title, CANCELLED), out);
                }
            }
        }
    }

    /// A node's word that a session is over, or that a set-up broke.
    pub(super) fn node_over(
        &mut self,
        now: Time,
        link: LinkId,
        id: SessionId,
        outcome: Outcome,
        report: Vec<f64>,
        out: &mut Vec<Effect>,
    ) {
        self.write(now, link, ToNode::Acknowledge(id), out);
        let life = self.links.get(&link).map(|l| l.life);
        match self.sessions.get(&id).map(|s| &s.phase) {
            Some(Phase::Standing(at, _)) if Some(*at) == life => self.over(now, id, outcome, report, out),
            Some(Phase::Open(Some(a))) if Some(a.life) == life && a.stage != Stage::Torn => {
                self.attempt_ended(id, Outcome::LinkBroken, report);
            }
            None if !self.ended.contains_key(&id) && self.early.len() < self.bounds.ended_sessions => {
                let server = life.and_then(|life| self.lives.get(&life)).map(|l| l.server);
                if let Some(server) = server {
                    self.early.insert(id, Early { at: now, server, outcome });
                }
            }
            _ => {}
        }
    }

    /// A standing session is over: it leaves the accounts, its viewer and the module are told.
    pub(super) fn over(
        &mut self,
        now: Time,
        id: SessionId,
        outcome: Outcome,
        report: Vec<f64>,
        out: &mut Vec<Effect>,
    ) {
        let Some(life) = self.standing_at(id) else { return };
        let Some((s, server)) = self.take_standing(now, id) else { return };
        let cause = match outcome {
            Outcome::Served => Some(ENDED),
            Outcome::Cancelled => None,
            _ => Some(CUT),
        };
        if let Some(cause) = cause {
            let word = ToViewer::Ended(id, s.ask.spec.title.0, cause);
            self.tell_end(now, s.conn, s.peer, word, out);
        }
        let report = if self.is_current(life) { report } else { Vec::new() };
        self.pending.push_back(ended(id, server, self.fair(life, outcome), true, report));
    }

    fn standing_at(&self, id: SessionId) -> Option<IncarnationId> {
        let Phase::Standing(life, _) = self.sessions.get(&id)?.phase else { return None };
        Some(life)
    }

    /// Ends a standing session for its viewer's sake, at its node too.
    pub(super) fn cut(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Phase::Standing(life, _)) = self.sessions.get(&id).map(|s| &s.phase) else { return };
        let life = *life;
        let Some((s, server)) = self.take_standing(now, id) else { return };
        self.tell_node(now, life, ToNode::Release(id, s.ask.spec.title.0, CANCELLED), out);
        self.pending.push_back(ended(id, server, Outcome::Cancelled, true, Vec::new()));
    }

    /// The module moves a session: the viewer is told to come again. The platform ends it at its node then, whose
    /// word is waited for: a release from here could reach the node before the move reaches the viewer, and the viewer
    /// would be left with a session that is over and of which nobody told it.
    pub(super) fn shift(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get(&id).filter(|s| matches!(s.phase, Phase::Standing(..))) else {
            return;
        };
        let (conn, peer, word) = (s.conn, s.peer, ToViewer::Move(id, s.ask.spec.title.0));
        self.tell_end(now, conn, peer, word, out);
        self.at(now + MOVED, Wake::Moved(id));
    }

    /// A moved session of which its node has said nothing is cut there. The node may have died before the move: then
    /// the move told the viewer nothing that counts, so that the viewer is told of the end as well.
    pub(super) fn moved_time(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get(&id).filter(|s| matches!(s.phase, Phase::Standing(..))) else {
            return;
        };
        let (conn, peer, word) = (s.conn, s.peer, ToViewer::Ended(id, s.ask.spec.title.0, CANCELLED));
        self.cut(now, id, out);
        self.tell_end(now, conn, peer, word, out);
    }

    fn take_standing(&mut self, now: Time, id: SessionId) -> Option<(Session, ServerId)> {
        let Phase::Standing(life, _) = self.sessions.get(&id)?.phase else { return None };
        let s = self.sessions.remove(&id)?;
        if let Some(conn) = self.conns.get_mut(&s.conn) {
            conn.carries = conn.carries.saturating_sub(1);
        }
        self.remember(now, id, s.ask.spec.title.0, false);
        let life = self.lives.get_mut(&life)?;
        life.standing.remove(&id);
        Some((s, life.server))
    }

    /// Tells a viewer's side on the connection of the set-up, else on another one from the same address, else as soon
    /// as there is one.
    fn tell_end(&mut self, now: Time, conn: ConnId, peer: IpAddr, word: ToViewer, out: &mut Vec<Effect>) {
        match self.way_to(conn, peer) {
            Some(conn) => out.push(Effect::SendToViewer(conn, word)),
            None if self.untold.len() < self.bounds.ended_sessions => {
                self.untold.push_back(Untold { peer, until: now + TOLD_WITHIN, word });
            }
            None => {}
        }
    }

    fn way_to(&self, conn: ConnId, peer: IpAddr) -> Option<ConnId> {
        let other =
            || self.conns.iter().rev().find(|(_, c)| c.good && !c.left && c.peer == peer).map(|(id, _)| *id);
        if self.conns.get(&conn).is_some_and(|c| !c.left) { Some(conn) } else { other() }
    }

    pub(super) fn sweep_untold(&mut self, now: Time, out: &mut Vec<Effect>) {
        for _ in 0..self.untold.len() {
            let Some(untold) = self.untold.pop_front().filter(|u| u.until > now) else { continue };
            match self.way_to(ConnId(u64::MAX), untold.peer) {
                Some(conn) => out.push(Effect::SendToViewer(conn, untold.word)),
                None => self.untold.push_back(untold),
            }
        }
    }

    pub(super) fn set_rung(&mut self, now: Time, id: SessionId, rung: u8, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.rung = rung;
        if let Phase::Standing(life, _) = s.phase {
            let title = s.ask.spec.title.0;
            self.tell_node(now, life, ToNode::SetRung(id, title, rung), out);
        }
    }

    pub(super) fn note(&mut self, link: LinkId, id: SessionId, kind: NotificationKind, value: f64) {
        let Some(life) = self.links.get(&link).map(|l| l.life).filter(|l| self.is_current(*l)) else {
            return;
        };
        let Some(server) = self.lives.get(&life).map(|l| l.server) else { return };
        if matches!(self.sessions.get(&id), Some(Session { phase: Phase::Standing(at, _), .. }) if *at == life)
        {
            self.pending.push_back(Event::Notification(id, server, kind, value));
        }
    }
}
