//! Traffic per front and the time until all fronts hold a new record, by number of fronts and packet loss,
//! over an in-memory network in one process: `cargo bench -p pepperhook-exchange`.

use pepperhook_exchange::{Exchange, Id, Keys, Output, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Records held while the traffic is measured.
const RECORDS: u64 = 20;
/// Time over which the traffic is measured, seconds.
const MEASURED_SECONDS: u64 = 30;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 9))
}

/// Returns the bytes per second and front once all records are known, and the seconds until all know a new
/// record.
fn measure(front_count: usize, loss: f64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(3);
    let by_address: HashMap<SocketAddr, usize> = (0..front_count).map(|i| (address(i), i)).collect();
    let mut fronts: Vec<Exchange> = (0..front_count)
        .map(|i| {
            let peers = (0..front_count).filter(|j| *j != i).map(address).collect();
            let keys = Keys::new("k", None);
            let settings = Settings {
                me: i as u64 + 1,
                run: 1,
                keys,
                peers,
                period_ms: 1_000,
                fanout: 2,
                seed: i as u64,
            };
            Exchange::new(settings, Vec::new(), 0)
        })
        .collect();
    let mut now_ms = 10_000u64;
    let mut in_flight: Vec<(usize, SocketAddr, Vec<u8>)> = Vec::new();
    let mut step =
        |fronts: &mut Vec<Exchange>, in_flight: &mut Vec<(usize, SocketAddr, Vec<u8>)>, now_ms: u64| {
            let mut sent = Vec::new();
            for (i, front) in fronts.iter_mut().enumerate() {
                let mut out = Vec::new();
                front.tick(now_ms, &mut out);
                sent.extend(out.into_iter().map(|o| (i, o)));
            }
            for (i, from, datagram) in in_flight.drain(..) {
                let mut out = Vec::new();
                let _ = fronts[i].receive(now_ms, from, &datagram, &mut out);
                sent.extend(out.into_iter().map(|o| (i, o)));
            }
            for (from, output) in sent {
                if let Output::Send(to, datagram) = output {
                    if !rng.random_bool(loss) {
                        in_flight.push((by_address[&to], address(from), datagram));
                    }
                }
            }
        };
    for number in 0..RECORDS {
        let i = number as usize * 7 % front_count;
        let mut out = Vec::new();
        fronts[i].put(now_ms, Id { space: 1, number }, now_ms + 3_600_000, vec![7; 250], &mut out);
    }
    let converged = |fronts: &[Exchange], count: usize| fronts.iter().all(|f| f.records().len() == count);
    while !converged(&fronts, RECORDS as usize) && now_ms < 200_000 {
        now_ms += 20;
        step(&mut fronts, &mut in_flight, now_ms);
    }
    let before: u64 = fronts.iter().map(|f| f.counters().sent_bytes).sum();
    for _ in 0..MEASURED_SECONDS * 50 {
        now_ms += 20;
        step(&mut fronts, &mut in_flight, now_ms);
    }
    let after: u64 = fronts.iter().map(|f| f.counters().sent_bytes).sum();
    let mut out = Vec::new();
    fronts[0].put(now_ms, Id { space: 1, number: RECORDS }, now_ms + 3_600_000, vec![7; 250], &mut out);
    let begin = now_ms;
    while !converged(&fronts, RECORDS as usize + 1) && now_ms < begin + 200_000 {
        now_ms += 20;
        step(&mut fronts, &mut in_flight, now_ms);
    }
    ((after - before) as f64 / MEASURED_SECONDS as f64 / front_count as f64, (now_ms - begin) as f64 / 1e3)
}

fn main() {
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    println!("| fronts | loss | bytes a second a front, at rest | seconds until all know a new record |");
    println!("| --- | --- | --- | --- |");
    for n in [10, 80, 240] {
        for loss in [0.0, 0.2, 0.5] {
            let (bytes, seconds) = measure(n, loss);
            println!("| {n} | {:.0}% | {bytes:.0} | {seconds:.1} |", loss * 100.0);
        }
    }
}
