//! Duties that fronts share, on sockets: who asks nodes, what readings do, what happens at a stop and a drain.

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

fn ports(n: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> = (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    sockets.iter().map(|s| s.local_addr().expect("an address")).collect()
}

struct Fleet {
    fronts: Vec<Option<Front>>,
    nodes: Vec<NodeHandle>,
    recorder: Recorder,
    ports: Vec<SocketAddr>,
}

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
        let nodes = start((0..NODES).map(options).collect(), &recorder).await.expect("nodes");
        let mut fleet = Self { fronts: vec![], nodes, recorder, ports: ports(n) };
        for i in 0..n {
            let front = fleet.front(i, n, duties).await;
            fleet.fronts.push(Some(front));
        }
        let all = |f: &Fleet| f.fronts.iter().flatten().all(|f| f.snapshot().members.len() == n);
        wait_until("all fronts know each other", || all(&fleet)).await;
        fleet
    }

    async fn front(&self, i: usize, n: usize, duties: &str) -> Front {
        let mut text =
            settings(NODES, &format!("fronts {n}")).replace("name front", &format!("name front-{i}"));
        text +=
            &format!("section exchange\nlisten {}\nkey secret\nlook 200ms\nsuspicion 600ms\n", self.ports[i]);
        for j in (0..n).filter(|j| *j != i) {
            text += &format!("peer {}\n", self.ports[j]);
        }
        text += duties;
        let config = Config::parse("test.conf", &text).expect("settings");
        let nodes =
            pepperhook_inventory::parse(list(&node_addresses(&self.nodes), 0).as_bytes(), &config.names);
        Front::start(config, 7 + i as u64, nodes.expect("a list"), None).await.expect("a front")
    }

    fn probes(&self) -> Vec<Line> {
        self.recorder.lines().into_iter().filter(|l| matches!(l.event, Event::Probe { .. })).collect()
    }

    /// Nodes that were asked since so many probes, and by whom.
    fn asked(&self, since: usize) -> (BTreeMap<String, usize>, BTreeSet<String>) {
        let (mut nodes, mut fronts) = (BTreeMap::new(), BTreeSet::new());
        for line in self.probes().into_iter().skip(since) {
            *nodes.entry(line.source).or_default() += 1;
            if let Event::Probe { front } = line.event {
                fronts.insert(front);
            }
        }
        (nodes, fronts)
    }
}

const DUTIES: &str = "section duties\nprobe 200ms\nmost 9\n";

#[test]
fn nodes_are_asked_once_a_period_by_fronts_in_turn_and_all_know_what_one_read() {
    local(async {
        let fleet = Fleet::new(3, DUTIES).await;
        let (since, begin) = (fleet.probes().len(), tokio::time::Instant::now());
        let often = |f: &Fleet| {
            let (nodes, fronts) = f.asked(since);
            nodes.len() == NODES && nodes.values().all(|n| *n >= 8) && fronts.len() == 3
        };
        wait_until("all nodes are asked again and again, by all fronts in turn", || often(&fleet)).await;
        // Three fronts that each asked in every round would come to three times the rounds; a machine that is busy
        // may make two act in one of them.
        let rounds = begin.elapsed().as_secs_f64() / 0.2 + 1.0;
        let (nodes, _) = fleet.asked(since);
        assert!(nodes.values().all(|n| *n as f64 <= rounds * 1.6 + 1.0), "{nodes:?} in {rounds} rounds");
        let shown = fleet.fronts[0].as_ref().expect("a front").snapshot();
        assert_eq!(shown.duties.len(), NODES);
        assert!(
            shown.duties.iter().all(|d| d.row.owner.is_some() && d.row.done_ago_ms < Some(1_000)),
            "{shown:?}"
        );
        assert!(shown.duties.iter().all(|d| d.node.starts_with('n')));
    });
}

#[test]
fn a_front_that_stops_hands_its_duties_over_at_once_and_one_that_is_killed_after_the_suspicion() {
    local(async {
        let mut fleet = Fleet::new(3, DUTIES).await;
        fleet.fronts[1].take().expect("front 1").stop().await;
        let left = |f: &Fleet| f.fronts.iter().flatten().all(|f| f.snapshot().members.len() == 2);
        wait_until("who left is out of the view", || left(&fleet)).await;
        fleet.fronts[2].take().expect("front 2").abort();
        wait_until("who was killed is given up", || {
            fleet.fronts[0].as_ref().expect("front 0").snapshot().members.len() == 1
        })
        .await;
        let since = fleet.probes().len();
        wait_until("the last one asks all nodes", || fleet.asked(since).0.len() == NODES).await;
        assert_eq!(fleet.asked(since).1, BTreeSet::from(["front-0".to_owned()]));
    });
}

#[test]
fn a_node_that_does_not_answer_costs_its_duty_alone() {
    local(async {
        let fleet = Fleet::new(2, DUTIES).await;
        fleet.nodes[0].set_faults(Faults { hang: 1.0, ..Faults::default() });
        let failed = |f: &Fleet| {
            let of = |f: &Front| f.snapshot().duty_counters.map_or(0, |c| c.failed + c.timed_out);
            f.fronts.iter().flatten().map(of).sum::<u64>()
        };
        wait_until("a duty failed", || failed(&fleet) >= 2).await;
        let since = fleet.probes().len();
        wait_until("the others are asked all the same", || fleet.asked(since).0.len() == NODES).await;
        // Whoever barred the silent node places elsewhere, at once.
        let mut c =
            pepperhook_rehearse::wire::Connection::open(fleet.fronts[0].as_ref().expect("front 0").address())
                .await
                .expect("a connection");
        send_offer(&mut c, "v", 1).await;
        let reply = c.read_response(tokio::time::Instant::now() + PATIENCE).await.expect("an answer");
        assert_eq!(reply.status, 201);
        assert_eq!(fleet.nodes[0].state().attempts, 0);
    });
}

#[test]
fn the_module_asks_for_itself_within_the_bound_and_is_answered_in_any_case() {
    local(async {
        // Nothing is due for an hour: what nodes hear is what the module asked for, once a round at the most.
        let fleet = Fleet::new(1, "section duties\nprobe 1h\nlimit 200ms\nmost 9\nask yes\n").await;
        let front = fleet.fronts[0].as_ref().expect("a front");
        for n in 0..3 {
            let mut c =
                pepperhook_rehearse::wire::Connection::open(front.address()).await.expect("connected");
            send_offer(&mut c, &format!("v{n}"), n).await;
            let reply = c.read_response(tokio::time::Instant::now() + PATIENCE).await.expect("an answer");
            assert_eq!(reply.status, 201, "request {n}");
            // A reading is fresh for a second; after that the module wants another.
            sleep(Duration::from_millis(1_100)).await;
        }
        let (nodes, _) = fleet.asked(0);
        assert!(!nodes.is_empty() && nodes.values().all(|n| *n <= 2), "{nodes:?}");
    });
}

#[test]
fn duties_without_an_exchange_are_an_error_with_its_line() {
    let faults = Config::parse(
        "test.conf",
        &settings(2, "").replace("section rules", "section duties\nprobe 1s\nsection rules"),
    )
    .expect_err("no exchange");
    let text = faults.to_string();
    assert!(text.contains("section exchange") && text.contains("test.conf:"), "{text}");
    let wrong = settings(2, "")
        + "section exchange\nlisten 127.0.0.1:0\nkey k\nsection duties\nprobe soon\npath whep\n";
    let text = Config::parse("test.conf", &wrong).expect_err("no time, no path").to_string();
    assert!(text.contains("soon") && text.contains("a path such as /whep"), "{text}");
}

#[test]
fn sessions_that_only_one_side_holds_are_found_by_a_shared_duty() {
    local(async {
        let fleet = Fleet::new(2, "section duties\nprobe 1h\nsessions 200ms\nmost 9\n").await;
        let front = fleet.fronts[0].as_ref().expect("front 0");
        let connect = pepperhook_rehearse::wire::Connection::open;
        for n in 0..6 {
            let mut c = connect(front.address()).await.expect("connected");
            send_offer(&mut c, &format!("v{n}"), n).await;
            assert_eq!(
                c.read_response(tokio::time::Instant::now() + PATIENCE).await.expect("an answer").status,
                201
            );
        }
        let held = |f: &Fleet| f.fronts.iter().flatten().map(|f| f.snapshot().playing).sum::<usize>();
        let there = |f: &Fleet| f.nodes.iter().map(|s| s.state().sessions).sum::<usize>();
        assert_eq!((held(&fleet), there(&fleet)), (6, 6));
        let stand = fleet.nodes.iter().find(|s| s.state().sessions > 1).expect("six on four nodes");
        let mut c = connect(stand.address).await.expect("connected");
        let list = c.request("GET", "/sessions", &[], b"", PATIENCE).await.expect("a list");
        let rows: serde_json::Value = serde_json::from_slice(&list.body).expect("JSON");
        // Not the one that carries the event stream: its end would be seen there.
        let last = rows.as_array().and_then(|r| r.last()).expect("rows");
        let (path, via) = (last["path"].as_str().expect("a path"), last["via"].as_str().expect("a via"));
        // A session that the front never heard of, as when its answer was lost on the way.
        let headers = [SDP, ("via", via)];
        let offer = pepperhook_rehearse::viewers::offer(99);
        let reply =
            c.request("POST", "/whep/t", &headers, offer.as_bytes(), PATIENCE).await.expect("an answer");
        assert_eq!((reply.status, there(&fleet)), (201, 7));
        wait_until("the stray one is deleted", || {
            there(&fleet) == 6 && front.snapshot().orphans_deleted == 1
        })
        .await;
        assert_eq!(held(&fleet), 6, "and nothing else");
        // And one that its node lost without a word.
        let reply = c.request("DELETE", path, &[], b"", PATIENCE).await.expect("an answer");
        assert_eq!(reply.status, 200);
        wait_until("the lost one is ended", || held(&fleet) == 5 && front.snapshot().sessions_missing == 1)
            .await;
        assert_eq!(there(&fleet), 5);
        let lists =
            fleet.recorder.lines().iter().filter(|l| matches!(l.event, Event::SessionsListed { .. })).count();
        assert!(lists > 0);
    });
}
