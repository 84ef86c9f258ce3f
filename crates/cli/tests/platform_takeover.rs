//! `pepperhook platform` as a process on loopback: a playout node falls silent, and another process comes up at its
//! address, of which the change log says nothing.

#[path = "common/platform.rs"]
mod harness;
#[path = "common/log.rs"]
mod scripted_log;

use harness::*;
use scripted_log::{TIMEOUT, reply_of_node, set_up_request, start_node};
use serde_json::json;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Sessions at the node when its process vanishes.
const SESSIONS: usize = 31;
/// By the protocol, a session whose end nobody could report is released towards its client within 8 s.
const RELEASE_LIMIT: Duration = Duration::from_millis(8_050);
/// Time from the silence of the first process to the start of the second one.
const GAP: Duration = Duration::from_millis(300);
/// Interval of set-ups.
const INTERVAL: Duration = Duration::from_millis(50);

/// A node's address at which another process follows the first one.
struct ReplacedNode {
    address: SocketAddr,
    /// When the first process fell silent. Its connections stay open, and after [`GAP`] new ones reach the second process.
    silent_since: Arc<Mutex<Option<Instant>>>,
    /// Sessions that the first and the second process have set up.
    sessions: Arc<Mutex<[BTreeSet<String>; 2]>>,
}

fn start_replaced_node() -> ReplacedNode {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("no valid address");
    let (silent_since, sessions) = (Arc::<Mutex<_>>::default(), Arc::<Mutex<_>>::default());
    let node = ReplacedNode { address, silent_since, sessions };
    let (silent, set_up) = (node.silent_since.clone(), node.sessions.clone());
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(stream), silent, set_up) = (stream, silent.clone(), set_up.clone()) else { return };
            let since = *silent.lock().expect("poisoned");
            // Nothing listens in between.
            if since.is_none_or(|at: Instant| at.elapsed() >= GAP) {
                spawn(move || serve_connection(stream, since.is_some(), &silent, &set_up));
            }
        }
    });
    node
}

/// Serves one connection for the process that it has reached.
fn serve_connection(
    mut stream: TcpStream,
    is_second: bool,
    silent_since: &Mutex<Option<Instant>>,
    sessions: &Mutex<[BTreeSet<String>; 2]>,
) {
    while let Ok(request) = read(&mut stream) {
        if !is_second && silent_since.lock().expect("poisoned").is_some() {
            // Silent with the connection open, until the test ends.
            loop {
                std::thread::park();
            }
        }
        if request.head.starts_with("SETUP") {
            let session = request.field("Session").unwrap_or("").to_owned();
            sessions.lock().expect("poisoned")[usize::from(is_second)].insert(session);
        }
        let Some(reply) = reply_of_node(&request) else { continue };
        if stream.write_all(&reply).is_err() {
            return;
        }
    }
}

/// Passes on the ids of the sessions that the front ends on this connection, with the time.
fn follow_ends(mut viewer: TcpStream) -> Receiver<(String, Instant)> {
    let (sender, ends) = channel();
    spawn(move || {
        while let Ok(message) = read(&mut viewer) {
            let id = message.field("Session").unwrap_or("").to_owned();
            if message.head.starts_with("TEARDOWN") && sender.send((id, Instant::now())).is_err() {
                return;
            }
        }
    });
    ends
}

/// What clients do once the first process is silent.
#[derive(Clone, Copy, PartialEq)]
enum Traffic {
    /// They set sessions up at the pace of before.
    GoesOn,
    Ends,
}

fn sessions_of_a_replaced_process_are_released(probing: bool, traffic: Traffic) {
    let (node, (other, _set_ups)) = (start_replaced_node(), start_node());
    let (log, _log_requests) = change_log(Vec::new());
    let mut configuration = config(&[node.address, other], log);
    configuration["settings"]["limits"]["probes"] = json!(probing);
    configuration["settings"]["classes"][0]["idempotency"] = json!("idempotent");
    let front = front(&configuration);
    let mut viewer = front.connect();
    viewer.set_read_timeout(None).expect("cannot set the read timeout");
    let ends = follow_ends(viewer.try_clone().expect("cannot duplicate the socket"));
    let mut next_id = 1;
    let mut ask = || {
        viewer.write_all(&set_up_request(next_id, "lesson")).expect("cannot write to the connection");
        next_id += 1;
        sleep(INTERVAL);
    };
    let first_sessions = || node.sessions.lock().expect("poisoned")[0].clone();
    while first_sessions().len() < SESSIONS {
        ask();
    }
    let silent_since = Instant::now();
    *node.silent_since.lock().expect("poisoned") = Some(silent_since);
    let mut left = first_sessions();
    while !left.is_empty() && silent_since.elapsed() < RELEASE_LIMIT {
        if traffic == Traffic::GoesOn {
            ask()
        } else {
            sleep(INTERVAL)
        }
        for (id, at) in ends.try_iter() {
            assert!(left.remove(&id), "{id} was ended {:?} after the silence", at - silent_since);
        }
    }
    assert_eq!(left.len(), 0, "of {SESSIONS} sessions of the silent process were not released");
    // The second process is used, and its sessions play on.
    while node.sessions.lock().expect("poisoned")[1].is_empty() {
        assert!(silent_since.elapsed() < TIMEOUT, "nothing was set up at the second process");
        ask();
    }
    sleep(SECOND);
    assert_eq!(ends.try_iter().next(), None, "a session of the second process was ended");
}

/// Guards against sessions that stand for ever: what is heard of a new process at a node's address was taken for a sign of
/// life of the process before it.
#[test]
fn sessions_of_a_replaced_process_are_released_where_queries_are_permitted() {
    sessions_of_a_replaced_process_are_released(true, Traffic::GoesOn);
}

/// The same without queries: connections are half-closed instead.
#[test]
fn sessions_of_a_replaced_process_are_released_where_queries_are_forbidden() {
    sessions_of_a_replaced_process_are_released(false, Traffic::GoesOn);
}

/// The same if no set-up comes after the silence, so that the first process is asked nothing that it leaves unanswered.
#[test]
fn sessions_of_a_replaced_process_are_released_without_further_set_ups() {
    sessions_of_a_replaced_process_are_released(true, Traffic::Ends);
}
