//! Clients of `pepperhook serve` that leave with requests unread. No set-up begins for a client that has left, and no
//! session stands that no client knows of.

mod common;

use common::*;
use pepperhook_playout::Faults;
use pepperhook_playout::record::Event;
use pepperhook_rehearse::viewers::offer;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Set-ups that a client writes ahead: all are in the front's receive buffer, or the client's system holds most of them.
const FEW_PIPELINED: u64 = 150;
const MANY_PIPELINED: u64 = 800;
/// Delay of a set-up at a node; longer than a client stays.
const SET_UP_MS: u64 = 300;
/// By the standing duty, no attempt begins later than this after its client has left.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(100);

fn pipelined_set_ups(count: u64) -> Vec<u8> {
    let request = |n: u64| {
        let body = offer(n);
        let head = "HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp";
        format!("POST /whep/t?viewer=p{n} {head}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
    };
    (0..count).map(request).collect::<String>().into_bytes()
}

/// Runs one client that writes its set-ups at once and leaves; `leave` closes its connection.
async fn run_leaving_client(count: u64, leave: impl FnOnce(std::net::TcpStream)) {
    let cluster = Cluster::new(3).await;
    cluster.set_faults(Faults { slow_ms: SET_UP_MS, ..Faults::default() });
    let address = cluster.front.address();
    let mut client = tokio::net::TcpStream::connect(address).await.expect("cannot connect");
    tokio::io::AsyncWriteExt::write_all(&mut client, &pipelined_set_ups(count)).await.expect("cannot send");
    wait_until("the first set-up has reached a node", || cluster.attempts() >= 1).await;
    sleep(Duration::from_millis(SET_UP_MS / 2)).await;
    let left_at = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970");
    leave(client.into_std().expect("not a socket"));
    // Some set-ups longer than the client stayed.
    sleep(Duration::from_millis(4 * SET_UP_MS)).await;
    let late = cluster.traffic().into_iter().filter(|line| {
        matches!(line.event, Event::Attempt { .. })
            && Duration::from_nanos(line.unix_ns) > left_at + ATTEMPT_LIMIT
    });
    assert_eq!(late.count(), 0, "set-ups began for a client that had left");
    wait_until("no request waits", || cluster.front.snapshot().waiting == 0).await;
    wait_until("no session stands that no client knows of", || cluster.sessions() == 0).await;
    assert_eq!(cluster.front.snapshot().playing, 0, "the front holds a session that no client knows of");
    // Its viewers come again: each is served, and none runs twice at once.
    cluster.set_faults(Faults::default());
    for n in 0..3 {
        cluster.set_up_session(&format!("p{n}"), n).await;
    }
    assert_eq!(cluster.sessions(), 3);
    cluster.assert_one_attempt_in_flight();
}

/// Guards against requests that are sent on although their client has closed the connection with much still unread.
#[test]
fn no_set_up_begins_for_a_client_that_closed_with_requests_unread() {
    local(run_leaving_client(FEW_PIPELINED, drop));
}

/// Guards against the same where the client's system still holds back the close, behind requests that the front's does not
/// take.
#[test]
fn no_set_up_begins_for_a_client_that_closed_with_very_many_requests_unread() {
    local(run_leaving_client(MANY_PIPELINED, drop));
}

/// Guards against the same after a reset.
#[test]
fn no_set_up_begins_for_a_client_that_reset_with_requests_unread() {
    local(run_leaving_client(FEW_PIPELINED, |client| {
        socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("cannot set the linger time");
    }));
}

/// Guards against the same for a client that only shuts its sending side down: it looks like one that has closed.
#[test]
fn no_set_up_begins_for_a_client_that_half_closed_with_requests_unread() {
    local(run_leaving_client(FEW_PIPELINED, |client| {
        client.shutdown(std::net::Shutdown::Write).expect("cannot shut down the socket");
        // Reads to the end, so that the front is not reset.
        std::thread::spawn(move || std::io::copy(&mut &client, &mut std::io::sink()));
    }));
}
