//! Any bytes, and messages that are true but for some of their fields, into voters.

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
use voters::{FAIR, World, config};

/// Number, digest, boots of the sender, of the receiver, sequence, decided, accepted.
type Head = (u32, [u8; 8], u64, u64, u64, u64, u64);

fn lone() -> Voter {
    let kept = StoredLog { boots: 1, ..StoredLog::default() };
    Voter::new(config(3).voters[0], config(3), kept, 1).expect("fit")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut voter = lone();
        prop_assert!(voter.receive(config(3).voters[1], &bytes).is_err());
        prop_assert_eq!(voter.stop_reason(), None);
    }
}

#[test]
fn too_long_and_strange_and_of_another_configuration() {
    let mut voter = lone();
    let other = config(3).voters[1];
    assert_eq!(voter.receive(other, &vec![0; MAX_VOTER_MESSAGE_BYTES + 1]), Err(ReceiveError::TooLong));
    let mut world = World::new(3, 1, FAIR);
    world.run(20);
    let (i, j, message) = world.tap.back().expect("said").clone();
    let me = world.config.voters[j];
    let mut later = config(3);
    later.number = 2;
    let mut voter = Voter::new(me, later, StoredLog { boots: 1, ..StoredLog::default() }, 1).expect("fit");
    assert_eq!(voter.receive(world.config.voters[i], &message), Err(ReceiveError::OtherConfig { number: 1 }));
    let mut also = config(3);
    also.first = 7;
    let mut voter = Voter::new(me, also, StoredLog { boots: 1, ..StoredLog::default() }, 1).expect("fit");
    assert_eq!(voter.receive(world.config.voters[i], &message), Err(ReceiveError::OtherConfig { number: 1 }));
    let mut voter =
        Voter::new(me, config(3), StoredLog { boots: 1, ..StoredLog::default() }, 1).expect("fit");
    let stranger = VoterId { front: 99, store: 1 };
    assert_eq!(voter.receive(stranger, &message), Err(ReceiveError::NotAPeer));
    assert_eq!(voter.receive(me, &message), Err(ReceiveError::NotAPeer));
}

/// Bytes of true messages, some turned.
#[test]
fn turned_bytes() {
    let mut rng = StdRng::seed_from_u64(5);
    for seed in 0..20 {
        let mut world = World::new(3, seed, FAIR);
        world.astray = true;
        for _ in 0..300 {
            let i = rng.random_range(0..3);
            world.propose(i);
            world.run(1);
            let tap: Vec<_> = world.tap.iter().cloned().collect();
            for (i, j, mut message) in tap {
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
                // The world fails if a voter panics.
                let _ = world.hand(i, j, &message);
            }
        }
    }
}

/// All that a leader ever said, again and in order, to a follower that has restarted meanwhile. omnipaxos would take
/// the first log that it was sent for the present one, and forget what it told the leader that it has.
#[test]
fn what_was_meant_for_an_earlier_life_is_refused() {
    let mut world = World::new(3, 1, FAIR);
    let mut said = Vec::new();
    let mut run = |world: &mut World, steps: u32| {
        for _ in 0..steps {
            world.step();
            said.extend(world.tap.drain(..));
        }
    };
    run(&mut world, 200);
    let leader = world.leader().expect("a leader");
    let follower = (leader + 1) % 3;
    for _ in 0..5 {
        world.propose(leader).expect("taken");
    }
    while world.reach(follower).1 < 5 {
        run(&mut world, 1);
    }
    // Before it hears that they are decided.
    world.cut.insert((leader, follower));
    run(&mut world, 5);
    world.kill(follower, 10);
    run(&mut world, 2);
    assert_eq!(world.reach(follower).1, 5, "as kept");
    assert!(!world.has(follower, 1));
    let old: Vec<_> = said.iter().filter(|(i, j, _)| (*i, *j) == (leader, follower)).collect();
    assert!(old.len() > 10);
    for (i, j, message) in old {
        let _ = world.hand(*i, *j, message);
        assert_eq!(world.reach(follower).1, 5);
    }
}

fn index(rng: &mut StdRng, it: &mut usize) {
    *it = match rng.random_range(0..6) {
        0 => 0,
        1 => usize::MAX,
        2 => it.wrapping_add(1),
        3 => it.wrapping_sub(1),
        4 => rng.random_range(0..100),
        _ => *it,
    };
}

fn turn_ballot(rng: &mut StdRng, it: &mut Ballot) {
    match rng.random_range(0..10) {
        0 => it.n = u32::MAX,
        1 => it.n = it.n.wrapping_add(1),
        2 => it.n = it.n.saturating_sub(1),
        3 => it.pid = rng.random_range(0..6),
        4 => it.pid = u64::MAX,
        5 => it.priority = u32::MAX,
        6 => it.config_id = rng.random_range(0..3),
        7 => *it = Ballot::default(),
        _ => {}
    }
}

fn turn(rng: &mut StdRng, message: &mut Message<Command>) {
    match message {
        Message::BLE(ble) => match &mut ble.msg {
            HeartbeatMsg::Request(r) => r.round = rng.random(),
            HeartbeatMsg::Reply(r) => {
                turn_ballot(rng, &mut r.ballot);
                turn_ballot(rng, &mut r.leader);
                r.happy = rng.random();
            }
        },
        Message::SequencePaxos(paxos) => {
            match &mut paxos.msg {
                PaxosMsg::PrepareReq(m) => turn_ballot(rng, &mut m.n),
                PaxosMsg::Prepare(m) => {
                    turn_ballot(rng, &mut m.n);
                    turn_ballot(rng, &mut m.n_accepted);
                    index(rng, &mut m.decided_idx);
                    index(rng, &mut m.accepted_idx);
                }
                PaxosMsg::Promise(m) => {
                    turn_ballot(rng, &mut m.n_accepted);
                    index(rng, &mut m.decided_idx);
                    index(rng, &mut m.accepted_idx);
                    if let Some(sync) = &mut m.log_sync {
                        index(rng, &mut sync.sync_idx);
                        sync.suffix.truncate(rng.random_range(0..10));
                    }
                }
                PaxosMsg::AcceptSync(m) => {
                    index(rng, &mut m.decided_idx);
                    index(rng, &mut m.log_sync.sync_idx);
                    m.log_sync.suffix.truncate(rng.random_range(0..10));
                    m.seq_num.counter = rng.random();
                }
                PaxosMsg::AcceptDecide(m) => {
                    index(rng, &mut m.decided_idx);
                    if rng.random_bool(0.2) {
                        m.seq_num.counter = u64::MAX;
                    }
                }
                PaxosMsg::Accepted(m) => index(rng, &mut m.accepted_idx),
                PaxosMsg::NotAccepted(m) => turn_ballot(rng, &mut m.n),
                PaxosMsg::Decide(m) => {
                    index(rng, &mut m.decided_idx);
                    turn_ballot(rng, &mut m.n);
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

/// True messages with fields turned and a head that is in order: no voter may panic within, though it may be led
/// astray.
#[test]
fn turned_fields() {
    let mut rng = StdRng::seed_from_u64(6);
    let (mut taken, mut refused) = (0, 0);
    for seed in 0..60 {
        let count = 3 + 2 * (seed as usize % 2);
        let mut world = World::new(count, seed, FAIR);
        world.astray = true;
        world.run(30);
        for round in 0..60 {
            let i = rng.random_range(0..count);
            world.propose(i);
            world.run(1);
            if round % 20 == 10 {
                let i = rng.random_range(0..count);
                world.kill(i, 100);
            }
            let tap: Vec<_> = world.tap.iter().cloned().collect();
            for (i, j, message) in tap {
                let (mut head, rest) = postcard::take_from_bytes::<Head>(&message).expect("a head");
                let (mut message, _) =
                    postcard::take_from_bytes::<Message<Command>>(rest).expect("a message");
                turn(&mut rng, &mut message);
                head.4 += 1;
                let mut bytes = postcard::to_stdvec(&head).expect("bytes");
                bytes.extend(postcard::to_stdvec(&message).expect("bytes"));
                match world.hand(i, j, &bytes) {
                    Some(Ok(())) => taken += 1,
                    _ => refused += 1,
                }
            }
        }
    }
    println!("{taken} taken, {refused} refused");
    assert!(taken > 1_000 && refused > 1_000, "{taken} {refused}");
}
