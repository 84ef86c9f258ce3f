//! Which connections to the change log are open: when another one is dialled, and which are closed. No I/O and no clock
//! of its own; all times are relative to the start of the client.
//!
//! A change log that does not answer in time may have lost the question, or may be slow. Waiting alone would be wrong in
//! the first case, and asking again on a new connection, with the former one closed, in the second: no answer would ever
//! arrive. So a connection that is late stays open while another one is dialled, and the first of them that delivers
//! what is missing stays.

use crate::backoff::{Backoff, SILENCE_TIMEOUT, SilenceDeadline};
use std::time::Duration;

/// Connections open at the same time, at most: the one that waits longest and the newest.
const MAX_CONNECTIONS: usize = 2;
/// A connection whose dial takes longer than this is late.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time in which the first answer must come before its connection is late. The time doubles with each
/// unanswered question up to this, so that questions do not keep a crowded log slow.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(4_600);
/// A connection that delivered nothing for this long is closed.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Number of a connection; none is used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriptionId(u64);

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Dial the change log at its current address and request the events after the last one applied.
    Open(SubscriptionId),
    /// Close this connection.
    Close(SubscriptionId),
}

/// One connection to the change log.
#[derive(Debug)]
struct Subscription {
    id: SubscriptionId,
    /// When it was dialled.
    dialled_at: Duration,
    /// When the question was written; `None` while it is dialled.
    asked_at: Option<Duration>,
    /// Time by which the next frame must come, relative to `asked_at`.
    silence: SilenceDeadline,
    /// It is past its deadline.
    is_late: bool,
    /// It has delivered an event, or a heartbeat that names no event that is missing.
    has_answered: bool,
}

impl Subscription {
    /// The time from which it is late.
    fn deadline(&self) -> Duration {
        match self.asked_at {
            Some(asked_at) => asked_at + self.silence.deadline(),
            None => self.dialled_at + DIAL_TIMEOUT,
        }
    }

    /// The time at which it is closed although no other one has delivered anything.
    fn give_up_at(&self) -> Duration {
        match self.asked_at {
            Some(asked_at) => asked_at + self.silence.frame_deadline(MAX_WAIT),
            None => self.dialled_at + MAX_WAIT,
        }
    }
}

/// The open connections to the change log.
#[derive(Debug)]
pub struct Subscriptions {
    backoff: Backoff,
    /// Oldest first.
    open: Vec<Subscription>,
    /// When the next connection is dialled, if one is needed.
    dial_at: Option<Duration>,
    /// Time in which the next question must be answered.
    answer_timeout: Duration,
    next_id: u64,
}

impl Subscriptions {
    /// Starts without connections; the first one is dialled at once. The seed is the front's own.
    pub fn new(seed: u64) -> Self {
        Self {
            backoff: Backoff::new(seed),
            open: Vec::new(),
            dial_at: Some(Duration::ZERO),
            answer_timeout: SILENCE_TIMEOUT,
            next_id: 0,
        }
    }

    /// The time at which [`Self::poll`] has something to do.
    pub fn next_wake(&self) -> Option<Duration> {
        let on_time = self.open.iter().filter(|s| !s.is_late).map(Subscription::deadline);
        let given_up = self.open.iter().map(Subscription::give_up_at);
        on_time.chain(given_up).chain(self.dial_at).min()
    }

    /// Applies what is due. Returns the commands, and whether a connection has become late.
    pub fn poll(&mut self, now: Duration) -> (Vec<Command>, bool) {
        let mut commands = Vec::new();
        let became_late = self.mark_late(now);
        let given_up: Vec<_> = self.open.iter().filter(|s| s.give_up_at() <= now).map(|s| s.id).collect();
        for id in given_up {
            commands.push(Command::Close(id));
            self.ended(id, now);
        }
        if self.dial_at.is_some_and(|at| at <= now) {
            self.dial(now, &mut commands);
        }
        (commands, became_late)
    }

    fn mark_late(&mut self, now: Duration) -> bool {
        let due: Vec<_> =
            self.open.iter().filter(|s| !s.is_late && s.deadline() <= now).map(|s| s.id).collect();
        for id in &due {
            let Some(subscription) = self.find(*id) else { continue };
            subscription.is_late = true;
            let (dialled_at, has_answered) = (subscription.dialled_at, subscription.has_answered);
            if subscription.asked_at.is_some() && !has_answered {
                self.answer_timeout = (self.answer_timeout * 2).min(MAX_ANSWER_TIMEOUT);
            }
            self.schedule_dial(now, now.saturating_sub(dialled_at));
        }
        !due.is_empty()
    }

    fn dial(&mut self, now: Duration, commands: &mut Vec<Command>) {
        self.dial_at = None;
        if self.open.len() >= MAX_CONNECTIONS {
            commands.extend(self.open.pop().map(|newest| Command::Close(newest.id)));
        }
        self.next_id += 1;
        let id = SubscriptionId(self.next_id);
        commands.push(Command::Open(id));
        self.open.push(Subscription {
            id,
            dialled_at: now,
            asked_at: None,
            silence: SilenceDeadline::new(self.answer_timeout),
            is_late: false,
            has_answered: false,
        });
    }

    /// Schedules a dial after a pause, unless a connection is on time. The connection that makes it necessary lasted
    /// this long.
    fn schedule_dial(&mut self, now: Duration, lasted: Duration) {
        if self.dial_at.is_none() && self.open.iter().all(|s| s.is_late) {
            self.dial_at = Some(now + self.backoff.pause(lasted));
        }
    }

    /// The question was written.
    pub fn asked(&mut self, id: SubscriptionId, now: Duration) {
        if let Some(subscription) = self.find(id) {
            (subscription.asked_at, subscription.is_late) = (Some(now), false);
            self.dial_at = None;
        }
    }

    /// Bytes were received; the frame in progress has this length, 0 if none is in progress or its length is not known.
    pub fn bytes_received(&mut self, id: SubscriptionId, now: Duration, frame_length: usize) {
        if let Some(subscription) = self.find(id) {
            let asked_at = subscription.asked_at.unwrap_or(now);
            subscription.silence.bytes_received(now.saturating_sub(asked_at));
            subscription.silence.set_frame_length(frame_length);
        }
    }

    /// A frame is complete that shows the connection to be up to date. Returns commands that close the others.
    #[must_use]
    pub fn frame_completed(&mut self, id: SubscriptionId, now: Duration) -> Vec<Command> {
        let Some(subscription) = self.find(id) else { return Vec::new() };
        let at = now.saturating_sub(subscription.asked_at.unwrap_or(now));
        subscription.silence.bytes_received(at);
        subscription.silence.frame_completed(at);
        (subscription.is_late, subscription.has_answered) = (false, true);
        (self.dial_at, self.answer_timeout) = (None, SILENCE_TIMEOUT);
        let others: Vec<_> = self.open.iter().map(|s| s.id).filter(|other| *other != id).collect();
        self.open.retain(|s| s.id == id);
        others.into_iter().map(Command::Close).collect()
    }

    /// Whether this connection has delivered what was asked for.
    pub fn has_answered(&self, id: SubscriptionId) -> bool {
        self.open.iter().any(|s| s.id == id && s.has_answered)
    }

    /// A connection has ended or could not be made.
    pub fn ended(&mut self, id: SubscriptionId, now: Duration) {
        let Some(at) = self.open.iter().position(|s| s.id == id) else { return };
        let lasted = now.saturating_sub(self.open.remove(at).dialled_at);
        self.schedule_dial(now, lasted);
    }

    /// The change log has another address: all connections are closed, and it is dialled at once.
    #[must_use]
    pub fn moved(&mut self, now: Duration) -> Vec<Command> {
        self.backoff.reset();
        (self.dial_at, self.answer_timeout) = (Some(now), SILENCE_TIMEOUT);
        self.open.drain(..).map(|s| Command::Close(s.id)).collect()
    }

    fn find(&mut self, id: SubscriptionId) -> Option<&mut Subscription> {
        self.open.iter_mut().find(|s| s.id == id)
    }
}

#[cfg(test)]
mod tests;
