//! Tasks of a voter: it asks to be admitted, starts configurations, decides entries, grants leases and
//! compacts the log.

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

/// Tick of a voter, in milliseconds.
const VOTER_TICK_MS: u64 = 50;
/// Interval of the announcements of named voters before genesis, and of admission requests, in milliseconds.
const ANNOUNCE_MS: u64 = 200;
/// The leader compacts a log from this number of entries on.
const COMPACT_ENTRIES: u64 = 128;
/// The leader compacts a log from this size on, in bytes.
const COMPACT_LOG_BYTES: usize = 128 * 1024;
/// Minimum time between two attempts to compact the log, in milliseconds.
const COMPACT_INTERVAL_MS: u64 = 1_000;
/// A majority of new voters must have sent a lease request within this time, in milliseconds.
const REACHABLE_MS: u64 = 10_000;
/// Maximum number of unacknowledged bytes to a voter; further messages are dropped. It is 1.5 s of traffic at
/// the rate limit for fragments.
const MAX_UNACKNOWLEDGED_BYTES: usize = 96 * 1024;
/// Messages per second to a voter that are sent directly; further ones are bundled.
const DIRECT_MESSAGES_PER_S: u64 = 30;
/// A direct message between voters is repeated after this time while the budget allows, in milliseconds.
const DUPLICATE_DELAY_MS: u64 = 40;
/// Minimum time between two notifications of leaseholders about new entries, in milliseconds.
const NOTIFY_INTERVAL_MS: u64 = 100;

/// A write that was handed out and is not completed.
pub(super) enum PendingWrite {
    /// The start of the configuration with this number.
    Begin(u32),
    /// A batch of the voter, with the progress of the disk after it.
    Batch { config: u32, batch: u64, progress: Progress },
}

/// A configuration whose start is being written to the disk.
pub(super) struct PendingConfig {
    config: u32,
    /// For the first configuration: the state that it starts from, which is not in use yet.
    genesis: Option<Registers>,
    /// Leases granted in the former configuration, which remain valid if the voters are the same.
    grants: Option<Grants>,
    /// Number of the last entry before the configuration.
    durable: u64,
}

/// State of a voter in a configuration.
pub(super) struct Voting {
    voter: Voter,
    config: Config,
    grants: Grants,
    /// Log indexes of commands that would replace the set of voters.
    reconfigurations: BTreeSet<u64>,
    /// Keys of undecided commands, by log index.
    undecided: BTreeMap<u64, Key>,
    /// Number of entries in the log.
    entries: u64,
}

impl Voting {
    pub(super) fn grants(&self) -> &Grants {
        &self.grants
    }

    /// Whether a command ends this configuration with a different set of voters. Compaction keeps the voters
    /// and the leases.
    fn replaces_voters(&self, command: &Command) -> bool {
        matches!(&command.operation, Operation::Voters { expects, voters }
            if *expects == self.config.number && *voters != self.config.voters)
    }

    /// Records changes of the log when they are handed to the disk, which is before they are synced.
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
                self.notify_leaseholders(now_ms, out);
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

    /// Announces a front that does not vote yet: to the named voters before the first configuration, later to
    /// the other voters with a request to be admitted.
    fn announce(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if let Some(genesis) = self.genesis() {
            let (known, complete) = (genesis.known(), genesis.complete());
            // A voter that starts the configuration announces the common set one last time, so the others can
            // start too.
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
        let request = Message::AdmissionRequest(self.progress());
        for to in others {
            self.send(now_ms, to, &request, out);
        }
    }

    /// Starts or stops voting according to the configuration that is known here.
    pub(super) fn update_role(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(config) = self.registers.config().cloned() else { return };
        let current = self.voting.as_ref().map(|v| v.config.number);
        if current == Some(config.number) {
            return;
        }
        let member = self.id.filter(|id| !self.stopped && !self.forked && config.voters.contains(id));
        // Voting in the former configuration ends. Its grants remain only if the set of voters is the same.
        let former = self.voting.take();
        let grants = former.map(|v| v.grants).filter(|g| g.voters_since() == self.registers.voters_since());
        let grants = grants
            .or_else(|| self.pending_config.take_if(|p| p.config != config.number).and_then(|p| p.grants));
        let grants = grants.filter(|g| g.voters_since() == self.registers.voters_since());
        let Some(id) = member else {
            if current.is_some() {
                self.notes.push(Note::Left(config.number));
            }
            self.source = self.source.take().filter(|_| !self.stopped && !self.forked);
            return;
        };
        let needed = majority(config.voters.len()).saturating_sub(1);
        let admitting =
            config.voters.iter().filter(|v| v.front != id.front && self.admitted_by.contains(&v.front));
        self.admitted |= admitting.count() >= needed;
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

    /// Writes the start of a configuration to the disk. Entries up to the present state that the new instance
    /// decides are skipped.
    fn begin_config(
        &mut self,
        config: u32,
        genesis: Option<Registers>,
        grants: Option<Grants>,
        out: &mut Vec<Output>,
    ) {
        let state = genesis.as_ref().unwrap_or(&self.registers);
        let Some(started) = state.config().cloned() else { return };
        let (snapshot, durable) = (state.snapshot(), state.number());
        self.stored_log = None;
        self.pending_config = Some(PendingConfig { config, genesis, grants, durable });
        let ops = vec![StoreOp::Begin { config: started, snapshot }];
        self.progress.record(&ops);
        self.write(ops, PendingWrite::Begin(config), out);
    }

    fn write(&mut self, ops: Vec<StoreOp>, write: PendingWrite, out: &mut Vec<Output>) {
        self.last_batch = self.last_batch.saturating_add(1);
        self.pending_writes.push_back((self.last_batch, write));
        out.push(Output::Write { batch: self.last_batch, ops });
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

    /// Stops voting and granting leases in this run, because the disk might not have what the voter would
    /// promise.
    fn stop(&mut self, reason: Note) {
        self.stopped = true;
        (self.voting, self.pending_config, self.source, self.stored_log) = (None, None, None, None);
        self.pending_writes.clear();
        self.notes.push(reason);
    }

    pub(super) fn on_write_done(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<Output>) {
        let Some((expected, write)) = self.pending_writes.pop_front() else { return };
        if expected != batch || !ok {
            self.stop(Note::Disk);
            return;
        }
        match write {
            PendingWrite::Begin(number) => {
                (self.store_config, self.synced_progress) =
                    (number, Progress { config: number, ..Progress::default() });
                let Some(pending) = self.pending_config.take_if(|p| p.config == number) else {
                    return;
                };
                self.durable = self.durable.max(pending.durable);
                if let Some(first) = pending.genesis {
                    // Another voter that started genesis may have been learned from meanwhile. Its set of
                    // voters is the same, because all voters announced it.
                    if self.registers.config().is_none() {
                        self.replace(now_ms, first, out);
                    }
                }
                // Another configuration may have started during the write.
                let Some(config) = self.registers.config().filter(|c| c.number == number).cloned() else {
                    self.update_role(now_ms, out);
                    return;
                };
                let log = StoredLog { boots: self.boots, ..StoredLog::default() };
                self.start_voting(now_ms, config, log, pending.grants);
            }
            PendingWrite::Batch { config, batch, progress } => {
                self.synced_progress = progress;
                if let Some(voting) = self.voting.as_mut().filter(|v| v.config.number == config) {
                    voting.voter.written(batch, true);
                    self.process_voter_output(now_ms, out);
                }
            }
        }
    }

    /// Passes on the output of the voter.
    fn process_voter_output(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(voting) = &mut self.voting else { return };
        let (config, first) = (voting.config.number, voting.config.first);
        let mut outputs = Vec::new();
        voting.voter.take_output(&mut outputs);
        if voting.voter.stop_reason().is_some() {
            self.stop(Note::Broken);
            return;
        }
        for output in outputs {
            match output {
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
                    // Entries after the end of the configuration are discarded.
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
        let is_heartbeat = crate::voter::is_heartbeat(&bytes);
        let unacknowledged = self.fragmenter.unacknowledged_bytes(to.front);
        // Resent messages would queue up behind their earlier copies and delay everything after them.
        if !is_heartbeat && unacknowledged > 0 && unacknowledged + bytes.len() > MAX_UNACKNOWLEDGED_BYTES {
            return;
        }
        let message = Message::Consensus { progress: self.progress(), to: to.store, bytes };
        let bytes = encode(&self.own_head(), &message);
        let budget = self
            .direct_budgets
            .entry(to.front)
            .or_insert_with(|| TokenBucket::new(now_ms, DIRECT_MESSAGES_PER_S, DIRECT_MESSAGES_PER_S));
        let send_directly = is_heartbeat || (!self.fragmenter.is_sending(to.front) && budget.take(now_ms));
        if bytes.len() > MAX_MESSAGE_BYTES || !send_directly {
            // A shorter message must not overtake a longer one. Many messages are bundled, because the
            // exchange drops more than 128 datagrams per second.
            self.fragmenter.send(now_ms, to.front, bytes);
            return;
        }
        // A lost message costs a resend after 500 ms, and lost heartbeats can cost the leader its role. The
        // receiver detects duplicates by their sequence number.
        let copies = match (is_heartbeat, self.is_lossy()) {
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

    /// Answers a lease request of a front in a run, if this front votes: the configuration since which the
    /// set of voters is unchanged, and the grant.
    pub(super) fn grant_lease(
        &mut self,
        now_ms: u64,
        front_and_run: (u64, u64),
        request: u64,
        confirmed: u64,
    ) -> Option<(u32, GrantReply)> {
        let voting = self.voting.as_mut().filter(|_| !self.forked)?;
        voting.grants.raise_min_confirmed(now_ms, self.durable);
        let reconfiguring = !voting.reconfigurations.is_empty();
        let reply = voting.grants.request(now_ms, front_and_run, request, confirmed, reconfiguring);
        Some((voting.grants.voters_since(), reply))
    }

    /// Appends a command to the log if this front is the leader.
    ///
    /// # Errors
    ///
    /// The front that leads, if it is known and another; `None` also if the leader cannot take the command
    /// now.
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
        // The command was sent again while it waits in the log for a majority.
        if voting.undecided.values().any(|key| *key == command.key) {
            return Ok(());
        }
        // Entries after the end of a configuration are discarded.
        if !voting.reconfigurations.is_empty() || !voting.voter.append(command) {
            return Err(None);
        }
        self.process_voter_output(now_ms, out);
        Ok(())
    }

    /// Whether a majority of these voters sent lease requests lately with these stores. With unreachable
    /// voters nothing could be decided any more.
    fn majority_reachable(&self, now_ms: u64, voters: &[VoterId]) -> bool {
        let reachable = voters.iter().filter(|v| {
            self.id == Some(**v)
                || self
                    .front_stores
                    .get(&v.front)
                    .is_some_and(|(store, at)| *store == v.store && now_ms.saturating_sub(*at) < REACHABLE_MS)
        });
        reachable.count() >= majority(voters.len())
    }

    /// As the leader: compacts a long log by a new configuration with the same voters, which starts from a
    /// snapshot.
    fn compact(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(voting) = &self.voting else { return };
        let is_long = voting.entries >= COMPACT_ENTRIES || voting.voter.log_bytes() >= COMPACT_LOG_BYTES;
        if !is_long || now_ms < self.next_compact_ms {
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
        // If the command is not accepted, it is tried again next time.
        let _ = self.append_if_leader(now_ms, command, out);
    }

    /// As the leader: notifies leaseholders of new entries, so they learn them before their next lease
    /// request.
    fn notify_leaseholders(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(voting) = &self.voting else { return };
        let (number, notified_ms) = self.notified;
        let here = self.registers.number();
        if here == number
            || now_ms < notified_ms.saturating_add(NOTIFY_INTERVAL_MS)
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

    pub(super) fn on_voter_message(
        &mut self,
        now_ms: u64,
        from: u64,
        run: u64,
        head: &Head,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let from_voter = self.registers.config().is_some_and(|c| c.voters.iter().any(|v| v.front == from));
        match message {
            Message::AdmissionRequest(progress) => {
                let boots = progress.boots;
                let reply = if self.known_progress.observe(from, run, &progress, self.registers.config()) {
                    Message::Admitted { boots }
                } else {
                    Message::NotAdmitted { store: progress.store, boots }
                };
                self.send(now_ms, from, &reply, out);
            }
            Message::Admitted { boots } if boots == self.boots && from_voter => {
                self.admitted_by.insert(from);
                self.update_role(now_ms, out);
            }
            Message::NotAdmitted { store, boots } => {
                let is_own = self.id.is_some_and(|v| v.store == store) && boots == self.boots;
                if is_own && from_voter && !self.stopped {
                    self.stop(Note::OldStore);
                    out.push(Output::RecreateStore);
                }
            }
            Message::Consensus { progress, to, bytes } => {
                if self.id.is_none_or(|v| v.store != to) || !from_voter {
                    return;
                }
                if !self.known_progress.observe(from, run, &progress, self.registers.config()) {
                    let refused = Message::NotAdmitted { store: progress.store, boots: progress.boots };
                    self.send(now_ms, from, &refused, out);
                    return;
                }
                if head.config < self.registers.config_number() {
                    // The sender is behind; the header of this reply shows it the newer configuration.
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
