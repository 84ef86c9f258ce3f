//! `peak`: announced peaks at a running front.

use crate::Exit;
use crate::admin::{Admin, encoded};
use clap::{Args, Subcommand};
use pepperhook_peaks::Announcement;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What is done.
#[derive(Subcommand)]
pub enum Verb {
    /// Announce a new peak.
    Announce(Said),
    /// Amend one that stands; all is said anew.
    Amend(Said),
    /// Call one off; held room returns at once here, at other fronts with the next exchange.
    Cancel {
        /// Its name.
        name: String,
    },
    /// Print announcements and holds as JSON.
    List,
}

/// A peak in words.
#[derive(Args)]
pub struct Said {
    /// Its name.
    name: String,
    /// A title; may be given again.
    #[arg(long = "title", required = true)]
    titles: Vec<String>,
    /// Class of its viewers.
    #[arg(long)]
    class: String,
    /// Expected viewers at once, by seconds from the start: 0:100,60:400,300:50.
    #[arg(long, value_parser = course)]
    viewers: Course,
    /// Start: Unix milliseconds, or from now as +90s.
    #[arg(long, value_parser = moment)]
    start: u64,
    /// End: Unix milliseconds, or from now as +10m.
    #[arg(long, value_parser = moment)]
    end: u64,
    /// Room is held from so long before the start.
    #[arg(long, default_value = "30s", value_parser = crate::duration)]
    lead: Duration,
    /// Rung that is held for each viewer.
    #[arg(long, default_value_t = 1)]
    rung: u8,
}

/// Steps of an expected course.
#[derive(Clone)]
pub struct Course(Vec<(u64, u32)>);

fn course(text: &str) -> Result<Course, String> {
    let step = |s: &str| {
        let (at, n) = s.split_once(':')?;
        Some((at.trim().parse().ok()?, n.trim().parse().ok()?))
    };
    let steps: Option<Vec<_>> = text.split(',').map(step).collect();
    steps.map(Course).ok_or_else(|| format!("'{text}' is no course such as 0:100,60:400"))
}

fn moment(text: &str) -> Result<u64, String> {
    match text.strip_prefix('+') {
        Some(after) => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
            u64::try_from((now + crate::duration(after)?).as_millis()).map_err(|e| e.to_string())
        }
        None => text
            .parse()
            .map_err(|_| format!("'{text}' is neither Unix milliseconds nor a time from now such as +90s")),
    }
}

impl Said {
    fn announcement(self) -> Announcement {
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

/// Asks the front and prints its answer.
pub async fn peak(admin: SocketAddr, key_file: Option<PathBuf>, verb: Verb) -> Exit {
    let admin = match Admin::new(admin, key_file) {
        Ok(admin) => admin,
        Err(exit) => return exit,
    };
    let json = |a: &Announcement| serde_json::to_vec(a).unwrap_or_default();
    let path = |name: &str| format!("/peaks/{}", encoded(name));
    let (method, path, body) = match verb {
        Verb::Announce(said) => ("POST", "/peaks".to_owned(), json(&said.announcement())),
        Verb::Amend(said) => {
            let said = said.announcement();
            ("PUT", path(&said.name), json(&said))
        }
        Verb::Cancel { name } => ("DELETE", path(&name), Vec::new()),
        Verb::List => ("GET", "/peaks".to_owned(), Vec::new()),
    };
    admin.print(admin.ask(method, &path, &body, Duration::from_secs(5)).await)
}
