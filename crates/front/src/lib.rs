//! The session front: a state machine around the decision module, and its faces.
//!
//! - [`engine`]: sessions, attempts and answers, without I/O; what it does is decided by `pepperhook`.
//! - `shell`: carries out what the engine says, on tokio's current-thread runtime.
//! - `upstream`: speaks WHIP and WHEP to the nodes. `session_api`: speaks them to viewers and publishers.
//! - `console`: one page for operators, and the interface for announced peaks.
//! - `agreement`: what the fleet agrees on: a voter's store, policies into the engine, the fence.
//! - `fleet_io`: announced peaks between fronts and over restarts.
//!
//! Arrows go one way: faces and shell know the engine, the engine knows neither.

mod agreement;
mod clock;
mod console;
mod console_policy;
pub mod engine;
mod fleet_io;
mod http;
mod session_api;
mod shell;
mod upstream;

pub use engine::Snapshot;
pub use pepperhook_net::Clock;
pub use shell::Front;
