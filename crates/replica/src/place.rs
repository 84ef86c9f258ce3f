//! Who holds copies of a stream: rendezvous hashing (Thaler, Ravishankar 1998), so that a change of the view moves only
//! what it demands.

use crate::lease::Guardian;
use crate::wire::StreamId;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// A front of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its run: a restarted front is another one, since it has forgotten what it promised.
    pub run: u64,
    /// Its zone.
    pub zone: u16,
}

/// The fronts of a view in the order in which they come for a stream.
#[must_use]
pub fn rank(stream: StreamId, view: &BTreeMap<u64, Peer>) -> Vec<u64> {
    let draw = |front: u64| {
        let mut hash = SipHasher13::new_with_keys(stream.front, stream.run);
        hash.write_u8(stream.shard);
        hash.write_u32(stream.turn);
        hash.write_u64(front);
        hash.finish()
    };
    let mut order: Vec<(u64, u64)> = view.keys().map(|front| (draw(*front), *front)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, front)| front).collect()
}

/// The fronts that hold copies of a stream that `writer` writes: the first of each other zone, then whoever comes first.
#[must_use]
pub fn holders(stream: StreamId, writer: u64, view: &BTreeMap<u64, Peer>, copies: usize) -> BTreeSet<u64> {
    let mut zones: BTreeSet<u16> = view.get(&writer).map(|p| p.zone).into_iter().collect();
    let mut order = rank(stream, view);
    order.retain(|front| *front != writer);
    let (mut first, mut rest) = (Vec::new(), Vec::new());
    for front in order {
        let new = view.get(&front).is_some_and(|p| zones.insert(p.zone));
        if new { first.push(front) } else { rest.push(front) }
    }
    first.into_iter().chain(rest).take(copies).collect()
}

/// Fewer guards than these, where more are wished, would not survive the death of one.
const FEWEST_GUARDS: usize = 3;

/// The guards that a stream should have, by number: those of `now` that are in the view, then whoever comes first, as many
/// as `most`. An even number is never better than the next odd one: its majority is the same, or the next lower one
/// survives as many deaths. So where the view has too few, guards that left it, or fronts that did, stay or become guards
/// until three are named and the number is odd; they count as soon as they are back.
#[must_use]
pub fn wanted_guards(
    stream: StreamId,
    view: &BTreeMap<u64, Peer>,
    gone: &BTreeMap<u64, Peer>,
    now: &[Guardian],
    most: usize,
) -> Vec<Guardian> {
    let ranked = |of: &BTreeMap<u64, Peer>| -> Vec<Guardian> {
        rank(stream, of).into_iter().filter_map(|f| of.get(&f).map(|p| (f, p.run))).collect()
    };
    let here = |g: &Guardian| view.get(&g.0).is_some_and(|p| p.run == g.1);
    let mut guards: Vec<Guardian> = now.iter().copied().filter(here).collect();
    let more: Vec<Guardian> = ranked(view).into_iter().filter(|g| !guards.contains(g)).collect();
    guards.extend(more);
    guards.truncate(most);
    // A front that is there in another run has forgotten what it granted.
    let old = now.iter().copied().filter(|g| !view.contains_key(&g.0));
    let mut absent: Vec<Guardian> = old.collect();
    let more = ranked(gone).into_iter().filter(|g| !view.contains_key(&g.0));
    let more: Vec<Guardian> = more.filter(|g| absent.iter().all(|a| a.0 != g.0)).collect();
    absent.extend(more);
    let too_few = |n: usize| n < most && (n < FEWEST_GUARDS || n % 2 == 0);
    for guard in absent {
        if !too_few(guards.len()) {
            break;
        }
        guards.push(guard);
    }
    if guards.len() > FEWEST_GUARDS && guards.len() % 2 == 0 {
        guards.pop();
    }
    guards.sort_unstable();
    guards
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(n: u64) -> BTreeMap<u64, Peer> {
        (1..=n).map(|f| (f, Peer { run: 1, zone: (f % 3) as u16 })).collect()
    }

    #[test]
    fn copies_are_spread_over_zones_and_a_death_moves_only_its_own() {
        let all = view(9);
        let mut moved = 0;
        for shard in 0..200u8 {
            let stream = StreamId { front: 1, run: 7, shard, turn: 0 };
            let held = holders(stream, 1, &all, 2);
            let zones: BTreeSet<u16> = held.iter().map(|f| all[f].zone).collect();
            assert_eq!((held.len(), zones.len()), (2, 2));
            assert!(!zones.contains(&all[&1].zone), "none beside the writer where other zones have fronts");
            let mut less = all.clone();
            less.remove(&5);
            let now = holders(stream, 1, &less, 2);
            if !held.contains(&5) {
                assert_eq!(now, held, "the death of another front moves nothing");
            } else {
                moved += 1;
                assert_eq!(now.intersection(&held).count(), 1, "only the dead one's copy moves");
            }
        }
        assert!(moved > 20, "front 5 held some");
    }

    #[test]
    fn one_zone_or_few_fronts_do() {
        let one: BTreeMap<u64, Peer> = (1..=4).map(|f| (f, Peer { run: 1, zone: 0 })).collect();
        let stream = StreamId { front: 1, run: 7, shard: 0, turn: 0 };
        assert_eq!(holders(stream, 1, &one, 2).len(), 2);
        assert_eq!(holders(stream, 1, &view(1), 2).len(), 0);
    }

    #[test]
    fn guards_are_an_odd_number_and_three_at_least_as_long_as_any_are_known() {
        let stream = StreamId { front: 1, run: 7, shard: 0, turn: 0 };
        let nobody = BTreeMap::new();
        let all = view(9);
        assert_eq!(wanted_guards(stream, &all, &nobody, &[], 5).len(), 5);
        assert_eq!(
            wanted_guards(stream, &view(4), &nobody, &[], 5).len(),
            3,
            "four survive no more deaths than three"
        );
        assert_eq!(wanted_guards(stream, &view(2), &nobody, &[], 5).len(), 2, "nobody else was ever seen");
        let three = [(1, 1), (2, 1), (3, 1)];
        assert_eq!(
            wanted_guards(stream, &view(2), &nobody, &three, 3),
            three,
            "the third is kept for its return"
        );
        assert_eq!(wanted_guards(stream, &view(1), &nobody, &three, 3), three);
        // One that came back in another run has forgotten its grants: it is replaced.
        let mut back = view(3);
        back.insert(3, Peer { run: 2, zone: 0 });
        assert_eq!(wanted_guards(stream, &back, &nobody, &three, 3), [(1, 1), (2, 1), (3, 2)]);
        // A stream that is begun in a half names one that is not there.
        let gone: BTreeMap<u64, Peer> = view(4).into_iter().filter(|(f, _)| *f > 2).collect();
        let named = wanted_guards(stream, &view(2), &gone, &[], 5);
        assert_eq!((named.len(), &named[..2]), (3, &[(1, 1), (2, 1)][..]));
        assert_eq!(wanted_guards(stream, &view(2), &gone, &named, 5), named, "and keeps it");
        // Three that are there are enough: no more than those are needed to go on.
        let five: Vec<Guardian> = (1..=5).map(|f| (f, 1)).collect();
        assert_eq!(wanted_guards(stream, &view(3), &nobody, &five, 5), five[..3]);
        assert_eq!(wanted_guards(stream, &view(4), &nobody, &five, 5), five);
        assert_eq!(wanted_guards(stream, &view(4), &nobody, &[], 1).len(), 1);
    }
}
