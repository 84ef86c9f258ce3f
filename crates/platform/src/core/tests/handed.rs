//! A restart: sessions that a new process is handed, with a list that may be older than what nodes and viewers know, and
//! the end of a process.

use super::*;

fn handed(id: u64, at: u32) -> SetUpRequest {
    SetUpRequest { playing_at: Some(ServerId(at)), ..ask(id, 0) }
}

fn ended(id: u64, how: Outcome) -> FromNode {
    FromNode::SessionEnded(SessionId(id), how, Vec::new())
}

#[test]
fn a_handed_session_gets_no_answer_its_releases_pass_and_its_viewers_release_reaches_the_node() {
    let mut w = World::three();
    for id in 1..4 {
        let out = w.tell(Input::SetUp(ConnId(1), handed(id, 2)));
        assert!(!out.iter().any(|e| matches!(e, Effect::SendToViewer(..))), "no answer is wanted: {out:?}");
    }
    let (link, address) = dialled(&w.out).expect("a connection is kept");
    assert_eq!(address, node(2, State::Ready).address.into());
    // Its viewer ends one before the connection is up.
    assert!(told(&w.tell(Input::Release(ConnId(1), SessionId(1))), &ToViewer::Acknowledge(SessionId(1))));
    assert!(!w.core.has_no_pending_work(), "the release waits for its connection");
    let out = w.tell(Input::LinkUp(link));
    assert!(wrote(&out, &ToNode::Release(SessionId(1), 7, 31)) && w.core.has_no_pending_work(), "{out:?}");
    let out = w.tell(Input::Release(ConnId(1), SessionId(2)));
    assert!(wrote(&out, &ToNode::Release(SessionId(2), 7, 31)));
    assert!(told(&w.tell(Input::NodeMessage(link, ended(3, Outcome::Served))), &over(3, 16)));
    assert_eq!(w.core.playing_sessions(), 0);
}

/// A node tells the ends that nobody heard on the next connection that is opened: the new process may open it for one
/// session before it is handed the other.
#[test]
fn an_end_that_a_node_told_before_its_session_was_handed_over_is_told_to_its_viewer() {
    let mut w = World::three();
    let (link, _) = dialled(&w.tell(Input::SetUp(ConnId(1), handed(1, 2)))).expect("a dial");
    w.tell(Input::LinkUp(link));
    let out = w.tell(Input::NodeMessage(link, ended(2, Outcome::Served)));
    assert_eq!(out, [Effect::SendToNode(link, ToNode::Acknowledge(SessionId(2)))]);
    w.tell(Input::NodeMessage(link, ended(3, Outcome::Cancelled)));
    w.pass(500 * MS);
    assert!(told(&w.tell(Input::SetUp(ConnId(1), handed(2, 2))), &over(2, 16)), "else it stands for ever");
    let out = w.tell(Input::SetUp(ConnId(1), handed(3, 2)));
    assert!(
        !out.iter().any(|e| matches!(e, Effect::SendToViewer(..))),
        "its viewer ended it and is owed nothing"
    );
    // Another node's word on it is none.
    w.tell(Input::NodeMessage(link, ended(4, Outcome::Served)));
    assert!(!told(&w.tell(Input::SetUp(ConnId(1), handed(4, 3))), &over(4, 16)));
    assert_eq!(w.core.playing_sessions(), 2);
    w.pass(11 * S);
    assert!(w.core.early_ends.is_empty());
}

#[test]
fn a_session_handed_over_with_a_node_that_is_not_listed_yet_waits_for_the_list() {
    let mut w = World::three();
    assert!(w.tell(Input::SetUp(ConnId(1), handed(1, 9))).is_empty());
    assert!(w.tell(Input::SetUp(ConnId(1), handed(1, 9))).is_empty(), "handed over twice");
    w.tell(Input::SetUp(ConnId(1), handed(2, 8)));
    w.tell(Input::SetUp(ConnId(1), handed(3, 8)));
    assert!(told(&w.tell(Input::Release(ConnId(1), SessionId(3))), &ToViewer::Acknowledge(SessionId(3))));
    w.pass(S);
    let out = w.tell(Input::NodeList(vec![node(1, State::Ready), node(9, State::Draining)]));
    let (link, address) = dialled(&out).expect("its node is known now");
    assert_eq!((address, w.core.playing_sessions()), (node(9, State::Ready).address.into(), 1));
    w.tell(Input::LinkUp(link));
    assert!(told(&w.tell(Input::NodeMessage(link, ended(1, Outcome::Served))), &over(1, 16)));
    // The other one's node is never named: within the time in which a bad viewer must hear something.
    let out = w.pass(1_500 * MS);
    assert!(told(&out, &over(2, 41)) && told(&out, &ToViewer::UnknownSession(SessionId(2))), "{out:?}");
    assert!(!told(&out, &over(3, 41)) && w.core.awaiting_list.is_empty());
}

#[test]
fn an_end_that_was_told_is_told_again_to_who_hands_the_session_over_all_the_same() {
    let mut w = World::three();
    let (link, _) = w.standing(1);
    w.tell(Input::NodeMessage(link, ended(1, Outcome::Served)));
    let out = w.tell(Input::SetUp(ConnId(1), handed(1, 2)));
    assert!(told(&out, &over(1, 41)) && w.core.playing_sessions() == 0, "{out:?}");
}

/// The list of a restarted front is older than the start of a node: what it was handed there may be older too.
#[test]
fn a_start_told_after_the_hand_over_ends_what_was_handed_over() {
    let mut w = World::new(&[node(1, State::Ready)]);
    let began = w.now / MS - 500;
    let (link, _) = dialled(&w.tell(Input::SetUp(ConnId(1), handed(1, 1)))).expect("a dial");
    w.tell(Input::LinkUp(link));
    w.pass(S);
    w.standing_on(link, 2);
    let out = w.tell(Input::NodeList(vec![Entry { started_ms: began, ..node(1, State::Ready) }]));
    assert!(told(&out, &over(1, 41)) && wrote(&out, &ToNode::Release(SessionId(1), 7, 41)), "{out:?}");
    assert!(!told(&out, &over(2, 41)) && w.core.playing_sessions() == 1, "what was set up since stands");
}

/// A node that was held to be dead is handed a session: whether it is dead is found out again.
#[test]
fn a_session_handed_over_at_a_node_held_to_be_dead_ends_within_its_time() {
    let mut w = World::new(&[node(1, State::Ready)]);
    let (link, _) = w.standing(1);
    let mut out = w.tell(Input::LinkDown(link));
    let refuse = |w: &mut World, out: &[Effect]| {
        dialled(out).map(|(l, _)| w.tell(Input::DialFailed(l, DialEnd::Refused))).unwrap_or_default()
    };
    for _ in 0..4 {
        out = refuse(&mut w, &out);
        out.extend(w.pass(150 * MS));
    }
    assert!(w.out.contains(&Effect::SendToViewer(ConnId(1), over(1, 41))));
    let mut out = w.tell(Input::SetUp(ConnId(1), handed(2, 1)));
    let began = w.now;
    while w.core.playing_sessions() > 0 && w.now < began + 8 * S {
        out = refuse(&mut w, &out);
        out.extend(w.pass(100 * MS));
    }
    assert!(w.core.playing_sessions() == 0 && w.now < began + S, "after {} ms", (w.now - began) / MS);
}

/// Near its end a front takes nothing that it might not answer in time, and leaves nobody without an answer.
#[test]
fn a_front_that_ends_refuses_what_comes_late_and_answers_what_is_open() {
    let mut w = World::three();
    let (link, _) = w.sent(1, 1);
    w.tell(Input::SetUp(ConnId(1), ask(2, 0)));
    assert!(w.tell(Input::StopAccepting).is_empty());
    let out = w.tell(Input::SetUp(ConnId(1), ask(3, 1)));
    assert_eq!(out, [Effect::SendToViewer(ConnId(1), ToViewer::Refused(SessionId(3), None))]);
    assert!(!w.core.has_no_pending_work() && w.core.open_requests() == 2, "what was taken before goes on");
    let out = w.tell(Input::AnswerAll);
    assert!(told(&out, &failed(1)) && told(&out, &failed(2)), "{out:?}");
    assert!(wrote(&out, &ToNode::CancelSetUp(SessionId(1), 7)), "nothing is left running");
    assert!(w.core.open_requests() == 0 && w.core.has_no_pending_work());
    assert!(w.tell(Input::AnswerAll).is_empty());
    // What crosses it reaches no viewer.
    let out = w.tell(Input::NodeMessage(link, plays(1)));
    assert_eq!(out, [Effect::SendToNode(link, ToNode::Release(SessionId(1), 7, 31))]);
}
