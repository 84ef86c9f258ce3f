//! Viewers' connections as they come. One that the machine has accepted is either taken in or waits in the listen queue;
//! none is closed unheard.
//!
//! Over the viewers' places one gives way that has nothing under way. Where nobody can, an eighth more are taken in; then
//! newcomers wait. A place becomes free at the latest when half a message, an open request or an answer that its viewer
//! does not take has had its time; connections on which sessions came keep theirs, since their ends are told there.

use super::{LOOK, Shell};
use crate::core::{ConnId, Input};
use crate::peer::Peer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tracing::warn;

/// Whoever has said something, or has come, within this time may have more on its way: it does not give way yet.
pub(super) const QUIET: Duration = Duration::from_millis(20);

impl Shell {
    /// Takes viewers' connections in for as long as the front runs.
    pub(super) async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let most = self.most_viewers + (self.most_viewers / 8).max(1);
        loop {
            // The one that waits for a place shows that somebody has to give way.
            let newcomer = pepperhook_net::accept(&listener).await;
            *self.newcomer.borrow_mut() = Some(newcomer);
            while self.viewers.borrow().len() >= most {
                if !self.make_way() {
                    let _ = tokio::time::timeout(LOOK, self.idle.notified()).await;
                }
            }
            self.take_in_newcomer();
            if self.viewers.borrow().len() > self.most_viewers {
                if self.may_warn("crowded") {
                    warn!(
                        event = "crowded",
                        most = self.most_viewers,
                        "a viewer's connection was closed for another, or newcomers wait"
                    );
                }
                self.make_way();
                // The one that gives way leaves as soon as its task runs.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Takes in the one that waits, if one does.
    pub(super) fn take_in_newcomer(self: &Rc<Self>) -> bool {
        let newcomer = self.newcomer.borrow_mut().take();
        newcomer.map(|(stream, peer)| self.take_in(stream, peer)).is_some()
    }

    /// Takes a connection in. It counts at once: a burst is accepted before the first of its tasks runs.
    pub(super) fn take_in(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let id = ConnId(self.next.replace(self.next.get() + 1));
        let connection = Rc::new(Peer::new(stream));
        self.viewers.borrow_mut().insert(id, connection.clone());
        self.drive(Input::Opened(id, peer.ip()));
        spawn_local(self.clone().viewer(id, connection));
    }

    /// Ends a connection that may give way, of those that come first the one that has been quiet longest. What the core
    /// does not see is looked at here: bytes that nobody has read, half a message, an answer that is not written.
    pub(super) fn make_way(self: &Rc<Self>) -> bool {
        let ranks = self.core.borrow().may_give_way();
        let victim = ranks.iter().find_map(|rank| {
            let viewers = self.viewers.borrow();
            let peers = rank.iter().filter_map(|id| viewers.get(id).map(|p| (p.last_received(), *id, p)));
            let mut quiet: Vec<_> =
                peers.filter(|(last_received, ..)| last_received.elapsed() >= QUIET).collect();
            quiet.sort_unstable_by_key(|(last_received, id, _)| (*last_received, *id));
            quiet.into_iter().find(|(.., peer)| peer.is_idle()).map(|(_, id, _)| id)
        });
        let Some(id) = victim else {
            self.end_stuck(ranks.iter().flatten());
            return false;
        };
        self.drive(Input::GiveWay(id));
        self.viewers.borrow_mut().remove(&id);
        true
    }

    /// Ends the connections of those that take no answer, once what waits for them is past its time. Their places are free
    /// when their tasks have ended: a last bounded try to write comes first.
    fn end_stuck<'a>(self: &Rc<Self>, spare: impl Iterator<Item = &'a ConnId>) {
        let is_stuck = |id: &&ConnId| self.viewers.borrow().get(id).is_some_and(|p| p.is_stuck(self.past));
        for id in spare.filter(is_stuck) {
            self.drive(Input::GiveWay(*id));
        }
    }
}
