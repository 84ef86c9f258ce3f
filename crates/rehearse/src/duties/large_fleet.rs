//! Measures large fleets in one process: coverage after the failure of fronts, duplicate probes, and traffic.

use super::coverage::{Coverage, CoverageLimits, check};
use super::simulation::{Action, Options, Simulation};
use serde::Serialize;

/// Start of the measurement, milliseconds; until then the fronts discover each other.
const SETTLED_MS: u64 = 10_000;
/// Times at which one front each is killed, milliseconds.
const KILLS_MS: [u64; 4] = [14_000, 19_300, 24_700, 30_100];
/// End of the measurement, milliseconds.
const END_MS: u64 = 40_000;

/// Results of a measurement; all figures are simulated.
#[derive(Clone, Debug, Serialize)]
pub struct ManyReport {
    /// Number of fronts at the start.
    pub fronts: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Share of the datagrams between fronts that is lost.
    pub loss: f64,
    /// Coverage from the tenth second to the end, during which four fronts are killed.
    pub coverage: Coverage,
    /// Mean rate that a front sent, bytes per second.
    pub bytes_a_second: f64,
    /// Mean rate that a front sent, datagrams per second.
    pub datagrams_a_second: f64,
    /// Age of the latest reading over all pairs of front and node: 50th, 90th and 99th percentile, milliseconds.
    pub shared_ages_ms: [u64; 3],
    /// Share of the pairs of front and node with a reading by the front itself. Without sharing, the other pairs would
    /// have none.
    pub own_known: f64,
    /// The same percentiles for readings by the front itself, milliseconds.
    pub own_ages_ms: [u64; 3],
    /// Largest number of errors in the view of a front at the end: live fronts missing and killed fronts present.
    pub view_off: usize,
}

fn quantiles(values: &mut [u64]) -> [u64; 3] {
    values.sort_unstable();
    let at = |q: f64| values.get((values.len() as f64 * q) as usize).copied().unwrap_or(0);
    [at(0.5), at(0.9), at(0.99)]
}

/// Runs a fleet in which up to four fronts are killed.
#[must_use]
pub fn measure(options: &Options) -> ManyReport {
    let mut net = Simulation::new(options.clone());
    let killed: Vec<usize> =
        (0..KILLS_MS.len()).map(|k| (k * 7 + 1) % options.fronts).take(options.fronts / 2).collect();
    for (front, at) in killed.iter().zip(KILLS_MS) {
        net.at(at, Action::Kill(*front));
    }
    net.run(SETTLED_MS);
    let (datagrams, bytes) = net.sent();
    (net.ages_ms, net.own_ages_ms) = (Vec::new(), Vec::new());
    net.run(END_MS);
    let (datagrams, bytes) = (net.sent().0 - datagrams, net.sent().1 - bytes);
    let gap_ms = 2 * options.period_ms + options.suspicion_ms;
    // The limit on the mean, plus four standard deviations of a Poisson count.
    let mean = f64::from(options.max_runs_per_period) * 5.0;
    let max_in_window = (mean + 4.0 * mean.sqrt()) as usize;
    let limits =
        CoverageLimits { period_ms: options.period_ms, max_gap_ms: gap_ms, window_periods: 5, max_in_window };
    let (probes, intervals) = (net.probes(SETTLED_MS, END_MS), net.ready_intervals(SETTLED_MS, END_MS));
    let survivors = (options.fronts - killed.len()) as f64;
    let per_front_s = |sum: u64| sum as f64 / survivors / ((END_MS - SETTLED_MS) as f64 / 1e3);
    let alive: Vec<usize> = (0..options.fronts).filter(|i| !killed.contains(i)).collect();
    let view_errors = |i: &usize| {
        let view = net.view(*i);
        let missed = alive.iter().filter(|j| !view.contains(j)).count();
        missed + view.iter().filter(|j| killed.contains(j)).count()
    };
    ManyReport {
        fronts: options.fronts,
        nodes: options.nodes,
        loss: options.loss,
        coverage: check(&probes, &intervals, &limits),
        bytes_a_second: per_front_s(bytes),
        datagrams_a_second: per_front_s(datagrams),
        own_known: net.own_ages_ms.len() as f64 / net.ages_ms.len().max(1) as f64,
        view_off: alive.iter().map(view_errors).max().unwrap_or(0),
        shared_ages_ms: quantiles(&mut net.ages_ms),
        own_ages_ms: quantiles(&mut net.own_ages_ms),
    }
}
