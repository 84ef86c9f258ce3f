//! The reconnection schedule on a simulated clock: its highest rate for one front, and its spread over hundreds of fronts.

use super::*;
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The times, until `end`, at which one front dials; `lasts` gives the duration of each attempt by its index.
fn dial_times(seed: u64, end: Duration, mut lasts: impl FnMut(usize) -> Duration) -> Vec<Duration> {
    let (mut backoff, mut now, mut out) = (Backoff::new(seed), Duration::ZERO, Vec::new());
    while now < end {
        out.push(now);
        let lasted = lasts(out.len() - 1);
        now += lasted + backoff.pause(lasted);
    }
    out
}

/// The largest number of these times within any window of this length.
fn max_in_window(times: &[Duration], length: Duration) -> usize {
    (0..times.len()).map(|i| times[i..].partition_point(|t| *t < times[i] + length)).max().unwrap_or(0)
}

#[test]
fn pauses_double_up_to_a_second_each_drawn_from_its_upper_half() {
    let mut backoff = Backoff::new(7);
    for max in [200, 400, 800, 1_000, 1_000, 1_000] {
        let pause = backoff.pause(ms(1));
        assert!(ms(max / 2) <= pause && pause <= ms(max), "{pause:?} of {max}");
    }
    assert!(
        backoff.pause(ms(999)) >= ms(500),
        "a connection of less than a second does not reset the back-off"
    );
    assert!(backoff.pause(ms(1_000)) <= ms(200));
    assert!(backoff.pause(ms(0)) <= ms(400));
    backoff.reset();
    assert!(backoff.pause(ms(0)) <= ms(200));
}

#[test]
fn one_seed_gives_one_schedule() {
    let draw = |seed| {
        (0..20)
            .map({
                let mut b = Backoff::new(seed);
                move |_| b.pause(ms(5))
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(draw(1), draw(1));
    assert_ne!(draw(1), draw(2));
}

/// 300 fronts lose their log at the same moment. Their dials are spread: in any 20 ms there are at most 100, and at most
/// 30 once the log has been down for 3 s.
#[test]
fn three_hundred_fronts_that_lose_their_log_at_once_do_not_reconnect_at_once() {
    for round in 0..20u64 {
        let fronts = |end: Duration, first: Duration| {
            let each = (0..300u64).flat_map(|n| {
                // A long connection breaks; each further dial is refused within a millisecond.
                dial_times(round * 1_000 + n, end, |i| if i == 0 { first } else { ms(1) }).into_iter().skip(1)
            });
            let mut all: Vec<_> = each.collect();
            all.sort_unstable();
            all
        };
        let all = fronts(ms(20_000), ms(5_000));
        let early = max_in_window(&all, ms(20));
        assert!(early <= 100, "round {round}: {early} of 300 within 20 ms");
        let late: Vec<_> = all.iter().copied().filter(|t| *t > ms(8_000)).collect();
        let late = max_in_window(&late, ms(20));
        assert!(late <= 30, "round {round}: {late} of 300 within 20 ms, seconds later");
        assert!(
            all.iter().filter(|t| **t <= ms(5_200)).count() == 300,
            "every front dials again within 0.2 s"
        );
    }
}

proptest! {
    /// Whether connections break at once, after one event, or after just the time that resets the back-off: a front
    /// dials about twice a second in the long run.
    #[test]
    fn no_log_is_dialled_more_often_than_twice_a_second(
        seed: u64,
        durations in prop::collection::vec(prop_oneof![0u64..3, 990u64..1_010, 0u64..3_000], 1..40),
    ) {
        let times = dial_times(seed, ms(60_000), |i| ms(durations[i % durations.len()]));
        prop_assert!(max_in_window(&times, ms(10_000)) <= 23, "{:?}", times);
        prop_assert!(max_in_window(&times, ms(1_000)) <= 4, "{:?}", times);
    }

    /// Bytes that trickle in postpone the deadline by no more than the slowest acceptable transfer of the frame, whatever
    /// the gaps between them.
    #[test]
    fn a_log_that_trickles_bytes_is_cut_off_by_the_minimum_rate(
        length in 0usize..540_009,
        gaps in prop::collection::vec(1u64..2_299, 1..400),
    ) {
        let (mut silence, mut now) = (SilenceDeadline::new(SILENCE_TIMEOUT), Duration::ZERO);
        silence.set_frame_length(length);
        for gap in gaps {
            now += ms(gap);
            if now >= silence.deadline() {
                break;
            }
            silence.bytes_received(now);
        }
        prop_assert!(now <= ms(2_300 + 2_299 + length as u64 * 1_000 / 32_768 + 1), "{:?}", now);
    }
}

#[test]
fn silence_counts_from_the_last_complete_frame_and_a_long_frame_has_its_transfer_time() {
    let mut silence = SilenceDeadline::new(SILENCE_TIMEOUT);
    assert_eq!(silence.deadline(), ms(2_300), "from the start of the connection");
    silence.bytes_received(ms(1_000));
    silence.frame_completed(ms(1_000));
    assert_eq!(silence.deadline(), ms(3_300));
    // Three bytes of a length field: the deadline moves only once the length is complete.
    silence.bytes_received(ms(3_000));
    assert_eq!(silence.deadline(), ms(3_300), "bytes alone do not move the deadline");
    silence.set_frame_length(32 * 1024);
    assert_eq!(silence.deadline(), ms(4_300), "one second more for a frame that takes one second");
    silence.set_frame_length(540_013);
    assert_eq!(silence.deadline(), ms(5_300), "no byte for 2.3 s is silence within a long frame too");
    (4_000..19_000).step_by(1_000).for_each(|at| silence.bytes_received(ms(at)));
    assert!(silence.deadline() > ms(19_700) && silence.deadline() < ms(19_800), "{:?}", silence.deadline());
    silence.frame_completed(ms(19_000));
    silence.set_frame_length(0);
    assert_eq!(silence.deadline(), ms(20_300));
    silence.set_frame_length(usize::MAX);
    assert!(silence.deadline() <= ms(20_300), "no length overflows the deadline");
}
