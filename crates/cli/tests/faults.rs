//! Faults between processes of the command: fronts behind relays, their links cut and lossy, a front killed. Judged from what
//! their consoles show: each session with exactly one front, and fronts that agree who is there.

mod common;

use common::*;
use pepperhook_faults::fleet::{Fleet, Front, Options as FleetOptions, same_view};
use pepperhook_faults::schedule::{Bounds, Kind, RerunHint, Schedule, Store, from_environment};
use pepperhook_playout::record::Recorder;
use pepperhook_playout::{NodeHandle, Options, start};
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::Connection;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const EACH: usize = 5;
const ALL: usize = NAMES.len() * EACH;
/// Fronts agree who is there so long after a fault's end at most.
const AGREED: Duration = Duration::from_secs(8);
/// Each session has one front again so long after a fault's end at most: where two claim a stream at once each waits for some
/// leases before it claims it anew (12 s were seen).
const SETTLED: Duration = Duration::from_secs(20);
/// The test as it is run by hand.
const COMMAND: &str = "cargo test -p pepperhook-cli --test faults a_schedule";

async fn start_nodes() -> Vec<NodeHandle> {
    let options = |i: usize| Options { name: format!("n{i}"), rack: (i % 2) as u32, ..Options::default() };
    start((0..4).map(options).collect(), &Recorder::disabled()).await.expect("nodes")
}

fn text() -> String {
    settings(4, "")
        // Room for all: nobody is refused here.
        .replace("uplink-kb 40000", "uplink-kb 4000000")
        .replace("kb-per-weight 12000", "kb-per-weight 1200000")
        .replace("all-links-kb 48000", "all-links-kb 4800000")
        + "section replica\ncopies 2\nguards 3\nlease 2s\nlook 250ms\n"
}

/// A front's view and its copies.
fn shown(state: &Value) -> String {
    let r = &state["replica"];
    let members: Vec<u64> =
        state["members"].as_array().into_iter().flatten().filter_map(|m| m["front"].as_u64()).collect();
    let rows = r["streams"].as_array().into_iter().flatten();
    let rows: Vec<String> = rows.map(ToString::to_string).collect();
    format!(
        "\n{} members {members:?} own {} adopted {} kept {} fenced {} {}\n  {}",
        state["front"],
        r["own"],
        r["adopted"],
        r["kept"],
        r["fenced"],
        r["counters"],
        rows.join("\n  ")
    )
}

fn sum(states: &[Value], field: &str) -> usize {
    states.iter().map(|s| s["replica"][field].as_u64().expect("a number") as usize).sum()
}

/// What the keys of all streams add up to that their writers may write, each as often as it has a writer: one missing and
/// one twice make the same number of sessions, but another sum.
fn digest(states: &[Value]) -> u64 {
    let rows = states.iter().flat_map(|s| s["replica"]["streams"].as_array().into_iter().flatten());
    let rows = rows.filter(|r| r["writes"].as_bool() == Some(true));
    let sums = rows.map(|r| u64::from_str_radix(r["digest"].as_str().expect("a digest"), 16).expect("hex"));
    sums.fold(0, u64::wrapping_add)
}

/// Each session is with one front, and nobody else thinks that it is its own.
fn once_each(states: &[Value]) -> bool {
    acting(states) == ALL && sum(states, "fenced") == 0
}

/// Sessions, each counted by every front that may act on it.
fn acting(states: &[Value]) -> usize {
    (sum(states, "own") + sum(states, "adopted")).saturating_sub(sum(states, "fenced"))
}

fn copied(states: &[Value]) -> bool {
    let rows = states.iter().flat_map(|s| s["replica"]["streams"].as_array().into_iter().flatten());
    sum(states, "kept") >= 2 * ALL && rows.into_iter().all(|r| r["behind"].as_u64() == Some(0))
}

fn settled(states: &[Value]) -> bool {
    same_view(states) && once_each(states) && copied(states)
}

async fn until(fleet: &Fleet, what: &str, limit: Duration, holds: impl Fn(&[Value]) -> bool) {
    let took = fleet.wait_until(what, limit, shown, holds).await.unwrap_or_else(|e| panic!("{e}"));
    println!("{what}: after {:.1} s", took.as_secs_f64());
}

/// Faults are over: fronts agree, then each session, the very ones of before, has one front, nobody is fenced, and all copies
/// are there.
async fn healed(fleet: &Fleet, what: &str, keys: u64) {
    until(fleet, &format!("{what}: all know each other again"), AGREED, same_view).await;
    until(fleet, &format!("{what}: each session has one front"), SETTLED, |s| {
        settled(s) && digest(s) == keys
    })
    .await;
}

/// Four fronts behind relays, each with sessions that have their copies elsewhere.
async fn filled(dir: &Path, nodes: &[NodeHandle]) -> (Fleet, u64) {
    let options = FleetOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_pepperhook")),
        dir: dir.to_owned(),
        seed: 7,
        fronts: NAMES.iter().map(|n| Front { name: (*n).to_owned(), settings: text() }).collect(),
        exchange: "look 200ms\nsuspicion 600ms\n".into(),
        nodes: node_addresses(nodes),
        inventory: |nodes| list(nodes, 0),
        has_state_dirs: true,
    };
    let fleet = Fleet::start(options).await.unwrap_or_else(|e| panic!("{e}"));
    until(&fleet, "all know each other", SETTLED, same_view).await;
    for i in 0..NAMES.len() {
        for n in 0..EACH {
            // Fronts that share nodes may refuse at first: the next viewer is another one.
            let mut tries = 0;
            while ask(&fleet, i, (tries * 1_000 + i * 100 + n) as u64).await != 201 {
                tries += 1;
                assert!(tries < 20, "refused again and again");
            }
        }
    }
    until(&fleet, "each session has its copies", SETTLED, settled).await;
    let keys = digest(&fleet.states().await.unwrap_or_else(|e| panic!("{e}")));
    (fleet, keys)
}

async fn ask(fleet: &Fleet, i: usize, n: u64) -> u16 {
    let mut c = Connection::open(fleet.viewer_address(i)).await.expect("a connection");
    let path = format!("/whep/t?viewer=v{n}");
    let reply = c.request("POST", &path, &[SDP], offer(n).as_bytes(), PATIENCE).await;
    reply.expect("an answer").status
}

/// Many troubles at once on links alone, from a seed; or those of a file, see `pepperhook_faults::schedule::SCHEDULE_VARIABLE`.
#[test]
fn a_schedule_from_a_seed_leaves_each_session_with_one_front() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        let (mut fleet, keys) = filled(dir.path(), &nodes).await;
        let bounds = Bounds {
            fronts: NAMES.map(String::from).to_vec(),
            length_ms: 8_000,
            quiet_ms: 0,
            max_faults: 12,
            max_concurrent: 3,
            max_down: 0,
        };
        let schedule = from_environment().unwrap_or_else(|e| panic!("{e}"));
        let schedule = schedule.unwrap_or_else(|| Schedule::random(11, &bounds));
        let _again = RerunHint::new(&schedule, COMMAND);
        fleet.run_schedule(&schedule).await.unwrap_or_else(|e| panic!("{e}"));
        healed(&fleet, "after the schedule", keys).await;
    });
}

/// The form of `docs/rehearsals.md`.
const STOPS: &str = r#"{"seed": 1,
 "faults": [
  {"at_ms": 0, "for_ms": 5000, "from": "a", "to": "b", "both": true, "kind": "delay", "ms": 20, "jitter_ms": 20},
  {"at_ms": 0, "for_ms": 5000, "from": "*", "to": "n0", "both": true, "kind": "delay", "ms": 20}],
 "processes": [
  {"at_ms": 200, "who": "c", "do": "stop"},
  {"at_ms": 1500, "who": "c", "do": "save"},
  {"at_ms": 1700, "who": "c", "do": "cont"},
  {"at_ms": 2500, "who": "c", "do": "kill"},
  {"at_ms": 5000, "who": "c", "do": "start", "store": "older"}]}"#;

#[test]
fn a_front_that_stood_still_was_killed_and_came_back_with_an_older_store_holds_nothing_twice() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        let (mut fleet, keys) = filled(dir.path(), &nodes).await;
        let schedule = Schedule::parse("stops.json", STOPS).unwrap_or_else(|e| panic!("{e}"));
        fleet.run_schedule(&schedule).await.unwrap_or_else(|e| panic!("{e}"));
        healed(&fleet, "after the stops", keys).await;
        assert_eq!(ask(&fleet, 2, 9_000).await, 201, "it serves");
        assert!(!fleet.log(2).unwrap_or_else(|e| panic!("{e}")).contains("panicked"));
    });
}

#[test]
fn cuts_loss_and_a_kill_leave_each_session_with_one_front_and_fronts_agree_again() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        let (mut fleet, keys) = filled(dir.path(), &nodes).await;
        let fit = "a link";

        // One way between two: the others look at both for them, and nobody is given up for long.
        let net = fleet.net();
        net.add_fault_now("a", "b", false, Kind::Cut).expect(fit);
        sleep(Duration::from_secs(3)).await;
        let cut = net.counters("a", "b").expect(fit);
        assert!(cut.cut > 0 && net.counters("b", "a").expect(fit).cut == 0, "{cut:?}");
        until(&fleet, "cut one way: each session has one front", SETTLED, |s| {
            acting(s) == ALL && digest(s) == keys
        })
        .await;
        net.heal();
        healed(&fleet, "after the cut one way", keys).await;

        // Three in ten of all that fronts say is lost, and one of them is killed and comes back.
        for x in NAMES {
            net.add_fault_now(x, "*", false, Kind::Lose { p: 0.3 }).expect(fit);
        }
        fleet.kill(3).await.unwrap_or_else(|e| panic!("{e}"));
        until(&fleet, "lossy: the killed one's sessions are gone on with", SETTLED, |states| {
            sum(states, "adopted") >= EACH && acting(states) == ALL && digest(states) == keys
        })
        .await;
        fleet.start_front(3, Store::Kept).await.unwrap_or_else(|e| panic!("{e}"));
        until(&fleet, "lossy: it is back", SETTLED, |s| {
            same_view(s) && acting(s) == ALL && digest(s) == keys
        })
        .await;
        let net = fleet.net();
        let lost = net.counters("a", "b").expect(fit);
        assert!(lost.lost > 0, "{lost:?}");
        net.heal();
        healed(&fleet, "after the loss", keys).await;

        halves(&fleet).await;
        healed(&fleet, "after the halves are one", keys).await;
    });
}

/// Cuts the fleet into halves until each has given the other up and taken what it may, and heals it.
async fn halves(fleet: &Fleet) {
    let net = fleet.net();
    for (x, y) in [("a", "c"), ("a", "d"), ("b", "c"), ("b", "d")] {
        net.add_fault_now(x, y, true, Kind::Cut).expect("a link");
    }
    let half = |s: &Value| s["members"].as_array().map(Vec::len) == Some(2);
    until(fleet, "each half sees itself alone", SETTLED, |states| states.iter().all(half)).await;
    sleep(Duration::from_secs(2)).await;
    // Whatever the sides believe, no session has two fronts that may act on it. Consoles are read one after the other, so
    // that one which changes hands meanwhile may be seen twice, but not in look after look.
    until(fleet, "in halves: no session has two fronts", SETTLED, |states| acting(states) <= ALL).await;
    net.heal();
}

/// In a half of two fronts a stream that has two guards needs both to change hands: a front that is killed before its
/// streams have their third again would take what it had along, for good.
#[test]
fn a_front_killed_right_after_halves_are_one_again_is_gone_on_for() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        let (mut fleet, keys) = filled(dir.path(), &nodes).await;
        halves(&fleet).await;
        until(&fleet, "after the halves are one", SETTLED, settled).await;
        fleet.kill(3).await.unwrap_or_else(|e| panic!("{e}"));
        until(&fleet, "the killed one's sessions are gone on with", SETTLED, |s| {
            acting(s) == ALL && sum(s, "fenced") == 0 && digest(s) == keys
        })
        .await;
    });
}
