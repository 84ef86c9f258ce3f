//! Injects faults between processes on loopback. Fronts run unmodified. Relays carry the traffic between
//! fronts, and between fronts and their nodes, viewers and operators, and apply the faults of a schedule to
//! it (`docs/rehearsals.md`).
//!
//! - [`schedule`]: schedules of faults, read from a file or drawn from a seed.
//! - [`link`], [`datagrams`], [`stream`]: effect of faults on the traffic of a link; no I/O.
//! - [`net`]: the relays, with their sockets and tasks.
//! - [`process`]: a process of the command, with its signals and its log.
//! - [`fleet`]: fronts behind relays, for tests.

pub mod datagrams;
pub mod fleet;
pub mod link;
pub mod net;
pub mod process;
pub mod schedule;
pub mod stream;
