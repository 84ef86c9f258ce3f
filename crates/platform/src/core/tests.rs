//! Tests of the core under a simulated clock: each rule at its boundary, then random histories checked by
//! `checker`.

mod checker;
mod churn;
mod handover;
mod histories;
mod leaving;
mod lists;
mod places;
mod random_settings;
mod refusals;
mod takeover;
mod watch;

use super::*;
use bytes::Bytes;
use pepperhook::{ClassId, Outcome, SessionSpec, TenantId, TitleId, ViewerKey};
use pepperhook_changelog::{Entry, State};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

const S: Time = 1_000 * MS;
const START: Time = 1_700_000_000 * S;
const VIEWER_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

fn settings() -> Value {
    let class = |name: &str, repeat: &str| json!({"name": name, "idempotency": repeat, "aim_ns": 800 * MS, "deadline_ns": 3 * S, "value": 1.0});
    json!({
        "n_instances": 1, "az": 0, "zones": ["z"], "flavors": ["k"],
        "classes": [class("free", "idempotent"), class("paid", "at_most_once")],
        "limits": {"max_attempts": 3, "dial_timeout_ns": 250 * MS, "conn_idle_ns": 15 * S, "max_streams": 100},
        "load_report": {"fields": ["x0", "x1"]},
        "rules": {"cold_ns": 12 * S, "fall_multiple": 2.5, "fall_ns": 2 * S, "start_capacity": 0.4,
                  "extra_per_request": 1.0, "min_extra": 100.0, "look_back_ns": 10 * S},
        "specifics": {"groups": 2, "positions": 3, "highest_rung": [1, 1], "lowest_rung": [0, 0],
                      "scale_by_class": [1.0, 1.0], "seats": [0, 0], "rung_kb": [200.0, 400.0],
                      "ladder_worth": [0.4, 1.0], "kind_slots": [200], "uplink_kb": 900_000.0,
                      "all_links_kb": 900_000.0, "kb_per_weight": 300_000.0},
    })
}

fn node(id: u32, state: State) -> Entry {
    let address = SocketAddrV4::new(Ipv4Addr::new(127, 1, 0, id as u8), 2905);
    Entry { id, address, state, zone: 0, kind: 0, cell: id % 3, weight: 1.0, started_ms: 0 }
}

fn request(id: u64, class: u16) -> SetUpRequest {
    let spec = SessionSpec {
        viewer: ViewerKey(id),
        class: ClassId(class),
        tenant: TenantId(0),
        title: TitleId(7),
        first_cell: 0.0,
        cell_count: 3.0,
        highest_rung: 1.0,
        max_wait: 3 * S,
        expected_length: None,
        reconnect: false,
    };
    SetUpRequest { id: SessionId(id), spec, body: Bytes::from_static(b"offer"), playing_at: None }
}

/// A core under a simulated clock, with the effects that it has produced.
struct Harness {
    core: Core,
    now: Time,
    out: Vec<Effect>,
    /// Sessions whose viewer has left when the core checks whether it waits.
    departed: BTreeSet<SessionId>,
}

impl Harness {
    fn new(nodes: &[Entry]) -> Self {
        Self::with_settings(&settings(), 256, nodes)
    }

    fn with_settings(v: &Value, descriptors: usize, nodes: &[Entry]) -> Self {
        let (own, sockets) =
            (pepperhook_parameters::decision_settings(v), pepperhook_parameters::socket_settings(v));
        let bounds = Bounds::for_descriptors(descriptors);
        let core = Core::new(own.expect("settings"), sockets.expect("settings"), bounds, 7).expect("a core");
        let mut front = Self { core, now: START, out: Vec::new(), departed: BTreeSet::new() };
        front.handle(Input::NodeList(nodes.to_vec()));
        front.handle(Input::ViewerConnected(ConnId(1), VIEWER_ADDRESS));
        front
    }

    fn with_three_nodes() -> Self {
        Self::new(&[node(1, State::Ready), node(2, State::Ready), node(3, State::Ready)])
    }

    /// Handles one input and returns the effects. Viewers wait for their set-ups, unless `departed` names
    /// them.
    fn handle(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        self.answer_viewer_checks(&mut out, 0);
        self.out.extend(out.iter().cloned());
        out
    }

    /// Answers the viewer checks that the core asks for, as the shell does.
    fn answer_viewer_checks(&mut self, out: &mut Vec<Effect>, from: usize) {
        let mut at = from;
        while at < out.len() {
            if let Effect::CheckViewer(_, _, id) = out[at] {
                if !self.departed.contains(&id) {
                    self.core.handle(self.now, Input::ViewerWaits(id), out);
                }
            }
            at += 1;
        }
    }

    fn advance(&mut self, time: Time) -> Vec<Effect> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(at) = self.core.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            let from = out.len();
            self.core.wake(self.now, &mut out);
            self.answer_viewer_checks(&mut out, from);
        }
        self.now = end;
        self.out.extend(out.iter().cloned());
        out
    }

    /// Sends a request up to its set-up at a node; returns the connection and the node's address.
    fn set_up_sent(&mut self, id: u64, class: u16) -> (LinkId, std::net::SocketAddr) {
        let out = self.handle(Input::SetUp(ConnId(1), request(id, class)));
        let (link, address) = first_dial(&out).expect("a dial");
        let out = self.handle(Input::LinkUp(link));
        assert!(first_set_up(&out).is_some_and(|(l, i)| l == link && i == SessionId(id)), "{out:?}");
        (link, address)
    }

    /// Sets a session up on this connection.
    fn playing_on(&mut self, link: LinkId, id: u64) {
        assert_eq!(
            first_set_up(&self.handle(Input::SetUp(ConnId(1), request(id, 0)))),
            Some((link, SessionId(id)))
        );
        self.handle(Input::NodeMessage(link, session_started(id)));
    }

    fn playing(&mut self, id: u64) -> (LinkId, std::net::SocketAddr) {
        let sent = self.set_up_sent(id, 0);
        let out = self.handle(Input::NodeMessage(sent.0, session_started(id)));
        assert!(out.contains(&Effect::SendToViewer(
            ConnId(1),
            ToViewer::Started(SessionId(id), Bytes::from_static(b"answer"))
        )));
        sent
    }
}

fn session_started(id: u64) -> FromNode {
    FromNode::Started(SessionId(id), Bytes::from_static(b"answer"))
}

fn first_dial(out: &[Effect]) -> Option<(LinkId, std::net::SocketAddr)> {
    out.iter().find_map(|e| if let Effect::Dial(link, address) = e { Some((*link, *address)) } else { None })
}

fn first_set_up(out: &[Effect]) -> Option<(LinkId, SessionId)> {
    out.iter().find_map(|e| match e {
        Effect::SendToNode(link, ToNode::SetUp { id, .. }) => Some((*link, *id)),
        _ => None,
    })
}

fn sent_to_viewer(out: &[Effect], message: &ToViewer) -> bool {
    out.iter().any(|e| matches!(e, Effect::SendToViewer(_, sent) if sent == message))
}

fn sent_to_node(out: &[Effect], message: &ToNode) -> bool {
    out.iter().any(|e| matches!(e, Effect::SendToNode(_, sent) if sent == message))
}

fn failed(id: u64) -> ToViewer {
    ToViewer::Failed(SessionId(id))
}

fn ended(id: u64, cause: u16) -> ToViewer {
    ToViewer::Ended(SessionId(id), 7, cause)
}

#[test]
fn a_repeated_answer_and_one_for_an_unknown_session_are_ignored() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.playing(1);
    assert!(front.handle(Input::NodeMessage(link, session_started(1))).is_empty());
    assert!(front.handle(Input::NodeMessage(link, session_started(999))).is_empty());
    let out = front
        .handle(Input::NodeMessage(link, FromNode::SessionEnded(SessionId(1), Outcome::Served, Vec::new())));
    assert!(
        sent_to_viewer(&out, &ended(1, 16)) && sent_to_node(&out, &ToNode::Acknowledge(SessionId(1))),
        "{out:?}"
    );
    let again = front
        .handle(Input::NodeMessage(link, FromNode::SessionEnded(SessionId(1), Outcome::Served, Vec::new())));
    assert!(!sent_to_viewer(&again, &ended(1, 16)), "an end that is reported twice is passed on once");
}

#[test]
fn a_set_up_that_never_ran_is_retried_and_an_at_most_once_set_up_that_broke_fails() {
    let mut front = Harness::with_three_nodes();
    let out = front.handle(Input::SetUp(ConnId(1), request(1, 1)));
    let (link, first) = first_dial(&out).expect("a dial");
    let out = front.handle(Input::DialFailed(link, DialEnd::Refused));
    let (link, second) = first_dial(&out).expect("another node is dialled");
    assert_ne!(first, second);
    front.handle(Input::LinkUp(link));
    // The connection breaks after the set-up was sent, so it may have run. The node is dialled to learn
    // whether it is alive.
    let out = front.handle(Input::LinkDown(link));
    assert!(!sent_to_viewer(&out, &failed(1)));
    let (check, at) = first_dial(&out).expect("the node is dialled");
    assert_eq!(at, second);
    let out = front.handle(Input::LinkUp(check));
    assert!(sent_to_viewer(&out, &failed(1)) && first_set_up(&out).is_none(), "{out:?}");
}

#[test]
fn an_answer_that_crosses_the_cancellation_is_released_and_reaches_no_viewer() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.set_up_sent(1, 0);
    let out = front.handle(Input::Release(ConnId(1), SessionId(1)));
    assert!(
        sent_to_node(&out, &ToNode::CancelSetUp(SessionId(1), 7))
            && sent_to_viewer(&out, &ToViewer::Acknowledge(SessionId(1)))
    );
    let out = front.handle(Input::NodeMessage(link, session_started(1)));
    assert_eq!(out, [Effect::SendToNode(link, ToNode::Release(SessionId(1), 7, 31))]);
    assert_eq!((front.core.open_requests(), front.core.playing_sessions()), (0, 0));
}

#[test]
fn a_retry_waits_until_the_node_acknowledges_the_cancellation() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.set_up_sent(1, 0);
    let out = front.advance(400 * MS);
    assert!(sent_to_node(&out, &ToNode::CancelSetUp(SessionId(1), 7)), "half of the aim has passed");
    assert!(first_dial(&out).is_none() && first_set_up(&out).is_none());
    let out = front.handle(Input::NodeMessage(link, FromNode::Acknowledged(SessionId(1))));
    assert!(first_dial(&out).is_some(), "{out:?}");
}

#[test]
fn each_request_is_answered_at_its_deadline_whatever_nodes_do() {
    let mut front = Harness::with_three_nodes();
    front.set_up_sent(1, 1);
    let out = front.advance(3 * S - MS);
    assert!(!sent_to_viewer(&out, &failed(1)), "the attempt has the whole time");
    let out = front.advance(5 * MS);
    assert!(sent_to_viewer(&out, &failed(1)), "{out:?}");
    let out = front.advance(5 * S);
    assert!(!sent_to_viewer(&out, &failed(1)) && front.core.open_requests() == 0);
}

#[test]
fn a_node_that_drains_while_it_is_dialled_is_sent_nothing() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let out = front.handle(Input::SetUp(ConnId(1), request(1, 0)));
    let (link, _) = first_dial(&out).expect("a dial");
    front.handle(Input::NodeList(vec![node(1, State::Draining)]));
    let out = front.handle(Input::LinkUp(link));
    assert!(first_set_up(&out).is_none());
    assert!(sent_to_viewer(&out, &ToViewer::Refused(SessionId(1), None)), "{out:?}");
}

/// Refuses each dial until the session has ended; asserts that this takes as long as the node may have to live, and no
/// longer than its end may go unreported. `out` is the output so far, and the last sign of life came at `heard_at`.
fn assert_refused_dials_end_the_session_in_time(front: &mut Harness, mut out: Vec<Effect>, heard_at: Time) {
    let mut dials = 0;
    while !sent_to_viewer(&front.out, &ended(1, 41)) {
        assert!(front.now < heard_at + 8 * S, "the end was not reported in time");
        while let Some((check, _)) = first_dial(&out) {
            dials += 1;
            out = front.handle(Input::DialFailed(check, DialEnd::Refused));
        }
        out.extend(front.advance(10 * MS));
    }
    assert!(front.now >= heard_at + 7 * S, "a node at its limit of connections was held to be dead");
    assert!((2..=16).contains(&dials), "{dials} dials");
    assert_eq!(front.core.playing_sessions(), 0);
}

#[test]
fn refused_dials_end_the_sessions_of_a_node_in_time_and_a_broken_connection_alone_does_not() {
    for end in [Input::LinkReset, Input::LinkEndedByNode] {
        let mut front = Harness::with_three_nodes();
        let (link, at) = front.playing(1);
        let out = front.handle(end(link));
        let (check, address) = first_dial(&out).expect("the node is dialled");
        assert_eq!(address, at);
        let out = front.handle(Input::LinkUp(check));
        assert!(!sent_to_viewer(&out, &ended(1, 41)) && front.core.playing_sessions() == 1);
        front.advance(S);
        let heard_at = front.now;
        let out = front.handle(end(check));
        assert_refused_dials_end_the_session_in_time(&mut front, out, heard_at);
    }
}

/// Guards against sessions of a dead node that never end: a connection that seems to be up kept the node
/// alive while dials were refused.
#[test]
fn a_connection_that_only_seems_to_be_up_does_not_keep_a_dead_node_alive() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.playing(1);
    let out = front.advance(6 * S);
    let (quiet, _) = first_dial(&out).expect("a silent node is dialled");
    front.handle(Input::LinkUp(quiet));
    let heard_at = front.now;
    let out = front.handle(Input::LinkReset(link));
    assert_refused_dials_end_the_session_in_time(&mut front, out, heard_at);
}

/// Guards against sessions that are released although their node, which is at its limit of connections, plays them on.
#[test]
fn a_node_that_closes_its_idle_connection_and_refuses_others_for_a_while_keeps_its_sessions() {
    for refuses_for in [S, 3 * S, 6 * S] {
        let mut front = Harness::with_three_nodes();
        let (link, _) = front.playing(1);
        let mut out = front.handle(Input::LinkEndedByNode(link));
        let began = front.now;
        while let Some((check, _)) = first_dial(&out).filter(|_| front.now < began + refuses_for) {
            out = front.handle(Input::DialFailed(check, DialEnd::Refused));
            while first_dial(&out).is_none() {
                out.extend(front.advance(10 * MS));
            }
        }
        let (check, _) = first_dial(&out).expect("the node is dialled");
        let out = front.handle(Input::LinkUp(check));
        assert_eq!(
            front.core.playing_sessions(),
            1,
            "lost while its node refused dials for {refuses_for} ns"
        );
        assert!(!out.iter().any(|e| matches!(e, Effect::SendToNode(_, ToNode::Release(..)))));
        front.advance(4 * S);
        assert_eq!(front.core.playing_sessions(), 1);
    }
}

#[test]
fn a_vanished_machine_is_detected_in_time_and_a_stalled_one_keeps_its_sessions() {
    for vanished in [true, false] {
        let mut front = Harness::with_three_nodes();
        front.playing(1);
        let (began, mut dials) = (front.now, Vec::new());
        while front.now < began + 8 * S && front.core.playing_sessions() > 0 {
            for e in front.advance(50 * MS) {
                if let Effect::Dial(link, _) = e {
                    dials.push((front.now, link));
                }
            }
            let now = front.now;
            let due: Vec<_> = dials.extract_if(.., |(at, _)| *at + 250 * MS <= now).collect();
            for (_, link) in due {
                let end =
                    if vanished { Input::DialFailed(link, DialEnd::TimedOut) } else { Input::LinkUp(link) };
                front.handle(end);
            }
        }
        assert_eq!(sent_to_viewer(&front.out, &ended(1, 41)), vanished);
        assert_eq!(front.core.playing_sessions(), usize::from(!vanished));
        assert!(!vanished || front.now < began + 8 * S, "found after {} ms", (front.now - began) / MS);
    }
}

#[test]
fn an_unlisted_node_is_queried_and_its_sessions_end_if_it_does_not_answer() {
    for answers in [true, false] {
        let mut front = Harness::with_three_nodes();
        front.core.probing = true;
        let (link, address) = front.playing(1);
        let rest = [1, 2, 3].map(|id| node(id, State::Ready));
        front.advance(100 * MS);
        front.handle(Input::NodeList(
            rest.into_iter().filter(|n| std::net::SocketAddr::from(n.address) != address).collect(),
        ));
        let out = front.advance(300 * MS);
        assert!(first_dial(&out).is_none(), "its address may belong to another node");
        assert!(out.iter().any(|e| matches!(e, Effect::SendToNode(l, ToNode::QueryLoad(_)) if *l == link)));
        if answers {
            front.handle(Input::NodeMessage(link, FromNode::Other));
        }
        let out = front.advance(S);
        assert_eq!(sent_to_viewer(&out, &ended(1, 41)), !answers);
    }
}

/// A load query that serves as a sign of life is a probe as well, so none may be sent where the settings
/// forbid probes.
#[test]
fn where_probes_are_forbidden_no_node_is_queried() {
    let sent_queries =
        |out: &[Effect]| out.iter().any(|e| matches!(e, Effect::SendToNode(_, ToNode::QueryLoad(_))));
    let mut front = Harness::with_three_nodes();
    let (link, address) = front.playing(1);
    let rest = [1, 2, 3].map(|id| node(id, State::Ready));
    front.handle(Input::NodeList(
        rest.into_iter().filter(|n| SocketAddr::from(n.address) != address).collect(),
    ));
    front.advance(3 * S);
    assert_eq!(front.core.playing_sessions(), 1, "it may still play there");
    front.handle(Input::NodeMessage(link, FromNode::Other));
    front.advance(3 * S);
    assert_eq!(front.core.playing_sessions(), 1);
    front.advance(4 * S);
    assert!(sent_to_viewer(&front.out, &ended(1, 41)) && !sent_queries(&front.out));

    // A node at its connection limit refuses dials: its only idle connection is half-closed, and the node
    // closing it is a sign of life.
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.playing(1);
    let (dial, _) = first_dial(&front.advance(6 * S)).expect("a silent node is dialled");
    let out = front.handle(Input::DialFailed(dial, DialEnd::Refused));
    assert!(out.contains(&Effect::HalfCloseLink(link)), "{out:?}");
    let out = front.handle(Input::LinkEndedByNode(link));
    let (dial, _) = first_dial(&out)
        .or(first_dial(&front.advance(200 * MS)))
        .expect("the node has room for a connection again");
    front.handle(Input::LinkUp(dial));
    front.advance(S);
    assert!(front.core.playing_sessions() == 1 && !sent_queries(&front.out));
}

/// Viewers' connections at their limit, those being closed, and connections to nodes together once exceeded a
/// small descriptor limit.
#[test]
fn all_connections_together_stay_within_the_descriptors() {
    for descriptors in [32, 64, 100, 256, 1_024, 65_536] {
        let b = Bounds::for_descriptors(descriptors);
        let all = OWN_DESCRIPTORS + b.viewers * 9 / 8 + b.viewers / 16 + b.links;
        assert!(all <= descriptors, "{all} descriptors in use of {descriptors}");
        assert!(descriptors < 64 || b.viewers >= descriptors / 3, "the protocol's viewers take a third");
    }
}

/// 16,384 playing sessions with descriptions of 16 KiB each would exceed the memory of a front.
#[test]
fn a_playing_session_keeps_no_description() {
    let mut front = Harness::with_three_nodes();
    front.playing(1);
    front.handle(Input::SetUp(ConnId(1), SetUpRequest { playing_at: Some(ServerId(2)), ..request(2, 0) }));
    assert!(
        front.core.playing_sessions() == 2 && front.core.sessions.values().all(|s| s.request.body.is_empty())
    );
}

#[test]
fn a_moved_session_is_released_if_its_node_does_not_report_the_end() {
    for reported in [true, false] {
        let mut front = Harness::with_three_nodes();
        let (link, _) = front.playing(1);
        let mut out = Vec::new();
        front.core.move_session(front.now, SessionId(1), &mut out);
        assert_eq!(out, [Effect::SendToViewer(ConnId(1), ToViewer::Move(SessionId(1), 7))]);
        if reported {
            let out = front.handle(Input::NodeMessage(
                link,
                FromNode::SessionEnded(SessionId(1), Outcome::Cancelled, Vec::new()),
            ));
            assert_eq!(out, [Effect::SendToNode(link, ToNode::Acknowledge(SessionId(1)))]);
        }
        let out = front.advance(500 * MS);
        assert_eq!(sent_to_node(&out, &ToNode::Release(SessionId(1), 7, 31)), !reported);
        // The node may have died before the move. The move does not report an end, so without this notice the
        // viewer would never learn of it.
        assert_eq!(sent_to_viewer(&out, &ended(1, 31)), !reported);
        assert_eq!(front.core.playing_sessions(), 0);
    }
}

#[test]
fn messages_of_an_old_incarnation_do_not_count_for_a_node_at_its_address() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (link, address) = front.playing(1);
    front.advance(10 * MS);
    let new = Entry { id: 4, started_ms: front.now / MS, ..node(1, State::Ready) };
    front.handle(Input::NodeList(vec![new]));
    let out = front.handle(Input::SetUp(ConnId(1), request(2, 0)));
    let (fresh, at) = first_dial(&out).expect("a connection of its own");
    assert_eq!(at, address);
    assert!(first_set_up(&front.handle(Input::LinkUp(fresh))).is_some_and(|(l, _)| l == fresh));
    let out = front.handle(Input::NodeMessage(link, session_started(2)));
    assert!(
        !out.iter().any(|e| matches!(e, Effect::SendToViewer(..))),
        "an answer on the old incarnation's connection"
    );
    let out = front.handle(Input::LinkDown(link));
    assert!(sent_to_viewer(&out, &ended(1, 41)), "the old incarnation's last connection broke");
}

#[test]
fn a_restarted_node_ends_sessions_older_than_its_start() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    front.playing(1);
    front.advance(S);
    let started_ms = front.now / MS;
    front.advance(100 * MS);
    let out = front.handle(Input::NodeList(vec![Entry { started_ms, ..node(1, State::Ready) }]));
    assert!(sent_to_viewer(&out, &ended(1, 41)), "{out:?}");
}

#[test]
fn sessions_handed_over_at_the_start_are_adopted_once_without_an_answer() {
    let mut front = Harness::with_three_nodes();
    let at = SetUpRequest { playing_at: Some(ServerId(2)), ..request(1, 0) };
    let out = front.handle(Input::SetUp(ConnId(1), at.clone()));
    let (link, address) = first_dial(&out).expect("a connection is kept");
    assert_eq!(address, node(2, State::Ready).address.into());
    assert!(front.handle(Input::SetUp(ConnId(1), at)).is_empty());
    front.handle(Input::LinkUp(link));
    let out = front
        .handle(Input::NodeMessage(link, FromNode::SessionEnded(SessionId(1), Outcome::Served, Vec::new())));
    assert!(sent_to_viewer(&out, &ended(1, 16)));
    let unknown = SetUpRequest { playing_at: Some(ServerId(9)), ..request(2, 0) };
    assert!(front.handle(Input::SetUp(ConnId(1), unknown)).is_empty(), "the list may be late");
    let out = front.advance(2 * S);
    assert!(
        sent_to_viewer(&out, &ended(2, 41)) && sent_to_viewer(&out, &ToViewer::UnknownSession(SessionId(2))),
        "{out:?}"
    );
}

#[test]
fn a_duplicate_request_affects_only_its_own_connection() {
    let mut front = Harness::with_three_nodes();
    front.handle(Input::ViewerConnected(ConnId(2), VIEWER_ADDRESS));
    front.set_up_sent(1, 0);
    let out = front.handle(Input::SetUp(ConnId(2), request(1, 0)));
    assert_eq!(
        out,
        [Effect::SendToViewer(ConnId(2), ToViewer::Conflict(SessionId(1))), Effect::CloseViewer(ConnId(2))]
    );
    assert_eq!(front.core.open_requests(), 1);
    let out = front.handle(Input::SetUp(ConnId(1), request(1, 0)));
    assert!(
        sent_to_node(&out, &ToNode::CancelSetUp(SessionId(1), 7))
            && out.contains(&Effect::CloseViewer(ConnId(1)))
    );
    assert_eq!(front.core.open_requests(), 0);
}

#[test]
fn an_end_is_reported_on_another_connection_from_the_viewers_address_or_as_soon_as_one_comes() {
    let mut front = Harness::with_three_nodes();
    let (link, _) = front.playing(1);
    front.handle(Input::ViewerDisconnected(ConnId(1)));
    assert_eq!(front.core.playing_sessions(), 1, "no connection owns a playing session");
    let out = front
        .handle(Input::NodeMessage(link, FromNode::SessionEnded(SessionId(1), Outcome::Served, Vec::new())));
    assert!(!sent_to_viewer(&out, &ended(1, 16)));
    front.handle(Input::ViewerConnected(ConnId(2), VIEWER_ADDRESS));
    let out = front.handle(Input::SetUp(ConnId(2), request(2, 0)));
    assert!(out.contains(&Effect::SendToViewer(ConnId(2), ended(1, 16))), "{out:?}");
}

#[test]
fn open_set_ups_end_with_their_connection() {
    let mut front = Harness::with_three_nodes();
    front.set_up_sent(1, 0);
    let out = front.handle(Input::ViewerDisconnected(ConnId(1)));
    assert!(sent_to_node(&out, &ToNode::CancelSetUp(SessionId(1), 7)));
    assert_eq!(front.core.open_requests(), 0);
}

#[test]
fn silent_connections_can_be_evicted_and_those_with_work_cannot() {
    let mut front = Harness::with_three_nodes();
    front.playing(1);
    (2..5).for_each(|c| drop(front.handle(Input::ViewerConnected(ConnId(c), VIEWER_ADDRESS))));
    front.handle(Input::SetUp(ConnId(2), request(2, 0)));
    assert_eq!(front.core.evictable_viewers(), [vec![ConnId(3), ConnId(4)], vec![]]);
    assert_eq!(front.handle(Input::EvictViewer(ConnId(3))), [Effect::CloseViewer(ConnId(3))]);
    front.handle(Input::Release(ConnId(4), SessionId(2)));
    front.handle(Input::ViewerConnected(ConnId(5), VIEWER_ADDRESS));
    assert_eq!(
        front.core.evictable_viewers(),
        [vec![ConnId(5)], vec![ConnId(2), ConnId(4)]],
        "a connection that sent a message is evicted later"
    );
    for c in [5, 2, 4] {
        assert_eq!(front.handle(Input::EvictViewer(ConnId(c))), [Effect::CloseViewer(ConnId(c))]);
    }
    assert_eq!(front.core.evictable_viewers(), [vec![], vec![]]);
    assert!(front.handle(Input::EvictViewer(ConnId(1))).is_empty(), "a session was set up on it");
    front.handle(Input::ViewerConnected(ConnId(6), VIEWER_ADDRESS));
    front.handle(Input::SetUp(ConnId(6), request(6, 0)));
    assert_eq!(front.core.evictable_viewers(), [vec![], vec![]]);
    assert!(front.handle(Input::EvictViewer(ConnId(6))).is_empty(), "a request is open on it");
}

#[test]
fn a_load_query_whose_connection_broke_is_repeated_once() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let mut out = Vec::new();
    front.core.probe(front.now, ServerId(1), &mut out);
    let (link, _) = first_dial(&out).expect("a dial");
    assert!(matches!(front.handle(Input::LinkUp(link))[..], [Effect::SendToNode(_, ToNode::QueryLoad(_))]));
    let out = front.handle(Input::LinkDown(link));
    let (link, _) = first_dial(&out).expect("another connection");
    assert!(
        front
            .handle(Input::LinkUp(link))
            .iter()
            .any(|e| matches!(e, Effect::SendToNode(_, ToNode::QueryLoad(_))))
    );
    assert_eq!(front.core.probes.len(), 1);
    front.advance(300 * MS);
    assert!(front.core.probes.is_empty());
}

/// A load query that broke off at a node which had just left the list was repeated at its address, which
/// belonged to another node by then.
#[test]
fn an_unlisted_node_is_never_dialled() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (link, _) = front.playing(1);
    let mut out = Vec::new();
    front.core.probe(front.now, ServerId(1), &mut out);
    assert!(matches!(out[..], [Effect::SendToNode(l, ToNode::QueryLoad(_))] if l == link), "{out:?}");
    front.handle(Input::NodeList(Vec::new()));
    let out = front.handle(Input::LinkDown(link));
    assert!(first_dial(&out).is_none() && sent_to_viewer(&out, &ended(1, 41)), "{out:?}");
    assert!(front.core.probes.is_empty());
}

#[test]
fn maps_are_empty_again_after_many_short_incarnations() {
    let mut front = Harness::new(&[]);
    for round in 0..200u32 {
        let n = Entry { id: 100 + round, ..node(round % 3, State::Ready) };
        front.handle(Input::NodeList(vec![n]));
        let conn = ConnId(1_000 + u64::from(round));
        front.handle(Input::ViewerConnected(conn, VIEWER_ADDRESS));
        let out = front.handle(Input::SetUp(conn, request(u64::from(round) + 1, 0)));
        if let Some((link, _)) = first_dial(&out) {
            front.handle(Input::LinkUp(link));
            front.handle(Input::NodeMessage(link, session_started(u64::from(round) + 1)));
        }
        front.handle(Input::ViewerDisconnected(conn));
        front.advance(S);
    }
    front.handle(Input::NodeList(Vec::new()));
    front.advance(30 * S);
    let c = &front.core;
    assert!(c.sessions.is_empty() && c.incarnations.is_empty() && c.links.is_empty() && c.probes.is_empty());
    assert!(c.ended.is_empty() && c.ended_order.is_empty() && c.unsent_ends.is_empty() && c.conns.len() == 1);
}
