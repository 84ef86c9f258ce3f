//! Trials: detect whether the service has become worse since a change, by comparing the shares of good requests before and
//! after it with a statistical test.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Allowed duration of a trial, seconds.
const DURATION_RANGE_S: (u32, u32) = (10, 3_600);
/// Least number of requests before and after the change for a comparison.
const MIN_REQUESTS: u64 = 200;
/// Least loss that counts as worse, standard errors. Chance alone exceeds it once in 740 trials if requests end
/// independently.
const MIN_STANDARD_ERRORS: f64 = 3.0;
/// Limit of the stored samples of totals.
const MAX_SAMPLES: usize = 128;
/// Limit of the classes in one sample.
const MAX_CLASSES: usize = 256;

/// Number of requests, and of the good ones among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All requests.
    pub total: u64,
    /// The good ones.
    pub good: u64,
}

/// Totals of the whole fleet's service since its start, as this front knows them from the other fronts' shared totals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ServiceTotals {
    /// Requests; good are those answered within their class's aim.
    pub in_time: RequestCounts,
    /// Requests; good are those that were not refused.
    pub accepted: RequestCounts,
    /// As `in_time`, by class name.
    pub classes: BTreeMap<String, RequestCounts>,
}

/// The share of requests that a trial measures.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TrialMetric {
    /// Requests answered within their class's aim.
    InTime,
    /// Requests that were not refused.
    Accepted,
    /// Requests of one class answered within its aim.
    Class(String),
}

/// Conditions under which a change is reversed because the service became worse.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Trial {
    /// What is measured.
    pub metric: TrialMetric,
    /// Length of the period before the change and of the one after it, seconds.
    pub duration_s: u32,
    /// Least loss of the share that counts, thousandths.
    pub min_loss_permille: u16,
}

/// Result of a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not worse, or not significantly.
    NotWorse,
    /// Too few requests for a comparison.
    TooFewRequests,
    /// Worse, with a description.
    Worse(String),
}

impl Trial {
    /// Whether its values are within their limits.
    pub(crate) fn is_valid(&self) -> bool {
        let named = !matches!(&self.metric, TrialMetric::Class(name) if name.len() > crate::MAX_REASON_BYTES);
        named
            && (DURATION_RANGE_S.0..=DURATION_RANGE_S.1).contains(&self.duration_s)
            && self.min_loss_permille <= 1_000
    }

    pub(crate) fn duration_ms(&self) -> u64 {
        u64::from(self.duration_s.clamp(DURATION_RANGE_S.0, DURATION_RANGE_S.1)) * 1_000
    }

    /// The counts that it measures.
    #[must_use]
    pub fn select(&self, sums: &ServiceTotals) -> RequestCounts {
        match &self.metric {
            TrialMetric::InTime => sums.in_time,
            TrialMetric::Accepted => sums.accepted,
            TrialMetric::Class(name) => sums.classes.get(name).copied().unwrap_or_default(),
        }
    }

    /// Compares two shares by the one-sided two-proportion z test with a pooled share (NIST/SEMATECH e-Handbook of
    /// Statistical Methods, 7.3.3). The test assumes that requests end independently. In fact they are correlated, so three
    /// standard errors and a least loss are required.
    #[must_use]
    pub fn evaluate(&self, before: RequestCounts, after: RequestCounts) -> Verdict {
        if before.total < MIN_REQUESTS || after.total < MIN_REQUESTS {
            return Verdict::TooFewRequests;
        }
        let share = |c: RequestCounts| c.good.min(c.total) as f64 / c.total as f64;
        let (n, m) = (before.total as f64, after.total as f64);
        let (p, q) = (share(before), share(after));
        let pooled = (p * n + q * m) / (n + m);
        let error = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
        let lost = p - q;
        // If all requests were good, or none, the error is 0 and there is no loss.
        if error > 0.0
            && lost / error >= MIN_STANDARD_ERRORS
            && lost * 1_000.0 >= f64::from(self.min_loss_permille)
        {
            let what = match &self.metric {
                TrialMetric::InTime => "in time".to_owned(),
                TrialMetric::Accepted => "not refused".to_owned(),
                TrialMetric::Class(name) => format!("of class {name} in time"),
            };
            let (p, q) = (p * 100.0, q * 100.0);
            return Verdict::Worse(format!(
                "{what}: {q:.1}% of {} after, {p:.1}% of {} before, {:.1} standard errors",
                after.total,
                before.total,
                lost / error
            ));
        }
        Verdict::NotWorse
    }
}

impl RequestCounts {
    /// The requests since an earlier moment; `None` if the totals went back, as they do when a front's totals are lost.
    #[must_use]
    pub fn since(self, then: Self) -> Option<Self> {
        Some(Self { total: self.total.checked_sub(then.total)?, good: self.good.checked_sub(then.good)? })
    }
}

/// Samples of the totals of about the last hour, at most [`MAX_SAMPLES`], each with its time in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    samples: VecDeque<(u64, ServiceTotals)>,
    last: ServiceTotals,
}

impl History {
    pub(crate) fn record_service(&mut self, now_ms: u64, sums: ServiceTotals) {
        let interval_ms = u64::from(DURATION_RANGE_S.1) * 1_000 / (MAX_SAMPLES as u64 - 1);
        // The first samples are taken at shorter intervals, so that a short trial finds a baseline.
        let dense = self.samples.len() < MAX_SAMPLES / 2;
        let due = self
            .samples
            .back()
            .is_none_or(|(at, _)| now_ms.saturating_sub(*at) >= if dense { 1_000 } else { interval_ms });
        if sums.classes.len() > MAX_CLASSES {
            return;
        }
        if due {
            if self.samples.len() >= MAX_SAMPLES {
                self.samples.pop_front();
            }
            self.samples.push_back((now_ms, sums.clone()));
        }
        self.last = sums;
    }

    pub(crate) fn last(&self) -> &ServiceTotals {
        &self.last
    }

    /// The requests that a trial measures, over a period of its length until now; `None` if the samples do not reach back
    /// that far.
    pub(crate) fn baseline(&self, now_ms: u64, trial: &Trial) -> Option<RequestCounts> {
        let from = now_ms.checked_sub(trial.duration_ms())?;
        let (_, then) = self.samples.iter().rev().find(|(at, _)| *at <= from)?;
        trial.select(&self.last).since(trial.select(then))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn trial(least: u16) -> Trial {
        Trial { metric: TrialMetric::InTime, duration_s: 60, min_loss_permille: least }
    }

    fn counts(well: u64, of: u64) -> RequestCounts {
        RequestCounts { total: of, good: well }
    }

    #[test]
    fn worse_is_told_from_noise() {
        // Calculated by hand: 990 and 960 of 1,000 have a pooled share of 0.975; 0.03 / sqrt(0.975 * 0.025 * 0.002) = 4.297.
        let Verdict::Worse(reason) = trial(10).evaluate(counts(990, 1_000), counts(960, 1_000)) else {
            panic!("worse")
        };
        assert_eq!(reason, "in time: 96.0% of 1000 after, 99.0% of 1000 before, 4.3 standard errors");
        // 990 and 978: 0.012 / sqrt(0.984 * 0.016 * 0.002) = 2.14.
        assert_eq!(trial(10).evaluate(counts(990, 1_000), counts(978, 1_000)), Verdict::NotWorse);
        assert_eq!(
            trial(40).evaluate(counts(990, 1_000), counts(960, 1_000)),
            Verdict::NotWorse,
            "less than what counts"
        );
        assert_eq!(trial(0).evaluate(counts(960, 1_000), counts(990, 1_000)), Verdict::NotWorse, "better");
        assert_eq!(
            trial(0).evaluate(counts(1_000, 1_000), counts(1_000, 1_000)),
            Verdict::NotWorse,
            "no variance"
        );
        assert_eq!(trial(0).evaluate(counts(199, 199), counts(0, 1_000)), Verdict::TooFewRequests);
    }

    /// Draws both sides with the same share of good requests: the trial finds them worse about as rarely as three standard
    /// errors imply.
    #[test]
    fn chance_alone_is_rarely_called_worse() {
        let mut x = 1u64;
        let mut well = |n: u64| {
            let hit = |_| {
                x ^= x << 13;
                x ^= x >> 7;
                x ^= x << 17;
                x % 100 < 95
            };
            (0..n).map(hit).filter(|h| *h).count() as u64
        };
        let runs = 4_000;
        let worse = (0..runs).filter(|_| {
            let (a, b) = (counts(well(1_000), 1_000), counts(well(1_000), 1_000));
            matches!(trial(0).evaluate(a, b), Verdict::Worse(_))
        });
        let worse = worse.count();
        // 5.4 are expected of 4,000.
        assert!((1..=15).contains(&worse), "{worse} of {runs}");
    }

    #[test]
    fn sums_that_went_back_or_are_too_young_say_nothing() {
        let mut h = History::default();
        let sums = |of| ServiceTotals { in_time: counts(of, of), ..ServiceTotals::default() };
        for s in 0..100u64 {
            h.record_service(s * 1_000, sums(s * 10));
        }
        assert_eq!(h.baseline(99_000, &trial(0)).map(|c| c.total > 500), Some(true));
        assert_eq!(h.baseline(59_000, &trial(0)), None);
        h.record_service(100_000, sums(3));
        assert_eq!(h.baseline(100_000, &trial(0)), None);
        for s in 100..1_000_000u64 {
            h.record_service(s * 1_000, sums(s));
        }
        assert!(h.samples.len() <= MAX_SAMPLES);
    }
}
