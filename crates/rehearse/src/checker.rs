//! Checks the six rules of placement against a record of the sockets of viewers and nodes.
//!
//! The checker shares no code with the front; its only inputs are the record and the limits of the rules. Each
//! rule has a test with a record that violates it.

use pepperhook_playout::record::{Event, Line};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One second, nanoseconds.
const SECOND: u64 = 1_000_000_000;

/// Limits of the rules.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// Time within which a request must be answered, seconds.
    pub patience_s: f64,
    /// Time that a front may take to read a list after it is written, seconds.
    pub list_read_s: f64,
    /// Grace period after a front has read that a node drains, seconds.
    pub drain_grace_s: f64,
    /// A cold node is overloaded by set-ups at this multiple of its rate ...
    pub fall_multiple: f64,
    /// ... within this window, seconds.
    pub fall_s: f64,
    /// Lowest rung of the class.
    pub floor: u8,
    /// Maximum number of sessions of a title at a front; 0 for no limit.
    pub seats: u32,
    /// Whether a set-up that may have run must not be repeated.
    pub at_most_once: bool,
    /// Retry budget: free retries, retries per request, and the window in seconds.
    pub retry_budget: Option<(f64, f64, f64)>,
}

/// The rules with their numbers in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one answer within the patience of the class.
    OneAnswer = 1,
    /// A set-up is not repeated, and a request has at most one attempt under way.
    OneSetUp = 2,
    /// No set-up goes to a node that drains or is gone.
    Drains = 3,
    /// No cold node is overloaded.
    Cold = 4,
    /// Floors and seats are kept.
    ClassLimits = 5,
    /// Retries stay within the retry budget.
    RetryBudget = 6,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Unix time, nanoseconds.
    pub unix_ns: u64,
    /// Description of what was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {}: {}", self.rule as u8, self.unix_ns, self.detail)
    }
}

fn ns(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

/// An attempt as its node recorded it; times are Unix nanoseconds.
#[derive(Debug)]
struct Attempt {
    node: String,
    front: String,
    origin: String,
    title: String,
    started: u64,
    ended: Option<u64>,
    status: Option<u16>,
}

/// A request as its viewer recorded it.
struct Request {
    /// Unix time at which it was sent, nanoseconds.
    sent: u64,
    session: String,
    origin: String,
    front: String,
}

/// The record, grouped for the checks.
struct Observations {
    attempts: Vec<Attempt>,
    requests: BTreeMap<u64, Request>,
    session_of: BTreeMap<String, String>,
    /// Times at which each front was killed.
    kills: BTreeMap<String, Vec<u64>>,
    /// Suspensions of each front: start and length, nanoseconds.
    stalls: BTreeMap<String, Vec<(u64, u64)>>,
}

/// Groups the lines, which must be sorted by time.
fn group(lines: &[Line]) -> Observations {
    let mut observed = Observations {
        attempts: Vec::new(),
        requests: BTreeMap::new(),
        session_of: BTreeMap::new(),
        kills: BTreeMap::new(),
        stalls: BTreeMap::new(),
    };
    // A restarted node numbers its attempts from 1 again; the number refers to the latest attempt.
    let mut open: BTreeMap<(String, u64), usize> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Attempt { attempt, front, origin, title } => {
                open.insert((line.source.clone(), *attempt), observed.attempts.len());
                observed.attempts.push(Attempt {
                    node: line.source.clone(),
                    front: front.clone(),
                    origin: origin.clone(),
                    title: title.clone(),
                    started: line.unix_ns,
                    ended: None,
                    status: None,
                });
            }
            Event::AttemptAnswered { attempt, .. } | Event::AttemptClosed { attempt } => {
                if let Some(i) = open.remove(&(line.source.clone(), *attempt)) {
                    observed.attempts[i].ended = Some(line.unix_ns);
                    if let Event::AttemptAnswered { status, .. } = line.event {
                        observed.attempts[i].status = Some(status);
                    }
                }
            }
            // Attempts at the former process of a node have ended.
            Event::NodeStart { .. } => {
                let ended: Vec<_> = open.keys().filter(|(n, _)| *n == line.source).cloned().collect();
                for key in ended {
                    if let Some(i) = open.remove(&key) {
                        observed.attempts[i].ended = Some(observed.attempts[i].started);
                    }
                }
            }
            Event::RequestSent { request, session, origin, front, .. } => {
                observed.session_of.insert(origin.clone(), session.clone());
                let (session, origin, front) = (session.clone(), origin.clone(), front.clone());
                observed.requests.insert(*request, Request { sent: line.unix_ns, session, origin, front });
            }
            Event::FrontKilled { front } => {
                observed.kills.entry(front.clone()).or_default().push(line.unix_ns)
            }
            Event::FrontStall { front, ms } => {
                observed.stalls.entry(front.clone()).or_default().push((line.unix_ns, ms * 1_000_000));
            }
            _ => {}
        }
    }
    observed
}

/// Checks a record; `lines` may be in any order.
#[must_use]
pub fn check(lines: &[Line], limits: &RuleLimits) -> Vec<Violation> {
    let mut lines = lines.to_vec();
    lines.sort_by_key(|l| l.unix_ns);
    let observed = group(&lines);
    let mut out = Vec::new();
    one_answer(&lines, &observed, limits, &mut out);
    one_set_up(&lines, &observed, limits, &mut out);
    drains(&lines, &observed, limits, &mut out);
    cold(&lines, &observed, limits, &mut out);
    class_limits(&lines, &observed, limits, &mut out);
    retry_budget(&observed, limits, &mut out);
    out.sort_by_key(|b| (b.unix_ns, b.rule));
    out
}

/// Rule 1.
fn one_answer(lines: &[Line], observed: &Observations, limits: &RuleLimits, out: &mut Vec<Violation>) {
    let mut answers: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut excused = BTreeSet::new();
    let mut report =
        |t: u64, what: String| out.push(Violation { rule: Rule::OneAnswer, unix_ns: t, detail: what });
    let was_killed = |front: &str, from: u64, to: u64| {
        observed.kills.get(front).is_some_and(|d| d.iter().any(|t| (from..=to + SECOND / 2).contains(t)))
    };
    for line in lines {
        match &line.event {
            Event::ResponseReceived { request, .. } => {
                answers.entry(*request).or_default().push(line.unix_ns)
            }
            Event::UnexpectedBytes { request, bytes } => {
                report(line.unix_ns, format!("request {request}: {bytes} bytes after its answer"));
            }
            Event::ViewerLeft { request } => {
                excused.insert(*request);
            }
            Event::ConnectionLost { request } | Event::TimedOut { request } => {
                let Some(r) = observed.requests.get(request) else { continue };
                excused.insert(*request);
                // A viewer's patience does not count while its front is suspended.
                let suspended = matches!(line.event, Event::TimedOut { .. })
                    && observed
                        .stalls
                        .get(&r.front)
                        .is_some_and(|s| s.iter().any(|(t, ms)| t + ms > r.sent && *t < line.unix_ns));
                if !suspended && !was_killed(&r.front, r.sent, line.unix_ns) {
                    let how = if matches!(line.event, Event::ConnectionLost { .. }) {
                        "its connection ended"
                    } else {
                        "patience ended"
                    };
                    report(
                        line.unix_ns,
                        format!("request {request} to {}: {how} without an answer", r.front),
                    );
                }
            }
            _ => {}
        }
    }
    for (id, r) in &observed.requests {
        let got = answers.get(id).map_or(&[][..], Vec::as_slice);
        // The time limit is extended by the suspensions of the front.
        let suspended_ns: u64 = observed.stalls.get(&r.front).map_or(0, |stalls| {
            let during =
                stalls.iter().filter(|(t, ms)| t + ms > r.sent && *t < r.sent + ns(limits.patience_s));
            during.map(|(_, ms)| *ms).sum()
        });
        match got {
            [] if excused.contains(id) => {}
            [] => report(r.sent, format!("request {id} to {} has no answer in the record", r.front)),
            [t] if *t > r.sent + ns(limits.patience_s) + suspended_ns => {
                report(*t, format!("request {id}: answered after its patience"));
            }
            [_] => {}
            [_, second, ..] => report(*second, format!("request {id}: {} answers", got.len())),
        }
    }
}

/// Rule 2.
fn one_set_up(lines: &[Line], observed: &Observations, limits: &RuleLimits, out: &mut Vec<Violation>) {
    let mut by_session: BTreeMap<(&str, &str), Vec<&Attempt>> = BTreeMap::new();
    for a in &observed.attempts {
        let session = observed.session_of.get(&a.origin).map_or(a.origin.as_str(), String::as_str);
        by_session.entry((session, &a.front)).or_default().push(a);
    }
    for ((session, front), attempts) in &by_session {
        for pair in attempts.windows(2) {
            let (a, b) = (pair[0], pair[1]);
            // A front killed in between cannot know the first attempt.
            let restarted = observed
                .kills
                .get(*front)
                .is_some_and(|d| d.iter().any(|t| (a.started..=b.started).contains(t)));
            if !restarted && a.ended.is_none_or(|to| to > b.started) {
                let what = format!(
                    "{session}: an attempt at {} while one at {} was out, both from {front}",
                    b.node, a.node
                );
                out.push(Violation { rule: Rule::OneSetUp, unix_ns: b.started, detail: what });
            }
        }
    }
    if !limits.at_most_once {
        return;
    }
    let mut by_origin: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    observed.attempts.iter().for_each(|a| by_origin.entry(&a.origin).or_default().push(a));
    for (origin, attempts) in &by_origin {
        for pair in attempts.windows(2) {
            if pair[0].status != Some(503) {
                let what =
                    format!("{origin}: set up again after an attempt at {} that may have run", pair[0].node);
                out.push(Violation { rule: Rule::OneSetUp, unix_ns: pair[1].started, detail: what });
            }
        }
    }
    for line in lines {
        let Event::ResponseReceived { request, status: 503, .. } = line.event else { continue };
        let attempts = observed.requests.get(&request).and_then(|r| by_origin.get(r.origin.as_str()));
        if attempts.is_some_and(|a| a.iter().any(|a| a.status != Some(503))) {
            let what = format!("request {request}: refused though an attempt may have run");
            out.push(Violation { rule: Rule::OneSetUp, unix_ns: line.unix_ns, detail: what });
        }
    }
}

/// Rule 3.
fn drains(lines: &[Line], observed: &Observations, limits: &RuleLimits, out: &mut Vec<Violation>) {
    let mut listed: BTreeMap<(&str, &str), Vec<(u64, bool)>> = BTreeMap::new();
    for line in lines {
        if let Event::ListPublished { front, node, state } = &line.event {
            listed.entry((front, node)).or_default().push((line.unix_ns, state == "ready"));
        }
    }
    let allowed = ns(limits.list_read_s + limits.drain_grace_s);
    for a in &observed.attempts {
        let Some(states) = listed.get(&(a.front.as_str(), a.node.as_str())) else { continue };
        let Some((t, ready)) = states.iter().rev().find(|(t, _)| *t <= a.started) else { continue };
        // The grace period starts at the first of consecutive lists in which the node is not ready.
        let since = states
            .iter()
            .rev()
            .skip_while(|(at, _)| at > t)
            .take_while(|(_, r)| !r)
            .last()
            .map_or(*t, |(t, _)| *t);
        let stalled = observed
            .stalls
            .get(&a.front)
            .is_some_and(|s| s.iter().any(|(at, ms)| at + ms + allowed > since && *at < a.started));
        if !ready && a.started > since + allowed && !stalled {
            let late = (a.started - since) / 1_000_000;
            let what = format!("{} sent to {} {late} ms after it was listed as leaving", a.front, a.node);
            out.push(Violation { rule: Rule::Drains, unix_ns: a.started, detail: what });
        }
    }
}

/// Rule 4.
fn cold(lines: &[Line], observed: &Observations, limits: &RuleLimits, out: &mut Vec<Violation>) {
    for line in lines {
        match line.event {
            Event::Overloaded => {
                out.push(Violation {
                    rule: Rule::Cold,
                    unix_ns: line.unix_ns,
                    detail: format!("{} was overloaded while cold", line.source),
                });
            }
            Event::NodeStart { streams, cold_share, cold_s } if cold_s > 0.0 => {
                let until = line.unix_ns + ns(cold_s);
                let times: Vec<u64> = observed
                    .attempts
                    .iter()
                    .filter(|a| a.node == line.source && (line.unix_ns..until).contains(&a.started))
                    .map(|a| a.started)
                    .collect();
                for (i, t) in times.iter().enumerate() {
                    let warm =
                        cold_share + (1.0 - cold_share) * (t - line.unix_ns) as f64 / ns(cold_s) as f64;
                    let limit = limits.fall_multiple * streams / cold_s * warm * limits.fall_s + 3.0;
                    let from = t.saturating_sub(ns(limits.fall_s));
                    let sent = times[..=i].iter().filter(|s| **s > from).count();
                    if sent as f64 > limit {
                        let what = format!(
                            "{}: {sent} set-ups in {} s, {limit:.1} are allowed",
                            line.source, limits.fall_s
                        );
                        out.push(Violation { rule: Rule::Cold, unix_ns: *t, detail: what });
                        break;
                    }
                }
            }
            _ => {}
        }
    }
}

/// Rule 5.
fn class_limits(lines: &[Line], observed: &Observations, limits: &RuleLimits, out: &mut Vec<Violation>) {
    let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
    let mut layers: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::RungSelected { origin, rung } => {
                layers.entry(origin).or_default().push(line.unix_ns);
                if *rung < limits.floor {
                    let what = format!("{origin}: rung {rung}, the floor is {}", limits.floor);
                    out.push(Violation { rule: Rule::ClassLimits, unix_ns: line.unix_ns, detail: what });
                }
            }
            Event::SessionEnded { origin, .. } => {
                ends.insert(origin, line.unix_ns);
            }
            _ => {}
        }
    }
    // A session starts at the lowest rung of its node: a higher floor must be set within a second.
    for a in observed.attempts.iter().filter(|a| limits.floor > 0 && a.status == Some(201)) {
        let (started, soon) = (a.started, a.ended.unwrap_or(a.started) + SECOND);
        let set =
            layers.get(a.origin.as_str()).is_some_and(|l| l.iter().any(|t| (started..=soon).contains(t)));
        let ended_early = ends.get(a.origin.as_str()).is_some_and(|t| *t <= soon);
        if !set && !ended_early && lines.last().is_some_and(|l| l.unix_ns > soon) {
            let what = format!("{}: played below its floor for a second", a.origin);
            out.push(Violation { rule: Rule::ClassLimits, unix_ns: soon, detail: what });
        }
    }
    if limits.seats == 0 {
        return;
    }
    let mut held: BTreeMap<(&str, &str), Vec<(u64, i64)>> = BTreeMap::new();
    for a in &observed.attempts {
        let to = match a.status {
            Some(201) => ends.get(a.origin.as_str()).copied(),
            _ => a.ended,
        };
        let steps = held.entry((&a.front, &a.title)).or_default();
        steps.push((a.started, 1));
        steps.extend(to.map(|t| (t, -1)));
    }
    for ((front, title), mut steps) in held {
        steps.sort_unstable();
        let mut now = 0;
        for (t, step) in steps {
            now += step;
            if now > i64::from(limits.seats) {
                let what = format!("{front} held {now} sessions of {title}, {} are allowed", limits.seats);
                out.push(Violation { rule: Rule::ClassLimits, unix_ns: t, detail: what });
                break;
            }
        }
    }
}

/// Rule 6.
fn retry_budget(observed: &Observations, limits: &RuleLimits, out: &mut Vec<Violation>) {
    let Some((free, share, window_s)) = limits.retry_budget else { return };
    let mut seen = BTreeSet::new();
    let mut retries: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for a in &observed.attempts {
        if !seen.insert((&a.front, &a.origin)) {
            retries.entry(&a.front).or_default().push(a.started);
        }
    }
    for (front, times) in retries {
        for (i, t) in times.iter().enumerate() {
            let from = t.saturating_sub(ns(window_s));
            let sent = times[..=i].iter().filter(|s| **s > from).count();
            let taken =
                observed.requests.values().filter(|r| r.front == front && r.sent > from && r.sent <= *t);
            let sessions: BTreeSet<&str> = taken.map(|r| r.session.as_str()).collect();
            // Viewers and nodes share one clock; one request of slack covers the delay between their records.
            let limit = free + share * (sessions.len() + 1) as f64;
            if sent as f64 > limit {
                let what =
                    format!("{front}: {sent} further attempts in {window_s} s, {limit:.1} are allowed");
                out.push(Violation { rule: Rule::RetryBudget, unix_ns: *t, detail: what });
                break;
            }
        }
    }
}

#[cfg(test)]
mod tests;
