//! The clock for messages and deadlines between fronts.

use nix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds that never goes back. It is read once and then counted by `CLOCK_BOOTTIME`, which also counts
/// time in suspend (clock_gettime(2)). `CLOCK_MONOTONIC`, which `pepperhook_net::Clock` and tokio use, stops in suspend:
/// a lease from another front would then last longer here than at the front that granted it.
#[derive(Debug)]
pub struct FleetClock {
    /// Unix time at the start.
    base: Duration,
    /// `CLOCK_BOOTTIME` at the start.
    start: Duration,
    /// Longest time since the start that was shown.
    last: Cell<Duration>,
}

impl FleetClock {
    /// A clock that starts at the system's time.
    ///
    /// # Errors
    /// If the system has no `CLOCK_BOOTTIME`.
    pub fn new() -> io::Result<Self> {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Self::starting_at(base, boot_time()?))
    }

    fn starting_at(base: Duration, start: Duration) -> Self {
        Self { base, start, last: Cell::new(Duration::ZERO) }
    }

    /// Current Unix time, milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.at_reading(boot_time().ok())
    }

    /// The time at a reading of `CLOCK_BOOTTIME`. If the reading failed (`None`) or is earlier than a previous one, the time
    /// does not advance.
    fn at_reading(&self, reading: Option<Duration>) -> u64 {
        let elapsed = reading.map_or(Duration::ZERO, |reading| reading.saturating_sub(self.start));
        self.last.set(self.last.get().max(elapsed));
        u64::try_from(self.base.saturating_add(self.last.get()).as_millis()).unwrap_or(u64::MAX)
    }
}

fn boot_time() -> io::Result<Duration> {
    Ok(clock_gettime(ClockId::CLOCK_BOOTTIME)?.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    #[test]
    fn it_begins_at_the_systems_time_and_goes_on() {
        let system = || SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
        let before = system();
        let clock = FleetClock::new().expect("the system has the clock");
        let first = clock.now_ms();
        assert!((before..=system() + 1).contains(&first), "{before} {first}");
        // Without a sleep: if the clock did not advance, this loop would not end.
        let mut last = first;
        while last < first + 5 {
            let now = clock.now_ms();
            assert!(now >= last, "back from {last} to {now}");
            last = now;
        }
    }

    #[test]
    fn it_counts_time_in_which_nothing_ran() {
        let clock = FleetClock::starting_at(1_000_000 * MS, 70 * MS);
        assert_eq!(clock.at_reading(Some(70 * MS)), 1_000_000);
        assert_eq!(clock.at_reading(Some(95 * MS)), 1_000_025);
        assert_eq!(clock.at_reading(Some(3_600_095 * MS)), 4_600_025, "an hour in suspend");
    }

    #[test]
    fn it_never_goes_back() {
        let clock = FleetClock::starting_at(1_000_000 * MS, 70 * MS);
        assert_eq!(clock.at_reading(Some(170 * MS)), 1_000_100);
        for reading in [Some(169 * MS), Some(70 * MS), Some(Duration::ZERO), None] {
            assert_eq!(clock.at_reading(reading), 1_000_100, "{reading:?}");
        }
        assert_eq!(clock.at_reading(Some(171 * MS)), 1_000_101);
        assert_eq!(clock.at_reading(Some(Duration::MAX)), u64::MAX);
    }

    #[test]
    fn it_uses_the_clock_that_counts_suspended_time() {
        // CLOCK_BOOTTIME is CLOCK_MONOTONIC plus the time in suspend.
        let monotonic: Duration = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("read").into();
        assert!(boot_time().expect("read") >= monotonic);
    }
}
