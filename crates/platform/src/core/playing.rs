//! Playing sessions. No connection owns them: a node may report their end on any of its connections, and the
//! viewer is notified on any connection from its address.

use super::attempts::{Stage, ended_event};
use super::handover::EarlyEnd;
use super::*;
use bytes::Bytes;
use pepperhook::{NotificationKind, Outcome};

/// Time for which the node's confirmation of a move is awaited, well within the second in which the protocol
/// wants the viewer notified.
const MOVE_CONFIRMATION_TIME: Time = 300 * MS;
/// Causes of an end in releases, as the protocol numbers them: played to the end, ended on purpose, broken
/// off.
const CAUSE_PLAYED: u16 = 16;
const CAUSE_CANCELLED: u16 = 31;
pub const CAUSE_BROKEN: u16 = 41;

/// An end that waits for a connection from the viewer's address, for as long as the protocol asks for the
/// notice.
pub struct UnsentEnd {
    peer: IpAddr,
    expires_at: Time,
    message: ToViewer,
}

impl Core {
    pub(super) fn register_playing(&mut self, incarnation: IncarnationId, conn: ConnId, id: SessionId) {
        if let Some(incarnation) = self.incarnations.get_mut(&incarnation) {
            incarnation.playing.insert(id);
        }
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.playing += 1;
        }
    }

    /// A node answers that a session plays.
    pub(super) fn set_up_succeeded(
        &mut self,
        now: Time,
        link: LinkId,
        id: SessionId,
        body: Bytes,
        out: &mut Vec<Effect>,
    ) {
        let attempt = self.attempt(id).filter(|a| a.link == link).map(|a| (a.stage, a.incarnation));
        match attempt {
            Some((Stage::Sent, incarnation)) => {
                self.take_attempt(id);
                let Some(s) = self.sessions.get_mut(&id) else { return };
                s.phase = Phase::Playing(incarnation, now);
                // No further attempt needs the description.
                s.request.body = Bytes::new();
                self.open_requests -= 1;
                let conn = s.conn;
                if let Some(conn) = self.conns.get_mut(&conn) {
                    conn.open_requests.remove(&id);
                }
                self.register_playing(incarnation, conn, id);
                out.push(Effect::SendToViewer(conn, ToViewer::Started(id, body)));
                let Some(server) = self.incarnations.get(&incarnation).map(|node| node.server) else {
                    return;
                };
                self.pending.push_back(Event::Started(id, server));
            }
            // The answer crossed the cancellation: the session is released at the node and not reported to
            // the viewer.
            Some((Stage::Cancelling, _)) => {
                self.send(now, link, ToNode::Release(id, self.title(id), CAUSE_CANCELLED), out);
                self.attempt_ended(id, Outcome::TimedOut, Vec::new());
            }
            // A repeated answer or one for an unknown session is ignored.
            _ => {
                let title = self.ended.get(&id).filter(|e| e.release_if_started).map(|e| e.title);
                if let Some(title) = title {
                    self.send(now, link, ToNode::Release(id, title, CAUSE_CANCELLED), out);
                }
            }
        }
    }

    /// A node reports that a session has ended or that a set-up broke.
    pub(super) fn node_ended_session(
        &mut self,
        now: Time,
        link: LinkId,
        id: SessionId,
        outcome: Outcome,
        report: Vec<f64>,
        out: &mut Vec<Effect>,
    ) {
        self.send(now, link, ToNode::Acknowledge(id), out);
        let incarnation = self.links.get(&link).map(|l| l.incarnation);
        match self.sessions.get(&id).map(|s| &s.phase) {
            Some(Phase::Playing(at, _)) if Some(*at) == incarnation => {
                self.session_ended(now, id, outcome, report, out)
            }
            Some(Phase::Open(Some(a)))
                if Some(a.incarnation) == incarnation && a.stage != Stage::LinkLost =>
            {
                self.attempt_ended(id, Outcome::LinkBroken, report);
            }
            None if !self.ended.contains_key(&id) && self.early_ends.len() < self.bounds.ended_sessions => {
                let server = incarnation
                    .and_then(|incarnation| self.incarnations.get(&incarnation))
                    .map(|node| node.server);
                if let Some(server) = server {
                    self.early_ends.insert(id, EarlyEnd { received_at: now, server, outcome });
                }
            }
            _ => {}
        }
    }

    /// A playing session has ended: removes it and informs its viewer and the controller.
    pub(super) fn session_ended(
        &mut self,
        now: Time,
        id: SessionId,
        outcome: Outcome,
        report: Vec<f64>,
        out: &mut Vec<Effect>,
    ) {
        let Some(incarnation) = self.incarnation_of(id) else { return };
        let Some((s, server)) = self.take_playing(now, id) else { return };
        let cause = match outcome {
            Outcome::Served => Some(CAUSE_PLAYED),
            Outcome::Cancelled => None,
            _ => Some(CAUSE_BROKEN),
        };
        if let Some(cause) = cause {
            let message = ToViewer::Ended(id, s.request.spec.title.0, cause);
            self.notify_viewer(now, s.conn, s.peer, message, out);
        }
        let report = if self.is_current(incarnation) { report } else { Vec::new() };
        self.pending.push_back(ended_event(
            id,
            server,
            self.outcome_for_controller(incarnation, outcome),
            true,
            report,
        ));
    }

    fn incarnation_of(&self, id: SessionId) -> Option<IncarnationId> {
        let Phase::Playing(incarnation, _) = self.sessions.get(&id)?.phase else { return None };
        Some(incarnation)
    }

    /// Ends a playing session on behalf of its viewer, at its node too.
    pub(super) fn release_session(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Phase::Playing(incarnation, _)) = self.sessions.get(&id).map(|s| &s.phase) else { return };
        let incarnation = *incarnation;
        let Some((s, server)) = self.take_playing(now, id) else { return };
        self.send_to_node(
            now,
            incarnation,
            ToNode::Release(id, s.request.spec.title.0, CAUSE_CANCELLED),
            out,
        );
        self.pending.push_back(ended_event(id, server, Outcome::Cancelled, true, Vec::new()));
    }

    /// Moves a session: asks the viewer to set it up again. The platform then ends the old session at its
    /// node, whose report is awaited. A release from here could reach the node before the move reaches the
    /// viewer, and the viewer would keep an ended session without being notified.
    pub(super) fn move_session(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get(&id).filter(|s| matches!(s.phase, Phase::Playing(..))) else {
            return;
        };
        let (conn, peer, message) = (s.conn, s.peer, ToViewer::Move(id, s.request.spec.title.0));
        self.notify_viewer(now, conn, peer, message, out);
        self.set_timer(now + MOVE_CONFIRMATION_TIME, Wake::MoveTimeout(id));
    }

    /// Releases a moved session whose node has not reported its end. If the node died before the move, the
    /// move does not count as a notice of the end, so the viewer is notified as well.
    pub(super) fn move_timed_out(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get(&id).filter(|s| matches!(s.phase, Phase::Playing(..))) else {
            return;
        };
        let (conn, peer, message) =
            (s.conn, s.peer, ToViewer::Ended(id, s.request.spec.title.0, CAUSE_CANCELLED));
        self.release_session(now, id, out);
        self.notify_viewer(now, conn, peer, message, out);
    }

    fn take_playing(&mut self, now: Time, id: SessionId) -> Option<(Session, ServerId)> {
        let Phase::Playing(incarnation, _) = self.sessions.get(&id)?.phase else { return None };
        let s = self.sessions.remove(&id)?;
        if let Some(conn) = self.conns.get_mut(&s.conn) {
            conn.playing = conn.playing.saturating_sub(1);
        }
        if s.request.playing_at.is_some() {
            self.handed_over_ended(incarnation, s.conn);
        }
        self.remember_ended(now, id, s.request.spec.title.0, false);
        let incarnation = self.incarnations.get_mut(&incarnation)?;
        incarnation.playing.remove(&id);
        Some((s, incarnation.server))
    }

    /// Notifies a viewer on the connection of the set-up, else on another one from the same address, else as
    /// soon as there is one.
    pub(super) fn notify_viewer(
        &mut self,
        now: Time,
        conn: ConnId,
        peer: IpAddr,
        message: ToViewer,
        out: &mut Vec<Effect>,
    ) {
        match self.conn_to_viewer(conn, peer) {
            Some(conn) => out.push(Effect::SendToViewer(conn, message)),
            None if self.unsent_ends.len() < self.bounds.ended_sessions => {
                self.unsent_ends.push_back(UnsentEnd { peer, expires_at: now + END_NOTICE_LIMIT, message });
            }
            None => {}
        }
    }

    fn conn_to_viewer(&self, conn: ConnId, peer: IpAddr) -> Option<ConnId> {
        let other = || {
            self.conns
                .iter()
                .rev()
                .find(|(_, c)| c.sent_valid_message && !c.half_closed && c.peer == peer)
                .map(|(id, _)| *id)
        };
        if self.conns.get(&conn).is_some_and(|c| !c.half_closed) { Some(conn) } else { other() }
    }

    pub(super) fn send_unsent_ends(&mut self, now: Time, out: &mut Vec<Effect>) {
        for _ in 0..self.unsent_ends.len() {
            let Some(unsent_end) = self.unsent_ends.pop_front().filter(|u| u.expires_at > now) else {
                continue;
            };
            match self.conn_to_viewer(ConnId(u64::MAX), unsent_end.peer) {
                Some(conn) => out.push(Effect::SendToViewer(conn, unsent_end.message)),
                None => self.unsent_ends.push_back(unsent_end),
            }
        }
    }

    /// The viewer has ended the session itself, so it needs no notice of the end.
    pub(super) fn forget_unsent_end(&mut self, id: SessionId) {
        self.unsent_ends.retain(|end| !matches!(end.message, ToViewer::Ended(ended, ..) if ended == id));
    }

    pub(super) fn set_rung(&mut self, now: Time, id: SessionId, rung: u8, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.rung = rung;
        if let Phase::Playing(incarnation, _) = s.phase {
            let title = s.request.spec.title.0;
            self.send_to_node(now, incarnation, ToNode::SetRung(id, title, rung), out);
        }
    }

    pub(super) fn notification(&mut self, link: LinkId, id: SessionId, kind: NotificationKind, value: f64) {
        let Some(incarnation) = self.links.get(&link).map(|l| l.incarnation).filter(|l| self.is_current(*l))
        else {
            return;
        };
        let Some(server) = self.incarnations.get(&incarnation).map(|node| node.server) else { return };
        if matches!(self.sessions.get(&id), Some(Session { phase: Phase::Playing(at, _), .. }) if *at == incarnation)
        {
            self.pending.push_back(Event::Notification(id, server, kind, value));
        }
    }
}
