//! Bytes that a connection has still to write, bounded for one connection and for all of them together. No I/O.

use bytes::{Buf, BytesMut};
use pepperhook_net::{BufferLimits, ByteShare, ByteTotal};

/// Bounds on the queues of all connections.
const LIMITS: BufferLimits = BufferLimits { alone: 256 * 1024, total: 32 * 1024 * 1024, always: 16 * 1024 };

/// The queue of one connection. Its bytes count in the total until they are written or it is dropped.
#[derive(Debug)]
pub struct SendQueue {
    bytes: BytesMut,
    share: ByteShare,
}

impl SendQueue {
    /// An empty queue that counts in this total.
    pub fn new(total: ByteTotal) -> Self {
        Self { bytes: BytesMut::new(), share: ByteShare::new(total) }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The bytes to write next.
    pub fn unwritten(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends bytes; false if the queue is too long now, and its connection has to be closed: its peer does not read.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.extend_from_slice(bytes);
        self.share.set(self.bytes.len());
        self.bytes.len() <= self.share.limit(&LIMITS)
    }

    /// Removes this many bytes, which were written.
    pub fn advance(&mut self, written: usize) {
        self.bytes.advance(written);
        self.share.set(self.bytes.len());
    }
}

#[cfg(test)]
mod tests;
