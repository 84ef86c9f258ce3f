//! Membership of fronts, as seen in the other fronts' logs, and adoption of a dead front's sessions. Runs
//! processes of the command.

use crate::common::{PATIENCE, SDP, local};
use crate::operators::{new_transcript, start_fleet, start_nodes, wait_until};
use crate::script::{Transcript, assert_approved};
use crate::tap::{render_json, render_message, status_line};
use pepperhook_faults::fleet::{Fleet, same_view};
use pepperhook_faults::schedule::Store;
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::Connection;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout for a line in a front's log.
const LOG_TIMEOUT: Duration = Duration::from_secs(30);

/// A log line without time and colours; runs and addresses, which differ between test runs, are replaced.
fn normalize_log_line(line: &str) -> String {
    let text: String = line.split('\u{1b}').map(|p| p.split_once('m').map_or(p, |(_, t)| t)).collect();
    let mut out = Vec::new();
    for word in text.split_whitespace().skip(1) {
        out.push(match word.split_once('=') {
            Some(("run", _)) => "run=(its run)".to_owned(),
            Some(("address", _)) => "address=(its address)".to_owned(),
            _ => word.to_owned(),
        });
    }
    out.join(" ")
}

/// Waits until a front's log has more than `before` lines of this event and records the first of the new
/// lines.
async fn record_log_line(
    fleet: &Fleet,
    transcript: &Transcript,
    front: usize,
    name: &str,
    event: &str,
    before: usize,
) {
    let deadline = Instant::now() + LOG_TIMEOUT;
    loop {
        let log = fleet.log(front).expect("cannot read the front's log");
        if let Some(line) = log.lines().filter(|l| l.contains(event)).nth(before) {
            transcript.record(&format!("front {name}"), "its log", &normalize_log_line(line));
            return;
        }
        assert!(Instant::now() < deadline, "front {name} did not log {event} within {LOG_TIMEOUT:?}: {log}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Number of lines of this event in a front's log.
fn count_log_lines(fleet: &Fleet, front: usize, event: &str) -> usize {
    fleet.log(front).expect("cannot read the front's log").lines().filter(|l| l.contains(event)).count()
}

/// Guards against fronts that miss the failure of another front or its return with a new run.
#[test]
fn a_front_goes_and_comes_back() {
    local(async {
        let (dir, names) = (tempfile::tempdir().expect("cannot create a directory"), ["a", "b", "c"]);
        let nodes = start_nodes().await;
        let mut fleet = start_fleet(dir.path(), &nodes, &names, |_| String::new()).await;
        wait_until(&fleet, "all fronts are members", |s| s.len() == 3 && same_view(s)).await;
        let transcript =
            new_transcript("Three fronts know each other. Front c is killed, and comes back.", &names);
        let ups_before = [count_log_lines(&fleet, 0, "member-up"), count_log_lines(&fleet, 1, "member-up")];
        transcript.step("Front c is killed. The others hear nothing of it any more, and give it up after the suspicion (3 s).");
        fleet.kill(2).await.expect("cannot kill front c");
        record_log_line(&fleet, &transcript, 0, "a", "member-down", 0).await;
        record_log_line(&fleet, &transcript, 1, "b", "member-down", 0).await;
        wait_until(&fleet, "fronts a and b are the only members", |s| s.len() == 2 && same_view(s)).await;
        transcript.step("It is started again, and is there at once, in a run of its own.");
        fleet.start_front(2, Store::Kept).await.expect("cannot start the front");
        record_log_line(&fleet, &transcript, 0, "a", "member-up", ups_before[0]).await;
        record_log_line(&fleet, &transcript, 1, "b", "member-up", ups_before[1]).await;
        wait_until(&fleet, "all fronts are members again", |s| s.len() == 3 && same_view(s)).await;
        assert_approved("members_go_and_come", &transcript.text());
    });
}

/// Guards against sessions that are lost with the front that placed them, or adopted by more than one front.
#[test]
fn a_dead_fronts_session_is_gone_on_with() {
    local(async {
        let (dir, names) = (tempfile::tempdir().expect("cannot create a directory"), ["a", "b", "c", "d"]);
        let nodes = start_nodes().await;
        let replica_section =
            |_: &str| "section replica\ncopies 2\nguards 3\nlease 5s\nlook 250ms\n".to_owned();
        let mut fleet = start_fleet(dir.path(), &nodes, &names, replica_section).await;
        wait_until(&fleet, "all fronts are members", |s| s.len() == 4 && same_view(s)).await;
        let transcript = new_transcript(
            "Each session is copied to two other fronts. Front a dies, and one of them goes on with its session.",
            &names,
        );
        let path = "/whep/t?viewer=anna";
        let headers = [("content-type".to_owned(), "application/sdp".to_owned())];
        transcript.record(
            "viewer",
            "front a",
            &render_message(&format!("POST {path}"), &headers, offer(1).as_bytes()),
        );
        let mut connection =
            Connection::open(fleet.viewer_address(0)).await.expect("cannot connect to the front");
        let reply = connection
            .request("POST", path, &[SDP], offer(1).as_bytes(), PATIENCE)
            .await
            .expect("no answer from the front");
        transcript.record(
            "front a",
            "viewer",
            &render_message(&status_line(reply.status), &reply.headers, &reply.body),
        );
        let session = reply.header("location").expect("the answer has no location").to_owned();
        let total =
            |s: &[Value], field: &str| s.iter().filter_map(|s| s["replica"][field].as_u64()).sum::<u64>();
        let last_states = RefCell::new(Vec::new());
        wait_until(&fleet, "the session has two copies", |s| {
            *last_states.borrow_mut() = s.to_vec();
            total(s, "own") == 1 && total(s, "kept") == 2
        })
        .await;
        let render_totals = |states: &[Value]| {
            render_json(
                &json!({"sessions of their own": total(states, "own"), "gone on with": total(states, "adopted"),
                "copies kept for others": total(states, "kept")}),
            )
        };
        let states = last_states.take();
        transcript.record(
            "all fronts",
            "operator",
            &format!("(what /state shows, added up){}", render_totals(&states)),
        );
        transcript
            .step("Front a is killed. After its lease (5 s) one of the others goes on with the session.");
        fleet.kill(0).await.expect("cannot kill the front");
        wait_until(&fleet, "one front has adopted the session", |s| {
            *last_states.borrow_mut() = s.to_vec();
            total(s, "adopted") == 1 && total(s, "kept") == 2
        })
        .await;
        let states = last_states.take();
        transcript.record(
            "the others",
            "operator",
            &format!("(what /state shows, added up){}", render_totals(&states)),
        );
        let adopter =
            states.iter().position(|s| s["replica"]["adopted"] == 1).expect("no front adopted the session")
                + 1;
        record_log_line(&fleet, &transcript, adopter, "(the one that goes on)", "sessions-adopted", 0).await;
        transcript.step("The front knows the session; it does not act upon it yet (docs/replication.md).");
        transcript.record("viewer", "front (the one that goes on)", &format!("DELETE {session}"));
        let mut connection =
            Connection::open(fleet.viewer_address(adopter)).await.expect("cannot connect to the front");
        let reply = connection
            .request("DELETE", &session, &[], b"", PATIENCE)
            .await
            .expect("no answer from the front");
        let words = render_message(&status_line(reply.status), &reply.headers, &reply.body);
        transcript.record("front (the one that goes on)", "viewer", &words);
        assert_approved("members_adoption", &transcript.text());
    });
}
