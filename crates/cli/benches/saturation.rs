//! One front at saturation against the stand-in alone, with the same client in the same run, and the memory of
//! a held session: `cargo bench -p pepperhook-cli`. Bounded: 64 connections, five seconds a round, loopback.

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

const CONNECTIONS: usize = 64;
const ROUND: Duration = Duration::from_secs(5);
const HELD: u64 = 10_000;
const NODES: usize = 12;
const SDP: [(&str, &str); 1] = [("content-type", "application/sdp")];

async fn spawn(arguments: &[&str], dir: &Path, lines: usize) -> (Child, Vec<serde_json::Value>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
        .args(arguments)
        .current_dir(dir)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("a process");
    let mut reader = BufReader::new(child.stdout.take().expect("standard output")).lines();
    let mut out = Vec::new();
    for _ in 0..lines {
        let line = reader.next_line().await.expect("a line").expect("a line");
        out.push(serde_json::from_str(&line).expect("JSON"));
    }
    (child, out)
}

fn address(v: &serde_json::Value) -> SocketAddr {
    v["address"].as_str().expect("an address").parse().expect("an address")
}

fn memory_kb(child: &Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id().expect("a process")))
        .expect("a process");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("a line");
    line.split_ascii_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

/// Sets up and deletes as fast as answers come; set-ups a second, p50 and p99 in milliseconds.
async fn saturate(targets: Vec<SocketAddr>) -> (f64, f64, f64) {
    let (times, next) = (Rc::new(RefCell::new(Vec::<f64>::new())), Rc::new(Cell::new(0u64)));
    let end = Instant::now() + ROUND;
    let mut tasks = Vec::new();
    for i in 0..CONNECTIONS {
        let (target, times, next) = (targets[i % targets.len()], times.clone(), next.clone());
        tasks.push(tokio::task::spawn_local(async move {
            let mut c = Connection::open(target).await.expect("a connection");
            while Instant::now() < end {
                next.set(next.get() + 1);
                let n = next.get();
                let path = format!("/whep/t?viewer=v{n}&top=0");
                let begin = Instant::now();
                let second = Duration::from_secs(4);
                let reply =
                    c.request("POST", &path, &SDP, offer(n).as_bytes(), second).await.expect("an answer");
                if reply.status == 201 {
                    times.borrow_mut().push(begin.elapsed().as_secs_f64() * 1e3);
                    let session = reply.header("location").expect("a session").to_owned();
                    c.request("DELETE", &session, &[], b"", second).await.expect("an answer");
                }
            }
        }));
    }
    for task in tasks {
        task.await.expect("no panic");
    }
    let mut times = times.take();
    times.sort_by(f64::total_cmp);
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
    (times.len() as f64 / ROUND.as_secs_f64(), at(0.5), at(0.99))
}

async fn measure() {
    let dir = tempfile::tempdir().expect("a folder");
    let nodes: Vec<serde_json::Value> = (0..NODES)
        .map(|i| {
            serde_json::json!({"name": format!("n{i}"), "rack": i % 3, "set_up_ms": 0.0, "streams": 1e6, "link_kb": 1e9})
        })
        .collect();
    std::fs::write(dir.path().join("nodes.json"), serde_json::to_vec(&nodes).expect("JSON"))
        .expect("written");
    let (_playout, up) = spawn(&["playout", "-c", "nodes.json"], dir.path(), NODES).await;
    let addresses: Vec<SocketAddr> = up.iter().map(address).collect();
    let mut list = "name,address,zone,cell,kind,weight,state\n".to_owned();
    addresses.iter().enumerate().for_each(|(i, a)| list += &format!("n{i},{a},z,{i},k,1,ready\n"));
    std::fs::write(dir.path().join("nodes.csv"), list).expect("written");
    let settings = format!(
        "name bench\nlisten 127.0.0.1:0\nzones z\nzone z\nracks 3\ncells {NODES}\nuplink-kb 1e10\nkb-per-weight 1e9\n\
         all-links-kb 1.2e10\ngauges streams link uplink\ninventory nodes.csv\nlog text\n\
         section ladder\nrung 200 0.5\nrung 600 1\nsection class replay\naim 800ms\npatience 4s\nsection kind k\n\
         streams 1000000\nsection title t\nhome 0\ncopies {NODES}\nclass replay\n\
         section rules\ncold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n"
    );
    std::fs::write(dir.path().join("f.conf"), settings).expect("written");
    let (front, up) = spawn(&["serve", "-c", "f.conf"], dir.path(), 1).await;
    let front_at = address(&up[0]);

    println!("| target | set-ups a second | p50 ms | p99 ms |\n| --- | --- | --- | --- |");
    let mut ratios = Vec::new();
    for round in 1..=3 {
        let alone = saturate(addresses.clone()).await;
        let through = saturate(vec![front_at]).await;
        for (name, (rate, p50, p99)) in [("stand-ins alone", alone), ("front", through)] {
            println!("| {name}, round {round} | {rate:.0} | {p50:.2} | {p99:.2} |");
        }
        ratios.push(through.0 / alone.0);
    }
    ratios.sort_by(f64::total_cmp);
    println!("\nratio front to stand-ins alone, median of three: {:.2}", ratios[1]);

    sleep(Duration::from_secs(1)).await;
    let before = memory_kb(&front);
    let mut c = Connection::open(front_at).await.expect("a connection");
    let mut held = 0;
    for n in 1..=HELD {
        let path = format!("/whep/t?viewer=h{n}&top=0");
        let body = offer(n);
        let reply =
            c.request("POST", &path, &SDP, body.as_bytes(), Duration::from_secs(4)).await.expect("an answer");
        held += u64::from(reply.status == 201);
    }
    let after = memory_kb(&front);
    println!(
        "{held} sessions held: {:.2} kB each ({before} kB before, {after} kB after)",
        (after - before) as f64 / held as f64
    );
}

fn main() {
    // `cargo test` runs benches too, without this argument: then there is nothing to do.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, measure());
}
