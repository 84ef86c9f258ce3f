//! Weighted rendezvous hashing, which ranks the fronts for a duty (Thaler, Ravishankar 1998; weights after
//! Schindelhauer, Schomaker 2005).

use crate::scheduler::Duty;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Weight of a front with one share of the work.
pub const DEFAULT_WEIGHT: u16 = 100;

/// A front's score for a duty in a round. Scores are distributed exponentially with a rate proportional to
/// the weight, so each front has the lowest score with a probability proportional to its weight.
fn score(duty: Duty, round: u64, front: u64, weight: u16) -> f64 {
    let mut hash = SipHasher13::new_with_keys(u64::from(duty.kind), duty.target);
    hash.write_u64(round);
    hash.write_u64(front);
    // Uniform in the open interval (0, 1).
    let uniform = ((hash.finish() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() * f64::from(DEFAULT_WEIGHT) / f64::from(weight.max(1))
}

/// The first `limit` fronts of a view (number to weight) in the order in which they run a duty in a round,
/// the owner first.
#[must_use]
pub fn rank(duty: Duty, round: u64, view: &BTreeMap<u64, u16>, limit: usize) -> Vec<u64> {
    let mut order: Vec<(f64, u64)> =
        view.iter().map(|(front, weight)| (score(duty, round, *front, *weight), *front)).collect();
    let by_score = |a: &(f64, u64), b: &(f64, u64)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
    if order.len() > limit {
        order.select_nth_unstable_by(limit, by_score);
        order.truncate(limit);
    }
    order.sort_by(by_score);
    order.into_iter().map(|(_, front)| front).collect()
}

/// Whether a front may run a duty in a round, independently of its view. Among `max_fronts` fronts whose mean
/// weight is [`DEFAULT_WEIGHT`], at most `max_runs` are eligible per round, averaged over rounds.
#[must_use]
pub fn is_eligible(duty: Duty, round: u64, front: u64, weight: u16, max_runs: u32, max_fronts: u32) -> bool {
    max_runs >= max_fronts
        || score(duty, round, front, weight) < f64::from(max_runs) / f64::from(max_fronts.max(1))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn duty(target: u64) -> Duty {
        Duty { kind: 1, target }
    }

    fn view(n: u64) -> BTreeMap<u64, u16> {
        (1..=n).map(|f| (f * 0x9e37_79b9, DEFAULT_WEIGHT)).collect()
    }

    /// Counts the duties whose owner changes when one of `n` fronts is removed; returns that and the number
    /// of duties and rounds examined. Ideally one in `n` changes.
    fn moved(n: u64) -> (u32, u32) {
        let (all, mut moved, mut examined) = (view(n), 0u32, 0u32);
        for removed in all.keys().copied().take(8) {
            let mut rest = all.clone();
            rest.remove(&removed);
            for target in 0..200 {
                for round in 0..3 {
                    let (before, after) =
                        (rank(duty(target), round, &all, 1)[0], rank(duty(target), round, &rest, 1)[0]);
                    assert!(
                        before == after || before == removed,
                        "a duty that the removed front did not own changed owner"
                    );
                    moved += u32::from(before != after);
                    examined += 1;
                }
            }
        }
        (moved, examined)
    }

    #[test]
    fn removing_a_front_moves_only_its_share() {
        for n in [10, 80, 240] {
            let (moved, examined) = moved(n);
            // Within four standard deviations of one share in n.
            let ideal = f64::from(examined) / n as f64;
            assert!(
                (f64::from(moved) - ideal).abs() < 4.0 * ideal.sqrt(),
                "{n} fronts: {moved} duties moved, {ideal} expected"
            );
        }
    }

    #[test]
    fn shares_are_proportional_to_weights() {
        let view = BTreeMap::from([(1, 100), (2, 300), (3, 50)]);
        let mut owned = BTreeMap::new();
        for target in 0..4_000 {
            *owned.entry(rank(duty(target), 7, &view, 1)[0]).or_insert(0.0) += 1.0 / 4_000.0;
        }
        for (front, weight) in [(1, 100.0), (2, 300.0), (3, 50.0)] {
            let share = owned[&front];
            assert!((share - weight / 450.0_f64).abs() < 0.03, "front {front}: share {share}");
        }
    }

    /// If every eligible front runs a duty, the mean number of runs per round is at most `max_runs`. If all
    /// fronts are in the view, the owner is nearly always eligible.
    #[test]
    fn the_limit_holds_for_any_views() {
        for n in [3u32, 8, 80, 240] {
            let (all, max_runs, rounds) = (view(u64::from(n)), 5, 1_000u64);
            let (mut runs, mut without, mut worst) = (0, 0, 0);
            for round in 0..rounds {
                let eligible = |f: &u64| is_eligible(duty(9), round, *f, DEFAULT_WEIGHT, max_runs, n);
                let running = all.keys().filter(|f| eligible(f)).count();
                (runs, worst) = (runs + running, worst.max(running));
                without += u32::from(!eligible(&rank(duty(9), round, &all, 1)[0]));
            }
            let mean = runs as f64 / rounds as f64;
            assert!(mean <= 5.3 && worst <= 18, "{n} fronts: {mean} runs per round, {worst} at most");
            assert!(
                f64::from(without) / (rounds as f64) < 0.015,
                "{n} fronts: owner not eligible in {without} rounds"
            );
        }
    }

    proptest! {
        /// Removing a front does not change the order of the others, and a limited ranking is the beginning
        /// of the full one.
        #[test]
        fn ranking_is_consistent(fronts in prop::collection::btree_map(any::<u64>(), 1u16..500, 1..40), target: u64, round: u64, at in 0usize..40) {
            let full = rank(duty(target), round, &fronts, usize::MAX);
            prop_assert_eq!(full.len(), fronts.len());
            let removed = full[at % full.len()];
            let mut rest = fronts.clone();
            rest.remove(&removed);
            let without: Vec<u64> = full.iter().copied().filter(|f| *f != removed).collect();
            prop_assert_eq!(&rank(duty(target), round, &rest, usize::MAX), &without);
            let limit = at % full.len();
            prop_assert_eq!(&rank(duty(target), round, &fronts, limit)[..], &full[..limit]);
        }
    }
}
