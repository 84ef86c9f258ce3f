//! SDP answers: what a front asks of a node's before it hands it to a viewer, and the one that stand-in nodes write.

use crate::sdp::{Direction, Offer, OfferFault, is_credentials, is_fingerprint, value, well_formed};
use sdp_types::{Media, Session};
use std::collections::BTreeSet;
use std::fmt;

/// Why a node's answer does not go to its viewer. Sections are counted from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Not SDP; the parser's words.
    Malformed(String),
    /// Another number of m-sections than the offer has (RFC 3264, 6).
    Sections(usize, usize),
    /// A section of another kind or `mid` than the offer's at its place.
    Order(usize),
    /// A section refused by its port while others are taken (RFC 9725, 4.4.1).
    PartlyTaken(usize),
    /// A group names a section that the offer's BUNDLE group does not (RFC 8843, 7.3), or none is there.
    Bundle,
    /// It goes the same way as the offer (RFC 3264, 6.1).
    Direction(usize),
    /// `a=setup` is neither `passive` nor `active` (RFC 5763, 5).
    Setup(usize),
    /// No credentials of the form that RFC 8839, 5.4 asks for.
    Credentials(usize),
    /// No fingerprint of the form that RFC 8122, 5 asks for.
    Fingerprint(usize),
    /// No `a=rtcp-mux`, which the offer asks for.
    RtcpMux(usize),
    /// None of its formats was offered (RFC 3264, 6.1).
    Formats(usize),
    /// A payload for retransmission without the one that it retransmits (RFC 4588, 8.6).
    Retransmission(usize),
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "the answer is no SDP: {what}"),
            Self::Sections(n, of) => write!(f, "the answer has {n} m-sections, the offer {of}"),
            Self::Order(i) => write!(f, "m-section {i} is another one than the offer's"),
            Self::PartlyTaken(i) => write!(f, "m-section {i} is refused and others are not"),
            Self::Bundle => f.write_str("its BUNDLE group is not within the offer's"),
            Self::Direction(i) => write!(f, "m-section {i} goes the same way as the offer"),
            Self::Setup(i) => write!(f, "m-section {i} lacks a=setup:passive or active"),
            Self::Credentials(i) => {
                write!(f, "m-section {i} has no ice-ufrag of 4 to 256 and ice-pwd of 22 to 256 characters")
            }
            Self::Fingerprint(i) => write!(f, "m-section {i} has no fingerprint that can be one"),
            Self::RtcpMux(i) => write!(f, "m-section {i} lacks a=rtcp-mux"),
            Self::Formats(i) => write!(f, "m-section {i} takes no format that was offered"),
            Self::Retransmission(i) => write!(f, "m-section {i} has an rtx payload without its apt"),
        }
    }
}

impl std::error::Error for AnswerFault {}

/// Checks a node's answer against the offer that it answers.
///
/// # Errors
/// The first thing for which a browser would reject it.
pub fn check_answer(offer: &Offer, body: &[u8]) -> Result<(), AnswerFault> {
    let malformed = |e: String| AnswerFault::Malformed(e);
    let raw = std::str::from_utf8(body).map_err(|_| malformed("not UTF-8".into()))?;
    well_formed(raw).map_err(|e| malformed(e.to_string()))?;
    let answer = Session::parse(body).map_err(|e| malformed(e.to_string()))?;
    let offered = Session::parse(offer.raw.as_bytes()).map_err(|e| malformed(e.to_string()))?;
    if answer.medias.len() != offered.medias.len() {
        return Err(AnswerFault::Sections(answer.medias.len(), offered.medias.len()));
    }
    let group = |s: &Session| -> Option<BTreeSet<String>> {
        let all = s.attributes.iter().filter(|a| a.attribute == "group").filter_map(|a| a.value.as_deref());
        all.filter_map(|g| g.strip_prefix("BUNDLE "))
            .next()
            .map(|g| g.split(' ').map(str::to_owned).collect())
    };
    let within = group(&offered).unwrap_or_default();
    if !group(&answer).is_some_and(|g| !g.is_empty() && g.is_subset(&within)) {
        return Err(AnswerFault::Bundle);
    }
    for (i, (a, o)) in answer.medias.iter().zip(&offered.medias).enumerate() {
        section(&answer, a, o, offer.direction, i)?;
    }
    Ok(())
}

fn section(answer: &Session, a: &Media, o: &Media, offered: Direction, i: usize) -> Result<(), AnswerFault> {
    let get = |name: &str| value(&a.attributes, name).or_else(|| value(&answer.attributes, name));
    if a.media != o.media || value(&a.attributes, "mid") != value(&o.attributes, "mid") {
        return Err(AnswerFault::Order(i));
    }
    // Zero refuses a section, unless it is bundled with one that is taken (RFC 8843, 6).
    if a.port == 0 && value(&a.attributes, "bundle-only").is_none() {
        return Err(AnswerFault::PartlyTaken(i));
    }
    let has = |name: &str| value(&a.attributes, name).is_some();
    let turned = match offered {
        Direction::Send => has("recvonly"),
        Direction::Receive => has("sendonly"),
    };
    if !turned {
        return Err(AnswerFault::Direction(i));
    }
    if !matches!(get("setup"), Some("passive" | "active")) {
        return Err(AnswerFault::Setup(i));
    }
    if !is_credentials(get("ice-ufrag"), get("ice-pwd")) {
        return Err(AnswerFault::Credentials(i));
    }
    if !get("fingerprint").is_some_and(is_fingerprint) {
        return Err(AnswerFault::Fingerprint(i));
    }
    if get("rtcp-mux").is_none() {
        return Err(AnswerFault::RtcpMux(i));
    }
    let formats: BTreeSet<&str> = o.fmt.split_ascii_whitespace().collect();
    if !a.fmt.split_ascii_whitespace().any(|f| formats.contains(f)) {
        return Err(AnswerFault::Formats(i));
    }
    let rtx = codecs(a).into_iter().filter(|(_, codec)| codec == "rtx");
    for (payload, _) in rtx {
        let apt = fmtp(a, &payload).is_some_and(|p| p.split(';').any(|p| p.trim().starts_with("apt=")));
        if !apt {
            return Err(AnswerFault::Retransmission(i));
        }
    }
    Ok(())
}

/// Payloads of a section with the lower-case names of their codecs, in the order of its formats.
fn codecs(m: &Media) -> Vec<(String, String)> {
    let name = |payload: &str| {
        let maps = m.attributes.iter().filter(|a| a.attribute == "rtpmap").filter_map(|a| a.value.as_deref());
        let of = maps.filter_map(|v| v.split_once(' ')).find(|(p, _)| *p == payload);
        of.map(|(_, codec)| codec.split('/').next().unwrap_or("").to_ascii_lowercase())
    };
    m.fmt.split_ascii_whitespace().filter_map(|p| Some((p.to_owned(), name(p)?))).collect()
}

fn fmtp<'a>(m: &'a Media, payload: &str) -> Option<&'a str> {
    let all = m.attributes.iter().filter(|a| a.attribute == "fmtp").filter_map(|a| a.value.as_deref());
    all.filter_map(|v| v.split_once(' ')).find(|(p, _)| *p == payload).map(|(_, v)| v)
}

/// Codecs that stand-in nodes know.
const KNOWN: [&str; 5] = ["opus", "vp8", "vp9", "h264", "av1"];

/// Payloads of a section that are taken: known codecs, and retransmission of those.
fn taken(m: &Media) -> Vec<String> {
    let all = codecs(m);
    let known: BTreeSet<&str> =
        all.iter().filter(|(_, c)| KNOWN.contains(&c.as_str())).map(|(p, _)| p.as_str()).collect();
    let apt = |p: &str| {
        let apt = fmtp(m, p)?.split(';').find_map(|v| v.trim().strip_prefix("apt="))?;
        known.contains(apt).then_some(())
    };
    let takes = |(p, c): &&(String, String)| known.contains(p.as_str()) || (c == "rtx" && apt(p).is_some());
    all.iter().filter(takes).map(|(p, _)| p.clone()).collect()
}

/// The answer of a peer with these ICE credentials, in the other direction, `a=setup:passive`: formats, parameters,
/// feedback, header extensions and simulcast are taken over as far as they are known (RFC 8829, 5.3.1).
///
/// # Errors
/// When a section offers no codec that is known, or the offer is no longer SDP; an [`Offer`] that was parsed is.
pub fn answer_to(offer: &Offer, session: &str, ufrag: &str, pwd: &str) -> Result<String, OfferFault> {
    let sdp = Session::parse(offer.raw.as_bytes()).map_err(|e| OfferFault::Malformed(e.to_string()))?;
    let sends = offer.direction == Direction::Receive;
    let mut out = format!("v=0\r\no=- {session} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\n");
    if let Some(group) = value(&sdp.attributes, "group") {
        out += &format!("a=group:{group}\r\n");
    }
    out += "a=ice-lite\r\n";
    if value(&sdp.attributes, "extmap-allow-mixed").is_some() {
        out += "a=extmap-allow-mixed\r\n";
    }
    for (i, m) in sdp.medias.iter().enumerate() {
        let mid = value(&m.attributes, "mid").unwrap_or("0");
        let payloads = taken(m);
        if payloads.is_empty() {
            return Err(OfferFault::NoCodec(i));
        }
        out += &format!("m={} 9 {} {}\r\nc=IN IP4 127.0.0.1\r\n", m.media, m.proto, payloads.join(" "));
        out += &format!("a=mid:{mid}\r\na=ice-ufrag:{ufrag}\r\na=ice-pwd:{pwd}\r\n");
        out +=
            &format!("a=fingerprint:sha-256 {}\r\na=setup:passive\r\na=rtcp-mux\r\n", crate::sdp::STAND_IN);
        out += if sends { "a=sendonly\r\na=msid:stand-in stand-in-" } else { "a=recvonly\r\n" };
        if sends {
            out += &format!("{}\r\n", m.media);
        }
        for a in &m.attributes {
            let v = a.value.as_deref().unwrap_or("");
            let payload = v.split(' ').next().unwrap_or("");
            let of_taken = payloads.iter().any(|p| p == payload);
            match a.attribute.as_str() {
                "rtpmap" | "fmtp" if of_taken => out += &format!("a={}:{v}\r\n", a.attribute),
                "rtcp-fb" if of_taken || payload == "*" => out += &format!("a=rtcp-fb:{v}\r\n"),
                "extmap" => out += &format!("a=extmap:{v}\r\n"),
                "rtcp-rsize" => out += "a=rtcp-rsize\r\n",
                // Layers of a publisher are received as they are sent (RFC 8853, 5.3; RFC 8851, 5).
                "rid" if !sends => {
                    if let Some((id, rest)) = v.split_once(" send") {
                        out += &format!("a=rid:{id} recv{rest}\r\n");
                    }
                }
                "simulcast" if !sends => {
                    if let Some(layers) = v.strip_prefix("send ") {
                        out += &format!("a=simulcast:recv {layers}\r\n");
                    }
                }
                _ => {}
            }
        }
        out += "a=candidate:1 1 udp 2130706431 127.0.0.1 9 typ host\r\na=end-of-candidates\r\n";
    }
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sdp::sample_offer;

    const UFRAG: &str = "node";
    const PWD: &str = "standinpassword0123456789";

    fn offer(way: Direction) -> Offer {
        Offer::parse(sample_offer(7, way).as_bytes(), way).expect("an offer")
    }

    #[test]
    fn the_answer_goes_the_other_way_and_passes_its_check() {
        for (way, back) in [(Direction::Send, "a=recvonly"), (Direction::Receive, "a=sendonly")] {
            let offer = offer(way);
            let answer = answer_to(&offer, "12", UFRAG, PWD).expect("an answer");
            assert!(answer.contains(back) && answer.contains("a=setup:passive"));
            assert_eq!(check_answer(&offer, answer.as_bytes()), Ok(()));
        }
    }

    #[test]
    fn what_a_browser_would_reject_is_named() {
        let offer = offer(Direction::Receive);
        let good = answer_to(&offer, "12", UFRAG, PWD).expect("an answer");
        let video = good.find("m=video").expect("video");
        let (audio, rest) = good.split_at(video);
        for (bad, fault) in [
            (good.replace("ice-ufrag:node", "ice-ufrag:n1"), AnswerFault::Credentials(0)),
            (good.replace(PWD, "short"), AnswerFault::Credentials(0)),
            (good.replace(PWD, "no-dash-in-a-password-0123456789"), AnswerFault::Credentials(0)),
            (audio.to_owned(), AnswerFault::Sections(1, 2)),
            (good.replace("m=video", "m=audio"), AnswerFault::Order(1)),
            (good.replace("a=mid:1", "a=mid:2"), AnswerFault::Order(1)),
            (audio.to_owned() + &rest.replace("m=video 9", "m=video 0"), AnswerFault::PartlyTaken(1)),
            (good.replace("BUNDLE 0 1", "BUNDLE 0 1 2"), AnswerFault::Bundle),
            (good.replace("a=group:BUNDLE 0 1\r\n", ""), AnswerFault::Bundle),
            (good.replace("sendonly", "recvonly"), AnswerFault::Direction(0)),
            (good.replace("setup:passive", "setup:actpass"), AnswerFault::Setup(0)),
            (good.replace("00:11", "0:11"), AnswerFault::Fingerprint(0)),
            (good.replace("a=rtcp-mux\r\n", ""), AnswerFault::RtcpMux(0)),
            (good.replace("SAVPF 111", "SAVPF 99"), AnswerFault::Formats(0)),
            (good.replace("VP8/90000", "rtx/90000"), AnswerFault::Retransmission(1)),
        ] {
            assert_eq!(check_answer(&offer, bad.as_bytes()), Err(fault), "{bad}");
        }
        assert!(matches!(check_answer(&offer, b"hello"), Err(AnswerFault::Malformed(_))));
        assert!(matches!(check_answer(&offer, &[0xff]), Err(AnswerFault::Malformed(_))));
    }

    #[test]
    fn parameters_are_taken_over_and_what_is_not_known_is_left_out() {
        let more = "a=fmtp:96 x=1\r\na=rtcp-fb:96 nack pli\r\na=rtpmap:97 rtx/90000\r\na=fmtp:97 apt=96\r\n\
                    a=rtpmap:98 red/90000\r\na=extmap:4 urn:ietf:params:rtp-hdrext:sdes:mid\r\n\
                    a=rid:h send\r\na=rid:l send\r\na=simulcast:send h;l\r\n";
        let text = sample_offer(7, Direction::Send).replace("SAVPF 96", "SAVPF 96 97 98") + more;
        let offer = Offer::parse(text.as_bytes(), Direction::Send).expect("an offer");
        let answer = answer_to(&offer, "1", UFRAG, PWD).expect("an answer");
        for line in [
            "SAVPF 96 97\r\n",
            "a=fmtp:97 apt=96",
            "a=rtcp-fb:96 nack pli",
            "a=extmap:4 ",
            "a=rid:h recv",
            "a=simulcast:recv h;l",
        ] {
            assert!(answer.contains(line), "{line} in {answer}");
        }
        assert!(!answer.contains("red/90000"));
        assert_eq!(check_answer(&offer, answer.as_bytes()), Ok(()));
        let text = sample_offer(7, Direction::Send).replace("VP8", "X-NONE");
        let offer = Offer::parse(text.as_bytes(), Direction::Send).expect("an offer");
        assert_eq!(answer_to(&offer, "1", UFRAG, PWD), Err(OfferFault::NoCodec(1)));
    }

    proptest::proptest! {
        #[test]
        fn no_bytes_make_the_check_panic(at in 0usize..2_000, byte: u8, cut in 0usize..2_000) {
            let offer = offer(Direction::Receive);
            let mut answer = answer_to(&offer, "1", UFRAG, PWD).expect("an answer").into_bytes();
            let n = answer.len();
            answer[at % n] = byte;
            answer.truncate(cut.min(n));
            let _ = check_answer(&offer, &answer);
        }
    }
}
