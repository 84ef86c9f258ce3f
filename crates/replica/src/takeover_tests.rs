//! Two fronts compete for one stream: a writer whose lease expired requests it again, and a follower takes
//! over from a silent writer. The test plays the grantors and the other fronts.

use crate::lease::LeaseAnswer;
use crate::log::{Change, Completeness, Position};
use crate::wire::{Message, StreamId, decode, encode};
use crate::{GrantorSet, Output, Peer, Replica, Settings};
use std::collections::BTreeSet;
use std::ops::Range;

const LEASE_MS: u64 = 1_000;
const PERIOD_MS: u64 = 200;
/// The front that competes with the writer.
const OTHER: u64 = 4;

struct Contest {
    writer: Replica,
    stream: StreamId,
    now_ms: u64,
}

impl Contest {
    /// Advances time. `answer` answers the writer's lease requests by grantor, epoch and version of the
    /// grantor set; `None` loses the request. Returns all outputs that are not messages.
    fn advance(&mut self, ms: u64, answer: &dyn Fn(u64, u32, u32) -> Option<LeaseAnswer>) -> Vec<Output> {
        let end_ms = self.now_ms + ms;
        let mut outputs = Vec::new();
        while self.now_ms < end_ms {
            self.now_ms += 20;
            let mut ticked = Vec::new();
            self.writer.tick(self.now_ms, &mut ticked);
            for output in ticked {
                let Output::Send(to, bytes) = output else {
                    outputs.push(output);
                    continue;
                };
                if let Some(Message::LeaseRequest { stream, epoch, sent_ms, grantor_set, .. }) =
                    decode(&bytes)
                    && stream == self.stream
                    && let Some(answer) = answer(to, epoch, grantor_set.version)
                {
                    let reply = Message::LeaseReply { stream, sent_ms, run: 1, answer };
                    self.writer.receive(self.now_ms, to, &encode(&reply), &mut outputs);
                }
            }
        }
        outputs
    }

    fn is_fenced(&self) -> bool {
        self.writer.rows(self.now_ms).iter().any(|r| r.fenced)
    }
}

fn grant(_: u64, epoch: u32, set_version: u32) -> Option<LeaseAnswer> {
    Some(LeaseAnswer::Granted { epoch, set_version, promised_next: false })
}

/// The position that the other front continued from: the writer's first change.
fn first_change() -> Position {
    Position { completeness: Completeness::Complete, epoch: 0, seq: 1 }
}

fn settings() -> Settings {
    Settings {
        me: 1,
        run: 1,
        zone: 0,
        copies: 2,
        grantors: 5,
        lease_ms: LEASE_MS,
        period_ms: PERIOD_MS,
        bytes_per_s: 400_000,
    }
}

/// A writer of two keys that lost its lease to a front that only requested epoch 1, and requests it again
/// under epoch 2.
fn requesting_again() -> Contest {
    let mut writer = Replica::new(settings(), 0);
    writer.set_view((1..=5).map(|f| (f, Peer { run: 1, zone: f as u16 })).collect());
    let stream = StreamId { front: 1, run: 1, shard: 0, generation: 0 };
    let keys: Vec<u64> = (0..100).filter(|key| crate::replica::shard(*key) == 0).take(2).collect();
    writer.put(0, keys[0], vec![1]).expect("room");
    let mut contest = Contest { writer, stream, now_ms: 0 };
    contest.advance(1_000, &grant);
    assert!(!contest.is_fenced());
    // The second key is not in the copy that the other front continues.
    contest.writer.put(contest.now_ms, keys[1], vec![1]).expect("room");
    contest.advance(1_000, &grant);
    let deny_first_epochs =
        |_: u64, epoch, _| (epoch < 2).then_some(LeaseAnswer::Denied { epoch: 1, holder: OTHER, base: None });
    contest.advance(2 * LEASE_MS + 3 * PERIOD_MS, &deny_first_epochs);
    assert!(contest.is_fenced());
    assert_eq!(contest.writer.rows(contest.now_ms)[0].epoch, 2, "it requests the lease again");
    contest
}

/// How many keys the writer lost to the other front, and on how many it may still act.
fn lost_and_kept(contest: &Contest, outputs: &[Output]) -> (usize, usize) {
    let lost = outputs.iter().map(|o| if let Output::Lost(_, keys) = o { keys.len() } else { 0 }).sum();
    (lost, contest.writer.keys().filter(|key| contest.writer.may_act(contest.now_ms, *key)).count())
}

#[test]
fn a_requesting_writer_releases_the_stream_if_a_grantor_reports_that_another_front_held_it() {
    let mut contest = requesting_again();
    let held =
        |_: u64, _, _| Some(LeaseAnswer::Denied { epoch: 1, holder: OTHER, base: Some(first_change()) });
    let outputs = contest.advance(2 * PERIOD_MS, &held);
    assert!(!contest.is_fenced(), "{:?}", contest.writer.rows(contest.now_ms));
    assert_eq!(
        lost_and_kept(&contest, &outputs),
        (1, 1),
        "the first key is the other front's, the second stays: {outputs:?}"
    );
}

#[test]
fn it_releases_the_stream_to_changes_of_the_holder_and_becomes_its_follower() {
    let mut contest = requesting_again();
    let changes = vec![Change { seq: 2, key: 7_000, body: Some(vec![4]) }];
    let stream = contest.stream;
    let changes =
        Message::Changes { stream, epoch: 1, base: (0, 1), after_seq: 1, last_seq: 2, digest: None, changes };
    let mut outputs = Vec::new();
    contest.writer.receive(contest.now_ms, OTHER, &encode(&changes), &mut outputs);
    assert_eq!(lost_and_kept(&contest, &outputs), (1, 1), "{outputs:?}");
    let replies = outputs
        .iter()
        .filter_map(|o| if let Output::Send(to, b) = o { Some((*to, decode(b))) } else { None });
    let replies: Vec<_> = replies.collect();
    assert!(
        matches!(replies[..], [(OTHER, Some(Message::CopyStatus { .. }))]),
        "it reports the position of its copy: {replies:?}"
    );
}

#[test]
fn it_does_not_release_the_stream_to_a_mere_requester_nor_to_its_own_grant_nor_to_an_earlier_holder() {
    let mut contest = requesting_again();
    let denials = |to: u64, _, _| {
        Some(match to {
            2 => LeaseAnswer::Denied { epoch: 1, holder: OTHER, base: None },
            3 => LeaseAnswer::Denied { epoch: 0, holder: 1, base: Some(first_change()) },
            _ => LeaseAnswer::Denied { epoch: 0, holder: 5, base: Some(first_change()) },
        })
    };
    contest.advance(2 * PERIOD_MS, &denials);
    assert!(contest.is_fenced(), "it keeps requesting");
    contest.advance(2 * PERIOD_MS, &grant);
    assert!(!contest.is_fenced(), "it holds the lease again once a majority grants it");
    assert_eq!(contest.writer.keys().count(), 2);
    // From then on a lower epoch is an earlier one.
    let held =
        |_: u64, _, _| Some(LeaseAnswer::Denied { epoch: 1, holder: OTHER, base: Some(first_change()) });
    contest.advance(PERIOD_MS, &held);
    assert_eq!(contest.writer.keys().count(), 2);
}

/// A follower with a complete copy, whose writer sends nothing after time 0.
fn orphaned_follower() -> (Replica, StreamId) {
    let mut follower = Replica::new(Settings { me: 3, ..settings() }, 0);
    let stream = StreamId { front: 1, run: 1, shard: 0, generation: 0 };
    let grantors = [1, 2, 4, 5, 6].map(|g| (g, 1)).to_vec();
    let grantor_set = GrantorSet { version: 0, grantors, next: None };
    let snapshot = Message::SnapshotChunk {
        stream,
        epoch: 0,
        snapshot_seq: 1,
        head_seq: 1,
        after_key: None,
        last_key: None,
        entries: vec![(7, 1, vec![1])],
    };
    let placement = Message::Placement { stream, epoch: 0, followers: vec![3, 8], grantor_set };
    for message in [snapshot, placement] {
        follower.receive(0, 1, &encode(&message), &mut Vec::new());
    }
    (follower, stream)
}

/// The messages that a front sends in a time range: time, recipient, message.
fn sent_messages(front: &mut Replica, times_ms: Range<u64>) -> Vec<(u64, u64, Message)> {
    let mut messages = Vec::new();
    for now_ms in times_ms.step_by(20) {
        let mut outputs = Vec::new();
        front.tick(now_ms, &mut outputs);
        let sent = outputs
            .into_iter()
            .filter_map(|o| if let Output::Send(to, bytes) = o { Some((to, bytes)) } else { None });
        messages.extend(sent.filter_map(|(to, bytes)| Some((now_ms, to, decode(&bytes)?))));
    }
    messages
}

#[test]
fn a_candidate_informs_grantors_and_the_last_writer_too() {
    let (mut follower, _) = orphaned_follower();
    let messages = sent_messages(&mut follower, 0..2_000);
    let recipients =
        messages.iter().filter(|(.., m)| matches!(m, Message::Candidate { .. })).map(|(_, to, _)| *to);
    assert_eq!(recipients.collect::<BTreeSet<_>>(), [1, 2, 4, 5, 6, 8].into());
}

#[test]
fn a_better_candidate_ends_a_takeover_and_a_worse_one_gets_a_reply() {
    let (mut follower, stream) = orphaned_follower();
    let requests = |messages: &[(u64, u64, Message)]| {
        messages
            .iter()
            .filter(|(.., m)| matches!(m, Message::LeaseRequest { stream: s, .. } if *s == stream))
            .count()
    };
    // It announces its candidacy after 1,400 ms and requests the lease 400 ms later.
    assert!(requests(&sent_messages(&mut follower, 0..2_200)) > 0, "it requests the lease");
    let mut outputs = Vec::new();
    let empty = Position { completeness: Completeness::Complete, epoch: 0, seq: 0 };
    let worse = Message::Candidate { stream, position: empty };
    follower.receive(2_200, 8, &encode(&worse), &mut outputs);
    let reply = Message::Candidate { stream, position: first_change() };
    assert_eq!(outputs, [Output::Send(8, encode(&reply))], "the worse candidate learns the better position");
    assert!(requests(&sent_messages(&mut follower, 2_200..2_600)) > 0, "it keeps requesting the lease");
    let better = Message::Candidate { stream, position: Position { seq: 9, ..first_change() } };
    follower.receive(2_600, 8, &encode(&better), &mut Vec::new());
    assert_eq!(requests(&sent_messages(&mut follower, 2_600..5_400)), 0, "it waits for the better candidate");
    assert!(
        requests(&sent_messages(&mut follower, 5_400..8_000)) > 0,
        "it requests again if the other one does not take over"
    );
}
