//! The exchange itself: digests, pulls, pushes, and how much of them.

use crate::records::{Id, MergeResult, Record, Records, Version};
use crate::seal::{Keys, MOST_DATAGRAM, Reject, Seal};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What an exchange is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front's number; no other has it.
    pub me: u64,
    /// Higher at each start.
    pub run: u64,
    /// Keys.
    pub keys: Keys,
    /// The others.
    pub peers: Vec<SocketAddr>,
    /// Time between two rounds, milliseconds.
    pub period_ms: u64,
    /// Others that are told in a round.
    pub fanout: usize,
    /// Seed of its choices.
    pub seed: u64,
}

/// What comes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram.
    Send(SocketAddr, Vec<u8>),
    /// A record is new or newer.
    Changed(Record),
    /// A message of another matter came along in a sealed datagram: who sent it, in which run of theirs.
    Received {
        /// Where it came from.
        from: SocketAddr,
        /// Number of the front that sealed it.
        sender: u64,
        /// Its run.
        run: u64,
        /// The matter; see [`Exchange::send_on_channel`].
        channel: u8,
        /// What it says.
        content: Vec<u8>,
    },
    /// The others know a later run of this front than its own (its clock went back over a restart); this is its
    /// run from now on.
    RunRaised(u64),
}

/// What was sent, taken and thrown away.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams taken.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Thrown away, by reason.
    pub rejected: BTreeMap<&'static str, u64>,
    /// Records that were new or newer.
    #[serde(rename = "records")]
    pub records_applied: u64,
}

#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// All records between two ids (the second left out; `None` is the end) have these versions.
    Digest { from: Option<Id>, to: Option<Id>, entries: Vec<(Id, Version)> },
    /// These are wanted.
    Pull(Vec<Id>),
    /// Records.
    Push(Vec<Record>),
    /// A message of another matter, handed on as it is.
    Channel(u8, Vec<u8>),
    /// The receiver's datagrams are thrown away, since they belong to an earlier run than this one.
    StaleRun(u64),
}

/// Entries of a digest: they fill a datagram.
const DIGEST: usize = 32;
const PULL: usize = 64;
/// Answers to one peer a second, and at once.
const RATE: f64 = 32.0;
const BURST: f64 = 32.0;
/// Datagrams taken from one peer a second, and at once.
const TAKEN_RATE: f64 = 128.0;
/// Bytes of a lane's message at most: what a datagram has beside its seal and the message's own head.
pub const MAX_CHANNEL_MESSAGE_BYTES: usize = MOST_DATAGRAM - 60;
/// Runs that a front raises on the word of others, in a minute: two fronts of one name would go on for ever.
const RAISES: f64 = 4.0;
/// Records of soft spaces that wait to be passed on, at most.
const MOST_SOFT: usize = 512;

/// A bound on how much passes in a time.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    left: f64,
    at_ms: u64,
}

impl Bucket {
    fn take(&mut self, now_ms: u64, rate: f64, burst: f64) -> bool {
        let passed = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        (self.left, self.at_ms) = ((self.left + passed * rate).min(burst), now_ms.max(self.at_ms));
        let free = self.left >= 1.0;
        if free {
            self.left -= 1.0;
        }
        free
    }
}

/// One front's side of the exchange.
pub struct Exchange {
    settings: Settings,
    seal: Seal,
    records: Records,
    /// Where the next digest begins.
    cursor: Option<Id>,
    next_ms: Option<u64>,
    answers: BTreeMap<SocketAddr, Bucket>,
    taken: BTreeMap<u64, Bucket>,
    rng: StdRng,
    counters: Counters,
    /// Soft records that were learned and are passed on with the next tick.
    soft: Vec<Record>,
    raises: Bucket,
}

impl Exchange {
    /// An exchange that holds what a store kept.
    #[must_use]
    pub fn new(settings: Settings, kept: Vec<Record>, now_ms: u64) -> Self {
        let mut records = Records::default();
        for record in kept {
            records.merge(now_ms, record);
        }
        Self {
            seal: Seal::new(settings.keys.clone(), settings.me, settings.run),
            rng: StdRng::seed_from_u64(settings.seed),
            records,
            cursor: None,
            next_ms: None,
            answers: BTreeMap::new(),
            taken: BTreeMap::new(),
            counters: Counters::default(),
            soft: Vec::new(),
            raises: Bucket { left: RAISES, at_ms: now_ms },
            settings,
        }
    }

    /// What is held.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.records
    }

    /// What was sent, taken and thrown away.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The others, from now on: those of the settings, and whoever is found to be there.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.answers.retain(|at, _| peers.contains(at));
        self.settings.peers = peers;
    }

    /// This front's run, as the others must take it.
    #[must_use]
    pub fn run(&self) -> u64 {
        self.settings.run
    }

    /// Sends a message of another matter under the same seal; false where it is too long. It may be lost.
    pub fn send_on_channel(
        &mut self,
        to: SocketAddr,
        lane: u8,
        content: &[u8],
        out: &mut Vec<Output>,
    ) -> bool {
        let fits = content.len() <= MAX_CHANNEL_MESSAGE_BYTES;
        if fits {
            self.send(to, &Message::Channel(lane, content.to_vec()), out);
        }
        fits
    }

    /// A new version of a record, made here: one more than the one that is held.
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
        let merge = self.records.merge(now_ms, record.clone());
        if merge == MergeResult::Applied {
            self.counters.records_applied += 1;
            // Whoever can be reached hears at once; the rounds are for the rest.
            let peers = self.some_peers(self.settings.fanout.max(1) * 2);
            for peer in peers {
                self.send(peer, &Message::Push(vec![record.clone()]), out);
            }
            out.push(Output::Changed(record));
        }
        merge
    }

    /// When a round is due, milliseconds.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.next_ms
    }

    /// Begins a round if one is due. Rounds of the fronts are spread by chance over the period.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let period = self.settings.period_ms.max(10);
        let due = *self.next_ms.get_or_insert(now_ms + self.rng.random_range(0..period));
        self.pass_on(now_ms, out);
        if now_ms < due {
            return;
        }
        let jitter = self.rng.random_range(0..=period / 4);
        self.next_ms = Some(now_ms + period - period / 8 + jitter);
        self.records.sweep(now_ms);
        let digest = self.digest();
        for peer in self.some_peers(self.settings.fanout) {
            self.send(peer, &digest, out);
        }
    }

    /// Passes soft records on that were learned since the last tick, many to a datagram.
    fn pass_on(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if self.soft.is_empty() {
            return;
        }
        let soft = std::mem::take(&mut self.soft);
        for peer in self.some_peers(self.settings.fanout + 1) {
            self.push(now_ms, peer, soft.clone(), out);
        }
    }

    fn some_peers(&mut self, most: usize) -> Vec<SocketAddr> {
        let mut peers = self.settings.peers.clone();
        let (some, _) = peers.partial_shuffle(&mut self.rng, most);
        some.to_vec()
    }

    /// The next stretch of records; the whole of them is told in as many rounds as it takes.
    fn digest(&mut self) -> Message {
        let from = self.cursor;
        let mut rest = self.records.from(from).filter(|r| !r.id.is_ephemeral());
        let entries: Vec<(Id, Version)> = rest.by_ref().take(DIGEST).map(|r| (r.id, r.version)).collect();
        let to = rest.next().map(|r| r.id);
        self.cursor = to;
        Message::Digest { from, to, entries }
    }

    fn send(&mut self, to: SocketAddr, message: &Message, out: &mut Vec<Output>) {
        // What cannot be written is no message of this module.
        let Ok(content) = postcard::to_stdvec(message) else { return };
        let datagram = self.seal.seal(&content);
        debug_assert!(datagram.len() <= MOST_DATAGRAM, "{} bytes", datagram.len());
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        out.push(Output::Send(to, datagram));
    }

    /// An answer to a peer, within its bound.
    fn reply(&mut self, now_ms: u64, to: SocketAddr, message: &Message, out: &mut Vec<Output>) {
        // Only the peers of the settings are answered: an address that was made up has none.
        if !self.settings.peers.contains(&to) {
            return;
        }
        let bucket = self.answers.entry(to).or_insert(Bucket { left: BURST, at_ms: now_ms });
        if bucket.take(now_ms, RATE, BURST) {
            self.send(to, message, out);
        }
    }

    /// Takes a datagram in.
    ///
    /// # Errors
    /// Why it was thrown away; that is counted, and of no further consequence.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        datagram: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), Reject> {
        let taken = self.open(now_ms, datagram);
        match taken {
            Ok((sender, run, message)) => {
                self.counters.accepted += 1;
                self.answer(now_ms, from, (sender, run), message, out);
                Ok(())
            }
            Err(why) => {
                // A front that came back with its clock behind is told so; anything else gets no answer.
                if let Reject::StaleRun(known) = why {
                    self.reply(now_ms, from, &Message::StaleRun(known), out);
                }
                let name = match why {
                    Reject::Malformed => "form",
                    Reject::BadMac => "key",
                    Reject::Replayed | Reject::StaleRun(_) => "replay",
                    Reject::Undecodable => "content",
                    Reject::RateLimited => "rate",
                    Reject::OwnDatagram => "own",
                };
                *self.counters.rejected.entry(name).or_default() += 1;
                Err(why)
            }
        }
    }

    fn open(&mut self, now_ms: u64, datagram: &[u8]) -> Result<(u64, u64, Message), Reject> {
        let (sender, run, content) = self.seal.open(datagram)?;
        if self.taken.len() > 2 * 1_024 {
            self.taken.clear();
        }
        let bucket = self.taken.entry(sender).or_insert(Bucket { left: TAKEN_RATE, at_ms: now_ms });
        if !bucket.take(now_ms, TAKEN_RATE, TAKEN_RATE) {
            return Err(Reject::RateLimited);
        }
        Ok((sender, run, postcard::from_bytes(content).map_err(|_| Reject::Undecodable)?))
    }

    fn answer(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        (sender, run): (u64, u64),
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Digest { from: low, to: high, entries } => {
                let theirs: BTreeMap<Id, Version> = entries.into_iter().take(DIGEST).collect();
                let newer = |id: &Id, v: &Version| self.records.get(id).is_none_or(|r| r.version < *v);
                let wanted: Vec<Id> =
                    theirs.iter().filter(|(id, v)| newer(id, v)).map(|(id, _)| *id).take(PULL).collect();
                let here = self.records.from(low).filter(|r| !r.id.is_ephemeral());
                let here = here.take_while(|r| high.is_none_or(|h| r.id < h));
                let ours: Vec<Record> =
                    here.filter(|r| theirs.get(&r.id).is_none_or(|v| *v < r.version)).cloned().collect();
                if !wanted.is_empty() {
                    self.reply(now_ms, from, &Message::Pull(wanted), out);
                }
                self.push(now_ms, from, ours, out);
            }
            Message::Pull(ids) => {
                let ours = ids.iter().take(PULL).filter_map(|id| self.records.get(id)).cloned().collect();
                self.push(now_ms, from, ours, out);
            }
            Message::Push(records) => {
                for record in records {
                    if self.records.merge(now_ms, record.clone()) == MergeResult::Applied {
                        self.counters.records_applied += 1;
                        if record.id.is_ephemeral() {
                            // It will soon be out of date, and there are many: they travel together.
                            self.soft.truncate(MOST_SOFT - 1);
                            self.soft.push(record.clone());
                            out.push(Output::Changed(record));
                            continue;
                        }
                        // Whoever learns something tells a few others, once: that reaches most within a few
                        // datagrams' time, and the rounds reach the rest.
                        for peer in self.some_peers(self.settings.fanout + 1) {
                            if peer != from {
                                self.reply(now_ms, peer, &Message::Push(vec![record.clone()]), out);
                            }
                        }
                        out.push(Output::Changed(record));
                    }
                }
            }
            Message::Channel(lane, content) => {
                out.push(Output::Received { from, sender, run, channel: lane, content })
            }
            Message::StaleRun(known) => {
                if known > self.settings.run && self.raises.take(now_ms, RAISES / 60.0, RAISES) {
                    self.settings.run = known.saturating_add(1);
                    self.seal.raise(self.settings.run);
                    out.push(Output::RunRaised(self.settings.run));
                }
            }
        }
    }

    /// Sends records, as many to a datagram as fit.
    fn push(&mut self, now_ms: u64, to: SocketAddr, records: Vec<Record>, out: &mut Vec<Output>) {
        /// What a record takes beside its body, and what a datagram has for records.
        const AROUND: usize = 48;
        const ROOM: usize = MOST_DATAGRAM - 80;
        let (mut batch, mut bytes) = (Vec::new(), 0);
        for record in records {
            let size = record.body.len() + AROUND;
            if bytes + size > ROOM && !batch.is_empty() {
                self.reply(now_ms, to, &Message::Push(std::mem::take(&mut batch)), out);
                bytes = 0;
            }
            bytes += size;
            batch.push(record);
        }
        if !batch.is_empty() {
            self.reply(now_ms, to, &Message::Push(batch), out);
        }
    }
}

#[cfg(test)]
mod tests;
