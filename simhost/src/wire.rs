//! Reads records off a frame and writes records into one.

use std::fmt;

/// What is wrong with the input: which record, where, and what.
#[derive(Debug)]
pub struct Fault {
    /// Number of the record in its batch.
    pub record: u32,
    /// Offset in the batch's body.
    pub at: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record {} at offset {}: {}", self.record, self.at, self.what)
    }
}

/// A cursor over the body of one batch.
pub struct Reader<'a> {
    body: &'a [u8],
    at: usize,
    /// Number of the record being read.
    pub record: u32,
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident: $type:ty),*) => {$(
        $(#[$doc])*
        pub fn $name(&mut self) -> Result<$type, Fault> {
            let mut raw = [0; size_of::<$type>()];
            raw.copy_from_slice(self.take(size_of::<$type>())?);
            Ok(<$type>::from_be_bytes(raw))
        }
    )*};
}

impl<'a> Reader<'a> {
    /// Starts at the first byte.
    pub fn new(body: &'a [u8]) -> Self {
        Self { body, at: 0, record: 0 }
    }

    /// A fault at the current place.
    pub fn fault(&self, what: impl Into<String>) -> Fault {
        Fault { record: self.record, at: self.at, what: what.into() }
    }

    /// Everything has been read.
    pub fn is_done(&self) -> bool {
        self.at == self.body.len()
    }

    /// The next `n` bytes.
    pub fn take(&mut self, n: usize) -> Result<&'a [u8], Fault> {
        let rest = &self.body[self.at..];
        let Some(bytes) = rest.get(..n) else {
            return Err(self.fault(format!("needs {n} bytes, {} are left", rest.len())));
        };
        self.at += n;
        Ok(bytes)
    }

    numbers! {
        /// One byte.
        u8: u8,
        /// Two bytes.
        u16: u16,
        /// Four bytes.
        u32: u32,
        /// Eight bytes.
        u64: u64,
        /// A float of four bytes.
        f32: f32
    }

    /// Values behind a count of one byte.
    pub fn values(&mut self) -> Result<Vec<f64>, Fault> {
        let n = self.u8()?;
        (0..n).map(|_| Ok(f64::from(self.f32()?))).collect()
    }
}

/// The records of a reply.
#[derive(Default)]
pub struct Writer {
    /// Records so far.
    pub records: u32,
    /// Their bytes.
    pub body: Vec<u8>,
}

impl Writer {
    /// Starts a record with its code and instance.
    pub fn record(&mut self, code: u8, instance: u16) -> &mut Self {
        self.records += 1;
        self.body.push(code);
        self.bytes(&instance.to_be_bytes())
    }

    /// Appends bytes.
    pub fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.body.extend_from_slice(bytes);
        self
    }

    /// The whole reply frame.
    pub fn frame(&self, batch: u32) -> Vec<u8> {
        let length = u32::try_from(self.body.len()).unwrap_or(u32::MAX);
        let mut out = Vec::with_capacity(12 + self.body.len());
        for word in [batch, self.records, length] {
            out.extend_from_slice(&word.to_be_bytes());
        }
        out.extend_from_slice(&self.body);
        out
    }
}
