//! Guards against a violation of the six rules of placement, each at its boundary:
//! 1. A request gets one answer within its longest wait.
//! 2. A set-up that may have run is not repeated, and a request has at most one open attempt.
//! 3. No set-up is sent to a server that drains or is gone.
//! 4. No cold server is overloaded by set-ups.
//! 5. Rungs and sessions per title stay within the limits of the class.
//! 6. Retries stay within the retry budget.

mod common;

use common::*;
use pepperhook::*;

#[test]
fn a_time_out_at_the_deadline_fails_the_request_in_the_same_call() {
    let mut front = Front::new(settings(), &[server(1, 0)]);
    let (at, _) = front.request(1, spec(1, 0.0, 1.0)).expect("a set-up should be sent");
    front.now += 4 * SECOND;
    let actions = front.end(1, at, Outcome::TimedOut, false);
    assert!(failed(&actions), "the request did not fail; actions {actions:?}");
    assert!(front.handle(Event::Timer(1)).is_empty(), "a timer caused actions for a request that has ended");
}

#[test]
fn a_request_that_no_server_can_take_is_refused_at_once_with_a_retry_after_time() {
    let mut front = Front::new(settings(), &[server(1, 3)]);
    let actions = front.handle(Event::Request(SessionId(1), spec(1, 0.0, 1.0)));
    assert!(
        actions.contains(&Action::Refuse(SessionId(1), Some(500 * MILLISECOND))),
        "no refusal with a retry-after time of 500 ms; actions {actions:?}"
    );
}

#[test]
fn an_at_most_once_set_up_is_repeated_only_if_it_provably_never_ran() {
    let at_most_once_front = || {
        let mut settings = settings();
        settings.classes[0].idempotency = Idempotency::AtMostOnce;
        Front::new(settings, &[server(1, 0), server(2, 1)])
    };
    for (outcome, repeated) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Full, true),
        (Outcome::Unsent, true),
        (Outcome::Error, false),
        (Outcome::TimedOut, false),
        (Outcome::Broken, false),
        (Outcome::Cancelled, false),
    ] {
        let mut front = at_most_once_front();
        let (at, _) = front.request(1, spec(1, 0.0, 2.0)).expect("a set-up should be sent");
        let actions = front.end(1, at, outcome, false);
        assert_eq!(
            placement(&actions).is_some(),
            repeated,
            "whether the set-up is repeated after {outcome:?}"
        );
        assert_eq!(failed(&actions), !repeated, "whether the request fails after {outcome:?}");
        assert!(!refused(&actions), "the request was refused after {outcome:?}; actions {actions:?}");
    }
}

/// Guards against a set-up that runs twice: the scope of a deduplicated set-up was that of the first attempt,
/// also if it never ran, and not that of the attempt that may have run.
#[test]
fn a_deduplicated_set_up_is_repeated_only_where_an_attempt_that_may_have_run_is_known() {
    for scope in [DedupScope::All, DedupScope::Zone, DedupScope::Cell] {
        for (outcome, pause) in
            [(Outcome::TimedOut, 0), (Outcome::LinkBroken, 0), (Outcome::TimedOut, SECOND)]
        {
            let mut settings = settings();
            settings.classes[0].idempotency = Idempotency::Deduplicated(scope, SECOND);
            settings.max_attempts = 9;
            // Three servers in each of two cells, which are in different zones.
            let servers: Vec<_> =
                (0..6).map(|i| ServerEntry { zone: ZoneId((i % 2) as _), ..server(i + 1, i % 2) }).collect();
            let place = |id: ServerId| servers.iter().find(|s| s.server == id).expect("it is listed").cell;
            let mut front = Front::new(settings, &servers);
            let (mut at, _) = front.request(1, spec(1, 0.0, 2.0)).expect("a set-up should be sent");
            let first = place(at);
            while place(at) == first {
                let (next, _) = placement(&front.end(1, at, Outcome::Full, false)).expect("nothing has run");
                at = next;
            }
            front.now += pause + 1;
            let other_zone =
                ServerEntry { zone: ZoneId(7), cell: 3, state: ServerState::Draining, ..server(at.0, 3) };
            front.handle(Event::ListChanged(vec![other_zone]));
            let actions = front.end(1, at, outcome, false);
            let next = placement(&actions).map(|(next, _)| place(next));
            if pause > 0 {
                assert_eq!(next, None, "a set-up was sent after the window, scope {scope:?}");
            } else if scope == DedupScope::All {
                assert!(next.is_some(), "no set-up was sent, {outcome:?}");
            } else {
                assert_eq!(next, Some(place(at)), "place of the next set-up, scope {scope:?}, {outcome:?}");
            }
            assert!(
                !refused(&actions) || scope == DedupScope::All,
                "the request was refused, scope {scope:?}"
            );
        }
    }
}

#[test]
fn a_request_never_has_two_open_attempts() {
    let mut front = Front::new(settings(), &[server(1, 0), server(2, 1)]);
    front.request(1, spec(1, 0.0, 2.0)).expect("a set-up should be sent");
    front.now += SECOND;
    let actions = front.advance(2 * SECOND);
    assert!(placement(&actions).is_none(), "a second attempt was sent; actions {actions:?}");
    let actions = front.handle(Event::Timer(1));
    assert!(placement(&actions).is_none(), "a timer sent a second attempt; actions {actions:?}");
}

#[test]
fn no_set_up_goes_to_a_server_that_drains_or_is_gone_or_left_the_list() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut front = Front::new(settings(), &[server(1, 0), server(2, 3)]);
        front.handle(Event::ListChanged(vec![ServerEntry { state, ..server(1, 0) }]));
        assert_eq!(front.request(1, spec(1, 0.0, 1.0)), None, "set-up to a server in state {state:?}");
    }
    let mut front = Front::new(settings(), &[server(1, 0), server(2, 3)]);
    front.handle(Event::ListFull(vec![server(2, 3)]));
    assert_eq!(front.request(1, spec(1, 0.0, 1.0)), None, "set-up to a server that left the list");
}

#[test]
fn set_ups_of_one_front_to_a_cold_server_stay_within_its_share_in_any_window() {
    let mut settings = settings();
    settings.fronts = 3;
    let just_started = ServerEntry { started: Some(100 * SECOND), ..server(1, 0) };
    let mut front = Front::new(settings, &[just_started]);
    let mut set_ups = Vec::new();
    for n in 0..1200 {
        if front.request(n, spec(n, 0.0, 1.0)).is_some() {
            set_ups.push(front.now);
        }
        front.now += 10 * MILLISECOND;
    }
    assert!(!set_ups.is_empty(), "no set-up was sent to the cold server");
    for first in &set_ups {
        let window = set_ups.iter().filter(|t| (*first..*first + 2 * SECOND).contains(*t)).count();
        let warmth = 0.4 + 0.6 * ((*first + 2 * SECOND - 100 * SECOND) as f64 / (12 * SECOND) as f64);
        let limit = 2.5 * 40.0 / 12.0 * warmth.min(1.0) * 2.0;
        assert!(
            window as f64 <= (limit / 3.0).max(1.0),
            "{window} set-ups in the window that starts at {first} ns; at most {} expected",
            (limit / 3.0).max(1.0)
        );
    }
}

#[test]
fn a_broken_server_counts_as_cold_before_the_list_reports_its_start() {
    let mut front = Front::new(settings(), &[server(1, 0)]);
    let (at, _) = front.start_session(1, spec(1, 0.0, 1.0));
    front.end(1, at, Outcome::Broken, true);
    front.now += 10 * SECOND;
    let sent = (10..60).filter(|n| front.request(*n, spec(*n, 0.0, 1.0)).is_some()).count();
    assert!((1..=5).contains(&sent), "{sent} set-ups sent 10 s after the server broke; expected 1 to 5");
}

#[test]
fn rungs_stay_between_the_lowest_rung_of_the_class_and_the_highest_of_the_viewer() {
    let mut settings = settings();
    settings.classes[0].lowest_rung = 1;
    let mut front = Front::new(settings, &[server(1, 0)]);
    let (_, rung) = front
        .request(1, SessionSpec { highest_rung: 2.0, ..spec(1, 0.0, 1.0) })
        .expect("a set-up should be sent");
    assert_eq!(rung, 2, "rung of a viewer whose highest rung is 2");
    front.adopt(2, spec(2, 0.0, 1.0), 1, 1);
    let actions = front.notify(2, 1, NotificationKind::Delivered, 0.2);
    assert!(
        actions.iter().all(|a| !matches!(a, Action::SetRung(_, 0))),
        "rung 0 was set, below the class's lowest rung 1; actions {actions:?}"
    );
}

#[test]
fn the_limit_of_sessions_per_title_counts_from_the_attempt_to_the_outcome() {
    let mut settings = settings();
    settings.classes[0].max_sessions_per_title = 1;
    let mut front = Front::new(settings, &[server(1, 0)]);
    let same_title = |n| SessionSpec { title: TitleId(7), ..spec(n, 0.0, 1.0) };
    let (at, _) = front.request(1, same_title(1)).expect("a set-up should be sent");
    assert_eq!(front.request(2, same_title(2)), None, "set-up of a second session while an attempt is open");
    front.end(1, at, Outcome::Served, true);
    assert!(
        front.request(3, same_title(3)).is_some(),
        "no set-up was sent after the only session of the title had ended"
    );
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut settings = settings();
    settings.rules.retry_budget =
        Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.2, window: 10 * SECOND });
    let mut front = Front::new(settings, &[server(1, 0), server(2, 1), server(3, 2)]);
    let mut retries = 0;
    for n in 0..10 {
        let mut at = front.request(n, spec(n, 0.0, 3.0)).map(|(at, _)| at);
        while let Some(server) = at {
            at = placement(&front.end(n, server, Outcome::ConnectFailed, false)).map(|(at, _)| at);
            retries += usize::from(at.is_some());
            assert!(
                retries as f64 <= 1.0 + 0.2 * (n + 1) as f64,
                "{retries} retries after {} requests; at most 1 + 0.2 for each request expected",
                n + 1
            );
        }
    }
    assert!(retries > 0, "no retry was sent in 10 requests");
}

#[test]
fn a_retry_exactly_one_window_ago_still_counts() {
    for (gap, allowed) in [(10 * SECOND, false), (10 * SECOND + 1, true)] {
        let mut settings = settings();
        settings.rules.retry_budget =
            Some(RetryBudget { min_retries: 1.0, retry_ratio: 0.0, window: 10 * SECOND });
        let mut front = Front::new(settings, &[server(1, 0), server(2, 1)]);
        let (at, _) = front.request(1, spec(1, 0.0, 2.0)).expect("a set-up should be sent");
        let (at, _) = placement(&front.end(1, at, Outcome::Full, false))
            .expect("the one guaranteed retry should be sent");
        front.end(1, at, Outcome::Served, true);
        front.now += gap;
        let (at, _) = front.request(2, spec(2, 0.0, 2.0)).expect("a set-up should be sent");
        assert_eq!(
            placement(&front.end(2, at, Outcome::Full, false)).is_some(),
            allowed,
            "whether a retry is sent {gap} ns after the last one"
        );
    }
}

/// Times in nanoseconds of the set-ups that all fronts together send in 10 s to a server that has just started.
/// Each front receives a request every `gap` nanoseconds.
fn cold_set_ups(fronts: u64, gap: Time) -> Vec<Time> {
    let settings = Settings { fronts: fronts as u32, ..settings() };
    let just_started = ServerEntry { started: Some(100 * SECOND), ..server(1, 0) };
    let mut set_ups = Vec::new();
    for seed in 0..fronts {
        let controller = Controller::new(settings.clone(), 31 * seed).expect("the settings should be valid");
        let mut front = Front { controller, now: 100 * SECOND };
        front.handle(Event::ListFull(vec![just_started]));
        for n in 0..10 * SECOND / gap {
            front.now = 100 * SECOND + n * gap + gap * seed / fronts;
            if let Some((at, _)) = front.request(n, spec(n, 0.0, 1.0)) {
                set_ups.push(front.now);
                front.end(n, at, Outcome::Served, true);
            }
        }
    }
    set_ups.sort_unstable();
    set_ups
}

#[test]
fn many_fronts_together_stay_within_a_cold_servers_limit_and_send_at_least_10_set_ups() {
    for gap in [50 * MILLISECOND, SECOND, 5 * SECOND] {
        let set_ups = cold_set_ups(80, gap);
        assert!(
            set_ups.len() >= 10,
            "{} set-ups in 10 s with a request every {gap} ns; at least 10 expected",
            set_ups.len()
        );
        for first in &set_ups {
            let window = set_ups.iter().filter(|t| (*first..*first + 2 * SECOND).contains(*t)).count();
            let warmth = 0.4 + 0.6 * ((*first - 100 * SECOND) as f64 / (12 * SECOND) as f64);
            let limit = 2.5 * 40.0 / 12.0 * warmth.min(1.0) * 2.0;
            assert!(
                window as f64 <= limit,
                "{window} set-ups in a window with a request every {gap} ns; at most {limit} expected"
            );
        }
    }
}
