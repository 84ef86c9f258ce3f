//! Helpers that the two front ends share below their protocols: a clock, a timer queue, accepting connections with
//! retries, bounds on buffers, and closing a connection without losing written data.

mod byte_total;

pub use byte_total::{BufferLimits, ByteShare, ByteTotal};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tracing::warn;

/// Unix time in nanoseconds that never decreases: the system time is read once and advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at `start`, nanoseconds.
    base_ns: u64,
    start: Instant,
}

impl Clock {
    /// Creates a clock set to the current system time.
    #[must_use]
    pub fn new() -> Self {
        let base_ns = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
        Self { base_ns, start: Instant::now() }
    }

    /// The current Unix time in nanoseconds.
    #[must_use]
    pub fn now(&self) -> u64 {
        self.base_ns.saturating_add(self.start.elapsed().as_nanos() as u64)
    }

    /// Waits until this clock reaches the given Unix time in nanoseconds; never completes for `None`.
    pub async fn sleep_until(&self, deadline_ns: Option<u64>) {
        match deadline_ns {
            Some(deadline_ns) => {
                let since_start = Duration::from_nanos(deadline_ns.saturating_sub(self.base_ns));
                tokio::time::sleep_until(self.start + since_start).await;
            }
            None => std::future::pending().await,
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// A queue of timers, ordered by due time in nanoseconds and then by event. It reads no clock: the caller passes the
/// time.
#[derive(Clone, Debug)]
pub struct Timers<E>(BinaryHeap<Reverse<(u64, E)>>);

impl<E: Ord> Default for Timers<E> {
    fn default() -> Self {
        Self(BinaryHeap::new())
    }
}

impl<E: Ord + Copy> Timers<E> {
    /// Schedules an event.
    pub fn set(&mut self, at_ns: u64, event: E) {
        self.0.push(Reverse((at_ns, event)));
    }

    /// The due time of the earliest timer in nanoseconds, if there is one.
    #[must_use]
    pub fn next_at(&self) -> Option<u64> {
        self.0.peek().map(|Reverse((at_ns, _))| *at_ns)
    }

    /// Removes the earliest timer if it is due and returns its event.
    pub fn pop_due(&mut self, now_ns: u64) -> Option<E> {
        if self.next_at()? > now_ns {
            return None;
        }
        self.0.pop().map(|Reverse((_, event))| event)
    }
}

/// Delay before accepting is retried after a failure. The system does not notify when a file descriptor becomes free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Minimum time between two warnings that accepting fails.
const ACCEPT_WARNING_INTERVAL: Duration = Duration::from_secs(5);

/// Accepts the next connection and disables Nagle's algorithm on it. A failure, most likely for want of file
/// descriptors, is retried after a delay; meanwhile connections wait in the listen queue.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                return (stream, peer);
            }
            // The client has closed this connection already: the next one is accepted without delay.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset) => {
                tokio::task::yield_now().await;
            }
            Err(e) => {
                warn_accept_failed(&e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Logs that accepting fails, at most once per 5 s in the whole process.
pub fn warn_accept_failed(error: &std::io::Error) {
    static LAST_WARNING: Mutex<Option<Instant>> = Mutex::new(None);
    let mut last_warning = LAST_WARNING.lock().unwrap_or_else(PoisonError::into_inner);
    if last_warning.is_none_or(|at| at.elapsed() >= ACCEPT_WARNING_INTERVAL) {
        *last_warning = Some(Instant::now());
        warn!(event = "accept-failed", "accepting a connection failed: {error}");
    }
}

/// Returns whether the peer has closed its sending half or reset the connection, even behind unread bytes, as of the
/// runtime's last look at its sockets.
#[must_use]
pub fn is_read_closed(stream: &TcpStream) -> bool {
    let readiness = pin!(stream.ready(Interest::READABLE));
    match readiness.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(readiness) => readiness.is_ok_and(|ready| ready.is_read_closed()),
        Poll::Pending => false,
    }
}

/// How long [`linger`] reads after the sending side was shut down. Closing a socket with unread input sends a reset,
/// which can make the peer lose data that was written before (RFC 9112, 9.6).
pub const LINGER_TIME: Duration = Duration::from_millis(500);
/// How many bytes [`linger`] reads at most.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Shuts down the sending side, then reads and discards input until the peer closes, [`LINGER_TIME`] has passed or 1
/// MiB was read. `read_bytes` is the number of input bytes that were read before and count towards that limit.
pub async fn linger(stream: &mut TcpStream, mut read_bytes: usize) {
    let mut buffer = [0u8; 4_096];
    let _ = stream.shutdown().await;
    let drained = async {
        while read_bytes < MAX_LINGER_BYTES {
            match stream.read(&mut buffer).await {
                Ok(n) if n > 0 => read_bytes += n,
                _ => break,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_TIME, drained).await;
}
