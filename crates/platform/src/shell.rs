//! Runs the core on real I/O: passes it inputs from sockets, timers, the change log and signals, and carries out its
//! effects. It makes no decisions about sessions.

mod accept;
mod shutdown;

use crate::config::{Config, StartConfig};
use crate::core::{Bounds, ConnId, Core, DialEnd, Effect, Input, LinkId};
use crate::node_filter::NodeFilter;
use crate::peer::{BufferTotals, EndReason, Peer, ReceiveTimeouts, Received};
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

/// A viewer's first message must be complete within this time of its connection.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A message must be complete within this time of its first byte.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The number of connections in an orderly close is limited to the limit on viewers divided by this.
const LINGERING_DIVISOR: usize = 16;
/// Number of rejected messages at which a viewer's connection is closed.
const MAX_REJECTED_MESSAGES: u32 = 4;
/// A response that is later than its deadline by this much is useless to the viewer (from the protocol).
const LATE_RESPONSE_LIMIT: Duration = Duration::from_millis(500);
/// Poll interval for conditions without a notification.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest time between two warnings of the same kind.
const WARN_INTERVAL: Duration = Duration::from_secs(5);

/// One running front.
pub struct Shell {
    clock: Clock,
    sockets: SocketSettings,
    cells: u32,
    core: RefCell<Core>,
    list: RefCell<NodeList>,
    node_filter: RefCell<NodeFilter>,
    start_config: StartConfig,
    /// Address of the change log.
    log_address: Cell<SocketAddr>,
    /// Notified when the change log's address changes.
    pub log_moved: Notify,
    viewers: RefCell<HashMap<ConnId, Rc<Peer>>>,
    /// An accepted viewer's connection that waits until the number of viewers allows it.
    waiting_viewer: RefCell<Option<(TcpStream, SocketAddr)>>,
    nodes: RefCell<HashMap<LinkId, Rc<Peer>>>,
    /// Bytes that the connections of all viewers and of all nodes hold.
    viewer_buffers: BufferTotals,
    node_buffers: BufferTotals,
    max_viewers: usize,
    /// Time after which a queued response is useless to its viewer, whatever the request was, counted from when it could
    /// first have been written.
    useless_after: Duration,
    /// Number of viewers' connections in an orderly close.
    lingering: Cell<usize>,
    /// The front is closing its connections, as the last step of its shutdown.
    closing_connections: Cell<bool>,
    next_viewer: Cell<u64>,
    /// When a warning of each kind was last logged.
    warned: RefCell<HashMap<&'static str, Instant>>,
    /// Notified when the core's next timer may have changed.
    timer_changed: Notify,
    /// Notified when the state of the core or of a connection may have changed.
    state_changed: Notify,
}

impl Shell {
    /// Passes an input to the core and carries out its effects.
    fn handle_input(self: &Rc<Self>, input: Input) {
        trace!(event = "input", ?input);
        let is_link_event = matches!(
            input,
            Input::LinkUp(_)
                | Input::DialFailed(..)
                | Input::LinkDown(_)
                | Input::LinkReset(_)
                | Input::LinkEndedByNode(_)
        );
        if self.closing_connections.get() && is_link_event {
            // These connections end because the front does: that is no evidence about a node, and none is replaced.
            return self.state_changed.notify_one();
        }
        let mut out = Vec::new();
        self.core.borrow_mut().handle(self.clock.now(), input, &mut out);
        self.apply_effects(out);
    }

    fn apply_effects(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendToViewer(conn, output) => {
                    trace!(event = "to-viewer", conn = conn.0, word = ?output);
                    if let Some(peer) = self.viewers.borrow().get(&conn) {
                        peer.send(&viewer::encode(&output));
                    }
                }
                Effect::CloseViewer(conn) => {
                    if let Some(peer) = self.viewers.borrow().get(&conn) {
                        peer.close();
                    }
                }
                Effect::CheckViewer(conn, link, id) => self.check_before_set_up(conn, link, id),
                // A new connection would be of no use: the process is about to end.
                Effect::Dial(..) if self.closing_connections.get() => {}
                Effect::Dial(link, address) => {
                    trace!(event = "dial", link = link.0, %address);
                    spawn_local(self.clone().serve_link(link, address));
                }
                Effect::SendToNode(link, output) => {
                    trace!(event = "to-node", link = link.0, word = ?output);
                    if let Some(peer) = self.nodes.borrow().get(&link) {
                        peer.send(&node::encode(&output, &self.sockets));
                    }
                }
                Effect::CloseLink(link) => {
                    if let Some(peer) = self.nodes.borrow_mut().remove(&link) {
                        peer.close();
                    }
                }
                Effect::HalfCloseLink(link) => {
                    if let Some(peer) = self.nodes.borrow().get(&link) {
                        peer.shut_down_sending();
                    }
                }
                // The decision module and the core limit the rate of their own lines.
                Effect::Log(kind, line) => info!(event = kind, "{line}"),
            }
        }
        self.timer_changed.notify_one();
        self.state_changed.notify_one();
    }

    /// Checks, before the first byte of a set-up is written, that its viewer is still there and that the node's connection
    /// can take it. Timers, dials and messages from nodes may be handled before a viewer's close that came earlier. If
    /// the viewer has left, the core gets no input here: the reader of the connection reports it in the same turn.
    fn check_before_set_up(self: &Rc<Self>, conn: ConnId, link: LinkId, id: SessionId) {
        let viewer = self.viewers.borrow().get(&conn).cloned();
        let left = viewer.is_none_or(|peer| peer.has_left(|m| viewer::is_teardown_of(m, id)));
        let node = self.nodes.borrow().get(&link).cloned();
        // If the node closes an idle connection while the set-up is written, it is unknown whether the set-up ran.
        let blocked = node.is_none_or(|peer| peer.is_blocked() || peer.has_left(|_| false));
        trace!(event = "look", conn = conn.0, id = id.0, left, blocked);
        match (left, blocked) {
            (true, _) => {}
            (false, true) => self.handle_input(Input::LinkBlocked(id)),
            (false, false) => self.handle_input(Input::ViewerWaits(id)),
        }
    }

    /// Returns whether a warning of this kind may be logged now, and records that it is. Limits the rate of warnings that
    /// one cause can repeat.
    pub fn may_warn(&self, kind: &'static str) -> bool {
        let mut warned = self.warned.borrow_mut();
        let due = warned.get(kind).is_none_or(|at| at.elapsed() >= WARN_INTERVAL);
        if due {
            warned.insert(kind, Instant::now());
        }
        due
    }

    // ---- the change log ------------------------------------------------------------------------

    /// The number of the last event applied.
    pub fn last_event(&self) -> u64 {
        self.list.borrow().last_number()
    }

    /// The current address of the change log.
    pub fn log_address(&self) -> SocketAddr {
        self.log_address.get()
    }

    /// Returns whether the change log has an event of this number that was not applied here.
    pub fn is_behind(&self, number: u64) -> bool {
        self.list.borrow().is_behind(number)
    }

    /// Applies an event of the change log.
    pub fn apply_event(self: &Rc<Self>, event: &Event) -> Applied {
        let applied = self.list.borrow_mut().apply(event);
        if applied == Applied::New {
            self.update_nodes();
        }
        applied
    }

    /// Passes the usable nodes of the list to the core.
    fn update_nodes(self: &Rc<Self>) {
        let now_ms = self.clock.now() / 1_000_000;
        let entries = self.node_filter.borrow_mut().usable(&self.list.borrow(), now_ms);
        self.handle_input(Input::NodeList(entries));
    }

    // ---- connections ---------------------------------------------------------------------------

    /// Serves a viewer's connection until it ends.
    async fn serve_viewer(self: Rc<Self>, id: ConnId, peer: Rc<Peer>) {
        let mut rejected = 0;
        let timeouts =
            ReceiveTimeouts { first_message: Some(FIRST_MESSAGE_TIMEOUT), message: MESSAGE_TIMEOUT };
        let end = peer
            .run(timeouts, |received| {
                let Received::Message(m) = received else {
                    self.handle_input(Input::ViewerHalfClosed(id));
                    return ControlFlow::Continue(());
                };
                match viewer::decode(&m, &self.sockets, self.cells) {
                    Ok(FromViewer::SetUp(ask)) => self.handle_input(Input::SetUp(id, *ask)),
                    Ok(FromViewer::End(session)) => self.handle_input(Input::Release(id, session)),
                    Ok(FromViewer::Options(response)) => peer.send(&response),
                    Ok(FromViewer::Ignored) => {}
                    Err(viewer::Rejected(response)) => {
                        peer.send(&response);
                        rejected += 1;
                        if rejected >= MAX_REJECTED_MESSAGES {
                            return ControlFlow::Break(EndReason::Noise);
                        }
                    }
                }
                ControlFlow::Continue(())
            })
            .await;
        // Before the connection is removed: the core still answers the open requests on it.
        self.handle_input(Input::ViewerDisconnected(id));
        self.viewers.borrow_mut().remove(&id);
        if matches!(end, EndReason::Noise | EndReason::Unreadable(_)) {
            peer.send(&pepperhook_rtsp::Message::response(400));
        }
        // An orderly close keeps a file descriptor for a while; a flood of bad connections must not use up all of them.
        let may_linger =
            self.closing_connections.get() || self.lingering.get() < self.max_viewers / LINGERING_DIVISOR;
        if let (Ok(peer), true) = (Rc::try_unwrap(peer), may_linger) {
            self.lingering.set(self.lingering.get() + 1);
            let _ = tokio::time::timeout(pepperhook_net::LINGER_TIME, peer.finish_writing()).await;
            pepperhook_net::linger(&mut peer.into_stream(), 0).await;
            self.lingering.set(self.lingering.get() - 1);
        }
    }

    /// Dials a node and serves the connection until it ends.
    async fn serve_link(self: Rc<Self>, id: LinkId, address: SocketAddr) {
        let dial_timeout = Duration::from_nanos(self.sockets.dial_timeout);
        let stream = match tokio::time::timeout(dial_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return self.handle_input(Input::DialFailed(id, DialEnd::Refused));
            }
            Ok(Err(e)) => {
                if self.may_warn("dial") {
                    warn!(event = "dial-failed", %address, "{e}");
                }
                return self.handle_input(Input::DialFailed(id, DialEnd::Failed));
            }
            Err(_) => return self.handle_input(Input::DialFailed(id, DialEnd::TimedOut)),
        };
        let _ = stream.set_nodelay(true);
        let peer = Rc::new(Peer::new(stream, &self.node_buffers));
        self.nodes.borrow_mut().insert(id, peer.clone());
        self.handle_input(Input::LinkUp(id));
        let timeouts = ReceiveTimeouts { first_message: None, message: MESSAGE_TIMEOUT };
        let end = peer
            .run(timeouts, |received| {
                let Received::Message(m) = received else { return ControlFlow::Continue(()) };
                match node::decode(&m, &self.sockets) {
                    Ok(message) => {
                        self.handle_input(Input::NodeMessage(id, message));
                        ControlFlow::Continue(())
                    }
                    Err(node::Unexpected) => {
                        if self.may_warn("noise-message") {
                            warn!(
                                event = "node-message",
                                %address,
                                start = ?m.start,
                                fields = ?m.fields,
                                "a node sent a message that nodes must not send"
                            );
                        }
                        ControlFlow::Break(EndReason::Noise)
                    }
                }
            })
            .await;
        let is_noise = matches!(end, EndReason::Noise | EndReason::Unreadable(_) | EndReason::Slow);
        if is_noise && self.may_warn("noise") {
            warn!(event = "node-noise", %address, ?end, "the connection to a node was closed");
        }
        self.nodes.borrow_mut().remove(&id);
        // The socket is closed before the core is notified: closing it cancels the set-ups in progress on it.
        drop(peer);
        self.handle_input(match end {
            EndReason::Gone => Input::LinkEndedByNode(id),
            EndReason::Reset => Input::LinkReset(id),
            _ => Input::LinkDown(id),
        });
    }

    /// Runs the core's timers.
    async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.core.borrow().next_wake();
            tokio::select! {
                () = self.clock.sleep_until(next) => {
                    // Bytes that arrived in the same poll are handled first: a response must not count as late because its
                    // timer is polled before its socket.
                    tokio::task::yield_now().await;
                    let mut out = Vec::new();
                    self.core.borrow_mut().wake(self.clock.now(), &mut out);
                    self.apply_effects(out);
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }

    /// Reloads the configuration. Only the change log's address takes effect; an invalid file changes nothing.
    fn reload(&self, path: &Path) {
        match self.start_config.reload(path) {
            Ok(new) => {
                info!(event = "config-taken", changelog = %new.changelog, "configuration reloaded");
                if !new.needs_restart.is_empty() {
                    let fields = new.needs_restart.join(", ");
                    info!(event = "config-waits", fields, "these fields take effect at the next start");
                }
                if self.log_address.replace(new.changelog) != new.changelog {
                    self.log_moved.notify_one();
                }
            }
            Err(e) => warn!(event = "config-kept", "{e}"),
        }
    }
}

/// Handlers of SIGTERM, SIGINT and SIGHUP. Once they are installed none of these signals ends the process by default; one
/// that comes before [`run`] waits for it is kept.
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Installs the handlers, within a runtime.
    ///
    /// # Errors
    /// If the system refuses a handler.
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
/// If its address cannot be bound, the limit on file descriptors is too low, or the decision module rejects the settings.
pub async fn run(config: Config, path: PathBuf, signals: Signals) -> io::Result<()> {
    let Signals { mut term, mut int, mut hup } = signals;
    let invalid = |e| io::Error::new(io::ErrorKind::InvalidInput, e);
    let bounds = Bounds::for_descriptors(config.effective_descriptor_limit().map_err(io::Error::other)?);
    let core =
        Core::new(config.settings.clone(), config.sockets.clone(), bounds, config.seed).map_err(invalid)?;
    let longest_deadline = Duration::from_nanos(config.sockets.deadlines.iter().copied().max().unwrap_or(0));
    let start_config = config.start_config();
    let shell = Rc::new(Shell {
        clock: Clock::new(),
        cells: config.settings.cells,
        sockets: config.sockets,
        core: RefCell::new(core),
        list: RefCell::new(config.list),
        node_filter: RefCell::default(),
        start_config,
        log_address: Cell::new(config.changelog),
        log_moved: Notify::new(),
        viewers: RefCell::default(),
        waiting_viewer: RefCell::default(),
        nodes: RefCell::default(),
        viewer_buffers: BufferTotals::default(),
        node_buffers: BufferTotals::default(),
        max_viewers: bounds.viewers,
        useless_after: longest_deadline + LATE_RESPONSE_LIMIT,
        lingering: Cell::new(0),
        closing_connections: Cell::new(false),
        next_viewer: Cell::new(1),
        warned: RefCell::default(),
        timer_changed: Notify::new(),
        state_changed: Notify::new(),
    });
    shell.update_nodes();
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on 'listen' {}: {e}", config.listen)))?;
    let listener = Rc::new(listener);
    let address = listener.local_addr()?;
    info!(event = "listening", %address, nodes = shell.list.borrow().nodes().len(), "ready");
    let accepting = spawn_local(shell.clone().accept_viewers(listener.clone()));
    let timers = spawn_local(shell.clone().run_timers());
    let following = spawn_local(changelog_client::follow(shell.clone(), config.seed));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => shell.reload(&path),
        }
    }
    info!(
        event = "stopping",
        open = shell.core.borrow().open_requests(),
        standing = shell.core.borrow().playing_sessions()
    );
    let shutdown = shell.clone().shut_down(longest_deadline, accepting, timers, listener);
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            () = &mut shutdown => break,
            // The change log may move shortly before the shutdown or during it.
            _ = hup.recv() => shell.reload(&path),
        }
    }
    following.abort();
    info!(event = "stopped", "the front has stopped");
    Ok(())
}
