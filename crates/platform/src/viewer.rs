//! The face to viewers: what they may send, checked, and what they are told.

use crate::core::{Ask, ToViewer};
use crate::wire::{self, ROOT, answer, release, request};
use pepperhook::{ClassId, ServerId, SessionId, SessionSpec, TenantId, Time, TitleId, ViewerKey};
use pepperhook_parameters::Sockets;
use pepperhook_rtsp::{Message, StartLine};

/// A viewer waits at most so many times its class's deadline; more is a figure out of range.
const PATIENCE: u64 = 4;
/// A session's hint is at most a week, milliseconds.
const LENGTH: f64 = 604_800_000.0;

/// What a viewer sends.
pub enum FromViewer {
    /// A set-up.
    Ask(Box<Ask>),
    /// A set-up is given up or a session ended.
    End(SessionId),
    /// A test, answered at once; the message to answer with.
    Test(Message),
    /// A response, or another message that needs no answer.
    Nothing,
}

/// A message that cannot be used, and the answer to it.
pub struct Bad(pub Message);

/// A response that carries on the number and the id of a request, as far as they can be repeated.
fn reply(status: u16, to: &Message) -> Message {
    let plain = |v: &&str| v.len() <= 32 && v.bytes().all(|b| b.is_ascii_alphanumeric());
    let mut reply = Message::response(status);
    for name in ["CSeq", "Session"] {
        if let Some(value) = to.field(name).filter(plain) {
            reply = reply.with(name, value);
        }
    }
    reply
}

/// Reads a message of a viewer.
pub fn read(m: &Message, known: &Sockets, cells: u32) -> Result<FromViewer, Bad> {
    let StartLine::Request(method, uri) = &m.start else { return Ok(FromViewer::Nothing) };
    let bad = |status| Err(Bad(reply(status, m)));
    if !uri.starts_with(ROOT) || m.is_repeated("Session") || m.is_repeated("CSeq") {
        return bad(400);
    }
    let session = m.field("Session").and_then(wire::id).map(SessionId);
    match (method.as_str(), session) {
        ("OPTIONS", _) => Ok(FromViewer::Test(reply(200, m))),
        ("SETUP", Some(session)) => match ask(m, uri, session, known, cells) {
            Some(ask) => Ok(FromViewer::Ask(Box::new(ask))),
            None => bad(400),
        },
        ("TEARDOWN", Some(session)) => Ok(FromViewer::End(session)),
        ("SETUP" | "TEARDOWN", None) => bad(400),
        ("ANNOUNCE" | "SET_PARAMETER" | "GET_PARAMETER", _) => Ok(FromViewer::Nothing),
        _ => bad(501),
    }
}

/// Whether a message gives this set-up up.
pub fn ends(m: &Message, id: SessionId) -> bool {
    let named = || m.field("Session").and_then(wire::id) == Some(id.0);
    matches!(&m.start, StartLine::Request(method, _) if method == "TEARDOWN") && named()
}

fn ask(m: &Message, uri: &str, id: SessionId, known: &Sockets, cells: u32) -> Option<Ask> {
    let title = wire::id(&uri[ROOT.len()..])?;
    let class = m.field("Priority-Class")?;
    let class = known.classes.iter().position(|c| c == class)?;
    let wait: u64 = m.field("Expires-Ms").filter(|v| v.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()?;
    let patience = wait.checked_mul(1_000_000).filter(|p| *p > 0)?;
    let length = match m.field("X-Length") {
        Some(v) => Some(v.parse::<f64>().ok().filter(|l| l.is_finite() && (0.0..=LENGTH).contains(l))?),
        None => None,
    };
    let (mut home, mut copies, mut top, mut viewer, mut again, mut at) =
        (None, None, None, None, false, None);
    for part in m.field("P-Trunk-Info")?.split(';') {
        let (name, value) = part.split_once(':')?;
        let figure = || value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "home" => home = Some(figure().filter(|h| *h < f64::from(cells))?),
            "copies" => copies = Some(figure().filter(|c| *c <= f64::from(cells))?),
            "top" => top = Some(figure().filter(|t| *t < 256.0)?),
            "viewer" => viewer = Some(wire::id(value)?),
            "again" => again = value == "1",
            "at" => at = Some(ServerId(pepperhook_changelog::parse_node_id(value)?)),
            _ => {}
        }
    }
    let deadline = known.deadlines.get(class).copied().unwrap_or(Time::MAX);
    if at.is_none() && patience > deadline.saturating_mul(PATIENCE) {
        return None;
    }
    let tenant = match m.field("P-Customer") {
        // One that the settings don't name is no other's: it is not counted for the first.
        Some(name) if known.tenants.iter().any(Option::is_some) => {
            known.tenants.iter().position(|t| t.as_deref() == Some(name))?
        }
        _ => 0,
    };
    let wish = SessionSpec {
        viewer: ViewerKey(viewer?),
        class: ClassId(u16::try_from(class).ok()?),
        tenant: TenantId(u16::try_from(tenant).ok()?),
        title: TitleId(title),
        first_cell: home?,
        cell_count: copies?,
        highest_rung: top?,
        max_wait: patience,
        expected_length: length.map(|ms| (ms * 1e6) as Time),
        reconnect: again,
    };
    Some(Ask { id, wish, body: m.body.clone(), at })
}

/// What a viewer is told, as a message.
pub fn write(word: &ToViewer) -> Message {
    match word {
        ToViewer::Plays(id, body) => answer(200, 1, id).body(body.clone()),
        ToViewer::Refused(id, Some(after)) => answer(503, 1, id).with("P-Back-Off", after / 1_000_000),
        ToViewer::Refused(id, None) => answer(503, 1, id),
        ToViewer::Failed(id) => answer(500, 1, id),
        ToViewer::Conflict(id) => answer(455, 1, id),
        ToViewer::Over(id, title, cause) => release(title, id, cause),
        ToViewer::Move(id, title) => request("REDIRECT", title, 2, id),
        ToViewer::Heard(id) => answer(200, 2, id),
        ToViewer::Unknown(id) => answer(454, 2, id),
    }
}
