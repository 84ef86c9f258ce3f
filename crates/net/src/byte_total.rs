//! Bounds on buffers: each has a bound of its own, and a lower one while all of them together hold much. No I/O.

use std::cell::Cell;
use std::rc::Rc;

/// Number of bytes in all buffers that share it.
#[derive(Clone, Debug, Default)]
pub struct ByteTotal(Rc<Cell<usize>>);

impl ByteTotal {
    /// The sum, in bytes.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// What one buffer contributes to a total. Dropping it takes its bytes out of the total.
#[derive(Debug)]
pub struct ByteShare {
    total: ByteTotal,
    bytes: usize,
}

impl ByteShare {
    /// The share of an empty buffer.
    #[must_use]
    pub fn new(total: ByteTotal) -> Self {
        Self { total, bytes: 0 }
    }

    /// Number of bytes of this buffer.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the number of bytes of this buffer.
    pub fn set(&mut self, bytes: usize) {
        self.total.0.set(self.total.0.get() - self.bytes + bytes);
        self.bytes = bytes;
    }

    /// The bound of this buffer now, in bytes.
    #[must_use]
    pub fn limit(&self, limits: &BufferLimits) -> usize {
        if self.total.get() > limits.total { limits.always } else { limits.alone }
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Bounds in bytes on the buffers that share a total.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    /// Bound of one buffer.
    pub alone: usize,
    /// Sum of all buffers beyond which each is bound by `always`.
    pub total: usize,
    /// Number of bytes that a buffer may always hold.
    pub always: usize,
}
