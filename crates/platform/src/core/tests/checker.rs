//! Checks the inputs and effects of a core against the rules of the protocol. It shares no code or state with
//! the core.

use super::super::types::*;
use pepperhook::{Outcome, SessionId, Time};
use pepperhook_changelog::{Entry, State};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const ANSWER_SLACK: Time = 10 * super::MS;

/// What the settings allow, read from their JSON independently of the core.
struct Limits {
    floors: Vec<u64>,
    tops: Vec<u64>,
    seats: Vec<u64>,
    attempts: u64,
    /// Retry budget: retries per request, retries that are always allowed, and the window in nanoseconds.
    retry_budget: Option<(f64, f64, Time)>,
}

impl Limits {
    fn from_settings(v: &Value) -> Self {
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
    /// The viewer has left, whether the front knows or not: no attempt may be started for it.
    departed: bool,
    /// The front knows that the viewer has closed its side: it must still answer, but not with a started
    /// session.
    half_closed: bool,
}

#[derive(Default)]
pub struct Checker {
    /// For each class, whether a request may be set up only once.
    at_most_once: Vec<bool>,
    limits: Option<Limits>,
    request_times: Vec<Time>,
    retry_times: Vec<Time>,
    /// Sessions that take a seat, up to the first message that reports their end.
    seated: BTreeSet<SessionId>,
    /// Set-ups, started sessions and refusals so far.
    pub counts: [usize; 3],
    requests: BTreeMap<SessionId, Request>,
    conns: BTreeSet<u64>,
    /// Connections that their viewers have closed, or that the front has closed.
    half_closed: BTreeSet<u64>,
    links: BTreeMap<LinkId, SocketAddr>,
    ready: BTreeSet<SocketAddr>,
    playing: BTreeSet<SessionId>,
    /// Connections to nodes that the front has half-closed.
    half_closed_links: BTreeSet<LinkId>,
}

impl Checker {
    pub fn new(at_most_once: Vec<bool>, settings: &Value) -> Self {
        Self { at_most_once, limits: Some(Limits::from_settings(settings)), ..Self::default() }
    }

    /// Checks the number of attempts, the retry budget, the rung and the seats.
    fn check_limits(&mut self, now: Time, id: SessionId, rung: u8) -> Result<(), String> {
        let (Some(limits), Some(r)) = (&self.limits, self.requests.get(&id)) else { return Ok(()) };
        if r.attempts >= limits.attempts {
            return Err(format!("{id:?} has more attempts than the {} allowed", limits.attempts));
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
            return Err(format!("{id:?} exceeds the seats of its class"));
        }
        if let Some((share, free, window)) = limits.retry_budget.filter(|_| r.attempts > 0) {
            let late = |all: &[Time]| all.iter().filter(|t| **t + window > now).count() as f64;
            // The protocol allows 15 in 100 and one more.
            if late(&self.retry_times) + 1.0 > (free + share * late(&self.request_times)) * 1.15 + 1.0 {
                return Err(format!("{id:?} is retried beyond the retry budget"));
            }
            self.retry_times.push(now);
        }
        Ok(())
    }

    /// Records an input before the core handles it.
    pub fn input(&mut self, now: Time, input: &Input) {
        match input {
            Input::ViewerConnected(conn, _) => drop(self.conns.insert(conn.0)),
            // A session that is handed over gets no answer.
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
                // A second request with a known id on the same connection withdraws the first one too.
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
            Input::LinkDown(link)
            | Input::LinkReset(link)
            | Input::LinkEndedByNode(link)
            | Input::DialFailed(link, _) => {
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

    /// The viewer has closed its side of a connection.
    fn viewer_left(&mut self, conn: u64) {
        self.half_closed.insert(conn);
        self.requests
            .values_mut()
            .filter(|r| r.conn == conn)
            .for_each(|r| (r.half_closed, r.departed) = (true, true));
    }

    /// A viewer closes its connection, and the front does not know yet.
    pub fn viewer_departs(&mut self, conn: ConnId) {
        self.requests.values_mut().filter(|r| r.conn == conn.0).for_each(|r| r.departed = true);
    }

    /// The process is killed: open requests end with it, playing sessions go on at their nodes.
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

    /// Checks an effect of the core.
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
                return Err(format!("{link:?} is half-closed while an attempt is in flight"));
            }
            Effect::HalfCloseLink(link) => drop(self.half_closed_links.insert(*link)),
            Effect::CloseViewer(_) | Effect::CheckViewer(..) | Effect::Log(..) => {}
        }
        Ok(())
    }

    fn check_to_node(&mut self, now: Time, link: LinkId, message: &ToNode) -> Result<(), String> {
        let address = *self.links.get(&link).ok_or("a message on a connection that is closed")?;
        if self.half_closed_links.contains(&link) {
            return Err(format!("a message on {link:?} after it was half-closed"));
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
                    return Err(format!("{id:?} has two attempts in flight"));
                }
                if r.at_most_once && r.may_have_run {
                    return Err(format!("{id:?} is at-most-once and sent again though it may have run"));
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
                    Err(format!("{id:?} was not playing and is reported as ended or moved"))
                };
            }
            ToViewer::Conflict(_) | ToViewer::Acknowledge(_) | ToViewer::UnknownSession(_) => return Ok(()),
        };
        let r = self.requests.get_mut(id).ok_or("an answer that nobody asked for")?;
        if r.answered || r.withdrawn {
            return Err(format!("{id:?} is answered twice or after its withdrawal"));
        }
        if now > r.deadline {
            return Err(format!("{id:?} is answered too late"));
        }
        if refused && r.at_most_once && r.may_have_run {
            return Err(format!("{id:?} is at-most-once and refused though it may have run"));
        }
        if let Some(body) = plays {
            if r.half_closed {
                return Err(format!("{id:?} is served though its viewer has left"));
            }
            if r.node_answer.as_ref() != Some(body) {
                return Err(format!("{id:?} is served with an answer that no node sent"));
            }
            self.playing.insert(*id);
            self.seated.insert(*id);
            self.counts[1] += 1;
        }
        self.counts[2] += usize::from(refused);
        r.answered = true;
        Ok(())
    }

    /// Checks, after all deadlines have passed, that every request was answered.
    pub fn check_all_answered(&self) -> Result<(), String> {
        match self.requests.iter().find(|(_, r)| !r.answered && !r.withdrawn) {
            Some((id, _)) => Err(format!("{id:?} has no answer")),
            None => Ok(()),
        }
    }
}
