//! The face to nodes.

use crate::core::{FromNode, ProbeId, ToNode};
use crate::wire::{ROOT, answer, id, id_text, release, request};
use pepperhook::{NotificationKind, Outcome, SessionId};
use pepperhook_parameters::Sockets;
use pepperhook_rtsp::{Message, StartLine};

/// A message that a node may not send; its connection is of no further use.
#[derive(Debug)]
pub struct Bad;

/// Reads a message of a node.
pub fn read(m: &Message, known: &Sockets) -> Result<FromNode, Bad> {
    let session = m.field("Session").and_then(id);
    let number = m.field("CSeq").unwrap_or("");
    let report = || report(m.field("P-Load"), known);
    match (&m.start, session) {
        (StartLine::Response(100..=199), _) => Ok(FromNode::Other),
        (StartLine::Response(status), Some(session)) => Ok(match (number, *status) {
            ("1", 200) => FromNode::Plays(SessionId(session), m.body.clone()),
            ("1", status) => {
                FromNode::Ended(SessionId(session), outcome(status), report().unwrap_or_default())
            }
            ("2", _) => FromNode::Heard(SessionId(session)),
            // A node that has no report yet passes its test without one.
            ("3", 200) => FromNode::Load(ProbeId(session), Some(report().unwrap_or_default())),
            ("3", _) => FromNode::Load(ProbeId(session), None),
            _ => FromNode::Other,
        }),
        (StartLine::Response(_), None) => Err(Bad),
        (StartLine::Request(method, _), session) => match (method.as_str(), session) {
            ("TEARDOWN", Some(session)) => {
                Ok(FromNode::Over(SessionId(session), end(m.field("Reason")), report().unwrap_or_default()))
            }
            ("ANNOUNCE", Some(session)) => {
                let kind = match m.field("Warning-Word") {
                    Some("delivered") => NotificationKind::Delivered,
                    Some("rung") => NotificationKind::Rung,
                    Some("link") => NotificationKind::LinkUse,
                    Some("uplink") => NotificationKind::UplinkUse,
                    _ => return Ok(FromNode::Other),
                };
                let value = m.field("X-Value").and_then(|v| v.parse::<f64>().ok()).filter(|v| v.is_finite());
                Ok(value.map_or(FromNode::Other, |v| FromNode::Note(SessionId(session), kind, v)))
            }
            _ => Ok(FromNode::Other),
        },
    }
}

/// How a set-up ended by the status of its answer. What proves that it never ran: 453, full, and 454, never left.
fn outcome(status: u16) -> Outcome {
    match status {
        453 => Outcome::Full,
        454 => Outcome::Unsent,
        504 => Outcome::LinkBroken,
        _ => Outcome::Error,
    }
}

/// How a session ended by the cause of its release.
fn end(reason: Option<&str>) -> Outcome {
    let cause = reason.and_then(|r| r.split(';').find_map(|p| p.trim().strip_prefix("cause=")));
    match cause.map(str::trim) {
        Some("16") => Outcome::Served,
        Some("31") => Outcome::Cancelled,
        _ => Outcome::Broken,
    }
}

/// The values of a load report, in the order of the settings; one that is missing is no number.
fn report(field: Option<&str>, known: &Sockets) -> Option<Vec<f64>> {
    let given: Vec<(&str, &str)> = field?.split(';').filter_map(|p| p.split_once(':')).collect();
    let value = |name: &String| {
        let found = given.iter().find(|(n, _)| n.trim() == name);
        found.and_then(|(_, v)| v.trim().parse::<f64>().ok()).unwrap_or(f64::NAN)
    };
    Some(known.fields.iter().map(value).collect())
}

/// What a node is told, as a message.
pub fn write(word: &ToNode, known: &Sockets) -> Message {
    match word {
        ToNode::SetUp { id, title, class, wait_ms, rung, body } => {
            let class = known.classes.get(usize::from(*class)).map_or("", String::as_str);
            let m = request("SETUP", title, 1, id).with("Priority-Class", class);
            m.with("Expires-Ms", wait_ms).with("X-Rung", rung).body(body.clone())
        }
        ToNode::GiveUp(id, title) => request("TEARDOWN", title, 2, id),
        ToNode::Release(id, title, cause) => release(title, id, cause),
        ToNode::Rung(id, title, rung) => request("SET_PARAMETER", title, 4, id).with("X-Rung", rung),
        ToNode::AskLoad(probe) => {
            let m = Message::request("OPTIONS", format!("{ROOT}load"));
            m.with("CSeq", 3).with("Session", id_text(probe.0))
        }
        ToNode::Heard(id) => answer(200, 2, id),
    }
}
