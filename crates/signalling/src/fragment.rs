//! Trickle ICE fragments (RFC 8840), the bodies of PATCH requests in WHIP and WHEP (RFC 9725, 4.3).

use std::fmt;

/// What a front needs to know of a trickle fragment that passed the checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fragment {
    /// Its `ice-ufrag`, if present; that of a new ICE session if the fragment requests an ICE restart.
    pub ufrag: Option<String>,
    /// Number of candidate lines.
    pub candidate_count: usize,
    /// Whether it has an `end-of-candidates` line.
    pub end_of_candidates: bool,
}

/// Why a fragment is rejected (422). The messages are details of problem responses: clients may match them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FragmentError {
    /// Not UTF-8 text.
    NotText,
    /// The line with this number, from 1, is not a valid line of a fragment.
    BadLine(usize),
    /// `ice-ufrag` without `ice-pwd`, or `ice-pwd` without `ice-ufrag`.
    PartialCredentials,
    /// There is no line in it.
    Empty,
}

impl fmt::Display for FragmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotText => f.write_str("the fragment is not UTF-8 text"),
            Self::BadLine(number) => write!(f, "line {number} is no line of a trickle fragment"),
            Self::PartialCredentials => f.write_str("ice-ufrag and ice-pwd come together or not at all"),
            Self::Empty => f.write_str("the fragment is empty"),
        }
    }
}

impl std::error::Error for FragmentError {}

impl Fragment {
    /// Parses a fragment: ICE attributes (`a=` lines) and pseudo m-lines with their `mid` (RFC 8840, 4.4).
    ///
    /// # Errors
    /// The first invalid line, or what is missing.
    pub fn parse(body: &[u8]) -> Result<Self, FragmentError> {
        let text = std::str::from_utf8(body).map_err(|_| FragmentError::NotText)?;
        let (mut ufrag, mut has_pwd, mut candidate_count, mut end_of_candidates, mut line_count) =
            (None, false, 0, false, 0);
        for (line_index, line) in text.lines().enumerate().filter(|(_, l)| !l.is_empty()) {
            line_count += 1;
            let is_valid = match line.split_once('=') {
                Some(("m", m)) => m.split_ascii_whitespace().count() >= 4,
                Some(("a", a)) => match a.split_once(':').unwrap_or((a, "")) {
                    ("ice-ufrag", v) if (1..=256).contains(&v.len()) => {
                        ufrag = Some(v.to_owned());
                        true
                    }
                    ("ice-pwd", v) if (1..=256).contains(&v.len()) => {
                        has_pwd = true;
                        true
                    }
                    ("candidate", v) => {
                        candidate_count += 1;
                        v.split_ascii_whitespace().count() >= 8
                    }
                    ("end-of-candidates", "") => {
                        end_of_candidates = true;
                        true
                    }
                    ("ice-ufrag" | "ice-pwd", _) => false,
                    // Unknown attributes are ignored (RFC 8840, 4.4).
                    (name, _) => !name.is_empty(),
                },
                _ => false,
            };
            if !is_valid {
                return Err(FragmentError::BadLine(line_index + 1));
            }
        }
        match (line_count, ufrag.is_some() == has_pwd) {
            (0, _) => Err(FragmentError::Empty),
            (_, false) => Err(FragmentError::PartialCredentials),
            _ => Ok(Self { ufrag, candidate_count, end_of_candidates }),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "a=ice-ufrag:EsAw\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\n\
                        a=candidate:1387637174 1 udp 2122260223 192.0.2.1 61764 typ host\r\na=end-of-candidates\r\n";

    #[test]
    fn the_example_of_the_rfc_is_accepted_and_errors_have_the_line_number() {
        let f = Fragment::parse(GOOD.as_bytes()).expect("a fragment");
        assert_eq!((f.ufrag.as_deref(), f.candidate_count, f.end_of_candidates), (Some("EsAw"), 1, true));
        let cut = GOOD.replace(" typ host", "").replace(" 61764", "");
        assert_eq!(Fragment::parse(cut.as_bytes()), Err(FragmentError::BadLine(5)));
        assert_eq!(Fragment::parse(b"a=ice-ufrag:x\r\n"), Err(FragmentError::PartialCredentials));
        assert_eq!(Fragment::parse(b"\r\n"), Err(FragmentError::Empty));
        assert_eq!(Fragment::parse(&[0xff]), Err(FragmentError::NotText));
    }

    proptest::proptest! {
        #[test]
        fn arbitrary_bytes_do_not_panic(body: Vec<u8>) {
            let _ = Fragment::parse(&body);
        }
    }
}
