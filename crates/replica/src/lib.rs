//! The state of a front that lives on others too, so that a front's death does not take along what only it knew.
//!
//! [`Replica`] is without I/O: messages and time go in, messages and changes come out. How they travel, sealed and
//! checked for who sent them, is the exchange's; who is there is membership's. It does not know what a session is: it
//! keeps bodies under keys.
//!
//! - What a front holds is spread over a few [`StreamId`]s, each a log with **one writer at a time** (`log`). Others keep
//!   copies: a prefix of the log, or, when they have missed more than is remembered, the whole anew. A copy never writes,
//!   so that two copies cannot contradict each other and what was deleted cannot come back from one.
//! - Who may write a stream, and act on its sessions, is settled by **leases of a majority of guards** (`lease`; Gray and
//!   Cheriton 1989, with the epochs of Vertical Paxos, Lamport, Malkhi and Zhou 2009). The writer stops by itself before
//!   any guard may grant the stream to another, by a stated bound on how far clocks' rates differ. No clock is compared
//!   with another front's.
//! - Copies and guards are chosen by rendezvous hashing over the view, copies in other zones first (`place`). The view is
//!   a hint: a wrong one costs copies or time, never two writers.
//! - When a writer falls silent, of those who hold a copy the one that holds most asks the guards for the stream under a
//!   higher epoch, and goes on with the very log: its sessions are **adopted**.

#[cfg(test)]
mod contest;
mod lease;
mod log;
mod place;
mod replica;
mod wire;

pub use lease::{Answer, Config, Guard, Guardian, Question, Tenure, majority};
pub use log::{Applied, Change, Copy, Grade, Key, Log, Position};
pub use place::{Peer, holders, rank, wanted_guards};
pub use replica::{Counters, Out, Refused, Replica, Settings, StreamRow};
pub use wire::{Message, StreamId};
