//! What a voter does: it is admitted, begins configurations, decides, grants, folds.

use super::{Node, Note, Output};
use crate::catch_up::Source;
use crate::fragments::TokenBucket;
use crate::lease::{GrantReply, Grants};
use crate::progress::{Progress, VoterProgress};
use crate::registers::{Registers, valid_voters};
use crate::store::{StoreOp, StoredLog};
use crate::types::{Command, Config, Key, Operation, VoterId, majority};
use crate::voter::{Voter, VoterOutput};
use crate::wire::{Head, MAX_MESSAGE_BYTES, Message, encode};
use rand::Rng;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

/// A voter's tick, milliseconds.
const VOTER_TICK_MS: u64 = 50;
/// Named voters, and voters that wait to be admitted, speak this often, milliseconds.
const ANNOUNCE_MS: u64 = 200;
/// A log of so many entries, or of so many bytes, is folded; no oftener than this, milliseconds.
const COMPACT_ENTRIES: u64 = 128;
const COMPACT_LOG_BYTES: usize = 128 * 1024;
const COMPACT_INTERVAL_MS: u64 = 1_000;
/// A majority of new voters has to have been heard of within this, milliseconds.
const REACHABLE_MS: u64 = 10_000;
/// Bytes that may be on their way to a voter before more is let go as lost: a second and a half at the parcels' pace.
const MAX_UNACKNOWLEDGED_BYTES: usize = 96 * 1024;
/// Messages to a voter that leave at once, a second; more go together.
const DIRECT_MESSAGES_PER_S: u64 = 30;
/// A message between voters leaves once more after this, as long as there are few, milliseconds.
const DUPLICATE_DELAY_MS: u64 = 40;
/// The leader tells those it grants to of new entries this often at most, milliseconds.
const NOTIFY_INTERVAL_MS: u64 = 100;

/// What was asked of the disk.
pub(super) enum PendingWrite {
    /// A configuration's beginning.
    Begin(u32),
    /// A voter's batch, and how far the disk is after it.
    Batch { config: u32, batch: u64, progress: Progress },
}

/// A configuration that is being written.
pub(super) struct PendingConfig {
    config: u32,
    /// The state that it begins behind, where that is not in use yet: before the first entry.
    genesis: Option<Registers>,
    /// Grants that go on, since the voters are the same.
    grants: Option<Grants>,
    durable: u64,
}

/// A voter's seat in a configuration.
pub(super) struct Voting {
    voter: Voter,
    config: Config,
    grants: Grants,
    /// Places in the log of commands that would bring other voters.
    reconfigurations: BTreeSet<u64>,
    /// Keys in the log that are not decided, by place.
    undecided: BTreeMap<u64, Key>,
    entries: u64,
}

impl Voting {
    pub(super) fn grants(&self) -> &Grants {
        &self.grants
    }

    /// A command that ends this configuration for other voters. A fold leaves the holds as they are.
    fn replaces_voters(&self, command: &Command) -> bool {
        matches!(&command.operation, Operation::Voters { expects, voters }
            if *expects == self.config.number && *voters != self.config.voters)
    }

    /// What goes into the log counts from when it goes, not from when it is synced: that is earlier.
    fn record_log(&mut self, ops: &[StoreOp]) {
        for op in ops {
            if let StoreOp::Log { from, commands } = op {
                self.reconfigurations.split_off(from);
                self.undecided.split_off(from);
                for (index, command) in (*from..).zip(commands) {
                    self.undecided.insert(index, command.key);
                    if self.replaces_voters(command) {
                        self.reconfigurations.insert(index);
                    }
                }
                self.entries = from.saturating_add(commands.len() as u64);
            }
        }
    }
}

impl Node {
    pub(super) fn tick_voter(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if now_ms >= self.next_announce_ms {
            self.next_announce_ms = now_ms.saturating_add(ANNOUNCE_MS);
            self.announce(now_ms, out);
        }
        self.update_role(now_ms, out);
        if now_ms >= self.next_voter_tick_ms {
            self.next_voter_tick_ms = now_ms.saturating_add(VOTER_TICK_MS);
            if let Some(voting) = &mut self.voting {
                voting.voter.tick();
                self.process_voter_output(now_ms, out);
                self.compact(now_ms, out);
                self.notify_holders(now_ms, out);
            }
        }
        if let Some(voting) = &mut self.voting {
            voting.grants.raise_min_confirmed(now_ms, self.durable);
        }
    }

    pub(super) fn leader(&self) -> Option<VoterId> {
        self.voting.as_ref().and_then(|s| s.voter.leader())
    }

    fn progress(&self) -> VoterProgress {
        VoterProgress {
            store: self.id.map_or(0, |v| v.store),
            boots: self.boots,
            progress: self.synced_progress,
        }
    }

    /// Before it votes: to the named ones if there is no configuration, to its fellow voters to be admitted otherwise.
    fn announce(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if let Some(g) = self.genesis() {
            let (known, complete) = (g.known(), g.complete());
            // Once it begins it says what all have said one last time, so that the others begin as well.
            for to in self.settings.voters.clone() {
                self.send(now_ms, to, &Message::Genesis(known.clone()), out);
            }
            if let Some(registers) = complete.and_then(|voters| Registers::genesis(&voters)) {
                self.notes.push(Note::Genesis);
                self.admitted = true;
                self.begin_config(1, Some(registers), None, out);
            }
        }
        let Some(id) = self.id.filter(|_| !self.admitted && !self.stopped) else { return };
        let Some(config) = self.registers.config().filter(|c| c.voters.contains(&id)) else { return };
        let others: Vec<u64> = config.voters.iter().map(|v| v.front).filter(|f| *f != id.front).collect();
        let hello = Message::AdmissionRequest(self.progress());
        for to in others {
            self.send(now_ms, to, &hello, out);
        }
    }

    /// Takes or leaves its seat, as the voters known here have it.
    pub(super) fn update_role(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(config) = self.registers.config().cloned() else { return };
        let here = self.voting.as_ref().map(|s| s.config.number);
        if here == Some(config.number) {
            return;
        }
        let member = self.id.filter(|id| !self.stopped && !self.forked && config.voters.contains(id));
        // The seat in the configuration before is given up, with its grants: they go on only among the same voters.
        let left = self.voting.take();
        let grants = left.map(|s| s.grants).filter(|g| g.voters_since() == self.registers.voters_since());
        let grants = grants
            .or_else(|| self.pending_config.take_if(|b| b.config != config.number).and_then(|b| b.grants));
        let grants = grants.filter(|g| g.voters_since() == self.registers.voters_since());
        let Some(id) = member else {
            if here.is_some() {
                self.notes.push(Note::Left(config.number));
            }
            self.source = self.source.take().filter(|_| !self.stopped && !self.forked);
            return;
        };
        let most = majority(config.voters.len()).saturating_sub(1);
        let fellows =
            config.voters.iter().filter(|v| v.front != id.front && self.admitted_by.contains(&v.front));
        self.admitted |= fellows.count() >= most;
        if !self.admitted || self.pending_config.is_some() {
            return;
        }
        if self.store_config != config.number {
            self.begin_config(config.number, None, grants, out);
            return;
        }
        if let Some(log) = self.stored_log.take() {
            self.start_voting(now_ms, config, log, None);
        }
    }

    /// A configuration begins on the disk. What its instance has as decided behind this state is skipped.
    fn begin_config(
        &mut self,
        config: u32,
        genesis: Option<Registers>,
        grants: Option<Grants>,
        out: &mut Vec<Output>,
    ) {
        let state = genesis.as_ref().unwrap_or(&self.registers);
        let Some(begins) = state.config().cloned() else { return };
        let (snapshot, durable) = (state.snapshot(), state.number());
        self.stored_log = None;
        self.pending_config = Some(PendingConfig { config, genesis, grants, durable });
        let ops = vec![StoreOp::Begin { config: begins, snapshot }];
        self.progress.record(&ops);
        self.write(ops, PendingWrite::Begin(config), out);
    }

    fn write(&mut self, ops: Vec<StoreOp>, requests: PendingWrite, out: &mut Vec<Output>) {
        self.batch = self.batch.saturating_add(1);
        self.pending_writes.push_back((self.batch, requests));
        out.push(Output::Write { batch: self.batch, ops });
    }

    fn start_voting(&mut self, now_ms: u64, config: Config, log: StoredLog, grants: Option<Grants>) {
        let Some(id) = self.id else { return };
        let voters_since = self.registers.voters_since();
        self.direct_budgets.retain(|front, _| config.voters.iter().any(|v| v.front == *front));
        let grants =
            grants.unwrap_or_else(|| Grants::new(now_ms, self.settings.lease_ms, voters_since, self.durable));
        let commands = log.commands.clone();
        let Ok(voter) = Voter::new(id, config.clone(), log, self.random.random()) else {
            self.stop(Note::Broken);
            return;
        };
        let mut voting = Voting {
            voter,
            config,
            grants,
            reconfigurations: BTreeSet::new(),
            undecided: BTreeMap::new(),
            entries: 0,
        };
        voting.record_log(&[StoreOp::Log { from: 0, commands }]);
        self.notes.push(Note::Votes(voting.config.number));
        self.voting = Some(Box::new(voting));
        if self.source.is_none() {
            self.source = Some(Source::new(now_ms, &self.registers));
        }
    }

    /// It votes no more in this run, and grants nothing: what it would promise now, its disk might not have.
    fn stop(&mut self, why: Note) {
        self.stopped = true;
        (self.voting, self.pending_config, self.source, self.stored_log) = (None, None, None, None);
        self.pending_writes.clear();
        self.notes.push(why);
    }

    pub(super) fn write_done(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<Output>) {
        let Some((expected, requests)) = self.pending_writes.pop_front() else { return };
        if expected != batch || !ok {
            self.stop(Note::Disk);
            return;
        }
        match requests {
            PendingWrite::Begin(number) => {
                (self.store_config, self.synced_progress) =
                    (number, Progress { config: number, ..Progress::default() });
                let Some(pending_config) = self.pending_config.take_if(|b| b.config == number) else {
                    return;
                };
                self.durable = self.durable.max(pending_config.durable);
                if let Some(first) = pending_config.genesis {
                    // Whoever else began told of it meanwhile; a set that all have said is the same one.
                    if self.registers.config().is_none() {
                        self.replace(now_ms, first, out);
                    }
                }
                // Another one may have begun while this was written.
                let Some(config) = self.registers.config().filter(|c| c.number == number).cloned() else {
                    self.update_role(now_ms, out);
                    return;
                };
                let log = StoredLog { boots: self.boots, ..StoredLog::default() };
                self.start_voting(now_ms, config, log, pending_config.grants);
            }
            PendingWrite::Batch { config, batch, progress } => {
                self.synced_progress = progress;
                if let Some(voting) = self.voting.as_mut().filter(|s| s.config.number == config) {
                    voting.voter.written(batch, true);
                    self.process_voter_output(now_ms, out);
                }
            }
        }
    }

    /// What has come up at the voter.
    fn process_voter_output(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(voting) = &mut self.voting else { return };
        let (config, first) = (voting.config.number, voting.config.first);
        let mut all = Vec::new();
        voting.voter.take_output(&mut all);
        if voting.voter.stop_reason().is_some() {
            self.stop(Note::Broken);
            return;
        }
        for one in all {
            match one {
                VoterOutput::Write { batch, ops } => {
                    if let Some(voting) = self.voting.as_mut().filter(|s| s.config.number == config) {
                        voting.record_log(&ops);
                        self.progress.record(&ops);
                        let progress = self.progress.current();
                        self.write(ops, PendingWrite::Batch { config, batch, progress }, out);
                    }
                }
                VoterOutput::Send { to, message } => self.send_to_voter(now_ms, to, message, out),
                VoterOutput::Decided { index, command } => {
                    // Behind the end of its configuration nothing counts.
                    let Some(voting) = self.voting.as_mut().filter(|s| s.config.number == config) else {
                        continue;
                    };
                    voting.reconfigurations.remove(&index);
                    voting.undecided.remove(&index);
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

    fn send_to_voter(&mut self, now_ms: u64, to: VoterId, bytes: Vec<u8>, out: &mut Vec<Output>) {
        let urgent = crate::voter::is_heartbeat(&bytes);
        let left = self.fragmenter.unacknowledged_bytes(to.front);
        // What is sent again while it is still on its way would hold up all that follows it.
        if !urgent && left > 0 && left + bytes.len() > MAX_UNACKNOWLEDGED_BYTES {
            return;
        }
        let message = Message::Consensus { progress: self.progress(), to: to.store, bytes };
        let bytes = encode(&self.own_head(), &message);
        let direct_budgets = self
            .direct_budgets
            .entry(to.front)
            .or_insert_with(|| TokenBucket::new(now_ms, DIRECT_MESSAGES_PER_S, DIRECT_MESSAGES_PER_S));
        let paced = urgent || (!self.fragmenter.is_sending(to.front) && direct_budgets.take(now_ms));
        if bytes.len() > MAX_MESSAGE_BYTES || !paced {
            // A shorter one must not overtake a longer one; and many go together, since the exchange drops what is more than
            // 128 a second.
            self.fragmenter.send(now_ms, to.front, bytes);
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
            if self.duplicate_budget.take(now_ms) {
                self.duplicates.push_back((
                    now_ms.saturating_add(copy * DUPLICATE_DELAY_MS),
                    to.front,
                    bytes.clone(),
                ));
            }
        }
        out.push(Output::Send { to: to.front, message: bytes });
    }

    /// The answer to a front's question, if this one votes: the configuration from which its voters are the same, and
    /// what it grants.
    pub(super) fn grant_lease(
        &mut self,
        now_ms: u64,
        front: (u64, u64),
        request: u64,
        confirmed: u64,
    ) -> Option<(u32, GrantReply)> {
        let voting = self.voting.as_mut().filter(|_| !self.forked)?;
        voting.grants.raise_min_confirmed(now_ms, self.durable);
        let answer =
            voting.grants.request(now_ms, front, request, confirmed, !voting.reconfigurations.is_empty());
        Some((voting.grants.voters_since(), answer))
    }

    /// Puts a command into the log, if this is the leader. Otherwise who is, if known.
    pub(super) fn append_if_leader(
        &mut self,
        now_ms: u64,
        command: Command,
        out: &mut Vec<Output>,
    ) -> Result<(), Option<u64>> {
        if self.registers.outcome(command.key).is_some() {
            return Ok(());
        }
        if let Operation::Voters { voters, .. } = &command.operation
            && !(valid_voters(voters) && self.majority_reachable(now_ms, voters))
        {
            return Err(None);
        }
        let Some(voting) = &mut self.voting else { return Err(None) };
        let leader = voting.voter.leader().map(|v| v.front);
        if leader != Some(self.settings.me) {
            return Err(leader);
        }
        // In the log already: sent again while it waits for a majority.
        if voting.undecided.values().any(|key| *key == command.key) {
            return Ok(());
        }
        // What follows the end of a configuration counts for nothing.
        if !voting.reconfigurations.is_empty() || !voting.voter.append(command) {
            return Err(None);
        }
        self.process_voter_output(now_ms, out);
        Ok(())
    }

    /// Whether a majority of these has been heard of lately, with these stores: voters that are not there would end it all.
    fn majority_reachable(&self, now_ms: u64, voters: &[VoterId]) -> bool {
        let there = voters.iter().filter(|v| {
            self.id == Some(**v)
                || self
                    .front_stores
                    .get(&v.front)
                    .is_some_and(|(store, at)| *store == v.store && now_ms.saturating_sub(*at) < REACHABLE_MS)
        });
        there.count() >= majority(voters.len())
    }

    /// The leader has a long log begin anew, behind a snapshot.
    fn compact(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(voting) = &self.voting else { return };
        let long = voting.entries >= COMPACT_ENTRIES || voting.voter.log_bytes() >= COMPACT_LOG_BYTES;
        if !long || now_ms < self.next_compact_ms {
            return;
        }
        self.next_compact_ms = now_ms.saturating_add(COMPACT_INTERVAL_MS);
        let (expects, voters) = (voting.config.number, voting.config.voters.clone());
        let mut h = Sha256::new();
        h.update(b"fold");
        h.update(self.registers.log_id().to_be_bytes());
        h.update(expects.to_be_bytes());
        let key = Key(h.finalize().iter().take(16).fold(0, |sum, b| sum << 8 | u128::from(*b)));
        let command =
            Command { key, author: self.settings.me, operation: Operation::Voters { expects, voters } };
        // It is asked again next time if it is not taken.
        let _ = self.append_if_leader(now_ms, command, out);
    }

    /// The leader tells of new entries, so that who learns need not wait for its next question.
    fn notify_holders(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(voting) = &self.voting else { return };
        let (number, at) = self.notified;
        let here = self.registers.number();
        if here == number
            || now_ms < at.saturating_add(NOTIFY_INTERVAL_MS)
            || voting.voter.leader() != self.id
        {
            return;
        }
        self.notified = (here, now_ms);
        let fronts: BTreeSet<u64> = voting.grants.fronts(now_ms).collect();
        for to in fronts {
            self.send(now_ms, to, &Message::HeadOnly, out);
        }
    }

    pub(super) fn voter_message(
        &mut self,
        now_ms: u64,
        from: u64,
        run: u64,
        head: &Head,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let fellow = self.registers.config().is_some_and(|c| c.voters.iter().any(|v| v.front == from));
        match message {
            Message::AdmissionRequest(progress) => {
                let boots = progress.boots;
                let answer = if self.known_progress.observe(from, run, &progress, self.registers.config()) {
                    Message::Admitted { boots }
                } else {
                    Message::NotAdmitted { store: progress.store, boots }
                };
                self.send(now_ms, from, &answer, out);
            }
            Message::Admitted { boots } if boots == self.boots && fellow => {
                self.admitted_by.insert(from);
                self.update_role(now_ms, out);
            }
            Message::NotAdmitted { store, boots } => {
                let mine = self.id.is_some_and(|v| v.store == store) && boots == self.boots;
                if mine && fellow && !self.stopped {
                    self.stop(Note::OldStore);
                    out.push(Output::RecreateStore);
                }
            }
            Message::Consensus { progress, to, bytes } => {
                if self.id.is_none_or(|v| v.store != to) || !fellow {
                    return;
                }
                if !self.known_progress.observe(from, run, &progress, self.registers.config()) {
                    let refused = Message::NotAdmitted { store: progress.store, boots: progress.boots };
                    self.send(now_ms, from, &refused, out);
                    return;
                }
                if head.config < self.registers.config_number() {
                    // It is behind, and learns so by the head.
                    self.send(now_ms, from, &Message::HeadOnly, out);
                    return;
                }
                let Some(voting) = &mut self.voting else { return };
                let _ = voting.voter.receive(VoterId { front: from, store: progress.store }, &bytes);
                self.process_voter_output(now_ms, out);
            }
            _ => {}
        }
    }
}
