//! The faults of one way of one link, by time.

use crate::schedule::Kind;

/// Faults of one way that are remembered at most; more are refused.
pub const MOST_WINDOWS: usize = 1_024;

/// A fault and when it holds, microseconds of the harness's clock; the end is left out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Its beginning.
    pub from_us: u64,
    /// Its end.
    pub until_us: u64,
    /// What it does.
    pub kind: Kind,
}

/// What is wrong with one way of a link, and when.
#[derive(Clone, Debug, Default)]
pub struct Windows(Vec<Window>);

impl Windows {
    /// One more fault; false where there are [`MOST_WINDOWS`] already.
    pub fn add(&mut self, window: Window) -> bool {
        let room = self.0.len() < MOST_WINDOWS;
        if room {
            self.0.push(window);
        }
        room
    }

    /// Ends all faults, those to come too.
    pub fn heal(&mut self) {
        self.0.clear();
    }

    /// Lets go of faults that are over.
    pub fn sweep(&mut self, now_us: u64) {
        self.0.retain(|w| w.until_us > now_us);
    }

    /// What holds at a moment, in the order in which it was added.
    pub fn at(&self, now_us: u64) -> impl Iterator<Item = Kind> + '_ {
        self.0.iter().filter(move |w| (w.from_us..w.until_us).contains(&now_us)).map(|w| w.kind)
    }

    /// Nothing passes now.
    #[must_use]
    pub fn is_cut(&self, now_us: u64) -> bool {
        self.at(now_us).any(|k| k == Kind::Cut)
    }

    /// Connections are reset now.
    #[must_use]
    pub fn resets(&self, now_us: u64) -> bool {
        self.at(now_us).any(|k| k == Kind::Reset)
    }

    /// The moment from which on nothing of these kinds holds, where one holds now. Windows that overlap count as one.
    #[must_use]
    pub fn held_until(&self, now_us: u64, holds: impl Fn(Kind) -> bool) -> Option<u64> {
        let mut until = now_us;
        // Each turn passes the end of one window at least.
        for _ in 0..=self.0.len() {
            let of_now = self.0.iter().filter(|w| (w.from_us..w.until_us).contains(&until) && holds(w.kind));
            match of_now.map(|w| w.until_us).max() {
                Some(end) => until = end,
                None => break,
            }
        }
        (until > now_us).then_some(until)
    }

    /// The next moment after this one at which something begins or ends.
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
    fn windows_begin_and_end_on_time_and_overlapping_ones_hold_as_one() {
        let mut w = Windows::default();
        assert!(w.add(window(10, 20, Kind::Cut)) && w.add(window(15, 30, Kind::Stall)));
        assert!(w.add(window(40, 50, Kind::Stall)));
        assert!(!w.is_cut(9) && w.is_cut(10) && w.is_cut(19) && !w.is_cut(20));
        let any = |k| matches!(k, Kind::Cut | Kind::Stall);
        assert_eq!(w.held_until(12, any), Some(30));
        assert_eq!(w.held_until(12, |k| k == Kind::Cut), Some(20));
        assert_eq!((w.held_until(30, any), w.held_until(45, any)), (None, Some(50)));
        assert_eq!((w.next_change(0), w.next_change(20), w.next_change(50)), (Some(10), Some(30), None));
        w.sweep(30);
        assert_eq!(w.next_change(0), Some(40));
        w.heal();
        assert_eq!(w.next_change(0), None);
    }

    #[test]
    fn windows_are_bounded() {
        let mut w = Windows::default();
        assert!((0..MOST_WINDOWS).all(|_| w.add(window(0, 1, Kind::Cut))));
        assert!(!w.add(window(0, 1, Kind::Cut)));
    }
}
