//! Connects the replicated log of the agreement to the governor of the policy. An agreed policy is first activated on this
//! front and only then confirmed to the log; it is not confirmed while a set-up is open that was accepted under an earlier
//! policy.

use pepperhook_agreement::node::{self, Node};
use pepperhook_agreement::{
    Command, Entry, Key, Operation, Outcome, Registers, StoredState, Subject, VoterId,
};
use pepperhook_policy::{Context, Effect, Governor, Policy, PolicyChecker, PolicyRequest, Timing};
use serde::Serialize;
use std::collections::VecDeque;

/// The register that holds the policy.
const POLICY: Subject = Subject { space: 1, number: 0 };
/// Interval between two ticks of the governor, milliseconds.
const GOVERNOR_TICK_MS: u64 = 100;
/// By how much a lease must at least exceed the longest patience of a policy, milliseconds.
const MIN_LEASE_MARGIN_MS: u64 = 1_000;
/// Limit of the entries that wait to be confirmed. Beyond it the oldest is dropped: a later confirmation includes it.
const MAX_UNCONFIRMED: usize = 64;

/// Settings of the agreement on one front.
#[derive(Clone, Debug)]
pub struct AgreementSettings {
    /// The node of the replicated log.
    pub node: node::Settings,
    /// The stored state, if this front is a voter.
    pub stored_state: Option<StoredState>,
    /// The policy in this front's file, if this front may propose it to a fleet that has none.
    pub initial_policy: Option<Policy>,
    /// The longest patience of a class in this front's file, milliseconds.
    pub patience_ms: u64,
    /// Whether the front serves by its file while it does not know the voters yet.
    pub serve_before_contact: bool,
}

/// What the agreement needs to know of the engine that runs under the policy.
pub trait PolicyEngine {
    /// Checks that this front can apply a policy.
    ///
    /// # Errors
    /// The reason if it cannot.
    fn check_policy(&self, policy: &Policy) -> Result<(), String>;
    /// The oldest policy in use by an open set-up, as the log entry that activated it; `None` while a set-up still uses the
    /// policy of the file.
    fn oldest_entry_in_use(&self) -> Option<u64>;
}

/// Stands in until an engine is set: no set-up is open, and every policy can be applied.
pub struct NoEngine;

impl PolicyEngine for NoEngine {
    fn check_policy(&self, _: &Policy) -> Result<(), String> {
        Ok(())
    }

    fn oldest_entry_in_use(&self) -> Option<u64> {
        Some(u64::MAX)
    }
}

/// Checks a policy against the engine and against the length of the lease.
struct EngineAndLeaseCheck<'a> {
    engine: &'a dyn PolicyEngine,
    lease_ms: u64,
}

impl PolicyChecker for EngineAndLeaseCheck<'_> {
    fn check_policy(&self, policy: &Policy) -> Result<(), String> {
        let longest = longest_patience_ms(policy);
        if longest.saturating_add(MIN_LEASE_MARGIN_MS) > self.lease_ms {
            return Err(format!(
                "a patience of {longest} ms is too long for the fleet's hold of {} ms: \
                 it must be at least {MIN_LEASE_MARGIN_MS} ms shorter",
                self.lease_ms
            ));
        }
        self.engine.check_policy(policy)
    }
}

/// The longest patience of a class, milliseconds.
fn longest_patience_ms(policy: &Policy) -> u64 {
    policy.fleet().classes.iter().map(|c| c.front.patience).max().unwrap_or(0) / 1_000_000
}

/// Output of the agreement.
#[derive(Clone, Debug, PartialEq)]
pub enum AgreementOutput {
    /// Send this message to this front.
    Send(u64, Vec<u8>),
    /// Write this batch (its number, its operations) to the voter's store; batches are written in order.
    Write(u64, Vec<pepperhook_agreement::StoreOp>),
    /// Rename the voter's store and create a new one.
    RecreateStore,
    /// Activate this policy before anything that follows is sent.
    ActivatePolicy(ActivePolicy),
    /// The answer to the operator's request with this key.
    AnswerOperator(u128, pepperhook_policy::Answer),
    /// A note for the log.
    Note(AgreementNote),
}

/// A policy that this front activates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActivePolicy {
    /// The log entry that activated it. Requests are distinguished by the entry under which they were accepted.
    pub entry: u64,
    /// The policy's version.
    pub version: u64,
    /// The step of the change, as [`pepperhook_policy::RegisterState::step`] names it.
    pub step: &'static str,
    /// The policy.
    pub policy: Policy,
}

/// A note for the log. Its `Debug` text leaves the process, so its variants keep their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgreementNote {
    /// A note of the node of the replicated log.
    Node(node::Note),
    /// This front got its lease (true) or lost it (false).
    Held(bool),
    /// This front cannot apply the agreed policy, for this reason.
    Stuck(String),
}

/// State of the agreement on this front, shown as JSON.
#[derive(Clone, Debug, Serialize)]
#[serde(rename = "AgreedShown")]
pub struct AgreementView {
    /// Whether this front votes now.
    pub votes: bool,
    /// Whether this front must not vote until it restarts.
    pub stopped: bool,
    /// Number of the configuration of voters; 0 if it is not known yet.
    pub config: u32,
    /// The voters.
    pub voters: Vec<u64>,
    /// The leader that this front follows as a voter.
    pub leader: Option<u64>,
    /// Number of the last entry in this front's log.
    #[serde(rename = "number")]
    pub last_entry: u64,
    /// Highest entry number known to this front.
    #[serde(rename = "known")]
    pub highest_known: u64,
    /// The entry up to which this front has applied the log and confirmed that.
    #[serde(rename = "vouched")]
    pub confirmed: u64,
    /// The entry up to which every front with a lease has confirmed.
    #[serde(rename = "settled")]
    pub stable: u64,
    /// Remaining time of this front's lease, milliseconds.
    #[serde(rename = "holds_ms")]
    pub lease_remaining_ms: u64,
    /// Whether it refuses set-ups because it may have missed an agreed change.
    pub fenced: bool,
    /// Whether its log differs from the agreed one.
    pub forked: bool,
    /// Version of the policy that is active on this front.
    pub version: Option<u64>,
    /// Step of that policy's change.
    pub step: Option<&'static str>,
    /// The log entry that activated that policy.
    #[serde(rename = "entry")]
    pub policy_entry: u64,
    /// State of the policy and its change, as rows of name and value.
    #[serde(rename = "policy")]
    pub policy_rows: Vec<(&'static str, String)>,
}

/// The agreement on one front: the replicated log, the governor of the policy, and the confirmations between them.
pub struct Agreement {
    node: Node,
    governor: Governor,
    engine: Box<dyn PolicyEngine>,
    lease_ms: u64,
    /// The longest patience of a class in the file or in any policy activated since, milliseconds.
    patience_ms: u64,
    serve_before_contact: bool,
    /// Entries to confirm, each with the entry whose policy was active when it was applied.
    unconfirmed: VecDeque<(u64, u64)>,
    /// The entry whose policy is active.
    active_entry: u64,
    governor_ticked_ms: u64,
    /// Outputs that result from the stored state, until the first tick returns them.
    startup_outputs: Vec<AgreementOutput>,
}

impl Agreement {
    pub fn new(settings: AgreementSettings, now_ms: u64) -> Self {
        let me = settings.node.me;
        let lease_ms = settings.node.lease_ms;
        // A change waits until the leases of fronts that are cut off expire, and some time for messages.
        let timing = Timing {
            first_step_timeout_ms: u32::try_from(lease_ms.saturating_mul(4)).unwrap_or(u32::MAX),
            ..Timing::default()
        };
        let mut new = Self {
            node: Node::new(settings.node, settings.stored_state, now_ms),
            governor: Governor::new(me, timing, settings.initial_policy),
            engine: Box::new(NoEngine),
            lease_ms,
            patience_ms: settings.patience_ms,
            serve_before_contact: settings.serve_before_contact,
            unconfirmed: VecDeque::new(),
            active_entry: 0,
            governor_ticked_ms: 0,
            startup_outputs: Vec::new(),
        };
        // The stored policy is activated before any later one.
        let mut outputs = Vec::new();
        new.replaced(now_ms, &mut outputs);
        new.startup_outputs = outputs;
        new
    }

    pub fn set_engine(&mut self, engine: Box<dyn PolicyEngine>) {
        self.engine = engine;
    }

    pub fn raise_run(&mut self, run: u64) {
        self.node.raise_run(run);
    }

    /// Whether this front must refuse set-ups: its lease ends before a request accepted now could time out, so the fleet may
    /// agree meanwhile on a change that this front does not know. A front that cannot apply a policy keeps the former one:
    /// while it has its lease, no front goes beyond the first step of the change.
    pub fn fenced(&self, now_ms: u64) -> bool {
        if !self.node.knows_voters() {
            return !self.serve_before_contact;
        }
        !self.node.holds_lease(now_ms.saturating_add(self.patience_ms))
    }

    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<AgreementOutput>) {
        out.append(&mut self.startup_outputs);
        let mut outputs = Vec::new();
        self.node.tick(now_ms, &mut outputs);
        self.process(now_ms, outputs, out);
        if now_ms >= self.governor_ticked_ms.saturating_add(GOVERNOR_TICK_MS) {
            self.governor_ticked_ms = now_ms;
            let register_known = self.node.knows_voters() && !self.node.forked();
            let context = Context { register_known, is_leader: self.node.leads() };
            let entry = self.policy_entry();
            self.call_governor(now_ms, entry, out, |g, _, checker, effects| {
                g.tick(now_ms, context, checker, effects)
            });
        }
        self.confirm_unused();
    }

    pub fn receive(
        &mut self,
        now_ms: u64,
        from: u64,
        run: u64,
        content: &[u8],
        out: &mut Vec<AgreementOutput>,
    ) {
        let mut outputs = Vec::new();
        self.node.receive(now_ms, from, run, content, &mut outputs);
        self.process(now_ms, outputs, out);
    }

    /// The voter's store has written a batch (`ok`) or failed to.
    pub fn store_written(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<AgreementOutput>) {
        let mut outputs = Vec::new();
        self.node.written(now_ms, batch, ok, &mut outputs);
        self.process(now_ms, outputs, out);
    }

    /// The store was recreated with this state.
    pub fn store_recreated(&mut self, state: StoredState) {
        self.node.store_recreated(state);
    }

    /// An operator requests a change of the policy.
    pub fn request_policy_change(
        &mut self,
        now_ms: u64,
        request: PolicyRequest,
        out: &mut Vec<AgreementOutput>,
    ) {
        let entry = self.policy_entry();
        self.call_governor(now_ms, entry, out, |g, _, checker, effects| {
            g.request_change(now_ms, request, checker, effects)
        });
    }

    /// Proposes to add a voter (the first of `change`), to remove one (the second), or both. Returns the proposed voters.
    ///
    /// # Errors
    /// The reason why the change cannot be proposed.
    pub fn request_voter_change(
        &mut self,
        now_ms: u64,
        key: Key,
        change: (Option<u64>, Option<u64>),
        out: &mut Vec<AgreementOutput>,
    ) -> Result<Vec<u64>, String> {
        let config = self.node.registers().config().ok_or("the voters are not known here")?;
        let mut voters = config.voters.clone();
        if let Some(removed) = change.1 {
            let before = voters.len();
            voters.retain(|v| v.front != removed);
            if voters.len() == before {
                return Err("the front to remove is not a voter".into());
            }
        }
        if let Some(added) = change.0 {
            if voters.iter().any(|v| v.front == added) {
                return Err("the front to add is a voter already".into());
            }
            let store = self.node.store_of(added).ok_or("no store of this front was heard of here: ask a front that votes, and see that it has a state-dir")?;
            voters.push(VoterId { front: added, store });
        }
        voters.sort_unstable();
        if !pepperhook_agreement::valid_voters(&voters) {
            return Err(format!("the change would leave {} voters: 1 to 7 are allowed", voters.len()));
        }
        let fronts = voters.iter().map(|v| v.front).collect();
        let operation = Operation::Voters { expects: config.number, voters };
        let command = Command { key, author: self.node.number(), operation };
        let mut outputs = Vec::new();
        self.node.propose(now_ms, command, &mut outputs);
        self.process(now_ms, outputs, out);
        Ok(fronts)
    }

    fn process(&mut self, now_ms: u64, outputs: Vec<node::Output>, out: &mut Vec<AgreementOutput>) {
        use node::Output;
        for output in outputs {
            match output {
                Output::Send { to, message } => out.push(AgreementOutput::Send(to, message)),
                Output::Write { batch, ops } => out.push(AgreementOutput::Write(batch, ops)),
                Output::Applied { entry, outcome } => self.applied(now_ms, &entry, outcome, out),
                Output::Replaced => self.replaced(now_ms, out),
                Output::Stable(number) => {
                    self.call_governor(now_ms, number, out, |g, _, _, effects| {
                        g.entry_stable(now_ms, number, effects)
                    });
                }
                Output::LeaseHeld(held) => out.push(AgreementOutput::Note(AgreementNote::Held(held))),
                // The governor watches the register and proposes again if it did not change.
                Output::Proposed { .. } => {}
                Output::RecreateStore => out.push(AgreementOutput::RecreateStore),
                Output::Note(note) => out.push(AgreementOutput::Note(AgreementNote::Node(note))),
            }
        }
        self.confirm_unused();
    }

    fn applied(&mut self, now_ms: u64, entry: &Entry, outcome: Outcome, out: &mut Vec<AgreementOutput>) {
        self.call_governor(now_ms, entry.number, out, |g, _, checker, effects| {
            g.entry_applied(now_ms, entry, &outcome, checker, effects);
        });
    }

    fn replaced(&mut self, now_ms: u64, out: &mut Vec<AgreementOutput>) {
        let registers = self.node.registers();
        let entry = registers.get(POLICY).map_or(registers.number(), |r| r.number);
        self.call_governor(now_ms, entry, out, |g, state, checker, effects| {
            g.load_snapshot(now_ms, state, checker, effects)
        });
    }

    /// The entry that wrote the policy's register; 0 if none did.
    fn policy_entry(&self) -> u64 {
        self.node.registers().get(POLICY).map_or(0, |r| r.number)
    }

    /// Calls the governor and executes its effects. A policy that it activates is recorded as activated by `entry`.
    fn call_governor(
        &mut self,
        now_ms: u64,
        entry: u64,
        out: &mut Vec<AgreementOutput>,
        call: impl FnOnce(&mut Governor, &Registers, &dyn PolicyChecker, &mut Vec<Effect>),
    ) {
        let mut effects = Vec::new();
        let checker = EngineAndLeaseCheck { engine: &*self.engine, lease_ms: self.lease_ms };
        call(&mut self.governor, self.node.registers(), &checker, &mut effects);
        self.execute(now_ms, entry, effects, out);
    }

    fn execute(&mut self, now_ms: u64, entry: u64, effects: Vec<Effect>, out: &mut Vec<AgreementOutput>) {
        for effect in effects {
            match effect {
                Effect::Propose(command) => {
                    let mut outputs = Vec::new();
                    self.node.propose(now_ms, command, &mut outputs);
                    self.process(now_ms, outputs, out);
                }
                Effect::Activate { version, step, policy } => {
                    self.active_entry = entry;
                    self.patience_ms = longest_patience_ms(&policy).max(self.patience_ms);
                    out.push(AgreementOutput::ActivatePolicy(ActivePolicy { entry, version, step, policy }));
                }
                Effect::Confirm(number) => {
                    if self.unconfirmed.len() >= MAX_UNCONFIRMED {
                        self.unconfirmed.pop_front();
                    }
                    self.unconfirmed.push_back((number, self.active_entry));
                }
                Effect::Answer { key, answer } => out.push(AgreementOutput::AnswerOperator(key, answer)),
                Effect::CannotApply(reason) => out.push(AgreementOutput::Note(AgreementNote::Stuck(reason))),
            }
        }
    }

    /// Confirms the entries whose earlier policies no open set-up uses any more.
    fn confirm_unused(&mut self) {
        let Some((_, first)) = self.unconfirmed.front() else { return };
        let oldest = self.engine.oldest_entry_in_use().unwrap_or(0);
        if oldest < *first {
            return;
        }
        while let Some((number, _)) =
            self.unconfirmed.front().filter(|(_, active)| *active <= oldest).copied()
        {
            self.node.confirm(number);
            self.unconfirmed.pop_front();
        }
    }

    /// The policy that is active on this front: version, step, document.
    pub fn active_policy(&self) -> Option<(u64, &'static str, &Policy)> {
        self.governor.active_policy()
    }

    pub fn governor(&self) -> &Governor {
        &self.governor
    }

    pub fn view(&self, now_ms: u64) -> AgreementView {
        let v = self.node.view(now_ms);
        AgreementView {
            votes: v.votes,
            stopped: v.stopped,
            config: v.config.as_ref().map_or(0, |c| c.number),
            voters: v.config.map_or_else(Vec::new, |c| c.voters.iter().map(|v| v.front).collect()),
            leader: v.leader.map(|l| l.front),
            last_entry: v.number,
            highest_known: v.known,
            confirmed: v.confirmed,
            stable: v.stable,
            lease_remaining_ms: v.lease_remaining_ms,
            fenced: self.fenced(now_ms),
            forked: v.forked,
            version: self.active_policy().map(|(version, ..)| version),
            step: self.active_policy().map(|(_, step, _)| step),
            policy_entry: self.active_entry,
            policy_rows: self.governor.rows(now_ms),
        }
    }
}
