//! What one way of a link does with datagrams: which of them come out, when and in which order. No I/O; the same seed and
//! the same datagrams at the same times give the same.

use crate::link::Windows;
use crate::schedule::Kind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Datagrams under way on one way at most, and their bytes; more are thrown away, as a full queue would.
pub const MOST: usize = 4_096;
/// See [`MOST`].
pub const MOST_BYTES: usize = 4 << 20;

/// What became of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// They came in.
    pub offered: u64,
    /// They came out, doubles too.
    pub passed: u64,
    /// Thrown away by a cut.
    pub cut: u64,
    /// Thrown away by chance.
    pub lost: u64,
    /// Came out once more.
    pub doubled: u64,
    /// Held back so that later ones overtook them.
    pub held: u64,
    /// Thrown away since the queue was full.
    pub overflowed: u64,
}

/// One way of a link.
pub struct Datagrams {
    rng: StdRng,
    /// What is under way, by when it comes out; equal times come out in the order of their numbers.
    queue: BTreeMap<(u64, u64), Vec<u8>>,
    bytes: usize,
    number: u64,
    /// When the last one comes out that was not held back: a delay alone changes no order.
    last_us: u64,
    counters: Counters,
}

impl Datagrams {
    /// A way with nothing on it.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            bytes: 0,
            number: 0,
            last_us: 0,
            counters: Counters::default(),
        }
    }

    /// What became of datagrams.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// A datagram comes in.
    pub fn offer(&mut self, now_us: u64, windows: &Windows, datagram: Vec<u8>) {
        self.counters.offered += 1;
        let (mut after_us, mut held_us, mut twice) = (0u64, 0u64, false);
        for kind in windows.at(now_us) {
            match kind {
                Kind::Cut => {
                    self.counters.cut += 1;
                    return;
                }
                Kind::Lose { p } if self.rng.random_bool(p) => {
                    self.counters.lost += 1;
                    return;
                }
                Kind::Delay { ms, jitter_ms } => {
                    let jitter = self.rng.random_range(0..=jitter_ms.saturating_mul(1_000));
                    after_us = after_us.saturating_add(ms.saturating_mul(1_000)).saturating_add(jitter);
                }
                Kind::Reorder { p, ms } if self.rng.random_bool(p) => {
                    held_us = held_us.max(ms.saturating_mul(1_000));
                }
                Kind::Double { p } => twice |= self.rng.random_bool(p),
                // A stall is looked at when they come out; the rest is of streams.
                _ => {}
            }
        }
        let in_order = now_us.saturating_add(after_us).max(self.last_us);
        if held_us == 0 {
            self.last_us = in_order;
        }
        let at_us = in_order.saturating_add(held_us);
        let copy = twice.then(|| datagram.clone());
        if self.push(at_us, datagram) {
            self.counters.held += u64::from(held_us > 0);
            if let Some(copy) = copy {
                self.counters.doubled += u64::from(self.push(at_us, copy));
            }
        }
    }

    fn push(&mut self, at_us: u64, datagram: Vec<u8>) -> bool {
        if self.queue.len() >= MOST || self.bytes + datagram.len() > MOST_BYTES {
            self.counters.overflowed += 1;
            return false;
        }
        self.bytes += datagram.len();
        self.number += 1;
        self.queue.insert((at_us, self.number), datagram);
        true
    }

    /// The next datagram that comes out now. What would come out while the way is cut is gone.
    pub fn due(&mut self, now_us: u64, windows: &Windows) -> Option<Vec<u8>> {
        if windows.held_until(now_us, |k| k == Kind::Stall).is_some() {
            return None;
        }
        while let Some(first) = self.queue.first_entry().filter(|e| e.key().0 <= now_us) {
            let datagram = first.remove();
            self.bytes -= datagram.len();
            if windows.is_cut(now_us) {
                self.counters.cut += 1;
                continue;
            }
            self.counters.passed += 1;
            return Some(datagram);
        }
        None
    }

    /// When the next one comes out, if nothing else changes.
    #[must_use]
    pub fn next(&self, windows: &Windows) -> Option<u64> {
        let ((at_us, _), _) = self.queue.first_key_value()?;
        Some(windows.held_until(*at_us, |k| k == Kind::Stall).unwrap_or(*at_us))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::link::Window;
    use proptest::prelude::*;

    const END: u64 = u64::MAX;

    fn windows(kinds: &[Kind]) -> Windows {
        let mut w = Windows::default();
        kinds.iter().for_each(|k| assert!(w.add(Window { from_us: 0, until_us: END, kind: *k })));
        w
    }

    /// One datagram each millisecond; what comes out, with its time.
    fn run(seed: u64, n: u64, w: &Windows) -> (Vec<(u64, u64)>, Counters) {
        let (mut link, mut out) = (Datagrams::new(seed), Vec::new());
        let mut drain = |link: &mut Datagrams, to: u64| {
            while let Some(at) = link.next(w).filter(|at| *at <= to) {
                let before = out.len();
                while let Some(d) = link.due(at, w) {
                    out.push((at, u64::from_be_bytes(d.try_into().expect("eight bytes"))));
                }
                if out.len() == before {
                    break;
                }
            }
        };
        for i in 0..n {
            drain(&mut link, i * 1_000);
            link.offer(i * 1_000, w, i.to_be_bytes().to_vec());
        }
        drain(&mut link, END - 1);
        (out, link.counters())
    }

    fn kind() -> impl Strategy<Value = Kind> {
        prop_oneof![
            (0.0..0.9f64).prop_map(|p| Kind::Lose { p }),
            (0..40u64, 0..40u64).prop_map(|(ms, jitter_ms)| Kind::Delay { ms, jitter_ms }),
            (0.0..1.0f64, 1..40u64).prop_map(|(p, ms)| Kind::Reorder { p, ms }),
            (0.0..1.0f64).prop_map(|p| Kind::Double { p }),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

        #[test]
        fn the_same_seed_gives_the_same_and_all_is_accounted_for(
            seed: u64, kinds in prop::collection::vec(kind(), 0..4),
        ) {
            let w = windows(&kinds);
            let (first, c) = run(seed, 300, &w);
            prop_assert_eq!(&first, &run(seed, 300, &w).0);
            prop_assert_eq!(c.passed, first.len() as u64);
            prop_assert_eq!(c.offered + c.doubled, c.passed + c.lost + c.cut + c.overflowed);
        }

        #[test]
        fn loss_is_as_often_as_asked(seed: u64, p in 0.05..0.95f64) {
            let n = 4_000;
            let (out, _) = run(seed, n, &windows(&[Kind::Lose { p }]));
            let lost = 1.0 - out.len() as f64 / n as f64;
            // Five deviations: one case in two million is off by chance.
            prop_assert!((lost - p).abs() < 5.0 * (p * (1.0 - p) / n as f64).sqrt(), "{} for {}", lost, p);
        }

        #[test]
        fn a_delay_is_within_its_bounds_and_changes_no_order(seed: u64, ms in 0..50u64, jitter_ms in 0..50u64) {
            let (out, _) = run(seed, 500, &windows(&[Kind::Delay { ms, jitter_ms }]));
            prop_assert_eq!(out.len(), 500);
            for (i, (at, n)) in out.iter().enumerate() {
                prop_assert_eq!(*n, i as u64);
                let took = at - n * 1_000;
                prop_assert!((ms * 1_000..=(ms + jitter_ms) * 1_000).contains(&took), "{} us", took);
            }
        }

        #[test]
        fn reordered_ones_come_late_and_the_others_in_order(seed: u64, p in 0.1..0.9f64, ms in 2..30u64) {
            let (out, c) = run(seed, 500, &windows(&[Kind::Reorder { p, ms }]));
            let late: Vec<&(u64, u64)> = out.iter().filter(|(at, n)| *at != n * 1_000).collect();
            prop_assert_eq!(late.len() as u64, c.held);
            prop_assert!(late.iter().all(|(at, n)| *at == (n + ms) * 1_000));
            prop_assert!(out.windows(2).any(|w| w[0].1 > w[1].1), "something was overtaken");
        }

        #[test]
        fn doubles_come_twice(seed: u64, p in 0.1..0.9f64) {
            let (out, c) = run(seed, 2_000, &windows(&[Kind::Double { p }]));
            let share = c.doubled as f64 / 2_000.0;
            prop_assert!((share - p).abs() < 5.0 * (p * (1.0 - p) / 2_000.0).sqrt());
            prop_assert_eq!(out.len() as u64, 2_000 + c.doubled);
        }
    }

    #[test]
    fn nothing_comes_out_of_a_cut_not_even_what_was_under_way() {
        let mut w = windows(&[Kind::Delay { ms: 10, jitter_ms: 0 }]);
        assert!(w.add(Window { from_us: 5_000, until_us: 20_000, kind: Kind::Cut }));
        let (out, c) = run(1, 30, &w);
        assert!(out.iter().all(|(at, n)| *at >= 20_000 && *n >= 20), "{out:?}");
        assert_eq!((out.len(), c.cut), (10, 20));
    }

    #[test]
    fn a_stall_holds_all_back_and_then_lets_them_go_in_order() {
        let mut w = Windows::default();
        assert!(w.add(Window { from_us: 5_000, until_us: 20_500, kind: Kind::Stall }));
        let (out, _) = run(1, 30, &w);
        assert_eq!(out.iter().map(|o| o.1).collect::<Vec<_>>(), (0..30).collect::<Vec<_>>());
        assert!(out.iter().all(|(at, n)| *at == if (5..=20).contains(n) { 20_500 } else { n * 1_000 }));
    }

    #[test]
    fn the_queue_is_bounded_by_count_and_by_bytes() {
        let w = windows(&[Kind::Stall]);
        let mut link = Datagrams::new(1);
        (0..MOST + 7).for_each(|_| link.offer(0, &w, vec![1]));
        assert_eq!(link.counters().overflowed, 7);
        let mut link = Datagrams::new(1);
        (0..MOST_BYTES / 60_000 + 3).for_each(|_| link.offer(0, &w, vec![0; 60_000]));
        assert_eq!(link.counters().overflowed, 3);
    }
}
