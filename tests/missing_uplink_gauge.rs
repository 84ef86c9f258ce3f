//! Sites whose reports tell no uplink: what an uplink is asked for is then guessed from its servers' links.

mod common;

use common::*;
use pepperhook::*;

/// Rack 0 with `servers` links of 10,000 kB/s behind an uplink that carries `part` of them, told of by `gauges`.
fn site(servers: u32, part: f64, gauges: Vec<Gauge>) -> Front {
    let links = f64::from(servers) * 10_000.0;
    let set = Settings {
        racks: 1,
        cells: servers,
        uplink_kb: part * links,
        all_links_kb: links,
        gauges,
        ..settings()
    };
    let list: Vec<_> = (0..servers).map(|i| server(i + 1, i)).collect();
    Front::new(set, &list)
}

/// Every set of gauges without the uplink's that reports may have.
fn without_uplink() -> [Vec<Gauge>; 3] {
    [vec![], vec![Gauge::Streams, Gauge::Other], vec![Gauge::Link]]
}

#[test]
fn who_has_seen_nothing_admits_behind_narrow_uplinks() {
    for gauges in without_uplink() {
        for part in [0.3, 0.6, 0.63, 0.65, 0.7, 1.0] {
            let mut f = site(3, part, gauges.clone());
            for n in 0..39 {
                assert!(f.ask(n, wish(n, 0.0, 4.0)).is_some(), "{gauges:?}, uplink {part}: wish {n} refused");
                f.pass(S);
                f.tell(Event::Closed(SessionId(n)));
                f.pass(10 * MS);
            }
        }
    }
}

#[test]
fn after_a_quiet_time_who_saw_little_admits_again() {
    let mut f = site(3, 0.6, vec![Gauge::Link]);
    f.under_way(1, wish(1, 0.0, 4.0), 1, 3);
    f.now += 2 * S;
    f.note(1, 1, NotificationKind::LinkUse, 0.1);
    f.end(1, ServerId(1), Outcome::Served, true);
    for n in 2..10 {
        f.pass(40 * S);
        assert!(f.ask(n, wish(n, 0.0, 4.0)).is_some(), "wish {n} refused");
        f.end(n, ServerId(1), Outcome::Served, true);
        f.tell(Event::Closed(SessionId(n)));
    }
}

#[test]
fn links_that_are_seen_fill_their_uplink() {
    // Three links at 0.55 ask 16,500 of an uplink of 18,000: that is past where a newcomer may come.
    for (used, admits) in [(0.2, true), (0.55, false)] {
        let mut f = site(3, 0.6, vec![Gauge::Link]);
        for id in 1..=3 {
            f.tell(Event::Probed(ServerId(id), Some(vec![used])));
        }
        assert_eq!(f.ask(1, wish(1, 0.0, 4.0)).is_some(), admits, "links at {used}");
    }
}

#[test]
fn own_sessions_fill_an_uplink_that_nobody_reports() {
    for gauges in without_uplink() {
        let mut f = site(3, 0.3, gauges);
        let taken: f64 = (0..200)
            .filter_map(|n| f.ask(n, wish(n, 0.0, 4.0)))
            .map(|(_, rung)| [200.0, 350.0, 600.0, 1000.0, 1800.0][usize::from(rung)])
            .sum();
        assert!((1_000.0..=9_000.0).contains(&taken), "{taken} of 9,000");
    }
}
