//! Load reports that another front received, with their age.

mod common;

use common::*;
use pepperhook::*;

/// A front with two servers in two racks that both store every title; both reported a low use 3 s ago.
fn two_servers() -> Front {
    let mut front = Front::new(settings(), &[server(0, 0), server(1, 1)]);
    for id in [0, 1] {
        front.handle(Event::Probed(ServerId(id), Some(vec![0.1, 0.1])));
    }
    front.now += 3 * SECOND;
    front
}

/// Estimated use of a server's link.
fn link_use(front: &Front, id: u32) -> f64 {
    let (servers, _) = front.controller.view(front.now);
    servers.iter().find(|s| s.entry.server == ServerId(id)).map_or(f64::NAN, |s| s.link_use)
}

#[test]
fn a_session_goes_to_the_server_that_another_front_reports_as_free() {
    for full in [0, 1] {
        let mut front = two_servers();
        front.handle(Event::PeerReport(ServerId(full), 400 * MILLISECOND, vec![0.95, 0.9]));
        front.handle(Event::PeerReport(ServerId(1 - full), 400 * MILLISECOND, vec![0.2, 0.2]));
        let (server, _) =
            front.request(1, spec(1, 0.0, 2.0)).expect("a server with capacity should be chosen");
        assert_eq!(server, ServerId(1 - full), "server of the set-up, with server {full} reported full");
    }
}

#[test]
fn a_report_older_than_the_known_one_changes_nothing() {
    let mut front = two_servers();
    front.handle(Event::Probed(ServerId(0), Some(vec![0.3, 0.3])));
    let known = link_use(&front, 0);
    front.handle(Event::PeerReport(ServerId(0), 200 * MILLISECOND, vec![0.99, 0.99]));
    assert_eq!(link_use(&front, 0).to_bits(), known.to_bits());
    front.now += SECOND;
    front.handle(Event::PeerReport(ServerId(0), 300 * MILLISECOND, vec![0.9, 0.9]));
    assert!(
        link_use(&front, 0) > 0.7,
        "link use {} after a newer report of 0.9; above 0.7 expected",
        link_use(&front, 0)
    );
}

#[test]
fn invalid_values_and_unknown_servers_are_ignored() {
    let mut front = two_servers();
    let known = link_use(&front, 0);
    front.handle(Event::PeerReport(ServerId(0), Time::MAX, vec![0.9, 0.9]));
    front.handle(Event::PeerReport(ServerId(0), 0, vec![f64::NAN, -1.0]));
    front.handle(Event::PeerReport(ServerId(9), 0, vec![0.5, 0.5]));
    front.handle(Event::PeerReport(ServerId(0), 0, vec![]));
    assert_eq!(link_use(&front, 0).to_bits(), known.to_bits());
}
