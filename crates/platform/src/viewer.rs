//! Validates RTSP messages from viewers and converts them into values for the core; encodes the core's messages to viewers.

use crate::core::{SetUpRequest, ToViewer};
use crate::wire::{ROOT, parse_id, release, request, response};
use pepperhook::{ClassId, ServerId, SessionId, SessionSpec, TenantId, Time, TitleId, ViewerKey};
use pepperhook_parameters::SocketSettings;
use pepperhook_rtsp::{Message, StartLine};

/// A viewer's longest waiting time, as a multiple of the deadline of its class. A set-up with more is rejected.
const MAX_WAIT_PER_DEADLINE: u64 = 4;
/// The longest expected length of a session, in milliseconds: a week.
const MAX_LENGTH_MS: f64 = 604_800_000.0;

/// A decoded message from a viewer.
pub enum FromViewer {
    /// A set-up.
    SetUp(Box<SetUpRequest>),
    /// Cancels a set-up or ends a session.
    End(SessionId),
    /// An `OPTIONS` request; contains the response, which is sent at once.
    Options(Message),
    /// A response, or a request that needs no response.
    Ignored,
}

/// The response to a message that was rejected.
pub struct Rejected(pub Message);

/// A response that repeats the `CSeq` and `Session` fields of a request, unless they are longer than 32 bytes or have
/// characters other than letters and digits.
fn reply(status: u16, to: &Message) -> Message {
    let is_plain = |v: &&str| v.len() <= 32 && v.bytes().all(|b| b.is_ascii_alphanumeric());
    let mut reply = Message::response(status);
    for name in ["CSeq", "Session"] {
        if let Some(value) = to.field(name).filter(is_plain) {
            reply = reply.with(name, value);
        }
    }
    reply
}

/// Decodes a message from a viewer. `cells` is the number of cells of the site.
pub fn decode(m: &Message, settings: &SocketSettings, cells: u32) -> Result<FromViewer, Rejected> {
    let StartLine::Request(method, uri) = &m.start else { return Ok(FromViewer::Ignored) };
    let reject = |status| Err(Rejected(reply(status, m)));
    if !uri.starts_with(ROOT) || m.is_repeated("Session") || m.is_repeated("CSeq") {
        return reject(400);
    }
    let session = m.field("Session").and_then(parse_id).map(SessionId);
    match (method.as_str(), session) {
        ("OPTIONS", _) => Ok(FromViewer::Options(reply(200, m))),
        ("SETUP", Some(session)) => match set_up(m, uri, session, settings, cells) {
            Some(ask) => Ok(FromViewer::SetUp(Box::new(ask))),
            None => reject(400),
        },
        ("TEARDOWN", Some(session)) => Ok(FromViewer::End(session)),
        ("SETUP" | "TEARDOWN", None) => reject(400),
        ("ANNOUNCE" | "SET_PARAMETER" | "GET_PARAMETER", _) => Ok(FromViewer::Ignored),
        _ => reject(501),
    }
}

/// Returns whether a message cancels this set-up or ends its session.
pub fn is_teardown_of(m: &Message, id: SessionId) -> bool {
    let has_id = || m.field("Session").and_then(parse_id) == Some(id.0);
    matches!(&m.start, StartLine::Request(method, _) if method == "TEARDOWN") && has_id()
}

/// Parses a set-up; `None` if a field is missing or invalid.
fn set_up(
    m: &Message,
    uri: &str,
    id: SessionId,
    settings: &SocketSettings,
    cells: u32,
) -> Option<SetUpRequest> {
    let title = parse_id(&uri[ROOT.len()..])?;
    let class = m.field("Priority-Class")?;
    let class = settings.class_names.iter().position(|c| c == class)?;
    let wait_ms: u64 =
        m.field("Expires-Ms").filter(|v| v.bytes().all(|b| b.is_ascii_digit()))?.parse().ok()?;
    let max_wait = wait_ms.checked_mul(1_000_000).filter(|t| *t > 0)?;
    let length_ms = match m.field("X-Length") {
        Some(v) => {
            Some(v.parse::<f64>().ok().filter(|l| l.is_finite() && (0.0..=MAX_LENGTH_MS).contains(l))?)
        }
        None => None,
    };
    let (mut first_cell, mut cell_count, mut highest_rung, mut viewer, mut reconnect, mut node) =
        (None, None, None, None, false, None);
    for part in m.field("P-Trunk-Info")?.split(';') {
        let (name, value) = part.split_once(':')?;
        let number = || value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "home" => first_cell = Some(number().filter(|h| *h < f64::from(cells))?),
            "copies" => cell_count = Some(number().filter(|c| *c <= f64::from(cells))?),
            "top" => highest_rung = Some(number().filter(|t| *t < 256.0)?),
            "viewer" => viewer = Some(parse_id(value)?),
            "again" => reconnect = value == "1",
            "at" => node = Some(ServerId(pepperhook_changelog::parse_node_id(value)?)),
            _ => {}
        }
    }
    let deadline = settings.deadlines.get(class).copied().unwrap_or(Time::MAX);
    if node.is_none() && max_wait > deadline.saturating_mul(MAX_WAIT_PER_DEADLINE) {
        return None;
    }
    let tenant = match m.field("P-Customer") {
        // An unknown name is rejected: it must not count against the quota of the first tenant.
        Some(name) if settings.tenant_names.iter().any(Option::is_some) => {
            settings.tenant_names.iter().position(|t| t.as_deref() == Some(name))?
        }
        _ => 0,
    };
    let spec = SessionSpec {
        viewer: ViewerKey(viewer?),
        class: ClassId(u16::try_from(class).ok()?),
        tenant: TenantId(u16::try_from(tenant).ok()?),
        title: TitleId(title),
        first_cell: first_cell?,
        cell_count: cell_count?,
        highest_rung: highest_rung?,
        max_wait,
        expected_length: length_ms.map(|ms| (ms * 1e6) as Time),
        reconnect,
    };
    Some(SetUpRequest { id, spec, body: m.body.clone(), playing_at: node })
}

/// Encodes a message to a viewer.
pub fn encode(output: &ToViewer) -> Message {
    match output {
        ToViewer::Started(id, body) => response(200, 1, id).body(body.clone()),
        ToViewer::Refused(id, Some(retry_after)) => {
            response(503, 1, id).with("P-Back-Off", retry_after / 1_000_000)
        }
        ToViewer::Refused(id, None) => response(503, 1, id),
        ToViewer::Failed(id) => response(500, 1, id),
        ToViewer::Conflict(id) => response(455, 1, id),
        ToViewer::Ended(id, title, cause) => release(title, id, cause),
        ToViewer::Move(id, title) => request("REDIRECT", title, 2, id),
        ToViewer::Acknowledge(id) => response(200, 2, id),
        ToViewer::UnknownSession(id) => response(454, 2, id),
    }
}
