//! Chooses the followers and grantors of a stream by rendezvous hashing (Thaler and Ravishankar 1998): a
//! change of the view moves only the copies that it has to.

use crate::lease::GrantorId;
use crate::wire::StreamId;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// A front in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its run. A restarted front counts as a different grantor, because it has lost its grants.
    pub run: u64,
    /// Its zone.
    pub zone: u16,
}

/// The fronts of a view, ordered by their hash for a stream.
#[must_use]
pub fn rank_fronts(stream: StreamId, view: &BTreeMap<u64, Peer>) -> Vec<u64> {
    let front_hash = |front: u64| {
        let mut hash = SipHasher13::new_with_keys(stream.front, stream.run);
        hash.write_u8(stream.shard);
        hash.write_u32(stream.generation);
        hash.write_u64(front);
        hash.finish()
    };
    let mut order: Vec<(u64, u64)> = view.keys().map(|front| (front_hash(*front), *front)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, front)| front).collect()
}

/// The `count` fronts that keep copies of a stream for `writer`: first the best ranked front of each other
/// zone, then the remaining fronts by rank.
#[must_use]
pub fn choose_followers(
    stream: StreamId,
    writer: u64,
    view: &BTreeMap<u64, Peer>,
    count: usize,
) -> BTreeSet<u64> {
    let mut zones: BTreeSet<u16> = view.get(&writer).map(|p| p.zone).into_iter().collect();
    let mut order = rank_fronts(stream, view);
    order.retain(|front| *front != writer);
    let (mut first, mut rest) = (Vec::new(), Vec::new());
    for front in order {
        let in_new_zone = view.get(&front).is_some_and(|p| zones.insert(p.zone));
        if in_new_zone { first.push(front) } else { rest.push(front) }
    }
    first.into_iter().chain(rest).take(count).collect()
}

/// Minimum number of grantors where more are requested: with fewer, the death of one would leave no majority.
const MIN_GRANTORS: usize = 3;

/// The grantors that a stream should have, ordered by front number: those of `current` that are in the view,
/// then other fronts of the view by rank, up to `max`.
///
/// The number is odd where possible. An even number is never better than the next lower odd one, which
/// survives as many deaths, nor than the next higher one, which has the same majority. If the view has too
/// few fronts, absent grantors stay and departed fronts are added until there are at least three and an odd
/// number; they count again once they return.
#[must_use]
pub fn choose_grantors(
    stream: StreamId,
    view: &BTreeMap<u64, Peer>,
    departed: &BTreeMap<u64, Peer>,
    current: &[GrantorId],
    max: usize,
) -> Vec<GrantorId> {
    let ranked = |peers: &BTreeMap<u64, Peer>| -> Vec<GrantorId> {
        rank_fronts(stream, peers)
            .into_iter()
            .filter_map(|front| peers.get(&front).map(|p| (front, p.run)))
            .collect()
    };
    let is_present = |g: &GrantorId| view.get(&g.0).is_some_and(|p| p.run == g.1);
    let mut grantors: Vec<GrantorId> = current.iter().copied().filter(is_present).collect();
    let more: Vec<GrantorId> = ranked(view).into_iter().filter(|g| !grantors.contains(g)).collect();
    grantors.extend(more);
    grantors.truncate(max);
    // A front that is in the view under another run has lost its grants, so its former run is not kept.
    let old = current.iter().copied().filter(|g| !view.contains_key(&g.0));
    let mut absent: Vec<GrantorId> = old.collect();
    let more = ranked(departed).into_iter().filter(|g| !view.contains_key(&g.0));
    let more: Vec<GrantorId> = more.filter(|g| absent.iter().all(|a| a.0 != g.0)).collect();
    absent.extend(more);
    let too_few = |n: usize| n < max && (n < MIN_GRANTORS || n % 2 == 0);
    for grantor in absent {
        if !too_few(grantors.len()) {
            break;
        }
        grantors.push(grantor);
    }
    if grantors.len() > MIN_GRANTORS && grantors.len() % 2 == 0 {
        grantors.pop();
    }
    grantors.sort_unstable();
    grantors
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
            let stream = StreamId { front: 1, run: 7, shard, generation: 0 };
            let before = choose_followers(stream, 1, &all, 2);
            let zones: BTreeSet<u16> = before.iter().map(|f| all[f].zone).collect();
            assert_eq!((before.len(), zones.len()), (2, 2));
            assert!(
                !zones.contains(&all[&1].zone),
                "no follower in the writer's zone while other zones have fronts"
            );
            let mut remaining = all.clone();
            remaining.remove(&5);
            let after = choose_followers(stream, 1, &remaining, 2);
            if !before.contains(&5) {
                assert_eq!(after, before, "the death of another front moves nothing");
            } else {
                moved += 1;
                assert_eq!(after.intersection(&before).count(), 1, "only the dead front's copy moves");
            }
        }
        assert!(moved > 20, "front 5 was a follower of some streams");
    }

    #[test]
    fn one_zone_or_few_fronts_do() {
        let one_zone: BTreeMap<u64, Peer> = (1..=4).map(|f| (f, Peer { run: 1, zone: 0 })).collect();
        let stream = StreamId { front: 1, run: 7, shard: 0, generation: 0 };
        assert_eq!(choose_followers(stream, 1, &one_zone, 2).len(), 2);
        assert_eq!(choose_followers(stream, 1, &view(1), 2).len(), 0);
    }

    #[test]
    fn grantors_are_an_odd_number_and_at_least_three_if_enough_fronts_are_known() {
        let stream = StreamId { front: 1, run: 7, shard: 0, generation: 0 };
        let none = BTreeMap::new();
        let all = view(9);
        assert_eq!(choose_grantors(stream, &all, &none, &[], 5).len(), 5);
        assert_eq!(
            choose_grantors(stream, &view(4), &none, &[], 5).len(),
            3,
            "four survive no more deaths than three"
        );
        assert_eq!(choose_grantors(stream, &view(2), &none, &[], 5).len(), 2, "no other front was ever seen");
        let three = [(1, 1), (2, 1), (3, 1)];
        assert_eq!(
            choose_grantors(stream, &view(2), &none, &three, 3),
            three,
            "the absent third grantor is kept for its return"
        );
        assert_eq!(choose_grantors(stream, &view(1), &none, &three, 3), three);
        // A grantor that returns under another run has lost its grants and is replaced.
        let mut returned = view(3);
        returned.insert(3, Peer { run: 2, zone: 0 });
        assert_eq!(choose_grantors(stream, &returned, &none, &three, 3), [(1, 1), (2, 1), (3, 2)]);
        // A stream that is created in a partition names a departed front as its third grantor.
        let departed: BTreeMap<u64, Peer> = view(4).into_iter().filter(|(f, _)| *f > 2).collect();
        let chosen = choose_grantors(stream, &view(2), &departed, &[], 5);
        assert_eq!((chosen.len(), &chosen[..2]), (3, &[(1, 1), (2, 1)][..]));
        assert_eq!(choose_grantors(stream, &view(2), &departed, &chosen, 5), chosen, "the choice is stable");
        // With three grantors present no absent ones are kept: those would raise the majority.
        let five: Vec<GrantorId> = (1..=5).map(|f| (f, 1)).collect();
        assert_eq!(choose_grantors(stream, &view(3), &none, &five, 5), five[..3]);
        assert_eq!(choose_grantors(stream, &view(4), &none, &five, 5), five);
        assert_eq!(choose_grantors(stream, &view(4), &none, &[], 1).len(), 1);
    }
}
