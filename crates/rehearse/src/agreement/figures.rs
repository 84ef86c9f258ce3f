//! Figures of a rehearsal of changes, from the same evidence as the judge's.

use super::checker::{Evidence, late_conflicts, whole};
use pepperhook_playout::record::Event;
use serde::Serialize;
use std::collections::BTreeMap;

/// A front that is cut off, stopped or starting takes this long to hold again, nanoseconds: a round of grants under loss.
const HOLDS_AGAIN: u64 = 3_000_000_000;

/// A front was not itself for a time, Unix nanoseconds.
#[derive(Clone, Debug)]
pub struct Impaired {
    /// The front.
    pub front: String,
    /// `cut`, `stopped` or `starting`; the last from its kill to its start.
    pub cause: String,
    /// From then
    pub from: u64,
    /// to then.
    pub to: u64,
}

/// What a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Calls of operators, those made again counted once.
    pub calls: u64,
    /// What they were told, by kind; each answer counts.
    pub told: BTreeMap<String, u64>,
    /// Calls made again after others had changed more, that were told a conflict though they had stood.
    pub late_conflicts: u64,
    /// From a call to its policy in force as a whole at every front that was not cut off, stopped or down meanwhile: p50,
    /// p99, most, milliseconds.
    pub everywhere_ms: [u64; 3],
    /// The same of changes while no front was cut off, stopped or down.
    pub everywhere_calm_ms: [u64; 3],
    /// The same of the other changes.
    pub everywhere_troubled_ms: [u64; 3],
    /// Changes that stood, without and with such faults.
    pub stood: [u64; 2],
    /// From the last fault to one policy at all fronts, milliseconds.
    pub settled_ms: Option<u64>,
    /// Requests of viewers.
    pub requests: u64,
    /// Of those, answered by a session.
    pub playing: u64,
    /// Refused by fronts that could not know what the fleet agreed, by cause.
    pub fenced: BTreeMap<String, u64>,
    /// Share of requests, those to the closed class not counted, that played within the aim: without a change and faults.
    pub within_aim_still: f64,
    /// During a change without faults.
    pub within_aim_change: f64,
    /// With faults.
    pub within_aim_faults: f64,
    /// Requests counted in the three.
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

/// Sums evidence up.
#[must_use]
pub fn figures(e: &Evidence, impaired: &[Impaired], aim_s: f64) -> Figures {
    let mut f =
        Figures { settled_ms: e.settled_ms, late_conflicts: late_conflicts(e) as u64, ..Figures::default() };
    let within = |p: &Impaired, from: u64, to: u64| p.from <= to && from <= p.to.saturating_add(HOLDS_AGAIN);
    let faulty = |from: u64, to: u64| impaired.iter().any(|p| within(p, from, to));

    // Changes.
    let mut first: BTreeMap<u64, u64> = BTreeMap::new();
    let mut stood: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let mut spans: Vec<(u64, u64)> = Vec::new();
    for t in &e.told {
        let kind = if t.answer.is_empty() { "nothing" } else { &t.answer };
        *f.told.entry(kind.to_owned()).or_default() += 1;
        let asked = first.entry(t.key).or_insert(t.asked);
        *asked = t.asked.min(*asked);
        if let ("stands", Some(version)) = (t.answer.as_str(), t.version) {
            let s = stood.entry(t.key).or_insert((version, t.answered));
            s.1 = s.1.min(t.answered);
        }
        if !["conflict", "refused", "policy", "under-way"].contains(&t.answer.as_str()) {
            spans.push((t.asked, t.answered));
        }
    }
    f.calls = first.len() as u64;
    let whole = whole(&e.shown);
    let (mut calm, mut troubled) = (Vec::new(), Vec::new());
    for (key, (version, told)) in &stood {
        let (Some(asked), Some((entry, _))) = (first.get(key), whole.get(version)) else { continue };
        let mut reached: BTreeMap<&str, u64> = BTreeMap::new();
        for s in e.shown.iter().filter(|s| s.entry >= *entry) {
            let t = reached.entry(&s.front).or_insert(s.t);
            *t = s.t.min(*t);
        }
        let itself = |front: &str| !impaired.iter().any(|p| p.front == front && within(p, *asked, *told));
        let last = reached.iter().filter(|(front, _)| itself(front)).map(|(_, t)| *t).max();
        let Some(last) = last else { continue };
        let took = last.saturating_sub(*asked) / 1_000_000;
        if faulty(*asked, last) { &mut troubled } else { &mut calm }.push(took);
    }
    f.stood = [calm.len() as u64, troubled.len() as u64];
    f.everywhere_ms = quantiles(calm.iter().chain(&troubled).copied().collect());
    f.everywhere_calm_ms = quantiles(calm);
    f.everywhere_troubled_ms = quantiles(troubled);

    // Service.
    let mut asked: BTreeMap<u64, (u64, &str)> = BTreeMap::new();
    let mut replied: BTreeMap<u64, (u64, u16)> = BTreeMap::new();
    let mut kinds: BTreeMap<u64, &str> = BTreeMap::new();
    for line in &e.lines {
        match &line.event {
            Event::RequestSent { request, front, .. } => drop(asked.insert(*request, (line.unix_ns, front))),
            Event::ResponseReceived { request, status, .. } => {
                replied.insert(*request, (line.unix_ns, *status));
            }
            Event::PolicyReported { request, problem_type, .. } => {
                kinds.insert(*request, problem_type);
            }
            // Who hangs up by themselves is no measure of service.
            Event::ViewerLeft { request } => drop(asked.remove(request)),
            _ => {}
        }
    }
    let mut shares = [(0u64, 0u64); 3];
    for (request, (t, front)) in &asked {
        f.requests += 1;
        let reply = replied.get(request);
        f.playing += u64::from(reply.is_some_and(|r| r.1 == 201));
        let kind = kinds.get(request).copied().unwrap_or("");
        if kind == "fenced" {
            // A front that is cut off goes on until its hold runs out, and is fenced then.
            let mine = impaired.iter().rev().find(|p| p.front == *front && within(p, *t, *t));
            *f.fenced.entry(mine.map_or("other".into(), |p| p.cause.clone())).or_default() += 1;
        }
        if kind == "class-closed" {
            continue;
        }
        let end = reply.map_or(*t, |r| r.0);
        let played = reply.is_some_and(|r| r.1 == 201 && (r.0 - t) as f64 <= aim_s * 1e9);
        let place = match (faulty(*t, end), spans.iter().any(|s| s.0 <= end && *t <= s.1)) {
            (true, _) => 2,
            (false, true) => 1,
            (false, false) => 0,
        };
        shares[place].0 += u64::from(played);
        shares[place].1 += 1;
    }
    let share = |(n, of): (u64, u64)| if of == 0 { 0.0 } else { (n as f64 / of as f64 * 1e4).round() / 1e4 };
    [f.within_aim_still, f.within_aim_change, f.within_aim_faults] = shares.map(share);
    f.counted = shares.map(|s| s.1);
    f
}
