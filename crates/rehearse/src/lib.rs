//! Rehearsals on loopback: scripted viewers, faults by the clock, a record of what passed on the sockets, and
//! a checker that judges the six rules from that record alone.
//!
//! - [`day`]: a day as a file: fleet, arrivals, troubles. [`day::bad_day`] makes one from a seed.
//! - [`wire`]: HTTP as the viewers speak it, on bare sockets, apart from the front's own library.
//! - [`viewers`]: those who ask, play, come again and leave.
//! - [`runner`]: starts fronts and nodes as processes and causes the troubles.
//! - [`checker`]: the rules. It shares no code with the front; what it knows is in the record.
//! - [`peak`]: an announced peak, with and without the announcement.
//! - [`duties`]: shared duties, by fronts in one process or as processes.
//! - [`agreement`]: changes of the policy that the fleet agrees on, under faults between processes.
//! - [`report`]: figures of a run.

pub mod agreement;
pub mod checker;
pub mod day;
pub mod duties;
pub mod peak;
pub mod report;
pub mod runner;
pub mod viewers;
pub mod wire;
