//! For each rule: valid evidence passes, a violation is reported.

use super::*;

fn text(aim: &str, closed: &str, top: u8) -> String {
    format!(
        "join 1\nsection class replay\naim {aim}\nclosed no\nsection class guest\naim 800ms\ntop {top}\nclosed {closed}\n"
    )
}

fn shown(t: u64, front: &str, version: u64, step: &str, entry: u64, text: String) -> ConsoleReading {
    ConsoleReading { unix_ns: t, front: front.into(), version, step: step.into(), entry, text }
}

fn asked(t: u64, request: u64, title: u32) -> Line {
    let (session, origin) = (format!("v{request}/t"), format!("viewer {request}"));
    let (title, class, front) = (format!("title-{title}"), "c".into(), "f0".into());
    Line {
        unix_ns: t,
        source: "viewers".into(),
        event: Event::RequestSent { request, session, origin, title, class, front },
    }
}

fn answered(t: u64, request: u64, status: u16, kind: &str, entry: u64) -> [Line; 2] {
    let line = |what| Line { unix_ns: t, source: "viewers".into(), event: what };
    let under = Event::PolicyReported { request, entry: Some(entry), problem_type: kind.into() };
    [line(Event::ResponseReceived { request, status, retry_after: None }), line(under)]
}

fn told(key: u64, marker: &str, answer: &str, version: u64) -> OperatorAnswer {
    let (marker, answer) = (marker.into(), answer.into());
    OperatorAnswer { key, marker, called_ns: 10, answered_ns: 100, answer, version: Some(version) }
}

/// Version 1; version 2, which closes the class `guest`; version 3, which is undone.
fn clean() -> Evidence {
    let (one, both, two) = (text("800ms", "no", 4), text("700ms", "yes", 4), text("700ms", "yes", 4));
    let third = text("600ms", "yes", 2);
    let mut shown_ = Vec::new();
    for f in ["f0", "f1"] {
        shown_.extend([
            shown(1, f, 1, "stands", 1, one.clone()),
            shown(20, f, 2, "first", 5, both.clone() + "# both\n"),
            shown(40, f, 2, "second", 6, two.clone()),
            shown(60, f, 2, "stands", 7, two.clone()),
            shown(120, f, 3, "first", 9, third.clone()),
            shown(140, f, 2, "back", 10, two.clone()),
            shown(160, f, 2, "stands", 11, two.clone()),
        ]);
    }
    let mut lines = vec![asked(2, 1, 1), asked(25, 2, 0), asked(45, 3, 1), asked(70, 4, 0), asked(150, 5, 0)];
    lines.extend(answered(5, 1, 201, "", 1));
    lines.extend(answered(30, 2, 201, "", 5));
    lines.extend(answered(50, 3, 409, "class-closed", 6));
    lines.extend(answered(80, 4, 201, "", 7));
    lines.extend(answered(155, 5, 201, "", 10));
    lines.push(Line {
        unix_ns: 6,
        source: "n1".into(),
        event: Event::RungSelected { origin: "viewer 1".into(), rung: 4 },
    });
    let told =
        vec![told(1, "700ms", "stands", 2), told(2, "600ms", "undone", 3), told(3, "500ms", "conflict", 2)];
    let ends = vec![("f0".into(), 11, true), ("f1".into(), 11, true)];
    Evidence {
        lines,
        shown: shown_,
        operator_answers: told,
        ends,
        settled_ms: Some(100),
        disagreement: None,
        last: vec![1],
    }
}

fn caught(e: &Evidence, finding: &str) {
    let broken = check(e);
    assert!(broken.iter().any(|b| b.contains(finding)), "{finding}: {broken:?}");
}

#[test]
fn clean_evidence_passes() {
    assert_eq!(check(&clean()), Vec::<String>::new());
}

#[test]
fn an_old_policy_after_a_new_one_is_caught_and_a_neighbour_is_not() {
    let mut e = clean();
    e.lines.push(asked(52, 6, 0));
    e.lines.extend(answered(58, 6, 201, "", 5));
    assert!(check(&e).is_empty(), "the first step and the new policy may overlap");
    e.lines.push(asked(53, 7, 0));
    e.lines.extend(answered(59, 7, 201, "", 1));
    caught(&e, "request 7 was answered by version 1");
    // The request precedes the first answer by the new policy.
    let mut e = clean();
    e.lines.push(asked(49, 8, 0));
    e.lines.extend(answered(90, 8, 201, "", 1));
    assert!(check(&e).is_empty());
}

#[test]
fn the_same_policy_before_and_after_an_undone_step_is_no_breach() {
    let mut e = clean();
    e.lines.push(asked(156, 6, 0));
    e.lines.extend(answered(159, 6, 201, "", 7));
    assert!(check(&e).is_empty());
    e.lines.push(asked(157, 7, 0));
    e.lines.extend(answered(159, 7, 201, "", 5));
    caught(&e, "request 7 was answered by version 2 (first)");
}

#[test]
fn a_step_that_nobody_showed_makes_no_neighbours() {
    let mut e = clean();
    e.shown.retain(|s| s.entry != 5);
    e.lines.retain(|l| !matches!(l.event, Event::PolicyReported { entry: Some(5), .. }));
    e.lines.push(asked(52, 6, 0));
    e.lines.extend(answered(58, 6, 201, "", 1));
    caught(&e, "request 6 was answered by version 1");
}

#[test]
fn an_entry_that_nobody_decided_and_one_that_is_two_are_caught() {
    let mut e = clean();
    e.lines.push(asked(52, 6, 0));
    e.lines.extend(answered(58, 6, 201, "", 8));
    caught(&e, "entry 8, which no front showed");
    let mut e = clean();
    e.shown.push(shown(61, "f1", 2, "stands", 7, text("650ms", "no", 4)));
    caught(&e, "entry 7 is two policies");
}

#[test]
fn answers_that_contradict_their_policy_are_caught() {
    let mut e = clean();
    e.lines.push(asked(52, 6, 1));
    e.lines.extend(answered(58, 6, 201, "", 6));
    caught(&e, "request 6 plays");
    let mut e = clean();
    e.lines.push(asked(52, 6, 0));
    e.lines.extend(answered(58, 6, 409, "class-closed", 6));
    caught(&e, "request 6 was refused as closed");
}

#[test]
fn a_rung_above_the_top_is_caught_and_one_that_a_later_policy_lets_is_not() {
    let mut e = clean();
    for s in e.shown.iter_mut().filter(|s| s.entry == 1) {
        s.text = text("800ms", "no", 2);
    }
    caught(&e, "viewer 1 of guest has rung 4");
    for line in e.lines.iter_mut().filter(|l| matches!(l.event, Event::RungSelected { .. })) {
        line.unix_ns = 50;
    }
    assert!(check(&e).is_empty(), "by then the top is 4");
}

#[test]
fn what_operators_are_told_must_be_true() {
    let mut e = clean();
    e.operator_answers.push(told(4, "400ms", "stands", 3));
    caught(&e, "version 3 stands, and it does not");
    let mut e = clean();
    e.operator_answers.push(told(4, "400ms", "undone", 2));
    caught(&e, "version 2 is undone, and it was in force");
    let mut e = clean();
    e.operator_answers.push(told(4, "700ms", "conflict", 1));
    caught(&e, "was told conflict, and version 2 is its policy");
    let mut e = clean();
    e.operator_answers.push(told(1, "700ms", "undone", 3));
    caught(&e, "call 1 has two answers");
    let mut e = clean();
    e.ends[1].1 = 5;
    caught(&e, "version 2 stands, and f1 is at entry 5");
    let mut e = clean();
    e.last.push(3);
    caught(&e, "call 3, made after all faults");
}

#[test]
fn fronts_that_do_not_come_to_one_policy_are_caught() {
    let mut e = clean();
    e.settled_ms = None;
    caught(&e, "did not come to one policy");
    let mut e = clean();
    e.ends[0].1 = 7;
    caught(&e, "different entries");
    let mut e = clean();
    e.ends[0].2 = false;
    caught(&e, "fenced or within a change");
    let mut e = clean();
    e.shown.push(shown(130, "f0", 4, "first", 12, text("1ms", "no", 1)));
    e.shown.push(shown(131, "f0", 5, "first", 13, text("2ms", "no", 1)));
    caught(&e, "began while another was in its first step");
}
