//! What goes into the core and what comes out.

use bytes::Bytes;
use pepperhook::{NotificationKind, Outcome, ServerId, SessionId, SessionSpec, Time};
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
    /// One life of a node: an id, an address, a start. Nothing of one life counts for another.
    LifeId,
    /// A question for a node's load.
    ProbeId,
}

/// A viewer's set-up, checked.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id.
    pub id: SessionId,
    /// What is wished.
    pub wish: SessionSpec,
    /// The description, passed on unchanged.
    pub body: Bytes,
    /// It plays at this node already.
    pub at: Option<ServerId>,
}

/// How a dial ended that brought no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialEnd {
    /// Refused: no process listens there.
    Refused,
    /// Not up in time.
    TimedOut,
    /// It failed on this side, or was reset while it came up.
    Failed,
}

/// What a node says.
#[derive(Clone, Debug, PartialEq)]
pub enum FromNode {
    /// The session stands; the description of the answer.
    Plays(SessionId, Bytes),
    /// The set-up ended otherwise.
    Ended(SessionId, Outcome, Vec<f64>),
    /// A session that stands is over, or a set-up broke.
    Over(SessionId, Outcome, Vec<f64>),
    /// A give-up or a release was heard.
    Heard(SessionId),
    /// A note on a session.
    Note(SessionId, NotificationKind, f64),
    /// The answer to a question for load; `None` if the test failed.
    Load(ProbeId, Option<Vec<f64>>),
    /// Something that needs no answer; it shows that the node lives.
    Other,
}

/// What goes to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum ToNode {
    /// A set-up.
    SetUp {
        /// Its id.
        id: SessionId,
        /// Title as asked for.
        title: u64,
        /// Index of the class.
        class: u16,
        /// The front end waits so long, milliseconds.
        wait_ms: u64,
        /// The rung.
        rung: u8,
        /// The viewer's description.
        body: Bytes,
    },
    /// A set-up is given up.
    GiveUp(SessionId, u64),
    /// A session that stands is cut, with its title and cause.
    Release(SessionId, u64, u16),
    /// A new rung for a session that stands.
    Rung(SessionId, u64, u8),
    /// A question for its load.
    AskLoad(ProbeId),
    /// Its release was heard.
    Heard(SessionId),
}

/// What goes to a viewer.
#[derive(Clone, Debug, PartialEq)]
pub enum ToViewer {
    /// The session stands, with the node's description.
    Plays(SessionId, Bytes),
    /// Refused, with advice when to come again.
    Refused(SessionId, Option<Time>),
    /// Failed.
    Failed(SessionId),
    /// The request cannot be taken: it is at odds with one that is open.
    Conflict(SessionId),
    /// The session is over, with its title and cause.
    Over(SessionId, u64, u16),
    /// The viewer is to come again for another node.
    Move(SessionId, u64),
    /// A give-up or a release was heard.
    Heard(SessionId),
    /// There is no such session.
    Unknown(SessionId),
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Input {
    /// A viewer's connection came, from this address.
    Opened(ConnId, IpAddr),
    /// A set-up came.
    Ask(ConnId, Ask),
    /// A viewer gives a set-up up or ends a session.
    End(ConnId, SessionId),
    /// A viewer has closed its side of a connection: it has left, whatever it may still read.
    Left(ConnId),
    /// A viewer's connection is gone.
    Gone(ConnId),
    /// The viewer of a set-up that is about to be sent was looked for and waits.
    Waits(SessionId),
    /// The connection to the node takes no bytes now, so that a set-up would be sent at some later moment, or the node
    /// has ended it.
    Blocked(SessionId),
    /// There are as many viewers' connections as there may be, and this one gives way.
    GiveWay(ConnId),
    /// A connection to a node is up.
    LinkUp(LinkId),
    /// A dial ended without a connection.
    LinkFailed(LinkId, DialEnd),
    /// A connection to a node broke or ended.
    LinkDown(LinkId),
    /// The node ended a connection after this side had shut its own half.
    LinkShut(LinkId),
    /// A node said something.
    Node(LinkId, FromNode),
    /// The list of nodes is this now.
    Nodes(Vec<pepperhook_changelog::Entry>),
    /// The front is about to end: what comes from now on is refused, since it might not be answered in time.
    Closing,
    /// The front ends now: whatever is open has its answer.
    Last,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Tell a viewer.
    Tell(ConnId, ToViewer),
    /// Close a viewer's connection, in order.
    Hang(ConnId),
    /// A set-up is about to be sent over a connection to a node: look whether its viewer still waits, and say so by
    /// [`Input::Waits`] or [`Input::Blocked`]; where it has left, what shows that is all that follows.
    Look(ConnId, LinkId, SessionId),
    /// Dial a node.
    Dial(LinkId, SocketAddr),
    /// Tell a node.
    Write(LinkId, ToNode),
    /// Close a connection to a node.
    Close(LinkId),
    /// Shut the sending side of a connection to a node and wait for the node to end it.
    Shut(LinkId),
    /// A line for the log.
    Log(&'static str, String),
}
