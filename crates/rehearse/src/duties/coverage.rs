//! Judges shared duties from what nodes heard alone: gaps in coverage, work done twice, and how much a node heard.
//!
//! Nothing here is shared with the fronts: it knows when each node was asked and when it was there to be asked.

use serde::Serialize;
use std::collections::BTreeMap;

/// A probe as its node heard it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Probe {
    /// When, milliseconds.
    pub t_ms: u64,
    /// Which node.
    pub node: String,
    /// Which front asked.
    pub front: String,
}

/// A time for which a node is to be covered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Life {
    /// Which node.
    pub node: String,
    /// From here, milliseconds ...
    pub from_ms: u64,
    /// ... to here.
    pub to_ms: u64,
}

/// What is judged.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Each node is to be asked once in this time, milliseconds.
    pub period_ms: u64,
    /// No gap is longer than this, milliseconds.
    pub gap_ms: u64,
    /// Probes that a node may hear in a window of so many periods ...
    pub window: u64,
    /// ... at most.
    pub most: usize,
}

/// A bound that was passed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which node.
    pub node: String,
    /// When, milliseconds.
    pub t_ms: u64,
    /// What was seen.
    pub what: String,
}

/// What was seen; simulated.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Coverage {
    /// Probes that nodes heard.
    pub probes: usize,
    /// Longest time in which a node that was there heard none, milliseconds.
    pub longest_gap_ms: u64,
    /// Times between two probes of a node: half of them are shorter than this, milliseconds.
    pub gap_p50_ms: u64,
    /// 99 in 100 are shorter than this.
    pub gap_p99_ms: u64,
    /// Probes that came within three fifths of a period of another, as a share of all.
    pub twice: f64,
    /// Most probes that a node heard in the window.
    pub most_in_window: usize,
    /// Bounds passed.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// Judges.
#[must_use]
pub fn check(probes: &[Probe], lives: &[Life], terms: &RuleLimits) -> Coverage {
    let mut heard: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for p in probes {
        heard.entry(&p.node).or_default().push(p.t_ms);
    }
    heard.values_mut().for_each(|times| times.sort_unstable());
    let mut out = Coverage { probes: probes.len(), ..Coverage::default() };
    let mut gaps = Vec::new();
    for life in lives {
        let empty = Vec::new();
        let times = heard.get(life.node.as_str()).unwrap_or(&empty);
        let within = times.iter().copied().filter(|t| (life.from_ms..life.to_ms).contains(t));
        let mut last = life.from_ms;
        for t in within.chain([life.to_ms]) {
            let gap = t - last;
            gaps.push(gap);
            if gap > terms.gap_ms {
                let what = format!("not asked for {gap} ms; {} ms is the bound", terms.gap_ms);
                out.violations.push(Violation { node: life.node.clone(), t_ms: last, what });
            }
            last = t;
        }
    }
    let (mut twice, span) = (0usize, terms.period_ms * terms.window);
    for (node, times) in &heard {
        let mut first = None;
        for (i, t) in times.iter().enumerate() {
            match first {
                Some(begin) if *t < begin + terms.period_ms * 3 / 5 => twice += 1,
                _ => first = Some(*t),
            }
            let in_window = times[i..].iter().take_while(|u| **u < t + span).count();
            out.most_in_window = out.most_in_window.max(in_window);
            if in_window > terms.most {
                let what =
                    format!("asked {in_window} times in {span} ms; {} times are the bound", terms.most);
                out.violations.push(Violation { node: (*node).to_owned(), t_ms: *t, what });
            }
        }
    }
    gaps.sort_unstable();
    let at = |part: f64| {
        let i = (gaps.len() as f64 * part) as usize;
        gaps.get(i.min(gaps.len().saturating_sub(1))).copied().unwrap_or(0)
    };
    out.longest_gap_ms = gaps.last().copied().unwrap_or(0);
    (out.gap_p50_ms, out.gap_p99_ms) = (at(0.5), at(0.99));
    out.twice = twice as f64 / probes.len().max(1) as f64;
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn probes(times: &[u64]) -> Vec<Probe> {
        times.iter().map(|t| Probe { t_ms: *t, node: "n".into(), front: "f".into() }).collect()
    }

    const TERMS: RuleLimits = RuleLimits { period_ms: 1_000, gap_ms: 2_500, window: 5, most: 8 };

    fn life() -> [Life; 1] {
        [Life { node: "n".into(), from_ms: 0, to_ms: 10_000 }]
    }

    #[test]
    fn regular_coverage_passes() {
        let times: Vec<u64> = (0..10).map(|i| i * 1_000 + 300).collect();
        let c = check(&probes(&times), &life(), &TERMS);
        assert!(c.violations.is_empty(), "{c:?}");
        assert_eq!((c.longest_gap_ms, c.gap_p50_ms, c.most_in_window, c.twice), (1_000, 1_000, 5, 0.0));
    }

    #[test]
    fn planted_gaps_are_found_in_the_middle_and_at_both_ends() {
        for missing in [0..4, 3..6, 7..10] {
            let times: Vec<u64> = (0..10).filter(|i| !missing.contains(i)).map(|i| i * 1_000 + 300).collect();
            let c = check(&probes(&times), &life(), &TERMS);
            assert_eq!(c.violations.len(), 1, "{missing:?}: {c:?}");
        }
        assert_eq!(check(&[], &life(), &TERMS).violations.len(), 1, "a node that nobody asked");
    }

    #[test]
    fn planted_crowds_of_probes_are_found_and_counted() {
        let mut times: Vec<u64> = (0..10).map(|i| i * 1_000 + 300).collect();
        times.extend([4_310, 4_320, 4_330, 4_340]);
        let c = check(&probes(&times), &life(), &TERMS);
        assert!((c.twice - 4.0 / 14.0).abs() < 1e-9);
        assert!(c.most_in_window == 9 && !c.violations.is_empty(), "{c:?}");
    }

    #[test]
    fn a_node_that_is_not_there_needs_no_coverage() {
        let lives = [
            Life { node: "n".into(), from_ms: 0, to_ms: 2_000 },
            Life { node: "n".into(), from_ms: 8_000, to_ms: 10_000 },
        ];
        let c = check(&probes(&[500, 1_500, 8_400, 9_400]), &lives, &TERMS);
        assert!(c.violations.is_empty(), "{c:?}");
    }
}
