//! The inputs and effects of the engine, and the types that they carry.

use bytes::Bytes;
use pepperhook::{Outcome, ServerId, SessionId, Settings, Time, TitleId, ViewerKey};
use pepperhook_inventory::Node;
use pepperhook_liveness::FailedDial;
use pepperhook_peaks::Peak;
use pepperhook_settings::ClassSettings;
use pepperhook_signalling::LoadReport;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Identifies one HTTP request; each is answered once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One attempt to set a session up on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The session.
    pub session: SessionId,
    /// Number of the attempt within the session, from 0.
    pub number: u32,
}

/// A validated POST of a viewer or a publisher.
#[derive(Clone, Debug)]
pub struct SessionRequest {
    /// The SDP offer as received.
    pub offer: Bytes,
    /// Hash of the offer, which identifies duplicates of a request.
    pub offer_hash: u64,
    /// The title's name as received in the path; it is used unchanged in the node's path.
    pub title_name: String,
    /// The title's id.
    pub title: TitleId,
    /// First of the cells that hold the title.
    pub first_cell: u32,
    /// Number of consecutive cells that hold the title.
    pub cell_count: u32,
    /// Index of the class.
    pub class: u16,
    /// Index of the tenant.
    pub tenant: u16,
    /// Key of the viewer.
    pub viewer: ViewerKey,
    /// Highest rung that the viewer can use.
    pub highest_rung: u8,
    /// Whether it publishes (WHIP) rather than plays (WHEP).
    pub publish: bool,
}

/// How an attempt ended, as seen on its connection.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// 201 with a session.
    Created(Created),
    /// Another status, with the load report of the answer.
    Answered(u16, LoadReport),
    /// No connection was established in time; nothing was sent.
    NoConnection,
    /// The connection broke, or the answer was not valid.
    Broken,
    /// The front closed it, and the node or the connection has confirmed the close.
    Closed,
}

/// A node's 201.
#[derive(Clone, Debug)]
pub struct Created {
    /// Path of the session at the node.
    pub path: String,
    /// Strong entity tag of its ICE session.
    pub etag: Option<String>,
    /// The SDP answer.
    pub answer: Bytes,
    /// Path of the session's event stream at the node.
    pub events: Option<String>,
    /// Path of the session's layer selection at the node.
    pub layer: Option<String>,
    /// `Link` headers for ICE servers, forwarded to the viewer.
    pub ice: Vec<String>,
    /// The load report.
    pub load: LoadReport,
}

/// An event from a node's event stream.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// Share of their nominal rates that the node's sessions receive.
    Delivered(f64),
    /// Demand on the node's link divided by its capacity.
    Link(f64),
    /// Demand on the rack's uplink divided by its capacity.
    Uplink(f64),
    /// The session at this path ended.
    Inactive(String),
}

/// An input of the engine.
#[derive(Debug)]
pub enum Input {
    /// A viewer or publisher requests a session.
    Post(Ticket, SessionRequest),
    /// The connection of a request closed before its answer.
    Disconnected(Ticket),
    /// DELETE of the session with this resource.
    Delete(Ticket, String),
    /// An attempt on this node ended.
    AttemptEnded(AttemptId, ServerId, AttemptEnd),
    /// A 201 could not be delivered to its viewer: the session of this resource is to be ended.
    Undelivered(String),
    /// A new list of nodes.
    Nodes(Vec<Node>),
    /// An event from a node's event stream.
    NodeEvent(ServerId, NodeEvent),
    /// A probe of a node ended; `None` if the node did not answer.
    Probed(ServerId, Option<LoadReport>),
    /// Load report that another front read: node, incarnation of the node, age of the report in nanoseconds, report.
    PeerReport(ServerId, u64, Time, LoadReport),
    /// Paths of the sessions of this run of the front that a node lists.
    SessionList(ServerId, BTreeSet<String>),
    /// ICE was restarted for a session: its resource, the viewer's new user fragment and the new entity tag.
    IceRestarted(String, String, Option<String>),
    /// A peak was announced, amended or cancelled, here or at another front.
    Peak(Peak),
    /// A policy that the fleet agreed on comes into force.
    Policy {
        /// Increased by the fleet with each policy; one that is not newer than the version in force is ignored.
        version: u64,
        /// Settings of the decision module; zone, racks, cells, fronts and gauges are those of this front.
        settings: Box<Settings>,
        /// Names and terms of the classes, in the order of `settings.classes`.
        classes: Vec<ClassSettings>,
        /// Names of the tenants, in the order of `settings.tenants`.
        tenants: Vec<String>,
    },
    /// Whether the front cannot know what the fleet agreed on.
    Fenced(bool),
    /// The event stream of a node ended or could not be opened.
    StreamEnded(ServerId, StreamEnd),
    /// [`Effect::DeleteGivenUp`] is done for this node, which did not answer for the sessions at these paths.
    GivenUpRemain(ServerId, BTreeSet<String>),
}

/// Why an event stream ended or could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The node closed or reset it.
    Closed,
    /// It was open, and nothing came for this time, nanoseconds.
    Silent(Time),
    /// The node no longer knows the session.
    SessionUnknown,
    /// The node was reached, and opened no stream.
    Refused,
    /// No connection came up; with how the dial failed, unless that was for a reason of this process.
    DialFailed(Option<FailedDial>),
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The session plays.
    Created {
        /// Name of the session's resource under `/session/`.
        resource: String,
        /// Entity tag of the ICE session.
        etag: Option<String>,
        /// The SDP answer.
        sdp: Bytes,
        /// `Link` headers for ICE servers.
        ice: Vec<String>,
    },
    /// Refused, with the time in nanoseconds after which to retry, if any.
    Refused(Option<Time>, Refusal),
    /// The set-up failed.
    Failed,
    /// A newer request of the same viewer replaced it.
    Superseded,
    /// The title is live and is not published.
    NotPublished,
    /// Another viewer key publishes the title.
    AlreadyPublished,
    /// The class is closed to new set-ups by the policy in force.
    ClassClosed,
    /// DELETE: the session has ended.
    Ended,
    /// DELETE: no such session.
    UnknownSession,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The decision module found no node with capacity.
    NoRoom,
    /// The front has reached its limit of waiting requests or sessions.
    Overload,
    /// The front is stopping.
    Stopping,
    /// Too many duplicates of the request already wait.
    TooManyCopies,
    /// The front cannot know what the fleet agreed on.
    Fenced,
}

/// An action that the caller of the engine carries out.
#[derive(Debug)]
pub enum Effect {
    /// Answer the request; each ticket is answered once. With the version of the policy that decided it; `None` before
    /// any policy was agreed, for DELETE and for a refusal because the front is fenced.
    Answer(Ticket, Answer, Option<u64>),
    /// Start an attempt: POST the offer to the node.
    SetUp {
        /// The attempt.
        attempt: AttemptId,
        /// The node.
        node: ServerId,
        /// The title's name.
        title: String,
        /// Whether to use WHIP rather than WHEP.
        publish: bool,
        /// The offer.
        offer: Bytes,
    },
    /// Half-close the attempt's connection and wait for the node's answer.
    CloseAttempt(AttemptId),
    /// Reset the attempt's connection; an answer of the node is lost from now on.
    ResetAttempt(AttemptId),
    /// DELETE the session at this path of a node.
    DeleteUpstream(ServerId, String),
    /// Probe a node for its load report.
    Probe(ServerId),
    /// Select the rung of a session at its node; the path is that of the layer selection.
    SetLayer(ServerId, String, u8),
    /// Open the node's event stream at this path.
    OpenNodeEvents(ServerId, String),
    /// DELETE the sessions at these paths of a node, once each, and answer with [`Input::GivenUpRemain`].
    DeleteGivenUp(ServerId, BTreeSet<String>),
    /// Send an event to a viewer: the session's resource, the event's name and its data.
    NotifyViewer(String, &'static str, String),
    /// Close the viewer's event stream of this resource, which no longer exists.
    CloseEventStream(String),
    /// Replicate this session to other fronts, or with `None` remove its copies. Only if the settings configure
    /// replication.
    Replicate(u64, Option<SessionCopy>),
    /// Write a line to the log.
    Log(String),
}

/// The copy of a playing session that other fronts keep. Encoded with postcard: the order and types of fields are the
/// wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionCopy {
    /// The viewer's key.
    pub viewer: u64,
    /// Index of the class.
    pub class: u16,
    /// The title's id.
    pub title: u64,
    /// Whether it publishes rather than plays.
    pub publish: bool,
    /// The rung in force.
    pub rung: u8,
    /// The node.
    pub node: u32,
    /// Path of the session at the node.
    pub path: String,
    /// Resource of the session at the front.
    pub resource: String,
}

/// Where a request on a session is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This path at this node.
    Node(ServerId, String),
    /// The session was moved: its viewer must POST again.
    Moved,
    /// There is no such session.
    Unknown,
}

/// The module's outcome for the end of an attempt. Only status 503 proves that no session was set up: a node sends it
/// before it processes the offer (RFC 9725, 4.5).
#[must_use]
pub fn outcome(end: &AttemptEnd) -> Outcome {
    match end {
        AttemptEnd::Created(_) => Outcome::Served,
        AttemptEnd::Answered(503, _) => Outcome::Full,
        AttemptEnd::Answered(..) => Outcome::Error,
        AttemptEnd::NoConnection => Outcome::ConnectFailed,
        AttemptEnd::Broken => Outcome::Broken,
        AttemptEnd::Closed => Outcome::Cancelled,
    }
}
