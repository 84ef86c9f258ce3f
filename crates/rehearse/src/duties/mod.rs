//! Rehearsals of shared duties: many fronts in one process on a network in memory ([`net`]), or as processes on
//! loopback ([`run`]); both are judged from what nodes heard ([`coverage`]). [`many`] measures large fleets.

pub mod coverage;
pub mod many;
pub mod net;
pub mod run;
