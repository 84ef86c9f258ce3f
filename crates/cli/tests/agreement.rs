//! Agreement of front processes on the policy, with faults on the links between them. Two fronts must never
//! serve by policies that are not neighbours: a change takes effect at all fronts or at none, even if fronts
//! are cut off, suspended or killed meanwhile. Checked from the answers to viewers and the fronts' consoles
//! and logs.

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

/// Names of the fronts.
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Longest time after the last fault within which the fleet must recover, on a busy machine.
const SETTLED_WITHIN: Duration = Duration::from_secs(20);
/// Settings of the agreement: three voters, holds of 4 s.
const AGREEMENT: &str = "section agreement\nvoter a\nvoter b\nvoter c\nhold 4s\n";

async fn start_nodes() -> Vec<NodeHandle> {
    let options = |i: usize| Options { name: format!("n{i}"), rack: (i % 2) as u32, ..Options::default() };
    start((0..4).map(options).collect(), &Recorder::disabled()).await.expect("cannot start the nodes")
}

/// Settings with capacity for all sessions: no request is refused for lack of it.
fn front_settings(more: &str) -> String {
    settings(4, "")
        .replace("uplink-kb 40000", "uplink-kb 4000000")
        .replace("kb-per-weight 12000", "kb-per-weight 1200000")
        .replace("all-links-kb 48000", "all-links-kb 4800000")
        .replace("patience 4s", "patience 2s")
        + more
}

/// Starts the fronts; `more` gives the text that is appended to the settings of the front with this name.
async fn fleet(dir: &Path, nodes: &[NodeHandle], more: impl Fn(&str) -> String) -> Fleet {
    let front = |n: &&str| Front { name: (*n).to_owned(), settings: front_settings(&more(n)) };
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

/// Starts five fronts that agree on the policy of their settings files.
async fn fleet_with_agreement(dir: &Path, nodes: &[NodeHandle]) -> Fleet {
    let fleet = fleet(dir, nodes, |_| AGREEMENT.into()).await;
    wait_for_states(&fleet, "version 1 is in force at all fronts", |s| {
        s.len() == NAMES.len() && same_view(s) && all_at_version(s, 1)
    })
    .await;
    fleet
}

/// Text for failure messages.
fn describe(state: &Value) -> String {
    format!("\n{} {}", state["front"], state["agreement"])
}

/// Reads all states until the condition holds for them, for up to [`SETTLED_WITHIN`].
async fn wait_for_states(fleet: &Fleet, what: &str, holds: impl Fn(&[Value]) -> bool) -> Duration {
    let elapsed =
        fleet.wait_until(what, SETTLED_WITHIN, describe, holds).await.unwrap_or_else(|e| panic!("{e}"));
    println!("{what}: after {:.1} s", elapsed.as_secs_f64());
    elapsed
}

/// Whether this version is in force and settled at all of these fronts, and none of them is fenced.
fn all_at_version(states: &[Value], version: u64) -> bool {
    states.iter().all(|s| {
        let a = &s["agreement"];
        a["version"] == version && a["step"] == "stands" && a["fenced"] == false
    })
}

fn fenced(state: &Value) -> bool {
    state["agreement"]["fenced"] == true
}

// ---- operators ---------------------------------------------------------------------------------

/// Sends a request to a front's operator address. Returns status and body of the answer.
async fn operator(at: SocketAddr, method: &str, path: &str, body: &str) -> (u16, Value) {
    let mut connection = Connection::open(at).await.expect("cannot connect");
    let key = [("authorization", "Bearer key")];
    let reply =
        connection.request(method, path, &key, body.as_bytes(), SETTLED_WITHIN).await.expect("no answer");
    (reply.status, serde_json::from_slice(&reply.body).expect("invalid JSON"))
}

/// The policy in force at a front, as text.
async fn policy(fleet: &Fleet, i: usize) -> String {
    let (status, body) = operator(fleet.operator_address(i), "GET", "/policy", "").await;
    assert_eq!(status, 200, "{body}");
    body["text"].as_str().expect("no policy text").to_owned()
}

/// Posts a policy and waits until the change is settled or rejected. Returns status and detail of the answer.
async fn change_policy(at: SocketAddr, text: &str, against: u64, by: &str, key: u32) -> (u16, String) {
    let path = format!("/policy?against={against}&by={by}&key={key:x}&wait=yes");
    let (status, answer) = operator(at, "POST", &path, text).await;
    (status, answer["detail"].as_str().unwrap_or("").to_owned())
}

/// The policy with another aim, which identifies the change.
fn with_aim(policy: &str, ms: u64) -> String {
    let line = |l: &str| if l.starts_with("aim ") { format!("aim {ms}ms\n") } else { format!("{l}\n") };
    policy.lines().map(line).collect()
}

// ---- viewers -----------------------------------------------------------------------------------

/// An answer to a viewer's request.
#[derive(Clone, Debug)]
struct Answer {
    /// When the request was sent.
    asked: Instant,
    /// When the answer had been read.
    answered: Instant,
    /// Index of the front in [`NAMES`].
    front: usize,
    status: u16,
    /// Last part of the problem type; empty for a success.
    kind: String,
    /// Entry of the agreement's log that put the policy into force by which the front answered.
    entry: Option<u64>,
}

fn answer_from(asked: Instant, front: usize, reply: &HttpResponse) -> Answer {
    let problem: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let entry = reply.header("pepperhook-policy").and_then(|v| v.parse().ok());
    Answer {
        asked,
        answered: Instant::now(),
        front,
        status: reply.status,
        kind: problem["type"].as_str().unwrap_or("").rsplit([':', '/']).next().unwrap_or("").to_owned(),
        entry: entry.or_else(|| problem["policy"].as_u64()),
    }
}

/// Requests a session and deletes it at once. Returns the answer, if there was one.
async fn set_up_and_delete(at: SocketAddr, front: usize, n: u64) -> Option<Answer> {
    let asked = Instant::now();
    let mut connection = Connection::open(at).await.ok()?;
    let path = format!("/whep/t?viewer=v{n}");
    let reply = connection.request("POST", &path, &[SDP], offer(n).as_bytes(), PATIENCE).await.ok()?;
    let s = answer_from(asked, front, &reply);
    if let Some(resource) = reply.header("location").filter(|_| s.status == 201) {
        let _ = connection.request("DELETE", resource, &[], b"", SECOND).await;
    }
    Some(s)
}

/// Simulated viewers: at each front one after the other until the end of the test.
struct Viewers {
    record: Rc<RefCell<Vec<Answer>>>,
    stop: Rc<Cell<bool>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Viewers {
    fn new(fleet: &Fleet) -> Self {
        let (record, stop) = (Rc::<RefCell<Vec<Answer>>>::default(), Rc::new(Cell::new(false)));
        let task = |i: usize| {
            let (record, stop, at) = (record.clone(), stop.clone(), fleet.viewer_address(i));
            tokio::task::spawn_local(async move {
                for n in 0.. {
                    if stop.get() {
                        return;
                    }
                    if let Some(s) = set_up_and_delete(at, i, i as u64 * 1_000_000 + n).await {
                        record.borrow_mut().push(s);
                    }
                    sleep(Duration::from_millis(30)).await;
                }
            })
        };
        Self { tasks: (0..NAMES.len()).map(task).collect(), record, stop }
    }

    async fn end(self) -> Vec<Answer> {
        self.stop.set(true);
        for task in self.tasks {
            task.await.expect("the viewers' task panicked");
        }
        self.record.take()
    }
}

/// Rank of the policy that each entry put into force, read from the fronts' logs. A settled version has the
/// even rank of twice its number; the first step towards it, which combines the tighter values of the two
/// neighbouring versions, has the odd rank below.
fn policy_ranks(fleet: &Fleet) -> BTreeMap<u64, u64> {
    let mut ranks = BTreeMap::new();
    for i in 0..NAMES.len() {
        for l in fleet.log(i).expect("cannot read the log").lines().filter(|l| l.contains("policy-in-force"))
        {
            let plain: String = l.split('\u{1b}').map(|p| p.split_once('m').map_or(p, |(_, t)| t)).collect();
            let field = |name: &str| {
                let rest = plain.split_once(&format!("{name}="))?.1;
                Some(rest.split_whitespace().next()?.trim_matches('"').to_owned())
            };
            let number = |name: &str| field(name).and_then(|v| v.parse::<u64>().ok());
            let (Some(version), Some(entry), Some(step)) =
                (number("version"), number("entry"), field("step"))
            else {
                panic!("line of the log without version, entry or step: {plain}");
            };
            let rank = if step == "first" { 2 * version - 1 } else { 2 * version };
            let known = ranks.insert(entry, rank);
            assert!(
                known.is_none_or(|k| k == rank),
                "entry {entry} has two policies, with ranks {known:?} and {rank}"
            );
        }
    }
    ranks
}

/// Violations in a record. If an answer had been read before another request was sent, the other answer's
/// policy must not be two or more ranks lower. Every answer's entry must be a decided one.
fn violations(record: &[Answer], ranks: &BTreeMap<u64, u64>) -> Vec<String> {
    let mut out = Vec::new();
    let mut answers: Vec<(&Answer, u64)> = Vec::new();
    for s in record {
        match s.entry.map(|e| ranks.get(&e)) {
            Some(Some(rank)) => answers.push((s, *rank)),
            Some(None) => out.push(format!("answered by an entry that was not decided: {s:?}")),
            None => {}
        }
    }
    for (a, a_rank) in &answers {
        for (b, b_rank) in &answers {
            if a_rank + 2 <= *b_rank && a.asked > b.answered {
                out.push(format!("answered by an older policy: {a:?}, requested after {b:?}"));
            }
        }
    }
    out
}

#[test]
fn the_check_detects_an_answer_by_an_old_policy_after_one_by_a_new_policy() {
    let t = Instant::now();
    let at = |ms: u64| t + Duration::from_millis(ms);
    let answer = |asked: u64, answered: u64, entry| {
        let (asked, answered, kind) = (at(asked), at(answered), String::new());
        Answer { asked, answered, front: 0, status: 201, kind, entry: Some(entry) }
    };
    // Entry 1: version 1. Entry 2: the first step towards version 2. Entries 3 and 4: version 2.
    let ranks = BTreeMap::from([(1, 2), (2, 3), (3, 4), (4, 4)]);
    assert!(
        violations(
            &[answer(0, 5, 1), answer(6, 9, 2), answer(10, 12, 1), answer(13, 15, 3), answer(14, 20, 2)],
            &ranks
        )
        .is_empty()
    );
    assert!(
        violations(&[answer(0, 5, 3), answer(4, 9, 1)], &ranks).is_empty(),
        "a request sent before the other was answered counts as a violation"
    );
    assert_eq!(violations(&[answer(0, 5, 3), answer(6, 9, 1)], &ranks).len(), 1);
    assert_eq!(violations(&[answer(0, 5, 9)], &ranks).len(), 1, "an undecided entry is not reported");
}

// ---- changes under faults ----------------------------------------------------------------------

/// One change while a front is cut off, one after the leader was killed, one while a front is suspended, with
/// viewers at all fronts throughout.
#[test]
fn a_change_takes_effect_at_all_fronts_despite_a_cut_a_kill_and_a_suspension() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        let mut fleet = fleet_with_agreement(dir.path(), &nodes).await;
        let viewers = Viewers::new(&fleet);
        let first = policy(&fleet, 0).await;
        let answer = change_policy(fleet.operator_address(3), &with_aim(&first, 700), 1, "ana", 1).await;
        assert_eq!(answer.0, 200, "{answer:?}");
        wait_for_states(&fleet, "version 2 is in force at all fronts", |s| all_at_version(s, 2)).await;

        // All datagrams from e are lost, and all to e except those from d. The change waits until e's hold
        // has expired, and e refuses requests.
        fleet.net().add_fault_now("e", "*", false, Kind::Cut).expect("no such link");
        for other in ["a", "b", "c"] {
            fleet.net().add_fault_now(other, "e", false, Kind::Cut).expect("no such link");
        }
        let answer = change_policy(fleet.operator_address(0), &with_aim(&first, 600), 2, "ana", 2).await;
        assert_eq!(answer.0, 200, "{answer:?}");
        let e = fleet.state(4).await.expect("cannot read the front's state");
        assert!(fenced(&e), "e was cut off and is not fenced: {}", describe(&e));
        fleet.net().heal();
        wait_for_states(&fleet, "version 3 is in force at all fronts", |s| {
            all_at_version(s, 3) && same_view(s)
        })
        .await;

        // The leader is killed, and a change is posted at once.
        let leader =
            fleet.state(0).await.expect("cannot read the front's state")["agreement"]["leader"].as_u64();
        let states = fleet.states().await.expect("cannot read the fronts' states");
        let own = |s: &Value| {
            let rows = s["members"].as_array()?;
            rows.iter().find(|m| m["own"] == true)?["front"].as_u64()
        };
        let leader = states.iter().position(|s| own(s) == leader).expect("no front leads");
        fleet.kill(leader).await.expect("cannot kill the process");
        let answer = change_policy(fleet.operator_address(3), &with_aim(&first, 500), 3, "bob", 3).await;
        assert_eq!(answer.0, 200, "{answer:?}");
        wait_for_states(&fleet, "version 4 is in force at the other fronts", |s| {
            s.len() == 4 && all_at_version(s, 4)
        })
        .await;
        fleet.start_front(leader, Store::Kept).await.expect("cannot start the front");
        wait_for_states(&fleet, "version 4 is in force at all fronts", |s| {
            s.len() == 5 && all_at_version(s, 4)
        })
        .await;

        // A front is suspended, and resumed after the change.
        fleet.stop(3).expect("cannot suspend the front");
        let answer = change_policy(fleet.operator_address(4), &with_aim(&first, 400), 4, "ana", 4).await;
        assert_eq!(answer.0, 200, "{answer:?}");
        fleet.resume(3).expect("cannot resume the front");
        wait_for_states(&fleet, "version 5 is in force at all fronts", |s| {
            s.len() == 5 && all_at_version(s, 5)
        })
        .await;

        let record = viewers.end().await;
        let ranks = policy_ranks(&fleet);
        let bad = violations(&record, &ranks);
        assert!(
            bad.is_empty(),
            "{} violations in {} answers, the first ones: {:#?}",
            bad.len(),
            record.len(),
            &bad[..bad.len().min(5)]
        );
        let by: std::collections::BTreeSet<u64> = record.iter().filter_map(|s| s.entry).collect();
        let refused = record.iter().filter(|s| s.kind == "fenced").count();
        let elsewhere = record.iter().filter(|s| s.kind == "fenced" && !(3..=4).contains(&s.front)).count();
        println!("{} answers by {} entries, {refused} refused as fenced", record.len(), by.len());
        assert!(by.len() >= 5, "expected answers by 5 entries at least: {by:?}");
        assert!(refused > 0, "the front that was cut off refused no request as fenced");
        assert!(record.iter().all(|s| s.kind != "fenced" || s.status == 503));
        // A front that starts is fenced until it has received the policy in force; the other fronts never
        // are.
        let others = record.iter().filter(|s| s.kind == "fenced" && s.front < 3 && s.front != leader).count();
        assert!(
            others == 0 || elsewhere == 0 || others < refused,
            "{others} of {refused} fenced answers came from fronts without faults"
        );
    });
}

/// One front cannot apply a change: the change is undone at all fronts, and the answer names the reason.
#[test]
fn a_change_that_one_front_cannot_apply_takes_effect_nowhere() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        // Only the settings of e have a class `extra` for publishers' sessions.
        let more = |n: &str| match n {
            "e" => format!("{AGREEMENT}section class extra\naim 800ms\npatience 2s\ningest yes\n"),
            _ => AGREEMENT.to_owned(),
        };
        let fleet = fleet(dir.path(), &nodes, more).await;
        wait_for_states(&fleet, "version 1 is in force at all fronts", |s| {
            s.len() == NAMES.len() && all_at_version(s, 1)
        })
        .await;
        let viewers = Viewers::new(&fleet);
        let first = policy(&fleet, 0).await;
        let extra = "section class extra\naim 800ms\npatience 2s\nsection rules";
        let answer =
            change_policy(fleet.operator_address(0), &first.replacen("section rules", extra, 1), 1, "ana", 1)
                .await;
        assert_eq!(answer.0, 409, "{answer:?}");
        assert!(answer.1.contains("undone") && answer.1.contains("extra"), "{answer:?}");
        // The same request again gets the same answer, without another trial.
        let again =
            change_policy(fleet.operator_address(0), &first.replacen("section rules", extra, 1), 1, "ana", 1)
                .await;
        assert_eq!(again, answer);
        wait_for_states(&fleet, "version 1 is still in force at all fronts", |s| all_at_version(s, 1)).await;
        for i in 0..NAMES.len() {
            assert_eq!(policy(&fleet, i).await, first);
        }
        // The next change succeeds.
        let answer = change_policy(fleet.operator_address(2), &with_aim(&first, 700), 1, "bob", 2).await;
        assert_eq!(answer.0, 200, "{answer:?}");
        let record = viewers.end().await;
        assert!(
            record.iter().all(|s| s.kind != "fenced"),
            "a front without faults refused a request as fenced"
        );
        assert!(record.iter().filter(|s| s.status == 201).count() > 50, "50 or fewer set-ups succeeded");
    });
}

/// Without a majority of the voters nothing is decided and every front fences itself. Once the majority is
/// back, the fleet recovers without intervention.
#[test]
fn without_a_majority_nothing_changes_and_with_one_the_fleet_recovers() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        let mut fleet = fleet_with_agreement(dir.path(), &nodes).await;
        let first = policy(&fleet, 0).await;
        let playing = set_up_session(fleet.viewer_address(3), 1).await;
        fleet.kill(0).await.expect("cannot kill the process");
        fleet.kill(1).await.expect("cannot kill the process");
        let path = "/policy?against=1&by=ana&key=7";
        let (status, answer) =
            operator(fleet.operator_address(3), "POST", path, &with_aim(&first, 700)).await;
        assert_eq!(status, 504, "{answer}");
        wait_for_states(&fleet, "the remaining fronts are fenced", |s| s.len() == 3 && s.iter().all(fenced))
            .await;
        let refused = set_up_and_delete(fleet.viewer_address(4), 4, 99).await.expect("no answer");
        assert_eq!((refused.status, refused.kind.as_str()), (503, "fenced"));
        // Sessions that play continue, and can be ended.
        assert_eq!(fleet.state(3).await.expect("cannot read the front's state")["playing"], 1);
        let mut connection = Connection::open(fleet.viewer_address(3)).await.expect("cannot connect");
        let left = connection.request("DELETE", &playing, &[], b"", SECOND).await.expect("no answer");
        assert_eq!(left.status, 200);
        fleet.start_front(0, Store::Kept).await.expect("cannot start the front");
        fleet.start_front(1, Store::Kept).await.expect("cannot start the front");
        let answer = change_policy(fleet.operator_address(3), &with_aim(&first, 700), 1, "ana", 7).await;
        assert_eq!(answer.0, 200, "the same request again: {answer:?}");
        wait_for_states(&fleet, "version 2 is in force at all fronts", |s| {
            s.len() == 5 && all_at_version(s, 2)
        })
        .await;
    });
}

/// Sets up a session that keeps playing; returns its URL.
async fn set_up_session(at: SocketAddr, n: u64) -> String {
    let mut connection = Connection::open(at).await.expect("cannot connect");
    let path = format!("/whep/t?viewer=v{n}");
    let reply =
        connection.request("POST", &path, &[SDP], offer(n).as_bytes(), PATIENCE).await.expect("no answer");
    assert_eq!(reply.status, 201);
    reply.header("location").expect("no Location header").to_owned()
}

/// A voter whose store is missing, older or damaged could break a promise that it has forgotten. It must vote
/// again only with a new identity, with which the other voters replace the former one.
#[test]
fn voters_with_a_missing_older_or_damaged_store_return_with_a_new_identity() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        let mut fleet = fleet_with_agreement(dir.path(), &nodes).await;
        fleet.save(1).expect("cannot copy the store");
        let first = policy(&fleet, 0).await;
        let answer = change_policy(fleet.operator_address(3), &with_aim(&first, 700), 1, "ana", 1).await;
        assert_eq!(answer.0, 200, "{answer:?}");
        let voters = |s: &[Value]| s.iter().filter(|s| s["agreement"]["votes"] == true).count();
        let config =
            |s: &[Value]| s.iter().filter_map(|s| s["agreement"]["config"].as_u64()).max().unwrap_or(0);
        let mut last = 1;
        for (voter, store) in [(2, Store::None), (1, Store::Older)] {
            fleet.kill(voter).await.expect("cannot kill the process");
            fleet.start_front(voter, store).await.expect("cannot start the front");
            wait_for_states(&fleet, "the restarted voter votes with a new identity", |s| {
                s.len() == 5 && voters(s) == 3 && config(s) > last && all_at_version(s, 2)
            })
            .await;
            last = config(&fleet.states().await.expect("cannot read the fronts' states"));
        }
        fleet.kill(0).await.expect("cannot kill the process");
        let damaged = dir.path().join("a.state").join("agreement.redb");
        std::fs::write(&damaged, b"no store").expect("cannot write the file");
        fleet.start_front(0, Store::Kept).await.expect("cannot start the front");
        wait_for_states(&fleet, "the voter with the damaged store votes with a new identity", |s| {
            s.len() == 5 && voters(s) == 3 && config(s) > last && all_at_version(s, 2)
        })
        .await;
        assert!(
            dir.path().join("a.state").join("agreement.away-1").exists(),
            "the damaged store was not kept as agreement.away-1"
        );
        let answer = change_policy(fleet.operator_address(4), &with_aim(&first, 600), 2, "ana", 2).await;
        assert_eq!(answer.0, 200, "{answer:?}");
    });
}

#[test]
fn without_the_section_there_is_no_agreement_and_invalid_settings_are_rejected_with_their_line() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        let fleet = fleet(dir.path(), &nodes, |_| String::new()).await;
        wait_for_states(&fleet, "all fronts are in each other's view", |s| {
            s.len() == NAMES.len() && same_view(s)
        })
        .await;
        let s = set_up_and_delete(fleet.viewer_address(0), 0, 1).await.expect("no answer");
        assert_eq!((s.status, s.entry), (201, None));
        let state = fleet.state(0).await.expect("cannot read the front's state");
        assert!(state.get("agreement").is_none() && state.get("policy").is_none(), "{state}");
        assert!(!dir.path().join("a.state").join("agreement.redb").exists());
        assert_eq!(operator(fleet.operator_address(0), "GET", "/policy", "").await.0, 404);
        let exchange = "section exchange\nlisten 127.0.0.1:0\nkey secret\npeer 127.0.0.1:9\n";
        for (before, bad, expected) in [
            (exchange, "section agreement\nvoter a\nvoter b\n", "1, 3, 5 or 7"),
            (exchange, "section agreement\nvoter a\nhold 4500ms\n", "a hold of 5000 ms or more"),
            (exchange, "section agreement\nvoter a\nunknown maybe\n", "refuse or serve"),
            (exchange, "section agreement\nvoter front\n", "state-dir"),
            ("", "section agreement\nvoter a\n", "they need a section exchange"),
        ] {
            let text = settings(4, "") + before;
            let (errors, line) = assert_rejected(dir.path(), &text, bad).await;
            let is_located = (line..line + 3).any(|l| errors.contains(&format!("bad.conf:{l}")));
            assert!(errors.contains(expected) && is_located, "{bad}: {errors}");
        }
    });
}
