//! Applies faults to the bytes of one direction of a connection: when they are delivered, and how many at
//! once. No byte is lost, duplicated or reordered, since TCP hides that from its users. No I/O.

use crate::link::Windows;
use crate::schedule::Kind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Maximum number of buffered bytes of one direction of a connection; more wait at the sender.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Maximum number of buffered chunks.
const MAX_CHUNKS: usize = 1_024;

/// Next action of the relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write these bytes.
    Write(Vec<u8>),
    /// All bytes are written and the sender has ended: shut down the sending side.
    End,
    /// Nothing to do until this time, unless more bytes arrive or the faults change.
    Wait(Option<u64>),
}

/// Bytes of one direction of a connection.
pub struct Stream {
    rng: StdRng,
    /// Delivery time and bytes.
    chunks: VecDeque<(u64, Vec<u8>)>,
    bytes: usize,
    ended: bool,
    /// Delivery time of the last chunk: a later byte is not delivered before an earlier one.
    last_delivery_us: u64,
    /// Time of the next byte during a drip.
    next_drip_us: u64,
}

impl Stream {
    /// A connection without bytes.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { rng, chunks: VecDeque::new(), bytes: 0, ended: false, last_delivery_us: 0, next_drip_us: 0 }
    }

    /// Number of bytes that the buffer can take now.
    #[must_use]
    pub fn room(&self) -> usize {
        let accepts = !self.ended && self.chunks.len() < MAX_CHUNKS;
        if accepts { MAX_BUFFERED_BYTES.saturating_sub(self.bytes) } else { 0 }
    }

    /// Adds received bytes, at most [`Stream::room`].
    pub fn receive(&mut self, now_us: u64, windows: &Windows, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut delay_us = 0u64;
        for kind in windows.active(now_us) {
            if let Kind::Delay { ms, jitter_ms } = kind {
                let jitter = self.rng.random_range(0..=jitter_ms.saturating_mul(1_000));
                delay_us = delay_us.saturating_add(ms.saturating_mul(1_000)).saturating_add(jitter);
            }
        }
        self.last_delivery_us = now_us.saturating_add(delay_us).max(self.last_delivery_us);
        self.bytes += bytes.len();
        self.chunks.push_back((self.last_delivery_us, bytes.to_vec()));
    }

    /// The sender has shut down its side; the end is delivered after its last byte.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// The next action at a time.
    pub fn step(&mut self, now_us: u64, windows: &Windows) -> Step {
        if let Some(until) = windows.blocked_until(now_us, |k| matches!(k, Kind::Cut | Kind::Stall)) {
            return Step::Wait(Some(until));
        }
        let Some((at_us, chunk)) = self.chunks.front_mut() else {
            return if self.ended { Step::End } else { Step::Wait(None) };
        };
        // A fault that starts or ends before then may change the action.
        let wait_until = |at: u64| Step::Wait(Some(windows.next_change(now_us).map_or(at, |c| c.min(at))));
        if *at_us > now_us {
            return wait_until(*at_us);
        }
        let drip = windows.active(now_us).find_map(|k| match k {
            Kind::Drip { every_ms } => Some(every_ms.max(1).saturating_mul(1_000)),
            _ => None,
        });
        let bytes = match drip {
            Some(_) if self.next_drip_us > now_us => return wait_until(self.next_drip_us),
            Some(every_us) => {
                self.next_drip_us = now_us.saturating_add(every_us);
                let rest = chunk.split_off(1);
                std::mem::replace(chunk, rest)
            }
            _ => std::mem::take(chunk),
        };
        if chunk.is_empty() {
            self.chunks.pop_front();
        }
        self.bytes -= bytes.len();
        Step::Write(bytes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::link::Window;
    use proptest::prelude::*;

    /// Sends chunks at their times; returns the delivered ones with their times, up to the end.
    fn run(seed: u64, chunks: &[(u64, Vec<u8>)], w: &Windows) -> Vec<(u64, Vec<u8>)> {
        let (mut s, mut out, mut now) = (Stream::new(seed), Vec::new(), 0);
        let mut remaining = chunks.iter().peekable();
        loop {
            while let Some((_, chunk)) = remaining.next_if(|(at, p)| *at <= now && p.len() <= s.room()) {
                s.receive(now, w, chunk);
            }
            if remaining.peek().is_none() {
                s.end();
            }
            match s.step(now, w) {
                Step::Write(bytes) => out.push((now, bytes)),
                Step::End => return out,
                Step::Wait(until) => {
                    let next = remaining.peek().map(|(at, _)| *at).filter(|at| *at > now);
                    now = until.into_iter().chain(next).min().expect("a time to wait for");
                }
            }
        }
    }

    fn kind() -> impl Strategy<Value = Kind> {
        prop_oneof![
            Just(Kind::Cut),
            Just(Kind::Stall),
            (0..40u64, 0..40u64).prop_map(|(ms, jitter_ms)| Kind::Delay { ms, jitter_ms }),
            (1..5u64).prop_map(|every_ms| Kind::Drip { every_ms }),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

        #[test]
        fn every_byte_is_delivered_once_in_order_and_none_during_a_cut(
            seed: u64,
            faults in prop::collection::vec((0..300u64, 1..200u64, kind()), 0..5),
            mut chunks in prop::collection::vec((0..400_000u64, prop::collection::vec(any::<u8>(), 1..60)), 1..20),
        ) {
            let mut w = Windows::default();
            for (from, ms, kind) in &faults {
                let from_us = from * 1_000;
                let window = Window { from_us, until_us: from_us + ms * 1_000, kind: *kind };
                prop_assert!(w.add(window));
            }
            chunks.sort_by_key(|p| p.0);
            let out = run(seed, &chunks, &w);
            prop_assert_eq!(&out, &run(seed, &chunks, &w));
            let received: Vec<u8> = out.iter().flat_map(|o| o.1.clone()).collect();
            let sent: Vec<u8> = chunks.iter().flat_map(|p| p.1.clone()).collect();
            prop_assert_eq!(received, sent);
            for (at, bytes) in &out {
                prop_assert!(w.blocked_until(*at, |k| matches!(k, Kind::Cut | Kind::Stall)).is_none());
                let drips = w.active(*at).any(|k| matches!(k, Kind::Drip { .. }));
                prop_assert!(!drips || bytes.len() == 1);
            }
        }
    }

    #[test]
    fn a_drip_delivers_single_bytes_and_a_delay_applies() {
        let mut w = Windows::default();
        assert!(w.add(Window { from_us: 0, until_us: 3_000, kind: Kind::Drip { every_ms: 1 } }));
        let out = run(1, &[(0, b"abcdef".to_vec())], &w);
        let chunk = |t: u64, s: &[u8]| (t, s.to_vec());
        assert_eq!(out, [chunk(0, b"a"), chunk(1_000, b"b"), chunk(2_000, b"c"), chunk(3_000, b"def")]);
        let mut w = Windows::default();
        let kind = Kind::Delay { ms: 5, jitter_ms: 0 };
        assert!(w.add(Window { from_us: 0, until_us: 2_000, kind }));
        let out = run(1, &[(0, b"a".to_vec()), (2_500, b"b".to_vec())], &w);
        assert_eq!(out, [chunk(5_000, b"a"), chunk(5_000, b"b")]);
    }

    #[test]
    fn the_buffer_is_bounded() {
        let (mut s, w) = (Stream::new(1), Windows::default());
        s.receive(0, &w, &[0; MAX_BUFFERED_BYTES]);
        assert_eq!(s.room(), 0);
        assert_eq!(s.step(0, &w), Step::Write(vec![0; MAX_BUFFERED_BYTES]));
        assert_eq!(s.room(), MAX_BUFFERED_BYTES);
        s.end();
        assert_eq!((s.room(), s.step(0, &w)), (0, Step::End));
    }
}
