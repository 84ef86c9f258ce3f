//! A playout node of `pepperhook serve` is replaced by another process at its address, of which the list says nothing,
//! while viewers keep coming.

mod common;

use common::*;
use pepperhook_playout::{NodeHandle, Options, start};
use tokio::time::{Instant, sleep};

/// Sessions at the node when its process dies.
const SESSIONS: u64 = 30;
/// Set-ups after that.
const LATER_SESSIONS: u64 = 20;

/// Starts a node at this address as soon as it is free.
async fn start_at(listen: &str, seed: u64, recorder: &pepperhook_playout::record::Recorder) -> NodeHandle {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let options = Options {
            listen: listen.to_owned(),
            seed,
            streams: 200.0,
            link_kb: 120_000.0,
            ..Options::default()
        };
        match start(vec![options], recorder).await {
            Ok(mut nodes) => return nodes.remove(0),
            Err(e) => assert!(Instant::now() < deadline, "the address is not free: {e}"),
        }
        tokio::task::yield_now().await;
    }
}

/// Guards against sessions that stand at the front for ever, since the new process, asked about a session of its own, was
/// taken for the old one.
#[test]
fn all_sessions_of_a_process_end_when_another_one_follows_at_its_address() {
    local(async {
        let recorder = pepperhook_playout::record::Recorder::in_memory("");
        let first = start_at("127.0.0.1:0", 1, &recorder).await;
        let address = first.address;
        let settings = settings(1, "").replace("streams 60", "streams 200").replace("000\n", "0000\n");
        let front = front_with(&settings, &list(&[("n0".to_owned(), address)], 0)).await;
        let cluster = Cluster { front, nodes: vec![first], recorder };
        for n in 0..SESSIONS {
            cluster.set_up_session(&format!("old{n}"), n).await;
        }
        cluster.nodes[0].crash();
        let second = start_at(&address.to_string(), 2, &cluster.recorder).await;
        for n in 0..LATER_SESSIONS {
            // Some may be refused, since the node has just failed.
            let _ = cluster.request_session(&format!("new{n}"), 1_000 + n).await;
            sleep(SECOND / 50).await;
        }
        let deadline = Instant::now() + 2 * PATIENCE;
        let counts = || (cluster.front.snapshot().playing, second.state().sessions);
        while counts().0 != counts().1 {
            assert!(Instant::now() < deadline, "sessions at the front and at the node: {:?}", counts());
            sleep(SECOND / 50).await;
        }
        assert!(counts().1 > 0, "nothing was set up at the second process");
    });
}
