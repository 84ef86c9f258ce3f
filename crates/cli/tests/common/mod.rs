//! Helpers for tests over sockets: a front and simulated nodes in the test's process, and child processes of
//! the command.
#![allow(dead_code)]

use pepperhook_front::Front;
use pepperhook_playout::record::{Event, Line, Recorder};
use pepperhook_playout::{Faults, NodeHandle, Options, start};
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::{Connection, HttpResponse, ReadError};
use pepperhook_settings::Config;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

pub const SECOND: Duration = Duration::from_secs(1);
/// Timeout of a test's waits; equal to the viewers' patience in [`settings`].
pub const PATIENCE: Duration = Duration::from_secs(4);
/// Time in which a viewer must know of the end of its session, by the protocol.
pub const END_NOTICE_LIMIT: Duration = Duration::from_millis(8_050);
/// Header of a request with an SDP offer.
pub const SDP: (&str, &str) = ("content-type", "application/sdp");
/// Header of a request with a trickle fragment.
pub const FRAGMENT: (&str, &str) = ("content-type", "application/trickle-ice-sdpfrag");

/// Runs a test on a single-threaded runtime, with support for tasks that are not `Send`.
pub fn local(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("cannot start the runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Settings of a front with `n` nodes in two racks. Every node holds the titles `t` and `live`. The text
/// begins with `more`.
pub fn settings(n: usize, more: &str) -> String {
    format!(
        "{more}\nname front\nlisten 127.0.0.1:0\nadmin 127.0.0.1:0\nadmin-key key\ninventory nodes.csv\nzones z\n\
         zone z\nracks 2\ncells {n}\nuplink-kb 40000\nkb-per-weight 12000\nall-links-kb {}\ngauges streams link uplink\n\
         seen-after 500ms\nswitch-cost 0.5\nmax-advice 500ms\nbody-time 300ms\nhead-time 400ms\n\
         section ladder\nrung 200 0.2\nrung 350 0.42\nrung 600 0.62\nrung 1000 0.8\nrung 1800 1\n\
         section class replay\naim 800ms\npatience 4s\nsection class studio\naim 800ms\npatience 4s\ningest yes\n\
         section class event\naim 800ms\npatience 4s\nlive yes\n\
         section kind std\nstreams 60\nsection rules\ncold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n\
         section title t\nhome 0\ncopies {n}\nclass replay\nsection title live\nhome 0\ncopies {n}\nclass event\n",
        n * 12_000
    )
}

/// Runs the command `check` on the settings `before` followed by `bad` and asserts that it rejects them.
/// Returns the error text and the number of the line on which `bad` begins.
pub async fn assert_rejected(dir: &Path, before: &str, bad: &str) -> (String, usize) {
    std::fs::write(dir.join("bad.conf"), format!("{before}{bad}")).expect("cannot write the file");
    let out = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
        .args(["check", "-c", "bad.conf"])
        .current_dir(dir)
        .output()
        .await
        .expect("cannot run the command");
    let errors = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "settings were not rejected: {bad}: {errors}");
    (errors, before.lines().count() + 1)
}

/// List of nodes in the format that fronts read, one cell per node.
pub fn list(nodes: &[(String, SocketAddr)], started_ms: u64) -> String {
    let mut list = "name,address,zone,cell,kind,weight,state,started\n".to_owned();
    for (i, (name, address)) in nodes.iter().enumerate() {
        list += &format!("{name},{address},z,{i},std,1,ready,{started_ms}\n");
    }
    list
}

/// Names and addresses of the nodes, for [`list`].
pub fn node_addresses(nodes: &[NodeHandle]) -> Vec<(String, SocketAddr)> {
    nodes.iter().map(|s| (s.name.clone(), s.address)).collect()
}

/// Starts a front in this process, with fixed seed and without state directory.
pub async fn front_with(settings: &str, list: &str) -> Front {
    let config = Config::parse("test.conf", settings).expect("invalid settings");
    let inventory =
        pepperhook_inventory::parse(list.as_bytes(), &config.names).expect("invalid list of nodes");
    Front::start(config, 7, inventory, None).await.expect("cannot start the front")
}

/// A front and its simulated nodes in the test's process, with a recorder of the nodes' traffic.
pub struct Cluster {
    pub front: Front,
    pub nodes: Vec<NodeHandle>,
    pub recorder: Recorder,
}

impl Cluster {
    pub async fn new(n: usize) -> Self {
        Self::with_options(n, "", |_| {}).await
    }

    /// `more` is prepended to the settings; `change` is applied to the options of each node.
    pub async fn with_options(n: usize, more: &str, change: impl Fn(&mut Options)) -> Self {
        let recorder = Recorder::in_memory("");
        let node_options = |i: usize| {
            let mut options =
                Options { name: format!("n{i}"), rack: (i % 2) as u32, seed: i as u64, ..Options::default() };
            change(&mut options);
            options
        };
        let nodes =
            start((0..n).map(node_options).collect(), &recorder).await.expect("cannot start the nodes");
        let front = front_with(&settings(n, more), &list(&node_addresses(&nodes), 0)).await;
        Self { front, nodes, recorder }
    }

    /// Injects the same faults into all nodes.
    pub fn set_faults(&self, faults: Faults) {
        self.nodes.iter().for_each(|s| s.set_faults(faults));
    }

    pub async fn connect(&self) -> Connection {
        Connection::open(self.front.address()).await.expect("cannot connect to the front")
    }

    /// Sends a POST for title `t` on a new connection and reads the reply.
    /// `viewer` may contain further query parameters after the viewer's name.
    pub async fn request_session(
        &self,
        viewer: &str,
        request: u64,
    ) -> (Connection, Result<HttpResponse, ReadError>) {
        let mut connection = self.connect().await;
        send_offer(&mut connection, viewer, request).await;
        let reply = connection.read_response(Instant::now() + PATIENCE).await;
        (connection, reply)
    }

    /// Sets up a session and asserts success; returns its connection and its URL.
    pub async fn set_up_session(&self, viewer: &str, request: u64) -> (Connection, String) {
        let (connection, reply) = self.request_session(viewer, request).await;
        let reply = reply.expect("no answer");
        assert_eq!(reply.status, 201, "session was not set up: {}", String::from_utf8_lossy(&reply.body));
        (connection, reply.header("location").expect("no Location header").to_owned())
    }

    /// Number of sessions at all nodes.
    pub fn sessions(&self) -> usize {
        self.nodes.iter().map(|s| s.state().sessions).sum()
    }

    /// Number of attempts received by all nodes so far.
    pub fn attempts(&self) -> u64 {
        self.nodes.iter().map(|s| s.state().attempts).sum()
    }

    /// Recorded traffic of the nodes.
    pub fn traffic(&self) -> Vec<Line> {
        self.recorder.lines()
    }

    /// Asserts that no two attempts were in flight at once for offers with the same `o=` line.
    pub fn assert_one_attempt_in_flight(&self) {
        let mut in_flight: std::collections::BTreeMap<(String, u64), String> = Default::default();
        for line in self.traffic() {
            match line.event {
                Event::Attempt { attempt, origin, .. } => {
                    assert!(!in_flight.values().any(|o| *o == origin), "two attempts in flight for {origin}");
                    in_flight.insert((line.source, attempt), origin);
                }
                Event::AttemptAnswered { attempt, .. } | Event::AttemptClosed { attempt } => {
                    in_flight.remove(&(line.source, attempt));
                }
                _ => {}
            }
        }
    }
}

/// Sends a POST with an offer for title `t`, without waiting for the reply.
pub async fn send_offer(connection: &mut Connection, viewer: &str, request: u64) {
    let path = format!("/whep/t?viewer={viewer}");
    connection.send("POST", &path, &[SDP], offer(request).as_bytes()).await.expect("cannot send the request");
}

/// Waits up to [`PATIENCE`] until the condition holds.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "not within {PATIENCE:?}: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Asserts that the reply is a valid problem document; returns the last part of the URN in its type.
pub fn problem_type(reply: &HttpResponse) -> String {
    assert_eq!(reply.header("content-type"), Some("application/problem+json"));
    let problem: serde_json::Value = serde_json::from_slice(&reply.body).expect("invalid JSON");
    assert_eq!(problem["status"].as_u64(), Some(u64::from(reply.status)));
    assert!(problem["title"].is_string() && problem["detail"].is_string());
    problem["type"].as_str().and_then(|t| t.rsplit(':').next()).expect("the problem has no type").to_owned()
}

/// Starts the command and waits for its first line of output: JSON, written once it accepts connections.
pub async fn spawn(arguments: &[&str], dir: &Path) -> (Child, serde_json::Value) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
        .args(arguments)
        .current_dir(dir)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("cannot start the process");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("stdout is not piped");
    let mut reader = BufReader::new(stdout);
    reader.read_line(&mut line).await.expect("cannot read from stdout");
    let ready = serde_json::from_str(&line).expect("invalid JSON");
    tokio::task::spawn_local(async move {
        let mut rest = String::new();
        while reader.read_line(&mut rest).await.is_ok_and(|n| n > 0) {
            rest.clear();
        }
    });
    (child, ready)
}

/// Address of a front, from its first line of output.
pub fn address(ready: &serde_json::Value) -> SocketAddr {
    ready["address"].as_str().expect("no valid address").parse().expect("no valid address")
}

/// Resident memory of a process in kB.
pub fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process has ended");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("no line VmRSS");
    line.split_ascii_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("not a number")
}
