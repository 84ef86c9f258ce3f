//! All decisions of pepperhook. The interface, its settings, events and actions, is `src/interface.rs`.
//!
//! The ordinary path is the rack-alert design (Mongay Batalla et al., section 4): `forecast` is mean rung
//! rate times averaged session count, `alert` marks a rack past its mark and moves a fraction of its
//! sessions at the same rung, `relieve` lowers rungs on short delivery, `place` admits, `rise` raises.
//! Whatever leaves this module passes the section "guards of the six rules" at the end.

use crate::interface::*;
use crate::state::*;
use crate::window::{SECOND, SlidingSum, ago, seconds};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Part of a link or uplink that may be asked for. The paper's nine tenths leave too little for what a front
/// cannot see: true rates stray from listed ones, and the others add to what was read.
const MARK: f64 = 0.8;
/// To what a shortage is shed: less than the excess leaves it, more costs switches that rises take back.
const FULL: f64 = 1.0;
/// Part of a refused viewer's worth that making room may lose.
const ROOM: f64 = 0.5;
/// First rungs freed for one refused viewer: about a whole step of an upper rung, since it helps few titles.
const AHEAD: f64 = 4.0;
/// Up to here a newcomer may come at its first worthwhile rung: short of a shortage, so that it costs nobody.
const ENTRY: f64 = 0.9;
/// Time between two looks at the racks.
const PERIOD: Time = SECOND / 2;
/// Window of the averaged count, of what is usual and of moved viewers (a third of the paper's
/// 30 s, since the sessions here last about as long as that).
const WINDOW: Time = 10 * SECOND;
/// An alert lasts so long, and moves are paced by it (the paper's T).
const ALERT: Time = 5 * SECOND;
/// Part of the sessions that an alert moves (the paper's one in five).
const FRACTION: f64 = 0.2;
/// Rungs rise after so long without a shortage or a change, and after this part of a session's mean length
/// if that is shorter: one that waits for most of its life gains nothing by the rise.
const QUIET: Time = 8 * SECOND;
const QUIET_PART: f64 = 0.4;
/// Sessions are taken to last so long (the paper's 30 s of past measurements) until some have ended; the
/// weight of that guess in ended sessions, and the time over which lengths are learnt.
const LENGTH: Time = 30 * SECOND;
const LENGTH_WEIGHT: f64 = 5.0;
const LEARN: Time = 60 * SECOND;
/// Racks count as settled, and sessions below the first worthwhile rung rise, after so long: notes come each
/// second and up to a second and a half late.
const SETTLED: Time = 2 * SECOND;
/// Delivery below this costs worth (the wire's 98 in 100).
const DELIVERED: f64 = 0.98;
/// Weight of a noisy load report against what was predicted.
const TRUST: f64 = 0.8;
/// A failure bars a server so long: it is passed over while another holder is sound.
const BAR: Time = 2 * SECOND;
/// Part of a class's aim that an attempt may take while another can follow.
const TRY_SHARE: f64 = 0.5;
/// Part of the cold budget that is used, twice over: set-ups differ in work, and lots fall by chance.
const COLD_SHARE: f64 = 0.55;
/// What probes may cost, as a part of the worth of the sessions taken.
const PROBE_SPEND: f64 = 0.01;
/// A reading older than this is worth a probe before a session is placed.
const FRESH: Time = SECOND;
/// A delivered share is smoothed over about so long.
const SMOOTH: Time = SECOND / 2;
/// A link's reading of this age still tells that short delivery is not the link's.
const KNOWN: Time = 3 * SECOND;
/// A reading loses weight at this pace (the paper's 30 s of past measurements; sessions last as long).
const MEMORY: Time = 30 * SECOND;
/// Use of links where nothing has been seen or held, and the weight of such a guess among readings.
const BLIND: f64 = 0.6;
const GUESS: f64 = 0.5;
/// Token of the periodic timer; other tokens are sessions' numbers.
const TICK: u64 = u64::MAX;

/// Sound, unalerted, worth less the crossing, lightness of burden, fewness of own sessions.
type Rank = (bool, bool, f64, f64, f64);

/// One front end's decisions.
pub struct Controller {
    set: Settings,
    /// For each class the rungs worth choosing and each one's rate and worth over the one before.
    steps: Vec<Vec<(u8, f64, f64)>>,
    servers: BTreeMap<ServerId, Server>,
    racks: Vec<Rack>,
    sessions: BTreeMap<SessionId, Session>,
    holds: BTreeMap<ReservationId, Reservation>,
    moved: BTreeMap<ViewerKey, (Time, ServerId, u8)>,
    taken: SlidingSum,
    /// What was asked for of late.
    wishes: VecDeque<(Time, SessionSpec)>,
    further: SlidingSum,
    probes: f64,
    /// Time played by sessions, in seconds, and how many of them played to their end: both fade.
    played: (f64, f64),
    /// When the first event came.
    began: Option<Time>,
    random: u64,
    dice: u64,
    /// Usual use of a link and of an uplink.
    usual: (f64, f64),
    logged: BTreeMap<&'static str, Time>,
}

impl Controller {
    /// Starts empty, with the instance's own seed.
    ///
    /// # Errors
    /// When the settings do not agree with one another.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            steps: all_steps(&settings),
            servers: BTreeMap::new(),
            racks: (0..settings.racks).map(|_| Rack::default()).collect(),
            sessions: BTreeMap::new(),
            holds: BTreeMap::new(),
            moved: BTreeMap::new(),
            taken: SlidingSum::default(),
            wishes: VecDeque::new(),
            further: SlidingSum::default(),
            probes: 0.0,
            played: (LENGTH_WEIGHT * seconds(LENGTH), LENGTH_WEIGHT),
            began: None,
            random: scatter(seed),
            dice: scatter(seed) | 1,
            usual: (BLIND, BLIND),
            logged: BTreeMap::new(),
            set: settings,
        })
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.began.is_none() {
            self.began = Some(now);
            out.push(Action::SetTimer(PERIOD / 2 + self.random % (PERIOD / 2), TICK));
            if self.set.list_on_request {
                out.push(Action::WatchList);
            }
        }
        match event {
            Event::ListFull(entries) => self.list(entries, true),
            Event::ListChanged(entries) => self.list(entries, false),
            Event::ListFailed if self.set.list_on_request => out.push(Action::WatchList),
            Event::Request(id, wish) => self.request(now, id, wish, out),
            Event::Adopted(id, wish, server) => self.under_way(now, id, wish, server),
            Event::Started(id, server) => self.started(now, id, server, out),
            Event::Ended { session, server, outcome, is_final: settled, report } => {
                self.report(now, now, server, &report);
                self.symptom(now, session, server, outcome, out);
                if settled {
                    self.played.1 += f64::from(u8::from(outcome == Outcome::Served));
                    self.forget(now, session);
                } else {
                    self.retry(now, session, server, outcome, out);
                }
            }
            Event::Closed(id) => self.forget(now, id),
            Event::Notification(id, server, kind, value) => self.note(now, (id, server, kind, value), out),
            Event::Probed(server, report) => self.probed(now, server, report, out),
            Event::PeerReport(server, age, values) => {
                self.report(now, ago(now, age), server, &values);
                self.relieve(now, server, out);
            }
            Event::Reserved(id, hold) => self.hold(id, hold),
            Event::ListFailed | Event::Message(..) => {}
            Event::Timer(TICK) => self.tick(now, out),
            Event::Timer(token) => self.give_up(now, SessionId(token), out),
        }
    }

    /// Goes on by other settings: what was counted, seen and promised stands (`docs/policy-module.md` has the
    /// rule for each account).
    ///
    /// # Errors
    /// When they do not agree with one another or with what cannot change; then nothing has changed.
    pub fn change(&mut self, now: Time, set: Settings, out: &mut Vec<Action>) -> Result<(), SettingsError> {
        set.validate()?;
        self.set.validate_change(&set)?;
        (self.steps, self.set) = (all_steps(&set), set);
        let servers: Vec<ServerId> = self.servers.keys().copied().collect();
        // Rates that are told otherwise are no change of demand: readings since then stand.
        self.servers.values_mut().for_each(|s| s.own_kb = own_kb(&self.set, s, &self.sessions));
        let sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        sessions.into_iter().for_each(|id| _ = self.fit(now, id, out));
        servers.into_iter().for_each(|id| self.resum(now, id));
        Ok(())
    }

    /// What is held of servers and racks, for display; nothing is decided by it.
    #[must_use]
    pub fn view(&self, now: Time) -> (Vec<ServerView>, Vec<RackView>) {
        let server = |s: &Server| ServerView {
            entry: s.entry,
            rack: s.rack,
            sessions: s.sessions.len(),
            own_kb: s.own_kb,
            link_use: self.link_use(now, s),
            warmth: self.warmth(now, s),
            barred: s.barred_until > now || s.lost,
        };
        let rack = |rack: u32| RackView {
            rack,
            forecast: self.forecast(now, rack),
            uplink_use: self.uplink_use(now, rack),
            mark: MARK,
            alerted: self.racks[rack as usize].alert_until > now,
        };
        (self.servers.values().map(server).collect(), (0..self.set.racks).map(rack).collect())
    }

    // ---- the list of servers -------------------------------------------------------------------

    fn list(&mut self, entries: Vec<ServerEntry>, full: bool) {
        if full {
            let named: BTreeSet<_> = entries.iter().map(|e| e.server).collect();
            for (id, server) in &mut self.servers {
                if !named.contains(id) {
                    server.entry.state = ServerState::Gone;
                }
            }
        }
        for entry in entries {
            let rack = entry.cell % self.set.racks;
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry, rack));
            self.racks[rack as usize].members.insert(entry.server);
            if entry.started > server.entry.started {
                server.cold_from = entry.started;
                (server.lost, server.barred_until, server.link) = (false, 0, None);
            }
            (server.entry, server.rack) = (entry, rack);
        }
    }

    // ---- what is asked and what is given -------------------------------------------------------

    /// What a session adds to a server: only a part where it joins a live stream.
    fn added_kb(&self, server: &Server, session: &Session, rung: u8) -> f64 {
        let joins =
            self.set.classes[session.class].live
                && server.sessions.iter().filter_map(|id| self.sessions.get(id)).any(|s| {
                    s.wish.title == session.wish.title && s.class == session.class && s.rung == rung
                });
        rate(&self.set, session.class, rung) * if joins { self.set.shared_stream_share } else { 1.0 }
    }

    /// Brings the account of own rates on a server up to date.
    fn resum(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let own = own_kb(&self.set, server, &self.sessions);
        let change = own - server.own_kb;
        server.own_kb = own;
        if change != 0.0 {
            server.changes.push(now, change, WINDOW);
            self.racks[server.rack as usize].changes.push(now, change, WINDOW);
        }
    }

    fn link_kb(&self, now: Time, server: &Server) -> f64 {
        let listed = server.entry.weight * self.set.kb_per_weight;
        let even = self.set.all_links_kb / self.servers.len().max(1) as f64;
        let link = if listed.is_finite() && listed > 0.0 { listed } else { even.max(1.0) };
        link * self.warmth(now, server)
    }

    /// A reading loses weight with age and leans towards what is usual; own changes since are added, and
    /// growth counts for the other fronts too, by this front's part of the demand.
    fn estimate(&self, now: Time, seen: Option<Reading>, usual: f64, own: f64, change: f64) -> f64 {
        let Some(r) = seen else { return own.max(usual) };
        let others = (r.used / (own - change).max(0.01)).clamp(1.0, f64::from(self.set.fronts));
        let weight = (-seconds(now.saturating_sub(r.at)) / seconds(MEMORY)).exp();
        let grown = r.used + if change > 0.0 { change * others } else { change };
        own.max(usual + weight * (grown - usual))
    }

    /// What was last seen of a link. A shortage is told again each second while it lasts: one that was
    /// not told again is over (it was relieved, or its sessions ended): then the link is full at most.
    fn seen(&self, now: Time, server: &Server) -> Option<Reading> {
        let told = SETTLED.saturating_add(self.set.notification_delay);
        let over = |r: &Reading| r.used > 1.0 / DELIVERED && r.at.saturating_add(told) <= now;
        server.link.map(|r| if over(&r) { Reading { used: FULL, at: r.at } } else { r })
    }

    /// Use of a server's link: own rates in force or what was seen, if larger.
    fn link_use(&self, now: Time, server: &Server) -> f64 {
        let (link, seen) = (self.link_kb(now, server), self.seen(now, server));
        let change = seen.map_or(0.0, |r| server.changes.since(r.at) / link);
        self.estimate(now, seen, self.usual.0, server.own_kb / link, change)
    }

    fn in_rack(&self, rack: u32) -> impl Iterator<Item = &Server> {
        let members = self.racks[rack as usize].members.iter().filter_map(|id| self.servers.get(id));
        members.filter(move |s| s.rack == rack && s.entry.state != ServerState::Gone)
    }

    fn own_rack_kb(&self, rack: u32) -> f64 {
        self.in_rack(rack).map(|s| s.own_kb).sum()
    }

    /// What the rack's servers are asked for together, by what is seen of their links.
    fn rack_kb(&self, now: Time, rack: u32) -> f64 {
        self.in_rack(rack).map(|s| self.link_use(now, s) * self.link_kb(now, s)).sum()
    }

    fn uplink_use(&self, now: Time, rack: u32) -> f64 {
        let (state, uplink) = (&self.racks[rack as usize], self.set.uplink_kb);
        if !self.set.gauges.contains(&Gauge::Uplink) {
            // Where no link is seen the guess is an uplink's: links' guesses summed may refuse all for ever.
            let fresh = |s: &Server| self.seen(now, s).is_some_and(|r| r.at.saturating_add(WINDOW) > now);
            let most = if self.in_rack(rack).any(fresh) { f64::INFINITY } else { self.usual.1 };
            return (self.rack_kb(now, rack) / uplink).min(most.max(self.own_rack_kb(rack) / uplink));
        }
        let change = state.uplink.map_or(0.0, |r| state.changes.since(r.at) / uplink);
        self.estimate(now, state.uplink, self.usual.1, self.own_rack_kb(rack) / uplink, change)
    }

    /// What is usual on a link and an uplink: the mean of what was seen, the fresh counting most; where
    /// nothing was, own sessions stand for those of an average front.
    fn learn_usual(&mut self, now: Time) {
        let own = self.servers.values().map(|s| s.own_kb).sum::<f64>() * f64::from(self.set.fronts);
        // Departure: own demand is a sample of all fronts'. Readings are late, so that what has come and gone
        // here since one is taken to have done so elsewhere, up to twice; not what a start hands over.
        let kb: f64 = self.servers.values().map(|s| s.own_kb).sum();
        let one = self.set.ladder.iter().map(|r| r.kb).sum::<f64>() / self.set.ladder.len() as f64;
        let begun = self.began.map_or(0, |t| t.saturating_add(SETTLED));
        let grown = |at: Time| {
            let change: f64 = self.racks.iter().map(|r| r.changes.since(at.max(begun))).sum();
            ((kb + one) / ((kb - change).max(0.0) + one)).clamp(0.5, 2.0)
        };
        let mean = |seen: &mut dyn Iterator<Item = Reading>, all: f64| {
            let guess = if own > 0.0 { (own / all).clamp(BLIND / 2.0, MARK) } else { BLIND };
            let sum = seen.fold((guess * GUESS, GUESS), |sum, r| {
                let weight = (-seconds(now.saturating_sub(r.at)) / seconds(WINDOW)).exp();
                (sum.0 + weight * r.used * grown(r.at), sum.1 + weight)
            });
            sum.0 / sum.1
        };
        // Short delivery is told only of links that are short: a server that is silent though own sessions
        // play there counts beside them, else every link would seem short.
        let silent = |s: &Server| (!s.sessions.is_empty()).then_some(Reading { used: BLIND, at: now });
        let seen = |s: &Server| self.seen(now, s).filter(|r| r.at + WINDOW > now).or_else(|| silent(s));
        let links = if self.set.all_links_kb > 0.0 { self.set.all_links_kb } else { f64::INFINITY };
        self.usual = (
            mean(&mut self.servers.values().filter_map(seen), links),
            mean(
                &mut self.racks.iter().filter_map(|r| r.uplink),
                self.set.uplink_kb * self.racks.len() as f64,
            ),
        );
    }

    /// Departure, only where a peak was announced: room is held for viewers who are still to come.
    fn hold(&mut self, id: ReservationId, mut hold: Reservation) {
        hold.servers.retain(|(_, kb)| kb.is_finite() && *kb > 0.0);
        self.holds.remove(&id);
        if !hold.servers.is_empty() {
            self.holds.insert(id, hold);
        }
    }

    /// What is held on a rack, and of that on one server. It stands for demand that is asked for already:
    /// forecast, admission and rises see it. Shedding never does, so that nobody is lowered for room that
    /// nobody uses yet. A newcomer it is held for finds all of it free for its first worthwhile rung, and one
    /// viewer's part for more: else the first to come would take the room of those after them.
    fn held(&self, rack: u32, on: Option<ServerId>, newcomer: Option<(TitleId, bool)>) -> (f64, f64) {
        let there = |id: &ServerId| {
            self.servers.get(id).is_some_and(|s| s.rack == rack && s.entry.state == ServerState::Ready)
        };
        self.holds.values().fold((0.0, 0.0), |sum, h| {
            let free = match newcomer.filter(|(t, _)| h.titles.contains(t)) {
                Some((_, true)) => f64::INFINITY,
                Some((_, false)) => h.per_viewer_kb,
                None => 0.0,
            };
            let all: f64 = h.servers.iter().filter(|(id, _)| there(id)).map(|(_, kb)| kb).sum();
            let here: f64 =
                h.servers.iter().filter(|(id, _)| on == Some(*id) && there(id)).map(|(_, kb)| kb).sum();
            (sum.0 + (all - free).max(0.0), sum.1 + (here - free).max(0.0))
        })
    }

    /// Use of the fuller of link and uplink with `kb` more: for a newcomer to this title, on its first rung
    /// or a higher one, or for one who plays.
    fn strain(&self, now: Time, server: &Server, kb: f64, newcomer: Option<(TitleId, bool)>) -> f64 {
        let (in_rack, here) = self.held(server.rack, Some(server.entry.server), newcomer);
        let link = self.link_use(now, server) + (kb + here) / self.link_kb(now, server);
        link.max(self.uplink_use(now, server.rack) + (kb + in_rack) / self.set.uplink_kb)
    }

    /// Takes in a load report; values out of range are passed over, noise is smoothed by the prediction. One
    /// that another front took some time ago changes nothing where a later one is known.
    fn report(&mut self, now: Time, at: Time, id: ServerId, values: &[f64]) {
        let Some(server) = self.servers.get(&id) else { return };
        let (link, uplink) = (self.link_use(now, server), self.uplink_use(now, server.rack));
        let Some(server) = self.servers.get_mut(&id) else { return };
        for (gauge, value) in self.set.gauges.iter().zip(values.iter().copied()) {
            let reading = |was: f64| Some(Reading { used: was + TRUST * (value.min(10.0) - was), at });
            let known = |r: Option<Reading>| r.is_some_and(|r| r.at > at);
            match gauge {
                _ if !value.is_finite() || value < 0.0 => {}
                Gauge::Link | Gauge::LinkCapped | Gauge::Streams if known(server.link) => {}
                Gauge::Uplink if known(self.racks[server.rack as usize].uplink) => {}
                Gauge::Streams => server.streams = Some(value),
                // At its upper end this gauge tells no more than that the link is full.
                Gauge::LinkCapped if value >= DELIVERED && server.link.is_some_and(|r| r.used > value) => {}
                Gauge::Link | Gauge::LinkCapped => server.link = reading(link),
                Gauge::Uplink => self.racks[server.rack as usize].uplink = reading(uplink),
                Gauge::Other => {}
            }
        }
    }

    fn note(&mut self, now: Time, note: (SessionId, ServerId, NotificationKind, f64), out: &mut Vec<Action>) {
        let (id, server, kind, value) = note;
        let Some(state) = self.servers.get_mut(&server) else { return };
        if !value.is_finite() || value < 0.0 {
            return;
        }
        // A note at set-up, with the start, tells of now; later ones are late.
        let starts = self.sessions.get_mut(&id).filter(|s| s.since == now);
        // A session placed on a guess need not wait with its rung: now the server is known.
        let starts = starts.map(|s| (s.changed, s.weighed) = (0, 0)).is_some();
        let at = if starts { now } else { ago(now, self.set.notification_delay) };
        let rack = state.rack;
        match kind {
            NotificationKind::Rung => {
                if let Some(s) = self.sessions.get_mut(&id) {
                    s.rung = (value as u8).min(s.top.max(s.rung));
                    self.resum(now, server);
                }
            }
            NotificationKind::LinkUse => state.link = Some(Reading { used: value.min(10.0), at }),
            NotificationKind::UplinkUse => {
                self.racks[rack as usize].uplink = Some(Reading { used: value.min(10.0), at });
            }
            NotificationKind::Delivered => return self.delivered(now, server, value.clamp(0.05, 1.0), out),
        }
        self.relieve(now, server, out);
    }

    /// Short delivery: every front sheds its own part on that server, whether link or uplink is short, since
    /// on a short uplink all servers of the rack tell so. Where the link's use does not explain it, the
    /// rack is at the mark.
    fn delivered(&mut self, now: Time, id: ServerId, share: f64, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get(&id) else { return };
        let (at, rack) = (ago(now, self.set.notification_delay), server.rack);
        // The share is smoothed and late: what it tells of the time before the last relief has been answered.
        let relieved = server.relieved_at.max(self.racks[rack as usize].relieved_at);
        if share >= DELIVERED || at < relieved.saturating_add(SMOOTH) {
            return;
        }
        let (used, known) = (1.0 / share, server.link.is_some_and(|r| r.at + KNOWN > now));
        let by_link = !known || self.link_use(now, server) >= MARK;
        if !by_link {
            self.racks[rack as usize].short_at = Some(now);
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.short_at, server.relieved_at) = (Some(now), now);
        if by_link {
            server.link = Some(Reading { used, at });
        }
        let (kb, ids) = (server.own_kb * (1.0 - share), server.sessions.iter().copied().collect::<Vec<_>>());
        self.shed(now, &ids, kb, f64::INFINITY, out);
    }

    // ---- forecast, alert, moves ----------------------------------------------------------------

    /// The paper's forecast: R, the mean over titles of the mean rate in force, times N, each session
    /// counted by the part of the window for which it has been there. Sessions that left drop out of the
    /// whole window, so that a viewer who reconnects is never counted twice. Reported use, if larger.
    fn forecast(&self, now: Time, rack: u32) -> f64 {
        let mut titles: BTreeMap<TitleId, (f64, f64)> = BTreeMap::new();
        let mut count = 0.0;
        for s in self.in_rack(rack).flat_map(|s| &s.sessions).filter_map(|id| self.sessions.get(id)) {
            let title = titles.entry(s.wish.title).or_default();
            *title = (title.0 + rate(&self.set, s.class, s.rung), title.1 + 1.0);
            count += (now.saturating_sub(s.since).min(WINDOW)) as f64 / WINDOW as f64;
        }
        let mean = titles.values().map(|(kb, n)| kb / n).sum::<f64>() / titles.len().max(1) as f64;
        let uplink = self.set.uplink_kb;
        let inferred = if mean > 0.0 { self.uplink_use(now, rack) * uplink / mean } else { 0.0 };
        mean * count.max(inferred) / uplink + self.held(rack, None, None).0 / uplink
    }

    fn alert(&mut self, now: Time, rack: u32, out: &mut Vec<Action>) {
        let forecast = self.forecast(now, rack);
        let state = &mut self.racks[rack as usize];
        let short = state.short_at.is_some_and(|t| t + PERIOD * 2 > now);
        if forecast <= MARK && !short {
            return;
        }
        state.alert_until = now + ALERT;
        if state.moved_at.is_some_and(|t| t + ALERT > now) {
            return;
        }
        state.moved_at = Some(now);
        self.log(now, "alert", format!("rack {rack} alerted: forecast {forecast:.2} of its uplink"), out);
        let mut ids = self.rack_sessions(rack);
        let most = FRACTION * ids.len() as f64;
        let most = most.floor() as usize + usize::from(self.chance(most.fract()));
        self.shuffle(&mut ids);
        let can: Vec<_> = ids.into_iter().filter(|id| self.can_move(now, *id)).take(most).collect();
        can.into_iter().for_each(|id| self.shift(now, id, out));
    }

    /// Mean length of a session: time played over sessions that ended, so that those still playing count too.
    fn length(&self) -> f64 {
        self.played.0 / self.played.1.max(0.1)
    }

    fn quiet(&self) -> Time {
        QUIET.min((self.length() * QUIET_PART * SECOND as f64) as Time)
    }

    fn rack_sessions(&self, rack: u32) -> Vec<SessionId> {
        self.in_rack(rack).flat_map(|s| s.sessions.iter().copied()).collect()
    }

    /// A holder on an unalerted rack with room at the same rung, if moving there earns its price: the rate
    /// moved is worth what lowering others by as much would lose, for half a session on average.
    fn can_move(&self, now: Time, id: SessionId) -> bool {
        let Some(s) = self.sessions.get(&id) else { return false };
        let Some(from) = s.server.and_then(|id| self.servers.get(&id)) else { return false };
        let (kb, shared) = (rate(&self.set, s.class, s.rung), self.set.classes[s.class].live);
        let best = self.set.classes.iter().map(|c| c.value).fold(0.0, f64::max);
        let gain = s.value / best * self.set.ladder[usize::from(s.rung)].worth / 2.0;
        let idle = s.phase != Phase::Playing
            || s.since + self.quiet() >= now
            || (shared && self.set.shared_stream_share < 1.0);
        let fit = |t: &Server| {
            t.rack != from.rack
                && self.racks[t.rack as usize].alert_until <= now
                && self.sound(now, t)
                && self.warmth(now, t) >= 1.0
                && holds(&self.set, t, &s.wish)
                && self.strain(now, t, kb, None) <= MARK
        };
        !idle && gain > self.set.prices.session_move && self.servers.values().any(fit)
    }

    // ---- rungs down and up ---------------------------------------------------------------------

    /// Worth for each kB of the step to a rung from the one below, and its rate. A session is taken to
    /// play on for a window; what the switches cost is spread over it (negative: saved by not rising).
    fn step(&self, s: &Session, rung: u8, switches: f64) -> (f64, f64) {
        let (high, low) = (self.set.ladder[usize::from(rung)], self.set.ladder[usize::from(rung) - 1]);
        let kb = rate(&self.set, s.class, rung) - rate(&self.set, s.class, rung - 1);
        let lasts = self.length().min(seconds(WINDOW));
        (s.value * (high.worth - low.worth + switches * self.set.switch_cost_s / lasts) / kb, kb)
    }

    /// Lowers those sessions that lose least for each kB, and less than `limit`, until `kb` are free. Steps
    /// are whole and the own part is not: the last is left to chance, so that in sum over all fronts it
    /// comes out even. One who shares a stream frees what that viewer alone adds.
    fn shed(&mut self, now: Time, ids: &[SessionId], mut kb: f64, limit: f64, out: &mut Vec<Action>) {
        let mut lowered: BTreeMap<SessionId, u8> = BTreeMap::new();
        while kb > 0.0 {
            let steps = ids.iter().filter_map(|id| {
                let s = self.sessions.get(id).filter(|s| s.phase == Phase::Playing && !s.moving)?;
                let rung = lowered.get(id).copied().unwrap_or(s.rung);
                let (slope, kb) = (rung > s.floor).then(|| self.step(s, rung, 1.0))?;
                (slope < limit).then_some((slope, kb, *id, rung - 1))
            });
            let least = steps.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.total_cmp(&a.1)));
            let Some((_, freed, id, rung)) = least else { break };
            if kb < freed && !self.chance(kb / freed) {
                break;
            }
            lowered.insert(id, rung);
            kb -= freed;
        }
        for (id, rung) in lowered {
            self.turn(now, id, rung, out);
        }
    }

    /// After a change to lower tops: at each look one in five of those above theirs goes there, in one
    /// switch, the highest first. All at once would be a burst at the servers.
    fn lower(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut over = above(&self.sessions);
        over.truncate((FRACTION * over.len() as f64).ceil() as usize);
        over.into_iter().for_each(|id| self.turn(now, id, u8::MAX, out));
    }

    /// Own part of the shortage on a server's link and on its rack's uplink is shed at once, in proportion:
    /// every front hears of it and sheds its own part, so none needs to know the others.
    fn relieve(&mut self, now: Time, id: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get(&id) else { return };
        let rack = server.rack;
        // Only on what was seen, and since the last relief: before, the other fronts have answered it too.
        let fresh = |r: Option<Reading>, relieved| r.is_some_and(|r| r.at >= relieved);
        let used = self.link_use(now, server);
        if used > 1.0 / DELIVERED && fresh(server.link, server.relieved_at) {
            let kb = server.own_kb * (1.0 - FULL / used);
            let ids: Vec<SessionId> = server.sessions.iter().copied().collect();
            self.servers.entry(id).and_modify(|s| (s.short_at, s.relieved_at) = (Some(now), now));
            self.shed(now, &ids, kb, f64::INFINITY, out);
        }
        let used = self.uplink_use(now, rack);
        let state = &mut self.racks[rack as usize];
        if used > 1.0 / DELIVERED && fresh(state.uplink, state.relieved_at) {
            (state.short_at, state.relieved_at) = (Some(now), now);
            self.alert(now, rack, out);
            let kb = self.own_rack_kb(rack) * (1.0 - FULL / used);
            let ids = self.rack_sessions(rack);
            self.shed(now, &ids, kb, f64::INFINITY, out);
        }
    }

    /// After quiet a session rises a step towards its fair rung, by chance: if all sessions there were to
    /// take theirs, what is left under the mark would do for so many of them.
    fn rise(&mut self, now: Time, out: &mut Vec<Action>) {
        let settled = |t: Option<Time>| t.is_none_or(|t| t + SETTLED <= now);
        let quiet = self.quiet();
        let waited = |s: &Session| {
            let wait = if s.rung < self.steps[s.class][0].0 { SETTLED.min(quiet) } else { quiet };
            s.phase == Phase::Playing && !s.moving && s.rung < s.top && s.changed.max(s.weighed) + wait <= now
        };
        let ids: Vec<_> = self.sessions.iter().filter(|(_, s)| waited(s)).map(|(id, _)| *id).collect();
        let sample = if ids.is_empty() { return } else { self.sample(None) };
        for id in ids {
            let Some(s) = self.sessions.get(&id) else { continue };
            let Some(server) = s.server.and_then(|id| self.servers.get(&id)) else { continue };
            let rack = &self.racks[server.rack as usize];
            if !settled(server.short_at) || !settled(rack.short_at) || rack.alert_until > now {
                continue;
            }
            let (rung, held) = (s.rung + 1, rate(&self.set, s.class, s.rung));
            let kb = (self.added_kb(server, s, rung) - held).max(0.0);
            let used = self.strain(now, server, 0.0, None);
            let part = (MARK - used) / (used * kb / held).max(1e-6);
            // A rise may have to be taken back, so that it must earn two switches.
            let earns = self.step(s, rung, -2.0).0 > 0.0 && rung <= self.fair_rung(&sample, used, s);
            let fits = earns && self.strain(now, server, kb, None) <= MARK;
            self.sessions.entry(id).and_modify(|s| s.weighed = now);
            if fits && self.chance(part) {
                self.turn(now, id, rung, out);
            }
        }
    }

    // ---- admission -----------------------------------------------------------------------------

    /// What this front holds stands for what all fronts hold: the worthwhile steps of its sessions, and of a
    /// newcomer, best for each kB first, and the rates that they have together. A newcomer counts for the
    /// mean, and among few sessions the paper's R, the mean of all rungs on offer, counts as one more.
    fn sample(&self, newcomer: Option<&Session>) -> (Vec<(f64, f64)>, f64) {
        let on_offer = self.set.ladder.iter().map(|r| r.kb).sum::<f64>() / self.set.ladder.len() as f64;
        let (mut steps, mut kb, mut n): (Vec<(f64, f64)>, _, _) = (Vec::new(), on_offer, 1.0);
        for s in self.sessions.values().filter(|s| s.server.is_some()).chain(newcomer) {
            let within = self.steps[s.class].iter().filter(|(rung, ..)| *rung <= s.top);
            steps.extend(within.map(|(_, kb, worth)| (s.value * worth / kb, *kb)));
            if s.server.is_some() {
                (kb, n) = (kb + rate(&self.set, s.class, s.rung), n + 1.0);
            }
        }
        steps.sort_by(|a, b| b.0.total_cmp(&a.0));
        (steps, kb / n * if newcomer.is_some() { n } else { n - 1.0 })
    }

    /// The highest rung that sessions could have alike where so much is in use: with `R x N` as seen there,
    /// all rates could grow, or must fall, by mark over use.
    fn fair_rung(&self, sample: &(Vec<(f64, f64)>, f64), used: f64, s: &Session) -> u8 {
        let mut room = MARK / used.max(0.05) * sample.1;
        let over = sample.0.iter().find(|(_, kb)| {
            room -= kb;
            room < 0.0
        });
        let price = over.map_or(0.0, |(slope, _)| *slope);
        let own = self.steps[s.class].iter().filter(|(rung, ..)| *rung <= s.top);
        let fair = own.take_while(|(_, kb, worth)| s.value * worth / kb >= price).last();
        fair.map_or(s.floor, |(rung, ..)| *rung)
    }

    fn sound(&self, now: Time, server: &Server) -> bool {
        server.entry.state == ServerState::Ready && server.barred_until <= now && !server.lost
    }

    /// Finds a server and a rung, or gives the final answer at once.
    fn place(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get(&id) else { return };
        let mut ranked: Vec<(Rank, ServerId, u8)> = Vec::new();
        let sample = self.sample(Some(s));
        for server in self.servers.values().filter(|h| holds(&self.set, h, &s.wish)) {
            let own = server.sessions.len() as f64;
            let places = streams(&self.set, server);
            let full = server.streams.unwrap_or(0.0).max(own) >= places;
            if s.shun.contains(&server.entry.server) || full || !self.may_send(now, id, server) {
                continue;
            }
            // The first worthwhile rung may go past the mark: the others there will make room.
            let entry = self.steps[s.class].first().map_or(s.floor, |(r, ..)| *r);
            let newcomer = |r: u8| Some((s.wish.title, r <= entry));
            let with = |r: u8| self.strain(now, server, self.added_kb(server, s, r), newcomer(r));
            let used = self.strain(now, server, 0.0, Some((s.wish.title, false)));
            let fair = self.fair_rung(&sample, used, s).min(s.cap);
            let fits = |r: &u8| with(*r) <= if *r <= entry { ENTRY } else { MARK };
            let Some(rung) = (s.floor..=fair.max(s.floor)).rev().find(fits) else { continue };
            let alerted = self.racks[server.rack as usize].alert_until > now;
            let sound = self.sound(now, server);
            let crossing = if server.entry.zone == self.set.zone { 0.0 } else { self.set.prices.cross_zone };
            // Departure, only where new connections are priced: a holder that a set-up went to before its
            // connection idles out is preferred at the same rung. Fronts with little traffic each open
            // one to nearly every server else; a front whose few servers fill still goes by the rung.
            let open = server.sent_at.is_some_and(|t| t + self.set.connection_idle_timeout > now);
            let handshake = if open { 0.0 } else { self.set.prices.handshake };
            let cold = if self.warmth(now, server) < 1.0 { 1.0 } else { 0.0 };
            let worth = self.set.ladder[usize::from(rung)].worth - crossing - handshake;
            // Departure: viewers of a live title gather where its stream of that rung already plays.
            let joins = self.added_kb(server, s, rung) < rate(&self.set, s.class, rung);
            // The fewest sessions for its size as inferred from what is seen, else the fewest own.
            let burden = if joins { -1.0 } else { with(s.floor) + cold };
            ranked.push(((sound, !alerted, worth, -burden, -own / places), server.entry.server, rung));
        }
        // Fronts that know nothing of the holders spread over them.
        self.shuffle(&mut ranked);
        ranked.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(std::cmp::Ordering::Equal));
        if !ranked.into_iter().any(|(_, server, rung)| self.send(now, id, server, rung, out)) {
            self.make_room(now, id, out);
            self.give_up(now, id, out);
        }
    }

    /// A viewer was turned away while others play above the lowest rungs: this front frees a few times that
    /// viewer's first rung on links and uplinks past the mark, from own sessions that lose less for each kB
    /// than the viewer would earn. As all fronts do so, room comes about where it is short, for the next try.
    fn make_room(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get(&id) else { return };
        let Some((rung, kb, worth)) = self.steps[s.class].first().copied() else { return };
        let limit = ROOM * s.value * worth / kb;
        let used = |h: &Server| self.link_use(now, h).max(self.uplink_use(now, h.rack));
        let tight = |h: &&Server| !h.sessions.is_empty() && used(h) >= MARK;
        let servers = self.servers.values().filter(tight);
        let ids: Vec<_> = servers.flat_map(|h| h.sessions.iter().copied()).collect();
        self.shed(now, &ids, AHEAD * rate(&self.set, s.class, rung), limit, out);
    }

    // ---- the life of a session -----------------------------------------------------------------

    fn admit(&mut self, now: Time, id: SessionId, wish: SessionSpec) -> Option<&mut Session> {
        let class = usize::from(wish.class.0).min(self.set.classes.len() - 1);
        let top = highest(&self.set, class, &wish);
        self.sessions.insert(id, Session::new(now, wish, class, &self.set.classes[class], top));
        self.sessions.get_mut(&id)
    }

    fn request(&mut self, now: Time, id: SessionId, wish: SessionSpec, out: &mut Vec<Action>) {
        self.taken.push(now, 1.0, self.set.rules.retry_budget.map_or(WINDOW, |b| b.window));
        let moved = self.moved.remove(&wish.viewer).filter(|(at, ..)| at + WINDOW > now);
        let Some(s) = self.admit(now, id, wish) else { return };
        if let Some((_, left, rung)) = moved {
            s.shun.insert(left);
            s.cap = rung.min(s.top);
        }
        self.wishes.push_back((now, wish));
        while self.wishes.front().is_some_and(|(at, _)| at.saturating_add(WINDOW) < now) {
            self.wishes.pop_front();
        }
        out.push(Action::SetTimer(wish.max_wait, id.0));
        if !self.ask_holders(now, id, out) {
            self.place(now, id, out);
        }
    }

    fn under_way(&mut self, now: Time, id: SessionId, wish: SessionSpec, server: ServerId) {
        let Some(s) = self.admit(now, id, wish) else { return };
        (s.phase, s.server, s.since) = (Phase::Playing, Some(server), ago(now, WINDOW));
        (s.attempts, s.maybe_ran) = (1, true);
        if let Some(state) = self.servers.get_mut(&server) {
            state.sessions.insert(id);
        }
        self.resum(now, server);
        self.learn_usual(now);
    }

    fn started(&mut self, now: Time, id: SessionId, server: ServerId, out: &mut Vec<Action>) {
        if let Some(s) = self.sessions.get_mut(&id) {
            (s.phase, s.since, s.changed) = (Phase::Playing, now, now);
        }
        if self.fit(now, id, out) {
            self.resum(now, server);
        }
        if let Some(state) = self.servers.get_mut(&server) {
            if state.lost {
                (state.lost, state.cold_from) = (false, Some(now));
            }
        }
    }

    fn retry(&mut self, now: Time, id: SessionId, server: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        self.unbind(now, id);
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.phase = Phase::Waiting;
        s.maybe_ran |= !outcome.never_ran();
        s.shun.insert(server);
        self.place(now, id, out);
    }

    /// One suspicion for every sign that a server is unwell: errors, silence, refused or broken
    /// connections. It ends by time. A server whose connections break is held to be lost
    /// and to come back cold, whatever the list says.
    fn symptom(
        &mut self,
        now: Time,
        id: SessionId,
        server: ServerId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let played = self.sessions.get(&id).is_some_and(|s| s.phase == Phase::Playing);
        let Some(state) = self.servers.get_mut(&server) else { return };
        match outcome {
            // Its link is full, where servers refuse for that; else its places are, or it drains unannounced.
            Outcome::Full if self.set.link_refusal_threshold > 0.0 => {
                let used = state.link.map_or(1.0, |r| r.used.max(1.0));
                return state.link = Some(Reading { used, at: now });
            }
            Outcome::Broken | Outcome::ConnectFailed => state.lost = true,
            Outcome::Full | Outcome::Error | Outcome::TimedOut if !played => {}
            _ => return,
        }
        if state.barred_until <= now {
            state.barred_until = now + BAR;
            self.log(now, "barred", format!("server {} barred: {outcome:?}", server.0), out);
        }
    }

    fn unbind(&mut self, now: Time, id: SessionId) {
        let Some(server) = self.sessions.get_mut(&id).and_then(|s| s.server.take()) else { return };
        if let Some(state) = self.servers.get_mut(&server) {
            state.sessions.remove(&id);
        }
        self.resum(now, server);
    }

    fn forget(&mut self, now: Time, id: SessionId) {
        self.unbind(now, id);
        self.sessions.remove(&id);
    }

    /// Where probes are allowed, the holders of which nothing fresh is known are asked before a session is
    /// placed, as far as what probes may cost allows; true if an answer is to be waited for.
    fn ask_holders(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) -> bool {
        let Some(s) = self.sessions.get(&id).filter(|_| self.set.probes) else { return false };
        self.probes = (self.probes + PROBE_SPEND / self.set.prices.probe.max(PROBE_SPEND / 4.0)).min(8.0);
        let stale = |s: &Server| s.link.is_none_or(|r| r.at + FRESH < now);
        let holders = self.servers.values().filter(|h| holds(&self.set, h, &s.wish));
        let mut asked: Vec<_> = holders
            .filter(|h| stale(h) && self.sound(now, h) && self.may_send(now, id, h))
            .map(|h| (h.link.map_or(0, |r| r.at), h.entry.server))
            .collect();
        self.shuffle(&mut asked);
        asked.sort_by_key(|(at, _)| *at);
        asked.truncate(self.probes.max(0.0) as usize);
        self.probes -= asked.len() as f64;
        out.extend(asked.iter().map(|(_, server)| Action::Probe(*server)));
        let wait = !asked.is_empty();
        self.sessions.entry(id).and_modify(|s| s.asked = asked.into_iter().map(|(_, h)| h).collect());
        wait
    }

    /// A probe's answer, or its failure: requests that waited for nothing else are placed.
    fn probed(&mut self, now: Time, server: ServerId, report: Option<Vec<f64>>, out: &mut Vec<Action>) {
        match report {
            Some(values) => {
                self.report(now, now, server, &values);
                self.relieve(now, server, out);
            }
            None => {
                self.servers.entry(server).and_modify(|s| s.barred_until = s.barred_until.max(now + BAR));
            }
        }
        let waiting = self.sessions.iter_mut();
        let heard =
            waiting.filter_map(|(id, s)| (s.asked.remove(&server) && s.asked.is_empty()).then_some(*id));
        let ready: Vec<SessionId> = heard.collect();
        ready.into_iter().for_each(|id| self.place(now, id, out));
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        out.push(Action::SetTimer(PERIOD, TICK));
        self.moved.retain(|_, (at, ..)| *at + WINDOW > now);
        self.bury(now);
        let playing = self.sessions.values().filter(|s| s.phase == Phase::Playing).count() as f64;
        let fade = 1.0 - seconds(PERIOD) / seconds(LEARN);
        self.played = ((self.played.0 + playing * seconds(PERIOD)) * fade, self.played.1 * fade);
        self.learn_usual(now);
        let late = |s: &Session| !s.asked.is_empty() && s.since + PERIOD / 2 < now;
        let late: Vec<_> = self.sessions.iter().filter(|(_, s)| late(s)).map(|(id, _)| *id).collect();
        for id in late {
            self.sessions.entry(id).and_modify(|s| s.asked.clear());
            self.place(now, id, out);
        }
        for rack in 0..self.set.racks {
            self.alert(now, rack, out);
        }
        self.lower(now, out);
        self.rise(now, out);
    }

    /// Servers that left the list are forgotten, with a delay in which one that comes back is still known:
    /// where ids are always new, what is held of them would grow without end.
    fn bury(&mut self, now: Time) {
        let keep = self.set.rules.warm_up.max(WINDOW);
        self.servers.retain(|_, s| {
            let gone = s.entry.state == ServerState::Gone && s.sessions.is_empty();
            s.gone_at = if gone { s.gone_at.or(Some(now)) } else { None };
            s.gone_at.is_none_or(|at| at + keep > now)
        });
        let servers = &self.servers;
        self.racks.iter_mut().for_each(|r| r.members.retain(|id| servers.contains_key(id)));
    }

    /// The next number between 0 and 1 from the instance's own seed.
    fn draw(&mut self) -> f64 {
        self.dice = self.dice.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        unit(scatter(self.dice))
    }

    fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            let other = (self.draw() * (last + 1) as f64) as usize;
            items.swap(last, other.min(last));
        }
    }

    fn chance(&mut self, part: f64) -> bool {
        self.draw() < part
    }

    fn log(&mut self, now: Time, kind: &'static str, line: String, out: &mut Vec<Action>) {
        if self.logged.get(kind).is_none_or(|t| t + ALERT <= now) {
            self.logged.insert(kind, now);
            out.push(Action::Log(line));
        }
    }

    // ---- guards of the six rules: the last point before an action leaves -------------------------

    /// Rules 2 to 6 for one set-up. Nothing else in this module emits `Action::SetUp`.
    fn may_send(&self, now: Time, id: SessionId, server: &Server) -> bool {
        let Some(s) = self.sessions.get(&id) else { return false };
        // Rule 2: never two attempts out, no second set-up of what may have run.
        let repeatable = match (s.repeat, s.first_run) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::AtMostOnce, _) | (Idempotency::Deduplicated(..), None) => !s.maybe_ran,
            (Idempotency::Deduplicated(group, span), Some((at, first))) => {
                let first = self.servers.get(&first).map(|f| f.entry);
                let same = first.is_some_and(|f| match group {
                    DedupScope::All => true,
                    DedupScope::Zone => f.zone == server.entry.zone,
                    DedupScope::Cell => f.cell == server.entry.cell,
                });
                !s.maybe_ran || (same && now <= at.saturating_add(span))
            }
        };
        let seats = self.set.classes[s.class].max_sessions_per_title as usize;
        let alike = |o: &&Session| o.server.is_some() && o.class == s.class && o.wish.title == s.wish.title;
        s.phase == Phase::Waiting
            && now < s.deadline
            && s.attempts < self.set.max_attempts
            && repeatable
            // Rule 3: nothing new goes to a server that drains or is gone, without using the grace.
            && server.entry.state == ServerState::Ready
            && holds(&self.set, server, &s.wish)
            && self.cold_pace(now, server)
            // Rule 5: seats, counted from attempt to outcome.
            && (seats == 0 || self.sessions.values().filter(alike).count() < seats)
            && (s.attempts == 0 || self.within_budget(now))
    }

    /// Rule 4: a front alone keeps its part of what a cold server stands in any window. Where that part is
    /// under one set-up, one request in a window goes there, by lot: the harder, the more often the server,
    /// or its titles before it was listed, were wanted of late, so that the sum keeps to the budget. Demand
    /// may rise at any moment, and a window of the sum meets two lots of a front: none is better than the
    /// part over `COLD_SHARE`, however rarely the server was wanted.
    fn cold_pace(&self, now: Time, server: &Server) -> bool {
        let (warmth, r) = (self.warmth(now, server), &self.set.rules);
        if warmth >= 1.0 {
            return true;
        }
        let pace = streams(&self.set, server) / seconds(r.warm_up).max(0.1) * warmth * COLD_SHARE;
        let part = pace * r.overload_multiple * seconds(r.overload_window) * COLD_SHARE
            / f64::from(self.set.fronts).max(1.0);
        let since = ago(now, WINDOW).max(self.began.unwrap_or(now));
        let asked = self.wishes.iter().rev().take_while(|(at, _)| *at > since);
        let asked = asked.filter(|(_, wish)| holds(&self.set, server, wish)).count() as f64;
        let wanted = asked.max(1.0) / seconds(now.saturating_sub(since)).max(1.0);
        // Each front's windows begin at a moment of its own.
        let window = now.saturating_add(self.random % r.overload_window.max(1)) / r.overload_window.max(1);
        let lot = scatter(self.random ^ scatter(window ^ scatter(u64::from(server.entry.server.0))));
        server.sends.since(ago(now, r.overload_window)) + 1.0 <= part.max(1.0)
            && (part >= 1.0
                || unit(lot) * (wanted * seconds(r.overload_window)).clamp(COLD_SHARE, 1.0) <= part)
    }

    /// Share of its capacity that a server has reached; a lost one is held to be at its start.
    fn warmth(&self, now: Time, server: &Server) -> f64 {
        let r = &self.set.rules;
        let run = match (server.lost, server.cold_from) {
            (true, _) => 0.0,
            (false, None) => return 1.0,
            (false, Some(from)) => now.saturating_sub(from) as f64 / r.warm_up.max(1) as f64,
        };
        (r.cold_share + (1.0 - r.cold_share) * run).clamp(0.05, 1.0)
    }

    /// Rule 6: further attempts in the window, this one included, against sessions taken in it.
    fn within_budget(&self, now: Time) -> bool {
        self.set.rules.retry_budget.is_none_or(|b| {
            let after = ago(now, b.window);
            // An attempt just on the edge still counts, a session there no longer does.
            self.further.since(after.saturating_sub(1)) + 1.0
                <= b.min_retries + b.retry_ratio * self.taken.since(after)
        })
    }

    fn send(&mut self, now: Time, id: SessionId, at: ServerId, rung: u8, out: &mut Vec<Action>) -> bool {
        if !self.servers.get(&at).is_some_and(|server| self.may_send(now, id, server)) {
            return false;
        }
        let budget = self.within_budget(now);
        self.set_rung(now, id, rung, out);
        let Some(s) = self.sessions.get_mut(&id) else { return false };
        let again = s.repeat != Idempotency::AtMostOnce && s.attempts + 1 < self.set.max_attempts && budget;
        let left = s.deadline - now;
        let wait = if again { left.min((s.aim as f64 * TRY_SHARE) as Time) } else { left };
        if s.attempts > 0 {
            self.further.push(now, 1.0, self.set.rules.retry_budget.map_or(0, |b| b.window));
        }
        s.first_run = s.first_run.or(Some((now, at)));
        (s.phase, s.server, s.since) = (Phase::SettingUp, Some(at), now);
        s.attempts += 1;
        if let Some(server) = self.servers.get_mut(&at) {
            server.sessions.insert(id);
            server.sends.push(now, 1.0, self.set.rules.warm_up);
            server.sent_at = Some(now);
        }
        self.resum(now, at);
        out.push(Action::SetUp(id, at, wait));
        true
    }

    /// Rule 5: no rung under the class's floor or over the viewer's top.
    fn set_rung(&mut self, now: Time, id: SessionId, rung: u8, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        (s.rung, s.changed) = (rung.min(s.top).max(s.floor), now);
        out.push(Action::SetRung(id, s.rung));
    }

    fn turn(&mut self, now: Time, id: SessionId, rung: u8, out: &mut Vec<Action>) {
        self.set_rung(now, id, rung, out);
        if let Some(server) = self.sessions.get(&id).and_then(|s| s.server) {
            self.resum(now, server);
        }
    }

    /// Rule 5 where a class has changed; true if the rung was set: up to a floor at once.
    fn fit(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) -> bool {
        let rung = self.sessions.get_mut(&id).and_then(|s| s.bounded(&self.set));
        rung.map(|rung| self.set_rung(now, id, rung, out)).is_some()
    }

    fn shift(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if let (Phase::Playing, Some(server), false) = (s.phase, s.server, s.moving) {
            s.moving = true;
            self.moved.insert(s.wish.viewer, (now, server, s.rung));
            out.push(Action::Move(id));
        }
    }

    /// Rules 1 and 2: the one final answer, at once, at the deadline at the latest: a refusal where that is
    /// honest, else a failure. With an attempt out its outcome comes first.
    fn give_up(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.phase == Phase::Waiting) else { return };
        let honest = !s.maybe_ran
            || matches!(s.repeat, Idempotency::Idempotent | Idempotency::Deduplicated(DedupScope::All, _));
        let advice = self.set.send_retry_after.then_some(self.set.max_retry_after);
        out.push(if honest && now < s.deadline { Action::Refuse(id, advice) } else { Action::Fail(id) });
        self.forget(now, id);
    }
}
