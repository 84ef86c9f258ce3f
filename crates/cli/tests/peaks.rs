//! Announced peaks over sockets: the operator interface, the command, the exchange between fronts, restarts.
//! Capacity that is reserved for a peak must be reserved at all fronts, survive a crash, and be released at
//! the peak's end or when it is cancelled.

mod common;

use common::*;
use pepperhook_exchange::Keys;
use pepperhook_peaks::Announcement;
use pepperhook_playout::record::{Recorder, unix_nanos};
use pepperhook_playout::{NodeHandle, Options, start};
use pepperhook_rehearse::wire::Connection;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{Instant, sleep};

/// Header with the operators' key.
const KEY: (&str, &str) = ("authorization", "Bearer key");

async fn start_nodes() -> Vec<NodeHandle> {
    let options = |i: usize| Options { name: format!("n{i}"), rack: (i % 2) as u32, ..Options::default() };
    start((0..4).map(options).collect(), &Recorder::disabled()).await.expect("cannot start the nodes")
}

/// Free UDP addresses. Their sockets are closed again, for the fronts to bind them.
fn free_addresses(n: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> =
        (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").expect("cannot bind a socket")).collect();
    sockets.iter().map(|s| s.local_addr().expect("no valid address")).collect()
}

/// Section `exchange` of the front with index `own`; `more` is added to it.
fn exchange_section(own: usize, addresses: &[SocketAddr], more: &str) -> String {
    let mut out = format!("section exchange\nlisten {}\nperiod 100ms\nkey secret\n{more}", addresses[own]);
    addresses
        .iter()
        .enumerate()
        .filter(|(i, _)| *i != own)
        .for_each(|(_, peer)| out += &format!("peer {peer}\n"));
    out
}

/// Announcement of a peak of title `t` in zone 0.
fn announcement(name: &str, viewers: u32, start_in_ms: u64, lasts_ms: u64) -> Announcement {
    let start_ms = unix_nanos() / 1_000_000 + start_in_ms;
    Announcement {
        name: name.into(),
        titles: vec!["t".into()],
        class: "replay".into(),
        viewers: vec![(0, viewers)],
        start_ms,
        end_ms: start_ms + lasts_ms,
        lead_ms: 60_000,
        rung: 1,
        cancelled: false,
    }
}

/// Sends a request to a front's operator address.
async fn operator_request(
    admin: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> pepperhook_rehearse::wire::HttpResponse {
    let mut connection = Connection::open(admin).await.expect("cannot connect");
    connection.request(method, path, &[KEY], body, PATIENCE).await.expect("no answer")
}

/// Posts a new announcement or puts a changed one.
async fn announce(
    admin: SocketAddr,
    method: &str,
    a: &Announcement,
) -> pepperhook_rehearse::wire::HttpResponse {
    let path = if method == "POST" { "/peaks".to_owned() } else { format!("/peaks/{}", a.name) };
    operator_request(admin, method, &path, &serde_json::to_vec(a).expect("invalid JSON")).await
}

/// Capacity that a front reserves for all peaks, in kB.
async fn reserved_kb(admin: SocketAddr) -> f64 {
    let reply = operator_request(admin, "GET", "/peaks", b"").await;
    let v: serde_json::Value = serde_json::from_slice(&reply.body).expect("invalid JSON");
    v["holds"].as_array().expect("not a list").iter().filter_map(|h| h["held_kb"].as_f64()).sum()
}

/// Waits until the condition holds for a front's reserved capacity in kB. Returns the elapsed seconds.
async fn wait_for_reserved(admin: SocketAddr, what: &str, fits: impl Fn(f64) -> bool) -> f64 {
    let begin = Instant::now();
    while !fits(reserved_kb(admin).await) {
        assert!(begin.elapsed() < 2 * PATIENCE, "not within {:?}: {what}", 2 * PATIENCE);
        sleep(Duration::from_millis(20)).await;
    }
    begin.elapsed().as_secs_f64()
}

/// Starts three fronts that exchange announcements; `loss` is added to their section `exchange`.
async fn start_three_fronts(loss: &str) -> (Vec<pepperhook_front::Front>, Vec<NodeHandle>) {
    let (nodes, addresses) = (start_nodes().await, free_addresses(3));
    let mut fronts = Vec::new();
    for i in 0..3 {
        let name = format!("name front-{i}\n");
        let text =
            settings(4, "fronts 3").replace("name front\n", &name) + &exchange_section(i, &addresses, loss);
        fronts.push(front_with(&text, &list(&node_addresses(&nodes), 0)).await);
    }
    (fronts, nodes)
}

#[test]
fn a_peak_announced_at_one_front_is_reserved_at_all_and_released_when_it_is_cancelled() {
    local(async {
        for loss in ["", "loss 0.5\n"] {
            let (fronts, _nodes) = start_three_fronts(loss).await;
            let created = announce(fronts[0].admin(), "POST", &announcement("cup", 20, 30_000, 60_000)).await;
            assert_eq!(created.status, 201, "{}", String::from_utf8_lossy(&created.body));
            for f in &fronts {
                wait_for_reserved(f.admin(), "the peak is reserved", |kb| (kb - 7_000.0).abs() < 200.0).await;
            }
            let again = announce(fronts[2].admin(), "PUT", &announcement("cup", 10, 30_000, 60_000)).await;
            assert_eq!(again.status, 200);
            for f in &fronts {
                wait_for_reserved(f.admin(), "the amended peak is reserved", |kb| {
                    (kb - 3_500.0).abs() < 200.0
                })
                .await;
            }
            assert_eq!(operator_request(fronts[1].admin(), "DELETE", "/peaks/cup", b"").await.status, 200);
            for f in &fronts {
                wait_for_reserved(f.admin(), "the cancelled peak is released", |kb| kb == 0.0).await;
            }
            assert_eq!(operator_request(fronts[0].admin(), "DELETE", "/peaks/cup", b"").await.status, 404);
        }
    });
}

#[test]
fn the_announcement_reaches_some_fronts_and_the_cancellation_only_the_others() {
    local(async {
        // Front 2 is isolated by a loss of 1 in its exchange.
        let (nodes, addresses) = (start_nodes().await, free_addresses(3));
        let mut fronts = Vec::new();
        for i in 0..3 {
            let loss = if i == 2 { "loss 1\n" } else { "" };
            let name = format!("name front-{i}\n");
            let text = settings(4, "fronts 3").replace("name front\n", &name)
                + &exchange_section(i, &addresses, loss);
            fronts.push(front_with(&text, &list(&node_addresses(&nodes), 0)).await);
        }
        let a = announcement("cup", 20, 1_000, 2_500);
        assert_eq!(announce(fronts[0].admin(), "POST", &a).await.status, 201);
        wait_for_reserved(fronts[1].admin(), "the peak is reserved at the second front", |kb| kb > 1_000.0)
            .await;
        // The third front receives datagrams, but those that it sends are lost: it may have the announcement,
        // and can neither pull entries nor push its own.
        let third = announce(fronts[2].admin(), "POST", &a).await.status;
        assert!(third == 201 || third == 409);
        assert_eq!(operator_request(fronts[2].admin(), "DELETE", "/peaks/cup", b"").await.status, 200);
        wait_for_reserved(fronts[2].admin(), "the cancelled peak is released at the third front", |kb| {
            kb == 0.0
        })
        .await;
        assert!(
            reserved_kb(fronts[0].admin()).await > 1_000.0,
            "the cancellation at the isolated front has reached another front"
        );
        // The end is part of the announcement: every front releases the reservation by its clock alone.
        wait_for_reserved(fronts[0].admin(), "the reservation is released at the end of the peak", |kb| {
            kb == 0.0
        })
        .await;
        wait_for_reserved(fronts[1].admin(), "the reservation is released at the end of the peak", |kb| {
            kb == 0.0
        })
        .await;
        let late_ms = (unix_nanos() / 1_000_000).saturating_sub(a.end_ms);
        assert!(late_ms < 2_000, "the reservation was released {late_ms} ms after the end of the peak");
    });
}

#[test]
fn a_front_that_is_killed_with_reservations_restarts_with_them() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes().await;
        std::fs::write(dir.path().join("f.conf"), settings(4, "state-dir state"))
            .expect("cannot write the file");
        std::fs::write(dir.path().join("nodes.csv"), list(&node_addresses(&nodes), 0))
            .expect("cannot write the file");
        let admin_of = |v: &serde_json::Value| {
            v["admin"].as_str().expect("no valid address").parse().expect("no valid address")
        };
        for round in 0..5u32 {
            let (mut child, ready) = spawn(&["serve", "-c", "f.conf"], dir.path()).await;
            let admin = admin_of(&ready);
            // Each round announces one more peak; the front is killed right after its answer.
            let before_kb = reserved_kb(admin).await;
            assert!(
                (before_kb - 700.0 * f64::from(round)).abs() < 50.0,
                "round {round}: {before_kb} kB are reserved after the restart"
            );
            let created =
                announce(admin, "POST", &announcement(&format!("peak-{round}"), 2, 30_000, 60_000)).await;
            assert_eq!(created.status, 201, "{}", String::from_utf8_lossy(&created.body));
            child.kill().await.expect("cannot kill the process");
        }
    });
}

#[test]
fn invalid_announcements_get_422_with_the_field_and_too_large_ones_409_with_the_possible_size() {
    local(async {
        let cluster = Cluster::new(4).await;
        let admin = cluster.front.admin();
        type Change = fn(&mut Announcement);
        let cases: [(&str, Change); 5] = [
            ("end_ms", |a| a.end_ms = a.start_ms),
            ("titles", |a| a.titles = vec!["none".into()]),
            ("viewers", |a| a.viewers = vec![(0, u32::MAX)]),
            ("rung", |a| a.rung = 200),
            ("lead_ms", |a| a.lead_ms = u64::MAX),
        ];
        for (field, change) in cases {
            let mut a = announcement("cup", 5, 10_000, 10_000);
            change(&mut a);
            let reply = announce(admin, "POST", &a).await;
            assert_eq!((reply.status, problem_type(&reply).as_str()), (422, "announcement"), "{field}");
            let v: serde_json::Value = serde_json::from_slice(&reply.body).expect("invalid JSON");
            assert_eq!(v["fields"][0]["field"], field);
        }
        assert_eq!(operator_request(admin, "POST", "/peaks", b"{\"viewers\":[[0,-5]]}").await.status, 422);
        assert_eq!(operator_request(admin, "POST", "/peaks", b"[").await.status, 422);
        let too_large = announce(admin, "POST", &announcement("cup", 5_000, 10_000, 10_000)).await;
        assert_eq!((too_large.status, problem_type(&too_large).as_str()), (409, "room"));
        let v: serde_json::Value = serde_json::from_slice(&too_large.body).expect("invalid JSON");
        let possible_viewers = v["could-hold-viewers"].as_u64().expect("not a number") as u32;
        let a = announcement("cup", possible_viewers, 10_000, 10_000);
        assert_eq!(announce(admin, "POST", &a).await.status, 201);
        assert_eq!(
            announce(admin, "POST", &a).await.status,
            201,
            "an identical announcement was not accepted again"
        );
        assert_eq!(
            announce(admin, "POST", &announcement("cup", 1, 10_000, 10_000)).await.status,
            409,
            "a POST changed an announced peak"
        );
        assert_eq!(announce(admin, "PUT", &announcement("none", 1, 10_000, 10_000)).await.status, 404);
        // Without the key as a bearer token nothing changes.
        let mut connection = Connection::open(admin).await.expect("cannot connect");
        let cookie = [("cookie", "pepperhook-key=key")];
        assert_eq!(
            connection.request("DELETE", "/peaks/cup", &cookie, b"", SECOND).await.expect("no answer").status,
            401
        );
    });
}

#[test]
fn datagrams_without_the_fleets_key_change_nothing() {
    local(async {
        let (nodes, addresses) = (start_nodes().await, free_addresses(2));
        let text = settings(4, "fronts 2") + &exchange_section(0, &addresses, "");
        let front = front_with(&text, &list(&node_addresses(&nodes), 0)).await;
        let stranger = UdpSocket::bind(addresses[1]).expect("cannot bind the peer's address");
        let settings = pepperhook_exchange::Settings {
            me: 5,
            run: 1,
            keys: Keys::new("wrong", None),
            peers: vec![addresses[0]],
            period_ms: 100,
            fanout: 1,
            seed: 1,
        };
        let mut exchange = pepperhook_exchange::Exchange::new(settings, Vec::new(), 0);
        let mut out = Vec::new();
        let body = serde_json::to_vec(&announcement("forged", 20, 1_000, 60_000)).expect("invalid JSON");
        let id = pepperhook_exchange::Id { space: 1, number: pepperhook_settings::name_hash("forged") };
        exchange.put(unix_nanos() / 1_000_000, id, unix_nanos() / 1_000_000 + 60_000, body, &mut out);
        for o in out {
            if let pepperhook_exchange::Output::Send(to, datagram) = o {
                stranger.send_to(&datagram, to).expect("cannot send");
                stranger.send_to(&datagram[..datagram.len() / 2], to).expect("cannot send");
            }
        }
        stranger.send_to(&[0; 2_000], addresses[0]).expect("cannot send");
        wait_until("the datagrams are rejected", || {
            let rejected = front.snapshot().exchange.map_or(0, |x| x.rejected.values().sum::<u64>());
            rejected >= 3
        })
        .await;
        assert_eq!(reserved_kb(front.admin()).await, 0.0);
    });
}

/// Runs the command. Returns its exit code, standard output and standard error.
async fn command(dir: &Path, arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pepperhook"));
    command.env("PEPPERHOOK_ADMIN_KEY", "key").args(arguments).current_dir(dir);
    let out = command.output().await.expect("cannot run the command");
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

#[test]
fn the_command_announces_lists_amends_and_cancels() {
    local(async {
        let cluster = Cluster::new(4).await;
        let (admin, dir) =
            (cluster.front.admin().to_string(), tempfile::tempdir().expect("cannot create a folder"));
        let peak = |more: &[&str]| {
            let mut all = vec!["peak".to_owned(), "--admin".into(), admin.clone()];
            all.extend(more.iter().map(|m| (*m).to_owned()));
            all
        };
        let run = async |more: &[&str]| {
            let all = peak(more);
            command(dir.path(), &all.iter().map(String::as_str).collect::<Vec<_>>()).await
        };
        let peak_arguments = [
            "--title",
            "t",
            "--class",
            "replay",
            "--viewers",
            "0:10,30:20",
            "--start",
            "+5s",
            "--end",
            "+60s",
        ];
        let with = |verb: &'static str, name: &'static str| [&[verb, name][..], &peak_arguments].concat();
        let (code, out, err) = run(&with("announce", "the final")).await;
        assert_eq!(code, Some(0), "{err}");
        assert!(out.contains("\"the final\""));
        assert!(reserved_kb(cluster.front.admin()).await > 3_000.0);
        let (code, out, _) = run(&["list"]).await;
        assert!(code == Some(0) && out.contains("held_kb"), "{out}");
        assert_eq!(run(&with("amend", "the final")).await.0, Some(0));
        assert_eq!(run(&["cancel", "the final"]).await.0, Some(0));
        assert_eq!(reserved_kb(cluster.front.admin()).await, 0.0);
        let (code, _, err) = run(&["cancel", "none"]).await;
        assert!(code == Some(1) && err.contains("404"), "{err}");
        assert_eq!(run(&["announce", "x", "--viewers", "ten"]).await.0, Some(2));
    });
}

#[test]
fn reserved_capacity_serves_the_peak_and_ends_no_other_session() {
    local(async {
        let cluster = Cluster::new(4).await;
        // Ordinary viewers of another title fill the capacity that is not reserved; sessions that play
        // continue.
        let text = settings(4, "") + "section title other\nhome 0\ncopies 4\nclass replay\n";
        let front = front_with(&text, &list(&node_addresses(&cluster.nodes), 0)).await;
        let request = async |title: &str, n: u64| {
            let mut connection = Connection::open(front.address()).await.expect("cannot connect");
            let body = pepperhook_rehearse::viewers::offer(n);
            let path = format!("/whep/{title}?viewer=v{n}&top=1");
            connection
                .request("POST", &path, &[SDP], body.as_bytes(), PATIENCE)
                .await
                .expect("no answer")
                .status
        };
        let mut early = 0;
        for n in 0..30 {
            early += u64::from(request("other", n).await == 201);
        }
        assert_eq!(early, 30);
        assert_eq!(
            announce(front.admin(), "POST", &announcement("cup", 60, 1_000, 60_000)).await.status,
            201
        );
        let mut refused = 0;
        for n in 100..300 {
            refused += u64::from(request("other", n).await == 503);
        }
        assert!(refused > 0, "no ordinary viewer was refused: the reserved capacity was used up");
        let mut event = 0;
        for n in 1_000..1_050 {
            event += u64::from(request("t", n).await == 201);
        }
        assert!(event >= 48, "only {event} of 50 viewers of the announced title play");
        let snapshot = front.snapshot();
        assert_eq!(snapshot.ends.values().sum::<u64>(), 0, "sessions were ended: {:?}", snapshot.ends);
    });
}
