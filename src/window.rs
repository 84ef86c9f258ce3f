//! A mechanical container: values with their times, summed over a stretch that the caller names.

use crate::interface::Time;
use std::collections::VecDeque;

/// One second.
pub const SECOND: Time = 1_000_000_000;

/// The moment `span` before `now`.
pub fn ago(now: Time, span: Time) -> Time {
    now.saturating_sub(span)
}

/// A length of time in seconds.
pub fn seconds(t: Time) -> f64 {
    t as f64 / SECOND as f64
}

/// Values with the times at which they came, kept for as long as the caller says.
#[derive(Clone, Debug, Default)]
pub struct SlidingSum(VecDeque<(Time, f64)>);

impl SlidingSum {
    /// Adds a value and drops what is older than `keep`.
    pub fn push(&mut self, now: Time, value: f64, keep: Time) {
        self.0.push_back((now, value));
        while self.0.front().is_some_and(|(at, _)| at.saturating_add(keep) < now) {
            self.0.pop_front();
        }
    }

    /// Sum of the values that came later than `after`.
    #[must_use]
    pub fn since(&self, after: Time) -> f64 {
        self.0.iter().rev().take_while(|(at, _)| *at > after).map(|(_, v)| v).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::SlidingSum;

    #[test]
    fn sums_only_what_is_later_and_drops_the_old() {
        let mut s = SlidingSum::default();
        s.push(10, 1.0, 100);
        s.push(20, 2.0, 100);
        assert_eq!(s.since(10), 2.0);
        assert_eq!(s.since(9), 3.0);
        s.push(121, 4.0, 100);
        assert_eq!(s.since(0), 4.0);
    }
}
