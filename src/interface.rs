//! The interface of the decision module: settings, events and actions.
//!
//! A front creates one [`Controller`](crate::Controller) from [`Settings`], passes it every [`Event`] as it
//! happens and carries out the returned [`Action`]s in order. This file holds data types and the checks of
//! settings; the decisions are in `decide.rs`.

use std::fmt;

/// A time on the front's own clock, or a duration, in nanoseconds.
pub type Time = u64;

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty)),* $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A playout server.
    ServerId(u32),
    /// A request for a session, and the session that results from it.
    SessionId(u64),
    /// The title that a session plays.
    TitleId(u64),
    /// A viewer; the same key when the viewer reconnects.
    ViewerKey(u64),
    /// Index into [`Settings::classes`].
    ClassId(u16),
    /// Index into [`Settings::tenants`].
    TenantId(u16),
    /// A location of servers and fronts.
    ZoneId(u16),
    /// Index into [`Settings::kind_max_streams`].
    KindId(u16),
    /// Capacity reserved for an announced peak.
    ReservationId(u64),
}

/// Whether a set-up may be sent again after an attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A set-up may be repeated at any time.
    Idempotent,
    /// A set-up may be repeated only if every earlier attempt provably never ran.
    AtMostOnce,
    /// Servers discard duplicates: after an attempt that may have run, a set-up may be repeated only within
    /// this scope of its server and for this long after it was sent.
    Deduplicated(DedupScope, Time),
}

/// The servers that share a record of set-ups and so recognise a duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// Servers of the same zone.
    Zone,
    /// Servers of the same cell.
    Cell,
}

/// One class of sessions.
#[derive(Clone, Debug)]
pub struct Class {
    /// A set-up should complete within this time.
    pub set_up_target: Time,
    /// Whether a set-up may be repeated.
    pub idempotency: Idempotency,
    /// Worth of one second on a rung of worth 1.
    pub value: f64,
    /// Factor on the rates of the ladder.
    pub rate_scale: f64,
    /// Lowest rung allowed.
    pub lowest_rung: u8,
    /// Highest rung allowed.
    pub highest_rung: u8,
    /// Sessions of one title that a front may have at a time; 0 means no limit.
    pub max_sessions_per_title: u32,
    /// The titles are live, so viewers on the same rung can share a stream.
    pub live: bool,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all fronts, within the tenant's share.
    pub quota_per_s: f64,
}

/// One rung of the ladder of rates.
#[derive(Clone, Copy, Debug)]
pub struct Rung {
    /// Rate in kB/s, before the class's factor.
    pub kb: f64,
    /// Worth of one second, before the class's value.
    pub worth: f64,
}

/// The meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Streams that the server runs or is setting up.
    Streams,
    /// Link demand over link capacity, capped at 1.
    LinkCapped,
    /// Link demand over link capacity, uncapped.
    Link,
    /// Demand on the rack's uplink over its capacity, uncapped.
    Uplink,
    /// A value that the module does not use.
    Other,
}

/// Retry budget: limits retries, the attempts after a request's first, to a share of the requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed in a window regardless of the number of requests.
    pub min_retries: f64,
    /// Retries allowed for each request in the window.
    pub retry_ratio: f64,
    /// Length of the window in which retries and requests are counted.
    pub window: Time,
}

/// The parameters of the six rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Share of its capacity that a server has when it starts.
    pub cold_share: f64,
    /// Time from a server's start until it has its full capacity.
    pub warm_up: Time,
    /// A cold server fails when set-ups arrive at this multiple of its pace for the time `overload_window`. Its
    /// pace is its maximum number of streams over `warm_up`, times the share of its capacity that it has
    /// reached.
    pub overload_multiple: f64,
    /// Length of the window in which set-ups to a cold server are counted.
    pub overload_window: Time,
    /// Limit on retries; `None` means no limit.
    pub retry_budget: Option<RetryBudget>,
}

/// Costs, as fractions of the worth of one session.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// Moving a session to another server.
    pub session_move: f64,
    /// Placing a session on a server of another zone.
    pub cross_zone: f64,
    /// Sending a probe.
    pub probe: f64,
    /// Opening a connection for a set-up.
    pub handshake: f64,
}

/// Settings of one front, given at the start and replaced by
/// [`Controller::apply_settings`](crate::Controller::apply_settings).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of fronts.
    pub fronts: u32,
    /// This front's zone.
    pub zone: ZoneId,
    /// Classes of sessions.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a session beyond its tenant's share, as a fraction of the usual worth.
    pub over_share_worth: f64,
    /// The ladder, lowest rung first.
    pub ladder: Vec<Rung>,
    /// Maximum number of streams on a server, for each kind of server.
    pub kind_max_streams: Vec<f64>,
    /// Number of racks; a server's rack is its cell modulo this number.
    pub racks: u32,
    /// Number of cells.
    pub cells: u32,
    /// Mean capacity of a rack's uplink, kB/s.
    pub uplink_kb: f64,
    /// Approximate capacity of a server's link for each unit of its weight, kB/s; 0 if unknown.
    pub kb_per_weight: f64,
    /// Total capacity of all links at the start, kB/s.
    pub all_links_kb: f64,
    /// Demand that a further viewer adds to a shared live stream, as a fraction of the rate; 1 means that
    /// streams are not shared.
    pub shared_stream_share: f64,
    /// Link use from which a server refuses set-ups; 0 means that servers never refuse for this reason.
    pub link_refusal_threshold: f64,
    /// Delay of notifications from servers.
    pub notification_delay: Time,
    /// Cost of a change of rung, in seconds of worth.
    pub switch_cost_s: f64,
    /// The values of a load report, in order.
    pub gauges: Vec<Gauge>,
    /// Probes are allowed.
    pub probes: bool,
    /// Refusals carry a retry-after time.
    pub send_retry_after: bool,
    /// Longest retry-after time that viewers respect.
    pub max_retry_after: Time,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The list of servers is sent only to fronts that subscribe to it.
    pub list_on_request: bool,
    /// Minimum time between two events.
    pub min_event_interval: Time,
    /// Time after which an unused connection to a server is closed; 0 if unknown.
    pub connection_idle_timeout: Time,
    /// Costs.
    pub prices: Prices,
    /// Parameters of the six rules.
    pub rules: Rules,
}

/// Why settings were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Returns an error with the formatted message if the condition is false.
macro_rules! ensure {
    ($condition:expr, $($message:tt)+) => {
        let condition: bool = $condition;
        if !condition {
            return Err(SettingsError(format!($($message)+)));
        }
    };
}

/// Returns an error if a value that cannot change in a running front differs.
fn ensure_unchanged<T: PartialEq + fmt::Debug>(
    name: &str,
    current: &T,
    next: &T,
) -> Result<(), SettingsError> {
    ensure!(
        current == next,
        "{name} cannot change in a running front: it is {current:?}, the new one {next:?}"
    );
    Ok(())
}

impl Settings {
    /// Checks that each value is in range and that the values agree with one another.
    ///
    /// # Errors
    /// Names the first value that is missing, out of range or inconsistent with another.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let is_share = |x: f64| (0.0..=1.0).contains(&x);
        let rungs = self.ladder.len();
        ensure!(rungs > 0, "the ladder has no rungs; at least 1 is needed");
        ensure!(rungs < 256, "the ladder has {rungs} rungs; at most 255 are allowed");
        for (i, rung) in self.ladder.iter().enumerate() {
            ensure!(positive(rung.kb), "rung {i}: the rate {} kB/s is not a positive number", rung.kb);
            ensure!(rung.worth.is_finite(), "rung {i}: the worth {} is not a finite number", rung.worth);
        }
        for (i, pair) in self.ladder.windows(2).enumerate() {
            let (below, rate) = (pair[0].kb, pair[1].kb);
            ensure!(below < rate, "rung {}: the rate {rate} kB/s is not above {below} of rung {i}", i + 1);
        }
        ensure!(self.racks > 0, "there are no racks; at least 1 is needed");
        ensure!(self.cells > 0, "there are no cells; at least 1 is needed");
        ensure!(self.fronts > 0, "there are no fronts; at least 1 is needed");
        ensure!(!self.classes.is_empty(), "there are no classes; at least 1 is needed");
        for (i, class) in self.classes.iter().enumerate() {
            let (scale, value) = (class.rate_scale, class.value);
            ensure!(positive(scale), "class {i}: the factor on rates {scale} is not a positive number");
            ensure!(positive(value), "class {i}: the value {value} is not a positive number");
        }
        for (i, class) in self.classes.iter().enumerate() {
            let (lowest, highest) = (class.lowest_rung, class.highest_rung);
            ensure!(
                usize::from(lowest) < rungs,
                "class {i}: the lowest rung {lowest} is not in the ladder; its highest is {}",
                rungs - 1
            );
            ensure!(lowest <= highest, "class {i}: the lowest rung {lowest} is above the highest, {highest}");
        }
        ensure!(
            positive(self.uplink_kb),
            "the uplink capacity {} kB/s is not a positive number",
            self.uplink_kb
        );
        ensure!(
            positive(self.all_links_kb) || positive(self.kb_per_weight),
            "the links have no capacity: neither the total {} kB/s nor the capacity per weight {} kB/s is a \
             positive number",
            self.all_links_kb,
            self.kb_per_weight
        );
        ensure!(
            is_share(self.shared_stream_share),
            "the share of a further viewer of a shared stream, {}, is not between 0 and 1",
            self.shared_stream_share
        );
        ensure!(
            is_share(self.rules.cold_share),
            "the cold share {} is not between 0 and 1",
            self.rules.cold_share
        );
        ensure!(
            positive(self.rules.overload_multiple),
            "the overload multiple {} of a cold server is not a positive number",
            self.rules.overload_multiple
        );
        ensure!(!self.kind_max_streams.is_empty(), "there are no kinds of server; at least 1 is needed");
        for (i, streams) in self.kind_max_streams.iter().enumerate() {
            ensure!(
                positive(*streams),
                "kind {i}: the maximum of {streams} streams is not a positive number"
            );
        }
        Ok(())
    }

    /// Checks that a running front can change to the `next` settings. Accounts are kept by rack, cell, zone,
    /// number of fronts, gauge and kind, so these cannot change. Classes and tenants are identified by their
    /// index, so none may be removed.
    ///
    /// # Errors
    /// Names the first value that cannot change.
    pub fn validate_change(&self, next: &Self) -> Result<(), SettingsError> {
        ensure_unchanged("the number of racks", &self.racks, &next.racks)?;
        ensure_unchanged("the number of cells", &self.cells, &next.cells)?;
        ensure_unchanged("the zone", &self.zone.0, &next.zone.0)?;
        ensure_unchanged("the number of fronts", &self.fronts, &next.fronts)?;
        ensure_unchanged("the list of gauges", &self.gauges, &next.gauges)?;
        ensure_unchanged(
            "the number of kinds of server",
            &self.kind_max_streams.len(),
            &next.kind_max_streams.len(),
        )?;
        ensure_unchanged(
            "whether the list of servers is sent on request",
            &self.list_on_request,
            &next.list_on_request,
        )?;
        let (classes, tenants) = (self.classes.len(), self.tenants.len());
        ensure!(
            classes <= next.classes.len(),
            "{} classes, fewer than the {classes} in use; classes are identified by index, so none can be \
             removed",
            next.classes.len()
        );
        ensure!(
            tenants <= next.tenants.len(),
            "{} tenants, fewer than the {tenants} in use; tenants are identified by index, so none can be \
             removed",
            next.tenants.len()
        );
        Ok(())
    }
}

/// A server's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts set-ups.
    Ready,
    /// Finishes its sessions and accepts no set-ups.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its weight, or a substitute where the list has none.
    pub weight: f64,
    /// When it last started; `None` means so long ago that it is warm.
    pub started: Option<Time>,
}

/// What a viewer asks for, in a request or for a session that was already playing.
#[derive(Clone, Copy)]
pub struct SessionSpec {
    /// The viewer.
    pub viewer: ViewerKey,
    /// The class.
    pub class: ClassId,
    /// The tenant.
    pub tenant: TenantId,
    /// The title.
    pub title: TitleId,
    /// First of the consecutive cells that store the title.
    pub first_cell: f64,
    /// Number of consecutive cells that store the title.
    pub cell_count: f64,
    /// Highest rung that the viewer can play.
    pub highest_rung: f64,
    /// Time that the viewer waits for the session at most.
    pub max_wait: Time,
    /// Estimate of the session's length, if there is one.
    pub expected_length: Option<Time>,
    /// The viewer has asked before and reconnects.
    pub reconnect: bool,
}

/// Prints the former names of the type and its fields: the platform's trace of inputs contains this text.
impl fmt::Debug for SessionSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Wish")
            .field("viewer", &self.viewer)
            .field("class", &self.class)
            .field("tenant", &self.tenant)
            .field("title", &self.title)
            .field("home", &self.first_cell)
            .field("copies", &self.cell_count)
            .field("top", &self.highest_rung)
            .field("patience", &self.max_wait)
            .field("length", &self.expected_length)
            .field("again", &self.reconnect)
            .finish()
    }
}

/// How an attempt or a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Played to its end.
    Served,
    /// The server answered with an error.
    Error,
    /// The server refused it without starting work on it.
    Full,
    /// No answer before the time-out.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke because the server failed.
    Broken,
    /// The connection broke, but the server still runs.
    LinkBroken,
    /// Cancelled, moved, or left by the viewer.
    Cancelled,
    /// Never sent.
    Unsent,
}

impl Outcome {
    /// The outcome proves that the attempt never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Unsent)
    }
}

/// The value that a notification about a session carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationKind {
    /// Share of their rates that sessions on the server receive.
    Delivered,
    /// The rung in force.
    Rung,
    /// Link demand over link capacity.
    LinkUse,
    /// Demand on the rack's uplink over its capacity.
    UplinkUse,
}

/// Capacity reserved for viewers who are expected for some titles. For all other sessions it counts as
/// demand. A reservation replaces the former one of its [`ReservationId`]; one without capacity releases it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reservation {
    /// The titles.
    pub titles: Vec<TitleId>,
    /// Part of the reservation for one viewer, kB/s. Above the entry rung a newcomer may use this much of it;
    /// the rest is left for later viewers.
    pub per_viewer_kb: f64,
    /// Reserved capacity on each server, kB/s.
    pub servers: Vec<(ServerId, f64)>,
}

/// An input of the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete list of servers; a server that is missing is gone.
    ListFull(Vec<ServerEntry>),
    /// Entries that changed.
    ListChanged(Vec<ServerEntry>),
    /// The list could not be fetched.
    ListFailed,
    /// A viewer asks for a session.
    Request(SessionId, SessionSpec),
    /// A session that was already playing on the server when the front started.
    Adopted(SessionId, SessionSpec, ServerId),
    /// The session plays.
    Started(SessionId, ServerId),
    /// An attempt, or the session that resulted from it, ended.
    Ended {
        /// The session.
        session: SessionId,
        /// The server of the attempt.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The viewer needs no further answer; otherwise the request is tried again or gets its final answer.
        is_final: bool,
        /// The server's load report, in the order of [`Settings::gauges`]; may be empty.
        report: Vec<f64>,
    },
    /// The viewer left, or the request ended for another reason.
    Closed(SessionId),
    /// A server's notification about a session.
    Notification(SessionId, ServerId, NotificationKind, f64),
    /// The result of a probe: a load report, or `None` if the probe failed.
    Probed(ServerId, Option<Vec<f64>>),
    /// A load report that another front received, with its age, in the order of [`Settings::gauges`].
    PeerReport(ServerId, Time, Vec<f64>),
    /// A reservation was made, replaced or released.
    Reserved(ReservationId, Reservation),
    /// A message from another front.
    Message(u16, Vec<u8>),
    /// A timer set by [`Action::SetTimer`] expired; the value is its token.
    Timer(u64),
}

/// An output of the controller, to be carried out by the front.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up to this server and wait for the answer at most this long.
    SetUp(SessionId, ServerId, Time),
    /// Set the session's rung.
    SetRung(SessionId, u8),
    /// Refuse the request, with a retry-after time.
    Refuse(SessionId, Option<Time>),
    /// Answer that the session failed.
    Fail(SessionId),
    /// End the playing session so that the viewer reconnects and is placed elsewhere.
    Move(SessionId),
    /// Probe this server.
    Probe(ServerId),
    /// Subscribe to the list of servers.
    WatchList,
    /// Set a timer: its duration and its token.
    SetTimer(Time, u64),
    /// Write a line to the log.
    Log(String),
}

/// State of a server as the controller estimates it, for display only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// The last list entry.
    pub entry: ServerEntry,
    /// The server's rack.
    pub rack: u32,
    /// Number of this front's sessions there.
    pub sessions: usize,
    /// Sum of their rates in force, kB/s.
    pub own_kb: f64,
    /// Estimated use of its link; 1 is full.
    pub link_use: f64,
    /// Estimated share of its capacity that it has reached since its start.
    pub warmth: f64,
    /// The server is skipped while another one that stores the title is healthy.
    pub barred: bool,
}

/// State of a rack as the controller estimates it, for display only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RackView {
    /// The rack's number.
    pub rack: u32,
    /// Forecast demand over the uplink's capacity.
    pub forecast: f64,
    /// Estimated use of the uplink; 1 is full.
    pub uplink_use: f64,
    /// The rack is alerted when the forecast exceeds this.
    pub mark: f64,
    /// An alert is in force.
    pub alerted: bool,
}
