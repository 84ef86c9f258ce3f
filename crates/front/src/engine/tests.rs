//! The engine under a test's clock: accounts of answers and attempts, whatever happens in which order.

mod policy;

use super::*;
use bytes::Bytes;
use pepperhook_inventory::{InventoryNames, parse};
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

fn ask(viewer: u64, offer: u64) -> SessionRequest {
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

/// An engine with what it asked for: attempts that are out, answers given.
struct Bench {
    engine: Engine,
    now: Time,
    out: BTreeMap<AttemptId, ServerId>,
    answers: BTreeMap<Ticket, Vec<Answer>>,
    by: BTreeMap<Ticket, Option<u64>>,
    deleted: Vec<String>,
    told: Vec<(String, &'static str)>,
    seen: Vec<Effect>,
}

impl Bench {
    fn new(nodes: usize) -> Self {
        Self::with(SETTINGS, nodes)
    }

    fn with(settings: &str, nodes: usize) -> Self {
        let engine = engine_with(settings, nodes);
        let (out, answers) = (BTreeMap::new(), BTreeMap::new());
        let (by, deleted, told, seen) = Default::default();
        Self { engine, now: T0, out, answers, by, deleted, told, seen }
    }

    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match &effect {
                Effect::SetUp { attempt, node, .. } => {
                    self.out.insert(*attempt, *node);
                }
                Effect::ResetAttempt(id) => {
                    self.out.remove(id);
                }
                Effect::Answer(t, a, by) => {
                    self.answers.entry(*t).or_default().push(a.clone());
                    self.by.insert(*t, *by);
                }
                Effect::DeleteUpstream(_, path) => self.deleted.push(path.clone()),
                Effect::NotifyViewer(resource, event, _) => self.told.push((resource.clone(), event)),
                _ => {}
            }
            self.seen.push(effect);
        }
    }

    fn put(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.engine.handle(self.now, input, &mut effects);
        self.take(effects);
    }

    /// Lets time pass, timer by timer.
    fn pass(&mut self, time: Time) {
        let until = self.now + time;
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= until) {
            self.now = at.max(self.now);
            let mut effects = Vec::new();
            self.engine.wake(self.now, &mut effects);
            self.take(effects);
        }
        self.now = until;
    }

    fn end(&mut self, id: AttemptId, end: AttemptEnd) {
        let node = self.out.remove(&id).expect("an attempt that is out");
        self.put(Input::AttemptEnded(id, node, end));
    }

    fn only(&self) -> AttemptId {
        assert_eq!(self.out.len(), 1, "one attempt is out");
        *self.out.keys().next().expect("one")
    }

    fn play(&mut self, ticket: u64, viewer: u64) -> String {
        self.put(Input::Post(Ticket(ticket), ask(viewer, viewer)));
        let id = self.only();
        self.end(id, created(&format!("/s/{ticket}")));
        self.resource(ticket)
    }

    fn answer(&self, ticket: u64) -> Option<&Answer> {
        let given = self.answers.get(&Ticket(ticket))?;
        assert_eq!(given.len(), 1, "one answer a ticket");
        given.first()
    }

    fn resource(&self, ticket: u64) -> String {
        match self.answer(ticket) {
            Some(Answer::Created { resource, .. }) => resource.clone(),
            other => panic!("no session for {ticket}: {other:?}"),
        }
    }
}

#[test]
fn a_request_plays_and_its_delete_reaches_the_node() {
    let mut b = Bench::new(4);
    let resource = b.play(1, 1);
    assert!(matches!(b.engine.route(&resource), Route::Node(_, p) if p == "/s/1"));
    assert!(b.seen.iter().any(|e| matches!(e, Effect::SetLayer(_, p, 1) if p == "/s/1/layer")));
    b.put(Input::Delete(Ticket(2), resource.clone()));
    assert_eq!((b.answer(2), b.deleted.as_slice()), (Some(&Answer::Ended), &["/s/1".to_owned()][..]));
    b.put(Input::Delete(Ticket(3), resource));
    assert_eq!(b.answer(3), Some(&Answer::UnknownSession), "a second DELETE finds nothing");
    assert_eq!(b.deleted.len(), 1);
}

#[test]
fn a_silent_node_is_heard_out_then_reset_and_only_then_is_another_tried() {
    let mut b = Bench::new(4);
    b.put(Input::Post(Ticket(1), ask(1, 1)));
    let first = b.only();
    b.pass(400 * MS);
    assert!(b.seen.iter().any(|e| matches!(e, Effect::CloseAttempt(id) if *id == first)));
    assert_eq!(b.only(), first, "nothing goes out while it is heard out");
    b.pass(40 * MS);
    assert!(b.seen.iter().any(|e| matches!(e, Effect::ResetAttempt(id) if *id == first)));
    assert_ne!(b.only(), first);
}

#[test]
fn a_late_201_is_deleted_at_its_node_and_never_reaches_the_viewer() {
    let mut b = Bench::new(4);
    b.put(Input::Post(Ticket(1), ask(1, 1)));
    let first = b.only();
    b.pass(400 * MS);
    b.end(first, created("/s/late"));
    assert_eq!(b.deleted, ["/s/late"]);
    assert!(b.answer(1).is_none());
    let second = b.only();
    b.end(second, created("/s/good"));
    assert!(matches!(b.engine.route(&b.resource(1)), Route::Node(_, p) if p == "/s/good"));
    // One that comes even after the reset is deleted too.
    b.put(Input::AttemptEnded(first, ServerId(1), created("/s/later")));
    assert_eq!(b.deleted, ["/s/late", "/s/later"]);
}

#[test]
fn the_same_request_twice_is_one_session_with_an_answer_each() {
    let mut b = Bench::new(4);
    b.put(Input::Post(Ticket(1), ask(1, 1)));
    b.put(Input::Post(Ticket(2), ask(1, 1)));
    let id = b.only();
    b.end(id, created("/s/1"));
    assert_eq!(b.resource(1), b.resource(2));
    b.put(Input::Post(Ticket(3), ask(1, 1)));
    assert_eq!(b.resource(3), b.resource(1), "and once more when it plays");
    assert_eq!(b.engine.metrics().attempts, 1);
}

#[test]
fn a_newer_offer_takes_the_place_of_a_waiting_one_after_its_attempt_is_closed() {
    let mut b = Bench::new(4);
    b.put(Input::Post(Ticket(1), ask(1, 1)));
    let first = b.only();
    b.put(Input::Post(Ticket(2), ask(1, 2)));
    assert_eq!(b.answer(1), Some(&Answer::Superseded));
    assert_eq!(b.only(), first, "the newer one waits");
    b.end(first, AttemptEnd::Closed);
    let second = b.only();
    b.end(second, created("/s/2"));
    b.resource(2);
    assert!(b.engine.is_idle());
}

#[test]
fn a_newer_offer_ends_the_session_that_plays() {
    let mut b = Bench::new(4);
    let old = b.play(1, 1);
    b.put(Input::Post(Ticket(2), ask(1, 99)));
    assert_eq!(b.deleted, ["/s/1"]);
    assert_eq!(b.engine.route(&old), Route::Unknown);
    let id = b.only();
    b.end(id, created("/s/2"));
    b.resource(2);
}

#[test]
fn a_viewer_who_leaves_mid_setup_costs_the_node_nothing() {
    let mut b = Bench::new(4);
    b.put(Input::Post(Ticket(1), ask(1, 1)));
    let id = b.only();
    b.put(Input::Disconnected(Ticket(1)));
    assert!(b.seen.iter().any(|e| matches!(e, Effect::CloseAttempt(a) if *a == id)));
    b.end(id, created("/s/1"));
    assert_eq!(b.deleted, ["/s/1"]);
    assert!(b.answer(1).is_none() && b.engine.is_idle());
}

#[test]
fn a_node_that_dies_ends_its_sessions_and_their_viewers_are_told() {
    let mut b = Bench::new(1);
    let resource = b.play(1, 1);
    let node = *b.engine.nodes.keys().next().expect("a node");
    b.put(Input::StreamEnded(node, StreamEnd::NoConnection));
    assert_eq!(b.engine.route(&resource), Route::Unknown);
    assert_eq!(b.told, [(resource, "inactive")]);
    assert!(b.deleted.is_empty(), "there is nobody to tell at the node");
}

#[test]
fn an_event_stream_moves_to_another_session_when_its_own_ends() {
    let mut b = Bench::new(1);
    let first = b.play(1, 1);
    b.play(2, 2);
    let node = *b.engine.nodes.keys().next().expect("a node");
    let streams = |b: &Bench| b.seen.iter().filter(|e| matches!(e, Effect::OpenNodeEvents(..))).count();
    assert_eq!(streams(&b), 1, "one stream a node, not one a session");
    b.put(Input::Delete(Ticket(3), first));
    b.put(Input::StreamEnded(node, StreamEnd::Closed));
    assert_eq!(streams(&b), 2);
    b.put(Input::StreamEnded(node, StreamEnd::SessionUnknown));
    assert_eq!(b.told.len(), 1, "the node knows the session no longer: its viewer is told");
}

#[test]
fn a_moved_viewer_is_told_and_comes_back_under_the_same_key() {
    let mut b = Bench::new(4);
    let resource = b.play(1, 1);
    let id = *b.engine.live.keys().next().expect("a session");
    let mut effects = Vec::new();
    b.engine.act(b.now, Action::Move(id), &mut effects);
    b.take(effects);
    assert_eq!(b.engine.route(&resource), Route::Moved);
    assert_eq!(b.told, [(resource.clone(), EVENT_MOVE)]);
    assert_eq!(b.deleted, ["/s/1"]);
    b.put(Input::Delete(Ticket(2), resource));
    assert_eq!(b.answer(2), Some(&Answer::Ended), "its DELETE finds that it has ended");
    b.put(Input::Post(Ticket(3), ask(1, 1)));
    let again = b.only();
    b.end(again, created("/s/2"));
    b.resource(3);
}

#[test]
fn a_live_title_is_watched_while_it_is_published_by_one() {
    let mut b = Bench::new(4);
    let watch = |viewer| SessionRequest { class: 1, ..ask(viewer, viewer) };
    let publish = |viewer| SessionRequest { class: 2, publish: true, ..ask(viewer, viewer) };
    b.put(Input::Post(Ticket(1), watch(1)));
    assert_eq!(b.answer(1), Some(&Answer::NotPublished));
    b.put(Input::Post(Ticket(2), publish(2)));
    let id = b.only();
    b.end(id, created("/s/p"));
    b.put(Input::Post(Ticket(3), publish(3)));
    assert_eq!(b.answer(3), Some(&Answer::AlreadyPublished));
    b.put(Input::Post(Ticket(4), watch(1)));
    let id = b.only();
    b.end(id, created("/s/w"));
    let (publisher, watcher) = (b.resource(2), b.resource(4));
    b.put(Input::Delete(Ticket(5), publisher));
    assert_eq!(b.told, [(watcher, "inactive")]);
    b.put(Input::Post(Ticket(6), watch(7)));
    assert_eq!(b.answer(6), Some(&Answer::NotPublished));
}

#[test]
fn bounds_hold_and_a_stopping_front_refuses_with_advice() {
    let mut b = Bench::with(&format!("max-waiting 2\nmax-sessions 3\n{SETTINGS}"), 4);
    (1..=3).for_each(|i| b.put(Input::Post(Ticket(i), ask(i, i))));
    assert_eq!(b.answer(3), Some(&Answer::Refused(Some(500 * MS), Refusal::Overload)));
    b.engine.stop();
    b.put(Input::Post(Ticket(4), ask(9, 9)));
    assert_eq!(b.answer(4), Some(&Answer::Refused(Some(500 * MS), Refusal::Stopping)));
    assert!(!b.engine.is_idle(), "two wait still");
    while let Some(id) = b.out.keys().next().copied() {
        b.end(id, created(&format!("/s/{}", id.number)));
    }
    assert!(b.engine.is_idle());
    let mut effects = Vec::new();
    b.engine.end_all(b.now, &mut effects);
    b.take(effects);
    assert_eq!((b.deleted.len(), b.told.len()), (2, 2));
}

#[test]
fn without_a_node_a_request_is_refused_at_once() {
    let mut b = Bench::new(0);
    b.put(Input::Post(Ticket(1), ask(1, 1)));
    assert_eq!(b.answer(1), Some(&Answer::Refused(Some(500 * MS), Refusal::NoRoom)));
}

#[derive(Clone, Debug)]
enum Step {
    Post { viewer: u64, offer: u64 },
    Left(usize),
    Delete(usize),
    End(usize, u8),
    Pass(u64),
    StreamEnd(usize, u8),
    News(usize, u8),
    Policy(u8),
    Fence(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..5, 0u64..3).prop_map(|(viewer, offer)| Step::Post { viewer, offer }),
        1 => any::<usize>().prop_map(Step::Left),
        1 => any::<usize>().prop_map(Step::Delete),
        5 => (any::<usize>(), 0u8..6).prop_map(|(i, how)| Step::End(i, how)),
        3 => (1u64..900).prop_map(Step::Pass),
        1 => (any::<usize>(), 0u8..4).prop_map(|(i, how)| Step::StreamEnd(i, how)),
        1 => (any::<usize>(), 0u8..4).prop_map(|(i, how)| Step::News(i, how)),
        1 => any::<u8>().prop_map(Step::Policy),
        1 => any::<bool>().prop_map(Step::Fence),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Whatever happens in which order: one answer a ticket, in time; one attempt out a viewer; nothing set
    /// up that nobody holds or deletes; and in the end nothing is left. Each request is decided by one version of the
    /// policy, which its answer names, and a fenced front begins nothing.
    #[test]
    fn accounts_hold_in_any_order(steps in prop::collection::vec(step(), 1..120)) {
        let mut b = Bench::new(4);
        let (mut next, mut paths) = (0u64, 0u64);
        let mut asked: BTreeMap<Ticket, Time> = BTreeMap::new();
        let mut left: BTreeSet<Ticket> = BTreeSet::new();
        let mut made: BTreeSet<String> = BTreeSet::new();
        let (mut version, mut fenced) = (None, false);
        let mut promised: BTreeMap<SessionId, Option<u64>> = BTreeMap::new();
        let mut waits: BTreeMap<Ticket, SessionId> = BTreeMap::new();
        for step in steps {
            let open: Vec<Ticket> =
                asked.keys().filter(|t| !b.answers.contains_key(t) && !left.contains(t)).copied().collect();
            let servers: Vec<ServerId> = b.engine.nodes.keys().copied().collect();
            match step {
                Step::Post { viewer, offer } => {
                    next += 1;
                    asked.insert(Ticket(next), b.now);
                    let copy = b.engine.viewers.is_duplicate(ViewerKey(viewer), offer);
                    b.put(Input::Post(Ticket(next), ask(viewer, offer)));
                    let refused = b.answer(next) == Some(&Answer::Refused(None, Refusal::Fenced));
                    prop_assert_eq!(refused, fenced && !copy);
                }
                Step::Left(i) if !open.is_empty() => {
                    let ticket = open[i % open.len()];
                    left.insert(ticket);
                    b.put(Input::Disconnected(ticket));
                }
                Step::Delete(i) if !b.engine.resources.is_empty() => {
                    let mut all: Vec<String> = b.engine.resources.keys().cloned().collect();
                    all.sort();
                    next += 1;
                    b.put(Input::Delete(Ticket(next), all[i % all.len()].clone()));
                }
                Step::End(i, how) if !b.out.is_empty() => {
                    let all: Vec<AttemptId> = b.out.keys().copied().collect();
                    paths += 1;
                    let path = format!("/s/{paths}");
                    let end = match how {
                        0 => AttemptEnd::Answered(503, LoadReport::default()),
                        1 => AttemptEnd::Answered(500, LoadReport::default()),
                        2 => AttemptEnd::NoConnection,
                        3 => AttemptEnd::Broken,
                        _ => {
                            made.insert(path.clone());
                            created(&path)
                        }
                    };
                    b.end(all[i % all.len()], end);
                }
                Step::Pass(ms) => b.pass(ms * MS),
                Step::StreamEnd(i, how) => {
                    let how = [StreamEnd::Closed, StreamEnd::SessionUnknown, StreamEnd::Refused, StreamEnd::NoConnection][usize::from(how)];
                    b.put(Input::StreamEnded(servers[i % servers.len()], how));
                }
                Step::News(i, how) => {
                    let news = match how {
                        0 => NodeEvent::Delivered(0.5),
                        1 => NodeEvent::Link(1.4),
                        2 => NodeEvent::Uplink(1.2),
                        _ => NodeEvent::Inactive(format!("/s/{paths}")),
                    };
                    b.put(Input::NodeEvent(servers[i % servers.len()], news));
                }
                Step::Policy(draw) => {
                    version = Some(version.unwrap_or(0) + 1);
                    b.put(policy::drawn(&b.engine, version.unwrap_or(0), draw));
                }
                Step::Fence(on) => {
                    fenced = on;
                    b.put(Input::Fenced(on));
                }
                Step::Left(_) | Step::Delete(_) | Step::End(..) => {}
            }
            let mut viewers = BTreeSet::new();
            for id in b.out.keys() {
                let viewer = b.engine.attempts[id].viewer;
                prop_assert!(viewers.insert(viewer), "two attempts out for {viewer:?}");
            }
            for (ticket, answers) in &b.answers {
                prop_assert_eq!(answers.len(), 1, "{:?}", ticket);
                if let Some(id) = waits.remove(ticket) {
                    prop_assert_eq!(b.by[ticket], promised[&id], "{:?}", ticket);
                }
            }
            for (id, live) in &b.engine.live {
                let by = *promised.entry(*id).or_insert(version);
                prop_assert_eq!(by, live.promise.version);
            }
            prop_assert!(b.engine.earliest_policy_version() <= version);
            waits.extend(b.engine.tickets.iter().map(|(ticket, id)| (*ticket, *id)));
            for (ticket, at) in &asked {
                let late = !left.contains(ticket) && !b.answers.contains_key(ticket) && at + 4 * S <= b.now;
                prop_assert!(!late, "{:?} has no answer", ticket);
            }
        }
        b.pass(5 * S);
        prop_assert!(b.engine.is_idle() && b.out.is_empty());
        prop_assert_eq!(b.engine.metrics().overdue_answers, 0, "the last guard is for what nobody thought of");
        let unanswered = asked.keys().filter(|t| !left.contains(t) && !b.answers.contains_key(t)).count();
        prop_assert_eq!(unanswered, 0);
        // What was set up either plays, was deleted, or ended by the node's own word.
        let held: BTreeSet<String> =
            b.engine.live.values().filter_map(|l| l.playing.as_ref().map(|p| p.path.clone())).collect();
        let ended_by_node = b.engine.metrics().ends.values().sum::<u64>();
        let lost = made.iter().filter(|p| !held.contains(*p) && !b.deleted.contains(p)).count() as u64;
        prop_assert!(lost <= ended_by_node, "{lost} sessions are nobody's");
        prop_assert_eq!(b.engine.resources.len(), held.len());
    }
}
