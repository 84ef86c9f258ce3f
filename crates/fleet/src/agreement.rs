//! What the fleet agrees on, on a lane of the exchange: the log's part of this front, and the governor of its policy. What
//! was agreed goes into force here first and is vouched for then; nothing is vouched for while a set-up is open that was
//! taken under what stood before.

use pepperhook_agreement::node::{self, Node};
use pepperhook_agreement::{
    Command, Entry, Key, Operation, Outcome, Registers, StoredState, Subject, VoterId,
};
use pepperhook_policy::{Around, Ask, Effect, Fits, Governor, Pace, Policy};
use serde::Serialize;
use std::collections::VecDeque;

/// The register of the policy.
const POLICY: Subject = Subject { space: 1, number: 0 };
/// Time between two looks of the governor, milliseconds.
const GOVERN_MS: u64 = 100;
/// What a hold has beside the longest patience at least, milliseconds.
const BESIDE_MS: u64 = 1_000;
/// Entries that wait to be vouched for at most; a front that is further behind vouches for the last of them alone.
const MOST_DUE: usize = 64;

/// What a front is told of the agreement at its start.
#[derive(Clone, Debug)]
pub struct AgreedSettings {
    /// The log's part.
    pub node: node::Settings,
    /// What the store of a voter has.
    pub kept: Option<StoredState>,
    /// The policy of this front's file, if it may begin with it where none stands.
    pub seed: Option<Policy>,
    /// The longest patience by the file, milliseconds.
    pub patience_ms: u64,
    /// A front that never heard of the voters serves by its file.
    pub serve_unknown: bool,
}

/// What the front's own engine says.
pub trait Means {
    /// Whether this front can go by a policy.
    ///
    /// # Errors
    /// Why not.
    fn fits(&self, policy: &Policy) -> Result<(), String>;
    /// The earliest entry by which anything is still decided here; `None` while something goes by the file.
    fn decides_by(&self) -> Option<u64>;
}

/// A front that has no engine: nothing is open, and it can go by everything.
pub struct NoMeans;

impl Means for NoMeans {
    fn fits(&self, _: &Policy) -> Result<(), String> {
        Ok(())
    }

    fn decides_by(&self) -> Option<u64> {
        Some(u64::MAX)
    }
}

/// The means, and the bound that the hold sets.
struct Bounded<'a>(&'a dyn Means, u64);

impl Fits for Bounded<'_> {
    fn fits(&self, policy: &Policy) -> Result<(), String> {
        let longest = patience_ms(policy);
        if longest.saturating_add(BESIDE_MS) > self.1 {
            return Err(format!(
                "a patience of {longest} ms is too long for the fleet's hold of {} ms",
                self.1
            ));
        }
        self.0.fits(policy)
    }
}

fn patience_ms(policy: &Policy) -> u64 {
    policy.fleet().classes.iter().map(|c| c.front.patience).max().unwrap_or(0) / 1_000_000
}

/// What comes out, to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// To a front.
    Send(u64, Vec<u8>),
    /// To the store, in order.
    Write(u64, Vec<pepperhook_agreement::StoreOp>),
    /// The store is to be put away and a new one made.
    Remake,
    /// This policy comes into force, before anything that follows is sent.
    InForce(Force),
    /// What came of an operator's wish of this key.
    Told(u128, pepperhook_policy::Answer),
    /// For the log.
    Note(AgreedNote),
}

/// A policy as it comes into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Force {
    /// The entry of the log that put it into force: by it requests are told apart.
    pub entry: u64,
    /// The policy's version.
    pub version: u64,
    /// The step of its change.
    pub step: &'static str,
    /// The policy.
    pub policy: Policy,
}

/// For the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreedNote {
    /// Of the log's part.
    Node(node::Note),
    /// It holds, or no more.
    Held(bool),
    /// It cannot go by what was decided; why.
    Stuck(String),
}

/// For display.
#[derive(Clone, Debug, Serialize)]
pub struct AgreedShown {
    /// It votes now.
    pub votes: bool,
    /// It must not vote in this run any more.
    pub stopped: bool,
    /// Number of the configuration of voters, 0 if it is not known yet.
    pub config: u32,
    /// The voters.
    pub voters: Vec<u64>,
    /// The leader that this voter follows.
    pub leader: Option<u64>,
    /// The last entry here.
    pub number: u64,
    /// The highest that it has heard of.
    pub known: u64,
    /// Up to where this front goes by what was agreed.
    pub vouched: u64,
    /// Up to where every front that holds does.
    pub settled: u64,
    /// It holds for so long yet, milliseconds.
    pub holds_ms: u64,
    /// It takes no set-ups, since it cannot know what the fleet agreed.
    pub fenced: bool,
    /// What it has is not what was agreed.
    pub forked: bool,
    /// Version of the policy that this front goes by.
    pub version: Option<u64>,
    /// The step of its change.
    pub step: Option<&'static str>,
    /// The entry that put it into force.
    pub entry: u64,
    /// The policy, its step, who made it.
    pub policy: Vec<(&'static str, String)>,
}

/// This front's part.
pub struct Agreed {
    node: Node,
    governor: Governor,
    means: Box<dyn Means>,
    hold_ms: u64,
    patience_ms: u64,
    serve_unknown: bool,
    /// Entries to be vouched for, each with the entry in force by then.
    due: VecDeque<(u64, u64)>,
    /// The entry in force.
    force: u64,
    governed_ms: u64,
    /// What the store's policy brought, until the first look.
    kept: Vec<Said>,
}

impl Agreed {
    pub fn new(settings: AgreedSettings, now_ms: u64) -> Self {
        let me = settings.node.me;
        let hold_ms = settings.node.lease_ms;
        // A change waits for fronts that are cut off as long as their holds last, and some time for messages.
        let pace = Pace {
            first_ms: u32::try_from(hold_ms.saturating_mul(4)).unwrap_or(u32::MAX),
            ..Pace::default()
        };
        let mut new = Self {
            node: Node::new(settings.node, settings.kept, now_ms),
            governor: Governor::new(me, pace, settings.seed),
            means: Box::new(NoMeans),
            hold_ms,
            patience_ms: settings.patience_ms,
            serve_unknown: settings.serve_unknown,
            due: VecDeque::new(),
            force: 0,
            governed_ms: 0,
            kept: Vec::new(),
        };
        // What the store had is gone by before anything later.
        let mut said = Vec::new();
        new.replaced(now_ms, &mut said);
        new.kept = said;
        new
    }

    pub fn set_means(&mut self, means: Box<dyn Means>) {
        self.means = means;
    }

    pub fn raise(&mut self, run: u64) {
        self.node.raise_run(run);
    }

    /// It cannot know what the fleet agreed, for as long as a request that is taken now may wait. One that objects to a
    /// policy goes on by the former: nobody goes further than the step between while it holds.
    pub fn fenced(&self, now_ms: u64) -> bool {
        if !self.node.knows_voters() {
            return !self.serve_unknown;
        }
        !self.node.holds_lease(now_ms.saturating_add(self.patience_ms))
    }

    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Said>) {
        out.append(&mut self.kept);
        let mut said = Vec::new();
        self.node.tick(now_ms, &mut said);
        self.take(now_ms, said, out);
        if now_ms >= self.governed_ms.saturating_add(GOVERN_MS) {
            self.governed_ms = now_ms;
            let agreed = self.node.knows_voters() && !self.node.forked();
            let around = Around { agreed, leads: self.node.leads() };
            let entry = self.register();
            self.govern(now_ms, entry, out, |g, _, fits, effects| g.tick(now_ms, around, fits, effects));
        }
        self.vouch();
    }

    pub fn heard(&mut self, now_ms: u64, from: u64, run: u64, content: &[u8], out: &mut Vec<Said>) {
        let mut said = Vec::new();
        self.node.receive(now_ms, from, run, content, &mut said);
        self.take(now_ms, said, out);
    }

    pub fn written(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<Said>) {
        let mut said = Vec::new();
        self.node.written(now_ms, batch, ok, &mut said);
        self.take(now_ms, said, out);
    }

    pub fn remade(&mut self, kept: StoredState) {
        self.node.store_recreated(kept);
    }

    pub fn ask(&mut self, now_ms: u64, ask: Ask, out: &mut Vec<Said>) {
        let entry = self.register();
        self.govern(now_ms, entry, out, |g, _, fits, effects| g.ask(now_ms, ask, fits, effects));
    }

    /// Asks for one voter more or less, or one in place of another.
    ///
    /// # Errors
    /// Why it cannot be asked for.
    pub fn voters(
        &mut self,
        now_ms: u64,
        key: Key,
        change: (Option<u64>, Option<u64>),
        out: &mut Vec<Said>,
    ) -> Result<Vec<u64>, String> {
        let config = self.node.registers().config().ok_or("the voters are not known here")?;
        let mut voters = config.voters.clone();
        if let Some(goes) = change.1 {
            let before = voters.len();
            voters.retain(|v| v.front != goes);
            if voters.len() == before {
                return Err("this front does not vote".into());
            }
        }
        if let Some(comes) = change.0 {
            if voters.iter().any(|v| v.front == comes) {
                return Err("this front votes already".into());
            }
            let store = self.node.store_of(comes).ok_or("no store of this front was heard of here: ask a front that votes, and see that it has a state-dir")?;
            voters.push(VoterId { front: comes, store });
        }
        voters.sort_unstable();
        if !pepperhook_agreement::valid_voters(&voters) {
            return Err("there are 1 to 7 voters".into());
        }
        let fronts = voters.iter().map(|v| v.front).collect();
        let operation = Operation::Voters { expects: config.number, voters };
        let command = Command { key, author: self.node.number(), operation };
        let mut said = Vec::new();
        self.node.propose(now_ms, command, &mut said);
        self.take(now_ms, said, out);
        Ok(fronts)
    }

    fn take(&mut self, now_ms: u64, said: Vec<node::Output>, out: &mut Vec<Said>) {
        use node::Output as From;
        for o in said {
            match o {
                From::Send { to, message } => out.push(Said::Send(to, message)),
                From::Write { batch, ops } => out.push(Said::Write(batch, ops)),
                From::Applied { entry, outcome } => self.applied(now_ms, &entry, outcome, out),
                From::Replaced => self.replaced(now_ms, out),
                From::Stable(number) => {
                    self.govern(now_ms, number, out, |g, _, _, effects| g.settled(now_ms, number, effects));
                }
                From::LeaseHeld(held) => out.push(Said::Note(AgreedNote::Held(held))),
                // The governor looks at the register, and proposes again where it did not move.
                From::Proposed { .. } => {}
                From::RecreateStore => out.push(Said::Remake),
                From::Note(note) => out.push(Said::Note(AgreedNote::Node(note))),
            }
        }
        self.vouch();
    }

    fn applied(&mut self, now_ms: u64, entry: &Entry, outcome: Outcome, out: &mut Vec<Said>) {
        self.govern(now_ms, entry.number, out, |g, _, fits, effects| {
            g.applied(now_ms, entry, &outcome, fits, effects);
        });
    }

    fn replaced(&mut self, now_ms: u64, out: &mut Vec<Said>) {
        let registers = self.node.registers();
        let entry = registers.get(POLICY).map_or(registers.number(), |r| r.number);
        self.govern(now_ms, entry, out, |g, state, fits, effects| g.replaced(now_ms, state, fits, effects));
    }

    /// The entry that wrote the policy's register, 0 for none.
    fn register(&self) -> u64 {
        self.node.registers().get(POLICY).map_or(0, |r| r.number)
    }

    /// Calls the governor and carries out what it wants; a policy that it puts into force does so by this entry.
    fn govern(
        &mut self,
        now_ms: u64,
        entry: u64,
        out: &mut Vec<Said>,
        call: impl FnOnce(&mut Governor, &Registers, &dyn Fits, &mut Vec<Effect>),
    ) {
        let mut effects = Vec::new();
        let fits = Bounded(&*self.means, self.hold_ms);
        call(&mut self.governor, self.node.registers(), &fits, &mut effects);
        self.carry_out(now_ms, entry, effects, out);
    }

    fn carry_out(&mut self, now_ms: u64, entry: u64, effects: Vec<Effect>, out: &mut Vec<Said>) {
        for effect in effects {
            match effect {
                Effect::Propose(command) => {
                    let mut said = Vec::new();
                    self.node.propose(now_ms, command, &mut said);
                    self.take(now_ms, said, out);
                }
                Effect::InForce { version, step, policy } => {
                    self.force = entry;
                    self.patience_ms = patience_ms(&policy).max(self.patience_ms);
                    out.push(Said::InForce(Force { entry, version, step, policy }));
                }
                Effect::Vouch(number) => {
                    if self.due.len() >= MOST_DUE {
                        self.due.pop_front();
                    }
                    self.due.push_back((number, self.force));
                }
                Effect::Told { key, answer } => out.push(Said::Told(key, answer)),
                Effect::Stuck(why) => out.push(Said::Note(AgreedNote::Stuck(why))),
            }
        }
    }

    /// Vouches for what nothing open here contradicts any more.
    fn vouch(&mut self) {
        let Some((_, first)) = self.due.front() else { return };
        let by = self.means.decides_by().unwrap_or(0);
        if by < *first {
            return;
        }
        while let Some((number, _)) = self.due.front().filter(|(_, force)| *force <= by).copied() {
            self.node.confirm(number);
            self.due.pop_front();
        }
    }

    /// The policy that stands or is being made: version, step, document.
    pub fn in_force(&self) -> Option<(u64, &'static str, &Policy)> {
        self.governor.in_force()
    }

    pub fn governor(&self) -> &Governor {
        &self.governor
    }

    pub fn shown(&self, now_ms: u64) -> AgreedShown {
        let v = self.node.view(now_ms);
        AgreedShown {
            votes: v.votes,
            stopped: v.stopped,
            config: v.config.as_ref().map_or(0, |c| c.number),
            voters: v.config.map_or_else(Vec::new, |c| c.voters.iter().map(|v| v.front).collect()),
            leader: v.leader.map(|l| l.front),
            number: v.number,
            known: v.known,
            vouched: v.confirmed,
            settled: v.stable,
            holds_ms: v.lease_remaining_ms,
            fenced: self.fenced(now_ms),
            forked: v.forked,
            version: self.in_force().map(|(version, ..)| version),
            step: self.in_force().map(|(_, step, _)| step),
            entry: self.force,
            policy: self.governor.rows(now_ms),
        }
    }
}
