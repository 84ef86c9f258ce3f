//! What an inbox takes, and when reading pauses.

use super::*;

/// An `OPTIONS` request with this number as its `CSeq`.
fn request(number: usize) -> Vec<u8> {
    format!("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: {number}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

#[test]
fn messages_come_in_order_however_their_bytes_are_split() {
    let bytes: Vec<u8> = (0..300).flat_map(request).collect();
    for chunk_bytes in [1, 7, 1_000, CHUNK_BYTES, bytes.len()] {
        let total = ByteTotal::default();
        let mut inbox = Inbox::new(total.clone());
        bytes.chunks(chunk_bytes).for_each(|chunk| inbox.receive(chunk));
        for number in 0..300 {
            let message = inbox.pop().expect("a message is missing");
            assert_eq!(message.field("CSeq"), Some(&*number.to_string()), "chunks of {chunk_bytes} bytes");
        }
        assert!(inbox.pop().is_none());
        assert!(inbox.is_empty());
        assert_eq!(total.get(), 0);
    }
}

#[test]
fn an_inbox_is_bounded_alone_and_with_others() {
    let total = ByteTotal::default();
    let fill = |bytes: usize| {
        let mut inbox = Inbox::new(total.clone());
        let mut number = 0;
        while inbox.has_room() && inbox.received.bytes() < bytes {
            inbox.receive(&request(number));
            number += 1;
        }
        inbox
    };
    let mut alone = fill(usize::MAX);
    assert!((LIMITS.alone..LIMITS.alone + 1_000).contains(&alone.received.bytes()));
    // Many peers fill the total; then each may still have a little read.
    let others: Vec<_> = (0..LIMITS.total / LIMITS.alone).map(|_| fill(LIMITS.alone)).collect();
    let newcomer = fill(usize::MAX);
    assert!((LIMITS.always..LIMITS.always + 1_000).contains(&newcomer.received.bytes()));
    while alone.pop().is_some() {}
    assert!(alone.has_room(), "what was taken makes room");
    drop((others, alone));
    assert!(newcomer.has_room(), "what was dropped makes room");
    drop(newcomer);
    assert_eq!(total.get(), 0);
}

#[test]
fn what_follows_bytes_that_are_no_message_is_not_kept() {
    let mut inbox = Inbox::new(ByteTotal::default());
    inbox.receive(&[&request(1)[..], b"\x00\x01", &request(2)].concat());
    assert!(matches!(inbox.end(), Some(EndReason::Unreadable(_))));
    assert!(!inbox.has_room());
    assert!(inbox.pop().is_some());
    assert!(inbox.pop().is_none());
}
