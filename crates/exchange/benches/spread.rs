//! Bytes a second a front, and time until all hold a new record, by number of fronts and loss; over a network in
//! memory, in one process: `cargo bench -p pepperhook-exchange`.

use pepperhook_exchange::{Exchange, Id, Keys, Output, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;

const RECORDS: u64 = 20;
const SECONDS: u64 = 30;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 9))
}

/// Bytes a second a front once all is known, and seconds until a new record is known to all.
fn run(n: usize, loss: f64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(3);
    let by_address: HashMap<SocketAddr, usize> = (0..n).map(|i| (address(i), i)).collect();
    let mut fronts: Vec<Exchange> = (0..n)
        .map(|i| {
            let peers = (0..n).filter(|j| *j != i).map(address).collect();
            let keys = Keys::new("k", None);
            let s = Settings {
                me: i as u64 + 1,
                run: 1,
                keys,
                peers,
                period_ms: 1_000,
                fanout: 2,
                seed: i as u64,
            };
            Exchange::new(s, Vec::new(), 0)
        })
        .collect();
    let mut now = 10_000u64;
    let mut wire: Vec<(usize, SocketAddr, Vec<u8>)> = Vec::new();
    let mut step = |fronts: &mut Vec<Exchange>, wire: &mut Vec<(usize, SocketAddr, Vec<u8>)>, now: u64| {
        let mut sent = Vec::new();
        for (i, front) in fronts.iter_mut().enumerate() {
            let mut out = Vec::new();
            front.tick(now, &mut out);
            sent.extend(out.into_iter().map(|o| (i, o)));
        }
        for (i, from, datagram) in wire.drain(..) {
            let mut out = Vec::new();
            let _ = fronts[i].receive(now, from, &datagram, &mut out);
            sent.extend(out.into_iter().map(|o| (i, o)));
        }
        for (from, o) in sent {
            if let Output::Send(to, datagram) = o {
                if !rng.random_bool(loss) {
                    wire.push((by_address[&to], address(from), datagram));
                }
            }
        }
    };
    for number in 0..RECORDS {
        let i = number as usize * 7 % n;
        let mut out = Vec::new();
        fronts[i].put(now, Id { space: 1, number }, now + 3_600_000, vec![7; 250], &mut out);
    }
    let settled = |fronts: &[Exchange], count: usize| fronts.iter().all(|f| f.records().len() == count);
    while !settled(&fronts, RECORDS as usize) && now < 200_000 {
        now += 20;
        step(&mut fronts, &mut wire, now);
    }
    let before: u64 = fronts.iter().map(|f| f.counters().sent_bytes).sum();
    for _ in 0..SECONDS * 50 {
        now += 20;
        step(&mut fronts, &mut wire, now);
    }
    let after: u64 = fronts.iter().map(|f| f.counters().sent_bytes).sum();
    let mut out = Vec::new();
    fronts[0].put(now, Id { space: 1, number: RECORDS }, now + 3_600_000, vec![7; 250], &mut out);
    let begin = now;
    while !settled(&fronts, RECORDS as usize + 1) && now < begin + 200_000 {
        now += 20;
        step(&mut fronts, &mut wire, now);
    }
    ((after - before) as f64 / SECONDS as f64 / n as f64, (now - begin) as f64 / 1e3)
}

fn main() {
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    println!("| fronts | loss | bytes a second a front, at rest | seconds until all know a new record |");
    println!("| --- | --- | --- | --- |");
    for n in [10, 80, 240] {
        for loss in [0.0, 0.2, 0.5] {
            let (bytes, seconds) = run(n, loss);
            println!("| {n} | {:.0}% | {bytes:.0} | {seconds:.1} |", loss * 100.0);
        }
    }
}
