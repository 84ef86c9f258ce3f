//! Relay in front of each node: forwards every byte and records the HTTP messages in the transcript.

use crate::script::Transcript;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Headers that transcripts omit: every message has them, or they say nothing about the exchange.
const OMITTED_HEADERS: [&str; 8] = [
    "host",
    "content-length",
    "date",
    "transfer-encoding",
    "cache-control",
    "accept",
    "content-security-policy",
    "referrer-policy",
];
/// Prefix of the CORS headers, which every answer to a viewer has so that scripts in browsers can read it.
/// Transcripts show them only in answers to OPTIONS.
const CORS_PREFIX: &str = "access-control-";

/// The front's name in a `Via` header: `1.1 front (run ...)`.
fn front_in_via(via: &str) -> &str {
    via.split(' ').nth(1).unwrap_or("front")
}

/// A header as a transcript shows it, `None` if omitted. Values that differ between runs are replaced.
fn render_header(name: &str, value: &str) -> Option<String> {
    let value = match name {
        n if OMITTED_HEADERS.contains(&n) => return None,
        "endpoint-load-metrics" => "(how full the node is)",
        "via" => return Some(format!("\nvia: 1.1 {} (its run)", front_in_via(value))),
        _ => value,
    };
    Some(format!("\n{name}: {value}"))
}

/// A body as a transcript shows it: of session descriptions only kind and origin, other bodies in full.
fn render_body(kind: &str, bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let origin = || text.lines().find_map(|l| l.strip_prefix("o=")).unwrap_or("nobody").to_owned();
    let user_and_session = |origin: String| origin.split(' ').take(2).collect::<Vec<_>>().join(" ");
    match kind {
        _ if bytes.is_empty() => String::new(),
        "application/sdp" if text.contains("a=setup:actpass") => {
            format!("\n| an offer, o={}", user_and_session(origin()))
        }
        "application/sdp" if text.starts_with("v=0") => {
            format!("\n| an answer, o={}", user_and_session(origin()))
        }
        "application/json" | "application/problem+json" => match serde_json::from_slice(bytes) {
            Ok(v) => render_json(&v),
            Err(_) => format!("\n| {text}"),
        },
        _ => text.lines().map(|l| format!("\n| {l}")).collect(),
    }
}

/// JSON on one line if shorter than 100 bytes, else pretty-printed.
pub fn render_json(v: &serde_json::Value) -> String {
    let short = v.to_string();
    if short.len() < 100 {
        return format!("\n| {short}");
    }
    let text = serde_json::to_string_pretty(v).unwrap_or_default();
    text.lines().map(|l| format!("\n| {l}")).collect()
}

/// A message as a transcript shows it.
pub fn render_message(first: &str, headers: &[(String, String)], bytes: &[u8]) -> String {
    let kind = headers.iter().find(|(n, _)| n == "content-type").map_or("", |(_, v)| v);
    let is_options_answer = headers.iter().any(|(n, _)| n == "access-control-allow-methods");
    let headers = headers.iter().filter(|(n, _)| is_options_answer || !n.starts_with(CORS_PREFIX));
    let headers: String = headers.filter_map(|(name, value)| render_header(name, value)).collect();
    format!("{first}{headers}{}", render_body(kind, bytes))
}

/// A status code with its reason phrase.
pub fn status_line(code: u16) -> String {
    let phrase = reason_phrase(code);
    format!("{code} {phrase}").trim_end().to_owned()
}

fn reason_phrase(code: u16) -> &'static str {
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

/// A request that has not been answered yet.
struct PendingRequest {
    request_line: String,
    front: String,
}

impl PendingRequest {
    /// Set-ups and session changes follow a viewer's request and have a deterministic order; other requests
    /// may come at any time.
    fn is_ordered(&self) -> bool {
        self.request_line.starts_with("POST /wh") || self.request_line.starts_with("PATCH")
    }

    /// Event streams and load probes, whose number differs between runs, are not recorded.
    fn is_omitted(&self) -> bool {
        self.request_line.contains("/events")
            || self.request_line.starts_with("OPTIONS")
            || self.request_line.starts_with("GET")
    }
}

/// A relayed connection between a front and a node.
struct RelayedConnection {
    transcript: Transcript,
    node: SocketAddr,
    pending: RefCell<VecDeque<PendingRequest>>,
    /// Whether the connection carries a stream of events.
    carries_events: Cell<bool>,
}

impl RelayedConnection {
    fn node_alias(&self) -> String {
        self.transcript.alias("node", self.node)
    }

    fn record(&self, request: &PendingRequest, from_front: bool, words: &str) {
        if request.is_omitted() {
            return;
        }
        let node = self.node_alias();
        let (from, to) = if from_front {
            (request.front.as_str(), node.as_str())
        } else {
            (node.as_str(), request.front.as_str())
        };
        if request.is_ordered() {
            self.transcript.record(from, to, words);
        } else {
            self.transcript.record_unordered(
                from,
                to,
                words,
                &format!("{} {}", request.request_line, !from_front),
            );
        }
    }

    /// Removes complete messages from the bytes read and records them.
    fn record_messages(&self, read: &mut Vec<u8>, from_front: bool) {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; 64];
            let (head, first) = if from_front {
                let mut m = httparse::Request::new(&mut fields);
                let Ok(httparse::Status::Complete(n)) = m.parse(read) else { return };
                (n, format!("{} {}", m.method.unwrap_or(""), m.path.unwrap_or("")))
            } else {
                let mut m = httparse::Response::new(&mut fields);
                let Ok(httparse::Status::Complete(n)) = m.parse(read) else { return };
                (n, status_line(m.code.unwrap_or(0)))
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
            let words = render_message(&first, &headers, &read[head..head + length]);
            read.drain(..head + length);
            if from_front {
                let front = front_in_via(value("via").unwrap_or("")).to_owned();
                let request = PendingRequest { request_line: first, front };
                self.record(&request, true, &words);
                self.pending.borrow_mut().push_back(request);
            } else if let Some(request) = self.pending.borrow_mut().pop_front() {
                if request.request_line.ends_with("/events/stream") {
                    self.carries_events.set(true);
                    self.transcript.set_event_stream(true);
                }
                self.record(&request, false, &words);
            }
        }
    }

    /// Records the ends of sessions that a node reports on its stream of events.
    fn record_session_ends(&self, read: &mut Vec<u8>) {
        let text = String::from_utf8_lossy(read).into_owned();
        if let Some((_, data)) = text.split_once("event: inactive\ndata: ") {
            let words = format!("event: inactive\ndata: {}", data.lines().next().unwrap_or(""));
            self.transcript.record(&self.node_alias(), "front", &words);
            read.clear();
        }
    }

    /// Records the requests that have no answer when one side closes the connection.
    fn record_unanswered(&self, from_front: bool) {
        if self.carries_events.take() {
            self.transcript.set_event_stream(false);
        }
        for request in self.pending.borrow_mut().drain(..) {
            let words =
                if from_front { "(closes the connection: given up)" } else { "(breaks the connection)" };
            self.record(&request, from_front, words);
        }
    }

    /// Forwards one direction and records its messages until it ends.
    async fn forward(self: Rc<Self>, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, from_front: bool) {
        let (mut chunk, mut read) = ([0; 8192], Vec::new());
        loop {
            let n = match from.read(&mut chunk).await {
                Ok(n) if n > 0 => n,
                _ => break,
            };
            read.extend_from_slice(&chunk[..n]);
            self.record_messages(&mut read, from_front);
            if !from_front && self.pending.borrow().is_empty() {
                self.record_session_ends(&mut read);
            }
            if to.write_all(&chunk[..n]).await.is_err() {
                break;
            }
        }
        self.record_unanswered(from_front);
    }
}

/// Starts a relay in front of a node and returns the relay's address.
pub async fn spawn_relay(transcript: &Transcript, node: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot open the relay's listener");
    let address = listener.local_addr().expect("the relay's listener has no address");
    let transcript = transcript.clone();
    spawn_local(async move {
        while let Ok((front_stream, _)) = listener.accept().await {
            // When the node no longer accepts connections, the relay stops listening too.
            let Ok(node_stream) = TcpStream::connect(node).await else { return };
            let _ = (front_stream.set_nodelay(true), node_stream.set_nodelay(true));
            let connection = Rc::new(RelayedConnection {
                transcript: transcript.clone(),
                node,
                pending: RefCell::default(),
                carries_events: Cell::default(),
            });
            let ((front_in, front_out), (node_in, node_out)) =
                (front_stream.into_split(), node_stream.into_split());
            spawn_local(connection.clone().forward(front_in, node_out, true));
            spawn_local(connection.forward(node_in, front_out, false));
        }
    });
    address
}
