//! Model check of the scheduler: with a few lost reports and the failure of one front, every duty keeps an
//! owner and no front runs a duty twice in a round.

use pepperhook_duties::{
    DEFAULT_WEIGHT, Duty, DutyKind, DutyReport, DutyScheduler, Output, Settings, Target, TargetState,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

/// Milliseconds; a period has four steps.
const PERIOD_MS: u64 = 1_000;
const STEP_MS: u64 = 250;
const FRONTS: u64 = 3;
const DUTY: Duty = Duty { kind: 0, target: 7 };
/// Rounds after which a failed front is removed from the views.
const REMOVED_AFTER_ROUNDS: u64 = 2;

/// Time advances in steps of the standbys' stagger interval; between two steps reports arrive or are lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    step: u64,
    /// `None` for the front that failed.
    fronts: Vec<Option<DutyScheduler>>,
    /// Reports under way: sender, receiver, report.
    in_flight: Vec<(u64, u64, DutyReport)>,
    lost: u8,
    /// The front that failed, and the step in which it did.
    failed: Option<(u64, u64)>,
    /// Runs in the current round, by front.
    runs: Vec<u8>,
    /// Consecutive rounds without a run.
    rounds_without_run: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Step,
    Deliver(usize),
    Lose(usize),
    Fail(u64),
}

struct FleetModel {
    max_losses: u8,
    max_steps: u64,
}

fn settings(me: u64) -> Settings {
    let kind = DutyKind {
        name: "probe".into(),
        period_ms: PERIOD_MS,
        stagger_ms: STEP_MS,
        timeout_ms: 200,
        max_runs_per_period: 5,
        include_draining: false,
    };
    Settings { me, weight: DEFAULT_WEIGHT, max_fronts: FRONTS as u32, startup_delay_ms: 0, kinds: vec![kind] }
}

/// Start of the duty's first round, milliseconds.
fn start_ms() -> u64 {
    let scheduler = DutyScheduler::new(settings(1), 0);
    (10_000..11_001)
        .find(|t| scheduler.round_at(DUTY, *t) != scheduler.round_at(DUTY, t - 1))
        .expect("start of a round")
}

fn view(without: Option<u64>) -> BTreeMap<u64, u16> {
    (1..=FRONTS).filter(|f| Some(*f) != without).map(|f| (f, DEFAULT_WEIGHT)).collect()
}

impl Fleet {
    /// Carries out a front's outputs: runs succeed within the step, and reports are put under way.
    fn carry_out(&mut self, front: u64, now_ms: u64, out: Vec<Output>) {
        let mut out: Vec<Output> = out;
        while let Some(output) = out.pop() {
            match output {
                Output::Run { duty, round, .. } => {
                    self.runs[front as usize - 1] += 1;
                    if let Some(scheduler) = &mut self.fronts[front as usize - 1] {
                        scheduler.finish(now_ms + 10, duty, round, true, &mut out);
                    }
                }
                Output::Report { to, report } => {
                    for to in to {
                        let message = (front, to, report);
                        if !self.in_flight.contains(&message) {
                            self.in_flight.push(message);
                        }
                    }
                }
                Output::Cancel { .. } => {}
            }
        }
        self.in_flight.sort_by_key(|(from, to, report)| (*from, *to, report.round, report.state as u8));
    }
}

impl Model for FleetModel {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let now_ms = start_ms();
        let target = Target { id: DUTY.target, state: TargetState::Ready, incarnation: 1 };
        let front = |me| {
            let mut scheduler = DutyScheduler::new(settings(me), now_ms);
            scheduler.set_view(now_ms, view(None));
            scheduler.set_targets(now_ms, 0, &[target], &mut Vec::new());
            Some(scheduler)
        };
        vec![Fleet {
            step: 0,
            fronts: (1..=FRONTS).map(front).collect(),
            in_flight: vec![],
            lost: 0,
            failed: None,
            runs: vec![0; FRONTS as usize],
            rounds_without_run: 0,
        }]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        if fleet.in_flight.is_empty() && fleet.step < self.max_steps {
            actions.push(Action::Step);
        }
        // Reports of a step arrive before the next step, in any order.
        for i in 0..fleet.in_flight.len() {
            actions.push(Action::Deliver(i));
            if fleet.lost < self.max_losses {
                actions.push(Action::Lose(i));
            }
        }
        if fleet.failed.is_none() && fleet.step > 0 {
            actions.extend((1..=FRONTS).map(Action::Fail));
        }
    }

    fn next_state(&self, fleet: &Fleet, action: Action) -> Option<Fleet> {
        let mut fleet = fleet.clone();
        let now_ms = start_ms() + fleet.step * STEP_MS;
        match action {
            Action::Step => {
                if fleet.step % 4 == 0 && fleet.step > 0 {
                    fleet.rounds_without_run = if fleet.runs.iter().all(|runs| *runs == 0) {
                        fleet.rounds_without_run + 1
                    } else {
                        0
                    };
                    fleet.runs = vec![0; FRONTS as usize];
                }
                fleet.step += 1;
                for front in 1..=FRONTS {
                    let removed = fleet
                        .failed
                        .filter(|(_, at_step)| fleet.step >= at_step + REMOVED_AFTER_ROUNDS * 4)
                        .map(|(front, _)| front);
                    let mut out = Vec::new();
                    if let Some(scheduler) = &mut fleet.fronts[front as usize - 1] {
                        scheduler.set_view(now_ms, view(removed));
                        scheduler.wake(now_ms, &mut out);
                    }
                    fleet.carry_out(front, now_ms, out);
                }
            }
            Action::Deliver(i) => {
                let (from, to, report) = fleet.in_flight.remove(i);
                if let Some(scheduler) = &mut fleet.fronts[to as usize - 1] {
                    scheduler.receive_report(now_ms - STEP_MS + 20, from, report).ok();
                }
            }
            Action::Lose(i) => {
                fleet.in_flight.remove(i);
                fleet.lost += 1;
            }
            Action::Fail(front) => {
                fleet.fronts[front as usize - 1] = None;
                fleet.failed = Some((front, fleet.step));
            }
        }
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a duty is run in every round", |_, fleet: &Fleet| {
                fleet.rounds_without_run == 0
            }),
            Property::always("no front runs a duty twice in a round", |_, fleet: &Fleet| {
                fleet.runs.iter().all(|runs| *runs <= 1)
            }),
            Property::always(
                "there are no more additional runs than lost reports and failures",
                |_, fleet: &Fleet| {
                    let runs: u8 = fleet.runs.iter().sum();
                    runs <= 1 + fleet.lost + u8::from(fleet.failed.is_some())
                },
            ),
            Property::sometimes("a lost report causes a second run", |_, fleet: &Fleet| {
                fleet.runs.iter().sum::<u8>() > 1
            }),
            Property::sometimes("another front takes over from the failed one", |_, fleet: &Fleet| {
                fleet.failed.is_some_and(|(front, _)| fleet.runs[front as usize - 1] == 0) && fleet.step > 12
            }),
        ]
    }
}

#[test]
fn every_duty_is_run_although_reports_are_lost_and_a_front_fails() {
    let checker = FleetModel { max_losses: 2, max_steps: 13 }.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}
