//! Another process takes over a node's address without a word from the list: its sessions end; and what looks alike but
//! is no takeover ends nothing.

use super::*;

/// Number of sessions that play at the node before.
const SESSIONS: u64 = 5;
/// Id of the set-up that the old connection never answers.
const LOST: u64 = 50;

/// A front with one node, whose one connection has just left a set-up unanswered, and with a newer connection to it.
struct Scenario {
    front: Harness,
    old: LinkId,
    newer: LinkId,
}

impl Scenario {
    fn new(probing: bool) -> Self {
        let mut front = Harness::new(&[node(1, State::Ready)]);
        front.core.probing = probing;
        let (old, _) = front.playing(1);
        (2..=SESSIONS).for_each(|id| front.playing_on(old, id));
        front.advance(200 * MS);
        let asked = front.handle(Input::SetUp(ConnId(1), request(LOST, 0)));
        assert_eq!(first_set_up(&asked), Some((old, SessionId(LOST))));
        front.advance(100 * MS);
        let out = front.handle(Input::SetUp(ConnId(1), request(LOST + 1, 0)));
        let (newer, _) = first_dial(&out).expect("a connection of its own");
        front.handle(Input::LinkUp(newer));
        front.handle(Input::NodeMessage(newer, session_started(LOST + 1)));
        Self { front, old, newer }
    }

    /// Runs for this long; the newer connection is heard each 100 ms.
    fn run(&mut self, time: Time) -> Vec<Effect> {
        let mut out = Vec::new();
        for _ in 0..time / (100 * MS) {
            out.extend(self.front.advance(100 * MS));
            out.extend(self.front.handle(Input::NodeMessage(self.newer, FromNode::Other)));
        }
        out
    }
}

fn is_half_closed(out: &[Effect], link: LinkId) -> bool {
    out.contains(&Effect::HalfCloseLink(link))
}

fn ended_sessions(out: &[Effect]) -> usize {
    (1..=SESSIONS).filter(|id| sent_to_viewer(out, &ended(*id, 41))).count()
}

/// Guards against sessions of a vanished process that stand for ever, since the process that came up at its address was
/// taken for it.
#[test]
fn sessions_of_a_silent_process_end_when_another_one_answers_at_its_address() {
    for probing in [true, false] {
        let mut scenario = Scenario::new(probing);
        let out = scenario.run(4 * S);
        assert_eq!(ended_sessions(&out), SESSIONS as usize, "probing {probing}: {out:?}");
        assert!(out.contains(&Effect::CloseLink(scenario.old)));
        assert!(!sent_to_viewer(&out, &ended(LOST + 1, 41)), "the new process has this one");
        assert_eq!(scenario.front.core.playing_sessions(), 1);
    }
}

/// One answer was lost, and the process lives: it closes the half-closed connection, or answers on it.
#[test]
fn a_connection_that_lost_an_answer_ends_no_session_of_a_living_process() {
    for answers in [true, false] {
        let mut scenario = Scenario::new(true);
        let mut out = scenario.run(900 * MS);
        assert!(is_half_closed(&out, scenario.old), "it is asked for a sign of life: {out:?}");
        let old = scenario.old;
        let sign =
            if answers { Input::NodeMessage(old, FromNode::Other) } else { Input::LinkEndedByNode(old) };
        out.extend(scenario.front.handle(sign));
        out.extend(scenario.run(8 * S));
        assert_eq!(ended_sessions(&out), 0, "answers {answers}: {out:?}");
    }
}

/// Another connection that was open at the question is heard after it: the process is the same.
#[test]
fn an_answer_on_another_old_connection_is_a_sign_of_life() {
    let mut scenario = Scenario::new(true);
    let link = scenario.front.core.links.get_mut(&scenario.newer).expect("a connection");
    // As if it had been opened before the question.
    link.opened_at = START;
    let out = scenario.run(8 * S);
    assert_eq!(ended_sessions(&out), 0, "{out:?}");
}

/// A process that stalls is silent on all connections: the newer one shows no life either.
#[test]
fn a_stalled_process_is_not_taken_for_a_replaced_one() {
    let mut scenario = Scenario::new(true);
    let out = scenario.front.advance(3 * S);
    assert_eq!(ended_sessions(&out), 0, "{out:?}");
    // It goes on, and what it had to say comes on both.
    let Scenario { front, old, newer } = &mut scenario;
    front.handle(Input::NodeMessage(*newer, FromNode::Other));
    front.handle(Input::LinkEndedByNode(*old));
    let out = scenario.run(8 * S);
    assert_eq!(ended_sessions(&out), 0, "{out:?}");
}

/// A connection that had rested may be forgotten by its node, which lives.
#[test]
fn a_silent_connection_that_had_rested_is_no_evidence() {
    let mut scenario = Scenario::new(true);
    let link = scenario.front.core.links.get_mut(&scenario.old).expect("a connection");
    link.heard_at = Some(START - 10 * S);
    let out = scenario.run(8 * S);
    assert_eq!(ended_sessions(&out), 0, "{out:?}");
}

/// The check itself leaves nothing behind when nothing more is heard.
#[test]
fn a_check_without_result_ends() {
    let mut scenario = Scenario::new(true);
    let out = scenario.front.advance(7 * S);
    assert!(out.contains(&Effect::CloseLink(scenario.old)), "{out:?}");
    assert!(scenario.front.core.incarnations.values().all(|node| node.takeover_check.is_none()));
}

/// Guards against a request that runs twice: its node is replaced between two attempts, and the new process is dialled at
/// the same address.
#[test]
fn an_at_most_once_request_is_not_sent_again_to_the_process_that_follows() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (old, _) = front.set_up_sent(1, 1);
    let out = front.handle(Input::LinkDown(old));
    let (newer, _) = first_dial(&out).expect("the node is dialled");
    let mut out = front.handle(Input::LinkUp(newer));
    out.extend(front.advance(4 * S));
    assert_eq!(first_set_up(&out), None, "{out:?}");
    assert!(sent_to_viewer(&out, &failed(1)), "{out:?}");
}
