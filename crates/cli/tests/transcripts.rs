//! Whole exchanges as text, for a reader who knows nothing of the code. Each transcript stands under
//! `transcripts/snapshots/` and is what the program really said on its sockets; where one changes, or is missing, the
//! test fails. `INSTA_UPDATE=always` writes them anew, to be read before they are committed.

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
