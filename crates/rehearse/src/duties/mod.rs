//! Rehearsals of shared duties: many fronts in one process on a simulated network ([`simulation`]), or as processes on
//! loopback ([`run`]). Both are checked by the probes that nodes received ([`coverage`]). [`large_fleet`] measures
//! large fleets.

pub mod coverage;
pub mod large_fleet;
pub mod run;
pub mod simulation;
