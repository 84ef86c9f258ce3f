//! The command as a process: signals, restarts, exit codes, console.

mod common;

use common::*;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pepperhook_playout::record::Recorder;
use pepperhook_playout::{Faults, NodeHandle, Options, start};
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::Connection;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

async fn start_nodes(n: usize) -> Vec<NodeHandle> {
    let options = |i: usize| Options { name: format!("n{i}"), rack: (i % 2) as u32, ..Options::default() };
    start((0..n).map(options).collect(), &Recorder::disabled()).await.expect("nodes")
}

async fn front(dir: &Path, nodes: &[NodeHandle]) -> (Child, SocketAddr, SocketAddr) {
    std::fs::write(dir.join("f.conf"), settings(nodes.len(), "state-dir state")).expect("written");
    std::fs::write(dir.join("nodes.csv"), list(&node_addresses(nodes), 0)).expect("written");
    restart(dir).await
}

async fn restart(dir: &Path) -> (Child, SocketAddr, SocketAddr) {
    let (child, ready) = spawn(&["serve", "-c", "f.conf"], dir).await;
    let admin = ready["admin"].as_str().expect("an address").parse().expect("an address");
    (child, address(&ready), admin)
}

async fn ask(
    front: SocketAddr,
    n: u64,
) -> Result<pepperhook_rehearse::wire::HttpResponse, pepperhook_rehearse::wire::ReadError> {
    let mut c = Connection::open(front).await?;
    c.request("POST", &format!("/whep/t?viewer=v{n}"), &[SDP], offer(n).as_bytes(), PATIENCE).await
}

#[test]
fn sigterm_with_set_ups_in_flight_answers_all_refuses_new_ones_and_exits_0() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes(3).await;
        let (mut child, address, _) = front(dir.path(), &nodes).await;
        nodes.iter().for_each(|s| s.set_faults(Faults { slow_ms: 300, ..Faults::default() }));
        let early: Vec<_> = (0..20).map(|n| tokio::task::spawn_local(ask(address, n))).collect();
        wait_until("all are out", || nodes.iter().map(|s| s.state().attempts).sum::<u64>() >= 20).await;
        let begin = Instant::now();
        let pid = i32::try_from(child.id().expect("a process")).expect("a number");
        kill(Pid::from_raw(pid), Signal::SIGTERM).expect("sent");
        sleep(Duration::from_millis(50)).await;
        let late = ask(address, 99).await.expect("an answer");
        assert_eq!((late.status, problem_type(&late).as_str()), (503, "stopping"));
        assert!(late.header("retry-after").is_some());
        for task in early {
            assert_eq!(task.await.expect("no panic").expect("an answer").status, 201);
        }
        let status = timeout(PATIENCE, child.wait()).await.expect("it ends in time").expect("it ends");
        assert_eq!(status.code(), Some(0));
        assert!(begin.elapsed() < PATIENCE);
        wait_until("its sessions end at the nodes", || nodes.iter().all(|s| s.state().sessions == 0)).await;
    });
}

#[test]
fn a_killed_front_comes_back_on_its_last_list_though_the_file_is_broken() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes(2).await;
        let (mut child, address, _) = front(dir.path(), &nodes).await;
        assert_eq!(ask(address, 1).await.expect("an answer").status, 201);
        child.kill().await.expect("killed");
        std::fs::write(dir.path().join("nodes.csv"), "name,address,zone\nn0,127").expect("written");
        let (mut child, address, _) = restart(dir.path()).await;
        assert_eq!(ask(address, 2).await.expect("an answer").status, 201);
        wait_until("what the killed front held is given back", || {
            nodes.iter().map(|s| s.state().sessions).sum::<usize>() == 1
        })
        .await;
        child.kill().await.expect("killed");
    });
}

#[test]
fn a_list_changed_in_service_is_taken_and_a_bad_one_is_not() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes(2).await;
        let (_child, address, _) = front(dir.path(), &nodes).await;
        let file = dir.path().join("nodes.csv");
        let good = list(&node_addresses(&nodes), 0);
        std::fs::write(&file, good.replace("n0,", "n0,nowhere,")).expect("written");
        sleep(Duration::from_millis(350)).await;
        assert_eq!(ask(address, 1).await.expect("an answer").status, 201, "the last good list serves");
        std::fs::write(&file, good.replace("ready", "draining")).expect("written");
        let end = Instant::now() + PATIENCE;
        let mut n = 1;
        while ask(address, n + 1).await.expect("an answer").status != 503 {
            n += 1;
            assert!(Instant::now() < end, "the drain is never taken");
            sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn the_console_wants_its_key_and_shows_nodes_racks_and_service() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let nodes = start_nodes(3).await;
        let (_child, address, admin) = front(dir.path(), &nodes).await;
        assert_eq!(ask(address, 1).await.expect("an answer").status, 201);
        let get = async |path: &str, headers: &[(&str, &str)]| {
            let mut c = Connection::open(admin).await.expect("a connection");
            c.request("GET", path, headers, b"", SECOND).await.expect("an answer")
        };
        assert_eq!(get("/console", &[]).await.status, 401);
        assert_eq!(get("/console?key=wrong", &[]).await.status, 401);
        let page = get("/console?key=key", &[]).await;
        assert_eq!(page.status, 200);
        let cookie = page.header("set-cookie").expect("a cookie");
        assert!(cookie.contains("HttpOnly"));
        let cookie = cookie.split(';').next().expect("a value").to_owned();
        let text = String::from_utf8_lossy(&page.body);
        assert!(!text.contains("http://") && !text.contains("https://"), "no outside asset");
        let state = get("/state", &[("cookie", &cookie)]).await;
        let v: serde_json::Value = serde_json::from_slice(&state.body).expect("JSON");
        assert_eq!((v["playing"].as_u64(), v["answers"]["playing"].as_u64()), (Some(1), Some(1)));
        assert_eq!(v["nodes"].as_array().map(Vec::len), Some(3));
        assert_eq!(v["racks"].as_array().map(Vec::len), Some(2));
        assert_eq!(v["classes"][0]["within_aim"].as_u64(), Some(1));
        let mut c = Connection::open(admin).await.expect("a connection");
        let bearer = [("authorization", "Bearer key")];
        assert_eq!(
            c.request("GET", "/console/events", &bearer, b"", SECOND).await.expect("an answer").status,
            200
        );
        assert_eq!(c.wait_for_any(&["event: state"], Instant::now() + 2 * SECOND).await, Ok(0));
    });
}

#[test]
fn exit_codes_and_places_of_faults() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let run = async |arguments: &[&str]| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_pepperhook"));
            let out = command.args(arguments).current_dir(dir.path()).output().await.expect("it ran");
            (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
        };
        assert_eq!(run(&["nonsense"]).await.0, Some(2));
        std::fs::write(dir.path().join("f.conf"), settings(1, "").replace("cells 1", "cells one"))
            .expect("written");
        for verb in ["check", "serve"] {
            let (code, said) = run(&[verb, "-c", "f.conf"]).await;
            assert_eq!(code, Some(2));
            assert!(said.contains("f.conf:10:7") && said.contains("cells one"), "{said}");
        }
        std::fs::write(dir.path().join("f.conf"), settings(2, "")).expect("written");
        std::fs::write(
            dir.path().join("nodes.csv"),
            "name,address,zone,cell,kind,weight,state\na,x,z,0,std,1,ready\n",
        )
        .expect("written");
        let (code, said) = run(&["check", "-c", "f.conf"]).await;
        assert_eq!(code, Some(1));
        assert!(said.contains("line 2: column 'address'"), "{said}");
        assert_eq!(run(&["serve", "-c", "f.conf"]).await.0, Some(2), "there is no last good list");
        let nobody = vec![("a".to_owned(), "127.0.0.1:1".parse().expect("an address"))];
        std::fs::write(dir.path().join("nodes.csv"), list(&nobody, 0)).expect("written");
        assert_eq!(run(&["check", "-c", "f.conf"]).await.0, Some(0));
        std::fs::write(dir.path().join("d.json"), "{\"name\":\"x\",\"seed\":1,\"length_s\":9999}")
            .expect("written");
        let (code, said) = run(&["rehearse", "replay", "d.json"]).await;
        assert_eq!(code, Some(2));
        assert!(said.contains("length_s is 9999"), "{said}");
        assert_eq!(run(&["rehearse", "bad-day", "--seconds", "900"]).await.0, Some(2));
        assert_eq!(run(&["demo", "--for", "nonsense"]).await.0, Some(2));
    });
}

#[test]
fn the_demo_runs_on_embedded_defaults_and_ends() {
    local(async {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pepperhook"));
        let out = timeout(Duration::from_secs(20), command.args(["demo", "--for", "2500ms"]).output()).await;
        let out = out.expect("it ends").expect("it ran");
        let said = String::from_utf8_lossy(&out.stdout);
        assert_eq!(out.status.code(), Some(0));
        assert!(said.contains("/console?key=") && said.contains("playing"), "{said}");
        assert!(said.lines().filter(|l| l.contains("within aim")).count() >= 2, "{said}");
    });
}

#[test]
fn a_short_bad_day_over_processes_keeps_the_rules() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let day = pepperhook_rehearse::day::bad_day(1, 2, 10.0);
        let program = Path::new(env!("CARGO_BIN_EXE_pepperhook"));
        let played = pepperhook_rehearse::runner::run_day(&day, program, dir.path(), |_| {})
            .await
            .expect("it was played");
        assert!(played.violations.is_empty(), "{:#?}", played.violations);
        let r = played.report;
        assert!(r.requests > 50 && r.answers.get("playing").is_some_and(|n| *n > 20), "{r:?}");
    });
}
