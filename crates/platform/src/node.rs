//! Converts RTSP messages from nodes into [`FromNode`] values and [`ToNode`] values into messages.

use crate::core::{FromNode, ProbeId, ToNode};
use crate::wire::{ROOT, format_id, parse_id, release, request, response};
use pepperhook::{NotificationKind, Outcome, SessionId};
use pepperhook_parameters::SocketSettings;
use pepperhook_rtsp::{Message, StartLine};

/// A message that a node must not send: a response without a valid session id. The caller closes the connection.
#[derive(Debug)]
pub struct Unexpected;

/// Decodes a message from a node.
pub fn decode(m: &Message, settings: &SocketSettings) -> Result<FromNode, Unexpected> {
    let session = m.field("Session").and_then(parse_id);
    let cseq = m.field("CSeq").unwrap_or("");
    let report = || load_report(m.field("P-Load"), settings);
    match (&m.start, session) {
        (StartLine::Response(100..=199), _) => Ok(FromNode::Other),
        (StartLine::Response(status), Some(session)) => Ok(match (cseq, *status) {
            ("1", 200) => FromNode::Started(SessionId(session), m.body.clone()),
            ("1", status) => FromNode::SetUpFailed(
                SessionId(session),
                set_up_outcome(status),
                report().unwrap_or_default(),
            ),
            ("2", _) => FromNode::Acknowledged(SessionId(session)),
            // A node that has no load report yet answers the probe without one.
            ("3", 200) => FromNode::LoadReport(ProbeId(session), Some(report().unwrap_or_default())),
            ("3", _) => FromNode::LoadReport(ProbeId(session), None),
            _ => FromNode::Other,
        }),
        (StartLine::Response(_), None) => Err(Unexpected),
        (StartLine::Request(method, _), session) => match (method.as_str(), session) {
            ("TEARDOWN", Some(session)) => Ok(FromNode::SessionEnded(
                SessionId(session),
                release_outcome(m.field("Reason")),
                report().unwrap_or_default(),
            )),
            ("ANNOUNCE", Some(session)) => {
                let kind = match m.field("Warning-Word") {
                    Some("delivered") => NotificationKind::Delivered,
                    Some("rung") => NotificationKind::Rung,
                    Some("link") => NotificationKind::LinkUse,
                    Some("uplink") => NotificationKind::UplinkUse,
                    _ => return Ok(FromNode::Other),
                };
                let value = m.field("X-Value").and_then(|v| v.parse::<f64>().ok()).filter(|v| v.is_finite());
                Ok(value.map_or(FromNode::Other, |v| FromNode::Notification(SessionId(session), kind, v)))
            }
            _ => Ok(FromNode::Other),
        },
    }
}

/// The outcome of a set-up, from the status of its response. Two of them prove that the set-up never ran: 453 (the node
/// is full) and 454 (the request was never sent).
fn set_up_outcome(status: u16) -> Outcome {
    match status {
        453 => Outcome::Full,
        454 => Outcome::Unsent,
        504 => Outcome::LinkBroken,
        _ => Outcome::Error,
    }
}

/// The outcome of an established session, from the cause code of its release.
fn release_outcome(reason: Option<&str>) -> Outcome {
    let cause = reason.and_then(|r| r.split(';').find_map(|p| p.trim().strip_prefix("cause=")));
    match cause.map(str::trim) {
        Some("16") => Outcome::Served,
        Some("31") => Outcome::Cancelled,
        _ => Outcome::Broken,
    }
}

/// Parses the values of a load report, in the order of the settings. A missing or unreadable value becomes NaN.
fn load_report(field: Option<&str>, settings: &SocketSettings) -> Option<Vec<f64>> {
    let pairs: Vec<(&str, &str)> = field?.split(';').filter_map(|p| p.split_once(':')).collect();
    let value = |name: &String| {
        let found = pairs.iter().find(|(n, _)| n.trim() == name);
        found.and_then(|(_, v)| v.trim().parse::<f64>().ok()).unwrap_or(f64::NAN)
    };
    Some(settings.report_fields.iter().map(value).collect())
}

/// Encodes a message to a node.
pub fn encode(output: &ToNode, settings: &SocketSettings) -> Message {
    match output {
        ToNode::SetUp { id, title, class, wait_ms, rung, body } => {
            let class = settings.class_names.get(usize::from(*class)).map_or("", String::as_str);
            let m = request("SETUP", title, 1, id).with("Priority-Class", class);
            m.with("Expires-Ms", wait_ms).with("X-Rung", rung).body(body.clone())
        }
        ToNode::CancelSetUp(id, title) => request("TEARDOWN", title, 2, id),
        ToNode::Release(id, title, cause) => release(title, id, cause),
        ToNode::SetRung(id, title, rung) => request("SET_PARAMETER", title, 4, id).with("X-Rung", rung),
        ToNode::QueryLoad(probe) => {
            let m = Message::request("OPTIONS", format!("{ROOT}load"));
            m.with("CSeq", 3).with("Session", format_id(probe.0))
        }
        ToNode::Acknowledge(id) => response(200, 2, id),
    }
}
