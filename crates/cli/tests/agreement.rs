//! What the fleet agrees on, between processes of the command with faults on the links between them: a change of the policy
//! holds everywhere or nowhere, whoever is cut off, stopped or killed. Judged from viewers' sockets and fronts' consoles.

mod common;

use common::*;
use pepperhook_faults::fleet::{Fleet, Front, Options as FleetOptions, same_view};
use pepperhook_faults::schedule::{Kind, Store};
use pepperhook_playout::record::Recorder;
use pepperhook_playout::{NodeHandle, Options, start};
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::{Connection, HttpResponse};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// What comes about after the last fault does so within this time, on a machine that is busy.
const SETTLED: Duration = Duration::from_secs(20);
const AGREEMENT: &str = "section agreement\nvoter a\nvoter b\nvoter c\nhold 4s\n";

async fn start_nodes() -> Vec<NodeHandle> {
    let options = |i: usize| Options { name: format!("n{i}"), rack: (i % 2) as u32, ..Options::default() };
    start((0..4).map(options).collect(), &Recorder::disabled()).await.expect("nodes")
}

/// Settings with room for all: nobody is refused for want of it.
fn text(more: &str) -> String {
    settings(4, "")
        .replace("uplink-kb 40000", "uplink-kb 4000000")
        .replace("kb-per-weight 12000", "kb-per-weight 1200000")
        .replace("all-links-kb 48000", "all-links-kb 4800000")
        .replace("patience 4s", "patience 2s")
        + more
}

async fn fleet(dir: &Path, nodes: &[NodeHandle], more: impl Fn(&str) -> String) -> Fleet {
    let front = |n: &&str| Front { name: (*n).to_owned(), settings: text(&more(n)) };
    let options = FleetOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_pepperhook")),
        dir: dir.to_owned(),
        seed: 11,
        fronts: NAMES.iter().map(front).collect(),
        exchange: "look 200ms\nsuspicion 600ms\n".into(),
        nodes: node_addresses(nodes),
        inventory: |nodes| list(nodes, 0),
        has_state_dirs: true,
    };
    Fleet::start(options).await.unwrap_or_else(|e| panic!("{e}"))
}

/// Five fronts that agree on the policy of their files.
async fn agreed(dir: &Path, nodes: &[NodeHandle]) -> Fleet {
    let fleet = fleet(dir, nodes, |_| AGREEMENT.into()).await;
    until(&fleet, "all go by version 1", |s| s.len() == NAMES.len() && same_view(s) && all_by(s, 1)).await;
    fleet
}

fn shown(state: &Value) -> String {
    format!("\n{} {}", state["front"], state["agreement"])
}

async fn until(fleet: &Fleet, what: &str, holds: impl Fn(&[Value]) -> bool) -> Duration {
    let took = fleet.wait_until(what, SETTLED, shown, holds).await.unwrap_or_else(|e| panic!("{e}"));
    println!("{what}: after {:.1} s", took.as_secs_f64());
    took
}

/// Whether all of these go by a version that stands, and take set-ups.
fn all_by(states: &[Value], version: u64) -> bool {
    states.iter().all(|s| {
        let a = &s["agreement"];
        a["version"] == version && a["step"] == "stands" && a["fenced"] == false
    })
}

fn fenced(state: &Value) -> bool {
    state["agreement"]["fenced"] == true
}

// ---- operators ---------------------------------------------------------------------------------

async fn operator(at: SocketAddr, method: &str, path: &str, body: &str) -> (u16, Value) {
    let mut c = Connection::open(at).await.expect("a connection");
    let key = [("authorization", "Bearer key")];
    let reply = c.request(method, path, &key, body.as_bytes(), SETTLED).await.expect("an answer");
    (reply.status, serde_json::from_slice(&reply.body).expect("JSON"))
}

/// The policy in force at a front, as text.
async fn policy(fleet: &Fleet, i: usize) -> String {
    let (status, shown) = operator(fleet.operator_address(i), "GET", "/policy", "").await;
    assert_eq!(status, 200, "{shown}");
    shown["text"].as_str().expect("a policy").to_owned()
}

/// Asks for another policy, and waits until it stands or does not.
async fn ask(at: SocketAddr, text: &str, against: u64, by: &str, key: u32) -> (u16, String) {
    let path = format!("/policy?against={against}&by={by}&key={key:x}&wait=yes");
    let (status, answer) = operator(at, "POST", &path, text).await;
    (status, answer["detail"].as_str().unwrap_or("").to_owned())
}

/// The policy with another aim, by which the change is known.
fn with_aim(policy: &str, ms: u64) -> String {
    let line = |l: &str| if l.starts_with("aim ") { format!("aim {ms}ms\n") } else { format!("{l}\n") };
    policy.lines().map(line).collect()
}

// ---- viewers -----------------------------------------------------------------------------------

/// An answer as its viewer saw it: when it asked, when it was answered, by which front, how, and by which entry.
#[derive(Clone, Debug)]
struct Seen {
    asked: Instant,
    answered: Instant,
    front: usize,
    status: u16,
    kind: String,
    entry: Option<u64>,
}

fn seen(asked: Instant, front: usize, reply: &HttpResponse) -> Seen {
    let problem: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let entry = reply.header("pepperhook-policy").and_then(|v| v.parse().ok());
    Seen {
        asked,
        answered: Instant::now(),
        front,
        status: reply.status,
        kind: problem["type"].as_str().unwrap_or("").rsplit([':', '/']).next().unwrap_or("").to_owned(),
        entry: entry.or_else(|| problem["policy"].as_u64()),
    }
}

async fn post(at: SocketAddr, front: usize, n: u64) -> Option<Seen> {
    let asked = Instant::now();
    let mut c = Connection::open(at).await.ok()?;
    let path = format!("/whep/t?viewer=v{n}");
    let reply = c.request("POST", &path, &[SDP], offer(n).as_bytes(), PATIENCE).await.ok()?;
    let s = seen(asked, front, &reply);
    if let Some(resource) = reply.header("location").filter(|_| s.status == 201) {
        let _ = c.request("DELETE", resource, &[], b"", SECOND).await;
    }
    Some(s)
}

/// Viewers at every front, one after the other at each, until told to stop.
struct Viewers {
    record: Rc<RefCell<Vec<Seen>>>,
    stop: Rc<Cell<bool>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Viewers {
    fn new(fleet: &Fleet) -> Self {
        let (record, stop) = (Rc::<RefCell<Vec<Seen>>>::default(), Rc::new(Cell::new(false)));
        let task = |i: usize| {
            let (record, stop, at) = (record.clone(), stop.clone(), fleet.viewer_address(i));
            tokio::task::spawn_local(async move {
                for n in 0.. {
                    if stop.get() {
                        return;
                    }
                    if let Some(s) = post(at, i, i as u64 * 1_000_000 + n).await {
                        record.borrow_mut().push(s);
                    }
                    sleep(Duration::from_millis(30)).await;
                }
            })
        };
        Self { tasks: (0..NAMES.len()).map(task).collect(), record, stop }
    }

    async fn end(self) -> Vec<Seen> {
        self.stop.set(true);
        for task in self.tasks {
            task.await.expect("viewers");
        }
        self.record.take()
    }
}

/// Which policy an entry put into force, as a place in a line: a version that stands has an even one, and the tighter of two
/// neighbours the odd one between. Read from the fronts' logs.
fn line(fleet: &Fleet) -> BTreeMap<u64, u64> {
    let mut places = BTreeMap::new();
    for i in 0..NAMES.len() {
        for l in fleet.log(i).expect("a log").lines().filter(|l| l.contains("policy-in-force")) {
            let plain: String = l.split('\u{1b}').map(|p| p.split_once('m').map_or(p, |(_, t)| t)).collect();
            let field = |name: &str| {
                let rest = plain.split_once(&format!("{name}="))?.1;
                Some(rest.split_whitespace().next()?.trim_matches('"').to_owned())
            };
            let number = |name: &str| field(name).and_then(|v| v.parse::<u64>().ok());
            let (Some(version), Some(entry), Some(step)) =
                (number("version"), number("entry"), field("step"))
            else {
                panic!("a line of another form: {plain}");
            };
            let place = if step == "first" { 2 * version - 1 } else { 2 * version };
            let known = places.insert(entry, place);
            assert!(known.is_none_or(|k| k == place), "entry {entry} is two policies: {known:?} and {place}");
        }
    }
    places
}

/// Pairs of answers that no change allows: one by a policy that is two places or more behind what a viewer had been
/// answered by, elsewhere, before the other had even asked; and answers by an entry that nobody decided.
fn wrong(record: &[Seen], places: &BTreeMap<u64, u64>) -> Vec<String> {
    let mut out = Vec::new();
    let mut answers: Vec<(&Seen, u64)> = Vec::new();
    for s in record {
        match s.entry.map(|e| places.get(&e)) {
            Some(Some(place)) => answers.push((s, *place)),
            Some(None) => out.push(format!("by an entry that nobody decided: {s:?}")),
            None => {}
        }
    }
    for (a, a_place) in &answers {
        for (b, b_place) in &answers {
            if a_place + 2 <= *b_place && a.asked > b.answered {
                out.push(format!("{a:?} after {b:?}"));
            }
        }
    }
    out
}

#[test]
fn the_judge_sees_an_old_policy_beside_a_new_one() {
    let t = Instant::now();
    let at = |ms: u64| t + Duration::from_millis(ms);
    let seen = |asked: u64, answered: u64, entry| {
        let (asked, answered, kind) = (at(asked), at(answered), String::new());
        Seen { asked, answered, front: 0, status: 201, kind, entry: Some(entry) }
    };
    // Entries 1, 4: versions 1 and 2; 2: the first step between.
    let places = BTreeMap::from([(1, 2), (2, 3), (3, 4), (4, 4)]);
    assert!(
        wrong(&[seen(0, 5, 1), seen(6, 9, 2), seen(10, 12, 1), seen(13, 15, 3), seen(14, 20, 2)], &places)
            .is_empty()
    );
    assert!(
        wrong(&[seen(0, 5, 3), seen(4, 9, 1)], &places).is_empty(),
        "asked before the other was answered"
    );
    assert_eq!(wrong(&[seen(0, 5, 3), seen(6, 9, 1)], &places).len(), 1);
    assert_eq!(wrong(&[seen(0, 5, 9)], &places).len(), 1, "nobody decided it");
}

// ---- changes under faults ----------------------------------------------------------------------

/// A change while a front is cut off, one while the leader is dead, one while a front stands still; viewers ask all the while.
#[test]
fn a_change_holds_everywhere_whoever_is_cut_off_stopped_or_killed() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        let mut fleet = agreed(dir.path(), &nodes).await;
        let viewers = Viewers::new(&fleet);
        let first = policy(&fleet, 0).await;
        let told = ask(fleet.operator_address(3), &with_aim(&first, 700), 1, "ana", 1).await;
        assert_eq!(told.0, 200, "{told:?}");
        until(&fleet, "all go by version 2", |s| all_by(s, 2)).await;

        // e is cut off from all others, one way only from d: the change waits for its hold to run out, and e refuses.
        fleet.net().add_fault_now("e", "*", false, Kind::Cut).expect("a link");
        for other in ["a", "b", "c"] {
            fleet.net().add_fault_now(other, "e", false, Kind::Cut).expect("a link");
        }
        let told = ask(fleet.operator_address(0), &with_aim(&first, 600), 2, "ana", 2).await;
        assert_eq!(told.0, 200, "{told:?}");
        let e = fleet.state(4).await.expect("a state");
        assert!(fenced(&e), "e cannot know: {}", shown(&e));
        fleet.net().heal();
        until(&fleet, "all go by version 3", |s| all_by(s, 3) && same_view(s)).await;

        // Whoever leads dies, and a change is asked for at once.
        let leader = fleet.state(0).await.expect("a state")["agreement"]["leader"].as_u64();
        let states = fleet.states().await.expect("states");
        let own = |s: &Value| {
            let rows = s["members"].as_array()?;
            rows.iter().find(|m| m["own"] == true)?["front"].as_u64()
        };
        let leader = states.iter().position(|s| own(s) == leader).expect("a leader");
        fleet.kill(leader).await.expect("killed");
        let told = ask(fleet.operator_address(3), &with_aim(&first, 500), 3, "bob", 3).await;
        assert_eq!(told.0, 200, "{told:?}");
        until(&fleet, "the others go by version 4", |s| s.len() == 4 && all_by(s, 4)).await;
        fleet.start_front(leader, Store::Kept).await.expect("started");
        until(&fleet, "all go by version 4", |s| s.len() == 5 && all_by(s, 4)).await;

        // One stands still, and wakes up after the change.
        fleet.stop(3).expect("stopped");
        let told = ask(fleet.operator_address(4), &with_aim(&first, 400), 4, "ana", 4).await;
        assert_eq!(told.0, 200, "{told:?}");
        fleet.resume(3).expect("goes on");
        until(&fleet, "all go by version 5", |s| s.len() == 5 && all_by(s, 5)).await;

        let record = viewers.end().await;
        let places = line(&fleet);
        let bad = wrong(&record, &places);
        assert!(bad.is_empty(), "{} of {}: {:#?}", bad.len(), record.len(), &bad[..bad.len().min(5)]);
        let by: std::collections::BTreeSet<u64> = record.iter().filter_map(|s| s.entry).collect();
        let refused = record.iter().filter(|s| s.kind == "fenced").count();
        let elsewhere = record.iter().filter(|s| s.kind == "fenced" && !(3..=4).contains(&s.front)).count();
        println!("{} answers by {} entries, {refused} refused as fenced", record.len(), by.len());
        assert!(by.len() >= 5, "viewers were answered by each version: {by:?}");
        assert!(refused > 0, "who was cut off refused");
        assert!(record.iter().all(|s| s.kind != "fenced" || s.status == 503));
        // A front that starts is fenced until it has heard what holds; others never are.
        let others = record.iter().filter(|s| s.kind == "fenced" && s.front < 3 && s.front != leader).count();
        assert!(others == 0 || elsewhere == 0 || others < refused, "{others} of {refused} elsewhere");
    });
}

/// A front that cannot go by a change: it is undone on all, and the reason told.
#[test]
fn a_change_that_one_front_cannot_go_by_holds_nowhere() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        // Publishers' sessions have a class `extra` in the file of e alone.
        let more = |n: &str| match n {
            "e" => format!("{AGREEMENT}section class extra\naim 800ms\npatience 2s\ningest yes\n"),
            _ => AGREEMENT.to_owned(),
        };
        let fleet = fleet(dir.path(), &nodes, more).await;
        until(&fleet, "all go by version 1", |s| s.len() == NAMES.len() && all_by(s, 1)).await;
        let viewers = Viewers::new(&fleet);
        let first = policy(&fleet, 0).await;
        let extra = "section class extra\naim 800ms\npatience 2s\nsection rules";
        let told =
            ask(fleet.operator_address(0), &first.replacen("section rules", extra, 1), 1, "ana", 1).await;
        assert_eq!(told.0, 409, "{told:?}");
        assert!(told.1.contains("undone") && told.1.contains("extra"), "{told:?}");
        // The same call again has the same answer, and nothing is tried anew.
        let again =
            ask(fleet.operator_address(0), &first.replacen("section rules", extra, 1), 1, "ana", 1).await;
        assert_eq!(again, told);
        until(&fleet, "all go by version 1 as before", |s| all_by(s, 1)).await;
        for i in 0..NAMES.len() {
            assert_eq!(policy(&fleet, i).await, first);
        }
        // The next change goes through.
        let told = ask(fleet.operator_address(2), &with_aim(&first, 700), 1, "bob", 2).await;
        assert_eq!(told.0, 200, "{told:?}");
        let record = viewers.end().await;
        assert!(record.iter().all(|s| s.kind != "fenced"), "nobody was cut off");
        assert!(record.iter().filter(|s| s.status == 201).count() > 50, "viewers were served");
    });
}

/// Without a majority of the voters nothing new is decided and every front fences itself; with it all goes on by itself.
#[test]
fn without_a_majority_nothing_changes_and_with_it_all_go_on() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        let mut fleet = agreed(dir.path(), &nodes).await;
        let first = policy(&fleet, 0).await;
        let playing = post_kept(fleet.viewer_address(3), 1).await;
        fleet.kill(0).await.expect("killed");
        fleet.kill(1).await.expect("killed");
        let path = "/policy?against=1&by=ana&key=7";
        let (status, told) = operator(fleet.operator_address(3), "POST", path, &with_aim(&first, 700)).await;
        assert_eq!(status, 504, "{told}");
        until(&fleet, "those that are left are fenced", |s| s.len() == 3 && s.iter().all(fenced)).await;
        let refused = post(fleet.viewer_address(4), 4, 99).await.expect("an answer");
        assert_eq!((refused.status, refused.kind.as_str()), (503, "fenced"));
        // Who plays, plays on, and can leave.
        assert_eq!(fleet.state(3).await.expect("a state")["playing"], 1);
        let mut c = Connection::open(fleet.viewer_address(3)).await.expect("a connection");
        let left = c.request("DELETE", &playing, &[], b"", SECOND).await.expect("an answer");
        assert_eq!(left.status, 200);
        fleet.start_front(0, Store::Kept).await.expect("started");
        fleet.start_front(1, Store::Kept).await.expect("started");
        let told = ask(fleet.operator_address(3), &with_aim(&first, 700), 1, "ana", 7).await;
        assert_eq!(told.0, 200, "the same call again: {told:?}");
        until(&fleet, "all go by version 2", |s| s.len() == 5 && all_by(s, 2)).await;
    });
}

/// Sets a session up that plays on.
async fn post_kept(at: SocketAddr, n: u64) -> String {
    let mut c = Connection::open(at).await.expect("a connection");
    let path = format!("/whep/t?viewer=v{n}");
    let reply = c.request("POST", &path, &[SDP], offer(n).as_bytes(), PATIENCE).await.expect("an answer");
    assert_eq!(reply.status, 201);
    reply.header("location").expect("a resource").to_owned()
}

/// A voter that lost its store, one that has an older one, and one whose store is torn: each votes again only as another
/// voter, put in its place by the others.
#[test]
fn voters_with_no_store_an_older_or_a_torn_one_come_back_as_others() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        let mut fleet = agreed(dir.path(), &nodes).await;
        fleet.save(1).expect("saved");
        let first = policy(&fleet, 0).await;
        let told = ask(fleet.operator_address(3), &with_aim(&first, 700), 1, "ana", 1).await;
        assert_eq!(told.0, 200, "{told:?}");
        let voters = |s: &[Value]| s.iter().filter(|s| s["agreement"]["votes"] == true).count();
        let config =
            |s: &[Value]| s.iter().filter_map(|s| s["agreement"]["config"].as_u64()).max().unwrap_or(0);
        let mut last = 1;
        for (voter, store) in [(2, Store::None), (1, Store::Older)] {
            fleet.kill(voter).await.expect("killed");
            fleet.start_front(voter, store).await.expect("started");
            until(&fleet, "it votes as another", |s| {
                s.len() == 5 && voters(s) == 3 && config(s) > last && all_by(s, 2)
            })
            .await;
            last = config(&fleet.states().await.expect("states"));
        }
        fleet.kill(0).await.expect("killed");
        let torn = dir.path().join("a.state").join("agreement.redb");
        std::fs::write(&torn, b"no store").expect("written");
        fleet.start_front(0, Store::Kept).await.expect("started");
        until(&fleet, "the torn one votes as another", |s| {
            s.len() == 5 && voters(s) == 3 && config(s) > last && all_by(s, 2)
        })
        .await;
        assert!(
            dir.path().join("a.state").join("agreement.away-1").exists(),
            "the torn store is kept beside"
        );
        let told = ask(fleet.operator_address(4), &with_aim(&first, 600), 2, "ana", 2).await;
        assert_eq!(told.0, 200, "{told:?}");
    });
}

#[test]
fn without_the_section_there_is_nothing_of_it_and_bad_settings_are_told_with_their_line() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        let fleet = fleet(dir.path(), &nodes, |_| String::new()).await;
        until(&fleet, "all know each other", |s| s.len() == NAMES.len() && same_view(s)).await;
        let s = post(fleet.viewer_address(0), 0, 1).await.expect("an answer");
        assert_eq!((s.status, s.entry), (201, None));
        let state = fleet.state(0).await.expect("a state");
        assert!(state.get("agreement").is_none() && state.get("policy").is_none(), "{state}");
        assert!(!dir.path().join("a.state").join("agreement.redb").exists());
        assert_eq!(operator(fleet.operator_address(0), "GET", "/policy", "").await.0, 404);
        let exchange = "section exchange\nlisten 127.0.0.1:0\nkey secret\npeer 127.0.0.1:9\n";
        for (before, bad, told) in [
            (exchange, "section agreement\nvoter a\nvoter b\n", "1, 3, 5 or 7"),
            (exchange, "section agreement\nvoter a\nhold 4500ms\n", "a hold of 5000 ms or more"),
            (exchange, "section agreement\nvoter a\nunknown maybe\n", "refuse or serve"),
            (exchange, "section agreement\nvoter front\n", "state-dir"),
            ("", "section agreement\nvoter a\n", "they need a section exchange"),
        ] {
            let text = settings(4, "") + before;
            let (said, line) = assert_rejected(dir.path(), &text, bad).await;
            let placed = (line..line + 3).any(|l| said.contains(&format!("bad.conf:{l}")));
            assert!(said.contains(told) && placed, "{bad}: {said}");
        }
    });
}
