//! Announced peaks on sockets: the interface, the exchange between fronts, restarts.

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

const KEY: (&str, &str) = ("authorization", "Bearer key");

async fn start_nodes() -> Vec<NodeHandle> {
    let options = |i: usize| Options { name: format!("n{i}"), rack: (i % 2) as u32, ..Options::default() };
    start((0..4).map(options).collect(), &Recorder::disabled()).await.expect("nodes")
}

/// Free UDP addresses; the sockets are closed again, so that the fronts can have them.
fn ports(n: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> = (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    sockets.iter().map(|s| s.local_addr().expect("an address")).collect()
}

fn exchange(me: usize, ports: &[SocketAddr], more: &str) -> String {
    let mut out = format!("section exchange\nlisten {}\nperiod 100ms\nkey secret\n{more}", ports[me]);
    ports.iter().enumerate().filter(|(i, _)| *i != me).for_each(|(_, p)| out += &format!("peer {p}\n"));
    out
}

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

async fn change(
    admin: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> pepperhook_rehearse::wire::HttpResponse {
    let mut c = Connection::open(admin).await.expect("a connection");
    c.request(method, path, &[KEY], body, PATIENCE).await.expect("an answer")
}

async fn put(admin: SocketAddr, method: &str, a: &Announcement) -> pepperhook_rehearse::wire::HttpResponse {
    let path = if method == "POST" { "/peaks".to_owned() } else { format!("/peaks/{}", a.name) };
    change(admin, method, &path, &serde_json::to_vec(a).expect("JSON")).await
}

/// kB held at a front for all peaks.
async fn held(admin: SocketAddr) -> f64 {
    let reply = change(admin, "GET", "/peaks", b"").await;
    let v: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    v["holds"].as_array().expect("a list").iter().filter_map(|h| h["held_kb"].as_f64()).sum()
}

/// Waits until a front holds what is expected; seconds that took.
async fn until_held(admin: SocketAddr, what: &str, fits: impl Fn(f64) -> bool) -> f64 {
    let begin = Instant::now();
    while !fits(held(admin).await) {
        assert!(begin.elapsed() < 2 * PATIENCE, "never: {what}");
        sleep(Duration::from_millis(20)).await;
    }
    begin.elapsed().as_secs_f64()
}

async fn three(loss: &str) -> (Vec<pepperhook_front::Front>, Vec<NodeHandle>) {
    let (nodes, ports) = (start_nodes().await, ports(3));
    let mut fronts = Vec::new();
    for i in 0..3 {
        let name = format!("name front-{i}\n");
        let text = settings(4, "fronts 3").replace("name front\n", &name) + &exchange(i, &ports, loss);
        fronts.push(front_with(&text, &list(&node_addresses(&nodes), 0)).await);
    }
    (fronts, nodes)
}

#[test]
fn one_front_is_told_all_hold_and_all_give_back_when_it_is_called_off() {
    local(async {
        for loss in ["", "loss 0.5\n"] {
            let (fronts, _stands) = three(loss).await;
            let made = put(fronts[0].admin(), "POST", &announcement("cup", 20, 30_000, 60_000)).await;
            assert_eq!(made.status, 201, "{}", String::from_utf8_lossy(&made.body));
            for f in &fronts {
                until_held(f.admin(), "held", |kb| (kb - 7_000.0).abs() < 200.0).await;
            }
            let again = put(fronts[2].admin(), "PUT", &announcement("cup", 10, 30_000, 60_000)).await;
            assert_eq!(again.status, 200);
            for f in &fronts {
                until_held(f.admin(), "amended", |kb| (kb - 3_500.0).abs() < 200.0).await;
            }
            assert_eq!(change(fronts[1].admin(), "DELETE", "/peaks/cup", b"").await.status, 200);
            for f in &fronts {
                until_held(f.admin(), "given back", |kb| kb == 0.0).await;
            }
            assert_eq!(change(fronts[0].admin(), "DELETE", "/peaks/cup", b"").await.status, 404);
        }
    });
}

#[test]
fn the_announcement_reaches_some_and_the_call_off_the_others_only() {
    local(async {
        // Front 2 hears nothing and is heard by nobody: its exchange loses all.
        let (nodes, ports) = (start_nodes().await, ports(3));
        let mut fronts = Vec::new();
        for i in 0..3 {
            let loss = if i == 2 { "loss 1\n" } else { "" };
            let name = format!("name front-{i}\n");
            let text = settings(4, "fronts 3").replace("name front\n", &name) + &exchange(i, &ports, loss);
            fronts.push(front_with(&text, &list(&node_addresses(&nodes), 0)).await);
        }
        let a = announcement("cup", 20, 1_000, 2_500);
        assert_eq!(put(fronts[0].admin(), "POST", &a).await.status, 201);
        until_held(fronts[1].admin(), "held at the second", |kb| kb > 1_000.0).await;
        // The third takes datagrams, but what it says is lost: it may hold, and can neither pull nor tell.
        let third = put(fronts[2].admin(), "POST", &a).await.status;
        assert!(third == 201 || third == 409);
        assert_eq!(change(fronts[2].admin(), "DELETE", "/peaks/cup", b"").await.status, 200);
        until_held(fronts[2].admin(), "called off at the third", |kb| kb == 0.0).await;
        assert!(held(fronts[0].admin()).await > 1_000.0, "the others have not heard of that");
        // The end is part of the announcement: everybody gives back by the clock alone.
        until_held(fronts[0].admin(), "given back at the end", |kb| kb == 0.0).await;
        until_held(fronts[1].admin(), "given back at the end", |kb| kb == 0.0).await;
        let late = (unix_nanos() / 1_000_000).saturating_sub(a.end_ms);
        assert!(late < 2_000, "{late} ms after the end");
    });
}

#[test]
fn a_front_that_is_killed_mid_hold_comes_back_holding() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes().await;
        std::fs::write(dir.path().join("f.conf"), settings(4, "state-dir state")).expect("written");
        std::fs::write(dir.path().join("nodes.csv"), list(&node_addresses(&nodes), 0)).expect("written");
        let admin_of =
            |v: &serde_json::Value| v["admin"].as_str().expect("an address").parse().expect("an address");
        for round in 0..5u32 {
            let (mut child, ready) = spawn(&["serve", "-c", "f.conf"], dir.path()).await;
            let admin = admin_of(&ready);
            // Each round announces one more; the kill comes right behind the answer.
            let before = held(admin).await;
            assert!((before - 700.0 * f64::from(round)).abs() < 50.0, "round {round}: {before}");
            let made = put(admin, "POST", &announcement(&format!("peak-{round}"), 2, 30_000, 60_000)).await;
            assert_eq!(made.status, 201, "{}", String::from_utf8_lossy(&made.body));
            child.kill().await.expect("killed");
        }
    });
}

#[test]
fn nonsense_is_422_with_its_field_and_too_much_is_409_with_what_could_be() {
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
            let reply = put(admin, "POST", &a).await;
            assert_eq!((reply.status, problem_type(&reply).as_str()), (422, "announcement"), "{field}");
            let v: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
            assert_eq!(v["fields"][0]["field"], field);
        }
        assert_eq!(change(admin, "POST", "/peaks", b"{\"viewers\":[[0,-5]]}").await.status, 422);
        assert_eq!(change(admin, "POST", "/peaks", b"[").await.status, 422);
        let much = put(admin, "POST", &announcement("cup", 5_000, 10_000, 10_000)).await;
        assert_eq!((much.status, problem_type(&much).as_str()), (409, "room"));
        let v: serde_json::Value = serde_json::from_slice(&much.body).expect("JSON");
        let could = v["could-hold-viewers"].as_u64().expect("a number") as u32;
        let a = announcement("cup", could, 10_000, 10_000);
        assert_eq!(put(admin, "POST", &a).await.status, 201);
        assert_eq!(put(admin, "POST", &a).await.status, 201, "the same once more");
        assert_eq!(
            put(admin, "POST", &announcement("cup", 1, 10_000, 10_000)).await.status,
            409,
            "other words"
        );
        assert_eq!(put(admin, "PUT", &announcement("none", 1, 10_000, 10_000)).await.status, 404);
        // Without the key as a bearer token nothing changes.
        let mut c = Connection::open(admin).await.expect("a connection");
        let cookie = [("cookie", "pepperhook-key=key")];
        assert_eq!(
            c.request("DELETE", "/peaks/cup", &cookie, b"", SECOND).await.expect("an answer").status,
            401
        );
    });
}

#[test]
fn strangers_on_the_wire_change_nothing() {
    local(async {
        let (nodes, ports) = (start_nodes().await, ports(2));
        let text = settings(4, "fronts 2") + &exchange(0, &ports, "");
        let front = front_with(&text, &list(&node_addresses(&nodes), 0)).await;
        let stranger = UdpSocket::bind(ports[1]).expect("the peer's port");
        let settings = pepperhook_exchange::Settings {
            me: 5,
            run: 1,
            keys: Keys::new("wrong", None),
            peers: vec![ports[0]],
            period_ms: 100,
            fanout: 1,
            seed: 1,
        };
        let mut exchange = pepperhook_exchange::Exchange::new(settings, Vec::new(), 0);
        let mut out = Vec::new();
        let body = serde_json::to_vec(&announcement("forged", 20, 1_000, 60_000)).expect("JSON");
        let id = pepperhook_exchange::Id { space: 1, number: pepperhook_settings::name_hash("forged") };
        exchange.put(unix_nanos() / 1_000_000, id, unix_nanos() / 1_000_000 + 60_000, body, &mut out);
        for o in out {
            if let pepperhook_exchange::Output::Send(to, datagram) = o {
                stranger.send_to(&datagram, to).expect("sent");
                stranger.send_to(&datagram[..datagram.len() / 2], to).expect("sent");
            }
        }
        stranger.send_to(&[0; 2_000], ports[0]).expect("sent");
        wait_until("all are thrown away", || {
            let rejected = front.snapshot().exchange.map_or(0, |x| x.rejected.values().sum::<u64>());
            rejected >= 3
        })
        .await;
        assert_eq!(held(front.admin()).await, 0.0);
    });
}

async fn command(dir: &Path, arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pepperhook"));
    command.env("PEPPERHOOK_ADMIN_KEY", "key").args(arguments).current_dir(dir);
    let out = command.output().await.expect("it ran");
    let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
    (out.status.code(), text(&out.stdout), text(&out.stderr))
}

#[test]
fn the_command_announces_lists_amends_and_calls_off() {
    local(async {
        let cluster = Cluster::new(4).await;
        let (admin, dir) = (cluster.front.admin().to_string(), tempfile::tempdir().expect("a folder"));
        let peak = |more: &[&str]| {
            let mut all = vec!["peak".to_owned(), "--admin".into(), admin.clone()];
            all.extend(more.iter().map(|m| (*m).to_owned()));
            all
        };
        let run = async |more: &[&str]| {
            let all = peak(more);
            command(dir.path(), &all.iter().map(String::as_str).collect::<Vec<_>>()).await
        };
        let said = [
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
        let with = |verb: &'static str, name: &'static str| [&[verb, name][..], &said].concat();
        let (code, out, err) = run(&with("announce", "the final")).await;
        assert_eq!(code, Some(0), "{err}");
        assert!(out.contains("\"the final\""));
        assert!(held(cluster.front.admin()).await > 3_000.0);
        let (code, out, _) = run(&["list"]).await;
        assert!(code == Some(0) && out.contains("held_kb"), "{out}");
        assert_eq!(run(&with("amend", "the final")).await.0, Some(0));
        assert_eq!(run(&["cancel", "the final"]).await.0, Some(0));
        assert_eq!(held(cluster.front.admin()).await, 0.0);
        let (code, _, err) = run(&["cancel", "none"]).await;
        assert!(code == Some(1) && err.contains("404"), "{err}");
        assert_eq!(run(&["announce", "x", "--viewers", "ten"]).await.0, Some(2));
    });
}

#[test]
fn held_room_is_there_for_the_crowd_and_never_pushes_anybody_off() {
    local(async {
        let cluster = Cluster::new(4).await;
        // Ordinary viewers of another title fill what is not held; those who play go on.
        let text = settings(4, "") + "section title other\nhome 0\ncopies 4\nclass replay\n";
        let front = front_with(&text, &list(&node_addresses(&cluster.nodes), 0)).await;
        let ask = async |title: &str, n: u64| {
            let mut c = Connection::open(front.address()).await.expect("a connection");
            let body = pepperhook_rehearse::viewers::offer(n);
            let path = format!("/whep/{title}?viewer=v{n}&top=1");
            c.request("POST", &path, &[SDP], body.as_bytes(), PATIENCE).await.expect("an answer").status
        };
        let mut early = 0;
        for n in 0..30 {
            early += u64::from(ask("other", n).await == 201);
        }
        assert_eq!(early, 30);
        assert_eq!(put(front.admin(), "POST", &announcement("cup", 60, 1_000, 60_000)).await.status, 201);
        let mut refused = 0;
        for n in 100..300 {
            refused += u64::from(ask("other", n).await == 503);
        }
        assert!(refused > 0, "ordinary viewers stop short of what is held");
        let mut event = 0;
        for n in 1_000..1_050 {
            event += u64::from(ask("t", n).await == 201);
        }
        assert!(event >= 48, "{event} of 50 event viewers play");
        let snapshot = front.snapshot();
        assert_eq!(snapshot.ends.values().sum::<u64>(), 0, "nobody was pushed off: {:?}", snapshot.ends);
    });
}
