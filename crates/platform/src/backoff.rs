//! Times for the change log's client: the pauses between connections, and the deadline after which a connection counts as
//! silent. No I/O and no clock of its own.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Upper bound of the first pause; it doubles with each further pause.
const INITIAL_MAX_PAUSE: Duration = Duration::from_millis(200);
/// Upper bound of every pause.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);
/// A connection that lasted this long resets the back-off. Receiving an event is not enough: a log that sends one event
/// and then invalid bytes on each connection would be dialled without a limit on the rate.
const RESET_AFTER: Duration = Duration::from_millis(1_000);

/// Exponential back-off with jitter. Each pause is drawn from the upper half of its range: fronts that lose their log at
/// the same moment do not reconnect at the same moment, and none reconnects at once.
#[derive(Debug)]
pub struct Backoff {
    random: StdRng,
    max_pause: Duration,
}

impl Backoff {
    /// Starts from the first pause; the seed is the front's own.
    pub fn new(seed: u64) -> Self {
        Self { random: StdRng::seed_from_u64(seed), max_pause: INITIAL_MAX_PAUSE }
    }

    /// The pause after an attempt that lasted this long from the dial to the end of its connection.
    pub fn pause(&mut self, lasted: Duration) -> Duration {
        if lasted >= RESET_AFTER {
            self.reset();
        }
        let pause = self.random.random_range(self.max_pause / 2..=self.max_pause);
        self.max_pause = (self.max_pause * 2).min(MAX_PAUSE);
        pause
    }

    /// Starts again from the first pause, for another address.
    pub fn reset(&mut self) {
        self.max_pause = INITIAL_MAX_PAUSE;
    }
}

/// A connection counts as silent after this time; the log sends a complete frame every second.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_300);
/// Slowest acceptable transfer of a frame, in bytes per second; a frame in progress has that much longer. The longest
/// one, 540 kB, may take 19 s from the frame before it.
const MIN_BYTES_PER_SECOND: u32 = 32 * 1024;

/// Deadline by which a change log must send the next complete frame. Counting any byte would let a log that trickles bytes
/// keep the connection for ever; counting complete frames alone would never let a long list through a slow link. All
/// times are relative to the question to the log.
#[derive(Debug)]
pub struct SilenceDeadline {
    /// Time in which the first frame may come without any byte before it.
    answer_timeout: Duration,
    /// No frame is complete yet.
    awaits_answer: bool,
    /// When the last frame was complete.
    last_frame: Duration,
    /// When the last byte came.
    last_byte: Duration,
    /// Length in bytes of the frame in progress, from its length field.
    frame_length: usize,
}

impl SilenceDeadline {
    /// Starts with the question, whose answer must begin within this time.
    pub fn new(answer_timeout: Duration) -> Self {
        Self {
            answer_timeout,
            awaits_answer: true,
            last_frame: Duration::ZERO,
            last_byte: Duration::ZERO,
            frame_length: 0,
        }
    }

    /// Records that bytes were received.
    pub fn bytes_received(&mut self, at: Duration) {
        self.last_byte = at;
    }

    /// Records that a frame is complete.
    pub fn frame_completed(&mut self, at: Duration) {
        (self.last_frame, self.awaits_answer) = (at, false);
    }

    /// Sets the length in bytes of the frame in progress; 0 if there is none or its length is not known yet.
    pub fn set_frame_length(&mut self, bytes: usize) {
        self.frame_length = bytes;
    }

    /// The time at which the connection counts as silent, unless more is received before.
    pub fn deadline(&self) -> Duration {
        let deadline = (self.last_byte + SILENCE_TIMEOUT).min(self.frame_deadline(SILENCE_TIMEOUT));
        if self.awaits_answer { deadline.max(self.answer_timeout) } else { deadline }
    }

    /// The end of this time after the last complete frame, plus the slowest acceptable transfer of the one in progress.
    pub fn frame_deadline(&self, timeout: Duration) -> Duration {
        let transfer_time = Duration::from_secs(1)
            .saturating_mul(u32::try_from(self.frame_length).unwrap_or(u32::MAX))
            / MIN_BYTES_PER_SECOND;
        self.last_frame + timeout + transfer_time
    }
}

#[cfg(test)]
mod tests;
