//! Peaks that start early, late or never, change, overlap, and nodes that come and go meanwhile.

use super::*;
use crate::announcement::tests::{Two, announcement};

const START: u64 = 1_000_000;

fn terms() -> Terms {
    Terms { most_share: 0.5, fronts: 2.0, late_ms: 30_000, most_peaks: 8 }
}

/// Six nodes of 12 MB/s in three racks.
fn holds() -> Holds {
    let mut h = Holds::new(terms(), 6, 20_000.0);
    h.nodes((0..6).map(node).collect());
    h
}

fn node(i: u32) -> NodeRoom {
    NodeRoom { server: ServerId(i), cell: i, rack: i % 3, link_kb: 12_000.0, ready: true, warm_ms: 0 }
}

/// Ten viewers at 600 kB a second for a minute, thirty then.
fn announced(h: &mut Holds, now: u64) -> u64 {
    let peak = h.admit(now, 7, &announcement(), &Two).expect("room");
    h.take(peak);
    7
}

fn held(h: &Holds) -> f64 {
    h.peaks.values().flat_map(|e| &e.told).map(|(_, kb)| kb).sum()
}

fn about(a: f64, b: f64) -> bool {
    (a - b).abs() <= 0.03 * b.max(1.0)
}

#[test]
fn room_is_held_from_the_lead_to_the_end_and_told_once() {
    let mut h = holds();
    announced(&mut h, START - 100_000);
    assert!(h.step(START - 60_001).is_empty());
    let told = h.step(START - 60_000);
    assert_eq!((told.len(), told[0].hold.titles.as_slice()), (1, &[TitleId(1)][..]));
    assert!(about(held(&h), 6_000.0));
    assert!(told[0].hold.servers.iter().all(|(s, _)| s.0 < 4), "on the title's holders alone");
    assert!(h.step(START - 59_000).is_empty(), "nothing changed");
    h.step(START + 1_000);
    assert!(about(held(&h), 6_000.0));
    let given_back = h.step(START + 300_000);
    assert_eq!((given_back.len(), given_back[0].hold.servers.len()), (1, 0));
}

#[test]
fn a_peak_that_starts_early_turns_holds_into_sessions_at_its_pace() {
    let mut h = holds();
    announced(&mut h, START - 100_000);
    h.step(START - 50_000);
    for n in 0..3 {
        h.plays(n, TitleId(1));
        h.step(START - 40_000 + n * 1_000);
        // Each own viewer stands for two: there are two fronts.
        assert!(about(held(&h), 6_000.0 - 1_200.0 * (n + 1) as f64), "{}", held(&h));
    }
    h.ended(0);
    h.step(START - 30_000);
    assert!(about(held(&h), 6_000.0 - 2_400.0), "who leaves early leaves room to come back to");
    (10..20).for_each(|n| h.plays(n, TitleId(1)));
    h.step(START - 20_000);
    assert_eq!(held(&h), 0.0, "more came than were expected: nothing is held");
    h.plays(30, TitleId(2));
    assert_eq!(h.peaks[&7].own.len(), 12, "viewers of other titles are others");
}

#[test]
fn a_peak_that_starts_late_keeps_what_comes_and_one_that_never_does_gives_all_back() {
    let mut never = holds();
    announced(&mut never, START - 100_000);
    never.step(START + 29_999);
    assert!(about(held(&never), 6_000.0));
    never.step(START + 30_000);
    assert_eq!(held(&never), 0.0);
    assert_eq!(never.rows(START + 30_000)[0].state, "late");
    let mut late = holds();
    announced(&mut late, START - 100_000);
    (0..2).for_each(|n| late.plays(n, TitleId(1)));
    late.step(START + 30_000);
    // Four came, as far as this front knows: room for four more stays.
    assert!(about(held(&late), 2_400.0), "{}", held(&late));
    (2..4).for_each(|n| late.plays(n, TitleId(1)));
    late.step(START + 31_000);
    assert!(held(&late) > 1_000.0, "and grows with those who come, up to what was announced");
}

#[test]
fn cancelled_or_amended_while_running() {
    let mut h = holds();
    announced(&mut h, START - 100_000);
    h.step(START);
    let amend = |h: &mut Holds, change: &dyn Fn(&mut Announcement)| {
        let mut said = announcement();
        change(&mut said);
        let peak = h.admit(START + 1_000, 7, &said, &Two).expect("room");
        h.take(peak);
        h.step(START + 1_000)
    };
    amend(&mut h, &|a| a.viewers = vec![(0, 4)]);
    assert!(about(held(&h), 2_400.0));
    amend(&mut h, &|a| a.viewers = vec![(0, 30)]);
    assert!(about(held(&h), 18_000.0));
    let told = amend(&mut h, &|a| a.cancelled = true);
    assert_eq!((held(&h), told.len()), (0.0, 1), "at once");
    assert_eq!(h.rows(START + 1_000)[0].state, "cancelled");
}

#[test]
fn a_second_peak_that_asks_for_more_than_there_is_is_refused_with_what_could_be() {
    let mut h = holds();
    announced(&mut h, START - 100_000);
    let second = Announcement {
        name: "second".into(),
        titles: vec!["talk".into()],
        viewers: vec![(0, 60)],
        ..announcement()
    };
    let Err(Refused::Room { could }) = h.admit(START - 90_000, 8, &second, &Two) else { panic!("refused") };
    assert!((10..60).contains(&could), "{could}");
    let fits = Announcement { viewers: vec![(0, could)], ..second.clone() };
    let peak = h.admit(START - 90_000, 8, &fits, &Two).expect("what could be held can be");
    h.take(peak);
    // At no moment is more held than the share of any link or uplink.
    for t in (START - 60_000..START + 300_000).step_by(10_000) {
        h.step(t);
        let mut by_node: BTreeMap<ServerId, f64> = BTreeMap::new();
        h.peaks.values().flat_map(|e| &e.told).for_each(|(s, kb)| *by_node.entry(*s).or_default() += kb);
        assert!(by_node.values().all(|kb| *kb <= 6_000.5), "{by_node:?}");
        for rack in 0..3 {
            let sum: f64 = by_node.iter().filter(|(s, _)| s.0 % 3 == rack).map(|(_, kb)| kb).sum();
            assert!(sum <= 10_000.5, "rack {rack}: {sum}");
        }
    }
    // Apart in time, both may have all.
    let (start_ms, end_ms) = (START + 400_000, START + 500_000);
    let later = Announcement { start_ms, end_ms, viewers: vec![(0, 35)], ..second };
    assert!(h.admit(START - 90_000, 9, &later, &Two).is_ok());
}

#[test]
fn a_holder_that_drains_dies_or_is_cold_holds_nothing() {
    let mut h = holds();
    announced(&mut h, START - 100_000);
    h.step(START - 50_000);
    let on = |h: &Holds, s: u32| h.peaks[&7].told.iter().any(|(id, _)| *id == ServerId(s));
    assert!(on(&h, 1) && on(&h, 2));
    let mut nodes: Vec<NodeRoom> = (0..6).map(node).collect();
    nodes[1].ready = false;
    nodes[2].warm_ms = START + 10_000;
    h.nodes(nodes.clone());
    h.step(START - 40_000);
    assert!(!on(&h, 1), "it drains");
    assert!(!on(&h, 2), "it would still be cold at the start: the crowd would be more than its pace");
    assert!(about(held(&h), 6_000.0), "the others hold its part");
    nodes[2].warm_ms = START - 5_000;
    h.nodes(nodes);
    h.step(START - 39_000);
    assert!(on(&h, 2), "it will be warm in time");
}

#[test]
fn the_same_announcement_again_and_a_clock_that_is_off() {
    let mut h = holds();
    announced(&mut h, START - 100_000);
    h.step(START - 50_000);
    announced(&mut h, START - 50_000);
    assert!(h.step(START - 50_000).is_empty(), "nothing new");
    // A front whose clock is 30 s ahead or behind holds 30 s early or late, and gives back so.
    let mut ahead = holds();
    announced(&mut ahead, START);
    ahead.step(START + 300_000 + 30_000);
    assert_eq!(held(&ahead), 0.0);
}

#[test]
fn what_is_over_is_forgotten() {
    let mut h = holds();
    announced(&mut h, START - 100_000);
    h.step(START);
    h.step(START + 300_000);
    assert_eq!(h.rows(START + 300_000)[0].state, "over");
    h.step(START + 360_000);
    assert!(h.is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Say { name: u8, titles: u8, viewers: u32, start_s: u64, lasts_s: u64, lead_s: u64, cancelled: bool },
    Plays { session: u64, title: u64 },
    Ended(u64),
    Node { i: usize, ready: bool, warm_in_s: u64, link_kb: f64 },
    Pass(u64),
}

fn steps() -> impl proptest::strategy::Strategy<Value = Step> {
    use proptest::prelude::*;
    prop_oneof![
        2 => (0u8..4, 1u8..4, 0u32..120, 0u64..90, 0u64..90, 0u64..60, any::<bool>()).prop_map(
            |(name, titles, viewers, start_s, lasts_s, lead_s, late)| Step::Say {
                name, titles, viewers, start_s, lasts_s, lead_s, cancelled: late && viewers % 3 == 0,
            }
        ),
        4 => (0u64..60, 1u64..4).prop_map(|(session, title)| Step::Plays { session, title }),
        2 => (0u64..60).prop_map(Step::Ended),
        1 => (0usize..6, any::<bool>(), 0u64..40, 0.0f64..20_000.0)
            .prop_map(|(i, ready, warm_in_s, link_kb)| Step::Node { i, ready, warm_in_s, link_kb }),
        4 => (1u64..20_000).prop_map(Step::Pass),
    ]
}

proptest::proptest! {
    /// Whatever is announced, comes, goes and changes: no link or uplink is held beyond the share, nothing on a
    /// node that takes no set-ups, nothing for a peak that is over or called off, and what the module was told
    /// is what the front believes that it holds.
    #[test]
    fn never_more_than_the_share_and_never_after_the_end(
        all in proptest::collection::vec(steps(), 1..60),
    ) {
        let mut h = holds();
        let mut nodes: Vec<NodeRoom> = (0..6).map(node).collect();
        let mut now = START;
        let mut told: BTreeMap<ReservationId, Vec<(ServerId, f64)>> = BTreeMap::new();
        for step in all {
            match step {
                Step::Say { name, titles, viewers, start_s, lasts_s, lead_s, cancelled } => {
                    let names = ["final", "talk"];
                    let titles = (0..2).filter(|b| titles >> b & 1 == 1).map(|b| names[b].to_owned()).collect();
                    let start_ms = now + start_s * 1_000;
                    let said = Announcement {
                        name: format!("p{name}"), titles, class: "event".into(), viewers: vec![(0, viewers)],
                        start_ms, end_ms: start_ms + lasts_s * 1_000, lead_ms: lead_s * 1_000, rung: 1, cancelled,
                    };
                    if let Ok(peak) = h.admit(now, u64::from(name), &said, &Two) {
                        h.take(peak);
                    }
                }
                Step::Plays { session, title } => h.plays(session, TitleId(title)),
                Step::Ended(session) => h.ended(session),
                Step::Node { i, ready, warm_in_s, link_kb } => {
                    (nodes[i].ready, nodes[i].link_kb, nodes[i].warm_ms) = (ready, link_kb, now + warm_in_s * 1_000);
                    h.nodes(nodes.clone());
                }
                Step::Pass(ms) => now += ms,
            }
            for held in h.step(now) {
                told.insert(held.id, held.hold.servers);
            }
            let mut links = [0.0; 6];
            for e in h.peaks.values() {
                let (from, to) = e.peak.said.held_between();
                let over = e.peak.said.cancelled || now < from || now >= to;
                proptest::prop_assert!(!over || e.told.is_empty(), "{:?} holds at {now}", e.peak.said);
                let same = told.get(&ReservationId(e.peak.number)).map_or(&[][..], Vec::as_slice);
                proptest::prop_assert_eq!(same, e.told.as_slice());
                for (s, kb) in &e.told {
                    links[s.0 as usize] += kb;
                }
            }
            // What was told may lag behind a plan by the part that is not worth telling.
            let slack = 1.0 + 8.0 * CHANGE;
            for (i, kb) in links.iter().enumerate() {
                proptest::prop_assert!(*kb <= 0.5 * nodes[i].link_kb * slack + 1.0 || !nodes[i].ready && *kb == 0.0,
                    "node {} holds {} of {}", i, kb, nodes[i].link_kb);
            }
            for rack in 0..3 {
                let sum: f64 = links.iter().enumerate().filter(|(i, _)| i % 3 == rack).map(|(_, kb)| kb).sum();
                proptest::prop_assert!(sum <= 10_000.0 * slack + 1.0, "rack {rack} holds {sum}");
            }
        }
    }
}
