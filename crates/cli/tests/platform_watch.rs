//! The change log client of `pepperhook platform` as a process on loopback: change logs that are slow, send truncated or
//! invalid frames, move or are down must not affect viewers. The scripted log sends bytes and closes connections only when
//! the front has reached the state that a test needs.

#[path = "common/platform.rs"]
mod harness;
#[path = "common/log.rs"]
mod scripted_log;

use harness::*;
use scripted_log::*;
use serde_json::json;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a stale list behind a slow frame: single bytes show that the change log is alive, but deliver no event.
/// The front closes the connection if a frame does not end in time, and reconnects.
#[test]
fn the_front_reconnects_to_a_change_log_that_never_completes_a_frame() {
    let (node, _set_ups) = start_node();
    let log = ChangeLog::new();
    let front = front(&config(&[node], log.address));
    let mut first = log.accept();
    let began = Instant::now();
    let event = changes(4, &[Record::draining(7); 100]);
    let trickle = spawn(move || {
        // Would take far longer than any timeout; stops when the connection is closed.
        event
            .iter()
            .take_while(|byte| first.stream.write_all(&[**byte]).map(|()| sleep(ms(150))).is_ok())
            .count()
    });
    let second = log.accept();
    let took = began.elapsed();
    assert_eq!(second.last_event, 3, "an incomplete event was applied");
    assert!(took >= 2 * SECOND, "the front closed the connection after {took:?}, too early");
    assert!(took < 8 * SECOND, "the front closed the connection only after {took:?}");
    assert!(is_served(&request_session(&front, 1)), "a set-up was not accepted afterwards");
    let written = trickle.join().expect("the writer thread panicked");
    assert!(written < 2_000, "{written} bytes were sent before the connection was closed, not under 2000");
}

/// Guards against a timeout that rejects slow progress: a snapshot that takes longer than the permitted silence, on a slow
/// but working link, is applied.
#[test]
fn a_snapshot_on_a_slow_link_is_applied() {
    let (node, set_ups) = start_node();
    let log = ChangeLog::new();
    let front = front(&config(&[], log.address));
    let mut first = log.accept();
    let mut records: Vec<_> = (1..5_000).map(Record::draining).collect();
    records.push(Record::new(0, 0, node));
    // 135 kB in 40 pieces over 4 s.
    for piece in frame(9, 1, &records).chunks(3_400) {
        first.send(piece);
        sleep(ms(100));
    }
    wait_until_served(&front, 1);
    assert!(
        set_ups.recv_timeout(TIMEOUT).is_ok() && !log.has_new_connection(),
        "no set-up arrived, or the front reconnected"
    );
}

/// Guards against fast reconnects: the change log sends one new event and then invalid bytes on every connection. The front
/// reconnects at a bounded rate.
#[test]
fn reconnects_after_one_new_event_and_invalid_bytes_have_a_bounded_rate() {
    let (node, _set_ups) = start_node();
    let log = ChangeLog::new();
    let front = front(&config(&[node], log.address));
    let mut first_accepted = None;
    for n in 0..9 {
        let mut connection = log.accept();
        assert_eq!(connection.last_event, 3 + n, "the front did not resume after the last complete event");
        first_accepted.get_or_insert_with(Instant::now);
        let event_and_invalid = [changes(4 + n, &[Record::draining(n as u32 + 1)]), vec![0xff; 8]].concat();
        connection.send(&event_and_invalid);
        connection.wait_until_closed();
        assert!(is_served(&request_session(&front, n)), "a set-up was not accepted afterwards");
    }
    // Eight pauses of at least 0.1, 0.2, 0.4 and then 0.5 s; a busy machine only makes them longer.
    let took = first_accepted.expect("no connection was accepted").elapsed();
    assert!(took >= ms(3_200), "nine connections within {took:?}");
}

/// Guards against a burst of events that blocks viewers: the front reads them interleaved with other work, and answers a
/// request that arrived meanwhile while most of the events are still unread.
#[test]
fn a_flood_of_events_does_not_block_viewers() {
    let (node, _set_ups) = start_node();
    let log = ChangeLog::new();
    let front = front(&config(&[node], log.address));
    let mut connection = log.accept();
    let mut viewer = front.connect();
    viewer.set_read_timeout(Some(TIMEOUT)).expect("cannot set the read or write timeout");
    connection.send(&changes(4, &(1..1_000).map(Record::draining).collect::<Vec<_>>()));
    // Each event is small, and its cost grows with the length of the list. All events and the request have arrived when the
    // front continues.
    let flood: Vec<u8> = (5..605).flat_map(|n| changes(n, &[Record::draining(1)])).collect();
    front.signal("SIGSTOP");
    let mut stream = connection.stream.try_clone().expect("cannot duplicate the socket");
    let writer = spawn(move || stream.write_all(&flood).is_ok());
    let deadline = Instant::now() + TIMEOUT;
    while unread(&connection.stream) < 16 * 1024 {
        assert!(
            Instant::now() < deadline,
            "the front did not receive 16 KiB of the flood within {TIMEOUT:?}"
        );
        std::thread::yield_now();
    }
    viewer.write_all(&set_up_request(1, "lesson")).expect("cannot write to the connection");
    front.signal("SIGCONT");
    assert!(is_served(&read(&mut viewer).expect("no answer")), "the set-up was not accepted");
    assert!(unread(&connection.stream) > 0, "the set-up was answered only after all events");
    assert!(writer.join().expect("the writer thread panicked"), "the events could not be written");
    // The events are read to their end.
    connection.send(&[0xff; 4]);
    connection.wait_until_closed();
    assert_eq!(log.accept().last_event, 604);
}

/// Guards against invalid frames: each of these ends its connection and has no other effect. No part of it is applied,
/// viewers are served, and the front resumes after the last complete event.
#[test]
fn an_invalid_frame_ends_its_connection_and_has_no_other_effect() {
    let (node, _set_ups) = start_node();
    let log = ChangeLog::new();
    let front = front(&config(&[node], log.address));
    let removed = Record::new(0, 2, node);
    let mut last_event = 3;
    let with_byte = |at: usize, byte: u8, mut bytes: Vec<u8>| {
        bytes[at] = byte;
        bytes
    };
    let cases = |n: u64| {
        [
            ("a length beyond the maximum", vec![0xff; 4]),
            ("a length below that of number and kind", vec![0, 0, 0, 8]),
            ("a length of a partial record", vec![0, 0, 0, 10]),
            ("more records than the list may have", (9 + 27 * 20_001u32).to_be_bytes().to_vec()),
            ("an unknown kind", frame(n + 1, 3, &[removed])),
            ("a heartbeat with records", frame(n + 1, 0, &[removed])),
            (
                "an unknown state in the second record",
                with_byte(13 + 27 + 10, 9, changes(n + 1, &[removed, removed])),
            ),
            ("an event after a missing one", changes(n + 2, &[removed])),
            ("a heartbeat that names an event that was not sent", heartbeat(n + 1)),
        ]
    };
    for i in 0..cases(0).len() {
        let mut connection = log.accept();
        assert_eq!(connection.last_event, last_event);
        // A valid event precedes each, which becomes the last complete one.
        last_event += 1;
        let (what, bytes) = cases(last_event)[i].clone();
        connection.send(&[changes(last_event, &[Record::draining(100 + i as u32)]), bytes].concat());
        connection.wait_until_closed();
        assert!(is_served(&request_session(&front, i as u64)), "a set-up was not accepted after {what}");
    }
    // The connection ends in the middle of an event.
    let mut connection = log.accept();
    assert_eq!(connection.last_event, last_event);
    let event = changes(last_event + 1, &[removed, removed]);
    connection.send(&event[..event.len() / 2]);
    connection.close();
    assert!(is_served(&request_session(&front, 99)), "a set-up was not accepted afterwards");
    assert_eq!(log.accept().last_event, last_event, "the front did not resume after the last complete event");
}

/// Guards against a list that goes back: events that were applied before have no effect when they arrive again, in
/// whatever form.
#[test]
fn repeated_events_older_ones_and_older_snapshots_change_nothing() {
    let ((first, _), (second, second_set_ups)) = (start_node(), start_node());
    let log = ChangeLog::new();
    let front = front(&config(&[first], log.address));
    let mut connection = log.accept();
    let second_removed = Record::new(9, 2, second);
    connection.send(&changes(4, &[Record::new(0, 2, first), Record::new(9, 0, second)]));
    for old_event in [
        changes(4, &[second_removed]),
        changes(3, &[second_removed]),
        changes(1, &[second_removed]),
        frame(3, 1, &[]),
        frame(4, 1, &[]),
        heartbeat(2),
    ] {
        connection.send(&old_event);
    }
    connection.send(&changes(5, &[Record::draining(1)]));
    wait_until_served(&front, 1);
    assert!(second_set_ups.recv_timeout(TIMEOUT).is_ok(), "no set-up reached the second node");
    // All of that was read on one connection.
    assert!(!log.has_new_connection(), "the front reconnected");
    connection.close();
    assert_eq!(log.accept().last_event, 5);
    assert!(is_served(&request_session(&front, 500)), "a set-up was not accepted afterwards");
}

/// Guards against impossible values in records: the front does not connect to such nodes, does not panic, and uses the
/// valid nodes.
#[test]
fn records_with_impossible_values_have_no_effect_on_others() {
    let ((trap, trap_set_ups), (good, good_set_ups)) = (start_node(), start_node());
    let log = ChangeLog::new();
    let front = front(&config(&[], log.address));
    let mut connection = log.accept();
    let address = |octets: [u8; 4], port: u16| SocketAddr::from((Ipv4Addr::from(octets), port));
    // Linux routes the unspecified address to this machine, where the trap listens: the front must not connect to it.
    let unusable = [
        Record::new(1, 0, address([0, 0, 0, 0], trap.port())),
        Record::new(2, 0, address([127, 0, 0, 1], 0)),
        Record::new(3, 0, address([224, 0, 0, 1], 2905)),
        Record::new(4, 0, address([255, 255, 255, 255], 2905)),
    ];
    connection.send(&changes(4, &unusable));
    for n in 0..5 {
        let answer = request_session(&front, n);
        assert!(
            answer.head.starts_with("RTSP/1.0 503"),
            "no node is usable, therefore 503 is expected: {answer:?}"
        );
    }
    // A zone and a kind that the settings do not have, at a valid address; one id twice, of which the last record applies.
    let odd = Record { zone: 255, kind: 255, weight: u32::MAX, ..Record::new(9, 0, good) };
    connection.send(&changes(5, &[Record { state: 2, ..odd }, odd]));
    wait_until_served(&front, 10);
    // Weight 0, and a start in the far future.
    connection.send(&changes(6, &[Record { weight: 0, started_ms: u64::MAX, ..odd }]));
    connection.send(&frame(7, 1, &[odd, Record { weight: 0, started_ms: u64::MAX, ..odd }]));
    wait_until_served(&front, 1_000);
    assert!(
        good_set_ups.iter().take(2).count() == 2 && trap_set_ups.try_recv().is_err(),
        "a set-up reached a node with an unusable address"
    );
    connection.close();
    assert_eq!(log.accept().last_event, 7);
}

/// Moves the change log by a reload and returns the time until the front has connected to the new one. Asserts that an
/// event of the new one is applied, and that the front connected only once.
fn move_change_log(front: &Front, config: &serde_json::Value, last_event: u64) -> Duration {
    let new_log = ChangeLog::new();
    let mut config = config.clone();
    config["changelog"] = json!(new_log.address.to_string());
    std::fs::write(front.file.path(), config.to_string()).expect("cannot write the file");
    let began = Instant::now();
    front.signal("SIGHUP");
    let mut connection = new_log.accept();
    let took = began.elapsed();
    assert_eq!(connection.last_event, last_event);
    let (node, set_ups) = start_node();
    connection.send(&frame(last_event + 1, 1, &[Record::new(70, 0, node)]));
    wait_until_served(front, 0x700);
    assert!(set_ups.recv_timeout(TIMEOUT).is_ok(), "no set-up reached the node of the new change log");
    // The event was applied from the first connection, which is still open.
    connection.send(&heartbeat(last_event + 1));
    assert!(!new_log.has_new_connection(), "the front connected twice");
    connection.close();
    assert_eq!(new_log.accept().last_event, last_event + 1);
    took
}

/// Asserts that a move takes effect at once: in less time than the front would otherwise wait in each of these states. One
/// of three runs must be fast, because a busy machine may delay some.
fn assert_immediate(move_in_state: impl Fn() -> Duration) {
    let took: Vec<_> = (0..3).map(|_| move_in_state()).collect();
    assert!(took.iter().any(|t| *t < ms(450)), "no connection within 450 ms of the reload: {took:?}");
}

#[test]
fn the_front_connects_at_once_to_a_moved_change_log_while_connected_to_the_old_one() {
    assert_immediate(|| {
        let old_log = ChangeLog::new();
        let config = config(&[], old_log.address);
        let front = front(&config);
        let mut connection = old_log.accept();
        connection.send(&changes(4, &[Record::draining(1)]));
        connection.send(&heartbeat(4));
        // All is read: the front resumes after that event on its next connection.
        connection.close();
        let connection = old_log.accept();
        assert_eq!(connection.last_event, 4);
        let took = move_change_log(&front, &config, 4);
        connection.wait_until_closed();
        took
    });
}

#[test]
fn the_front_connects_at_once_to_a_change_log_that_moves_during_a_pause() {
    assert_immediate(|| {
        let old_log = ChangeLog::new();
        let config = config(&[], old_log.address);
        let front = front(&config);
        // The pauses grow to at least half a second; each begins when the front has closed the connection.
        (0..6).for_each(|_| old_log.accept().close());
        move_change_log(&front, &config, 3)
    });
}

#[test]
fn the_front_connects_at_once_to_a_change_log_that_moves_in_the_middle_of_a_frame() {
    assert_immediate(|| {
        let old_log = ChangeLog::new();
        let config = config(&[], old_log.address);
        let front = front(&config);
        let mut connection = old_log.accept();
        let incomplete = changes(5, &[Record::draining(2); 9]);
        connection.send(
            &[changes(4, &[Record::draining(1)]), incomplete[..incomplete.len() - 1].to_vec()].concat(),
        );
        // Both were written at once: when the front has read everything, it has applied the first.
        let deadline = Instant::now() + TIMEOUT;
        while unread(&connection.stream) > 0 {
            assert!(Instant::now() < deadline, "the front did not read the events within {TIMEOUT:?}");
            std::thread::yield_now();
        }
        let took = move_change_log(&front, &config, 4);
        connection.wait_until_closed();
        took
    });
}

#[test]
fn the_front_connects_at_once_to_a_change_log_that_moves_while_silent() {
    assert_immediate(|| {
        let old_log = ChangeLog::new();
        let config = config(&[], old_log.address);
        let front = front(&config);
        let connection = old_log.accept();
        let took = move_change_log(&front, &config, 3);
        connection.wait_until_closed();
        took
    });
}

#[test]
fn the_front_connects_at_once_to_a_change_log_that_moves_while_its_connection_attempt_hangs() {
    assert_immediate(|| {
        let (old_address, full) = full_listener();
        let config = config(&[], old_address);
        let front = front(&config);
        // State 02 is SYN_SENT: the connection attempt is pending.
        let port = format!("{:04X}", old_address.port());
        let table = format!("/proc/{}/net/tcp", front.child.id());
        let deadline = Instant::now() + TIMEOUT;
        let is_pending = || {
            let rows = std::fs::read_to_string(&table).expect("cannot read the socket table");
            rows.lines().any(|l| {
                let mut fields = l.split_whitespace().skip(2);
                fields.next().is_some_and(|r| r.ends_with(&port)) && fields.next() == Some("02")
            })
        };
        while !is_pending() {
            assert!(Instant::now() < deadline, "no connection attempt is pending within {TIMEOUT:?}");
            std::thread::yield_now();
        }
        let took = move_change_log(&front, &config, 3);
        drop(full);
        took
    });
}

/// Starts a listener whose queue is full: connection attempts to it hang. Returns its address, and the sockets that must
/// stay open for that.
fn full_listener() -> (SocketAddr, (socket2::Socket, Vec<TcpStream>)) {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("cannot create a socket");
    listener.bind(&SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0).into()).expect("cannot bind to a loopback port");
    listener.listen(0).expect("cannot listen");
    let address = listener.local_addr().ok().and_then(|a| a.as_socket()).expect("no valid address");
    let queued =
        (0..16).map_while(|_| TcpStream::connect_timeout(&address, ms(300)).ok()).collect::<Vec<_>>();
    assert!(queued.len() < 16, "the listen queue is not full after 16 connections");
    (address, (listener, queued))
}

/// Number of bytes that the peer of `stream` has received and not read, from the system's table.
fn unread(stream: &TcpStream) -> usize {
    let (SocketAddr::V4(own), SocketAddr::V4(peer)) =
        (stream.local_addr().expect("no valid address"), stream.peer_addr().expect("no valid address"))
    else {
        panic!("not IPv4 addresses")
    };
    let table_address =
        |a: SocketAddrV4| format!("{:08X}:{:04X}", u32::from_ne_bytes(a.ip().octets()), a.port());
    let (from, to) = (table_address(peer), table_address(own));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("cannot read the socket table");
    let rows = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let mut rows = rows.filter(|fields| fields.len() > 4 && fields[1] == from && fields[2] == to);
    let receive_queue =
        rows.next().and_then(|fields| usize::from_str_radix(fields[4].split(':').nth(1)?, 16).ok());
    receive_queue.expect("the peer's socket is not in the table")
}

/// Guards against idle clients using up the descriptors: they occupy all viewer connections while the change log is down.
/// The front reconnects once it is back, although no client leaves, and applies its events. The smaller of the configured
/// limit and the process's limit applies.
#[test]
fn idle_clients_block_neither_the_change_log_nor_nodes_nor_new_clients() {
    for (configured, process_limit) in [(64, 64), (1_024, 64), (64, 256)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
        let address = listener.local_addr().expect("no valid address");
        let mut config = config(&[], address);
        config["limits"]["sockets"] = json!(configured);
        let front = front_with_descriptor_limit(&config, process_limit);
        let first_connection =
            listener.accept().expect("the front did not request events from the change log");
        // The change log goes down: it neither listens nor keeps its connection.
        drop((listener, first_connection));
        let idle_clients: Vec<_> = (0..100)
            .map(|n| {
                connect_idle_client(&front).unwrap_or_else(|| {
                    panic!("idle client {n} has no answer; limits {configured}, {process_limit}")
                })
            })
            .collect();
        let open_descriptors = || {
            std::fs::read_dir(format!("/proc/{}/fd", front.child.id()))
                .expect("cannot list the open descriptors")
                .count()
        };
        assert!(
            open_descriptors() <= 64,
            "{} open descriptors, more than 64; limits {configured}, {process_limit}",
            open_descriptors()
        );
        let log = ChangeLog::on(TcpListener::bind(address).expect("cannot bind to the former port"));
        let back_since = Instant::now();
        let mut connection = log.accept();
        let took = back_since.elapsed();
        assert!(
            took < 4 * SECOND,
            "the front reconnected only after {took:?}; limits {configured}, {process_limit}"
        );
        let (node, set_ups) = start_node();
        connection.send(&changes(4, &[Record::new(9, 0, node)]));
        wait_until_served(&front, 1);
        assert!(
            set_ups.recv_timeout(TIMEOUT).is_ok() && open_descriptors() <= 64,
            "no set-up reached the new node, or more than 64 open descriptors"
        );
        drop(idle_clients);
    }
}
