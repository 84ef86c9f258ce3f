//! `policy`: what the fleet agrees on, asked of a running front.

use crate::Exit;
use crate::admin::{Admin, encoded};
use clap::Subcommand;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A change that is waited for is through, or undone, within this time.
const THROUGH: Duration = Duration::from_secs(120);

/// What is done.
#[derive(Subcommand)]
pub enum Verb {
    /// Print the policy in force here, the agreement's state and where the file differs, as JSON.
    Show {
        /// Print the policy's text alone, as `ask` takes it.
        #[arg(long)]
        text: bool,
    },
    /// Ask for another policy. Exit 0 when it is accepted, or with --wait when it stands everywhere.
    Ask {
        /// The whole policy, in the settings' form.
        file: PathBuf,
        /// The version that it was made from.
        #[arg(long)]
        against: u64,
        /// Who asks, for the others.
        #[arg(long)]
        by: String,
        /// Say what would change; change nothing.
        #[arg(long)]
        dry_run: bool,
        /// Wait until it stands everywhere, or is undone.
        #[arg(long)]
        wait: bool,
        /// Names this change; the same when it is asked for again. Printed with each answer.
        #[arg(long)]
        key: Option<String>,
    },
    /// Ask for one more voter, one less, or one in place of another.
    Voters {
        /// Front that is to vote.
        #[arg(long)]
        add: Option<String>,
        /// Front that is to vote no more.
        #[arg(long)]
        remove: Option<String>,
    },
}

/// Asks the front and prints its answer.
pub async fn policy(admin: SocketAddr, key_file: Option<PathBuf>, verb: Verb) -> Exit {
    let admin = match Admin::new(admin, key_file) {
        Ok(admin) => admin,
        Err(exit) => return exit,
    };
    let argument = |name: &str, value: &Option<String>| {
        value.as_ref().map_or(String::new(), |v| format!("&{name}={}", encoded(v)))
    };
    match verb {
        Verb::Show { text } => match admin.ask("GET", "/policy", b"", Duration::from_secs(5)).await {
            Ok(body) if text => {
                let shown: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
                match shown["text"].as_str() {
                    Some(text) => print!("{text}"),
                    None => {
                        eprintln!("pepperhook: no policy is agreed on");
                        return Exit::Failed;
                    }
                }
                Exit::Done
            }
            answer => admin.print(answer),
        },
        Verb::Ask { file, against, by, dry_run, wait, key } => {
            let text = match std::fs::read(&file) {
                Ok(text) => text,
                Err(e) => {
                    eprintln!("pepperhook: {}: {e}", file.display());
                    return Exit::Usage;
                }
            };
            let flag = |on: bool, name: &str| if on { format!("&{name}=yes") } else { String::new() };
            let path = format!(
                "/policy?against={against}&by={}{}{}{}",
                encoded(&by),
                argument("key", &key),
                flag(dry_run, "dry-run"),
                flag(wait, "wait")
            );
            let patience = if wait { THROUGH } else { Duration::from_secs(15) };
            admin.print(admin.ask("POST", &path, &text, patience).await)
        }
        Verb::Voters { add, remove } => {
            let path = format!("/voters?{}{}", argument("add", &add), argument("remove", &remove));
            admin.print(admin.ask("POST", &path, b"", Duration::from_secs(5)).await)
        }
    }
}
