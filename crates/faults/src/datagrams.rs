//! Applies faults to the datagrams of one direction of a link: which are delivered, when and in which order.
//! No I/O; the result is determined by the seed, the datagrams and their times.

use crate::link::Windows;
use crate::schedule::Kind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Maximum number of datagrams in the queue of one direction; more are dropped.
pub const MAX_DATAGRAMS: usize = 4_096;
/// Maximum number of bytes in the queue of one direction; more are dropped.
pub const MAX_QUEUED_BYTES: usize = 4 << 20;

/// Numbers of datagrams by what happened to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Received.
    pub offered: u64,
    /// Delivered, duplicates included.
    pub delivered: u64,
    /// Dropped by a cut.
    pub cut: u64,
    /// Dropped by random loss.
    pub lost: u64,
    /// Duplicated.
    pub duplicated: u64,
    /// Held back, which lets later ones overtake.
    pub held_back: u64,
    /// Dropped because the queue was full.
    pub overflowed: u64,
}

/// Datagrams of one direction of a link.
pub struct Datagrams {
    rng: StdRng,
    /// Queued datagrams by delivery time and sequence number.
    queue: BTreeMap<(u64, u64), Vec<u8>>,
    bytes: usize,
    sequence: u64,
    /// Delivery time of the last datagram that was not held back. A delay alone must not reorder datagrams.
    last_delivery_us: u64,
    counters: Counters,
}

impl Datagrams {
    /// An empty queue.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            bytes: 0,
            sequence: 0,
            last_delivery_us: 0,
            counters: Counters::default(),
        }
    }

    /// The counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Receives a datagram.
    pub fn offer(&mut self, now_us: u64, windows: &Windows, datagram: Vec<u8>) {
        self.counters.offered += 1;
        let (mut delay_us, mut hold_us, mut duplicate) = (0u64, 0u64, false);
        for kind in windows.active(now_us) {
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
                    delay_us = delay_us.saturating_add(ms.saturating_mul(1_000)).saturating_add(jitter);
                }
                Kind::Reorder { p, ms } if self.rng.random_bool(p) => {
                    hold_us = hold_us.max(ms.saturating_mul(1_000));
                }
                Kind::Double { p } => duplicate |= self.rng.random_bool(p),
                // A stall takes effect at delivery; the other kinds apply to streams only.
                _ => {}
            }
        }
        let in_order = now_us.saturating_add(delay_us).max(self.last_delivery_us);
        if hold_us == 0 {
            self.last_delivery_us = in_order;
        }
        let at_us = in_order.saturating_add(hold_us);
        let copy = duplicate.then(|| datagram.clone());
        if self.push(at_us, datagram) {
            self.counters.held_back += u64::from(hold_us > 0);
            if let Some(copy) = copy {
                self.counters.duplicated += u64::from(self.push(at_us, copy));
            }
        }
    }

    fn push(&mut self, at_us: u64, datagram: Vec<u8>) -> bool {
        if self.queue.len() >= MAX_DATAGRAMS || self.bytes + datagram.len() > MAX_QUEUED_BYTES {
            self.counters.overflowed += 1;
            return false;
        }
        self.bytes += datagram.len();
        self.sequence += 1;
        self.queue.insert((at_us, self.sequence), datagram);
        true
    }

    /// The next datagram to deliver now. A datagram that becomes due during a cut is dropped.
    pub fn due(&mut self, now_us: u64, windows: &Windows) -> Option<Vec<u8>> {
        if windows.blocked_until(now_us, |k| k == Kind::Stall).is_some() {
            return None;
        }
        while let Some(first) = self.queue.first_entry().filter(|e| e.key().0 <= now_us) {
            let datagram = first.remove();
            self.bytes -= datagram.len();
            if windows.is_cut(now_us) {
                self.counters.cut += 1;
                continue;
            }
            self.counters.delivered += 1;
            return Some(datagram);
        }
        None
    }

    /// Delivery time of the next datagram, if no fault is added or removed.
    #[must_use]
    pub fn next_due_us(&self, windows: &Windows) -> Option<u64> {
        let ((at_us, _), _) = self.queue.first_key_value()?;
        Some(windows.blocked_until(*at_us, |k| k == Kind::Stall).unwrap_or(*at_us))
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

    /// Sends one datagram per millisecond; returns the delivered ones with their times.
    fn run(seed: u64, n: u64, w: &Windows) -> (Vec<(u64, u64)>, Counters) {
        let (mut link, mut out) = (Datagrams::new(seed), Vec::new());
        let mut drain = |link: &mut Datagrams, to: u64| {
            while let Some(at) = link.next_due_us(w).filter(|at| *at <= to) {
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
        fn the_same_seed_gives_the_same_result_and_every_datagram_is_counted(
            seed: u64, kinds in prop::collection::vec(kind(), 0..4),
        ) {
            let w = windows(&kinds);
            let (first, c) = run(seed, 300, &w);
            prop_assert_eq!(&first, &run(seed, 300, &w).0);
            prop_assert_eq!(c.delivered, first.len() as u64);
            prop_assert_eq!(c.offered + c.duplicated, c.delivered + c.lost + c.cut + c.overflowed);
        }

        #[test]
        fn loss_has_the_given_probability(seed: u64, p in 0.05..0.95f64) {
            let n = 4_000;
            let (out, _) = run(seed, n, &windows(&[Kind::Lose { p }]));
            let lost = 1.0 - out.len() as f64 / n as f64;
            // Five standard deviations: a correct implementation fails one case in two million.
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
        fn reordered_datagrams_are_late_and_the_others_in_order(seed: u64, p in 0.1..0.9f64, ms in 2..30u64) {
            let (out, c) = run(seed, 500, &windows(&[Kind::Reorder { p, ms }]));
            let late: Vec<&(u64, u64)> = out.iter().filter(|(at, n)| *at != n * 1_000).collect();
            prop_assert_eq!(late.len() as u64, c.held_back);
            prop_assert!(late.iter().all(|(at, n)| *at == (n + ms) * 1_000));
            prop_assert!(out.windows(2).any(|w| w[0].1 > w[1].1), "some datagram was overtaken");
        }

        #[test]
        fn duplicates_are_delivered_twice(seed: u64, p in 0.1..0.9f64) {
            let (out, c) = run(seed, 2_000, &windows(&[Kind::Double { p }]));
            let share = c.duplicated as f64 / 2_000.0;
            prop_assert!((share - p).abs() < 5.0 * (p * (1.0 - p) / 2_000.0).sqrt());
            prop_assert_eq!(out.len() as u64, 2_000 + c.duplicated);
        }
    }

    #[test]
    fn a_cut_also_drops_queued_datagrams() {
        let mut w = windows(&[Kind::Delay { ms: 10, jitter_ms: 0 }]);
        assert!(w.add(Window { from_us: 5_000, until_us: 20_000, kind: Kind::Cut }));
        let (out, c) = run(1, 30, &w);
        assert!(out.iter().all(|(at, n)| *at >= 20_000 && *n >= 20), "{out:?}");
        assert_eq!((out.len(), c.cut), (10, 20));
    }

    #[test]
    fn a_stall_delays_all_datagrams_and_keeps_their_order() {
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
        (0..MAX_DATAGRAMS + 7).for_each(|_| link.offer(0, &w, vec![1]));
        assert_eq!(link.counters().overflowed, 7);
        let mut link = Datagrams::new(1);
        (0..MAX_QUEUED_BYTES / 60_000 + 3).for_each(|_| link.offer(0, &w, vec![0; 60_000]));
        assert_eq!(link.counters().overflowed, 3);
    }
}
