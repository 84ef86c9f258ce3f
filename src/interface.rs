//! The interface of the decision module: settings, events and actions, in the terms of the field.
//!
//! A front end makes one [`Controller`](crate::Controller) from [`Settings`], hands it every
//! [`Event`] as it happens and carries out the [`Action`]s that come back, in their order.
//! Nothing here decides anything.

use std::fmt;

/// A moment on the front end's own clock, or a length of time, in nanoseconds.
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
    /// One request for a session, and the session that comes of it.
    SessionId(u64),
    /// What is watched.
    TitleId(u64),
    /// The viewer's side of a session; the same when the viewer comes again.
    ViewerKey(u64),
    /// Index into [`Settings::classes`].
    ClassId(u16),
    /// Index into [`Settings::tenants`].
    TenantId(u16),
    /// A location of servers and fronts.
    ZoneId(u16),
    /// Index into [`Settings::kind_streams`].
    KindId(u16),
    /// Room that is held for an announced peak.
    HoldId(u64),
}

/// May a set-up be sent again?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Whenever it helps.
    Harmless,
    /// Only when every earlier attempt provably never ran.
    Never,
    /// After an attempt that may have run, only within a group of servers and a time.
    Within(Group, Time),
}

/// The servers among which a repeat is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
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
    /// A set-up is wanted within this time.
    pub aim: Time,
    /// May a set-up be repeated?
    pub repeat: Repeat,
    /// Worth of a second on a rung of worth 1.
    pub value: f64,
    /// Its rates over those of the ladder.
    pub scale: f64,
    /// Lowest rung allowed.
    pub floor: u8,
    /// Highest rung.
    pub top: u8,
    /// Sessions of one title that a front may hold; 0 means no cap.
    pub seats: u32,
    /// Its titles are live, so that viewers can share a stream.
    pub live: bool,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all fronts, within its share.
    pub quota_per_s: f64,
}

/// One rung of the ladder of rates.
#[derive(Clone, Copy, Debug)]
pub struct Rung {
    /// Rate, kB a second, before the class's scale.
    pub kb: f64,
    /// Worth of a second, before the class's value.
    pub worth: f64,
}

/// A value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Streams that the server runs or sets up.
    Streams,
    /// Share of the link asked for, 1 at most.
    LinkCapped,
    /// What is asked of the link over what it gives, also above 1.
    Link,
    /// What is asked of the rack's uplink over what it gives, also above 1.
    Uplink,
    /// A value that this interface does not name.
    Other,
}

/// The ration of further attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Attempts granted however few the sessions.
    pub free: f64,
    /// Attempts granted for each session taken.
    pub share: f64,
    /// Length of the window in which both are counted.
    pub window: Time,
}

/// The figures behind the six rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Share of its capacity at which a server starts.
    pub cold_share: f64,
    /// A server is warm after this time.
    pub cold: Time,
    /// A cold server falls over at this multiple of its pace ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_window: Time,
    /// The ration of further attempts, where one is stated.
    pub budget: Option<RetryBudget>,
}

/// What each thing costs, as a part of the worth of one session.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prices {
    /// A move.
    pub moved: f64,
    /// A session on a server of another zone.
    pub cross_zone: f64,
    /// A probe.
    pub probe: f64,
    /// A new connection that a set-up goes over.
    pub handshake: f64,
}

/// What a front end is told when it starts, or later by [`Controller::change`](crate::Controller::change).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of fronts.
    pub fronts: u32,
    /// This front's zone.
    pub zone: ZoneId,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a session beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// The ladder, lowest rung first.
    pub ladder: Vec<Rung>,
    /// Streams that a server of each kind runs at most.
    pub kind_streams: Vec<f64>,
    /// Number of racks; a server's rack is its cell modulo this.
    pub racks: u32,
    /// Number of cells.
    pub cells: u32,
    /// Mean uplink of a rack, kB a second.
    pub uplink_kb: f64,
    /// Link of a server for each unit of its weight, kB a second (rough); 0 if not told.
    pub kb_per_weight: f64,
    /// All links together at the start, kB a second.
    pub all_links_kb: f64,
    /// What a further viewer adds to a shared live stream, as a part of the rate; 1: no sharing.
    pub join: f64,
    /// A server turns set-ups away at this use of its link; 0: never.
    pub refuses_from: f64,
    /// How late notes are.
    pub seen_after: Time,
    /// A change of rung costs so many seconds of worth.
    pub switch_cost_s: f64,
    /// The values of a load report, in their order.
    pub gauges: Vec<Gauge>,
    /// Probes are allowed.
    pub probes: bool,
    /// Refused viewers are told when to come again.
    pub advice: bool,
    /// The longest advice that viewers follow.
    pub max_advice: Time,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// The list of servers must be asked for.
    pub list_on_request: bool,
    /// The shortest time between two events.
    pub step: Time,
    /// A connection to a server lasts so long unused; 0 if that is not known.
    pub idle: Time,
    /// Prices.
    pub prices: Prices,
    /// Figures of the rules.
    pub rules: Rules,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the settings agree with one another.
    ///
    /// # Errors
    /// Names the first figure that is missing, out of range or at odds with another.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let in_ladder = |r: u8| usize::from(r) < self.ladder.len();
        let tests = [
            (!self.ladder.is_empty(), "the ladder has no rungs"),
            (self.ladder.len() < 256, "the ladder has too many rungs"),
            (self.ladder.iter().all(|r| positive(r.kb) && r.worth.is_finite()), "a rung has no rate"),
            (self.ladder.windows(2).all(|w| w[0].kb < w[1].kb), "the rungs do not ascend"),
            (self.racks > 0, "there are no racks"),
            (self.cells > 0, "there are no cells"),
            (self.fronts > 0, "there are no fronts"),
            (!self.classes.is_empty(), "there are no classes"),
            (
                self.classes.iter().all(|c| positive(c.scale) && positive(c.value)),
                "a class has no scale or worth",
            ),
            (self.classes.iter().all(|c| in_ladder(c.floor) && c.floor <= c.top), "a class's rungs are off"),
            (positive(self.uplink_kb), "the uplink has no capacity"),
            (positive(self.all_links_kb) || positive(self.kb_per_weight), "the links have no capacity"),
            (share(self.join), "the join share is not between 0 and 1"),
            (share(self.rules.cold_share), "the cold share is not between 0 and 1"),
            (positive(self.rules.fall_multiple), "the fall multiple is not positive"),
            (!self.kind_streams.is_empty(), "there are no kinds of server"),
            (self.kind_streams.iter().all(|s| positive(*s)), "a kind runs no streams"),
        ];
        match tests.iter().find(|(ok, _)| !ok) {
            Some((_, what)) => Err(SettingsError((*what).to_owned())),
            None => Ok(()),
        }
    }

    /// May a front that goes by these go on by others? Racks, cells, zone, fronts, gauges and kinds are what its
    /// accounts are built on; classes and tenants are known by index, so that none may be missing.
    ///
    /// # Errors
    /// Names the first figure that cannot change.
    pub fn may_become(&self, next: &Self) -> Result<(), SettingsError> {
        let tests = [
            (self.racks == next.racks, "the number of racks cannot change"),
            (self.cells == next.cells, "the number of cells cannot change"),
            (self.zone == next.zone, "the zone cannot change"),
            (self.fronts == next.fronts, "the number of fronts cannot change"),
            (self.gauges == next.gauges, "the gauges cannot change"),
            (self.kind_streams.len() == next.kind_streams.len(), "the kinds of server cannot change"),
            (self.list_on_request == next.list_on_request, "the way of the list cannot change"),
            (self.classes.len() <= next.classes.len(), "a class is missing; classes are known by index"),
            (self.tenants.len() <= next.tenants.len(), "a tenant is missing; tenants are known by index"),
        ];
        match tests.iter().find(|(ok, _)| !ok) {
            Some((_, what)) => Err(SettingsError((*what).to_owned())),
            None => Ok(()),
        }
    }
}

/// What a server's list entry says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes set-ups.
    Ready,
    /// Finishes its work; nothing new goes there.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its weight, or what passes for it.
    pub weight: f64,
    /// When it last started; `None` means long ago.
    pub started: Option<Time>,
}

/// A viewer's wish, as it comes with a request or a session under way.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    /// The viewer.
    pub viewer: ViewerKey,
    /// The class.
    pub class: ClassId,
    /// The tenant.
    pub tenant: TenantId,
    /// The title.
    pub title: TitleId,
    /// First cell that holds the title.
    pub home: f64,
    /// Cells in a row that hold it.
    pub copies: f64,
    /// Highest rung that the viewer can use.
    pub top: f64,
    /// The viewer gives up after this time.
    pub patience: Time,
    /// A rough hint of the session's length.
    pub length: Option<Time>,
    /// The viewer comes again.
    pub again: bool,
}

/// How an attempt or a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Played to its end.
    Served,
    /// The server answered with an error.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke, and with it the server.
    Broken,
    /// The connection alone broke; the server lives.
    LinkBroken,
    /// Called off, moved, or left by the viewer.
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

/// What a note on a session tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteKind {
    /// Share of their rates that sessions on the server get.
    Delivered,
    /// The rung in force.
    Rung,
    /// What is asked of the link over what it gives.
    LinkUse,
    /// What is asked of the rack's uplink over what it gives.
    UplinkUse,
}

/// Room held for viewers of some titles who are still to come: to everyone else it counts as asked for. It takes
/// the place of what its [`HoldId`] held before; one that holds nothing releases it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hold {
    /// For whom.
    pub titles: Vec<TitleId>,
    /// Held for each viewer, kB a second: a newcomer's rungs above its first find so much of it free, the rest is
    /// for those after.
    pub each: f64,
    /// Where, and how much there, kB a second.
    pub on: Vec<(ServerId, f64)>,
}

/// What happens at a front end.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete list of servers; who is absent is gone.
    ListFull(Vec<ServerEntry>),
    /// Entries that changed.
    ListChanged(Vec<ServerEntry>),
    /// The list could not be had.
    ListFailed,
    /// A viewer asks for a session.
    Request(SessionId, Wish),
    /// A session that was under way when the front started.
    UnderWay(SessionId, Wish, ServerId),
    /// The session plays.
    Started(SessionId, ServerId),
    /// An attempt, or the session that came of it, ended.
    Ended {
        /// The session.
        session: SessionId,
        /// The server of the attempt.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// Nothing more is owed to the viewer.
        settled: bool,
        /// The server's load report, in the order of [`Settings::gauges`]; may be empty.
        report: Vec<f64>,
    },
    /// The viewer left, or the request ended otherwise.
    Left(SessionId),
    /// A note on a session.
    Note(SessionId, ServerId, NoteKind, f64),
    /// A probe's answer; `None` if it failed.
    Probed(ServerId, Option<Vec<f64>>),
    /// What another front saw of a server so long ago, in the order of [`Settings::gauges`].
    Seen(ServerId, Time, Vec<f64>),
    /// Room held on servers, kB a second, for viewers who are still to come.
    Held(HoldId, Hold),
    /// A message from another front.
    Message(u16, Vec<u8>),
    /// A timer that the module had set.
    Timer(u64),
}

/// What a front end is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the session up on this server; wait so long at most.
    SetUp(SessionId, ServerId, Time),
    /// Set the session's rung.
    SetRung(SessionId, u8),
    /// Turn the viewer away, with advice when to come again.
    Refuse(SessionId, Option<Time>),
    /// Answer that the session failed.
    Fail(SessionId),
    /// End the playing session so that it comes back to be set up elsewhere.
    Move(SessionId),
    /// Probe this server.
    Probe(ServerId),
    /// Subscribe to the list of servers.
    WatchList,
    /// Set a timer.
    SetTimer(Time, u64),
    /// A line for the log.
    Log(String),
}

/// What the module holds a node to be, for display only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// As last listed.
    pub entry: ServerEntry,
    /// Its rack.
    pub rack: u32,
    /// This front's sessions there.
    pub sessions: usize,
    /// Their rates in force, kB a second.
    pub own_kb: f64,
    /// Use of its link as estimated; 1 is full.
    pub link_use: f64,
    /// Share of its capacity that it is held to have reached.
    pub warmth: f64,
    /// It is passed over while another holder is sound.
    pub barred: bool,
}

/// What the module holds a rack to be, for display only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RackView {
    /// Its number.
    pub rack: u32,
    /// Forecast demand over the uplink.
    pub forecast: f64,
    /// Use of the uplink as estimated.
    pub uplink_use: f64,
    /// Past this forecast it is alerted.
    pub mark: f64,
    /// An alert is in force.
    pub alerted: bool,
}
