//! Counters and times of one front, for console and reports.

use super::types::{Answer, Refusal};
use hdrhistogram::Histogram;
use pepperhook::{Outcome, Time};
use serde::Serialize;
use std::collections::BTreeMap;

/// What a front has done since its start.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests for sessions.
    pub asked: u64,
    /// Waiting requests whose connection closed.
    pub left: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// 201s that came after the time-out, deleted at their nodes.
    pub late_answers: u64,
    /// Requests that only the last guard answered; each is a fault worth tracing.
    pub backstops: u64,
    /// Sessions moved.
    pub moves: u64,
    /// Changes of rung while playing.
    pub rungs: u64,
    /// Nodes found dead with sessions on them.
    pub nodes_lost: u64,
    /// Answers by kind.
    pub answers: BTreeMap<&'static str, u64>,
    /// Failed attempts by outcome.
    pub failures: BTreeMap<&'static str, u64>,
    /// Sessions ended by outcome.
    pub ends: BTreeMap<&'static str, u64>,
    /// Set-ups sent to a node of which nothing had been seen.
    pub blind: u64,
    /// Sessions found at nodes that nobody held any more, deleted there.
    pub strays: u64,
    /// Sessions held here that their nodes had not, ended.
    pub missing: u64,
    ages_ms: Histogram<u64>,
    classes: Vec<PerClass>,
}

/// How old readings were when sessions were placed by them.
#[derive(Clone, Debug, Serialize)]
pub struct AgeRow {
    /// Set-ups by a reading.
    pub placed: u64,
    /// Set-ups to a node of which nothing had been seen.
    pub blind: u64,
    /// Half of the readings were younger, milliseconds.
    pub p50_ms: u64,
    /// 9 in 10 were younger.
    pub p90_ms: u64,
    /// 99 in 100 were younger.
    pub p99_ms: u64,
}

/// Set-ups of one class.
#[derive(Clone, Debug)]
struct PerClass {
    name: String,
    within_aim: u64,
    times_us: Histogram<u64>,
}

/// Set-up times of one class, for a person.
#[derive(Clone, Debug, Serialize)]
pub struct ClassRow {
    /// Its name.
    pub name: String,
    /// Set-ups that played.
    pub set_ups: u64,
    /// Those within the class's aim.
    pub within_aim: u64,
    /// Median, milliseconds.
    pub p50_ms: f64,
    /// 99 in 100 took less, milliseconds.
    pub p99_ms: f64,
}

fn name(outcome: Outcome) -> &'static str {
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

/// Three digits up to an hour; the bounds are constants, so that this cannot fail.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000_000, 3).unwrap_or_else(|_| Histogram::new(1).expect("digits"))
}

impl PerClass {
    fn new(name: String) -> Self {
        Self { name, within_aim: 0, times_us: histogram() }
    }
}

impl Tally {
    /// Nothing done yet, for classes of these names.
    #[must_use]
    pub fn new(classes: Vec<String>) -> Self {
        Self {
            asked: 0,
            left: 0,
            attempts: 0,
            late_answers: 0,
            backstops: 0,
            moves: 0,
            rungs: 0,
            nodes_lost: 0,
            answers: BTreeMap::new(),
            failures: BTreeMap::new(),
            ends: BTreeMap::new(),
            blind: 0,
            strays: 0,
            missing: 0,
            ages_ms: histogram(),
            classes: classes.into_iter().map(PerClass::new).collect(),
        }
    }

    /// Classes of these names, in their order: those that are new are counted from now on.
    pub(super) fn named<'a>(&mut self, classes: impl Iterator<Item = &'a str>) {
        let known = self.classes.len();
        self.classes.extend(classes.skip(known).map(|name| PerClass::new(name.to_owned())));
    }

    pub(super) fn answered(&mut self, answer: &Answer) {
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

    pub(super) fn failed(&mut self, outcome: Outcome) {
        *self.failures.entry(name(outcome)).or_default() += 1;
    }

    pub(super) fn ended(&mut self, outcome: Outcome) {
        *self.ends.entry(name(outcome)).or_default() += 1;
    }

    pub(super) fn set_up(&mut self, class: u16, took: Time, aim: Time) {
        if let Some(c) = self.classes.get_mut(usize::from(class)) {
            c.within_aim += u64::from(took <= aim);
            c.times_us.saturating_record(took / 1_000);
        }
    }

    /// A set-up goes to a node that was seen so long ago, or never.
    pub(super) fn placed(&mut self, age: Option<Time>) {
        match age {
            Some(age) => self.ages_ms.saturating_record(age / 1_000_000),
            None => self.blind += 1,
        }
    }

    /// Ages of readings.
    #[must_use]
    pub fn ages(&self) -> AgeRow {
        let at = |q| self.ages_ms.value_at_quantile(q);
        let (p50_ms, p90_ms, p99_ms) = (at(0.5), at(0.9), at(0.99));
        AgeRow { placed: self.ages_ms.len(), blind: self.blind, p50_ms, p90_ms, p99_ms }
    }

    /// Set-up times by class.
    #[must_use]
    pub fn classes(&self) -> Vec<ClassRow> {
        let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1_000.0;
        let row = |c: &PerClass| ClassRow {
            name: c.name.clone(),
            set_ups: c.times_us.len(),
            within_aim: c.within_aim,
            p50_ms: ms(&c.times_us, 0.5),
            p99_ms: ms(&c.times_us, 0.99),
        };
        self.classes.iter().map(row).collect()
    }
}
