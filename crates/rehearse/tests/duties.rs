//! Shared duties under what goes wrong between fronts: the real code of many fronts on a network in memory.

use pepperhook_rehearse::duties::coverage::{Coverage, RuleLimits, check};
use pepperhook_rehearse::duties::simulation::{Act, Net, Options};

const PERIOD: u64 = 1_000;
const SUSPICION: u64 = 3_000;
/// No node that is there goes without for longer than this, whatever one front does: two periods, and the time
/// after which a silent front is given up.
const GAP: u64 = 2 * PERIOD + SUSPICION;

fn coverage(net: &Net, from_ms: u64) -> Coverage {
    let to_ms = net.now_ms();
    let terms = RuleLimits { period_ms: PERIOD, gap_ms: GAP, window: 5, most: 5 * 5 + 12 };
    check(&net.probes(from_ms, to_ms), &net.lives(from_ms, to_ms), &terms)
}

fn settled(fronts: usize, loss: f64) -> Net {
    let mut net = Net::new(Options { fronts, loss, ..Options::default() });
    net.run(8_000);
    for i in 0..fronts {
        // Where half of what is said is lost, one front or another is given up now and then, and comes back.
        let least = if loss < 0.4 { fronts } else { fronts - 2 };
        assert!(net.view(i).len() >= least, "front {i} knows {:?}", net.view(i));
    }
    net
}

#[test]
fn each_node_is_asked_once_a_period_by_one_of_the_fronts() {
    let mut net = settled(8, 0.0);
    net.run(40_000);
    let c = coverage(&net, 8_000);
    assert!(c.violations.is_empty(), "{c:?}");
    assert!(c.twice < 0.005, "{c:?}");
    // 12 nodes, 32 s; one round in 150 has nobody whose draw is low enough.
    assert!((375..=388).contains(&c.probes), "{c:?}");
}

#[test]
fn a_death_leaves_no_gap_beyond_the_bound() {
    for (loss, twice) in [(0.0, 0.05), (0.2, 0.25), (0.5, 0.55)] {
        let mut net = settled(8, loss);
        for (i, at) in [(1, 10_300), (4, 18_700), (6, 27_150)] {
            net.at(at, Act::Kill(i));
        }
        net.run(38_000);
        let c = coverage(&net, 8_000);
        assert!(c.violations.is_empty() && c.twice < twice, "loss {loss}: {c:?}");
        for i in (0..8).filter(|i| net.front(*i).is_some()) {
            let view = net.view(i);
            assert!(view.iter().all(|j| ![1, 4, 6].contains(j)) && view.len() >= 4, "loss {loss}: {view:?}");
        }
    }
}

#[test]
fn fronts_that_each_believe_to_own_everything_stay_within_the_bound() {
    let mut net = settled(8, 0.0);
    net.at(9_000, Act::CutAll);
    net.run(50_000);
    assert!((0..8).all(|i| net.view(i) == [i]), "each sees itself alone");
    let alone = coverage(&net, 15_000);
    // Every front believes that it owns every duty: what a node hears is bounded by the draws alone.
    assert!(alone.violations.is_empty(), "{alone:?}");
    let a_round = alone.probes as f64 / (12.0 * 35.0);
    assert!((3.0..=5.0).contains(&a_round), "{a_round} a node and period; 5 are the bound");
    net.at(50_000, Act::Heal);
    net.run(75_000);
    assert!((0..8).all(|i| net.view(i).len() == 8), "healed");
    let healed = coverage(&net, 65_000);
    assert!(healed.violations.is_empty() && healed.twice < 0.01, "{healed:?}");
}

#[test]
fn a_partition_has_one_owner_on_each_side_and_heals_however_long_it_lasted() {
    let mut net = settled(8, 0.0);
    net.at(9_000, Act::Cut([0, 1, 2].into()));
    net.run(160_000);
    assert!(net.view(0) == [0, 1, 2] && net.view(5) == [3, 4, 5, 6, 7]);
    let apart = coverage(&net, 20_000);
    assert!(apart.violations.is_empty() && (0.2..=0.5).contains(&apart.twice), "{apart:?}");
    net.at(160_000, Act::Heal);
    net.run(200_000);
    assert!((0..8).all(|i| net.view(i).len() == 8), "longer apart than the given up are remembered");
    let healed = coverage(&net, 190_000);
    assert!(healed.violations.is_empty() && healed.twice < 0.01, "{healed:?}");
}

#[test]
fn loss_in_one_direction_suspects_nobody_for_long() {
    let mut net = settled(8, 0.0);
    for to in 1..4 {
        net.at(9_000, Act::OneWay(0, to));
    }
    net.run(60_000);
    let c = coverage(&net, 9_000);
    // Others ask in the place of those who do not hear front 0: it is not given up, and what it says comes by them.
    assert!(c.violations.is_empty() && c.twice < 0.2, "{c:?}");
    assert!((0..8).all(|i| net.view(i).len() >= 7), "{:?}", (0..8).map(|i| net.view(i)).collect::<Vec<_>>());
}

#[test]
fn a_front_that_restarts_in_the_middle_of_a_round_neither_repeats_nor_leaves_a_gap() {
    let mut net = settled(8, 0.0);
    for at in (10_000..30_000).step_by(2_900) {
        net.at(at + 1, Act::Start(3));
    }
    net.run(40_000);
    let c = coverage(&net, 9_000);
    assert!(c.violations.is_empty() && c.twice < 0.05, "{c:?}");
    assert!((0..8).all(|i| net.view(i).len() == 8));
    let runs = net.front(0).expect("front 0").view()[&pepperhook_rehearse::duties::simulation::number(3)].run;
    assert_eq!(runs, 1_800_000_000_000 + 27_401, "its last run is the one that counts");
}

#[test]
fn a_front_that_stands_still_for_two_seconds_comes_back_without_a_storm() {
    let mut net = settled(8, 0.0);
    net.run(9_000);
    for at in [10_000, 16_000, 22_000] {
        net.at(at, Act::Stall(2, 2_000));
    }
    net.run(30_000);
    let c = coverage(&net, 9_000);
    assert!(c.violations.is_empty() && c.twice < 0.06, "{c:?}");
    // What it missed is not made up for: a node hears one round's worth.
    assert!(c.most_in_window <= 8, "{c:?}");
    assert!((0..8).all(|i| net.view(i).len() == 8), "it was suspected at most, and refuted that");
    let blamed = net.notes.iter().filter(|(_, by, n)| *by == 2 && format!("{n:?}").contains("Down")).count();
    assert_eq!(blamed, 0, "it does not hold its own standing still against the others");
}

#[test]
fn all_fronts_restarted_within_twenty_seconds_leave_no_gap() {
    let mut net = settled(8, 0.2);
    for i in 0..8 {
        net.at(10_000 + 2_400 * i as u64, Act::Leave(i));
        net.at(10_900 + 2_400 * i as u64, Act::Start(i));
    }
    net.run(45_000);
    let c = coverage(&net, 9_000);
    assert!(c.violations.is_empty() && c.twice < 0.3, "{c:?}");
    assert!((0..8).all(|i| net.view(i).len() == 8));
}

#[test]
fn a_clock_that_is_off_or_goes_back_disturbs_nobody() {
    let mut net = Net::new(Options { ..Options::default() });
    net.at(0, Act::SetClock(5, 30_000));
    net.run(8_000);
    net.run(20_000);
    let c = coverage(&net, 8_000);
    assert!(c.violations.is_empty() && c.twice < 0.02, "30 s ahead: {c:?}");
    let off = net.front(5).expect("front 5").offset_ms();
    assert!((off + 30_000).abs() < 300, "it goes by the fleet's clock: {off}");
    // A clock set back while it runs, and one set back over a restart, which makes its run older than the known.
    net.at(20_000, Act::SetClock(2, -30_000));
    net.at(24_000, Act::Kill(5));
    net.at(24_100, Act::SetClock(5, -60_000));
    net.at(24_200, Act::Start(5));
    net.run(45_000);
    let c = coverage(&net, 20_000);
    assert!(c.violations.is_empty() && c.twice < 0.1, "set back: {c:?}");
    assert!((0..8).all(|i| net.view(i).len() == 8), "{:?}", net.view(0));
    let raised = net.notes.iter().any(|(_, by, n)| *by == 5 && format!("{n:?}").starts_with("Run"));
    assert!(raised, "it was told of its later run");
}

#[test]
fn a_member_that_flaps_each_second_costs_others_little() {
    let mut net = settled(8, 0.0);
    for k in 0..15 {
        net.at(10_000 + 1_000 * k, Act::Kill(7));
        net.at(10_500 + 1_000 * k, Act::Start(7));
    }
    net.run(40_000);
    let c = coverage(&net, 9_000);
    assert!(c.violations.is_empty() && c.twice < 0.1, "{c:?}");
    assert!((0..8).all(|i| net.view(i).len() == 8));
}

#[test]
fn two_hundred_and_forty_members_share_their_nodes() {
    let options = Options { fronts: 240, nodes: 40, seeds: 4, ..Options::default() };
    let mut net = Net::new(options);
    net.run(8_000);
    let known: usize = (0..240).map(|i| net.view(i).len()).min().unwrap_or(0);
    assert!(known >= 238, "the front that knows the fewest knows {known}");
    net.at(8_500, Act::Kill(11));
    net.run(16_000);
    let c = coverage(&net, 8_000);
    assert!(c.violations.is_empty() && c.twice < 0.05, "{c:?}");
}

#[test]
fn a_node_that_drains_goes_or_comes_back_is_asked_as_it_stands() {
    let mut net = settled(8, 0.0);
    net.at(10_000, Act::Drain(3, true));
    net.at(14_000, Act::NodeDown(4));
    net.at(17_250, Act::NodeUp(4));
    net.at(20_000, Act::Drain(3, false));
    net.run(30_000);
    let asked = |node: &str, from, to| net.probes(from, to).iter().filter(|p| p.node == node).count();
    assert_eq!(asked("node-3", 10_000, 20_000), 0, "nothing goes to a node that drains");
    assert_eq!(asked("node-4", 14_000, 17_250), 0, "nor to one that is gone");
    assert!(asked("node-4", 17_250, 18_600) >= 1, "one that came back is asked in its next round");
    let c = coverage(&net, 8_000);
    assert!(c.violations.is_empty() && c.twice < 0.02, "{c:?}");
}

#[test]
fn a_duty_that_takes_longer_than_its_period_is_never_done_twice_at_once() {
    let options = Options { limit_ms: 2_500, ..Options::default() };
    let mut net = Net::new(options);
    net.run(8_000);
    net.at(8_000, Act::Takes(1_700, 2_200));
    net.run(12_000);
    // Before they knew of each other some began at once.
    net.most_at_once = 1;
    net.run(40_000);
    let c = coverage(&net, 12_000);
    assert!(c.violations.is_empty() && c.twice < 0.05, "{c:?}");
    assert_eq!(net.most_at_once, 1, "one front at a time");
    // And one that never ends is broken off at its limit.
    net.at(40_000, Act::Takes(60_000, 70_000));
    net.run(60_000);
    assert!(net.counters().iter().map(|c| c.timed_out).sum::<u64>() > 20);
    assert!(net.most_at_once <= 2, "{}", net.most_at_once);
}

#[test]
fn strangers_and_forgers_change_nothing() {
    let mut net = settled(8, 0.0);
    net.at(8_100, Act::Kill(6));
    net.at(8_200, Act::Key(6, "wrong".into()));
    net.at(8_300, Act::Start(6));
    net.run(20_000);
    assert!((0..6).all(|i| net.view(i) == [0, 1, 2, 3, 4, 5, 7]), "a wrong key is no member");
    assert_eq!(net.view(6), [6]);
    let rejected = net.front(0).expect("front 0").counters().rejected.get("key").copied().unwrap_or(0);
    assert!(rejected > 0);
    let c = coverage(&net, 15_000);
    // The stranger asks nodes for itself, within its own part of the bound.
    assert!(c.violations.is_empty() && c.twice < 0.6, "{c:?}");
}

#[test]
fn replayed_truncated_and_oversized_datagrams_change_nothing() {
    let mut net = settled(8, 0.0);
    net.tap = Some(Vec::new());
    net.run(12_000);
    let heard = net.tap.take().expect("what passed");
    assert!(heard.len() > 1_000);
    let before = net.front(2).expect("front 2").counters().rejected.clone();
    for (n, (from, datagram)) in heard.iter().enumerate() {
        // Each once more, from its own and from another's address, cut short, and blown up.
        net.inject(2, *from, datagram.clone());
        net.inject(2, (*from + 1) % 8, datagram.clone());
        net.inject(2, *from, datagram[..n % datagram.len()].to_vec());
        if n % 16 == 0 {
            net.inject(2, *from, [datagram.as_slice(), &[0; 60_000]].concat());
        }
    }
    net.run(30_000);
    let after = &net.front(2).expect("front 2").counters().rejected;
    let more = |why: &str| after.get(why).copied().unwrap_or(0) - before.get(why).copied().unwrap_or(0);
    assert!(more("replay") > 500 && more("form") > 500, "{after:?}");
    let c = coverage(&net, 12_000);
    assert!(c.violations.is_empty() && c.twice < 0.02, "{c:?}");
    assert!((0..8).all(|i| net.view(i).len() == 8));
}
