//! The client has left: by the end of its connection, found at whatever moment, or by a give-up. Nothing is begun for it
//! any more, its node hears of it, and its request has one answer.

use super::*;

/// A world in which the first attempt of request 1 has just ended without having run, and the next would be sent.
fn between_attempts(leaves: bool) -> (World, Vec<Effect>) {
    let mut w = World::three();
    let (link, _) = w.sent(1, 0);
    if leaves {
        w.leaves.insert(SessionId(1));
    }
    let mut out =
        w.tell(Input::NodeMessage(link, FromNode::SetUpFailed(SessionId(1), Outcome::Full, Vec::new())));
    // Whatever is dialled for it comes up, and its time passes.
    for _ in 0..8 {
        let Some((link, _)) = dialled(&out) else { break };
        out.extend(w.tell(Input::LinkUp(link)));
        if set_up(&out).is_some() {
            break;
        }
        out = w.pass(400 * MS);
    }
    (w, out)
}

fn set_ups(w: &World) -> usize {
    w.out.iter().filter(|e| matches!(e, Effect::SendToNode(_, ToNode::SetUp { .. }))).count()
}

#[test]
fn a_further_attempt_is_sent_to_who_waits_and_none_to_who_is_found_to_have_left() {
    let (w, out) = between_attempts(false);
    assert!(set_up(&out).is_some(), "who waits is tried again: {out:?}");
    assert_eq!(set_ups(&w), 2);
    let (mut w, _) = between_attempts(true);
    w.pass(10 * S);
    assert_eq!(set_ups(&w), 1, "{:?}", w.out);
    assert_eq!(w.core.open_requests(), 0);
}

#[test]
fn a_set_up_that_waited_for_its_dial_is_not_sent_once_its_viewer_has_left() {
    for leave in [
        Input::ViewerHalfClosed(ConnId(1)),
        Input::ViewerDisconnected(ConnId(1)),
        Input::Release(ConnId(1), SessionId(1)),
    ] {
        let mut w = World::three();
        let out = w.tell(Input::SetUp(ConnId(1), ask(1, 0)));
        let (link, _) = dialled(&out).expect("a dial");
        w.tell(leave.clone());
        w.tell(Input::LinkUp(link));
        w.pass(10 * S);
        assert_eq!(set_ups(&w), 0, "{leave:?}");
        assert!(
            !w.out.iter().any(|e| matches!(e, Effect::SendToNode(_, ToNode::CancelSetUp(..)))),
            "nothing was sent"
        );
        assert_eq!(w.core.open_requests(), 0);
    }
}

#[test]
fn whoever_closes_its_side_has_left_and_hears_the_end_of_each_request_once() {
    let mut w = World::three();
    let (link, _) = w.sent(1, 1);
    let second = w.tell(Input::SetUp(ConnId(1), ask(2, 0)));
    let waits = dialled(&second);
    let out = w.tell(Input::ViewerHalfClosed(ConnId(1)));
    assert!(wrote(&out, &ToNode::CancelSetUp(SessionId(1), 7)), "{out:?}");
    assert!(told(&out, &ToViewer::Failed(SessionId(1))), "what may have run isn't refused: {out:?}");
    if waits.is_some() {
        assert!(!told(&out, &ToViewer::Started(SessionId(2), Bytes::new())));
    }
    let answers = |out: &[Effect]| out.iter().filter(|e| matches!(e, Effect::SendToViewer(..))).count();
    assert_eq!(answers(&out), 2, "{out:?}");
    assert_eq!(w.core.open_requests(), 0);
    assert!(w.tell(Input::ViewerDisconnected(ConnId(1))).is_empty(), "each was answered already");
    let out = w.tell(Input::NodeMessage(link, plays(1)));
    assert!(wrote(&out, &ToNode::Release(SessionId(1), 7, 31)) && answers(&out) == 0, "{out:?}");
}

#[test]
fn what_comes_behind_the_end_of_a_connection_is_refused_and_what_ends_or_hands_over_is_heard() {
    let mut w = World::three();
    let (link, _) = w.standing(1);
    w.tell(Input::ViewerHalfClosed(ConnId(1)));
    let out = w.tell(Input::SetUp(ConnId(1), ask(2, 1)));
    assert_eq!(out, [Effect::SendToViewer(ConnId(1), ToViewer::Refused(SessionId(2), None))]);
    let handed = SetUpRequest { playing_at: Some(ServerId(2)), ..ask(3, 0) };
    w.tell(Input::SetUp(ConnId(1), handed));
    assert_eq!(w.core.playing_sessions(), 2, "no connection owns a standing session");
    let out = w.tell(Input::Release(ConnId(1), SessionId(1)));
    assert!(wrote(&out, &ToNode::Release(SessionId(1), 7, 31)), "{out:?}");
    w.tell(Input::ViewerDisconnected(ConnId(1)));
    // A request that crossed the close from here: nothing was sent for it.
    let out = w.tell(Input::SetUp(ConnId(1), ask(4, 1)));
    assert_eq!(out, [Effect::SendToViewer(ConnId(1), ToViewer::Refused(SessionId(4), None))]);
    assert_eq!((w.core.open_requests(), set_ups(&w)), (0, 1));
    assert!(
        w.tell(Input::NodeMessage(link, plays(1))).iter().all(|e| !matches!(e, Effect::SendToViewer(..)))
    );
}

#[test]
fn the_end_of_a_session_is_not_told_on_a_connection_that_its_viewer_has_closed() {
    let mut w = World::three();
    let (link, _) = w.standing(1);
    w.tell(Input::ViewerConnected(ConnId(2), HERE));
    w.tell(Input::Release(ConnId(2), SessionId(77)));
    w.tell(Input::ViewerHalfClosed(ConnId(1)));
    let out =
        w.tell(Input::NodeMessage(link, FromNode::SessionEnded(SessionId(1), Outcome::Served, Vec::new())));
    assert!(!out.iter().any(|e| matches!(e, Effect::SendToViewer(ConnId(1), _))), "{out:?}");
    w.tell(Input::ViewerConnected(ConnId(3), HERE));
    let out = w.tell(Input::SetUp(ConnId(3), ask(2, 0)));
    assert!(out.contains(&Effect::SendToViewer(ConnId(3), over(1, 16))), "{out:?}");
}

/// A set-up whose viewer is being looked for, before the answer: nothing was sent.
fn offered() -> (World, LinkId) {
    let mut w = World::three();
    w.leaves.insert(SessionId(1));
    let out = w.tell(Input::SetUp(ConnId(1), ask(1, 1)));
    let (link, _) = dialled(&out).expect("a dial");
    let out = w.tell(Input::LinkUp(link));
    assert_eq!(out, [Effect::CheckViewer(ConnId(1), link, SessionId(1))]);
    w.leaves.clear();
    (w, link)
}

#[test]
fn an_offered_set_up_crosses_the_end_of_its_connection_its_node_and_its_time_unsent() {
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
        let (mut w, link) = offered();
        w.tell(cross(link));
        w.tell(Input::ViewerWaits(SessionId(1)));
        w.pass(10 * S);
        let sent: Vec<_> = w.out.iter().filter_map(|e| set_up(std::slice::from_ref(e))).collect();
        assert!(sent.iter().all(|(l, _)| *l != link), "crossing {i}: {sent:?}");
        let answers = w.out.iter().filter(|e| matches!(e, Effect::SendToViewer(..))).count();
        assert_eq!((answers, w.core.open_requests()), (1, 0), "crossing {i}: {:?}", w.out);
    }
    let (mut w, _) = offered();
    w.pass(10 * S);
    assert!(w.tell(Input::ViewerWaits(SessionId(1))).is_empty(), "its time was up");
    assert_eq!((set_ups(&w), w.core.open_requests()), (0, 0));
}

#[test]
fn a_set_up_whose_connection_takes_no_bytes_goes_over_another_one_though_paid() {
    let (mut w, link) = offered();
    let out = w.tell(Input::LinkBlocked(SessionId(1)));
    let (next, _) = dialled(&out).expect("another connection to the node");
    assert!(next != link && out.iter().all(|e| !matches!(e, Effect::SendToNode(..))), "{out:?}");
    assert!(w.tell(Input::ViewerWaits(SessionId(1))).is_empty(), "that look is over");
    assert_eq!(set_up(&w.tell(Input::LinkUp(next))), Some((next, SessionId(1))));
    // Once the node says something on the first one it serves again.
    let blocked = |w: &World| w.core.links.get(&link).map(|l| l.blocked);
    assert_eq!(blocked(&w), Some(true));
    w.tell(Input::NodeMessage(link, FromNode::Other));
    assert_eq!(blocked(&w), Some(false));
}

#[test]
fn a_node_whose_connections_all_take_no_bytes_costs_a_few_of_them_and_what_never_ran_is_refused() {
    let (mut w, _) = offered();
    w.leaves.insert(SessionId(1));
    let mut dials = 0;
    for _ in 0..40 {
        let out = w.tell(Input::LinkBlocked(SessionId(1)));
        let Some((next, _)) = dialled(&out) else { continue };
        dials += 1;
        w.tell(Input::LinkUp(next));
    }
    w.pass(10 * S);
    assert!(dials <= 9, "{dials} dials: three connections an attempt, three attempts");
    assert!(told(&w.out, &ToViewer::Refused(SessionId(1), None)), "{:?}", w.out);
    assert_eq!((set_ups(&w), w.core.open_requests()), (0, 0));
}

#[test]
fn a_connection_that_comes_up_after_its_attempt_moved_on_carries_nothing() {
    let mut w = World::three();
    let out = w.tell(Input::SetUp(ConnId(1), ask(1, 0)));
    let (late, _) = dialled(&out).expect("a dial");
    let out = w.tell(Input::DialFailed(late, DialEnd::TimedOut));
    let (next, _) = dialled(&out).or_else(|| dialled(&w.pass(S))).expect("another dial");
    assert_eq!(set_up(&w.tell(Input::LinkUp(next))), Some((next, SessionId(1))));
    assert_eq!(w.tell(Input::LinkUp(late)), [Effect::CloseLink(late)]);
    w.tell(Input::NodeMessage(next, plays(1)));
    assert_eq!(set_ups(&w), 1);
}
