//! What agreement costs, in one process: `cargo test --release -p pepperhook-agreement --test measure -- --ignored
//! --nocapture`.

mod sim;

use rand::Rng;
use sim::World;

fn percentiles(mut of: Vec<u64>) -> String {
    of.sort_unstable();
    let at = |p: usize| of.get((of.len() * p / 100).min(of.len().saturating_sub(1))).copied().unwrap_or(0);
    format!("{} / {} / {}", at(50), at(99), of.last().copied().unwrap_or(0))
}

#[test]
#[ignore = "prints figures"]
fn measure() {
    println!(
        "| fronts | lost | ms to applied everywhere, p50 / p99 / most | ms to settled | bytes/s idle, a front | a voter | holds lapsed, a front and hour |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for n in [9, 240] {
        for loss in [0.0, 0.2, 0.5] {
            let mut world = World::new(n, 5, 77, loss);
            // The application goes by an entry at once.
            world.fronts.values_mut().for_each(|f| f.slow = 0);
            world.until(60_000, |w| w.holders() as u64 * 100 >= n * 95);
            world.pass(2_000);
            let (lapses, since) = (world.lapses, world.now);
            let (mut applied, mut settled) = (Vec::new(), Vec::new());
            for i in 0..if n > 20 { 60 } else { 200 } {
                let who = world.random.random_range(1..=n);
                let number = world.checker.len() + 1;
                let began = world.now;
                world.put(who, i % 8, 200);
                let all = |w: &World| {
                    w.fronts
                        .values()
                        .all(|f| f.node.as_ref().is_some_and(|n| n.registers().number() >= number))
                };
                applied.extend(world.until(60_000, all));
                world.until(60_000, |w| w.node(who).stable() >= number);
                settled.push(world.now - began);
                let ms = world.random.random_range(0..1_500);
                world.pass(ms);
            }
            world.pass(3_000);
            let before = world.sent.clone();
            world.pass(10_000);
            let rate = |f: u64| (world.sent[&f] - before[&f]) / 10;
            let voters: u64 = (1..=5).map(rate).sum::<u64>() / 5;
            let rest: u64 = (6..=n).map(rate).sum::<u64>() / (n - 5);
            let hours = (world.now - since) as f64 * n as f64 / 3_600_000.0;
            println!(
                "| {n} | {loss} | {} | {} | {rest} | {voters} | {:.1} |",
                percentiles(applied),
                percentiles(settled),
                (world.lapses - lapses) as f64 / hours
            );
            assert!(world.checker.wrong.is_empty(), "{:?}", world.checker.wrong);
        }
    }
    let mut world = World::new(9, 5, 78, 0.0);
    world.fronts.values_mut().for_each(|f| f.slow = 0);
    world.until(60_000, World::all_hold);
    let syncs = |w: &World| w.fronts.values().map(|f| f.syncs).sum::<u64>();
    let before = syncs(&world);
    for i in 0..100 {
        world.put(1 + i % 9, i % 8, 200);
        world.pass(300);
    }
    println!(
        "syncs an entry, one at a time, all voters together: {}",
        (syncs(&world) - before) as f64 / world.checker.len() as f64
    );
    world.kill(9);
    let (missed, began, before) = (world.checker.len(), world.now, syncs(&world));
    let mut i = 0;
    while world.checker.len() < missed + 10_000 {
        for _ in 0..10 {
            i += 1;
            world.put(1 + i % 8, i % 200, 60);
        }
        world.pass(100);
        assert!(world.now < began + 600_000, "{}", world.report());
    }
    let entries = world.checker.len() - missed;
    println!(
        "{entries} entries of 60 bytes in {} s, syncs an entry {:.2}",
        (world.now - began) / 1_000,
        (syncs(&world) - before) as f64 / entries as f64
    );
    world.pass(3_000);
    println!("a voter keeps {} bytes for others", world.node(1).view(0).buffered_bytes);
    let (datagrams, at) = (world.datagrams, world.now);
    world.restart(9);
    let took = world.until(120_000, |w| w.node(9).registers().number() == w.checker.len());
    println!(
        "a front that missed {entries} has all after {took:?} ms, {} datagrams of all fronts meanwhile",
        world.datagrams - datagrams
    );
    let took = world.until(120_000, |w| w.all_hold());
    println!("and holds after {:?} ms", took.map(|_| world.now - at));
    println!("datagrams dropped beyond 128 a second: {}", world.dropped);
}
