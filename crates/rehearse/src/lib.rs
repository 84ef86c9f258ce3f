//! Rehearsals on loopback: scripted viewers and scheduled faults against real fronts, a record of the events on the
//! sockets, and a checker of the six rules whose only input is that record.
//!
//! - [`day`]: a day, the scenario of a rehearsal, as a file: fleet, arrivals, faults. [`day::bad_day`] makes one from a seed.
//! - [`wire`]: the HTTP client of the viewers, on plain sockets, independent of the library of the front.
//! - [`viewers`]: scripted viewers, who request sessions, play, retry and leave.
//! - [`runner`]: starts fronts and nodes as processes and injects the faults.
//! - [`checker`]: checks the rules. It shares no code with the front.
//! - [`peak`]: rehearsal of an announced peak, with and without the announcement.
//! - [`duties`]: rehearsals of shared duties, with fronts in one process or as processes.
//! - [`agreement`]: rehearsals of changes of the agreed policy, under faults between processes.
//! - [`report`]: statistics of a run.

pub mod agreement;
pub mod checker;
pub mod day;
pub mod duties;
pub mod peak;
pub mod report;
pub mod runner;
pub mod viewers;
pub mod wire;
