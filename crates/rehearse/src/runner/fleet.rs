//! The processes of a day: nodes and fronts, their files, and the list of nodes that each front reads.

use super::{COLD_OVERLOAD, RunError};
use crate::day::Day;
use crate::viewers::{FrontEndpoint, ViewerPool};
use crate::wire::Connection;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pepperhook_playout::record::{Event, Recorder, unix_nanos};
use pepperhook_playout::{Command as NodeCommand, Faults, Options, State};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

/// Time within which a process must report that it serves.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a front to shut down, in addition to the patience of the viewers.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// A node's process and its state in the list.
pub struct NodeProcess {
    pub options: Options,
    child: Option<Child>,
    pub address: Option<SocketAddr>,
    control: Option<SocketAddr>,
    pub listed: &'static str,
    started_ms: u64,
    pub faults: Faults,
}

/// A front's process.
pub struct FrontProcess {
    pub name: String,
    child: Option<Child>,
    address: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    /// UDP address of its exchange.
    exchange: SocketAddr,
}

/// The line that a process prints on standard output once it serves.
#[derive(Deserialize)]
struct Ready {
    address: SocketAddr,
    control: Option<SocketAddr>,
    admin: Option<SocketAddr>,
}

/// A list of nodes: name, state and CSV row of each.
type List = Vec<(String, &'static str, String)>;

/// Faults of the list of nodes.
#[derive(Clone, Copy)]
pub struct ListState {
    /// The list is not updated.
    pub down: bool,
    /// Additional delay, seconds.
    pub late_s: f64,
}

/// All processes and shared state of a run.
pub struct RunningFleet {
    pub day: Day,
    program: PathBuf,
    dir: PathBuf,
    pub recorder: Recorder,
    pub nodes: RefCell<Vec<NodeProcess>>,
    fronts: RefCell<Vec<FrontProcess>>,
    pub list: RefCell<ListState>,
    pub viewers: RefCell<Option<Rc<ViewerPool>>>,
    failure: RefCell<Option<RunError>>,
}

async fn wait_until_ready(name: &str, child: &mut Child) -> Result<Ready, RunError> {
    let failed = |why: String| RunError::Start(name.to_owned(), why);
    let Some(out) = child.stdout.take() else { return Err(failed("no standard output".into())) };
    let mut line = String::new();
    let mut reader = BufReader::new(out);
    let read = timeout(START_TIMEOUT, reader.read_line(&mut line)).await;
    read.map_err(|_| failed("it did not report that it serves within 10 s".into()))?
        .map_err(|e| failed(e.to_string()))?;
    // Later output is discarded, but must be read: a full pipe would block the process.
    tokio::task::spawn_local(async move {
        let mut rest = String::new();
        while reader.read_line(&mut rest).await.is_ok_and(|n| n > 0) {
            rest.clear();
        }
    });
    serde_json::from_str(&line).map_err(|e| failed(format!("{e} in {line:?}")))
}

impl RunningFleet {
    /// Starts all nodes, then all fronts.
    pub async fn start(
        day: Day,
        program: PathBuf,
        dir: PathBuf,
        recorder: Recorder,
    ) -> Result<Rc<Self>, RunError> {
        let settings = day.fleet.clone();
        let node = |i: u32| NodeProcess {
            options: Options {
                name: format!("node-{i}"),
                rack: i % settings.racks,
                link_kb: settings.link_kb,
                uplink_kb: settings.uplink_kb,
                streams: settings.streams,
                set_up_ms: settings.set_up_ms,
                fall_multiple: COLD_OVERLOAD.0,
                fall_s: COLD_OVERLOAD.1,
                seed: day.seed ^ u64::from(i + 1),
                ..Options::default()
            },
            child: None,
            address: None,
            control: None,
            listed: "gone",
            started_ms: 0,
            faults: Faults::default(),
        };
        // Reserves free ports by binding them all at once, and releases them for the fronts.
        let sockets: Vec<UdpSocket> = (0..settings.fronts)
            .map(|_| UdpSocket::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()
            .map_err(|e| RunError::Io("exchange ports".into(), e))?;
        let ports: Vec<SocketAddr> = sockets
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<Result<_, _>>()
            .map_err(|e| RunError::Io("exchange ports".into(), e))?;
        drop(sockets);
        let front = |i: u32| FrontProcess {
            name: format!("front-{i}"),
            child: None,
            address: None,
            admin: None,
            exchange: ports[i as usize],
        };
        let fleet = Rc::new(Self {
            nodes: RefCell::new((0..settings.nodes).map(node).collect()),
            fronts: RefCell::new((0..settings.fronts).map(front).collect()),
            list: RefCell::new(ListState { down: false, late_s: 0.0 }),
            viewers: RefCell::default(),
            failure: RefCell::default(),
            program,
            dir,
            recorder,
            day,
        });
        for i in 0..settings.nodes {
            fleet.start_node(i, false).await?;
        }
        let list = fleet.current_list();
        for i in 0..settings.fronts {
            fleet.write_list(i, &list)?;
            fleet.start_front(i).await?;
        }
        Ok(fleet)
    }

    fn io(&self, what: &str, e: std::io::Error) -> RunError {
        RunError::Io(what.to_owned(), e)
    }

    /// Keeps the first failure of the rehearsal itself.
    pub fn set_failure(&self, error: RunError) {
        self.failure.borrow_mut().get_or_insert(error);
    }

    /// Takes the failure, if any.
    pub fn take_failure(&self) -> Option<RunError> {
        self.failure.borrow_mut().take()
    }

    // ---- nodes ---------------------------------------------------------------------------------

    /// Starts a node; `cold` for one that is restarted.
    pub async fn start_node(&self, i: u32, cold: bool) -> Result<(), RunError> {
        let (name, options) = {
            let mut nodes = self.nodes.borrow_mut();
            let n = &mut nodes[i as usize];
            n.options.cold_s = if cold { self.day.fleet.cold_s } else { 0.0 };
            n.started_ms = if cold { unix_nanos() / 1_000_000 } else { 0 };
            (n.options.name.clone(), vec![n.options.clone()])
        };
        let file = self.dir.join(format!("{name}.json"));
        let text = serde_json::to_vec(&options).unwrap_or_default();
        std::fs::write(&file, text).map_err(|e| self.io("node file", e))?;
        let mut child = Command::new(&self.program)
            .arg("playout")
            .arg("--config")
            .arg(&file)
            .arg("--record")
            .arg(self.dir.join(format!("{name}.jsonl")))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| self.io("node process", e))?;
        let up = wait_until_ready(&name, &mut child).await?;
        let faults = {
            let mut nodes = self.nodes.borrow_mut();
            let n = &mut nodes[i as usize];
            (n.child, n.address, n.control, n.listed) = (Some(child), Some(up.address), up.control, "ready");
            n.faults
        };
        self.send_command(i, NodeCommand { faults: Some(faults), ..NodeCommand::default() }).await;
        Ok(())
    }

    /// Kills a node's process; the list shows it as `gone`.
    pub async fn kill_node(&self, i: u32) {
        let child = {
            let mut nodes = self.nodes.borrow_mut();
            let n = &mut nodes[i as usize];
            (n.address, n.control, n.listed) = (None, None, "gone");
            n.child.take()
        };
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Changes the faults of a node.
    pub async fn change_faults(&self, i: u32, change: impl FnOnce(&mut Faults)) {
        let faults = {
            let mut nodes = self.nodes.borrow_mut();
            change(&mut nodes[i as usize].faults);
            nodes[i as usize].faults
        };
        self.send_command(i, NodeCommand { faults: Some(faults), ..NodeCommand::default() }).await;
    }

    /// Sends a command to the control port of a node; `None` if it is down.
    async fn send_command(&self, i: u32, command: NodeCommand) -> Option<State> {
        let control = self.nodes.borrow()[i as usize].control?;
        let body = serde_json::to_vec(&command).ok()?;
        let mut connection = Connection::open(control).await.ok()?;
        let second = Duration::from_secs(1);
        let reply = connection.request("POST", "/", &[], &body, second).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Sets at each node the demand of the other nodes of its rack on the uplink, five times a second.
    pub async fn distribute_uplink_demand(self: Rc<Self>) {
        let mut demand_kb: BTreeMap<u32, f64> = BTreeMap::new();
        loop {
            let (nodes, racks) = (self.day.fleet.nodes, self.day.fleet.racks);
            for i in 0..nodes {
                let others = (0..nodes).filter(|j| *j != i && j % racks == i % racks);
                let elsewhere_kb = Some(others.map(|j| demand_kb.get(&j).copied().unwrap_or(0.0)).sum());
                let state =
                    self.send_command(i, NodeCommand { elsewhere_kb, ..NodeCommand::default() }).await;
                demand_kb.insert(i, state.map_or(0.0, |s| s.asked_kb));
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    // ---- the list ------------------------------------------------------------------------------

    /// The current list of nodes.
    fn current_list(&self) -> List {
        let zones = self.day.fleet.zones;
        let nodes = self.nodes.borrow();
        let line = |(i, n): (usize, &NodeProcess)| {
            let address = n.address.map_or("127.0.0.1:1".to_owned(), |a| a.to_string());
            let zone = i as u32 % zones;
            let row =
                format!("{},{address},zone-{zone},{i},std,1,{},{}", n.options.name, n.listed, n.started_ms);
            (n.options.name.clone(), n.listed, row)
        };
        nodes.iter().enumerate().map(line).collect()
    }

    fn write_list(&self, front: u32, list: &[(String, &'static str, String)]) -> Result<(), RunError> {
        let mut text = "name,address,zone,cell,kind,weight,state,started\n".to_owned();
        list.iter().for_each(|(.., row)| text += &format!("{row}\n"));
        let file = self.dir.join(format!("front-{front}.csv"));
        let fresh = file.with_extension("csv.new");
        let write = std::fs::write(&fresh, text).and_then(|()| std::fs::rename(&fresh, &file));
        write.map_err(|e| self.io("list of nodes", e))?;
        let front = format!("front-{front}");
        for (node, state, _) in list {
            self.recorder.write(Event::ListPublished {
                front: front.clone(),
                node: node.clone(),
                state: (*state).into(),
            });
        }
        Ok(())
    }

    /// Writes changes of the list for each front, with the delay of the day.
    pub async fn publish_list(self: Rc<Self>) {
        let mut written = self.current_list();
        let mut pending: VecDeque<(Instant, List)> = VecDeque::new();
        let mut newest = written.clone();
        loop {
            sleep(Duration::from_millis(50)).await;
            let state = *self.list.borrow();
            let current = self.current_list();
            if current != newest {
                let delay = Duration::from_secs_f64(self.day.fleet.list_late_s + state.late_s);
                pending.push_back((Instant::now() + delay, current.clone()));
                newest = current;
            }
            let mut due = None;
            while !state.down && pending.front().is_some_and(|(at, _)| *at <= Instant::now()) {
                due = pending.pop_front();
            }
            let Some((_, list)) = due.filter(|(_, l)| *l != written) else { continue };
            for i in 0..self.day.fleet.fronts {
                if let Err(e) = self.write_list(i, &list) {
                    self.set_failure(e);
                }
            }
            written = list;
        }
    }

    // ---- fronts --------------------------------------------------------------------------------

    fn settings(&self, i: u32) -> String {
        let (f, v) = (&self.day.fleet, &self.day.viewers);
        let zones: Vec<String> = (0..f.zones).map(|z| format!("zone-{z}")).collect();
        let mut out = format!(
            "name front-{i}\nlisten 127.0.0.1:0\nadmin 127.0.0.1:0\nadmin-key rehearsal\ninventory front-{i}.csv\n\
             inventory-poll 100ms\nstate-dir front-{i}.state\nfronts {}\nzones {}\nzone zone-{}\nracks {}\ncells {}\n\
             uplink-kb {}\nkb-per-weight {}\nall-links-kb {}\nseen-after 500ms\nswitch-cost 0.5\nmax-advice 500ms\n\
             gauges streams link uplink\nstep 1ms\nconnect-time 250ms\nclose-grace 200ms\n",
            f.fronts,
            zones.join(" "),
            i % f.zones,
            f.racks,
            f.nodes,
            f.uplink_kb,
            f.link_kb,
            f.link_kb * f64::from(f.nodes),
        );
        out += "section ladder\nrung 200 0.2\nrung 350 0.42\nrung 600 0.62\nrung 1000 0.8\nrung 1800 1\n";
        out += &format!(
            "section class replay\naim {}ms\npatience {}ms\nrepeat {}\nfloor {}\nseats {}\n",
            v.aim_s * 1e3,
            v.patience_s * 1e3,
            f.repeat,
            f.floor,
            f.seats
        );
        out += &format!(
            "section kind std\nstreams {}\nsection rules\ncold-share 0.4\ncold {}s\n",
            f.streams, f.cold_s
        );
        out += &format!("fall-multiple {}\nfall-window {}s\n", COLD_OVERLOAD.0, COLD_OVERLOAD.1);
        if let Some((free, share, window)) = f.budget {
            out += &format!("budget {free} {share} {window}s\n");
        }
        if let Some(network) = &f.exchange {
            let fronts = self.fronts.borrow();
            let isolated = |j: u32| network.isolated.contains(&j);
            let loss = if isolated(i) { 1.0 } else { network.loss };
            out += &format!(
                "section exchange\nlisten {}\nkey rehearsal\nperiod 1s\nloss {loss}\n",
                fronts[i as usize].exchange
            );
            for j in (0..f.fronts).filter(|j| *j != i && !isolated(*j)) {
                out += &format!("peer {}\n", fronts[j as usize].exchange);
            }
        }
        if let Some(d) = &f.duties {
            let yes_no = |yes| if yes { "yes" } else { "no" };
            let (share, ask) = (yes_no(d.share), yes_no(d.ask));
            out += &format!("section duties\nprobe {}ms\nshare {share}\nask {ask}\n", d.period_s * 1e3);
        }
        out += "section prices\nmoved 0.05\ncross-zone 0.04\nover-share-worth 0.2\n";
        for (t, share) in f.tenants.iter().enumerate() {
            out += &format!("section tenant tenant-{t}\nquota {}\n", share * v.rate * 1.2);
        }
        for t in 0..v.titles {
            let home = (t * 7) % f.nodes;
            out += &format!("section title title-{t}\nhome {home}\ncopies {}\nclass replay\n", v.copies);
        }
        out
    }

    /// Starts a front.
    pub async fn start_front(&self, i: u32) -> Result<(), RunError> {
        let name = format!("front-{i}");
        let file = self.dir.join(format!("{name}.conf"));
        let state = self.dir.join(format!("{name}.state"));
        std::fs::create_dir_all(&state).map_err(|e| self.io("state folder", e))?;
        std::fs::write(&file, self.settings(i)).map_err(|e| self.io("settings", e))?;
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let mut child = Command::new(&self.program)
            .arg("serve")
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.map_err(|e| self.io("log", e))?)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| self.io("front process", e))?;
        let up = wait_until_ready(&name, &mut child).await?;
        self.recorder.write(Event::FrontStart { front: name });
        {
            let mut fronts = self.fronts.borrow_mut();
            let f = &mut fronts[i as usize];
            (f.child, f.address, f.admin) = (Some(child), Some(up.address), up.admin);
        }
        self.update_viewers();
        Ok(())
    }

    /// Addresses of the fronts for viewers.
    pub fn fronts(&self) -> Vec<FrontEndpoint> {
        let at = |f: &FrontProcess| FrontEndpoint { name: f.name.clone(), address: f.address };
        self.fronts.borrow().iter().map(at).collect()
    }

    fn update_viewers(&self) {
        if let Some(viewers) = &*self.viewers.borrow() {
            *viewers.fronts.borrow_mut() = self.fronts();
        }
    }

    /// Sends a change to the admin listener of a front; any status but success fails the rehearsal.
    pub async fn send_to_front(
        &self,
        i: u32,
        method: &str,
        path: &str,
        body: String,
    ) -> Result<(), RunError> {
        let failed = |why: String| RunError::Start(format!("{method} {path} at front-{i}"), why);
        let admin = self.fronts.borrow()[i as usize].admin.ok_or_else(|| failed("it is down".into()))?;
        let mut c = Connection::open(admin).await.map_err(|e| failed(format!("{e:?}")))?;
        let key = [("authorization", "Bearer rehearsal")];
        let reply = c.request(method, path, &key, body.as_bytes(), Duration::from_secs(2)).await;
        match reply {
            Ok(r) if r.status < 300 => Ok(()),
            Ok(r) => Err(failed(format!("{} {}", r.status, String::from_utf8_lossy(&r.body)))),
            Err(e) => Err(failed(format!("{e:?}"))),
        }
    }

    /// Records ten times a second the capacity that each front holds for announced peaks.
    pub async fn record_held_capacity(self: Rc<Self>) {
        let key = [("authorization", "Bearer rehearsal")];
        let mut open: BTreeMap<String, (SocketAddr, Connection)> = BTreeMap::new();
        loop {
            sleep(Duration::from_millis(100)).await;
            let fronts: Vec<(String, SocketAddr)> = self
                .fronts
                .borrow()
                .iter()
                .filter_map(|f| Some((f.name.clone(), f.address.and(f.admin)?)))
                .collect();
            for (front, admin) in fronts {
                if open.get(&front).is_none_or(|(at, _)| *at != admin) {
                    let Ok(c) = Connection::open(admin).await else { continue };
                    open.insert(front.clone(), (admin, c));
                }
                let Some((_, c)) = open.get_mut(&front) else { continue };
                let reply = c.request("GET", "/peaks", &key, b"", Duration::from_secs(1)).await;
                let Some(v) =
                    reply.ok().and_then(|r| serde_json::from_slice::<serde_json::Value>(&r.body).ok())
                else {
                    open.remove(&front);
                    continue;
                };
                let rows = v["holds"].as_array().cloned().unwrap_or_default();
                let sum = |name: &str| rows.iter().filter_map(|h| h[name].as_f64()).sum();
                self.recorder.write(Event::CapacityHeld { front, kb: sum("held_kb"), due_kb: sum("due_kb") });
            }
        }
    }

    /// The state of each running front, from its admin listener.
    pub async fn states(&self) -> Vec<serde_json::Value> {
        let key = [("authorization", "Bearer rehearsal")];
        let admins: Vec<SocketAddr> =
            self.fronts.borrow().iter().filter_map(|f| f.address.and(f.admin)).collect();
        let mut out = Vec::new();
        for admin in admins {
            let Ok(mut c) = Connection::open(admin).await else { continue };
            let reply = c.request("GET", "/state", &key, b"", Duration::from_secs(1)).await;
            out.extend(reply.ok().and_then(|r| serde_json::from_slice(&r.body).ok()));
        }
        out
    }

    /// Kills a front's process.
    pub async fn kill_front(&self, i: u32) {
        let (name, child) = {
            let mut fronts = self.fronts.borrow_mut();
            let f = &mut fronts[i as usize];
            f.address = None;
            (f.name.clone(), f.child.take())
        };
        self.update_viewers();
        if let Some(mut child) = child {
            self.recorder.write(Event::FrontKilled { front: name });
            let _ = child.kill().await;
        }
    }

    /// Asks a front to shut down and waits for it; returns its name and how it ended unless it exited successfully.
    pub async fn stop_front(&self, i: u32) -> Option<(String, String)> {
        let (name, child) = {
            let mut fronts = self.fronts.borrow_mut();
            let f = &mut fronts[i as usize];
            (f.name.clone(), f.child.take())
        };
        let mut child = child?;
        self.recorder.write(Event::FrontStop { front: name.clone() });
        signal(&child, Signal::SIGTERM);
        let time = STOP_TIMEOUT + Duration::from_secs_f64(self.day.viewers.patience_s);
        let ended = timeout(time, child.wait()).await;
        self.fronts.borrow_mut()[i as usize].address = None;
        self.update_viewers();
        match ended {
            Ok(Ok(status)) if status.success() => None,
            Ok(Ok(status)) => Some((name, status.to_string())),
            Ok(Err(e)) => Some((name, e.to_string())),
            Err(_) => Some((name, "it did not exit in time".into())),
        }
    }

    /// Suspends a front's process for a time (SIGSTOP, SIGCONT).
    pub async fn stall_front(&self, i: u32, ms: u64) {
        let pid = self.fronts.borrow()[i as usize].child.as_ref().and_then(Child::id);
        let Some(pid) = pid.and_then(|p| i32::try_from(p).ok()) else { return };
        self.recorder.write(Event::FrontStall { front: format!("front-{i}"), ms });
        let _ = kill(Pid::from_raw(pid), Signal::SIGSTOP);
        sleep(Duration::from_millis(ms)).await;
        let _ = kill(Pid::from_raw(pid), Signal::SIGCONT);
    }

    /// Shuts down all fronts, one after the other, then kills the nodes. Returns the fronts that failed to shut down.
    pub async fn stop(&self) -> Vec<(String, String)> {
        let mut out = Vec::new();
        for i in 0..self.day.fleet.fronts {
            out.extend(self.stop_front(i).await);
        }
        for i in 0..self.day.fleet.nodes {
            self.kill_node(i).await;
        }
        out
    }
}

fn signal(child: &Child, signal: Signal) {
    if let Some(pid) = child.id().and_then(|p| i32::try_from(p).ok()) {
        let _ = kill(Pid::from_raw(pid), signal);
    }
}
