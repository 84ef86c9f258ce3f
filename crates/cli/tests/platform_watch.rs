//! The watch of the change log as a process on loopback: a log that trickles, tears, lies, moves or is down, and what
//! that costs nobody else. The log holds bytes and ends until the front is seen to be where a test wants it.

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

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Bytes that come one by one show that somebody is there, not that anything is told: who never ends a frame is left.
#[test]
fn a_change_log_that_trickles_and_never_ends_a_frame_is_left_and_asked_again() {
    let (node, _told) = start_node();
    let log = ChangeLog::new();
    let front = front(&config(&[node], log.address));
    let mut first = log.accept();
    let began = Instant::now();
    let whole = changes(4, &[Record::draining(7); 100]);
    let trickle = spawn(move || {
        // Far longer than any bound; ends with the connection.
        whole
            .iter()
            .take_while(|byte| first.stream.write_all(&[**byte]).map(|()| sleep(ms(150))).is_ok())
            .count()
    });
    let second = log.accept();
    let took = began.elapsed();
    assert_eq!(second.last_event, 3, "half an event is none");
    assert!(took >= 2 * SECOND, "left after {took:?}, before it was late");
    assert!(took < 8 * SECOND, "left after {took:?}");
    assert!(is_served(&request_session(&front, 1)));
    let written = trickle.join().expect("a trickle");
    assert!(written < 2_000, "{written} bytes were taken");
}

/// A whole list that takes longer than a silence may, on a link that is slow but works, arrives.
#[test]
fn a_whole_list_on_a_slow_link_arrives() {
    let (node, told) = start_node();
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
        told.recv_timeout(TIMEOUT).is_ok() && !log.has_new_connection(),
        "it came over the first connection"
    );
}

/// Who is told something new each time and then rubbish asks again, but not more and more often.
#[test]
fn one_new_event_and_then_rubbish_each_time_is_asked_again_at_a_bounded_rate() {
    let (node, _told) = start_node();
    let log = ChangeLog::new();
    let front = front(&config(&[node], log.address));
    let mut began = None;
    for n in 0..9 {
        let mut asked = log.accept();
        assert_eq!(asked.last_event, 3 + n, "resumed from the last whole event");
        began.get_or_insert_with(Instant::now);
        let bad = [changes(4 + n, &[Record::draining(n as u32 + 1)]), vec![0xff; 8]].concat();
        asked.send(&bad);
        asked.wait_until_closed();
        assert!(is_served(&request_session(&front, n)));
    }
    // Eight pauses, of 0.1, 0.2, 0.4 and from then on 0.5 s at least; a busy machine only makes it longer.
    let took = began.expect("began").elapsed();
    assert!(took >= ms(3_200), "nine times within {took:?}");
}

/// A log that tells much at once is heard between others, not before them: who asks meanwhile is answered while most of
/// it is still unread.
#[test]
fn a_flood_of_events_holds_nobody_else_up() {
    let (node, _told) = start_node();
    let log = ChangeLog::new();
    let front = front(&config(&[node], log.address));
    let mut asked = log.accept();
    let mut viewer = front.connect();
    viewer.set_read_timeout(Some(TIMEOUT)).expect("a time");
    asked.send(&changes(4, &(1..1_000).map(Record::draining).collect::<Vec<_>>()));
    // Each is small and costs as much as the list is long. All of them and the request are there when the front goes on.
    let flood: Vec<u8> = (5..605).flat_map(|n| changes(n, &[Record::draining(1)])).collect();
    front.signal("SIGSTOP");
    let mut stream = asked.stream.try_clone().expect("a handle");
    let writer = spawn(move || stream.write_all(&flood).is_ok());
    let until = Instant::now() + TIMEOUT;
    while unread(&asked.stream) < 16 * 1024 {
        assert!(Instant::now() < until, "the flood has not come");
        std::thread::yield_now();
    }
    viewer.write_all(&set_up_request(1, "lesson")).expect("writes");
    front.signal("SIGCONT");
    assert!(is_served(&read(&mut viewer).expect("an answer")));
    assert!(unread(&asked.stream) > 0, "answered after all of the flood");
    assert!(writer.join().expect("a writer"));
    // And it is read to its end.
    asked.send(&[0xff; 4]);
    asked.wait_until_closed();
    assert_eq!(log.accept().last_event, 604);
}

/// Each of these ends the connection and nothing else: no part of it is taken, serving goes on, and the front asks from
/// the last whole event.
#[test]
fn what_is_no_event_costs_its_connection_and_nothing_else() {
    let (node, _told) = start_node();
    let log = ChangeLog::new();
    let front = front(&config(&[node], log.address));
    let gone = Record::new(0, 2, node);
    let mut last = 3;
    let with = |at: usize, byte: u8, mut bytes: Vec<u8>| {
        bytes[at] = byte;
        bytes
    };
    let cases = |n: u64| {
        [
            ("a length beyond all bounds", vec![0xff; 4]),
            ("a length below number and kind", vec![0, 0, 0, 8]),
            ("a length of no whole records", vec![0, 0, 0, 10]),
            ("more records than a list may have", (9 + 27 * 20_001u32).to_be_bytes().to_vec()),
            ("an unknown kind", frame(n + 1, 3, &[gone])),
            ("nothing, with something behind it", frame(n + 1, 0, &[gone])),
            ("an unknown state in the second record", with(13 + 27 + 10, 9, changes(n + 1, &[gone, gone]))),
            ("an event after a gap", changes(n + 2, &[gone])),
            ("a later event that was not told", heartbeat(n + 1)),
        ]
    };
    for i in 0..cases(0).len() {
        let mut asked = log.accept();
        assert_eq!(asked.last_event, last);
        // A good event before each, so that there is a last whole one.
        last += 1;
        let (what, bytes) = cases(last)[i].clone();
        asked.send(&[changes(last, &[Record::draining(100 + i as u32)]), bytes].concat());
        asked.wait_until_closed();
        assert!(is_served(&request_session(&front, i as u64)), "after {what}");
    }
    // Torn in the middle of an event.
    let mut asked = log.accept();
    assert_eq!(asked.last_event, last);
    let torn = changes(last + 1, &[gone, gone]);
    asked.send(&torn[..torn.len() / 2]);
    asked.close();
    assert!(is_served(&request_session(&front, 99)));
    assert_eq!(log.accept().last_event, last, "resumed from the last whole event");
}

/// What was told before is not told again by coming once more, in whatever form.
#[test]
fn events_told_twice_older_ones_and_older_lists_change_nothing() {
    let ((first, _), (second, served)) = (start_node(), start_node());
    let log = ChangeLog::new();
    let front = front(&config(&[first], log.address));
    let mut asked = log.accept();
    let gone = Record::new(9, 2, second);
    asked.send(&changes(4, &[Record::new(0, 2, first), Record::new(9, 0, second)]));
    for old in [
        changes(4, &[gone]),
        changes(3, &[gone]),
        changes(1, &[gone]),
        frame(3, 1, &[]),
        frame(4, 1, &[]),
        heartbeat(2),
    ] {
        asked.send(&old);
    }
    asked.send(&changes(5, &[Record::draining(1)]));
    wait_until_served(&front, 1);
    assert!(served.recv_timeout(TIMEOUT).is_ok());
    // All of that came over one connection, and was read to its end.
    assert!(!log.has_new_connection());
    asked.close();
    assert_eq!(log.accept().last_event, 5);
    assert!(is_served(&request_session(&front, 500)));
}

/// Figures that no node can have: none is dialled for them, none panics, and who can be used is.
#[test]
fn records_that_cannot_be_true_harm_nobody() {
    let ((trap, trapped), (good, served)) = (start_node(), start_node());
    let log = ChangeLog::new();
    let front = front(&config(&[], log.address));
    let mut asked = log.accept();
    let at = |a: [u8; 4], port: u16| SocketAddr::from((Ipv4Addr::from(a), port));
    // Linux leads the unspecified address to this machine: it must not be dialled.
    let nowhere = [
        Record::new(1, 0, at([0, 0, 0, 0], trap.port())),
        Record::new(2, 0, at([127, 0, 0, 1], 0)),
        Record::new(3, 0, at([224, 0, 0, 1], 2905)),
        Record::new(4, 0, at([255, 255, 255, 255], 2905)),
    ];
    asked.send(&changes(4, &nowhere));
    for n in 0..5 {
        let answer = request_session(&front, n);
        assert!(answer.head.starts_with("RTSP/1.0 503"), "nobody can be asked: {answer:?}");
    }
    // A zone and a kind that the settings do not have, at a node that is there; one id twice, the last counts.
    let odd = Record { zone: 255, kind: 255, weight: u32::MAX, ..Record::new(9, 0, good) };
    asked.send(&changes(5, &[Record { state: 2, ..odd }, odd]));
    wait_until_served(&front, 10);
    // Weightless, and started long after today.
    asked.send(&changes(6, &[Record { weight: 0, started_ms: u64::MAX, ..odd }]));
    asked.send(&frame(7, 1, &[odd, Record { weight: 0, started_ms: u64::MAX, ..odd }]));
    wait_until_served(&front, 1_000);
    assert!(served.iter().take(2).count() == 2 && trapped.try_recv().is_err(), "a trap was dialled");
    asked.close();
    assert_eq!(log.accept().last_event, 7);
}

/// Moves the change log and gives the time until the front has asked the new one. Afterwards an event of the new one is
/// in force, and nobody asked a second time.
fn moves(front: &Front, config: &serde_json::Value, last: u64) -> Duration {
    let new = ChangeLog::new();
    let mut config = config.clone();
    config["changelog"] = json!(new.address.to_string());
    std::fs::write(front.file.path(), config.to_string()).expect("writes");
    let began = Instant::now();
    front.signal("SIGHUP");
    let mut asked = new.accept();
    let took = began.elapsed();
    assert_eq!(asked.last_event, last);
    let (node, served) = start_node();
    asked.send(&frame(last + 1, 1, &[Record::new(70, 0, node)]));
    wait_until_served(front, 0x700);
    assert!(served.recv_timeout(TIMEOUT).is_ok());
    // The event was taken from the connection that asked first, and that one stands.
    asked.send(&heartbeat(last + 1));
    assert!(!new.has_new_connection(), "asked twice");
    asked.close();
    assert_eq!(new.accept().last_event, last + 1);
    took
}

/// At once: shorter than what was being waited for in each of these states. A busy machine may hold one up, not three.
fn at_once(state: impl Fn() -> Duration) {
    let took: Vec<_> = (0..3).map(|_| state()).collect();
    assert!(took.iter().any(|t| *t < ms(450)), "{took:?}");
}

#[test]
fn a_change_log_that_moves_is_asked_at_once_while_the_old_one_stands() {
    at_once(|| {
        let old = ChangeLog::new();
        let config = config(&[], old.address);
        let front = front(&config);
        let mut asked = old.accept();
        asked.send(&changes(4, &[Record::draining(1)]));
        asked.send(&heartbeat(4));
        // Read to the end: the front asks from there when it is asked again.
        asked.close();
        let asked = old.accept();
        assert_eq!(asked.last_event, 4);
        let took = moves(&front, &config, 4);
        asked.wait_until_closed();
        took
    });
}

#[test]
fn a_change_log_that_moves_in_a_pause_is_asked_at_once_and_once() {
    at_once(|| {
        let old = ChangeLog::new();
        let config = config(&[], old.address);
        let front = front(&config);
        // Pauses grow up to half a second at least; the front is in one from the moment at which it has let go.
        (0..6).for_each(|_| old.accept().close());
        moves(&front, &config, 3)
    });
}

#[test]
fn a_change_log_that_moves_in_the_middle_of_a_frame_is_asked_at_once_from_the_last_whole_one() {
    at_once(|| {
        let old = ChangeLog::new();
        let config = config(&[], old.address);
        let front = front(&config);
        let mut asked = old.accept();
        let torn = changes(5, &[Record::draining(2); 9]);
        asked.send(&[changes(4, &[Record::draining(1)]), torn[..torn.len() - 1].to_vec()].concat());
        // Both were written at once: who has taken the one has read the other.
        let until = Instant::now() + TIMEOUT;
        while unread(&asked.stream) > 0 {
            assert!(Instant::now() < until, "not read");
            std::thread::yield_now();
        }
        let took = moves(&front, &config, 4);
        asked.wait_until_closed();
        took
    });
}

#[test]
fn a_change_log_that_moves_while_it_is_silent_is_asked_at_once() {
    at_once(|| {
        let old = ChangeLog::new();
        let config = config(&[], old.address);
        let front = front(&config);
        let asked = old.accept();
        let took = moves(&front, &config, 3);
        asked.wait_until_closed();
        took
    });
}

#[test]
fn a_change_log_that_moves_while_a_dial_to_it_hangs_is_asked_at_once() {
    at_once(|| {
        let (old, full) = full_listener();
        let config = config(&[], old);
        let front = front(&config);
        // 02 is SYN_SENT: the dial is under way and nobody takes it.
        let port = format!("{:04X}", old.port());
        let table = format!("/proc/{}/net/tcp", front.child.id());
        let until = Instant::now() + TIMEOUT;
        let hangs = || {
            let rows = std::fs::read_to_string(&table).expect("a table");
            rows.lines().any(|l| {
                let mut fields = l.split_whitespace().skip(2);
                fields.next().is_some_and(|r| r.ends_with(&port)) && fields.next() == Some("02")
            })
        };
        while !hangs() {
            assert!(Instant::now() < until, "no dial hangs");
            std::thread::yield_now();
        }
        let took = moves(&front, &config, 3);
        drop(full);
        took
    });
}

/// A listener that takes no more connections and refuses none: dials to it hang. What has to be kept for that.
fn full_listener() -> (SocketAddr, (socket2::Socket, Vec<TcpStream>)) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    listener.bind(&SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0).into()).expect("binds");
    listener.listen(0).expect("listens");
    let address = listener.local_addr().ok().and_then(|a| a.as_socket()).expect("an address");
    let taken = (0..16).map_while(|_| TcpStream::connect_timeout(&address, ms(300)).ok()).collect::<Vec<_>>();
    assert!(taken.len() < 16, "it takes on");
    (address, (listener, taken))
}

/// Bytes that were sent and that the other side has not read yet, by the system's table.
fn unread(stream: &TcpStream) -> usize {
    let (SocketAddr::V4(own), SocketAddr::V4(peer)) =
        (stream.local_addr().expect("an address"), stream.peer_addr().expect("an address"))
    else {
        panic!("IPv4")
    };
    let place = |a: SocketAddrV4| format!("{:08X}:{:04X}", u32::from_ne_bytes(a.ip().octets()), a.port());
    let (from, to) = (place(peer), place(own));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    let row = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let mut row = row.filter(|f| f.len() > 4 && f[1] == from && f[2] == to);
    let queue = row.next().and_then(|f| usize::from_str_radix(f[4].split(':').nth(1)?, 16).ok());
    queue.expect("the other end")
}

/// Idle clients hold all of the viewers' places while the change log is down: it is asked again once it is back,
/// without anybody leaving, and its news is acted on. The smaller one of both limits binds.
#[test]
fn idle_clients_hold_neither_the_watch_nor_dials_nor_newcomers_up() {
    for (told, limit) in [(64, 64), (1_024, 64), (64, 256)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("an address");
        let mut config = config(&[], address);
        config["limits"]["sockets"] = json!(told);
        let front = front_with_descriptor_limit(&config, limit);
        let first = listener.accept().expect("the front asks");
        // Down: nobody listens, and what stood has ended.
        drop((listener, first));
        let idlers: Vec<_> = (0..100)
            .map(|n| connect_idle_client(&front).unwrap_or_else(|| panic!("{told}, {limit}: idler {n}")))
            .collect();
        let fds =
            || std::fs::read_dir(format!("/proc/{}/fd", front.child.id())).expect("descriptors").count();
        assert!(fds() <= 64, "{told}, {limit}: {} descriptors", fds());
        let log = ChangeLog::on(TcpListener::bind(address).expect("binds again"));
        let back = Instant::now();
        let mut asked = log.accept();
        let took = back.elapsed();
        assert!(took < 4 * SECOND, "{told}, {limit}: asked again after {took:?}");
        let (node, served) = start_node();
        asked.send(&changes(4, &[Record::new(9, 0, node)]));
        wait_until_served(&front, 1);
        assert!(served.recv_timeout(TIMEOUT).is_ok() && fds() <= 64);
        drop(idlers);
    }
}
