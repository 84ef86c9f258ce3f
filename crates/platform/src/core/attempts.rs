//! Attempts to set a session up at a node. At most one attempt per request is in flight, from the
//! controller's decision until the node or the connection shows how it ended.
//!
//! An attempt that times out is cancelled at its node, and the node has a short grace period to reply. Only
//! then is the controller informed, so that the next attempt never overlaps with this one.

use super::*;
use pepperhook::Outcome;

/// Grace period after a cancelled set-up: the round trip to the node plus its processing. The settings do not
/// give the round trip time. If the node starts the session later, the cancellation that crossed its answer
/// ends the session there.
const CANCEL_GRACE: Time = 30 * MS;

/// Connections tried for one attempt, at most: one that the node has just closed, one that accepts no bytes,
/// and a new one.
const MAX_LINKS_PER_ATTEMPT: u8 = 3;

/// An attempt to set a session up.
pub struct Attempt {
    pub incarnation: IncarnationId,
    pub number: u32,
    pub link: LinkId,
    /// Time until which the front waits for the node's answer.
    pub deadline: Time,
    pub stage: Stage,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its connection is not up yet, and nothing was sent. Carries the number of dials made for it.
    Dialling(u8),
    /// Its connection is up, and the shell checks whether the viewer still waits. Nothing was sent. Carries
    /// the number of connections tried for it.
    CheckingViewer(u8),
    /// The set-up was sent.
    Sent,
    /// The set-up was cancelled, and the grace period runs.
    Cancelling,
    /// Its connection broke after the set-up was sent; whether the node is alive is not known yet.
    LinkLost,
}

impl Core {
    pub(super) fn attempt(&self, id: SessionId) -> Option<&Attempt> {
        match &self.sessions.get(&id)?.phase {
            Phase::Open(attempt) => attempt.as_ref(),
            Phase::Playing(..) => None,
        }
    }

    pub(super) fn attempt_mut(&mut self, id: SessionId) -> Option<&mut Attempt> {
        match &mut self.sessions.get_mut(&id)?.phase {
            Phase::Open(attempt) => attempt.as_mut(),
            Phase::Playing(..) => None,
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        now: Time,
        id: SessionId,
        server: ServerId,
        max_wait: Time,
        out: &mut Vec<Effect>,
    ) {
        let incarnation = self.current.get(&server).copied().filter(|l| self.is_ready(*l));
        let link = incarnation.and_then(|incarnation| {
            self.link_for_set_up(now, incarnation, out).map(|link| (incarnation, link))
        });
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let Phase::Open(attempt @ None) = &mut s.phase else { return };
        let Some((incarnation, link)) = link else {
            return self.pending.push_back(ended_event(id, server, Outcome::Unsent, false, Vec::new()));
        };
        s.attempts += 1;
        let (number, deadline) = (s.attempts, now.saturating_add(max_wait));
        *attempt = Some(Attempt { incarnation, number, link, deadline, stage: Stage::Dialling(1) });
        self.set_timer(deadline, Wake::AttemptTimeout(id, number));
        if let Some(link) = self.links.get_mut(&link) {
            link.set_ups.insert(id);
        }
        self.check_viewer(now, id, out);
    }

    /// Asks the shell whether the viewer still waits, once the connection to the node is up. The viewer may
    /// have left since the attempt began, and its close may not have been read yet.
    pub(super) fn check_viewer(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Attempt { incarnation, link, deadline, stage: Stage::Dialling(tried), .. }) =
            self.attempt(id)
        else {
            return;
        };
        let (incarnation, link, deadline, tried) = (*incarnation, *link, *deadline, *tried);
        if !self.links.get(&link).is_some_and(Link::is_up) {
            return;
        }
        if !self.is_ready(incarnation) || deadline <= now {
            return self.attempt_ended(id, Outcome::Unsent, Vec::new());
        }
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let conn = s.conn;
        if let Phase::Open(Some(attempt)) = &mut s.phase {
            attempt.stage = Stage::CheckingViewer(tried);
        }
        out.push(Effect::CheckViewer(conn, link, id));
    }

    /// Sends a set-up whose viewer still waits. Checks the node again, since its state may have changed
    /// during the dial.
    pub(super) fn send_set_up(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Attempt { incarnation, link, deadline, stage: Stage::CheckingViewer(_), .. }) =
            self.attempt(id)
        else {
            return;
        };
        let (incarnation, link, deadline) = (*incarnation, *link, *deadline);
        if !self.is_ready(incarnation) || deadline <= now || !self.links.get(&link).is_some_and(Link::is_up) {
            return self.attempt_ended(id, Outcome::Unsent, Vec::new());
        }
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let message = ToNode::SetUp {
            id,
            title: s.request.spec.title.0,
            class: s.request.spec.class.0,
            wait_ms: (deadline - now).div_ceil(MS),
            rung: s.rung,
            body: s.request.body.clone(),
        };
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.stage = Stage::Sent;
        }
        if let Some(l) = self.links.get_mut(&link) {
            l.carried_set_up = true;
        }
        self.send(now, link, message, out);
    }

    /// The connection accepts no bytes now, or the node has closed it: the set-up was not and will not be
    /// sent on it. Tries another connection, up to [`MAX_LINKS_PER_ATTEMPT`].
    pub(super) fn link_blocked(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Attempt { incarnation, link, stage: Stage::CheckingViewer(tried), .. }) = self.attempt(id)
        else {
            return;
        };
        let (incarnation, link, tried) = (*incarnation, *link, *tried);
        if let Some(l) = self.links.get_mut(&link) {
            l.blocked = true;
            l.set_ups.remove(&id);
        }
        let next =
            if tried < MAX_LINKS_PER_ATTEMPT { self.link_for_set_up(now, incarnation, out) } else { None };
        match next {
            Some(next) => self.move_set_up(now, id, next, tried + 1, out),
            None => self.attempt_ended(id, Outcome::Unsent, Vec::new()),
        }
    }

    /// Removes the attempt from its request and reports its outcome to the controller.
    pub(super) fn attempt_ended(&mut self, id: SessionId, outcome: Outcome, report: Vec<f64>) {
        let Some(attempt) = self.take_attempt(id) else { return };
        let Some(server) = self.incarnations.get(&attempt.incarnation).map(|node| node.server) else {
            return;
        };
        let report = if self.is_current(attempt.incarnation) { report } else { Vec::new() };
        let outcome = self.outcome_for_controller(attempt.incarnation, outcome);
        self.pending.push_back(ended_event(id, server, outcome, false, report));
    }

    pub(super) fn take_attempt(&mut self, id: SessionId) -> Option<Attempt> {
        let attempt = match &mut self.sessions.get_mut(&id)?.phase {
            Phase::Open(attempt) => attempt.take()?,
            Phase::Playing(..) => return None,
        };
        if let Some(link) = self.links.get_mut(&attempt.link) {
            link.set_ups.remove(&id);
        }
        Some(attempt)
    }

    /// Cancels the attempt in flight for a request that nobody waits for any more.
    pub(super) fn cancel_attempt(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(attempt) = self.take_attempt(id) else { return };
        if attempt.stage == Stage::Sent {
            self.send(now, attempt.link, ToNode::CancelSetUp(id, self.title(id)), out);
        }
    }

    pub(super) fn attempt_timed_out(&mut self, now: Time, id: SessionId, number: u32, out: &mut Vec<Effect>) {
        let Some(attempt) = self.attempt(id).filter(|a| a.number == number) else { return };
        let (link, incarnation, stage) = (attempt.link, attempt.incarnation, attempt.stage);
        match stage {
            Stage::Dialling(_) => self.attempt_ended(id, Outcome::ConnectFailed, Vec::new()),
            Stage::CheckingViewer(_) => self.attempt_ended(id, Outcome::Unsent, Vec::new()),
            Stage::LinkLost => self.attempt_ended(id, Outcome::LinkBroken, Vec::new()),
            Stage::Cancelling => {}
            Stage::Sent => {
                if let Some(attempt) = self.attempt_mut(id) {
                    attempt.stage = Stage::Cancelling;
                }
                self.send(now, link, ToNode::CancelSetUp(id, self.title(id)), out);
                self.set_timer(now + CANCEL_GRACE, Wake::CancelGrace(id, number));
                // A node that does not answer may have vanished without closing its connections.
                self.suspect_if_quiet(now, incarnation, out);
            }
        }
    }

    pub(super) fn cancel_grace_over(&mut self, id: SessionId, number: u32) {
        if self.attempt(id).is_some_and(|a| a.number == number && a.stage == Stage::Cancelling) {
            self.attempt_ended(id, Outcome::TimedOut, Vec::new());
        }
    }

    /// Handles the node's answer that a set-up failed.
    pub(super) fn set_up_failed(&mut self, link: LinkId, id: SessionId, outcome: Outcome, report: Vec<f64>) {
        let Some(attempt) = self.attempt(id).filter(|a| a.link == link) else { return };
        if matches!(attempt.stage, Stage::Sent | Stage::Cancelling) {
            self.attempt_ended(id, outcome, report);
        }
    }
}

/// The event that ends an attempt or, if `is_final`, the whole request or session.
pub fn ended_event(
    session: SessionId,
    server: ServerId,
    outcome: Outcome,
    is_final: bool,
    report: Vec<f64>,
) -> Event {
    Event::Ended { session, server, outcome, is_final, report }
}
