//! A change log in a test's hands: it tells what the test writes and holds what the test holds. Nodes and viewers
//! besides.
#![allow(dead_code)]

use crate::given::{Front, Raw, SECOND, message, read};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;
use std::time::Duration;

/// Longer than anything that is waited for here takes on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A front that has asked: the connection, and the number from which it asks.
pub struct Asked {
    pub stream: TcpStream,
    pub last: u64,
}

impl Asked {
    pub fn tell(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the front reads");
    }

    /// Waits until the front has let this connection go.
    pub fn wait_until_left(mut self) {
        self.stream.set_read_timeout(Some(PATIENCE)).expect("a time");
        let end = self.stream.read(&mut [0; 8]);
        let reset = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(matches!(&end, Ok(0)) || end.as_ref().is_err_and(reset), "not let go: {end:?}");
    }

    /// Ends the connection and waits until the front has seen it.
    pub fn end(self) {
        self.stream.shutdown(std::net::Shutdown::Write).expect("shuts");
        self.wait_until_left();
    }
}

pub struct Log {
    pub address: SocketAddr,
    asks: Receiver<Asked>,
}

impl Log {
    pub fn new() -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("binds"))
    }

    pub fn on(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("an address");
        let (tell, asks) = channel();
        spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                let mut last = [0; 8];
                if stream.read_exact(&mut last).is_ok()
                    && tell.send(Asked { stream, last: u64::from_be_bytes(last) }).is_err()
                {
                    return;
                }
            }
        });
        Self { address, asks }
    }

    pub fn asked(&self) -> Asked {
        self.asks.recv_timeout(PATIENCE).expect("the front asks")
    }

    /// Whether somebody has asked whom nobody has met yet.
    pub fn waits(&self) -> bool {
        self.asks.try_recv().is_ok()
    }
}

/// One record by the protocol's layout.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub id: u32,
    pub address: SocketAddrV4,
    pub state: u8,
    pub zone: u8,
    pub kind: u8,
    pub weight: u32,
    pub started: u64,
}

impl Record {
    pub fn new(id: u32, state: u8, address: SocketAddr) -> Self {
        let SocketAddr::V4(address) = address else { panic!("IPv4") };
        Self { id, address, state, zone: 0, kind: 0, weight: 1_000, started: 0 }
    }

    /// One at an address that nobody dials, since it drains.
    pub fn idle(id: u32) -> Self {
        Self::new(id, 1, SocketAddr::from((Ipv4Addr::new(127, 3, (id >> 8) as u8, id as u8), 2905)))
    }

    fn bytes(self) -> Vec<u8> {
        let mut out = self.id.to_be_bytes().to_vec();
        out.extend(self.address.ip().octets());
        out.extend(self.address.port().to_be_bytes());
        out.extend([self.state, self.zone, self.kind, 0, 0]);
        out.extend(self.weight.to_be_bytes());
        out.extend(self.started.to_be_bytes());
        out
    }
}

/// One frame: kind 0, 1 or 2, or whatever the test wants it to be.
pub fn frame(number: u64, kind: u8, records: &[Record]) -> Vec<u8> {
    let mut out = (9 + 27 * records.len() as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    records.iter().for_each(|r| out.extend(r.bytes()));
    out
}

pub fn nothing(number: u64) -> Vec<u8> {
    frame(number, 0, &[])
}

pub fn changes(number: u64, records: &[Record]) -> Vec<u8> {
    frame(number, 2, records)
}

/// A node that takes what comes; the ids of set-ups that came to it.
pub fn node() -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    let (tell, told) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), tell) = (stream, tell.clone()) else { return };
            spawn(move || {
                while let Ok(m) = read(&mut stream) {
                    let session = m.field("Session").unwrap_or("").to_owned();
                    let answer = |number: &str, body: &[u8]| {
                        let fields = [("CSeq", number), ("Session", &*session), ("P-Load", "x0:0.1;x1:0.1")];
                        message("RTSP/1.0 200 OK", &fields, body)
                    };
                    let words = match m.head.split(' ').next() {
                        Some("OPTIONS") => answer("3", b""),
                        Some("SETUP") => answer("1", b"an answer\r\n"),
                        _ => continue,
                    };
                    let _ = stream.write_all(&words);
                    if m.head.starts_with("SETUP") && tell.send(session).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, told)
}

pub fn set_up(id: u64, class: &str) -> Vec<u8> {
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

/// Asks on a connection of its own.
pub fn asks(front: &Front, id: u64) -> Raw {
    let mut stream = front.connect();
    stream.write_all(&set_up(id, "lesson")).expect("writes");
    read(&mut stream).expect("an answer")
}

pub fn is_served(answer: &Raw) -> bool {
    answer.head.starts_with("RTSP/1.0 200")
}

/// Asks until one is served, which is so once the front has taken the node in.
pub fn served_at_last(front: &Front, first: u64) {
    let until = std::time::Instant::now() + PATIENCE;
    let mut n = first;
    while !is_served(&asks(front, n)) {
        assert!(std::time::Instant::now() < until, "nobody was served");
        n += 1;
    }
}

/// A client that has passed a test and says nothing more.
pub fn idler(front: &Front) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(front.address).ok()?;
    stream.set_read_timeout(Some(5 * SECOND)).ok()?;
    stream.write_all(&message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b"")).ok()?;
    read(&mut stream).ok().map(|_| stream)
}
