//! Parts of the RTSP messages that are the same toward viewers and toward nodes: ids as text, and common messages.

use pepperhook::SessionId;
use pepperhook_rtsp::Message;

/// Prefix of every title's URI.
pub const ROOT: &str = "rtsp://media/";

/// Formats an id as 16 lower-case hex digits.
pub fn format_id(id: u64) -> String {
    format!("{id:016x}")
}

/// Parses 16 lower-case hex digits. Other spellings are rejected, since an id is written back exactly as it was read.
pub fn parse_id(text: &str) -> Option<u64> {
    let is_canonical =
        text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    is_canonical.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// A response on a session to the request with this `CSeq` number.
pub fn response(status: u16, cseq: u64, id: &SessionId) -> Message {
    Message::response(status).with("CSeq", cseq).with("Session", format_id(id.0))
}

/// A request on a session with this `CSeq` number.
pub fn request(method: &str, title: &u64, cseq: u64, id: &SessionId) -> Message {
    let uri = format!("{ROOT}{}", format_id(*title));
    Message::request(method, uri).with("CSeq", cseq).with("Session", format_id(id.0))
}

/// A request that ends an established session, with its cause code.
pub fn release(title: &u64, id: &SessionId, cause: &u16) -> Message {
    request("TEARDOWN", title, 2, id).with("Reason", format!("cause={cause}"))
}
