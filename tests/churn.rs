//! Servers that are listed and removed, each time under a new id.

mod common;

use common::*;
use pepperhook::*;

#[test]
fn servers_that_left_the_list_are_dropped_unless_they_have_sessions() {
    let mut front = Front::new(settings(), &[server(1, 0)]);
    front.adopt(1, spec(1, 0.0, 4.0), 1, 2);
    for id in 2..300 {
        front.handle(Event::ListFull(vec![server(id, id % 4)]));
        front.now += SECOND;
        front.handle(Event::Timer(u64::MAX));
        let (servers, _) = front.controller.view(front.now);
        assert!(
            servers.len() <= 16,
            "{} servers are kept after list {id}; at most 16 expected",
            servers.len()
        );
        assert!(
            servers.iter().any(|s| s.entry.server == ServerId(1)),
            "server 1 was dropped although a session of this front plays there"
        );
    }
}

#[test]
fn a_broken_server_that_is_listed_again_soon_is_still_cold_and_barred() {
    let mut front = Front::new(settings(), &[server(1, 0), server(2, 1)]);
    let (at, _) = front.request(1, spec(1, 0.0, 4.0)).expect("a set-up should be sent");
    front.end(1, at, Outcome::Broken, true);
    let other = ServerId(3 - at.0);
    front.handle(Event::ListFull(vec![server(other.0, 0)]));
    front.now += SECOND;
    front.handle(Event::Timer(u64::MAX));
    front.handle(Event::ListFull(vec![server(1, 0), server(2, 1)]));
    let (servers, _) = front.controller.view(front.now);
    let back = servers.iter().find(|s| s.entry.server == at).expect("the server should be in the view");
    assert!(back.warmth < 1.0 && back.barred, "warmth {}, barred {}", back.warmth, back.barred);
}

#[test]
fn a_broken_connection_alone_does_not_bar_the_server_and_does_not_prove_that_nothing_ran() {
    let mut settings = settings();
    settings.classes[0].idempotency = Idempotency::AtMostOnce;
    let mut front = Front::new(settings, &[server(1, 0), server(2, 1)]);
    let (at, _) = front.request(1, spec(1, 0.0, 2.0)).expect("a set-up should be sent");
    let actions = front.end(1, at, Outcome::LinkBroken, false);
    assert!(
        failed(&actions) && placement(&actions).is_none(),
        "an at-most-once attempt that may have run must fail and not be repeated: {actions:?}"
    );
    let (servers, _) = front.controller.view(front.now);
    assert!(servers.iter().all(|s| !s.barred && s.warmth >= 1.0));
}
