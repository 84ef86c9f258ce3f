//! Judges what passes between a core and the world, from inputs and effects alone. It shares no account with the core.

use super::super::types::*;
use pepperhook::{Outcome, SessionId, Time};
use pepperhook_changelog::{Entry, State};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const SLACK: Time = 10 * super::MS;

/// What the settings allow, read from their JSON by this file alone.
struct Terms {
    floors: Vec<u64>,
    tops: Vec<u64>,
    seats: Vec<u64>,
    attempts: u64,
    /// Share, free ones and window of the ration of further attempts.
    ration: Option<(f64, f64, Time)>,
}

impl Terms {
    fn of(v: &Value) -> Self {
        let each = |key: &str| {
            let all = v["specifics"][key].as_array().into_iter().flatten();
            all.map(|x| x.as_u64().expect("whole")).collect()
        };
        let rules = &v["rules"];
        let ration = rules["extra_per_request"].as_f64().map(|share| {
            (share, rules["min_extra"].as_f64().unwrap_or(0.0), rules["look_back_ns"].as_u64().unwrap_or(0))
        });
        let attempts = v["limits"]["max_attempts"].as_u64().expect("whole");
        Self {
            floors: each("lowest_rung"),
            tops: each("highest_rung"),
            seats: each("seats"),
            attempts,
            ration,
        }
    }
}

#[derive(Default)]
struct Request {
    class: usize,
    title: u64,
    top: f64,
    attempts: u64,
    paid: bool,
    due: Time,
    conn: u64,
    out: Option<LinkId>,
    may_have_run: bool,
    ready_answer: Option<bytes::Bytes>,
    answered: bool,
    dropped: bool,
    /// Its viewer has gone away, whether the front has heard of it or not: nothing is begun for it.
    away: bool,
    /// The front has heard that its viewer's connection has ended: it still gets its whole answer, no 200.
    left: bool,
}

#[derive(Default)]
pub struct Checker {
    /// Classes that may never be set up twice.
    paid: Vec<bool>,
    terms: Option<Terms>,
    taken: Vec<Time>,
    further: Vec<Time>,
    /// Sessions that stand, for seats: gone with the first word of their end.
    seated: BTreeSet<SessionId>,
    /// Set-ups, answers that play and refusals that were seen.
    pub seen: [usize; 3],
    requests: BTreeMap<SessionId, Request>,
    conns: BTreeSet<u64>,
    /// Connections that their viewers have closed, or that were closed from here.
    left: BTreeSet<u64>,
    links: BTreeMap<LinkId, SocketAddr>,
    ready: BTreeSet<SocketAddr>,
    standing: BTreeSet<SessionId>,
    /// Connections that this side has shut.
    shut: BTreeSet<LinkId>,
}

impl Checker {
    pub fn new(paid: Vec<bool>, settings: &Value) -> Self {
        Self { paid, terms: Some(Terms::of(settings)), ..Self::default() }
    }

    /// Attempts for one request, the ration of further ones, rungs and seats.
    fn judge_terms(&mut self, now: Time, id: SessionId, rung: u8) -> Result<(), String> {
        let (Some(terms), Some(r)) = (&self.terms, self.requests.get(&id)) else { return Ok(()) };
        if r.attempts >= terms.attempts {
            return Err(format!("{id:?} has more attempts than are allowed"));
        }
        let (floor, top) = (terms.floors[r.class], terms.tops[r.class]);
        let most = (r.top as u64).min(top).max(floor);
        if !(floor..=most).contains(&u64::from(rung)) {
            return Err(format!("{id:?} on rung {rung}, {floor} to {most} are allowed"));
        }
        let alike = |(other, o): &(&SessionId, &Request)| {
            **other != id
                && (o.class, o.title) == (r.class, r.title)
                && (o.out.is_some() || self.seated.contains(other))
        };
        if terms.seats[r.class] > 0
            && self.requests.iter().filter(alike).count() as u64 >= terms.seats[r.class]
        {
            return Err(format!("{id:?} has no seat"));
        }
        if let Some((share, free, window)) = terms.ration.filter(|_| r.attempts > 0) {
            let late = |all: &[Time]| all.iter().filter(|t| **t + window > now).count() as f64;
            // The protocol's slack: 15 in 100 and one.
            if late(&self.further) + 1.0 > (free + share * late(&self.taken)) * 1.15 + 1.0 {
                return Err(format!("{id:?} is tried again past the ration"));
            }
            self.further.push(now);
        }
        Ok(())
    }

    /// What goes into the core, before it is handed in.
    pub fn input(&mut self, now: Time, input: &Input) {
        match input {
            Input::ViewerConnected(conn, _) => drop(self.conns.insert(conn.0)),
            // Handed over: no answer is owed.
            Input::SetUp(_, ask) if ask.playing_at.is_some() => {}
            Input::SetUp(conn, ask)
                if self.conns.contains(&conn.0) && !self.requests.contains_key(&ask.id) =>
            {
                let paid = self.paid[usize::from(ask.spec.class.0)];
                let due = now + ask.spec.max_wait + SLACK;
                let (class, title, top) =
                    (usize::from(ask.spec.class.0), ask.spec.title.0, ask.spec.highest_rung);
                let left = self.left.contains(&conn.0);
                let new = Request {
                    class,
                    title,
                    top,
                    paid,
                    due,
                    conn: conn.0,
                    left,
                    away: left,
                    ..Request::default()
                };
                self.requests.insert(ask.id, new);
                self.taken.push(now);
            }
            Input::SetUp(conn, ask) => {
                // A second request under one id: on the same connection it takes the first one along.
                if let Some(r) = self.requests.get_mut(&ask.id).filter(|r| r.conn == conn.0 && !r.answered) {
                    (r.dropped, r.answered) = (true, true);
                }
                self.leave(conn.0);
            }
            Input::ViewerHalfClosed(conn) => self.leave(conn.0),
            Input::Release(_, id) => {
                self.standing.remove(id);
                self.seated.remove(id);
                if let Some(r) = self.requests.get_mut(id) {
                    r.dropped = true;
                }
            }
            Input::ViewerDisconnected(conn) => {
                self.conns.remove(&conn.0);
                self.leave(conn.0);
            }
            Input::LinkDown(link) | Input::LinkEndedByNode(link) | Input::DialFailed(link, _) => {
                self.links.remove(link);
                self.requests.values_mut().filter(|r| r.out == Some(*link)).for_each(|r| r.out = None);
            }
            Input::NodeMessage(link, said) => self.said(*link, said),
            Input::NodeList(entries) => {
                let ready = |e: &&Entry| e.state == State::Ready;
                self.ready = entries.iter().filter(ready).map(|e| e.address.into()).collect();
            }
            Input::EvictViewer(_)
            | Input::LinkUp(_)
            | Input::ViewerWaits(_)
            | Input::LinkBlocked(_)
            | Input::StopAccepting
            | Input::AnswerAll => {}
        }
    }

    /// A connection has ended on its viewer's side.
    fn leave(&mut self, conn: u64) {
        self.left.insert(conn);
        self.requests.values_mut().filter(|r| r.conn == conn).for_each(|r| (r.left, r.away) = (true, true));
    }

    /// A viewer closes its connection; the front has not heard of it yet.
    pub fn departs(&mut self, conn: ConnId) {
        self.requests.values_mut().filter(|r| r.conn == conn.0).for_each(|r| r.away = true);
    }

    /// The process is killed: what was open is over with it. Sessions that stand go on at their nodes.
    pub fn killed(&mut self) -> Vec<SessionId> {
        self.requests.values_mut().filter(|r| !r.answered).for_each(|r| (r.dropped, r.out) = (true, None));
        self.links.clear();
        self.shut.clear();
        self.conns.clear();
        self.standing.iter().copied().collect()
    }

    fn said(&mut self, link: LinkId, said: &FromNode) {
        let (FromNode::Started(id, ..) | FromNode::SetUpFailed(id, ..) | FromNode::SessionEnded(id, ..)) =
            said
        else {
            return;
        };
        if matches!(said, FromNode::SessionEnded(..)) {
            self.seated.remove(id);
        }
        let Some(r) = self.requests.get_mut(id).filter(|r| r.out == Some(link)) else { return };
        r.out = None;
        match said {
            FromNode::Started(_, body) if !r.dropped => r.ready_answer = Some(body.clone()),
            FromNode::SetUpFailed(_, Outcome::Full | Outcome::Unsent, _) => r.may_have_run = false,
            _ => {}
        }
    }

    /// What came out of the core.
    pub fn effect(&mut self, now: Time, effect: &Effect) -> Result<(), String> {
        match effect {
            Effect::Dial(link, address) => drop(self.links.insert(*link, *address)),
            Effect::CloseLink(link) => {
                self.links.remove(link);
                self.requests.values_mut().filter(|r| r.out == Some(*link)).for_each(|r| r.out = None);
            }
            Effect::SendToNode(link, word) => self.judge_node(now, *link, word)?,
            Effect::SendToViewer(_, word) => self.judge_viewer(now, word)?,
            Effect::HalfCloseLink(link) if self.requests.values().any(|r| r.out == Some(*link)) => {
                return Err(format!("{link:?} is shut under an attempt"));
            }
            Effect::HalfCloseLink(link) => drop(self.shut.insert(*link)),
            Effect::CloseViewer(_) | Effect::CheckViewer(..) | Effect::Log(..) => {}
        }
        Ok(())
    }

    fn judge_node(&mut self, now: Time, link: LinkId, word: &ToNode) -> Result<(), String> {
        let address = *self.links.get(&link).ok_or("a word to a connection that is no more")?;
        if self.shut.contains(&link) {
            return Err(format!("a word to {link:?} after it was shut"));
        }
        match word {
            ToNode::SetUp { id, rung, .. } => {
                self.judge_terms(now, *id, *rung)?;
                self.seen[0] += 1;
                let r = self.requests.get_mut(id).ok_or("a set-up that nobody asked for")?;
                if !self.ready.contains(&address) {
                    return Err(format!("{id:?} sent to a node that is not ready"));
                }
                if r.out.is_some() {
                    return Err(format!("{id:?} has two attempts out"));
                }
                if r.paid && r.may_have_run {
                    return Err(format!("{id:?} is paid and sent again though it may have run"));
                }
                if r.answered || r.dropped || r.away || now > r.due {
                    return Err(format!("{id:?} sent though nobody waits for it"));
                }
                (r.out, r.may_have_run) = (Some(link), true);
                r.attempts += 1;
            }
            ToNode::CancelSetUp(id, _) => {
                if let Some(r) = self.requests.get_mut(id) {
                    r.out = None;
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn judge_viewer(&mut self, now: Time, word: &ToViewer) -> Result<(), String> {
        let (id, plays, refused) = match word {
            ToViewer::Started(id, body) => (id, Some(body), false),
            ToViewer::Refused(id, _) => (id, None, true),
            ToViewer::Failed(id) => (id, None, false),
            ToViewer::Ended(id, ..) | ToViewer::Move(id, _) => {
                self.seated.remove(id);
                let stood = if matches!(word, ToViewer::Ended(..)) {
                    self.standing.remove(id)
                } else {
                    self.standing.contains(id)
                };
                return if stood {
                    Ok(())
                } else {
                    Err(format!("{id:?} did not stand and is told to be over"))
                };
            }
            ToViewer::Conflict(_) | ToViewer::Acknowledge(_) | ToViewer::UnknownSession(_) => return Ok(()),
        };
        let r = self.requests.get_mut(id).ok_or("an answer that nobody asked for")?;
        if r.answered || r.dropped {
            return Err(format!("{id:?} is answered though nothing is owed"));
        }
        if now > r.due {
            return Err(format!("{id:?} is answered too late"));
        }
        if refused && r.paid && r.may_have_run {
            return Err(format!("{id:?} is paid and refused though it may have run"));
        }
        if let Some(body) = plays {
            if r.left {
                return Err(format!("{id:?} is served though its viewer has left"));
            }
            if r.ready_answer.as_ref() != Some(body) {
                return Err(format!("{id:?} is served with what no node made for it"));
            }
            self.standing.insert(*id);
            self.seated.insert(*id);
            self.seen[1] += 1;
        }
        self.seen[2] += usize::from(refused);
        r.answered = true;
        Ok(())
    }

    /// At the end, when every time is up.
    pub fn end(&self) -> Result<(), String> {
        match self.requests.iter().find(|(_, r)| !r.answered && !r.dropped) {
            Some((id, _)) => Err(format!("{id:?} has no answer")),
            None => Ok(()),
        }
    }
}
