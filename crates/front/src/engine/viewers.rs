//! Which request of a viewer counts: the claims that viewers hold by their keys.
//!
//! A viewer is one key. A second request under a key may be the same one sent again, a newer one that
//! replaces it, or one that finds the session playing. What each of them gets is decided here, without I/O;
//! the engine carries it out. Two things always hold: a key has one session at most, and no set-up of a key
//! begins while an earlier attempt of that key is still being closed.

use pepperhook::{SessionId, Time, ViewerKey};
use std::collections::BTreeMap;

/// How far a claim has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// Its set-up is under way.
    Waiting,
    /// It plays.
    Playing,
}

/// A viewer's claim: one session, and the offer that it was asked with.
#[derive(Clone, Copy, Debug)]
struct Claim {
    session: SessionId,
    offer: u64,
    stand: Stand,
    /// Requests that wait for its answer.
    waiting: u32,
}

/// What a request gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A session of its own, now.
    Begin,
    /// The same offer again while its set-up is under way: it waits for the same answer.
    Join(SessionId),
    /// The same offer again, and it plays: the answer is given once more.
    Repeat(SessionId),
    /// Another offer: the session ends, this one takes its place.
    Replace(SessionId, Stand),
    /// An earlier attempt of this key is being closed: it waits for that, then begins.
    Park,
    /// As many copies of one request wait as may.
    Refuse,
}

/// Copies of one request that may wait at once: a client's own repeats, not a flood.
const MOST_WAITING: u32 = 4;

/// All claims.
#[derive(Debug, Default)]
pub struct Claims {
    held: BTreeMap<ViewerKey, Claim>,
    /// Attempts that are being closed, by key.
    closing: BTreeMap<ViewerKey, u32>,
}

impl Claims {
    /// What a request under this key gets. For `Join` the wait is counted at once.
    pub fn ask(&mut self, key: ViewerKey, offer: u64) -> Verdict {
        let closing = self.closing.contains_key(&key);
        match self.held.get_mut(&key) {
            Some(c) if c.offer == offer && c.stand == Stand::Playing => Verdict::Repeat(c.session),
            Some(c) if c.offer == offer && c.waiting >= MOST_WAITING => Verdict::Refuse,
            Some(c) if c.offer == offer => {
                c.waiting += 1;
                Verdict::Join(c.session)
            }
            Some(c) => Verdict::Replace(c.session, c.stand),
            None if closing => Verdict::Park,
            None => Verdict::Begin,
        }
    }

    /// Is this a copy of the request that holds the key?
    #[must_use]
    pub fn knows(&self, key: ViewerKey, offer: u64) -> bool {
        self.held.get(&key).is_some_and(|c| c.offer == offer)
    }

    /// A session begins under the key.
    pub fn begin(&mut self, key: ViewerKey, session: SessionId, offer: u64) {
        self.held.insert(key, Claim { session, offer, stand: Stand::Waiting, waiting: 1 });
    }

    /// It plays.
    pub fn plays(&mut self, key: ViewerKey, session: SessionId) {
        if let Some(c) = self.held.get_mut(&key).filter(|c| c.session == session) {
            (c.stand, c.waiting) = (Stand::Playing, 0);
        }
    }

    /// One of those who wait for it left; true if none is left.
    pub fn left(&mut self, key: ViewerKey, session: SessionId) -> bool {
        self.held.get_mut(&key).filter(|c| c.session == session).is_none_or(|c| {
            c.waiting = c.waiting.saturating_sub(1);
            c.waiting == 0
        })
    }

    /// The session ended, or never came to be.
    pub fn end(&mut self, key: ViewerKey, session: SessionId) {
        if self.held.get(&key).is_some_and(|c| c.session == session) {
            self.held.remove(&key);
        }
    }

    /// An attempt of the key is being closed.
    pub fn closing(&mut self, key: ViewerKey) {
        *self.closing.entry(key).or_default() += 1;
    }

    /// It is closed; true if the key is free of such attempts now.
    pub fn closed(&mut self, key: ViewerKey) -> bool {
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

/// Viewers who were refused, moved or cut off, for as long as they may count as coming again.
#[derive(Debug)]
pub struct Returning(lru::LruCache<ViewerKey, Time>);

/// A viewer who comes later than this after a refusal or a break comes anew.
const RETURNS_WITHIN: Time = 10_000_000_000;

impl Returning {
    /// Remembers so many viewers at most; the longest unseen are forgotten first.
    #[must_use]
    pub fn new(most: std::num::NonZeroUsize) -> Self {
        Self(lru::LruCache::new(most))
    }

    /// The viewer was sent away or cut off.
    pub fn note(&mut self, now: Time, key: ViewerKey) {
        self.0.put(key, now);
    }

    /// Does the viewer come again? Asked once for each request.
    pub fn came_again(&mut self, now: Time, key: ViewerKey) -> bool {
        self.0.pop(&key).is_some_and(|at| at.saturating_add(RETURNS_WITHIN) >= now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const K: ViewerKey = ViewerKey(1);
    const S1: SessionId = SessionId(1);

    #[test]
    fn the_same_offer_joins_and_later_repeats_the_answer() {
        let mut c = Claims::default();
        assert_eq!(c.ask(K, 7), Verdict::Begin);
        c.begin(K, S1, 7);
        assert_eq!(c.ask(K, 7), Verdict::Join(S1));
        assert!(!c.left(K, S1), "another one waits still");
        assert!(c.left(K, S1));
        c.plays(K, S1);
        assert_eq!(c.ask(K, 7), Verdict::Repeat(S1));
        assert_eq!(c.ask(K, 8), Verdict::Replace(S1, Stand::Playing));
        c.end(K, S1);
        assert_eq!(c.ask(K, 8), Verdict::Begin);
    }

    #[test]
    fn a_flood_of_copies_is_refused() {
        let mut c = Claims::default();
        c.begin(K, S1, 7);
        let joined = (0..20).filter(|_| c.ask(K, 7) == Verdict::Join(S1)).count();
        assert_eq!(joined as u32, MOST_WAITING - 1);
    }

    #[test]
    fn nothing_begins_while_an_attempt_is_being_closed() {
        let mut c = Claims::default();
        c.begin(K, S1, 7);
        c.closing(K);
        c.closing(K);
        c.end(K, S1);
        assert_eq!(c.ask(K, 9), Verdict::Park);
        assert!(!c.closed(K));
        assert_eq!(c.ask(K, 9), Verdict::Park);
        assert!(c.closed(K));
        assert_eq!(c.ask(K, 9), Verdict::Begin);
    }

    #[test]
    fn a_late_end_does_not_touch_a_newer_session() {
        let mut c = Claims::default();
        c.begin(K, SessionId(2), 7);
        c.end(K, S1);
        c.plays(K, S1);
        assert_eq!(c.ask(K, 7), Verdict::Join(SessionId(2)));
    }

    #[test]
    fn who_comes_again_is_known_for_a_time_and_within_a_bound() {
        let mut r = Returning::new(std::num::NonZeroUsize::new(2).expect("two"));
        (1..=3).for_each(|k| r.note(0, ViewerKey(k)));
        assert!(!r.came_again(1, ViewerKey(1)), "forgotten for want of room");
        assert!(r.came_again(1, ViewerKey(3)) && !r.came_again(1, ViewerKey(3)));
        assert!(!r.came_again(RETURNS_WITHIN + 1, ViewerKey(2)));
    }
}
