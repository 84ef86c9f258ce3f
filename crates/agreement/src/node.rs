//! One front's part in the agreement: it learns entries, holds a lease, and votes if it is one of the voters.
//! It does no I/O: time, messages and the results of disk writes are passed in; messages to send, changes to
//! write and events come out as [`Output`].
//!
//! `front` has the tasks of every front: leases, catch-up, proposals. `voting` has the additional tasks of a
//! voter.

mod front;
mod view;
mod voting;

pub use view::View;

use crate::catch_up::{Learner, Source};
use crate::fragments::{Fragmenter, TokenBucket};
use crate::genesis::Genesis;
use crate::lease::Lease;
use crate::progress::{KnownProgress, ProgressTracker};
use crate::proposals::{ProposalResult, Proposals};
use crate::registers::{Outcome, Registers};
use crate::store::{StoreOp, StoredLog, StoredState};
use crate::types::{Command, Entry, Key, MAX_BODY_BYTES, Operation, VoterId};
use crate::wire::{GenesisVoter, Head, MAX_MESSAGE_BYTES, Message, decode, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use voting::{PendingConfig, Voting};

/// Settings of a front, fixed at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This front's number.
    pub me: u64,
    /// The front's run (its incarnation number), higher for each later run.
    pub run: u64,
    /// The fronts that are the first voters, in ascending order; an odd count. Later voters are agreed on.
    pub voters: Vec<u64>,
    /// Duration of a lease, in milliseconds. It must be the same on all fronts.
    pub lease_ms: u64,
    /// Time between two lease requests to each voter, in milliseconds. Several must fit into one lease.
    pub renew_ms: u64,
    /// Time for which a proposal is sent again, in milliseconds.
    pub proposal_timeout_ms: u64,
    /// Seed for random choices, such as the voter to ask first. It must differ between runs.
    pub seed: u64,
}

/// A rare event at this front, for its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The first configuration starts: all named voters know each other.
    Genesis,
    /// The front votes in the configuration with this number.
    Votes(u32),
    /// The front votes no more: it is not a voter of the configuration with this number.
    Left(u32),
    /// A disk write failed: the front votes no more in this run.
    Disk,
    /// The voter stopped, or the content of its store is invalid: the front votes no more in this run.
    Broken,
    /// The store is an older copy of one that other voters remember: the front votes no more until it has a
    /// new store.
    OldStore,
    /// The front has a new store and asks to replace itself with its former store as a voter.
    Replaces {
        /// Id of the former store, which is still listed as a voter.
        old: u64,
    },
    /// The front's log differs from a voter's: the front no longer uses its agreed state.
    Forked {
        /// Number of an entry that both have, 0 if they follow different logs.
        number: u64,
        /// First bytes of the entry's hash at this front; the log id for different logs.
        here: u64,
        /// The same at the voter.
        there: u64,
    },
}

/// Output of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A message to a front. It may be lost.
    Send {
        /// The receiving front.
        to: u64,
        /// The message, at most [`MAX_MESSAGE_BYTES`] bytes.
        message: Vec<u8>,
    },
    /// Changes to write to the store as one synced transaction, in order of batches. Their completion is
    /// reported by [`Node::written`].
    Write {
        /// Batch number, ascending from 1.
        batch: u64,
        /// The changes.
        ops: Vec<StoreOp>,
    },
    /// An entry was applied to the registers.
    Applied {
        /// The entry.
        entry: Entry,
        /// Its effect.
        outcome: Outcome,
    },
    /// The registers were replaced by a later state; the entries in between are not reported.
    Replaced,
    /// The stable entry advanced: every front that holds a lease has confirmed at least this entry.
    Stable(u64),
    /// The lease was obtained (true) or has expired (false). It may expire before this is reported; see
    /// [`Node::holds_lease`].
    LeaseHeld(bool),
    /// A proposal has a result.
    Proposed {
        /// Key of its command.
        key: Key,
        /// The result.
        result: ProposalResult,
    },
    /// The store must be moved away and a new one created, which is passed to [`Node::store_recreated`].
    RecreateStore,
    /// An event for the log.
    Note(Note),
}

/// The state of one front's part in the agreement.
pub struct Node {
    settings: Settings,
    random: StdRng,
    /// This front as a voter, if it has a store.
    id: Option<VoterId>,
    /// How often the store was opened.
    boots: u64,
    /// It must not vote any more in this run.
    stopped: bool,
    registers: Registers,
    forked: bool,
    // State of every front.
    lease: Lease,
    lease_held: bool,
    learner: Learner,
    /// The highest configuration number that any message has named.
    highest_config: u32,
    fragmenter: Fragmenter,
    proposals: Proposals,
    /// Id of the last lease request.
    request: u64,
    /// The latest lease requests: id and send time.
    requests: VecDeque<(u64, u64)>,
    next_renewal_ms: u64,
    /// A lease request is due before its regular time.
    renew_soon: bool,
    last_renewal_ms: u64,
    /// Lease replies since the last request.
    replies: u32,
    /// Moving average of the share of lease requests that were answered, in thousandths.
    reply_permille: u64,
    // State of a voter.
    genesis: Option<Genesis>,
    voting: Option<Box<Voting>>,
    pending_config: Option<PendingConfig>,
    /// The stored log, until a voter continues from it.
    stored_log: Option<StoredLog>,
    /// Number of the configuration in the store.
    store_config: u32,
    /// The last entry that the store has as decided.
    durable: u64,
    source: Option<Source>,
    /// The last batch that was handed out for writing.
    last_batch: u64,
    pending_writes: VecDeque<(u64, voting::PendingWrite)>,
    /// The store's progress, including writes that are not synced yet.
    progress: ProgressTracker,
    synced_progress: crate::progress::Progress,
    known_progress: KnownProgress,
    /// Voters that admitted this one in this run.
    admitted_by: BTreeSet<u64>,
    admitted: bool,
    /// By front: store id in its last lease request, and the time of that request.
    front_stores: BTreeMap<u64, (u64, u64)>,
    next_announce_ms: u64,
    next_voter_tick_ms: u64,
    next_compact_ms: u64,
    next_replace_ms: u64,
    /// The last entry that leaseholders were notified of, and when.
    notified: (u64, u64),
    /// Copies of messages between voters to send against loss: time, receiver, message.
    duplicates: VecDeque<(u64, u64, Vec<u8>)>,
    duplicate_budget: TokenBucket,
    /// By voter: rate limit for messages that are sent without fragmentation.
    direct_budgets: BTreeMap<u64, TokenBucket>,
    notes: Vec<Note>,
}

impl Node {
    /// A node with the content of its store, if it may vote. [`Node::registers`] are then the stored state.
    #[must_use]
    pub fn new(settings: Settings, stored: Option<StoredState>, now_ms: u64) -> Self {
        let mut random = StdRng::seed_from_u64(settings.seed ^ settings.me.rotate_left(32) ^ settings.run);
        let mut node = Self {
            id: None,
            boots: 0,
            stopped: false,
            registers: Registers::default(),
            forked: false,
            lease: Lease::new(settings.lease_ms),
            lease_held: false,
            learner: Learner::new(random.random_range(0..1_000)),
            highest_config: 0,
            fragmenter: Fragmenter::new(random.random()),
            proposals: Proposals::default(),
            request: 0,
            requests: VecDeque::new(),
            next_renewal_ms: now_ms.saturating_add(random.random_range(0..=settings.renew_ms)),
            renew_soon: false,
            last_renewal_ms: 0,
            replies: 0,
            reply_permille: 1_000,
            genesis: None,
            voting: None,
            pending_config: None,
            stored_log: None,
            store_config: 0,
            durable: 0,
            source: None,
            last_batch: 0,
            pending_writes: VecDeque::new(),
            progress: ProgressTracker::default(),
            synced_progress: crate::progress::Progress::default(),
            known_progress: KnownProgress::default(),
            admitted_by: BTreeSet::new(),
            admitted: false,
            front_stores: BTreeMap::new(),
            next_announce_ms: now_ms,
            next_voter_tick_ms: now_ms,
            next_compact_ms: now_ms,
            next_replace_ms: now_ms,
            notified: (0, 0),
            duplicates: VecDeque::new(),
            direct_budgets: BTreeMap::new(),
            duplicate_budget: TokenBucket::new(now_ms, 100, 40),
            notes: Vec::new(),
            random,
            settings,
        };
        if let Some(stored) = stored {
            node.open(stored);
        }
        node
    }

    /// Performs what is due at this time. To be called every 20 to 50 ms; a longer interval is safe, but
    /// slower.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        self.tick_voter(now_ms, out);
        self.tick_front(now_ms, out);
        self.finish(now_ms, out);
    }

    /// Processes a message from a front in a run. Malformed bytes are ignored.
    pub fn receive(&mut self, now_ms: u64, from: u64, run: u64, bytes: &[u8], out: &mut Vec<Output>) {
        if bytes.len() <= MAX_MESSAGE_BYTES
            && let Some((head, message)) = decode(bytes)
        {
            self.on_head(from, &head);
            self.on_message(now_ms, from, run, head, message, out);
            self.finish(now_ms, out);
        }
    }

    /// Reports the completion of a batch. After a failure this front votes no more in this run.
    pub fn written(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<Output>) {
        self.on_write_done(now_ms, batch, ok, out);
        self.finish(now_ms, out);
    }

    /// Proposes a command. It is sent again under its key until it is applied here or the timeout has passed.
    /// Either is reported by [`Output::Proposed`].
    pub fn propose(&mut self, now_ms: u64, command: Command, out: &mut Vec<Output>) {
        let key = command.key;
        let valid = match &command.operation {
            Operation::Put { body, .. } => body.len() <= MAX_BODY_BYTES,
            Operation::Voters { voters, .. } => crate::registers::valid_voters(voters),
        };
        if !valid {
            out.push(Output::Proposed { key, result: ProposalResult::Invalid });
        } else if let Some((number, outcome)) = self.registers.outcome(key) {
            out.push(Output::Proposed { key, result: ProposalResult::Applied { number, outcome } });
        } else if !self.proposals.add(
            now_ms,
            self.settings.proposal_timeout_ms,
            command,
            self.random.random_range(0..1_000),
        ) {
            out.push(Output::Proposed { key, result: ProposalResult::Busy });
        } else {
            self.send_proposals(now_ms, out);
            self.finish(now_ms, out);
        }
    }

    /// The application acts on the agreed state up to this entry; limited to the entries that are applied
    /// here.
    pub fn confirm(&mut self, number: u64) {
        let before = self.lease.confirmed();
        self.lease.confirm(number.min(self.registers.number()));
        self.renew_soon |= self.lease.confirmed() > before;
    }

    /// The stable entry: every front that holds a lease has confirmed at least this entry.
    #[must_use]
    pub fn stable(&self) -> u64 {
        self.lease.stable()
    }

    /// Whether this front holds a lease now: no entry becomes stable that it has not confirmed.
    #[must_use]
    pub fn holds_lease(&self, now_ms: u64) -> bool {
        !self.forked && self.lease.is_held(now_ms)
    }

    /// Whether anything was ever agreed, as far as this front knows in this run.
    #[must_use]
    pub fn has_agreed(&self) -> bool {
        self.forked || self.registers.number() > 0 || self.learner.highest_known() > 0
    }

    /// Whether this front knows the voters. Without them it cannot know whether anything was agreed.
    #[must_use]
    pub fn knows_voters(&self) -> bool {
        self.registers.config().is_some()
    }

    /// The agreed state. It must not be used if the node has [forked](Node::forked).
    #[must_use]
    pub fn registers(&self) -> &Registers {
        &self.registers
    }

    /// Whether this front's log differs from the agreed log.
    #[must_use]
    pub fn forked(&self) -> bool {
        self.forked
    }

    /// Changes to this run if it is higher, because other fronts knew a later run of this front. The lease is
    /// requested again.
    pub fn raise_run(&mut self, run: u64) {
        if run > self.settings.run {
            self.settings.run = run;
            self.genesis = None;
            self.renew_soon = true;
        }
    }

    /// Takes the new store that [`Output::RecreateStore`] requested. The front continues to learn and asks to
    /// be a voter again.
    pub fn store_recreated(&mut self, stored: StoredState) {
        if self.stopped {
            self.stopped = false;
            self.admitted = false;
            self.admitted_by.clear();
            (self.stored_log, self.store_config, self.durable) = (None, 0, 0);
            (self.last_batch, self.genesis) = (0, None);
            self.id = Some(VoterId { front: self.settings.me, store: stored.store });
            self.boots = stored.boots;
            self.progress = ProgressTracker::default();
            self.synced_progress = crate::progress::Progress::default();
        }
    }

    /// Restores the state of a store.
    fn open(&mut self, stored: StoredState) {
        self.id = Some(VoterId { front: self.settings.me, store: stored.store }).filter(|v| v.store != 0);
        self.boots = stored.boots;
        self.progress = ProgressTracker::from_store(stored.config.as_ref(), &stored.log);
        self.synced_progress = self.progress.current();
        let Some(config) = stored.config else { return };
        let loaded = Registers::load(&stored.snapshot).ok();
        let Some(registers) = loaded.filter(|r| r.config() == Some(&config)) else {
            self.stopped = true;
            self.notes.push(Note::Broken);
            return;
        };
        self.registers = registers;
        for (index, command) in stored.log.commands.iter().enumerate().take(stored.log.decided as usize) {
            // Entries that were decided after the end of the configuration are discarded.
            if self.registers.config_number() != config.number {
                break;
            }
            if config.first.saturating_add(index as u64) > self.registers.number() {
                self.registers.apply(command.clone());
            }
        }
        self.durable = self.registers.number();
        self.store_config = config.number;
        self.stored_log = Some(stored.log);
        self.update_lease_voters();
    }

    fn update_lease_voters(&mut self) {
        if let Some(c) = self.registers.config() {
            self.lease.set_voters(self.registers.voters_since(), &c.voters);
        }
    }

    /// This front as a voter before the first configuration.
    fn own_genesis_voter(&self) -> GenesisVoter {
        GenesisVoter {
            front: self.settings.me,
            run: self.settings.run,
            store: self.id.map_or(0, |v| v.store),
        }
    }

    fn own_head(&self) -> Head {
        let r = &self.registers;
        Head { log_id: r.log_id(), config: r.config_number(), number: r.number() }
    }

    fn send(&mut self, now_ms: u64, to: u64, message: &Message, out: &mut Vec<Output>) {
        let bytes = encode(&self.own_head(), message);
        if to == self.settings.me || bytes.is_empty() {
            return;
        }
        if bytes.len() <= MAX_MESSAGE_BYTES {
            out.push(Output::Send { to, message: bytes });
        } else {
            self.fragmenter.send(now_ms, to, bytes);
        }
    }

    /// The fronts to send requests to: the voters, and the first voters if none are known or all known ones
    /// may be gone.
    fn contacts(&self) -> Vec<u64> {
        let mut all: Vec<u64> =
            self.registers.config().map_or(Vec::new(), |c| c.voters.iter().map(|v| v.front).collect());
        if all.is_empty() || (self.learner.is_behind(&self.registers) && self.lease.until_ms() == 0) {
            all.extend(self.settings.voters.iter().filter(|v| !all.contains(v)).collect::<Vec<_>>());
        }
        all.retain(|v| *v != self.settings.me);
        all
    }

    /// Applies the next entry.
    fn apply(&mut self, now_ms: u64, command: Command, out: &mut Vec<Output>) {
        let key = command.key;
        let (entry, outcome) = self.registers.apply(command);
        let number = entry.number;
        if let Some(source) = &mut self.source {
            source.applied(&entry, &self.registers);
        }
        out.push(Output::Applied { entry, outcome });
        if self.proposals.applied(key) {
            let (number, outcome) = self.registers.outcome(key).unwrap_or((number, outcome));
            out.push(Output::Proposed { key, result: ProposalResult::Applied { number, outcome } });
        }
        if matches!(outcome, Outcome::Reconfigured(c) if c == self.registers.config_number()) {
            if let Some(source) = &mut self.source {
                source.take_snapshot(&self.registers);
            }
            self.update_lease_voters();
            self.update_role(now_ms, out);
        }
    }

    /// Replaces the registers by a later state.
    fn replace(&mut self, now_ms: u64, new: Registers, out: &mut Vec<Output>) {
        self.registers = new;
        if self.source.is_some() {
            self.source = Some(Source::new(now_ms, &self.registers));
        }
        out.push(Output::Replaced);
        for (key, result) in self.proposals.replaced(&self.registers) {
            out.push(Output::Proposed { key, result });
        }
        self.update_lease_voters();
        self.update_role(now_ms, out);
    }

    /// Handles a difference between this front's log and a voter's.
    fn fork(&mut self, number: u64, here: u64, there: u64) {
        if self.registers.number() == 0
            && self.voting.is_none()
            && self.pending_config.is_none()
            && self.store_config == 0
        {
            // Nothing was agreed here yet, so the front learns the voter's log.
            self.registers = Registers::default();
            self.lease = Lease::new(self.settings.lease_ms);
            return;
        }
        if !self.forked {
            self.forked = true;
            self.notes.push(Note::Forked { number, here, there });
        }
    }

    /// Reports changes of the lease and notes after each step.
    fn finish(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let lease_held = self.holds_lease(now_ms);
        if lease_held != self.lease_held {
            self.lease_held = lease_held;
            out.push(Output::LeaseHeld(lease_held));
        }
        out.extend(self.notes.drain(..).map(Output::Note));
    }
}
