//! Which queues may grow.

use super::*;

#[test]
fn a_queue_is_bounded_alone_and_with_others() {
    let total = ByteTotal::default();
    let mut alone = SendQueue::new(total.clone());
    assert!(alone.push(&vec![0; LIMITS.alone]));
    assert!(!alone.push(b"x"));
    // Many peers that do not read fill the total; then short queues still grow, and long ones do not.
    let full = LIMITS.total / LIMITS.alone;
    let others: Vec<_> = (0..full)
        .map(|_| {
            let mut queue = SendQueue::new(total.clone());
            let _ = queue.push(&vec![0; LIMITS.alone]);
            queue
        })
        .collect();
    let mut newcomer = SendQueue::new(total.clone());
    assert!(newcomer.push(&vec![0; LIMITS.always]));
    assert!(!newcomer.push(b"x"));
    drop((alone, others));
    newcomer.advance(1);
    assert!(newcomer.push(&vec![0; LIMITS.always]), "there is room again");
    assert_eq!(newcomer.unwritten().len(), 2 * LIMITS.always);
    drop(newcomer);
    assert_eq!(total.get(), 0);
}
