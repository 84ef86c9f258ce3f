//! Clients that take up `pepperhook serve`: hundreds that stop half way through a large request or write slowly, and one
//! that sends requests at full speed. Others are served, and the memory of the process stays bounded.

mod common;

use common::*;
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::Connection;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::time::{Instant, sleep};

/// Connections of the clients that stop half way.
const STOPPED_CLIENTS: usize = 800;
/// Memory that the clients may take together, in kB: a third of the 192 MB that the node's page grants a front at most.
const CLIENTS_KB: u64 = 64_000;
/// Longest time in which others must have their answer while clients misbehave.
const OTHERS_TIME: Duration = Duration::from_secs(1);

/// Starts nodes in this process and a front of its own process.
async fn start_front(dir: &Path) -> (Child, SocketAddr, Vec<pepperhook_playout::NodeHandle>) {
    let recorder = pepperhook_playout::record::Recorder::in_memory("");
    let options = |i| pepperhook_playout::Options {
        name: format!("n{i}"),
        rack: i,
        seed: u64::from(i),
        ..Default::default()
    };
    let nodes = pepperhook_playout::start((0..2).map(options).collect(), &recorder)
        .await
        .expect("cannot start the nodes");
    let settings = settings(2, "").replace("body-time 300ms\nhead-time 400ms\n", "");
    std::fs::write(dir.join("f.conf"), settings).expect("cannot write the file");
    std::fs::write(dir.join("nodes.csv"), list(&node_addresses(&nodes), 0)).expect("cannot write the file");
    let (child, ready) = spawn(&["serve", "-c", "f.conf"], dir).await;
    (child, address(&ready), nodes)
}

fn process_id(front: &Child) -> u32 {
    front.id().expect("the process has ended")
}

/// Sets a session up on a new connection, ends it, and returns how long the set-up took.
async fn served_after(address: SocketAddr, viewer: &str, number: u64) -> Duration {
    let began = Instant::now();
    let mut connection = Connection::open(address).await.expect("cannot connect");
    let path = format!("/whep/t?viewer={viewer}");
    let body = offer(number);
    let reply =
        connection.request("POST", &path, &[SDP], body.as_bytes(), PATIENCE).await.expect("no answer");
    assert_eq!(reply.status, 201, "another client was not served: {}", String::from_utf8_lossy(&reply.body));
    let took = began.elapsed();
    // Its place at the node is free for the next one.
    let session = reply.header("location").expect("no Location header").to_owned();
    let reply = connection.request("DELETE", &session, &[], b"", PATIENCE).await.expect("no answer");
    assert_eq!(reply.status, 200);
    took
}

/// Connects hundreds of clients that write these bytes and go no further; others are served meanwhile.
async fn stopped_clients(address: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for n in 0..STOPPED_CLIENTS {
        let mut client = TcpStream::connect(address).await.expect("cannot connect");
        // The front may close the connection before all of it is written.
        let _ = client.write_all(bytes).await;
        clients.push(client);
        if n % 100 == 99 {
            let took = served_after(address, &format!("other{n}"), 100 + n as u64).await;
            assert!(took < OTHERS_TIME, "another client was served only after {took:?}");
        }
    }
    clients
}

/// Guards against a process that is killed for memory: hundreds of clients at once send all but the end of a large offer.
/// The bodies that have been arriving for longest give way, and others are served meanwhile.
#[test]
fn half_sent_offers_of_hundreds_of_clients_fit_into_the_budget_and_others_are_served() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let (front, address, _nodes) = start_front(dir.path()).await;
        served_after(address, "before", 1).await;
        let before_kb = memory_kb(process_id(&front));
        let head = "POST /whep/t HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp\r\n\
                    content-length: 60000\r\n\r\n";
        let half = [head.as_bytes(), &[b'x'; 59_000]].concat();
        let mut clients = stopped_clients(address, &half).await;
        let grown_kb = memory_kb(process_id(&front)).saturating_sub(before_kb);
        assert!(grown_kb < CLIENTS_KB, "{STOPPED_CLIENTS} half offers take {grown_kb} kB");
        // The first ones were evicted, with a refusal that permits another try.
        let mut answer = [0; 64];
        let n = clients[0].read(&mut answer).await.expect("the connection was reset");
        let answer = String::from_utf8_lossy(&answer[..n]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 503 "), "not a refusal: {answer:?}");
        drop(clients);
        served_after(address, "after", 10_000).await;
    });
}

/// Guards against heads that take up memory: hundreds of clients send heads of very many short fields, slowly.
#[test]
fn heads_of_many_short_fields_take_little_memory_and_others_are_served() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let (front, address, _nodes) = start_front(dir.path()).await;
        served_after(address, "before", 1).await;
        let before_kb = memory_kb(process_id(&front));
        let head = format!("POST /whep/t HTTP/1.1\r\nhost: x\r\n{}", "a: 1\r\n".repeat(2_500));
        let _clients = stopped_clients(address, head.as_bytes()).await;
        let grown_kb = memory_kb(process_id(&front)).saturating_sub(before_kb);
        assert!(grown_kb < CLIENTS_KB, "{STOPPED_CLIENTS} heads take {grown_kb} kB");
    });
}

/// Guards against one client that occupies the front: for some seconds it sends small, unknown and unsound requests at
/// full speed on one connection, each under new names. Others have their answers in time, and memory does not grow with it.
#[test]
fn a_flood_of_unsound_requests_on_one_connection_delays_nobody_and_leaves_nothing() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let (front, address, _nodes) = start_front(dir.path()).await;
        served_after(address, "before", 1).await;
        let (mut reader, mut writer) =
            TcpStream::connect(address).await.expect("cannot connect").into_split();
        let read = tokio::task::spawn_local(async move {
            let (mut buffer, mut total) = ([0; 64 << 10], 0);
            while let Ok(n @ 1..) = reader.read(&mut buffer).await {
                total += n;
            }
            total
        });
        let flood = tokio::task::spawn_local(async move {
            let (until, mut sent) = (Instant::now() + Duration::from_secs(4), 0u64);
            while Instant::now() < until {
                let batch: String = (sent..sent + 100).map(unsound_request).collect();
                if writer.write_all(batch.as_bytes()).await.is_err() {
                    break;
                }
                sent += 100;
            }
            sent
        });
        sleep(SECOND / 2).await;
        let (mut number, early_kb) = (100, memory_kb(process_id(&front)));
        while !flood.is_finished() {
            let took = served_after(address, &format!("other{number}"), number).await;
            assert!(took < OTHERS_TIME, "another client was served only after {took:?}");
            number += 1;
            sleep(SECOND / 10).await;
        }
        let grown_kb = memory_kb(process_id(&front)).saturating_sub(early_kb);
        assert!(flood.await.expect("the flood panicked") > 1_000, "the flood was not one");
        assert!(read.await.expect("the reader panicked") > 100_000, "the flood got no answers");
        assert!(number > 110, "only {} others were served", number - 100);
        assert!(grown_kb < 16 << 10, "the flood and {} sessions take {grown_kb} kB", number - 100);
    });
}

/// One of a few kinds of request that the front rejects, under a name of its own.
fn unsound_request(n: u64) -> String {
    let body = "v=0\r\n";
    match n % 4 {
        0 => format!(
            "POST /whep/t?viewer=w{n} HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        ),
        1 => format!("POST /whep/unknown{n} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"),
        2 => format!("DELETE /session/{n:032x} HTTP/1.1\r\nhost: x\r\n\r\n"),
        _ => format!("BREW{n} /session/{n:032x}/events HTTP/1.1\r\nhost: x\r\n\r\n"),
    }
}
