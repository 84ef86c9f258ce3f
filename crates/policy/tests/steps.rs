//! A model checker over the real governors. It explores delays, lost commands, expired leases and restarts, and checks that
//! the policies of any two fronts with leases may be in force at the same time, and that no change is both rolled back and
//! completed.
//!
//! The agreement is modelled by a log, in which a command is applied only if it expects the present entry, and by `stable`,
//! the entry that every front with a lease has confirmed. A front without a lease is fenced: its policy does not matter.

use pepperhook_agreement::{Command, Entry, Key, Operation, Outcome, ZERO_HASH};
use pepperhook_policy::{
    Context, Effect, Governor, Origin, Policy, PolicyChecker, PolicyRequest, RegisterState, RequestCounts,
    SUBJECT, ServiceTotals, Timing, Trial, TrialMetric, can_coexist, intersect,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::VecDeque;
use std::sync::Arc;

const FRONTS: usize = 3;
/// Step of a front's clock, milliseconds: longer than any timeout of a governor and than the trial.
const TIME_STEP_MS: u64 = 100_000;

fn policy(quota_a: u32, quota_b: u32) -> Policy {
    let text = format!(
        "uplink-kb 9000\nkb-per-weight 4000\nsection ladder\nrung 200 0.3\nrung 600 1\nsection class replay\naim 800ms\n\
         patience 4s\nsection tenant a\nquota {quota_a}\nsection tenant b\nquota {quota_b}\nsection rules\n\
         cold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n"
    );
    Policy::parse("policy", &text).expect("the policy text should be valid")
}

/// Index into [`Fleet::policies`].
type PolicyIndex = u8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    governor: Governor,
    /// Number of log entries that the front has applied.
    applied: usize,
    /// Effects that are still to be executed, in order. Used only with [`PlantedDefect::ConfirmEarly`]: without a defect
    /// effects are executed at once, since executing one later would only delay what the other fronts see of it.
    pending_effects: VecDeque<Effect>,
    /// The policy in force at this front.
    active: Option<PolicyIndex>,
    /// Number of the last entry that the front has confirmed.
    confirmed: u64,
    has_lease: bool,
    now_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// The decided entries with their outcomes.
    log: Vec<Arc<(Entry, Outcome)>>,
    /// Commands that are proposed and not decided, by key.
    proposed: Vec<Arc<Command>>,
    /// Number of the last entry that every front with a lease has confirmed.
    stable: u64,
    fronts: Vec<Front>,
    /// Whether each of the two changes has been requested; change `i` is requested at front `i`.
    requested: [bool; 2],
    /// Leases lost so far, on all fronts.
    lease_losses: u8,
    /// Restarts so far, of all fronts.
    restarts: u8,
    /// Steps of [`TIME_STEP_MS`] so far, on all fronts.
    time_steps: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    /// A change is requested, at the front with the same index.
    RequestChange(usize),
    /// The proposed command with this index is decided. A command that is never decided is lost.
    Decide(usize),
    /// A front applies the next entry of the log.
    ApplyEntry(usize),
    /// A front executes its next pending effect.
    ExecuteEffect(usize),
    /// A front is informed of the last stable entry.
    LearnStable(usize),
    /// [`TIME_STEP_MS`] pass on one front.
    PassTime(usize),
    /// A front's lease expires: it was cut off, was stopped, or does not confirm.
    LoseLease(usize),
    RegainLease(usize),
    /// A front restarts with the entries decided so far.
    Restart(usize),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum PlantedDefect {
    None,
    /// A front confirms an entry before it applies the entry's policy.
    ConfirmEarly,
    /// An entry counts as stable as soon as it is decided.
    StableAtOnce,
}

/// The model: the policies, the changes that are requested, and the limits of what may happen in one run.
struct Fleet {
    /// By index:
    /// - 0: the old policy,
    /// - 1: the new policy of the first change,
    /// - 2: the first step from 0 to 1,
    /// - 3: the new policy of the second change,
    /// - 4: the first step from 0 to 3,
    /// - 5: the first step from 1 to 3.
    policies: Vec<Policy>,
    /// Whether two of `policies` may be in force at the same time.
    can_coexist: Vec<Vec<bool>>,
    /// Which of the two changes are requested.
    requests: [bool; 2],
    /// The front that cannot apply the new policy of the first change, if any.
    refusing_front: Option<usize>,
    max_lease_losses: u8,
    max_restarts: u8,
    max_time_steps: u8,
    /// Maximum number of log entries. Commands beyond it are lost.
    max_entries: usize,
    /// The first change is on trial, and its new policy makes the service worse.
    first_on_trial: bool,
    /// The second change is requested only when the first is completed, and is based on it.
    second_follows_first: bool,
    planted: PlantedDefect,
}

/// Accepts every policy except one.
struct RefusesOne<'a>(Option<&'a Policy>);

impl PolicyChecker for RefusesOne<'_> {
    fn check_policy(&self, policy: &Policy) -> Result<(), String> {
        if self.0 == Some(policy) { Err("no room for tenant b".into()) } else { Ok(()) }
    }
}

impl Fleet {
    fn new(
        requests: [bool; 2],
        max_lease_losses: u8,
        max_restarts: u8,
        max_time_steps: u8,
        max_entries: usize,
    ) -> Self {
        let second = policy(5, 20);
        Self::with_second_policy(
            second,
            requests,
            max_lease_losses,
            max_restarts,
            max_time_steps,
            max_entries,
        )
    }

    fn with_second_policy(
        second: Policy,
        requests: [bool; 2],
        max_lease_losses: u8,
        max_restarts: u8,
        max_time_steps: u8,
        max_entries: usize,
    ) -> Self {
        let (old, first) = (policy(10, 10), policy(20, 5));
        let first_step = |from, to| intersect(from, to).expect("the policies should have a first step");
        let mut policies = vec![
            old.clone(),
            first.clone(),
            first_step(&old, &first),
            second.clone(),
            first_step(&old, &second),
        ];
        policies.push(first_step(&first, &second));
        let can_coexist =
            policies.iter().map(|p| policies.iter().map(|q| can_coexist(p, q)).collect()).collect();
        Self {
            policies,
            can_coexist,
            requests,
            refusing_front: None,
            max_lease_losses,
            max_restarts,
            max_time_steps,
            max_entries,
            first_on_trial: false,
            second_follows_first: false,
            planted: PlantedDefect::None,
        }
    }

    fn policy_checker(&self, i: usize) -> RefusesOne<'_> {
        RefusesOne(self.refusing_front.filter(|f| *f == i).map(|_| &self.policies[1]))
    }

    /// Totals of the fleet's service, the same at all fronts: they become worse when a second step is decided.
    fn service_totals(w: &World) -> ServiceTotals {
        let has_new_policy = applied_entries(w).any(|e| register_state(e).step() == "second");
        let in_time = if has_new_policy {
            RequestCounts { total: 2_000, good: 1_890 }
        } else {
            RequestCounts { total: 1_000, good: 990 }
        };
        ServiceTotals { in_time, ..ServiceTotals::default() }
    }

    fn timing() -> Timing {
        Timing { first_step_timeout_ms: 30_000, ..Timing::default() }
    }

    /// Processes a front's effects. Those without an effect on other fronts are executed at once.
    fn process(&self, w: &mut World, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                // Commands with the same key are the same command, whichever front proposes it.
                Effect::Propose(c) if w.proposed.iter().all(|f| f.key != c.key) => {
                    w.proposed.push(Arc::new(c))
                }
                Effect::Propose(_) | Effect::Answer { .. } | Effect::CannotApply(_) => {}
                other => w.fronts[i].pending_effects.push_back(other),
            }
        }
        w.proposed.sort_by_key(|c| c.key);
        if self.planted == PlantedDefect::ConfirmEarly {
            w.fronts[i].pending_effects.make_contiguous().sort_by_key(|e| !matches!(e, Effect::Confirm(_)));
        } else {
            while self.execute(&mut w.fronts[i]).is_some() {}
        }
    }

    fn execute(&self, front: &mut Front) -> Option<()> {
        match front.pending_effects.pop_front()? {
            Effect::Activate { policy, .. } => {
                let at = self
                    .policies
                    .iter()
                    .position(|p| *p == policy)
                    .expect("the activated policy should be one of the model's policies");
                front.active = Some(at as PolicyIndex);
            }
            Effect::Confirm(number) => front.confirmed = number,
            _ => {}
        }
        Some(())
    }

    /// The entry of a decided command and its outcome. A command that was decided before keeps its first outcome.
    fn decide(w: &World, command: Command) -> (Entry, Outcome) {
        let number = w.log.len() as u64 + 1;
        let present = applied_entries(w).last().map_or(0, |e| e.number);
        let earlier_outcome = w.log.iter().find(|e| e.0.command.key == command.key).map(|e| e.1);
        let Operation::Put { expects, .. } = &command.operation else {
            panic!("command {:?} is not a put; governors propose only puts", command.key)
        };
        let outcome = if *expects == present { Outcome::Applied } else { Outcome::Stale(0) };
        (Entry { number, hash: ZERO_HASH, command }, earlier_outcome.unwrap_or(outcome))
    }

    /// Starts or restarts a front with the entries decided so far.
    fn start_front(&self, w: &mut World, i: usize) {
        let mut governor = Governor::new(i as u64, Self::timing(), None);
        let mut out = Vec::new();
        let (now_ms, applied) = (w.fronts.get(i).map_or(0, |f| f.now_ms), w.log.len());
        let last = applied_entries(w).last().expect("the log should have an applied entry").clone();
        let Operation::Put { body, .. } = last.command.operation else {
            panic!("entry {} is not a put", last.number)
        };
        let at = last.number;
        governor.load_register(now_ms, applied as u64, Some((at, &body)), &self.policy_checker(i), &mut out);
        let front = Front {
            governor,
            applied,
            pending_effects: VecDeque::new(),
            active: None,
            confirmed: 0,
            has_lease: false,
            now_ms,
        };
        if i < w.fronts.len() {
            w.fronts[i] = front
        } else {
            w.fronts.push(front)
        }
        self.process(w, i, out);
    }
}

fn applied_entries(w: &World) -> impl Iterator<Item = &Entry> {
    w.log.iter().filter(|e| e.1 == Outcome::Applied).map(|e| &e.0)
}

fn register_state(entry: &Entry) -> RegisterState {
    let Operation::Put { body, .. } = &entry.command.operation else {
        panic!("entry {} is not a put", entry.number)
    };
    RegisterState::decode(body).expect("the entry's body should decode as a register state")
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let origin = Origin { key: 0, front: 0, name: "settings".into() };
        let policy = self.policies[0].text().to_owned();
        let body = RegisterState::Active { version: 1, highest_version: 1, policy, origin, undone: None }
            .encode()
            .expect("the register state should encode");
        let command = Command {
            key: Key(1),
            author: 0,
            operation: Operation::Put { subject: SUBJECT, expects: 0, body },
        };
        let mut w = World {
            log: vec![Arc::new((Entry { number: 1, hash: ZERO_HASH, command }, Outcome::Applied))],
            proposed: vec![],
            stable: 1,
            fronts: vec![],
            requested: [false; 2],
            lease_losses: 0,
            restarts: 0,
            time_steps: 0,
        };
        for i in 0..FRONTS {
            self.start_front(&mut w, i);
            w.fronts[i].pending_effects.clear();
            (w.fronts[i].active, w.fronts[i].confirmed, w.fronts[i].has_lease) = (Some(0), 1, true);
            if self.first_on_trial {
                w.fronts[i].governor.record_service(0, ServiceTotals::default());
                w.fronts[i].now_ms = TIME_STEP_MS;
                let totals = Self::service_totals(&w);
                w.fronts[i].governor.record_service(TIME_STEP_MS, totals);
            }
            // From the first tick on, the governor treats the register as known.
            let context = Context { register_known: true, is_leader: i == 2 };
            w.fronts[i].governor.tick(0, context, &self.policy_checker(i), &mut vec![]);
        }
        vec![w]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        let completed = |i: usize, version| {
            w.fronts[i].governor.active_policy().is_some_and(|f| (f.0, f.1) == (version, "stands"))
        };
        let can_request = |i: &usize| {
            self.requests[*i]
                && !w.requested[*i]
                && (*i == 0 || !self.second_follows_first || completed(*i, 2))
        };
        acts.extend((0..2).filter(can_request).map(Act::RequestChange));
        if w.log.len() < self.max_entries {
            acts.extend((0..w.proposed.len()).map(Act::Decide));
        }
        for (i, f) in w.fronts.iter().enumerate() {
            if !f.pending_effects.is_empty() {
                acts.push(Act::ExecuteEffect(i));
            } else {
                if f.applied < w.log.len() {
                    acts.push(Act::ApplyEntry(i));
                }
                acts.push(Act::LearnStable(i));
                if w.time_steps < self.max_time_steps {
                    acts.push(Act::PassTime(i));
                }
            }
            if f.has_lease && w.lease_losses < self.max_lease_losses {
                acts.push(Act::LoseLease(i));
            }
            if !f.has_lease && f.confirmed >= w.stable {
                acts.push(Act::RegainLease(i));
            }
            if w.restarts < self.max_restarts {
                acts.push(Act::Restart(i));
            }
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut w = last.clone();
        let mut out = Vec::new();
        match act {
            Act::RequestChange(i) => {
                w.requested[i] = true;
                let trial = Trial { metric: TrialMetric::InTime, duration_s: 60, min_loss_permille: 10 };
                let trial = self.first_on_trial.then_some(trial);
                let text = self.policies[1 + 2 * i].text().to_owned();
                let request = PolicyRequest {
                    key: 100 + i as u128,
                    name: "ana".into(),
                    base_version: if i == 1 && self.second_follows_first { 2 } else { 1 },
                    text,
                    dry_run: false,
                    trial,
                };
                let f = &mut w.fronts[i];
                f.governor.request_change(f.now_ms, request, &self.policy_checker(i), &mut out);
                self.process(&mut w, i, out);
            }
            Act::Decide(k) => {
                let command = w.proposed.remove(k);
                let entry = Self::decide(&w, (*command).clone());
                w.log.push(Arc::new(entry));
            }
            Act::ApplyEntry(i) => {
                let f = &mut w.fronts[i];
                let (entry, outcome) = &*w.log[f.applied];
                f.applied += 1;
                f.governor.entry_applied(f.now_ms, entry, outcome, &self.policy_checker(i), &mut out);
                self.process(&mut w, i, out);
            }
            Act::ExecuteEffect(i) => {
                self.execute(&mut w.fronts[i]);
            }
            Act::LearnStable(i) => {
                let all = w.log.len() as u64;
                let confirming =
                    w.fronts.iter().filter(|f| f.has_lease && self.planted != PlantedDefect::StableAtOnce);
                w.stable = confirming.map(|f| f.confirmed).min().unwrap_or(all).max(w.stable);
                let f = &mut w.fronts[i];
                f.governor.entry_stable(f.now_ms, w.stable, &mut out);
                self.process(&mut w, i, out);
            }
            Act::PassTime(i) => {
                w.time_steps += 1;
                let totals = Self::service_totals(&w);
                let f = &mut w.fronts[i];
                f.now_ms += TIME_STEP_MS;
                if self.first_on_trial {
                    f.governor.record_service(f.now_ms, totals);
                }
                f.governor.tick(
                    f.now_ms,
                    Context { register_known: true, is_leader: i == 2 },
                    &self.policy_checker(i),
                    &mut out,
                );
                self.process(&mut w, i, out);
            }
            Act::LoseLease(i) => {
                w.lease_losses += 1;
                w.fronts[i].has_lease = false;
            }
            Act::RegainLease(i) => w.fronts[i].has_lease = true,
            Act::Restart(i) => {
                w.restarts += 1;
                self.start_front(&mut w, i);
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(COEXIST, |fleet: &Fleet, w: &World| {
                let in_force: Vec<PolicyIndex> =
                    w.fronts.iter().filter(|f| f.has_lease).filter_map(|f| f.active).collect();
                in_force.iter().all(|a| in_force.iter().all(|b| fleet.can_coexist[*a as usize][*b as usize]))
            }),
            Property::always(NOT_BOTH, |_, w: &World| {
                let steps: Vec<RegisterState> = applied_entries(w).map(register_state).collect();
                let has = |step: &str, version: u64| {
                    steps.iter().any(|c| c.step() == step && c.version() == version)
                };
                steps.iter().all(|c| !(has("second", c.version()) && has("back", c.version())))
            }),
            Property::sometimes(NEW_EVERYWHERE, |_, w: &World| {
                w.fronts.iter().all(|f| f.has_lease && f.active == Some(1))
            }),
            Property::sometimes(OLD_EVERYWHERE, |_, w: &World| {
                let last = applied_entries(w).last().map(register_state);
                matches!(last, Some(RegisterState::Active { undone: Some(_), .. }))
                    && w.fronts.iter().all(|f| f.has_lease && f.active == Some(0))
            }),
            Property::sometimes(FENCED, |_, w: &World| {
                w.fronts.iter().any(|f| !f.has_lease && f.active == Some(0))
                    && w.fronts.iter().filter(|f| f.has_lease && f.active == Some(1)).count() == 2
            }),
        ]
    }
}

const COEXIST: &str = "policies in force at the same time can coexist";
const NOT_BOTH: &str = "no change is both rolled back and completed";
const NEW_EVERYWHERE: &str = "the new policy of the first change is in force at all fronts";
const OLD_EVERYWHERE: &str = "a change is rolled back and the old policy is in force at all fronts";
const FENCED: &str = "a front without a lease has the old policy, and the others have the new one";

/// Explores all states: the invariants must hold in each of them, each property in `reached` in at least one, and there must
/// be more than `min_states` states.
fn check_all_states(fleet: Fleet, min_states: usize, reached: &[&'static str]) {
    let checker = fleet.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    for name in [COEXIST, NOT_BOTH] {
        assert!(
            checker.discovery(name).is_none(),
            "violated: {name}; actions: {:#?}",
            checker.discovery(name).map(|p| p.into_actions())
        );
    }
    assert!(
        checker.unique_state_count() > min_states,
        "{} states explored; more than {min_states} expected",
        checker.unique_state_count()
    );
    for name in reached {
        assert!(checker.discovery(name).is_some(), "not reached in any state: {name}");
    }
}

/// Guards against a model that shows nothing: if old and new policies could coexist, no order of steps would be wrong.
#[test]
fn old_and_new_policies_can_coexist_only_with_a_first_step() {
    let can_coexist = Fleet::new([false; 2], 0, 0, 0, 1).can_coexist;
    assert!(
        !can_coexist[0][1] && !can_coexist[0][3] && !can_coexist[1][3],
        "two of the policies 0, 1 and 3 can coexist without a first step: {can_coexist:?}"
    );
    assert!(
        can_coexist[0][2] && can_coexist[2][1] && can_coexist[0][4] && can_coexist[4][3],
        "a first step cannot coexist with the policy before or after it: {can_coexist:?}"
    );
}

/// A front that is cut off, or one that is slow, must not hold a policy that conflicts with the others' policies.
#[test]
fn a_change_while_a_lease_expires_and_a_front_is_slow() {
    check_all_states(
        Fleet::new([true, false], 1, 0, 1, 5),
        100_000,
        &[NEW_EVERYWHERE, OLD_EVERYWHERE, FENCED],
    );
}

/// A front that restarts during a change must not resume with a policy that conflicts with the others' policies.
#[test]
fn a_change_while_a_front_restarts() {
    check_all_states(Fleet::new([true, false], 1, 1, 0, 5), 20_000, &[NEW_EVERYWHERE, FENCED]);
}

/// A change that a front cannot apply must not stay half done: it can be rolled back until all fronts have the old policy.
#[test]
fn a_change_that_a_front_refuses() {
    let fleet = Fleet { refusing_front: Some(1), ..Fleet::new([true, false], 1, 0, 1, 5) };
    check_all_states(fleet, 20_000, &[OLD_EVERYWHERE, FENCED]);
}

/// Two changes of the same base, requested at two fronts: conflicting steps of both must not be in force together.
#[test]
fn two_concurrent_changes() {
    check_all_states(Fleet::new([true, true], 1, 0, 0, 6), 40_000, &[NEW_EVERYWHERE, FENCED]);
}

/// The first steps of both changes must not be in force at the same time: the second change has to wait until no front
/// applies the first step of the first change.
#[test]
fn a_change_that_follows_another() {
    let fleet = Fleet {
        second_follows_first: true,
        ..Fleet::with_second_policy(policy(30, 3), [true, true], 0, 0, 0, 6)
    };
    assert!(!fleet.can_coexist[2][5], "the first steps of both changes (policies 2 and 5) can coexist");
    check_all_states(fleet, 1_000, &[NEW_EVERYWHERE]);
}

/// A trial that makes the service worse must not stay half done: it can be rolled back, in steps that can coexist.
#[test]
fn a_change_on_trial_that_makes_the_service_worse() {
    let fleet = Fleet { first_on_trial: true, ..Fleet::new([true, false], 0, 0, 1, 7) };
    check_all_states(fleet, 1_000, &[NEW_EVERYWHERE, OLD_EVERYWHERE]);
}

/// Two concurrent changes while a front is slow: this includes runs in which the first change is rolled back and the second
/// is then made.
#[test]
#[ignore = "730,000 states"]
fn two_concurrent_changes_while_a_front_is_slow() {
    check_all_states(Fleet::new([true, true], 0, 0, 1, 6), 500_000, &[NEW_EVERYWHERE, OLD_EVERYWHERE]);
}

/// The actions that lead to conflicting policies in force, if the model checker finds any.
fn find_conflict(planted: PlantedDefect) -> Option<Vec<Act>> {
    let fleet = Fleet { planted, ..Fleet::new([true, false], 0, 0, 0, 4) };
    let checker = fleet.checker().finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    checker.discovery(COEXIST).map(|path| path.into_actions())
}

/// Guards against a checker that misses a front which confirms an entry before it applies its policy.
#[test]
fn a_confirmation_before_the_policy_is_applied_is_found() {
    assert_eq!(find_conflict(PlantedDefect::None), None, "a conflict was found without a planted defect");
    assert!(find_conflict(PlantedDefect::ConfirmEarly).is_some(), "the early confirmation was not found");
}

/// Guards against a checker that misses entries which count as stable before all fronts with a lease confirm them.
#[test]
fn an_entry_that_is_stable_as_soon_as_it_is_decided_is_found() {
    assert!(
        find_conflict(PlantedDefect::StableAtOnce).is_some(),
        "the entry that is stable before it is confirmed was not found"
    );
}
