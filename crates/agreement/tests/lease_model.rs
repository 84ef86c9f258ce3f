//! Checks the lease protocol with a model checker: no entry becomes stable while a front holds a lease and
//! has confirmed less, whatever messages are lost, late or duplicated, whoever restarts, and whichever voters
//! replace the former ones.
//!
//! The model has three voters, two fronts, and one voter that replaces the three: a majority of one set does
//! not have to intersect a majority of the other. Clocks count ticks: a lease of 2 ticks counts as 1 at the
//! front and as 3 at the voter. A front's clock may be one tick slow and a voter's one tick fast, which is
//! all that these margins cover. Replies arrive at once: a late reply only makes a front learn later that it
//! holds the lease. An observer sees every voter's watermark at any time, which is more than any front sees.

use pepperhook_agreement::VoterId;
use pepperhook_agreement::lease::{GrantReply, Grants, Lease};
use stateright::{Checker, Model, Property};

/// Length of a lease, in ticks.
const LEASE_TICKS: u64 = 2;

fn ids(set: &[usize]) -> Vec<VoterId> {
    set.iter().map(|i| VoterId { front: *i as u64 + 1, store: 9 }).collect()
}

/// Indices of the first set of voters and of the second.
const SETS: [&[usize]; 2] = [&[0, 1, 2], &[3]];

/// A voter. Its disk's content survives a restart, its grants do not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    /// Last entry that its disk has as decided: 0 or 1.
    durable: u64,
    /// Its log has the command that replaces the first set.
    reconfiguring: bool,
    /// It is a voter of its set.
    votes: bool,
    grants: Grants,
    /// Ticks that its clock is fast.
    clock_fast: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    lease: Lease,
    run: u64,
    /// Id of its last request.
    request: u64,
    /// Ticks that its clock is slow.
    clock_slow: u64,
}

/// A request under way: voter, front, run, request id, send time by the front's clock, confirmed entry.
type Request = (usize, usize, u64, u64, u64, u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    voters: Vec<Voter>,
    fronts: Vec<Front>,
    /// Requests under way.
    requests: Vec<Request>,
    /// An observer of each set.
    observers: [Lease; 2],
    requests_sent: u8,
    faults: u8,
    /// Index of the set that decided the entry; only one of them does.
    decided: Option<usize>,
    /// The first front knows the second set.
    learned: bool,
}

impl World {
    /// The command that replaces the first set is decided: a majority has it.
    fn replaced(&self) -> bool {
        SETS[0].iter().filter(|v| self.voters[**v].reconfiguring).count() >= 2
    }

    fn stable(&self) -> u64 {
        self.observers.iter().map(Lease::stable).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    /// A front sends its request to the voters: those of the mask receive it at once, one more (or one of
    /// them again) later, the others never.
    Request(usize, u8, Option<usize>),
    /// The late request arrives.
    Deliver,
    /// A voter has the entry as decided.
    Decide(usize),
    /// A front confirms the entry.
    Confirm(usize),
    RestartVoter(usize),
    /// A front starts another run; requests of its former run may still arrive.
    RestartFront(usize),
    /// The command that replaces the first set enters a voter's log.
    AppendReplacement(usize),
    /// The voter of the second set starts to vote.
    StartSecondSet,
    /// A front learns of the second set.
    Learn(usize),
    /// A front's clock falls behind by a tick.
    SlowClock(usize),
    /// A voter's clock gains a tick.
    FastClock(usize),
}

/// A deliberate violation of the protocol's rules.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A voter reports a watermark immediately after its start.
    WatermarkAtStart,
    /// A voter whose log has the replacing command grants leases until it knows that the command is decided.
    GrantsWhileReconfiguring,
    /// A voter starts without the minimum that its disk gives.
    ForgetsMinimum,
    /// A front counts a lease in full.
    NoMargin,
}

struct LeaseModel {
    defect: Defect,
    max_requests: u8,
    max_ticks: u64,
    max_faults: u8,
    /// The second set of voters replaces the first.
    replace_voters: bool,
    /// Clock rates differ.
    clocks_differ: bool,
}

/// Time of the first state, in ticks.
const FIRST_TICK: u64 = LEASE_TICKS + 1;

impl LeaseModel {
    /// Grants of a voter that starts.
    fn start(&self, now: u64, set: usize, durable: u64) -> Grants {
        let at =
            if self.defect == Defect::WatermarkAtStart { now.saturating_sub(LEASE_TICKS + 1) } else { now };
        let minimum = if self.defect == Defect::ForgetsMinimum { 0 } else { durable };
        Grants::new(at, LEASE_TICKS, set as u32 + 1, minimum)
    }

    /// A request arrives, and its reply at once.
    fn deliver(&self, w: &mut World, (v, f, run, request, sent, confirmed): Request) {
        let voter = &mut w.voters[v];
        if !voter.votes {
            return;
        }
        let reconfiguring = voter.reconfiguring && self.defect != Defect::GrantsWhileReconfiguring;
        let now = w.now + voter.clock_fast;
        voter.grants.raise_min_confirmed(now, voter.durable);
        let reply = voter.grants.request(now, (f as u64, run), request, confirmed, reconfiguring);
        let since = voter.grants.voters_since();
        // Only the observers see watermarks.
        let reply = GrantReply { watermark: None, ..reply };
        if w.fronts[f].run == run {
            w.fronts[f].lease.on_reply(ids(&[v])[0], since, sent, &reply);
        }
    }

    fn lease(&self, set: usize) -> Lease {
        let mut lease =
            Lease::new(if self.defect == Defect::NoMargin { LEASE_TICKS + 2 } else { LEASE_TICKS });
        lease.set_voters(set as u32 + 1, &ids(SETS[set]));
        lease
    }
}

impl Model for LeaseModel {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        // A full lease time after the voters' start: they report watermarks.
        let voters = (0..4).map(|v| Voter {
            durable: 0,
            reconfiguring: false,
            votes: v < 3,
            grants: Grants::new(0, LEASE_TICKS, 1, 0),
            clock_fast: 0,
        });
        let front = Front { lease: self.lease(0), run: 1, request: 0, clock_slow: 0 };
        vec![World {
            now: FIRST_TICK,
            voters: voters.collect(),
            fronts: vec![front; 2],
            requests: vec![],
            observers: [self.lease(0), self.lease(1)],
            requests_sent: 0,
            faults: 0,
            decided: None,
            learned: false,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Action>) {
        if w.now < FIRST_TICK + self.max_ticks {
            actions.push(Action::Tick);
        }
        let voters = if self.replace_voters { 4 } else { 3 };
        if w.requests_sent < self.max_requests && w.requests.is_empty() {
            // The first front asks first. The other one asks once, and only to have grants that hold back
            // watermarks.
            let second = w.requests_sent > 0 && w.fronts[1].request == 0 && w.fronts[1].run == 1;
            for f in if second { 0..2 } else { 0..1 } {
                let masks: &[u8] = if self.replace_voters { &[3, 5, 6, 8] } else { &[3, 5, 6, 7] };
                for mask in masks {
                    actions.push(Action::Request(f, *mask, None));
                    if f == 0 {
                        actions.extend((0..voters).map(|late| Action::Request(f, *mask, Some(late))));
                    }
                }
            }
        }
        if !w.requests.is_empty() {
            actions.push(Action::Deliver);
        }
        for v in 0..voters {
            // Two voters have an entry as soon as a majority decides it, the third has it later.
            let set = usize::from(v == 3);
            let initially = w.decided.is_none() && (v == 0 || v == 3) && (set == 1 || !w.replaced());
            let later = w.decided == Some(0) && v == 2;
            if (initially || later) && w.voters[v].votes && w.voters[v].durable == 0 {
                actions.push(Action::Decide(v));
            }
            if w.faults < self.max_faults && w.voters[v].votes {
                actions.push(Action::RestartVoter(v));
            }
            if self.clocks_differ && w.voters.iter().all(|v| v.clock_fast == 0) {
                actions.push(Action::FastClock(v));
            }
            // A majority gets the command, the third voter never does.
            if self.replace_voters && v < 2 && !w.voters[v].reconfiguring {
                actions.push(Action::AppendReplacement(v));
            }
        }
        if w.replaced() && !w.voters[3].votes {
            actions.push(Action::StartSecondSet);
        }
        for f in 0..2 {
            let front = &w.fronts[f];
            if f == 0 && front.lease.confirmed() == 0 && w.decided.is_some() {
                actions.push(Action::Confirm(f));
            }
            if f == 0 && w.replaced() && !w.learned {
                actions.push(Action::Learn(f));
            }
            if w.faults < self.max_faults && f == 0 && front.run == 1 && front.request > 0 {
                actions.push(Action::RestartFront(f));
            }
            if self.clocks_differ && w.fronts.iter().all(|f| f.clock_slow == 0) {
                actions.push(Action::SlowClock(f));
            }
        }
    }

    fn next_state(&self, w: &World, act: Action) -> Option<World> {
        let mut w = w.clone();
        match act {
            Action::Tick => w.now += 1,
            Action::Request(f, mask, late) => {
                w.requests_sent += 1;
                let front = &mut w.fronts[f];
                front.request += 1;
                let sent = w.now - front.clock_slow;
                let request = |v| (v, f, front.run, front.request, sent, front.lease.confirmed());
                let delivered: Vec<Request> = (0..4).filter(|v| mask >> v & 1 == 1).map(request).collect();
                w.requests.extend(late.map(request));
                delivered.into_iter().for_each(|request| self.deliver(&mut w, request));
            }
            Action::Deliver => {
                if let Some(request) = w.requests.pop() {
                    self.deliver(&mut w, request);
                }
            }
            Action::Decide(v) => {
                w.decided = w.decided.or(Some(usize::from(v == 3)));
                w.voters[v].durable = 1;
                if v == 0 {
                    w.voters[1].durable = 1;
                    // The other front confirms it at once.
                    w.fronts[1].lease.confirm(1);
                }
            }
            Action::Confirm(f) => w.fronts[f].lease.confirm(1),
            Action::RestartVoter(v) => {
                w.faults += 1;
                let now = w.now + w.voters[v].clock_fast;
                w.voters[v].grants = self.start(now, usize::from(v == 3), w.voters[v].durable);
            }
            Action::RestartFront(f) => {
                w.faults += 1;
                let front = &mut w.fronts[f];
                (front.run, front.request, front.lease) = (2, 0, self.lease(0));
            }
            Action::AppendReplacement(v) => w.voters[v].reconfiguring = true,
            Action::StartSecondSet => {
                // Its log starts after what the first set decided.
                let durable = u64::from(w.decided == Some(0));
                let grants = self.start(w.now + w.voters[3].clock_fast, 1, durable);
                let clock_fast = w.voters[3].clock_fast;
                w.voters[3] = Voter { durable, reconfiguring: false, votes: true, grants, clock_fast };
            }
            Action::Learn(f) => {
                w.learned = true;
                w.fronts[f].lease.set_voters(2, &ids(SETS[1]));
            }
            Action::SlowClock(f) => w.fronts[f].clock_slow = 1,
            Action::FastClock(v) => w.voters[v].clock_fast = 1,
        }
        for (v, voter) in w.voters.iter_mut().enumerate().filter(|(_, v)| v.votes) {
            let (now, set) = (w.now + voter.clock_fast, usize::from(v == 3));
            voter.grants.raise_min_confirmed(now, voter.durable);
            let reply =
                GrantReply { granted: false, min_confirmed: 0, watermark: voter.grants.watermark(now) };
            w.observers[set].on_reply(ids(&[v])[0], set as u32 + 1, 0, &reply);
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SAFETY, |_, w: &World| {
                let stable = w.stable();
                w.fronts
                    .iter()
                    .all(|f| !f.lease.is_held(w.now - f.clock_slow) || f.lease.confirmed() >= stable)
            }),
            Property::sometimes("a front holds a lease and has confirmed the entry", |_, w: &World| {
                w.fronts[0].lease.is_held(w.now) && w.fronts[0].lease.confirmed() == 1
            }),
            Property::sometimes(
                "the entry is stable after a front has held a lease",
                |m: &Self, w: &World| {
                    let set = if m.replace_voters { 1 } else { 0 };
                    w.observers[set].stable() == 1 && w.fronts[0].lease.until_ms() > FIRST_TICK
                },
            ),
        ]
    }
}

const SAFETY: &str = "every leaseholder has confirmed the stable entry";

fn check(model: LeaseModel) -> usize {
    let max_states = std::env::var("HOLD_STATES").ok().and_then(|s| s.parse().ok()).unwrap_or(usize::MAX);
    let checker = model.checker().threads(4).target_state_count(max_states).spawn_bfs().join();
    println!(
        "depth {} unique {} total {}",
        checker.max_depth(),
        checker.unique_state_count(),
        checker.state_count()
    );
    checker.assert_properties();
    checker.unique_state_count()
}

/// Whether the checker finds a violation of the safety property.
fn finds_violation(model: LeaseModel) -> bool {
    model.checker().threads(4).spawn_bfs().join().discovery(SAFETY).is_some()
}

const CORRECT: LeaseModel = LeaseModel {
    defect: Defect::None,
    max_requests: 2,
    max_ticks: 4,
    max_faults: 1,
    replace_voters: false,
    clocks_differ: false,
};

#[test]
fn no_entry_is_stable_that_a_leaseholder_has_not_confirmed() {
    let states = check(LeaseModel { ..CORRECT });
    println!("{states} states with a restart");
    assert!(states > 10_000);
}

#[test]
fn no_entry_is_stable_too_early_while_clocks_differ() {
    let states = check(LeaseModel { max_faults: 0, clocks_differ: true, max_ticks: 3, ..CORRECT });
    println!("{states} states with differing clocks");
    assert!(states > 10_000);
}

#[test]
fn no_entry_is_stable_too_early_when_voters_are_replaced() {
    let states = check(LeaseModel { max_faults: 0, replace_voters: true, max_ticks: 4, ..CORRECT });
    println!("{states} states with replaced voters");
    assert!(states > 10_000);
}

#[test]
fn planted_defects_are_found() {
    assert!(finds_violation(LeaseModel { defect: Defect::WatermarkAtStart, ..CORRECT }));
    assert!(finds_violation(LeaseModel { defect: Defect::ForgetsMinimum, max_ticks: 4, ..CORRECT }));
    assert!(finds_violation(LeaseModel {
        defect: Defect::NoMargin,
        max_faults: 0,
        clocks_differ: true,
        ..CORRECT
    }));
    assert!(finds_violation(LeaseModel {
        defect: Defect::WatermarkAtStart,
        max_faults: 0,
        replace_voters: true,
        ..CORRECT
    }));
    assert!(finds_violation(LeaseModel {
        defect: Defect::GrantsWhileReconfiguring,
        max_faults: 0,
        replace_voters: true,
        max_ticks: 4,
        ..CORRECT
    }));
}
