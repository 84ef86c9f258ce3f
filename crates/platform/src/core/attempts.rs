//! Attempts: one out at a time for each request, from the module's word until the node or the connection has said how it
//! ended.
//!
//! An attempt whose time is up is given up at the node, and the node is heard out for a short grace; only then does the
//! module hear of it, so that no further attempt can be out beside it.

use super::*;
use pepperhook::Outcome;

/// After a give-up the node is heard out so long: the way there and back, and its work in between. No settings name the way;
/// where a word comes later, the give-up that it crossed ends the session at its node.
const GRACE: Time = 30 * MS;

/// Connections that are tried for one attempt, at most: one that the node had just ended, one that takes no bytes, a new one.
const TRIED: u8 = 3;

/// One attempt.
pub struct Attempt {
    pub life: IncarnationId,
    pub number: u32,
    pub link: LinkId,
    /// The front end waits for it until then.
    pub until: Time,
    pub stage: Stage,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its connection is not up yet: nothing was sent. So many dials were made for it.
    Dialling(u8),
    /// Its connection is up; whether its viewer still waits is being looked at. Nothing was sent. So many connections were
    /// tried for it.
    Offered(u8),
    /// Sent.
    Sent,
    /// Given up; the node is heard out.
    Closing,
    /// Its connection broke; whether the node lives is being found out.
    Torn,
}

impl Core {
    pub(super) fn attempt(&self, id: SessionId) -> Option<&Attempt> {
        match &self.sessions.get(&id)?.phase {
            Phase::Open(attempt) => attempt.as_ref(),
            Phase::Standing(..) => None,
        }
    }

    pub(super) fn attempt_mut(&mut self, id: SessionId) -> Option<&mut Attempt> {
        match &mut self.sessions.get_mut(&id)?.phase {
            Phase::Open(attempt) => attempt.as_mut(),
            Phase::Standing(..) => None,
        }
    }

    pub(super) fn set_up(
        &mut self,
        now: Time,
        id: SessionId,
        server: ServerId,
        wait: Time,
        out: &mut Vec<Effect>,
    ) {
        let life = self.current.get(&server).copied().filter(|l| self.is_ready(*l));
        let link = life.and_then(|life| self.link_for_set_up(now, life, out).map(|link| (life, link)));
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let Phase::Open(attempt @ None) = &mut s.phase else { return };
        let Some((life, link)) = link else {
            return self.pending.push_back(ended(id, server, Outcome::Unsent, false, Vec::new()));
        };
        s.attempts += 1;
        let (number, until) = (s.attempts, now.saturating_add(wait));
        *attempt = Some(Attempt { life, number, link, until, stage: Stage::Dialling(1) });
        self.at(until, Wake::AttemptTime(id, number));
        if let Some(link) = self.links.get_mut(&link) {
            link.open.insert(id);
        }
        self.write_set_up(now, id, out);
    }

    /// Offers a set-up once its connection is up: its viewer may have left since it was decided, and nothing of that may
    /// have been read yet.
    pub(super) fn write_set_up(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Attempt { life, link, until, stage: Stage::Dialling(tried), .. }) = self.attempt(id) else {
            return;
        };
        let (life, link, until, tried) = (*life, *link, *until, *tried);
        if !self.links.get(&link).is_some_and(Link::up) {
            return;
        }
        if !self.is_ready(life) || until <= now {
            return self.attempt_ended(id, Outcome::Unsent, Vec::new());
        }
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let conn = s.conn;
        if let Phase::Open(Some(attempt)) = &mut s.phase {
            attempt.stage = Stage::Offered(tried);
        }
        out.push(Effect::CheckViewer(conn, link, id));
    }

    /// Writes a set-up whose viewer waits. The node is looked at again, since dialling takes time.
    pub(super) fn send_set_up(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Attempt { life, link, until, stage: Stage::Offered(_), .. }) = self.attempt(id) else {
            return;
        };
        let (life, link, until) = (*life, *link, *until);
        if !self.is_ready(life) || until <= now || !self.links.get(&link).is_some_and(Link::up) {
            return self.attempt_ended(id, Outcome::Unsent, Vec::new());
        }
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let word = ToNode::SetUp {
            id,
            title: s.ask.spec.title.0,
            class: s.ask.spec.class.0,
            wait_ms: (until - now).div_ceil(MS),
            rung: s.rung,
            body: s.ask.body.clone(),
        };
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.stage = Stage::Sent;
        }
        if let Some(l) = self.links.get_mut(&link) {
            l.carried = true;
        }
        self.write(now, link, word, out);
    }

    /// Its connection takes no bytes now, or the node has ended it: nothing was sent over it, nor will be. Another one
    /// serves, within bounds.
    pub(super) fn blocked(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(Attempt { life, link, stage: Stage::Offered(tried), .. }) = self.attempt(id) else { return };
        let (life, link, tried) = (*life, *link, *tried);
        if let Some(l) = self.links.get_mut(&link) {
            l.blocked = true;
            l.open.remove(&id);
        }
        let next = if tried < TRIED { self.link_for_set_up(now, life, out) } else { None };
        match next {
            Some(next) => self.move_set_up(now, id, next, tried + 1, out),
            None => self.attempt_ended(id, Outcome::Unsent, Vec::new()),
        }
    }

    /// Takes the attempt off its request and tells the module how it ended.
    pub(super) fn attempt_ended(&mut self, id: SessionId, outcome: Outcome, report: Vec<f64>) {
        let Some(attempt) = self.take_attempt(id) else { return };
        let Some(server) = self.lives.get(&attempt.life).map(|l| l.server) else { return };
        let report = if self.is_current(attempt.life) { report } else { Vec::new() };
        let outcome = self.fair(attempt.life, outcome);
        self.pending.push_back(ended(id, server, outcome, false, report));
    }

    pub(super) fn take_attempt(&mut self, id: SessionId) -> Option<Attempt> {
        let attempt = match &mut self.sessions.get_mut(&id)?.phase {
            Phase::Open(attempt) => attempt.take()?,
            Phase::Standing(..) => return None,
        };
        if let Some(link) = self.links.get_mut(&attempt.link) {
            link.open.remove(&id);
        }
        Some(attempt)
    }

    /// Gives up whatever is out for a request, because nobody waits for it any more.
    pub(super) fn give_up(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(attempt) = self.take_attempt(id) else { return };
        if attempt.stage == Stage::Sent {
            self.write(now, attempt.link, ToNode::CancelSetUp(id, self.title(id)), out);
        }
    }

    pub(super) fn attempt_time(&mut self, now: Time, id: SessionId, number: u32, out: &mut Vec<Effect>) {
        let Some(attempt) = self.attempt(id).filter(|a| a.number == number) else { return };
        let (link, life, stage) = (attempt.link, attempt.life, attempt.stage);
        match stage {
            Stage::Dialling(_) => self.attempt_ended(id, Outcome::ConnectFailed, Vec::new()),
            Stage::Offered(_) => self.attempt_ended(id, Outcome::Unsent, Vec::new()),
            Stage::Torn => self.attempt_ended(id, Outcome::LinkBroken, Vec::new()),
            Stage::Closing => {}
            Stage::Sent => {
                if let Some(attempt) = self.attempt_mut(id) {
                    attempt.stage = Stage::Closing;
                }
                self.write(now, link, ToNode::CancelSetUp(id, self.title(id)), out);
                self.at(now + GRACE, Wake::AttemptClosed(id, number));
                // A node that does not answer may be gone without a sign.
                self.doubt_if_quiet(now, life, out);
            }
        }
    }

    pub(super) fn attempt_closed(&mut self, id: SessionId, number: u32) {
        if self.attempt(id).is_some_and(|a| a.number == number && a.stage == Stage::Closing) {
            self.attempt_ended(id, Outcome::TimedOut, Vec::new());
        }
    }

    /// The node's final word on an attempt.
    pub(super) fn node_ended(&mut self, link: LinkId, id: SessionId, outcome: Outcome, report: Vec<f64>) {
        let Some(attempt) = self.attempt(id).filter(|a| a.link == link) else { return };
        if matches!(attempt.stage, Stage::Sent | Stage::Closing) {
            self.attempt_ended(id, outcome, report);
        }
    }
}

/// The end of an attempt, or with `settled` of all that was owed.
pub fn ended(
    session: SessionId,
    server: ServerId,
    outcome: Outcome,
    settled: bool,
    report: Vec<f64>,
) -> Event {
    Event::Ended { session, server, outcome, is_final: settled, report }
}
