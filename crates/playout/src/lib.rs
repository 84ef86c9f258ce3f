//! Stand-in playout nodes: WHIP and WHEP without media.
//!
//! A node answers SDP, holds streams, and has a link and a share in a rack's uplink that all sessions there
//! divide equally. It starts cold and warms up, falls over when it is pushed then, drains, and refuses, fails,
//! stalls or dies on command over its control port. It reports its load late and noisily. It sends no media,
//! so what a viewer would see is the share of its rate that it would have got.
//!
//! Written from the published specifications for rehearsals and tests on loopback; figures from it are
//! simulated.

mod node;
pub mod record;
mod server;

pub use node::{Command, Faults, Options, Rack, State};
pub use server::{NodeHandle, start};
