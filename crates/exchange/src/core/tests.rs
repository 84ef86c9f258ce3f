//! Many fronts over a network in memory that loses, repeats and reorders.

use super::*;
use crate::records::MAX_BODY_BYTES;
use std::collections::VecDeque;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 9))
}

struct Net {
    fronts: Vec<Exchange>,
    wire: VecDeque<(usize, SocketAddr, Vec<u8>)>,
    now_ms: u64,
    loss: f64,
    cut: Vec<usize>,
    rng: StdRng,
}

impl Net {
    fn new(n: usize, loss: f64) -> Self {
        let front = |i: usize| {
            let peers = (0..n).filter(|j| *j != i).map(address).collect();
            let keys = Keys::new("k", None);
            let settings = Settings {
                me: i as u64 + 1,
                run: 1,
                keys,
                peers,
                period_ms: 1_000,
                fanout: 2,
                seed: i as u64,
            };
            Exchange::new(settings, Vec::new(), 0)
        };
        let rng = StdRng::seed_from_u64(5);
        Self {
            fronts: (0..n).map(front).collect(),
            wire: VecDeque::new(),
            now_ms: 10_000,
            loss,
            cut: vec![],
            rng,
        }
    }

    fn take(&mut self, from: usize, out: Vec<Output>) {
        for o in out {
            let Output::Send(to, datagram) = o else { continue };
            let Some(i) = (0..self.fronts.len()).find(|i| address(*i) == to) else { continue };
            let lost = self.rng.random_bool(self.loss) || self.cut.contains(&from) != self.cut.contains(&i);
            if !lost {
                // Now and then twice, now and then ahead of others.
                if self.rng.random_bool(0.05) {
                    self.wire.push_front((i, address(from), datagram.clone()));
                }
                self.wire.push_back((i, address(from), datagram));
            }
        }
    }

    fn put(&mut self, i: usize, number: u64, body: &[u8]) {
        let mut out = Vec::new();
        let id = Id { space: 1, number };
        assert_eq!(
            self.fronts[i].put(self.now_ms, id, self.now_ms + 600_000, body.to_vec(), &mut out),
            MergeResult::Applied
        );
        self.take(i, out);
    }

    /// Rounds until all hold the same, or so many milliseconds; returns how long it took.
    fn settle(&mut self, most_ms: u64) -> Option<u64> {
        let begin = self.now_ms;
        while self.now_ms < begin + most_ms {
            self.now_ms += 20;
            for i in 0..self.fronts.len() {
                let mut out = Vec::new();
                self.fronts[i].tick(self.now_ms, &mut out);
                self.take(i, out);
            }
            while let Some((i, from, datagram)) = self.wire.pop_front() {
                let mut out = Vec::new();
                let _ = self.fronts[i].receive(self.now_ms, from, &datagram, &mut out);
                self.take(i, out);
            }
            let first = self.fronts[0].records();
            if self.fronts.iter().all(|f| f.records() == first) {
                return Some(self.now_ms - begin);
            }
        }
        None
    }
}

#[test]
fn what_one_puts_all_hold_at_any_loss() {
    for (loss, most_ms) in [(0.0, 6_000), (0.2, 10_000), (0.5, 20_000)] {
        let mut net = Net::new(20, loss);
        net.put(3, 1, b"a");
        net.put(7, 2, b"b");
        let took = net.settle(most_ms);
        assert!(took.is_some(), "loss {loss}");
        assert_eq!(net.fronts[0].records().len(), 2);
        // Two that did not know of each other's change: one of them wins everywhere.
        net.put(1, 1, b"c");
        net.put(2, 1, b"d");
        assert!(net.settle(most_ms).is_some(), "loss {loss}");
    }
}

#[test]
fn a_front_that_was_cut_off_hears_of_everything_afterwards() {
    let mut net = Net::new(8, 0.0);
    net.cut = vec![5];
    net.put(0, 1, b"announced");
    net.put(5, 2, b"on the other side");
    assert!(net.settle(3_000).is_none());
    assert_eq!(net.fronts[5].records().len(), 1);
    net.cut.clear();
    assert!(net.settle(8_000).is_some());
    assert_eq!(net.fronts[5].records().len(), 2);
}

#[test]
fn more_records_than_a_digest_holds_spread_all_the_same() {
    let mut net = Net::new(4, 0.1);
    for n in 0..150 {
        net.put((n % 4) as usize, n, &[7; MAX_BODY_BYTES]);
    }
    assert!(net.settle(60_000).is_some());
    assert_eq!(net.fronts[2].records().len(), 150);
}

#[test]
fn a_flood_and_strangers_are_bounded() {
    let mut net = Net::new(2, 0.0);
    (0..50).for_each(|n| net.put(0, n, &[1; 500]));
    let mut sent = 0;
    for _ in 0..2_000 {
        let content =
            postcard::to_stdvec(&Message::Pull((0..50).map(|number| Id { space: 1, number }).collect()));
        let datagram = net.fronts[1].seal.seal(&content.expect("a message"));
        let mut out = Vec::new();
        let _ = net.fronts[0].receive(net.now_ms, address(1), &datagram, &mut out);
        sent += out.len();
    }
    assert!(sent as f64 <= BURST, "{sent} answers at once");
    assert!(net.fronts[0].counters().rejected["rate"] > 1_800);
    // One who knows the key but is no peer gets no answer, wherever it says that it is.
    let content = postcard::to_stdvec(&Message::Pull(vec![Id { space: 1, number: 1 }])).expect("a message");
    let datagram = Seal::new(Keys::new("k", None), 99, 1).seal(&content);
    let mut out = Vec::new();
    assert!(
        net.fronts[0]
            .receive(net.now_ms, "127.9.9.9:9".parse().expect("an address"), &datagram, &mut out)
            .is_ok()
    );
    assert!(out.is_empty());
}

#[test]
fn bytes_that_are_no_message_are_counted_and_forgotten() {
    let mut net = Net::new(2, 0.0);
    let mut out = Vec::new();
    let junk = Seal::new(Keys::new("k", None), 2, 9).seal(&[0xff; 40]);
    assert_eq!(net.fronts[0].receive(0, address(1), &junk, &mut out), Err(Reject::Undecodable));
    assert_eq!(net.fronts[0].receive(0, address(1), b"x", &mut out), Err(Reject::Malformed));
    assert!(out.is_empty());
}

proptest::proptest! {
    #[test]
    fn no_content_makes_it_panic(content: Vec<u8>) {
        let mut net = Net::new(2, 0.0);
        let datagram = Seal::new(Keys::new("k", None), 2, 9).seal(&content);
        let _ = net.fronts[0].receive(0, address(1), &datagram, &mut Vec::new());
    }
}
