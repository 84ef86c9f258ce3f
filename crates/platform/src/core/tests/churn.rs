//! Churn of hundreds of nodes: the state of the core and the controller returns to its initial size.

use super::*;
use std::net::SocketAddr;

/// The sizes of all collections that grow, by name.
fn sizes(front: &Harness) -> BTreeMap<&'static str, usize> {
    let c = &front.core;
    let (servers, _) = c.controller.view(front.now);
    let incarnations = || c.incarnations.values();
    BTreeMap::from([
        ("sessions", c.sessions.len()),
        ("open", c.open_requests),
        ("conns", c.conns.len()),
        ("open on conns", c.conns.values().map(|c| c.open_requests.len()).sum()),
        ("playing on conns", c.conns.values().map(|c| c.playing).sum()),
        ("incarnations", c.incarnations.len()),
        ("current", c.current.len()),
        ("links of incarnations", incarnations().map(|l| l.links.len()).sum()),
        ("playing at incarnations", incarnations().map(|l| l.playing.len()).sum()),
        ("links", c.links.len()),
        ("probes", c.probes.len()),
        ("ended", c.ended.len() + c.ended_order.len()),
        ("awaiting list", c.awaiting_list.len()),
        ("early ends", c.early_ends.len()),
        ("unsent ends", c.unsent_ends.len()),
        ("pending", c.pending.len()),
        ("controller servers", servers.len()),
        ("controller sessions", servers.iter().map(|s| s.sessions).sum()),
    ])
}

/// A few addresses whose nodes are replaced at random, a fifth at a time: a node drains or vanishes, another
/// one takes its address, or the same id restarts. Viewers, hand-overs and faults go on meanwhile.
struct Churn {
    front: Harness,
    listed: Vec<Entry>,
    /// The process that each connection leads to, by id and start.
    processes: BTreeMap<LinkId, (u32, u64)>,
    next: u32,
    id: u64,
    conn: u64,
    draw: u64,
}

impl Churn {
    fn draw(&mut self, of: u64) -> u64 {
        self.draw = self.draw.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.draw >> 33) % of
    }

    fn replace(&mut self) {
        for at in 0..self.listed.len() {
            let started_ms = self.front.now / MS;
            let new = self.listed[at];
            self.listed[at] = match self.draw(20) {
                // Another node at the same address.
                0 | 1 => Entry { id: self.next, started_ms, state: State::Ready, ..new },
                // The same id, restarted.
                2 => Entry { started_ms, state: State::Ready, ..new },
                // Another node at another address; the first one vanishes.
                3 => {
                    let last = 20 + self.draw(40) as u8;
                    let address = SocketAddrV4::new(Ipv4Addr::new(127, 1, 0, last), 2905);
                    let taken = self.listed.iter().any(|e| e.address == address);
                    let address = if taken { new.address } else { address };
                    Entry { id: self.next, started_ms, state: State::Ready, address, ..new }
                }
                4 => Entry { state: State::Draining, ..new },
                _ => new,
            };
            self.next += u32::from(self.listed[at].id == self.next);
        }
        let listed = self.listed.clone();
        self.front.handle(Input::NodeList(listed));
    }

    /// Whether the process that a connection leads to still runs.
    fn runs(&self, link: LinkId) -> bool {
        let end = self.processes.get(&link);
        end.is_some_and(|(id, started)| self.listed.iter().any(|e| (e.id, e.started_ms) == (*id, *started)))
    }

    /// Reactions of nodes and connections to these effects, at random.
    fn answer(&mut self, out: Vec<Effect>) {
        let mut todo: VecDeque<Effect> = out.into();
        while let Some(e) = todo.pop_front() {
            let what = self.draw(20);
            if let Effect::Dial(link, address) = &e {
                let there = self.listed.iter().find(|n| SocketAddr::from(n.address) == *address);
                match there {
                    Some(n) => drop(self.processes.insert(*link, (n.id, n.started_ms))),
                    None => {
                        todo.extend(self.front.handle(Input::DialFailed(*link, DialEnd::Refused)));
                        continue;
                    }
                }
            }
            let input = match e {
                // A process that has ended is silent, or its connection is reset.
                Effect::SendToNode(link, _) | Effect::HalfCloseLink(link) if !self.runs(link) => match what {
                    0..10 => Input::LinkDown(link),
                    _ => continue,
                },
                Effect::Dial(link, _) => match what {
                    0 => Input::DialFailed(link, DialEnd::Refused),
                    1 => Input::DialFailed(link, DialEnd::TimedOut),
                    2 => Input::DialFailed(link, DialEnd::Failed),
                    3 => continue,
                    _ => Input::LinkUp(link),
                },
                Effect::SendToNode(link, ToNode::SetUp { id, .. }) => match what {
                    0 => Input::NodeMessage(link, FromNode::SetUpFailed(id, Outcome::Full, Vec::new())),
                    1 => Input::NodeMessage(link, FromNode::SetUpFailed(id, Outcome::Error, vec![0.5, 0.5])),
                    2 => Input::LinkDown(link),
                    3 => continue,
                    _ => Input::NodeMessage(link, session_started(id.0)),
                },
                Effect::SendToNode(link, ToNode::QueryLoad(id)) if what > 1 => {
                    Input::NodeMessage(link, FromNode::LoadReport(id, Some(vec![0.3, 0.3])))
                }
                Effect::HalfCloseLink(link) if what > 2 => Input::LinkEndedByNode(link),
                _ => continue,
            };
            todo.extend(self.front.handle(input));
        }
    }

    fn round(&mut self) {
        for _ in 0..4 {
            self.id += 1;
            let id = self.id;
            if self.draw(3) == 0 {
                self.conn += 1;
                self.front.handle(Input::ViewerConnected(ConnId(self.conn), VIEWER_ADDRESS));
            }
            let conn = ConnId(self.conn);
            let asked = request(id, (id % 2) as u16);
            let at = self.draw(self.listed.len() as u64) as usize;
            let some = self.listed[at].id;
            let out = match self.draw(10) {
                0 => self
                    .front
                    .handle(Input::SetUp(conn, SetUpRequest { playing_at: Some(ServerId(some)), ..asked })),
                1 => self.front.handle(Input::SetUp(
                    conn,
                    SetUpRequest { playing_at: Some(ServerId(9_999_999)), ..asked },
                )),
                2 => {
                    let out = self.front.handle(Input::SetUp(conn, asked));
                    self.answer(out);
                    self.front.handle(Input::Release(conn, SessionId(id)))
                }
                3 => {
                    let gone = self.front.handle(Input::ViewerDisconnected(conn));
                    self.conn += 1;
                    self.front.handle(Input::ViewerConnected(ConnId(self.conn), VIEWER_ADDRESS));
                    gone
                }
                _ => self.front.handle(Input::SetUp(conn, asked)),
            };
            self.answer(out);
        }
        // Sessions end; nodes also report ends of unknown sessions.
        let links: Vec<_> =
            self.front.core.links.iter().filter(|(_, l)| l.is_up()).map(|(id, _)| *id).collect();
        for link in links.into_iter().filter(|l| self.runs(*l)).collect::<Vec<_>>() {
            let id = 1 + self.draw(self.id);
            let outcome = [Outcome::Served, Outcome::Cancelled, Outcome::Broken][self.draw(3) as usize];
            let out = self
                .front
                .handle(Input::NodeMessage(link, FromNode::SessionEnded(SessionId(id), outcome, Vec::new())));
            self.answer(out);
        }
        let out = self.front.advance(200 * MS);
        self.answer(out);
    }
}

#[test]
fn state_returns_to_its_initial_size_after_churn_of_hundreds_of_nodes() {
    for seed in [1, 2, 3] {
        let first: Vec<_> = (1..11).map(|id| node(id, State::Ready)).collect();
        let front = Harness::new(&first);
        let before = sizes(&front);
        let mut c = Churn {
            front,
            listed: first.clone(),
            processes: BTreeMap::new(),
            next: 100,
            id: 0,
            conn: 1,
            draw: seed,
        };
        let mut most = 0;
        for round in 0..800 {
            if round % 3 == 0 {
                c.replace();
            }
            c.round();
            c.front.out.clear();
            most = most.max(c.front.core.incarnations.len());
        }
        assert!(c.next > 400, "{} ids were used", c.next);
        assert!(most <= 60, "{most} incarnations were held at a time");
        // Load stops: viewers disconnect, nodes end their sessions, and time passes.
        let conns: Vec<_> = c.front.core.conns.keys().copied().filter(|conn| conn.0 != 1).collect();
        conns.into_iter().for_each(|conn| drop(c.front.handle(Input::ViewerDisconnected(conn))));
        // The initial ten nodes, restarted.
        let started_ms = c.front.now / MS;
        c.listed = first.iter().map(|e| Entry { started_ms, ..*e }).collect();
        let listed = c.listed.clone();
        c.front.handle(Input::NodeList(listed));
        for _ in 0..400 {
            let out = c.front.advance(100 * MS);
            c.answer(out);
            for (id, e) in c.front.core.sessions.iter().map(|(id, s)| (*id, s.request.id)).collect::<Vec<_>>()
            {
                assert_eq!(id, e);
                c.front.handle(Input::Release(ConnId(1), id));
            }
        }
        assert_eq!(sizes(&c.front), before, "seed {seed}");
        let timers = std::iter::from_fn(|| c.front.core.timers.pop_due(Time::MAX)).count();
        // The timers of the sweep and of the controller.
        assert!(timers <= 4, "{timers} timers are left");
        let known: BTreeSet<SocketAddr> =
            c.front.core.incarnations.values().map(|l| l.address.into()).collect();
        assert_eq!(known.len(), 10);
    }
}
