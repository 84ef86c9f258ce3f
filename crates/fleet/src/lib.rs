//! One front among the others: exchange, membership, duties, copies and what is agreed on put together, without I/O.
//!
//! Datagrams, time and the ends of duties go in; datagrams, duties to be run, readings that others took and changes
//! of the view come out. The front's shell carries this out on sockets, and the rehearsal of many fronts in one
//! process runs the same code on a network in memory.

mod agreement;
mod copies;
mod fleet;
mod readings;

pub use agreement::{AgreedNote, AgreedSettings, AgreedShown, Force, Means};
pub use fleet::{Fleet, MemberRow, Note, Out, READS, Settings, View};
pub use readings::{Reading, SPACE};
