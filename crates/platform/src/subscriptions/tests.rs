//! The connections to a change log that is slow, silent or fast, on a simulated clock.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How the simulated log treats a question, by the question's index.
#[derive(Clone, Copy)]
enum Answer {
    /// Never answers.
    Lost,
    /// The first useful frame comes after this time; then one each second.
    After(Duration),
}

/// What happened in a run.
#[derive(Default)]
struct Run {
    /// When each question was asked.
    questions: Vec<Duration>,
    /// When the first useful frame came.
    answered_at: Option<Duration>,
    /// Largest number of connections open at once.
    most_open: usize,
}

/// Runs the client against a log for this long.
fn run(end: Duration, mut answer: impl FnMut(usize) -> Answer) -> Run {
    let (mut subscriptions, mut now, mut out) = (Subscriptions::new(7), Duration::ZERO, Run::default());
    // When the next frame of each open connection comes.
    let mut frames: BTreeMap<SubscriptionId, Option<Duration>> = BTreeMap::new();
    while now < end {
        for command in subscriptions.poll(now).0 {
            match command {
                Command::Open(id) => {
                    let first = match answer(out.questions.len()) {
                        Answer::Lost => None,
                        Answer::After(time) => Some(now + time),
                    };
                    out.questions.push(now);
                    subscriptions.asked(id, now);
                    frames.insert(id, first);
                }
                Command::Close(id) => {
                    frames.remove(&id);
                }
            }
        }
        out.most_open = out.most_open.max(frames.len());
        let next_frame = frames.iter().filter_map(|(id, at)| at.map(|at| (at, *id))).min();
        let wake = subscriptions.next_wake().expect("the client waits for nothing");
        match next_frame.filter(|(at, _)| *at <= wake) {
            Some((at, id)) => {
                now = at;
                out.answered_at.get_or_insert(now);
                subscriptions.bytes_received(id, now, 0);
                for command in subscriptions.frame_completed(id, now) {
                    let Command::Close(other) = command else { panic!("a frame opened a connection") };
                    frames.remove(&other);
                }
                frames.insert(id, Some(now + ms(1_000)));
            }
            None => now = wake,
        }
    }
    out
}

/// Guards against a slow log that is never heard since each connection is given up before its answer.
#[test]
fn an_answer_is_awaited_however_slow_the_log_is_up_to_half_a_minute() {
    for seconds in [1, 3, 6, 12, 29] {
        let run = run(ms(60_000), |_| Answer::After(ms(seconds * 1_000)));
        assert_eq!(run.answered_at, Some(ms(seconds * 1_000)), "the first question got no answer");
        let asked_after = run.questions.iter().filter(|at| **at > ms(seconds * 1_000)).count();
        assert_eq!(asked_after, 0, "asked again although answers came: {:?}", run.questions);
    }
}

/// Guards against a wait for an answer that will not come: a question that was lost is asked again within the 4 s after
/// which the platform counts events as told.
#[test]
fn a_lost_question_is_asked_again_before_events_count_as_told() {
    let run = run(ms(20_000), |n| if n == 0 { Answer::Lost } else { Answer::After(ms(5)) });
    assert!(run.answered_at.is_some_and(|at| at < ms(4_000)), "{:?}", run.answered_at);
    assert_eq!(run.questions.len(), 2);
}

/// Guards against questions that keep a crowded log slow: without an answer their pace falls to one in 4.6 s.
#[test]
fn questions_without_an_answer_become_rarer() {
    let run = run(ms(60_000), |_| Answer::Lost);
    assert!(run.questions.len() <= 14, "{} questions in a minute", run.questions.len());
    assert!(run.questions.len() >= 12, "{} questions in a minute", run.questions.len());
}

/// A log that falls silent is asked again, and its old connection stays until another one has answered.
#[test]
fn a_silent_connection_stays_open_until_another_one_answers() {
    let mut subscriptions = Subscriptions::new(1);
    let open = |commands: &[Command]| match commands {
        [Command::Open(id)] => *id,
        other => panic!("not one dial: {other:?}"),
    };
    let first = open(&subscriptions.poll(Duration::ZERO).0);
    subscriptions.asked(first, ms(1));
    assert!(subscriptions.frame_completed(first, ms(5)).is_empty());
    assert_eq!(subscriptions.poll(ms(2_304)), (Vec::new(), false));
    assert_eq!(subscriptions.poll(ms(2_305)), (Vec::new(), true), "silent for 2.3 s after the frame");
    let redial_at = subscriptions.next_wake().expect("no dial is scheduled");
    assert!(redial_at <= ms(2_506), "{redial_at:?}");
    let second = open(&subscriptions.poll(redial_at).0);
    subscriptions.asked(second, redial_at);
    assert_eq!(subscriptions.frame_completed(second, ms(3_000)), [Command::Close(first)]);
    // The end of a connection that was closed has no effect.
    subscriptions.ended(first, ms(3_001));
    assert_eq!(subscriptions.next_wake(), Some(ms(3_000) + SILENCE_TIMEOUT));
}

/// Guards against a dial to a crowded log that is given up each time shortly before it comes up.
#[test]
fn a_slow_dial_is_awaited_beside_a_new_one() {
    let mut subscriptions = Subscriptions::new(1);
    let Some(Command::Open(first)) = subscriptions.poll(Duration::ZERO).0.pop() else { panic!("no dial") };
    subscriptions.poll(DIAL_TIMEOUT);
    let redial_at = subscriptions.next_wake().expect("no dial is scheduled");
    let Some(Command::Open(second)) = subscriptions.poll(redial_at).0.pop() else { panic!("no second dial") };
    subscriptions.asked(first, ms(1_800));
    assert_eq!(subscriptions.frame_completed(first, ms(1_810)), [Command::Close(second)]);
}

#[test]
fn a_move_closes_all_connections_and_dials_at_once() {
    let mut subscriptions = Subscriptions::new(1);
    subscriptions.poll(Duration::ZERO);
    subscriptions.poll(ms(1_000));
    let redial_at = subscriptions.next_wake().expect("no dial is scheduled");
    subscriptions.poll(redial_at);
    assert_eq!(subscriptions.moved(ms(1_500)).len(), 2);
    assert!(matches!(subscriptions.poll(ms(1_500)).0[..], [Command::Open(_)]));
}

proptest! {
    /// Whatever the log answers, at most two connections are open and at most two questions are asked a second.
    #[test]
    fn connections_and_questions_are_bounded(
        answers in prop::collection::vec(prop_oneof![Just(None), (0u64..40_000).prop_map(Some)], 1..20),
    ) {
        let run = run(ms(120_000), |n| match answers[n % answers.len()] {
            None => Answer::Lost,
            Some(time) => Answer::After(ms(time)),
        });
        prop_assert!(run.most_open <= MAX_CONNECTIONS);
        prop_assert!(run.questions.windows(2).all(|w| w[1] - w[0] >= ms(500)), "{:?}", run.questions);
    }
}
