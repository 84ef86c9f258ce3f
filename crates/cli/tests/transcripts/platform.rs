//! RTSP exchanges of viewers and nodes with `pepperhook platform`. The test acts as the viewer and as the
//! nodes and handles one message at a time, which makes the order of each transcript deterministic.

use crate::given::{Front, Raw, change_log, config, front, message, read};
use crate::script::{Transcript, assert_approved};
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;
use std::time::Duration;

/// Timeout for each message; long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
const TITLE: &str = "rtsp://media/00000000000000f1";
/// `P-Trunk-Info` of a set-up: home and number of copies of the title, top rung, and the viewer's id.
const TRUNK_INFO: &str = "home:0;copies:2;top:4;viewer:00000000000000aa";

/// An event on a connection from the front to a node.
enum ConnectionEvent {
    Opened,
    Received(Raw),
    Closed,
}

struct Arrival {
    node: SocketAddr,
    stream: TcpStream,
    event: ConnectionEvent,
}

/// Starts a node that only passes the events on its connections to the test, which answers for it.
fn start_node(arrivals: &Sender<Arrival>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot open the node's listener");
    let address = listener.local_addr().expect("the listener has no address");
    let arrivals = arrivals.clone();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), arrivals) = (stream, arrivals.clone()) else { return };
            spawn(move || {
                let mut event = ConnectionEvent::Opened;
                loop {
                    let (Ok(copy), ended) = (stream.try_clone(), matches!(event, ConnectionEvent::Closed))
                    else {
                        return;
                    };
                    if arrivals.send(Arrival { node: address, stream: copy, event }).is_err() || ended {
                        return;
                    }
                    event = read(&mut stream).map_or(ConnectionEvent::Closed, ConnectionEvent::Received);
                }
            });
        }
    });
    address
}

/// A message as a transcript shows it; values that differ between runs are replaced.
fn render(head: &str, body: &[u8], from_front: bool) -> String {
    let mut out = String::new();
    for line in head.lines().filter(|l| !l.is_empty()) {
        let (name, value) = line.split_once(": ").unwrap_or(("", line));
        let line = match name {
            "Content-Length" => continue,
            "Expires-Ms" if from_front => "Expires-Ms: (what is left of the viewer's time)".to_owned(),
            "" => value.to_owned(),
            _ => line.to_owned(),
        };
        out += &line;
        out.push('\n');
    }
    if !body.is_empty() {
        out += &format!("| {}", String::from_utf8_lossy(body).trim_end());
    }
    out.trim_end().to_owned()
}

/// A front, its nodes, the connection of its viewer, and the transcript.
struct Fixture {
    front: Front,
    arrivals: Receiver<Arrival>,
    transcript: Transcript,
    viewer: TcpStream,
    nodes: Vec<SocketAddr>,
}

/// A connection from the front to a node, on which the test answers for the node.
struct NodeConnection {
    name: String,
    address: SocketAddr,
    stream: TcpStream,
}

impl Fixture {
    fn new(title: &str, nodes: usize) -> Self {
        Self::with(title, nodes, |_| {})
    }

    /// Applies `change` to the configuration.
    fn with(title: &str, node_count: usize, change: impl Fn(&mut Value)) -> Self {
        let (sender, arrivals) = channel();
        let nodes: Vec<_> = (0..node_count).map(|_| start_node(&sender)).collect();
        let (log, _) = change_log(Vec::new());
        let mut v = config(&nodes, log);
        let settings = &mut v["settings"];
        // The set-ups of this class may run twice, those of the first class may not.
        let idempotent_class = json!({"name": "free", "idempotency": "idempotent", "aim_ns": 8_000_000_000u64,
                          "deadline_ns": 24_000_000_000u64, "value": 1.0});
        // Long times: none expires on a busy machine and changes the transcript.
        settings["classes"][0]["aim_ns"] = idempotent_class["aim_ns"].clone();
        settings["classes"][0]["deadline_ns"] = idempotent_class["deadline_ns"].clone();
        settings["limits"]["dial_timeout_ns"] = json!(2_000_000_000u64);
        settings["classes"].as_array_mut().expect("the settings have no classes").push(idempotent_class);
        settings["limits"]["probes"] = json!(false);
        for (field, more) in [
            ("highest_rung", json!([1, 1])),
            ("lowest_rung", json!([0, 0])),
            ("seats", json!([0, 0])),
            ("scale_by_class", json!([1.0, 1.0])),
        ] {
            settings["specifics"][field] = more;
        }
        change(&mut v);
        let front = front(&v);
        let viewer = front.connect();
        viewer.set_read_timeout(Some(TIMEOUT)).expect("cannot set the read timeout");
        let transcript = Transcript::new(title);
        Self { front, arrivals, transcript, viewer, nodes }
    }

    /// Sends a message of the viewer and records it.
    fn viewer_sends(&mut self, first: &str, fields: &[(&str, &str)], body: &str) {
        let bytes = message(first, fields, body.as_bytes());
        let head = String::from_utf8_lossy(&bytes).into_owned();
        let head = head.split("\r\n\r\n").next().unwrap_or("").to_owned();
        self.transcript.record("viewer", "front", &render(&head, body.as_bytes(), false));
        self.viewer.write_all(&bytes).expect("cannot write");
    }

    /// Sends a set-up of the viewer.
    fn request_session(&mut self, class: &str, id: &str, trunk_info: &str) {
        let fields = [
            ("CSeq", "1"),
            ("Session", id),
            ("Priority-Class", class),
            ("Expires-Ms", "20000"),
            ("X-Length", "8200.0"),
            ("P-Trunk-Info", trunk_info),
        ];
        self.viewer_sends(&format!("SETUP {TITLE} RTSP/1.0"), &fields, "an offer");
    }

    /// Sends a TEARDOWN of the viewer.
    fn end_session(&mut self, id: &str) {
        self.viewer_sends(&format!("TEARDOWN {TITLE} RTSP/1.0"), &[("CSeq", "2"), ("Session", id)], "");
    }

    /// Receives and records a message to the viewer; returns its first line.
    fn expect_to_viewer(&mut self) -> String {
        let m = read(&mut self.viewer)
            .unwrap_or_else(|e| panic!("{e} after the transcript:\n{}", self.transcript.text()));
        self.transcript.record("front", "viewer", &render(&m.head, &m.body, true));
        m.head.lines().next().unwrap_or("").to_owned()
    }

    /// Asserts that the front closes the viewer's connection, and opens another one.
    fn reconnect_viewer(&mut self) {
        assert!(read(&mut self.viewer).is_err(), "the front did not close the connection");
        self.transcript.record("front", "viewer", "(closes the connection)");
        self.viewer = self.front.connect();
        self.viewer.set_read_timeout(Some(TIMEOUT)).expect("cannot set the read timeout");
        self.transcript.record("viewer", "front", "(opens another connection)");
    }

    /// Asserts that the viewer receives nothing during this time.
    fn expect_no_message(&mut self, time: Duration) {
        self.viewer.set_read_timeout(Some(time)).expect("cannot set the read timeout");
        assert!(read(&mut self.viewer).is_err(), "the viewer received a message");
        self.viewer.set_read_timeout(Some(TIMEOUT)).expect("cannot set the read timeout");
    }

    /// Receives the next message to a node, without recording it. Skips opened and closed connections.
    fn receive_at_node(&self) -> (NodeConnection, Raw) {
        loop {
            let arrival = self.arrivals.recv_timeout(TIMEOUT);
            let arrival =
                arrival.unwrap_or_else(|e| panic!("{e} after the transcript:\n{}", self.transcript.text()));
            if let ConnectionEvent::Received(m) = arrival.event {
                let name = self.transcript.alias("node", arrival.node);
                return (NodeConnection { name, address: arrival.node, stream: arrival.stream }, m);
            }
        }
    }

    /// Records a message to a node.
    fn record_at_node(&self, connection: &NodeConnection, m: &Raw) {
        self.transcript.record("front", &connection.name, &render(&m.head, &m.body, true));
    }

    /// Receives and records the next message to a node, which must have this method or status line.
    fn expect_at_node(&self, method: &str) -> (NodeConnection, Raw) {
        let (connection, m) = self.receive_at_node();
        self.record_at_node(&connection, &m);
        assert!(
            m.head.starts_with(method),
            "expected {method} after the transcript:\n{}",
            self.transcript.text()
        );
        (connection, m)
    }

    /// Receives the next message to a node and records it if it belongs to this session. Messages of other
    /// sessions and changes of the rung are skipped. Returns whether it was recorded.
    fn record_if_of_session(&self, id: &str) -> bool {
        let (connection, m) = self.receive_at_node();
        let is_recorded = m.field("Session") == Some(id) && !m.head.starts_with("SET_PARAMETER");
        if is_recorded {
            self.record_at_node(&connection, &m);
        }
        is_recorded
    }

    /// Sends a message of a node and records it.
    fn node_sends(&self, connection: &mut NodeConnection, first: &str, fields: &[(&str, &str)], body: &str) {
        let bytes = message(first, fields, body.as_bytes());
        let head = String::from_utf8_lossy(&bytes).into_owned();
        let head = head.split("\r\n\r\n").next().unwrap_or("").to_owned();
        self.transcript.record(&connection.name, "front", &render(&head, body.as_bytes(), false));
        connection.stream.write_all(&bytes).expect("cannot write");
    }

    /// Accepts a set-up at a node.
    fn accept_set_up(&self, connection: &mut NodeConnection, id: &str) {
        self.node_sends(connection, "RTSP/1.0 200 OK", &[("CSeq", "1"), ("Session", id)], "an answer");
    }

    /// Ends a session at its node, with this cause.
    fn release_session(&self, connection: &mut NodeConnection, id: &str, cause: u16) {
        let cause = format!("cause={cause}");
        let fields = [("CSeq", "2"), ("Session", id), ("Reason", cause.as_str())];
        self.node_sends(connection, &format!("TEARDOWN {TITLE} RTSP/1.0"), &fields, "");
    }

    /// Sends a node's warning about a session.
    fn send_warning(&self, connection: &mut NodeConnection, id: &str, warning: &str, value: &str) {
        let fields = [("CSeq", "9"), ("Session", id), ("Warning-Word", warning), ("X-Value", value)];
        self.node_sends(connection, &format!("ANNOUNCE {TITLE} RTSP/1.0"), &fields, "");
    }

    /// Establishes a session and returns the connection to its node.
    fn establish_session(&mut self, class: &str, id: &str) -> NodeConnection {
        self.request_session(class, id, TRUNK_INFO);
        let (mut connection, _) = self.expect_at_node("SETUP");
        self.accept_set_up(&mut connection, id);
        assert!(self.expect_to_viewer().contains(" 200 "));
        connection
    }

    /// Waits until the front opens a connection to this node, and records that.
    fn expect_connection(&self, node: SocketAddr) -> NodeConnection {
        loop {
            let arrival = self.arrivals.recv_timeout(TIMEOUT).expect("the front opened no connection");
            if arrival.node == node && matches!(arrival.event, ConnectionEvent::Opened) {
                let name = self.transcript.alias("node", arrival.node);
                self.transcript.record("front", &name, "(opens a connection)");
                return NodeConnection { name, address: arrival.node, stream: arrival.stream };
            }
        }
    }

    fn step(&self, words: &str) {
        self.transcript.step(words);
    }

    fn assert_approved(&self, name: &str) {
        assert_approved(&format!("platform_{name}"), &self.transcript.text());
    }
}

const SESSION_A: &str = "00000000000000a1";
const SESSION_B: &str = "00000000000000b2";
const SESSION_C: &str = "00000000000000c3";

/// Guards against a session that stays at the node after its viewer has left, and a repeated TEARDOWN that
/// gets no answer.
#[test]
fn set_up_and_left() {
    let mut fixture = Fixture::new("A session is set up at a node, and the viewer leaves.", 1);
    let mut connection = fixture.establish_session("lesson", SESSION_A);
    fixture.step("The viewer leaves: the front hears it at once, and cuts the session at the node.");
    fixture.end_session(SESSION_A);
    fixture.expect_to_viewer();
    fixture.expect_at_node("TEARDOWN");
    fixture.node_sends(&mut connection, "RTSP/1.0 200 OK", &[("CSeq", "2"), ("Session", SESSION_A)], "");
    fixture.step("Once more: that is heard as well, though there is no such session any more.");
    fixture.end_session(SESSION_A);
    fixture.expect_to_viewer();
    fixture.assert_approved("set_up_and_left");
}

/// Guards against a viewer that is refused although another node has room.
#[test]
fn full_then_another() {
    let mut fixture = Fixture::new("A node is full (453: it never ran), and another one is asked.", 2);
    fixture.request_session("lesson", SESSION_A, TRUNK_INFO);
    let (mut first, _) = fixture.expect_at_node("SETUP");
    let fields = [("CSeq", "1"), ("Session", SESSION_A), ("P-Load", "x0:0.97;x1:0.5")];
    fixture.node_sends(&mut first, "RTSP/1.0 453 Not Enough Bandwidth", &fields, "");
    let (mut second, _) = fixture.expect_at_node("SETUP");
    assert_ne!(first.address, second.address);
    fixture.accept_set_up(&mut second, SESSION_A);
    fixture.expect_to_viewer();
    fixture.assert_approved("full_then_another");
}

/// Guards against a refusal that does not say that a retry is safe.
#[test]
fn all_full() {
    let mut fixture =
        Fixture::new("All nodes are full: the viewer is refused, and may try again without harm.", 2);
    fixture.request_session("lesson", SESSION_A, TRUNK_INFO);
    for _ in 0..2 {
        let (mut connection, _) = fixture.expect_at_node("SETUP");
        fixture.node_sends(
            &mut connection,
            "RTSP/1.0 453 Not Enough Bandwidth",
            &[("CSeq", "1"), ("Session", SESSION_A)],
            "",
        );
    }
    fixture.expect_to_viewer();
    fixture.assert_approved("all_full");
}

/// Guards against a set-up that may run twice in a class that forbids it, and a permitted retry that is not
/// made.
#[test]
fn errors() {
    let mut fixture = Fixture::new(
        "A node's error: a set-up of a paid class (lesson) may have run and fails, a free one is tried at another node.",
        2,
    );
    fixture.request_session("lesson", SESSION_A, TRUNK_INFO);
    let (mut connection, _) = fixture.expect_at_node("SETUP");
    fixture.node_sends(
        &mut connection,
        "RTSP/1.0 500 Internal Server Error",
        &[("CSeq", "1"), ("Session", SESSION_A)],
        "",
    );
    fixture.expect_to_viewer();
    fixture.step("The free class.");
    fixture.request_session("free", SESSION_B, TRUNK_INFO);
    let (mut connection, _) = fixture.expect_at_node("SETUP");
    fixture.node_sends(
        &mut connection,
        "RTSP/1.0 500 Internal Server Error",
        &[("CSeq", "1"), ("Session", SESSION_B)],
        "",
    );
    let (mut connection, _) = fixture.expect_at_node("SETUP");
    fixture.accept_set_up(&mut connection, SESSION_B);
    fixture.expect_to_viewer();
    fixture.assert_approved("errors");
}

/// Guards against an answer to a set-up that its viewer has cancelled.
#[test]
fn given_up() {
    let mut fixture = Fixture::new("The viewer gives its set-up up before the answer: no answer is owed.", 1);
    fixture.request_session("lesson", SESSION_A, TRUNK_INFO);
    let (mut connection, _) = fixture.expect_at_node("SETUP");
    fixture.step("The viewer does not want to wait.");
    fixture.end_session(SESSION_A);
    fixture.expect_to_viewer();
    fixture.expect_at_node("TEARDOWN");
    fixture.node_sends(&mut connection, "RTSP/1.0 200 OK", &[("CSeq", "2"), ("Session", SESSION_A)], "");
    fixture.expect_no_message(Duration::from_millis(100));
    fixture.assert_approved("given_up");
}

/// Guards against a session that stays at the node when the cancellation and the node's answer cross.
#[test]
fn given_up_too_late() {
    let mut fixture = Fixture::new(
        "The give-up and the node's answer cross: the session that stands is cut at once (cause 31).",
        1,
    );
    fixture.request_session("lesson", SESSION_A, TRUNK_INFO);
    let (mut connection, _) = fixture.expect_at_node("SETUP");
    fixture.end_session(SESSION_A);
    fixture.expect_to_viewer();
    fixture.expect_at_node("TEARDOWN");
    fixture.step("The node had answered before it heard of that. The viewer hears nothing of it.");
    fixture.accept_set_up(&mut connection, SESSION_A);
    fixture.expect_at_node("TEARDOWN");
    fixture.expect_no_message(Duration::from_millis(100));
    fixture.assert_approved("given_up_too_late");
}

/// Guards against a viewer that is not notified of its session's end, or is notified of one that it caused
/// itself.
#[test]
fn released_by_the_node() {
    let mut fixture = Fixture::new(
        "A node releases sessions that stand: 16, the end; 41, cut; 31, moved or ended by the viewer, who is owed nothing.",
        1,
    );
    for (id, cause, is_notified) in [(SESSION_A, 16, true), (SESSION_B, 41, true), (SESSION_C, 31, false)] {
        fixture.step(&format!("Cause {cause}."));
        let mut connection = fixture.establish_session("lesson", id);
        fixture.release_session(&mut connection, id, cause);
        fixture.expect_at_node("RTSP/1.0 200");
        if is_notified {
            fixture.expect_to_viewer();
        } else {
            fixture.expect_no_message(Duration::from_millis(100));
        }
    }
    fixture.assert_approved("released_by_the_node");
}

/// Guards against unusable requests that get no answer or are passed to a node.
#[test]
fn tested() {
    let mut fixture =
        Fixture::new("The test that the front is asked to pass, and messages that it cannot use.", 1);
    fixture.viewer_sends("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], "");
    fixture.expect_to_viewer();
    fixture.step("A set-up of a class that there is not.");
    fixture.request_session("nobody", SESSION_A, TRUNK_INFO);
    fixture.expect_to_viewer();
    fixture.step("One without the figures of its title.");
    fixture.request_session("lesson", SESSION_A, "viewer:00000000000000aa");
    fixture.expect_to_viewer();
    fixture.step("A method that the front does not know.");
    fixture.viewer_sends(&format!("PLAY {TITLE} RTSP/1.0"), &[("CSeq", "7"), ("Session", SESSION_A)], "");
    fixture.expect_to_viewer();
    fixture.assert_approved("tested");
}

/// Guards against a duplicate id that ends or replaces an established session.
#[test]
fn an_id_twice() {
    let mut fixture = Fixture::new(
        "Each set-up has an id of its own: one that comes with the id of a session that stands is turned away.",
        1,
    );
    let mut connection = fixture.establish_session("lesson", SESSION_A);
    fixture.step("The same id again.");
    fixture.request_session("lesson", SESSION_A, TRUNK_INFO);
    fixture.expect_to_viewer();
    fixture.step("The connection is closed for that; the session that stands is not touched.");
    fixture.reconnect_viewer();
    fixture.establish_session("lesson", SESSION_B);
    fixture.step("Its end is told on the connection that its viewer has now.");
    fixture.release_session(&mut connection, SESSION_A, 16);
    fixture.expect_at_node("RTSP/1.0 200");
    fixture.expect_to_viewer();
    fixture.assert_approved("an_id_twice");
}

/// Guards against a set-up that may run twice when the connection to its node breaks, and a permitted retry
/// that is not made.
#[test]
fn broken_under_a_set_up() {
    let mut fixture = Fixture::new(
        "The connection to a node breaks under a set-up. The front dials the node to learn whether it lives.",
        2,
    );
    fixture.step("A paid class: it may have run, and fails.");
    fixture.request_session("lesson", SESSION_A, TRUNK_INFO);
    let (connection, _) = fixture.expect_at_node("SETUP");
    fixture.transcript.record(&connection.name, "front", "(closes the connection)");
    connection.stream.shutdown(std::net::Shutdown::Both).expect("cannot close the connection");
    fixture.expect_to_viewer();
    fixture.step("A free class: it is tried again.");
    fixture.request_session("free", SESSION_B, TRUNK_INFO);
    let (connection, _) = fixture.expect_at_node("SETUP");
    fixture.transcript.record(&connection.name, "front", "(closes the connection)");
    connection.stream.shutdown(std::net::Shutdown::Both).expect("cannot close the connection");
    let (mut connection, _) = fixture.expect_at_node("SETUP");
    fixture.accept_set_up(&mut connection, SESSION_B);
    fixture.expect_to_viewer();
    fixture.assert_approved("broken_under_a_set_up");
}

/// Guards against a set-up that waits for a silent node until the viewer's deadline is over.
#[test]
fn silent() {
    let mut fixture = Fixture::new(
        "A node takes a set-up and says nothing. At half the class's aim (8 s) the front gives it up there; a free set-up is tried elsewhere.",
        2,
    );
    fixture.request_session("free", SESSION_A, TRUNK_INFO);
    fixture.expect_at_node("SETUP");
    fixture.step("Half of the aim later. The node says nothing to that either: it is heard out for 30 ms, then another one is asked.");
    // The messages arrive on two connections, read by two threads, in either order.
    let mut both = [fixture.receive_at_node(), fixture.receive_at_node()];
    both.sort_by_key(|(_, m)| m.head.starts_with("SETUP"));
    let [(first, given_up), (mut second, set_up)] = both;
    assert!(given_up.head.starts_with("TEARDOWN") && set_up.head.starts_with("SETUP"));
    fixture.record_at_node(&first, &given_up);
    fixture.record_at_node(&second, &set_up);
    fixture.accept_set_up(&mut second, SESSION_A);
    fixture.expect_to_viewer();
    fixture.assert_approved("silent");
}

/// Guards against new sessions at a draining node.
#[test]
fn drained() {
    let set_draining = |v: &mut Value| {
        v["known"]["results"][0]["fleet"]["servers"][0]["state"] = json!("draining");
    };
    let mut fixture =
        Fixture::with("The list says that one of two nodes drains: nothing new goes there.", 2, set_draining);
    fixture.transcript.assign_alias(fixture.nodes[0], "the draining node");
    for id in [SESSION_A, SESSION_B, SESSION_C] {
        let connection = fixture.establish_session("lesson", id);
        assert_eq!(connection.address, fixture.nodes[1]);
    }
    fixture.assert_approved("drained");
}

/// Guards against a running session that is set up anew, or whose end does not reach its viewer.
#[test]
fn handed_over() {
    let mut fixture = Fixture::new(
        "A session that plays at a node already is handed over by `at`, as after a restart of the front. No answer is wanted.",
        2,
    );
    fixture.transcript.assign_alias(fixture.nodes[1], "node-1");
    fixture.request_session("lesson", SESSION_A, &format!("{TRUNK_INFO};at:s-00000001"));
    fixture.expect_no_message(Duration::from_millis(100));
    fixture.step("The node's release comes on the connection that the front has opened, and is passed on.");
    let mut connection = fixture.expect_connection(fixture.nodes[1]);
    fixture.release_session(&mut connection, SESSION_A, 16);
    fixture.expect_at_node("RTSP/1.0 200");
    fixture.expect_to_viewer();
    fixture.assert_approved("handed_over");
}

/// Guards against a full link that does not lower the rung, and warnings without news that change it.
#[test]
fn another_rung() {
    let mut fixture =
        Fixture::new("A node notes that its link is full: the front takes the session one rung lower.", 1);
    let mut connection = fixture.establish_session("free", SESSION_A);
    fixture.step("The note wants no answer; the new rung does not either.");
    fixture.send_warning(&mut connection, SESSION_A, "link", "1.6");
    fixture.expect_at_node("SET_PARAMETER");
    fixture.step(
        "Notes that tell nothing new, or cannot be read, change nothing; the session plays on to its end.",
    );
    fixture.send_warning(&mut connection, SESSION_A, "rung", "0");
    fixture.send_warning(&mut connection, SESSION_A, "link", "full");
    fixture.release_session(&mut connection, SESSION_A, 16);
    fixture.expect_at_node("RTSP/1.0 200");
    fixture.expect_to_viewer();
    fixture.assert_approved("another_rung");
}

/// Guards against an overloaded uplink whose viewers stay, and a move that the node does not confirm and that
/// never ends.
#[test]
fn moved() {
    let title =
        "The uplink of a rack is asked for more than it has: some viewers there are told to come again.";
    let mut fixture = Fixture::with(title, 2, |v| v["settings"]["specifics"]["groups"] = json!(2));
    let full_transcript = fixture.transcript.clone();
    fixture.step("Twelve sessions stand at two nodes, each in a rack of its own.");
    fixture.transcript = Transcript::new("");
    let mut connections: Vec<_> = (0..12u64)
        .map(|i| {
            let id = format!("{:016x}", 0xa00 + i);
            (fixture.establish_session("free", &id), id)
        })
        .collect();
    let count_at = |connections: &[(NodeConnection, String)], address| {
        connections.iter().filter(|(l, _)| l.address == address).count()
    };
    let busiest =
        if count_at(&connections, fixture.nodes[0]) >= 6 { fixture.nodes[0] } else { fixture.nodes[1] };
    connections.retain(|(l, _)| l.address == busiest);
    // The front does not move a session before it has lasted for a part of the mean length of ended sessions.
    // The short sessions below keep that mean small.
    for i in 0..12u64 {
        let id = format!("{:016x}", 0xe00 + i);
        let mut connection = fixture.establish_session("free", &id);
        fixture.release_session(&mut connection, &id, 16);
        fixture.expect_at_node("RTSP/1.0 200");
        fixture.expect_to_viewer();
    }
    std::thread::sleep(Duration::from_millis(1_200));
    fixture.transcript = full_transcript;
    let (connection, id) = &mut connections[0];
    let note = |id| {
        let fields = [("CSeq", "9"), ("Session", id), ("Warning-Word", "uplink"), ("X-Value", "1.03")];
        message(&format!("ANNOUNCE {TITLE} RTSP/1.0"), &fields, b"")
    };
    connection.stream.write_all(&note(id)).expect("cannot write");
    let name = fixture.transcript.alias("node", busiest);
    let note = String::from_utf8_lossy(&note("(any of the twelve)")).into_owned();
    fixture.transcript.record(&name, "front", &render(&note, b"", false));
    fixture.step("The viewer of one of them is told to come again.");
    fixture.viewer.set_read_timeout(Some(Duration::from_secs(20))).expect("cannot set the read timeout");
    let m = read(&mut fixture.viewer).expect("no message of the move");
    let moved = m.field("Session").expect("the message has no session").to_owned();
    fixture.transcript.assign_alias(&moved, "(the one that moves)");
    fixture.transcript.record("front", "viewer", &render(&m.head, &m.body, true));
    fixture.step("Its node, which is to hear of that from the viewer, says nothing for 300 ms: the front ends it on both sides.");
    while !fixture.record_if_of_session(&moved) {}
    loop {
        let m = read(&mut fixture.viewer).expect("no message of the end");
        if m.field("Session") == Some(&moved) {
            fixture.transcript.record("front", "viewer", &render(&m.head, &m.body, true));
            break;
        }
    }
    fixture.assert_approved("moved");
}

/// Guards against a probe that is not sent, or that delays the set-up.
#[test]
fn asked_for_load() {
    let title = "Where probes are allowed the front asks nodes for their load.";
    let mut fixture = Fixture::with(title, 1, |v| v["settings"]["limits"]["probes"] = json!(true));
    fixture.request_session("free", SESSION_A, TRUNK_INFO);
    // The set-up has its own connection and may arrive first.
    let mut both = [fixture.receive_at_node(), fixture.receive_at_node()];
    both.sort_by_key(|(_, m)| m.head.starts_with("SETUP"));
    let [(mut connection, m), (mut other, set_up)] = both;
    let probe = m.field("Session").expect("the probe has no session").to_owned();
    fixture.transcript.assign_alias(&probe, "(the number of the question)");
    fixture.record_at_node(&connection, &m);
    let fields = [("CSeq", "3"), ("Session", probe.as_str()), ("P-Load", "x0:0.4;x1:0.2")];
    fixture.node_sends(&mut connection, "RTSP/1.0 200 OK", &fields, "");
    fixture.record_at_node(&other, &set_up);
    fixture.accept_set_up(&mut other, SESSION_A);
    fixture.expect_to_viewer();
    fixture.assert_approved("asked_for_load");
}
