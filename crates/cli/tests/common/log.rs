//! A change log of which the test sends every byte, nodes that accept all set-ups, and viewers.
#![allow(dead_code)]

use crate::harness::{Front, Raw, SECOND, message, read};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;
use std::time::Duration;

/// Timeout for everything that these tests wait for, generous enough for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A front's connection to the change log.
pub struct LogConnection {
    pub stream: TcpStream,
    /// Number of the last event that the front has; it requests the events after it.
    pub last_event: u64,
}

impl LogConnection {
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("cannot send to the front: it may have closed the connection");
    }

    /// Waits until the front has closed this connection.
    pub fn wait_until_closed(mut self) {
        self.stream.set_read_timeout(Some(TIMEOUT)).expect("cannot set the read timeout");
        let end = self.stream.read(&mut [0; 8]);
        let reset = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(
            matches!(&end, Ok(0)) || end.as_ref().is_err_and(reset),
            "the front did not close the connection: {end:?}"
        );
    }

    /// Shuts down the connection and waits until the front has closed it.
    pub fn close(self) {
        self.stream.shutdown(std::net::Shutdown::Write).expect("cannot shut down the socket");
        self.wait_until_closed();
    }
}

/// A change log that accepts connections of fronts and leaves sending to the test.
pub struct ChangeLog {
    pub address: SocketAddr,
    accepted: Receiver<LogConnection>,
}

impl ChangeLog {
    pub fn new() -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port"))
    }

    pub fn on(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("the listener should have a local address");
        let (accepted_sender, accepted) = channel();
        spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                let mut last_event = [0; 8];
                if stream.read_exact(&mut last_event).is_ok()
                    && accepted_sender
                        .send(LogConnection { stream, last_event: u64::from_be_bytes(last_event) })
                        .is_err()
                {
                    return;
                }
            }
        });
        Self { address, accepted }
    }

    /// Waits for the next connection of a front.
    pub fn accept(&self) -> LogConnection {
        self.accepted.recv_timeout(TIMEOUT).unwrap_or_else(|e| {
            panic!("no front requested events from the change log within {TIMEOUT:?}: {e}")
        })
    }

    /// Whether a front has connected since the last [`Self::accept`]; removes that connection.
    pub fn has_new_connection(&self) -> bool {
        self.accepted.try_recv().is_ok()
    }
}

/// A node's record in the change log.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub id: u32,
    pub address: SocketAddrV4,
    /// State on the wire: 0 up, 1 draining, 2 removed.
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
    /// Weight in thousandths.
    pub weight: u32,
    /// Unix time of the node's start in milliseconds; 0 if that was long ago.
    pub started_ms: u64,
}

impl Record {
    pub fn new(id: u32, state: u8, address: SocketAddr) -> Self {
        let SocketAddr::V4(address) = address else {
            panic!("node {id} has the address {address}; an IPv4 address expected")
        };
        Self { id, address, state, zone: 0, kind: 0, weight: 1_000, started_ms: 0 }
    }

    /// A draining node. Its address depends on the id and has no listener: fronts do not connect to a draining node.
    pub fn draining(id: u32) -> Self {
        Self::new(id, 1, SocketAddr::from((Ipv4Addr::new(127, 3, (id >> 8) as u8, id as u8), 2905)))
    }

    fn bytes(self) -> Vec<u8> {
        let mut out = self.id.to_be_bytes().to_vec();
        out.extend(self.address.ip().octets());
        out.extend(self.address.port().to_be_bytes());
        out.extend([self.state, self.zone, self.kind, 0, 0]);
        out.extend(self.weight.to_be_bytes());
        out.extend(self.started_ms.to_be_bytes());
        out
    }
}

/// A frame of the change log: length, number of the last event, kind and records. Kind 0 is a heartbeat, 1 a snapshot,
/// 2 changes; others are invalid.
pub fn frame(number: u64, kind: u8, records: &[Record]) -> Vec<u8> {
    let mut out = (9 + 27 * records.len() as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    records.iter().for_each(|r| out.extend(r.bytes()));
    out
}

/// A heartbeat frame with the number of the last event.
pub fn heartbeat(number: u64) -> Vec<u8> {
    frame(number, 0, &[])
}

/// A frame with the event of this number, which changes the list.
pub fn changes(number: u64, records: &[Record]) -> Vec<u8> {
    frame(number, 2, records)
}

/// A node's answer 200 to the request of this number, with a load report.
pub fn node_answer(number: &str, session: &str, body: &[u8]) -> Vec<u8> {
    let fields = [("CSeq", number), ("Session", session), ("P-Load", "x0:0.1;x1:0.1")];
    message("RTSP/1.0 200 OK", &fields, body)
}

/// What a node that accepts everything answers to this request; `None` if it owes no answer.
pub fn reply_of_node(request: &Raw) -> Option<Vec<u8>> {
    let session = request.field("Session").unwrap_or("");
    match request.head.split(' ').next() {
        Some("OPTIONS") => Some(node_answer("3", session, b"")),
        Some("SETUP") => Some(node_answer("1", session, b"an answer\r\n")),
        Some("TEARDOWN") => Some(node_answer("2", session, b"")),
        _ => None,
    }
}

/// Starts a node that accepts all set-ups; returns its address and the session ids of the set-ups.
pub fn start_node() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("the listener should have a local address");
    let (set_up_sender, set_ups) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), set_up_sender) = (stream, set_up_sender.clone()) else { return };
            spawn(move || {
                while let Ok(request) = read(&mut stream) {
                    let session = request.field("Session").unwrap_or("").to_owned();
                    let reply = match request.head.split(' ').next() {
                        Some("OPTIONS") => node_answer("3", &session, b""),
                        Some("SETUP") => node_answer("1", &session, b"an answer\r\n"),
                        _ => continue,
                    };
                    let _ = stream.write_all(&reply);
                    if request.head.starts_with("SETUP") && set_up_sender.send(session).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, set_ups)
}

/// A set-up request of a viewer, with 2.5 s to its deadline.
pub fn set_up_request(id: u64, class: &str) -> Vec<u8> {
    let id = format!("{id:016x}");
    let fields = [
        ("CSeq", "1"),
        ("Session", &*id),
        ("Priority-Class", class),
        ("Expires-Ms", "2500"),
        ("X-Length", "8200.0"),
        ("P-Trunk-Info", "home:0;copies:2;top:4;viewer:00000000000000aa"),
    ];
    message("SETUP rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"an offer\r\n")
}

/// Requests a session on a new connection and returns the answer.
pub fn request_session(front: &Front, id: u64) -> Raw {
    let mut stream = front.connect();
    stream.write_all(&set_up_request(id, "lesson")).expect("cannot write to the connection");
    read(&mut stream).unwrap_or_else(|e| panic!("the set-up of session {id:x} was not answered: {e:?}"))
}

pub fn is_served(answer: &Raw) -> bool {
    answer.head.starts_with("RTSP/1.0 200")
}

/// Requests sessions, with ids from `first_id` on, until one is served, which shows that the front has a ready node.
pub fn wait_until_served(front: &Front, first_id: u64) {
    let deadline = std::time::Instant::now() + TIMEOUT;
    let mut id = first_id;
    while !is_served(&request_session(front, id)) {
        assert!(std::time::Instant::now() < deadline, "no session was served within {TIMEOUT:?}");
        id += 1;
    }
}

/// Connects a client that sends one OPTIONS request, which is answered, and then nothing.
pub fn connect_idle_client(front: &Front) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(front.address).ok()?;
    stream.set_read_timeout(Some(5 * SECOND)).ok()?;
    stream.write_all(&message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b"")).ok()?;
    read(&mut stream).ok().map(|_| stream)
}
