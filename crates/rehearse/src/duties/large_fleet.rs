//! Large fleets in one process: what a death costs, what is done twice, and how many bytes it takes.

use super::coverage::{Coverage, RuleLimits, check};
use super::simulation::{Act, Net, Options};
use serde::Serialize;

/// Coverage is judged from here; milliseconds.
const SETTLED_MS: u64 = 10_000;
/// Deaths, at these times; one front each.
const KILLS_MS: [u64; 4] = [14_000, 19_300, 24_700, 30_100];
const END_MS: u64 = 40_000;

/// What a fleet came to; simulated.
#[derive(Clone, Debug, Serialize)]
pub struct ManyReport {
    /// Fronts at the beginning.
    pub fronts: usize,
    /// Nodes.
    pub nodes: usize,
    /// Loss between fronts.
    pub loss: f64,
    /// From the tenth second to the end, with four deaths.
    pub coverage: Coverage,
    /// Bytes a second that a front sent, on the mean.
    pub bytes_a_second: f64,
    /// Datagrams a second that a front sent.
    pub datagrams_a_second: f64,
    /// Ages of readings over fronts and nodes, shared: median, 9 in 10, 99 in 100; milliseconds.
    pub shared_ages_ms: [u64; 3],
    /// Part of the pairs of front and node for which the front has a reading of its own; the others know nothing
    /// without sharing.
    pub own_known: f64,
    /// Ages of own readings alone.
    pub own_ages_ms: [u64; 3],
    /// Most fronts that one front missed in its view at the end, or held to be there though dead.
    pub view_off: usize,
}

fn quantiles(values: &mut [u64]) -> [u64; 3] {
    values.sort_unstable();
    let at = |q: f64| values.get((values.len() as f64 * q) as usize).copied().unwrap_or(0);
    [at(0.5), at(0.9), at(0.99)]
}

/// Runs a fleet with four deaths.
#[must_use]
pub fn measure(options: &Options) -> ManyReport {
    let mut net = Net::new(options.clone());
    let dead: Vec<usize> =
        (0..KILLS_MS.len()).map(|k| (k * 7 + 1) % options.fronts).take(options.fronts / 2).collect();
    for (front, at) in dead.iter().zip(KILLS_MS) {
        net.at(at, Act::Kill(*front));
    }
    net.run(SETTLED_MS);
    let (datagrams, bytes) = net.sent();
    (net.ages_ms, net.own_ages_ms) = (Vec::new(), Vec::new());
    net.run(END_MS);
    let (datagrams, bytes) = (net.sent().0 - datagrams, net.sent().1 - bytes);
    let gap_ms = 2 * options.period_ms + options.suspicion_ms;
    // The mean bound, and four standard deviations of what chance adds.
    let mean = f64::from(options.most) * 5.0;
    let most = (mean + 4.0 * mean.sqrt()) as usize;
    let terms = RuleLimits { period_ms: options.period_ms, gap_ms, window: 5, most };
    let (probes, lives) = (net.probes(SETTLED_MS, END_MS), net.lives(SETTLED_MS, END_MS));
    let living = (options.fronts - dead.len()) as f64;
    let per = |sum: u64| sum as f64 / living / ((END_MS - SETTLED_MS) as f64 / 1e3);
    let alive: Vec<usize> = (0..options.fronts).filter(|i| !dead.contains(i)).collect();
    let off = |i: &usize| {
        let view = net.view(*i);
        let missed = alive.iter().filter(|j| !view.contains(j)).count();
        missed + view.iter().filter(|j| dead.contains(j)).count()
    };
    ManyReport {
        fronts: options.fronts,
        nodes: options.nodes,
        loss: options.loss,
        coverage: check(&probes, &lives, &terms),
        bytes_a_second: per(bytes),
        datagrams_a_second: per(datagrams),
        own_known: net.own_ages_ms.len() as f64 / net.ages_ms.len().max(1) as f64,
        view_off: alive.iter().map(off).max().unwrap_or(0),
        shared_ages_ms: quantiles(&mut net.ages_ms),
        own_ages_ms: quantiles(&mut net.own_ages_ms),
    }
}
