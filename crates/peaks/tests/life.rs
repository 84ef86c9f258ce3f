//! A model of a hold's life, checked by stateright: announced, amended and called off at one front, spread by
//! rounds that may lose any message, fronts that restart with what their store has, time that passes.
//!
//! Always: nothing is held at the end or later. Always, where both fronts have heard of the last version, they
//! agree. And from every state a few rounds without loss bring them to agree (checked as a path that exists).

use stateright::{Checker, Model, Property};

const FRONTS: usize = 2;
const END: u8 = 4;

/// What a front holds: the version that it knows, 0 for none; odd versions hold, even ones are called off.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u8,
    /// In memory and in the store: a restart brings the store's.
    known: [u8; FRONTS],
    stored: [u8; FRONTS],
    /// Messages under way: to whom, which version. They may be lost, and arrive late.
    wire: Vec<(usize, u8)>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// An operator makes the next version at this front, which keeps it before it answers.
    Put(usize),
    /// A front tells the other what it has.
    Tell(usize),
    Deliver(usize),
    Lose(usize),
    Restart(usize),
    Pass,
}

struct Life;

/// What the real code does with a version: the higher one wins (`Records::merge`), and what is held follows
/// from version and time alone (`Holds::expected`).
fn holds(version: u8, time: u8) -> bool {
    version % 2 == 1 && time < END
}

impl Model for Life {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State { time: 0, known: [0; FRONTS], stored: [0; FRONTS], wire: vec![], restarts: 0 }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        for i in 0..FRONTS {
            if s.known[i] < 4 && s.time < END {
                out.push(Step::Put(i));
            }
            if s.known[i] > 0 && s.wire.len() < 2 {
                out.push(Step::Tell(i));
            }
            if s.restarts < 2 {
                out.push(Step::Restart(i));
            }
        }
        for m in 0..s.wire.len() {
            out.extend([Step::Deliver(m), Step::Lose(m)]);
        }
        if s.time <= END {
            out.push(Step::Pass);
        }
    }

    fn next_state(&self, s: &State, step: Step) -> Option<State> {
        let mut s = s.clone();
        match step {
            Step::Put(i) => {
                s.known[i] += 1;
                s.stored[i] = s.known[i];
            }
            Step::Tell(i) => s.wire.push((1 - i, s.known[i])),
            Step::Deliver(m) => {
                let (to, version) = s.wire.remove(m);
                if version > s.known[to] {
                    (s.known[to], s.stored[to]) = (version, version);
                }
            }
            Step::Lose(m) => {
                s.wire.remove(m);
            }
            Step::Restart(i) => {
                s.known[i] = s.stored[i];
                s.restarts += 1;
            }
            Step::Pass => s.time += 1,
        }
        s.wire.sort_unstable();
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is held at the end or later", |_, s: &State| {
                s.time < END || s.known.iter().all(|v| !holds(*v, s.time))
            }),
            Property::always("a restart holds what was held", |_, s: &State| s.known == s.stored),
            Property::always("the same version is the same hold", |_, s: &State| {
                s.known[0] != s.known[1] || holds(s.known[0], s.time) == holds(s.known[1], s.time)
            }),
            Property::always("a round without loss each way ends a disagreement", |_, s: &State| {
                let newest = s.known[0].max(s.known[1]);
                let mut after = s.clone();
                for i in 0..FRONTS {
                    let told = Life.next_state(&after, Step::Tell(i)).unwrap_or_else(|| after.clone());
                    let last = told.wire.iter().position(|m| *m == (1 - i, after.known[i])).unwrap_or(0);
                    after = Life.next_state(&told, Step::Deliver(last)).unwrap_or(told);
                }
                after.known == [newest; FRONTS]
            }),
            Property::sometimes("both hold", |_, s: &State| s.known.iter().all(|v| holds(*v, s.time))),
            Property::sometimes("one holds what the other has given back", |_, s: &State| {
                holds(s.known[0], s.time) && s.known[1] == 2
            }),
        ]
    }
}

#[test]
fn a_hold_ends_with_its_peak_whatever_is_lost() {
    let checker = Life.checker().threads(2).target_state_count(400_000).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}
