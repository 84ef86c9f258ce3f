//! The SWIM protocol: foca with timers, contact to seeds and validation of messages.

use crate::member::Member;
use foca::{
    AccumulatingRuntime, Codec, Config, Error, Foca, Header, NoCustomBroadcast, OwnedNotification,
    PeriodicParams, PostcardCodec, Timer,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Maximum time that the protocol's clock advances between two ticks, milliseconds. Beyond it this front did
/// not run, so that it could not receive answers.
const MAX_TICK_STEP_MS: u64 = 250;
/// A run number, which is the Unix time of the front's start, is rejected if it is further than this beyond
/// the time at which this membership started, milliseconds. Clocks of correct fronts differ by seconds, not
/// days.
const MAX_RUN_AHEAD_MS: u64 = 3_600_000;
/// How long foca remembers members that are down.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(120);

/// Settings of the membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front's identity.
    pub me: Member,
    /// Addresses that are contacted to find the other members.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes that this front sends, milliseconds; each probes one member.
    pub probe_period_ms: u64,
    /// A member that does not answer is suspected, and declared down after this time, milliseconds.
    pub suspicion_timeout_ms: u64,
    /// Expected number of fronts. The number of times that an update is sent grows with its logarithm.
    pub expected_fronts: u32,
    /// Maximum size of a message, bytes.
    pub max_message_bytes: usize,
    /// Seed of the random number generator.
    pub rng_seed: u64,
}

/// A change of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A front is up.
    Up(Member),
    /// A front left or was declared down.
    Down(Member),
    /// The other members had declared this front down; it rejoined under this identity.
    Rejoined(Member),
}

/// What the membership returns to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message.
    Send(SocketAddr, Vec<u8>),
    /// The view changed.
    Changed(Change),
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its sender is not the front that sealed it.
    SenderMismatch,
    /// It is not a valid message of the protocol, is too long, or contains a run too far in the future.
    InvalidContent,
}

/// The postcard codec of foca, which also rejects members whose run is too far in the future.
struct ValidatingCodec {
    inner: PostcardCodec,
    /// Highest run that is accepted, set when the membership starts.
    latest_run: u64,
}

/// Why [`ValidatingCodec`] failed.
#[derive(Debug)]
struct CodecError;

impl std::fmt::Display for CodecError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("not a valid member, or its run is too far in the future")
    }
}

impl std::error::Error for CodecError {}

impl ValidatingCodec {
    fn validate(&self, member: &Member) -> Result<(), CodecError> {
        if member.run <= self.latest_run { Ok(()) } else { Err(CodecError) }
    }
}

impl Codec<Member> for ValidatingCodec {
    type Error = CodecError;

    fn encode_header(
        &mut self,
        payload: &Header<Member>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Self::Error> {
        self.inner.encode_header(payload, buf).map_err(|_| CodecError)
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<Header<Member>, Self::Error> {
        let header: Header<Member> = self.inner.decode_header(buf).map_err(|_| CodecError)?;
        self.validate(&header.src)?;
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Member>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Self::Error> {
        self.inner.encode_member(member, buf).map_err(|_| CodecError)
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<foca::Member<Member>, Self::Error> {
        let member: foca::Member<Member> = self.inner.decode_member(buf).map_err(|_| CodecError)?;
        self.validate(member.id())?;
        Ok(member)
    }
}

/// A scheduled timer of the protocol. Timers due at the same time fire in the order in which they were
/// scheduled.
struct ScheduledTimer {
    at_ms: u64,
    sequence: u64,
    timer: Timer<Member>,
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}
impl Eq for ScheduledTimer {}
impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledTimer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}

/// One front's part of the membership protocol, and its view of the fronts that are up.
pub struct Membership {
    settings: Settings,
    foca: Foca<Member, ValidatingCodec, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    last_timer_sequence: u64,
    rng: StdRng,
    me: Member,
    /// The protocol's clock, milliseconds since the first tick. It does not advance while this front does not
    /// run.
    time_ms: u64,
    last_tick_ms: Option<u64>,
    /// When the next seed is contacted, by the protocol's clock.
    next_announcement_ms: u64,
    left: bool,
    rejected_messages: u64,
}

fn config(settings: &Settings) -> Config {
    let fronts = f64::from(settings.expected_fronts.max(2));
    // With fewer transmissions, an update that suspects a front might no longer be sent when that front
    // becomes reachable again after a second, and it could not refute the suspicion.
    let transmissions = ((fronts + 1.0).log10() * 10.0).ceil().clamp(24.0, 60.0) as u8;
    let ms = Duration::from_millis;
    let count = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    Config {
        probe_period: ms(settings.probe_period_ms),
        probe_rtt: ms(settings.probe_period_ms * 2 / 5),
        num_indirect_probes: count(3),
        max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: ms(settings.suspicion_timeout_ms),
        remove_down_after: DOWN_MEMBER_RETENTION,
        max_packet_size: count(settings.max_message_bytes),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams {
            frequency: ms(settings.probe_period_ms * 5),
            num_members: count(1),
        }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ms(settings.probe_period_ms * 3),
            num_members: count(2),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: ms(settings.probe_period_ms / 4),
            num_members: count(2),
        }),
    }
}

impl Membership {
    /// Starts with a view that contains only this front. Runs are validated against `wall_ms`, Unix
    /// milliseconds; the times passed to [`Membership::tick`] may have any origin.
    #[must_use]
    pub fn new(settings: Settings, wall_ms: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.rng_seed);
        let latest_run = wall_ms.max(settings.me.run).saturating_add(MAX_RUN_AHEAD_MS);
        let codec = ValidatingCodec { inner: PostcardCodec, latest_run };
        let foca_rng = StdRng::seed_from_u64(rng.random());
        Self {
            foca: Foca::new(settings.me, config(&settings), foca_rng, codec),
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            last_timer_sequence: 0,
            me: settings.me,
            time_ms: 0,
            last_tick_ms: None,
            next_announcement_ms: 0,
            left: false,
            rejected_messages: 0,
            rng,
            settings,
        }
    }

    /// This front's current identity.
    #[must_use]
    pub fn me(&self) -> Member {
        self.me
    }

    /// The fronts that are up, including this one, by number. A front that restarted at another address
    /// appears with its latest run only.
    #[must_use]
    pub fn view(&self) -> BTreeMap<u64, Member> {
        let mut view = BTreeMap::from([(self.me.front, self.me)]);
        let members = self.foca.iter_members().map(foca::Member::id);
        for member in members.filter(|member| member.front != self.me.front) {
            let latest = view.entry(member.front).or_insert(*member);
            if (member.run, member.renewals) > (latest.run, latest.renewals) {
                *latest = *member;
            }
        }
        view
    }

    /// Number of messages rejected since the start.
    #[must_use]
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// Switches to a later run of this front, because the other fronts know a later one than it had.
    pub fn raise_run(&mut self, run: u64, out: &mut Vec<Output>) {
        let me = Member { run, renewals: 0, ..self.me };
        if run > self.me.run && self.foca.change_identity(me, &mut self.runtime).is_ok() {
            self.me = me;
        }
        self.drain(out);
    }

    /// Advances the protocol's clock and fires the timers that are due. To be called every few tens of
    /// milliseconds.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let elapsed_ms = now_ms.saturating_sub(self.last_tick_ms.replace(now_ms).unwrap_or(now_ms));
        self.time_ms += elapsed_ms.min(MAX_TICK_STEP_MS);
        if self.left {
            return;
        }
        if self.time_ms >= self.next_announcement_ms {
            self.announce_to_seed();
        }
        while self.timers.peek().is_some_and(|Reverse(timer)| timer.at_ms <= self.time_ms) {
            let Some(Reverse(ScheduledTimer { timer, .. })) = self.timers.pop() else { break };
            let suspect = match &timer {
                Timer::ChangeSuspectToDown { member_id, .. } => Some(*member_id),
                _ => None,
            };
            // An error means that the timer is obsolete.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            // When a suspicion times out, foca 1.0 notifies the suspect that it is down, even if the suspect
            // refuted that in time. It would rejoin under a new identity without need, so the notification is
            // dropped.
            let refuted = suspect.filter(|suspect| self.foca.iter_members().any(|m| m.id() == suspect));
            let mut outputs = Vec::new();
            self.drain(&mut outputs);
            outputs.retain(|output| {
                !matches!((output, refuted), (Output::Send(to, _), Some(member)) if *to == member.address)
            });
            out.append(&mut outputs);
        }
        self.drain(out);
    }

    /// Announces this front to a random seed that is not in the view; more often while no other front is in
    /// the view.
    fn announce_to_seed(&mut self) {
        let known: Vec<SocketAddr> = self.foca.iter_members().map(|m| m.id().address).collect();
        let alone = known.is_empty();
        let missing: Vec<SocketAddr> = self
            .settings
            .seeds
            .iter()
            .copied()
            .filter(|seed| !known.contains(seed) && *seed != self.me.address)
            .collect();
        if !missing.is_empty() {
            let seed = missing[self.rng.random_range(0..missing.len())];
            let _ = self.foca.announce(Member::unidentified(seed), &mut self.runtime);
        }
        let period_ms = self.settings.probe_period_ms;
        let wait_ms = if alone { period_ms / 4 } else { period_ms * 4 };
        self.next_announcement_ms = self.time_ms + wait_ms + self.rng.random_range(0..=wait_ms / 2);
    }

    /// Handles a message from a datagram that front number `sender` sealed.
    ///
    /// # Errors
    /// Why the message was rejected. A rejected message does not change the view.
    pub fn receive(&mut self, sender: u64, message: &[u8], out: &mut Vec<Output>) -> Result<(), Rejection> {
        let result = self.check_sender(sender, message).and_then(|()| {
            match self.foca.handle_data(message, &mut self.runtime) {
                Ok(()) => Ok(()),
                Err(Error::DataFromOurselves) => Err(Rejection::SenderMismatch),
                Err(_) => Err(Rejection::InvalidContent),
            }
        });
        self.rejected_messages += u64::from(result.is_err());
        self.drain(out);
        result
    }

    /// Checks that the message's sender is the front that sealed it.
    fn check_sender(&self, sender: u64, message: &[u8]) -> Result<(), Rejection> {
        let mut codec = PostcardCodec;
        let header: Header<Member> = codec.decode_header(message).map_err(|_| Rejection::InvalidContent)?;
        if header.src.front == sender { Ok(()) } else { Err(Rejection::SenderMismatch) }
    }

    /// Notifies the other members that this front leaves; afterwards it takes no part in the protocol.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        if !self.left {
            let _ = self.foca.leave_cluster(&mut self.runtime);
            self.drain(out);
            self.left = true;
        }
    }

    /// Collects what foca produced: messages to send, timers and changes of the view.
    fn drain(&mut self, out: &mut Vec<Output>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            out.push(Output::Send(to.address, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.last_timer_sequence += 1;
            let at_ms = self.time_ms + u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            self.timers.push(Reverse(ScheduledTimer { at_ms, sequence: self.last_timer_sequence, timer }));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(m) => out.push(Output::Changed(Change::Up(m))),
                OwnedNotification::MemberDown(m) => out.push(Output::Changed(Change::Down(m))),
                OwnedNotification::Rejoin(me) => {
                    self.me = me;
                    out.push(Output::Changed(Change::Rejoined(me)));
                }
                OwnedNotification::Rename(..)
                | OwnedNotification::Active
                | OwnedNotification::Idle
                | OwnedNotification::Defunct => {}
            }
        }
    }
}
