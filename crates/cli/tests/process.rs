//! The command as a child process: SIGTERM, restart after a kill, inventory reload, console, exit codes,
//! demo.

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
    start((0..n).map(options).collect(), &Recorder::disabled()).await.expect("cannot start the nodes")
}

/// Writes settings and inventory, then starts a front. Returns its process, viewer address and operator
/// address.
async fn configure_and_start_front(dir: &Path, nodes: &[NodeHandle]) -> (Child, SocketAddr, SocketAddr) {
    std::fs::write(dir.join("f.conf"), settings(nodes.len(), "state-dir state"))
        .expect("cannot write the file");
    std::fs::write(dir.join("nodes.csv"), list(&node_addresses(nodes), 0)).expect("cannot write the file");
    start_front(dir).await
}

/// Starts a front on the files in `dir`. Returns its process, viewer address and operator address.
async fn start_front(dir: &Path) -> (Child, SocketAddr, SocketAddr) {
    let (child, ready) = spawn(&["serve", "-c", "f.conf"], dir).await;
    let admin = ready["admin"].as_str().expect("no valid address").parse().expect("no valid address");
    (child, address(&ready), admin)
}

/// Sends a POST for title `t` on a new connection and reads the reply.
async fn request_session(
    front: SocketAddr,
    viewer: u64,
) -> Result<pepperhook_rehearse::wire::HttpResponse, pepperhook_rehearse::wire::ReadError> {
    let mut connection = Connection::open(front).await?;
    connection
        .request("POST", &format!("/whep/t?viewer=v{viewer}"), &[SDP], offer(viewer).as_bytes(), PATIENCE)
        .await
}

#[test]
fn sigterm_with_set_ups_in_flight_answers_all_refuses_new_ones_and_exits_0() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes(3).await;
        let (mut child, address, _) = configure_and_start_front(dir.path(), &nodes).await;
        nodes.iter().for_each(|s| s.set_faults(Faults { slow_ms: 300, ..Faults::default() }));
        let early: Vec<_> = (0..20).map(|n| tokio::task::spawn_local(request_session(address, n))).collect();
        wait_until("all 20 attempts have reached the nodes", || {
            nodes.iter().map(|s| s.state().attempts).sum::<u64>() >= 20
        })
        .await;
        let begin = Instant::now();
        let pid = i32::try_from(child.id().expect("the process has ended")).expect("not a number");
        kill(Pid::from_raw(pid), Signal::SIGTERM).expect("cannot send");
        sleep(Duration::from_millis(50)).await;
        let late = request_session(address, 99).await.expect("no answer");
        assert_eq!((late.status, problem_type(&late).as_str()), (503, "stopping"));
        assert!(late.header("retry-after").is_some());
        for task in early {
            assert_eq!(task.await.expect("the task panicked").expect("no answer").status, 201);
        }
        let status = timeout(PATIENCE, child.wait())
            .await
            .expect("the process did not end in time")
            .expect("the process did not end");
        assert_eq!(status.code(), Some(0));
        assert!(begin.elapsed() < PATIENCE);
        wait_until("the front's sessions have ended at the nodes", || {
            nodes.iter().all(|s| s.state().sessions == 0)
        })
        .await;
    });
}

#[test]
fn a_killed_front_restarts_on_its_last_valid_list_when_the_file_is_broken() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes(2).await;
        let (mut child, address, _) = configure_and_start_front(dir.path(), &nodes).await;
        assert_eq!(request_session(address, 1).await.expect("no answer").status, 201);
        child.kill().await.expect("cannot kill the process");
        std::fs::write(dir.path().join("nodes.csv"), "name,address,zone\nn0,127")
            .expect("cannot write the file");
        let (mut child, address, _) = start_front(dir.path()).await;
        assert_eq!(request_session(address, 2).await.expect("no answer").status, 201);
        wait_until("the sessions of the killed front have ended", || {
            nodes.iter().map(|s| s.state().sessions).sum::<usize>() == 1
        })
        .await;
        child.kill().await.expect("cannot kill the process");
    });
}

#[test]
fn a_changed_list_is_read_while_serving_and_an_invalid_one_is_ignored() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes(2).await;
        let (_child, address, _) = configure_and_start_front(dir.path(), &nodes).await;
        let file = dir.path().join("nodes.csv");
        let good = list(&node_addresses(&nodes), 0);
        std::fs::write(&file, good.replace("n0,", "n0,nowhere,")).expect("cannot write the file");
        sleep(Duration::from_millis(350)).await;
        assert_eq!(
            request_session(address, 1).await.expect("no answer").status,
            201,
            "the last valid list is not in force"
        );
        std::fs::write(&file, good.replace("ready", "draining")).expect("cannot write the file");
        let end = Instant::now() + PATIENCE;
        let mut n = 1;
        while request_session(address, n + 1).await.expect("no answer").status != 503 {
            n += 1;
            assert!(Instant::now() < end, "the list with draining nodes was not read within {PATIENCE:?}");
            sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn the_console_requires_its_key_and_shows_nodes_racks_and_classes() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let nodes = start_nodes(3).await;
        let (_child, address, admin) = configure_and_start_front(dir.path(), &nodes).await;
        assert_eq!(request_session(address, 1).await.expect("no answer").status, 201);
        let get = async |path: &str, headers: &[(&str, &str)]| {
            let mut connection = Connection::open(admin).await.expect("cannot connect");
            connection.request("GET", path, headers, b"", SECOND).await.expect("no answer")
        };
        assert_eq!(get("/console", &[]).await.status, 401);
        assert_eq!(get("/console?key=wrong", &[]).await.status, 401);
        let page = get("/console?key=key", &[]).await;
        assert_eq!(page.status, 200);
        let cookie = page.header("set-cookie").expect("no Set-Cookie header");
        assert!(cookie.contains("HttpOnly"));
        let cookie = cookie.split(';').next().expect("empty Set-Cookie header").to_owned();
        let text = String::from_utf8_lossy(&page.body);
        assert!(
            !text.contains("http://") && !text.contains("https://"),
            "the console refers to an external asset"
        );
        let state = get("/state", &[("cookie", &cookie)]).await;
        let state: serde_json::Value = serde_json::from_slice(&state.body).expect("invalid JSON");
        assert_eq!((state["playing"].as_u64(), state["answers"]["playing"].as_u64()), (Some(1), Some(1)));
        assert_eq!(state["nodes"].as_array().map(Vec::len), Some(3));
        assert_eq!(state["racks"].as_array().map(Vec::len), Some(2));
        assert_eq!(state["classes"][0]["within_aim"].as_u64(), Some(1));
        let mut connection = Connection::open(admin).await.expect("cannot connect");
        let bearer = [("authorization", "Bearer key")];
        assert_eq!(
            connection
                .request("GET", "/console/events", &bearer, b"", SECOND)
                .await
                .expect("no answer")
                .status,
            200
        );
        assert_eq!(connection.wait_for_any(&["event: state"], Instant::now() + 2 * SECOND).await, Ok(0));
    });
}

#[test]
fn exit_codes_and_positions_of_errors() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let run = async |arguments: &[&str]| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_pepperhook"));
            let out = command
                .args(arguments)
                .current_dir(dir.path())
                .output()
                .await
                .expect("cannot run the command");
            (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
        };
        assert_eq!(run(&["nonsense"]).await.0, Some(2));
        std::fs::write(dir.path().join("f.conf"), settings(1, "").replace("cells 1", "cells one"))
            .expect("cannot write the file");
        for verb in ["check", "serve"] {
            let (code, stderr) = run(&[verb, "-c", "f.conf"]).await;
            assert_eq!(code, Some(2));
            assert!(stderr.contains("f.conf:10:7") && stderr.contains("cells one"), "{stderr}");
        }
        std::fs::write(dir.path().join("f.conf"), settings(2, "")).expect("cannot write the file");
        std::fs::write(
            dir.path().join("nodes.csv"),
            "name,address,zone,cell,kind,weight,state\na,x,z,0,std,1,ready\n",
        )
        .expect("cannot write the file");
        let (code, stderr) = run(&["check", "-c", "f.conf"]).await;
        assert_eq!(code, Some(1));
        assert!(stderr.contains("line 2: column 'address'"), "{stderr}");
        assert_eq!(
            run(&["serve", "-c", "f.conf"]).await.0,
            Some(2),
            "serve has started without any valid list"
        );
        let unreachable = vec![("a".to_owned(), "127.0.0.1:1".parse().expect("no valid address"))];
        std::fs::write(dir.path().join("nodes.csv"), list(&unreachable, 0)).expect("cannot write the file");
        assert_eq!(run(&["check", "-c", "f.conf"]).await.0, Some(0));
        std::fs::write(dir.path().join("d.json"), "{\"name\":\"x\",\"seed\":1,\"length_s\":9999}")
            .expect("cannot write the file");
        let (code, stderr) = run(&["rehearse", "replay", "d.json"]).await;
        assert_eq!(code, Some(2));
        assert!(stderr.contains("length_s is 9999"), "{stderr}");
        assert_eq!(run(&["rehearse", "bad-day", "--seconds", "900"]).await.0, Some(2));
        assert_eq!(run(&["demo", "--for", "nonsense"]).await.0, Some(2));
    });
}

#[test]
fn the_demo_runs_on_embedded_defaults_and_ends() {
    local(async {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pepperhook"));
        let out = timeout(Duration::from_secs(20), command.args(["demo", "--for", "2500ms"]).output()).await;
        let out = out.expect("the process did not end").expect("cannot run the command");
        let stdout = String::from_utf8_lossy(&out.stdout);
        assert_eq!(out.status.code(), Some(0));
        assert!(stdout.contains("/console?key=") && stdout.contains("playing"), "{stdout}");
        assert!(stdout.lines().filter(|l| l.contains("within aim")).count() >= 2, "{stdout}");
    });
}

#[test]
fn a_short_bad_day_over_processes_breaks_no_rule() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let day = pepperhook_rehearse::day::bad_day(1, 2, 10.0);
        let program = Path::new(env!("CARGO_BIN_EXE_pepperhook"));
        let played = pepperhook_rehearse::runner::run_day(&day, program, dir.path(), |_| {})
            .await
            .expect("the rehearsal could not run");
        assert!(played.violations.is_empty(), "{:#?}", played.violations);
        let report = played.report;
        assert!(
            report.requests > 50 && report.answers.get("playing").is_some_and(|playing| *playing > 20),
            "{report:?}"
        );
    });
}
