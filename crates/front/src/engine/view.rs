//! State of a front as the console and `/state` show it, as plain data.

use super::Engine;
use super::metrics::{ClassRow, ReadingAges};
use super::policy::PolicyStatus;
use pepperhook::{ServerState, Time};
use pepperhook_duties::{Counters as DutyCounters, DutyRow};
use pepperhook_exchange::Counters;
use pepperhook_fleet::MemberRow;
use pepperhook_peaks::ReservationRow;
use serde::Serialize;
use std::collections::BTreeMap;

/// State of the replication of sessions between fronts.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReplicaStatus {
    /// Sessions of this front that are replicated to others.
    pub own: usize,
    /// Sessions that this front took over from a front that died.
    pub adopted: usize,
    /// Copies of other fronts' sessions kept here.
    pub kept: usize,
    /// Sessions that this front may not act on because its lease has expired.
    pub fenced: usize,
    /// Streams that this front writes, and those of other fronts that it keeps.
    pub streams: Vec<pepperhook_replica::StreamRow>,
    /// Counters since the start.
    pub counters: pepperhook_replica::Counters,
}

/// The state of a front at one moment.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot {
    /// The front's name.
    pub front: String,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Requests that wait for an answer.
    pub waiting: usize,
    /// Sessions that play.
    pub playing: usize,
    /// Set-up attempts that have not ended, including those being closed.
    #[serde(rename = "attempts_out")]
    pub attempts_open: usize,
    /// Attempts that are being closed.
    pub attempts_closing: usize,
    /// Requests since the start.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Answers by kind.
    pub answers: BTreeMap<&'static str, u64>,
    /// Failed attempts by outcome.
    pub failures: BTreeMap<&'static str, u64>,
    /// Ended sessions by outcome.
    pub ends: BTreeMap<&'static str, u64>,
    /// Requests whose connection closed before their answer.
    #[serde(rename = "left")]
    pub disconnected: u64,
    /// Set-up attempts since the start.
    pub attempts: u64,
    /// 201s that arrived after their attempt had timed out or been cancelled.
    pub late_answers: u64,
    /// Requests answered only by the answer deadline.
    #[serde(rename = "backstops")]
    pub overdue_answers: u64,
    /// Sessions moved off their node.
    pub moves: u64,
    /// Changes of rung while playing.
    #[serde(rename = "rungs")]
    pub rung_changes: u64,
    /// Set-up times by class.
    pub classes: Vec<ClassRow>,
    /// Racks.
    pub racks: Vec<RackRow>,
    /// Nodes.
    pub nodes: Vec<NodeRow>,
    /// Announced peaks and the capacity reserved for them.
    #[serde(rename = "holds")]
    pub reservations: Vec<ReservationRow>,
    /// State of the agreement in the fleet; `None` if the settings configure no agreement.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub agreement: Option<pepperhook_fleet::AgreementView>,
    /// State of the replication; `None` if the settings configure none.
    pub replica: Option<ReplicaStatus>,
    /// Status of agreed policies; `None` until a policy arrives or the front is fenced.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub policy: Option<PolicyStatus>,
    /// Sessions listed by a node that this front does not know, deleted there.
    #[serde(rename = "strays")]
    pub orphans_deleted: u64,
    /// Sessions of this front that their node no longer listed, ended.
    #[serde(rename = "missing")]
    pub sessions_missing: u64,
    /// Ages of the load readings that sessions were placed by.
    #[serde(rename = "ages")]
    pub reading_ages: ReadingAges,
    /// Counters of the exchange between fronts.
    pub exchange: Option<Counters>,
    /// Live fronts, as this front sees them.
    pub members: Vec<MemberRow>,
    /// Duties with their owners.
    pub duties: Vec<DutyStatus>,
    /// Counters of duties at this front.
    pub duty_counters: Option<DutyCounters>,
    /// Offset of the fleet's clock from this front's, milliseconds.
    pub clock_offset_ms: i64,
}

/// A duty with the name of its target node.
#[derive(Clone, Debug, Serialize)]
pub struct DutyStatus {
    /// Name of the target node.
    pub node: String,
    /// The duty.
    #[serde(flatten)]
    pub row: DutyRow,
}

/// State of one rack.
#[derive(Clone, Debug, Serialize)]
pub struct RackRow {
    /// Its number.
    pub rack: u32,
    /// Forecast demand as a share of the uplink's capacity.
    pub forecast: f64,
    /// Estimated use of the uplink, as a share of its capacity.
    pub uplink: f64,
    /// The mark in force.
    pub mark: f64,
    /// Whether an alert is in force.
    pub alerted: bool,
}

/// State of one node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeRow {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its rack.
    pub rack: u32,
    /// State in the list of nodes: `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Whether it is ejected as an outlier: it gets sessions only if no sound node is available.
    pub barred: bool,
    /// Share of its capacity that it is assumed to have reached after its start (slow start).
    pub warmth: f64,
    /// Estimated use of its link, as a share of its capacity.
    pub link: f64,
    /// Sessions of this front there.
    pub sessions: usize,
    /// Sum of the rates of these sessions, kB/s.
    pub own_kb: f64,
}

impl Engine {
    /// The present state. Fields that other parts of the front know are left empty for them to fill in.
    #[must_use]
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let (servers, racks) = self.controller.view(now);
        let zones = &self.config.names.zones;
        let node_row = |view: &pepperhook::ServerView| {
            let state = self.nodes.get(&view.entry.server)?;
            Some(NodeRow {
                name: state.node.name.clone(),
                zone: zones.get(usize::from(view.entry.zone.0)).cloned().unwrap_or_default(),
                rack: view.rack,
                state: match view.entry.state {
                    ServerState::Ready => "ready",
                    ServerState::Draining => "draining",
                    ServerState::Gone => "gone",
                },
                barred: view.barred,
                warmth: view.warmth,
                link: view.link_use,
                sessions: view.sessions,
                own_kb: view.own_kb,
            })
        };
        let mut nodes: Vec<NodeRow> = servers.iter().filter_map(node_row).collect();
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        let metrics = &self.metrics;
        Snapshot {
            front: self.config.name.clone(),
            stopping: self.stopping,
            waiting: self.tickets.len() + self.parked.len(),
            playing: self.resources.len(),
            attempts_open: self.attempts.len(),
            attempts_closing: self.attempts.values().filter(|a| a.closing.is_some()).count(),
            requests: metrics.requests,
            answers: metrics.answers.clone(),
            failures: metrics.failures.clone(),
            ends: metrics.ends.clone(),
            disconnected: metrics.disconnected,
            attempts: metrics.attempts,
            late_answers: metrics.late_answers,
            overdue_answers: metrics.overdue_answers,
            moves: metrics.moves,
            rung_changes: metrics.rung_changes,
            classes: metrics.class_rows(),
            racks: racks
                .iter()
                .map(|rack| RackRow {
                    rack: rack.rack,
                    forecast: rack.forecast,
                    uplink: rack.uplink_use,
                    mark: rack.mark,
                    alerted: rack.alerted,
                })
                .collect(),
            nodes,
            reservations: self.reservation_rows(now),
            agreement: None,
            replica: None,
            policy: self.policy_status(),
            orphans_deleted: metrics.orphans_deleted,
            sessions_missing: metrics.sessions_missing,
            reading_ages: metrics.reading_ages(),
            exchange: None,
            members: Vec::new(),
            duties: Vec::new(),
            duty_counters: None,
            clock_offset_ms: 0,
        }
    }
}
