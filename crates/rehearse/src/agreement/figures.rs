//! Statistics of a rehearsal of the agreement, from the same evidence as the checks.

use super::checker::{Evidence, entries_in_force, late_conflicts};
use pepperhook_playout::record::Event;
use serde::Serialize;
use std::collections::BTreeMap;

/// Time that a front needs after an impairment to get a hold again, nanoseconds: a round of grants under loss.
const RECOVERY_NS: u64 = 3_000_000_000;

/// An interval in which a front was isolated, suspended or down; Unix nanoseconds.
#[derive(Clone, Debug)]
pub struct Impairment {
    /// Name of the front.
    pub front: String,
    /// `cut` (isolated), `stopped` (suspended) or `starting` (from its kill until it was restarted).
    pub cause: String,
    /// Start.
    pub from: u64,
    /// End; `u64::MAX` while it lasts.
    pub to: u64,
}

/// Statistics of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Number of calls of operators; a repeated call counts once.
    pub calls: u64,
    /// Number of answers to calls by kind, repeated calls included.
    #[serde(rename = "told")]
    pub answers: BTreeMap<String, u64>,
    /// Number of answers `conflict` to repeated calls whose change had taken effect: later changes had followed.
    pub late_conflicts: u64,
    /// Time from a call until its policy is completely in force at every front that was not impaired meanwhile: p50, p99,
    /// maximum, milliseconds.
    pub everywhere_ms: [u64; 3],
    /// The same for changes during which no front was impaired.
    pub everywhere_calm_ms: [u64; 3],
    /// The same for the other changes.
    pub everywhere_troubled_ms: [u64; 3],
    /// Number of completed changes, without and with impaired fronts.
    #[serde(rename = "stood")]
    pub completed: [u64; 2],
    /// Time from the last fault until all fronts used the same policy, milliseconds.
    pub settled_ms: Option<u64>,
    /// Number of requests of viewers.
    pub requests: u64,
    /// Number of those that were answered by a session.
    pub playing: u64,
    /// Number of requests refused by fenced fronts, by the cause of the impairment.
    pub fenced: BTreeMap<String, u64>,
    /// Share of the requests that played within the aim, without those refused because of a closed class; in times without a
    /// change or impairment.
    pub within_aim_still: f64,
    /// The same during a change without impairment.
    pub within_aim_change: f64,
    /// The same with impaired fronts.
    pub within_aim_faults: f64,
    /// Number of requests in each of these three shares.
    pub counted: [u64; 3],
}

fn quantiles(mut all: Vec<u64>) -> [u64; 3] {
    all.sort_unstable();
    let at = |q: f64| {
        let rank = (all.len() as f64 * q).ceil() as usize;
        all.get(rank.max(1) - 1).copied().unwrap_or(0)
    };
    [at(0.5), at(0.99), at(1.0)]
}

/// Computes the statistics of a run.
#[must_use]
pub fn figures(e: &Evidence, impairments: &[Impairment], aim_s: f64) -> Figures {
    let mut f =
        Figures { settled_ms: e.settled_ms, late_conflicts: late_conflicts(e) as u64, ..Figures::default() };
    let within =
        |p: &Impairment, from: u64, to: u64| p.from <= to && from <= p.to.saturating_add(RECOVERY_NS);
    let faulty = |from: u64, to: u64| impairments.iter().any(|p| within(p, from, to));

    // Changes.
    let mut first_calls: BTreeMap<u64, u64> = BTreeMap::new();
    let mut completed: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let mut spans: Vec<(u64, u64)> = Vec::new();
    for t in &e.operator_answers {
        let kind = if t.answer.is_empty() { "nothing" } else { &t.answer };
        *f.answers.entry(kind.to_owned()).or_default() += 1;
        let called = first_calls.entry(t.key).or_insert(t.called_ns);
        *called = t.called_ns.min(*called);
        if let ("stands", Some(version)) = (t.answer.as_str(), t.version) {
            let s = completed.entry(t.key).or_insert((version, t.answered_ns));
            s.1 = s.1.min(t.answered_ns);
        }
        if !["conflict", "refused", "policy", "under-way"].contains(&t.answer.as_str()) {
            spans.push((t.called_ns, t.answered_ns));
        }
    }
    f.calls = first_calls.len() as u64;
    let in_force = entries_in_force(&e.shown);
    let (mut calm, mut troubled) = (Vec::new(), Vec::new());
    for (key, (version, answered)) in &completed {
        let (Some(called), Some((entry, _))) = (first_calls.get(key), in_force.get(version)) else {
            continue;
        };
        let mut reached: BTreeMap<&str, u64> = BTreeMap::new();
        for s in e.shown.iter().filter(|s| s.entry >= *entry) {
            let t = reached.entry(&s.front).or_insert(s.unix_ns);
            *t = s.unix_ns.min(*t);
        }
        let unimpaired =
            |front: &str| !impairments.iter().any(|p| p.front == front && within(p, *called, *answered));
        let last = reached.iter().filter(|(front, _)| unimpaired(front)).map(|(_, t)| *t).max();
        let Some(last) = last else { continue };
        let took = last.saturating_sub(*called) / 1_000_000;
        if faulty(*called, last) { &mut troubled } else { &mut calm }.push(took);
    }
    f.completed = [calm.len() as u64, troubled.len() as u64];
    f.everywhere_ms = quantiles(calm.iter().chain(&troubled).copied().collect());
    f.everywhere_calm_ms = quantiles(calm);
    f.everywhere_troubled_ms = quantiles(troubled);

    // Service.
    let mut requests: BTreeMap<u64, (u64, &str)> = BTreeMap::new();
    let mut replied: BTreeMap<u64, (u64, u16)> = BTreeMap::new();
    let mut kinds: BTreeMap<u64, &str> = BTreeMap::new();
    for line in &e.lines {
        match &line.event {
            Event::RequestSent { request, front, .. } => {
                requests.insert(*request, (line.unix_ns, front));
            }
            Event::ResponseReceived { request, status, .. } => {
                replied.insert(*request, (line.unix_ns, *status));
            }
            Event::PolicyReported { request, problem_type, .. } => {
                kinds.insert(*request, problem_type);
            }
            // A viewer who left before the answer says nothing about the service.
            Event::ViewerLeft { request } => drop(requests.remove(request)),
            _ => {}
        }
    }
    let mut shares = [(0u64, 0u64); 3];
    for (request, (t, front)) in &requests {
        f.requests += 1;
        let reply = replied.get(request);
        f.playing += u64::from(reply.is_some_and(|r| r.1 == 201));
        let kind = kinds.get(request).copied().unwrap_or("");
        if kind == "fenced" {
            // An isolated front continues until its hold expires, and is fenced then.
            let cause = impairments.iter().rev().find(|p| p.front == *front && within(p, *t, *t));
            *f.fenced.entry(cause.map_or("other".into(), |p| p.cause.clone())).or_default() += 1;
        }
        if kind == "class-closed" {
            continue;
        }
        let end = reply.map_or(*t, |r| r.0);
        let played = reply.is_some_and(|r| r.1 == 201 && (r.0 - t) as f64 <= aim_s * 1e9);
        let category = match (faulty(*t, end), spans.iter().any(|s| s.0 <= end && *t <= s.1)) {
            (true, _) => 2,
            (false, true) => 1,
            (false, false) => 0,
        };
        shares[category].0 += u64::from(played);
        shares[category].1 += 1;
    }
    let share = |(n, of): (u64, u64)| if of == 0 { 0.0 } else { (n as f64 / of as f64 * 1e4).round() / 1e4 };
    [f.within_aim_still, f.within_aim_change, f.within_aim_faults] = shares.map(share);
    f.counted = shares.map(|s| s.1);
    f
}
