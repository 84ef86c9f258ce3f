//! The scheduled faults of one direction of a link: which are active at a time, and when that changes.

use crate::schedule::Kind;

/// Maximum number of current and future faults of one direction; more are refused.
pub const MAX_WINDOWS: usize = 1_024;

/// A fault and the time during which it is active, in microseconds of the relays' clock. The end is
/// exclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Start of the fault.
    pub from_us: u64,
    /// End of the fault.
    pub until_us: u64,
    /// Kind of fault.
    pub kind: Kind,
}

/// The faults of one direction of a link, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Windows(Vec<Window>);

impl Windows {
    /// Adds a fault; returns false if there are [`MAX_WINDOWS`] already.
    pub fn add(&mut self, window: Window) -> bool {
        let has_room = self.0.len() < MAX_WINDOWS;
        if has_room {
            self.0.push(window);
        }
        has_room
    }

    /// Removes all faults, including future ones.
    pub fn heal(&mut self) {
        self.0.clear();
    }

    /// Removes faults that have ended.
    pub fn remove_expired(&mut self, now_us: u64) {
        self.0.retain(|w| w.until_us > now_us);
    }

    /// Kinds of the faults that are active at a time, in the order in which they were added.
    pub fn active(&self, now_us: u64) -> impl Iterator<Item = Kind> + '_ {
        self.0.iter().filter(move |w| (w.from_us..w.until_us).contains(&now_us)).map(|w| w.kind)
    }

    /// Whether the direction is cut at a time.
    #[must_use]
    pub fn is_cut(&self, now_us: u64) -> bool {
        self.active(now_us).any(|k| k == Kind::Cut)
    }

    /// Whether connections are reset at a time.
    #[must_use]
    pub fn is_reset(&self, now_us: u64) -> bool {
        self.active(now_us).any(|k| k == Kind::Reset)
    }

    /// The first time after `now_us` at which no fault of the blocking kinds is active; `None` if none is active
    /// at `now_us`. Faults that overlap or adjoin count as one.
    #[must_use]
    pub fn blocked_until(&self, now_us: u64, blocks: impl Fn(Kind) -> bool) -> Option<u64> {
        let mut until_us = now_us;
        // Each iteration advances past the end of at least one window.
        for _ in 0..=self.0.len() {
            let blocking =
                self.0.iter().filter(|w| (w.from_us..w.until_us).contains(&until_us) && blocks(w.kind));
            match blocking.map(|w| w.until_us).max() {
                Some(end_us) => until_us = end_us,
                None => break,
            }
        }
        (until_us > now_us).then_some(until_us)
    }

    /// The next time after `now_us` at which a fault starts or ends.
    #[must_use]
    pub fn next_change(&self, now_us: u64) -> Option<u64> {
        self.0.iter().flat_map(|w| [w.from_us, w.until_us]).filter(|t| *t > now_us).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn window(from_us: u64, until_us: u64, kind: Kind) -> Window {
        Window { from_us, until_us, kind }
    }

    #[test]
    fn faults_start_and_end_on_time_and_overlapping_ones_count_as_one() {
        let mut w = Windows::default();
        assert!(w.add(window(10, 20, Kind::Cut)) && w.add(window(15, 30, Kind::Stall)));
        assert!(w.add(window(40, 50, Kind::Stall)));
        assert!(!w.is_cut(9) && w.is_cut(10) && w.is_cut(19) && !w.is_cut(20));
        let cut_or_stall = |k| matches!(k, Kind::Cut | Kind::Stall);
        assert_eq!(w.blocked_until(12, cut_or_stall), Some(30));
        assert_eq!(w.blocked_until(12, |k| k == Kind::Cut), Some(20));
        assert_eq!((w.blocked_until(30, cut_or_stall), w.blocked_until(45, cut_or_stall)), (None, Some(50)));
        assert_eq!((w.next_change(0), w.next_change(20), w.next_change(50)), (Some(10), Some(30), None));
        w.remove_expired(30);
        assert_eq!(w.next_change(0), Some(40));
        w.heal();
        assert_eq!(w.next_change(0), None);
    }

    #[test]
    fn a_fault_beyond_the_maximum_number_is_refused() {
        let mut w = Windows::default();
        let all_added = (0..MAX_WINDOWS).all(|_| w.add(window(0, 1, Kind::Cut)));
        assert!(all_added, "a fault was refused before there were {MAX_WINDOWS}");
        assert!(!w.add(window(0, 1, Kind::Cut)), "more than {MAX_WINDOWS} faults were added");
    }
}
