//! The `peak` command: administers announced peaks at a running front.

use crate::Exit;
use crate::admin::{AdminClient, percent_encode};
use clap::{Args, Subcommand};
use pepperhook_peaks::Announcement;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Operations on announced peaks.
#[derive(Subcommand)]
pub enum PeakCommand {
    /// Announce a new peak.
    Announce(PeakArguments),
    /// Replace an announced peak; all of its values must be given again.
    Amend(PeakArguments),
    /// Cancel a peak; its reserved capacity is released at once here, at other fronts with the next exchange.
    Cancel {
        /// Name of the peak.
        name: String,
    },
    /// Print announced peaks and reserved capacity as JSON.
    List,
}

/// An announced peak as given on the command line.
#[derive(Args)]
pub struct PeakArguments {
    /// Name of the peak.
    name: String,
    /// A title that viewers will play; may be repeated.
    #[arg(long = "title", required = true)]
    titles: Vec<String>,
    /// Class of the viewers.
    #[arg(long)]
    class: String,
    /// Expected concurrent viewers as SECONDS:VIEWERS steps, in seconds after the start: 0:100,60:400,300:50.
    #[arg(long, value_parser = parse_steps)]
    viewers: ViewerSteps,
    /// Start: Unix time in milliseconds, or a duration from now such as +90s.
    #[arg(long, value_parser = parse_time_ms)]
    start: u64,
    /// End: Unix time in milliseconds, or a duration from now such as +10m.
    #[arg(long, value_parser = parse_time_ms)]
    end: u64,
    /// How long before the start capacity is reserved.
    #[arg(long, default_value = "30s", value_parser = crate::parse_duration)]
    lead: Duration,
    /// Rung of the ladder that is reserved for each viewer.
    #[arg(long, default_value_t = 1)]
    rung: u8,
}

/// Expected concurrent viewers from each step on: seconds after the start, number of viewers.
#[derive(Clone)]
pub struct ViewerSteps(Vec<(u64, u32)>);

fn parse_steps(text: &str) -> Result<ViewerSteps, String> {
    let step = |step: &str| {
        let (seconds, viewers) = step.split_once(':')?;
        Some((seconds.trim().parse().ok()?, viewers.trim().parse().ok()?))
    };
    let steps: Option<Vec<_>> = text.split(',').map(step).collect();
    steps
        .map(ViewerSteps)
        .ok_or_else(|| format!("'{text}' is not a list of SECONDS:VIEWERS steps such as 0:100,60:400"))
}

/// Parses an absolute time, or one relative to now, to Unix milliseconds.
fn parse_time_ms(text: &str) -> Result<u64, String> {
    match text.strip_prefix('+') {
        Some(from_now) => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
            u64::try_from((now + crate::parse_duration(from_now)?).as_millis()).map_err(|e| e.to_string())
        }
        None => text.parse().map_err(|_| {
            format!("'{text}' is neither a Unix time in milliseconds nor a duration from now such as +90s")
        }),
    }
}

impl PeakArguments {
    fn into_announcement(self) -> Announcement {
        Announcement {
            name: self.name,
            titles: self.titles,
            class: self.class,
            viewers: self.viewers.0,
            start_ms: self.start,
            end_ms: self.end,
            lead_ms: u64::try_from(self.lead.as_millis()).unwrap_or(u64::MAX),
            rung: self.rung,
            cancelled: false,
        }
    }
}

/// Sends the request for a command to the front and prints the reply.
pub async fn peak(admin: SocketAddr, key_file: Option<PathBuf>, command: PeakCommand) -> Exit {
    let client = match AdminClient::new(admin, key_file) {
        Ok(client) => client,
        Err(exit) => return exit,
    };
    let json = |announcement: &Announcement| serde_json::to_vec(announcement).unwrap_or_default();
    let path = |name: &str| format!("/peaks/{}", percent_encode(name));
    let (method, path, body) = match command {
        PeakCommand::Announce(arguments) => {
            ("POST", "/peaks".to_owned(), json(&arguments.into_announcement()))
        }
        PeakCommand::Amend(arguments) => {
            let announcement = arguments.into_announcement();
            ("PUT", path(&announcement.name), json(&announcement))
        }
        PeakCommand::Cancel { name } => ("DELETE", path(&name), Vec::new()),
        PeakCommand::List => ("GET", "/peaks".to_owned(), Vec::new()),
    };
    client.print(client.request(method, &path, &body, Duration::from_secs(5)).await)
}
