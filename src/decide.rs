//! The decisions of the module. Its settings, events and actions are in `interface.rs`, its state in
//! `state.rs`.
//!
//! The design follows the rack alerts of Mongay Batalla et al., section 4 ("the paper" below): `forecast` is
//! mean rung rate times averaged session count, `check_alert` alerts a rack whose forecast exceeds the mark
//! and moves a fraction of its sessions at the same rung, `shed_shortage` lowers rungs when delivery is
//! short, `place` admits requests, `raise_rungs` raises rungs. Every action passes the checks in the last
//! section, "guards of the six rules".

use crate::interface::*;
use crate::state::*;
use crate::window::{SECOND, SlidingSum, ago, seconds};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Mark: use of a link or uplink above which it takes no further demand. The paper's 0.9 leaves too little
/// for what a front cannot observe: true rates deviate from listed ones, and other fronts add demand after
/// each reading.
const MARK: f64 = 0.8;
/// Use of a link or uplink that is exactly full. A shortage is shed to this use: shedding less leaves an
/// excess, shedding more costs switches that later rises reverse.
const FULL_USE: f64 = 1.0;
/// Highest use that is accepted from a report or notification; larger values count as this.
const MAX_REPORTED_USE: f64 = 10.0;
/// Worth that freeing capacity for a refused viewer may cost, as a fraction of that viewer's worth.
const ROOM_MAX_LOSS: f64 = 0.5;
/// Capacity freed for one refused viewer, in rates of the viewer's entry rung: about one whole step of an
/// upper rung. It is more than one entry rate because freed capacity helps only the few titles stored there.
const ROOM_ENTRY_RATES: f64 = 4.0;
/// Use up to which a newcomer is admitted at its entry rung, the lowest efficient one. It is below a
/// shortage, so admission above the mark takes nothing from other sessions.
const ENTRY_MARK: f64 = 0.9;
/// Time between two checks of the racks.
const TICK_PERIOD: Time = SECOND / 2;
/// Window of the averaged session count, of typical use and of moved viewers. The paper has 30 s; it is a
/// third here, since sessions last about as long as that.
const AVERAGING_WINDOW: Time = 10 * SECOND;
/// Duration of an alert, and minimum time between two rounds of moves from a rack (the paper's T).
const ALERT_DURATION: Time = 5 * SECOND;
/// Minimum time between two log lines of the same kind.
const LOG_INTERVAL: Time = ALERT_DURATION;
/// Fraction of a rack's sessions that one alert moves (one in five, as in the paper), and of the sessions
/// above their highest rung that one tick lowers.
const BATCH_FRACTION: f64 = 0.2;
/// Time without a shortage or a change of rung after which a rung may rise.
const RISE_DELAY: Time = 8 * SECOND;
/// The delay of a rise is at most this fraction of a session's mean length: a session that waits for most of
/// its length gains nothing by the rise.
const RISE_DELAY_LENGTH_SHARE: f64 = 0.4;
/// Assumed mean length of sessions until some have ended (the paper's 30 s of past measurements).
const INITIAL_LENGTH: Time = 30 * SECOND;
/// Weight of the assumed length, in ended sessions.
const INITIAL_LENGTH_WEIGHT: f64 = 5.0;
/// Time constant with which measured session lengths are forgotten.
const LENGTH_MEMORY: Time = 60 * SECOND;
/// Time after a shortage until a rack or server counts as settled; also the delay of rises from below the
/// entry rung. Notifications are sent each second and arrive up to 1.5 s late.
const SETTLE_TIME: Time = 2 * SECOND;
/// Delivered share of the rate below which a session loses worth (98 in 100 in the simulator's protocol).
const FULL_DELIVERY: f64 = 0.98;
/// Lowest delivered share that is accepted; smaller values count as this.
const MIN_DELIVERED_SHARE: f64 = 0.05;
/// Weight of a load report, which is noisy, against the predicted use.
const REPORT_WEIGHT: f64 = 0.8;
/// Time for which a failure bars a server: it is skipped while another server that stores the title is
/// healthy.
const BAR_DURATION: Time = 2 * SECOND;
/// Time limit of an attempt that can be followed by another, as a fraction of the class's set-up target.
const ATTEMPT_TARGET_SHARE: f64 = 0.5;
/// Fraction of the set-up pace of a cold server that is used. It is applied twice: to the pace, since set-ups
/// differ in work, and to a front's part of it, since the fronts select their windows at random.
const COLD_PACE_SHARE: f64 = 0.55;
/// Lowest warmth of a server, as a share of its capacity.
const MIN_WARMTH: f64 = 0.05;
/// Cost that probes may have, as a fraction of the worth of the requested sessions.
const PROBE_COST_SHARE: f64 = 0.01;
/// Maximum number of probes that can be saved up for later requests.
const MAX_PROBE_CREDIT: f64 = 8.0;
/// A server whose link reading is older than this may be probed before a session is placed.
const FRESH_READING_AGE: Time = SECOND;
/// Approximate time over which servers smooth the delivered share.
const DELIVERY_SMOOTHING: Time = SECOND / 2;
/// Age up to which a link reading can rule out the link as the cause of short delivery.
const LINK_READING_VALIDITY: Time = 3 * SECOND;
/// Time constant with which a reading loses weight (the paper's 30 s of past measurements; sessions last
/// about as long).
const READING_DECAY: Time = 30 * SECOND;
/// Assumed use of a link or uplink without readings and own sessions.
const DEFAULT_USE: f64 = 0.6;
/// Weight of the assumed use among readings; a new reading has weight 1.
const DEFAULT_USE_WEIGHT: f64 = 0.5;
/// Token of the periodic timer; other tokens are session ids.
const TICK_TOKEN: u64 = u64::MAX;

/// Preference for a server as the place of a session; the greater one is preferred. The order of the fields
/// is the order of comparison.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    healthy: bool,
    unalerted: bool,
    /// Worth of the rung less the costs of crossing zones and of a new connection.
    net_worth: f64,
    /// Negative of the use of link or uplink after placement.
    negative_use: f64,
    /// Negative of the number of own sessions, as a share of the server's maximum number of streams.
    negative_own_share: f64,
}

/// A session that this front moved away from a server; the viewer is expected to reconnect.
struct RecentMove {
    at: Time,
    from: ServerId,
    rung: u8,
}

/// Playing time of all sessions and number of sessions that played to their end, for the mean session length.
/// Both decay with [`LENGTH_MEMORY`].
struct PlayedTime {
    seconds: f64,
    ended_sessions: f64,
}

/// Typical use of links and uplinks.
struct TypicalUse {
    link: f64,
    uplink: f64,
}

/// Change by one rung: worth for each kB, and rate.
struct StepGain {
    worth_per_kb: f64,
    kb: f64,
}

/// This front's sessions as a sample of those of all fronts.
struct DemandSample {
    /// Efficient steps of all sessions, those with the highest worth for each kB first.
    steps: Vec<StepGain>,
    /// Sum of the rates in force, kB/s.
    kb: f64,
}

/// Reserved capacity, kB/s.
struct ReservedKb {
    in_rack: f64,
    on_server: f64,
}

/// A viewer for whom use is projected.
#[derive(Clone, Copy)]
struct Newcomer {
    title: TitleId,
    /// The viewer is placed at its entry rung or below.
    at_entry_rung: bool,
}

/// Controller of one front.
pub struct Controller {
    settings: Settings,
    /// For each class its efficient rungs.
    rung_steps: Vec<Vec<RungStep>>,
    servers: BTreeMap<ServerId, Server>,
    racks: Vec<Rack>,
    sessions: BTreeMap<SessionId, Session>,
    reservations: BTreeMap<ReservationId, Reservation>,
    recent_moves: BTreeMap<ViewerKey, RecentMove>,
    /// Requests, for the retry budget.
    recent_requests: SlidingSum,
    /// What the requests of the last [`AVERAGING_WINDOW`] asked for.
    recent_specs: VecDeque<(Time, SessionSpec)>,
    /// Retries (attempts after a request's first), for the retry budget.
    recent_retries: SlidingSum,
    /// Number of probes that may be sent.
    probe_credit: f64,
    played: PlayedTime,
    /// Time of the first event.
    started_at: Option<Time>,
    /// Fixed random number of this instance.
    instance_seed: u64,
    /// State of the random number generator.
    random_state: u64,
    typical_use: TypicalUse,
    /// Time of the last log line of each kind.
    last_logged: BTreeMap<&'static str, Time>,
}

impl Controller {
    /// Creates a controller without servers and sessions; `seed` differs between fronts.
    ///
    /// # Errors
    /// If a setting is out of range or inconsistent with another.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            rung_steps: efficient_rungs_by_class(&settings),
            servers: BTreeMap::new(),
            racks: (0..settings.racks).map(|_| Rack::default()).collect(),
            sessions: BTreeMap::new(),
            reservations: BTreeMap::new(),
            recent_moves: BTreeMap::new(),
            recent_requests: SlidingSum::default(),
            recent_specs: VecDeque::new(),
            recent_retries: SlidingSum::default(),
            probe_credit: 0.0,
            played: PlayedTime {
                seconds: INITIAL_LENGTH_WEIGHT * seconds(INITIAL_LENGTH),
                ended_sessions: INITIAL_LENGTH_WEIGHT,
            },
            started_at: None,
            instance_seed: mix_bits(seed),
            random_state: mix_bits(seed) | 1,
            typical_use: TypicalUse { link: DEFAULT_USE, uplink: DEFAULT_USE },
            last_logged: BTreeMap::new(),
            settings,
        })
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            out.push(Action::SetTimer(TICK_PERIOD / 2 + self.instance_seed % (TICK_PERIOD / 2), TICK_TOKEN));
            if self.settings.list_on_request {
                out.push(Action::WatchList);
            }
        }
        match event {
            Event::ListFull(entries) => self.update_servers(entries, true),
            Event::ListChanged(entries) => self.update_servers(entries, false),
            Event::ListFailed if self.settings.list_on_request => out.push(Action::WatchList),
            Event::Request(id, spec) => self.on_request(now, id, spec, out),
            Event::Adopted(id, spec, server) => self.on_adopted(now, id, spec, server),
            Event::Started(id, server) => self.on_started(now, id, server, out),
            Event::Ended { session, server, outcome, is_final, report } => {
                self.apply_report(now, now, server, &report);
                self.on_failure(now, session, server, outcome, out);
                if is_final {
                    self.played.ended_sessions += f64::from(u8::from(outcome == Outcome::Served));
                    self.remove_session(now, session);
                } else {
                    self.retry(now, session, server, outcome, out);
                }
            }
            Event::Closed(id) => self.remove_session(now, id),
            Event::Notification(id, server, kind, value) => {
                self.on_notification(now, (id, server, kind, value), out)
            }
            Event::Probed(server, report) => self.on_probed(now, server, report, out),
            Event::PeerReport(server, age, values) => {
                self.apply_report(now, ago(now, age), server, &values);
                self.shed_shortage(now, server, out);
            }
            Event::Reserved(id, reservation) => self.on_reserved(id, reservation),
            Event::ListFailed | Event::Message(..) => {}
            Event::Timer(TICK_TOKEN) => self.tick(now, out),
            Event::Timer(token) => self.refuse_or_fail(now, SessionId(token), out),
        }
    }

    /// Replaces the settings. Counts, readings and the terms of running requests are kept
    /// (`docs/policy-module.md` has the rule for each of them).
    ///
    /// # Errors
    /// If a setting is out of range, inconsistent with another or different although it cannot change. The
    /// former settings then stay in force.
    pub fn apply_settings(
        &mut self,
        now: Time,
        settings: Settings,
        out: &mut Vec<Action>,
    ) -> Result<(), SettingsError> {
        settings.validate()?;
        self.settings.validate_change(&settings)?;
        (self.rung_steps, self.settings) = (efficient_rungs_by_class(&settings), settings);
        let servers: Vec<ServerId> = self.servers.keys().copied().collect();
        // Other listed rates are no change of demand: they are not recorded as a change since the last
        // readings.
        self.servers.values_mut().for_each(|s| s.own_kb = own_kb(&self.settings, s, &self.sessions));
        let sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        sessions.into_iter().for_each(|id| _ = self.apply_bounds(now, id, out));
        servers.into_iter().for_each(|id| self.update_own_kb(now, id));
        Ok(())
    }

    /// Estimated state of servers and racks, for display only.
    #[must_use]
    pub fn view(&self, now: Time) -> (Vec<ServerView>, Vec<RackView>) {
        let server = |s: &Server| ServerView {
            entry: s.entry,
            rack: s.rack,
            sessions: s.sessions.len(),
            own_kb: s.own_kb,
            link_use: self.link_use(now, s),
            warmth: self.warmth(now, s),
            barred: s.barred_until > now || s.failed,
        };
        let rack = |rack: u32| RackView {
            rack,
            forecast: self.forecast(now, rack),
            uplink_use: self.uplink_use(now, rack),
            mark: MARK,
            alerted: self.racks[rack as usize].alert_until > now,
        };
        (self.servers.values().map(server).collect(), (0..self.settings.racks).map(rack).collect())
    }

    // ---- list of servers -----------------------------------------------------------------------

    /// Applies list entries; in a `complete` list a missing server is gone.
    fn update_servers(&mut self, entries: Vec<ServerEntry>, complete: bool) {
        if complete {
            let listed: BTreeSet<_> = entries.iter().map(|e| e.server).collect();
            for (id, server) in &mut self.servers {
                if !listed.contains(id) {
                    server.entry.state = ServerState::Gone;
                }
            }
        }
        for entry in entries {
            let rack = entry.cell % self.settings.racks;
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry, rack));
            self.racks[rack as usize].members.insert(entry.server);
            if entry.started > server.entry.started {
                server.cold_since = entry.started;
                (server.failed, server.barred_until, server.link) = (false, 0, None);
            }
            (server.entry, server.rack) = (entry, rack);
        }
    }

    // ---- demand and capacity -------------------------------------------------------------------

    /// Demand that a session on a rung adds to a server, kB/s; only a part of the rate if it joins a live
    /// stream.
    fn added_kb(&self, server: &Server, session: &Session, rung: u8) -> f64 {
        let joins =
            self.settings.classes[session.class].live
                && server.sessions.iter().filter_map(|id| self.sessions.get(id)).any(|s| {
                    s.spec.title == session.spec.title && s.class == session.class && s.rung == rung
                });
        rate_kb(&self.settings, session.class, rung)
            * if joins { self.settings.shared_stream_share } else { 1.0 }
    }

    /// Recomputes the sum of own rates on a server and records the change.
    fn update_own_kb(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let own = own_kb(&self.settings, server, &self.sessions);
        let change = own - server.own_kb;
        server.own_kb = own;
        if change != 0.0 {
            server.own_kb_changes.push(now, change, AVERAGING_WINDOW);
            self.racks[server.rack as usize].own_kb_changes.push(now, change, AVERAGING_WINDOW);
        }
    }

    /// Present capacity of a server's link, kB/s: the listed one, else an equal part of all links.
    fn link_capacity_kb(&self, now: Time, server: &Server) -> f64 {
        let listed = server.entry.weight * self.settings.kb_per_weight;
        let equal_part = self.settings.all_links_kb / self.servers.len().max(1) as f64;
        let link = if listed.is_finite() && listed > 0.0 { listed } else { equal_part.max(1.0) };
        link * self.warmth(now, server)
    }

    /// Present use, from a reading, the typical use, own use and the own change since the reading. With age
    /// the reading loses weight against the typical use. Own growth is assumed for the other fronts too, in
    /// proportion to their part of the demand.
    fn estimate_use(
        &self,
        now: Time,
        reading: Option<Reading>,
        typical: f64,
        own: f64,
        own_change: f64,
    ) -> f64 {
        let Some(r) = reading else { return own.max(typical) };
        let all_over_own =
            (r.used / (own - own_change).max(0.01)).clamp(1.0, f64::from(self.settings.fronts));
        let weight = (-seconds(now.saturating_sub(r.at)) / seconds(READING_DECAY)).exp();
        let projected = r.used + if own_change > 0.0 { own_change * all_over_own } else { own_change };
        own.max(typical + weight * (projected - typical))
    }

    /// The last reading of a link. A server repeats a shortage each second while it lasts. One that was not
    /// repeated is over, because rungs were lowered or sessions ended; the link then counts as full.
    fn current_link_reading(&self, now: Time, server: &Server) -> Option<Reading> {
        let repeat_time = SETTLE_TIME.saturating_add(self.settings.notification_delay);
        let over = |r: &Reading| r.used > 1.0 / FULL_DELIVERY && r.at.saturating_add(repeat_time) <= now;
        server.link.map(|r| if over(&r) { Reading { used: FULL_USE, at: r.at } } else { r })
    }

    /// Estimated use of a server's link; at least that by own rates in force.
    fn link_use(&self, now: Time, server: &Server) -> f64 {
        let (capacity, reading) =
            (self.link_capacity_kb(now, server), self.current_link_reading(now, server));
        let change = reading.map_or(0.0, |r| server.own_kb_changes.sum_after(r.at) / capacity);
        self.estimate_use(now, reading, self.typical_use.link, server.own_kb / capacity, change)
    }

    /// Servers that are in a rack now, without those that are gone.
    fn servers_in_rack(&self, rack: u32) -> impl Iterator<Item = &Server> {
        let members = self.racks[rack as usize].members.iter().filter_map(|id| self.servers.get(id));
        members.filter(move |s| s.rack == rack && s.entry.state != ServerState::Gone)
    }

    /// Sum of own rates in a rack, kB/s.
    fn own_rack_kb(&self, rack: u32) -> f64 {
        self.servers_in_rack(rack).map(|s| s.own_kb).sum()
    }

    /// Total demand on the servers of a rack, kB/s, from the estimated use of their links.
    fn rack_demand_kb(&self, now: Time, rack: u32) -> f64 {
        self.servers_in_rack(rack).map(|s| self.link_use(now, s) * self.link_capacity_kb(now, s)).sum()
    }

    /// Estimated use of a rack's uplink; at least that by own rates in force.
    fn uplink_use(&self, now: Time, rack: u32) -> f64 {
        let (state, capacity) = (&self.racks[rack as usize], self.settings.uplink_kb);
        if !self.settings.gauges.contains(&Gauge::Uplink) {
            // Without a recent reading of a link, the sum of the assumed uses of links could exceed the
            // uplink and refuse all requests for ever, so it is limited by the typical use of an uplink.
            let has_recent_reading = |s: &Server| {
                self.current_link_reading(now, s).is_some_and(|r| r.at.saturating_add(AVERAGING_WINDOW) > now)
            };
            let limit = if self.servers_in_rack(rack).any(has_recent_reading) {
                f64::INFINITY
            } else {
                self.typical_use.uplink
            };
            return (self.rack_demand_kb(now, rack) / capacity)
                .min(limit.max(self.own_rack_kb(rack) / capacity));
        }
        let change = state.uplink.map_or(0.0, |r| state.own_kb_changes.sum_after(r.at) / capacity);
        let own = self.own_rack_kb(rack) / capacity;
        self.estimate_use(now, state.uplink, self.typical_use.uplink, own, change)
    }

    /// Updates the typical use of links and uplinks: the mean of the readings, in which newer ones have more
    /// weight. Without readings it follows own demand times the number of fronts.
    fn update_typical_use(&mut self, now: Time) {
        let assumed_total_kb =
            self.servers.values().map(|s| s.own_kb).sum::<f64>() * f64::from(self.settings.fronts);
        // Deviates from the paper: own demand is a sample of the demand of all fronts. Readings are late, so
        // the relative change of own demand since a reading is assumed for the other fronts too, up to a
        // factor of 2. Sessions that were adopted at the start are no change.
        let own_kb: f64 = self.servers.values().map(|s| s.own_kb).sum();
        let mean_rung_kb =
            self.settings.ladder.iter().map(|r| r.kb).sum::<f64>() / self.settings.ladder.len() as f64;
        let settled_since = self.started_at.map_or(0, |t| t.saturating_add(SETTLE_TIME));
        let growth_since = |at: Time| {
            let change: f64 =
                self.racks.iter().map(|r| r.own_kb_changes.sum_after(at.max(settled_since))).sum();
            ((own_kb + mean_rung_kb) / ((own_kb - change).max(0.0) + mean_rung_kb)).clamp(0.5, 2.0)
        };
        let mean = |readings: &mut dyn Iterator<Item = Reading>, capacity_kb: f64| {
            let default = if assumed_total_kb > 0.0 {
                (assumed_total_kb / capacity_kb).clamp(DEFAULT_USE / 2.0, MARK)
            } else {
                DEFAULT_USE
            };
            let sum = readings.fold((default * DEFAULT_USE_WEIGHT, DEFAULT_USE_WEIGHT), |sum, r| {
                let weight = (-seconds(now.saturating_sub(r.at)) / seconds(AVERAGING_WINDOW)).exp();
                (sum.0 + weight * r.used * growth_since(r.at), sum.1 + weight)
            });
            sum.0 / sum.1
        };
        // Servers report short delivery only while a link is short. A server with own sessions that reports
        // nothing counts with the default use; otherwise every link would seem short.
        let without_reading =
            |s: &Server| (!s.sessions.is_empty()).then_some(Reading { used: DEFAULT_USE, at: now });
        let link_reading = |s: &Server| {
            self.current_link_reading(now, s)
                .filter(|r| r.at + AVERAGING_WINDOW > now)
                .or_else(|| without_reading(s))
        };
        let links_kb =
            if self.settings.all_links_kb > 0.0 { self.settings.all_links_kb } else { f64::INFINITY };
        self.typical_use = TypicalUse {
            link: mean(&mut self.servers.values().filter_map(link_reading), links_kb),
            uplink: mean(
                &mut self.racks.iter().filter_map(|r| r.uplink),
                self.settings.uplink_kb * self.racks.len() as f64,
            ),
        };
    }

    /// Stores, replaces or releases a reservation. Reservations are not part of the paper; they exist only
    /// for announced peaks.
    fn on_reserved(&mut self, id: ReservationId, mut reservation: Reservation) {
        reservation.servers.retain(|(_, kb)| kb.is_finite() && *kb > 0.0);
        self.reservations.remove(&id);
        if !reservation.servers.is_empty() {
            self.reservations.insert(id, reservation);
        }
    }

    /// Capacity that is reserved in a rack and on one of its servers. Forecast, admission and rises count it
    /// as present demand. Shedding ignores it, so no session is lowered for capacity that is not used yet. A
    /// newcomer to a title of the reservation may use all of it at its entry rung, but only one viewer's part
    /// above that; otherwise the first viewers would use the capacity of later ones.
    fn reserved(&self, rack: u32, server: Option<ServerId>, newcomer: Option<Newcomer>) -> ReservedKb {
        let is_ready_in_rack = |id: &ServerId| {
            self.servers.get(id).is_some_and(|s| s.rack == rack && s.entry.state == ServerState::Ready)
        };
        let none = ReservedKb { in_rack: 0.0, on_server: 0.0 };
        self.reservations.values().fold(none, |sum, r| {
            let usable = match newcomer.filter(|n| r.titles.contains(&n.title)) {
                Some(Newcomer { at_entry_rung: true, .. }) => f64::INFINITY,
                Some(Newcomer { at_entry_rung: false, .. }) => r.per_viewer_kb,
                None => 0.0,
            };
            let in_rack: f64 =
                r.servers.iter().filter(|(id, _)| is_ready_in_rack(id)).map(|(_, kb)| kb).sum();
            let on_server: f64 = r
                .servers
                .iter()
                .filter(|(id, _)| server == Some(*id) && is_ready_in_rack(id))
                .map(|(_, kb)| kb)
                .sum();
            ReservedKb {
                in_rack: sum.in_rack + (in_rack - usable).max(0.0),
                on_server: sum.on_server + (on_server - usable).max(0.0),
            }
        })
    }

    /// Use of link or uplink, whichever is higher, with `kb` more demand (kB/s) of a newcomer or, if there is
    /// none, of a playing session.
    fn projected_use(&self, now: Time, server: &Server, kb: f64, newcomer: Option<Newcomer>) -> f64 {
        let reserved = self.reserved(server.rack, Some(server.entry.server), newcomer);
        let link =
            self.link_use(now, server) + (kb + reserved.on_server) / self.link_capacity_kb(now, server);
        link.max(self.uplink_use(now, server.rack) + (kb + reserved.in_rack) / self.settings.uplink_kb)
    }

    /// Applies a load report taken at time `at`. Values out of range are ignored; noise is smoothed by
    /// combining each value with the estimate. A value older than the known reading is ignored.
    fn apply_report(&mut self, now: Time, at: Time, id: ServerId, values: &[f64]) {
        let Some(server) = self.servers.get(&id) else { return };
        let (link, uplink) = (self.link_use(now, server), self.uplink_use(now, server.rack));
        let Some(server) = self.servers.get_mut(&id) else { return };
        for (gauge, value) in self.settings.gauges.iter().zip(values.iter().copied()) {
            let reading = |estimate: f64| {
                Some(Reading {
                    used: estimate + REPORT_WEIGHT * (value.min(MAX_REPORTED_USE) - estimate),
                    at,
                })
            };
            let is_newer = |r: Option<Reading>| r.is_some_and(|r| r.at > at);
            match gauge {
                _ if !value.is_finite() || value < 0.0 => {}
                Gauge::Link | Gauge::LinkCapped | Gauge::Streams if is_newer(server.link) => {}
                Gauge::Uplink if is_newer(self.racks[server.rack as usize].uplink) => {}
                Gauge::Streams => server.reported_streams = Some(value),
                // A capped gauge at its upper end does not contradict a higher reading.
                Gauge::LinkCapped
                    if value >= FULL_DELIVERY && server.link.is_some_and(|r| r.used > value) => {}
                Gauge::Link | Gauge::LinkCapped => server.link = reading(link),
                Gauge::Uplink => self.racks[server.rack as usize].uplink = reading(uplink),
                Gauge::Other => {}
            }
        }
    }

    /// Applies a server's notification about a session.
    fn on_notification(
        &mut self,
        now: Time,
        notification: (SessionId, ServerId, NotificationKind, f64),
        out: &mut Vec<Action>,
    ) {
        let (id, server, kind, value) = notification;
        let Some(state) = self.servers.get_mut(&server) else { return };
        if !value.is_finite() || value < 0.0 {
            return;
        }
        // A notification that comes together with the start is current; later ones are delayed.
        let starting = self.sessions.get_mut(&id).filter(|s| s.phase_since == now);
        // The rung of the new session may rise at once, since the server's load is known now.
        let starting = starting.map(|s| (s.rung_set_at, s.rise_considered_at) = (0, 0)).is_some();
        let at = if starting { now } else { ago(now, self.settings.notification_delay) };
        let rack = state.rack;
        match kind {
            NotificationKind::Rung => {
                if let Some(s) = self.sessions.get_mut(&id) {
                    s.rung = (value as u8).min(s.highest_rung.max(s.rung));
                    self.update_own_kb(now, server);
                }
            }
            NotificationKind::LinkUse => state.link = Some(Reading { used: value.min(MAX_REPORTED_USE), at }),
            NotificationKind::UplinkUse => {
                self.racks[rack as usize].uplink = Some(Reading { used: value.min(MAX_REPORTED_USE), at });
            }
            NotificationKind::Delivered => {
                return self.on_delivered_share(now, server, value.clamp(MIN_DELIVERED_SHARE, 1.0), out);
            }
        }
        self.shed_shortage(now, server, out);
    }

    /// Handles short delivery on a server: each front sheds its own part there, whether link or uplink is
    /// short, since with a short uplink all servers of the rack report it. If the use of the link does not
    /// explain the shortage, the uplink is short.
    fn on_delivered_share(&mut self, now: Time, id: ServerId, share: f64, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get(&id) else { return };
        let (at, rack) = (ago(now, self.settings.notification_delay), server.rack);
        // The share is smoothed and late. One that covers the time before rungs were last lowered was
        // answered by that.
        let shed_at = server.shed_at.max(self.racks[rack as usize].shed_at);
        if share >= FULL_DELIVERY || at < shed_at.saturating_add(DELIVERY_SMOOTHING) {
            return;
        }
        let used = 1.0 / share;
        let link_known = server.link.is_some_and(|r| r.at + LINK_READING_VALIDITY > now);
        let link_short = !link_known || self.link_use(now, server) >= MARK;
        if !link_short {
            self.racks[rack as usize].short_at = Some(now);
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.short_at, server.shed_at) = (Some(now), now);
        if link_short {
            server.link = Some(Reading { used, at });
        }
        let excess_kb = server.own_kb * (1.0 - share);
        let ids = server.sessions.iter().copied().collect::<Vec<_>>();
        self.shed(now, &ids, excess_kb, f64::INFINITY, out);
    }

    // ---- forecast, alerts, moves ---------------------------------------------------------------

    /// Forecast demand on a rack's uplink over its capacity, as in the paper: R times N. R is the mean over
    /// titles of the mean rate in force. N counts each session by the fraction of the window for which it has
    /// existed; ended sessions do not count, so a viewer who reconnects is never counted twice. If the
    /// estimated use is larger, it replaces the product. Reserved capacity is added.
    fn forecast(&self, now: Time, rack: u32) -> f64 {
        // Sum of the rates in force (kB/s) and number of sessions, by title.
        let mut titles: BTreeMap<TitleId, (f64, f64)> = BTreeMap::new();
        let mut averaged_count = 0.0;
        for s in self.servers_in_rack(rack).flat_map(|s| &s.sessions).filter_map(|id| self.sessions.get(id)) {
            let title = titles.entry(s.spec.title).or_default();
            *title = (title.0 + rate_kb(&self.settings, s.class, s.rung), title.1 + 1.0);
            averaged_count +=
                (now.saturating_sub(s.phase_since).min(AVERAGING_WINDOW)) as f64 / AVERAGING_WINDOW as f64;
        }
        let mean_kb = titles.values().map(|(kb, n)| kb / n).sum::<f64>() / titles.len().max(1) as f64;
        let capacity = self.settings.uplink_kb;
        let estimated_count =
            if mean_kb > 0.0 { self.uplink_use(now, rack) * capacity / mean_kb } else { 0.0 };
        mean_kb * averaged_count.max(estimated_count) / capacity
            + self.reserved(rack, None, None).in_rack / capacity
    }

    /// Alerts a rack whose forecast exceeds the mark or whose uplink is short, and moves a fraction of its
    /// sessions.
    fn check_alert(&mut self, now: Time, rack: u32, out: &mut Vec<Action>) {
        let forecast = self.forecast(now, rack);
        let state = &mut self.racks[rack as usize];
        let short = state.short_at.is_some_and(|t| t + TICK_PERIOD * 2 > now);
        if forecast <= MARK && !short {
            return;
        }
        state.alert_until = now + ALERT_DURATION;
        if state.moved_at.is_some_and(|t| t + ALERT_DURATION > now) {
            return;
        }
        state.moved_at = Some(now);
        self.log_limited(
            now,
            "alert",
            format!("rack {rack} alerted: forecast {forecast:.2} of its uplink"),
            out,
        );
        let mut ids = self.rack_sessions(rack);
        // The fractional part of the number is rounded up or down at random.
        let count = BATCH_FRACTION * ids.len() as f64;
        let count = count.floor() as usize + usize::from(self.chance(count.fract()));
        self.shuffle(&mut ids);
        let movable: Vec<_> = ids.into_iter().filter(|id| self.can_move(now, *id)).take(count).collect();
        movable.into_iter().for_each(|id| self.request_move(now, id, out));
    }

    /// Mean length of a session in seconds: total playing time over ended sessions. The playing time includes
    /// that of sessions that still play.
    fn mean_session_length_s(&self) -> f64 {
        self.played.seconds / self.played.ended_sessions.max(0.1)
    }

    /// Time without a shortage or a change of rung after which a session may rise.
    fn rise_delay(&self) -> Time {
        RISE_DELAY.min((self.mean_session_length_s() * RISE_DELAY_LENGTH_SHARE * SECOND as f64) as Time)
    }

    /// Own sessions in a rack.
    fn rack_sessions(&self, rack: u32) -> Vec<SessionId> {
        self.servers_in_rack(rack).flat_map(|s| s.sessions.iter().copied()).collect()
    }

    /// Whether a session can be moved: a server in a rack without alert stores the title and has room at the
    /// same rung, and the gain exceeds the price of a move. The gain is the worth that lowering other
    /// sessions by the same rate would lose, on average over the remaining half of a session.
    fn can_move(&self, now: Time, id: SessionId) -> bool {
        let Some(s) = self.sessions.get(&id) else { return false };
        let Some(from) = s.server.and_then(|id| self.servers.get(&id)) else { return false };
        let (kb, live) = (rate_kb(&self.settings, s.class, s.rung), self.settings.classes[s.class].live);
        let highest_value = self.settings.classes.iter().map(|c| c.value).fold(0.0, f64::max);
        let gain = s.value / highest_value * self.settings.ladder[usize::from(s.rung)].worth / 2.0;
        let ineligible = s.phase != Phase::Playing
            || s.phase_since + self.rise_delay() >= now
            || (live && self.settings.shared_stream_share < 1.0);
        let is_target = |t: &Server| {
            t.rack != from.rack
                && self.racks[t.rack as usize].alert_until <= now
                && self.is_healthy(now, t)
                && self.warmth(now, t) >= 1.0
                && stores_title(&self.settings, t, &s.spec)
                && self.projected_use(now, t, kb, None) <= MARK
        };
        !ineligible && gain > self.settings.prices.session_move && self.servers.values().any(is_target)
    }

    // ---- lowering and raising rungs ------------------------------------------------------------

    /// Gain of the step from the rung below to `rung`. The cost of `switches` changes of rung is spread over
    /// the remaining playing time, assumed to be one window at most. A lowering adds its switch to what it
    /// loses; a rise subtracts its switches, so their number is negative.
    fn step_gain(&self, s: &Session, rung: u8, switches: f64) -> StepGain {
        let (high, low) =
            (self.settings.ladder[usize::from(rung)], self.settings.ladder[usize::from(rung) - 1]);
        let kb = rate_kb(&self.settings, s.class, rung) - rate_kb(&self.settings, s.class, rung - 1);
        let remaining_s = self.mean_session_length_s().min(seconds(AVERAGING_WINDOW));
        let worth = s.value * (high.worth - low.worth + switches * self.settings.switch_cost_s / remaining_s);
        StepGain { worth_per_kb: worth / kb, kb }
    }

    /// Lowers the sessions that lose least for each kB, and less than `max_worth_per_kb`, until `excess_kb`
    /// is freed. Steps are discrete and the front's part is not, so the last step is taken at random; over
    /// all fronts the sum is then right on average. A session that shares a stream counts with its full rate.
    fn shed(
        &mut self,
        now: Time,
        ids: &[SessionId],
        mut excess_kb: f64,
        max_worth_per_kb: f64,
        out: &mut Vec<Action>,
    ) {
        let mut lowered: BTreeMap<SessionId, u8> = BTreeMap::new();
        while excess_kb > 0.0 {
            let steps = ids.iter().filter_map(|id| {
                let s = self.sessions.get(id).filter(|s| s.phase == Phase::Playing && !s.moving)?;
                let rung = lowered.get(id).copied().unwrap_or(s.rung);
                let gain = (rung > s.lowest_rung).then(|| self.step_gain(s, rung, 1.0))?;
                (gain.worth_per_kb < max_worth_per_kb).then_some((gain, *id, rung - 1))
            });
            let least = steps.min_by(|(a, ..), (b, ..)| {
                a.worth_per_kb.total_cmp(&b.worth_per_kb).then(b.kb.total_cmp(&a.kb))
            });
            let Some((StepGain { kb: freed_kb, .. }, id, rung)) = least else { break };
            if excess_kb < freed_kb && !self.chance(excess_kb / freed_kb) {
                break;
            }
            lowered.insert(id, rung);
            excess_kb -= freed_kb;
        }
        for (id, rung) in lowered {
            self.change_rung(now, id, rung, out);
        }
    }

    /// Lowers sessions above their highest rung, as left by a change of settings. Each tick lowers a fraction
    /// of them to that rung in one switch, the largest differences first; all at once would be a burst at the
    /// servers.
    fn lower_to_bounds(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut above = sessions_above_bounds(&self.sessions);
        above.truncate((BATCH_FRACTION * above.len() as f64).ceil() as usize);
        above.into_iter().for_each(|id| self.change_rung(now, id, u8::MAX, out));
    }

    /// Sheds this front's part of a shortage on a server's link and on its rack's uplink, in proportion to
    /// own rates. All fronts are notified and shed their parts, so no front needs to know the others.
    fn shed_shortage(&mut self, now: Time, id: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get(&id) else { return };
        let rack = server.rack;
        // Only readings since rungs were last lowered count; the other fronts have answered earlier ones too.
        let is_new = |r: Option<Reading>, shed_at| r.is_some_and(|r| r.at >= shed_at);
        let used = self.link_use(now, server);
        if used > 1.0 / FULL_DELIVERY && is_new(server.link, server.shed_at) {
            let excess_kb = server.own_kb * (1.0 - FULL_USE / used);
            let ids: Vec<SessionId> = server.sessions.iter().copied().collect();
            self.servers.entry(id).and_modify(|s| (s.short_at, s.shed_at) = (Some(now), now));
            self.shed(now, &ids, excess_kb, f64::INFINITY, out);
        }
        let used = self.uplink_use(now, rack);
        let state = &mut self.racks[rack as usize];
        if used > 1.0 / FULL_DELIVERY && is_new(state.uplink, state.shed_at) {
            (state.short_at, state.shed_at) = (Some(now), now);
            self.check_alert(now, rack, out);
            let excess_kb = self.own_rack_kb(rack) * (1.0 - FULL_USE / used);
            let ids = self.rack_sessions(rack);
            self.shed(now, &ids, excess_kb, f64::INFINITY, out);
        }
    }

    /// Raises sessions by one rung towards their fair rung after a time without shortage. The probability of
    /// a rise is the fraction of the server's sessions for which the capacity below the mark would suffice.
    fn raise_rungs(&mut self, now: Time, out: &mut Vec<Action>) {
        let settled = |t: Option<Time>| t.is_none_or(|t| t + SETTLE_TIME <= now);
        let delay = self.rise_delay();
        let has_waited = |s: &Session| {
            let below_entry = s.rung < self.rung_steps[s.class][0].rung;
            let wait = if below_entry { SETTLE_TIME.min(delay) } else { delay };
            s.phase == Phase::Playing
                && !s.moving
                && s.rung < s.highest_rung
                && s.rung_set_at.max(s.rise_considered_at) + wait <= now
        };
        let ids: Vec<_> = self.sessions.iter().filter(|(_, s)| has_waited(s)).map(|(id, _)| *id).collect();
        let sample = if ids.is_empty() { return } else { self.sample_steps(None) };
        for id in ids {
            let Some(s) = self.sessions.get(&id) else { continue };
            let Some(server) = s.server.and_then(|id| self.servers.get(&id)) else { continue };
            let rack = &self.racks[server.rack as usize];
            if !settled(server.short_at) || !settled(rack.short_at) || rack.alert_until > now {
                continue;
            }
            let (rung, present_kb) = (s.rung + 1, rate_kb(&self.settings, s.class, s.rung));
            let added_kb = (self.added_kb(server, s, rung) - present_kb).max(0.0);
            let used = self.projected_use(now, server, 0.0, None);
            let fraction = (MARK - used) / (used * added_kb / present_kb).max(1e-6);
            // A rise may have to be reversed, so it must earn the cost of two switches.
            let is_worthwhile =
                self.step_gain(s, rung, -2.0).worth_per_kb > 0.0 && rung <= self.fair_rung(&sample, used, s);
            let fits = is_worthwhile && self.projected_use(now, server, added_kb, None) <= MARK;
            self.sessions.entry(id).and_modify(|s| s.rise_considered_at = now);
            if fits && self.chance(fraction) {
                self.change_rung(now, id, rung, out);
            }
        }
    }

    // ---- admission -----------------------------------------------------------------------------

    /// This front's sessions as a sample of those of all fronts: the efficient steps of its sessions and of a
    /// newcomer, and the sum of their rates. A newcomer counts with the mean rate. The paper's R, the mean of
    /// all rungs of the ladder, counts as one more session, which matters while there are few.
    fn sample_steps(&self, newcomer: Option<&Session>) -> DemandSample {
        let mean_rung_kb =
            self.settings.ladder.iter().map(|r| r.kb).sum::<f64>() / self.settings.ladder.len() as f64;
        let (mut steps, mut kb, mut count): (Vec<StepGain>, _, _) = (Vec::new(), mean_rung_kb, 1.0);
        for s in self.sessions.values().filter(|s| s.server.is_some()).chain(newcomer) {
            let allowed = self.rung_steps[s.class].iter().filter(|step| step.rung <= s.highest_rung);
            steps.extend(
                allowed.map(|step| StepGain { worth_per_kb: s.value * step.worth / step.kb, kb: step.kb }),
            );
            if s.server.is_some() {
                (kb, count) = (kb + rate_kb(&self.settings, s.class, s.rung), count + 1.0);
            }
        }
        steps.sort_by(|a, b| b.worth_per_kb.total_cmp(&a.worth_per_kb));
        DemandSample { steps, kb: kb / count * if newcomer.is_some() { count } else { count - 1.0 } }
    }

    /// The highest rung that a session can have if all sessions are treated alike at the present use. With
    /// the paper's `R x N` as the present demand, the sum of all rates may change by the factor of the mark
    /// over the use.
    fn fair_rung(&self, sample: &DemandSample, used: f64, s: &Session) -> u8 {
        let mut room_kb = MARK / used.max(0.05) * sample.kb;
        let first_beyond = sample.steps.iter().find(|step| {
            room_kb -= step.kb;
            room_kb < 0.0
        });
        let least_worth_per_kb = first_beyond.map_or(0.0, |step| step.worth_per_kb);
        let allowed = self.rung_steps[s.class].iter().filter(|step| step.rung <= s.highest_rung);
        let fair = allowed.take_while(|step| s.value * step.worth / step.kb >= least_worth_per_kb).last();
        fair.map_or(s.lowest_rung, |step| step.rung)
    }

    /// The server accepts set-ups and has no recent failure.
    fn is_healthy(&self, now: Time, server: &Server) -> bool {
        server.entry.state == ServerState::Ready && server.barred_until <= now && !server.failed
    }

    /// Sends a set-up to the best server, at the highest rung that fits there, or gives the final answer at
    /// once.
    fn place(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get(&id) else { return };
        let mut ranked: Vec<(Rank, ServerId, u8)> = Vec::new();
        let sample = self.sample_steps(Some(s));
        for server in self.servers.values().filter(|server| stores_title(&self.settings, server, &s.spec)) {
            let own_sessions = server.sessions.len() as f64;
            let max_streams = max_streams(&self.settings, server);
            let full = server.reported_streams.unwrap_or(0.0).max(own_sessions) >= max_streams;
            if s.excluded.contains(&server.entry.server) || full || !self.may_set_up(now, id, server) {
                continue;
            }
            // The entry rung may exceed the mark: other sessions there will be lowered for it.
            let entry = self.rung_steps[s.class].first().map_or(s.lowest_rung, |step| step.rung);
            let newcomer = |at_entry_rung: bool| Some(Newcomer { title: s.spec.title, at_entry_rung });
            let use_with = |rung: u8| {
                self.projected_use(now, server, self.added_kb(server, s, rung), newcomer(rung <= entry))
            };
            let used = self.projected_use(now, server, 0.0, newcomer(false));
            let fair = self.fair_rung(&sample, used, s).min(s.placement_limit);
            let fits = |rung: &u8| use_with(*rung) <= if *rung <= entry { ENTRY_MARK } else { MARK };
            let Some(rung) = (s.lowest_rung..=fair.max(s.lowest_rung)).rev().find(fits) else { continue };
            let alerted = self.racks[server.rack as usize].alert_until > now;
            let healthy = self.is_healthy(now, server);
            let crossing =
                if server.entry.zone == self.settings.zone { 0.0 } else { self.settings.prices.cross_zone };
            // Deviates from the paper where new connections have a price: at the same rung, a server with an
            // open connection is preferred. Otherwise fronts with little traffic would open one to nearly
            // every server. A higher rung still outweighs the connection when the few connected servers fill.
            let open = server.last_set_up_at.is_some_and(|t| t + self.settings.connection_idle_timeout > now);
            let handshake = if open { 0.0 } else { self.settings.prices.handshake };
            let cold_penalty = if self.warmth(now, server) < 1.0 { 1.0 } else { 0.0 };
            let net_worth = self.settings.ladder[usize::from(rung)].worth - crossing - handshake;
            // Deviates from the paper: viewers of a live title are placed where a stream of it already plays
            // on that rung.
            let joins = self.added_kb(server, s, rung) < rate_kb(&self.settings, s.class, rung);
            // Lowest estimated use first, then fewest own sessions.
            let load = if joins { -1.0 } else { use_with(s.lowest_rung) + cold_penalty };
            let rank = Rank {
                healthy,
                unalerted: !alerted,
                net_worth,
                negative_use: -load,
                negative_own_share: -own_sessions / max_streams,
            };
            ranked.push((rank, server.entry.server, rung));
        }
        // Fronts without readings spread their sessions over equal servers.
        self.shuffle(&mut ranked);
        ranked.sort_by(|(a, ..), (b, ..)| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
        if !ranked.into_iter().any(|(_, server, rung)| self.send_set_up(now, id, server, rung, out)) {
            self.make_room(now, id, out);
            self.refuse_or_fail(now, id, out);
        }
    }

    /// Frees capacity after a viewer was refused while others play above their lowest rungs: a multiple of
    /// the viewer's entry rate on links and uplinks above the mark, from own sessions that lose less for each
    /// kB than the viewer would earn. Since all fronts do this, the next request finds capacity there.
    fn make_room(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get(&id) else { return };
        let Some(entry) = self.rung_steps[s.class].first().copied() else { return };
        let max_worth_per_kb = ROOM_MAX_LOSS * s.value * entry.worth / entry.kb;
        let used = |server: &Server| self.link_use(now, server).max(self.uplink_use(now, server.rack));
        let is_above_mark = |server: &&Server| !server.sessions.is_empty() && used(server) >= MARK;
        let servers = self.servers.values().filter(is_above_mark);
        let ids: Vec<_> = servers.flat_map(|server| server.sessions.iter().copied()).collect();
        let room_kb = ROOM_ENTRY_RATES * rate_kb(&self.settings, s.class, entry.rung);
        self.shed(now, &ids, room_kb, max_worth_per_kb, out);
    }

    // ---- life cycle of a session ---------------------------------------------------------------

    /// Adds a session; an unknown class counts as the last one.
    fn add_session(&mut self, now: Time, id: SessionId, spec: SessionSpec) -> Option<&mut Session> {
        let class = usize::from(spec.class.0).min(self.settings.classes.len() - 1);
        let highest = highest_rung(&self.settings, class, &spec);
        self.sessions.insert(id, Session::new(now, spec, class, &self.settings.classes[class], highest));
        self.sessions.get_mut(&id)
    }

    /// A viewer asks for a session.
    fn on_request(&mut self, now: Time, id: SessionId, spec: SessionSpec, out: &mut Vec<Action>) {
        self.recent_requests.push(
            now,
            1.0,
            self.settings.rules.retry_budget.map_or(AVERAGING_WINDOW, |b| b.window),
        );
        let moved = self.recent_moves.remove(&spec.viewer).filter(|m| m.at + AVERAGING_WINDOW > now);
        let Some(s) = self.add_session(now, id, spec) else { return };
        if let Some(RecentMove { from, rung, .. }) = moved {
            s.excluded.insert(from);
            s.placement_limit = rung.min(s.highest_rung);
        }
        self.recent_specs.push_back((now, spec));
        while self.recent_specs.front().is_some_and(|(at, _)| at.saturating_add(AVERAGING_WINDOW) < now) {
            self.recent_specs.pop_front();
        }
        out.push(Action::SetTimer(spec.max_wait, id.0));
        if !self.probe_candidates(now, id, out) {
            self.place(now, id, out);
        }
    }

    /// A session was already playing when the front started; it counts for the whole averaging window.
    fn on_adopted(&mut self, now: Time, id: SessionId, spec: SessionSpec, server: ServerId) {
        let Some(s) = self.add_session(now, id, spec) else { return };
        (s.phase, s.server, s.phase_since) = (Phase::Playing, Some(server), ago(now, AVERAGING_WINDOW));
        (s.attempts, s.may_have_run) = (1, true);
        if let Some(state) = self.servers.get_mut(&server) {
            state.sessions.insert(id);
        }
        self.update_own_kb(now, server);
        self.update_typical_use(now);
    }

    /// A session plays. A server that failed before is running again, so it is cold from now on.
    fn on_started(&mut self, now: Time, id: SessionId, server: ServerId, out: &mut Vec<Action>) {
        if let Some(s) = self.sessions.get_mut(&id) {
            (s.phase, s.phase_since, s.rung_set_at) = (Phase::Playing, now, now);
        }
        if self.apply_bounds(now, id, out) {
            self.update_own_kb(now, server);
        }
        if let Some(state) = self.servers.get_mut(&server) {
            if state.failed {
                (state.failed, state.cold_since) = (false, Some(now));
            }
        }
    }

    /// Tries a request again on another server after a failed attempt.
    fn retry(&mut self, now: Time, id: SessionId, server: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        self.detach(now, id);
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.phase = Phase::Waiting;
        if !outcome.never_ran() {
            s.may_have_run = true;
            s.first_possible_run = s.first_possible_run.or(s.last_attempt);
        }
        s.excluded.insert(server);
        self.place(now, id, out);
    }

    /// Bars a server for a time after any sign of a failure: an error, a time-out, a refused or broken
    /// connection. A server whose connections break counts as failed and as cold when it returns, whatever
    /// the list says.
    fn on_failure(
        &mut self,
        now: Time,
        id: SessionId,
        server: ServerId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let was_playing = self.sessions.get(&id).is_some_and(|s| s.phase == Phase::Playing);
        let Some(state) = self.servers.get_mut(&server) else { return };
        match outcome {
            // If servers refuse because of their links, the link is full. Otherwise the server has no free
            // stream or drains before the list shows it.
            Outcome::Full if self.settings.link_refusal_threshold > 0.0 => {
                let used = state.link.map_or(1.0, |r| r.used.max(1.0));
                return state.link = Some(Reading { used, at: now });
            }
            Outcome::Broken | Outcome::ConnectFailed => state.failed = true,
            Outcome::Full | Outcome::Error | Outcome::TimedOut if !was_playing => {}
            _ => return,
        }
        if state.barred_until <= now {
            state.barred_until = now + BAR_DURATION;
            self.log_limited(now, "barred", format!("server {} barred: {outcome:?}", server.0), out);
        }
    }

    /// Ends the assignment of a session to its server.
    fn detach(&mut self, now: Time, id: SessionId) {
        let Some(server) = self.sessions.get_mut(&id).and_then(|s| s.server.take()) else { return };
        if let Some(state) = self.servers.get_mut(&server) {
            state.sessions.remove(&id);
        }
        self.update_own_kb(now, server);
    }

    /// Removes a session that has ended.
    fn remove_session(&mut self, now: Time, id: SessionId) {
        self.detach(now, id);
        self.sessions.remove(&id);
    }

    /// If probes are allowed, probes the servers that store the title and have no fresh reading, within the
    /// budget for probes. Returns true if the session has to wait for an answer.
    fn probe_candidates(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) -> bool {
        let Some(s) = self.sessions.get(&id).filter(|_| self.settings.probes) else { return false };
        self.probe_credit = (self.probe_credit
            + PROBE_COST_SHARE / self.settings.prices.probe.max(PROBE_COST_SHARE / 4.0))
        .min(MAX_PROBE_CREDIT);
        let is_stale = |server: &Server| server.link.is_none_or(|r| r.at + FRESH_READING_AGE < now);
        let storing = self.servers.values().filter(|server| stores_title(&self.settings, server, &s.spec));
        // Time of the last reading, and server.
        let mut candidates: Vec<_> = storing
            .filter(|server| {
                is_stale(server) && self.is_healthy(now, server) && self.may_set_up(now, id, server)
            })
            .map(|server| (server.link.map_or(0, |r| r.at), server.entry.server))
            .collect();
        self.shuffle(&mut candidates);
        candidates.sort_by_key(|(read_at, _)| *read_at);
        candidates.truncate(self.probe_credit.max(0.0) as usize);
        self.probe_credit -= candidates.len() as f64;
        out.extend(candidates.iter().map(|(_, server)| Action::Probe(*server)));
        let wait = !candidates.is_empty();
        let awaited = candidates.into_iter().map(|(_, server)| server).collect();
        self.sessions.entry(id).and_modify(|s| s.awaited_probes = awaited);
        wait
    }

    /// Applies the result of a probe, and places the requests that waited for this probe only.
    fn on_probed(&mut self, now: Time, server: ServerId, report: Option<Vec<f64>>, out: &mut Vec<Action>) {
        match report {
            Some(values) => {
                self.apply_report(now, now, server, &values);
                self.shed_shortage(now, server, out);
            }
            None => {
                self.servers
                    .entry(server)
                    .and_modify(|s| s.barred_until = s.barred_until.max(now + BAR_DURATION));
            }
        }
        let waiting = self.sessions.iter_mut();
        let ready = waiting.filter_map(|(id, s)| {
            (s.awaited_probes.remove(&server) && s.awaited_probes.is_empty()).then_some(*id)
        });
        let ready: Vec<SessionId> = ready.collect();
        ready.into_iter().for_each(|id| self.place(now, id, out));
    }

    /// Periodic work: clean-up, estimates, requests whose probes are late, alerts and changes of rungs.
    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        out.push(Action::SetTimer(TICK_PERIOD, TICK_TOKEN));
        self.recent_moves.retain(|_, m| m.at + AVERAGING_WINDOW > now);
        self.remove_gone_servers(now);
        let playing = self.sessions.values().filter(|s| s.phase == Phase::Playing).count() as f64;
        let decay = 1.0 - seconds(TICK_PERIOD) / seconds(LENGTH_MEMORY);
        self.played = PlayedTime {
            seconds: (self.played.seconds + playing * seconds(TICK_PERIOD)) * decay,
            ended_sessions: self.played.ended_sessions * decay,
        };
        self.update_typical_use(now);
        let is_late = |s: &Session| !s.awaited_probes.is_empty() && s.phase_since + TICK_PERIOD / 2 < now;
        let late: Vec<_> = self.sessions.iter().filter(|(_, s)| is_late(s)).map(|(id, _)| *id).collect();
        for id in late {
            self.sessions.entry(id).and_modify(|s| s.awaited_probes.clear());
            self.place(now, id, out);
        }
        for rack in 0..self.settings.racks {
            self.check_alert(now, rack, out);
        }
        self.lower_to_bounds(now, out);
        self.raise_rungs(now, out);
    }

    /// Removes servers that have left the list, after a delay in which a returning one is still known. Where
    /// ids are never reused, the state would otherwise grow without limit.
    fn remove_gone_servers(&mut self, now: Time) {
        let retention = self.settings.rules.warm_up.max(AVERAGING_WINDOW);
        self.servers.retain(|_, s| {
            let gone = s.entry.state == ServerState::Gone && s.sessions.is_empty();
            s.gone_at = if gone { s.gone_at.or(Some(now)) } else { None };
            s.gone_at.is_none_or(|at| at + retention > now)
        });
        let servers = &self.servers;
        self.racks.iter_mut().for_each(|r| r.members.retain(|id| servers.contains_key(id)));
    }

    /// The next random number in [0, 1).
    fn random_unit(&mut self) -> f64 {
        self.random_state =
            self.random_state.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        unit_interval(mix_bits(self.random_state))
    }

    /// Shuffles the items (Fisher-Yates).
    fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            let other = (self.random_unit() * (last + 1) as f64) as usize;
            items.swap(last, other.min(last));
        }
    }

    /// True with the given probability.
    fn chance(&mut self, probability: f64) -> bool {
        self.random_unit() < probability
    }

    /// Logs a line unless one of the same kind was logged recently.
    fn log_limited(&mut self, now: Time, kind: &'static str, line: String, out: &mut Vec<Action>) {
        if self.last_logged.get(kind).is_none_or(|t| t + LOG_INTERVAL <= now) {
            self.last_logged.insert(kind, now);
            out.push(Action::Log(line));
        }
    }

    // ---- guards of the six rules: the last checks before an action is emitted --------------------

    /// Rules 2 to 6 for one set-up. `Action::SetUp` is emitted only after this check.
    fn may_set_up(&self, now: Time, id: SessionId, server: &Server) -> bool {
        let Some(s) = self.sessions.get(&id) else { return false };
        // Rule 2: never two attempts at a time, and no second set-up after one that may have run.
        // An attempt that provably never ran limits nothing, even if it was the first.
        let repeatable = match (s.idempotency, s.first_possible_run) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::AtMostOnce, _) | (Idempotency::Deduplicated(..), None) => !s.may_have_run,
            (Idempotency::Deduplicated(scope, span), Some(attempt)) => {
                attempt.shares_record(scope, &server.entry) && now <= attempt.sent_at.saturating_add(span)
            }
        };
        let max_sessions = self.settings.classes[s.class].max_sessions_per_title as usize;
        let is_counted =
            |o: &&Session| o.server.is_some() && o.class == s.class && o.spec.title == s.spec.title;
        s.phase == Phase::Waiting
            && now < s.deadline
            && s.attempts < self.settings.max_attempts
            && repeatable
            // Rule 3: no set-up is sent to a server that drains or is gone; the grace period is not used.
            && server.entry.state == ServerState::Ready
            && stores_title(&self.settings, server, &s.spec)
            && self.cold_pace_allows(now, server)
            // Rule 5: the limit of sessions per title, counted from the attempt to its outcome.
            && (max_sessions == 0 || self.sessions.values().filter(is_counted).count() < max_sessions)
            && (s.attempts == 0 || self.retry_budget_allows(now))
    }

    /// Rule 4: each front keeps to its part of the set-ups that a cold server can take in a window. If that
    /// part is less than one set-up, at most one is sent in a window, and only in windows that are selected
    /// at random. The probability falls with the recent rate of requests for titles that the server stores,
    /// so the sum over all fronts keeps to the limit. Demand may rise at any time, and any window of the
    /// server overlaps two windows of a front, so the probability never exceeds the part over
    /// `COLD_PACE_SHARE`, however rare the requests were.
    fn cold_pace_allows(&self, now: Time, server: &Server) -> bool {
        let (warmth, rules) = (self.warmth(now, server), &self.settings.rules);
        if warmth >= 1.0 {
            return true;
        }
        let pace =
            max_streams(&self.settings, server) / seconds(rules.warm_up).max(0.1) * warmth * COLD_PACE_SHARE;
        let own_part = pace * rules.overload_multiple * seconds(rules.overload_window) * COLD_PACE_SHARE
            / f64::from(self.settings.fronts).max(1.0);
        let since = ago(now, AVERAGING_WINDOW).max(self.started_at.unwrap_or(now));
        let requests = self.recent_specs.iter().rev().take_while(|(at, _)| *at > since);
        let requests = requests.filter(|(_, spec)| stores_title(&self.settings, server, spec)).count() as f64;
        let requests_per_s = requests.max(1.0) / seconds(now.saturating_sub(since)).max(1.0);
        // The windows of each front have an offset of their own.
        let window = now.saturating_add(self.instance_seed % rules.overload_window.max(1))
            / rules.overload_window.max(1);
        let random_bits =
            mix_bits(self.instance_seed ^ mix_bits(window ^ mix_bits(u64::from(server.entry.server.0))));
        server.set_ups.sum_after(ago(now, rules.overload_window)) + 1.0 <= own_part.max(1.0)
            && (own_part >= 1.0
                || unit_interval(random_bits)
                    * (requests_per_s * seconds(rules.overload_window)).clamp(COLD_PACE_SHARE, 1.0)
                    <= own_part)
    }

    /// Share of its capacity that a server has reached since its start; a failed one counts as just started.
    fn warmth(&self, now: Time, server: &Server) -> f64 {
        let rules = &self.settings.rules;
        let progress = match (server.failed, server.cold_since) {
            (true, _) => 0.0,
            (false, None) => return 1.0,
            (false, Some(from)) => now.saturating_sub(from) as f64 / rules.warm_up.max(1) as f64,
        };
        (rules.cold_share + (1.0 - rules.cold_share) * progress).clamp(MIN_WARMTH, 1.0)
    }

    /// Rule 6: the retry budget. Retries in the window, including this one, are limited by the requests
    /// in it.
    fn retry_budget_allows(&self, now: Time) -> bool {
        self.settings.rules.retry_budget.is_none_or(|b| {
            let after = ago(now, b.window);
            // At the exact start of the window a retry counts, but a request does not.
            self.recent_retries.sum_after(after.saturating_sub(1)) + 1.0
                <= b.min_retries + b.retry_ratio * self.recent_requests.sum_after(after)
        })
    }

    /// Sends a set-up if the rules allow it; returns whether it was sent.
    fn send_set_up(
        &mut self,
        now: Time,
        id: SessionId,
        server: ServerId,
        rung: u8,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.servers.get(&server).is_some_and(|state| self.may_set_up(now, id, state)) {
            return false;
        }
        let within_budget = self.retry_budget_allows(now);
        self.set_rung(now, id, rung, out);
        let Some(s) = self.sessions.get_mut(&id) else { return false };
        let can_retry = s.idempotency != Idempotency::AtMostOnce
            && s.attempts + 1 < self.settings.max_attempts
            && within_budget;
        let remaining = s.deadline - now;
        let wait = if can_retry {
            remaining.min((s.set_up_target as f64 * ATTEMPT_TARGET_SHARE) as Time)
        } else {
            remaining
        };
        if s.attempts > 0 {
            self.recent_retries.push(now, 1.0, self.settings.rules.retry_budget.map_or(0, |b| b.window));
        }
        s.last_attempt = self.servers.get(&server).map(|state| SentAttempt::new(now, &state.entry));
        (s.phase, s.server, s.phase_since) = (Phase::SettingUp, Some(server), now);
        s.attempts += 1;
        if let Some(state) = self.servers.get_mut(&server) {
            state.sessions.insert(id);
            state.set_ups.push(now, 1.0, self.settings.rules.warm_up);
            state.last_set_up_at = Some(now);
        }
        self.update_own_kb(now, server);
        out.push(Action::SetUp(id, server, wait));
        true
    }

    /// Sets a session's rung. Rule 5: the rung stays within the bounds of the class and the viewer.
    fn set_rung(&mut self, now: Time, id: SessionId, rung: u8, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        (s.rung, s.rung_set_at) = (rung.min(s.highest_rung).max(s.lowest_rung), now);
        out.push(Action::SetRung(id, s.rung));
    }

    /// Sets the rung of a session that is on a server, and updates the server's sum of own rates.
    fn change_rung(&mut self, now: Time, id: SessionId, rung: u8, out: &mut Vec<Action>) {
        self.set_rung(now, id, rung, out);
        if let Some(server) = self.sessions.get(&id).and_then(|s| s.server) {
            self.update_own_kb(now, server);
        }
    }

    /// Rule 5 after a change of settings: applies the present bounds, and raises a rung below them at once.
    /// Returns whether the rung was set.
    fn apply_bounds(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) -> bool {
        let rung = self.sessions.get_mut(&id).and_then(|s| s.update_bounds(&self.settings));
        rung.map(|rung| self.set_rung(now, id, rung, out)).is_some()
    }

    /// Moves a playing session: the viewer reconnects and is placed on another server.
    fn request_move(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if let (Phase::Playing, Some(server), false) = (s.phase, s.server, s.moving) {
            s.moving = true;
            let recent = RecentMove { at: now, from: server, rung: s.rung };
            self.recent_moves.insert(s.spec.viewer, recent);
            out.push(Action::Move(id));
        }
    }

    /// Rules 1 and 2: gives a waiting request its only final answer, at the deadline at the latest. The
    /// answer is a refusal if provably no attempt ran, or if set-ups may be repeated on any server; otherwise
    /// it is a failure. While an attempt is running, its outcome is awaited first.
    fn refuse_or_fail(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.phase == Phase::Waiting) else { return };
        let may_refuse = !s.may_have_run
            || matches!(
                s.idempotency,
                Idempotency::Idempotent | Idempotency::Deduplicated(DedupScope::All, _)
            );
        let retry_after = self.settings.send_retry_after.then_some(self.settings.max_retry_after);
        let refuse = may_refuse && now < s.deadline;
        out.push(if refuse { Action::Refuse(id, retry_after) } else { Action::Fail(id) });
        self.remove_session(now, id);
    }
}
