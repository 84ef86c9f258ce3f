//! The session of each viewer key, and how a further request under the same key is admitted.
//!
//! A further request may be a duplicate of the first, a newer one that replaces it, or one that arrives while the
//! session plays. The admission is decided here, without I/O; the engine carries it out. Two invariants hold: a key
//! has at most one session, and no set-up for a key starts while an earlier attempt for that key is being closed.

use pepperhook::{SessionId, Time, ViewerKey};
use std::collections::BTreeMap;

/// The phase of a viewer's session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its set-up is under way.
    SettingUp,
    /// It plays.
    Playing,
}

/// The session of one viewer key, and the offer that it was requested with.
#[derive(Clone, Copy, Debug)]
struct ViewerSession {
    session: SessionId,
    offer_hash: u64,
    phase: Phase,
    /// Number of requests that wait for the answer.
    waiters: u32,
}

/// How a request under a viewer key is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start a new session now.
    Start,
    /// Duplicate of a request whose set-up is under way: wait for the same answer.
    Join(SessionId),
    /// Duplicate of a request whose session plays: repeat its answer.
    RepeatAnswer(SessionId),
    /// Another offer: end the existing session and start a new one.
    Replace(SessionId, Phase),
    /// An earlier attempt for this key is being closed: start once it is closed.
    Park,
    /// Too many duplicates of the request already wait.
    TooManyWaiting,
}

/// Most requests that may wait for one answer. Enough for a client's retries; bounds a flood of duplicates.
const MAX_WAITERS: u32 = 4;

/// The sessions of all viewer keys, and the attempts that are being closed for them.
#[derive(Debug, Default)]
pub struct ViewerSessions {
    sessions: BTreeMap<ViewerKey, ViewerSession>,
    /// Number of attempts being closed, by key.
    closing: BTreeMap<ViewerKey, u32>,
}

impl ViewerSessions {
    /// Decides how a request under this key is handled. `Join` counts the new waiter.
    pub fn admit(&mut self, key: ViewerKey, offer_hash: u64) -> Admission {
        let closing = self.closing.contains_key(&key);
        match self.sessions.get_mut(&key) {
            Some(v) if v.offer_hash == offer_hash && v.phase == Phase::Playing => {
                Admission::RepeatAnswer(v.session)
            }
            Some(v) if v.offer_hash == offer_hash && v.waiters >= MAX_WAITERS => Admission::TooManyWaiting,
            Some(v) if v.offer_hash == offer_hash => {
                v.waiters += 1;
                Admission::Join(v.session)
            }
            Some(v) => Admission::Replace(v.session, v.phase),
            None if closing => Admission::Park,
            None => Admission::Start,
        }
    }

    /// Whether this is a duplicate of the request that the key's session was started for.
    #[must_use]
    pub fn is_duplicate(&self, key: ViewerKey, offer_hash: u64) -> bool {
        self.sessions.get(&key).is_some_and(|v| v.offer_hash == offer_hash)
    }

    /// Records a session that starts under the key, with one waiter.
    pub fn start(&mut self, key: ViewerKey, session: SessionId, offer_hash: u64) {
        self.sessions.insert(key, ViewerSession { session, offer_hash, phase: Phase::SettingUp, waiters: 1 });
    }

    /// Records that the session plays; all its waiters have their answer.
    pub fn set_playing(&mut self, key: ViewerKey, session: SessionId) {
        if let Some(v) = self.sessions.get_mut(&key).filter(|v| v.session == session) {
            (v.phase, v.waiters) = (Phase::Playing, 0);
        }
    }

    /// Removes one waiter; returns true if none is left.
    pub fn remove_waiter(&mut self, key: ViewerKey, session: SessionId) -> bool {
        self.sessions.get_mut(&key).filter(|v| v.session == session).is_none_or(|v| {
            v.waiters = v.waiters.saturating_sub(1);
            v.waiters == 0
        })
    }

    /// Frees the key when its session has ended or its set-up has failed. Ignored if the key has a newer session.
    pub fn release(&mut self, key: ViewerKey, session: SessionId) {
        if self.sessions.get(&key).is_some_and(|v| v.session == session) {
            self.sessions.remove(&key);
        }
    }

    /// Records that an attempt for the key is being closed.
    pub fn attempt_closing(&mut self, key: ViewerKey) {
        *self.closing.entry(key).or_default() += 1;
    }

    /// Records that such an attempt is closed; returns true if no other one of the key is being closed.
    pub fn attempt_closed(&mut self, key: ViewerKey) -> bool {
        match self.closing.get_mut(&key) {
            Some(n) if *n > 1 => {
                *n -= 1;
                false
            }
            Some(_) => {
                self.closing.remove(&key);
                true
            }
            None => true,
        }
    }
}

/// Viewers who were refused, moved or disconnected recently: their next request counts as a reconnect.
#[derive(Debug)]
pub struct ReturningViewers(lru::LruCache<ViewerKey, Time>);

/// A request within this time after a refusal, move or disconnect counts as a reconnect. Nanoseconds (10 s).
const RECONNECT_WINDOW: Time = 10_000_000_000;

impl ReturningViewers {
    /// Remembers at most `capacity` viewers; the least recently recorded are evicted first.
    #[must_use]
    pub fn new(capacity: std::num::NonZeroUsize) -> Self {
        Self(lru::LruCache::new(capacity))
    }

    /// Records that the viewer was refused, moved or disconnected.
    pub fn record(&mut self, now: Time, key: ViewerKey) {
        self.0.put(key, now);
    }

    /// Whether the viewer reconnects. Forgets the viewer, so it is called once for each request.
    pub fn take_reconnect(&mut self, now: Time, key: ViewerKey) -> bool {
        self.0.pop(&key).is_some_and(|at| at.saturating_add(RECONNECT_WINDOW) >= now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEY: ViewerKey = ViewerKey(1);
    const SESSION: SessionId = SessionId(1);

    #[test]
    fn a_duplicate_joins_the_set_up_and_later_repeats_the_answer() {
        let mut viewers = ViewerSessions::default();
        assert_eq!(viewers.admit(KEY, 7), Admission::Start);
        viewers.start(KEY, SESSION, 7);
        assert_eq!(viewers.admit(KEY, 7), Admission::Join(SESSION));
        assert!(!viewers.remove_waiter(KEY, SESSION), "another request still waits");
        assert!(viewers.remove_waiter(KEY, SESSION));
        viewers.set_playing(KEY, SESSION);
        assert_eq!(viewers.admit(KEY, 7), Admission::RepeatAnswer(SESSION));
        assert_eq!(viewers.admit(KEY, 8), Admission::Replace(SESSION, Phase::Playing));
        viewers.release(KEY, SESSION);
        assert_eq!(viewers.admit(KEY, 8), Admission::Start);
    }

    #[test]
    fn a_flood_of_duplicates_is_refused() {
        let mut viewers = ViewerSessions::default();
        viewers.start(KEY, SESSION, 7);
        let joined = (0..20).filter(|_| viewers.admit(KEY, 7) == Admission::Join(SESSION)).count();
        assert_eq!(joined as u32, MAX_WAITERS - 1);
    }

    #[test]
    fn no_session_starts_while_an_attempt_is_being_closed() {
        let mut viewers = ViewerSessions::default();
        viewers.start(KEY, SESSION, 7);
        viewers.attempt_closing(KEY);
        viewers.attempt_closing(KEY);
        viewers.release(KEY, SESSION);
        assert_eq!(viewers.admit(KEY, 9), Admission::Park);
        assert!(!viewers.attempt_closed(KEY));
        assert_eq!(viewers.admit(KEY, 9), Admission::Park);
        assert!(viewers.attempt_closed(KEY));
        assert_eq!(viewers.admit(KEY, 9), Admission::Start);
    }

    #[test]
    fn a_late_release_does_not_affect_a_newer_session() {
        let mut viewers = ViewerSessions::default();
        viewers.start(KEY, SessionId(2), 7);
        viewers.release(KEY, SESSION);
        viewers.set_playing(KEY, SESSION);
        assert_eq!(viewers.admit(KEY, 7), Admission::Join(SessionId(2)));
    }

    #[test]
    fn returning_viewers_are_remembered_for_a_time_and_within_a_bound() {
        let mut returning = ReturningViewers::new(std::num::NonZeroUsize::new(2).expect("two"));
        (1..=3).for_each(|k| returning.record(0, ViewerKey(k)));
        assert!(!returning.take_reconnect(1, ViewerKey(1)), "evicted: the capacity is 2");
        assert!(returning.take_reconnect(1, ViewerKey(3)) && !returning.take_reconnect(1, ViewerKey(3)));
        assert!(!returning.take_reconnect(RECONNECT_WINDOW + 1, ViewerKey(2)));
    }
}
