//! Sessions that are handed over: they played at a node before this process started, and their viewers name the node.
//!
//! Nobody can tell an invented session from a real one, since nodes are not asked about sessions. So what is handed over
//! is bounded by what can be true: a node plays as many sessions as it has streams at most, and of these one client
//! claims half. Otherwise one client could fill every node with sessions that do not exist, and all others would be
//! refused.

use super::places::DialPurpose;
use super::playing::CAUSE_BROKEN;
use super::*;
use bytes::Bytes;
use pepperhook::Outcome;

/// Part of the streams of a node, and of the sessions that wait for the list, that one connection may claim: one of this
/// many.
const CLAIM_DIVISOR: usize = 2;

/// Time for which a session that was handed over waits for its node to appear in the list, which may be late.
const LIST_DELAY: Time = 2_000 * MS;

/// A session that was handed over with a node that is not in the list yet.
pub struct AwaitingList {
    conn: ConnId,
    peer: IpAddr,
    request: SetUpRequest,
    server: ServerId,
}

/// An end that a node reported of an unknown session, which may still be handed over.
pub struct EarlyEnd {
    pub received_at: Time,
    pub server: ServerId,
    pub outcome: Outcome,
}

impl Core {
    /// Adopts a session that already played when the front started. A known session is left as it is.
    pub(super) fn adopt_session(
        &mut self,
        now: Time,
        conn: ConnId,
        peer: IpAddr,
        request: SetUpRequest,
        server: ServerId,
        out: &mut Vec<Effect>,
    ) {
        let (id, spec) = (request.id, request.spec);
        if self.sessions.contains_key(&id) || self.awaiting_list.contains_key(&id) {
            return;
        }
        let title = spec.title.0;
        if self.ended.contains_key(&id) {
            // Its viewer was not notified of the end, or it would not hand the session over.
            return self.notify_viewer(now, conn, peer, ToViewer::Ended(id, title, CAUSE_BROKEN), out);
        }
        if self.sessions.len() >= self.bounds.sessions {
            return out.push(Effect::SendToViewer(conn, ToViewer::Refused(id, None)));
        }
        // The description of a session that already plays is never sent on, and thousands of long ones would exhaust the
        // memory.
        let request = SetUpRequest { body: Bytes::new(), ..request };
        let Some(incarnation) = self.current.get(&server).copied() else {
            if !self.may_await_list(conn) {
                return out.push(Effect::SendToViewer(conn, ToViewer::UnknownSession(id)));
            }
            self.awaiting_list.insert(id, AwaitingList { conn, peer, request, server });
            return self.set_timer(now + LIST_DELAY, Wake::HandoverTimeout(id));
        };
        if !self.is_plausible(conn, incarnation) {
            return out.push(Effect::SendToViewer(conn, ToViewer::UnknownSession(id)));
        }
        let phase = Phase::Playing(incarnation, now);
        self.sessions.insert(id, Session { request, conn, peer, rung: 0, attempts: 1, phase });
        self.begin_watch(now, incarnation);
        self.register_playing(incarnation, conn, id);
        self.count_handed_over(incarnation, conn);
        self.mark_validated(now, conn, out);
        self.pending.push_back(Event::Adopted(id, spec, server));
        // Its node may have reported its end already, on the first connection that came up after the restart.
        if let Some(early_end) = self.early_ends.remove(&id).filter(|e| e.server == server) {
            return self.session_ended(now, id, early_end.outcome, Vec::new(), out);
        }
        // The node needs a connection to report the end.
        if self.incarnations.get(&incarnation).is_some_and(|node| node.links.is_empty()) {
            self.dial(now, incarnation, DialPurpose::Watch, out);
        }
    }

    /// The list has changed: adopts the sessions whose node it names now.
    pub(super) fn place_handed_over(&mut self, now: Time, out: &mut Vec<Effect>) {
        let named = self.awaiting_list.iter().filter(|(_, u)| self.current.contains_key(&u.server));
        let named: Vec<_> = named.map(|(id, _)| *id).collect();
        for id in named {
            if let Some(AwaitingList { conn, peer, request, server }) = self.awaiting_list.remove(&id) {
                self.adopt_session(now, conn, peer, request, server, out);
            }
        }
    }

    /// The list does not name the node of a session that was handed over: the session has ended, and a viewer
    /// that invented it learns that it does not exist.
    pub(super) fn handover_timed_out(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(AwaitingList { conn, peer, request, .. }) = self.awaiting_list.remove(&id) else { return };
        self.remember_ended(now, id, request.spec.title.0, false);
        self.notify_viewer(now, conn, peer, ToViewer::Ended(id, request.spec.title.0, CAUSE_BROKEN), out);
        out.push(Effect::SendToViewer(conn, ToViewer::UnknownSession(id)));
    }

    /// Whether one more session that this connection hands over can play at this node.
    fn is_plausible(&self, conn: ConnId, incarnation: IncarnationId) -> bool {
        let Some(node) = self.incarnations.get(&incarnation) else { return false };
        let claimed =
            self.conns.get(&conn).and_then(|c| c.handed_over.get(&incarnation)).copied().unwrap_or(0);
        node.playing.len() < node.max_streams && claimed < node.max_streams.div_ceil(CLAIM_DIVISOR)
    }

    /// Whether one more session that this connection hands over may wait for its node to be listed.
    fn may_await_list(&self, conn: ConnId) -> bool {
        let (waiting, limit) = (self.awaiting_list.len(), self.bounds.open_requests);
        let claim_limit = limit / CLAIM_DIVISOR;
        let of_conn = || self.awaiting_list.values().filter(|waiting| waiting.conn == conn).count();
        waiting < claim_limit || (waiting < limit && of_conn() < claim_limit)
    }

    fn count_handed_over(&mut self, incarnation: IncarnationId, conn: ConnId) {
        if let Some(conn) = self.conns.get_mut(&conn) {
            *conn.handed_over.entry(incarnation).or_default() += 1;
        }
    }

    /// A session that was handed over on this connection has ended.
    pub(super) fn handed_over_ended(&mut self, incarnation: IncarnationId, conn: ConnId) {
        let Some(conn) = self.conns.get_mut(&conn) else { return };
        if let Some(count) = conn.handed_over.get_mut(&incarnation) {
            *count -= 1;
            if *count == 0 {
                conn.handed_over.remove(&incarnation);
            }
        }
    }
}
