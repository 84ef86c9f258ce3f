//! A socket that several parts of the program use at once: one reads and writes it, others watch, shut down or reset it.

use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Interval in which a client with unread requests is looked at. The system gives no notice of a close behind unread
/// bytes to a socket that stays readable.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(25);

/// The socket as hyper reads and writes it.
pub struct SharedStream(pub Arc<TcpStream>);

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

/// Tells whether the client at the other end has closed or reset the connection, even behind requests that are unread.
#[derive(Clone)]
pub struct ClientPresence(Arc<TcpStream>);

impl ClientPresence {
    /// Watches the client at the other end of this socket.
    pub fn new(stream: Arc<TcpStream>) -> Self {
        Self(stream)
    }

    /// Whether the client has left, as of the runtime's last look at its sockets.
    pub fn has_left(&self) -> bool {
        pepperhook_net::is_read_closed(&self.0)
    }

    /// Waits until the client leaves.
    pub async fn left(&self) {
        while self.0.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            tokio::time::sleep(PRESENCE_INTERVAL).await;
        }
    }
}
