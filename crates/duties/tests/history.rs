//! Ownership is a function of view, duty and round; it does not depend on the earlier views of a front.

use pepperhook_duties::{DEFAULT_WEIGHT, DutyKind, DutyScheduler, Output, Settings, Target, TargetState};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn scheduler() -> DutyScheduler {
    let kind = DutyKind {
        name: "probe".into(),
        period_ms: 1_000,
        stagger_ms: 250,
        timeout_ms: 500,
        max_runs_per_period: 9,
        include_draining: false,
    };
    DutyScheduler::new(
        Settings { me: 1, weight: DEFAULT_WEIGHT, max_fronts: 9, startup_delay_ms: 0, kinds: vec![kind] },
        0,
    )
}

fn targets() -> Vec<Target> {
    (0..20).map(|id| Target { id, state: TargetState::Ready, incarnation: 0 }).collect()
}

fn ownership(scheduler: &DutyScheduler, now_ms: u64) -> Vec<(u64, u64, Option<u64>, Option<usize>)> {
    scheduler.rows(now_ms).into_iter().map(|row| (row.target, row.round, row.owner, row.rank)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn ownership_does_not_depend_on_history(
        steps in prop::collection::vec((1u64..700, prop::collection::btree_set(2u64..9, 0..8)), 1..30),
        last in prop::collection::btree_set(2u64..9, 0..8),
    ) {
        let mut used = scheduler();
        used.set_targets(0, 0, &targets(), &mut Vec::new());
        let mut now_ms = 0;
        for (wait_ms, view) in steps {
            now_ms += wait_ms;
            let mut out = Vec::new();
            used.set_view(now_ms, view.into_iter().map(|f| (f, DEFAULT_WEIGHT)).collect());
            used.wake(now_ms, &mut out);
            for output in out {
                if let Output::Run { duty, round, .. } = output {
                    used.finish(now_ms + 1, duty, round, true, &mut Vec::new());
                }
            }
        }
        now_ms += 1_000;
        let view: BTreeMap<u64, u16> = last.into_iter().map(|f| (f, DEFAULT_WEIGHT)).collect();
        used.set_view(now_ms, view.clone());
        used.wake(now_ms, &mut Vec::new());
        let mut fresh = scheduler();
        fresh.set_targets(now_ms, 0, &targets(), &mut Vec::new());
        fresh.set_view(now_ms, view);
        fresh.wake(now_ms, &mut Vec::new());
        prop_assert_eq!(ownership(&used, now_ms), ownership(&fresh, now_ms));
    }
}
