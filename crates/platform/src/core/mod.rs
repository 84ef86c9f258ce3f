//! The core: one state machine around the decision module, without I/O.
//!
//! [`Input`]s go in with the time, [`Effect`]s come out. It decides nothing of placement, rungs, moves, repeats and
//! refusals: that is the [`Controller`]'s. Its own are the accounts: one answer a request (`requests`), one attempt out
//! at a time (`attempts`), connections to nodes (`links`), and what shows that a node lives (`lives`).

mod attempts;
mod links;
mod lives;
mod requests;
mod standing;
#[cfg(test)]
mod tests;
mod types;

use links::Link;
use lives::Life;
use pepperhook::{Action, Controller, Event, ServerId, SessionId, Settings, SettingsError, Time};
use pepperhook_net::Timers;
use pepperhook_parameters::SocketSettings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
pub use types::*;

/// One millisecond.
const MS: Time = 1_000_000;
/// Time between two looks at what grows old.
const SWEEP: Time = 200 * MS;
/// The core's own answer comes so long after the deadline at which the module gives its own.
const BACKSTOP: Time = 2 * MS;
/// Ids of requests and sessions that ended are remembered so long, so that what crosses their end is understood.
const REMEMBERED: Time = 10_000 * MS;
/// What is over must be told within so long of its end, where its node cannot say so (the protocol's rule on releases).
const TOLD_WITHIN: Time = 8_000 * MS;

/// Descriptors of the process's own: standard streams, the runtime's poll, wake and signal ends, the listener, the change
/// log with one connection that ends while the next comes up, and the configuration when it is read again.
const OWN: usize = 16;

/// Bounds of what the core holds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests without an answer.
    pub open: usize,
    /// Requests without an answer on one connection.
    pub open_each: usize,
    /// Requests and standing sessions together.
    pub sessions: usize,
    /// Connections of viewers.
    pub viewers: usize,
    /// Connections to nodes.
    pub links: usize,
    /// Ended ids that are remembered.
    pub remembered: usize,
}

impl Bounds {
    /// Bounds that fit a limit on descriptors. After what the process needs for itself, viewers have half, an eighth
    /// more while one gives way to another and a sixteenth for those being ended in order; nodes have two fifths. In
    /// sum that is under the whole. The protocol's viewers hold a third.
    #[must_use]
    pub fn for_descriptors(descriptors: usize) -> Self {
        let left = descriptors.saturating_sub(OWN);
        Self {
            open: 1_024,
            open_each: 256,
            sessions: 16_384,
            viewers: (left / 2).max(1),
            links: (left * 2 / 5).max(1),
            remembered: 4_096,
        }
    }
}

/// What is due at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    /// A timer of the module.
    Module(u64),
    /// The time of a session's attempt of this number is up.
    AttemptTime(SessionId, u32),
    /// The node was heard out long enough on a set-up that was given up.
    AttemptClosed(SessionId, u32),
    /// The last moment at which a request can be answered in time.
    Backstop(SessionId),
    /// A moved session should have ended at its node.
    Moved(SessionId),
    /// A question for load has no answer.
    ProbeTime(ProbeId),
    /// A node in doubt is dialled again.
    Doubt(LifeId),
    /// A connection that is being ended in order has waited long enough for its node.
    Shut(LinkId),
    /// A session that was handed over is still at no node that the list names.
    Handed(SessionId),
    /// A look at what grows old.
    Sweep,
}

/// A request, and the session that comes of it.
struct Session {
    ask: Ask,
    conn: ConnId,
    peer: IpAddr,
    rung: u8,
    attempts: u32,
    phase: Phase,
}

enum Phase {
    /// Without an answer; the attempt that is out.
    Open(Option<attempts::Attempt>),
    /// It stands at a node since then, or since it was handed over.
    Standing(LifeId, Time),
}

/// A viewer's connection.
struct Conn {
    peer: IpAddr,
    /// It has carried a message that could be used.
    good: bool,
    /// Its viewer has closed its side: nothing is begun for it any more.
    left: bool,
    open: BTreeSet<SessionId>,
    /// Standing sessions that came on it.
    carries: usize,
}

impl Conn {
    /// It has no open request, and no session came on it whose end is to be told there.
    fn is_spare(&self) -> bool {
        self.open.is_empty() && self.carries == 0
    }
}

/// An ended id.
struct Ended {
    at: Time,
    title: u64,
    /// Its set-up was given up: a late answer to it is cut.
    cut: bool,
}

/// The state machine of one front end.
pub struct Core {
    controller: Controller,
    bounds: Bounds,
    /// Nodes may be asked for their load.
    probing: bool,
    sockets: SocketSettings,
    sessions: BTreeMap<SessionId, Session>,
    open: usize,
    conns: BTreeMap<ConnId, Conn>,
    lives: BTreeMap<LifeId, Life>,
    current: BTreeMap<ServerId, LifeId>,
    links: BTreeMap<LinkId, Link>,
    probes: BTreeMap<ProbeId, links::Probe>,
    ended: BTreeMap<SessionId, Ended>,
    ended_order: VecDeque<SessionId>,
    /// Sessions that were handed over with a node that the list does not name yet.
    unplaced: BTreeMap<SessionId, standing::Unplaced>,
    /// Ends that nodes told of sessions that nobody has handed over yet.
    early: BTreeMap<SessionId, standing::Early>,
    /// Ends that no connection could take yet.
    untold: VecDeque<standing::Untold>,
    timers: Timers<Wake>,
    pending: VecDeque<Event>,
    next: u64,
    /// The front is about to end.
    closing: bool,
}

impl Core {
    /// A core without nodes.
    ///
    /// # Errors
    /// When the settings do not agree with one another.
    pub fn new(
        settings: Settings,
        sockets: SocketSettings,
        bounds: Bounds,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let mut timers = Timers::default();
        timers.set(0, Wake::Sweep);
        let probing = settings.probes;
        Ok(Self {
            controller: Controller::new(settings, seed)?,
            bounds,
            probing,
            sockets,
            sessions: BTreeMap::new(),
            open: 0,
            conns: BTreeMap::new(),
            lives: BTreeMap::new(),
            current: BTreeMap::new(),
            links: BTreeMap::new(),
            probes: BTreeMap::new(),
            ended: BTreeMap::new(),
            ended_order: VecDeque::new(),
            unplaced: BTreeMap::new(),
            early: BTreeMap::new(),
            untold: VecDeque::new(),
            timers,
            pending: VecDeque::new(),
            // Numbers of two runs differ, so that nothing late of one is taken for the other's.
            next: seed >> 16,
            closing: false,
        })
    }

    /// Takes in one input and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Opened(conn, peer) => {
                let new = Conn { peer, good: false, left: false, open: BTreeSet::new(), carries: 0 };
                self.conns.insert(conn, new);
            }
            Input::Ask(conn, ask) => self.ask(now, conn, ask, out),
            Input::End(conn, id) => self.end(now, conn, id, out),
            Input::Left(conn) => self.left(now, conn, out),
            Input::Gone(conn) => self.gone(now, conn, out),
            Input::Waits(id) => self.send_set_up(now, id, out),
            Input::Blocked(id) => self.blocked(now, id, out),
            Input::GiveWay(conn) => self.give_way(conn, out),
            Input::LinkUp(link) => self.link_up(now, link, out),
            Input::LinkFailed(link, how) => self.link_failed(now, link, how, out),
            Input::LinkDown(link) => self.link_down(now, link, out),
            Input::LinkShut(link) => self.link_shut(now, link, out),
            Input::Node(link, said) => self.node(now, link, said, out),
            Input::Nodes(entries) => {
                self.nodes(now, &entries, out);
                self.place_handed(now, out);
            }
            Input::Closing => self.closing = true,
            Input::Last => self.answer_all(now, out),
        }
        self.run(now, out);
    }

    /// The moment of the next timer.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next_at()
    }

    /// Runs what is due.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(wake) = self.timers.pop_due(now) {
            match wake {
                Wake::Module(token) => self.pending.push_back(Event::Timer(token)),
                Wake::AttemptTime(id, number) => self.attempt_time(now, id, number, out),
                Wake::AttemptClosed(id, number) => self.attempt_closed(id, number),
                Wake::Backstop(id) => self.backstop(now, id, out),
                Wake::Moved(id) => self.moved_time(now, id, out),
                Wake::ProbeTime(id) => self.probe_time(now, id, out),
                Wake::Doubt(life) => self.doubt_again(now, life, out),
                Wake::Shut(link) => self.shut_unanswered(now, link, out),
                Wake::Handed(id) => self.handed_time(now, id, out),
                Wake::Sweep => self.sweep(now, out),
            }
            self.run(now, out);
        }
    }

    /// Requests without an answer.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether nobody waits for anything: no request is open, and no release waits for a connection to its node.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.open == 0 && self.links.values().all(Link::owes_nothing)
    }

    /// Sessions that stand.
    #[must_use]
    pub fn standing(&self) -> usize {
        self.sessions.len() - self.open
    }

    /// Hands the module what has happened, until nothing more follows.
    fn run(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::SetUp(id, server, wait) => self.set_up(now, id, server, wait, out),
            Action::SetRung(id, rung) => self.set_rung(now, id, rung, out),
            Action::Refuse(id, advice) => self.answer(now, id, ToViewer::Refused(id, advice), out),
            Action::Fail(id) => self.answer(now, id, ToViewer::Failed(id), out),
            Action::Move(id) => self.shift(now, id, out),
            Action::Probe(server) => self.probe(now, server, out),
            // The platform's change log comes unasked.
            Action::WatchList => {}
            Action::SetTimer(after, token) => self.at(now.saturating_add(after), Wake::Module(token)),
            Action::Log(line) => out.push(Effect::Log("decision", line)),
        }
    }

    fn at(&mut self, at: Time, wake: Wake) {
        self.timers.set(at, wake);
    }

    /// The title of a session that is held.
    fn title(&self, id: SessionId) -> u64 {
        self.sessions.get(&id).map_or(0, |s| s.ask.wish.title.0)
    }

    fn number(&mut self) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.at(now + SWEEP, Wake::Sweep);
        self.sweep_links(now, out);
        self.sweep_lives(now, out);
        self.sweep_untold(now, out);
        self.early.retain(|_, e| e.at + REMEMBERED > now);
        while self.ended_order.front().is_some_and(|id| {
            self.ended_order.len() > self.bounds.remembered
                || self.ended.get(id).is_none_or(|e| e.at + REMEMBERED < now)
        }) {
            if let Some(id) = self.ended_order.pop_front() {
                self.ended.remove(&id);
            }
        }
    }

    /// Remembers an ended id.
    fn remember(&mut self, now: Time, id: SessionId, title: u64, cut: bool) {
        if self.ended.insert(id, Ended { at: now, title, cut }).is_none() {
            self.ended_order.push_back(id);
        }
    }
}
