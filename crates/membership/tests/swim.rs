//! Membership of a few fronts, with lost, invalid and forged messages.

use pepperhook_membership::{Change, Member, Membership, Output, Rejection, Settings};
use proptest::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i as u16))
}

fn member(i: usize, run: u64) -> Member {
    Member { front: i as u64 + 1, run, renewals: 0, address: address(i), weight: 100 }
}

fn settings(i: usize, run: u64) -> Settings {
    Settings {
        me: member(i, run),
        seeds: vec![address(0), address(1)],
        probe_period_ms: 1_000,
        suspicion_timeout_ms: 3_000,
        expected_fronts: 4,
        max_message_bytes: 1_000,
        rng_seed: i as u64 + run,
    }
}

/// Fronts whose messages arrive immediately and in order, except those that are lost.
struct Cluster {
    fronts: Vec<Option<Membership>>,
    now_ms: u64,
    changes: Vec<(usize, Change)>,
    /// Pairs of sender and receiver whose messages are lost.
    lost: Vec<(usize, usize)>,
    /// The last message that each front sent.
    last_sent: Vec<Vec<u8>>,
}

impl Cluster {
    fn new(n: usize) -> Self {
        let fronts = (0..n).map(|i| Some(Membership::new(settings(i, 1_000), 1_000_000))).collect();
        let mut cluster =
            Self { fronts, now_ms: 0, changes: vec![], lost: vec![], last_sent: vec![vec![]; n] };
        cluster.run_for(4_000);
        cluster
    }

    fn transmit(&mut self, from: usize, out: Vec<Output>) {
        let mut in_flight: VecDeque<(usize, Output)> = out.into_iter().map(|o| (from, o)).collect();
        while let Some((from, output)) = in_flight.pop_front() {
            match output {
                Output::Changed(change) => self.changes.push((from, change)),
                Output::Send(to, message) => {
                    self.last_sent[from].clone_from(&message);
                    let to = usize::from(to.port() - 7_000);
                    if self.lost.contains(&(from, to)) {
                        continue;
                    }
                    if let Some(front) = &mut self.fronts[to] {
                        let mut replies = Vec::new();
                        front.receive(from as u64 + 1, &message, &mut replies).expect("valid message");
                        in_flight.extend(replies.into_iter().map(|o| (to, o)));
                    }
                }
            }
        }
    }

    fn run_for(&mut self, duration_ms: u64) {
        let end = self.now_ms + duration_ms;
        while self.now_ms < end {
            self.now_ms += 20;
            for i in 0..self.fronts.len() {
                let mut out = Vec::new();
                if let Some(front) = &mut self.fronts[i] {
                    front.tick(self.now_ms, &mut out);
                }
                self.transmit(i, out);
            }
        }
    }

    fn view(&self, i: usize) -> Vec<u64> {
        self.fronts[i].as_ref().map(|f| f.view().into_keys().collect()).unwrap_or_default()
    }

    fn all_views_complete(&self) -> bool {
        let n = self.fronts.len();
        (0..n).all(|i| self.view(i).len() == n)
    }
}

#[test]
fn fronts_join_by_seeds_leave_at_once_and_are_declared_down_after_the_suspicion_timeout() {
    let mut cluster = Cluster::new(4);
    assert!(cluster.all_views_complete());
    let mut out = Vec::new();
    cluster.fronts[3].as_mut().expect("front 3").leave(&mut out);
    cluster.transmit(3, out);
    cluster.fronts[3] = None;
    cluster.run_for(500);
    assert!(
        (0..3).all(|i| cluster.view(i) == [1, 2, 3]),
        "a front that leaves is removed from the view at once"
    );
    let killed_ms = cluster.now_ms;
    cluster.fronts[2] = None;
    while cluster.view(0).len() > 2 || cluster.view(1).len() > 2 {
        cluster.run_for(20);
        // Probed within little more than two periods, then suspected, and declared down three seconds later.
        assert!(cluster.now_ms < killed_ms + 7_000, "not declared down in time");
    }
    assert!(cluster.now_ms >= killed_ms + 3_000, "declared down before the suspicion timeout");
}

#[test]
fn a_restarted_front_replaces_its_earlier_run_at_once() {
    let mut cluster = Cluster::new(3);
    cluster.fronts[2] = Some(Membership::new(settings(2, 2_000), 1_000_000));
    cluster.run_for(2_000);
    assert!(cluster.all_views_complete());
    assert_eq!(cluster.fronts[0].as_ref().expect("front 0").view()[&3].run, 2_000);
    // Late messages of the earlier run do not bring it back.
    let mut earlier = Membership::new(settings(2, 1_000), 1_000_000);
    let mut out = Vec::new();
    earlier.tick(0, &mut out);
    earlier.tick(20, &mut out);
    for output in out {
        if let Output::Send(_, message) = output {
            let _ = cluster.fronts[0].as_mut().expect("front 0").receive(3, &message, &mut Vec::new());
        }
    }
    assert_eq!(cluster.fronts[0].as_ref().expect("front 0").view()[&3].run, 2_000);
}

#[test]
fn a_suspected_front_refutes_and_a_front_declared_down_rejoins() {
    let mut cluster = Cluster::new(4);
    // Front 3 is partitioned from the others for less than the suspicion timeout.
    let partition = |cluster: &mut Cluster| cluster.lost = (0..3).flat_map(|i| [(i, 3), (3, i)]).collect();
    partition(&mut cluster);
    cluster.run_for(1_500);
    cluster.lost.clear();
    cluster.run_for(6_000);
    assert!(cluster.all_views_complete());
    assert!(
        !cluster.changes.iter().any(|(_, c)| matches!(c, Change::Rejoined(_))),
        "the suspicion is refuted in time"
    );
    partition(&mut cluster);
    cluster.run_for(15_000);
    assert_eq!(cluster.view(0), [1, 2, 3]);
    cluster.lost.clear();
    cluster.run_for(10_000);
    assert!(cluster.all_views_complete(), "{:?}", (0..4).map(|i| cluster.view(i)).collect::<Vec<_>>());
    assert!(
        cluster.changes.iter().any(|(_, c)| matches!(c, Change::Rejoined(_))),
        "no front rejoined under a new identity"
    );
}

#[test]
fn messages_with_a_foreign_sender_or_a_run_in_the_future_are_rejected() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(1_000);
    let message = cluster.last_sent[1].clone();
    let front = cluster.fronts[0].as_mut().expect("front 0");
    assert_eq!(
        front.receive(3, &message, &mut Vec::new()),
        Err(Rejection::SenderMismatch),
        "sealed by another front"
    );
    let view = front.view();
    let mut ahead = Membership::new(settings(2, u64::MAX / 2), 1_000_000);
    let mut out = Vec::new();
    ahead.tick(0, &mut out);
    let mut rejected = 0;
    for output in out {
        if let Output::Send(_, message) = output {
            rejected +=
                u32::from(front.receive(3, &message, &mut Vec::new()) == Err(Rejection::InvalidContent));
        }
    }
    assert!(rejected > 0 && front.view() == view);
    for cut in 0..message.len() {
        let _ = front.receive(2, &message[..cut], &mut Vec::new());
    }
    assert_eq!(front.receive(2, &vec![7; 5_000], &mut Vec::new()), Err(Rejection::InvalidContent));
    assert_eq!(front.view(), view, "rejected messages changed the view");
}

/// Guards against a front with the key that forges another member's state: the member refutes it or rejoins
/// under a new identity.
#[test]
fn forged_suspicions_and_down_states_do_not_last() {
    let mut cluster = Cluster::new(4);
    for incarnation in [0, 5, u16::MAX] {
        for state in [foca::State::Suspect, foca::State::Down] {
            let forger = member(3, 1_000);
            let victim = cluster.fronts[2].as_ref().expect("front 2").me();
            let update = foca::Member::new(victim, incarnation, state);
            let mut message = Vec::new();
            let header = foca::Header {
                src: forger,
                src_incarnation: 0,
                dst: cluster.fronts[0].as_ref().expect("front 0").me(),
                message: foca::Message::Gossip,
            };
            let mut codec = foca::PostcardCodec;
            foca::Codec::encode_header(&mut codec, &header, &mut message).expect("encoded message");
            message.extend_from_slice(&1u16.to_be_bytes());
            foca::Codec::encode_member(&mut codec, &update, &mut message).expect("encoded message");
            let mut out = Vec::new();
            cluster.fronts[0]
                .as_mut()
                .expect("front 0")
                .receive(4, &message, &mut out)
                .expect("valid message");
            cluster.transmit(0, out);
            cluster.run_for(8_000);
            assert!(cluster.all_views_complete(), "{state:?} at {incarnation}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Arbitrary bytes cause no panic, and the views are complete afterwards.
    #[test]
    fn arbitrary_content_does_no_harm(messages in prop::collection::vec((0u64..5, prop::collection::vec(any::<u8>(), 0..200)), 0..40), flips in prop::collection::vec((0usize..200, any::<u8>()), 0..8)) {
        let mut cluster = Cluster::new(3);
        let mut changed = cluster.last_sent[1].clone();
        for (at, byte) in flips {
            if let Some(b) = changed.get_mut(at) {
                *b ^= byte;
            }
        }
        for (sender, bytes) in messages.into_iter().chain([(2, changed)]) {
            let mut out = Vec::new();
            let _ = cluster.fronts[0].as_mut().expect("front 0").receive(sender, &bytes, &mut out);
            // Its replies are dropped, because the senders do not exist.
        }
        cluster.run_for(12_000);
        prop_assert!((0..3).all(|i| [1, 2, 3].iter().all(|m| cluster.view(i).contains(m))), "{:?}", cluster.view(0));
    }
}
