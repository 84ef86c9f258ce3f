//! Fronts as processes that share duties: killed, stopped, stalled and cut off by schedule, judged by what the nodes'
//! sockets heard.

use super::coverage::{Coverage, Life, Probe, RuleLimits, check};
use crate::day::{Day, DutySettings, ExchangeSettings, FaultKind, Fleet, ScheduledFault, ViewerSettings};
use crate::runner::{RunError, RunResult, run_day};
use pepperhook_playout::record::{Event, Line};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Period of the duty and the time after which a silent front is given up, seconds.
const PERIOD_S: f64 = 1.0;
const SUSPICION_S: f64 = 3.0;
/// Coverage is judged from here: until then the fronts get to know each other; seconds from the first arrival.
const SETTLED_S: f64 = 8.0;
/// Windows in which what a node hears is counted, in periods.
const WINDOW: u64 = 5;

/// What is varied.
#[derive(Clone, Debug)]
pub struct Variation {
    /// Seed.
    pub seed: u64,
    /// Front processes.
    pub fronts: u32,
    /// Part of the datagrams between them that is lost.
    pub loss: f64,
}

/// What a rehearsal came to; simulated.
#[derive(Clone, Debug, Serialize)]
pub struct DutiesReport {
    /// Loss between the fronts.
    pub loss: f64,
    /// The whole time that was judged.
    pub coverage: Coverage,
    /// Longest gap of any node that includes or follows a kill, within the bound's time of it, milliseconds.
    pub longest_gap_after_kill_ms: u64,
    /// The bound on gaps, milliseconds: two periods and the suspicion's time.
    pub gap_bound_ms: u64,
    /// Share of all requests that played within the aim.
    pub served_within_aim: f64,
    /// Ages of readings at placement by front, milliseconds: median, 9 in 10, 99 in 100.
    pub ages_ms: Vec<[u64; 3]>,
    /// Set-ups sent to a node of which nothing had been seen, all fronts.
    pub blind: u64,
    /// Bytes a second that a front sent to the others, by the one that sent the most.
    pub bytes_a_second: f64,
    /// Rules broken.
    pub rules_broken: Vec<String>,
}

/// Eight fronts; some are killed, one stands still, one is stopped in order.
#[must_use]
pub fn day(v: &Variation) -> Day {
    let fleet = Fleet {
        fronts: v.fronts,
        exchange: Some(ExchangeSettings { loss: v.loss, cut: Vec::new() }),
        duties: Some(DutySettings { period_s: PERIOD_S, share: true, ask: false }),
        ..Fleet::default()
    };
    let last = v.fronts - 1;
    let mut faults = Vec::new();
    let mut add = |at_s, for_s, kind| faults.push(ScheduledFault { at_s, for_s, kind });
    add(10.0, 8.0, FaultKind::FrontKill { fronts: vec![1 % v.fronts] });
    add(14.5, 1.0, FaultKind::FrontStall { fronts: vec![last], ms: 2_000, every_s: 60.0 });
    add(20.0, 6.0, FaultKind::FrontKill { fronts: vec![0, last] });
    add(23.0, 6.0, FaultKind::Crash { nodes: vec![3] });
    add(30.0, 5.0, FaultKind::Drain { nodes: vec![5] });
    Day {
        name: "shared duties".into(),
        seed: v.seed,
        length_s: 38.0,
        fleet,
        viewers: ViewerSettings { rate: 8.0, ..ViewerSettings::default() },
        faults,
    }
}

/// Plays the day and judges it.
///
/// # Errors
/// As `play`.
pub async fn rehearse(
    v: &Variation,
    program: &Path,
    dir: &Path,
    tell: impl Fn(String) + 'static,
) -> Result<DutiesReport, RunError> {
    let outcome = run_day(&day(v), program, dir, tell).await?;
    Ok(report(v, &outcome))
}

fn report(v: &Variation, outcome: &RunResult) -> DutiesReport {
    let lines = &outcome.lines;
    let begin = lines.iter().find(|l| matches!(l.event, Event::RequestSent { .. })).map_or(0, |l| l.unix_ns)
        / 1_000_000;
    let from_ms = begin + (SETTLED_S * 1e3) as u64;
    // Fronts are stopped one after the other at the end.
    let ends =
        lines.iter().find(|l| matches!(l.event, Event::FrontStop { .. })).map_or(u64::MAX, |l| l.unix_ns);
    let to_ms = ends / 1_000_000;
    let gap_ms = ((2.0 * PERIOD_S + SUSPICION_S) * 1e3) as u64;
    let most = (5.0 * WINDOW as f64) as usize;
    let terms = RuleLimits { period_ms: (PERIOD_S * 1e3) as u64, gap_ms, window: WINDOW, most };
    let heard: Vec<Probe> =
        probes(lines).into_iter().filter(|p| (from_ms..to_ms).contains(&p.t_ms)).collect();
    let lives = lives(lines, from_ms, to_ms);
    let kills: Vec<u64> = lines
        .iter()
        .filter(|l| matches!(l.event, Event::FrontKilled { .. }))
        .map(|l| l.unix_ns / 1_000_000)
        .collect();
    let after = kills.iter().map(|t| {
        let within =
            |l: &Life| Life { from_ms: l.from_ms.max(*t), to_ms: l.to_ms.min(t + gap_ms), ..l.clone() };
        let lives: Vec<Life> = lives.iter().map(within).filter(|l| l.from_ms < l.to_ms).collect();
        check(&heard, &lives, &terms).longest_gap_ms
    });
    DutiesReport {
        loss: v.loss,
        longest_gap_after_kill_ms: after.max().unwrap_or(0),
        coverage: check(&heard, &lives, &terms),
        gap_bound_ms: gap_ms,
        served_within_aim: outcome.report.served_within_aim,
        ages_ms: ages(&outcome.states),
        blind: outcome.states.iter().filter_map(|s| s["ages"]["blind"].as_u64()).sum(),
        bytes_a_second: bytes_a_second(outcome),
        rules_broken: outcome.report.rules_broken.clone(),
    }
}

/// Ages of readings at placement, as each front's console tells them.
#[must_use]
pub fn ages(states: &[serde_json::Value]) -> Vec<[u64; 3]> {
    let at = |s: &serde_json::Value, q: &str| s["ages"][q].as_u64().unwrap_or(0);
    states.iter().map(|s| [at(s, "p50_ms"), at(s, "p90_ms"), at(s, "p99_ms")]).collect()
}

fn bytes_a_second(outcome: &RunResult) -> f64 {
    let times = |l: &&Line| matches!(l.event, Event::RequestSent { .. });
    let first = outcome.lines.iter().find(times).map_or(0, |l| l.unix_ns);
    let last = outcome.lines.iter().rev().find(times).map_or(0, |l| l.unix_ns);
    // Fronts that were killed count from their last start: those that ran the longest tell the rate.
    let most = outcome.states.iter().filter_map(|s| s["exchange"]["sent_bytes"].as_u64()).max();
    most.unwrap_or(0) as f64 / ((last - first) as f64 / 1e9).max(1.0)
}

/// What nodes heard.
#[must_use]
pub fn probes(lines: &[Line]) -> Vec<Probe> {
    let probe = |l: &Line| match &l.event {
        Event::Probe { front } => {
            Some(Probe { t_ms: l.unix_ns / 1_000_000, node: l.source.clone(), front: front.clone() })
        }
        _ => None,
    };
    lines.iter().filter_map(probe).collect()
}

/// When nodes were to be covered: while all fronts that run were told that they are ready.
#[must_use]
pub fn lives(lines: &[Line], from_ms: u64, to_ms: u64) -> Vec<Life> {
    let mut out = Vec::new();
    let mut ready: BTreeMap<String, u64> = BTreeMap::new();
    // A node's own start counts too: the list may be late in telling of its end.
    for line in lines {
        let t = line.unix_ns / 1_000_000;
        match &line.event {
            Event::ListPublished { node, state, .. } if state == "ready" => {
                ready.entry(node.clone()).or_insert(t);
            }
            Event::ListPublished { node, .. } => end(&mut out, &mut ready, node, t),
            Event::NodeStart { .. } => end(&mut out, &mut ready, &line.source, t),
            Event::FaultInjected { kind, detail } if kind == "begins" && detail.contains("\"crash\"") => {
                // A killed node says nothing; the list will tell of it some time later.
                let all: Vec<String> = ready.keys().cloned().collect();
                for node in all {
                    let i = node.trim_start_matches("node-");
                    if detail.contains(&format!("[{i}]")) {
                        end(&mut out, &mut ready, &node, t);
                    }
                }
            }
            _ => {}
        }
    }
    let open: Vec<String> = ready.keys().cloned().collect();
    open.iter().for_each(|node| end(&mut out, &mut ready, node, to_ms));
    let within = |l: Life| Life { from_ms: l.from_ms.max(from_ms), to_ms: l.to_ms.min(to_ms), ..l };
    out.into_iter().map(within).filter(|l| l.from_ms < l.to_ms).collect()
}

fn end(out: &mut Vec<Life>, ready: &mut BTreeMap<String, u64>, node: &str, to_ms: u64) {
    if let Some(from_ms) = ready.remove(node) {
        out.push(Life { node: node.to_owned(), from_ms, to_ms });
    }
}
