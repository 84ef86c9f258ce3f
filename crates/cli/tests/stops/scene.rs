//! Processes, nodes, viewers and change logs of the stops, as scripted ends of sockets.

use super::checker::{Answer, How, Request, Word};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

/// The longest deadline of a class.
pub const DEADLINE: Duration = Duration::from_millis(600);
const TITLE: &str = "rtsp://media/00000000000000f1 RTSP/1.0";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Waits for a moment of the plan.
pub fn until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Waits for what must come about within some seconds.
fn eventually(what: &str, is_so: impl Fn() -> bool) {
    let give_up = Instant::now() + Duration::from_secs(5);
    while !is_so() {
        assert!(Instant::now() < give_up, "{what}");
        std::thread::sleep(ms(2));
    }
}

/// Numbers by a seed.
pub struct Draw(pub u64);

impl Draw {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.0 >> 33) % n
    }
}

/// The description that a node gives for a session.
pub fn made_for(id: u64) -> Vec<u8> {
    format!("answer for {id:016x}\r\n").into_bytes()
}

// ---- messages ----------------------------------------------------------------------------------

struct Raw {
    head: String,
    body: Vec<u8>,
}

impl Raw {
    fn field(&self, name: &str) -> Option<&str> {
        let same = |l: &&str| l.split_once(": ").is_some_and(|(n, _)| n.eq_ignore_ascii_case(name));
        self.head.lines().find(same).and_then(|l| l.split_once(": ")).map(|(_, v)| v)
    }

    fn id(&self) -> u64 {
        self.field("Session").and_then(|s| u64::from_str_radix(s, 16).ok()).unwrap_or(0)
    }
}

/// The first whole message of the bytes, and how many of them it takes.
fn first(bytes: &[u8]) -> Option<(Raw, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let raw = Raw { head, body: Vec::new() };
    let length: usize = raw.field("Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let body = bytes.get(end..end + length)?.to_vec();
    Some((Raw { body, ..raw }, end + length))
}

/// Reads whole messages until the end; gives back how many bytes were left that are no whole one.
fn read_all(mut stream: TcpStream, mut each: impl FnMut(Raw)) -> usize {
    let (mut bytes, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return bytes.len(),
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
        }
        while let Some((raw, length)) = first(&bytes) {
            bytes.drain(..length);
            each(raw);
        }
    }
}

fn message(first: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first}\r\n");
    fields.iter().for_each(|(n, v)| out += &format!("{n}: {v}\r\n"));
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    [out.as_bytes(), body].concat()
}

fn set_up(id: u64, patience: Duration, at: Option<usize>) -> Vec<u8> {
    let class = if id % 2 == 0 { "lesson" } else { "free" };
    let at = at.map_or(String::new(), |n| format!(";at:s-{n:08x}"));
    let info = format!("home:0;copies:3;top:1;viewer:{:016x}{at}", id ^ 0xaaaa);
    let (session, wait) = (format!("{id:016x}"), patience.as_millis().to_string());
    let fields = [
        ("CSeq", "1"),
        ("Session", session.as_str()),
        ("Priority-Class", class),
        ("Expires-Ms", wait.as_str()),
        ("P-Trunk-Info", info.as_str()),
    ];
    message(&format!("SETUP {TITLE}"), &fields, b"an offer\r\n")
}

fn tear_down(id: u64, cause: Option<u16>) -> Vec<u8> {
    let (session, reason) = (format!("{id:016x}"), cause.map(|c| format!("cause={c}")));
    let mut fields = vec![("CSeq", "2"), ("Session", session.as_str())];
    fields.extend(reason.as_ref().map(|r| ("Reason", r.as_str())));
    message(&format!("TEARDOWN {TITLE}"), &fields, b"")
}

// ---- nodes -------------------------------------------------------------------------------------

#[derive(Default)]
struct Held {
    log: Vec<Word>,
    /// Connections of fronts, the latest last.
    conns: Vec<Arc<Mutex<TcpStream>>>,
}

/// A scripted node; what it does with a set-up goes by its id.
pub struct Node {
    address: SocketAddr,
    held: Arc<Mutex<Held>>,
}

impl Node {
    fn start(number: usize, silent: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("an address");
        let held = Arc::new(Mutex::new(Held::default()));
        let node = Self { address, held: held.clone() };
        spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), held) = (stream, held.clone()) else { return };
                let _ = stream.set_nodelay(true);
                let writer = Arc::new(Mutex::new(stream.try_clone().expect("a second handle")));
                held.lock().expect("a lock").conns.push(writer.clone());
                spawn(move || read_all(stream, |m| took(&m, number, silent, &writer, &held)));
            }
        });
        node
    }

    pub fn log(&self) -> Vec<Word> {
        self.held.lock().expect("a lock").log.clone()
    }

    fn conns(&self) -> usize {
        self.held.lock().expect("a lock").conns.len()
    }

    /// Sends a release on a connection that came after `before` others.
    fn releases(&self, id: u64, cause: u16, before: usize) {
        eventually("no connection came to the node", || self.conns() > before);
        let conn = self.held.lock().expect("a lock").conns.last().cloned().expect("a connection");
        let _ = conn.lock().expect("a lock").write_all(&tear_down(id, Some(cause)));
    }
}

fn took(m: &Raw, node: usize, silent: bool, writer: &Arc<Mutex<TcpStream>>, held: &Arc<Mutex<Held>>) {
    let id = m.id();
    let note = move |held: &Mutex<Held>, how| {
        held.lock().expect("a lock").log.push(Word { at: Instant::now(), node, id, how });
    };
    let session = format!("{id:016x}");
    if m.head.starts_with("TEARDOWN") {
        note(held, How::Released);
        let heard = message("RTSP/1.0 200 OK", &[("CSeq", "2"), ("Session", &session)], b"");
        let _ = writer.lock().expect("a lock").write_all(&heard);
    } else if m.head.starts_with("OPTIONS") {
        let fields = [("CSeq", "3"), ("Session", session.as_str()), ("P-Load", "x0:0.1;x1:0.1")];
        let _ = writer.lock().expect("a lock").write_all(&message("RTSP/1.0 200 OK", &fields, b""));
    } else if m.head.starts_with("SETUP") {
        note(held, How::Arrived);
        let answer = |status: &'static str| message(status, &[("CSeq", "1"), ("Session", &session)], b"");
        let served = message("RTSP/1.0 200 OK", &[("CSeq", "1"), ("Session", &session)], &made_for(id));
        match (id >> 8) % 20 {
            _ if silent => {}
            0 => {}
            1 => {
                note(held, How::TurnedAway);
                let _ = writer.lock().expect("a lock").write_all(&answer("RTSP/1.0 453 Full"));
            }
            2 => drop(writer.lock().expect("a lock").write_all(&answer("RTSP/1.0 500 Error"))),
            slow @ 3..7 => {
                let (writer, held) = (writer.clone(), held.clone());
                spawn(move || {
                    std::thread::sleep(ms(slow * 15));
                    note(&held, How::Served);
                    let _ = writer.lock().expect("a lock").write_all(&served);
                });
            }
            _ => {
                note(held, How::Served);
                let _ = writer.lock().expect("a lock").write_all(&served);
            }
        }
    }
}

// ---- the change log ----------------------------------------------------------------------------

/// A change log that hands out `frames` to whoever asks; the number that it was asked from is told.
fn change_log(frames: Vec<u8>) -> (SocketAddr, Receiver<(u64, Instant)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    let (tell, told) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), frames, tell) = (stream, frames.clone(), tell.clone()) else { return };
            spawn(move || {
                let mut last = [0; 8];
                if stream.read_exact(&mut last).is_ok() {
                    let _ = stream.write_all(&frames);
                    let _ = tell.send((u64::from_be_bytes(last), Instant::now()));
                    let _ = stream.read(&mut last);
                }
            });
        }
    });
    (address, told)
}

/// An event of one record: the node drains.
fn drains(number: u64, id: u32, address: SocketAddr) -> Vec<u8> {
    let SocketAddr::V4(v4) = address else { panic!("IPv4") };
    let mut record = id.to_be_bytes().to_vec();
    record.extend(v4.ip().octets());
    record.extend(v4.port().to_be_bytes());
    // State 1; zone, kind and cell 0; weight 1; started long ago.
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
        .map(|(i, n)| {
            json!({"id": format!("s-{i:08x}"), "addr": n.address.to_string(), "zone": "z", "kind": "k", "cell": i,
                   "state": "up", "weight": 1, "started_ms": 0})
        })
        .collect();
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "idempotency": repeat, "aim_ns": 400_000_000u64,
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

/// A running front end, ended with the test.
pub struct Front {
    child: Child,
    address: SocketAddr,
    file: tempfile::NamedTempFile,
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
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), config.to_string()).expect("writes");
        let mut child = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
            .args(["platform", "--config"])
            .arg(file.path())
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped())
            .spawn()
            .expect("starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines().map_while(Result::ok);
        let ready = lines.find(|l| l.contains("listening")).expect("it listens");
        spawn(move || lines.for_each(drop));
        let at = ready.rfind("127.0.0.1:").expect("an address");
        let number = |c: char| c.is_ascii_digit() || ".:".contains(c);
        let text: String = ready[at..].chars().take_while(|c| number(*c)).collect();
        Self { child, address: text.parse().expect("an address"), file, signalled: Instant::now() }
    }

    pub fn signal(&mut self, name: &str) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        self.signalled = Instant::now();
        nix::sys::signal::kill(pid, name.parse::<nix::sys::signal::Signal>().expect("a signal"))
            .expect("sent");
    }

    /// When it was signalled last.
    pub fn signalled(&self) -> Instant {
        self.signalled
    }

    /// Waits for its end: the exit code, and when.
    pub fn ends(&mut self) -> (Option<i32>, Instant) {
        let code = self.child.wait().expect("ends").code();
        (code, Instant::now())
    }
}

// ---- viewers -----------------------------------------------------------------------------------

/// What one viewer's connection writes, and when.
pub struct Plan {
    steps: Vec<Step>,
    /// How long the viewer waits for each answer.
    pub patience: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self { steps: Vec::new(), patience: DEADLINE }
    }
}

enum Step {
    /// So many requests behind each other; they are written in two pieces if torn.
    Asks(Instant, usize, bool),
    /// Half of a request, and its rest.
    Halves(Instant, Instant),
}

impl Plan {
    /// For a viewer that waits longer than any class allows.
    pub fn patient() -> Self {
        Self { patience: DEADLINE * 4, ..Self::default() }
    }

    pub fn asks(&mut self, at: Instant, count: usize, torn: bool) {
        self.steps.push(Step::Asks(at, count, torn));
    }

    pub fn halves(&mut self, at: Instant, rest: Instant) {
        self.steps.push(Step::Halves(at, rest));
    }
}

/// Plays a plan on one connection; all requests with what came back.
fn plays(address: SocketAddr, from: u64, plan: Plan) -> Vec<Request> {
    let patience = plan.patience;
    let Ok(mut stream) = TcpStream::connect(address) else {
        panic!("a connection was not accepted while new ones may come");
    };
    let _ = stream.set_nodelay(true);
    let reader = stream.try_clone().expect("a second handle");
    let reader = spawn(move || {
        let mut seen = Vec::new();
        let rest = read_all(reader, |m| {
            let status = m.head.strip_prefix("RTSP/1.0 ").and_then(|l| l.get(..3)?.parse::<u16>().ok());
            if let Some(status) = status.filter(|s| *s >= 200) {
                seen.push((m.id(), Answer { at: Instant::now(), status, body: m.body }));
            }
        });
        (seen, rest)
    });
    let mut requests = Vec::new();
    let mut next = from;
    let mut new = || {
        next += 1;
        // Spread over what nodes do with it.
        let id = from << 20 | ((next - from).wrapping_mul(0x9e37) & 0xfff) << 8 | (next & 0xff);
        Request { id, paid: id % 2 == 0, patience, sent: None, answers: Vec::new(), rest: 0 }
    };
    let mut write = |bytes: &[u8]| stream.write_all(bytes).is_ok().then(Instant::now);
    for step in plan.steps {
        match step {
            Step::Asks(at, count, torn) => {
                until(at);
                let mut own: Vec<_> = (0..count).map(|_| new()).collect();
                let bytes: Vec<u8> = own.iter().flat_map(|r| set_up(r.id, patience, None)).collect();
                let cut = if torn { bytes.len() * 2 / 3 } else { 0 };
                let sent = write(&bytes[..cut]).and_then(|_| write(&bytes[cut..]));
                own.iter_mut().for_each(|r| r.sent = sent);
                requests.extend(own);
            }
            Step::Halves(at, rest) => {
                let mut own = new();
                let bytes = set_up(own.id, patience, None);
                until(at);
                write(&bytes[..bytes.len() / 2]);
                until(rest);
                own.sent = write(&bytes[bytes.len() / 2..]);
                requests.push(own);
            }
        }
    }
    let (seen, rest) = reader.join().expect("a reader");
    for (id, answer) in seen {
        let r = requests.iter_mut().find(|r| r.id == id).expect("an answer to a request of this connection");
        r.answers.push(answer);
    }
    if let Some(last) = requests.last_mut() {
        last.rest = rest;
    }
    requests
}

// ---- all of it ---------------------------------------------------------------------------------

pub struct Scene {
    pub front: Front,
    pub nodes: Vec<Node>,
    pub moved_to: Receiver<(u64, Instant)>,
    config: Value,
    second_log: SocketAddr,
    viewers: u64,
    told: Option<Instant>,
}

impl Scene {
    pub fn start(seed: u64) -> Self {
        Self::with(seed, false)
    }

    /// Its nodes take set-ups and say nothing.
    pub fn start_silent(seed: u64) -> Self {
        Self::with(seed, true)
    }

    fn with(seed: u64, silent: bool) -> Self {
        let nodes: Vec<_> = (0..3).map(|n| Node::start(n, silent)).collect();
        let (log, _) = change_log(Vec::new());
        let (second_log, moved_to) = change_log(drains(4, 2, nodes[2].address));
        let config = config(&nodes, log, seed);
        let front = Front::start(&config);
        Self { front, nodes, moved_to, config, second_log, viewers: seed << 8, told: None }
    }

    /// A viewer that connects then and plays its plan.
    pub fn viewer(&mut self, at: Instant, plan: Plan) -> JoinHandle<Vec<Request>> {
        self.viewers += 1;
        let (address, from) = (self.front.address, self.viewers);
        spawn(move || {
            until(at);
            plays(address, from, plan)
        })
    }

    /// Discovery moves: the file is replaced, then SIGHUP.
    pub fn move_change_log(&mut self) {
        self.config["changelog"] = json!(self.second_log.to_string());
        std::fs::write(self.front.file.path(), self.config.to_string()).expect("writes");
        self.front.signal("SIGHUP");
        self.told = Some(Instant::now());
    }

    /// The node that drains since the change log has moved: told within 4 s at the most, and here as soon as it is asked.
    pub fn drained(&self) -> Option<(usize, Instant)> {
        self.told.map(|at| (2, at))
    }

    /// The next process of the same name is handed what stands: no answer comes, the node's release is passed on, and the
    /// viewer's reaches the node.
    pub fn taken_up(&self, standing: &[u64]) {
        let at = |id: u64| {
            let served = |n: &Node| n.log().iter().any(|w| w.id == id && w.how == How::Served);
            self.nodes.iter().position(served).expect("a node that served it")
        };
        let before: Vec<_> = self.nodes.iter().map(Node::conns).collect();
        let mut config = self.config.clone();
        config["seed"] = json!("00c0ffee00c0ffee");
        let front = Front::start(&config);
        let mut viewer = TcpStream::connect(front.address).expect("connects");
        let reader = viewer.try_clone().expect("a second handle");
        let (tell, told) = channel();
        spawn(move || read_all(reader, |m| drop(tell.send(m))));
        for id in standing {
            viewer.write_all(&set_up(*id, ms(1), Some(at(*id)))).expect("writes");
        }
        // A test after them: what is answered before it was not wanted.
        let ping = message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b"");
        viewer.write_all(&ping).expect("writes");
        let next = || told.recv_timeout(Duration::from_secs(5)).expect("a message");
        let answer = next();
        assert!(
            answer.head.starts_with("RTSP/1.0 200") && answer.field("CSeq") == Some("3"),
            "{}",
            answer.head
        );
        for (n, id) in standing.iter().take(8).enumerate() {
            let node = &self.nodes[at(*id)];
            if n % 2 == 0 {
                node.releases(*id, 16, before[at(*id)]);
                let end = next();
                assert!(end.head.starts_with("TEARDOWN ") && end.id() == *id, "{}", end.head);
                assert_eq!(end.field("Reason"), Some("cause=16"));
            } else {
                viewer.write_all(&tear_down(*id, None)).expect("writes");
                let heard = next();
                assert!(heard.head.starts_with("RTSP/1.0 200") && heard.id() == *id, "{}", heard.head);
                let released = |w: &Word| w.id == *id && w.how == How::Released;
                eventually("it plays on at its node", || node.log().iter().any(released));
            }
        }
    }
}
