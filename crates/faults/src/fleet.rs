//! Fronts behind relays: their settings, their processes, and the state that their consoles show.

use crate::net::{FrontAddresses, Net, StreamRelay, Unfit};
use crate::process::Process;
use crate::schedule::{ProcessAction, ProcessEvent, Schedule, ScheduleError, Store};
use nix::sys::signal::Signal;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Party of schedules: those that connect to fronts as viewers.
pub const VIEWERS: &str = "viewers";
/// Party of schedules: those that connect to the fronts' consoles.
pub const OPERATORS: &str = "operators";
/// Admin key of the consoles.
const ADMIN_KEY: &str = "key";
/// A console must answer within this time.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a console's answer, in bytes.
const MAX_STATE_BYTES: u64 = 16 << 20;
/// Interval of the queries to consoles while a condition is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Settings that the fleet generates; the caller's lines with these keywords are left out.
const GENERATED_SETTINGS: [&str; 7] =
    ["name", "listen", "admin", "admin-key", "inventory", "fronts", "state-dir"];

/// Error of a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// Error of a process, a file or a socket.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// The schedule cannot be played.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    /// A fault of the schedule applies to no link.
    #[error(transparent)]
    Unfit(#[from] Unfit),
    /// A condition was not met in time; with the last states of the consoles.
    #[error("not reached within {1:?}: {0}: {2}")]
    TimedOut(String, Duration, String),
}

/// Configuration of a front.
#[derive(Clone, Debug)]
pub struct Front {
    /// Its name in schedules.
    pub name: String,
    /// Its settings, without `section exchange`. The fleet replaces the front's own addresses, its name,
    /// inventory, state directory and number of fronts.
    pub settings: String,
}

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the command.
    pub program: PathBuf,
    /// Directory for settings, inventories, stores and logs.
    pub dir: PathBuf,
    /// Seed of the random effects on links.
    pub seed: u64,
    /// The fronts.
    pub fronts: Vec<Front>,
    /// Additional lines of `section exchange`.
    pub exchange: String,
    /// Names and addresses of the nodes.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Writes the inventory of the given names and addresses of nodes.
    pub inventory: fn(&[(String, SocketAddr)]) -> String,
    /// Whether fronts have a `state-dir`.
    pub has_state_dirs: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ProcessState {
    Running,
    Stopped,
    Down,
}

struct Member {
    name: String,
    process: Option<Process>,
    state: ProcessState,
    viewers: StreamRelay,
    operators: StreamRelay,
    /// Whether there is a saved copy of its store.
    has_saved_store: bool,
}

/// Running fronts and their relays. The processes are killed when this is dropped.
pub struct Fleet {
    options: Options,
    net: Net,
    members: Vec<Member>,
}

/// Adds to an error what it concerns.
fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> FleetError {
    let what = what.into();
    move |e| FleetError::Io(what, e)
}

/// Replaces the directory `to` by a copy of the files of `from`.
fn copy_dir(from: &Path, to: &Path) -> io::Result<()> {
    match std::fs::remove_dir_all(to) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => std::fs::create_dir_all(to)?,
    }
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

impl Fleet {
    /// Starts relays and fronts, one after the other. Each front must report that it serves before the next
    /// one starts.
    ///
    /// # Errors
    /// If a relay or a front does not start.
    pub async fn start(options: Options) -> Result<Self, FleetError> {
        let net = Net::new(options.seed);
        let names: Vec<String> = options.fronts.iter().map(|f| f.name.clone()).collect();
        let addresses = net.fronts(&names).await.map_err(io("relays"))?;
        let mut members = Vec::new();
        for (i, front) in options.fronts.iter().enumerate() {
            let mut nodes = Vec::new();
            for (node, address) in &options.nodes {
                let relay = net.stream(&front.name, node, Some(*address)).await.map_err(io(node))?;
                nodes.push((node.clone(), relay.address));
            }
            let write = |ending: &str, text: String| {
                let path = options.dir.join(format!("{}.{ending}", front.name));
                std::fs::write(path, text).map_err(io(format!("{}.{ending}", front.name)))
            };
            write("csv", (options.inventory)(&nodes))?;
            write("conf", settings(&options, front, i, &addresses))?;
            let viewers = net.stream(VIEWERS, &front.name, None).await.map_err(io(VIEWERS))?;
            let operators = net.stream(OPERATORS, &front.name, None).await.map_err(io(OPERATORS))?;
            let name = front.name.clone();
            members.push(Member {
                name,
                process: None,
                state: ProcessState::Down,
                viewers,
                operators,
                has_saved_store: false,
            });
        }
        let mut fleet = Self { options, net, members };
        for i in 0..fleet.members.len() {
            fleet.start_front(i, Store::Kept).await?;
        }
        Ok(fleet)
    }

    /// The links, to which faults can be added.
    #[must_use]
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// Address at which viewers connect to front `i`, through their relay.
    #[must_use]
    pub fn viewer_address(&self, i: usize) -> SocketAddr {
        self.members[i].viewers.address
    }

    /// Address at which operators connect to front `i`, through their relay.
    #[must_use]
    pub fn operator_address(&self, i: usize) -> SocketAddr {
        self.members[i].operators.address
    }

    /// The log of front `i` over all its runs.
    ///
    /// # Errors
    /// If it cannot be read.
    pub fn log(&self, i: usize) -> Result<String, FleetError> {
        std::fs::read_to_string(self.path(i, "log")).map_err(io(self.members[i].name.as_str()))
    }

    /// Indices of the running fronts.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|i| self.members[*i].state == ProcessState::Running).collect()
    }

    fn path(&self, i: usize, ending: &str) -> PathBuf {
        self.options.dir.join(format!("{}.{ending}", self.members[i].name))
    }

    // ---- processes -----------------------------------------------------------------------------

    /// Starts a front that is down.
    ///
    /// # Errors
    /// If it does not start, or if there is no saved store.
    pub async fn start_front(&mut self, i: usize, store: Store) -> Result<(), FleetError> {
        let name = self.members[i].name.clone();
        if self.options.has_state_dirs {
            let state = self.path(i, "state");
            match store {
                Store::Kept => {}
                Store::None => match std::fs::remove_dir_all(&state) {
                    Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(FleetError::Io(name, e)),
                    _ => {}
                },
                Store::Older if self.members[i].has_saved_store => {
                    copy_dir(&self.path(i, "saved"), &state).map_err(io(name.as_str()))?;
                }
                Store::Older => {
                    return Err(FleetError::Io(name, io::Error::other("no copy of its store was saved")));
                }
            }
            std::fs::create_dir_all(&state).map_err(io(name.as_str()))?;
        }
        let (conf, log) = (self.path(i, "conf"), self.path(i, "log"));
        let conf = conf.to_string_lossy();
        let arguments = ["serve", "-c", &*conf];
        let process = Process::start(&self.options.program, &arguments, &self.options.dir, &log).await;
        let process = process.map_err(io(name.as_str()))?;
        let address = |field: &str| process.ready[field].as_str().and_then(|a| a.parse().ok());
        let m = &mut self.members[i];
        m.viewers.set_target(address("address"));
        m.operators.set_target(address("admin"));
        (m.process, m.state) = (Some(process), ProcessState::Running);
        Ok(())
    }

    /// Kills a front (SIGKILL), also one that is stopped.
    ///
    /// # Errors
    /// If its end cannot be waited for.
    pub async fn kill(&mut self, i: usize) -> Result<(), FleetError> {
        let m = &mut self.members[i];
        m.viewers.set_target(None);
        m.operators.set_target(None);
        m.state = ProcessState::Down;
        match m.process.take() {
            Some(mut process) => process.kill().await.map_err(io(m.name.as_str())),
            None => Ok(()),
        }
    }

    fn signal(&mut self, i: usize, signal: Signal, state: ProcessState) -> Result<(), FleetError> {
        let m = &mut self.members[i];
        let down = || io::Error::other("the front is down");
        let sent = m.process.as_ref().ok_or_else(down).and_then(|p| p.signal(signal));
        sent.map_err(io(m.name.as_str()))?;
        m.state = state;
        Ok(())
    }

    /// Stops a front's process (SIGSTOP).
    ///
    /// # Errors
    /// If it is down.
    pub fn stop(&mut self, i: usize) -> Result<(), FleetError> {
        self.signal(i, Signal::SIGSTOP, ProcessState::Stopped)
    }

    /// Resumes a stopped front (SIGCONT).
    ///
    /// # Errors
    /// If it is down.
    pub fn resume(&mut self, i: usize) -> Result<(), FleetError> {
        self.signal(i, Signal::SIGCONT, ProcessState::Running)
    }

    /// Saves a copy of a front's store.
    ///
    /// # Errors
    /// If it has no store.
    pub fn save(&mut self, i: usize) -> Result<(), FleetError> {
        copy_dir(&self.path(i, "state"), &self.path(i, "saved"))
            .map_err(io(self.members[i].name.as_str()))?;
        self.members[i].has_saved_store = true;
        Ok(())
    }

    /// Runs a schedule from now to its end.
    ///
    /// # Errors
    /// If it is not valid for this fleet, in which case nothing has happened, or if a front does not start.
    pub async fn run_schedule(&mut self, schedule: &Schedule) -> Result<(), FleetError> {
        let fronts: Vec<&str> = self.members.iter().map(|m| m.name.as_str()).collect();
        let nodes = self.options.nodes.iter().map(|n| n.0.as_str());
        let others: Vec<&str> = nodes.chain([VIEWERS, OPERATORS]).collect();
        schedule.check(&fronts, &others)?;
        let (started, base_us) = (Instant::now(), self.net.now_us());
        for fault in &schedule.faults {
            self.net.add_fault(fault, base_us)?;
        }
        let mut events: Vec<&ProcessEvent> = schedule.processes.iter().collect();
        events.sort_by_key(|event| event.at_ms);
        for event in events {
            sleep_until(started + Duration::from_millis(event.at_ms)).await;
            let Some(i) = self.members.iter().position(|m| m.name == event.front) else { continue };
            match event.action {
                ProcessAction::Kill => self.kill(i).await?,
                ProcessAction::Stop => self.stop(i)?,
                ProcessAction::Cont => self.resume(i)?,
                ProcessAction::Save => self.save(i)?,
                ProcessAction::Start => {
                    self.kill(i).await?;
                    self.start_front(i, event.store).await?;
                }
            }
        }
        sleep_until(started + Duration::from_millis(schedule.length_ms())).await;
        Ok(())
    }

    // ---- state of the consoles ------------------------------------------------------------------------

    /// The state that a front's console shows. Queried directly, not through the relay, since faults must not
    /// affect checks.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn state(&self, i: usize) -> Result<Value, FleetError> {
        let m = &self.members[i];
        let admin = m.process.as_ref().and_then(|p| p.ready["admin"].as_str()?.parse().ok());
        let admin: SocketAddr = admin.ok_or_else(|| io(&*m.name)(io::Error::other("the front is down")))?;
        let body =
            timeout(CONSOLE_TIMEOUT, get(admin, "/state")).await.map_err(|e| io(&*m.name)(e.into()))?;
        serde_json::from_slice(&body.map_err(io(&*m.name))?).map_err(|e| io(&*m.name)(e.into()))
    }

    /// The states of the running fronts.
    ///
    /// # Errors
    /// If one does not answer.
    pub async fn states(&self) -> Result<Vec<Value>, FleetError> {
        let mut states = Vec::new();
        for i in self.running() {
            states.push(self.state(i).await?);
        }
        Ok(states)
    }

    /// Waits until `condition` holds for the states of the running fronts; returns how long that took. `what`
    /// names the condition and `summary` describes a state in the error.
    ///
    /// # Errors
    /// If the condition does not hold within `limit`, or a front does not answer.
    pub async fn wait_until(
        &self,
        what: &str,
        limit: Duration,
        summary: impl Fn(&Value) -> String,
        condition: impl Fn(&[Value]) -> bool,
    ) -> Result<Duration, FleetError> {
        let started = Instant::now();
        loop {
            let states = self.states().await?;
            if condition(&states) {
                return Ok(started.elapsed());
            }
            if started.elapsed() > limit {
                return Err(FleetError::TimedOut(what.into(), limit, states.iter().map(summary).collect()));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Whether the membership view of each of these fronts consists of exactly these fronts.
#[must_use]
pub fn same_view(states: &[Value]) -> bool {
    let view = |s: &Value| -> BTreeSet<u64> {
        s["members"].as_array().into_iter().flatten().filter_map(|m| m["front"].as_u64()).collect()
    };
    let own = |s: &Value| {
        let rows = s["members"].as_array()?;
        rows.iter().find(|m| m["own"] == Value::Bool(true))?["front"].as_u64()
    };
    let fronts: BTreeSet<u64> = states.iter().filter_map(own).collect();
    fronts.len() == states.len() && states.iter().all(|s| view(s) == fronts)
}

/// The complete settings of front `i`.
fn settings(options: &Options, front: &Front, i: usize, addresses: &[FrontAddresses]) -> String {
    let dir = options.dir.display();
    let name = &front.name;
    let mut text = format!(
        "name {name}\nlisten 127.0.0.1:0\nadmin 127.0.0.1:0\nadmin-key {ADMIN_KEY}\ninventory {dir}/{name}.csv\nfronts {}\n",
        options.fronts.len()
    );
    if options.has_state_dirs {
        text += &format!("state-dir {dir}/{name}.state\n");
    }
    let mut before_sections = true;
    for line in front.settings.lines() {
        let keyword = line.split_whitespace().next().unwrap_or_default();
        before_sections &= keyword != "section";
        if !(before_sections && GENERATED_SETTINGS.contains(&keyword)) {
            text += line;
            text.push('\n');
        }
    }
    text += "section exchange\nkey faults\n";
    for (j, of_front) in addresses.iter().enumerate() {
        if i == j {
            text += &format!("listen {}\nadvertise {}\n", of_front.listen, of_front.advertise);
        } else {
            text += &format!("peer {}\n", of_front.advertise);
        }
    }
    text + &options.exchange
}

/// Sends one GET request with the console's key and returns the body.
async fn get(address: SocketAddr, path: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {ADMIN_KEY}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut all = Vec::new();
    stream.take(MAX_STATE_BYTES).read_to_end(&mut all).await?;
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut reply = httparse::Response::new(&mut headers);
    let parsed = reply.parse(&all).map_err(io::Error::other)?;
    match (parsed, reply.code) {
        (httparse::Status::Complete(n), Some(200)) => Ok(all.split_off(n)),
        (_, code) => Err(io::Error::other(format!("{path}: status {code:?}, expected 200"))),
    }
}
