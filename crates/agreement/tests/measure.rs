//! Measures latency, traffic and disk syncs of the agreement in one process: `cargo test --release -p
//! pepperhook-agreement --test measure -- --ignored --nocapture`.

mod sim;

use rand::Rng;
use sim::World;

fn percentiles(mut values: Vec<u64>) -> String {
    values.sort_unstable();
    let at = |p: usize| {
        values.get((values.len() * p / 100).min(values.len().saturating_sub(1))).copied().unwrap_or(0)
    };
    format!("{} / {} / {}", at(50), at(99), values.last().copied().unwrap_or(0))
}

#[test]
#[ignore = "prints figures"]
fn measure() {
    println!(
        "| fronts | loss | ms until applied everywhere, p50 / p99 / max | ms until stable | idle bytes/s per learner | idle bytes/s per voter | expired leases per front and hour |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for n in [9, 240] {
        for loss in [0.0, 0.2, 0.5] {
            let mut world = World::new(n, 5, 77, loss);
            // The application confirms an entry at once.
            world.fronts.values_mut().for_each(|f| f.confirm_delay_ms = 0);
            world.run_until(60_000, |w| w.leaseholders() as u64 * 100 >= n * 95);
            world.run_for(2_000);
            let (expired_before, since) = (world.expired_leases, world.now);
            let (mut applied_ms, mut stable_ms) = (Vec::new(), Vec::new());
            for i in 0..if n > 20 { 60 } else { 200 } {
                let proposer = world.random.random_range(1..=n);
                let number = world.checker.len() + 1;
                let started_ms = world.now;
                world.put(proposer, i % 8, 200);
                let applied_everywhere = |w: &World| {
                    w.fronts
                        .values()
                        .all(|f| f.node.as_ref().is_some_and(|n| n.registers().number() >= number))
                };
                applied_ms.extend(world.run_until(60_000, applied_everywhere));
                world.run_until(60_000, |w| w.node(proposer).stable() >= number);
                stable_ms.push(world.now - started_ms);
                let ms = world.random.random_range(0..1_500);
                world.run_for(ms);
            }
            world.run_for(3_000);
            let before = world.sent.clone();
            world.run_for(10_000);
            let rate = |f: u64| (world.sent[&f] - before[&f]) / 10;
            let voters: u64 = (1..=5).map(rate).sum::<u64>() / 5;
            let learners: u64 = (6..=n).map(rate).sum::<u64>() / (n - 5);
            let hours = (world.now - since) as f64 * n as f64 / 3_600_000.0;
            println!(
                "| {n} | {loss} | {} | {} | {learners} | {voters} | {:.1} |",
                percentiles(applied_ms),
                percentiles(stable_ms),
                (world.expired_leases - expired_before) as f64 / hours
            );
            assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
        }
    }
    let mut world = World::new(9, 5, 78, 0.0);
    world.fronts.values_mut().for_each(|f| f.confirm_delay_ms = 0);
    world.run_until(60_000, World::all_hold_leases);
    let syncs = |w: &World| w.fronts.values().map(|f| f.syncs).sum::<u64>();
    let before = syncs(&world);
    for i in 0..100 {
        world.put(1 + i % 9, i % 8, 200);
        world.run_for(300);
    }
    println!(
        "syncs per entry, one entry at a time, all voters together: {}",
        (syncs(&world) - before) as f64 / world.checker.len() as f64
    );
    world.kill(9);
    let (entries_before, started_ms, syncs_before) = (world.checker.len(), world.now, syncs(&world));
    let mut i = 0;
    while world.checker.len() < entries_before + 10_000 {
        for _ in 0..10 {
            i += 1;
            world.put(1 + i % 8, i % 200, 60);
        }
        world.run_for(100);
        assert!(world.now < started_ms + 600_000, "{}", world.report());
    }
    let entries = world.checker.len() - entries_before;
    println!(
        "{entries} entries of 60 bytes in {} s, syncs per entry {:.2}",
        (world.now - started_ms) / 1_000,
        (syncs(&world) - syncs_before) as f64 / entries as f64
    );
    world.run_for(3_000);
    println!("a voter buffers {} bytes for other fronts", world.node(1).view(0).buffered_bytes);
    let (datagrams, restarted_ms) = (world.datagrams, world.now);
    world.restart(9);
    let took = world.run_until(120_000, |w| w.node(9).registers().number() == w.checker.len());
    println!(
        "a front that missed {entries} entries has caught up after {took:?} ms; {} datagrams of all fronts in that time",
        world.datagrams - datagrams
    );
    let took = world.run_until(120_000, |w| w.all_hold_leases());
    println!("and holds a lease after {:?} ms", took.map(|_| world.now - restarted_ms));
    println!("datagrams dropped above 128 per second: {}", world.dropped);
}
