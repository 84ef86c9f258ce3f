//! The steps of a change under a model checker, over the governors themselves: whatever is late, lost, stopped or begun
//! anew, no two fronts that hold go by policies that may not be in force at one moment, and no change goes both ways.
//!
//! What stands in for the agreement: a log in which a command applies only to the entry that it expects, and *settled*, a
//! number that every front with a hold vouches for. A front without a hold is fenced: what it goes by does not matter.

use pepperhook_agreement::{Command, Entry, Key, Operation, Outcome, ZERO_HASH};
use pepperhook_policy::{
    Around, Ask, Change, Counts, Effect, Fits, Governor, Made, Pace, Policy, SUBJECT, Sums, Trial, Watch,
    neighbours, tighter,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::VecDeque;
use std::sync::Arc;

const FRONTS: usize = 3;
/// A step of a front's clock: longer than any time that a governor waits.
const LONG: u64 = 100_000;

fn policy(quota_a: u32, quota_b: u32) -> Policy {
    let text = format!(
        "uplink-kb 9000\nkb-per-weight 4000\nsection ladder\nrung 200 0.3\nrung 600 1\nsection class replay\naim 800ms\n\
         patience 4s\nsection tenant a\nquota {quota_a}\nsection tenant b\nquota {quota_b}\nsection rules\n\
         cold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n"
    );
    Policy::parse("policy", &text).expect("a policy")
}

/// What a front goes by: an index into [`Fleet::policies`].
type Goes = u8;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    governor: Governor,
    learned: usize,
    /// Effects that are still to be carried out, in order. Only where that order is what is planted: what a front vouches
    /// for later than it could, others only hear of later.
    queue: VecDeque<Effect>,
    goes: Option<Goes>,
    vouched: u64,
    holds: bool,
    now: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    log: Vec<Arc<(Entry, Outcome)>>,
    flight: Vec<Arc<Command>>,
    settled: u64,
    fronts: Vec<Front>,
    asked: [bool; 2],
    losses: u8,
    restarts: u8,
    lates: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Ask(usize),
    /// One of the proposals under way is decided. What never is, is lost.
    Decide(usize),
    Learn(usize),
    Do(usize),
    /// It hears what is settled by now.
    Hear(usize),
    /// A long time passes at one front.
    Late(usize),
    /// Its hold has run out: it was cut off, stopped, or does not vouch.
    Lose(usize),
    Regain(usize),
    /// It begins anew with what has been decided so far.
    Restart(usize),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A front vouches before it goes by what it vouches for.
    VouchEarly,
    /// A step counts as settled as soon as it is decided.
    SettledAtOnce,
}

struct Fleet {
    /// Old, one new, its first step, another new, its first step.
    policies: Vec<Policy>,
    may: Vec<Vec<bool>>,
    asks: [bool; 2],
    /// A front that cannot go by the one new policy.
    refuses: Option<usize>,
    losses: u8,
    restarts: u8,
    lates: u8,
    /// Entries at most: what is decided later is lost.
    entries: usize,
    /// The change is on trial, and goes badly.
    trial: bool,
    /// The other change comes after the one, and is asked for once that stands.
    after: bool,
    planted: Planted,
}

struct Means<'a>(Option<&'a Policy>);

impl Fits for Means<'_> {
    fn fits(&self, policy: &Policy) -> Result<(), String> {
        if self.0 == Some(policy) { Err("no room for tenant b".into()) } else { Ok(()) }
    }
}

impl Fleet {
    fn new(asks: [bool; 2], losses: u8, restarts: u8, lates: u8, entries: usize) -> Self {
        Self::with(policy(5, 20), asks, losses, restarts, lates, entries)
    }

    fn with(other: Policy, asks: [bool; 2], losses: u8, restarts: u8, lates: u8, entries: usize) -> Self {
        let (old, one) = (policy(10, 10), policy(20, 5));
        let first = |from, to| tighter(from, to).expect("a first step");
        let mut policies =
            vec![old.clone(), one.clone(), first(&old, &one), other.clone(), first(&old, &other)];
        policies.push(first(&one, &other));
        let may = policies.iter().map(|p| policies.iter().map(|q| neighbours(p, q)).collect()).collect();
        Self {
            policies,
            may,
            asks,
            refuses: None,
            losses,
            restarts,
            lates,
            entries,
            trial: false,
            after: false,
            planted: Planted::Nothing,
        }
    }

    fn means(&self, i: usize) -> Means<'_> {
        Means(self.refuses.filter(|f| *f == i).map(|_| &self.policies[1]))
    }

    /// What all fronts know of service: worse since the second step was decided.
    fn sums(w: &World) -> Sums {
        let new = taken(w).any(|e| change(e).step() == "second");
        let in_time = if new { Counts { of: 2_000, well: 1_890 } } else { Counts { of: 1_000, well: 990 } };
        Sums { in_time, ..Sums::default() }
    }

    fn pace() -> Pace {
        Pace { first_ms: 30_000, ..Pace::default() }
    }

    /// Hands a front's effects on. What takes no effect on others is done at once.
    fn take(&self, w: &mut World, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                // One key is one command, whoever sends it.
                Effect::Propose(c) if w.flight.iter().all(|f| f.key != c.key) => w.flight.push(Arc::new(c)),
                Effect::Propose(_) | Effect::Told { .. } | Effect::Stuck(_) => {}
                other => w.fronts[i].queue.push_back(other),
            }
        }
        w.flight.sort_by_key(|c| c.key);
        if self.planted == Planted::VouchEarly {
            w.fronts[i].queue.make_contiguous().sort_by_key(|e| !matches!(e, Effect::Vouch(_)));
        } else {
            while self.carry_out(&mut w.fronts[i]).is_some() {}
        }
    }

    fn carry_out(&self, front: &mut Front) -> Option<()> {
        match front.queue.pop_front()? {
            Effect::InForce { policy, .. } => {
                let at = self.policies.iter().position(|p| *p == policy).expect("one of the known");
                front.goes = Some(at as Goes);
            }
            Effect::Vouch(number) => front.vouched = number,
            _ => {}
        }
        Some(())
    }

    fn entry(w: &World, command: Command) -> (Entry, Outcome) {
        let number = w.log.len() as u64 + 1;
        let stands = taken(w).last().map_or(0, |e| e.number);
        let before = w.log.iter().find(|e| e.0.command.key == command.key).map(|e| e.1);
        let Operation::Put { expects, .. } = &command.operation else {
            panic!("no other command is proposed")
        };
        let now = if *expects == stands { Outcome::Applied } else { Outcome::Stale(0) };
        (Entry { number, hash: ZERO_HASH, command }, before.unwrap_or(now))
    }

    fn begin(&self, w: &mut World, i: usize) {
        let mut governor = Governor::new(i as u64, Self::pace(), None);
        let mut out = Vec::new();
        let (now, number) = (w.fronts.get(i).map_or(0, |f| f.now), w.log.len());
        let last = taken(w).last().expect("what stands").clone();
        let Operation::Put { body, .. } = last.command.operation else { panic!("a policy") };
        let at = last.number;
        governor.replaced_up_to(now, number as u64, Some((at, &body)), &self.means(i), &mut out);
        let front = Front {
            governor,
            learned: number,
            queue: VecDeque::new(),
            goes: None,
            vouched: 0,
            holds: false,
            now,
        };
        if i < w.fronts.len() {
            w.fronts[i] = front
        } else {
            w.fronts.push(front)
        }
        self.take(w, i, out);
    }
}

fn taken(w: &World) -> impl Iterator<Item = &Entry> {
    w.log.iter().filter(|e| e.1 == Outcome::Applied).map(|e| &e.0)
}

fn change(entry: &Entry) -> Change {
    let Operation::Put { body, .. } = &entry.command.operation else { panic!("a policy") };
    Change::decode(body).expect("what a governor wrote")
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let made = Made { key: 0, front: 0, name: "settings".into() };
        let policy = self.policies[0].text().to_owned();
        let body =
            Change::Stands { version: 1, last: 1, policy, made, undone: None }.encode().expect("a body");
        let command = Command {
            key: Key(1),
            author: 0,
            operation: Operation::Put { subject: SUBJECT, expects: 0, body },
        };
        let mut w = World {
            log: vec![Arc::new((Entry { number: 1, hash: ZERO_HASH, command }, Outcome::Applied))],
            flight: vec![],
            settled: 1,
            fronts: vec![],
            asked: [false; 2],
            losses: 0,
            restarts: 0,
            lates: 0,
        };
        for i in 0..FRONTS {
            self.begin(&mut w, i);
            w.fronts[i].queue.clear();
            (w.fronts[i].goes, w.fronts[i].vouched, w.fronts[i].holds) = (Some(0), 1, true);
            if self.trial {
                w.fronts[i].governor.served(0, Sums::default());
                w.fronts[i].now = LONG;
                let sums = Self::sums(&w);
                w.fronts[i].governor.served(LONG, sums);
            }
            // The first tick tells it that the fleet agrees.
            let around = Around { agreed: true, leads: i == 2 };
            w.fronts[i].governor.tick(0, around, &self.means(i), &mut vec![]);
        }
        vec![w]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        let stands = |i: usize, version| {
            w.fronts[i].governor.in_force().is_some_and(|f| (f.0, f.1) == (version, "stands"))
        };
        let may = |i: &usize| self.asks[*i] && !w.asked[*i] && (*i == 0 || !self.after || stands(*i, 2));
        acts.extend((0..2).filter(may).map(Act::Ask));
        if w.log.len() < self.entries {
            acts.extend((0..w.flight.len()).map(Act::Decide));
        }
        for (i, f) in w.fronts.iter().enumerate() {
            if !f.queue.is_empty() {
                acts.push(Act::Do(i));
            } else {
                if f.learned < w.log.len() {
                    acts.push(Act::Learn(i));
                }
                acts.push(Act::Hear(i));
                if w.lates < self.lates {
                    acts.push(Act::Late(i));
                }
            }
            if f.holds && w.losses < self.losses {
                acts.push(Act::Lose(i));
            }
            if !f.holds && f.vouched >= w.settled {
                acts.push(Act::Regain(i));
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
                let trial = Trial { watch: Watch::InTime, time_s: 60, least: 10 };
                let trial = self.trial.then_some(trial);
                let text = self.policies[1 + 2 * i].text().to_owned();
                let ask = Ask {
                    key: 100 + i as u128,
                    name: "ana".into(),
                    against: if i == 1 && self.after { 2 } else { 1 },
                    text,
                    dry_run: false,
                    trial,
                };
                let f = &mut w.fronts[i];
                f.governor.ask(f.now, ask, &self.means(i), &mut out);
                self.take(&mut w, i, out);
            }
            Act::Decide(k) => {
                let command = w.flight.remove(k);
                let entry = Self::entry(&w, (*command).clone());
                w.log.push(Arc::new(entry));
            }
            Act::Learn(i) => {
                let f = &mut w.fronts[i];
                let (entry, outcome) = &*w.log[f.learned];
                f.learned += 1;
                f.governor.applied(f.now, entry, outcome, &self.means(i), &mut out);
                self.take(&mut w, i, out);
            }
            Act::Do(i) => {
                self.carry_out(&mut w.fronts[i]);
            }
            Act::Hear(i) => {
                let all = w.log.len() as u64;
                let holders = w.fronts.iter().filter(|f| f.holds && self.planted != Planted::SettledAtOnce);
                w.settled = holders.map(|f| f.vouched).min().unwrap_or(all).max(w.settled);
                let f = &mut w.fronts[i];
                f.governor.settled(f.now, w.settled, &mut out);
                self.take(&mut w, i, out);
            }
            Act::Late(i) => {
                w.lates += 1;
                let sums = Self::sums(&w);
                let f = &mut w.fronts[i];
                f.now += LONG;
                if self.trial {
                    f.governor.served(f.now, sums);
                }
                f.governor.tick(f.now, Around { agreed: true, leads: i == 2 }, &self.means(i), &mut out);
                self.take(&mut w, i, out);
            }
            Act::Lose(i) => {
                w.losses += 1;
                w.fronts[i].holds = false;
            }
            Act::Regain(i) => w.fronts[i].holds = true,
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
                let held: Vec<Goes> = w.fronts.iter().filter(|f| f.holds).filter_map(|f| f.goes).collect();
                held.iter().all(|a| held.iter().all(|b| fleet.may[*a as usize][*b as usize]))
            }),
            Property::always("a change goes one way", |_, w: &World| {
                let steps: Vec<Change> = taken(w).map(change).collect();
                let has = |step: &str, version: u64| {
                    steps.iter().any(|c| c.step() == step && c.version() == version)
                };
                steps.iter().all(|c| !(has("second", c.version()) && has("back", c.version())))
            }),
            Property::sometimes("the new one is in force everywhere", |_, w: &World| {
                w.fronts.iter().all(|f| f.holds && f.goes == Some(1))
            }),
            Property::sometimes("a change is undone and the old one in force everywhere", |_, w: &World| {
                let last = taken(w).last().map(change);
                matches!(last, Some(Change::Stands { undone: Some(_), .. }))
                    && w.fronts.iter().all(|f| f.holds && f.goes == Some(0))
            }),
            Property::sometimes("a front is fenced while the others go on", |_, w: &World| {
                w.fronts.iter().any(|f| !f.holds && f.goes == Some(0))
                    && w.fronts.iter().filter(|f| f.holds && f.goes == Some(1)).count() == 2
            }),
        ]
    }
}

const NEIGHBOURS: &str = "policies in force at one moment are neighbours";
const ONE_WAY: &str = "a change goes one way";
const NEW: &str = "the new one is in force everywhere";
const OLD: &str = "a change is undone and the old one in force everywhere";
const FENCED: &str = "a front is fenced while the others go on";

/// Goes through all states; `reached` is what has to come about in some of them.
fn all_is_well(fleet: Fleet, least: usize, reached: &[&'static str]) {
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
    let may = Fleet::new([false; 2], 0, 0, 0, 1).may;
    assert!(!may[0][1] && !may[0][3] && !may[1][3], "old and new are no neighbours, or nothing is shown");
    assert!(may[0][2] && may[2][1] && may[0][4] && may[4][3]);
}

#[test]
fn a_change_while_one_hold_runs_out_and_one_is_late() {
    all_is_well(Fleet::new([true, false], 1, 0, 1, 5), 100_000, &[NEW, OLD, FENCED]);
}

#[test]
fn a_change_while_a_front_begins_anew() {
    all_is_well(Fleet::new([true, false], 1, 1, 0, 5), 20_000, &[NEW, FENCED]);
}

#[test]
fn a_change_that_a_front_refuses() {
    let fleet = Fleet { refuses: Some(1), ..Fleet::new([true, false], 1, 0, 1, 5) };
    all_is_well(fleet, 20_000, &[OLD, FENCED]);
}

#[test]
fn two_changes_that_race() {
    all_is_well(Fleet::new([true, true], 1, 0, 0, 6), 40_000, &[NEW, FENCED]);
}

/// The first steps of both are no neighbours: the second change has to wait until nobody goes by that of the first.
#[test]
fn two_changes_one_after_the_other() {
    let fleet = Fleet { after: true, ..Fleet::with(policy(30, 3), [true, true], 0, 0, 0, 6) };
    assert!(!fleet.may[2][5]);
    all_is_well(fleet, 1_000, &[NEW]);
}

/// The new one makes service worse: it goes back by the same steps.
#[test]
fn a_change_on_trial_that_goes_badly() {
    let fleet = Fleet { trial: true, ..Fleet::new([true, false], 0, 0, 1, 7) };
    all_is_well(fleet, 1_000, &[NEW, OLD]);
}

/// Also one after the other: the first is undone, the second made.
#[test]
#[ignore = "730,000 states"]
fn two_changes_while_one_is_late() {
    all_is_well(Fleet::new([true, true], 0, 0, 1, 6), 500_000, &[NEW, OLD]);
}

fn found(planted: Planted) -> Option<Vec<Act>> {
    let fleet = Fleet { planted, ..Fleet::new([true, false], 0, 0, 0, 4) };
    let checker = fleet.checker().finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    checker.discovery(NEIGHBOURS).map(|path| path.into_actions())
}

#[test]
fn a_front_that_vouches_before_it_goes_by_the_entry_is_found() {
    assert!(found(Planted::Nothing).is_none());
    assert!(found(Planted::VouchEarly).is_some());
}

#[test]
fn a_step_that_counts_as_settled_when_it_is_decided_is_found() {
    assert!(found(Planted::SettledAtOnce).is_some());
}
