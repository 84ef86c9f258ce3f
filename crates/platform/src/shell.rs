//! Carries out what the core says: sockets, timers, the change log, signals. It decides nothing.

mod accept;
mod shutdown;

use crate::config::{Config, StartConfig};
use crate::core::{Bounds, ConnId, Core, DialEnd, Effect, Input, LinkId};
use crate::node_filter::NodeFilter;
use crate::peer::{EndReason, Peer, ReceiveTimeouts, Received};
use crate::viewer::{self, FromViewer};
use crate::{changelog_client, node};
use pepperhook::SessionId;
use pepperhook_changelog::{Applied, Event, NodeList};
use pepperhook_net::Clock;
use pepperhook_parameters::SocketSettings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::{info, trace, warn};

/// A viewer's connection says something whole within this time, and ends a message that it has begun.
const FIRST_WORD: Duration = Duration::from_millis(2_000);
/// A message that has begun is whole within this time.
const WHOLE: Duration = Duration::from_millis(1_500);
/// Of the viewers' places, one in so many may be held by connections that are being ended in order.
const LINGERING: usize = 16;
/// Messages that cannot be used, on one connection, before it is closed.
const BAD_WORDS: u32 = 4;
/// An answer later than so long after its time is lost anyway (the protocol's figures).
const LATE: Duration = Duration::from_millis(500);
/// Between two looks at what nobody tells of.
const LOOK: Duration = Duration::from_millis(5);
/// Warnings of one kind come once in so long.
const WARN_EACH: Duration = Duration::from_secs(5);

/// One running front.
pub struct Shell {
    clock: Clock,
    sockets: SocketSettings,
    cells: u32,
    core: RefCell<Core>,
    list: RefCell<NodeList>,
    node_filter: RefCell<NodeFilter>,
    start: StartConfig,
    log: Cell<SocketAddr>,
    /// The change log has another address.
    pub log_moved: Notify,
    viewers: RefCell<HashMap<ConnId, Rc<Peer>>>,
    /// A viewer's connection that waits for a place.
    newcomer: RefCell<Option<(TcpStream, SocketAddr)>>,
    nodes: RefCell<HashMap<LinkId, Rc<Peer>>>,
    most_viewers: usize,
    /// An answer is past its time so long after it could be written first, whatever its request was.
    past: Duration,
    /// Connections that are being ended in order.
    lingering: Cell<usize>,
    /// The front is ending its connections, the last thing that it does.
    parting: Cell<bool>,
    next: Cell<u64>,
    warned: RefCell<HashMap<&'static str, Instant>>,
    wake: Notify,
    idle: Notify,
}

impl Shell {
    /// Hands the core an input and carries out what it answers.
    fn drive(self: &Rc<Self>, input: Input) {
        trace!(event = "input", ?input);
        let of_link = matches!(
            input,
            Input::LinkUp(_) | Input::LinkFailed(..) | Input::LinkDown(_) | Input::LinkShut(_)
        );
        if self.parting.get() && of_link {
            // What ends because the front does tells nothing of a node, and no other connection is to take its place.
            return self.idle.notify_one();
        }
        let mut out = Vec::new();
        self.core.borrow_mut().handle(self.clock.now(), input, &mut out);
        self.carry_out(out);
    }

    fn carry_out(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Tell(conn, word) => {
                    trace!(event = "to-viewer", conn = conn.0, ?word);
                    if let Some(peer) = self.viewers.borrow().get(&conn) {
                        peer.send(&viewer::encode(&word));
                    }
                }
                Effect::Hang(conn) => {
                    if let Some(peer) = self.viewers.borrow().get(&conn) {
                        peer.close();
                    }
                }
                Effect::Look(conn, link, id) => self.look(conn, link, id),
                // A node would tell what it has to tell to a process that ends.
                Effect::Dial(..) if self.parting.get() => {}
                Effect::Dial(link, address) => {
                    trace!(event = "dial", link = link.0, %address);
                    spawn_local(self.clone().link(link, address));
                }
                Effect::Write(link, word) => {
                    trace!(event = "to-node", link = link.0, ?word);
                    if let Some(peer) = self.nodes.borrow().get(&link) {
                        peer.send(&node::encode(&word, &self.sockets));
                    }
                }
                Effect::Close(link) => {
                    if let Some(peer) = self.nodes.borrow_mut().remove(&link) {
                        peer.close();
                    }
                }
                Effect::Shut(link) => {
                    if let Some(peer) = self.nodes.borrow().get(&link) {
                        peer.shut();
                    }
                }
                // The module and the core bound their own lines.
                Effect::Log(kind, line) => info!(event = kind, "{line}"),
            }
        }
        self.wake.notify_one();
        self.idle.notify_one();
    }

    /// The last look before the first byte of a set-up is written: timers, dials and nodes' words come up beside the end
    /// of a viewer's connection in any order. Who has left is not answered for: what was found is taken by the reader of
    /// the connection, in this same turn.
    fn look(self: &Rc<Self>, conn: ConnId, link: LinkId, id: SessionId) {
        let viewer = self.viewers.borrow().get(&conn).cloned();
        let left = viewer.is_none_or(|peer| peer.has_left(|m| viewer::is_teardown_of(m, id)));
        let node = self.nodes.borrow().get(&link).cloned();
        // A connection that the node ends for idleness crosses the set-up; written there it might have run.
        let blocked = node.is_none_or(|peer| peer.is_blocked() || peer.has_left(|_| false));
        trace!(event = "look", conn = conn.0, id = id.0, left, blocked);
        match (left, blocked) {
            (true, _) => {}
            (false, true) => self.drive(Input::Blocked(id)),
            (false, false) => self.drive(Input::Waits(id)),
        }
    }

    /// Lines that one cause could repeat come once in a while.
    pub fn may_warn(&self, kind: &'static str) -> bool {
        let mut warned = self.warned.borrow_mut();
        let due = warned.get(kind).is_none_or(|at| at.elapsed() >= WARN_EACH);
        if due {
            warned.insert(kind, Instant::now());
        }
        due
    }

    // ---- the change log ------------------------------------------------------------------------

    /// The number of the last event taken.
    pub fn last_event(&self) -> u64 {
        self.list.borrow().last_number()
    }

    /// Where the change log listens.
    pub fn log_address(&self) -> SocketAddr {
        self.log.get()
    }

    /// Whether the change log has told more than was taken.
    pub fn is_behind(&self, number: u64) -> bool {
        self.list.borrow().is_behind(number)
    }

    /// Takes an event of the change log.
    pub fn apply_event(self: &Rc<Self>, event: &Event) -> Applied {
        let applied = self.list.borrow_mut().apply(event);
        if applied == Applied::New {
            self.take_list();
        }
        applied
    }

    fn take_list(self: &Rc<Self>) {
        let now = self.clock.now() / 1_000_000;
        let entries = self.node_filter.borrow_mut().usable(&self.list.borrow(), now);
        self.drive(Input::Nodes(entries));
    }

    // ---- connections ---------------------------------------------------------------------------

    /// A viewer's connection to its end.
    async fn viewer(self: Rc<Self>, id: ConnId, peer: Rc<Peer>) {
        let mut bad = 0;
        let timeouts = ReceiveTimeouts { first_message: Some(FIRST_WORD), message: WHOLE };
        let end = peer
            .run(timeouts, |received| {
                let Received::Message(m) = received else {
                    self.drive(Input::Left(id));
                    return ControlFlow::Continue(());
                };
                match viewer::decode(&m, &self.sockets, self.cells) {
                    Ok(FromViewer::Ask(ask)) => self.drive(Input::Ask(id, *ask)),
                    Ok(FromViewer::End(session)) => self.drive(Input::End(id, session)),
                    Ok(FromViewer::Options(answer)) => peer.send(&answer),
                    Ok(FromViewer::Ignored) => {}
                    Err(viewer::Rejected(answer)) => {
                        peer.send(&answer);
                        bad += 1;
                        if bad >= BAD_WORDS {
                            return ControlFlow::Break(EndReason::Noise);
                        }
                    }
                }
                ControlFlow::Continue(())
            })
            .await;
        // While it can still be told: what is open on it gets its answer.
        self.drive(Input::Gone(id));
        self.viewers.borrow_mut().remove(&id);
        if matches!(end, EndReason::Noise | EndReason::Unreadable(_)) {
            peer.send(&pepperhook_rtsp::Message::response(400));
        }
        // An orderly end holds a descriptor; a flood of bad connections may not hold them all.
        let may_linger = self.parting.get() || self.lingering.get() < self.most_viewers / LINGERING;
        if let (Ok(peer), true) = (Rc::try_unwrap(peer), may_linger) {
            self.lingering.set(self.lingering.get() + 1);
            let _ = tokio::time::timeout(pepperhook_net::LINGER_TIME, peer.finish_writing()).await;
            pepperhook_net::linger(&mut peer.into_stream(), 0).await;
            self.lingering.set(self.lingering.get() - 1);
        }
    }

    /// A connection to a node from its dial to its end.
    async fn link(self: Rc<Self>, id: LinkId, address: SocketAddr) {
        let dial = Duration::from_nanos(self.sockets.dial_timeout);
        let stream = match tokio::time::timeout(dial, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return self.drive(Input::LinkFailed(id, DialEnd::Refused));
            }
            Ok(Err(e)) => {
                if self.may_warn("dial") {
                    warn!(event = "dial-failed", %address, "{e}");
                }
                return self.drive(Input::LinkFailed(id, DialEnd::Failed));
            }
            Err(_) => return self.drive(Input::LinkFailed(id, DialEnd::TimedOut)),
        };
        let _ = stream.set_nodelay(true);
        let peer = Rc::new(Peer::new(stream));
        self.nodes.borrow_mut().insert(id, peer.clone());
        self.drive(Input::LinkUp(id));
        let timeouts = ReceiveTimeouts { first_message: None, message: WHOLE };
        let end = peer
            .run(timeouts, |received| {
                let Received::Message(m) = received else { return ControlFlow::Continue(()) };
                match node::decode(&m, &self.sockets) {
                    Ok(said) => {
                        self.drive(Input::Node(id, said));
                        ControlFlow::Continue(())
                    }
                    Err(node::Unexpected) => {
                        if self.may_warn("noise-message") {
                            warn!(event = "node-message", %address, start = ?m.start, fields = ?m.fields, "a message makes no sense here");
                        }
                        ControlFlow::Break(EndReason::Noise)
                    }
                }
            })
            .await;
        if !matches!(end, EndReason::Gone | EndReason::Closed | EndReason::Shut) && self.may_warn("noise") {
            warn!(event = "node-noise", %address, ?end, "a node's connection was closed");
        }
        self.nodes.borrow_mut().remove(&id);
        // The socket is closed before the core hears of it: what was open on it is given up by that.
        drop(peer);
        self.drive(if end == EndReason::Shut { Input::LinkShut(id) } else { Input::LinkDown(id) });
    }

    /// Runs the core's timers.
    async fn timers(self: Rc<Self>) {
        loop {
            let next = self.core.borrow().next_wake();
            tokio::select! {
                () = self.clock.sleep_until(next) => {
                    // What came in the same wake was there first: an answer is not too late for being read after the
                    // timer that waits for it.
                    tokio::task::yield_now().await;
                    let mut out = Vec::new();
                    self.core.borrow_mut().wake(self.clock.now(), &mut out);
                    self.carry_out(out);
                }
                () = self.wake.notified() => {}
            }
        }
    }

    /// Takes what may change of the configuration while the front runs, where the change log is, or nothing of it.
    fn reload(&self, path: &Path) {
        match self.start.reload(path) {
            Ok(new) => {
                info!(event = "config-taken", changelog = %new.changelog, "the configuration was read again");
                if !new.needs_restart.is_empty() {
                    let fields = new.needs_restart.join(", ");
                    info!(event = "config-waits", fields, "these fields wait for the next start");
                }
                if self.log.replace(new.changelog) != new.changelog {
                    self.log_moved.notify_one();
                }
            }
            Err(e) => warn!(event = "config-kept", "{e}"),
        }
    }
}

/// The signals that a front heeds. From here on none of them ends the process by itself: what comes before [`run`] asks
/// for them is kept.
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Heeds them, within a runtime.
    ///
    /// # Errors
    /// When the system does not give them.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs a front until SIGTERM or SIGINT, within a `LocalSet`.
///
/// # Errors
/// When its address cannot be listened on, or its module does not take the settings.
pub async fn run(config: Config, path: PathBuf, signals: Signals) -> io::Result<()> {
    let Signals { mut term, mut int, mut hup } = signals;
    let invalid = |e| io::Error::new(io::ErrorKind::InvalidInput, e);
    let bounds = Bounds::for_descriptors(config.effective_descriptor_limit().map_err(io::Error::other)?);
    let core =
        Core::new(config.settings.clone(), config.sockets.clone(), bounds, config.seed).map_err(invalid)?;
    let longest = Duration::from_nanos(config.sockets.deadlines.iter().copied().max().unwrap_or(0));
    let start = config.start_config();
    let shell = Rc::new(Shell {
        clock: Clock::new(),
        cells: config.settings.cells,
        sockets: config.sockets,
        core: RefCell::new(core),
        list: RefCell::new(config.list),
        node_filter: RefCell::default(),
        start,
        log: Cell::new(config.changelog),
        log_moved: Notify::new(),
        viewers: RefCell::default(),
        newcomer: RefCell::default(),
        nodes: RefCell::default(),
        most_viewers: bounds.viewers,
        past: longest + LATE,
        lingering: Cell::new(0),
        parting: Cell::new(false),
        next: Cell::new(1),
        warned: RefCell::default(),
        wake: Notify::new(),
        idle: Notify::new(),
    });
    shell.take_list();
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("'listen' {}: {e}", config.listen)))?;
    let listener = Rc::new(listener);
    let address = listener.local_addr()?;
    info!(event = "listening", %address, nodes = shell.list.borrow().nodes().len(), "ready");
    let accepting = spawn_local(shell.clone().accept(listener.clone()));
    let timers = spawn_local(shell.clone().timers());
    let following = spawn_local(changelog_client::follow(shell.clone(), config.seed));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => shell.reload(&path),
        }
    }
    info!(event = "stopping", open = shell.core.borrow().open(), standing = shell.core.borrow().standing());
    let end = shell.clone().stop(longest, accepting, timers, listener);
    tokio::pin!(end);
    loop {
        tokio::select! {
            () = &mut end => break,
            // The change log may move shortly before the end or during it.
            _ = hup.recv() => shell.reload(&path),
        }
    }
    following.abort();
    info!(event = "stopped", "the front has stopped");
    Ok(())
}
