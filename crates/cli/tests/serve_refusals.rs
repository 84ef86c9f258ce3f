//! Playout nodes of `pepperhook serve` that end their connections and refuse new ones: for a while, as one at its limit of
//! connections, or for so long that they are held to be dead.

mod common;

use common::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Sessions at the node.
const SESSIONS: u64 = 8;
/// How long a living node refuses connections.
const REFUSING_TIME: Duration = Duration::from_secs(4);
/// Time for which a node keeps the sessions of a front that follows no events.
const NODE_LEASE_MS: u64 = 60_000;

/// The address at which a front reaches a node. It can refuse connections while the node plays on.
struct Entrance {
    node: SocketAddr,
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Entrance {
    /// An entrance at a host of its own, so that nobody takes its port while it is closed.
    async fn open(host: &str, node: SocketAddr) -> Self {
        let listener = TcpListener::bind((host, 0)).await.expect("cannot bind to a loopback port");
        let address = listener.local_addr().expect("no address");
        Self { node, address, accepting: Self::accept(listener, node) }
    }

    /// Accepts connections until the task is aborted, which ends all of them.
    fn accept(listener: TcpListener, node: SocketAddr) -> JoinHandle<()> {
        tokio::task::spawn_local(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((mut client, _)) = listener.accept().await {
                connections.spawn_local(async move {
                    let mut upstream = TcpStream::connect(node).await.expect("cannot connect to the node");
                    let _ = tokio::io::copy_bidirectional(&mut client, &mut upstream).await;
                });
            }
        })
    }

    async fn close(&mut self) {
        self.accepting.abort();
        let _ = (&mut self.accepting).await;
    }

    async fn open_again(&mut self) {
        let listener = TcpListener::bind(self.address).await.expect("cannot bind to the port");
        self.accepting = Self::accept(listener, self.node);
    }
}

/// A front with sessions at one node behind an entrance, and the sessions' URLs.
async fn start_with_sessions(host: &str) -> (Cluster, Entrance, Vec<String>) {
    let recorder = pepperhook_playout::record::Recorder::in_memory("");
    let options =
        pepperhook_playout::Options { name: "n0".to_owned(), lease_ms: NODE_LEASE_MS, ..Default::default() };
    let nodes = pepperhook_playout::start(vec![options], &recorder).await.expect("cannot start the node");
    let entrance = Entrance::open(host, nodes[0].address).await;
    let front = front_with(&settings(1, ""), &list(&[("n0".to_owned(), entrance.address)], 0)).await;
    let cluster = Cluster { front, nodes, recorder };
    let mut urls = Vec::new();
    for n in 0..SESSIONS {
        urls.push(cluster.set_up_session(&format!("v{n}"), n).await.1);
    }
    // The event stream is open by now, and the node takes no answer for undelivered if its connection breaks.
    sleep(3 * SECOND / 2).await;
    (cluster, entrance, urls)
}

/// Guards against sessions that are lost to their viewers although their node plays them.
#[test]
fn sessions_of_a_node_that_refuses_connections_for_a_while_play_on_and_can_be_ended() {
    local(async {
        let (cluster, mut entrance, urls) = start_with_sessions("127.0.59.11").await;
        entrance.close().await;
        sleep(REFUSING_TIME).await;
        entrance.open_again().await;
        sleep(2 * SECOND).await;
        assert_eq!(cluster.front.snapshot().playing, SESSIONS as usize);
        assert_eq!(cluster.sessions(), SESSIONS as usize);
        for url in urls {
            let mut viewer = cluster.connect().await;
            viewer.send("DELETE", &url, &[], &[]).await.expect("cannot send the request");
            let reply = viewer.read_response(Instant::now() + PATIENCE).await.expect("no answer");
            assert_eq!(reply.status, 200);
        }
        wait_until("each session has ended at its node", || cluster.sessions() == 0).await;
    });
}

/// Guards against sessions of a lost node that stand at the front, and against those that a node plays on after it was
/// held to be dead.
#[test]
fn sessions_of_a_node_that_is_held_to_be_dead_end_in_time_and_at_the_node_once_it_is_back() {
    local(async {
        let (cluster, mut entrance, _urls) = start_with_sessions("127.0.59.12").await;
        let closed_at = Instant::now();
        entrance.close().await;
        while cluster.front.snapshot().playing > 0 {
            assert!(closed_at.elapsed() <= END_NOTICE_LIMIT, "sessions of a lost node stand");
            sleep(SECOND / 100).await;
        }
        assert_eq!(cluster.sessions(), SESSIONS as usize, "the node plays them on");
        entrance.open_again().await;
        wait_until("the sessions that were given up have ended", || cluster.sessions() == 0).await;
    });
}
