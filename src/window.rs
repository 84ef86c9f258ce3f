//! Time helpers, and sums over a sliding time window.

use crate::interface::Time;
use std::collections::VecDeque;

/// One second.
pub const SECOND: Time = 1_000_000_000;

/// The time `span` before `now`.
pub fn ago(now: Time, span: Time) -> Time {
    now.saturating_sub(span)
}

/// A duration in seconds.
pub fn seconds(duration: Time) -> f64 {
    duration as f64 / SECOND as f64
}

/// Values with the times at which they were added, in order of time.
#[derive(Clone, Debug, Default)]
pub struct SlidingSum(VecDeque<(Time, f64)>);

impl SlidingSum {
    /// Adds a value and removes those older than `retention`.
    pub fn push(&mut self, now: Time, value: f64, retention: Time) {
        self.0.push_back((now, value));
        while self.0.front().is_some_and(|(at, _)| at.saturating_add(retention) < now) {
            self.0.pop_front();
        }
    }

    /// Sum of the values that were added later than `after`.
    #[must_use]
    pub fn sum_after(&self, after: Time) -> f64 {
        self.0.iter().rev().take_while(|(at, _)| *at > after).map(|(_, v)| v).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::SlidingSum;

    #[test]
    fn sums_only_later_values_and_drops_old_ones() {
        let mut sum = SlidingSum::default();
        sum.push(10, 1.0, 100);
        sum.push(20, 2.0, 100);
        assert_eq!(sum.sum_after(10), 2.0);
        assert_eq!(sum.sum_after(9), 3.0);
        sum.push(121, 4.0, 100);
        assert_eq!(sum.sum_after(0), 4.0);
    }
}
