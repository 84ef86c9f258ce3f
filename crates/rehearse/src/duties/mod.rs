//! Rehearsals of shared duties: many fronts in one process on a network in memory ([`simulation`]), or as processes on
//! loopback ([`run`]); both are judged from what nodes heard ([`coverage`]). [`large_fleet`] measures large fleets.

pub mod coverage;
pub mod large_fleet;
pub mod run;
pub mod simulation;
