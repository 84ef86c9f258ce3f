//! One front's part: what it writes, what it keeps for others, what it guards.

use crate::lease::{Answer, Config, Guard, Guardian, MOST_NAMED, Question, Tenure};
use crate::log::{Applied, Copy, Grade, Key, Log, Position};
use crate::place::{Peer, holders, wanted_guards};
use crate::wire::{Message, StreamId, decode, encode};
use serde::Serialize;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Parts of a front's sessions: each has copies elsewhere, so that a death is shared by several.
const SHARDS: u8 = 4;
/// Bytes of a body at most.
const MOST_BODY: usize = 512;
/// Bytes of changes in one message.
const ROOM: usize = 800;
/// A message with changes that was not answered is sent again after this, milliseconds.
const RESEND_MS: u64 = 300;
/// Streams of others that are kept at most, guards' memories apart, and keys in all of them.
const MOST_HELD: usize = 2_048;
const MOST_KEYS: usize = 131_072;
/// Streams that are guarded at most.
const MOST_GUARDED: usize = 16_384;
/// A copy whose writer is silent for so long, without anyone to go on, is let go; milliseconds.
const COPY_LASTS_MS: u64 = 600_000;
/// Guards forget a stream so long after its grant ended, and no holder asks again after half of it; milliseconds.
const GUARD_LASTS_MS: u64 = 600_000;
/// Ends that a former writer tells the next one: keys at most, keys in a message, and how often they are told.
const MOST_ENDED: usize = 1_024;
const ENDED_EACH: usize = 80;
const ENDED_LOOKS: u8 = 5;
/// Fronts that left the view are remembered so long, milliseconds, and so many of them.
const GONE_LASTS_MS: u64 = 600_000;
const MOST_GONE: usize = 256;
/// A digest is told every so many looks.
const DIGEST_EACH: u64 = 5;

/// What a front is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front's number.
    pub me: u64,
    /// Higher at each start.
    pub run: u64,
    /// Its zone.
    pub zone: u16,
    /// Copies of each stream beside the writer's.
    pub copies: usize,
    /// Guards of each stream; an odd number.
    pub guards: usize,
    /// A grant lasts so long, milliseconds.
    pub lease_ms: u64,
    /// Time between two looks at each stream, milliseconds; well under the lease.
    pub period_ms: u64,
    /// Bytes of changes and copies a second.
    pub bytes_per_s: u64,
}

/// Why a body was not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// It is too long.
    #[error("a body holds more than 512 bytes")]
    Long,
    /// There is no room.
    #[error("no room for more keys")]
    Full,
}

/// What comes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Send this to that front.
    Send(u64, Vec<u8>),
    /// This front goes on with a stream: these are its keys and bodies.
    Adopted(StreamId, Vec<(Key, Vec<u8>)>),
    /// Another front goes on with a stream: this one has nothing more to do with these keys.
    Lost(StreamId, Vec<Key>),
    /// A key of an adopted stream had ended before its front was lost.
    Ended(StreamId, Key),
}

/// What was done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Messages sent, and their bytes.
    pub sent: u64,
    /// Bytes of them.
    pub sent_bytes: u64,
    /// Messages that made no sense or came from the wrong front.
    pub refused: u64,
    /// Wholes that were begun for copies that could not go on by changes.
    pub wholes: u64,
    /// Streams that were adopted here.
    pub adopted: u64,
    /// Streams that were lost to another front.
    pub lost: u64,
    /// Copies that said otherwise than their writer at the same position.
    pub differed: u64,
}

/// One stream, for display.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StreamRow {
    /// Number of the front that began it.
    pub front: u64,
    /// Its run then.
    pub run: u64,
    /// Shard.
    pub shard: u8,
    /// How often the shard had to be begun anew.
    pub turn: u32,
    /// Epoch.
    pub epoch: u32,
    /// Keys.
    pub keys: usize,
    /// The sum of all keys' hashes modulo 2^64, in hex: a copy with the same keys has the same, and streams' sums add up
    /// to that of all their keys, wherever each is.
    pub digest: String,
    /// Who writes it, as far as is known here.
    pub writer: u64,
    /// It is written here, and may be now.
    pub writes: bool,
    /// It is written here but the lease has run out.
    pub fenced: bool,
    /// Changes that the copy furthest behind lacks.
    pub behind: u64,
}

/// A holder of a copy, as its writer sees it.
#[derive(Clone, Debug, Default)]
struct Sent {
    at: Option<Position>,
    taking: Option<(u64, Option<Key>)>,
    /// A message with changes went then and was not answered.
    waits_since: Option<u64>,
}

struct Own {
    log: Log,
    tenure: Tenure,
    /// A copy was offered to others: from then on the lease decides.
    offered: bool,
    to: BTreeMap<u64, Sent>,
    looks: u64,
    /// Since when it is not held.
    lapsed: Option<u64>,
    /// It was held under this epoch.
    writes: bool,
    /// The last epoch under which it was held: whoever holds it under a later one went on after this front.
    held_under: u32,
    /// The highest epoch under which somebody claims it who has not been seen to hold it.
    contested: u32,
}

enum Claim {
    Quiet,
    /// The others who hold copies were told where this one stands; whether one of them stands further.
    Bidding(u64, bool),
    /// The guards are asked since then; whether another ought to come first, if it does not come to it.
    Asking(u64, Tenure, bool),
}

struct Held {
    copy: Copy,
    epoch: u32,
    writer: u64,
    holders: Vec<u64>,
    config: Option<Config>,
    heard_ms: u64,
    claim: Claim,
    /// The next claim's epoch is above this.
    above: u32,
    /// Another goes first: no claim before this.
    yields_ms: u64,
}

/// One front's part.
pub struct Replica {
    settings: Settings,
    view: BTreeMap<u64, Peer>,
    /// Fronts that left the view, and when.
    gone: BTreeMap<u64, (Peer, u64)>,
    own: BTreeMap<StreamId, Own>,
    /// The stream that takes new keys, by shard.
    current: Vec<StreamId>,
    place: BTreeMap<Key, StreamId>,
    held: BTreeMap<StreamId, Held>,
    guarded: BTreeMap<StreamId, Option<Guard>>,
    /// Ends that the writer after this front is still to be told: the stream, that writer, the position that it went on
    /// from, the keys, and how often more.
    ended: Vec<(StreamId, u64, u64, Vec<Key>, u8)>,
    budget: u64,
    ticked_ms: u64,
    looked_ms: u64,
    counters: Counters,
}

pub(crate) fn shard(key: Key) -> u8 {
    let mut hash = SipHasher13::new();
    hash.write_u64(key);
    (hash.finish() % u64::from(SHARDS)) as u8
}

fn sum_of(keys: impl Iterator<Item = Key>) -> String {
    let hashes = keys.map(|key| {
        let mut hash = SipHasher13::new();
        hash.write_u64(key);
        hash.finish()
    });
    format!("{:016x}", hashes.fold(0u64, u64::wrapping_add))
}

impl Replica {
    /// A front that holds nothing. `now_ms` is its own monotonic clock.
    #[must_use]
    pub fn new(settings: Settings, now_ms: u64) -> Self {
        let mut new = Self {
            view: BTreeMap::new(),
            gone: BTreeMap::new(),
            own: BTreeMap::new(),
            current: Vec::new(),
            place: BTreeMap::new(),
            held: BTreeMap::new(),
            guarded: BTreeMap::new(),
            ended: Vec::new(),
            budget: settings.bytes_per_s,
            ticked_ms: now_ms,
            looked_ms: now_ms,
            counters: Counters::default(),
            settings,
        };
        new.view.insert(new.settings.me, Peer { run: new.settings.run, zone: new.settings.zone });
        for shard in 0..SHARDS {
            let (front, run) = (new.settings.me, new.settings.run);
            let stream = StreamId { front, run, shard, turn: 0 };
            new.begin(stream);
            new.current.push(stream);
        }
        new
    }

    fn begin(&mut self, stream: StreamId) {
        let config = Config { number: 0, guards: self.wanted_guards(stream, &[]), next: None };
        let tenure = Tenure::new(0, config, self.settings.lease_ms);
        let log = Log::default();
        let to = BTreeMap::new();
        let own = Own {
            log,
            tenure,
            offered: false,
            to,
            looks: 0,
            lapsed: None,
            writes: false,
            held_under: 0,
            contested: 0,
        };
        self.own.insert(stream, own);
    }

    fn wanted_guards(&self, stream: StreamId, now: &[Guardian]) -> Vec<Guardian> {
        let gone = self.gone.iter().map(|(front, (peer, _))| (*front, *peer)).collect();
        wanted_guards(stream, &self.view, &gone, now, self.settings.guards)
    }

    // ---- what this front holds -----------------------------------------------------------------

    /// Keeps a body under a key.
    ///
    /// # Errors
    /// When it is too long, or there is no room.
    pub fn put(&mut self, now_ms: u64, key: Key, body: Vec<u8>) -> Result<(), Refused> {
        if body.len() > MOST_BODY {
            return Err(Refused::Long);
        }
        let known = self.place.get(&key).copied().filter(|s| self.own.contains_key(s));
        if known.is_none() && self.place.len() >= MOST_KEYS {
            return Err(Refused::Full);
        }
        let stream = known.unwrap_or_else(|| self.stream_for(now_ms, shard(key)));
        self.place.insert(key, stream);
        let Some(own) = self.own.get_mut(&stream) else { return Err(Refused::Full) };
        own.log.put(key, body);
        Ok(())
    }

    /// The stream that takes new keys of a shard. One that was offered and is not held now may be another's already: a
    /// new one is begun beside it, of which nobody has a copy.
    fn stream_for(&mut self, now_ms: u64, shard: u8) -> StreamId {
        let stream = self.current[usize::from(shard)];
        let fenced = self.own.get(&stream).is_none_or(|own| own.offered && !own.tenure.holds(now_ms));
        if !fenced {
            return stream;
        }
        let next = StreamId { turn: stream.turn.wrapping_add(1), ..stream };
        self.begin(next);
        self.current[usize::from(shard)] = next;
        next
    }

    /// Lets go of a key.
    pub fn remove(&mut self, key: Key) {
        if let Some(own) = self.place.remove(&key).and_then(|stream| self.own.get_mut(&stream)) {
            own.log.remove(key);
        }
    }

    /// Whether this front may act on a key now: it holds it, and nobody else can.
    #[must_use]
    pub fn may_act(&self, now_ms: u64, key: Key) -> bool {
        let own = self.place.get(&key).and_then(|stream| self.own.get(stream));
        own.is_some_and(|own| !own.offered || own.tenure.holds(now_ms))
    }

    // ---- the view ------------------------------------------------------------------------------

    /// The fronts that are there, by number; this one counts among them whether it is named or not.
    pub fn set_view(&mut self, view: BTreeMap<u64, Peer>) {
        let before = std::mem::replace(&mut self.view, view);
        for (front, peer) in before.into_iter().filter(|(front, _)| !self.view.contains_key(front)) {
            if self.gone.len() < MOST_GONE {
                self.gone.insert(front, (peer, self.ticked_ms));
            }
        }
        self.gone.retain(|front, _| !self.view.contains_key(front));
        self.view.insert(self.settings.me, Peer { run: self.settings.run, zone: self.settings.zone });
        // What was never offered has no guards yet whom anybody asked.
        let bare: Vec<StreamId> =
            self.own.iter().filter(|(_, own)| !own.offered && own.looks == 0).map(|(s, _)| *s).collect();
        for stream in bare {
            let config = Config { number: 0, guards: self.wanted_guards(stream, &[]), next: None };
            if let Some(own) = self.own.get_mut(&stream) {
                own.tenure = Tenure::new(0, config, self.settings.lease_ms);
            }
        }
    }

    /// This front's run is a later one now: as a guard it counts as another from here on.
    pub fn raise(&mut self, run: u64) {
        self.settings.run = run;
        self.view.insert(self.settings.me, Peer { run, zone: self.settings.zone });
    }

    // ---- time ----------------------------------------------------------------------------------

    /// Time passes. To be called every twenty milliseconds or so.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let passed = now_ms.saturating_sub(self.ticked_ms).min(1_000);
        self.ticked_ms = now_ms;
        self.budget =
            (self.budget + self.settings.bytes_per_s * passed / 1_000).min(self.settings.bytes_per_s);
        let look = now_ms >= self.looked_ms.saturating_add(self.settings.period_ms);
        if look {
            self.looked_ms = now_ms;
        }
        let streams: Vec<StreamId> = self.own.keys().copied().collect();
        for stream in streams {
            if look {
                self.look(now_ms, stream, out);
            }
            self.spread(now_ms, stream, look, out);
        }
        let held: Vec<StreamId> = self.held.keys().copied().collect();
        held.into_iter().for_each(|stream| self.watch(now_ms, stream, look, out));
        if look {
            self.tell_ended(out);
            self.gone.retain(|_, (_, since)| since.saturating_add(GONE_LASTS_MS) > now_ms);
            self.guarded.retain(|_, g| g.as_ref().is_some_and(|g| !g.is_over(now_ms, GUARD_LASTS_MS)));
        }
    }

    /// Asks the guards of an own stream, and sees to its guards and its end.
    fn look(&mut self, now_ms: u64, stream: StreamId, out: &mut Vec<Out>) {
        let guards = self.own.get(&stream).map(|own| own.tenure.config().guards.clone()).unwrap_or_default();
        let wanted = self.wanted_guards(stream, &guards);
        let current = self.current.contains(&stream);
        let Some(own) = self.own.get_mut(&stream) else { return };
        if own.log.is_empty() && !own.offered {
            if !current {
                self.own.remove(&stream);
            }
            return;
        }
        if own.log.is_empty() && !current && own.tenure.holds(now_ms) {
            // All that was adopted, or left over, has ended: copies are let go, guards forget by themselves.
            let (epoch, to) = (own.log.epoch(), own.to.keys().copied().collect::<Vec<_>>());
            self.own.remove(&stream);
            to.into_iter().for_each(|front| self.send(front, &Message::Forget { stream, epoch }, out));
            return;
        }
        own.looks += 1;
        let holds = own.tenure.holds(now_ms);
        own.lapsed = if holds { None } else { own.lapsed.or(Some(now_ms)) };
        if own.offered && own.lapsed.is_some_and(|since| since + GUARD_LASTS_MS / 2 <= now_ms) {
            // The guards may forget it soon, and then they could not tell this holder from a new one.
            return self.lose(now_ms, stream, None, out);
        }
        own.note_held(now_ms);
        // Whoever claimed it has not come to hold it: this front claims it back, with all that it has.
        let late = self.settings.lease_ms + 2 * self.settings.period_ms;
        let beside = own.contested == own.log.epoch() && own.contested > own.held_under;
        if (own.contested > own.log.epoch() || beside)
            && own.lapsed.is_some_and(|since| since + late <= now_ms)
        {
            own.log.raise(own.contested + 1);
            own.tenure = Tenure::new(own.log.epoch(), own.tenure.config().clone(), self.settings.lease_ms);
            (own.writes, own.lapsed) = (false, Some(now_ms));
        }
        if holds {
            own.tenure.replace(wanted);
        }
        let message = Message::Hold {
            stream,
            epoch: own.log.epoch(),
            asked_ms: now_ms,
            config: own.tenure.config().clone(),
            at: if own.writes || own.log.epoch() == 0 { own.floor() } else { own.from() },
            from: own.from(),
            writes: own.writes,
        };
        let guards = own.tenure.guards();
        guards.into_iter().for_each(|(front, _)| self.send(front, &message, out));
    }

    /// Sees to the copies of an own stream, as long as it is held.
    fn spread(&mut self, now_ms: u64, stream: StreamId, look: bool, out: &mut Vec<Out>) {
        let Some(own) = self.own.get_mut(&stream) else { return };
        if !own.tenure.holds(now_ms) || (own.log.is_empty() && !own.offered) {
            return;
        }
        let epoch = own.log.epoch();
        let mut forget = Vec::new();
        if look {
            let wanted = holders(stream, self.settings.me, &self.view, self.settings.copies);
            // A former holder keeps its copy until all that are wanted have caught up.
            let caught = wanted.iter().all(|f| own.to.get(f).is_some_and(|s| s.at == Some(own.end())));
            if caught {
                forget = own.to.keys().copied().filter(|f| !wanted.contains(f)).collect();
                forget.iter().for_each(|f| {
                    own.to.remove(f);
                });
            }
            for front in &wanted {
                own.to.entry(*front).or_default();
            }
        }
        let holders: Vec<u64> = own.to.keys().copied().collect();
        if holders.is_empty() {
            return;
        }
        own.offered = true;
        let config = own.tenure.config().clone();
        forget.into_iter().for_each(|front| self.send(front, &Message::Forget { stream, epoch }, out));
        for front in holders.clone() {
            if look {
                let kept = Message::Kept { stream, epoch, holders: holders.clone(), config: config.clone() };
                self.send(front, &kept, out);
            }
            self.tell(now_ms, stream, front, look, out);
        }
    }

    /// Sends a holder what comes next for it; `look` asks where it stands even if nothing does.
    fn tell(&mut self, now_ms: u64, stream: StreamId, front: u64, look: bool, out: &mut Vec<Out>) {
        let spent = self.budget == 0;
        let Some(own) = self.own.get_mut(&stream) else { return };
        let (epoch, base, head) = (own.log.epoch(), own.log.base(), own.log.head());
        let end = own.end();
        let Some(sent) = own.to.get_mut(&front) else { return };
        if sent.waits_since.is_some_and(|since| since + RESEND_MS > now_ms) {
            return;
        }
        let message = match sent.at {
            Some(at) if at == end && !look => return,
            Some(at) if at != end && spent && !look => return,
            Some(at) if at == end || spent || own.log.follows(at) => {
                let from = if at == end || spent { head } else { at.seq };
                let (changes, upto) = own.log.changes(from, ROOM);
                let tells = upto == head && own.looks % DIGEST_EACH == 0 && look;
                let digest = tells.then(|| own.log.digest());
                Message::Changes { stream, epoch, base, from, upto, digest, changes }
            }
            Some(at) => {
                let goes_on = sent.taking.filter(|(cut, _)| at.epoch == epoch && own.log.resumes(*cut));
                let (cut, after) = goes_on.unwrap_or((head, None));
                self.counters.wholes += u64::from(after.is_none());
                let (entries, until) = own.log.range(after, ROOM);
                Message::Whole { stream, epoch, cut, head, after, until, entries }
            }
            None => Message::Changes {
                stream,
                epoch,
                base,
                from: head,
                upto: head,
                digest: None,
                changes: vec![],
            },
        };
        sent.waits_since = Some(now_ms);
        let before = self.counters.sent_bytes;
        self.send(front, &message, out);
        self.budget = self.budget.saturating_sub(self.counters.sent_bytes - before);
    }

    /// Looks at a copy whose writer may be gone.
    fn watch(&mut self, now_ms: u64, stream: StreamId, look: bool, out: &mut Vec<Out>) {
        let (lease, period) = (self.settings.lease_ms, self.settings.period_ms);
        let Some(held) = self.held.get_mut(&stream) else { return };
        let silent = now_ms.saturating_sub(held.heard_ms);
        if silent > COPY_LASTS_MS {
            self.held.remove(&stream);
            return;
        }
        let Some(config) = held.config.clone() else { return };
        // Those who hold copies begin one after the other: two who claim at once would each get some of the guards.
        let before = held.holders.iter().filter(|front| **front < self.settings.me).count() as u64;
        let patience = lease + 2 * period + before * (lease / 2);
        if !held.copy.at().is_whole() || silent <= patience {
            return;
        }
        let at = held.copy.at();
        match &held.claim {
            Claim::Quiet if look && held.yields_ms <= now_ms => {
                held.claim = Claim::Bidding(now_ms, false);
                // The writer and the guards may have copies of a later time, of a writer whom this one never heard.
                let mut others: BTreeSet<u64> = held.holders.iter().copied().collect();
                others.extend(config.guards.iter().map(|g| g.0));
                others.insert(held.writer);
                let bid = Message::Bid { stream, at };
                others.into_iter().for_each(|front| self.send(front, &bid, out));
            }
            Claim::Bidding(since, better) if since + 2 * period <= now_ms => {
                if *better {
                    // Whoever stands further goes first; if it does not come to it, this one tries again.
                    if since + 6 * period <= now_ms {
                        held.claim = Claim::Quiet;
                    }
                    return;
                }
                let tenure = Tenure::new(held.above.max(held.epoch) + 1, config, lease);
                held.claim = Claim::Asking(now_ms, tenure, false);
                self.ask(now_ms, stream, out);
            }
            Claim::Asking(since, tenure, late) => {
                if tenure.holds(now_ms) {
                    return self.adopt(stream, out);
                }
                // Two who claim at once may each have some guards: each starts anew at a moment of its own.
                let draw = (self.settings.me ^ now_ms).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 60;
                if since + lease + period * (2 + draw % 8) <= now_ms {
                    // Its own grants have to run out meanwhile, and the other has to hear of them and ask again.
                    let rest = if *late { 3 * lease + 4 * period } else { 0 };
                    (held.claim, held.yields_ms) = (Claim::Quiet, now_ms.saturating_add(rest));
                } else if look {
                    self.ask(now_ms, stream, out);
                }
            }
            _ => {}
        }
    }

    fn ask(&mut self, now_ms: u64, stream: StreamId, out: &mut Vec<Out>) {
        let Some(held) = self.held.get(&stream) else { return };
        let Claim::Asking(_, tenure, _) = &held.claim else { return };
        let at = held.copy.at();
        let (epoch, config, guards) = (tenure.epoch, tenure.config().clone(), tenure.guards());
        let message = Message::Hold { stream, epoch, asked_ms: now_ms, config, at, from: at, writes: false };
        guards.into_iter().for_each(|(front, _)| self.send(front, &message, out));
    }

    fn adopt(&mut self, stream: StreamId, out: &mut Vec<Out>) {
        let Some(held) = self.held.remove(&stream) else { return };
        let Claim::Asking(_, tenure, _) = held.claim else { return };
        let log = Log::adopt(held.copy, tenure.epoch);
        let entries: Vec<(Key, Vec<u8>)> = log.iter().map(|(k, b)| (k, b.to_vec())).collect();
        for (key, _) in &entries {
            self.place.insert(*key, stream);
        }
        let to = BTreeMap::new();
        let held_under = log.epoch();
        let own = Own {
            log,
            tenure,
            offered: true,
            to,
            looks: 0,
            lapsed: None,
            writes: true,
            held_under,
            contested: 0,
        };
        self.own.insert(stream, own);
        self.counters.adopted += 1;
        out.push(Out::Adopted(stream, entries));
    }

    /// Another front goes on with a stream, from a copy that stood `from`. What came here after that position is in no
    /// log that anybody writes: keys of that time stay here, under a new stream, and the other front is told which of
    /// its keys had ended.
    fn lose(&mut self, now_ms: u64, stream: StreamId, by: Option<(u64, Position)>, out: &mut Vec<Out>) {
        let Some(own) = self.own.remove(&stream) else { return };
        if let Some(current) = self.current.iter_mut().find(|s| **s == stream) {
            let next = StreamId { turn: stream.turn.wrapping_add(1), ..stream };
            *current = next;
            self.begin(next);
        }
        // One that only claimed it back has told nobody anything under its own epoch.
        let told = if own.writes { own.log.epoch() } else { own.held_under };
        let known = by.filter(|(_, from)| from.epoch == told && from.is_whole());
        let (mut lost, mut kept) = (Vec::new(), Vec::new());
        for (key, body) in own.log.iter() {
            if self.place.get(&key) == Some(&stream) {
                self.place.remove(&key);
            }
            if known.is_some_and(|(_, from)| own.log.came_after(key, from.seq)) {
                kept.push((key, body.to_vec()))
            } else {
                lost.push(key)
            }
        }
        for (key, body) in kept {
            // It was held a moment ago, so that there is room.
            let _ = self.put(now_ms, key, body);
        }
        if let Some((writer, from)) = known {
            let ended: Vec<Key> = own.log.ended(from.seq).take(MOST_ENDED).collect();
            if !ended.is_empty() && self.ended.len() < MOST_HELD {
                self.ended.push((stream, writer, from.seq, ended, ENDED_LOOKS));
            }
        }
        self.counters.lost += 1;
        out.push(Out::Lost(stream, lost));
    }

    /// Tells the writers that went on with this front's streams which keys had ended, a few times, since nobody answers.
    fn tell_ended(&mut self, out: &mut Vec<Out>) {
        let due = std::mem::take(&mut self.ended);
        for (stream, writer, from, keys, looks) in due {
            for keys in keys.chunks(ENDED_EACH) {
                self.send(writer, &Message::Ended { stream, from, keys: keys.to_vec() }, out);
            }
            if looks > 1 {
                self.ended.push((stream, writer, from, keys, looks - 1));
            }
        }
    }

    // ---- messages ------------------------------------------------------------------------------

    /// Takes in a message that a front sent; the caller has checked that it is that front's.
    pub fn receive(&mut self, now_ms: u64, from: u64, message: &[u8], out: &mut Vec<Out>) {
        match decode(message) {
            Some(message) if from != self.settings.me => self.heard(now_ms, from, message, out),
            _ => self.counters.refused += 1,
        }
    }

    fn heard(&mut self, now_ms: u64, from: u64, message: Message, out: &mut Vec<Out>) {
        match message {
            Message::Changes { stream, epoch, base, from: first, upto, digest, changes } => {
                if self.lacks_room(changes.len()) {
                    return;
                }
                let went_on = Position { grade: Grade::Whole, epoch: base.0, seq: base.1 };
                let Some(held) = self.written(now_ms, stream, epoch, from, went_on, out) else { return };
                let applied = held.copy.apply(epoch, base, first, upto, digest, &changes);
                self.counters.differed += u64::from(applied == Applied::Differs);
                self.stands(stream, out);
            }
            Message::Whole { stream, epoch, cut, head, after, until, entries } => {
                if self.own.contains_key(&stream) || self.lacks_room(entries.len()) {
                    return;
                }
                let nowhere = Position::default();
                let Some(held) = self.written(now_ms, stream, epoch, from, nowhere, out) else { return };
                held.copy.take(epoch, cut, head, after, until, entries);
                self.stands(stream, out);
            }
            Message::Kept { stream, epoch, holders, config } => {
                if !config.is_sound() || holders.len() > MOST_NAMED {
                    self.counters.refused += 1;
                } else if !self.own.contains_key(&stream) {
                    let nowhere = Position::default();
                    if let Some(held) = self.written(now_ms, stream, epoch, from, nowhere, out) {
                        (held.holders, held.config) = (holders, Some(config));
                    }
                }
            }
            Message::Forget { stream, epoch } => {
                if self.held.get(&stream).is_some_and(|h| h.epoch <= epoch) {
                    self.held.remove(&stream);
                }
            }
            Message::Stands { stream, at, taking } => {
                let Some(own) = self.own.get_mut(&stream) else { return };
                let Some(sent) = own.to.get_mut(&from) else { return };
                (sent.at, sent.taking, sent.waits_since) = (Some(at), taking, None);
                if own.tenure.holds(now_ms) {
                    self.tell(now_ms, stream, from, false, out);
                }
            }
            Message::Bid { stream, at } => {
                let me = self.settings.me;
                let Some(held) = self.held.get_mut(&stream) else { return };
                // Whoever stands further goes first, then the lower number.
                let mine = held.copy.at();
                match &mut held.claim {
                    Claim::Bidding(_, better) => *better |= (at, me) > (mine, from),
                    Claim::Asking(..) if at > mine => {
                        let rest = 3 * self.settings.lease_ms;
                        (held.claim, held.yields_ms) = (Claim::Quiet, now_ms.saturating_add(rest));
                    }
                    _ => {}
                }
                // The writer may have let go of that one's copy before it fell silent: it was not asked, and is told.
                if mine.is_whole() && mine > at {
                    self.send(from, &Message::Bid { stream, at: mine }, out);
                }
            }
            Message::Ended { stream, from: after, keys } => {
                let Some(own) = self.own.get_mut(&stream) else { return };
                for key in keys {
                    // Only what this front has as the former writer left it; what it wrote itself is its own.
                    if own.log.base().1 == after && own.log.has_from_before(key) {
                        own.log.remove(key);
                        self.place.remove(&key);
                        out.push(Out::Ended(stream, key));
                    }
                }
            }
            Message::Hold { stream, epoch, asked_ms, config, at, from: went_on, writes } => {
                let question = Question { asker: from, epoch, config: &config, at, from: went_on, writes };
                let answer = self.guard(now_ms, stream, &question);
                if let Some(answer) = answer {
                    let run = self.settings.run;
                    self.send(from, &Message::Held { stream, asked_ms, run, answer }, out);
                }
            }
            Message::Held { stream, asked_ms, run, answer } => {
                self.answered(now_ms, stream, (from, run), asked_ms, answer, out);
            }
        }
    }

    /// Whether so many keys more are too many for all copies together; changes of keys that are known count too.
    fn lacks_room(&mut self, more: usize) -> bool {
        let lacks = more > 0 && more + self.held.values().map(|h| h.copy.len()).sum::<usize>() > MOST_KEYS;
        self.counters.refused += u64::from(lacks);
        lacks
    }

    /// The copy of a stream whose writer spoke under this epoch, if it is not an earlier one's word.
    fn written(
        &mut self,
        now_ms: u64,
        stream: StreamId,
        epoch: u32,
        writer: u64,
        base: Position,
        out: &mut Vec<Out>,
    ) -> Option<&mut Held> {
        if let Some(own) = self.own.get(&stream) {
            if !own.gives_way(now_ms, epoch) {
                return None;
            }
            self.lose(now_ms, stream, Some((writer, base)), out);
        }
        if !self.held.contains_key(&stream) {
            if self.held.len() >= MOST_HELD {
                self.counters.refused += 1;
                return None;
            }
            let new = Held {
                copy: Copy::default(),
                epoch,
                writer,
                holders: Vec::new(),
                config: None,
                heard_ms: now_ms,
                claim: Claim::Quiet,
                above: epoch,
                yields_ms: 0,
            };
            self.held.insert(stream, new);
        }
        let held = self.held.get_mut(&stream)?;
        if epoch < held.epoch || (epoch == held.epoch && writer != held.writer) {
            self.counters.refused += 1;
            return None;
        }
        (held.epoch, held.writer, held.heard_ms, held.claim) = (epoch, writer, now_ms, Claim::Quiet);
        Some(held)
    }

    fn stands(&mut self, stream: StreamId, out: &mut Vec<Out>) {
        let Some(held) = self.held.get(&stream) else { return };
        let message = Message::Stands { stream, at: held.copy.at(), taking: held.copy.taking() };
        let writer = held.writer;
        self.send(writer, &message, out);
    }

    fn guard(&mut self, now_ms: u64, stream: StreamId, question: &Question) -> Option<Answer> {
        let (me, config) = ((self.settings.me, self.settings.run), question.config);
        let named = config.guards.contains(&me) || config.next.iter().flatten().any(|g| *g == me);
        let room = self.guarded.contains_key(&stream) || self.guarded.len() < MOST_GUARDED;
        if !named || !config.is_sound() || !room {
            self.counters.refused += 1;
            return None;
        }
        let known = self.guarded.entry(stream).or_default();
        Some(Guard::asked(known, now_ms, self.settings.lease_ms, question))
    }

    fn answered(
        &mut self,
        now_ms: u64,
        stream: StreamId,
        guard: Guardian,
        asked_ms: u64,
        answer: Answer,
        out: &mut Vec<Out>,
    ) {
        // No answer can be to a question that was not asked yet.
        if asked_ms > now_ms {
            self.counters.refused += 1;
            return;
        }
        if let Some(own) = self.own.get_mut(&stream) {
            match answer {
                Answer::Granted { epoch, number, next } if epoch == own.log.epoch() => {
                    own.tenure.granted(guard, asked_ms, number, next);
                    own.note_held(now_ms);
                }
                // A guard says so of a lower epoch only while its grant lasts: somebody holds the stream now.
                Answer::Taken { epoch, holder, from: Some(from) }
                    if holder != self.settings.me && own.gives_way(now_ms, epoch) =>
                {
                    self.lose(now_ms, stream, Some((holder, from)), out);
                }
                Answer::Taken { epoch, .. } => own.contested = own.contested.max(epoch),
                // Whoever replaced them holds the stream: the new ones tell who it is.
                Answer::Replaced(config) if own.sent_on(now_ms, &config) && config.is_sound() => {
                    own.tenure = Tenure::new(own.log.epoch(), config, self.settings.lease_ms);
                }
                _ => {}
            }
            return;
        }
        let lease = self.settings.lease_ms;
        let Some(held) = self.held.get_mut(&stream) else { return };
        let Claim::Asking(_, tenure, late) = &mut held.claim else { return };
        match answer {
            Answer::Granted { epoch, number, next } if epoch == tenure.epoch => {
                tenure.granted(guard, asked_ms, number, next);
                if tenure.holds(now_ms) {
                    self.adopt(stream, out);
                }
            }
            Answer::Taken { epoch, holder, from } => {
                held.above = held.above.max(epoch);
                // The writer claims it back, and has all that there is: each would keep its own guards from the other.
                *late |= from.is_none() && holder == held.writer;
                // A claimant with a lower number goes first, so that its guards are not kept from it.
                if from.is_none() && holder < self.settings.me {
                    (held.claim, held.yields_ms) = (Claim::Quiet, now_ms + 2 * lease);
                }
            }
            // Somebody has, or had, a copy that says more, and may not know that this one is there.
            Answer::Behind => *late = true,
            Answer::Replaced(config) => {
                let newer = (config.number, config.next.is_some())
                    > (tenure.config().number, tenure.config().next.is_some());
                if newer && config.is_sound() {
                    *tenure = Tenure::new(tenure.epoch, config.clone(), lease);
                    held.config = Some(config);
                }
            }
            _ => {}
        }
    }

    /// Sends a message. A question to itself as guard is answered at once; nothing else goes to itself.
    fn send(&mut self, to: u64, message: &Message, out: &mut Vec<Out>) {
        if to == self.settings.me {
            if let Message::Hold { stream, epoch, asked_ms, config, at, from, writes } = message {
                let question =
                    Question { asker: to, epoch: *epoch, config, at: *at, from: *from, writes: *writes };
                if let Some(answer) = self.guard(*asked_ms, *stream, &question) {
                    let me = (to, self.settings.run);
                    self.answered(*asked_ms, *stream, me, *asked_ms, answer, out);
                }
            }
            return;
        }
        let bytes = encode(message);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Out::Send(to, bytes));
    }

    // ---- what is shown -------------------------------------------------------------------------

    /// What was done.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Keys that this front holds itself, adopted ones among them.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        self.place.keys().copied()
    }

    /// Keys in whole copies of others' streams.
    #[must_use]
    pub fn copied(&self) -> BTreeSet<Key> {
        let whole = self.held.values().filter(|h| h.copy.at().is_whole());
        whole.flat_map(|h| h.copy.iter().map(|(key, _)| key)).collect()
    }

    /// Streams that are written or kept here.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<StreamRow> {
        let own = self.own.iter().filter(|(_, own)| own.offered || !own.log.is_empty());
        let own = own.map(|(s, own)| {
            let holds = own.tenure.holds(now_ms);
            let behind = own
                .to
                .values()
                .map(|sent| own.log.head() - sent.at.map_or(0, |at| at.seq.min(own.log.head())));
            StreamRow {
                front: s.front,
                run: s.run,
                shard: s.shard,
                turn: s.turn,
                epoch: own.log.epoch(),
                keys: own.log.len(),
                digest: sum_of(own.log.iter().map(|(key, _)| key)),
                writer: self.settings.me,
                writes: !own.offered || holds,
                fenced: own.offered && !holds,
                behind: behind.max().unwrap_or(0),
            }
        });
        let held = self.held.iter().map(|(s, h)| StreamRow {
            front: s.front,
            run: s.run,
            shard: s.shard,
            turn: s.turn,
            epoch: h.epoch,
            keys: h.copy.len(),
            digest: sum_of(h.copy.iter().map(|(key, _)| key)),
            writer: h.writer,
            writes: false,
            fenced: false,
            behind: 0,
        });
        own.chain(held).collect()
    }
}

impl Own {
    /// A majority may just have granted it.
    fn note_held(&mut self, now_ms: u64) {
        if self.tenure.holds(now_ms) {
            (self.writes, self.held_under) = (true, self.log.epoch());
        }
    }

    /// Whether this front lets go of the stream for one that came to hold it under this epoch: a later one, or, where
    /// this front claimed it back in vain meanwhile, one after the last that it held itself. Without the second it would
    /// wait, fenced, for as long as the other lives.
    fn gives_way(&self, now_ms: u64, epoch: u32) -> bool {
        let claims = !self.writes && !self.tenure.holds(now_ms);
        epoch > self.log.epoch() || (claims && epoch > self.held_under)
    }

    /// Whether these guards came after those that it goes by. Who holds the stream replaces them itself; one that does
    /// not would never hear who does, if the guards that it asks only know who comes next.
    fn sent_on(&self, now_ms: u64, config: &Config) -> bool {
        let mine = self.tenure.config();
        let begun = config.number == mine.number && config.next.is_some() && mine.next.is_none();
        config.number > mine.number || (begun && !self.tenure.holds(now_ms))
    }

    /// Where a copy stands that lacks nothing.
    fn end(&self) -> Position {
        Position { grade: Grade::Whole, epoch: self.log.epoch(), seq: self.log.head() }
    }

    /// Where this writer went on from.
    fn from(&self) -> Position {
        let (epoch, seq) = self.log.base();
        let grade = if self.log.epoch() > 0 { Grade::Whole } else { Grade::Part };
        Position { grade, epoch, seq }
    }

    /// What all who hold copies have; nothing while one of them is not known to have a whole one of this epoch.
    fn floor(&self) -> Position {
        let sound = |at: &Position| at.is_whole() && at.epoch == self.log.epoch();
        let at = self.to.values().map(|sent| sent.at.filter(sound).unwrap_or_default());
        at.min().unwrap_or_default()
    }
}
