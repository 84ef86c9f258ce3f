//! A client's connection: hyper reads and writes it, and the request in progress watches whether the client is still
//! there.
//!
//! A close that comes behind unread requests may still be with the client's system, which sends it once they are read.
//! What the client writes during a request is therefore read ahead, within bounds.

use crate::shared_stream::SharedStream;
use bytes::{Buf, BytesMut};
use pepperhook_net::{BufferLimits, ByteShare, ByteTotal};
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Bounds on what is read ahead of all clients.
const LIMITS: BufferLimits = BufferLimits { alone: 1024 * 1024, total: 8 * 1024 * 1024, always: 0 };
/// Size in bytes of one read.
const READ_BYTES: usize = 8 * 1024;
/// Interval in which a client with unread requests is looked at. The system gives no notice of a close behind unread
/// bytes to a socket that stays readable.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(25);

/// Bytes that were read ahead. They count in the total until hyper takes them.
struct ReadAhead {
    bytes: BytesMut,
    share: ByteShare,
    /// The client has closed its sending half, or the connection is broken.
    has_ended: bool,
}

impl ReadAhead {
    /// Reads what the client has sent, as far as the bounds allow. A reader that waits is woken by the socket, as if it
    /// had been alone to read it.
    fn fill(&mut self, stream: &TcpStream) {
        let mut buffer = [0; READ_BYTES];
        while !self.has_ended && self.bytes.len() < self.share.limit(&LIMITS) {
            match stream.try_read(&mut buffer) {
                Ok(n) if n > 0 => {
                    self.bytes.extend_from_slice(&buffer[..n]);
                    self.share.set(self.bytes.len());
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Ok(_) | Err(_) => self.has_ended = true,
            }
        }
    }

    /// Moves bytes to `buf`.
    fn take(&mut self, buf: &mut ReadBuf<'_>) {
        let n = self.bytes.len().min(buf.remaining());
        buf.put_slice(&self.bytes[..n]);
        self.bytes.advance(n);
        self.share.set(self.bytes.len());
        if self.bytes.is_empty() {
            // Gives its memory back.
            self.bytes = BytesMut::new();
        }
    }
}

/// The connection as hyper reads and writes it.
pub struct ClientStream {
    stream: SharedStream,
    ahead: Rc<RefCell<ReadAhead>>,
}

impl ClientStream {
    /// A client's connection; what is read ahead of it counts in this total.
    pub fn new(stream: TcpStream, total: ByteTotal) -> Self {
        let ahead = ReadAhead { bytes: BytesMut::new(), share: ByteShare::new(total), has_ended: false };
        Self { stream: SharedStream(Arc::new(stream)), ahead: Rc::new(RefCell::new(ahead)) }
    }

    /// Watches whether the client is there.
    pub fn presence(&self) -> ClientPresence {
        ClientPresence { stream: self.stream.0.clone(), ahead: self.ahead.clone() }
    }

    /// The socket, and whether bytes were read ahead that nobody took; `None` while the client is watched.
    pub fn into_socket(self) -> Option<(TcpStream, bool)> {
        let has_unread = !self.ahead.borrow().bytes.is_empty();
        Arc::into_inner(self.stream.0).map(|stream| (stream, has_unread))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        {
            let mut ahead = self.ahead.borrow_mut();
            if ahead.has_ended || !ahead.bytes.is_empty() {
                ahead.take(buf);
                return Poll::Ready(Ok(()));
            }
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Tells whether the client at the other end has closed or reset the connection, even behind requests that are unread.
#[derive(Clone)]
pub struct ClientPresence {
    stream: Arc<TcpStream>,
    ahead: Rc<RefCell<ReadAhead>>,
}

impl ClientPresence {
    /// Whether the client has left.
    pub fn has_left(&self) -> bool {
        let mut ahead = self.ahead.borrow_mut();
        ahead.fill(&self.stream);
        ahead.has_ended || pepperhook_net::is_read_closed(&self.stream)
    }

    /// Waits until the client leaves.
    pub async fn left(&self) {
        while self.stream.ready(Interest::READABLE).await.is_ok() && !self.has_left() {
            tokio::time::sleep(PRESENCE_INTERVAL).await;
        }
    }
}

#[cfg(test)]
mod tests;
