//! Room held for announced peaks, as the module sees it.

mod common;

use common::*;
use pepperhook::*;

const EVENT: TitleId = TitleId(77);

fn event_viewer(n: u64) -> SessionSpec {
    SessionSpec { title: EVENT, ..wish(n, 0.0, 4.0) }
}

fn hold(f: &mut Front, on: &[(u32, f64)]) -> Vec<Action> {
    let on = on.iter().map(|(id, kb)| (ServerId(*id), *kb)).collect();
    f.tell(Event::Reserved(
        ReservationId(1),
        Reservation { titles: vec![EVENT], per_viewer_kb: 350.0, servers: on },
    ))
}

/// One server of 10 MB/s, its link seen to be hardly used.
fn one() -> Front {
    let mut f = Front::new(settings(), &[server(1, 0)]);
    f.play(900, wish(900, 0.0, 1.0));
    f.note(900, 1, NotificationKind::LinkUse, 0.05);
    f.note(900, 1, NotificationKind::UplinkUse, 0.05);
    f
}

/// Rungs at which so many viewers come to play, one after the other, each of the titles given.
fn rungs(f: &mut Front, from: u64, count: u64, wish: impl Fn(u64) -> SessionSpec) -> Vec<Option<u8>> {
    (from..from + count)
        .map(|n| {
            let at = f.ask(n, wish(n));
            if let Some((server, _)) = at {
                f.tell(Event::Started(SessionId(n), server));
            }
            at.map(|(_, rung)| rung)
        })
        .collect()
}

#[test]
fn held_room_is_asked_for_already_to_others_and_free_to_those_it_is_held_for() {
    let ordinary = |n| wish(n, 0.0, 1.0);
    let free = rungs(&mut one(), 1, 12, ordinary);
    let mut f = one();
    assert!(hold(&mut f, &[(1, 7_000.0)]).is_empty());
    let held = rungs(&mut f, 1, 12, ordinary);
    let sum = |r: &[Option<u8>]| r.iter().flatten().map(|r| u32::from(*r) + 1).sum::<u32>();
    assert!(sum(&held) < sum(&free), "{held:?} {free:?}");
    // The event's viewers find what the ordinary ones did not get.
    for n in 0..6 {
        let came = rungs(&mut f, 100 + n, 1, event_viewer);
        assert!(came[0].is_some(), "viewer {n}");
        hold(&mut f, &[(1, 7_000.0 - 350.0 * (n + 1) as f64)]);
    }
    let refused = rungs(&mut f, 200, 6, ordinary);
    assert!(refused.iter().any(Option::is_none), "{refused:?}");
}

#[test]
fn the_first_to_come_do_not_take_the_room_of_those_after_them() {
    let mut f = one();
    hold(&mut f, &[(1, 7_000.0)]);
    let mut rungs = Vec::new();
    for n in 0..20 {
        rungs.extend(self::rungs(&mut f, 100 + n, 1, event_viewer));
        // One viewer's part turns into a session.
        hold(&mut f, &[(1, 7_000.0 - 350.0 * (n + 1) as f64)]);
    }
    assert!(rungs.iter().all(Option::is_some), "{rungs:?}");
}

#[test]
fn a_released_hold_leaves_nothing_behind() {
    let ordinary = |n| wish(n, 0.0, 1.0);
    let mut f = one();
    hold(&mut f, &[(1, 9_000.0)]);
    hold(&mut f, &[]);
    assert_eq!(rungs(&mut f, 1, 12, ordinary), rungs(&mut one(), 1, 12, ordinary));
}

#[test]
fn a_hold_never_lowers_or_ends_what_plays() {
    let mut f = one();
    rungs(&mut f, 1, 6, |n| wish(n, 0.0, 1.0));
    let mut actions = hold(&mut f, &[(1, 1e9)]);
    f.note(900, 1, NotificationKind::LinkUse, 0.5);
    actions.extend(f.pass(20 * S));
    assert!(lowered(&actions).is_empty() && !refused(&actions) && moves(&actions) == 0);
}

#[test]
fn nonsense_is_not_held_and_a_server_that_leaves_frees_its_rack() {
    let mut f = one();
    hold(&mut f, &[(1, f64::NAN), (1, -5.0), (99, 1e12)]);
    assert_eq!(rungs(&mut f, 1, 4, |n| wish(n, 0.0, 1.0)), rungs(&mut one(), 1, 4, |n| wish(n, 0.0, 1.0)));
    let two = [server(1, 0), server(2, 2)];
    let mut f = Front::new(settings(), &two);
    hold(&mut f, &[(2, 9_000.0)]);
    let (_, racks) = f.controller.view(f.now);
    assert!(racks[0].forecast >= 0.9);
    f.tell(Event::ListChanged(vec![ServerEntry { state: ServerState::Draining, ..server(2, 2) }]));
    assert!(f.controller.view(f.now).1[0].forecast < 0.9, "nothing is held where nothing new goes");
}

#[test]
fn the_forecast_sees_what_is_held_and_alerts_before_it_is_used() {
    let mut f = one();
    hold(&mut f, &[(1, 9_000.0)]);
    f.pass(S);
    assert!(f.controller.view(f.now).1[0].alerted);
}
