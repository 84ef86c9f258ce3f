//! What a voter does: it is admitted, begins configurations, decides, grants, folds.

use super::{Node, Note, Out};
use crate::catch_up::Source;
use crate::fragments::Bucket;
use crate::lease::{Granted, Grants};
use crate::progress::{Reach, Standing};
use crate::registers::{Registers, sound_voters};
use crate::store::{KeptLog, Op};
use crate::types::{Command, Config, Key, VoterId, What, majority};
use crate::voter::{Voter, VoterOut};
use crate::wire::{Head, MOST_MESSAGE, Message, encode};
use rand::Rng;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// A voter's tick, milliseconds.
const VOTE_MS: u64 = 50;
/// Named voters, and voters that wait to be admitted, speak this often, milliseconds.
const HELLO_MS: u64 = 200;
/// A log of so many entries, or of so many bytes, is folded; no oftener than this, milliseconds.
const FOLD_ENTRIES: u64 = 128;
const FOLD_BYTES: usize = 128 * 1024;
const FOLD_MS: u64 = 1_000;
/// A majority of new voters has to have been heard of within this, milliseconds.
const THERE_MS: u64 = 10_000;
/// Bytes that may be on their way to a voter before more is let go as lost: a second and a half at the parcels' pace.
const MOST_LEFT: usize = 96 * 1024;
/// Messages to a voter that leave at once, a second; more go together.
const DIRECT: u64 = 30;
/// A message between voters leaves once more after this, as long as there are few, milliseconds.
const AGAIN_MS: u64 = 40;
/// The leader tells those it grants to of new entries this often at most, milliseconds.
const PUSH_MS: u64 = 100;

/// What was asked of the disk.
pub(super) enum Asked {
    /// A configuration's beginning.
    Begin(u32),
    /// A voter's batch, and how far the disk is after it.
    Batch { config: u32, batch: u64, reach: Reach },
}

/// A configuration that is being written.
pub(super) struct Begun {
    config: u32,
    /// The state that it begins behind, where that is not in use yet: before the first entry.
    genesis: Option<Registers>,
    /// Grants that go on, since the voters are the same.
    grants: Option<Grants>,
    durable: u64,
}

/// A voter's seat in a configuration.
pub(super) struct Seat {
    voter: Voter,
    config: Config,
    grants: Grants,
    /// Places in the log of commands that would bring other voters.
    sealed: BTreeSet<u64>,
    /// Keys in the log that are not decided, by place.
    open: BTreeMap<u64, Key>,
    entries: u64,
}

impl Seat {
    pub(super) fn grants(&self) -> &Grants {
        &self.grants
    }

    /// A command that ends this configuration for other voters. A fold leaves the holds as they are.
    fn seals(&self, command: &Command) -> bool {
        matches!(&command.what, What::Voters { expects, voters }
            if *expects == self.config.number && *voters != self.config.voters)
    }

    /// What goes into the log counts from when it goes, not from when it is synced: that is earlier.
    fn logs(&mut self, ops: &[Op]) {
        for op in ops {
            if let Op::Log { from, commands } = op {
                self.sealed.split_off(from);
                self.open.split_off(from);
                for (index, command) in (*from..).zip(commands) {
                    self.open.insert(index, command.key);
                    if self.seals(command) {
                        self.sealed.insert(index);
                    }
                }
                self.entries = from.saturating_add(commands.len() as u64);
            }
        }
    }
}

impl Node {
    pub(super) fn tick_voter(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        if now_ms >= self.next_hello_ms {
            self.next_hello_ms = now_ms.saturating_add(HELLO_MS);
            self.hello(now_ms, out);
        }
        self.sit(now_ms, out);
        if now_ms >= self.next_vote_ms {
            self.next_vote_ms = now_ms.saturating_add(VOTE_MS);
            if let Some(seat) = &mut self.seat {
                seat.voter.tick();
                self.pump(now_ms, out);
                self.fold(now_ms, out);
                self.push(now_ms, out);
            }
        }
        if let Some(seat) = &mut self.seat {
            seat.grants.raise(now_ms, self.durable);
        }
    }

    pub(super) fn leader(&self) -> Option<VoterId> {
        self.seat.as_ref().and_then(|s| s.voter.leader())
    }

    fn standing(&self) -> Standing {
        Standing { store: self.id.map_or(0, |v| v.store), boots: self.boots, reach: self.synced }
    }

    /// Before it votes: to the named ones if there is no configuration, to its fellow voters to be admitted otherwise.
    fn hello(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        if let Some(g) = self.genesis() {
            let (says, complete) = (g.says(), g.complete());
            // Once it begins it says what all have said one last time, so that the others begin as well.
            for to in self.s.voters.clone() {
                self.say(now_ms, to, &Message::Genesis(says.clone()), out);
            }
            if let Some(registers) = complete.and_then(|voters| Registers::genesis(&voters)) {
                self.notes.push(Note::Genesis);
                self.admitted = true;
                self.begin(1, Some(registers), None, out);
            }
        }
        let Some(id) = self.id.filter(|_| !self.admitted && !self.stopped) else { return };
        let Some(config) = self.registers.config().filter(|c| c.voters.contains(&id)) else { return };
        let others: Vec<u64> = config.voters.iter().map(|v| v.front).filter(|f| *f != id.front).collect();
        let hello = Message::Hello(self.standing());
        for to in others {
            self.say(now_ms, to, &hello, out);
        }
    }

    /// Takes or leaves its seat, as the voters known here have it.
    pub(super) fn sit(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let Some(config) = self.registers.config().cloned() else { return };
        let here = self.seat.as_ref().map(|s| s.config.number);
        if here == Some(config.number) {
            return;
        }
        let member = self.id.filter(|id| !self.stopped && !self.forked && config.voters.contains(id));
        // The seat in the configuration before is given up, with its grants: they go on only among the same voters.
        let left = self.seat.take();
        let grants = left.map(|s| s.grants).filter(|g| g.since() == self.registers.since());
        let grants =
            grants.or_else(|| self.begun.take_if(|b| b.config != config.number).and_then(|b| b.grants));
        let grants = grants.filter(|g| g.since() == self.registers.since());
        let Some(id) = member else {
            if here.is_some() {
                self.notes.push(Note::Left(config.number));
            }
            self.source = self.source.take().filter(|_| !self.stopped && !self.forked);
            return;
        };
        let most = majority(config.voters.len()).saturating_sub(1);
        let fellows =
            config.voters.iter().filter(|v| v.front != id.front && self.welcomed.contains(&v.front));
        self.admitted |= fellows.count() >= most;
        if !self.admitted || self.begun.is_some() {
            return;
        }
        if self.store_config != config.number {
            self.begin(config.number, None, grants, out);
            return;
        }
        if let Some(log) = self.kept.take() {
            self.seat(now_ms, config, log, None);
        }
    }

    /// A configuration begins on the disk. What its instance has as decided behind this state is skipped.
    fn begin(&mut self, config: u32, genesis: Option<Registers>, grants: Option<Grants>, out: &mut Vec<Out>) {
        let state = genesis.as_ref().unwrap_or(&self.registers);
        let Some(begins) = state.config().cloned() else { return };
        let (snapshot, durable) = (state.snapshot(), state.number());
        self.kept = None;
        self.begun = Some(Begun { config, genesis, grants, durable });
        let ops = vec![Op::Begin { config: begins, snapshot }];
        self.written.write(&ops);
        self.write(ops, Asked::Begin(config), out);
    }

    fn write(&mut self, ops: Vec<Op>, asked: Asked, out: &mut Vec<Out>) {
        self.batch = self.batch.saturating_add(1);
        self.writes.push_back((self.batch, asked));
        out.push(Out::Write { batch: self.batch, ops });
    }

    fn seat(&mut self, now_ms: u64, config: Config, log: KeptLog, grants: Option<Grants>) {
        let Some(id) = self.id else { return };
        let since = self.registers.since();
        self.direct.retain(|front, _| config.voters.iter().any(|v| v.front == *front));
        let grants = grants.unwrap_or_else(|| Grants::new(now_ms, self.s.hold_ms, since, self.durable));
        let commands = log.commands.clone();
        let Ok(voter) = Voter::new(id, config.clone(), log, self.random.random()) else {
            self.stop(Note::Broken);
            return;
        };
        let mut seat =
            Seat { voter, config, grants, sealed: BTreeSet::new(), open: BTreeMap::new(), entries: 0 };
        seat.logs(&[Op::Log { from: 0, commands }]);
        self.notes.push(Note::Votes(seat.config.number));
        self.seat = Some(Box::new(seat));
        if self.source.is_none() {
            self.source = Some(Source::new(now_ms, &self.registers));
        }
    }

    /// It votes no more in this run, and grants nothing: what it would promise now, its disk might not have.
    fn stop(&mut self, why: Note) {
        self.stopped = true;
        (self.seat, self.begun, self.source, self.kept) = (None, None, None, None);
        self.writes.clear();
        self.notes.push(why);
    }

    pub(super) fn disk(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<Out>) {
        let Some((expected, asked)) = self.writes.pop_front() else { return };
        if expected != batch || !ok {
            self.stop(Note::Disk);
            return;
        }
        match asked {
            Asked::Begin(number) => {
                (self.store_config, self.synced) = (number, Reach { config: number, ..Reach::default() });
                let Some(begun) = self.begun.take_if(|b| b.config == number) else { return };
                self.durable = self.durable.max(begun.durable);
                if let Some(first) = begun.genesis {
                    // Whoever else began told of it meanwhile; a set that all have said is the same one.
                    if self.registers.config().is_none() {
                        self.replace(now_ms, first, out);
                    }
                }
                // Another one may have begun while this was written.
                let Some(config) = self.registers.config().filter(|c| c.number == number).cloned() else {
                    self.sit(now_ms, out);
                    return;
                };
                let log = KeptLog { boots: self.boots, ..KeptLog::default() };
                self.seat(now_ms, config, log, begun.grants);
            }
            Asked::Batch { config, batch, reach } => {
                self.synced = reach;
                if let Some(seat) = self.seat.as_mut().filter(|s| s.config.number == config) {
                    seat.voter.written(batch, true);
                    self.pump(now_ms, out);
                }
            }
        }
    }

    /// What has come up at the voter.
    fn pump(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let Some(seat) = &mut self.seat else { return };
        let (config, first) = (seat.config.number, seat.config.first);
        let mut all = Vec::new();
        seat.voter.take(&mut all);
        if seat.voter.is_stopped().is_some() {
            self.stop(Note::Broken);
            return;
        }
        for one in all {
            match one {
                VoterOut::Write { batch, ops } => {
                    if let Some(seat) = self.seat.as_mut().filter(|s| s.config.number == config) {
                        seat.logs(&ops);
                        self.written.write(&ops);
                        let reach = self.written.reach();
                        self.write(ops, Asked::Batch { config, batch, reach }, out);
                    }
                }
                VoterOut::Say { to, message } => self.say_voter(now_ms, to, message, out),
                VoterOut::Decided { index, command } => {
                    // Behind the end of its configuration nothing counts.
                    let Some(seat) = self.seat.as_mut().filter(|s| s.config.number == config) else {
                        continue;
                    };
                    seat.sealed.remove(&index);
                    seat.open.remove(&index);
                    let number = first.saturating_add(index);
                    if number == self.registers.number().saturating_add(1) {
                        self.durable = number;
                        self.apply(now_ms, command, out);
                    } else {
                        self.durable = self.durable.max(number.min(self.registers.number()));
                    }
                }
            }
        }
    }

    fn say_voter(&mut self, now_ms: u64, to: VoterId, bytes: Vec<u8>, out: &mut Vec<Out>) {
        let urgent = crate::voter::is_heartbeat(&bytes);
        let left = self.parcels.left(to.front);
        // What is sent again while it is still on its way would hold up all that follows it.
        if !urgent && left > 0 && left + bytes.len() > MOST_LEFT {
            return;
        }
        let message = Message::Consensus { standing: self.standing(), to: to.store, bytes };
        let bytes = encode(&self.own_head(), &message);
        let direct = self.direct.entry(to.front).or_insert_with(|| Bucket::new(now_ms, DIRECT, DIRECT));
        let paced = urgent || (!self.parcels.is_busy(to.front) && direct.take(now_ms));
        if bytes.len() > MOST_MESSAGE || !paced {
            // A shorter one must not overtake a longer one; and many go together, since the exchange drops what is more than
            // 128 a second.
            self.parcels.send(now_ms, to.front, bytes);
            return;
        }
        // What is lost costs the voters a resend after half a second, and heartbeats the leader; a double they refuse by
        // its number.
        let copies = match (urgent, self.is_lossy()) {
            (true, false) => 0,
            (true, true) | (false, false) => 1,
            (false, true) => 2,
        };
        for copy in 1..=copies {
            if self.may_again.take(now_ms) {
                self.again.push_back((now_ms.saturating_add(copy * AGAIN_MS), to.front, bytes.clone()));
            }
        }
        out.push(Out::Send { to: to.front, message: bytes });
    }

    /// The answer to a front's question, if this one votes: the configuration from which its voters are the same, and
    /// what it grants.
    pub(super) fn granted(
        &mut self,
        now_ms: u64,
        front: (u64, u64),
        question: u64,
        vouched: u64,
    ) -> Option<(u32, Granted)> {
        let seat = self.seat.as_mut().filter(|_| !self.forked)?;
        seat.grants.raise(now_ms, self.durable);
        let answer = seat.grants.asked(now_ms, front, question, vouched, !seat.sealed.is_empty());
        Some((seat.grants.since(), answer))
    }

    /// Puts a command into the log, if this is the leader. Otherwise who is, if known.
    pub(super) fn offer(
        &mut self,
        now_ms: u64,
        command: Command,
        out: &mut Vec<Out>,
    ) -> Result<(), Option<u64>> {
        if self.registers.outcome(command.key).is_some() {
            return Ok(());
        }
        if let What::Voters { voters, .. } = &command.what
            && !(sound_voters(voters) && self.are_there(now_ms, voters))
        {
            return Err(None);
        }
        let Some(seat) = &mut self.seat else { return Err(None) };
        let leader = seat.voter.leader().map(|v| v.front);
        if leader != Some(self.s.me) {
            return Err(leader);
        }
        // In the log already: sent again while it waits for a majority.
        if seat.open.values().any(|key| *key == command.key) {
            return Ok(());
        }
        // What follows the end of a configuration counts for nothing.
        if !seat.sealed.is_empty() || !seat.voter.append(command) {
            return Err(None);
        }
        self.pump(now_ms, out);
        Ok(())
    }

    /// Whether a majority of these has been heard of lately, with these stores: voters that are not there would end it all.
    fn are_there(&self, now_ms: u64, voters: &[VoterId]) -> bool {
        let there = voters.iter().filter(|v| {
            self.id == Some(**v)
                || self
                    .stores
                    .get(&v.front)
                    .is_some_and(|(store, at)| *store == v.store && now_ms.saturating_sub(*at) < THERE_MS)
        });
        there.count() >= majority(voters.len())
    }

    /// The leader has a long log begin anew, behind a snapshot.
    fn fold(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let Some(seat) = &self.seat else { return };
        let long = seat.entries >= FOLD_ENTRIES || seat.voter.log_bytes() >= FOLD_BYTES;
        if !long || now_ms < self.next_fold_ms {
            return;
        }
        self.next_fold_ms = now_ms.saturating_add(FOLD_MS);
        let (expects, voters) = (seat.config.number, seat.config.voters.clone());
        let mut h = Sha256::new();
        h.update(b"fold");
        h.update(self.registers.origin().to_be_bytes());
        h.update(expects.to_be_bytes());
        let key = Key(h.finalize().iter().take(16).fold(0, |sum, b| sum << 8 | u128::from(*b)));
        let command = Command { key, author: self.s.me, what: What::Voters { expects, voters } };
        // It is asked again next time if it is not taken.
        let _ = self.offer(now_ms, command, out);
    }

    /// The leader tells of new entries, so that who learns need not wait for its next question.
    fn push(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let Some(seat) = &self.seat else { return };
        let (number, at) = self.pushed;
        let here = self.registers.number();
        if here == number || now_ms < at.saturating_add(PUSH_MS) || seat.voter.leader() != self.id {
            return;
        }
        self.pushed = (here, now_ms);
        let fronts: BTreeSet<u64> = seat.grants.fronts(now_ms).collect();
        for to in fronts {
            self.say(now_ms, to, &Message::Told, out);
        }
    }

    pub(super) fn voters_message(
        &mut self,
        now_ms: u64,
        from: u64,
        run: u64,
        head: &Head,
        message: Message,
        out: &mut Vec<Out>,
    ) {
        let fellow = self.registers.config().is_some_and(|c| c.voters.iter().any(|v| v.front == from));
        match message {
            Message::Hello(standing) => {
                let boots = standing.boots;
                let answer = if self.remembered.heard(from, run, &standing, self.registers.config()) {
                    Message::Welcome { boots }
                } else {
                    Message::Refused { store: standing.store, boots }
                };
                self.say(now_ms, from, &answer, out);
            }
            Message::Welcome { boots } if boots == self.boots && fellow => {
                self.welcomed.insert(from);
                self.sit(now_ms, out);
            }
            Message::Refused { store, boots } => {
                let mine = self.id.is_some_and(|v| v.store == store) && boots == self.boots;
                if mine && fellow && !self.stopped {
                    self.stop(Note::OldStore);
                    out.push(Out::Remake);
                }
            }
            Message::Consensus { standing, to, bytes } => {
                if self.id.is_none_or(|v| v.store != to) || !fellow {
                    return;
                }
                if !self.remembered.heard(from, run, &standing, self.registers.config()) {
                    let refused = Message::Refused { store: standing.store, boots: standing.boots };
                    self.say(now_ms, from, &refused, out);
                    return;
                }
                if head.config < self.registers.config_number() {
                    // It is behind, and learns so by the head.
                    self.say(now_ms, from, &Message::Told, out);
                    return;
                }
                let Some(seat) = &mut self.seat else { return };
                let _ = seat.voter.receive(VoterId { front: from, store: standing.store }, &bytes);
                self.pump(now_ms, out);
            }
            _ => {}
        }
    }
}
