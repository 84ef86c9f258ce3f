//! Announced peaks: how much room is held where, from when, and how it is given back.
//!
//! - [`Announcement`]: what an operator says; checked into a [`Peak`], every fault with its field.
//! - [`plan`]: which holders hold how much, by a linear program and, where that is too large or fails, greedily.
//! - [`Holds`]: the life of the holds: kept ahead, turned into sessions as viewers come, given back at the end.
//!
//! No I/O, no clock: time is handed in. What comes out is told to the decision module as held room
//! (`pepperhook::Event::Reserved`), which counts it as demand to everyone but the peak's own viewers.

mod announcement;
pub mod plan;
mod reservations;

pub use announcement::{Announcement, FieldFault, Known, MOST_VIEWERS, Peak};
pub use reservations::{Held, HoldRow, Holds, NodeRoom, Refused, Terms};
