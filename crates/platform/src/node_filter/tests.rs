//! Records with addresses that cannot be dialled and with start times in the future.

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
fn nodes_at_addresses_that_cannot_be_dialled_are_left_out() {
    let mut list = NodeList::default();
    let dialable = node(5, [10, 1, 0, 9], 2905, 7);
    let undialable =
        [([0, 0, 0, 0], 80), ([10, 1, 0, 8], 0), ([224, 0, 0, 1], 80), ([255, 255, 255, 255], 80)];
    let mut entries: Vec<_> =
        undialable.iter().zip(1..).map(|((ip, port), id)| node(id, *ip, *port, 0)).collect();
    entries.push(dialable);
    list.apply_initial(&Event { number: 1, full: true, entries });
    assert_eq!(NodeFilter::default().usable(&list, NOW), [dialable]);
}

/// The core ends sessions that are older than their node's start. If the replacement of a future start grew with each
/// update of the list, each update would end all sessions of the node.
#[test]
fn a_start_in_the_future_is_replaced_by_the_time_at_which_it_was_first_listed() {
    let (mut list, mut filter) = (NodeList::default(), NodeFilter::default());
    let mut number = 0;
    let mut set_starts = |list: &mut NodeList, started: &[u64]| {
        number += 1;
        let entries = started.iter().zip(1..).map(|(s, id)| node(id, [10, 1, 0, 9], 2905, *s)).collect();
        list.apply_initial(&Event { number, full: true, entries });
    };
    set_starts(&mut list, &[0, NOW - 5, NOW, NOW + 50, u64::MAX]);
    let first = starts(&filter.usable(&list, NOW));
    assert_eq!(first, [0, NOW - 5, NOW, NOW, NOW]);
    // A later event with the same starts: nothing changes, also for the start that has been reached meanwhile.
    set_starts(&mut list, &[0, NOW - 5, NOW, NOW + 50, u64::MAX]);
    assert_eq!(starts(&filter.usable(&list, NOW + 90_000)), first);
    // A start that changes is taken as a new one, in the past or in the future.
    set_starts(&mut list, &[0, NOW + 1, NOW, NOW + 60_000, u64::MAX - 1]);
    let again = starts(&filter.usable(&list, NOW + 100_000));
    assert_eq!(again, [0, NOW + 1, NOW, NOW + 60_000, NOW + 100_000]);
    // Nodes that are no longer listed are forgotten.
    set_starts(&mut list, &[0]);
    filter.usable(&list, NOW + 200_000);
    assert!(filter.0.is_empty());
}
