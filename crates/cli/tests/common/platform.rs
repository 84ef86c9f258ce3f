//! Runs `pepperhook platform` as a process; scripted change log and messages for its sockets, which share no code with
//! the front.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;
use std::time::{Duration, Instant};

pub const SECOND: Duration = Duration::from_secs(1);

/// A message as it is on the wire.
#[derive(Debug)]
pub struct Raw {
    pub head: String,
    pub body: Vec<u8>,
}

impl Raw {
    /// Value of the first header field of this name; case of the name is ignored.
    pub fn field(&self, name: &str) -> Option<&str> {
        let field_name =
            |line: &'_ str| line.split_once(": ").map(|(name, value)| (name.to_owned(), value.len()));
        let line = self
            .head
            .lines()
            .find(|line| field_name(line).is_some_and(|(found, _)| found.eq_ignore_ascii_case(name)))?;
        line.split_once(": ").map(|(_, value)| value)
    }
}

/// Reads one complete message.
pub fn read(stream: &mut TcpStream) -> std::io::Result<Raw> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(Raw { head, body })
}

/// Encodes a message from its first line, fields and body.
pub fn message(first_line: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first_line}\r\n");
    fields.iter().for_each(|(name, value)| out += &format!("{name}: {value}\r\n"));
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    [out.as_bytes(), body].concat()
}

/// Starts a change log that sends `frames` once on each connection and then nothing. Returns its address and, for each
/// connection, the number of the last event that the front has.
pub fn change_log(frames: Vec<u8>) -> (SocketAddr, Receiver<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("no valid address");
    let (request_sender, requests) = channel();
    spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), frames, request_sender) = (stream, frames.clone(), request_sender.clone())
            else {
                return;
            };
            spawn(move || {
                let mut last_event = [0; 8];
                if stream.read_exact(&mut last_event).is_ok()
                    && request_sender.send(u64::from_be_bytes(last_event)).is_ok()
                {
                    let _ = stream.write_all(&frames);
                    // Keeps the connection open until the front closes it.
                    let _ = stream.read(&mut last_event);
                }
            });
        }
    });
    (address, requests)
}

/// Configuration of a front end with these nodes, numbered from 0, and the change log at `log`.
pub fn config(nodes: &[SocketAddr], log: SocketAddr) -> Value {
    let servers: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(i, address)| {
            json!({"id": format!("s-{i:08x}"), "addr": address.to_string(), "zone": "z", "kind": "k", "cell": i,
                   "state": "up", "weight": 1, "started_ms": 0})
        })
        .collect();
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "changelog": log.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"seq": 3, "results": [{"seq": 3, "fleet": {"version": 1, "full": true, "servers": servers}}]},
        "settings": {
            "n_instances": 1, "az": 0, "zones": ["z"], "flavors": ["k"],
            "classes": [{"name": "lesson", "idempotency": "at_most_once", "aim_ns": 800_000_000u64,
                         "deadline_ns": 3_000_000_000u64, "value": 1.0}],
            "limits": {"max_attempts": 3, "dial_timeout_ns": 250_000_000, "conn_idle_ns": 15_000_000_000u64,
                       "max_streams": 100, "probes": true},
            "load_report": {"fields": ["x0", "x1"]},
            "rules": {"cold_ns": 12_000_000_000u64, "fall_multiple": 2.5, "fall_ns": 2_000_000_000u64,
                      "start_capacity": 0.4},
            "specifics": {"groups": 1, "positions": 2, "highest_rung": [1], "lowest_rung": [0], "seats": [0],
                          "scale_by_class": [1.0], "rung_kb": [200.0, 400.0], "ladder_worth": [0.4, 1.0],
                          "kind_slots": [200], "uplink_kb": 900_000.0, "all_links_kb": 900_000.0,
                          "kb_per_weight": 400_000.0},
        },
    })
}

/// A front end as a process, which is killed when the value is dropped.
pub struct Front {
    pub child: Child,
    pub address: SocketAddr,
    /// Lines of the front's log, without colour codes.
    pub log_lines: Receiver<String>,
    /// The configuration file.
    pub file: tempfile::NamedTempFile,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a front end and waits until it listens.
pub fn front(config: &Value) -> Front {
    start_front(Command::new(env!("CARGO_BIN_EXE_pepperhook")), config)
}

/// Starts a front end whose process has this limit on open descriptors, regardless of its configuration.
pub fn front_with_descriptor_limit(config: &Value, descriptors: u32) -> Front {
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"")]);
    command.arg(env!("CARGO_BIN_EXE_pepperhook"));
    start_front(command, config)
}

fn start_front(mut command: Command, config: &Value) -> Front {
    let file = tempfile::NamedTempFile::new().expect("cannot create a temporary file");
    std::fs::write(file.path(), config.to_string()).expect("cannot write the file");
    let mut child = command
        .args(["platform", "--config"])
        .arg(file.path())
        .env_remove("BALANCER_NAME")
        .env_remove("BALANCER_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the process");
    let (line_sender, log_lines) = channel();
    let stderr = child.stderr.take().expect("stderr is not piped");
    spawn(move || {
        BufReader::new(stderr)
            .lines()
            .map_while(Result::ok)
            .try_for_each(|l| line_sender.send(strip_colours(&l)))
    });
    let ready = wait_for_log_line(&log_lines, "listening");
    let address =
        ready.split("address=").nth(1).and_then(|a| a.split(' ').next()).and_then(|a| a.parse().ok());
    Front { child, address: address.expect("no valid address"), log_lines, file }
}

/// Removes the colour codes from a line.
fn strip_colours(line: &str) -> String {
    let mut out = String::new();
    let mut rest = line;
    while let Some((before, after)) = rest.split_once('\x1b') {
        out += before;
        rest = after.split_once('m').map_or("", |(_, r)| r);
    }
    out + rest
}

/// Waits up to 10 s for a log line that contains `text`.
pub fn wait_for_log_line(log_lines: &Receiver<String>, text: &str) -> String {
    let deadline = Instant::now() + 10 * SECOND;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let line =
            log_lines.recv_timeout(left).unwrap_or_else(|_| panic!("no log line with {text:?} within 10 s"));
        if line.contains(text) {
            return line;
        }
    }
}

impl Front {
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("cannot connect to the front");
        stream.set_read_timeout(Some(5 * SECOND)).expect("cannot set the read or write timeout");
        stream
    }

    pub fn signal(&self, name: &str) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(pid, name.parse::<nix::sys::signal::Signal>().expect("unknown signal name"))
            .expect("cannot send the signal");
    }
}

/// A frame of the change log with an event that changes one node.
pub fn node_change(number: u64, id: u32, state: u8, address: SocketAddr) -> Vec<u8> {
    let SocketAddr::V4(v4) = address else { panic!("not an IPv4 address") };
    let mut record = id.to_be_bytes().to_vec();
    record.extend(v4.ip().octets());
    record.extend(v4.port().to_be_bytes());
    record.extend([state, 0, 0]);
    record.extend(0u16.to_be_bytes());
    record.extend(1_000u32.to_be_bytes());
    record.extend(0u64.to_be_bytes());
    let mut frame = ((9 + record.len()) as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(2);
    frame.extend(record);
    frame
}
