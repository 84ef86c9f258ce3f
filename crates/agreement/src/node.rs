//! One front's part in the agreement: it learns and holds, and votes if it is one of the voters. Without I/O: time,
//! messages and the disk's answers are handed in, what is to be sent, written and told comes out.
//!
//! `front` has what every front does: holds, catch-up, proposals. `voting` has what a voter does beside.

mod front;
mod view;
mod voting;

pub use view::View;

use crate::catch_up::{Learner, Source};
use crate::fragments::{Bucket, Parcels};
use crate::genesis::Genesis;
use crate::lease::Hold;
use crate::progress::{Remembered, Written};
use crate::proposals::{Answer, Proposals};
use crate::registers::{Outcome, Registers};
use crate::store::{Kept, KeptLog, Op};
use crate::types::{Command, Entry, Key, MOST_BODY, VoterId, What};
use crate::wire::{Head, Heard, MOST_MESSAGE, Message, decode, encode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use voting::{Begun, Seat};

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
    pub hold_ms: u64,
    /// Time between two questions to each voter; several have to fit into a hold.
    pub look_ms: u64,
    /// A proposal is sent again for so long.
    pub propose_ms: u64,
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
pub enum Out {
    /// To a front; may be lost. At most [`MOST_MESSAGE`] bytes.
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
        ops: Vec<Op>,
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
    Settled(u64),
    /// It holds from now on, or no more. It may stop before it says so: ask [`Node::holds`].
    Held(bool),
    /// What came of a proposal.
    Proposed {
        /// Its command.
        key: Key,
        /// What came of it.
        answer: Answer,
    },
    /// Its store is to be put away and a new one made; [`Node::remade`] takes it.
    Remake,
    /// For the log.
    Note(Note),
}

/// A front's part.
pub struct Node {
    s: Settings,
    random: StdRng,
    /// Itself as a voter, and how often its store was opened.
    id: Option<VoterId>,
    boots: u64,
    /// It must not vote any more in this run.
    stopped: bool,
    registers: Registers,
    forked: bool,
    // Every front's.
    hold: Hold,
    held: bool,
    learner: Learner,
    /// The highest configuration that anyone told of.
    told_config: u32,
    parcels: Parcels,
    proposals: Proposals,
    question: u64,
    /// When the last questions were sent.
    asked: VecDeque<(u64, u64)>,
    look_ms: u64,
    look_soon: bool,
    last_look_ms: u64,
    /// Answers since the last question, and how many of a thousand came lately.
    answers: u32,
    heard_of: u64,
    // A voter's.
    genesis: Option<Genesis>,
    seat: Option<Box<Seat>>,
    begun: Option<Begun>,
    /// The store's log, until a voter goes on from it; and the configuration that the store is in.
    kept: Option<KeptLog>,
    store_config: u32,
    /// Entries that the store has as decided.
    durable: u64,
    source: Option<Source>,
    batch: u64,
    writes: VecDeque<(u64, voting::Asked)>,
    written: Written,
    synced: crate::progress::Reach,
    remembered: Remembered,
    welcomed: BTreeSet<u64>,
    admitted: bool,
    /// Stores of fronts that asked lately, and when.
    stores: BTreeMap<u64, (u64, u64)>,
    next_hello_ms: u64,
    next_vote_ms: u64,
    next_fold_ms: u64,
    next_replace_ms: u64,
    pushed: (u64, u64),
    /// Messages between voters that leave once more: when, to whom.
    again: VecDeque<(u64, u64, Vec<u8>)>,
    may_again: Bucket,
    /// What may leave at once, by voter.
    direct: BTreeMap<u64, Bucket>,
    notes: Vec<Note>,
}

impl Node {
    /// A front, with what its store has if it may vote. After it [`Node::registers`] are what the store had.
    #[must_use]
    pub fn new(s: Settings, kept: Option<Kept>, now_ms: u64) -> Self {
        let mut random = StdRng::seed_from_u64(s.seed ^ s.me.rotate_left(32) ^ s.run);
        let mut node = Self {
            id: None,
            boots: 0,
            stopped: false,
            registers: Registers::default(),
            forked: false,
            hold: Hold::new(s.hold_ms),
            held: false,
            learner: Learner::new(random.random_range(0..1_000)),
            told_config: 0,
            parcels: Parcels::new(random.random()),
            proposals: Proposals::default(),
            question: 0,
            asked: VecDeque::new(),
            look_ms: now_ms.saturating_add(random.random_range(0..=s.look_ms)),
            look_soon: false,
            last_look_ms: 0,
            answers: 0,
            heard_of: 1_000,
            genesis: None,
            seat: None,
            begun: None,
            kept: None,
            store_config: 0,
            durable: 0,
            source: None,
            batch: 0,
            writes: VecDeque::new(),
            written: Written::default(),
            synced: crate::progress::Reach::default(),
            remembered: Remembered::default(),
            welcomed: BTreeSet::new(),
            admitted: false,
            stores: BTreeMap::new(),
            next_hello_ms: now_ms,
            next_vote_ms: now_ms,
            next_fold_ms: now_ms,
            next_replace_ms: now_ms,
            pushed: (0, 0),
            again: VecDeque::new(),
            direct: BTreeMap::new(),
            may_again: Bucket::new(now_ms, 100, 40),
            notes: Vec::new(),
            random,
            s,
        };
        if let Some(kept) = kept {
            node.open(kept);
        }
        node
    }

    /// Time passes. To be called each 20 to 50 ms; later is safe, and slower.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        self.tick_voter(now_ms, out);
        self.tick_front(now_ms, out);
        self.after(now_ms, out);
    }

    /// A front in a run says something. Any bytes will do: what is no message changes nothing.
    pub fn receive(&mut self, now_ms: u64, from: u64, run: u64, bytes: &[u8], out: &mut Vec<Out>) {
        if bytes.len() <= MOST_MESSAGE
            && let Some((head, message)) = decode(bytes)
        {
            self.head(from, &head);
            self.message(now_ms, from, run, head, message, out);
            self.after(now_ms, out);
        }
    }

    /// The disk's answer to a batch. After a refusal this front votes no more in this run.
    pub fn written(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<Out>) {
        self.disk(now_ms, batch, ok, out);
        self.after(now_ms, out);
    }

    /// Proposes a command. It is sent again under its key until it is applied here or its time is over; either is told by
    /// [`Out::Proposed`].
    pub fn propose(&mut self, now_ms: u64, command: Command, out: &mut Vec<Out>) {
        let key = command.key;
        let sound = match &command.what {
            What::Put { body, .. } => body.len() <= MOST_BODY,
            What::Voters { voters, .. } => crate::registers::sound_voters(voters),
        };
        if !sound {
            out.push(Out::Proposed { key, answer: Answer::Unsound });
        } else if let Some((number, outcome)) = self.registers.outcome(key) {
            out.push(Out::Proposed { key, answer: Answer::Applied { number, outcome } });
        } else if !self.proposals.add(now_ms, self.s.propose_ms, command, self.random.random_range(0..1_000))
        {
            out.push(Out::Proposed { key, answer: Answer::Busy });
        } else {
            self.send_proposals(now_ms, out);
            self.after(now_ms, out);
        }
    }

    /// The application goes by what was agreed up to this entry, as far as it is here.
    pub fn vouch(&mut self, number: u64) {
        let before = self.hold.vouched();
        self.hold.vouch(number.min(self.registers.number()));
        self.look_soon |= self.hold.vouched() > before;
    }

    /// No front that holds goes by less than this entry.
    #[must_use]
    pub fn settled(&self) -> u64 {
        self.hold.settled()
    }

    /// Whether nothing newer takes effect without this front, now.
    #[must_use]
    pub fn holds(&self, now_ms: u64) -> bool {
        !self.forked && self.hold.holds(now_ms)
    }

    /// Whether anything was ever agreed, as far as this front has heard in this run.
    #[must_use]
    pub fn agreed(&self) -> bool {
        self.forked || self.registers.number() > 0 || self.learner.known() > 0
    }

    /// Whether this front has heard who votes. One that has not cannot know whether anything was agreed.
    #[must_use]
    pub fn knows(&self) -> bool {
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
    pub fn raise(&mut self, run: u64) {
        if run > self.s.run {
            self.s.run = run;
            self.genesis = None;
            self.look_soon = true;
        }
    }

    /// The store that [`Out::Remake`] asked for. The front learns on and asks to be a voter again.
    pub fn remade(&mut self, kept: Kept) {
        if self.stopped {
            self.stopped = false;
            self.admitted = false;
            self.welcomed.clear();
            (self.kept, self.store_config, self.durable) = (None, 0, 0);
            (self.batch, self.genesis) = (0, None);
            self.id = Some(VoterId { front: self.s.me, store: kept.store });
            self.boots = kept.boots;
            self.written = Written::default();
            self.synced = crate::progress::Reach::default();
        }
    }

    fn open(&mut self, kept: Kept) {
        self.id = Some(VoterId { front: self.s.me, store: kept.store }).filter(|v| v.store != 0);
        self.boots = kept.boots;
        self.written = Written::of(kept.config.as_ref(), &kept.log);
        self.synced = self.written.reach();
        let Some(config) = kept.config else { return };
        let loaded = Registers::load(&kept.snapshot).ok();
        let Some(registers) = loaded.filter(|r| r.config() == Some(&config)) else {
            self.stopped = true;
            self.notes.push(Note::Broken);
            return;
        };
        self.registers = registers;
        for (index, command) in kept.log.commands.iter().enumerate().take(kept.log.decided as usize) {
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
        self.kept = Some(kept.log);
        self.knows_voters();
    }

    fn knows_voters(&mut self) {
        if let Some(c) = self.registers.config() {
            self.hold.set_voters(self.registers.since(), &c.voters);
        }
    }

    fn me(&self) -> Heard {
        Heard { front: self.s.me, run: self.s.run, store: self.id.map_or(0, |v| v.store) }
    }

    fn own_head(&self) -> Head {
        let r = &self.registers;
        Head { origin: r.origin(), config: r.config_number(), number: r.number() }
    }

    fn say(&mut self, now_ms: u64, to: u64, message: &Message, out: &mut Vec<Out>) {
        let bytes = encode(&self.own_head(), message);
        if to == self.s.me || bytes.is_empty() {
            return;
        }
        if bytes.len() <= MOST_MESSAGE {
            out.push(Out::Send { to, message: bytes });
        } else {
            self.parcels.send(now_ms, to, bytes);
        }
    }

    /// Whom to ask: the voters, and those named first, since the voters known here may all be gone.
    fn whom(&self) -> Vec<u64> {
        let mut all: Vec<u64> =
            self.registers.config().map_or(Vec::new(), |c| c.voters.iter().map(|v| v.front).collect());
        if all.is_empty() || (self.learner.is_behind(&self.registers) && self.hold.until_ms() == 0) {
            all.extend(self.s.voters.iter().filter(|v| !all.contains(v)).collect::<Vec<_>>());
        }
        all.retain(|v| *v != self.s.me);
        all
    }

    /// An entry follows.
    fn apply(&mut self, now_ms: u64, command: Command, out: &mut Vec<Out>) {
        let key = command.key;
        let (entry, outcome) = self.registers.apply(command);
        let number = entry.number;
        if let Some(source) = &mut self.source {
            source.applied(&entry, &self.registers);
        }
        out.push(Out::Applied { entry, outcome });
        if self.proposals.applied(key) {
            let (number, outcome) = self.registers.outcome(key).unwrap_or((number, outcome));
            out.push(Out::Proposed { key, answer: Answer::Applied { number, outcome } });
        }
        if matches!(outcome, Outcome::Ended(c) if c == self.registers.config_number()) {
            if let Some(source) = &mut self.source {
                source.base(&self.registers);
            }
            self.knows_voters();
            self.sit(now_ms, out);
        }
    }

    /// The registers are later ones now.
    fn replace(&mut self, now_ms: u64, new: Registers, out: &mut Vec<Out>) {
        self.registers = new;
        if self.source.is_some() {
            self.source = Some(Source::new(now_ms, &self.registers));
        }
        out.push(Out::Replaced);
        for (key, answer) in self.proposals.replaced(&self.registers) {
            out.push(Out::Proposed { key, answer });
        }
        self.knows_voters();
        self.sit(now_ms, out);
    }

    /// What a voter has is not what is here.
    fn fork(&mut self, number: u64, here: u64, there: u64) {
        if self.registers.number() == 0
            && self.seat.is_none()
            && self.begun.is_none()
            && self.store_config == 0
        {
            // Nothing was agreed here: it learns whatever is.
            self.registers = Registers::default();
            self.hold = Hold::new(self.s.hold_ms);
            return;
        }
        if !self.forked {
            self.forked = true;
            self.notes.push(Note::Forked { number, here, there });
        }
    }

    fn after(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let holds = self.holds(now_ms);
        if holds != self.held {
            self.held = holds;
            out.push(Out::Held(holds));
        }
        out.extend(self.notes.drain(..).map(Out::Note));
    }
}
