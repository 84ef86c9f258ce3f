//! Reload by SIGHUP of `pepperhook platform` as a process on loopback: a configuration is applied completely or not at
//! all, and pending requests and existing sessions continue under the settings of the start. Nodes answer only when a test
//! makes them.

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

/// A set-up that arrived at a node and is not answered yet.
struct PendingSetUp {
    stream: TcpStream,
    id: String,
    class: String,
}

impl PendingSetUp {
    /// Accepts the set-up.
    fn accept(&mut self) {
        let fields = [("CSeq", "1"), ("Session", &*self.id)];
        self.stream
            .write_all(&message("RTSP/1.0 200 OK", &fields, b"an answer\r\n"))
            .expect("cannot write to the connection");
    }

    /// Ends the session from the node's side.
    fn end_session(&mut self) {
        let fields = [("CSeq", "2"), ("Session", &*self.id), ("Reason", "cause=16")];
        let teardown = message("TEARDOWN rtsp://media/00000000000000f1 RTSP/1.0", &fields, b"");
        self.stream.write_all(&teardown).expect("cannot write to the connection");
    }
}

/// Starts a node that leaves its answers to the test; returns its address and the set-ups that arrive.
fn start_manual_node() -> (SocketAddr, Receiver<PendingSetUp>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("no valid address");
    let (set_up_sender, set_ups) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), set_up_sender) = (stream, set_up_sender.clone()) else { return };
            spawn(move || {
                while let Ok(request) = read(&mut stream) {
                    let field = |name: &str| request.field(name).unwrap_or("").to_owned();
                    let Ok(copy) = stream.try_clone() else { return };
                    let set_up =
                        PendingSetUp { stream: copy, id: field("Session"), class: field("Priority-Class") };
                    if request.head.starts_with("OPTIONS") {
                        let fields = [("CSeq", "3"), ("Session", &*set_up.id), ("P-Load", "x0:0.1;x1:0.1")];
                        let _ = stream.write_all(&message("RTSP/1.0 200 OK", &fields, b""));
                    } else if request.head.starts_with("SETUP") && set_up_sender.send(set_up).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, set_ups)
}

/// Sets the classes of the configuration, in this order; their deadlines of 60 s suffice on a busy machine.
fn set_classes(config: &mut Value, names: &[&str]) {
    let settings = &mut config["settings"];
    let class = |name: &&str| {
        json!({"name": name, "idempotency": "at_most_once", "aim_ns": 60_000_000_000u64,
               "deadline_ns": 60_000_000_000u64, "value": 1.0})
    };
    settings["classes"] = names.iter().map(class).collect();
    let specifics = [("highest_rung", 1.0), ("lowest_rung", 0.0), ("seats", 0.0), ("scale_by_class", 1.0)];
    specifics.iter().for_each(|(key, value)| settings["specifics"][*key] = vec![*value; names.len()].into());
}

/// Sends a set-up request of this class on a new connection, with 60 s to its deadline.
fn send_set_up(front: &Front, id: u64, class: &str) -> TcpStream {
    let mut stream = front.connect();
    let request = String::from_utf8(set_up_request(id, class)).expect("not UTF-8 text");
    stream
        .write_all(request.replace("Expires-Ms: 2500", "Expires-Ms: 60000").as_bytes())
        .expect("cannot write to the connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("cannot set the read or write timeout");
    stream
}

/// Asserts that the viewer's set-up is accepted.
fn assert_accepted(viewer: &mut TcpStream) {
    let answer = read(viewer).expect("no answer");
    assert!(is_served(&answer) && answer.body == b"an answer\r\n", "the set-up was not accepted: {answer:?}");
}

/// Replaces the configuration file and sends SIGHUP.
fn reload(front: &Front, config: &str) {
    std::fs::write(front.file.path(), config).expect("cannot write the file");
    front.signal("SIGHUP");
}

/// Guards against a partly applied configuration: files that are truncated, or that belong to another instance, each with
/// the address of another change log, arrive while requests are pending and sessions exist. Nothing of them is applied:
/// requests before and after get one answer each under the settings of the start, and the old change log is used.
#[test]
fn an_invalid_or_foreign_configuration_changes_nothing_for_requests_and_sessions() {
    let (node, set_ups) = start_manual_node();
    let (old_log, new_log) = (ChangeLog::new(), ChangeLog::new());
    let mut good = config(&[node], old_log.address);
    set_classes(&mut good, &["lesson", "clip", "briefing"]);
    let front = front(&good);
    let mut log_connection = old_log.accept();
    let with_new_log = |change: &dyn Fn(&mut Value)| {
        let mut configuration = good.clone();
        configuration["changelog"] = json!(new_log.address.to_string());
        change(&mut configuration);
        configuration.to_string()
    };
    let with_value = |path: &'static str, value: Value| {
        with_new_log(&move |v| {
            *v.pointer_mut(path).expect("no such field in the configuration") = value.clone()
        })
    };
    let valid = with_new_log(&|_| {});
    let lower_limits = |v: &mut Value| {
        set_classes(v, &["lesson"]);
        v["limits"]["sockets"] = json!(18);
        v["settings"]["limits"]["max_attempts"] = json!(1);
    };
    let add_flavor = |v: &mut Value| {
        v["settings"]["flavors"] = json!(["k", "j"]);
        v["settings"]["specifics"]["kind_slots"] = json!([200, 200]);
    };
    let cases = [
        ("'settings.classes'", with_new_log(&|v| set_classes(v, &["briefing", "clip", "lesson"]))),
        ("'settings.classes'", with_new_log(&|v| set_classes(v, &["lesson", "clip", "briefing", "more"]))),
        ("'settings.classes'", with_new_log(&lower_limits)),
        ("'settings.classes.deadline_ns'", with_value("/settings/classes/1/deadline_ns", json!(1))),
        (
            "'settings.classes.idempotency'",
            with_value("/settings/classes/1/idempotency", json!("idempotent")),
        ),
        ("'settings.zones'", with_value("/settings/zones", json!(["z", "y"]))),
        ("'settings.flavors'", with_new_log(&add_flavor)),
        ("'kind' \"k\"", with_value("/settings/flavors", json!(["j"]))),
        ("'settings.load_report.fields'", with_value("/settings/load_report/fields", json!(["x1", "x0"]))),
        ("'settings.tenants'", with_new_log(&|v| v["settings"]["tenants"] = json!([{"name": "t"}]))),
        ("'name'", with_value("/name", json!("n2"))),
        ("'listen'", with_value("/listen", json!("127.0.0.1:9"))),
        ("not JSON", valid[..valid.len() - 1].to_owned()),
        ("'n_instances'", with_value("/settings/n_instances", json!(0))),
        (
            "'known'",
            with_new_log(&|v| {
                _ = v.as_object_mut().expect("the configuration is not an object").remove("known")
            }),
        ),
        ("'changelog' is given twice", valid.replacen('{', "{\"changelog\":\"127.0.0.1:9\",", 1)),
    ];
    let mut last_event = 3;
    for (i, (field, text)) in cases.iter().enumerate() {
        let id = |n: u64| 0x10 * (i as u64 + 1) + n;
        let next_set_up = |class: &str| {
            let set_up = set_ups.recv_timeout(TIMEOUT).expect("no set-up arrived at the node");
            assert_eq!(set_up.class, class, "wrong class at the node, with a fault in {field}");
            set_up
        };
        let mut session_viewer = send_set_up(&front, id(1), "clip");
        let mut session = next_set_up("clip");
        session.accept();
        assert_accepted(&mut session_viewer);
        let mut pending_viewer = send_set_up(&front, id(2), "briefing");
        let mut pending = next_set_up("briefing");
        reload(&front, text);
        let line = wait_for_log_line(&front.log_lines, "config-kept");
        let path = front.file.path().display().to_string();
        assert!(
            line.contains(field) && line.contains(&path),
            "the log line does not name {field} and {path}: {line}"
        );
        let mut later_viewer = send_set_up(&front, id(3), "clip");
        next_set_up("clip").accept();
        assert_accepted(&mut later_viewer);
        pending.accept();
        assert_accepted(&mut pending_viewer);
        session.end_session();
        let teardown = read(&mut session_viewer).expect("no TEARDOWN arrived");
        assert!(
            teardown.head.starts_with("TEARDOWN") && teardown.field("Reason") == Some("cause=16"),
            "not the node's TEARDOWN with cause 16: {teardown:?}"
        );
        // Each had one answer only: the next message on the connection answers an OPTIONS request.
        for viewer in [&mut pending_viewer, &mut later_viewer] {
            viewer
                .write_all(&message("OPTIONS rtsp://media/ping RTSP/1.0", &[("CSeq", "3")], b""))
                .expect("cannot write to the connection");
            assert_eq!(
                read(viewer).expect("no answer").field("CSeq"),
                Some("3"),
                "a second answer, with a fault in {field}"
            );
        }
        last_event += 1;
        log_connection.send(&changes(last_event, &[Record::draining(100 + i as u32)]));
    }
    assert!(
        !old_log.has_new_connection() && !new_log.has_new_connection(),
        "the front reconnected to a change log"
    );
    log_connection.close();
    assert_eq!(old_log.accept().last_event, last_event, "not all events were applied");
    assert!(!new_log.has_new_connection(), "the front connected to a change log of a rejected configuration");
    // The valid configuration with the new change log is applied.
    reload(&front, &with_new_log(&|_| {}));
    wait_for_log_line(&front.log_lines, "config-taken");
    assert_eq!(new_log.accept().last_event, last_event);
}

/// Values that a reload cannot change are named in the log and apply from the next start. Limits far below the current use
/// therefore end no request or session.
#[test]
fn limits_below_the_current_use_apply_from_the_next_start() {
    let (node, set_ups) = start_manual_node();
    let (old_log, new_log) = (ChangeLog::new(), ChangeLog::new());
    let mut config = config(&[node], old_log.address);
    set_classes(&mut config, &["lesson"]);
    let front = front(&config);
    let log_connection = old_log.accept();
    let set_up_session = |id: u64| {
        let mut viewer = send_set_up(&front, id, "lesson");
        let mut session = set_ups.recv_timeout(TIMEOUT).expect("no set-up arrived at the node");
        session.accept();
        assert_accepted(&mut viewer);
        (viewer, session)
    };
    let mut sessions: Vec<_> = (1..40).map(set_up_session).collect();
    let mut pending_viewer = send_set_up(&front, 50, "lesson");
    let mut pending = set_ups.recv_timeout(TIMEOUT).expect("no set-up arrived at the node");
    config["changelog"] = json!(new_log.address.to_string());
    config["limits"]["sockets"] = json!(18);
    config["seed"] = json!("0000000000000001");
    config["settings"]["limits"]["max_attempts"] = json!(1);
    config["settings"]["n_instances"] = json!(7);
    config["settings"]["specifics"]["seats"] = json!([1]);
    reload(&front, &config.to_string());
    let line = wait_for_log_line(&front.log_lines, "config-waits");
    for field in [
        "limits.sockets",
        "seed",
        "settings.limits.max_attempts",
        "settings.n_instances",
        "settings.specifics.seats",
    ] {
        assert!(line.contains(field), "the log line does not name {field}: {line}");
    }
    log_connection.wait_until_closed();
    assert_eq!(new_log.accept().last_event, 3);
    pending.accept();
    assert_accepted(&mut pending_viewer);
    sessions.extend((60..80).map(set_up_session));
    for (viewer, session) in &mut sessions {
        session.end_session();
        let teardown = read(viewer).expect("no TEARDOWN arrived");
        assert!(
            teardown.head.starts_with("TEARDOWN") && teardown.field("Reason") == Some("cause=16"),
            "not the node's TEARDOWN with cause 16: {teardown:?}"
        );
    }
    drop(pending_viewer);
}

/// Guards against a reload that blocks the front: the configuration file is missing, a pipe without a writer, a folder, or
/// too long.
#[test]
fn an_unreadable_configuration_file_does_not_block_the_front() {
    let (node, _set_ups) = start_node();
    let log = ChangeLog::new();
    let good = config(&[node], log.address);
    let front = front(&good);
    let mut log_connection = log.accept();
    let path = front.file.path().to_owned();
    let assert_rejected = |id: u64| {
        front.signal("SIGHUP");
        let line = wait_for_log_line(&front.log_lines, "config-kept");
        assert!(line.contains(&path.display().to_string()), "the log line does not name the file: {line}");
        assert!(is_served(&request_session(&front, id)), "set-up {id} was not accepted after the reload");
    };
    std::fs::remove_file(&path).expect("cannot remove the path");
    assert_rejected(1);
    assert!(Command::new("mkfifo").arg(&path).status().expect("cannot run the command").success());
    assert_rejected(2);
    std::fs::remove_file(&path).expect("cannot remove the path");
    std::fs::create_dir(&path).expect("cannot create the folder");
    assert_rejected(3);
    std::fs::remove_dir(&path).expect("cannot remove the path");
    std::fs::write(&path, vec![b' '; 9 << 20]).expect("cannot write the file");
    assert_rejected(4);
    std::fs::write(&path, good.to_string()).expect("cannot write the file");
    front.signal("SIGHUP");
    wait_for_log_line(&front.log_lines, "config-taken");
    log_connection.send(&heartbeat(3));
    assert!(!log.has_new_connection(), "the front reconnected to the same change log");
}

/// An invalid configuration ends the start with exit code 2 and one line that names the file and the field.
#[test]
fn a_failed_start_is_reported_in_one_line() {
    let good = config(&[], "127.0.0.1:9".parse().expect("no valid address"));
    let with_value = |path: &str, value: Value| {
        let mut configuration = good.clone();
        *configuration.pointer_mut(path).expect("no such field in the configuration") = value;
        configuration.to_string()
    };
    // Occupies the port until all cases have run.
    let occupied = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let occupied_address = occupied.local_addr().expect("no valid address").to_string();
    let cases = [
        (String::new(), "not JSON", 256),
        (good.to_string().replacen('{', "{\"name\":\"n1\",", 1), "'name' is given twice", 256),
        (with_value("/settings/classes", json!([])), "'classes'", 256),
        (with_value("/settings/specifics/highest_rung", json!([])), "'highest_rung'", 256),
        (with_value("/settings/specifics/groups", json!(u32::MAX)), "'groups'", 256),
        (with_value("/settings/specifics/rung_kb", json!([400.0, 200.0])), "'rung_kb'", 256),
        (with_value("/settings/limits/max_attempts", json!(0)), "'max_attempts'", 256),
        (with_value("/settings/az", json!(1)), "'az'", 256),
        (with_value("/limits/sockets", json!(0)), "'limits.sockets'", 256),
        (with_value("/listen", json!(occupied_address)), "'listen'", 256),
        (good.to_string(), "17 descriptors", 17),
    ];
    for (text, field, descriptors) in cases {
        let file = tempfile::NamedTempFile::new().expect("cannot create a temporary file");
        std::fs::write(file.path(), text).expect("cannot write the file");
        let mut command = Command::new("sh");
        // A front that starts although it should not is ended by `timeout`, with an exit code other than 2.
        command.args(["-c", &format!("ulimit -n {descriptors} && exec timeout 20 \"$0\" \"$@\"")]);
        command.args([env!("CARGO_BIN_EXE_pepperhook"), "platform", "--config"]).arg(file.path());
        let run = command
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .output()
            .expect("cannot run the command");
        let errors = String::from_utf8_lossy(&run.stderr).into_owned();
        assert_eq!(run.status.code(), Some(2), "wrong exit code, with a fault in {field}: {errors}");
        assert_eq!(errors.lines().count(), 1, "not one line, with a fault in {field}: {errors}");
        let path = file.path().display().to_string();
        assert!(
            errors.contains(field) && errors.contains(&path) && !errors.contains("panicked"),
            "the error does not name {field} and {path}, or the process panicked: {errors}"
        );
    }
    drop(occupied);
}
