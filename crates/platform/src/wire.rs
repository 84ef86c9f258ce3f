//! What both faces write alike: ids as text, and the messages that carry them.

use pepperhook::SessionId;
use pepperhook_rtsp::Message;

/// Where titles are.
pub const ROOT: &str = "rtsp://media/";

/// An id as 16 hex digits.
pub fn id_text(id: u64) -> String {
    format!("{id:016x}")
}

/// Reads 16 lower-case hex digits, so that what is written again is what was read.
pub fn id(text: &str) -> Option<u64> {
    let plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    plain.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A response to a request of this number on a session.
pub fn answer(status: u16, number: u64, id: &SessionId) -> Message {
    Message::response(status).with("CSeq", number).with("Session", id_text(id.0))
}

/// A request of this number on a session.
pub fn request(method: &str, title: &u64, number: u64, id: &SessionId) -> Message {
    let uri = format!("{ROOT}{}", id_text(*title));
    Message::request(method, uri).with("CSeq", number).with("Session", id_text(id.0))
}

/// A release of a session that stands.
pub fn release(title: &u64, id: &SessionId, cause: &u16) -> Message {
    request("TEARDOWN", title, 2, id).with("Reason", format!("cause={cause}"))
}
