//! The ordinary path, part by part.

mod common;

use common::*;
use pepperhook::*;

/// A front with sessions that fill `share` of rack 0's uplink on two servers, with holders in both racks.
fn loaded(sessions: u64, rung: u8) -> Front {
    let mut f = Front::new(settings(), &[server(1, 0), server(2, 1), server(3, 2), server(4, 3)]);
    for n in 0..sessions {
        f.under_way(n, wish(n, 0.0, 4.0), if n % 2 == 0 { 1 } else { 3 }, rung);
    }
    f
}

#[test]
fn a_forecast_past_the_mark_moves_a_fraction_and_is_paced() {
    let mut f = loaded(10, 3);
    f.now += S;
    let first = f.pass(500 * MS);
    let moved = moves(&first);
    assert!((1..=2).contains(&moved), "one in five of ten, not {moved}");
    assert_eq!(moves(&f.pass(4 * S)), 0, "paced");
}

#[test]
fn a_forecast_under_the_mark_moves_nothing() {
    let mut f = loaded(8, 3);
    assert_eq!(moves(&f.pass(10 * S)), 0);
}

#[test]
fn a_moved_session_comes_back_at_the_same_rung_away_from_the_server_and_rack_left() {
    let mut f = loaded(10, 3);
    let actions = f.pass(500 * MS);
    let Some(Action::Move(id)) = actions.iter().find(|a| matches!(a, Action::Move(_))) else {
        panic!("nothing moved")
    };
    let left = if id.0 % 2 == 0 { 1 } else { 3 };
    f.end(id.0, ServerId(left), Outcome::Cancelled, true);
    f.now += 300 * MS;
    let (at, rung) = f.ask(99, Wish { again: true, ..wish(id.0, 0.0, 4.0) }).expect("set up");
    assert_eq!(rung, 3);
    assert!([2, 4].contains(&at.0), "on the unalerted rack, not {at:?}");
}

#[test]
fn short_delivery_without_an_alert_lowers_a_rung() {
    let mut f = Front::new(settings(), &[server(1, 0)]);
    f.under_way(1, wish(1, 0.0, 1.0), 1, 3);
    f.now += 2 * S;
    f.note(1, 1, NoteKind::LinkUse, 1.02);
    f.now += S;
    f.under_way(2, wish(2, 0.0, 1.0), 1, 3);
    let actions = f.note(2, 1, NoteKind::Delivered, 0.9);
    assert!(actions.iter().any(|a| matches!(a, Action::SetRung(_, 2))), "{actions:?}");
    assert_eq!(moves(&actions), 0);
}

#[test]
fn admission_takes_the_highest_rung_under_the_mark_on_link_and_uplink() {
    for (kind, used, most) in [
        (NoteKind::LinkUse, 0.1, 4),
        (NoteKind::LinkUse, 0.82, 2),
        (NoteKind::UplinkUse, 0.1, 4),
        (NoteKind::UplinkUse, 0.82, 2),
    ] {
        let mut f = Front::new(settings(), &[server(1, 0)]);
        f.under_way(1, wish(1, 0.0, 1.0), 1, 0);
        f.now += 2 * S;
        f.note(1, 1, NoteKind::LinkUse, 0.05);
        f.note(1, 1, NoteKind::UplinkUse, 0.05);
        f.note(1, 1, kind, used);
        let (_, rung) = f.ask(2, wish(2, 0.0, 1.0)).expect("set up");
        assert_eq!(rung, most, "{kind:?} {used}");
    }
}

#[test]
fn load_added_since_a_late_report_is_added_to_it() {
    let mut f = Front::new(settings(), &[server(1, 0)]);
    f.under_way(1, wish(1, 0.0, 1.0), 1, 0);
    f.now += 2 * S;
    f.note(1, 1, NoteKind::LinkUse, 0.6);
    let mut sum = 0.6;
    for n in 2..30 {
        if let Some((_, rung)) = f.ask(n, wish(n, 0.0, 1.0)) {
            sum += [200.0, 350.0, 600.0, 1000.0, 1800.0][usize::from(rung)] / 10_000.0;
        }
    }
    assert!((0.8..=0.9001).contains(&sum), "{sum}");
}

#[test]
fn a_new_session_goes_to_the_holder_with_fewest() {
    let mut f = Front::new(settings(), &[server(1, 0), server(3, 2)]);
    f.under_way(1, wish(1, 0.0, 4.0), 1, 0);
    assert_eq!(f.play(2, wish(2, 0.0, 4.0)).0, ServerId(3));
}

#[test]
fn rungs_rise_a_step_after_quiet_and_not_before() {
    let mut f = Front::new(settings(), &[server(1, 0)]);
    f.under_way(1, wish(1, 0.0, 1.0), 1, 1);
    let rungs = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::SetRung(..))).count();
    assert_eq!(rungs(&f.pass(7 * S)), 0);
    let risen = f.pass(2 * S);
    assert_eq!(risen.iter().filter(|a| **a == Action::SetRung(SessionId(1), 2)).count(), 1);
    assert_eq!(rungs(&risen), 1, "one step at a time");
}

#[test]
fn a_cut_of_everything_is_answered_in_proportion() {
    let mut f = loaded(8, 3);
    f.now += 2 * S;
    f.note(0, 1, NoteKind::LinkUse, 0.4);
    let actions = f.note(0, 1, NoteKind::UplinkUse, 1.6);
    let lowered = actions.iter().filter(|a| matches!(a, Action::SetRung(..))).count();
    assert!(lowered >= 4, "one session a second would not do: {lowered}");
}

#[test]
fn viewers_of_a_live_title_gather_where_its_stream_plays() {
    let mut s = settings();
    (s.join, s.classes[0].live) = (0.3, true);
    let mut f = Front::new(s, &[server(1, 0), server(3, 2)]);
    let live = |n| Wish { title: TitleId(7), ..wish(n, 0.0, 4.0) };
    let first = f.play(1, live(1));
    assert_eq!(f.play(2, live(2)), first, "joins although the other holder has fewer sessions");
    assert_ne!(f.play(3, wish(3, 0.0, 4.0)).0, first.0, "another title goes to the holder with fewest");
}

#[test]
fn short_delivery_is_followed_by_a_probe_that_tells_link_from_uplink() {
    let mut s = settings();
    s.probes = true;
    let mut f = Front::new(s, &[server(1, 0), server(3, 2)]);
    for n in 0..6 {
        f.under_way(n, wish(n, 0.0, 4.0), if n < 3 { 1 } else { 3 }, 3);
    }
    f.now += 5 * S;
    let actions = f.note(0, 1, NoteKind::Delivered, 0.6);
    assert_eq!(actions, [Action::Probe(ServerId(1))]);
    f.now += 10 * MS;
    let actions = f.tell(Event::Probed(ServerId(1), Some(vec![1.6, 0.5])));
    let lowered: Vec<u64> = actions
        .iter()
        .filter_map(|a| if let Action::SetRung(id, _) = a { Some(id.0) } else { None })
        .collect();
    assert!(!lowered.is_empty());
    assert!(
        lowered.iter().all(|n| *n < 3),
        "only sessions on the full link, not the whole rack: {lowered:?}"
    );
}

#[test]
fn senseless_figures_reach_no_average() {
    let mut f = Front::new(settings(), &[server(1, 0)]);
    f.under_way(1, wish(1, 0.0, 1.0), 1, 2);
    f.now += 2 * S;
    for bad in [f64::NAN, f64::INFINITY, -1.0] {
        for kind in [NoteKind::Delivered, NoteKind::LinkUse, NoteKind::UplinkUse, NoteKind::Rung] {
            assert_eq!(f.note(1, 1, kind, bad), [], "{kind:?} {bad}");
        }
        f.tell(Event::Ended {
            session: SessionId(99),
            server: ServerId(1),
            outcome: Outcome::Served,
            settled: true,
            report: vec![bad, bad],
        });
    }
    let odd = Wish { home: f64::NAN, copies: f64::NAN, top: f64::NAN, ..wish(2, 0.0, 1.0) };
    assert!(refused(&f.tell(Event::Request(SessionId(2), odd))));
    let (_, rung) = f.ask(3, wish(3, 0.0, 1.0)).expect("still admits");
    assert_eq!(rung, 4);
}

#[test]
fn unknown_ids_and_late_outcomes_are_passed_over() {
    let mut f = Front::new(settings(), &[server(1, 0)]);
    assert_eq!(f.end(7, ServerId(1), Outcome::Served, false), []);
    assert_eq!(f.end(7, ServerId(70), Outcome::TimedOut, false), []);
    f.tell(Event::Started(SessionId(7), ServerId(70)));
    assert_eq!(f.tell(Event::Left(SessionId(7))), []);
    assert_eq!(f.tell(Event::Timer(7)), []);
}

#[test]
fn zero_weights_and_no_link_figure_still_admit() {
    let mut s = settings();
    s.kb_per_weight = 0.0;
    let mut f = Front::new(s, &[ServerEntry { weight: 0.0, ..server(1, 0) }]);
    assert!(f.ask(1, wish(1, 0.0, 1.0)).is_some());
}

#[test]
fn two_notes_of_one_shortage_are_answered_once() {
    let mut f = loaded(8, 3);
    f.now += 5 * S;
    let lowered = |a: &[Action]| a.iter().filter(|a| matches!(a, Action::SetRung(..))).count();
    assert!(lowered(&f.note(0, 1, NoteKind::UplinkUse, 1.5)) > 0);
    f.now += 100 * MS;
    assert_eq!(lowered(&f.note(1, 3, NoteKind::UplinkUse, 1.5)), 0, "seen before the relief");
    f.now += S;
    assert!(lowered(&f.note(1, 3, NoteKind::UplinkUse, 1.5)) > 0, "still short after it");
}

#[test]
fn rungs_are_not_lowered_on_a_guess() {
    let mut s = settings();
    s.fronts = 6;
    let mut f = Front::new(s, &[server(1, 0), server(3, 2)]);
    for n in 0..6 {
        f.under_way(n, wish(n, 0.0, 4.0), 1, 3);
    }
    f.now += 2 * S;
    let actions = f.note(0, 1, NoteKind::LinkUse, 0.7);
    assert!(actions.iter().all(|a| !matches!(a, Action::SetRung(..))), "the uplink has not been seen");
}

#[test]
fn room_is_made_where_the_newcomer_earns_twice_what_is_lost_and_else_nothing_changes() {
    for (rung, admitted) in [(4, true), (1, false)] {
        let mut f = Front::new(settings(), &[server(1, 0)]);
        f.under_way(1, wish(1, 0.0, 1.0), 1, rung);
        f.now += 2 * S;
        f.note(1, 1, NoteKind::LinkUse, 0.895);
        f.note(1, 1, NoteKind::UplinkUse, 0.3);
        let actions = f.tell(Event::Request(SessionId(2), wish(2, 0.0, 1.0)));
        assert_eq!(placed(&actions).is_some(), admitted, "beside rung {rung}");
        let lowered = actions.iter().any(|a| matches!(a, Action::SetRung(SessionId(1), _)));
        assert_eq!((lowered, refused(&actions)), (admitted, !admitted));
    }
}
