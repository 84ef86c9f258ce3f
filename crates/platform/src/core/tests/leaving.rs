//! Viewers that leave, by closing their connection at any moment or by cancelling. No new attempt is started
//! for them, the node is informed, and each request is answered once.

use super::*;

/// A harness in which the first attempt of request 1 has just failed without running, and the next one would
/// be sent.
fn between_attempts(departed: bool) -> (Harness, Vec<Effect>) {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.set_up_sent(1, 0);
    if departed {
        front.departed.insert(SessionId(1));
    }
    let mut out = front
        .handle(Input::NodeMessage(link, FromNode::SetUpFailed(SessionId(1), Outcome::Full, Vec::new())));
    // Every dial for the request succeeds, and its time passes.
    for _ in 0..8 {
        let Some((link, _)) = first_dial(&out) else { break };
        out.extend(front.handle(Input::LinkUp(link)));
        if first_set_up(&out).is_some() {
            break;
        }
        out = front.advance(400 * MS);
    }
    (front, out)
}

fn set_ups(front: &Harness) -> usize {
    front.out.iter().filter(|e| matches!(e, Effect::SendToNode(_, ToNode::SetUp { .. }))).count()
}

#[test]
fn a_retry_is_sent_for_a_waiting_viewer_and_not_for_one_that_has_left() {
    let (front, out) = between_attempts(false);
    assert!(first_set_up(&out).is_some(), "a waiting viewer gets another attempt: {out:?}");
    assert_eq!(set_ups(&front), 2);
    let (mut front, _) = between_attempts(true);
    front.advance(10 * S);
    assert_eq!(set_ups(&front), 1, "{:?}", front.out);
    assert_eq!(front.core.open_requests(), 0);
}

#[test]
fn a_set_up_that_waited_for_its_dial_is_not_sent_once_its_viewer_has_left() {
    for leave in [
        Input::ViewerHalfClosed(ConnId(1)),
        Input::ViewerDisconnected(ConnId(1)),
        Input::Release(ConnId(1), SessionId(1)),
    ] {
        let mut front = Harness::with_three_nodes();
        let out = front.handle(Input::SetUp(ConnId(1), request(1, 0)));
        let (link, _) = first_dial(&out).expect("a dial");
        front.handle(leave.clone());
        front.handle(Input::LinkUp(link));
        front.advance(10 * S);
        assert_eq!(set_ups(&front), 0, "{leave:?}");
        assert!(
            !front.out.iter().any(|e| matches!(e, Effect::SendToNode(_, ToNode::CancelSetUp(..)))),
            "nothing was sent"
        );
        assert_eq!(front.core.open_requests(), 0);
    }
}

#[test]
fn a_viewer_that_closes_its_side_has_left_and_each_of_its_requests_is_answered_once() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.set_up_sent(1, 1);
    let second = front.handle(Input::SetUp(ConnId(1), request(2, 0)));
    let waits = first_dial(&second);
    let out = front.handle(Input::ViewerHalfClosed(ConnId(1)));
    assert!(sent_to_node(&out, &ToNode::CancelSetUp(SessionId(1), 7)), "{out:?}");
    assert!(
        sent_to_viewer(&out, &ToViewer::Failed(SessionId(1))),
        "a set-up that may have run is not refused: {out:?}"
    );
    if waits.is_some() {
        assert!(!sent_to_viewer(&out, &ToViewer::Started(SessionId(2), Bytes::new())));
    }
    let answers = |out: &[Effect]| out.iter().filter(|e| matches!(e, Effect::SendToViewer(..))).count();
    assert_eq!(answers(&out), 2, "{out:?}");
    assert_eq!(front.core.open_requests(), 0);
    assert!(front.handle(Input::ViewerDisconnected(ConnId(1))).is_empty(), "each was answered already");
    let out = front.handle(Input::NodeMessage(link, session_started(1)));
    assert!(sent_to_node(&out, &ToNode::Release(SessionId(1), 7, 31)) && answers(&out) == 0, "{out:?}");
}

#[test]
fn after_a_half_close_requests_are_refused_and_releases_and_hand_overs_are_handled() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.playing(1);
    front.handle(Input::ViewerHalfClosed(ConnId(1)));
    let out = front.handle(Input::SetUp(ConnId(1), request(2, 1)));
    assert_eq!(out, [Effect::SendToViewer(ConnId(1), ToViewer::Refused(SessionId(2), None))]);
    let handed = SetUpRequest { playing_at: Some(ServerId(2)), ..request(3, 0) };
    front.handle(Input::SetUp(ConnId(1), handed));
    assert_eq!(front.core.playing_sessions(), 2, "no connection owns a playing session");
    let out = front.handle(Input::Release(ConnId(1), SessionId(1)));
    assert!(sent_to_node(&out, &ToNode::Release(SessionId(1), 7, 31)), "{out:?}");
    front.handle(Input::ViewerDisconnected(ConnId(1)));
    // A request that crossed the close by the front: nothing was sent for it.
    let out = front.handle(Input::SetUp(ConnId(1), request(4, 1)));
    assert_eq!(out, [Effect::SendToViewer(ConnId(1), ToViewer::Refused(SessionId(4), None))]);
    assert_eq!((front.core.open_requests(), set_ups(&front)), (0, 1));
    assert!(
        front
            .handle(Input::NodeMessage(link, session_started(1)))
            .iter()
            .all(|e| !matches!(e, Effect::SendToViewer(..)))
    );
}

#[test]
fn the_end_of_a_session_is_not_reported_on_a_connection_that_its_viewer_has_closed() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.playing(1);
    front.handle(Input::ViewerConnected(ConnId(2), VIEWER_ADDRESS));
    front.handle(Input::Release(ConnId(2), SessionId(77)));
    front.handle(Input::ViewerHalfClosed(ConnId(1)));
    let out = front
        .handle(Input::NodeMessage(link, FromNode::SessionEnded(SessionId(1), Outcome::Served, Vec::new())));
    assert!(!out.iter().any(|e| matches!(e, Effect::SendToViewer(ConnId(1), _))), "{out:?}");
    front.handle(Input::ViewerConnected(ConnId(3), VIEWER_ADDRESS));
    let out = front.handle(Input::SetUp(ConnId(3), request(2, 0)));
    assert!(out.contains(&Effect::SendToViewer(ConnId(3), ended(1, 16))), "{out:?}");
}

/// A set-up whose viewer check is not answered yet: nothing was sent.
fn offered() -> (Harness, LinkId) {
    let mut front = Harness::with_three_nodes();
    front.departed.insert(SessionId(1));
    let out = front.handle(Input::SetUp(ConnId(1), request(1, 1)));
    let (link, _) = first_dial(&out).expect("a dial");
    let out = front.handle(Input::LinkUp(link));
    assert_eq!(out, [Effect::CheckViewer(ConnId(1), link, SessionId(1))]);
    front.departed.clear();
    (front, link)
}

#[test]
fn a_set_up_under_check_is_not_sent_after_its_connection_node_or_deadline_has_gone() {
    type Cross = fn(LinkId) -> Input;
    let crossings: [Cross; 4] = [
        Input::LinkDown,
        |_| {
            Input::NodeList(vec![
                node(1, State::Draining),
                node(2, State::Draining),
                node(3, State::Draining),
            ])
        },
        |_| Input::NodeList(vec![]),
        |_| Input::AnswerAll,
    ];
    for (i, cross) in crossings.iter().enumerate() {
        let (mut front, link) = offered();
        front.handle(cross(link));
        front.handle(Input::ViewerWaits(SessionId(1)));
        front.advance(10 * S);
        let sent: Vec<_> = front.out.iter().filter_map(|e| first_set_up(std::slice::from_ref(e))).collect();
        assert!(sent.iter().all(|(l, _)| *l != link), "crossing {i}: {sent:?}");
        let answers = front.out.iter().filter(|e| matches!(e, Effect::SendToViewer(..))).count();
        assert_eq!((answers, front.core.open_requests()), (1, 0), "crossing {i}: {:?}", front.out);
    }
    let (mut front, _) = offered();
    front.advance(10 * S);
    assert!(front.handle(Input::ViewerWaits(SessionId(1))).is_empty(), "its deadline has passed");
    assert_eq!((set_ups(&front), front.core.open_requests()), (0, 0));
}

#[test]
fn an_at_most_once_set_up_on_a_blocked_connection_goes_over_another_one() {
    let (mut front, link) = offered();
    let out = front.handle(Input::LinkBlocked(SessionId(1)));
    let (next, _) = first_dial(&out).expect("another connection to the node");
    assert!(next != link && out.iter().all(|e| !matches!(e, Effect::SendToNode(..))), "{out:?}");
    assert!(front.handle(Input::ViewerWaits(SessionId(1))).is_empty(), "that check is outdated");
    assert_eq!(first_set_up(&front.handle(Input::LinkUp(next))), Some((next, SessionId(1))));
    // A message from the node makes the first connection usable again.
    let blocked = |front: &Harness| front.core.links.get(&link).map(|l| l.blocked);
    assert_eq!(blocked(&front), Some(true));
    front.handle(Input::NodeMessage(link, FromNode::Other));
    assert_eq!(blocked(&front), Some(false));
}

#[test]
fn a_node_with_blocked_connections_costs_few_dials_and_the_set_up_is_refused() {
    let (mut front, _) = offered();
    front.departed.insert(SessionId(1));
    let mut dials = 0;
    for _ in 0..40 {
        let out = front.handle(Input::LinkBlocked(SessionId(1)));
        let Some((next, _)) = first_dial(&out) else { continue };
        dials += 1;
        front.handle(Input::LinkUp(next));
    }
    front.advance(10 * S);
    assert!(dials <= 9, "{dials} dials: three connections an attempt, three attempts");
    assert!(sent_to_viewer(&front.out, &ToViewer::Refused(SessionId(1), None)), "{:?}", front.out);
    assert_eq!((set_ups(&front), front.core.open_requests()), (0, 0));
}

#[test]
fn a_connection_that_comes_up_after_its_attempt_moved_on_carries_nothing() {
    let mut front = Harness::with_three_nodes();
    let out = front.handle(Input::SetUp(ConnId(1), request(1, 0)));
    let (late, _) = first_dial(&out).expect("a dial");
    let out = front.handle(Input::DialFailed(late, DialEnd::TimedOut));
    let (next, _) = first_dial(&out).or_else(|| first_dial(&front.advance(S))).expect("another dial");
    assert_eq!(first_set_up(&front.handle(Input::LinkUp(next))), Some((next, SessionId(1))));
    assert_eq!(front.handle(Input::LinkUp(late)), [Effect::CloseLink(late)]);
    front.handle(Input::NodeMessage(next, session_started(1)));
    assert_eq!(set_ups(&front), 1);
}

/// Guards against a second end of a session: its viewer had no connection when the node ended it, and was told so
/// when it released the session on a new one.
#[test]
fn a_viewer_that_releases_an_ended_session_is_not_notified_of_its_end() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.playing(1);
    front.handle(Input::ViewerDisconnected(ConnId(1)));
    front.handle(Input::NodeMessage(link, FromNode::SessionEnded(SessionId(1), Outcome::Served, Vec::new())));
    front.handle(Input::ViewerConnected(ConnId(2), VIEWER_ADDRESS));
    let out = front.handle(Input::Release(ConnId(2), SessionId(1)));
    assert_eq!(out, [Effect::SendToViewer(ConnId(2), ToViewer::Acknowledge(SessionId(1)))]);
}

/// Guards against a session that plays on although its viewer has ended it: its node closed the connection while
/// the release was on the way.
#[test]
fn a_release_that_crosses_the_end_of_its_connection_is_sent_again_unless_it_was_acknowledged() {
    for acknowledged in [false, true] {
        let mut front = Harness::with_three_nodes();
        let (link, address) = front.playing(1);
        let release = ToNode::Release(SessionId(1), 7, 31);
        assert!(sent_to_node(&front.handle(Input::Release(ConnId(1), SessionId(1))), &release));
        if acknowledged {
            front.handle(Input::NodeMessage(link, FromNode::Acknowledged(SessionId(1))));
        }
        let out = front.handle(Input::LinkDown(link));
        assert_eq!(first_dial(&out).map(|(_, at)| at), (!acknowledged).then_some(address));
        assert_eq!(front.core.has_no_pending_work(), acknowledged);
        if let Some((next, _)) = first_dial(&out) {
            assert!(sent_to_node(&front.handle(Input::LinkUp(next)), &release), "it was not sent again");
            assert!(front.core.has_no_pending_work());
            let out = front.handle(Input::LinkDown(next));
            assert!(first_dial(&out).is_none(), "a node that closes each connection is dialled for ever");
        }
    }
}
