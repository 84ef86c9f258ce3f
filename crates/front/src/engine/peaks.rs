//! Announced peaks in the engine: what `pepperhook_peaks` decides is told to the module as held room.

use super::{Engine, Wake};
use pepperhook::{Event, ServerState, SessionId, Time, TitleId};
use pepperhook_peaks::{Announcement, HoldRow, Holds, Known, NodeRoom, Peak, Refused, Terms};
use pepperhook_settings::{Config, name_hash};

const MS: Time = 1_000_000;
/// Time between two plans.
const PERIOD: Time = 500 * MS;

/// What announcements may refer to: titles and classes of the settings, those apart that take nothing new.
pub struct Settled<'a>(pub &'a Config, pub &'a [u16]);

impl Known for Settled<'_> {
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

/// Holds under the settings' bounds.
pub fn holds(config: &Config) -> Holds {
    let d = &config.decisions;
    let terms = Terms {
        most_share: config.reservations.max_share,
        fronts: f64::from(d.fronts),
        late_ms: config.reservations.no_show_after / MS,
        most_peaks: config.reservations.max_peaks,
    };
    Holds::new(terms, d.cells, d.uplink_kb)
}

impl Engine {
    /// Checks an announcement that is made at this front.
    ///
    /// # Errors
    /// Its faults by field, or what could be held.
    pub fn admit_peak(&self, now: Time, said: &Announcement) -> Result<Peak, Refused> {
        self.holds.admit(now / MS, name_hash(&said.name), said, &Settled(&self.config, &self.policies.closed))
    }

    /// Checks one that another front has admitted: its promise stands, if the titles are known here.
    ///
    /// # Errors
    /// As `admit_peak`.
    pub fn check_peer_peak(&self, now: Time, said: &Announcement) -> Result<Peak, Refused> {
        said.check(now / MS, name_hash(&said.name), &Settled(&self.config, &self.policies.closed))
            .map_err(Refused::Fields)
    }

    /// Holds for the console.
    #[must_use]
    pub fn reservation_rows(&self, now: Time) -> Vec<HoldRow> {
        self.holds.rows(now / MS)
    }

    pub(super) fn take_peak(&mut self, now: Time, peak: Peak) {
        self.holds.take(peak);
        // Sessions that play already count as come.
        let playing: Vec<SessionId> =
            self.live.iter().filter(|(_, l)| l.playing.is_some()).map(|(id, _)| *id).collect();
        playing.into_iter().for_each(|id| self.came(id));
        self.rooms();
        self.tell_holds(now);
        self.plan_again(now);
    }

    /// Plans anew, as long as there is a peak.
    pub(super) fn step_holds(&mut self, now: Time) {
        self.planned = false;
        self.rooms();
        self.tell_holds(now);
        self.plan_again(now);
    }

    fn plan_again(&mut self, now: Time) {
        if !self.planned && !self.holds.is_empty() {
            self.planned = true;
            self.timers.set(now.saturating_add(PERIOD), Wake::Holds);
        }
    }

    fn tell_holds(&mut self, now: Time) {
        for held in self.holds.step(now / MS) {
            self.pending.push_back(Event::Reserved(held.id, held.hold));
        }
    }

    /// A session plays: it is one of those who were expected, where it is.
    pub(super) fn came(&mut self, id: SessionId) {
        if let Some(live) = self.live.get(&id) {
            self.holds.plays(id.0, live.ask.title);
        }
    }

    /// Nodes as the planner needs them.
    pub(super) fn rooms(&mut self) {
        let d = &self.config.decisions;
        let even = d.all_links_kb / self.nodes.len().max(1) as f64;
        let room = |n: &super::NodeState| {
            let e = n.node.entry;
            NodeRoom {
                server: e.server,
                cell: e.cell,
                rack: e.cell % d.racks,
                link_kb: if d.kb_per_weight > 0.0 { e.weight * d.kb_per_weight } else { even },
                ready: e.state == ServerState::Ready,
                warm_ms: e.started.map_or(0, |t| t.saturating_add(d.rules.warm_up) / MS),
            }
        };
        let rooms = self.nodes.values().map(room).collect();
        self.holds.nodes(rooms);
    }
}
