//! For each rule: a valid record passes, a violation is reported.

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

const T0: u64 = 1_000 * SECOND;

fn line(ms: u64, who: &str, what: Event) -> Line {
    Line { unix_ns: T0 + ms * 1_000_000, source: who.into(), event: what }
}

fn asked(ms: u64, request: u64) -> Line {
    let (session, origin, title) = (format!("v{request}/t"), format!("viewer {request}"), "t".to_owned());
    line(
        ms,
        "viewers",
        Event::RequestSent { request, session, origin, title, class: "c".into(), front: "f".into() },
    )
}

fn reply(ms: u64, request: u64, status: u16) -> Line {
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
fn clean() -> Vec<Line> {
    vec![
        asked(0, 1),
        attempt(5, "n1", 1, 1),
        line(405, "n1", Event::AttemptClosed { attempt: 1 }),
        attempt(406, "n2", 1, 1),
        answered(420, "n2", 1, 201),
        reply(425, 1, 201),
    ]
}

fn violated_rules(lines: &[Line], limits: &RuleLimits) -> Vec<Rule> {
    check(lines, limits).iter().map(|b| b.rule).collect()
}

#[test]
fn a_clean_record_passes() {
    assert!(violated_rules(&clean(), &limits()).is_empty());
}

#[test]
fn rule_1_no_answer_two_answers_late_answers_and_bytes_after_it() {
    let with = |line| [clean(), vec![line]].concat();
    assert_eq!(violated_rules(&clean()[..5], &limits()), [Rule::OneAnswer]);
    assert_eq!(violated_rules(&with(reply(500, 1, 503)), &limits()), [Rule::OneAnswer]);
    let extra = line(500, "viewers", Event::UnexpectedBytes { request: 1, bytes: 7 });
    assert_eq!(violated_rules(&with(extra), &limits()), [Rule::OneAnswer]);
    assert_eq!(violated_rules(&[asked(0, 1), reply(4_010, 1, 504)], &limits()), [Rule::OneAnswer]);
    let timed_out = [asked(0, 1), line(4_000, "viewers", Event::TimedOut { request: 1 })];
    assert_eq!(violated_rules(&timed_out, &limits()), [Rule::OneAnswer]);
    let connection_lost = [asked(0, 1), line(300, "viewers", Event::ConnectionLost { request: 1 })];
    assert_eq!(violated_rules(&connection_lost, &limits()), [Rule::OneAnswer]);
    let down = line(290, "conductor", Event::FrontKilled { front: "f".into() });
    assert!(
        violated_rules(&[connection_lost.to_vec(), vec![down]].concat(), &limits()).is_empty(),
        "its front was killed"
    );
    let viewer_left = [asked(0, 1), line(10, "viewers", Event::ViewerLeft { request: 1 })];
    assert!(violated_rules(&viewer_left, &limits()).is_empty(), "the viewer itself left");
}

#[test]
fn rule_2_two_attempts_out_and_a_paid_set_up_again() {
    let mut lines = clean();
    lines[2].unix_ns = T0 + 410 * 1_000_000;
    assert_eq!(violated_rules(&lines, &limits()), [Rule::OneSetUp]);
    lines.remove(2);
    assert_eq!(violated_rules(&lines, &limits()), [Rule::OneSetUp], "never closed");
    let at_most_once = RuleLimits { at_most_once: true, ..limits() };
    assert_eq!(violated_rules(&clean(), &at_most_once), [Rule::OneSetUp]);
    let mut refused = clean();
    refused[2] = answered(405, "n1", 1, 503);
    assert!(violated_rules(&refused, &at_most_once).is_empty(), "a refused attempt never ran");
    let contradiction = [asked(0, 1), attempt(5, "n1", 1, 1), answered(9, "n1", 1, 500), reply(10, 1, 503)];
    assert_eq!(violated_rules(&contradiction, &at_most_once), [Rule::OneSetUp]);
}

#[test]
fn rule_3_a_set_up_past_the_grace() {
    let listed = [published(0, "ready"), published(100, "draining"), published(400, "draining")];
    let with = |ms| {
        let rest = vec![
            asked(ms, 1),
            attempt(ms + 1, "n1", 1, 1),
            answered(ms + 2, "n1", 1, 201),
            reply(ms + 3, 1, 201),
        ];
        [listed.to_vec(), rest].concat()
    };
    assert!(violated_rules(&with(590), &limits()).is_empty());
    assert_eq!(
        violated_rules(&with(700), &limits()),
        [Rule::Drains],
        "counted from the first list that said so"
    );
    let back = [with(1_000), vec![published(900, "ready")]].concat();
    assert!(violated_rules(&back, &limits()).is_empty());
}

#[test]
fn rule_4_a_cold_node_sent_too_much() {
    let start = line(0, "n1", Event::NodeStart { streams: 12.0, cold_share: 0.4, cold_s: 12.0 });
    // 2.5 x 1/s x 0.4 x 2 s + 3 of slack: five set-ups are allowed at the start.
    let sends = |n: u64| -> Vec<Line> {
        (1..=n)
            .flat_map(|i| {
                [asked(i, i), attempt(i, "n1", i, i), answered(i + 1, "n1", i, 201), reply(i + 2, i, 201)]
            })
            .collect()
    };
    assert!(violated_rules(&[vec![start.clone()], sends(5)].concat(), &limits()).is_empty());
    assert_eq!(violated_rules(&[vec![start], sends(6)].concat(), &limits()), [Rule::Cold]);
    assert_eq!(violated_rules(&[line(0, "n1", Event::Overloaded)], &limits()), [Rule::Cold]);
}

#[test]
fn rule_5_below_the_floor_and_past_the_seats() {
    let floor = RuleLimits { floor: 1, ..limits() };
    let layer = |ms, rung| line(ms, "n2", Event::RungSelected { origin: "viewer 1".into(), rung });
    assert!(violated_rules(&[clean(), vec![layer(421, 1)]].concat(), &floor).is_empty());
    assert_eq!(
        violated_rules(&[clean(), vec![layer(421, 1), layer(900, 0)]].concat(), &floor),
        [Rule::ClassLimits]
    );
    let late = [clean(), vec![asked(5_000, 9), reply(5_001, 9, 503)]].concat();
    assert_eq!(violated_rules(&late, &floor), [Rule::ClassLimits], "no rung was ever set");
    let seats = RuleLimits { seats: 1, ..limits() };
    let second = [asked(500, 2), attempt(501, "n1", 2, 2), answered(502, "n1", 2, 201), reply(503, 2, 201)];
    assert_eq!(violated_rules(&[clean(), second.to_vec()].concat(), &seats), [Rule::ClassLimits]);
    let ended = line(450, "n2", Event::SessionEnded { origin: "viewer 1".into(), reason: "delete".into() });
    assert!(violated_rules(&[clean(), second.to_vec(), vec![ended]].concat(), &seats).is_empty());
}

#[test]
fn rule_6_further_attempts_past_the_ration() {
    let tight = RuleLimits { retry_budget: Some((0.0, 0.2, 10.0)), ..limits() };
    assert_eq!(violated_rules(&clean(), &tight), [Rule::RetryBudget]);
    let loose = RuleLimits { retry_budget: Some((1.0, 0.2, 10.0)), ..limits() };
    assert!(violated_rules(&clean(), &loose).is_empty());
}

#[test]
fn patience_is_not_counted_while_a_front_stands_still() {
    let timed_out = |ms| line(ms, "viewers", Event::TimedOut { request: 1 });
    let suspended = |ms| line(ms, "conductor", Event::FrontStall { front: "f".into(), ms: 3_000 });
    assert!(check(&[asked(0, 1), suspended(1_000), timed_out(4_001)], &limits()).is_empty());
    // The suspension ended before the request, or another front was suspended.
    assert_eq!(check(&[suspended(0), asked(3_500, 1), timed_out(7_501)], &limits()).len(), 1);
    let other = line(1_000, "conductor", Event::FrontStall { front: "g".into(), ms: 3_000 });
    assert_eq!(check(&[asked(0, 1), other, timed_out(4_001)], &limits()).len(), 1);
}
