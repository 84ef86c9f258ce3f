//! Shared duties under network and process faults: the code of many fronts on a simulated network.

use pepperhook_rehearse::duties::coverage::{Coverage, CoverageLimits, check};
use pepperhook_rehearse::duties::simulation::{Action, Options, Simulation};

const PERIOD_MS: u64 = 1_000;
const SUSPICION_MS: u64 = 3_000;
/// Maximum time without a probe of a ready node when one front fails: two periods plus the suspicion timeout.
const MAX_GAP_MS: u64 = 2 * PERIOD_MS + SUSPICION_MS;

/// Checks the probes since `from_ms`.
fn coverage(fleet: &Simulation, from_ms: u64) -> Coverage {
    let to_ms = fleet.now_ms();
    let limits = CoverageLimits {
        period_ms: PERIOD_MS,
        max_gap_ms: MAX_GAP_MS,
        window_periods: 5,
        max_in_window: 5 * 5 + 12,
    };
    check(&fleet.probes(from_ms, to_ms), &fleet.ready_intervals(from_ms, to_ms), &limits)
}

/// A fleet whose fronts know each other, at 8 s.
fn settled(fronts: usize, loss: f64) -> Simulation {
    let mut fleet = Simulation::new(Options { fronts, loss, ..Options::default() });
    fleet.run(8_000);
    for i in 0..fronts {
        // With half of the datagrams lost, a live front is sometimes considered down for a while.
        let min_known = if loss < 0.4 { fronts } else { fronts - 2 };
        assert!(fleet.view(i).len() >= min_known, "front {i} knows {:?}", fleet.view(i));
    }
    fleet
}

#[test]
fn each_node_is_asked_once_a_period_by_one_of_the_fronts() {
    let mut fleet = settled(8, 0.0);
    fleet.run(40_000);
    let c = coverage(&fleet, 8_000);
    assert!(c.violations.is_empty(), "{c:?}");
    assert!(c.duplicate_share < 0.005, "{c:?}");
    // 12 nodes, 32 s; in one round of 150 no front draws a number low enough to act.
    assert!((375..=388).contains(&c.probes), "{c:?}");
}

#[test]
fn a_death_leaves_no_gap_beyond_the_bound() {
    for (loss, max_duplicates) in [(0.0, 0.05), (0.2, 0.25), (0.5, 0.55)] {
        let mut fleet = settled(8, loss);
        for (i, at) in [(1, 10_300), (4, 18_700), (6, 27_150)] {
            fleet.at(at, Action::Kill(i));
        }
        fleet.run(38_000);
        let c = coverage(&fleet, 8_000);
        assert!(c.violations.is_empty() && c.duplicate_share < max_duplicates, "loss {loss}: {c:?}");
        for i in (0..8).filter(|i| fleet.front(*i).is_some()) {
            let view = fleet.view(i);
            assert!(view.iter().all(|j| ![1, 4, 6].contains(j)) && view.len() >= 4, "loss {loss}: {view:?}");
        }
    }
}

#[test]
fn fronts_that_each_believe_to_own_everything_stay_within_the_bound() {
    let mut fleet = settled(8, 0.0);
    fleet.at(9_000, Action::IsolateAll);
    fleet.run(50_000);
    assert!((0..8).all(|i| fleet.view(i) == [i]), "each sees itself alone");
    let alone = coverage(&fleet, 15_000);
    // Every front believes that it owns every duty: only the random draws limit the probes at a node.
    assert!(alone.violations.is_empty(), "{alone:?}");
    let per_round = alone.probes as f64 / (12.0 * 35.0);
    assert!((3.0..=5.0).contains(&per_round), "{per_round} per node and period; the limit is 5");
    fleet.at(50_000, Action::Heal);
    fleet.run(75_000);
    assert!((0..8).all(|i| fleet.view(i).len() == 8), "healed");
    let healed = coverage(&fleet, 65_000);
    assert!(healed.violations.is_empty() && healed.duplicate_share < 0.01, "{healed:?}");
}

#[test]
fn a_partition_has_one_owner_on_each_side_and_heals_however_long_it_lasted() {
    let mut fleet = settled(8, 0.0);
    fleet.at(9_000, Action::Partition([0, 1, 2].into()));
    fleet.run(160_000);
    assert!(fleet.view(0) == [0, 1, 2] && fleet.view(5) == [3, 4, 5, 6, 7]);
    let apart = coverage(&fleet, 20_000);
    assert!(apart.violations.is_empty() && (0.2..=0.5).contains(&apart.duplicate_share), "{apart:?}");
    fleet.at(160_000, Action::Heal);
    fleet.run(200_000);
    assert!(
        (0..8).all(|i| fleet.view(i).len() == 8),
        "partitioned for longer than members that are down are remembered"
    );
    let healed = coverage(&fleet, 190_000);
    assert!(healed.violations.is_empty() && healed.duplicate_share < 0.01, "{healed:?}");
}

#[test]
fn loss_in_one_direction_suspects_nobody_for_long() {
    let mut fleet = settled(8, 0.0);
    for to in 1..4 {
        fleet.at(9_000, Action::CutOneWay(0, to));
    }
    fleet.run(60_000);
    let c = coverage(&fleet, 9_000);
    // Other members probe front 0 for those that do not receive its datagrams, and relay its state: it stays in the view.
    assert!(c.violations.is_empty() && c.duplicate_share < 0.2, "{c:?}");
    assert!(
        (0..8).all(|i| fleet.view(i).len() >= 7),
        "{:?}",
        (0..8).map(|i| fleet.view(i)).collect::<Vec<_>>()
    );
}

#[test]
fn a_front_that_restarts_in_the_middle_of_a_round_neither_repeats_nor_leaves_a_gap() {
    let mut fleet = settled(8, 0.0);
    for at in (10_000..30_000).step_by(2_900) {
        fleet.at(at + 1, Action::Start(3));
    }
    fleet.run(40_000);
    let c = coverage(&fleet, 9_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.05, "{c:?}");
    assert!((0..8).all(|i| fleet.view(i).len() == 8));
    let runs =
        fleet.front(0).expect("front 0").view()[&pepperhook_rehearse::duties::simulation::number(3)].run;
    assert_eq!(runs, 1_800_000_000_000 + 27_401, "its last run is the one that counts");
}

#[test]
fn a_front_that_stands_still_for_two_seconds_comes_back_without_a_storm() {
    let mut fleet = settled(8, 0.0);
    fleet.run(9_000);
    for at in [10_000, 16_000, 22_000] {
        fleet.at(at, Action::Stall(2, 2_000));
    }
    fleet.run(30_000);
    let c = coverage(&fleet, 9_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.06, "{c:?}");
    // Missed rounds are not caught up: a node gets the probes of one round.
    assert!(c.max_in_window <= 8, "{c:?}");
    assert!((0..8).all(|i| fleet.view(i).len() == 8), "it was only suspected, and refuted that");
    let wrongly_down =
        fleet.notes.iter().filter(|(_, by, n)| *by == 2 && format!("{n:?}").contains("Down")).count();
    assert_eq!(wrongly_down, 0, "its own suspension does not make it consider others down");
}

#[test]
fn all_fronts_restarted_within_twenty_seconds_leave_no_gap() {
    let mut fleet = settled(8, 0.2);
    for i in 0..8 {
        fleet.at(10_000 + 2_400 * i as u64, Action::Leave(i));
        fleet.at(10_900 + 2_400 * i as u64, Action::Start(i));
    }
    fleet.run(45_000);
    let c = coverage(&fleet, 9_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.3, "{c:?}");
    assert!((0..8).all(|i| fleet.view(i).len() == 8));
}

#[test]
fn a_clock_that_is_off_or_goes_back_disturbs_nobody() {
    let mut fleet = Simulation::new(Options { ..Options::default() });
    fleet.at(0, Action::ShiftClock(5, 30_000));
    fleet.run(8_000);
    fleet.run(20_000);
    let c = coverage(&fleet, 8_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.02, "30 s ahead: {c:?}");
    let off = fleet.front(5).expect("front 5").offset_ms();
    assert!((off + 30_000).abs() < 300, "it uses the clock of the fleet: {off}");
    // One clock is set back while the front runs; one over a restart, so that its new run number is below the known one.
    fleet.at(20_000, Action::ShiftClock(2, -30_000));
    fleet.at(24_000, Action::Kill(5));
    fleet.at(24_100, Action::ShiftClock(5, -60_000));
    fleet.at(24_200, Action::Start(5));
    fleet.run(45_000);
    let c = coverage(&fleet, 20_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.1, "set back: {c:?}");
    assert!((0..8).all(|i| fleet.view(i).len() == 8), "{:?}", fleet.view(0));
    let raised = fleet.notes.iter().any(|(_, by, n)| *by == 5 && format!("{n:?}").starts_with("Run"));
    assert!(raised, "it raised its run number above the known one");
}

#[test]
fn a_member_that_flaps_each_second_costs_others_little() {
    let mut fleet = settled(8, 0.0);
    for k in 0..15 {
        fleet.at(10_000 + 1_000 * k, Action::Kill(7));
        fleet.at(10_500 + 1_000 * k, Action::Start(7));
    }
    fleet.run(40_000);
    let c = coverage(&fleet, 9_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.1, "{c:?}");
    assert!((0..8).all(|i| fleet.view(i).len() == 8));
}

#[test]
fn two_hundred_and_forty_members_share_their_nodes() {
    let options = Options { fronts: 240, nodes: 40, seeds: 4, ..Options::default() };
    let mut fleet = Simulation::new(options);
    fleet.run(8_000);
    let known: usize = (0..240).map(|i| fleet.view(i).len()).min().unwrap_or(0);
    assert!(known >= 238, "the front that knows the fewest knows {known}");
    fleet.at(8_500, Action::Kill(11));
    fleet.run(16_000);
    let c = coverage(&fleet, 8_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.05, "{c:?}");
}

#[test]
fn a_node_that_drains_goes_or_comes_back_is_asked_as_it_stands() {
    let mut fleet = settled(8, 0.0);
    fleet.at(10_000, Action::Drain(3, true));
    fleet.at(14_000, Action::NodeDown(4));
    fleet.at(17_250, Action::NodeUp(4));
    fleet.at(20_000, Action::Drain(3, false));
    fleet.run(30_000);
    let asked = |node: &str, from, to| fleet.probes(from, to).iter().filter(|p| p.node == node).count();
    assert_eq!(asked("node-3", 10_000, 20_000), 0, "a draining node is not probed");
    assert_eq!(asked("node-4", 14_000, 17_250), 0, "a stopped node is not probed");
    assert!(asked("node-4", 17_250, 18_600) >= 1, "a restarted node is probed in its next round");
    let c = coverage(&fleet, 8_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.02, "{c:?}");
}

#[test]
fn a_duty_that_takes_longer_than_its_period_is_never_done_twice_at_once() {
    let options = Options { timeout_ms: 2_500, ..Options::default() };
    let mut fleet = Simulation::new(options);
    fleet.run(8_000);
    fleet.at(8_000, Action::SetDuration(1_700, 2_200));
    fleet.run(12_000);
    // Runs that started before the fronts knew each other may overlap.
    fleet.max_concurrent = 1;
    fleet.run(40_000);
    let c = coverage(&fleet, 12_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.05, "{c:?}");
    assert_eq!(fleet.max_concurrent, 1, "one front at a time");
    // A run that does not end is cancelled at its timeout.
    fleet.at(40_000, Action::SetDuration(60_000, 70_000));
    fleet.run(60_000);
    assert!(fleet.counters().iter().map(|c| c.timed_out).sum::<u64>() > 20);
    assert!(fleet.max_concurrent <= 2, "{}", fleet.max_concurrent);
}

#[test]
fn strangers_and_forgers_change_nothing() {
    let mut fleet = settled(8, 0.0);
    fleet.at(8_100, Action::Kill(6));
    fleet.at(8_200, Action::SetKey(6, "wrong".into()));
    fleet.at(8_300, Action::Start(6));
    fleet.run(20_000);
    assert!((0..6).all(|i| fleet.view(i) == [0, 1, 2, 3, 4, 5, 7]), "a wrong key is no member");
    assert_eq!(fleet.view(6), [6]);
    let rejected =
        fleet.front(0).expect("front 0").exchange_counters().rejected.get("key").copied().unwrap_or(0);
    assert!(rejected > 0);
    let c = coverage(&fleet, 15_000);
    // The front with the wrong key probes nodes on its own, within its share of the limit.
    assert!(c.violations.is_empty() && c.duplicate_share < 0.6, "{c:?}");
}

#[test]
fn replayed_truncated_and_oversized_datagrams_change_nothing() {
    let mut fleet = settled(8, 0.0);
    fleet.tap = Some(Vec::new());
    fleet.run(12_000);
    let captured = fleet.tap.take().expect("captured datagrams");
    assert!(captured.len() > 1_000);
    let before = fleet.front(2).expect("front 2").exchange_counters().rejected.clone();
    for (n, (from, datagram)) in captured.iter().enumerate() {
        // Each datagram again: from its own and from another address, truncated, and oversized.
        fleet.inject(2, *from, datagram.clone());
        fleet.inject(2, (*from + 1) % 8, datagram.clone());
        fleet.inject(2, *from, datagram[..n % datagram.len()].to_vec());
        if n % 16 == 0 {
            fleet.inject(2, *from, [datagram.as_slice(), &[0; 60_000]].concat());
        }
    }
    fleet.run(30_000);
    let after = &fleet.front(2).expect("front 2").exchange_counters().rejected;
    let more = |why: &str| after.get(why).copied().unwrap_or(0) - before.get(why).copied().unwrap_or(0);
    assert!(more("replay") > 500 && more("form") > 500, "{after:?}");
    let c = coverage(&fleet, 12_000);
    assert!(c.violations.is_empty() && c.duplicate_share < 0.02, "{c:?}");
    assert!((0..8).all(|i| fleet.view(i).len() == 8));
}
