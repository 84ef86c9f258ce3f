//! Signals to and shutdown of `pepperhook platform` while a request, a release or the start is unfinished. A test holds
//! back the configuration, the rest of a request, the process itself or a FIN until the front has reached that point.

#[path = "common/platform.rs"]
mod harness;
#[path = "common/sockets.rs"]
mod sockets;

use harness::*;
use sockets::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// The node never answers set-ups whose ids begin with this.
const UNANSWERED_PREFIX: &str = "5117";

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
        ("P-Trunk-Info", "home:0;copies:2;top:1;viewer:00000000000000aa"),
    ];
    message("SETUP rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"an offer\r\n")
}

/// An OPTIONS request, which the front answers by itself.
fn ping() -> Vec<u8> {
    message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b"")
}

/// Starts a node that accepts every set-up except those with [`UNANSWERED_PREFIX`]; returns its address and the messages
/// that it received.
fn start_node() -> (SocketAddr, Receiver<Raw>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("no valid address");
    let (message_sender, received) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), message_sender) = (stream, message_sender.clone()) else { return };
            spawn(move || {
                while let Ok(request) = read(&mut stream) {
                    let session = request.field("Session").unwrap_or("").to_owned();
                    let answer = |number, body: &[u8]| {
                        message("RTSP/1.0 200 OK", &[("CSeq", number), ("Session", &session)], body)
                    };
                    let bytes = match request.head.split(' ').next() {
                        Some("SETUP") if !session.starts_with(UNANSWERED_PREFIX) => {
                            answer("1", b"an answer\r\n")
                        }
                        Some("TEARDOWN") => answer("2", b""),
                        Some("OPTIONS") => answer("3", b""),
                        _ => Vec::new(),
                    };
                    if stream.write_all(&bytes).is_err() || message_sender.send(request).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, received)
}

/// Starts a front with these nodes and a change log without events.
fn front_with_nodes(nodes: &[SocketAddr]) -> Front {
    front(&config(nodes, change_log(Vec::new()).0))
}

/// Reads all complete messages up to the end of the connection; the error kind is `UnexpectedEof` after an orderly end.
fn read_to_end(mut stream: TcpStream) -> (Vec<Raw>, std::io::ErrorKind) {
    stream.set_read_timeout(Some(10 * SECOND)).expect("cannot set the read or write timeout");
    let mut messages = Vec::new();
    loop {
        match read(&mut stream) {
            Ok(message) => messages.push(message),
            Err(e) => return (messages, e.kind()),
        }
    }
}

/// Status codes of the final answers to one set-up.
fn answer_statuses(messages: &[Raw], id: &str) -> Vec<u16> {
    let answers = messages.iter().filter(|m| m.field("Session") == Some(id) && m.field("CSeq") == Some("1"));
    answers
        .filter_map(|m| m.head.strip_prefix("RTSP/1.0 ")?.get(..3)?.parse().ok())
        .filter(|status| *status >= 200)
        .collect()
}

/// Waits up to 10 s for the end of the process; returns its exit code.
fn wait_for_exit(child: &mut Child) -> Option<i32> {
    let deadline = Instant::now() + 10 * SECOND;
    loop {
        if let Some(status) = child.try_wait().expect("cannot wait for the process") {
            return status.code();
        }
        assert!(Instant::now() < deadline, "the process did not end within 10 s");
        std::thread::sleep(ms(2));
    }
}

/// State of the process as a letter of `/proc/PID/stat`, such as `T` for stopped.
fn process_state(child: &Child) -> char {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id()))
        .expect("cannot read the state of the process");
    stat.rsplit(") ").next().and_then(|s| s.chars().next()).expect("no state in the process's status")
}

// ---- signals -----------------------------------------------------------------------------------

/// A front whose configuration file is a pipe, so a test can hold it back while the front reads it.
struct StartingFront {
    child: Child,
    log_lines: Receiver<String>,
    /// The folder of the pipe.
    folder: tempfile::TempDir,
}

impl Drop for StartingFront {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl StartingFront {
    fn config_path(folder: &Path) -> std::path::PathBuf {
        folder.join("config.json")
    }

    fn new() -> Self {
        let folder = tempfile::tempdir().expect("cannot create a temporary folder");
        let made = Command::new("mkfifo")
            .arg(Self::config_path(folder.path()))
            .status()
            .expect("cannot run the command");
        assert!(made.success(), "mkfifo failed");
        let mut child = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
            .args(["platform", "--config"])
            .arg(Self::config_path(folder.path()))
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped())
            .spawn()
            .expect("cannot start the process");
        let (line_sender, log_lines) = channel();
        let stderr = child.stderr.take().expect("stderr is not piped");
        spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).try_for_each(|l| line_sender.send(l))
        });
        Self { child, log_lines, folder }
    }

    /// Waits until the front has opened the pipe for reading; returns the end for writing.
    fn wait_until_reading(&self) -> std::fs::File {
        std::fs::OpenOptions::new()
            .write(true)
            .open(Self::config_path(self.folder.path()))
            .expect("cannot open the pipe")
    }

    fn signal(&self, signal: nix::sys::signal::Signal) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(pid, signal).expect("cannot send the signal");
    }
}

/// Address in the log line with which a front reports that it listens.
fn address_of(line: &str) -> SocketAddr {
    let address = line.split("address=").nth(1).and_then(|a| a.split(' ').next());
    address.and_then(|a| a.parse().ok()).expect("no valid address")
}

#[test]
fn a_sighup_during_the_first_read_of_the_configuration_causes_a_reload_after_the_start() {
    let (node, _received) = start_node();
    let text = config(&[node], change_log(Vec::new()).0).to_string();
    let starting = StartingFront::new();
    let mut pipe = starting.wait_until_reading();
    starting.signal(nix::sys::signal::Signal::SIGHUP);
    pipe.write_all(text.as_bytes()).expect("cannot write to the connection");
    // The SIGHUP makes the front read the configuration again. A regular file must have replaced the pipe by then, because
    // a front that serves does not wait for a pipe.
    let file = starting.folder.path().join("next.json");
    std::fs::write(&file, &text).expect("cannot write the file");
    std::fs::rename(&file, StartingFront::config_path(starting.folder.path()))
        .expect("cannot replace the file");
    drop(pipe);
    let ready = wait_for_log_line(&starting.log_lines, "listening");
    wait_for_log_line(&starting.log_lines, "config-taken");
    let mut viewer = TcpStream::connect(address_of(&ready)).expect("cannot connect to the front");
    viewer.write_all(&set_up_request("00000000000000a1")).expect("cannot write to the connection");
    assert!(read(&mut viewer).expect("no answer").head.starts_with("RTSP/1.0 200"));
}

#[test]
fn a_sigterm_during_the_first_read_of_the_configuration_ends_the_process_with_exit_code_0() {
    let text = config(&[], change_log(Vec::new()).0).to_string();
    for signal in [nix::sys::signal::Signal::SIGTERM, nix::sys::signal::Signal::SIGINT] {
        let mut starting = StartingFront::new();
        let mut pipe = starting.wait_until_reading();
        starting.signal(signal);
        pipe.write_all(text.as_bytes()).expect("cannot write to the connection");
        drop(pipe);
        assert_eq!(wait_for_exit(&mut starting.child), Some(0), "wrong exit code after {signal}");
    }
}

#[test]
fn signals_after_sigterm_do_not_shorten_the_shutdown_or_drop_requests() {
    let (node, received) = start_node();
    let mut front = front_with_nodes(&[node]);
    let mut viewer = front.connect();
    let pending = format!("{UNANSWERED_PREFIX}0000000000a1");
    viewer.write_all(&set_up_request(&pending)).expect("cannot write to the connection");
    assert!(
        received.iter().any(|m| m.field("Session") == Some(&pending)),
        "the set-up did not reach the node"
    );
    front.signal("SIGTERM");
    wait_for_log_line(&front.log_lines, "stopping");
    for signal in ["SIGTERM", "SIGINT", "SIGHUP", "SIGTERM"] {
        front.signal(signal);
    }
    wait_for_log_line(&front.log_lines, "config-taken");
    viewer.write_all(&set_up_request("00000000000000a2")).expect("cannot write to the connection");
    let (all, _) = read_to_end(viewer);
    assert_eq!(answer_statuses(&all, "00000000000000a2"), [200]);
    assert_eq!(answer_statuses(&all, &pending), [500], "the set-up may have run, therefore 500 is expected");
    assert_eq!(wait_for_exit(&mut front.child), Some(0));
}

// ---- shutdown ----------------------------------------------------------------------------------

/// Guards against requests lost at shutdown: the front is stopped from shortly after SIGTERM until its grace period is
/// over; meanwhile requests arrive on an accepted connection and on new ones in the listen queue. All are answered.
#[test]
fn requests_on_connections_in_the_listen_queue_are_answered_at_shutdown() {
    let (node, _received) = start_node();
    let mut front = front_with_nodes(&[node]);
    let mut accepted = front.connect();
    accepted.write_all(&ping()).expect("cannot write to the connection");
    read(&mut accepted).expect("no answer to the OPTIONS test");
    front.signal("SIGTERM");
    let signalled = Instant::now();
    wait_for_log_line(&front.log_lines, "stopping");
    front.signal("SIGSTOP");
    while process_state(&front.child) != 'T' {
        std::thread::yield_now();
    }
    let mut clients = vec![(accepted, "00000000000000a0".to_owned())];
    clients.extend((1..9).map(|n| (front.connect(), format!("00000000000000a{n}"))));
    for (stream, id) in &mut clients {
        let second = set_up_request(&id.replace('a', "b"));
        stream.write_all(&[set_up_request(id), second].concat()).expect("cannot write to the connection");
    }
    // The front's grace period is over by then.
    std::thread::sleep((signalled + ms(1_000)).saturating_duration_since(Instant::now()));
    front.signal("SIGCONT");
    for (stream, id) in clients {
        let (all, end) = read_to_end(stream);
        for id in [id.clone(), id.replace('a', "b")] {
            // 200 if the request was read before the front noticed the end of its grace period.
            let statuses = answer_statuses(&all, &id);
            assert!(
                statuses == [503] || statuses == [200],
                "set-up {id}: statuses are {statuses:?}, not one 503 or 200; messages: {all:?}, end: {end:?}"
            );
        }
    }
    assert_eq!(wait_for_exit(&mut front.child), Some(0));
}

/// Guards against a request cut off by shutdown: half of it arrives before SIGTERM and the rest when the front would have
/// ended otherwise.
#[test]
fn a_request_that_is_half_received_at_sigterm_is_answered() {
    let (node, _received) = start_node();
    let mut front = front_with_nodes(&[node]);
    let mut viewer = front.connect();
    viewer.write_all(&ping()).expect("cannot write to the connection");
    read(&mut viewer).expect("no answer to the OPTIONS test");
    let request = set_up_request("00000000000000a1");
    viewer.write_all(&request[..request.len() / 2]).expect("cannot write to the connection");
    front.signal("SIGTERM");
    let signalled = Instant::now();
    wait_for_log_line(&front.log_lines, "stopping");
    std::thread::sleep((signalled + ms(1_100)).saturating_duration_since(Instant::now()));
    let rest = viewer.write_all(&request[request.len() / 2..]);
    let (all, end) = read_to_end(viewer);
    // 200 if the front itself was late in noticing the end of its grace period.
    let statuses = answer_statuses(&all, "00000000000000a1");
    assert!(
        statuses == [503] || statuses == [200],
        "statuses are {statuses:?}, not one 503 or 200; write: {rest:?}, messages: {all:?}, end: {end:?}"
    );
    assert_eq!(wait_for_exit(&mut front.child), Some(0));
    // A message that is never completed must not delay the end indefinitely.
    assert!(
        signalled.elapsed() < 3 * SECOND,
        "the front ended {:?} after SIGTERM, not within 3 s",
        signalled.elapsed()
    );
}

/// Guards against resets that discard unread answers: data that arrives at a closed socket resets the connection. The
/// front therefore shuts down its sending side first and continues to read.
#[test]
fn the_front_half_closes_connections_and_reads_on_before_it_ends() {
    let (node, _received) = start_node();
    let mut observed = 0;
    for _ in 0..10 {
        let mut front = front_with_nodes(&[node]);
        let mut viewer = front.connect();
        let id = "00000000000000a1";
        viewer.write_all(&set_up_request(id)).expect("cannot write to the connection");
        front.signal("SIGTERM");
        // Reads the answer and then the end of the front's sending side.
        let mut all = vec![0; 64 * 1024];
        let mut length = 0;
        loop {
            match viewer.read(&mut all[length..]).expect("the connection was reset") {
                0 => break,
                n => length += n,
            }
        }
        assert!(all[..length].starts_with(b"RTSP/1.0 200"), "the set-up was not accepted");
        // Sent after the front's half-close, which it crosses.
        let crossed = viewer.write_all(&ping());
        let after = viewer.read(&mut all);
        if front_socket_state(&front, &viewer).is_some_and(|socket| socket.owned) {
            // The front has the socket open still: it must have read the request without resetting the connection.
            assert!(
                crossed.is_ok() && matches!(after, Ok(0)),
                "the connection was reset: write {crossed:?}, read {after:?}"
            );
            observed += 1;
        }
        drop(viewer);
        assert_eq!(wait_for_exit(&mut front.child), Some(0));
        if observed >= 2 {
            return;
        }
    }
    panic!(
        "the front still had its socket open in only {observed} of 10 rounds; 2 are needed for this check"
    );
}

/// Guards against one viewer affecting another at shutdown: one does not read its answers, which queue in the front, while
/// the other has a set-up pending until its deadline.
#[test]
fn a_viewer_that_does_not_read_neither_delays_shutdown_nor_costs_another_its_answer() {
    let (node, received) = start_node();
    let mut front = front_with_nodes(&[node]);
    let unread = front.connect();
    fill_answer_queue(&front, &unread);
    let mut viewer = front.connect();
    let pending = format!("{UNANSWERED_PREFIX}0000000000a1");
    viewer.write_all(&set_up_request(&pending)).expect("cannot write to the connection");
    assert!(
        received.iter().any(|m| m.field("Session") == Some(&pending)),
        "the set-up did not reach the node"
    );
    let mut quick = front.connect();
    quick.write_all(&set_up_request("00000000000000a2")).expect("cannot write to the connection");
    front.signal("SIGTERM");
    let signalled = Instant::now();
    let (all, _) = read_to_end(quick);
    assert_eq!(answer_statuses(&all, "00000000000000a2"), [200]);
    let (all, _) = read_to_end(viewer);
    assert_eq!(answer_statuses(&all, &pending), [500]);
    assert_eq!(wait_for_exit(&mut front.child), Some(0));
    assert!(
        signalled.elapsed() < ms(3_700),
        "the front ended {:?} after SIGTERM, not within 3.7 s",
        signalled.elapsed()
    );
    drop(unread);
}

/// Only answers to a viewer that does not read are outstanding: the front must end well before the platform may send
/// SIGKILL.
#[test]
fn a_viewer_that_does_not_read_does_not_delay_shutdown_until_the_last_moment() {
    let (node, _received) = start_node();
    let mut front = front_with_nodes(&[node]);
    let unread = front.connect();
    fill_answer_queue(&front, &unread);
    front.signal("SIGTERM");
    let signalled = Instant::now();
    assert_eq!(wait_for_exit(&mut front.child), Some(0));
    let took = signalled.elapsed();
    println!("ended {took:?} after SIGTERM, with a viewer that reads nothing");
    // The platform may send SIGKILL after 3.7 s.
    assert!(took < ms(3_200), "the front ended {took:?} after SIGTERM, not within 3.2 s");
}

/// A viewer that keeps its side of the connection open delays a planned restart by a tenth of a second only.
#[test]
fn shutdown_without_pending_requests_is_fast() {
    let (node, _received) = start_node();
    let mut front = front_with_nodes(&[node]);
    let mut viewer = front.connect();
    viewer.write_all(&set_up_request("00000000000000a1")).expect("cannot write to the connection");
    assert!(read(&mut viewer).expect("no answer").head.starts_with("RTSP/1.0 200"));
    front.signal("SIGTERM");
    let signalled = Instant::now();
    assert_eq!(wait_for_exit(&mut front.child), Some(0));
    let took = signalled.elapsed();
    println!("ended {took:?} after SIGTERM, with a viewer that leaves its side open");
    assert!(
        (ms(900)..ms(2_200)).contains(&took),
        "the front ended {took:?} after SIGTERM, not in 0.9 s to 2.2 s"
    );
    assert_eq!(read_to_end(viewer).1, std::io::ErrorKind::UnexpectedEof, "the connection was reset");
}

/// The same for connections to nodes: what a node sends until the front's half-close is read and resets nothing.
#[test]
fn connections_to_nodes_are_half_closed_and_read_on_too() {
    for _ in 0..10 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
        let address = listener.local_addr().expect("no valid address");
        let (end_sender, ended) = channel();
        spawn(move || {
            for stream in listener.incoming() {
                let (Ok(mut stream), end_sender) = (stream, end_sender.clone()) else { return };
                spawn(move || {
                    let (node, front) = (stream.local_addr(), stream.peer_addr());
                    let (Ok(node), Ok(front)) = (node, front) else { return };
                    let end = loop {
                        match read(&mut stream) {
                            Ok(m) if m.head.starts_with("SETUP") => {
                                let session = m.field("Session").unwrap_or("").to_owned();
                                let fields = [("CSeq", "1"), ("Session", session.as_str())];
                                let _ =
                                    stream.write_all(&message("RTSP/1.0 200 OK", &fields, b"an answer\r\n"));
                            }
                            Ok(_) => {}
                            Err(e) => break e.kind(),
                        }
                    };
                    // Sent after the front's half-close, which it crosses.
                    let announcement =
                        message("ANNOUNCE rtsp://media/00000000000000f1 RTSP/1.0", &[("CSeq", "9")], b"");
                    let crossed = stream.write_all(&announcement);
                    let after = stream.read(&mut [0; 64]);
                    let owned = socket_state(front, node).is_some_and(|socket| socket.owned);
                    let _ = end_sender.send((end, crossed.is_ok(), after.map_err(|e| e.kind()), owned));
                });
            }
        });
        let mut front = front_with_nodes(&[address]);
        let mut viewer = front.connect();
        viewer.write_all(&set_up_request("00000000000000a1")).expect("cannot write to the connection");
        assert!(read(&mut viewer).expect("no answer").head.starts_with("RTSP/1.0 200"));
        front.signal("SIGTERM");
        assert_eq!(wait_for_exit(&mut front.child), Some(0));
        let (end, crossed, after, owned) =
            ended.recv_timeout(5 * SECOND).expect("the node's connection did not end");
        if owned {
            // The front has the socket open still: it must have read the announcement.
            assert_eq!((end, crossed, after), (std::io::ErrorKind::UnexpectedEof, true, Ok(0)));
            return;
        }
    }
    panic!("the front had ended in all 10 rounds before its socket was checked");
}

/// Guards against a release lost at shutdown: a node closes its connection, and its listen queue is full, which leaves the
/// front's new connection pending. The viewer's release waits for that connection when SIGTERM arrives, and must reach
/// the node before the front ends.
#[test]
fn a_release_that_waits_for_a_connection_reaches_its_node_before_the_end() {
    check_release_at_shutdown(false);
}

/// Guards against the same loss if the front reads the viewer's release first and writes it to the connection that the
/// node has just closed.
#[test]
fn a_release_that_crosses_the_end_of_its_connection_reaches_its_node_before_the_end() {
    check_release_at_shutdown(true);
}

/// Stops a front that has to pass a release on. If `release_is_read_first`, the front is stopped by SIGSTOP while the viewer
/// sends the release and then the node closes its connection.
fn check_release_at_shutdown(release_is_read_first: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("no valid address");
    let mut configuration = config(&[address], change_log(Vec::new()).0);
    configuration["settings"]["limits"]["probes"] = serde_json::json!(false);
    configuration["settings"]["limits"]["dial_timeout_ns"] = serde_json::json!(3_000_000_000u64);
    let mut front = front(&configuration);
    let id = "00000000000000a1";
    let mut viewer = front.connect();
    viewer.write_all(&set_up_request(id)).expect("cannot write to the connection");
    let (mut served, _) = listener.accept().expect("the front did not connect to the node");
    assert!(read(&mut served).expect("no message arrived").head.starts_with("SETUP"));
    let fields = [("CSeq", "1"), ("Session", id)];
    served
        .write_all(&message("RTSP/1.0 200 OK", &fields, b"an answer\r\n"))
        .expect("cannot write to the connection");
    assert!(read(&mut viewer).expect("no answer").head.starts_with("RTSP/1.0 200"));
    let mut queue = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, ms(200)) {
        queue.push(stream);
        assert!(queue.len() < 5_000, "the listen queue is not full after 5000 connections");
    }
    let teardown =
        message("TEARDOWN rtsp://media/00000000000000f1 RTSP/1.0", &[("CSeq", "2"), ("Session", id)], b"");
    if release_is_read_first {
        front.signal("SIGSTOP");
        viewer.write_all(&teardown).expect("cannot write to the connection");
        drop(served);
        front.signal("SIGCONT");
    } else {
        drop(served);
        viewer.write_all(&teardown).expect("cannot write to the connection");
    }
    assert_eq!(read(&mut viewer).expect("the release was not answered").field("CSeq"), Some("2"));
    front.signal("SIGTERM");
    wait_for_log_line(&front.log_lines, "stopping");
    drop(queue);
    let (message_sender, received) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), message_sender) = (stream, message_sender.clone()) else { return };
            spawn(move || {
                while let Ok(message) = read(&mut stream) {
                    if message_sender.send(message).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let is_release = |m: &Raw| m.head.starts_with("TEARDOWN") && m.field("Session") == Some(id);
    let deadline = Instant::now() + 5 * SECOND;
    let release = loop {
        let left = deadline.saturating_duration_since(Instant::now());
        match received.recv_timeout(left).expect("the release did not reach the node") {
            m if is_release(&m) => break m,
            _ => {}
        }
    };
    assert_eq!(release.field("Reason"), Some("cause=31"));
    assert_eq!(wait_for_exit(&mut front.child), Some(0));
}

// ---- starts ------------------------------------------------------------------------------------

/// An address with a free port.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("no valid address")
}

/// Guards against a start that depends on discovery: the change log refuses connections, or accepts them and sends nothing,
/// while clients connect all the time. A front that was killed is ready again at once and serves from the nodes in its
/// configuration.
#[test]
fn a_killed_front_is_ready_at_once_without_discovery_and_serves_from_its_configuration() {
    let (node, _received) = start_node();
    let silent_log = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let logs = [free_address(), silent_log.local_addr().expect("no valid address")];
    let listen = free_address();
    let finished = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let clients: Vec<_> = (0..8u64)
        .map(|n| {
            let finished = finished.clone();
            spawn(move || {
                let mut id = n << 32;
                while !finished.load(std::sync::atomic::Ordering::SeqCst) {
                    id += 1;
                    let Ok(mut stream) = TcpStream::connect(listen) else {
                        // Nothing listens: retries after a pause, as a client does.
                        std::thread::sleep(ms(2));
                        continue;
                    };
                    stream.set_read_timeout(Some(5 * SECOND)).expect("cannot set the read or write timeout");
                    let _ = stream.write_all(&set_up_request(&format!("{id:016x}")));
                    let _ = read(&mut stream);
                }
            })
        })
        .collect();
    let mut took = Vec::new();
    for n in 0..20 {
        let mut configuration = config(&[node], logs[n % 2]);
        configuration["listen"] = serde_json::json!(listen.to_string());
        let began = Instant::now();
        // Killed when it is dropped at the end of this round, while clients are connected.
        let front = front(&configuration);
        let mut viewer = front.connect();
        viewer.write_all(&ping()).expect("cannot write to the connection");
        assert!(read(&mut viewer).expect("no answer to the OPTIONS test").head.starts_with("RTSP/1.0 200"));
        took.push(began.elapsed());
        viewer.write_all(&set_up_request(&format!("fe{n:014x}"))).expect("cannot write to the connection");
        let answer = read(&mut viewer).expect("no answer").head;
        assert!(answer.starts_with("RTSP/1.0 200"), "start {n}: the set-up was answered {answer}, not 200");
    }
    finished.store(true, std::sync::atomic::Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().expect("the client thread panicked"));
    took.sort_unstable();
    println!("ready after {:?} (median), {:?} (most) of {} starts", took[10], took[19], took.len());
    assert!(took[19] < 10 * SECOND, "a start took 10 s or more: {took:?}");
}
