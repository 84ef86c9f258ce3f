//! The face to viewers: what they may send, checked, and what they are told.

use crate::core::{Ask, ToViewer};
use pepperhook::{ClassId, ServerId, SessionId, TenantId, Time, TitleId, ViewerKey, Wish};
use pepperhook_parameters::Sockets;
use pepperhook_rtsp::{Message, Start};

/// Where titles are.
pub const ROOT: &str = "rtsp://media/";
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

/// An id as 16 hex digits.
pub fn id_text(id: u64) -> String {
    format!("{id:016x}")
}

/// Reads 16 lower-case hex digits, so that what is written again is what was read.
pub fn id(text: &str) -> Option<u64> {
    let plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    plain.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

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

/// Reads a message of a viewer. `ready` answers tests.
pub fn read(m: &Message, known: &Sockets, cells: u32, ready: bool) -> Result<FromViewer, Bad> {
    let Start::Request(method, uri) = &m.start else { return Ok(FromViewer::Nothing) };
    let bad = |status| Err(Bad(reply(status, m)));
    if !uri.starts_with(ROOT) || m.repeats("Session") || m.repeats("CSeq") {
        return bad(400);
    }
    let session = m.field("Session").and_then(id).map(SessionId);
    match (method.as_str(), session) {
        ("OPTIONS", _) => Ok(FromViewer::Test(reply(if ready { 200 } else { 503 }, m))),
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

fn ask(m: &Message, uri: &str, id: SessionId, known: &Sockets, cells: u32) -> Option<Ask> {
    let title = crate::viewer::id(&uri[ROOT.len()..])?;
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
            "viewer" => viewer = Some(crate::viewer::id(value)?),
            "again" => again = value == "1",
            "at" => at = Some(server(value)?),
            _ => {}
        }
    }
    let deadline = known.deadlines.get(class).copied().unwrap_or(Time::MAX);
    if at.is_none() && patience > deadline.saturating_mul(PATIENCE) {
        return None;
    }
    let wish = Wish {
        viewer: ViewerKey(viewer?),
        class: ClassId(u16::try_from(class).ok()?),
        tenant: TenantId(0),
        title: TitleId(title),
        home: home?,
        copies: copies?,
        top: top?,
        patience,
        length: length.map(|ms| (ms * 1e6) as Time),
        again,
    };
    Some(Ask { id, wish, body: m.body.clone(), at })
}

fn server(text: &str) -> Option<ServerId> {
    let digits =
        text.strip_prefix("s-").filter(|d| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u32::from_str_radix(digits, 16).ok().map(ServerId)
}

/// What a viewer is told, as a message.
pub fn write(word: &ToViewer) -> Message {
    let answer =
        |status, id: &SessionId| Message::response(status).with("CSeq", 1).with("Session", id_text(id.0));
    let request = |method, title: &u64, id: &SessionId| {
        let uri = format!("{ROOT}{}", id_text(*title));
        Message::request(method, uri).with("CSeq", 2).with("Session", id_text(id.0))
    };
    match word {
        ToViewer::Plays(id, body) => answer(200, id).body(body.clone()),
        ToViewer::Refused(id, advice) => match advice {
            Some(after) => answer(503, id).with("P-Back-Off", after / 1_000_000),
            None => answer(503, id),
        },
        ToViewer::Failed(id) => answer(500, id),
        ToViewer::Conflict(id) => answer(455, id),
        ToViewer::Over(id, title, cause) => {
            request("TEARDOWN", title, id).with("Reason", format!("cause={cause}"))
        }
        ToViewer::Move(id, title) => request("REDIRECT", title, id),
        ToViewer::Heard(id) => Message::response(200).with("CSeq", 2).with("Session", id_text(id.0)),
        ToViewer::Unknown(id) => Message::response(454).with("CSeq", 2).with("Session", id_text(id.0)),
    }
}
