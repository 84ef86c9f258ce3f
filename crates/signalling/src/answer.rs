//! SDP answers: the checks that a front makes before it passes a node's answer on to a viewer, and the answers that
//! stand-in nodes generate.

use crate::sdp::{
    Direction, Offer, OfferError, are_ice_credentials, check_line_syntax, is_fingerprint, value,
};
use sdp_types::{Media, Session};
use std::collections::BTreeSet;
use std::fmt;

/// Why a node's answer is not passed on to its viewer. m-sections are counted from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// Not SDP; the parser's message.
    Malformed(String),
    /// Number of m-sections in the answer and in the offer, which must be equal (RFC 3264, 6).
    SectionCount(usize, usize),
    /// The m-section's kind or `mid` differs from that of the offer's m-section at the same index.
    SectionMismatch(usize),
    /// The m-section is rejected by port 0; an answer must accept all of them (RFC 9725, 4.4.1).
    Rejected(usize),
    /// There is no BUNDLE group, or it has a `mid` that is not in the offer's group (RFC 8843, 7.3).
    BadBundle,
    /// The m-section does not have the reverse direction of the offer (RFC 3264, 6.1).
    WrongDirection(usize),
    /// `a=setup` is neither `passive` nor `active` (RFC 5763, 5).
    BadSetup(usize),
    /// `ice-ufrag` or `ice-pwd` is missing or not of the form in RFC 8839, 5.4.
    BadIce(usize),
    /// `a=fingerprint` is missing or not of the form in RFC 8122, 5.
    BadFingerprint(usize),
    /// No `a=rtcp-mux`, which the offer requires.
    NoRtcpMux(usize),
    /// None of the m-section's formats was offered (RFC 3264, 6.1).
    NoOfferedFormat(usize),
    /// A retransmission format without the format that it retransmits, its `apt` parameter (RFC 4588, 8.6).
    RtxWithoutApt(usize),
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(message) => write!(f, "the answer is not SDP: {message}"),
            Self::SectionCount(answer, offer) => {
                write!(f, "the answer has {answer} m-sections, must have {offer} as the offer")
            }
            Self::SectionMismatch(i) => {
                write!(f, "m-section {i} must have the kind and mid of the offer's m-section {i}")
            }
            Self::Rejected(i) => {
                write!(f, "m-section {i} is rejected by port 0 without a=bundle-only, must be accepted")
            }
            Self::BadBundle => {
                f.write_str("the answer needs a BUNDLE group with no mid that is not in the offer's group")
            }
            Self::WrongDirection(i) => {
                write!(f, "m-section {i} must be recvonly if the offer sends and sendonly if it receives")
            }
            Self::BadSetup(i) => write!(f, "m-section {i} needs a=setup:passive or a=setup:active"),
            Self::BadIce(i) => write!(
                f,
                "m-section {i} needs an ice-ufrag of 4 to 256 and an ice-pwd of 22 to 256 of A-Z a-z 0-9 + /"
            ),
            Self::BadFingerprint(i) => {
                write!(
                    f,
                    "m-section {i} needs an a=fingerprint of a SHA hash's name and its bytes in hexadecimal"
                )
            }
            Self::NoRtcpMux(i) => write!(f, "m-section {i} needs a=rtcp-mux"),
            Self::NoOfferedFormat(i) => write!(f, "m-section {i} has none of the formats that were offered"),
            Self::RtxWithoutApt(i) => {
                write!(f, "m-section {i} has an rtx format without the apt parameter in its a=fmtp")
            }
        }
    }
}

impl std::error::Error for AnswerError {}

/// Checks a node's answer against the offer that it answers.
///
/// # Errors
/// The first reason for which a browser would reject the answer.
pub fn check_answer(offer: &Offer, body: &[u8]) -> Result<(), AnswerError> {
    let malformed = |e: String| AnswerError::Malformed(e);
    let raw = std::str::from_utf8(body).map_err(|_| malformed("not UTF-8".into()))?;
    check_line_syntax(raw).map_err(|e| malformed(e.to_string()))?;
    let answer = Session::parse(body).map_err(|e| malformed(e.to_string()))?;
    let offered = Session::parse(offer.raw.as_bytes()).map_err(|e| malformed(e.to_string()))?;
    if answer.medias.len() != offered.medias.len() {
        return Err(AnswerError::SectionCount(answer.medias.len(), offered.medias.len()));
    }
    let bundled_mids = |s: &Session| -> Option<BTreeSet<String>> {
        let groups =
            s.attributes.iter().filter(|a| a.attribute == "group").filter_map(|a| a.value.as_deref());
        groups
            .filter_map(|g| g.strip_prefix("BUNDLE "))
            .next()
            .map(|g| g.split(' ').map(str::to_owned).collect())
    };
    let offered_mids = bundled_mids(&offered).unwrap_or_default();
    if !bundled_mids(&answer).is_some_and(|g| !g.is_empty() && g.is_subset(&offered_mids)) {
        return Err(AnswerError::BadBundle);
    }
    for (index, (media, offered)) in answer.medias.iter().zip(&offered.medias).enumerate() {
        check_section(&answer, media, offered, offer.direction, index)?;
    }
    Ok(())
}

/// Checks m-section `index` of the answer, `media`, against the one of the offer, `offered`.
fn check_section(
    answer: &Session,
    media: &Media,
    offered: &Media,
    offered_direction: Direction,
    index: usize,
) -> Result<(), AnswerError> {
    let get = |name: &str| value(&media.attributes, name).or_else(|| value(&answer.attributes, name));
    if media.media != offered.media || value(&media.attributes, "mid") != value(&offered.attributes, "mid") {
        return Err(AnswerError::SectionMismatch(index));
    }
    // Port 0 rejects an m-section, unless it is bundled with an accepted one (RFC 8843, 6).
    if media.port == 0 && value(&media.attributes, "bundle-only").is_none() {
        return Err(AnswerError::Rejected(index));
    }
    let has = |name: &str| value(&media.attributes, name).is_some();
    let is_reversed = match offered_direction {
        Direction::Send => has("recvonly"),
        Direction::Receive => has("sendonly"),
    };
    if !is_reversed {
        return Err(AnswerError::WrongDirection(index));
    }
    if !matches!(get("setup"), Some("passive" | "active")) {
        return Err(AnswerError::BadSetup(index));
    }
    if !are_ice_credentials(get("ice-ufrag"), get("ice-pwd")) {
        return Err(AnswerError::BadIce(index));
    }
    if !get("fingerprint").is_some_and(is_fingerprint) {
        return Err(AnswerError::BadFingerprint(index));
    }
    if get("rtcp-mux").is_none() {
        return Err(AnswerError::NoRtcpMux(index));
    }
    let offered_formats: BTreeSet<&str> = offered.fmt.split_ascii_whitespace().collect();
    if !media.fmt.split_ascii_whitespace().any(|f| offered_formats.contains(f)) {
        return Err(AnswerError::NoOfferedFormat(index));
    }
    let rtx = codecs(media).into_iter().filter(|(_, codec)| codec == "rtx");
    for (payload, _) in rtx {
        let has_apt =
            fmtp(media, &payload).is_some_and(|p| p.split(';').any(|p| p.trim().starts_with("apt=")));
        if !has_apt {
            return Err(AnswerError::RtxWithoutApt(index));
        }
    }
    Ok(())
}

/// Payload types of an m-section with the lower-case names of their codecs, in the order of its formats.
fn codecs(m: &Media) -> Vec<(String, String)> {
    let codec_name = |payload: &str| {
        let rtpmaps =
            m.attributes.iter().filter(|a| a.attribute == "rtpmap").filter_map(|a| a.value.as_deref());
        let rtpmap = rtpmaps.filter_map(|v| v.split_once(' ')).find(|(p, _)| *p == payload);
        rtpmap.map(|(_, codec)| codec.split('/').next().unwrap_or("").to_ascii_lowercase())
    };
    m.fmt.split_ascii_whitespace().filter_map(|p| Some((p.to_owned(), codec_name(p)?))).collect()
}

/// The format parameters (`a=fmtp`) of a payload type.
fn fmtp<'a>(m: &'a Media, payload: &str) -> Option<&'a str> {
    let parameters = m.attributes.iter().filter(|a| a.attribute == "fmtp").filter_map(|a| a.value.as_deref());
    parameters.filter_map(|v| v.split_once(' ')).find(|(p, _)| *p == payload).map(|(_, v)| v)
}

/// Lower-case names of the codecs that stand-in nodes accept.
const SUPPORTED_CODECS: [&str; 5] = ["opus", "vp8", "vp9", "h264", "av1"];

/// Payload types of an m-section that are accepted: supported codecs, and retransmission (rtx) of these.
fn accepted_payloads(m: &Media) -> Vec<String> {
    let all = codecs(m);
    let supported: BTreeSet<&str> =
        all.iter().filter(|(_, c)| SUPPORTED_CODECS.contains(&c.as_str())).map(|(p, _)| p.as_str()).collect();
    let supported_apt = |p: &str| {
        let apt = fmtp(m, p)?.split(';').find_map(|v| v.trim().strip_prefix("apt="))?;
        supported.contains(apt).then_some(())
    };
    let is_accepted = |(p, c): &&(String, String)| {
        supported.contains(p.as_str()) || (c == "rtx" && supported_apt(p).is_some())
    };
    all.iter().filter(is_accepted).map(|(p, _)| p.clone()).collect()
}

/// Generates the answer of a peer with these ICE credentials, in the reverse direction and with `a=setup:passive`. It
/// keeps the offer's supported formats with their parameters and feedback, its header extensions and simulcast (RFC
/// 8829, 5.3.1).
///
/// # Errors
/// If an m-section offers no supported codec, or `offer.raw` is not SDP, which [`Offer::parse`] rules out.
pub fn answer_to(offer: &Offer, session: &str, ufrag: &str, pwd: &str) -> Result<String, OfferError> {
    let sdp = Session::parse(offer.raw.as_bytes()).map_err(|e| OfferError::Malformed(e.to_string()))?;
    let answerer_sends = offer.direction == Direction::Receive;
    let mut out = format!("v=0\r\no=- {session} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\n");
    if let Some(group) = value(&sdp.attributes, "group") {
        out += &format!("a=group:{group}\r\n");
    }
    out += "a=ice-lite\r\n";
    if value(&sdp.attributes, "extmap-allow-mixed").is_some() {
        out += "a=extmap-allow-mixed\r\n";
    }
    for (index, media) in sdp.medias.iter().enumerate() {
        let mid = value(&media.attributes, "mid").unwrap_or("0");
        let payloads = accepted_payloads(media);
        if payloads.is_empty() {
            return Err(OfferError::NoCodec(index));
        }
        out +=
            &format!("m={} 9 {} {}\r\nc=IN IP4 127.0.0.1\r\n", media.media, media.proto, payloads.join(" "));
        out += &format!("a=mid:{mid}\r\na=ice-ufrag:{ufrag}\r\na=ice-pwd:{pwd}\r\n");
        out += &format!(
            "a=fingerprint:sha-256 {}\r\na=setup:passive\r\na=rtcp-mux\r\n",
            crate::sdp::PLACEHOLDER_FINGERPRINT
        );
        out += if answerer_sends { "a=sendonly\r\na=msid:stand-in stand-in-" } else { "a=recvonly\r\n" };
        if answerer_sends {
            out += &format!("{}\r\n", media.media);
        }
        for attribute in &media.attributes {
            let value = attribute.value.as_deref().unwrap_or("");
            let payload = value.split(' ').next().unwrap_or("");
            let is_of_accepted = payloads.iter().any(|p| p == payload);
            match attribute.attribute.as_str() {
                "rtpmap" | "fmtp" if is_of_accepted => {
                    out += &format!("a={}:{value}\r\n", attribute.attribute)
                }
                "rtcp-fb" if is_of_accepted || payload == "*" => out += &format!("a=rtcp-fb:{value}\r\n"),
                "extmap" => out += &format!("a=extmap:{value}\r\n"),
                "rtcp-rsize" => out += "a=rtcp-rsize\r\n",
                // A publisher's simulcast layers are answered with `recv` for each `send` (RFC 8853, 5.3; RFC 8851, 5).
                "rid" if !answerer_sends => {
                    if let Some((id, rest)) = value.split_once(" send") {
                        out += &format!("a=rid:{id} recv{rest}\r\n");
                    }
                }
                "simulcast" if !answerer_sends => {
                    if let Some(layers) = value.strip_prefix("send ") {
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

    fn offer(direction: Direction) -> Offer {
        Offer::parse(sample_offer(7, direction).as_bytes(), direction).expect("an offer")
    }

    #[test]
    fn a_generated_answer_has_the_reverse_direction_and_passes_the_check() {
        for (offered, reverse) in [(Direction::Send, "a=recvonly"), (Direction::Receive, "a=sendonly")] {
            let offer = offer(offered);
            let answer = answer_to(&offer, "12", UFRAG, PWD).expect("an answer");
            assert!(answer.contains(reverse) && answer.contains("a=setup:passive"));
            assert_eq!(check_answer(&offer, answer.as_bytes()), Ok(()));
        }
    }

    #[test]
    fn answers_that_a_browser_would_reject_are_reported() {
        let offer = offer(Direction::Receive);
        let good = answer_to(&offer, "12", UFRAG, PWD).expect("an answer");
        let video = good.find("m=video").expect("video");
        let (audio, rest) = good.split_at(video);
        for (bad, error) in [
            (good.replace("ice-ufrag:node", "ice-ufrag:n1"), AnswerError::BadIce(0)),
            (good.replace(PWD, "short"), AnswerError::BadIce(0)),
            (good.replace(PWD, "no-dash-in-a-password-0123456789"), AnswerError::BadIce(0)),
            (audio.to_owned(), AnswerError::SectionCount(1, 2)),
            (good.replace("m=video", "m=audio"), AnswerError::SectionMismatch(1)),
            (good.replace("a=mid:1", "a=mid:2"), AnswerError::SectionMismatch(1)),
            (audio.to_owned() + &rest.replace("m=video 9", "m=video 0"), AnswerError::Rejected(1)),
            (good.replace("BUNDLE 0 1", "BUNDLE 0 1 2"), AnswerError::BadBundle),
            (good.replace("a=group:BUNDLE 0 1\r\n", ""), AnswerError::BadBundle),
            (good.replace("sendonly", "recvonly"), AnswerError::WrongDirection(0)),
            (good.replace("setup:passive", "setup:actpass"), AnswerError::BadSetup(0)),
            (good.replace("00:11", "0:11"), AnswerError::BadFingerprint(0)),
            (good.replace("a=rtcp-mux\r\n", ""), AnswerError::NoRtcpMux(0)),
            (good.replace("SAVPF 111", "SAVPF 99"), AnswerError::NoOfferedFormat(0)),
            (good.replace("VP8/90000", "rtx/90000"), AnswerError::RtxWithoutApt(1)),
        ] {
            assert_eq!(check_answer(&offer, bad.as_bytes()), Err(error), "{bad}");
        }
        assert!(matches!(check_answer(&offer, b"hello"), Err(AnswerError::Malformed(_))));
        assert!(matches!(check_answer(&offer, &[0xff]), Err(AnswerError::Malformed(_))));
    }

    #[test]
    fn parameters_are_copied_and_unsupported_formats_are_left_out() {
        let extra_lines = "a=fmtp:96 x=1\r\na=rtcp-fb:96 nack pli\r\na=rtpmap:97 rtx/90000\r\na=fmtp:97 apt=96\r\n\
                    a=rtpmap:98 red/90000\r\na=extmap:4 urn:ietf:params:rtp-hdrext:sdes:mid\r\n\
                    a=rid:h send\r\na=rid:l send\r\na=simulcast:send h;l\r\n";
        let text = sample_offer(7, Direction::Send).replace("SAVPF 96", "SAVPF 96 97 98") + extra_lines;
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
        assert_eq!(answer_to(&offer, "1", UFRAG, PWD), Err(OfferError::NoCodec(1)));
    }

    proptest::proptest! {
        #[test]
        fn damaged_answers_do_not_make_the_check_panic(at in 0usize..2_000, byte: u8, cut in 0usize..2_000) {
            let offer = offer(Direction::Receive);
            let mut answer = answer_to(&offer, "1", UFRAG, PWD).expect("an answer").into_bytes();
            let n = answer.len();
            answer[at % n] = byte;
            answer.truncate(cut.min(n));
            let _ = check_answer(&offer, &answer);
        }
    }
}
