//! Who holds copies of a stream: rendezvous hashing (Thaler, Ravishankar 1998), so that a change of the view moves only
//! what it demands.

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
}
