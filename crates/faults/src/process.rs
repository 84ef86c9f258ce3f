//! A process of the command.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// A process must say that it serves within this time.
pub const READY: Duration = Duration::from_secs(15);
/// Bytes of the line that says so, at most.
const MOST_LINE: u64 = 64 << 10;

/// A process that has said that it serves. It is killed when this is dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
    /// What it said.
    pub ready: Value,
}

impl Process {
    /// Starts a process and waits for its line. What it writes to standard error is added to `log`.
    ///
    /// # Errors
    /// Where it does not come up, with the end of its log.
    pub async fn start(program: &Path, arguments: &[&str], dir: &Path, log: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(log)?;
        let mut child = Command::new(program)
            .args(arguments)
            .current_dir(dir)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let (mut reader, mut line) = (BufReader::new(out), String::new());
        let read = async { (&mut reader).take(MOST_LINE).read_line(&mut line).await };
        let read = timeout(READY, read).await;
        let ready = serde_json::from_str(&line);
        let (Ok(Ok(_)), Ok(ready)) = (read, ready) else {
            let _ = child.kill().await;
            let said = std::fs::read_to_string(log).unwrap_or_default();
            let end: Vec<&str> = said.lines().rev().take(10).collect();
            let end: Vec<&str> = end.into_iter().rev().collect();
            return Err(io::Error::other(format!("it did not come up: {line:?}, {}", end.join("\n"))));
        };
        // What it says later is of no interest, but must be read lest it stand still.
        tokio::spawn(async move { tokio::io::copy(&mut reader, &mut tokio::io::sink()).await });
        Ok(Self { child, log: log.to_owned(), ready })
    }

    /// Its id, while it has not ended.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.id().and_then(|id| i32::try_from(id).ok());
        let id = id.ok_or_else(|| io::Error::other("the process has ended"))?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Kills it (SIGKILL) and waits for its end.
    ///
    /// # Errors
    /// Where it cannot be waited for.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// What it wrote to standard error so far.
    ///
    /// # Errors
    /// Where that cannot be read.
    pub fn log(&self) -> io::Result<String> {
        std::fs::read_to_string(&self.log)
    }
}
