//! Versioned records that spread from front to front without anybody in charge.
//!
//! Each front now and then tells a few others what it has, in digests; who hears of something newer pulls it,
//! who has something newer pushes it (anti-entropy). Records merge by a total order of versions, so that the
//! order, loss and repetition of messages do not matter. Every datagram carries a keyed MAC and a counter;
//! sizes and rates are bounded. Nothing may depend on a message arriving.
//!
//! [`Exchange`] is without I/O: datagrams and time go in, datagrams and changes come out. [`Store`] keeps
//! records over a crash.

mod core;
mod records;
mod seal;
mod store;

pub use self::core::{Counters, Exchange, MAX_CHANNEL_MESSAGE_BYTES, Output, Settings};
pub use records::{FIRST_EPHEMERAL_SPACE, Id, MAX_BODY_BYTES, MergeResult, Record, Records, Version};
pub use seal::{Keys, Reject};
pub use store::{Store, StoreError};
