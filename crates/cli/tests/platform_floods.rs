//! Floods of connections to `pepperhook platform`: which connections are evicted for new ones, which never are, what
//! happens when none can be evicted, and what happens without free descriptors. The tests control when requests and their
//! parts arrive, and the limit on descriptors.

#[path = "common/platform.rs"]
mod harness;
#[path = "common/sockets.rs"]
mod sockets;

use harness::*;
use serde_json::{Value, json};
use sockets::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Limit on open descriptors in these tests.
const DESCRIPTORS: usize = 64;
/// Number of viewer connections within [`DESCRIPTORS`].
const VIEWER_SLOTS: usize = (DESCRIPTORS - 16) / 2;
/// Number of further viewer connections as a reserve.
const RESERVE_SLOTS: usize = VIEWER_SLOTS / 8;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A set-up request of a viewer, with 3 s to its deadline.
fn set_up_request(id: &str) -> Vec<u8> {
    let fields = [
        ("CSeq", "1"),
        ("Session", id),
        ("Priority-Class", "lesson"),
        ("Expires-Ms", "3000"),
        ("P-Trunk-Info", "home:0;copies:2;top:0;viewer:00000000000000aa"),
    ];
    message("SETUP rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"an offer\r\n")
}

/// An OPTIONS request, which the front answers by itself.
fn ping() -> Vec<u8> {
    message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b"")
}

/// A node that delays its answers to set-ups whose ids begin with `5117` until `release` is set.
struct Node {
    address: SocketAddr,
    /// Session ids of the set-ups that arrived.
    set_ups: Receiver<String>,
    release: Arc<AtomicBool>,
}

fn start_node() -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("no valid address");
    let (set_up_sender, set_ups) = channel();
    let release = Arc::new(AtomicBool::new(false));
    let released = release.clone();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), set_up_sender, released) = (stream, set_up_sender.clone(), released.clone())
            else {
                return;
            };
            spawn(move || {
                while let Ok(request) = read(&mut stream) {
                    let session = request.field("Session").unwrap_or("").to_owned();
                    let answer = |number, body: &[u8]| {
                        message("RTSP/1.0 200 OK", &[("CSeq", number), ("Session", &session)], body)
                    };
                    let bytes = match request.head.split(' ').next() {
                        Some("SETUP") => {
                            if set_up_sender.send(session.clone()).is_err() {
                                return;
                            }
                            while session.starts_with("5117") && !released.load(Ordering::SeqCst) {
                                std::thread::sleep(ms(1));
                            }
                            answer("1", b"an answer\r\n")
                        }
                        Some("TEARDOWN") => answer("2", b""),
                        Some("OPTIONS") => answer("3", b""),
                        _ => Vec::new(),
                    };
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Node { address, set_ups, release }
}

/// Configuration with the limit [`DESCRIPTORS`].
fn limited_config(nodes: &[SocketAddr], log: SocketAddr) -> Value {
    let mut configuration = config(nodes, log);
    configuration["limits"]["sockets"] = json!(DESCRIPTORS);
    configuration
}

/// Requests a session on this connection and returns the head of the answer.
fn request_session(stream: &mut TcpStream, id: &str) -> std::io::Result<String> {
    stream.write_all(&set_up_request(id))?;
    Ok(read(stream)?.head)
}

/// Number of open descriptors of the front.
fn open_descriptors(front: &Front) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", front.child.id())).map_or(0, Iterator::count)
}

/// Whether the front has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("cannot change the socket's blocking mode");
    let closed = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("cannot change the socket's blocking mode");
    closed
}

/// Guards against eviction of busy connections: of connections with half a message, with a pending request and without
/// either, new connections evict only the last kind, and the others get their answers.
#[test]
fn only_idle_connections_are_evicted_for_new_ones() {
    let node = start_node();
    let front = front(&limited_config(&[node.address], change_log(Vec::new()).0));
    let id = |kind: &str, n: usize| format!("{kind}{n:012x}");
    // Half a message each; no complete one ever arrived on them.
    let mut half_sent: Vec<_> = (0..8)
        .map(|n| {
            let mut stream = front.connect();
            let bytes = set_up_request(&id("4a1f", n));
            stream.write_all(&bytes[..bytes.len() - 5]).expect("cannot write to the connection");
            (stream, bytes)
        })
        .collect();
    let mut pending: Vec<_> = (0..8)
        .map(|n| {
            let mut stream = front.connect();
            stream.write_all(&set_up_request(&id("5117", n))).expect("cannot write to the connection");
            stream
        })
        .collect();
    for _ in 0..8 {
        node.set_ups.recv_timeout(5 * SECOND).expect("the set-up did not reach the node");
    }
    let idle: Vec<_> = (0..VIEWER_SLOTS - 16)
        .map(|_| {
            let mut stream = front.connect();
            stream.write_all(&ping()).expect("cannot write to the connection");
            read(&mut stream).expect("no answer to the OPTIONS test");
            stream
        })
        .collect();
    // One after the other: each evicts an idle connection.
    let mut new = Vec::new();
    for n in 0..idle.len() {
        let mut stream = front.connect();
        assert!(request_session(&mut stream, &id("aaaa", n)).expect("no answer").contains(" 200 "));
        new.push(stream);
    }
    assert!(open_descriptors(&front) <= DESCRIPTORS, "more than {DESCRIPTORS} open descriptors");
    for (n, (stream, bytes)) in half_sent.iter_mut().enumerate() {
        assert!(!is_closed(stream), "connection {n} with half a message was evicted");
        stream.write_all(&bytes[bytes.len() - 5..]).expect("cannot write to the connection");
        assert!(
            read(stream).expect("no answer").head.contains(" 200 "),
            "request {n}, sent in halves, was not accepted"
        );
    }
    node.release.store(true, Ordering::SeqCst);
    for (n, stream) in pending.iter_mut().enumerate() {
        assert!(
            read(stream).expect("no answer").head.contains(" 200 "),
            "pending request {n} was not accepted"
        );
    }
    assert!(idle.iter().any(is_closed), "no idle connection was evicted");
}

/// Guards against eviction of a connection with an unread request: while the front is stopped, requests arrive on all
/// connections that it could evict and on new ones. All are answered, because the front reads from a connection before
/// it evicts it.
#[test]
fn a_connection_with_an_unread_request_is_not_evicted() {
    let node = start_node();
    let front = front(&limited_config(&[node.address], change_log(Vec::new()).0));
    let mut idle: Vec<_> = (0..VIEWER_SLOTS)
        .map(|_| {
            let mut stream = front.connect();
            stream.write_all(&ping()).expect("cannot write to the connection");
            read(&mut stream).expect("no answer to the OPTIONS test");
            stream
        })
        .collect();
    front.signal("SIGSTOP");
    let stat = format!("/proc/{}/stat", front.child.id());
    while !std::fs::read_to_string(&stat).expect("cannot read the state of the process").contains(") T ") {
        std::thread::yield_now();
    }
    let mut new: Vec<_> = (0..VIEWER_SLOTS).map(|_| front.connect()).collect();
    idle.iter_mut().for_each(|stream| stream.write_all(&ping()).expect("cannot write to the connection"));
    for (n, stream) in new.iter_mut().enumerate() {
        stream
            .write_all(&set_up_request(&format!("00000000000000{n:02x}")))
            .expect("cannot write to the connection");
    }
    // Long enough that the front regards all of them as idle.
    std::thread::sleep(ms(50));
    front.signal("SIGCONT");
    for (n, stream) in idle.iter_mut().chain(&mut new).enumerate() {
        let answer = read(stream).unwrap_or_else(|e| panic!("connection {n} has no answer: {e}")).head;
        assert!(
            answer.contains(" 200 ") || answer.contains(" 503 "),
            "connection {n} was answered {answer}, not 200 or 503"
        );
    }
}

/// Guards against starvation of new connections: a viewer that does not read its answers keeps its connection only until
/// these have timed out.
#[test]
fn viewers_that_do_not_read_do_not_block_new_connections_indefinitely() {
    let node = start_node();
    let mut configuration = config(&[node.address], change_log(Vec::new()).0);
    // Room for one viewer connection and one in reserve.
    configuration["limits"]["sockets"] = json!(19);
    let front = front(&configuration);
    let not_reading: Vec<_> = (0..2)
        .map(|_| {
            let stream = front.connect();
            fill_answer_queue(&front, &stream);
            stream
        })
        .collect();
    let mut new = front.connect();
    new.set_read_timeout(Some(15 * SECOND)).expect("cannot set the read or write timeout");
    new.write_all(&ping()).expect("cannot write to the connection");
    let began = Instant::now();
    assert!(read(&mut new).expect("no answer").head.contains(" 200 "));
    drop(not_reading);
    println!("the new connection was answered after {:?}, while two viewers did not read", began.elapsed());
}

/// Guards against a timeout that ignores progress: every piece completes one message and ends within the next. Since each
/// message is complete in time, the connection stays open.
#[test]
fn a_viewer_whose_writes_always_end_within_a_message_keeps_its_connection() {
    let node = start_node();
    let front = front(&config(&[node.address], change_log(Vec::new()).0));
    let mut viewer = front.connect();
    let request = ping();
    let (first, second) = request.split_at(20);
    let mut piece = first.to_vec();
    let began = Instant::now();
    // Longer than the timeouts for the first message and for completing a message.
    while began.elapsed() < 3 * SECOND {
        viewer
            .write_all(&piece)
            .unwrap_or_else(|e| panic!("the connection ended after {:?}: {e}", began.elapsed()));
        if piece.len() > first.len() {
            read(&mut viewer).unwrap_or_else(|e| panic!("no answer after {:?}: {e}", began.elapsed()));
        }
        piece = [second, first].concat();
    }
    viewer.write_all(second).expect("cannot write to the connection");
    assert!(read(&mut viewer).expect("no answer").head.contains(" 200 "));
}

/// Guards against closing connections at capacity: every viewer connection has a pending request. New connections wait in
/// the listen queue, none is closed, and all are answered as others end.
#[test]
fn when_no_connection_can_be_evicted_new_ones_wait_and_none_is_closed() {
    let node = start_node();
    let front = front(&limited_config(&[node.address], change_log(Vec::new()).0));
    let id = |kind: &str, n: usize| format!("{kind}{n:012x}");
    let mut pending: Vec<_> = (0..VIEWER_SLOTS + RESERVE_SLOTS)
        .map(|n| {
            let mut stream = front.connect();
            stream.write_all(&set_up_request(&id("5117", n))).expect("cannot write to the connection");
            stream
        })
        .collect();
    for _ in 0..2 {
        node.set_ups.recv_timeout(5 * SECOND).expect("the set-up did not reach the node");
    }
    let mut waiting: Vec<_> = (0..VIEWER_SLOTS)
        .map(|n| {
            let mut stream = front.connect();
            stream.write_all(&set_up_request(&id("aaaa", n))).expect("cannot write to the connection");
            stream
        })
        .collect();
    // The accepted connections get their answers and are closed.
    node.release.store(true, Ordering::SeqCst);
    for (n, stream) in pending.iter_mut().enumerate() {
        let answer = read(stream).expect("no answer").head;
        assert!(answer.starts_with("RTSP/1.0 "), "pending request {n} has no RTSP answer: {answer}");
    }
    drop(pending);
    for (n, stream) in waiting.iter_mut().enumerate() {
        let answer = read(stream).unwrap_or_else(|e| panic!("new connection {n} has no answer: {e}")).head;
        assert!(answer.starts_with("RTSP/1.0 "), "new connection {n} has no RTSP answer: {answer}");
        assert!(open_descriptors(&front) <= DESCRIPTORS, "more than {DESCRIPTORS} open descriptors");
    }
}

/// Sets the soft limit on open descriptors of the running front.
fn set_descriptor_limit(front: &Front, soft: usize) {
    let pid = front.child.id().to_string();
    let status = Command::new("prlimit").args(["--pid", &pid, &format!("--nofile={soft}:")]).status();
    assert!(status.expect("cannot run the command").success(), "prlimit failed");
}

/// Processor time of the front so far, in ticks of 10 ms.
fn cpu_ticks(front: &Front) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", front.child.id()))
        .expect("cannot read the state of the process");
    let fields: Vec<_> =
        stat.rsplit(") ").next().expect("no fields in the process's status").split(' ').collect();
    [11, 12].iter().filter_map(|i| fields[*i].parse::<u64>().ok()).sum()
}

/// Guards against a busy loop without free descriptors: new connections wait, the front neither spins nor floods its log,
/// and it accepts again as soon as a descriptor is free.
#[test]
fn without_free_descriptors_new_connections_wait_and_are_served_later() {
    let node = start_node();
    let front = front(&config(&[node.address], change_log(Vec::new()).0));
    let mut first = front.connect();
    assert!(request_session(&mut first, "00000000000000a1").expect("no answer").contains(" 200 "));
    set_descriptor_limit(&front, 3);
    let mut waiting: Vec<_> = (0..4)
        .map(|n| {
            let mut stream = front.connect();
            stream
                .write_all(&set_up_request(&format!("00000000000000b{n}")))
                .expect("cannot write to the connection");
            stream
        })
        .collect();
    wait_for_log_line(&front.log_lines, "accept-failed");
    // Accepted connections are served meanwhile; the connection to the node is open already.
    let (began, ticks_before) = (Instant::now(), cpu_ticks(&front));
    let mut served = 0;
    while began.elapsed() < 2 * SECOND {
        first.write_all(&ping()).expect("cannot write to the connection");
        assert!(read(&mut first).expect("no answer").head.contains(" 200 "));
        served += 1;
        std::thread::sleep(ms(20));
    }
    let spent = cpu_ticks(&front) - ticks_before;
    assert!(
        spent < 100,
        "the front used {spent} ticks of 10 ms in 2 s, 100 or more, for {served} OPTIONS requests"
    );
    let warnings = front.log_lines.try_iter().filter(|l| l.contains("accept-failed")).count();
    assert!(warnings == 0, "{warnings} further accept-failed warnings within 5 s of the first");
    assert!(!waiting.iter().any(is_closed), "a waiting connection was closed");
    set_descriptor_limit(&front, 256);
    for (n, stream) in waiting.iter_mut().enumerate() {
        let answer = read(stream).unwrap_or_else(|e| panic!("new connection {n} has no answer: {e}")).head;
        assert!(answer.contains(" 200 "), "new connection {n} was answered {answer}, not 200");
    }
}

/// Guards against idle clients using up the descriptors: there are twice as many of them as descriptors, while discovery
/// is down and afterwards. The front still connects to nodes, serves other clients, and reconnects to the change log as
/// soon as it is back.
#[test]
fn hundreds_of_idle_clients_block_neither_nodes_nor_discovery_nor_clients() {
    let (first, second) = (start_node(), start_node());
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let log = listener.local_addr().expect("no valid address");
    drop(listener);
    let front = front(&limited_config(&[first.address], log));
    let finished = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(Mutex::new(0));
    let flood: Vec<_> = (0..2 * DESCRIPTORS)
        .map(|_| {
            let (address, finished, refused) = (front.address, finished.clone(), refused.clone());
            spawn(move || {
                while !finished.load(Ordering::SeqCst) {
                    // Sends nothing, and reconnects when the front closes its connection.
                    let Ok(mut stream) = TcpStream::connect(address) else {
                        *refused.lock().expect("the mutex is poisoned") += 1;
                        return;
                    };
                    stream.set_read_timeout(Some(ms(50))).expect("cannot set the read or write timeout");
                    let timed_out = |e: &std::io::Error| e.kind() == ErrorKind::WouldBlock;
                    while !finished.load(Ordering::SeqCst)
                        && stream.read(&mut [0]).is_err_and(|e| timed_out(&e))
                    {}
                }
            })
        })
        .collect();
    let mut most_descriptors = 0;
    let mut slowest = Duration::ZERO;
    let mut serve_client = |front: &Front, n: u64| {
        let began = Instant::now();
        let mut stream = front.connect();
        let answer = request_session(&mut stream, &format!("{n:016x}")).expect("no answer");
        assert!(answer.contains(" 200 "), "client {n} was answered {answer}, not 200");
        slowest = slowest.max(began.elapsed());
        most_descriptors = most_descriptors.max(open_descriptors(front));
    };
    (1..21).for_each(|n| serve_client(&front, n));
    // Discovery is back, and sends events that replace the first node by another.
    let listener = TcpListener::bind(log).expect("cannot bind to the former port");
    let back_since = Instant::now();
    let (mut log_connection, _) =
        listener.accept().expect("the front did not request events from the change log");
    log_connection.read_exact(&mut [0; 8]).expect("no sequence number arrived");
    let reconnected_after = back_since.elapsed();
    log_connection.write_all(&node_change(4, 0, 2, first.address)).expect("cannot write to the connection");
    log_connection.write_all(&node_change(5, 9, 0, second.address)).expect("cannot write to the connection");
    let deadline = Instant::now() + 5 * SECOND;
    let mut n = 21;
    while second.set_ups.try_recv().is_err() {
        let mut stream = front.connect();
        request_session(&mut stream, &format!("{n:016x}")).expect("no answer");
        n += 1;
        assert!(Instant::now() < deadline, "no set-up reached the new node within 5 s");
    }
    finished.store(true, Ordering::SeqCst);
    flood.into_iter().for_each(|f| f.join().expect("the client thread panicked"));
    println!(
        "slowest client {slowest:?}, {most_descriptors} descriptors at most, reconnected to discovery after {reconnected_after:?}"
    );
    assert_eq!(*refused.lock().expect("the mutex is poisoned"), 0, "connections were refused");
    assert!(most_descriptors <= DESCRIPTORS, "{most_descriptors} open descriptors, more than {DESCRIPTORS}");
    assert!(
        reconnected_after < 3 * SECOND,
        "the front reconnected to the change log only after {reconnected_after:?}"
    );
}
