//! A day: fleet, arrivals and troubles, as a file of the project's own (`docs/rehearsals.md`).

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// A day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// What it is for.
    pub name: String,
    /// Seed of arrivals and choices.
    pub seed: u64,
    /// Arrivals come for so long, seconds.
    pub length_s: f64,
    /// Fronts and nodes.
    #[serde(default)]
    pub fleet: Fleet,
    /// Who comes.
    #[serde(default)]
    pub viewers: ViewerSettings,
    /// What goes wrong, when.
    #[serde(default)]
    pub troubles: Vec<ScheduledFault>,
}

/// Fronts and nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Front processes.
    pub fronts: u32,
    /// Node processes.
    pub nodes: u32,
    /// Racks; node `i` stands in rack `i` modulo this.
    pub racks: u32,
    /// Zones; node and front `i` stand in zone `i` modulo this.
    pub zones: u32,
    /// A node's link, kB a second.
    pub link_kb: f64,
    /// A rack's uplink, kB a second.
    pub uplink_kb: f64,
    /// Streams of a node at most.
    pub streams: f64,
    /// A restarted node is warm after so long, seconds.
    pub cold_s: f64,
    /// A set-up takes about so long, milliseconds.
    pub set_up_ms: f64,
    /// The list is so late, seconds.
    pub list_late_s: f64,
    /// Floor of the class, a rung.
    pub floor: u8,
    /// Seats of the class; 0 for none.
    pub seats: u32,
    /// `harmless` or `never`.
    pub repeat: String,
    /// Ration of further attempts: free, share, seconds.
    pub budget: Option<(f64, f64, f64)>,
    /// Shares of the tenants in the usual traffic; none where empty.
    pub tenants: Vec<f64>,
    /// Fronts exchange records; else they know nothing of each other.
    pub exchange: Option<ExchangeSettings>,
    /// Duties that the fronts share; they need an exchange.
    pub duties: Option<DutySettings>,
}

/// Duties that fronts share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Each node is asked once in this time, seconds.
    pub period_s: f64,
    /// What was read is told to the other fronts.
    pub share: bool,
    /// Fronts ask by themselves before they place a session.
    pub ask: bool,
}

/// What lies between the fronts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExchangeSettings {
    /// Part of their datagrams that is lost.
    pub loss: f64,
    /// Fronts that are cut off: whatever they send is lost, and nobody sends to them.
    pub cut: Vec<u32>,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            fronts: 3,
            nodes: 12,
            racks: 3,
            zones: 3,
            link_kb: 12_000.0,
            uplink_kb: 40_000.0,
            streams: 60.0,
            cold_s: 12.0,
            set_up_ms: 12.0,
            list_late_s: 0.3,
            floor: 0,
            seats: 0,
            repeat: "harmless".into(),
            budget: None,
            tenants: Vec::new(),
            exchange: None,
            duties: None,
        }
    }
}

/// Who comes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ViewerSettings {
    /// Viewers a second, on the mean.
    pub rate: f64,
    /// They play for between these, seconds.
    pub plays_s: (f64, f64),
    /// They give up after this, seconds.
    pub patience_s: f64,
    /// They want to play within this, seconds.
    pub aim_s: f64,
    /// Titles.
    pub titles: u32,
    /// Holders of a title.
    pub copies: u32,
    /// Share of them that comes again after a refusal or a break.
    pub returns: f64,
    /// Share of them that asks a second time under the same name while the first waits.
    pub twice: f64,
    /// Share of them that leaves before the answer.
    pub impatient: f64,
}

impl Default for ViewerSettings {
    fn default() -> Self {
        Self {
            rate: 12.0,
            plays_s: (6.0, 14.0),
            patience_s: 4.0,
            aim_s: 0.8,
            titles: 24,
            copies: 4,
            returns: 0.9,
            twice: 0.03,
            impatient: 0.01,
        }
    }
}

/// A trouble: from when, for how long, and what.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Begins, seconds from the first arrival.
    pub at_s: f64,
    /// Lasts, seconds.
    #[serde(default)]
    pub for_s: f64,
    /// What.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Kinds of trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// The uplinks of these racks give only this part.
    Uplink {
        /// Racks.
        racks: Vec<u32>,
        /// Part that is left.
        left: f64,
    },
    /// All links give only this part.
    Links {
        /// Part that is left.
        left: f64,
    },
    /// These nodes are killed and come back cold.
    Crash {
        /// Nodes.
        nodes: Vec<u32>,
    },
    /// These nodes grow slower, then die, and come back cold.
    Ageing {
        /// Nodes.
        nodes: Vec<u32>,
        /// Added to a set-up at the end, milliseconds.
        to_ms: u64,
    },
    /// This share of set-ups fails quickly at these nodes.
    Errors {
        /// Nodes.
        nodes: Vec<u32>,
        /// Share that fails.
        share: f64,
    },
    /// These nodes take connections and say nothing to this share of set-ups.
    Hang {
        /// Nodes.
        nodes: Vec<u32>,
        /// Share that gets no answer.
        share: f64,
    },
    /// Answers of these nodes break off half way, for this share of set-ups.
    Half {
        /// Nodes.
        nodes: Vec<u32>,
        /// Share that breaks off.
        share: f64,
    },
    /// These nodes are drained, and back as they were at the end.
    Drain {
        /// Nodes.
        nodes: Vec<u32>,
    },
    /// All nodes are replaced one after the other: drained for so long, restarted cold.
    Deploy {
        /// Nodes at a time.
        batch: u32,
        /// Seconds from drain to restart.
        drain_s: f64,
    },
    /// A zone's nodes are killed at once, its fronts too if so told.
    ZoneLoss {
        /// Zone.
        zone: u32,
        /// Its fronts too.
        fronts: bool,
    },
    /// No list reaches any front.
    ListDown,
    /// The list runs behind by this much more.
    ListLate {
        /// Seconds.
        by_s: f64,
    },
    /// These fronts are killed, and come back at the end with nothing but their last list.
    FrontKill {
        /// Fronts.
        fronts: Vec<u32>,
    },
    /// All fronts are stopped in order and restarted, one after the other.
    FrontRoll {
        /// Seconds down.
        down_s: f64,
    },
    /// These fronts stand still for so long, again and again.
    FrontStall {
        /// Fronts.
        fronts: Vec<u32>,
        /// Milliseconds each time.
        ms: u64,
        /// Seconds between two.
        every_s: f64,
    },
    /// So many times the usual viewers come.
    Burst {
        /// Times the usual rate.
        times: f64,
    },
    /// One tenant sends so many times its usual viewers.
    TenantBurst {
        /// Index of the tenant.
        tenant: u32,
        /// Times its usual rate.
        times: f64,
    },
    /// A crowd comes for few titles.
    HotTitle {
        /// The first of them.
        #[serde(default)]
        first: u32,
        /// Titles.
        titles: u32,
        /// Viewers a second.
        rate: f64,
    },
    /// A peak is announced at a front; it starts `after_s` later.
    Announce {
        /// Its name.
        peak: String,
        /// Front.
        front: u32,
        /// Title.
        title: u32,
        /// Viewers at once.
        viewers: u32,
        /// Rung held for each.
        rung: u8,
        /// Seconds until it starts.
        after_s: f64,
        /// Seconds that it lasts.
        lasts_s: f64,
        /// Seconds of lead.
        lead_s: f64,
    },
    /// A peak is called off at a front.
    CallOff {
        /// Its name.
        peak: String,
        /// Front.
        front: u32,
    },
}

impl Day {
    /// Reads a day.
    ///
    /// # Errors
    /// Line and column of the first fault, or the figure that is out of bounds.
    pub fn parse(text: &str) -> Result<Self, String> {
        let day: Self = serde_json::from_str(text).map_err(|e| e.to_string())?;
        day.check()?;
        Ok(day)
    }

    /// Load is bounded in count and time.
    ///
    /// # Errors
    /// The figure that is out of bounds.
    pub fn check(&self) -> Result<(), String> {
        let f = &self.fleet;
        let within = [
            ("length_s", self.length_s, 1.0, 300.0),
            ("fleet.fronts", f64::from(f.fronts), 1.0, 8.0),
            ("fleet.nodes", f64::from(f.nodes), 1.0, 32.0),
            ("fleet.racks", f64::from(f.racks), 1.0, f64::from(f.nodes)),
            ("fleet.zones", f64::from(f.zones), 1.0, 16.0),
            ("viewers.rate", self.viewers.rate, 0.0, 200.0),
            ("viewers.titles", f64::from(self.viewers.titles), 1.0, 10_000.0),
            ("viewers.copies", f64::from(self.viewers.copies), 1.0, f64::from(f.nodes)),
            ("viewers.patience_s", self.viewers.patience_s, 0.5, 30.0),
            ("viewers.plays_s.0", self.viewers.plays_s.0, 0.1, self.viewers.plays_s.1),
            ("viewers.plays_s.1", self.viewers.plays_s.1, 0.1, 300.0),
        ];
        if f.duties.is_some_and(|d| !(0.2..=60.0).contains(&d.period_s))
            || f.duties.is_some() && f.exchange.is_none()
        {
            return Err("fleet.duties needs a period_s of 0.2 to 60, and fleet.exchange".into());
        }
        for (name, value, low, high) in within {
            if !(low..=high).contains(&value) {
                return Err(format!("{name} is {value}; {low} to {high} is allowed"));
            }
        }
        if f.tenants.len() > 16 || f.tenants.iter().any(|s| !(0.0..=1.0).contains(s)) {
            return Err("fleet.tenants holds 16 shares at most, each between 0 and 1".into());
        }
        let announces =
            |t: &ScheduledFault| matches!(t.kind, FaultKind::Announce { .. } | FaultKind::CallOff { .. });
        if f.exchange.is_none() && self.troubles.iter().any(announces) {
            return Err("a day with announced peaks needs fleet.exchange".into());
        }
        if !["harmless", "never"].contains(&f.repeat.as_str()) {
            return Err(format!("fleet.repeat is '{}'; harmless or never is allowed", f.repeat));
        }
        for (i, t) in self.troubles.iter().enumerate() {
            if !(0.0..=300.0).contains(&t.at_s) || !(0.0..=300.0).contains(&t.for_s) {
                return Err(format!("troubles[{i}]: at_s and for_s are between 0 and 300"));
            }
            let (nodes, fronts): (&[u32], &[u32]) = match &t.kind {
                FaultKind::Crash { nodes }
                | FaultKind::Ageing { nodes, .. }
                | FaultKind::Errors { nodes, .. }
                | FaultKind::Hang { nodes, .. }
                | FaultKind::Half { nodes, .. }
                | FaultKind::Drain { nodes } => (nodes, &[]),
                FaultKind::Announce { front, .. } | FaultKind::CallOff { front, .. } => {
                    (&[], std::slice::from_ref(front))
                }
                FaultKind::FrontKill { fronts } | FaultKind::FrontStall { fronts, .. } => (&[], fronts),
                _ => (&[], &[]),
            };
            if matches!(t.kind, FaultKind::TenantBurst { tenant, .. } if tenant as usize >= f.tenants.len()) {
                return Err(format!("troubles[{i}]: there is no such tenant"));
            }
            if nodes.iter().any(|n| *n >= f.nodes) || fronts.iter().any(|n| *n >= f.fronts) {
                return Err(format!("troubles[{i}]: there is no such node or front"));
            }
        }
        Ok(())
    }
}

/// The scripted bad day: weakened uplink, rolling deploy, drain, crash, front restart, list lag and a crowd,
/// overlapping; the seed moves them about. Three fronts and twelve nodes unless told otherwise.
#[must_use]
pub fn bad_day(seed: u64, fronts: u32, length_s: f64) -> Day {
    let mut rng = StdRng::seed_from_u64(seed);
    let fleet = Fleet { fronts, ..Fleet::default() };
    let s = length_s / 45.0;
    let mut at = |from: f64, to: f64| rng.random_range(from..to) * s;
    let times: [f64; 8] = [
        at(3.0, 8.0),
        at(8.0, 14.0),
        at(4.0, 20.0),
        at(10.0, 24.0),
        at(12.0, 26.0),
        at(6.0, 18.0),
        at(14.0, 24.0),
        at(5.0, 30.0),
    ];
    let nodes = fleet.nodes;
    let mut pick = || rng.random_range(0..nodes);
    let (drained, crashed, odd) = (pick(), pick(), pick());
    let rack = rng.random_range(0..fleet.racks);
    let front = rng.random_range(0..fronts);
    let trouble = |at_s: f64, for_s: f64, kind: FaultKind| ScheduledFault { at_s, for_s: for_s * s, kind };
    let troubles = vec![
        trouble(times[0], 14.0, FaultKind::Uplink { racks: vec![rack], left: 0.45 }),
        trouble(times[1], 24.0, FaultKind::Deploy { batch: 2, drain_s: 2.0 * s }),
        trouble(times[2], 10.0, FaultKind::Drain { nodes: vec![drained] }),
        trouble(times[3], 6.0, FaultKind::Crash { nodes: vec![crashed] }),
        trouble(times[4], 3.0, FaultKind::FrontKill { fronts: vec![front] }),
        trouble(times[5], 9.0, FaultKind::ListLate { by_s: 2.5 }),
        trouble(times[6], 7.0, FaultKind::Burst { times: 2.2 }),
        trouble(times[7], 6.0, FaultKind::Hang { nodes: vec![odd], share: 0.5 }),
    ];
    Day {
        name: format!("bad day {seed}"),
        seed,
        length_s,
        fleet,
        viewers: ViewerSettings::default(),
        troubles,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_day_survives_its_file_and_nonsense_is_named() {
        let day = bad_day(3, 3, 45.0);
        let text = serde_json::to_string_pretty(&day).expect("JSON");
        assert_eq!(Day::parse(&text).expect("a day"), day);
        assert_eq!(bad_day(3, 3, 45.0), day, "a seed gives one day");
        let wrong = text.replace("\"fronts\": 3", "\"fronts\": 300");
        assert!(Day::parse(&wrong).expect_err("too many").contains("fleet.fronts"));
        let wrong = text.replace("\"length_s\"", "\"lenght_s\"");
        assert!(Day::parse(&wrong).expect_err("unknown").contains("line"));
        let none =
            r#"{"name":"x","seed":1,"length_s":5,"troubles":[{"kind":"crash","at_s":1,"nodes":[99]}]}"#;
        assert!(Day::parse(none).expect_err("no node").contains("troubles[0]"));
    }
}
