//! Trickle ICE fragments (RFC 8840), as WHIP and WHEP carry them in PATCH (RFC 9725, 4.3).

use std::fmt;

/// A fragment that passed the checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fragment {
    /// The `ice-ufrag` that it names; of a new ICE session where it asks for a restart.
    pub ufrag: Option<String>,
    /// Candidate lines in it.
    pub candidates: usize,
    /// It ends the candidates.
    pub end: bool,
}

/// Why a fragment is not taken (422).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FragmentFault {
    /// Not UTF-8 text.
    NotText,
    /// The line with this number, from 1, is no line of a fragment.
    BadLine(usize),
    /// A user fragment without its password, or the other way round.
    HalfCredentials,
    /// Nothing in it.
    Empty,
}

impl fmt::Display for FragmentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotText => f.write_str("the fragment is not UTF-8 text"),
            Self::BadLine(n) => write!(f, "line {n} is no line of a trickle fragment"),
            Self::HalfCredentials => f.write_str("ice-ufrag and ice-pwd come together or not at all"),
            Self::Empty => f.write_str("the fragment is empty"),
        }
    }
}

impl std::error::Error for FragmentFault {}

impl Fragment {
    /// Reads a fragment: `a=` lines of ICE, and pseudo m-lines with their `mid` (RFC 8840, 4.4).
    ///
    /// # Errors
    /// The first line that does not belong, or what is missing.
    pub fn parse(body: &[u8]) -> Result<Self, FragmentFault> {
        let text = std::str::from_utf8(body).map_err(|_| FragmentFault::NotText)?;
        let (mut ufrag, mut pwd, mut candidates, mut end, mut lines) = (None, false, 0, false, 0);
        for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.is_empty()) {
            lines += 1;
            let known = match line.split_once('=') {
                Some(("m", m)) => m.split_ascii_whitespace().count() >= 4,
                Some(("a", a)) => match a.split_once(':').unwrap_or((a, "")) {
                    ("ice-ufrag", v) if (1..=256).contains(&v.len()) => {
                        ufrag = Some(v.to_owned());
                        true
                    }
                    ("ice-pwd", v) if (1..=256).contains(&v.len()) => {
                        pwd = true;
                        true
                    }
                    ("candidate", v) => {
                        candidates += 1;
                        v.split_ascii_whitespace().count() >= 8
                    }
                    ("end-of-candidates", "") => {
                        end = true;
                        true
                    }
                    ("ice-ufrag" | "ice-pwd", _) => false,
                    // Attributes that this fragment's reader does not know are passed over (RFC 8840, 4.4).
                    (name, _) => !name.is_empty(),
                },
                _ => false,
            };
            if !known {
                return Err(FragmentFault::BadLine(n + 1));
            }
        }
        match (lines, ufrag.is_some() == pwd) {
            (0, _) => Err(FragmentFault::Empty),
            (_, false) => Err(FragmentFault::HalfCredentials),
            _ => Ok(Self { ufrag, candidates, end }),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "a=ice-ufrag:EsAw\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\n\
                        a=candidate:1387637174 1 udp 2122260223 192.0.2.1 61764 typ host\r\na=end-of-candidates\r\n";

    #[test]
    fn the_documents_example_passes_and_faults_name_their_line() {
        let f = Fragment::parse(GOOD.as_bytes()).expect("a fragment");
        assert_eq!((f.ufrag.as_deref(), f.candidates, f.end), (Some("EsAw"), 1, true));
        let cut = GOOD.replace(" typ host", "").replace(" 61764", "");
        assert_eq!(Fragment::parse(cut.as_bytes()), Err(FragmentFault::BadLine(5)));
        assert_eq!(Fragment::parse(b"a=ice-ufrag:x\r\n"), Err(FragmentFault::HalfCredentials));
        assert_eq!(Fragment::parse(b"\r\n"), Err(FragmentFault::Empty));
        assert_eq!(Fragment::parse(&[0xff]), Err(FragmentFault::NotText));
    }

    proptest::proptest! {
        #[test]
        fn no_bytes_make_it_panic(body: Vec<u8>) {
            let _ = Fragment::parse(&body);
        }
    }
}
