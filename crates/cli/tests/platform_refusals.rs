//! `pepperhook platform` as a process on loopback, with a playout node that closes or resets its connections and refuses
//! new ones: for a while, as one at its limit of connections, or for good, as a process that has ended. Discovery is down
//! meanwhile, so that nothing else tells the two apart.

#[path = "common/platform.rs"]
mod harness;
#[path = "common/log.rs"]
mod scripted_log;

use harness::*;
use scripted_log::{is_served, reply_of_node, set_up_request};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Sessions at the node.
const SESSIONS: u64 = 8;
/// How long a living node refuses connections.
const REFUSING_TIME: Duration = Duration::from_secs(4);
/// How long its sessions are watched after that.
const WATCHED_TIME: Duration = Duration::from_secs(2);
/// By the protocol, a session whose end nobody could report is released towards its client within 8 s.
const RELEASE_LIMIT: Duration = Duration::from_millis(8_050);

/// How the node ends its connections.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Close,
    Reset,
}

/// A playout node that can refuse connections.
struct RefusingNode {
    address: SocketAddr,
    listener: TcpListener,
    connections: Receiver<TcpStream>,
    connection_sender: Sender<TcpStream>,
    /// Sessions that the front has ended at the node.
    releases: Receiver<String>,
    release_sender: Sender<String>,
}

impl RefusingNode {
    /// A node at an address of its own, so that nobody takes its port while it does not listen.
    fn start(host: &str) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("cannot bind to a loopback port");
        let address = listener.local_addr().expect("no valid address");
        let (connection_sender, connections) = channel();
        let (release_sender, releases) = channel();
        let node = Self { address, listener, connections, connection_sender, releases, release_sender };
        node.accept();
        node
    }

    fn accept(&self) {
        let listener = self.listener.try_clone().expect("cannot duplicate the socket");
        let (connections, releases) = (self.connection_sender.clone(), self.release_sender.clone());
        spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let connection = stream.try_clone().expect("cannot duplicate the socket");
                if connections.send(connection).is_err() {
                    return;
                }
                let releases = releases.clone();
                spawn(move || serve_connection(stream, &releases));
            }
        });
    }

    /// Ends all connections and refuses others.
    fn refuse(&self, end: End) {
        let listener = socket2::SockRef::from(&self.listener);
        listener.shutdown(Shutdown::Both).expect("cannot shut down the listener");
        for connection in self.connections.try_iter() {
            let how = match end {
                End::Close => Shutdown::Both,
                End::Reset => {
                    let socket = socket2::SockRef::from(&connection);
                    socket.set_linger(Some(Duration::ZERO)).expect("cannot set the linger time");
                    // Ends its reader, so that the last handle is closed.
                    Shutdown::Read
                }
            };
            let _ = connection.shutdown(how);
        }
    }

    /// Accepts connections again.
    fn listen(&mut self) {
        // The former one must be closed before its port can be bound again.
        self.listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
        self.listener = TcpListener::bind(self.address).expect("cannot bind to the node's port");
        self.accept();
    }
}

fn serve_connection(mut stream: TcpStream, releases: &Sender<String>) {
    while let Ok(request) = read(&mut stream) {
        let session = request.field("Session").unwrap_or("").to_owned();
        if request.head.starts_with("TEARDOWN") && releases.send(session).is_err() {
            return;
        }
        let Some(reply) = reply_of_node(&request) else { continue };
        if stream.write_all(&reply).is_err() {
            return;
        }
    }
}

/// A front with sessions at a node, and the viewer's connection.
fn start_with_sessions(node: &RefusingNode) -> (Front, TcpStream) {
    let closed = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let log = closed.local_addr().expect("no valid address");
    drop(closed);
    let front = front(&config(&[node.address], log));
    let mut viewer = front.connect();
    for id in 1..=SESSIONS {
        viewer.write_all(&set_up_request(id, "lesson")).expect("cannot write to the connection");
        assert!(is_served(&read(&mut viewer).expect("no answer")), "session {id} does not stand");
    }
    (front, viewer)
}

fn assert_sessions_outlast_refusals(host: &str, end: End) {
    let mut node = RefusingNode::start(host);
    let (_front, mut viewer) = start_with_sessions(&node);
    node.refuse(end);
    sleep(REFUSING_TIME);
    node.listen();
    viewer.write_all(&set_up_request(SESSIONS + 1, "lesson")).expect("cannot write to the connection");
    assert!(is_served(&read(&mut viewer).expect("no answer")), "the node is not used again");
    viewer.set_read_timeout(Some(WATCHED_TIME)).expect("cannot set the read timeout");
    let message = read(&mut viewer);
    assert!(message.is_err(), "a viewer was told of an end: {message:?}");
    let cut: Vec<_> = node.releases.try_iter().collect();
    assert!(cut.is_empty(), "sessions {cut:?} were ended at the node");
}

/// Guards against sessions that are released, and cut, although their node plays them: it had closed an idle connection and
/// was at its limit for a while.
#[test]
fn sessions_of_a_node_that_closes_and_refuses_connections_for_a_while_play_on() {
    assert_sessions_outlast_refusals("127.0.59.1", End::Close);
}

/// The same for a node that resets idle connections.
#[test]
fn sessions_of_a_node_that_resets_and_refuses_connections_for_a_while_play_on() {
    assert_sessions_outlast_refusals("127.0.59.2", End::Reset);
}

fn assert_sessions_of_a_dead_process_end(host: &str, end: End) {
    let node = RefusingNode::start(host);
    let (_front, mut viewer) = start_with_sessions(&node);
    viewer.set_read_timeout(Some(2 * RELEASE_LIMIT)).expect("cannot set the read timeout");
    node.refuse(end);
    let ended_at = Instant::now();
    for _ in 0..SESSIONS {
        let message = read(&mut viewer).expect("a viewer was not told of the end");
        assert!(message.head.starts_with("TEARDOWN"), "{message:?}");
        let after = ended_at.elapsed();
        assert!(after <= RELEASE_LIMIT, "a viewer was told after {after:?}");
    }
}

/// Guards against sessions of a process that has ended for which no release comes, or a late one.
#[test]
fn sessions_of_a_process_that_is_killed_are_released_in_time() {
    assert_sessions_of_a_dead_process_end("127.0.59.3", End::Reset);
}

/// The same for a process that closes its connections in order before it ends.
#[test]
fn sessions_of_a_process_that_ends_in_order_are_released_in_time() {
    assert_sessions_of_a_dead_process_end("127.0.59.4", End::Close);
}
