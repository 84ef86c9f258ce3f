//! Whether service has become worse since a change: two shares compared, with a bound on noise.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Seconds of a trial.
const TIME_S: (u32, u32) = (10, 3_600);
/// Requests on either side that a share is judged by at least.
const LEAST_REQUESTS: u64 = 200;
/// Worse counts only beyond so many standard errors: one time in 740 by chance, if requests end independently.
const NOISE: f64 = 3.0;
/// Samples of sums that are kept, and classes in one.
const MOST_SAMPLES: usize = 128;
/// Classes of a sample at most.
const MOST_CLASSES: usize = 256;

/// Requests, and those of them that went well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// All.
    pub of: u64,
    /// Those that went well.
    pub well: u64,
}

/// What the whole fleet served, counted up since it began, as this front knows it from the others' replicated sums.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Sums {
    /// Requests, and those answered within their class's aim.
    pub in_time: Counts,
    /// Requests, and those that were not refused.
    pub taken: Counts,
    /// As `in_time`, by class.
    pub classes: BTreeMap<String, Counts>,
}

/// The share that a trial watches.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Watch {
    /// Requests answered within their class's aim.
    InTime,
    /// Requests that were not refused.
    Taken,
    /// Requests of one class answered within its aim.
    Class(String),
}

/// A change that is undone if service becomes worse by it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Trial {
    /// What is watched.
    pub watch: Watch,
    /// For so long, before the change and after it, seconds.
    pub time_s: u32,
    /// A loss of less than so many thousandths does not count.
    pub least: u16,
}

/// What a trial came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not worse, or not by more than noise.
    Kept,
    /// Too few requests to say.
    Few,
    /// Worse; in words.
    Worse(String),
}

impl Trial {
    /// Whether it can be carried out.
    pub(crate) fn is_sound(&self) -> bool {
        let named = !matches!(&self.watch, Watch::Class(name) if name.len() > crate::MOST_WHY);
        named && (TIME_S.0..=TIME_S.1).contains(&self.time_s) && self.least <= 1_000
    }

    pub(crate) fn time_ms(&self) -> u64 {
        u64::from(self.time_s.clamp(TIME_S.0, TIME_S.1)) * 1_000
    }

    /// The counts that it watches.
    #[must_use]
    pub fn of(&self, sums: &Sums) -> Counts {
        match &self.watch {
            Watch::InTime => sums.in_time,
            Watch::Taken => sums.taken,
            Watch::Class(name) => sums.classes.get(name).copied().unwrap_or_default(),
        }
    }

    /// Compares two shares by the two-proportion z test with a pooled share, one-sided (NIST/SEMATECH e-Handbook of
    /// Statistical Methods, 7.3.3). It takes requests to end independently; as they come in clumps, 3 standard errors and
    /// a least loss are asked for.
    #[must_use]
    pub fn judge(&self, before: Counts, after: Counts) -> Verdict {
        if before.of < LEAST_REQUESTS || after.of < LEAST_REQUESTS {
            return Verdict::Few;
        }
        let share = |c: Counts| c.well.min(c.of) as f64 / c.of as f64;
        let (n, m) = (before.of as f64, after.of as f64);
        let (p, q) = (share(before), share(after));
        let pooled = (p * n + q * m) / (n + m);
        let error = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
        let lost = p - q;
        // Without any variance there is no loss either.
        if error > 0.0 && lost / error >= NOISE && lost * 1_000.0 >= f64::from(self.least) {
            let what = match &self.watch {
                Watch::InTime => "in time".to_owned(),
                Watch::Taken => "not refused".to_owned(),
                Watch::Class(name) => format!("of class {name} in time"),
            };
            let (p, q) = (p * 100.0, q * 100.0);
            return Verdict::Worse(format!(
                "{what}: {q:.1}% of {} after, {p:.1}% of {} before, {:.1} standard errors",
                after.of,
                before.of,
                lost / error
            ));
        }
        Verdict::Kept
    }
}

impl Counts {
    /// What came since; `None` if the sums went back, as when a front's are lost.
    #[must_use]
    pub fn since(self, then: Self) -> Option<Self> {
        Some(Self { of: self.of.checked_sub(then.of)?, well: self.well.checked_sub(then.well)? })
    }
}

/// Sums of the last hour or so, at most [`MOST_SAMPLES`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    samples: VecDeque<(u64, Sums)>,
    last: Sums,
}

impl History {
    pub(crate) fn served(&mut self, now_ms: u64, sums: Sums) {
        let apart = u64::from(TIME_S.1) * 1_000 / (MOST_SAMPLES as u64 - 1);
        // The first minutes are kept closer, so that a short trial has a before.
        let near = self.samples.len() < MOST_SAMPLES / 2;
        let due = self
            .samples
            .back()
            .is_none_or(|(at, _)| now_ms.saturating_sub(*at) >= if near { 1_000 } else { apart });
        if sums.classes.len() > MOST_CLASSES {
            return;
        }
        if due {
            if self.samples.len() >= MOST_SAMPLES {
                self.samples.pop_front();
            }
            self.samples.push_back((now_ms, sums.clone()));
        }
        self.last = sums;
    }

    pub(crate) fn last(&self) -> &Sums {
        &self.last
    }

    /// What a trial would watch, over its time until now; `None` if this front has not known the sums for so long.
    pub(crate) fn before(&self, now_ms: u64, trial: &Trial) -> Option<Counts> {
        let from = now_ms.checked_sub(trial.time_ms())?;
        let (_, then) = self.samples.iter().rev().find(|(at, _)| *at <= from)?;
        trial.of(&self.last).since(trial.of(then))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn trial(least: u16) -> Trial {
        Trial { watch: Watch::InTime, time_s: 60, least }
    }

    fn counts(well: u64, of: u64) -> Counts {
        Counts { of, well }
    }

    #[test]
    fn worse_is_told_from_noise() {
        // By hand: 990 and 960 of 1,000 pool to 0.975; 0.03 / sqrt(0.975 * 0.025 * 0.002) = 4.297.
        let Verdict::Worse(why) = trial(10).judge(counts(990, 1_000), counts(960, 1_000)) else {
            panic!("worse")
        };
        assert_eq!(why, "in time: 96.0% of 1000 after, 99.0% of 1000 before, 4.3 standard errors");
        // 990 and 978: 0.012 / sqrt(0.984 * 0.016 * 0.002) = 2.14.
        assert_eq!(trial(10).judge(counts(990, 1_000), counts(978, 1_000)), Verdict::Kept);
        assert_eq!(
            trial(40).judge(counts(990, 1_000), counts(960, 1_000)),
            Verdict::Kept,
            "less than what counts"
        );
        assert_eq!(trial(0).judge(counts(960, 1_000), counts(990, 1_000)), Verdict::Kept, "better");
        assert_eq!(trial(0).judge(counts(1_000, 1_000), counts(1_000, 1_000)), Verdict::Kept, "no variance");
        assert_eq!(trial(0).judge(counts(199, 199), counts(0, 1_000)), Verdict::Few);
    }

    /// Both sides drawn from one share: worse is found about as rarely as the bound says.
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
            matches!(trial(0).judge(a, b), Verdict::Worse(_))
        });
        let worse = worse.count();
        // 5.4 are expected of 4,000.
        assert!((1..=15).contains(&worse), "{worse} of {runs}");
    }

    #[test]
    fn sums_that_went_back_or_are_too_young_say_nothing() {
        let mut h = History::default();
        let sums = |of| Sums { in_time: counts(of, of), ..Sums::default() };
        for s in 0..100u64 {
            h.served(s * 1_000, sums(s * 10));
        }
        assert_eq!(h.before(99_000, &trial(0)).map(|c| c.of > 500), Some(true));
        assert_eq!(h.before(59_000, &trial(0)), None);
        h.served(100_000, sums(3));
        assert_eq!(h.before(100_000, &trial(0)), None);
        for s in 100..1_000_000u64 {
            h.served(s * 1_000, sums(s));
        }
        assert!(h.samples.len() <= MOST_SAMPLES);
    }
}
