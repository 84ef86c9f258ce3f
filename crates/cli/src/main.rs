//! The `pepperhook` command line: runs fronts, checks settings, simulates playout nodes, runs rehearsals and
//! administers running fronts.

mod admin;
mod demo;
mod log;
mod peak;
mod platform;
mod policy;
mod rehearse;
mod serve;

use clap::{Parser, Subcommand};
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Result of a command, which determines the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Exit code 0: the command succeeded.
    Done,
    /// Exit code 1: a rule was broken, a check failed or a request failed.
    Failed,
    /// Exit code 2: invalid arguments, settings or input files.
    Usage,
}

/// A session front: places video sessions on playout nodes and chooses their bit rates, over WHIP and WHEP.
///
/// Exit codes: 0 success, 1 a rule was broken or a check failed, 2 invalid arguments or settings.
#[derive(Parser)]
#[command(version, about, long_about, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a front until SIGTERM or SIGINT; it answers all accepted requests, then exits with 0.
    Serve {
        /// Settings file.
        #[arg(short, long)]
        config: PathBuf,
    },
    /// Run a front end for the platform's protocol until SIGTERM; it opens no other listener and stores nothing.
    Platform {
        /// The platform's configuration file; defaults to the path in the environment variable BALANCER_CONFIG.
        #[arg(short, long)]
        config: Option<PathBuf>,
    },
    /// Check the settings and the list of nodes and print their faults, without starting a front.
    Check {
        /// Settings file.
        #[arg(short, long)]
        config: PathBuf,
    },
    /// Simulate playout nodes on loopback; prints one JSON line per node with its addresses.
    Playout {
        /// JSON file with a list of nodes (see docs/rehearsals.md); defaults to one node with default options.
        #[arg(short, long)]
        config: Option<PathBuf>,
        /// Record the traffic on the sockets to this file, one JSON object per line.
        #[arg(short, long)]
        record: Option<PathBuf>,
    },
    /// Run a scripted day against real fronts and check the six rules from the recorded traffic.
    #[command(subcommand)]
    Rehearse(rehearse::Rehearsal),
    /// Announce, amend, cancel or list peaks at a running front, which forwards them to the other fronts.
    Peak {
        /// Admin address of the front.
        #[arg(long)]
        admin: std::net::SocketAddr,
        /// File with the admin key; defaults to the key in the environment variable PEPPERHOOK_ADMIN_KEY.
        #[arg(long)]
        key_file: Option<PathBuf>,
        #[command(subcommand)]
        command: peak::PeakCommand,
    },
    /// Show or change the fleet's agreed policy, or the fronts that vote on it, at a running front.
    Policy {
        /// Admin address of the front.
        #[arg(long)]
        admin: std::net::SocketAddr,
        /// File with the admin key; defaults to the key in the environment variable PEPPERHOOK_ADMIN_KEY.
        #[arg(long)]
        key_file: Option<PathBuf>,
        #[command(subcommand)]
        command: policy::PolicyCommand,
    },
    /// Run a front, nine simulated nodes and scripted viewers in one process, without any files.
    Demo {
        /// Stop after this time, such as 30s or 2m; without it, run until SIGTERM or SIGINT.
        #[arg(long = "for", value_parser = parse_duration)]
        length: Option<Duration>,
        /// Mean number of arriving viewers per second, 0.1 to 200.
        #[arg(long, default_value_t = 8.0)]
        rate: f64,
        /// Random seed of the viewers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Parses a non-negative duration with a unit, such as `500ms`.
fn parse_duration(text: &str) -> Result<Duration, String> {
    let invalid = || format!("'{text}' is not a duration such as 500ms, 30s or 2m; units are ms, s, m and h");
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(invalid)?;
    let value: f64 = text[..unit_start].parse().map_err(|_| invalid())?;
    let unit_s = match &text[unit_start..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return Err(invalid()),
    };
    Duration::try_from_secs_f64(value * unit_s).map_err(|_| invalid())
}

/// Runs a command on a single-threaded runtime, with support for tasks that are not `Send`.
fn run(work: impl Future<Output = Exit>) -> Exit {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("pepperhook: cannot start the async runtime: {e}");
            return Exit::Failed;
        }
    };
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

/// Waits for SIGTERM or SIGINT.
async fn shutdown_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
        (Ok(mut term), Ok(mut int)) => {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        }
        // No handler could be installed: a signal has its default action, which ends the process.
        _ => std::future::pending().await,
    }
}

fn main() -> ExitCode {
    let exit = match Arguments::parse().command {
        Command::Serve { config } => serve::serve(&config),
        Command::Platform { config } => platform::platform(config.as_deref()),
        Command::Check { config } => serve::check(&config),
        Command::Playout { config, record } => run(serve::playout(config, record)),
        Command::Rehearse(rehearsal) => {
            log::start(pepperhook_settings::LogFormat::Text, "warn");
            run(rehearse::rehearse(rehearsal))
        }
        Command::Peak { admin, key_file, command } => run(peak::peak(admin, key_file, command)),
        Command::Policy { admin, key_file, command } => run(policy::policy(admin, key_file, command)),
        Command::Demo { length, rate, seed } => {
            log::start(pepperhook_settings::LogFormat::Text, "warn");
            run(demo::demo(length, rate, seed))
        }
    };
    ExitCode::from(match exit {
        Exit::Done => 0,
        Exit::Failed => 1,
        Exit::Usage => 2,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use clap::CommandFactory;

    #[test]
    fn command_line_definition_is_consistent_and_durations_are_parsed() {
        Arguments::command().debug_assert();
        assert_eq!(parse_duration("1.5s"), Ok(Duration::from_millis(1_500)));
        assert!(
            parse_duration("5").is_err() && parse_duration("-1s").is_err() && parse_duration("s").is_err()
        );
    }
}
