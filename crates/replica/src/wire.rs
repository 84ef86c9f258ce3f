//! Messages between fronts. Each message fits into one datagram of the exchange. The encoding is postcard, so
//! the order and types of fields and variants are part of the protocol.

use crate::lease::{GrantorSet, LeaseAnswer};
use crate::log::{Change, Key, Position, SnapshotProgress};
use serde::{Deserialize, Serialize};

/// Identifies a stream: a log of session records and the front that created it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// Number of the front that created the stream.
    pub front: u64,
    /// The run (incarnation) of that front when it created the stream.
    pub run: u64,
    /// Shard of the front's keys.
    pub shard: u8,
    /// Counts how often the front replaced this shard's stream with a new one because it lost the previous
    /// one's lease.
    pub generation: u32,
}

/// A message from one front to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Writer to follower: changes after `after_seq` up to `last_seq`. Without changes it only asks for the
    /// follower's status.
    Changes {
        /// The stream.
        stream: StreamId,
        /// The writer's epoch.
        epoch: u32,
        /// The position that the epoch started from: the previous epoch and the sequence number in it.
        base: (u32, u64),
        /// Sequence number before the first change.
        after_seq: u64,
        /// Sequence number of the last change.
        last_seq: u64,
        /// Digest of all entries of the log; present only if `last_seq` is the end of the log.
        digest: Option<u64>,
        /// The changes in order.
        changes: Vec<Change>,
    },
    /// Writer to follower: the stream's followers and grantors, which a follower needs if the writer dies.
    Placement {
        /// The stream.
        stream: StreamId,
        /// The writer's epoch.
        epoch: u32,
        /// Fronts with copies of the stream.
        followers: Vec<u64>,
        /// The stream's grantors.
        grantor_set: GrantorSet,
    },
    /// Writer to follower: all entries with keys after `after_key` up to `last_key`, as of `snapshot_seq` or
    /// later.
    SnapshotChunk {
        /// The stream.
        stream: StreamId,
        /// The writer's epoch.
        epoch: u32,
        /// Sequence number of the log's last change when the snapshot was started.
        snapshot_seq: u64,
        /// Sequence number of the log's last change now.
        head_seq: u64,
        /// The chunk starts after this key; `None` starts with the first key.
        after_key: Option<Key>,
        /// The chunk ends with this key; `None` ends with the last key.
        last_key: Option<Key>,
        /// Key, sequence number of the change that wrote it, and body.
        entries: Vec<(Key, u64, Vec<u8>)>,
    },
    /// Follower to writer: the position of its copy.
    CopyStatus {
        /// The stream.
        stream: StreamId,
        /// Position of the copy.
        position: Position,
        /// Progress of the snapshot that the follower is receiving.
        snapshot_progress: Option<SnapshotProgress>,
    },
    /// Writer to former follower: the copy is no longer needed.
    DropCopy {
        /// The stream.
        stream: StreamId,
        /// The writer's epoch.
        epoch: u32,
    },
    /// Follower to the other followers, the grantors and the last writer, if the writer is silent: it intends
    /// to take the stream over from its copy. Also the reply to a candidate with an older copy.
    Candidate {
        /// The stream.
        stream: StreamId,
        /// Position of the copy.
        position: Position,
    },
    /// Former writer to present writer: keys that the former writer had deleted after the position that the
    /// present writer continued from.
    DeletedKeys {
        /// The stream.
        stream: StreamId,
        /// Sequence number of the last change that the present writer took over.
        after_seq: u64,
        /// The deleted keys.
        keys: Vec<Key>,
    },
    /// Writer or candidate to grantor: requests or renews the lease of the stream under this epoch.
    LeaseRequest {
        /// The stream.
        stream: StreamId,
        /// The epoch that is requested.
        epoch: u32,
        /// The requester's clock when it sent the request, milliseconds; the reply repeats it.
        sent_ms: u64,
        /// The grantors as the requester knows them.
        grantor_set: GrantorSet,
        /// From the writer: the lowest position of all followers. From a candidate: the position of its copy.
        position: Position,
        /// The position that the requester continues, or continued, from.
        base: Position,
        /// The requester has already held the lease under this epoch.
        has_held: bool,
    },
    /// Grantor to requester.
    LeaseReply {
        /// The stream.
        stream: StreamId,
        /// `sent_ms` of the request.
        sent_ms: u64,
        /// The grantor's run.
        run: u64,
        /// The answer.
        answer: LeaseAnswer,
    },
}

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a message; `None` if the bytes are malformed or continue after the message.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Message> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}
