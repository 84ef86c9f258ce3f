//! RTSP messages (RFC 2326, sections 4 to 7): types, an encoder and an incremental decoder. No I/O.
//!
//! The framing is stricter than the RFC's: a message, head included, is at most [`MAX_MESSAGE_BYTES`] long, its lines
//! end in CRLF, and it has exactly one `Content-Length`, which consists of decimal digits. Bodies are opaque bytes.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;

/// Maximum size of a message, head and body together, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Maximum number of header fields of one message, `Content-Length` not counted.
const MAX_FIELDS: usize = 64;

/// Why the received bytes are not a valid message. The framing is lost: nothing later on the connection can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Head and body together are larger than [`MAX_MESSAGE_BYTES`], or the head has not ended within that many bytes.
    #[error("the message is larger than {MAX_MESSAGE_BYTES} bytes")]
    TooLarge,
    /// The start line is neither a request line nor a status line.
    #[error(
        "the start line is neither '<METHOD> <URI> RTSP/1.0' nor 'RTSP/1.0 <status from 100 to 599> <reason>'"
    )]
    StartLine,
    /// A header line is not a field, the head is not UTF-8, or there are more than 64 fields.
    #[error(
        "a header line is not '<name>: <value>' with a name of letters, digits, '-' and '_' and a UTF-8 value without \
         control characters, or the message has more than {MAX_FIELDS} fields"
    )]
    Field,
    /// `Content-Length` is missing, repeated or not a decimal number.
    #[error("Content-Length is missing, repeated or not a decimal number; exactly one is required")]
    Length,
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A request line: method and URI.
    Request(String, String),
    /// A status line: status code, from 100 to 599.
    Response(u16),
}

/// An RTSP request or response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The start line.
    pub start: StartLine,
    /// Header fields as (name, value) in the order received, names in their original case, without `Content-Length`.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl Message {
    /// Creates a request without fields or body.
    #[must_use]
    pub fn request(method: &str, uri: impl Into<String>) -> Self {
        Self {
            start: StartLine::Request(method.to_owned(), uri.into()),
            fields: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a response without fields or body.
    #[must_use]
    pub fn response(status: u16) -> Self {
        Self { start: StartLine::Response(status), fields: Vec::new(), body: Bytes::new() }
    }

    /// Appends a header field.
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

    /// The value of the first field with this name, compared case-insensitively.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Whether more than one field has this name, compared case-insensitively.
    #[must_use]
    pub fn is_repeated(&self, name: &str) -> bool {
        self.fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).count() > 1
    }

    /// Serialises the message and adds `Content-Length`.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut head = String::with_capacity(192);
        // Writing to a string cannot fail.
        let _ = match &self.start {
            StartLine::Request(method, uri) => write!(head, "{method} {uri} RTSP/1.0\r\n"),
            StartLine::Response(status) => write!(head, "RTSP/1.0 {status} {}\r\n", reason_phrase(*status)),
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

/// The reason phrase of a status line; `Status` for codes that are not listed.
fn reason_phrase(status: u16) -> &'static str {
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

/// Incremental decoder: accepts bytes in chunks of any size and returns complete messages. It buffers at most one
/// incomplete message and one chunk.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that were already searched for the end of the head.
    searched_bytes: usize,
}

impl Decoder {
    /// Appends received bytes. Call [`Decoder::decode`] until it returns `None` before feeding more.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether bytes are buffered that do not form a complete message yet.
    #[must_use]
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the next complete message from the buffer; `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the bytes are not a valid message. The connection must then be closed.
    pub fn decode(&mut self) -> Result<Option<Message>, DecodeError> {
        // Empty lines before a message are skipped (RFC 2326, 4.1).
        while self.searched_bytes == 0 && self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        // A lone CR may be the first half of an empty line. `searched_bytes` has to stay 0 for the loop above to skip the
        // line when its LF arrives.
        if &self.buffer[..] == b"\r" {
            return Ok(None);
        }
        let search_from = self.searched_bytes.saturating_sub(3);
        let blank_line = self.buffer[search_from..].windows(4).position(|w| w == b"\r\n\r\n");
        let Some(head_bytes) = blank_line.map(|at| search_from + at + 4) else {
            self.searched_bytes = self.buffer.len();
            if self.buffer.len() >= MAX_MESSAGE_BYTES {
                return Err(DecodeError::TooLarge);
            }
            // An invalid start line is rejected without waiting for the end of the head.
            return if may_be_start_line(&self.buffer) { Ok(None) } else { Err(DecodeError::StartLine) };
        };
        if head_bytes > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLarge);
        }
        let (start, fields, body_bytes) = parse_head(&self.buffer[..head_bytes - 4])?;
        if body_bytes > MAX_MESSAGE_BYTES - head_bytes {
            return Err(DecodeError::TooLarge);
        }
        if self.buffer.len() < head_bytes + body_bytes {
            self.searched_bytes = head_bytes - 1;
            return Ok(None);
        }
        self.searched_bytes = 0;
        self.buffer.advance(head_bytes);
        let body = self.buffer.split_to(body_bytes).freeze();
        // Copied, because the split-off part would keep the allocation of the whole buffer alive.
        let body = Bytes::copy_from_slice(&body);
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(Some(Message { start, fields, body }))
    }
}

/// Whether the bytes received so far can be the beginning of a start line: printable ASCII, at most 512 bytes.
fn may_be_start_line(bytes: &[u8]) -> bool {
    let line = bytes.iter().position(|b| *b == b'\r').map_or(bytes, |end| &bytes[..end]);
    line.len() <= 512 && line.iter().all(|b| (0x20..0x7f).contains(b))
}

/// Start line, header fields as (name, value) and the length of the body in bytes.
type Head = (StartLine, Vec<(String, String)>, usize);

fn parse_head(bytes: &[u8]) -> Result<Head, DecodeError> {
    let text = std::str::from_utf8(bytes).map_err(|_| DecodeError::Field)?;
    let mut lines = text.split("\r\n");
    let start = parse_start_line(lines.next().unwrap_or(""))?;
    let (mut fields, mut length) = (Vec::new(), None);
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(DecodeError::Field)?;
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.is_empty() || !name.chars().all(is_name_char) || value.chars().any(char::is_control) {
            return Err(DecodeError::Field);
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("Content-Length") {
            // Digits only: a sign or a prefix is invalid. A number of more than nine digits exceeds the limit anyway.
            if length.is_some() || value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(DecodeError::Length);
            }
            length = Some(if value.len() > 9 {
                usize::MAX
            } else {
                value.parse().map_err(|_| DecodeError::Length)?
            });
            continue;
        }
        if fields.len() == MAX_FIELDS {
            return Err(DecodeError::Field);
        }
        fields.push((name.to_owned(), value.to_owned()));
    }
    Ok((start, fields, length.ok_or(DecodeError::Length)?))
}

fn parse_start_line(line: &str) -> Result<StartLine, DecodeError> {
    let mut parts = line.splitn(3, ' ');
    let parts = (parts.next(), parts.next(), parts.next());
    match parts {
        (Some("RTSP/1.0"), Some(code), _) => {
            let is_three_digits = code.len() == 3 && code.bytes().all(|b| b.is_ascii_digit());
            let status = code.parse().ok().filter(|s| is_three_digits && (100..600).contains(s));
            status.map(StartLine::Response).ok_or(DecodeError::StartLine)
        }
        (Some(method), Some(uri), Some("RTSP/1.0")) => {
            let is_method = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'_');
            let is_uri = !uri.is_empty() && uri.bytes().all(|b| (0x21..0x7f).contains(&b));
            if !is_method || !is_uri {
                return Err(DecodeError::StartLine);
            }
            Ok(StartLine::Request(method.to_owned(), uri.to_owned()))
        }
        _ => Err(DecodeError::StartLine),
    }
}

#[cfg(test)]
mod tests;
