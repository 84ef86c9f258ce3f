//! A stateright model of the life of a reservation: a peak is announced, amended and called off at one front, spread in
//! rounds whose messages may be lost or late, while fronts restart from their stores and time passes.
//!
//! Checked in every state: nothing is reserved at the end or later; fronts with the same version reserve the same; one
//! round without loss in each direction ends a disagreement.

use stateright::{Checker, Model, Property};

const FRONTS: usize = 2;
const END: u8 = 4;

/// State of the fronts. Versions are counted from 1, 0 is none; odd versions reserve, even ones are called off.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u8,
    /// Versions in memory and in the store, by front; a restart loads the stored one.
    known: [u8; FRONTS],
    stored: [u8; FRONTS],
    /// Messages in flight: receiver and version. They may be lost or late.
    in_flight: Vec<(usize, u8)>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// An operator makes the next version at this front, which stores it before it answers.
    Put(usize),
    /// A front sends its version to the other.
    Send(usize),
    Deliver(usize),
    Lose(usize),
    Restart(usize),
    /// Time advances by one step.
    AdvanceTime,
}

struct ReservationLife;

/// Whether a version reserves capacity at a time. As in the implementation, the higher version wins (`Records::merge`),
/// and the reservation follows from version and time alone (`Reservations::expected_viewers`).
fn reserves(version: u8, time: u8) -> bool {
    version % 2 == 1 && time < END
}

impl Model for ReservationLife {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State { time: 0, known: [0; FRONTS], stored: [0; FRONTS], in_flight: vec![], restarts: 0 }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Step>) {
        for i in 0..FRONTS {
            if s.known[i] < 4 && s.time < END {
                out.push(Step::Put(i));
            }
            if s.known[i] > 0 && s.in_flight.len() < 2 {
                out.push(Step::Send(i));
            }
            if s.restarts < 2 {
                out.push(Step::Restart(i));
            }
        }
        for m in 0..s.in_flight.len() {
            out.extend([Step::Deliver(m), Step::Lose(m)]);
        }
        if s.time <= END {
            out.push(Step::AdvanceTime);
        }
    }

    fn next_state(&self, s: &State, step: Step) -> Option<State> {
        let mut s = s.clone();
        match step {
            Step::Put(i) => {
                s.known[i] += 1;
                s.stored[i] = s.known[i];
            }
            Step::Send(i) => s.in_flight.push((1 - i, s.known[i])),
            Step::Deliver(m) => {
                let (to, version) = s.in_flight.remove(m);
                if version > s.known[to] {
                    (s.known[to], s.stored[to]) = (version, version);
                }
            }
            Step::Lose(m) => {
                s.in_flight.remove(m);
            }
            Step::Restart(i) => {
                s.known[i] = s.stored[i];
                s.restarts += 1;
            }
            Step::AdvanceTime => s.time += 1,
        }
        s.in_flight.sort_unstable();
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is reserved at the end or later", |_, s: &State| {
                s.time < END || s.known.iter().all(|v| !reserves(*v, s.time))
            }),
            Property::always("a restart restores the version", |_, s: &State| s.known == s.stored),
            Property::always("the same version is the same reservation", |_, s: &State| {
                s.known[0] != s.known[1] || reserves(s.known[0], s.time) == reserves(s.known[1], s.time)
            }),
            Property::always("a round without loss each way ends a disagreement", |_, s: &State| {
                let newest = s.known[0].max(s.known[1]);
                let mut after = s.clone();
                for i in 0..FRONTS {
                    let sent =
                        ReservationLife.next_state(&after, Step::Send(i)).unwrap_or_else(|| after.clone());
                    let last = sent.in_flight.iter().position(|m| *m == (1 - i, after.known[i])).unwrap_or(0);
                    after = ReservationLife.next_state(&sent, Step::Deliver(last)).unwrap_or(sent);
                }
                after.known == [newest; FRONTS]
            }),
            Property::sometimes("both reserve", |_, s: &State| s.known.iter().all(|v| reserves(*v, s.time))),
            Property::sometimes("one reserves what the other has released", |_, s: &State| {
                reserves(s.known[0], s.time) && s.known[1] == 2
            }),
        ]
    }
}

#[test]
fn a_reservation_ends_with_its_peak_despite_message_loss() {
    let checker = ReservationLife.checker().threads(2).target_state_count(400_000).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
}
