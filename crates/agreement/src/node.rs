//! One front's part in the agreement: it learns and holds, and votes if it is one of the voters. Without I/O: time,
//! messages and the disk's answers are handed in, what is to be sent, written and told comes out.
//!
//! `front` has what every front does: holds, catch-up, proposals. `voting` has what a voter does beside.

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

/// What a front is told once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This front's number.
    pub me: u64,
    /// Its run; each later one is higher.
    pub run: u64,
    /// The fronts that vote first, ascending; an odd number. Later ones are agreed on.
    pub voters: Vec<u64>,
    /// A grant lasts so long. The same on all fronts.
    pub lease_ms: u64,
    /// Time between two questions to each voter; several have to fit into a hold.
    pub renew_ms: u64,
    /// A proposal is sent again for so long.
    pub proposal_timeout_ms: u64,
    /// For keys of commands that it makes itself, and for who asks whom first. Another one in each run.
    pub seed: u64,
}

/// What a front says of itself once in a while, for its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The first configuration begins: all named voters have heard each other.
    Genesis,
    /// It votes in this configuration.
    Votes(u32),
    /// It votes no more; another configuration has other voters.
    Left(u32),
    /// Its disk refused a write: it votes no more in this run.
    Disk,
    /// The voter gave up, or what its store has cannot be: it votes no more in this run.
    Broken,
    /// Its store is an older copy of one that others remember more of: it votes no more, and wants a new one.
    OldStore,
    /// It has a new store, and asks to be a voter in place of its former self.
    Replaces {
        /// The store that votes for it as yet.
        old: u64,
    },
    /// What it has is not what a voter has: it uses nothing of it any more.
    Forked {
        /// An entry that both have, 0 if the fleets are not the same.
        number: u64,
        /// First bytes of the entry's hash here.
        here: u64,
        /// And there.
        there: u64,
    },
}

/// What comes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To a front; may be lost. At most [`MAX_MESSAGE_BYTES`] bytes.
    Send {
        /// The front.
        to: u64,
        /// The message.
        message: Vec<u8>,
    },
    /// To the store, as one synced transaction, in order; answered by [`Node::written`].
    Write {
        /// Counts up from 1.
        batch: u64,
        /// What to write.
        ops: Vec<StoreOp>,
    },
    /// An entry was applied to the registers.
    Applied {
        /// The entry.
        entry: Entry,
        /// What it did.
        outcome: Outcome,
    },
    /// The registers were replaced by later ones; what was applied between is not told.
    Replaced,
    /// No front that holds goes by less than this.
    Stable(u64),
    /// It holds from now on, or no more. It may stop before it says so: ask [`Node::holds`].
    LeaseHeld(bool),
    /// What came of a proposal.
    Proposed {
        /// Its command.
        key: Key,
        /// What came of it.
        result: ProposalResult,
    },
    /// Its store is to be put away and a new one made; [`Node::store_recreated`] takes it.
    RecreateStore,
    /// For the log.
    Note(Note),
}

/// A front's part.
pub struct Node {
    settings: Settings,
    random: StdRng,
    /// Itself as a voter, and how often its store was opened.
    id: Option<VoterId>,
    boots: u64,
    /// It must not vote any more in this run.
    stopped: bool,
    registers: Registers,
    forked: bool,
    // Every front's.
    lease: Lease,
    lease_held: bool,
    learner: Learner,
    /// The highest configuration that anyone told of.
    highest_config: u32,
    fragmenter: Fragmenter,
    proposals: Proposals,
    request: u64,
    /// When the last questions were sent.
    requests: VecDeque<(u64, u64)>,
    next_renewal_ms: u64,
    renew_soon: bool,
    last_renewal_ms: u64,
    /// Answers since the last question, and how many of a thousand came lately.
    replies: u32,
    reply_permille: u64,
    // A voter's.
    genesis: Option<Genesis>,
    voting: Option<Box<Voting>>,
    pending_config: Option<PendingConfig>,
    /// The store's log, until a voter goes on from it; and the configuration that the store is in.
    stored_log: Option<StoredLog>,
    store_config: u32,
    /// Entries that the store has as decided.
    durable: u64,
    source: Option<Source>,
    batch: u64,
    pending_writes: VecDeque<(u64, voting::PendingWrite)>,
    progress: ProgressTracker,
    synced_progress: crate::progress::Progress,
    known_progress: KnownProgress,
    admitted_by: BTreeSet<u64>,
    admitted: bool,
    /// Stores of fronts that asked lately, and when.
    front_stores: BTreeMap<u64, (u64, u64)>,
    next_announce_ms: u64,
    next_voter_tick_ms: u64,
    next_compact_ms: u64,
    next_replace_ms: u64,
    notified: (u64, u64),
    /// Messages between voters that leave once more: when, to whom.
    duplicates: VecDeque<(u64, u64, Vec<u8>)>,
    duplicate_budget: TokenBucket,
    /// What may leave at once, by voter.
    direct_budgets: BTreeMap<u64, TokenBucket>,
    notes: Vec<Note>,
}

impl Node {
    /// A front, with what its store has if it may vote. After it [`Node::registers`] are what the store had.
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
            batch: 0,
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

    /// Time passes. To be called each 20 to 50 ms; later is safe, and slower.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        self.tick_voter(now_ms, out);
        self.tick_front(now_ms, out);
        self.finish(now_ms, out);
    }

    /// A front in a run says something. Any bytes will do: what is no message changes nothing.
    pub fn receive(&mut self, now_ms: u64, from: u64, run: u64, bytes: &[u8], out: &mut Vec<Output>) {
        if bytes.len() <= MAX_MESSAGE_BYTES
            && let Some((head, message)) = decode(bytes)
        {
            self.head(from, &head);
            self.message(now_ms, from, run, head, message, out);
            self.finish(now_ms, out);
        }
    }

    /// The disk's answer to a batch. After a refusal this front votes no more in this run.
    pub fn written(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<Output>) {
        self.write_done(now_ms, batch, ok, out);
        self.finish(now_ms, out);
    }

    /// Proposes a command. It is sent again under its key until it is applied here or its time is over; either is told by
    /// [`Output::Proposed`].
    pub fn propose(&mut self, now_ms: u64, command: Command, out: &mut Vec<Output>) {
        let key = command.key;
        let sound = match &command.operation {
            Operation::Put { body, .. } => body.len() <= MAX_BODY_BYTES,
            Operation::Voters { voters, .. } => crate::registers::valid_voters(voters),
        };
        if !sound {
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

    /// The application goes by what was agreed up to this entry, as far as it is here.
    pub fn confirm(&mut self, number: u64) {
        let before = self.lease.confirmed();
        self.lease.confirm(number.min(self.registers.number()));
        self.renew_soon |= self.lease.confirmed() > before;
    }

    /// No front that holds goes by less than this entry.
    #[must_use]
    pub fn stable(&self) -> u64 {
        self.lease.stable()
    }

    /// Whether nothing newer takes effect without this front, now.
    #[must_use]
    pub fn holds_lease(&self, now_ms: u64) -> bool {
        !self.forked && self.lease.is_held(now_ms)
    }

    /// Whether anything was ever agreed, as far as this front has heard in this run.
    #[must_use]
    pub fn has_agreed(&self) -> bool {
        self.forked || self.registers.number() > 0 || self.learner.highest_known() > 0
    }

    /// Whether this front has heard who votes. One that has not cannot know whether anything was agreed.
    #[must_use]
    pub fn knows_voters(&self) -> bool {
        self.registers.config().is_some()
    }

    /// The agreed state. Not to be used when it [forked](Node::forked).
    #[must_use]
    pub fn registers(&self) -> &Registers {
        &self.registers
    }

    /// Whether what this front has is not what was agreed.
    #[must_use]
    pub fn forked(&self) -> bool {
        self.forked
    }

    /// Others knew a later run of this front: it is this one from now on. Its grants are asked for anew.
    pub fn raise_run(&mut self, run: u64) {
        if run > self.settings.run {
            self.settings.run = run;
            self.genesis = None;
            self.renew_soon = true;
        }
    }

    /// The store that [`Output::RecreateStore`] asked for. The front learns on and asks to be a voter again.
    pub fn store_recreated(&mut self, stored: StoredState) {
        if self.stopped {
            self.stopped = false;
            self.admitted = false;
            self.admitted_by.clear();
            (self.stored_log, self.store_config, self.durable) = (None, 0, 0);
            (self.batch, self.genesis) = (0, None);
            self.id = Some(VoterId { front: self.settings.me, store: stored.store });
            self.boots = stored.boots;
            self.progress = ProgressTracker::default();
            self.synced_progress = crate::progress::Progress::default();
        }
    }

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
            // What was decided behind the end of a configuration counts as never decided.
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

    fn me(&self) -> GenesisVoter {
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

    /// Whom to ask: the voters, and those named first, since the voters known here may all be gone.
    fn contacts(&self) -> Vec<u64> {
        let mut all: Vec<u64> =
            self.registers.config().map_or(Vec::new(), |c| c.voters.iter().map(|v| v.front).collect());
        if all.is_empty() || (self.learner.is_behind(&self.registers) && self.lease.until_ms() == 0) {
            all.extend(self.settings.voters.iter().filter(|v| !all.contains(v)).collect::<Vec<_>>());
        }
        all.retain(|v| *v != self.settings.me);
        all
    }

    /// An entry follows.
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

    /// The registers are later ones now.
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

    /// What a voter has is not what is here.
    fn fork(&mut self, number: u64, here: u64, there: u64) {
        if self.registers.number() == 0
            && self.voting.is_none()
            && self.pending_config.is_none()
            && self.store_config == 0
        {
            // Nothing was agreed here: it learns whatever is.
            self.registers = Registers::default();
            self.lease = Lease::new(self.settings.lease_ms);
            return;
        }
        if !self.forked {
            self.forked = true;
            self.notes.push(Note::Forked { number, here, there });
        }
    }

    fn finish(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let holds = self.holds_lease(now_ms);
        if holds != self.lease_held {
            self.lease_held = holds;
            out.push(Output::LeaseHeld(holds));
        }
        out.extend(self.notes.drain(..).map(Output::Note));
    }
}
