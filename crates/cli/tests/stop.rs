//! Graceful stop of a front. A request is lost if it arrives on a persistent connection that the front closes
//! without a previous `connection: close` (RFC 9112, 9.3.1, 9.6). Every request must be answered, or an earlier
//! answer on its connection must have announced the close.

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

/// What all clients of one test run observed.
#[derive(Default)]
struct Observed {
    /// Number of answers to POSTs, by status.
    answers: RefCell<BTreeMap<u16, u32>>,
    /// Number of requests without an answer.
    lost: Cell<u32>,
    /// Number of connections whose last answer had `connection: close`.
    announced_closes: Cell<u32>,
}

/// Sets up and deletes sessions in a loop on one connection until an answer has `connection: close`.
async fn client(front: std::net::SocketAddr, n: u64, pause_ms: u64, observed: Rc<Observed>) {
    let Ok(mut connection) = Connection::open(front).await else { return };
    for k in 0.. {
        let body = offer(n * 10_000 + k);
        let path = format!("/whep/t?viewer=v{n}");
        match connection.request("POST", &path, &[SDP], body.as_bytes(), PATIENCE).await {
            Ok(reply) => {
                *observed.answers.borrow_mut().entry(reply.status).or_default() += 1;
                if reply.header("connection") == Some("close") {
                    observed.announced_closes.set(observed.announced_closes.get() + 1);
                    return;
                }
                if let (201, Some(session)) = (reply.status, reply.header("location")) {
                    let session = session.to_owned();
                    match connection.request("DELETE", &session, &[], b"", PATIENCE).await {
                        Ok(reply) if reply.header("connection") == Some("close") => {
                            observed.announced_closes.set(observed.announced_closes.get() + 1);
                            return;
                        }
                        Ok(_) => {}
                        Err(_) => return observed.lost.set(observed.lost.get() + 1),
                    }
                }
            }
            Err(ReadError::Closed | ReadError::Timeout | ReadError::Malformed) => {
                return observed.lost.set(observed.lost.get() + 1);
            }
        }
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

#[test]
fn a_stop_under_load_answers_every_request_or_announces_the_close() {
    local(async {
        for seed in 0..6u64 {
            let mut rng = StdRng::seed_from_u64(seed);
            let cluster = Cluster::with_options(3, "", |o| o.set_up_ms = 20.0).await;
            let observed = Rc::new(Observed::default());
            let address = cluster.front.address();
            let clients: Vec<_> = (0..48)
                .map(|n| spawn_local(client(address, n, rng.random_range(0..30), observed.clone())))
                .collect();
            sleep(Duration::from_millis(rng.random_range(100..400))).await;
            cluster.front.stop().await;
            for client in clients {
                timeout(PATIENCE, client)
                    .await
                    .expect("a client still runs after the stop")
                    .expect("the task panicked");
            }
            let answers = observed.answers.borrow().clone();
            assert_eq!(
                observed.lost.get(),
                0,
                "seed {seed}: requests without an answer; answers by status: {answers:?}"
            );
            assert_eq!(
                observed.announced_closes.get(),
                48,
                "seed {seed}: a connection was closed without `connection: close`"
            );
            assert!(answers.get(&201).is_some_and(|n| *n > 5), "too few set-ups succeeded: {answers:?}");
            assert!(
                answers.values().sum::<u32>() > 48,
                "no connection was used for several requests: {answers:?}"
            );
            assert_eq!(
                cluster.nodes.iter().map(|s| s.state().sessions).sum::<usize>(),
                0,
                "seed {seed}: sessions are left at the nodes"
            );
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
        let created = events.request("POST", &format!("{session}/events"), &[json], b"[]", SECOND).await;
        assert_eq!(created.expect("no answer").status, 201);
        let mut stream = TcpStream::connect(address).await.expect("cannot connect");
        let get = format!("GET {session}/events/stream HTTP/1.1\r\nhost: x\r\n\r\n");
        stream.write_all(get.as_bytes()).await.expect("cannot send");
        let mut slow = TcpStream::connect(address).await.expect("cannot connect");
        let body = offer(9);
        let head = format!(
            "POST /whep/t?viewer=slow HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        slow.write_all(head.as_bytes()).await.expect("cannot send");
        let mut idle = cluster.connect().await;
        assert_eq!(
            idle.request("OPTIONS", "/whep/t", &[], b"", SECOND).await.expect("no answer").status,
            204
        );
        let unused = cluster.connect().await;
        sleep(Duration::from_millis(50)).await;
        let stopping = spawn_local(cluster.front.stop());
        sleep(Duration::from_millis(60)).await;
        // A new request on an idle connection is refused, and the answer announces the close.
        let reply = idle.request("POST", "/whep/t?viewer=w", &[SDP], offer(3).as_bytes(), SECOND).await;
        let reply = reply.expect("no answer");
        assert_eq!((reply.status, reply.header("connection")), (503, Some("close")));
        // The slow request's body arrives only now.
        slow.write_all(body.as_bytes()).await.expect("cannot send");
        let mut text = Vec::new();
        timeout(PATIENCE, slow.read_to_end(&mut text))
            .await
            .expect("the connection is still open")
            .expect("the connection was reset");
        let text = String::from_utf8_lossy(&text).to_ascii_lowercase();
        assert!(
            text.starts_with("http/1.1 503") && text.contains("connection: close"),
            "unexpected answer to the slow request: {text}"
        );
        let mut events_text = Vec::new();
        timeout(PATIENCE, stream.read_to_end(&mut events_text))
            .await
            .expect("the connection is still open")
            .expect("the connection was reset");
        let events_text = String::from_utf8_lossy(&events_text);
        assert!(
            events_text.contains("event: urn:pepperhook:whep:event:move")
                && events_text.ends_with("0\r\n\r\n"),
            "unexpected end of the event stream: {events_text}"
        );
        stopping.await.expect("the stop panicked");
        drop(unused);
    });
}

#[test]
fn a_request_sent_as_the_idle_grace_ends_is_answered() {
    local(async {
        // Idle connections are closed about 300 ms after the stop; the requests arrive at moments around
        // that.
        for at_ms in [250, 280, 290, 295, 298, 300, 302, 305, 310] {
            let cluster = Cluster::new(1).await;
            let mut connection = cluster.connect().await;
            assert_eq!(
                connection.request("OPTIONS", "/whep/t", &[], b"", SECOND).await.expect("no answer").status,
                204
            );
            let (stopping, begin) = (spawn_local(cluster.front.stop()), tokio::time::Instant::now());
            sleep(Duration::from_millis(at_ms)).await;
            // On a busy machine the sleep may last longer than asked for.
            let is_late = begin.elapsed() >= Duration::from_millis(295);
            match connection.request("OPTIONS", "/whep/t", &[], b"", SECOND).await {
                Ok(reply) => assert_eq!(
                    reply.header("connection"),
                    Some("close"),
                    "request sent {at_ms} ms after the stop"
                ),
                // The connection was closed before the request arrived.
                Err(ReadError::Closed) => assert!(is_late, "request sent {at_ms} ms after the stop"),
                Err(e) => panic!("request sent {at_ms} ms after the stop: {e:?}"),
            }
            stopping.await.expect("the stop panicked");
        }
    });
}
