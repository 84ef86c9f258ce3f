//! The engine: one state machine around the decision module, without I/O.
//!
//! [`Input`]s go in with the time, [`Effect`]s come out. The same code runs on sockets (`shell`) and under a
//! test's clock. It decides nothing of placement: that is the [`Controller`]'s. Its own are the accounts:
//! one answer a ticket, one session a viewer, and attempts that are out until the node or the connection
//! says otherwise.
//!
//! An attempt that times out is closed in three steps: the sending side of its connection is shut, the node
//! is heard out for a short grace (a late 201 is deleted there), then the connection is reset. Only after
//! that does the module hear of the time-out, so that no further attempt can go out beside it.

mod load_reports;
mod metrics;
mod peaks;
mod policy;
mod reconcile;
pub mod types;
mod view;
pub mod viewers;

pub use load_reports::incarnation;
pub use metrics::Metrics;
use pepperhook::{
    Action, ClassId, Controller, Event, Gauge, NotificationKind, Outcome, ServerId, ServerState, SessionId,
    SessionSpec, SettingsError, TenantId, Time, TitleId, ViewerKey,
};
use pepperhook_inventory::Node;
use pepperhook_net::Timers;
use pepperhook_peaks::Holds;
use pepperhook_settings::Config;
use pepperhook_signalling::{Direction, EVENT_MOVE, LoadReport, Offer};
pub use policy::PolicyStatus;
use policy::{Policies, Promise};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::rc::Rc;
use types::*;
pub use view::{DutyStatus, NodeRow, RackRow, ReplicaStatus, Snapshot};
use viewers::{Admission, Phase, ReturningViewers, ViewerSessions};

/// What is due at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    /// A timer of the module.
    Module(u64),
    /// The attempt's time is up.
    AttemptTime(AttemptId),
    /// The node was heard out long enough.
    AttemptReset(AttemptId),
    /// Holds are planned anew.
    Holds,
    /// The last moment at which a ticket can be answered in time.
    Backstop(Ticket),
}

/// A session as long as the front holds it.
struct Live {
    ask: SessionRequest,
    tickets: Vec<Ticket>,
    attempts: u32,
    rung: u8,
    taken: Time,
    promise: Promise,
    /// The attempt that is out.
    out: Option<AttemptId>,
    playing: Option<Playing>,
}

/// Where a session plays.
struct Playing {
    node: ServerId,
    path: String,
    events: Option<String>,
    layer: Option<String>,
    resource: String,
    answer: Answer,
    /// The ICE session after a restart: the viewer's user fragment and the entity tag.
    restarted: Option<(String, Option<String>)>,
}

/// An attempt until the node or the connection has said how it ended.
struct Attempt {
    node: ServerId,
    viewer: ViewerKey,
    /// Being closed, and how it counts then.
    closing: Option<Outcome>,
}

/// A request that waits for the closing of an earlier attempt of its viewer.
struct Parked {
    ticket: Ticket,
    ask: SessionRequest,
    taken: Time,
    /// The viewer's, by the policy of then.
    patience: Time,
}

/// A node as the front knows it.
struct NodeState {
    node: Node,
    /// Sessions that play there, by their path at the node.
    playing: BTreeMap<String, SessionId>,
    /// The session whose event stream is open or being opened.
    subscribed: Option<String>,
    /// When it was last seen how full it is.
    read: Option<Time>,
    /// Where its last list of sessions and this front differ.
    odds: reconcile::Odds,
}

/// The state machine of one front.
pub struct Engine {
    config: Rc<Config>,
    controller: Controller,
    rng: StdRng,
    next_session: u64,
    live: BTreeMap<SessionId, Live>,
    attempts: BTreeMap<AttemptId, Attempt>,
    tickets: BTreeMap<Ticket, SessionId>,
    parked: BTreeMap<ViewerKey, Parked>,
    resources: HashMap<String, SessionId>,
    moved: lru::LruCache<String, ()>,
    published: BTreeMap<TitleId, SessionId>,
    nodes: BTreeMap<ServerId, NodeState>,
    viewers: ViewerSessions,
    holds: Holds,
    /// A timer for the next plan is set.
    planned: bool,
    returning: ReturningViewers,
    policies: Policies,
    timers: Timers<Wake>,
    pending: VecDeque<Event>,
    stopping: bool,
    metrics: Metrics,
}

/// Resources of moved sessions that are remembered, to tell their viewers so.
const MOVED_KEPT: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();
/// Viewers who may come again that are remembered.
const RETURNING_KEPT: NonZeroUsize = NonZeroUsize::new(65_536).unwrap();

impl Engine {
    /// An engine without nodes; the seed drives ties of the module and names of sessions.
    ///
    /// # Errors
    /// When the settings of the module do not agree with one another.
    pub fn new(config: Rc<Config>, seed: u64) -> Result<Self, SettingsError> {
        let mut rng = StdRng::seed_from_u64(seed);
        Ok(Self {
            controller: Controller::new(config.decisions.clone(), rng.next_u64())?,
            // Session numbers of two runs of a front differ, so that nothing late can be taken for its own.
            next_session: rng.next_u64() >> 16,
            rng,
            live: BTreeMap::new(),
            attempts: BTreeMap::new(),
            tickets: BTreeMap::new(),
            parked: BTreeMap::new(),
            resources: HashMap::new(),
            moved: lru::LruCache::new(MOVED_KEPT),
            published: BTreeMap::new(),
            nodes: BTreeMap::new(),
            viewers: ViewerSessions::default(),
            holds: peaks::holds(&config),
            planned: false,
            returning: ReturningViewers::new(RETURNING_KEPT),
            policies: Policies::default(),
            timers: Timers::default(),
            pending: VecDeque::new(),
            stopping: false,
            metrics: Metrics::new(config.classes.iter().map(|c| c.name.clone()).collect()),
            config,
        })
    }

    // ---- what comes in -------------------------------------------------------------------------

    /// Takes in one input and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Post(ticket, ask) => self.post(now, ticket, ask, out),
            Input::Disconnected(ticket) => self.left(now, ticket, out),
            Input::Delete(ticket, resource) => self.delete(ticket, &resource, out),
            Input::AttemptEnded(id, node, end) => self.attempt_ended(now, id, node, end, out),
            Input::Undelivered(resource) => {
                if let Some(id) = self.resources.get(&resource).copied() {
                    self.end_playing(id, Outcome::Cancelled, true, None, out);
                }
            }
            Input::Nodes(nodes) => self.list(nodes),
            Input::NodeEvent(node, news) => self.news(now, node, news, out),
            Input::StreamEnded(node, how) => self.stream_ended(node, how, out),
            Input::Peak(peak) => self.take_peak(now, peak),
            Input::IceRestarted(resource, ufrag, etag) => {
                let live = self.resources.get(&resource).and_then(|id| self.live.get_mut(id));
                if let Some(p) = live.and_then(|l| l.playing.as_mut()) {
                    p.restarted = Some((ufrag, etag));
                }
            }
            Input::SessionList(node, listed) => self.reconcile(node, &listed, out),
            Input::Probed(node, load) => self.probed(now, node, load),
            Input::PeerReport(node, incarnation, age, load) => self.seen(now, node, incarnation, age, &load),
            Input::Policy { version, settings, classes, tenants } => {
                self.take_policy(now, version, *settings, (&classes, &tenants), out);
            }
            Input::Fenced(fenced) => self.fence(fenced, out),
        }
        self.run(now, out);
    }

    /// The moment of the next timer.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.next_at()
    }

    /// Runs the timers that are due.
    pub fn wake(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(wake) = self.timers.pop_due(now) {
            match wake {
                Wake::Module(token) => self.pending.push_back(Event::Timer(token)),
                Wake::AttemptTime(id) => self.close_attempt(now, id, Outcome::TimedOut, out),
                Wake::AttemptReset(id) => {
                    if self.attempts.get(&id).is_some_and(|a| a.closing.is_some()) {
                        out.push(Effect::ResetAttempt(id));
                        self.attempt_closed(now, id, LoadReport::default(), out);
                    }
                }
                Wake::Backstop(ticket) => self.backstop(now, ticket, out),
                Wake::Holds => self.step_holds(now),
            }
            self.run(now, out);
        }
    }

    /// From now on new requests are refused.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// No request waits for an answer and no attempt is out.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.tickets.is_empty() && self.parked.is_empty() && self.attempts.is_empty()
    }

    /// Ends all sessions, as the front goes: their viewers are told to come again elsewhere.
    pub fn end_all(&mut self, now: Time, out: &mut Vec<Effect>) {
        let playing: Vec<SessionId> =
            self.live.iter().filter(|(_, l)| l.playing.is_some()).map(|(id, _)| *id).collect();
        for id in playing {
            self.end_playing(id, Outcome::Cancelled, true, Some((EVENT_MOVE, "stopping")), out);
        }
        self.run(now, out);
    }

    /// Where a request on a session's resource goes.
    #[must_use]
    pub fn route(&self, resource: &str) -> Route {
        let playing =
            self.resources.get(resource).and_then(|id| self.live.get(id)).and_then(|l| l.playing.as_ref());
        match playing {
            Some(p) => Route::Node(p.node, p.path.clone()),
            None if self.moved.contains(resource) => Route::Moved,
            None => Route::Unknown,
        }
    }

    /// The running ICE session of a session: the viewer's user fragment, and the entity tag that names it.
    #[must_use]
    pub fn ice_session(&self, resource: &str) -> Option<(String, Option<String>)> {
        let live = self.resources.get(resource).and_then(|id| self.live.get(id))?;
        let p = live.playing.as_ref()?;
        let Answer::Created { etag, .. } = &p.answer else { return None };
        let way = if live.ask.publish { Direction::Send } else { Direction::Receive };
        let begun = || Some((Offer::parse(&live.ask.offer, way).ok()?.ufrag, etag.clone()));
        p.restarted.clone().or_else(begun)
    }

    /// The nodes of the list.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().map(|n| &n.node)
    }

    /// A node's address and name.
    #[must_use]
    pub fn node(&self, id: ServerId) -> Option<&Node> {
        self.nodes.get(&id).map(|n| &n.node)
    }

    /// Counters and histograms since the start.
    pub fn metrics(&mut self) -> &mut Metrics {
        &mut self.metrics
    }

    // ---- requests ------------------------------------------------------------------------------

    fn post(&mut self, now: Time, ticket: Ticket, ask: SessionRequest, out: &mut Vec<Effect>) {
        let limits = self.config.limits;
        let advice = self.config.decisions.send_retry_after.then_some(self.config.decisions.max_retry_after);
        let full =
            self.tickets.len() + self.parked.len() >= limits.waiting || self.live.len() >= limits.sessions;
        let refusal = match (self.stopping, full) {
            (true, _) => Some(Refusal::Stopping),
            (_, true) => Some(Refusal::Overload),
            _ => None,
        };
        self.metrics.requests += 1;
        if let Some(why) = refusal {
            return self.answer(ticket, Answer::Refused(advice, why), out);
        }
        let patience = self.patience(ask.class);
        if let Some(answer) = self.bars(&ask).or_else(|| self.at_odds_with_publisher(&ask)) {
            return self.answer(ticket, answer, out);
        }
        match self.viewers.admit(ask.viewer, ask.offer_hash) {
            Admission::Start => self.begin(now, now, ticket, ask, patience, out),
            Admission::Join(id) => {
                if let Some(live) = self.live.get_mut(&id) {
                    live.tickets.push(ticket);
                    let patience = live.promise.patience;
                    self.tickets.insert(ticket, id);
                    self.backstop_at(now, ticket, patience);
                }
            }
            Admission::RepeatAnswer(id) => {
                let answer = self.live.get(&id).and_then(|l| l.playing.as_ref()).map(|p| p.answer.clone());
                self.tickets.insert(ticket, id);
                self.answer(ticket, answer.unwrap_or(Answer::Failed), out);
            }
            Admission::Replace(id, Phase::Playing) => {
                self.end_playing(id, Outcome::Cancelled, true, None, out);
                self.run(now, out);
                self.begin(now, now, ticket, ask, patience, out);
            }
            Admission::Replace(id, Phase::SettingUp) => {
                self.give_up(now, id, Answer::Superseded, out);
                self.run(now, out);
                // If an attempt was out it is now being closed, and the newer request waits for that.
                match self.viewers.admit(ask.viewer, ask.offer_hash) {
                    Admission::Park => self.park(now, ticket, ask, out),
                    _ => self.begin(now, now, ticket, ask, patience, out),
                }
            }
            Admission::Park => self.park(now, ticket, ask, out),
            Admission::TooManyWaiting => {
                self.answer(ticket, Answer::Refused(advice, Refusal::TooManyCopies), out)
            }
        }
    }

    /// A live title is watched while somebody publishes it, and published by one.
    fn at_odds_with_publisher(&self, ask: &SessionRequest) -> Option<Answer> {
        let publisher = self.published.get(&ask.title).and_then(|id| self.live.get(id));
        let ours = publisher.is_some_and(|p| p.ask.viewer == ask.viewer);
        let ingest = self.config.classes.iter().any(|c| c.ingest);
        let live = self.config.decisions.classes.get(usize::from(ask.class)).is_some_and(|c| c.live);
        match (ask.publish, publisher) {
            (true, Some(_)) if !ours => Some(Answer::AlreadyPublished),
            (false, None) if live && ingest => Some(Answer::NotPublished),
            _ => None,
        }
    }

    fn park(&mut self, now: Time, ticket: Ticket, ask: SessionRequest, out: &mut Vec<Effect>) {
        let patience = self.patience(ask.class);
        self.backstop_at(now, ticket, patience);
        if let Some(older) = self.parked.insert(ask.viewer, Parked { ticket, ask, taken: now, patience }) {
            self.answer(older.ticket, Answer::Superseded, out);
        }
    }

    /// A request no longer waits for the closing of an earlier attempt; false if it did not.
    fn unpark(&mut self, ticket: Ticket) -> bool {
        let key = self.parked.iter().find(|(_, p)| p.ticket == ticket).map(|(key, _)| *key);
        key.and_then(|key| self.parked.remove(&key)).is_some()
    }

    /// What a viewer's patience leaves for the set-up, the margin taken off.
    fn patience(&self, class: u16) -> Time {
        let patience = self.config.classes.get(usize::from(class)).map_or(0, |c| c.patience);
        patience.saturating_sub(self.config.answer_margin)
    }

    fn backstop_at(&mut self, taken: Time, ticket: Ticket, patience: Time) {
        let at = taken.saturating_add(patience).saturating_add(self.config.answer_margin / 2);
        self.timers.set(at, Wake::Backstop(ticket));
    }

    /// A set-up begins, for a viewer who has been here since `taken` and waits so long from then.
    fn begin(
        &mut self,
        now: Time,
        taken: Time,
        ticket: Ticket,
        ask: SessionRequest,
        patience: Time,
        out: &mut Vec<Effect>,
    ) {
        // Session numbers stay below 2^52 and away from the module's own timer token.
        self.next_session = (self.next_session + 1) & 0x000f_ffff_ffff_ffff;
        let id = SessionId(self.next_session);
        let again = self.returning.take_reconnect(now, ask.viewer);
        let wish = SessionSpec {
            viewer: ask.viewer,
            class: ClassId(ask.class),
            tenant: TenantId(ask.tenant),
            title: ask.title,
            first_cell: f64::from(ask.first_cell),
            cell_count: f64::from(ask.cell_count),
            highest_rung: f64::from(ask.highest_rung),
            max_wait: patience.saturating_sub(now.saturating_sub(taken)),
            expected_length: None,
            reconnect: again,
        };
        if taken == now {
            self.backstop_at(now, ticket, patience);
        }
        self.viewers.start(ask.viewer, id, ask.offer_hash);
        self.tickets.insert(ticket, id);
        let promise = Promise { patience, ..self.promise(ask.class) };
        let tickets = vec![ticket];
        let live = Live { ask, tickets, attempts: 0, rung: 0, taken, promise, out: None, playing: None };
        self.live.insert(id, live);
        self.pending.push_back(Event::Request(id, wish));
        self.run(now, out);
    }

    /// The connection of a waiting request closed: when nobody waits any more, the set-up is called off.
    fn left(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Effect>) {
        self.metrics.disconnected += 1;
        if self.unpark(ticket) {
            return;
        }
        let Some(id) = self.tickets.remove(&ticket) else { return };
        let Some(live) = self.live.get_mut(&id) else { return };
        live.tickets.retain(|t| *t != ticket);
        if self.viewers.remove_waiter(live.ask.viewer, id) && live.playing.is_none() {
            self.call_off(now, id, out);
        }
    }

    /// Rule 1's last guard: whatever happened to a request, it is answered before its viewer gives up.
    fn backstop(&mut self, now: Time, ticket: Ticket, out: &mut Vec<Effect>) {
        if self.unpark(ticket) {
            self.metrics.overdue_answers += 1;
            return self.answer(ticket, Answer::Failed, out);
        }
        let Some(id) = self.tickets.get(&ticket).copied() else { return };
        self.metrics.overdue_answers += 1;
        let Some(live) = self.live.get_mut(&id) else { return };
        live.tickets.retain(|t| *t != ticket);
        let viewer = live.ask.viewer;
        self.answer(ticket, Answer::Failed, out);
        if self.viewers.remove_waiter(viewer, id) {
            self.call_off(now, id, out);
        }
    }

    /// Answers all who wait for a session, and calls its set-up off.
    fn give_up(&mut self, now: Time, id: SessionId, answer: Answer, out: &mut Vec<Effect>) {
        let tickets = self.live.get_mut(&id).map(|l| std::mem::take(&mut l.tickets)).unwrap_or_default();
        for ticket in tickets {
            self.answer(ticket, answer.clone(), out);
        }
        self.call_off(now, id, out);
    }

    /// Nobody waits for the session any more: the module forgets it, an attempt that is out is closed.
    fn call_off(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some(live) = self.live.remove(&id) else { return };
        self.viewers.release(live.ask.viewer, id);
        self.pending.push_back(Event::Closed(id));
        if let Some(attempt) = live.out {
            self.close_attempt(now, attempt, Outcome::Cancelled, out);
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer, out: &mut Vec<Effect>) {
        let live = self.tickets.remove(&ticket).and_then(|id| self.live.get(&id));
        let by = match (&answer, live) {
            // Decided by no policy, for want of one that holds.
            (Answer::Refused(_, Refusal::Fenced), _) => None,
            (_, Some(live)) => live.promise.version,
            _ => self.policies.version,
        };
        self.metrics.count_answer(&answer);
        out.push(Effect::Answer(ticket, answer, by));
    }

    fn delete(&mut self, ticket: Ticket, resource: &str, out: &mut Vec<Effect>) {
        let Some(id) = self.resources.get(resource).copied() else {
            let answer =
                if self.moved.pop(resource).is_some() { Answer::Ended } else { Answer::UnknownSession };
            return out.push(Effect::Answer(ticket, answer, None));
        };
        self.end_playing(id, Outcome::Served, true, None, out);
        out.push(Effect::Answer(ticket, Answer::Ended, None));
    }

    // ---- attempts ------------------------------------------------------------------------------

    fn set_up(&mut self, now: Time, id: SessionId, node: ServerId, wait: Time, out: &mut Vec<Effect>) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let attempt = AttemptId { session: id, number: live.attempts };
        live.attempts += 1;
        live.out = Some(attempt);
        let (title, publish, offer) = (live.ask.title_name.clone(), live.ask.publish, live.ask.offer.clone());
        self.attempts.insert(attempt, Attempt { node, viewer: live.ask.viewer, closing: None });
        self.timers.set(now.saturating_add(wait), Wake::AttemptTime(attempt));
        self.metrics.attempts += 1;
        self.note_age(now, node);
        out.push(Effect::SetUp { attempt, node, title, publish, offer });
    }

    /// Begins to close an attempt that is out.
    fn close_attempt(&mut self, now: Time, id: AttemptId, how: Outcome, out: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|a| a.closing.is_none()) else { return };
        attempt.closing = Some(how);
        self.viewers.attempt_closing(attempt.viewer);
        self.timers.set(now.saturating_add(self.config.close_grace), Wake::AttemptReset(id));
        out.push(Effect::CloseAttempt(id));
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        id: AttemptId,
        node: ServerId,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            // Closed and reset before: whatever was set up must not stay at the node.
            if let AttemptEnd::Created(created) = end {
                self.metrics.late_answers += 1;
                out.push(Effect::DeleteUpstream(node, created.path));
            }
            return;
        };
        let closing = attempt.closing;
        self.note_read(now, node, &end);
        if closing.is_some() {
            let mut load = LoadReport::default();
            if let AttemptEnd::Created(created) = end {
                self.metrics.late_answers += 1;
                load = created.load;
                out.push(Effect::DeleteUpstream(node, created.path));
            }
            return self.attempt_closed(now, id, load, out);
        }
        self.attempts.remove(&id);
        match end {
            AttemptEnd::Created(created) => self.created(now, id, node, created, out),
            other => {
                let report = match &other {
                    AttemptEnd::Answered(_, load) => self.gauges(load),
                    _ => Vec::new(),
                };
                self.attempt_failed(id, node, outcome(&other), report);
            }
        }
    }

    /// The node or the connection has said that a closed attempt is over.
    fn attempt_closed(&mut self, now: Time, id: AttemptId, load: LoadReport, out: &mut Vec<Effect>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let report = self.gauges(&load);
        self.attempt_failed(id, attempt.node, attempt.closing.unwrap_or(Outcome::Cancelled), report);
        if self.viewers.attempt_closed(attempt.viewer) {
            if let Some(p) = self.parked.remove(&attempt.viewer) {
                self.run(now, out);
                if self.policies.closed.contains(&p.ask.class) {
                    return self.answer(p.ticket, Answer::ClassClosed, out);
                }
                let patience = p.patience.min(self.patience(p.ask.class));
                self.begin(now, p.taken, p.ticket, p.ask, patience, out);
            }
        }
    }

    fn attempt_failed(&mut self, id: AttemptId, server: ServerId, outcome: Outcome, report: Vec<f64>) {
        let live = self.live.get_mut(&id.session).filter(|l| l.out == Some(id));
        let settled = live.map(|l| l.out = None).is_none();
        self.metrics.count_failure(outcome);
        self.pending.push_back(Event::Ended {
            session: id.session,
            server,
            outcome,
            is_final: settled,
            report,
        });
    }

    /// A load report in the order of the module's gauges; what is missing counts as unreadable.
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

    fn created(&mut self, now: Time, id: AttemptId, node: ServerId, c: Created, out: &mut Vec<Effect>) {
        let session = id.session;
        let resource = format!("{:016x}{:016x}", self.rng.next_u64(), self.rng.next_u64());
        let Some(live) = self.live.get_mut(&session).filter(|l| l.out == Some(id)) else {
            // Its viewer is gone: nothing of it may stay at the node.
            out.push(Effect::DeleteUpstream(node, c.path));
            return self.attempt_failed(id, node, Outcome::Cancelled, Vec::new());
        };
        live.out = None;
        let (etag, ice) = (c.etag, c.ice);
        let answer = Answer::Created { resource: resource.clone(), etag, sdp: c.answer, ice };
        let (rung, layer) = (live.rung, c.layer.clone());
        let tickets = std::mem::take(&mut live.tickets);
        let (viewer, title, publish, class) =
            (live.ask.viewer, live.ask.title, live.ask.publish, live.ask.class);
        let (took, aim) = (now.saturating_sub(live.taken), live.promise.aim);
        live.playing = Some(Playing {
            node,
            path: c.path.clone(),
            events: c.events,
            layer: c.layer,
            resource: resource.clone(),
            answer: answer.clone(),
            restarted: None,
        });
        self.viewers.set_playing(viewer, session);
        self.resources.insert(resource, session);
        if publish {
            self.published.insert(title, session);
        }
        if let Some(state) = self.nodes.get_mut(&node) {
            state.playing.insert(c.path, session);
        }
        self.metrics.record_set_up(class, took, aim);
        for ticket in tickets {
            self.answer(ticket, answer.clone(), out);
        }
        self.copy(session, out);
        // A node starts at the lowest rung.
        if let Some(layer) = layer.filter(|_| rung > 0) {
            out.push(Effect::SetLayer(node, layer, rung));
        }
        self.came(session);
        self.pending.push_back(Event::Started(session, node));
        for (metric, kind) in [("link", NotificationKind::LinkUse), ("uplink", NotificationKind::UplinkUse)] {
            if let Some(value) = c.load.get(metric) {
                self.pending.push_back(Event::Notification(session, node, kind, value));
            }
        }
        self.subscribe(node, out);
    }

    // ---- sessions that play --------------------------------------------------------------------

    /// Other fronts are told of a session as it is now, where there are copies.
    fn copy(&self, id: SessionId, out: &mut Vec<Effect>) {
        let Some(live) = self.live.get(&id).filter(|_| self.config.replica.is_some()) else { return };
        let Some(p) = &live.playing else { return };
        let copied = SessionCopy {
            viewer: live.ask.viewer.0,
            class: live.ask.class,
            title: live.ask.title.0,
            publish: live.ask.publish,
            rung: live.rung,
            node: p.node.0,
            path: p.path.clone(),
            resource: p.resource.clone(),
        };
        out.push(Effect::Replicate(id.0, Some(copied)));
    }

    /// Ends a session that plays. `delete`: the node is told; `tell`: so is the viewer.
    fn end_playing(
        &mut self,
        id: SessionId,
        outcome: Outcome,
        delete: bool,
        tell: Option<(&'static str, &str)>,
        out: &mut Vec<Effect>,
    ) {
        let Some(live) = self.live.remove(&id) else { return };
        let Some(p) = live.playing else { return };
        if self.config.replica.is_some() {
            out.push(Effect::Replicate(id.0, None));
        }
        self.viewers.release(live.ask.viewer, id);
        self.holds.ended(id.0);
        self.resources.remove(&p.resource);
        if let Some(state) = self.nodes.get_mut(&p.node) {
            state.playing.remove(&p.path);
        }
        if let Some((event, why)) = tell {
            out.push(Effect::NotifyViewer(p.resource.clone(), event, format!("{{\"reason\":\"{why}\"}}")));
        }
        out.push(Effect::CloseEventStream(p.resource));
        if delete {
            out.push(Effect::DeleteUpstream(p.node, p.path));
        }
        self.pending.push_back(Event::Ended {
            session: id,
            server: p.node,
            outcome,
            is_final: true,
            report: Vec::new(),
        });
        if live.ask.publish && self.published.get(&live.ask.title) == Some(&id) {
            self.published.remove(&live.ask.title);
            let watchers = self.live.values().filter(|l| l.ask.title == live.ask.title);
            for p in watchers.filter_map(|l| l.playing.as_ref()) {
                let why = "{\"reason\":\"unpublished\"}".to_owned();
                out.push(Effect::NotifyViewer(p.resource.clone(), "inactive", why));
            }
        }
        self.metrics.count_end(outcome);
    }

    fn move_away(&mut self, now: Time, id: SessionId, out: &mut Vec<Effect>) {
        let Some((resource, viewer)) =
            self.live.get(&id).and_then(|l| l.playing.as_ref().map(|p| (p.resource.clone(), l.ask.viewer)))
        else {
            return;
        };
        self.moved.put(resource, ());
        self.returning.record(now, viewer);
        self.metrics.moves += 1;
        self.end_playing(id, Outcome::Cancelled, true, Some((EVENT_MOVE, "rack")), out);
    }

    fn list(&mut self, nodes: Vec<Node>) {
        let entries = nodes.iter().map(|n| n.entry).collect();
        let named: std::collections::BTreeSet<ServerId> = nodes.iter().map(|n| n.entry.server).collect();
        for (id, state) in &mut self.nodes {
            if !named.contains(id) {
                state.node.entry.state = ServerState::Gone;
            }
        }
        // A node that left the list is forgotten once nothing of this front is there.
        let busy: std::collections::BTreeSet<ServerId> = self.attempts.values().map(|a| a.node).collect();
        self.nodes.retain(|id, s| named.contains(id) || !s.playing.is_empty() || busy.contains(id));
        for node in nodes {
            let id = node.entry.server;
            match self.nodes.get_mut(&id) {
                Some(state) => state.node = node,
                None => {
                    let state = NodeState {
                        node,
                        playing: BTreeMap::new(),
                        subscribed: None,
                        read: None,
                        odds: reconcile::Odds::default(),
                    };
                    self.nodes.insert(id, state);
                }
            }
        }
        self.pending.push_back(Event::ListFull(entries));
        self.rooms();
    }

    /// Keeps one event stream for each node on which sessions play.
    fn subscribe(&mut self, node: ServerId, out: &mut Vec<Effect>) {
        let Some(state) = self.nodes.get_mut(&node).filter(|s| s.subscribed.is_none()) else { return };
        let offered = state.playing.iter().find_map(|(path, id)| {
            let events = self.live.get(id)?.playing.as_ref()?.events.clone()?;
            Some((path.clone(), events))
        });
        if let Some((path, events)) = offered {
            state.subscribed = Some(path);
            out.push(Effect::OpenNodeEvents(node, events));
        }
    }

    fn news(&mut self, now: Time, node: ServerId, news: NodeEvent, out: &mut Vec<Effect>) {
        if matches!(news, NodeEvent::Link(_)) {
            // Such news is as late as the settings say.
            self.read_at(node, now.saturating_sub(self.config.decisions.notification_delay));
        }
        let Some(state) = self.nodes.get(&node) else { return };
        let (kind, value) = match news {
            NodeEvent::Inactive(path) => {
                if let Some(id) = state.playing.get(&path).copied() {
                    self.end_playing(id, Outcome::Served, false, Some(("inactive", "ended")), out);
                }
                return;
            }
            NodeEvent::Delivered(v) => (NotificationKind::Delivered, v),
            NodeEvent::Link(v) => (NotificationKind::LinkUse, v),
            NodeEvent::Uplink(v) => (NotificationKind::UplinkUse, v),
        };
        if let Some(id) = state.playing.values().next() {
            self.pending.push_back(Event::Notification(*id, node, kind, value));
        }
    }

    fn stream_ended(&mut self, node: ServerId, how: StreamEnd, out: &mut Vec<Effect>) {
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let Some(path) = state.subscribed.take() else { return };
        match how {
            StreamEnd::Closed => {}
            StreamEnd::SessionUnknown => {
                if let Some(id) = state.playing.get(&path).copied() {
                    self.end_playing(id, Outcome::Broken, false, Some(("inactive", "lost")), out);
                }
            }
            // Without events nothing tells of its end but the viewer.
            StreamEnd::Refused => return,
            StreamEnd::NoConnection => {
                let lost: Vec<SessionId> = state.playing.values().copied().collect();
                self.metrics.nodes_lost += 1;
                for id in lost {
                    self.end_playing(id, Outcome::Broken, false, Some(("inactive", "lost")), out);
                }
            }
        }
        self.subscribe(node, out);
    }

    // ---- the module ----------------------------------------------------------------------------

    /// Hands the module what has happened and carries out what it answers, until nothing is left.
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
            Action::SetUp(id, node, wait) => self.set_up(now, id, node, wait, out),
            Action::SetRung(id, rung) => {
                let Some(live) = self.live.get_mut(&id) else { return };
                live.rung = rung;
                if let Some(p) = &live.playing {
                    self.metrics.rung_changes += 1;
                    out.extend(p.layer.clone().map(|layer| Effect::SetLayer(p.node, layer, rung)));
                    self.copy(id, out);
                }
            }
            Action::Refuse(id, advice) => {
                self.end_unplaced(now, id, &Answer::Refused(advice, Refusal::NoRoom), out);
            }
            Action::Fail(id) => self.end_unplaced(now, id, &Answer::Failed, out),
            Action::Move(id) => self.move_away(now, id, out),
            Action::SetTimer(after, token) => {
                self.timers.set(now.saturating_add(after), Wake::Module(token));
            }
            Action::Log(line) => out.push(Effect::Log(line)),
            Action::Probe(node) => out.push(Effect::Probe(node)),
            // Settings of the product do not allow lists on request.
            Action::WatchList => {}
        }
    }

    /// The module has given its final answer to a request that plays nowhere.
    fn end_unplaced(&mut self, now: Time, id: SessionId, answer: &Answer, out: &mut Vec<Effect>) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let (viewer, tickets) = (live.ask.viewer, std::mem::take(&mut live.tickets));
        self.viewers.release(viewer, id);
        self.returning.record(now, viewer);
        for ticket in tickets {
            self.answer(ticket, answer.clone(), out);
        }
        self.live.remove(&id);
    }
}

#[cfg(test)]
mod tests;
