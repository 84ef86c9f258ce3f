//! Tests of the engine under a simulated clock: answers, attempts and sessions in any order of inputs.

mod policy;

use super::*;
use bytes::Bytes;
use pepperhook_inventory::{InventoryNames, parse};
use pepperhook_liveness::FailedDial;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Time = 1_000_000;
const S: Time = 1_000 * MS;
const T0: Time = 1_000 * S;

const SETTINGS: &str = "name f\nlisten 127.0.0.1:0\nzones z\nzone z\nracks 2\ncells 4\nuplink-kb 40000\n\
kb-per-weight 12000\nall-links-kb 48000\ngauges streams link uplink\ninventory x\nmax-advice 500ms\n\
section ladder\nrung 200 0.3\nrung 600 1\nsection class replay\naim 800ms\npatience 4s\n\
section class event\naim 800ms\npatience 4s\nlive yes\nsection class studio\naim 800ms\npatience 4s\ningest yes\n\
section kind k\nstreams 60\nsection rules\ncold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n";

fn engine_with(settings: &str, nodes: usize) -> Engine {
    let config = Rc::new(Config::parse("t", settings).expect("settings"));
    let names: InventoryNames = config.names.clone();
    let mut list = "name,address,zone,cell,kind,weight,state\n".to_owned();
    (0..nodes).for_each(|i| list += &format!("n{i},127.0.0.1:{},z,{i},k,1,ready\n", 9_000 + i));
    let mut engine = Engine::new(config, 7).expect("an engine");
    engine.handle(T0, Input::Nodes(parse(list.as_bytes(), &names).expect("a list")), &mut Vec::new());
    engine
}

fn request(viewer: u64, offer: u64) -> SessionRequest {
    SessionRequest {
        offer: Bytes::from_static(b"offer"),
        offer_hash: offer,
        title_name: "t".into(),
        title: TitleId(1),
        first_cell: 0,
        cell_count: 4,
        class: 0,
        tenant: 0,
        viewer: ViewerKey(viewer),
        highest_rung: 1,
        publish: false,
    }
}

fn created(path: &str) -> AttemptEnd {
    AttemptEnd::Created(Created {
        path: path.into(),
        etag: None,
        answer: Bytes::from_static(b"answer"),
        events: Some(format!("{path}/events")),
        layer: Some(format!("{path}/layer")),
        ice: Vec::new(),
        load: LoadReport::default(),
    })
}

/// An engine under test, its clock and a record of its effects.
struct Harness {
    engine: Engine,
    now: Time,
    open_attempts: BTreeMap<AttemptId, ServerId>,
    answers: BTreeMap<Ticket, Vec<Answer>>,
    /// The policy version that each answer names.
    versions: BTreeMap<Ticket, Option<u64>>,
    /// Paths deleted at nodes.
    deleted: Vec<String>,
    /// Resource and event name of each notice to a viewer.
    notices: Vec<(String, &'static str)>,
    effects: Vec<Effect>,
}

impl Harness {
    fn new(nodes: usize) -> Self {
        Self::with(SETTINGS, nodes)
    }

    fn with(settings: &str, nodes: usize) -> Self {
        let engine = engine_with(settings, nodes);
        let (open_attempts, answers) = (BTreeMap::new(), BTreeMap::new());
        let (versions, deleted, notices, effects) = Default::default();
        Self { engine, now: T0, open_attempts, answers, versions, deleted, notices, effects }
    }

    fn record(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match &effect {
                Effect::SetUp { attempt, node, .. } => {
                    self.open_attempts.insert(*attempt, *node);
                }
                Effect::ResetAttempt(id) => {
                    self.open_attempts.remove(id);
                }
                Effect::Answer(ticket, answer, version) => {
                    self.answers.entry(*ticket).or_default().push(answer.clone());
                    self.versions.insert(*ticket, *version);
                }
                Effect::DeleteUpstream(_, path) => self.deleted.push(path.clone()),
                Effect::NotifyViewer(resource, event, _) => self.notices.push((resource.clone(), event)),
                _ => {}
            }
            self.effects.push(effect);
        }
    }

    fn input(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.engine.handle(self.now, input, &mut effects);
        self.record(effects);
    }

    /// Advances the clock, running each timer at its time.
    fn advance(&mut self, time: Time) {
        let until = self.now + time;
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= until) {
            self.now = at.max(self.now);
            let mut effects = Vec::new();
            self.engine.wake(self.now, &mut effects);
            self.record(effects);
        }
        self.now = until;
    }

    fn end_attempt(&mut self, id: AttemptId, end: AttemptEnd) {
        let node = self.open_attempts.remove(&id).expect("an open attempt");
        self.input(Input::AttemptEnded(id, node, end));
    }

    /// The only open attempt.
    fn only_attempt(&self) -> AttemptId {
        assert_eq!(self.open_attempts.len(), 1, "one attempt is open");
        *self.open_attempts.keys().next().expect("one")
    }

    /// Sets a session up for this viewer; returns its resource.
    fn play(&mut self, ticket: u64, viewer: u64) -> String {
        self.input(Input::Post(Ticket(ticket), request(viewer, viewer)));
        let id = self.only_attempt();
        self.end_attempt(id, created(&format!("/s/{ticket}")));
        self.resource(ticket)
    }

    /// The answer to this ticket, if it has one. Fails on a second answer.
    fn answer(&self, ticket: u64) -> Option<&Answer> {
        let given = self.answers.get(&Ticket(ticket))?;
        assert_eq!(given.len(), 1, "one answer for each ticket");
        given.first()
    }

    /// The resource that the answer to this ticket created.
    fn resource(&self, ticket: u64) -> String {
        match self.answer(ticket) {
            Some(Answer::Created { resource, .. }) => resource.clone(),
            other => panic!("no session for {ticket}: {other:?}"),
        }
    }
}

#[test]
fn a_request_plays_and_its_delete_reaches_the_node() {
    let mut harness = Harness::new(4);
    let resource = harness.play(1, 1);
    assert!(matches!(harness.engine.route(&resource), Route::Node(_, p) if p == "/s/1"));
    assert!(harness.effects.iter().any(|e| matches!(e, Effect::SetLayer(_, p, 1) if p == "/s/1/layer")));
    harness.input(Input::Delete(Ticket(2), resource.clone()));
    assert_eq!(
        (harness.answer(2), harness.deleted.as_slice()),
        (Some(&Answer::Ended), &["/s/1".to_owned()][..])
    );
    harness.input(Input::Delete(Ticket(3), resource));
    assert_eq!(harness.answer(3), Some(&Answer::UnknownSession), "a second DELETE finds nothing");
    assert_eq!(harness.deleted.len(), 1);
}

#[test]
fn a_silent_node_gets_a_grace_period_then_a_reset_and_only_then_is_another_tried() {
    let mut harness = Harness::new(4);
    harness.input(Input::Post(Ticket(1), request(1, 1)));
    let first = harness.only_attempt();
    harness.advance(400 * MS);
    assert!(harness.effects.iter().any(|e| matches!(e, Effect::CloseAttempt(id) if *id == first)));
    assert_eq!(harness.only_attempt(), first, "no other attempt starts during the grace period");
    harness.advance(40 * MS);
    assert!(harness.effects.iter().any(|e| matches!(e, Effect::ResetAttempt(id) if *id == first)));
    assert_ne!(harness.only_attempt(), first);
}

#[test]
fn a_late_201_is_deleted_at_its_node_and_never_reaches_the_viewer() {
    let mut harness = Harness::new(4);
    harness.input(Input::Post(Ticket(1), request(1, 1)));
    let first = harness.only_attempt();
    harness.advance(400 * MS);
    harness.end_attempt(first, created("/s/late"));
    assert_eq!(harness.deleted, ["/s/late"]);
    assert!(harness.answer(1).is_none());
    let second = harness.only_attempt();
    harness.end_attempt(second, created("/s/good"));
    assert!(matches!(harness.engine.route(&harness.resource(1)), Route::Node(_, p) if p == "/s/good"));
    // A 201 that arrives after the reset is deleted too.
    harness.input(Input::AttemptEnded(first, ServerId(1), created("/s/later")));
    assert_eq!(harness.deleted, ["/s/late", "/s/later"]);
}

#[test]
fn duplicate_requests_share_one_session_and_get_an_answer_each() {
    let mut harness = Harness::new(4);
    harness.input(Input::Post(Ticket(1), request(1, 1)));
    harness.input(Input::Post(Ticket(2), request(1, 1)));
    let id = harness.only_attempt();
    harness.end_attempt(id, created("/s/1"));
    assert_eq!(harness.resource(1), harness.resource(2));
    harness.input(Input::Post(Ticket(3), request(1, 1)));
    assert_eq!(harness.resource(3), harness.resource(1), "the answer is repeated while it plays");
    assert_eq!(harness.engine.metrics().attempts, 1);
}

#[test]
fn a_newer_offer_replaces_a_waiting_one_after_its_attempt_is_closed() {
    let mut harness = Harness::new(4);
    harness.input(Input::Post(Ticket(1), request(1, 1)));
    let first = harness.only_attempt();
    harness.input(Input::Post(Ticket(2), request(1, 2)));
    assert_eq!(harness.answer(1), Some(&Answer::Superseded));
    assert_eq!(harness.only_attempt(), first, "the newer request waits");
    harness.end_attempt(first, AttemptEnd::Closed);
    let second = harness.only_attempt();
    harness.end_attempt(second, created("/s/2"));
    harness.resource(2);
    assert!(harness.engine.is_idle());
}

#[test]
fn a_newer_offer_ends_the_playing_session() {
    let mut harness = Harness::new(4);
    let old = harness.play(1, 1);
    harness.input(Input::Post(Ticket(2), request(1, 99)));
    assert_eq!(harness.deleted, ["/s/1"]);
    assert_eq!(harness.engine.route(&old), Route::Unknown);
    let id = harness.only_attempt();
    harness.end_attempt(id, created("/s/2"));
    harness.resource(2);
}

#[test]
fn a_viewer_who_disconnects_during_set_up_leaves_no_session_at_the_node() {
    let mut harness = Harness::new(4);
    harness.input(Input::Post(Ticket(1), request(1, 1)));
    let id = harness.only_attempt();
    harness.input(Input::Disconnected(Ticket(1)));
    assert!(harness.effects.iter().any(|e| matches!(e, Effect::CloseAttempt(a) if *a == id)));
    harness.end_attempt(id, created("/s/1"));
    assert_eq!(harness.deleted, ["/s/1"]);
    assert!(harness.answer(1).is_none() && harness.engine.is_idle());
}

/// Guards against a refusal, which says that a new try does no harm, while a copy of the request is being served.
#[test]
fn a_copy_of_a_request_joins_it_at_a_front_that_stops_or_is_full() {
    for stops in [true, false] {
        let mut harness = Harness::with(&SETTINGS.replace("inventory x", "inventory x\nmax-waiting 1"), 4);
        harness.input(Input::Post(Ticket(1), request(1, 1)));
        if stops {
            harness.engine.stop();
        }
        harness.input(Input::Post(Ticket(2), request(1, 1)));
        harness.input(Input::Post(Ticket(3), request(2, 2)));
        assert!(harness.answer(2).is_none(), "it waits for the answer to the first");
        assert!(matches!(harness.answer(3), Some(Answer::Refused(..))));
        let id = harness.only_attempt();
        harness.end_attempt(id, created("/s/1"));
        assert_eq!(harness.answer(1), harness.answer(2));
        assert!(matches!(harness.answer(2), Some(Answer::Created { .. })));
    }
}

/// Fails each dial of the only node's event stream until `until`, or until its sessions have ended; returns the number of
/// dials.
fn fail_dials(harness: &mut Harness, end: FailedDial, until: Time) -> usize {
    let node = *harness.engine.nodes.keys().next().expect("a node");
    let opened = |harness: &Harness| {
        harness.effects.iter().filter(|e| matches!(e, Effect::OpenNodeEvents(..))).count()
    };
    let (mut failed, before) = (opened(harness) - 1, opened(harness) - 1);
    while harness.now < until && !harness.engine.resources.is_empty() {
        if opened(harness) > failed {
            failed += 1;
            if end == FailedDial::TimedOut {
                harness.advance(250 * MS);
            }
            harness.input(Input::StreamEnded(node, StreamEnd::DialFailed(Some(end))));
        }
        harness.advance(10 * MS);
    }
    failed - before
}

/// Guards against sessions of a dead node that stand for ever, and against nodes that are dialled without end meanwhile.
#[test]
fn a_dead_node_ends_its_sessions_in_time_and_their_viewers_are_notified() {
    for end in [FailedDial::Refused, FailedDial::TimedOut] {
        let mut harness = Harness::new(1);
        let resource = harness.play(1, 1);
        let dials = fail_dials(&mut harness, end, T0 + 8 * S);
        assert_eq!(harness.engine.route(&resource), Route::Unknown);
        assert_eq!(harness.notices, [(resource, "inactive")]);
        assert!(harness.now >= T0 + 7 * S, "a node that may live was held to be dead");
        assert!((2..=16).contains(&dials), "{dials} dials");
        assert!(harness.deleted.is_empty(), "nothing is deleted at a dead node");
    }
}

/// Guards against sessions that end since a node accepts no further connection for a while, or answers set-ups alone.
#[test]
fn a_node_that_opens_no_event_stream_keeps_its_sessions_while_it_gives_signs_of_life() {
    let mut harness = Harness::new(1);
    let resource = harness.play(1, 1);
    fail_dials(&mut harness, FailedDial::Refused, T0 + 6 * S);
    harness.play(2, 2);
    let heard_at = harness.now;
    fail_dials(&mut harness, FailedDial::TimedOut, heard_at + 7 * S);
    assert!(matches!(harness.engine.route(&resource), Route::Node(..)));
    let node = *harness.engine.nodes.keys().next().expect("a node");
    for _ in 0..20 {
        harness.input(Input::StreamEnded(node, StreamEnd::Refused));
        harness.advance(S);
    }
    assert!(matches!(harness.engine.route(&resource), Route::Node(..)), "it accepts connections");
    assert!(harness.notices.is_empty());
}

/// Guards against sessions that a node plays on after it was held to be dead.
#[test]
fn sessions_that_were_given_up_are_deleted_once_their_node_answers() {
    let mut harness = Harness::new(1);
    harness.play(1, 1);
    harness.play(2, 2);
    fail_dials(&mut harness, FailedDial::Refused, T0 + 8 * S);
    let node = *harness.engine.nodes.keys().next().expect("a node");
    let paths = |numbers: &[u32]| -> BTreeSet<String> { numbers.iter().map(|n| format!("/s/{n}")).collect() };
    let last_deletion = |harness: &Harness| {
        let deletions = harness.effects.iter().rev();
        let mut paths =
            deletions.filter_map(|e| if let Effect::DeleteGivenUp(_, p) = e { Some(p) } else { None });
        paths.next().cloned()
    };
    harness.advance(2 * S);
    assert_eq!(last_deletion(&harness), Some(paths(&[1, 2])));
    harness.effects.clear();
    harness.input(Input::GivenUpRemain(node, paths(&[2])));
    harness.advance(2 * S);
    assert_eq!(last_deletion(&harness), Some(paths(&[2])));
    harness.effects.clear();
    harness.input(Input::GivenUpRemain(node, BTreeSet::new()));
    harness.advance(10 * S);
    assert_eq!(last_deletion(&harness), None);
}

#[test]
fn an_event_stream_moves_to_another_session_when_its_own_ends() {
    let mut harness = Harness::new(1);
    let first = harness.play(1, 1);
    harness.play(2, 2);
    let node = *harness.engine.nodes.keys().next().expect("a node");
    let streams = |harness: &Harness| {
        harness.effects.iter().filter(|e| matches!(e, Effect::OpenNodeEvents(..))).count()
    };
    assert_eq!(streams(&harness), 1, "one stream for each node, not for each session");
    harness.input(Input::Delete(Ticket(3), first));
    harness.input(Input::StreamEnded(node, StreamEnd::Closed));
    assert_eq!(streams(&harness), 2);
    harness.input(Input::StreamEnded(node, StreamEnd::SessionUnknown));
    assert_eq!(harness.notices.len(), 1, "the node no longer knows the session: its viewer is notified");
}

/// Guards against sessions of a process that has gone, stranded since its successor at the address was asked about a
/// session of its own: the oldest session is asked about first.
#[test]
fn an_event_stream_is_opened_on_the_oldest_session_of_its_node() {
    let mut harness = Harness::new(1);
    let node = *harness.engine.nodes.keys().next().expect("a node");
    // Their paths sort in the other order.
    for (viewer, path) in [(1, "/s/z"), (2, "/s/m"), (3, "/s/a")] {
        harness.input(Input::Post(Ticket(viewer), request(viewer, viewer)));
        let id = harness.only_attempt();
        harness.end_attempt(id, created(path));
    }
    let opened = |harness: &Harness| {
        let streams = harness.effects.iter().rev();
        streams
            .clone()
            .find_map(|e| if let Effect::OpenNodeEvents(_, path) = e { Some(path.clone()) } else { None })
    };
    harness.input(Input::StreamEnded(node, StreamEnd::Closed));
    assert_eq!(opened(&harness).as_deref(), Some("/s/z/events"));
    harness.input(Input::StreamEnded(node, StreamEnd::SessionUnknown));
    assert_eq!(opened(&harness).as_deref(), Some("/s/m/events"));
    assert_eq!(harness.notices.len(), 1);
}

#[test]
fn a_moved_viewer_is_notified_and_reconnects_under_the_same_key() {
    let mut harness = Harness::new(4);
    let resource = harness.play(1, 1);
    let id = *harness.engine.sessions.keys().next().expect("a session");
    let mut effects = Vec::new();
    harness.engine.execute(harness.now, Action::Move(id), &mut effects);
    harness.record(effects);
    assert_eq!(harness.engine.route(&resource), Route::Moved);
    assert_eq!(harness.notices, [(resource.clone(), EVENT_MOVE)]);
    assert_eq!(harness.deleted, ["/s/1"]);
    harness.input(Input::Delete(Ticket(2), resource));
    assert_eq!(harness.answer(2), Some(&Answer::Ended), "DELETE of a moved session is answered as ended");
    harness.input(Input::Post(Ticket(3), request(1, 1)));
    let again = harness.only_attempt();
    harness.end_attempt(again, created("/s/2"));
    harness.resource(3);
}

#[test]
fn a_live_title_has_one_publisher_and_is_watched_only_while_published() {
    let mut harness = Harness::new(4);
    let watch = |viewer| SessionRequest { class: 1, ..request(viewer, viewer) };
    let publish = |viewer| SessionRequest { class: 2, publish: true, ..request(viewer, viewer) };
    harness.input(Input::Post(Ticket(1), watch(1)));
    assert_eq!(harness.answer(1), Some(&Answer::NotPublished));
    harness.input(Input::Post(Ticket(2), publish(2)));
    let id = harness.only_attempt();
    harness.end_attempt(id, created("/s/p"));
    harness.input(Input::Post(Ticket(3), publish(3)));
    assert_eq!(harness.answer(3), Some(&Answer::AlreadyPublished));
    harness.input(Input::Post(Ticket(4), watch(1)));
    let id = harness.only_attempt();
    harness.end_attempt(id, created("/s/w"));
    let (publisher, watcher) = (harness.resource(2), harness.resource(4));
    harness.input(Input::Delete(Ticket(5), publisher));
    assert_eq!(harness.notices, [(watcher, "inactive")]);
    harness.input(Input::Post(Ticket(6), watch(7)));
    assert_eq!(harness.answer(6), Some(&Answer::NotPublished));
}

#[test]
fn limits_are_enforced_and_a_stopping_front_refuses_with_retry_after() {
    let mut harness = Harness::with(&format!("max-waiting 2\nmax-sessions 3\n{SETTINGS}"), 4);
    (1..=3).for_each(|i| harness.input(Input::Post(Ticket(i), request(i, i))));
    assert_eq!(harness.answer(3), Some(&Answer::Refused(Some(500 * MS), Refusal::Overload)));
    harness.engine.stop();
    harness.input(Input::Post(Ticket(4), request(9, 9)));
    assert_eq!(harness.answer(4), Some(&Answer::Refused(Some(500 * MS), Refusal::Stopping)));
    assert!(!harness.engine.is_idle(), "two requests still wait");
    while let Some(id) = harness.open_attempts.keys().next().copied() {
        harness.end_attempt(id, created(&format!("/s/{}", id.number)));
    }
    assert!(harness.engine.is_idle());
    let mut effects = Vec::new();
    harness.engine.end_all(harness.now, &mut effects);
    harness.record(effects);
    assert_eq!((harness.deleted.len(), harness.notices.len()), (2, 2));
}

#[test]
fn without_a_node_a_request_is_refused_at_once() {
    let mut harness = Harness::new(0);
    harness.input(Input::Post(Ticket(1), request(1, 1)));
    assert_eq!(harness.answer(1), Some(&Answer::Refused(Some(500 * MS), Refusal::NoRoom)));
}

#[derive(Clone, Debug)]
enum Step {
    Post { viewer: u64, offer: u64 },
    Disconnect(usize),
    Delete(usize),
    EndAttempt(usize, u8),
    Advance(u64),
    StreamEnd(usize, u8),
    NodeEvent(usize, u8),
    Policy(u8),
    Fence(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..5, 0u64..3).prop_map(|(viewer, offer)| Step::Post { viewer, offer }),
        1 => any::<usize>().prop_map(Step::Disconnect),
        1 => any::<usize>().prop_map(Step::Delete),
        5 => (any::<usize>(), 0u8..6).prop_map(|(i, how)| Step::EndAttempt(i, how)),
        3 => (1u64..900).prop_map(Step::Advance),
        1 => (any::<usize>(), 0u8..6).prop_map(|(i, how)| Step::StreamEnd(i, how)),
        1 => (any::<usize>(), 0u8..4).prop_map(|(i, how)| Step::NodeEvent(i, how)),
        1 => any::<u8>().prop_map(Step::Policy),
        1 => any::<bool>().prop_map(Step::Fence),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// In any order of inputs: each ticket gets one answer in time; each viewer has at most one open attempt; each
    /// session that was set up is known to the front or deleted; in the end nothing is pending. Each request is decided
    /// by one policy version, which its answer names, and a fenced front starts no set-up.
    #[test]
    fn invariants_hold_in_any_order(steps in prop::collection::vec(step(), 1..120)) {
        let mut harness = Harness::new(4);
        let (mut last_ticket, mut paths) = (0u64, 0u64);
        let mut received: BTreeMap<Ticket, Time> = BTreeMap::new();
        let mut disconnected: BTreeSet<Ticket> = BTreeSet::new();
        let mut created_paths: BTreeSet<String> = BTreeSet::new();
        let (mut version, mut fenced) = (None, false);
        let mut version_at_start: BTreeMap<SessionId, Option<u64>> = BTreeMap::new();
        let mut waiting: BTreeMap<Ticket, SessionId> = BTreeMap::new();
        for step in steps {
            let open: Vec<Ticket> =
                received.keys()
                    .filter(|t| !harness.answers.contains_key(t) && !disconnected.contains(t))
                    .copied()
                    .collect();
            let servers: Vec<ServerId> = harness.engine.nodes.keys().copied().collect();
            match step {
                Step::Post { viewer, offer } => {
                    last_ticket += 1;
                    received.insert(Ticket(last_ticket), harness.now);
                    let duplicate = harness.engine.viewers.is_duplicate(ViewerKey(viewer), offer);
                    harness.input(Input::Post(Ticket(last_ticket), request(viewer, offer)));
                    let refused = harness.answer(last_ticket) == Some(&Answer::Refused(None, Refusal::Fenced));
                    prop_assert_eq!(refused, fenced && !duplicate);
                }
                Step::Disconnect(i) if !open.is_empty() => {
                    let ticket = open[i % open.len()];
                    disconnected.insert(ticket);
                    harness.input(Input::Disconnected(ticket));
                }
                Step::Delete(i) if !harness.engine.resources.is_empty() => {
                    let mut all: Vec<String> = harness.engine.resources.keys().cloned().collect();
                    all.sort();
                    last_ticket += 1;
                    harness.input(Input::Delete(Ticket(last_ticket), all[i % all.len()].clone()));
                }
                Step::EndAttempt(i, how) if !harness.open_attempts.is_empty() => {
                    let all: Vec<AttemptId> = harness.open_attempts.keys().copied().collect();
                    paths += 1;
                    let path = format!("/s/{paths}");
                    let end = match how {
                        0 => AttemptEnd::Answered(503, LoadReport::default()),
                        1 => AttemptEnd::Answered(500, LoadReport::default()),
                        2 => AttemptEnd::NoConnection,
                        3 => AttemptEnd::Broken,
                        _ => {
                            created_paths.insert(path.clone());
                            created(&path)
                        }
                    };
                    harness.end_attempt(all[i % all.len()], end);
                }
                Step::Advance(ms) => harness.advance(ms * MS),
                Step::StreamEnd(i, how) => {
                    let ends = [
                        StreamEnd::Closed,
                        StreamEnd::SessionUnknown,
                        StreamEnd::Refused,
                        StreamEnd::DialFailed(Some(FailedDial::Refused)),
                        StreamEnd::DialFailed(None),
                        StreamEnd::Silent(5 * S),
                    ];
                    let how = ends[usize::from(how)];
                    harness.input(Input::StreamEnded(servers[i % servers.len()], how));
                }
                Step::NodeEvent(i, how) => {
                    let event = match how {
                        0 => NodeEvent::Delivered(0.5),
                        1 => NodeEvent::Link(1.4),
                        2 => NodeEvent::Uplink(1.2),
                        _ => NodeEvent::Inactive(format!("/s/{paths}")),
                    };
                    harness.input(Input::NodeEvent(servers[i % servers.len()], event));
                }
                Step::Policy(draw) => {
                    version = Some(version.unwrap_or(0) + 1);
                    harness.input(policy::policy_from_draw(&harness.engine, version.unwrap_or(0), draw));
                }
                Step::Fence(on) => {
                    fenced = on;
                    harness.input(Input::Fenced(on));
                }
                Step::Disconnect(_) | Step::Delete(_) | Step::EndAttempt(..) => {}
            }
            let mut viewers = BTreeSet::new();
            for id in harness.open_attempts.keys() {
                let viewer = harness.engine.attempts[id].viewer;
                prop_assert!(viewers.insert(viewer), "two open attempts for {viewer:?}");
            }
            for (ticket, answers) in &harness.answers {
                prop_assert_eq!(answers.len(), 1, "{:?}", ticket);
                if let Some(id) = waiting.remove(ticket) {
                    prop_assert_eq!(harness.versions[ticket], version_at_start[&id], "{:?}", ticket);
                }
            }
            for (id, session) in &harness.engine.sessions {
                let at_start = *version_at_start.entry(*id).or_insert(version);
                prop_assert_eq!(at_start, session.terms.version);
            }
            prop_assert!(harness.engine.earliest_policy_version() <= version);
            waiting.extend(harness.engine.tickets.iter().map(|(ticket, id)| (*ticket, *id)));
            for (ticket, received_at) in &received {
                let late = !disconnected.contains(ticket)
                    && !harness.answers.contains_key(ticket)
                    && received_at + 4 * S <= harness.now;
                prop_assert!(!late, "{:?} has no answer", ticket);
            }
        }
        harness.advance(5 * S);
        prop_assert!(harness.engine.is_idle() && harness.open_attempts.is_empty());
        prop_assert_eq!(harness.engine.metrics().overdue_answers, 0, "no request is left to the answer deadline");
        let unanswered = received.keys()
            .filter(|t| !disconnected.contains(t) && !harness.answers.contains_key(t))
            .count();
        prop_assert_eq!(unanswered, 0);
        // Each session that was set up plays, was deleted, or was ended by its node.
        let playing: BTreeSet<String> =
            harness.engine.sessions.values().filter_map(|s| s.playing.as_ref().map(|p| p.path.clone())).collect();
        let ended_by_node = harness.engine.metrics().ends.values().sum::<u64>();
        let lost = created_paths.iter()
            .filter(|p| !playing.contains(*p) && !harness.deleted.contains(p))
            .count() as u64;
        prop_assert!(lost <= ended_by_node, "{lost} sessions are neither known to the front nor deleted");
        prop_assert_eq!(harness.engine.resources.len(), playing.len());
    }
}
