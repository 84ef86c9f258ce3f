//! `rehearse`: a day through real fronts.

use crate::Exit;
use clap::Subcommand;
use pepperhook_rehearse::conduct::play;
use pepperhook_rehearse::day::{Day, bad_day};
use std::path::{Path, PathBuf};

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
        What::BadDay { seed, fronts, seconds, out } => {
            if !(10.0..=60.0).contains(&seconds) {
                eprintln!("pepperhook: --seconds is {seconds}; 10 to 60 is allowed");
                return Exit::Usage;
            }
            (Ok(bad_day(seed, fronts.max(1), seconds)), out)
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

async fn rehearse_day(day: &Day, out: &Out) -> Exit {
    let fault = |e: &dyn std::fmt::Display| {
        eprintln!("pepperhook: {e}");
        Exit::Usage
    };
    let temporary = match tempfile::tempdir() {
        Ok(dir) => dir,
        Err(e) => return fault(&e),
    };
    let dir: &Path = out.keep.as_deref().unwrap_or(temporary.path());
    if let Err(e) = std::fs::create_dir_all(dir) {
        return fault(&e);
    }
    if std::fs::read_dir(dir).is_ok_and(|mut d| d.next().is_some()) {
        return fault(&format!("{} is not empty: records of two runs must not mix", dir.display()));
    }
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(e) => return fault(&e),
    };
    let quiet = out.quiet;
    let tell = move |line: String| {
        if !quiet {
            eprintln!("{line}");
        }
    };
    let outcome = match play(day, &program, dir, tell).await {
        Ok(outcome) => outcome,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Failed;
        }
    };
    let text = serde_json::to_string_pretty(&outcome.report).unwrap_or_default();
    println!("{text}");
    if let Some(path) = &out.report {
        if let Err(e) = std::fs::write(path, text + "\n") {
            return fault(&format!("{}: {e}", path.display()));
        }
    }
    if outcome.breaches.is_empty() { Exit::Done } else { Exit::Failed }
}
