//! SDP offers and answers (RFC 8866) under the constraints of RFC 9725, section 4.4.

use sdp_types::{Attribute, Session};
use std::fmt;

/// Which way the media of a whole offer go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// `sendonly` (or `sendrecv`, tolerated): a publisher's, over WHIP.
    Send,
    /// `recvonly`: a viewer's, over WHEP.
    Receive,
}

/// An offer that passed the checks. `raw` is handed on unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The text as it came.
    pub raw: String,
    /// `<username> <sess-id>` of the `o=` line: names the peer's session (RFC 8866, 5.2).
    pub origin: String,
    /// Its `ice-ufrag`.
    pub ufrag: String,
    /// Which way the media go.
    pub direction: Direction,
    /// Kinds of the m-sections, in order.
    pub media: Vec<String>,
}

/// Why an offer cannot be served. All of them are the client's to mend (400).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferFault {
    /// Not SDP; the parser's words.
    Malformed(String),
    /// No m-sections.
    NoMedia,
    /// More than the bound on m-sections.
    TooManyMedia(usize),
    /// Not every m-section is in one BUNDLE group (RFC 9725, 4.4.1).
    NotBundled,
    /// An m-section without `a=rtcp-mux`, by number.
    NoRtcpMux(usize),
    /// `a=setup` is not `actpass` (RFC 9725, 4.4), by number.
    BadSetup(usize),
    /// No `a=fingerprint` for an m-section, by number.
    NoFingerprint(usize),
    /// No `a=ice-ufrag` and `a=ice-pwd` for an m-section, by number.
    NoIce(usize),
    /// The m-section goes the wrong way, by number.
    WrongDirection(usize, Direction),
}

impl fmt::Display for OfferFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "the body is no SDP: {what}"),
            Self::NoMedia => f.write_str("the offer has no m-sections"),
            Self::TooManyMedia(n) => {
                write!(f, "the offer has {n} m-sections, {MOST_MEDIA} at most are taken")
            }
            Self::NotBundled => f.write_str("every m-section must be in one BUNDLE group"),
            Self::NoRtcpMux(i) => write!(f, "m-section {i} lacks a=rtcp-mux"),
            Self::BadSetup(i) => write!(f, "m-section {i} lacks a=setup:actpass"),
            Self::NoFingerprint(i) => write!(f, "m-section {i} has no a=fingerprint"),
            Self::NoIce(i) => write!(f, "m-section {i} has no a=ice-ufrag and a=ice-pwd"),
            Self::WrongDirection(i, Direction::Send) => {
                write!(f, "m-section {i} must be sendonly to publish (WHIP)")
            }
            Self::WrongDirection(i, Direction::Receive) => {
                write!(f, "m-section {i} must be recvonly to watch (WHEP)")
            }
        }
    }
}

impl std::error::Error for OfferFault {}

/// Every line is `<letter>=<value>` without control characters. The parser asserts as much after an m-line
/// and would panic on others (found by the property test below), so that it never sees them.
fn well_formed(raw: &str) -> Result<(), OfferFault> {
    for (n, line) in raw.lines().enumerate() {
        let b = line.as_bytes();
        let fits =
            b.len() >= 2 && b[0].is_ascii_lowercase() && b[1] == b'=' && !b.iter().any(u8::is_ascii_control);
        if !fits {
            return Err(OfferFault::Malformed(format!("line {} is not <letter>=<value>", n + 1)));
        }
    }
    Ok(())
}

/// m-sections of one offer at most: one of audio and one of video are usual.
const MOST_MEDIA: usize = 8;

fn value<'a>(attributes: &'a [Attribute], name: &str) -> Option<&'a str> {
    attributes.iter().find(|a| a.attribute == name).map(|a| a.value.as_deref().unwrap_or(""))
}

impl Offer {
    /// Reads an offer and checks it for the direction wanted.
    ///
    /// # Errors
    /// The first constraint that it breaks.
    pub fn parse(body: &[u8], wanted: Direction) -> Result<Self, OfferFault> {
        let raw = std::str::from_utf8(body).map_err(|_| OfferFault::Malformed("not UTF-8".into()))?;
        well_formed(raw)?;
        let sdp = Session::parse(body).map_err(|e| OfferFault::Malformed(e.to_string()))?;
        if sdp.origin.sess_id.is_empty() {
            return Err(OfferFault::Malformed("there is no o= line".into()));
        }
        let n = sdp.medias.len();
        match n {
            0 => return Err(OfferFault::NoMedia),
            n if n > MOST_MEDIA => return Err(OfferFault::TooManyMedia(n)),
            _ => {}
        }
        let groups =
            sdp.attributes.iter().filter(|a| a.attribute == "group").filter_map(|a| a.value.as_deref());
        let bundle: Vec<Vec<&str>> = groups
            .filter_map(|g| g.strip_prefix("BUNDLE"))
            .map(|g| g.split_ascii_whitespace().collect())
            .collect();
        let bundled = |mid: &str| bundle.first().is_some_and(|g| g.contains(&mid));
        let mut ufrag = None;
        for (i, m) in sdp.medias.iter().enumerate() {
            // Attributes of the session hold for each m-section that has none of its own (RFC 8866, 5.13).
            let get = |name: &str| value(&m.attributes, name).or_else(|| value(&sdp.attributes, name));
            if !value(&m.attributes, "mid").is_some_and(bundled) || bundle.len() != 1 {
                return Err(OfferFault::NotBundled);
            }
            if get("rtcp-mux").is_none() {
                return Err(OfferFault::NoRtcpMux(i));
            }
            if get("setup") != Some("actpass") {
                return Err(OfferFault::BadSetup(i));
            }
            if get("fingerprint").is_none_or(|f| f.split_ascii_whitespace().count() != 2) {
                return Err(OfferFault::NoFingerprint(i));
            }
            let credentials = (get("ice-ufrag"), get("ice-pwd"));
            let (Some(fragment), Some(_)) = credentials else { return Err(OfferFault::NoIce(i)) };
            ufrag.get_or_insert_with(|| fragment.to_owned());
            let has = |name: &str| value(&m.attributes, name).is_some();
            let fits = match wanted {
                // sendrecv is tolerated, and is the default where nothing is said (RFC 8866, 6.7).
                Direction::Send => !has("recvonly") && !has("inactive"),
                Direction::Receive => has("recvonly"),
            };
            if !fits {
                return Err(OfferFault::WrongDirection(i, wanted));
            }
        }
        Ok(Self {
            raw: raw.to_owned(),
            origin: format!("{} {}", sdp.origin.username.as_deref().unwrap_or("-"), sdp.origin.sess_id),
            ufrag: ufrag.unwrap_or_default(),
            direction: wanted,
            media: sdp.medias.iter().map(|m| m.media.clone()).collect(),
        })
    }
}

/// The answer of a peer with these ICE credentials, in the other direction, `a=setup:passive`.
///
/// # Errors
/// When the offer is no longer SDP; an [`Offer`] that was parsed always is.
pub fn answer_to(offer: &Offer, session: &str, ufrag: &str, pwd: &str) -> Result<String, OfferFault> {
    let sdp = Session::parse(offer.raw.as_bytes()).map_err(|e| OfferFault::Malformed(e.to_string()))?;
    let way = if offer.direction == Direction::Send { "recvonly" } else { "sendonly" };
    let mut out = format!("v=0\r\no=- {session} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\n");
    if let Some(group) = value(&sdp.attributes, "group") {
        out += &format!("a=group:{group}\r\n");
    }
    out += "a=ice-lite\r\n";
    for m in &sdp.medias {
        let mid = value(&m.attributes, "mid").unwrap_or("0");
        out += &format!("m={} 9 {} {}\r\nc=IN IP4 127.0.0.1\r\n", m.media, m.proto, m.fmt);
        out += &format!("a=mid:{mid}\r\na=ice-ufrag:{ufrag}\r\na=ice-pwd:{pwd}\r\n");
        out += &format!("a=fingerprint:sha-256 {}\r\na=setup:passive\r\na=rtcp-mux\r\na={way}\r\n", STAND_IN);
        for map in m.attributes.iter().filter(|a| a.attribute == "rtpmap") {
            out += &format!("a=rtpmap:{}\r\n", map.value.as_deref().unwrap_or(""));
        }
    }
    Ok(out)
}

/// No certificate's: stand-in nodes send no media and never do a DTLS handshake.
const STAND_IN: &str =
    "00:11:22:33:44:55:66:77:88:99:AA:BB:CC:DD:EE:FF:00:11:22:33:44:55:66:77:88:99:AA:BB:CC:DD:EE:FF";

/// An offer as a browser writes it, in short: one audio and one video section, for viewers and tests.
#[must_use]
pub fn sample_offer(session: u64, direction: Direction) -> String {
    let way = if direction == Direction::Send { "sendonly" } else { "recvonly" };
    let mut out =
        format!("v=0\r\no=viewer {session} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0 1\r\n");
    for (mid, kind, fmt, codec) in [(0, "audio", 111, "opus/48000/2"), (1, "video", 96, "VP8/90000")] {
        out += &format!(
            "m={kind} 9 UDP/TLS/RTP/SAVPF {fmt}\r\nc=IN IP4 0.0.0.0\r\na=mid:{mid}\r\na=ice-ufrag:u{session:x}\r\n\
             a=ice-pwd:p{session:022x}\r\na=fingerprint:sha-256 {STAND_IN}\r\na=setup:actpass\r\na=rtcp-mux\r\n\
             a={way}\r\na=rtpmap:{fmt} {codec}\r\n"
        );
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_browsers_offer_passes_and_its_answer_goes_the_other_way() {
        for (way, back) in [(Direction::Send, "a=recvonly"), (Direction::Receive, "a=sendonly")] {
            let offer = Offer::parse(sample_offer(7, way).as_bytes(), way).expect("an offer");
            assert_eq!((offer.origin.as_str(), offer.ufrag.as_str()), ("viewer 7", "u7"));
            let answer = answer_to(&offer, "12", "ab", "cd").expect("an answer");
            assert!(answer.contains(back) && answer.contains("a=setup:passive"));
            assert!(Session::parse(answer.as_bytes()).is_ok());
        }
    }

    #[test]
    fn each_broken_constraint_is_named() {
        let good = sample_offer(7, Direction::Receive);
        for (from, to, fault) in [
            ("a=group:BUNDLE 0 1\r\n", "", OfferFault::NotBundled),
            ("BUNDLE 0 1", "BUNDLE 0", OfferFault::NotBundled),
            ("a=rtcp-mux\r\n", "", OfferFault::NoRtcpMux(0)),
            ("actpass", "active", OfferFault::BadSetup(0)),
            ("a=fingerprint:sha-256", "a=x:y", OfferFault::NoFingerprint(0)),
            ("a=ice-pwd", "a=x", OfferFault::NoIce(0)),
            ("recvonly", "sendonly", OfferFault::WrongDirection(0, Direction::Receive)),
        ] {
            assert_eq!(Offer::parse(good.replace(from, to).as_bytes(), Direction::Receive), Err(fault));
        }
        let empty = b"v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\n";
        assert_eq!(Offer::parse(empty, Direction::Send), Err(OfferFault::NoMedia));
        assert!(matches!(Offer::parse(b"v=0\r\n", Direction::Send), Err(OfferFault::Malformed(_))));
        assert!(matches!(
            Offer::parse(&good.as_bytes()[2..], Direction::Send),
            Err(OfferFault::Malformed(_))
        ));
        assert!(matches!(Offer::parse(&[0xff, 0xfe], Direction::Send), Err(OfferFault::Malformed(_))));
    }

    proptest::proptest! {
        #[test]
        fn no_bytes_make_it_panic(cut in 0usize..900, at in 0usize..900, byte: u8) {
            let mut sdp = sample_offer(3, Direction::Receive).into_bytes();
            let n = sdp.len();
            sdp[at % n] = byte;
            sdp.truncate(cut.min(n));
            if let Ok(offer) = Offer::parse(&sdp, Direction::Receive) {
                proptest::prop_assert!(answer_to(&offer, "1", "a", "b").is_ok());
            }
        }
    }
}
