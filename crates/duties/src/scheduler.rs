//! The board of duties: what is to be done in the round, by whom, and what was heard of it.

use crate::rendezvous::{is_eligible, rank};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Fronts that do a duty in a round at the most: the owner and those who stand by.
const STANDBYS: usize = 4;
/// A duty that failed so often in a round is left alone until the next one: it is the target that fails.
const FAILURES: u8 = 2;

/// A kind of work on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Duty {
    /// Index into [`Settings::kinds`].
    pub kind: u8,
    /// What it is done on, such as the id of a node.
    pub target: u64,
}

/// A kind of duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyKind {
    /// Its name.
    pub name: String,
    /// Each target wants it once in this time, milliseconds.
    pub period_ms: u64,
    /// Who stands by acts so much later than the one before, milliseconds.
    pub stagger_ms: u64,
    /// It is given up after this time, milliseconds.
    pub timeout_ms: u64,
    /// Times a period that a target may hear it from all fronts together.
    pub max_runs_per_period: u32,
    /// It is done on targets that drain, too.
    pub include_draining: bool,
}

/// What a board is told at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This front.
    pub me: u64,
    /// Its weight; [`crate::DEFAULT_WEIGHT`] is one share.
    pub weight: u16,
    /// Fronts that there are at most, by the settings: the bound on what a target hears rests on it, not on the view.
    pub max_fronts: u32,
    /// Nothing is done for so long after the start, until the others are known; milliseconds.
    pub startup_delay_ms: u64,
    /// The kinds.
    pub kinds: Vec<DutyKind>,
}

/// How a target stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// As usual.
    Ready,
    /// It drains: nothing new goes there.
    Draining,
}

/// Something that duties are done on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Its id.
    pub id: u64,
    /// How it stands.
    pub state: TargetState,
    /// Which incarnation of it this is; what was done in an earlier one does not count.
    pub incarnation: u64,
}

/// How far a duty has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DutyState {
    /// A front has begun it.
    Started,
    /// It was done.
    Done,
    /// It failed, or took too long.
    Failed,
}

/// What a front tells of a duty. It claims nothing: who may act is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyReport {
    /// Which.
    pub duty: Duty,
    /// In which round.
    pub round: u64,
    /// The target's incarnation.
    pub incarnation: u64,
    /// How far.
    pub state: DutyState,
}

/// Why a claim was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rejection {
    /// Its sender is not in the view.
    UnknownSender,
    /// No such duty here, or another incarnation of its target.
    UnknownDuty,
    /// Its round is neither this one nor a neighbour of it.
    WrongRound,
    /// Its sender may not act in that round.
    NotEligible,
}

/// An action that the caller of the scheduler must carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Run this duty now and pass its result to [`DutyScheduler::finish`].
    Run {
        /// The duty to run.
        duty: Duty,
        /// The round for which it runs.
        round: u64,
        /// The time limit of the run, milliseconds.
        timeout_ms: u64,
    },
    /// Abort this run: it exceeded its time limit, or its target is no longer eligible for it.
    Cancel {
        /// The duty that is running.
        duty: Duty,
        /// The round for which it was started.
        round: u64,
    },
    /// Send a report to other fronts.
    Report {
        /// Numbers of the receiving fronts.
        to: Vec<u64>,
        /// The report.
        report: DutyReport,
    },
}

/// What happened since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Counters {
    /// Begun here as owner.
    #[serde(rename = "owned")]
    pub started_as_owner: u64,
    /// Begun here since nothing was heard of those before.
    #[serde(rename = "stood_in")]
    pub started_as_standby: u64,
    /// Begun here on demand.
    #[serde(rename = "asked")]
    pub started_on_request: u64,
    /// Done.
    pub done: u64,
    /// Failed.
    pub failed: u64,
    /// Broken off, their time being up.
    #[serde(rename = "broken_off")]
    pub timed_out: u64,
    /// Not begun, since the last time had not ended.
    #[serde(rename = "overran")]
    pub skipped_while_running: u64,
    /// Rounds in which it was this front's turn by its view, and its draw did not allow it.
    #[serde(rename = "barred")]
    pub owner_not_eligible: u64,
    /// Heard to be done elsewhere, though also begun here in the same round.
    #[serde(rename = "twice")]
    pub done_twice: u64,
    /// Claims passed over, by reason.
    #[serde(rename = "refused")]
    pub rejected_reports: BTreeMap<&'static str, u64>,
}

/// A duty as the console shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DutyRow {
    /// Name of the kind.
    pub kind: String,
    /// The target.
    pub target: u64,
    /// The round.
    pub round: u64,
    /// The owner by this front's view.
    pub owner: Option<u64>,
    /// This front's place in the order; 0 is the owner's.
    #[serde(rename = "place")]
    pub rank: Option<usize>,
    /// Why this front acts, waits or does not.
    #[serde(rename = "why")]
    pub status: &'static str,
    /// Milliseconds since it was last known to be done.
    pub done_ago_ms: Option<u64>,
    /// By whom.
    pub done_by: Option<u64>,
}

/// One duty in its round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Slot {
    target: Target,
    round: Option<u64>,
    /// The order, as far as it matters, and one more for the news.
    order: Vec<u64>,
    /// The owner of the next round hears of this one too.
    next: Option<u64>,
    place: Option<usize>,
    /// When it is this front's turn, if nothing is heard before.
    act_ms: Option<u64>,
    /// Another front has begun it and not ended it: who, in which round, and when its time is up.
    begun: Option<(u64, u64, u64)>,
    finished: bool,
    failures: u8,
    /// This front acted in this round.
    acted: bool,
    /// It is being done here: in which round, and until when.
    running: Option<(u64, u64)>,
    /// Turns of this round count from here, where something of an earlier one ended in it.
    from_ms: u64,
    /// How it ended is told once more at this time, in case the first word was lost.
    echo: Option<(u64, u64, DutyState)>,
    /// It has been under way since an earlier round: those of this one are to be told.
    goes_on: bool,
    /// Heard ahead of time, of the round to come.
    early: Option<(u64, u64, DutyState)>,
    last: Option<(u64, u64)>,
    /// When something is due for it.
    due_ms: u64,
}

/// One front's board.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyScheduler {
    settings: Settings,
    view: BTreeMap<u64, u16>,
    slots: BTreeMap<Duty, Slot>,
    due: BTreeSet<(u64, Duty)>,
    ready_ms: u64,
    stopped: bool,
    counters: Counters,
}

impl DutyScheduler {
    /// A board without targets; times are those of the fleet's clock.
    #[must_use]
    pub fn new(settings: Settings, fleet_ms: u64) -> Self {
        Self {
            view: BTreeMap::from([(settings.me, settings.weight)]),
            slots: BTreeMap::new(),
            due: BTreeSet::new(),
            ready_ms: fleet_ms.saturating_add(settings.startup_delay_ms),
            stopped: false,
            counters: Counters::default(),
            settings,
        }
    }

    fn kind(&self, duty: Duty) -> Option<&DutyKind> {
        self.settings.kinds.get(usize::from(duty.kind))
    }

    /// Rounds of the duties begin spread over the period.
    fn phase(duty: Duty, period_ms: u64) -> u64 {
        let mut hash = siphasher::sip::SipHasher13::new_with_keys(u64::from(duty.kind), 1);
        hash.write_u64(duty.target);
        hash.finish() % period_ms.max(1)
    }

    /// The round of a duty at a time, and when it began.
    fn round(&self, duty: Duty, now_ms: u64) -> (u64, u64) {
        let period = self.kind(duty).map_or(1, |k| k.period_ms.max(1));
        let phase = Self::phase(duty, period);
        let round = (now_ms + period - phase) / period;
        (round, (round * period + phase).saturating_sub(period))
    }

    fn may(&self, duty: Duty, round: u64, front: u64) -> bool {
        let weight = self.view.get(&front).copied().unwrap_or(self.settings.weight);
        let most = self.kind(duty).map_or(0, |k| k.max_runs_per_period);
        is_eligible(duty, round, front, weight, most, self.settings.max_fronts)
    }

    // ---- what comes in -------------------------------------------------------------------------

    /// The fronts that are there, with their weights; this one is always one of them.
    pub fn set_view(&mut self, now_ms: u64, mut view: BTreeMap<u64, u16>) {
        view.insert(self.settings.me, self.settings.weight);
        if view == self.view {
            return;
        }
        self.view = view;
        let duties: Vec<Duty> = self.slots.keys().copied().collect();
        for duty in duties {
            self.draw(duty);
            self.arrange(now_ms, duty);
        }
    }

    /// The targets of a kind are these from now on.
    pub fn set_targets(&mut self, now_ms: u64, kind: u8, targets: &[Target], out: &mut Vec<Output>) {
        let Some(draining) = self.settings.kinds.get(usize::from(kind)).map(|k| k.include_draining) else {
            return;
        };
        let wanted: BTreeMap<Duty, Target> = targets
            .iter()
            .filter(|t| draining || t.state == TargetState::Ready)
            .map(|t| (Duty { kind, target: t.id }, *t))
            .collect();
        let same = |duty: &Duty, slot: &Slot| {
            wanted.get(duty).is_some_and(|t| t.incarnation == slot.target.incarnation)
        };
        let gone: Vec<Duty> =
            self.slots.iter().filter(|(d, s)| d.kind == kind && !same(d, s)).map(|(d, _)| *d).collect();
        for duty in gone {
            if let Some(slot) = self.slots.remove(&duty) {
                self.due.remove(&(slot.due_ms, duty));
                // What is under way on a target that drains, is gone or came back is of no use any more.
                out.extend(slot.running.map(|(round, _)| Output::Cancel { duty, round }));
            }
        }
        for (duty, target) in wanted {
            if let Some(slot) = self.slots.get_mut(&duty) {
                slot.target = target;
                continue;
            }
            let slot = Slot {
                target,
                round: None,
                order: Vec::new(),
                next: None,
                place: None,
                act_ms: None,
                begun: None,
                finished: false,
                failures: 0,
                acted: false,
                running: None,
                from_ms: 0,
                echo: None,
                goes_on: false,
                early: None,
                last: None,
                due_ms: now_ms,
            };
            self.slots.insert(duty, slot);
            self.due.insert((now_ms, duty));
        }
    }

    /// Another front told how far a duty has come.
    ///
    /// # Errors
    /// Why that is passed over; nothing changed then.
    pub fn receive_report(&mut self, now_ms: u64, from: u64, claim: DutyReport) -> Result<(), Rejection> {
        let taken = self.take(now_ms, from, claim);
        if let Err(why) = taken {
            let name = match why {
                Rejection::UnknownSender => "stranger",
                Rejection::UnknownDuty => "duty",
                Rejection::WrongRound => "round",
                Rejection::NotEligible => "turn",
            };
            *self.counters.rejected_reports.entry(name).or_default() += 1;
        }
        taken
    }

    fn take(&mut self, now_ms: u64, from: u64, claim: DutyReport) -> Result<(), Rejection> {
        let DutyReport { duty, round, incarnation, state } = claim;
        if from == self.settings.me || !self.view.contains_key(&from) {
            return Err(Rejection::UnknownSender);
        }
        if self.slots.get(&duty).is_none_or(|s| s.target.incarnation != incarnation) {
            return Err(Rejection::UnknownDuty);
        }
        let (current, _) = self.round(duty, now_ms);
        // What takes longer than its period is told of in later rounds too.
        let kind = self.kind(duty).map_or((1, 0), |k| (k.period_ms.max(1), k.timeout_ms));
        if round > current + 1 || round + 1 + kind.1 / kind.0 < current {
            return Err(Rejection::WrongRound);
        }
        // The epoch is computed, never taken on somebody's word: who may not act then did not.
        if !self.may(duty, round, from) {
            return Err(Rejection::NotEligible);
        }
        // The round may have begun since the last wake.
        self.enter(now_ms, duty);
        let limit = self.kind(duty).map_or(0, |k| k.timeout_ms);
        let Some(slot) = self.slots.get_mut(&duty) else { return Err(Rejection::UnknownDuty) };
        if state == DutyState::Done {
            slot.last = slot.last.max(Some((now_ms, from)));
        }
        if round == current + 1 {
            slot.early = Some((round, from, state));
            return Ok(());
        }
        if let DutyState::Started = state {
            // Wherever it was begun, nobody begins it again before its time is up.
            if slot.begun.is_none_or(|(_, known, _)| known <= round) {
                slot.begun = Some((from, round, now_ms.saturating_add(limit)));
            }
        } else if slot.begun.is_some_and(|(by, known, _)| (by, known) == (from, round)) {
            slot.begun = None;
            if slot.round != Some(round) {
                slot.from_ms = now_ms;
            }
        }
        if slot.round == Some(round) {
            slot.finished |= state == DutyState::Done;
            slot.failures = slot.failures.saturating_add(u8::from(state == DutyState::Failed));
            self.counters.done_twice += u64::from(state == DutyState::Done && slot.acted);
        }
        self.arrange(now_ms, duty);
        Ok(())
    }

    /// A duty that was to be run has ended.
    pub fn finish(&mut self, now_ms: u64, duty: Duty, round: u64, done: bool, out: &mut Vec<Output>) {
        let me = self.settings.me;
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if slot.running.is_none_or(|(r, _)| r != round) {
            return;
        }
        slot.running = None;
        if slot.round != Some(round) {
            slot.from_ms = now_ms;
        }
        if done {
            slot.last = Some((now_ms, me));
            self.counters.done += 1;
        } else {
            self.counters.failed += 1;
        }
        if slot.round == Some(round) {
            slot.finished |= done;
            slot.failures = slot.failures.saturating_add(u8::from(!done));
        }
        let (state, step) = (
            if done { DutyState::Done } else { DutyState::Failed },
            self.kind(duty).map_or(0, |k| k.stagger_ms),
        );
        self.tell(duty, round, state, out);
        if let Some(slot) = self.slots.get_mut(&duty) {
            slot.echo = Some((now_ms + step / 3, round, state));
        }
        self.arrange(now_ms, duty);
    }

    /// The round in which a time lies for a duty.
    #[must_use]
    pub fn round_at(&self, duty: Duty, at_ms: u64) -> u64 {
        self.round(duty, at_ms).0
    }

    /// Somebody wants a duty done now. It is, where this front may act on it and has not in this round.
    pub fn request(&mut self, now_ms: u64, duty: Duty, out: &mut Vec<Output>) -> bool {
        let (round, _) = self.round(duty, now_ms);
        let fresh = |s: &Slot| {
            let acted = s.round == Some(round) && s.acted;
            s.running.is_none() && !acted
        };
        if self.stopped
            || !self.slots.get(&duty).is_some_and(fresh)
            || !self.may(duty, round, self.settings.me)
        {
            return false;
        }
        self.enter(now_ms, duty);
        self.counters.started_on_request += 1;
        self.begin(now_ms, duty, out);
        self.arrange(now_ms, duty);
        true
    }

    /// Nothing is begun from now on: this front leaves.
    pub fn stop(&mut self) {
        self.stopped = true;
        for slot in self.slots.values_mut() {
            (slot.act_ms, slot.echo) = (None, None);
        }
    }

    /// When something is due, by the fleet's clock.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Does what is due.
    pub fn wake(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        // Each duty once a call, whatever is due for it then.
        let later = self.due.split_off(&(now_ms + 1, Duty { kind: 0, target: 0 }));
        let due = std::mem::replace(&mut self.due, later);
        for (_, duty) in due {
            self.step(now_ms, duty, out);
        }
    }

    /// The clock was set: what is due is looked at anew.
    pub fn clock_changed(&mut self, now_ms: u64) {
        let duties: Vec<Duty> = self.slots.keys().copied().collect();
        for duty in duties {
            self.due_at(duty, now_ms);
        }
        self.ready_ms = self.ready_ms.min(now_ms.saturating_add(self.settings.startup_delay_ms));
    }

    // ---- a round -------------------------------------------------------------------------------

    fn step(&mut self, now_ms: u64, duty: Duty, out: &mut Vec<Output>) {
        self.enter(now_ms, duty);
        let (ready, stopped) = (now_ms >= self.ready_ms, self.stopped);
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if let Some((round, _)) = slot.running.filter(|(_, until)| *until <= now_ms) {
            slot.running = None;
            slot.failures = slot.failures.saturating_add(u8::from(slot.round == Some(round)));
            self.counters.timed_out += 1;
            out.push(Output::Cancel { duty, round });
            self.tell(duty, round, DutyState::Failed, out);
        }
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        let goes_on = std::mem::take(&mut slot.goes_on);
        if let Some((round, _)) = slot.running.filter(|_| goes_on) {
            self.tell(duty, round, DutyState::Started, out);
        }
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if let Some((_, round, state)) = slot.echo.take_if(|(at, ..)| *at <= now_ms) {
            self.tell(duty, round, state, out);
        }
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if slot.act_ms.is_some_and(|at| at <= now_ms) && ready && !stopped {
            if slot.running.is_some() {
                // It takes longer than its period: one at a time is enough.
                (slot.act_ms, slot.acted) = (None, true);
                self.counters.skipped_while_running += 1;
            } else {
                match slot.place {
                    Some(0) => self.counters.started_as_owner += 1,
                    _ => self.counters.started_as_standby += 1,
                }
                self.begin(now_ms, duty, out);
            }
        }
        self.arrange(now_ms, duty);
    }

    fn begin(&mut self, now_ms: u64, duty: Duty, out: &mut Vec<Output>) {
        let limit = self.kind(duty).map_or(0, |k| k.timeout_ms);
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        let Some(round) = slot.round else { return };
        (slot.act_ms, slot.acted) = (None, true);
        slot.running = Some((round, now_ms.saturating_add(limit)));
        out.push(Output::Run { duty, round, timeout_ms: limit });
        self.tell(duty, round, DutyState::Started, out);
    }

    /// Tells those who stand by, and the owner of the next round.
    fn tell(&self, duty: Duty, round: u64, state: DutyState, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get(&duty) else { return };
        let mut to: Vec<u64> = slot.order.iter().chain(&slot.next).copied().collect();
        to.sort_unstable();
        to.dedup();
        to.retain(|front| *front != self.settings.me);
        if !to.is_empty() {
            out.push(Output::Report {
                to,
                report: DutyReport { duty, round, incarnation: slot.target.incarnation, state },
            });
        }
    }

    /// Enters the round that the time is in.
    fn enter(&mut self, now_ms: u64, duty: Duty) {
        let (round, _) = self.round(duty, now_ms);
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if slot.round == Some(round) {
            return;
        }
        // A clock that was set back must not make this front act twice where it acted already.
        let again = slot.round.is_some_and(|was| was > round && was - round < 4);
        (slot.round, slot.finished, slot.failures, slot.acted) = (Some(round), again, 0, again);
        (slot.from_ms, slot.goes_on) = (0, slot.running.is_some());
        if let Some((_, from, state)) = slot.early.take().filter(|(r, ..)| *r == round) {
            slot.finished |= state == DutyState::Done;
            slot.failures += u8::from(state == DutyState::Failed);
            if state == DutyState::Started {
                let limit = self.settings.kinds.get(usize::from(duty.kind)).map_or(0, |k| k.timeout_ms);
                slot.begun = Some((from, round, now_ms.saturating_add(limit)));
            }
        }
        self.draw(duty);
        self.arrange(now_ms, duty);
        if let Some(slot) = self.slots.get(&duty) {
            let turn = slot.place == Some(0) && !slot.finished;
            self.counters.owner_not_eligible += u64::from(turn && !self.may(duty, round, self.settings.me));
        }
    }

    /// Draws the order of a round from the view.
    fn draw(&mut self, duty: Duty) {
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        let Some(round) = slot.round else { return };
        slot.order = rank(duty, round, &self.view, STANDBYS);
        slot.next = rank(duty, round + 1, &self.view, 1).first().copied();
        slot.place = slot.order.iter().position(|f| *f == self.settings.me);
    }

    /// Works out from order, round and what was heard when it is this front's turn, and when to look again.
    fn arrange(&mut self, now_ms: u64, duty: Duty) {
        let Some(kind) = self.kind(duty) else { return };
        let (step, period) = (kind.stagger_ms, kind.period_ms);
        let (current, began) = self.round(duty, now_ms);
        let Some(round) = self.slots.get(&duty).and_then(|s| s.round) else { return };
        if round != current {
            // The round is over and the next one not entered yet.
            return self.due_at(duty, now_ms);
        }
        let may = self.may(duty, round, self.settings.me);
        let stopped = self.stopped;
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        slot.begun = slot.begun.filter(|(.., until)| *until > now_ms);
        let open = !slot.finished && !slot.acted && slot.failures < FAILURES && may && !stopped;
        slot.act_ms = slot.place.filter(|_| open).map(|place| {
            let from = began.max(slot.from_ms).max(slot.begun.map_or(0, |(.., until)| until));
            from + step * place as u64
        });
        // Just before a round ends its word would come too late for the next owner.
        slot.act_ms = slot.act_ms.filter(|at| at + step / 2 < began + period);
        let ready = self.ready_ms;
        let mut due = began + period;
        due = due.min(slot.act_ms.map_or(u64::MAX, |at| at.max(ready)));
        due = due.min(slot.running.map_or(u64::MAX, |(_, until)| until));
        due = if slot.goes_on { now_ms } else { due };
        due = due.min(slot.echo.map_or(u64::MAX, |(at, ..)| at));
        self.due_at(duty, due);
    }

    fn due_at(&mut self, duty: Duty, at_ms: u64) {
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        self.due.remove(&(slot.due_ms, duty));
        slot.due_ms = at_ms;
        self.due.insert((at_ms, duty));
    }

    // ---- what is shown -------------------------------------------------------------------------

    /// What happened since the start.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The duties, by kind and target.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<DutyRow> {
        let row = |(duty, s): (&Duty, &Slot)| DutyRow {
            kind: self.kind(*duty).map_or_else(String::new, |k| k.name.clone()),
            target: duty.target,
            round: s.round.unwrap_or(0),
            owner: s.order.first().copied(),
            rank: s.place,
            status: self.why(now_ms, *duty, s),
            done_ago_ms: s.last.map(|(at, _)| now_ms.saturating_sub(at)),
            done_by: s.last.map(|(_, by)| by),
        };
        self.slots.iter().map(row).collect()
    }

    fn why(&self, now_ms: u64, duty: Duty, s: &Slot) -> &'static str {
        let round = s.round.unwrap_or(0);
        match s.place {
            _ if self.stopped => "this front leaves",
            _ if now_ms < self.ready_ms => "waits for the others to be known",
            _ if s.running.is_some() => "is being done here",
            _ if s.finished => "done in this round",
            _ if s.begun.is_some() => "begun by another front",
            _ if s.failures >= FAILURES => "failed in this round",
            None => "another's turn",
            Some(_) if s.acted => "acted in this round",
            Some(_) if !self.may(duty, round, self.settings.me) => {
                "barred by the bound on what a target hears"
            }
            Some(0) => "owned here",
            Some(_) => "stands by",
        }
    }
}
