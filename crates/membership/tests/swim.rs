//! Membership among a few fronts, and what strangers, liars and lost messages do to it.

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

/// Fronts whose messages arrive at once, in order, unless they are kept back.
struct Few {
    fronts: Vec<Option<Membership>>,
    now_ms: u64,
    changes: Vec<(usize, Change)>,
    /// Messages from the first to the second are lost.
    lost: Vec<(usize, usize)>,
    /// The last message that each sent.
    last: Vec<Vec<u8>>,
}

impl Few {
    fn new(n: usize) -> Self {
        let fronts = (0..n).map(|i| Some(Membership::new(settings(i, 1_000), 1_000_000))).collect();
        let mut few = Self { fronts, now_ms: 0, changes: vec![], lost: vec![], last: vec![vec![]; n] };
        few.pass(4_000);
        few
    }

    fn carry(&mut self, from: usize, out: Vec<Output>) {
        let mut wire: VecDeque<(usize, Output)> = out.into_iter().map(|o| (from, o)).collect();
        while let Some((from, o)) = wire.pop_front() {
            match o {
                Output::Changed(change) => self.changes.push((from, change)),
                Output::Send(to, message) => {
                    self.last[from].clone_from(&message);
                    let to = usize::from(to.port() - 7_000);
                    if self.lost.contains(&(from, to)) {
                        continue;
                    }
                    if let Some(front) = &mut self.fronts[to] {
                        let mut more = Vec::new();
                        front.receive(from as u64 + 1, &message, &mut more).expect("an honest message");
                        wire.extend(more.into_iter().map(|o| (to, o)));
                    }
                }
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 20;
            for i in 0..self.fronts.len() {
                let mut out = Vec::new();
                if let Some(front) = &mut self.fronts[i] {
                    front.tick(self.now_ms, &mut out);
                }
                self.carry(i, out);
            }
        }
    }

    fn view(&self, i: usize) -> Vec<u64> {
        self.fronts[i].as_ref().map(|f| f.view().into_keys().collect()).unwrap_or_default()
    }

    fn all_know_all(&self) -> bool {
        let n = self.fronts.len();
        (0..n).all(|i| self.view(i).len() == n)
    }
}

#[test]
fn fronts_meet_by_seeds_leave_in_order_and_are_given_up_after_the_suspicion() {
    let mut few = Few::new(4);
    assert!(few.all_know_all());
    let mut out = Vec::new();
    few.fronts[3].as_mut().expect("front 3").leave(&mut out);
    few.carry(3, out);
    few.fronts[3] = None;
    few.pass(500);
    assert!((0..3).all(|i| few.view(i) == [1, 2, 3]), "who leaves is gone at once");
    let killed_ms = few.now_ms;
    few.fronts[2] = None;
    while few.view(0).len() > 2 || few.view(1).len() > 2 {
        few.pass(20);
        // Looked at within two periods and a bit, suspected, given up three seconds later.
        assert!(few.now_ms < killed_ms + 7_000, "never given up");
    }
    assert!(few.now_ms >= killed_ms + 3_000, "nobody is given up before the suspicion's time");
}

#[test]
fn a_restarted_front_is_known_by_its_later_run_at_once() {
    let mut few = Few::new(3);
    few.fronts[2] = Some(Membership::new(settings(2, 2_000), 1_000_000));
    few.pass(2_000);
    assert!(few.all_know_all());
    assert_eq!(few.fronts[0].as_ref().expect("front 0").view()[&3].run, 2_000);
    // What its earlier run said late does not bring that back.
    let mut old = Membership::new(settings(2, 1_000), 1_000_000);
    let mut out = Vec::new();
    old.tick(0, &mut out);
    old.tick(20, &mut out);
    for o in out {
        if let Output::Send(_, message) = o {
            let _ = few.fronts[0].as_mut().expect("front 0").receive(3, &message, &mut Vec::new());
        }
    }
    assert_eq!(few.fronts[0].as_ref().expect("front 0").view()[&3].run, 2_000);
}

#[test]
fn who_is_suspected_refutes_it_and_who_was_given_up_comes_back() {
    let mut few = Few::new(4);
    // Front 3 hears nobody and nobody hears it, for less than the suspicion.
    let cut = |few: &mut Few| few.lost = (0..3).flat_map(|i| [(i, 3), (3, i)]).collect();
    cut(&mut few);
    few.pass(1_500);
    few.lost.clear();
    few.pass(6_000);
    assert!(few.all_know_all());
    assert!(!few.changes.iter().any(|(_, c)| matches!(c, Change::Rejoined(_))), "refuted in time");
    cut(&mut few);
    few.pass(15_000);
    assert_eq!(few.view(0), [1, 2, 3]);
    few.lost.clear();
    few.pass(10_000);
    assert!(few.all_know_all(), "{:?}", (0..4).map(|i| few.view(i)).collect::<Vec<_>>());
    assert!(few.changes.iter().any(|(_, c)| matches!(c, Change::Rejoined(_))), "under a new identity");
}

#[test]
fn a_message_speaks_for_its_sealer_alone_and_no_run_of_the_future_is_believed() {
    let mut few = Few::new(3);
    few.pass(1_000);
    let message = few.last[1].clone();
    let front = few.fronts[0].as_mut().expect("front 0");
    assert_eq!(
        front.receive(3, &message, &mut Vec::new()),
        Err(Rejection::SenderMismatch),
        "sealed by another"
    );
    let view = front.view();
    let mut ahead = Membership::new(settings(2, u64::MAX / 2), 1_000_000);
    let mut out = Vec::new();
    ahead.tick(0, &mut out);
    let mut refused = 0;
    for o in out {
        if let Output::Send(_, message) = o {
            refused +=
                u32::from(front.receive(3, &message, &mut Vec::new()) == Err(Rejection::InvalidContent));
        }
    }
    assert!(refused > 0 && front.view() == view);
    for cut in 0..message.len() {
        let _ = front.receive(2, &message[..cut], &mut Vec::new());
    }
    assert_eq!(front.receive(2, &vec![7; 5_000], &mut Vec::new()), Err(Rejection::InvalidContent));
    assert_eq!(front.view(), view, "nothing of it changed the view");
}

/// A key holder who lies about another's incarnation: the member refutes it, or comes back under a new identity.
#[test]
fn forged_suspicions_and_deaths_do_not_last() {
    let mut few = Few::new(4);
    for incarnation in [0, 5, u16::MAX] {
        for state in [foca::State::Suspect, foca::State::Down] {
            let rogue = member(3, 1_000);
            let victim = few.fronts[2].as_ref().expect("front 2").me();
            let update = foca::Member::new(victim, incarnation, state);
            let mut message = Vec::new();
            let header = foca::Header {
                src: rogue,
                src_incarnation: 0,
                dst: few.fronts[0].as_ref().expect("front 0").me(),
                message: foca::Message::Gossip,
            };
            let mut codec = foca::PostcardCodec;
            foca::Codec::encode_header(&mut codec, &header, &mut message).expect("encoded");
            message.extend_from_slice(&1u16.to_be_bytes());
            foca::Codec::encode_member(&mut codec, &update, &mut message).expect("encoded");
            let mut out = Vec::new();
            few.fronts[0].as_mut().expect("front 0").receive(4, &message, &mut out).expect("well formed");
            few.carry(0, out);
            few.pass(8_000);
            assert!(few.all_know_all(), "{state:?} at {incarnation}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Whatever bytes come, nothing panics and the fronts still know each other afterwards.
    #[test]
    fn no_content_harms(messages in prop::collection::vec((0u64..5, prop::collection::vec(any::<u8>(), 0..200)), 0..40), flips in prop::collection::vec((0usize..200, any::<u8>()), 0..8)) {
        let mut few = Few::new(3);
        let mut changed = few.last[1].clone();
        for (at, byte) in flips {
            if let Some(b) = changed.get_mut(at) {
                *b ^= byte;
            }
        }
        for (sender, bytes) in messages.into_iter().chain([(2, changed)]) {
            let mut out = Vec::new();
            let _ = few.fronts[0].as_mut().expect("front 0").receive(sender, &bytes, &mut out);
            // What it answers to nonsense goes nowhere: the senders were made up.
        }
        few.pass(12_000);
        prop_assert!((0..3).all(|i| [1, 2, 3].iter().all(|m| few.view(i).contains(m))), "{:?}", few.view(0));
    }
}
