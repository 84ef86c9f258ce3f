//! Messages between fronts. A message fits into one datagram of the exchange; a longer one is sent in
//! fragments.

use crate::catch_up::{CatchUpRequest, Chunk};
use crate::progress::VoterProgress;
use crate::types::{Command, Key};
use serde::{Deserialize, Serialize};

/// Maximum size of an unfragmented message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_100;

/// Header of each message: how far the sender's state is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Id of the log that the sender follows, 0 for none.
    pub log_id: u64,
    /// Number of the configuration that the sender knows, 0 for none.
    pub config: u32,
    /// Number of the sender's last entry.
    pub number: u64,
}

/// A named voter as seen before the first configuration: its front, the front's run and its store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GenesisVoter {
    /// The front.
    pub front: u64,
    /// The front's run (its incarnation number).
    pub run: u64,
    /// Id of its store.
    pub store: u64,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Carries only the header.
    HeadOnly,
    /// Between named voters before the first configuration: the named voters that the sender knows, itself
    /// included.
    Genesis(Vec<GenesisVoter>),
    /// Front to voter: requests or renews a lease.
    LeaseRequest {
        /// Request id, ascending within a run.
        request: u64,
        /// The front confirms that it acts on the log up to this entry.
        confirmed: u64,
        /// How long the front considers a granted lease valid, in milliseconds. A voter that grants shorter
        /// leases refuses.
        lease_ms: u64,
        /// Id of the front's own store, 0 if it has none.
        store: u64,
    },
    /// Voter to front: answer to a lease request.
    LeaseReply {
        /// Id of the request.
        request: u64,
        /// Id of the voter's store.
        store: u64,
        /// The configuration since which the set of voters is unchanged.
        voters_since: u32,
        /// Whether the lease is granted.
        granted: bool,
        /// The voter grants no lease to a front that has confirmed less than this entry.
        min_confirmed: u64,
        /// The voter's watermark: no unexpired lease that it granted has confirmed less.
        watermark: Option<u64>,
        /// First bytes of the hash of the voter's last entry.
        hash: u64,
    },
    /// From a voter that started, to the other voters: asks to be admitted.
    AdmissionRequest(VoterProgress),
    /// The sender of the request may vote.
    Admitted {
        /// The store's opening count from the request.
        boots: u64,
    },
    /// The sender of the request may not vote: its store is an older copy of one that the receiver remembers.
    NotAdmitted {
        /// Id of the refused store.
        store: u64,
        /// The store's opening count that is refused.
        boots: u64,
    },
    /// Consensus message between voters.
    Consensus {
        /// How far the sender's disk is.
        progress: VoterProgress,
        /// Id of the receiver's store.
        to: u64,
        /// Content for [`Voter::receive`](crate::voter::Voter::receive).
        bytes: Vec<u8>,
    },
    /// Learner to voter: requests missing entries.
    CatchUp(CatchUpRequest),
    /// Voter to learner: part of the requested entries or snapshot.
    Chunk(Chunk),
    /// Voter to learner: the voter has nothing newer than the learner.
    NothingNewer,
    /// Voter to learner: the learner's log differs from the agreed log.
    Fork {
        /// Number of an entry that both have.
        number: u64,
        /// First bytes of that entry's hash at the voter.
        here: u64,
    },
    /// Front to voter: proposes a command for the log.
    Propose(Command),
    /// Voter to front: the voter does not take the proposal.
    Declined {
        /// Key of the command.
        key: Key,
        /// The front that leads, if another front is known to.
        leader: Option<u64>,
    },
    /// Part of a bundle of messages that does not fit into one datagram.
    Fragment {
        /// Id of the bundle.
        id: u64,
        /// Length of the whole bundle, in bytes.
        length: u32,
        /// Index of the fragment.
        index: u16,
        /// Content of the fragment.
        bytes: Vec<u8>,
    },
    /// Acknowledges the fragments of a bundle that have arrived.
    FragmentAck {
        /// Id of the bundle.
        id: u64,
        /// One bit for each fragment.
        received: Vec<u8>,
    },
}

/// Serializes a message with its header.
#[must_use]
pub fn encode(head: &Head, message: &Message) -> Vec<u8> {
    postcard::to_stdvec(&(head, message)).unwrap_or_default()
}

/// Parses a message with its header; `None` if the bytes are malformed or have a trailing rest.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<(Head, Message)> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}
