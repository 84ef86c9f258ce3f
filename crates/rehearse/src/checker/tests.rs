//! Guards against a checker that misses a violation of one of the six rules, or reports one in a valid record. The record of
//! [`valid_record`] is changed so that it violates one rule at a time.

use super::*;

fn limits() -> RuleLimits {
    RuleLimits {
        patience_s: 4.0,
        list_read_s: 0.25,
        drain_grace_s: 0.25,
        fall_multiple: 2.5,
        fall_s: 2.0,
        floor: 0,
        seats: 0,
        at_most_once: false,
        retry_budget: None,
    }
}

/// Start of the records, Unix time in nanoseconds.
const START_NS: u64 = 1_000 * SECOND;

/// A line of a record, `ms` milliseconds after its start.
fn line(ms: u64, source: &str, event: Event) -> Line {
    Line { unix_ns: START_NS + ms * 1_000_000, source: source.into(), event }
}

fn request_sent(ms: u64, request: u64) -> Line {
    let (session, origin, title) = (format!("v{request}/t"), format!("viewer {request}"), "t".to_owned());
    line(
        ms,
        "viewers",
        Event::RequestSent { request, session, origin, title, class: "c".into(), front: "f".into() },
    )
}

fn response(ms: u64, request: u64, status: u16) -> Line {
    line(ms, "viewers", Event::ResponseReceived { request, status, retry_after: None })
}

fn attempt(ms: u64, node: &str, attempt: u64, request: u64) -> Line {
    let origin = format!("viewer {request}");
    line(ms, node, Event::Attempt { attempt, front: "f".into(), origin, title: "t".into() })
}

fn answered(ms: u64, node: &str, attempt: u64, status: u16) -> Line {
    line(ms, node, Event::AttemptAnswered { attempt, status })
}

fn published(ms: u64, state: &str) -> Line {
    line(ms, "conductor", Event::ListPublished { front: "f".into(), node: "n1".into(), state: state.into() })
}

/// A request with two attempts, the second of which succeeds.
fn valid_record() -> Vec<Line> {
    vec![
        request_sent(0, 1),
        attempt(5, "n1", 1, 1),
        line(405, "n1", Event::AttemptClosed { attempt: 1 }),
        attempt(406, "n2", 1, 1),
        answered(420, "n2", 1, 201),
        response(425, 1, 201),
    ]
}

fn violated_rules(lines: &[Line], limits: &RuleLimits) -> Vec<Rule> {
    check(lines, limits).iter().map(|b| b.rule).collect()
}

#[test]
fn a_valid_record_passes() {
    assert!(violated_rules(&valid_record(), &limits()).is_empty());
}

#[test]
fn rule_1_no_answer_two_answers_a_late_answer_and_bytes_after_an_answer() {
    let with = |line| [valid_record(), vec![line]].concat();
    assert_eq!(violated_rules(&valid_record()[..5], &limits()), [Rule::OneAnswer]);
    assert_eq!(violated_rules(&with(response(500, 1, 503)), &limits()), [Rule::OneAnswer]);
    let late_bytes = line(500, "viewers", Event::UnexpectedBytes { request: 1, bytes: 7 });
    assert_eq!(violated_rules(&with(late_bytes), &limits()), [Rule::OneAnswer]);
    assert_eq!(violated_rules(&[request_sent(0, 1), response(4_010, 1, 504)], &limits()), [Rule::OneAnswer]);
    let timed_out = [request_sent(0, 1), line(4_000, "viewers", Event::TimedOut { request: 1 })];
    assert_eq!(violated_rules(&timed_out, &limits()), [Rule::OneAnswer]);
    let connection_lost = [request_sent(0, 1), line(300, "viewers", Event::ConnectionLost { request: 1 })];
    assert_eq!(violated_rules(&connection_lost, &limits()), [Rule::OneAnswer]);
    let front_killed = line(290, "conductor", Event::FrontKilled { front: "f".into() });
    assert!(
        violated_rules(&[connection_lost.to_vec(), vec![front_killed]].concat(), &limits()).is_empty(),
        "a lost connection to a front that was killed is no violation"
    );
    let viewer_left = [request_sent(0, 1), line(10, "viewers", Event::ViewerLeft { request: 1 })];
    assert!(
        violated_rules(&viewer_left, &limits()).is_empty(),
        "a request that its viewer cancelled needs no answer"
    );
}

#[test]
fn rule_2_two_open_attempts_and_a_repeated_at_most_once_set_up() {
    let mut lines = valid_record();
    // The first attempt is closed only after the second is sent.
    lines[2].unix_ns = START_NS + 410 * 1_000_000;
    assert_eq!(violated_rules(&lines, &limits()), [Rule::OneSetUp]);
    lines.remove(2);
    assert_eq!(violated_rules(&lines, &limits()), [Rule::OneSetUp], "the first attempt is never closed");
    let at_most_once = RuleLimits { at_most_once: true, ..limits() };
    assert_eq!(violated_rules(&valid_record(), &at_most_once), [Rule::OneSetUp]);
    let mut refused = valid_record();
    refused[2] = answered(405, "n1", 1, 503);
    assert!(
        violated_rules(&refused, &at_most_once).is_empty(),
        "a refused set-up never ran and may be repeated"
    );
    let refused_after_error =
        [request_sent(0, 1), attempt(5, "n1", 1, 1), answered(9, "n1", 1, 500), response(10, 1, 503)];
    assert_eq!(violated_rules(&refused_after_error, &at_most_once), [Rule::OneSetUp]);
}

#[test]
fn rule_3_a_set_up_after_the_grace_period_of_a_drain() {
    let listed = [published(0, "ready"), published(100, "draining"), published(400, "draining")];
    let with = |ms| {
        let rest = vec![
            request_sent(ms, 1),
            attempt(ms + 1, "n1", 1, 1),
            answered(ms + 2, "n1", 1, 201),
            response(ms + 3, 1, 201),
        ];
        [listed.to_vec(), rest].concat()
    };
    assert!(violated_rules(&with(590), &limits()).is_empty());
    assert_eq!(
        violated_rules(&with(700), &limits()),
        [Rule::Drains],
        "the grace period starts at the first list in which the node drains, not at the second"
    );
    let ready_again = [with(1_000), vec![published(900, "ready")]].concat();
    assert!(violated_rules(&ready_again, &limits()).is_empty());
}

#[test]
fn rule_4_too_many_set_ups_at_a_cold_node() {
    let start = line(0, "n1", Event::NodeStart { streams: 12.0, cold_share: 0.4, cold_s: 12.0 });
    // At most 5 set-ups at the start: 2.5 (fall multiple) x 12 streams / 12 s x 0.4 (cold share) x 2 s (window) + 3.
    let set_ups = |n: u64| -> Vec<Line> {
        (1..=n)
            .flat_map(|i| {
                [
                    request_sent(i, i),
                    attempt(i, "n1", i, i),
                    answered(i + 1, "n1", i, 201),
                    response(i + 2, i, 201),
                ]
            })
            .collect()
    };
    assert!(violated_rules(&[vec![start.clone()], set_ups(5)].concat(), &limits()).is_empty());
    assert_eq!(violated_rules(&[vec![start], set_ups(6)].concat(), &limits()), [Rule::Cold]);
    assert_eq!(violated_rules(&[line(0, "n1", Event::Overloaded)], &limits()), [Rule::Cold]);
}

#[test]
fn rule_5_a_rung_below_the_floor_and_more_sessions_than_seats() {
    let with_floor = RuleLimits { floor: 1, ..limits() };
    let rung_selected = |ms, rung| line(ms, "n2", Event::RungSelected { origin: "viewer 1".into(), rung });
    assert!(violated_rules(&[valid_record(), vec![rung_selected(421, 1)]].concat(), &with_floor).is_empty());
    assert_eq!(
        violated_rules(
            &[valid_record(), vec![rung_selected(421, 1), rung_selected(900, 0)]].concat(),
            &with_floor
        ),
        [Rule::ClassLimits]
    );
    let without_rung = [valid_record(), vec![request_sent(5_000, 9), response(5_001, 9, 503)]].concat();
    assert_eq!(
        violated_rules(&without_rung, &with_floor),
        [Rule::ClassLimits],
        "no rung was selected within a second after the session started"
    );
    let one_seat = RuleLimits { seats: 1, ..limits() };
    let second_session =
        [request_sent(500, 2), attempt(501, "n1", 2, 2), answered(502, "n1", 2, 201), response(503, 2, 201)];
    assert_eq!(
        violated_rules(&[valid_record(), second_session.to_vec()].concat(), &one_seat),
        [Rule::ClassLimits]
    );
    let ended = line(450, "n2", Event::SessionEnded { origin: "viewer 1".into(), reason: "delete".into() });
    assert!(
        violated_rules(&[valid_record(), second_session.to_vec(), vec![ended]].concat(), &one_seat)
            .is_empty()
    );
}

#[test]
fn rule_6_more_retries_than_the_retry_budget_allows() {
    let no_free_retry = RuleLimits { retry_budget: Some((0.0, 0.2, 10.0)), ..limits() };
    assert_eq!(violated_rules(&valid_record(), &no_free_retry), [Rule::RetryBudget]);
    let one_free_retry = RuleLimits { retry_budget: Some((1.0, 0.2, 10.0)), ..limits() };
    assert!(violated_rules(&valid_record(), &one_free_retry).is_empty());
}

#[test]
fn time_in_which_the_front_is_suspended_does_not_count_towards_patience() {
    let timed_out = |ms| line(ms, "viewers", Event::TimedOut { request: 1 });
    let suspended = |ms| line(ms, "conductor", Event::FrontStall { front: "f".into(), ms: 3_000 });
    assert!(check(&[request_sent(0, 1), suspended(1_000), timed_out(4_001)], &limits()).is_empty());
    // The suspension ended before the request, or another front was suspended.
    assert_eq!(check(&[suspended(0), request_sent(3_500, 1), timed_out(7_501)], &limits()).len(), 1);
    let other_front_suspended = line(1_000, "conductor", Event::FrontStall { front: "g".into(), ms: 3_000 });
    assert_eq!(check(&[request_sent(0, 1), other_front_suspended, timed_out(4_001)], &limits()).len(), 1);
}
