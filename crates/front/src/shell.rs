//! Runs the engine on tokio: feeds it inputs, executes the effects that it returns, and runs its timers. All decisions
//! are made in the engine.

use crate::body_budget::BodyBudget;
use crate::clock::FleetClock;
use crate::engine::types::*;
use crate::engine::{Engine, Snapshot};
use crate::fleet_io::FleetIo;
use crate::http::Phase;
use crate::upstream::{AttemptHandle, Upstream};
use crate::{console, fleet_io, session_api};
use pepperhook::{ServerId, Time};
use pepperhook_inventory::{InventoryWatcher, Node, PollResult};
use pepperhook_net::Clock;
use pepperhook_settings::{Config, Limits};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;
use tracing::{info, warn};

/// Capacity of a viewer's event stream, in events. If the viewer does not read, further events are dropped.
const MAX_QUEUED_EVENTS: usize = 16;
/// Delay before a node's event stream is opened again.
const STREAM_RETRY_DELAY: Duration = Duration::from_millis(30);
/// Time for the last requests to nodes when the front stops.
const FINAL_REQUESTS_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for open connections to end after that.
const FINAL_CONNECTIONS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Memory for the bodies of all requests together, bytes for each request that may wait.
const BODY_BYTES_PER_WAITING: usize = 4 << 10;
/// Number of bodies of the largest size for which there is always memory.
const MIN_LARGEST_BODIES: usize = 8;

/// An answer, and the version of the agreed policy under which it was decided, if any.
type AnswerWithPolicy = (Answer, Option<u64>);

/// Changes of rung in progress, by node and path of the layer resource. One request runs at a time; the value is the
/// latest rung that was asked for meanwhile.
type PendingLayers = HashMap<(ServerId, String), Option<u8>>;

/// The running front: the engine and everything that does its I/O. Shared by all tasks of the thread.
pub struct Shell {
    /// Its settings.
    pub config: Rc<Config>,
    /// Monotonic clock of the engine.
    pub clock: Clock,
    /// Clock of all messages between fronts.
    pub fleet_clock: FleetClock,
    /// Key that opens the console.
    pub admin_key: String,
    /// Memory for request bodies, of both listeners.
    pub body_budget: BodyBudget,
    engine: RefCell<Engine>,
    next_ticket: Cell<u64>,
    /// HTTP requests that wait for the engine's answer.
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<AnswerWithPolicy>>>,
    attempts: RefCell<HashMap<AttemptId, (AttemptHandle, JoinHandle<()>)>>,
    /// Open event streams to viewers, by resource.
    streams: RefCell<HashMap<String, mpsc::Sender<String>>>,
    layers: RefCell<PendingLayers>,
    /// Number of requests to nodes in progress whose result nobody waits for.
    background_requests: RequestCount,
    /// Number of clients' requests that are forwarded to their nodes at present.
    forwarded_requests: RequestCount,
    last_warning: Cell<Option<Instant>>,
    upstream: Upstream,
    /// This front's I/O with the other fronts.
    pub fleet_io: FleetIo,
    /// Notified when the engine's next timer may have changed.
    timers_changed: Notify,
    /// Notified when the engine may have become idle or a background request has ended.
    work_done: Notify,
}

/// A waiting request: dropped unanswered, when the client's connection closes, it withdraws the request.
struct PendingRequest {
    shell: Rc<Shell>,
    ticket: Ticket,
    answer: oneshot::Receiver<AnswerWithPolicy>,
    answered: bool,
}

impl PendingRequest {
    async fn answer(mut self) -> AnswerWithPolicy {
        let answer = (&mut self.answer).await.unwrap_or((Answer::Failed, None));
        self.answered = true;
        answer
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if self.shell.waiting.borrow_mut().remove(&self.ticket).is_some() {
            return self.shell.drive(Input::Disconnected(self.ticket));
        }
        // The answer was given, and its client left before it was taken: nobody knows of the session.
        if let Ok((Answer::Created { resource, .. }, _)) = self.answer.try_recv() {
            self.shell.drive(Input::Undelivered(resource));
        }
    }
}

/// Number of requests in progress that a stop waits for.
#[derive(Default)]
struct RequestCount(Rc<Cell<usize>>);

impl RequestCount {
    fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more, until the result is dropped.
    fn begin(&self, shell: &Rc<Shell>) -> CountedRequest {
        self.0.set(self.0.get() + 1);
        CountedRequest { shell: shell.clone(), count: self.0.clone() }
    }
}

/// A request in progress that a stop waits for, until it is dropped.
pub struct CountedRequest {
    shell: Rc<Shell>,
    count: Rc<Cell<usize>>,
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        self.shell.work_done.notify_one();
    }
}

impl Shell {
    /// Passes an input to the engine and executes the resulting effects.
    pub fn drive(self: &Rc<Self>, input: Input) {
        let mut out = Vec::new();
        self.engine.borrow_mut().handle(self.clock.now(), input, &mut out);
        self.execute(out);
    }

    /// Passes a request to the engine and waits for its one answer.
    pub async fn request(self: &Rc<Self>, input: impl FnOnce(Ticket) -> Input) -> AnswerWithPolicy {
        let ticket = Ticket(self.next_ticket.replace(self.next_ticket.get() + 1));
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let pending = PendingRequest { shell: self.clone(), ticket, answer, answered: false };
        crate::agreement::update_fence(self);
        self.drive(input(ticket));
        pending.answer().await
    }

    /// Counts a client's request that is forwarded to its node, until the result is dropped.
    pub fn begin_forwarding(self: &Rc<Self>) -> CountedRequest {
        self.forwarded_requests.begin(self)
    }

    /// Where to forward a request on a session: its route, and the address of the node.
    pub fn route(&self, resource: &str) -> (Route, Option<SocketAddr>) {
        let engine = self.engine.borrow();
        let route = engine.route(resource);
        let node = if let Route::Node(id, _) = &route { engine.node(*id) } else { None };
        let address = node.map(|n| n.address);
        (route, address)
    }

    /// The client of the nodes.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Opens the event stream of a session. An earlier stream of the same session ends.
    pub fn open_stream(&self, resource: &str) -> mpsc::Receiver<String> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        self.streams.borrow_mut().insert(resource.to_owned(), sender);
        receiver
    }

    /// The state that the console shows.
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = self.engine.borrow().snapshot(self.clock.now());
        self.fleet_io.fill_snapshot(self.fleet_clock.now_ms(), &mut snapshot);
        snapshot
    }

    /// Calls a function with read access to the engine and with the current time.
    pub fn engine<R>(&self, read: impl FnOnce(&Engine, Time) -> R) -> R {
        read(&self.engine.borrow(), self.clock.now())
    }

    fn execute(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer(ticket, answer, policy_version) => {
                    self.answer(ticket, answer, policy_version);
                }
                Effect::SetUp { attempt, node, title, publish, offer } => {
                    self.set_up(attempt, node, title, publish, offer);
                }
                Effect::CloseAttempt(id) => {
                    if let Some((handle, _)) = self.attempts.borrow().get(&id) {
                        handle.close();
                    }
                }
                Effect::ResetAttempt(id) => {
                    if let Some((handle, task)) = self.attempts.borrow_mut().remove(&id) {
                        handle.reset();
                        task.abort();
                    }
                }
                Effect::DeleteUpstream(node, path) => {
                    if let Some(address) = self.node_address(node) {
                        let shell = self.clone();
                        self.spawn_background(async move { shell.upstream.delete(address, &path).await });
                    }
                }
                Effect::Probe(node) => fleet_io::request_probe(self, node),
                Effect::SetLayer(node, path, rung) => self.set_layer(node, path, rung),
                Effect::OpenNodeEvents(node, path) => self.follow_events(node, path),
                Effect::DeleteGivenUp(node, paths) => self.delete_given_up(node, paths),
                Effect::NotifyViewer(resource, event, data) => {
                    if let Some(stream) = self.streams.borrow().get(&resource) {
                        // A full stream means that the viewer does not read it; the event is dropped.
                        let _ = stream.try_send(pepperhook_signalling::write_event(event, &data));
                    }
                }
                Effect::CloseEventStream(resource) => {
                    self.streams.borrow_mut().remove(&resource);
                }
                Effect::Replicate(key, copied) => fleet_io::replicate_session(self, key, copied.as_ref()),
                Effect::Log(line) => info!(event = "decision", "{line}"),
            }
        }
        self.timers_changed.notify_one();
        self.work_done.notify_one();
    }

    pub(crate) fn node_address(&self, node: ServerId) -> Option<SocketAddr> {
        self.engine.borrow().node(node).map(|n| n.address)
    }

    fn answer(self: &Rc<Self>, ticket: Ticket, answer: Answer, policy_version: Option<u64>) {
        let Some(sender) = self.waiting.borrow_mut().remove(&ticket) else { return };
        if let Err((Answer::Created { resource, .. }, _)) = sender.send((answer, policy_version)) {
            let shell = self.clone();
            spawn_local(async move { shell.drive(Input::Undelivered(resource)) });
        }
    }

    /// Limits warnings that a faulty node could cause for each session to one in 5 s: true if one is due now.
    fn warning_due(&self) -> bool {
        let due = self.last_warning.get().is_none_or(|at| at.elapsed() >= Duration::from_secs(5));
        if due {
            self.last_warning.set(Some(Instant::now()));
        }
        due
    }

    /// Spawns a request to a node that [`Front::stop`] waits for.
    fn spawn_background(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        let counted = self.background_requests.begin(self);
        spawn_local(async move {
            work.await;
            drop(counted);
        });
    }

    fn set_up(
        self: &Rc<Self>,
        id: AttemptId,
        node: ServerId,
        title: String,
        publish: bool,
        offer: bytes::Bytes,
    ) {
        let (shell, handle) = (self.clone(), AttemptHandle::default());
        let attempt_handle = handle.clone();
        let address = self.node_address(node);
        let task = spawn_local(async move {
            let end = match address {
                Some(address) => {
                    shell.upstream.set_up(address, publish, &title, offer, &attempt_handle).await
                }
                None => AttemptEnd::NoConnection,
            };
            shell.attempts.borrow_mut().remove(&id);
            shell.drive(Input::AttemptEnded(id, node, end));
        });
        self.attempts.borrow_mut().insert(id, (handle, task));
    }

    fn set_layer(self: &Rc<Self>, node: ServerId, path: String, rung: u8) {
        let Some(address) = self.node_address(node) else { return };
        let key = (node, path);
        if let Some(next) = self.layers.borrow_mut().get_mut(&key) {
            *next = Some(rung);
            return;
        }
        self.layers.borrow_mut().insert(key.clone(), None);
        let shell = self.clone();
        self.spawn_background(async move {
            let mut rung = rung;
            loop {
                if !shell.upstream.set_layer(address, &key.1, rung).await && shell.warning_due() {
                    warn!(event = "layer-not-set", rung, "a node refused the rung or did not answer");
                }
                let next = shell.layers.borrow_mut().get_mut(&key).and_then(Option::take);
                match next {
                    Some(next) => rung = next,
                    None => break,
                }
            }
            shell.layers.borrow_mut().remove(&key);
        });
    }

    /// Subscribes to a node's events by the session at this path.
    fn follow_events(self: &Rc<Self>, node: ServerId, path: String) {
        let (shell, address) = (self.clone(), self.node_address(node));
        spawn_local(async move {
            let end = match address {
                Some(address) => {
                    let on_news = |news| shell.drive(Input::NodeEvent(node, news));
                    shell.upstream.follow(address, &path, on_news).await
                }
                None => StreamEnd::DialFailed(None),
            };
            // Without a pause, a node that closes each stream at once would be asked in a tight loop.
            if end == StreamEnd::Closed {
                tokio::time::sleep(STREAM_RETRY_DELAY).await;
            }
            shell.drive(Input::StreamEnded(node, end));
        });
    }

    /// Deletes sessions at a node one after another, until it does not answer.
    fn delete_given_up(self: &Rc<Self>, node: ServerId, mut paths: BTreeSet<String>) {
        let (shell, address) = (self.clone(), self.node_address(node));
        spawn_local(async move {
            while let (Some(address), Some(path)) = (address, paths.first().cloned()) {
                if !shell.upstream.delete_once(address, &path).await {
                    break;
                }
                paths.remove(&path);
            }
            shell.drive(Input::GivenUpRemain(node, paths));
        });
    }

    /// Runs the engine's timers.
    async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.engine.borrow().next_wake();
            tokio::select! {
                () = self.clock.sleep_until(next) => {
                    let mut out = Vec::new();
                    self.engine.borrow_mut().wake(self.clock.now(), &mut out);
                    self.execute(out);
                }
                () = self.timers_changed.notified() => {}
            }
        }
    }

    /// Polls the list of nodes and passes each new one to the engine.
    async fn watch_inventory(self: Rc<Self>, mut watcher: InventoryWatcher) {
        let mut ticks = tokio::time::interval(Duration::from_nanos(self.config.inventory_poll_interval));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            match watcher.poll() {
                PollResult::Unchanged | PollResult::Changing => {}
                PollResult::Updated(nodes) => {
                    info!(event = "inventory-taken", nodes = nodes.len(), "a new list of nodes is in force");
                    self.drive(Input::Nodes(nodes));
                    fleet_io::update_duty_targets(&self);
                }
                PollResult::Invalid(faults) => {
                    for fault in faults.iter().take(10) {
                        warn!(event = "inventory-fault", "{fault}");
                    }
                    warn!(
                        event = "inventory-kept",
                        faults = faults.len(),
                        "the list of nodes has errors; the last valid one stays in force"
                    );
                }
            }
        }
    }
}

/// Memory for the bodies of all requests together, bytes.
fn body_budget_bytes(limits: &Limits) -> usize {
    let for_waiting = limits.waiting.saturating_mul(BODY_BYTES_PER_WAITING);
    for_waiting.max(limits.body.saturating_mul(MIN_LARGEST_BODIES))
}

/// A running front with its listeners.
pub struct Front {
    shell: Rc<Shell>,
    address: SocketAddr,
    admin: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    phase: watch::Sender<Phase>,
}

impl Front {
    /// Binds the listeners and starts to serve, within a `LocalSet`. `nodes` is the initial list of nodes; `watcher`
    /// finds later versions of it.
    ///
    /// # Errors
    /// If an address cannot be bound, a store cannot be opened, or the decision module rejects its settings.
    pub async fn start(
        config: Config,
        seed: u64,
        nodes: Vec<Node>,
        watcher: Option<InventoryWatcher>,
    ) -> io::Result<Self> {
        let config = Rc::new(config);
        let engine =
            Engine::new(config.clone(), seed).map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?;
        let listener = TcpListener::bind(config.listen).await?;
        let admin = TcpListener::bind(config.admin).await?;
        let (address, admin_address) = (listener.local_addr()?, admin.local_addr()?);
        let key = config.admin_key.clone().unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let (clock, fleet_clock) = (Clock::new(), FleetClock::new()?);
        let (fleet_io, socket) = FleetIo::start(&config, fleet_clock.now_ms()).await?;
        let upstream =
            Upstream::new(&config.name, rand::random(), Duration::from_nanos(config.connect_timeout));
        let shell = Rc::new(Shell {
            clock,
            fleet_clock,
            fleet_io,
            admin_key: key,
            body_budget: BodyBudget::new(body_budget_bytes(&config.limits)),
            engine: RefCell::new(engine),
            next_ticket: Cell::new(1),
            waiting: RefCell::default(),
            attempts: RefCell::default(),
            streams: RefCell::default(),
            layers: RefCell::default(),
            background_requests: RequestCount::default(),
            forwarded_requests: RequestCount::default(),
            last_warning: Cell::new(None),
            upstream,
            timers_changed: Notify::new(),
            work_done: Notify::new(),
            config,
        });
        shell.drive(Input::Nodes(nodes));
        fleet_io::restore_records(&shell);
        fleet_io::update_duty_targets(&shell);
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let mut tasks = vec![
            spawn_local(shell.clone().run_timers()),
            spawn_local(session_api::serve(shell.clone(), listener, phase_receiver.clone())),
            spawn_local(console::serve(shell.clone(), admin, phase_receiver)),
        ];
        tasks.extend(fleet_io::start_agreement(&shell));
        tasks.extend(socket.map(|s| spawn_local(fleet_io::run_socket(shell.clone(), s))));
        tasks.extend(watcher.map(|w| spawn_local(shell.clone().watch_inventory(w))));
        info!(event = "serving", address = %address, admin = %admin_address, "the front accepts requests");
        Ok(Self { shell, address, admin: admin_address, tasks, phase })
    }

    /// Address of the listener for viewers and publishers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// URL of the console, with its key.
    #[must_use]
    pub fn console_url(&self) -> String {
        format!("http://{}/console?key={}", self.admin, self.shell.admin_key)
    }

    /// Address of the console's listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// The state that the console shows.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.shell.snapshot()
    }

    /// Stops in order: refuses new requests, answers those accepted before, ends the sessions and closes the connections.
    /// Takes at most the longest patience of a class and two seconds.
    pub async fn stop(self) {
        let shell = &self.shell;
        info!(event = "stopping", waiting = shell.snapshot().waiting, "new requests are refused");
        shell.engine.borrow_mut().stop();
        fleet_io::leave(shell);
        let _ = self.phase.send(Phase::Stopping);
        let longest = shell.engine(|e, _| e.longest_patience());
        let engine_idle = async {
            while !shell.engine.borrow().is_idle() || shell.forwarded_requests.get() > 0 {
                shell.work_done.notified().await;
            }
        };
        if tokio::time::timeout(Duration::from_nanos(longest), engine_idle).await.is_err() {
            warn!(event = "stopped-busy", "some requests have no answer after the longest patience");
        }
        let mut out = Vec::new();
        shell.engine.borrow_mut().end_all(shell.clock.now(), &mut out);
        shell.execute(out);
        let done = async {
            while shell.background_requests.get() > 0 {
                shell.work_done.notified().await;
            }
        };
        let _ = tokio::time::timeout(FINAL_REQUESTS_TIMEOUT, done).await;
        // Connections finish the response in progress, with `Connection: close`.
        let _ = self.phase.send(Phase::Closing);
        let _ = tokio::time::timeout(FINAL_CONNECTIONS_TIMEOUT, self.phase.closed()).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        info!(event = "stopped", "the front has stopped");
    }

    /// Stops at once, without ending sessions, as if the process were killed.
    pub fn abort(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
