//! RTSP messages as values (RFC 2326, sections 4 to 7) and an incremental decoder. No I/O.
//!
//! The framing is stricter than the RFC's: a message, head included, is at most [`MAX`] bytes, its lines end in CRLF,
//! and it carries exactly one `Content-Length` of plain digits. A body is bytes and passes unchanged.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;

/// Bytes of a whole message at most.
pub const MAX: usize = 16 * 1024;
/// Fields of one message at most.
const FIELDS: usize = 64;

/// Why bytes are no message. Nothing after it on the same connection can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The head does not end in time, or head and body are larger than [`MAX`].
    #[error("a message is larger than {MAX} bytes")]
    TooLarge,
    /// The start line is neither a request's nor a response's.
    #[error("the start line is no RTSP/1.0 request or response")]
    StartLine,
    /// A line of the head is no field.
    #[error("a line of the head is no field")]
    Field,
    /// `Content-Length` is missing, doubled or no plain number.
    #[error("Content-Length is missing, doubled or no plain number")]
    Length,
}

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// A request: method and address.
    Request(String, String),
    /// A response: status, from 100 to 599.
    Response(u16),
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its first line.
    pub start: Start,
    /// Its fields in their order, names as sent.
    pub fields: Vec<(String, String)>,
    /// Its body.
    pub body: Bytes,
}

impl Message {
    /// A request without fields or body.
    #[must_use]
    pub fn request(method: &str, uri: impl Into<String>) -> Self {
        Self { start: Start::Request(method.to_owned(), uri.into()), fields: Vec::new(), body: Bytes::new() }
    }

    /// A response without fields or body.
    #[must_use]
    pub fn response(status: u16) -> Self {
        Self { start: Start::Response(status), fields: Vec::new(), body: Bytes::new() }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.fields.push((name.to_owned(), value.to_string()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// The value of a field; names are compared without case, the first one counts.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Whether a field comes more than once.
    #[must_use]
    pub fn repeats(&self, name: &str) -> bool {
        self.fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).count() > 1
    }

    /// The message as bytes, `Content-Length` added.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut head = String::with_capacity(192);
        // Writing to a string cannot fail.
        let _ = match &self.start {
            Start::Request(method, uri) => write!(head, "{method} {uri} RTSP/1.0\r\n"),
            Start::Response(status) => write!(head, "RTSP/1.0 {status} {}\r\n", reason(*status)),
        };
        for (name, value) in &self.fields {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let _ = write!(head, "Content-Length: {}\r\n\r\n", self.body.len());
        let mut out = BytesMut::from(head.as_bytes());
        out.extend_from_slice(&self.body);
        out.freeze()
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        413 => "Request Entity Too Large",
        453 => "Not Enough Bandwidth",
        454 => "Session Not Found",
        455 => "Method Not Valid in This State",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Time-out",
        _ => "Status",
    }
}

/// Takes bytes in pieces of any size and gives messages out. It holds one message and one piece at most.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    /// Up to here no end of a head was found.
    searched: usize,
}

impl Decoder {
    /// Takes bytes in; [`Decoder::decode`] is called until it gives none before more come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// A message has begun and is not whole.
    #[must_use]
    pub fn is_within(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole message.
    ///
    /// # Errors
    /// When the bytes are no message; the connection is of no further use.
    pub fn decode(&mut self) -> Result<Option<Message>, Fault> {
        // Empty lines before a message are passed over (RFC 2326, 4.1).
        while self.searched == 0 && self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        // Half of such a line is not yet the beginning of a message.
        if &self.buffer[..] == b"\r" {
            return Ok(None);
        }
        let from = self.searched.saturating_sub(3);
        let found = self.buffer[from..].windows(4).position(|w| w == b"\r\n\r\n");
        let Some(end) = found.map(|at| from + at + 4) else {
            self.searched = self.buffer.len();
            if self.buffer.len() >= MAX {
                return Err(Fault::TooLarge);
            }
            // A first line that cannot begin a message need not be heard to its end.
            return if plausible(&self.buffer) { Ok(None) } else { Err(Fault::StartLine) };
        };
        if end > MAX {
            return Err(Fault::TooLarge);
        }
        let (start, fields, length) = head(&self.buffer[..end - 4])?;
        if length > MAX - end {
            return Err(Fault::TooLarge);
        }
        if self.buffer.len() < end + length {
            self.searched = end - 1;
            return Ok(None);
        }
        self.searched = 0;
        self.buffer.advance(end);
        let body = self.buffer.split_to(length).freeze();
        // A short body should not keep the whole buffer alive.
        let body = Bytes::copy_from_slice(&body);
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(Some(Message { start, fields, body }))
    }
}

/// Whether the bytes so far may begin a start line: visible characters and blanks, no more than a line may hold.
fn plausible(bytes: &[u8]) -> bool {
    let line = bytes.iter().position(|b| *b == b'\r').map_or(bytes, |end| &bytes[..end]);
    line.len() <= 512 && line.iter().all(|b| (0x20..0x7f).contains(b))
}

type Head = (Start, Vec<(String, String)>, usize);

fn head(bytes: &[u8]) -> Result<Head, Fault> {
    let text = std::str::from_utf8(bytes).map_err(|_| Fault::Field)?;
    let mut lines = text.split("\r\n");
    let start = start(lines.next().unwrap_or(""))?;
    let (mut fields, mut length) = (Vec::new(), None);
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Fault::Field)?;
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.is_empty() || !name.chars().all(plain) || value.chars().any(char::is_control) {
            return Err(Fault::Field);
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("Content-Length") {
            // Plain digits, few enough that the number cannot overflow.
            if length.is_some() || value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(Fault::Length);
            }
            length =
                Some(if value.len() > 9 { usize::MAX } else { value.parse().map_err(|_| Fault::Length)? });
            continue;
        }
        if fields.len() == FIELDS {
            return Err(Fault::Field);
        }
        fields.push((name.to_owned(), value.to_owned()));
    }
    Ok((start, fields, length.ok_or(Fault::Length)?))
}

fn start(line: &str) -> Result<Start, Fault> {
    let mut parts = line.splitn(3, ' ');
    let parts = (parts.next(), parts.next(), parts.next());
    match parts {
        (Some("RTSP/1.0"), Some(code), _) => {
            let digits = code.len() == 3 && code.bytes().all(|b| b.is_ascii_digit());
            let status = code.parse().ok().filter(|s| digits && (100..600).contains(s));
            status.map(Start::Response).ok_or(Fault::StartLine)
        }
        (Some(method), Some(uri), Some("RTSP/1.0")) => {
            let named = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'_');
            let plain = !uri.is_empty() && uri.bytes().all(|b| (0x21..0x7f).contains(&b));
            if !named || !plain {
                return Err(Fault::StartLine);
            }
            Ok(Start::Request(method.to_owned(), uri.to_owned()))
        }
        _ => Err(Fault::StartLine),
    }
}

#[cfg(test)]
mod tests;
