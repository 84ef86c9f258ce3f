//! The core: one state machine around the decision module, without I/O.
//!
//! [`Input`]s go in with the time, [`Effect`]s come out. It decides nothing of placement, rungs, moves, repeats and
//! refusals: that is the [`Controller`]'s. Its own are the accounts: one answer a request (`requests`), one attempt out
//! at a time (`attempts`), connections to nodes (`links`), and what shows that a node lives (`lives`).

mod attempts;
mod links;
mod liveness;
mod playing;
mod requests;
#[cfg(test)]
mod tests;
mod types;

use links::Link;
use liveness::Incarnation;
use pepperhook::{Action, Controller, Event, ServerId, SessionId, Settings, SettingsError, Time};
use pepperhook_net::Timers;
use pepperhook_parameters::Sockets;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
pub use types::*;

/// One millisecond.
const MS: Time = 1_000_000;
/// Time between two looks at what grows old.
const SWEEP_INTERVAL: Time = 200 * MS;
/// The core's own answer comes so long after the deadline at which the module gives its own.
const FALLBACK_ANSWER_DELAY: Time = 2 * MS;
/// Ids of requests and sessions that ended are remembered so long, so that what crosses their end is understood.
const ENDED_RETENTION: Time = 10_000 * MS;
/// What is over must be told within so long of its end, where its node cannot say so (the protocol's rule on releases).
const END_NOTICE_LIMIT: Time = 8_000 * MS;

/// Descriptors of the process's own: standard streams, the runtime's poll, wake and signal ends, the listener, the change
/// log with one connection that ends while the next comes up, and the configuration when it is read again.
const OWN_DESCRIPTORS: usize = 16;

/// Bounds of what the core holds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Requests without an answer.
    pub open_requests: usize,
    /// Requests without an answer on one connection.
    pub open_requests_per_conn: usize,
    /// Requests and standing sessions together.
    pub sessions: usize,
    /// Connections of viewers.
    pub viewers: usize,
    /// Connections to nodes.
    pub links: usize,
    /// Ended ids that are remembered.
    pub ended_sessions: usize,
}

impl Bounds {
    /// Bounds that fit a limit on descriptors. After what the process needs for itself, viewers have half, an eighth
    /// more while one gives way to another and a sixteenth for those being ended in order; nodes have two fifths. In
    /// sum that is under the whole. The protocol's viewers hold a third.
    #[must_use]
    pub fn for_descriptors(descriptors: usize) -> Self {
        let available = descriptors.saturating_sub(OWN_DESCRIPTORS);
        Self {
            open_requests: 1_024,
            open_requests_per_conn: 256,
            sessions: 16_384,
            viewers: (available / 2).max(1),
            links: (available * 2 / 5).max(1),
            ended_sessions: 4_096,
        }
    }
}

/// What is due at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    /// A timer of the module.
    Controller(u64),
    /// The time of a session's attempt of this number is up.
    AttemptTimeout(SessionId, u32),
    /// The node was heard out long enough on a set-up that was given up.
    CancelGrace(SessionId, u32),
    /// The last moment at which a request can be answered in time.
    FallbackAnswer(SessionId),
    /// A moved session should have ended at its node.
    MoveTimeout(SessionId),
    /// A question for load has no answer.
    ProbeTimeout(ProbeId),
    /// A node in doubt is dialled again.
    Redial(IncarnationId),
    /// A connection that is being ended in order has waited long enough for its node.
    HalfCloseTimeout(LinkId),
    /// A session that was handed over is still at no node that the list names.
    HandoverTimeout(SessionId),
    /// A look at what grows old.
    Sweep,
}

/// A request, and the session that comes of it.
struct Session {
    request: SetUpRequest,
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
    Playing(IncarnationId, Time),
}

/// A viewer's connection.
struct Conn {
    peer: IpAddr,
    /// It has carried a message that could be used.
    sent_valid_message: bool,
    /// Its viewer has closed its side: nothing is begun for it any more.
    half_closed: bool,
    open_requests: BTreeSet<SessionId>,
    /// Standing sessions that came on it.
    playing: usize,
}

impl Conn {
    /// It has no open request, and no session came on it whose end is to be told there.
    fn is_evictable(&self) -> bool {
        self.open_requests.is_empty() && self.playing == 0
    }
}

/// An ended id.
struct EndedSession {
    ended_at: Time,
    title: u64,
    /// Its set-up was given up: a late answer to it is cut.
    release_if_started: bool,
}

/// The state machine of one front end.
pub struct Core {
    controller: Controller,
    bounds: Bounds,
    /// Nodes may be asked for their load.
    probing: bool,
    sockets: Sockets,
    sessions: BTreeMap<SessionId, Session>,
    open_requests: usize,
    conns: BTreeMap<ConnId, Conn>,
    incarnations: BTreeMap<IncarnationId, Incarnation>,
    current: BTreeMap<ServerId, IncarnationId>,
    links: BTreeMap<LinkId, Link>,
    probes: BTreeMap<ProbeId, links::Probe>,
    ended: BTreeMap<SessionId, EndedSession>,
    ended_order: VecDeque<SessionId>,
    /// Sessions that were handed over with a node that the list does not name yet.
    awaiting_list: BTreeMap<SessionId, playing::AwaitingList>,
    /// Ends that nodes told of sessions that nobody has handed over yet.
    early_ends: BTreeMap<SessionId, playing::EarlyEnd>,
    /// Ends that no connection could take yet.
    unsent_ends: VecDeque<playing::UnsentEnd>,
    timers: Timers<Wake>,
    pending: VecDeque<Event>,
    next_number: u64,
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
        sockets: Sockets,
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
            open_requests: 0,
            conns: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            current: BTreeMap::new(),
            links: BTreeMap::new(),
            probes: BTreeMap::new(),
            ended: BTreeMap::new(),
            ended_order: VecDeque::new(),
            awaiting_list: BTreeMap::new(),
            early_ends: BTreeMap::new(),
            unsent_ends: VecDeque::new(),
            timers,
            pending: VecDeque::new(),
            // Numbers of two runs differ, so that nothing late of one is taken for the other's.
            next_number: seed >> 16,
            closing: false,
        })
    }

    /// Takes in one input and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::ViewerConnected(conn, peer) => {
                let new = Conn {
                    peer,
                    sent_valid_message: false,
                    half_closed: false,
                    open_requests: BTreeSet::new(),
                    playing: 0,
                };
                self.conns.insert(conn, new);
            }
            Input::SetUp(conn, request) => self.set_up_requested(now, conn, request, out),
            Input::Release(conn, id) => self.release_requested(now, conn, id, out),
            Input::ViewerHalfClosed(conn) => self.viewer_half_closed(now, conn, out),
            Input::ViewerDisconnected(conn) => self.viewer_disconnected(now, conn, out),
            Input::ViewerWaits(id) => self.send_set_up(now, id, out),
            Input::LinkBlocked(id) => self.link_blocked(now, id, out),
            Input::EvictViewer(conn) => self.give_way(conn, out),
            Input::LinkUp(link) => self.link_up(now, link, out),
            Input::DialFailed(link, dial_end) => self.dial_failed(now, link, dial_end, out),
            Input::LinkDown(link) => self.link_down(now, link, out),
            Input::LinkEndedByNode(link) => self.link_ended_by_node(now, link, out),
            Input::NodeMessage(link, message) => self.node_message(now, link, message, out),
            Input::NodeList(entries) => {
                self.update_nodes(now, &entries, out);
                self.place_handed_over(now, out);
            }
            Input::StopAccepting => self.closing = true,
            Input::AnswerAll => self.answer_all(now, out),
        }
        self.run_controller(now, out);
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
                Wake::Controller(token) => self.pending.push_back(Event::Timer(token)),
                Wake::AttemptTimeout(id, number) => self.attempt_timed_out(now, id, number, out),
                Wake::CancelGrace(id, number) => self.cancel_grace_over(id, number),
                Wake::FallbackAnswer(id) => self.fail_request(now, id, out),
                Wake::MoveTimeout(id) => self.move_timed_out(now, id, out),
                Wake::ProbeTimeout(id) => self.probe_timed_out(now, id, out),
                Wake::Redial(incarnation) => self.redial(now, incarnation, out),
                Wake::HalfCloseTimeout(link) => self.half_close_timed_out(now, link, out),
                Wake::HandoverTimeout(id) => self.handover_timed_out(now, id, out),
                Wake::Sweep => self.sweep(now, out),
            }
            self.run_controller(now, out);
        }
    }

    /// Requests without an answer.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open_requests
    }

    /// Whether nobody waits for anything: no request is open, and no release waits for a connection to its node.
    #[must_use]
    pub fn has_no_pending_work(&self) -> bool {
        self.open_requests == 0 && self.links.values().all(Link::has_no_queued_release)
    }

    /// Sessions that stand.
    #[must_use]
    pub fn playing_sessions(&self) -> usize {
        self.sessions.len() - self.open_requests
    }

    /// Hands the module what has happened, until nothing more follows.
    fn run_controller(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action, out);
            }
        }
    }

    fn perform(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::SetUp(id, server, wait) => self.start_attempt(now, id, server, wait, out),
            Action::SetRung(id, rung) => self.set_rung(now, id, rung, out),
            Action::Refuse(id, advice) => self.answer(now, id, ToViewer::Refused(id, advice), out),
            Action::Fail(id) => self.answer(now, id, ToViewer::Failed(id), out),
            Action::Move(id) => self.move_session(now, id, out),
            Action::Probe(server) => self.probe(now, server, out),
            // The platform's change log comes unasked.
            Action::WatchList => {}
            Action::SetTimer(after, token) => {
                self.set_timer(now.saturating_add(after), Wake::Controller(token))
            }
            Action::Log(line) => out.push(Effect::Log("decision", line)),
        }
    }

    fn set_timer(&mut self, at: Time, wake: Wake) {
        self.timers.set(at, wake);
    }

    /// The title of a session that is held.
    fn title(&self, id: SessionId) -> u64 {
        self.sessions.get(&id).map_or(0, |s| s.request.spec.title.0)
    }

    fn fresh_number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    fn sweep(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.set_timer(now + SWEEP_INTERVAL, Wake::Sweep);
        self.sweep_links(now, out);
        self.sweep_incarnations(now, out);
        self.send_unsent_ends(now, out);
        self.early_ends.retain(|_, e| e.received_at + ENDED_RETENTION > now);
        while self.ended_order.front().is_some_and(|id| {
            self.ended_order.len() > self.bounds.ended_sessions
                || self.ended.get(id).is_none_or(|e| e.ended_at + ENDED_RETENTION < now)
        }) {
            if let Some(id) = self.ended_order.pop_front() {
                self.ended.remove(&id);
            }
        }
    }

    /// Remembers an ended id.
    fn remember(&mut self, now: Time, id: SessionId, title: u64, release_if_started: bool) {
        if self.ended.insert(id, EndedSession { ended_at: now, title, release_if_started }).is_none() {
            self.ended_order.push_back(id);
        }
    }
}
