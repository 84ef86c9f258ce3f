//! A failure detector for one node, without I/O: the caller passes it what was seen of the node, with the time.
//!
//! Inputs, and what each proves:
//! - a **sign of life**: a message or an answer, a connection that came up, or one that the node closed or reset. The node
//!   was there at that moment;
//! - a **refused dial**: this dial ran nothing. A dead process refuses, and so does a node at its limit of connections;
//! - a **dial that timed out**: a machine that vanished or is cut off, or one whose backlog is full;
//! - a dial that failed for a local reason proves nothing, and is no input.
//!
//! The verdict has two levels, by what a wrong one costs. [`Verdict::Unreachable`] is given soon: nothing new is sent to
//! the node for a while, and set-ups whose connection broke are given up. [`Verdict::Dead`] ends sessions, which a node that
//! lives plays on. So it is given only to an unreachable node, when the time in which the end of a session must be known is
//! over: [`Limits::dead_after`] without a sign of life, and a failed dial that began after it. Until then dials are
//! repeated, with pauses that double.
//!
//! All times are in nanoseconds, on a clock that does not go back.

/// A time or a duration in nanoseconds.
pub type Time = u64;

const MS: Time = 1_000_000;
/// Part of the time in which an end must be known that is reserved for the way to the viewer and a delay of this process.
pub const END_NOTICE_MARGIN: Time = 250 * MS;
/// Time of failed dials after which a node is unreachable.
pub const CHECK_TIME: Time = 2_000 * MS;
/// Pause between the first two dials.
pub const FIRST_REDIAL_PAUSE: Time = 100 * MS;
/// Longest pause between two dials.
const LONGEST_REDIAL_PAUSE: Time = 800 * MS;
/// Refused dials after which a node is unreachable.
const UNREACHABLE_REFUSALS: u32 = 2;

/// Limits of a detector.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Refused dials since the last sign of life after which a node is unreachable.
    pub unreachable_refusals: u32,
    /// Time since the first doubt after which any failed dial shows that a node is unreachable.
    pub unreachable_after: Time,
    /// Time without a sign of life after which a failed dial shows that an unreachable node is dead. The verdict comes
    /// later than this by the time of two dials and the first pause at most, if they begin when
    /// [`FailureDetector::next_dial_at`] says.
    pub dead_after: Time,
    /// Time after which a dial that has not come up is given up.
    pub dial_timeout: Time,
    /// Pause before the second dial.
    pub first_pause: Time,
    /// Longest pause between two dials.
    pub longest_pause: Time,
}

impl Limits {
    /// Limits by which the end of a session at a dead node is known within `end_notice_limit`, if a dial is given up after
    /// `dial_timeout`.
    #[must_use]
    pub fn new(end_notice_limit: Time, dial_timeout: Time) -> Self {
        // A dial that began before may be in the way of the one that counts.
        let reserved = dial_timeout.saturating_mul(2).saturating_add(END_NOTICE_MARGIN);
        Self {
            unreachable_refusals: UNREACHABLE_REFUSALS,
            unreachable_after: CHECK_TIME,
            dead_after: end_notice_limit.saturating_sub(reserved),
            dial_timeout,
            first_pause: FIRST_REDIAL_PAUSE,
            longest_pause: LONGEST_REDIAL_PAUSE,
        }
    }
}

/// How a dial failed, for a reason that lies with the node or the way to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailedDial {
    /// It was refused.
    Refused,
    /// It did not come up in time.
    TimedOut,
}

impl FailedDial {
    /// When a dial that failed now began, if it is given up after `dial_timeout`. A refusal comes at once.
    #[must_use]
    pub fn began_at(self, now: Time, dial_timeout: Time) -> Time {
        match self {
            Self::Refused => now,
            Self::TimedOut => now.saturating_sub(dial_timeout),
        }
    }
}

/// What is held of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing speaks against it.
    Alive,
    /// A dial failed, which proves nothing yet.
    Suspected,
    /// It cannot be reached; its sessions may play.
    Unreachable,
    /// Its sessions have ended.
    Dead,
}

/// The failure detector of one node.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    last_heard: Time,
    /// Since when the node is watched.
    watched_since: Time,
    refused_dials: u32,
    failed_dials: u32,
    /// When the first dial that failed since the last sign of life ended.
    doubted_since: Option<Time>,
}

impl FailureDetector {
    /// A detector of a node that becomes known at this time, which counts as a sign of life.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self { last_heard: now, watched_since: now, refused_dials: 0, failed_dials: 0, doubted_since: None }
    }

    /// When the last sign of life came.
    #[must_use]
    pub fn last_heard(&self) -> Time {
        self.last_heard
    }

    /// A sign of life came.
    pub fn heard(&mut self, now: Time) {
        *self = Self::new(now);
    }

    /// The node is watched from now on: it was not asked for signs of life before, so that their absence proves nothing.
    pub fn watch_from(&mut self, now: Time) {
        *self = Self { last_heard: self.last_heard, ..Self::new(now) };
    }

    /// A dial failed now. `doubted_since` is when the caller began to doubt that the node lives, if that was before.
    pub fn dial_failed(
        &mut self,
        now: Time,
        end: FailedDial,
        doubted_since: Option<Time>,
        limits: &Limits,
    ) -> Verdict {
        let first_doubt = self.doubted_since.unwrap_or(now).min(doubted_since.unwrap_or(now));
        self.doubted_since = Some(first_doubt);
        self.failed_dials = self.failed_dials.saturating_add(1);
        self.refused_dials = self.refused_dials.saturating_add(u32::from(end == FailedDial::Refused));
        let is_unreachable = now >= self.unreachable_at(limits);
        match (is_unreachable, end.began_at(now, limits.dial_timeout) >= self.dead_at(limits)) {
            (false, _) => Verdict::Suspected,
            (true, false) => Verdict::Unreachable,
            (true, true) => Verdict::Dead,
        }
    }

    /// From when on a failed dial shows that an unreachable node is dead.
    #[must_use]
    pub fn dead_at(&self, limits: &Limits) -> Time {
        self.last_heard.max(self.watched_since).saturating_add(limits.dead_after)
    }

    /// From when on a failed dial shows that the node is unreachable.
    fn unreachable_at(&self, limits: &Limits) -> Time {
        match self.doubted_since {
            _ if self.refused_dials >= limits.unreachable_refusals => 0,
            Some(since) => since.saturating_add(limits.unreachable_after),
            None => Time::MAX,
        }
    }

    /// When to dial next after one that failed now: after a pause that doubles, but as soon as a failed dial shows that the
    /// node is dead, and not shortly before, since that dial would show nothing and delay the one that does.
    #[must_use]
    pub fn next_dial_at(&self, now: Time, limits: &Limits) -> Time {
        let doublings = self.failed_dials.saturating_sub(1).min(u64::BITS - 1);
        let factor = 1u64 << doublings;
        let pause = limits.first_pause.saturating_mul(factor).min(limits.longest_pause);
        let next = now.saturating_add(pause);
        let verdict_at = self.dead_at(limits).max(self.unreachable_at(limits));
        if next.saturating_add(limits.dial_timeout) <= verdict_at {
            return next;
        }
        // A dial may fail at once, so that there is a pause in any case.
        if verdict_at > now { verdict_at } else { now.saturating_add(limits.first_pause) }
    }
}

#[cfg(test)]
mod tests;
