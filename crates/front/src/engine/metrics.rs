//! Counters and histograms of one front since its start, for the console and for reports.

use super::types::{Answer, Refusal};
use hdrhistogram::Histogram;
use pepperhook::{Outcome, Time};
use serde::Serialize;
use std::collections::BTreeMap;

/// Counters and histograms of one front since its start.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests for sessions.
    pub requests: u64,
    /// Requests whose connection closed before their answer.
    pub disconnected: u64,
    /// Set-up attempts sent to nodes.
    pub attempts: u64,
    /// 201s that arrived after their attempt had timed out or been cancelled; their sessions are deleted at the nodes.
    pub late_answers: u64,
    /// Requests that were answered only by the answer deadline. Always 0 in a correct engine: each one is a bug.
    pub overdue_answers: u64,
    /// Sessions moved off their node.
    pub moves: u64,
    /// Changes of rung while playing.
    pub rung_changes: u64,
    /// Times that the event stream of a node could not connect and the sessions there were ended.
    pub nodes_lost: u64,
    /// Answers by kind.
    pub answers: BTreeMap<&'static str, u64>,
    /// Failed attempts by outcome.
    pub failures: BTreeMap<&'static str, u64>,
    /// Sessions ended by outcome.
    pub ends: BTreeMap<&'static str, u64>,
    /// Set-ups sent to a node without any load reading.
    pub placed_without_reading: u64,
    /// Sessions listed by a node that this front does not know, deleted there.
    pub orphans_deleted: u64,
    /// Sessions of this front that their node no longer listed, ended.
    pub sessions_missing: u64,
    reading_ages_ms: Histogram<u64>,
    classes: Vec<ClassMetrics>,
}

/// Ages of the load readings that sessions were placed by.
#[derive(Clone, Debug, Serialize)]
pub struct ReadingAges {
    /// Set-ups placed with a load reading.
    pub placed: u64,
    /// Set-ups sent to a node without any load reading.
    #[serde(rename = "blind")]
    pub placed_without_reading: u64,
    /// Median age, milliseconds.
    pub p50_ms: u64,
    /// 90th percentile, milliseconds.
    pub p90_ms: u64,
    /// 99th percentile, milliseconds.
    pub p99_ms: u64,
}

/// Set-up times of one class.
#[derive(Clone, Debug)]
struct ClassMetrics {
    name: String,
    within_aim: u64,
    set_up_times_us: Histogram<u64>,
}

/// Set-up times of one class, as shown.
#[derive(Clone, Debug, Serialize)]
pub struct ClassRow {
    /// Its name.
    pub name: String,
    /// Set-ups that led to a playing session.
    pub set_ups: u64,
    /// Set-ups within the class's aim.
    pub within_aim: u64,
    /// Median set-up time, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, milliseconds.
    pub p99_ms: f64,
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed-out",
        Outcome::ConnectFailed => "no-connection",
        Outcome::Broken => "broken",
        Outcome::LinkBroken => "link-broken",
        Outcome::Cancelled => "cancelled",
        Outcome::Unsent => "unsent",
    }
}

/// Histogram with 3 significant digits up to 3,600,000,000 (one hour in microseconds). The bounds are constants, so
/// creating it cannot fail.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000_000, 3)
        .unwrap_or_else(|_| Histogram::new(1).expect("1 significant digit is valid"))
}

impl ClassMetrics {
    fn new(name: String) -> Self {
        Self { name, within_aim: 0, set_up_times_us: histogram() }
    }
}

impl Metrics {
    /// All counters at 0, for classes of these names.
    #[must_use]
    pub fn new(classes: Vec<String>) -> Self {
        Self {
            requests: 0,
            disconnected: 0,
            attempts: 0,
            late_answers: 0,
            overdue_answers: 0,
            moves: 0,
            rung_changes: 0,
            nodes_lost: 0,
            answers: BTreeMap::new(),
            failures: BTreeMap::new(),
            ends: BTreeMap::new(),
            placed_without_reading: 0,
            orphans_deleted: 0,
            sessions_missing: 0,
            reading_ages_ms: histogram(),
            classes: classes.into_iter().map(ClassMetrics::new).collect(),
        }
    }

    /// Takes the names of all classes in order; those beyond the known ones are added with empty counters.
    pub(super) fn add_classes<'a>(&mut self, classes: impl Iterator<Item = &'a str>) {
        let known = self.classes.len();
        self.classes.extend(classes.skip(known).map(|name| ClassMetrics::new(name.to_owned())));
    }

    /// Counts an answer to a request for a session.
    pub(super) fn count_answer(&mut self, answer: &Answer) {
        let kind = match answer {
            Answer::Created { .. } => "playing",
            Answer::Refused(_, Refusal::NoRoom) => "refused",
            Answer::Refused(_, Refusal::Overload | Refusal::TooManyCopies) => "overload",
            Answer::Refused(_, Refusal::Stopping) => "stopping",
            Answer::Refused(_, Refusal::Fenced) => "fenced",
            Answer::ClassClosed => "closed",
            Answer::Failed => "failed",
            Answer::Superseded => "superseded",
            Answer::NotPublished | Answer::AlreadyPublished => "conflict",
            Answer::Ended | Answer::UnknownSession => return,
        };
        *self.answers.entry(kind).or_default() += 1;
    }

    /// Counts an attempt that failed.
    pub(super) fn count_failure(&mut self, outcome: Outcome) {
        *self.failures.entry(outcome_name(outcome)).or_default() += 1;
    }

    /// Counts a playing session that ended.
    pub(super) fn count_end(&mut self, outcome: Outcome) {
        *self.ends.entry(outcome_name(outcome)).or_default() += 1;
    }

    /// Records the time that a successful set-up took, and whether it was within the aim.
    pub(super) fn record_set_up(&mut self, class: u16, elapsed: Time, aim: Time) {
        if let Some(c) = self.classes.get_mut(usize::from(class)) {
            c.within_aim += u64::from(elapsed <= aim);
            c.set_up_times_us.saturating_record(elapsed / 1_000);
        }
    }

    /// Records the age of the load reading that a set-up was placed by; `None` if its node has none.
    pub(super) fn record_placement(&mut self, reading_age: Option<Time>) {
        match reading_age {
            Some(age) => self.reading_ages_ms.saturating_record(age / 1_000_000),
            None => self.placed_without_reading += 1,
        }
    }

    /// Ages of the load readings that sessions were placed by.
    #[must_use]
    pub fn reading_ages(&self) -> ReadingAges {
        let at = |q| self.reading_ages_ms.value_at_quantile(q);
        let (p50_ms, p90_ms, p99_ms) = (at(0.5), at(0.9), at(0.99));
        ReadingAges {
            placed: self.reading_ages_ms.len(),
            placed_without_reading: self.placed_without_reading,
            p50_ms,
            p90_ms,
            p99_ms,
        }
    }

    /// Set-up times by class.
    #[must_use]
    pub fn class_rows(&self) -> Vec<ClassRow> {
        let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1_000.0;
        let row = |c: &ClassMetrics| ClassRow {
            name: c.name.clone(),
            set_ups: c.set_up_times_us.len(),
            within_aim: c.within_aim,
            p50_ms: ms(&c.set_up_times_us, 0.5),
            p99_ms: ms(&c.set_up_times_us, 0.99),
        };
        self.classes.iter().map(row).collect()
    }
}
