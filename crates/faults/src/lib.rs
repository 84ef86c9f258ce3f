//! Faults between processes on loopback. Fronts run as they are; relays stand between them, and between them and their
//! nodes, viewers and operators, and do to what passes what a schedule says (`docs/rehearsals.md`).
//!
//! - [`schedule`]: what goes wrong when, as a file and from a seed.
//! - [`link`], [`datagrams`], [`stream`]: what a link does with what comes at a moment; no I/O.
//! - [`net`]: the relays: sockets and tasks that carry this out.
//! - [`process`]: a process of the command: its signals, its log.
//! - [`fleet`]: fronts behind relays, for tests.

pub mod datagrams;
pub mod fleet;
pub mod link;
pub mod net;
pub mod process;
pub mod schedule;
pub mod stream;
