//! Replication of a front's session records to other fronts, which take the sessions over when the front
//! dies.
//!
//! [`Replica`] does no I/O: messages and time go in, messages and changes come out. The exchange transports
//! messages and authenticates their senders; membership supplies the view of live fronts. The crate stores
//! opaque bodies under keys and knows nothing about sessions.
//!
//! - A front's records are split over a few [`StreamId`]s. Each stream is a log with **one writer at a time**
//!   (`log`). Other fronts, its followers, keep copies: a prefix of the log, or a new snapshot if they missed
//!   more changes than the log remembers. A copy is never written locally, so two copies cannot contradict
//!   each other and a deleted key cannot come back from one.
//! - The right to write a stream, and to act on its sessions, is a **lease granted by a majority of
//!   grantors** (`lease`; Gray and Cheriton 1989, with the epochs of Vertical Paxos, Lamport, Malkhi and Zhou
//!   2009). The writer stops by itself before any grantor may grant the stream to another front, given a
//!   bound on how much the rates of the fronts' clocks differ. Clock readings of different fronts are never
//!   compared.
//! - Followers and grantors are chosen by rendezvous hashing over the view, followers in other zones first
//!   (`placement`). The view is only a hint: a wrong view costs copies or time, but never allows two writers.
//! - When a writer falls silent, the follower with the most complete copy requests the lease under a higher
//!   epoch and continues the same log: it **adopts** the stream's sessions.

mod lease;
mod log;
mod placement;
mod replica;
#[cfg(test)]
mod takeover_tests;
mod wire;

pub use lease::{Grant, GrantorId, GrantorSet, Lease, LeaseAnswer, LeaseRequest, majority};
pub use log::{ApplyResult, Change, Completeness, Key, Log, LogCopy, Position, SnapshotProgress};
pub use placement::{Peer, choose_followers, choose_grantors, rank_fronts};
pub use replica::{Counters, Output, PutError, Replica, Settings, StreamRow};
pub use wire::{Message, StreamId};
