//! The six rules, each at its boundary.

mod common;

use common::*;
use pepperhook::*;

#[test]
fn a_time_out_at_the_deadline_is_answered_with_a_failure_in_the_same_step() {
    let mut f = Front::new(settings(), &[server(1, 0)]);
    let (at, _) = f.ask(1, wish(1, 0.0, 1.0)).expect("set up");
    f.now += 4 * S;
    assert!(failed(&f.end(1, at, Outcome::TimedOut, false)));
    assert!(f.tell(Event::Timer(1)).is_empty(), "nothing more is said of a request that ended");
}

#[test]
fn a_request_that_nobody_can_take_is_refused_at_once_with_advice() {
    let mut f = Front::new(settings(), &[server(1, 3)]);
    let actions = f.tell(Event::Request(SessionId(1), wish(1, 0.0, 1.0)));
    assert!(actions.contains(&Action::Refuse(SessionId(1), Some(500 * MS))));
}

#[test]
fn a_paid_set_up_is_repeated_only_when_it_provably_never_ran() {
    let paid = || {
        let mut s = settings();
        s.classes[0].idempotency = Idempotency::AtMostOnce;
        Front::new(s, &[server(1, 0), server(2, 1)])
    };
    for (outcome, again) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Full, true),
        (Outcome::Unsent, true),
        (Outcome::Error, false),
        (Outcome::TimedOut, false),
        (Outcome::Broken, false),
        (Outcome::Cancelled, false),
    ] {
        let mut f = paid();
        let (at, _) = f.ask(1, wish(1, 0.0, 2.0)).expect("set up");
        let actions = f.end(1, at, outcome, false);
        assert_eq!(placed(&actions).is_some(), again, "{outcome:?}");
        assert_eq!(failed(&actions), !again, "{outcome:?}");
        assert!(!refused(&actions));
    }
}

#[test]
fn never_two_attempts_out() {
    let mut f = Front::new(settings(), &[server(1, 0), server(2, 1)]);
    f.ask(1, wish(1, 0.0, 2.0)).expect("set up");
    f.now += S;
    let actions = f.pass(2 * S);
    assert!(placed(&actions).is_none());
    assert!(placed(&f.tell(Event::Timer(1))).is_none());
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_or_is_gone_or_left_the_list() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut f = Front::new(settings(), &[server(1, 0), server(2, 3)]);
        f.tell(Event::ListChanged(vec![ServerEntry { state, ..server(1, 0) }]));
        assert_eq!(f.ask(1, wish(1, 0.0, 1.0)), None);
    }
    let mut f = Front::new(settings(), &[server(1, 0), server(2, 3)]);
    f.tell(Event::ListFull(vec![server(2, 3)]));
    assert_eq!(f.ask(1, wish(1, 0.0, 1.0)), None);
}

#[test]
fn a_cold_server_gets_no_more_than_this_fronts_part_in_any_window() {
    let mut s = settings();
    s.fronts = 3;
    let fresh = ServerEntry { started: Some(100 * S), ..server(1, 0) };
    let mut f = Front::new(s, &[fresh]);
    let mut sends = Vec::new();
    for n in 0..1200 {
        if f.ask(n, wish(n, 0.0, 1.0)).is_some() {
            sends.push(f.now);
        }
        f.now += 10 * MS;
    }
    assert!(!sends.is_empty());
    for first in &sends {
        let window = sends.iter().filter(|t| (*first..*first + 2 * S).contains(*t)).count();
        let warmth = 0.4 + 0.6 * ((*first + 2 * S - 100 * S) as f64 / (12 * S) as f64);
        let all = 2.5 * 40.0 / 12.0 * warmth.min(1.0) * 2.0;
        assert!(window as f64 <= (all / 3.0).max(1.0), "{window} set-ups at {first}");
    }
}

#[test]
fn a_server_that_breaks_is_presumed_cold_before_the_list_says_so() {
    let mut f = Front::new(settings(), &[server(1, 0)]);
    let (at, _) = f.play(1, wish(1, 0.0, 1.0));
    f.end(1, at, Outcome::Broken, true);
    f.now += 10 * S;
    let sent = (10..60).filter(|n| f.ask(*n, wish(*n, 0.0, 1.0)).is_some()).count();
    assert!((1..=5).contains(&sent), "{sent} set-ups at one moment");
}

#[test]
fn rungs_stay_between_the_floor_and_the_viewers_top() {
    let mut s = settings();
    s.classes[0].lowest_rung = 1;
    let mut f = Front::new(s, &[server(1, 0)]);
    let (_, rung) = f.ask(1, SessionSpec { highest_rung: 2.0, ..wish(1, 0.0, 1.0) }).expect("set up");
    assert_eq!(rung, 2);
    f.under_way(2, wish(2, 0.0, 1.0), 1, 1);
    let lowered = f.note(2, 1, NotificationKind::Delivered, 0.2);
    assert!(lowered.iter().all(|a| !matches!(a, Action::SetRung(_, 0))));
}

#[test]
fn seats_count_from_the_attempt_to_the_outcome() {
    let mut s = settings();
    s.classes[0].max_sessions_per_title = 1;
    let mut f = Front::new(s, &[server(1, 0)]);
    let same = |n| SessionSpec { title: TitleId(7), ..wish(n, 0.0, 1.0) };
    let (at, _) = f.ask(1, same(1)).expect("set up");
    assert_eq!(f.ask(2, same(2)), None);
    f.end(1, at, Outcome::Served, true);
    assert!(f.ask(3, same(3)).is_some());
}

#[test]
fn further_attempts_stay_within_the_ration() {
    let mut s = settings();
    s.rules.retry_budget = Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.2, window: 10 * S });
    let mut f = Front::new(s, &[server(1, 0), server(2, 1), server(3, 2)]);
    let mut further = 0;
    for n in 0..10 {
        let mut at = f.ask(n, wish(n, 0.0, 3.0)).map(|(at, _)| at);
        while let Some(server) = at {
            at = placed(&f.end(n, server, Outcome::ConnectFailed, false)).map(|(at, _)| at);
            further += usize::from(at.is_some());
            assert!(further as f64 <= 1.0 + 0.2 * (n + 1) as f64);
        }
    }
    assert!(further > 0);
}

#[test]
fn an_attempt_just_on_the_edge_of_the_window_still_counts() {
    for (gap, allowed) in [(10 * S, false), (10 * S + 1, true)] {
        let mut s = settings();
        s.rules.retry_budget = Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.0, window: 10 * S });
        let mut f = Front::new(s, &[server(1, 0), server(2, 1)]);
        let (at, _) = f.ask(1, wish(1, 0.0, 2.0)).expect("set up");
        let (at, _) = placed(&f.end(1, at, Outcome::Full, false)).expect("the one free attempt");
        f.end(1, at, Outcome::Served, true);
        f.now += gap;
        let (at, _) = f.ask(2, wish(2, 0.0, 2.0)).expect("set up");
        assert_eq!(placed(&f.end(2, at, Outcome::Full, false)).is_some(), allowed);
    }
}

/// Set-ups sent to a server just started, by many fronts that are asked for it every `gap`.
fn cold_sends(fronts: u64, gap: Time) -> Vec<Time> {
    let settings = Settings { fronts: fronts as u32, ..settings() };
    let fresh = ServerEntry { started: Some(100 * S), ..server(1, 0) };
    let mut sends = Vec::new();
    for seed in 0..fronts {
        let controller = Controller::new(settings.clone(), 31 * seed).expect("settings that agree");
        let mut f = Front { controller, now: 100 * S };
        f.tell(Event::ListFull(vec![fresh]));
        for n in 0..10 * S / gap {
            f.now = 100 * S + n * gap + gap * seed / fronts;
            if let Some((at, _)) = f.ask(n, wish(n, 0.0, 1.0)) {
                sends.push(f.now);
                f.end(n, at, Outcome::Served, true);
            }
        }
    }
    sends.sort_unstable();
    sends
}

#[test]
fn many_fronts_together_keep_to_what_a_cold_server_stands_and_yet_use_it() {
    for gap in [50 * MS, S, 5 * S] {
        let sends = cold_sends(80, gap);
        assert!(sends.len() >= 10, "{} set-ups in ten seconds", sends.len());
        for first in &sends {
            let window = sends.iter().filter(|t| (*first..*first + 2 * S).contains(*t)).count();
            let warmth = 0.4 + 0.6 * ((*first - 100 * S) as f64 / (12 * S) as f64);
            let all = 2.5 * 40.0 / 12.0 * warmth.min(1.0) * 2.0;
            assert!(window as f64 <= all, "asked every {gap}: {window} set-ups, {all} at most");
        }
    }
}
