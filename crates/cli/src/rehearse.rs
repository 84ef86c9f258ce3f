//! `rehearse`: a day through real fronts.

use crate::Exit;
use clap::Subcommand;
use pepperhook_rehearse::agreement::plan::{FaultPattern, Plan, Variation as AgreementVariation};
use pepperhook_rehearse::day::{Day, DutySettings, bad_day};
use pepperhook_rehearse::duties::large_fleet::measure;
use pepperhook_rehearse::duties::simulation::Options;
use pepperhook_rehearse::peak::Variation;
use pepperhook_rehearse::runner::run_day;
use std::path::PathBuf;

/// What is rehearsed.
#[derive(Subcommand)]
pub enum What {
    /// The scripted bad day: weakened uplink, rolling deploy, drain, crash, front restart, list lag, crowd.
    BadDay {
        /// Moves the troubles about.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Front processes, 1 to 8.
        #[arg(long, default_value_t = 3)]
        fronts: u32,
        /// Arrivals come for so many seconds, 10 to 60.
        #[arg(long, default_value_t = 45.0)]
        seconds: f64,
        /// Duties that the fronts share.
        #[arg(long, value_enum, default_value = "none")]
        duties: SharedDuties,
        #[command(flatten)]
        out: Out,
    },
    /// An announced peak: the same crowd with and without the announcement, and a peak that is called off.
    Peak {
        /// Seed of the viewers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Front processes, 1 to 8.
        #[arg(long, default_value_t = 3)]
        fronts: u32,
        /// Part of the datagrams between fronts that is lost, 0 to 1.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// This front is cut off from the others.
        #[arg(long)]
        cut: Option<u32>,
        #[command(flatten)]
        out: Out,
    },
    /// Duties shared by eight fronts, with kills, a stall, a crash and a drain; gaps and work done twice by the nodes' sockets.
    Duties {
        /// Seed of the viewers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Front processes, 2 to 8; with --in-process 2 to 1000.
        #[arg(long, default_value_t = 8)]
        fronts: u32,
        /// Part of the datagrams between fronts that is lost, 0 to 1.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// The fronts' own code in this process, on a network and clocks in memory.
        #[arg(long)]
        in_process: bool,
        /// With --in-process: nodes.
        #[arg(long, default_value_t = 200)]
        nodes: usize,
        #[command(flatten)]
        out: Out,
    },
    /// Changes of what the fleet agrees on, by two operators, with fronts killed, stopped and cut off; see docs/rehearsals.md.
    Agreement {
        #[command(flatten)]
        play: Changes,
        #[command(flatten)]
        out: Out,
    },
    /// A day file; see docs/rehearsals.md and the folder days/.
    Replay {
        /// The file.
        day: PathBuf,
        #[command(flatten)]
        out: Out,
    },
}

/// What is agreed on.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Part {
    /// The policy.
    Policy,
}

/// What goes wrong.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Troubles {
    /// Nothing.
    None,
    /// One front is dead.
    Dead,
    /// One front stands still for 10 s again and again.
    Stopped,
    /// A third of the fronts is cut off from the others for 10 s again and again.
    Zone,
    /// Kills, stops, cuts, and restarts with the store, without it or with an older one.
    Random,
}

/// A rehearsal of changes.
#[derive(clap::Args)]
pub struct Changes {
    /// What is agreed on.
    #[arg(long, value_enum, default_value = "policy")]
    part: Part,
    /// Seed of the viewers, the changes and what goes wrong.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Front processes, 3 to 12; five of them vote, three where there are fewer.
    #[arg(long, default_value_t = 9)]
    fronts: u32,
    /// Part of the datagrams between fronts that is lost, 0 to 0.6.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Viewers come for so many seconds, 15 to 300.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Changes, 2 to 200.
    #[arg(long, default_value_t = 30)]
    changes: u32,
    /// A grant's time, milliseconds, 3500 to 60000.
    #[arg(long, default_value_t = 4_000)]
    hold_ms: u64,
    /// What goes wrong.
    #[arg(long, value_enum, default_value = "random")]
    trouble: Troubles,
    /// Play this plan, as a run with --keep leaves it; the figures above are not used then.
    #[arg(long)]
    plan: Option<PathBuf>,
}

impl Changes {
    /// The plan, and the command that plays it again.
    fn plan(&self) -> Result<(Plan, String), String> {
        let Part::Policy = self.part;
        if let Some(path) = &self.plan {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let plan = Plan::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
            return Ok((plan, format!("pepperhook rehearse agreement --plan {}", path.display())));
        }
        let within = (3..=12).contains(&self.fronts)
            && (0.0..=0.6).contains(&self.loss)
            && (15.0..=300.0).contains(&self.seconds)
            && (2..=200).contains(&self.changes)
            && (3_500..=60_000).contains(&self.hold_ms);
        if !within {
            return Err(
                "--fronts 3 to 12, --loss 0 to 0.6, --seconds 15 to 300, --changes 2 to 200, --hold-ms 3500 \
                        to 60000"
                    .into(),
            );
        }
        let (trouble, name) = match self.trouble {
            Troubles::None => (FaultPattern::None, "none"),
            Troubles::Dead => (FaultPattern::Dead, "dead"),
            Troubles::Stopped => (FaultPattern::Stopped, "stopped"),
            Troubles::Zone => (FaultPattern::Zone, "zone"),
            Troubles::Random => (FaultPattern::Random, "random"),
        };
        let Self { seed, fronts, loss, seconds, changes, hold_ms, .. } = *self;
        let again = format!(
            "pepperhook rehearse agreement --seed {seed} --fronts {fronts} --loss {loss} --seconds {seconds} \
             --changes {changes} --hold-ms {hold_ms} --trouble {name}"
        );
        let v = AgreementVariation { seed, fronts, loss, seconds, changes, hold_ms, fault_pattern: trouble };
        Ok((Plan::random(&v), again))
    }
}

/// What fronts do together on a day.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum SharedDuties {
    /// Nothing: each front knows what its own sessions tell it.
    None,
    /// Each node is asked by one front in turn, which keeps what it read to itself.
    Own,
    /// What was read is told to all.
    Shared,
    /// The same, and fronts ask by themselves before they place a session by an old reading.
    Ask,
}

impl SharedDuties {
    fn on(self, day: &mut Day) {
        let (share, ask) = match self {
            Self::None => return,
            Self::Own => (false, false),
            Self::Shared => (true, false),
            Self::Ask => (true, true),
        };
        day.fleet.exchange.get_or_insert_default();
        day.fleet.duties = Some(DutySettings { period_s: 1.0, share, ask });
    }
}

/// Where results go.
#[derive(clap::Args)]
pub struct Out {
    /// Write the figures to this file as JSON.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Keep settings, lists, logs and records in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Print nothing but the result.
    #[arg(long)]
    quiet: bool,
}

/// Plays and prints.
pub async fn rehearse(what: What) -> Exit {
    let (day, out) = match what {
        What::BadDay { seed, fronts, seconds, duties, out } => {
            if !(10.0..=60.0).contains(&seconds) {
                eprintln!("pepperhook: --seconds is {seconds}; 10 to 60 is allowed");
                return Exit::Usage;
            }
            let mut day = bad_day(seed, fronts.max(1), seconds);
            duties.on(&mut day);
            (Ok(day), out)
        }
        What::Peak { seed, fronts, loss, cut, out } => {
            if !(0.0..=1.0).contains(&loss) || cut.is_some_and(|c| c >= fronts) {
                eprintln!("pepperhook: --loss is between 0 and 1, --cut one of the fronts, counted from 0");
                return Exit::Usage;
            }
            return rehearse_peak(&Variation { seed, fronts, loss, cut }, &out).await;
        }
        What::Duties { seed, fronts, loss, in_process, nodes, out } => {
            let most = if in_process { 1_000 } else { 8 };
            if !(0.0..=1.0).contains(&loss) || !(2..=most).contains(&fronts) || !(1..=10_000).contains(&nodes)
            {
                eprintln!("pepperhook: --loss is between 0 and 1, --fronts 2 to {most}, --nodes 1 to 10000");
                return Exit::Usage;
            }
            if in_process {
                let options = Options { fronts: fronts as usize, nodes, seed, loss, ..Options::default() };
                let report = measure(&options);
                return finish(&report, &out, report.coverage.violations.is_empty());
            }
            return rehearse_duties(
                &pepperhook_rehearse::duties::run::Variation { seed, fronts, loss },
                &out,
            )
            .await;
        }
        What::Agreement { play, out } => {
            return match play.plan() {
                Ok((plan, again)) => rehearse_agreement(plan, &again, &out).await,
                Err(e) => {
                    eprintln!("pepperhook: {e}");
                    Exit::Usage
                }
            };
        }
        What::Replay { day, out } => {
            let text = std::fs::read_to_string(&day).map_err(|e| e.to_string());
            (text.and_then(|t| Day::parse(&t)).map_err(|e| format!("{}: {e}", day.display())), out)
        }
    };
    match day {
        Ok(day) => rehearse_day(&day, &out).await,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            Exit::Usage
        }
    }
}

/// A folder for a run's files, and how its lines are told.
fn stage(out: &Out) -> Result<(Option<tempfile::TempDir>, PathBuf, PathBuf), String> {
    let temporary = match &out.keep {
        Some(_) => None,
        None => Some(tempfile::tempdir().map_err(|e| e.to_string())?),
    };
    let dir =
        out.keep.clone().or_else(|| temporary.as_ref().map(|t| t.path().to_owned())).unwrap_or_default();
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    if std::fs::read_dir(&dir).is_ok_and(|mut d| d.next().is_some()) {
        return Err(format!("{} is not empty: records of two runs must not mix", dir.display()));
    }
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok((temporary, dir, program))
}

fn tell(quiet: bool) -> impl Fn(String) + Clone + 'static {
    move |line| {
        if !quiet {
            eprintln!("{line}");
        }
    }
}

/// Prints the figures and writes them where they are wanted.
fn finish(report: &impl serde::Serialize, out: &Out, kept: bool) -> Exit {
    let text = serde_json::to_string_pretty(report).unwrap_or_default();
    println!("{text}");
    if let Some(path) = &out.report {
        if let Err(e) = std::fs::write(path, text + "\n") {
            eprintln!("pepperhook: {}: {e}", path.display());
            return Exit::Usage;
        }
    }
    if kept { Exit::Done } else { Exit::Failed }
}

async fn rehearse_day(day: &Day, out: &Out) -> Exit {
    let (_temporary, dir, program) = match stage(out) {
        Ok(stage) => stage,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Usage;
        }
    };
    match run_day(day, &program, &dir, tell(out.quiet)).await {
        Ok(outcome) => finish(&outcome.report, out, outcome.violations.is_empty()),
        Err(e) => {
            eprintln!("pepperhook: {e}");
            Exit::Failed
        }
    }
}

async fn rehearse_duties(v: &pepperhook_rehearse::duties::run::Variation, out: &Out) -> Exit {
    let (_temporary, dir, program) = match stage(out) {
        Ok(stage) => stage,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Usage;
        }
    };
    match pepperhook_rehearse::duties::run::rehearse(v, &program, &dir, tell(out.quiet)).await {
        Ok(report) => {
            let kept = report.rules_broken.is_empty() && report.coverage.violations.is_empty();
            finish(&report, out, kept)
        }
        Err(e) => {
            eprintln!("pepperhook: {e}");
            Exit::Failed
        }
    }
}

async fn rehearse_agreement(plan: Plan, again: &str, out: &Out) -> Exit {
    let (_temporary, dir, program) = match stage(out) {
        Ok(stage) => stage,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Usage;
        }
    };
    let exit =
        match pepperhook_rehearse::agreement::run::run_plan(plan, &program, &dir, tell(out.quiet)).await {
            Ok(report) => {
                let exit = finish(&report, out, report.passed());
                println!("{}", report.summary());
                exit
            }
            Err(e) => {
                eprintln!("pepperhook: {e}");
                Exit::Failed
            }
        };
    if exit == Exit::Failed {
        eprintln!("pepperhook: to play it again: {again}");
    }
    exit
}

async fn rehearse_peak(v: &Variation, out: &Out) -> Exit {
    let (_temporary, dir, program) = match stage(out) {
        Ok(stage) => stage,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Usage;
        }
    };
    match pepperhook_rehearse::peak::rehearse(v, &program, &dir, tell(out.quiet)).await {
        Ok(report) => finish(&report, out, report.rules_broken.is_empty()),
        Err(e) => {
            eprintln!("pepperhook: {e}");
            Exit::Failed
        }
    }
}
