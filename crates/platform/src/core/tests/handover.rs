//! Restarts: sessions that are handed over to a new process, with a list that may be older than what nodes
//! and viewers know; and the end of a process.

use super::*;

fn handed_over(id: u64, at: u32) -> SetUpRequest {
    SetUpRequest { playing_at: Some(ServerId(at)), ..request(id, 0) }
}

fn session_ended(id: u64, outcome: Outcome) -> FromNode {
    FromNode::SessionEnded(SessionId(id), outcome, Vec::new())
}

#[test]
fn a_handed_over_session_gets_no_answer_and_releases_pass_both_ways() {
    let mut front = Harness::with_three_nodes();
    for id in 1..4 {
        let out = front.handle(Input::SetUp(ConnId(1), handed_over(id, 2)));
        assert!(!out.iter().any(|e| matches!(e, Effect::SendToViewer(..))), "no answer is expected: {out:?}");
    }
    let (link, address) = first_dial(&front.out).expect("a connection is kept");
    assert_eq!(address, node(2, State::Ready).address.into());
    // The viewer ends a session before the connection is up.
    assert!(sent_to_viewer(
        &front.handle(Input::Release(ConnId(1), SessionId(1))),
        &ToViewer::Acknowledge(SessionId(1))
    ));
    assert!(!front.core.has_no_pending_work(), "the release waits for its connection");
    let out = front.handle(Input::LinkUp(link));
    assert!(
        sent_to_node(&out, &ToNode::Release(SessionId(1), 7, 31)) && front.core.has_no_pending_work(),
        "{out:?}"
    );
    let out = front.handle(Input::Release(ConnId(1), SessionId(2)));
    assert!(sent_to_node(&out, &ToNode::Release(SessionId(2), 7, 31)));
    assert!(sent_to_viewer(
        &front.handle(Input::NodeMessage(link, session_ended(3, Outcome::Served))),
        &ended(3, 16)
    ));
    assert_eq!(front.core.playing_sessions(), 0);
}

/// A node reports ends that were not received on the next connection that comes up. The new process may open
/// that connection for one session before it is handed the other one.
#[test]
fn an_end_reported_before_the_hand_over_of_its_session_reaches_its_viewer() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = first_dial(&front.handle(Input::SetUp(ConnId(1), handed_over(1, 2)))).expect("a dial");
    front.handle(Input::LinkUp(link));
    let out = front.handle(Input::NodeMessage(link, session_ended(2, Outcome::Served)));
    assert_eq!(out, [Effect::SendToNode(link, ToNode::Acknowledge(SessionId(2)))]);
    front.handle(Input::NodeMessage(link, session_ended(3, Outcome::Cancelled)));
    front.advance(500 * MS);
    assert!(
        sent_to_viewer(&front.handle(Input::SetUp(ConnId(1), handed_over(2, 2))), &ended(2, 16)),
        "otherwise it would play forever"
    );
    let out = front.handle(Input::SetUp(ConnId(1), handed_over(3, 2)));
    assert!(
        !out.iter().any(|e| matches!(e, Effect::SendToViewer(..))),
        "its viewer ended it and needs no notice"
    );
    // A report of another node does not count.
    front.handle(Input::NodeMessage(link, session_ended(4, Outcome::Served)));
    assert!(!sent_to_viewer(&front.handle(Input::SetUp(ConnId(1), handed_over(4, 3))), &ended(4, 16)));
    assert_eq!(front.core.playing_sessions(), 2);
    front.advance(11 * S);
    assert!(front.core.early_ends.is_empty());
}

#[test]
fn a_session_handed_over_with_an_unlisted_node_waits_for_the_list() {
    let mut front = Harness::with_three_nodes();
    assert!(front.handle(Input::SetUp(ConnId(1), handed_over(1, 9))).is_empty());
    assert!(front.handle(Input::SetUp(ConnId(1), handed_over(1, 9))).is_empty(), "handed over twice");
    front.handle(Input::SetUp(ConnId(1), handed_over(2, 8)));
    front.handle(Input::SetUp(ConnId(1), handed_over(3, 8)));
    assert!(sent_to_viewer(
        &front.handle(Input::Release(ConnId(1), SessionId(3))),
        &ToViewer::Acknowledge(SessionId(3))
    ));
    front.advance(S);
    let out = front.handle(Input::NodeList(vec![node(1, State::Ready), node(9, State::Draining)]));
    let (link, address) = first_dial(&out).expect("its node is known now");
    assert_eq!((address, front.core.playing_sessions()), (node(9, State::Ready).address.into(), 1));
    front.handle(Input::LinkUp(link));
    assert!(sent_to_viewer(
        &front.handle(Input::NodeMessage(link, session_ended(1, Outcome::Served))),
        &ended(1, 16)
    ));
    // The node of the other session is never listed; its viewer is notified in time.
    let out = front.advance(1_500 * MS);
    assert!(
        sent_to_viewer(&out, &ended(2, 41)) && sent_to_viewer(&out, &ToViewer::UnknownSession(SessionId(2))),
        "{out:?}"
    );
    assert!(!sent_to_viewer(&out, &ended(3, 41)) && front.core.awaiting_list.is_empty());
}

#[test]
fn an_end_is_reported_again_if_the_session_is_handed_over_nevertheless() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.playing(1);
    front.handle(Input::NodeMessage(link, session_ended(1, Outcome::Served)));
    let out = front.handle(Input::SetUp(ConnId(1), handed_over(1, 2)));
    assert!(sent_to_viewer(&out, &ended(1, 41)) && front.core.playing_sessions() == 0, "{out:?}");
}

/// The list of a restarted front may be older than a restart of a node, and so may the sessions handed over
/// for that node.
#[test]
fn a_restart_listed_after_the_hand_over_ends_the_sessions_handed_over() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let began = front.now / MS - 500;
    let (link, _) = first_dial(&front.handle(Input::SetUp(ConnId(1), handed_over(1, 1)))).expect("a dial");
    front.handle(Input::LinkUp(link));
    front.advance(S);
    front.playing_on(link, 2);
    let out = front.handle(Input::NodeList(vec![Entry { started_ms: began, ..node(1, State::Ready) }]));
    assert!(
        sent_to_viewer(&out, &ended(1, 41)) && sent_to_node(&out, &ToNode::Release(SessionId(1), 7, 41)),
        "{out:?}"
    );
    assert!(
        !sent_to_viewer(&out, &ended(2, 41)) && front.core.playing_sessions() == 1,
        "a session set up since then plays on"
    );
}

/// A session is handed over with a node that was found dead: this is checked again.
#[test]
fn a_session_handed_over_with_a_dead_node_ends_in_time() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (link, _) = front.playing(1);
    let mut out = front.handle(Input::LinkDown(link));
    let refuse = |front: &mut Harness, out: &[Effect]| {
        first_dial(out).map(|(l, _)| front.handle(Input::DialFailed(l, DialEnd::Refused))).unwrap_or_default()
    };
    let down_at = front.now;
    while front.core.playing_sessions() > 0 && front.now < down_at + 8 * S {
        out = refuse(&mut front, &out);
        out.extend(front.advance(100 * MS));
    }
    assert!(front.out.contains(&Effect::SendToViewer(ConnId(1), ended(1, 41))));
    let mut out = front.handle(Input::SetUp(ConnId(1), handed_over(2, 1)));
    let began = front.now;
    while front.core.playing_sessions() > 0 && front.now < began + 8 * S {
        out = refuse(&mut front, &out);
        out.extend(front.advance(100 * MS));
    }
    assert!(
        front.core.playing_sessions() == 0 && front.now < began + S,
        "after {} ms",
        (front.now - began) / MS
    );
}

/// Guards against a session that ends since its node, which was not watched before, refuses dials for a moment.
#[test]
fn a_session_handed_over_with_a_node_that_was_silent_for_long_has_the_whole_time() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    front.advance(60 * S);
    let out = front.handle(Input::SetUp(ConnId(1), handed_over(1, 1)));
    let began = front.now;
    assert_refused_dials_end_the_session_in_time(&mut front, out, began);
}

/// Shortly before its end a front accepts no request that it might not answer in time, and answers every open
/// one.
#[test]
fn a_stopping_front_refuses_late_requests_and_answers_open_ones() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.set_up_sent(1, 1);
    front.handle(Input::SetUp(ConnId(1), request(2, 0)));
    assert!(front.handle(Input::StopAccepting).is_empty());
    let out = front.handle(Input::SetUp(ConnId(1), request(3, 1)));
    assert_eq!(out, [Effect::SendToViewer(ConnId(1), ToViewer::Refused(SessionId(3), None))]);
    assert!(
        !front.core.has_no_pending_work() && front.core.open_requests() == 2,
        "requests accepted before go on"
    );
    let out = front.handle(Input::AnswerAll);
    assert!(sent_to_viewer(&out, &failed(1)) && sent_to_viewer(&out, &failed(2)), "{out:?}");
    assert!(sent_to_node(&out, &ToNode::CancelSetUp(SessionId(1), 7)), "nothing is left running");
    assert!(front.core.open_requests() == 0 && front.core.has_no_pending_work());
    assert!(front.handle(Input::AnswerAll).is_empty());
    // An answer that crosses the cancellation reaches no viewer.
    let out = front.handle(Input::NodeMessage(link, session_started(1)));
    assert_eq!(out, [Effect::SendToNode(link, ToNode::Release(SessionId(1), 7, 31))]);
}

/// Number of streams of a node in these settings.
const MAX_STREAMS: u64 = 200;

fn is_unknown(out: &[Effect], id: u64) -> bool {
    out.iter()
        .any(|e| matches!(e, Effect::SendToViewer(_, ToViewer::UnknownSession(unknown)) if unknown.0 == id))
}

/// Guards against one client that fills a node with sessions that it invents: it claims half of the node's streams, all
/// clients together what the node can play. What ends frees its claim.
#[test]
fn handed_over_sessions_are_bounded_by_what_a_node_can_play() {
    let mut front = Harness::with_three_nodes();
    front.handle(Input::ViewerConnected(ConnId(2), VIEWER_ADDRESS));
    front.handle(Input::ViewerConnected(ConnId(3), VIEWER_ADDRESS));
    let mut hand_over = |conn: u64, from: u64, count: u64| {
        let ids = from..from + count;
        ids.filter(|id| !is_unknown(&front.handle(Input::SetUp(ConnId(conn), handed_over(*id, 2))), *id))
            .count() as u64
    };
    assert_eq!(hand_over(1, 1_000, MAX_STREAMS), MAX_STREAMS / 2);
    assert_eq!(hand_over(2, 2_000, MAX_STREAMS), MAX_STREAMS / 2);
    assert_eq!(hand_over(3, 3_000, 10), 0, "the node plays no more than its streams");
    front.handle(Input::Release(ConnId(1), SessionId(1_000)));
    let out = front.handle(Input::SetUp(ConnId(1), handed_over(1_500, 2)));
    assert!(!is_unknown(&out, 1_500), "the session that ended has freed its claim");
    let out = front.handle(Input::SetUp(ConnId(1), handed_over(1_501, 3)));
    assert!(!is_unknown(&out, 1_501), "a claim counts for its node only");
}

/// Guards against one client that keeps sessions of others from waiting for a late list.
#[test]
fn sessions_at_unlisted_nodes_leave_room_for_those_of_other_clients() {
    let mut front = Harness::with_three_nodes();
    front.handle(Input::ViewerConnected(ConnId(2), VIEWER_ADDRESS));
    for id in 0..2_000 {
        front.handle(Input::SetUp(ConnId(1), handed_over(1_000 + id, 50)));
    }
    let out = front.handle(Input::SetUp(ConnId(2), handed_over(9_000, 9)));
    assert!(!is_unknown(&out, 9_000));
    front.handle(Input::NodeList(vec![node(2, State::Ready), node(9, State::Ready)]));
    assert_eq!(front.core.playing_sessions(), 1);
}
