//! Capacity that is reserved for announced peaks.

mod common;

use common::*;
use pepperhook::*;

/// The title that capacity is reserved for.
const EVENT: TitleId = TitleId(77);

fn event_viewer(n: u64) -> SessionSpec {
    SessionSpec { title: EVENT, ..spec(n, 0.0, 4.0) }
}

/// Replaces the reservation for [`EVENT`] by one of so many kB/s on these servers.
fn reserve(front: &mut Front, server_kb: &[(u32, f64)]) -> Vec<Action> {
    let servers = server_kb.iter().map(|(id, kb)| (ServerId(*id), *kb)).collect();
    front.handle(Event::Reserved(
        ReservationId(1),
        Reservation { titles: vec![EVENT], per_viewer_kb: 350.0, servers },
    ))
}

/// A front with one server of 10 MB/s whose link and uplink report a use of 0.05.
fn one_idle_server() -> Front {
    let mut front = Front::new(settings(), &[server(1, 0)]);
    front.start_session(900, spec(900, 0.0, 1.0));
    front.notify(900, 1, NotificationKind::LinkUse, 0.05);
    front.notify(900, 1, NotificationKind::UplinkUse, 0.05);
    front
}

/// Requests `count` sessions one after the other, starts those that are set up, and returns their rungs.
fn start_sessions(
    front: &mut Front,
    first: u64,
    count: u64,
    spec: impl Fn(u64) -> SessionSpec,
) -> Vec<Option<u8>> {
    (first..first + count)
        .map(|n| {
            let placement = front.request(n, spec(n));
            if let Some((server, _)) = placement {
                front.handle(Event::Started(SessionId(n), server));
            }
            placement.map(|(_, rung)| rung)
        })
        .collect()
}

#[test]
fn reserved_capacity_counts_as_demand_for_others_and_is_free_for_its_viewers() {
    let ordinary = |n| spec(n, 0.0, 1.0);
    let unreserved = start_sessions(&mut one_idle_server(), 1, 12, ordinary);
    let mut front = one_idle_server();
    assert!(reserve(&mut front, &[(1, 7_000.0)]).is_empty());
    let beside_reservation = start_sessions(&mut front, 1, 12, ordinary);
    // Counts a session at rung 0 as 1 and a refused one as 0.
    let sum = |rungs: &[Option<u8>]| rungs.iter().flatten().map(|rung| u32::from(*rung) + 1).sum::<u32>();
    assert!(
        sum(&beside_reservation) < sum(&unreserved),
        "rungs beside a reservation {beside_reservation:?}, expected lower than without one {unreserved:?}"
    );
    // The reserved capacity is still there for the viewers of the event.
    for n in 0..6 {
        let rungs = start_sessions(&mut front, 100 + n, 1, event_viewer);
        assert!(rungs[0].is_some(), "event viewer {n} was refused beside a reservation for it");
        reserve(&mut front, &[(1, 7_000.0 - 350.0 * (n + 1) as f64)]);
    }
    let refused = start_sessions(&mut front, 200, 6, ordinary);
    assert!(
        refused.iter().any(Option::is_none),
        "rungs of ordinary viewers {refused:?}; some should be refused"
    );
}

#[test]
fn early_viewers_of_the_event_leave_the_reserved_capacity_of_later_ones() {
    let mut front = one_idle_server();
    reserve(&mut front, &[(1, 7_000.0)]);
    let mut rungs = Vec::new();
    for n in 0..20 {
        rungs.extend(start_sessions(&mut front, 100 + n, 1, event_viewer));
        // One viewer's part of the reservation has become a session.
        reserve(&mut front, &[(1, 7_000.0 - 350.0 * (n + 1) as f64)]);
    }
    assert!(rungs.iter().all(Option::is_some), "rungs of event viewers {rungs:?}; none should be refused");
}

#[test]
fn a_released_reservation_has_no_effect() {
    let ordinary = |n| spec(n, 0.0, 1.0);
    let mut front = one_idle_server();
    reserve(&mut front, &[(1, 9_000.0)]);
    reserve(&mut front, &[]);
    assert_eq!(
        start_sessions(&mut front, 1, 12, ordinary),
        start_sessions(&mut one_idle_server(), 1, 12, ordinary)
    );
}

#[test]
fn a_reservation_never_lowers_or_ends_playing_sessions() {
    let mut front = one_idle_server();
    start_sessions(&mut front, 1, 6, |n| spec(n, 0.0, 1.0));
    let mut actions = reserve(&mut front, &[(1, 1e9)]);
    front.notify(900, 1, NotificationKind::LinkUse, 0.5);
    actions.extend(front.advance(20 * SECOND));
    assert!(rung_changes(&actions).is_empty() && !refused(&actions) && move_count(&actions) == 0);
}

#[test]
fn invalid_reservations_are_ignored_and_a_draining_server_frees_its_rack() {
    let mut front = one_idle_server();
    reserve(&mut front, &[(1, f64::NAN), (1, -5.0), (99, 1e12)]);
    assert_eq!(
        start_sessions(&mut front, 1, 4, |n| spec(n, 0.0, 1.0)),
        start_sessions(&mut one_idle_server(), 1, 4, |n| spec(n, 0.0, 1.0))
    );
    let two = [server(1, 0), server(2, 2)];
    let mut front = Front::new(settings(), &two);
    reserve(&mut front, &[(2, 9_000.0)]);
    let (_, racks) = front.controller.view(front.now);
    assert!(racks[0].forecast >= 0.9, "forecast {}, expected 0.9 or more", racks[0].forecast);
    front.handle(Event::ListChanged(vec![ServerEntry { state: ServerState::Draining, ..server(2, 2) }]));
    assert!(
        front.controller.view(front.now).1[0].forecast < 0.9,
        "the reservation on a draining server still counts in its rack's forecast, which should be below 0.9"
    );
}

#[test]
fn the_forecast_includes_reservations_and_alerts_before_they_are_used() {
    let mut front = one_idle_server();
    reserve(&mut front, &[(1, 9_000.0)]);
    front.advance(SECOND);
    assert!(front.controller.view(front.now).1[0].alerted);
}
