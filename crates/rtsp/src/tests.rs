use super::*;
use proptest::prelude::*;

const SETUP: &[u8] =
    b"SETUP rtsp://media/00000000000000a1 RTSP/1.0\r\nCSeq: 1\r\nsession: 00000000000000b2\r\n\
Content-Length: 6\r\n\r\nv=\r\n\0\xff";

fn all(pieces: &[&[u8]]) -> Result<Vec<Message>, Fault> {
    let (mut decoder, mut out) = (Decoder::default(), Vec::new());
    for piece in pieces {
        decoder.feed(piece);
        while let Some(m) = decoder.decode()? {
            out.push(m);
        }
    }
    Ok(out)
}

#[test]
fn a_body_passes_unchanged_and_names_are_compared_without_case() {
    let m = &all(&[SETUP]).expect("reads")[0];
    assert_eq!(m.start, Start::Request("SETUP".into(), "rtsp://media/00000000000000a1".into()));
    assert_eq!(m.field("Session"), Some("00000000000000b2"));
    assert_eq!(&m.body[..], b"v=\r\n\0\xff");
    assert_eq!(all(&[&m.encode()]).expect("reads")[0], *m);
}

#[test]
fn lengths_that_lie_are_faults() {
    let with = |length: &str| all(&[format!("RTSP/1.0 200 OK\r\n{length}\r\n\r\n").as_bytes()]);
    for bad in [
        "CSeq: 1",
        "Content-Length: -1",
        "Content-Length: +1",
        "Content-Length: 0x10",
        "Content-Length: 1 2",
        "Content-Length:",
        "Content-Length: 0\r\nContent-Length: 0",
    ] {
        assert_eq!(with(bad), Err(Fault::Length), "{bad}");
    }
    for large in
        ["Content-Length: 16384", "Content-Length: 3000000000", "Content-Length: 99999999999999999999999"]
    {
        assert_eq!(with(large), Err(Fault::TooLarge), "{large}");
    }
}

#[test]
fn a_head_without_end_costs_a_bounded_buffer() {
    let mut decoder = Decoder::default();
    decoder.feed(b"SETUP rtsp://media/1 RTSP/1.0\r\n");
    let mut fed = 0;
    let fault = loop {
        decoder.feed(&[b'a'; 1000]);
        fed += 1000;
        if let Err(fault) = decoder.decode() {
            break fault;
        }
    };
    assert_eq!(fault, Fault::TooLarge);
    assert!(fed <= MAX + 1000);
}

#[test]
fn noise_is_told_before_its_end() {
    assert_eq!(all(&[b"\x16\x03\x01"]), Err(Fault::StartLine));
    assert_eq!(all(&[&[b'a'; 600]]), Err(Fault::StartLine));
}

proptest! {
    #[test]
    fn any_split_gives_the_same_messages(cuts in prop::collection::vec(0usize..SETUP.len() * 3, 0..8)) {
        let whole: Vec<u8> = [SETUP, b"\r\n", SETUP, SETUP].concat();
        let mut cuts = cuts;
        cuts.extend([0, whole.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|w| &whole[w[0]..w[1]]).collect();
        prop_assert_eq!(all(&pieces), all(&[&whole]));
        prop_assert_eq!(all(&pieces).map(|m| m.len()), Ok(3));
    }

    #[test]
    fn no_bytes_panic_or_grow_the_buffer(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..4000), 0..12)) {
        let mut decoder = Decoder::default();
        for piece in &pieces {
            decoder.feed(piece);
            loop {
                match decoder.decode() {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => return Ok(()),
                }
            }
            prop_assert!(decoder.buffer.len() <= MAX);
        }
    }

    #[test]
    fn messages_with_damaged_bytes_do_not_panic(at in 0usize..SETUP.len(), byte in any::<u8>()) {
        let mut bytes = SETUP.to_vec();
        bytes[at] = byte;
        let _ = all(&[&bytes]);
    }
}
