//! Where a voter ends or is full: bounds, refusals, disks that fail or hang, what it goes on from.

#[allow(dead_code)]
mod voters;

use pepperhook_agreement::store::{StoreOp, StoredLog};
use pepperhook_agreement::voter::{
    DISK_TIMEOUT_TICKS, MAX_LOG_BYTES, StopReason, Voter, VoterError, VoterOutput,
};
use pepperhook_agreement::*;
use voters::{FAIR, World, config};

fn first_life() -> StoredLog {
    StoredLog { boots: 1, ..StoredLog::default() }
}

fn alone(kept: StoredLog) -> Voter {
    Voter::new(config(1).voters[0], config(1), kept, 0).expect("fit")
}

fn put(n: u128, length: usize) -> Command {
    let operation =
        Operation::Put { subject: Subject { space: 1, number: 0 }, expects: 0, body: vec![0; length] };
    Command { key: Key(n), author: 1, operation }
}

fn taken(voter: &mut Voter) -> Vec<VoterOutput> {
    let mut out = Vec::new();
    voter.take_output(&mut out);
    out
}

#[test]
fn who_is_unfit() {
    let me = config(3).voters[0];
    let new = |me, config, kept| Voter::new(me, config, kept, 0).err();
    assert_eq!(new(me, config(3), first_life()), None);
    assert_eq!(new(VoterId { front: 1, store: 1 }, config(3), first_life()), Some(VoterError::NotAVoter));
    assert_eq!(new(me, config(3), StoredLog::default()), Some(VoterError::MissingBoots));
    let mut of = config(3);
    of.voters.reverse();
    assert_eq!(new(me, of, first_life()), Some(VoterError::InvalidConfig));
    assert_eq!(new(me, config(MAX_VOTERS + 1), first_life()), Some(VoterError::InvalidConfig));
    assert_eq!(
        new(me, Config { voters: vec![], ..config(3) }, first_life()),
        Some(VoterError::InvalidConfig)
    );
    assert_eq!(new(me, Config { number: 0, ..config(3) }, first_life()), Some(VoterError::InvalidConfig));
    for kept in [
        StoredLog { decided: 1, ..first_life() },
        StoredLog { promise: vec![255; 3], ..first_life() },
        // Of configuration 2, and of a voter 9.
        StoredLog { promise: vec![2, 1, 0, 1], ..first_life() },
        StoredLog { accepted: vec![1, 1, 0, 9], ..first_life() },
    ] {
        assert_eq!(new(me, config(3), kept), Some(VoterError::InvalidLog));
    }
}

#[test]
fn a_lone_voter_says_nothing_before_it_is_written() {
    let mut voter = alone(first_life());
    assert_eq!(voter.leader(), Some(config(1).voters[0]));
    assert!(voter.append(put(1, 3)) && voter.append(put(2, 3)));
    let ops = vec![StoreOp::Log { from: 0, commands: vec![put(1, 3), put(2, 3)] }, StoreOp::Decided(2)];
    assert_eq!(taken(&mut voter), [VoterOutput::Write { batch: 1, ops }]);
    assert!(voter.append(put(3, 3)));
    let ops = vec![StoreOp::Log { from: 2, commands: vec![put(3, 3)] }, StoreOp::Decided(3)];
    assert_eq!(taken(&mut voter), [VoterOutput::Write { batch: 2, ops }]);
    voter.written(1, true);
    let decided = |index: u64| VoterOutput::Decided { index, command: put(u128::from(index) + 1, 3) };
    assert_eq!(taken(&mut voter), [decided(0), decided(1)]);
    voter.written(2, true);
    assert_eq!(taken(&mut voter), [decided(2)]);
    // And again in the next life.
    let kept =
        StoredLog { boots: 2, decided: 2, commands: vec![put(1, 3), put(2, 3)], ..StoredLog::default() };
    assert_eq!(taken(&mut alone(kept)), [decided(0), decided(1)]);
}

#[test]
fn a_refused_write_ends_it() {
    let mut voter = alone(first_life());
    assert!(voter.append(put(1, 3)));
    taken(&mut voter);
    voter.written(1, false);
    assert_eq!((voter.stop_reason(), voter.leader()), (Some(StopReason::WriteFailed), None));
    voter.written(1, true);
    voter.tick();
    assert!(!voter.append(put(2, 3)) && taken(&mut voter).is_empty());
    let mut voter = alone(first_life());
    voter.written(4, true);
    assert_eq!(voter.stop_reason(), Some(StopReason::WriteOrder));
}

#[test]
fn what_is_too_long_or_too_much_is_not_taken() {
    let mut voter = alone(first_life());
    assert!(!voter.append(put(1, MAX_BODY_BYTES + 1)));
    let fold =
        |voters| Command { key: Key(1), author: 1, operation: Operation::Voters { expects: 1, voters } };
    assert!(!voter.append(fold(vec![VoterId { front: 1, store: 1 }; MAX_VOTERS + 1])));
    let taken = (0..).take_while(|&n| voter.append(put(n, MAX_BODY_BYTES))).count();
    assert_eq!(taken, MAX_LOG_BYTES / (MAX_BODY_BYTES + 64));
    assert!(voter.log_bytes() <= MAX_LOG_BYTES);
    // A full log is folded all the same.
    assert!(voter.append(fold(config(3).voters)));
}

#[test]
fn without_a_leader_nothing_is_taken() {
    let mut voter = Voter::new(config(3).voters[0], config(3), first_life(), 0).expect("fit");
    assert!(!voter.append(put(1, 3)));
    assert_eq!(voter.leader(), None);
}

/// A voter that slept through a whole full log has it in one message.
#[test]
fn a_full_log_comes_over() {
    let mut world = World::new(3, 4, FAIR);
    world.run(40);
    let leader = world.leader().expect("a leader");
    let away = (leader + 1) % 3;
    world.kill(away, 30_000);
    let body = vec![1; MAX_BODY_BYTES];
    let operation = Operation::Put { subject: Subject { space: 1, number: 0 }, expects: 0, body };
    let mut count = 0;
    while world.propose_what(leader, operation.clone()).is_some() {
        count += 1;
        world.run(2);
    }
    assert_eq!(count, MAX_LOG_BYTES / (MAX_BODY_BYTES + 64));
    let key = world.propose_what(leader, Operation::Voters { expects: 1, voters: vec![] }).expect("folds");
    world.run(40);
    assert!(!world.is_up(away) && world.has(leader, key));
    world.run(600);
    assert!(world.has(away, key), "{}", world.report());
    assert_eq!(world.checker.wrong, Vec::<String>::new());
}

/// A leader without a majority takes so much and no more.
#[test]
fn undecided_entries_are_bounded() {
    let mut world = World::new(3, 4, FAIR);
    world.run(40);
    let leader = world.leader().expect("a leader");
    world.slow(leader, u64::MAX / 1_000_000);
    let taken = (0..1000).filter(|_| world.propose(leader).is_some()).count();
    assert_eq!(taken, 64);
}

/// A leader whose disk hangs falls silent, so that another leads; back again, it follows.
#[test]
fn a_leader_whose_disk_hangs_is_replaced() {
    for seed in 0..8 {
        let mut world = World::new(3, seed, FAIR);
        world.run(40);
        let leader = world.leader().expect("a leader");
        world.weather.disk = 1;
        world.slow(leader, 6_000);
        while world.propose(leader).is_some() {}
        let began = world.now;
        let mut key = None;
        let others: Vec<usize> = (0..3).filter(|&i| i != leader).collect();
        while !key.is_some_and(|k| others.iter().all(|&i| world.has(i, k))) {
            assert!(world.now - began < 6_000, "seed {seed}\n{}", world.report());
            world.run(1);
            if world.now % 500 == 0 {
                key = world.propose(others[0]);
            }
        }
        assert!((world.now - began) / 50 > DISK_TIMEOUT_TICKS / 2, "the disk did not hang");
        assert!(world.calm(300).is_some(), "{}", world.report());
        assert_eq!(world.checker.wrong, Vec::<String>::new());
    }
}

/// Printed with `--nocapture`: work of three voters for an entry, from append to decided by all, links and disks
/// aside.
#[test]
fn what_an_append_takes() {
    let mut world = World::new(3, 1, voters::Weather { delay: 1, disk: 0, ..FAIR });
    world.run(40);
    let leader = world.leader().expect("a leader");
    let began = std::time::Instant::now();
    let mut count = 0;
    let mut key = None;
    while count < 500 {
        key = world.propose(leader).or(key);
        world.step();
        count += 1;
    }
    println!("{:?} an entry in all three, with a fifth of their ticks", began.elapsed() / count);
    world.run(20);
    assert!((0..3).all(|i| world.has(i, key.expect("taken"))));
}
