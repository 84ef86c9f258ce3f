//! Voters over a hostile network and on disks that crash.

#[allow(dead_code)]
mod voters;

use pepperhook_agreement::majority;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use voters::{FAIR, Weather, World};

/// Ticks within which, all being connected, what is proposed is decided by everyone: 10 s.
const WITHIN: u64 = 200;

/// Plays a seed: 40 s of trouble, then calm. What went wrong, and ticks to the first entry that everyone decided in
/// calm.
fn play(seed: u64, lying: bool) -> (Vec<String>, u64, u64) {
    let mut of = StdRng::seed_from_u64(!seed);
    let count = [3, 5, 3, 5, 3, 5, 2, 4, 7][of.random_range(0..9)];
    let weather = Weather {
        loss: [0.0, 0.05, 0.3][of.random_range(0..3)],
        double: [0.0, 0.2][of.random_range(0..2)],
        delay: [10, 60, 200][of.random_range(0..3)],
        stray: [0.0, 0.05][of.random_range(0..2)],
        disk: [1, 30, 150][of.random_range(0..3)],
        trouble: 0.02,
        lying,
    };
    let mut world = World::new(count, seed, weather);
    for _ in 0..4000 {
        world.trouble();
        world.step();
    }
    let calm = world.calm(WITHIN);
    let mut wrong = std::mem::take(&mut world.checker.wrong);
    if calm.is_none() {
        wrong.push(format!("nothing decided by all within {WITHIN} ticks of calm\n{}", world.report()));
    }
    (wrong, calm.unwrap_or(WITHIN), world.checker.decided.len() as u64)
}

fn again(seed: u64) -> String {
    format!(
        "again: AGREEMENT_SEED={seed} cargo test -p pepperhook-agreement --test voter -- --ignored --nocapture one_seed"
    )
}

/// `seeds` on all cores that are there; the worst calm and the entries decided.
fn play_all(seeds: std::ops::Range<u64>) -> (u64, u64) {
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
                let (wrong, calm, decided) = std::panic::catch_unwind(|| play(seed, false))
                    .unwrap_or_else(|_| panic!("{}", again(seed)));
                assert!(wrong.is_empty(), "{wrong:#?}\n{}", again(seed));
                (worst, entries) = (worst.max(calm), entries + decided);
            }
        };
        let all: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        all.into_iter()
            .map(|t| t.join().expect("a seed that failed"))
            .fold((0, 0), |a, b| (a.0.max(b.0), a.1 + b.1))
    })
}

#[test]
fn some_seeds() {
    let (worst, entries) = play_all(0..96);
    println!("{entries} entries, calm after {worst} ticks at worst");
    assert!(entries > 1_000, "so few entries prove little: {entries}");
}

/// `AGREEMENT_SEEDS=from..to`, 0..5000 if unset.
#[test]
#[ignore = "minutes"]
fn many_seeds() {
    let range = std::env::var("AGREEMENT_SEEDS").unwrap_or_else(|_| "0..5000".into());
    let (from, to) = range.split_once("..").expect("from..to");
    let (worst, entries) = play_all(from.parse().expect("a number")..to.parse().expect("a number"));
    println!("{range}: {entries} entries, calm after {worst} ticks at worst");
}

/// `AGREEMENT_SEED=n`.
#[test]
#[ignore = "plays a seed again"]
fn one_seed() {
    let seed = std::env::var("AGREEMENT_SEED").expect("AGREEMENT_SEED").parse().expect("a number");
    let (wrong, calm, entries) = play(seed, false);
    println!("{seed}: {entries} entries, calm after {calm} ticks");
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Disks that confirm and lose: the checker is worth something only if it sees what follows.
#[test]
fn a_lying_disk_is_caught() {
    let mut caught = 0;
    for seed in 0..60 {
        // Contradicted, a voter may also stop, which ends the run.
        let run = std::panic::catch_unwind(|| play(seed, true));
        caught += u32::from(run.is_ok_and(|(wrong, _, _)| wrong.iter().any(|w| w.contains("others"))));
    }
    println!("{caught} of 60 seeds showed a contradiction");
    assert!(caught > 0);
}

#[test]
fn one_voter_alone_decides_what_is_written() {
    let mut world = World::new(1, 3, FAIR);
    let keys: Vec<u128> = (0..20).filter_map(|_| world.propose(0)).collect();
    assert_eq!(keys.len(), 20);
    assert!(world.checker.decided.is_empty(), "nothing is decided before it is written");
    world.run(4);
    assert!(keys.iter().all(|&k| world.has(0, k)));
    world.kill(0, 100);
    world.run(10);
    assert!(world.is_up(0) && keys.iter().all(|&k| world.has(0, k)));
    assert_eq!(world.checker.wrong, Vec::<String>::new());
}

/// Proposes at everyone each half second until a majority has decided one of these; ticks.
fn progress(world: &mut World, at: &[usize]) -> Option<u64> {
    let mut keys = Vec::new();
    for tick in 0..WITHIN {
        if tick % 10 == 0 {
            for &i in at {
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

/// Everyone reaches one voter only, which does not lead: no other has a majority, so it must come to lead.
#[test]
fn a_majority_that_is_connected_through_one_voter_goes_on() {
    for seed in 0..10 {
        let mut world = World::new(5, seed, FAIR);
        progress(&mut world, &[0]).expect("a start");
        let leader = world.leader().expect("a leader");
        let hub = (leader + 1 + seed as usize % 4) % 5;
        for (a, b) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|&(a, b)| a != hub && b != hub)
        {
            world.cut.insert((a, b));
        }
        let took = progress(&mut world, &[0, 1, 2, 3, 4]);
        assert!(took.is_some_and(|t| t <= 60), "seed {seed}: {took:?}");
        assert_eq!(world.leader().map(|l| l == hub || l == leader), Some(true));
    }
}

/// Three in a chain: the ends do not reach each other.
#[test]
fn a_chain_of_three_goes_on() {
    for seed in 0..10 {
        let mut world = World::new(3, seed, FAIR);
        progress(&mut world, &[0]).expect("a start");
        let leader = world.leader().expect("a leader");
        let far = (leader + 1 + seed as usize % 2) % 3;
        world.cut.extend([(leader, far), (far, leader)]);
        let took = progress(&mut world, &[0, 1, 2]);
        assert!(took.is_some_and(|t| t <= 60), "seed {seed}: {took:?}");
        // And does not change leaders to and fro, which would be no progress in the long run.
        world.run(200);
        let took = progress(&mut world, &[0, 1, 2]);
        assert!(took.is_some_and(|t| t <= 20), "seed {seed}: {took:?}");
    }
}

/// The leader says, but does not hear; or hears, but says nothing.
#[test]
fn a_leader_that_is_cut_one_way_is_replaced() {
    for seed in 0..10 {
        let mut world = World::new(3, seed, FAIR);
        progress(&mut world, &[0]).expect("a start");
        let leader = world.leader().expect("a leader");
        for k in (0..3).filter(|&k| k != leader) {
            world.cut.insert(if seed % 2 == 0 { (leader, k) } else { (k, leader) });
        }
        let took = progress(&mut world, &[0, 1, 2]);
        assert!(took.is_some_and(|t| t <= 60), "seed {seed}: {took:?}");
    }
}

/// An entry of which messages were lost, and none after it: nothing else would bring it round.
#[test]
fn what_was_lost_is_asked_for() {
    let mut behind = 0;
    for seed in 0..40 {
        let mut world = World::new(3, seed, FAIR);
        progress(&mut world, &[0]).expect("a start");
        world.run(20);
        let leader = world.leader().expect("a leader");
        let key = world.propose(leader).expect("taken");
        world.weather.loss = 0.9;
        world.run(1);
        world.weather.loss = 0.0;
        world.run(3);
        let late = !(0..3).all(|i| world.has(i, key));
        world.run(57);
        if world.leader() != Some(leader) {
            // Heartbeats were lost too: the entry went with the leader.
            continue;
        }
        behind += u32::from(late);
        assert!((0..3).all(|i| world.has(i, key)), "seed {seed}\n{}", world.report());
    }
    assert!(behind > 10, "little was lost: {behind}");
}

/// A disk that takes longer than a round of heartbeats does not make leaders come and go.
#[test]
fn disks_of_half_a_second_decide_all_the_same() {
    for seed in 0..6 {
        let mut world = World::new(3, seed, Weather { disk: 600, ..FAIR });
        let took = progress(&mut world, &[0, 1, 2]);
        assert!(took.is_some_and(|t| t <= 150), "seed {seed}: {took:?}");
    }
}

/// Measures, printed with `--nocapture`: messages and syncs of an entry, and the time of an append to all decided.
#[test]
fn what_an_entry_costs() {
    let mut world = World::new(3, 1, FAIR);
    progress(&mut world, &[0, 1, 2]).expect("a start");
    let leader = world.leader().expect("a leader");
    world.run(40);
    let said = world.said;
    world.run(200);
    let longest = world.tap.iter().map(|(_, _, m)| m.len()).max();
    println!(
        "at rest {} messages a second from one to one, of {longest:?} bytes",
        (world.said - said) as f64 / 60.0
    );
    let said = world.said;
    let before: Vec<u64> = (0..3).map(|i| world.syncs(i)).collect();
    let decided = world.checker.decided.len();
    for _ in 0..200 {
        world.propose(leader).expect("taken");
        world.run(2);
    }
    world.run(10);
    let entries = (world.checker.decided.len() - decided) as f64;
    let syncs: Vec<f64> = (0..3).map(|i| (world.syncs(i) - before[i]) as f64 / entries).collect();
    println!("leader {leader}; syncs of an entry {syncs:?}");
    let rest = 48.0 * 0.1;
    println!("messages of an entry, heartbeats aside: {}", (world.said - said) as f64 / entries - rest);
    assert!(syncs.iter().all(|&s| s <= 2.1), "{syncs:?}");
}
