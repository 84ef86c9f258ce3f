//! The board itself under a model checker: whatever few words are lost and whoever dies, no duty stays without an
//! owner, and nobody acts twice in a round.

use pepperhook_duties::{
    DEFAULT_WEIGHT, Duty, DutyKind, DutyReport, DutyScheduler, Output, Settings, Target, TargetState,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

const PERIOD: u64 = 1_000;
const STEP: u64 = 250;
const FRONTS: u64 = 3;
const DUTY: Duty = Duty { kind: 0, target: 7 };
/// A dead front leaves the views so many rounds after its death.
const GIVEN_UP: u64 = 2;

/// Time goes in steps of a standby's wait; between two steps words arrive or are lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    step: u64,
    fronts: Vec<Option<DutyScheduler>>,
    words: Vec<(u64, u64, DutyReport)>,
    lost: u8,
    died: Option<(u64, u64)>,
    /// Acts in the round under way, by front, and rounds since the last one that had an act.
    acts: Vec<u8>,
    without: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Step,
    Deliver(usize),
    Lose(usize),
    Die(u64),
}

struct Board {
    losses: u8,
    steps: u64,
}

fn settings(me: u64) -> Settings {
    let kind = DutyKind {
        name: "probe".into(),
        period_ms: PERIOD,
        stagger_ms: STEP,
        timeout_ms: 200,
        max_runs_per_period: 5,
        include_draining: false,
    };
    Settings { me, weight: DEFAULT_WEIGHT, max_fronts: FRONTS as u32, startup_delay_ms: 0, kinds: vec![kind] }
}

/// The first round of the duty begins here.
fn start() -> u64 {
    let probe = DutyScheduler::new(settings(1), 0);
    (10_000..11_001).find(|t| probe.round_at(DUTY, *t) != probe.round_at(DUTY, t - 1)).expect("a round")
}

fn view(without: Option<u64>) -> BTreeMap<u64, u16> {
    (1..=FRONTS).filter(|f| Some(*f) != without).map(|f| (f, DEFAULT_WEIGHT)).collect()
}

impl Fleet {
    /// Carries out what a front says: a duty is done within the step, and words are on their way.
    fn carry(&mut self, front: u64, now: u64, out: Vec<Output>) {
        let mut out: Vec<Output> = out;
        while let Some(o) = out.pop() {
            match o {
                Output::Run { duty, round, .. } => {
                    self.acts[front as usize - 1] += 1;
                    if let Some(d) = &mut self.fronts[front as usize - 1] {
                        d.finish(now + 10, duty, round, true, &mut out);
                    }
                }
                Output::Report { to, report: claim } => {
                    for to in to {
                        let word = (front, to, claim);
                        if !self.words.contains(&word) {
                            self.words.push(word);
                        }
                    }
                }
                Output::Cancel { .. } => {}
            }
        }
        self.words.sort_by_key(|(a, b, c)| (*a, *b, c.round, c.state as u8));
    }
}

impl Model for Board {
    type State = Fleet;
    type Action = Act;

    fn init_states(&self) -> Vec<Fleet> {
        let now = start();
        let target = Target { id: DUTY.target, state: TargetState::Ready, incarnation: 1 };
        let front = |me| {
            let mut d = DutyScheduler::new(settings(me), now);
            d.set_view(now, view(None));
            d.set_targets(now, 0, &[target], &mut Vec::new());
            Some(d)
        };
        vec![Fleet {
            step: 0,
            fronts: (1..=FRONTS).map(front).collect(),
            words: vec![],
            lost: 0,
            died: None,
            acts: vec![0; FRONTS as usize],
            without: 0,
        }]
    }

    fn actions(&self, s: &Fleet, actions: &mut Vec<Act>) {
        if s.words.is_empty() && s.step < self.steps {
            actions.push(Act::Step);
        }
        // Words of one step arrive before the next, in any order.
        for i in 0..s.words.len() {
            actions.push(Act::Deliver(i));
            if s.lost < self.losses {
                actions.push(Act::Lose(i));
            }
        }
        if s.died.is_none() && s.step > 0 {
            actions.extend((1..=FRONTS).map(Act::Die));
        }
    }

    fn next_state(&self, s: &Fleet, act: Act) -> Option<Fleet> {
        let mut s = s.clone();
        let now = start() + s.step * STEP;
        match act {
            Act::Step => {
                if s.step % 4 == 0 && s.step > 0 {
                    s.without = if s.acts.iter().all(|a| *a == 0) { s.without + 1 } else { 0 };
                    s.acts = vec![0; FRONTS as usize];
                }
                s.step += 1;
                for f in 1..=FRONTS {
                    let gone = s.died.filter(|(_, at)| s.step >= at + GIVEN_UP * 4).map(|(f, _)| f);
                    let mut out = Vec::new();
                    if let Some(d) = &mut s.fronts[f as usize - 1] {
                        d.set_view(now, view(gone));
                        d.wake(now, &mut out);
                    }
                    s.carry(f, now, out);
                }
            }
            Act::Deliver(i) => {
                let (from, to, claim) = s.words.remove(i);
                if let Some(d) = &mut s.fronts[to as usize - 1] {
                    d.receive_report(now - STEP + 20, from, claim).ok();
                }
            }
            Act::Lose(i) => {
                s.words.remove(i);
                s.lost += 1;
            }
            Act::Die(f) => {
                s.fronts[f as usize - 1] = None;
                s.died = Some((f, s.step));
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a duty is never without an owner for a whole round", |_, s: &Fleet| {
                s.without == 0
            }),
            Property::always("nobody acts twice in a round", |_, s: &Fleet| s.acts.iter().all(|a| *a <= 1)),
            Property::always("what is done twice is no more than the words lost", |_, s: &Fleet| {
                let acts: u8 = s.acts.iter().sum();
                acts <= 1 + s.lost + u8::from(s.died.is_some())
            }),
            Property::sometimes("a lost word has a duty done twice", |_, s: &Fleet| {
                s.acts.iter().sum::<u8>() > 1
            }),
            Property::sometimes("a death is stood in for", |_, s: &Fleet| {
                s.died.is_some_and(|(f, _)| s.acts[f as usize - 1] == 0) && s.step > 12
            }),
        ]
    }
}

#[test]
fn no_duty_stays_without_an_owner_whatever_few_words_are_lost_and_whoever_dies() {
    let checker = Board { losses: 2, steps: 13 }.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}
