//! A stop that loses nothing: every request that reached a connection before its end is answered, or its connection had
//! said before that it closes (RFC 9112, 9.3.1, 9.6).

mod common;

use common::*;
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::{Connection, ReadError};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

#[derive(Default)]
struct Seen {
    answers: RefCell<BTreeMap<u16, u32>>,
    lost: Cell<u32>,
    closed_in_order: Cell<u32>,
}

/// Sets up and deletes in a loop on one connection, until it says that it closes.
async fn client(front: std::net::SocketAddr, n: u64, pause_ms: u64, seen: Rc<Seen>) {
    let Ok(mut c) = Connection::open(front).await else { return };
    for k in 0.. {
        let body = offer(n * 10_000 + k);
        let path = format!("/whep/t?viewer=v{n}");
        match c.request("POST", &path, &[SDP], body.as_bytes(), PATIENCE).await {
            Ok(reply) => {
                *seen.answers.borrow_mut().entry(reply.status).or_default() += 1;
                if reply.header("connection") == Some("close") {
                    seen.closed_in_order.set(seen.closed_in_order.get() + 1);
                    return;
                }
                if let (201, Some(session)) = (reply.status, reply.header("location")) {
                    let session = session.to_owned();
                    match c.request("DELETE", &session, &[], b"", PATIENCE).await {
                        Ok(reply) if reply.header("connection") == Some("close") => {
                            seen.closed_in_order.set(seen.closed_in_order.get() + 1);
                            return;
                        }
                        Ok(_) => {}
                        Err(_) => return seen.lost.set(seen.lost.get() + 1),
                    }
                }
            }
            Err(ReadError::Closed | ReadError::Timeout | ReadError::Malformed) => {
                return seen.lost.set(seen.lost.get() + 1);
            }
        }
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

#[test]
fn a_stop_under_load_answers_every_request_or_says_that_it_closes() {
    local(async {
        for seed in 0..6u64 {
            let mut rng = StdRng::seed_from_u64(seed);
            let cluster = Cluster::with_options(3, "", |o| o.set_up_ms = 20.0).await;
            let seen = Rc::new(Seen::default());
            let address = cluster.front.address();
            let clients: Vec<_> = (0..48)
                .map(|n| spawn_local(client(address, n, rng.random_range(0..30), seen.clone())))
                .collect();
            sleep(Duration::from_millis(rng.random_range(100..400))).await;
            cluster.front.stop().await;
            for c in clients {
                timeout(PATIENCE, c).await.expect("a client that is told ends").expect("no panic");
            }
            let answers = seen.answers.borrow().clone();
            assert_eq!(seen.lost.get(), 0, "seed {seed}: {answers:?}");
            assert_eq!(
                seen.closed_in_order.get(),
                48,
                "seed {seed}: each was told that its connection closes"
            );
            assert!(answers.get(&201).is_some_and(|n| *n > 5), "there was load: {answers:?}");
            assert!(answers.values().sum::<u32>() > 48, "connections were used again: {answers:?}");
            assert_eq!(cluster.nodes.iter().map(|s| s.state().sessions).sum::<usize>(), 0, "seed {seed}");
        }
    });
}

#[test]
fn connections_between_requests_half_sent_ones_and_streams_end_in_order() {
    local(async {
        let cluster = Cluster::new(2).await;
        let address = cluster.front.address();
        let (_playing, session) = cluster.set_up_session("v", 1).await;
        let mut events = cluster.connect().await;
        let json = ("content-type", "application/json");
        let made = events.request("POST", &format!("{session}/events"), &[json], b"[]", SECOND).await;
        assert_eq!(made.expect("an answer").status, 201);
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let get = format!("GET {session}/events/stream HTTP/1.1\r\nhost: x\r\n\r\n");
        stream.write_all(get.as_bytes()).await.expect("sent");
        let mut slow = TcpStream::connect(address).await.expect("connected");
        let body = offer(9);
        let head = format!(
            "POST /whep/t?viewer=slow HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        slow.write_all(head.as_bytes()).await.expect("sent");
        let mut idle = cluster.connect().await;
        assert_eq!(
            idle.request("OPTIONS", "/whep/t", &[], b"", SECOND).await.expect("an answer").status,
            204
        );
        let quiet = cluster.connect().await;
        sleep(Duration::from_millis(50)).await;
        let stopping = spawn_local(cluster.front.stop());
        sleep(Duration::from_millis(60)).await;
        // One that was idle asks again, at once: it is refused and told.
        let reply = idle.request("POST", "/whep/t?viewer=w", &[SDP], offer(3).as_bytes(), SECOND).await;
        let reply = reply.expect("an answer");
        assert_eq!((reply.status, reply.header("connection")), (503, Some("close")));
        // The slow one sends its body now.
        slow.write_all(body.as_bytes()).await.expect("sent");
        let mut text = Vec::new();
        timeout(PATIENCE, slow.read_to_end(&mut text)).await.expect("it ends").expect("in order");
        let text = String::from_utf8_lossy(&text).to_ascii_lowercase();
        assert!(text.starts_with("http/1.1 503") && text.contains("connection: close"), "{text}");
        let mut told = Vec::new();
        timeout(PATIENCE, stream.read_to_end(&mut told)).await.expect("it ends").expect("in order");
        let told = String::from_utf8_lossy(&told);
        assert!(
            told.contains("event: urn:pepperhook:whep:event:move") && told.ends_with("0\r\n\r\n"),
            "{told}"
        );
        stopping.await.expect("stopped");
        drop(quiet);
    });
}

#[test]
fn a_request_that_comes_as_the_last_idle_moment_ends_is_answered() {
    local(async {
        // Around the moment at which idle connections are shut, request after request.
        for at in [250, 280, 290, 295, 298, 300, 302, 305, 310] {
            let cluster = Cluster::new(1).await;
            let mut c = cluster.connect().await;
            assert_eq!(
                c.request("OPTIONS", "/whep/t", &[], b"", SECOND).await.expect("an answer").status,
                204
            );
            let (stopping, begin) = (spawn_local(cluster.front.stop()), tokio::time::Instant::now());
            sleep(Duration::from_millis(at)).await;
            // A machine that is busy may wake late.
            let late = begin.elapsed() >= Duration::from_millis(295);
            match c.request("OPTIONS", "/whep/t", &[], b"", SECOND).await {
                Ok(reply) => assert_eq!(reply.header("connection"), Some("close"), "at {at} ms"),
                // It was shut before the request came.
                Err(ReadError::Closed) => assert!(late, "at {at} ms"),
                Err(e) => panic!("at {at} ms: {e:?}"),
            }
            stopping.await.expect("stopped");
        }
    });
}
