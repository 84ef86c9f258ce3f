//! Attempts: one out at a time for each request, from the module's word until the node or the connection has said how it
//! ended.
//!
//! An attempt whose time is up is given up at the node, and the node is heard out for a short grace; only then does the
//! module hear of it, so that no further attempt can be out beside it.

use super::*;
use pepperhook::Outcome;

/// After a give-up the node is heard out so long: the way there and back, and its work in between. No settings name the way;
/// where a word comes later, the give-up that it crossed ends the session at its node.
const CANCEL_GRACE: Time = 30 * MS;

/// Connections that are tried for one attempt, at most: one that the node had just ended, one that takes no bytes, a new one.
const MAX_LINKS_PER_ATTEMPT: u8 = 3;

/// One attempt.
pub struct Attempt {
    pub incarnation: IncarnationId,
    pub number: u32,
    pub link: LinkId,
    /// The front end waits for it until then.
    pub deadline: Time,
    pub stage: Stage,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its connection is not up yet: nothing was sent. So many dials were made for it.
    Dialling(u8),
    /// Its connection is up; whether its viewer still waits is being looked at. Nothing was sent. So many connections were
    /// tried for it.
    CheckingViewer(u8),
    /// Sent.
    Sent,
    /// Given up; the node is heard out.
    Cancelling,
    /// Its connection broke; whether the node lives is being found out.
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

    /// Offers a set-up once its connection is up: its viewer may have left since it was decided, and nothing of that may
    /// have been read yet.
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

    /// Writes a set-up whose viewer waits. The node is looked at again, since dialling takes time.
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

    /// Its connection takes no bytes now, or the node has ended it: nothing was sent over it, nor will be. Another one
    /// serves, within bounds.
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

    /// Takes the attempt off its request and tells the module how it ended.
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

    /// Gives up whatever is out for a request, because nobody waits for it any more.
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
                // A node that does not answer may be gone without a sign.
                self.suspect_if_quiet(now, incarnation, out);
            }
        }
    }

    pub(super) fn cancel_grace_over(&mut self, id: SessionId, number: u32) {
        if self.attempt(id).is_some_and(|a| a.number == number && a.stage == Stage::Cancelling) {
            self.attempt_ended(id, Outcome::TimedOut, Vec::new());
        }
    }

    /// The node's final word on an attempt.
    pub(super) fn set_up_failed(&mut self, link: LinkId, id: SessionId, outcome: Outcome, report: Vec<f64>) {
        let Some(attempt) = self.attempt(id).filter(|a| a.link == link) else { return };
        if matches!(attempt.stage, Stage::Sent | Stage::Cancelling) {
            self.attempt_ended(id, outcome, report);
        }
    }
}

/// The end of an attempt, or with `settled` of all that was owed.
pub fn ended_event(
    session: SessionId,
    server: ServerId,
    outcome: Outcome,
    settled: bool,
    report: Vec<f64>,
) -> Event {
    Event::Ended { session, server, outcome, is_final: settled, report }
}
