//! A relay before each node: it passes every byte on, and writes down what was said.

use crate::script::Transcript;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Headers that every message has, or that tell nothing to a reader.
const LEFT_OUT: [&str; 8] = [
    "host",
    "content-length",
    "date",
    "transfer-encoding",
    "cache-control",
    "accept",
    "content-security-policy",
    "referrer-policy",
];
/// Headers of each answer to a viewer, that browsers' scripts may read it; shown where they are asked for.
const CORS: &str = "access-control-";

/// The front that a `Via` names: `1.1 front (run ...)`.
fn front_of(via: &str) -> &str {
    via.split(' ').nth(1).unwrap_or("front")
}

/// A header as a transcript shows it.
fn header(name: &str, value: &str) -> Option<String> {
    let value = match name {
        n if LEFT_OUT.contains(&n) => return None,
        "endpoint-load-metrics" => "(how full the node is)",
        "via" => return Some(format!("\nvia: 1.1 {} (its run)", front_of(value))),
        _ => value,
    };
    Some(format!("\n{name}: {value}"))
}

/// A body as a transcript shows it: descriptions by what they are, all else as it is.
fn body(kind: &str, bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let origin = || text.lines().find_map(|l| l.strip_prefix("o=")).unwrap_or("nobody").to_owned();
    let of = |o: String| o.split(' ').take(2).collect::<Vec<_>>().join(" ");
    match kind {
        _ if bytes.is_empty() => String::new(),
        "application/sdp" if text.contains("a=setup:actpass") => format!("\n| an offer, o={}", of(origin())),
        "application/sdp" if text.starts_with("v=0") => format!("\n| an answer, o={}", of(origin())),
        "application/json" | "application/problem+json" => match serde_json::from_slice(bytes) {
            Ok(v) => shown(&v),
            Err(_) => format!("\n| {text}"),
        },
        _ => text.lines().map(|l| format!("\n| {l}")).collect(),
    }
}

/// JSON, short in one line, else one line a field.
pub fn shown(v: &serde_json::Value) -> String {
    let short = v.to_string();
    if short.len() < 100 {
        return format!("\n| {short}");
    }
    let text = serde_json::to_string_pretty(v).unwrap_or_default();
    text.lines().map(|l| format!("\n| {l}")).collect()
}

/// A message as a transcript shows it.
pub fn message(first: &str, headers: &[(String, String)], bytes: &[u8]) -> String {
    let kind = headers.iter().find(|(n, _)| n == "content-type").map_or("", |(_, v)| v);
    let asked = headers.iter().any(|(n, _)| n == "access-control-allow-methods");
    let headers = headers.iter().filter(|(n, _)| asked || !n.starts_with(CORS));
    let headers: String = headers.filter_map(|(n, v)| header(n, v)).collect();
    format!("{first}{headers}{}", body(kind, bytes))
}

/// A status with its usual words.
pub fn status(code: u16) -> String {
    let known = hyper_words(code);
    format!("{code} {known}").trim_end().to_owned()
}

fn hyper_words(code: u16) -> &'static str {
    match code {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        412 => "Precondition Failed",
        415 => "Unsupported Media Type",
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    }
}

/// A request that has no answer yet.
struct Open {
    line: String,
    front: String,
}

impl Open {
    /// Set-ups and changes of the viewer's come in order with its own; the rest at any moment.
    fn in_order(&self) -> bool {
        self.line.starts_with("POST /wh") || self.line.starts_with("PATCH")
    }

    /// How the front follows a node, and asks it for its load: as often as it likes.
    fn silent(&self) -> bool {
        self.line.contains("/events") || self.line.starts_with("OPTIONS") || self.line.starts_with("GET")
    }
}

struct Wire {
    script: Transcript,
    node: SocketAddr,
    open: RefCell<VecDeque<Open>>,
    /// It carries a stream of events.
    stream: Cell<bool>,
}

impl Wire {
    fn node(&self) -> String {
        self.script.name("node", self.node)
    }

    fn tell(&self, open: &Open, asks: bool, words: &str) {
        if open.silent() {
            return;
        }
        let node = self.node();
        let (from, to) =
            if asks { (open.front.as_str(), node.as_str()) } else { (node.as_str(), open.front.as_str()) };
        if open.in_order() {
            self.script.says(from, to, words);
        } else {
            self.script.aside(from, to, words, &format!("{} {}", open.line, !asks));
        }
    }

    /// Takes whole messages off what was read, and writes them down.
    fn take(&self, read: &mut Vec<u8>, asks: bool) {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; 64];
            let (head, first) = if asks {
                let mut m = httparse::Request::new(&mut fields);
                let Ok(httparse::Status::Complete(n)) = m.parse(read) else { return };
                (n, format!("{} {}", m.method.unwrap_or(""), m.path.unwrap_or("")))
            } else {
                let mut m = httparse::Response::new(&mut fields);
                let Ok(httparse::Status::Complete(n)) = m.parse(read) else { return };
                (n, status(m.code.unwrap_or(0)))
            };
            let fields = fields.iter().take_while(|h| !h.name.is_empty());
            let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
            let headers: Vec<(String, String)> =
                fields.map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
            let value = |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
            let length = value("content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
            if read.len() < head + length {
                return;
            }
            let words = message(&first, &headers, &read[head..head + length]);
            read.drain(..head + length);
            if asks {
                let front = front_of(value("via").unwrap_or("")).to_owned();
                let open = Open { line: first, front };
                self.tell(&open, true, &words);
                self.open.borrow_mut().push_back(open);
            } else if let Some(open) = self.open.borrow_mut().pop_front() {
                if open.line.ends_with("/events/stream") {
                    self.stream.set(true);
                    self.script.follows(true);
                }
                self.tell(&open, false, &words);
            }
        }
    }

    /// What a node tells on its stream of events, of which ends of sessions matter here.
    fn events(&self, read: &mut Vec<u8>) {
        let text = String::from_utf8_lossy(read).into_owned();
        if let Some((_, data)) = text.split_once("event: inactive\ndata: ") {
            let words = format!("event: inactive\ndata: {}", data.lines().next().unwrap_or(""));
            self.script.says(&self.node(), "front", &words);
            read.clear();
        }
    }

    fn closed(&self, asks: bool) {
        if self.stream.take() {
            self.script.follows(false);
        }
        for open in self.open.borrow_mut().drain(..) {
            let words = if asks { "(closes the connection: given up)" } else { "(breaks the connection)" };
            self.tell(&open, asks, words);
        }
    }

    async fn pass(self: Rc<Self>, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, asks: bool) {
        let (mut piece, mut read) = ([0; 8192], Vec::new());
        loop {
            let n = match from.read(&mut piece).await {
                Ok(n) if n > 0 => n,
                _ => break,
            };
            read.extend_from_slice(&piece[..n]);
            self.take(&mut read, asks);
            if !asks && self.open.borrow().is_empty() {
                self.events(&mut read);
            }
            if to.write_all(&piece[..n]).await.is_err() {
                break;
            }
        }
        self.closed(asks);
    }
}

/// Puts a relay before a node; its address.
pub async fn tap(script: &Transcript, node: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let script = script.clone();
    spawn_local(async move {
        while let Ok((front, _)) = listener.accept().await {
            // A node that is gone refuses, and so does the relay from here on.
            let Ok(there) = TcpStream::connect(node).await else { return };
            let _ = (front.set_nodelay(true), there.set_nodelay(true));
            let wire = Rc::new(Wire {
                script: script.clone(),
                node,
                open: RefCell::default(),
                stream: Cell::default(),
            });
            let ((front_in, front_out), (node_in, node_out)) = (front.into_split(), there.into_split());
            spawn_local(wire.clone().pass(front_in, node_out, true));
            spawn_local(wire.pass(node_in, front_out, false));
        }
    });
    address
}
