//! Judges what passes between a core and the world, from inputs and effects alone. It shares no account with the core.

use super::super::types::*;
use pepperhook::{Outcome, SessionId, Time};
use pepperhook_changelog::{Entry, State};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const ANSWER_SLACK: Time = 10 * super::MS;

/// What the settings allow, read from their JSON by this file alone.
struct Limits {
    floors: Vec<u64>,
    tops: Vec<u64>,
    seats: Vec<u64>,
    attempts: u64,
    /// Share, free ones and window of the ration of further attempts.
    retry_budget: Option<(f64, f64, Time)>,
}

impl Limits {
    fn of(v: &Value) -> Self {
        let each = |key: &str| {
            let all = v["specifics"][key].as_array().into_iter().flatten();
            all.map(|x| x.as_u64().expect("whole")).collect()
        };
        let rules = &v["rules"];
        let retry_budget = rules["extra_per_request"].as_f64().map(|share| {
            (share, rules["min_extra"].as_f64().unwrap_or(0.0), rules["look_back_ns"].as_u64().unwrap_or(0))
        });
        let attempts = v["limits"]["max_attempts"].as_u64().expect("whole");
        Self {
            floors: each("lowest_rung"),
            tops: each("highest_rung"),
            seats: each("seats"),
            attempts,
            retry_budget,
        }
    }
}

#[derive(Default)]
struct Request {
    class: usize,
    title: u64,
    top: f64,
    attempts: u64,
    at_most_once: bool,
    deadline: Time,
    conn: u64,
    in_flight: Option<LinkId>,
    may_have_run: bool,
    node_answer: Option<bytes::Bytes>,
    answered: bool,
    withdrawn: bool,
    /// Its viewer has gone away, whether the front has heard of it or not: nothing is begun for it.
    departed: bool,
    /// The front has heard that its viewer's connection has ended: it still gets its whole answer, no 200.
    half_closed: bool,
}

#[derive(Default)]
pub struct Checker {
    /// Classes that may never be set up twice.
    at_most_once: Vec<bool>,
    limits: Option<Limits>,
    request_times: Vec<Time>,
    retry_times: Vec<Time>,
    /// Sessions that stand, for seats: gone with the first word of their end.
    seated: BTreeSet<SessionId>,
    /// Set-ups, answers that play and refusals that were seen.
    pub counts: [usize; 3],
    requests: BTreeMap<SessionId, Request>,
    conns: BTreeSet<u64>,
    /// Connections that their viewers have closed, or that were closed from here.
    half_closed: BTreeSet<u64>,
    links: BTreeMap<LinkId, SocketAddr>,
    ready: BTreeSet<SocketAddr>,
    playing: BTreeSet<SessionId>,
    /// Connections that this side has shut.
    half_closed_links: BTreeSet<LinkId>,
}

impl Checker {
    pub fn new(at_most_once: Vec<bool>, settings: &Value) -> Self {
        Self { at_most_once, limits: Some(Limits::of(settings)), ..Self::default() }
    }

    /// Attempts for one request, the ration of further ones, rungs and seats.
    fn check_limits(&mut self, now: Time, id: SessionId, rung: u8) -> Result<(), String> {
        let (Some(limits), Some(r)) = (&self.limits, self.requests.get(&id)) else { return Ok(()) };
        if r.attempts >= limits.attempts {
            return Err(format!("{id:?} has more attempts than are allowed"));
        }
        let (floor, top) = (limits.floors[r.class], limits.tops[r.class]);
        let most = (r.top as u64).min(top).max(floor);
        if !(floor..=most).contains(&u64::from(rung)) {
            return Err(format!("{id:?} on rung {rung}, {floor} to {most} are allowed"));
        }
        let alike = |(other, o): &(&SessionId, &Request)| {
            **other != id
                && (o.class, o.title) == (r.class, r.title)
                && (o.in_flight.is_some() || self.seated.contains(other))
        };
        if limits.seats[r.class] > 0
            && self.requests.iter().filter(alike).count() as u64 >= limits.seats[r.class]
        {
            return Err(format!("{id:?} has no seat"));
        }
        if let Some((share, free, window)) = limits.retry_budget.filter(|_| r.attempts > 0) {
            let late = |all: &[Time]| all.iter().filter(|t| **t + window > now).count() as f64;
            // The protocol's slack: 15 in 100 and one.
            if late(&self.retry_times) + 1.0 > (free + share * late(&self.request_times)) * 1.15 + 1.0 {
                return Err(format!("{id:?} is tried again past the ration"));
            }
            self.retry_times.push(now);
        }
        Ok(())
    }

    /// What goes into the core, before it is handed in.
    pub fn input(&mut self, now: Time, input: &Input) {
        match input {
            Input::ViewerConnected(conn, _) => drop(self.conns.insert(conn.0)),
            // Handed over: no answer is owed.
            Input::SetUp(_, request) if request.playing_at.is_some() => {}
            Input::SetUp(conn, request)
                if self.conns.contains(&conn.0) && !self.requests.contains_key(&request.id) =>
            {
                let at_most_once = self.at_most_once[usize::from(request.spec.class.0)];
                let deadline = now + request.spec.max_wait + ANSWER_SLACK;
                let (class, title, top) =
                    (usize::from(request.spec.class.0), request.spec.title.0, request.spec.highest_rung);
                let half_closed = self.half_closed.contains(&conn.0);
                let new = Request {
                    class,
                    title,
                    top,
                    at_most_once,
                    deadline,
                    conn: conn.0,
                    half_closed,
                    departed: half_closed,
                    ..Request::default()
                };
                self.requests.insert(request.id, new);
                self.request_times.push(now);
            }
            Input::SetUp(conn, request) => {
                // A second request under one id: on the same connection it takes the first one along.
                if let Some(r) =
                    self.requests.get_mut(&request.id).filter(|r| r.conn == conn.0 && !r.answered)
                {
                    (r.withdrawn, r.answered) = (true, true);
                }
                self.viewer_left(conn.0);
            }
            Input::ViewerHalfClosed(conn) => self.viewer_left(conn.0),
            Input::Release(_, id) => {
                self.playing.remove(id);
                self.seated.remove(id);
                if let Some(r) = self.requests.get_mut(id) {
                    r.withdrawn = true;
                }
            }
            Input::ViewerDisconnected(conn) => {
                self.conns.remove(&conn.0);
                self.viewer_left(conn.0);
            }
            Input::LinkDown(link) | Input::LinkEndedByNode(link) | Input::DialFailed(link, _) => {
                self.links.remove(link);
                self.requests
                    .values_mut()
                    .filter(|r| r.in_flight == Some(*link))
                    .for_each(|r| r.in_flight = None);
            }
            Input::NodeMessage(link, message) => self.node_message(*link, message),
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
    fn viewer_left(&mut self, conn: u64) {
        self.half_closed.insert(conn);
        self.requests
            .values_mut()
            .filter(|r| r.conn == conn)
            .for_each(|r| (r.half_closed, r.departed) = (true, true));
    }

    /// A viewer closes its connection; the front has not heard of it yet.
    pub fn viewer_departs(&mut self, conn: ConnId) {
        self.requests.values_mut().filter(|r| r.conn == conn.0).for_each(|r| r.departed = true);
    }

    /// The process is killed: what was open is over with it. Sessions that stand go on at their nodes.
    pub fn process_killed(&mut self) -> Vec<SessionId> {
        self.requests
            .values_mut()
            .filter(|r| !r.answered)
            .for_each(|r| (r.withdrawn, r.in_flight) = (true, None));
        self.links.clear();
        self.half_closed_links.clear();
        self.conns.clear();
        self.playing.iter().copied().collect()
    }

    fn node_message(&mut self, link: LinkId, message: &FromNode) {
        let (FromNode::Started(id, ..) | FromNode::SetUpFailed(id, ..) | FromNode::SessionEnded(id, ..)) =
            message
        else {
            return;
        };
        if matches!(message, FromNode::SessionEnded(..)) {
            self.seated.remove(id);
        }
        let Some(r) = self.requests.get_mut(id).filter(|r| r.in_flight == Some(link)) else { return };
        r.in_flight = None;
        match message {
            FromNode::Started(_, body) if !r.withdrawn => r.node_answer = Some(body.clone()),
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
                self.requests
                    .values_mut()
                    .filter(|r| r.in_flight == Some(*link))
                    .for_each(|r| r.in_flight = None);
            }
            Effect::SendToNode(link, message) => self.check_to_node(now, *link, message)?,
            Effect::SendToViewer(_, message) => self.check_to_viewer(now, message)?,
            Effect::HalfCloseLink(link) if self.requests.values().any(|r| r.in_flight == Some(*link)) => {
                return Err(format!("{link:?} is shut under an attempt"));
            }
            Effect::HalfCloseLink(link) => drop(self.half_closed_links.insert(*link)),
            Effect::CloseViewer(_) | Effect::CheckViewer(..) | Effect::Log(..) => {}
        }
        Ok(())
    }

    fn check_to_node(&mut self, now: Time, link: LinkId, message: &ToNode) -> Result<(), String> {
        let address = *self.links.get(&link).ok_or("a word to a connection that is no more")?;
        if self.half_closed_links.contains(&link) {
            return Err(format!("a word to {link:?} after it was shut"));
        }
        match message {
            ToNode::SetUp { id, rung, .. } => {
                self.check_limits(now, *id, *rung)?;
                self.counts[0] += 1;
                let r = self.requests.get_mut(id).ok_or("a set-up that nobody asked for")?;
                if !self.ready.contains(&address) {
                    return Err(format!("{id:?} sent to a node that is not ready"));
                }
                if r.in_flight.is_some() {
                    return Err(format!("{id:?} has two attempts out"));
                }
                if r.at_most_once && r.may_have_run {
                    return Err(format!("{id:?} is paid and sent again though it may have run"));
                }
                if r.answered || r.withdrawn || r.departed || now > r.deadline {
                    return Err(format!("{id:?} sent though nobody waits for it"));
                }
                (r.in_flight, r.may_have_run) = (Some(link), true);
                r.attempts += 1;
            }
            ToNode::CancelSetUp(id, _) => {
                if let Some(r) = self.requests.get_mut(id) {
                    r.in_flight = None;
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn check_to_viewer(&mut self, now: Time, message: &ToViewer) -> Result<(), String> {
        let (id, plays, refused) = match message {
            ToViewer::Started(id, body) => (id, Some(body), false),
            ToViewer::Refused(id, _) => (id, None, true),
            ToViewer::Failed(id) => (id, None, false),
            ToViewer::Ended(id, ..) | ToViewer::Move(id, _) => {
                self.seated.remove(id);
                let was_playing = if matches!(message, ToViewer::Ended(..)) {
                    self.playing.remove(id)
                } else {
                    self.playing.contains(id)
                };
                return if was_playing {
                    Ok(())
                } else {
                    Err(format!("{id:?} did not stand and is told to be over"))
                };
            }
            ToViewer::Conflict(_) | ToViewer::Acknowledge(_) | ToViewer::UnknownSession(_) => return Ok(()),
        };
        let r = self.requests.get_mut(id).ok_or("an answer that nobody asked for")?;
        if r.answered || r.withdrawn {
            return Err(format!("{id:?} is answered though nothing is owed"));
        }
        if now > r.deadline {
            return Err(format!("{id:?} is answered too late"));
        }
        if refused && r.at_most_once && r.may_have_run {
            return Err(format!("{id:?} is paid and refused though it may have run"));
        }
        if let Some(body) = plays {
            if r.half_closed {
                return Err(format!("{id:?} is served though its viewer has left"));
            }
            if r.node_answer.as_ref() != Some(body) {
                return Err(format!("{id:?} is served with what no node made for it"));
            }
            self.playing.insert(*id);
            self.seated.insert(*id);
            self.counts[1] += 1;
        }
        self.counts[2] += usize::from(refused);
        r.answered = true;
        Ok(())
    }

    /// At the end, when every time is up.
    pub fn check_all_answered(&self) -> Result<(), String> {
        match self.requests.iter().find(|(_, r)| !r.answered && !r.withdrawn) {
            Some((id, _)) => Err(format!("{id:?} has no answer")),
            None => Ok(()),
        }
    }
}
