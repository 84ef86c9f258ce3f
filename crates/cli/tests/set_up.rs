//! Failing set-ups, each caused over sockets. Each request must get exactly one answer, at most one attempt
//! may be in flight per viewer, and no session may be left at a node that the front does not hold.

mod common;

use common::*;
use pepperhook_playout::record::Event;
use pepperhook_playout::{Faults, Options, start};
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::{Connection, ReadError};
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn slow_set_ups(ms: u64) -> Faults {
    Faults { slow_ms: ms, ..Faults::default() }
}

#[test]
fn one_whep_session_is_placed_played_and_ended() {
    local(async {
        let cluster = Cluster::new(3).await;
        let (mut connection, session) = cluster.set_up_session("v", 1).await;
        assert_eq!((cluster.sessions(), cluster.attempts()), (1, 1));
        let reply = connection.request("DELETE", &session, &[], b"", SECOND).await.expect("no answer");
        assert_eq!(reply.status, 200);
        wait_until("the session has ended at the node", || cluster.sessions() == 0).await;
        let again = connection.request("DELETE", &session, &[], b"", SECOND).await.expect("no answer");
        assert_eq!((again.status, problem_type(&again).as_str()), (404, "session"));
    });
}

#[test]
fn the_chosen_node_drains_mid_setup() {
    local(async {
        let cluster = Cluster::new(3).await;
        cluster.set_faults(slow_set_ups(80));
        let mut connection = cluster.connect().await;
        send_offer(&mut connection, "v", 1).await;
        wait_until("the first attempt has reached a node", || cluster.attempts() == 1).await;
        let chosen = cluster.nodes.iter().find(|s| s.state().attempts == 1).expect("no node matches");
        chosen.set_faults(Faults { drain: true, ..slow_set_ups(80) });
        let reply = connection.read_response(Instant::now() + PATIENCE).await.expect("no answer");
        assert_eq!((reply.status, cluster.attempts()), (201, 2));
        assert_eq!(chosen.state().sessions, 0);
        cluster.assert_one_attempt_in_flight();
    });
}

#[test]
fn a_retry_while_the_first_attempt_is_in_flight_gets_the_same_session() {
    local(async {
        let cluster = Cluster::new(3).await;
        cluster.set_faults(slow_set_ups(100));
        let (mut first, mut second) = (cluster.connect().await, cluster.connect().await);
        send_offer(&mut first, "v", 1).await;
        wait_until("the first attempt has reached a node", || cluster.attempts() == 1).await;
        send_offer(&mut second, "v", 1).await;
        let deadline = Instant::now() + PATIENCE;
        let a = first.read_response(deadline).await.expect("no answer");
        let b = second.read_response(deadline).await.expect("no answer");
        assert_eq!((a.status, b.status), (201, 201));
        assert_eq!((a.header("location"), &a.body), (b.header("location"), &b.body));
        assert_eq!((cluster.attempts(), cluster.sessions()), (1, 1));
        let quiet = Instant::now() + Duration::from_millis(50);
        assert_eq!(
            (first.read_unsolicited(quiet).await, second.read_unsolicited(quiet).await),
            (0, 0),
            "a connection got more than one answer"
        );
    });
}

#[test]
fn a_new_offer_while_the_first_attempt_is_in_flight_supersedes_it() {
    local(async {
        let cluster = Cluster::new(3).await;
        cluster.set_faults(slow_set_ups(150));
        let (mut first, mut second) = (cluster.connect().await, cluster.connect().await);
        send_offer(&mut first, "v", 1).await;
        wait_until("the first attempt has reached a node", || cluster.attempts() == 1).await;
        send_offer(&mut second, "v", 2).await;
        let deadline = Instant::now() + PATIENCE;
        let a = first.read_response(deadline).await.expect("no answer");
        assert_eq!((a.status, problem_type(&a).as_str()), (409, "superseded"));
        assert_eq!(second.read_response(deadline).await.expect("no answer").status, 201);
        assert_eq!(cluster.sessions(), 1, "the superseded session is still at its node");
        // The second attempt must begin after the first was closed, although their offers differ.
        let lines = cluster.traffic();
        let begun: Vec<usize> = lines
            .iter()
            .enumerate()
            .filter(|(_, l)| matches!(l.event, Event::Attempt { .. }))
            .map(|(i, _)| i)
            .collect();
        let closed = lines
            .iter()
            .position(|l| matches!(l.event, Event::AttemptClosed { .. }))
            .expect("no attempt was closed");
        assert!(begun[0] < closed && closed < begun[1]);
    });
}

#[test]
fn a_201_just_after_the_time_out_is_deleted_and_another_node_plays() {
    local(async {
        // An attempt times out after 400 ms, half the aim. The node ignores the half-close and answers within
        // close-grace.
        let cluster = Cluster::with_options(2, "close-grace 300ms", |o| o.set_up_ms = 0.0).await;
        cluster.set_faults(Faults { slow_ms: 450, ignore_half_close: true, ..Faults::default() });
        let mut connection = cluster.connect().await;
        send_offer(&mut connection, "v", 1).await;
        wait_until("the first attempt has reached a node", || cluster.attempts() == 1).await;
        let chosen = cluster.nodes.iter().position(|s| s.state().attempts == 1).expect("no node matches");
        cluster.nodes[1 - chosen].set_faults(Faults::default());
        let reply = connection.read_response(Instant::now() + PATIENCE).await.expect("no answer");
        assert_eq!(reply.status, 201);
        wait_until("the late session has been deleted", || cluster.nodes[chosen].state().sessions == 0).await;
        assert_eq!(cluster.nodes[1 - chosen].state().sessions, 1);
        let deleted = |l: &pepperhook_playout::record::Line| matches!(&l.event, Event::SessionEnded { reason, .. } if reason == "delete");
        assert_eq!(
            cluster.traffic().iter().filter(|l| deleted(l)).count(),
            1,
            "the late session was not ended by the front's DELETE"
        );
        assert_eq!(cluster.front.snapshot().late_answers, 1);
        assert_eq!(
            connection.read_unsolicited(Instant::now() + Duration::from_millis(100)).await,
            0,
            "the viewer got data after its answer"
        );
    });
}

#[test]
fn a_201_long_after_the_time_out_arrives_at_a_reset_connection() {
    local(async {
        let cluster = Cluster::with_options(2, "", |o| o.set_up_ms = 0.0).await;
        cluster.set_faults(Faults { slow_ms: 700, ignore_half_close: true, ..Faults::default() });
        let mut connection = cluster.connect().await;
        send_offer(&mut connection, "v", 1).await;
        wait_until("the first attempt has reached a node", || cluster.attempts() == 1).await;
        let chosen = cluster.nodes.iter().position(|s| s.state().attempts == 1).expect("no node matches");
        cluster.nodes[1 - chosen].set_faults(Faults::default());
        assert_eq!(connection.read_response(Instant::now() + PATIENCE).await.expect("no answer").status, 201);
        let ended = || {
            cluster
                .traffic()
                .iter()
                .any(|l| matches!(&l.event, Event::SessionEnded { reason, .. } if reason == "undelivered"))
        };
        wait_until("the node has found its answer undelivered", ended).await;
        assert_eq!((cluster.nodes[chosen].state().sessions, cluster.sessions()), (0, 1));
    });
}

#[test]
fn a_node_that_accepts_the_connection_and_never_answers_costs_half_the_aim() {
    local(async {
        let cluster = Cluster::new(2).await;
        cluster.set_faults(Faults { hang: 1.0, ..Faults::default() });
        let begin = Instant::now();
        let mut connection = cluster.connect().await;
        send_offer(&mut connection, "v", 1).await;
        wait_until("the first attempt has reached a node", || cluster.attempts() == 1).await;
        let silent = cluster.nodes.iter().position(|s| s.state().attempts == 1).expect("no node matches");
        cluster.nodes[1 - silent].set_faults(Faults::default());
        assert_eq!(connection.read_response(Instant::now() + PATIENCE).await.expect("no answer").status, 201);
        let elapsed = begin.elapsed();
        assert!(elapsed >= Duration::from_millis(400) && elapsed < 2 * SECOND, "{elapsed:?}");
        cluster.assert_one_attempt_in_flight();
    });
}

#[test]
fn when_every_node_is_silent_the_request_fails_before_patience_ends() {
    local(async {
        let cluster = Cluster::new(2).await;
        cluster.set_faults(Faults { hang: 1.0, ..Faults::default() });
        let begin = Instant::now();
        let (_, reply) = cluster.request_session("v", 1).await;
        let reply = reply.expect("no answer");
        assert!(matches!(reply.status, 503 | 504), "{}", reply.status);
        assert!(begin.elapsed() < PATIENCE);
        assert_eq!(cluster.front.snapshot().overdue_answers, 0);
        cluster.assert_one_attempt_in_flight();
    });
}

#[test]
fn half_an_answer_then_a_reset_is_no_answer() {
    local(async {
        let cluster = Cluster::new(2).await;
        cluster.set_faults(Faults { truncate: 1.0, ..Faults::default() });
        let (_, reply) = cluster.request_session("v", 1).await;
        assert!(matches!(reply.expect("no answer").status, 503 | 504));
        assert!(
            cluster.attempts() >= 2,
            "only {} attempts: the other node with the title was not tried",
            cluster.attempts()
        );
        cluster.nodes[0].set_faults(Faults::default());
        // The decision module avoids a node with an error for two seconds.
        sleep(Duration::from_millis(2_100)).await;
        cluster.nodes[1].set_faults(Faults::default());
        cluster.set_up_session("v", 2).await;
        cluster.assert_one_attempt_in_flight();
    });
}

#[test]
fn viewers_of_a_crashed_node_get_an_event_from_the_front() {
    local(async {
        let cluster = Cluster::new(2).await;
        let (_c, session) = cluster.set_up_session("v", 1).await;
        let mut events = cluster.connect().await;
        let path = format!("{session}/events");
        let created = events
            .request("POST", &path, &[("content-type", "application/json")], b"[\"inactive\"]", SECOND)
            .await;
        let created = created.expect("no answer");
        assert_eq!(created.status, 201);
        let stream = created.header("location").expect("no Location header").to_owned();
        let opened = events.request("GET", &stream, &[], b"", SECOND).await.expect("no answer");
        assert_eq!(opened.header("content-type"), Some("text/event-stream"));
        let dead = cluster.nodes.iter().position(|s| s.state().sessions == 1).expect("no node matches");
        cluster.nodes[dead].crash();
        let crashed_at = Instant::now();
        let waited = events.wait_for_any(&["event: inactive"], crashed_at + END_NOTICE_LIMIT).await;
        assert_eq!(waited, Ok(0), "not within {END_NOTICE_LIMIT:?}");
        let mut connection = cluster.connect().await;
        assert_eq!(
            connection.request("DELETE", &session, &[], b"", SECOND).await.expect("no answer").status,
            404
        );
        cluster.set_up_session("v", 2).await;
        assert_eq!(cluster.nodes[1 - dead].state().sessions, 1);
    });
}

#[test]
fn a_session_that_the_node_ends_is_ended_at_the_front() {
    local(async {
        let cluster = Cluster::new(1).await;
        let (_c, session) = cluster.set_up_session("v", 1).await;
        let mut connection = cluster.connect().await;
        cluster.nodes[0].end_sessions();
        wait_until("the front has ended the session", || cluster.front.snapshot().playing == 0).await;
        assert_eq!(
            connection
                .request("PATCH", &session, &[FRAGMENT, ("if-match", "*")], b"a=mid:0\r\n", SECOND)
                .await
                .expect("no answer")
                .status,
            404
        );
    });
}

#[test]
fn viewers_who_hang_up_around_the_answer_leave_no_session_behind() {
    local(async {
        let cluster = Cluster::new(3).await;
        cluster.set_faults(slow_set_ups(5));
        // The node answers after 12 to 27 ms; the connections are closed at moments spread around that.
        for i in 0..60u64 {
            let mut connection = cluster.connect().await;
            send_offer(&mut connection, &format!("v{i}"), i).await;
            sleep(Duration::from_micros(600 * i)).await;
            drop(connection);
        }
        // The front ends only sessions whose answer was not read. A viewer that read its answer and then hung
        // up, without a DELETE or a further request, looks to the front like one that plays.
        wait_until("no request waits and no attempt is open", || {
            cluster.front.snapshot().waiting == 0 && cluster.front.snapshot().attempts_open == 0
        })
        .await;
        wait_until("nodes and front hold the same number of sessions", || {
            cluster.sessions() == cluster.front.snapshot().playing
        })
        .await;
        assert!(cluster.front.snapshot().disconnected > 0, "no viewer disconnected before its answer");
        cluster.assert_one_attempt_in_flight();
    });
}

#[test]
fn the_attempt_of_a_viewer_that_closes_mid_setup_is_cancelled_at_the_node() {
    local(async {
        let cluster = Cluster::new(2).await;
        cluster.set_faults(slow_set_ups(300));
        let mut connection = cluster.connect().await;
        send_offer(&mut connection, "v", 1).await;
        wait_until("the first attempt has reached a node", || cluster.attempts() == 1).await;
        drop(connection);
        wait_until("the attempt has been closed", || {
            cluster.traffic().iter().any(|l| matches!(l.event, Event::AttemptClosed { .. }))
        })
        .await;
        assert_eq!((cluster.sessions(), cluster.attempts()), (0, 1));
        assert_eq!(cluster.front.snapshot().disconnected, 1);
    });
}

#[test]
fn deletes_that_race_each_other_and_the_node_end_a_session_once() {
    local(async {
        let cluster = Cluster::new(1).await;
        for i in 0..20 {
            let (mut a, session) = cluster.set_up_session("v", i).await;
            let mut b = cluster.connect().await;
            a.send("DELETE", &session, &[], b"").await.expect("cannot send");
            b.send("DELETE", &session, &[], b"").await.expect("cannot send");
            if i % 2 == 0 {
                cluster.nodes[0].end_sessions();
            }
            let deadline = Instant::now() + SECOND;
            let mut statuses = [
                a.read_response(deadline).await.expect("no answer").status,
                b.read_response(deadline).await.expect("no answer").status,
            ];
            statuses.sort_unstable();
            assert_eq!(statuses, [200, 404]);
        }
        wait_until("the node holds no session", || cluster.sessions() == 0).await;
        let ends = cluster.traffic().iter().filter(|l| matches!(l.event, Event::SessionEnded { .. })).count();
        assert_eq!(ends, 20);
    });
}

#[test]
fn a_delete_right_after_the_answer_ends_the_session() {
    local(async {
        let cluster = Cluster::new(2).await;
        // The same viewer sends its next request as soon as it has its answer, while the front still sends
        // the node the session's rung.
        for i in 0..20u64 {
            let (mut connection, session) = cluster.set_up_session("v", i).await;
            let reply = connection.request("DELETE", &session, &[], b"", SECOND).await.expect("no answer");
            assert_eq!(reply.status, 200);
        }
        wait_until("the nodes hold no session", || cluster.sessions() == 0).await;
    });
}

#[test]
fn a_cold_node_used_by_many_fronts_at_once_is_not_overloaded() {
    local(async {
        let recorder = pepperhook_playout::record::Recorder::in_memory("");
        let cold = Options { name: "cold".into(), cold_s: 12.0, streams: 24.0, ..Options::default() };
        let warm =
            Options { name: "warm".into(), rack: 1, link_kb: 80_000.0, streams: 400.0, ..Options::default() };
        let nodes = start(vec![cold, warm], &recorder).await.expect("cannot start the nodes");
        let started = pepperhook_playout::record::unix_nanos() / 1_000_000;
        let all = node_addresses(&nodes);
        let text = list(&all[..1], started) + &format!("warm,{},z,1,std,1,ready,0\n", all[1].1);
        let settings = settings(2, "fronts 6").replace("streams 60", "streams 24");
        let mut fronts = Vec::new();
        for _ in 0..6 {
            fronts.push(front_with(&settings, &text).await);
        }
        let mut tasks = Vec::new();
        for i in 0..120u64 {
            let address = fronts[i as usize % 6].address();
            tasks.push(tokio::task::spawn_local(async move {
                let mut connection = Connection::open(address).await?;
                connection.send("POST", &format!("/whep/t?viewer=v{i}"), &[SDP], offer(i).as_bytes()).await?;
                connection.read_response(Instant::now() + PATIENCE).await
            }));
            sleep(Duration::from_millis(5)).await;
        }
        let mut answered = 0;
        for task in tasks {
            answered += usize::from(task.await.expect("the task panicked").is_ok());
        }
        assert_eq!(answered, 120);
        assert!(
            !nodes[0].state().overloaded,
            "{} set-ups overloaded the cold node",
            nodes[0].state().attempts
        );
        assert!(nodes[1].state().attempts > 0);
    });
}

#[test]
fn a_publisher_is_placed_and_its_live_title_watched() {
    local(async {
        let cluster = Cluster::new(2).await;
        let request = |kind: &'static str, viewer: &'static str, body: String| {
            let cluster = &cluster;
            async move {
                let mut connection = cluster.connect().await;
                let path = format!("/{kind}/live?viewer={viewer}");
                connection.request("POST", &path, &[SDP], body.as_bytes(), PATIENCE).await.expect("no answer")
            }
        };
        let early = request("whep", "w", offer(1)).await;
        assert_eq!((early.status, early.header("retry-after")), (409, Some("1")));
        let publish = offer(2).replace("recvonly", "sendonly");
        let published = request("whip", "p", publish).await;
        assert_eq!(published.status, 201);
        assert!(String::from_utf8_lossy(&published.body).contains("a=recvonly"));
        assert_eq!(request("whep", "w", offer(3)).await.status, 201);
        assert_eq!(request("whip", "q", offer(4).replace("recvonly", "sendonly")).await.status, 409);
        let mut connection = cluster.connect().await;
        let url = published.header("location").expect("no Location header");
        assert_eq!(connection.request("DELETE", url, &[], b"", SECOND).await.expect("no answer").status, 200);
        assert_eq!(request("whep", "x", offer(5)).await.status, 409);
    });
}

#[test]
fn a_move_is_announced_by_an_event_and_a_patch_meanwhile_is_a_conflict() {
    local(async {
        // Uplinks of 8 MB/s. The capacity of the fuller rack's uplink then falls until its demand is 1.3
        // times as high.
        let cluster = Cluster::with_options(4, "", |o| {
            (o.uplink_kb, o.load_event_delay_ms, o.load_event_period_ms) = (8_000.0, 50, 300);
        })
        .await;
        let mut sessions = Vec::new();
        for i in 0..16u64 {
            let (_c, session) = cluster.set_up_session(&format!("v{i}&top=1"), i).await;
            let mut events = cluster.connect().await;
            let path = format!("{session}/events/stream");
            assert_eq!(events.request("GET", &path, &[], b"", SECOND).await.expect("no answer").status, 200);
            sessions.push((session, events));
        }
        // Sessions are moved only after at least eight seconds without changes.
        sleep(Duration::from_millis(8_200)).await;
        let demand_kb =
            |rack: usize| cluster.nodes.iter().skip(rack).step_by(2).map(|s| s.state().asked_kb).sum::<f64>();
        let fuller = usize::from(demand_kb(1) > demand_kb(0));
        for s in cluster.nodes.iter().skip(fuller).step_by(2) {
            s.set_faults(Faults { uplink_left: demand_kb(fuller) / 8_000.0 / 1.3, ..Faults::default() });
        }
        let mut waits = tokio::task::JoinSet::new();
        for (session, mut events) in sessions {
            waits.spawn_local(async move {
                let event = "event: urn:pepperhook:whep:event:move";
                (session, events.wait_for_any(&[event], Instant::now() + Duration::from_secs(20)).await)
            });
        }
        let moved = loop {
            let (session, waited): (String, Result<usize, ReadError>) =
                waits.join_next().await.expect("no session was moved").expect("the task panicked");
            if waited == Ok(0) {
                break session;
            }
        };
        let mut connection = cluster.connect().await;
        let reply = connection
            .request("PATCH", &moved, &[FRAGMENT, ("if-match", "*")], b"a=mid:0\r\n", SECOND)
            .await
            .expect("no answer");
        assert_eq!((reply.status, problem_type(&reply).as_str()), (409, "moved"));
        assert!(cluster.front.snapshot().moves > 0);
    });
}

#[test]
fn a_malformed_answer_counts_as_the_nodes_error_and_leaves_no_session_there() {
    local(async {
        let cluster = Cluster::new(3).await;
        cluster.set_faults(Faults { malformed_answer: 1.0, ..Faults::default() });
        let (_c, reply) = cluster.request_session("v", 1).await;
        // Three attempts, each counted as an error of its node. Repeating such a request is harmless, so the
        // final answer is a refusal with 503.
        assert_eq!(reply.expect("no answer").status, 503);
        assert_eq!(cluster.attempts(), 3);
        wait_until("no session is left at a node", || cluster.sessions() == 0).await;
        cluster.assert_one_attempt_in_flight();
        cluster.nodes[1].set_faults(Faults::default());
        // Nodes with an error are avoided for two seconds while another node works; none is excluded
        // altogether.
        let (_c, reply) = cluster.request_session("w", 2).await;
        assert_eq!(reply.expect("no answer").status, 201);
        wait_until("the only session is at the working node", || {
            cluster.sessions() == 1 && cluster.nodes[1].state().sessions == 1
        })
        .await;
    });
}
