//! What goes into the engine and what comes out of it.

use bytes::Bytes;
use pepperhook::{Outcome, ServerId, SessionId, Settings, Time, TitleId, ViewerKey};
use pepperhook_inventory::Node;
use pepperhook_peaks::Peak;
use pepperhook_settings::ClassSettings;
use pepperhook_signalling::LoadReport;
use serde::{Deserialize, Serialize};

/// One HTTP request that waits for its one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One attempt to set a session up on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The session.
    pub session: SessionId,
    /// Its attempts are counted from 0.
    pub number: u32,
}

/// A checked POST of a viewer or a publisher.
#[derive(Clone, Debug)]
pub struct SessionRequest {
    /// The offer as it came.
    pub offer: Bytes,
    /// Hash of the offer, by which a request sent again is known.
    pub offer_hash: u64,
    /// The title's name, as it stands in the node's path too.
    pub title_name: String,
    /// The title's id.
    pub title: TitleId,
    /// First cell that holds it.
    pub first_cell: u32,
    /// Cells in a row that hold it.
    pub cell_count: u32,
    /// Index of the class.
    pub class: u16,
    /// Index of the tenant.
    pub tenant: u16,
    /// The viewer.
    pub viewer: ViewerKey,
    /// Highest rung that the viewer can use.
    pub highest_rung: u8,
    /// It publishes (WHIP).
    pub publish: bool,
}

/// How an attempt went, as its connection tells.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// 201 with a session.
    Created(Created),
    /// Another answer, with the load report that came along.
    Answered(u16, LoadReport),
    /// No connection in time; nothing was sent.
    NoConnection,
    /// The connection broke, or said what no answer is.
    Broken,
    /// The front closed it, and the node or the connection has confirmed that.
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
    /// Where events of the session can be had, at the node.
    pub events: Option<String>,
    /// Where its layer is chosen, at the node.
    pub layer: Option<String>,
    /// `Link` headers for ICE servers, handed on.
    pub ice: Vec<String>,
    /// The load report.
    pub load: LoadReport,
}

/// What a node tells on its event stream.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// Share of their rates that its sessions get.
    Delivered(f64),
    /// What is asked of its link over what it gives.
    Link(f64),
    /// The same of its rack's uplink.
    Uplink(f64),
    /// The session at this path ended.
    Inactive(String),
}

/// What happens to a front.
#[derive(Debug)]
pub enum Input {
    /// A viewer or publisher asks.
    Post(Ticket, SessionRequest),
    /// The connection of a waiting request closed.
    Disconnected(Ticket),
    /// DELETE on a session.
    Delete(Ticket, String),
    /// An attempt on this node ended.
    AttemptEnded(AttemptId, ServerId, AttemptEnd),
    /// A 201 could not be given to its viewer: the session of this resource is nobody's.
    Undelivered(String),
    /// The list of nodes is this.
    Nodes(Vec<Node>),
    /// News of a node.
    NodeEvent(ServerId, NodeEvent),
    /// A node that was asked for its load answered, or did not.
    Probed(ServerId, Option<LoadReport>),
    /// What another front saw of this life of a node so long ago.
    PeerReport(ServerId, u64, Time, LoadReport),
    /// Paths of the sessions that this run of the front has at a node, by the node's own list.
    SessionList(ServerId, std::collections::BTreeSet<String>),
    /// The ICE session of a session was restarted: the viewer's new user fragment, and the new entity tag.
    IceRestarted(String, String, Option<String>),
    /// A peak was announced, amended or called off, here or at another front.
    Peak(Peak),
    /// The policy of this version, which the fleet agreed on, comes into force.
    Policy {
        /// Counted up by the fleet; one that is no later than what is in force is passed over.
        version: u64,
        /// Everything that the module is told; its zone, racks, cells, fronts and gauges are this front's.
        settings: Box<Settings>,
        /// Names and terms, in the order of the settings' classes.
        classes: Vec<ClassSettings>,
        /// Names, in the order of the settings' tenants.
        tenants: Vec<String>,
    },
    /// The front cannot know what the fleet agreed, or can again.
    Fenced(bool),
    /// The event stream of a node ended, or could not be had: no connection, or this status.
    StreamEnded(ServerId, StreamEnd),
}

/// How an event stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It was there, and closed or broke.
    Closed,
    /// The node knows the session no longer.
    SessionUnknown,
    /// The node does not offer events, or refused them.
    Refused,
    /// No connection to the node.
    NoConnection,
}

/// The one answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It plays.
    Created {
        /// Its name under `/session/`.
        resource: String,
        /// Entity tag of the ICE session.
        etag: Option<String>,
        /// The SDP answer.
        sdp: Bytes,
        /// `Link` headers for ICE servers.
        ice: Vec<String>,
    },
    /// Refused, with the module's advice when to come again.
    Refused(Option<Time>, Refusal),
    /// It failed.
    Failed,
    /// A newer request of the same viewer took its place.
    Superseded,
    /// The title is live and nobody publishes it, or somebody else does.
    NotPublished,
    /// Another session publishes the title.
    AlreadyPublished,
    /// The policy in force takes nothing new of this class.
    ClassClosed,
    /// DELETE: done.
    Ended,
    /// No such session.
    UnknownSession,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The decision module found no room.
    NoRoom,
    /// The front holds as many waiting requests or sessions as it may.
    Overload,
    /// The front is stopping.
    Stopping,
    /// As many copies of the request wait as may.
    TooManyCopies,
    /// The front cannot know what the fleet agreed.
    Fenced,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// Answer the request; each ticket is answered once. The version of the policy that it was decided by, where
    /// one was ever agreed.
    Answer(Ticket, Answer, Option<u64>),
    /// POST the offer to the node.
    SetUp {
        /// Which attempt.
        attempt: AttemptId,
        /// To which node.
        node: ServerId,
        /// The title's name.
        title: String,
        /// WHIP rather than WHEP.
        publish: bool,
        /// The offer.
        offer: Bytes,
    },
    /// Close the sending side of the attempt's connection, and hear the node out.
    CloseAttempt(AttemptId),
    /// Reset its connection: whatever the node says now reaches nobody.
    ResetAttempt(AttemptId),
    /// DELETE a session at its node.
    DeleteUpstream(ServerId, String),
    /// The module wants a node's load.
    Probe(ServerId),
    /// Choose the rung of a session at its node.
    SetLayer(ServerId, String, u8),
    /// Open the node's event stream on one of its sessions.
    OpenNodeEvents(ServerId, String),
    /// Tell a viewer's event stream; the name and the data.
    NotifyViewer(String, &'static str, String),
    /// The resource is no more: its event stream ends.
    CloseEventStream(String),
    /// Other fronts are to have a copy of this session, or none any more. Only where settings name copies.
    Replicate(u64, Option<SessionCopy>),
    /// A line for the log.
    Log(String),
}

/// What other fronts are told of a session that plays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionCopy {
    /// The viewer's key.
    pub viewer: u64,
    /// Index of the class.
    pub class: u16,
    /// The title's number.
    pub title: u64,
    /// It publishes rather than plays.
    pub publish: bool,
    /// The rung in force.
    pub rung: u8,
    /// The node.
    pub node: u32,
    /// Its path at the node.
    pub path: String,
    /// Its resource at the front.
    pub resource: String,
}

/// Where a request on a session goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// To this path at this node.
    Node(ServerId, String),
    /// The session is being moved: its viewer is to POST again.
    Moved,
    /// There is no such session.
    Unknown,
}

/// The module's outcome for what a connection told. A status that proves that nothing ran is 503 alone:
/// a node sends it before it looks at the offer (RFC 9725, 4.5).
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
