//! A front and stand-in nodes in one process, and processes of the command, for tests on sockets.
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
pub const PATIENCE: Duration = Duration::from_secs(4);
pub const SDP: (&str, &str) = ("content-type", "application/sdp");
pub const FRAGMENT: (&str, &str) = ("content-type", "application/trickle-ice-sdpfrag");

/// Runs a test on one thread.
pub fn local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Settings of a test's front: `n` nodes in two racks, title `t` on all of them.
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

/// What `check` says of settings that end in `bad`, and the line on which that begins. It must turn them down.
pub async fn turned_down(dir: &Path, before: &str, bad: &str) -> (String, usize) {
    std::fs::write(dir.join("bad.conf"), format!("{before}{bad}")).expect("written");
    let out = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
        .args(["check", "-c", "bad.conf"])
        .current_dir(dir)
        .output()
        .await
        .expect("it ran");
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{bad}: {said}");
    (said, before.lines().count() + 1)
}

/// A list of nodes as the fronts read it.
pub fn list(stands: &[(String, SocketAddr)], started_ms: u64) -> String {
    let mut list = "name,address,zone,cell,kind,weight,state,started\n".to_owned();
    for (i, (name, address)) in stands.iter().enumerate() {
        list += &format!("{name},{address},z,{i},std,1,ready,{started_ms}\n");
    }
    list
}

pub fn places(stands: &[NodeHandle]) -> Vec<(String, SocketAddr)> {
    stands.iter().map(|s| (s.name.clone(), s.address)).collect()
}

pub async fn front_with(settings: &str, list: &str) -> Front {
    let config = Config::parse("test.conf", settings).expect("settings");
    let nodes = pepperhook_inventory::parse(list.as_bytes(), &config.names).expect("a list");
    Front::start(config, 7, nodes, None).await.expect("a front")
}

/// A front and its nodes.
pub struct Rig {
    pub front: Front,
    pub stands: Vec<NodeHandle>,
    pub recorder: Recorder,
}

impl Rig {
    pub async fn new(n: usize) -> Self {
        Self::with(n, "", |_| {}).await
    }

    pub async fn with(n: usize, more: &str, change: impl Fn(&mut Options)) -> Self {
        let recorder = Recorder::in_memory("");
        let options = |i: usize| {
            let mut o =
                Options { name: format!("n{i}"), rack: (i % 2) as u32, seed: i as u64, ..Options::default() };
            change(&mut o);
            o
        };
        let stands = start((0..n).map(options).collect(), &recorder).await.expect("nodes");
        let front = front_with(&settings(n, more), &list(&places(&stands), 0)).await;
        Self { front, stands, recorder }
    }

    pub fn all(&self, faults: Faults) {
        self.stands.iter().for_each(|s| s.set_faults(faults));
    }

    pub async fn connect(&self) -> Connection {
        Connection::open(self.front.address()).await.expect("a connection")
    }

    /// One POST for title `t` on a connection of its own.
    /// `viewer` may carry further arguments of the query.
    pub async fn ask(&self, viewer: &str, request: u64) -> (Connection, Result<HttpResponse, ReadError>) {
        let mut c = self.connect().await;
        post(&mut c, viewer, request).await;
        let reply = c.read_response(Instant::now() + PATIENCE).await;
        (c, reply)
    }

    /// A session that plays: its connection and its URL.
    pub async fn play(&self, viewer: &str, request: u64) -> (Connection, String) {
        let (c, reply) = self.ask(viewer, request).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 201, "{}", String::from_utf8_lossy(&reply.body));
        (c, reply.header("location").expect("a location").to_owned())
    }

    pub fn sessions(&self) -> usize {
        self.stands.iter().map(|s| s.state().sessions).sum()
    }

    pub fn attempts(&self) -> u64 {
        self.stands.iter().map(|s| s.state().attempts).sum()
    }

    pub fn lines(&self) -> Vec<Line> {
        self.recorder.lines()
    }

    /// Never two attempts out at once for what came with one `o=` line.
    pub fn assert_one_out(&self) {
        let mut open: std::collections::BTreeMap<(String, u64), String> = Default::default();
        for line in self.lines() {
            match line.event {
                Event::Attempt { attempt, origin, .. } => {
                    assert!(!open.values().any(|o| *o == origin), "two attempts out for {origin}");
                    open.insert((line.source, attempt), origin);
                }
                Event::AttemptAnswered { attempt, .. } | Event::AttemptClosed { attempt } => {
                    open.remove(&(line.source, attempt));
                }
                _ => {}
            }
        }
    }
}

pub async fn post(c: &mut Connection, viewer: &str, request: u64) {
    let path = format!("/whep/t?viewer={viewer}");
    c.send("POST", &path, &[SDP], offer(request).as_bytes()).await.expect("sent");
}

/// Waits until something holds, as long as a viewer would.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// The problem type at the end of its `urn`.
pub fn problem(reply: &HttpResponse) -> String {
    assert_eq!(reply.header("content-type"), Some("application/problem+json"));
    let v: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(v["status"].as_u64(), Some(u64::from(reply.status)));
    assert!(v["title"].is_string() && v["detail"].is_string());
    v["type"].as_str().and_then(|t| t.rsplit(':').next()).expect("a type").to_owned()
}

/// A process of the command that has said that it serves.
pub async fn spawn(arguments: &[&str], dir: &Path) -> (Child, serde_json::Value) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
        .args(arguments)
        .current_dir(dir)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("a process");
    let mut line = String::new();
    let out = child.stdout.take().expect("standard output");
    let mut reader = BufReader::new(out);
    reader.read_line(&mut line).await.expect("a line");
    let ready = serde_json::from_str(&line).expect("JSON");
    tokio::task::spawn_local(async move {
        let mut rest = String::new();
        while reader.read_line(&mut rest).await.is_ok_and(|n| n > 0) {
            rest.clear();
        }
    });
    (child, ready)
}

pub fn address(ready: &serde_json::Value) -> SocketAddr {
    ready["address"].as_str().expect("an address").parse().expect("an address")
}
