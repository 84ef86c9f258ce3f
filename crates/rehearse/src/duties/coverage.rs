//! Checks shared duties by the probes that nodes received: gaps in coverage, duplicate probes, and the probe rate.
//!
//! The check shares no code with the fronts; its only inputs are the probes and the times at which nodes were ready.

use serde::Serialize;
use std::collections::BTreeMap;

/// A probe that a node received.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Probe {
    /// Time, milliseconds.
    pub t_ms: u64,
    /// Name of the node.
    pub node: String,
    /// Name of the front that probed.
    pub front: String,
}

/// An interval in which a node must be probed regularly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyInterval {
    /// Name of the node.
    pub node: String,
    /// Start, milliseconds.
    pub from_ms: u64,
    /// End, milliseconds.
    pub to_ms: u64,
}

/// Limits on probes.
#[derive(Clone, Copy, Debug)]
pub struct CoverageLimits {
    /// Probe period: each node should be probed once in this time, milliseconds.
    pub period_ms: u64,
    /// Maximum time between two probes of a node, milliseconds.
    pub max_gap_ms: u64,
    /// Length of the window for `max_in_window`, in periods.
    pub window_periods: u64,
    /// Maximum number of probes that a node receives in the window.
    pub max_in_window: usize,
}

/// An exceeded limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the node.
    pub node: String,
    /// Time, milliseconds.
    pub t_ms: u64,
    /// Description of what was observed.
    #[serde(rename = "what")]
    pub detail: String,
}

/// Results of the check.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Coverage {
    /// Number of probes that nodes received.
    pub probes: usize,
    /// Longest time without a probe of a ready node, milliseconds.
    pub longest_gap_ms: u64,
    /// Median time between two probes of a node, milliseconds.
    pub gap_p50_ms: u64,
    /// 99th percentile of that time, milliseconds.
    pub gap_p99_ms: u64,
    /// Share of duplicate probes: within three fifths of a period after another probe of the node.
    #[serde(rename = "twice")]
    pub duplicate_share: f64,
    /// Largest number of probes that a node received in the window.
    #[serde(rename = "most_in_window")]
    pub max_in_window: usize,
    /// Exceeded limits.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// Checks the probes of all nodes.
#[must_use]
pub fn check(probes: &[Probe], intervals: &[ReadyInterval], limits: &CoverageLimits) -> Coverage {
    let mut received: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for p in probes {
        received.entry(&p.node).or_default().push(p.t_ms);
    }
    received.values_mut().for_each(|times| times.sort_unstable());
    let mut out = Coverage { probes: probes.len(), ..Coverage::default() };
    let mut gaps = Vec::new();
    for interval in intervals {
        let empty = Vec::new();
        let times = received.get(interval.node.as_str()).unwrap_or(&empty);
        let within = times.iter().copied().filter(|t| (interval.from_ms..interval.to_ms).contains(t));
        let mut last = interval.from_ms;
        for t in within.chain([interval.to_ms]) {
            let gap = t - last;
            gaps.push(gap);
            if gap > limits.max_gap_ms {
                let what = format!("not probed for {gap} ms; {} ms is the limit", limits.max_gap_ms);
                out.violations.push(Violation { node: interval.node.clone(), t_ms: last, detail: what });
            }
            last = t;
        }
    }
    let (mut duplicates, window_ms) = (0usize, limits.period_ms * limits.window_periods);
    for (node, times) in &received {
        let mut first = None;
        for (i, t) in times.iter().enumerate() {
            match first {
                Some(begin) if *t < begin + limits.period_ms * 3 / 5 => duplicates += 1,
                _ => first = Some(*t),
            }
            let in_window = times[i..].iter().take_while(|u| **u < t + window_ms).count();
            out.max_in_window = out.max_in_window.max(in_window);
            if in_window > limits.max_in_window {
                let what = format!(
                    "probed {in_window} times in {window_ms} ms; {} times are the limit",
                    limits.max_in_window
                );
                out.violations.push(Violation { node: (*node).to_owned(), t_ms: *t, detail: what });
            }
        }
    }
    gaps.sort_unstable();
    let quantile = |part: f64| {
        let i = (gaps.len() as f64 * part) as usize;
        gaps.get(i.min(gaps.len().saturating_sub(1))).copied().unwrap_or(0)
    };
    out.longest_gap_ms = gaps.last().copied().unwrap_or(0);
    (out.gap_p50_ms, out.gap_p99_ms) = (quantile(0.5), quantile(0.99));
    out.duplicate_share = duplicates as f64 / probes.len().max(1) as f64;
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn probes(times: &[u64]) -> Vec<Probe> {
        times.iter().map(|t| Probe { t_ms: *t, node: "n".into(), front: "f".into() }).collect()
    }

    const LIMITS: CoverageLimits =
        CoverageLimits { period_ms: 1_000, max_gap_ms: 2_500, window_periods: 5, max_in_window: 8 };

    fn ready() -> [ReadyInterval; 1] {
        [ReadyInterval { node: "n".into(), from_ms: 0, to_ms: 10_000 }]
    }

    #[test]
    fn regular_coverage_passes() {
        let times: Vec<u64> = (0..10).map(|i| i * 1_000 + 300).collect();
        let c = check(&probes(&times), &ready(), &LIMITS);
        assert!(c.violations.is_empty(), "{c:?}");
        assert_eq!(
            (c.longest_gap_ms, c.gap_p50_ms, c.max_in_window, c.duplicate_share),
            (1_000, 1_000, 5, 0.0)
        );
    }

    #[test]
    fn planted_gaps_are_found_in_the_middle_and_at_both_ends() {
        for missing in [0..4, 3..6, 7..10] {
            let times: Vec<u64> = (0..10).filter(|i| !missing.contains(i)).map(|i| i * 1_000 + 300).collect();
            let c = check(&probes(&times), &ready(), &LIMITS);
            assert_eq!(c.violations.len(), 1, "{missing:?}: {c:?}");
        }
        assert_eq!(check(&[], &ready(), &LIMITS).violations.len(), 1, "a node that was never probed");
    }

    #[test]
    fn planted_crowds_of_probes_are_found_and_counted() {
        let mut times: Vec<u64> = (0..10).map(|i| i * 1_000 + 300).collect();
        times.extend([4_310, 4_320, 4_330, 4_340]);
        let c = check(&probes(&times), &ready(), &LIMITS);
        assert!((c.duplicate_share - 4.0 / 14.0).abs() < 1e-9);
        assert!(c.max_in_window == 9 && !c.violations.is_empty(), "{c:?}");
    }

    #[test]
    fn a_node_that_is_not_there_needs_no_coverage() {
        let intervals = [
            ReadyInterval { node: "n".into(), from_ms: 0, to_ms: 2_000 },
            ReadyInterval { node: "n".into(), from_ms: 8_000, to_ms: 10_000 },
        ];
        let c = check(&probes(&[500, 1_500, 8_400, 9_400]), &intervals, &LIMITS);
        assert!(c.violations.is_empty(), "{c:?}");
    }
}
