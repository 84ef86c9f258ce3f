//! Fronts behind relays: their settings, their processes, and what their consoles show.

use crate::net::{Entrance, Net, Place, Unfit};
use crate::process::Process;
use crate::schedule::{Act, Bad, Do, Schedule, Store};
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

/// Party of schedules: who connects to fronts as viewers do.
pub const VIEWERS: &str = "viewers";
/// Party of schedules: who connects to fronts' consoles.
pub const OPERATORS: &str = "operators";
/// Key of the consoles.
const KEY: &str = "key";
/// A console has so long to answer ...
const CONSOLE: Duration = Duration::from_secs(3);
/// ... with so many bytes at most.
const MOST_STATE: u64 = 16 << 20;
/// Consoles are looked at so often while something is awaited.
const LOOK: Duration = Duration::from_millis(50);
/// Lines of the caller's that this writes itself.
const OWN: [&str; 7] = ["name", "listen", "admin", "admin-key", "inventory", "fronts", "state-dir"];

/// What went wrong with a fleet.
#[derive(Debug, Error)]
pub enum Fault {
    /// A process, a file or a socket.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// The schedule cannot be played.
    #[error(transparent)]
    Schedule(#[from] Bad),
    /// One of its faults fits no link.
    #[error(transparent)]
    Unfit(#[from] Unfit),
    /// Something did not come about in its time; with what consoles showed last.
    #[error("never, in {1:?}: {0}: {2}")]
    Never(String, Duration, String),
}

/// A front to be.
#[derive(Clone, Debug)]
pub struct Front {
    /// Its name, by which schedules call it.
    pub name: String,
    /// Its settings, without `section exchange`. What is written of a front's own addresses, name, list and number of
    /// fronts is put in its place here.
    pub text: String,
}

/// A fleet to be.
#[derive(Clone, Debug)]
pub struct Options {
    /// The command.
    pub program: PathBuf,
    /// Where settings, lists, stores and logs are written.
    pub dir: PathBuf,
    /// Seed of what chance does on links.
    pub seed: u64,
    /// The fronts.
    pub fronts: Vec<Front>,
    /// More lines of `section exchange`.
    pub exchange: String,
    /// The nodes, as they stand.
    pub nodes: Vec<(String, SocketAddr)>,
    /// The list of nodes for fronts, of names and addresses.
    pub list: fn(&[(String, SocketAddr)]) -> String,
    /// Fronts have a `state-dir`.
    pub stores: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Life {
    Runs,
    Stopped,
    Down,
}

struct Member {
    name: String,
    process: Option<Process>,
    life: Life,
    viewers: Entrance,
    operators: Entrance,
    /// A copy of its store.
    saved: bool,
}

/// Fronts that run, and all that lies between. They are killed when this is dropped.
pub struct Fleet {
    options: Options,
    net: Net,
    members: Vec<Member>,
}

fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> Fault {
    let what = what.into();
    move |e| Fault::Io(what, e)
}

/// Copies a folder of files.
fn copy(from: &Path, to: &Path) -> io::Result<()> {
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
    /// Starts relays and fronts, one after the other; each is waited for until it says that it serves.
    ///
    /// # Errors
    /// Where one does not come up.
    pub async fn start(options: Options) -> Result<Self, Fault> {
        let net = Net::new(options.seed);
        let names: Vec<String> = options.fronts.iter().map(|f| f.name.clone()).collect();
        let places = net.fronts(&names).await.map_err(io("relays"))?;
        let mut members = Vec::new();
        for (i, front) in options.fronts.iter().enumerate() {
            let mut nodes = Vec::new();
            for (node, at) in &options.nodes {
                let entrance = net.stream(&front.name, node, Some(*at)).await.map_err(io(node))?;
                nodes.push((node.clone(), entrance.address));
            }
            let write = |ending: &str, text: String| {
                let path = options.dir.join(format!("{}.{ending}", front.name));
                std::fs::write(path, text).map_err(io(format!("{}.{ending}", front.name)))
            };
            write("csv", (options.list)(&nodes))?;
            write("conf", settings(&options, front, i, &places))?;
            let viewers = net.stream(VIEWERS, &front.name, None).await.map_err(io(VIEWERS))?;
            let operators = net.stream(OPERATORS, &front.name, None).await.map_err(io(OPERATORS))?;
            let name = front.name.clone();
            members.push(Member { name, process: None, life: Life::Down, viewers, operators, saved: false });
        }
        let mut fleet = Self { options, net, members };
        for i in 0..fleet.members.len() {
            fleet.start_front(i, Store::Kept).await?;
        }
        Ok(fleet)
    }

    /// The links, to put faults on.
    #[must_use]
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// Where viewers connect to front `i`, through their relay.
    #[must_use]
    pub fn viewers(&self, i: usize) -> SocketAddr {
        self.members[i].viewers.address
    }

    /// Where operators connect to front `i`, through their relay.
    #[must_use]
    pub fn operators(&self, i: usize) -> SocketAddr {
        self.members[i].operators.address
    }

    /// What front `i` logged, over all its runs.
    ///
    /// # Errors
    /// Where that cannot be read.
    pub fn log(&self, i: usize) -> Result<String, Fault> {
        std::fs::read_to_string(self.path(i, "log")).map_err(io(self.members[i].name.as_str()))
    }

    /// Numbers of the fronts that run.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|i| self.members[*i].life == Life::Runs).collect()
    }

    fn path(&self, i: usize, ending: &str) -> PathBuf {
        self.options.dir.join(format!("{}.{ending}", self.members[i].name))
    }

    // ---- processes -----------------------------------------------------------------------------

    /// Starts a front that is down.
    ///
    /// # Errors
    /// Where it does not come up, or there is no older store.
    pub async fn start_front(&mut self, i: usize, store: Store) -> Result<(), Fault> {
        let name = self.members[i].name.clone();
        if self.options.stores {
            let state = self.path(i, "state");
            match store {
                Store::Kept => {}
                Store::None => match std::fs::remove_dir_all(&state) {
                    Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(Fault::Io(name, e)),
                    _ => {}
                },
                Store::Older if self.members[i].saved => {
                    copy(&self.path(i, "saved"), &state).map_err(io(name.as_str()))?;
                }
                Store::Older => return Err(Fault::Io(name, io::Error::other("no store was saved"))),
            }
            std::fs::create_dir_all(&state).map_err(io(name.as_str()))?;
        }
        let (conf, log) = (self.path(i, "conf"), self.path(i, "log"));
        let conf = conf.to_string_lossy();
        let arguments = ["serve", "-c", &*conf];
        let process = Process::start(&self.options.program, &arguments, &self.options.dir, &log).await;
        let process = process.map_err(io(name.as_str()))?;
        let at = |field: &str| process.ready[field].as_str().and_then(|a| a.parse().ok());
        let m = &mut self.members[i];
        m.viewers.lead(at("address"));
        m.operators.lead(at("admin"));
        (m.process, m.life) = (Some(process), Life::Runs);
        Ok(())
    }

    /// Kills a front (SIGKILL), also one that is stopped.
    ///
    /// # Errors
    /// Where its end cannot be waited for.
    pub async fn kill(&mut self, i: usize) -> Result<(), Fault> {
        let m = &mut self.members[i];
        m.viewers.lead(None);
        m.operators.lead(None);
        m.life = Life::Down;
        match m.process.take() {
            Some(mut process) => process.kill().await.map_err(io(m.name.as_str())),
            None => Ok(()),
        }
    }

    fn signal(&mut self, i: usize, signal: Signal, life: Life) -> Result<(), Fault> {
        let m = &mut self.members[i];
        let down = || io::Error::other("it is down");
        let sent = m.process.as_ref().ok_or_else(down).and_then(|p| p.signal(signal));
        sent.map_err(io(m.name.as_str()))?;
        m.life = life;
        Ok(())
    }

    /// Stops a front's process (SIGSTOP).
    ///
    /// # Errors
    /// Where it is down.
    pub fn stop(&mut self, i: usize) -> Result<(), Fault> {
        self.signal(i, Signal::SIGSTOP, Life::Stopped)
    }

    /// Lets it go on (SIGCONT).
    ///
    /// # Errors
    /// Where it is down.
    pub fn cont(&mut self, i: usize) -> Result<(), Fault> {
        self.signal(i, Signal::SIGCONT, Life::Runs)
    }

    /// Copies a front's store as it is now.
    ///
    /// # Errors
    /// Where it has none.
    pub fn save(&mut self, i: usize) -> Result<(), Fault> {
        copy(&self.path(i, "state"), &self.path(i, "saved")).map_err(io(self.members[i].name.as_str()))?;
        self.members[i].saved = true;
        Ok(())
    }

    /// Plays a schedule from now to its end.
    ///
    /// # Errors
    /// Where it does not fit this fleet (nothing has happened then), or a front does not come up.
    pub async fn play(&mut self, schedule: &Schedule) -> Result<(), Fault> {
        let fronts: Vec<&str> = self.members.iter().map(|m| m.name.as_str()).collect();
        let nodes = self.options.nodes.iter().map(|n| n.0.as_str());
        let others: Vec<&str> = nodes.chain([VIEWERS, OPERATORS]).collect();
        schedule.check(&fronts, &others)?;
        let (begin, base_us) = (Instant::now(), self.net.now_us());
        for fault in &schedule.faults {
            self.net.fault(fault, base_us)?;
        }
        let mut acts: Vec<&Act> = schedule.processes.iter().collect();
        acts.sort_by_key(|a| a.at_ms);
        for act in acts {
            sleep_until(begin + Duration::from_millis(act.at_ms)).await;
            let Some(i) = self.members.iter().position(|m| m.name == act.who) else { continue };
            match act.what {
                Do::Kill => self.kill(i).await?,
                Do::Stop => self.stop(i)?,
                Do::Cont => self.cont(i)?,
                Do::Save => self.save(i)?,
                Do::Start => {
                    self.kill(i).await?;
                    self.start_front(i, act.store).await?;
                }
            }
        }
        sleep_until(begin + Duration::from_millis(schedule.length_ms())).await;
        Ok(())
    }

    // ---- what they show ------------------------------------------------------------------------

    /// What a front's console shows; past its relay, since who judges is no party.
    ///
    /// # Errors
    /// Where it does not answer.
    pub async fn state(&self, i: usize) -> Result<Value, Fault> {
        let m = &self.members[i];
        let admin = m.process.as_ref().and_then(|p| p.ready["admin"].as_str()?.parse().ok());
        let admin: SocketAddr = admin.ok_or_else(|| io(&*m.name)(io::Error::other("it is down")))?;
        let body = timeout(CONSOLE, get(admin, "/state")).await.map_err(|e| io(&*m.name)(e.into()))?;
        serde_json::from_slice(&body.map_err(io(&*m.name))?).map_err(|e| io(&*m.name)(e.into()))
    }

    /// What the fronts that run show.
    ///
    /// # Errors
    /// Where one does not answer.
    pub async fn states(&self) -> Result<Vec<Value>, Fault> {
        let mut states = Vec::new();
        for i in self.running() {
            states.push(self.state(i).await?);
        }
        Ok(states)
    }

    /// Waits until the states of the fronts that run are so; tells how long that took. `shown` is what is told of a state
    /// if they never are.
    ///
    /// # Errors
    /// Where they are not in time, or one does not answer.
    pub async fn until(
        &self,
        what: &str,
        limit: Duration,
        shown: impl Fn(&Value) -> String,
        holds: impl Fn(&[Value]) -> bool,
    ) -> Result<Duration, Fault> {
        let begin = Instant::now();
        loop {
            let states = self.states().await?;
            if holds(&states) {
                return Ok(begin.elapsed());
            }
            if begin.elapsed() > limit {
                return Err(Fault::Never(what.into(), limit, states.iter().map(shown).collect()));
            }
            sleep(LOOK).await;
        }
    }
}

/// Whether all these fronts have the same view, and it is they.
#[must_use]
pub fn agree(states: &[Value]) -> bool {
    let view = |s: &Value| -> BTreeSet<u64> {
        s["members"].as_array().into_iter().flatten().filter_map(|m| m["front"].as_u64()).collect()
    };
    let own = |s: &Value| {
        let rows = s["members"].as_array()?;
        rows.iter().find(|m| m["own"] == Value::Bool(true))?["front"].as_u64()
    };
    let there: BTreeSet<u64> = states.iter().filter_map(own).collect();
    there.len() == states.len() && states.iter().all(|s| view(s) == there)
}

/// A front's settings.
fn settings(options: &Options, front: &Front, i: usize, places: &[Place]) -> String {
    let dir = options.dir.display();
    let name = &front.name;
    let mut text = format!(
        "name {name}\nlisten 127.0.0.1:0\nadmin 127.0.0.1:0\nadmin-key {KEY}\ninventory {dir}/{name}.csv\nfronts {}\n",
        options.fronts.len()
    );
    if options.stores {
        text += &format!("state-dir {dir}/{name}.state\n");
    }
    let mut head = true;
    for line in front.text.lines() {
        let word = line.split_whitespace().next().unwrap_or_default();
        head &= word != "section";
        if !(head && OWN.contains(&word)) {
            text += line;
            text.push('\n');
        }
    }
    text += "section exchange\nkey faults\n";
    for (j, place) in places.iter().enumerate() {
        if i == j {
            text += &format!("listen {}\nadvertise {}\n", place.listen, place.advertise);
        } else {
            text += &format!("peer {}\n", place.advertise);
        }
    }
    text + &options.exchange
}

/// One GET with the console's key.
async fn get(at: SocketAddr, path: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(at).await?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: {at}\r\nauthorization: Bearer {KEY}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut all = Vec::new();
    stream.take(MOST_STATE).read_to_end(&mut all).await?;
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut reply = httparse::Response::new(&mut headers);
    let parsed = reply.parse(&all).map_err(io::Error::other)?;
    match (parsed, reply.code) {
        (httparse::Status::Complete(n), Some(200)) => Ok(all.split_off(n)),
        (_, code) => Err(io::Error::other(format!("{path}: answered {code:?}"))),
    }
}
