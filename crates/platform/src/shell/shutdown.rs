//! From SIGTERM to the end: nobody is left with something owed, and no connection is reset over what was said on it.

use super::accept::QUIET;
use super::{LOOK, Shell, WHOLE};
use crate::core::Input;
use crate::peer::Peer;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// After SIGTERM requests come for 0.6 s at most. One that comes later than this might be open when SIGKILL comes, and
/// is refused at once (the protocol's figures on planned restarts).
const STILL_COMING: Duration = Duration::from_millis(700);
/// The front does not end earlier, since it may have read late what came in time.
const EARLIEST: Duration = Duration::from_millis(900);
/// SIGKILL comes no earlier after SIGTERM than the longest deadline, counted as so much where it is longer,
const LONGEST: Duration = Duration::from_millis(3_000);
/// and so much more.
const KILLED: Duration = Duration::from_millis(700);
/// So long before it everyone has an answer. A request of the last moment in which some come (0.6 s after SIGTERM) still
/// has its whole time.
const BEFORE: Duration = Duration::from_millis(95);
/// The last words are waited for so long.
const LAST_WORDS: Duration = Duration::from_millis(20);
/// Nobody waits in the listen queue if for so long nobody is accepted.
const NOBODY: Duration = Duration::from_millis(1);
/// Connections have so long for their end: those to nodes,
const NODES_PART: Duration = Duration::from_millis(30);
/// and all of them.
const PART: Duration = Duration::from_millis(100);
/// All is over so long before SIGKILL may come.
const OVER: Duration = Duration::from_millis(25);

impl Shell {
    /// Bytes wait for a socket.
    fn is_writing(&self) -> bool {
        let waits = |p: &Rc<Peer>| p.is_writing();
        self.viewers.borrow().values().any(waits) || self.nodes.borrow().values().any(waits)
    }

    /// Every answer is written, and no viewer has written anything that was not taken, not even in part.
    fn is_idle(&self) -> bool {
        !self.is_writing() && self.viewers.borrow().values().all(|p| p.is_idle())
    }

    /// Waits for something to change.
    async fn look_again(&self) {
        let _ = timeout(LOOK, self.idle.notified()).await;
    }

    /// Serves on, then refuses what comes too late, and ends as soon as nobody is owed anything; shortly before SIGKILL
    /// may come everyone gets an answer. Then each connection is ended in order.
    pub(super) async fn stop(
        self: Rc<Self>,
        longest: Duration,
        accepting: JoinHandle<()>,
        timers: JoinHandle<()>,
        listener: Rc<TcpListener>,
    ) {
        let began = Instant::now();
        let killed = began + longest.min(LONGEST) + KILLED;
        let last = killed - BEFORE;
        sleep_until(last.min(began + STILL_COMING)).await;
        self.drive(Input::Closing);
        sleep_until(last.min(began + EARLIEST)).await;
        while Instant::now() < last && !self.core.borrow().is_quiet() {
            self.look_again().await;
        }
        accepting.abort();
        let _ = accepting.await;
        let came = self.take_in_newcomer().then(Instant::now);
        self.hear_out(&listener, came, began, last).await;
        // In the same turn in which nobody waited there.
        drop(listener);
        self.drive(Input::Last);
        let end = Instant::now() + LAST_WORDS;
        while Instant::now() < end && self.is_writing() {
            self.look_again().await;
        }
        timers.abort();
        self.part(killed - OVER).await;
    }

    /// Takes in whom the machine has accepted, and hears out who has written something: what has begun when requests
    /// still come is whole, or its time is up, some time after; who reads nothing is not waited for any longer either.
    async fn hear_out(
        self: &Rc<Self>,
        listener: &TcpListener,
        mut came: Option<Instant>,
        began: Instant,
        last: Instant,
    ) {
        let late = last.min((began + STILL_COMING + WHOLE).max(Instant::now() + QUIET));
        loop {
            let (all, some) = self.take_in_all(listener, last).await;
            if some {
                came = Some(Instant::now());
            }
            let now = Instant::now();
            // Who has just been taken in may have written before that, or is about to.
            let fresh = came.is_some_and(|at| now < at + QUIET);
            let over = self.core.borrow().is_quiet() && (now >= late || (all && !fresh && self.is_idle()));
            if now >= last || over {
                return;
            }
            self.look_again().await;
        }
    }

    /// Takes in who waits in the listen queue: whether that is all, and whether there was anybody.
    async fn take_in_all(self: &Rc<Self>, listener: &TcpListener, last: Instant) -> (bool, bool) {
        let mut some = false;
        loop {
            match timeout(NOBODY, listener.accept()).await {
                Ok(Ok((stream, address))) => {
                    some = true;
                    let _ = stream.set_nodelay(true);
                    self.take_in(stream, address);
                }
                Ok(Err(e)) => {
                    // Out of descriptors: who has nothing under way makes room.
                    pepperhook_net::warn_accept_failed(&e);
                    self.make_way();
                    return (false, some);
                }
                Err(_) => return (true, some),
            }
            if Instant::now() >= last {
                return (false, some);
            }
        }
    }

    /// Ends every connection in order: its sending side is shut once all is written, the other side is read on until it
    /// ends. Bytes that nobody has read would make the machine reset it, and what was said on it could be lost (RFC
    /// 9112, 9.6). Nodes come first: what they say until then is passed on to viewers.
    async fn part(self: &Rc<Self>, over: Instant) {
        let end = over.min(Instant::now() + PART);
        self.parting.set(true);
        self.nodes.borrow().values().for_each(|p| p.shut());
        let nodes = end.min(Instant::now() + NODES_PART);
        while Instant::now() < nodes && !self.nodes.borrow().is_empty() {
            self.look_again().await;
        }
        self.viewers.borrow().values().for_each(|p| p.close());
        let is_left = || !self.viewers.borrow().is_empty() || self.lingering.get() > 0;
        while Instant::now() < end && is_left() {
            self.look_again().await;
        }
    }
}
