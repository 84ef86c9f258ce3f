//! Bytes of any kind into a front: nothing panics, memory and answers stay bounded.
//!
//! Fronts do not lie to each other (the exchange seals what they say), so a forged message may well change what a front
//! thinks; it must not bring it down.

mod sim;

use pepperhook_agreement::store::{StoredLog, StoredState};
use pepperhook_agreement::wire::{MAX_MESSAGE_BYTES, decode, encode};
use pepperhook_agreement::{Node, Output, Registers, Settings};
use proptest::prelude::*;
use sim::World;
use std::sync::OnceLock;

/// What fronts say in a while with all of it: the beginning, long and short entries, losses, catch-up, other voters.
fn heard() -> &'static [Vec<u8>] {
    static HEARD: OnceLock<Vec<Vec<u8>>> = OnceLock::new();
    HEARD.get_or_init(|| {
        let mut world = World::new(6, 3, 9, 0.1);
        world.listen = true;
        world.pass(3_000);
        for n in 0..6 {
            world.put(4 + n % 3, n, if n == 3 { 16_000 } else { 300 });
            world.pass(400);
        }
        world.kill(6);
        world.change_voters(4, 2, 5);
        world.pass(3_000);
        world.restart(6);
        world.wipe(3);
        world.kill(3);
        world.restart(3);
        world.pass(4_000);
        let mut heard = std::mem::take(&mut world.heard);
        heard.sort();
        heard.dedup();
        heard
    })
}

fn settings(me: u64) -> Settings {
    Settings {
        me,
        run: 1,
        voters: vec![1, 2, 3],
        lease_ms: 4_000,
        renew_ms: 500,
        proposal_timeout_ms: 10_000,
        seed: 7,
    }
}

/// A named voter with an empty store, one without, one that votes alone, and one that only learns.
fn nodes() -> Vec<Node> {
    let kept = |store| StoredState {
        store,
        boots: 1,
        config: None,
        snapshot: vec![],
        log: StoredLog { boots: 1, ..StoredLog::default() },
    };
    let alone = Settings { voters: vec![1], ..settings(1) };
    vec![
        Node::new(settings(1), Some(kept(11)), 0),
        Node::new(settings(2), None, 0),
        Node::new(alone, Some(kept(12)), 0),
        Node::new(settings(9), Some(kept(13)), 0),
    ]
}

fn feed(node: &mut Node, messages: &[(u64, u64, Vec<u8>)]) {
    let mut now = 0;
    for (from, run, bytes) in messages {
        now += 7;
        let mut out = Vec::new();
        node.receive(now, *from, *run, bytes, &mut out);
        node.tick(now, &mut out);
        let writes: Vec<u64> = out
            .iter()
            .filter_map(|o| if let Output::Write { batch, .. } = o { Some(*batch) } else { None })
            .collect();
        assert!(out.len() < 2_000, "{}", out.len());
        for o in &out {
            if let Output::Send { message, .. } = o {
                assert!(message.len() <= MAX_MESSAGE_BYTES);
            }
        }
        for batch in writes {
            node.written(now, batch, true, &mut Vec::new());
        }
        assert!(node.view(now).buffered_bytes < 24 << 20);
    }
}

#[derive(Clone, Debug)]
enum Turn {
    Real,
    Cut(prop::sample::Index),
    Flip(prop::sample::Index, u8),
    Put(prop::sample::Index, Vec<u8>),
    Any(Vec<u8>),
}

fn turns() -> impl Strategy<Value = Turn> {
    prop_oneof![
        3 => Just(Turn::Real),
        1 => any::<prop::sample::Index>().prop_map(Turn::Cut),
        3 => (any::<prop::sample::Index>(), 1..=255u8).prop_map(|(i, b)| Turn::Flip(i, b)),
        1 => (any::<prop::sample::Index>(), prop::collection::vec(any::<u8>(), 1..12))
            .prop_map(|(i, b)| Turn::Put(i, b)),
        1 => prop::collection::vec(any::<u8>(), 0..1_200).prop_map(Turn::Any),
    ]
}

fn turned(real: &[u8], turn: &Turn) -> Vec<u8> {
    let mut bytes = real.to_vec();
    match turn {
        Turn::Real => {}
        Turn::Cut(at) => bytes.truncate(at.index(real.len() + 1)),
        Turn::Flip(at, with) => {
            let at = at.index(real.len());
            bytes[at] ^= with;
        }
        Turn::Put(at, more) => {
            let at = at.index(real.len());
            bytes.splice(at..at, more.iter().copied());
        }
        Turn::Any(any) => bytes.clone_from(any),
    }
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("HOSTILE_CASES").ok().and_then(|s| s.parse().ok()).unwrap_or(48),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn turned_messages_bring_no_front_down(
        said in prop::collection::vec((0..5u64, 0..3u64, any::<prop::sample::Index>(), turns()), 1..300)
    ) {
        let heard = heard();
        let messages: Vec<_> = said
            .iter()
            .map(|(from, run, which, turn)| (*from, *run, turned(which.get::<Vec<u8>>(heard), turn)))
            .collect();
        for mut node in nodes() {
            feed(&mut node, &messages);
        }
    }

    #[test]
    fn what_is_read_is_written_the_same(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some((head, message)) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&head, &message)), Some((head, message)));
        }
        let _ = Registers::load(&bytes);
    }
}

/// In the order in which they were said, so that state builds up, with one in a few turned.
#[test]
fn a_turned_story_brings_no_front_down() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    let heard = heard();
    let mut random = StdRng::seed_from_u64(5);
    for mut node in nodes() {
        let messages: Vec<(u64, u64, Vec<u8>)> = (0..20_000)
            .map(|_| {
                let mut bytes = heard[random.random_range(0..heard.len())].clone();
                for _ in 0..random.random_range(0..3) {
                    let at = random.random_range(0..bytes.len());
                    bytes[at] = random.random();
                }
                (random.random_range(1..7), 1, bytes)
            })
            .collect();
        feed(&mut node, &messages);
    }
}
