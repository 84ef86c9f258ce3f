//! The liveness checks of nodes with playing sessions, against a scripted node: their cost, and false
//! positives and detection times by kind of fault. `cargo test -p pepperhook-platform watch -- --nocapture`
//! prints the table of `docs/platform.md`.

use super::*;

/// Time of a message to the node, or back.
const ONE_WAY: Time = 2 * MS;
/// Timeout of a dial to a silent machine, as in the settings of these tests.
const DIAL_TIMEOUT: Time = 250 * MS;

/// The fault of the node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// The process dies: connections are reset, dials refused.
    Reset,
    /// The machine vanishes: open connections are silent, dials time out.
    Silence,
    /// The process stalls for this time: the operating system still accepts connections, nothing is read or
    /// closed.
    Stall(Time),
    /// The process accepts no new connection; open ones go on.
    Deaf,
    /// The process closes its connections, which are idle, and is at its limit of connections for this time.
    Full(Time),
    /// The network drops everything for this time, then all goes on.
    CutOff(Time),
}

/// A node with one session, and the core of the front.
struct WatchScenario {
    front: Harness,
    fault: Fault,
    began: Time,
    links: Vec<LinkId>,
    /// Half-closed by the front, not yet closed by the node.
    half_closed: Vec<LinkId>,
    due: Vec<(Time, Input)>,
    dials: usize,
    load_queries: usize,
}

impl WatchScenario {
    fn new(seed: u64) -> Self {
        let mut front = Harness::with_three_nodes();
        front.core.probing = true;
        // Varies the draw of the times at which the node is checked.
        front.core.next_number = seed << 20;
        let (link, _) = front.playing(1);
        let (began, links) = (front.now, vec![link]);
        let (half_closed, due) = (Vec::new(), Vec::new());
        Self { front, fault: Fault::Nothing, began, links, half_closed, due, dials: 0, load_queries: 0 }
    }

    fn responds(&self) -> bool {
        match self.fault {
            Fault::Nothing | Fault::Deaf => true,
            Fault::Stall(d) | Fault::CutOff(d) | Fault::Full(d) => self.front.now >= self.began + d,
            Fault::Reset | Fault::Silence => false,
        }
    }

    fn is_reachable(&self) -> bool {
        self.responds() || matches!(self.fault, Fault::Stall(_))
    }

    fn begin(&mut self, fault: Fault) {
        (self.fault, self.began) = (fault, self.front.now);
        if fault == Fault::Reset {
            let links = std::mem::take(&mut self.links);
            self.due.extend(links.into_iter().map(|l| (self.began + ONE_WAY, Input::LinkReset(l))));
            self.half_closed.clear();
        }
        if matches!(fault, Fault::Full(_)) {
            let links = std::mem::take(&mut self.links);
            self.due.extend(links.into_iter().map(|l| (self.began + ONE_WAY, Input::LinkEndedByNode(l))));
            self.half_closed.clear();
        }
    }

    fn take(&mut self, out: Vec<Effect>) {
        let now = self.front.now;
        for e in out {
            match e {
                Effect::Dial(link, _) => {
                    self.dials += 1;
                    let is_full = matches!(self.fault, Fault::Full(_)) && !self.responds();
                    let refused = is_full || matches!(self.fault, Fault::Reset | Fault::Deaf);
                    self.due.push(if refused {
                        (now + 2 * ONE_WAY, Input::DialFailed(link, DialEnd::Refused))
                    } else if self.is_reachable() {
                        (now + 2 * ONE_WAY, Input::LinkUp(link))
                    } else {
                        (now + DIAL_TIMEOUT, Input::DialFailed(link, DialEnd::TimedOut))
                    });
                }
                Effect::HalfCloseLink(link) => self.half_closed.push(link),
                Effect::CloseLink(link) => {
                    self.links.retain(|l| *l != link);
                    self.half_closed.retain(|l| *l != link);
                }
                Effect::SendToNode(link, ToNode::QueryLoad(id)) => {
                    self.load_queries += 1;
                    if self.responds() {
                        self.due.push((
                            now + 2 * ONE_WAY,
                            Input::NodeMessage(link, FromNode::LoadReport(id, None)),
                        ));
                    }
                }
                _ => {}
            }
        }
        if self.responds() {
            for link in std::mem::take(&mut self.half_closed) {
                self.links.retain(|l| *l != link);
                self.due.push((now + 2 * ONE_WAY, Input::LinkEndedByNode(link)));
            }
        }
    }

    /// Lets time pass in small steps; returns whether the session still plays.
    fn advance(&mut self, time: Time) -> bool {
        let end = self.front.now + time;
        while self.front.now < end {
            let out = self.front.advance(MS);
            self.take(out);
            let now = self.front.now;
            let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, input) in due {
                if let Input::LinkUp(link) = input {
                    self.links.push(link);
                }
                let out = self.front.handle(input);
                self.take(out);
            }
        }
        self.front.core.playing_sessions() == 1
    }
}

/// For many moments at which the fault begins: how often the node was found dead, the number of runs, and the
/// longest time to detection.
fn detections(fault: Fault) -> (usize, usize, Time) {
    let (mut dead, mut slowest, runs) = (0, 0, 40);
    for seed in 1..=runs {
        let mut scenario = WatchScenario::new(seed as u64);
        assert!(scenario.advance(5 * S + 337 * MS * seed as Time), "a living node keeps its session");
        scenario.begin(fault);
        let began = scenario.front.now;
        while scenario.front.now < began + 12 * S && scenario.advance(10 * MS) {}
        if scenario.front.core.playing_sessions() == 0 {
            dead += 1;
            slowest = slowest.max(scenario.front.now - began);
        }
    }
    (dead, runs, slowest)
}

#[test]
fn a_silent_living_node_costs_a_connection_in_about_ten_seconds_and_no_load_query() {
    let mut scenario = WatchScenario::new(3);
    assert!(scenario.advance(120 * S));
    // Each connection gives two signs of life, so one lasts for about two intervals of five seconds.
    assert!((8..=15).contains(&scenario.dials), "{} dials in two minutes", scenario.dials);
    assert_eq!(scenario.load_queries, 0);
}

#[test]
fn false_positives_and_detection_times_by_kind_of_fault() {
    let faults = [
        Fault::Reset,
        Fault::Silence,
        Fault::Stall(200 * MS),
        Fault::Stall(S),
        Fault::Stall(5 * S),
        Fault::Deaf,
        Fault::Full(S),
        Fault::Full(7 * S),
        Fault::Full(10 * S),
        Fault::CutOff(S),
        Fault::CutOff(6 * S),
    ];
    for fault in faults {
        let (dead, runs, slowest) = detections(fault);
        println!("{fault:?}: found dead in {dead} of {runs}, at most {} ms after it began", slowest / MS);
        match fault {
            // The protocol's rule: the viewer is notified within 8 s of the end.
            Fault::Reset | Fault::Silence => assert!(dead == runs && slowest < 8 * S),
            // Nothing tells it from a process that ended in order, whose viewers must be told by then.
            Fault::Full(d) if d >= 8 * S => assert_eq!(dead, runs),
            Fault::CutOff(d) if d < 2 * S => assert_eq!(dead, 0),
            // A node out of reach for that long cannot be told from one that has vanished.
            Fault::CutOff(_) => assert!(dead < runs),
            _ => assert_eq!(dead, 0, "a living node was found dead"),
        }
    }
}

#[test]
fn a_set_up_prefers_a_connection_that_carried_one_to_a_newer_one() {
    let mut front = Harness::new(&[node(1, State::Ready)]);
    let (link, _) = front.playing(1);
    let (newer, _) = first_dial(&front.advance(6 * S)).expect("a silent node is dialled");
    front.handle(Input::LinkUp(newer));
    let out = front.handle(Input::SetUp(ConnId(1), request(2, 0)));
    assert_eq!(first_set_up(&out), Some((link, SessionId(2))));
}

#[test]
fn closing_a_half_closed_connection_raises_no_suspicion_and_a_reset_does() {
    for reset in [false, true] {
        let mut front = Harness::new(&[node(1, State::Ready)]);
        front.playing(1);
        let (newer, _) = first_dial(&front.advance(6 * S)).expect("a silent node is dialled");
        front.handle(Input::LinkUp(newer));
        let shut = |e: &Effect| if let Effect::HalfCloseLink(link) = e { Some(*link) } else { None };
        let link = (0..60)
            .find_map(|_| front.advance(100 * MS).iter().find_map(shut))
            .expect("the older one is half-closed");
        let out = front.handle(if reset { Input::LinkDown(link) } else { Input::LinkEndedByNode(link) });
        assert_eq!(first_dial(&out).is_some(), reset);
        assert_eq!(front.core.playing_sessions(), 1);
    }
}
