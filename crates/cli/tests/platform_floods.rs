//! Floods of connections at `pepperhook platform`: who gives way, who never does, what happens when nobody can, and what
//! a full table of descriptors does. Requests, halves of them and the limit on descriptors are held by the test.

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

/// The limit on descriptors in these tests; of it viewers have `PLACES`, and the eighth more that is a reserve.
const DESCRIPTORS: usize = 64;
const PLACES: usize = (DESCRIPTORS - 16) / 2;
const RESERVE: usize = PLACES / 8;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn set_up(id: &str) -> Vec<u8> {
    let fields = [
        ("CSeq", "1"),
        ("Session", id),
        ("Priority-Class", "lesson"),
        ("Expires-Ms", "3000"),
        ("P-Trunk-Info", "home:0;copies:2;top:0;viewer:00000000000000aa"),
    ];
    message("SETUP rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"an offer\r\n")
}

fn ping() -> Vec<u8> {
    message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b"")
}

/// A node that keeps set-ups of ids that begin with `5117` until `go` is set.
struct Node {
    address: SocketAddr,
    told: Receiver<String>,
    go: Arc<AtomicBool>,
}

fn node() -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    let (tell, told) = channel();
    let go = Arc::new(AtomicBool::new(false));
    let gate = go.clone();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), tell, gate) = (stream, tell.clone(), gate.clone()) else { return };
            spawn(move || {
                while let Ok(m) = read(&mut stream) {
                    let session = m.field("Session").unwrap_or("").to_owned();
                    let answer = |number, body: &[u8]| {
                        message("RTSP/1.0 200 OK", &[("CSeq", number), ("Session", &session)], body)
                    };
                    let bytes = match m.head.split(' ').next() {
                        Some("SETUP") => {
                            if tell.send(session.clone()).is_err() {
                                return;
                            }
                            while session.starts_with("5117") && !gate.load(Ordering::SeqCst) {
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
    Node { address, told, go }
}

fn small(nodes: &[SocketAddr], log: SocketAddr) -> Value {
    let mut v = config(nodes, log);
    v["limits"]["sockets"] = json!(DESCRIPTORS);
    v
}

/// Asks on this connection; the answer's first line.
fn asks(stream: &mut TcpStream, id: &str) -> std::io::Result<String> {
    stream.write_all(&set_up(id))?;
    Ok(read(stream)?.head)
}

fn descriptors(front: &Front) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", front.child.id())).map_or(0, Iterator::count)
}

/// Whether the front has ended the connection by now.
fn is_ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a mode");
    let end = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("a mode");
    end
}

/// Connections with half a message, with an open request, with nothing: newcomers take the places of the last ones alone,
/// and the others have their answers.
#[test]
fn who_gives_way_has_nothing_under_way() {
    let node = node();
    let front = front(&small(&[node.address], change_log(Vec::new()).0));
    let id = |kind: &str, n: usize| format!("{kind}{n:012x}");
    // Half a message: nothing whole ever came on them.
    let mut halves: Vec<_> = (0..8)
        .map(|n| {
            let mut stream = front.connect();
            let bytes = set_up(&id("4a1f", n));
            stream.write_all(&bytes[..bytes.len() - 5]).expect("writes");
            (stream, bytes)
        })
        .collect();
    let mut open: Vec<_> = (0..8)
        .map(|n| {
            let mut stream = front.connect();
            stream.write_all(&set_up(&id("5117", n))).expect("writes");
            stream
        })
        .collect();
    for _ in 0..8 {
        node.told.recv_timeout(5 * SECOND).expect("it is out at the node");
    }
    let idle: Vec<_> = (0..PLACES - 16)
        .map(|_| {
            let mut stream = front.connect();
            stream.write_all(&ping()).expect("writes");
            read(&mut stream).expect("a test passed");
            stream
        })
        .collect();
    // One after the other: each takes the place of an idle one.
    let mut new = Vec::new();
    for n in 0..idle.len() {
        let mut stream = front.connect();
        assert!(asks(&mut stream, &id("aaaa", n)).expect("an answer").contains(" 200 "));
        new.push(stream);
    }
    assert!(descriptors(&front) <= DESCRIPTORS);
    for (n, (stream, bytes)) in halves.iter_mut().enumerate() {
        assert!(!is_ended(stream), "half message {n} was turned away");
        stream.write_all(&bytes[bytes.len() - 5..]).expect("writes");
        assert!(read(stream).expect("an answer").head.contains(" 200 "), "half message {n}");
    }
    node.go.store(true, Ordering::SeqCst);
    for (n, stream) in open.iter_mut().enumerate() {
        assert!(read(stream).expect("an answer").head.contains(" 200 "), "open request {n}");
    }
    assert!(idle.iter().any(is_ended), "somebody has given way");
}

/// The front stands still; meanwhile requests come on all connections that could give way, and newcomers. All of them are
/// answered: who has written something is looked at before it gives way.
#[test]
fn who_has_written_what_nobody_has_read_yet_does_not_give_way() {
    let node = node();
    let front = front(&small(&[node.address], change_log(Vec::new()).0));
    let mut idle: Vec<_> = (0..PLACES)
        .map(|_| {
            let mut stream = front.connect();
            stream.write_all(&ping()).expect("writes");
            read(&mut stream).expect("a test passed");
            stream
        })
        .collect();
    front.signal("SIGSTOP");
    let stat = format!("/proc/{}/stat", front.child.id());
    while !std::fs::read_to_string(&stat).expect("a process").contains(") T ") {
        std::thread::yield_now();
    }
    let mut new: Vec<_> = (0..PLACES).map(|_| front.connect()).collect();
    idle.iter_mut().for_each(|stream| stream.write_all(&ping()).expect("writes"));
    for (n, stream) in new.iter_mut().enumerate() {
        stream.write_all(&set_up(&format!("00000000000000{n:02x}"))).expect("writes");
    }
    // Long enough for all of them to be quiet ones.
    std::thread::sleep(ms(50));
    front.signal("SIGCONT");
    for (n, stream) in idle.iter_mut().chain(&mut new).enumerate() {
        let answer = read(stream).unwrap_or_else(|e| panic!("connection {n} has no answer: {e}")).head;
        assert!(answer.contains(" 200 ") || answer.contains(" 503 "), "connection {n}: {answer}");
    }
}

/// Who takes none of its answers keeps its place until they are past their time, and no longer.
#[test]
fn viewers_that_do_not_read_keep_no_newcomer_away_for_ever() {
    let node = node();
    let mut v = config(&[node.address], change_log(Vec::new()).0);
    // One place, and one in reserve.
    v["limits"]["sockets"] = json!(19);
    let front = front(&v);
    let deaf: Vec<_> = (0..2)
        .map(|_| {
            let stream = front.connect();
            fill_answer_queue(&front, &stream);
            stream
        })
        .collect();
    let mut new = front.connect();
    new.set_read_timeout(Some(15 * SECOND)).expect("a time");
    new.write_all(&ping()).expect("writes");
    let began = Instant::now();
    assert!(read(&mut new).expect("an answer").head.contains(" 200 "));
    drop(deaf);
    println!("a place among viewers that do not read was free after {:?}", began.elapsed());
}

/// Each message is whole soon, and each piece that comes ends within the next one: the connection is in order for as long
/// as that goes on.
#[test]
fn a_viewer_whose_pieces_always_end_within_a_message_keeps_its_connection() {
    let node = node();
    let front = front(&config(&[node.address], change_log(Vec::new()).0));
    let mut viewer = front.connect();
    let whole = ping();
    let (first, second) = whole.split_at(20);
    let mut piece = first.to_vec();
    let began = Instant::now();
    // Longer than the time for a first word, and for one message.
    while began.elapsed() < 3 * SECOND {
        viewer.write_all(&piece).unwrap_or_else(|e| panic!("after {:?}: {e}", began.elapsed()));
        if piece.len() > first.len() {
            read(&mut viewer).unwrap_or_else(|e| panic!("no answer after {:?}: {e}", began.elapsed()));
        }
        piece = [second, first].concat();
    }
    viewer.write_all(second).expect("writes");
    assert!(read(&mut viewer).expect("an answer").head.contains(" 200 "));
}

/// Every place has an open request: newcomers wait where the machine has accepted them, none is closed, and all are
/// answered as places become free.
#[test]
fn when_nobody_can_give_way_newcomers_wait_and_none_is_closed() {
    let node = node();
    let front = front(&small(&[node.address], change_log(Vec::new()).0));
    let id = |kind: &str, n: usize| format!("{kind}{n:012x}");
    let mut open: Vec<_> = (0..PLACES + RESERVE)
        .map(|n| {
            let mut stream = front.connect();
            stream.write_all(&set_up(&id("5117", n))).expect("writes");
            stream
        })
        .collect();
    for _ in 0..2 {
        node.told.recv_timeout(5 * SECOND).expect("it is out at the node");
    }
    let mut waiting: Vec<_> = (0..PLACES)
        .map(|n| {
            let mut stream = front.connect();
            stream.write_all(&set_up(&id("aaaa", n))).expect("writes");
            stream
        })
        .collect();
    // Those that have places have their answers in the end, and go.
    node.go.store(true, Ordering::SeqCst);
    for (n, stream) in open.iter_mut().enumerate() {
        let answer = read(stream).expect("an answer").head;
        assert!(answer.starts_with("RTSP/1.0 "), "open request {n}: {answer}");
    }
    drop(open);
    for (n, stream) in waiting.iter_mut().enumerate() {
        let answer = read(stream).unwrap_or_else(|e| panic!("newcomer {n} has no answer: {e}")).head;
        assert!(answer.starts_with("RTSP/1.0 "), "newcomer {n}: {answer}");
        assert!(descriptors(&front) <= DESCRIPTORS);
    }
}

/// A machine's limit on the process, as the test sets it.
fn limit(front: &Front, soft: usize) {
    let pid = front.child.id().to_string();
    let done = Command::new("prlimit").args(["--pid", &pid, &format!("--nofile={soft}:")]).status();
    assert!(done.expect("runs").success());
}

/// Processor time of the process so far, in ticks of 10 ms.
fn ticks(front: &Front) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", front.child.id())).expect("a process");
    let fields: Vec<_> = stat.rsplit(") ").next().expect("fields").split(' ').collect();
    [11, 12].iter().filter_map(|i| fields[*i].parse::<u64>().ok()).sum()
}

/// No descriptor is left: those who come wait, the front neither spins nor fills its log, and accepts again as soon as
/// there is one.
#[test]
fn without_a_descriptor_newcomers_wait_and_are_served_once_there_is_one() {
    let node = node();
    let front = front(&config(&[node.address], change_log(Vec::new()).0));
    let mut first = front.connect();
    assert!(asks(&mut first, "00000000000000a1").expect("an answer").contains(" 200 "));
    limit(&front, 3);
    let mut waiting: Vec<_> = (0..4)
        .map(|n| {
            let mut stream = front.connect();
            stream.write_all(&set_up(&format!("00000000000000b{n}"))).expect("writes");
            stream
        })
        .collect();
    wait_for_log_line(&front.log_lines, "accept-failed");
    // Connections that it has are served meanwhile. The node has one, too.
    let began = (Instant::now(), ticks(&front));
    let mut served = 0;
    while began.0.elapsed() < 2 * SECOND {
        first.write_all(&ping()).expect("writes");
        assert!(read(&mut first).expect("an answer").head.contains(" 200 "));
        served += 1;
        std::thread::sleep(ms(20));
    }
    let spent = ticks(&front) - began.1;
    assert!(spent < 100, "{spent} ticks of 10 ms in 2 s, {served} tests passed");
    let warnings = front.log_lines.try_iter().filter(|l| l.contains("accept-failed")).count();
    assert!(warnings == 0, "{warnings} more warnings within 5 s");
    assert!(!waiting.iter().any(is_ended), "a connection was closed");
    limit(&front, 256);
    for (n, stream) in waiting.iter_mut().enumerate() {
        let answer = read(stream).unwrap_or_else(|e| panic!("newcomer {n} has no answer: {e}")).head;
        assert!(answer.contains(" 200 "), "newcomer {n}: {answer}");
    }
}

/// Twice as many idle clients as there are descriptors, for as long as discovery is down and after; nodes are dialled,
/// clients come and are served, and the change log is asked as soon as it is back.
#[test]
fn idle_clients_by_the_hundred_keep_neither_nodes_nor_discovery_nor_clients_away() {
    let (one, two) = (node(), node());
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let log = listener.local_addr().expect("an address");
    drop(listener);
    let front = front(&small(&[one.address], log));
    let over = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(Mutex::new(0));
    let flood: Vec<_> = (0..2 * DESCRIPTORS)
        .map(|_| {
            let (address, over, refused) = (front.address, over.clone(), refused.clone());
            spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    // It says nothing, and comes again when it is turned away.
                    let Ok(mut stream) = TcpStream::connect(address) else {
                        *refused.lock().expect("a lock") += 1;
                        return;
                    };
                    stream.set_read_timeout(Some(ms(50))).expect("a time");
                    let quiet = |e: &std::io::Error| e.kind() == ErrorKind::WouldBlock;
                    while !over.load(Ordering::SeqCst) && stream.read(&mut [0]).is_err_and(|e| quiet(&e)) {}
                }
            })
        })
        .collect();
    let mut most = 0;
    let mut slowest = Duration::ZERO;
    let mut served = |front: &Front, n: u64| {
        let began = Instant::now();
        let mut stream = front.connect();
        let answer = asks(&mut stream, &format!("{n:016x}")).expect("an answer");
        assert!(answer.contains(" 200 "), "client {n}: {answer}");
        slowest = slowest.max(began.elapsed());
        most = most.max(descriptors(front));
    };
    (1..21).for_each(|n| served(&front, n));
    // Discovery is back, and tells of another node in place of the first.
    let listener = TcpListener::bind(log).expect("binds again");
    let back = Instant::now();
    let (mut asked, _) = listener.accept().expect("the front asks");
    asked.read_exact(&mut [0; 8]).expect("a number");
    let asked_after = back.elapsed();
    asked.write_all(&node_change(4, 0, 2, one.address)).expect("writes");
    asked.write_all(&node_change(5, 9, 0, two.address)).expect("writes");
    let give_up = Instant::now() + 5 * SECOND;
    let mut n = 21;
    while two.told.try_recv().is_err() {
        let mut stream = front.connect();
        asks(&mut stream, &format!("{n:016x}")).expect("an answer");
        n += 1;
        assert!(Instant::now() < give_up, "the new node is not dialled");
    }
    over.store(true, Ordering::SeqCst);
    flood.into_iter().for_each(|f| f.join().expect("a client"));
    println!("slowest client {slowest:?}, {most} descriptors at most, discovery asked after {asked_after:?}");
    assert_eq!(*refused.lock().expect("a lock"), 0, "the machine turned a client away");
    assert!(most <= DESCRIPTORS, "{most} descriptors");
    assert!(asked_after < 3 * SECOND, "{asked_after:?}");
}
