//! What the console shows, as plain data.

use super::Engine;
use super::policy::PolicyShown;
use super::tally::{AgeRow, ClassRow};
use pepperhook::{ServerState, Time};
use pepperhook_duties::{Counters as DutyCounters, DutyRow};
use pepperhook_exchange::Counters;
use pepperhook_fleet::MemberRow;
use pepperhook_peaks::ReservationRow;
use serde::Serialize;
use std::collections::BTreeMap;

/// Copies, as the console shows them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReplicaShown {
    /// Sessions of this front that others are to have copies of.
    pub own: usize,
    /// Sessions that this front went on with after their front had died.
    pub adopted: usize,
    /// Sessions in copies of other fronts' streams.
    pub kept: usize,
    /// Sessions that this front may not act on now, since its lease ran out.
    pub fenced: usize,
    /// Streams, written here and kept.
    pub streams: Vec<pepperhook_replica::StreamRow>,
    /// What was done.
    pub counters: pepperhook_replica::Counters,
}

/// The state of a front at one moment.
#[derive(Clone, Debug, Serialize)]
pub struct Snapshot {
    /// The front's name.
    pub front: String,
    /// It is stopping.
    pub stopping: bool,
    /// Requests that wait for their answer.
    pub waiting: usize,
    /// Sessions that play.
    pub playing: usize,
    /// Attempts that are out, and those of them that are being closed.
    pub attempts_out: usize,
    /// Attempts that are being closed.
    pub attempts_closing: usize,
    /// Requests since the start.
    pub asked: u64,
    /// Answers by kind.
    pub answers: BTreeMap<&'static str, u64>,
    /// Failed attempts by outcome.
    pub failures: BTreeMap<&'static str, u64>,
    /// Ended sessions by outcome.
    pub ends: BTreeMap<&'static str, u64>,
    /// Waiting requests whose viewer left.
    pub left: u64,
    /// Attempts since the start.
    pub attempts: u64,
    /// 201s after the time-out.
    pub late_answers: u64,
    /// Requests answered only by the last guard.
    pub backstops: u64,
    /// Sessions moved.
    pub moves: u64,
    /// Changes of rung.
    pub rungs: u64,
    /// Set-up times by class.
    pub classes: Vec<ClassRow>,
    /// Racks.
    pub racks: Vec<RackRow>,
    /// Nodes.
    pub nodes: Vec<NodeRow>,
    /// Announced peaks and what is held for them.
    pub holds: Vec<ReservationRow>,
    /// What the fleet agrees on, where it does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub agreement: Option<pepperhook_fleet::AgreementView>,
    /// Copies on other fronts and of other fronts, where there are any.
    pub replica: Option<ReplicaShown>,
    /// Agreed policies, where one ever came or the front was fenced.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub policy: Option<PolicyShown>,
    /// Sessions found at nodes that nobody held, deleted there.
    pub strays: u64,
    /// Sessions held here that their nodes had not, ended.
    pub missing: u64,
    /// How old readings were when sessions were placed by them.
    pub ages: AgeRow,
    /// What the exchange sent, took and threw away.
    pub exchange: Option<Counters>,
    /// The fronts that are there by this one's view.
    pub members: Vec<MemberRow>,
    /// Duties, who has them and why.
    pub duties: Vec<DutyShown>,
    /// What became of duties here.
    pub duty_counters: Option<DutyCounters>,
    /// What is added to this front's clock to get the fleet's, milliseconds.
    pub clock_offset_ms: i64,
}

/// A duty with its target's name.
#[derive(Clone, Debug, Serialize)]
pub struct DutyShown {
    /// The node.
    pub node: String,
    /// The duty.
    #[serde(flatten)]
    pub row: DutyRow,
}

/// A rack.
#[derive(Clone, Debug, Serialize)]
pub struct RackRow {
    /// Its number.
    pub rack: u32,
    /// Forecast demand over the uplink.
    pub forecast: f64,
    /// Use of the uplink as estimated.
    pub uplink: f64,
    /// The mark.
    pub mark: f64,
    /// An alert is in force.
    pub alerted: bool,
}

/// A node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeRow {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its rack.
    pub rack: u32,
    /// As listed: ready, draining or gone.
    pub state: &'static str,
    /// Passed over while another is sound.
    pub barred: bool,
    /// Share of its capacity that it is held to have reached.
    pub warmth: f64,
    /// Use of its link as estimated.
    pub link: f64,
    /// This front's sessions there.
    pub sessions: usize,
    /// Their rates, kB a second.
    pub own_kb: f64,
}

impl Engine {
    /// What the front holds now.
    #[must_use]
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let (servers, racks) = self.controller.view(now);
        let zones = &self.config.names.zones;
        let row = |v: &pepperhook::ServerView| {
            let state = self.nodes.get(&v.entry.server)?;
            Some(NodeRow {
                name: state.node.name.clone(),
                zone: zones.get(usize::from(v.entry.zone.0)).cloned().unwrap_or_default(),
                rack: v.rack,
                state: match v.entry.state {
                    ServerState::Ready => "ready",
                    ServerState::Draining => "draining",
                    ServerState::Gone => "gone",
                },
                barred: v.barred,
                warmth: v.warmth,
                link: v.link_use,
                sessions: v.sessions,
                own_kb: v.own_kb,
            })
        };
        let mut nodes: Vec<NodeRow> = servers.iter().filter_map(row).collect();
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        let t = &self.tally;
        Snapshot {
            front: self.config.name.clone(),
            stopping: self.stopping,
            waiting: self.tickets.len() + self.parked.len(),
            playing: self.resources.len(),
            attempts_out: self.attempts.len(),
            attempts_closing: self.attempts.values().filter(|a| a.closing.is_some()).count(),
            asked: t.asked,
            answers: t.answers.clone(),
            failures: t.failures.clone(),
            ends: t.ends.clone(),
            left: t.left,
            attempts: t.attempts,
            late_answers: t.late_answers,
            backstops: t.backstops,
            moves: t.moves,
            rungs: t.rungs,
            classes: t.classes(),
            racks: racks
                .iter()
                .map(|r| RackRow {
                    rack: r.rack,
                    forecast: r.forecast,
                    uplink: r.uplink_use,
                    mark: r.mark,
                    alerted: r.alerted,
                })
                .collect(),
            nodes,
            holds: self.hold_rows(now),
            agreement: None,
            replica: None,
            policy: self.policy_shown(),
            strays: t.strays,
            missing: t.missing,
            ages: t.ages(),
            exchange: None,
            members: Vec::new(),
            duties: Vec::new(),
            duty_counters: None,
            clock_offset_ms: 0,
        }
    }
}
