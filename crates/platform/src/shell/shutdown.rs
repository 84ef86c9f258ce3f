//! Graceful shutdown after SIGTERM: every request gets its response, and no connection is reset while data that was sent
//! on it may still be unread.

use super::accept::QUIET_TIME;
use super::{MESSAGE_TIMEOUT, POLL_INTERVAL, Shell};
use crate::core::Input;
use crate::peer::Peer;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Requests are accepted for this long after SIGTERM. By the protocol's rules on planned restarts they come for 0.6 s at
/// most; a later one might still be open at SIGKILL and is refused at once.
const ACCEPT_TIME: Duration = Duration::from_millis(700);
/// Shortest time from SIGTERM to the end: requests that came in time may be read late.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(900);
/// SIGKILL comes at the earliest after the longest deadline, limited to this value, plus `KILL_DELAY`, from SIGTERM.
const MAX_DEADLINE: Duration = Duration::from_millis(3_000);
/// See `MAX_DEADLINE`.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Every request has its response this long before SIGKILL. A request that comes 0.6 s after SIGTERM, the last moment,
/// still has its full deadline.
const RESPONSES_BEFORE_KILL: Duration = Duration::from_millis(95);
/// Time limit for writing the last responses.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(20);
/// The listen queue counts as empty if `accept` returns nothing for this long.
const EMPTY_QUEUE_TIMEOUT: Duration = Duration::from_millis(1);
/// Time limit for the orderly close of the connections to nodes.
const NODES_CLOSE_TIMEOUT: Duration = Duration::from_millis(30);
/// Time limit for the orderly close of all connections.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// The shutdown is complete this long before SIGKILL.
const END_BEFORE_KILL: Duration = Duration::from_millis(25);

impl Shell {
    /// Returns whether any connection has queued bytes.
    fn is_writing(&self) -> bool {
        let has_queued = |p: &Rc<Peer>| p.is_writing();
        self.viewers.borrow().values().any(has_queued) || self.nodes.borrow().values().any(has_queued)
    }

    /// Returns whether every response is written and no viewer has sent anything, even part of a message, that was not
    /// handled.
    fn is_idle(&self) -> bool {
        !self.is_writing() && self.viewers.borrow().values().all(|p| p.is_idle())
    }

    /// Waits for a change of state, at most the poll interval.
    async fn wait_for_change(&self) {
        let _ = timeout(POLL_INTERVAL, self.state_changed.notified()).await;
    }

    /// Keeps serving, then refuses requests that come too late, and proceeds once no request or release is pending. Shortly
    /// before the earliest SIGKILL, every request that is still open gets a response. Then all connections are closed in
    /// order.
    pub(super) async fn shut_down(
        self: Rc<Self>,
        longest_deadline: Duration,
        accepting: JoinHandle<()>,
        timers: JoinHandle<()>,
        listener: Rc<TcpListener>,
    ) {
        let began = Instant::now();
        let kill_at = began + longest_deadline.min(MAX_DEADLINE) + KILL_DELAY;
        let respond_by = kill_at - RESPONSES_BEFORE_KILL;
        sleep_until(respond_by.min(began + ACCEPT_TIME)).await;
        self.handle_input(Input::StopAccepting);
        sleep_until(respond_by.min(began + MIN_SHUTDOWN_TIME)).await;
        while Instant::now() < respond_by && !self.core.borrow().has_no_pending_work() {
            self.wait_for_change().await;
        }
        accepting.abort();
        let _ = accepting.await;
        let last_admitted = self.admit_waiting_viewer().then(Instant::now);
        self.drain_listen_queue(&listener, last_admitted, began, respond_by).await;
        // Without a yield since the listen queue was found empty.
        drop(listener);
        self.handle_input(Input::AnswerAll);
        let end = Instant::now() + LAST_WRITES_TIMEOUT;
        while Instant::now() < end && self.is_writing() {
            self.wait_for_change().await;
        }
        timers.abort();
        self.close_connections(kill_at - END_BEFORE_KILL).await;
    }

    /// Admits the connections in the listen queue and handles what they and the others send, until nothing is pending. A
    /// message that began while requests were accepted is complete, or has timed out, by `give_up_at`; beyond it, viewers
    /// that do not read their responses are not waited for either.
    async fn drain_listen_queue(
        self: &Rc<Self>,
        listener: &TcpListener,
        mut last_admitted: Option<Instant>,
        began: Instant,
        respond_by: Instant,
    ) {
        let give_up_at =
            respond_by.min((began + ACCEPT_TIME + MESSAGE_TIMEOUT).max(Instant::now() + QUIET_TIME));
        loop {
            let (is_empty, any_admitted) = self.admit_all(listener, respond_by).await;
            if any_admitted {
                last_admitted = Some(Instant::now());
            }
            let now = Instant::now();
            // A connection that was just admitted may have sent a request that is not read yet, or is about to.
            let recently_admitted = last_admitted.is_some_and(|at| now < at + QUIET_TIME);
            let is_done = self.core.borrow().has_no_pending_work()
                && (now >= give_up_at || (is_empty && !recently_admitted && self.is_idle()));
            if now >= respond_by || is_done {
                return;
            }
            self.wait_for_change().await;
        }
    }

    /// Admits the connections in the listen queue; returns whether the queue is empty now, and whether any was admitted.
    async fn admit_all(self: &Rc<Self>, listener: &TcpListener, respond_by: Instant) -> (bool, bool) {
        let mut any_admitted = false;
        loop {
            match timeout(EMPTY_QUEUE_TIMEOUT, listener.accept()).await {
                Ok(Ok((stream, address))) => {
                    any_admitted = true;
                    let _ = stream.set_nodelay(true);
                    self.admit(stream, address);
                }
                Ok(Err(e)) => {
                    // Out of file descriptors: closing an idle connection frees one.
                    pepperhook_net::warn_accept_failed(&e);
                    self.close_idle_viewer();
                    return (false, any_admitted);
                }
                Err(_) => return (true, any_admitted),
            }
            if Instant::now() >= respond_by {
                return (false, any_admitted);
            }
        }
    }

    /// Closes every connection in order: its sending half is shut down once its queue is written, and it is read until the
    /// peer closes. Closing a socket with unread bytes would reset the connection, and sent data could be lost (RFC 9112,
    /// 9.6). Nodes come first: their messages until then are passed on to viewers.
    async fn close_connections(self: &Rc<Self>, end_by: Instant) {
        let end = end_by.min(Instant::now() + CLOSE_TIMEOUT);
        self.closing_connections.set(true);
        self.nodes.borrow().values().for_each(|p| p.shut_down_sending());
        let nodes_end = end.min(Instant::now() + NODES_CLOSE_TIMEOUT);
        while Instant::now() < nodes_end && !self.nodes.borrow().is_empty() {
            self.wait_for_change().await;
        }
        self.viewers.borrow().values().for_each(|p| p.close());
        let any_left = || !self.viewers.borrow().is_empty() || self.lingering.get() > 0;
        while Instant::now() < end && any_left() {
            self.wait_for_change().await;
        }
    }
}
