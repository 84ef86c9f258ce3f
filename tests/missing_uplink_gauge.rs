//! Sites whose load reports have no uplink gauge: the demand on an uplink is then estimated from its servers'
//! links.

mod common;

use common::*;
use pepperhook::*;

/// One rack with `servers` links of 10,000 kB/s each behind an uplink with `uplink_share` of their total
/// capacity. Load reports have these gauges.
fn site(servers: u32, uplink_share: f64, gauges: Vec<Gauge>) -> Front {
    let links_kb = f64::from(servers) * 10_000.0;
    let settings = Settings {
        racks: 1,
        cells: servers,
        uplink_kb: uplink_share * links_kb,
        all_links_kb: links_kb,
        gauges,
        ..settings()
    };
    let list: Vec<_> = (0..servers).map(|i| server(i + 1, i)).collect();
    Front::new(settings, &list)
}

/// Sets of gauges without the uplink's: none, unrelated ones, the link's alone.
fn without_uplink() -> [Vec<Gauge>; 3] {
    [vec![], vec![Gauge::Streams, Gauge::Other], vec![Gauge::Link]]
}

#[test]
fn a_front_without_readings_admits_behind_narrow_uplinks() {
    for gauges in without_uplink() {
        for uplink_share in [0.3, 0.6, 0.63, 0.65, 0.7, 1.0] {
            let mut front = site(3, uplink_share, gauges.clone());
            for n in 0..39 {
                assert!(
                    front.request(n, spec(n, 0.0, 4.0)).is_some(),
                    "gauges {gauges:?}, uplink share {uplink_share}: request {n} got no set-up although no \
                     other session is open"
                );
                front.advance(SECOND);
                front.handle(Event::Closed(SessionId(n)));
                front.advance(10 * MILLISECOND);
            }
        }
    }
}

#[test]
fn a_front_with_one_old_reading_admits_again_after_a_quiet_time() {
    let mut front = site(3, 0.6, vec![Gauge::Link]);
    front.adopt(1, spec(1, 0.0, 4.0), 1, 3);
    front.now += 2 * SECOND;
    front.notify(1, 1, NotificationKind::LinkUse, 0.1);
    front.end(1, ServerId(1), Outcome::Served, true);
    for n in 2..10 {
        front.advance(40 * SECOND);
        assert!(
            front.request(n, spec(n, 0.0, 4.0)).is_some(),
            "request {n} got no set-up 40 s after the session before it"
        );
        front.end(n, ServerId(1), Outcome::Served, true);
        front.handle(Event::Closed(SessionId(n)));
    }
}

#[test]
fn reported_link_use_counts_as_uplink_demand() {
    // Three links at 0.55 are a demand of 16,500 kB/s on an uplink of 18,000 kB/s, above the limit for
    // admission.
    for (used, admits) in [(0.2, true), (0.55, false)] {
        let mut front = site(3, 0.6, vec![Gauge::Link]);
        for id in 1..=3 {
            front.handle(Event::Probed(ServerId(id), Some(vec![used])));
        }
        assert_eq!(
            front.request(1, spec(1, 0.0, 4.0)).is_some(),
            admits,
            "whether a request is admitted with all links at {used}"
        );
    }
}

#[test]
fn own_sessions_fill_an_uplink_without_reports() {
    for gauges in without_uplink() {
        let mut front = site(3, 0.3, gauges);
        let admitted_kb: f64 = (0..200)
            .filter_map(|n| front.request(n, spec(n, 0.0, 4.0)))
            .map(|(_, rung)| [200.0, 350.0, 600.0, 1000.0, 1800.0][usize::from(rung)])
            .sum();
        assert!(
            (1_000.0..=9_000.0).contains(&admitted_kb),
            "admitted sessions of {admitted_kb} kB/s; expected 1,000 to 9,000 kB/s (the uplink's capacity)"
        );
    }
}
