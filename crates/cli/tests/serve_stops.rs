//! `pepperhook serve` as a process that is stopped, some of the time killed within its stop, while clients set sessions
//! up, ask again, change and end them. Each request that was taken before the stop is answered by a process that is not
//! killed, and no session has two set-ups, whatever happens.

mod common;

use common::*;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pepperhook_playout::record::{Event, Line, Recorder};
use pepperhook_playout::{Faults, NodeHandle, Options, start};
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::{Connection, HttpResponse, ReadError};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::process::Child;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Seeds in CI. `PEPPERHOOK_STOP_SEEDS` sets another number.
const SEEDS: u64 = 24;
/// Stops that run beside each other.
const AT_ONCE: u64 = 6;
const NODES: usize = 3;
const VIEWERS: u64 = 8;
/// What a viewer does with its session, in this order.
const CHANGES: [&str; 2] = ["PATCH", "DELETE"];
/// Time of a stop at most: the longest patience and two seconds.
const STOP_LIMIT: Duration = Duration::from_secs(6);
/// Requests are written up to this long before the signal, so that they are taken by then.
const TAKEN_MARGIN_MS: u64 = 100;

/// What happens in one run.
struct Schedule {
    stop_at_ms: u64,
    /// Time from the stop to a kill.
    killed_after_ms: Option<u64>,
    /// For each viewer: when it asks first, and when it asks again on another connection.
    viewers: Vec<(u64, u64)>,
    faults: Faults,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let stop_at_ms = rng.random_range(500..900);
        let last_ms = stop_at_ms - TAKEN_MARGIN_MS;
        Self {
            stop_at_ms,
            killed_after_ms: (seed % 4 == 0).then(|| rng.random_range(0..600)),
            viewers: (0..VIEWERS)
                .map(|_| (rng.random_range(0..last_ms), rng.random_range(0..stop_at_ms + 400)))
                .collect(),
            faults: Faults {
                slow_ms: rng.random_range(20..1_200),
                slow_patch_ms: rng.random_range(0..900),
                ..Faults::default()
            },
        }
    }
}

/// An answer, or why there is none, and when that was known.
#[derive(Debug)]
struct Answer {
    reply: Result<HttpResponse, ReadError>,
    at: Instant,
}

/// The answers to one viewer's requests.
#[derive(Debug)]
struct Answers {
    first: Answer,
    again: Answer,
    /// Of the PATCH and the DELETE of a session that played in time.
    later: Vec<Result<HttpResponse, ReadError>>,
}

async fn set_up_at(front: SocketAddr, viewer: u64, at: Instant) -> (Option<Connection>, Answer) {
    sleep_until(at).await;
    let Ok(mut connection) = Connection::open(front).await else {
        return (None, Answer { reply: Err(ReadError::Closed), at: Instant::now() });
    };
    let path = format!("/whep/t?viewer=v{viewer}");
    let reply = connection.request("POST", &path, &[SDP], offer(viewer).as_bytes(), STOP_LIMIT).await;
    (Some(connection), Answer { reply, at: Instant::now() })
}

/// One viewer: it asks for a session, asks again on another connection, and if it plays in time, sends a PATCH and then a
/// DELETE before the stop.
async fn viewer(
    front: SocketAddr,
    number: u64,
    (first_at, again_at): (Instant, Instant),
    stop_at: Instant,
) -> Answers {
    let again = spawn_local(set_up_at(front, number, again_at));
    let (connection, first) = set_up_at(front, number, first_at).await;
    let mut later = Vec::new();
    let session = first.reply.as_ref().ok().filter(|r| r.status == 201).and_then(|r| r.header("location"));
    if let (Some(session), Some(mut connection)) = (session.map(str::to_owned), connection) {
        for method in CHANGES {
            if Instant::now() + Duration::from_millis(TAKEN_MARGIN_MS) > stop_at {
                break;
            }
            let fields = [FRAGMENT, ("if-match", "*")];
            let (fields, body): (&[_], &[u8]) =
                if method == "PATCH" { (&fields, b"a=mid:0\r\n") } else { (&[], b"") };
            later.push(connection.request(method, &session, fields, body, STOP_LIMIT).await);
        }
    }
    Answers { first, again: again.await.expect("the task panicked").1, later }
}

fn send(process: &Child, signal: Signal) {
    // One that was killed may have been waited for already.
    if let Some(pid) = process.id() {
        kill(Pid::from_raw(i32::try_from(pid).expect("not a number")), signal)
            .expect("cannot send the signal");
    }
}

async fn start_nodes(recorder: &Recorder) -> Vec<NodeHandle> {
    let options = |i: usize| Options { name: format!("n{i}"), rack: (i % 2) as u32, ..Options::default() };
    start((0..NODES).map(options).collect(), recorder).await.expect("cannot start the nodes")
}

/// Asserts that no session had two set-ups out at once, and that none succeeded while the session of an earlier one stood.
/// A session that a node set up after its attempt had timed out is deleted, and the next attempt begins meanwhile. Those in
/// `deleted` are over as soon as their viewers' DELETE is answered, which is before their nodes know.
fn assert_no_second_set_up(seed: u64, deleted: &BTreeSet<String>, lines: Vec<Line>) {
    let mut out: BTreeMap<(String, u64), String> = BTreeMap::new();
    let mut standing: Vec<String> = Vec::new();
    for line in lines {
        match line.event {
            Event::Attempt { attempt, origin, .. } => {
                assert!(!out.values().any(|o| *o == origin), "seed {seed}: two attempts for {origin}");
                out.insert((line.source, attempt), origin);
            }
            Event::AttemptAnswered { attempt, status } => {
                let origin = out.remove(&(line.source, attempt)).filter(|_| status == 201);
                if let Some(origin) = origin {
                    let is_second = standing.contains(&origin) && !deleted.contains(&origin);
                    assert!(!is_second, "seed {seed}: two sessions for {origin}");
                    standing.push(origin);
                }
            }
            Event::AttemptClosed { attempt } => drop(out.remove(&(line.source, attempt))),
            Event::SessionEnded { origin, .. } => standing.retain(|o| *o != origin),
            _ => {}
        }
    }
}

async fn run(seed: u64) {
    let schedule = Schedule::new(seed);
    let dir = tempfile::tempdir().expect("cannot create a folder");
    let recorder = Recorder::in_memory("");
    let nodes = start_nodes(&recorder).await;
    nodes.iter().for_each(|node| node.set_faults(schedule.faults));
    std::fs::write(dir.path().join("f.conf"), settings(NODES, "")).expect("cannot write the file");
    std::fs::write(dir.path().join("nodes.csv"), list(&node_addresses(&nodes), 0))
        .expect("cannot write the file");
    let (mut process, ready) = spawn(&["serve", "-c", "f.conf"], dir.path()).await;
    let front = address(&ready);
    let began = Instant::now();
    let at = |ms| began + Duration::from_millis(ms);
    let stop_at = at(schedule.stop_at_ms);
    let viewers: Vec<_> = (0..)
        .zip(&schedule.viewers)
        .map(|(n, (first, again))| spawn_local(viewer(front, n, (at(*first), at(*again)), stop_at)))
        .collect();
    sleep_until(stop_at).await;
    send(&process, Signal::SIGTERM);
    if let Some(ms) = schedule.killed_after_ms {
        sleep(Duration::from_millis(ms)).await;
        send(&process, Signal::SIGKILL);
    }
    let ended = timeout(STOP_LIMIT, process.wait()).await;
    let status = ended.unwrap_or_else(|_| panic!("seed {seed}: the stop takes too long")).expect("no status");
    let mut deleted = BTreeSet::new();
    for (n, viewer) in (0u64..).zip(viewers) {
        let answers = viewer.await.expect("the task panicked");
        if answers.later.len() == CHANGES.len() {
            deleted.insert(format!("viewer {n}"));
        }
        if schedule.killed_after_ms.is_none() {
            assert_eq!(status.code(), Some(0), "seed {seed}");
            assert_answered(seed, n, &answers);
        }
    }
    assert_no_second_set_up(seed, &deleted, recorder.lines());
}

/// Asserts that the requests taken before the stop were answered, and that none was refused, as harmless to repeat, while
/// a copy of it was being served.
fn assert_answered(seed: u64, viewer: u64, answers: &Answers) {
    let first =
        answers.first.reply.as_ref().unwrap_or_else(|e| panic!("seed {seed}, viewer {viewer}: {e:?}"));
    for later in &answers.later {
        assert!(later.is_ok(), "seed {seed}, viewer {viewer}: a change was not answered: {later:?}");
    }
    let refused = answers.again.reply.as_ref().is_ok_and(|again| again.status == 503);
    let is_premature = refused && first.status == 201 && answers.again.at < answers.first.at;
    assert!(!is_premature, "seed {seed}, viewer {viewer}: refused while its copy was served: {answers:?}");
}

/// Guards against requests that a stop leaves without an answer, against copies that are refused while their first one is
/// out, and against a session that is set up twice.
#[test]
fn a_stop_answers_what_was_taken_and_sets_nothing_up_twice() {
    let seeds = std::env::var("PEPPERHOOK_STOP_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS);
    local(async move {
        let mut first = 0;
        while first < seeds {
            let last = seeds.min(first + AT_ONCE);
            let mut runs = JoinSet::new();
            (first..last).for_each(|seed| drop(runs.spawn_local(run(seed))));
            while let Some(done) = runs.join_next().await {
                done.unwrap_or_else(|e| std::panic::resume_unwind(e.into_panic()));
            }
            first = last;
        }
    });
}
