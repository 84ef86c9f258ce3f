//! Verdicts, their times and their cost on seeded schedules of faults.

use super::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DIAL_TIMEOUT: Time = 250 * MS;
/// By the protocol, an end must be known within this time.
const END_NOTICE_LIMIT: Time = 8_000 * MS;
const SCHEDULES: u64 = 1_000;
const MAX_DIALS: u32 = 16;

fn limits() -> Limits {
    Limits::new(END_NOTICE_LIMIT, DIAL_TIMEOUT)
}

/// What dials meet for a time.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Refuses,
    Silent,
    /// Each dial meets one of the two.
    Mixed,
}

/// Dials a node from the moment at which its connections end, until one comes up or it is held to be dead. Returns the
/// verdict, its time and the number of dials.
fn watch(rng: &mut StdRng, fault: Fault, lasts: Time) -> (Verdict, Time, u32) {
    let mut node = FailureDetector::new(0);
    let (mut now, mut dials) = (0, 0);
    loop {
        dials += 1;
        if now >= lasts {
            node.heard(now);
            return (Verdict::Alive, now, dials);
        }
        let refused = match fault {
            Fault::Refuses => true,
            Fault::Silent => false,
            Fault::Mixed => rng.random_bool(0.5),
        };
        let end = if refused { FailedDial::Refused } else { FailedDial::TimedOut };
        now += if refused { MS } else { DIAL_TIMEOUT };
        if node.dial_failed(now, end, Some(0), &limits()) == Verdict::Dead {
            return (Verdict::Dead, now, dials);
        }
        now = node.next_dial_at(now, &limits());
    }
}

fn random_fault(rng: &mut StdRng) -> Fault {
    [Fault::Refuses, Fault::Silent, Fault::Mixed][rng.random_range(0..3)]
}

/// Prints the table of `docs/platform.md` with `--nocapture`.
#[test]
fn no_node_that_comes_back_before_the_limit_is_held_to_be_dead() {
    let mut most_dials = 0;
    for seed in 0..SCHEDULES {
        let mut rng = StdRng::seed_from_u64(seed);
        let (fault, lasts) = (random_fault(&mut rng), rng.random_range(0..limits().dead_after));
        let (verdict, _, dials) = watch(&mut rng, fault, lasts);
        assert_eq!(verdict, Verdict::Alive, "seed {seed}: {fault:?} for {lasts} ns");
        most_dials = most_dials.max(dials);
    }
    println!("{SCHEDULES} nodes that come back: 0 wrong verdicts, at most {most_dials} dials");
    assert!(most_dials <= MAX_DIALS);
}

#[test]
fn each_dead_node_is_found_within_the_limit_by_few_dials() {
    let (mut slowest, mut most_dials) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut rng = StdRng::seed_from_u64(seed);
        let fault = random_fault(&mut rng);
        let (verdict, at, dials) = watch(&mut rng, fault, Time::MAX);
        assert_eq!(verdict, Verdict::Dead, "seed {seed}: {fault:?}");
        (slowest, most_dials) = (slowest.max(at), most_dials.max(dials));
    }
    println!("{SCHEDULES} dead nodes: found within {} ms, at most {most_dials} dials", slowest / MS);
    assert!(slowest <= limits().dead_after + DIAL_TIMEOUT && limits().dead_after == 7_250 * MS);
    assert!(most_dials <= MAX_DIALS);
}

#[test]
fn refusals_make_a_node_unreachable_long_before_they_end_its_sessions() {
    let mut node = FailureDetector::new(0);
    let mut refuse = |now| node.dial_failed(now, FailedDial::Refused, None, &limits());
    assert_eq!(refuse(MS), Verdict::Suspected);
    assert_eq!(refuse(100 * MS), Verdict::Unreachable);
    assert_eq!(refuse(limits().dead_after - 1), Verdict::Unreachable);
    assert_eq!(refuse(limits().dead_after), Verdict::Dead);
}

#[test]
fn silence_makes_a_node_unreachable_after_the_limit_for_it_and_not_by_the_number_of_dials() {
    let mut node = FailureDetector::new(0);
    let mut time_out = |now| node.dial_failed(now, FailedDial::TimedOut, Some(1_000 * MS), &limits());
    for now in 1..10 {
        assert_eq!(time_out(1_000 * MS + now * DIAL_TIMEOUT.min(200 * MS)), Verdict::Suspected);
    }
    assert_eq!(time_out(1_000 * MS + limits().unreachable_after), Verdict::Unreachable);
}

#[test]
fn a_sign_of_life_ends_every_doubt() {
    let mut node = FailureDetector::new(0);
    node.dial_failed(MS, FailedDial::Refused, None, &limits());
    node.heard(7_000 * MS);
    assert_eq!(node.last_heard(), 7_000 * MS);
    assert_eq!(node.dial_failed(7_001 * MS, FailedDial::Refused, None, &limits()), Verdict::Suspected);
    assert_eq!(node.next_dial_at(7_001 * MS, &limits()), 7_101 * MS, "pauses begin anew");
    assert_eq!(node.dead_at(&limits()), 7_000 * MS + limits().dead_after);
}

#[test]
fn pauses_double_up_to_the_longest_and_a_dial_begins_when_the_verdict_is_due() {
    let mut node = FailureDetector::new(0);
    let mut now = 0;
    let mut pauses = Vec::new();
    while now < limits().dead_after {
        assert!(
            now + DIAL_TIMEOUT <= limits().dead_after,
            "a dial at {now} is in the way of the one that counts"
        );
        node.dial_failed(now, FailedDial::Refused, None, &limits());
        let next = node.next_dial_at(now, &limits());
        pauses.push((next - now) / MS);
        now = next;
    }
    assert_eq!(pauses[..5], [100, 200, 400, 800, 800]);
    assert_eq!(now, limits().dead_after);
    assert_eq!(node.dial_failed(now, FailedDial::Refused, None, &limits()), Verdict::Dead);
}

/// Guards against a verdict by a dial that began when the node was still allowed to be away.
#[test]
fn a_dial_that_began_before_the_limit_ends_nothing_and_the_next_one_follows_soon() {
    let mut node = FailureDetector::new(0);
    node.dial_failed(0, FailedDial::Refused, None, &limits());
    let ended = limits().dead_after - 1 + DIAL_TIMEOUT;
    let verdict = node.dial_failed(ended, FailedDial::TimedOut, None, &limits());
    assert_eq!(verdict, Verdict::Unreachable);
    let next = node.next_dial_at(ended, &limits());
    assert_eq!(next, ended + limits().first_pause);
    let verdict = node.dial_failed(next + DIAL_TIMEOUT, FailedDial::TimedOut, None, &limits());
    assert_eq!(verdict, Verdict::Dead);
}

#[test]
fn a_node_that_was_not_watched_has_the_whole_time_and_one_failed_dial_never_ends_it() {
    let long_ago = 60_000 * MS;
    let refuse =
        |node: &mut FailureDetector, now| node.dial_failed(now, FailedDial::Refused, None, &limits());
    let mut node = FailureDetector::new(0);
    node.watch_from(long_ago);
    assert_eq!(node.last_heard(), 0);
    assert_eq!(refuse(&mut node, long_ago), Verdict::Suspected);
    assert_eq!(refuse(&mut node, long_ago + limits().dead_after - 1), Verdict::Unreachable);
    assert_eq!(refuse(&mut node, long_ago + limits().dead_after), Verdict::Dead);
    // A process that stood still for long has heard nothing meanwhile.
    let mut node = FailureDetector::new(0);
    assert_eq!(refuse(&mut node, long_ago), Verdict::Suspected);
    assert_eq!(refuse(&mut node, long_ago + MS), Verdict::Dead);
}
