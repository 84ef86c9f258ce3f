//! The scheduler of one front: which duties it runs in the current round, and what other fronts reported
//! about them.

use crate::rendezvous::{is_eligible, rank};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Maximum number of fronts that may run a duty in a round: the owner and its standbys.
const MAX_CANDIDATES: usize = 4;
/// After this many failures in a round a duty is not tried again until the next round, because the target is
/// the likely cause.
const MAX_FAILURES_PER_ROUND: u8 = 2;

/// A kind of work on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Duty {
    /// Index into [`Settings::kinds`].
    pub kind: u8,
    /// What it is done on, such as the id of a node.
    pub target: u64,
}

/// Settings of a kind of duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyKind {
    /// Its name.
    pub name: String,
    /// Duration of a round, milliseconds: each target needs the duty once in this time.
    pub period_ms: u64,
    /// Delay of each standby after the front ranked before it, milliseconds.
    pub stagger_ms: u64,
    /// Maximum duration of a run, milliseconds.
    pub timeout_ms: u64,
    /// Limit of the mean number of runs per target and period by all fronts together; see [`is_eligible`].
    pub max_runs_per_period: u32,
    /// Whether the duty is also done on draining targets.
    pub include_draining: bool,
}

/// Settings of a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This front's number.
    pub me: u64,
    /// This front's weight; [`crate::DEFAULT_WEIGHT`] is one share.
    pub weight: u16,
    /// Maximum number of fronts. The limit of runs per period is based on it, not on the view.
    pub max_fronts: u32,
    /// No duty starts on schedule for this time after the start, until the other fronts are known;
    /// milliseconds.
    pub startup_delay_ms: u64,
    /// The kinds of duty.
    pub kinds: Vec<DutyKind>,
}

/// State of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// In normal operation.
    Ready,
    /// Receives no new sessions.
    Draining,
}

/// Something that duties are done on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Its id.
    pub id: u64,
    /// Its state.
    pub state: TargetState,
    /// Identifies its incarnation. Results from another incarnation do not count.
    pub incarnation: u64,
}

/// Progress of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DutyState {
    /// A front started it.
    Started,
    /// It succeeded.
    Done,
    /// It failed or timed out.
    Failed,
}

/// What a front reports to others about a duty that it runs. A report grants no right to run the duty:
/// eligibility is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyReport {
    /// The duty.
    pub duty: Duty,
    /// The round for which it runs.
    pub round: u64,
    /// The target's incarnation.
    pub incarnation: u64,
    /// Its progress.
    pub state: DutyState,
}

/// Why a report was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rejection {
    /// Its sender is not in the view.
    UnknownSender,
    /// The duty is unknown here, or the target's incarnation differs.
    UnknownDuty,
    /// Its round is later than the next one, or too early to be still under way.
    WrongRound,
    /// Its sender is not eligible in that round.
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

/// Counts of runs and reports since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Counters {
    /// Runs started here as owner.
    #[serde(rename = "owned")]
    pub started_as_owner: u64,
    /// Runs started here as standby, because no report of an earlier candidate arrived or its run had failed.
    #[serde(rename = "stood_in")]
    pub started_as_standby: u64,
    /// Runs started here on request; see [`DutyScheduler::request`].
    #[serde(rename = "asked")]
    pub started_on_request: u64,
    /// Runs here that succeeded.
    pub done: u64,
    /// Runs here that failed.
    pub failed: u64,
    /// Runs here that exceeded their time limit.
    #[serde(rename = "broken_off")]
    pub timed_out: u64,
    /// Runs not started here because the previous run of the duty was still under way.
    #[serde(rename = "overran")]
    pub skipped_while_running: u64,
    /// Rounds in which this front was the owner by its view, but was not eligible.
    #[serde(rename = "barred")]
    pub owner_not_eligible: u64,
    /// Reports that another front did a duty in a round in which this front ran it too.
    #[serde(rename = "twice")]
    pub done_twice: u64,
    /// Reports rejected, by reason.
    #[serde(rename = "refused")]
    pub rejected_reports: BTreeMap<&'static str, u64>,
}

/// A duty as the console shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DutyRow {
    /// Name of the kind.
    pub kind: String,
    /// Id of the target.
    pub target: u64,
    /// The current round.
    pub round: u64,
    /// The owner by this front's view.
    pub owner: Option<u64>,
    /// This front's rank among the candidates; 0 is the owner.
    #[serde(rename = "place")]
    pub rank: Option<usize>,
    /// Why this front runs the duty, waits or does not run it.
    #[serde(rename = "why")]
    pub status: &'static str,
    /// Time since the duty was last known to be done, milliseconds.
    pub done_ago_ms: Option<u64>,
    /// The front that did it then.
    pub done_by: Option<u64>,
}

/// A run by another front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RemoteRun {
    front: u64,
    round: u64,
    timeout_at_ms: u64,
}

/// A run by this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LocalRun {
    round: u64,
    timeout_at_ms: u64,
}

/// A result of this front that is to be reported a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RepeatedReport {
    at_ms: u64,
    round: u64,
    state: DutyState,
}

/// A report of the next round that arrived before that round began here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EarlyReport {
    round: u64,
    front: u64,
    state: DutyState,
}

/// When the duty was last done, and by which front. The order of the fields matters: the latest time is the
/// maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LastDone {
    at_ms: u64,
    front: u64,
}

/// The schedule of one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Slot {
    target: Target,
    /// The current round; `None` before the first one.
    round: Option<u64>,
    /// The candidates of the current round, the owner first. They receive the reports.
    candidates: Vec<u64>,
    /// The owner of the next round, which receives the reports too.
    next_owner: Option<u64>,
    /// This front's rank among the candidates.
    rank: Option<usize>,
    /// When this front starts the duty unless a report prevents it.
    start_at_ms: Option<u64>,
    /// Another front's run that is under way.
    remote_run: Option<RemoteRun>,
    /// Whether the duty was done in the current round.
    done: bool,
    /// Failures in the current round.
    failures: u8,
    /// Whether this front started the duty, or skipped it, in the current round.
    attempted: bool,
    /// This front's run that is under way.
    local_run: Option<LocalRun>,
    /// Start times in the current round count from here, if a run of an earlier round ended in it.
    earliest_start_ms: u64,
    /// The result is reported once more, in case the first report was lost.
    repeated_report: Option<RepeatedReport>,
    /// The local run started in an earlier round: the current candidates must be notified of it.
    notify_carried_over: bool,
    /// A report of the next round.
    early_report: Option<EarlyReport>,
    last_done: Option<LastDone>,
    /// When the scheduler next handles this duty.
    due_ms: u64,
}

/// The scheduler of one front. All times are those of the fleet's clock, milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DutyScheduler {
    settings: Settings,
    /// Weights of the fronts that are up, by number.
    view: BTreeMap<u64, u16>,
    slots: BTreeMap<Duty, Slot>,
    /// The duties in the order in which they are due.
    due: BTreeSet<(u64, Duty)>,
    /// No duty starts on schedule before this time.
    ready_ms: u64,
    stopped: bool,
    counters: Counters,
}

impl DutyScheduler {
    /// A scheduler without targets.
    #[must_use]
    pub fn new(settings: Settings, now_ms: u64) -> Self {
        Self {
            view: BTreeMap::from([(settings.me, settings.weight)]),
            slots: BTreeMap::new(),
            due: BTreeSet::new(),
            ready_ms: now_ms.saturating_add(settings.startup_delay_ms),
            stopped: false,
            counters: Counters::default(),
            settings,
        }
    }

    fn kind(&self, duty: Duty) -> Option<&DutyKind> {
        self.settings.kinds.get(usize::from(duty.kind))
    }

    /// Offset of a duty's rounds within the period. It spreads the rounds of the duties over the period.
    fn phase_ms(duty: Duty, period_ms: u64) -> u64 {
        let mut hash = siphasher::sip::SipHasher13::new_with_keys(u64::from(duty.kind), 1);
        hash.write_u64(duty.target);
        hash.finish() % period_ms.max(1)
    }

    /// The round of a duty at a time, and the start of that round, milliseconds.
    fn round(&self, duty: Duty, now_ms: u64) -> (u64, u64) {
        let period = self.kind(duty).map_or(1, |k| k.period_ms.max(1));
        let phase = Self::phase_ms(duty, period);
        let round = (now_ms + period - phase) / period;
        (round, (round * period + phase).saturating_sub(period))
    }

    /// Whether a front may run a duty in a round.
    fn eligible(&self, duty: Duty, round: u64, front: u64) -> bool {
        let weight = self.view.get(&front).copied().unwrap_or(self.settings.weight);
        let max_runs = self.kind(duty).map_or(0, |k| k.max_runs_per_period);
        is_eligible(duty, round, front, weight, max_runs, self.settings.max_fronts)
    }

    // ---- input ---------------------------------------------------------------------------------

    /// Replaces the view: the fronts that are up, with their weights. This front is always part of it.
    pub fn set_view(&mut self, now_ms: u64, mut view: BTreeMap<u64, u16>) {
        view.insert(self.settings.me, self.settings.weight);
        if view == self.view {
            return;
        }
        self.view = view;
        let duties: Vec<Duty> = self.slots.keys().copied().collect();
        for duty in duties {
            self.rank_candidates(duty);
            self.reschedule(now_ms, duty);
        }
    }

    /// Replaces the targets of a kind.
    pub fn set_targets(&mut self, now_ms: u64, kind: u8, targets: &[Target], out: &mut Vec<Output>) {
        let Some(include_draining) = self.settings.kinds.get(usize::from(kind)).map(|k| k.include_draining)
        else {
            return;
        };
        let wanted: BTreeMap<Duty, Target> = targets
            .iter()
            .filter(|t| include_draining || t.state == TargetState::Ready)
            .map(|t| (Duty { kind, target: t.id }, *t))
            .collect();
        let unchanged = |duty: &Duty, slot: &Slot| {
            wanted.get(duty).is_some_and(|t| t.incarnation == slot.target.incarnation)
        };
        let removed: Vec<Duty> = self
            .slots
            .iter()
            .filter(|(duty, slot)| duty.kind == kind && !unchanged(duty, slot))
            .map(|(duty, _)| *duty)
            .collect();
        for duty in removed {
            if let Some(slot) = self.slots.remove(&duty) {
                self.due.remove(&(slot.due_ms, duty));
                // The result of a run on a target that drains, is gone or has a new incarnation is of no use.
                out.extend(slot.local_run.map(|run| Output::Cancel { duty, round: run.round }));
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
                candidates: Vec::new(),
                next_owner: None,
                rank: None,
                start_at_ms: None,
                remote_run: None,
                done: false,
                failures: 0,
                attempted: false,
                local_run: None,
                earliest_start_ms: 0,
                repeated_report: None,
                notify_carried_over: false,
                early_report: None,
                last_done: None,
                due_ms: now_ms,
            };
            self.slots.insert(duty, slot);
            self.due.insert((now_ms, duty));
        }
    }

    /// Handles a report from another front.
    ///
    /// # Errors
    /// Why the report was rejected. A rejected report has no effect but on the counters.
    pub fn receive_report(&mut self, now_ms: u64, from: u64, report: DutyReport) -> Result<(), Rejection> {
        let result = self.apply_report(now_ms, from, report);
        if let Err(reason) = result {
            let name = match reason {
                Rejection::UnknownSender => "stranger",
                Rejection::UnknownDuty => "duty",
                Rejection::WrongRound => "round",
                Rejection::NotEligible => "turn",
            };
            *self.counters.rejected_reports.entry(name).or_default() += 1;
        }
        result
    }

    fn apply_report(&mut self, now_ms: u64, from: u64, report: DutyReport) -> Result<(), Rejection> {
        let DutyReport { duty, round, incarnation, state } = report;
        if from == self.settings.me || !self.view.contains_key(&from) {
            return Err(Rejection::UnknownSender);
        }
        if self.slots.get(&duty).is_none_or(|s| s.target.incarnation != incarnation) {
            return Err(Rejection::UnknownDuty);
        }
        let (current, _) = self.round(duty, now_ms);
        // A run that takes longer than the period is also reported in later rounds.
        let (period_ms, timeout_ms) = self.kind(duty).map_or((1, 0), |k| (k.period_ms.max(1), k.timeout_ms));
        if round > current + 1 || round + 1 + timeout_ms / period_ms < current {
            return Err(Rejection::WrongRound);
        }
        // Eligibility is computed here, never taken from the message: a front that is not eligible did not
        // run the duty.
        if !self.eligible(duty, round, from) {
            return Err(Rejection::NotEligible);
        }
        // A round may have begun since the last wake.
        self.enter_round(now_ms, duty);
        let timeout_ms = self.kind(duty).map_or(0, |k| k.timeout_ms);
        let Some(slot) = self.slots.get_mut(&duty) else { return Err(Rejection::UnknownDuty) };
        if state == DutyState::Done {
            slot.last_done = slot.last_done.max(Some(LastDone { at_ms: now_ms, front: from }));
        }
        if round == current + 1 {
            slot.early_report = Some(EarlyReport { round, front: from, state });
            return Ok(());
        }
        if let DutyState::Started = state {
            // No other front starts the duty before this run ends or times out.
            if slot.remote_run.is_none_or(|known| known.round <= round) {
                let timeout_at_ms = now_ms.saturating_add(timeout_ms);
                slot.remote_run = Some(RemoteRun { front: from, round, timeout_at_ms });
            }
        } else if slot.remote_run.is_some_and(|run| (run.front, run.round) == (from, round)) {
            slot.remote_run = None;
            if slot.round != Some(round) {
                slot.earliest_start_ms = now_ms;
            }
        }
        if slot.round == Some(round) {
            slot.done |= state == DutyState::Done;
            slot.failures = slot.failures.saturating_add(u8::from(state == DutyState::Failed));
            self.counters.done_twice += u64::from(state == DutyState::Done && slot.attempted);
        }
        self.reschedule(now_ms, duty);
        Ok(())
    }

    /// Handles the end of a run that [`Output::Run`] started; `done` is whether it succeeded.
    pub fn finish(&mut self, now_ms: u64, duty: Duty, round: u64, done: bool, out: &mut Vec<Output>) {
        let me = self.settings.me;
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if slot.local_run.is_none_or(|run| run.round != round) {
            return;
        }
        slot.local_run = None;
        if slot.round != Some(round) {
            slot.earliest_start_ms = now_ms;
        }
        if done {
            slot.last_done = Some(LastDone { at_ms: now_ms, front: me });
            self.counters.done += 1;
        } else {
            self.counters.failed += 1;
        }
        if slot.round == Some(round) {
            slot.done |= done;
            slot.failures = slot.failures.saturating_add(u8::from(!done));
        }
        let state = if done { DutyState::Done } else { DutyState::Failed };
        let stagger_ms = self.kind(duty).map_or(0, |k| k.stagger_ms);
        self.report(duty, round, state, out);
        if let Some(slot) = self.slots.get_mut(&duty) {
            slot.repeated_report = Some(RepeatedReport { at_ms: now_ms + stagger_ms / 3, round, state });
        }
        self.reschedule(now_ms, duty);
    }

    /// The round of a duty at a time.
    #[must_use]
    pub fn round_at(&self, duty: Duty, at_ms: u64) -> u64 {
        self.round(duty, at_ms).0
    }

    /// Starts a duty now, independently of the schedule. Returns whether it was started: this front must be
    /// eligible and must not have attempted the duty in this round.
    pub fn request(&mut self, now_ms: u64, duty: Duty, out: &mut Vec<Output>) -> bool {
        let (round, _) = self.round(duty, now_ms);
        let idle = |s: &Slot| {
            let attempted = s.round == Some(round) && s.attempted;
            s.local_run.is_none() && !attempted
        };
        if self.stopped
            || !self.slots.get(&duty).is_some_and(idle)
            || !self.eligible(duty, round, self.settings.me)
        {
            return false;
        }
        self.enter_round(now_ms, duty);
        self.counters.started_on_request += 1;
        self.start(now_ms, duty, out);
        self.reschedule(now_ms, duty);
        true
    }

    /// Starts no more runs: this front is about to leave.
    pub fn stop(&mut self) {
        self.stopped = true;
        for slot in self.slots.values_mut() {
            (slot.start_at_ms, slot.repeated_report) = (None, None);
        }
    }

    /// When the next duty is due.
    #[must_use]
    pub fn next_wake_ms(&self) -> Option<u64> {
        self.due.first().map(|(at_ms, _)| *at_ms)
    }

    /// Handles the duties that are due.
    pub fn wake(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        // Each duty is handled once per call, even if it is due again afterwards.
        let later = self.due.split_off(&(now_ms + 1, Duty { kind: 0, target: 0 }));
        let due = std::mem::replace(&mut self.due, later);
        for (_, duty) in due {
            self.handle_due(now_ms, duty, out);
        }
    }

    /// The fleet's clock was set: all duties are due now.
    pub fn clock_changed(&mut self, now_ms: u64) {
        let duties: Vec<Duty> = self.slots.keys().copied().collect();
        for duty in duties {
            self.set_due(duty, now_ms);
        }
        self.ready_ms = self.ready_ms.min(now_ms.saturating_add(self.settings.startup_delay_ms));
    }

    // ---- rounds --------------------------------------------------------------------------------

    fn handle_due(&mut self, now_ms: u64, duty: Duty, out: &mut Vec<Output>) {
        self.enter_round(now_ms, duty);
        let (ready, stopped) = (now_ms >= self.ready_ms, self.stopped);
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if let Some(run) = slot.local_run.filter(|run| run.timeout_at_ms <= now_ms) {
            slot.local_run = None;
            slot.failures = slot.failures.saturating_add(u8::from(slot.round == Some(run.round)));
            self.counters.timed_out += 1;
            out.push(Output::Cancel { duty, round: run.round });
            self.report(duty, run.round, DutyState::Failed, out);
        }
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        let notify = std::mem::take(&mut slot.notify_carried_over);
        if let Some(run) = slot.local_run.filter(|_| notify) {
            self.report(duty, run.round, DutyState::Started, out);
        }
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if let Some(repeated) = slot.repeated_report.take_if(|repeated| repeated.at_ms <= now_ms) {
            self.report(duty, repeated.round, repeated.state, out);
        }
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if slot.start_at_ms.is_some_and(|at_ms| at_ms <= now_ms) && ready && !stopped {
            if slot.local_run.is_some() {
                // The run takes longer than the period; runs of a duty do not overlap.
                (slot.start_at_ms, slot.attempted) = (None, true);
                self.counters.skipped_while_running += 1;
            } else {
                match slot.rank {
                    Some(0) => self.counters.started_as_owner += 1,
                    _ => self.counters.started_as_standby += 1,
                }
                self.start(now_ms, duty, out);
            }
        }
        self.reschedule(now_ms, duty);
    }

    /// Starts a run for the current round.
    fn start(&mut self, now_ms: u64, duty: Duty, out: &mut Vec<Output>) {
        let timeout_ms = self.kind(duty).map_or(0, |k| k.timeout_ms);
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        let Some(round) = slot.round else { return };
        (slot.start_at_ms, slot.attempted) = (None, true);
        slot.local_run = Some(LocalRun { round, timeout_at_ms: now_ms.saturating_add(timeout_ms) });
        out.push(Output::Run { duty, round, timeout_ms });
        self.report(duty, round, DutyState::Started, out);
    }

    /// Sends a report to the candidates of the current round and the owner of the next one.
    fn report(&self, duty: Duty, round: u64, state: DutyState, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get(&duty) else { return };
        let mut to: Vec<u64> = slot.candidates.iter().chain(&slot.next_owner).copied().collect();
        to.sort_unstable();
        to.dedup();
        to.retain(|front| *front != self.settings.me);
        if !to.is_empty() {
            let report = DutyReport { duty, round, incarnation: slot.target.incarnation, state };
            out.push(Output::Report { to, report });
        }
    }

    /// Begins the current round of a duty, unless it has begun already.
    fn enter_round(&mut self, now_ms: u64, duty: Duty) {
        let (round, _) = self.round(duty, now_ms);
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        if slot.round == Some(round) {
            return;
        }
        // If the clock was set back by a few rounds, this front does not run the duty a second time in them.
        let repeated = slot.round.is_some_and(|previous| previous > round && previous - round < 4);
        (slot.round, slot.done, slot.failures, slot.attempted) = (Some(round), repeated, 0, repeated);
        (slot.earliest_start_ms, slot.notify_carried_over) = (0, slot.local_run.is_some());
        if let Some(early) = slot.early_report.take().filter(|early| early.round == round) {
            slot.done |= early.state == DutyState::Done;
            slot.failures += u8::from(early.state == DutyState::Failed);
            if early.state == DutyState::Started {
                let timeout_ms = self.settings.kinds.get(usize::from(duty.kind)).map_or(0, |k| k.timeout_ms);
                let timeout_at_ms = now_ms.saturating_add(timeout_ms);
                slot.remote_run = Some(RemoteRun { front: early.front, round, timeout_at_ms });
            }
        }
        self.rank_candidates(duty);
        self.reschedule(now_ms, duty);
        if let Some(slot) = self.slots.get(&duty) {
            let owner = slot.rank == Some(0) && !slot.done;
            self.counters.owner_not_eligible +=
                u64::from(owner && !self.eligible(duty, round, self.settings.me));
        }
    }

    /// Ranks the candidates of the current round from the view.
    fn rank_candidates(&mut self, duty: Duty) {
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        let Some(round) = slot.round else { return };
        slot.candidates = rank(duty, round, &self.view, MAX_CANDIDATES);
        slot.next_owner = rank(duty, round + 1, &self.view, 1).first().copied();
        slot.rank = slot.candidates.iter().position(|front| *front == self.settings.me);
    }

    /// Computes when this front starts the duty, from its rank, the round and the reports, and when the duty
    /// is due next.
    fn reschedule(&mut self, now_ms: u64, duty: Duty) {
        let Some(kind) = self.kind(duty) else { return };
        let (stagger_ms, period_ms) = (kind.stagger_ms, kind.period_ms);
        let (current, round_start_ms) = self.round(duty, now_ms);
        let Some(round) = self.slots.get(&duty).and_then(|s| s.round) else { return };
        if round != current {
            // The round has ended and the next one has not been entered yet.
            return self.set_due(duty, now_ms);
        }
        let eligible = self.eligible(duty, round, self.settings.me);
        let stopped = self.stopped;
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        slot.remote_run = slot.remote_run.filter(|run| run.timeout_at_ms > now_ms);
        let open =
            !slot.done && !slot.attempted && slot.failures < MAX_FAILURES_PER_ROUND && eligible && !stopped;
        slot.start_at_ms = slot.rank.filter(|_| open).map(|rank| {
            let remote_timeout_ms = slot.remote_run.map_or(0, |run| run.timeout_at_ms);
            let base_ms = round_start_ms.max(slot.earliest_start_ms).max(remote_timeout_ms);
            base_ms + stagger_ms * rank as u64
        });
        // A run just before the end of the round would be reported too late for the next owner.
        slot.start_at_ms =
            slot.start_at_ms.filter(|at_ms| at_ms + stagger_ms / 2 < round_start_ms + period_ms);
        let ready_ms = self.ready_ms;
        let mut due_ms = round_start_ms + period_ms;
        due_ms = due_ms.min(slot.start_at_ms.map_or(u64::MAX, |at_ms| at_ms.max(ready_ms)));
        due_ms = due_ms.min(slot.local_run.map_or(u64::MAX, |run| run.timeout_at_ms));
        due_ms = if slot.notify_carried_over { now_ms } else { due_ms };
        due_ms = due_ms.min(slot.repeated_report.map_or(u64::MAX, |repeated| repeated.at_ms));
        self.set_due(duty, due_ms);
    }

    fn set_due(&mut self, duty: Duty, at_ms: u64) {
        let Some(slot) = self.slots.get_mut(&duty) else { return };
        self.due.remove(&(slot.due_ms, duty));
        slot.due_ms = at_ms;
        self.due.insert((at_ms, duty));
    }

    // ---- views ---------------------------------------------------------------------------------

    /// Counts of runs and reports since the start.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The duties, ordered by kind and target.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<DutyRow> {
        let row = |(duty, slot): (&Duty, &Slot)| DutyRow {
            kind: self.kind(*duty).map_or_else(String::new, |k| k.name.clone()),
            target: duty.target,
            round: slot.round.unwrap_or(0),
            owner: slot.candidates.first().copied(),
            rank: slot.rank,
            status: self.status(now_ms, *duty, slot),
            done_ago_ms: slot.last_done.map(|last| now_ms.saturating_sub(last.at_ms)),
            done_by: slot.last_done.map(|last| last.front),
        };
        self.slots.iter().map(row).collect()
    }

    fn status(&self, now_ms: u64, duty: Duty, slot: &Slot) -> &'static str {
        let round = slot.round.unwrap_or(0);
        match slot.rank {
            _ if self.stopped => "this front leaves",
            _ if now_ms < self.ready_ms => "waits for the others to be known",
            _ if slot.local_run.is_some() => "is being done here",
            _ if slot.done => "done in this round",
            _ if slot.remote_run.is_some() => "begun by another front",
            _ if slot.failures >= MAX_FAILURES_PER_ROUND => "failed in this round",
            None => "another's turn",
            Some(_) if slot.attempted => "acted in this round",
            Some(_) if !self.eligible(duty, round, self.settings.me) => {
                "barred by the bound on what a target hears"
            }
            Some(0) => "owned here",
            Some(_) => "stands by",
        }
    }
}
