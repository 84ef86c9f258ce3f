//! Replication of sessions between front processes. A front that is killed or stopped must not lose its
//! sessions: another front adopts its streams, and no session may have two fronts.

mod common;

use common::*;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pepperhook_playout::record::Recorder;
use pepperhook_playout::{NodeHandle, Options, start};
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::Connection;
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::Duration;
use tokio::process::Child;
use tokio::time::{Instant, sleep};

/// Number of fronts in the fleet.
const FRONTS: usize = 4;
/// Number of sessions that each front sets up.
const SESSIONS_PER_FRONT: usize = 6;

/// A front as a child process.
struct FrontProcess {
    child: Child,
    address: SocketAddr,
    admin: SocketAddr,
}

impl FrontProcess {
    fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| i32::try_from(id).ok()).expect("the process has ended");
        kill(Pid::from_raw(pid), signal).expect("cannot send");
    }

    async fn state(&self) -> Value {
        let mut connection = Connection::open(self.admin).await.expect("cannot connect");
        let bearer = [("authorization", "Bearer key")];
        let reply = connection.request("GET", "/state", &bearer, b"", SECOND).await.expect("no answer");
        serde_json::from_slice(&reply.body).expect("invalid JSON")
    }

    async fn request_session(&self, viewer: u64) -> (Connection, u16) {
        let mut connection = Connection::open(self.address).await.expect("cannot connect");
        let path = format!("/whep/t?viewer=v{viewer}");
        let reply = connection.request("POST", &path, &[SDP], offer(viewer).as_bytes(), PATIENCE).await;
        (connection, reply.expect("no answer").status)
    }
}

async fn start_nodes() -> Vec<NodeHandle> {
    let options = |i: usize| Options { name: format!("n{i}"), rack: (i % 2) as u32, ..Options::default() };
    start((0..4).map(options).collect(), &Recorder::disabled()).await.expect("cannot start the nodes")
}

/// Starts fronts that are each other's peers and lose the fraction `loss` of their datagrams; `more` is
/// appended to their settings.
async fn fleet(dir: &Path, nodes: &[NodeHandle], loss: f64, more: &str) -> Vec<FrontProcess> {
    let sockets: Vec<UdpSocket> =
        (0..FRONTS).map(|_| UdpSocket::bind("127.0.0.1:0").expect("cannot bind a socket")).collect();
    let ports: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().expect("no valid address")).collect();
    drop(sockets);
    std::fs::write(dir.join("nodes.csv"), list(&node_addresses(nodes), 0)).expect("cannot write the file");
    let mut fronts = Vec::new();
    for (i, port) in ports.iter().enumerate() {
        let mut text = settings(nodes.len(), &format!("fronts {FRONTS}"))
            .replace("name front", &format!("name front-{i}"))
            // Capacity for all sessions: no request is refused for lack of it.
            .replace("uplink-kb 40000", "uplink-kb 4000000")
            .replace("kb-per-weight 12000", "kb-per-weight 1200000")
            .replace("all-links-kb 48000", "all-links-kb 4800000");
        text += &format!("section exchange\nlisten {port}\nkey secret\nlook 200ms\nsuspicion 600ms\n");
        text += &format!("loss {loss}\n");
        ports.iter().filter(|p| *p != port).for_each(|p| text += &format!("peer {p}\n"));
        text += more;
        let conf = format!("f{i}.conf");
        std::fs::write(dir.join(&conf), text).expect("cannot write the file");
        let (child, ready) = spawn(&["serve", "-c", &conf], dir).await;
        let admin = ready["admin"].as_str().expect("no valid address").parse().expect("no valid address");
        fronts.push(FrontProcess { child, address: address(&ready), admin });
    }
    fronts
}

/// Text for failure messages: a front's counts of sessions, and one line per replicated stream.
fn describe(state: &Value) -> String {
    let r = &state["replica"];
    let row = |s: &Value| {
        let short = |v: &Value| v.as_u64().unwrap_or(0) % 10_000;
        format!(
            "\n  {}/{} epoch {} keys {} writer {} writes {} fenced {} behind {}",
            short(&s["front"]),
            s["shard"],
            s["epoch"],
            s["keys"],
            short(&s["writer"]),
            s["writes"],
            s["fenced"],
            s["behind"]
        )
    };
    let rows: String = r["streams"].as_array().into_iter().flatten().map(row).collect();
    format!(
        "\n{} own {} adopted {} kept {} {}{rows}",
        state["front"], r["own"], r["adopted"], r["kept"], r["counters"]
    )
}

/// Reads the states of the fronts until the condition holds for them, for up to 25 seconds; returns these
/// states.
async fn until_states(what: &str, fronts: &[&FrontProcess], holds: impl Fn(&[Value]) -> bool) -> Vec<Value> {
    let deadline = Instant::now() + Duration::from_secs(25);
    loop {
        let mut states = Vec::new();
        for front in fronts {
            states.push(front.state().await);
        }
        if holds(&states) {
            return states;
        }
        assert!(
            Instant::now() < deadline,
            "not within 25 s: {what}: {}",
            states.iter().map(describe).collect::<String>()
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Sum of a count in the replica section of all states.
fn sum(states: &[Value], field: &str) -> usize {
    states.iter().map(|s| s["replica"][field].as_u64().expect("not a number") as usize).sum()
}

/// Whether each session has exactly one front: a session with two fronts is counted twice, a lost one not at
/// all. On a busy machine a front may be suspended for longer than its lease, and then its streams get
/// another owner although it has not died.
fn each_session_has_one_front(states: &[Value]) -> bool {
    sum(states, "own") + sum(states, "adopted") == FRONTS * SESSIONS_PER_FRONT && sum(states, "fenced") == 0
}

/// Whether each session has its two copies and no holder of a copy lacks a change. With message loss a former
/// holder may keep an additional copy for a while.
fn all_replicated(states: &[Value]) -> bool {
    let rows = states.iter().flat_map(|s| s["replica"]["streams"].as_array().into_iter().flatten());
    sum(states, "kept") >= 2 * FRONTS * SESSIONS_PER_FRONT
        && rows.into_iter().all(|r| r["behind"].as_u64() == Some(0))
}

/// Settings of the replication.
const REPLICA_SETTINGS: &str = "section replica\ncopies 2\nguards 3\nlease 2s\nlook 250ms\n";

/// Starts fronts and sets up sessions, each of which has two copies at other fronts.
async fn fleet_with_sessions(dir: &Path, nodes: &[NodeHandle], loss: f64) -> Vec<FrontProcess> {
    let fronts = fleet(dir, nodes, loss, REPLICA_SETTINGS).await;
    let all: Vec<&FrontProcess> = fronts.iter().collect();
    until_states("all fronts are in each other's view", &all, |states| {
        states.iter().all(|s| s["members"].as_array().map(Vec::len) == Some(FRONTS))
    })
    .await;
    for (i, front) in fronts.iter().enumerate() {
        for n in 0..SESSIONS_PER_FRONT {
            // Fronts that share nodes may refuse requests at first. The retry is for another viewer.
            let mut tries = 0;
            while front.request_session((tries * 1_000 + i * 100 + n) as u64).await.1 != 201 {
                tries += 1;
                assert!(tries < 20, "front {i} refused 20 viewers in a row");
            }
        }
    }
    until_states("each session has one front and its copies", &all, |states| {
        each_session_has_one_front(states) && all_replicated(states)
    })
    .await;
    fronts
}

#[test]
fn sessions_of_a_killed_front_are_adopted_once_and_again_when_a_second_one_is_killed() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        let mut fronts = fleet_with_sessions(dir.path(), &nodes, 0.0).await;
        fronts[0].child.kill().await.expect("cannot kill the process");
        let survivors: Vec<&FrontProcess> = fronts[1..].iter().collect();
        until_states("the sessions of the killed front are adopted, each once", &survivors, |states| {
            sum(states, "adopted") >= SESSIONS_PER_FRONT && each_session_has_one_front(states)
        })
        .await;
        // The next front is killed with its own sessions and those it has adopted: all of them must be
        // adopted again.
        until_states("the adopted sessions are replicated again", &survivors, |states| {
            all_replicated(states) && each_session_has_one_front(states)
        })
        .await;
        fronts[1].child.kill().await.expect("cannot kill the process");
        let survivors: Vec<&FrontProcess> = fronts[2..].iter().collect();
        until_states(
            "no session is without a front, and none has two",
            &survivors,
            each_session_has_one_front,
        )
        .await;
    });
}

#[test]
fn with_a_fifth_of_all_messages_lost_the_sessions_of_a_killed_front_are_adopted() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        let mut fronts = fleet_with_sessions(dir.path(), &nodes, 0.2).await;
        fronts[3].child.kill().await.expect("cannot kill the process");
        let survivors: Vec<&FrontProcess> = fronts[..3].iter().collect();
        until_states("the sessions of the killed front are adopted, each once", &survivors, |states| {
            sum(states, "adopted") >= SESSIONS_PER_FRONT && each_session_has_one_front(states)
        })
        .await;
    });
}

#[test]
fn a_suspended_front_finds_its_sessions_adopted_and_takes_none_back() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        let fronts = fleet_with_sessions(dir.path(), &nodes, 0.0).await;
        fronts[2].signal(Signal::SIGSTOP);
        let survivors: Vec<&FrontProcess> = [0, 1, 3].iter().map(|i| &fronts[*i]).collect();
        until_states("the other fronts have adopted the suspended front's sessions", &survivors, |states| {
            sum(states, "adopted") >= SESSIONS_PER_FRONT && each_session_has_one_front(states)
        })
        .await;
        fronts[2].signal(Signal::SIGCONT);
        let all: Vec<&FrontProcess> = fronts.iter().collect();
        let states = until_states("the resumed front has noticed that it lost its streams", &all, |states| {
            states[2]["replica"]["counters"]["lost"].as_u64() > Some(0) && each_session_has_one_front(states)
        })
        .await;
        assert_eq!(
            states[2]["replica"]["own"].as_u64(),
            Some(0),
            "the resumed front still owns sessions that were adopted"
        );
    });
}

#[test]
fn without_the_section_there_is_no_replication_and_invalid_settings_are_rejected_with_their_line() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        let fronts = fleet(dir.path(), &nodes, 0.0, "").await;
        assert_eq!(fronts[0].request_session(1).await.1, 201);
        let state = fronts[0].state().await;
        assert!(state["replica"].is_null());
        for (bad, expected) in [
            ("section replica\ncopies 4\n", "4 copies need more fronts"),
            ("section replica\nguards 4\n", "an odd number of guards"),
            ("section replica\nlease 1s\nlook 900ms\n", "a look between"),
            ("section replica\ncopys 1\n", "copys"),
        ] {
            let mut text = settings(4, &format!("fronts {FRONTS}"));
            text += "section exchange\nlisten 127.0.0.1:0\nkey secret\npeer 127.0.0.1:9\n";
            let (errors, line) = assert_rejected(dir.path(), &text, bad).await;
            assert!(errors.contains(expected), "{bad}: {errors}");
            assert!(
                errors.contains(&format!("bad.conf:{line}"))
                    || errors.contains(&format!("bad.conf:{}", line + 1)),
                "{bad}: line {line} is not named: {errors}"
            );
        }
    });
}
