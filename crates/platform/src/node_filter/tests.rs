//! What the core is told of records that cannot be true.

use super::*;
use pepperhook_changelog::{Event, State};
use std::net::Ipv4Addr;

const NOW: u64 = 1_800_000_000_000;

fn node(id: u32, ip: [u8; 4], port: u16, started_ms: u64) -> Entry {
    let address = SocketAddrV4::new(Ipv4Addr::from(ip), port);
    Entry { id, address, state: State::Ready, zone: 0, kind: 0, cell: 0, weight: 1.0, started_ms }
}

fn starts(entries: &[Entry]) -> Vec<u64> {
    entries.iter().map(|e| e.started_ms).collect()
}

#[test]
fn nodes_at_addresses_that_lead_nowhere_are_left_out() {
    let mut list = NodeList::default();
    let good = node(5, [10, 1, 0, 9], 2905, 7);
    let bad = [([0, 0, 0, 0], 80), ([10, 1, 0, 8], 0), ([224, 0, 0, 1], 80), ([255, 255, 255, 255], 80)];
    let mut entries: Vec<_> = bad.iter().zip(1..).map(|((ip, port), id)| node(id, *ip, *port, 0)).collect();
    entries.push(good);
    list.apply_initial(&Event { number: 1, full: true, entries });
    assert_eq!(Roster::default().usable(&list, NOW), [good]);
}

/// The core ends what is older than a start: a start that grows with each telling would end everything each time.
#[test]
fn a_start_in_time_to_come_counts_from_when_it_was_told_first() {
    let (mut list, mut roster) = (NodeList::default(), Roster::default());
    let mut number = 0;
    let mut told = |list: &mut NodeList, started: &[u64]| {
        number += 1;
        let entries = started.iter().zip(1..).map(|(s, id)| node(id, [10, 1, 0, 9], 2905, *s)).collect();
        list.apply_initial(&Event { number, full: true, entries });
    };
    told(&mut list, &[0, NOW - 5, NOW, NOW + 50, u64::MAX]);
    let first = starts(&roster.usable(&list, NOW));
    assert_eq!(first, [0, NOW - 5, NOW, NOW, NOW]);
    // Other news, long after: the same starts, also that which has been reached meanwhile.
    told(&mut list, &[0, NOW - 5, NOW, NOW + 50, u64::MAX]);
    assert_eq!(starts(&roster.usable(&list, NOW + 90_000)), first);
    // A later start is one, whether it can be true or not.
    told(&mut list, &[0, NOW + 1, NOW, NOW + 60_000, u64::MAX - 1]);
    let again = starts(&roster.usable(&list, NOW + 100_000));
    assert_eq!(again, [0, NOW + 1, NOW, NOW + 60_000, NOW + 100_000]);
    // Who is listed no more is forgotten.
    told(&mut list, &[0]);
    roster.usable(&list, NOW + 200_000);
    assert!(roster.0.is_empty());
}
