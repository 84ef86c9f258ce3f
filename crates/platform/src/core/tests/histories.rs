//! Random histories of viewers, nodes and connections, checked by the checker; and tests of the checker with
//! planted violations.

use super::checker::Checker;
use super::*;
use proptest::prelude::*;

/// A harness whose inputs and effects all pass through the checker.
pub struct CheckedHarness {
    front: Harness,
    checker: Checker,
    dials: Vec<LinkId>,
    links: Vec<LinkId>,
    shut: Vec<LinkId>,
    sent: Vec<(LinkId, SessionId)>,
    pub next: u64,
    conn: u64,
    /// The specification of each request.
    specs: BTreeMap<SessionId, SessionSpec>,
    /// Requests on the current connection.
    requested: Vec<SessionId>,
    /// Connections that their viewers have closed without the core knowing.
    departed_conns: Vec<ConnId>,
    /// Settings and descriptors, to start the next process.
    settings_and_descriptors: (Value, usize),
    /// Departures, restarts and hand-overs so far.
    pub event_counts: [usize; 3],
    fault: Option<String>,
}

impl CheckedHarness {
    fn new() -> Self {
        Self::with_settings(&settings(), 256, vec![false, true])
    }

    /// A front under these settings with this number of descriptors; classes in `at_most_once` may be set up
    /// only once.
    pub fn with_settings(settings: &Value, descriptors: usize, at_most_once: Vec<bool>) -> Self {
        let nodes = [1, 2, 3].map(|id| node(id, State::Ready));
        let mut front = Harness::with_settings(settings, descriptors, &[]);
        let mut checker = Checker::new(at_most_once, settings);
        checker.input(START, &Input::ViewerConnected(ConnId(1), VIEWER_ADDRESS));
        front.out.clear();
        let mut checked = Self {
            front,
            checker,
            dials: Vec::new(),
            links: Vec::new(),
            shut: Vec::new(),
            sent: Vec::new(),
            next: 1,
            conn: 1,
            specs: BTreeMap::new(),
            requested: Vec::new(),
            departed_conns: Vec::new(),
            settings_and_descriptors: (settings.clone(), descriptors),
            event_counts: [0; 3],
            fault: None,
        };
        checked.handle(Input::NodeList(nodes.to_vec()));
        checked
    }

    fn take(&mut self, out: Vec<Effect>) {
        for e in out {
            if let Err(fault) = self.checker.effect(self.front.now, &e) {
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

    fn handle(&mut self, input: Input) {
        self.checker.input(self.front.now, &input);
        let out = self.front.handle(input);
        self.take(out);
    }

    pub fn set_up(&mut self, ask: SetUpRequest) {
        self.requested.push(ask.id);
        self.specs.insert(ask.id, ask.spec);
        self.handle(Input::SetUp(ConnId(self.conn), ask));
        self.next += 1;
    }

    /// The viewer closes the current connection. The core learns that only from a viewer check until it is
    /// reported.
    pub fn viewer_departs(&mut self) {
        self.checker.viewer_departs(ConnId(self.conn));
        self.front.departed.extend(std::mem::take(&mut self.requested));
        self.departed_conns.push(ConnId(self.conn));
        self.event_counts[0] += 1;
        self.conn += 1;
        self.handle(Input::ViewerConnected(ConnId(self.conn), VIEWER_ADDRESS));
    }

    /// Reports a closed connection to the core, in one step or two.
    pub fn report_departed(&mut self, which: usize) {
        if self.departed_conns.is_empty() {
            return;
        }
        let conn = self.departed_conns.remove(which % self.departed_conns.len());
        if which % 2 == 0 {
            self.handle(Input::ViewerHalfClosed(conn));
        }
        self.handle(Input::ViewerDisconnected(conn));
    }

    /// Kills the process and starts it without state; playing sessions are handed over to it.
    pub fn restart(&mut self) {
        let playing = self.checker.process_killed();
        let now = self.front.now;
        let (settings, descriptors) = self.settings_and_descriptors.clone();
        self.front = Harness::with_settings(&settings, descriptors, &[]);
        (self.front.now, self.conn) = (now, self.conn + 1);
        self.dials.clear();
        self.links.clear();
        self.shut.clear();
        self.sent.clear();
        self.requested.clear();
        self.departed_conns.clear();
        self.event_counts[1] += 1;
        self.handle(Input::NodeList([1, 2, 3].map(|id| node(id, State::Ready)).to_vec()));
        self.handle(Input::ViewerConnected(ConnId(self.conn), VIEWER_ADDRESS));
        for id in playing {
            // The node where it plays is not recorded here: this one reports nothing of it, or an end of its
            // own.
            let at = Some(ServerId(1 + (id.0 % 3) as u32));
            let spec = self.specs.get(&id).copied().unwrap_or(request(id.0, 0).spec);
            self.handle(Input::SetUp(
                ConnId(self.conn),
                SetUpRequest { playing_at: at, spec, ..request(id.0, 0) },
            ));
            self.event_counts[2] += 1;
        }
    }

    /// Ends the history: every viewer leaves, all timers expire, and no state may be left.
    pub fn check_all_released(&mut self) -> Result<(), String> {
        self.viewer_departs();
        while !self.departed_conns.is_empty() {
            self.report_departed(0);
        }
        let playing: Vec<_> = self.front.core.sessions.keys().copied().collect();
        playing.into_iter().for_each(|id| self.handle(Input::Release(ConnId(self.conn), id)));
        self.advance(120 * S);
        self.verdict()?;
        let c = &self.front.core;
        let held = [
            ("sessions", c.sessions.len()),
            ("ended", c.ended.len() + c.ended_order.len()),
            ("unsent ends", c.unsent_ends.len()),
            ("early ends", c.early_ends.len()),
            ("awaiting list", c.awaiting_list.len()),
            ("connections of viewers", c.conns.len().saturating_sub(2)),
            ("incarnations", c.incarnations.len().saturating_sub(3)),
            ("pending", c.pending.len()),
        ];
        match held.into_iter().find(|(_, n)| *n > 0) {
            Some((what, n)) => Err(format!("{n} {what} are held at the end")),
            None => Ok(()),
        }
    }

    /// The node of the latest set-up answers that the session plays.
    pub fn answer_latest_set_up(&mut self) {
        if let Some((link, id)) = self.sent.last().copied() {
            self.handle(Input::NodeMessage(link, session_started(id.0)));
        }
    }

    /// Set-ups, started sessions and refusals so far.
    pub fn counts(&self) -> [usize; 3] {
        self.checker.counts
    }

    /// The verdict on the history, after all deadlines have passed.
    pub fn verdict(&self) -> Result<(), String> {
        self.fault.clone().map_or(Ok(()), Err)?;
        self.checker.check_all_answered()?;
        if self.front.core.open_requests() == 0 {
            Ok(())
        } else {
            Err("a request was never answered".to_owned())
        }
    }

    pub fn advance(&mut self, time: Time) {
        // Runs the timers one by one, so that the checker sees each message at its time.
        let end = self.front.now + time;
        while let Some(at) = self.front.core.next_wake().filter(|at| *at <= end) {
            let out = self.front.advance(at.saturating_sub(self.front.now));
            self.take(out);
        }
        self.front.now = end;
    }

    pub fn step(&mut self, what: u8, which: usize) {
        let pick = |n: usize| if n == 0 { None } else { Some(which % n) };
        match what % 16 {
            0..=3 => {
                self.handle(Input::SetUp(ConnId(self.conn), request(self.next, u16::from(which % 2 == 1))));
                self.next += 1;
            }
            4 => self.handle(Input::Release(ConnId(self.conn), SessionId(1 + which as u64 % self.next))),
            5 if which % 4 == 0 => {
                self.handle(Input::ViewerDisconnected(ConnId(self.conn)));
                self.conn += 1;
                self.handle(Input::ViewerConnected(ConnId(self.conn), VIEWER_ADDRESS));
            }
            6..=8 => {
                if let Some(i) = pick(self.dials.len()) {
                    let link = self.dials.remove(i);
                    self.links.push(link);
                    self.handle(Input::LinkUp(link));
                }
            }
            9 => {
                if let Some(i) = pick(self.dials.len()) {
                    let outcome = [DialEnd::Refused, DialEnd::TimedOut, DialEnd::Failed][which % 3];
                    let link = self.dials.remove(i);
                    self.handle(Input::DialFailed(link, outcome));
                }
            }
            10 => {
                if let Some(i) = pick(self.links.len()) {
                    let link = self.links.remove(i);
                    let shut = self.shut.contains(&link) && which % 3 > 0;
                    self.handle(if shut { Input::LinkEndedByNode(link) } else { Input::LinkDown(link) });
                }
            }
            11 | 12 => {
                if let Some(i) = pick(self.sent.len()) {
                    let (link, id) = self.sent[i];
                    self.handle(Input::NodeMessage(link, session_started(id.0)));
                }
            }
            13 => {
                if let Some(i) = pick(self.sent.len()) {
                    let (link, id) = self.sent[i];
                    let outcome =
                        [Outcome::Full, Outcome::Error, Outcome::Unsent, Outcome::LinkBroken][which % 4];
                    self.handle(Input::NodeMessage(link, FromNode::SetUpFailed(id, outcome, vec![0.5, 0.5])));
                }
            }
            14 => {
                if let Some(i) = pick(self.sent.len()) {
                    let (link, id) = self.sent[i];
                    let outcome = [Outcome::Served, Outcome::Cancelled, Outcome::Broken][which % 3];
                    self.handle(Input::NodeMessage(link, FromNode::SessionEnded(id, outcome, Vec::new())));
                }
            }
            15 => {
                let state = |i: usize| if which >> i & 1 == 1 { State::Draining } else { State::Ready };
                let nodes = (0..3).filter(|i| which % 5 != *i);
                self.handle(Input::NodeList(nodes.map(|i| node(i as u32 + 1, state(i))).collect()));
            }
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn no_history_breaks_a_rule(
        steps in prop::collection::vec((any::<u8>(), 0usize..64, 0u64..400), 1..120),
        // 1, 2 and 96 places for connections to the three nodes.
        descriptors in prop::sample::select(vec![18, 22, 256]),
    ) {
        let mut checked = CheckedHarness::with_settings(&settings(), descriptors, vec![false, true]);
        for (what, which, ms) in steps {
            checked.step(what, which);
            checked.advance(ms * MS);
        }
        checked.advance(20 * S);
        prop_assert_eq!(checked.fault.clone(), None);
        prop_assert_eq!(checked.checker.check_all_answered(), Ok(()));
        prop_assert_eq!(checked.front.core.open_requests(), 0);
    }
}

/// A request whose set-up was sent to a node, and the checker that recorded it.
fn sent(class: u16) -> (CheckedHarness, LinkId) {
    let mut checked = CheckedHarness::new();
    checked.handle(Input::SetUp(ConnId(1), request(1, class)));
    let link = checked.dials[0];
    checked.handle(Input::LinkUp(link));
    assert!(checked.fault.is_none() && checked.sent == [(link, SessionId(1))]);
    (checked, link)
}

fn repeated_set_up(link: LinkId) -> Effect {
    let body = Bytes::new();
    Effect::SendToNode(
        link,
        ToNode::SetUp { id: SessionId(1), title: 7, class: 0, wait_ms: 1, rung: 0, body },
    )
}

#[test]
fn the_checker_finds_planted_violations() {
    let failed = Effect::SendToViewer(ConnId(1), ToViewer::Failed(SessionId(1)));
    let served =
        Effect::SendToViewer(ConnId(1), ToViewer::Started(SessionId(1), Bytes::from_static(b"made up")));
    let refused = Effect::SendToViewer(ConnId(1), ToViewer::Refused(SessionId(1), None));
    let fault = |checked: &mut CheckedHarness, e: &Effect| {
        checked.checker.effect(checked.front.now, e).expect_err("a violation")
    };

    let (mut checked, link) = sent(0);
    assert!(fault(&mut checked, &repeated_set_up(link)).contains("two attempts"));
    assert!(fault(&mut checked, &served).contains("no node sent"));
    assert!(checked.checker.check_all_answered().is_err(), "an answer is missing");
    assert!(fault(&mut checked, &Effect::HalfCloseLink(link)).contains("while an attempt is in flight"));
    assert_eq!(checked.checker.effect(checked.front.now, &failed), Ok(()));
    assert!(fault(&mut checked, &failed).contains("answered twice or after"));

    let (mut checked, link) = sent(1);
    assert!(fault(&mut checked, &refused).contains("refused"));
    checked.checker.input(
        checked.front.now,
        &Input::NodeMessage(link, FromNode::SetUpFailed(SessionId(1), Outcome::Error, Vec::new())),
    );
    assert!(fault(&mut checked, &repeated_set_up(link)).contains("at-most-once"));

    let (mut checked, link) = sent(0);
    checked.checker.input(
        checked.front.now,
        &Input::NodeMessage(link, FromNode::SetUpFailed(SessionId(1), Outcome::Full, Vec::new())),
    );
    checked.checker.input(checked.front.now, &Input::NodeList(vec![]));
    assert!(fault(&mut checked, &repeated_set_up(link)).contains("not ready"));
    assert!(
        checked.checker.effect(checked.front.now + 4 * S, &failed).expect_err("late").contains("too late")
    );
    let over = Effect::SendToViewer(ConnId(1), ToViewer::Ended(SessionId(1), 7, 16));
    assert!(fault(&mut checked, &over).contains("was not playing"));

    let full = Input::NodeMessage(link, FromNode::SetUpFailed(SessionId(1), Outcome::Full, Vec::new()));
    let (mut checked, _) = sent(0);
    checked.checker.input(checked.front.now, &full);
    checked.checker.viewer_departs(ConnId(1));
    assert!(
        fault(&mut checked, &repeated_set_up(link)).contains("nobody waits"),
        "it has closed, though the front does not know"
    );
    checked.checker.input(checked.front.now, &Input::NodeMessage(link, session_started(1)));
    checked.checker.input(checked.front.now, &Input::ViewerHalfClosed(ConnId(1)));
    assert!(
        checked.checker.check_all_answered().is_err_and(|e| e.contains("no answer")),
        "a viewer that reads on must get an answer"
    );
    let mut served = Checker::new(vec![false, true], &settings());
    served.input(START, &Input::ViewerConnected(ConnId(1), VIEWER_ADDRESS));
    served.input(START, &Input::SetUp(ConnId(1), request(1, 0)));
    served.input(START, &Input::ViewerHalfClosed(ConnId(1)));
    let plays_now =
        Effect::SendToViewer(ConnId(1), ToViewer::Started(SessionId(1), Bytes::from_static(b"answer")));
    assert!(served.effect(START, &plays_now).is_err_and(|e| e.contains("has left")));

    let (mut checked, link) = sent(0);
    checked.checker.input(checked.front.now, &Input::NodeMessage(link, session_started(1)));
    assert_eq!(checked.checker.effect(checked.front.now, &Effect::HalfCloseLink(link)), Ok(()));
    let message = Effect::SendToNode(link, ToNode::Acknowledge(SessionId(1)));
    assert!(fault(&mut checked, &message).contains("after it was half-closed"));
}

#[test]
fn the_checker_finds_exceeded_limits() {
    let set_up = |rung| {
        let body = Bytes::new();
        Effect::SendToNode(
            LinkId(1),
            ToNode::SetUp { id: SessionId(2), title: 7, class: 0, wait_ms: 1, rung, body },
        )
    };
    let check_limits = |v: &Value, rung: u8, sent: usize| {
        let mut checked = CheckedHarness::with_settings(v, 256, vec![false, true]);
        checked.handle(Input::SetUp(ConnId(1), request(1, 0)));
        let link = checked.dials[0];
        checked.handle(Input::LinkUp(link));
        checked.handle(Input::SetUp(ConnId(1), request(2, 0)));
        let Effect::SendToNode(_, message) = set_up(rung) else { unreachable!() };
        let mut last = Ok(());
        for _ in 0..sent {
            last = checked.checker.effect(checked.front.now, &Effect::SendToNode(link, message.clone()));
            let full = FromNode::SetUpFailed(SessionId(2), Outcome::Full, Vec::new());
            checked.checker.input(checked.front.now, &Input::NodeMessage(link, full));
        }
        last
    };
    let mut v = settings();
    assert_eq!(check_limits(&v, 1, 3), Ok(()));
    assert!(check_limits(&v, 2, 1).is_err_and(|e| e.contains("rung")));
    assert!(check_limits(&v, 1, 4).is_err_and(|e| e.contains("more attempts")));
    v["specifics"]["seats"] = json!([1, 0]);
    assert!(check_limits(&v, 1, 1).is_err_and(|e| e.contains("seat")));
    v = settings();
    (v["rules"]["extra_per_request"], v["rules"]["min_extra"]) = (json!(0.0), json!(0.0));
    assert!(check_limits(&v, 1, 3).is_err_and(|e| e.contains("retry budget")));
}
