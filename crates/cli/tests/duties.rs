//! Duties that fronts share, over sockets: probes of nodes and comparisons of session lists. Each duty must
//! be done about once per period by one front, taken over from a front that stops or is killed, and
//! unaffected by a node that does not answer.

mod common;

use common::*;
use pepperhook_front::Front;
use pepperhook_playout::record::{Event, Line, Recorder};
use pepperhook_playout::{Faults, NodeHandle, Options, start};
use pepperhook_settings::Config;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use tokio::time::sleep;

/// Free UDP addresses. Their sockets are closed again, for the fronts to bind them.
fn free_addresses(n: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> =
        (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").expect("cannot bind a socket")).collect();
    sockets.iter().map(|s| s.local_addr().expect("no valid address")).collect()
}

/// Fronts and simulated nodes in the test's process.
struct Fleet {
    /// `None`: stopped or aborted by the test.
    fronts: Vec<Option<Front>>,
    nodes: Vec<NodeHandle>,
    recorder: Recorder,
    /// Addresses of the fronts' exchange.
    exchange_addresses: Vec<SocketAddr>,
}

/// Number of nodes.
const NODES: usize = 4;

impl Fleet {
    async fn new(n: usize, duties: &str) -> Self {
        let recorder = Recorder::in_memory("");
        let options = |i: usize| Options {
            name: format!("n{i}"),
            rack: (i % 2) as u32,
            report_ms: 20,
            ..Options::default()
        };
        let nodes =
            start((0..NODES).map(options).collect(), &recorder).await.expect("cannot start the nodes");
        let mut fleet = Self { fronts: vec![], nodes, recorder, exchange_addresses: free_addresses(n) };
        for i in 0..n {
            let front = fleet.start_front(i, n, duties).await;
            fleet.fronts.push(Some(front));
        }
        let all = |f: &Fleet| f.fronts.iter().flatten().all(|f| f.snapshot().members.len() == n);
        wait_until("all fronts are in each other's view", || all(&fleet)).await;
        fleet
    }

    /// Starts front `i` of `n`; `duties` is appended to its settings.
    async fn start_front(&self, i: usize, n: usize, duties: &str) -> Front {
        let mut text =
            settings(NODES, &format!("fronts {n}")).replace("name front", &format!("name front-{i}"));
        text += &format!(
            "section exchange\nlisten {}\nkey secret\nlook 200ms\nsuspicion 600ms\n",
            self.exchange_addresses[i]
        );
        for j in (0..n).filter(|j| *j != i) {
            text += &format!("peer {}\n", self.exchange_addresses[j]);
        }
        text += duties;
        let config = Config::parse("test.conf", &text).expect("settings");
        let nodes =
            pepperhook_inventory::parse(list(&node_addresses(&self.nodes), 0).as_bytes(), &config.names);
        Front::start(config, 7 + i as u64, nodes.expect("invalid list of nodes"), None)
            .await
            .expect("cannot start the front")
    }

    /// Probes that the nodes have recorded so far.
    fn probes(&self) -> Vec<Line> {
        self.recorder.lines().into_iter().filter(|l| matches!(l.event, Event::Probe { .. })).collect()
    }

    /// Probes per node after the first `skipped` ones, and the names of the fronts that sent them.
    fn probed_since(&self, skipped: usize) -> (BTreeMap<String, usize>, BTreeSet<String>) {
        let (mut nodes, mut fronts) = (BTreeMap::new(), BTreeSet::new());
        for line in self.probes().into_iter().skip(skipped) {
            *nodes.entry(line.source).or_default() += 1;
            if let Event::Probe { front } = line.event {
                fronts.insert(front);
            }
        }
        (nodes, fronts)
    }
}

/// Settings with a probe of each node every 200 ms.
const DUTIES: &str = "section duties\nprobe 200ms\nmost 9\n";

#[test]
fn nodes_are_probed_once_a_period_by_fronts_in_turn_and_all_fronts_get_the_result() {
    local(async {
        let fleet = Fleet::new(3, DUTIES).await;
        let (earlier_probes, begin) = (fleet.probes().len(), tokio::time::Instant::now());
        let all_probed = |f: &Fleet| {
            let (nodes, fronts) = f.probed_since(earlier_probes);
            nodes.len() == NODES && nodes.values().all(|n| *n >= 8) && fronts.len() == 3
        };
        wait_until("all nodes are probed 8 times at least, by all fronts in turn", || all_probed(&fleet))
            .await;
        // If each of the three fronts probed in every round, the count would be three times the rounds. On a
        // busy machine two fronts may act in the same round.
        let rounds = begin.elapsed().as_secs_f64() / 0.2 + 1.0;
        let (nodes, _) = fleet.probed_since(earlier_probes);
        assert!(
            nodes.values().all(|n| *n as f64 <= rounds * 1.6 + 1.0),
            "too many probes in {rounds} rounds: {nodes:?}"
        );
        let snapshot = fleet.fronts[0].as_ref().expect("no such front").snapshot();
        assert_eq!(snapshot.duties.len(), NODES);
        assert!(
            snapshot.duties.iter().all(|d| d.row.owner.is_some() && d.row.done_ago_ms < Some(1_000)),
            "a duty has no owner or was not done within 1 s: {snapshot:?}"
        );
        assert!(snapshot.duties.iter().all(|d| d.node.starts_with('n')));
    });
}

#[test]
fn duties_pass_on_at_once_from_a_front_that_stops_and_after_the_suspicion_from_a_killed_one() {
    local(async {
        let mut fleet = Fleet::new(3, DUTIES).await;
        fleet.fronts[1].take().expect("front 1").stop().await;
        let two_members = |f: &Fleet| f.fronts.iter().flatten().all(|f| f.snapshot().members.len() == 2);
        wait_until("the stopped front has left the view", || two_members(&fleet)).await;
        fleet.fronts[2].take().expect("front 2").abort();
        wait_until("the killed front has left the view", || {
            fleet.fronts[0].as_ref().expect("front 0").snapshot().members.len() == 1
        })
        .await;
        let earlier_probes = fleet.probes().len();
        wait_until("the last front probes all nodes", || fleet.probed_since(earlier_probes).0.len() == NODES)
            .await;
        assert_eq!(fleet.probed_since(earlier_probes).1, BTreeSet::from(["front-0".to_owned()]));
    });
}

#[test]
fn a_node_that_does_not_answer_fails_only_its_own_duty() {
    local(async {
        let fleet = Fleet::new(2, DUTIES).await;
        fleet.nodes[0].set_faults(Faults { hang: 1.0, ..Faults::default() });
        let failed = |f: &Fleet| {
            let failures_of = |f: &Front| f.snapshot().duty_counters.map_or(0, |c| c.failed + c.timed_out);
            f.fronts.iter().flatten().map(failures_of).sum::<u64>()
        };
        wait_until("two duties have failed", || failed(&fleet) >= 2).await;
        let earlier_probes = fleet.probes().len();
        wait_until("all nodes are still probed", || fleet.probed_since(earlier_probes).0.len() == NODES)
            .await;
        // The front has excluded the silent node and places the session elsewhere, at once.
        let mut connection =
            pepperhook_rehearse::wire::Connection::open(fleet.fronts[0].as_ref().expect("front 0").address())
                .await
                .expect("cannot connect");
        send_offer(&mut connection, "v", 1).await;
        let reply =
            connection.read_response(tokio::time::Instant::now() + PATIENCE).await.expect("no answer");
        assert_eq!(reply.status, 201);
        assert_eq!(fleet.nodes[0].state().attempts, 0);
    });
}

#[test]
fn the_decision_module_probes_within_its_limit_and_every_request_is_answered() {
    local(async {
        // The shared duty is not due for an hour. Nodes get only the probes that the decision module
        // requests, no more than one per round.
        let fleet = Fleet::new(1, "section duties\nprobe 1h\nlimit 200ms\nmost 9\nask yes\n").await;
        let front = fleet.fronts[0].as_ref().expect("no such front");
        for n in 0..3 {
            let mut connection =
                pepperhook_rehearse::wire::Connection::open(front.address()).await.expect("cannot connect");
            send_offer(&mut connection, &format!("v{n}"), n).await;
            let reply =
                connection.read_response(tokio::time::Instant::now() + PATIENCE).await.expect("no answer");
            assert_eq!(reply.status, 201, "request {n}");
            // The result of a probe is valid for a second; after that the module requests another.
            sleep(Duration::from_millis(1_100)).await;
        }
        let (nodes, _) = fleet.probed_since(0);
        assert!(
            !nodes.is_empty() && nodes.values().all(|n| *n <= 2),
            "unexpected number of probes: {nodes:?}"
        );
    });
}

#[test]
fn duties_without_an_exchange_are_rejected_with_their_line() {
    let error = Config::parse(
        "test.conf",
        &settings(2, "").replace("section rules", "section duties\nprobe 1s\nsection rules"),
    )
    .expect_err("duties without an exchange were accepted");
    let text = error.to_string();
    assert!(text.contains("section exchange") && text.contains("test.conf:"), "{text}");
    let invalid = settings(2, "")
        + "section exchange\nlisten 127.0.0.1:0\nkey k\nsection duties\nprobe soon\npath whep\n";
    let text = Config::parse("test.conf", &invalid)
        .expect_err("an invalid time and an invalid path were accepted")
        .to_string();
    assert!(text.contains("soon") && text.contains("a path such as /whep"), "{text}");
}

#[test]
fn sessions_that_only_a_front_or_only_a_node_holds_are_found_by_a_shared_duty() {
    local(async {
        let fleet = Fleet::new(2, "section duties\nprobe 1h\nsessions 200ms\nmost 9\n").await;
        let front = fleet.fronts[0].as_ref().expect("front 0");
        let connect = pepperhook_rehearse::wire::Connection::open;
        for n in 0..6 {
            let mut connection = connect(front.address()).await.expect("cannot connect");
            send_offer(&mut connection, &format!("v{n}"), n).await;
            assert_eq!(
                connection
                    .read_response(tokio::time::Instant::now() + PATIENCE)
                    .await
                    .expect("no answer")
                    .status,
                201
            );
        }
        let at_fronts = |f: &Fleet| f.fronts.iter().flatten().map(|f| f.snapshot().playing).sum::<usize>();
        let at_nodes = |f: &Fleet| f.nodes.iter().map(|s| s.state().sessions).sum::<usize>();
        assert_eq!((at_fronts(&fleet), at_nodes(&fleet)), (6, 6));
        let node =
            fleet.nodes.iter().find(|s| s.state().sessions > 1).expect("no node has two of the six sessions");
        let mut connection = connect(node.address).await.expect("cannot connect");
        let list = connection.request("GET", "/sessions", &[], b"", PATIENCE).await.expect("no answer");
        let rows: serde_json::Value = serde_json::from_slice(&list.body).expect("invalid JSON");
        // Not the session that carries the event stream: the front would see its end there.
        let last = rows.as_array().and_then(|r| r.last()).expect("the list of sessions is empty");
        let (path, via) = (last["path"].as_str().expect("no path"), last["via"].as_str().expect("no via"));
        // A session that the front does not know, as after the loss of the node's answer.
        let headers = [SDP, ("via", via)];
        let offer = pepperhook_rehearse::viewers::offer(99);
        let reply = connection
            .request("POST", "/whep/t", &headers, offer.as_bytes(), PATIENCE)
            .await
            .expect("no answer");
        assert_eq!((reply.status, at_nodes(&fleet)), (201, 7));
        wait_until("the session that only the node holds is deleted", || {
            at_nodes(&fleet) == 6 && front.snapshot().orphans_deleted == 1
        })
        .await;
        assert_eq!(at_fronts(&fleet), 6, "another session was deleted too");
        // A session that its node has lost without an event.
        let reply = connection.request("DELETE", path, &[], b"", PATIENCE).await.expect("no answer");
        assert_eq!(reply.status, 200);
        wait_until("the session that only the front holds is ended", || {
            at_fronts(&fleet) == 5 && front.snapshot().sessions_missing == 1
        })
        .await;
        assert_eq!(at_nodes(&fleet), 5);
        let lists =
            fleet.recorder.lines().iter().filter(|l| matches!(l.event, Event::SessionsListed { .. })).count();
        assert!(lists > 0, "no node was asked for its list of sessions");
    });
}
