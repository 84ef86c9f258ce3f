//! Feeds voters arbitrary bytes and real messages with changed bytes or fields.

#[allow(dead_code)]
mod voters;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::{Compaction, Decide, PaxosMsg};
use pepperhook_agreement::store::StoredLog;
use pepperhook_agreement::voter::{MAX_VOTER_MESSAGE_BYTES, ReceiveError, Voter};
use pepperhook_agreement::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use voters::{FAULTLESS, World, config};

/// Number and digest of the configuration, boots of the sender and of the receiver, sequence number, decided,
/// accepted.
type Head = (u32, [u8; 8], u64, u64, u64, u64, u64);

fn voter_of_three() -> Voter {
    let stored = StoredLog { boots: 1, ..StoredLog::default() };
    Voter::new(config(3).voters[0], config(3), stored, 1).expect("a valid voter")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut voter = voter_of_three();
        prop_assert!(voter.receive(config(3).voters[1], &bytes).is_err());
        prop_assert_eq!(voter.stop_reason(), None);
    }
}

#[test]
fn messages_too_long_from_strangers_or_of_another_configuration_are_refused() {
    let mut voter = voter_of_three();
    let other = config(3).voters[1];
    assert_eq!(voter.receive(other, &vec![0; MAX_VOTER_MESSAGE_BYTES + 1]), Err(ReceiveError::TooLong));
    let mut world = World::new(3, 1, FAULTLESS);
    world.run(20);
    let (i, j, message) = world.recent.back().expect("a message").clone();
    let me = world.config.voters[j];
    let mut later = config(3);
    later.number = 2;
    let mut voter =
        Voter::new(me, later, StoredLog { boots: 1, ..StoredLog::default() }, 1).expect("a valid voter");
    assert_eq!(voter.receive(world.config.voters[i], &message), Err(ReceiveError::OtherConfig { number: 1 }));
    let mut other_start = config(3);
    other_start.first = 7;
    let mut voter = Voter::new(me, other_start, StoredLog { boots: 1, ..StoredLog::default() }, 1)
        .expect("a valid voter");
    assert_eq!(voter.receive(world.config.voters[i], &message), Err(ReceiveError::OtherConfig { number: 1 }));
    let mut voter =
        Voter::new(me, config(3), StoredLog { boots: 1, ..StoredLog::default() }, 1).expect("a valid voter");
    let stranger = VoterId { front: 99, store: 1 };
    assert_eq!(voter.receive(stranger, &message), Err(ReceiveError::NotAPeer));
    assert_eq!(voter.receive(me, &message), Err(ReceiveError::NotAPeer));
}

/// Real messages, truncated, extended or with changed bytes.
#[test]
fn messages_with_changed_bytes_do_not_panic() {
    let mut rng = StdRng::seed_from_u64(5);
    for seed in 0..20 {
        let mut world = World::new(3, seed, FAULTLESS);
        world.false_messages = true;
        for _ in 0..300 {
            let i = rng.random_range(0..3);
            world.propose(i);
            world.run(1);
            let recent: Vec<_> = world.recent.iter().cloned().collect();
            for (i, j, mut message) in recent {
                match rng.random_range(0..3) {
                    0 => message.truncate(rng.random_range(0..message.len())),
                    1 => message.push(rng.random()),
                    _ => {
                        for _ in 0..rng.random_range(1..4) {
                            let at = rng.random_range(0..message.len());
                            message[at] = rng.random();
                        }
                    }
                }
                // The test fails if a voter panics.
                let _ = world.deliver(i, j, &message);
            }
        }
    }
}

/// Replays all messages of a leader in order to a follower that has restarted since. omnipaxos would take the
/// first log that it was sent as the current one, and lose entries that it has acknowledged to the leader.
#[test]
fn messages_to_an_earlier_run_are_refused() {
    let mut world = World::new(3, 1, FAULTLESS);
    let mut sent = Vec::new();
    let mut run = |world: &mut World, steps: u32| {
        for _ in 0..steps {
            world.step();
            sent.extend(world.recent.drain(..));
        }
    };
    run(&mut world, 200);
    let leader = world.leader().expect("a leader");
    let follower = (leader + 1) % 3;
    for _ in 0..5 {
        world.propose(leader).expect("accepted");
    }
    while world.promise_and_log_len(follower).1 < 5 {
        run(&mut world, 1);
    }
    // Before it learns that they are decided.
    world.cut_links.insert((leader, follower));
    run(&mut world, 5);
    world.kill(follower, 10);
    run(&mut world, 2);
    assert_eq!(world.promise_and_log_len(follower).1, 5, "from its disk");
    assert!(!world.has(follower, 1));
    let old: Vec<_> = sent.iter().filter(|(i, j, _)| (*i, *j) == (leader, follower)).collect();
    assert!(old.len() > 10);
    for (i, j, message) in old {
        let _ = world.deliver(*i, *j, message);
        assert_eq!(world.promise_and_log_len(follower).1, 5);
    }
}

fn change_index(rng: &mut StdRng, index: &mut usize) {
    *index = match rng.random_range(0..6) {
        0 => 0,
        1 => usize::MAX,
        2 => index.wrapping_add(1),
        3 => index.wrapping_sub(1),
        4 => rng.random_range(0..100),
        _ => *index,
    };
}

fn change_ballot(rng: &mut StdRng, ballot: &mut Ballot) {
    match rng.random_range(0..10) {
        0 => ballot.n = u32::MAX,
        1 => ballot.n = ballot.n.wrapping_add(1),
        2 => ballot.n = ballot.n.saturating_sub(1),
        3 => ballot.pid = rng.random_range(0..6),
        4 => ballot.pid = u64::MAX,
        5 => ballot.priority = u32::MAX,
        6 => ballot.config_id = rng.random_range(0..3),
        7 => *ballot = Ballot::default(),
        _ => {}
    }
}

fn change_fields(rng: &mut StdRng, message: &mut Message<Command>) {
    match message {
        Message::BLE(ble) => match &mut ble.msg {
            HeartbeatMsg::Request(r) => r.round = rng.random(),
            HeartbeatMsg::Reply(r) => {
                change_ballot(rng, &mut r.ballot);
                change_ballot(rng, &mut r.leader);
                r.happy = rng.random();
            }
        },
        Message::SequencePaxos(paxos) => {
            match &mut paxos.msg {
                PaxosMsg::PrepareReq(m) => change_ballot(rng, &mut m.n),
                PaxosMsg::Prepare(m) => {
                    change_ballot(rng, &mut m.n);
                    change_ballot(rng, &mut m.n_accepted);
                    change_index(rng, &mut m.decided_idx);
                    change_index(rng, &mut m.accepted_idx);
                }
                PaxosMsg::Promise(m) => {
                    change_ballot(rng, &mut m.n_accepted);
                    change_index(rng, &mut m.decided_idx);
                    change_index(rng, &mut m.accepted_idx);
                    if let Some(sync) = &mut m.log_sync {
                        change_index(rng, &mut sync.sync_idx);
                        sync.suffix.truncate(rng.random_range(0..10));
                    }
                }
                PaxosMsg::AcceptSync(m) => {
                    change_index(rng, &mut m.decided_idx);
                    change_index(rng, &mut m.log_sync.sync_idx);
                    m.log_sync.suffix.truncate(rng.random_range(0..10));
                    m.seq_num.counter = rng.random();
                }
                PaxosMsg::AcceptDecide(m) => {
                    change_index(rng, &mut m.decided_idx);
                    if rng.random_bool(0.2) {
                        m.seq_num.counter = u64::MAX;
                    }
                }
                PaxosMsg::Accepted(m) => change_index(rng, &mut m.accepted_idx),
                PaxosMsg::NotAccepted(m) => change_ballot(rng, &mut m.n),
                PaxosMsg::Decide(m) => {
                    change_index(rng, &mut m.decided_idx);
                    change_ballot(rng, &mut m.n);
                }
                _ => {}
            }
            if rng.random_bool(0.1) {
                let n = Ballot::with(1, rng.random_range(0..5), 0, rng.random_range(0..4));
                let decide = Decide { n, seq_num: Default::default(), decided_idx: rng.random_range(0..50) };
                paxos.msg = match rng.random_range(0..4) {
                    0 => PaxosMsg::Compaction(Compaction::Trim(rng.random_range(0..50))),
                    1 => PaxosMsg::Compaction(Compaction::Snapshot(None)),
                    2 => PaxosMsg::PrepareReq(omnipaxos::messages::sequence_paxos::PrepareReq { n }),
                    _ => PaxosMsg::Decide(decide),
                };
            }
            if rng.random_bool(0.1) {
                paxos.from = rng.random_range(0..5);
            }
        }
    }
}

/// Real messages with a valid head and changed fields: a voter must not panic, though its state may become
/// wrong.
#[test]
fn messages_with_changed_fields_do_not_panic() {
    let mut rng = StdRng::seed_from_u64(6);
    let (mut accepted, mut refused) = (0, 0);
    for seed in 0..60 {
        let count = 3 + 2 * (seed as usize % 2);
        let mut world = World::new(count, seed, FAULTLESS);
        world.false_messages = true;
        world.run(30);
        for round in 0..60 {
            let i = rng.random_range(0..count);
            world.propose(i);
            world.run(1);
            if round % 20 == 10 {
                let i = rng.random_range(0..count);
                world.kill(i, 100);
            }
            let recent: Vec<_> = world.recent.iter().cloned().collect();
            for (i, j, message) in recent {
                let (mut head, rest) = postcard::take_from_bytes::<Head>(&message).expect("a head");
                let (mut message, _) =
                    postcard::take_from_bytes::<Message<Command>>(rest).expect("a message");
                change_fields(&mut rng, &mut message);
                head.4 += 1;
                let mut bytes = postcard::to_stdvec(&head).expect("bytes");
                bytes.extend(postcard::to_stdvec(&message).expect("bytes"));
                match world.deliver(i, j, &bytes) {
                    Some(Ok(())) => accepted += 1,
                    _ => refused += 1,
                }
            }
        }
    }
    println!("{accepted} accepted, {refused} refused");
    assert!(accepted > 1_000 && refused > 1_000, "{accepted} {refused}");
}
