//! Plays a day: starts fronts and nodes as processes on loopback, runs viewers and injects the scheduled faults.

mod faults;
mod fleet;

use crate::checker::{RuleLimits, Violation, check};
use crate::day::{Day, FaultKind};
use crate::report::{Report, summarize};
use crate::viewers::{FrontEndpoint, ViewerPool};
use fleet::RunningFleet;
use pepperhook_playout::record::{self, Event, Line, Recorder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Reason why a day could not be played.
#[derive(Debug, Error)]
pub enum RunError {
    /// An operation on a file, a socket or a process failed.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// A process did not start, or did not respond as required.
    #[error("{0} failed: {1}")]
    Start(String, String),
    /// A value of the day is out of range.
    #[error("the day cannot be played: {0}")]
    Day(String),
}

/// Results of a day.
pub struct RunResult {
    /// Statistics.
    pub report: Report,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// The whole record.
    pub lines: Vec<Line>,
    /// State of each front at the end, from its admin listener.
    pub states: Vec<serde_json::Value>,
}

/// Grace period of drains, seconds; a requirement of the service.
const DRAIN_GRACE_S: f64 = 0.25;
/// Time for a front to read a new list, seconds: two polls, 0.1 s apart, and scheduling delays.
const LIST_READ_S: f64 = 0.35;
/// Overload of cold nodes: multiple of the set-up rate, and window in seconds.
pub(crate) const COLD_OVERLOAD: (f64, f64) = (2.5, 2.0);
/// Time that the run continues after the last arrival, in addition to the patience of the viewers.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Plays a day with `program` as front and node, with all files in `dir`; `progress` gets a line per second.
///
/// # Errors
/// If a process does not start or a file cannot be written. Violations of rules are in the result.
pub async fn run_day(
    day: &Day,
    program: &Path,
    dir: &Path,
    progress: impl Fn(String) + 'static,
) -> Result<RunResult, RunError> {
    day.check().map_err(RunError::Day)?;
    let log = dir.join("viewers.jsonl");
    let recorder =
        Recorder::to_file("viewers", &log).map_err(|e| RunError::Io(log.display().to_string(), e))?;
    let fleet = RunningFleet::start(
        day.clone(),
        program.to_owned(),
        dir.to_owned(),
        recorder.with_source("conductor"),
    )
    .await?;
    let fronts: Vec<FrontEndpoint> = fleet.fronts();
    let viewers = ViewerPool::new(day.viewers.clone(), "replay", fronts, recorder);
    fleet.viewers.borrow_mut().replace(viewers.clone());

    let mut tasks = vec![
        spawn_local(fleet.clone().publish_list()),
        spawn_local(fleet.clone().distribute_uplink_demand()),
    ];
    if day.fleet.exchange.is_some() {
        tasks.push(spawn_local(fleet.clone().record_held_capacity()));
    }
    let begin = Instant::now();
    for (i, fault) in day.faults.iter().cloned().enumerate() {
        let fleet = fleet.clone();
        tasks.push(spawn_local(async move {
            sleep_until(begin + Duration::from_secs_f64(fault.at_s)).await;
            if let Err(e) = faults::inject(&fleet, i as u64, &fault).await {
                fleet.set_failure(e);
            }
        }));
    }
    let pool = viewers.clone();
    tasks.push(spawn_local(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            let statuses: Vec<String> =
                pool.statuses.borrow().iter().map(|(s, n)| format!("{s}: {n}")).collect();
            progress(format!(
                "{:4.0} s  asked {:5}  playing {:4}  {}",
                begin.elapsed().as_secs_f64(),
                pool.requests.get(),
                pool.playing.get(),
                statuses.join("  ")
            ));
        }
    }));

    arrive(day, &viewers, begin).await;
    sleep(DRAIN_TIME + Duration::from_secs_f64(day.viewers.patience_s)).await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    let states = fleet.states().await;
    let stopped = fleet.stop().await;
    if let Some(error) = fleet.take_failure() {
        return Err(error);
    }
    let lines = read_records(dir)?;
    let mut violations = check(&lines, &rule_limits(day));
    for (front, how) in stopped {
        let what = format!("{front} did not shut down gracefully: {how}");
        violations.push(Violation {
            rule: crate::checker::Rule::OneAnswer,
            unix_ns: record::unix_nanos(),
            detail: what,
        });
    }
    let mut report = summarize(&day.name, day.seed, &lines, &violations, day.viewers.aim_s);
    report.ages_ms = crate::duties::run::ages(&states);
    Ok(RunResult { report, violations, lines, states })
}

/// The limits of the rules on this day.
fn rule_limits(day: &Day) -> RuleLimits {
    let f = &day.fleet;
    RuleLimits {
        patience_s: day.viewers.patience_s,
        list_read_s: LIST_READ_S,
        drain_grace_s: DRAIN_GRACE_S,
        fall_multiple: COLD_OVERLOAD.0,
        fall_s: COLD_OVERLOAD.1,
        floor: f.floor,
        seats: f.seats,
        at_most_once: f.repeat == "never",
        retry_budget: f.budget,
    }
}

/// Starts viewers as a Poisson process; bursts raise its rate, and popularity differs between titles.
async fn arrive(day: &Day, viewers: &Rc<ViewerPool>, begin: Instant) {
    let mut rng = StdRng::seed_from_u64(day.seed);
    let titles = day.viewers.titles;
    let (mut at, mut n) = (0.0, 0u64);
    loop {
        let (mut rate, mut hot, mut shares) = (day.viewers.rate, None, day.fleet.tenants.clone());
        for fault in day.faults.iter().filter(|f| (f.at_s..f.at_s + f.for_s).contains(&at)) {
            match fault.kind {
                FaultKind::Burst { times } => rate *= times,
                FaultKind::TenantBurst { tenant, times } => {
                    let usual = shares[tenant as usize];
                    shares[tenant as usize] *= times;
                    rate *= 1.0 + usual * (times - 1.0);
                }
                FaultKind::HotTitle { first, titles, rate: more } => {
                    hot = Some((first, titles, more / (rate + more)));
                    rate += more;
                }
                _ => {}
            }
        }
        let Ok(gap) = Exp::new(rate.max(0.001)) else { return };
        at += gap.sample(&mut rng);
        if at >= day.length_s {
            break;
        }
        n += 1;
        // Popularity falls roughly with the square root of the rank.
        let usual = ((rng.random::<f64>().powi(2)) * f64::from(titles)) as u32;
        let title = match hot {
            Some((first, few, share)) if rng.random_bool(share.clamp(0.0, 1.0)) => {
                (first + rng.random_range(0..few.max(1))).min(titles - 1)
            }
            _ => usual.min(titles - 1),
        };
        let mut draw = rng.random::<f64>() * shares.iter().sum::<f64>();
        let tenant = shares.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        sleep_until(begin + Duration::from_secs_f64(at)).await;
        spawn_local(viewers.clone().run_viewer(n, day.seed, title, tenant));
    }
    sleep_until(begin + Duration::from_secs_f64(day.length_s)).await;
}

/// Reads all records of a run.
fn read_records(dir: &Path) -> Result<Vec<Line>, RunError> {
    let named = |p: &Path, e| RunError::Io(p.display().to_string(), e);
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(|e| named(dir, e))? {
        let path: PathBuf = entry.map_err(|e| named(dir, e))?.path();
        if path.extension().is_some_and(|e| e == "jsonl") {
            lines.extend(record::read(&path).map_err(|e| named(&path, e))?);
        }
    }
    lines.sort_by_key(|l| l.unix_ns);
    Ok(lines)
}

/// Records the begin or end of a scheduled fault, for the reader of the record.
fn record_fault(recorder: &Recorder, kind: &str, detail: String) {
    recorder.write(Event::FaultInjected { kind: kind.into(), detail });
}
