//! A clock that the fleet agrees on without anybody in charge: the median of its fronts' clocks.

use std::collections::BTreeMap;

/// How far the others' clocks are from this front's, and what follows from it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FleetClock {
    /// Their clock less this one's, milliseconds, by front.
    offsets: BTreeMap<u64, i64>,
}

/// Fronts whose clocks are remembered at most.
const MOST: usize = 1_024;

impl FleetClock {
    /// A message of a front that said what its clock showed, as this front's clock showed `own_ms`. What the message
    /// was under way is taken for nothing: milliseconds, against rounds of a second.
    pub fn observe(&mut self, front: u64, their_ms: u64, own_ms: u64) {
        let offset = i128::from(their_ms) - i128::from(own_ms);
        let offset = offset.clamp(i128::from(i64::MIN / 2), i128::from(i64::MAX / 2)) as i64;
        if self.offsets.len() < MOST || self.offsets.contains_key(&front) {
            self.offsets.insert(front, offset);
        }
    }

    /// Only these fronts count.
    pub fn retain(&mut self, there: impl Fn(u64) -> bool) {
        self.offsets.retain(|front, _| there(*front));
    }

    /// What is added to this front's clock, milliseconds: the median over all, itself included, so that one front
    /// whose clock is off corrects itself and none of the others.
    #[must_use]
    pub fn offset_ms(&self) -> i64 {
        let mut all: Vec<i64> = self.offsets.values().copied().chain([0]).collect();
        all.sort_unstable();
        let middle = all.len() / 2;
        if all.len() % 2 == 1 { all[middle] } else { all[middle - 1] / 2 + all[middle] / 2 }
    }

    /// The fleet's time where this front's clock shows `own_ms`.
    #[must_use]
    pub fn fleet_ms(&self, own_ms: u64) -> u64 {
        own_ms.saturating_add_signed(self.offset_ms())
    }

    /// This front's clock where the fleet's time is `fleet_ms`.
    #[must_use]
    pub fn own_ms(&self, fleet_ms: u64) -> u64 {
        fleet_ms.saturating_add_signed(self.offset_ms().saturating_neg())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_clock_that_is_off_corrects_itself() {
        // Eight fronts, the last 30 s ahead; each hears all others.
        let clocks: Vec<u64> = (0..8).map(|i| if i == 7 { 1_030_000 } else { 1_000_000 + i }).collect();
        let fleet: Vec<u64> = (0..8)
            .map(|me| {
                let mut c = FleetClock::default();
                for (other, clock) in clocks.iter().enumerate().filter(|(other, _)| *other != me) {
                    c.observe(other as u64, *clock, clocks[me]);
                }
                c.fleet_ms(clocks[me])
            })
            .collect();
        assert!(fleet.iter().all(|f| f.abs_diff(1_000_003) <= 4), "{fleet:?}");
    }

    #[test]
    fn two_clocks_meet_half_way_and_one_alone_stays() {
        let (mut a, mut b) = (FleetClock::default(), FleetClock::default());
        assert_eq!(a.fleet_ms(5), 5);
        a.observe(2, 30_000, 0);
        b.observe(1, 0, 30_000);
        assert_eq!((a.fleet_ms(0), b.fleet_ms(30_000)), (15_000, 15_000));
        assert_eq!(a.own_ms(a.fleet_ms(77)), 77);
        a.observe(3, u64::MAX, 0);
        a.observe(4, 0, u64::MAX);
        assert_eq!(a.fleet_ms(1_000), 16_000, "senseless clocks are outvoted");
        a.retain(|front| front == 9);
        assert_eq!(a.fleet_ms(5), 5);
    }
}
