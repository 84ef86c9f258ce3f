//! Judges changes of the policy from what viewers were answered, nodes were sent, operators were told and consoles showed.
//!
//! Nothing here is shared with the fronts: a policy is read as its text, line by line. Each rule has a test that plants a
//! violation and sees it caught.

use pepperhook_playout::record::{Event, Line};
use std::collections::{BTreeMap, BTreeSet};

/// The class whose aim tells policies apart.
pub const MARKED: &str = "replay";
/// The class that is closed, opened and given other tops.
pub const GUEST: &str = "guest";

/// What a front's console showed of the policy that it goes by.
#[derive(Clone, Debug)]
pub struct Shown {
    /// When it was read, Unix nanoseconds.
    pub t: u64,
    /// The front.
    pub front: String,
    /// Version of the policy.
    pub version: u64,
    /// Step of its change.
    pub step: String,
    /// The entry that put it into force.
    pub entry: u64,
    /// The policy.
    pub text: String,
}

/// What an operator was told.
#[derive(Clone, Debug)]
pub struct Told {
    /// Names the call.
    pub key: u64,
    /// The aim that the policy has, as text.
    pub marker: String,
    /// When it was asked for, Unix nanoseconds.
    pub asked: u64,
    /// When it was told.
    pub answered: u64,
    /// `stands`, `undone`, `conflict`, ...; empty where the connection broke or nothing came.
    pub answer: String,
    /// The version that the answer names first.
    pub version: Option<u64>,
}

/// All that is judged.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Viewers' and nodes' lines.
    pub lines: Vec<Line>,
    /// What consoles showed, each time that it was something else than before.
    pub shown: Vec<Shown>,
    /// What operators were told.
    pub told: Vec<Told>,
    /// At the end: each running front's last entry, and whether it holds and its policy stands.
    pub ends: Vec<(String, u64, bool)>,
    /// All went by the same this long after the last fault, milliseconds; `None` where they never did in time.
    pub settled_ms: Option<u64>,
    /// What consoles showed then instead.
    pub why: Option<String>,
    /// The calls that were made after all faults were over.
    pub last: Vec<u64>,
}

/// An entry of the log as consoles showed it, and its place among the policies that followed one another.
#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    step: String,
    text: String,
    first: u64,
    place: u64,
}

/// The policies in force, one after the other.
struct Chain(BTreeMap<u64, Entry>);

/// The value of a class's line in a policy.
#[must_use]
pub fn value<'a>(policy: &'a str, class: &str, field: &str) -> Option<&'a str> {
    let mut here = false;
    for line in policy.lines() {
        let mut words = line.split_whitespace();
        match words.next() {
            Some("section") => here = words.next() == Some("class") && words.next() == Some(class),
            Some(word) if here && word == field => return words.next(),
            _ => {}
        }
    }
    None
}

fn closed(policy: &str, class: &str) -> bool {
    value(policy, class, "closed") == Some("yes")
}

impl Chain {
    /// Entries that follow one another with the same text are one place. Where the first step of a change was never shown, a
    /// place is left free: what came before it and what came after are no neighbours.
    fn new(shown: &[Shown], out: &mut Vec<String>) -> Self {
        let mut all: BTreeMap<u64, Entry> = BTreeMap::new();
        for s in shown.iter().filter(|s| s.entry > 0) {
            let new = || {
                let (step, text) = (s.step.clone(), s.text.clone());
                Entry { version: s.version, step, text, first: s.t, place: 0 }
            };
            let e = all.entry(s.entry).or_insert_with(new);
            e.first = e.first.min(s.t);
            if (e.version, &e.text) != (s.version, &s.text) {
                out.push(format!(
                    "entry {} is two policies: versions {} and {}",
                    s.entry, e.version, s.version
                ));
            }
        }
        let (mut place, mut before): (u64, Option<(String, String, u64)>) = (0, None);
        for e in all.values_mut() {
            if let Some((text, step, version)) = &before {
                let unseen = e.version > *version && e.step != "first";
                let other = *text != e.text;
                // A first step that says what stood before is a place of its own as well: one may vouch for it or not.
                place += u64::from(other) + u64::from(other && unseen);
                if step == "first" && e.step == "first" {
                    out.push(format!("version {} began while another was in its first step", e.version));
                }
            }
            e.place = place;
            before = Some((e.text.clone(), e.step.clone(), e.version));
        }
        Self(all)
    }

    /// Whether policies may be in force at one moment: the same, neighbours, or the same before and after a step that was
    /// undone.
    fn beside(&self, a: &Entry, b: &Entry) -> bool {
        match a.place.abs_diff(b.place) {
            0 | 1 => true,
            2 => a.text == b.text,
            _ => false,
        }
    }

    /// The first entry by which a version is in force as a whole.
    fn whole(&self, version: u64) -> Option<(u64, &Entry)> {
        let is = |e: &Entry| e.version == version && ["second", "trial", "stands"].contains(&e.step.as_str());
        self.0.iter().find(|(_, e)| is(e)).map(|(n, e)| (*n, e))
    }

    /// The version that has a marker and was in force as a whole.
    fn marked(&self, marker: &str) -> Option<u64> {
        let has = |e: &&Entry| value(&e.text, MARKED, "aim") == Some(marker);
        let is = |e: &&Entry| ["second", "trial", "stands"].contains(&e.step.as_str());
        self.0.values().filter(has).find(is).map(|e| e.version)
    }
}

/// An answer to a viewer that names an entry.
struct Answer {
    request: u64,
    asked: u64,
    answered: u64,
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
                // Every other title is of the class that is closed at times.
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
            asked: *asked,
            answered: *answered,
            status: *status,
            kind: kind.clone(),
            entry: *entry,
            origin: origin.clone(),
            class: (*class).to_owned(),
        });
    }
    out
}

/// What was broken.
#[must_use]
pub fn check(e: &Evidence) -> Vec<String> {
    let mut out = Vec::new();
    let chain = Chain::new(&e.shown, &mut out);
    let answers = answers(&e.lines);
    neighbours(&chain, &answers, &mut out);
    content(&chain, &answers, &e.lines, &mut out);
    truth(&chain, e, &mut out);
    everywhere(&chain, e, &mut out);
    out
}

/// No two answers of one moment under policies that are not neighbours; none under one that nobody decided.
fn neighbours(chain: &Chain, answers: &[Answer], out: &mut Vec<String>) {
    let mut known: Vec<(&Answer, &Entry)> = Vec::new();
    for a in answers {
        match chain.0.get(&a.entry) {
            Some(entry) => known.push((a, entry)),
            None => out.push(format!(
                "request {} was answered by entry {}, which no front showed",
                a.request, a.entry
            )),
        }
    }
    let mut by_answer = known.clone();
    by_answer.sort_by_key(|(a, _)| a.answered);
    known.sort_by_key(|(a, _)| a.asked);
    // Of all that was answered before one asked, the furthest on is enough; one that is the same text two places on is no
    // breach by itself, so the last but one counts too.
    let (mut next, mut furthest): (usize, Vec<(&Answer, &Entry)>) = (0, Vec::new());
    for (a, entry) in known {
        while let Some(before) = by_answer.get(next).filter(|(b, _)| b.answered < a.asked) {
            next += 1;
            if furthest.iter().all(|(_, f)| f.place != before.1.place) {
                furthest.push(*before);
                furthest.sort_by_key(|(_, f)| std::cmp::Reverse(f.place));
                furthest.truncate(2);
            }
        }
        let bad = furthest.iter().find(|(_, f)| f.place > entry.place && !chain.beside(f, entry));
        if let Some((b, f)) = bad {
            out.push(format!(
                "request {} was answered by version {} ({}) after request {} was by version {} ({})",
                a.request, entry.version, entry.step, b.request, f.version, f.step
            ));
        }
    }
}

/// What an answer does is what its policy says.
fn content(chain: &Chain, answers: &[Answer], lines: &[Line], out: &mut Vec<String>) {
    let mut set_up: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    for a in answers {
        let Some(entry) = chain.0.get(&a.entry) else { continue };
        let shut = closed(&entry.text, &a.class);
        if a.status == 201 && shut {
            out.push(format!("request {} plays, and entry {} has its class closed", a.request, a.entry));
        }
        if a.kind == "class-closed" && !shut {
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
        // What plays on may follow a later policy that lets it higher.
        let since = chain.0.range(by..).filter(|(n, e)| *n == by || e.first <= line.unix_ns);
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

/// What operators were told is true, and one call has one answer.
fn truth(chain: &Chain, e: &Evidence, out: &mut Vec<String>) {
    let mut by_key: BTreeMap<u64, Vec<&Told>> = BTreeMap::new();
    e.told.iter().for_each(|t| by_key.entry(t.key).or_default().push(t));
    for (key, told) in &by_key {
        let final_: BTreeSet<(&str, Option<u64>)> = told
            .iter()
            .filter(|t| t.answer == "stands" || t.answer == "undone")
            .map(|t| (t.answer.as_str(), t.version))
            .collect();
        if final_.len() > 1 {
            out.push(format!("call {key:x} has two answers: {final_:?}"));
        }
        for t in told {
            let marked = chain.marked(&t.marker);
            match (t.answer.as_str(), t.version) {
                ("stands", Some(version)) => {
                    let whole = chain.whole(version);
                    let same = whole.is_some_and(|(_, w)| value(&w.text, MARKED, "aim") == Some(&t.marker));
                    if !same {
                        out.push(format!(
                            "call {key:x} was told that version {version} stands, and it does not"
                        ));
                        continue;
                    }
                    let entry = whole.map_or(0, |w| w.0);
                    for (front, at, _) in e.ends.iter().filter(|(_, at, _)| *at < entry) {
                        out.push(format!(
                            "call {key:x}: version {version} stands, and {front} is at entry {at}"
                        ));
                    }
                }
                ("undone", Some(version)) if chain.whole(version).is_some() => {
                    out.push(format!(
                        "call {key:x} was told that version {version} is undone, and it was in force"
                    ));
                }
                ("stands" | "undone", None) => out.push(format!("call {key:x}: {} of no version", t.answer)),
                ("conflict" | "refused" | "policy" | "unfit" | "undone", _) => {
                    // Who asks again after others changed more is told what stands now.
                    let later = |v: u64| chain.0.values().any(|e| e.version > v && e.first < t.answered);
                    if let Some(v) = marked.filter(|v| t.answer != "conflict" || !later(*v)) {
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
            let told: Vec<&str> = by_key.get(key).into_iter().flatten().map(|t| t.answer.as_str()).collect();
            out.push(format!("call {key:x}, made after all faults, was told {told:?}"));
        }
    }
}

/// A change is on all or on none in its time after the last fault.
fn everywhere(chain: &Chain, e: &Evidence, out: &mut Vec<String>) {
    if e.settled_ms.is_none() {
        out.push(format!(
            "after the last fault the fronts did not come to one policy in time: {}",
            e.why.as_deref().unwrap_or("")
        ));
    }
    let entries: BTreeSet<u64> = e.ends.iter().map(|e| e.1).collect();
    if entries.len() != 1 {
        out.push(format!("at the end the fronts go by different entries: {:?}", e.ends));
    }
    for (front, entry, stands) in &e.ends {
        if !stands || !chain.0.contains_key(entry) {
            out.push(format!("at the end {front} is at entry {entry}, fenced or within a change"));
        }
    }
}

/// Calls that were told a conflict though their change had stood: others had changed more by then.
#[must_use]
pub fn late_conflicts(e: &Evidence) -> usize {
    let chain = Chain::new(&e.shown, &mut Vec::new());
    e.told.iter().filter(|t| t.answer == "conflict" && chain.marked(&t.marker).is_some()).count()
}

/// When each version was first shown as a whole: entry and time.
#[must_use]
pub fn whole(shown: &[Shown]) -> BTreeMap<u64, (u64, u64)> {
    let chain = Chain::new(shown, &mut Vec::new());
    let versions: BTreeSet<u64> = chain.0.values().map(|e| e.version).collect();
    versions.into_iter().filter_map(|v| chain.whole(v).map(|(n, e)| (v, (n, e.first)))).collect()
}

#[cfg(test)]
#[path = "checker_tests.rs"]
mod tests;
