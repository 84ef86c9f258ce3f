//! The governor: one front's part in a change of the policy.
//!
//! Two rules keep the fronts consistent. A front confirms an entry only after it has applied it, and the next step is
//! proposed only when the entry of the former step is stable: then every front with a lease has applied that step, and a
//! front without a lease is fenced. Any front may propose a step: a command is applied only if the register was not
//! written since the entry that the command expects, and its key is derived from that entry, so all fronts propose the
//! same command.

use crate::answer::{Answer, Effect, Inapplicable, MAX_OPERATOR_BYTES, PolicyRequest, Timing};
use crate::change::{
    MAX_REASON_BYTES, Origin, PolicyChange, RegisterState, SUBJECT, TrialBaseline, UndoneChange,
    UnreadableRegister, derive_key, truncate,
};
use crate::intersection::intersect;
use crate::policy::Policy;
use crate::trial::{History, ServiceTotals, Verdict};
use pepperhook_agreement::{Command, Entry, Key, Operation, Outcome, Registers};
use pepperhook_settings::Config;
use std::collections::{BTreeMap, VecDeque};

mod operators;
mod view;

use operators::answer_from_register;

/// Limit of the requests that wait for an answer at one front.
const MAX_PENDING_REQUESTS: usize = 16;
/// Limit of the answers that are stored for repeated requests.
const MAX_STORED_ANSWERS: usize = 64;
/// Allowed timeouts of a first step, milliseconds. The register's value is clamped to them.
const FIRST_STEP_RANGE_MS: (u64, u64) = (1_000, 600_000);

/// Checks whether a front can apply a policy.
pub trait PolicyChecker {
    /// Checks that this front can apply the policy.
    ///
    /// # Errors
    /// The reason if it cannot.
    fn check_policy(&self, policy: &Policy) -> Result<(), String>;
}

impl PolicyChecker for Config {
    fn check_policy(&self, policy: &Policy) -> Result<(), String> {
        policy.apply_to(self).map(drop)
    }
}

/// State of the front that the caller knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Context {
    /// Whether this front takes part in the agreement, so that its copy of the register is the agreed one, even if empty.
    pub register_known: bool,
    /// Whether the front leads the voters. The leader proposes the next step without delay.
    pub is_leader: bool,
}

/// The decoded register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CurrentRegister {
    /// The entry that wrote the register.
    entry: u64,
    state: RegisterState,
    old: Policy,
    new: Policy,
    /// When this front applied the entry.
    since_ms: u64,
    /// When this front learned that the entry is stable.
    stable_since_ms: Option<u64>,
}

/// Kinds of proposals. The numbers are part of the commands' keys.
#[derive(Clone, Copy, Debug)]
enum ProposalKind {
    InitialPolicy = 1,
    SecondStep = 2,
    Complete = 3,
    Rollback = 4,
    RollbackDone = 5,
    FirstStep = 6,
    Trial = 7,
    Undo = 8,
    EndTrial = 9,
}

/// A request received by this front that has no final answer yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    origin: Origin,
    base_version: u64,
    since_ms: u64,
    /// The register has shown its first step, and the requester was answered so.
    accepted: bool,
    /// Key of the proposed command.
    command: u128,
}

/// The governor of one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Governor {
    me: u64,
    timing: Timing,
    initial_policy: Option<Policy>,
    context: Context,
    /// When the agreed register was first known.
    known_since_ms: Option<u64>,
    /// The entry that wrote the register; 0 if none did.
    register: u64,
    current: Option<CurrentRegister>,
    /// The register's bytes could not be decoded.
    unreadable: bool,
    /// The policy that this front applies: version, step, document.
    active: Option<(u64, &'static str, Policy)>,
    /// Why this front cannot apply the policy that the register requires, if so.
    inapplicable: Option<String>,
    /// When it was last checked whether this front can apply that policy.
    checked_ms: u64,
    /// The last entry that this front processed.
    last_applied: u64,
    /// The last entry that this front confirmed.
    confirmed: u64,
    /// The last entry known to be confirmed by every front with a lease.
    stable: u64,
    /// The register's entry at the last proposal, and the time of that.
    proposed: Option<(u64, u64)>,
    /// Requests without a final answer, by key.
    pending: BTreeMap<u128, PendingRequest>,
    /// Final answers, by key, oldest first.
    answers: VecDeque<(u128, Answer)>,
    history: History,
}

impl Governor {
    /// A governor without any state. `initial_policy` is the policy in the front's file, if this front may propose it to a
    /// fleet that has none.
    #[must_use]
    pub fn new(me: u64, timing: Timing, initial_policy: Option<Policy>) -> Self {
        Self {
            me,
            timing,
            initial_policy,
            context: Context::default(),
            known_since_ms: None,
            register: 0,
            current: None,
            unreadable: false,
            active: None,
            inapplicable: None,
            checked_ms: 0,
            last_applied: 0,
            confirmed: 0,
            stable: 0,
            proposed: None,
            pending: BTreeMap::new(),
            answers: VecDeque::new(),
            history: History::default(),
        }
    }

    /// Processes the next entry of the log and the outcome of its command.
    pub fn entry_applied(
        &mut self,
        now_ms: u64,
        entry: &Entry,
        outcome: &Outcome,
        checker: &dyn PolicyChecker,
        out: &mut Vec<Effect>,
    ) {
        if entry.number <= self.last_applied {
            return;
        }
        self.last_applied = entry.number;
        if let Operation::Put { subject: SUBJECT, expects, body } = &entry.command.operation {
            // A repeated command has its first outcome again and changes nothing.
            if *outcome == Outcome::Applied && *expects == self.register {
                self.read_register(now_ms, entry.number, body, checker, out);
            } else {
                self.command_rejected(entry.command.key.0, outcome, out);
            }
        }
        self.confirm(out);
    }

    /// Loads the registers at the start, or from a snapshot.
    pub fn load_snapshot(
        &mut self,
        now_ms: u64,
        state: &Registers,
        checker: &dyn PolicyChecker,
        out: &mut Vec<Effect>,
    ) {
        let register = state.get(SUBJECT).map(|r| (r.number, r.body.as_slice()));
        self.load_register(now_ms, state.number(), register, checker, out);
    }

    /// As [`Self::load_snapshot`], for the state after entry `number`; `register` is the entry that wrote the policy's
    /// register, and the register's bytes.
    pub fn load_register(
        &mut self,
        now_ms: u64,
        number: u64,
        register: Option<(u64, &[u8])>,
        checker: &dyn PolicyChecker,
        out: &mut Vec<Effect>,
    ) {
        self.last_applied = self.last_applied.max(number);
        match register {
            Some((entry, body)) if entry != self.register || self.unreadable => {
                self.read_register(now_ms, entry, body, checker, out)
            }
            Some(_) => {}
            None => {
                (self.current, self.register, self.unreadable, self.inapplicable) = (None, 0, false, None)
            }
        }
        self.answer_requesters(out);
        self.confirm(out);
    }

    /// Every front with a lease has confirmed this entry or a later one.
    pub fn entry_stable(&mut self, now_ms: u64, number: u64, out: &mut Vec<Effect>) {
        self.stable = self.stable.max(number);
        let stable = self.stable;
        if let Some(current) = self
            .current
            .as_mut()
            .filter(|current| current.stable_since_ms.is_none() && current.entry <= stable)
        {
            current.stable_since_ms = Some(now_ms);
        }
        self.propose_next_step(now_ms, out);
    }

    /// Advances the time. To be called about every 200 ms.
    pub fn tick(
        &mut self,
        now_ms: u64,
        context: Context,
        checker: &dyn PolicyChecker,
        out: &mut Vec<Effect>,
    ) {
        self.context = context;
        if context.register_known && self.known_since_ms.is_none() {
            self.known_since_ms = Some(now_ms);
        }
        if self.inapplicable.is_some() && now_ms.saturating_sub(self.checked_ms) >= self.timing.repeat_ms {
            self.activate(now_ms, checker, out);
            self.confirm(out);
        }
        self.propose_next_step(now_ms, out);
        let timeout_ms = self.timing.answer_timeout_ms;
        let timed_out = |w: &PendingRequest| !w.accepted && now_ms.saturating_sub(w.since_ms) >= timeout_ms;
        let expired: Vec<u128> = self.pending.iter().filter(|(_, w)| timed_out(w)).map(|(k, _)| *k).collect();
        for key in expired {
            // This answer is not stored: a repeated request is proposed again.
            self.pending.remove(&key);
            out.push(Effect::Answer { key, answer: Answer::Unknown });
        }
    }

    /// Processes an operator's request. [`Effect::Answer`] with its key follows at once or later.
    pub fn request_change(
        &mut self,
        now_ms: u64,
        request: PolicyRequest,
        checker: &dyn PolicyChecker,
        out: &mut Vec<Effect>,
    ) {
        let key = request.key;
        if let Some((_, answer)) = self.answers.iter().find(|(k, _)| *k == key && !request.dry_run) {
            out.push(Effect::Answer { key, answer: answer.clone() });
            return;
        }
        // A repeated request gets the answer to the first.
        if self.pending.contains_key(&key) {
            return;
        }
        if let Err(answer) = self.try_request(now_ms, request, checker, out) {
            out.push(Effect::Answer { key, answer });
        }
    }

    fn try_request(
        &mut self,
        now_ms: u64,
        request: PolicyRequest,
        checker: &dyn PolicyChecker,
        out: &mut Vec<Effect>,
    ) -> Result<(), Answer> {
        let refused = |reason: &dyn std::fmt::Display| Answer::Refused(reason.to_string());
        if request.name.is_empty()
            || request.name.len() > MAX_OPERATOR_BYTES
            || request.name.chars().any(char::is_control)
        {
            return Err(refused(&format!(
                "the operator's name has {} bytes: it must have 1 to {MAX_OPERATOR_BYTES} and no control characters",
                request.name.len()
            )));
        }
        let current = self.current.as_ref().filter(|_| !self.unreadable).ok_or(Answer::NotAgreed)?;
        // The register shows that this request was made before, at this front or another.
        if !request.dry_run {
            if let Some(answer) = answer_from_register(current, request.key) {
                if let Answer::Accepted { .. } = answer {
                    let origin = current.state.origin().clone();
                    let (base_version, since_ms) = (request.base_version, now_ms);
                    let pending =
                        PendingRequest { origin, base_version, since_ms, accepted: true, command: 0 };
                    self.pending.insert(request.key, pending);
                }
                return Err(answer);
            }
        }
        let origin = Origin { key: request.key, front: self.me, name: request.name };
        let RegisterState::Active { version, highest_version, origin: old_origin, .. } = &current.state
        else {
            let (version, step) = (current.state.version(), current.state.step());
            return Err(Answer::ChangeInProgress { version, step, origin: current.state.origin().clone() });
        };
        if request.base_version != *version {
            let (current_version, by) = (*version, old_origin.clone());
            return Err(Answer::Conflict {
                requester: origin,
                base_version: request.base_version,
                current_version,
                origin: by,
            });
        }
        let new = Policy::parse("policy", &request.text).map_err(|e| refused(&e))?;
        let new = current.old.successor(&new).map_err(|e| refused(&e))?;
        if new == current.old {
            return Err(Answer::Unchanged { version: *version });
        }
        let intersection = intersect(&current.old, &new).map_err(|e| refused(&e))?;
        for policy in [&intersection, &new] {
            checker
                .check_policy(policy)
                .map_err(|reason| Answer::Inapplicable(Inapplicable { front: self.me, reason }))?;
        }
        let baseline = match request.trial {
            None => None,
            Some(trial) if !trial.is_valid() => {
                return Err(refused(&format!(
                    "the trial lasts {} s with a least loss of {} thousandths: \
                     allowed are 10 to 3600 s, at most 1000 thousandths, and a class name of at most {MAX_REASON_BYTES} bytes",
                    trial.duration_s, trial.min_loss_permille
                )));
            }
            Some(trial) => match self.history.baseline(now_ms, &trial) {
                Some(before) => Some(TrialBaseline { trial, before }),
                None => {
                    return Err(refused(&"this front has not known service for as long as the trial takes"));
                }
            },
        };
        let number = highest_version.saturating_add(1);
        if request.dry_run {
            let (changes, first) = (current.old.differences(&new), current.old.differences(&intersection));
            return Err(Answer::DryRun { version: number, changes, first });
        }
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return Err(Answer::Busy);
        }
        let steps = PolicyChange {
            version: number,
            origin: origin.clone(),
            old_version: *version,
            old_origin: old_origin.clone(),
            old: current.old.text().to_owned(),
            new: new.text().to_owned(),
            first_step_timeout_ms: self.timing.first_step_timeout_ms,
            baseline,
            undoes: None,
        };
        let expects = current.entry;
        let body =
            RegisterState::FirstStep(steps).encode().ok_or_else(|| refused(&"the change is too long"))?;
        // The key depends on the expected entry, because the agreement answers a repeated key with its first outcome.
        let command = derive_key(&[request.key, u128::from(expects), ProposalKind::FirstStep as u128]);
        let pending = PendingRequest {
            origin,
            base_version: request.base_version,
            since_ms: now_ms,
            accepted: false,
            command,
        };
        self.pending.insert(request.key, pending);
        out.push(self.put(Key(command), expects, body));
        Ok(())
    }

    /// Records the totals of the whole fleet's service, as this front knows them. To be called about once a second.
    pub fn record_service(&mut self, now_ms: u64, totals: ServiceTotals) {
        self.history.record_service(now_ms, totals);
    }

    /// An operator ends the trial of this version and keeps the version.
    pub fn end_trial(&mut self, key: u128, version: u64, out: &mut Vec<Effect>) {
        let answer = match self.current.as_ref().map(|current| &current.state) {
            Some(RegisterState::Trial { steps, .. }) if steps.version == version => {
                match completed(steps).encode() {
                    Some(body) => {
                        let command =
                            derive_key(&[key, u128::from(self.register), ProposalKind::EndTrial as u128]);
                        out.push(self.put(Key(command), self.register, body));
                        Answer::EndingTrial { version }
                    }
                    None => Answer::Refused("the policy is too long".into()),
                }
            }
            _ => Answer::Refused(format!("no trial of version {version} is under way")),
        };
        out.push(Effect::Answer { key, answer });
    }

    fn put(&self, key: Key, expects: u64, body: Vec<u8>) -> Effect {
        let operation = Operation::Put { subject: SUBJECT, expects, body };
        Effect::Propose(Command { key, author: self.me, operation })
    }

    /// Decodes and applies a new body of the register.
    fn read_register(
        &mut self,
        now_ms: u64,
        number: u64,
        body: &[u8],
        checker: &dyn PolicyChecker,
        out: &mut Vec<Effect>,
    ) {
        self.inapplicable = None;
        self.unreadable = false;
        self.proposed = None;
        self.register = number;
        if body.is_empty() {
            // Cleared, as if it was never written. The front keeps its active policy.
            (self.current, self.register) = (None, 0);
            return;
        }
        let known: Vec<&Policy> =
            self.current.iter().flat_map(|current| [&current.old, &current.new]).collect();
        let read = RegisterState::decode(body).and_then(|state| state.policies(&known).map(|p| (state, p)));
        let Ok((state, (old, new))) = read else {
            // All fronts of this release are fenced then, rather than apply another policy than the fronts that can read it.
            self.unreadable = true;
            let reason = UnreadableRegister.to_string();
            out.push(Effect::CannotApply(reason));
            return;
        };
        let stable_since_ms = (self.stable >= number).then_some(now_ms);
        self.current =
            Some(CurrentRegister { entry: number, state, old, new, since_ms: now_ms, stable_since_ms });
        self.activate(now_ms, checker, out);
        self.answer_requesters(out);
    }

    /// Activates the policy that the register's step requires, or reports why this front cannot apply it.
    fn activate(&mut self, now_ms: u64, checker: &dyn PolicyChecker, out: &mut Vec<Effect>) {
        let Some(current) = &self.current else { return };
        self.checked_ms = now_ms;
        let intersection;
        let target = match &current.state {
            RegisterState::Active { .. } | RegisterState::Rollback { .. } => Ok(&current.old),
            RegisterState::SecondStep(_) | RegisterState::Trial { .. } => Ok(&current.new),
            RegisterState::FirstStep(_) => match intersect(&current.old, &current.new) {
                Ok(policy) => {
                    intersection = policy;
                    // The second step cannot be rolled back, so the new policy is checked now too.
                    checker.check_policy(&current.new).map(|()| &intersection)
                }
                Err(fixed) => Err(fixed.to_string()),
            },
        };
        let applicable = target.and_then(|policy| checker.check_policy(policy).map(|()| policy));
        let (version, step) = match &current.state {
            RegisterState::Rollback { steps, .. } => (steps.old_version, current.state.step()),
            state => (state.version(), state.step()),
        };
        match applicable {
            Ok(policy) => {
                self.inapplicable = None;
                let next = Some((version, step, policy.clone()));
                if self.active != next {
                    out.push(Effect::Activate { version, step, policy: policy.clone() });
                    self.active = next;
                }
            }
            Err(reason) => {
                let reason = truncate(&reason, MAX_REASON_BYTES);
                if self.inapplicable.as_ref() != Some(&reason) {
                    out.push(Effect::CannotApply(reason.clone()));
                }
                self.inapplicable = Some(reason);
            }
        }
    }

    fn confirm(&mut self, out: &mut Vec<Effect>) {
        if self.inapplicable.is_none() && !self.unreadable && self.last_applied > self.confirmed {
            self.confirmed = self.last_applied;
            out.push(Effect::Confirm(self.last_applied));
        }
    }

    /// Proposes the next step if it is this front's turn.
    fn propose_next_step(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let number = self.register;
        if self.unreadable || !self.context.register_known {
            return;
        }
        if self.proposed.is_some_and(|(entry, at_ms)| {
            entry == number && now_ms.saturating_sub(at_ms) < self.timing.repeat_ms
        }) {
            return;
        }
        let Some((kind, specific, state)) = self.next_step(now_ms) else { return };
        let Some(body) = state.encode() else { return };
        // Rollbacks, reversals after a trial and initial policies are specific to this front; all other commands are the
        // same on every front.
        let own = if specific { u128::from(self.me) + 1 } else { 0 };
        // If there is no policy, the last applied entry distinguishes the key from that of an earlier initial policy.
        let origin_key =
            self.current.as_ref().map_or(u128::from(self.last_applied), |current| current.state.origin().key);
        let key = derive_key(&[origin_key, u128::from(number), kind as u128, own]);
        self.proposed = Some((number, now_ms));
        out.push(self.put(Key(key), number, body));
    }

    /// Delay before this front proposes a step, milliseconds: none for the leader, a short one for the change's author, and
    /// a longer one that differs between the other fronts, because one proposal is enough.
    fn proposal_delay_ms(&self, author: u64) -> u64 {
        if self.context.is_leader {
            return 0;
        }
        if author == self.me {
            return self.timing.proposal_delay_ms / 2;
        }
        let hash = derive_key(&[u128::from(self.me), u128::from(self.register)]) >> 64;
        let spread =
            u64::try_from(hash).unwrap_or(0) % self.timing.proposal_delay_ms.saturating_mul(3).max(1);
        self.timing.proposal_delay_ms.saturating_add(spread)
    }

    fn next_step(&self, now_ms: u64) -> Option<(ProposalKind, bool, RegisterState)> {
        let Some(current) = &self.current else {
            let policy = self.initial_policy.as_ref()?.text().to_owned();
            if now_ms < self.known_since_ms?.saturating_add(self.proposal_delay_ms(u64::MAX)) {
                return None;
            }
            let origin = Origin { key: 0, front: self.me, name: "settings".into() };
            return Some((
                ProposalKind::InitialPolicy,
                true,
                RegisterState::Active { version: 1, highest_version: 1, policy, origin, undone: None },
            ));
        };
        let passed = |since: u64, time: u64| now_ms >= since.saturating_add(time);
        let delay_ms = self.proposal_delay_ms(current.state.origin().front);
        let due = current.stable_since_ms.is_some_and(|since| passed(since, delay_ms));
        match &current.state {
            RegisterState::Active { .. } => None,
            RegisterState::FirstStep(steps) => {
                let back =
                    |reason: String| RegisterState::Rollback { steps: steps.clone(), by: self.me, reason };
                if let Some(reason) = &self.inapplicable {
                    return passed(current.since_ms, delay_ms / 4)
                        .then(|| (ProposalKind::Rollback, true, back(reason.clone())));
                }
                if current.stable_since_ms.is_some() {
                    return due.then(|| {
                        (ProposalKind::SecondStep, false, RegisterState::SecondStep(steps.clone()))
                    });
                }
                let first_step_timeout_ms = u64::from(steps.first_step_timeout_ms)
                    .clamp(FIRST_STEP_RANGE_MS.0, FIRST_STEP_RANGE_MS.1);
                let reason = || {
                    let after = first_step_timeout_ms / 1_000;
                    format!(
                        "not settled after {after} s: a front does not go by the first step, or voters are missing"
                    )
                };
                passed(current.since_ms, first_step_timeout_ms.saturating_add(delay_ms))
                    .then(|| (ProposalKind::Rollback, true, back(reason())))
            }
            RegisterState::SecondStep(s) => match &s.baseline {
                None => due.then(|| (ProposalKind::Complete, false, completed(s))),
                Some(baseline) => {
                    let from = baseline.trial.select(self.history.last());
                    // A front without the totals leaves the step to others. If no front has them, the change is completed
                    // without a trial.
                    if from.total < baseline.before.total {
                        let late = due && passed(current.since_ms, baseline.trial.duration_ms());
                        return late.then(|| (ProposalKind::Complete, false, completed(s)));
                    }
                    due.then(|| (ProposalKind::Trial, false, RegisterState::Trial { steps: s.clone(), from }))
                }
            },
            RegisterState::Trial { steps: s, from } => {
                let Some(baseline) = &s.baseline else {
                    return Some((ProposalKind::Complete, false, completed(s)));
                };
                if !passed(current.since_ms, baseline.trial.duration_ms().saturating_add(delay_ms)) {
                    return None;
                }
                let after = baseline.trial.select(self.history.last()).since(*from);
                // The totals go back if those of a front were lost: no comparison is possible then.
                let verdict = after
                    .map_or(Verdict::TooFewRequests, |after| baseline.trial.evaluate(baseline.before, after));
                let undo = match verdict {
                    Verdict::Worse(reason) => self.reverse_change(current, s, &reason),
                    Verdict::NotWorse => None,
                    // Another front may have counted enough.
                    Verdict::TooFewRequests
                        if !passed(current.since_ms, baseline.trial.duration_ms().saturating_mul(2)) =>
                    {
                        return None;
                    }
                    Verdict::TooFewRequests => None,
                };
                Some(undo.map_or_else(
                    || (ProposalKind::Complete, false, completed(s)),
                    |undo| (ProposalKind::Undo, true, undo),
                ))
            }
            RegisterState::Rollback { steps: s, by, reason } => due.then(|| {
                let undone = UndoneChange {
                    version: s.version,
                    origin: s.origin.clone(),
                    by: *by,
                    reason: reason.clone(),
                };
                let (version, policy, origin) = (s.old_version, s.old.clone(), s.old_origin.clone());
                (
                    ProposalKind::RollbackDone,
                    false,
                    RegisterState::Active {
                        version,
                        highest_version: s.version,
                        policy,
                        origin,
                        undone: Some(undone),
                    },
                )
            }),
        }
    }

    /// A change that restores the former policy by the same steps. Classes that only the new policy has stay as closed.
    fn reverse_change(
        &self,
        current: &CurrentRegister,
        s: &PolicyChange,
        reason: &str,
    ) -> Option<RegisterState> {
        let new = current.new.successor(&current.old).ok()?;
        let key = derive_key(&[s.origin.key, u128::from(current.entry), ProposalKind::Undo as u128]);
        let undoes = UndoneChange {
            version: s.version,
            origin: s.origin.clone(),
            by: self.me,
            reason: truncate(reason, MAX_REASON_BYTES),
        };
        Some(RegisterState::FirstStep(PolicyChange {
            version: s.version.saturating_add(1),
            origin: Origin { key, front: self.me, name: "trial".into() },
            old_version: s.version,
            old_origin: s.origin.clone(),
            old: s.new.clone(),
            new: new.text().to_owned(),
            first_step_timeout_ms: s.first_step_timeout_ms,
            baseline: None,
            undoes: Some(undoes),
        }))
    }
}

/// The register's state after a completed change.
fn completed(s: &PolicyChange) -> RegisterState {
    let (version, policy, origin) = (s.version, s.new.clone(), s.origin.clone());
    RegisterState::Active { version, highest_version: version, policy, origin, undone: s.undoes.clone() }
}
