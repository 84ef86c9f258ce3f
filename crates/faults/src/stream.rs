//! What one way of a connection does with its bytes: when they come out, and how many at once. No byte is lost, doubled or
//! put in another order, since TCP would not let that be seen. No I/O.

use crate::link::Windows;
use crate::schedule::Kind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Bytes under way on one way of a connection at most; the rest waits with its sender.
pub const MOST_BYTES: usize = 64 << 10;
/// Pieces under way at most.
const MOST_PIECES: usize = 1_024;

/// What is to be done now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write these bytes.
    Write(Vec<u8>),
    /// All has been written and the sender has ended: shut the sending side.
    End,
    /// Nothing before this moment, if no more bytes come and no fault is added.
    Wait(Option<u64>),
}

/// One way of a connection.
pub struct Stream {
    rng: StdRng,
    pieces: VecDeque<(u64, Vec<u8>)>,
    bytes: usize,
    ended: bool,
    /// A later byte does not come out before an earlier one.
    last_us: u64,
    /// The next byte of a drip.
    drip_us: u64,
}

impl Stream {
    /// A connection of which nothing was sent.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { rng, pieces: VecDeque::new(), bytes: 0, ended: false, last_us: 0, drip_us: 0 }
    }

    /// Bytes that may be taken in now.
    #[must_use]
    pub fn room(&self) -> usize {
        let open = !self.ended && self.pieces.len() < MOST_PIECES;
        if open { MOST_BYTES.saturating_sub(self.bytes) } else { 0 }
    }

    /// Bytes come in, [`Stream::room`] at most.
    pub fn take(&mut self, now_us: u64, windows: &Windows, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut after_us = 0u64;
        for kind in windows.at(now_us) {
            if let Kind::Delay { ms, jitter_ms } = kind {
                let jitter = self.rng.random_range(0..=jitter_ms.saturating_mul(1_000));
                after_us = after_us.saturating_add(ms.saturating_mul(1_000)).saturating_add(jitter);
            }
        }
        self.last_us = now_us.saturating_add(after_us).max(self.last_us);
        self.bytes += bytes.len();
        self.pieces.push_back((self.last_us, bytes.to_vec()));
    }

    /// The sender shut its side; that comes out after its last byte.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// What is to be done at a moment.
    pub fn step(&mut self, now_us: u64, windows: &Windows) -> Step {
        if let Some(until) = windows.held_until(now_us, |k| matches!(k, Kind::Cut | Kind::Stall)) {
            return Step::Wait(Some(until));
        }
        let Some((at_us, piece)) = self.pieces.front_mut() else {
            return if self.ended { Step::End } else { Step::Wait(None) };
        };
        // A fault that begins meanwhile changes what is to be done.
        let until = |at: u64| Step::Wait(Some(windows.next_change(now_us).map_or(at, |c| c.min(at))));
        if *at_us > now_us {
            return until(*at_us);
        }
        let drip = windows.at(now_us).find_map(|k| match k {
            Kind::Drip { every_ms } => Some(every_ms.max(1).saturating_mul(1_000)),
            _ => None,
        });
        let bytes = match drip {
            Some(_) if self.drip_us > now_us => return until(self.drip_us),
            Some(every_us) => {
                self.drip_us = now_us.saturating_add(every_us);
                let rest = piece.split_off(1);
                std::mem::replace(piece, rest)
            }
            _ => std::mem::take(piece),
        };
        if piece.is_empty() {
            self.pieces.pop_front();
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

    /// Pieces at their times; what comes out with its time, to the end.
    fn run(seed: u64, pieces: &[(u64, Vec<u8>)], w: &Windows) -> Vec<(u64, Vec<u8>)> {
        let (mut s, mut out, mut now) = (Stream::new(seed), Vec::new(), 0);
        let mut coming = pieces.iter().peekable();
        loop {
            while let Some((_, piece)) = coming.next_if(|(at, p)| *at <= now && p.len() <= s.room()) {
                s.take(now, w, piece);
            }
            if coming.peek().is_none() {
                s.end();
            }
            match s.step(now, w) {
                Step::Write(bytes) => out.push((now, bytes)),
                Step::End => return out,
                Step::Wait(until) => {
                    let next = coming.peek().map(|(at, _)| *at).filter(|at| *at > now);
                    now = until.into_iter().chain(next).min().expect("something to wait for");
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
        fn every_byte_comes_out_once_in_order_and_none_out_of_a_cut(
            seed: u64,
            faults in prop::collection::vec((0..300u64, 1..200u64, kind()), 0..5),
            mut pieces in prop::collection::vec((0..400_000u64, prop::collection::vec(any::<u8>(), 1..60)), 1..20),
        ) {
            let mut w = Windows::default();
            for (from, ms, kind) in &faults {
                let from_us = from * 1_000;
                let window = Window { from_us, until_us: from_us + ms * 1_000, kind: *kind };
                prop_assert!(w.add(window));
            }
            pieces.sort_by_key(|p| p.0);
            let out = run(seed, &pieces, &w);
            prop_assert_eq!(&out, &run(seed, &pieces, &w));
            let came: Vec<u8> = out.iter().flat_map(|o| o.1.clone()).collect();
            let sent: Vec<u8> = pieces.iter().flat_map(|p| p.1.clone()).collect();
            prop_assert_eq!(came, sent);
            for (at, bytes) in &out {
                prop_assert!(w.held_until(*at, |k| matches!(k, Kind::Cut | Kind::Stall)).is_none());
                let drips = w.at(*at).any(|k| matches!(k, Kind::Drip { .. }));
                prop_assert!(!drips || bytes.len() == 1);
            }
        }
    }

    #[test]
    fn a_drip_is_a_byte_at_a_time_and_a_delay_is_kept() {
        let mut w = Windows::default();
        assert!(w.add(Window { from_us: 0, until_us: 3_000, kind: Kind::Drip { every_ms: 1 } }));
        let out = run(1, &[(0, b"abcdef".to_vec())], &w);
        let word = |t: u64, s: &[u8]| (t, s.to_vec());
        assert_eq!(out, [word(0, b"a"), word(1_000, b"b"), word(2_000, b"c"), word(3_000, b"def")]);
        let mut w = Windows::default();
        let kind = Kind::Delay { ms: 5, jitter_ms: 0 };
        assert!(w.add(Window { from_us: 0, until_us: 2_000, kind }));
        let out = run(1, &[(0, b"a".to_vec()), (2_500, b"b".to_vec())], &w);
        assert_eq!(out, [word(5_000, b"a"), word(5_000, b"b")]);
    }

    #[test]
    fn what_is_under_way_is_bounded() {
        let (mut s, w) = (Stream::new(1), Windows::default());
        s.take(0, &w, &[0; MOST_BYTES]);
        assert_eq!(s.room(), 0);
        assert_eq!(s.step(0, &w), Step::Write(vec![0; MOST_BYTES]));
        assert_eq!(s.room(), MOST_BYTES);
        s.end();
        assert_eq!((s.room(), s.step(0, &w)), (0, Step::End));
    }
}
