//! The front's process, and scripted nodes, viewers and change logs, for the tests of stops.

use super::checker::{Answer, NodeEvent, NodeEventKind, Request};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

/// Deadline of all classes.
pub const DEADLINE: Duration = Duration::from_millis(600);
/// Title and protocol version in the first line of a request.
const TITLE: &str = "rtsp://media/00000000000000f1 RTSP/1.0";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Sleeps until this moment.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Waits up to 5 s until the condition holds; `failure` describes that it does not.
fn wait_for(failure: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while !condition() {
        assert!(Instant::now() < deadline, "after 5 s: {failure}");
        std::thread::sleep(ms(2));
    }
}

/// Deterministic random numbers from a seed.
pub struct Random(pub u64);

impl Random {
    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.0 >> 33) % bound
    }
}

/// Body of a node's answer for a session.
pub fn answer_body(id: u64) -> Vec<u8> {
    format!("answer for {id:016x}\r\n").into_bytes()
}

// ---- messages ----------------------------------------------------------------------------------

struct Raw {
    head: String,
    body: Vec<u8>,
}

impl Raw {
    fn field(&self, name: &str) -> Option<&str> {
        let is_field = |l: &&str| l.split_once(": ").is_some_and(|(n, _)| n.eq_ignore_ascii_case(name));
        self.head.lines().find(is_field).and_then(|l| l.split_once(": ")).map(|(_, v)| v)
    }

    fn id(&self) -> u64 {
        self.field("Session").and_then(|s| u64::from_str_radix(s, 16).ok()).unwrap_or(0)
    }
}

/// Decodes the first complete message; returns it with its length in bytes.
fn decode_first(bytes: &[u8]) -> Option<(Raw, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let raw = Raw { head, body: Vec::new() };
    let length: usize = raw.field("Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let body = bytes.get(end..end + length)?.to_vec();
    Some((Raw { body, ..raw }, end + length))
}

/// Reads complete messages until the end of the connection; returns the number of bytes after the last complete one.
fn read_all(mut stream: TcpStream, mut handle: impl FnMut(Raw)) -> usize {
    let (mut bytes, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return bytes.len(),
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
        }
        while let Some((raw, length)) = decode_first(&bytes) {
            bytes.drain(..length);
            handle(raw);
        }
    }
}

fn message(first_line: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first_line}\r\n");
    fields.iter().for_each(|(name, value)| out += &format!("{name}: {value}\r\n"));
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    [out.as_bytes(), body].concat()
}

/// A set-up request, or with `node` the hand-over of an existing session at that node. Even ids have the class
/// `at_most_once`.
fn set_up_request(id: u64, patience: Duration, node: Option<usize>) -> Vec<u8> {
    let class = if id % 2 == 0 { "lesson" } else { "free" };
    let at = node.map_or(String::new(), |node| format!(";at:s-{node:08x}"));
    let info = format!("home:0;copies:3;top:1;viewer:{:016x}{at}", id ^ 0xaaaa);
    let (session, expires_ms) = (format!("{id:016x}"), patience.as_millis().to_string());
    let fields = [
        ("CSeq", "1"),
        ("Session", session.as_str()),
        ("Priority-Class", class),
        ("Expires-Ms", expires_ms.as_str()),
        ("P-Trunk-Info", info.as_str()),
    ];
    message(&format!("SETUP {TITLE}"), &fields, b"an offer\r\n")
}

/// A release of a session, or the cancellation of a set-up.
fn release_request(id: u64, cause: Option<u16>) -> Vec<u8> {
    let (session, reason) = (format!("{id:016x}"), cause.map(|c| format!("cause={c}")));
    let mut fields = vec![("CSeq", "2"), ("Session", session.as_str())];
    fields.extend(reason.as_ref().map(|r| ("Reason", r.as_str())));
    message(&format!("TEARDOWN {TITLE}"), &fields, b"")
}

// ---- nodes -------------------------------------------------------------------------------------

/// State of a node, shared by its threads.
#[derive(Default)]
struct NodeState {
    events: Vec<NodeEvent>,
    /// Connections of fronts, the latest last.
    connections: Vec<Arc<Mutex<TcpStream>>>,
}

/// A scripted node; the id of a set-up determines how the node answers it.
pub struct Node {
    address: SocketAddr,
    state: Arc<Mutex<NodeState>>,
}

impl Node {
    fn start(number: usize, silent: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
        let address = listener.local_addr().expect("no valid address");
        let state = Arc::new(Mutex::new(NodeState::default()));
        let node = Self { address, state: state.clone() };
        spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), state) = (stream, state.clone()) else { return };
                let _ = stream.set_nodelay(true);
                let writer = Arc::new(Mutex::new(stream.try_clone().expect("cannot duplicate the socket")));
                state.lock().expect("the mutex is poisoned").connections.push(writer.clone());
                spawn(move || read_all(stream, |m| handle_message(&m, number, silent, &writer, &state)));
            }
        });
        node
    }

    pub fn events(&self) -> Vec<NodeEvent> {
        self.state.lock().expect("the mutex is poisoned").events.clone()
    }

    fn connection_count(&self) -> usize {
        self.state.lock().expect("the mutex is poisoned").connections.len()
    }

    /// Waits until there are more than `earlier` connections, and sends a release on the latest.
    fn release(&self, id: u64, cause: u16, earlier: usize) {
        wait_for("the front has not connected to the node", || self.connection_count() > earlier);
        let connection = self
            .state
            .lock()
            .expect("the mutex is poisoned")
            .connections
            .last()
            .cloned()
            .expect("no such connection");
        let _ =
            connection.lock().expect("the mutex is poisoned").write_all(&release_request(id, Some(cause)));
    }
}

/// Handles a message at a node; a silent node does not answer set-ups.
fn handle_message(
    request: &Raw,
    node: usize,
    silent: bool,
    writer: &Arc<Mutex<TcpStream>>,
    state: &Arc<Mutex<NodeState>>,
) {
    let id = request.id();
    let record = move |state: &Mutex<NodeState>, kind| {
        state.lock().expect("the mutex is poisoned").events.push(NodeEvent {
            at: Instant::now(),
            node,
            id,
            kind,
        });
    };
    let session = format!("{id:016x}");
    if request.head.starts_with("TEARDOWN") {
        record(state, NodeEventKind::Released);
        let confirmation = message("RTSP/1.0 200 OK", &[("CSeq", "2"), ("Session", &session)], b"");
        let _ = writer.lock().expect("the mutex is poisoned").write_all(&confirmation);
    } else if request.head.starts_with("OPTIONS") {
        let fields = [("CSeq", "3"), ("Session", session.as_str()), ("P-Load", "x0:0.1;x1:0.1")];
        let _ = writer.lock().expect("the mutex is poisoned").write_all(&message(
            "RTSP/1.0 200 OK",
            &fields,
            b"",
        ));
    } else if request.head.starts_with("SETUP") {
        record(state, NodeEventKind::Arrived);
        let answer =
            |status_line: &'static str| message(status_line, &[("CSeq", "1"), ("Session", &session)], b"");
        let served = message("RTSP/1.0 200 OK", &[("CSeq", "1"), ("Session", &session)], &answer_body(id));
        match (id >> 8) % 20 {
            _ if silent => {}
            0 => {}
            1 => {
                record(state, NodeEventKind::Refused);
                let _ = writer.lock().expect("the mutex is poisoned").write_all(&answer("RTSP/1.0 453 Full"));
            }
            2 => drop(writer.lock().expect("the mutex is poisoned").write_all(&answer("RTSP/1.0 500 Error"))),
            slow @ 3..7 => {
                let (writer, state) = (writer.clone(), state.clone());
                spawn(move || {
                    std::thread::sleep(ms(slow * 15));
                    record(&state, NodeEventKind::Served);
                    let _ = writer.lock().expect("the mutex is poisoned").write_all(&served);
                });
            }
            _ => {
                record(state, NodeEventKind::Served);
                let _ = writer.lock().expect("the mutex is poisoned").write_all(&served);
            }
        }
    }
}

// ---- the change log ----------------------------------------------------------------------------

/// Starts a change log that sends `frames` on each connection. Returns its address and, for each connection, the number of
/// the last event that the front has, and the time.
fn change_log(frames: Vec<u8>) -> (SocketAddr, Receiver<(u64, Instant)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("no valid address");
    let (request_sender, requests) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), frames, request_sender) = (stream, frames.clone(), request_sender.clone())
            else {
                return;
            };
            spawn(move || {
                let mut last_event = [0; 8];
                if stream.read_exact(&mut last_event).is_ok() {
                    let _ = stream.write_all(&frames);
                    let _ = request_sender.send((u64::from_be_bytes(last_event), Instant::now()));
                    let _ = stream.read(&mut last_event);
                }
            });
        }
    });
    (address, requests)
}

/// A frame of the change log with an event that sets a node to draining.
fn draining_event(number: u64, id: u32, address: SocketAddr) -> Vec<u8> {
    let SocketAddr::V4(v4) = address else { panic!("not an IPv4 address") };
    let mut record = id.to_be_bytes().to_vec();
    record.extend(v4.ip().octets());
    record.extend(v4.port().to_be_bytes());
    // State 1, zone and kind 0, the id as cell; then weight 1 and a start long ago.
    record.extend([1, 0, 0, 0, id as u8]);
    record.extend(1_000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    let mut frame = ((9 + record.len()) as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(2);
    frame.extend(record);
    frame
}

// ---- the process -------------------------------------------------------------------------------

fn config(nodes: &[Node], log: SocketAddr, seed: u64) -> Value {
    let servers: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| {
            json!({"id": format!("s-{i:08x}"), "addr": node.address.to_string(), "zone": "z", "kind": "k", "cell": i,
                   "state": "up", "weight": 1, "started_ms": 0})
        })
        .collect();
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "aim_ns": 400_000_000u64,
               "deadline_ns": DEADLINE.as_nanos() as u64, "value": 1.0})
    };
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": format!("{:016x}", seed ^ 0x8c1f_30d2_7a5b_e964),
        "changelog": log.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": {"seq": 3, "results": [{"seq": 3, "fleet": {"version": 1, "full": true, "servers": servers}}]},
        "settings": {
            "n_instances": 1, "az": 0, "zones": ["z"], "flavors": ["k"],
            "classes": [class("lesson", "at_most_once"), class("free", "idempotent")],
            "limits": {"max_attempts": 3, "dial_timeout_ns": 250_000_000, "conn_idle_ns": 15_000_000_000u64,
                       "max_streams": 100},
            "load_report": {"fields": ["x0", "x1"]},
            "rules": {"cold_ns": 12_000_000_000u64, "fall_multiple": 2.5, "fall_ns": 2_000_000_000u64,
                      "start_capacity": 0.4},
            "specifics": {"groups": 1, "positions": 3, "highest_rung": [1, 1], "lowest_rung": [0, 0],
                          "seats": [0, 0], "scale_by_class": [1.0, 1.0], "rung_kb": [2.0, 4.0],
                          "ladder_worth": [0.4, 1.0], "kind_slots": [2_000], "uplink_kb": 900_000.0,
                          "all_links_kb": 900_000.0, "kb_per_weight": 400_000.0},
        },
    })
}

/// A front end as a process, which is killed when the value is dropped.
pub struct Front {
    child: Child,
    address: SocketAddr,
    file: tempfile::NamedTempFile,
    /// When the last signal was sent; the start if there was none.
    signalled: Instant,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Front {
    fn start(config: &Value) -> Self {
        let file = tempfile::NamedTempFile::new().expect("cannot create a temporary file");
        std::fs::write(file.path(), config.to_string()).expect("cannot write the file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
            .args(["platform", "--config"])
            .arg(file.path())
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped())
            .spawn()
            .expect("cannot start the process");
        let mut lines =
            BufReader::new(child.stderr.take().expect("stderr is not piped")).lines().map_while(Result::ok);
        let ready = lines.find(|l| l.contains("listening")).expect("the front did not log that it listens");
        spawn(move || lines.for_each(drop));
        let address_start = ready.rfind("127.0.0.1:").expect("no valid address");
        let is_address_char = |c: char| c.is_ascii_digit() || ".:".contains(c);
        let text: String = ready[address_start..].chars().take_while(|c| is_address_char(*c)).collect();
        Self { child, address: text.parse().expect("no valid address"), file, signalled: Instant::now() }
    }

    pub fn signal(&mut self, name: &str) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        self.signalled = Instant::now();
        nix::sys::signal::kill(pid, name.parse::<nix::sys::signal::Signal>().expect("unknown signal name"))
            .expect("cannot send the signal");
    }

    /// When the last signal was sent.
    pub fn signalled(&self) -> Instant {
        self.signalled
    }

    /// Waits for the end of the process; returns the exit code and the time.
    pub fn wait_for_exit(&mut self) -> (Option<i32>, Instant) {
        let code = self.child.wait().expect("cannot wait for the process").code();
        (code, Instant::now())
    }
}

// ---- viewers -----------------------------------------------------------------------------------

/// What a viewer writes on its connection, and when.
pub struct Plan {
    steps: Vec<Step>,
    /// Time to the deadline of each request.
    pub patience: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self { steps: Vec::new(), patience: DEADLINE }
    }
}

enum Step {
    /// A number of requests in one write, or in two if `split`.
    Requests { at: Instant, count: usize, split: bool },
    /// Half of a request, and later the rest of it.
    Halves { at: Instant, rest_at: Instant },
}

impl Plan {
    /// For a viewer whose requests have a longer deadline than their class.
    pub fn patient() -> Self {
        Self { patience: DEADLINE * 4, ..Self::default() }
    }

    /// Adds `count` requests at the same time, written in two pieces if `split`.
    pub fn requests(&mut self, at: Instant, count: usize, split: bool) {
        self.steps.push(Step::Requests { at, count, split });
    }

    /// Adds a request of which the second half is written at `rest_at`.
    pub fn halves(&mut self, at: Instant, rest_at: Instant) {
        self.steps.push(Step::Halves { at, rest_at });
    }
}

/// Executes a plan on one connection; returns all requests with their answers. Ids derive from `first_number`.
fn run_plan(address: SocketAddr, first_number: u64, plan: Plan) -> Vec<Request> {
    let patience = plan.patience;
    let Ok(mut stream) = TcpStream::connect(address) else {
        panic!("a connection was refused while the front must accept new ones");
    };
    let _ = stream.set_nodelay(true);
    let reader = stream.try_clone().expect("cannot duplicate the socket");
    let reader = spawn(move || {
        let mut answers = Vec::new();
        let incomplete_bytes = read_all(reader, |m| {
            let status = m.head.strip_prefix("RTSP/1.0 ").and_then(|l| l.get(..3)?.parse::<u16>().ok());
            if let Some(status) = status.filter(|s| *s >= 200) {
                answers.push((m.id(), Answer { at: Instant::now(), status, body: m.body }));
            }
        });
        (answers, incomplete_bytes)
    });
    let mut requests = Vec::new();
    let mut number = first_number;
    let mut new_request = || {
        number += 1;
        // Spreads the ids over the different behaviours of the nodes.
        let id = first_number << 20
            | ((number - first_number).wrapping_mul(0x9e37) & 0xfff) << 8
            | (number & 0xff);
        Request {
            id,
            at_most_once: id % 2 == 0,
            patience,
            sent: None,
            answers: Vec::new(),
            incomplete_bytes: 0,
        }
    };
    let mut write = |bytes: &[u8]| stream.write_all(bytes).is_ok().then(Instant::now);
    for step in plan.steps {
        match step {
            Step::Requests { at, count, split } => {
                sleep_until(at);
                let mut batch: Vec<_> = (0..count).map(|_| new_request()).collect();
                let bytes: Vec<u8> =
                    batch.iter().flat_map(|r| set_up_request(r.id, patience, None)).collect();
                let split_at = if split { bytes.len() * 2 / 3 } else { 0 };
                let sent = write(&bytes[..split_at]).and_then(|_| write(&bytes[split_at..]));
                batch.iter_mut().for_each(|r| r.sent = sent);
                requests.extend(batch);
            }
            Step::Halves { at, rest_at } => {
                let mut request = new_request();
                let bytes = set_up_request(request.id, patience, None);
                sleep_until(at);
                write(&bytes[..bytes.len() / 2]);
                sleep_until(rest_at);
                request.sent = write(&bytes[bytes.len() / 2..]);
                requests.push(request);
            }
        }
    }
    let (answers, incomplete_bytes) = reader.join().expect("the reader thread panicked");
    for (id, answer) in answers {
        let request = requests
            .iter_mut()
            .find(|r| r.id == id)
            .expect("an answer has an id that was not requested on this connection");
        request.answers.push(answer);
    }
    if let Some(last) = requests.last_mut() {
        last.incomplete_bytes = incomplete_bytes;
    }
    requests
}

// ---- scene ------------------------------------------------------------------------------------

/// A front with three nodes, viewers and two change logs.
pub struct Scene {
    pub front: Front,
    pub nodes: Vec<Node>,
    /// Connections to the second change log.
    pub second_log_requests: Receiver<(u64, Instant)>,
    config: Value,
    second_log: SocketAddr,
    /// Number of the last viewer, from which the ids of its requests derive.
    last_viewer: u64,
    /// When the front was signalled to use the second change log.
    log_moved: Option<Instant>,
}

impl Scene {
    pub fn start(seed: u64) -> Self {
        Self::with(seed, false)
    }

    /// With nodes that do not answer set-ups.
    pub fn start_silent(seed: u64) -> Self {
        Self::with(seed, true)
    }

    fn with(seed: u64, silent: bool) -> Self {
        let nodes: Vec<_> = (0..3).map(|n| Node::start(n, silent)).collect();
        let (log, _) = change_log(Vec::new());
        let (second_log, second_log_requests) = change_log(draining_event(4, 2, nodes[2].address));
        let config = config(&nodes, log, seed);
        let front = Front::start(&config);
        Self {
            front,
            nodes,
            second_log_requests,
            config,
            second_log,
            last_viewer: seed << 8,
            log_moved: None,
        }
    }

    /// Starts a viewer that connects at this time and executes its plan.
    pub fn start_viewer(&mut self, at: Instant, plan: Plan) -> JoinHandle<Vec<Request>> {
        self.last_viewer += 1;
        let (address, first_number) = (self.front.address, self.last_viewer);
        spawn(move || {
            sleep_until(at);
            run_plan(address, first_number, plan)
        })
    }

    /// Moves the front to the second change log: replaces the configuration file and sends SIGHUP.
    pub fn move_change_log(&mut self) {
        self.config["changelog"] = json!(self.second_log.to_string());
        std::fs::write(self.front.file.path(), self.config.to_string()).expect("cannot write the file");
        self.front.signal("SIGHUP");
        self.log_moved = Some(Instant::now());
    }

    /// The node that drains according to the second change log, and when the front was moved to that. The platform permits
    /// 4 s until an event arrives; this change log sends it as soon as the front connects.
    pub fn draining(&self) -> Option<(usize, Instant)> {
        self.log_moved.map(|at| (2, at))
    }

    /// Starts the next process of the same name and hands the existing sessions over to it. Asserts that hand-overs have no
    /// answer, and that releases of the nodes and of the viewer are forwarded.
    pub fn assert_adopted_by_next_process(&self, sessions: &[u64]) {
        let node_of = |id: u64| {
            let served = |node: &Node| {
                node.events().iter().any(|event| event.id == id && event.kind == NodeEventKind::Served)
            };
            self.nodes.iter().position(served).expect("no node served this session")
        };
        let earlier_connections: Vec<_> = self.nodes.iter().map(Node::connection_count).collect();
        let mut config = self.config.clone();
        config["seed"] = json!("00c0ffee00c0ffee");
        let front = Front::start(&config);
        let mut viewer = TcpStream::connect(front.address).expect("cannot connect to the front");
        let reader = viewer.try_clone().expect("cannot duplicate the socket");
        let (message_sender, messages) = channel();
        spawn(move || read_all(reader, |m| drop(message_sender.send(m))));
        for id in sessions {
            viewer
                .write_all(&set_up_request(*id, ms(1), Some(node_of(*id))))
                .expect("cannot write to the connection");
        }
        // The answer to this OPTIONS request must be the first message: hand-overs before it have none.
        let ping = message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b"");
        viewer.write_all(&ping).expect("cannot write to the connection");
        let next_message = || messages.recv_timeout(Duration::from_secs(5)).expect("no message arrived");
        let answer = next_message();
        assert!(
            answer.head.starts_with("RTSP/1.0 200") && answer.field("CSeq") == Some("3"),
            "a hand-over was answered: {}",
            answer.head
        );
        for (n, id) in sessions.iter().take(8).enumerate() {
            let node = &self.nodes[node_of(*id)];
            if n % 2 == 0 {
                node.release(*id, 16, earlier_connections[node_of(*id)]);
                let release = next_message();
                assert!(
                    release.head.starts_with("TEARDOWN ") && release.id() == *id,
                    "not the node's release of session {id:x}: {}",
                    release.head
                );
                assert_eq!(release.field("Reason"), Some("cause=16"));
            } else {
                viewer.write_all(&release_request(*id, None)).expect("cannot write to the connection");
                let confirmation = next_message();
                assert!(
                    confirmation.head.starts_with("RTSP/1.0 200") && confirmation.id() == *id,
                    "the release of session {id:x} was not confirmed: {}",
                    confirmation.head
                );
                let released = |event: &NodeEvent| event.id == *id && event.kind == NodeEventKind::Released;
                wait_for("the session was not released at its node", || node.events().iter().any(released));
            }
        }
    }
}
