//! This front among the others, on a UDP socket: announced peaks, who is there, and duties that are shared. It
//! carries out what [`Fleet`] says; it decides nothing.

use crate::agreed::{self, Agreed, Disk, EngineMeans, Job};
use crate::engine::types::{Input, SessionCopy};
use crate::engine::{DutyStatus, ReplicaStatus, Snapshot, incarnation};
use crate::shell::Shell;
use pepperhook::{ServerId, ServerState};
use pepperhook_duties::{Duty, DutyKind, Target, TargetState};
use pepperhook_exchange::{Id, Keys, MergeResult, Record, Store};
use pepperhook_fleet::{AgreedShown, Fleet, Note, Out, READS, Settings, View};
use pepperhook_membership::Change;
use pepperhook_peaks::{Announcement, Refused};
use pepperhook_replica::StreamRow;
use pepperhook_settings::{Config, DutySettings, name_hash};
use pepperhook_signalling::LoadReport;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, spawn_local};
use tracing::{info, warn};

/// Space of announced peaks.
const PEAKS: u8 = 1;
/// A record outlasts its peak by this, so that a front whose clock is behind still finds it; milliseconds.
const OUTLAST_MS: u64 = 30_000;

/// Kind of duty that reads a node's list of sessions, and the space of what is told of it.
const SESSIONS: u8 = 1;
const LISTS: u8 = pepperhook_exchange::FIRST_EPHEMERAL_SPACE + 1;
/// Time between the two lists on which something is believed.
const TWICE: Duration = Duration::from_millis(1_000);
/// What is told of a node's load, in this order; NaN for what its report lacks.
const TOLD: [&str; 3] = ["streams", "link", "uplink"];
/// Time between two calls of the fleet's part.
const TICK: Duration = Duration::from_millis(20);

/// The fleet's part, its store and its socket.
pub struct Spread {
    fleet: RefCell<Fleet>,
    /// Nodes whose lists this front reads for itself.
    checking: RefCell<HashSet<ServerId>>,
    /// Duties that are being done here.
    running: RefCell<HashMap<(Duty, u64), JoinHandle<()>>>,
    /// Sessions that this front goes on with after their front had died, by their key.
    adopted: RefCell<BTreeMap<u64, SessionCopy>>,
    /// What the fleet agrees on, as this front carries it out.
    pub agreed: Agreed,
    /// The voter's disk and its queue, until they run.
    disk: RefCell<Option<(Disk, tokio::sync::mpsc::Receiver<Job>)>>,
    store: Option<Arc<Store>>,
    socket: Option<Arc<UdpSocket>>,
    loss: f64,
    /// Warnings about datagrams come once in so many.
    warned: Cell<u64>,
}

/// Why an announcement was not taken.
#[derive(Debug)]
pub enum NotTaken {
    /// By the holds.
    Refused(Refused),
    /// A peak of this name stands; it must be amended.
    Exists,
    /// There is none of this name.
    Unknown,
    /// It is too long for a datagram.
    Long,
    /// It could not be kept.
    Store(String),
}

fn other(e: impl std::fmt::Display) -> io::Error {
    io::Error::other(e.to_string())
}

impl Spread {
    /// Opens the store and binds the socket, where the settings have them.
    pub async fn start(config: &Config, now_ms: u64) -> io::Result<(Self, Option<Arc<UdpSocket>>)> {
        let store = match &config.state_dir {
            Some(dir) => Some(Arc::new(Store::open(&dir.join("records.redb")).map_err(other)?)),
            None => None,
        };
        let run = store.as_ref().map_or(Ok(now_ms), |s| s.next_run(now_ms)).map_err(other)?;
        let kept = store.as_ref().map_or(Ok(Vec::new()), |s| s.records()).map_err(other)?;
        let x = config.exchange.as_ref();
        let socket = match x {
            Some(x) => Some(Arc::new(UdpSocket::bind(x.listen).await?)),
            None => None,
        };
        let me = name_hash(&config.name);
        let fronts = config.decisions.fronts;
        let exchange = pepperhook_exchange::Settings {
            me,
            run,
            keys: x.map_or(Keys::new("", None), |x| Keys::new(&x.key, x.previous_key.as_deref())),
            peers: x.map_or(Vec::new(), |x| x.peers.clone()),
            period_ms: x.map_or(1_000, |x| x.round_interval / 1_000_000),
            fanout: x.map_or(1, |x| x.fanout),
            seed: rand::random(),
        };
        let address = socket.as_ref().map(|s| s.local_addr()).transpose()?;
        let view = x.zip(address).map(|(x, address)| View {
            address: x.advertise.unwrap_or(address),
            weight: x.weight,
            fronts,
            period_ms: x.probe_interval / 1_000_000,
            suspicion_ms: x.suspicion_timeout / 1_000_000,
        });
        let duties = x.zip(config.duties.as_ref()).map(|(x, d)| pepperhook_duties::Settings {
            me,
            weight: x.weight,
            max_fronts: fronts,
            startup_delay_ms: 2 * x.probe_interval / 1_000_000,
            kinds: kinds(d),
        });
        let zone = config.decisions.zone.0;
        let copies = config.replica.map(|r| pepperhook_replica::Settings {
            me,
            run,
            zone,
            copies: r.copies,
            grantors: r.grantors,
            lease_ms: r.lease / 1_000_000,
            period_ms: r.check_interval / 1_000_000,
            bytes_per_s: r.bytes_per_s,
        });
        let (agreed, disk) = agreed::prepare(config, run)?.unzip();
        let disk = disk.flatten();
        let (carried, jobs) = Agreed::new(disk.as_ref());
        let disk = RefCell::new(disk.zip(jobs));
        let settings = Settings { exchange, view, duties, copies, agreed };
        let fleet = RefCell::new(Fleet::new(settings, kept, now_ms));
        let loss = x.map_or(0.0, |x| x.simulated_loss);
        let (running, checking, warned) = (RefCell::default(), RefCell::default(), Cell::new(0));
        let adopted = RefCell::default();
        let (agreed, socket_) = (carried, socket.clone());
        let new =
            Self { fleet, running, checking, adopted, agreed, disk, store, socket: socket_, loss, warned };
        Ok((new, socket))
    }

    /// Shows this front's part in the fleet.
    pub fn show(&self, now_ms: u64, on: &mut Snapshot) {
        let fleet = self.fleet.borrow();
        on.exchange = Some(fleet.counters().clone());
        on.members = fleet.member_rows();
        on.duty_counters = fleet.duty_counters().cloned();
        on.clock_offset_ms = fleet.offset_ms();
        on.replica = self.show_copies(now_ms);
        on.agreement = fleet.agreed(now_ms);
        let names: HashMap<u64, &str> = on
            .nodes
            .iter()
            .map(|n| (u64::from(pepperhook_inventory::node_id(&n.name).0), n.name.as_str()))
            .collect();
        let shown = |row: pepperhook_duties::DutyRow| DutyStatus {
            node: names.get(&row.target).map_or_else(String::new, |n| (*n).to_owned()),
            row,
        };
        on.duties = fleet.duty_rows(now_ms).into_iter().map(shown).collect();
    }

    /// This front cannot know what the fleet agreed on.
    pub fn fenced(&self, now_ms: u64) -> bool {
        self.fleet.borrow().fenced(now_ms)
    }

    /// For operators: the agreement, the policy in force (version, step, text) and where the file differs from it.
    #[expect(clippy::type_complexity, reason = "shown as it is")]
    pub fn policy(
        &self,
        now_ms: u64,
        config: &Config,
    ) -> Option<(AgreedShown, Option<(u64, &'static str, String)>, Vec<String>)> {
        let fleet = self.fleet.borrow();
        let force = fleet.policy().map(|(version, step, policy)| (version, step, policy.text().to_owned()));
        let differs = fleet.differs(config).iter().map(ToString::to_string).collect();
        Some((fleet.agreed(now_ms)?, force, differs))
    }

    /// Copies for the console.
    fn show_copies(&self, now_ms: u64) -> Option<ReplicaStatus> {
        let fleet = self.fleet.borrow();
        let (streams, counters) = fleet.copies(now_ms)?;
        let adopted = self.adopted.borrow().len();
        let keys = |of: &dyn Fn(&StreamRow) -> bool| streams.iter().filter(|r| of(r)).map(|r| r.keys).sum();
        let written: usize = keys(&|r| r.writable || r.fenced);
        let (kept, fenced) = (keys(&|r| !r.writable && !r.fenced), keys(&|r| r.fenced));
        let own = written.saturating_sub(adopted);
        Some(ReplicaStatus { own, adopted, kept, fenced, streams, counters: counters.clone() })
    }

    /// Announcements that are known, calls-off included.
    pub fn announcements(&self) -> Vec<Announcement> {
        let fleet = self.fleet.borrow();
        let peaks = fleet.records().iter().filter(|r| r.id.space == PEAKS);
        peaks.filter_map(|r| serde_json::from_slice(&r.body).ok()).collect()
    }

    /// The last version of a peak.
    pub fn announcement(&self, name: &str) -> Option<Announcement> {
        let fleet = self.fleet.borrow();
        fleet.records().get(&id(name)).and_then(|r| serde_json::from_slice(&r.body).ok())
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        let lost = self.loss > 0.0 && rand::rng().random_bool(self.loss);
        if let Some(socket) = self.socket.as_ref().filter(|_| !lost) {
            // A datagram that cannot be sent now is one that is lost; a later round makes up for it.
            let _ = socket.try_send_to(datagram, to);
        }
    }
}

/// The kinds of duty, in the order of [`READS`] and [`SESSIONS`].
fn kinds(d: &DutySettings) -> Vec<DutyKind> {
    let ms = |t: u64| t / 1_000_000;
    let reads = DutyKind {
        name: "probe".into(),
        period_ms: ms(d.probe_interval),
        stagger_ms: ms(d.takeover_delay),
        timeout_ms: ms(d.probe_timeout),
        max_runs_per_period: d.max_per_period,
        include_draining: false,
    };
    let lists = d.session_list_interval.map(|period| DutyKind {
        name: "sessions".into(),
        period_ms: ms(period),
        stagger_ms: ms(period / 4),
        timeout_ms: ms(period / 2),
        max_runs_per_period: d.max_per_period,
        include_draining: true,
    });
    [reads].into_iter().chain(lists).collect()
}

fn id(name: &str) -> Id {
    Id { space: PEAKS, number: name_hash(name) }
}

/// Takes what the store kept back into force.
pub fn recall(shell: &Rc<Shell>) {
    let kept: Vec<Record> = shell.spread.fleet.borrow().records().iter().cloned().collect();
    for record in kept {
        heard(shell, &record);
    }
}

/// Puts a record that came, or was kept, into force.
fn heard(shell: &Rc<Shell>, record: &Record) {
    match record.id.space {
        PEAKS => {}
        LISTS => return listed(shell, server(record.id.number), &record.body),
        _ => return,
    }
    let said: Result<Announcement, _> = serde_json::from_slice(&record.body);
    let peak = match &said {
        Ok(said) if id(&said.name) == record.id => {
            shell.engine(|e, now| e.check_peer_peak(now, said)).map_err(|e| format!("{e:?}"))
        }
        Ok(_) => Err("its number is not its name's".to_owned()),
        Err(e) => Err(e.to_string()),
    };
    match peak {
        Ok(peak) => {
            info!(
                event = "peak-heard",
                name = peak.said.name,
                cancelled = peak.said.cancelled,
                version = record.version.counter,
                "a peak is in force"
            );
            shell.drive(Input::Peak(peak));
        }
        Err(why) => warn!(event = "peak-not-taken", why, "a peak of another front is not in force here"),
    }
}

/// Announces, amends or calls off a peak at this front: checked, kept, in force, then told.
///
/// # Errors
/// Why it is not taken; nothing has changed then.
pub async fn announce(shell: &Rc<Shell>, said: Announcement, amends: bool) -> Result<Announcement, NotTaken> {
    let spread = &shell.spread;
    let standing = spread.announcement(&said.name).filter(|a| !a.cancelled);
    match (&standing, amends) {
        // The same once more, as a client that heard no answer sends it, changes nothing.
        (Some(s), false) if *s == said => return Ok(said),
        (Some(_), false) => return Err(NotTaken::Exists),
        (None, true) => return Err(NotTaken::Unknown),
        _ => {}
    }
    let peak = shell.engine(|e, now| e.admit_peak(now, &said)).map_err(NotTaken::Refused)?;
    let body = serde_json::to_vec(&said).map_err(|e| NotTaken::Store(e.to_string()))?;
    if body.len() > pepperhook_exchange::MAX_BODY_BYTES {
        return Err(NotTaken::Long);
    }
    let (now_ms, id) = (shell.fleet_time.now_ms(), id(&said.name));
    let mut out = Vec::new();
    let merge =
        spread.fleet.borrow_mut().put(now_ms, id, said.end_ms.saturating_add(OUTLAST_MS), body, &mut out);
    if merge != MergeResult::Applied {
        return Err(NotTaken::Store("there is no room for more records".into()));
    }
    for o in &out {
        if let Out::Changed(record) = o {
            keep(spread.store.clone(), record.clone()).await.map_err(NotTaken::Store)?;
        }
    }
    shell.drive(Input::Peak(peak));
    for o in out {
        if let Out::Send(to, datagram) = o {
            spread.send(to, &datagram);
        }
    }
    Ok(said)
}

/// Writes a record on a thread of its own: a disk that is slow must not hold up set-ups.
async fn keep(store: Option<Arc<Store>>, record: Record) -> Result<(), String> {
    let Some(store) = store else { return Ok(()) };
    let kept = tokio::task::spawn_blocking(move || store.write(&record).map_err(|e| e.to_string())).await;
    kept.map_err(|e| e.to_string())?
}

/// Runs the fleet's part on its socket.
pub async fn run(shell: Rc<Shell>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; 2_048];
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            got = socket.recv_from(&mut buffer) => {
                // A port of a peer that is down answers by an error on the next call.
                let Ok((n, from)) = got else { continue };
                let rejected = with(&shell, |fleet, now_ms, out| fleet.receive(now_ms, from, &buffer[..n], out));
                if let Err(why) = rejected {
                    let warned = shell.spread.warned.replace(shell.spread.warned.get() + 1);
                    if warned % 1_000 == 0 {
                        warn!(event = "datagram-rejected", why = ?why, "a datagram was thrown away");
                    }
                }
            }
            _ = ticks.tick() => with(&shell, |fleet, now_ms, out| fleet.tick(now_ms, out)),
        }
    }
}

/// Calls the fleet's part and carries out what it says.
pub fn with<R>(shell: &Rc<Shell>, call: impl FnOnce(&mut Fleet, u64, &mut Vec<Out>) -> R) -> R {
    let mut out = Vec::new();
    let r = call(&mut shell.spread.fleet.borrow_mut(), shell.fleet_time.now_ms(), &mut out);
    for o in out {
        match o {
            Out::Send(to, datagram) => shell.spread.send(to, &datagram),
            Out::Changed(record) => {
                heard(shell, &record);
                if record.id.is_ephemeral() {
                    continue;
                }
                let store = shell.spread.store.clone();
                spawn_local(async move {
                    if let Err(e) = keep(store, record).await {
                        warn!(event = "record-not-kept", e, "a restart would not know of it");
                    }
                });
            }
            Out::Run(duty, round, limit_ms) => {
                let limit = Duration::from_millis(limit_ms);
                match duty.kind {
                    SESSIONS => read_list(shell, duty, round, limit),
                    _ => probe(shell, duty, round, limit),
                }
            }
            Out::Cancel(duty, round) => {
                if let Some(task) = shell.spread.running.borrow_mut().remove(&(duty, round)) {
                    task.abort();
                }
            }
            Out::Seen(reading, age_ms) => {
                if shell.config.duties.as_ref().is_some_and(|d| d.share_readings) {
                    let load = load(&reading.values);
                    let input =
                        Input::PeerReport(server(reading.node), reading.life, age_ms * 1_000_000, load);
                    shell.drive(input);
                }
            }
            Out::Adopted(keys) => adopted(shell, keys),
            Out::Lost(keys) => {
                let mut held = shell.spread.adopted.borrow_mut();
                keys.iter().for_each(|key| {
                    held.remove(key);
                });
                warn!(
                    event = "sessions-lost",
                    sessions = keys.len(),
                    "another front goes on with these sessions"
                );
            }
            Out::Ended(key) => {
                shell.spread.adopted.borrow_mut().remove(&key);
            }
            Out::Write(batch, ops) => {
                if !shell.spread.agreed.hand(Job::Write(batch, ops)) {
                    not_written(shell, batch);
                }
            }
            Out::Remake => {
                shell.spread.agreed.hand(Job::Remake);
            }
            Out::InForce(force) => agreed::in_force(shell, force),
            Out::Told(key, answer) => shell.spread.agreed.told(key, &answer),
            Out::Note(note) => log(&note),
        }
    }
    agreed::fence(shell);
    r
}

/// The disk is too far behind to take a batch: it counts as refused.
fn not_written(shell: &Rc<Shell>, batch: u64) {
    let shell = shell.clone();
    spawn_local(async move {
        with(&shell, |fleet, now_ms, out| fleet.written(now_ms, batch, false, out));
    });
}

/// What this front's engine says of policies, and the task that writes what a voter promises. Nothing where settings do
/// not name an agreement.
pub fn agree(shell: &Rc<Shell>) -> Option<JoinHandle<()>> {
    shell.config.agreement.as_ref()?;
    shell.spread.fleet.borrow_mut().set_means(Box::new(EngineMeans(Rc::downgrade(shell))));
    agreed::fence(shell);
    let (disk, jobs) = shell.spread.disk.borrow_mut().take()?;
    Some(spawn_local(agreed::write(shell.clone(), disk, jobs)))
}

/// This front goes on with sessions of one that died.
fn adopted(shell: &Rc<Shell>, keys: Vec<(u64, Vec<u8>)>) {
    let mut held = shell.spread.adopted.borrow_mut();
    let mut unread = 0;
    info!(
        event = "sessions-adopted",
        sessions = keys.len(),
        "this front goes on with a dead front's sessions"
    );
    for (key, body) in keys {
        match postcard::from_bytes(&body) {
            Ok(copied) => {
                held.insert(key, copied);
            }
            Err(_) => unread += 1,
        }
    }
    if unread > 0 {
        warn!(event = "copies-unread", unread, "copies of another version could not be read");
    }
}

/// Other fronts get a copy of a session, or let go of it.
pub fn copy(shell: &Rc<Shell>, key: u64, copied: Option<&SessionCopy>) {
    // What cannot be written must not be taken for a session that ended.
    let Ok(body) = copied.map(postcard::to_stdvec).transpose() else { return };
    let kept = shell.spread.fleet.borrow_mut().keep(shell.fleet_time.now_ms(), key, body);
    if let Err(why) = kept {
        let warned = shell.spread.warned.replace(shell.spread.warned.get() + 1);
        if warned % 1_000 == 0 {
            warn!(event = "session-not-copied", %why, "no other front has a copy of this session");
        }
    }
}

fn log(note: &Note) {
    match note {
        Note::View(Change::Up(m)) => {
            info!(event = "member-up", front = m.front, address = %m.address, run = m.run, "a front is there");
        }
        Note::View(Change::Down(m)) => {
            info!(event = "member-down", front = m.front, address = %m.address, run = m.run, "a front is gone");
        }
        Note::View(Change::Rejoined(m)) => {
            warn!(event = "member-rejoined", renewed = m.renewals, "the others had given this front up");
        }
        Note::Agreed(note) => agreed::log(note),
        Note::Run(run) => {
            warn!(
                event = "run-raised",
                run,
                "the others know a later run of this front: its clock went back, or another has its name"
            );
        }
    }
}

fn server(node: u64) -> ServerId {
    ServerId(u32::try_from(node).unwrap_or(u32::MAX))
}

/// Values as they are told, and back.
fn told(load: &LoadReport) -> Vec<f32> {
    TOLD.iter().map(|name| load.get(name).unwrap_or(f64::NAN) as f32).collect()
}

fn load(values: &[f32]) -> LoadReport {
    let named = TOLD.iter().zip(values).filter(|(_, v)| v.is_finite());
    LoadReport(named.map(|(name, v)| ((*name).to_owned(), f64::from(*v))).collect())
}

/// Asks a node for its load, as a duty.
fn probe(shell: &Rc<Shell>, duty: Duty, round: u64, limit: Duration) {
    let node = server(duty.target);
    let (address, of) = shell.engine(|e, _| (e.node(node).map(|n| n.address), e.node(node).map(incarnation)));
    let task = {
        let shell = shell.clone();
        spawn_local(async move {
            let path = shell.config.duties.as_ref().map_or("/", |d| d.probe_path.as_str());
            let read = match address {
                Some(address) => shell.upstream().probe(address, path, limit).await,
                None => None,
            };
            shell.spread.running.borrow_mut().remove(&(duty, round));
            let reading = of
                .zip(read.as_ref().map(told))
                .filter(|_| shell.config.duties.as_ref().is_some_and(|d| d.share_readings));
            let done = read.is_some();
            shell.drive(Input::Probed(node, read));
            with(&shell, |fleet, now_ms, out| fleet.finished(now_ms, duty, round, done, reading, out));
        })
    };
    shell.spread.running.borrow_mut().insert((duty, round), task);
}

/// The module wants a node's load. Where the bound on what a node hears does not allow to ask for it, what is known
/// has to do, though it be nothing.
pub fn ask(shell: &Rc<Shell>, node: ServerId) {
    let shell = shell.clone();
    spawn_local(async move {
        let duty = Duty { kind: READS, target: u64::from(node.0) };
        if !with(&shell, |fleet, now_ms, out| fleet.ask(now_ms, duty, out)) {
            shell.drive(Input::Probed(node, Some(LoadReport::default())));
        }
    });
}

/// Duties are done on the nodes of the list.
pub fn list(shell: &Rc<Shell>) {
    let target = |n: &pepperhook_inventory::Node| {
        let state = match n.entry.state {
            ServerState::Ready => TargetState::Ready,
            ServerState::Draining => TargetState::Draining,
            ServerState::Gone => return None,
        };
        Some(Target { id: u64::from(n.entry.server.0), state, incarnation: incarnation(n) })
    };
    let targets: Vec<Target> = shell.engine(|e, _| e.nodes().filter_map(target).collect());
    for kind in [READS, SESSIONS] {
        with(shell, |fleet, now_ms, out| fleet.set_targets(now_ms, kind, &targets, out));
    }
}

/// Reads a node's list of sessions, as a duty, and tells all how many each run of a front has there.
fn read_list(shell: &Rc<Shell>, duty: Duty, round: u64, limit: Duration) {
    let node = server(duty.target);
    let task = {
        let shell = shell.clone();
        spawn_local(async move {
            let list = sessions(&shell, node, limit).await;
            shell.spread.running.borrow_mut().remove(&(duty, round));
            let done = list.is_some();
            if let Some(list) = list {
                let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
                for (_, via) in list {
                    *runs.entry(name_hash(&via)).or_default() += 1;
                }
                if let Ok(body) = serde_json::to_vec(&runs) {
                    let id = Id { space: LISTS, number: duty.target };
                    // Too many runs for a record are told to nobody; each finds its own when fewer are left.
                    with(&shell, |fleet, now_ms, out| fleet.put(now_ms, id, now_ms + 10_000, body, out));
                }
            }
            with(&shell, |fleet, now_ms, out| fleet.finished(now_ms, duty, round, done, None, out));
        })
    };
    shell.spread.running.borrow_mut().insert((duty, round), task);
}

async fn sessions(shell: &Rc<Shell>, node: ServerId, limit: Duration) -> Option<Vec<(String, String)>> {
    let address = shell.address(node)?;
    let path = shell.config.duties.as_ref().map(|d| d.session_list_path.clone())?;
    shell.upstream().sessions(address, &path, limit).await
}

/// One of the fronts read a node's list. Where it does not have as many of this front's sessions as this front holds,
/// the front reads it for itself, twice.
fn listed(shell: &Rc<Shell>, node: ServerId, body: &[u8]) {
    let Ok(runs) = serde_json::from_slice::<BTreeMap<u64, usize>>(body) else { return };
    let there = runs.get(&name_hash(shell.upstream().via())).copied().unwrap_or(0);
    if there == shell.engine(|e, _| e.session_count_at(node))
        || !shell.spread.checking.borrow_mut().insert(node)
    {
        return;
    }
    let shell = shell.clone();
    spawn_local(async move {
        for pause in [Duration::ZERO, TWICE] {
            tokio::time::sleep(pause).await;
            let Some(list) = sessions(&shell, node, TWICE).await else { break };
            let own = list.into_iter().filter(|(_, via)| via == shell.upstream().via());
            let paths: BTreeSet<String> = own.map(|(path, _)| path).collect();
            shell.drive(Input::SessionList(node, paths));
        }
        shell.spread.checking.borrow_mut().remove(&node);
    });
}

/// This front goes: the others are told, and take its duties over at once.
pub fn leave(shell: &Rc<Shell>) {
    with(shell, |fleet, now_ms, out| fleet.leave(now_ms, out));
}
