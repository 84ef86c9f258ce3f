//! The front end on the platform's protocol.
//!
//! - [`core`]: requests, attempts, standing sessions and evidence on nodes' lives, without I/O; what it does is decided
//!   by `pepperhook`.
//! - `viewer`, `node`: the faces, which turn RTSP into the core's values and back.
//! - `shell`: sockets, the change log, signals, on tokio's current-thread runtime.
//! - [`config`]: what the platform tells a front end at its start, and when it is read again.
//! - `changelog_client`: the watch of the change log; `backoff` has its times, `node_filter` what of the list the core is told.
//!
//! Arrows go one way: faces and shell know the core, the core knows neither.

mod backoff;
mod changelog_client;
pub mod config;
pub mod core;
mod node;
mod node_filter;
mod peer;
mod shell;
mod viewer;
mod wire;

pub use config::Config;
pub use shell::{Signals, run};
