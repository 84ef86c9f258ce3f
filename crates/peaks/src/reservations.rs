//! The life of the holds of one front.
//!
//! A hold begins `lead` before its peak's start. What is held is what the expected viewers would ask who have not
//! come yet; each front sees its own arrivals only and takes them for its part of all (the
//! same inference as the decision module's). After the end, or the moment it is called off, nothing is held;
//! that needs no message, since the end is part of the announcement.

use crate::announcement::{Announcement, FieldFault, Known, Peak};
use crate::plan::{Need, Plan, Problem, Room, plan};
use pepperhook::{Reservation, ReservationId, ServerId, TitleId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Figures of the holds, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Part of a link or uplink that may be held at most: the rest is the ordinary viewers'.
    pub most_share: f64,
    /// Fronts; each sees its part of the arrivals.
    pub fronts: f64,
    /// After the start plus this, room for viewers who have not come is given back, milliseconds.
    pub late_ms: u64,
    /// Peaks known at once at most.
    pub most_peaks: usize,
}

/// Room is held for what is expected within this time, milliseconds: a plan is made anew twice a second.
const AHEAD_MS: u64 = 5_000;
/// Of what came, so many times is held on after a late start: a crowd that still grows finds room.
const PACE: f64 = 1.0;
/// A change of less than this part is not told to the module.
const CHANGE: f64 = 0.02;

/// A node as the planner needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeRoom {
    /// Which.
    pub server: ServerId,
    /// Its cell; a title lies on cells in a row.
    pub cell: u32,
    /// Its rack.
    pub rack: u32,
    /// Its link when warm, kB a second.
    pub link_kb: f64,
    /// It takes set-ups: listed as ready, and not held to be lost.
    pub ready: bool,
    /// When it is warm, Unix milliseconds; 0 if it is. Nothing is held on it for a peak that begins before:
    /// a crowd at its start would be more than a cold node's pace.
    pub warm_ms: u64,
}

/// What the module is to be told: `Event::Reserved` in values.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Which hold.
    pub id: ReservationId,
    /// For whom, where and how much.
    pub hold: Reservation,
}

/// Why a peak is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Its fields (422).
    Fields(Vec<FieldFault>),
    /// There is not the room; so many viewers could be held for (409).
    Room {
        /// Viewers that there is room for.
        could: u32,
    },
    /// As many peaks as may be are known (409).
    Many,
}

/// One hold for a person.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HoldRow {
    /// Name of the peak.
    pub name: String,
    /// `waiting`, `held`, `running`, `late`, `over` or `cancelled`.
    pub state: &'static str,
    /// Start, Unix milliseconds.
    pub start_ms: u64,
    /// End, Unix milliseconds.
    pub end_ms: u64,
    /// Viewers for whom room is due now.
    pub expected: u32,
    /// Viewers who came, as this front infers.
    pub came: f64,
    /// Room held now, kB a second.
    pub held_kb: f64,
    /// Room that is due now, kB a second.
    pub due_kb: f64,
    /// Nodes on which it is held.
    pub nodes: usize,
    /// The plan is the linear program's.
    pub solved: bool,
}

/// A peak and what this front sees of it.
#[derive(Clone, Debug)]
struct Entry {
    peak: Peak,
    /// Peaks are served in the order in which this front heard of them.
    order: usize,
    /// Own sessions of its titles.
    own: BTreeSet<u64>,
    /// The most own sessions at once since the lead began.
    most_own: usize,
    told: Vec<(ServerId, f64)>,
    solved: bool,
}

/// All holds of one front.
#[derive(Debug)]
pub struct Holds {
    terms: Terms,
    cells: u32,
    uplink_kb: f64,
    peaks: BTreeMap<u64, Entry>,
    nodes: Vec<NodeRoom>,
    heard: usize,
}

impl Holds {
    /// None yet. `cells` is their number, `uplink_kb` a rack's mean uplink.
    #[must_use]
    pub fn new(terms: Terms, cells: u32, uplink_kb: f64) -> Self {
        Self { terms, cells, uplink_kb, peaks: BTreeMap::new(), nodes: Vec::new(), heard: 0 }
    }

    /// The nodes as they are now.
    pub fn nodes(&mut self, nodes: Vec<NodeRoom>) {
        self.nodes = nodes;
    }

    /// A rack's mean uplink is told otherwise, kB a second: the next plan goes by it.
    pub fn uplink(&mut self, kb: f64) {
        self.uplink_kb = kb;
    }

    /// No peak is known: nothing needs to be done.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peaks.is_empty()
    }

    /// Checks an announcement that an operator makes here against the room that there is beside the peaks known.
    ///
    /// # Errors
    /// Its faults by field, or what could be held.
    pub fn admit(
        &self,
        now_ms: u64,
        number: u64,
        said: &Announcement,
        known: &impl Known,
    ) -> Result<Peak, Refused> {
        let peak = said.check(now_ms, number, known).map_err(Refused::Fields)?;
        if said.cancelled {
            return Ok(peak);
        }
        let others = self.peaks.values().filter(|e| e.peak.number != number && !e.peak.said.cancelled);
        if others.clone().count() >= self.terms.most_peaks {
            return Err(Refused::Many);
        }
        // Peaks that meet at any time are taken as if they met at their heights: what is promised is there.
        let (from, to) = said.held_between();
        let meets = |e: &&Entry| {
            let (other_from, other_to) = e.peak.said.held_between();
            other_from < to && from < other_to
        };
        let mut beside: Vec<&Entry> = others.filter(meets).collect();
        beside.sort_by_key(|e| e.order);
        let height = |p: &Peak| f64::from(p.said.most()) * p.kb;
        let mut needs: Vec<Need> = Vec::new();
        for (order, e) in beside.iter().enumerate() {
            needs.push(Need { kb: height(&e.peak), holders: self.holders(&e.peak, 0), order });
        }
        // Each is served wholly before the new one, which gets what is left.
        let standing = plan(&self.problem(needs));
        let mut left = self.problem(Vec::new());
        for (node, kb) in standing.on.iter().flatten() {
            let rack = left.nodes[*node].rack;
            left.nodes[*node].kb -= kb;
            left.racks[rack] -= kb;
        }
        left.needs = vec![Need { kb: height(&peak), holders: self.holders(&peak, 0), order: 0 }];
        let could = plan(&left).held(0);
        if could + 1e-3 * height(&peak) < height(&peak) {
            return Err(Refused::Room { could: (could / peak.kb.max(1e-9)) as u32 });
        }
        Ok(peak)
    }

    /// A peak that was admitted, here or at another front; in place of its earlier version.
    pub fn take(&mut self, peak: Peak) {
        let number = peak.number;
        match self.peaks.get_mut(&number) {
            Some(e) => e.peak = peak,
            None => {
                self.heard += 1;
                let order = self.heard;
                let entry =
                    Entry { peak, order, own: BTreeSet::new(), most_own: 0, told: Vec::new(), solved: false };
                self.peaks.insert(number, entry);
            }
        }
    }

    /// A session of this front plays.
    pub fn plays(&mut self, session: u64, title: TitleId) {
        for e in self.peaks.values_mut().filter(|e| e.peak.titles.iter().any(|t| t.0 == title)) {
            e.own.insert(session);
            e.most_own = e.most_own.max(e.own.len());
        }
    }

    /// A session of this front ended.
    pub fn ended(&mut self, session: u64) {
        for e in self.peaks.values_mut() {
            e.own.remove(&session);
        }
    }

    fn holders(&self, peak: &Peak, at_ms: u64) -> Vec<usize> {
        let cells = u64::from(self.cells.max(1));
        let holds = |n: &NodeRoom| {
            peak.titles.iter().any(|(_, home, copies)| {
                (u64::from(n.cell) + cells - u64::from(*home) % cells) % cells < u64::from(*copies)
            })
        };
        let fit = |n: &NodeRoom| n.ready && holds(n) && n.warm_ms <= at_ms.max(peak.said.start_ms);
        self.nodes.iter().enumerate().filter(|(_, n)| fit(n)).map(|(i, _)| i).collect()
    }

    fn problem(&self, needs: Vec<Need>) -> Problem {
        let racks = self.nodes.iter().map(|n| n.rack as usize + 1).max().unwrap_or(0);
        let share = self.terms.most_share;
        Problem {
            nodes: self.nodes.iter().map(|n| Room { rack: n.rack as usize, kb: share * n.link_kb }).collect(),
            racks: vec![share * self.uplink_kb; racks],
            needs,
        }
    }

    /// Viewers for whom room is due now, those included who came.
    fn expected(&self, now_ms: u64, e: &Entry) -> f64 {
        let said = &e.peak.said;
        let (from, to) = said.held_between();
        if said.cancelled || now_ms < from || now_ms >= to {
            return 0.0;
        }
        let expected = f64::from(said.expected(now_ms, AHEAD_MS));
        if now_ms < said.start_ms.saturating_add(self.terms.late_ms) {
            return expected;
        }
        // It started late, or never: from now on room is kept for as many as came at their most, and as many again.
        let came = e.most_own as f64 * self.terms.fronts;
        expected.min(came * (1.0 + PACE))
    }

    /// Room for those who are still to come, kB a second. Own sessions stand for those of an average front. They
    /// are counted by heads: who came at a higher rung has not used up the room of another.
    fn due(&self, now_ms: u64, e: &Entry) -> f64 {
        let came = e.own.len() as f64 * self.terms.fronts;
        (self.expected(now_ms, e) - came).max(0.0) * e.peak.kb
    }

    /// Makes the plan anew and returns the holds that changed, for the module. To be called about twice a second,
    /// and whenever something changed.
    pub fn step(&mut self, now_ms: u64) -> Vec<Held> {
        let mut due: Vec<(u64, f64)> = Vec::new();
        let mut needs = Vec::new();
        for (number, e) in &self.peaks {
            let kb = self.due(now_ms, e);
            if kb > 0.0 {
                due.push((*number, kb));
                needs.push(Need { kb, holders: self.holders(&e.peak, now_ms), order: e.order });
            }
        }
        let plan = if needs.is_empty() { Plan::default() } else { plan(&self.problem(needs)) };
        let mut out = Vec::new();
        for (number, e) in &mut self.peaks {
            let at = due.iter().position(|(n, _)| n == number);
            let on: Vec<(ServerId, f64)> = at
                .and_then(|i| plan.on.get(i))
                .map(|on| on.iter().map(|(n, kb)| (self.nodes[*n].server, *kb)).collect())
                .unwrap_or_default();
            e.solved = plan.solved;
            if differs(&e.told, &on) {
                e.told.clone_from(&on);
                let titles = e.peak.titles.iter().map(|t| t.0).collect();
                out.push(Held {
                    id: ReservationId(*number),
                    hold: Reservation { titles, per_viewer_kb: e.peak.kb, servers: on },
                });
            }
        }
        // What is over, and was given back, is forgotten a minute later: until then the console shows it.
        self.peaks.retain(|_, e| e.peak.said.end_ms.saturating_add(60_000) > now_ms || !e.told.is_empty());
        out
    }

    /// Holds for the console.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<HoldRow> {
        let row = |e: &Entry| {
            let said = &e.peak.said;
            let (from, to) = said.held_between();
            let late = now_ms >= said.start_ms.saturating_add(self.terms.late_ms);
            let expected = self.expected(now_ms, e);
            let state = match () {
                () if said.cancelled => "cancelled",
                () if now_ms >= to => "over",
                () if now_ms < from => "waiting",
                () if now_ms < said.start_ms => "held",
                () if late && expected < f64::from(said.expected(now_ms, AHEAD_MS)) => "late",
                () => "running",
            };
            let came = e.own.len() as f64 * self.terms.fronts;
            HoldRow {
                name: said.name.clone(),
                state,
                start_ms: said.start_ms,
                end_ms: said.end_ms,
                expected: expected as u32,
                came,
                held_kb: e.told.iter().map(|(_, kb)| kb).sum(),
                due_kb: self.due(now_ms, e),
                nodes: e.told.len(),
                solved: e.solved,
            }
        };
        self.peaks.values().map(row).collect()
    }
}

/// Is a plan so far from the one told that the module must know?
fn differs(told: &[(ServerId, f64)], on: &[(ServerId, f64)]) -> bool {
    if told.is_empty() != on.is_empty() {
        return true;
    }
    let old: BTreeMap<ServerId, f64> = told.iter().copied().collect();
    let new: BTreeMap<ServerId, f64> = on.iter().copied().collect();
    let most = old.values().chain(new.values()).copied().fold(0.0, f64::max);
    let far = |id: &ServerId| {
        let get = |m: &BTreeMap<ServerId, f64>| m.get(id).copied().unwrap_or(0.0);
        (get(&old) - get(&new)).abs() > CHANGE * most
    };
    old.keys().chain(new.keys()).any(far)
}

#[cfg(test)]
mod tests;
