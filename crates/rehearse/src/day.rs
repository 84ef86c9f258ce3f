//! A day: the scenario of a rehearsal (fleet, arrivals and scheduled faults), stored as JSON; the format is described
//! in `docs/rehearsals.md`. The `rename` attributes are the names in that file.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// The scenario of one rehearsal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Name, for reports.
    pub name: String,
    /// Seed of arrivals and random choices.
    pub seed: u64,
    /// Duration of the arrivals, seconds.
    pub length_s: f64,
    /// Fronts and nodes, and how they are connected.
    #[serde(default)]
    pub fleet: Fleet,
    /// Arrivals and behaviour of the viewers.
    #[serde(default)]
    pub viewers: ViewerSettings,
    /// Scheduled faults and extra load.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<ScheduledFault>,
}

/// Settings of the fronts and nodes of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Number of front processes.
    pub fronts: u32,
    /// Number of node processes.
    pub nodes: u32,
    /// Number of racks; node `i` is in rack `i` modulo this.
    pub racks: u32,
    /// Number of zones; node and front `i` are in zone `i` modulo this.
    pub zones: u32,
    /// Link capacity of a node, kB/s.
    pub link_kb: f64,
    /// Uplink capacity of a rack, kB/s.
    pub uplink_kb: f64,
    /// Maximum number of streams of a node.
    pub streams: f64,
    /// Warm-up time of a restarted node, seconds.
    pub cold_s: f64,
    /// Typical duration of a set-up, milliseconds.
    pub set_up_ms: f64,
    /// Delay of the list of nodes, seconds.
    pub list_late_s: f64,
    /// Floor of the class: its lowest rung.
    pub floor: u8,
    /// Seats of the class for each title at a front; 0 for no limit.
    pub seats: u32,
    /// The class setting `repeat`: `harmless` allows repeating a set-up that may have run, `never` does not.
    pub repeat: String,
    /// Retry budget: free retries, retries per request, and the window in seconds.
    pub budget: Option<(f64, f64, f64)>,
    /// Share of each tenant in the base traffic; empty for no tenants.
    pub tenants: Vec<f64>,
    /// Network between the fronts; without it they do not exchange records.
    pub exchange: Option<ExchangeSettings>,
    /// Duties that the fronts share; requires `exchange`.
    pub duties: Option<DutySettings>,
}

/// Settings of the shared duties.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Probe period: each node is probed once in this time, seconds.
    pub period_s: f64,
    /// Fronts share the load that they read.
    pub share: bool,
    /// Fronts also probe nodes themselves before they place a session by an old reading.
    pub ask: bool,
}

/// Loss and partitions between the fronts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExchangeSettings {
    /// Share of the datagrams between fronts that is lost.
    pub loss: f64,
    /// Isolated fronts: all that they send is lost, and the others do not send to them.
    #[serde(rename = "cut")]
    pub isolated: Vec<u32>,
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

/// Arrivals and behaviour of viewers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ViewerSettings {
    /// Mean arrival rate, viewers per second.
    pub rate: f64,
    /// Shortest and longest playing time, seconds.
    pub plays_s: (f64, f64),
    /// Time after which a viewer stops waiting for an answer, seconds.
    pub patience_s: f64,
    /// Target time from request to playing, seconds.
    pub aim_s: f64,
    /// Number of titles.
    pub titles: u32,
    /// Number of nodes that hold a title.
    pub copies: u32,
    /// Share of viewers that retry after a refusal or a failure.
    #[serde(rename = "returns")]
    pub retry_share: f64,
    /// Share of requests that are sent a second time while the first one waits.
    #[serde(rename = "twice")]
    pub duplicate_share: f64,
    /// Share of requests abandoned before the answer.
    #[serde(rename = "impatient")]
    pub abandon_share: f64,
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
            retry_share: 0.9,
            duplicate_share: 0.03,
            abandon_share: 0.01,
        }
    }
}

/// A fault or extra load with its start and duration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Start, seconds from the start of the arrivals.
    pub at_s: f64,
    /// Duration, seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Kind with its parameters.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// Kinds of faults and extra load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// The uplinks of these racks lose capacity.
    Uplink {
        /// Racks.
        racks: Vec<u32>,
        /// Remaining share of the capacity.
        left: f64,
    },
    /// All links of nodes lose capacity.
    Links {
        /// Remaining share of the capacity.
        left: f64,
    },
    /// These nodes are killed, and restarted cold at the end.
    Crash {
        /// Nodes.
        nodes: Vec<u32>,
    },
    /// These nodes slow down gradually, are killed at the end and restarted cold.
    Ageing {
        /// Nodes.
        nodes: Vec<u32>,
        /// Delay of a set-up reached at the end, milliseconds.
        to_ms: u64,
    },
    /// A share of set-ups at these nodes fails at once with 500.
    Errors {
        /// Nodes.
        nodes: Vec<u32>,
        /// Share that fails.
        share: f64,
    },
    /// A share of set-ups at these nodes gets no answer.
    Hang {
        /// Nodes.
        nodes: Vec<u32>,
        /// Share that gets no answer.
        share: f64,
    },
    /// A share of set-ups at these nodes gets a truncated answer.
    #[serde(rename = "half")]
    Truncate {
        /// Nodes.
        nodes: Vec<u32>,
        /// Share that is truncated.
        share: f64,
    },
    /// These nodes are listed as draining, and as ready again at the end.
    Drain {
        /// Nodes.
        nodes: Vec<u32>,
    },
    /// Rolling deploy: all nodes are drained and restarted cold, batch by batch.
    Deploy {
        /// Nodes at a time.
        batch: u32,
        /// Seconds from drain to restart.
        drain_s: f64,
    },
    /// All nodes of a zone are killed at once, and restarted at the end.
    ZoneLoss {
        /// Zone.
        zone: u32,
        /// Whether the fronts of the zone are killed too.
        fronts: bool,
    },
    /// The list of nodes is not updated at any front.
    ListDown,
    /// The list of nodes is delayed further.
    ListLate {
        /// Additional delay, seconds.
        by_s: f64,
    },
    /// These fronts are killed, and restarted at the end with no state but their last list.
    FrontKill {
        /// Fronts.
        fronts: Vec<u32>,
    },
    /// Rolling restart: all fronts are shut down gracefully and restarted, one after the other.
    FrontRoll {
        /// Time between stop and restart, seconds.
        down_s: f64,
    },
    /// These fronts are suspended repeatedly.
    FrontStall {
        /// Fronts.
        fronts: Vec<u32>,
        /// Length of each suspension, milliseconds.
        ms: u64,
        /// Time between suspensions, seconds.
        every_s: f64,
    },
    /// The arrival rate is multiplied.
    Burst {
        /// Factor on the base rate.
        times: f64,
    },
    /// The arrival rate of one tenant is multiplied.
    TenantBurst {
        /// Index of the tenant.
        tenant: u32,
        /// Factor on the base rate of the tenant.
        times: f64,
    },
    /// Additional viewers arrive for a few titles.
    HotTitle {
        /// First of the titles.
        #[serde(default)]
        first: u32,
        /// Titles.
        titles: u32,
        /// Additional viewers per second.
        rate: f64,
    },
    /// A peak is announced at a front; it starts `after_s` later.
    Announce {
        /// Name of the peak.
        peak: String,
        /// Front.
        front: u32,
        /// Title.
        title: u32,
        /// Expected simultaneous viewers.
        viewers: u32,
        /// Rung for which capacity is held for each viewer.
        rung: u8,
        /// Time until the peak starts, seconds.
        after_s: f64,
        /// Duration of the peak, seconds.
        lasts_s: f64,
        /// Lead: time before the start from which capacity is held, seconds.
        lead_s: f64,
    },
    /// An announced peak is cancelled at a front.
    #[serde(rename = "call-off")]
    CancelPeak {
        /// Name of the peak.
        peak: String,
        /// Front.
        front: u32,
    },
}

impl Day {
    /// Parses and checks a day.
    ///
    /// # Errors
    /// Line and column of the first syntax error, or the value that is out of range.
    pub fn parse(text: &str) -> Result<Self, String> {
        let day: Self = serde_json::from_str(text).map_err(|e| e.to_string())?;
        day.check()?;
        Ok(day)
    }

    /// Checks all values against the limits of a rehearsal.
    ///
    /// # Errors
    /// The value that is out of range, with the range.
    pub fn check(&self) -> Result<(), String> {
        let f = &self.fleet;
        let ranges = [
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
        for (name, value, low, high) in ranges {
            if !(low..=high).contains(&value) {
                return Err(format!("{name} is {value}; {low} to {high} is allowed"));
            }
        }
        if f.tenants.len() > 16 || f.tenants.iter().any(|s| !(0.0..=1.0).contains(s)) {
            return Err("fleet.tenants holds 16 shares at most, each between 0 and 1".into());
        }
        let needs_exchange =
            |t: &ScheduledFault| matches!(t.kind, FaultKind::Announce { .. } | FaultKind::CancelPeak { .. });
        if f.exchange.is_none() && self.faults.iter().any(needs_exchange) {
            return Err("a day with announced peaks needs fleet.exchange".into());
        }
        if !["harmless", "never"].contains(&f.repeat.as_str()) {
            return Err(format!("fleet.repeat is '{}'; harmless or never is allowed", f.repeat));
        }
        for (i, fault) in self.faults.iter().enumerate() {
            if !(0.0..=300.0).contains(&fault.at_s) || !(0.0..=300.0).contains(&fault.for_s) {
                return Err(format!(
                    "troubles[{i}]: at_s is {} and for_s is {}; 0 to 300 is allowed",
                    fault.at_s, fault.for_s
                ));
            }
            let (nodes, fronts): (&[u32], &[u32]) = match &fault.kind {
                FaultKind::Crash { nodes }
                | FaultKind::Ageing { nodes, .. }
                | FaultKind::Errors { nodes, .. }
                | FaultKind::Hang { nodes, .. }
                | FaultKind::Truncate { nodes, .. }
                | FaultKind::Drain { nodes } => (nodes, &[]),
                FaultKind::Announce { front, .. } | FaultKind::CancelPeak { front, .. } => {
                    (&[], std::slice::from_ref(front))
                }
                FaultKind::FrontKill { fronts } | FaultKind::FrontStall { fronts, .. } => (&[], fronts),
                _ => (&[], &[]),
            };
            if matches!(fault.kind, FaultKind::TenantBurst { tenant, .. } if tenant as usize >= f.tenants.len())
            {
                return Err(format!(
                    "troubles[{i}]: the tenant is not in fleet.tenants, which has {}",
                    f.tenants.len()
                ));
            }
            if nodes.iter().any(|n| *n >= f.nodes) || fronts.iter().any(|n| *n >= f.fronts) {
                return Err(format!(
                    "troubles[{i}]: a node or front does not exist; nodes are below {}, fronts below {}",
                    f.nodes, f.fronts
                ));
            }
        }
        Ok(())
    }
}

/// The bad day: weakened uplink, rolling deploy, drain, crash, front restart, delayed list, burst of viewers and a
/// hanging node, overlapping. The seed draws their times and targets.
#[must_use]
pub fn bad_day(seed: u64, fronts: u32, length_s: f64) -> Day {
    let mut rng = StdRng::seed_from_u64(seed);
    let fleet = Fleet { fronts, ..Fleet::default() };
    let scale = length_s / 45.0;
    let mut at = |from: f64, to: f64| rng.random_range(from..to) * scale;
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
    let (drained, crashed, hanging) = (pick(), pick(), pick());
    let rack = rng.random_range(0..fleet.racks);
    let front = rng.random_range(0..fronts);
    let fault = |at_s: f64, for_s: f64, kind: FaultKind| ScheduledFault { at_s, for_s: for_s * scale, kind };
    let faults = vec![
        fault(times[0], 14.0, FaultKind::Uplink { racks: vec![rack], left: 0.45 }),
        fault(times[1], 24.0, FaultKind::Deploy { batch: 2, drain_s: 2.0 * scale }),
        fault(times[2], 10.0, FaultKind::Drain { nodes: vec![drained] }),
        fault(times[3], 6.0, FaultKind::Crash { nodes: vec![crashed] }),
        fault(times[4], 3.0, FaultKind::FrontKill { fronts: vec![front] }),
        fault(times[5], 9.0, FaultKind::ListLate { by_s: 2.5 }),
        fault(times[6], 7.0, FaultKind::Burst { times: 2.2 }),
        fault(times[7], 6.0, FaultKind::Hang { nodes: vec![hanging], share: 0.5 }),
    ];
    Day { name: format!("bad day {seed}"), seed, length_s, fleet, viewers: ViewerSettings::default(), faults }
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
