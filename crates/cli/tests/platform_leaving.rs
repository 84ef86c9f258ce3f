//! Clients that leave `pepperhook platform` while their requests are pending: no further attempt may begin for them. The
//! front is stopped by SIGSTOP while events that race with each other are prepared, and therefore finds all of them in one
//! wake-up, whatever the order in which it handles them.

#[path = "common/platform.rs"]
mod harness;

use harness::*;
use nix::sys::wait::{WaitPidFlag, WaitStatus, waitpid};
use nix::unistd::Pid;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// The connection on which a node answers, the message that it received, and the node's number.
type Received = (TcpStream, Raw, usize);

/// Starts a node that only passes on what it receives; the test answers for it.
fn start_node(number: usize, received_sender: Sender<Received>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("no valid address");
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), received_sender) = (stream, received_sender.clone()) else { return };
            spawn(move || {
                while let Ok(message) = read(&mut stream) {
                    let Ok(answer_stream) = stream.try_clone() else { return };
                    if received_sender.send((answer_stream, message, number)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A front with three nodes for which the test answers.
struct Scene {
    front: Front,
    /// The nodes' ends of connections on which a session was set up.
    node_connections: Vec<TcpStream>,
    /// Messages that arrived at any node.
    received: Receiver<Received>,
    /// Keeps the change log's channel open.
    _log_requests: Receiver<u64>,
}

impl Scene {
    /// With a class whose requests may be repeated.
    fn new() -> Self {
        Self::with_class("idempotent")
    }

    fn with_class(idempotency: &str) -> Self {
        let (received_sender, received) = channel();
        let nodes = [0, 1, 2].map(|number| start_node(number, received_sender.clone()));
        let (log, log_requests) = change_log(Vec::new());
        let mut config = config(&nodes, log);
        config["settings"]["classes"][0]["idempotency"] = json!(idempotency);
        // Without probes, nodes receive only messages that a test causes.
        config["settings"]["limits"]["probes"] = json!(false);
        Self { front: front(&config), node_connections: Vec::new(), received, _log_requests: log_requests }
    }

    /// The same, with an idle connection to each node, on which the front sends an attempt in the same turn in which it
    /// decides on it.
    fn connected() -> Self {
        Self::connected_with_class("idempotent")
    }

    fn connected_with_class(idempotency: &str) -> Self {
        let mut scene = Self::with_class(idempotency);
        let (mut client, mut is_connected) = (scene.front.connect(), [false; 3]);
        for id in 100..200 {
            client.write_all(&set_up_request(id, 2_500)).expect("cannot write to the connection");
            let (mut node, set_up, number) = scene.next("SETUP");
            accept(&mut node, &set_up);
            assert!(read(&mut client).expect("no answer").head.starts_with("RTSP/1.0 200"));
            is_connected[number] = true;
            scene.node_connections.push(node);
            if is_connected == [true; 3] {
                return scene;
            }
        }
        panic!("after 100 set-ups not all nodes are connected: {is_connected:?}");
    }

    /// Waits for the next message with this method at any node.
    fn next(&self, method: &str) -> Received {
        let deadline = Instant::now() + 5 * SECOND;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let received = self
                .received
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("no {method} arrived at a node within 5 s"));
            if received.1.head.starts_with(method) {
                return received;
            }
        }
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.front.child.id() as i32)
    }

    /// Stops the front, runs `prepare`, and lets the front continue; it has handled all that was prepared when this returns.
    fn in_one_wake_up(&self, prepare: impl FnOnce()) {
        self.front.signal("SIGSTOP");
        let status = waitpid(self.pid(), Some(WaitPidFlag::WUNTRACED)).expect("cannot wait for the process");
        assert!(matches!(status, WaitStatus::Stopped(..)), "the front is not stopped: {status:?}");
        prepare();
        self.front.signal("SIGCONT");
        self.wait_for_ping();
    }

    /// Sends an OPTIONS request on a new connection and waits for the answer.
    fn wait_for_ping(&self) {
        let mut client = self.front.connect();
        client
            .write_all(&message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b""))
            .expect("cannot write to the connection");
        assert!(read(&mut client).expect("no answer to the OPTIONS test").head.starts_with("RTSP/1.0 200"));
    }

    /// Session ids of the set-ups that reach nodes within `time` from now.
    fn set_ups_within(&self, time: Duration) -> Vec<String> {
        let deadline = Instant::now() + time;
        let mut sessions = Vec::new();
        while let Ok((_, message, _)) =
            self.received.recv_timeout(deadline.saturating_duration_since(Instant::now()))
        {
            if message.head.starts_with("SETUP") {
                sessions.push(message.field("Session").unwrap_or("").to_owned());
            }
        }
        sessions
    }
}

/// A set-up request of a viewer, with this time to its deadline.
fn set_up_request(id: u64, expires_ms: u64) -> Vec<u8> {
    let fields = [
        ("CSeq", "1"),
        ("Session", &format!("{id:016x}")),
        ("Priority-Class", "lesson"),
        ("Expires-Ms", &expires_ms.to_string()),
        ("P-Trunk-Info", "home:0;copies:2;top:4;viewer:00000000000000aa"),
    ];
    message("SETUP rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"an offer\r\n")
}

/// A viewer's cancellation of its set-up.
fn cancellation(id: u64) -> Vec<u8> {
    let fields = [("CSeq", "2"), ("Session", &format!("{id:016x}")[..])];
    message("TEARDOWN rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"")
}

/// Answers a set-up as a full node does: the set-up did not run and may be sent to another node.
fn refuse(node: &mut TcpStream, set_up: &Raw) {
    let fields = [("CSeq", "1"), ("Session", set_up.field("Session").unwrap_or(""))];
    node.write_all(&message("RTSP/1.0 453 Not Enough Bandwidth", &fields, b""))
        .expect("cannot write to the connection");
}

/// Answers a set-up as a node that accepts the session.
fn accept(node: &mut TcpStream, set_up: &Raw) {
    let fields = [("CSeq", "1"), ("Session", set_up.field("Session").unwrap_or(""))];
    node.write_all(&message("RTSP/1.0 200 OK", &fields, b"an answer\r\n"))
        .expect("cannot write to the connection");
}

/// A way in which a client leaves; returns its connection if it stays open.
type Leave = fn(TcpStream) -> Option<TcpStream>;

fn close(client: TcpStream) -> Option<TcpStream> {
    drop(client);
    None
}

fn reset(client: TcpStream) -> Option<TcpStream> {
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("cannot set the linger option");
    drop(client);
    None
}

fn half_close(client: TcpStream) -> Option<TcpStream> {
    client.shutdown(Shutdown::Write).expect("cannot shut down the socket");
    Some(client)
}

fn cancel(mut client: TcpStream) -> Option<TcpStream> {
    client.write_all(&cancellation(1)).expect("cannot write to the connection");
    Some(client)
}

const WAYS_TO_LEAVE: [Leave; 4] = [close, reset, half_close, cancel];

#[test]
fn no_further_attempt_is_sent_for_a_client_that_left_in_the_wake_up_of_the_nodes_refusal() {
    for (way, leave) in WAYS_TO_LEAVE.iter().enumerate() {
        let scene = Scene::connected();
        let mut client = scene.front.connect();
        client.write_all(&set_up_request(1, 1_500)).expect("cannot write to the connection");
        let (mut node, set_up, _) = scene.next("SETUP");
        let mut rest = None;
        // The node's refusal arrives before the client's end, and the front therefore finds it first.
        scene.in_one_wake_up(|| {
            refuse(&mut node, &set_up);
            rest = leave(client);
        });
        assert_eq!(
            scene.set_ups_within(SECOND),
            [""; 0],
            "an attempt was sent after the client left in way {way}"
        );
    }
}

#[test]
fn no_further_attempt_is_sent_for_a_client_that_left_in_the_wake_up_of_a_timer() {
    for (way, leave) in WAYS_TO_LEAVE.iter().enumerate() {
        let scene = Scene::connected();
        let mut client = scene.front.connect();
        client.write_all(&set_up_request(1, 2_500)).expect("cannot write to the connection");
        scene.next("SETUP");
        // The node does not answer: its attempt times out, the front cancels it, and then the next attempt is due.
        scene.next("TEARDOWN");
        let mut rest = None;
        scene.in_one_wake_up(|| {
            rest = leave(client);
            // The timer for the next attempt expires long before the process runs again.
            let due = Instant::now() + Duration::from_millis(400);
            while Instant::now() < due {
                std::thread::park_timeout(due.saturating_duration_since(Instant::now()));
            }
        });
        assert_eq!(
            scene.set_ups_within(SECOND),
            [""; 0],
            "an attempt was sent after the client left in way {way}"
        );
    }
}

#[test]
fn no_attempt_begins_for_requests_directly_before_the_end_of_their_connection() {
    for (way, leave) in [close as Leave, reset, half_close].iter().enumerate() {
        let scene = Scene::new();
        let mut client = scene.front.connect();
        let mut rest = None;
        scene.in_one_wake_up(|| {
            for id in 1..=40 {
                client.write_all(&set_up_request(id, 1_500)).expect("cannot write to the connection");
            }
            rest = leave(client);
        });
        assert_eq!(
            scene.set_ups_within(SECOND / 2),
            [""; 0],
            "an attempt was sent after the client left in way {way}"
        );
        // A client that continues to read gets a complete answer to each request, and then the end.
        if let Some(mut client) = rest {
            let mut answered: Vec<String> = Vec::new();
            while let Ok(m) = read(&mut client) {
                assert!(m.head.starts_with("RTSP/1.0 503"), "the request was not answered with 503: {m:?}");
                answered.push(m.field("Session").unwrap_or("").to_owned());
            }
            let sent: Vec<String> = (1..=40).map(|id| format!("{id:016x}")).collect();
            assert_eq!(answered, sent, "not one answer to each request");
        }
    }
}

#[test]
fn a_half_close_during_an_attempt_gets_a_complete_answer_and_cancels_the_attempt() {
    let scene = Scene::new();
    let mut client = scene.front.connect();
    client.write_all(&set_up_request(1, 1_500)).expect("cannot write to the connection");
    let (mut node, set_up, _) = scene.next("SETUP");
    client.shutdown(Shutdown::Write).expect("cannot shut down the socket");
    let (_, cancellation, _) = scene.next("TEARDOWN");
    assert_eq!(cancellation.field("Session"), set_up.field("Session"));
    let answer = read(&mut client).expect("no complete answer");
    assert!(answer.head.starts_with("RTSP/1.0 500"), "the set-up was not answered with 500: {answer:?}");
    assert_eq!(client.read(&mut [0; 8]).expect("the connection was reset"), 0);
    // The node's 200 crosses the cancellation: the front releases the session at the node.
    accept(&mut node, &set_up);
    let (_, release, _) = scene.next("TEARDOWN");
    assert_eq!(release.field("Reason"), Some("cause=31"));
}

#[test]
fn a_waiting_client_is_retried_and_served_although_another_left_in_the_same_wake_up() {
    let scene = Scene::new();
    let (mut staying, mut leaving) = (scene.front.connect(), scene.front.connect());
    staying.write_all(&set_up_request(2, 2_500)).expect("cannot write to the connection");
    let (mut staying_node, staying_set_up, _) = scene.next("SETUP");
    leaving.write_all(&set_up_request(1, 2_500)).expect("cannot write to the connection");
    let (mut leaving_node, leaving_set_up, _) = scene.next("SETUP");
    scene.in_one_wake_up(|| {
        refuse(&mut leaving_node, &leaving_set_up);
        refuse(&mut staying_node, &staying_set_up);
        drop(leaving);
    });
    let (mut node, set_up, _) = scene.next("SETUP");
    assert_eq!(set_up.field("Session"), Some("0000000000000002"));
    accept(&mut node, &set_up);
    assert!(read(&mut staying).expect("no answer").head.starts_with("RTSP/1.0 200"));
    assert_eq!(scene.set_ups_within(SECOND / 2), [""; 0]);
}

#[test]
fn a_node_that_closes_an_idle_connection_during_a_set_up_does_not_fail_an_at_most_once_request() {
    for node_first in [true, false] {
        let scene = Scene::connected_with_class("at_most_once");
        let close_node_connections = || {
            scene
                .node_connections
                .iter()
                .for_each(|s| s.shutdown(Shutdown::Write).expect("cannot shut down the socket"))
        };
        let mut client = scene.front.connect();
        // All node connections are closed in the wake-up in which the request arrives.
        scene.in_one_wake_up(|| {
            if node_first {
                close_node_connections();
            }
            client.write_all(&set_up_request(1, 2_500)).expect("cannot write to the connection");
            if !node_first {
                close_node_connections();
            }
        });
        let (mut node, set_up, _) = scene.next("SETUP");
        assert_eq!(set_up.field("Session"), Some("0000000000000001"));
        accept(&mut node, &set_up);
        let answer = read(&mut client).expect("no answer");
        assert!(
            answer.head.starts_with("RTSP/1.0 200"),
            "the set-up was not accepted; node first: {node_first}, {answer:?}"
        );
        assert_eq!(
            scene.set_ups_within(SECOND / 4),
            [""; 0],
            "a request of an at-most-once class was sent twice"
        );
    }
}

#[test]
fn an_answer_that_arrived_before_the_deadline_is_forwarded_although_read_after_it() {
    let scene = Scene::connected_with_class("at_most_once");
    let mut client = scene.front.connect();
    client.write_all(&set_up_request(1, 700)).expect("cannot write to the connection");
    let (mut node, set_up, _) = scene.next("SETUP");
    scene.in_one_wake_up(|| {
        accept(&mut node, &set_up);
        // The deadline passes while the node's answer is unread.
        let due = Instant::now() + Duration::from_millis(800);
        while Instant::now() < due {
            std::thread::park_timeout(due.saturating_duration_since(Instant::now()));
        }
    });
    let answer = read(&mut client).expect("no complete answer");
    assert!(
        answer.head.starts_with("RTSP/1.0 200"),
        "the answer arrived in time and was not forwarded: {answer:?}"
    );
    client.set_read_timeout(Some(SECOND / 4)).expect("cannot set the read or write timeout");
    assert!(read(&mut client).is_err(), "the request has a second answer");
    let messages: Vec<_> = std::iter::from_fn(|| scene.received.try_recv().ok()).collect();
    assert!(
        messages.iter().all(|(_, m, _)| !m.head.starts_with("TEARDOWN")),
        "the forwarded session was ended at its node: {messages:?}"
    );
}

#[test]
fn a_cancellation_that_crosses_the_nodes_answer_ends_the_session_at_its_node_in_either_order() {
    for node_first in [true, false] {
        let scene = Scene::connected();
        let mut client = scene.front.connect();
        client.write_all(&set_up_request(1, 1_500)).expect("cannot write to the connection");
        let (mut node, set_up, _) = scene.next("SETUP");
        scene.in_one_wake_up(|| {
            if node_first {
                accept(&mut node, &set_up);
            }
            client.write_all(&cancellation(1)).expect("cannot write to the connection");
            if !node_first {
                accept(&mut node, &set_up);
            }
        });
        let (_, release, _) = scene.next("TEARDOWN");
        assert_eq!(
            release.field("Session"),
            Some("0000000000000001"),
            "wrong session; node first: {node_first}"
        );
        let mut answers = Vec::new();
        while !answers.iter().any(|m: &Raw| m.field("CSeq") == Some("2")) {
            answers.push(read(&mut client).expect("the cancellation was not answered"));
        }
        let set_up_answers = answers.iter().filter(|m| m.field("CSeq") == Some("1")).count();
        assert!(set_up_answers <= 1, "more than one answer to the set-up: {answers:?}");
        assert_eq!(
            scene.set_ups_within(SECOND / 4),
            [""; 0],
            "a further attempt was sent; node first: {node_first}"
        );
    }
}
