//! Viewers' requests: taken, answered exactly once, given up.

use super::attempts::ended_event;
use super::*;
use pepperhook::Outcome;

impl Core {
    pub(super) fn set_up_requested(
        &mut self,
        now: Time,
        conn: ConnId,
        request: SetUpRequest,
        out: &mut Vec<Effect>,
    ) {
        let id = request.id;
        let Some(from) = self.conns.get(&conn) else {
            // It was closed from here while the request was on its way: nothing was sent for it.
            return out.push(Effect::SendToViewer(conn, ToViewer::Refused(id, None)));
        };
        let peer = from.peer;
        if request.playing_at.is_none() && (self.sessions.contains_key(&id) || self.ended.contains_key(&id)) {
            return self.conflict(now, conn, id, out);
        }
        if let Some(server) = request.playing_at {
            return self.adopt_session(now, conn, peer, request, server, out);
        }
        let full = self.closing
            || from.half_closed
            || self.open_requests >= self.bounds.open_requests
            || from.open_requests.len() >= self.bounds.open_requests_per_conn
            || self.sessions.len() >= self.bounds.sessions;
        if full {
            // Nothing was sent for it, so that a refusal is honest for every class.
            return out.push(Effect::SendToViewer(conn, ToViewer::Refused(id, None)));
        }
        let (spec, deadline) = (request.spec, now.saturating_add(request.spec.max_wait));
        let new = Session { request, conn, peer, rung: 0, attempts: 0, phase: Phase::Open(None) };
        self.sessions.insert(id, new);
        self.open_requests += 1;
        if let Some(from) = self.conns.get_mut(&conn) {
            from.open_requests.insert(id);
        }
        self.mark_validated(now, conn, out);
        self.set_timer(deadline.saturating_add(FALLBACK_ANSWER_DELAY), Wake::FallbackAnswer(id));
        self.pending.push_back(Event::Request(id, spec));
    }

    /// A second request under a known id. Where both came on one connection the first is not served either: its
    /// client could not tell the two answers apart.
    fn conflict(&mut self, now: Time, conn: ConnId, id: SessionId, out: &mut Vec<Effect>) {
        let open =
            self.sessions.get(&id).is_some_and(|s| s.conn == conn && matches!(s.phase, Phase::Open(_)));
        if open {
            self.withdraw(now, id, out);
        }
        out.push(Effect::SendToViewer(conn, ToViewer::Conflict(id)));
        // The others on it are answered before it ends.
        self.viewer_half_closed(now, conn, out);
        out.push(Effect::CloseViewer(conn));
    }

    /// Takes an open request out of the accounts; its attempt is given up, the module forgets it.
    fn withdraw(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        self.cancel_attempt(now, id, out);
        if self.close_request(now, id).is_some() {
            self.pending.push_back(Event::Closed(id));
        }
    }

    /// Takes an open request out of the accounts.
    pub(super) fn close_request(&mut self, now: Time, id: SessionId) -> Option<Session> {
        if !matches!(self.sessions.get(&id)?.phase, Phase::Open(_)) {
            return None;
        }
        let s = self.sessions.remove(&id)?;
        self.open_requests -= 1;
        if let Some(conn) = self.conns.get_mut(&s.conn) {
            conn.open_requests.remove(&id);
        }
        let release_if_started = s.attempts > 0;
        self.remember(now, id, s.request.spec.title.0, release_if_started);
        Some(s)
    }

    /// The module's final answer.
    pub(super) fn answer(&mut self, now: Time, id: SessionId, message: ToViewer, out: &mut Vec<Effect>) {
        // With an attempt out the module does not answer; should it, nothing may be left running at a node.
        self.cancel_attempt(now, id, out);
        if let Some(s) = self.close_request(now, id) {
            out.push(Effect::SendToViewer(s.conn, message));
        }
    }

    /// Rule 1: whatever happened, the viewer has an answer before its time is up. Here it is a failure, since an
    /// attempt may be out or may have run.
    pub(super) fn fail_request(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Phase::Open(attempt)) = self.sessions.get(&id).map(|s| &s.phase) else { return };
        let incarnation = attempt.as_ref().map(|a| a.incarnation);
        self.cancel_attempt(now, id, out);
        let Some(s) = self.close_request(now, id) else { return };
        out.push(Effect::SendToViewer(s.conn, ToViewer::Failed(id)));
        let server = incarnation.and_then(|incarnation| {
            self.incarnations.get(&incarnation).map(|node| (node.server, incarnation))
        });
        self.pending.push_back(match server {
            Some((server, incarnation)) => ended_event(
                id,
                server,
                self.outcome_for_controller(incarnation, Outcome::TimedOut),
                true,
                Vec::new(),
            ),
            None => Event::Closed(id),
        });
    }

    /// The front ends: nobody is left without an answer, whatever time its request has.
    pub(super) fn answer_all(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.closing = true;
        let open = self.sessions.iter().filter(|(_, s)| matches!(s.phase, Phase::Open(_)));
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        open.into_iter().for_each(|id| self.fail_request(now, id, out));
    }

    /// A viewer gives a set-up up or ends a session; which of the two it meant does not matter, since its word may
    /// cross the answer.
    pub(super) fn release_requested(
        &mut self,
        now: Time,
        conn: ConnId,
        id: SessionId,
        out: &mut Vec<Effect>,
    ) {
        let known = match self.sessions.get(&id).map(|s| &s.phase) {
            Some(Phase::Open(_)) => {
                self.withdraw(now, id, out);
                true
            }
            Some(Phase::Playing(..)) => {
                self.release_session(now, id, out);
                true
            }
            None => self.awaiting_list.remove(&id).is_some() || self.ended.contains_key(&id),
        };
        if known {
            self.mark_validated(now, conn, out);
        }
        out.push(Effect::SendToViewer(
            conn,
            if known { ToViewer::Acknowledge(id) } else { ToViewer::UnknownSession(id) },
        ));
    }

    /// The viewer has closed its side. One that has closed all of it and one that still reads look alike from here; the
    /// protocol knows no half of a connection, so that both have left and nothing is begun for them any more. Each open
    /// request gets its answer all the same: whoever reads on hears the end of it, nobody else is harmed.
    pub(super) fn viewer_half_closed(&mut self, now: Time, conn: ConnId, out: &mut Vec<Effect>) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.half_closed = true;
        for id in std::mem::take(&mut c.open_requests) {
            let sent = self.sessions.get(&id).is_some_and(|s| s.attempts > 0);
            let message = if sent { ToViewer::Failed(id) } else { ToViewer::Refused(id, None) };
            self.withdraw(now, id, out);
            out.push(Effect::SendToViewer(conn, message));
        }
    }

    /// A connection owns its open requests, never standing sessions.
    pub(super) fn viewer_disconnected(&mut self, now: Time, conn: ConnId, out: &mut Vec<Effect>) {
        self.viewer_half_closed(now, conn, out);
        self.conns.remove(&conn);
    }

    /// A connection that carried a usable message may be told what waits for its viewer's side.
    pub(super) fn mark_validated(&mut self, now: Time, conn: ConnId, out: &mut Vec<Effect>) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if !std::mem::replace(&mut c.sent_valid_message, true) {
            self.send_unsent_ends(now, out);
        }
    }

    /// Connections that may give way to another viewer's: who never said anything, and, if none of them can go, who
    /// carries nothing. None has an open request.
    #[must_use]
    pub fn evictable_viewers(&self) -> [Vec<ConnId>; 2] {
        let idle = self.conns.iter().filter(|(_, c)| c.is_evictable());
        let (good, silent): (Vec<_>, Vec<_>) = idle.partition(|(_, c)| c.sent_valid_message);
        [silent, good].map(|of| of.into_iter().map(|(id, _)| *id).collect())
    }

    /// Ends a connection of those that may give way.
    pub(super) fn give_way(&mut self, conn: ConnId, out: &mut Vec<Effect>) {
        if self.conns.get(&conn).is_some_and(Conn::is_evictable) {
            self.conns.remove(&conn);
            out.push(Effect::CloseViewer(conn));
        }
    }
}
