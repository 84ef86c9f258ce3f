//! The front on the platform's protocol, RTSP over TCP.
//!
//! - [`core`]: requests, attempts, established sessions and the evidence that nodes are alive, without I/O; decisions are
//!   made by `pepperhook`.
//! - `viewer`, `node`: codecs between RTSP messages and the core's values; `wire` has what they share.
//! - `shell`: sockets, timers, the change log and signals, on tokio's current-thread runtime; `peer` is one connection,
//!   `inbox` what it has received, `send_queue` what it has still to write.
//! - [`config`]: the configuration that the platform writes, at the start and on reload.
//! - `changelog_client`: follows the change log; `subscriptions` decides which connections to it are open, `backoff` has
//!   their pauses and deadlines, `node_filter` selects the nodes that the core gets.
//!
//! Dependencies go one way: codecs and shell depend on the core, the core on neither.

mod backoff;
mod changelog_client;
pub mod config;
pub mod core;
mod inbox;
mod node;
mod node_filter;
mod peer;
mod send_queue;
mod shell;
mod subscriptions;
mod viewer;
mod wire;

pub use config::Config;
pub use shell::{Signals, run};
