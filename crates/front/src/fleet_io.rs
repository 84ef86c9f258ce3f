//! I/O between fronts, on a UDP socket: announced peaks, membership, shared duties (reading nodes), copies of sessions and
//! the agreement. This module sends, stores and runs what [`Fleet`] returns; all decisions are made there.

use crate::agreement::{self, AgreementIo, EnginePolicyCheck, StoreJob, VoterStore};
use crate::engine::types::{Input, SessionCopy};
use crate::engine::{DutyStatus, ReplicaStatus, Snapshot, incarnation};
use crate::shell::Shell;
use pepperhook::{ServerId, ServerState};
use pepperhook_duties::{Duty, DutyKind, Target, TargetState};
use pepperhook_exchange::{Id, Keys, MergeResult, Record, Store};
use pepperhook_fleet::{AgreementView, Fleet, LOAD_READING_DUTY, MembershipSettings, Note, Output, Settings};
use pepperhook_membership::Change;
use pepperhook_peaks::{AdmissionError, Announcement};
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

/// Record space of announced peaks.
const PEAK_SPACE: u8 = 1;
/// A record is kept for this time after the end of its peak, milliseconds: a front whose clock is behind still needs it.
const PEAK_RECORD_MARGIN_MS: u64 = 30_000;

/// Kind of duty that reads a node's list of sessions.
const SESSION_LIST_DUTY: u8 = 1;
/// Record space of the number of sessions that each run of a front has at a node.
const SESSION_COUNT_SPACE: u8 = pepperhook_exchange::FIRST_EPHEMERAL_SPACE + 1;
/// Time between the two lists of sessions that must agree before the engine acts on a difference. Also the time-out of each.
const RECHECK_DELAY: Duration = Duration::from_millis(1_000);
/// Gauges of a node's load that fronts share, in this order; NaN stands for one that the node's report lacks.
const SHARED_GAUGES: [&str; 3] = ["streams", "link", "uplink"];
/// Time between two calls of [`Fleet::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The fleet's state machine with its store and its socket.
pub struct FleetIo {
    fleet: RefCell<Fleet>,
    /// Nodes whose lists of sessions this front is reading to check a difference.
    checking: RefCell<HashSet<ServerId>>,
    /// Tasks of the duties in progress here, by duty and round.
    running: RefCell<HashMap<(Duty, u64), JoinHandle<()>>>,
    /// Sessions taken over from a front that failed, by key.
    adopted: RefCell<BTreeMap<u64, SessionCopy>>,
    /// I/O of the agreement.
    pub agreement: AgreementIo,
    /// The voter's store and its queue, until [`start_agreement`] takes them.
    voter_store: RefCell<Option<(VoterStore, tokio::sync::mpsc::Receiver<StoreJob>)>>,
    /// Store of the records that outlast a restart.
    store: Option<Arc<Store>>,
    socket: Option<Arc<UdpSocket>>,
    /// Share of datagrams that are dropped on purpose, from 0 to 1.
    loss: f64,
    /// Occurrences of a repeated problem; one in 1000 is logged.
    warnings: Cell<u64>,
}

/// Why an announcement was rejected.
#[derive(Debug)]
pub enum AnnounceError {
    /// The plan of the peaks has no room for it, or its fields are invalid.
    Refused(AdmissionError),
    /// A peak of this name is already announced; it must be amended instead.
    Exists,
    /// No peak of this name is announced.
    Unknown,
    /// It is too long for a datagram.
    TooLong,
    /// It could not be stored.
    Store(String),
}

fn io_error(e: impl std::fmt::Display) -> io::Error {
    io::Error::other(e.to_string())
}

impl FleetIo {
    /// Opens the stores and binds the socket, as far as the settings have them.
    pub async fn start(config: &Config, now_ms: u64) -> io::Result<(Self, Option<Arc<UdpSocket>>)> {
        let store = match &config.state_dir {
            Some(dir) => Some(Arc::new(Store::open(&dir.join("records.redb")).map_err(io_error)?)),
            None => None,
        };
        let run = store.as_ref().map_or(Ok(now_ms), |s| s.next_run(now_ms)).map_err(io_error)?;
        let kept = store.as_ref().map_or(Ok(Vec::new()), |s| s.records()).map_err(io_error)?;
        let exchange_config = config.exchange.as_ref();
        let socket = match exchange_config {
            Some(section) => Some(Arc::new(UdpSocket::bind(section.listen).await?)),
            None => None,
        };
        let me = name_hash(&config.name);
        let fronts = config.decisions.fronts;
        let exchange = pepperhook_exchange::Settings {
            me,
            run,
            keys: exchange_config.map_or(Keys::new("", None), |section| {
                Keys::new(&section.key, section.previous_key.as_deref())
            }),
            peers: exchange_config.map_or(Vec::new(), |section| section.peers.clone()),
            period_ms: exchange_config.map_or(1_000, |section| section.round_interval / 1_000_000),
            fanout: exchange_config.map_or(1, |section| section.fanout),
            seed: rand::random(),
        };
        let address = socket.as_ref().map(|s| s.local_addr()).transpose()?;
        let view = exchange_config.zip(address).map(|(section, address)| MembershipSettings {
            address: section.advertise.unwrap_or(address),
            weight: section.weight,
            expected_fronts: fronts,
            probe_period_ms: section.probe_interval / 1_000_000,
            suspicion_timeout_ms: section.suspicion_timeout / 1_000_000,
        });
        let duties =
            exchange_config.zip(config.duties.as_ref()).map(|(section, d)| pepperhook_duties::Settings {
                me,
                weight: section.weight,
                max_fronts: fronts,
                startup_delay_ms: 2 * section.probe_interval / 1_000_000,
                kinds: duty_kinds(d),
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
        let (agreed, voter_store) = agreement::prepare(config, run)?.unzip();
        let voter_store = voter_store.flatten();
        let (agreement, jobs) = AgreementIo::new(voter_store.as_ref());
        let voter_store = RefCell::new(voter_store.zip(jobs));
        let settings = Settings { exchange, membership: view, duties, copies, agreement: agreed };
        let fleet = RefCell::new(Fleet::new(settings, kept, now_ms));
        let loss = exchange_config.map_or(0.0, |section| section.simulated_loss);
        let (running, checking, warnings) = (RefCell::default(), RefCell::default(), Cell::new(0));
        let adopted = RefCell::default();
        let socket_copy = socket.clone();
        let new = Self {
            fleet,
            running,
            checking,
            adopted,
            agreement,
            voter_store,
            store,
            socket: socket_copy,
            loss,
            warnings,
        };
        Ok((new, socket))
    }

    /// Fills in the parts of the snapshot that are about the fleet.
    pub fn fill_snapshot(&self, now_ms: u64, snapshot: &mut Snapshot) {
        let fleet = self.fleet.borrow();
        snapshot.exchange = Some(fleet.exchange_counters().clone());
        snapshot.members = fleet.member_rows();
        snapshot.duty_counters = fleet.duty_counters().cloned();
        snapshot.clock_offset_ms = fleet.offset_ms();
        snapshot.replica = self.replica_shown(now_ms);
        snapshot.agreement = fleet.agreement(now_ms);
        let names: HashMap<u64, &str> = snapshot
            .nodes
            .iter()
            .map(|n| (u64::from(pepperhook_inventory::node_id(&n.name).0), n.name.as_str()))
            .collect();
        let shown = |row: pepperhook_duties::DutyRow| DutyStatus {
            node: names.get(&row.target).map_or_else(String::new, |n| (*n).to_owned()),
            row,
        };
        snapshot.duties = fleet.duty_rows(now_ms).into_iter().map(shown).collect();
    }

    /// True if this front may have missed an agreed change and must refuse set-ups.
    pub fn fenced(&self, now_ms: u64) -> bool {
        self.fleet.borrow().fenced(now_ms)
    }

    /// For operators: the agreement's state, the policy in force (version, step, text) and the differences from this front's
    /// file. `None` without an agreement.
    #[expect(clippy::type_complexity, reason = "only unpacked into JSON")]
    pub fn policy(
        &self,
        now_ms: u64,
        config: &Config,
    ) -> Option<(AgreementView, Option<(u64, &'static str, String)>, Vec<String>)> {
        let fleet = self.fleet.borrow();
        let force =
            fleet.active_policy().map(|(version, step, policy)| (version, step, policy.text().to_owned()));
        let differs = fleet.differences_from(config).iter().map(ToString::to_string).collect();
        Some((fleet.agreement(now_ms)?, force, differs))
    }

    /// Streams of copies, for the console.
    fn replica_shown(&self, now_ms: u64) -> Option<ReplicaStatus> {
        let fleet = self.fleet.borrow();
        let (streams, counters) = fleet.copies(now_ms)?;
        let adopted = self.adopted.borrow().len();
        let count_keys = |matches: &dyn Fn(&StreamRow) -> bool| {
            streams.iter().filter(|r| matches(r)).map(|r| r.keys).sum()
        };
        let written: usize = count_keys(&|r| r.writable || r.fenced);
        let (kept, fenced) = (count_keys(&|r| !r.writable && !r.fenced), count_keys(&|r| r.fenced));
        let own = written.saturating_sub(adopted);
        Some(ReplicaStatus { own, adopted, kept, fenced, streams, counters: counters.clone() })
    }

    /// All known announcements, including cancelled ones.
    pub fn announcements(&self) -> Vec<Announcement> {
        let fleet = self.fleet.borrow();
        let peaks = fleet.records().iter().filter(|r| r.id.space == PEAK_SPACE);
        peaks.filter_map(|r| serde_json::from_slice(&r.body).ok()).collect()
    }

    /// The latest version of a peak's announcement.
    pub fn announcement(&self, name: &str) -> Option<Announcement> {
        let fleet = self.fleet.borrow();
        fleet.records().get(&peak_id(name)).and_then(|r| serde_json::from_slice(&r.body).ok())
    }

    /// Sends a datagram, unless the simulated loss drops it.
    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        let lost = self.loss > 0.0 && rand::rng().random_bool(self.loss);
        if let Some(socket) = self.socket.as_ref().filter(|_| !lost) {
            // A send error counts as loss: the protocols repeat what matters.
            let _ = socket.try_send_to(datagram, to);
        }
    }
}

/// The kinds of duty, in the order of [`LOAD_READING_DUTY`] and [`SESSION_LIST_DUTY`].
fn duty_kinds(d: &DutySettings) -> Vec<DutyKind> {
    let ms = |ns: u64| ns / 1_000_000;
    let probes = DutyKind {
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
    [probes].into_iter().chain(lists).collect()
}

fn peak_id(name: &str) -> Id {
    Id { space: PEAK_SPACE, number: name_hash(name) }
}

/// Applies the records that the store has kept over a restart.
pub fn restore_records(shell: &Rc<Shell>) {
    let kept: Vec<Record> = shell.fleet_io.fleet.borrow().records().iter().cloned().collect();
    for record in kept {
        apply_record(shell, &record);
    }
}

/// Applies a record that was received, or kept over a restart.
fn apply_record(shell: &Rc<Shell>, record: &Record) {
    match record.id.space {
        PEAK_SPACE => {}
        SESSION_COUNT_SPACE => return check_session_count(shell, server_id(record.id.number), &record.body),
        _ => return,
    }
    let parsed: Result<Announcement, _> = serde_json::from_slice(&record.body);
    let peak = match &parsed {
        Ok(announcement) if peak_id(&announcement.name) == record.id => {
            shell.engine(|e, now| e.check_peer_peak(now, announcement)).map_err(|e| format!("{e:?}"))
        }
        Ok(announcement) => {
            let (name, number, expected) =
                (&announcement.name, record.id.number, peak_id(&announcement.name).number);
            Err(format!("the record of peak '{name}' has number {number}; expected {expected}"))
        }
        Err(e) => Err(e.to_string()),
    };
    match peak {
        Ok(peak) => {
            info!(
                event = "peak-heard",
                name = peak.announcement.name,
                cancelled = peak.announcement.cancelled,
                version = record.version.counter,
                "an announced peak was applied"
            );
            shell.drive(Input::Peak(peak));
        }
        Err(reason) => {
            warn!(event = "peak-not-taken", why = reason, "a peak from another front could not be applied")
        }
    }
}

/// Announces, amends or cancels a peak at this front: the announcement is checked, stored, applied here and then sent to
/// the other fronts.
///
/// # Errors
/// Why it was rejected. It is not in force then.
pub async fn announce(
    shell: &Rc<Shell>,
    announcement: Announcement,
    amends: bool,
) -> Result<Announcement, AnnounceError> {
    let fleet_io = &shell.fleet_io;
    let current = fleet_io.announcement(&announcement.name).filter(|a| !a.cancelled);
    match (&current, amends) {
        // Idempotent: a client that got no answer may send the same announcement again.
        (Some(current), false) if *current == announcement => return Ok(announcement),
        (Some(_), false) => return Err(AnnounceError::Exists),
        (None, true) => return Err(AnnounceError::Unknown),
        _ => {}
    }
    let peak = shell.engine(|e, now| e.admit_peak(now, &announcement)).map_err(AnnounceError::Refused)?;
    let body = serde_json::to_vec(&announcement).map_err(|e| AnnounceError::Store(e.to_string()))?;
    if body.len() > pepperhook_exchange::MAX_BODY_BYTES {
        return Err(AnnounceError::TooLong);
    }
    let (now_ms, id) = (shell.fleet_clock.now_ms(), peak_id(&announcement.name));
    let mut out = Vec::new();
    let merge = fleet_io.fleet.borrow_mut().put(
        now_ms,
        id,
        announcement.end_ms.saturating_add(PEAK_RECORD_MARGIN_MS),
        body,
        &mut out,
    );
    if merge != MergeResult::Applied {
        return Err(AnnounceError::Store(
            "the announcement expired, ends too far in the future, or the limit of records is reached".into(),
        ));
    }
    for output in &out {
        if let Output::RecordChanged(record) = output {
            persist(fleet_io.store.clone(), record.clone()).await.map_err(AnnounceError::Store)?;
        }
    }
    shell.drive(Input::Peak(peak));
    for output in out {
        if let Output::Send(to, datagram) = output {
            fleet_io.send(to, &datagram);
        }
    }
    Ok(announcement)
}

/// Writes a record on a thread for blocking work: a slow disk must not delay set-ups.
async fn persist(store: Option<Arc<Store>>, record: Record) -> Result<(), String> {
    let Some(store) = store else { return Ok(()) };
    let written = tokio::task::spawn_blocking(move || store.write(&record).map_err(|e| e.to_string())).await;
    written.map_err(|e| e.to_string())?
}

/// Receives datagrams and ticks the fleet, until the task is aborted.
pub async fn run_socket(shell: Rc<Shell>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; 2_048];
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An ICMP error from a peer that is down is reported by the next call on the socket.
                let Ok((length, from)) = received else { continue };
                let datagram = &buffer[..length];
                let rejected =
                    call_fleet(&shell, |fleet, now_ms, out| fleet.receive(now_ms, from, datagram, out));
                if let Err(reason) = rejected {
                    let warnings = shell.fleet_io.warnings.replace(shell.fleet_io.warnings.get() + 1);
                    if warnings % 1_000 == 0 {
                        warn!(
                            event = "datagram-rejected",
                            why = ?reason,
                            "a datagram was rejected (one warning in 1000)"
                        );
                    }
                }
            }
            _ = ticks.tick() => call_fleet(&shell, |fleet, now_ms, out| fleet.tick(now_ms, out)),
        }
    }
}

/// Calls the fleet and executes what it returns.
pub fn call_fleet<R>(shell: &Rc<Shell>, call: impl FnOnce(&mut Fleet, u64, &mut Vec<Output>) -> R) -> R {
    let mut out = Vec::new();
    let result = call(&mut shell.fleet_io.fleet.borrow_mut(), shell.fleet_clock.now_ms(), &mut out);
    for output in out {
        match output {
            Output::Send(to, datagram) => shell.fleet_io.send(to, &datagram),
            Output::RecordChanged(record) => {
                apply_record(shell, &record);
                if record.id.is_ephemeral() {
                    continue;
                }
                let store = shell.fleet_io.store.clone();
                spawn_local(async move {
                    if let Err(e) = persist(store, record).await {
                        warn!(
                            event = "record-not-kept",
                            e, "a record was not stored and would be lost by a restart"
                        );
                    }
                });
            }
            Output::RunDuty(duty, round, limit_ms) => {
                let limit = Duration::from_millis(limit_ms);
                match duty.kind {
                    SESSION_LIST_DUTY => run_session_list(shell, duty, round, limit),
                    _ => run_probe(shell, duty, round, limit),
                }
            }
            Output::CancelDuty(duty, round) => {
                if let Some(task) = shell.fleet_io.running.borrow_mut().remove(&(duty, round)) {
                    task.abort();
                }
            }
            Output::ReadingReceived(reading, age_ms) => {
                if shell.config.duties.as_ref().is_some_and(|d| d.share_readings) {
                    let load = load_report(&reading.values);
                    let input = Input::PeerReport(
                        server_id(reading.node),
                        reading.incarnation,
                        age_ms * 1_000_000,
                        load,
                    );
                    shell.drive(input);
                }
            }
            Output::Adopted(keys) => store_adopted(shell, keys),
            Output::Lost(keys) => {
                let mut adopted = shell.fleet_io.adopted.borrow_mut();
                keys.iter().for_each(|key| {
                    adopted.remove(key);
                });
                warn!(
                    event = "sessions-lost",
                    sessions = keys.len(),
                    "another front has taken these sessions over"
                );
            }
            Output::Deleted(key) => {
                shell.fleet_io.adopted.borrow_mut().remove(&key);
            }
            Output::WriteStore(batch, ops) => {
                if !shell.fleet_io.agreement.enqueue(StoreJob::Write(batch, ops)) {
                    report_failed_write(shell, batch);
                }
            }
            Output::RecreateStore => {
                shell.fleet_io.agreement.enqueue(StoreJob::Replace);
            }
            Output::ActivatePolicy(force) => agreement::apply_policy(shell, force),
            Output::AnswerOperator(key, answer) => shell.fleet_io.agreement.deliver_answer(key, &answer),
            Output::Note(note) => log_note(&note),
        }
    }
    agreement::update_fence(shell);
    result
}

/// Reports a batch as failed that the store's full queue could not take.
fn report_failed_write(shell: &Rc<Shell>, batch: u64) {
    let shell = shell.clone();
    spawn_local(async move {
        call_fleet(&shell, |fleet, now_ms, out| fleet.store_written(now_ms, batch, false, out));
    });
}

/// Connects the agreement with the engine and starts the task of the voter's store. `None` without an agreement or a store.
pub fn start_agreement(shell: &Rc<Shell>) -> Option<JoinHandle<()>> {
    shell.config.agreement.as_ref()?;
    shell.fleet_io.fleet.borrow_mut().set_engine(Box::new(EnginePolicyCheck(Rc::downgrade(shell))));
    agreement::update_fence(shell);
    let (voter_store, jobs) = shell.fleet_io.voter_store.borrow_mut().take()?;
    Some(spawn_local(agreement::run_store(shell.clone(), voter_store, jobs)))
}

/// Stores the sessions that this front takes over from one that failed.
fn store_adopted(shell: &Rc<Shell>, keys: Vec<(u64, Vec<u8>)>) {
    let mut adopted = shell.fleet_io.adopted.borrow_mut();
    let mut unread = 0;
    info!(
        event = "sessions-adopted",
        sessions = keys.len(),
        "this front takes over the sessions of a failed front"
    );
    for (key, body) in keys {
        match postcard::from_bytes(&body) {
            Ok(copied) => {
                adopted.insert(key, copied);
            }
            Err(_) => unread += 1,
        }
    }
    if unread > 0 {
        warn!(
            event = "copies-unread",
            unread, "copies of sessions, perhaps of another program version, could not be decoded"
        );
    }
}

/// Updates the copies of a session at other fronts; without `copied`, deletes them.
pub fn replicate_session(shell: &Rc<Shell>, key: u64, copied: Option<&SessionCopy>) {
    // A session that cannot be encoded must not look like one that ended: its last copies stay.
    let Ok(body) = copied.map(postcard::to_stdvec).transpose() else { return };
    let kept = shell.fleet_io.fleet.borrow_mut().replicate(shell.fleet_clock.now_ms(), key, body);
    if let Err(reason) = kept {
        let warnings = shell.fleet_io.warnings.replace(shell.fleet_io.warnings.get() + 1);
        if warnings % 1_000 == 0 {
            warn!(
                event = "session-not-copied",
                why = %reason,
                "no other front has a copy of a session (one warning in 1000)"
            );
        }
    }
}

/// Logs a note of the fleet.
fn log_note(note: &Note) {
    match note {
        Note::ViewChanged(Change::Up(m)) => {
            info!(event = "member-up", front = m.front, address = %m.address, run = m.run, "a front has joined");
        }
        Note::ViewChanged(Change::Down(m)) => {
            info!(
                event = "member-down",
                front = m.front,
                address = %m.address,
                run = m.run,
                "a front has left or failed"
            );
        }
        Note::ViewChanged(Change::Rejoined(m)) => {
            warn!(
                event = "member-rejoined",
                renewed = m.renewals,
                "the other fronts had declared this front failed; it rejoined"
            );
        }
        Note::Agreement(note) => agreement::log_note(note),
        Note::RunRaised(run) => {
            warn!(
                event = "run-raised",
                run,
                "other fronts know a later run of this front: its clock went back, or another front has its name"
            );
        }
    }
}

fn server_id(node: u64) -> ServerId {
    ServerId(u32::try_from(node).unwrap_or(u32::MAX))
}

/// Values of the shared gauges in a load report.
fn gauge_values(load: &LoadReport) -> Vec<f32> {
    SHARED_GAUGES.iter().map(|name| load.get(name).unwrap_or(f64::NAN) as f32).collect()
}

/// The load report of shared gauge values; inverse of [`gauge_values`].
fn load_report(values: &[f32]) -> LoadReport {
    let named = SHARED_GAUGES.iter().zip(values).filter(|(_, v)| v.is_finite());
    LoadReport(named.map(|(name, v)| ((*name).to_owned(), f64::from(*v))).collect())
}

/// Runs a duty: reads a node's load and passes it to the engine and the fleet.
fn run_probe(shell: &Rc<Shell>, duty: Duty, round: u64, limit: Duration) {
    let node = server_id(duty.target);
    let (address, incarnation) =
        shell.engine(|e, _| (e.node(node).map(|n| n.address), e.node(node).map(incarnation)));
    let task = {
        let shell = shell.clone();
        spawn_local(async move {
            let path = shell.config.duties.as_ref().map_or("/", |d| d.probe_path.as_str());
            let report = match address {
                Some(address) => shell.upstream().probe(address, path, limit).await,
                None => None,
            };
            shell.fleet_io.running.borrow_mut().remove(&(duty, round));
            let reading = incarnation
                .zip(report.as_ref().map(gauge_values))
                .filter(|_| shell.config.duties.as_ref().is_some_and(|d| d.share_readings));
            let done = report.is_some();
            shell.drive(Input::Probed(node, report));
            call_fleet(&shell, |fleet, now_ms, out| {
                fleet.finish_duty(now_ms, duty, round, done, reading, out)
            });
        })
    };
    shell.fleet_io.running.borrow_mut().insert((duty, round), task);
}

/// Requests a node's load for the decision module. If the limit of probes per node does not allow a probe now, the module
/// gets an empty report and decides by what it knows.
pub fn request_probe(shell: &Rc<Shell>, node: ServerId) {
    let shell = shell.clone();
    spawn_local(async move {
        let duty = Duty { kind: LOAD_READING_DUTY, target: u64::from(node.0) };
        if !call_fleet(&shell, |fleet, now_ms, out| fleet.request_duty(now_ms, duty, out)) {
            shell.drive(Input::Probed(node, Some(LoadReport::default())));
        }
    });
}

/// Sets the targets of the duties to the nodes of the current list.
pub fn update_duty_targets(shell: &Rc<Shell>) {
    let target = |n: &pepperhook_inventory::Node| {
        let state = match n.entry.state {
            ServerState::Ready => TargetState::Ready,
            ServerState::Draining => TargetState::Draining,
            ServerState::Gone => return None,
        };
        Some(Target { id: u64::from(n.entry.server.0), state, incarnation: incarnation(n) })
    };
    let targets: Vec<Target> = shell.engine(|e, _| e.nodes().filter_map(target).collect());
    for kind in [LOAD_READING_DUTY, SESSION_LIST_DUTY] {
        call_fleet(shell, |fleet, now_ms, out| fleet.set_targets(now_ms, kind, &targets, out));
    }
}

/// Runs a duty: reads a node's list of sessions and shares how many of them each run of a front has there.
fn run_session_list(shell: &Rc<Shell>, duty: Duty, round: u64, limit: Duration) {
    let node = server_id(duty.target);
    let task = {
        let shell = shell.clone();
        spawn_local(async move {
            let list = fetch_sessions(&shell, node, limit).await;
            shell.fleet_io.running.borrow_mut().remove(&(duty, round));
            let done = list.is_some();
            if let Some(list) = list {
                let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
                for (_, via) in list {
                    *runs.entry(name_hash(&via)).or_default() += 1;
                }
                if let Ok(body) = serde_json::to_vec(&runs) {
                    let id = Id { space: SESSION_COUNT_SPACE, number: duty.target };
                    // `put` rejects a body that is too large. Then each front finds differences when there are fewer runs.
                    call_fleet(&shell, |fleet, now_ms, out| {
                        fleet.put(now_ms, id, now_ms + 10_000, body, out)
                    });
                }
            }
            call_fleet(&shell, |fleet, now_ms, out| fleet.finish_duty(now_ms, duty, round, done, None, out));
        })
    };
    shell.fleet_io.running.borrow_mut().insert((duty, round), task);
}

/// A node's list of sessions: the path of each and the `Via` it was set up with.
async fn fetch_sessions(shell: &Rc<Shell>, node: ServerId, limit: Duration) -> Option<Vec<(String, String)>> {
    let address = shell.node_address(node)?;
    let path = shell.config.duties.as_ref().map(|d| d.session_list_path.clone())?;
    shell.upstream().sessions(address, &path, limit).await
}

/// Compares a shared count with the number of sessions that this front has at the node. If they differ, this front reads
/// the node's list itself, twice, and passes both lists to the engine.
fn check_session_count(shell: &Rc<Shell>, node: ServerId, body: &[u8]) {
    let Ok(runs) = serde_json::from_slice::<BTreeMap<u64, usize>>(body) else { return };
    let listed = runs.get(&name_hash(shell.upstream().via())).copied().unwrap_or(0);
    if listed == shell.engine(|e, _| e.session_count_at(node))
        || !shell.fleet_io.checking.borrow_mut().insert(node)
    {
        return;
    }
    let shell = shell.clone();
    spawn_local(async move {
        for pause in [Duration::ZERO, RECHECK_DELAY] {
            tokio::time::sleep(pause).await;
            let Some(list) = fetch_sessions(&shell, node, RECHECK_DELAY).await else { break };
            let own = list.into_iter().filter(|(_, via)| via == shell.upstream().via());
            let paths: BTreeSet<String> = own.map(|(path, _)| path).collect();
            shell.drive(Input::SessionList(node, paths));
        }
        shell.fleet_io.checking.borrow_mut().remove(&node);
    });
}

/// Announces that this front leaves: the others take over its duties at once.
pub fn leave(shell: &Rc<Shell>) {
    call_fleet(shell, |fleet, now_ms, out| fleet.leave(now_ms, out));
}
