//! Tests of agreed policies and fencing in the engine.

use super::*;
use pepperhook::Settings;
use pepperhook_settings::ClassSettings;

/// A policy: decision settings, class settings and tenant names.
type PolicyInput = (Settings, Vec<ClassSettings>, Vec<String>);

/// The policy in force, as a base for changes.
pub fn policy_in_force(engine: &Engine) -> PolicyInput {
    let c = engine.config();
    (c.decisions.clone(), c.classes.clone(), c.tenants.clone())
}

pub fn policy_input(version: u64, (settings, classes, tenants): PolicyInput) -> Input {
    Input::Policy { version, settings: Box::new(settings), classes, tenants }
}

/// A policy derived from `draw` that changes or removes the first class.
pub fn policy_from_draw(engine: &Engine, version: u64, draw: u8) -> Input {
    let (mut s, mut c, t) = policy_in_force(engine);
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
    policy_input(version, (s, c, t))
}

impl Harness {
    /// Inputs a policy that differs from the one in force by `change`.
    fn policy(&mut self, version: u64, change: impl Fn(&mut PolicyInput)) {
        let mut policy = policy_in_force(&self.engine);
        change(&mut policy);
        self.input(policy_input(version, policy));
    }

    fn post(&mut self, ticket: u64, request: SessionRequest) {
        self.input(Input::Post(Ticket(ticket), request));
    }

    /// The policy version that the answer to this ticket names.
    fn version_of(&self, ticket: u64) -> Option<u64> {
        *self.versions.get(&Ticket(ticket)).expect("answered")
    }

    /// The state as JSON, as `/state` shows it.
    fn state(&self) -> serde_json::Value {
        serde_json::to_value(self.engine.snapshot(self.now)).expect("JSON")
    }

    /// Layer selections at nodes: path and rung.
    fn layers(&self) -> Vec<(String, u8)> {
        let layer = |e: &Effect| match e {
            Effect::SetLayer(_, path, rung) => Some((path.clone(), *rung)),
            _ => None,
        };
        self.effects.iter().filter_map(layer).collect()
    }
}

const FENCED: Answer = Answer::Refused(None, Refusal::Fenced);

#[test]
fn without_a_policy_no_status_is_shown_and_answers_name_no_version() {
    let mut harness = Harness::new(4);
    harness.play(1, 1);
    assert_eq!(harness.version_of(1), None);
    assert!(harness.state().get("policy").is_none());
    assert_eq!(harness.engine.earliest_policy_version(), None);
    harness.input(Input::Fenced(false));
    assert!(harness.state().get("policy").is_none());
}

#[test]
fn an_open_set_up_keeps_aim_and_patience_and_its_answer_names_its_version() {
    let mut harness = Harness::new(4);
    harness.policy(1, |_| {});
    harness.post(1, request(1, 1));
    let first = harness.only_attempt();
    harness.policy(2, |(s, c, _)| (s.classes[0].set_up_target, c[0].patience) = (100 * MS, 900 * MS));
    assert_eq!(
        (harness.engine.earliest_policy_version(), harness.state()["policy"]["open_before"].as_u64()),
        (Some(1), Some(1))
    );
    harness.advance(390 * MS);
    assert_eq!(
        harness.only_attempt(),
        first,
        "the attempt time-out follows the aim at the start: half of it"
    );
    harness.post(2, request(1, 1));
    harness.advance(1_500 * MS);
    assert!(
        harness.answer(1).is_none() && harness.answer(2).is_none(),
        "patience is that of the start, also for a duplicate"
    );
    let id = harness.only_attempt();
    harness.end_attempt(id, created("/s/1"));
    assert_eq!(
        (harness.resource(1), harness.version_of(1), harness.version_of(2)),
        (harness.resource(2), Some(1), Some(1))
    );
    assert_eq!(harness.engine.earliest_policy_version(), Some(2));
    harness.post(3, request(1, 1));
    assert_eq!(harness.version_of(3), Some(1), "the repeated answer");
    harness.post(4, request(2, 2));
    harness.advance(900 * MS);
    assert_eq!(
        (harness.answer(4), harness.version_of(4)),
        (Some(&Answer::Failed), Some(2)),
        "a newer request is decided by the newer version"
    );
    assert_eq!(harness.engine.metrics().overdue_answers, 0);
}

#[test]
fn a_parked_request_starts_under_the_policy_in_force_with_the_shorter_patience() {
    let mut harness = Harness::new(4);
    harness.policy(1, |_| {});
    harness.post(1, request(1, 1));
    let first = harness.only_attempt();
    harness.post(2, request(1, 2));
    harness.policy(2, |(_, c, _)| c[0].patience = 9 * S);
    harness.end_attempt(first, AttemptEnd::Closed);
    harness.advance(3_800 * MS);
    assert_eq!((harness.answer(2), harness.version_of(2)), (Some(&Answer::Failed), Some(2)));
    harness.post(3, request(3, 1));
    let first = harness.only_attempt();
    harness.post(4, request(3, 2));
    harness.policy(3, |(s, c, _)| drop((s.classes.remove(0), c.remove(0))));
    harness.end_attempt(first, AttemptEnd::Closed);
    assert_eq!(harness.answer(4), Some(&Answer::ClassClosed), "its class is closed");
    assert!(harness.engine.is_idle() && harness.open_attempts.is_empty());
    assert_eq!(harness.engine.metrics().overdue_answers, 0);
}

#[test]
fn classes_and_tenants_are_matched_by_name_and_keep_their_indices() {
    let mut harness = Harness::with(
        &SETTINGS.replace("section class replay", "section tenant a\nquota 1\nsection class replay"),
        4,
    );
    let resource = harness.play(1, 1);
    // In reverse order, without the first class, with one new class.
    harness.policy(7, |(s, c, t)| {
        s.classes.reverse();
        c.reverse();
        s.classes.truncate(2);
        c.truncate(2);
        s.classes.push(pepperhook::Class { lowest_rung: 1, ..s.classes[0].clone() });
        c.push(ClassSettings { name: "extra".into(), patience: 2 * S, ingest: false, closed: false });
        s.classes[1].value = 9.0;
        (s.tenants[0].quota_per_s, *t) = (5.0, vec!["b".into()]);
    });
    let config = harness.engine.config().clone();
    let names: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
    assert_eq!(names, ["replay", "event", "studio", "extra"]);
    assert_eq!((config.decisions.classes[1].value, config.decisions.classes[0].value), (9.0, 1.0));
    let quotas: Vec<f64> = config.decisions.tenants.iter().map(|t| t.quota_per_s).collect();
    assert_eq!(
        (config.tenants.as_slice(), quotas.as_slice()),
        (&["a".to_owned(), "b".into()][..], &[1.0, 5.0][..])
    );
    assert!(matches!(harness.engine.route(&resource), Route::Node(..)), "an existing session keeps playing");
    harness.post(2, request(1, 1));
    assert_eq!(harness.resource(2), resource, "and its answer is repeated");
    harness.post(3, request(2, 2));
    assert_eq!((harness.answer(3), harness.version_of(3)), (Some(&Answer::ClassClosed), Some(7)));
    assert_eq!(harness.state()["policy"]["closed"], serde_json::json!(["replay"]));
    assert_eq!(harness.state()["classes"][3]["name"], "extra");
    harness.post(4, SessionRequest { class: 3, highest_rung: 0, ..request(4, 4) });
    let id = harness.only_attempt();
    harness.end_attempt(id, created("/s/4"));
    assert!(harness.layers().contains(&("/s/4/layer".into(), 1)), "the lowest rung of the new class");
    // The class is opened again under its index.
    harness.policy(8, |(s, _, _)| s.classes[0].value = 2.0);
    harness.play(5, 5);
    assert_eq!(harness.state()["policy"]["closed"], serde_json::json!([]));
}

#[test]
fn a_session_below_a_new_lowest_rung_is_raised_at_its_node_at_once() {
    let mut harness = Harness::new(4);
    harness.post(1, SessionRequest { highest_rung: 0, ..request(1, 1) });
    let id = harness.only_attempt();
    harness.end_attempt(id, created("/s/1"));
    harness.post(2, SessionRequest { highest_rung: 0, ..request(2, 2) });
    assert_eq!(harness.layers(), []);
    harness.policy(1, |(s, _, _)| s.classes[0].lowest_rung = 1);
    assert_eq!(harness.layers(), [("/s/1/layer".to_owned(), 1)]);
    let id = harness.only_attempt();
    harness.end_attempt(id, created("/s/2"));
    assert_eq!(harness.layers().len(), 2, "and a session that was being set up starts at it");
}

#[test]
fn a_policy_that_cannot_be_applied_is_rejected_and_an_old_one_is_ignored() {
    let mut harness = Harness::new(4);
    harness.policy(3, |(s, _, _)| s.classes[0].value = 3.0);
    harness.policy(2, |(s, _, _)| s.classes[0].value = 2.0);
    harness.policy(3, |(s, _, _)| s.classes[0].value = 2.0);
    let invalid: [fn(&mut PolicyInput); 5] = [
        |(s, _, _)| s.racks = 3,
        |(s, _, _)| s.ladder.clear(),
        |(_, c, _)| c.truncate(1),
        |(_, c, _)| c[1].name = "replay".into(),
        |(_, c, _)| c[1].ingest = true,
    ];
    for (n, change) in invalid.iter().enumerate() {
        let mut policy = policy_in_force(&harness.engine);
        change(&mut policy);
        assert!(harness.engine.check_policy(&policy.0, &policy.1, &policy.2).is_err(), "{n}");
        harness.input(policy_input(9, policy));
    }
    let state = harness.state()["policy"].clone();
    assert_eq!((state["version"].as_u64(), state["changes"].as_u64()), (Some(3), Some(1)));
    assert_eq!(state["objections"].as_u64(), Some(5));
    assert_eq!(harness.engine.config().decisions.classes[0].value, 3.0);
    let rejected =
        harness.effects.iter().filter(|e| matches!(e, Effect::Log(l) if l.contains("cannot be applied")));
    assert_eq!(rejected.count(), 5);
}

#[test]
fn a_fenced_front_starts_nothing_and_accepted_requests_continue() {
    let mut harness = Harness::new(4);
    harness.policy(1, |_| {});
    let plays = harness.play(1, 1);
    harness.post(2, request(2, 2));
    let open = harness.only_attempt();
    // A request that waits until its viewer's earlier attempt is closed.
    harness.post(3, request(3, 1));
    let closing = *harness.open_attempts.keys().find(|id| **id != open).expect("another");
    harness.post(4, request(3, 2));
    harness.input(Input::Fenced(true));
    harness.input(Input::Fenced(true));
    harness.post(5, request(5, 5));
    assert_eq!((harness.answer(5), harness.version_of(5)), (Some(&FENCED), None));
    harness.post(6, request(1, 99));
    assert_eq!(harness.answer(6), Some(&FENCED));
    assert!(matches!(harness.engine.route(&plays), Route::Node(..)), "a newer offer ends no session");
    harness.post(7, request(2, 99));
    assert_eq!(harness.answer(7), Some(&FENCED));
    assert!(harness.answer(2).is_none(), "nor a set-up");
    harness.post(8, SessionRequest { class: 1, ..request(8, 8) });
    assert_eq!(harness.answer(8), Some(&FENCED), "the definition of classes is agreed too");
    harness.post(9, request(1, 1));
    assert_eq!(harness.resource(9), plays, "a duplicate of a playing request");
    harness.post(10, request(2, 2));
    harness.end_attempt(open, AttemptEnd::Answered(503, LoadReport::default()));
    let again = *harness.open_attempts.keys().find(|id| **id != closing).expect("the next node is tried");
    harness.end_attempt(again, created("/s/2"));
    assert_eq!(
        (harness.resource(2), harness.version_of(2)),
        (harness.resource(10), Some(1)),
        "accepted before the fence, with its duplicate"
    );
    harness.end_attempt(closing, AttemptEnd::Closed);
    let id = harness.only_attempt();
    harness.end_attempt(id, created("/s/4"));
    assert_eq!(harness.version_of(4), Some(1), "accepted before the fence, though its set-up started later");
    let node = *harness.engine.nodes.keys().next().expect("a node");
    harness.input(Input::NodeEvent(node, NodeEvent::Delivered(0.9)));
    harness.input(Input::Delete(Ticket(11), plays));
    assert_eq!((harness.answer(11), harness.deleted.len()), (Some(&Answer::Ended), 1));
    assert_eq!(harness.state()["policy"]["fenced"], true);
    assert_eq!(
        (harness.engine.metrics().answers["fenced"], harness.state()["answers"]["fenced"].as_u64()),
        (4, Some(4))
    );
    harness.input(Input::Fenced(false));
    harness.play(12, 12);
    assert_eq!(harness.version_of(12), Some(1));
    let logged =
        harness.effects.iter().filter(|e| matches!(e, Effect::Log(l) if l.contains("fenced"))).count();
    assert_eq!(logged, 2, "one log line for each change");
}

#[test]
fn a_stopping_front_refuses_as_stopping_even_when_fenced() {
    let mut harness = Harness::new(4);
    harness.input(Input::Fenced(true));
    harness.engine.stop();
    harness.post(1, request(1, 1));
    assert_eq!(harness.answer(1), Some(&Answer::Refused(Some(500 * MS), Refusal::Stopping)));
}
