//! The rehearsal of an announced peak: the same crowd with and without the announcement, and one called off.

use crate::day::{Day, ExchangeSettings, FaultKind, Fleet, ScheduledFault, ViewerSettings};
use crate::runner::{RunError, RunResult, run_day};
use pepperhook_playout::record::{Event, Line};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The event's title: one that few usual viewers want.
const TITLE: u32 = 23;
/// The crowd comes from here for so long; seconds from the first arrival.
const START_S: f64 = 13.0;
const CROWD_S: f64 = 8.0;
/// The peak is announced here, lasts so long, and room is held from so long before.
const ANNOUNCED_S: f64 = 2.0;
const LASTS_S: f64 = 12.0;
const LEAD_S: f64 = 9.0;
/// Viewers and rung that are announced, and the rate of that rung, kB a second.
const VIEWERS: u32 = 45;
const RUNG: u8 = 0;
const RUNG_KB: f64 = 200.0;
/// In the run that is called off: when.
const CALLED_OFF_S: f64 = 8.0;

/// What is varied.
#[derive(Clone, Debug)]
pub struct Variation {
    /// Seed.
    pub seed: u64,
    /// Front processes.
    pub fronts: u32,
    /// Part of the datagrams between them that is lost.
    pub loss: f64,
    /// A front that is cut off from the others.
    pub cut: Option<u32>,
}

/// How one group of viewers fared.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    /// Viewers who came in the crowd's time.
    pub viewers: u64,
    /// Share of them that played within the aim, counted from their first request.
    pub within_aim: f64,
    /// Share that played at all.
    pub played: f64,
}

/// What a rehearsal came to; simulated.
#[derive(Clone, Debug, Serialize)]
pub struct PeakReport {
    /// Loss between the fronts.
    pub loss: f64,
    /// The front that was cut off.
    pub cut: Option<u32>,
    /// Viewers of the event, with the announcement.
    pub event: Service,
    /// Others at the same time, with it.
    pub ordinary: Service,
    /// Viewers of the event, without.
    pub event_unannounced: Service,
    /// Others, without.
    pub ordinary_unannounced: Service,
    /// Room announced, kB a second.
    pub announced_kb: f64,
    /// Room held at the start by each front, as part of what was announced.
    pub held_at_start: BTreeMap<String, f64>,
    /// Seconds from the end until each front held nothing; `null` where it never held.
    pub back_after_end_s: BTreeMap<String, Option<f64>>,
    /// Seconds from the call-off until each front held nothing, in a run of its own.
    pub back_after_call_off_s: BTreeMap<String, Option<f64>>,
    /// Rules broken in any of the runs.
    pub rules_broken: Vec<String>,
}

fn day(v: &Variation, announced: bool, called_off: bool) -> Day {
    let between = ExchangeSettings { loss: v.loss, cut: v.cut.into_iter().collect() };
    // Links and uplinks at which the usual viewers already play near the lowest rungs.
    let fleet = Fleet {
        fronts: v.fronts,
        exchange: Some(between),
        link_kb: 5_000.0,
        uplink_kb: 17_000.0,
        ..Fleet::default()
    };
    let mut faults = Vec::new();
    let mut add = |at_s, for_s, kind| faults.push(ScheduledFault { at_s, for_s, kind });
    if announced || called_off {
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
    if called_off {
        add(CALLED_OFF_S, 0.0, FaultKind::CallOff { peak: "event".into(), front: 0 });
    } else {
        add(START_S, CROWD_S, FaultKind::HotTitle { first: TITLE, titles: 1, rate: 6.0 });
    }
    let name = match (announced, called_off) {
        (_, true) => "peak, called off",
        (true, _) => "peak, announced",
        _ => "peak, not announced",
    };
    let length_s = if called_off { START_S } else { START_S + LASTS_S + 2.0 };
    // Ordinary viewers alone fill the racks to their marks.
    let viewers = ViewerSettings { rate: 18.0, twice: 0.0, impatient: 0.0, ..ViewerSettings::default() };
    Day { name: name.into(), seed: v.seed, length_s, fleet, viewers, faults }
}

/// Runs all three and compares.
///
/// # Errors
/// As `play`.
pub async fn rehearse(
    v: &Variation,
    program: &Path,
    dir: &Path,
    tell: impl Fn(String) + Clone + 'static,
) -> Result<PeakReport, RunError> {
    let mut outcomes = Vec::new();
    for (name, announced, called_off) in
        [("without", false, false), ("with", true, false), ("called-off", true, true)]
    {
        let dir = dir.join(name);
        std::fs::create_dir_all(&dir).map_err(|e| RunError::Io(dir.display().to_string(), e))?;
        let day = day(v, announced, called_off);
        outcomes.push(run_day(&day, program, &dir, tell.clone()).await?);
    }
    let [without, with, called_off] = outcomes.as_slice() else { unreachable!("three runs") };
    let announced_kb = f64::from(VIEWERS) * RUNG_KB;
    let (event, ordinary) = service(with);
    let (event_unannounced, ordinary_unannounced) = service(without);
    let start = moment(&with.lines, "announce").map(|t| t + ns(START_S - ANNOUNCED_S)).unwrap_or(0);
    let off = moment(&called_off.lines, "call-off").unwrap_or(0);
    Ok(PeakReport {
        loss: v.loss,
        cut: v.cut,
        event,
        ordinary,
        event_unannounced,
        ordinary_unannounced,
        announced_kb,
        held_at_start: at(&with.lines, start, announced_kb),
        back_after_end_s: back_after(&with.lines, start + ns(LASTS_S)),
        back_after_call_off_s: back_after(&called_off.lines, off),
        rules_broken: outcomes.iter().flat_map(|o| o.report.rules_broken.clone()).collect(),
    })
}

fn ns(s: f64) -> u64 {
    (s * 1e9) as u64
}

/// When a trouble of a kind began.
fn moment(lines: &[Line], kind: &str) -> Option<u64> {
    let wanted = format!("\"kind\":\"{kind}\"");
    lines.iter().find(|l| matches!(&l.event, Event::FaultInjected { kind, detail } if kind == "begins" && detail.contains(&wanted))).map(|l| l.unix_ns)
}

/// The event's viewers and the others, of those who came in the crowd's time.
fn service(o: &RunResult) -> (Service, Service) {
    let begin =
        o.lines.iter().find(|l| matches!(l.event, Event::RequestSent { .. })).map_or(0, |l| l.unix_ns);
    let (from, to) = (begin + ns(START_S), begin + ns(START_S + CROWD_S));
    let event = format!("title-{TITLE}");
    let mut first: BTreeMap<&str, (u64, bool)> = BTreeMap::new();
    let mut session_of: BTreeMap<u64, &str> = BTreeMap::new();
    let (mut played, mut in_time) = (BTreeSet::new(), BTreeSet::new());
    for line in &o.lines {
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

/// What each front held at a moment, as part of what was announced; own viewers who came already count as held.
fn at(lines: &[Line], t: u64, announced_kb: f64) -> BTreeMap<String, f64> {
    let mut out = BTreeMap::new();
    for line in lines.iter().filter(|l| l.unix_ns <= t) {
        if let Event::CapacityHeld { front, kb, .. } = &line.event {
            // A sum of nothing is minus zero.
            out.insert(front.clone(), (kb / announced_kb).abs());
        }
    }
    out
}

/// Seconds after a moment at which each front was seen to hold nothing any more.
fn back_after(lines: &[Line], t: u64) -> BTreeMap<String, Option<f64>> {
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
