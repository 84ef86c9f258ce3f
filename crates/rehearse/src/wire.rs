//! A minimal HTTP/1.1 client on plain sockets. Unlike a client library it exposes every byte received, so
//! unsolicited bytes are detected.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Maximum size of one answer, bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Reason why no answer was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection was closed or failed.
    Closed,
    /// The deadline passed.
    Timeout,
    /// The bytes received are not HTTP, or too many.
    Malformed,
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// The first header with this name, which is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// A client connection.
pub struct Connection {
    stream: TcpStream,
    host: SocketAddr,
    /// Bytes received and not consumed yet.
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects, with a timeout of one second.
    ///
    /// # Errors
    /// `Closed` if the connection is refused, `Timeout` if the peer does not respond.
    pub async fn open(host: SocketAddr) -> Result<Self, ReadError> {
        let stream = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(host)).await;
        let stream = stream.map_err(|_| ReadError::Timeout)?.map_err(|_| ReadError::Closed)?;
        let _ = stream.set_nodelay(true);
        Ok(Self { stream, host, buffer: Vec::new() })
    }

    /// Sends a request.
    ///
    /// # Errors
    /// `Closed` if the connection is closed.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<(), ReadError> {
        let mut head =
            format!("{method} {path} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n", self.host, body.len());
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        let mut bytes = (head + "\r\n").into_bytes();
        bytes.extend_from_slice(body);
        self.send_raw(&bytes).await
    }

    /// Sends bytes unchanged.
    ///
    /// # Errors
    /// `Closed` if the connection is closed.
    pub async fn send_raw(&mut self, bytes: &[u8]) -> Result<(), ReadError> {
        self.stream.write_all(bytes).await.map_err(|_| ReadError::Closed)
    }

    /// Receives bytes into the buffer.
    async fn receive(&mut self, deadline: Instant) -> Result<(), ReadError> {
        let mut chunk = [0; 8192];
        match timeout_at(deadline, self.stream.read(&mut chunk)).await {
            Err(_) => Err(ReadError::Timeout),
            Ok(Err(_) | Ok(0)) => Err(ReadError::Closed),
            Ok(Ok(n)) if self.buffer.len() + n <= MAX_RESPONSE_BYTES => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(())
            }
            Ok(Ok(_)) => Err(ReadError::Malformed),
        }
    }

    /// Reads one response; bytes after it stay in the buffer.
    ///
    /// # Errors
    /// If no complete response arrived before the deadline.
    pub async fn read_response(&mut self, deadline: Instant) -> Result<HttpResponse, ReadError> {
        let (length, mut reply, chunked) = loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Response::new(&mut headers);
            match head.parse(&self.buffer) {
                Ok(httparse::Status::Complete(n)) => {
                    let headers: Vec<(String, String)> = head
                        .headers
                        .iter()
                        .map(|h| (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).into_owned()))
                        .collect();
                    let reply = HttpResponse { status: head.code.unwrap_or(0), headers, body: Vec::new() };
                    let length = reply.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
                    let chunked = reply.header("transfer-encoding").is_some();
                    self.buffer.drain(..n);
                    break (length, reply, chunked);
                }
                Ok(httparse::Status::Partial) => self.receive(deadline).await?,
                Err(_) => return Err(ReadError::Malformed),
            }
        };
        // The body of a chunked response (an event stream) is read by `wait_for_any`.
        if !chunked {
            while self.buffer.len() < length {
                self.receive(deadline).await?;
            }
            reply.body = self.buffer.drain(..length).collect();
        }
        Ok(reply)
    }

    /// Sends a request and reads its response within `timeout`.
    ///
    /// # Errors
    /// If no response arrived.
    pub async fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> Result<HttpResponse, ReadError> {
        self.send(method, path, headers, body).await?;
        self.read_response(Instant::now() + timeout).await
    }

    /// Waits until one of the patterns has been received; returns its index. Consumes the buffer.
    ///
    /// # Errors
    /// If the connection ends or the deadline passes first.
    pub async fn wait_for_any(&mut self, patterns: &[&str], deadline: Instant) -> Result<usize, ReadError> {
        loop {
            let text = String::from_utf8_lossy(&self.buffer);
            if let Some(index) = patterns.iter().position(|p| text.contains(p)) {
                self.buffer.clear();
                return Ok(index);
            }
            // Keeps the tail, in which a pattern may be only partly received.
            let keep = patterns.iter().map(|p| p.len()).max().unwrap_or(0);
            if self.buffer.len() > keep + 4_096 {
                self.buffer.drain(..self.buffer.len() - keep);
            }
            self.receive(deadline).await?;
        }
    }

    /// Waits until the pattern has been received with the rest of its line; returns that rest.
    ///
    /// # Errors
    /// If the connection ends or the deadline passes first.
    pub async fn wait_for_line(&mut self, pattern: &str, deadline: Instant) -> Result<String, ReadError> {
        loop {
            let text = String::from_utf8_lossy(&self.buffer).into_owned();
            if let Some((rest, _)) = text.split_once(pattern).and_then(|(_, r)| r.split_once('\n')) {
                self.buffer.clear();
                return Ok(rest.to_owned());
            }
            self.receive(deadline).await?;
        }
    }

    /// Waits for unsolicited bytes until the deadline or the end of the connection; returns how many arrived.
    pub async fn read_unsolicited(&mut self, deadline: Instant) -> usize {
        while self.buffer.is_empty() {
            if self.receive(deadline).await.is_err() {
                break;
            }
        }
        std::mem::take(&mut self.buffer).len()
    }
}
