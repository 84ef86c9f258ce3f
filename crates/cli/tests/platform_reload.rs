//! SIGHUP as a process on loopback: a file is taken whole or not at all, and what is open or stands under the settings
//! of the start goes on by them. Nodes hold their answers until a test lets them go.

#[path = "common/platform.rs"]
mod harness;
#[path = "common/log.rs"]
mod scripted_log;

use harness::*;
use scripted_log::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;

/// A set-up that has arrived at a node, which has not answered it.
struct Arrived {
    stream: TcpStream,
    id: String,
    class: String,
}

impl Arrived {
    fn plays(&mut self) {
        let fields = [("CSeq", "1"), ("Session", &*self.id)];
        self.stream.write_all(&message("RTSP/1.0 200 OK", &fields, b"an answer\r\n")).expect("writes");
    }

    fn ends(&mut self) {
        let fields = [("CSeq", "2"), ("Session", &*self.id), ("Reason", "cause=16")];
        let end = message("TEARDOWN rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"");
        self.stream.write_all(&end).expect("writes");
    }
}

/// A node that answers no set-up by itself.
fn holding() -> (SocketAddr, Receiver<Arrived>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("an address");
    let (tell, told) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), tell) = (stream, tell.clone()) else { return };
            spawn(move || {
                while let Ok(m) = read(&mut stream) {
                    let text = |name: &str| m.field(name).unwrap_or("").to_owned();
                    let Ok(copy) = stream.try_clone() else { return };
                    let arrived =
                        Arrived { stream: copy, id: text("Session"), class: text("Priority-Class") };
                    if m.head.starts_with("OPTIONS") {
                        let fields = [("CSeq", "3"), ("Session", &*arrived.id), ("P-Load", "x0:0.1;x1:0.1")];
                        let _ = stream.write_all(&message("RTSP/1.0 200 OK", &fields, b""));
                    } else if m.head.starts_with("SETUP") && tell.send(arrived).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, told)
}

/// Three classes in this order, whose requests may wait as long as a busy machine takes.
fn classes(config: &mut Value, names: &[&str]) {
    let settings = &mut config["settings"];
    let class = |name: &&str| {
        json!({"name": name, "idempotency": "at_most_once", "aim_ns": 60_000_000_000u64,
               "deadline_ns": 60_000_000_000u64, "value": 1.0})
    };
    settings["classes"] = names.iter().map(class).collect();
    let specifics = [("highest_rung", 1.0), ("lowest_rung", 0.0), ("seats", 0.0), ("scale_by_class", 1.0)];
    specifics.iter().for_each(|(key, v)| settings["specifics"][*key] = vec![*v; names.len()].into());
}

fn asks_as(front: &Front, id: u64, class: &str) -> TcpStream {
    let mut stream = front.connect();
    let text = String::from_utf8(set_up_request(id, class)).expect("text");
    stream.write_all(text.replace("Expires-Ms: 2500", "Expires-Ms: 60000").as_bytes()).expect("writes");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time");
    stream
}

fn plays(viewer: &mut TcpStream) {
    let answer = read(viewer).expect("an answer");
    assert!(is_served(&answer) && answer.body == b"an answer\r\n", "{answer:?}");
}

fn rewrite(front: &Front, config: &str) {
    std::fs::write(front.file.path(), config).expect("writes");
    front.signal("SIGHUP");
}

/// Files that are another's, or torn, each with another log's address: with requests open and sessions standing nothing
/// of them is taken. Requests of before and after have their one answer by the settings of the start; the old log is
/// followed.
#[test]
fn a_file_that_is_anothers_changes_nothing_for_whom_it_meets() {
    let (node, arrived) = holding();
    let (old, new) = (ChangeLog::new(), ChangeLog::new());
    let mut good = config(&[node], old.address);
    classes(&mut good, &["lesson", "clip", "briefing"]);
    let front = front(&good);
    let mut asked = old.accept();
    let moved = |change: &dyn Fn(&mut Value)| {
        let mut v = good.clone();
        v["changelog"] = json!(new.address.to_string());
        change(&mut v);
        v.to_string()
    };
    let with = |path: &'static str, value: Value| {
        moved(&move |v| *v.pointer_mut(path).expect("a field") = value.clone())
    };
    let torn = moved(&|_| {});
    let lowered = |v: &mut Value| {
        classes(v, &["lesson"]);
        v["limits"]["sockets"] = json!(18);
        v["settings"]["limits"]["max_attempts"] = json!(1);
    };
    let more_flavors = |v: &mut Value| {
        v["settings"]["flavors"] = json!(["k", "j"]);
        v["settings"]["specifics"]["kind_slots"] = json!([200, 200]);
    };
    let cases = [
        ("'settings.classes'", moved(&|v| classes(v, &["briefing", "clip", "lesson"]))),
        ("'settings.classes'", moved(&|v| classes(v, &["lesson", "clip", "briefing", "more"]))),
        ("'settings.classes'", moved(&lowered)),
        ("'settings.classes.deadline_ns'", with("/settings/classes/1/deadline_ns", json!(1))),
        ("'settings.classes.idempotency'", with("/settings/classes/1/idempotency", json!("idempotent"))),
        ("'settings.zones'", with("/settings/zones", json!(["z", "y"]))),
        ("'settings.flavors'", moved(&more_flavors)),
        ("'kind' \"k\"", with("/settings/flavors", json!(["j"]))),
        ("'settings.load_report.fields'", with("/settings/load_report/fields", json!(["x1", "x0"]))),
        ("'settings.tenants'", moved(&|v| v["settings"]["tenants"] = json!([{"name": "t"}]))),
        ("'name'", with("/name", json!("n2"))),
        ("'listen'", with("/listen", json!("127.0.0.1:9"))),
        ("not JSON", torn[..torn.len() - 1].to_owned()),
        ("'n_instances'", with("/settings/n_instances", json!(0))),
        ("'known'", moved(&|v| _ = v.as_object_mut().expect("an object").remove("known"))),
        ("'changelog' is given twice", torn.replacen('{', "{\"changelog\":\"127.0.0.1:9\",", 1)),
    ];
    let mut last = 3;
    for (i, (field, text)) in cases.iter().enumerate() {
        let id = |n: u64| 0x10 * (i as u64 + 1) + n;
        let arrives = |class: &str| {
            let a = arrived.recv_timeout(TIMEOUT).expect("a set-up arrives");
            assert_eq!(a.class, class, "{field}");
            a
        };
        let mut standing = asks_as(&front, id(1), "clip");
        let mut session = arrives("clip");
        session.plays();
        plays(&mut standing);
        let mut open = asks_as(&front, id(2), "briefing");
        let mut held = arrives("briefing");
        rewrite(&front, text);
        let line = wait_for_log_line(&front.log_lines, "config-kept");
        let path = front.file.path().display().to_string();
        assert!(line.contains(field) && line.contains(&path), "{field}: {line}");
        let mut later = asks_as(&front, id(3), "clip");
        arrives("clip").plays();
        plays(&mut later);
        held.plays();
        plays(&mut open);
        session.ends();
        let end = read(&mut standing).expect("the end");
        assert!(end.head.starts_with("TEARDOWN") && end.field("Reason") == Some("cause=16"), "{end:?}");
        // One answer each: a test on the same connection is answered next.
        for viewer in [&mut open, &mut later] {
            viewer
                .write_all(&message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b""))
                .expect("writes");
            assert_eq!(read(viewer).expect("an answer").field("CSeq"), Some("3"), "{field}");
        }
        last += 1;
        asked.send(&changes(last, &[Record::draining(100 + i as u32)]));
    }
    assert!(!old.has_new_connection() && !new.has_new_connection(), "the log that was followed is followed");
    asked.close();
    assert_eq!(old.accept().last_event, last, "all that it told was taken");
    assert!(!new.has_new_connection());
    // The good one, moved: taken after all.
    rewrite(&front, &moved(&|_| {}));
    wait_for_log_line(&front.log_lines, "config-taken");
    assert_eq!(new.accept().last_event, last);
}

/// Figures that may differ wait, and are named: limits far beneath what stands end nothing.
#[test]
fn limits_beneath_what_stands_wait_for_the_next_start() {
    let (node, arrived) = holding();
    let (old, new) = (ChangeLog::new(), ChangeLog::new());
    let mut config = config(&[node], old.address);
    classes(&mut config, &["lesson"]);
    let front = front(&config);
    let asked = old.accept();
    let serves = |id: u64| {
        let mut viewer = asks_as(&front, id, "lesson");
        let mut session = arrived.recv_timeout(TIMEOUT).expect("arrives");
        session.plays();
        plays(&mut viewer);
        (viewer, session)
    };
    let mut standing: Vec<_> = (1..40).map(serves).collect();
    let mut open = asks_as(&front, 50, "lesson");
    let mut held = arrived.recv_timeout(TIMEOUT).expect("arrives");
    config["changelog"] = json!(new.address.to_string());
    config["limits"]["sockets"] = json!(18);
    config["seed"] = json!("0000000000000001");
    config["settings"]["limits"]["max_attempts"] = json!(1);
    config["settings"]["n_instances"] = json!(7);
    config["settings"]["specifics"]["seats"] = json!([1]);
    rewrite(&front, &config.to_string());
    let line = wait_for_log_line(&front.log_lines, "config-waits");
    for field in [
        "limits.sockets",
        "seed",
        "settings.limits.max_attempts",
        "settings.n_instances",
        "settings.specifics.seats",
    ] {
        assert!(line.contains(field), "{field}: {line}");
    }
    asked.wait_until_closed();
    assert_eq!(new.accept().last_event, 3);
    held.plays();
    plays(&mut open);
    standing.extend((60..80).map(serves));
    for (viewer, session) in &mut standing {
        session.ends();
        let end = read(viewer).expect("the end");
        assert!(end.head.starts_with("TEARDOWN") && end.field("Reason") == Some("cause=16"), "{end:?}");
    }
    drop(open);
}

/// A file that nobody writes to the end, or that is gone, holds nobody up.
#[test]
fn a_file_that_cannot_be_read_holds_nobody_up() {
    let (node, _told) = start_node();
    let log = ChangeLog::new();
    let good = config(&[node], log.address);
    let front = front(&good);
    let mut asked = log.accept();
    let path = front.file.path().to_owned();
    let kept = |id: u64| {
        front.signal("SIGHUP");
        let line = wait_for_log_line(&front.log_lines, "config-kept");
        assert!(line.contains(&path.display().to_string()), "{line}");
        assert!(is_served(&request_session(&front, id)));
    };
    std::fs::remove_file(&path).expect("removed");
    kept(1);
    assert!(Command::new("mkfifo").arg(&path).status().expect("runs").success());
    kept(2);
    std::fs::remove_file(&path).expect("removed");
    std::fs::create_dir(&path).expect("made");
    kept(3);
    std::fs::remove_dir(&path).expect("removed");
    std::fs::write(&path, vec![b' '; 9 << 20]).expect("writes");
    kept(4);
    std::fs::write(&path, good.to_string()).expect("writes");
    front.signal("SIGHUP");
    wait_for_log_line(&front.log_lines, "config-taken");
    asked.send(&heartbeat(3));
    assert!(!log.has_new_connection(), "the same log: asked once");
}

/// What cannot be used ends with 2 and one line that names file and field.
#[test]
fn a_start_that_cannot_be_is_named_in_one_line() {
    let good = config(&[], "127.0.0.1:9".parse().expect("an address"));
    let with = |path: &str, value: Value| {
        let mut v = good.clone();
        *v.pointer_mut(path).expect("a field") = value;
        v.to_string()
    };
    // Taken until all have run.
    let held = TcpListener::bind("127.0.0.1:0").expect("binds");
    let taken = held.local_addr().expect("an address").to_string();
    let cases = [
        (String::new(), "not JSON", 256),
        (good.to_string().replacen('{', "{\"name\":\"n1\",", 1), "'name' is given twice", 256),
        (with("/settings/classes", json!([])), "'classes'", 256),
        (with("/settings/specifics/highest_rung", json!([])), "'highest_rung'", 256),
        (with("/settings/specifics/groups", json!(u32::MAX)), "'groups'", 256),
        (with("/settings/specifics/rung_kb", json!([400.0, 200.0])), "'rung_kb'", 256),
        (with("/settings/limits/max_attempts", json!(0)), "'max_attempts'", 256),
        (with("/settings/az", json!(1)), "'az'", 256),
        (with("/limits/sockets", json!(0)), "'limits.sockets'", 256),
        (with("/listen", json!(taken)), "'listen'", 256),
        (good.to_string(), "17 descriptors", 17),
    ];
    for (text, field, descriptors) in cases {
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), text).expect("writes");
        let mut command = Command::new("sh");
        // One that starts after all is ended, with another code than 2.
        command.args(["-c", &format!("ulimit -n {descriptors} && exec timeout 20 \"$0\" \"$@\"")]);
        command.args([env!("CARGO_BIN_EXE_pepperhook"), "platform", "--config"]).arg(file.path());
        let run = command.env_remove("BALANCER_NAME").env_remove("BALANCER_LISTEN").output().expect("runs");
        let said = String::from_utf8_lossy(&run.stderr).into_owned();
        assert_eq!(run.status.code(), Some(2), "{field}: {said}");
        assert_eq!(said.lines().count(), 1, "{field}: {said}");
        let path = file.path().display().to_string();
        assert!(
            said.contains(field) && said.contains(&path) && !said.contains("panicked"),
            "{field}: {said}"
        );
    }
    drop(held);
}
