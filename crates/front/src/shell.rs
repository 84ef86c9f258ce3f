//! Carries out what the engine says: timers, sockets, answers. It decides nothing.

use crate::clock::FleetTime;
use crate::engine::types::*;
use crate::engine::{Engine, Snapshot};
use crate::http::Phase;
use crate::spread::Spread;
use crate::upstream::{Hold, Upstream};
use crate::{console, listener, spread};
use pepperhook::{ServerId, Time};
use pepperhook_inventory::{InventoryWatcher, Node, PollResult};
use pepperhook_net::Clock;
use pepperhook_settings::Config;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
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

/// Events of one viewer that wait to be read, at most; a viewer who does not read loses the later ones.
const EVENTS_KEPT: usize = 16;
/// What is still to be told to nodes when the front stops takes so long at most.
const LAST_WORDS: Duration = Duration::from_millis(800);

/// Connections that are open then end within this time.
const LAST_CONNECTIONS: Duration = Duration::from_millis(1_200);

/// An answer, and the version of the policy that it was decided by, where one was ever agreed.
type Decided = (Answer, Option<u64>);

/// Rungs on their way to a node: the latest counts, one request at a time.
type Layers = HashMap<(ServerId, String), Option<u8>>;

/// One running front.
pub struct Shell {
    /// Its settings.
    pub config: Rc<Config>,
    /// Its clock.
    pub clock: Clock,
    /// The clock of its fleet's part.
    pub fleet_time: FleetTime,
    /// Key of the console.
    pub admin_key: String,
    engine: RefCell<Engine>,
    next_ticket: Cell<u64>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Decided>>>,
    attempts: RefCell<HashMap<AttemptId, (Hold, JoinHandle<()>)>>,
    streams: RefCell<HashMap<String, mpsc::Sender<String>>>,
    layers: RefCell<Layers>,
    /// Requests to nodes that nobody waits for.
    errands: Cell<usize>,
    warned: Cell<Option<Instant>>,
    upstream: Upstream,
    /// Announced peaks between fronts and over restarts.
    pub spread: Spread,
    wake: Notify,
    idle: Notify,
}

/// Withdraws a waiting request when its connection goes.
pub struct Waiting {
    shell: Rc<Shell>,
    ticket: Ticket,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered && self.shell.waiting.borrow_mut().remove(&self.ticket).is_some() {
            self.shell.drive(Input::Disconnected(self.ticket));
        }
    }
}

impl Shell {
    /// Hands the engine an input and carries out what it answers.
    pub fn drive(self: &Rc<Self>, input: Input) {
        let mut out = Vec::new();
        self.engine.borrow_mut().handle(self.clock.now(), input, &mut out);
        self.carry_out(out);
    }

    /// Asks, and waits for the one answer.
    pub async fn ask(self: &Rc<Self>, input: impl FnOnce(Ticket) -> Input) -> Decided {
        let ticket = Ticket(self.next_ticket.replace(self.next_ticket.get() + 1));
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, tell);
        let mut waiting = Waiting { shell: self.clone(), ticket, answered: false };
        crate::agreed::fence(self);
        self.drive(input(ticket));
        let answer = told.await.unwrap_or((Answer::Failed, None));
        waiting.answered = true;
        answer
    }

    /// Where a request on a session goes: the node's address and the path there.
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

    /// Opens the event stream of a session; an earlier one of the same session ends.
    pub fn open_stream(&self, resource: &str) -> mpsc::Receiver<String> {
        let (tell, told) = mpsc::channel(EVENTS_KEPT);
        self.streams.borrow_mut().insert(resource.to_owned(), tell);
        told
    }

    /// What the console shows.
    pub fn snapshot(&self) -> Snapshot {
        let mut s = self.engine.borrow().snapshot(self.clock.now());
        self.spread.show(self.fleet_time.now_ms(), &mut s);
        s
    }

    /// Reads the engine.
    pub fn engine<R>(&self, read: impl FnOnce(&Engine, Time) -> R) -> R {
        read(&self.engine.borrow(), self.clock.now())
    }

    fn carry_out(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Answer(ticket, answer, by) => self.answer(ticket, answer, by),
                Effect::SetUp { attempt, node, title, publish, offer } => {
                    self.set_up(attempt, node, title, publish, offer);
                }
                Effect::CloseAttempt(id) => {
                    if let Some((hold, _)) = self.attempts.borrow().get(&id) {
                        hold.close();
                    }
                }
                Effect::ResetAttempt(id) => {
                    if let Some((hold, task)) = self.attempts.borrow_mut().remove(&id) {
                        hold.reset();
                        task.abort();
                    }
                }
                Effect::DeleteUpstream(node, path) => {
                    if let Some(address) = self.address(node) {
                        let shell = self.clone();
                        self.errand(async move { shell.upstream.delete(address, &path).await });
                    }
                }
                Effect::Probe(node) => spread::ask(self, node),
                Effect::SetLayer(node, path, rung) => self.set_layer(node, path, rung),
                Effect::OpenNodeEvents(node, path) => self.follow(node, path),
                Effect::NotifyViewer(resource, event, data) => {
                    if let Some(stream) = self.streams.borrow().get(&resource) {
                        // A full stream belongs to a viewer who does not read it.
                        let _ = stream.try_send(pepperhook_signalling::write_event(event, &data));
                    }
                }
                Effect::CloseEventStream(resource) => {
                    self.streams.borrow_mut().remove(&resource);
                }
                Effect::Replicate(key, copied) => spread::copy(self, key, copied.as_ref()),
                Effect::Log(line) => info!(event = "decision", "{line}"),
            }
        }
        self.wake.notify_one();
        self.idle.notify_one();
    }

    pub(crate) fn address(&self, node: ServerId) -> Option<SocketAddr> {
        self.engine.borrow().node(node).map(|n| n.address)
    }

    fn answer(self: &Rc<Self>, ticket: Ticket, answer: Answer, by: Option<u64>) {
        let Some(tell) = self.waiting.borrow_mut().remove(&ticket) else { return };
        if let Err((Answer::Created { resource, .. }, _)) = tell.send((answer, by)) {
            let shell = self.clone();
            spawn_local(async move { shell.drive(Input::Undelivered(resource)) });
        }
    }

    /// Warnings that a sick node could repeat for each session come once in five seconds.
    fn may_warn(&self) -> bool {
        let due = self.warned.get().is_none_or(|at| at.elapsed() >= Duration::from_secs(5));
        if due {
            self.warned.set(Some(Instant::now()));
        }
        due
    }

    fn errand(self: &Rc<Self>, work: impl Future<Output = ()> + 'static) {
        let shell = self.clone();
        self.errands.set(self.errands.get() + 1);
        spawn_local(async move {
            work.await;
            shell.errands.set(shell.errands.get() - 1);
            shell.idle.notify_one();
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
        let (shell, hold) = (self.clone(), Hold::default());
        let held = hold.clone();
        let address = self.address(node);
        let task = spawn_local(async move {
            let end = match address {
                Some(address) => shell.upstream.set_up(address, publish, &title, offer, &held).await,
                None => AttemptEnd::NoConnection,
            };
            shell.attempts.borrow_mut().remove(&id);
            shell.drive(Input::AttemptEnded(id, node, end));
        });
        self.attempts.borrow_mut().insert(id, (hold, task));
    }

    fn set_layer(self: &Rc<Self>, node: ServerId, path: String, rung: u8) {
        let Some(address) = self.address(node) else { return };
        let key = (node, path);
        if let Some(next) = self.layers.borrow_mut().get_mut(&key) {
            *next = Some(rung);
            return;
        }
        self.layers.borrow_mut().insert(key.clone(), None);
        let shell = self.clone();
        self.errand(async move {
            let mut rung = rung;
            loop {
                if !shell.upstream.set_layer(address, &key.1, rung).await && shell.may_warn() {
                    warn!(event = "layer-not-set", rung, "a node did not take a rung");
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

    fn follow(self: &Rc<Self>, node: ServerId, path: String) {
        let (shell, address) = (self.clone(), self.address(node));
        spawn_local(async move {
            let end = match address {
                Some(address) => {
                    let each = |news| shell.drive(Input::NodeEvent(node, news));
                    shell.upstream.follow(address, &path, each).await
                }
                None => StreamEnd::NoConnection,
            };
            // A node that closes its streams as they open must not be asked in a tight loop.
            tokio::time::sleep(Duration::from_millis(30)).await;
            shell.drive(Input::StreamEnded(node, end));
        });
    }

    /// Runs the engine's timers.
    async fn timers(self: Rc<Self>) {
        loop {
            let next = self.engine.borrow().next_wake();
            tokio::select! {
                () = self.clock.sleep_until(next) => {
                    let mut out = Vec::new();
                    self.engine.borrow_mut().wake(self.clock.now(), &mut out);
                    self.carry_out(out);
                }
                () = self.wake.notified() => {}
            }
        }
    }

    /// Looks at the list of nodes.
    async fn watch(self: Rc<Self>, mut keeper: InventoryWatcher) {
        let mut ticks = tokio::time::interval(Duration::from_nanos(self.config.inventory_poll_interval));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            match keeper.poll() {
                PollResult::Unchanged | PollResult::Changing => {}
                PollResult::Updated(nodes) => {
                    info!(event = "inventory-taken", nodes = nodes.len(), "a new list of nodes is in force");
                    self.drive(Input::Nodes(nodes));
                    spread::list(&self);
                }
                PollResult::Invalid(faults) => {
                    for fault in faults.iter().take(10) {
                        warn!(event = "inventory-fault", "{fault}");
                    }
                    warn!(
                        event = "inventory-kept",
                        faults = faults.len(),
                        "the last good list stays in force"
                    );
                }
            }
        }
    }
}

/// A front that listens.
pub struct Front {
    shell: Rc<Shell>,
    address: SocketAddr,
    admin: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    phase: watch::Sender<Phase>,
}

impl Front {
    /// Binds the listeners and starts to serve, within a `LocalSet`. `nodes` is the list to start with; `keeper`
    /// looks for later ones.
    ///
    /// # Errors
    /// When an address cannot be bound, or the module does not take its settings.
    pub async fn start(
        config: Config,
        seed: u64,
        nodes: Vec<Node>,
        keeper: Option<InventoryWatcher>,
    ) -> io::Result<Self> {
        let config = Rc::new(config);
        let engine =
            Engine::new(config.clone(), seed).map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?;
        let listener = TcpListener::bind(config.listen).await?;
        let admin = TcpListener::bind(config.admin).await?;
        let (address, admin_address) = (listener.local_addr()?, admin.local_addr()?);
        let key = config.admin_key.clone().unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let (clock, fleet_time) = (Clock::new(), FleetTime::new()?);
        let (spread, socket) = Spread::start(&config, fleet_time.now_ms()).await?;
        let upstream =
            Upstream::new(&config.name, rand::random(), Duration::from_nanos(config.connect_timeout));
        let shell = Rc::new(Shell {
            clock,
            fleet_time,
            spread,
            admin_key: key,
            engine: RefCell::new(engine),
            next_ticket: Cell::new(1),
            waiting: RefCell::default(),
            attempts: RefCell::default(),
            streams: RefCell::default(),
            layers: RefCell::default(),
            errands: Cell::new(0),
            warned: Cell::new(None),
            upstream,
            wake: Notify::new(),
            idle: Notify::new(),
            config,
        });
        shell.drive(Input::Nodes(nodes));
        spread::recall(&shell);
        spread::list(&shell);
        let (phase, seen) = watch::channel(Phase::Serving);
        let mut tasks = vec![
            spawn_local(shell.clone().timers()),
            spawn_local(listener::serve(shell.clone(), listener, seen.clone())),
            spawn_local(console::serve(shell.clone(), admin, seen)),
        ];
        tasks.extend(spread::agree(&shell));
        tasks.extend(socket.map(|s| spawn_local(spread::run(shell.clone(), s))));
        tasks.extend(keeper.map(|k| spawn_local(shell.clone().watch(k))));
        info!(event = "serving", address = %address, admin = %admin_address, "the front serves");
        Ok(Self { shell, address, admin: admin_address, tasks, phase })
    }

    /// Where viewers come.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the console, with its key.
    #[must_use]
    pub fn console_url(&self) -> String {
        format!("http://{}/console?key={}", self.admin, self.shell.admin_key)
    }

    /// The console's address alone.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// What the console shows.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.shell.snapshot()
    }

    /// Stops: new requests are refused, those taken get their answer, sessions end, connections close. Takes
    /// the longest patience and two seconds at most.
    pub async fn stop(self) {
        let shell = &self.shell;
        info!(event = "stopping", waiting = shell.snapshot().waiting, "no new requests are taken");
        shell.engine.borrow_mut().stop();
        spread::leave(shell);
        let _ = self.phase.send(Phase::Stopping);
        let longest = shell.engine(|e, _| e.longest_patience());
        let idle = async {
            while !shell.engine.borrow().is_idle() {
                shell.idle.notified().await;
            }
        };
        if tokio::time::timeout(Duration::from_nanos(longest), idle).await.is_err() {
            warn!(event = "stopped-busy", "requests were still open after the longest patience");
        }
        let mut out = Vec::new();
        shell.engine.borrow_mut().end_all(shell.clock.now(), &mut out);
        shell.carry_out(out);
        let done = async {
            while shell.errands.get() > 0 {
                shell.idle.notified().await;
            }
        };
        let _ = tokio::time::timeout(LAST_WORDS, done).await;
        // Connections finish what they are writing, and say that they end.
        let _ = self.phase.send(Phase::Closing);
        let _ = tokio::time::timeout(LAST_CONNECTIONS, self.phase.closed()).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        info!(event = "stopped", "the front has stopped");
    }

    /// Stops at once, as if killed.
    pub fn abort(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
