//! The core: a state machine around the decision module ([`Controller`]), without I/O.
//!
//! The shell passes in [`Input`]s with the time and carries out the [`Effect`]s that come out. The controller
//! decides placement, rungs, moves, retries and refusals. The core keeps the state that these decisions need:
//!
//! - `requests`: every request gets exactly one answer.
//! - `attempts`: at most one attempt per request is in flight.
//! - `playing`: playing sessions and their end.
//! - `handover`: sessions that are handed over after a restart.
//! - `incarnations`: the list of nodes, and the incarnations of each node.
//! - `links`: connections to nodes.
//! - `places`: which connections may be dialled when almost all descriptors are in use.
//! - `liveness`: evidence of which nodes are alive.
//! - `takeover`: evidence that another process has taken over a node's address.

mod attempts;
mod handover;
mod incarnations;
mod links;
mod liveness;
mod places;
mod playing;
mod requests;
mod takeover;
#[cfg(test)]
mod tests;
mod types;

use incarnations::Incarnation;
use links::Link;
use pepperhook::{Action, Controller, Event, ServerId, SessionId, Settings, SettingsError, Time};
use pepperhook_net::Timers;
use pepperhook_parameters::SocketSettings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
pub use types::*;

/// One millisecond, in nanoseconds, the unit of [`Time`].
const MS: Time = 1_000_000;
/// Interval between two sweeps, which drop or renew state that has expired.
const SWEEP_INTERVAL: Time = 200 * MS;
/// Time after a request's deadline at which the core answers for the controller, which answers at the
/// deadline.
const FALLBACK_ANSWER_DELAY: Time = 2 * MS;
/// Time for which the ids of ended requests and sessions are kept, to recognise messages that cross the end.
const ENDED_RETENTION: Time = 10_000 * MS;
/// Time after the end of a session within which its viewer must be notified if the node cannot do so (the
/// protocol's rule on releases).
const END_NOTICE_LIMIT: Time = 8_000 * MS;

/// Descriptors that the process itself needs: standard streams, the runtime's poll, wake and signal
/// descriptors, the listener, the connection to the change log and its successor, and the configuration file
/// when it is read again.
const OWN_DESCRIPTORS: usize = 16;

/// Limits on the state of the core.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Open requests, that is, requests without an answer.
    pub open_requests: usize,
    /// Open requests on one connection.
    pub open_requests_per_conn: usize,
    /// Open requests and playing sessions together.
    pub sessions: usize,
    /// Connections of viewers.
    pub viewers: usize,
    /// Connections to nodes.
    pub links: usize,
    /// Ended sessions that are remembered.
    pub ended_sessions: usize,
}

impl Bounds {
    /// Limits that fit into this number of file descriptors.
    ///
    /// Of the descriptors that the process does not need for itself, half are for viewers and two fifths for
    /// nodes. Viewers need an eighth of their share more while one is evicted for another, and a sixteenth
    /// for connections that are being closed. The sum stays below the total. The viewers that the protocol
    /// expects take a third.
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

/// A timer of the core. Of two timers of the same time, the one of the earlier variant runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    /// A timer of the controller, with its token.
    Controller(u64),
    /// The deadline of an attempt: session and attempt number.
    AttemptTimeout(SessionId, u32),
    /// The end of the grace period after a set-up was cancelled: session and attempt number.
    CancelGrace(SessionId, u32),
    /// The last moment at which a request can be answered in time.
    FallbackAnswer(SessionId),
    /// The time by which a node should have ended a moved session.
    MoveTimeout(SessionId),
    /// The time by which a load query should have been answered.
    ProbeTimeout(ProbeId),
    /// The next dial of a suspected node.
    Redial(IncarnationId),
    /// The time by which a node should have closed a half-closed connection.
    HalfCloseTimeout(LinkId),
    /// The end of a check whether another process has taken over the address of this connection's node.
    TakeoverCheckLimit(LinkId),
    /// The time at which such a check of a node has its result.
    TakeoverVerdict(IncarnationId),
    /// The time by which the list should have named the node of a session that was handed over.
    HandoverTimeout(SessionId),
    /// The next sweep.
    Sweep,
}

/// A request and the session that it sets up.
struct Session {
    request: SetUpRequest,
    conn: ConnId,
    /// Address of the viewer.
    peer: IpAddr,
    rung: u8,
    /// Attempts made so far.
    attempts: u32,
    phase: Phase,
}

/// Phase of a session.
enum Phase {
    /// The request has no answer yet; the attempt in flight, if there is one.
    Open(Option<attempts::Attempt>),
    /// The session plays at this node since this time, or since it was handed over.
    Playing(IncarnationId, Time),
}

/// A viewer's connection.
struct Conn {
    peer: IpAddr,
    /// A valid message has come on it.
    sent_valid_message: bool,
    /// The viewer has closed its sending side: no new work is started for it.
    half_closed: bool,
    /// Requests on it without an answer.
    open_requests: BTreeSet<SessionId>,
    /// Number of playing sessions that were set up or handed over on it.
    playing: usize,
    /// Number of playing sessions that were handed over on it, by node.
    handed_over: BTreeMap<IncarnationId, usize>,
}

impl Conn {
    /// Whether it has no open request and carries no session whose end has to be reported on it.
    fn is_evictable(&self) -> bool {
        self.open_requests.is_empty() && self.playing == 0
    }
}

/// A session or request that has ended.
struct EndedSession {
    ended_at: Time,
    title: u64,
    /// Its set-up was cancelled: if a node still reports that it plays, it is released there.
    release_if_started: bool,
}

/// The state machine of one front.
pub struct Core {
    controller: Controller,
    bounds: Bounds,
    /// Whether nodes may be asked for their load.
    probing: bool,
    /// Maximum number of streams on a node, for each kind of node.
    kind_max_streams: Vec<f64>,
    sockets: SocketSettings,
    sessions: BTreeMap<SessionId, Session>,
    /// Number of sessions in [`Phase::Open`].
    open_requests: usize,
    conns: BTreeMap<ConnId, Conn>,
    incarnations: BTreeMap<IncarnationId, Incarnation>,
    /// The listed incarnation of each node.
    current: BTreeMap<ServerId, IncarnationId>,
    links: BTreeMap<LinkId, Link>,
    probes: BTreeMap<ProbeId, links::Probe>,
    ended: BTreeMap<SessionId, EndedSession>,
    /// The keys of `ended`, oldest first.
    ended_order: VecDeque<SessionId>,
    /// Sessions that were handed over with a node that is not in the list yet.
    awaiting_list: BTreeMap<SessionId, handover::AwaitingList>,
    /// Ends that nodes reported of sessions that have not been handed over yet.
    early_ends: BTreeMap<SessionId, handover::EarlyEnd>,
    /// Ends of sessions that could not be reported to a viewer yet.
    unsent_ends: VecDeque<playing::UnsentEnd>,
    /// When the lack of places for connections was last logged.
    lack_of_places_logged_at: Option<Time>,
    timers: Timers<Wake>,
    /// Events for the controller.
    pending: VecDeque<Event>,
    next_number: u64,
    /// The front is about to stop.
    closing: bool,
}

impl Core {
    /// Creates a core without nodes.
    ///
    /// # Errors
    /// When the settings contradict each other.
    pub fn new(
        settings: Settings,
        sockets: SocketSettings,
        bounds: Bounds,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let mut timers = Timers::default();
        timers.set(0, Wake::Sweep);
        let (probing, kind_max_streams) = (settings.probes, settings.kind_max_streams.clone());
        Ok(Self {
            controller: Controller::new(settings, seed)?,
            bounds,
            probing,
            kind_max_streams,
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
            lack_of_places_logged_at: None,
            timers,
            pending: VecDeque::new(),
            // Two runs draw different numbers, so late messages of one run are not taken for the other's.
            next_number: seed >> 16,
            closing: false,
        })
    }

    /// Handles one input and appends the resulting effects.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::ViewerConnected(conn, peer) => {
                let new = Conn {
                    peer,
                    sent_valid_message: false,
                    half_closed: false,
                    open_requests: BTreeSet::new(),
                    playing: 0,
                    handed_over: BTreeMap::new(),
                };
                self.conns.insert(conn, new);
            }
            Input::SetUp(conn, request) => self.set_up_requested(now, conn, request, out),
            Input::Release(conn, id) => self.release_requested(now, conn, id, out),
            Input::ViewerHalfClosed(conn) => self.viewer_half_closed(now, conn, out),
            Input::ViewerDisconnected(conn) => self.viewer_disconnected(now, conn, out),
            Input::ViewerWaits(id) => self.send_set_up(now, id, out),
            Input::LinkBlocked(id) => self.link_blocked(now, id, out),
            Input::EvictViewer(conn) => self.evict_viewer(conn, out),
            Input::LinkUp(link) => self.link_up(now, link, out),
            Input::DialFailed(link, dial_end) => self.dial_failed(now, link, dial_end, out),
            Input::LinkDown(link) => self.link_down(now, link, out),
            Input::LinkReset(link) => self.link_reset(now, link, out),
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

    /// The time of the next timer.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next_at()
    }

    /// Runs the timers that are due.
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
                Wake::TakeoverCheckLimit(link) => self.takeover_check_timed_out(link, out),
                Wake::TakeoverVerdict(incarnation) => self.takeover_verdict(now, incarnation, out),
                Wake::HandoverTimeout(id) => self.handover_timed_out(now, id, out),
                Wake::Sweep => self.sweep(now, out),
            }
            self.run_controller(now, out);
        }
    }

    /// Number of requests without an answer.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open_requests
    }

    /// Whether no request is open and no release waits for a connection to its node.
    #[must_use]
    pub fn has_no_pending_work(&self) -> bool {
        self.open_requests == 0
            && self.links.values().all(Link::has_no_queued_release)
            && !self.incarnations.values().any(Incarnation::awaits_release)
    }

    /// Number of playing sessions.
    #[must_use]
    pub fn playing_sessions(&self) -> usize {
        self.sessions.len() - self.open_requests
    }

    /// Passes pending events to the controller and performs its actions, until no event is left.
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
            // The platform sends its change log without being asked.
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

    /// The title of a session, or 0 if it is not known.
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
        self.check_takeovers(now, out);
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

    /// Remembers an ended session or request.
    fn remember_ended(&mut self, now: Time, id: SessionId, title: u64, release_if_started: bool) {
        if self.ended.insert(id, EndedSession { ended_at: now, title, release_if_started }).is_none() {
            self.ended_order.push_back(id);
        }
    }
}
