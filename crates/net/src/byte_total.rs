//! Bounds on buffers: each has a bound of its own, and a lower one while all of them together hold much. No I/O.

use std::cell::Cell;
use std::rc::Rc;

/// Number of bytes in all buffers that share it.
#[derive(Clone, Debug, Default)]
pub struct ByteTotal(Rc<Cell<usize>>);

impl ByteTotal {
    /// Counts bytes that a buffer took.
    pub fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }

    /// Counts bytes that a buffer gave up. They must have been added before.
    pub fn remove(&self, bytes: usize) {
        self.0.set(self.0.get() - bytes);
    }

    /// The sum, in bytes.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.get()
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

impl BufferLimits {
    /// The bound of one buffer now, in bytes.
    #[must_use]
    pub fn current(&self, total: &ByteTotal) -> usize {
        if total.get() > self.total { self.always } else { self.alone }
    }
}
