//! When a connection that broke off is tried again, and until when one that stands must have told something. No I/O and
//! no clock of its own.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Longest first pause, doubled with each further one
const FIRST: Duration = Duration::from_millis(200);
/// up to this.
const LONGEST: Duration = Duration::from_millis(1_000);
/// Who stood for so long starts again from the first pause. Any news would not do: a log that tells one event and
/// then rubbish, each time, would be asked without a bound.
const STOOD: Duration = Duration::from_millis(1_000);

/// Exponential backoff with jitter: each pause is drawn from the upper half of what it may be, so that fronts which
/// lost their log in one moment do not come back in one moment, and none comes back at once.
#[derive(Debug)]
pub struct Backoff {
    random: StdRng,
    most: Duration,
}

impl Backoff {
    /// Starts from the first pause; the seed is the front's own.
    pub fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed), most: FIRST }
    }

    /// The pause after a try that came to its end this long after it began.
    pub fn pause(&mut self, stood: Duration) -> Duration {
        if stood >= STOOD {
            self.reset();
        }
        let pause = self.random.random_range(self.most / 2..=self.most);
        self.most = (self.most * 2).min(LONGEST);
        pause
    }

    /// Starts again from the first pause, where what is tried is another.
    pub fn reset(&mut self) {
        self.most = FIRST;
    }
}

/// A log says something whole each second; after this it has fallen silent.
const SILENCE: Duration = Duration::from_millis(2_300);
/// A frame that is under way may take longer by what its bytes need at this pace, bytes a second. The longest one,
/// 540 kB, then has 19 s from the one before.
const PACE: u32 = 32 * 1024;

/// Until when a log must have told something: whole frames count. Bytes alone would let one that trickles hold the
/// watch for ever, and frames alone would never let a long list through a slow link. Times are counted from the
/// connection's start.
#[derive(Debug, Default)]
pub struct Patience {
    /// The last whole frame.
    whole: Duration,
    /// The last byte.
    heard: Duration,
    /// Bytes of the frame that is under way, as it announces itself.
    announced: usize,
}

impl Patience {
    /// Bytes came.
    pub fn heard(&mut self, at: Duration) {
        self.heard = at;
    }

    /// A frame was whole.
    pub fn whole(&mut self, at: Duration) {
        self.whole = at;
    }

    /// The frame that is under way has this length in bytes; 0 if none is, or if that is not told yet.
    pub fn announced(&mut self, bytes: usize) {
        self.announced = bytes;
    }

    /// The moment at which it counts as silent, unless something comes before.
    pub fn due(&self) -> Duration {
        let more =
            Duration::from_secs(1).saturating_mul(u32::try_from(self.announced).unwrap_or(u32::MAX)) / PACE;
        (self.heard + SILENCE).min(self.whole + SILENCE + more)
    }
}

#[cfg(test)]
mod tests;
