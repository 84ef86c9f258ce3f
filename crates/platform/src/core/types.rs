//! The inputs and effects of the core, and the values that they carry.
//!
//! The shell traces inputs and the messages to viewers and nodes in their `Debug` form, which log readers match. The
//! hand-written `Debug` implementations below keep that form independent of the names used in the code.

use bytes::Bytes;
use pepperhook::{NotificationKind, Outcome, ServerId, SessionId, SessionSpec, Time};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

macro_rules! id {
    ($(#[$doc:meta] $name:ident),* $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    )*};
}

id! {
    /// A connection of a viewer.
    ConnId,
    /// A connection to a node.
    LinkId,
    /// One incarnation of a node: an id at one address. State of one incarnation never counts for another.
    IncarnationId,
    /// A load query to a node.
    ProbeId,
}

/// A viewer's set-up request, validated.
#[derive(Clone)]
pub struct SetUpRequest {
    /// Id of the session to set up.
    pub id: SessionId,
    /// What the viewer asks for.
    pub spec: SessionSpec,
    /// The session description, passed on unchanged.
    pub body: Bytes,
    /// The node at which the session plays already, for a session that is handed over after a restart of the front.
    pub playing_at: Option<ServerId>,
}

impl fmt::Debug for SetUpRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ask")
            .field("id", &self.id)
            .field("wish", &self.spec)
            .field("body", &self.body)
            .field("at", &self.playing_at)
            .finish()
    }
}

/// Why a dial failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialEnd {
    /// The connection was refused: no process listens there.
    Refused,
    /// The connection was not up within the dial timeout.
    TimedOut,
    /// A local error, or a reset while the connection came up.
    Failed,
}

/// A message from a node.
#[derive(Clone, PartialEq)]
pub enum FromNode {
    /// The session plays; carries the description of the answer.
    Started(SessionId, Bytes),
    /// The set-up failed, with its outcome and the node's load report.
    SetUpFailed(SessionId, Outcome, Vec<f64>),
    /// A playing session has ended, or a set-up broke, with its outcome and the node's load report.
    SessionEnded(SessionId, Outcome, Vec<f64>),
    /// Acknowledges a cancelled set-up or a release.
    Acknowledged(SessionId),
    /// A measurement of a session.
    Notification(SessionId, NotificationKind, f64),
    /// The answer to a load query; `None` if the query failed.
    LoadReport(ProbeId, Option<Vec<f64>>),
    /// A message that needs no answer. It still shows that the node is alive.
    Other,
}

impl fmt::Debug for FromNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started(id, body) => f.debug_tuple("Plays").field(id).field(body).finish(),
            Self::SetUpFailed(id, outcome, report) => {
                f.debug_tuple("Ended").field(id).field(outcome).field(report).finish()
            }
            Self::SessionEnded(id, outcome, report) => {
                f.debug_tuple("Over").field(id).field(outcome).field(report).finish()
            }
            Self::Acknowledged(id) => f.debug_tuple("Heard").field(id).finish(),
            Self::Notification(id, kind, value) => {
                f.debug_tuple("Note").field(id).field(kind).field(value).finish()
            }
            Self::LoadReport(id, report) => f.debug_tuple("Load").field(id).field(report).finish(),
            Self::Other => f.write_str("Other"),
        }
    }
}

/// A message to a node.
#[derive(Clone, PartialEq)]
pub enum ToNode {
    /// Sets up a session.
    SetUp {
        /// Id of the session.
        id: SessionId,
        /// The requested title.
        title: u64,
        /// Index of the class in the settings.
        class: u16,
        /// Time for which the front waits for the answer, milliseconds.
        wait_ms: u64,
        /// The initial rung.
        rung: u8,
        /// The viewer's session description.
        body: Bytes,
    },
    /// Cancels a set-up: session and title.
    CancelSetUp(SessionId, u64),
    /// Ends a playing session: session, title and cause.
    Release(SessionId, u64, u16),
    /// Sets the rung of a playing session: session, title and rung.
    SetRung(SessionId, u64, u8),
    /// Asks for the node's load.
    QueryLoad(ProbeId),
    /// Acknowledges the node's release of a session.
    Acknowledge(SessionId),
}

impl ToNode {
    /// Whether the node owes an answer to it.
    #[must_use]
    pub fn awaits_answer(&self) -> bool {
        matches!(self, Self::SetUp { .. } | Self::QueryLoad(_))
    }
}

impl fmt::Debug for ToNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SetUp { id, title, class, wait_ms, rung, body } => f
                .debug_struct("SetUp")
                .field("id", id)
                .field("title", title)
                .field("class", class)
                .field("wait_ms", wait_ms)
                .field("rung", rung)
                .field("body", body)
                .finish(),
            Self::CancelSetUp(id, title) => f.debug_tuple("GiveUp").field(id).field(title).finish(),
            Self::Release(id, title, cause) => {
                f.debug_tuple("Release").field(id).field(title).field(cause).finish()
            }
            Self::SetRung(id, title, rung) => {
                f.debug_tuple("Rung").field(id).field(title).field(rung).finish()
            }
            Self::QueryLoad(probe) => f.debug_tuple("AskLoad").field(probe).finish(),
            Self::Acknowledge(id) => f.debug_tuple("Heard").field(id).finish(),
        }
    }
}

/// A message to a viewer.
#[derive(Clone, PartialEq)]
pub enum ToViewer {
    /// The session plays; carries the node's session description.
    Started(SessionId, Bytes),
    /// The set-up is refused; carries the time after which the viewer may retry, if one is advised.
    Refused(SessionId, Option<Time>),
    /// The set-up failed.
    Failed(SessionId),
    /// The request conflicts with another one under the same id.
    Conflict(SessionId),
    /// The session has ended: session, title and cause.
    Ended(SessionId, u64, u16),
    /// Asks the viewer to set the session up again at another node: session and title.
    Move(SessionId, u64),
    /// Acknowledges the viewer's release.
    Acknowledge(SessionId),
    /// There is no such session.
    UnknownSession(SessionId),
}

impl fmt::Debug for ToViewer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started(id, body) => f.debug_tuple("Plays").field(id).field(body).finish(),
            Self::Refused(id, retry_after) => f.debug_tuple("Refused").field(id).field(retry_after).finish(),
            Self::Failed(id) => f.debug_tuple("Failed").field(id).finish(),
            Self::Conflict(id) => f.debug_tuple("Conflict").field(id).finish(),
            Self::Ended(id, title, cause) => {
                f.debug_tuple("Over").field(id).field(title).field(cause).finish()
            }
            Self::Move(id, title) => f.debug_tuple("Move").field(id).field(title).finish(),
            Self::Acknowledge(id) => f.debug_tuple("Heard").field(id).finish(),
            Self::UnknownSession(id) => f.debug_tuple("Unknown").field(id).finish(),
        }
    }
}

/// An input of the core.
#[derive(Clone)]
pub enum Input {
    /// A viewer connected from this address.
    ViewerConnected(ConnId, IpAddr),
    /// A viewer sent a set-up request.
    SetUp(ConnId, SetUpRequest),
    /// A viewer cancels a set-up or ends a session.
    Release(ConnId, SessionId),
    /// A viewer has closed its sending side: it counts as gone, though it may still read.
    ViewerHalfClosed(ConnId),
    /// A viewer's connection is closed.
    ViewerDisconnected(ConnId),
    /// Answers [`Effect::CheckViewer`]: the viewer still waits for its set-up, which can be sent.
    ViewerWaits(SessionId),
    /// Answers [`Effect::CheckViewer`]: the set-up cannot be sent now, since the connection to the node accepts no bytes
    /// or the node has closed it.
    LinkBlocked(SessionId),
    /// The limit on viewers' connections is reached, and this one is closed to make room.
    EvictViewer(ConnId),
    /// A connection to a node is up.
    LinkUp(LinkId),
    /// A dial failed.
    DialFailed(LinkId, DialEnd),
    /// A connection to a node broke, or was closed by this side.
    LinkDown(LinkId),
    /// The node, or the system that it runs on, reset a connection.
    LinkReset(LinkId),
    /// The node closed a connection in order.
    LinkEndedByNode(LinkId),
    /// A node sent a message.
    NodeMessage(LinkId, FromNode),
    /// The list of nodes has changed to this.
    NodeList(Vec<pepperhook_changelog::Entry>),
    /// The front is about to stop: new requests are refused, since they might not be answered in time.
    StopAccepting,
    /// The front stops now: every open request is answered.
    AnswerAll,
}

impl fmt::Debug for Input {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ViewerConnected(conn, peer) => f.debug_tuple("Opened").field(conn).field(peer).finish(),
            Self::SetUp(conn, request) => f.debug_tuple("Ask").field(conn).field(request).finish(),
            Self::Release(conn, id) => f.debug_tuple("End").field(conn).field(id).finish(),
            Self::ViewerHalfClosed(conn) => f.debug_tuple("Left").field(conn).finish(),
            Self::ViewerDisconnected(conn) => f.debug_tuple("Gone").field(conn).finish(),
            Self::ViewerWaits(id) => f.debug_tuple("Waits").field(id).finish(),
            Self::LinkBlocked(id) => f.debug_tuple("Blocked").field(id).finish(),
            Self::EvictViewer(conn) => f.debug_tuple("GiveWay").field(conn).finish(),
            Self::LinkUp(link) => f.debug_tuple("LinkUp").field(link).finish(),
            Self::DialFailed(link, end) => f.debug_tuple("LinkFailed").field(link).field(end).finish(),
            Self::LinkDown(link) => f.debug_tuple("LinkDown").field(link).finish(),
            Self::LinkReset(link) => f.debug_tuple("LinkReset").field(link).finish(),
            Self::LinkEndedByNode(link) => f.debug_tuple("LinkShut").field(link).finish(),
            Self::NodeMessage(link, message) => f.debug_tuple("Node").field(link).field(message).finish(),
            Self::NodeList(entries) => f.debug_tuple("Nodes").field(entries).finish(),
            Self::StopAccepting => f.write_str("Closing"),
            Self::AnswerAll => f.write_str("Last"),
        }
    }
}

/// An action that the shell carries out for the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to a viewer.
    SendToViewer(ConnId, ToViewer),
    /// Closes a viewer's connection after its pending writes.
    CloseViewer(ConnId),
    /// A set-up is about to be sent to a node: checks that its viewer still waits and answers with
    /// [`Input::ViewerWaits`] or [`Input::LinkBlocked`]. For a viewer that has left there is no answer: the reader of its
    /// connection reports that.
    CheckViewer(ConnId, LinkId, SessionId),
    /// Dials a node.
    Dial(LinkId, SocketAddr),
    /// Sends a message to a node.
    SendToNode(LinkId, ToNode),
    /// Closes a connection to a node.
    CloseLink(LinkId),
    /// Half-closes a connection to a node and waits for the node to close it.
    HalfCloseLink(LinkId),
    /// Writes a line to the log, under this event.
    Log(&'static str, String),
}
