//! Time of planning by number of nodes and peaks, with the linear program and greedily:
//! `cargo bench -p pepperhook-peaks`.

use pepperhook_peaks::plan::{Demand, NodeLimit, Problem, fits, greedy, solve};
use std::time::Instant;

/// Runs of which the median is taken.
const ROUNDS: usize = 7;

/// Peaks of one title on six nodes each, which together demand half of the capacity that may be reserved.
fn problem(nodes: usize, peaks: usize) -> Problem {
    let racks = (nodes / 4).max(1);
    let kb = 6_000.0;
    let total_kb = kb * nodes as f64;
    Problem {
        nodes: (0..nodes)
            .map(|i| NodeLimit { rack: i % racks, kb: kb * (0.8 + (i * 7 % 5) as f64 / 10.0) })
            .collect(),
        racks: vec![kb * 4.0 * 0.8; racks],
        demands: (0..peaks)
            .map(|p| Demand {
                kb: total_kb * 0.5 / peaks as f64,
                holders: (0..6.min(nodes)).map(|h| (p * 11 + h) % nodes).collect(),
                order: p,
            })
            .collect(),
    }
}

/// Median time of a run, milliseconds.
fn median_ms(run: impl Fn()) -> f64 {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let begin = Instant::now();
            run();
            begin.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

fn main() {
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    println!(
        "| nodes | peaks | solved ms | greedy ms | solved holds | greedy holds | fullest, solved | fullest, greedy |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for nodes in [12, 60, 200] {
        for peaks in [1, 5, 20, 50] {
            let p = problem(nodes, peaks);
            let total_kb: f64 = p.demands.iter().map(|n| n.kb).sum();
            let greedy_plan = greedy(&p);
            let placed_share = |plan: &pepperhook_peaks::plan::Plan| {
                (0..peaks).map(|i| plan.allocated_kb(i)).sum::<f64>() / total_kb
            };
            let greedy_ms = median_ms(|| {
                std::hint::black_box(greedy(&p));
            });
            let solved = solve(&p);
            let (ms, holds, fullest) = match &solved {
                Some(plan) => {
                    assert!(fits(&p, plan));
                    let ms = median_ms(|| {
                        std::hint::black_box(solve(&p));
                    });
                    (
                        format!("{ms:.2}"),
                        format!("{:.3}", placed_share(plan)),
                        format!("{:.2}", plan.max_utilisation(&p)),
                    )
                }
                None => ("-".into(), "-".into(), "-".into()),
            };
            println!(
                "| {nodes} | {peaks} | {ms} | {greedy_ms:.2} | {holds} | {:.3} | {fullest} | {:.2} |",
                placed_share(&greedy_plan),
                greedy_plan.max_utilisation(&p)
            );
        }
    }
}
