//! What the machine shows of a front's sockets, and viewers that do not read.
#![allow(dead_code)]

use super::given::{Front, SECOND, message, read};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// One end of a connection, as the machine shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Bytes that the other side has not taken.
    pub unsent: usize,
    /// Bytes that nobody has read.
    pub unread: usize,
    /// A process has it still.
    pub owned: bool,
}

/// The end that is `here` of the connection between these two.
pub fn shown(here: SocketAddr, there: SocketAddr) -> Option<Held> {
    let [here, there] = [here, there].map(|a| format!(":{:04X}", a.port()));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    // Other tests leave thousands of lines: those of other ports are not taken apart.
    let lines = table.lines().filter(|l| l.contains(&here) && l.contains(&there));
    let mut rows = lines.map(|l| l.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|r| r.len() > 9 && r[1].ends_with(&here) && r[2].ends_with(&there))?;
    let (unsent, unread) = row[4].split_once(':')?;
    let number = |text| usize::from_str_radix(text, 16).ok();
    Some(Held { unsent: number(unsent)?, unread: number(unread)?, owned: row[9] != "0" })
}

/// The front's end of a viewer's connection.
pub fn held(front: &Front, viewer: &TcpStream) -> Option<Held> {
    shown(front.address, viewer.local_addr().expect("an address"))
}

/// The front has read all that came on this connection, and done with it: it sleeps.
fn has_done(front: &Front, viewer: &TcpStream) -> bool {
    let stat = format!("/proc/{}/stat", front.child.id());
    let sleeps = || std::fs::read_to_string(&stat).expect("a process").contains(") S ");
    // Seen to sleep before and after: what it had to read is looked at only then, since the table may be long.
    sleeps() && held(front, viewer).expect("a connection").unread == 0 && sleeps()
}

/// Asks on and on and reads nothing, until answers wait in the front: those that neither machine's end holds. It is far
/// under the front's bound on them, 256 KiB.
pub fn deafen(front: &Front, viewer: &TcpStream) {
    // Both fields come back, so that few requests make many bytes.
    let long = "a".repeat(32);
    let ping = message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", &long), ("Session", &long)], b"");
    let mut stream = viewer.try_clone().expect("a second handle");
    stream.write_all(&ping).expect("writes");
    let answer = read(&mut stream).expect("a test passed").head.len();
    let batch = ping.repeat(1_000);
    let mut asked = 0;
    let give_up = Instant::now() + 60 * SECOND;
    loop {
        stream.write_all(&batch).expect("writes");
        asked += 1_000 * answer;
        while !has_done(front, viewer) {
            assert!(Instant::now() < give_up, "the front does not read");
            // Looked at again in a while: a test that spins takes the front's time on a busy machine.
            std::thread::sleep(Duration::from_millis(5));
        }
        let sent = held(front, viewer).expect("a connection").unsent;
        let came =
            shown(viewer.local_addr().expect("an address"), front.address).expect("a connection").unread;
        if asked > sent + came + 50 * answer {
            return;
        }
    }
}
