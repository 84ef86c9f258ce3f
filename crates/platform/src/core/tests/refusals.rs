//! Many nodes of which a fifth refuse connections: who is found dead, when, and at what cost.

use super::*;
use std::collections::HashMap;

const NODES: u32 = 3_200;
/// Enough descriptors for a connection to each node and the dials beside it.
const DESCRIPTORS: usize = 20_000;
/// Time of a message to a node and back.
const ROUND_TRIP: Time = 2 * MS;
const STEP: Time = 25 * MS;
/// Connections that each check of a node may take, at most.
const MAX_DIALS: usize = 16;

/// One node in five closes its connections and refuses others.
fn refuses(id: u32) -> bool {
    id % 5 == 0
}

fn entry(id: u32) -> Entry {
    let [_, _, high, low] = id.to_be_bytes();
    Entry { address: SocketAddrV4::new(Ipv4Addr::new(127, 2, high, low), 2905), ..node(id, State::Ready) }
}

/// The nodes, each with one session of the front.
struct Fleet {
    front: Harness,
    ids: HashMap<SocketAddr, u32>,
    links: HashMap<LinkId, u32>,
    due: Vec<(Time, Input)>,
    /// Number of dials of each node since they began to refuse.
    dials: HashMap<u32, usize>,
    are_refusing: bool,
}

impl Fleet {
    fn new() -> Self {
        let entries: Vec<_> = (1..=NODES).map(entry).collect();
        let front = Harness::with_settings(&settings(), DESCRIPTORS, &entries);
        let ids = entries.iter().map(|e| (SocketAddr::from(e.address), e.id)).collect();
        let (links, dials) = (HashMap::new(), HashMap::new());
        let mut fleet = Self { front, ids, links, due: Vec::new(), dials, are_refusing: false };
        for id in 1..=NODES {
            let handed_over = SetUpRequest { playing_at: Some(ServerId(id)), ..request(u64::from(id), 0) };
            let out = fleet.front.handle(Input::SetUp(ConnId(1), handed_over));
            fleet.take(out);
        }
        fleet
    }

    fn take(&mut self, out: Vec<Effect>) {
        let at = self.front.now + ROUND_TRIP;
        for effect in out {
            match effect {
                Effect::Dial(link, address) => {
                    let id = self.ids[&address];
                    if self.are_refusing {
                        *self.dials.entry(id).or_default() += 1;
                    }
                    if self.are_refusing && refuses(id) {
                        self.due.push((at, Input::DialFailed(link, DialEnd::Refused)));
                    } else {
                        self.links.insert(link, id);
                        self.due.push((at, Input::LinkUp(link)));
                    }
                }
                Effect::HalfCloseLink(link) if self.links.contains_key(&link) => {
                    self.due.push((at, Input::LinkEndedByNode(link)));
                }
                Effect::CloseLink(link) => drop(self.links.remove(&link)),
                _ => {}
            }
        }
    }

    fn advance(&mut self, time: Time) {
        let end = self.front.now + time;
        while self.front.now < end {
            let out = self.front.advance(STEP);
            self.take(out);
            let now = self.front.now;
            let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, input) in due {
                let out = self.front.handle(input);
                self.take(out);
            }
        }
    }

    fn begin_refusing(&mut self) {
        self.are_refusing = true;
        let closed: Vec<_> =
            self.links.iter().filter(|(_, id)| refuses(**id)).map(|(link, _)| *link).collect();
        for link in closed {
            self.links.remove(&link);
            let out = self.front.handle(Input::LinkEndedByNode(link));
            self.take(out);
        }
    }

    /// Numbers of sessions whose ends the viewer was told of.
    fn ended(&self) -> BTreeSet<u64> {
        let effects = self.front.out.iter();
        effects
            .filter_map(|e| match e {
                Effect::SendToViewer(_, ToViewer::Ended(id, ..)) => Some(id.0),
                _ => None,
            })
            .collect()
    }
}

/// Guards against sessions that are lost with a node at its limit of connections, and against a check of many nodes at once
/// that takes too long or too many connections.
#[test]
fn of_very_many_nodes_those_that_refuse_for_good_are_found_dead_in_time_and_no_other() {
    let mut fleet = Fleet::new();
    fleet.advance(S);
    assert_eq!(fleet.front.core.playing_sessions(), NODES as usize);
    fleet.begin_refusing();
    fleet.advance(7 * S);
    assert_eq!(fleet.ended(), BTreeSet::new(), "sessions of nodes that may live have ended");
    fleet.advance(S);
    let refusing: BTreeSet<u64> = (1..=NODES).filter(|id| refuses(*id)).map(u64::from).collect();
    assert_eq!(fleet.ended(), refusing);
    let most = |is_refusing: bool| {
        let dials = fleet.dials.iter().filter(|(id, _)| refuses(**id) == is_refusing);
        dials.map(|(_, n)| *n).max().unwrap_or(0)
    };
    println!("{NODES} nodes: at most {} dials of one that refuses, {} of another", most(true), most(false));
    assert!(most(true) <= MAX_DIALS && most(false) <= 2, "{} and {} dials", most(true), most(false));
}

/// The same nodes come back before that: nothing has ended, and nothing is released there.
#[test]
fn of_very_many_nodes_that_refuse_for_a_while_none_loses_a_session() {
    let mut fleet = Fleet::new();
    fleet.advance(S);
    fleet.begin_refusing();
    fleet.advance(6 * S);
    fleet.are_refusing = false;
    fleet.advance(3 * S);
    assert_eq!(fleet.ended(), BTreeSet::new());
    assert_eq!(fleet.front.core.playing_sessions(), NODES as usize);
    let released = |e: &Effect| matches!(e, Effect::SendToNode(_, ToNode::Release(..)));
    assert!(!fleet.front.out.iter().any(released));
}
