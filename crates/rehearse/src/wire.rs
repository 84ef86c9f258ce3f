//! HTTP/1.1 on bare sockets, as scripted viewers need it: every byte that arrives is seen.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Bytes of one answer at most.
const MOST: usize = 1 << 20;

/// Why no answer was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended or broke.
    Closed,
    /// The time was up.
    Timeout,
    /// What came is no HTTP.
    Malformed,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// The first header of a name, in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// A connection.
pub struct Connection {
    stream: TcpStream,
    host: SocketAddr,
    read: Vec<u8>,
}

impl Connection {
    /// Connects within a second.
    ///
    /// # Errors
    /// `Closed` where nobody listens, `Time` where nobody answers.
    pub async fn open(host: SocketAddr) -> Result<Self, ReadError> {
        let stream = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(host)).await;
        let stream = stream.map_err(|_| ReadError::Timeout)?.map_err(|_| ReadError::Closed)?;
        let _ = stream.set_nodelay(true);
        Ok(Self { stream, host, read: Vec::new() })
    }

    /// Sends a request with a body.
    ///
    /// # Errors
    /// `Closed` where the connection is gone.
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

    /// Sends bytes as they are.
    ///
    /// # Errors
    /// `Closed` where the connection is gone.
    pub async fn send_raw(&mut self, bytes: &[u8]) -> Result<(), ReadError> {
        self.stream.write_all(bytes).await.map_err(|_| ReadError::Closed)
    }

    /// Reads more bytes; false where the connection ended.
    async fn more(&mut self, until: Instant) -> Result<(), ReadError> {
        let mut piece = [0; 8192];
        match timeout_at(until, self.stream.read(&mut piece)).await {
            Err(_) => Err(ReadError::Timeout),
            Ok(Err(_) | Ok(0)) => Err(ReadError::Closed),
            Ok(Ok(n)) if self.read.len() + n <= MOST => {
                self.read.extend_from_slice(&piece[..n]);
                Ok(())
            }
            Ok(Ok(_)) => Err(ReadError::Malformed),
        }
    }

    /// Reads one answer; what follows it stays to be read.
    ///
    /// # Errors
    /// When none came whole in time.
    pub async fn read_response(&mut self, until: Instant) -> Result<HttpResponse, ReadError> {
        let (length, mut reply, chunked) = loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Response::new(&mut headers);
            match head.parse(&self.read) {
                Ok(httparse::Status::Complete(n)) => {
                    let headers: Vec<(String, String)> = head
                        .headers
                        .iter()
                        .map(|h| (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).into_owned()))
                        .collect();
                    let reply = HttpResponse { status: head.code.unwrap_or(0), headers, body: Vec::new() };
                    let length = reply.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
                    let chunked = reply.header("transfer-encoding").is_some();
                    self.read.drain(..n);
                    break (length, reply, chunked);
                }
                Ok(httparse::Status::Partial) => self.more(until).await?,
                Err(_) => return Err(ReadError::Malformed),
            }
        };
        // A stream is read by `wait_for`; its head is all of its answer.
        if !chunked {
            while self.read.len() < length {
                self.more(until).await?;
            }
            reply.body = self.read.drain(..length).collect();
        }
        Ok(reply)
    }

    /// Sends and reads, within a time.
    ///
    /// # Errors
    /// When no answer came.
    pub async fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        time: Duration,
    ) -> Result<HttpResponse, ReadError> {
        self.send(method, path, headers, body).await?;
        self.read_response(Instant::now() + time).await
    }

    /// Waits until one of the words is in what arrives; returns which.
    ///
    /// # Errors
    /// When the connection or the time ends first.
    pub async fn wait_for_any(&mut self, words: &[&str], until: Instant) -> Result<usize, ReadError> {
        loop {
            let text = String::from_utf8_lossy(&self.read);
            if let Some(i) = words.iter().position(|w| text.contains(w)) {
                self.read.clear();
                return Ok(i);
            }
            // The longest word may be cut in two.
            let keep = words.iter().map(|w| w.len()).max().unwrap_or(0);
            if self.read.len() > keep + 4_096 {
                self.read.drain(..self.read.len() - keep);
            }
            self.more(until).await?;
        }
    }

    /// Waits until these words are in what arrives, and returns what follows them on their last line.
    ///
    /// # Errors
    /// When the connection or the time ends first.
    pub async fn wait_for_line(&mut self, words: &str, until: Instant) -> Result<String, ReadError> {
        loop {
            let text = String::from_utf8_lossy(&self.read).into_owned();
            if let Some((rest, _)) = text.split_once(words).and_then(|(_, r)| r.split_once('\n')) {
                self.read.clear();
                return Ok(rest.to_owned());
            }
            self.more(until).await?;
        }
    }

    /// Bytes that nobody asked for, until the time or the connection ends.
    pub async fn read_unsolicited(&mut self, until: Instant) -> usize {
        while self.read.is_empty() {
            if self.more(until).await.is_err() {
                break;
            }
        }
        std::mem::take(&mut self.read).len()
    }
}
