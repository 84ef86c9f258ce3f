//! Many fronts over an in-memory network that loses, duplicates and reorders datagrams.

use super::*;
use crate::records::MAX_BODY_BYTES;
use std::collections::VecDeque;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 9))
}

struct Network {
    fronts: Vec<Exchange>,
    /// Datagrams under way: receiving front, source address, bytes.
    in_flight: VecDeque<(usize, SocketAddr, Vec<u8>)>,
    now_ms: u64,
    /// Probability that a datagram is lost.
    loss: f64,
    /// Fronts that can reach only each other.
    partitioned: Vec<usize>,
    rng: StdRng,
}

impl Network {
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
            in_flight: VecDeque::new(),
            now_ms: 10_000,
            loss,
            partitioned: vec![],
            rng,
        }
    }

    fn transmit(&mut self, from: usize, out: Vec<Output>) {
        for output in out {
            let Output::Send(to, datagram) = output else { continue };
            let Some(i) = (0..self.fronts.len()).find(|i| address(*i) == to) else { continue };
            let lost = self.rng.random_bool(self.loss)
                || self.partitioned.contains(&from) != self.partitioned.contains(&i);
            if !lost {
                // One datagram in twenty is duplicated, and the duplicate overtakes the others.
                if self.rng.random_bool(0.05) {
                    self.in_flight.push_front((i, address(from), datagram.clone()));
                }
                self.in_flight.push_back((i, address(from), datagram));
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
        self.transmit(i, out);
    }

    /// Runs until all fronts hold the same records; returns how long it took, milliseconds, or `None` after
    /// `timeout_ms`.
    fn converge(&mut self, timeout_ms: u64) -> Option<u64> {
        let begin = self.now_ms;
        while self.now_ms < begin + timeout_ms {
            self.now_ms += 20;
            for i in 0..self.fronts.len() {
                let mut out = Vec::new();
                self.fronts[i].tick(self.now_ms, &mut out);
                self.transmit(i, out);
            }
            while let Some((i, from, datagram)) = self.in_flight.pop_front() {
                let mut out = Vec::new();
                let _ = self.fronts[i].receive(self.now_ms, from, &datagram, &mut out);
                self.transmit(i, out);
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
fn records_reach_all_fronts_at_any_loss() {
    for (loss, timeout_ms) in [(0.0, 6_000), (0.2, 10_000), (0.5, 20_000)] {
        let mut network = Network::new(20, loss);
        network.put(3, 1, b"a");
        network.put(7, 2, b"b");
        let took = network.converge(timeout_ms);
        assert!(took.is_some(), "loss {loss}");
        assert_eq!(network.fronts[0].records().len(), 2);
        // Of two concurrent versions, the same one wins at every front.
        network.put(1, 1, b"c");
        network.put(2, 1, b"d");
        assert!(network.converge(timeout_ms).is_some(), "loss {loss}");
    }
}

#[test]
fn a_partitioned_front_catches_up_after_the_partition() {
    let mut network = Network::new(8, 0.0);
    network.partitioned = vec![5];
    network.put(0, 1, b"announced");
    network.put(5, 2, b"on the other side");
    assert!(network.converge(3_000).is_none());
    assert_eq!(network.fronts[5].records().len(), 1);
    network.partitioned.clear();
    assert!(network.converge(8_000).is_some());
    assert_eq!(network.fronts[5].records().len(), 2);
}

#[test]
fn more_records_than_fit_into_a_digest_reach_all_fronts() {
    let mut network = Network::new(4, 0.1);
    for n in 0..150 {
        network.put((n % 4) as usize, n, &[7; MAX_BODY_BYTES]);
    }
    assert!(network.converge(60_000).is_some());
    assert_eq!(network.fronts[2].records().len(), 150);
}

#[test]
fn floods_are_limited_and_unknown_addresses_get_no_reply() {
    let mut network = Network::new(2, 0.0);
    (0..50).for_each(|n| network.put(0, n, &[1; 500]));
    let mut sent = 0;
    for _ in 0..2_000 {
        let content =
            postcard::to_stdvec(&Message::Pull((0..50).map(|number| Id { space: 1, number }).collect()));
        let datagram = network.fronts[1].seal.seal(&content.expect("encoded message"));
        let mut out = Vec::new();
        let _ = network.fronts[0].receive(network.now_ms, address(1), &datagram, &mut out);
        sent += out.len();
    }
    assert!(sent as f64 <= REPLY_BURST, "{sent} replies at once, at most {REPLY_BURST} are allowed");
    assert!(network.fronts[0].counters().rejected["rate"] > 1_800);
    // A sender that has the key, but whose address is not that of a peer, gets no reply.
    let content =
        postcard::to_stdvec(&Message::Pull(vec![Id { space: 1, number: 1 }])).expect("encoded message");
    let datagram = Seal::new(Keys::new("k", None), 99, 1).seal(&content);
    let mut out = Vec::new();
    assert!(
        network.fronts[0]
            .receive(network.now_ms, "127.9.9.9:9".parse().expect("valid address"), &datagram, &mut out)
            .is_ok()
    );
    assert!(out.is_empty());
}

#[test]
fn invalid_messages_are_rejected_without_reply() {
    let mut network = Network::new(2, 0.0);
    let mut out = Vec::new();
    let invalid = Seal::new(Keys::new("k", None), 2, 9).seal(&[0xff; 40]);
    assert_eq!(network.fronts[0].receive(0, address(1), &invalid, &mut out), Err(Reject::Undecodable));
    assert_eq!(network.fronts[0].receive(0, address(1), b"x", &mut out), Err(Reject::Malformed));
    assert!(out.is_empty());
}

proptest::proptest! {
    #[test]
    fn arbitrary_content_does_not_panic(content: Vec<u8>) {
        let mut network = Network::new(2, 0.0);
        let datagram = Seal::new(Keys::new("k", None), 2, 9).seal(&content);
        let _ = network.fronts[0].receive(0, address(1), &datagram, &mut Vec::new());
    }
}
