//! The `pepperhook` command: serves, checks settings, stands in for playout nodes, rehearses.

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

/// Exit codes: 0 done, 1 a rule broke or a check failed, 2 wrong usage or settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// 0.
    Done,
    /// 1.
    Failed,
    /// 2.
    Usage,
}

/// A session front: places video sessions on playout nodes and shapes them, over WHIP and WHEP.
///
/// Exit codes: 0 done, 1 a rule broke or a check failed, 2 wrong usage or settings.
#[derive(Parser)]
#[command(version, about, long_about, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run a front until SIGTERM or SIGINT; it answers what it has taken, then exits 0.
    Serve {
        /// Settings file.
        #[arg(short, long)]
        config: PathBuf,
    },
    /// Run a front end on the platform's protocol until SIGTERM; nothing else listens, nothing is stored.
    Platform {
        /// The platform's configuration; else the environment variable BALANCER_CONFIG names it.
        #[arg(short, long)]
        config: Option<PathBuf>,
    },
    /// Read settings and the list of nodes, print what is wrong, start nothing.
    Check {
        /// Settings file.
        #[arg(short, long)]
        config: PathBuf,
    },
    /// Stand in for playout nodes on loopback; prints one JSON line a node with its addresses.
    Playout {
        /// JSON file with a list of nodes; see docs/rehearsals.md. Without it, one node with defaults.
        #[arg(short, long)]
        config: Option<PathBuf>,
        /// Write what passes on the sockets to this file, a JSON object a line.
        #[arg(short, long)]
        record: Option<PathBuf>,
    },
    /// Play a day through real fronts and judge the six rules from the sockets.
    #[command(subcommand)]
    Rehearse(rehearse::What),
    /// Announce, amend, call off or list peaks at a running front; it tells the others.
    Peak {
        /// Admin address of the front.
        #[arg(long)]
        admin: std::net::SocketAddr,
        /// File that holds the admin key; else the environment variable PEPPERHOOK_ADMIN_KEY.
        #[arg(long)]
        key_file: Option<PathBuf>,
        #[command(subcommand)]
        verb: peak::Verb,
    },
    /// Show or change the policy that the fleet agrees on, or who votes on it, at a running front.
    Policy {
        /// Admin address of the front.
        #[arg(long)]
        admin: std::net::SocketAddr,
        /// File that holds the admin key; else the environment variable PEPPERHOOK_ADMIN_KEY.
        #[arg(long)]
        key_file: Option<PathBuf>,
        #[command(subcommand)]
        verb: policy::Verb,
    },
    /// Run a front, nine stand-in nodes and scripted viewers in one process, without any file.
    Demo {
        /// Stop after this time, such as 30s or 2m; else run until a signal.
        #[arg(long = "for", value_parser = duration)]
        length: Option<Duration>,
        /// Viewers a second.
        #[arg(long, default_value_t = 8.0)]
        rate: f64,
        /// Seed of the viewers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn duration(text: &str) -> Result<Duration, String> {
    let wrong = || format!("'{text}' is no time such as 500ms, 30s or 2m");
    let cut = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(wrong)?;
    let value: f64 = text[..cut].parse().map_err(|_| wrong())?;
    let unit = match &text[cut..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return Err(wrong()),
    };
    Duration::try_from_secs_f64(value * unit).map_err(|_| wrong())
}

/// Runs on the current thread, with tasks that stay there.
fn run(work: impl Future<Output = Exit>) -> Exit {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("pepperhook: the runtime did not start: {e}");
            return Exit::Failed;
        }
    };
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

/// Resolves at SIGTERM or SIGINT.
async fn signalled() {
    use tokio::signal::unix::{SignalKind, signal};
    match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
        (Ok(mut term), Ok(mut int)) => {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        }
        // Without handlers the default action ends the process.
        _ => std::future::pending().await,
    }
}

fn main() -> ExitCode {
    let exit = match Arguments::parse().command {
        Verb::Serve { config } => serve::serve(&config),
        Verb::Platform { config } => platform::platform(config.as_deref()),
        Verb::Check { config } => serve::check(&config),
        Verb::Playout { config, record } => run(serve::playout(config, record)),
        Verb::Rehearse(what) => {
            log::start(pepperhook_settings::LogFormat::Text, "warn");
            run(rehearse::rehearse(what))
        }
        Verb::Peak { admin, key_file, verb } => run(peak::peak(admin, key_file, verb)),
        Verb::Policy { admin, key_file, verb } => run(policy::policy(admin, key_file, verb)),
        Verb::Demo { length, rate, seed } => {
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
    fn the_command_line_agrees_with_itself_and_times_are_read() {
        Arguments::command().debug_assert();
        assert_eq!(duration("1.5s"), Ok(Duration::from_millis(1_500)));
        assert!(duration("5").is_err() && duration("-1s").is_err() && duration("s").is_err());
    }
}
