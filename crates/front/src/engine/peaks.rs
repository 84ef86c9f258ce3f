//! Announced peaks in the engine: passes the reservations that `pepperhook_peaks` plans to the decision module.

use super::{Engine, Timer};
use pepperhook::{Event, ServerState, SessionId, Time, TitleId};
use pepperhook_peaks::{
    AdmissionError, Announcement, Catalogue, NodeCapacity, Peak, ReservationLimits, ReservationRow,
    Reservations,
};
use pepperhook_settings::{Config, name_hash};

/// Nanoseconds in a millisecond.
const MS: Time = 1_000_000;
/// Interval between two plans of reservations, nanoseconds.
const PLAN_INTERVAL: Time = 500 * MS;

/// What announcements may refer to: the titles and classes of the settings, without the closed classes (their indices
/// are the second field).
pub struct Announceable<'a>(pub &'a Config, pub &'a [u16]);

impl Catalogue for Announceable<'_> {
    fn title(&self, name: &str) -> Option<(TitleId, u32, u32)> {
        self.0.titles.get(name).map(|t| (t.id, t.home, t.copies))
    }

    fn class(&self, name: &str) -> Option<(u16, Vec<f64>)> {
        let i = self.0.classes.iter().position(|c| c.name == name && !c.ingest)?;
        let class = self.0.decisions.classes.get(i).filter(|_| !self.1.contains(&(i as u16)))?;
        let top = usize::from(class.highest_rung) + 1;
        Some((i as u16, self.0.decisions.ladder.iter().take(top).map(|r| r.kb * class.rate_scale).collect()))
    }
}

/// An empty set of reservations with the limits of the settings.
pub fn new_reservations(config: &Config) -> Reservations {
    let decisions = &config.decisions;
    let terms = ReservationLimits {
        max_share: config.reservations.max_share,
        fronts: f64::from(decisions.fronts),
        no_show_after_ms: config.reservations.no_show_after / MS,
        max_peaks: config.reservations.max_peaks,
    };
    Reservations::new(terms, decisions.cells, decisions.uplink_kb)
}

impl Engine {
    /// Checks an announcement made at this front and whether its capacity can be reserved.
    ///
    /// # Errors
    /// The invalid fields, or how much could be reserved.
    pub fn admit_peak(&self, now: Time, announcement: &Announcement) -> Result<Peak, AdmissionError> {
        self.reservations.admit(
            now / MS,
            name_hash(&announcement.name),
            announcement,
            &Announceable(&self.config, &self.policy.closed_classes),
        )
    }

    /// Checks an announcement that another front has admitted. Only its fields are checked, not whether its capacity
    /// can be reserved: the other front has committed to it.
    ///
    /// # Errors
    /// The invalid fields.
    pub fn check_peer_peak(&self, now: Time, announcement: &Announcement) -> Result<Peak, AdmissionError> {
        announcement
            .check(
                now / MS,
                name_hash(&announcement.name),
                &Announceable(&self.config, &self.policy.closed_classes),
            )
            .map_err(AdmissionError::Fields)
    }

    /// The reservations, for the console.
    #[must_use]
    pub fn reservation_rows(&self, now: Time) -> Vec<ReservationRow> {
        self.reservations.rows(now / MS)
    }

    /// Takes a new, amended or cancelled peak and replans.
    pub(super) fn apply_peak(&mut self, now: Time, peak: Peak) {
        self.reservations.insert(peak);
        // Sessions of the title that already play count as arrived.
        let playing: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| s.playing.is_some()).map(|(id, _)| *id).collect();
        playing.into_iter().for_each(|id| self.count_arrival(id));
        self.update_node_capacities();
        self.send_reservations(now);
        self.schedule_replan(now);
    }

    /// Plans the reservations again, and schedules the next plan while there is a peak.
    pub(super) fn replan(&mut self, now: Time) {
        self.replan_scheduled = false;
        self.update_node_capacities();
        self.send_reservations(now);
        self.schedule_replan(now);
    }

    /// Sets the timer for the next plan, unless it is set or there is no peak.
    fn schedule_replan(&mut self, now: Time) {
        if !self.replan_scheduled && !self.reservations.is_empty() {
            self.replan_scheduled = true;
            self.timers.set(now.saturating_add(PLAN_INTERVAL), Timer::Replan);
        }
    }

    /// Passes changed reservations to the decision module.
    fn send_reservations(&mut self, now: Time) {
        for reservation in self.reservations.replan(now / MS) {
            self.pending_events.push_back(Event::Reserved(reservation.id, reservation.reservation));
        }
    }

    /// Counts a playing session as an arrival of the peak that announced its title, if any.
    pub(super) fn count_arrival(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.get(&id) {
            self.reservations.session_started(id.0, session.request.title);
        }
    }

    /// Passes the capacities of the nodes to the planner.
    pub(super) fn update_node_capacities(&mut self) {
        let decisions = &self.config.decisions;
        let even_share_kb = decisions.all_links_kb / self.nodes.len().max(1) as f64;
        let capacity = |n: &super::NodeState| {
            let entry = n.node.entry;
            NodeCapacity {
                server: entry.server,
                cell: entry.cell,
                rack: entry.cell % decisions.racks,
                link_kb: if decisions.kb_per_weight > 0.0 {
                    entry.weight * decisions.kb_per_weight
                } else {
                    even_share_kb
                },
                ready: entry.state == ServerState::Ready,
                warm_at_ms: entry.started.map_or(0, |t| t.saturating_add(decisions.rules.warm_up) / MS),
            }
        };
        let capacities = self.nodes.values().map(capacity).collect();
        self.reservations.set_nodes(capacities);
    }
}
