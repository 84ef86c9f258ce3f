//! Replicates versioned records among fronts by anti-entropy, without a leader.
//!
//! Every round, each front sends a few random peers a digest: the ids and versions of a range of its records.
//! The receiver pulls the records that are newer at the sender and pushes those of which it holds a newer
//! version. Records merge by a total order of versions, so the order, loss and duplication of messages do not
//! affect the result. Every datagram carries a keyed MAC and a counter; sizes and rates are bounded. Delivery
//! of any single message is not guaranteed.
//!
//! [`Exchange`] does no I/O: datagrams and times go in, datagrams and changed records come out. [`Store`]
//! keeps records on disk across restarts and crashes.

mod protocol;
mod records;
mod seal;
mod store;

pub use protocol::{Counters, Exchange, MAX_CHANNEL_MESSAGE_BYTES, Output, Settings};
pub use records::{FIRST_EPHEMERAL_SPACE, Id, MAX_BODY_BYTES, MergeResult, Record, Records, Version};
pub use seal::{Keys, Reject};
pub use store::{Store, StoreError};
