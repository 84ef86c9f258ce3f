//! The clock that the fleet's part goes by.

use nix::time::{ClockId, clock_gettime};
use std::cell::Cell;
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds that never goes back: read once, then counted by `CLOCK_BOOTTIME`, which goes on while the
/// machine is suspended (clock_gettime(2)). `CLOCK_MONOTONIC`, by which `pepperhook_net::Clock` and tokio count, stands
/// still then: what others granted for a time would outlast their own count of it.
#[derive(Debug)]
pub struct FleetClock {
    base: Duration,
    start: Duration,
    last: Cell<Duration>,
}

impl FleetClock {
    /// A clock that starts at the system's time.
    ///
    /// # Errors
    /// Where the system has no clock that goes on in suspend.
    pub fn new() -> io::Result<Self> {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Self::begun(base, boot_time()?))
    }

    fn begun(base: Duration, start: Duration) -> Self {
        Self { base, start, last: Cell::new(Duration::ZERO) }
    }

    /// Now, milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.shown(boot_time().ok())
    }

    /// What it shows at a reading of the system's clock. That cannot fail once it worked; if it does, or reads less
    /// than before, this clock stands still.
    fn shown(&self, read: Option<Duration>) -> u64 {
        let counted = read.map_or(Duration::ZERO, |read| read.saturating_sub(self.start));
        self.last.set(self.last.get().max(counted));
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
        // Goes on by the system's clock, without a sleep: a clock that stood still would never get there.
        let mut last = first;
        while last < first + 5 {
            let now = clock.now_ms();
            assert!(now >= last, "back from {last} to {now}");
            last = now;
        }
    }

    #[test]
    fn it_counts_time_in_which_nothing_ran() {
        let clock = FleetClock::begun(1_000_000 * MS, 70 * MS);
        assert_eq!(clock.shown(Some(70 * MS)), 1_000_000);
        assert_eq!(clock.shown(Some(95 * MS)), 1_000_025);
        assert_eq!(clock.shown(Some(3_600_095 * MS)), 4_600_025, "an hour in suspend");
    }

    #[test]
    fn it_never_goes_back() {
        let clock = FleetClock::begun(1_000_000 * MS, 70 * MS);
        assert_eq!(clock.shown(Some(170 * MS)), 1_000_100);
        for read in [Some(169 * MS), Some(70 * MS), Some(Duration::ZERO), None] {
            assert_eq!(clock.shown(read), 1_000_100, "{read:?}");
        }
        assert_eq!(clock.shown(Some(171 * MS)), 1_000_101);
        assert_eq!(clock.shown(Some(Duration::MAX)), u64::MAX);
    }

    #[test]
    fn it_goes_by_the_clock_that_counts_suspended_time() {
        // Since boot that clock has counted what the monotonic one has, and the time in suspend.
        let monotonic: Duration = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("read").into();
        assert!(boot_time().expect("read") >= monotonic);
    }
}
