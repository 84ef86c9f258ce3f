//! Throughput of one saturated front compared with that of the simulated nodes alone, measured by the same
//! client in the same run, and the front's memory per session. Run by `cargo bench -p pepperhook-cli`;
//! bounded to 64 connections over loopback and five seconds per round.

use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::Connection;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};

/// Number of concurrent client connections.
const CONNECTIONS: usize = 64;
/// Length of a round.
const ROUND: Duration = Duration::from_secs(5);
/// Number of sessions that are set up to measure memory.
const HELD_SESSIONS: u64 = 10_000;
/// Number of simulated nodes.
const NODES: usize = 12;
/// Header of a request with an SDP offer.
const SDP: [(&str, &str); 1] = [("content-type", "application/sdp")];

/// Starts the command and reads this many lines of JSON from its standard output.
async fn spawn(arguments: &[&str], dir: &Path, lines: usize) -> (Child, Vec<serde_json::Value>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
        .args(arguments)
        .current_dir(dir)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("cannot start the process");
    let mut reader = BufReader::new(child.stdout.take().expect("stdout is not piped")).lines();
    let mut out = Vec::new();
    for _ in 0..lines {
        let line = reader.next_line().await.expect("cannot read from stdout").expect("stdout has ended");
        out.push(serde_json::from_str(&line).expect("invalid JSON"));
    }
    (child, out)
}

/// Address of a process, from its first output.
fn address(ready: &serde_json::Value) -> SocketAddr {
    ready["address"].as_str().expect("no valid address").parse().expect("no valid address")
}

/// Resident memory of a process in kB.
fn memory_kb(child: &Child) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", child.id().expect("the process has ended")))
            .expect("cannot read the status of the process");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("no line VmRSS");
    line.split_ascii_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("not a number")
}

/// Sets up and deletes sessions on all connections, each request as soon as the last one is answered. Returns
/// the set-ups per second, and the 50th and 99th percentile of the time of a set-up in milliseconds.
async fn saturate(targets: Vec<SocketAddr>) -> (f64, f64, f64) {
    let (times_ms, next) = (Rc::new(RefCell::new(Vec::<f64>::new())), Rc::new(Cell::new(0u64)));
    let end = Instant::now() + ROUND;
    let mut tasks = Vec::new();
    for i in 0..CONNECTIONS {
        let (target, times_ms, next) = (targets[i % targets.len()], times_ms.clone(), next.clone());
        tasks.push(tokio::task::spawn_local(async move {
            let mut connection = Connection::open(target).await.expect("cannot connect");
            while Instant::now() < end {
                next.set(next.get() + 1);
                let n = next.get();
                let path = format!("/whep/t?viewer=v{n}&top=0");
                let begin = Instant::now();
                let timeout = Duration::from_secs(4);
                let reply = connection
                    .request("POST", &path, &SDP, offer(n).as_bytes(), timeout)
                    .await
                    .expect("no answer");
                if reply.status == 201 {
                    times_ms.borrow_mut().push(begin.elapsed().as_secs_f64() * 1e3);
                    let session = reply.header("location").expect("no Location header").to_owned();
                    connection.request("DELETE", &session, &[], b"", timeout).await.expect("no answer");
                }
            }
        }));
    }
    for task in tasks {
        task.await.expect("the task panicked");
    }
    let mut times_ms = times_ms.take();
    times_ms.sort_by(f64::total_cmp);
    let quantile = |q: f64| times_ms[((times_ms.len() - 1) as f64 * q) as usize];
    (times_ms.len() as f64 / ROUND.as_secs_f64(), quantile(0.5), quantile(0.99))
}

async fn measure() {
    let dir = tempfile::tempdir().expect("cannot create a folder");
    let nodes: Vec<serde_json::Value> = (0..NODES)
        .map(|i| {
            serde_json::json!({"name": format!("n{i}"), "rack": i % 3, "set_up_ms": 0.0, "streams": 1e6, "link_kb": 1e9})
        })
        .collect();
    std::fs::write(dir.path().join("nodes.json"), serde_json::to_vec(&nodes).expect("invalid JSON"))
        .expect("cannot write the file");
    let (_playout, up) = spawn(&["playout", "-c", "nodes.json"], dir.path(), NODES).await;
    let addresses: Vec<SocketAddr> = up.iter().map(address).collect();
    let mut list = "name,address,zone,cell,kind,weight,state\n".to_owned();
    addresses.iter().enumerate().for_each(|(i, a)| list += &format!("n{i},{a},z,{i},k,1,ready\n"));
    std::fs::write(dir.path().join("nodes.csv"), list).expect("cannot write the file");
    let settings = format!(
        "name bench\nlisten 127.0.0.1:0\nzones z\nzone z\nracks 3\ncells {NODES}\nuplink-kb 1e10\nkb-per-weight 1e9\n\
         all-links-kb 1.2e10\ngauges streams link uplink\ninventory nodes.csv\nlog text\n\
         section ladder\nrung 200 0.5\nrung 600 1\nsection class replay\naim 800ms\npatience 4s\nsection kind k\n\
         streams 1000000\nsection title t\nhome 0\ncopies {NODES}\nclass replay\n\
         section rules\ncold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n"
    );
    std::fs::write(dir.path().join("f.conf"), settings).expect("cannot write the file");
    let (front, up) = spawn(&["serve", "-c", "f.conf"], dir.path(), 1).await;
    let front_address = address(&up[0]);

    println!("| target | set-ups a second | p50 ms | p99 ms |\n| --- | --- | --- | --- |");
    let mut ratios = Vec::new();
    for round in 1..=3 {
        let nodes_alone = saturate(addresses.clone()).await;
        let through_front = saturate(vec![front_address]).await;
        for (name, (rate, p50, p99)) in [("stand-ins alone", nodes_alone), ("front", through_front)] {
            println!("| {name}, round {round} | {rate:.0} | {p50:.2} | {p99:.2} |");
        }
        ratios.push(through_front.0 / nodes_alone.0);
    }
    ratios.sort_by(f64::total_cmp);
    println!("\nratio front to stand-ins alone, median of three: {:.2}", ratios[1]);

    sleep(Duration::from_secs(1)).await;
    let before_kb = memory_kb(&front);
    let mut connection = Connection::open(front_address).await.expect("cannot connect");
    let mut held = 0;
    for n in 1..=HELD_SESSIONS {
        let path = format!("/whep/t?viewer=h{n}&top=0");
        let body = offer(n);
        let reply = connection
            .request("POST", &path, &SDP, body.as_bytes(), Duration::from_secs(4))
            .await
            .expect("no answer");
        held += u64::from(reply.status == 201);
    }
    let after_kb = memory_kb(&front);
    println!(
        "{held} sessions held: {:.2} kB each ({before_kb} kB before, {after_kb} kB after)",
        (after_kb - before_kb) as f64 / held as f64
    );
}

fn main() {
    // `cargo test` runs benches too, without this argument. Nothing is measured then.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("cannot start the runtime");
    tokio::task::LocalSet::new().block_on(&runtime, measure());
}
