//! Statistics of a run, computed from its record.

use crate::checker::Violation;
use hdrhistogram::Histogram;
use pepperhook_playout::record::{Event, Line};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Statistics of a run. All figures are simulated, as the nodes are.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the day.
    pub day: String,
    /// Seed of the day.
    pub seed: u64,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests by kind of answer; those without an answer by its cause.
    pub answers: BTreeMap<String, u64>,
    /// Number of attempts that nodes received.
    pub attempts: u64,
    /// Violations of the rules.
    pub rules_broken: Vec<String>,
    /// Median time from request to playing, milliseconds.
    pub set_up_p50_ms: f64,
    /// 99th percentile of that time, milliseconds.
    pub set_up_p99_ms: f64,
    /// Share of the sessions that played within the aim, among those that played.
    pub within_aim: f64,
    /// Share of the requests that played within the aim, among all requests; each retry is a request.
    pub served_within_aim: f64,
    /// Number of pairs of viewer and title; retries are not counted.
    pub viewers: u64,
    /// Share of these that played at some time.
    pub viewers_served: f64,
    /// Rung changes at nodes, without the first selection of each session.
    pub rung_changes: u64,
    /// Mean rung, weighted by playing time at nodes.
    pub mean_rung: f64,
    /// Number of load probes that nodes received.
    pub probes: u64,
    /// Age of the load readings used for placement, per front that reports it: 50th, 90th and 99th percentile,
    /// milliseconds.
    pub ages_ms: Vec<[u64; 3]>,
}

/// Computes the statistics of a record.
#[must_use]
pub fn summarize(day: &str, seed: u64, lines: &[Line], violations: &[Violation], aim_s: f64) -> Report {
    let mut requests = BTreeMap::new();
    let (mut answers, mut attempts, mut rung_selections) =
        (BTreeMap::<String, u64>::new(), 0, BTreeMap::<&str, u64>::new());
    let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).expect("constant bounds");
    let mut within_aim = 0u64;
    let (mut viewers, mut served) = (BTreeSet::new(), BTreeSet::new());
    let mut lines: Vec<&Line> = lines.iter().collect();
    lines.sort_by_key(|l| l.unix_ns);
    let (mut current_rungs, mut probes) = (BTreeMap::<&str, (u64, u8)>::new(), 0);
    let (mut played_s, mut rung_s) = (0.0, 0.0);
    let mut add_interval = |from: u64, to: u64, rung: u8| {
        let s = to.saturating_sub(from) as f64 / 1e9;
        played_s += s;
        rung_s += s * f64::from(rung);
    };
    for line in lines {
        let mut count = |kind: &str| *answers.entry(kind.to_owned()).or_default() += 1;
        match &line.event {
            Event::RequestSent { request, session, .. } => {
                requests.insert(*request, (line.unix_ns, session));
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
                if let (201, Some((t, session))) = (status, requests.get(request)) {
                    served.insert(*session);
                    let took = line.unix_ns.saturating_sub(*t);
                    times.saturating_record(took / 1_000);
                    within_aim += u64::from(took as f64 <= aim_s * 1e9);
                }
            }
            Event::ConnectionLost { .. } => count("broke"),
            Event::TimedOut { .. } => count("gave-up"),
            Event::ViewerLeft { .. } => count("left"),
            Event::Attempt { origin, .. } => {
                attempts += 1;
                current_rungs.insert(origin, (line.unix_ns, 0));
            }
            Event::RungSelected { origin, rung } => {
                *rung_selections.entry(origin).or_default() += 1;
                if let Some((since, was)) = current_rungs.insert(origin, (line.unix_ns, *rung)) {
                    add_interval(since, line.unix_ns, was);
                }
            }
            Event::SessionEnded { origin, .. } => {
                if let Some((since, was)) = current_rungs.remove(origin.as_str()) {
                    add_interval(since, line.unix_ns, was);
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
        requests: requests.len() as u64,
        answers,
        attempts,
        rules_broken: violations.iter().map(ToString::to_string).collect(),
        set_up_p50_ms: ms(0.5),
        set_up_p99_ms: ms(0.99),
        within_aim: share(within_aim, times.len()),
        served_within_aim: share(within_aim, requests.len() as u64),
        viewers: viewers.len() as u64,
        viewers_served: share(served.len() as u64, viewers.len() as u64),
        rung_changes: rung_selections.values().map(|n| n - 1).sum(),
        mean_rung: rung_s / f64::max(played_s, 1.0),
        probes,
        ages_ms: Vec::new(),
    }
}
