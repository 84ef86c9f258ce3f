//! Planned restarts of `pepperhook platform` under load: dozens of processes are stopped at random moments while requests
//! continue to arrive, as the platform's rules for restarts describe. A separate checker examines the traffic on the
//! sockets.

#[path = "stops/checker.rs"]
mod checker;
#[path = "stops/scene.rs"]
mod scene;

use checker::{Answer, NodeEvent, NodeEventKind, Request, Stop, find_violations};
use scene::*;
use std::time::{Duration, Instant};

/// Performs one stop under load, determined by its seed.
fn stop_under_load(seed: u64) -> (Stop, Scene) {
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut scene = Scene::start(seed);
    let began = Instant::now();
    let sigterm_at = began + ms(120 + random.below(180));
    let last_connection_at = sigterm_at + ms(200 + random.below(200));
    let last_request_at = last_connection_at + ms(200);
    // SIGHUP shortly before SIGTERM, or at the same time; the new change log reports a draining node.
    let moves_log = seed % 2 == 0;
    let sighup_at = moves_log.then(|| sigterm_at - ms(random.below(4) * 20));
    let mut viewers = Vec::new();
    for n in 0..7 {
        // Existing connections, with requests until the very end.
        let mut plan = Plan::default();
        let mut at = began + ms(random.below(60));
        while at < last_request_at - ms(5) {
            plan.requests(at, 1 + random.below(3) as usize, random.below(3) == 0 && n % 2 == 0);
            at += ms(25 + random.below(120));
        }
        viewers.push(scene.start_viewer(began, plan));
    }
    for _ in 0..2 {
        // Half a message before SIGTERM, the rest up to 0.2 s after it.
        let mut plan = Plan::default();
        plan.halves(sigterm_at - ms(1 + random.below(60)), sigterm_at + ms(random.below(200)));
        viewers.push(scene.start_viewer(began, plan));
        // Two requests, the second of which is half sent at SIGTERM.
        let mut plan = Plan::default();
        plan.requests(sigterm_at - ms(20 + random.below(20)), 1, false);
        plan.halves(sigterm_at - ms(random.below(10)), sigterm_at + ms(random.below(200)));
        viewers.push(scene.start_viewer(began, plan));
    }
    for _ in 0..8 {
        // Connections that begin after SIGTERM.
        let at =
            sigterm_at + ms(random.below(200 + 1).min((last_connection_at - sigterm_at).as_millis() as u64));
        let mut plan = Plan::default();
        plan.requests(at, 1 + random.below(2) as usize, false);
        plan.requests(at + ms(random.below(200)), 1, false);
        viewers.push(scene.start_viewer(at, plan));
    }
    if let Some(at) = sighup_at {
        sleep_until(at);
        scene.move_change_log();
    }
    sleep_until(sigterm_at);
    scene.front.signal("SIGTERM");
    let (exit_code, ended) = scene.front.wait_for_exit();
    let requests: Vec<Request> =
        viewers.into_iter().flat_map(|v| v.join().expect("the viewer thread panicked")).collect();
    if moves_log {
        assert!(
            scene.second_log_requests.try_recv().is_ok(),
            "seed {seed}: the front did not connect to the second change log"
        );
    }
    let stop = Stop {
        exit_code,
        took: ended - scene.front.signalled(),
        sigkill_after: DEADLINE + ms(700),
        requests,
        node_events: scene.nodes.iter().flat_map(Node::events).collect(),
        draining: scene.draining(),
    };
    (stop, scene)
}

/// Performs a stop and checks it, and for every third seed the next process; returns the number of requests and the time
/// that the front took to end.
fn check_stop(seed: u64) -> (usize, Duration) {
    let (stop, scene) = stop_under_load(seed);
    assert_eq!(find_violations(&stop), Vec::<String>::new(), "violations with seed {seed}");
    let served: Vec<_> = stop.requests.iter().filter(|r| r.answers.iter().any(Answer::is_served)).collect();
    assert!(
        served.len() >= 10,
        "seed {seed}: only {} of {} requests were served, not 10 or more",
        served.len(),
        stop.requests.len()
    );
    if seed % 3 == 0 {
        let sessions: Vec<u64> = served.iter().map(|r| r.id).collect();
        scene.assert_adopted_by_next_process(&sessions);
    }
    (stop.requests.len(), stop.took)
}

#[test]
fn stops_under_load_lose_nothing_and_the_next_process_adopts_the_sessions() {
    let began = Instant::now();
    let workers: Vec<_> = (0..6u64)
        .map(|worker| {
            std::thread::spawn(move || (0..7).map(|n| check_stop(1 + worker + 6 * n)).collect::<Vec<_>>())
        })
        .collect();
    let results: Vec<_> =
        workers.into_iter().flat_map(|worker| worker.join().expect("the worker thread panicked")).collect();
    let requests: usize = results.iter().map(|(count, _)| count).sum();
    let slowest = results.iter().map(|(_, took)| *took).max().unwrap_or_default();
    println!("{} stops, {requests} requests, ended {slowest:?} after SIGTERM at most", results.len());
    assert!(
        began.elapsed() < Duration::from_secs(60),
        "all stops took {:?}, not under 60 s",
        began.elapsed()
    );
}

/// Measures the longest time that a ready thread had to wait for a core.
struct SchedulingDelay(std::sync::Arc<std::sync::Mutex<Duration>>);

impl SchedulingDelay {
    fn new() -> Self {
        let longest = std::sync::Arc::<std::sync::Mutex<Duration>>::default();
        let weak_longest = std::sync::Arc::downgrade(&longest);
        std::thread::spawn(move || {
            while let Some(longest) = weak_longest.upgrade() {
                let began = Instant::now();
                std::thread::sleep(ms(1));
                let delay = began.elapsed().saturating_sub(ms(1));
                let mut longest = longest.lock().expect("the mutex is poisoned");
                *longest = longest.max(delay);
            }
        });
        Self(longest)
    }

    fn longest(&self) -> Duration {
        *self.0.lock().expect("the mutex is poisoned")
    }
}

/// Guards against requests that delay the end beyond SIGKILL: at nodes that do not answer, a request with a longer deadline
/// than its class is answered before SIGKILL may come. A viewer that keeps sending requests does not delay the end; those
/// that cannot be answered in time are refused.
#[test]
fn no_viewer_delays_the_end_and_requests_with_later_deadlines_are_answered_before_it() {
    let mut scene = Scene::start_silent(4_242);
    let began = Instant::now();
    let sigterm_at = began + ms(200);
    let scheduling_delay = SchedulingDelay::new();
    let mut viewers = Vec::new();
    for viewer in 0..4u64 {
        let mut plan = Plan::patient();
        for request in 0..6 {
            plan.requests(began + ms(20 + viewer + 60 * request), 1, false);
        }
        viewers.push(scene.start_viewer(began, plan));
    }
    let mut plan = Plan::patient();
    // Few enough for an unoptimised front on a busy machine, because this test is about the end and not about overload.
    (0..100).for_each(|request| plan.requests(began + ms(10 + 16 * request), 1, false));
    let flood_viewer = scene.start_viewer(began, plan);
    sleep_until(sigterm_at);
    scene.front.signal("SIGTERM");
    let (exit_code, ended) = scene.front.wait_for_exit();
    let took = ended - scene.front.signalled();
    let mut requests: Vec<Request> =
        viewers.into_iter().flat_map(|v| v.join().expect("the viewer thread panicked")).collect();
    let flood = flood_viewer.join().expect("the viewer thread panicked");
    let sent = flood.len();
    // Requests that arrived while the front must accept them need an answer like any other, as do later ones that it read.
    requests.extend(flood.into_iter().filter(|r| r.sent.is_some_and(|at| at < ended - ms(60))));
    assert!(sent > 50, "the flood has only {sent} requests, not more than 50");
    let stop = Stop {
        exit_code,
        took,
        // Delays by the machine's scheduling are not caused by the front.
        sigkill_after: DEADLINE + ms(700) + scheduling_delay.longest(),
        requests,
        node_events: scene.nodes.iter().flat_map(Node::events).collect(),
        draining: None,
    };
    assert_eq!(find_violations(&stop), Vec::<String>::new());
}

/// A stop without violations.
fn valid_stop() -> Stop {
    let sent = Instant::now();
    let request = |id: u64, status: u16| Request {
        id,
        at_most_once: id % 2 == 0,
        patience: ms(500),
        sent: Some(sent),
        answers: vec![Answer { at: sent + ms(20), status, body: answer_body(id) }],
        incomplete_bytes: 0,
    };
    let mut refused = request(3, 503);
    refused.answers[0].body = Vec::new();
    let mut unsent = request(4, 500);
    (unsent.sent, unsent.answers) = (None, Vec::new());
    let event = |id, kind| NodeEvent { at: sent + ms(5), node: 0, id, kind };
    Stop {
        exit_code: Some(0),
        took: ms(900),
        sigkill_after: ms(1_300),
        requests: vec![request(1, 200), request(2, 200), refused, unsent],
        node_events: vec![
            event(1, NodeEventKind::Arrived),
            event(1, NodeEventKind::Served),
            event(2, NodeEventKind::Arrived),
            event(2, NodeEventKind::Served),
        ],
        draining: None,
    }
}

#[test]
fn the_checker_finds_injected_violations() {
    assert_eq!(find_violations(&valid_stop()), Vec::<String>::new());
    let violations = |change: &dyn Fn(&mut Stop)| {
        let mut stop = valid_stop();
        change(&mut stop);
        find_violations(&stop).join("; ")
    };
    let assert_found = |expected: &str, change: &dyn Fn(&mut Stop)| {
        let found = violations(change);
        assert!(found.contains(expected), "the violation {expected:?} was not found, but {found:?}");
    };
    assert_found("has no answer", &|s| s.requests[0].answers.clear());
    assert_found("2 answers", &|s| {
        let again = s.requests[1].answers[0].clone();
        s.requests[1].answers.push(again);
    });
    assert_found("answered 1500 ms", &|s| s.requests[2].answers[0].at += ms(1_480));
    assert_found("not a complete message", &|s| s.requests[0].incomplete_bytes = 7);
    assert_found("no node sent", &|s| s.requests[0].answers[0].body = answer_body(2));
    assert_found("no node sent", &|s| {
        s.node_events.retain(|event| event.id != 2 || event.kind != NodeEventKind::Served);
    });
    assert_found("exit code", &|s| s.exit_code = Some(1));
    assert_found("exit code", &|s| s.exit_code = None);
    assert_found("SIGKILL", &|s| s.took = ms(1_400));
    assert_found("may have run", &|s| {
        s.requests[1].answers[0] =
            Answer { status: 503, body: Vec::new(), ..s.requests[1].answers[0].clone() };
    });
    assert_found("never sent to a node", &|s| s.requests[2].answers[0].status = 500);
    assert_found("released at its node", &|s| {
        let release = NodeEvent { kind: NodeEventKind::Released, ..s.node_events[1].clone() };
        s.node_events.push(release);
    });
    // A session served at two nodes and released at neither is a violation; a cancellation at another node is none.
    let at_other_node = |kind| move |s: &Stop| NodeEvent { kind, node: 1, ..s.node_events[1].clone() };
    assert_found("exists at 2 nodes", &|s| s.node_events.push(at_other_node(NodeEventKind::Served)(s)));
    assert_eq!(violations(&|s| s.node_events.push(at_other_node(NodeEventKind::Released)(s))), "");
    assert_found("sent to draining node", &|s| s.draining = Some((0, s.node_events[0].at - ms(400))));
}
