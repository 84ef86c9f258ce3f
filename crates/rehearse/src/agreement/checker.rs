//! Checks changes of the agreed policy by the answers to viewers and operators, the records of nodes and the consoles.
//!
//! The checker shares no code with the fronts: it reads a policy as text, line by line. Each rule has a test with evidence
//! that violates it.

use pepperhook_playout::record::{Event, Line};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The class whose aim identifies a policy.
pub const MARKED: &str = "replay";
/// The class that changes close, open and give another highest rung.
pub const GUEST: &str = "guest";

/// The policy of a front, as its console showed it.
#[derive(Clone, Debug)]
pub struct ConsoleReading {
    /// Unix time of the reading, nanoseconds.
    pub unix_ns: u64,
    /// Name of the front.
    pub front: String,
    /// Version of the policy.
    pub version: u64,
    /// Step of its change: `first`, `second`, `trial`, `stands` or `back`.
    pub step: String,
    /// Number of the log entry that put it into force.
    pub entry: u64,
    /// Text of the policy.
    pub text: String,
}

/// The answer to a call of an operator.
#[derive(Clone)]
pub struct OperatorAnswer {
    /// Identifies the call.
    pub key: u64,
    /// The unique aim of its policy, as text.
    pub marker: String,
    /// Unix time of the call, nanoseconds.
    pub called_ns: u64,
    /// Unix time of the answer, nanoseconds.
    pub answered_ns: u64,
    /// `stands`, `undone`, `conflict`, ...; empty if the connection failed or no answer came.
    pub answer: String,
    /// The first version that the answer names.
    pub version: Option<u64>,
}

// The file `told.txt` contains this text.
impl fmt::Debug for OperatorAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, marker, called_ns, answered_ns, answer, version } = self;
        f.debug_struct("Told")
            .field("key", key)
            .field("marker", marker)
            .field("asked", called_ns)
            .field("answered", answered_ns)
            .field("answer", answer)
            .field("version", version)
            .finish()
    }
}

/// The input of the checks.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The record of viewers and nodes.
    pub lines: Vec<Line>,
    /// The readings of consoles, one for each new entry at a front.
    pub shown: Vec<ConsoleReading>,
    /// The answers to operators.
    pub operator_answers: Vec<OperatorAnswer>,
    /// At the end, for each running front: its name, its last entry, and whether it is not fenced and its policy stands.
    pub ends: Vec<(String, u64, bool)>,
    /// Time from the last fault until all fronts used the same policy, milliseconds; `None` if they did not in time.
    pub settled_ms: Option<u64>,
    /// What consoles showed instead in that case.
    pub disagreement: Option<String>,
    /// Keys of the calls made after the last fault.
    pub last: Vec<u64>,
}

/// A log entry as consoles showed it, and its position in the sequence of policies.
#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    step: String,
    text: String,
    /// Unix time at which it was first shown, nanoseconds.
    first_shown_ns: u64,
    position: u64,
}

/// The policies in force in sequence, by log entry.
struct PolicyHistory(BTreeMap<u64, Entry>);

/// The value of a field of a class in a policy.
#[must_use]
pub fn value<'a>(policy: &'a str, class: &str, field: &str) -> Option<&'a str> {
    let mut in_class = false;
    for line in policy.lines() {
        let mut words = line.split_whitespace();
        match words.next() {
            Some("section") => in_class = words.next() == Some("class") && words.next() == Some(class),
            Some(word) if in_class && word == field => return words.next(),
            _ => {}
        }
    }
    None
}

fn closed(policy: &str, class: &str) -> bool {
    value(policy, class, "closed") == Some("yes")
}

impl PolicyHistory {
    /// Consecutive entries with the same text have one position. If the first step of a change was never shown, its position is
    /// skipped, so that the policies before and after it are not neighbours.
    fn new(shown: &[ConsoleReading], out: &mut Vec<String>) -> Self {
        let mut all: BTreeMap<u64, Entry> = BTreeMap::new();
        for s in shown.iter().filter(|s| s.entry > 0) {
            let new = || {
                let (step, text) = (s.step.clone(), s.text.clone());
                Entry { version: s.version, step, text, first_shown_ns: s.unix_ns, position: 0 }
            };
            let e = all.entry(s.entry).or_insert_with(new);
            e.first_shown_ns = e.first_shown_ns.min(s.unix_ns);
            if (e.version, &e.text) != (s.version, &s.text) {
                out.push(format!(
                    "entry {} is two policies: versions {} and {}",
                    s.entry, e.version, s.version
                ));
            }
        }
        let (mut position, mut before): (u64, Option<(String, String, u64)>) = (0, None);
        for e in all.values_mut() {
            if let Some((text, step, version)) = &before {
                let unseen = e.version > *version && e.step != "first";
                let other = *text != e.text;
                // The skipped position belongs to the first step that no console showed.
                position += u64::from(other) + u64::from(other && unseen);
                if step == "first" && e.step == "first" {
                    out.push(format!("version {} began while another was in its first step", e.version));
                }
            }
            e.position = position;
            before = Some((e.text.clone(), e.step.clone(), e.version));
        }
        Self(all)
    }

    /// Whether two policies may be in force at the same time: the same one, neighbours, or the same text before and after an
    /// undone step.
    fn compatible(&self, a: &Entry, b: &Entry) -> bool {
        match a.position.abs_diff(b.position) {
            0 | 1 => true,
            2 => a.text == b.text,
            _ => false,
        }
    }

    /// The first entry by which a version is completely in force.
    fn first_in_force(&self, version: u64) -> Option<(u64, &Entry)> {
        let is = |e: &Entry| e.version == version && ["second", "trial", "stands"].contains(&e.step.as_str());
        self.0.iter().find(|(_, e)| is(e)).map(|(n, e)| (*n, e))
    }

    /// The version that has a marker and was completely in force.
    fn version_with_marker(&self, marker: &str) -> Option<u64> {
        let has = |e: &&Entry| value(&e.text, MARKED, "aim") == Some(marker);
        let is = |e: &&Entry| ["second", "trial", "stands"].contains(&e.step.as_str());
        self.0.values().filter(has).find(is).map(|e| e.version)
    }
}

/// An answer to a viewer that names a log entry.
struct Answer {
    request: u64,
    asked_ns: u64,
    answered_ns: u64,
    status: u16,
    kind: String,
    entry: u64,
    origin: String,
    class: String,
}

fn answers(lines: &[Line]) -> Vec<Answer> {
    let (mut asked, mut replied) = (BTreeMap::new(), BTreeMap::new());
    let mut out = Vec::new();
    for line in lines {
        match &line.event {
            Event::RequestSent { request, origin, title, .. } => {
                // Titles with odd numbers are of the class that changes close.
                let odd =
                    title.rsplit('-').next().and_then(|n| n.parse::<u32>().ok()).is_some_and(|n| n % 2 == 1);
                asked.insert(*request, (line.unix_ns, origin.clone(), if odd { GUEST } else { MARKED }));
            }
            Event::ResponseReceived { request, status, .. } => {
                replied.insert(*request, (line.unix_ns, *status));
            }
            _ => {}
        }
    }
    for line in lines {
        let Event::PolicyReported { request, entry: Some(entry), problem_type: kind } = &line.event else {
            continue;
        };
        let (Some((asked, origin, class)), Some((answered, status))) =
            (asked.get(request), replied.get(request))
        else {
            continue;
        };
        out.push(Answer {
            request: *request,
            asked_ns: *asked,
            answered_ns: *answered,
            status: *status,
            kind: kind.clone(),
            entry: *entry,
            origin: origin.clone(),
            class: (*class).to_owned(),
        });
    }
    out
}

/// Checks all rules; returns the violations.
#[must_use]
pub fn check(e: &Evidence) -> Vec<String> {
    let mut out = Vec::new();
    let history = PolicyHistory::new(&e.shown, &mut out);
    let answers = answers(&e.lines);
    check_sequence(&history, &answers, &mut out);
    check_answers(&history, &answers, &e.lines, &mut out);
    check_operator_answers(&history, e, &mut out);
    check_final_state(&history, e, &mut out);
    out
}

/// No answer uses a policy that precedes, and is not a neighbour of, one used by an answer given before its request. No answer
/// uses an entry that no front showed.
fn check_sequence(history: &PolicyHistory, answers: &[Answer], out: &mut Vec<String>) {
    let mut known: Vec<(&Answer, &Entry)> = Vec::new();
    for a in answers {
        match history.0.get(&a.entry) {
            Some(entry) => known.push((a, entry)),
            None => out.push(format!(
                "request {} was answered by entry {}, which no front showed",
                a.request, a.entry
            )),
        }
    }
    let mut by_answer = known.clone();
    by_answer.sort_by_key(|(a, _)| a.answered_ns);
    known.sort_by_key(|(a, _)| a.asked_ns);
    // Of all answers given before a request, the one with the highest position suffices; as the same text two positions later is
    // allowed, the second highest is compared too.
    let (mut next, mut latest): (usize, Vec<(&Answer, &Entry)>) = (0, Vec::new());
    for (a, entry) in known {
        while let Some(before) = by_answer.get(next).filter(|(b, _)| b.answered_ns < a.asked_ns) {
            next += 1;
            if latest.iter().all(|(_, f)| f.position != before.1.position) {
                latest.push(*before);
                latest.sort_by_key(|(_, f)| std::cmp::Reverse(f.position));
                latest.truncate(2);
            }
        }
        let bad = latest.iter().find(|(_, f)| f.position > entry.position && !history.compatible(f, entry));
        if let Some((b, f)) = bad {
            out.push(format!(
                "request {} was answered by version {} ({}) after request {} was by version {} ({})",
                a.request, entry.version, entry.step, b.request, f.version, f.step
            ));
        }
    }
}

/// Each answer follows its policy.
fn check_answers(history: &PolicyHistory, answers: &[Answer], lines: &[Line], out: &mut Vec<String>) {
    let mut set_up: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    for a in answers {
        let Some(entry) = history.0.get(&a.entry) else { continue };
        let is_closed = closed(&entry.text, &a.class);
        if a.status == 201 && is_closed {
            out.push(format!("request {} plays, and entry {} has its class closed", a.request, a.entry));
        }
        if a.kind == "class-closed" && !is_closed {
            out.push(format!(
                "request {} was refused as closed, and entry {} has its class open",
                a.request, a.entry
            ));
        }
        if a.status == 201 {
            set_up.insert(&a.origin, (a.entry, &a.class));
        }
    }
    for line in lines {
        let Event::RungSelected { origin, rung } = &line.event else { continue };
        let Some((by, class)) = set_up.get(origin.as_str()) else { continue };
        // A session may follow a later policy that allows a higher rung.
        let since = history.0.range(by..).filter(|(n, e)| *n == by || e.first_shown_ns <= line.unix_ns);
        let tops: Option<Vec<u8>> = since
            .map(|(_, e)| value(&e.text, class, "top").map_or(Some(u8::MAX), |v| v.parse().ok()))
            .collect();
        match tops.and_then(|t| t.into_iter().max()) {
            Some(top) if *rung > top => {
                out.push(format!(
                    "{origin} of {class} has rung {rung} at {}, entry {by} says {top}",
                    line.source
                ));
            }
            Some(_) => {}
            None => out.push(format!("entry {by}: a top of {class} that is no number")),
        }
    }
}

/// Answers to operators are true, and each call has one final answer.
fn check_operator_answers(history: &PolicyHistory, e: &Evidence, out: &mut Vec<String>) {
    let mut by_key: BTreeMap<u64, Vec<&OperatorAnswer>> = BTreeMap::new();
    e.operator_answers.iter().for_each(|t| by_key.entry(t.key).or_default().push(t));
    for (key, call_answers) in &by_key {
        let final_answers: BTreeSet<(&str, Option<u64>)> = call_answers
            .iter()
            .filter(|t| t.answer == "stands" || t.answer == "undone")
            .map(|t| (t.answer.as_str(), t.version))
            .collect();
        if final_answers.len() > 1 {
            out.push(format!("call {key:x} has two answers: {final_answers:?}"));
        }
        for t in call_answers {
            let version_in_force = history.version_with_marker(&t.marker);
            match (t.answer.as_str(), t.version) {
                ("stands", Some(version)) => {
                    let in_force = history.first_in_force(version);
                    let same =
                        in_force.is_some_and(|(_, w)| value(&w.text, MARKED, "aim") == Some(&t.marker));
                    if !same {
                        out.push(format!(
                            "call {key:x} was told that version {version} stands, and it does not"
                        ));
                        continue;
                    }
                    let entry = in_force.map_or(0, |w| w.0);
                    for (front, at, _) in e.ends.iter().filter(|(_, at, _)| *at < entry) {
                        out.push(format!(
                            "call {key:x}: version {version} stands, and {front} is at entry {at}"
                        ));
                    }
                }
                ("undone", Some(version)) if history.first_in_force(version).is_some() => {
                    out.push(format!(
                        "call {key:x} was told that version {version} is undone, and it was in force"
                    ));
                }
                ("stands" | "undone", None) => out.push(format!("call {key:x}: {} of no version", t.answer)),
                ("conflict" | "refused" | "policy" | "unfit" | "undone", _) => {
                    // A repeated call gets a conflict if later changes followed.
                    let later = |v: u64| {
                        history.0.values().any(|e| e.version > v && e.first_shown_ns < t.answered_ns)
                    };
                    if let Some(v) = version_in_force.filter(|v| t.answer != "conflict" || !later(*v)) {
                        out.push(format!(
                            "call {key:x} was told {}, and version {v} is its policy",
                            t.answer
                        ));
                    }
                }
                _ => {}
            }
        }
    }
    for key in &e.last {
        let stands = by_key.get(key).is_some_and(|t| t.iter().any(|t| t.answer == "stands"));
        if !stands {
            let answers: Vec<&str> =
                by_key.get(key).into_iter().flatten().map(|t| t.answer.as_str()).collect();
            out.push(format!("call {key:x}, made after all faults, was told {answers:?}"));
        }
    }
}

/// Within the time after the last fault, all fronts use the same policy, which stands.
fn check_final_state(history: &PolicyHistory, e: &Evidence, out: &mut Vec<String>) {
    if e.settled_ms.is_none() {
        out.push(format!(
            "after the last fault the fronts did not come to one policy in time: {}",
            e.disagreement.as_deref().unwrap_or("")
        ));
    }
    let entries: BTreeSet<u64> = e.ends.iter().map(|e| e.1).collect();
    if entries.len() != 1 {
        out.push(format!("at the end the fronts go by different entries: {:?}", e.ends));
    }
    for (front, entry, stands) in &e.ends {
        if !stands || !history.0.contains_key(entry) {
            out.push(format!("at the end {front} is at entry {entry}, fenced or within a change"));
        }
    }
}

/// Number of answers `conflict` to calls whose change had taken effect: later changes had followed.
#[must_use]
pub fn late_conflicts(e: &Evidence) -> usize {
    let history = PolicyHistory::new(&e.shown, &mut Vec::new());
    e.operator_answers
        .iter()
        .filter(|t| t.answer == "conflict" && history.version_with_marker(&t.marker).is_some())
        .count()
}

/// For each version the first entry by which it is completely in force, and the Unix time at which it was first shown.
#[must_use]
pub fn entries_in_force(shown: &[ConsoleReading]) -> BTreeMap<u64, (u64, u64)> {
    let history = PolicyHistory::new(shown, &mut Vec::new());
    let versions: BTreeSet<u64> = history.0.values().map(|e| e.version).collect();
    versions
        .into_iter()
        .filter_map(|v| history.first_in_force(v).map(|(n, e)| (v, (n, e.first_shown_ns))))
        .collect()
}

#[cfg(test)]
#[path = "checker_tests.rs"]
mod tests;
