//! What fronts say to each other. A message fits into one datagram of the exchange, or goes as a parcel.

use crate::catch_up::{Stretch, Want};
use crate::progress::Standing;
use crate::types::{Command, Key};
use serde::{Deserialize, Serialize};

/// Bytes of a message at most.
pub const MOST_MESSAGE: usize = 1_100;

/// Before each message: where its sender is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Which fleet's state it has, 0 for none.
    pub origin: u64,
    /// The configuration it knows, 0 for none.
    pub config: u32,
    /// The last entry it has.
    pub number: u64,
}

/// A voter of a front's run, as heard before the first configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Heard {
    /// The front.
    pub front: u64,
    /// Its run.
    pub run: u64,
    /// Its store.
    pub store: u64,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Nothing but the head.
    Told,
    /// Named voter to named voter before the first configuration: whom it has heard, itself included.
    Genesis(Vec<Heard>),
    /// Front to voter: grant me a hold.
    Look {
        /// Counts up in a run.
        question: u64,
        /// It goes by what was agreed up to here.
        vouched: u64,
        /// It counts a hold for so long, milliseconds: a voter that grants for less refuses.
        hold_ms: u64,
        /// The front's own store, 0 if it has none.
        store: u64,
    },
    /// Voter to front.
    Looked {
        /// As asked.
        question: u64,
        /// The voter's store.
        store: u64,
        /// The configuration from which its voters have been the same.
        since: u32,
        /// Whether it grants.
        granted: bool,
        /// What has to be vouched for at least.
        floor: u64,
        /// What it has cleared.
        cleared: Option<u64>,
        /// First bytes of the hash of the last entry it has.
        hash: u64,
    },
    /// A voter that started, to others: may I vote?
    Hello(Standing),
    /// Yes.
    Welcome {
        /// The opening that was asked for.
        boots: u64,
    },
    /// No: more of that store is remembered.
    Refused {
        /// The store.
        store: u64,
        /// The opening that is refused.
        boots: u64,
    },
    /// Voter to voter.
    Consensus {
        /// Where its sender's disk is.
        standing: Standing,
        /// The receiver's store.
        to: u64,
        /// For [`Voter::receive`](crate::voter::Voter::receive).
        bytes: Vec<u8>,
    },
    /// Learner to voter.
    Ask(Want),
    /// Voter to learner.
    Stretch(Stretch),
    /// Voter to learner: there is nothing for it.
    NoMore,
    /// Voter to learner: what you have is not what was agreed.
    Fork {
        /// An entry that both have.
        number: u64,
        /// First bytes of its hash at the voter.
        here: u64,
    },
    /// Front to voter: into the log with it.
    Propose(Command),
    /// Voter to front: not by me.
    Declined {
        /// The command.
        key: Key,
        /// The front that leads, if known and another.
        leader: Option<u64>,
    },
    /// A piece of a message longer than this.
    Piece {
        /// Which parcel.
        id: u64,
        /// Bytes of the whole.
        length: u32,
        /// Which piece.
        index: u16,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// What of a parcel arrived.
    Ack {
        /// Which parcel.
        id: u64,
        /// One bit for each piece.
        has: Vec<u8>,
    },
}

/// A message as bytes.
#[must_use]
pub fn encode(head: &Head, message: &Message) -> Vec<u8> {
    postcard::to_stdvec(&(head, message)).unwrap_or_default()
}

/// Bytes as a message; `None` if they are none.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<(Head, Message)> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}
