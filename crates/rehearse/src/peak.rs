//! The rehearsal of an announced peak. Three runs: the event's viewers arrive without an announcement, they arrive
//! with one, and the announced peak is cancelled.

use crate::day::{Day, ExchangeSettings, FaultKind, Fleet, ScheduledFault, ViewerSettings};
use crate::runner::{RunError, RunResult, run_day};
use pepperhook_playout::record::{Event, Line};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Title of the event; an unpopular one, so that few other viewers request it.
const TITLE: u32 = 23;
/// Start of the event's arrivals, seconds from the start of the day.
const START_S: f64 = 13.0;
/// Duration of the event's arrivals, seconds.
const ARRIVALS_S: f64 = 8.0;
/// Time of the announcement, seconds from the start of the day.
const ANNOUNCED_S: f64 = 2.0;
/// Announced duration of the peak, seconds.
const LASTS_S: f64 = 12.0;
/// Lead: time before the start from which capacity is held, seconds.
const LEAD_S: f64 = 9.0;
/// Announced number of simultaneous viewers.
const VIEWERS: u32 = 45;
/// Announced rung.
const RUNG: u8 = 0;
/// Rate of that rung, kB/s.
const RUNG_KB: f64 = 200.0;
/// Time of the cancellation, seconds from the start of the day.
const CANCELLED_S: f64 = 8.0;

/// Parameters of the rehearsal.
#[derive(Clone, Debug)]
pub struct Variation {
    /// Seed.
    pub seed: u64,
    /// Number of front processes.
    pub fronts: u32,
    /// Share of the datagrams between fronts that is lost.
    pub loss: f64,
    /// Index of a front that is isolated from the others.
    pub cut: Option<u32>,
}

/// Service that one group of viewers got.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    /// Number of viewers who arrived during the event's arrivals.
    pub viewers: u64,
    /// Share of them that played within the aim, measured from their first request.
    pub within_aim: f64,
    /// Share of them that played at all.
    pub played: f64,
}

/// Results of the rehearsal; all figures are simulated.
#[derive(Clone, Debug, Serialize)]
pub struct PeakReport {
    /// Share of the datagrams between fronts that is lost.
    pub loss: f64,
    /// Index of the isolated front.
    pub cut: Option<u32>,
    /// Viewers of the event, with the announcement.
    pub event: Service,
    /// Other viewers in the same period, with the announcement.
    pub ordinary: Service,
    /// Viewers of the event, without the announcement.
    pub event_unannounced: Service,
    /// Other viewers, without the announcement.
    pub ordinary_unannounced: Service,
    /// Announced capacity, kB/s.
    pub announced_kb: f64,
    /// Capacity held by each front at the start, as a share of the announced capacity.
    pub held_at_start: BTreeMap<String, f64>,
    /// Time from the end until each front held nothing, seconds; `null` if it never held capacity.
    pub back_after_end_s: BTreeMap<String, Option<f64>>,
    /// Time from the cancellation until each front held nothing, seconds, in the cancelled run.
    pub back_after_call_off_s: BTreeMap<String, Option<f64>>,
    /// Violations of the rules in any of the runs.
    pub rules_broken: Vec<String>,
}

fn day(v: &Variation, announced: bool, cancelled: bool) -> Day {
    let between = ExchangeSettings { loss: v.loss, isolated: v.cut.into_iter().collect() };
    // Capacities at which the ordinary viewers already play near the lowest rungs.
    let fleet = Fleet {
        fronts: v.fronts,
        exchange: Some(between),
        link_kb: 5_000.0,
        uplink_kb: 17_000.0,
        ..Fleet::default()
    };
    let mut faults = Vec::new();
    let mut add = |at_s, for_s, kind| faults.push(ScheduledFault { at_s, for_s, kind });
    if announced || cancelled {
        let peak = "event".to_owned();
        let after_s = START_S - ANNOUNCED_S;
        let kind = FaultKind::Announce {
            peak,
            front: 0,
            title: TITLE,
            viewers: VIEWERS,
            rung: RUNG,
            after_s,
            lasts_s: LASTS_S,
            lead_s: LEAD_S,
        };
        add(ANNOUNCED_S, 0.0, kind);
    }
    if cancelled {
        add(CANCELLED_S, 0.0, FaultKind::CancelPeak { peak: "event".into(), front: 0 });
    } else {
        add(START_S, ARRIVALS_S, FaultKind::HotTitle { first: TITLE, titles: 1, rate: 6.0 });
    }
    let name = match (announced, cancelled) {
        (_, true) => "peak, called off",
        (true, _) => "peak, announced",
        _ => "peak, not announced",
    };
    let length_s = if cancelled { START_S } else { START_S + LASTS_S + 2.0 };
    // Rate at which the ordinary viewers alone fill the racks to their marks.
    let viewers =
        ViewerSettings { rate: 18.0, duplicate_share: 0.0, abandon_share: 0.0, ..ViewerSettings::default() };
    Day { name: name.into(), seed: v.seed, length_s, fleet, viewers, faults }
}

/// Plays the three runs and compares them.
///
/// # Errors
/// As [`run_day`].
pub async fn rehearse(
    v: &Variation,
    program: &Path,
    dir: &Path,
    progress: impl Fn(String) + Clone + 'static,
) -> Result<PeakReport, RunError> {
    let mut outcomes = Vec::new();
    for (name, announced, cancelled) in
        [("without", false, false), ("with", true, false), ("called-off", true, true)]
    {
        let dir = dir.join(name);
        std::fs::create_dir_all(&dir).map_err(|e| RunError::Io(dir.display().to_string(), e))?;
        let day = day(v, announced, cancelled);
        outcomes.push(run_day(&day, program, &dir, progress.clone()).await?);
    }
    let [without, with, cancelled] = outcomes.as_slice() else { unreachable!("three runs") };
    let announced_kb = f64::from(VIEWERS) * RUNG_KB;
    let (event, ordinary) = service(with);
    let (event_unannounced, ordinary_unannounced) = service(without);
    let start = fault_start(&with.lines, "announce").map(|t| t + ns(START_S - ANNOUNCED_S)).unwrap_or(0);
    let off = fault_start(&cancelled.lines, "call-off").unwrap_or(0);
    Ok(PeakReport {
        loss: v.loss,
        cut: v.cut,
        event,
        ordinary,
        event_unannounced,
        ordinary_unannounced,
        announced_kb,
        held_at_start: held_at(&with.lines, start, announced_kb),
        back_after_end_s: released_after(&with.lines, start + ns(LASTS_S)),
        back_after_call_off_s: released_after(&cancelled.lines, off),
        rules_broken: outcomes.iter().flat_map(|o| o.report.rules_broken.clone()).collect(),
    })
}

fn ns(s: f64) -> u64 {
    (s * 1e9) as u64
}

/// Unix time at which a scheduled fault of a kind began, nanoseconds.
fn fault_start(lines: &[Line], kind: &str) -> Option<u64> {
    let wanted = format!("\"kind\":\"{kind}\"");
    lines.iter().find(|l| matches!(&l.event, Event::FaultInjected { kind, detail } if kind == "begins" && detail.contains(&wanted))).map(|l| l.unix_ns)
}

/// Service of the event's viewers and of the others who arrived during the event's arrivals.
fn service(run: &RunResult) -> (Service, Service) {
    let begin =
        run.lines.iter().find(|l| matches!(l.event, Event::RequestSent { .. })).map_or(0, |l| l.unix_ns);
    let (from, to) = (begin + ns(START_S), begin + ns(START_S + ARRIVALS_S));
    let event = format!("title-{TITLE}");
    let mut first: BTreeMap<&str, (u64, bool)> = BTreeMap::new();
    let mut session_of: BTreeMap<u64, &str> = BTreeMap::new();
    let (mut played, mut in_time) = (BTreeSet::new(), BTreeSet::new());
    for line in &run.lines {
        match &line.event {
            Event::RequestSent { request, session, title, .. } => {
                first.entry(session).or_insert((line.unix_ns, *title == event));
                session_of.insert(*request, session);
            }
            Event::ResponseReceived { request, status: 201, .. } => {
                let Some(session) = session_of.get(request) else { continue };
                played.insert(*session);
                if first.get(session).is_some_and(|(t, _)| line.unix_ns <= t + 800_000_000) {
                    in_time.insert(*session);
                }
            }
            _ => {}
        }
    }
    let group = |of_event: bool| {
        let all: Vec<&str> = first
            .iter()
            .filter(|(_, (t, e))| (from..to).contains(t) && *e == of_event)
            .map(|(s, _)| *s)
            .collect();
        let share = |set: &BTreeSet<&str>| {
            all.iter().filter(|s| set.contains(*s)).count() as f64 / all.len().max(1) as f64
        };
        Service { viewers: all.len() as u64, within_aim: share(&in_time), played: share(&played) }
    };
    (group(true), group(false))
}

/// Capacity held by each front at a time, as a share of the announced capacity. Capacity used by viewers of the event
/// who already arrived counts as held.
fn held_at(lines: &[Line], t: u64, announced_kb: f64) -> BTreeMap<String, f64> {
    let mut out = BTreeMap::new();
    for line in lines.iter().filter(|l| l.unix_ns <= t) {
        if let Event::CapacityHeld { front, kb, .. } = &line.event {
            // An empty f64 sum is -0.0.
            out.insert(front.clone(), (kb / announced_kb).abs());
        }
    }
    out
}

/// Time after `t` at which each front reported that it holds nothing, seconds.
fn released_after(lines: &[Line], t: u64) -> BTreeMap<String, Option<f64>> {
    let mut out: BTreeMap<String, Option<f64>> = BTreeMap::new();
    let mut holding: BTreeMap<&str, bool> = BTreeMap::new();
    for line in lines {
        let Event::CapacityHeld { front, kb, .. } = &line.event else { continue };
        out.entry(front.clone()).or_default();
        let held = holding.insert(front, *kb > 0.0).unwrap_or(false);
        if *kb > 0.0 && line.unix_ns > t {
            out.insert(front.clone(), Some(f64::INFINITY));
        } else if held && *kb == 0.0 {
            out.insert(front.clone(), Some(line.unix_ns.saturating_sub(t) as f64 / 1e9));
        }
    }
    out
}
