//! A clock common to the fleet without a leader: the median of the fronts' clocks.

use std::collections::BTreeMap;

/// Estimates the fleet's clock from the offsets of the other fronts' clocks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FleetClock {
    /// The other front's clock minus this one's, milliseconds, by number of the front.
    offsets: BTreeMap<u64, i64>,
}

/// Maximum number of fronts whose offset is kept.
const MAX_FRONTS: usize = 1_024;

impl FleetClock {
    /// Records that `front` sent its clock's time `their_ms`, received here at `own_ms`. The network delay is
    /// ignored: it is some milliseconds, while rounds take a second.
    pub fn observe(&mut self, front: u64, their_ms: u64, own_ms: u64) {
        let offset = i128::from(their_ms) - i128::from(own_ms);
        let offset = offset.clamp(i128::from(i64::MIN / 2), i128::from(i64::MAX / 2)) as i64;
        if self.offsets.len() < MAX_FRONTS || self.offsets.contains_key(&front) {
            self.offsets.insert(front, offset);
        }
    }

    /// Keeps only the offsets of the fronts for which `is_member` is true.
    pub fn retain(&mut self, is_member: impl Fn(u64) -> bool) {
        self.offsets.retain(|front, _| is_member(*front));
    }

    /// Offset of the fleet's clock from this front's, milliseconds: the median over all fronts including this
    /// one. A single front whose clock is wrong therefore corrects itself and does not affect the others.
    #[must_use]
    pub fn offset_ms(&self) -> i64 {
        let mut offsets: Vec<i64> = self.offsets.values().copied().chain([0]).collect();
        offsets.sort_unstable();
        let middle = offsets.len() / 2;
        if offsets.len() % 2 == 1 { offsets[middle] } else { offsets[middle - 1] / 2 + offsets[middle] / 2 }
    }

    /// Converts a time of this front's clock to the fleet's clock.
    #[must_use]
    pub fn fleet_ms(&self, own_ms: u64) -> u64 {
        own_ms.saturating_add_signed(self.offset_ms())
    }

    /// Converts a time of the fleet's clock to this front's clock.
    #[must_use]
    pub fn own_ms(&self, fleet_ms: u64) -> u64 {
        fleet_ms.saturating_add_signed(self.offset_ms().saturating_neg())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_single_wrong_clock_corrects_itself() {
        // Eight fronts, the last one 30 s ahead; each receives the clocks of all others.
        let clocks_ms: Vec<u64> = (0..8).map(|i| if i == 7 { 1_030_000 } else { 1_000_000 + i }).collect();
        let fleet_ms: Vec<u64> = (0..8)
            .map(|me| {
                let mut clock = FleetClock::default();
                for (other, other_ms) in clocks_ms.iter().enumerate().filter(|(other, _)| *other != me) {
                    clock.observe(other as u64, *other_ms, clocks_ms[me]);
                }
                clock.fleet_ms(clocks_ms[me])
            })
            .collect();
        assert!(fleet_ms.iter().all(|ms| ms.abs_diff(1_000_003) <= 4), "{fleet_ms:?}");
    }

    #[test]
    fn two_clocks_meet_halfway_and_a_single_one_is_unchanged() {
        let (mut a, mut b) = (FleetClock::default(), FleetClock::default());
        assert_eq!(a.fleet_ms(5), 5);
        a.observe(2, 30_000, 0);
        b.observe(1, 0, 30_000);
        assert_eq!((a.fleet_ms(0), b.fleet_ms(30_000)), (15_000, 15_000));
        assert_eq!(a.own_ms(a.fleet_ms(77)), 77);
        a.observe(3, u64::MAX, 0);
        a.observe(4, 0, u64::MAX);
        assert_eq!(a.fleet_ms(1_000), 16_000, "extreme clocks do not move the median");
        a.retain(|front| front == 9);
        assert_eq!(a.fleet_ms(5), 5);
    }
}
