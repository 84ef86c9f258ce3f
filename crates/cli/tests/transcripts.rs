//! Snapshot tests of whole exchanges over sockets. Each approved transcript is a file in
//! `transcripts/snapshots/` that records the messages the program sent and received; a test fails if its
//! transcript differs or is missing. `INSTA_UPDATE=always` rewrites the files; review them before committing.

mod common;
#[path = "common/platform.rs"]
mod given;

#[path = "transcripts/members.rs"]
mod members;
#[path = "transcripts/operators.rs"]
mod operators;
#[path = "transcripts/platform.rs"]
mod platform;
#[path = "transcripts/script.rs"]
mod script;
#[path = "transcripts/tap.rs"]
mod tap;
#[path = "transcripts/whep.rs"]
mod whep;
