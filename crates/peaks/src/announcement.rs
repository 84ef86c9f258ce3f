//! What an operator announces, and its checks.

use pepperhook::TitleId;
use serde::{Deserialize, Serialize};

/// Viewers of one peak at most.
pub const MOST_VIEWERS: u32 = 1_000_000;
/// Titles of one peak at most.
const MOST_TITLES: usize = 16;
/// Steps of the expected course at most.
const MOST_STEPS: usize = 32;
/// A peak lasts so long at most, and is announced so long ahead at most, milliseconds.
const LONGEST_MS: u64 = 24 * 3_600_000;
const AHEAD_MS: u64 = 30 * 24 * 3_600_000;
/// Room is held so long ahead of the start at most, milliseconds.
const MOST_LEAD_MS: u64 = 3_600_000;
/// Clocks of fronts may differ by this much, milliseconds.
pub(crate) const SKEW_MS: u64 = 30_000;

/// A peak as it is announced and as it travels between fronts, as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Its name; the same for all its versions.
    pub name: String,
    /// Titles, by name.
    pub titles: Vec<String>,
    /// Class of its viewers.
    pub class: String,
    /// Expected viewers at once: seconds from the start, and how many. Between two steps it is the earlier one.
    pub viewers: Vec<(u64, u32)>,
    /// Start, Unix milliseconds.
    pub start_ms: u64,
    /// End, Unix milliseconds.
    pub end_ms: u64,
    /// Room is held from so long before the start, milliseconds.
    pub lead_ms: u64,
    /// Rung that is held for each viewer.
    #[serde(default)]
    pub rung: u8,
    /// Called off.
    #[serde(default)]
    pub cancelled: bool,
}

/// A fault of an announcement, with its field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldFault {
    /// Name of the field.
    pub field: &'static str,
    /// What was found and what is expected.
    pub what: String,
}

/// What an announcement may refer to.
pub trait Known {
    /// A title's id, first cell and number of cells.
    fn title(&self, name: &str) -> Option<(TitleId, u32, u32)>;
    /// A class's index and its rates by rung, kB a second.
    fn class(&self, name: &str) -> Option<(u16, Vec<f64>)>;
}

/// A peak that passed the checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Peak {
    /// Its number: a stable hash of its name.
    pub number: u64,
    /// As announced.
    pub said: Announcement,
    /// Titles with their cells.
    pub titles: Vec<(TitleId, u32, u32)>,
    /// Rate that is held for each viewer, kB a second.
    pub kb: f64,
}

impl Announcement {
    /// Checks it against the clock and what is known. All faults are reported.
    ///
    /// # Errors
    /// Each fault with its field (422).
    pub fn check(&self, now_ms: u64, number: u64, known: &impl Known) -> Result<Peak, Vec<FieldFault>> {
        let mut faults = Vec::new();
        let mut bad = |field, what: String| faults.push(FieldFault { field, what });
        if self.name.is_empty() || self.name.len() > 64 || self.name.chars().any(char::is_control) {
            bad("name", "1 to 64 bytes without control characters are expected".into());
        }
        if self.titles.is_empty() || self.titles.len() > MOST_TITLES {
            bad("titles", format!("1 to {MOST_TITLES} titles are expected, {} found", self.titles.len()));
        }
        let mut titles: Vec<(TitleId, u32, u32)> = Vec::new();
        for name in self.titles.iter().take(MOST_TITLES) {
            match known.title(name) {
                Some(t) if titles.iter().any(|o| o.0 == t.0) => {
                    bad("titles", format!("'{name}' is named twice"))
                }
                Some(t) => titles.push(t),
                None => bad("titles", format!("'{name}' is no title")),
            }
        }
        let class = known.class(&self.class);
        let mut kb = 0.0;
        match &class {
            None => bad("class", format!("'{}' is no class", self.class)),
            Some((_, rates)) => match rates.get(usize::from(self.rung)) {
                Some(rate) => kb = *rate,
                None => bad(
                    "rung",
                    format!("{} is no rung; the highest is {}", self.rung, rates.len().saturating_sub(1)),
                ),
            },
        }
        if self.viewers.is_empty() || self.viewers.len() > MOST_STEPS {
            bad("viewers", format!("1 to {MOST_STEPS} steps are expected, {} found", self.viewers.len()));
        }
        if self.viewers.windows(2).any(|w| w[0].0 >= w[1].0) {
            bad("viewers", "the steps' seconds must ascend".into());
        }
        if let Some((_, n)) = self.viewers.iter().find(|(_, n)| *n > MOST_VIEWERS) {
            bad("viewers", format!("{n} viewers; {MOST_VIEWERS} at most"));
        }
        if self.viewers.iter().all(|(_, n)| *n == 0) {
            bad("viewers", "nobody is expected".into());
        }
        if self.end_ms <= self.start_ms {
            bad("end_ms", "the end must come after the start".into());
        } else if self.end_ms - self.start_ms > LONGEST_MS {
            bad("end_ms", "a peak lasts a day at most".into());
        }
        if self.start_ms > now_ms.saturating_add(AHEAD_MS) {
            bad("start_ms", "it starts more than 30 days from now".into());
        }
        if !self.cancelled && self.end_ms.saturating_add(SKEW_MS) <= now_ms {
            bad("end_ms", "it is over".into());
        }
        if self.lead_ms > MOST_LEAD_MS {
            bad("lead_ms", format!("{MOST_LEAD_MS} at most"));
        }
        if faults.is_empty() { Ok(Peak { number, said: self.clone(), titles, kb }) } else { Err(faults) }
    }

    /// Viewers expected at once at a moment, or shortly after: room must be there before they come.
    #[must_use]
    pub fn expected(&self, now_ms: u64, ahead_ms: u64) -> u32 {
        let from = now_ms.max(self.start_ms);
        let until = now_ms.saturating_add(ahead_ms).max(from);
        let at = |s: &(u64, u32)| self.start_ms.saturating_add(s.0.saturating_mul(1_000));
        // The step in force at `from`, and those that begin before `until`.
        let before = self.viewers.iter().rev().find(|s| at(s) <= from).or(self.viewers.first());
        let later = self.viewers.iter().filter(|s| at(s) > from && at(s) <= until);
        before.into_iter().chain(later).map(|s| s.1).max().unwrap_or(0)
    }

    /// The most viewers that it ever expects at once.
    #[must_use]
    pub fn most(&self) -> u32 {
        self.viewers.iter().map(|(_, n)| *n).max().unwrap_or(0)
    }

    /// When room is held, Unix milliseconds: from, to.
    #[must_use]
    pub fn held_between(&self) -> (u64, u64) {
        (self.start_ms.saturating_sub(self.lead_ms), self.end_ms)
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub struct Two;

    impl Known for Two {
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
    fn a_sound_announcement_is_a_peak() {
        let p = announcement().check(500_000, 7, &Two).expect("a peak");
        assert_eq!((p.kb, p.titles.len(), p.said.most()), (600.0, 1, 30));
        let json = serde_json::to_string(&p.said).expect("JSON");
        assert_eq!(serde_json::from_str::<Announcement>(&json).expect("back"), p.said);
    }

    #[test]
    fn nonsense_is_named_by_field() {
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
            let faults = a.check(500_000, 7, &Two).expect_err(field);
            assert!(faults.iter().any(|f| f.field == field), "{field}: {faults:?}");
        }
        assert_eq!(announcement().check(1_400_000, 7, &Two).expect_err("over")[0].field, "end_ms");
        assert!(
            serde_json::from_str::<Announcement>(r#"{"name":"x","viewers":[[0,-5]]}"#).is_err(),
            "negative"
        );
    }

    #[test]
    fn the_course_is_a_staircase_looked_at_a_little_ahead() {
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
            assert_eq!(a.expected(now_s * 1_000, ahead_s * 1_000), viewers, "at {now_s}");
        }
    }
}
