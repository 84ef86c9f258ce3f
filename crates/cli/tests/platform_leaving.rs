//! Clients that leave `pepperhook platform` at the instant in which something is still owed to them: no attempt begins for
//! them any more. The front is stopped by a signal while what crosses is laid before it, so that it finds all of it in
//! one wake, in whatever order it looks.

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

/// What a node read, the connection to answer on, and which node it was.
type Heard = (TcpStream, Raw, usize);

/// A node that only tells what it reads; the test answers for it.
fn node(which: usize, tell: Sender<Heard>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), tell) = (stream, tell.clone()) else { return };
            spawn(move || {
                while let Ok(m) = read(&mut stream) {
                    let Ok(own) = stream.try_clone() else { return };
                    if tell.send((own, m, which)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

struct Scene {
    front: Front,
    /// Nodes' ends of the connections on which something was set up.
    idle: Vec<TcpStream>,
    heard: Receiver<Heard>,
    /// Keeps the change log's words.
    _asked: Receiver<u64>,
}

impl Scene {
    /// A front of three nodes and a class that may be repeated.
    fn new() -> Self {
        Self::of("idempotent")
    }

    fn of(idempotency: &str) -> Self {
        let (tell, heard) = channel();
        let nodes = [0, 1, 2].map(|which| node(which, tell.clone()));
        let (log, asked) = change_log(Vec::new());
        let mut config = config(&nodes, log);
        config["settings"]["classes"][0]["idempotency"] = json!(idempotency);
        // Only what a test asks for is heard at the nodes.
        config["settings"]["limits"]["probes"] = json!(false);
        Self { front: front(&config), idle: Vec::new(), heard, _asked: asked }
    }

    /// The same, with a connection up to each node that carries nothing now: what is decided is sent in the same turn.
    fn warm() -> Self {
        Self::warm_of("idempotent")
    }

    fn warm_of(idempotency: &str) -> Self {
        let mut scene = Self::of(idempotency);
        let (mut client, mut met) = (scene.front.connect(), [false; 3]);
        for id in 100..200 {
            client.write_all(&set_up(id, 2_500)).expect("writes");
            let (mut at, m, which) = scene.next("SETUP");
            plays(&mut at, &m);
            assert!(read(&mut client).expect("an answer").head.starts_with("RTSP/1.0 200"));
            met[which] = true;
            scene.idle.push(at);
            if met == [true; 3] {
                return scene;
            }
        }
        panic!("a hundred set-ups met {met:?}");
    }

    /// The next word of this kind at any node.
    fn next(&self, method: &str) -> Heard {
        let until = Instant::now() + 5 * SECOND;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let heard = self.heard.recv_timeout(left).unwrap_or_else(|_| panic!("no {method} at a node"));
            if heard.1.head.starts_with(method) {
                return heard;
            }
        }
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.front.child.id() as i32)
    }

    /// Stops the process, lays things before it and lets it go on; it has looked at all of them when this returns.
    fn in_one_wake(&self, lay: impl FnOnce()) {
        self.front.signal("SIGSTOP");
        let seen = waitpid(self.pid(), Some(WaitPidFlag::WUNTRACED)).expect("a child");
        assert!(matches!(seen, WaitStatus::Stopped(..)), "{seen:?}");
        lay();
        self.front.signal("SIGCONT");
        self.answers_a_test();
    }

    fn answers_a_test(&self) {
        let mut other = self.front.connect();
        other
            .write_all(&message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b""))
            .expect("writes");
        assert!(read(&mut other).expect("a test passed").head.starts_with("RTSP/1.0 200"));
    }

    /// Set-ups that reach nodes until `time` from now, by their sessions.
    fn set_ups_within(&self, time: Duration) -> Vec<String> {
        let until = Instant::now() + time;
        let mut all = Vec::new();
        while let Ok((_, m, _)) = self.heard.recv_timeout(until.saturating_duration_since(Instant::now())) {
            if m.head.starts_with("SETUP") {
                all.push(m.field("Session").unwrap_or("").to_owned());
            }
        }
        all
    }
}

/// A set-up that waits for so many milliseconds.
fn set_up(id: u64, wait: u64) -> Vec<u8> {
    let fields = [
        ("CSeq", "1"),
        ("Session", &format!("{id:016x}")),
        ("Priority-Class", "lesson"),
        ("Expires-Ms", &wait.to_string()),
        ("P-Trunk-Info", "home:0;copies:2;top:4;viewer:00000000000000aa"),
    ];
    message("SETUP rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"an offer\r\n")
}

fn give_up(id: u64) -> Vec<u8> {
    let fields = [("CSeq", "2"), ("Session", &format!("{id:016x}")[..])];
    message("TEARDOWN rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"")
}

/// A node's refusal of what it was sent: it never ran, so that it may be sent elsewhere.
fn full(to: &mut TcpStream, m: &Raw) {
    let fields = [("CSeq", "1"), ("Session", m.field("Session").unwrap_or(""))];
    to.write_all(&message("RTSP/1.0 453 Not Enough Bandwidth", &fields, b"")).expect("writes");
}

/// A node's answer that the session stands.
fn plays(to: &mut TcpStream, m: &Raw) {
    let fields = [("CSeq", "1"), ("Session", m.field("Session").unwrap_or(""))];
    to.write_all(&message("RTSP/1.0 200 OK", &fields, b"an answer\r\n")).expect("writes");
}

/// How a client leaves.
type Leaves = fn(TcpStream) -> Option<TcpStream>;

fn closes(client: TcpStream) -> Option<TcpStream> {
    drop(client);
    None
}

fn resets(client: TcpStream) -> Option<TcpStream> {
    socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("lingers");
    drop(client);
    None
}

fn closes_its_half(client: TcpStream) -> Option<TcpStream> {
    client.shutdown(Shutdown::Write).expect("shuts");
    Some(client)
}

fn gives_up(mut client: TcpStream) -> Option<TcpStream> {
    client.write_all(&give_up(1)).expect("writes");
    Some(client)
}

const LEAVES: [Leaves; 4] = [closes, resets, closes_its_half, gives_up];

#[test]
fn no_further_attempt_is_sent_for_who_left_in_the_wake_of_the_nodes_refusal() {
    for (i, leaves) in LEAVES.iter().enumerate() {
        let scene = Scene::warm();
        let mut client = scene.front.connect();
        client.write_all(&set_up(1, 1_500)).expect("writes");
        let (mut at, m, _) = scene.next("SETUP");
        let mut rest = None;
        // The node's word lies before the client's end, so that it is found first.
        scene.in_one_wake(|| {
            full(&mut at, &m);
            rest = leaves(client);
        });
        assert_eq!(scene.set_ups_within(SECOND), [""; 0], "way {i} of leaving");
    }
}

#[test]
fn no_further_attempt_is_sent_for_who_left_in_the_wake_of_a_timer() {
    for (i, leaves) in LEAVES.iter().enumerate() {
        let scene = Scene::warm();
        let mut client = scene.front.connect();
        client.write_all(&set_up(1, 2_500)).expect("writes");
        scene.next("SETUP");
        // The node stays silent: its time is up, it is heard out, and then the next attempt is due.
        scene.next("TEARDOWN");
        let mut rest = None;
        scene.in_one_wake(|| {
            rest = leaves(client);
            // The timer that sends the next one is due long before the process runs again.
            let due = Instant::now() + Duration::from_millis(400);
            while Instant::now() < due {
                std::thread::park_timeout(due.saturating_duration_since(Instant::now()));
            }
        });
        assert_eq!(scene.set_ups_within(SECOND), [""; 0], "way {i} of leaving");
    }
}

#[test]
fn nothing_is_begun_for_requests_that_lie_before_the_end_of_their_connection() {
    for (i, leaves) in [closes as Leaves, resets, closes_its_half].iter().enumerate() {
        let scene = Scene::new();
        let mut client = scene.front.connect();
        let mut rest = None;
        scene.in_one_wake(|| {
            for id in 1..=40 {
                client.write_all(&set_up(id, 1_500)).expect("writes");
            }
            rest = leaves(client);
        });
        assert_eq!(scene.set_ups_within(SECOND / 2), [""; 0], "way {i} of leaving");
        // Who reads on has a whole answer to each, and then the end.
        if let Some(mut client) = rest {
            let mut answered: Vec<String> = Vec::new();
            while let Ok(m) = read(&mut client) {
                assert!(m.head.starts_with("RTSP/1.0 503"), "{m:?}");
                answered.push(m.field("Session").unwrap_or("").to_owned());
            }
            let each: Vec<String> = (1..=40).map(|id| format!("{id:016x}")).collect();
            assert_eq!(answered, each);
        }
    }
}

#[test]
fn who_shuts_its_half_with_an_attempt_out_hears_a_whole_answer_and_its_node_a_give_up() {
    let scene = Scene::new();
    let mut client = scene.front.connect();
    client.write_all(&set_up(1, 1_500)).expect("writes");
    let (mut at, m, _) = scene.next("SETUP");
    client.shutdown(Shutdown::Write).expect("shuts");
    let (_, word, _) = scene.next("TEARDOWN");
    assert_eq!(word.field("Session"), m.field("Session"));
    let answer = read(&mut client).expect("a whole answer");
    assert!(answer.head.starts_with("RTSP/1.0 500"), "{answer:?}");
    assert_eq!(client.read(&mut [0; 8]).expect("an orderly end"), 0);
    // Its 200 crosses the give-up: the session is cut where it plays.
    plays(&mut at, &m);
    let (_, word, _) = scene.next("TEARDOWN");
    assert_eq!(word.field("Reason"), Some("cause=31"));
}

#[test]
fn who_waits_is_tried_again_and_served_beside_one_that_left_in_the_same_wake() {
    let scene = Scene::new();
    let (mut stays, mut leaves) = (scene.front.connect(), scene.front.connect());
    stays.write_all(&set_up(2, 2_500)).expect("writes");
    let (mut at_stays, m_stays, _) = scene.next("SETUP");
    leaves.write_all(&set_up(1, 2_500)).expect("writes");
    let (mut at_leaves, m_leaves, _) = scene.next("SETUP");
    scene.in_one_wake(|| {
        full(&mut at_leaves, &m_leaves);
        full(&mut at_stays, &m_stays);
        drop(leaves);
    });
    let (mut at, m, _) = scene.next("SETUP");
    assert_eq!(m.field("Session"), Some("0000000000000002"));
    plays(&mut at, &m);
    assert!(read(&mut stays).expect("an answer").head.starts_with("RTSP/1.0 200"));
    assert_eq!(scene.set_ups_within(SECOND / 2), [""; 0]);
}

#[test]
fn a_node_that_ends_an_idle_connection_under_a_set_up_costs_a_paid_request_nothing() {
    for node_first in [true, false] {
        let scene = Scene::warm_of("at_most_once");
        let ends = || scene.idle.iter().for_each(|s| s.shutdown(Shutdown::Write).expect("shuts"));
        let mut client = scene.front.connect();
        // Every connection that is up lies ended in the wake in which the request comes.
        scene.in_one_wake(|| {
            if node_first {
                ends();
            }
            client.write_all(&set_up(1, 2_500)).expect("writes");
            if !node_first {
                ends();
            }
        });
        let (mut at, m, _) = scene.next("SETUP");
        assert_eq!(m.field("Session"), Some("0000000000000001"));
        plays(&mut at, &m);
        let answer = read(&mut client).expect("an answer");
        assert!(answer.head.starts_with("RTSP/1.0 200"), "node first: {node_first}, {answer:?}");
        assert_eq!(scene.set_ups_within(SECOND / 4), [""; 0], "a paid class is set up once");
    }
}

#[test]
fn an_answer_read_in_the_wake_of_its_deadline_is_one_whole_answer_and_node_and_client_agree() {
    let scene = Scene::warm_of("at_most_once");
    let mut client = scene.front.connect();
    client.write_all(&set_up(1, 700)).expect("writes");
    let (mut at, m, _) = scene.next("SETUP");
    scene.in_one_wake(|| {
        plays(&mut at, &m);
        // Its time runs out with the node's answer unread.
        let due = Instant::now() + Duration::from_millis(800);
        while Instant::now() < due {
            std::thread::park_timeout(due.saturating_duration_since(Instant::now()));
        }
    });
    let answer = read(&mut client).expect("a whole answer");
    assert!(answer.head.starts_with("RTSP/1.0 200"), "what was there in time is passed on: {answer:?}");
    client.set_read_timeout(Some(SECOND / 4)).expect("a time");
    assert!(read(&mut client).is_err(), "no second answer");
    let words: Vec<_> = std::iter::from_fn(|| scene.heard.try_recv().ok()).collect();
    assert!(words.iter().all(|(_, m, _)| !m.head.starts_with("TEARDOWN")), "{words:?}");
}

#[test]
fn a_give_up_that_crosses_the_nodes_answer_ends_the_session_at_its_node_in_either_order() {
    for node_first in [true, false] {
        let scene = Scene::warm();
        let mut client = scene.front.connect();
        client.write_all(&set_up(1, 1_500)).expect("writes");
        let (mut at, m, _) = scene.next("SETUP");
        scene.in_one_wake(|| {
            if node_first {
                plays(&mut at, &m);
            }
            client.write_all(&give_up(1)).expect("writes");
            if !node_first {
                plays(&mut at, &m);
            }
        });
        let (_, word, _) = scene.next("TEARDOWN");
        assert_eq!(word.field("Session"), Some("0000000000000001"), "node first: {node_first}");
        let mut answers = Vec::new();
        while !answers.iter().any(|m: &Raw| m.field("CSeq") == Some("2")) {
            answers.push(read(&mut client).expect("the give-up is heard"));
        }
        let to_set_up = answers.iter().filter(|m| m.field("CSeq") == Some("1")).count();
        assert!(to_set_up <= 1, "{answers:?}");
        assert_eq!(scene.set_ups_within(SECOND / 4), [""; 0], "node first: {node_first}");
    }
}
