//! What fronts share below their protocols: the clock, the guard around accepting, and an orderly end of a connection.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tracing::warn;

/// Unix time in nanoseconds that never goes back: read once, then counted by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: u64,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the system's time.
    #[must_use]
    pub fn new() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
        Self { base, start: Instant::now() }
    }

    /// Now.
    #[must_use]
    pub fn now(&self) -> u64 {
        self.base.saturating_add(self.start.elapsed().as_nanos() as u64)
    }

    /// Waits until this clock shows `at`; without end where there is no such moment.
    pub async fn until(&self, at: Option<u64>) {
        match at {
            Some(at) => {
                let after = Duration::from_nanos(at.saturating_sub(self.base));
                tokio::time::sleep_until(self.start + after).await;
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

/// What is due at which moment, in nanoseconds of the caller's clock; it reads none itself.
#[derive(Clone, Debug)]
pub struct Timers<W>(BinaryHeap<Reverse<(u64, W)>>);

impl<W: Ord> Default for Timers<W> {
    fn default() -> Self {
        Self(BinaryHeap::new())
    }
}

impl<W: Ord + Copy> Timers<W> {
    /// Sets a timer.
    pub fn set(&mut self, at: u64, what: W) {
        self.0.push(Reverse((at, what)));
    }

    /// The moment of the next one.
    #[must_use]
    pub fn next(&self) -> Option<u64> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes out the next one that is due.
    pub fn due(&mut self, now: u64) -> Option<W> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, what))| what)
    }
}

/// Out of descriptors, accepting is tried again after so long: nobody tells when one is free.
const TRY_AGAIN: Duration = Duration::from_millis(10);
/// A warning that accepting fails comes once in so long.
const WARN_EACH: Duration = Duration::from_secs(5);

/// Accepts the next connection. Where that fails, out of descriptors most likely, it is tried again once some may be
/// free; meanwhile connections wait in the listen queue.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                return (stream, peer);
            }
            // That one has gone meanwhile, and the next one does not wait for it.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset) => {
                tokio::task::yield_now().await;
            }
            Err(e) => {
                warn_now_and_then(&e);
                tokio::time::sleep(TRY_AGAIN).await;
            }
        }
    }
}

/// Says that accepting fails, unless that was said shortly before.
pub fn warn_now_and_then(error: &std::io::Error) {
    static LAST: Mutex<Option<Instant>> = Mutex::new(None);
    let mut last = LAST.lock().unwrap_or_else(PoisonError::into_inner);
    if last.is_none_or(|at| at.elapsed() >= WARN_EACH) {
        *last = Some(Instant::now());
        warn!(event = "accept-failed", "{error}");
    }
}

/// After its sending side is shut a connection is read on for so long, and for so many bytes, so that what was written
/// is not lost to a reset (RFC 9112, 9.6).
pub const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 1 << 20;

/// Shuts the sending side, reads on within bounds and lets go; `read` bytes count as read already.
pub async fn linger(stream: &mut TcpStream, mut read: usize) {
    let mut buffer = [0u8; 4_096];
    let _ = stream.shutdown().await;
    let drained = async {
        while read < LINGER_BYTES {
            match stream.read(&mut buffer).await {
                Ok(n) if n > 0 => read += n,
                _ => break,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER, drained).await;
}
