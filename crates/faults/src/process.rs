//! A running process of the command.

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

/// A process must report that it serves within this time.
pub const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum length of the line that reports it, in bytes.
const MAX_READY_LINE_BYTES: u64 = 64 << 10;

/// A process that has reported that it serves. It is killed when this is dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
    /// The line with which it reported that it serves.
    pub ready: Value,
}

impl Process {
    /// Starts a process and waits until it reports that it serves. Its standard error is appended to `log`.
    ///
    /// # Errors
    /// If it does not start to serve; the error has the end of its log.
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
        let read = async { (&mut reader).take(MAX_READY_LINE_BYTES).read_line(&mut line).await };
        let read = timeout(READY_TIMEOUT, read).await;
        let ready = serde_json::from_str(&line);
        let (Ok(Ok(_)), Ok(ready)) = (read, ready) else {
            let _ = child.kill().await;
            let logged = std::fs::read_to_string(log).unwrap_or_default();
            let end: Vec<&str> = logged.lines().rev().take(10).collect();
            let end: Vec<&str> = end.into_iter().rev().collect();
            return Err(io::Error::other(format!(
                "the process did not report that it serves: first line {line:?}, end of its log: {}",
                end.join("\n")
            )));
        };
        // Later output is discarded, but must be read: a full pipe would block the process.
        tokio::spawn(async move { tokio::io::copy(&mut reader, &mut tokio::io::sink()).await });
        Ok(Self { child, log: log.to_owned(), ready })
    }

    /// Its process id; `None` once it has ended.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// If it has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.id().and_then(|id| i32::try_from(id).ok());
        let id = id.ok_or_else(|| io::Error::other("the process has ended"))?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Kills it (SIGKILL) and waits until it has ended.
    ///
    /// # Errors
    /// If its end cannot be waited for.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// What it has written to standard error so far.
    ///
    /// # Errors
    /// If the log cannot be read.
    pub fn log(&self) -> io::Result<String> {
        std::fs::read_to_string(&self.log)
    }
}
