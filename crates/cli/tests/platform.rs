//! `pepperhook platform` as a process on loopback: scripted nodes, viewers and a change log that share no code with it.

#[path = "common/platform.rs"]
mod harness;

use harness::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;
use std::time::Instant;

const EXTRAS: &str = "home:0;copies:2;top:4;viewer:00000000000000aa";

fn set_up(id: &str) -> Vec<u8> {
    let fields = [
        ("CSeq", "1"),
        ("Session", id),
        ("Priority-Class", "lesson"),
        ("Expires-Ms", "1500"),
        ("X-Length", "8200.0"),
        ("P-Trunk-Info", EXTRAS),
    ];
    message("SETUP rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"an offer\r\n")
}

/// What a scripted node does with a set-up.
type Script = fn(&mut TcpStream, &Raw);

fn answer(stream: &mut TcpStream, m: &Raw) {
    let session = m.field("Session").unwrap_or("").to_owned();
    if m.head.starts_with("OPTIONS") {
        let fields = [("CSeq", "3"), ("Session", session.as_str()), ("P-Load", "x0:0.1;x1:0.1")];
        let _ = stream.write_all(&message("RTSP/1.0 200 OK", &fields, b""));
    } else if m.head.starts_with("SETUP") {
        let fields = [("CSeq", "1"), ("Session", session.as_str())];
        let _ = stream.write_all(&message("RTSP/1.0 200 OK", &fields, b"an answer\r\n"));
    }
}

/// A node: what it was sent, and a way to see its address.
fn scripted(script: Script) -> (SocketAddr, Receiver<Raw>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    let (tell, told) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), tell) = (stream, tell.clone()) else { return };
            spawn(move || {
                while let Ok(m) = read(&mut stream) {
                    script(&mut stream, &m);
                    if tell.send(m).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, told)
}

/// Asks on a connection of its own.
fn asks(front: &Front, id: &str) -> Raw {
    let mut stream = front.connect();
    stream.write_all(&set_up(id)).expect("writes");
    read(&mut stream).expect("an answer")
}

#[test]
fn a_session_is_set_up_at_a_node_and_its_end_is_told() {
    let (address, told) = scripted(|stream, m| {
        answer(stream, m);
        if m.head.starts_with("SETUP") {
            let session = m.field("Session").unwrap_or("").to_owned();
            let fields = [("CSeq", "2"), ("Session", session.as_str()), ("Reason", "cause=16")];
            let _ =
                stream.write_all(&message("TEARDOWN rtsp://media/00000000000000f1 RTSP/1.0", &fields, b""));
        }
    });
    let (log, asked) = change_log(Vec::new());
    let front = front(&config(&[address], log));
    assert_eq!(asked.recv_timeout(5 * SECOND), Ok(3), "the change log is asked from the last known event");
    let mut viewer = front.connect();
    viewer.write_all(&message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b"")).expect("writes");
    assert!(read(&mut viewer).expect("an answer").head.starts_with("RTSP/1.0 200"));
    viewer.write_all(&set_up("00000000000000b1")).expect("writes");
    let answer = read(&mut viewer).expect("an answer");
    assert!(answer.head.starts_with("RTSP/1.0 200"), "{answer:?}");
    assert_eq!((answer.field("CSeq"), answer.field("Session")), (Some("1"), Some("00000000000000b1")));
    assert_eq!(answer.body, b"an answer\r\n");
    let end = read(&mut viewer).expect("the end");
    assert!(
        end.head.starts_with("TEARDOWN rtsp://media/") && end.field("Reason") == Some("cause=16"),
        "{end:?}"
    );
    let sent = told.iter().find(|m| m.head.starts_with("SETUP")).expect("a set-up");
    assert!(sent.head.starts_with("SETUP rtsp://media/00000000000000f1 RTSP/1.0\r\n"));
    assert_eq!((sent.field("Priority-Class"), &sent.body[..]), (Some("lesson"), &b"an offer\r\n"[..]));
    assert!(sent.field("X-Rung").is_some() && sent.field("P-Trunk-Info").is_none());
    let wait: u64 = sent.field("Expires-Ms").and_then(|w| w.parse().ok()).expect("a time");
    assert!((1..=1500).contains(&wait));
}

#[test]
fn bad_clients_are_turned_away_and_usual_ones_are_served_meanwhile() {
    let (address, _told) = scripted(answer);
    let front = front(&config(&[address], change_log(Vec::new()).0));
    let with = |from: &str, to: &str| {
        String::from_utf8_lossy(&set_up("00000000000000c1")).replace(from, to).into_bytes()
    };
    let mut bad: Vec<Vec<u8>> = vec![
        vec![0xff; 64],
        vec![b'a'; 40_000],
        [&b"SETUP rtsp://media/00000000000000f1 RTSP/1.0\r\n"[..], &vec![b'x'; 60_000][..]].concat(),
        with("Content-Length: 10", "Content-Length: -10"),
        with("Content-Length: 10", "Content-Length: 60000000"),
        with("Content-Length: 10", "Content-Length: 99999999999999999999"),
        with("Content-Length: 10\r\n", ""),
        with("Session: 00000000000000c1\r\n", ""),
        with("Priority-Class: lesson", "Priority-Class: nobody"),
        with("Expires-Ms: 1500", "Expires-Ms: -1"),
        with("Expires-Ms: 1500", "Expires-Ms: 99999999999999999999"),
        with("Expires-Ms: 1500", "Expires-Ms: soon"),
        with("X-Length: 8200.0", "X-Length: NaN"),
        with("home:0", "home:1e300"),
        with("copies:2", "copies:-3"),
        with("viewer:00000000000000aa", "viewer:zz"),
        with("00000000000000f1", "not-a-title"),
        message(
            "TEARDOWN rtsp://media/00000000000000f1 RTSP/1.0",
            &[("CSeq", "2"), ("Session", "00000000000000dd")],
            b"",
        ),
        b"SETUP rtsp://media/000".to_vec(),
        Vec::new(),
    ];
    bad.push([set_up("00000000000000c2"), with("00000000000000c1", "00000000000000c2")].concat());
    let began = Instant::now();
    let each: Vec<_> = bad
        .into_iter()
        .map(|bytes| {
            let mut stream = front.connect();
            spawn(move || {
                let _ = stream.write_all(&bytes);
                let answer = read(&mut stream);
                (String::from_utf8_lossy(&bytes).into_owned(), answer.map(|a| a.head))
            })
        })
        .collect();
    for i in 0..10 {
        let answer = asks(&front, &format!("{:016x}", 0xe0 + i));
        assert!(answer.head.starts_with("RTSP/1.0 200"), "{answer:?}");
    }
    for one in each {
        // An error of the read is a close.
        let (sent, answer) = one.join().expect("joins");
        assert!(
            !answer.as_ref().is_ok_and(|a| a.starts_with("RTSP/1.0 200")),
            "{sent} was answered {answer:?}"
        );
    }
    assert!(began.elapsed() < 3 * SECOND, "{:?}", began.elapsed());
}

#[test]
fn silent_connections_by_the_hundred_do_not_keep_viewers_away() {
    let (address, _told) = scripted(answer);
    let front = front(&config(&[address], change_log(Vec::new()).0));
    let mut silent: Vec<TcpStream> = (0..300).map(|_| front.connect()).collect();
    for i in 0..5 {
        assert!(asks(&front, &format!("{:016x}", 0xa0 + i)).head.starts_with("RTSP/1.0 200"));
    }
    let began = Instant::now();
    for stream in &mut silent {
        assert!(matches!(stream.read(&mut [0; 64]), Ok(0) | Err(_)));
    }
    assert!(began.elapsed() < 3 * SECOND);
}

#[test]
fn noise_of_a_node_spoils_one_set_up_and_not_the_front() {
    let (noisy, _told) = scripted(|stream, m| {
        if m.head.starts_with("SETUP") {
            let _ = stream.write_all(b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 3000000000\r\n\r\n");
            while stream.write_all(&[b'x'; 4096]).is_ok() {}
        } else {
            answer(stream, m);
        }
    });
    let front = front(&config(&[noisy], change_log(Vec::new()).0));
    for i in 0..3 {
        let answer = asks(&front, &format!("{:016x}", 0x70 + i));
        assert!(
            answer.head.starts_with("RTSP/1.0 500"),
            "it may have run, and the class is paid: {answer:?}"
        );
    }
}

#[test]
fn a_new_configuration_moves_the_change_log_and_a_bad_one_is_kept_out() {
    let (first, _told) = scripted(answer);
    let (second, _told_too) = scripted(answer);
    let (old, asked) = change_log(Vec::new());
    let mut v = config(&[first], old);
    let front = front(&v);
    assert_eq!(asked.recv_timeout(5 * SECOND), Ok(3));
    std::fs::write(front.file.path(), "{").expect("writes");
    front.signal("SIGHUP");
    wait_for_log_line(&front.log_lines, "config-kept");
    // The new change log drops the first node and brings the second one.
    let SocketAddr::V4(second) = second else { panic!("an address of four bytes") };
    let record = |id: u32, address: std::net::SocketAddrV4, state: u8| {
        let (ip, port) = (address.ip().octets(), address.port().to_be_bytes());
        let tail = [&[state, 0, 0, 0, 0][..], &1000u32.to_be_bytes(), &0u64.to_be_bytes()].concat();
        [&id.to_be_bytes()[..], &ip, &port, &tail].concat()
    };
    let payload = record(9, second, 0);
    let frame = [&(9 + payload.len() as u32).to_be_bytes()[..], &4u64.to_be_bytes(), &[1], &payload].concat();
    let (new, asked) = change_log(frame);
    v["changelog"] = json!(new.to_string());
    std::fs::write(front.file.path(), v.to_string()).expect("writes");
    front.signal("SIGHUP");
    assert_eq!(asked.recv_timeout(5 * SECOND), Ok(3), "the numbering carries on");
    let until = Instant::now() + 5 * SECOND;
    let mut n = 0u64;
    loop {
        n += 1;
        assert!(asks(&front, &format!("{n:016x}")).head.starts_with("RTSP/1.0 200"));
        if _told_too.try_iter().any(|m| m.head.starts_with("SETUP")) {
            return;
        }
        assert!(Instant::now() < until, "the new list is never in force");
    }
}

#[test]
fn what_comes_before_and_shortly_after_sigterm_is_answered_and_the_exit_is_0() {
    let (address, _told) = scripted(answer);
    let mut front = front(&config(&[address], change_log(Vec::new()).0));
    let mut viewer = front.connect();
    viewer.write_all(&set_up("00000000000000b1")).expect("writes");
    assert!(read(&mut viewer).expect("an answer").head.starts_with("RTSP/1.0 200"));
    front.signal("SIGTERM");
    wait_for_log_line(&front.log_lines, "stopping");
    viewer.write_all(&set_up("00000000000000b2")).expect("writes");
    assert!(read(&mut viewer).expect("an answer").head.starts_with("RTSP/1.0 200"));
    assert!(asks(&front, "00000000000000b3").head.starts_with("RTSP/1.0 200"));
    let status = front.child.wait().expect("ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn a_configuration_that_cannot_be_used_is_named_by_file_and_field() {
    let good = config(&[], "127.0.0.1:9".parse().expect("an address"));
    let without = |path: &[&str], with: Value| {
        let mut v = good.clone();
        let mut at = &mut v;
        for key in path {
            at = &mut at[*key];
        }
        *at = with;
        v.to_string()
    };
    let cases = [
        ("{".to_owned(), "not JSON"),
        ("[]".to_owned(), "'settings'"),
        (without(&["listen"], json!(7)), "'listen'"),
        (without(&["listen"], json!("203.0.113.1:1")), "'listen'"),
        (without(&["seed"], json!("xyz")), "'seed'"),
        (without(&["settings", "specifics", "uplink_kb"], json!("much")), "'uplink_kb'"),
        (without(&["known", "results"], json!([{"seq": 1}])), "'fleet'"),
    ];
    for (text, field) in cases {
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), text).expect("writes");
        let run = Command::new(env!("CARGO_BIN_EXE_pepperhook"))
            .args(["platform", "--config"])
            .arg(file.path())
            .output()
            .expect("runs");
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        let last = said.lines().last().unwrap_or("").to_owned();
        assert_eq!(run.status.code(), Some(2), "{said}");
        assert!(last.contains(field) && !said.contains("panicked"), "{said}");
    }
    let none =
        Command::new(env!("CARGO_BIN_EXE_pepperhook")).arg("platform").env_remove("BALANCER_CONFIG").output();
    assert_eq!(none.expect("runs").status.code(), Some(2));
}

/// What the platform asks of `run`: one process by `exec`, linked dynamically, TCP over IPv4 alone.
#[test]
fn the_deploy_file_starts_one_process_that_holds_one_listener_and_nothing_else() {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    let text = std::fs::read_to_string(deploy).expect("the deploy file");
    let key = |name: &str| {
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(" = ")).expect("a key");
        line.trim_matches('"').to_owned()
    };
    assert_eq!(key("build"), "cargo build --release");
    assert_eq!(key("run"), "exec target/release/pepperhook platform");

    // PT_INTERP of the program headers names the dynamic loader; a static binary has none.
    let elf = std::fs::read(env!("CARGO_BIN_EXE_pepperhook")).expect("the binary");
    let number =
        |at: usize, n: usize| elf[at..at + n].iter().rev().fold(0usize, |x, b| x << 8 | usize::from(*b));
    let (table, size, count) = (number(32, 8), number(54, 2), number(56, 2));
    assert!((0..count).any(|i| number(table + i * size, 4) == 3), "linked statically");

    let (node, _told) = scripted(answer);
    let (log, _asked) = change_log(Vec::new());
    let front = front(&config(&[node], log));
    assert!(asks(&front, "00000000000000c1").head.starts_with("RTSP/1.0 200"));
    let proc = format!("/proc/{}", front.child.id());
    let threads: Vec<_> = std::fs::read_dir(format!("{proc}/task")).expect("tasks").flatten().collect();
    for thread in &threads {
        let children = std::fs::read_to_string(thread.path().join("children")).unwrap_or_default();
        assert_eq!(children.trim(), "", "it started another program");
    }
    let inodes: Vec<_> = std::fs::read_dir(format!("{proc}/fd"))
        .expect("descriptors")
        .flatten()
        .filter_map(|fd| std::fs::read_link(fd.path()).ok())
        .filter_map(|l| Some(l.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    let held = |table: &str, inode: usize| -> Vec<Vec<String>> {
        let rows = std::fs::read_to_string(format!("{proc}/net/{table}")).unwrap_or_default();
        let rows = rows.lines().skip(1).map(|l| l.split_whitespace().map(str::to_owned).collect::<Vec<_>>());
        rows.filter(|r| r.get(inode).is_some_and(|i| inodes.contains(i))).collect()
    };
    // State 0A is a listener.
    let listeners = held("tcp", 9).iter().filter(|r| r[3] == "0A").count();
    assert_eq!((listeners, held("udp", 9).len(), held("tcp6", 9).len()), (1, 0, 0));
    // tokio's signals come over a pair of unnamed Unix sockets; one with a name could be met from outside.
    assert!(held("unix", 6).iter().all(|r| r.len() == 7), "a Unix socket with a name");
}

/// The change log breaks off within an event, tells others twice, then falls silent with the connection open; the front
/// asks again from the last whole event each time, and ends up with the list as it is.
#[test]
fn a_change_log_that_tears_doubles_and_falls_silent_is_asked_again_from_the_last_whole_event() {
    let (first, _told) = scripted(answer);
    let (second, served) = scripted(answer);
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let log = listener.local_addr().expect("an address");
    let drains = node_change(4, 0, 1, first);
    let gone = node_change(5, 0, 2, first);
    let comes = node_change(6, 9, 0, second);
    let (tell, asked) = channel();
    spawn(move || {
        let pieces = [
            // Whole, then torn in the middle.
            [&drains[..], &gone[..gone.len() / 2]].concat(),
            // Twice, and one that is long known; then silence.
            [&gone[..], &gone[..], &drains[..]].concat(),
            comes,
        ];
        let mut kept = Vec::new();
        for (i, piece) in pieces.into_iter().enumerate() {
            let (mut stream, _) = listener.accept().expect("the front asks");
            let mut last = [0; 8];
            stream.read_exact(&mut last).expect("a number");
            tell.send(u64::from_be_bytes(last)).expect("a test that waits");
            stream.write_all(&piece).expect("writes");
            if i > 0 {
                kept.push(stream);
            }
        }
        // Open to the end of the test.
        let _ = listener.accept();
    });
    let front = front(&config(&[first], log));
    let numbers: Vec<_> = (0..3).map(|_| asked.recv_timeout(10 * SECOND).expect("asked again")).collect();
    assert_eq!(numbers, [3, 4, 5]);
    // The node that came last serves, and the one that is gone does not: no other holds the title.
    let until = Instant::now() + 5 * SECOND;
    let mut n = 0xd0u64;
    while !asks(&front, &format!("{n:016x}")).head.starts_with("RTSP/1.0 200") {
        assert!(Instant::now() < until, "the list's last event did not arrive");
        n += 1;
    }
    assert!(served.iter().any(|m| m.head.starts_with("SETUP")));
}

/// Hundreds of set-ups taken back at once: none is left at the node, and who comes after them is served.
#[test]
fn a_flood_of_give_ups_leaves_nothing_behind() {
    let (node, told) = scripted(|stream, m| {
        // It takes its time with the flood's set-ups, so that the give-ups cross them.
        if !m.field("Session").unwrap_or("").starts_with("ee") {
            answer(stream, m);
        }
    });
    let (log, _asked) = change_log(Vec::new());
    let front = front(&config(&[node], log));
    let mut flood = front.connect();
    let ids: Vec<_> = (0..200).map(|n| format!("ee{n:014x}")).collect();
    let bytes: Vec<u8> = ids.iter().flat_map(|id| set_up(id)).collect();
    flood.write_all(&bytes).expect("writes");
    let arrived =
        |m: &Raw| m.head.starts_with("SETUP") && m.field("Session").is_some_and(|s| s.starts_with("ee"));
    assert!(told.iter().any(|m| arrived(&m)), "the flood has reached the node");
    let give_up = |id: &String| {
        message(
            "TEARDOWN rtsp://media/00000000000000f1 RTSP/1.0",
            &[("CSeq", "2"), ("Session", id.as_str())],
            b"",
        )
    };
    flood.write_all(&ids.iter().flat_map(give_up).collect::<Vec<u8>>()).expect("writes");
    assert!(asks(&front, "00000000000000c2").head.starts_with("RTSP/1.0 200"));
    // Each set-up that reached the node was taken back there, or its connection was closed.
    let mut heard = 0;
    while heard < ids.len() {
        let m = read(&mut flood).expect("a give-up is heard");
        heard += usize::from(m.field("CSeq") == Some("2"));
    }
    front.signal("SIGTERM");
    wait_for_log_line(&front.log_lines, "stopped");
    drop(front);
    let (mut out, mut back) = (1, 0);
    for m in told.try_iter().filter(|m| m.field("Session").is_some_and(|s| s.starts_with("ee"))) {
        out += usize::from(m.head.starts_with("SETUP"));
        back += usize::from(m.head.starts_with("TEARDOWN"));
    }
    assert!(back <= out && out <= ids.len(), "{out} set-ups, {back} taken back");
    assert!(out == back, "{} set-ups were left at the node", out - back);
}

/// A viewer that asks and asks and reads nothing loses its connection when what waits for it passes the bound; others
/// are served meanwhile.
#[test]
fn a_viewer_that_does_not_read_loses_its_connection_and_nobody_elses() {
    let (node, _told) = scripted(answer);
    let (log, _asked) = change_log(Vec::new());
    let front = front(&config(&[node], log));
    let mut slow = front.connect();
    slow.set_write_timeout(Some(5 * SECOND)).expect("a time");
    let ping = message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b"");
    let many = ping.repeat(1_000);
    let (tell, ended) = channel();
    spawn(move || {
        // Far more than the system's buffers and the front's bound hold together.
        let end = (0..400).find_map(|_| slow.write_all(&many).err());
        let _ = tell.send(end.map(|e| e.kind()));
    });
    for n in 0..20u64 {
        let began = Instant::now();
        assert!(asks(&front, &format!("{:016x}", 0xf00 + n)).head.starts_with("RTSP/1.0 200"));
        assert!(began.elapsed() < SECOND, "others wait for the one that does not read");
    }
    let end = ended.recv_timeout(20 * SECOND).expect("the writer ends");
    use std::io::ErrorKind::{BrokenPipe, ConnectionReset};
    assert!(matches!(end, Some(ConnectionReset | BrokenPipe)), "its connection was closed: {end:?}");
}

/// Answers that break off within their body, with the connection ended or left open: the paid set-up may have run, so that
/// it fails, once and in time, and the next viewer is served.
#[test]
fn an_answer_cut_off_on_its_way_fails_its_set_up_alone() {
    let (node, _told) = scripted(|stream, m| {
        let session = m.field("Session").unwrap_or("").to_owned();
        let cut = session.starts_with("cc") || session.starts_with("dd");
        if !(cut && m.head.starts_with("SETUP")) {
            return answer(stream, m);
        }
        let whole =
            message("RTSP/1.0 200 OK", &[("CSeq", "1"), ("Session", session.as_str())], b"an answer\r\n");
        let _ = stream.write_all(&whole[..whole.len() - 4]);
        if session.starts_with("cc") {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    });
    let (log, _asked) = change_log(Vec::new());
    let front = front(&config(&[node], log));
    for id in ["cc000000000000a1", "dd000000000000a1"] {
        let mut viewer = front.connect();
        let began = Instant::now();
        viewer.write_all(&set_up(id)).expect("writes");
        let end = read(&mut viewer).expect("an answer");
        assert!(end.head.starts_with("RTSP/1.0 500") && began.elapsed() < 2 * SECOND, "{id}: {end:?}");
        viewer.set_read_timeout(Some(SECOND / 5)).expect("a time");
        assert!(read(&mut viewer).is_err(), "a second answer");
        assert!(
            asks(&front, &id.replace("a1", "b2").replace("cc", "aa").replace("dd", "bb"))
                .head
                .contains(" 200 ")
        );
    }
}

/// What a change log that fell silent would have told counts as told 4 s after that: it is asked again well before. One that
/// is down is asked again within about a second of its coming back.
#[test]
fn a_silent_change_log_is_asked_again_within_4_s_and_one_that_was_down_within_a_second_or_so() {
    let (node, _told) = scripted(answer);
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let log = listener.local_addr().expect("an address");
    let _front = front(&config(&[node], log));
    let asked = |listener: &TcpListener| {
        let (mut stream, _) = listener.accept().expect("the front asks");
        stream.read_exact(&mut [0; 8]).expect("a number");
        stream
    };
    let mut first = asked(&listener);
    let nothing = [&9u32.to_be_bytes()[..], &3u64.to_be_bytes(), &[0]].concat();
    first.write_all(&nothing).expect("writes");
    let silent = Instant::now();
    let second = asked(&listener);
    assert!(silent.elapsed() < 4 * SECOND, "asked again after {:?}", silent.elapsed());
    // Down for a while.
    drop((listener, first, second));
    std::thread::sleep(2 * SECOND);
    let listener = TcpListener::bind(log).expect("binds again");
    let back = Instant::now();
    asked(&listener);
    assert!(back.elapsed() < 2 * SECOND, "asked again after {:?}", back.elapsed());
}
