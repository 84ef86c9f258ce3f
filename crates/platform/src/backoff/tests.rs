//! The schedule with a clock in hand: what one front does at its worst, and hundreds at once.

use super::*;
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Moments of the tries of one front, each of which stands for what `stands` says of its number, until `end`.
fn tries(seed: u64, end: Duration, mut stands: impl FnMut(usize) -> Duration) -> Vec<Duration> {
    let (mut backoff, mut now, mut out) = (Backoff::new(seed), Duration::ZERO, Vec::new());
    while now < end {
        out.push(now);
        let stood = stands(out.len() - 1);
        now += stood + backoff.pause(stood);
    }
    out
}

/// The most of these moments within any stretch of this length.
fn most(moments: &[Duration], length: Duration) -> usize {
    (0..moments.len()).map(|i| moments[i..].partition_point(|t| *t < moments[i] + length)).max().unwrap_or(0)
}

#[test]
fn pauses_double_up_to_a_second_each_drawn_from_its_upper_half() {
    let mut backoff = Backoff::new(7);
    for most in [200, 400, 800, 1_000, 1_000, 1_000] {
        let pause = backoff.pause(ms(1));
        assert!(ms(most / 2) <= pause && pause <= ms(most), "{pause:?} of {most}");
    }
    assert!(backoff.pause(ms(999)) >= ms(500), "what stood for less than a second changes nothing");
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

/// 300 fronts lose their log in one moment. They come back spread: within 20 ms a third of them at most after a break,
/// and while it stays down a tenth at most, once the first seconds are over.
#[test]
fn three_hundred_fronts_that_lose_their_log_in_one_moment_do_not_come_back_in_one_moment() {
    for round in 0..20u64 {
        let fronts = |end: Duration, first: Duration| {
            let each = (0..300u64).flat_map(|n| {
                // It stood for long and broke; each further dial is refused within a millisecond.
                tries(round * 1_000 + n, end, |i| if i == 0 { first } else { ms(1) }).into_iter().skip(1)
            });
            let mut all: Vec<_> = each.collect();
            all.sort_unstable();
            all
        };
        let all = fronts(ms(20_000), ms(5_000));
        let early = most(&all, ms(20));
        assert!(early <= 100, "round {round}: {early} of 300 within 20 ms");
        let late: Vec<_> = all.iter().copied().filter(|t| *t > ms(8_000)).collect();
        let late = most(&late, ms(20));
        assert!(late <= 30, "round {round}: {late} of 300 within 20 ms, seconds later");
        // Nobody stays away for longer than a second either.
        assert!(all.iter().filter(|t| **t <= ms(5_200)).count() == 300, "all of them came back within 0.2 s");
    }
}

proptest! {
    /// Whatever a log does, breaks at once, tells one event first, stands for just as long as resets a pause: a front
    /// asks it twice a second in the long run.
    #[test]
    fn no_log_is_asked_more_often_than_twice_a_second(
        seed: u64,
        stands in prop::collection::vec(prop_oneof![0u64..3, 990u64..1_010, 0u64..3_000], 1..40),
    ) {
        let moments = tries(seed, ms(60_000), |i| ms(stands[i % stands.len()]));
        prop_assert!(most(&moments, ms(10_000)) <= 23, "{:?}", moments);
        prop_assert!(most(&moments, ms(1_000)) <= 4, "{:?}", moments);
    }

    /// Bytes that come one by one put the end off by no more than the pace says, however they come.
    #[test]
    fn a_log_that_trickles_is_late_by_its_pace(
        length in 0usize..540_009,
        gaps in prop::collection::vec(1u64..2_299, 1..400),
    ) {
        let (mut p, mut now) = (Patience::default(), Duration::ZERO);
        p.announced(length);
        for gap in gaps {
            now += ms(gap);
            if now >= p.due() {
                break;
            }
            p.heard(now);
        }
        prop_assert!(now <= ms(2_300 + 2_299 + length as u64 * 1_000 / 32_768 + 1), "{:?}", now);
    }
}

#[test]
fn silence_is_counted_from_the_last_whole_frame_and_a_long_one_has_the_time_of_its_pace() {
    let mut p = Patience::default();
    assert_eq!(p.due(), ms(2_300), "from the start of the connection");
    p.heard(ms(1_000));
    p.whole(ms(1_000));
    assert_eq!(p.due(), ms(3_300));
    // Three bytes of a length: more time only once the length is there.
    p.heard(ms(3_000));
    assert_eq!(p.due(), ms(3_300), "bytes alone put nothing off");
    p.announced(32 * 1024);
    assert_eq!(p.due(), ms(4_300), "a second more for what takes a second");
    p.announced(540_013);
    assert_eq!(p.due(), ms(5_300), "but no byte for 2.3 s is silence in a long frame too");
    (4_000..19_000).step_by(1_000).for_each(|at| p.heard(ms(at)));
    assert!(p.due() > ms(19_700) && p.due() < ms(19_800), "{:?}", p.due());
    p.whole(ms(19_000));
    p.announced(0);
    assert_eq!(p.due(), ms(20_300));
    p.announced(usize::MAX);
    assert!(p.due() <= ms(20_300), "no length overflows it");
}
