//! Announcements of peaks, and their validation.

use pepperhook::TitleId;
use serde::{Deserialize, Serialize};

/// Most viewers of one peak.
pub const MAX_VIEWERS: u32 = 1_000_000;
/// Most titles of one peak.
const MAX_TITLES: usize = 16;
/// Most steps of the expected number of viewers over time.
const MAX_STEPS: usize = 32;
/// Longest duration of a peak, milliseconds.
const MAX_DURATION_MS: u64 = 24 * 3_600_000;
/// Longest time between announcement and start, milliseconds.
const MAX_AHEAD_MS: u64 = 30 * 24 * 3_600_000;
/// Longest time before the start from which capacity is reserved, milliseconds.
const MAX_LEAD_MS: u64 = 3_600_000;
/// Largest accepted difference between the clocks of two fronts, milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 30_000;

/// The announcement of a peak; JSON in the operators' interface and between fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the peak; the same in all its versions.
    pub name: String,
    /// Names of its titles.
    pub titles: Vec<String>,
    /// Name of the class of its viewers.
    pub class: String,
    /// Expected number of concurrent viewers: steps of (seconds after the start, viewers). A step lasts until the next.
    pub viewers: Vec<(u64, u32)>,
    /// Start, Unix milliseconds.
    pub start_ms: u64,
    /// End, Unix milliseconds.
    pub end_ms: u64,
    /// Time before the start from which capacity is reserved, milliseconds.
    pub lead_ms: u64,
    /// Rung whose rate is reserved for each viewer.
    #[serde(default)]
    pub rung: u8,
    /// The peak is called off.
    #[serde(default)]
    pub cancelled: bool,
}

/// An error in a field of an announcement. Its `Debug` text is logged and its JSON is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldFault {
    /// Name of the field.
    pub field: &'static str,
    /// What was found and what is expected.
    pub what: String,
}

/// The titles and classes that an announcement may refer to.
pub trait Catalogue {
    /// Id, first cell and number of cells of a title.
    fn title(&self, name: &str) -> Option<(TitleId, u32, u32)>;
    /// Index of a class and its rate at each rung, kB a second.
    fn class(&self, name: &str) -> Option<(u16, Vec<f64>)>;
}

/// A validated announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct Peak {
    /// Number of the peak: a stable hash of its name.
    pub number: u64,
    /// The announcement.
    pub announcement: Announcement,
    /// Id, first cell and number of cells of each title.
    pub titles: Vec<(TitleId, u32, u32)>,
    /// Rate reserved for each viewer, kB a second.
    pub per_viewer_kb: f64,
}

impl Announcement {
    /// Validates the announcement against the clock and the catalogue.
    ///
    /// # Errors
    /// All errors with their fields (answered with 422).
    pub fn check(
        &self,
        now_ms: u64,
        number: u64,
        catalogue: &impl Catalogue,
    ) -> Result<Peak, Vec<FieldFault>> {
        let mut errors = Vec::new();
        let mut bad = |field, what: String| errors.push(FieldFault { field, what });
        if self.name.is_empty() || self.name.len() > 64 || self.name.chars().any(char::is_control) {
            bad(
                "name",
                format!(
                    "the name has {} bytes; expected: 1 to 64 bytes without control characters",
                    self.name.len()
                ),
            );
        }
        if self.titles.is_empty() || self.titles.len() > MAX_TITLES {
            bad("titles", format!("1 to {MAX_TITLES} titles are expected; {} found", self.titles.len()));
        }
        let mut titles: Vec<(TitleId, u32, u32)> = Vec::new();
        for name in self.titles.iter().take(MAX_TITLES) {
            match catalogue.title(name) {
                Some(t) if titles.iter().any(|o| o.0 == t.0) => {
                    bad("titles", format!("title '{name}' is given twice"))
                }
                Some(t) => titles.push(t),
                None => bad("titles", format!("'{name}' is not a title")),
            }
        }
        let class = catalogue.class(&self.class);
        let mut per_viewer_kb = 0.0;
        match &class {
            None => bad("class", format!("'{}' is not a class open to viewers", self.class)),
            Some((_, rates)) => match rates.get(usize::from(self.rung)) {
                Some(rate) => per_viewer_kb = *rate,
                None => bad(
                    "rung",
                    format!(
                        "rung {} does not exist; the highest is {}",
                        self.rung,
                        rates.len().saturating_sub(1)
                    ),
                ),
            },
        }
        if self.viewers.is_empty() || self.viewers.len() > MAX_STEPS {
            bad("viewers", format!("1 to {MAX_STEPS} steps are expected; {} found", self.viewers.len()));
        }
        if let Some(w) = self.viewers.windows(2).find(|w| w[0].0 >= w[1].0) {
            bad(
                "viewers",
                format!("a step at {} s follows one at {} s; expected: ascending seconds", w[1].0, w[0].0),
            );
        }
        if let Some((_, n)) = self.viewers.iter().find(|(_, n)| *n > MAX_VIEWERS) {
            bad("viewers", format!("{n} viewers; expected: at most {MAX_VIEWERS}"));
        }
        if self.viewers.iter().all(|(_, n)| *n == 0) {
            bad("viewers", "no step has any viewers; expected: at least one above 0".into());
        }
        if self.end_ms <= self.start_ms {
            bad("end_ms", format!("the end {} is not after the start {}", self.end_ms, self.start_ms));
        } else if self.end_ms - self.start_ms > MAX_DURATION_MS {
            bad(
                "end_ms",
                format!(
                    "it lasts {} ms; expected: at most {MAX_DURATION_MS} (one day)",
                    self.end_ms - self.start_ms
                ),
            );
        }
        if self.start_ms > now_ms.saturating_add(MAX_AHEAD_MS) {
            bad(
                "start_ms",
                format!("{} is more than 30 days after the present time {now_ms}", self.start_ms),
            );
        }
        if !self.cancelled && self.end_ms.saturating_add(MAX_CLOCK_SKEW_MS) <= now_ms {
            bad("end_ms", format!("{} is in the past; the present time is {now_ms}", self.end_ms));
        }
        if self.lead_ms > MAX_LEAD_MS {
            bad("lead_ms", format!("{} found; expected: at most {MAX_LEAD_MS}", self.lead_ms));
        }
        if errors.is_empty() {
            Ok(Peak { number, announcement: self.clone(), titles, per_viewer_kb })
        } else {
            Err(errors)
        }
    }

    /// Most concurrent viewers expected between `now_ms` and `ahead_ms` later: capacity must be reserved before they come.
    #[must_use]
    pub fn expected_viewers(&self, now_ms: u64, ahead_ms: u64) -> u32 {
        let from = now_ms.max(self.start_ms);
        let until = now_ms.saturating_add(ahead_ms).max(from);
        let begin_ms = |step: &(u64, u32)| self.start_ms.saturating_add(step.0.saturating_mul(1_000));
        // The step in force at `from`, and those that begin before `until`.
        let before = self.viewers.iter().rev().find(|s| begin_ms(s) <= from).or(self.viewers.first());
        let later = self.viewers.iter().filter(|s| begin_ms(s) > from && begin_ms(s) <= until);
        before.into_iter().chain(later).map(|s| s.1).max().unwrap_or(0)
    }

    /// Most concurrent viewers that are expected at any time.
    #[must_use]
    pub fn max_viewers(&self) -> u32 {
        self.viewers.iter().map(|(_, n)| *n).max().unwrap_or(0)
    }

    /// Begin and end of the time in which capacity is reserved, Unix milliseconds.
    #[must_use]
    pub fn reserved_between(&self) -> (u64, u64) {
        (self.start_ms.saturating_sub(self.lead_ms), self.end_ms)
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// Titles 'final' and 'talk', and one class 'event' with two rungs.
    pub struct TestCatalogue;

    impl Catalogue for TestCatalogue {
        fn title(&self, name: &str) -> Option<(TitleId, u32, u32)> {
            match name {
                "final" => Some((TitleId(1), 0, 4)),
                "talk" => Some((TitleId(2), 2, 4)),
                _ => None,
            }
        }
        fn class(&self, name: &str) -> Option<(u16, Vec<f64>)> {
            (name == "event").then(|| (0, vec![200.0, 600.0]))
        }
    }

    pub fn announcement() -> Announcement {
        Announcement {
            name: "cup".into(),
            titles: vec!["final".into()],
            class: "event".into(),
            viewers: vec![(0, 10), (60, 30), (120, 5)],
            start_ms: 1_000_000,
            end_ms: 1_300_000,
            lead_ms: 60_000,
            rung: 1,
            cancelled: false,
        }
    }

    #[test]
    fn a_valid_announcement_becomes_a_peak() {
        let p = announcement().check(500_000, 7, &TestCatalogue).expect("a peak");
        assert_eq!((p.per_viewer_kb, p.titles.len(), p.announcement.max_viewers()), (600.0, 1, 30));
        let json = serde_json::to_string(&p.announcement).expect("JSON");
        assert_eq!(serde_json::from_str::<Announcement>(&json).expect("back"), p.announcement);
    }

    #[test]
    fn invalid_fields_are_reported_by_name() {
        type Change = fn(&mut Announcement);
        let cases: [(&str, Change); 12] = [
            ("name", |a| a.name.clear()),
            ("titles", |a| a.titles.clear()),
            ("titles", |a| a.titles.push("none".into())),
            ("titles", |a| a.titles.push("final".into())),
            ("class", |a| a.class = "x".into()),
            ("rung", |a| a.rung = 9),
            ("viewers", |a| a.viewers.clear()),
            ("viewers", |a| a.viewers = vec![(0, u32::MAX)]),
            ("viewers", |a| a.viewers = vec![(5, 1), (5, 2)]),
            ("end_ms", |a| a.end_ms = a.start_ms - 1),
            ("start_ms", |a| (a.start_ms, a.end_ms) = (u64::MAX - 1, u64::MAX)),
            ("lead_ms", |a| a.lead_ms = u64::MAX),
        ];
        for (field, change) in cases {
            let mut a = announcement();
            change(&mut a);
            let errors = a.check(500_000, 7, &TestCatalogue).expect_err(field);
            assert!(errors.iter().any(|f| f.field == field), "{field}: {errors:?}");
        }
        assert_eq!(announcement().check(1_400_000, 7, &TestCatalogue).expect_err("over")[0].field, "end_ms");
        assert!(
            serde_json::from_str::<Announcement>(r#"{"name":"x","viewers":[[0,-5]]}"#).is_err(),
            "negative"
        );
    }

    #[test]
    fn expected_viewers_are_the_highest_step_in_the_interval() {
        let a = announcement();
        for (now_s, ahead_s, viewers) in [
            (900, 0, 10),
            (1_000, 0, 10),
            (1_055, 0, 10),
            (1_055, 10, 30),
            (1_100, 0, 30),
            (1_119, 10, 30),
            (1_130, 10, 5),
        ] {
            assert_eq!(a.expected_viewers(now_s * 1_000, ahead_s * 1_000), viewers, "at {now_s}");
        }
    }
}
