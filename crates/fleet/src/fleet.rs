//! The state machine of one front: passes messages between the parts and turns their outputs into its own.

use crate::agreement::{
    ActivePolicy, Agreement, AgreementNote, AgreementOutput, AgreementSettings, AgreementView, PolicyEngine,
};
use crate::copies::Copies;
use crate::readings::{READING_SPACE, Reading, Readings};
use pepperhook_duties::{Counters, Duty, DutyReport, DutyRow, DutyScheduler, DutyState, FleetClock, Target};
use pepperhook_exchange::{Exchange, Id, MAX_CHANNEL_MESSAGE_BYTES, MergeResult, Record, Records, Reject};
use pepperhook_membership::{Change, Member, Membership};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Channel of membership: the sender's clock in eight bytes, then the protocol's message.
const MEMBERSHIP_CHANNEL: u8 = 1;
/// Channel of reports about duties.
const DUTY_CHANNEL: u8 = 2;
/// Channel of the replica protocol.
const COPIES_CHANNEL: u8 = 3;
/// Channel of the agreement's log.
const AGREEMENT_CHANNEL: u8 = 4;
/// The kind of duty that reads a node's load; it is the first kind in the settings.
pub const LOAD_READING_DUTY: u8 = 0;
/// Length of the clock before a message of membership, bytes.
const CLOCK_BYTES: usize = 8;
/// Least change of the clock offset that is applied, milliseconds. Smaller ones are within the travel times of messages.
const MIN_OFFSET_CHANGE_MS: u64 = 200;
/// A pause between two ticks beyond this length means that the process was suspended, milliseconds.
const SUSPENDED_MS: u64 = 250;
/// Time for which a front begins no duty after it was suspended, milliseconds: it first processes the messages that arrived
/// meanwhile.
const CATCH_UP_MS: u64 = 100;
/// Lifetime of a record of readings, milliseconds.
const READING_LIFETIME_MS: u64 = 10_000;

/// Settings of a front in the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of the exchange; its peers are the seeds of membership.
    pub exchange: pepperhook_exchange::Settings,
    /// Settings of membership; `None` for a fleet without it.
    pub membership: Option<MembershipSettings>,
    /// Settings of the duties; ignored without membership.
    pub duties: Option<pepperhook_duties::Settings>,
    /// Settings of the copies; ignored without membership.
    pub copies: Option<pepperhook_replica::Settings>,
    /// Settings of the agreement; ignored without membership.
    pub agreement: Option<AgreementSettings>,
}

/// Settings of membership.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// The address at which this front receives datagrams.
    pub address: SocketAddr,
    /// This front's weight in the distribution of duties.
    pub weight: u16,
    /// Number of fronts that are expected.
    pub expected_fronts: u32,
    /// Interval between two probes, milliseconds.
    pub probe_period_ms: u64,
    /// Time after which a suspected front is declared failed, milliseconds.
    pub suspicion_timeout_ms: u64,
}

/// A note for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The view of the fleet's members changed.
    ViewChanged(Change),
    /// This front's run was raised to this number, because other fronts knew a later one.
    RunRaised(u64),
    /// A note of the agreement.
    Agreement(AgreementNote),
}

/// Output of a front, for its shell to execute in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram to this address.
    Send(SocketAddr, Vec<u8>),
    /// This record of the exchange is new or has a newer version.
    RecordChanged(Record),
    /// Run this duty for this round, within this time in milliseconds; [`Fleet::finish_duty`] takes the result.
    RunDuty(Duty, u64, u64),
    /// Cancel this duty of this round.
    CancelDuty(Duty, u64),
    /// Another front shared this reading; the second value is its age, milliseconds.
    ReadingReceived(Reading, u64),
    /// This front took over these sessions of another front: keys and bodies.
    Adopted(Vec<(u64, Vec<u8>)>),
    /// Another front took over the sessions with these keys.
    Lost(Vec<u64>),
    /// The adopted session with this key had ended before.
    Deleted(u64),
    /// Write this batch (its number, its operations) to the voter's store, in order; [`Fleet::store_written`] takes the
    /// result.
    WriteStore(u64, Vec<pepperhook_agreement::StoreOp>),
    /// Rename the voter's store and create a new one; [`Fleet::store_recreated`] takes its state.
    RecreateStore,
    /// Activate this agreed policy before anything that follows is sent.
    ActivatePolicy(ActivePolicy),
    /// The answer to the operator's request with this key.
    AnswerOperator(u128, pepperhook_policy::Answer),
    /// A note for the log.
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
    /// How often it rejoined after it had been declared failed.
    #[serde(rename = "renewed")]
    pub renewals: u32,
    /// Its weight.
    pub weight: u16,
    /// Whether it is this front.
    pub own: bool,
}

/// One front as a member of the fleet.
pub struct Fleet {
    exchange: Exchange,
    membership: Option<Membership>,
    duties: Option<DutyScheduler>,
    copies: Option<Copies>,
    agreement: Option<Agreement>,
    clock: FleetClock,
    /// What is added to this front's clock to get the fleet's, milliseconds.
    offset_ms: i64,
    readings: Readings,
    /// The configured peers. They stay peers of the exchange whatever the view is.
    seeds: Vec<SocketAddr>,
    me: u64,
    share_period_ms: u64,
    /// The view changed since it was last applied.
    view_changed: bool,
    /// No duty is begun before this time: see [`CATCH_UP_MS`].
    no_duties_before_ms: u64,
    ticked_ms: u64,
    /// What is added to the system's clock to keep it from going back.
    shift_ms: u64,
    last_ms: u64,
}

impl Fleet {
    /// Starts a front with the records from its store. `now_ms` is Unix time, milliseconds, here and in all methods.
    #[must_use]
    pub fn new(settings: Settings, stored: Vec<Record>, now_ms: u64) -> Self {
        let (me, run) = (settings.exchange.me, settings.exchange.run);
        let (seeds, seed) = (settings.exchange.peers.clone(), settings.exchange.seed);
        let membership = settings.membership.map(|v| {
            let me = Member { front: me, run, renewals: 0, address: v.address, weight: v.weight };
            let settings = pepperhook_membership::Settings {
                me,
                seeds: seeds.clone(),
                probe_period_ms: v.probe_period_ms,
                suspicion_timeout_ms: v.suspicion_timeout_ms,
                expected_fronts: v.expected_fronts,
                max_message_bytes: MAX_CHANNEL_MESSAGE_BYTES - CLOCK_BYTES,
                rng_seed: seed,
            };
            Membership::new(settings, now_ms)
        });
        let share_period_ms = settings
            .duties
            .as_ref()
            .and_then(|d| d.kinds.iter().map(|k| k.period_ms).min())
            .unwrap_or(READING_LIFETIME_MS);
        Self {
            exchange: Exchange::new(settings.exchange, stored, now_ms),
            duties: settings.duties.filter(|_| membership.is_some()).map(|d| DutyScheduler::new(d, now_ms)),
            copies: settings.copies.filter(|_| membership.is_some()).map(|c| Copies::new(c, now_ms)),
            agreement: settings.agreement.filter(|_| membership.is_some()).map(|a| Agreement::new(a, now_ms)),
            membership,
            clock: FleetClock::default(),
            offset_ms: 0,
            readings: Readings::default(),
            seeds,
            me,
            share_period_ms,
            view_changed: false,
            no_duties_before_ms: 0,
            ticked_ms: now_ms,
            shift_ms: 0,
            last_ms: now_ms,
        }
    }

    /// The system's clock made monotonic: a step back is added to `shift_ms`.
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

    // ---- inputs --------------------------------------------------------------------------------

    /// Processes a datagram.
    ///
    /// # Errors
    /// The reason if it is rejected.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        datagram: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<(), Reject> {
        let now_ms = self.steady(now_ms);
        let mut outputs = Vec::new();
        let taken = self.exchange.receive(now_ms, from, datagram, &mut outputs);
        self.process_exchange(now_ms, outputs, out);
        taken
    }

    /// Advances the time. To be called about every twenty milliseconds.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let now_ms = self.steady(now_ms);
        if now_ms > self.ticked_ms + SUSPENDED_MS {
            self.no_duties_before_ms = now_ms + CATCH_UP_MS;
        }
        self.ticked_ms = now_ms;
        let mut outputs = Vec::new();
        self.exchange.tick(now_ms, &mut outputs);
        self.process_exchange(now_ms, outputs, out);
        let mut outputs = Vec::new();
        if let Some(m) = &mut self.membership {
            m.tick(now_ms, &mut outputs);
        }
        self.process_membership(now_ms, outputs, out);
        self.update_clock(now_ms);
        self.apply_view(now_ms);
        let outputs = self.copies.as_mut().map_or_else(Vec::new, |c| c.tick(now_ms));
        self.process_replica(outputs, out);
        self.call_agreement(out, |a, outputs| a.tick(now_ms, outputs));
        let fleet_ms = self.fleet_ms(now_ms);
        let mut outputs = Vec::new();
        if let Some(d) = self.duties.as_mut().filter(|_| now_ms >= self.no_duties_before_ms) {
            d.wake(fleet_ms, &mut outputs);
        }
        self.process_duties(outputs, out);
        if let Some(shared) = self.readings.due(fleet_ms, self.share_period_ms) {
            let id = Id { space: READING_SPACE, number: self.me };
            if let Ok(body) = postcard::to_stdvec(&shared) {
                let mut outputs = Vec::new();
                self.exchange.put(now_ms, id, now_ms + READING_LIFETIME_MS, body, &mut outputs);
                self.process_exchange(now_ms, outputs, out);
            }
        }
    }

    /// Stores a new version of a record, written by this front.
    pub fn put(
        &mut self,
        now_ms: u64,
        id: Id,
        expires_ms: u64,
        body: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> MergeResult {
        let now_ms = self.steady(now_ms);
        let mut outputs = Vec::new();
        let merge = self.exchange.put(now_ms, id, expires_ms, body, &mut outputs);
        self.process_exchange(now_ms, outputs, out);
        merge
    }

    /// Replicates a session to other fronts, or removes it if there is no body.
    ///
    /// # Errors
    /// If the body is too long, or there is no room for it.
    pub fn replicate(
        &mut self,
        now_ms: u64,
        key: u64,
        body: Option<Vec<u8>>,
    ) -> Result<(), pepperhook_replica::PutError> {
        let now_ms = self.steady(now_ms);
        self.copies.as_mut().map_or(Ok(()), |c| c.put(now_ms, key, body))
    }

    /// Sets the engine that runs under the agreed policy. Until then, every policy counts as applicable.
    pub fn set_engine(&mut self, engine: Box<dyn PolicyEngine>) {
        if let Some(a) = &mut self.agreement {
            a.set_engine(engine);
        }
    }

    /// Takes the result of [`Output::WriteStore`]: `ok` if the batch is durable.
    pub fn store_written(&mut self, now_ms: u64, batch: u64, ok: bool, out: &mut Vec<Output>) {
        let now_ms = self.steady(now_ms);
        self.call_agreement(out, |a, outputs| a.store_written(now_ms, batch, ok, outputs));
    }

    /// Takes the state of the store that [`Output::RecreateStore`] requested.
    pub fn store_recreated(&mut self, state: pepperhook_agreement::StoredState) {
        if let Some(a) = &mut self.agreement {
            a.store_recreated(state);
        }
    }

    /// An operator requests a change of the policy; [`Output::AnswerOperator`] with the key of the request answers it.
    pub fn request_policy_change(
        &mut self,
        now_ms: u64,
        request: pepperhook_policy::PolicyRequest,
        out: &mut Vec<Output>,
    ) {
        let now_ms = self.steady(now_ms);
        self.call_agreement(out, |a, outputs| a.request_policy_change(now_ms, request, outputs));
    }

    /// An operator requests to add a voter (the first of `change`), to remove one (the second), or both. Returns the requested
    /// set of voters.
    ///
    /// # Errors
    /// The reason why the change cannot be proposed.
    pub fn request_voter_change(
        &mut self,
        now_ms: u64,
        key: u128,
        change: (Option<u64>, Option<u64>),
        out: &mut Vec<Output>,
    ) -> Result<Vec<u64>, String> {
        let now_ms = self.steady(now_ms);
        let mut requested = Err("this front takes no part in an agreement".to_owned());
        self.call_agreement(out, |a, outputs| {
            requested = a.request_voter_change(now_ms, pepperhook_agreement::Key(key), change, outputs)
        });
        requested
    }

    /// Whether this front must refuse set-ups because it may have missed an agreed change.
    #[must_use]
    pub fn fenced(&self, now_ms: u64) -> bool {
        let steady = now_ms.saturating_add(self.shift_ms);
        self.agreement.as_ref().is_some_and(|a| a.fenced(steady))
    }

    /// Sets the targets of a kind of duty.
    pub fn set_targets(&mut self, now_ms: u64, kind: u8, targets: &[Target], out: &mut Vec<Output>) {
        let fleet_ms = {
            let steady = self.steady(now_ms);
            self.fleet_ms(steady)
        };
        if kind == LOAD_READING_DUTY {
            let nodes: BTreeSet<u64> = targets.iter().map(|t| t.id).collect();
            self.readings.retain(|node| nodes.contains(&node));
        }
        let mut outputs = Vec::new();
        if let Some(d) = &mut self.duties {
            d.set_targets(fleet_ms, kind, targets, &mut outputs);
        }
        self.process_duties(outputs, out);
    }

    /// Takes the end of a duty: whether it was `done`, and the `reading` (the node's incarnation and its load values) that a
    /// load reading brought.
    pub fn finish_duty(
        &mut self,
        now_ms: u64,
        duty: Duty,
        round: u64,
        done: bool,
        reading: Option<(u64, Vec<f32>)>,
        out: &mut Vec<Output>,
    ) {
        let steady = self.steady(now_ms);
        let fleet_ms = self.fleet_ms(steady);
        if let Some((incarnation, values)) = reading {
            let reading = Reading { node: duty.target, incarnation, at_ms: fleet_ms, values };
            self.readings.store(fleet_ms, &reading);
            self.readings.share(reading);
        }
        let mut outputs = Vec::new();
        if let Some(d) = &mut self.duties {
            d.finish(fleet_ms, duty, round, done, &mut outputs);
        }
        self.process_duties(outputs, out);
    }

    /// Requests a duty outside its schedule. False if it is not run now: the caller has to use the last reading.
    pub fn request_duty(&mut self, now_ms: u64, duty: Duty, out: &mut Vec<Output>) -> bool {
        let steady = self.steady(now_ms);
        let fleet_ms = self.fleet_ms(steady);
        let mut outputs = Vec::new();
        let accepted = self.duties.as_mut().is_some_and(|d| d.request(fleet_ms, duty, &mut outputs));
        self.process_duties(outputs, out);
        accepted
    }

    /// This front leaves the fleet: it notifies the other fronts and begins no more duties.
    pub fn leave(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let now_ms = self.steady(now_ms);
        if let Some(d) = &mut self.duties {
            d.stop();
        }
        let mut outputs = Vec::new();
        if let Some(m) = &mut self.membership {
            m.leave(&mut outputs);
        }
        self.process_membership(now_ms, outputs, out);
    }

    // ---- messages between the parts ------------------------------------------------------------

    fn process_exchange(
        &mut self,
        now_ms: u64,
        outputs: Vec<pepperhook_exchange::Output>,
        out: &mut Vec<Output>,
    ) {
        use pepperhook_exchange::Output as Part;
        for output in outputs {
            match output {
                Part::Send(to, datagram) => out.push(Output::Send(to, datagram)),
                Part::Changed(record) if record.id.space == READING_SPACE => {
                    self.receive_readings(now_ms, &record, out)
                }
                Part::Changed(record) => out.push(Output::RecordChanged(record)),
                Part::Received { sender, run, channel: AGREEMENT_CHANNEL, content, .. } => {
                    self.call_agreement(out, |a, outputs| a.receive(now_ms, sender, run, &content, outputs));
                }
                Part::Received { sender, channel, content, .. } => {
                    self.receive_on_channel(now_ms, sender, channel, &content, out);
                }
                Part::RunRaised(run) => {
                    out.push(Output::Note(Note::RunRaised(run)));
                    if let Some(c) = &mut self.copies {
                        c.raise_run(run);
                    }
                    if let Some(a) = &mut self.agreement {
                        a.raise_run(run);
                    }
                    let mut outputs = Vec::new();
                    if let Some(m) = &mut self.membership {
                        m.raise_run(run, &mut outputs);
                    }
                    self.process_membership(now_ms, outputs, out);
                }
            }
        }
    }

    fn receive_on_channel(
        &mut self,
        now_ms: u64,
        sender: u64,
        channel: u8,
        content: &[u8],
        out: &mut Vec<Output>,
    ) {
        match channel {
            MEMBERSHIP_CHANNEL => {
                let Some((clock, message)) = content.split_first_chunk::<CLOCK_BYTES>() else { return };
                let mut outputs = Vec::new();
                let Some(m) = &mut self.membership else { return };
                // Membership counts rejected messages itself; they are not answered.
                if m.receive(sender, message, &mut outputs).is_ok() {
                    self.clock.observe(sender, u64::from_be_bytes(*clock), now_ms);
                }
                self.process_membership(now_ms, outputs, out);
            }
            DUTY_CHANNEL => {
                let Ok(report) = postcard::from_bytes::<DutyReport>(content) else { return };
                let fleet_ms = self.fleet_ms(now_ms);
                if let Some(d) = &mut self.duties {
                    // The scheduler counts ignored reports itself.
                    let _ = d.receive_report(fleet_ms, sender, report);
                }
            }
            COPIES_CHANNEL => {
                let outputs =
                    self.copies.as_mut().map_or_else(Vec::new, |c| c.receive(now_ms, sender, content));
                self.process_replica(outputs, out);
            }
            _ => {}
        }
    }

    /// Sends a message on a channel of the exchange.
    fn send_on_channel(
        &mut self,
        now_ms: u64,
        to: SocketAddr,
        channel: u8,
        content: &[u8],
        out: &mut Vec<Output>,
    ) {
        let mut sent = Vec::new();
        self.exchange.send_on_channel(to, channel, content, &mut sent);
        self.process_exchange(now_ms, sent, out);
    }

    fn process_replica(&mut self, outputs: Vec<pepperhook_replica::Output>, out: &mut Vec<Output>) {
        use pepperhook_replica::Output as Part;
        if outputs.is_empty() {
            return;
        }
        let view = self.view();
        for output in outputs {
            match output {
                Part::Send(to, message) => {
                    let content = self.copies.as_ref().and_then(|c| c.encode(&message));
                    if let Some((at, content)) = view.get(&to).map(|m| m.address).zip(content) {
                        self.send_on_channel(self.last_ms, at, COPIES_CHANNEL, &content, out);
                    }
                }
                Part::Adopted(_, keys) => out.push(Output::Adopted(keys)),
                Part::Lost(_, keys) => out.push(Output::Lost(keys)),
                Part::Deleted(_, key) => out.push(Output::Deleted(key)),
            }
        }
    }

    /// Calls the agreement and processes its outputs.
    fn call_agreement(
        &mut self,
        out: &mut Vec<Output>,
        call: impl FnOnce(&mut Agreement, &mut Vec<AgreementOutput>),
    ) {
        let mut outputs = Vec::new();
        let Some(agreement) = &mut self.agreement else { return };
        call(agreement, &mut outputs);
        if outputs.is_empty() {
            return;
        }
        let view = self.view();
        for output in outputs {
            match output {
                AgreementOutput::Send(to, message) => {
                    if let Some(at) = view.get(&to).map(|m| m.address) {
                        self.send_on_channel(self.last_ms, at, AGREEMENT_CHANNEL, &message, out);
                    }
                }
                AgreementOutput::Write(batch, ops) => out.push(Output::WriteStore(batch, ops)),
                AgreementOutput::RecreateStore => out.push(Output::RecreateStore),
                AgreementOutput::ActivatePolicy(active) => out.push(Output::ActivatePolicy(active)),
                AgreementOutput::AnswerOperator(key, answer) => out.push(Output::AnswerOperator(key, answer)),
                AgreementOutput::Note(note) => out.push(Output::Note(Note::Agreement(note))),
            }
        }
    }

    fn process_membership(
        &mut self,
        now_ms: u64,
        outputs: Vec<pepperhook_membership::Output>,
        out: &mut Vec<Output>,
    ) {
        use pepperhook_membership::Output as Part;
        for output in outputs {
            match output {
                Part::Send(to, message) => {
                    let mut content = now_ms.to_be_bytes().to_vec();
                    content.extend_from_slice(&message);
                    self.send_on_channel(now_ms, to, MEMBERSHIP_CHANNEL, &content, out);
                }
                Part::Changed(change) => {
                    self.view_changed = true;
                    out.push(Output::Note(Note::ViewChanged(change)));
                }
            }
        }
    }

    /// Passes a changed view to the other parts, once for all changes since the last call.
    fn apply_view(&mut self, now_ms: u64) {
        if !std::mem::take(&mut self.view_changed) {
            return;
        }
        let view = self.view();
        let peers: BTreeSet<SocketAddr> =
            view.values().map(|m| m.address).chain(self.seeds.clone()).collect();
        let own = self.membership.as_ref().map(|m| m.me().address);
        self.exchange.set_peers(peers.into_iter().filter(|a| Some(*a) != own).collect());
        if let Some(c) = &mut self.copies {
            c.set_view(&view);
        }
        self.clock.retain(|front| view.contains_key(&front));
        self.update_clock(now_ms);
        let fleet_ms = self.fleet_ms(now_ms);
        if let Some(d) = &mut self.duties {
            d.set_view(fleet_ms, view.iter().map(|(front, m)| (*front, m.weight)).collect());
        }
    }

    /// Applies the present offset of the fleet's clock if it differs by more than [`MIN_OFFSET_CHANGE_MS`].
    fn update_clock(&mut self, now_ms: u64) {
        let offset = self.clock.offset_ms();
        if offset.abs_diff(self.offset_ms) > MIN_OFFSET_CHANGE_MS {
            self.offset_ms = offset;
            let fleet_ms = self.fleet_ms(now_ms);
            if let Some(d) = &mut self.duties {
                d.clock_changed(fleet_ms);
            }
        }
    }

    fn process_duties(&mut self, outputs: Vec<pepperhook_duties::Output>, out: &mut Vec<Output>) {
        use pepperhook_duties::Output as Part;
        for output in outputs {
            match output {
                Part::Run { duty, round, timeout_ms } => out.push(Output::RunDuty(duty, round, timeout_ms)),
                Part::Cancel { duty, round } => out.push(Output::CancelDuty(duty, round)),
                Part::Report { to: fronts, report } => {
                    let Ok(content) = postcard::to_stdvec(&report) else { continue };
                    let view = self.view();
                    let mut sent = Vec::new();
                    for at in fronts.iter().filter_map(|f| view.get(f)).map(|m| m.address) {
                        self.exchange.send_on_channel(at, DUTY_CHANNEL, &content, &mut sent);
                    }
                    self.process_exchange(self.last_ms, sent, out);
                }
            }
        }
    }

    fn receive_readings(&mut self, now_ms: u64, record: &Record, out: &mut Vec<Output>) {
        if record.id.number == self.me {
            return;
        }
        let Ok(readings) = postcard::from_bytes::<Vec<Reading>>(&record.body) else { return };
        let fleet_ms = self.fleet_ms(now_ms);
        for reading in readings {
            if self.readings.store(fleet_ms, &reading) {
                if let Some(d) = &mut self.duties {
                    // The author of a reading has done that round's duty: this reports it even if its duty report was lost.
                    let duty = Duty { kind: LOAD_READING_DUTY, target: reading.node };
                    let round = d.round_at(duty, reading.at_ms);
                    let report =
                        DutyReport { duty, round, incarnation: reading.incarnation, state: DutyState::Done };
                    let _ = d.receive_report(fleet_ms, record.id.number, report);
                }
                let age_ms = fleet_ms.saturating_sub(reading.at_ms);
                out.push(Output::ReadingReceived(reading, age_ms));
            }
        }
    }

    // ---- queries -------------------------------------------------------------------------------

    /// The members of the fleet in this front's view, this front included.
    #[must_use]
    pub fn view(&self) -> BTreeMap<u64, Member> {
        self.membership.as_ref().map(Membership::view).unwrap_or_default()
    }

    /// The members for the console.
    #[must_use]
    pub fn member_rows(&self) -> Vec<MemberRow> {
        let row = |m: Member| MemberRow {
            front: m.front,
            address: m.address,
            run: m.run,
            renewals: m.renewals,
            weight: m.weight,
            own: m.front == self.me,
        };
        self.view().into_values().map(row).collect()
    }

    /// The duties, each with the reason why this front runs it or not.
    #[must_use]
    pub fn duty_rows(&self, now_ms: u64) -> Vec<DutyRow> {
        let fleet_ms = self.fleet_ms(now_ms.saturating_add(self.shift_ms));
        self.duties.as_ref().map(|d| d.rows(fleet_ms)).unwrap_or_default()
    }

    /// Counters of this front's duties.
    #[must_use]
    pub fn duty_counters(&self) -> Option<&Counters> {
        self.duties.as_ref().map(DutyScheduler::counters)
    }

    /// The latest reading of a node, taken by any front, and its age in milliseconds.
    #[must_use]
    pub fn latest_reading(&self, now_ms: u64, node: u64) -> Option<(&Reading, u64)> {
        let fleet_ms = self.fleet_ms(now_ms.saturating_add(self.shift_ms));
        self.readings.latest(node).map(|r| (r, fleet_ms.saturating_sub(r.at_ms)))
    }

    /// The streams that this front writes or holds for other fronts, and counters; `None` without copies.
    #[must_use]
    pub fn copies(
        &self,
        now_ms: u64,
    ) -> Option<(Vec<pepperhook_replica::StreamRow>, &pepperhook_replica::Counters)> {
        let steady = now_ms.saturating_add(self.shift_ms);
        self.copies.as_ref().map(|c| (c.rows(steady), c.counters()))
    }

    /// The state of the agreement; `None` without an agreement.
    #[must_use]
    pub fn agreement(&self, now_ms: u64) -> Option<AgreementView> {
        let steady = now_ms.saturating_add(self.shift_ms);
        self.agreement.as_ref().map(|a| a.view(steady))
    }

    /// The agreed policy that is active on this front: version, step, document.
    #[must_use]
    pub fn active_policy(&self) -> Option<(u64, &'static str, &pepperhook_policy::Policy)> {
        self.agreement.as_ref().and_then(Agreement::active_policy)
    }

    /// The settings in which a file differs from the agreed policy.
    #[must_use]
    pub fn differences_from(&self, file: &pepperhook_settings::Config) -> Vec<pepperhook_policy::Difference> {
        self.agreement.as_ref().map_or_else(Vec::new, |a| a.governor().differences_from(file))
    }

    /// What is added to this front's clock to get the fleet's, milliseconds.
    #[must_use]
    pub fn offset_ms(&self) -> i64 {
        self.offset_ms
    }

    /// The records of the exchange.
    #[must_use]
    pub fn records(&self) -> &Records {
        self.exchange.records()
    }

    /// Counters of the exchange: datagrams sent, accepted and rejected.
    #[must_use]
    pub fn exchange_counters(&self) -> &pepperhook_exchange::Counters {
        self.exchange.counters()
    }

    /// Number of membership messages that were rejected.
    #[must_use]
    pub fn rejected_membership_messages(&self) -> u64 {
        self.membership.as_ref().map_or(0, Membership::rejected_messages)
    }
}
