//! Accepts viewers' connections. A new connection is admitted or waits in the listen queue; none is closed before its
//! messages are read.
//!
//! When the limit on viewers is exceeded, an idle connection is closed. If there is none, up to an eighth more are
//! admitted; beyond that, new connections wait. Room is made at the latest when an incomplete message, an open request or
//! a response that its viewer does not read times out. Connections of established sessions are kept, since the ends of
//! these sessions are reported on them.

use super::{POLL_INTERVAL, Shell};
use crate::core::{ConnId, Input};
use crate::peer::Peer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tracing::warn;

/// A connection that was made or that received bytes within this time is not closed for another: more may be on its way.
pub(super) const QUIET_TIME: Duration = Duration::from_millis(20);

impl Shell {
    /// Accepts viewers' connections for as long as the front runs.
    pub(super) async fn accept_viewers(self: Rc<Self>, listener: Rc<TcpListener>) {
        let hard_limit = self.max_viewers + (self.max_viewers / 8).max(1);
        loop {
            // A connection is closed for another only once the other is there.
            let accepted = pepperhook_net::accept(&listener).await;
            *self.waiting_viewer.borrow_mut() = Some(accepted);
            while self.viewers.borrow().len() >= hard_limit {
                if !self.close_idle_viewer() {
                    let _ = tokio::time::timeout(POLL_INTERVAL, self.state_changed.notified()).await;
                }
            }
            self.admit_waiting_viewer();
            if self.viewers.borrow().len() > self.max_viewers {
                if self.may_warn("crowded") {
                    warn!(
                        event = "crowded",
                        most = self.max_viewers,
                        "too many viewers: an idle connection was closed, or new ones wait"
                    );
                }
                self.close_idle_viewer();
                // The closed connection is released as soon as its task runs.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Admits the waiting connection; false if there is none.
    pub(super) fn admit_waiting_viewer(self: &Rc<Self>) -> bool {
        let waiting = self.waiting_viewer.borrow_mut().take();
        waiting.map(|(stream, address)| self.admit(stream, address)).is_some()
    }

    /// Admits a viewer's connection. It is counted at once, since a burst is accepted before the first of its tasks runs.
    pub(super) fn admit(self: &Rc<Self>, stream: TcpStream, address: SocketAddr) {
        let id = ConnId(self.next_viewer.replace(self.next_viewer.get() + 1));
        let connection = Rc::new(Peer::new(stream, &self.viewer_buffers));
        self.viewers.borrow_mut().insert(id, connection.clone());
        self.handle_input(Input::ViewerConnected(id, address.ip()));
        spawn_local(self.clone().serve_viewer(id, connection));
    }

    /// Closes one idle connection, if there is one: of the core's first rank that has any, the one that was idle longest.
    /// Checked here is what the core does not know: unread bytes, an incomplete message, a response that is not written.
    pub(super) fn close_idle_viewer(self: &Rc<Self>) -> bool {
        let ranks = self.core.borrow().evictable_viewers();
        let idle = ranks.iter().find_map(|rank| {
            let viewers = self.viewers.borrow();
            let peers = rank.iter().filter_map(|id| viewers.get(id).map(|p| (p.last_received(), *id, p)));
            let mut candidates: Vec<_> =
                peers.filter(|(last_received, ..)| last_received.elapsed() >= QUIET_TIME).collect();
            candidates.sort_unstable_by_key(|(last_received, id, _)| (*last_received, *id));
            candidates.into_iter().find(|(.., peer)| peer.is_idle()).map(|(_, id, _)| id)
        });
        let Some(id) = idle else {
            self.close_stuck_viewers(ranks.iter().flatten());
            return false;
        };
        self.handle_input(Input::EvictViewer(id));
        self.viewers.borrow_mut().remove(&id);
        true
    }

    /// Closes the connections of viewers that read no responses, once what is queued for them is useless. They count until
    /// their tasks end, after a last attempt to write with a time limit.
    fn close_stuck_viewers<'a>(self: &Rc<Self>, spare: impl Iterator<Item = &'a ConnId>) {
        let is_stuck =
            |id: &&ConnId| self.viewers.borrow().get(id).is_some_and(|p| p.is_stuck(self.useless_after));
        for id in spare.filter(is_stuck) {
            self.handle_input(Input::EvictViewer(*id));
        }
    }
}
