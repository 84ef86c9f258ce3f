//! Processes of a day: nodes and fronts, their files, and the list that each front reads.

use super::{FALL, RunError};
use crate::day::Day;
use crate::viewers::{FrontEndpoint, ViewerPool};
use crate::wire::Connection;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pepperhook_playout::record::{Event, Recorder, unix_nanos};
use pepperhook_playout::{Command as Order, Faults, Options, State};
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

/// A process must say that it is ready within this time.
const READY: Duration = Duration::from_secs(10);
/// A front that is asked to stop has so long, beyond its viewers' patience.
const STOP: Duration = Duration::from_secs(4);

/// A node's process and how the list names it.
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
    /// Where its exchange listens.
    exchange: SocketAddr,
}

/// What a process says on its standard output once it serves.
#[derive(Deserialize)]
struct Ready {
    address: SocketAddr,
    control: Option<SocketAddr>,
    admin: Option<SocketAddr>,
}

/// A list of nodes: name, state and line of each.
type List = Vec<(String, &'static str, String)>;

/// How the list is doing.
#[derive(Clone, Copy)]
pub struct ListState {
    pub down: bool,
    pub late_s: f64,
}

/// Everything that runs.
pub struct World {
    pub day: Day,
    program: PathBuf,
    dir: PathBuf,
    pub recorder: Recorder,
    pub nodes: RefCell<Vec<NodeProcess>>,
    fronts: RefCell<Vec<FrontProcess>>,
    pub list: RefCell<ListState>,
    pub audience: RefCell<Option<Rc<ViewerPool>>>,
    fault: RefCell<Option<RunError>>,
}

async fn ready(what: &str, child: &mut Child) -> Result<Ready, RunError> {
    let failed = |why: String| RunError::Start(what.to_owned(), why);
    let Some(out) = child.stdout.take() else { return Err(failed("no standard output".into())) };
    let mut line = String::new();
    let mut reader = BufReader::new(out);
    let read = timeout(READY, reader.read_line(&mut line)).await;
    read.map_err(|_| failed("it said nothing".into()))?.map_err(|e| failed(e.to_string()))?;
    // What it says later is of no interest, but must be read lest it stand still.
    tokio::task::spawn_local(async move {
        let mut rest = String::new();
        while reader.read_line(&mut rest).await.is_ok_and(|n| n > 0) {
            rest.clear();
        }
    });
    serde_json::from_str(&line).map_err(|e| failed(format!("{e} in {line:?}")))
}

impl World {
    /// Starts all nodes, then all fronts.
    pub async fn start(
        day: Day,
        program: PathBuf,
        dir: PathBuf,
        recorder: Recorder,
    ) -> Result<Rc<Self>, RunError> {
        let fleet = day.fleet.clone();
        let node = |i: u32| NodeProcess {
            options: Options {
                name: format!("node-{i}"),
                rack: i % fleet.racks,
                link_kb: fleet.link_kb,
                uplink_kb: fleet.uplink_kb,
                streams: fleet.streams,
                set_up_ms: fleet.set_up_ms,
                fall_multiple: FALL.0,
                fall_s: FALL.1,
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
        // Free ports: taken all at once, and given back for the fronts to take.
        let sockets: Vec<UdpSocket> = (0..fleet.fronts)
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
        let world = Rc::new(Self {
            nodes: RefCell::new((0..fleet.nodes).map(node).collect()),
            fronts: RefCell::new((0..fleet.fronts).map(front).collect()),
            list: RefCell::new(ListState { down: false, late_s: 0.0 }),
            audience: RefCell::default(),
            fault: RefCell::default(),
            program,
            dir,
            recorder,
            day,
        });
        for i in 0..fleet.nodes {
            world.start_node(i, false).await?;
        }
        let list = world.listed();
        for i in 0..fleet.fronts {
            world.write_list(i, &list)?;
            world.start_front(i).await?;
        }
        Ok(world)
    }

    fn io(&self, what: &str, e: std::io::Error) -> RunError {
        RunError::Io(what.to_owned(), e)
    }

    /// The first thing that went wrong with the rehearsal itself.
    pub fn failed(&self, fault: RunError) {
        self.fault.borrow_mut().get_or_insert(fault);
    }

    /// Takes it.
    pub fn failure(&self) -> Option<RunError> {
        self.fault.borrow_mut().take()
    }

    // ---- nodes ---------------------------------------------------------------------------------

    /// Starts a node; one that comes back is cold.
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
        let up = ready(&name, &mut child).await?;
        let faults = {
            let mut nodes = self.nodes.borrow_mut();
            let n = &mut nodes[i as usize];
            (n.child, n.address, n.control, n.listed) = (Some(child), Some(up.address), up.control, "ready");
            n.faults
        };
        self.order(i, Order { faults: Some(faults), ..Order::default() }).await;
        Ok(())
    }

    /// Kills a node's process; the list will tell that it is gone.
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

    /// Changes a node's faults and tells it.
    pub async fn fault(&self, i: u32, change: impl FnOnce(&mut Faults)) {
        let faults = {
            let mut nodes = self.nodes.borrow_mut();
            change(&mut nodes[i as usize].faults);
            nodes[i as usize].faults
        };
        self.order(i, Order { faults: Some(faults), ..Order::default() }).await;
    }

    /// Sends an order to a node; one that is down has nothing to hear.
    async fn order(&self, i: u32, order: Order) -> Option<State> {
        let control = self.nodes.borrow()[i as usize].control?;
        let body = serde_json::to_vec(&order).ok()?;
        let mut connection = Connection::open(control).await.ok()?;
        let second = Duration::from_secs(1);
        let reply = connection.request("POST", "/", &[], &body, second).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Tells each node what the others of its rack ask of the uplink, five times a second.
    pub async fn share_uplinks(self: Rc<Self>) {
        let mut asked: BTreeMap<u32, f64> = BTreeMap::new();
        loop {
            let (nodes, racks) = (self.day.fleet.nodes, self.day.fleet.racks);
            for i in 0..nodes {
                let others = (0..nodes).filter(|j| *j != i && j % racks == i % racks);
                let elsewhere_kb = Some(others.map(|j| asked.get(&j).copied().unwrap_or(0.0)).sum());
                let state = self.order(i, Order { elsewhere_kb, ..Order::default() }).await;
                asked.insert(i, state.map_or(0.0, |s| s.asked_kb));
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    // ---- the list ------------------------------------------------------------------------------

    /// The list as it should read now: a line and the state for each node.
    fn listed(&self) -> List {
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

    /// Puts the list in place for each front, as late as the day has it.
    pub async fn publish(self: Rc<Self>) {
        let mut last = self.listed();
        let mut coming: VecDeque<(Instant, List)> = VecDeque::new();
        let mut newest = last.clone();
        loop {
            sleep(Duration::from_millis(50)).await;
            let state = *self.list.borrow();
            let now_listed = self.listed();
            if now_listed != newest {
                let late = Duration::from_secs_f64(self.day.fleet.list_late_s + state.late_s);
                coming.push_back((Instant::now() + late, now_listed.clone()));
                newest = now_listed;
            }
            let mut due = None;
            while !state.down && coming.front().is_some_and(|(at, _)| *at <= Instant::now()) {
                due = coming.pop_front();
            }
            let Some((_, list)) = due.filter(|(_, l)| *l != last) else { continue };
            for i in 0..self.day.fleet.fronts {
                if let Err(e) = self.write_list(i, &list) {
                    self.failed(e);
                }
            }
            last = list;
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
        out += &format!("fall-multiple {}\nfall-window {}s\n", FALL.0, FALL.1);
        if let Some((free, share, window)) = f.budget {
            out += &format!("budget {free} {share} {window}s\n");
        }
        if let Some(between) = &f.exchange {
            let fronts = self.fronts.borrow();
            let cut = |j: u32| between.cut.contains(&j);
            let loss = if cut(i) { 1.0 } else { between.loss };
            out += &format!(
                "section exchange\nlisten {}\nkey rehearsal\nperiod 1s\nloss {loss}\n",
                fronts[i as usize].exchange
            );
            for j in (0..f.fronts).filter(|j| *j != i && !cut(*j)) {
                out += &format!("peer {}\n", fronts[j as usize].exchange);
            }
        }
        if let Some(d) = &f.duties {
            let word = |yes| if yes { "yes" } else { "no" };
            let (share, ask) = (word(d.share), word(d.ask));
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
        let up = ready(&name, &mut child).await?;
        self.recorder.write(Event::FrontStart { front: name });
        {
            let mut fronts = self.fronts.borrow_mut();
            let f = &mut fronts[i as usize];
            (f.child, f.address, f.admin) = (Some(child), Some(up.address), up.admin);
        }
        self.tell_viewers();
        Ok(())
    }

    /// The fronts as viewers know them.
    pub fn fronts(&self) -> Vec<FrontEndpoint> {
        let at = |f: &FrontProcess| FrontEndpoint { name: f.name.clone(), address: f.address };
        self.fronts.borrow().iter().map(at).collect()
    }

    fn tell_viewers(&self) {
        if let Some(audience) = &*self.audience.borrow() {
            *audience.fronts.borrow_mut() = self.fronts();
        }
    }

    /// Sends a change to a front's admin listener; anything but success ends the rehearsal.
    pub async fn tell_front(&self, i: u32, method: &str, path: &str, body: String) -> Result<(), RunError> {
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

    /// Writes down ten times a second what each front says it holds.
    pub async fn watch_holds(self: Rc<Self>) {
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

    /// What each front that runs shows on its console.
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
        self.tell_viewers();
        if let Some(mut child) = child {
            self.recorder.write(Event::FrontKilled { front: name });
            let _ = child.kill().await;
        }
    }

    /// Asks a front to stop and waits for it; returns how it ended where that was not in order.
    pub async fn stop_front(&self, i: u32) -> Option<(String, String)> {
        let (name, child) = {
            let mut fronts = self.fronts.borrow_mut();
            let f = &mut fronts[i as usize];
            (f.name.clone(), f.child.take())
        };
        let mut child = child?;
        self.recorder.write(Event::FrontStop { front: name.clone() });
        signal(&child, Signal::SIGTERM);
        let time = STOP + Duration::from_secs_f64(self.day.viewers.patience_s);
        let ended = timeout(time, child.wait()).await;
        self.fronts.borrow_mut()[i as usize].address = None;
        self.tell_viewers();
        match ended {
            Ok(Ok(status)) if status.success() => None,
            Ok(Ok(status)) => Some((name, status.to_string())),
            Ok(Err(e)) => Some((name, e.to_string())),
            Err(_) => Some((name, "it did not end".into())),
        }
    }

    /// Stops a front's process for a time, without ending it.
    pub async fn stall_front(&self, i: u32, ms: u64) {
        let pid = self.fronts.borrow()[i as usize].child.as_ref().and_then(Child::id);
        let Some(pid) = pid.and_then(|p| i32::try_from(p).ok()) else { return };
        self.recorder.write(Event::FrontStall { front: format!("front-{i}"), ms });
        let _ = kill(Pid::from_raw(pid), Signal::SIGSTOP);
        sleep(Duration::from_millis(ms)).await;
        let _ = kill(Pid::from_raw(pid), Signal::SIGCONT);
    }

    /// Stops all fronts in order, then kills the nodes.
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
