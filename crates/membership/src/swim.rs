//! The protocol: foca, with timers, seeds and checks around it.

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

/// Longest time between two calls that counts in full, milliseconds: what is beyond it was this front's own
/// standing still, in which nobody's answer could be heard.
const STEP_MS: u64 = 250;
/// A run is believed up to so far in the future, milliseconds: clocks are off by seconds, not by days.
const RUN_AHEAD_MS: u64 = 3_600_000;
/// Fronts that were given up are remembered for so long.
const REMEMBER: Duration = Duration::from_secs(120);

/// What a membership is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front.
    pub me: Member,
    /// Addresses that are asked who is there.
    pub seeds: Vec<SocketAddr>,
    /// Time between two looks at a member, milliseconds.
    pub probe_period_ms: u64,
    /// A member that does not answer is suspected, and given up after so long, milliseconds.
    pub suspicion_timeout_ms: u64,
    /// Fronts that are expected: how often news is repeated grows with their logarithm.
    pub expected_fronts: u32,
    /// Bytes of a message at most.
    pub max_message_bytes: usize,
    /// Seed of its choices.
    pub rng_seed: u64,
}

/// A change of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A front is there.
    Up(Member),
    /// It left, or was given up.
    Down(Member),
    /// The others had given this front up; it came back under this identity.
    Rejoined(Member),
}

/// What comes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message.
    Send(SocketAddr, Vec<u8>),
    /// The view changed.
    Changed(Change),
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It speaks for another front than the one that sealed it.
    SenderMismatch,
    /// It is no message of the protocol, is too long, or names a run in the future.
    InvalidContent,
}

/// The codec, with a bound on what is believed.
struct Sane {
    inner: PostcardCodec,
    latest_run: u64,
}

/// What the bound turned down.
#[derive(Debug)]
struct Future;

impl std::fmt::Display for Future {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a run in the future, or no member at all")
    }
}

impl std::error::Error for Future {}

impl Sane {
    fn believe(&self, member: &Member) -> Result<(), Future> {
        if member.run <= self.latest_run { Ok(()) } else { Err(Future) }
    }
}

impl Codec<Member> for Sane {
    type Error = Future;

    fn encode_header(
        &mut self,
        payload: &Header<Member>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Self::Error> {
        self.inner.encode_header(payload, buf).map_err(|_| Future)
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<Header<Member>, Self::Error> {
        let header: Header<Member> = self.inner.decode_header(buf).map_err(|_| Future)?;
        self.believe(&header.src)?;
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Member>,
        buf: impl bytes::BufMut,
    ) -> Result<(), Self::Error> {
        self.inner.encode_member(member, buf).map_err(|_| Future)
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<foca::Member<Member>, Self::Error> {
        let member: foca::Member<Member> = self.inner.decode_member(buf).map_err(|_| Future)?;
        self.believe(member.id())?;
        Ok(member)
    }
}

/// A timer of the protocol; equal times run in the order in which they were set.
struct Due {
    at_ms: u64,
    number: u64,
    timer: Timer<Member>,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.number) == (other.at_ms, other.number)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

/// One front's view of the others.
pub struct Membership {
    settings: Settings,
    foca: Foca<Member, Sane, StdRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    timers: BinaryHeap<Reverse<Due>>,
    timer_number: u64,
    rng: StdRng,
    me: Member,
    /// Time as the protocol sees it: it does not pass while this front stands still.
    time_ms: u64,
    called_ms: Option<u64>,
    seeds_due_ms: u64,
    left: bool,
    /// Messages that were not taken.
    rejected_messages: u64,
}

fn config(s: &Settings) -> Config {
    let fronts = f64::from(s.expected_fronts.max(2));
    // Few repeats are spent before a front that was cut off for a second can hear that it is suspected.
    let repeats = ((fronts + 1.0).log10() * 10.0).ceil().clamp(24.0, 60.0) as u8;
    let ms = Duration::from_millis;
    let few = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    Config {
        probe_period: ms(s.probe_period_ms),
        probe_rtt: ms(s.probe_period_ms * 2 / 5),
        num_indirect_probes: few(3),
        max_transmissions: NonZeroU8::new(repeats).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: ms(s.suspicion_timeout_ms),
        remove_down_after: REMEMBER,
        max_packet_size: few(s.max_message_bytes),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: ms(s.probe_period_ms * 5), num_members: few(1) }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ms(s.probe_period_ms * 3),
            num_members: few(2),
        }),
        periodic_gossip: Some(PeriodicParams { frequency: ms(s.probe_period_ms / 4), num_members: few(2) }),
    }
}

impl Membership {
    /// A view that holds this front alone. `now_ms` is any steady time; runs are compared with `wall_ms`, Unix time.
    #[must_use]
    pub fn new(settings: Settings, wall_ms: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(settings.rng_seed);
        let latest_run = wall_ms.max(settings.me.run).saturating_add(RUN_AHEAD_MS);
        let codec = Sane { inner: PostcardCodec, latest_run };
        let foca_rng = StdRng::seed_from_u64(rng.random());
        Self {
            foca: Foca::new(settings.me, config(&settings), foca_rng, codec),
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            timer_number: 0,
            me: settings.me,
            time_ms: 0,
            called_ms: None,
            seeds_due_ms: 0,
            left: false,
            rejected_messages: 0,
            rng,
            settings,
        }
    }

    /// This front, under its identity in force.
    #[must_use]
    pub fn me(&self) -> Member {
        self.me
    }

    /// The fronts that are there by this one's view, itself among them; one that came back at another address counts
    /// by its last run.
    #[must_use]
    pub fn view(&self) -> BTreeMap<u64, Member> {
        let mut out = BTreeMap::from([(self.me.front, self.me)]);
        for m in self.foca.iter_members().map(foca::Member::id).filter(|m| m.front != self.me.front) {
            let known = out.entry(m.front).or_insert(*m);
            if (m.run, m.renewals) > (known.run, known.renewals) {
                *known = *m;
            }
        }
        out
    }

    /// Messages that were not taken.
    #[must_use]
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// This front's run is this from now on; the others know a later one than it had.
    pub fn raise_run(&mut self, run: u64, out: &mut Vec<Output>) {
        let me = Member { run, renewals: 0, ..self.me };
        if run > self.me.run && self.foca.change_identity(me, &mut self.runtime).is_ok() {
            self.me = me;
        }
        self.drain(out);
    }

    /// Time passes. To be called every few tens of milliseconds.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let passed = now_ms.saturating_sub(self.called_ms.replace(now_ms).unwrap_or(now_ms));
        self.time_ms += passed.min(STEP_MS);
        if self.left {
            return;
        }
        if self.time_ms >= self.seeds_due_ms {
            self.ask_seeds();
        }
        while self.timers.peek().is_some_and(|Reverse(due)| due.at_ms <= self.time_ms) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            let suspect = match &due.timer {
                Timer::ChangeSuspectToDown { member_id, .. } => Some(*member_id),
                _ => None,
            };
            // An error here says that a timer came too late to mean anything.
            let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
            // foca 1.0 tells a suspect that it is down though it refuted that in time, and it would come back under
            // a new identity for nothing: that word is kept back.
            let spared = suspect.filter(|s| self.foca.iter_members().any(|m| m.id() == s));
            let mut said = Vec::new();
            self.drain(&mut said);
            said.retain(|o| !matches!((o, spared), (Output::Send(to, _), Some(s)) if *to == s.address));
            out.append(&mut said);
        }
        self.drain(out);
    }

    /// Announces this front to a seed that is not in the view; often while nobody is.
    fn ask_seeds(&mut self) {
        let known: Vec<SocketAddr> = self.foca.iter_members().map(|m| m.id().address).collect();
        let alone = known.is_empty();
        let missing: Vec<SocketAddr> = self
            .settings
            .seeds
            .iter()
            .copied()
            .filter(|s| !known.contains(s) && *s != self.me.address)
            .collect();
        if !missing.is_empty() {
            let seed = missing[self.rng.random_range(0..missing.len())];
            let _ = self.foca.announce(Member::unidentified(seed), &mut self.runtime);
        }
        let period = self.settings.probe_period_ms;
        let wait = if alone { period / 4 } else { period * 4 };
        self.seeds_due_ms = self.time_ms + wait + self.rng.random_range(0..=wait / 2);
    }

    /// Takes in a message that front number `sender` sealed.
    ///
    /// # Errors
    /// Why it was not taken; nothing changed then.
    pub fn receive(&mut self, sender: u64, message: &[u8], out: &mut Vec<Output>) -> Result<(), Rejection> {
        let taken = self.check(sender, message).and_then(|()| {
            match self.foca.handle_data(message, &mut self.runtime) {
                Ok(()) => Ok(()),
                Err(Error::DataFromOurselves) => Err(Rejection::SenderMismatch),
                Err(_) => Err(Rejection::InvalidContent),
            }
        });
        self.rejected_messages += u64::from(taken.is_err());
        self.drain(out);
        taken
    }

    fn check(&self, sender: u64, message: &[u8]) -> Result<(), Rejection> {
        let mut codec = PostcardCodec;
        let header: Header<Member> = codec.decode_header(message).map_err(|_| Rejection::InvalidContent)?;
        if header.src.front == sender { Ok(()) } else { Err(Rejection::SenderMismatch) }
    }

    /// Tells the others that this front goes.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        if !self.left {
            let _ = self.foca.leave_cluster(&mut self.runtime);
            self.drain(out);
            self.left = true;
        }
    }

    fn drain(&mut self, out: &mut Vec<Output>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            out.push(Output::Send(to.address, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_number += 1;
            let at_ms = self.time_ms + u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            self.timers.push(Reverse(Due { at_ms, number: self.timer_number, timer }));
        }
        while let Some(note) = self.runtime.to_notify() {
            match note {
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
