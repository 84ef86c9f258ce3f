//! The watch over nodes while all places for connections are taken, against scripted nodes.

use super::*;

/// Time of a message to a node and its answer.
const ROUND_TRIP: Time = 2 * MS;
/// Timeout of a dial to a silent machine, as in the settings of these tests.
const DIAL_TIMEOUT: Time = 250 * MS;
/// Interval of the notes that a node with an open connection sends.
const NOTE_INTERVAL: Time = 2_500 * MS;
/// Interval of new requests.
const REQUEST_INTERVAL: Time = 40 * MS;

/// Nodes, of which some vanish, and a front with fewer places for connections than there are nodes.
struct Fleet {
    front: Harness,
    nodes: u32,
    /// Node of each connection that is dialled or open.
    links: BTreeMap<LinkId, SocketAddr>,
    due: Vec<(Time, LinkId, Input)>,
    vanished: BTreeSet<SocketAddr>,
    /// Node of each session that plays.
    playing: BTreeMap<u64, SocketAddr>,
    /// Sessions that are over: when they ended, and when their viewer was notified.
    over: BTreeMap<u64, (Time, Option<Time>)>,
    next_request: u64,
}

impl Fleet {
    fn new(nodes: u32, descriptors: usize) -> Self {
        let list: Vec<_> = (1..=nodes).map(|id| node(id, State::Ready)).collect();
        let front = Harness::with_settings(&settings(), descriptors, &list);
        let (links, due, vanished) = (BTreeMap::new(), Vec::new(), BTreeSet::new());
        let (playing, over) = (BTreeMap::new(), BTreeMap::new());
        Self { front, nodes, links, due, vanished, playing, over, next_request: 1 }
    }

    fn input(&mut self, input: Input) {
        let out = self.front.handle(input);
        self.take(out);
    }

    fn answer(&mut self, after: Time, link: LinkId, input: Input) {
        self.due.push((self.front.now + after, link, input));
    }

    fn take(&mut self, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Dial(link, address) => {
                    self.links.insert(link, address);
                    assert!(self.links.len() <= self.front.core.bounds.links, "more connections than places");
                    self.answer(ROUND_TRIP, link, Input::LinkUp(link));
                }
                Effect::HalfCloseLink(link) => self.answer(ROUND_TRIP, link, Input::LinkEndedByNode(link)),
                Effect::CloseLink(link) => drop(self.links.remove(&link)),
                Effect::SendToNode(link, ToNode::SetUp { id, .. }) => {
                    self.answer(ROUND_TRIP, link, Input::NodeMessage(link, session_started(id.0)));
                }
                Effect::SendToViewer(_, ToViewer::Ended(id, ..)) => {
                    let (_, notified) =
                        self.over.get_mut(&id.0).expect("a session was released that plays on");
                    notified.get_or_insert(self.front.now);
                }
                _ => {}
            }
        }
    }

    /// Delivers what is due. Vanished nodes answer nothing, and dials to them time out.
    fn deliver(&mut self) {
        let now = self.front.now;
        let due: Vec<_> = self.due.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, link, input) in due {
            let Some(address) = self.links.get(&link).copied() else { continue };
            let is_silent = self.vanished.contains(&address);
            match input {
                Input::LinkUp(_) if is_silent => {
                    self.answer(DIAL_TIMEOUT - ROUND_TRIP, link, Input::DialFailed(link, DialEnd::TimedOut));
                    continue;
                }
                Input::NodeMessage(_, FromNode::Started(id, _)) if !is_silent => {
                    self.playing.insert(id.0, address);
                }
                Input::DialFailed(..) => drop(self.links.remove(&link)),
                Input::LinkEndedByNode(_) if !is_silent => drop(self.links.remove(&link)),
                _ if is_silent => continue,
                _ => {}
            }
            let is_up = matches!(input, Input::LinkUp(_));
            self.input(input);
            if is_up {
                self.report_ends(link, address);
            }
        }
    }

    /// A node reports on a new connection the ends that it could not report before.
    fn report_ends(&mut self, link: LinkId, address: SocketAddr) {
        let is_unreported = |id: &u64| self.over.get(id).is_some_and(|(_, notified)| notified.is_none());
        let here = self.playing.iter().filter(|(id, at)| **at == address && is_unreported(id));
        for id in here.map(|(id, _)| SessionId(*id)).collect::<Vec<_>>() {
            self.input(Input::NodeMessage(link, FromNode::SessionEnded(id, Outcome::Served, Vec::new())));
        }
    }

    /// Lets time pass, in which requests come.
    fn advance(&mut self, time: Time) {
        let end = self.front.now + time;
        while self.front.now < end {
            let out = self.front.advance(MS);
            self.take(out);
            self.deliver();
            if self.front.now % REQUEST_INTERVAL == 0 {
                let id = self.next_request;
                self.next_request += 1;
                self.input(Input::SetUp(ConnId(1), request(id, (id % 2) as u16)));
            }
            if self.front.now % NOTE_INTERVAL == 0 {
                let open = self.links.iter().filter(|(_, at)| !self.vanished.contains(at));
                for link in open.map(|(link, _)| *link).collect::<Vec<_>>() {
                    self.input(Input::NodeMessage(link, FromNode::Other));
                }
            }
        }
    }

    fn vanish(&mut self, address: SocketAddr) {
        self.vanished.insert(address);
        let lost = self.playing.iter().filter(|(_, at)| **at == address);
        self.over.extend(lost.map(|(id, _)| (*id, (self.front.now, None))));
    }

    fn hand_over(&mut self, id: u64, server: u32) {
        self.playing.insert(id, node(server, State::Ready).address.into());
        let handed_over = SetUpRequest { playing_at: Some(ServerId(server)), ..request(id, 0) };
        self.input(Input::SetUp(ConnId(1), handed_over));
    }

    #[track_caller]
    fn assert_all_notified_in_time(&self) {
        assert!(!self.over.is_empty(), "no session has ended");
        for (id, (ended_at, notified)) in &self.over {
            let after = notified.map(|at| (at - ended_at) / MS);
            assert!(after.is_some_and(|ms| ms <= 8_000), "session {id}: notified after {after:?} ms");
        }
    }
}

/// Guards against sessions of a vanished node that are never released: each place held the last connection to a
/// node with sessions, so that no dial could show the death.
#[test]
fn vanished_nodes_are_found_dead_while_each_place_holds_the_last_connection_to_a_node() {
    for (nodes, descriptors, vanishing) in [(6, 26, 1), (6, 26, 4), (30, 66, 6)] {
        for delay in [0, 130, 777, 1_900] {
            let mut fleet = Fleet::new(nodes, descriptors);
            fleet.advance(6 * S + delay * MS);
            let used: BTreeSet<_> = fleet.playing.values().copied().collect();
            assert_eq!(used.len(), fleet.front.core.bounds.links, "not each place is taken");
            used.into_iter().take(vanishing).for_each(|address| fleet.vanish(address));
            fleet.advance(8 * S);
            fleet.assert_all_notified_in_time();
        }
    }
}

/// Guards against ends that nobody hears of: sessions handed over play at more nodes than there are places, and
/// nodes without a connection were never dialled.
#[test]
fn ends_are_reported_in_time_if_sessions_play_at_more_nodes_than_there_are_places() {
    for delay in [0, 777, 3_100] {
        let mut fleet = Fleet::new(12, 26);
        (1..=fleet.nodes).for_each(|id| fleet.hand_over(u64::from(1_000 + id), id));
        fleet.advance(20 * S + delay * MS);
        for id in [1_002, 1_011] {
            fleet.over.insert(id, (fleet.front.now, None));
            let address = fleet.playing[&id];
            let link = fleet.links.iter().find(|(_, at)| **at == address).map(|(link, _)| *link);
            link.into_iter().for_each(|link| fleet.report_ends(link, address));
        }
        fleet.vanish(node(5, State::Ready).address.into());
        fleet.vanish(node(12, State::Ready).address.into());
        fleet.advance(8 * S);
        fleet.assert_all_notified_in_time();
    }
}

/// Guards against sessions that play on after their viewers ended them: a release was dropped if its node had no
/// connection and there was no place for one.
#[test]
fn a_release_reaches_its_node_although_there_was_no_place_for_a_connection() {
    let mut fleet = Fleet::new(12, 26);
    (1..=fleet.nodes).for_each(|id| fleet.hand_over(u64::from(1_000 + id), id));
    fleet.advance(S);
    let connected: BTreeSet<_> = fleet.links.values().copied().collect();
    let unconnected = fleet.playing.iter().filter(|(_, address)| !connected.contains(address));
    let released: Vec<_> = unconnected.map(|(id, _)| SessionId(*id)).collect();
    assert!(!released.is_empty(), "there is a place for each node");
    released.iter().for_each(|id| fleet.input(Input::Release(ConnId(1), *id)));
    let is_pending = !fleet.front.core.has_no_pending_work();
    fleet.advance(6 * S);
    for id in released {
        let release = ToNode::Release(id, 7, 31);
        assert!(sent_to_node(&fleet.front.out, &release), "{id:?} was not released at its node");
    }
    assert!(
        is_pending && fleet.front.core.has_no_pending_work(),
        "an exit would not have waited, or too long"
    );
}
