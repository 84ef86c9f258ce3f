//! Rehearsal of shared duties with fronts as processes, which are killed and suspended by schedule. The checks use the
//! probes that nodes recorded.

use super::coverage::{Coverage, CoverageLimits, Probe, ReadyInterval, check};
use crate::day::{Day, DutySettings, ExchangeSettings, FaultKind, Fleet, ScheduledFault, ViewerSettings};
use crate::runner::{RunError, RunResult, run_day};
use pepperhook_playout::record::{Event, Line};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Period of the duty, seconds.
const PERIOD_S: f64 = 1.0;
/// Time after which a silent front is considered down, seconds.
const SUSPICION_S: f64 = 3.0;
/// Start of the check, seconds from the first arrival; until then the fronts discover each other.
const SETTLED_S: f64 = 8.0;
/// Window over which the probes of a node are counted, in periods.
const WINDOW: u64 = 5;

/// Parameters of the rehearsal.
#[derive(Clone, Debug)]
pub struct Variation {
    /// Seed.
    pub seed: u64,
    /// Number of front processes.
    pub fronts: u32,
    /// Share of the datagrams between fronts that is lost.
    pub loss: f64,
}

/// Results of the rehearsal; all figures are simulated.
#[derive(Clone, Debug, Serialize)]
pub struct DutiesReport {
    /// Share of the datagrams between fronts that is lost.
    pub loss: f64,
    /// Coverage over the whole checked time.
    pub coverage: Coverage,
    /// Longest gap of any node within `gap_bound_ms` after a front was killed, milliseconds.
    pub longest_gap_after_kill_ms: u64,
    /// Limit on gaps, milliseconds: two periods plus the suspicion timeout.
    pub gap_bound_ms: u64,
    /// Share of the requests that played within the aim.
    pub served_within_aim: f64,
    /// Age of the load readings used for placement, per front: 50th, 90th and 99th percentile, milliseconds.
    pub ages_ms: Vec<[u64; 3]>,
    /// Number of set-ups sent to a node without any load reading, over all fronts.
    pub blind: u64,
    /// Rate that the front that sent the most sent to the others, bytes per second.
    pub bytes_a_second: f64,
    /// Violations of the six rules.
    pub rules_broken: Vec<String>,
}

/// The day: three kills of fronts, one suspended front, a crashed node and a drained node.
#[must_use]
pub fn day(v: &Variation) -> Day {
    let fleet = Fleet {
        fronts: v.fronts,
        exchange: Some(ExchangeSettings { loss: v.loss, isolated: Vec::new() }),
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

/// Plays the day and checks it.
///
/// # Errors
/// As [`run_day`].
pub async fn rehearse(
    v: &Variation,
    program: &Path,
    dir: &Path,
    progress: impl Fn(String) + 'static,
) -> Result<DutiesReport, RunError> {
    let outcome = run_day(&day(v), program, dir, progress).await?;
    Ok(report(v, &outcome))
}

fn report(v: &Variation, outcome: &RunResult) -> DutiesReport {
    let lines = &outcome.lines;
    let begin = lines.iter().find(|l| matches!(l.event, Event::RequestSent { .. })).map_or(0, |l| l.unix_ns)
        / 1_000_000;
    let from_ms = begin + (SETTLED_S * 1e3) as u64;
    // The check ends when the first front is asked to shut down.
    let ends =
        lines.iter().find(|l| matches!(l.event, Event::FrontStop { .. })).map_or(u64::MAX, |l| l.unix_ns);
    let to_ms = ends / 1_000_000;
    let gap_ms = ((2.0 * PERIOD_S + SUSPICION_S) * 1e3) as u64;
    let max_in_window = (5.0 * WINDOW as f64) as usize;
    let limits = CoverageLimits {
        period_ms: (PERIOD_S * 1e3) as u64,
        max_gap_ms: gap_ms,
        window_periods: WINDOW,
        max_in_window,
    };
    let received: Vec<Probe> =
        probes(lines).into_iter().filter(|p| (from_ms..to_ms).contains(&p.t_ms)).collect();
    let intervals = ready_intervals(lines, from_ms, to_ms);
    let kills: Vec<u64> = lines
        .iter()
        .filter(|l| matches!(l.event, Event::FrontKilled { .. }))
        .map(|l| l.unix_ns / 1_000_000)
        .collect();
    let after = kills.iter().map(|t| {
        let within = |l: &ReadyInterval| ReadyInterval {
            from_ms: l.from_ms.max(*t),
            to_ms: l.to_ms.min(t + gap_ms),
            ..l.clone()
        };
        let after_kill: Vec<ReadyInterval> =
            intervals.iter().map(within).filter(|l| l.from_ms < l.to_ms).collect();
        check(&received, &after_kill, &limits).longest_gap_ms
    });
    DutiesReport {
        loss: v.loss,
        longest_gap_after_kill_ms: after.max().unwrap_or(0),
        coverage: check(&received, &intervals, &limits),
        gap_bound_ms: gap_ms,
        served_within_aim: outcome.report.served_within_aim,
        ages_ms: ages(&outcome.states),
        blind: outcome.states.iter().filter_map(|s| s["ages"]["blind"].as_u64()).sum(),
        bytes_a_second: bytes_a_second(outcome),
        rules_broken: outcome.report.rules_broken.clone(),
    }
}

/// Age of the load readings used for placement, from the state of each front.
#[must_use]
pub fn ages(states: &[serde_json::Value]) -> Vec<[u64; 3]> {
    let at = |s: &serde_json::Value, q: &str| s["ages"][q].as_u64().unwrap_or(0);
    states.iter().map(|s| [at(s, "p50_ms"), at(s, "p90_ms"), at(s, "p99_ms")]).collect()
}

fn bytes_a_second(outcome: &RunResult) -> f64 {
    let times = |l: &&Line| matches!(l.event, Event::RequestSent { .. });
    let first = outcome.lines.iter().find(times).map_or(0, |l| l.unix_ns);
    let last = outcome.lines.iter().rev().find(times).map_or(0, |l| l.unix_ns);
    // The counter of a killed front restarts from 0, so the largest counter gives the rate.
    let most = outcome.states.iter().filter_map(|s| s["exchange"]["sent_bytes"].as_u64()).max();
    most.unwrap_or(0) as f64 / ((last - first) as f64 / 1e9).max(1.0)
}

/// The probes that nodes recorded.
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

/// The intervals in which nodes must be probed: while they are `ready` in the lists of all running fronts.
#[must_use]
pub fn ready_intervals(lines: &[Line], from_ms: u64, to_ms: u64) -> Vec<ReadyInterval> {
    let mut out = Vec::new();
    let mut ready: BTreeMap<String, u64> = BTreeMap::new();
    // A restart ends the interval too: the list may show the end of the former process late.
    for line in lines {
        let t = line.unix_ns / 1_000_000;
        match &line.event {
            Event::ListPublished { node, state, .. } if state == "ready" => {
                ready.entry(node.clone()).or_insert(t);
            }
            Event::ListPublished { node, .. } => close_interval(&mut out, &mut ready, node, t),
            Event::NodeStart { .. } => close_interval(&mut out, &mut ready, &line.source, t),
            Event::FaultInjected { kind, detail } if kind == "begins" && detail.contains("\"crash\"") => {
                // A killed node records nothing, and the list shows its end later.
                let all: Vec<String> = ready.keys().cloned().collect();
                for node in all {
                    let i = node.trim_start_matches("node-");
                    if detail.contains(&format!("[{i}]")) {
                        close_interval(&mut out, &mut ready, &node, t);
                    }
                }
            }
            _ => {}
        }
    }
    let open: Vec<String> = ready.keys().cloned().collect();
    open.iter().for_each(|node| close_interval(&mut out, &mut ready, node, to_ms));
    let within =
        |l: ReadyInterval| ReadyInterval { from_ms: l.from_ms.max(from_ms), to_ms: l.to_ms.min(to_ms), ..l };
    out.into_iter().map(within).filter(|l| l.from_ms < l.to_ms).collect()
}

fn close_interval(out: &mut Vec<ReadyInterval>, ready: &mut BTreeMap<String, u64>, node: &str, to_ms: u64) {
    if let Some(from_ms) = ready.remove(node) {
        out.push(ReadyInterval { node: node.to_owned(), from_ms, to_ms });
    }
}
