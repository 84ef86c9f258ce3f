//! Ownership is a function of view, duty and round: how a front came by its view does not matter.

use pepperhook_duties::{DEFAULT_WEIGHT, DutyKind, DutyScheduler, Output, Settings, Target, TargetState};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn board() -> DutyScheduler {
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

fn owners(d: &DutyScheduler, now: u64) -> Vec<(u64, u64, Option<u64>, Option<usize>)> {
    d.rows(now).into_iter().map(|r| (r.target, r.round, r.owner, r.rank)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn two_histories_one_ownership(
        steps in prop::collection::vec((1u64..700, prop::collection::btree_set(2u64..9, 0..8)), 1..30),
        last in prop::collection::btree_set(2u64..9, 0..8),
    ) {
        let mut lived = board();
        lived.set_targets(0, 0, &targets(), &mut Vec::new());
        let mut now = 0;
        for (wait, view) in steps {
            now += wait;
            let mut out = Vec::new();
            lived.set_view(now, view.into_iter().map(|f| (f, DEFAULT_WEIGHT)).collect());
            lived.wake(now, &mut out);
            for o in out {
                if let Output::Run { duty, round, .. } = o {
                    lived.finish(now + 1, duty, round, true, &mut Vec::new());
                }
            }
        }
        now += 1_000;
        let view: BTreeMap<u64, u16> = last.into_iter().map(|f| (f, DEFAULT_WEIGHT)).collect();
        lived.set_view(now, view.clone());
        lived.wake(now, &mut Vec::new());
        let mut fresh = board();
        fresh.set_targets(now, 0, &targets(), &mut Vec::new());
        fresh.set_view(now, view);
        fresh.wake(now, &mut Vec::new());
        prop_assert_eq!(owners(&lived, now), owners(&fresh, now));
    }
}
