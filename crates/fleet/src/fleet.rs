//! One front's part.

use crate::agreement::{Agreed, AgreedNote, AgreedSettings, AgreedShown, Force, Means, Said};
use crate::copies::Copies;
use crate::readings::{Reading, Readings, SPACE};
use pepperhook_duties::{Counters, Duty, DutyReport, DutyRow, DutyScheduler, DutyState, FleetClock, Target};
use pepperhook_exchange::{Exchange, Id, MAX_CHANNEL_MESSAGE_BYTES, MergeResult, Record, Records, Reject};
use pepperhook_membership::{Change, Member, Membership};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Lane of membership: the sender's clock in eight bytes, then the protocol's message.
const MEMBERSHIP: u8 = 1;
/// Lane of claims about duties.
const CLAIMS: u8 = 2;
/// Lane of copies.
const COPIES: u8 = 3;
/// Lane of what the fleet agrees on.
const AGREEMENT: u8 = 4;
/// The kind of duty that reads a node's load: the first of the settings.
pub const READS: u8 = 0;
/// Bytes of the clock before a message of membership.
const CLOCK: usize = 8;
/// A change of the fleet's clock by more than this is a setting of it, milliseconds.
const SET_MS: u64 = 200;
/// A front that was not called for so long stood still, milliseconds ...
const STILL_MS: u64 = 250;
/// ... and listens for so long before it acts.
const LISTENS_MS: u64 = 100;
/// Readings are worthless to others after this time, milliseconds.
const READING_LASTS_MS: u64 = 10_000;

/// What a front is told of the fleet at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The exchange; its peers are the seeds of membership.
    pub exchange: pepperhook_exchange::Settings,
    /// Membership, where the fleet has one.
    pub view: Option<View>,
    /// Duties; they need a view.
    pub duties: Option<pepperhook_duties::Settings>,
    /// Copies; they need a view.
    pub copies: Option<pepperhook_replica::Settings>,
    /// What the fleet agrees on; it needs a view.
    pub agreed: Option<AgreedSettings>,
}

/// What membership is told.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Where this front's datagrams come.
    pub address: SocketAddr,
    /// Its weight in shared work.
    pub weight: u16,
    /// Fronts that are expected.
    pub fronts: u32,
    /// Time between two looks at a member, milliseconds.
    pub period_ms: u64,
    /// A suspect is given up after this time, milliseconds.
    pub suspicion_ms: u64,
}

/// What is told to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The view changed.
    View(Change),
    /// This front's run was raised, since the others knew a later one.
    Run(u64),
    /// Of what the fleet agrees on.
    Agreed(AgreedNote),
}

/// What comes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Send this datagram.
    Send(SocketAddr, Vec<u8>),
    /// A record is new or newer.
    Changed(Record),
    /// Do this duty in this round, within so many milliseconds.
    Run(Duty, u64, u64),
    /// Break it off.
    Cancel(Duty, u64),
    /// Another front saw this of a node, so many milliseconds ago.
    Seen(Reading, u64),
    /// This front goes on with what another held: keys and bodies.
    Adopted(Vec<(u64, Vec<u8>)>),
    /// Another front goes on with these keys.
    Lost(Vec<u64>),
    /// An adopted key had ended already.
    Ended(u64),
    /// Write this to the store of what was promised, in order; [`Fleet::written`] takes the disk's answer.
    Write(u64, Vec<pepperhook_agreement::StoreOp>),
    /// Put that store away and make a new one; [`Fleet::remade`] takes it.
    Remake,
    /// A policy that the fleet agreed on comes into force, before anything that follows is sent.
    InForce(Force),
    /// What came of an operator's wish of this key.
    Told(u128, pepperhook_policy::Answer),
    /// For the log.
    Note(Note),
}

/// A front as the console shows it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberRow {
    /// Its number.
    pub front: u64,
    /// Its address.
    pub address: SocketAddr,
    /// Its run.
    pub run: u64,
    /// Times it came back after it had been given up.
    pub renewed: u32,
    /// Its weight.
    pub weight: u16,
    /// It is this one.
    pub own: bool,
}

/// One front among the others.
pub struct Fleet {
    exchange: Exchange,
    membership: Option<Membership>,
    duties: Option<DutyScheduler>,
    copies: Option<Copies>,
    agreed: Option<Agreed>,
    clock: FleetClock,
    /// The offset that the duties go by.
    offset_ms: i64,
    readings: Readings,
    /// Kept fixed peers: the seeds.
    seeds: Vec<SocketAddr>,
    me: u64,
    share_ms: u64,
    /// The view changed since the last tick.
    changed: bool,
    /// No duty is begun before this, after this front stood still: what came meanwhile is heard first.
    listens_ms: u64,
    ticked_ms: u64,
    /// What is added to the clock so that it never goes back.
    shift_ms: u64,
    last_ms: u64,
}

impl Fleet {
    /// A front that knows what its store kept. `now_ms` is Unix time.
    #[must_use]
    pub fn new(settings: Settings, kept: Vec<Record>, now_ms: u64) -> Self {
        let (me, run) = (settings.exchange.me, settings.exchange.run);
        let (seeds, seed) = (settings.exchange.peers.clone(), settings.exchange.seed);
        let membership = settings.view.map(|v| {
            let me = Member { front: me, run, renewals: 0, address: v.address, weight: v.weight };
            let settings = pepperhook_membership::Settings {
                me,
                seeds: seeds.clone(),
                probe_period_ms: v.period_ms,
                suspicion_timeout_ms: v.suspicion_ms,
                expected_fronts: v.fronts,
                max_message_bytes: MAX_CHANNEL_MESSAGE_BYTES - CLOCK,
                rng_seed: seed,
            };
            Membership::new(settings, now_ms)
        });
        let share_ms = settings
            .duties
            .as_ref()
            .and_then(|d| d.kinds.iter().map(|k| k.period_ms).min())
            .unwrap_or(READING_LASTS_MS);
        Self {
            exchange: Exchange::new(settings.exchange, kept, now_ms),
            duties: settings.duties.filter(|_| membership.is_some()).map(|d| DutyScheduler::new(d, now_ms)),
            copies: settings.copies.filter(|_| membership.is_some()).map(|c| Copies::new(c, now_ms)),
            agreed: settings.agreed.filter(|_| membership.is_some()).map(|a| Agreed::new(a, now_ms)),
            membership,
            clock: FleetClock::default(),
            offset_ms: 0,
            readings: Readings::default(),
            seeds,
            me,
            share_ms,
            changed: false,
            listens_ms: 0,
            ticked_ms: now_ms,
            shift_ms: 0,
            last_ms: now_ms,
        }
    }

    /// This front's clock, made to go on where the system's went back.
    fn steady(&mut self, now_ms: u64) -> u64 {
        let mut steady = now_ms.saturating_add(self.shift_ms);
        if steady < self.last_ms {
            self.shift_ms += self.last_ms - steady;
            steady = self.last_ms;
        }
        self.last_ms = steady;
        steady
    }

    /// The fleet's time at a moment of this front's clock.
    fn fleet_ms(&self, steady_ms: u64) -> u64 {
        steady_ms.saturating_add_signed(self.offset_ms)
    }

    // ---- what comes in -------------------------------------------------------------------------

    /// Takes a datagram in.
    ///
    /// # Errors
    /// Why it was thrown away.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        datagram: &[u8],
        out: &mut Vec<Out>,
    ) -> Result<(), Reject> {
        let now_ms = self.steady(now_ms);
        let mut said = Vec::new();
        let taken = self.exchange.receive(now_ms, from, datagram, &mut said);
        self.exchanged(now_ms, said, out);
        taken
    }

    /// Time passes. To be called every twenty milliseconds or so.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let now_ms = self.steady(now_ms);
        if now_ms > self.ticked_ms + STILL_MS {
            self.listens_ms = now_ms + LISTENS_MS;
        }
        self.ticked_ms = now_ms;
        let mut said = Vec::new();
        self.exchange.tick(now_ms, &mut said);
        self.exchanged(now_ms, said, out);
        let mut said = Vec::new();
        if let Some(m) = &mut self.membership {
            m.tick(now_ms, &mut said);
        }
        self.viewed(now_ms, said, out);
        self.set_clock(now_ms);
        self.set_view(now_ms);
        let said = self.copies.as_mut().map_or_else(Vec::new, |c| c.tick(now_ms));
        self.copied(said, out);
        self.with_agreed(out, |a, said| a.tick(now_ms, said));
        let fleet_ms = self.fleet_ms(now_ms);
        let mut work = Vec::new();
        if let Some(d) = self.duties.as_mut().filter(|_| now_ms >= self.listens_ms) {
            d.wake(fleet_ms, &mut work);
        }
        self.worked(work, out);
        if let Some(told) = self.readings.due(fleet_ms, self.share_ms) {
            let id = Id { space: SPACE, number: self.me };
            if let Ok(body) = postcard::to_stdvec(&told) {
                let mut said = Vec::new();
                self.exchange.put(now_ms, id, now_ms + READING_LASTS_MS, body, &mut said);
                self.exchanged(now_ms, said, out);
            }
        }
    }

    /// A new version of a record, made here.
    pub fn put(
        &mut self,
        now_ms: u64,
        id: Id,
        expires_ms: u64,
        body: Vec<u8>,
        out: &mut Vec<Out>,
    ) -> MergeResult {
        let now_ms = self.steady(now_ms);
        let mut said = Vec::new();
        let merge = self.exchange.put(now_ms, id, expires_ms, body, &mut said);
        self.exchanged(now_ms, said, out);
        merge
    }

    /// Keeps a body under a key where others have copies of it, or lets go of the key.
    ///
    /// # Errors
    /// When it is too long, or there is no room.
    pub fn keep(
        &mut self,
        now_ms: u64,
        key: u64,
        body: Option<Vec<u8>>,
    ) -> Result<(), pepperhook_replica::PutError> {
        let now_ms = self.steady(now_ms);
        self.copies.as_mut().map_or(Ok(()), |c| c.keep(now_ms, key, body))
    }

    /// What this front's engine says of policies; before it is set, a front can go by any.
    pub fn set_means(&mut self, means: Box<dyn Means>) {
        if let Some(a) = &mut self.agreed {
            a.set_means(means);
        }
    }

    /// The disk's answer to [`Out::Write`].
    pub fn written(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<Out>) {
        let now_ms = self.steady(now_ms);
        self.with_agreed(out, |a, said| a.written(now_ms, batch, ok, said));
    }

    /// The store that [`Out::Remake`] asked for.
    pub fn remade(&mut self, kept: pepperhook_agreement::StoredState) {
        if let Some(a) = &mut self.agreed {
            a.remade(kept);
        }
    }

    /// An operator asks for another policy; what comes of it is [`Out::Told`] under its key.
    pub fn ask_policy(&mut self, now_ms: u64, ask: pepperhook_policy::Ask, out: &mut Vec<Out>) {
        let now_ms = self.steady(now_ms);
        self.with_agreed(out, |a, said| a.ask(now_ms, ask, said));
    }

    /// An operator asks for another set of voters: one that comes, one that goes, or both. Returns those that are asked for.
    ///
    /// # Errors
    /// Why it cannot be asked for.
    pub fn ask_voters(
        &mut self,
        now_ms: u64,
        key: u128,
        change: (Option<u64>, Option<u64>),
        out: &mut Vec<Out>,
    ) -> Result<Vec<u64>, String> {
        let now_ms = self.steady(now_ms);
        let mut asked = Err("this front takes no part in an agreement".to_owned());
        self.with_agreed(out, |a, said| {
            asked = a.voters(now_ms, pepperhook_agreement::Key(key), change, said)
        });
        asked
    }

    /// This front cannot know what the fleet agreed on, and must take no set-ups.
    #[must_use]
    pub fn fenced(&self, now_ms: u64) -> bool {
        let steady = now_ms.saturating_add(self.shift_ms);
        self.agreed.as_ref().is_some_and(|a| a.fenced(steady))
    }

    /// Duties of a kind are done on these from now on.
    pub fn set_targets(&mut self, now_ms: u64, kind: u8, targets: &[Target], out: &mut Vec<Out>) {
        let fleet_ms = {
            let steady = self.steady(now_ms);
            self.fleet_ms(steady)
        };
        if kind == READS {
            let there: BTreeSet<u64> = targets.iter().map(|t| t.id).collect();
            self.readings.keep(|node| there.contains(&node));
        }
        let mut work = Vec::new();
        if let Some(d) = &mut self.duties {
            d.set_targets(fleet_ms, kind, targets, &mut work);
        }
        self.worked(work, out);
    }

    /// A duty has ended; `reading` is what it told of its target (life and values), if it is of that kind.
    pub fn finished(
        &mut self,
        now_ms: u64,
        duty: Duty,
        round: u64,
        done: bool,
        reading: Option<(u64, Vec<f32>)>,
        out: &mut Vec<Out>,
    ) {
        let steady = self.steady(now_ms);
        let fleet_ms = self.fleet_ms(steady);
        if let Some((life, values)) = reading {
            let reading = Reading { node: duty.target, life, at_ms: fleet_ms, values };
            self.readings.take(fleet_ms, &reading);
            self.readings.own(reading);
        }
        let mut work = Vec::new();
        if let Some(d) = &mut self.duties {
            d.finish(fleet_ms, duty, round, done, &mut work);
        }
        self.worked(work, out);
    }

    /// Somebody wants a duty done now: true if it is, else the last reading has to do.
    pub fn ask(&mut self, now_ms: u64, duty: Duty, out: &mut Vec<Out>) -> bool {
        let steady = self.steady(now_ms);
        let fleet_ms = self.fleet_ms(steady);
        let mut work = Vec::new();
        let done = self.duties.as_mut().is_some_and(|d| d.request(fleet_ms, duty, &mut work));
        self.worked(work, out);
        done
    }

    /// This front goes: the others are told, and no duty is begun any more.
    pub fn leave(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let now_ms = self.steady(now_ms);
        if let Some(d) = &mut self.duties {
            d.stop();
        }
        let mut said = Vec::new();
        if let Some(m) = &mut self.membership {
            m.leave(&mut said);
        }
        self.viewed(now_ms, said, out);
    }

    // ---- between the parts ---------------------------------------------------------------------

    fn exchanged(&mut self, now_ms: u64, said: Vec<pepperhook_exchange::Output>, out: &mut Vec<Out>) {
        use pepperhook_exchange::Output as Said;
        for o in said {
            match o {
                Said::Send(to, datagram) => out.push(Out::Send(to, datagram)),
                Said::Changed(record) if record.id.space == SPACE => self.read(now_ms, &record, out),
                Said::Changed(record) => out.push(Out::Changed(record)),
                Said::Received { sender, run, channel: AGREEMENT, content, .. } => {
                    self.with_agreed(out, |a, said| a.heard(now_ms, sender, run, &content, said));
                }
                Said::Received { sender, channel, content, .. } => {
                    self.heard(now_ms, sender, channel, &content, out);
                }
                Said::RunRaised(run) => {
                    out.push(Out::Note(Note::Run(run)));
                    if let Some(c) = &mut self.copies {
                        c.raise(run);
                    }
                    if let Some(a) = &mut self.agreed {
                        a.raise(run);
                    }
                    let mut said = Vec::new();
                    if let Some(m) = &mut self.membership {
                        m.raise_run(run, &mut said);
                    }
                    self.viewed(now_ms, said, out);
                }
            }
        }
    }

    fn heard(&mut self, now_ms: u64, sender: u64, lane: u8, content: &[u8], out: &mut Vec<Out>) {
        match lane {
            MEMBERSHIP => {
                let Some((clock, message)) = content.split_first_chunk::<CLOCK>() else { return };
                let mut said = Vec::new();
                let Some(m) = &mut self.membership else { return };
                // What is refused is counted there; nobody is answered.
                if m.receive(sender, message, &mut said).is_ok() {
                    self.clock.observe(sender, u64::from_be_bytes(*clock), now_ms);
                }
                self.viewed(now_ms, said, out);
            }
            CLAIMS => {
                let Ok(claim) = postcard::from_bytes::<DutyReport>(content) else { return };
                let fleet_ms = self.fleet_ms(now_ms);
                if let Some(d) = &mut self.duties {
                    // What is passed over is counted there.
                    let _ = d.receive_report(fleet_ms, sender, claim);
                }
            }
            COPIES => {
                let said = self.copies.as_mut().map_or_else(Vec::new, |c| c.heard(now_ms, sender, content));
                self.copied(said, out);
            }
            _ => {}
        }
    }

    /// Sends a message on a lane of the exchange.
    fn carry(&mut self, now_ms: u64, to: SocketAddr, lane: u8, content: &[u8], out: &mut Vec<Out>) {
        let mut sent = Vec::new();
        self.exchange.send_on_channel(to, lane, content, &mut sent);
        self.exchanged(now_ms, sent, out);
    }

    fn copied(&mut self, said: Vec<pepperhook_replica::Output>, out: &mut Vec<Out>) {
        use pepperhook_replica::Output as Said;
        if said.is_empty() {
            return;
        }
        let view = self.view();
        for o in said {
            match o {
                Said::Send(to, message) => {
                    let content = self.copies.as_ref().and_then(|c| c.content(&message));
                    if let Some((at, content)) = view.get(&to).map(|m| m.address).zip(content) {
                        self.carry(self.last_ms, at, COPIES, &content, out);
                    }
                }
                Said::Adopted(_, keys) => out.push(Out::Adopted(keys)),
                Said::Lost(_, keys) => out.push(Out::Lost(keys)),
                Said::Deleted(_, key) => out.push(Out::Ended(key)),
            }
        }
    }

    /// Calls the agreement's part and hands on what it says.
    fn with_agreed(&mut self, out: &mut Vec<Out>, call: impl FnOnce(&mut Agreed, &mut Vec<Said>)) {
        let mut said = Vec::new();
        let Some(agreed) = &mut self.agreed else { return };
        call(agreed, &mut said);
        if said.is_empty() {
            return;
        }
        let view = self.view();
        for o in said {
            match o {
                Said::Send(to, message) => {
                    if let Some(at) = view.get(&to).map(|m| m.address) {
                        self.carry(self.last_ms, at, AGREEMENT, &message, out);
                    }
                }
                Said::Write(batch, ops) => out.push(Out::Write(batch, ops)),
                Said::Remake => out.push(Out::Remake),
                Said::InForce(force) => out.push(Out::InForce(force)),
                Said::Told(key, answer) => out.push(Out::Told(key, answer)),
                Said::Note(note) => out.push(Out::Note(Note::Agreed(note))),
            }
        }
    }

    fn viewed(&mut self, now_ms: u64, said: Vec<pepperhook_membership::Output>, out: &mut Vec<Out>) {
        use pepperhook_membership::Output as Said;
        for o in said {
            match o {
                Said::Send(to, message) => {
                    let mut content = now_ms.to_be_bytes().to_vec();
                    content.extend_from_slice(&message);
                    self.carry(now_ms, to, MEMBERSHIP, &content, out);
                }
                Said::Changed(change) => {
                    self.changed = true;
                    out.push(Out::Note(Note::View(change)));
                }
            }
        }
    }

    /// Puts a changed view into force; many changes at once count as one.
    fn set_view(&mut self, now_ms: u64) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let view = self.view();
        let there: BTreeSet<SocketAddr> =
            view.values().map(|m| m.address).chain(self.seeds.clone()).collect();
        let own = self.membership.as_ref().map(|m| m.me().address);
        self.exchange.set_peers(there.into_iter().filter(|a| Some(*a) != own).collect());
        if let Some(c) = &mut self.copies {
            c.set_view(&view);
        }
        self.clock.retain(|front| view.contains_key(&front));
        self.set_clock(now_ms);
        let fleet_ms = self.fleet_ms(now_ms);
        if let Some(d) = &mut self.duties {
            d.set_view(fleet_ms, view.iter().map(|(front, m)| (*front, m.weight)).collect());
        }
    }

    /// Goes by the fleet's clock as it is now. It is set only when it is off by more than messages' times.
    fn set_clock(&mut self, now_ms: u64) {
        let offset = self.clock.offset_ms();
        if offset.abs_diff(self.offset_ms) > SET_MS {
            self.offset_ms = offset;
            let fleet_ms = self.fleet_ms(now_ms);
            if let Some(d) = &mut self.duties {
                d.clock_changed(fleet_ms);
            }
        }
    }

    fn worked(&mut self, work: Vec<pepperhook_duties::Output>, out: &mut Vec<Out>) {
        use pepperhook_duties::Output as Work;
        for o in work {
            match o {
                Work::Run { duty, round, timeout_ms } => out.push(Out::Run(duty, round, timeout_ms)),
                Work::Cancel { duty, round } => out.push(Out::Cancel(duty, round)),
                Work::Report { to: fronts, report: claim } => {
                    let Ok(content) = postcard::to_stdvec(&claim) else { continue };
                    let view = self.view();
                    let mut sent = Vec::new();
                    for at in fronts.iter().filter_map(|f| view.get(f)).map(|m| m.address) {
                        self.exchange.send_on_channel(at, CLAIMS, &content, &mut sent);
                    }
                    self.exchanged(self.last_ms, sent, out);
                }
            }
        }
    }

    fn read(&mut self, now_ms: u64, record: &Record, out: &mut Vec<Out>) {
        if record.id.number == self.me {
            return;
        }
        let Ok(told) = postcard::from_bytes::<Vec<Reading>>(&record.body) else { return };
        let fleet_ms = self.fleet_ms(now_ms);
        for reading in told {
            if self.readings.take(fleet_ms, &reading) {
                if let Some(d) = &mut self.duties {
                    // Whoever read the node has done that round's duty: a second way on which that is heard.
                    let duty = Duty { kind: READS, target: reading.node };
                    let round = d.round_at(duty, reading.at_ms);
                    let claim = DutyReport { duty, round, incarnation: reading.life, state: DutyState::Done };
                    let _ = d.receive_report(fleet_ms, record.id.number, claim);
                }
                let age_ms = fleet_ms.saturating_sub(reading.at_ms);
                out.push(Out::Seen(reading, age_ms));
            }
        }
    }

    // ---- what is shown -------------------------------------------------------------------------

    /// The fronts in the view, this one among them.
    #[must_use]
    pub fn view(&self) -> BTreeMap<u64, Member> {
        self.membership.as_ref().map(Membership::view).unwrap_or_default()
    }

    /// The same for the console.
    #[must_use]
    pub fn member_rows(&self) -> Vec<MemberRow> {
        let row = |m: Member| MemberRow {
            front: m.front,
            address: m.address,
            run: m.run,
            renewed: m.renewals,
            weight: m.weight,
            own: m.front == self.me,
        };
        self.view().into_values().map(row).collect()
    }

    /// Duties and why this front does or leaves them, at a moment of its clock.
    #[must_use]
    pub fn duty_rows(&self, now_ms: u64) -> Vec<DutyRow> {
        let fleet_ms = self.fleet_ms(now_ms.saturating_add(self.shift_ms));
        self.duties.as_ref().map(|d| d.rows(fleet_ms)).unwrap_or_default()
    }

    /// What became of duties here.
    #[must_use]
    pub fn duty_counters(&self) -> Option<&Counters> {
        self.duties.as_ref().map(DutyScheduler::counters)
    }

    /// The last reading of a node, taken here or elsewhere, and its age in milliseconds.
    #[must_use]
    pub fn latest(&self, now_ms: u64, node: u64) -> Option<(&Reading, u64)> {
        let fleet_ms = self.fleet_ms(now_ms.saturating_add(self.shift_ms));
        self.readings.latest(node).map(|r| (r, fleet_ms.saturating_sub(r.at_ms)))
    }

    /// Streams that this front writes or keeps for others, and what was done; `None` where there are no copies.
    #[must_use]
    pub fn copies(
        &self,
        now_ms: u64,
    ) -> Option<(Vec<pepperhook_replica::StreamRow>, &pepperhook_replica::Counters)> {
        let steady = now_ms.saturating_add(self.shift_ms);
        self.copies.as_ref().map(|c| (c.rows(steady), c.counters()))
    }

    /// What the fleet agrees on; `None` where it does not.
    #[must_use]
    pub fn agreed(&self, now_ms: u64) -> Option<AgreedShown> {
        let steady = now_ms.saturating_add(self.shift_ms);
        self.agreed.as_ref().map(|a| a.shown(steady))
    }

    /// The policy that this front goes by, as it was agreed on: version, step, document.
    #[must_use]
    pub fn policy(&self) -> Option<(u64, &'static str, &pepperhook_policy::Policy)> {
        self.agreed.as_ref().and_then(Agreed::in_force)
    }

    /// The figures in which a file and the policy that stands differ.
    #[must_use]
    pub fn differs(&self, file: &pepperhook_settings::Config) -> Vec<pepperhook_policy::Difference> {
        self.agreed.as_ref().map_or_else(Vec::new, |a| a.governor().differs(file))
    }

    /// What is added to this front's clock to get the fleet's, milliseconds.
    #[must_use]
    pub fn offset_ms(&self) -> i64 {
        self.offset_ms
    }

    /// Records that are held.
    #[must_use]
    pub fn records(&self) -> &Records {
        self.exchange.records()
    }

    /// What was sent, taken and thrown away.
    #[must_use]
    pub fn counters(&self) -> &pepperhook_exchange::Counters {
        self.exchange.counters()
    }

    /// Messages of membership that were refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.membership.as_ref().map_or(0, Membership::rejected_messages)
    }
}
