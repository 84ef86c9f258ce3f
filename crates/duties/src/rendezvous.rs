//! Who comes first: weighted rendezvous hashing (Thaler, Ravishankar 1998; the weights by Schindelhauer, Schomaker
//! 2005).

use crate::scheduler::Duty;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Weight of an ordinary front.
pub const DEFAULT_WEIGHT: u16 = 100;

/// A front's draw for a duty in a round: exponentially distributed, the smaller the larger its weight. The smallest
/// of all draws is any front's with the odds of its weight.
fn draw(duty: Duty, round: u64, front: u64, weight: u16) -> f64 {
    let mut hash = SipHasher13::new_with_keys(u64::from(duty.kind), duty.target);
    hash.write_u64(round);
    hash.write_u64(front);
    // Uniform between 0 and 1, both left out.
    let uniform = ((hash.finish() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() * f64::from(DEFAULT_WEIGHT) / f64::from(weight.max(1))
}

/// The fronts of a view in the order in which they are to do a duty in a round, the owner first; `most` of them.
#[must_use]
pub fn rank(duty: Duty, round: u64, view: &BTreeMap<u64, u16>, most: usize) -> Vec<u64> {
    let mut order: Vec<(f64, u64)> =
        view.iter().map(|(front, weight)| (draw(duty, round, *front, *weight), *front)).collect();
    let by = |a: &(f64, u64), b: &(f64, u64)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
    if order.len() > most {
        order.select_nth_unstable_by(most, by);
        order.truncate(most);
    }
    order.sort_by(by);
    order.into_iter().map(|(_, front)| front).collect()
}

/// Whether a front may act on a duty in a round at all, whoever it believes to be there: over `fronts` fronts of
/// ordinary weight on the mean, no more than `most` of them may, on the mean over rounds.
#[must_use]
pub fn is_eligible(duty: Duty, round: u64, front: u64, weight: u16, most: u32, fronts: u32) -> bool {
    most >= fronts || draw(duty, round, front, weight) < f64::from(most) / f64::from(fronts.max(1))
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

    /// What a death moves, against the ideal of one in n, over duties and rounds.
    fn moved(n: u64) -> (u32, u32) {
        let (all, mut moved, mut rounds) = (view(n), 0u32, 0u32);
        for gone in all.keys().copied().take(8) {
            let mut rest = all.clone();
            rest.remove(&gone);
            for target in 0..200 {
                for round in 0..3 {
                    let (was, is) =
                        (rank(duty(target), round, &all, 1)[0], rank(duty(target), round, &rest, 1)[0]);
                    assert!(was == is || was == gone, "only what the dead one owned changes hands");
                    moved += u32::from(was != is);
                    rounds += 1;
                }
            }
        }
        (moved, rounds)
    }

    #[test]
    fn a_death_moves_one_share_and_no_other() {
        for n in [10, 80, 240] {
            let (moved, rounds) = moved(n);
            // Within four standard deviations of one share in n.
            let ideal = f64::from(rounds) / n as f64;
            assert!(
                (f64::from(moved) - ideal).abs() < 4.0 * ideal.sqrt(),
                "{n} members: {moved}, ideal {ideal}"
            );
        }
    }

    #[test]
    fn weights_are_kept() {
        let view = BTreeMap::from([(1, 100), (2, 300), (3, 50)]);
        let mut owned = BTreeMap::new();
        for target in 0..4_000 {
            *owned.entry(rank(duty(target), 7, &view, 1)[0]).or_insert(0.0) += 1.0 / 4_000.0;
        }
        for (front, weight) in [(1, 100.0), (2, 300.0), (3, 50.0)] {
            let part = owned[&front];
            assert!((part - weight / 450.0_f64).abs() < 0.03, "front {front}: {part}");
        }
    }

    /// Though each front acts wherever it may, a target hears of no more than `most` a round on the mean; and where
    /// all are there the first in order may nearly always act.
    #[test]
    fn the_bound_holds_whatever_the_views() {
        for n in [3u32, 8, 80, 240] {
            let (all, most, rounds) = (view(u64::from(n)), 5, 1_000u64);
            let (mut sum, mut without, mut worst) = (0, 0, 0);
            for round in 0..rounds {
                let may = |f: &u64| is_eligible(duty(9), round, *f, DEFAULT_WEIGHT, most, n);
                let acting = all.keys().filter(|f| may(f)).count();
                (sum, worst) = (sum + acting, worst.max(acting));
                without += u32::from(!may(&rank(duty(9), round, &all, 1)[0]));
            }
            let mean = sum as f64 / rounds as f64;
            assert!(mean <= 5.3 && worst <= 18, "{n} fronts: {mean} a round, {worst} at most");
            assert!(f64::from(without) / (rounds as f64) < 0.015, "{n} fronts: {without} rounds without");
        }
    }

    proptest! {
        /// The order is that of the draws: leaving one out leaves the others as they were, and a shorter list is the
        /// beginning of a longer one.
        #[test]
        fn the_order_is_the_views(fronts in prop::collection::btree_map(any::<u64>(), 1u16..500, 1..40), target: u64, round: u64, at in 0usize..40) {
            let whole = rank(duty(target), round, &fronts, usize::MAX);
            prop_assert_eq!(whole.len(), fronts.len());
            let gone = whole[at % whole.len()];
            let mut rest = fronts.clone();
            rest.remove(&gone);
            let without: Vec<u64> = whole.iter().copied().filter(|f| *f != gone).collect();
            prop_assert_eq!(&rank(duty(target), round, &rest, usize::MAX), &without);
            let few = at % whole.len();
            prop_assert_eq!(&rank(duty(target), round, &fronts, few)[..], &whole[..few]);
        }
    }
}
