//! Servers that come and go under ids that are always new.

mod common;

use common::*;
use pepperhook::*;

#[test]
fn servers_that_left_the_list_are_forgotten_and_those_with_sessions_are_not() {
    let mut f = Front::new(settings(), &[server(1, 0)]);
    f.under_way(1, wish(1, 0.0, 4.0), 1, 2);
    for id in 2..300 {
        f.tell(Event::ListFull(vec![server(id, id % 4)]));
        f.now += S;
        f.tell(Event::Timer(u64::MAX));
        let (servers, _) = f.controller.view(f.now);
        assert!(servers.len() <= 16, "{} servers are held", servers.len());
        assert!(servers.iter().any(|s| s.entry.server == ServerId(1)), "an own session plays there");
    }
}

#[test]
fn a_server_that_is_lost_and_listed_again_soon_is_still_held_to_be_cold() {
    let mut f = Front::new(settings(), &[server(1, 0), server(2, 1)]);
    let (at, _) = f.ask(1, wish(1, 0.0, 4.0)).expect("set up");
    f.end(1, at, Outcome::Broken, true);
    let other = ServerId(3 - at.0);
    f.tell(Event::ListFull(vec![server(other.0, 0)]));
    f.now += S;
    f.tell(Event::Timer(u64::MAX));
    f.tell(Event::ListFull(vec![server(1, 0), server(2, 1)]));
    let (servers, _) = f.controller.view(f.now);
    let back = servers.iter().find(|s| s.entry.server == at).expect("listed");
    assert!(back.warmth < 1.0 && back.barred);
}

#[test]
fn a_connection_that_broke_alone_makes_no_server_suspect_and_is_no_proof() {
    let mut s = settings();
    s.classes[0].idempotency = Idempotency::AtMostOnce;
    let mut f = Front::new(s, &[server(1, 0), server(2, 1)]);
    let (at, _) = f.ask(1, wish(1, 0.0, 2.0)).expect("set up");
    let actions = f.end(1, at, Outcome::LinkBroken, false);
    assert!(failed(&actions) && placed(&actions).is_none(), "it may have run");
    let (servers, _) = f.controller.view(f.now);
    assert!(servers.iter().all(|s| !s.barred && s.warmth >= 1.0));
}
