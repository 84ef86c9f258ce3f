//! Agreed policies and fences in the engine.

use super::*;
use pepperhook::Settings;
use pepperhook_settings::ClassSettings;

type Terms = (Settings, Vec<ClassSettings>, Vec<String>);

/// What is in force, to be changed.
pub fn terms(engine: &Engine) -> Terms {
    let c = engine.config();
    (c.decisions.clone(), c.classes.clone(), c.tenants.clone())
}

pub fn input(version: u64, (settings, classes, tenants): Terms) -> Input {
    Input::Policy { version, settings: Box::new(settings), classes, tenants }
}

/// One of many policies for the first class, some without it.
pub fn drawn(engine: &Engine, version: u64, draw: u8) -> Input {
    let (mut s, mut c, t) = terms(engine);
    let bit = |n: u8| u64::from(draw >> n) & 1;
    c[0].patience = (1 + bit(0) + 2 * bit(1)) * S;
    s.classes[0].set_up_target = (200 + 600 * bit(2)) * MS;
    (s.classes[0].lowest_rung, s.classes[0].max_sessions_per_title) = (bit(3) as u8, 2 * bit(4) as u32);
    s.classes[0].idempotency =
        if bit(5) == 0 { pepperhook::Idempotency::Idempotent } else { pepperhook::Idempotency::AtMostOnce };
    if draw >= 208 {
        s.classes.remove(0);
        c.remove(0);
    }
    input(version, (s, c, t))
}

impl Bench {
    /// A policy that differs like this from what is in force.
    fn policy(&mut self, version: u64, change: impl Fn(&mut Terms)) {
        let mut terms = terms(&self.engine);
        change(&mut terms);
        self.put(input(version, terms));
    }

    fn post(&mut self, ticket: u64, ask: SessionRequest) {
        self.put(Input::Post(Ticket(ticket), ask));
    }

    fn by(&self, ticket: u64) -> Option<u64> {
        *self.by.get(&Ticket(ticket)).expect("answered")
    }

    fn state(&self) -> serde_json::Value {
        serde_json::to_value(self.engine.snapshot(self.now)).expect("JSON")
    }

    fn layers(&self) -> Vec<(String, u8)> {
        let layer = |e: &Effect| match e {
            Effect::SetLayer(_, path, rung) => Some((path.clone(), *rung)),
            _ => None,
        };
        self.seen.iter().filter_map(layer).collect()
    }
}

const FENCED: Answer = Answer::Refused(None, Refusal::Fenced);

#[test]
fn without_a_policy_nothing_is_shown_and_answers_name_none() {
    let mut b = Bench::new(4);
    b.play(1, 1);
    assert_eq!(b.by(1), None);
    assert!(b.state().get("policy").is_none());
    assert_eq!(b.engine.earliest_policy_version(), None);
    b.put(Input::Fenced(false));
    assert!(b.state().get("policy").is_none());
}

#[test]
fn an_open_set_up_keeps_aim_and_patience_and_its_answer_names_its_version() {
    let mut b = Bench::new(4);
    b.policy(1, |_| {});
    b.post(1, ask(1, 1));
    let first = b.only();
    b.policy(2, |(s, c, _)| (s.classes[0].set_up_target, c[0].patience) = (100 * MS, 900 * MS));
    assert_eq!(
        (b.engine.earliest_policy_version(), b.state()["policy"]["open_before"].as_u64()),
        (Some(1), Some(1))
    );
    b.pass(390 * MS);
    assert_eq!(b.only(), first, "half of the aim that it was taken with");
    b.post(2, ask(1, 1));
    b.pass(1_500 * MS);
    assert!(b.answer(1).is_none() && b.answer(2).is_none(), "its patience, and a copy is the same request");
    let id = b.only();
    b.end(id, created("/s/1"));
    assert_eq!((b.resource(1), b.by(1), b.by(2)), (b.resource(2), Some(1), Some(1)));
    assert_eq!(b.engine.earliest_policy_version(), Some(2));
    b.post(3, ask(1, 1));
    assert_eq!(b.by(3), Some(1), "the answer given once more");
    b.post(4, ask(2, 2));
    b.pass(900 * MS);
    assert_eq!((b.answer(4), b.by(4)), (Some(&Answer::Failed), Some(2)), "newer ones by the newer");
    assert_eq!(b.engine.metrics().overdue_answers, 0);
}

#[test]
fn a_parked_request_begins_by_what_is_in_force_with_the_shorter_patience() {
    let mut b = Bench::new(4);
    b.policy(1, |_| {});
    b.post(1, ask(1, 1));
    let first = b.only();
    b.post(2, ask(1, 2));
    b.policy(2, |(_, c, _)| c[0].patience = 9 * S);
    b.end(first, AttemptEnd::Closed);
    b.pass(3_800 * MS);
    assert_eq!((b.answer(2), b.by(2)), (Some(&Answer::Failed), Some(2)));
    b.post(3, ask(3, 1));
    let first = b.only();
    b.post(4, ask(3, 2));
    b.policy(3, |(s, c, _)| drop((s.classes.remove(0), c.remove(0))));
    b.end(first, AttemptEnd::Closed);
    assert_eq!(b.answer(4), Some(&Answer::ClassClosed), "its class takes nothing new");
    assert!(b.engine.is_idle() && b.out.is_empty());
    assert_eq!(b.engine.metrics().overdue_answers, 0);
}

#[test]
fn classes_and_tenants_are_matched_by_name_and_keep_their_indices() {
    let mut b = Bench::with(
        &SETTINGS.replace("section class replay", "section tenant a\nquota 1\nsection class replay"),
        4,
    );
    let resource = b.play(1, 1);
    // The other way round, without the first, with one that is new.
    b.policy(7, |(s, c, t)| {
        s.classes.reverse();
        c.reverse();
        s.classes.truncate(2);
        c.truncate(2);
        s.classes.push(pepperhook::Class { lowest_rung: 1, ..s.classes[0].clone() });
        c.push(ClassSettings { name: "extra".into(), patience: 2 * S, ingest: false, closed: false });
        s.classes[1].value = 9.0;
        (s.tenants[0].quota_per_s, *t) = (5.0, vec!["b".into()]);
    });
    let config = b.engine.config().clone();
    let names: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
    assert_eq!(names, ["replay", "event", "studio", "extra"]);
    assert_eq!((config.decisions.classes[1].value, config.decisions.classes[0].value), (9.0, 1.0));
    let quotas: Vec<f64> = config.decisions.tenants.iter().map(|t| t.quota_per_s).collect();
    assert_eq!(
        (config.tenants.as_slice(), quotas.as_slice()),
        (&["a".to_owned(), "b".into()][..], &[1.0, 5.0][..])
    );
    assert!(matches!(b.engine.route(&resource), Route::Node(..)), "who stands plays on");
    b.post(2, ask(1, 1));
    assert_eq!(b.resource(2), resource, "and its answer is given once more");
    b.post(3, ask(2, 2));
    assert_eq!((b.answer(3), b.by(3)), (Some(&Answer::ClassClosed), Some(7)));
    assert_eq!(b.state()["policy"]["closed"], serde_json::json!(["replay"]));
    assert_eq!(b.state()["classes"][3]["name"], "extra");
    b.post(4, SessionRequest { class: 3, highest_rung: 0, ..ask(4, 4) });
    let id = b.only();
    b.end(id, created("/s/4"));
    assert!(b.layers().contains(&("/s/4/layer".into(), 1)), "the new class's floor");
    // It is opened again under its index.
    b.policy(8, |(s, _, _)| s.classes[0].value = 2.0);
    b.play(5, 5);
    assert_eq!(b.state()["policy"]["closed"], serde_json::json!([]));
}

#[test]
fn a_session_below_a_new_floor_is_raised_at_its_node_at_once() {
    let mut b = Bench::new(4);
    b.post(1, SessionRequest { highest_rung: 0, ..ask(1, 1) });
    let id = b.only();
    b.end(id, created("/s/1"));
    b.post(2, SessionRequest { highest_rung: 0, ..ask(2, 2) });
    assert_eq!(b.layers(), []);
    b.policy(1, |(s, _, _)| s.classes[0].lowest_rung = 1);
    assert_eq!(b.layers(), [("/s/1/layer".to_owned(), 1)]);
    let id = b.only();
    b.end(id, created("/s/2"));
    assert_eq!(b.layers().len(), 2, "and one that was being set up comes in there");
}

#[test]
fn a_policy_that_cannot_be_gone_by_is_objected_to_and_a_late_one_is_passed_over() {
    let mut b = Bench::new(4);
    b.policy(3, |(s, _, _)| s.classes[0].value = 3.0);
    b.policy(2, |(s, _, _)| s.classes[0].value = 2.0);
    b.policy(3, |(s, _, _)| s.classes[0].value = 2.0);
    let wrong: [fn(&mut Terms); 5] = [
        |(s, _, _)| s.racks = 3,
        |(s, _, _)| s.ladder.clear(),
        |(_, c, _)| c.truncate(1),
        |(_, c, _)| c[1].name = "replay".into(),
        |(_, c, _)| c[1].ingest = true,
    ];
    for (n, change) in wrong.iter().enumerate() {
        let mut terms = terms(&b.engine);
        change(&mut terms);
        assert!(b.engine.check_policy(&terms.0, &terms.1, &terms.2).is_err(), "{n}");
        b.put(input(9, terms));
    }
    let state = b.state()["policy"].clone();
    assert_eq!((state["version"].as_u64(), state["changes"].as_u64()), (Some(3), Some(1)));
    assert_eq!(state["objections"].as_u64(), Some(5));
    assert_eq!(b.engine.config().decisions.classes[0].value, 3.0);
    let objected = b.seen.iter().filter(|e| matches!(e, Effect::Log(l) if l.contains("cannot be gone by")));
    assert_eq!(objected.count(), 5);
}

#[test]
fn a_fenced_front_begins_nothing_and_all_that_was_taken_goes_on() {
    let mut b = Bench::new(4);
    b.policy(1, |_| {});
    let plays = b.play(1, 1);
    b.post(2, ask(2, 2));
    let open = b.only();
    // One whose viewer's earlier attempt is being closed.
    b.post(3, ask(3, 1));
    let closing = *b.out.keys().find(|id| **id != open).expect("another");
    b.post(4, ask(3, 2));
    b.put(Input::Fenced(true));
    b.put(Input::Fenced(true));
    b.post(5, ask(5, 5));
    assert_eq!((b.answer(5), b.by(5)), (Some(&FENCED), None));
    b.post(6, ask(1, 99));
    assert_eq!(b.answer(6), Some(&FENCED));
    assert!(matches!(b.engine.route(&plays), Route::Node(..)), "a newer offer ends no session");
    b.post(7, ask(2, 99));
    assert_eq!(b.answer(7), Some(&FENCED));
    assert!(b.answer(2).is_none(), "nor a set-up");
    b.post(8, SessionRequest { class: 1, ..ask(8, 8) });
    assert_eq!(b.answer(8), Some(&FENCED), "what a class is, is agreed too");
    b.post(9, ask(1, 1));
    assert_eq!(b.resource(9), plays, "a copy of what plays");
    b.post(10, ask(2, 2));
    b.end(open, AttemptEnd::Answered(503, LoadReport::default()));
    let again = *b.out.keys().find(|id| **id != closing).expect("the next node is tried");
    b.end(again, created("/s/2"));
    assert_eq!((b.resource(2), b.by(2)), (b.resource(10), Some(1)), "taken before, with its copy");
    b.end(closing, AttemptEnd::Closed);
    let id = b.only();
    b.end(id, created("/s/4"));
    assert_eq!(b.by(4), Some(1), "taken before, though it began later");
    let node = *b.engine.nodes.keys().next().expect("a node");
    b.put(Input::NodeEvent(node, NodeEvent::Delivered(0.9)));
    b.put(Input::Delete(Ticket(11), plays));
    assert_eq!((b.answer(11), b.deleted.len()), (Some(&Answer::Ended), 1));
    assert_eq!(b.state()["policy"]["fenced"], true);
    assert_eq!((b.engine.metrics().answers["fenced"], b.state()["answers"]["fenced"].as_u64()), (4, Some(4)));
    b.put(Input::Fenced(false));
    b.play(12, 12);
    assert_eq!(b.by(12), Some(1));
    let told = b.seen.iter().filter(|e| matches!(e, Effect::Log(l) if l.contains("fenced"))).count();
    assert_eq!(told, 2, "once each way");
}

#[test]
fn a_stopping_front_says_so_though_it_is_fenced() {
    let mut b = Bench::new(4);
    b.put(Input::Fenced(true));
    b.engine.stop();
    b.post(1, ask(1, 1));
    assert_eq!(b.answer(1), Some(&Answer::Refused(Some(500 * MS), Refusal::Stopping)));
}
