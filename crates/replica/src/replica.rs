//! One front's part in the replication: the streams that it writes, the copies that it keeps for other
//! fronts, and the leases that it grants.

use crate::lease::{Grant, GrantorId, GrantorSet, Lease, LeaseAnswer, LeaseRequest, MAX_NAMED_FRONTS};
use crate::log::{ApplyResult, Completeness, Key, Log, LogCopy, Position, SnapshotProgress};
use crate::placement::{Peer, choose_followers, choose_grantors};
use crate::wire::{Message, StreamId, decode, encode};
use serde::Serialize;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Number of shards of a front's keys. Each shard is a stream with its own followers, so several fronts share
/// the work when a front dies.
const SHARDS: u8 = 4;
/// Maximum length of a body, bytes.
const MAX_BODY_BYTES: usize = 512;
/// Maximum length of the changes or entries in one message, bytes.
const MAX_CHUNK_BYTES: usize = 800;
/// An unanswered message with changes is sent again after this time, milliseconds.
const RESEND_MS: u64 = 300;
/// Maximum number of streams of other fronts that this front keeps copies of, and of former streams whose
/// deleted keys it still has to send to the successor.
const MAX_COPIES: usize = 2_048;
/// Maximum number of keys in this front's streams, and in all copies together.
const MAX_KEYS: usize = 131_072;
/// Maximum number of streams that this front is a grantor of.
const MAX_GRANTS: usize = 16_384;
/// A copy is dropped if no writer has sent anything for this time, milliseconds.
const COPY_RETENTION_MS: u64 = 600_000;
/// Grantors forget a stream this long after its grant expired, milliseconds. A writer that lost its lease
/// requests it again only during the first half of this time, while the grantors still know the stream.
const GRANT_RETENTION_MS: u64 = 600_000;
/// Maximum number of deleted keys that a former writer reports to its successor.
const MAX_DELETED_KEYS: usize = 1_024;
/// Maximum number of deleted keys in one message.
const DELETED_KEYS_PER_MESSAGE: usize = 80;
/// How often deleted keys are sent to the successor, which does not acknowledge them.
const DELETED_KEYS_SENDS: u8 = 5;
/// Fronts that left the view are remembered for this time, milliseconds.
const DEPARTED_RETENTION_MS: u64 = 600_000;
/// Maximum number of fronts that left the view and are remembered.
const MAX_DEPARTED: usize = 256;
/// The writer sends a digest of the log once in this many rounds.
const ROUNDS_PER_DIGEST: u64 = 5;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front's number.
    pub me: u64,
    /// This front's run (incarnation); higher at each start.
    pub run: u64,
    /// This front's zone.
    pub zone: u16,
    /// Number of copies of each stream on other fronts.
    pub copies: usize,
    /// Number of grantors of each stream; odd. The settings file calls it `guards`.
    pub grantors: usize,
    /// How long a grantor grants a lease, milliseconds.
    pub lease_ms: u64,
    /// Time between two rounds, in which leases are renewed and followers checked, milliseconds; well below
    /// the lease.
    pub period_ms: u64,
    /// Maximum rate of changes and snapshots that are sent, bytes per second.
    pub bytes_per_s: u64,
}

/// Why a body was not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The body exceeds `MAX_BODY_BYTES`.
    #[error("a body of {bytes} bytes exceeds the limit of {max} bytes", max = MAX_BODY_BYTES)]
    BodyTooLong {
        /// Length of the body.
        bytes: usize,
    },
    /// This front's streams hold `MAX_KEYS` keys.
    #[error("no room for a new key: the limit of {max} keys is reached", max = MAX_KEYS)]
    Full,
}

/// An effect that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send the message to this front.
    Send(u64, Vec<u8>),
    /// This front has adopted a stream with these keys and bodies.
    Adopted(StreamId, Vec<(Key, Vec<u8>)>),
    /// Another front has adopted a stream; this front no longer acts on these keys.
    Lost(StreamId, Vec<Key>),
    /// The former writer had deleted a key of an adopted stream before it lost the stream.
    Deleted(StreamId, Key),
}

/// Totals since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Messages sent.
    #[serde(rename = "sent")]
    pub sent_messages: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Messages that were malformed, sent by the wrong front or beyond a limit.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Snapshots started for copies that could not catch up by changes.
    #[serde(rename = "wholes")]
    pub snapshots: u64,
    /// Streams that this front adopted.
    pub adopted: u64,
    /// Streams that this front lost to another front.
    pub lost: u64,
    /// Copies whose digest differed from their writer's at the same position.
    #[serde(rename = "differed")]
    pub diverged: u64,
}

/// The state of one stream, for display.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StreamRow {
    /// Number of the front that created the stream.
    pub front: u64,
    /// Run of that front when it created the stream.
    pub run: u64,
    /// Shard of the front's keys.
    pub shard: u8,
    /// How often the shard's stream was replaced by a new one.
    #[serde(rename = "turn")]
    pub generation: u32,
    /// Epoch of the writer.
    pub epoch: u32,
    /// Number of keys.
    pub keys: usize,
    /// Sum of the hashes of all keys modulo 2^64, in hexadecimal. A copy with the same keys has the same sum,
    /// and the sums of streams add up to the sum over all their keys, whichever stream each key is in.
    pub digest: String,
    /// Number of the writer, as far as this front knows.
    pub writer: u64,
    /// This front is the writer and may write now.
    #[serde(rename = "writes")]
    pub writable: bool,
    /// This front is the writer but its lease has expired.
    pub fenced: bool,
    /// Number of changes that the follower furthest behind lacks.
    #[serde(rename = "behind")]
    pub max_lag: u64,
}

/// A follower as the writer sees it.
#[derive(Clone, Debug, Default)]
struct Follower {
    /// The position that it last reported.
    position: Option<Position>,
    snapshot_progress: Option<SnapshotProgress>,
    /// When the last message with changes was sent, if it was not answered yet; milliseconds.
    unanswered_since_ms: Option<u64>,
}

/// A stream that this front writes, or wrote until its lease expired.
struct OwnStream {
    log: Log,
    lease: Lease,
    /// The stream was sent to followers; since then the lease decides whether this front may write it.
    shared: bool,
    followers: BTreeMap<u64, Follower>,
    rounds: u64,
    /// Since when the lease is not held, milliseconds.
    lapsed_since_ms: Option<u64>,
    /// The lease was held under the present epoch.
    has_held: bool,
    /// The last epoch under which the lease was held: a front that holds it under a later one is this front's
    /// successor.
    last_held_epoch: u32,
    /// The highest epoch under which another front requested the lease without being known to hold it.
    contested_epoch: u32,
}

/// Progress of this front in taking over a stream whose writer is silent.
enum Takeover {
    Idle,
    /// The other fronts were informed of this candidate's position.
    Announced {
        since_ms: u64,
        /// Another candidate has a better copy, or an equal one and a lower number.
        other_is_better: bool,
    },
    /// The grantors are being asked for the lease.
    Requesting {
        since_ms: u64,
        lease: Lease,
        /// Another front has precedence; if the request fails, this front waits before the next one.
        defer: bool,
    },
}

/// A stream of another front, of which this front keeps a copy.
struct CopiedStream {
    copy: LogCopy,
    epoch: u32,
    writer: u64,
    followers: Vec<u64>,
    grantor_set: Option<GrantorSet>,
    /// When the writer's last message arrived, milliseconds.
    last_heard_ms: u64,
    takeover: Takeover,
    /// The highest epoch known from the writer or from denials; the next takeover uses a higher one.
    highest_epoch: u32,
    /// No takeover starts before this time, because another front has precedence; milliseconds.
    deferred_until_ms: u64,
}

/// Keys that this front deleted from a stream after the position that its successor continued from.
struct PendingDeletions {
    stream: StreamId,
    successor: u64,
    /// Sequence number that the successor continued from.
    after_seq: u64,
    keys: Vec<Key>,
    /// How often the keys are still to be sent.
    sends_left: u8,
}

/// The replication state machine of one front.
pub struct Replica {
    settings: Settings,
    view: BTreeMap<u64, Peer>,
    /// Fronts that left the view, and when, milliseconds.
    departed: BTreeMap<u64, (Peer, u64)>,
    own: BTreeMap<StreamId, OwnStream>,
    /// The stream that takes new keys, by shard.
    current: Vec<StreamId>,
    stream_of: BTreeMap<Key, StreamId>,
    copies: BTreeMap<StreamId, CopiedStream>,
    grants: BTreeMap<StreamId, Option<Grant>>,
    pending_deletions: Vec<PendingDeletions>,
    /// Bytes of changes and snapshots that may be sent now.
    budget_bytes: u64,
    last_tick_ms: u64,
    last_round_ms: u64,
    counters: Counters,
}

pub(crate) fn shard(key: Key) -> u8 {
    let mut hash = SipHasher13::new();
    hash.write_u64(key);
    (hash.finish() % u64::from(SHARDS)) as u8
}

fn keys_digest(keys: impl Iterator<Item = Key>) -> String {
    let hashes = keys.map(|key| {
        let mut hash = SipHasher13::new();
        hash.write_u64(key);
        hash.finish()
    });
    format!("{:016x}", hashes.fold(0u64, u64::wrapping_add))
}

impl Replica {
    /// A replica without keys and copies. `now_ms` is this front's monotonic clock, milliseconds.
    #[must_use]
    pub fn new(settings: Settings, now_ms: u64) -> Self {
        let mut new = Self {
            view: BTreeMap::new(),
            departed: BTreeMap::new(),
            own: BTreeMap::new(),
            current: Vec::new(),
            stream_of: BTreeMap::new(),
            copies: BTreeMap::new(),
            grants: BTreeMap::new(),
            pending_deletions: Vec::new(),
            budget_bytes: settings.bytes_per_s,
            last_tick_ms: now_ms,
            last_round_ms: now_ms,
            counters: Counters::default(),
            settings,
        };
        new.view.insert(new.settings.me, Peer { run: new.settings.run, zone: new.settings.zone });
        for shard in 0..SHARDS {
            let (front, run) = (new.settings.me, new.settings.run);
            let stream = StreamId { front, run, shard, generation: 0 };
            new.create_stream(stream);
            new.current.push(stream);
        }
        new
    }

    fn create_stream(&mut self, stream: StreamId) {
        let grantor_set = GrantorSet { version: 0, grantors: self.choose_grantors(stream, &[]), next: None };
        let lease = Lease::new(0, grantor_set, self.settings.lease_ms);
        let log = Log::default();
        let followers = BTreeMap::new();
        let own = OwnStream {
            log,
            lease,
            shared: false,
            followers,
            rounds: 0,
            lapsed_since_ms: None,
            has_held: false,
            last_held_epoch: 0,
            contested_epoch: 0,
        };
        self.own.insert(stream, own);
    }

    fn choose_grantors(&self, stream: StreamId, current: &[GrantorId]) -> Vec<GrantorId> {
        let departed = self.departed.iter().map(|(front, (peer, _))| (*front, *peer)).collect();
        choose_grantors(stream, &self.view, &departed, current, self.settings.grantors)
    }

    // ---- this front's keys ---------------------------------------------------------------------

    /// Stores a body under a key.
    ///
    /// # Errors
    /// If the body is too long, or the maximum number of keys is reached.
    pub fn put(&mut self, now_ms: u64, key: Key, body: Vec<u8>) -> Result<(), PutError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(PutError::BodyTooLong { bytes: body.len() });
        }
        let known = self.stream_of.get(&key).copied().filter(|s| self.own.contains_key(s));
        if known.is_none() && self.stream_of.len() >= MAX_KEYS {
            return Err(PutError::Full);
        }
        let stream = known.unwrap_or_else(|| self.stream_for_new_key(now_ms, shard(key)));
        self.stream_of.insert(key, stream);
        let Some(own) = self.own.get_mut(&stream) else { return Err(PutError::Full) };
        own.log.put(key, body);
        Ok(())
    }

    /// The stream that takes new keys of a shard. A shared stream whose lease is not held may already belong
    /// to another front; it is replaced by a new stream, of which no other front has a copy.
    fn stream_for_new_key(&mut self, now_ms: u64, shard: u8) -> StreamId {
        let stream = self.current[usize::from(shard)];
        let fenced = self.own.get(&stream).is_none_or(|own| own.shared && !own.lease.is_held(now_ms));
        if !fenced {
            return stream;
        }
        let next = StreamId { generation: stream.generation.wrapping_add(1), ..stream };
        self.create_stream(next);
        self.current[usize::from(shard)] = next;
        next
    }

    /// Deletes a key.
    pub fn remove(&mut self, key: Key) {
        if let Some(own) = self.stream_of.remove(&key).and_then(|stream| self.own.get_mut(&stream)) {
            own.log.remove(key);
        }
    }

    /// Returns whether this front may act on a key now: it has the key, and no other front may act on it.
    #[must_use]
    pub fn may_act(&self, now_ms: u64, key: Key) -> bool {
        let own = self.stream_of.get(&key).and_then(|stream| self.own.get(stream));
        own.is_some_and(|own| !own.shared || own.lease.is_held(now_ms))
    }

    // ---- the view ------------------------------------------------------------------------------

    /// Sets the live fronts by number; this front is added to them.
    pub fn set_view(&mut self, view: BTreeMap<u64, Peer>) {
        let before = std::mem::replace(&mut self.view, view);
        for (front, peer) in before.into_iter().filter(|(front, _)| !self.view.contains_key(front)) {
            if self.departed.len() < MAX_DEPARTED {
                self.departed.insert(front, (peer, self.last_tick_ms));
            }
        }
        self.departed.retain(|front, _| !self.view.contains_key(front));
        self.view.insert(self.settings.me, Peer { run: self.settings.run, zone: self.settings.zone });
        // Streams that were never shared, and for which no grantor was asked yet, choose their grantors anew.
        let unshared: Vec<StreamId> =
            self.own.iter().filter(|(_, own)| !own.shared && own.rounds == 0).map(|(s, _)| *s).collect();
        for stream in unshared {
            let grantor_set =
                GrantorSet { version: 0, grantors: self.choose_grantors(stream, &[]), next: None };
            if let Some(own) = self.own.get_mut(&stream) {
                own.lease = Lease::new(0, grantor_set, self.settings.lease_ms);
            }
        }
    }

    /// Sets a later run for this front, which then counts as a different grantor.
    pub fn set_run(&mut self, run: u64) {
        self.settings.run = run;
        self.view.insert(self.settings.me, Peer { run, zone: self.settings.zone });
    }

    // ---- time ----------------------------------------------------------------------------------

    /// Advances time; to be called about every 20 ms.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let passed_ms = now_ms.saturating_sub(self.last_tick_ms).min(1_000);
        self.last_tick_ms = now_ms;
        self.budget_bytes = (self.budget_bytes + self.settings.bytes_per_s * passed_ms / 1_000)
            .min(self.settings.bytes_per_s);
        let is_round = now_ms >= self.last_round_ms.saturating_add(self.settings.period_ms);
        if is_round {
            self.last_round_ms = now_ms;
        }
        let streams: Vec<StreamId> = self.own.keys().copied().collect();
        for stream in streams {
            if is_round {
                self.maintain_lease(now_ms, stream, out);
            }
            self.update_followers(now_ms, stream, is_round, out);
        }
        let copied: Vec<StreamId> = self.copies.keys().copied().collect();
        copied.into_iter().for_each(|stream| self.watch_writer(now_ms, stream, is_round, out));
        if is_round {
            self.send_deleted_keys(out);
            self.departed.retain(|_, (_, since)| since.saturating_add(DEPARTED_RETENTION_MS) > now_ms);
            self.grants
                .retain(|_, g| g.as_ref().is_some_and(|g| !g.is_forgettable(now_ms, GRANT_RETENTION_MS)));
        }
    }

    /// Requests or renews the lease of an own stream, replaces its grantors if necessary, and drops the
    /// stream once it is no longer needed.
    fn maintain_lease(&mut self, now_ms: u64, stream: StreamId, out: &mut Vec<Output>) {
        let grantors =
            self.own.get(&stream).map(|own| own.lease.grantor_set().grantors.clone()).unwrap_or_default();
        let wanted = self.choose_grantors(stream, &grantors);
        let is_current = self.current.contains(&stream);
        let Some(own) = self.own.get_mut(&stream) else { return };
        if own.log.is_empty() && !own.shared {
            if !is_current {
                self.own.remove(&stream);
            }
            return;
        }
        if own.log.is_empty() && !is_current && own.lease.is_held(now_ms) {
            // All keys of an adopted or replaced stream are deleted: followers drop their copies, and
            // grantors forget the stream after a while.
            let (epoch, followers) = (own.log.epoch(), own.followers.keys().copied().collect::<Vec<_>>());
            self.own.remove(&stream);
            followers
                .into_iter()
                .for_each(|front| self.send(front, &Message::DropCopy { stream, epoch }, out));
            return;
        }
        own.rounds += 1;
        let is_held = own.lease.is_held(now_ms);
        own.lapsed_since_ms = if is_held { None } else { own.lapsed_since_ms.or(Some(now_ms)) };
        if own.shared && own.lapsed_since_ms.is_some_and(|since| since + GRANT_RETENTION_MS / 2 <= now_ms) {
            // Grantors may soon forget the stream; they could then not distinguish this front from a new
            // holder.
            return self.lose_stream(now_ms, stream, None, out);
        }
        own.update_has_held(now_ms);
        // A front that requested the lease has not obtained it in time: this front requests it again under a
        // higher epoch, with all its entries.
        let takeover_ms = self.settings.lease_ms + 2 * self.settings.period_ms;
        let same_epoch = own.contested_epoch == own.log.epoch() && own.contested_epoch > own.last_held_epoch;
        if (own.contested_epoch > own.log.epoch() || same_epoch)
            && own.lapsed_since_ms.is_some_and(|since| since + takeover_ms <= now_ms)
        {
            own.log.raise_epoch(own.contested_epoch + 1);
            own.lease = Lease::new(own.log.epoch(), own.lease.grantor_set().clone(), self.settings.lease_ms);
            (own.has_held, own.lapsed_since_ms) = (false, Some(now_ms));
        }
        if is_held {
            own.lease.replace_grantors(wanted);
        }
        let message = Message::LeaseRequest {
            stream,
            epoch: own.log.epoch(),
            sent_ms: now_ms,
            grantor_set: own.lease.grantor_set().clone(),
            position: if own.has_held || own.log.epoch() == 0 {
                own.min_follower_position()
            } else {
                own.base_position()
            },
            base: own.base_position(),
            has_held: own.has_held,
        };
        let recipients = own.lease.recipients();
        recipients.into_iter().for_each(|(front, _)| self.send(front, &message, out));
    }

    /// Chooses the followers of an own stream and updates their copies, as long as the lease is held.
    fn update_followers(&mut self, now_ms: u64, stream: StreamId, is_round: bool, out: &mut Vec<Output>) {
        let Some(own) = self.own.get_mut(&stream) else { return };
        if !own.lease.is_held(now_ms) || (own.log.is_empty() && !own.shared) {
            return;
        }
        let epoch = own.log.epoch();
        let mut dropped = Vec::new();
        if is_round {
            let wanted = choose_followers(stream, self.settings.me, &self.view, self.settings.copies);
            // A former follower keeps its copy until all wanted followers have caught up.
            let caught_up = wanted
                .iter()
                .all(|f| own.followers.get(f).is_some_and(|s| s.position == Some(own.head_position())));
            if caught_up {
                dropped = own.followers.keys().copied().filter(|f| !wanted.contains(f)).collect();
                dropped.iter().for_each(|f| {
                    own.followers.remove(f);
                });
            }
            for front in &wanted {
                own.followers.entry(*front).or_default();
            }
        }
        let followers: Vec<u64> = own.followers.keys().copied().collect();
        if followers.is_empty() {
            return;
        }
        own.shared = true;
        let grantor_set = own.lease.grantor_set().clone();
        dropped.into_iter().for_each(|front| self.send(front, &Message::DropCopy { stream, epoch }, out));
        for front in followers.clone() {
            if is_round {
                let placement = Message::Placement {
                    stream,
                    epoch,
                    followers: followers.clone(),
                    grantor_set: grantor_set.clone(),
                };
                self.send(front, &placement, out);
            }
            self.send_next(now_ms, stream, front, is_round, out);
        }
    }

    /// Sends the next changes or snapshot chunk to a follower. With `ask_status` a message is sent even if
    /// there is nothing new, because the follower answers it with its position.
    fn send_next(
        &mut self,
        now_ms: u64,
        stream: StreamId,
        front: u64,
        ask_status: bool,
        out: &mut Vec<Output>,
    ) {
        let is_spent = self.budget_bytes == 0;
        let Some(own) = self.own.get_mut(&stream) else { return };
        let (epoch, base, head_seq) = (own.log.epoch(), own.log.base(), own.log.head_seq());
        let head = own.head_position();
        let Some(follower) = own.followers.get_mut(&front) else { return };
        if follower.unanswered_since_ms.is_some_and(|since| since + RESEND_MS > now_ms) {
            return;
        }
        let message = match follower.position {
            Some(position) if position == head && !ask_status => return,
            Some(position) if position != head && is_spent && !ask_status => return,
            Some(position) if position == head || is_spent || own.log.can_catch_up(position) => {
                let after_seq = if position == head || is_spent { head_seq } else { position.seq };
                let (changes, last_seq) = own.log.changes_after(after_seq, MAX_CHUNK_BYTES);
                let with_digest = last_seq == head_seq && own.rounds % ROUNDS_PER_DIGEST == 0 && ask_status;
                let digest = with_digest.then(|| own.log.digest());
                Message::Changes { stream, epoch, base, after_seq, last_seq, digest, changes }
            }
            Some(position) => {
                let resumable = follower
                    .snapshot_progress
                    .filter(|(seq, _)| position.epoch == epoch && own.log.has_changes_since(*seq));
                let (snapshot_seq, after_key) = resumable.unwrap_or((head_seq, None));
                self.counters.snapshots += u64::from(after_key.is_none());
                let (entries, last_key) = own.log.entries_after(after_key, MAX_CHUNK_BYTES);
                Message::SnapshotChunk { stream, epoch, snapshot_seq, head_seq, after_key, last_key, entries }
            }
            None => Message::Changes {
                stream,
                epoch,
                base,
                after_seq: head_seq,
                last_seq: head_seq,
                digest: None,
                changes: vec![],
            },
        };
        follower.unanswered_since_ms = Some(now_ms);
        let before = self.counters.sent_bytes;
        self.send(front, &message, out);
        self.budget_bytes = self.budget_bytes.saturating_sub(self.counters.sent_bytes - before);
    }

    /// Takes over a copied stream, step by step, if its writer is silent for too long.
    fn watch_writer(&mut self, now_ms: u64, stream: StreamId, is_round: bool, out: &mut Vec<Output>) {
        let (lease_ms, period_ms) = (self.settings.lease_ms, self.settings.period_ms);
        let Some(copied) = self.copies.get_mut(&stream) else { return };
        let silent_ms = now_ms.saturating_sub(copied.last_heard_ms);
        if silent_ms > COPY_RETENTION_MS {
            self.copies.remove(&stream);
            return;
        }
        let Some(grantor_set) = copied.grantor_set.clone() else { return };
        // Followers start at different times: of two that request the lease at once, each would get some of
        // the grantors.
        let lower_numbered =
            copied.followers.iter().filter(|front| **front < self.settings.me).count() as u64;
        let patience_ms = lease_ms + 2 * period_ms + lower_numbered * (lease_ms / 2);
        if !copied.copy.position().is_complete() || silent_ms <= patience_ms {
            return;
        }
        let position = copied.copy.position();
        match &copied.takeover {
            Takeover::Idle if is_round && copied.deferred_until_ms <= now_ms => {
                copied.takeover = Takeover::Announced { since_ms: now_ms, other_is_better: false };
                // The writer and the grantors may have later copies, from a writer that this front never
                // heard from.
                let mut others: BTreeSet<u64> = copied.followers.iter().copied().collect();
                others.extend(grantor_set.grantors.iter().map(|g| g.0));
                others.insert(copied.writer);
                let candidate = Message::Candidate { stream, position };
                others.into_iter().for_each(|front| self.send(front, &candidate, out));
            }
            Takeover::Announced { since_ms, other_is_better } if since_ms + 2 * period_ms <= now_ms => {
                if *other_is_better {
                    // The better candidate has precedence; if it does not take over, this front tries again.
                    if since_ms + 6 * period_ms <= now_ms {
                        copied.takeover = Takeover::Idle;
                    }
                    return;
                }
                let epoch = copied.highest_epoch.max(copied.epoch) + 1;
                let lease = Lease::new(epoch, grantor_set, lease_ms);
                copied.takeover = Takeover::Requesting { since_ms: now_ms, lease, defer: false };
                self.request_lease(now_ms, stream, out);
            }
            Takeover::Requesting { since_ms, lease, defer } => {
                if lease.is_held(now_ms) {
                    return self.adopt(stream, out);
                }
                // Two fronts that request the lease at once may each get some grantors. A jitter of 0 to 7
                // periods makes them start again at different times.
                let jitter = (self.settings.me ^ now_ms).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60;
                if since_ms + lease_ms + period_ms * (2 + jitter % 8) <= now_ms {
                    // Meanwhile this front's grants expire, and the other front learns of them and requests
                    // again.
                    let wait_ms = if *defer { 3 * lease_ms + 4 * period_ms } else { 0 };
                    (copied.takeover, copied.deferred_until_ms) =
                        (Takeover::Idle, now_ms.saturating_add(wait_ms));
                } else if is_round {
                    self.request_lease(now_ms, stream, out);
                }
            }
            _ => {}
        }
    }

    fn request_lease(&mut self, now_ms: u64, stream: StreamId, out: &mut Vec<Output>) {
        let Some(copied) = self.copies.get(&stream) else { return };
        let Takeover::Requesting { lease, .. } = &copied.takeover else { return };
        let position = copied.copy.position();
        let (epoch, grantor_set, recipients) = (lease.epoch, lease.grantor_set().clone(), lease.recipients());
        let message = Message::LeaseRequest {
            stream,
            epoch,
            sent_ms: now_ms,
            grantor_set,
            position,
            base: position,
            has_held: false,
        };
        recipients.into_iter().for_each(|(front, _)| self.send(front, &message, out));
    }

    fn adopt(&mut self, stream: StreamId, out: &mut Vec<Output>) {
        let Some(copied) = self.copies.remove(&stream) else { return };
        let Takeover::Requesting { lease, .. } = copied.takeover else { return };
        let log = Log::adopt(copied.copy, lease.epoch);
        let entries: Vec<(Key, Vec<u8>)> = log.iter().map(|(k, b)| (k, b.to_vec())).collect();
        for (key, _) in &entries {
            self.stream_of.insert(*key, stream);
        }
        let followers = BTreeMap::new();
        let last_held_epoch = log.epoch();
        let own = OwnStream {
            log,
            lease,
            shared: true,
            followers,
            rounds: 0,
            lapsed_since_ms: None,
            has_held: true,
            last_held_epoch,
            contested_epoch: 0,
        };
        self.own.insert(stream, own);
        self.counters.adopted += 1;
        out.push(Output::Adopted(stream, entries));
    }

    /// Handles that another front has continued a stream from a copy at the given position. No log contains
    /// what this front wrote after that position: keys created since stay here, in a new stream, and the
    /// successor is informed of the keys deleted since.
    fn lose_stream(
        &mut self,
        now_ms: u64,
        stream: StreamId,
        successor: Option<(u64, Position)>,
        out: &mut Vec<Output>,
    ) {
        let Some(own) = self.own.remove(&stream) else { return };
        if let Some(current) = self.current.iter_mut().find(|s| **s == stream) {
            let next = StreamId { generation: stream.generation.wrapping_add(1), ..stream };
            *current = next;
            self.create_stream(next);
        }
        // A front that only requested the lease under its present epoch has sent no changes under that epoch.
        let sent_epoch = if own.has_held { own.log.epoch() } else { own.last_held_epoch };
        let known = successor.filter(|(_, base)| base.epoch == sent_epoch && base.is_complete());
        let (mut lost, mut kept) = (Vec::new(), Vec::new());
        for (key, body) in own.log.iter() {
            if self.stream_of.get(&key) == Some(&stream) {
                self.stream_of.remove(&key);
            }
            if known.is_some_and(|(_, base)| own.log.was_created_after(key, base.seq)) {
                kept.push((key, body.to_vec()))
            } else {
                lost.push(key)
            }
        }
        for (key, body) in kept {
            // The key was just removed, so there is room for it.
            let _ = self.put(now_ms, key, body);
        }
        if let Some((successor, base)) = known {
            let keys: Vec<Key> = own.log.deleted_after(base.seq).take(MAX_DELETED_KEYS).collect();
            if !keys.is_empty() && self.pending_deletions.len() < MAX_COPIES {
                self.pending_deletions.push(PendingDeletions {
                    stream,
                    successor,
                    after_seq: base.seq,
                    keys,
                    sends_left: DELETED_KEYS_SENDS,
                });
            }
        }
        self.counters.lost += 1;
        out.push(Output::Lost(stream, lost));
    }

    /// Sends deleted keys to the successors on this front's former streams, several times because they do not
    /// acknowledge them.
    fn send_deleted_keys(&mut self, out: &mut Vec<Output>) {
        let due = std::mem::take(&mut self.pending_deletions);
        for PendingDeletions { stream, successor, after_seq, keys, sends_left } in due {
            for keys in keys.chunks(DELETED_KEYS_PER_MESSAGE) {
                let message = Message::DeletedKeys { stream, after_seq, keys: keys.to_vec() };
                self.send(successor, &message, out);
            }
            if sends_left > 1 {
                self.pending_deletions.push(PendingDeletions {
                    stream,
                    successor,
                    after_seq,
                    keys,
                    sends_left: sends_left - 1,
                });
            }
        }
    }

    // ---- messages ------------------------------------------------------------------------------

    /// Handles a message from another front; the caller has authenticated the sender.
    pub fn receive(&mut self, now_ms: u64, sender: u64, message: &[u8], out: &mut Vec<Output>) {
        match decode(message) {
            Some(message) if sender != self.settings.me => self.handle(now_ms, sender, message, out),
            _ => self.counters.rejected += 1,
        }
    }

    fn handle(&mut self, now_ms: u64, sender: u64, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Changes { stream, epoch, base, after_seq, last_seq, digest, changes } => {
                if self.exceeds_max_keys(changes.len()) {
                    return;
                }
                let base_position =
                    Position { completeness: Completeness::Complete, epoch: base.0, seq: base.1 };
                let Some(copied) = self.accept_writer(now_ms, stream, epoch, sender, base_position, out)
                else {
                    return;
                };
                let result = copied.copy.apply_changes(epoch, base, after_seq, last_seq, digest, &changes);
                self.counters.diverged += u64::from(result == ApplyResult::Diverged);
                self.send_status(stream, out);
            }
            Message::SnapshotChunk {
                stream,
                epoch,
                snapshot_seq,
                head_seq,
                after_key,
                last_key,
                entries,
            } => {
                if self.own.contains_key(&stream) || self.exceeds_max_keys(entries.len()) {
                    return;
                }
                let unknown = Position::default();
                let Some(copied) = self.accept_writer(now_ms, stream, epoch, sender, unknown, out) else {
                    return;
                };
                copied.copy.apply_snapshot_chunk(epoch, snapshot_seq, head_seq, after_key, last_key, entries);
                self.send_status(stream, out);
            }
            Message::Placement { stream, epoch, followers, grantor_set } => {
                if !grantor_set.is_valid() || followers.len() > MAX_NAMED_FRONTS {
                    self.counters.rejected += 1;
                } else if !self.own.contains_key(&stream) {
                    let unknown = Position::default();
                    if let Some(copied) = self.accept_writer(now_ms, stream, epoch, sender, unknown, out) {
                        (copied.followers, copied.grantor_set) = (followers, Some(grantor_set));
                    }
                }
            }
            Message::DropCopy { stream, epoch } => {
                if self.copies.get(&stream).is_some_and(|c| c.epoch <= epoch) {
                    self.copies.remove(&stream);
                }
            }
            Message::CopyStatus { stream, position, snapshot_progress } => {
                let Some(own) = self.own.get_mut(&stream) else { return };
                let Some(follower) = own.followers.get_mut(&sender) else { return };
                (follower.position, follower.snapshot_progress, follower.unanswered_since_ms) =
                    (Some(position), snapshot_progress, None);
                if own.lease.is_held(now_ms) {
                    self.send_next(now_ms, stream, sender, false, out);
                }
            }
            Message::Candidate { stream, position } => {
                let me = self.settings.me;
                let Some(copied) = self.copies.get_mut(&stream) else { return };
                // The better copy has precedence, then the lower front number.
                let own_position = copied.copy.position();
                match &mut copied.takeover {
                    Takeover::Announced { other_is_better, .. } => {
                        *other_is_better |= (position, me) > (own_position, sender);
                    }
                    Takeover::Requesting { .. } if position > own_position => {
                        let wait_ms = 3 * self.settings.lease_ms;
                        (copied.takeover, copied.deferred_until_ms) =
                            (Takeover::Idle, now_ms.saturating_add(wait_ms));
                    }
                    _ => {}
                }
                // The writer may have dropped the sender as a follower before it fell silent, so this front's
                // candidacy did not reach the sender: reply with the better position.
                if own_position.is_complete() && own_position > position {
                    self.send(sender, &Message::Candidate { stream, position: own_position }, out);
                }
            }
            Message::DeletedKeys { stream, after_seq, keys } => {
                let Some(own) = self.own.get_mut(&stream) else { return };
                for key in keys {
                    // Only keys that are still as the former writer left them are deleted, not those that
                    // this front wrote since.
                    if own.log.base().1 == after_seq && own.log.is_unchanged_since_base(key) {
                        own.log.remove(key);
                        self.stream_of.remove(&key);
                        out.push(Output::Deleted(stream, key));
                    }
                }
            }
            Message::LeaseRequest { stream, epoch, sent_ms, grantor_set, position, base, has_held } => {
                let request = LeaseRequest {
                    requester: sender,
                    epoch,
                    grantor_set: &grantor_set,
                    position,
                    base,
                    has_held,
                };
                let answer = self.answer_request(now_ms, stream, &request);
                if let Some(answer) = answer {
                    let run = self.settings.run;
                    self.send(sender, &Message::LeaseReply { stream, sent_ms, run, answer }, out);
                }
            }
            Message::LeaseReply { stream, sent_ms, run, answer } => {
                self.handle_answer(now_ms, stream, (sender, run), sent_ms, answer, out);
            }
        }
    }

    /// Returns whether `more` keys would exceed the limit for all copies together, and counts the message as
    /// rejected then. Changes of existing keys count as new ones.
    fn exceeds_max_keys(&mut self, more: usize) -> bool {
        let exceeds = more > 0 && more + self.copies.values().map(|c| c.copy.len()).sum::<usize>() > MAX_KEYS;
        self.counters.rejected += u64::from(exceeds);
        exceeds
    }

    /// Returns the copy of a stream for a message from its writer under this epoch, creating it if necessary;
    /// `None` if the message is from an earlier writer. `base` is the position that the writer continued
    /// from.
    fn accept_writer(
        &mut self,
        now_ms: u64,
        stream: StreamId,
        epoch: u32,
        writer: u64,
        base: Position,
        out: &mut Vec<Output>,
    ) -> Option<&mut CopiedStream> {
        if let Some(own) = self.own.get(&stream) {
            if !own.is_superseded_by(now_ms, epoch) {
                return None;
            }
            self.lose_stream(now_ms, stream, Some((writer, base)), out);
        }
        if !self.copies.contains_key(&stream) {
            if self.copies.len() >= MAX_COPIES {
                self.counters.rejected += 1;
                return None;
            }
            let new = CopiedStream {
                copy: LogCopy::default(),
                epoch,
                writer,
                followers: Vec::new(),
                grantor_set: None,
                last_heard_ms: now_ms,
                takeover: Takeover::Idle,
                highest_epoch: epoch,
                deferred_until_ms: 0,
            };
            self.copies.insert(stream, new);
        }
        let copied = self.copies.get_mut(&stream)?;
        if epoch < copied.epoch || (epoch == copied.epoch && writer != copied.writer) {
            self.counters.rejected += 1;
            return None;
        }
        (copied.epoch, copied.writer, copied.last_heard_ms, copied.takeover) =
            (epoch, writer, now_ms, Takeover::Idle);
        Some(copied)
    }

    fn send_status(&mut self, stream: StreamId, out: &mut Vec<Output>) {
        let Some(copied) = self.copies.get(&stream) else { return };
        let message = Message::CopyStatus {
            stream,
            position: copied.copy.position(),
            snapshot_progress: copied.copy.snapshot_progress(),
        };
        let writer = copied.writer;
        self.send(writer, &message, out);
    }

    /// Answers a lease request as grantor; `None` if this front is not a grantor of the stream, the grantor
    /// set is invalid, or the maximum number of grants is reached.
    fn answer_request(
        &mut self,
        now_ms: u64,
        stream: StreamId,
        request: &LeaseRequest,
    ) -> Option<LeaseAnswer> {
        let (me, grantor_set) = ((self.settings.me, self.settings.run), request.grantor_set);
        let is_named =
            grantor_set.grantors.contains(&me) || grantor_set.next.iter().flatten().any(|g| *g == me);
        let has_room = self.grants.contains_key(&stream) || self.grants.len() < MAX_GRANTS;
        if !is_named || !grantor_set.is_valid() || !has_room {
            self.counters.rejected += 1;
            return None;
        }
        let known = self.grants.entry(stream).or_default();
        Some(Grant::answer(known, now_ms, self.settings.lease_ms, request))
    }

    fn handle_answer(
        &mut self,
        now_ms: u64,
        stream: StreamId,
        grantor: GrantorId,
        sent_ms: u64,
        answer: LeaseAnswer,
        out: &mut Vec<Output>,
    ) {
        // An answer cannot belong to a request that was not sent yet.
        if sent_ms > now_ms {
            self.counters.rejected += 1;
            return;
        }
        if let Some(own) = self.own.get_mut(&stream) {
            match answer {
                LeaseAnswer::Granted { epoch, set_version, promised_next } if epoch == own.log.epoch() => {
                    own.lease.record_grant(grantor, sent_ms, set_version, promised_next);
                    own.update_has_held(now_ms);
                }
                // A grantor answers with a lower epoch only while that grant lasts: the other front holds the
                // lease now.
                LeaseAnswer::Denied { epoch, holder, base: Some(base) }
                    if holder != self.settings.me && own.is_superseded_by(now_ms, epoch) =>
                {
                    self.lose_stream(now_ms, stream, Some((holder, base)), out);
                }
                LeaseAnswer::Denied { epoch, .. } => {
                    own.contested_epoch = own.contested_epoch.max(epoch);
                }
                // The front that replaced the grantors holds the lease; the new grantors report which front
                // that is.
                LeaseAnswer::Reconfigured(grantor_set)
                    if own.is_newer_set(now_ms, &grantor_set) && grantor_set.is_valid() =>
                {
                    own.lease = Lease::new(own.log.epoch(), grantor_set, self.settings.lease_ms);
                }
                _ => {}
            }
            return;
        }
        let lease_ms = self.settings.lease_ms;
        let Some(copied) = self.copies.get_mut(&stream) else { return };
        let Takeover::Requesting { lease, defer, .. } = &mut copied.takeover else { return };
        match answer {
            LeaseAnswer::Granted { epoch, set_version, promised_next } if epoch == lease.epoch => {
                lease.record_grant(grantor, sent_ms, set_version, promised_next);
                if lease.is_held(now_ms) {
                    self.adopt(stream, out);
                }
            }
            LeaseAnswer::Denied { epoch, holder, base } => {
                copied.highest_epoch = copied.highest_epoch.max(epoch);
                // The writer, which has all entries, requests the lease again. Without a wait each of the two
                // fronts would hold grants that the other needs.
                *defer |= base.is_none() && holder == copied.writer;
                // A requester with a lower number has precedence; this front must not hold grants that it
                // needs.
                if base.is_none() && holder < self.settings.me {
                    (copied.takeover, copied.deferred_until_ms) = (Takeover::Idle, now_ms + 2 * lease_ms);
                }
            }
            // Another front has, or had, a better copy, and may not know of this candidate.
            LeaseAnswer::StaleCopy => *defer = true,
            LeaseAnswer::Reconfigured(grantor_set) => {
                let is_newer = (grantor_set.version, grantor_set.next.is_some())
                    > (lease.grantor_set().version, lease.grantor_set().next.is_some());
                if is_newer && grantor_set.is_valid() {
                    *lease = Lease::new(lease.epoch, grantor_set.clone(), lease_ms);
                    copied.grantor_set = Some(grantor_set);
                }
            }
            _ => {}
        }
    }

    /// Sends a message. A lease request to this front itself is answered at once; other messages to itself
    /// are dropped.
    fn send(&mut self, to: u64, message: &Message, out: &mut Vec<Output>) {
        if to == self.settings.me {
            if let Message::LeaseRequest { stream, epoch, sent_ms, grantor_set, position, base, has_held } =
                message
            {
                let request = LeaseRequest {
                    requester: to,
                    epoch: *epoch,
                    grantor_set,
                    position: *position,
                    base: *base,
                    has_held: *has_held,
                };
                if let Some(answer) = self.answer_request(*sent_ms, *stream, &request) {
                    let me = (to, self.settings.run);
                    self.handle_answer(*sent_ms, *stream, me, *sent_ms, answer, out);
                }
            }
            return;
        }
        let bytes = encode(message);
        self.counters.sent_messages += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Output::Send(to, bytes));
    }

    // ---- state for display ---------------------------------------------------------------------

    /// Totals since the start.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Keys of the streams that this front writes, including adopted ones.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        self.stream_of.keys().copied()
    }

    /// Keys in complete copies of other fronts' streams.
    #[must_use]
    pub fn copied_keys(&self) -> BTreeSet<Key> {
        let complete = self.copies.values().filter(|c| c.copy.position().is_complete());
        complete.flat_map(|c| c.copy.iter().map(|(key, _)| key)).collect()
    }

    /// The streams that this front writes or keeps copies of.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<StreamRow> {
        let own = self.own.iter().filter(|(_, own)| own.shared || !own.log.is_empty());
        let own = own.map(|(s, own)| {
            let is_held = own.lease.is_held(now_ms);
            let head_seq = own.log.head_seq();
            let lags =
                own.followers.values().map(|f| head_seq - f.position.map_or(0, |p| p.seq.min(head_seq)));
            StreamRow {
                front: s.front,
                run: s.run,
                shard: s.shard,
                generation: s.generation,
                epoch: own.log.epoch(),
                keys: own.log.len(),
                digest: keys_digest(own.log.iter().map(|(key, _)| key)),
                writer: self.settings.me,
                writable: !own.shared || is_held,
                fenced: own.shared && !is_held,
                max_lag: lags.max().unwrap_or(0),
            }
        });
        let copied = self.copies.iter().map(|(s, c)| StreamRow {
            front: s.front,
            run: s.run,
            shard: s.shard,
            generation: s.generation,
            epoch: c.epoch,
            keys: c.copy.len(),
            digest: keys_digest(c.copy.iter().map(|(key, _)| key)),
            writer: c.writer,
            writable: false,
            fenced: false,
            max_lag: 0,
        });
        own.chain(copied).collect()
    }
}

impl OwnStream {
    /// Records the present epoch as held if a majority has granted the lease.
    fn update_has_held(&mut self, now_ms: u64) {
        if self.lease.is_held(now_ms) {
            (self.has_held, self.last_held_epoch) = (true, self.log.epoch());
        }
    }

    /// Returns whether this front has to release the stream to a front that held its lease under `epoch`: a
    /// later epoch than this front's, or, while this front requests the lease again without success, a later
    /// epoch than the last one that it held itself. Without the second case it would stay fenced for as long
    /// as the other front lives.
    fn is_superseded_by(&self, now_ms: u64, epoch: u32) -> bool {
        let is_requesting = !self.has_held && !self.lease.is_held(now_ms);
        epoch > self.log.epoch() || (is_requesting && epoch > self.last_held_epoch)
    }

    /// Returns whether this front has to switch to `grantor_set`, which came after its own. The lease holder
    /// starts replacements itself and does not switch to a set in replacement; a front without the lease has
    /// to, because the grantors that it asks only refer it to the next set and do not report the holder.
    fn is_newer_set(&self, now_ms: u64, grantor_set: &GrantorSet) -> bool {
        let own_set = self.lease.grantor_set();
        let in_replacement =
            grantor_set.version == own_set.version && grantor_set.next.is_some() && own_set.next.is_none();
        grantor_set.version > own_set.version || (in_replacement && !self.lease.is_held(now_ms))
    }

    /// The position of a copy that has all changes.
    fn head_position(&self) -> Position {
        Position { completeness: Completeness::Complete, epoch: self.log.epoch(), seq: self.log.head_seq() }
    }

    /// The position that this writer continued from.
    fn base_position(&self) -> Position {
        let (epoch, seq) = self.log.base();
        let completeness = if self.log.epoch() > 0 { Completeness::Complete } else { Completeness::Partial };
        Position { completeness, epoch, seq }
    }

    /// The lowest position of all followers; the default position while any of them is not known to have a
    /// complete copy of this epoch.
    fn min_follower_position(&self) -> Position {
        let is_usable = |p: &Position| p.is_complete() && p.epoch == self.log.epoch();
        let positions = self.followers.values().map(|f| f.position.filter(is_usable).unwrap_or_default());
        positions.min().unwrap_or_default()
    }
}
