use super::*;
use proptest::prelude::*;
use serde_json::json;

/// Encodes a frame.
fn frame(number: u64, kind: u8, records: &[Entry]) -> Vec<u8> {
    let mut out = Vec::new();
    out.extend((9 + records.len() as u32 * 27).to_be_bytes());
    out.extend(number.to_be_bytes());
    out.push(kind);
    for e in records {
        out.extend(e.id.to_be_bytes());
        out.extend(e.address.ip().octets());
        out.extend(e.address.port().to_be_bytes());
        out.push(match e.state {
            State::Ready => 0,
            State::Draining => 1,
            State::Gone => 2,
        });
        out.extend([e.zone as u8, e.kind as u8]);
        out.extend((e.cell as u16).to_be_bytes());
        out.extend(((e.weight * 1000.0) as u32).to_be_bytes());
        out.extend(e.started_ms.to_be_bytes());
    }
    out
}

fn node(id: u32, state: State) -> Entry {
    let address = SocketAddrV4::new(Ipv4Addr::new(127, 1, 0, id as u8), 2905);
    Entry { id, address, state, zone: 0, kind: 1, cell: 2, weight: 3.5, started_ms: 7 }
}

fn decode_all(chunks: &[&[u8]]) -> Result<Vec<Frame>, DecodeError> {
    let (mut decoder, mut out) = (Decoder::default(), Vec::new());
    for chunk in chunks {
        decoder.feed(chunk);
        while let Some(f) = decoder.decode()? {
            out.push(f);
        }
    }
    Ok(out)
}

#[test]
fn json_events_and_frames_give_the_same_values() {
    let v = json!({"seq": 4, "results": [{"seq": 4, "fleet": {"version": 1, "full": true, "servers": [
        {"id": "s-00000009", "addr": "127.1.0.9:2905", "zone": "a", "kind": "big", "cell": 2, "state": "draining",
         "weight": 3.5, "started_ms": 7}]}}]});
    let names = |n: &[&str]| n.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    let (zones, kinds) = (names(&["a"]), names(&["small", "big"]));
    let decoded = decode_all(&[&frame(4, 1, &[node(9, State::Draining)])]).expect("valid frames");
    assert_eq!(
        decoded,
        [Frame::Event(parse_initial_events(&v, &zones, &kinds).expect("valid events").remove(0))]
    );
    let error = parse_initial_events(&v, &zones, &names(&["small"])).expect_err("unknown kind");
    assert!(error.contains("event 0") && error.contains("'kind'"), "{error}");
}

#[test]
fn an_event_is_applied_once_and_one_after_a_gap_is_not_applied() {
    let mut list = NodeList::default();
    let event = |number, full, entries: &[Entry]| Event { number, full, entries: entries.to_vec() };
    assert_eq!(list.apply(&event(3, true, &[node(1, State::Ready), node(2, State::Ready)])), Applied::New);
    assert_eq!(list.apply(&event(5, false, &[node(1, State::Gone)])), Applied::Gap);
    assert_eq!(list.apply(&event(3, false, &[node(1, State::Gone)])), Applied::Duplicate);
    assert_eq!((list.last_number(), list.nodes().len()), (3, 2));
    assert_eq!(list.apply(&event(4, false, &[node(1, State::Gone)])), Applied::New);
    assert_eq!((list.last_number(), list.nodes().keys().copied().collect::<Vec<_>>()), (4, vec![2]));
    assert!(list.is_behind(5) && !list.is_behind(4));
}

/// The list is bounded whatever the change log sends: an event that would make it too long is not applied at all.
#[test]
fn the_list_has_at_most_as_many_nodes_as_one_event() {
    let ready = |ids: std::ops::Range<u32>| ids.map(|id| node(id, State::Ready)).collect::<Vec<_>>();
    let (mut list, max_nodes) = (NodeList::default(), MAX_RECORDS as u32);
    assert_eq!(list.apply(&Event { number: 1, full: true, entries: ready(0..max_nodes) }), Applied::New);
    let mut next =
        Event { number: 2, full: false, entries: vec![node(0, State::Gone), node(max_nodes, State::Ready)] };
    next.entries.push(node(max_nodes + 1, State::Ready));
    assert_eq!(list.apply(&next), Applied::TooMany);
    assert_eq!(
        (list.last_number(), list.nodes().len(), list.nodes().contains_key(&0)),
        (1, MAX_RECORDS, true)
    );
    // Nodes that are already listed, and removed ones, do not count as new.
    next.entries = vec![node(1, State::Draining), node(2, State::Gone), node(3, State::Ready)];
    assert_eq!((list.apply(&next), list.nodes().len()), (Applied::New, MAX_RECORDS - 1));
}

#[test]
fn the_size_of_an_incomplete_frame_is_known_after_its_length_field() {
    let bytes = frame(1, 1, &[node(1, State::Ready), node(2, State::Ready)]);
    let mut decoder = Decoder::default();
    for (i, byte) in bytes.iter().enumerate() {
        assert_eq!(decoder.announced_bytes(), if i < 4 { 0 } else { bytes.len() });
        assert_eq!(decoder.decode(), Ok(None));
        decoder.feed(&[*byte]);
    }
    assert!(matches!(decoder.decode(), Ok(Some(Frame::Event(_)))) && decoder.announced_bytes() == 0);
}

#[test]
fn invalid_lengths_kinds_and_states_are_rejected() {
    assert_eq!(decode_all(&[&[0, 0, 0, 8]]), Err(DecodeError::InvalidLength));
    assert_eq!(decode_all(&[&[0xff, 0xff, 0xff, 0xff]]), Err(DecodeError::InvalidLength));
    assert_eq!(decode_all(&[&[0, 0, 0, 10]]), Err(DecodeError::InvalidLength));
    assert_eq!(decode_all(&[&frame(1, 3, &[])]), Err(DecodeError::InvalidKind));
    let mut bad = frame(1, 2, &[node(1, State::Ready)]);
    bad[13 + 10] = 9;
    assert_eq!(decode_all(&[&bad]), Err(DecodeError::UnknownState));
}

proptest! {
    #[test]
    fn decoding_does_not_depend_on_chunk_boundaries(cuts in prop::collection::vec(0usize..120, 0..8)) {
        let whole = [frame(1, 1, &[node(1, State::Ready), node(2, State::Draining)]), frame(1, 0, &[]),
                     frame(2, 2, &[node(1, State::Gone)])].concat();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(whole.len())).collect();
        cuts.extend([0, whole.len()]);
        cuts.sort_unstable();
        let chunks: Vec<&[u8]> = cuts.windows(2).map(|w| &whole[w[0]..w[1]]).collect();
        prop_assert_eq!(decode_all(&chunks), decode_all(&[&whole]));
        prop_assert_eq!(decode_all(&chunks).map(|f| f.len()), Ok(3));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        let _ = decode_all(&[&bytes]);
    }
}
