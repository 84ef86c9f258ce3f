//! The session front: a state machine around the decision module, and its network interfaces.
//!
//! - [`engine`]: sessions, attempts and answers, without I/O. The decision module `pepperhook` decides on placement.
//! - `shell`: runs the engine on tokio's current-thread runtime and executes its effects.
//! - `session_api`: WHIP and WHEP server for publishers and viewers.
//! - `upstream`: WHIP and WHEP client for the nodes.
//! - `console`: the operators' page and the interface for announced peaks.
//! - `console_policy`: the operators' interface for the agreed policy and the voters.
//! - `http`: HTTP parts that both listeners use; `request_body` reads bodies, `body_budget` bounds their memory.
//! - `shared_stream`: a socket that several parts use; `client_stream`: a client's, and whether the client is still there.
//! - `fleet_io`: datagrams between fronts (announced peaks, membership, duties, copies) and the store of records.
//! - `agreement`: a voter's store, agreed policies, and the fence of a front that cannot know what was agreed.
//! - `clock`: the clock for messages between fronts.
//!
//! Dependencies go one way: the other modules use the engine, and the engine uses none of them.

mod agreement;
mod body_budget;
mod client_stream;
mod clock;
mod console;
mod console_policy;
pub mod engine;
mod fleet_io;
mod http;
mod request_body;
mod session_api;
mod shared_stream;
mod shell;
mod upstream;

pub use engine::Snapshot;
pub use pepperhook_net::Clock;
pub use shell::Front;
