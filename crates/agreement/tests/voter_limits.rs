//! Limits of a voter: invalid arguments, bounds on its log, failing and hanging disks, and what a restart
//! resumes from.

#[allow(dead_code)]
mod voters;

use pepperhook_agreement::store::{StoreOp, StoredLog};
use pepperhook_agreement::voter::{
    DISK_TIMEOUT_TICKS, MAX_LOG_BYTES, StopReason, Voter, VoterError, VoterOutput,
};
use pepperhook_agreement::*;
use voters::{FAULTLESS, World, config};

/// Store of a voter's first start.
fn first_start() -> StoredLog {
    StoredLog { boots: 1, ..StoredLog::default() }
}

fn lone_voter(stored: StoredLog) -> Voter {
    Voter::new(config(1).voters[0], config(1), stored, 0).expect("a valid voter")
}

fn put(n: u128, length: usize) -> Command {
    let operation =
        Operation::Put { subject: Subject { space: 1, number: 0 }, expects: 0, body: vec![0; length] };
    Command { key: Key(n), author: 1, operation }
}

fn outputs(voter: &mut Voter) -> Vec<VoterOutput> {
    let mut out = Vec::new();
    voter.take_output(&mut out);
    out
}

#[test]
fn invalid_arguments_are_refused() {
    let me = config(3).voters[0];
    let new = |me, config, stored| Voter::new(me, config, stored, 0).err();
    assert_eq!(new(me, config(3), first_start()), None);
    assert_eq!(new(VoterId { front: 1, store: 1 }, config(3), first_start()), Some(VoterError::NotAVoter));
    assert_eq!(new(me, config(3), StoredLog::default()), Some(VoterError::MissingBoots));
    let mut reversed = config(3);
    reversed.voters.reverse();
    assert_eq!(new(me, reversed, first_start()), Some(VoterError::InvalidConfig));
    assert_eq!(new(me, config(MAX_VOTERS + 1), first_start()), Some(VoterError::InvalidConfig));
    assert_eq!(
        new(me, Config { voters: vec![], ..config(3) }, first_start()),
        Some(VoterError::InvalidConfig)
    );
    assert_eq!(new(me, Config { number: 0, ..config(3) }, first_start()), Some(VoterError::InvalidConfig));
    for stored in [
        StoredLog { decided: 1, ..first_start() },
        StoredLog { promise: vec![255; 3], ..first_start() },
        // Ballots of configuration 2 and of a voter 9 that does not exist.
        StoredLog { promise: vec![2, 1, 0, 1], ..first_start() },
        StoredLog { accepted: vec![1, 1, 0, 9], ..first_start() },
    ] {
        assert_eq!(new(me, config(3), stored), Some(VoterError::InvalidLog));
    }
}

#[test]
fn a_lone_voter_reports_nothing_before_it_is_written() {
    let mut voter = lone_voter(first_start());
    assert_eq!(voter.leader(), Some(config(1).voters[0]));
    assert!(voter.append(put(1, 3)) && voter.append(put(2, 3)));
    let ops = vec![StoreOp::Log { from: 0, commands: vec![put(1, 3), put(2, 3)] }, StoreOp::Decided(2)];
    assert_eq!(outputs(&mut voter), [VoterOutput::Write { batch: 1, ops }]);
    assert!(voter.append(put(3, 3)));
    let ops = vec![StoreOp::Log { from: 2, commands: vec![put(3, 3)] }, StoreOp::Decided(3)];
    assert_eq!(outputs(&mut voter), [VoterOutput::Write { batch: 2, ops }]);
    voter.written(1, true);
    let decided = |index: u64| VoterOutput::Decided { index, command: put(u128::from(index) + 1, 3) };
    assert_eq!(outputs(&mut voter), [decided(0), decided(1)]);
    voter.written(2, true);
    assert_eq!(outputs(&mut voter), [decided(2)]);
    // Reported again after a restart.
    let stored =
        StoredLog { boots: 2, decided: 2, commands: vec![put(1, 3), put(2, 3)], ..StoredLog::default() };
    assert_eq!(outputs(&mut lone_voter(stored)), [decided(0), decided(1)]);
}

#[test]
fn a_failed_write_stops_the_voter() {
    let mut voter = lone_voter(first_start());
    assert!(voter.append(put(1, 3)));
    outputs(&mut voter);
    voter.written(1, false);
    assert_eq!((voter.stop_reason(), voter.leader()), (Some(StopReason::WriteFailed), None));
    voter.written(1, true);
    voter.tick();
    assert!(!voter.append(put(2, 3)) && outputs(&mut voter).is_empty());
    let mut voter = lone_voter(first_start());
    voter.written(4, true);
    assert_eq!(voter.stop_reason(), Some(StopReason::WriteOrder));
}

#[test]
fn commands_beyond_the_limits_are_refused() {
    let mut voter = lone_voter(first_start());
    assert!(!voter.append(put(1, MAX_BODY_BYTES + 1)));
    let change_voters =
        |voters| Command { key: Key(1), author: 1, operation: Operation::Voters { expects: 1, voters } };
    assert!(!voter.append(change_voters(vec![VoterId { front: 1, store: 1 }; MAX_VOTERS + 1])));
    let accepted = (0..).take_while(|&n| voter.append(put(n, MAX_BODY_BYTES))).count();
    assert_eq!(accepted, MAX_LOG_BYTES / (MAX_BODY_BYTES + 64));
    assert!(voter.log_bytes() <= MAX_LOG_BYTES);
    // A full log still takes the command that starts a new configuration.
    assert!(voter.append(change_voters(config(3).voters)));
}

#[test]
fn without_a_leader_commands_are_refused() {
    let mut voter = Voter::new(config(3).voters[0], config(3), first_start(), 0).expect("a valid voter");
    assert!(!voter.append(put(1, 3)));
    assert_eq!(voter.leader(), None);
}

/// A voter that was down while the log became full receives the whole log in one message.
#[test]
fn a_full_log_is_transferred() {
    let mut world = World::new(3, 4, FAULTLESS);
    world.run(40);
    let leader = world.leader().expect("a leader");
    let down = (leader + 1) % 3;
    world.kill(down, 30_000);
    let body = vec![1; MAX_BODY_BYTES];
    let operation = Operation::Put { subject: Subject { space: 1, number: 0 }, expects: 0, body };
    let mut count = 0;
    while world.propose_operation(leader, operation.clone()).is_some() {
        count += 1;
        world.run(2);
    }
    assert_eq!(count, MAX_LOG_BYTES / (MAX_BODY_BYTES + 64));
    let key =
        world.propose_operation(leader, Operation::Voters { expects: 1, voters: vec![] }).expect("accepted");
    world.run(40);
    assert!(!world.is_up(down) && world.has(leader, key));
    world.run(600);
    assert!(world.has(down, key), "{}", world.report());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A leader whose writes are not confirmed accepts a bounded number of commands.
#[test]
fn undecided_entries_are_bounded() {
    let mut world = World::new(3, 4, FAULTLESS);
    world.run(40);
    let leader = world.leader().expect("a leader");
    world.slow_disk(leader, u64::MAX / 1_000_000);
    let accepted = (0..1000).filter(|_| world.propose(leader).is_some()).count();
    assert_eq!(accepted, 64);
}

/// A leader whose disk hangs stops sending, and another voter becomes leader. Once the disk works again, the
/// former leader follows.
#[test]
fn a_leader_whose_disk_hangs_is_replaced() {
    for seed in 0..8 {
        let mut world = World::new(3, seed, FAULTLESS);
        world.run(40);
        let leader = world.leader().expect("a leader");
        world.faults.max_write_ms = 1;
        world.slow_disk(leader, 6_000);
        while world.propose(leader).is_some() {}
        let started_ms = world.now;
        let mut key = None;
        let others: Vec<usize> = (0..3).filter(|&i| i != leader).collect();
        while !key.is_some_and(|k| others.iter().all(|&i| world.has(i, k))) {
            assert!(world.now - started_ms < 6_000, "seed {seed}\n{}", world.report());
            world.run(1);
            if world.now % 500 == 0 {
                key = world.propose(others[0]);
            }
        }
        assert!((world.now - started_ms) / 50 > DISK_TIMEOUT_TICKS / 2, "the disk did not hang");
        assert!(world.recover(300).is_some(), "{}", world.report());
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Prints a measurement with `--nocapture`: computing time of three voters per entry, from append to decided
/// by all, without the delays of links and disks.
#[test]
fn computing_time_per_entry() {
    let mut world = World::new(3, 1, voters::Faults { max_delay_ms: 1, max_write_ms: 0, ..FAULTLESS });
    world.run(40);
    let leader = world.leader().expect("a leader");
    let started = std::time::Instant::now();
    let mut count = 0;
    let mut key = None;
    while count < 500 {
        key = world.propose(leader).or(key);
        world.step();
        count += 1;
    }
    println!("{:?} per entry for all three voters, with a fifth of their ticks", started.elapsed() / count);
    world.run(20);
    assert!((0..3).all(|i| world.has(i, key.expect("accepted"))));
}
