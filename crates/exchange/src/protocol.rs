//! The anti-entropy protocol: digests, pulls and pushes between fronts, within bounds on rate and size.

use crate::records::{Id, MergeResult, Record, Records, Version};
use crate::seal::{Keys, MAX_DATAGRAM_BYTES, Opened, Reject, Seal};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Settings of an exchange.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front's number, unique among the fronts.
    pub me: u64,
    /// Number of this run of the front; it must be higher at each start.
    pub run: u64,
    /// Keys that authenticate the datagrams.
    pub keys: Keys,
    /// Addresses of the other fronts.
    pub peers: Vec<SocketAddr>,
    /// Mean time between two rounds, milliseconds.
    pub period_ms: u64,
    /// Number of peers that receive a digest in a round.
    pub fanout: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// What the exchange returns to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram.
    Send(SocketAddr, Vec<u8>),
    /// This record is new or newer than the version held before.
    Changed(Record),
    /// A message of another protocol arrived in an authenticated datagram; see [`Exchange::send_on_channel`].
    Received {
        /// Address from which the datagram came.
        from: SocketAddr,
        /// Number of the front that sealed it.
        sender: u64,
        /// The sender's run.
        run: u64,
        /// Number of the channel.
        channel: u8,
        /// The message.
        content: Vec<u8>,
    },
    /// This front's run is this number from now on. The other fronts knew a later run: this front's clock was
    /// set back before a restart, or another front has the same name.
    RunRaised(u64),
}

/// Counts of datagrams and records since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Datagrams rejected, by reason.
    pub rejected: BTreeMap<&'static str, u64>,
    /// Records that were new or newer, including those created here.
    #[serde(rename = "records")]
    pub records_applied: u64,
}

/// The content of a datagram, encoded with postcard: the order of variants and fields is part of the wire
/// format.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// The versions of all the sender's records from `from` (`None`: the first) up to, but not including,
    /// `to` (`None`: the end).
    Digest { from: Option<Id>, to: Option<Id>, entries: Vec<(Id, Version)> },
    /// Requests these records.
    Pull(Vec<Id>),
    /// Delivers records.
    Push(Vec<Record>),
    /// A message of another protocol: channel number and content.
    Channel(u8, Vec<u8>),
    /// The receiver's datagrams are rejected because they belong to an earlier run than this one.
    StaleRun(u64),
}

/// Maximum number of entries of a digest: as many as fit into a datagram.
const MAX_DIGEST_ENTRIES: usize = 32;
/// Maximum number of ids in a pull.
const MAX_PULL_IDS: usize = 64;
/// Replies that one peer receives, per second.
const REPLIES_PER_SECOND: f64 = 32.0;
/// Replies that one peer receives at once.
const REPLY_BURST: f64 = 32.0;
/// Datagrams accepted from one sender, per second and at once.
const ACCEPTED_PER_SECOND: f64 = 128.0;
/// Maximum number of senders whose rate is tracked.
const MAX_TRACKED_SENDERS: usize = 2 * 1_024;
/// Maximum size of a message on a channel, bytes: a datagram less the seal and the header of the message.
pub const MAX_CHANNEL_MESSAGE_BYTES: usize = MAX_DATAGRAM_BYTES - 60;
/// How often this front raises its run, per minute and at once: two fronts with the same name would otherwise
/// raise each other's run without end.
const RUN_RAISES_PER_MINUTE: f64 = 4.0;
/// Maximum number of ephemeral records that wait to be forwarded.
const MAX_PENDING_EPHEMERAL: usize = 512;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// Takes a token if there is one.
    fn try_take(&mut self, now_ms: u64, tokens_per_second: f64, burst: f64) -> bool {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        (self.tokens, self.refilled_ms) =
            ((self.tokens + elapsed_s * tokens_per_second).min(burst), now_ms.max(self.refilled_ms));
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// One front's side of the exchange.
pub struct Exchange {
    settings: Settings,
    seal: Seal,
    records: Records,
    /// First id of the next digest.
    digest_start: Option<Id>,
    next_round_ms: Option<u64>,
    /// Limits of the replies, by address.
    reply_limits: BTreeMap<SocketAddr, TokenBucket>,
    /// Limits of the accepted datagrams, by number of the sender.
    sender_limits: BTreeMap<u64, TokenBucket>,
    rng: StdRng,
    counters: Counters,
    /// Ephemeral records received since the last tick; the next one forwards them.
    pending_ephemeral: Vec<Record>,
    run_raise_limit: TokenBucket,
}

impl Exchange {
    /// Creates an exchange that starts with the records of a store.
    #[must_use]
    pub fn new(settings: Settings, stored: Vec<Record>, now_ms: u64) -> Self {
        let mut records = Records::default();
        for record in stored {
            records.merge(now_ms, record);
        }
        Self {
            seal: Seal::new(settings.keys.clone(), settings.me, settings.run),
            rng: StdRng::seed_from_u64(settings.seed),
            records,
            digest_start: None,
            next_round_ms: None,
            reply_limits: BTreeMap::new(),
            sender_limits: BTreeMap::new(),
            counters: Counters::default(),
            pending_ephemeral: Vec::new(),
            run_raise_limit: TokenBucket { tokens: RUN_RAISES_PER_MINUTE, refilled_ms: now_ms },
            settings,
        }
    }

    /// The records held.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// Counts of datagrams and records since the start.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Replaces the peers' addresses, for example by those of the current members.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.reply_limits.retain(|address, _| peers.contains(address));
        self.settings.peers = peers;
    }

    /// This front's run, including any raise; see [`Output::RunRaised`].
    #[must_use]
    pub fn run(&self) -> u64 {
        self.settings.run
    }

    /// Sends a message of another protocol in an authenticated datagram, without delivery guarantee. Returns
    /// false, and sends nothing, if it is longer than [`MAX_CHANNEL_MESSAGE_BYTES`].
    pub fn send_on_channel(
        &mut self,
        to: SocketAddr,
        channel: u8,
        content: &[u8],
        out: &mut Vec<Output>,
    ) -> bool {
        let fits = content.len() <= MAX_CHANNEL_MESSAGE_BYTES;
        if fits {
            self.send(to, &Message::Channel(channel, content.to_vec()), out);
        }
        fits
    }

    /// Creates a new version of a record, one higher than the version held.
    pub fn put(
        &mut self,
        now_ms: u64,
        id: Id,
        expires_ms: u64,
        body: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> MergeResult {
        let counter = self.records.get(&id).map_or(0, |r| r.version.counter).saturating_add(1);
        let record = Record { id, version: Version { counter, author: self.settings.me }, expires_ms, body };
        let result = self.records.merge(now_ms, record.clone());
        if result == MergeResult::Applied {
            self.counters.records_applied += 1;
            // Pushes to a few peers at once; the rounds reach the others.
            let peers = self.random_peers(self.settings.fanout.max(1) * 2);
            for peer in peers {
                self.send(peer, &Message::Push(vec![record.clone()]), out);
            }
            out.push(Output::Changed(record));
        }
        result
    }

    /// When the next round is due, milliseconds; `None` before the first tick.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.next_round_ms
    }

    /// Forwards pending ephemeral records and, if a round is due, sends digests. The rounds of the fronts
    /// start at random points of the period and are jittered, so that they do not coincide.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let period = self.settings.period_ms.max(10);
        let due = *self.next_round_ms.get_or_insert(now_ms + self.rng.random_range(0..period));
        self.forward_ephemeral(now_ms, out);
        if now_ms < due {
            return;
        }
        let jitter = self.rng.random_range(0..=period / 4);
        self.next_round_ms = Some(now_ms + period - period / 8 + jitter);
        self.records.remove_expired(now_ms);
        let digest = self.next_digest();
        for peer in self.random_peers(self.settings.fanout) {
            self.send(peer, &digest, out);
        }
    }

    /// Forwards the ephemeral records received since the last tick, several per datagram.
    fn forward_ephemeral(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if self.pending_ephemeral.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.pending_ephemeral);
        for peer in self.random_peers(self.settings.fanout + 1) {
            self.push(now_ms, peer, records.clone(), out);
        }
    }

    fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut peers = self.settings.peers.clone();
        let (chosen, _) = peers.partial_shuffle(&mut self.rng, count);
        chosen.to_vec()
    }

    /// The digest of the next range of records. Successive digests cover all records, then start again.
    fn next_digest(&mut self) -> Message {
        let from = self.digest_start;
        let mut rest = self.records.from(from).filter(|r| !r.id.is_ephemeral());
        let entries: Vec<(Id, Version)> =
            rest.by_ref().take(MAX_DIGEST_ENTRIES).map(|r| (r.id, r.version)).collect();
        let to = rest.next().map(|r| r.id);
        self.digest_start = to;
        Message::Digest { from, to, entries }
    }

    fn send(&mut self, to: SocketAddr, message: &Message, out: &mut Vec<Output>) {
        // Every message of this module can be encoded.
        let Ok(content) = postcard::to_stdvec(message) else { return };
        let datagram = self.seal.seal(&content);
        debug_assert!(
            datagram.len() <= MAX_DATAGRAM_BYTES,
            "datagram of {} bytes, at most {MAX_DATAGRAM_BYTES} are allowed",
            datagram.len()
        );
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        out.push(Output::Send(to, datagram));
    }

    /// Sends a message to a peer, within the limit of replies.
    fn reply(&mut self, now_ms: u64, to: SocketAddr, message: &Message, out: &mut Vec<Output>) {
        // Only known peers receive replies, so that a forged source address does not attract traffic.
        if !self.settings.peers.contains(&to) {
            return;
        }
        let limit =
            self.reply_limits.entry(to).or_insert(TokenBucket { tokens: REPLY_BURST, refilled_ms: now_ms });
        if limit.try_take(now_ms, REPLIES_PER_SECOND, REPLY_BURST) {
            self.send(to, message, out);
        }
    }

    /// Handles a received datagram.
    ///
    /// # Errors
    /// Why the datagram was rejected. The rejection is counted; the caller does not need to act on it.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        datagram: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), Reject> {
        match self.open(now_ms, datagram) {
            Ok((sender, run, message)) => {
                self.counters.accepted += 1;
                self.handle(now_ms, from, (sender, run), message, out);
                Ok(())
            }
            Err(reason) => {
                // A front whose clock was set back before its restart is told the run that is known here. No
                // other rejected datagram is answered.
                if let Reject::StaleRun(known) = reason {
                    self.reply(now_ms, from, &Message::StaleRun(known), out);
                }
                let name = match reason {
                    Reject::Malformed => "form",
                    Reject::BadMac => "key",
                    Reject::Replayed | Reject::StaleRun(_) => "replay",
                    Reject::Undecodable => "content",
                    Reject::RateLimited => "rate",
                    Reject::OwnDatagram => "own",
                };
                *self.counters.rejected.entry(name).or_default() += 1;
                Err(reason)
            }
        }
    }

    /// Authenticates a datagram and decodes it; returns its sender, the sender's run and the message.
    fn open(&mut self, now_ms: u64, datagram: &[u8]) -> Result<(u64, u64, Message), Reject> {
        let Opened { sender, run, content } = self.seal.open(datagram)?;
        if self.sender_limits.len() > MAX_TRACKED_SENDERS {
            self.sender_limits.clear();
        }
        let limit = self
            .sender_limits
            .entry(sender)
            .or_insert(TokenBucket { tokens: ACCEPTED_PER_SECOND, refilled_ms: now_ms });
        if !limit.try_take(now_ms, ACCEPTED_PER_SECOND, ACCEPTED_PER_SECOND) {
            return Err(Reject::RateLimited);
        }
        Ok((sender, run, postcard::from_bytes(content).map_err(|_| Reject::Undecodable)?))
    }

    fn handle(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        (sender, run): (u64, u64),
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Digest { from: start, to: end, entries } => {
                let theirs: BTreeMap<Id, Version> = entries.into_iter().take(MAX_DIGEST_ENTRIES).collect();
                let newer_there = |id: &Id, version: &Version| {
                    self.records.get(id).is_none_or(|held| held.version < *version)
                };
                let wanted: Vec<Id> = theirs
                    .iter()
                    .filter(|(id, version)| newer_there(id, version))
                    .map(|(id, _)| *id)
                    .take(MAX_PULL_IDS)
                    .collect();
                let held = self.records.from(start).filter(|r| !r.id.is_ephemeral());
                let held = held.take_while(|r| end.is_none_or(|end| r.id < end));
                let newer_here: Vec<Record> = held
                    .filter(|r| theirs.get(&r.id).is_none_or(|version| *version < r.version))
                    .cloned()
                    .collect();
                if !wanted.is_empty() {
                    self.reply(now_ms, from, &Message::Pull(wanted), out);
                }
                self.push(now_ms, from, newer_here, out);
            }
            Message::Pull(ids) => {
                let records =
                    ids.iter().take(MAX_PULL_IDS).filter_map(|id| self.records.get(id)).cloned().collect();
                self.push(now_ms, from, records, out);
            }
            Message::Push(records) => {
                for record in records {
                    if self.records.merge(now_ms, record.clone()) == MergeResult::Applied {
                        self.counters.records_applied += 1;
                        if record.id.is_ephemeral() {
                            // Ephemeral records are many: the next tick forwards them together. When the
                            // queue is full, this record replaces the last one.
                            self.pending_ephemeral.truncate(MAX_PENDING_EPHEMERAL - 1);
                            self.pending_ephemeral.push(record.clone());
                            out.push(Output::Changed(record));
                            continue;
                        }
                        // Forwarding a new record once to a few peers reaches most fronts within a few
                        // network delays; the rounds reach the others.
                        for peer in self.random_peers(self.settings.fanout + 1) {
                            if peer != from {
                                self.reply(now_ms, peer, &Message::Push(vec![record.clone()]), out);
                            }
                        }
                        out.push(Output::Changed(record));
                    }
                }
            }
            Message::Channel(channel, content) => {
                out.push(Output::Received { from, sender, run, channel, content });
            }
            Message::StaleRun(known) => {
                if known > self.settings.run
                    && self.run_raise_limit.try_take(
                        now_ms,
                        RUN_RAISES_PER_MINUTE / 60.0,
                        RUN_RAISES_PER_MINUTE,
                    )
                {
                    self.settings.run = known.saturating_add(1);
                    self.seal.raise_run(self.settings.run);
                    out.push(Output::RunRaised(self.settings.run));
                }
            }
        }
    }

    /// Sends records to a peer, as many per datagram as fit, within the limit of replies.
    fn push(&mut self, now_ms: u64, to: SocketAddr, records: Vec<Record>, out: &mut Vec<Output>) {
        /// Bytes that a record takes in addition to its body, at most.
        const RECORD_OVERHEAD_BYTES: usize = 48;
        /// Bytes of a datagram that are available for records.
        const RECORDS_BYTES: usize = MAX_DATAGRAM_BYTES - 80;
        let (mut batch, mut batch_bytes) = (Vec::new(), 0);
        for record in records {
            let record_bytes = record.body.len() + RECORD_OVERHEAD_BYTES;
            if batch_bytes + record_bytes > RECORDS_BYTES && !batch.is_empty() {
                self.reply(now_ms, to, &Message::Push(std::mem::take(&mut batch)), out);
                batch_bytes = 0;
            }
            batch_bytes += record_bytes;
            batch.push(record);
        }
        if !batch.is_empty() {
            self.reply(now_ms, to, &Message::Push(batch), out);
        }
    }
}

#[cfg(test)]
mod tests;
