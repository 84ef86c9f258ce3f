//! What another front saw of a server some time ago.

mod common;

use common::*;
use pepperhook::*;

/// Two servers in two racks that hold everything, both seen empty some seconds ago.
fn two() -> Front {
    let mut f = Front::new(settings(), &[server(0, 0), server(1, 1)]);
    for id in [0, 1] {
        f.tell(Event::Probed(ServerId(id), Some(vec![0.1, 0.1])));
    }
    f.now += 3 * S;
    f
}

fn link(f: &Front, id: u32) -> f64 {
    let (servers, _) = f.controller.view(f.now);
    servers.iter().find(|s| s.entry.server == ServerId(id)).map_or(f64::NAN, |s| s.link_use)
}

#[test]
fn a_session_goes_where_another_front_saw_room() {
    for full in [0, 1] {
        let mut f = two();
        f.tell(Event::PeerReport(ServerId(full), 400 * MS, vec![0.95, 0.9]));
        f.tell(Event::PeerReport(ServerId(1 - full), 400 * MS, vec![0.2, 0.2]));
        let at = f.ask(1, wish(1, 0.0, 2.0)).expect("there is room");
        assert_eq!(at.0, ServerId(1 - full));
    }
}

#[test]
fn what_was_seen_earlier_than_what_is_known_changes_nothing() {
    let mut f = two();
    f.tell(Event::Probed(ServerId(0), Some(vec![0.3, 0.3])));
    let known = link(&f, 0);
    f.tell(Event::PeerReport(ServerId(0), 200 * MS, vec![0.99, 0.99]));
    assert_eq!(link(&f, 0).to_bits(), known.to_bits());
    f.now += S;
    f.tell(Event::PeerReport(ServerId(0), 300 * MS, vec![0.9, 0.9]));
    assert!(link(&f, 0) > 0.7, "a later one does: {}", link(&f, 0));
}

#[test]
fn senseless_values_and_servers_are_passed_over() {
    let mut f = two();
    let known = link(&f, 0);
    f.tell(Event::PeerReport(ServerId(0), Time::MAX, vec![0.9, 0.9]));
    f.tell(Event::PeerReport(ServerId(0), 0, vec![f64::NAN, -1.0]));
    f.tell(Event::PeerReport(ServerId(9), 0, vec![0.5, 0.5]));
    f.tell(Event::PeerReport(ServerId(0), 0, vec![]));
    assert_eq!(link(&f, 0).to_bits(), known.to_bits());
}
