use super::*;
use proptest::prelude::*;

const SETUP: &[u8] =
    b"SETUP rtsp://media/00000000000000a1 RTSP/1.0\r\nCSeq: 1\r\nsession: 00000000000000b2\r\n\
Content-Length: 6\r\n\r\nv=\r\n\0\xff";

fn decode_all(chunks: &[&[u8]]) -> Result<Vec<Message>, DecodeError> {
    let (mut decoder, mut out) = (Decoder::default(), Vec::new());
    for chunk in chunks {
        decoder.feed(chunk);
        while let Some(m) = decoder.decode()? {
            out.push(m);
        }
    }
    Ok(out)
}

#[test]
fn body_is_kept_byte_for_byte_and_field_names_ignore_case() {
    let m = &decode_all(&[SETUP]).expect("valid messages")[0];
    assert_eq!(m.start, StartLine::Request("SETUP".into(), "rtsp://media/00000000000000a1".into()));
    assert_eq!(m.field("Session"), Some("00000000000000b2"));
    assert_eq!(&m.body[..], b"v=\r\n\0\xff");
    assert_eq!(decode_all(&[&m.encode()]).expect("valid messages")[0], *m);
}

#[test]
fn invalid_and_excessive_content_lengths_are_rejected() {
    let decode_with_field =
        |field: &str| decode_all(&[format!("RTSP/1.0 200 OK\r\n{field}\r\n\r\n").as_bytes()]);
    for bad in [
        "CSeq: 1",
        "Content-Length: -1",
        "Content-Length: +1",
        "Content-Length: 0x10",
        "Content-Length: 1 2",
        "Content-Length:",
        "Content-Length: 0\r\nContent-Length: 0",
    ] {
        assert_eq!(decode_with_field(bad), Err(DecodeError::Length), "{bad}");
    }
    for large in
        ["Content-Length: 16384", "Content-Length: 3000000000", "Content-Length: 99999999999999999999999"]
    {
        assert_eq!(decode_with_field(large), Err(DecodeError::TooLarge), "{large}");
    }
}

#[test]
fn endless_head_is_rejected_at_the_size_limit() {
    let mut decoder = Decoder::default();
    decoder.feed(b"SETUP rtsp://media/1 RTSP/1.0\r\n");
    let mut fed_bytes = 0;
    let error = loop {
        decoder.feed(&[b'a'; 1000]);
        fed_bytes += 1000;
        if let Err(error) = decoder.decode() {
            break error;
        }
    };
    assert_eq!(error, DecodeError::TooLarge);
    assert!(fed_bytes <= MAX_MESSAGE_BYTES + 1000);
}

#[test]
fn invalid_start_line_is_rejected_before_the_head_ends() {
    assert_eq!(decode_all(&[b"\x16\x03\x01"]), Err(DecodeError::StartLine));
    assert_eq!(decode_all(&[&[b'a'; 600]]), Err(DecodeError::StartLine));
}

proptest! {
    #[test]
    fn decoding_does_not_depend_on_chunk_boundaries(cuts in prop::collection::vec(0usize..SETUP.len() * 3, 0..8)) {
        let whole: Vec<u8> = [SETUP, b"\r\n", SETUP, SETUP].concat();
        let mut cuts = cuts;
        cuts.extend([0, whole.len()]);
        cuts.sort_unstable();
        let chunks: Vec<&[u8]> = cuts.windows(2).map(|w| &whole[w[0]..w[1]]).collect();
        prop_assert_eq!(decode_all(&chunks), decode_all(&[&whole]));
        prop_assert_eq!(decode_all(&chunks).map(|m| m.len()), Ok(3));
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_grow_the_buffer(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..4000), 0..12)) {
        let mut decoder = Decoder::default();
        for chunk in &chunks {
            decoder.feed(chunk);
            loop {
                match decoder.decode() {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => return Ok(()),
                }
            }
            prop_assert!(decoder.buffer.len() <= MAX_MESSAGE_BYTES);
        }
    }

    #[test]
    fn messages_with_one_changed_byte_do_not_panic(at in 0usize..SETUP.len(), byte in any::<u8>()) {
        let mut bytes = SETUP.to_vec();
        bytes[at] = byte;
        let _ = decode_all(&[&bytes]);
    }
}
