//! Random histories of viewers, nodes and connections, judged by the checker; and the checker, judged by violations.

use super::checker::Checker;
use super::*;
use proptest::prelude::*;

/// A world whose every word passes the checker.
pub struct Judged {
    world: World,
    checker: Checker,
    dials: Vec<LinkId>,
    links: Vec<LinkId>,
    shut: Vec<LinkId>,
    sent: Vec<(LinkId, SessionId)>,
    pub next: u64,
    conn: u64,
    /// What each asked for.
    wishes: BTreeMap<SessionId, SessionSpec>,
    /// Asked on the connection that is in use.
    asked: Vec<SessionId>,
    /// Connections that their viewers have closed, of which the core has not heard.
    away: Vec<ConnId>,
    /// Settings and descriptors, for the next process.
    given: (Value, usize),
    /// Departures, restarts and hand-overs so far.
    pub ends: [usize; 3],
    fault: Option<String>,
}

impl Judged {
    fn new() -> Self {
        Self::of(&settings(), 256, vec![false, true])
    }

    /// A front under these settings, with so many descriptors; `paid` classes may never be set up twice.
    pub fn of(settings: &Value, descriptors: usize, paid: Vec<bool>) -> Self {
        let nodes = [1, 2, 3].map(|id| node(id, State::Ready));
        let mut world = World::of(settings, descriptors, &[]);
        let mut checker = Checker::new(paid, settings);
        checker.input(T0, &Input::ViewerConnected(ConnId(1), HERE));
        world.out.clear();
        let mut j = Self {
            world,
            checker,
            dials: Vec::new(),
            links: Vec::new(),
            shut: Vec::new(),
            sent: Vec::new(),
            next: 1,
            conn: 1,
            wishes: BTreeMap::new(),
            asked: Vec::new(),
            away: Vec::new(),
            given: (settings.clone(), descriptors),
            ends: [0; 3],
            fault: None,
        };
        j.tell(Input::NodeList(nodes.to_vec()));
        j
    }

    fn take(&mut self, out: Vec<Effect>) {
        for e in out {
            if let Err(fault) = self.checker.effect(self.world.now, &e) {
                self.fault.get_or_insert(fault);
            }
            match e {
                Effect::Dial(link, _) => self.dials.push(link),
                Effect::SendToNode(link, ToNode::SetUp { id, .. }) => self.sent.push((link, id)),
                Effect::CloseLink(link) => {
                    self.dials.retain(|l| *l != link);
                    self.links.retain(|l| *l != link);
                    self.shut.retain(|l| *l != link);
                }
                Effect::HalfCloseLink(link) => self.shut.push(link),
                _ => {}
            }
        }
    }

    fn tell(&mut self, input: Input) {
        self.checker.input(self.world.now, &input);
        let out = self.world.tell(input);
        self.take(out);
    }

    pub fn ask(&mut self, ask: SetUpRequest) {
        self.asked.push(ask.id);
        self.wishes.insert(ask.id, ask.spec);
        self.tell(Input::SetUp(ConnId(self.conn), ask));
        self.next += 1;
    }

    /// The viewer closes the connection in use; the core finds that by a look alone, until it is told.
    pub fn departs(&mut self) {
        self.checker.departs(ConnId(self.conn));
        self.world.leaves.extend(std::mem::take(&mut self.asked));
        self.away.push(ConnId(self.conn));
        self.ends[0] += 1;
        self.conn += 1;
        self.tell(Input::ViewerConnected(ConnId(self.conn), HERE));
    }

    /// The core hears of a connection that was closed, in one step or two.
    pub fn notices(&mut self, which: usize) {
        if self.away.is_empty() {
            return;
        }
        let conn = self.away.remove(which % self.away.len());
        if which % 2 == 0 {
            self.tell(Input::ViewerHalfClosed(conn));
        }
        self.tell(Input::ViewerDisconnected(conn));
    }

    /// The process is killed and comes up again from nothing; some of what stands is handed over to it.
    pub fn restarts(&mut self) {
        let stands = self.checker.killed();
        let now = self.world.now;
        let (settings, descriptors) = self.given.clone();
        self.world = World::of(&settings, descriptors, &[]);
        (self.world.now, self.conn) = (now, self.conn + 1);
        self.dials.clear();
        self.links.clear();
        self.shut.clear();
        self.sent.clear();
        self.asked.clear();
        self.away.clear();
        self.ends[1] += 1;
        self.tell(Input::NodeList([1, 2, 3].map(|id| node(id, State::Ready)).to_vec()));
        self.tell(Input::ViewerConnected(ConnId(self.conn), HERE));
        for id in stands {
            // Where it plays is not kept here: its node says nothing of it, or its own end.
            let at = Some(ServerId(1 + (id.0 % 3) as u32));
            let spec = self.wishes.get(&id).copied().unwrap_or(ask(id.0, 0).spec);
            self.tell(Input::SetUp(ConnId(self.conn), SetUpRequest { playing_at: at, spec, ..ask(id.0, 0) }));
            self.ends[2] += 1;
        }
    }

    /// The end of a history: every viewer goes, every time passes, and nothing is owed or held.
    pub fn ends_whole(&mut self) -> Result<(), String> {
        self.departs();
        while !self.away.is_empty() {
            self.notices(0);
        }
        let standing: Vec<_> = self.world.core.sessions.keys().copied().collect();
        standing.into_iter().for_each(|id| self.tell(Input::Release(ConnId(self.conn), id)));
        self.pass(120 * S);
        self.verdict()?;
        let c = &self.world.core;
        let held = [
            ("sessions", c.sessions.len()),
            ("ended", c.ended.len() + c.ended_order.len()),
            ("untold", c.unsent_ends.len()),
            ("early", c.early_ends.len()),
            ("unplaced", c.awaiting_list.len()),
            ("connections of viewers", c.conns.len().saturating_sub(2)),
            ("lives", c.incarnations.len().saturating_sub(3)),
            ("pending", c.pending.len()),
        ];
        match held.into_iter().find(|(_, n)| *n > 0) {
            Some((what, n)) => Err(format!("{n} {what} are held at the end")),
            None => Ok(()),
        }
    }

    /// The node of the latest set-up says that it plays.
    pub fn latest_plays(&mut self) {
        if let Some((link, id)) = self.sent.last().copied() {
            self.tell(Input::NodeMessage(link, plays(id.0)));
        }
    }

    /// Set-ups, answers that play and refusals.
    pub fn seen(&self) -> [usize; 3] {
        self.checker.seen
    }

    /// What the checker has against the history, once every time is up.
    pub fn verdict(&self) -> Result<(), String> {
        self.fault.clone().map_or(Ok(()), Err)?;
        self.checker.end()?;
        if self.world.core.open_requests() == 0 {
            Ok(())
        } else {
            Err("a request is open for ever".to_owned())
        }
    }

    pub fn pass(&mut self, time: Time) {
        // Timers run one by one, so that the checker sees each word at its time.
        let end = self.world.now + time;
        while let Some(at) = self.world.core.next_wake().filter(|at| *at <= end) {
            let out = self.world.pass(at.saturating_sub(self.world.now));
            self.take(out);
        }
        self.world.now = end;
    }

    pub fn step(&mut self, what: u8, which: usize) {
        let pick = |n: usize| if n == 0 { None } else { Some(which % n) };
        match what % 16 {
            0..=3 => {
                self.tell(Input::SetUp(ConnId(self.conn), ask(self.next, u16::from(which % 2 == 1))));
                self.next += 1;
            }
            4 => self.tell(Input::Release(ConnId(self.conn), SessionId(1 + which as u64 % self.next))),
            5 if which % 4 == 0 => {
                self.tell(Input::ViewerDisconnected(ConnId(self.conn)));
                self.conn += 1;
                self.tell(Input::ViewerConnected(ConnId(self.conn), HERE));
            }
            6..=8 => {
                if let Some(i) = pick(self.dials.len()) {
                    let link = self.dials.remove(i);
                    self.links.push(link);
                    self.tell(Input::LinkUp(link));
                }
            }
            9 => {
                if let Some(i) = pick(self.dials.len()) {
                    let how = [DialEnd::Refused, DialEnd::TimedOut, DialEnd::Failed][which % 3];
                    let link = self.dials.remove(i);
                    self.tell(Input::DialFailed(link, how));
                }
            }
            10 => {
                if let Some(i) = pick(self.links.len()) {
                    let link = self.links.remove(i);
                    let shut = self.shut.contains(&link) && which % 3 > 0;
                    self.tell(if shut { Input::LinkEndedByNode(link) } else { Input::LinkDown(link) });
                }
            }
            11 | 12 => {
                if let Some(i) = pick(self.sent.len()) {
                    let (link, id) = self.sent[i];
                    self.tell(Input::NodeMessage(link, plays(id.0)));
                }
            }
            13 => {
                if let Some(i) = pick(self.sent.len()) {
                    let (link, id) = self.sent[i];
                    let how =
                        [Outcome::Full, Outcome::Error, Outcome::Unsent, Outcome::LinkBroken][which % 4];
                    self.tell(Input::NodeMessage(link, FromNode::SetUpFailed(id, how, vec![0.5, 0.5])));
                }
            }
            14 => {
                if let Some(i) = pick(self.sent.len()) {
                    let (link, id) = self.sent[i];
                    let how = [Outcome::Served, Outcome::Cancelled, Outcome::Broken][which % 3];
                    self.tell(Input::NodeMessage(link, FromNode::SessionEnded(id, how, Vec::new())));
                }
            }
            15 => {
                let state = |i: usize| if which >> i & 1 == 1 { State::Draining } else { State::Ready };
                let nodes = (0..3).filter(|i| which % 5 != *i);
                self.tell(Input::NodeList(nodes.map(|i| node(i as u32 + 1, state(i))).collect()));
            }
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn no_history_breaks_an_account(
        steps in prop::collection::vec((any::<u8>(), 0usize..64, 0u64..400), 1..120)
    ) {
        let mut j = Judged::new();
        for (what, which, ms) in steps {
            j.step(what, which);
            j.pass(ms * MS);
        }
        j.pass(20 * S);
        prop_assert_eq!(j.fault.clone(), None);
        prop_assert_eq!(j.checker.end(), Ok(()));
        prop_assert_eq!(j.world.core.open_requests(), 0);
    }
}

/// A request that was sent to a node, and the checker that saw it.
fn sent(class: u16) -> (Judged, LinkId) {
    let mut j = Judged::new();
    j.tell(Input::SetUp(ConnId(1), ask(1, class)));
    let link = j.dials[0];
    j.tell(Input::LinkUp(link));
    assert!(j.fault.is_none() && j.sent == [(link, SessionId(1))]);
    (j, link)
}

fn again(link: LinkId) -> Effect {
    let body = Bytes::new();
    Effect::SendToNode(
        link,
        ToNode::SetUp { id: SessionId(1), title: 7, class: 0, wait_ms: 1, rung: 0, body },
    )
}

#[test]
fn the_checker_sees_violations_that_are_planted() {
    let failed = Effect::SendToViewer(ConnId(1), ToViewer::Failed(SessionId(1)));
    let served =
        Effect::SendToViewer(ConnId(1), ToViewer::Started(SessionId(1), Bytes::from_static(b"made up")));
    let refused = Effect::SendToViewer(ConnId(1), ToViewer::Refused(SessionId(1), None));
    let fault = |j: &mut Judged, e: &Effect| j.checker.effect(j.world.now, e).expect_err("a violation");

    let (mut j, link) = sent(0);
    assert!(fault(&mut j, &again(link)).contains("two attempts"));
    assert!(fault(&mut j, &served).contains("no node made"));
    assert!(j.checker.end().is_err(), "an answer is owed");
    assert!(fault(&mut j, &Effect::HalfCloseLink(link)).contains("under an attempt"));
    assert_eq!(j.checker.effect(j.world.now, &failed), Ok(()));
    assert!(fault(&mut j, &failed).contains("nothing is owed"));

    let (mut j, link) = sent(1);
    assert!(fault(&mut j, &refused).contains("refused"));
    j.checker.input(
        j.world.now,
        &Input::NodeMessage(link, FromNode::SetUpFailed(SessionId(1), Outcome::Error, Vec::new())),
    );
    assert!(fault(&mut j, &again(link)).contains("paid"));

    let (mut j, link) = sent(0);
    j.checker.input(
        j.world.now,
        &Input::NodeMessage(link, FromNode::SetUpFailed(SessionId(1), Outcome::Full, Vec::new())),
    );
    j.checker.input(j.world.now, &Input::NodeList(vec![]));
    assert!(fault(&mut j, &again(link)).contains("not ready"));
    assert!(j.checker.effect(j.world.now + 4 * S, &failed).expect_err("late").contains("too late"));
    let over = Effect::SendToViewer(ConnId(1), ToViewer::Ended(SessionId(1), 7, 16));
    assert!(fault(&mut j, &over).contains("did not stand"));

    let full = Input::NodeMessage(link, FromNode::SetUpFailed(SessionId(1), Outcome::Full, Vec::new()));
    let (mut j, _) = sent(0);
    j.checker.input(j.world.now, &full);
    j.checker.departs(ConnId(1));
    assert!(fault(&mut j, &again(link)).contains("nobody waits"), "it has closed, though nobody was told");
    j.checker.input(j.world.now, &Input::NodeMessage(link, plays(1)));
    j.checker.input(j.world.now, &Input::ViewerHalfClosed(ConnId(1)));
    assert!(j.checker.end().is_err_and(|e| e.contains("no answer")), "whoever reads on is owed the end");
    let mut served = Checker::new(vec![false, true], &settings());
    served.input(T0, &Input::ViewerConnected(ConnId(1), HERE));
    served.input(T0, &Input::SetUp(ConnId(1), ask(1, 0)));
    served.input(T0, &Input::ViewerHalfClosed(ConnId(1)));
    let plays_now =
        Effect::SendToViewer(ConnId(1), ToViewer::Started(SessionId(1), Bytes::from_static(b"answer")));
    assert!(served.effect(T0, &plays_now).is_err_and(|e| e.contains("has left")));

    let (mut j, link) = sent(0);
    j.checker.input(j.world.now, &Input::NodeMessage(link, plays(1)));
    assert_eq!(j.checker.effect(j.world.now, &Effect::HalfCloseLink(link)), Ok(()));
    let word = Effect::SendToNode(link, ToNode::Acknowledge(SessionId(1)));
    assert!(fault(&mut j, &word).contains("after it was shut"));
}

#[test]
fn the_checker_sees_terms_that_are_broken() {
    let set_up = |rung| {
        let body = Bytes::new();
        Effect::SendToNode(
            LinkId(1),
            ToNode::SetUp { id: SessionId(2), title: 7, class: 0, wait_ms: 1, rung, body },
        )
    };
    let judge = |v: &Value, rung: u8, sent: usize| {
        let mut j = Judged::of(v, 256, vec![false, true]);
        j.tell(Input::SetUp(ConnId(1), ask(1, 0)));
        let link = j.dials[0];
        j.tell(Input::LinkUp(link));
        j.tell(Input::SetUp(ConnId(1), ask(2, 0)));
        let Effect::SendToNode(_, word) = set_up(rung) else { unreachable!() };
        let mut last = Ok(());
        for _ in 0..sent {
            last = j.checker.effect(j.world.now, &Effect::SendToNode(link, word.clone()));
            let full = FromNode::SetUpFailed(SessionId(2), Outcome::Full, Vec::new());
            j.checker.input(j.world.now, &Input::NodeMessage(link, full));
        }
        last
    };
    let mut v = settings();
    assert_eq!(judge(&v, 1, 3), Ok(()));
    assert!(judge(&v, 2, 1).is_err_and(|e| e.contains("rung")));
    assert!(judge(&v, 1, 4).is_err_and(|e| e.contains("more attempts")));
    v["specifics"]["seats"] = json!([1, 0]);
    assert!(judge(&v, 1, 1).is_err_and(|e| e.contains("seat")));
    v = settings();
    (v["rules"]["extra_per_request"], v["rules"]["min_extra"]) = (json!(0.0), json!(0.0));
    assert!(judge(&v, 1, 3).is_err_and(|e| e.contains("ration")));
}
