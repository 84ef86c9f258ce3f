//! State of a front's sessions, servers and racks, with helpers that derive values from it. The decisions are
//! in `decide.rs`.

use crate::interface::*;
use crate::window::SlidingSum;
use std::collections::{BTreeMap, BTreeSet};

/// Progress of a session.
#[derive(Clone, Copy, PartialEq)]
pub enum Phase {
    /// No attempt is running.
    Waiting,
    /// An attempt was sent and is not answered yet.
    SettingUp,
    /// The session plays.
    Playing,
}

/// An attempt as far as it limits later ones. The server is as the list described it when the set-up was sent.
#[derive(Clone, Copy)]
pub struct SentAttempt {
    pub sent_at: Time,
    pub zone: ZoneId,
    pub cell: u32,
}

impl SentAttempt {
    pub fn new(sent_at: Time, server: &ServerEntry) -> Self {
        Self { sent_at, zone: server.zone, cell: server.cell }
    }

    /// Whether this server has the same record of set-ups as the one of the attempt.
    pub fn shares_record(&self, scope: DedupScope, server: &ServerEntry) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == server.zone,
            DedupScope::Cell => self.cell == server.cell,
        }
    }
}

/// A request, and the session that results from it.
pub struct Session {
    pub spec: SessionSpec,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Value of the class when the request arrived; later changes of settings do not affect it.
    pub set_up_target: Time,
    /// Value of the class when the request arrived; later changes of settings do not affect it.
    pub idempotency: Idempotency,
    /// Lowest rung allowed. Until the session plays, both the bounds at the request and the present ones
    /// apply.
    pub lowest_rung: u8,
    /// Highest rung allowed, like `lowest_rung`.
    pub highest_rung: u8,
    /// Worth of one second on a rung of worth 1.
    pub value: f64,
    /// The rung in force.
    pub rung: u8,
    pub phase: Phase,
    /// The server of the running attempt or of the playing session.
    pub server: Option<ServerId>,
    /// Servers that were probed for this request and have not answered.
    pub awaited_probes: BTreeSet<ServerId>,
    /// Servers that are not tried: those where an attempt failed, and the one that the session was moved
    /// from.
    pub excluded: BTreeSet<ServerId>,
    /// Highest rung at which the session may be placed; after a move the rung before it.
    pub placement_limit: u8,
    /// The viewer waits until then.
    pub deadline: Time,
    /// Number of attempts sent.
    pub attempts: u32,
    pub last_attempt: Option<SentAttempt>,
    /// An attempt may have run although it failed.
    pub may_have_run: bool,
    /// The first attempt that may have run although it failed; limits repeated set-ups of
    /// [`Idempotency::Deduplicated`].
    pub first_possible_run: Option<SentAttempt>,
    /// Time of the request, of the last attempt, or of the start of playing, whichever is latest.
    pub phase_since: Time,
    /// When the rung was last set; 0 allows a rise at once.
    pub rung_set_at: Time,
    /// When a rise of the rung was last considered; 0 allows a rise at once.
    pub rise_considered_at: Time,
    /// A move was requested.
    pub moving: bool,
}

/// A measured use of a link or uplink.
#[derive(Clone, Copy)]
pub struct Reading {
    /// Demand over capacity.
    pub used: f64,
    /// Time that the measurement applies to.
    pub at: Time,
}

/// A server, and what is known of its load.
pub struct Server {
    pub entry: ServerEntry,
    pub rack: u32,
    /// This front's sessions there.
    pub sessions: BTreeSet<SessionId>,
    /// Sum of their rates in force, kB/s.
    pub own_kb: f64,
    /// Changes of `own_kb`.
    pub own_kb_changes: SlidingSum,
    /// Use of the link.
    pub link: Option<Reading>,
    /// Number of streams in the last load report.
    pub reported_streams: Option<f64>,
    /// When a shortage of its link or uplink was last detected.
    pub short_at: Option<Time>,
    /// When rungs were last lowered because of a shortage.
    pub shed_at: Time,
    /// Until then the server is skipped while another one is healthy.
    pub barred_until: Time,
    /// When it last started; `None` means that it is warm.
    pub cold_since: Option<Time>,
    /// It failed and has not been seen running since. When it runs again it is cold, from a time not known
    /// yet.
    pub failed: bool,
    /// When it was first found to have left the list with no own session on it.
    pub gone_at: Option<Time>,
    /// Set-ups sent to it.
    pub set_ups: SlidingSum,
    /// When the last set-up was sent to it.
    pub last_set_up_at: Option<Time>,
}

/// A rack, and what is known of its uplink.
#[derive(Default)]
pub struct Rack {
    /// Servers that the list has placed in this rack at some time.
    pub members: BTreeSet<ServerId>,
    /// Changes of the sum of own rates in the rack.
    pub own_kb_changes: SlidingSum,
    /// Use of the uplink.
    pub uplink: Option<Reading>,
    pub alert_until: Time,
    /// When sessions were last moved because of an alert.
    pub moved_at: Option<Time>,
    /// When a shortage of the uplink was last detected.
    pub short_at: Option<Time>,
    /// When rungs were last lowered because of a shortage.
    pub shed_at: Time,
}

/// A rung worth choosing, and what it adds to the previous such rung of the class.
#[derive(Clone, Copy)]
pub struct RungStep {
    pub rung: u8,
    /// Additional rate, kB/s.
    pub kb: f64,
    /// Additional worth of one second, before the class's value.
    pub worth: f64,
}

/// The efficient rungs of a class: those on the upper convex hull of worth over rate. Each step earns less
/// for each kB than the step before it.
pub fn efficient_rungs(class: &Class, ladder: &[Rung]) -> Vec<RungStep> {
    let mut steps: Vec<RungStep> = Vec::new();
    for rung in class.lowest_rung..=class.highest_rung.min((ladder.len() - 1) as u8) {
        let r = ladder[usize::from(rung)];
        let (kb_below, worth_below) = steps.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.kb, sum.1 + s.worth));
        let mut step =
            RungStep { rung, kb: r.kb * class.rate_scale - kb_below, worth: r.worth - worth_below };
        while let Some(last) = steps.last().copied().filter(|l| l.worth * step.kb <= step.worth * l.kb) {
            step = RungStep { rung, kb: step.kb + last.kb, worth: step.worth + last.worth };
            steps.pop();
        }
        steps.push(step);
    }
    steps
}

impl Server {
    /// A server as listed, without any measurement.
    pub fn new(entry: ServerEntry, rack: u32) -> Self {
        Self {
            entry,
            rack,
            sessions: BTreeSet::new(),
            own_kb: 0.0,
            own_kb_changes: SlidingSum::default(),
            link: None,
            reported_streams: None,
            short_at: None,
            shed_at: 0,
            barred_until: 0,
            cold_since: entry.started,
            failed: false,
            gone_at: None,
            set_ups: SlidingSum::default(),
            last_set_up_at: None,
        }
    }
}

impl Session {
    /// A new request; `class` is the index of `class_settings`.
    pub fn new(now: Time, spec: SessionSpec, class: usize, class_settings: &Class, highest_rung: u8) -> Self {
        Self {
            spec,
            class,
            set_up_target: class_settings.set_up_target,
            idempotency: class_settings.idempotency,
            lowest_rung: class_settings.lowest_rung,
            highest_rung,
            value: class_settings.value,
            rung: class_settings.lowest_rung,
            phase: Phase::Waiting,
            server: None,
            awaited_probes: BTreeSet::new(),
            excluded: BTreeSet::new(),
            placement_limit: highest_rung,
            deadline: now.saturating_add(spec.max_wait),
            attempts: 0,
            last_attempt: None,
            may_have_run: false,
            first_possible_run: None,
            phase_since: now,
            rung_set_at: now,
            rise_considered_at: now,
            moving: false,
        }
    }
}

impl Session {
    /// Updates the rung bounds to the present settings of the class; until the session plays, its former
    /// bounds apply too. Returns the new rung if it has to change on a server. A playing session may remain
    /// above its highest rung for a while, but not above the ladder.
    pub fn update_bounds(&mut self, settings: &Settings) -> Option<u8> {
        let (class, last) = (&settings.classes[self.class], (settings.ladder.len() - 1) as u8);
        let (mut lowest, mut highest) = (class.lowest_rung, highest_rung(settings, self.class, &self.spec));
        let playing = self.phase == Phase::Playing;
        if playing {
            self.value = class.value;
        } else {
            highest = highest.min(self.highest_rung).max(lowest);
            lowest = lowest.max(self.lowest_rung).min(highest);
        }
        // With unchanged bounds, a rung outside them was reported by a server and is left as it is.
        if (lowest, highest) == (self.lowest_rung, self.highest_rung) && self.rung <= last {
            return None;
        }
        (self.lowest_rung, self.highest_rung) = (lowest, highest);
        let former = self.rung;
        self.rung = former.max(lowest).min(if playing { last } else { highest });
        (self.rung != former && self.server.is_some()).then_some(self.rung)
    }
}

/// Maps random bits to a number in [0, 1), using the upper 53 bits.
pub fn unit_interval(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// Mixes the bits of a number (part of the SplitMix64 finalizer).
pub fn mix_bits(seed: u64) -> u64 {
    let x = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 29)
}

/// Whether a server stores the title: its cell is one of the consecutive cells that the spec names, counted
/// modulo the number of cells.
pub fn stores_title(settings: &Settings, server: &Server, spec: &SessionSpec) -> bool {
    let cells = f64::from(settings.cells);
    let first_cell = spec.first_cell.max(0.0).min(cells);
    let cell_count = spec.cell_count.max(0.0).min(cells);
    (f64::from(server.entry.cell) + cells - first_cell.floor()) % cells < cell_count.floor()
}

/// Rate of a class on a rung, kB/s. A rung above the ladder, which a change of settings can leave behind,
/// counts as the ladder's highest.
pub fn rate_kb(settings: &Settings, class: usize, rung: u8) -> f64 {
    settings.ladder[usize::from(rung).min(settings.ladder.len() - 1)].kb * settings.classes[class].rate_scale
}

/// Highest rung that the class and the viewer allow; if the viewer's is missing or invalid, the lowest of the
/// class.
pub fn highest_rung(settings: &Settings, class: usize, spec: &SessionSpec) -> u8 {
    let viewer_highest = spec.highest_rung.min((settings.ladder.len() - 1) as f64).max(0.0) as u8;
    viewer_highest.min(settings.classes[class].highest_rung).max(settings.classes[class].lowest_rung)
}

/// The efficient rungs of each class.
pub fn efficient_rungs_by_class(settings: &Settings) -> Vec<Vec<RungStep>> {
    settings.classes.iter().map(|c| efficient_rungs(c, &settings.ladder)).collect()
}

/// Sum of the rates of own sessions on a server, kB/s. Of the sessions that share a live stream the first
/// counts in full, each further one with its share.
pub fn own_kb(settings: &Settings, server: &Server, sessions: &BTreeMap<SessionId, Session>) -> f64 {
    let mut streams = BTreeSet::new();
    let mut own = 0.0;
    for s in server.sessions.iter().filter_map(|id| sessions.get(id)) {
        let first_of_stream =
            !settings.classes[s.class].live || streams.insert((s.spec.title, s.class, s.rung));
        own += rate_kb(settings, s.class, s.rung)
            * if first_of_stream { 1.0 } else { settings.shared_stream_share };
    }
    own
}

/// Sessions that play above their highest rung, those with the largest difference first.
pub fn sessions_above_bounds(sessions: &BTreeMap<SessionId, Session>) -> Vec<SessionId> {
    let above = sessions.iter().filter(|(_, s)| s.phase == Phase::Playing && s.rung > s.highest_rung);
    let mut above: Vec<_> = above.map(|(id, s)| (s.rung - s.highest_rung, *id)).collect();
    above.sort_by_key(|(difference, _)| std::cmp::Reverse(*difference));
    above.into_iter().map(|(_, id)| id).collect()
}

/// Maximum number of streams on a server; an unknown kind counts as the last one.
pub fn max_streams(settings: &Settings, server: &Server) -> f64 {
    let kinds = &settings.kind_max_streams;
    kinds[usize::from(server.entry.kind.0).min(kinds.len() - 1)]
}
