//! All decisions of pepperhook. The interface, its settings, events and actions, is `src/interface.rs`.
//!
//! The ordinary path is the rack-alert design (Mongay Batalla et al., section 4): `forecast` is mean rung
//! rate times averaged session count, `alert` marks a rack past its mark and moves a fraction of its
//! sessions at the same rung, `relieve` lowers rungs on short delivery, `place` admits, `rise` raises.
//! Whatever leaves this module passes the section "guards of the six rules" at the end.

use crate::interface::*;
use crate::state::*;
use crate::window::{SECOND, SlidingSum, ago, seconds};
use std::collections::{BTreeMap, BTreeSet};

/// Part of a link or uplink that may be asked for (the paper's nine tenths; true rates stray from listed).
const MARK: f64 = 0.9;
/// Part of a newcomer's worth that making room may lose: the session may be short, and the step comes back.
const ROOM: f64 = 0.5;
/// To what a shortage is shed: less than the excess leaves it, more costs switches that rises take back.
const FULL: f64 = 1.0;
/// Time between two looks at the racks.
const PERIOD: Time = SECOND / 2;
/// Window of the averaged count, of tenants' rates, learnt capacity and moved viewers (a third of the paper's
/// 30 s, since the sessions here last about as long as that).
const WINDOW: Time = 10 * SECOND;
/// An alert lasts so long, and moves are paced by it (the paper's T).
const ALERT: Time = 5 * SECOND;
/// Part of the sessions that an alert moves (the paper's one in five).
const FRACTION: f64 = 0.2;
/// Rungs rise after so long without a shortage or a change.
const QUIET: Time = 8 * SECOND;
/// Racks count as settled, and sessions below the first worthwhile rung rise, after so long: notes come each
/// second and up to a second and a half late.
const SETTLED: Time = 3 * SECOND;
/// Delivery below this costs worth (the wire's 98 in 100).
const DELIVERED: f64 = 0.98;
/// Weight of a noisy load report against what was predicted.
const TRUST: f64 = 0.8;
/// A first failure bars a server so long; each further one doubles it, up to `MAX_STRIKES` times.
const BAR: Time = 2 * SECOND;
const MAX_STRIKES: u32 = 4;
/// Part of a class's aim that an attempt may take while another can follow.
const TRY_SHARE: f64 = 0.5;
/// Part of the cold budget that a front uses: set-ups differ in work.
const COLD_SHARE: f64 = 0.7;
/// What probes may cost, as a part of the worth of the sessions taken.
const PROBE_SPEND: f64 = 0.006;
/// Probes on a sign of shortage may run so far ahead of that.
const PROBE_DEBT: f64 = 10.0;
/// Token of the periodic timer; other tokens are sessions' numbers.
const TICK: u64 = u64::MAX;

/// Sound, with room and unalerted, worth less the crossing, lightness of burden.
type Rank = (bool, bool, f64, f64);

/// One front end's decisions.
pub struct Controller {
    set: Settings,
    /// For each class the rungs worth choosing and each one's rate and worth over the one before.
    steps: Vec<Vec<(u8, f64, f64)>>,
    servers: BTreeMap<ServerId, Server>,
    racks: Vec<Rack>,
    sessions: BTreeMap<SessionId, Session>,
    moved: BTreeMap<ViewerKey, (Time, ServerId, u8)>,
    taken: SlidingSum,
    further: SlidingSum,
    tenants: Vec<SlidingSum>,
    probes: f64,
    ticking: bool,
    random: u64,
    logged: BTreeMap<&'static str, Time>,
}

impl Controller {
    /// Starts empty, with the instance's own seed.
    ///
    /// # Errors
    /// When the settings do not agree with one another.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let steps = settings.classes.iter().map(|c| worthwhile(c, &settings.ladder)).collect();
        Ok(Self {
            steps,
            servers: BTreeMap::new(),
            racks: (0..settings.racks).map(|_| Rack::default()).collect(),
            sessions: BTreeMap::new(),
            moved: BTreeMap::new(),
            taken: SlidingSum::default(),
            further: SlidingSum::default(),
            tenants: settings.tenants.iter().map(|_| SlidingSum::default()).collect(),
            probes: 0.0,
            ticking: false,
            random: scatter(seed),
            logged: BTreeMap::new(),
            set: settings,
        })
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if !self.ticking {
            self.ticking = true;
            out.push(Action::SetTimer(PERIOD / 2 + self.random % (PERIOD / 2), TICK));
            if self.set.list_on_request {
                out.push(Action::WatchList);
            }
        }
        match event {
            Event::ListFull(entries) => self.list(now, entries, true),
            Event::ListChanged(entries) => self.list(now, entries, false),
            Event::ListFailed if self.set.list_on_request => out.push(Action::WatchList),
            Event::Request(id, wish) => self.request(now, id, wish, out),
            Event::UnderWay(id, wish, server) => self.under_way(now, id, wish, server),
            Event::Started(id, server) => self.started(now, id, server),
            Event::Ended { session, server, outcome, settled, report } => {
                self.report(now, server, &report);
                self.symptom(now, session, server, outcome, out);
                if settled {
                    self.forget(now, session);
                } else {
                    self.retry(now, session, server, outcome, out);
                }
            }
            Event::Left(id) => self.forget(now, id),
            Event::Note(id, server, kind, value) => self.note(now, (id, server, kind, value), out),
            Event::Probed(server, Some(report)) => {
                self.report(now, server, &report);
                self.relieve(now, server, out);
            }
            Event::ListFailed | Event::Probed(_, None) | Event::Message(..) => {}
            Event::Timer(TICK) => self.tick(now, out),
            Event::Timer(token) => self.give_up(now, SessionId(token), out),
        }
    }

    // ---- the list of servers -------------------------------------------------------------------

    fn list(&mut self, now: Time, entries: Vec<ServerEntry>, full: bool) {
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
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry, rack, now));
            if entry.started > server.entry.started {
                server.cold_from = entry.started;
                server.heard_at = now;
                (server.lost, server.strikes, server.barred_until, server.link) = (false, 0, 0, None);
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
        rate(&self.set, session.class, rung) * if joins { self.set.join } else { 1.0 }
    }

    /// Brings the account of own rates on a server up to date.
    fn resum(&mut self, now: Time, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let mut streams = BTreeSet::new();
        let mut own = 0.0;
        for s in server.sessions.iter().filter_map(|id| self.sessions.get(id)) {
            let alone = !self.set.classes[s.class].live || streams.insert((s.wish.title, s.class, s.rung));
            own += rate(&self.set, s.class, s.rung) * if alone { 1.0 } else { self.set.join };
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
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

    /// Use of a server's link: own rates in force or what was seen plus own changes since, if larger.
    /// `others` counts the other fronts as changing likewise.
    fn link_use(&self, now: Time, server: &Server, others: f64) -> f64 {
        let link = self.link_kb(now, server);
        let own = server.own_kb / link;
        match server.link {
            Some(r) => own.max(grown(r.used, server.changes.since(r.at) / link, others)),
            None => own * f64::from(self.set.fronts),
        }
    }

    fn uplink_kb(&self, rack: u32) -> f64 {
        self.set.uplink_kb * self.racks[rack as usize].factor.unwrap_or(1.0)
    }

    fn in_rack(&self, rack: u32) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(move |s| s.rack == rack && s.entry.state != ServerState::Gone)
    }

    fn own_rack_kb(&self, rack: u32) -> f64 {
        self.in_rack(rack).map(|s| s.own_kb).sum()
    }

    /// What the rack's servers are asked for together, by what is seen of their links.
    fn rack_kb(&self, now: Time, rack: u32, others: f64) -> f64 {
        self.in_rack(rack).map(|s| self.link_use(now, s, others) * self.link_kb(now, s)).sum()
    }

    fn uplink_use(&self, now: Time, rack: u32, others: f64) -> f64 {
        let (state, uplink) = (&self.racks[rack as usize], self.uplink_kb(rack));
        match state.uplink {
            Some(r) => {
                grown(r.used, state.changes.since(r.at) / uplink, others).max(self.own_rack_kb(rack) / uplink)
            }
            None => self.rack_kb(now, rack, others) / uplink,
        }
    }

    /// Use of the fuller of link and uplink with `kb` more.
    fn strain(&self, now: Time, server: &Server, kb: f64, others: f64) -> f64 {
        let link = self.link_use(now, server, others) + kb / self.link_kb(now, server);
        link.max(self.uplink_use(now, server.rack, others) + kb / self.uplink_kb(server.rack))
    }

    /// Takes in a load report; values out of range are passed over, noise is smoothed.
    fn report(&mut self, now: Time, id: ServerId, values: &[f64]) {
        let Some(server) = self.servers.get(&id) else { return };
        let rack = server.rack;
        let (link, uplink) = (self.link_use(now, server, 1.0), self.uplink_use(now, rack, 1.0));
        let known = (server.link.is_some(), self.racks[rack as usize].uplink.is_some());
        let blend = |known: bool, was: f64, is: f64| if known { was + TRUST * (is - was) } else { is };
        let gauges = self.set.gauges.clone();
        for (gauge, value) in gauges.into_iter().zip(values.iter().copied()) {
            if !value.is_finite() || value < 0.0 {
                continue;
            }
            let Some(server) = self.servers.get_mut(&id) else { return };
            let reading = |known, was| Some(Reading { used: blend(known, was, value.min(10.0)), at: now });
            match gauge {
                Gauge::Streams => server.streams = Some(value),
                Gauge::Link => server.link = reading(known.0, link),
                // At its upper end the gauge tells no more than that the link is full.
                Gauge::LinkCapped if value < DELIVERED || link < value => {
                    server.link = reading(known.0, link)
                }
                Gauge::LinkCapped | Gauge::Other => {}
                Gauge::Uplink => self.racks[rack as usize].uplink = reading(known.1, uplink),
            }
        }
    }

    fn note(&mut self, now: Time, note: (SessionId, ServerId, NoteKind, f64), out: &mut Vec<Action>) {
        let (id, server, kind, value) = note;
        let Some(state) = self.servers.get_mut(&server) else { return };
        if !value.is_finite() || value < 0.0 {
            return;
        }
        let started = self.sessions.get(&id).map_or(0, |s| s.since.max(s.changed));
        // A note at set-up tells of now; later ones are late.
        let at = if started + SECOND / 5 > now { now } else { ago(now, self.set.seen_after) };
        let rack = state.rack;
        match kind {
            NoteKind::Rung => {
                if let Some(s) = self.sessions.get_mut(&id) {
                    s.rung = (value as u8).min(s.top);
                    self.resum(now, server);
                }
            }
            NoteKind::LinkUse => {
                state.link = Some(Reading { used: value.min(10.0), at });
                self.relieve(now, server, out);
            }
            NoteKind::UplinkUse => {
                self.racks[rack as usize].uplink = Some(Reading { used: value.min(10.0), at });
                self.relieve(now, server, out);
            }
            NoteKind::Delivered => self.delivered(now, server, value.clamp(0.05, 1.0), out),
        }
    }

    /// Short delivery: is it the link or the rack's uplink? Where the link's use is known not to explain
    /// it, the uplink does, and its capacity is learnt from what was asked and what came.
    fn delivered(&mut self, now: Time, id: ServerId, share: f64, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get(&id) else { return };
        let (at, rack, used) = (ago(now, self.set.seen_after), server.rack, 1.0 / share);
        // The share is smoothed and late: what it tells of the time before the last relief has been answered.
        let relieved = server.relieved_at.max(self.racks[rack as usize].relieved_at);
        if share >= DELIVERED || at < relieved.saturating_add(SECOND) {
            return;
        }
        // Where probes are allowed, one answer tells which of the two is short, and by how much now.
        if self.set.probes && self.probes > -PROBE_DEBT && server.link.is_none_or(|r| r.at + SECOND < now) {
            self.probes -= 1.0;
            self.servers.entry(id).and_modify(|s| s.short_at = Some(now));
            return out.push(Action::Probe(id));
        }
        let since = server.changes.since(at) / self.link_kb(now, server);
        let link = self.link_use(now, server, 1.0) - since;
        let asked = self.rack_kb(now, rack, 1.0) - self.racks[rack as usize].changes.since(at);
        let uplink = self.uplink_use(now, rack, 1.0);
        let by_link = link * share.sqrt() >= 1.0 || (link >= uplink && server.link.is_some());
        let (state, nominal) = (&mut self.racks[rack as usize], self.set.uplink_kb);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.short_at = Some(now);
        if by_link {
            if server.link.is_none_or(|r| r.at < at) {
                server.link = Some(Reading { used, at });
            }
        } else {
            state.short_at = Some(now);
            if let Some(r) = state.uplink {
                state.uplink = Some(if r.at < at { Reading { used, at } } else { r });
            } else {
                state.factor = Some((asked * share / nominal).clamp(0.2, 2.0));
            }
            state.alert_until = state.alert_until.max(now + PERIOD);
        }
        self.relieve(now, id, out);
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
        (mean * count / self.uplink_kb(rack)).max(self.uplink_use(now, rack, 1.0))
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
        let ids: Vec<SessionId> = self.in_rack(rack).flat_map(|s| s.sessions.iter().copied()).collect();
        let mut movable: Vec<_> = ids
            .iter()
            .filter_map(|id| self.sessions.get(id).map(|s| (*id, s)))
            .filter(|(_, s)| s.phase == Phase::Playing && !s.moving && s.since + QUIET < now)
            .filter(|(_, s)| !self.set.classes[s.class].live || self.set.join >= 1.0)
            .map(|(id, s)| (rate(&self.set, s.class, s.rung), id))
            .collect();
        movable.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let most = (FRACTION * ids.len() as f64).ceil() as usize;
        let mut used = BTreeSet::new();
        let mut excess = (forecast - MARK).max(0.02) * self.uplink_kb(rack);
        for (kb, id) in movable {
            let Some(target) = self.target(now, id, kb, &used) else { continue };
            if used.len() >= most || excess <= 0.0 {
                break;
            }
            used.insert(target);
            excess -= kb;
            self.shift(now, id, out);
        }
    }

    /// A holder on an unalerted rack with room at the same rung, if moving there earns its price: the rate
    /// moved is worth what lowering others by as much would lose, for half a session on average.
    fn target(&self, now: Time, id: SessionId, kb: f64, used: &BTreeSet<ServerId>) -> Option<ServerId> {
        let s = self.sessions.get(&id)?;
        let best = self.set.classes.iter().map(|c| c.value).fold(0.0, f64::max);
        let gain = s.value / best * self.set.ladder[usize::from(s.rung)].worth / 2.0;
        if gain <= self.set.prices.moved {
            return None;
        }
        let from = self.servers.get(&s.server?)?.rack;
        let fit = |t: &&Server| {
            t.rack != from
                && !used.contains(&t.entry.server)
                && self.racks[t.rack as usize].alert_until <= now
                && self.sound(now, t)
                && self.warmth(now, t) >= 1.0
                && holds(&self.set, t, &s.wish)
                && self.strain(now, t, kb, f64::from(self.set.fronts)) <= MARK
        };
        self.servers.values().filter(fit).min_by_key(|t| t.sessions.len()).map(|t| t.entry.server)
    }

    // ---- rungs down and up ---------------------------------------------------------------------

    /// Worth for each kB of the step to a rung from the one below, and its rate. A session is taken to
    /// play on for a window; what the switches cost is spread over it (negative: saved by not rising).
    fn step(&self, s: &Session, rung: u8, switches: f64) -> (f64, f64) {
        let (high, low) = (self.set.ladder[usize::from(rung)], self.set.ladder[usize::from(rung) - 1]);
        let kb = rate(&self.set, s.class, rung) - rate(&self.set, s.class, rung - 1);
        (s.value * (high.worth - low.worth + switches * self.set.switch_cost_s / seconds(WINDOW)) / kb, kb)
    }

    /// Lowers those sessions that lose least for each kB, until `kb` are free; never steps that lose
    /// `limit` or more. Viewers who share a stream go down together.
    fn shed(&mut self, now: Time, ids: &[SessionId], mut kb: f64, limit: f64, out: &mut Vec<Action>) -> bool {
        let mut lowered: BTreeMap<SessionId, u8> = BTreeMap::new();
        while kb > 0.0 {
            let steps = ids.iter().filter_map(|id| {
                let s = self.sessions.get(id).filter(|s| s.phase == Phase::Playing && !s.moving)?;
                let above = s.rung > self.set.classes[s.class].floor;
                let (slope, kb) = above.then(|| self.step(s, s.rung, 1.0))?;
                (slope < limit).then_some((slope, kb, *id))
            });
            let least = steps.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.total_cmp(&a.1)));
            let Some((_, freed, id)) = least else { break };
            let Some(s) = self.sessions.get(&id) else { break };
            let (server, key) = (s.server, (s.wish.title, s.class, s.rung));
            let live = self.set.classes[s.class].live;
            let mut first = true;
            for other in ids {
                let Some(s) = self.sessions.get_mut(other) else { continue };
                let shares = live && s.server == server && (s.wish.title, s.class, s.rung) == key;
                let may = *other == id || (shares && s.phase == Phase::Playing && !s.moving);
                if may && s.rung > self.set.classes[s.class].floor {
                    lowered.entry(*other).or_insert(s.rung);
                    s.rung -= 1;
                    kb -= freed * if first { 1.0 } else { self.set.join };
                    first = false;
                }
            }
        }
        // A newcomer for whom there is not enough changes nothing.
        let give_back = kb > 0.0 && limit.is_finite();
        for (id, before) in lowered {
            let Some(s) = self.sessions.get_mut(&id) else { continue };
            let (server, rung) = (s.server, s.rung);
            if give_back {
                s.rung = before;
            } else {
                self.set_rung(now, id, rung, out);
                server.into_iter().for_each(|server| self.resum(now, server));
            }
        }
        kb <= 0.0
    }

    /// Own part of the shortage on a server's link and on its rack's uplink is shed at once, in proportion:
    /// every front hears of it and sheds its own part, so none needs to know the others.
    fn relieve(&mut self, now: Time, id: ServerId, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get(&id) else { return };
        let rack = server.rack;
        // Only on what was seen, and since the last relief: before, the other fronts have answered it too.
        let fresh = |r: Option<Reading>, relieved| r.is_some_and(|r| r.at >= relieved);
        let used = self.link_use(now, server, 1.0);
        if used > 1.0 / DELIVERED && fresh(server.link, server.relieved_at) {
            let kb = server.own_kb * (1.0 - FULL / used);
            let ids: Vec<SessionId> = server.sessions.iter().copied().collect();
            self.servers.entry(id).and_modify(|s| (s.short_at, s.relieved_at) = (Some(now), now));
            self.shed(now, &ids, kb, f64::INFINITY, out);
        }
        let used = self.uplink_use(now, rack, 1.0);
        let state = &mut self.racks[rack as usize];
        if used > 1.0 / DELIVERED && (fresh(state.uplink, state.relieved_at) || state.factor.is_some()) {
            (state.short_at, state.relieved_at) = (Some(now), now);
            self.alert(now, rack, out);
            let kb = self.own_rack_kb(rack) * (1.0 - FULL / used);
            let ids: Vec<SessionId> = self.in_rack(rack).flat_map(|s| s.sessions.iter().copied()).collect();
            self.shed(now, &ids, kb, f64::INFINITY, out);
        }
    }

    /// After quiet the step that earns most for each kB is taken first, while it fits even if every other
    /// front does the same.
    fn rise(&mut self, now: Time, out: &mut Vec<Action>) {
        let fronts = f64::from(self.set.fronts);
        let quiet = |t: Option<Time>| t.is_none_or(|t| t + SETTLED <= now);
        let mut steps: Vec<(f64, SessionId)> = Vec::new();
        for (id, s) in &self.sessions {
            let Some(server) = s.server.and_then(|id| self.servers.get(&id)) else { continue };
            let rack = &self.racks[server.rack as usize];
            let calm = quiet(server.short_at) && quiet(rack.short_at) && rack.alert_until <= now;
            if s.phase != Phase::Playing
                || s.moving
                || s.rung >= s.top
                || !calm
                || s.changed + if s.rung < self.steps[s.class][0].0 { SETTLED } else { QUIET } > now
            {
                continue;
            }
            // A rise may have to be taken back, so that it must earn two switches.
            steps.push((self.step(s, s.rung + 1, -2.0).0, *id));
        }
        steps.retain(|(gain, _)| *gain > 0.0);
        steps.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, id) in steps {
            let Some(s) = self.sessions.get(&id) else { continue };
            let Some(server) = s.server.and_then(|id| self.servers.get(&id)) else { continue };
            let kb = (self.added_kb(server, s, s.rung + 1) - rate(&self.set, s.class, s.rung)).max(0.0);
            if self.strain(now, server, kb * fronts, fronts) <= MARK {
                let (server, rung) = (server.entry.server, s.rung + 1);
                self.set_rung(now, id, rung, out);
                self.resum(now, server);
            }
        }
    }

    // ---- admission -----------------------------------------------------------------------------

    /// Worth for each kB of the first step that no longer fits if own sessions and a newcomer share
    /// `room` by worth; 0 if all fit. Steps below that price are beyond the fair rung.
    fn price_of_room(&self, ids: &mut dyn Iterator<Item = &SessionId>, newcomer: &Session, room: f64) -> f64 {
        let mut steps: Vec<(f64, f64)> = Vec::new();
        for s in ids.filter_map(|id| self.sessions.get(id)).chain(std::iter::once(newcomer)) {
            let within = self.steps[s.class].iter().filter(|(rung, ..)| *rung <= s.top);
            steps.extend(within.map(|(_, kb, worth)| (s.value * worth / kb, *kb)));
        }
        steps.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut used = 0.0;
        for (slope, kb) in steps {
            used += kb;
            if used > room {
                return slope;
            }
        }
        0.0
    }

    /// The highest rung that all own sessions on this link and uplink could have alike.
    fn fair_rung(&self, now: Time, server: &Server, s: &Session) -> u8 {
        // Each front takes an even part for its own: what it holds now may be more only for the moment.
        let part = MARK / f64::from(self.set.fronts);
        let (link, uplink) = (part * self.link_kb(now, server), part * self.uplink_kb(server.rack));
        let mut rack = self.in_rack(server.rack).flat_map(|s| &s.sessions);
        let on_link = self.price_of_room(&mut server.sessions.iter(), s, link);
        let price = on_link.max(self.price_of_room(&mut rack, s, uplink));
        let steps = self.steps[s.class].iter().filter(|(rung, ..)| *rung <= s.top);
        let fair = steps.take_while(|(_, kb, worth)| s.value * worth / kb >= price).last();
        fair.map_or(self.set.classes[s.class].floor, |(rung, ..)| *rung)
    }

    fn sound(&self, now: Time, server: &Server) -> bool {
        server.entry.state == ServerState::Ready && server.barred_until <= now && !server.lost
    }

    /// Finds a server and a rung, makes room if that is worth it, or gives the final answer at once.
    fn place(&mut self, now: Time, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get(&id) else { return };
        let class = &self.set.classes[s.class];
        let mut ranked: Vec<(Rank, ServerId, u8, bool)> = Vec::new();
        for server in self.servers.values() {
            let places = streams(&self.set, server);
            let full = server.streams.unwrap_or(0.0).max(server.sessions.len() as f64) >= places;
            if s.shun.contains(&server.entry.server) || full || !self.may_send(now, id, server) {
                continue;
            }
            let fair = self.fair_rung(now, server, s).min(s.cap);
            let with = |r: u8, others| self.strain(now, server, self.added_kb(server, s, r), others);
            // Nothing fits: the first worthwhile step, if lowering better-fed sessions makes the room.
            let entry = self.steps[s.class].first().map_or(class.floor, |(r, ..)| *r).min(s.top);
            let fitting = (class.floor..=fair.max(class.floor))
                .rev()
                .find(|r| with(*r, f64::from(self.set.fronts)) <= MARK);
            let rung = fitting.unwrap_or(entry);
            let alerted = self.racks[server.rack as usize].alert_until > now;
            let sound = self.sound(now, server) && (class.repeat != Repeat::Never || server.strikes == 0);
            let crossing = if server.entry.zone == self.set.zone { 0.0 } else { self.set.prices.cross_zone };
            let cold = if self.warmth(now, server) < 1.0 { 1.0 } else { 0.0 };
            // The fewest own sessions; where nothing fits, the least strain.
            let (worth, burden) = match fitting {
                Some(r) => (self.set.ladder[usize::from(r)].worth, server.sessions.len() as f64 / places),
                None => (0.0, with(rung, 1.0)),
            };
            // Departure: viewers of a live title gather where its stream of that rung already plays.
            let joins = fitting.is_some_and(|r| self.added_kb(server, s, r) < rate(&self.set, s.class, r));
            let rank = (
                sound,
                !alerted && fitting.is_some(),
                worth - crossing,
                if joins { 1.0 } else { -burden - cold },
            );
            ranked.push((rank, server.entry.server, rung, fitting.is_some()));
        }
        ranked.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(std::cmp::Ordering::Equal));
        for (_, server, rung, fits) in ranked {
            if (fits || self.make_room(now, id, server, rung, out)) && self.send(now, id, server, rung, out) {
                return;
            }
        }
        self.give_up(now, id, out);
    }

    /// Lowers own sessions whose last step earns less for each kB than the newcomer's first.
    fn make_room(&mut self, now: Time, id: SessionId, at: ServerId, rung: u8, out: &mut Vec<Action>) -> bool {
        let (Some(s), Some(server)) = (self.sessions.get(&id), self.servers.get(&at)) else { return false };
        let kb = self.added_kb(server, s, rung);
        let limit =
            ROOM * s.value * self.set.ladder[usize::from(rung)].worth / rate(&self.set, s.class, rung);
        let (link, uplink, rack) = (self.link_kb(now, server), self.uplink_kb(server.rack), server.rack);
        let on_link = kb - (MARK - self.link_use(now, server, 1.0)) * link;
        let ids: Vec<SessionId> = server.sessions.iter().copied().collect();
        if !self.shed(now, &ids, on_link, limit, out) {
            return false;
        }
        let on_uplink = kb - (MARK - self.uplink_use(now, rack, 1.0)) * uplink;
        let ids: Vec<SessionId> = self.in_rack(rack).flat_map(|s| s.sessions.iter().copied()).collect();
        self.shed(now, &ids, on_uplink, limit, out)
    }

    // ---- the life of a session -----------------------------------------------------------------

    fn admit(&mut self, now: Time, id: SessionId, wish: Wish) -> Option<&mut Session> {
        let class = usize::from(wish.class.0).min(self.set.classes.len() - 1);
        let c = &self.set.classes[class];
        let ladder_top = (self.set.ladder.len() - 1) as f64;
        // A missing or senseless top counts as the class's floor.
        let top = wish.top.min(ladder_top).max(0.0) as u8;
        let top = top.min(c.top).max(c.floor);
        let mut value = c.value;
        if let Some(seen) = self.tenants.get_mut(usize::from(wish.tenant.0)) {
            seen.push(now, 1.0, WINDOW);
            let rate = seen.since(ago(now, WINDOW)) / seconds(WINDOW) * f64::from(self.set.fronts);
            let quota = self.set.tenants[usize::from(wish.tenant.0)].quota_per_s;
            if quota > 0.0 && rate > quota {
                value *= self.set.over_share_worth.clamp(0.01, 1.0);
            }
        }
        self.sessions.insert(id, Session::new(now, wish, class, c.floor, top, value));
        self.sessions.get_mut(&id)
    }

    fn request(&mut self, now: Time, id: SessionId, wish: Wish, out: &mut Vec<Action>) {
        self.taken.push(now, 1.0, self.set.rules.budget.map_or(WINDOW, |b| b.window));
        let moved = self.moved.remove(&wish.viewer).filter(|(at, ..)| at + WINDOW > now);
        let Some(s) = self.admit(now, id, wish) else { return };
        if let Some((_, left, rung)) = moved {
            s.shun.insert(left);
            s.cap = rung.min(s.top);
        }
        out.push(Action::SetTimer(wish.patience, id.0));
        self.probe(now, &wish, out);
        self.place(now, id, out);
    }

    fn under_way(&mut self, now: Time, id: SessionId, wish: Wish, server: ServerId) {
        let Some(s) = self.admit(now, id, wish) else { return };
        (s.phase, s.server, s.since) = (Phase::Playing, Some(server), ago(now, WINDOW));
        (s.attempts, s.maybe_ran) = (1, true);
        if let Some(state) = self.servers.get_mut(&server) {
            state.sessions.insert(id);
        }
        self.resum(now, server);
    }

    fn started(&mut self, now: Time, id: SessionId, server: ServerId) {
        if let Some(s) = self.sessions.get_mut(&id) {
            (s.phase, s.since, s.changed) = (Phase::Playing, now, now);
        }
        if let Some(state) = self.servers.get_mut(&server) {
            state.strikes /= 2;
            if state.lost {
                (state.lost, state.cold_from, state.heard_at) = (false, Some(now), now);
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

    /// One graded suspicion for every sign that a server is unwell: errors, silence, refused or broken
    /// connections. It ends by time and by success. A server whose connections break is held to be lost
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
            Outcome::Full if self.set.refuses_from > 0.0 => {
                let used = state.link.map_or(1.0, |r| r.used.max(1.0));
                return state.link = Some(Reading { used, at: now });
            }
            Outcome::Broken | Outcome::ConnectFailed => state.lost = true,
            Outcome::Full | Outcome::Error | Outcome::TimedOut if !played => {}
            _ => return,
        }
        if state.barred_until <= now {
            state.strikes = (state.strikes + 1).min(MAX_STRIKES);
            state.barred_until = now + (BAR << (state.strikes - 1));
            let line = format!("server {} barred, strike {}: {outcome:?}", server.0, state.strikes);
            self.log(now, "barred", line, out);
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

    fn probe(&mut self, now: Time, wish: &Wish, out: &mut Vec<Action>) {
        if !self.set.probes {
            return;
        }
        self.probes = (self.probes + PROBE_SPEND / self.set.prices.probe.max(PROBE_SPEND / 2.0)).min(5.0);
        let oldest = self
            .servers
            .values()
            .filter(|s| self.sound(now, s) && holds(&self.set, s, wish))
            .min_by_key(|s| s.link.map_or(0, |r| r.at));
        if let Some(server) = oldest.map(|s| s.entry.server).filter(|_| self.probes >= 1.0) {
            self.probes -= 1.0;
            out.push(Action::Probe(server));
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        out.push(Action::SetTimer(PERIOD, TICK));
        self.moved.retain(|_, (at, ..)| *at + WINDOW > now);
        for rack in 0..self.set.racks {
            self.alert(now, rack, out);
            let state = &mut self.racks[rack as usize];
            // A learnt capacity is forgotten slowly once the sign has ended.
            if let Some(factor) = state.factor.filter(|_| state.short_at.is_none_or(|t| t + WINDOW < now)) {
                state.factor = Some(factor + (1.0 - factor) * seconds(PERIOD) / seconds(WINDOW));
            }
        }
        self.rise(now, out);
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
        let class = &self.set.classes[s.class];
        // Rule 2: never two attempts out, no second set-up of what may have run.
        let repeatable = match (class.repeat, s.first_run) {
            (Repeat::Harmless, _) => true,
            (Repeat::Never, _) | (Repeat::Within(..), None) => !s.maybe_ran,
            (Repeat::Within(group, span), Some((at, first))) => {
                let first = self.servers.get(&first).map(|f| f.entry);
                let same = first.is_some_and(|f| match group {
                    Group::All => true,
                    Group::Zone => f.zone == server.entry.zone,
                    Group::Cell => f.cell == server.entry.cell,
                });
                !s.maybe_ran || (same && now <= at.saturating_add(span))
            }
        };
        let seats = class.seats as usize;
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

    /// Rule 4: a front alone keeps its part of what a cold server stands in any window. Where that part
    /// is under one set-up a window, set-ups are spaced, after a wait of the front's own.
    fn cold_pace(&self, now: Time, server: &Server) -> bool {
        let warmth = self.warmth(now, server);
        if warmth >= 1.0 {
            return true;
        }
        let r = &self.set.rules;
        let pace = streams(&self.set, server) / seconds(r.cold).max(0.1) * warmth * COLD_SHARE;
        let part = pace * r.fall_multiple * seconds(r.fall_window) * COLD_SHARE
            / f64::from(self.set.fronts).max(1.0);
        if part >= 1.0 {
            return server.sends.since(ago(now, r.fall_window)) + 1.0 <= part;
        }
        let gap = (r.fall_window as f64 / part.max(0.01)) as Time;
        let own_wait = (gap as f64 * (self.random >> 40) as f64 / (1u64 << 24) as f64) as Time;
        server.sends.since(ago(now, gap)) < 1.0 && (server.lost || now >= server.heard_at + own_wait)
    }

    /// Share of its capacity that a server has reached; a lost one is held to be at its start.
    fn warmth(&self, now: Time, server: &Server) -> f64 {
        let r = &self.set.rules;
        let run = match (server.lost, server.cold_from) {
            (true, _) => 0.0,
            (false, None) => return 1.0,
            (false, Some(from)) => now.saturating_sub(from) as f64 / r.cold.max(1) as f64,
        };
        (r.cold_share + (1.0 - r.cold_share) * run).clamp(0.05, 1.0)
    }

    /// Rule 6: further attempts in the window, this one included, against sessions taken in it.
    fn within_budget(&self, now: Time) -> bool {
        self.set.rules.budget.is_none_or(|b| {
            let after = ago(now, b.window);
            // An attempt just on the edge still counts, a session there no longer does.
            self.further.since(after.saturating_sub(1)) + 1.0 <= b.free + b.share * self.taken.since(after)
        })
    }

    fn send(&mut self, now: Time, id: SessionId, at: ServerId, rung: u8, out: &mut Vec<Action>) -> bool {
        if !self.servers.get(&at).is_some_and(|server| self.may_send(now, id, server)) {
            return false;
        }
        let budget = self.within_budget(now);
        self.set_rung(now, id, rung, out);
        let Some(s) = self.sessions.get_mut(&id) else { return false };
        let class = &self.set.classes[s.class];
        let again = class.repeat != Repeat::Never && s.attempts + 1 < self.set.max_attempts && budget;
        let left = s.deadline - now;
        let wait = if again { left.min((class.aim as f64 * TRY_SHARE) as Time) } else { left };
        if s.attempts > 0 {
            self.further.push(now, 1.0, self.set.rules.budget.map_or(0, |b| b.window));
        }
        s.first_run = s.first_run.or(Some((now, at)));
        (s.phase, s.server, s.since) = (Phase::SettingUp, Some(at), now);
        s.attempts += 1;
        if let Some(server) = self.servers.get_mut(&at) {
            server.sessions.insert(id);
            server.sends.push(now, 1.0, self.set.rules.cold);
        }
        self.resum(now, at);
        out.push(Action::SetUp(id, at, wait));
        true
    }

    /// Rule 5: no rung under the class's floor or over the viewer's top.
    fn set_rung(&mut self, now: Time, id: SessionId, rung: u8, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        (s.rung, s.changed) = (rung.min(s.top).max(self.set.classes[s.class].floor), now);
        out.push(Action::SetRung(id, s.rung));
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
        let repeat = self.set.classes[s.class].repeat;
        let honest = !s.maybe_ran || matches!(repeat, Repeat::Harmless | Repeat::Within(Group::All, _));
        let advice = self.set.advice.then_some(self.set.max_advice);
        out.push(if honest && now < s.deadline { Action::Refuse(id, advice) } else { Action::Fail(id) });
        self.forget(now, id);
    }
}

/// A use with own changes since; growth counts for the other fronts too.
fn grown(used: f64, change: f64, others: f64) -> f64 {
    (used + if change > 0.0 { change * others } else { change }).max(0.0)
}
