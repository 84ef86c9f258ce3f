//! Checks the six rules of a front whose policy changes, from its events and actions alone. It shares no code
//! and no counters with the module.
//!
//! 1. Each request gets one answer, and in time.
//! 2. An attempt that may have run is repeated only where the class allows it, and never beside an open one.
//! 3. Set-ups go only to servers that the list names as ready.
//! 4. A cold server gets no more set-ups than it can take.
//! 5. Rungs and sessions per title stay within the limits.
//! 6. Retries stay within the retry budget.

use pepperhook::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Debug)]
enum RequestState {
    /// Waits for a set-up or an answer.
    Waiting,
    /// A set-up is open on the server.
    Attempting(ServerId),
    /// The session plays on the server.
    Playing(ServerId),
}

struct Request {
    spec: SessionSpec,
    /// Time by which the viewer must have an answer.
    deadline: Time,
    /// The class as it was at the time of the request.
    class_at_request: Class,
    /// The highest rung that was allowed at the time of the request.
    highest_at_request: u8,
    /// The lowest of all highest rungs in force since the request.
    min_highest: u8,
    /// The highest of all lowest rungs in force since the request.
    max_lowest: u8,
    state: RequestState,
    /// Number of set-ups sent.
    attempts: u32,
    /// Time of the last attempt, and its server as listed then.
    last_attempt: Option<(Time, ServerEntry)>,
    /// An attempt may have run.
    may_have_run: bool,
    /// Each attempt that may have run: its time, and its server as listed then.
    possible_runs: Vec<(Time, ServerEntry)>,
    rung: u8,
    /// It played above the highest rung when that was lowered, and its rung has not been set since.
    above_highest: bool,
}

/// The state of one front as its events and actions show it.
pub struct Checker {
    settings: Settings,
    requests: BTreeMap<SessionId, Request>,
    servers: BTreeMap<ServerId, ServerEntry>,
    /// Set-ups sent.
    set_ups: Vec<(Time, ServerId)>,
    /// Times of the requests.
    request_times: Vec<Time>,
    /// Times of the retries: attempts after a request's first one.
    retry_times: Vec<Time>,
    /// Retries before this time no longer count: they had already left the window of an earlier policy, which
    /// was shorter, or empty where that policy had no retry budget.
    retry_horizon: Time,
}

fn retry_window(settings: &Settings) -> Time {
    settings.rules.retry_budget.map_or(0, |budget| budget.window)
}

impl Checker {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            set_ups: Vec::new(),
            request_times: Vec::new(),
            retry_times: Vec::new(),
            retry_horizon: 0,
        }
    }

    /// The lowest and the highest rung in force for a session.
    fn rung_bounds(&self, spec: &SessionSpec) -> (u8, u8) {
        let class = &self.settings.classes[usize::from(spec.class.0)];
        let last_rung = self.settings.ladder.len() as u8 - 1;
        let highest = (spec.highest_rung as u8).min(class.highest_rung).min(last_rung).max(class.lowest_rung);
        (class.lowest_rung, highest)
    }

    /// Records an event before the front handles it.
    pub fn record_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::ListFull(entries) | Event::ListChanged(entries) => {
                self.servers.extend(entries.iter().map(|e| (e.server, *e)));
            }
            Event::Request(id, spec) => {
                self.request_times.push(now);
                let (lowest, highest) = self.rung_bounds(spec);
                let request = Request {
                    spec: *spec,
                    deadline: now + spec.max_wait,
                    class_at_request: self.settings.classes[usize::from(spec.class.0)].clone(),
                    highest_at_request: highest,
                    min_highest: highest,
                    max_lowest: lowest,
                    state: RequestState::Waiting,
                    attempts: 0,
                    last_attempt: None,
                    may_have_run: false,
                    possible_runs: Vec::new(),
                    rung: lowest,
                    above_highest: false,
                };
                self.requests.insert(*id, request);
            }
            Event::Started(id, server) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.state = RequestState::Playing(*server);
                }
            }
            Event::Ended { session, outcome, is_final, .. } => {
                if let Some(request) = self.requests.get_mut(session) {
                    request.state = RequestState::Waiting;
                    if !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Unsent) {
                        request.may_have_run = true;
                        request.possible_runs.extend(request.last_attempt);
                    }
                }
                if *is_final {
                    self.requests.remove(session);
                }
            }
            Event::Closed(id) => {
                self.requests.remove(id);
            }
            _ => {}
        }
    }

    /// Records that another policy is in force.
    pub fn change_settings(&mut self, now: Time, settings: &Settings) {
        self.retry_horizon = self.retry_horizon.max(now.saturating_sub(retry_window(&self.settings)));
        self.settings = settings.clone();
        let bounds: Vec<_> = self.requests.iter().map(|(id, r)| (*id, self.rung_bounds(&r.spec))).collect();
        for (id, (lowest, highest)) in bounds {
            let request = self.requests.get_mut(&id).expect("the id comes from this map");
            (request.min_highest, request.max_lowest) =
                (request.min_highest.min(highest), request.max_lowest.max(lowest));
            request.above_highest =
                matches!(request.state, RequestState::Playing(_)) && request.rung > highest;
        }
    }

    /// Checks an action of the front and records it.
    pub fn check_action(&mut self, now: Time, action: &Action) -> Result<(), String> {
        match action {
            Action::SetRung(id, rung) => {
                let request = self
                    .requests
                    .get(id)
                    .ok_or_else(|| format!("{id:?} is set to rung {rung} but has no request"))?;
                let (lowest, highest) = self.rung_bounds(&request.spec);
                if *rung < lowest || *rung > highest {
                    return Err(format!(
                        "rule 5: {id:?} is set to rung {rung}; rungs {lowest} to {highest} are in force"
                    ));
                }
                let request = self.requests.get_mut(id).expect("the request was found above");
                (request.rung, request.above_highest) = (*rung, false);
            }
            Action::Refuse(id, _) | Action::Fail(id) => {
                let request = self
                    .requests
                    .get(id)
                    .ok_or_else(|| format!("rule 1: {action:?} answers a request that is not open"))?;
                if request.state != RequestState::Waiting {
                    return Err(format!(
                        "rule 1: {action:?} answers a request in state {:?}; only a waiting one may be \
                         answered",
                        request.state
                    ));
                }
                if now > request.deadline {
                    return Err(format!(
                        "rule 1: {action:?} answers at {now} ns, after the deadline of {} ns",
                        request.deadline
                    ));
                }
                if matches!(action, Action::Refuse(..))
                    && request.may_have_run
                    && request.class_at_request.idempotency == Idempotency::AtMostOnce
                {
                    return Err(format!(
                        "rule 2: {id:?} of an at-most-once class is refused though an attempt may have run"
                    ));
                }
                self.requests.remove(id);
            }
            Action::SetUp(id, server, wait) => self.check_set_up(now, *id, *server, *wait)?,
            _ => {}
        }
        Ok(())
    }

    fn check_set_up(&mut self, now: Time, id: SessionId, to: ServerId, wait: Time) -> Result<(), String> {
        let request = self
            .requests
            .get(&id)
            .ok_or_else(|| format!("rule 2: a set-up is sent for {id:?}, which has no open request"))?;
        if request.state != RequestState::Waiting {
            return Err(format!(
                "rule 2: a set-up is sent for {id:?}, which is in state {:?}",
                request.state
            ));
        }
        let server = self
            .servers
            .get(&to)
            .ok_or_else(|| format!("rule 3: a set-up of {id:?} is sent to {to:?}, which is not listed"))?;
        let may_repeat = match request.class_at_request.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => false,
            Idempotency::Deduplicated(scope, span) => {
                let allows = |(sent_at, earlier): &(Time, ServerEntry)| {
                    let same_scope = match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => earlier.zone == server.zone,
                        DedupScope::Cell => earlier.cell == server.cell,
                    };
                    same_scope && now <= sent_at + span
                };
                !request.possible_runs.is_empty() && request.possible_runs.iter().all(allows)
            }
        };
        if request.may_have_run && !may_repeat {
            return Err(format!(
                "rule 2: {id:?} is sent to {to:?} though an attempt may have run; its class has {:?}",
                request.class_at_request.idempotency
            ));
        }
        if now + wait > request.deadline {
            return Err(format!(
                "rule 1: a set-up of {id:?} waits until {} ns, past the deadline of {} ns",
                now + wait,
                request.deadline
            ));
        }
        if request.attempts >= self.settings.max_attempts {
            return Err(format!(
                "{id:?} has an attempt after {}; at most {} are in force",
                request.attempts, self.settings.max_attempts
            ));
        }
        if server.state != ServerState::Ready {
            return Err(format!("rule 3: {id:?} goes to {to:?}, which is {:?} and not ready", server.state));
        }
        let lowest = request.class_at_request.lowest_rung.min(request.min_highest);
        let highest = request.highest_at_request.max(request.max_lowest);
        if request.rung < lowest || request.rung > highest {
            return Err(format!(
                "rule 5: a set-up of {id:?} is sent at rung {}; the bounds since its request allow {lowest} \
                 to {highest}",
                request.rung
            ));
        }
        let rules = self.settings.rules;
        if let Some(started) = server.started.filter(|started| started + rules.warm_up > now) {
            let warmth = rules.cold_share
                + (1.0 - rules.cold_share) * (now.saturating_sub(started)) as f64 / rules.warm_up as f64;
            let per_second = self.settings.kind_max_streams[0] / (rules.warm_up as f64 / 1e9)
                * warmth
                * rules.overload_multiple;
            let limit = (per_second * rules.overload_window as f64 / 1e9).max(1.0);
            let in_window =
                |(time, server): &&(Time, ServerId)| *server == to && time + rules.overload_window > now;
            let sent = self.set_ups.iter().filter(in_window).count() + 1;
            if sent as f64 > limit {
                return Err(format!(
                    "rule 4: {sent} set-ups in a window at the cold server {to:?}; at most {limit} allowed"
                ));
            }
        }
        let max_sessions =
            self.settings.classes[usize::from(request.spec.class.0)].max_sessions_per_title as usize;
        let has_same_title = |other: &&Request| {
            other.state != RequestState::Waiting
                && (other.spec.class, other.spec.title) == (request.spec.class, request.spec.title)
        };
        let same_title = self.requests.values().filter(has_same_title).count();
        if max_sessions > 0 && same_title >= max_sessions {
            return Err(format!(
                "rule 5: {id:?} is sent beside {same_title} sessions of its class and title; at most \
                 {max_sessions} are in force"
            ));
        }
        if request.attempts > 0 {
            if let Some(budget) = self.settings.rules.retry_budget {
                let window_start = now.saturating_sub(budget.window);
                let from = window_start.max(self.retry_horizon);
                let retries = self.retry_times.iter().filter(|time| **time >= from).count() + 1;
                let requests = self.request_times.iter().filter(|time| **time > window_start).count();
                let limit = budget.min_retries + budget.retry_ratio * requests as f64;
                if retries as f64 > limit {
                    return Err(format!(
                        "rule 6: {retries} retries beside {requests} requests in a window; at most {limit} \
                         allowed"
                    ));
                }
            }
            self.retry_times.push(now);
        }
        self.set_ups.push((now, to));
        let listed = *server;
        let request = self.requests.get_mut(&id).expect("the request was found above");
        request.attempts += 1;
        request.last_attempt = Some((now, listed));
        request.state = RequestState::Attempting(to);
        Ok(())
    }

    /// Checks the rungs of all open attempts and sessions; to be called after all actions of an event.
    pub fn check_rungs(&self) -> Result<(), String> {
        for (id, request) in self.requests.iter().filter(|(_, r)| r.state != RequestState::Waiting) {
            let (lowest, highest) = self.rung_bounds(&request.spec);
            if request.rung < lowest || (request.rung > highest && !request.above_highest) {
                return Err(format!(
                    "rule 5: {id:?} is at rung {}; rungs {lowest} to {highest} are in force",
                    request.rung
                ));
            }
        }
        Ok(())
    }

    /// Checks that no request waits past its deadline.
    pub fn check_deadlines(&self, now: Time) -> Result<(), String> {
        let late = |request: &Request| request.state == RequestState::Waiting && request.deadline < now;
        match self.requests.iter().find(|(_, request)| late(request)) {
            Some((id, request)) => {
                Err(format!("rule 1: {id:?} has no answer; its deadline was {} ns", request.deadline))
            }
            None => Ok(()),
        }
    }

    /// Number of sessions that still play above the highest rung in force.
    pub fn sessions_above_highest(&self) -> usize {
        self.requests.values().filter(|request| request.above_highest).count()
    }
}
