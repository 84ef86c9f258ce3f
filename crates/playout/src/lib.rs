//! Simulated playout nodes: the WHIP and WHEP signalling of a node, without media.
//!
//! A node answers SDP offers, holds sessions, and has a link and a rack uplink whose capacity its sessions share
//! equally. It starts cold and warms up; too many set-ups while it is cold overload it. On command over its
//! control port it drains, refuses or fails set-ups, stops answering, or crashes. Its load reports are delayed
//! and noisy. In place of media it computes the share of a session's rate that would be delivered.
//!
//! Written from the published specifications, for tests and rehearsals on loopback. All figures are simulated.

mod node;
pub mod record;
mod server;

pub use node::{Command, Faults, Options, Rack, State};
pub use server::{NodeHandle, start};
