//! Announced peaks: reserves capacity on playout nodes ahead of announced events and releases it again.
//!
//! - [`Announcement`]: the announcement of an operator; checked, it becomes a [`Peak`].
//! - [`plan`]: which nodes reserve how much, by a linear program; by a greedy plan if the program is too large or fails.
//! - [`Reservations`]: the reservations over time: made ahead of the start, reduced as viewers come, released at the end.
//!
//! The crate does no I/O and reads no clock; callers pass the time. The results go to the decision module as
//! `pepperhook::Event::Reserved`, which counts reserved capacity as demand for all but the peak's own viewers.

mod announcement;
pub mod plan;
mod reservations;

pub use announcement::{Announcement, Catalogue, FieldFault, MAX_VIEWERS, Peak};
pub use reservations::{
    AdmissionError, NodeCapacity, ReservationLimits, ReservationRow, ReservationUpdate, Reservations,
};
