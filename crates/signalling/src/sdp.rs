//! SDP offers (RFC 8866) under the constraints of RFC 9725, section 4.4, and the syntax checks that answers share.

use sdp_types::{Attribute, Session};
use std::fmt;

/// Direction of the media of an offer, seen from the peer that makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// `sendonly` (`sendrecv` is tolerated): a publisher's offer, over WHIP.
    Send,
    /// `recvonly`: a viewer's offer, over WHEP.
    Receive,
}

/// An SDP offer that passed the checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The text as received, which is passed on unchanged.
    pub raw: String,
    /// `<username> <sess-id>` of the `o=` line, which identify the peer's session (RFC 8866, 5.2).
    pub origin: String,
    /// The `ice-ufrag` of the first m-section.
    pub ufrag: String,
    /// Direction of the media.
    pub direction: Direction,
    /// Kinds of the m-sections (`audio`, `video`), in order.
    pub media: Vec<String>,
}

/// Why an offer is rejected. All of these are errors of the client (400). m-sections are counted from 0.
///
/// The messages are details of problem responses: clients may match them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferError {
    /// Not SDP; the parser's message.
    Malformed(String),
    /// No m-sections.
    NoMedia,
    /// The number of m-sections, which is more than the maximum.
    TooManyMedia(usize),
    /// The m-sections are not all in a single BUNDLE group (RFC 9725, 4.4.1).
    NotBundled,
    /// The m-section has no `a=rtcp-mux`.
    NoRtcpMux(usize),
    /// The m-section's `a=setup` is not `actpass` (RFC 9725, 4.4).
    BadSetup(usize),
    /// The m-section has no `a=fingerprint`.
    NoFingerprint(usize),
    /// The m-section has no `a=ice-ufrag` or no `a=ice-pwd`.
    NoIce(usize),
    /// The m-section's `ice-ufrag` or `ice-pwd` has a length or a character that RFC 8839, 5.4 does not allow.
    BadIce(usize),
    /// The m-section's fingerprint is malformed (RFC 8122, 5).
    BadFingerprint(usize),
    /// The m-section has a malformed candidate line (RFC 8839, 5.1).
    BadCandidate(usize),
    /// The answering peer supports no codec of the m-section.
    NoCodec(usize),
    /// The m-section does not have this direction, which was expected.
    WrongDirection(usize, Direction),
}

impl fmt::Display for OfferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(message) => write!(f, "the body is no SDP: {message}"),
            Self::NoMedia => f.write_str("the offer has no m-sections"),
            Self::TooManyMedia(n) => {
                write!(f, "the offer has {n} m-sections, {MAX_MEDIA_SECTIONS} at most are taken")
            }
            Self::NotBundled => f.write_str("every m-section must be in one BUNDLE group"),
            Self::NoRtcpMux(i) => write!(f, "m-section {i} lacks a=rtcp-mux"),
            Self::BadSetup(i) => write!(f, "m-section {i} lacks a=setup:actpass"),
            Self::NoFingerprint(i) => write!(f, "m-section {i} has no a=fingerprint"),
            Self::NoIce(i) => write!(f, "m-section {i} has no a=ice-ufrag and a=ice-pwd"),
            Self::BadIce(i) => {
                write!(f, "m-section {i}: ice-ufrag has 4 to 256 and ice-pwd 22 to 256 of A-Z a-z 0-9 + /")
            }
            Self::BadFingerprint(i) => {
                write!(f, "m-section {i}: a=fingerprint is a hash's name and its bytes in hexadecimal")
            }
            Self::BadCandidate(i) => write!(f, "m-section {i} has an a=candidate that is none"),
            Self::NoCodec(i) => write!(f, "m-section {i} offers no codec that is known"),
            Self::WrongDirection(i, Direction::Send) => {
                write!(f, "m-section {i} must be sendonly to publish (WHIP)")
            }
            Self::WrongDirection(i, Direction::Receive) => {
                write!(f, "m-section {i} must be recvonly to watch (WHEP)")
            }
        }
    }
}

impl std::error::Error for OfferError {}

/// Checks that every line is `<letter>=<value>` without control characters. Other lines must not reach `sdp_types`: it
/// asserts this form after an m-line and panics otherwise (found by the property test below).
pub(crate) fn check_line_syntax(raw: &str) -> Result<(), OfferError> {
    for (n, line) in raw.lines().enumerate() {
        let b = line.as_bytes();
        let is_valid =
            b.len() >= 2 && b[0].is_ascii_lowercase() && b[1] == b'=' && !b.iter().any(u8::is_ascii_control);
        if !is_valid {
            return Err(OfferError::Malformed(format!("line {} is not <letter>=<value>", n + 1)));
        }
    }
    Ok(())
}

/// Maximum number of m-sections in an offer; usual offers have one for audio and one for video.
const MAX_MEDIA_SECTIONS: usize = 8;

/// The value of the first attribute of this name; empty for one without value.
pub(crate) fn value<'a>(attributes: &'a [Attribute], name: &str) -> Option<&'a str> {
    attributes.iter().find(|a| a.attribute == name).map(|a| a.value.as_deref().unwrap_or(""))
}

/// Whether there are an `ice-ufrag` of 4 to 256 and an `ice-pwd` of 22 to 256 characters, each a letter, a digit, `+`
/// or `/` (RFC 8839, 5.4).
pub(crate) fn are_ice_credentials(ufrag: Option<&str>, pwd: Option<&str>) -> bool {
    let is_valid = |text: &str, min_chars: usize| {
        let is_ice_char = |b: u8| b.is_ascii_alphanumeric() || b == b'+' || b == b'/';
        (min_chars..=256).contains(&text.len()) && text.bytes().all(is_ice_char)
    };
    ufrag.is_some_and(|u| is_valid(u, 4)) && pwd.is_some_and(|p| is_valid(p, 22))
}

/// Whether the text is a hash function's name and its digest, bytes of two hexadecimal digits separated by colons
/// (RFC 8122, 5).
pub(crate) fn is_fingerprint(text: &str) -> bool {
    let Some((hash, digest)) = text.split_once(' ') else { return false };
    let digest_bytes = match hash.to_ascii_lowercase().as_str() {
        "sha-1" => 20,
        "sha-224" => 28,
        "sha-256" => 32,
        "sha-384" => 48,
        "sha-512" => 64,
        _ => return false,
    };
    let bytes: Vec<&str> = digest.split(':').collect();
    bytes.len() == digest_bytes
        && bytes.iter().all(|b| b.len() == 2 && b.bytes().all(|b| b.is_ascii_hexdigit()))
}

/// Whether the text has the fields foundation, component, transport, priority, address, port, `typ` and a type
/// (RFC 8839, 5.1).
pub(crate) fn is_candidate(text: &str) -> bool {
    let fields: Vec<&str> = text.split_ascii_whitespace().collect();
    fields.len() >= 8
        && (1..=32).contains(&fields[0].len())
        && fields[1].parse::<u16>().is_ok_and(|c| (1..=256).contains(&c))
        && fields[3].parse::<u32>().is_ok()
        && fields[5].parse::<u16>().is_ok()
        && fields[6] == "typ"
}

impl Offer {
    /// Parses an offer and checks that it has the expected direction.
    ///
    /// # Errors
    /// The first constraint that the offer violates.
    pub fn parse(body: &[u8], expected: Direction) -> Result<Self, OfferError> {
        let raw = std::str::from_utf8(body).map_err(|_| OfferError::Malformed("not UTF-8".into()))?;
        check_line_syntax(raw)?;
        let sdp = Session::parse(body).map_err(|e| OfferError::Malformed(e.to_string()))?;
        if sdp.origin.sess_id.is_empty() {
            return Err(OfferError::Malformed("there is no o= line".into()));
        }
        match sdp.medias.len() {
            0 => return Err(OfferError::NoMedia),
            n if n > MAX_MEDIA_SECTIONS => return Err(OfferError::TooManyMedia(n)),
            _ => {}
        }
        let groups =
            sdp.attributes.iter().filter(|a| a.attribute == "group").filter_map(|a| a.value.as_deref());
        let bundles: Vec<Vec<&str>> = groups
            .filter_map(|g| g.strip_prefix("BUNDLE"))
            .map(|g| g.split_ascii_whitespace().collect())
            .collect();
        let is_bundled = |mid: &str| bundles.first().is_some_and(|g| g.contains(&mid));
        let mut ufrag = None;
        for (index, media) in sdp.medias.iter().enumerate() {
            // A session attribute applies to each m-section without an attribute of that name (RFC 8866, 5.13).
            let get = |name: &str| value(&media.attributes, name).or_else(|| value(&sdp.attributes, name));
            if !value(&media.attributes, "mid").is_some_and(is_bundled) || bundles.len() != 1 {
                return Err(OfferError::NotBundled);
            }
            if get("rtcp-mux").is_none() {
                return Err(OfferError::NoRtcpMux(index));
            }
            if get("setup") != Some("actpass") {
                return Err(OfferError::BadSetup(index));
            }
            match get("fingerprint") {
                None => return Err(OfferError::NoFingerprint(index)),
                Some(f) if !is_fingerprint(f) => return Err(OfferError::BadFingerprint(index)),
                Some(_) => {}
            }
            let (ice_ufrag, ice_pwd) = (get("ice-ufrag"), get("ice-pwd"));
            let (Some(section_ufrag), Some(_)) = (ice_ufrag, ice_pwd) else {
                return Err(OfferError::NoIce(index));
            };
            if !are_ice_credentials(ice_ufrag, ice_pwd) {
                return Err(OfferError::BadIce(index));
            }
            let mut candidates = media.attributes.iter().filter(|a| a.attribute == "candidate");
            if candidates.any(|c| !c.value.as_deref().is_some_and(is_candidate)) {
                return Err(OfferError::BadCandidate(index));
            }
            ufrag.get_or_insert_with(|| section_ufrag.to_owned());
            let has = |name: &str| value(&media.attributes, name).is_some();
            let has_direction = match expected {
                // sendrecv is tolerated, and is the default without a direction attribute (RFC 8866, 6.7).
                Direction::Send => !has("recvonly") && !has("inactive"),
                Direction::Receive => has("recvonly"),
            };
            if !has_direction {
                return Err(OfferError::WrongDirection(index, expected));
            }
        }
        Ok(Self {
            raw: raw.to_owned(),
            origin: format!("{} {}", sdp.origin.username.as_deref().unwrap_or("-"), sdp.origin.sess_id),
            ufrag: ufrag.unwrap_or_default(),
            direction: expected,
            media: sdp.medias.iter().map(|m| m.media.clone()).collect(),
        })
    }
}

/// Fingerprint of no certificate: stand-in nodes send no media and never do a DTLS handshake.
pub(crate) const PLACEHOLDER_FINGERPRINT: &str =
    "00:11:22:33:44:55:66:77:88:99:AA:BB:CC:DD:EE:FF:00:11:22:33:44:55:66:77:88:99:AA:BB:CC:DD:EE:FF";

/// A minimal offer in the form that browsers send, with one audio and one video section, for simulated viewers and
/// tests.
#[must_use]
pub fn sample_offer(session: u64, direction: Direction) -> String {
    let direction_attribute = if direction == Direction::Send { "sendonly" } else { "recvonly" };
    let mut out =
        format!("v=0\r\no=viewer {session} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0 1\r\n");
    for (mid, kind, fmt, codec) in [(0, "audio", 111, "opus/48000/2"), (1, "video", 96, "VP8/90000")] {
        out += &format!(
            "m={kind} 9 UDP/TLS/RTP/SAVPF {fmt}\r\nc=IN IP4 0.0.0.0\r\na=mid:{mid}\r\na=ice-ufrag:u{session:08x}\r\n\
             a=ice-pwd:p{session:022x}\r\na=fingerprint:sha-256 {PLACEHOLDER_FINGERPRINT}\r\na=setup:actpass\r\na=rtcp-mux\r\n\
             a={direction_attribute}\r\na=rtpmap:{fmt} {codec}\r\n"
        );
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_browsers_offer_is_accepted() {
        for direction in [Direction::Send, Direction::Receive] {
            let offer = Offer::parse(sample_offer(7, direction).as_bytes(), direction).expect("an offer");
            assert_eq!((offer.origin.as_str(), offer.ufrag.as_str()), ("viewer 7", "u00000007"));
        }
    }

    #[test]
    fn each_violated_constraint_is_reported() {
        let good = sample_offer(7, Direction::Receive);
        for (from, to, error) in [
            ("a=group:BUNDLE 0 1\r\n", "", OfferError::NotBundled),
            ("BUNDLE 0 1", "BUNDLE 0", OfferError::NotBundled),
            ("a=rtcp-mux\r\n", "", OfferError::NoRtcpMux(0)),
            ("actpass", "active", OfferError::BadSetup(0)),
            ("a=fingerprint:sha-256", "a=x:y", OfferError::NoFingerprint(0)),
            ("a=ice-pwd", "a=x", OfferError::NoIce(0)),
            ("ice-ufrag:u00000007", "ice-ufrag:u07", OfferError::BadIce(0)),
            ("ice-pwd:p", "ice-pwd:_", OfferError::BadIce(0)),
            ("sha-256 00:11", "sha-256 00:1", OfferError::BadFingerprint(0)),
            ("sha-256", "md5", OfferError::BadFingerprint(0)),
            (
                "a=rtcp-mux",
                "a=candidate:1 1 udp x 1.2.3.4 9 typ host\r\na=rtcp-mux",
                OfferError::BadCandidate(0),
            ),
            ("recvonly", "sendonly", OfferError::WrongDirection(0, Direction::Receive)),
        ] {
            assert_eq!(Offer::parse(good.replace(from, to).as_bytes(), Direction::Receive), Err(error));
        }
        let empty = b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\n";
        assert_eq!(Offer::parse(empty, Direction::Send), Err(OfferError::NoMedia));
        assert!(matches!(Offer::parse(b"v=0\r\n", Direction::Send), Err(OfferError::Malformed(_))));
        assert!(matches!(
            Offer::parse(&good.as_bytes()[2..], Direction::Send),
            Err(OfferError::Malformed(_))
        ));
        assert!(matches!(Offer::parse(&[0xff, 0xfe], Direction::Send), Err(OfferError::Malformed(_))));
    }

    proptest::proptest! {
        /// If the damaged offer is still accepted and can be answered, the answer passes the check.
        #[test]
        fn damaged_offers_do_not_panic(cut in 0usize..900, at in 0usize..900, byte: u8) {
            let mut sdp = sample_offer(3, Direction::Receive).into_bytes();
            let n = sdp.len();
            sdp[at % n] = byte;
            sdp.truncate(cut.min(n));
            if let Ok(offer) = Offer::parse(&sdp, Direction::Receive) {
                let answer = crate::answer::answer_to(&offer, "1", "abcd", "0123456789012345678901");
                let is_valid = |a: &String| crate::answer::check_answer(&offer, a.as_bytes()).is_ok();
                proptest::prop_assert!(answer.as_ref().is_err() || answer.as_ref().is_ok_and(is_valid), "{answer:?}");
            }
        }
    }
}
