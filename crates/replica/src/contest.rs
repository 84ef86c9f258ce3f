//! A writer that lost its lease and claims its stream back, and a holder that claims a silent one's, against guards and others
//! that are played by hand.

use crate::lease::Answer;
use crate::log::{Change, Grade, Position};
use crate::wire::{Message, StreamId, decode, encode};
use crate::{Out, Peer, Replica, Settings};

const LEASE_MS: u64 = 1_000;
const LOOK_MS: u64 = 200;
/// The front that goes on with the stream meanwhile.
const OTHER: u64 = 4;

struct Stand {
    writer: Replica,
    stream: StreamId,
    now: u64,
}

impl Stand {
    /// Time passes; what the writer asks of its guards is answered by `answer`, which is told the epoch.
    fn pass(&mut self, ms: u64, answer: &dyn Fn(u64, u32, u32) -> Option<Answer>) -> Vec<Out> {
        let end = self.now + ms;
        let mut all = Vec::new();
        while self.now < end {
            self.now += 20;
            let mut said = Vec::new();
            self.writer.tick(self.now, &mut said);
            for out in said {
                let Out::Send(to, bytes) = out else {
                    all.push(out);
                    continue;
                };
                if let Some(Message::Hold { stream, epoch, asked_ms, config, .. }) = decode(&bytes)
                    && stream == self.stream
                    && let Some(answer) = answer(to, epoch, config.number)
                {
                    let held = Message::Held { stream, asked_ms, run: 1, answer };
                    self.writer.receive(self.now, to, &encode(&held), &mut all);
                }
            }
        }
        all
    }

    fn fenced(&self) -> bool {
        self.writer.rows(self.now).iter().any(|r| r.fenced)
    }
}

fn granted(_: u64, epoch: u32, number: u32) -> Option<Answer> {
    Some(Answer::Granted { epoch, number, next: false })
}

/// Where the other went on from: the writer's first change.
fn first() -> Position {
    Position { grade: Grade::Whole, epoch: 0, seq: 1 }
}

fn settings() -> Settings {
    Settings {
        me: 1,
        run: 1,
        zone: 0,
        copies: 2,
        guards: 5,
        lease_ms: LEASE_MS,
        period_ms: LOOK_MS,
        bytes_per_s: 400_000,
    }
}

/// A writer that held its stream, lost its lease to a mere claimant of epoch 1, and claims it back under epoch 2.
fn claiming_back() -> Stand {
    let mut writer = Replica::new(settings(), 0);
    writer.set_view((1..=5).map(|f| (f, Peer { run: 1, zone: f as u16 })).collect());
    let stream = StreamId { front: 1, run: 1, shard: 0, turn: 0 };
    let keys: Vec<u64> = (0..100).filter(|key| crate::replica::shard(*key) == 0).take(2).collect();
    writer.put(0, keys[0], vec![1]).expect("room");
    let mut stand = Stand { writer, stream, now: 0 };
    stand.pass(1_000, &granted);
    assert!(!stand.fenced());
    // The second came after the copy that the other goes on with.
    stand.writer.put(stand.now, keys[1], vec![1]).expect("room");
    stand.pass(1_000, &granted);
    let claimed =
        |_: u64, epoch, _| (epoch < 2).then_some(Answer::Taken { epoch: 1, holder: OTHER, from: None });
    stand.pass(2 * LEASE_MS + 3 * LOOK_MS, &claimed);
    assert!(stand.fenced());
    assert_eq!(stand.writer.rows(stand.now)[0].epoch, 2, "it claims it back");
    stand
}

/// The keys that went to the other, and those that stayed.
fn split(stand: &Stand, out: &[Out]) -> (usize, usize) {
    let lost = out.iter().map(|o| if let Out::Lost(_, keys) = o { keys.len() } else { 0 }).sum();
    (lost, stand.writer.keys().filter(|key| stand.writer.may_act(stand.now, *key)).count())
}

#[test]
fn a_writer_that_claims_back_what_another_came_to_hold_gives_way_to_a_guards_word() {
    let mut stand = claiming_back();
    let held = |_: u64, _, _| Some(Answer::Taken { epoch: 1, holder: OTHER, from: Some(first()) });
    let out = stand.pass(2 * LOOK_MS, &held);
    assert!(!stand.fenced(), "{:?}", stand.writer.rows(stand.now));
    assert_eq!(split(&stand, &out), (1, 1), "the first is the other's, the second stays: {out:?}");
}

#[test]
fn it_gives_way_to_the_holders_own_word_and_takes_its_copy() {
    let mut stand = claiming_back();
    let changes = vec![Change { seq: 2, key: 7_000, body: Some(vec![4]) }];
    let stream = stand.stream;
    let told = Message::Changes { stream, epoch: 1, base: (0, 1), from: 1, upto: 2, digest: None, changes };
    let mut out = Vec::new();
    stand.writer.receive(stand.now, OTHER, &encode(&told), &mut out);
    assert_eq!(split(&stand, &out), (1, 1), "{out:?}");
    let answers =
        out.iter().filter_map(|o| if let Out::Send(to, b) = o { Some((*to, decode(b))) } else { None });
    let answers: Vec<_> = answers.collect();
    assert!(
        matches!(answers[..], [(OTHER, Some(Message::Stands { .. }))]),
        "it says where its copy stands: {answers:?}"
    );
}

#[test]
fn it_does_not_give_way_to_a_claimant_nor_to_its_own_grant_nor_to_an_earlier_holder() {
    let mut stand = claiming_back();
    let words = |to: u64, _, _| {
        Some(match to {
            2 => Answer::Taken { epoch: 1, holder: OTHER, from: None },
            3 => Answer::Taken { epoch: 0, holder: 1, from: Some(first()) },
            _ => Answer::Taken { epoch: 0, holder: 5, from: Some(first()) },
        })
    };
    stand.pass(2 * LOOK_MS, &words);
    assert!(stand.fenced(), "it waits on");
    stand.pass(2 * LOOK_MS, &granted);
    assert!(!stand.fenced(), "and has it again once a majority grants it");
    assert_eq!(stand.writer.keys().count(), 2);
    // From then on a lower epoch is an earlier one.
    let held = |_: u64, _, _| Some(Answer::Taken { epoch: 1, holder: OTHER, from: Some(first()) });
    stand.pass(LOOK_MS, &held);
    assert_eq!(stand.writer.keys().count(), 2);
}

/// A holder of a copy whose writer fell silent, and the time of its last word.
fn orphan() -> (Replica, StreamId) {
    let mut holder = Replica::new(Settings { me: 3, ..settings() }, 0);
    let stream = StreamId { front: 1, run: 1, shard: 0, turn: 0 };
    let guards = [1, 2, 4, 5, 6].map(|g| (g, 1)).to_vec();
    let config = crate::Config { number: 0, guards, next: None };
    let entries = vec![(7, 1, vec![1])];
    let whole = Message::Whole { stream, epoch: 0, cut: 1, head: 1, after: None, until: None, entries };
    let kept = Message::Kept { stream, epoch: 0, holders: vec![3, 8], config };
    for message in [whole, kept] {
        holder.receive(0, 1, &encode(&message), &mut Vec::new());
    }
    (holder, stream)
}

/// What a front says up to this time, of one stream: the time, to whom, what.
fn said(front: &mut Replica, times: std::ops::Range<u64>) -> Vec<(u64, u64, Message)> {
    let mut all = Vec::new();
    for now in times.step_by(20) {
        let mut out = Vec::new();
        front.tick(now, &mut out);
        let sent =
            out.into_iter().filter_map(|o| if let Out::Send(to, b) = o { Some((to, b)) } else { None });
        all.extend(sent.filter_map(|(to, bytes)| Some((now, to, decode(&bytes)?))));
    }
    all
}

#[test]
fn a_bid_reaches_guards_and_the_last_writer_too() {
    let (mut holder, _) = orphan();
    let said = said(&mut holder, 0..2_000);
    let bids = said.iter().filter(|(.., m)| matches!(m, Message::Bid { .. })).map(|(_, to, _)| *to);
    assert_eq!(bids.collect::<std::collections::BTreeSet<_>>(), [1, 2, 4, 5, 6, 8].into());
}

#[test]
fn a_bid_that_stands_further_ends_a_claim_and_one_that_stands_less_is_answered() {
    let (mut holder, stream) = orphan();
    let asks = |said: &[(u64, u64, Message)]| {
        said.iter().filter(|(.., m)| matches!(m, Message::Hold { stream: s, .. } if *s == stream)).count()
    };
    // It bids after 1,400 ms and asks after 400 more.
    assert!(asks(&said(&mut holder, 0..2_200)) > 0, "it asks the guards");
    let mut out = Vec::new();
    let nothing = Position { grade: Grade::Whole, epoch: 0, seq: 0 };
    holder.receive(2_200, 8, &encode(&Message::Bid { stream, at: nothing }), &mut out);
    let mine = Message::Bid { stream, at: first() };
    assert_eq!(out, [Out::Send(8, encode(&mine))], "the other learns who stands further");
    assert!(asks(&said(&mut holder, 2_200..2_600)) > 0, "and this one asks on");
    let further = Position { seq: 9, ..first() };
    holder.receive(2_600, 8, &encode(&Message::Bid { stream, at: further }), &mut Vec::new());
    assert_eq!(asks(&said(&mut holder, 2_600..5_400)), 0, "it leaves the guards to the other");
    assert!(asks(&said(&mut holder, 5_400..8_000)) > 0, "and asks again, should it not come to it");
}
