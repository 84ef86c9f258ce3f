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
/// Step of a front's clock, milliseconds: longer than any time that a governor waits.
const LONG_MS: u64 = 100_000;

fn policy(quota_a: u32, quota_b: u32) -> Policy {
    let text = format!(
        "uplink-kb 9000\nkb-per-weight 4000\nsection ladder\nrung 200 0.3\nrung 600 1\nsection class replay\naim 800ms\n\
         patience 4s\nsection tenant a\nquota {quota_a}\nsection tenant b\nquota {quota_b}\nsection rules\n\
         cold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n"
    );
    Policy::parse("policy", &text).expect("a policy")
}

/// Index into [`Fleet::policies`].
type PolicyIndex = u8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    governor: Governor,
    applied: usize,
    /// Effects that are still to be executed, in order. It is used only with the planted defect [`Planted::ConfirmEarly`]:
    /// otherwise a delayed confirmation only delays its effect on the other fronts, and nothing is queued.
    queue: VecDeque<Effect>,
    active: Option<PolicyIndex>,
    confirmed: u64,
    has_lease: bool,
    now: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    log: Vec<Arc<(Entry, Outcome)>>,
    proposed: Vec<Arc<Command>>,
    stable: u64,
    fronts: Vec<Front>,
    asked: [bool; 2],
    losses: u8,
    restarts: u8,
    time_steps: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Ask(usize),
    /// One of the proposed commands is decided. A command that is never decided is lost.
    Decide(usize),
    Learn(usize),
    Do(usize),
    /// A front learns which entry is stable by now.
    LearnStable(usize),
    /// [`LONG_MS`] pass on one front.
    PassTime(usize),
    /// A front's lease expires: it was cut off, was stopped, or does not confirm.
    LoseLease(usize),
    RegainLease(usize),
    /// A front restarts with the entries decided so far.
    Restart(usize),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A front confirms an entry before it applies the entry's policy.
    ConfirmEarly,
    /// An entry counts as stable as soon as it is decided.
    StableAtOnce,
}

struct Fleet {
    /// The old policy, the first new one, the first step to that, the second new one, the first step to that from the old
    /// policy, and the first step from the first new one to the second.
    policies: Vec<Policy>,
    /// Whether two of `policies` may be in force at the same time.
    can_coexist: Vec<Vec<bool>>,
    asks: [bool; 2],
    /// The front that cannot apply the first new policy, if any.
    refuses: Option<usize>,
    losses: u8,
    restarts: u8,
    time_steps: u8,
    /// Limit of the log's entries. Commands beyond it are lost.
    entries: usize,
    /// The first change is on trial, and service becomes worse.
    trial: bool,
    /// The second change is requested only after the first is completed, and follows it.
    after: bool,
    planted: Planted,
}

struct RefusesOne<'a>(Option<&'a Policy>);

impl PolicyChecker for RefusesOne<'_> {
    fn check_policy(&self, policy: &Policy) -> Result<(), String> {
        if self.0 == Some(policy) { Err("no room for tenant b".into()) } else { Ok(()) }
    }
}

impl Fleet {
    fn new(asks: [bool; 2], losses: u8, restarts: u8, time_steps: u8, entries: usize) -> Self {
        Self::with(policy(5, 20), asks, losses, restarts, time_steps, entries)
    }

    fn with(
        other: Policy,
        asks: [bool; 2],
        losses: u8,
        restarts: u8,
        time_steps: u8,
        entries: usize,
    ) -> Self {
        let (old, one) = (policy(10, 10), policy(20, 5));
        let first = |from, to| intersect(from, to).expect("a first step");
        let mut policies =
            vec![old.clone(), one.clone(), first(&old, &one), other.clone(), first(&old, &other)];
        policies.push(first(&one, &other));
        let can_coexist =
            policies.iter().map(|p| policies.iter().map(|q| can_coexist(p, q)).collect()).collect();
        Self {
            policies,
            can_coexist,
            asks,
            refuses: None,
            losses,
            restarts,
            time_steps,
            entries,
            trial: false,
            after: false,
            planted: Planted::Nothing,
        }
    }

    fn policy_checker(&self, i: usize) -> RefusesOne<'_> {
        RefusesOne(self.refuses.filter(|f| *f == i).map(|_| &self.policies[1]))
    }

    /// The fleet's totals as all fronts know them: worse since the second step was decided.
    fn sums(w: &World) -> ServiceTotals {
        let new = applied_entries(w).any(|e| register_state(e).step() == "second");
        let in_time = if new {
            RequestCounts { total: 2_000, good: 1_890 }
        } else {
            RequestCounts { total: 1_000, good: 990 }
        };
        ServiceTotals { in_time, ..ServiceTotals::default() }
    }

    fn pace() -> Timing {
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
                other => w.fronts[i].queue.push_back(other),
            }
        }
        w.proposed.sort_by_key(|c| c.key);
        if self.planted == Planted::ConfirmEarly {
            w.fronts[i].queue.make_contiguous().sort_by_key(|e| !matches!(e, Effect::Confirm(_)));
        } else {
            while self.execute(&mut w.fronts[i]).is_some() {}
        }
    }

    fn execute(&self, front: &mut Front) -> Option<()> {
        match front.queue.pop_front()? {
            Effect::Activate { policy, .. } => {
                let at = self.policies.iter().position(|p| *p == policy).expect("one of the known");
                front.active = Some(at as PolicyIndex);
            }
            Effect::Confirm(number) => front.confirmed = number,
            _ => {}
        }
        Some(())
    }

    fn entry(w: &World, command: Command) -> (Entry, Outcome) {
        let number = w.log.len() as u64 + 1;
        let present = applied_entries(w).last().map_or(0, |e| e.number);
        let before = w.log.iter().find(|e| e.0.command.key == command.key).map(|e| e.1);
        let Operation::Put { expects, .. } = &command.operation else {
            panic!("no other command is proposed")
        };
        let now = if *expects == present { Outcome::Applied } else { Outcome::Stale(0) };
        (Entry { number, hash: ZERO_HASH, command }, before.unwrap_or(now))
    }

    fn begin(&self, w: &mut World, i: usize) {
        let mut governor = Governor::new(i as u64, Self::pace(), None);
        let mut out = Vec::new();
        let (now, number) = (w.fronts.get(i).map_or(0, |f| f.now), w.log.len());
        let last = applied_entries(w).last().expect("a policy").clone();
        let Operation::Put { body, .. } = last.command.operation else { panic!("a policy") };
        let at = last.number;
        governor.load_register(now, number as u64, Some((at, &body)), &self.policy_checker(i), &mut out);
        let front = Front {
            governor,
            applied: number,
            queue: VecDeque::new(),
            active: None,
            confirmed: 0,
            has_lease: false,
            now,
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
    let Operation::Put { body, .. } = &entry.command.operation else { panic!("a policy") };
    RegisterState::decode(body).expect("what a governor wrote")
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let origin = Origin { key: 0, front: 0, name: "settings".into() };
        let policy = self.policies[0].text().to_owned();
        let body = RegisterState::Active { version: 1, highest_version: 1, policy, origin, undone: None }
            .encode()
            .expect("a body");
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
            asked: [false; 2],
            losses: 0,
            restarts: 0,
            time_steps: 0,
        };
        for i in 0..FRONTS {
            self.begin(&mut w, i);
            w.fronts[i].queue.clear();
            (w.fronts[i].active, w.fronts[i].confirmed, w.fronts[i].has_lease) = (Some(0), 1, true);
            if self.trial {
                w.fronts[i].governor.record_service(0, ServiceTotals::default());
                w.fronts[i].now = LONG_MS;
                let sums = Self::sums(&w);
                w.fronts[i].governor.record_service(LONG_MS, sums);
            }
            // From the first tick on, the governor takes the register as agreed.
            let context = Context { register_known: true, is_leader: i == 2 };
            w.fronts[i].governor.tick(0, context, &self.policy_checker(i), &mut vec![]);
        }
        vec![w]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        let completed = |i: usize, version| {
            w.fronts[i].governor.active_policy().is_some_and(|f| (f.0, f.1) == (version, "stands"))
        };
        let may = |i: &usize| self.asks[*i] && !w.asked[*i] && (*i == 0 || !self.after || completed(*i, 2));
        acts.extend((0..2).filter(may).map(Act::Ask));
        if w.log.len() < self.entries {
            acts.extend((0..w.proposed.len()).map(Act::Decide));
        }
        for (i, f) in w.fronts.iter().enumerate() {
            if !f.queue.is_empty() {
                acts.push(Act::Do(i));
            } else {
                if f.applied < w.log.len() {
                    acts.push(Act::Learn(i));
                }
                acts.push(Act::LearnStable(i));
                if w.time_steps < self.time_steps {
                    acts.push(Act::PassTime(i));
                }
            }
            if f.has_lease && w.losses < self.losses {
                acts.push(Act::LoseLease(i));
            }
            if !f.has_lease && f.confirmed >= w.stable {
                acts.push(Act::RegainLease(i));
            }
            if w.restarts < self.restarts {
                acts.push(Act::Restart(i));
            }
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut w = last.clone();
        let mut out = Vec::new();
        match act {
            Act::Ask(i) => {
                w.asked[i] = true;
                let trial = Trial { metric: TrialMetric::InTime, duration_s: 60, min_loss_permille: 10 };
                let trial = self.trial.then_some(trial);
                let text = self.policies[1 + 2 * i].text().to_owned();
                let ask = PolicyRequest {
                    key: 100 + i as u128,
                    name: "ana".into(),
                    base_version: if i == 1 && self.after { 2 } else { 1 },
                    text,
                    dry_run: false,
                    trial,
                };
                let f = &mut w.fronts[i];
                f.governor.request_change(f.now, ask, &self.policy_checker(i), &mut out);
                self.process(&mut w, i, out);
            }
            Act::Decide(k) => {
                let command = w.proposed.remove(k);
                let entry = Self::entry(&w, (*command).clone());
                w.log.push(Arc::new(entry));
            }
            Act::Learn(i) => {
                let f = &mut w.fronts[i];
                let (entry, outcome) = &*w.log[f.applied];
                f.applied += 1;
                f.governor.entry_applied(f.now, entry, outcome, &self.policy_checker(i), &mut out);
                self.process(&mut w, i, out);
            }
            Act::Do(i) => {
                self.execute(&mut w.fronts[i]);
            }
            Act::LearnStable(i) => {
                let all = w.log.len() as u64;
                let confirming =
                    w.fronts.iter().filter(|f| f.has_lease && self.planted != Planted::StableAtOnce);
                w.stable = confirming.map(|f| f.confirmed).min().unwrap_or(all).max(w.stable);
                let f = &mut w.fronts[i];
                f.governor.entry_stable(f.now, w.stable, &mut out);
                self.process(&mut w, i, out);
            }
            Act::PassTime(i) => {
                w.time_steps += 1;
                let sums = Self::sums(&w);
                let f = &mut w.fronts[i];
                f.now += LONG_MS;
                if self.trial {
                    f.governor.record_service(f.now, sums);
                }
                f.governor.tick(
                    f.now,
                    Context { register_known: true, is_leader: i == 2 },
                    &self.policy_checker(i),
                    &mut out,
                );
                self.process(&mut w, i, out);
            }
            Act::LoseLease(i) => {
                w.losses += 1;
                w.fronts[i].has_lease = false;
            }
            Act::RegainLease(i) => w.fronts[i].has_lease = true,
            Act::Restart(i) => {
                w.restarts += 1;
                self.begin(&mut w, i);
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("policies in force at one moment are neighbours", |fleet: &Fleet, w: &World| {
                let held: Vec<PolicyIndex> =
                    w.fronts.iter().filter(|f| f.has_lease).filter_map(|f| f.active).collect();
                held.iter().all(|a| held.iter().all(|b| fleet.can_coexist[*a as usize][*b as usize]))
            }),
            Property::always("a change goes one way", |_, w: &World| {
                let steps: Vec<RegisterState> = applied_entries(w).map(register_state).collect();
                let has = |step: &str, version: u64| {
                    steps.iter().any(|c| c.step() == step && c.version() == version)
                };
                steps.iter().all(|c| !(has("second", c.version()) && has("back", c.version())))
            }),
            Property::sometimes("the new one is in force everywhere", |_, w: &World| {
                w.fronts.iter().all(|f| f.has_lease && f.active == Some(1))
            }),
            Property::sometimes("a change is undone and the old one in force everywhere", |_, w: &World| {
                let last = applied_entries(w).last().map(register_state);
                matches!(last, Some(RegisterState::Active { undone: Some(_), .. }))
                    && w.fronts.iter().all(|f| f.has_lease && f.active == Some(0))
            }),
            Property::sometimes("a front is fenced while the others go on", |_, w: &World| {
                w.fronts.iter().any(|f| !f.has_lease && f.active == Some(0))
                    && w.fronts.iter().filter(|f| f.has_lease && f.active == Some(1)).count() == 2
            }),
        ]
    }
}

const NEIGHBOURS: &str = "policies in force at one moment are neighbours";
const ONE_WAY: &str = "a change goes one way";
const NEW: &str = "the new one is in force everywhere";
const OLD: &str = "a change is undone and the old one in force everywhere";
const FENCED: &str = "a front is fenced while the others go on";

/// Explores all states: the invariants must hold in each of them, each property in `reached` in at least one, and there must
/// be more than `least` states.
fn check_all_states(fleet: Fleet, least: usize, reached: &[&'static str]) {
    let checker = fleet.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    for never in [NEIGHBOURS, ONE_WAY] {
        assert!(
            checker.discovery(never).is_none(),
            "{never}: {:#?}",
            checker.discovery(never).map(|p| p.into_actions())
        );
    }
    assert!(checker.unique_state_count() > least, "{} states", checker.unique_state_count());
    for some in reached {
        assert!(checker.discovery(some).is_some(), "{some}");
    }
}

#[test]
fn the_policies_are_apart_without_a_first_step() {
    let may = Fleet::new([false; 2], 0, 0, 0, 1).can_coexist;
    assert!(!may[0][1] && !may[0][3] && !may[1][3], "old and new are no neighbours, or nothing is shown");
    assert!(may[0][2] && may[2][1] && may[0][4] && may[4][3]);
}

#[test]
fn a_change_while_one_hold_runs_out_and_one_is_late() {
    check_all_states(Fleet::new([true, false], 1, 0, 1, 5), 100_000, &[NEW, OLD, FENCED]);
}

#[test]
fn a_change_while_a_front_begins_anew() {
    check_all_states(Fleet::new([true, false], 1, 1, 0, 5), 20_000, &[NEW, FENCED]);
}

#[test]
fn a_change_that_a_front_refuses() {
    let fleet = Fleet { refuses: Some(1), ..Fleet::new([true, false], 1, 0, 1, 5) };
    check_all_states(fleet, 20_000, &[OLD, FENCED]);
}

#[test]
fn two_changes_that_race() {
    check_all_states(Fleet::new([true, true], 1, 0, 0, 6), 40_000, &[NEW, FENCED]);
}

/// The first steps of both changes must not be in force at the same time: the second change has to wait until no front
/// applies the first step of the first change.
#[test]
fn two_changes_one_after_the_other() {
    let fleet = Fleet { after: true, ..Fleet::with(policy(30, 3), [true, true], 0, 0, 0, 6) };
    assert!(!fleet.can_coexist[2][5]);
    check_all_states(fleet, 1_000, &[NEW]);
}

/// The new policy makes the service worse: the change is reversed by the same steps.
#[test]
fn a_change_on_trial_that_goes_badly() {
    let fleet = Fleet { trial: true, ..Fleet::new([true, false], 0, 0, 1, 7) };
    check_all_states(fleet, 1_000, &[NEW, OLD]);
}

/// This includes runs in which the first change is undone and the second then made.
#[test]
#[ignore = "730,000 states"]
fn two_changes_while_one_is_late() {
    check_all_states(Fleet::new([true, true], 0, 0, 1, 6), 500_000, &[NEW, OLD]);
}

fn found(planted: Planted) -> Option<Vec<Act>> {
    let fleet = Fleet { planted, ..Fleet::new([true, false], 0, 0, 0, 4) };
    let checker = fleet.checker().finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    checker.discovery(NEIGHBOURS).map(|path| path.into_actions())
}

#[test]
fn a_front_that_vouches_before_it_goes_by_the_entry_is_found() {
    assert!(found(Planted::Nothing).is_none());
    assert!(found(Planted::ConfirmEarly).is_some());
}

#[test]
fn a_step_that_counts_as_settled_when_it_is_decided_is_found() {
    assert!(found(Planted::StableAtOnce).is_some());
}
