//! Voters over a faulty network and on disks that crash.

#[allow(dead_code)]
mod voters;

use pepperhook_agreement::majority;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use voters::{FAULTLESS, Faults, World};

/// Once all voters are connected, every voter decides a proposed command within this many ticks (10 s).
const RECOVERY_LIMIT_TICKS: u64 = 200;

/// Runs a seed: 40 s with faults, then without. Returns the violations, the ticks without faults until every
/// voter had decided a new command, and the number of decided entries.
fn run_seed(seed: u64, disks_lose_writes: bool) -> (Vec<String>, u64, u64) {
    let mut rng = StdRng::seed_from_u64(!seed);
    let count = [3, 5, 3, 5, 3, 5, 2, 4, 7][rng.random_range(0..9)];
    let faults = Faults {
        loss: [0.0, 0.05, 0.3][rng.random_range(0..3)],
        duplicate: [0.0, 0.2][rng.random_range(0..2)],
        max_delay_ms: [10, 60, 200][rng.random_range(0..3)],
        long_delay: [0.0, 0.05][rng.random_range(0..2)],
        max_write_ms: [1, 30, 150][rng.random_range(0..3)],
        change: 0.02,
        disks_lose_writes,
    };
    let mut world = World::new(count, seed, faults);
    for _ in 0..4000 {
        world.random_fault();
        world.step();
    }
    let recovery = world.recover(RECOVERY_LIMIT_TICKS);
    let mut violations = std::mem::take(&mut world.checker.violations);
    if recovery.is_none() {
        violations.push(format!(
            "no new command decided by all voters within {RECOVERY_LIMIT_TICKS} ticks without faults\n{}",
            world.report()
        ));
    }
    (violations, recovery.unwrap_or(RECOVERY_LIMIT_TICKS), world.checker.decided.len() as u64)
}

fn rerun_command(seed: u64) -> String {
    format!(
        "to run again: AGREEMENT_SEED={seed} cargo test -p pepperhook-agreement --test voter -- --ignored --nocapture one_seed"
    )
}

/// Runs seeds in parallel. Returns the longest recovery in ticks and the number of decided entries.
fn run_seeds(seeds: std::ops::Range<u64>) -> (u64, u64) {
    let next = std::sync::atomic::AtomicU64::new(seeds.start);
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(6);
    std::thread::scope(|scope| {
        let work = || {
            let (mut worst, mut entries) = (0, 0);
            loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= seeds.end {
                    return (worst, entries);
                }
                let (violations, recovery, decided) = std::panic::catch_unwind(|| run_seed(seed, false))
                    .unwrap_or_else(|_| panic!("{}", rerun_command(seed)));
                assert!(violations.is_empty(), "{violations:#?}\n{}", rerun_command(seed));
                (worst, entries) = (worst.max(recovery), entries + decided);
            }
        };
        let all: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        all.into_iter()
            .map(|t| t.join().expect("no seed fails"))
            .fold((0, 0), |a, b| (a.0.max(b.0), a.1 + b.1))
    })
}

#[test]
fn some_seeds() {
    let (worst, entries) = run_seeds(0..96);
    println!("{entries} entries, recovered after at most {worst} ticks");
    assert!(entries > 1_000, "too few entries for a meaningful test: {entries}");
}

/// Runs the seeds of `AGREEMENT_SEEDS=from..to`, 0..5000 if unset.
#[test]
#[ignore = "minutes"]
fn many_seeds() {
    let range = std::env::var("AGREEMENT_SEEDS").unwrap_or_else(|_| "0..5000".into());
    let (from, to) = range.split_once("..").expect("from..to");
    let (worst, entries) = run_seeds(from.parse().expect("a number")..to.parse().expect("a number"));
    println!("{range}: {entries} entries, recovered after at most {worst} ticks");
}

/// Runs the seed of `AGREEMENT_SEED=n`.
#[test]
#[ignore = "runs one seed again"]
fn one_seed() {
    let seed = std::env::var("AGREEMENT_SEED").expect("AGREEMENT_SEED").parse().expect("a number");
    let (violations, recovery, entries) = run_seed(seed, false);
    println!("{seed}: {entries} entries, recovered after {recovery} ticks");
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Tests the checker: it must detect the contradictions that follow when disks lose confirmed writes.
#[test]
fn lost_confirmed_writes_are_detected() {
    let mut detected = 0;
    for seed in 0..60 {
        // A voter that detects the contradiction stops, which ends the run by a panic.
        let run = std::panic::catch_unwind(|| run_seed(seed, true));
        detected +=
            u32::from(run.is_ok_and(|(violations, _, _)| violations.iter().any(|w| w.contains("others"))));
    }
    println!("{detected} of 60 seeds showed a contradiction");
    assert!(detected > 0);
}

#[test]
fn a_lone_voter_decides_what_is_written() {
    let mut world = World::new(1, 3, FAULTLESS);
    let keys: Vec<u128> = (0..20).filter_map(|_| world.propose(0)).collect();
    assert_eq!(keys.len(), 20);
    assert!(world.checker.decided.is_empty(), "nothing is decided before it is written");
    world.run(4);
    assert!(keys.iter().all(|&k| world.has(0, k)));
    world.kill(0, 100);
    world.run(10);
    assert!(world.is_up(0) && keys.iter().all(|&k| world.has(0, k)));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Proposes at each of the given voters every half second until a majority has decided one of the commands.
/// Returns the ticks that this took.
fn progress(world: &mut World, proposers: &[usize]) -> Option<u64> {
    let mut keys = Vec::new();
    for tick in 0..RECOVERY_LIMIT_TICKS {
        if tick % 10 == 0 {
            for &i in proposers {
                keys.extend(world.propose(i));
            }
        }
        world.run(1);
        let have = (0..world.config.voters.len()).filter(|&i| keys.iter().any(|&k| world.has(i, k))).count();
        if have >= majority(world.config.voters.len()) {
            return Some(tick);
        }
    }
    None
}

/// All voters are connected through one that does not lead: only this one reaches a majority, so it must
/// become leader.
#[test]
fn a_majority_that_is_connected_through_one_voter_makes_progress() {
    for seed in 0..10 {
        let mut world = World::new(5, seed, FAULTLESS);
        progress(&mut world, &[0]).expect("a first decision");
        let leader = world.leader().expect("a leader");
        let hub = (leader + 1 + seed as usize % 4) % 5;
        for (a, b) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|&(a, b)| a != hub && b != hub)
        {
            world.cut_links.insert((a, b));
        }
        let took = progress(&mut world, &[0, 1, 2, 3, 4]);
        assert!(took.is_some_and(|t| t <= 60), "seed {seed}: {took:?}");
        assert_eq!(world.leader().map(|l| l == hub || l == leader), Some(true));
    }
}

/// Three voters in a chain: those at the ends are not connected to each other.
#[test]
fn a_chain_of_three_makes_progress() {
    for seed in 0..10 {
        let mut world = World::new(3, seed, FAULTLESS);
        progress(&mut world, &[0]).expect("a first decision");
        let leader = world.leader().expect("a leader");
        let far = (leader + 1 + seed as usize % 2) % 3;
        world.cut_links.extend([(leader, far), (far, leader)]);
        let took = progress(&mut world, &[0, 1, 2]);
        assert!(took.is_some_and(|t| t <= 60), "seed {seed}: {took:?}");
        // Leadership must not alternate, which would prevent progress in the long run.
        world.run(200);
        let took = progress(&mut world, &[0, 1, 2]);
        assert!(took.is_some_and(|t| t <= 20), "seed {seed}: {took:?}");
    }
}

/// The leader can send but not receive, or receive but not send.
#[test]
fn a_leader_with_links_cut_in_one_direction_is_replaced() {
    for seed in 0..10 {
        let mut world = World::new(3, seed, FAULTLESS);
        progress(&mut world, &[0]).expect("a first decision");
        let leader = world.leader().expect("a leader");
        for k in (0..3).filter(|&k| k != leader) {
            world.cut_links.insert(if seed % 2 == 0 { (leader, k) } else { (k, leader) });
        }
        let took = progress(&mut world, &[0, 1, 2]);
        assert!(took.is_some_and(|t| t <= 60), "seed {seed}: {took:?}");
    }
}

/// The messages of an entry are lost and no later entry follows: only a retransmission delivers it.
#[test]
fn lost_entries_are_requested_again() {
    let mut behind = 0;
    for seed in 0..40 {
        let mut world = World::new(3, seed, FAULTLESS);
        progress(&mut world, &[0]).expect("a first decision");
        world.run(20);
        let leader = world.leader().expect("a leader");
        let key = world.propose(leader).expect("accepted");
        world.faults.loss = 0.9;
        world.run(1);
        world.faults.loss = 0.0;
        world.run(3);
        let is_late = !(0..3).all(|i| world.has(i, key));
        world.run(57);
        if world.leader() != Some(leader) {
            // Heartbeats were lost too, and the entry was lost with the change of leader.
            continue;
        }
        behind += u32::from(is_late);
        assert!((0..3).all(|i| world.has(i, key)), "seed {seed}\n{}", world.report());
    }
    assert!(behind > 10, "too few lost entries for a meaningful test: {behind}");
}

/// A disk write that takes longer than a round of heartbeats must not cause repeated changes of leader.
#[test]
fn slow_disks_do_not_prevent_decisions() {
    for seed in 0..6 {
        let mut world = World::new(3, seed, Faults { max_write_ms: 600, ..FAULTLESS });
        let took = progress(&mut world, &[0, 1, 2]);
        assert!(took.is_some_and(|t| t <= 150), "seed {seed}: {took:?}");
    }
}

/// Prints measurements with `--nocapture`: messages and syncs per entry.
#[test]
fn messages_and_syncs_per_entry() {
    let mut world = World::new(3, 1, FAULTLESS);
    progress(&mut world, &[0, 1, 2]).expect("a first decision");
    let leader = world.leader().expect("a leader");
    world.run(40);
    let sent_before = world.messages_sent;
    world.run(200);
    let longest = world.recent.iter().map(|(_, _, m)| m.len()).max();
    println!(
        "idle: {} messages per second and link, of at most {longest:?} bytes",
        (world.messages_sent - sent_before) as f64 / 60.0
    );
    let sent_before = world.messages_sent;
    let syncs_before: Vec<u64> = (0..3).map(|i| world.syncs(i)).collect();
    let decided_before = world.checker.decided.len();
    for _ in 0..200 {
        world.propose(leader).expect("accepted");
        world.run(2);
    }
    world.run(10);
    let entries = (world.checker.decided.len() - decided_before) as f64;
    let syncs: Vec<f64> = (0..3).map(|i| (world.syncs(i) - syncs_before[i]) as f64 / entries).collect();
    println!("leader {leader}; syncs per entry {syncs:?}");
    let heartbeats = 48.0 * 0.1;
    println!(
        "messages per entry without heartbeats: {}",
        (world.messages_sent - sent_before) as f64 / entries - heartbeats
    );
    assert!(syncs.iter().all(|&s| s <= 2.1), "{syncs:?}");
}
