//! The engine: one state machine around the decision module, without I/O.
//!
//! [`Input`]s go in with the time, [`Effect`]s come out. The same code runs on sockets (`shell`) and under a
//! test's clock. Placement is decided by the [`Controller`]. The engine itself guarantees one answer for each
//! ticket, one session for each viewer, and that each attempt stays open until the node or the connection has
//! ended it.
//!
//! An attempt that times out is closed in three steps: half-close of its connection, a short grace period in
//! which the node may still answer (a session from a late 201 is deleted there), then a reset. The module gets
//! the time-out only after that; otherwise it could start another attempt while this one is open.

mod load_reports;
mod metrics;
mod node_watch;
mod nodes;
mod peaks;
mod policy;
mod reconcile;
pub mod types;
mod view;
pub mod viewers;

pub use load_reports::incarnation;
pub use metrics::Metrics;
use nodes::NodeState;
use pepperhook::{
    Action, ClassId, Controller, Event, Gauge, NotificationKind, Outcome, ServerId, SessionId, SessionSpec,
    SettingsError, TenantId, Time, TitleId, ViewerKey,
};
use pepperhook_inventory::Node;
use pepperhook_net::Timers;
use pepperhook_peaks::Reservations;
use pepperhook_settings::Config;
use pepperhook_signalling::{Direction, EVENT_MOVE, LoadReport, Offer};
pub use policy::PolicyStatus;
use policy::{PolicyState, RequestTerms};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::rc::Rc;
use types::*;
pub use view::{DutyStatus, NodeRow, RackRow, ReplicaStatus, Snapshot};
use viewers::{Admission, Phase, ReturningViewers, ViewerSessions};

/// What a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A timer of the module.
    Module(u64),
    /// The attempt times out.
    AttemptTimeout(AttemptId),
    /// The grace period of a closing attempt ends: its connection is reset.
    AttemptReset(AttemptId),
    /// Reservations for announced peaks are planned again.
    Replan,
    /// The event stream of a node is opened, if none is.
    ReopenEvents(ServerId),
    /// Sessions that were given up at a node are deleted there.
    DeleteGivenUp(ServerId),
    /// Latest time at which a ticket can be answered within its viewer's patience.
    AnswerDeadline(Ticket),
}

/// A session that is being set up or plays.
struct Session {
    request: SessionRequest,
    /// Requests that wait for its answer.
    tickets: Vec<Ticket>,
    /// Number of attempts so far.
    attempts: u32,
    rung: u8,
    received_at: Time,
    terms: RequestTerms,
    /// The attempt under way.
    open_attempt: Option<AttemptId>,
    playing: Option<Playing>,
}

/// Where a session plays.
struct Playing {
    node: ServerId,
    path: String,
    /// Path of its event stream at the node.
    events: Option<String>,
    /// Path of its layer selection at the node.
    layer: Option<String>,
    resource: String,
    /// The answer, repeated for duplicates of the request.
    answer: Answer,
    /// The user fragment of the viewer's offer.
    offered_ufrag: Option<String>,
    /// The ICE session after the latest restart: the viewer's user fragment and the entity tag.
    restarted_ice: Option<(String, Option<String>)>,
}

/// An attempt that the node or the connection has not ended yet.
struct Attempt {
    node: ServerId,
    viewer: ViewerKey,
    /// Set while the attempt is being closed: the outcome that it is counted with.
    closing: Option<Outcome>,
}

/// A request that waits until an earlier attempt of its viewer is closed.
struct ParkedRequest {
    ticket: Ticket,
    request: SessionRequest,
    received_at: Time,
    /// Patience of the viewer by the policy in force when the request was received, less the answer margin.
    patience: Time,
}

/// The state machine of one front.
pub struct Engine {
    config: Rc<Config>,
    controller: Controller,
    rng: StdRng,
    next_session: u64,
    sessions: BTreeMap<SessionId, Session>,
    attempts: BTreeMap<AttemptId, Attempt>,
    tickets: BTreeMap<Ticket, SessionId>,
    parked: BTreeMap<ViewerKey, ParkedRequest>,
    /// Playing sessions by their resource.
    resources: HashMap<String, SessionId>,
    moved_resources: lru::LruCache<String, ()>,
    /// Sessions that publish, by title.
    publishers: BTreeMap<TitleId, SessionId>,
    nodes: BTreeMap<ServerId, NodeState>,
    viewers: ViewerSessions,
    reservations: Reservations,
    /// Whether the timer for the next plan is set.
    replan_scheduled: bool,
    returning_viewers: ReturningViewers,
    policy: PolicyState,
    timers: Timers<Timer>,
    /// Events not yet handed to the decision module.
    pending_events: VecDeque<Event>,
    stopping: bool,
    metrics: Metrics,
}

/// Most resources of moved sessions that are remembered, to answer their viewers with `Moved`.
const MAX_MOVED_RESOURCES: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();
/// Most refused, moved or disconnected viewers that are remembered, to recognise a reconnect.
const MAX_RETURNING_VIEWERS: NonZeroUsize = NonZeroUsize::new(65_536).unwrap();

impl Engine {
    /// An engine without nodes. The seed determines the module's tie-breaking, session numbers and resource names.
    ///
    /// # Errors
    /// If the settings of the module contradict one another.
    pub fn new(config: Rc<Config>, seed: u64) -> Result<Self, SettingsError> {
        let mut rng = StdRng::seed_from_u64(seed);
        Ok(Self {
            controller: Controller::new(config.decisions.clone(), rng.next_u64())?,
            // A random start: session numbers of an earlier run must not match those of this run.
            next_session: rng.next_u64() >> 16,
            rng,
            sessions: BTreeMap::new(),
            attempts: BTreeMap::new(),
            tickets: BTreeMap::new(),
            parked: BTreeMap::new(),
            resources: HashMap::new(),
            moved_resources: lru::LruCache::new(MAX_MOVED_RESOURCES),
            publishers: BTreeMap::new(),
            nodes: BTreeMap::new(),
            viewers: ViewerSessions::default(),
            reservations: peaks::new_reservations(&config),
            replan_scheduled: false,
            returning_viewers: ReturningViewers::new(MAX_RETURNING_VIEWERS),
            policy: PolicyState::default(),
            timers: Timers::default(),
            pending_events: VecDeque::new(),
            stopping: false,
            metrics: Metrics::new(config.classes.iter().map(|c| c.name.clone()).collect()),
            config,
        })
    }

    // ---- inputs --------------------------------------------------------------------------------

    /// Handles one input and appends the effects that the caller has to carry out.
    pub fn handle(&mut self, now: Time, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Post(ticket, request) => self.post(now, ticket, request, effects),
            Input::Disconnected(ticket) => self.request_disconnected(now, ticket, effects),
            Input::Delete(ticket, resource) => self.delete(ticket, &resource, effects),
            Input::AttemptEnded(id, node, end) => self.attempt_ended(now, id, node, end, effects),
            Input::Undelivered(resource) => {
                if let Some(id) = self.resources.get(&resource).copied() {
                    self.end_playing(id, Outcome::Cancelled, true, None, effects);
                }
            }
            Input::Nodes(nodes) => self.set_nodes(now, nodes),
            Input::NodeEvent(node, event) => self.node_event(now, node, event, effects),
            Input::StreamEnded(node, how) => self.stream_ended(now, node, how, effects),
            Input::GivenUpRemain(node, paths) => self.given_up_remain(now, node, paths),
            Input::Peak(peak) => self.apply_peak(now, peak),
            Input::IceRestarted(resource, ufrag, etag) => {
                let session = self.resources.get(&resource).and_then(|id| self.sessions.get_mut(id));
                if let Some(p) = session.and_then(|s| s.playing.as_mut()) {
                    p.restarted_ice = Some((ufrag, etag));
                }
            }
            Input::SessionList(node, listed) => {
                self.node_heard(now, node);
                self.reconcile_sessions(node, &listed, effects);
            }
            Input::Probed(node, load) => {
                if load.is_some() {
                    self.node_heard(now, node);
                }
                self.probe_ended(now, node, load);
            }
            Input::PeerReport(node, incarnation, age, load) => {
                self.peer_report(now, node, incarnation, age, &load)
            }
            Input::Policy { version, settings, classes, tenants } => {
                self.apply_policy(now, version, *settings, (&classes, &tenants), effects);
            }
            Input::Fenced(fenced) => self.set_fenced(fenced, effects),
        }
        self.process_events(now, effects);
    }

    /// Time of the next timer.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next_at()
    }

    /// Runs the timers that are due.
    pub fn wake(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some(wake) = self.timers.pop_due(now) {
            match wake {
                Timer::Module(token) => self.pending_events.push_back(Event::Timer(token)),
                Timer::AttemptTimeout(id) => self.close_attempt(now, id, Outcome::TimedOut, effects),
                Timer::AttemptReset(id) => {
                    if self.attempts.get(&id).is_some_and(|a| a.closing.is_some()) {
                        effects.push(Effect::ResetAttempt(id));
                        self.attempt_closed(now, id, LoadReport::default(), effects);
                    }
                }
                Timer::AnswerDeadline(ticket) => self.answer_deadline(now, ticket, effects),
                Timer::Replan => self.replan(now),
                Timer::ReopenEvents(node) => self.open_node_events(node, effects),
                Timer::DeleteGivenUp(node) => self.delete_given_up(node, effects),
            }
            self.process_events(now, effects);
        }
    }

    /// Refuses new requests from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether no request waits for an answer and no attempt is open.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.tickets.is_empty() && self.parked.is_empty() && self.attempts.is_empty()
    }

    /// Ends all sessions because the front stops. Their viewers are notified to reconnect elsewhere.
    pub fn end_all(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let playing: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| s.playing.is_some()).map(|(id, _)| *id).collect();
        for id in playing {
            self.end_playing(id, Outcome::Cancelled, true, Some((EVENT_MOVE, "stopping")), effects);
        }
        self.process_events(now, effects);
    }

    /// Where a request on a session's resource is forwarded.
    #[must_use]
    pub fn route(&self, resource: &str) -> Route {
        let playing = self
            .resources
            .get(resource)
            .and_then(|id| self.sessions.get(id))
            .and_then(|s| s.playing.as_ref());
        match playing {
            Some(p) => Route::Node(p.node, p.path.clone()),
            None if self.moved_resources.contains(resource) => Route::Moved,
            None => Route::Unknown,
        }
    }

    /// The current ICE session of a session: the viewer's user fragment and the entity tag.
    #[must_use]
    pub fn ice_session(&self, resource: &str) -> Option<(String, Option<String>)> {
        let session = self.resources.get(resource).and_then(|id| self.sessions.get(id))?;
        let p = session.playing.as_ref()?;
        let Answer::Created { etag, .. } = &p.answer else { return None };
        p.restarted_ice.clone().or_else(|| Some((p.offered_ufrag.clone()?, etag.clone())))
    }

    /// The nodes of the list.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().map(|n| &n.node)
    }

    /// A node that is in the list or still has sessions or attempts of this front.
    #[must_use]
    pub fn node(&self, id: ServerId) -> Option<&Node> {
        self.nodes.get(&id).map(|n| &n.node)
    }

    /// Counters and histograms since the start.
    pub fn metrics(&mut self) -> &mut Metrics {
        &mut self.metrics
    }

    // ---- requests ------------------------------------------------------------------------------

    fn post(&mut self, now: Time, ticket: Ticket, request: SessionRequest, effects: &mut Vec<Effect>) {
        let limits = self.config.limits;
        let retry_after =
            self.config.decisions.send_retry_after.then_some(self.config.decisions.max_retry_after);
        let full = self.tickets.len() + self.parked.len() >= limits.waiting
            || self.sessions.len() >= limits.sessions;
        self.metrics.requests += 1;
        // A copy of a request under way starts nothing and waits for its answer: a refusal would say that a new try does no
        // harm.
        if !self.viewers.is_duplicate(request.viewer, request.offer_hash) {
            let refusal = match (self.stopping, full) {
                (true, _) => Some(Answer::Refused(retry_after, Refusal::Stopping)),
                (_, true) => Some(Answer::Refused(retry_after, Refusal::Overload)),
                _ => self.policy_refusal(&request),
            };
            if let Some(answer) = refusal {
                return self.answer(ticket, answer, effects);
            }
        }
        if let Some(answer) = self.publisher_conflict(&request) {
            return self.answer(ticket, answer, effects);
        }
        let patience = self.patience(request.class);
        match self.viewers.admit(request.viewer, request.offer_hash) {
            Admission::Start => self.start_session(now, now, ticket, request, patience, effects),
            Admission::Join(id) => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.tickets.push(ticket);
                    let patience = session.terms.patience;
                    self.tickets.insert(ticket, id);
                    self.schedule_answer_deadline(now, ticket, patience);
                }
            }
            Admission::RepeatAnswer(id) => {
                let answer =
                    self.sessions.get(&id).and_then(|s| s.playing.as_ref()).map(|p| p.answer.clone());
                self.tickets.insert(ticket, id);
                self.answer(ticket, answer.unwrap_or(Answer::Failed), effects);
            }
            Admission::Replace(id, Phase::Playing) => {
                self.end_playing(id, Outcome::Cancelled, true, None, effects);
                self.process_events(now, effects);
                self.start_session(now, now, ticket, request, patience, effects);
            }
            Admission::Replace(id, Phase::SettingUp) => {
                self.answer_and_cancel(now, id, Answer::Superseded, effects);
                self.process_events(now, effects);
                // An attempt that was open is being closed now; then the newer request is parked.
                match self.viewers.admit(request.viewer, request.offer_hash) {
                    Admission::Park => self.park(now, ticket, request, effects),
                    _ => self.start_session(now, now, ticket, request, patience, effects),
                }
            }
            Admission::Park => self.park(now, ticket, request, effects),
            Admission::TooManyWaiting => {
                self.answer(ticket, Answer::Refused(retry_after, Refusal::TooManyCopies), effects)
            }
        }
    }

    /// The answer that refuses a request in conflict with the title's publisher: a title has one publisher, and a title
    /// of a live class can be watched only while it is published.
    fn publisher_conflict(&self, request: &SessionRequest) -> Option<Answer> {
        let publisher = self.publishers.get(&request.title).and_then(|id| self.sessions.get(id));
        let same_viewer = publisher.is_some_and(|p| p.request.viewer == request.viewer);
        let publishing_offered = self.config.classes.iter().any(|c| c.ingest);
        let live_class =
            self.config.decisions.classes.get(usize::from(request.class)).is_some_and(|c| c.live);
        match (request.publish, publisher) {
            (true, Some(_)) if !same_viewer => Some(Answer::AlreadyPublished),
            (false, None) if live_class && publishing_offered => Some(Answer::NotPublished),
            _ => None,
        }
    }

    /// Makes a request wait until an earlier attempt of its viewer is closed. It replaces one that waits already.
    fn park(&mut self, now: Time, ticket: Ticket, request: SessionRequest, effects: &mut Vec<Effect>) {
        let patience = self.patience(request.class);
        self.schedule_answer_deadline(now, ticket, patience);
        if let Some(older) =
            self.parked.insert(request.viewer, ParkedRequest { ticket, request, received_at: now, patience })
        {
            self.answer(older.ticket, Answer::Superseded, effects);
        }
    }

    /// Removes a parked request; returns false if the ticket is not parked.
    fn unpark(&mut self, ticket: Ticket) -> bool {
        let key = self.parked.iter().find(|(_, p)| p.ticket == ticket).map(|(key, _)| *key);
        key.and_then(|key| self.parked.remove(&key)).is_some()
    }

    /// The patience of a class's viewers less the answer margin.
    fn patience(&self, class: u16) -> Time {
        let patience = self.config.classes.get(usize::from(class)).map_or(0, |c| c.patience);
        patience.saturating_sub(self.config.answer_margin)
    }

    fn schedule_answer_deadline(&mut self, received_at: Time, ticket: Ticket, patience: Time) {
        let at = received_at.saturating_add(patience).saturating_add(self.config.answer_margin / 2);
        self.timers.set(at, Timer::AnswerDeadline(ticket));
    }

    /// Starts the set-up of a session. The viewer waits at most `patience` from `received_at`.
    fn start_session(
        &mut self,
        now: Time,
        received_at: Time,
        ticket: Ticket,
        request: SessionRequest,
        patience: Time,
        effects: &mut Vec<Effect>,
    ) {
        // Session numbers stay below 2^52 and away from the module's own timer token.
        self.next_session = (self.next_session + 1) & 0x000f_ffff_ffff_ffff;
        let id = SessionId(self.next_session);
        let reconnect = self.returning_viewers.take_reconnect(now, request.viewer);
        let spec = SessionSpec {
            viewer: request.viewer,
            class: ClassId(request.class),
            tenant: TenantId(request.tenant),
            title: request.title,
            first_cell: f64::from(request.first_cell),
            cell_count: f64::from(request.cell_count),
            highest_rung: f64::from(request.highest_rung),
            max_wait: patience.saturating_sub(now.saturating_sub(received_at)),
            expected_length: None,
            reconnect,
        };
        if received_at == now {
            self.schedule_answer_deadline(now, ticket, patience);
        }
        self.viewers.start(request.viewer, id, request.offer_hash);
        self.tickets.insert(ticket, id);
        let terms = RequestTerms { patience, ..self.request_terms(request.class) };
        let tickets = vec![ticket];
        let session = Session {
            request,
            tickets,
            attempts: 0,
            rung: 0,
            received_at,
            terms,
            open_attempt: None,
            playing: None,
        };
        self.sessions.insert(id, session);
        self.pending_events.push_back(Event::Request(id, spec));
        self.process_events(now, effects);
    }

    /// The connection of a waiting request closed. If no other request waits for the session, its set-up is cancelled.
    fn request_disconnected(&mut self, now: Time, ticket: Ticket, effects: &mut Vec<Effect>) {
        self.metrics.disconnected += 1;
        if self.unpark(ticket) {
            return;
        }
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.tickets.retain(|t| *t != ticket);
        if self.viewers.remove_waiter(session.request.viewer, id) && session.playing.is_none() {
            self.cancel_set_up(now, id, effects);
        }
    }

    /// The answer deadline of a request has passed: it fails if it has no answer yet. Guarantees that each request is
    /// answered within its viewer's patience.
    fn answer_deadline(&mut self, now: Time, ticket: Ticket, effects: &mut Vec<Effect>) {
        if self.unpark(ticket) {
            self.metrics.overdue_answers += 1;
            return self.answer(ticket, Answer::Failed, effects);
        }
        let Some(id) = self.tickets.get(&ticket).copied() else { return };
        self.metrics.overdue_answers += 1;
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.tickets.retain(|t| *t != ticket);
        let viewer = session.request.viewer;
        self.answer(ticket, Answer::Failed, effects);
        if self.viewers.remove_waiter(viewer, id) {
            self.cancel_set_up(now, id, effects);
        }
    }

    /// Answers all requests that wait for a session and cancels its set-up.
    fn answer_and_cancel(&mut self, now: Time, id: SessionId, answer: Answer, effects: &mut Vec<Effect>) {
        let tickets = self.sessions.get_mut(&id).map(|s| std::mem::take(&mut s.tickets)).unwrap_or_default();
        for ticket in tickets {
            self.answer(ticket, answer.clone(), effects);
        }
        self.cancel_set_up(now, id, effects);
    }

    /// Cancels a set-up that no request waits for: removes it from the module and closes its open attempt.
    fn cancel_set_up(&mut self, now: Time, id: SessionId, effects: &mut Vec<Effect>) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.viewers.release(session.request.viewer, id);
        self.pending_events.push_back(Event::Closed(id));
        if let Some(attempt) = session.open_attempt {
            self.close_attempt(now, attempt, Outcome::Cancelled, effects);
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer, effects: &mut Vec<Effect>) {
        let session = self.tickets.remove(&ticket).and_then(|id| self.sessions.get(&id));
        let version = match (&answer, session) {
            // A fenced front decides by no policy.
            (Answer::Refused(_, Refusal::Fenced), _) => None,
            (_, Some(session)) => session.terms.version,
            _ => self.policy.version,
        };
        self.metrics.count_answer(&answer);
        effects.push(Effect::Answer(ticket, answer, version));
    }

    fn delete(&mut self, ticket: Ticket, resource: &str, effects: &mut Vec<Effect>) {
        let Some(id) = self.resources.get(resource).copied() else {
            let answer = if self.moved_resources.pop(resource).is_some() {
                Answer::Ended
            } else {
                Answer::UnknownSession
            };
            return effects.push(Effect::Answer(ticket, answer, None));
        };
        self.end_playing(id, Outcome::Served, true, None, effects);
        effects.push(Effect::Answer(ticket, Answer::Ended, None));
    }

    // ---- attempts ------------------------------------------------------------------------------

    fn set_up(&mut self, now: Time, id: SessionId, node: ServerId, wait: Time, effects: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let attempt = AttemptId { session: id, number: session.attempts };
        session.attempts += 1;
        session.open_attempt = Some(attempt);
        let (title, publish, offer) =
            (session.request.title_name.clone(), session.request.publish, session.request.offer.clone());
        self.attempts.insert(attempt, Attempt { node, viewer: session.request.viewer, closing: None });
        self.timers.set(now.saturating_add(wait), Timer::AttemptTimeout(attempt));
        self.metrics.attempts += 1;
        self.record_report_age(now, node);
        effects.push(Effect::SetUp { attempt, node, title, publish, offer });
    }

    /// Starts to close an open attempt.
    fn close_attempt(&mut self, now: Time, id: AttemptId, how: Outcome, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|a| a.closing.is_none()) else { return };
        attempt.closing = Some(how);
        self.viewers.attempt_closing(attempt.viewer);
        self.timers.set(now.saturating_add(self.config.close_grace), Timer::AttemptReset(id));
        effects.push(Effect::CloseAttempt(id));
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        id: AttemptId,
        node: ServerId,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        if matches!(end, AttemptEnd::Created(_) | AttemptEnd::Answered(..)) {
            self.node_heard(now, node);
        }
        let Some(attempt) = self.attempts.get(&id) else {
            // Already reset: a session that it set up must not stay at the node.
            if let AttemptEnd::Created(created) = end {
                self.metrics.late_answers += 1;
                effects.push(Effect::DeleteUpstream(node, created.path));
            }
            return;
        };
        let closing = attempt.closing;
        self.note_answer_report(now, node, &end);
        if closing.is_some() {
            let mut load = LoadReport::default();
            if let AttemptEnd::Created(created) = end {
                self.metrics.late_answers += 1;
                load = created.load;
                effects.push(Effect::DeleteUpstream(node, created.path));
            }
            return self.attempt_closed(now, id, load, effects);
        }
        self.attempts.remove(&id);
        match end {
            AttemptEnd::Created(created) => self.created(now, id, node, created, effects),
            other => {
                let report = match &other {
                    AttemptEnd::Answered(_, load) => self.gauges(load),
                    _ => Vec::new(),
                };
                self.attempt_failed(id, node, outcome(&other), report);
            }
        }
    }

    /// A closing attempt has ended, by the node, the connection or the reset.
    fn attempt_closed(&mut self, now: Time, id: AttemptId, load: LoadReport, effects: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let report = self.gauges(&load);
        self.attempt_failed(id, attempt.node, attempt.closing.unwrap_or(Outcome::Cancelled), report);
        if self.viewers.attempt_closed(attempt.viewer) {
            if let Some(parked) = self.parked.remove(&attempt.viewer) {
                self.process_events(now, effects);
                if self.policy.closed_classes.contains(&parked.request.class) {
                    return self.answer(parked.ticket, Answer::ClassClosed, effects);
                }
                let patience = parked.patience.min(self.patience(parked.request.class));
                self.start_session(now, parked.received_at, parked.ticket, parked.request, patience, effects);
            }
        }
    }

    /// Reports a failed attempt to the module. It is final if its session does not wait for it any more.
    fn attempt_failed(&mut self, id: AttemptId, server: ServerId, outcome: Outcome, report: Vec<f64>) {
        let session = self.sessions.get_mut(&id.session).filter(|s| s.open_attempt == Some(id));
        let is_final = session.map(|s| s.open_attempt = None).is_none();
        self.metrics.count_failure(outcome);
        self.pending_events.push_back(Event::Ended {
            session: id.session,
            server,
            outcome,
            is_final,
            report,
        });
    }

    /// A load report in the order of the module's gauges; missing values are NaN, which counts as unreadable.
    fn gauges(&self, load: &LoadReport) -> Vec<f64> {
        let name = |g: &Gauge| match g {
            Gauge::Streams => "streams",
            Gauge::LinkCapped | Gauge::Link => "link",
            Gauge::Uplink => "uplink",
            Gauge::Other => "",
        };
        if load.0.is_empty() {
            return Vec::new();
        }
        self.config.decisions.gauges.iter().map(|g| load.get(name(g)).unwrap_or(f64::NAN)).collect()
    }

    /// A node has set a session up: it plays, and all requests that wait for it are answered.
    fn created(
        &mut self,
        now: Time,
        id: AttemptId,
        node: ServerId,
        created: Created,
        effects: &mut Vec<Effect>,
    ) {
        let session_id = id.session;
        let resource = format!("{:016x}{:016x}", self.rng.next_u64(), self.rng.next_u64());
        let Some(session) = self.sessions.get_mut(&session_id).filter(|s| s.open_attempt == Some(id)) else {
            // No request waits for it any more: the session must not stay at the node.
            effects.push(Effect::DeleteUpstream(node, created.path));
            return self.attempt_failed(id, node, Outcome::Cancelled, Vec::new());
        };
        session.open_attempt = None;
        let (etag, ice) = (created.etag, created.ice);
        let answer = Answer::Created { resource: resource.clone(), etag, sdp: created.answer, ice };
        let (rung, layer) = (session.rung, created.layer.clone());
        let direction = if session.request.publish { Direction::Send } else { Direction::Receive };
        // Of the offer only this is needed from now on, and thousands of long ones would exhaust the memory.
        let offer = std::mem::take(&mut session.request.offer);
        let offered_ufrag = Offer::parse(&offer, direction).ok().map(|offer| offer.ufrag);
        let tickets = std::mem::take(&mut session.tickets);
        let (viewer, title, publish, class) =
            (session.request.viewer, session.request.title, session.request.publish, session.request.class);
        let (elapsed, aim) = (now.saturating_sub(session.received_at), session.terms.aim);
        session.playing = Some(Playing {
            node,
            path: created.path.clone(),
            events: created.events,
            layer: created.layer,
            resource: resource.clone(),
            answer: answer.clone(),
            offered_ufrag,
            restarted_ice: None,
        });
        self.viewers.set_playing(viewer, session_id);
        self.resources.insert(resource, session_id);
        if publish {
            self.publishers.insert(title, session_id);
        }
        if let Some(state) = self.nodes.get_mut(&node) {
            state.playing.insert(created.path, session_id);
        }
        self.metrics.record_set_up(class, elapsed, aim);
        for ticket in tickets {
            self.answer(ticket, answer.clone(), effects);
        }
        self.replicate(session_id, effects);
        // A node starts each session at the lowest rung.
        if let Some(layer) = layer.filter(|_| rung > 0) {
            effects.push(Effect::SetLayer(node, layer, rung));
        }
        self.count_arrival(session_id);
        self.pending_events.push_back(Event::Started(session_id, node));
        for (metric, kind) in [("link", NotificationKind::LinkUse), ("uplink", NotificationKind::UplinkUse)] {
            if let Some(value) = created.load.get(metric) {
                self.pending_events.push_back(Event::Notification(session_id, node, kind, value));
            }
        }
        self.open_node_events(node, effects);
    }

    // ---- playing sessions ----------------------------------------------------------------------

    /// Sends the present state of a playing session to other fronts, if the settings configure replication.
    fn replicate(&self, id: SessionId, effects: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get(&id).filter(|_| self.config.replica.is_some()) else { return };
        let Some(p) = &session.playing else { return };
        let copy = SessionCopy {
            viewer: session.request.viewer.0,
            class: session.request.class,
            title: session.request.title.0,
            publish: session.request.publish,
            rung: session.rung,
            node: p.node.0,
            path: p.path.clone(),
            resource: p.resource.clone(),
        };
        effects.push(Effect::Replicate(id.0, Some(copy)));
    }

    /// Ends a playing session. `delete_upstream`: deletes it at its node. `notice`: event name and reason sent to the
    /// viewer.
    fn end_playing(
        &mut self,
        id: SessionId,
        outcome: Outcome,
        delete_upstream: bool,
        notice: Option<(&'static str, &str)>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let Some(p) = session.playing else { return };
        if self.config.replica.is_some() {
            effects.push(Effect::Replicate(id.0, None));
        }
        self.viewers.release(session.request.viewer, id);
        self.reservations.session_ended(id.0);
        self.resources.remove(&p.resource);
        if let Some(state) = self.nodes.get_mut(&p.node) {
            state.playing.remove(&p.path);
        }
        if let Some((event, reason)) = notice {
            effects.push(Effect::NotifyViewer(
                p.resource.clone(),
                event,
                format!("{{\"reason\":\"{reason}\"}}"),
            ));
        }
        effects.push(Effect::CloseEventStream(p.resource));
        if delete_upstream {
            effects.push(Effect::DeleteUpstream(p.node, p.path));
        }
        self.pending_events.push_back(Event::Ended {
            session: id,
            server: p.node,
            outcome,
            is_final: true,
            report: Vec::new(),
        });
        if session.request.publish && self.publishers.get(&session.request.title) == Some(&id) {
            self.publishers.remove(&session.request.title);
            let viewers = self.sessions.values().filter(|s| s.request.title == session.request.title);
            for p in viewers.filter_map(|s| s.playing.as_ref()) {
                let data = "{\"reason\":\"unpublished\"}".to_owned();
                effects.push(Effect::NotifyViewer(p.resource.clone(), "inactive", data));
            }
        }
        self.metrics.count_end(outcome);
    }

    /// Ends a session that the module moves: its viewer is notified to reconnect, and the module then places it anew.
    fn move_session(&mut self, now: Time, id: SessionId, effects: &mut Vec<Effect>) {
        let Some((resource, viewer)) = self
            .sessions
            .get(&id)
            .and_then(|s| s.playing.as_ref().map(|p| (p.resource.clone(), s.request.viewer)))
        else {
            return;
        };
        self.moved_resources.put(resource, ());
        self.returning_viewers.record(now, viewer);
        self.metrics.moves += 1;
        self.end_playing(id, Outcome::Cancelled, true, Some((EVENT_MOVE, "rack")), effects);
    }

    // ---- decision module -----------------------------------------------------------------------

    /// Passes the pending events to the module and carries out its actions, until no event is pending.
    fn process_events(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action, effects);
            }
        }
    }

    fn execute(&mut self, now: Time, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::SetUp(id, node, wait) => self.set_up(now, id, node, wait, effects),
            Action::SetRung(id, rung) => {
                let Some(session) = self.sessions.get_mut(&id) else { return };
                session.rung = rung;
                if let Some(p) = &session.playing {
                    self.metrics.rung_changes += 1;
                    effects.extend(p.layer.clone().map(|layer| Effect::SetLayer(p.node, layer, rung)));
                    self.replicate(id, effects);
                }
            }
            Action::Refuse(id, retry_after) => {
                self.end_set_up(now, id, &Answer::Refused(retry_after, Refusal::NoRoom), effects);
            }
            Action::Fail(id) => self.end_set_up(now, id, &Answer::Failed, effects),
            Action::Move(id) => self.move_session(now, id, effects),
            Action::SetTimer(after, token) => {
                self.timers.set(now.saturating_add(after), Timer::Module(token));
            }
            Action::Log(line) => effects.push(Effect::Log(line)),
            Action::Probe(node) => effects.push(Effect::Probe(node)),
            // The settings of a front do not allow the module to request the list of nodes.
            Action::WatchList => {}
        }
    }

    /// Ends a set-up that the module has refused or failed, and answers all requests that wait for it.
    fn end_set_up(&mut self, now: Time, id: SessionId, answer: &Answer, effects: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let (viewer, tickets) = (session.request.viewer, std::mem::take(&mut session.tickets));
        self.viewers.release(viewer, id);
        self.returning_viewers.record(now, viewer);
        for ticket in tickets {
            self.answer(ticket, answer.clone(), effects);
        }
        self.sessions.remove(&id);
    }
}

#[cfg(test)]
mod tests;
