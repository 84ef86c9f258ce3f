//! Feeds arbitrary bytes and corrupted messages to a front: it must not panic, and its memory and output stay
//! bounded.
//!
//! Messages between fronts are authenticated by the exchange, so these tests do not require that a corrupted
//! message leaves the front's state unchanged.

mod sim;

use pepperhook_agreement::store::{StoredLog, StoredState};
use pepperhook_agreement::wire::{MAX_MESSAGE_BYTES, decode, encode};
use pepperhook_agreement::{Node, Output, Registers, Settings};
use proptest::prelude::*;
use sim::World;
use std::sync::OnceLock;

/// Messages of a simulated fleet that cover the first configuration, short and long entries, loss, catch-up
/// and a change of voters.
fn recorded_messages() -> &'static [Vec<u8>] {
    static MESSAGES: OnceLock<Vec<Vec<u8>>> = OnceLock::new();
    MESSAGES.get_or_init(|| {
        let mut world = World::new(6, 3, 9, 0.1);
        world.record_messages = true;
        world.run_for(3_000);
        for n in 0..6 {
            world.put(4 + n % 3, n, if n == 3 { 16_000 } else { 300 });
            world.run_for(400);
        }
        world.kill(6);
        world.change_voters(4, 2, 5);
        world.run_for(3_000);
        world.restart(6);
        world.wipe(3);
        world.kill(3);
        world.restart(3);
        world.run_for(4_000);
        let mut messages = std::mem::take(&mut world.recorded);
        messages.sort();
        messages.dedup();
        messages
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

/// A named voter with an empty store, a named voter without a store, a lone voter and a learner.
fn nodes() -> Vec<Node> {
    let stored = |store| StoredState {
        store,
        boots: 1,
        config: None,
        snapshot: vec![],
        log: StoredLog { boots: 1, ..StoredLog::default() },
    };
    let alone = Settings { voters: vec![1], ..settings(1) };
    vec![
        Node::new(settings(1), Some(stored(11)), 0),
        Node::new(settings(2), None, 0),
        Node::new(alone, Some(stored(12)), 0),
        Node::new(settings(9), Some(stored(13)), 0),
    ]
}

/// Passes messages, each with its sender and the sender's run, to a node every 7 ms. Checks the number and size
/// of the outputs and the memory after each message.
fn feed(node: &mut Node, messages: &[(u64, u64, Vec<u8>)]) {
    let mut now_ms = 0;
    for (from, run, bytes) in messages {
        now_ms += 7;
        let mut out = Vec::new();
        node.receive(now_ms, *from, *run, bytes, &mut out);
        node.tick(now_ms, &mut out);
        let writes: Vec<u64> = out
            .iter()
            .filter_map(|o| if let Output::Write { batch, .. } = o { Some(*batch) } else { None })
            .collect();
        assert!(out.len() < 2_000, "{} outputs after one message; fewer than 2000 expected", out.len());
        for o in &out {
            if let Output::Send { message, .. } = o {
                assert!(
                    message.len() <= MAX_MESSAGE_BYTES,
                    "a message of {} bytes was sent; at most {MAX_MESSAGE_BYTES} expected",
                    message.len()
                );
            }
        }
        for batch in writes {
            node.written(now_ms, batch, true, &mut Vec::new());
        }
        let buffered_bytes = node.view(now_ms).buffered_bytes;
        assert!(buffered_bytes < 24 << 20, "{buffered_bytes} bytes buffered; less than 24 MiB expected");
    }
}

/// How a recorded message is changed before it is delivered.
#[derive(Clone, Debug)]
enum Mutation {
    Unchanged,
    Truncate(prop::sample::Index),
    /// XORs the byte at an index with a mask.
    FlipBits(prop::sample::Index, u8),
    Insert(prop::sample::Index, Vec<u8>),
    Replace(Vec<u8>),
}

fn mutations() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        3 => Just(Mutation::Unchanged),
        1 => any::<prop::sample::Index>().prop_map(Mutation::Truncate),
        3 => (any::<prop::sample::Index>(), 1..=255u8).prop_map(|(i, b)| Mutation::FlipBits(i, b)),
        1 => (any::<prop::sample::Index>(), prop::collection::vec(any::<u8>(), 1..12))
            .prop_map(|(i, b)| Mutation::Insert(i, b)),
        1 => prop::collection::vec(any::<u8>(), 0..1_200).prop_map(Mutation::Replace),
    ]
}

fn mutate(original: &[u8], mutation: &Mutation) -> Vec<u8> {
    let mut bytes = original.to_vec();
    match mutation {
        Mutation::Unchanged => {}
        Mutation::Truncate(at) => bytes.truncate(at.index(original.len() + 1)),
        Mutation::FlipBits(at, mask) => {
            let at = at.index(original.len());
            bytes[at] ^= mask;
        }
        Mutation::Insert(at, inserted) => {
            let at = at.index(original.len());
            bytes.splice(at..at, inserted.iter().copied());
        }
        Mutation::Replace(replacement) => bytes.clone_from(replacement),
    }
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig {
        // A longer run sets more cases in the environment.
        cases: std::env::var("HOSTILE_CASES").ok().and_then(|s| s.parse().ok()).unwrap_or(48),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic, and against memory or output without a bound, at the messages of any sender and run.
    #[test]
    fn corrupted_messages_do_not_crash_a_front(
        deliveries in prop::collection::vec(
            (0..5u64, 0..3u64, any::<prop::sample::Index>(), mutations()),
            1..300,
        )
    ) {
        let recorded = recorded_messages();
        let messages: Vec<_> = deliveries
            .iter()
            .map(|(from, run, index, mutation)| {
                (*from, *run, mutate(index.get::<Vec<u8>>(recorded), mutation))
            })
            .collect();
        for mut node in nodes() {
            feed(&mut node, &messages);
        }
    }

    /// Guards against content that changes when a message is forwarded, and against a panic in decoding arbitrary
    /// bytes as a message or a snapshot.
    #[test]
    fn a_decoded_message_encodes_to_the_same_content(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some((head, message)) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&head, &message)), Some((head, message)));
        }
        let _ = Registers::load(&bytes);
    }
}

/// Guards against failures that short sequences do not reach, since a front's state grows with the number of
/// messages. Random bytes are changed in many of them.
#[test]
fn a_long_sequence_of_corrupted_messages_does_not_crash_a_front() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    let recorded = recorded_messages();
    let mut random = StdRng::seed_from_u64(5);
    for mut node in nodes() {
        let messages: Vec<(u64, u64, Vec<u8>)> = (0..20_000)
            .map(|_| {
                let mut bytes = recorded[random.random_range(0..recorded.len())].clone();
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
