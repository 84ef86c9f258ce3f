//! Conducts a day: fronts and nodes as processes on loopback, viewers, troubles by the clock.

mod faults;
mod fleet;

use crate::checker::{RuleLimits, Violation, check};
use crate::day::{Day, FaultKind};
use crate::report::{Report, sum_up};
use crate::viewers::{FrontEndpoint, ViewerPool};
use fleet::World;
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

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum RunError {
    /// A file or a process.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// A process did not come up.
    #[error("{0} did not come up: {1}")]
    Start(String, String),
    /// The day is out of bounds.
    #[error("the day cannot be played: {0}")]
    Day(String),
}

/// What a day came to.
pub struct RunResult {
    /// Figures.
    pub report: Report,
    /// Rules broken.
    pub violations: Vec<Violation>,
    /// The whole record.
    pub lines: Vec<Line>,
    /// What each front showed on its console at the end.
    pub states: Vec<serde_json::Value>,
}

/// Grace of drains, seconds: the brief's.
const DRAIN_GRACE_S: f64 = 0.25;
/// Two looks of a front at its list, a tenth of a second apart, and the processes' own scheduling.
const LIST_READ_S: f64 = 0.35;
/// The rule on cold nodes: this multiple for so long.
pub(crate) const FALL: (f64, f64) = (2.5, 2.0);
/// After the last arrival the run goes on for so long, for those who wait.
const TAIL: Duration = Duration::from_secs(2);

/// Plays a day with `program` as front and node, leaving its files in `dir`; `tell` gets a line a second.
///
/// # Errors
/// When a process does not come up or a file cannot be written. A broken rule is no error: it is in the outcome.
pub async fn run_day(
    day: &Day,
    program: &Path,
    dir: &Path,
    tell: impl Fn(String) + 'static,
) -> Result<RunResult, RunError> {
    day.check().map_err(RunError::Day)?;
    let log = dir.join("viewers.jsonl");
    let recorder =
        Recorder::to_file("viewers", &log).map_err(|e| RunError::Io(log.display().to_string(), e))?;
    let world =
        World::start(day.clone(), program.to_owned(), dir.to_owned(), recorder.with_source("conductor"))
            .await?;
    let fronts: Vec<FrontEndpoint> = world.fronts();
    let audience = ViewerPool::new(day.viewers.clone(), "replay", fronts, recorder);
    world.audience.borrow_mut().replace(audience.clone());

    let mut tasks = vec![spawn_local(world.clone().publish()), spawn_local(world.clone().share_uplinks())];
    if day.fleet.exchange.is_some() {
        tasks.push(spawn_local(world.clone().watch_holds()));
    }
    let begin = Instant::now();
    for (i, trouble) in day.faults.iter().cloned().enumerate() {
        let world = world.clone();
        tasks.push(spawn_local(async move {
            sleep_until(begin + Duration::from_secs_f64(trouble.at_s)).await;
            if let Err(e) = faults::cause(&world, i as u64, &trouble).await {
                world.failed(e);
            }
        }));
    }
    let heard = audience.clone();
    tasks.push(spawn_local(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            let statuses: Vec<String> =
                heard.statuses.borrow().iter().map(|(s, n)| format!("{s}: {n}")).collect();
            tell(format!(
                "{:4.0} s  asked {:5}  playing {:4}  {}",
                begin.elapsed().as_secs_f64(),
                heard.requests.get(),
                heard.playing.get(),
                statuses.join("  ")
            ));
        }
    }));

    arrive(day, &audience, begin).await;
    sleep(TAIL + Duration::from_secs_f64(day.viewers.patience_s)).await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    let states = world.states().await;
    let stopped = world.stop().await;
    if let Some(fault) = world.failure() {
        return Err(fault);
    }
    let lines = gather(dir)?;
    let mut violations = check(&lines, &terms(day));
    for (front, how) in stopped {
        let what = format!("{front} did not stop in order: {how}");
        violations.push(Violation {
            rule: crate::checker::Rule::OneAnswer,
            unix_ns: record::unix_nanos(),
            detail: what,
        });
    }
    let mut report = sum_up(&day.name, day.seed, &lines, &violations, day.viewers.aim_s);
    report.ages_ms = crate::duties::run::ages(&states);
    Ok(RunResult { report, violations, lines, states })
}

/// What the checker is told of the day.
fn terms(day: &Day) -> RuleLimits {
    let f = &day.fleet;
    RuleLimits {
        patience_s: day.viewers.patience_s,
        list_read_s: LIST_READ_S,
        drain_grace_s: DRAIN_GRACE_S,
        fall_multiple: FALL.0,
        fall_s: FALL.1,
        floor: f.floor,
        seats: f.seats,
        at_most_once: f.repeat == "never",
        retry_budget: f.budget,
    }
}

/// Viewers come at random, more of them in a burst, some titles far more wanted than others.
async fn arrive(day: &Day, audience: &Rc<ViewerPool>, begin: Instant) {
    let mut rng = StdRng::seed_from_u64(day.seed);
    let titles = day.viewers.titles;
    let (mut at, mut n) = (0.0, 0u64);
    loop {
        let (mut rate, mut hot, mut shares) = (day.viewers.rate, None, day.fleet.tenants.clone());
        for t in day.faults.iter().filter(|t| (t.at_s..t.at_s + t.for_s).contains(&at)) {
            match t.kind {
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
        // Popularity falls with the square root of the rank, roughly.
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
        spawn_local(audience.clone().run_viewer(n, day.seed, title, tenant));
    }
    sleep_until(begin + Duration::from_secs_f64(day.length_s)).await;
}

/// All records of a run.
fn gather(dir: &Path) -> Result<Vec<Line>, RunError> {
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

/// Writes what a trouble was, for the reader of a record.
fn note(recorder: &Recorder, kind: &str, detail: String) {
    recorder.write(Event::FaultInjected { kind: kind.into(), detail });
}
