//! Figures of a run, from the record.

use crate::checker::Violation;
use hdrhistogram::Histogram;
use pepperhook_playout::record::{Event, Line};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// What a run came to. All figures are simulated: the nodes are stand-ins.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The day.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// Requests.
    pub requests: u64,
    /// Answers by kind; what was left without one by how that came.
    pub answers: BTreeMap<String, u64>,
    /// Attempts at nodes.
    pub attempts: u64,
    /// Rules broken; empty where all were kept.
    pub rules_broken: Vec<String>,
    /// Median set-up of sessions that played, milliseconds.
    pub set_up_p50_ms: f64,
    /// 99 in 100 took less, milliseconds.
    pub set_up_p99_ms: f64,
    /// Share of the sessions that played which did so within the aim.
    pub within_aim: f64,
    /// Share of all requests that played within the aim; who comes again counts each time.
    pub served_within_aim: f64,
    /// Viewers, each for its title; who comes again is one.
    pub viewers: u64,
    /// Share of the viewers who came to play, whenever that was.
    pub viewers_served: f64,
    /// Rung changes at nodes, the first of each session not counted.
    pub rung_changes: u64,
    /// Mean rung over the time that sessions played at nodes.
    pub mean_rung: f64,
    /// Times that a front asked a node for its load.
    pub probes: u64,
    /// Ages of readings at placement by front, where the fronts tell: median, 9 in 10, 99 in 100; milliseconds.
    pub ages_ms: Vec<[u64; 3]>,
}

/// Sums a record up.
#[must_use]
pub fn sum_up(day: &str, seed: u64, lines: &[Line], violations: &[Violation], aim_s: f64) -> Report {
    let mut asked = BTreeMap::new();
    let (mut answers, mut attempts, mut layers) =
        (BTreeMap::<String, u64>::new(), 0, BTreeMap::<&str, u64>::new());
    let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).expect("constant bounds");
    let mut within = 0u64;
    let (mut viewers, mut served) = (BTreeSet::new(), BTreeSet::new());
    let mut lines: Vec<&Line> = lines.iter().collect();
    lines.sort_by_key(|l| l.unix_ns);
    let (mut rungs, mut probes) = (BTreeMap::<&str, (u64, u8)>::new(), 0);
    let (mut played_s, mut rung_s) = (0.0, 0.0);
    let mut spell = |from: u64, to: u64, rung: u8| {
        let s = to.saturating_sub(from) as f64 / 1e9;
        played_s += s;
        rung_s += s * f64::from(rung);
    };
    for line in lines {
        let mut count = |kind: &str| *answers.entry(kind.to_owned()).or_default() += 1;
        match &line.event {
            Event::RequestSent { request, session, .. } => {
                asked.insert(*request, (line.unix_ns, session));
                viewers.insert(session);
            }
            Event::ResponseReceived { request, status, .. } => {
                count(match status {
                    201 => "playing",
                    503 => "refused",
                    504 => "failed",
                    409 => "superseded",
                    _ => "other",
                });
                if let (201, Some((t, session))) = (status, asked.get(request)) {
                    served.insert(*session);
                    let took = line.unix_ns.saturating_sub(*t);
                    times.saturating_record(took / 1_000);
                    within += u64::from(took as f64 <= aim_s * 1e9);
                }
            }
            Event::ConnectionLost { .. } => count("broke"),
            Event::TimedOut { .. } => count("gave-up"),
            Event::ViewerLeft { .. } => count("left"),
            Event::Attempt { origin, .. } => {
                attempts += 1;
                rungs.insert(origin, (line.unix_ns, 0));
            }
            Event::RungSelected { origin, rung } => {
                *layers.entry(origin).or_default() += 1;
                if let Some((since, was)) = rungs.insert(origin, (line.unix_ns, *rung)) {
                    spell(since, line.unix_ns, was);
                }
            }
            Event::SessionEnded { origin, .. } => {
                if let Some((since, was)) = rungs.remove(origin.as_str()) {
                    spell(since, line.unix_ns, was);
                }
            }
            Event::Probe { .. } => probes += 1,
            _ => {}
        }
    }
    let ms = |q| times.value_at_quantile(q) as f64 / 1_000.0;
    let share = |n: u64, of: u64| if of == 0 { 0.0 } else { n as f64 / of as f64 };
    Report {
        day: day.to_owned(),
        seed,
        requests: asked.len() as u64,
        answers,
        attempts,
        rules_broken: violations.iter().map(ToString::to_string).collect(),
        set_up_p50_ms: ms(0.5),
        set_up_p99_ms: ms(0.99),
        within_aim: share(within, times.len()),
        served_within_aim: share(within, asked.len() as u64),
        viewers: viewers.len() as u64,
        viewers_served: share(served.len() as u64, viewers.len() as u64),
        rung_changes: layers.values().map(|n| n - 1).sum(),
        mean_rung: rung_s / f64::max(played_s, 1.0),
        probes,
        ages_ms: Vec::new(),
    }
}
