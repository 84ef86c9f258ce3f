//! Who gives way when the memory for request bodies is exhausted.

use super::*;
use proptest::prelude::*;

/// Bytes of all bodies.
fn used(budget: &BodyBudget) -> usize {
    budget.0.borrow().used
}

fn is_evicted(body: &mut Reservation) -> bool {
    body.grow(0).is_err()
}

#[test]
fn the_body_that_has_been_arriving_for_longest_gives_way() {
    let budget = BodyBudget::new(100);
    let [mut first, mut second, mut third] = [(); 3].map(|()| budget.begin());
    first.grow(40).expect("there is room");
    second.grow(60).expect("there is room");
    third.grow(10).expect("the first one is evicted");
    assert_eq!(used(&budget), 70);
    assert!(is_evicted(&mut first) && !is_evicted(&mut second));
    assert_eq!(first.complete(), Err(Exhausted));
    drop(first);
    assert_eq!(used(&budget), 70, "the bytes of an evicted body were returned twice");
    drop(second);
    assert_eq!(used(&budget), 10);
}

#[test]
fn a_complete_body_is_kept_until_it_is_dropped() {
    let budget = BodyBudget::new(100);
    let (mut complete, mut late) = (budget.begin(), budget.begin());
    complete.grow(90).expect("there is room");
    complete.complete().expect("it was not evicted");
    assert_eq!(late.grow(20), Err(Exhausted));
    assert_eq!(used(&budget), 90);
    drop(complete);
    late.grow(20).expect("there is room again");
    assert_eq!(used(&budget), 20);
}

proptest! {
    /// Whatever bodies begin, grow, are completed and end: the sum stays within the limit, and nothing is left over.
    #[test]
    fn the_sum_stays_within_the_limit(steps in prop::collection::vec((0usize..8, 0usize..4, 0usize..60), 1..200)) {
        let budget = BodyBudget::new(150);
        let mut bodies: BTreeMap<usize, Reservation> = BTreeMap::new();
        for (slot, action, bytes) in steps {
            match action {
                0 => { bodies.remove(&slot); }
                1 => { let _ = bodies.entry(slot).or_insert_with(|| budget.begin()).complete(); }
                _ => { let _ = bodies.entry(slot).or_insert_with(|| budget.begin()).grow(bytes); }
            }
            prop_assert!(used(&budget) <= 150);
        }
        bodies.clear();
        prop_assert_eq!(used(&budget), 0);
    }
}
