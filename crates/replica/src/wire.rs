//! What fronts say to each other. A message fits into one datagram of the exchange.

use crate::lease::{Answer, Config};
use crate::log::{Change, Key, Position};
use serde::{Deserialize, Serialize};

/// A log and who began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// The front that began it.
    pub front: u64,
    /// Its run then.
    pub run: u64,
    /// Which part of its sessions.
    pub shard: u8,
    /// How often that part had to be begun anew, after it had been lost to another writer.
    pub turn: u32,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Writer to holder: changes after `from` up to `upto`, none of them to learn where the holder stands.
    Changes {
        /// Of this stream.
        stream: StreamId,
        /// Under this epoch.
        epoch: u32,
        /// The epoch went on from here: an epoch, and a change under it.
        base: (u32, u64),
        /// The log goes on from here ...
        from: u64,
        /// ... to here with this message.
        upto: u64,
        /// A digest of the whole log, where `upto` is its end.
        digest: Option<u64>,
        /// The changes, in order.
        changes: Vec<Change>,
    },
    /// Writer to holder: who else holds copies and who guards the stream, for the time after the writer's death.
    Kept {
        /// Of this stream.
        stream: StreamId,
        /// Under this epoch.
        epoch: u32,
        /// Fronts that hold copies.
        holders: Vec<u64>,
        /// Its guards.
        config: Config,
    },
    /// Writer to holder: all that lives with keys after `after` up to `until`, as the log was at `cut` or later.
    Whole {
        /// Of this stream.
        stream: StreamId,
        /// Under this epoch.
        epoch: u32,
        /// The log's end when the whole was begun.
        cut: u64,
        /// The log's end now.
        head: u64,
        /// Keys after this one, or from the first.
        after: Option<Key>,
        /// Keys up to this one, or to the last.
        until: Option<Key>,
        /// Key, number of the change, body.
        entries: Vec<(Key, u64, Vec<u8>)>,
    },
    /// Holder to writer: where it stands.
    Stands {
        /// Of this stream.
        stream: StreamId,
        /// Its position.
        at: Position,
        /// The whole that it is taking: its cut, and the last key that it has.
        taking: Option<(u64, Option<Key>)>,
    },
    /// Writer to former holder: no copy of this is wanted there any more.
    Forget {
        /// Of this stream.
        stream: StreamId,
        /// Under this epoch.
        epoch: u32,
    },
    /// Holder to holder, when the writer is silent: where it stands.
    Bid {
        /// Of this stream.
        stream: StreamId,
        /// Its position.
        at: Position,
    },
    /// Former writer to the present one: these keys had ended after the position that it went on from.
    Ended {
        /// Of this stream.
        stream: StreamId,
        /// The change that the present writer went on from.
        from: u64,
        /// The keys.
        keys: Vec<Key>,
    },
    /// Writer or claimant to guard: the stream under this epoch is to be granted, or granted on.
    Hold {
        /// Of this stream.
        stream: StreamId,
        /// Under this epoch.
        epoch: u32,
        /// The asker's own time, given back in the answer.
        asked_ms: u64,
        /// The guards that it goes by.
        config: Config,
        /// What all holders of copies have, or what the claimant has.
        at: Position,
        /// Where the asker goes on from, or went on from.
        from: Position,
        /// It has held the stream under this epoch.
        writes: bool,
    },
    /// Guard to asker.
    Held {
        /// Of this stream.
        stream: StreamId,
        /// As asked.
        asked_ms: u64,
        /// The guard's run.
        run: u64,
        /// Its answer.
        answer: Answer,
    },
}

/// A message as bytes.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Bytes as a message.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Message> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}
