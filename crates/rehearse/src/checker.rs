//! Judges the six rules from the record of viewers' and nodes' sockets alone.
//!
//! Nothing here is shared with the front: what it knows is the lines and the figures of the rules. Each rule
//! has a test that plants a violation in a record and sees it caught.

use pepperhook_playout::record::{Event, Line};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const SECOND: u64 = 1_000_000_000;

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// Viewers give up after this, seconds.
    pub patience_s: f64,
    /// What reading a list may take a front from the moment it is in place, seconds.
    pub list_read_s: f64,
    /// Grace of drains, seconds.
    pub drain_grace_s: f64,
    /// A cold node falls over at this multiple of its pace ...
    pub fall_multiple: f64,
    /// ... for so long, seconds.
    pub fall_s: f64,
    /// Floor of the class.
    pub floor: u8,
    /// Seats for a title at a front; 0 for no cap.
    pub seats: u32,
    /// A set-up that may have run is not repeated.
    pub once: bool,
    /// Ration: free, share, seconds.
    pub budget: Option<(f64, f64, f64)>,
}

/// The rules, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One answer a request, in time.
    OneAnswer = 1,
    /// No set-up twice, never two attempts out.
    OneSetUp = 2,
    /// Nothing new to a node that drains or is gone.
    Drains = 3,
    /// No cold node pushed over.
    Cold = 4,
    /// Floors and seats.
    TermsKept = 5,
    /// Further attempts within the ration.
    Ration = 6,
}

/// A breach, with what shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// When, Unix nanoseconds.
    pub t: u64,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {}: {}", self.rule as u8, self.t, self.what)
    }
}

fn ns(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

/// An attempt as a node saw it.
#[derive(Debug)]
struct Attempt {
    node: String,
    front: String,
    origin: String,
    title: String,
    from: u64,
    to: Option<u64>,
    status: Option<u16>,
}

/// A request as its viewer saw it.
struct Request {
    t: u64,
    session: String,
    origin: String,
    front: String,
}

/// Everything that is judged, gathered from the lines.
struct Case {
    attempts: Vec<Attempt>,
    requests: BTreeMap<u64, Request>,
    session_of: BTreeMap<String, String>,
    /// When each front was killed.
    downs: BTreeMap<String, Vec<u64>>,
    /// When each front stood still: from and for how long.
    stalls: BTreeMap<String, Vec<(u64, u64)>>,
}

fn gather(lines: &[Line]) -> Case {
    let mut case = Case {
        attempts: Vec::new(),
        requests: BTreeMap::new(),
        session_of: BTreeMap::new(),
        downs: BTreeMap::new(),
        stalls: BTreeMap::new(),
    };
    // A node that was restarted counts its attempts anew; the latest of a number is meant.
    let mut open: BTreeMap<(String, u64), usize> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::Attempt { attempt, front, origin, title } => {
                open.insert((line.source.clone(), *attempt), case.attempts.len());
                case.attempts.push(Attempt {
                    node: line.source.clone(),
                    front: front.clone(),
                    origin: origin.clone(),
                    title: title.clone(),
                    from: line.unix_ns,
                    to: None,
                    status: None,
                });
            }
            Event::AttemptAnswered { attempt, .. } | Event::AttemptClosed { attempt } => {
                if let Some(i) = open.remove(&(line.source.clone(), *attempt)) {
                    case.attempts[i].to = Some(line.unix_ns);
                    if let Event::AttemptAnswered { status, .. } = line.event {
                        case.attempts[i].status = Some(status);
                    }
                }
            }
            // A process that begins anew has nothing out.
            Event::NodeStart { .. } => {
                let ended: Vec<_> = open.keys().filter(|(n, _)| *n == line.source).cloned().collect();
                for key in ended {
                    if let Some(i) = open.remove(&key) {
                        case.attempts[i].to = Some(case.attempts[i].from);
                    }
                }
            }
            Event::RequestSent { request, session, origin, front, .. } => {
                case.session_of.insert(origin.clone(), session.clone());
                let (session, origin, front) = (session.clone(), origin.clone(), front.clone());
                case.requests.insert(*request, Request { t: line.unix_ns, session, origin, front });
            }
            Event::FrontKilled { front } => case.downs.entry(front.clone()).or_default().push(line.unix_ns),
            Event::FrontStall { front, ms } => {
                case.stalls.entry(front.clone()).or_default().push((line.unix_ns, ms * 1_000_000));
            }
            _ => {}
        }
    }
    case
}

/// Judges a record; `lines` in any order.
#[must_use]
pub fn check(lines: &[Line], terms: &RuleLimits) -> Vec<Violation> {
    let mut lines = lines.to_vec();
    lines.sort_by_key(|l| l.unix_ns);
    let case = gather(&lines);
    let mut out = Vec::new();
    one_answer(&lines, &case, terms, &mut out);
    one_set_up(&lines, &case, terms, &mut out);
    drains(&lines, &case, terms, &mut out);
    cold(&lines, &case, terms, &mut out);
    terms_kept(&lines, &case, terms, &mut out);
    ration(&case, terms, &mut out);
    out.sort_by_key(|b| (b.t, b.rule));
    out
}

fn one_answer(lines: &[Line], case: &Case, terms: &RuleLimits, out: &mut Vec<Violation>) {
    let mut answers: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut excused = BTreeSet::new();
    let mut breach = |t: u64, what: String| out.push(Violation { rule: Rule::OneAnswer, t, what });
    let killed = |front: &str, from: u64, to: u64| {
        case.downs.get(front).is_some_and(|d| d.iter().any(|t| (from..=to + SECOND / 2).contains(t)))
    };
    for line in lines {
        match &line.event {
            Event::ResponseReceived { request, .. } => {
                answers.entry(*request).or_default().push(line.unix_ns)
            }
            Event::UnexpectedBytes { request, bytes } => {
                breach(line.unix_ns, format!("request {request}: {bytes} bytes after its answer"));
            }
            Event::ViewerLeft { request } => {
                excused.insert(*request);
            }
            Event::ConnectionLost { request } | Event::TimedOut { request } => {
                let Some(r) = case.requests.get(request) else { continue };
                excused.insert(*request);
                // While a front stands still its viewer's patience is not counted.
                let still = matches!(line.event, Event::TimedOut { .. })
                    && case
                        .stalls
                        .get(&r.front)
                        .is_some_and(|s| s.iter().any(|(t, ms)| t + ms > r.t && *t < line.unix_ns));
                if !still && !killed(&r.front, r.t, line.unix_ns) {
                    let how = if matches!(line.event, Event::ConnectionLost { .. }) {
                        "its connection ended"
                    } else {
                        "patience ended"
                    };
                    breach(
                        line.unix_ns,
                        format!("request {request} to {}: {how} without an answer", r.front),
                    );
                }
            }
            _ => {}
        }
    }
    for (id, r) in &case.requests {
        let got = answers.get(id).map_or(&[][..], Vec::as_slice);
        // A front that stands still is no running front meanwhile: its time counts anew from then.
        let still: u64 = case.stalls.get(&r.front).map_or(0, |stalls| {
            let during = stalls.iter().filter(|(t, ms)| t + ms > r.t && *t < r.t + ns(terms.patience_s));
            during.map(|(_, ms)| *ms).sum()
        });
        match got {
            [] if excused.contains(id) => {}
            [] => breach(r.t, format!("request {id} to {} has no answer in the record", r.front)),
            [t] if *t > r.t + ns(terms.patience_s) + still => {
                breach(*t, format!("request {id}: answered after its patience"));
            }
            [_] => {}
            [_, second, ..] => breach(*second, format!("request {id}: {} answers", got.len())),
        }
    }
}

fn one_set_up(lines: &[Line], case: &Case, terms: &RuleLimits, out: &mut Vec<Violation>) {
    let mut by_session: BTreeMap<(&str, &str), Vec<&Attempt>> = BTreeMap::new();
    for a in &case.attempts {
        let session = case.session_of.get(&a.origin).map_or(a.origin.as_str(), String::as_str);
        by_session.entry((session, &a.front)).or_default().push(a);
    }
    for ((session, front), attempts) in &by_session {
        for pair in attempts.windows(2) {
            let (a, b) = (pair[0], pair[1]);
            // A front that was killed in between cannot have known of the first.
            let reborn =
                case.downs.get(*front).is_some_and(|d| d.iter().any(|t| (a.from..=b.from).contains(t)));
            if !reborn && a.to.is_none_or(|to| to > b.from) {
                let what = format!(
                    "{session}: an attempt at {} while one at {} was out, both from {front}",
                    b.node, a.node
                );
                out.push(Violation { rule: Rule::OneSetUp, t: b.from, what });
            }
        }
    }
    if !terms.once {
        return;
    }
    let mut by_origin: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    case.attempts.iter().for_each(|a| by_origin.entry(&a.origin).or_default().push(a));
    for (origin, attempts) in &by_origin {
        for pair in attempts.windows(2) {
            if pair[0].status != Some(503) {
                let what =
                    format!("{origin}: set up again after an attempt at {} that may have run", pair[0].node);
                out.push(Violation { rule: Rule::OneSetUp, t: pair[1].from, what });
            }
        }
    }
    for line in lines {
        let Event::ResponseReceived { request, status: 503, .. } = line.event else { continue };
        let attempts = case.requests.get(&request).and_then(|r| by_origin.get(r.origin.as_str()));
        if attempts.is_some_and(|a| a.iter().any(|a| a.status != Some(503))) {
            let what = format!("request {request}: refused though an attempt may have run");
            out.push(Violation { rule: Rule::OneSetUp, t: line.unix_ns, what });
        }
    }
}

fn drains(lines: &[Line], case: &Case, terms: &RuleLimits, out: &mut Vec<Violation>) {
    let mut told: BTreeMap<(&str, &str), Vec<(u64, bool)>> = BTreeMap::new();
    for line in lines {
        if let Event::ListPublished { front, node, state } = &line.event {
            told.entry((front, node)).or_default().push((line.unix_ns, state == "ready"));
        }
    }
    let allowed = ns(terms.list_read_s + terms.drain_grace_s);
    for a in &case.attempts {
        let Some(states) = told.get(&(a.front.as_str(), a.node.as_str())) else { continue };
        let Some((t, ready)) = states.iter().rev().find(|(t, _)| *t <= a.from) else { continue };
        // Told again and again: the first of the unbroken run counts.
        let since = states
            .iter()
            .rev()
            .skip_while(|(at, _)| at > t)
            .take_while(|(_, r)| !r)
            .last()
            .map_or(*t, |(t, _)| *t);
        let stalled = case
            .stalls
            .get(&a.front)
            .is_some_and(|s| s.iter().any(|(at, ms)| at + ms + allowed > since && *at < a.from));
        if !ready && a.from > since + allowed && !stalled {
            let late = (a.from - since) / 1_000_000;
            let what = format!("{} sent to {} {late} ms after it was listed as leaving", a.front, a.node);
            out.push(Violation { rule: Rule::Drains, t: a.from, what });
        }
    }
}

fn cold(lines: &[Line], case: &Case, terms: &RuleLimits, out: &mut Vec<Violation>) {
    for line in lines {
        match line.event {
            Event::Overloaded => {
                out.push(Violation {
                    rule: Rule::Cold,
                    t: line.unix_ns,
                    what: format!("{} was pushed over", line.source),
                });
            }
            Event::NodeStart { streams, cold_share, cold_s } if cold_s > 0.0 => {
                let until = line.unix_ns + ns(cold_s);
                let times: Vec<u64> = case
                    .attempts
                    .iter()
                    .filter(|a| a.node == line.source && (line.unix_ns..until).contains(&a.from))
                    .map(|a| a.from)
                    .collect();
                for (i, t) in times.iter().enumerate() {
                    let warm =
                        cold_share + (1.0 - cold_share) * (t - line.unix_ns) as f64 / ns(cold_s) as f64;
                    let most = terms.fall_multiple * streams / cold_s * warm * terms.fall_s + 3.0;
                    let from = t.saturating_sub(ns(terms.fall_s));
                    let sent = times[..=i].iter().filter(|s| **s > from).count();
                    if sent as f64 > most {
                        let what =
                            format!("{}: {sent} set-ups in {} s, {most:.1} stand", line.source, terms.fall_s);
                        out.push(Violation { rule: Rule::Cold, t: *t, what });
                        break;
                    }
                }
            }
            _ => {}
        }
    }
}

fn terms_kept(lines: &[Line], case: &Case, terms: &RuleLimits, out: &mut Vec<Violation>) {
    let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
    let mut layers: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for line in lines {
        match &line.event {
            Event::RungSelected { origin, rung } => {
                layers.entry(origin).or_default().push(line.unix_ns);
                if *rung < terms.floor {
                    let what = format!("{origin}: rung {rung}, the floor is {}", terms.floor);
                    out.push(Violation { rule: Rule::TermsKept, t: line.unix_ns, what });
                }
            }
            Event::SessionEnded { origin, .. } => {
                ends.insert(origin, line.unix_ns);
            }
            _ => {}
        }
    }
    // A node starts at the lowest rung: a floor above it must be set soon.
    for a in case.attempts.iter().filter(|a| terms.floor > 0 && a.status == Some(201)) {
        let (from, soon) = (a.from, a.to.unwrap_or(a.from) + SECOND);
        let set = layers.get(a.origin.as_str()).is_some_and(|l| l.iter().any(|t| (from..=soon).contains(t)));
        let short = ends.get(a.origin.as_str()).is_some_and(|t| *t <= soon);
        if !set && !short && lines.last().is_some_and(|l| l.unix_ns > soon) {
            let what = format!("{}: played below its floor for a second", a.origin);
            out.push(Violation { rule: Rule::TermsKept, t: soon, what });
        }
    }
    if terms.seats == 0 {
        return;
    }
    let mut held: BTreeMap<(&str, &str), Vec<(u64, i64)>> = BTreeMap::new();
    for a in &case.attempts {
        let to = match a.status {
            Some(201) => ends.get(a.origin.as_str()).copied(),
            _ => a.to,
        };
        let steps = held.entry((&a.front, &a.title)).or_default();
        steps.push((a.from, 1));
        steps.extend(to.map(|t| (t, -1)));
    }
    for ((front, title), mut steps) in held {
        steps.sort_unstable();
        let mut now = 0;
        for (t, step) in steps {
            now += step;
            if now > i64::from(terms.seats) {
                let what = format!("{front} held {now} sessions of {title}, {} are allowed", terms.seats);
                out.push(Violation { rule: Rule::TermsKept, t, what });
                break;
            }
        }
    }
}

fn ration(case: &Case, terms: &RuleLimits, out: &mut Vec<Violation>) {
    let Some((free, share, window_s)) = terms.budget else { return };
    let mut seen = BTreeSet::new();
    let mut further: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for a in &case.attempts {
        if !seen.insert((&a.front, &a.origin)) {
            further.entry(&a.front).or_default().push(a.from);
        }
    }
    for (front, times) in further {
        for (i, t) in times.iter().enumerate() {
            let from = t.saturating_sub(ns(window_s));
            let sent = times[..=i].iter().filter(|s| **s > from).count();
            let taken = case.requests.values().filter(|r| r.front == front && r.t > from && r.t <= *t);
            let sessions: BTreeSet<&str> = taken.map(|r| r.session.as_str()).collect();
            // The viewer's clock and the node's are one; what lies between is set aside as one request.
            let most = free + share * (sessions.len() + 1) as f64;
            if sent as f64 > most {
                let what = format!("{front}: {sent} further attempts in {window_s} s, {most:.1} are allowed");
                out.push(Violation { rule: Rule::Ration, t: *t, what });
                break;
            }
        }
    }
}

#[cfg(test)]
mod tests;
