//! Viewers' requests: accepted, answered exactly once, or withdrawn.

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
            // The connection was closed from this side while the request was on its way: nothing was sent for
            // it.
            return out.push(Effect::SendToViewer(conn, ToViewer::Refused(id, None)));
        };
        let peer = from.peer;
        if request.playing_at.is_none() && (self.sessions.contains_key(&id) || self.ended.contains_key(&id)) {
            return self.reject_duplicate(now, conn, id, out);
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
            // Nothing was sent for it, so a refusal is correct for every class.
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

    /// Rejects a second request with a known id. If both came on the same connection, the first one is
    /// withdrawn too, since the client could not tell the two answers apart.
    fn reject_duplicate(&mut self, now: Time, conn: ConnId, id: SessionId, out: &mut Vec<Effect>) {
        let open =
            self.sessions.get(&id).is_some_and(|s| s.conn == conn && matches!(s.phase, Phase::Open(_)));
        if open {
            self.withdraw(now, id, out);
        }
        out.push(Effect::SendToViewer(conn, ToViewer::Conflict(id)));
        // The other requests on the connection are answered before it is closed.
        self.viewer_half_closed(now, conn, out);
        out.push(Effect::CloseViewer(conn));
    }

    /// Removes an open request, cancels its attempt and makes the controller forget it.
    fn withdraw(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        self.cancel_attempt(now, id, out);
        if self.close_request(now, id).is_some() {
            self.pending.push_back(Event::Closed(id));
        }
    }

    /// Removes an open request.
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
        self.remember_ended(now, id, s.request.spec.title.0, release_if_started);
        Some(s)
    }

    /// Sends the controller's final answer.
    pub(super) fn answer(&mut self, now: Time, id: SessionId, message: ToViewer, out: &mut Vec<Effect>) {
        // The controller does not answer while an attempt is in flight. If it did, nothing may be left
        // running at a node.
        self.cancel_attempt(now, id, out);
        if let Some(s) = self.close_request(now, id) {
            out.push(Effect::SendToViewer(s.conn, message));
        }
    }

    /// Answers an open request with a failure, at the latest at its deadline: whatever happened, the viewer
    /// gets an answer in time (rule 1). It is a failure and no refusal, since an attempt may be in flight or
    /// may have run.
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

    /// The front stops: answers every open request, whatever its deadline.
    pub(super) fn answer_all(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.closing = true;
        let open = self.sessions.iter().filter(|(_, s)| matches!(s.phase, Phase::Open(_)));
        let open: Vec<_> = open.map(|(id, _)| *id).collect();
        open.into_iter().for_each(|id| self.fail_request(now, id, out));
    }

    /// A viewer cancels a set-up or ends a session. Which of the two it meant does not matter, since its
    /// message may cross the answer.
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
        self.forget_unsent_end(id);
        if known {
            self.mark_validated(now, conn, out);
        }
        out.push(Effect::SendToViewer(
            conn,
            if known { ToViewer::Acknowledge(id) } else { ToViewer::UnknownSession(id) },
        ));
    }

    /// The viewer has closed its sending side. Whether it has closed the whole connection or still reads
    /// cannot be told from here, and the protocol knows no half-closed connections, so no new work is started
    /// for it. Each open request is still answered, for a viewer that reads on.
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

    /// Ends the open requests of a connection with it. Playing sessions go on.
    pub(super) fn viewer_disconnected(&mut self, now: Time, conn: ConnId, out: &mut Vec<Effect>) {
        self.viewer_half_closed(now, conn, out);
        self.conns.remove(&conn);
    }

    /// Marks a connection that carried a valid message: it may now receive notices that wait for its viewer's
    /// address.
    pub(super) fn mark_validated(&mut self, now: Time, conn: ConnId, out: &mut Vec<Effect>) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if !std::mem::replace(&mut c.sent_valid_message, true) {
            self.send_unsent_ends(now, out);
        }
    }

    /// Connections that may be closed to make room for another viewer: first those that never sent a valid
    /// message, then those that carry nothing. None has an open request.
    #[must_use]
    pub fn evictable_viewers(&self) -> [Vec<ConnId>; 2] {
        let idle = self.conns.iter().filter(|(_, c)| c.is_evictable());
        let (active, silent): (Vec<_>, Vec<_>) = idle.partition(|(_, c)| c.sent_valid_message);
        [silent, active].map(|of| of.into_iter().map(|(id, _)| *id).collect())
    }

    /// Closes a connection that may be evicted.
    pub(super) fn evict_viewer(&mut self, conn: ConnId, out: &mut Vec<Effect>) {
        if self.conns.get(&conn).is_some_and(Conn::is_evictable) {
            self.conns.remove(&conn);
            out.push(Effect::CloseViewer(conn));
        }
    }
}
