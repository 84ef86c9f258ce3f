//! Changes of the list: attempts in flight, playing sessions, connections, and the controller's view of the
//! new node.

use super::*;
use pepperhook::ServerView;
use std::net::SocketAddr;

fn probes(out: &[Effect]) -> usize {
    out.iter().filter(|e| matches!(e, Effect::SendToNode(_, ToNode::QueryLoad(_)))).count()
}

fn set_ups(out: &[Effect]) -> usize {
    out.iter().filter(|e| matches!(e, Effect::SendToNode(_, ToNode::SetUp { .. }))).count()
}

/// The controller's view of a node.
fn view(front: &Harness, id: u32) -> ServerView {
    let (servers, _) = front.core.controller.view(front.now);
    servers.into_iter().find(|s| s.entry.server == ServerId(id)).expect("a node")
}

fn restarted(front: &Harness, e: Entry) -> Entry {
    Entry { started_ms: front.now / MS, ..e }
}

/// A dial to a node that leaves the list meanwhile may reach another node at its address.
#[test]
fn a_dial_in_progress_to_a_node_that_leaves_the_list_is_abandoned() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (old, _) = front.playing(1);
    let (late, _) = first_dial(&front.advance(6 * S)).expect("a silent node is dialled");
    let new = restarted(&front, Entry { id: 4, ..node(1, State::Ready) });
    let out = front.handle(Input::NodeList(vec![new]));
    assert!(out.contains(&Effect::CloseLink(late)) && !out.contains(&Effect::CloseLink(old)), "{out:?}");
    let out = front.handle(Input::LinkUp(late));
    assert_eq!(out, [Effect::CloseLink(late)], "it came up nevertheless: nothing is sent on it");
    assert_eq!(front.core.playing_sessions(), 1, "the old connection may still yield a sign of life");
    assert!(front.handle(Input::NodeMessage(late, FromNode::Other)).is_empty());
    let out = front.advance(1_100 * MS);
    assert!(sent_to_viewer(&out, &ended(1, 41)), "nothing was received on it");
}

/// A set-up that waits for such a dial was not sent: it goes to another node at once instead of waiting for
/// the dial.
#[test]
fn a_set_up_that_waits_for_a_node_that_leaves_the_list_goes_elsewhere_at_once() {
    let mut front = Harness::with_three_nodes();
    let out = front.handle(Input::SetUp(ConnId(1), request(1, 1)));
    let (first, address) = first_dial(&out).expect("a dial");
    let all = [1, 2, 3].map(|id| node(id, State::Ready));
    let rest = all.into_iter().filter(|n| SocketAddr::from(n.address) != address).collect();
    let out = front.handle(Input::NodeList(rest));
    assert!(out.contains(&Effect::CloseLink(first)), "{out:?}");
    let (second, other) = first_dial(&out).expect("another node is dialled");
    assert_ne!(address, other);
    assert_eq!(first_set_up(&front.handle(Input::LinkUp(second))), Some((second, SessionId(1))));
}

/// The list is late: a node has died, another one has taken its address, and the front has dialled it as the
/// old one. Messages of the new node must not keep the sessions of the old one alive.
#[test]
fn a_connection_that_reaches_the_new_node_at_an_address_does_not_count_for_the_old_one() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (link, _) = front.playing(1);
    front.advance(S);
    let new = restarted(&front, Entry { id: 4, ..node(1, State::Ready) });
    front.advance(100 * MS);
    let (check, _) = first_dial(&front.handle(Input::LinkDown(link))).expect("the node is dialled");
    front.handle(Input::LinkUp(check));
    assert_eq!(front.core.playing_sessions(), 1, "only the connection seems to have broken");
    // A session set up on it meanwhile really plays at the new node.
    let out = front.handle(Input::SetUp(ConnId(1), request(2, 0)));
    assert_eq!(first_set_up(&out), Some((check, SessionId(2))));
    front.handle(Input::NodeMessage(check, session_started(2)));
    front.advance(3 * S);
    let out = front.handle(Input::NodeList(vec![new]));
    assert!(sent_to_viewer(&out, &ended(1, 41)) && sent_to_viewer(&out, &ended(2, 41)), "{out:?}");
    assert!(
        sent_to_node(&out, &ToNode::Release(SessionId(2), 7, 41)),
        "it does not play on without a viewer"
    );
    assert!(!sent_to_node(&out, &ToNode::Release(SessionId(1), 7, 41)), "the new node never had it");
    assert!(out.contains(&Effect::CloseLink(check)));
    assert_eq!(front.core.playing_sessions(), 0);
    assert!(!view(&front, 4).barred, "failures of the old node do not count for the new one");
}

/// The old node's connection stays open and silent: it is queried, and the new node's own connection does not
/// count for it.
#[test]
fn an_old_connection_that_stays_silent_ends_with_its_sessions_whatever_the_new_node_sends() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    front.core.probing = true;
    let (old, _) = front.playing(1);
    front.advance(S);
    let new = restarted(&front, Entry { id: 4, ..node(1, State::Ready) });
    front.handle(Input::NodeList(vec![new]));
    let (fresh, _) =
        first_dial(&front.handle(Input::SetUp(ConnId(1), request(2, 0)))).expect("a connection of its own");
    let out = front.handle(Input::LinkUp(fresh));
    assert_eq!(first_set_up(&out), Some((fresh, SessionId(2))));
    front.handle(Input::NodeMessage(fresh, session_started(2)));
    let mut out = Vec::new();
    for _ in 0..12 {
        out.extend(front.advance(100 * MS));
        front.handle(Input::NodeMessage(fresh, FromNode::Other));
    }
    assert!(
        probes(&out) > 0 && sent_to_viewer(&out, &ended(1, 41)) && out.contains(&Effect::CloseLink(old)),
        "{out:?}"
    );
    assert_eq!(front.core.playing_sessions(), 1);
    assert!(!sent_to_viewer(&out, &ended(2, 41)));
}

#[test]
fn an_attempt_in_flight_to_a_removed_node_runs_to_its_end_and_nothing_more_goes_there() {
    for ending in 0..3 {
        let mut front = Harness::with_three_nodes();
        let (link, address) = front.set_up_sent(1, 1);
        let all = [1, 2, 3].map(|id| node(id, State::Ready));
        let rest: Vec<_> = all.into_iter().filter(|n| SocketAddr::from(n.address) != address).collect();
        let out = front.handle(Input::NodeList(rest.clone()));
        assert!(!sent_to_viewer(&out, &failed(1)) && set_ups(&out) == 0, "one attempt at a time: {out:?}");
        let out = match ending {
            // The node answers: the session plays there and ends with the node.
            0 => {
                let out = front.handle(Input::NodeMessage(link, session_started(1)));
                assert!(sent_to_viewer(
                    &out,
                    &ToViewer::Started(SessionId(1), Bytes::from_static(b"answer"))
                ));
                front.handle(Input::LinkDown(link))
            }
            // Its connection breaks: the set-up may have run.
            1 => front.handle(Input::LinkDown(link)),
            // The node never answers: the request runs into its deadline.
            _ => front.advance(3 * S + 50 * MS),
        };
        let message = if ending == 0 { ended(1, 41) } else { failed(1) };
        assert!(sent_to_viewer(&out, &message), "{ending}: {out:?}");
        assert!(
            first_dial(&out).is_none_or(|(_, at)| at != address),
            "its address may belong to another node"
        );
        assert_eq!((front.core.open_requests(), front.core.playing_sessions()), (0, 0));
        front.advance(15 * S);
        assert!(
            front.core.incarnations.values().all(|l| !l.links.contains(&link))
                && front.core.incarnations.len() == 2
        );
    }
}

/// Once the list says that a node drains or is gone, nothing new is sent there, although the protocol would
/// allow a grace period.
#[test]
fn nothing_new_goes_to_a_node_listed_as_draining_or_gone() {
    for gone in [false, true] {
        let mut front = Harness::with_three_nodes();
        let (up, address) = front.set_up_sent(1, 0);
        let waits = front.handle(Input::SetUp(ConnId(1), request(2, 0)));
        let waits = first_dial(&waits);
        let all = [1, 2, 3].map(|id| node(id, State::Ready));
        let list = all.into_iter().filter_map(|n| match SocketAddr::from(n.address) == address {
            true if gone => None,
            true => Some(Entry { state: State::Draining, ..n }),
            false => Some(n),
        });
        front.handle(Input::NodeList(list.collect()));
        if let Some((link, _)) = waits {
            front.handle(Input::LinkUp(link));
        }
        // The attempt in flight times out and is retried, and other requests come. All of them go to the
        // other two nodes.
        front.out.clear();
        let mut links = BTreeMap::new();
        for id in 3..30 {
            let mut out = front.handle(Input::SetUp(ConnId(1), request(id, 0)));
            out.extend(front.advance(50 * MS));
            while let Some((link, at)) = first_dial(&out) {
                assert!(!gone || at != address, "dialled although it is gone");
                links.insert(link, at);
                out = front.handle(Input::LinkUp(link));
            }
            let sent = front.out.iter().rev().find_map(|e| first_set_up(std::slice::from_ref(e)));
            if let Some((link, id)) = sent {
                front.handle(Input::NodeMessage(link, session_started(id.0)));
            }
        }
        let there: BTreeSet<_> = links.iter().filter(|(_, at)| **at == address).map(|(l, _)| *l).collect();
        for e in &front.out {
            if let Effect::SendToNode(link, ToNode::SetUp { .. }) = e {
                assert!(*link != up && !there.contains(link), "{e:?}");
            }
        }
        assert!(set_ups(&front.out) >= 27);
    }
}

/// A node id returns with a later start: older sessions have ended, newer ones play on, and the node is cold.
#[test]
fn a_restarted_id_is_cold_and_keeps_only_newer_sessions() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (old, _) = front.playing(1);
    front.advance(S);
    let back = restarted(&front, node(1, State::Ready));
    front.advance(10 * MS);
    // The process restarts before the list says so: the node is dialled after its connection broke, and gets
    // a set-up.
    let (fresh, _) = first_dial(&front.handle(Input::LinkDown(old))).expect("the node is dialled");
    front.handle(Input::LinkUp(fresh));
    assert_eq!(
        first_set_up(&front.handle(Input::SetUp(ConnId(1), request(2, 0)))),
        Some((fresh, SessionId(2)))
    );
    front.handle(Input::NodeMessage(fresh, session_started(2)));
    assert_eq!(view(&front, 1).warmth, 1.0, "the list does not say yet that it restarted");
    let out = front.handle(Input::NodeList(vec![back]));
    assert!(sent_to_viewer(&out, &ended(1, 41)) && !sent_to_viewer(&out, &ended(2, 41)), "{out:?}");
    assert!(!out.contains(&Effect::CloseLink(fresh)), "it leads to the new process");
    let now = view(&front, 1);
    assert!(now.warmth < 0.5 && !now.barred && now.sessions == 1, "{now:?}");
    // The same list again changes nothing.
    assert!(front.handle(Input::NodeList(vec![back])).is_empty());
    assert_eq!(front.core.playing_sessions(), 1);
}

/// The id may also leave the list and return at another address: two incarnations of one id.
#[test]
fn failures_of_an_older_incarnation_do_not_count_for_the_current_one() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (old, _) = front.set_up_sent(1, 0);
    let (out_there, _) = front.set_up_sent(2, 1);
    front.handle(Input::NodeMessage(old, session_started(1)));
    front.advance(S);
    let moved = Entry { address: node(9, State::Ready).address, ..restarted(&front, node(1, State::Ready)) };
    front.handle(Input::NodeList(vec![moved]));
    front.advance(10 * MS);
    assert!(!view(&front, 1).barred);
    // The old process dies with a session and an attempt, and a report of it comes late.
    let report = vec![9.0, 9.0];
    let used = view(&front, 1).link_use;
    front.handle(Input::NodeMessage(old, FromNode::SessionEnded(SessionId(1), Outcome::Broken, report)));
    front.handle(Input::LinkDown(out_there));
    let out = front.handle(Input::LinkDown(old));
    assert!(front.out.contains(&Effect::SendToViewer(ConnId(1), failed(2))), "{out:?}");
    let now = view(&front, 1);
    assert!(!now.barred && now.sessions == 0 && now.link_use <= used + 0.1, "{now:?}");
    // The new incarnation serves requests.
    let (link, at) = first_dial(&front.handle(Input::SetUp(ConnId(1), request(3, 0)))).expect("a dial");
    assert_eq!(at, moved.address.into());
    assert_eq!(first_set_up(&front.handle(Input::LinkUp(link))), Some((link, SessionId(3))));
}

/// A hanging node keeps its connections open and is silent. Set-ups there fail at their deadline, once;
/// sessions stay, since the node may only stall; and connections to it do not pile up.
#[test]
fn a_hanging_node_costs_its_own_requests_and_few_connections() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (link, _) = front.playing(1);
    let mut dials = 0;
    for id in 10..30u64 {
        let requested_at = front.now;
        let mut out = front.handle(Input::SetUp(ConnId(1), request(id, 1)));
        let mut answers = 0;
        while front.now < requested_at + 3 * S + 100 * MS {
            // The operating system of the node accepts connections.
            let links: Vec<_> =
                out.iter().filter_map(|e| if let Effect::Dial(l, _) = e { Some(*l) } else { None }).collect();
            dials += links.len();
            let own = |e: &&Effect| matches!(e, Effect::SendToViewer(_, ToViewer::Failed(i) | ToViewer::Refused(i, _)) if i.0 == id);
            answers += out.iter().filter(own).count();
            out = links.into_iter().flat_map(|l| front.handle(Input::LinkUp(l))).collect();
            out.extend(front.advance(50 * MS));
        }
        answers += usize::from(sent_to_viewer(&out, &failed(id)));
        assert_eq!(answers, 1, "request {id}");
    }
    assert_eq!(front.core.playing_sessions(), 1, "a stalled process may go on");
    assert!(dials <= 20 + 14, "{dials} connections in a minute");
    assert!(front.core.links.len() <= 8, "{} connections are held", front.core.links.len());
    // The node was alive all the time.
    let open: Vec<_> = front.core.links.keys().copied().collect();
    let on = if open.contains(&link) { link } else { open[0] };
    assert!(sent_to_viewer(
        &front.handle(Input::NodeMessage(
            on,
            FromNode::SessionEnded(SessionId(1), Outcome::Served, Vec::new())
        )),
        &ended(1, 16)
    ));
}

/// The change log is down or silent. Nodes that die meanwhile are detected without it, and the late list ends
/// no session of a living node.
#[test]
fn without_a_list_for_eight_seconds_deaths_are_detected_and_the_late_list_ends_no_living_session() {
    let mut front = Harness::with_three_nodes();
    let (link, dead) = front.playing(1);
    let mut id = 2;
    while front.core.playing_sessions() < 3 {
        let out = front.handle(Input::SetUp(ConnId(1), request(id, 0)));
        if let Some((l, _)) = first_dial(&out) {
            front.handle(Input::LinkUp(l));
        }
        let on = front.core.sessions.get(&SessionId(id)).and_then(|s| match &s.phase {
            Phase::Open(Some(a)) => Some(a.link),
            _ => None,
        });
        front.handle(Input::NodeMessage(on.expect("an attempt"), session_started(id)));
        id += 1;
    }
    let there = front.core.incarnations.values().filter(|l| SocketAddr::from(l.address) == dead);
    let there: usize = there.map(|l| l.playing.len()).sum();
    let mut out = front.handle(Input::LinkDown(link));
    let (began, mut told_over) = (front.now, 0);
    while front.now < began + 8 * S {
        let links: Vec<_> = out
            .iter()
            .filter_map(|e| if let Effect::Dial(l, a) = e { Some((*l, *a)) } else { None })
            .collect();
        told_over += out.iter().filter(|e| matches!(e, Effect::SendToViewer(_, ToViewer::Ended(..)))).count();
        out = Vec::new();
        for (l, a) in links {
            let end = if a == dead { Input::DialFailed(l, DialEnd::Refused) } else { Input::LinkUp(l) };
            out.extend(front.handle(end));
        }
        out.extend(front.advance(20 * MS));
        // The other nodes keep sending messages.
        let each_second = front.now % S < 20 * MS;
        let ups = front.core.links.iter().filter(|(_, l)| each_second && l.is_up()).map(|(id, _)| *id);
        for l in ups.collect::<Vec<_>>() {
            out.extend(front.handle(Input::NodeMessage(l, FromNode::Other)));
        }
    }
    assert_eq!(told_over, there);
    assert_eq!(front.core.playing_sessions(), 3 - there);
    let all = [1, 2, 3].map(|id| node(id, State::Ready));
    let rest = all.into_iter().filter(|n| SocketAddr::from(n.address) != dead).collect();
    let out = front.handle(Input::NodeList(rest));
    assert!(!out.iter().any(|e| matches!(e, Effect::SendToViewer(_, ToViewer::Ended(..)))), "{out:?}");
    assert_eq!(front.core.playing_sessions(), 3 - there);
}

/// A connection to a node that has left the list is closed as soon as no session plays there, instead of
/// after its idle time.
#[test]
fn an_idle_connection_to_a_node_that_left_the_list_is_closed_at_once() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (link, _) = front.playing(1);
    front.handle(Input::NodeList(Vec::new()));
    assert_eq!(front.core.links.len(), 1, "the end of its session may still be reported");
    front.handle(Input::NodeMessage(link, FromNode::SessionEnded(SessionId(1), Outcome::Served, Vec::new())));
    let out = front.advance(250 * MS);
    assert!(out.contains(&Effect::CloseLink(link)), "{out:?}");
    front.advance(250 * MS);
    assert!(front.core.links.is_empty() && front.core.incarnations.is_empty());
}

/// A report of an older process of an id is no evidence about the current one.
#[test]
fn a_report_of_an_older_incarnation_is_ignored() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (old, _) = front.set_up_sent(1, 0);
    front.advance(100 * MS);
    let moved = Entry { address: node(9, State::Ready).address, ..restarted(&front, node(1, State::Ready)) };
    front.handle(Input::NodeList(vec![moved]));
    let used = view(&front, 1).link_use;
    front.handle(Input::NodeMessage(old, FromNode::SetUpFailed(SessionId(1), Outcome::Full, vec![9.0, 9.0])));
    assert!(view(&front, 1).link_use <= used + 0.1, "{:?}", view(&front, 1));
}
