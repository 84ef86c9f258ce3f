//! Fronts that come and go, told from what the others write to their logs, and a front's sessions that others go on with.

use crate::common::{PATIENCE, SDP, local};
use crate::operators::{fleet, nodes, script, until};
use crate::script::{Transcript, approved};
use crate::tap::{message, shown, status};
use pepperhook_faults::fleet::{Fleet, same_view};
use pepperhook_faults::schedule::Store;
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::Connection;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A line of a log without its time and colours, runs and addresses told in words.
fn plain(line: &str) -> String {
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

/// Waits for a line of this event in a front's log after so many lines of such; tells it.
async fn logs(fleet: &Fleet, script: &Transcript, i: usize, name: &str, event: &str, before: usize) {
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let log = fleet.log(i).expect("a log");
        if let Some(line) = log.lines().filter(|l| l.contains(event)).nth(before) {
            script.says(&format!("front {name}"), "its log", &plain(line));
            return;
        }
        assert!(Instant::now() < end, "{name} never logs {event}: {log}");
        sleep(Duration::from_millis(50)).await;
    }
}

fn lines(fleet: &Fleet, i: usize, event: &str) -> usize {
    fleet.log(i).expect("a log").lines().filter(|l| l.contains(event)).count()
}

#[test]
fn a_front_goes_and_comes_back() {
    local(async {
        let (dir, names) = (tempfile::tempdir().expect("a folder"), ["a", "b", "c"]);
        let stands = nodes().await;
        let mut fleet = fleet(dir.path(), &stands, &names, |_| String::new()).await;
        until(&fleet, "all know each other", |s| s.len() == 3 && same_view(s)).await;
        let script = script("Three fronts know each other. Front c is killed, and comes back.", &names);
        let ups = [lines(&fleet, 0, "member-up"), lines(&fleet, 1, "member-up")];
        script.step("Front c is killed. The others hear nothing of it any more, and give it up after the suspicion (3 s).");
        fleet.kill(2).await.expect("killed");
        logs(&fleet, &script, 0, "a", "member-down", 0).await;
        logs(&fleet, &script, 1, "b", "member-down", 0).await;
        until(&fleet, "two are left", |s| s.len() == 2 && same_view(s)).await;
        script.step("It is started again, and is there at once, in a run of its own.");
        fleet.start_front(2, Store::Kept).await.expect("started");
        logs(&fleet, &script, 0, "a", "member-up", ups[0]).await;
        logs(&fleet, &script, 1, "b", "member-up", ups[1]).await;
        until(&fleet, "all know each other again", |s| s.len() == 3 && same_view(s)).await;
        approved("members_go_and_come", &script.text());
    });
}

#[test]
fn a_dead_fronts_session_is_gone_on_with() {
    local(async {
        let (dir, names) = (tempfile::tempdir().expect("a folder"), ["a", "b", "c", "d"]);
        let stands = nodes().await;
        let more = |_: &str| "section replica\ncopies 2\nguards 3\nlease 5s\nlook 250ms\n".to_owned();
        let mut fleet = fleet(dir.path(), &stands, &names, more).await;
        until(&fleet, "all know each other", |s| s.len() == 4 && same_view(s)).await;
        let script = script(
            "Each session is copied to two other fronts. Front a dies, and one of them goes on with its session.",
            &names,
        );
        let path = "/whep/t?viewer=anna";
        let headers = [("content-type".to_owned(), "application/sdp".to_owned())];
        script.says("viewer", "front a", &message(&format!("POST {path}"), &headers, offer(1).as_bytes()));
        let mut c = Connection::open(fleet.viewer_address(0)).await.expect("a connection");
        let reply = c.request("POST", path, &[SDP], offer(1).as_bytes(), PATIENCE).await.expect("an answer");
        script.says("front a", "viewer", &message(&status(reply.status), &reply.headers, &reply.body));
        let session = reply.header("location").expect("a location").to_owned();
        let sum =
            |s: &[Value], field: &str| s.iter().filter_map(|s| s["replica"][field].as_u64()).sum::<u64>();
        let last = RefCell::new(Vec::new());
        until(&fleet, "it has its copies", |s| {
            *last.borrow_mut() = s.to_vec();
            sum(s, "own") == 1 && sum(s, "kept") == 2
        })
        .await;
        let all = |states: &[Value]| {
            shown(
                &json!({"sessions of their own": sum(states, "own"), "gone on with": sum(states, "adopted"),
                "copies kept for others": sum(states, "kept")}),
            )
        };
        let states = last.take();
        script.says("all fronts", "operator", &format!("(what /state shows, added up){}", all(&states)));
        script.step("Front a is killed. After its lease (5 s) one of the others goes on with the session.");
        fleet.kill(0).await.expect("killed");
        until(&fleet, "it is gone on with", |s| {
            *last.borrow_mut() = s.to_vec();
            sum(s, "adopted") == 1 && sum(s, "kept") == 2
        })
        .await;
        let states = last.take();
        script.says("the others", "operator", &format!("(what /state shows, added up){}", all(&states)));
        let heir = states.iter().position(|s| s["replica"]["adopted"] == 1).expect("one") + 1;
        logs(&fleet, &script, heir, "(the one that goes on)", "sessions-adopted", 0).await;
        script.step("The front knows the session; it does not act upon it yet (docs/replication.md).");
        script.says("viewer", "front (the one that goes on)", &format!("DELETE {session}"));
        let mut c = Connection::open(fleet.viewer_address(heir)).await.expect("a connection");
        let reply = c.request("DELETE", &session, &[], b"", PATIENCE).await.expect("an answer");
        let words = message(&status(reply.status), &reply.headers, &reply.body);
        script.says("front (the one that goes on)", "viewer", &words);
        approved("members_adoption", &script.text());
    });
}
