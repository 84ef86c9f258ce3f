//! Peaks that start early, late or never, change or overlap, while nodes join, drain and fail.

use super::*;
use crate::announcement::tests::{TestCatalogue, announcement};

const START: u64 = 1_000_000;

fn limits() -> ReservationLimits {
    ReservationLimits { max_share: 0.5, fronts: 2.0, no_show_after_ms: 30_000, max_peaks: 8 }
}

/// Six nodes of 12 MB/s in three racks.
fn with_six_nodes() -> Reservations {
    let mut reservations = Reservations::new(limits(), 6, 20_000.0);
    reservations.set_nodes((0..6).map(node).collect());
    reservations
}

fn node(i: u32) -> NodeCapacity {
    NodeCapacity { server: ServerId(i), cell: i, rack: i % 3, link_kb: 12_000.0, ready: true, warm_at_ms: 0 }
}

/// Announces ten viewers at 600 kB a second, thirty after a minute, and five after two.
fn announce(reservations: &mut Reservations, now: u64) -> u64 {
    let peak = reservations.admit(now, 7, &announcement(), &TestCatalogue).expect("enough capacity");
    reservations.insert(peak);
    7
}

fn reserved_kb(reservations: &Reservations) -> f64 {
    reservations.peaks.values().flat_map(|e| &e.reserved).map(|(_, kb)| kb).sum()
}

fn approximately(a: f64, b: f64) -> bool {
    (a - b).abs() <= 0.03 * b.max(1.0)
}

#[test]
fn capacity_is_reserved_from_the_lead_to_the_end_and_reported_once() {
    let mut reservations = with_six_nodes();
    announce(&mut reservations, START - 100_000);
    assert!(reservations.replan(START - 60_001).is_empty());
    let updates = reservations.replan(START - 60_000);
    assert_eq!((updates.len(), updates[0].reservation.titles.as_slice()), (1, &[TitleId(1)][..]));
    assert!(approximately(reserved_kb(&reservations), 6_000.0));
    assert!(updates[0].reservation.servers.iter().all(|(s, _)| s.0 < 4), "only on nodes that hold the title");
    assert!(reservations.replan(START - 59_000).is_empty(), "nothing changed");
    reservations.replan(START + 1_000);
    assert!(approximately(reserved_kb(&reservations), 6_000.0));
    let released = reservations.replan(START + 300_000);
    assert_eq!((released.len(), released[0].reservation.servers.len()), (1, 0));
}

#[test]
fn viewers_who_come_early_reduce_the_reservation() {
    let mut reservations = with_six_nodes();
    announce(&mut reservations, START - 100_000);
    reservations.replan(START - 50_000);
    for n in 0..3 {
        reservations.session_started(n, TitleId(1));
        reservations.replan(START - 40_000 + n * 1_000);
        // Each session of this front counts as two viewers, because there are two fronts.
        assert!(
            approximately(reserved_kb(&reservations), 6_000.0 - 1_200.0 * (n + 1) as f64),
            "{}",
            reserved_kb(&reservations)
        );
    }
    reservations.session_ended(0);
    reservations.replan(START - 30_000);
    assert!(
        approximately(reserved_kb(&reservations), 6_000.0 - 2_400.0),
        "capacity is reserved again for a viewer who left"
    );
    (10..20).for_each(|n| reservations.session_started(n, TitleId(1)));
    reservations.replan(START - 20_000);
    assert_eq!(reserved_kb(&reservations), 0.0, "more viewers than expected have come: nothing is reserved");
    reservations.session_started(30, TitleId(2));
    assert_eq!(reservations.peaks[&7].sessions.len(), 12, "sessions of other titles do not count");
}

#[test]
fn a_late_peak_keeps_capacity_for_its_arrivals_and_one_without_viewers_releases_it() {
    let mut never = with_six_nodes();
    announce(&mut never, START - 100_000);
    never.replan(START + 29_999);
    assert!(approximately(reserved_kb(&never), 6_000.0));
    never.replan(START + 30_000);
    assert_eq!(reserved_kb(&never), 0.0);
    assert_eq!(never.rows(START + 30_000)[0].state, "late");
    let mut late = with_six_nodes();
    announce(&mut late, START - 100_000);
    (0..2).for_each(|n| late.session_started(n, TitleId(1)));
    late.replan(START + 30_000);
    // Two sessions here count as four viewers; capacity for four more stays reserved.
    assert!(approximately(reserved_kb(&late), 2_400.0), "{}", reserved_kb(&late));
    (2..4).for_each(|n| late.session_started(n, TitleId(1)));
    late.replan(START + 31_000);
    assert!(
        reserved_kb(&late) > 1_000.0,
        "the reservation grows with the arrivals, up to what was announced"
    );
}

#[test]
fn a_running_peak_can_be_amended_or_cancelled() {
    let mut reservations = with_six_nodes();
    announce(&mut reservations, START - 100_000);
    reservations.replan(START);
    let amend = |reservations: &mut Reservations, change: &dyn Fn(&mut Announcement)| {
        let mut amended = announcement();
        change(&mut amended);
        let peak = reservations.admit(START + 1_000, 7, &amended, &TestCatalogue).expect("enough capacity");
        reservations.insert(peak);
        reservations.replan(START + 1_000)
    };
    amend(&mut reservations, &|a| a.viewers = vec![(0, 4)]);
    assert!(approximately(reserved_kb(&reservations), 2_400.0));
    amend(&mut reservations, &|a| a.viewers = vec![(0, 30)]);
    assert!(approximately(reserved_kb(&reservations), 18_000.0));
    let updates = amend(&mut reservations, &|a| a.cancelled = true);
    assert_eq!((reserved_kb(&reservations), updates.len()), (0.0, 1), "at once");
    assert_eq!(reservations.rows(START + 1_000)[0].state, "cancelled");
}

#[test]
fn a_second_peak_beyond_the_capacity_is_refused_with_the_available_viewers() {
    let mut reservations = with_six_nodes();
    announce(&mut reservations, START - 100_000);
    let second = Announcement {
        name: "second".into(),
        titles: vec!["talk".into()],
        viewers: vec![(0, 60)],
        ..announcement()
    };
    let Err(AdmissionError::Capacity { viewers: available }) =
        reservations.admit(START - 90_000, 8, &second, &TestCatalogue)
    else {
        panic!("refused")
    };
    assert!((10..60).contains(&available), "{available}");
    let fits = Announcement { viewers: vec![(0, available)], ..second.clone() };
    let peak = reservations
        .admit(START - 90_000, 8, &fits, &TestCatalogue)
        .expect("the available capacity can be reserved");
    reservations.insert(peak);
    // The reservations never exceed the share of any link or uplink.
    for t in (START - 60_000..START + 300_000).step_by(10_000) {
        reservations.replan(t);
        let mut by_node: BTreeMap<ServerId, f64> = BTreeMap::new();
        reservations
            .peaks
            .values()
            .flat_map(|e| &e.reserved)
            .for_each(|(s, kb)| *by_node.entry(*s).or_default() += kb);
        assert!(by_node.values().all(|kb| *kb <= 6_000.5), "{by_node:?}");
        for rack in 0..3 {
            let sum: f64 = by_node.iter().filter(|(s, _)| s.0 % 3 == rack).map(|(_, kb)| kb).sum();
            assert!(sum <= 10_000.5, "rack {rack}: {sum}");
        }
    }
    // Peaks that do not overlap in time can each have all the capacity.
    let (start_ms, end_ms) = (START + 400_000, START + 500_000);
    let later = Announcement { start_ms, end_ms, viewers: vec![(0, 35)], ..second };
    assert!(reservations.admit(START - 90_000, 9, &later, &TestCatalogue).is_ok());
}

#[test]
fn nothing_is_reserved_on_a_draining_or_cold_node() {
    let mut reservations = with_six_nodes();
    announce(&mut reservations, START - 100_000);
    reservations.replan(START - 50_000);
    let on = |reservations: &Reservations, s: u32| {
        reservations.peaks[&7].reserved.iter().any(|(id, _)| *id == ServerId(s))
    };
    assert!(on(&reservations, 1) && on(&reservations, 2));
    let mut nodes: Vec<NodeCapacity> = (0..6).map(node).collect();
    nodes[1].ready = false;
    nodes[2].warm_at_ms = START + 10_000;
    reservations.set_nodes(nodes.clone());
    reservations.replan(START - 40_000);
    assert!(!on(&reservations, 1), "a draining node has no reservation");
    assert!(!on(&reservations, 2), "a node that is still cold at the start has no reservation");
    assert!(approximately(reserved_kb(&reservations), 6_000.0), "the other nodes take its share");
    nodes[2].warm_at_ms = START - 5_000;
    reservations.set_nodes(nodes);
    reservations.replan(START - 39_000);
    assert!(on(&reservations, 2), "it will be warm at the start");
}

#[test]
fn a_repeated_announcement_changes_nothing_and_a_skewed_clock_shifts_the_reservation() {
    let mut reservations = with_six_nodes();
    announce(&mut reservations, START - 100_000);
    reservations.replan(START - 50_000);
    announce(&mut reservations, START - 50_000);
    assert!(reservations.replan(START - 50_000).is_empty(), "nothing changed");
    // A front whose clock is 30 s ahead reserves and releases 30 s early; one that is behind, 30 s late.
    let mut ahead = with_six_nodes();
    announce(&mut ahead, START);
    ahead.replan(START + 300_000 + 30_000);
    assert_eq!(reserved_kb(&ahead), 0.0);
}

#[test]
fn a_peak_is_removed_after_its_end() {
    let mut reservations = with_six_nodes();
    announce(&mut reservations, START - 100_000);
    reservations.replan(START);
    reservations.replan(START + 300_000);
    assert_eq!(reservations.rows(START + 300_000)[0].state, "over");
    reservations.replan(START + 360_000);
    assert!(reservations.is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Announce {
        name: u8,
        titles: u8,
        viewers: u32,
        start_s: u64,
        duration_s: u64,
        lead_s: u64,
        cancelled: bool,
    },
    SessionStarted {
        session: u64,
        title: u64,
    },
    SessionEnded(u64),
    Node {
        i: usize,
        ready: bool,
        warm_in_s: u64,
        link_kb: f64,
    },
    Wait(u64),
}

fn steps() -> impl proptest::strategy::Strategy<Value = Step> {
    use proptest::prelude::*;
    prop_oneof![
        2 => (0u8..4, 1u8..4, 0u32..120, 0u64..90, 0u64..90, 0u64..60, any::<bool>()).prop_map(
            |(name, titles, viewers, start_s, duration_s, lead_s, cancel)| Step::Announce {
                name, titles, viewers, start_s, duration_s, lead_s, cancelled: cancel && viewers % 3 == 0,
            }
        ),
        4 => (0u64..60, 1u64..4).prop_map(|(session, title)| Step::SessionStarted { session, title }),
        2 => (0u64..60).prop_map(Step::SessionEnded),
        1 => (0usize..6, any::<bool>(), 0u64..40, 0.0f64..20_000.0)
            .prop_map(|(i, ready, warm_in_s, link_kb)| Step::Node { i, ready, warm_in_s, link_kb }),
        4 => (1u64..20_000).prop_map(Step::Wait),
    ]
}

proptest::proptest! {
    /// Under any sequence of announcements, arrivals, departures and node changes: no reservation exceeds the share of a
    /// link or uplink, is on a node that does not accept set-ups, or is for a peak that is over or called off; and the
    /// updates returned so far add up to the reservations that the front records.
    #[test]
    fn never_more_than_the_share_and_never_after_the_end(
        all in proptest::collection::vec(steps(), 1..60),
    ) {
        let mut reservations = with_six_nodes();
        let mut nodes: Vec<NodeCapacity> = (0..6).map(node).collect();
        let mut now = START;
        let mut by_id: BTreeMap<ReservationId, Vec<(ServerId, f64)>> = BTreeMap::new();
        for step in all {
            match step {
                Step::Announce { name, titles, viewers, start_s, duration_s, lead_s, cancelled } => {
                    let names = ["final", "talk"];
                    let titles = (0..2).filter(|b| titles >> b & 1 == 1).map(|b| names[b].to_owned()).collect();
                    let start_ms = now + start_s * 1_000;
                    let announcement = Announcement {
                        name: format!("p{name}"), titles, class: "event".into(), viewers: vec![(0, viewers)],
                        start_ms, end_ms: start_ms + duration_s * 1_000, lead_ms: lead_s * 1_000, rung: 1, cancelled,
                    };
                    if let Ok(peak) = reservations.admit(now, u64::from(name), &announcement, &TestCatalogue) {
                        reservations.insert(peak);
                    }
                }
                Step::SessionStarted { session, title } => reservations.session_started(session, TitleId(title)),
                Step::SessionEnded(session) => reservations.session_ended(session),
                Step::Node { i, ready, warm_in_s, link_kb } => {
                    (nodes[i].ready, nodes[i].link_kb, nodes[i].warm_at_ms) = (ready, link_kb, now + warm_in_s * 1_000);
                    reservations.set_nodes(nodes.clone());
                }
                Step::Wait(ms) => now += ms,
            }
            for update in reservations.replan(now) {
                by_id.insert(update.id, update.reservation.servers);
            }
            let mut links = [0.0; 6];
            for e in reservations.peaks.values() {
                let (from, to) = e.peak.announcement.reserved_between();
                let inactive = e.peak.announcement.cancelled || now < from || now >= to;
                proptest::prop_assert!(!inactive || e.reserved.is_empty(), "{:?} has a reservation at {now}", e.peak.announcement);
                let returned = by_id.get(&ReservationId(e.peak.number)).map_or(&[][..], Vec::as_slice);
                proptest::prop_assert_eq!(returned, e.reserved.as_slice());
                for (s, kb) in &e.reserved {
                    links[s.0 as usize] += kb;
                }
            }
            // Reservations may differ from the plan by changes below MIN_CHANGE.
            let tolerance = 1.0 + 8.0 * MIN_CHANGE;
            for (i, kb) in links.iter().enumerate() {
                proptest::prop_assert!(*kb <= 0.5 * nodes[i].link_kb * tolerance + 1.0 || !nodes[i].ready && *kb == 0.0,
                    "node {} reserves {} of {}", i, kb, nodes[i].link_kb);
            }
            for rack in 0..3 {
                let sum: f64 = links.iter().enumerate().filter(|(i, _)| i % 3 == rack).map(|(_, kb)| kb).sum();
                proptest::prop_assert!(sum <= 10_000.0 * tolerance + 1.0, "rack {rack} reserves {sum}");
            }
        }
    }
}
