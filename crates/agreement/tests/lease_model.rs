//! Holds under a model checker: whatever is lost, late or doubled, whoever restarts, and whichever voters follow, nothing
//! is settled while a front holds and goes by less.
//!
//! Three voters and two fronts, and one voter that follows the three: no majority of the one set has to meet one of the
//! other. Clocks go in ticks: a hold of 2 counts as 1 for who asked and as 3 for who granted. A front's clock may miss a
//! tick, and a voter's may have one too many, which is as much as these margins are for. Answers come at once: a late one
//! tells a front only later that it holds. An observer sees at any time what each voter has cleared, which is more than
//! any front ever sees.

use pepperhook_agreement::VoterId;
use pepperhook_agreement::lease::{GrantReply, Grants, Lease};
use stateright::{Checker, Model, Property};

const HOLD: u64 = 2;

fn ids(set: &[usize]) -> Vec<VoterId> {
    set.iter().map(|i| VoterId { front: *i as u64 + 1, store: 9 }).collect()
}

/// The first set of voters and the second.
const SETS: [&[usize]; 2] = [&[0, 1, 2], &[3]];

/// A voter: what its disk has survives its restart, its grants do not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    /// The entry is on its disk as decided.
    durable: u64,
    /// The command that ends the first set is in its log.
    sealed: bool,
    /// It has its seat.
    votes: bool,
    grants: Grants,
    /// Its clock is ahead by so much.
    ahead: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    hold: Lease,
    run: u64,
    question: u64,
    /// Its clock is behind by so much.
    behind: u64,
}

type Look = (usize, usize, u64, u64, u64, u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    voters: Vec<Voter>,
    fronts: Vec<Front>,
    /// On their way: voter, front, run, question, when it was asked by the front's clock, what it vouches for.
    looks: Vec<Look>,
    /// Of each set.
    observers: [Lease; 2],
    asks: u8,
    faults: u8,
    /// The set that decided the entry; it is one or the other.
    decided: Option<usize>,
    learned: bool,
}

impl World {
    /// A majority has the command that ends the first set: it is decided.
    fn ended(&self) -> bool {
        SETS[0].iter().filter(|v| self.voters[**v].sealed).count() >= 2
    }

    fn settled(&self) -> u64 {
        self.observers.iter().map(Lease::stable).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Pass,
    /// A front asks voters: those of the mask are reached at once, one more late or once more, the others never.
    Ask(usize, u8, Option<usize>),
    /// What was late arrives.
    Arrive,
    /// A voter has the entry as decided.
    Decide(usize),
    /// A front goes by the entry.
    Vouch(usize),
    Restart(usize),
    /// A front begins another run; questions of its former one may still arrive.
    Anew(usize),
    /// The command that ends the first set comes into a voter's log.
    Log(usize),
    /// The second set's voter takes its seat.
    Second,
    /// A front learns of the second set.
    Learn(usize),
    /// A clock goes wrong by a tick.
    Late(usize),
    Early(usize),
}

/// What is planted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Wrong {
    Nothing,
    /// A voter clears at once after its start.
    ClearsAtOnce,
    /// A voter that has the command in its log grants on until it knows that it is decided.
    GrantsSealed,
    /// A voter that starts takes what its disk has for no floor.
    ForgetsFloor,
    /// A front counts a hold in full.
    NoMargin,
}

struct Holds {
    wrong: Wrong,
    asks: u8,
    ticks: u64,
    faults: u8,
    /// The voters change.
    change: bool,
    clocks: bool,
}

const FIRST: u64 = HOLD + 1;

impl Holds {
    fn start(&self, now: u64, set: usize, durable: u64) -> Grants {
        let at = if self.wrong == Wrong::ClearsAtOnce { now.saturating_sub(HOLD + 1) } else { now };
        let floor = if self.wrong == Wrong::ForgetsFloor { 0 } else { durable };
        Grants::new(at, HOLD, set as u32 + 1, floor)
    }

    fn arrive(&self, w: &mut World, (v, f, run, question, asked, vouched): Look) {
        let voter = &mut w.voters[v];
        if !voter.votes {
            return;
        }
        let sealed = voter.sealed && self.wrong != Wrong::GrantsSealed;
        let now = w.now + voter.ahead;
        voter.grants.raise_min_confirmed(now, voter.durable);
        let answer = voter.grants.request(now, (f as u64, run), question, vouched, sealed);
        let since = voter.grants.voters_since();
        // The observers see what is cleared.
        let answer = GrantReply { watermark: None, ..answer };
        if w.fronts[f].run == run {
            w.fronts[f].hold.on_reply(ids(&[v])[0], since, asked, &answer);
        }
    }

    fn hold(&self, set: usize) -> Lease {
        let mut hold = Lease::new(if self.wrong == Wrong::NoMargin { HOLD + 2 } else { HOLD });
        hold.set_voters(set as u32 + 1, &ids(SETS[set]));
        hold
    }
}

impl Model for Holds {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        // Long after the first start: voters clear.
        let voters = (0..4).map(|v| Voter {
            durable: 0,
            sealed: false,
            votes: v < 3,
            grants: Grants::new(0, HOLD, 1, 0),
            ahead: 0,
        });
        let front = Front { hold: self.hold(0), run: 1, question: 0, behind: 0 };
        vec![World {
            now: FIRST,
            voters: voters.collect(),
            fronts: vec![front; 2],
            looks: vec![],
            observers: [self.hold(0), self.hold(1)],
            asks: 0,
            faults: 0,
            decided: None,
            learned: false,
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Act>) {
        if w.now < FIRST + self.ticks {
            actions.push(Act::Pass);
        }
        let there = if self.change { 4 } else { 3 };
        if w.asks < self.asks && w.looks.is_empty() {
            // The first front asks first; the other asks once: its grants are in the way, no more.
            let second = w.asks > 0 && w.fronts[1].question == 0 && w.fronts[1].run == 1;
            for f in if second { 0..2 } else { 0..1 } {
                let masks: &[u8] = if self.change { &[3, 5, 6, 8] } else { &[3, 5, 6, 7] };
                for mask in masks {
                    actions.push(Act::Ask(f, *mask, None));
                    if f == 0 {
                        actions.extend((0..there).map(|late| Act::Ask(f, *mask, Some(late))));
                    }
                }
            }
        }
        if !w.looks.is_empty() {
            actions.push(Act::Arrive);
        }
        for v in 0..there {
            // Two voters have what a majority decides at once, the third has it later.
            let set = usize::from(v == 3);
            let first = w.decided.is_none() && (v == 0 || v == 3) && (set == 1 || !w.ended());
            let later = w.decided == Some(0) && v == 2;
            if (first || later) && w.voters[v].votes && w.voters[v].durable == 0 {
                actions.push(Act::Decide(v));
            }
            if w.faults < self.faults && w.voters[v].votes {
                actions.push(Act::Restart(v));
            }
            if self.clocks && w.voters.iter().all(|v| v.ahead == 0) {
                actions.push(Act::Early(v));
            }
            // A majority has it, the third voter never does.
            if self.change && v < 2 && !w.voters[v].sealed {
                actions.push(Act::Log(v));
            }
        }
        if w.ended() && !w.voters[3].votes {
            actions.push(Act::Second);
        }
        for f in 0..2 {
            let front = &w.fronts[f];
            if f == 0 && front.hold.confirmed() == 0 && w.decided.is_some() {
                actions.push(Act::Vouch(f));
            }
            if f == 0 && w.ended() && !w.learned {
                actions.push(Act::Learn(f));
            }
            if w.faults < self.faults && f == 0 && front.run == 1 && front.question > 0 {
                actions.push(Act::Anew(f));
            }
            if self.clocks && w.fronts.iter().all(|f| f.behind == 0) {
                actions.push(Act::Late(f));
            }
        }
    }

    fn next_state(&self, w: &World, act: Act) -> Option<World> {
        let mut w = w.clone();
        match act {
            Act::Pass => w.now += 1,
            Act::Ask(f, mask, late) => {
                w.asks += 1;
                let front = &mut w.fronts[f];
                front.question += 1;
                let asked = w.now - front.behind;
                let look = |v| (v, f, front.run, front.question, asked, front.hold.confirmed());
                let arrive: Vec<Look> = (0..4).filter(|v| mask >> v & 1 == 1).map(look).collect();
                w.looks.extend(late.map(look));
                arrive.into_iter().for_each(|l| self.arrive(&mut w, l));
            }
            Act::Arrive => {
                if let Some(look) = w.looks.pop() {
                    self.arrive(&mut w, look);
                }
            }
            Act::Decide(v) => {
                w.decided = w.decided.or(Some(usize::from(v == 3)));
                w.voters[v].durable = 1;
                if v == 0 {
                    w.voters[1].durable = 1;
                    // The other front goes by it at once.
                    w.fronts[1].hold.confirm(1);
                }
            }
            Act::Vouch(f) => w.fronts[f].hold.confirm(1),
            Act::Restart(v) => {
                w.faults += 1;
                let now = w.now + w.voters[v].ahead;
                w.voters[v].grants = self.start(now, usize::from(v == 3), w.voters[v].durable);
            }
            Act::Anew(f) => {
                w.faults += 1;
                let front = &mut w.fronts[f];
                (front.run, front.question, front.hold) = (2, 0, self.hold(0));
            }
            Act::Log(v) => w.voters[v].sealed = true,
            Act::Second => {
                // Behind what the first set decided.
                let durable = u64::from(w.decided == Some(0));
                let grants = self.start(w.now + w.voters[3].ahead, 1, durable);
                let ahead = w.voters[3].ahead;
                w.voters[3] = Voter { durable, sealed: false, votes: true, grants, ahead };
            }
            Act::Learn(f) => {
                w.learned = true;
                w.fronts[f].hold.set_voters(2, &ids(SETS[1]));
            }
            Act::Late(f) => w.fronts[f].behind = 1,
            Act::Early(v) => w.voters[v].ahead = 1,
        }
        for (v, voter) in w.voters.iter_mut().enumerate().filter(|(_, v)| v.votes) {
            let (now, set) = (w.now + voter.ahead, usize::from(v == 3));
            voter.grants.raise_min_confirmed(now, voter.durable);
            let seen =
                GrantReply { granted: false, min_confirmed: 0, watermark: voter.grants.watermark(now) };
            w.observers[set].on_reply(ids(&[v])[0], set as u32 + 1, 0, &seen);
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is settled that a holder does not go by", |_, w: &World| {
                let settled = w.settled();
                w.fronts.iter().all(|f| !f.hold.is_held(w.now - f.behind) || f.hold.confirmed() >= settled)
            }),
            Property::sometimes("a front holds and vouches", |_, w: &World| {
                w.fronts[0].hold.is_held(w.now) && w.fronts[0].hold.confirmed() == 1
            }),
            Property::sometimes("it is settled while another held before", |m: &Self, w: &World| {
                let by = if m.change { 1 } else { 0 };
                w.observers[by].stable() == 1 && w.fronts[0].hold.until_ms() > FIRST
            }),
        ]
    }
}

const SAFE: &str = "nothing is settled that a holder does not go by";

fn check(model: Holds) -> usize {
    let most = std::env::var("HOLD_STATES").ok().and_then(|s| s.parse().ok()).unwrap_or(usize::MAX);
    let checker = model.checker().threads(4).target_state_count(most).spawn_bfs().join();
    println!(
        "depth {} unique {} total {}",
        checker.max_depth(),
        checker.unique_state_count(),
        checker.state_count()
    );
    checker.assert_properties();
    checker.unique_state_count()
}

fn found(model: Holds) -> bool {
    model.checker().threads(4).spawn_bfs().join().discovery(SAFE).is_some()
}

const NOTHING: Holds =
    Holds { wrong: Wrong::Nothing, asks: 2, ticks: 4, faults: 1, change: false, clocks: false };

#[test]
fn no_number_is_settled_while_a_holder_goes_by_less() {
    let states = check(Holds { ..NOTHING });
    println!("{states} states with a restart");
    assert!(states > 10_000);
}

#[test]
fn nor_while_clocks_differ() {
    let states = check(Holds { faults: 0, clocks: true, ticks: 3, ..NOTHING });
    println!("{states} states with clocks that differ");
    assert!(states > 10_000);
}

#[test]
fn nor_when_other_voters_follow() {
    let states = check(Holds { faults: 0, change: true, ticks: 4, ..NOTHING });
    println!("{states} states with other voters");
    assert!(states > 10_000);
}

#[test]
fn planted_rules_are_found() {
    assert!(found(Holds { wrong: Wrong::ClearsAtOnce, ..NOTHING }));
    assert!(found(Holds { wrong: Wrong::ForgetsFloor, ticks: 4, ..NOTHING }));
    assert!(found(Holds { wrong: Wrong::NoMargin, faults: 0, clocks: true, ..NOTHING }));
    assert!(found(Holds { wrong: Wrong::ClearsAtOnce, faults: 0, change: true, ..NOTHING }));
    assert!(found(Holds { wrong: Wrong::GrantsSealed, faults: 0, change: true, ticks: 4, ..NOTHING }));
}
