//! The core under a test's clock: each account at its boundary, then random histories judged by `checker`.

mod checker;
mod churn;
mod customers;
mod handed;
mod histories;
mod leaving;
mod lists;
mod watch;

use super::*;
use bytes::Bytes;
use pepperhook::{ClassId, Outcome, SessionSpec, TenantId, TitleId, ViewerKey};
use pepperhook_changelog::{Entry, State};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

const S: Time = 1_000 * MS;
const T0: Time = 1_700_000_000 * S;
const HERE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

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

fn ask(id: u64, class: u16) -> Ask {
    let wish = SessionSpec {
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
    Ask { id: SessionId(id), wish, body: Bytes::from_static(b"offer"), at: None }
}

/// A core with what it asked for.
struct World {
    core: Core,
    now: Time,
    out: Vec<Effect>,
    /// Viewers that are found to have left when they are looked for.
    leaves: BTreeSet<SessionId>,
}

impl World {
    fn new(nodes: &[Entry]) -> Self {
        Self::of(&settings(), 256, nodes)
    }

    fn of(v: &Value, descriptors: usize, nodes: &[Entry]) -> Self {
        let (own, sockets) =
            (pepperhook_parameters::decision_settings(v), pepperhook_parameters::socket_settings(v));
        let bounds = Bounds::for_descriptors(descriptors);
        let core = Core::new(own.expect("settings"), sockets.expect("settings"), bounds, 7).expect("a core");
        let mut world = Self { core, now: T0, out: Vec::new(), leaves: BTreeSet::new() };
        world.tell(Input::Nodes(nodes.to_vec()));
        world.tell(Input::Opened(ConnId(1), HERE));
        world
    }

    fn three() -> Self {
        Self::new(&[node(1, State::Ready), node(2, State::Ready), node(3, State::Ready)])
    }

    /// One input, and what comes of it. Viewers wait for what they asked for, unless `leaves` names them.
    fn tell(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        self.look(&mut out, 0);
        self.out.extend(out.iter().cloned());
        out
    }

    /// Answers each look that the core asks for, as the shell does.
    fn look(&mut self, out: &mut Vec<Effect>, from: usize) {
        let mut at = from;
        while at < out.len() {
            if let Effect::Look(_, _, id) = out[at] {
                if !self.leaves.contains(&id) {
                    self.core.handle(self.now, Input::Waits(id), out);
                }
            }
            at += 1;
        }
    }

    fn pass(&mut self, time: Time) -> Vec<Effect> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(at) = self.core.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            let from = out.len();
            self.core.wake(self.now, &mut out);
            self.look(&mut out, from);
        }
        self.now = end;
        self.out.extend(out.iter().cloned());
        out
    }

    /// A request whose set-up reached a node: the connection and the node's address.
    fn sent(&mut self, id: u64, class: u16) -> (LinkId, std::net::SocketAddr) {
        let out = self.tell(Input::Ask(ConnId(1), ask(id, class)));
        let (link, address) = dialled(&out).expect("a dial");
        let out = self.tell(Input::LinkUp(link));
        assert!(set_up(&out).is_some_and(|(l, i)| l == link && i == SessionId(id)), "{out:?}");
        (link, address)
    }

    /// A session set up over this connection.
    fn standing_on(&mut self, link: LinkId, id: u64) {
        assert_eq!(set_up(&self.tell(Input::Ask(ConnId(1), ask(id, 0)))), Some((link, SessionId(id))));
        self.tell(Input::Node(link, plays(id)));
    }

    fn standing(&mut self, id: u64) -> (LinkId, std::net::SocketAddr) {
        let sent = self.sent(id, 0);
        let out = self.tell(Input::Node(sent.0, plays(id)));
        assert!(out.contains(&Effect::Tell(
            ConnId(1),
            ToViewer::Plays(SessionId(id), Bytes::from_static(b"answer"))
        )));
        sent
    }
}

fn plays(id: u64) -> FromNode {
    FromNode::Plays(SessionId(id), Bytes::from_static(b"answer"))
}

fn dialled(out: &[Effect]) -> Option<(LinkId, std::net::SocketAddr)> {
    out.iter().find_map(|e| if let Effect::Dial(link, address) = e { Some((*link, *address)) } else { None })
}

fn set_up(out: &[Effect]) -> Option<(LinkId, SessionId)> {
    out.iter().find_map(|e| match e {
        Effect::Write(link, ToNode::SetUp { id, .. }) => Some((*link, *id)),
        _ => None,
    })
}

fn told(out: &[Effect], word: &ToViewer) -> bool {
    out.iter().any(|e| matches!(e, Effect::Tell(_, w) if w == word))
}

fn wrote(out: &[Effect], word: &ToNode) -> bool {
    out.iter().any(|e| matches!(e, Effect::Write(_, w) if w == word))
}

fn failed(id: u64) -> ToViewer {
    ToViewer::Failed(SessionId(id))
}

fn over(id: u64, cause: u16) -> ToViewer {
    ToViewer::Over(SessionId(id), 7, cause)
}

#[test]
fn a_second_copy_of_an_answer_and_one_under_an_unknown_id_harm_nothing() {
    let mut w = World::three();
    let (link, _) = w.standing(1);
    assert!(w.tell(Input::Node(link, plays(1))).is_empty());
    assert!(w.tell(Input::Node(link, plays(999))).is_empty());
    let out = w.tell(Input::Node(link, FromNode::Over(SessionId(1), Outcome::Served, Vec::new())));
    assert!(told(&out, &over(1, 16)) && wrote(&out, &ToNode::Heard(SessionId(1))), "{out:?}");
    let again = w.tell(Input::Node(link, FromNode::Over(SessionId(1), Outcome::Served, Vec::new())));
    assert!(!told(&again, &over(1, 16)), "an end that comes twice is told once");
}

#[test]
fn what_never_ran_is_sent_again_and_a_paid_set_up_that_broke_fails() {
    let mut w = World::three();
    let out = w.tell(Input::Ask(ConnId(1), ask(1, 1)));
    let (link, first) = dialled(&out).expect("a dial");
    let out = w.tell(Input::LinkFailed(link, DialEnd::Refused));
    let (link, second) = dialled(&out).expect("another node is dialled");
    assert_ne!(first, second);
    w.tell(Input::LinkUp(link));
    // Sent, then broken: it may have run. The node is dialled to learn whether it lives.
    let out = w.tell(Input::LinkDown(link));
    assert!(!told(&out, &failed(1)));
    let (check, at) = dialled(&out).expect("the node is dialled");
    assert_eq!(at, second);
    let out = w.tell(Input::LinkUp(check));
    assert!(told(&out, &failed(1)) && set_up(&out).is_none(), "{out:?}");
}

#[test]
fn an_answer_that_crosses_the_give_up_is_cut_and_reaches_no_viewer() {
    let mut w = World::three();
    let (link, _) = w.sent(1, 0);
    let out = w.tell(Input::End(ConnId(1), SessionId(1)));
    assert!(wrote(&out, &ToNode::GiveUp(SessionId(1), 7)) && told(&out, &ToViewer::Heard(SessionId(1))));
    let out = w.tell(Input::Node(link, plays(1)));
    assert_eq!(out, [Effect::Write(link, ToNode::Release(SessionId(1), 7, 31))]);
    assert_eq!((w.core.open(), w.core.standing()), (0, 0));
}

#[test]
fn a_further_attempt_waits_until_the_node_has_heard_of_the_give_up() {
    let mut w = World::three();
    let (link, _) = w.sent(1, 0);
    let out = w.pass(400 * MS);
    assert!(wrote(&out, &ToNode::GiveUp(SessionId(1), 7)), "half of the aim is over");
    assert!(dialled(&out).is_none() && set_up(&out).is_none());
    let out = w.tell(Input::Node(link, FromNode::Heard(SessionId(1))));
    assert!(dialled(&out).is_some(), "{out:?}");
}

#[test]
fn each_request_has_its_answer_at_its_deadline_whatever_nodes_do() {
    let mut w = World::three();
    w.sent(1, 1);
    let out = w.pass(3 * S - MS);
    assert!(!told(&out, &failed(1)), "the attempt has its whole time");
    let out = w.pass(5 * MS);
    assert!(told(&out, &failed(1)), "{out:?}");
    let out = w.pass(5 * S);
    assert!(!told(&out, &failed(1)) && w.core.open() == 0);
}

#[test]
fn a_node_that_drains_while_it_is_dialled_is_sent_nothing() {
    let mut w = World::new(&[node(1, State::Ready)]);
    let out = w.tell(Input::Ask(ConnId(1), ask(1, 0)));
    let (link, _) = dialled(&out).expect("a dial");
    w.tell(Input::Nodes(vec![node(1, State::Draining)]));
    let out = w.tell(Input::LinkUp(link));
    assert!(set_up(&out).is_none());
    assert!(told(&out, &ToViewer::Refused(SessionId(1), None)), "{out:?}");
}

#[test]
fn refused_dials_end_the_sessions_of_a_node_and_a_broken_connection_alone_does_not() {
    let mut w = World::three();
    let (link, at) = w.standing(1);
    let out = w.tell(Input::LinkDown(link));
    let (check, address) = dialled(&out).expect("the node is dialled");
    assert_eq!(address, at);
    let out = w.tell(Input::LinkUp(check));
    assert!(!told(&out, &over(1, 41)) && w.core.standing() == 1);
    let out = w.tell(Input::LinkDown(check));
    let (check, _) = dialled(&out).expect("the node is dialled");
    assert!(!told(&w.tell(Input::LinkFailed(check, DialEnd::Refused)), &over(1, 41)));
    let (check, _) = dialled(&w.pass(200 * MS)).expect("the node is dialled again");
    assert!(told(&w.tell(Input::LinkFailed(check, DialEnd::Refused)), &over(1, 41)));
}

/// On a churn day a connection to a dead node seemed to be up, and its sessions were never told to be over.
#[test]
fn a_connection_that_only_seems_to_be_up_does_not_speak_for_a_dead_node() {
    let mut w = World::three();
    let (link, _) = w.standing(1);
    let out = w.pass(6 * S);
    let (quiet, _) = dialled(&out).expect("a quiet node is dialled");
    w.tell(Input::LinkUp(quiet));
    let mut out = w.tell(Input::LinkDown(link));
    for _ in 0..6 {
        let (check, _) = dialled(&out).expect("the node is dialled");
        out = w.tell(Input::LinkFailed(check, DialEnd::Refused));
        if told(&out, &over(1, 41)) {
            return;
        }
        out = w.pass(150 * MS);
    }
    panic!("five refused dials show that the node is dead");
}

#[test]
fn a_machine_that_vanished_is_found_in_time_and_one_that_stalls_keeps_its_sessions() {
    for vanished in [true, false] {
        let mut w = World::three();
        w.standing(1);
        let (began, mut dials) = (w.now, Vec::new());
        while w.now < began + 8 * S && w.core.standing() > 0 {
            for e in w.pass(50 * MS) {
                if let Effect::Dial(link, _) = e {
                    dials.push((w.now, link));
                }
            }
            let now = w.now;
            let due: Vec<_> = dials.extract_if(.., |(at, _)| *at + 250 * MS <= now).collect();
            for (_, link) in due {
                let end =
                    if vanished { Input::LinkFailed(link, DialEnd::TimedOut) } else { Input::LinkUp(link) };
                w.tell(end);
            }
        }
        assert_eq!(told(&w.out, &over(1, 41)), vanished);
        assert_eq!(w.core.standing(), usize::from(!vanished));
        assert!(!vanished || w.now < began + 8 * S, "found after {} ms", (w.now - began) / MS);
    }
}

#[test]
fn a_node_that_is_listed_no_more_is_asked_and_its_sessions_end_if_it_says_nothing() {
    for answers in [true, false] {
        let mut w = World::three();
        w.core.probing = true;
        let (link, address) = w.standing(1);
        let rest = [1, 2, 3].map(|id| node(id, State::Ready));
        w.pass(100 * MS);
        w.tell(Input::Nodes(
            rest.into_iter().filter(|n| std::net::SocketAddr::from(n.address) != address).collect(),
        ));
        let out = w.pass(300 * MS);
        assert!(dialled(&out).is_none(), "its address may be another's");
        assert!(out.iter().any(|e| matches!(e, Effect::Write(l, ToNode::AskLoad(_)) if *l == link)));
        if answers {
            w.tell(Input::Node(link, FromNode::Other));
        }
        let out = w.pass(S);
        assert_eq!(told(&out, &over(1, 41)), !answers);
    }
}

/// Where settings forbid probes, a question for load as a sign of life is one too.
#[test]
fn where_probes_are_forbidden_no_node_is_asked_for_a_sign() {
    let asked = |out: &[Effect]| out.iter().any(|e| matches!(e, Effect::Write(_, ToNode::AskLoad(_))));
    let mut w = World::three();
    let (link, address) = w.standing(1);
    let rest = [1, 2, 3].map(|id| node(id, State::Ready));
    w.tell(Input::Nodes(rest.into_iter().filter(|n| SocketAddr::from(n.address) != address).collect()));
    w.pass(3 * S);
    assert_eq!(w.core.standing(), 1, "it may still play there");
    w.tell(Input::Node(link, FromNode::Other));
    w.pass(3 * S);
    assert_eq!(w.core.standing(), 1);
    w.pass(4 * S);
    assert!(told(&w.out, &over(1, 41)) && !asked(&w.out));

    // A node that takes no more connections refuses dials: its only idle one is shut, and its end is a sign.
    let mut w = World::three();
    let (link, _) = w.standing(1);
    let (dial, _) = dialled(&w.pass(6 * S)).expect("a quiet node is dialled");
    let out = w.tell(Input::LinkFailed(dial, DialEnd::Refused));
    assert!(out.contains(&Effect::Shut(link)), "{out:?}");
    let out = w.tell(Input::LinkShut(link));
    let (dial, _) = dialled(&out).or(dialled(&w.pass(200 * MS))).expect("its place is free again");
    w.tell(Input::LinkUp(dial));
    w.pass(S);
    assert!(w.core.standing() == 1 && !asked(&w.out));
}

/// Viewers' places at their most, those being ended, and nodes' connections together went past few descriptors.
#[test]
fn all_connections_together_stay_within_the_descriptors() {
    for descriptors in [32, 64, 100, 256, 1_024, 65_536] {
        let b = Bounds::for_descriptors(descriptors);
        let all = OWN + b.viewers * 9 / 8 + b.viewers / 16 + b.links;
        assert!(all <= descriptors, "{all} of {descriptors}");
        assert!(descriptors < 64 || b.viewers >= descriptors / 3, "the protocol's viewers have a third");
    }
}

/// 16,384 standing sessions with descriptions of 16 KiB would be over the memory that a front has.
#[test]
fn a_session_that_stands_keeps_no_description() {
    let mut w = World::three();
    w.standing(1);
    w.tell(Input::Ask(ConnId(1), Ask { at: Some(ServerId(2)), ..ask(2, 0) }));
    assert!(w.core.standing() == 2 && w.core.sessions.values().all(|s| s.ask.body.is_empty()));
}

#[test]
fn a_moved_session_is_left_to_its_node_and_cut_there_if_nothing_comes() {
    for heard in [true, false] {
        let mut w = World::three();
        let (link, _) = w.standing(1);
        let mut out = Vec::new();
        w.core.shift(w.now, SessionId(1), &mut out);
        assert_eq!(out, [Effect::Tell(ConnId(1), ToViewer::Move(SessionId(1), 7))]);
        if heard {
            let out = w.tell(Input::Node(link, FromNode::Over(SessionId(1), Outcome::Cancelled, Vec::new())));
            assert_eq!(out, [Effect::Write(link, ToNode::Heard(SessionId(1)))]);
        }
        let out = w.pass(500 * MS);
        assert_eq!(wrote(&out, &ToNode::Release(SessionId(1), 7, 31)), !heard);
        // On the long day sessions of a node that died were moved before its death was seen; the move is no release of
        // what was over already, and nobody told their viewers.
        assert_eq!(told(&out, &over(1, 31)), !heard);
        assert_eq!(w.core.standing(), 0);
    }
}

#[test]
fn nothing_of_an_old_life_counts_for_a_node_at_its_address() {
    let mut w = World::new(&[node(1, State::Ready)]);
    let (link, address) = w.standing(1);
    w.pass(10 * MS);
    let new = Entry { id: 4, started_ms: w.now / MS, ..node(1, State::Ready) };
    w.tell(Input::Nodes(vec![new]));
    let out = w.tell(Input::Ask(ConnId(1), ask(2, 0)));
    let (fresh, at) = dialled(&out).expect("a connection of its own");
    assert_eq!(at, address);
    assert!(set_up(&w.tell(Input::LinkUp(fresh))).is_some_and(|(l, _)| l == fresh));
    let out = w.tell(Input::Node(link, plays(2)));
    assert!(!out.iter().any(|e| matches!(e, Effect::Tell(..))), "an answer on the old life's connection");
    let out = w.tell(Input::LinkDown(link));
    assert!(told(&out, &over(1, 41)), "the old life's last connection went");
}

#[test]
fn a_node_that_started_anew_ends_what_is_older_than_its_start() {
    let mut w = World::new(&[node(1, State::Ready)]);
    w.standing(1);
    w.pass(S);
    let started_ms = w.now / MS;
    w.pass(100 * MS);
    let out = w.tell(Input::Nodes(vec![Entry { started_ms, ..node(1, State::Ready) }]));
    assert!(told(&out, &over(1, 41)), "{out:?}");
}

#[test]
fn sessions_of_a_start_are_taken_in_unanswered_and_once() {
    let mut w = World::three();
    let at = Ask { at: Some(ServerId(2)), ..ask(1, 0) };
    let out = w.tell(Input::Ask(ConnId(1), at.clone()));
    let (link, address) = dialled(&out).expect("a connection is kept");
    assert_eq!(address, node(2, State::Ready).address.into());
    assert!(w.tell(Input::Ask(ConnId(1), at)).is_empty());
    w.tell(Input::LinkUp(link));
    let out = w.tell(Input::Node(link, FromNode::Over(SessionId(1), Outcome::Served, Vec::new())));
    assert!(told(&out, &over(1, 16)));
    let unknown = Ask { at: Some(ServerId(9)), ..ask(2, 0) };
    assert!(w.tell(Input::Ask(ConnId(1), unknown)).is_empty(), "the list may be late");
    let out = w.pass(2 * S);
    assert!(told(&out, &over(2, 41)) && told(&out, &ToViewer::Unknown(SessionId(2))), "{out:?}");
}

#[test]
fn a_second_request_under_one_id_spoils_only_its_own_connection() {
    let mut w = World::three();
    w.tell(Input::Opened(ConnId(2), HERE));
    w.sent(1, 0);
    let out = w.tell(Input::Ask(ConnId(2), ask(1, 0)));
    assert_eq!(out, [Effect::Tell(ConnId(2), ToViewer::Conflict(SessionId(1))), Effect::Hang(ConnId(2))]);
    assert_eq!(w.core.open(), 1);
    let out = w.tell(Input::Ask(ConnId(1), ask(1, 0)));
    assert!(wrote(&out, &ToNode::GiveUp(SessionId(1), 7)) && out.contains(&Effect::Hang(ConnId(1))));
    assert_eq!(w.core.open(), 0);
}

#[test]
fn an_end_is_told_on_another_connection_of_the_viewers_side_or_as_soon_as_one_comes() {
    let mut w = World::three();
    let (link, _) = w.standing(1);
    w.tell(Input::Gone(ConnId(1)));
    assert_eq!(w.core.standing(), 1, "no connection owns a standing session");
    let out = w.tell(Input::Node(link, FromNode::Over(SessionId(1), Outcome::Served, Vec::new())));
    assert!(!told(&out, &over(1, 16)));
    w.tell(Input::Opened(ConnId(2), HERE));
    let out = w.tell(Input::Ask(ConnId(2), ask(2, 0)));
    assert!(out.contains(&Effect::Tell(ConnId(2), over(1, 16))), "{out:?}");
}

#[test]
fn open_set_ups_end_with_their_connection() {
    let mut w = World::three();
    w.sent(1, 0);
    let out = w.tell(Input::Gone(ConnId(1)));
    assert!(wrote(&out, &ToNode::GiveUp(SessionId(1), 7)));
    assert_eq!(w.core.open(), 0);
}

#[test]
fn a_crowd_of_silent_connections_gives_way_and_one_with_work_does_not() {
    let mut w = World::three();
    w.standing(1);
    (2..5).for_each(|c| drop(w.tell(Input::Opened(ConnId(c), HERE))));
    w.tell(Input::Ask(ConnId(2), ask(2, 0)));
    assert_eq!(w.core.may_give_way(), [vec![ConnId(3), ConnId(4)], vec![]]);
    assert_eq!(w.tell(Input::GiveWay(ConnId(3))), [Effect::Hang(ConnId(3))]);
    w.tell(Input::End(ConnId(4), SessionId(2)));
    w.tell(Input::Opened(ConnId(5), HERE));
    assert_eq!(
        w.core.may_give_way(),
        [vec![ConnId(5)], vec![ConnId(2), ConnId(4)]],
        "one that said something goes later"
    );
    for c in [5, 2, 4] {
        assert_eq!(w.tell(Input::GiveWay(ConnId(c))), [Effect::Hang(ConnId(c))]);
    }
    assert_eq!(w.core.may_give_way(), [vec![], vec![]]);
    assert!(w.tell(Input::GiveWay(ConnId(1))).is_empty(), "a session came on it");
    w.tell(Input::Opened(ConnId(6), HERE));
    w.tell(Input::Ask(ConnId(6), ask(6, 0)));
    assert_eq!(w.core.may_give_way(), [vec![], vec![]]);
    assert!(w.tell(Input::GiveWay(ConnId(6))).is_empty(), "a request is open on it");
}

#[test]
fn a_question_whose_connection_broke_is_asked_once_more() {
    let mut w = World::new(&[node(1, State::Ready)]);
    let mut out = Vec::new();
    w.core.probe(w.now, ServerId(1), &mut out);
    let (link, _) = dialled(&out).expect("a dial");
    assert!(matches!(w.tell(Input::LinkUp(link))[..], [Effect::Write(_, ToNode::AskLoad(_))]));
    let out = w.tell(Input::LinkDown(link));
    let (link, _) = dialled(&out).expect("another connection");
    assert!(w.tell(Input::LinkUp(link)).iter().any(|e| matches!(e, Effect::Write(_, ToNode::AskLoad(_)))));
    assert_eq!(w.core.probes.len(), 1);
    w.pass(300 * MS);
    assert!(w.core.probes.is_empty());
}

/// A question that broke off at a node that had just left the list was asked again at its address, another's by then.
#[test]
fn a_node_that_is_listed_no_more_is_dialled_for_nothing() {
    let mut w = World::new(&[node(1, State::Ready)]);
    let (link, _) = w.standing(1);
    let mut out = Vec::new();
    w.core.probe(w.now, ServerId(1), &mut out);
    assert!(matches!(out[..], [Effect::Write(l, ToNode::AskLoad(_))] if l == link), "{out:?}");
    w.tell(Input::Nodes(Vec::new()));
    let out = w.tell(Input::LinkDown(link));
    assert!(dialled(&out).is_none() && told(&out, &over(1, 41)), "{out:?}");
    assert!(w.core.probes.is_empty());
}

#[test]
fn maps_are_empty_again_after_many_short_lives() {
    let mut w = World::new(&[]);
    for round in 0..200u32 {
        let n = Entry { id: 100 + round, ..node(round % 3, State::Ready) };
        w.tell(Input::Nodes(vec![n]));
        let conn = ConnId(1_000 + u64::from(round));
        w.tell(Input::Opened(conn, HERE));
        let out = w.tell(Input::Ask(conn, ask(u64::from(round) + 1, 0)));
        if let Some((link, _)) = dialled(&out) {
            w.tell(Input::LinkUp(link));
            w.tell(Input::Node(link, plays(u64::from(round) + 1)));
        }
        w.tell(Input::Gone(conn));
        w.pass(S);
    }
    w.tell(Input::Nodes(Vec::new()));
    w.pass(30 * S);
    let c = &w.core;
    assert!(c.sessions.is_empty() && c.lives.is_empty() && c.links.is_empty() && c.probes.is_empty());
    assert!(c.ended.is_empty() && c.ended_order.is_empty() && c.untold.is_empty() && c.conns.len() == 1);
}
