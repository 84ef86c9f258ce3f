//! Socket states from the system's table, and viewers that do not read their answers.
#![allow(dead_code)]

use super::harness::{Front, SECOND, message, read};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// State of one end of a connection in the system's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketState {
    /// Bytes that the peer has not acknowledged.
    pub unsent: usize,
    /// Received bytes that the process has not read.
    pub unread: usize,
    /// Whether a process still has the socket open.
    pub owned: bool,
}

/// State of the end at `local` of the connection between the two addresses.
pub fn socket_state(local: SocketAddr, peer: SocketAddr) -> Option<SocketState> {
    let [local, peer] = [local, peer].map(|a| format!(":{:04X}", a.port()));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("cannot read the socket table");
    // Other tests leave thousands of lines; filtering by port first avoids splitting them.
    let lines = table.lines().filter(|l| l.contains(&local) && l.contains(&peer));
    let mut rows = lines.map(|l| l.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|r| r.len() > 9 && r[1].ends_with(&local) && r[2].ends_with(&peer))?;
    let (unsent, unread) = row[4].split_once(':')?;
    let number = |text| usize::from_str_radix(text, 16).ok();
    Some(SocketState { unsent: number(unsent)?, unread: number(unread)?, owned: row[9] != "0" })
}

/// State of the front's end of a viewer's connection.
pub fn front_socket_state(front: &Front, viewer: &TcpStream) -> Option<SocketState> {
    socket_state(front.address, viewer.local_addr().expect("no valid address"))
}

/// Whether the front has read and processed everything on this connection and now sleeps.
fn has_processed_all(front: &Front, viewer: &TcpStream) -> bool {
    let stat = format!("/proc/{}/stat", front.child.id());
    let is_sleeping =
        || std::fs::read_to_string(&stat).expect("cannot read the state of the process").contains(") S ");
    // Reading the table may take long, therefore the front must be asleep both before and after.
    is_sleeping()
        && front_socket_state(front, viewer).expect("no such connection").unread == 0
        && is_sleeping()
}

/// Sends requests without reading the answers, until answers are queued in the front itself because neither socket
/// buffer has room for them. The queue stays far below the front's limit of 256 KiB.
pub fn fill_answer_queue(front: &Front, viewer: &TcpStream) {
    // The answer repeats both fields, and so few requests cause many bytes of answers.
    let long_field = "a".repeat(32);
    let ping = message(
        "OPTIONS rtsp://media/ping RTSP/1.0",
        &[("CSeq", &long_field), ("Session", &long_field)],
        b"",
    );
    let mut stream = viewer.try_clone().expect("cannot duplicate the socket");
    stream.write_all(&ping).expect("cannot write to the connection");
    let answer_length = read(&mut stream).expect("no answer to the OPTIONS test").head.len();
    let batch = ping.repeat(1_000);
    let mut requested_bytes = 0;
    let deadline = Instant::now() + 60 * SECOND;
    loop {
        stream.write_all(&batch).expect("cannot write to the connection");
        requested_bytes += 1_000 * answer_length;
        while !has_processed_all(front, viewer) {
            assert!(Instant::now() < deadline, "the front did not read the requests within 60 s");
            // Sleeps because a spinning test would take processor time from the front on a busy machine.
            std::thread::sleep(Duration::from_millis(5));
        }
        let unsent = front_socket_state(front, viewer).expect("no such connection").unsent;
        let unread = socket_state(viewer.local_addr().expect("no valid address"), front.address)
            .expect("no such connection")
            .unread;
        if requested_bytes > unsent + unread + 50 * answer_length {
            return;
        }
    }
}
