//! The reservations of one front over time.
//!
//! A reservation begins `lead` before the start of its peak. It covers the expected viewers who have not come yet. A
//! front sees only its own sessions and multiplies them by the number of fronts, as the decision module does. After
//! the end, or as soon as the peak is called off, nothing is reserved; this demands no message, because the end is part
//! of the announcement.

use crate::announcement::{Announcement, Catalogue, FieldFault, Peak};
use crate::plan::{Demand, NodeLimit, Plan, Problem, plan};
use pepperhook::{Reservation, ReservationId, ServerId, TitleId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Limits of the reservations, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct ReservationLimits {
    /// Largest share of a link or uplink that may be reserved, 0 to 1; the rest is for other viewers.
    pub max_share: f64,
    /// Number of fronts; each sees its share of the arriving viewers.
    pub fronts: f64,
    /// Time after the start at which capacity for viewers who have not come is released, milliseconds.
    pub no_show_after_ms: u64,
    /// Most peaks at a time.
    pub max_peaks: usize,
}

/// Capacity is reserved for the viewers expected within this time, milliseconds. Plans are made twice a second.
const LOOKAHEAD_MS: u64 = 5_000;
/// After a late start, capacity is reserved for this many further viewers for each one who has come, so that an audience
/// that is still growing finds capacity.
const GROWTH_PER_ARRIVAL: f64 = 1.0;
/// Smallest change of a reservation that is passed to the decision module, as a fraction of the largest rate on a node.
const MIN_CHANGE: f64 = 0.02;

/// A node as the planner uses it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCapacity {
    /// Id of the node.
    pub server: ServerId,
    /// Its cell; a title is held by consecutive cells.
    pub cell: u32,
    /// Index of its rack.
    pub rack: u32,
    /// Capacity of its link when it is warm, kB a second.
    pub link_kb: f64,
    /// It accepts set-ups: it is listed as ready and not considered lost.
    pub ready: bool,
    /// Time at which it is warm, Unix milliseconds; 0 if it is warm. Nothing is reserved on it for a peak that starts
    /// earlier, because the arriving viewers would exceed the capacity of a cold node.
    pub warm_at_ms: u64,
}

/// A changed reservation: the values of `Event::Reserved` for the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct ReservationUpdate {
    /// Id of the reservation.
    pub id: ReservationId,
    /// Titles, nodes and rates.
    pub reservation: Reservation,
}

/// Reason for which a peak is not admitted. The `Debug` text of `Fields` is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// Fields are invalid (answered with 422).
    Fields(Vec<FieldFault>),
    /// The capacity does not suffice (answered with 409).
    Capacity {
        /// Most viewers for whom capacity can be reserved.
        viewers: u32,
    },
    /// [`ReservationLimits::max_peaks`] is reached (answered with 409).
    TooManyPeaks,
}

/// State of one reservation, as the console shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReservationRow {
    /// Name of the peak.
    pub name: String,
    /// `waiting` (before the lead), `held`, `running`, `late`, `over` or `cancelled`.
    pub state: &'static str,
    /// Start, Unix milliseconds.
    pub start_ms: u64,
    /// End, Unix milliseconds.
    pub end_ms: u64,
    /// Viewers for whom capacity is due now, including those who have come.
    pub expected: u32,
    /// Viewers who have come, estimated from the sessions of this front.
    #[serde(rename = "came")]
    pub arrived: f64,
    /// Capacity reserved now, kB a second.
    #[serde(rename = "held_kb")]
    pub reserved_kb: f64,
    /// Capacity to be reserved now, kB a second.
    pub due_kb: f64,
    /// Number of nodes with reserved capacity.
    pub nodes: usize,
    /// The plan is a solution of the linear program.
    pub solved: bool,
}

/// A peak with the state of its reservation.
#[derive(Clone, Debug)]
struct Entry {
    peak: Peak,
    /// Rank in which this front learned of the peaks; lower ranks are served first.
    order: usize,
    /// This front's sessions of the titles.
    sessions: BTreeSet<u64>,
    /// Most concurrent sessions of this front so far.
    max_sessions: usize,
    /// Nodes and rates last passed to the decision module, kB a second.
    reserved: Vec<(ServerId, f64)>,
    solved: bool,
}

/// All reservations of one front.
#[derive(Debug)]
pub struct Reservations {
    limits: ReservationLimits,
    cells: u32,
    uplink_kb: f64,
    peaks: BTreeMap<u64, Entry>,
    nodes: Vec<NodeCapacity>,
    /// Peaks inserted so far.
    inserted: usize,
}

impl Reservations {
    /// No reservations. `cells` is the number of cells, `uplink_kb` the mean uplink capacity of a rack in kB a second.
    #[must_use]
    pub fn new(limits: ReservationLimits, cells: u32, uplink_kb: f64) -> Self {
        Self { limits, cells, uplink_kb, peaks: BTreeMap::new(), nodes: Vec::new(), inserted: 0 }
    }

    /// Replaces the nodes.
    pub fn set_nodes(&mut self, nodes: Vec<NodeCapacity>) {
        self.nodes = nodes;
    }

    /// Sets the mean uplink capacity of a rack, kB a second; the next plan uses it.
    pub fn set_uplink_kb(&mut self, kb: f64) {
        self.uplink_kb = kb;
    }

    /// Whether there are no peaks, and so nothing to plan.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peaks.is_empty()
    }

    /// Checks an announcement made at this front against the capacity that the known peaks leave.
    ///
    /// # Errors
    /// Its invalid fields, or the number of viewers for whom capacity is available.
    pub fn admit(
        &self,
        now_ms: u64,
        number: u64,
        announcement: &Announcement,
        catalogue: &impl Catalogue,
    ) -> Result<Peak, AdmissionError> {
        let peak = announcement.check(now_ms, number, catalogue).map_err(AdmissionError::Fields)?;
        if announcement.cancelled {
            return Ok(peak);
        }
        let others =
            self.peaks.values().filter(|e| e.peak.number != number && !e.peak.announcement.cancelled);
        if others.clone().count() >= self.limits.max_peaks {
            return Err(AdmissionError::TooManyPeaks);
        }
        // Overlapping peaks are assumed to have their highest numbers of viewers at the same time, so that admitted peaks
        // always get their capacity.
        let (from, to) = announcement.reserved_between();
        let overlaps = |e: &&Entry| {
            let (other_from, other_to) = e.peak.announcement.reserved_between();
            other_from < to && from < other_to
        };
        let mut overlapping: Vec<&Entry> = others.filter(overlaps).collect();
        overlapping.sort_by_key(|e| e.order);
        let max_kb = |p: &Peak| f64::from(p.announcement.max_viewers()) * p.per_viewer_kb;
        let mut demands: Vec<Demand> = Vec::new();
        for (order, e) in overlapping.iter().enumerate() {
            demands.push(Demand { kb: max_kb(&e.peak), holders: self.holders(&e.peak, 0), order });
        }
        // The others are served first; the new peak gets the remaining capacity.
        let others_plan = plan(&self.problem(demands));
        let mut remaining = self.problem(Vec::new());
        for (node, kb) in others_plan.allocations.iter().flatten() {
            let rack = remaining.nodes[*node].rack;
            remaining.nodes[*node].kb -= kb;
            remaining.racks[rack] -= kb;
        }
        remaining.demands = vec![Demand { kb: max_kb(&peak), holders: self.holders(&peak, 0), order: 0 }];
        let available_kb = plan(&remaining).allocated_kb(0);
        if available_kb + 1e-3 * max_kb(&peak) < max_kb(&peak) {
            return Err(AdmissionError::Capacity {
                viewers: (available_kb / peak.per_viewer_kb.max(1e-9)) as u32,
            });
        }
        Ok(peak)
    }

    /// Adds a peak that this or another front admitted, or replaces its earlier version.
    pub fn insert(&mut self, peak: Peak) {
        let number = peak.number;
        match self.peaks.get_mut(&number) {
            Some(e) => e.peak = peak,
            None => {
                self.inserted += 1;
                let order = self.inserted;
                let entry = Entry {
                    peak,
                    order,
                    sessions: BTreeSet::new(),
                    max_sessions: 0,
                    reserved: Vec::new(),
                    solved: false,
                };
                self.peaks.insert(number, entry);
            }
        }
    }

    /// Records that a session of this front has started to play.
    pub fn session_started(&mut self, session: u64, title: TitleId) {
        for e in self.peaks.values_mut().filter(|e| e.peak.titles.iter().any(|t| t.0 == title)) {
            e.sessions.insert(session);
            e.max_sessions = e.max_sessions.max(e.sessions.len());
        }
    }

    /// Records that a session of this front has ended.
    pub fn session_ended(&mut self, session: u64) {
        for e in self.peaks.values_mut() {
            e.sessions.remove(&session);
        }
    }

    /// Indices of the nodes that hold a title of the peak, accept set-ups and are warm when the peak starts, or at
    /// `at_ms` if that is later.
    fn holders(&self, peak: &Peak, at_ms: u64) -> Vec<usize> {
        let cells = u64::from(self.cells.max(1));
        let holds_title = |n: &NodeCapacity| {
            peak.titles.iter().any(|(_, home, copies)| {
                (u64::from(n.cell) + cells - u64::from(*home) % cells) % cells < u64::from(*copies)
            })
        };
        let is_usable = |n: &NodeCapacity| {
            n.ready && holds_title(n) && n.warm_at_ms <= at_ms.max(peak.announcement.start_ms)
        };
        self.nodes.iter().enumerate().filter(|(_, n)| is_usable(n)).map(|(i, _)| i).collect()
    }

    fn problem(&self, demands: Vec<Demand>) -> Problem {
        let racks = self.nodes.iter().map(|n| n.rack as usize + 1).max().unwrap_or(0);
        let share = self.limits.max_share;
        Problem {
            nodes: self
                .nodes
                .iter()
                .map(|n| NodeLimit { rack: n.rack as usize, kb: share * n.link_kb })
                .collect(),
            racks: vec![share * self.uplink_kb; racks],
            demands,
        }
    }

    /// Viewers for whom capacity is due now, including those who have come.
    fn expected_viewers(&self, now_ms: u64, e: &Entry) -> f64 {
        let announcement = &e.peak.announcement;
        let (from, to) = announcement.reserved_between();
        if announcement.cancelled || now_ms < from || now_ms >= to {
            return 0.0;
        }
        let expected = f64::from(announcement.expected_viewers(now_ms, LOOKAHEAD_MS));
        if now_ms < announcement.start_ms.saturating_add(self.limits.no_show_after_ms) {
            return expected;
        }
        // After this time, capacity is kept only for the highest number of viewers who came, and as many again.
        let arrived = e.max_sessions as f64 * self.limits.fronts;
        expected.min(arrived * (1.0 + GROWTH_PER_ARRIVAL))
    }

    /// Capacity for the viewers who have not come yet, kB a second. Sessions are counted, not their rates: a viewer at a
    /// higher rung does not use up the capacity of another one.
    fn due(&self, now_ms: u64, e: &Entry) -> f64 {
        let arrived = e.sessions.len() as f64 * self.limits.fronts;
        (self.expected_viewers(now_ms, e) - arrived).max(0.0) * e.peak.per_viewer_kb
    }

    /// Makes a new plan and returns the changed reservations for the decision module. To be called about twice a second
    /// and after every change.
    pub fn replan(&mut self, now_ms: u64) -> Vec<ReservationUpdate> {
        let mut due: Vec<(u64, f64)> = Vec::new();
        let mut demands = Vec::new();
        for (number, e) in &self.peaks {
            let kb = self.due(now_ms, e);
            if kb > 0.0 {
                due.push((*number, kb));
                demands.push(Demand { kb, holders: self.holders(&e.peak, now_ms), order: e.order });
            }
        }
        let plan = if demands.is_empty() { Plan::default() } else { plan(&self.problem(demands)) };
        let mut out = Vec::new();
        for (number, e) in &mut self.peaks {
            let index = due.iter().position(|(n, _)| n == number);
            let nodes: Vec<(ServerId, f64)> = index
                .and_then(|i| plan.allocations.get(i))
                .map(|nodes| nodes.iter().map(|(n, kb)| (self.nodes[*n].server, *kb)).collect())
                .unwrap_or_default();
            e.solved = plan.solved;
            if differs(&e.reserved, &nodes) {
                e.reserved.clone_from(&nodes);
                let titles = e.peak.titles.iter().map(|t| t.0).collect();
                out.push(ReservationUpdate {
                    id: ReservationId(*number),
                    reservation: Reservation { titles, per_viewer_kb: e.peak.per_viewer_kb, servers: nodes },
                });
            }
        }
        // Peaks are removed a minute after their end, if nothing is reserved; until then the console shows them.
        self.peaks.retain(|_, e| {
            e.peak.announcement.end_ms.saturating_add(60_000) > now_ms || !e.reserved.is_empty()
        });
        out
    }

    /// All reservations for the console.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<ReservationRow> {
        let row = |e: &Entry| {
            let announcement = &e.peak.announcement;
            let (from, to) = announcement.reserved_between();
            let is_late = now_ms >= announcement.start_ms.saturating_add(self.limits.no_show_after_ms);
            let expected = self.expected_viewers(now_ms, e);
            let state = match () {
                () if announcement.cancelled => "cancelled",
                () if now_ms >= to => "over",
                () if now_ms < from => "waiting",
                () if now_ms < announcement.start_ms => "held",
                () if is_late
                    && expected < f64::from(announcement.expected_viewers(now_ms, LOOKAHEAD_MS)) =>
                {
                    "late"
                }
                () => "running",
            };
            let arrived = e.sessions.len() as f64 * self.limits.fronts;
            ReservationRow {
                name: announcement.name.clone(),
                state,
                start_ms: announcement.start_ms,
                end_ms: announcement.end_ms,
                expected: expected as u32,
                arrived,
                reserved_kb: e.reserved.iter().map(|(_, kb)| kb).sum(),
                due_kb: self.due(now_ms, e),
                nodes: e.reserved.len(),
                solved: e.solved,
            }
        };
        self.peaks.values().map(row).collect()
    }
}

/// Whether a plan differs enough from the reservations last passed to the decision module to replace them.
fn differs(reserved: &[(ServerId, f64)], planned: &[(ServerId, f64)]) -> bool {
    if reserved.is_empty() != planned.is_empty() {
        return true;
    }
    let old: BTreeMap<ServerId, f64> = reserved.iter().copied().collect();
    let new: BTreeMap<ServerId, f64> = planned.iter().copied().collect();
    let max_kb = old.values().chain(new.values()).copied().fold(0.0, f64::max);
    let changed = |id: &ServerId| {
        let get = |m: &BTreeMap<ServerId, f64>| m.get(id).copied().unwrap_or(0.0);
        (get(&old) - get(&new)).abs() > MIN_CHANGE * max_kb
    };
    old.keys().chain(new.keys()).any(changed)
}

#[cfg(test)]
mod tests;
