//! The `policy` command: shows and changes the fleet's agreed policy and its voters at a running front.

use crate::Exit;
use crate::admin::{AdminClient, percent_encode};
use clap::Subcommand;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Reply timeout with `--wait`: a policy change is in force on all fronts, or undone, within this time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// Operations on the agreed policy and its voters.
#[derive(Subcommand)]
pub enum PolicyCommand {
    /// Print the policy in force at this front, the agreement's state and differences from the settings file, as JSON.
    Show {
        /// Print only the policy's text, in the form that `ask` reads.
        #[arg(long)]
        text: bool,
    },
    /// Propose a new policy. Exits with 0 once it is accepted, or with --wait once it is in force on all fronts.
    Ask {
        /// File with the complete policy, in the format of a settings file.
        file: PathBuf,
        /// Version of the policy that the new one is based on.
        #[arg(long)]
        against: u64,
        /// Name of the operator, shown to other operators.
        #[arg(long)]
        by: String,
        /// Print what would change without changing it.
        #[arg(long)]
        dry_run: bool,
        /// Wait until the policy is in force on all fronts, or undone.
        #[arg(long)]
        wait: bool,
        /// Idempotency key of this change, printed with each reply; pass the same key when repeating the request.
        #[arg(long)]
        key: Option<String>,
    },
    /// Add a voter, remove one, or replace one by another.
    Voters {
        /// Front that becomes a voter.
        #[arg(long)]
        add: Option<String>,
        /// Front that stops being a voter.
        #[arg(long)]
        remove: Option<String>,
    },
}

/// Sends the request for a command to the front and prints the reply.
pub async fn policy(admin: SocketAddr, key_file: Option<PathBuf>, command: PolicyCommand) -> Exit {
    let client = match AdminClient::new(admin, key_file) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    let optional_argument = |name: &str, value: &Option<String>| {
        value.as_ref().map_or(String::new(), |value| format!("&{name}={}", percent_encode(value)))
    };
    match command {
        PolicyCommand::Show { text } => {
            match client.request("GET", "/policy", b"", Duration::from_secs(5)).await {
                Ok(body) if text => {
                    let reply: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
                    match reply["text"].as_str() {
                        Some(text) => print!("{text}"),
                        None => {
                            eprintln!("pepperhook: the fleet has no agreed policy yet");
                            return Exit::Failed;
                        }
                    }
                    Exit::Done
                }
                reply_body => client.print(reply_body),
            }
        }
        PolicyCommand::Ask { file, against, by, dry_run, wait, key } => {
            let text = match std::fs::read(&file) {
                Ok(text) => text,
                Err(e) => {
                    eprintln!("pepperhook: {}: {e}", file.display());
                    return Exit::Usage;
                }
            };
            let optional_flag =
                |on: bool, name: &str| if on { format!("&{name}=yes") } else { String::new() };
            let path = format!(
                "/policy?against={against}&by={}{}{}{}",
                percent_encode(&by),
                optional_argument("key", &key),
                optional_flag(dry_run, "dry-run"),
                optional_flag(wait, "wait")
            );
            let timeout = if wait { WAIT_TIMEOUT } else { Duration::from_secs(15) };
            client.print(client.request("POST", &path, &text, timeout).await)
        }
        PolicyCommand::Voters { add, remove } => {
            let path =
                format!("/voters?{}{}", optional_argument("add", &add), optional_argument("remove", &remove));
            client.print(client.request("POST", &path, b"", Duration::from_secs(5)).await)
        }
    }
}
