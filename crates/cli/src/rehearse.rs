//! The `rehearse` command: runs scripted days and failure scenarios against real fronts.

use crate::Exit;
use clap::Subcommand;
use pepperhook_rehearse::agreement::plan::{FaultPattern, Plan, Variation as AgreementVariation};
use pepperhook_rehearse::day::{Day, DutySettings, bad_day};
use pepperhook_rehearse::duties::large_fleet::measure;
use pepperhook_rehearse::duties::simulation::Options;
use pepperhook_rehearse::peak::Variation;
use pepperhook_rehearse::runner::run_day;
use std::path::PathBuf;

/// Kinds of rehearsals.
#[derive(Subcommand)]
pub enum Rehearsal {
    /// A scripted day of faults: weak uplink, rolling deploy, drain, crash, front restart, late node list, crowd.
    BadDay {
        /// Random seed of the viewers and of the times and targets of the faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Front processes, 1 to 8.
        #[arg(long, default_value_t = 3)]
        fronts: u32,
        /// How long viewers arrive, in seconds, 10 to 60.
        #[arg(long, default_value_t = 45.0)]
        seconds: f64,
        /// Duties that the fronts divide among themselves.
        #[arg(long, value_enum, default_value = "none")]
        duties: DutyMode,
        #[command(flatten)]
        out: OutputArguments,
    },
    /// An announced peak: the same crowd with and without the announcement, and a cancelled peak.
    Peak {
        /// Random seed of the viewers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Front processes, 1 to 8.
        #[arg(long, default_value_t = 3)]
        fronts: u32,
        /// Fraction of datagrams between fronts that is lost, 0 to 1.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Number of a front, counted from 0, that is cut off from the others.
        #[arg(long)]
        cut: Option<u32>,
        #[command(flatten)]
        out: OutputArguments,
    },
    /// Duties divided among fronts, with kills, a stall, a crash and a drain; reports gaps and duplicate work seen at the nodes.
    Duties {
        /// Random seed of the viewers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Front processes, 2 to 8; with --in-process 2 to 1000.
        #[arg(long, default_value_t = 8)]
        fronts: u32,
        /// Fraction of datagrams between fronts that is lost, 0 to 1.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Run the fronts' code in this process, with a simulated network and simulated clocks.
        #[arg(long)]
        in_process: bool,
        /// Number of nodes with --in-process, 1 to 10000.
        #[arg(long, default_value_t = 200)]
        nodes: usize,
        #[command(flatten)]
        out: OutputArguments,
    },
    /// Policy changes by two operators while fronts are killed, stopped and cut off; see docs/rehearsals.md.
    Agreement {
        #[command(flatten)]
        arguments: AgreementArguments,
        #[command(flatten)]
        out: OutputArguments,
    },
    /// Run a day file; see docs/rehearsals.md and the folder days/.
    Replay {
        /// The day file.
        day: PathBuf,
        #[command(flatten)]
        out: OutputArguments,
    },
}

/// Agreements that can be rehearsed.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Agreement {
    /// The fleet's policy.
    Policy,
}

/// Faults during a rehearsal of agreement changes.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum AgreementFaults {
    /// No faults.
    None,
    /// One front is killed early and restarted only at the end.
    Dead,
    /// One front is repeatedly stopped for 10 s.
    Stopped,
    /// A third of the fronts is repeatedly cut off from the others for 10 s.
    Zone,
    /// Random kills, stops, cuts, and restarts with the store, without it or with an older one.
    Random,
}

/// Options of a rehearsal of agreement changes.
#[derive(clap::Args)]
pub struct AgreementArguments {
    /// Agreement that is changed.
    #[arg(long, value_enum, default_value = "policy")]
    part: Agreement,
    /// Random seed of the viewers, the changes and the faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Front processes, 3 to 12; five of them vote, or three if there are fewer than five.
    #[arg(long, default_value_t = 9)]
    fronts: u32,
    /// Fraction of datagrams between fronts that is lost, 0 to 0.6.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// How long viewers arrive, in seconds, 15 to 300.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Number of changes, 2 to 200.
    #[arg(long, default_value_t = 30)]
    changes: u32,
    /// Duration of a lease in milliseconds, 3500 to 60000.
    #[arg(long, default_value_t = 4_000)]
    hold_ms: u64,
    /// Faults to inject.
    #[arg(long, value_enum, default_value = "random")]
    trouble: AgreementFaults,
    /// Run this plan file, as written by a run with --keep; the options above are ignored then.
    #[arg(long)]
    plan: Option<PathBuf>,
}

impl AgreementArguments {
    /// Returns the plan and the command line that runs it again.
    fn plan(&self) -> Result<(Plan, String), String> {
        let Agreement::Policy = self.part;
        if let Some(path) = &self.plan {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let plan = Plan::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
            return Ok((plan, format!("pepperhook rehearse agreement --plan {}", path.display())));
        }
        let in_range = (3..=12).contains(&self.fronts)
            && (0.0..=0.6).contains(&self.loss)
            && (15.0..=300.0).contains(&self.seconds)
            && (2..=200).contains(&self.changes)
            && (3_500..=60_000).contains(&self.hold_ms);
        if !in_range {
            return Err(format!(
                "an option is out of range: --fronts is {} (3 to 12), --loss is {} (0 to 0.6), --seconds is {} \
                 (15 to 300), --changes is {} (2 to 200), --hold-ms is {} (3500 to 60000)",
                self.fronts, self.loss, self.seconds, self.changes, self.hold_ms
            ));
        }
        let (trouble, name) = match self.trouble {
            AgreementFaults::None => (FaultPattern::None, "none"),
            AgreementFaults::Dead => (FaultPattern::Dead, "dead"),
            AgreementFaults::Stopped => (FaultPattern::Stopped, "stopped"),
            AgreementFaults::Zone => (FaultPattern::Zone, "zone"),
            AgreementFaults::Random => (FaultPattern::Random, "random"),
        };
        let Self { seed, fronts, loss, seconds, changes, hold_ms, .. } = *self;
        let rerun_command = format!(
            "pepperhook rehearse agreement --seed {seed} --fronts {fronts} --loss {loss} --seconds {seconds} \
             --changes {changes} --hold-ms {hold_ms} --trouble {name}"
        );
        let variation =
            AgreementVariation { seed, fronts, loss, seconds, changes, hold_ms, fault_pattern: trouble };
        Ok((Plan::random(&variation), rerun_command))
    }
}

/// How the fronts of a day divide the duty of asking nodes for their state.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum DutyMode {
    /// No duties: each front knows only what it learns from its own sessions.
    None,
    /// One front at a time asks each node and keeps the readings to itself.
    Own,
    /// As `own`, and the readings are sent to all fronts.
    Shared,
    /// As `shared`, and a front asks a node itself before it places a session based on an old reading.
    Ask,
}

impl DutyMode {
    fn apply_to(self, day: &mut Day) {
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

/// Options for the output of a rehearsal.
#[derive(clap::Args)]
pub struct OutputArguments {
    /// Write the report to this file as JSON.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Keep settings, node lists, logs and recorded traffic in this folder, which must be empty.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Print only the report, without progress.
    #[arg(long)]
    quiet: bool,
}

/// Runs a rehearsal and prints its report.
pub async fn rehearse(rehearsal: Rehearsal) -> Exit {
    let (day, out) = match rehearsal {
        Rehearsal::BadDay { seed, fronts, seconds, duties, out } => {
            if !(10.0..=60.0).contains(&seconds) {
                eprintln!("pepperhook: --seconds is {seconds}; it must be 10 to 60");
                return Exit::Usage;
            }
            let mut day = bad_day(seed, fronts.max(1), seconds);
            duties.apply_to(&mut day);
            (Ok(day), out)
        }
        Rehearsal::Peak { seed, fronts, loss, cut, out } => {
            if !(0.0..=1.0).contains(&loss) || cut.is_some_and(|front| front >= fronts) {
                let cut = cut.map_or("not set".to_owned(), |front| front.to_string());
                eprintln!(
                    "pepperhook: --loss is {loss}, it must be 0 to 1; --cut is {cut}, it must be below --fronts, \
                     which is {fronts}"
                );
                return Exit::Usage;
            }
            return rehearse_peak(&Variation { seed, fronts, loss, cut }, &out).await;
        }
        Rehearsal::Duties { seed, fronts, loss, in_process, nodes, out } => {
            let max_fronts = if in_process { 1_000 } else { 8 };
            if !(0.0..=1.0).contains(&loss)
                || !(2..=max_fronts).contains(&fronts)
                || !(1..=10_000).contains(&nodes)
            {
                eprintln!(
                    "pepperhook: an option is out of range: --loss is {loss} (0 to 1), --fronts is {fronts} (2 to \
                     {max_fronts}), --nodes is {nodes} (1 to 10000)"
                );
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
        Rehearsal::Agreement { arguments, out } => {
            return match arguments.plan() {
                Ok((plan, rerun_command)) => rehearse_agreement(plan, &rerun_command, &out).await,
                Err(e) => {
                    eprintln!("pepperhook: {e}");
                    Exit::Usage
                }
            };
        }
        Rehearsal::Replay { day, out } => {
            let text = std::fs::read_to_string(&day).map_err(|e| e.to_string());
            (text.and_then(|text| Day::parse(&text)).map_err(|e| format!("{}: {e}", day.display())), out)
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

/// Prepares a run: the temporary folder if there is one, the folder for the run's files, and the path of this program.
fn prepare_run(out: &OutputArguments) -> Result<(Option<tempfile::TempDir>, PathBuf, PathBuf), String> {
    let temporary = match &out.keep {
        Some(_) => None,
        None => Some(tempfile::tempdir().map_err(|e| format!("cannot create a temporary folder: {e}"))?),
    };
    let dir =
        out.keep.clone().or_else(|| temporary.as_ref().map(|t| t.path().to_owned())).unwrap_or_default();
    std::fs::create_dir_all(&dir).map_err(|e| format!("cannot create folder {}: {e}", dir.display()))?;
    if std::fs::read_dir(&dir).is_ok_and(|mut entries| entries.next().is_some()) {
        return Err(format!(
            "--keep folder {} is not empty; give an empty one, because records of two runs must not mix",
            dir.display()
        ));
    }
    let program =
        std::env::current_exe().map_err(|e| format!("cannot find the path of this program: {e}"))?;
    Ok((temporary, dir, program))
}

/// Returns a function that prints lines of progress to standard error, unless `quiet`.
fn progress_printer(quiet: bool) -> impl Fn(String) + Clone + 'static {
    move |line| {
        if !quiet {
            eprintln!("{line}");
        }
    }
}

/// Prints the report and writes it to the file of `--report`; `passed` decides the exit code.
fn finish(report: &impl serde::Serialize, out: &OutputArguments, passed: bool) -> Exit {
    let text = serde_json::to_string_pretty(report).unwrap_or_default();
    println!("{text}");
    if let Some(path) = &out.report {
        if let Err(e) = std::fs::write(path, text + "\n") {
            eprintln!("pepperhook: --report {}: {e}", path.display());
            return Exit::Usage;
        }
    }
    if passed { Exit::Done } else { Exit::Failed }
}

async fn rehearse_day(day: &Day, out: &OutputArguments) -> Exit {
    let (_temporary, dir, program) = match prepare_run(out) {
        Ok(prepared) => prepared,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Usage;
        }
    };
    match run_day(day, &program, &dir, progress_printer(out.quiet)).await {
        Ok(outcome) => finish(&outcome.report, out, outcome.violations.is_empty()),
        Err(e) => {
            eprintln!("pepperhook: {e}");
            Exit::Failed
        }
    }
}

async fn rehearse_duties(
    variation: &pepperhook_rehearse::duties::run::Variation,
    out: &OutputArguments,
) -> Exit {
    let (_temporary, dir, program) = match prepare_run(out) {
        Ok(prepared) => prepared,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Usage;
        }
    };
    match pepperhook_rehearse::duties::run::rehearse(variation, &program, &dir, progress_printer(out.quiet))
        .await
    {
        Ok(report) => {
            let passed = report.rules_broken.is_empty() && report.coverage.violations.is_empty();
            finish(&report, out, passed)
        }
        Err(e) => {
            eprintln!("pepperhook: {e}");
            Exit::Failed
        }
    }
}

async fn rehearse_agreement(plan: Plan, rerun_command: &str, out: &OutputArguments) -> Exit {
    let (_temporary, dir, program) = match prepare_run(out) {
        Ok(prepared) => prepared,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Usage;
        }
    };
    let exit = match pepperhook_rehearse::agreement::run::run_plan(
        plan,
        &program,
        &dir,
        progress_printer(out.quiet),
    )
    .await
    {
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
        eprintln!("pepperhook: to run it again: {rerun_command}");
    }
    exit
}

async fn rehearse_peak(variation: &Variation, out: &OutputArguments) -> Exit {
    let (_temporary, dir, program) = match prepare_run(out) {
        Ok(prepared) => prepared,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Usage;
        }
    };
    match pepperhook_rehearse::peak::rehearse(variation, &program, &dir, progress_printer(out.quiet)).await {
        Ok(report) => finish(&report, out, report.rules_broken.is_empty()),
        Err(e) => {
            eprintln!("pepperhook: {e}");
            Exit::Failed
        }
    }
}
