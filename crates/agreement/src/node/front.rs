//! What every front does: it asks for holds, learns what it misses, and has its proposals on their way.

use super::{Node, Note, Out};
use crate::catch_up::{Got, Reply};
use crate::fragments::{Ack, Leaves, Piece};
use crate::genesis::Genesis;
use crate::lease::Granted;
use crate::proposals::Answer;
use crate::registers::first8;
use crate::types::{Key, VoterId, What};
use crate::wire::{Head, Message, decode};
use rand::Rng;

/// Questions in flight that are remembered.
const MOST_ASKED: usize = 64;
/// Questions out of turn are at least this far apart, milliseconds.
const SOON_MS: u64 = 100;
/// A wiped voter asks for its replacement this often, milliseconds.
const REPLACE_MS: u64 = 2_000;
/// Fronts whose stores are remembered at most.
const MOST_STORES: usize = 1_024;

impl Node {
    pub(super) fn tick_front(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let soon = self.look_soon && now_ms >= self.last_look_ms.saturating_add(SOON_MS);
        if now_ms >= self.look_ms || soon {
            // A little unevenly, so that fronts started together do not ask together for ever.
            let jitter = self.random.random_range(0..=self.s.look_ms / 8);
            self.look_ms = now_ms.saturating_add(self.s.look_ms.saturating_sub(jitter));
            self.look(now_ms, out);
        }
        if self.is_behind() {
            let whom = self.whom();
            if let Some((place, want)) = self.learner.tick(now_ms, &self.registers, whom.len())
                && let Some(to) = whom.get(place).copied()
            {
                self.say(now_ms, to, &Message::Ask(want), out);
            }
        }
        self.replace_former_self(now_ms, out);
        self.send_proposals(now_ms, out);
        for key in self.proposals.expired(now_ms) {
            out.push(Out::Proposed { key, answer: Answer::Expired });
        }
        while let Some((_, to, bytes)) = self.again.front().filter(|(due, ..)| *due <= now_ms).cloned() {
            self.again.pop_front();
            out.push(Out::Send { to, message: bytes });
        }
        let mut leave = Vec::new();
        self.parcels.tick(now_ms, &mut leave);
        for (to, what) in leave {
            let message = match what {
                Leaves::Piece(Piece { id, length, index, bytes }) => {
                    Message::Piece { id, length, index, bytes }
                }
                Leaves::Ack(Ack { id, has }) => Message::Ack { id, has },
            };
            self.say(now_ms, to, &message, out);
        }
    }

    /// A voter learns as well: what it has in use may be ahead of its own log, what it grants by is its disk.
    pub(super) fn is_behind(&self) -> bool {
        let config = self.registers.config_number();
        !self.forked && (self.learner.is_behind(&self.registers) || self.told_config > config)
    }

    fn look(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        (self.look_soon, self.last_look_ms) = (false, now_ms);
        let whom = self.whom();
        let came = u64::from(self.answers).saturating_mul(1_000) / (whom.len() as u64).max(1);
        self.heard_of = (self.heard_of * 7 + came.min(1_000)) / 8;
        self.answers = 0;
        self.question = self.question.saturating_add(1);
        if self.asked.len() >= MOST_ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((self.question, now_ms));
        let (question, vouched, hold_ms) = (self.question, self.hold.vouched(), self.s.hold_ms);
        let store = self.id.filter(|_| !self.stopped).map_or(0, |v| v.store);
        for to in whom {
            self.say(now_ms, to, &Message::Look { question, vouched, hold_ms, store }, out);
        }
        if let (Some(id), Some((since, answer))) =
            (self.id, self.granted(now_ms, (self.s.me, self.s.run), question, vouched))
            && self.hold.answered(id, since, now_ms, &answer)
        {
            out.push(Out::Settled(self.hold.settled()));
        }
    }

    /// Whether more than one in twenty messages seems to be lost, here or there. A voter that is down looks the same.
    pub(super) fn is_lossy(&self) -> bool {
        self.heard_of < 900
    }

    pub(super) fn send_proposals(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        if self.proposals.is_empty() {
            return;
        }
        let leader = self.leader().map(|v| v.front);
        let mut whom = self.whom();
        if self.seat.is_some() {
            whom.push(self.s.me);
        }
        for (to, command) in self.proposals.due(now_ms, &whom, leader) {
            if to == self.s.me {
                let key = command.key;
                if let Err(leader) = self.offer(now_ms, command, out) {
                    self.proposals.declined(now_ms, key, leader);
                }
            } else {
                self.say(now_ms, to, &Message::Propose(command), out);
            }
        }
    }

    /// Its store was lost or put away, and the former one is still a voter.
    fn replace_former_self(&mut self, now_ms: u64, out: &mut Vec<Out>) {
        let Some(id) = self.id.filter(|_| !self.stopped && !self.forked && now_ms >= self.next_replace_ms)
        else {
            return;
        };
        let Some(config) = self.registers.config() else { return };
        let Some(old) = config.voters.iter().find(|v| v.front == id.front && v.store != id.store).copied()
        else {
            return;
        };
        self.next_replace_ms = now_ms.saturating_add(REPLACE_MS);
        let voters = config.voters.iter().map(|v| if *v == old { id } else { *v }).collect();
        let what = What::Voters { expects: config.number, voters };
        // One key for one change: asked again, it counts once.
        let key = Key(u128::from(id.store) << 64 | u128::from(old.store.rotate_left(config.number)));
        if !self.proposals.has(key) && self.registers.outcome(key).is_none() {
            self.notes.push(Note::Replaces { old: old.store });
            self.propose(now_ms, crate::types::Command { key, author: self.s.me, what }, out);
        }
    }

    /// Where another front is, as it says with each message.
    pub(super) fn head(&mut self, from: u64, head: &Head) {
        let here = self.registers.origin();
        if from == self.s.me || head.origin == 0 || (here != 0 && here != head.origin) {
            return;
        }
        self.learner.told(head.number);
        self.told_config = self.told_config.max(head.config);
    }

    pub(super) fn message(
        &mut self,
        now_ms: u64,
        from: u64,
        run: u64,
        head: Head,
        message: Message,
        out: &mut Vec<Out>,
    ) {
        match message {
            Message::Told => {}
            Message::Look { question, vouched, hold_ms, store } => {
                if self.stores.len() >= MOST_STORES {
                    self.stores.retain(|_, (_, at)| now_ms.saturating_sub(*at) < 10_000);
                }
                if store != 0 && (self.stores.len() < MOST_STORES || self.stores.contains_key(&from)) {
                    self.stores.insert(from, (store, now_ms));
                }
                // What a front of another fleet's state vouches for says nothing here, and one that would hold for longer
                // than is granted must not.
                let ours = head.origin == self.registers.origin() && hold_ms <= self.s.hold_ms;
                let answer = if ours { self.granted(now_ms, (from, run), question, vouched) } else { None };
                let (since, a) = answer.unwrap_or((0, Granted { granted: false, floor: 0, cleared: None }));
                let store = self.id.map_or(0, |v| v.store);
                let hash = first8(self.registers.hash());
                let Granted { granted, floor, cleared } = a;
                let looked = Message::Looked { question, store, since, granted, floor, cleared, hash };
                self.say(now_ms, from, &looked, out);
            }
            Message::Looked { question, store, since, granted, floor, cleared, hash } => {
                let (of, answer) = ((question, store, since, hash), Granted { granted, floor, cleared });
                self.looked(now_ms, from, &head, of, answer, out);
            }
            Message::Ask(want) => self.asked_by(now_ms, from, &want, out),
            Message::Stretch(s) => {
                if self.is_behind() {
                    match self.learner.piece(&s, &self.registers) {
                        Some(Got::Commands(commands)) => self.learned(now_ms, commands, out),
                        Some(Got::Snapshot(new))
                            if self.seat.is_none()
                                || new.config_number() > self.registers.config_number() =>
                        {
                            self.replace(now_ms, *new, out);
                        }
                        _ => {}
                    }
                }
            }
            Message::NoMore => {
                let of = self.whom().len();
                if self.learner.nothing(of) {
                    self.told_config = self.registers.config_number();
                }
            }
            Message::Fork { number, here } => {
                let config = self.registers.config();
                let (own, origin) = (first8(self.registers.hash()), self.registers.origin());
                // From a voter, and about what this front has now: not an answer to a question long ago.
                let now = if number == 0 {
                    here != origin
                } else {
                    number == self.registers.number() && here != own
                };
                let named = self.s.voters.contains(&from);
                if now
                    && origin != 0
                    && (named || config.is_some_and(|c| c.voters.iter().any(|v| v.front == from)))
                {
                    self.fork(number, if number == 0 { origin } else { own }, here);
                }
            }
            Message::Propose(command) => {
                let key = command.key;
                if head.origin == self.registers.origin()
                    && let Err(leader) = self.offer(now_ms, command, out)
                {
                    self.say(now_ms, from, &Message::Declined { key, leader }, out);
                }
            }
            Message::Declined { key, leader } => self.proposals.declined(now_ms, key, leader),
            Message::Piece { id, length, index, bytes } => {
                let (messages, ack) =
                    self.parcels.piece(now_ms, from, run, &Piece { id, length, index, bytes });
                if let Some(Ack { id, has }) = ack {
                    self.say(now_ms, from, &Message::Ack { id, has }, out);
                }
                for (head, message) in messages.iter().filter_map(|m| decode(m)) {
                    // Nothing else is long, and a parcel in a parcel could be one without end.
                    if matches!(message, Message::Consensus { .. } | Message::Propose(_)) {
                        self.message(now_ms, from, run, head, message, out);
                    }
                }
            }
            Message::Ack { id, has } => self.parcels.ack(now_ms, from, &Ack { id, has }),
            Message::Genesis(heard) => {
                if self.registers.config().is_some() {
                    self.say(now_ms, from, &Message::Told, out);
                } else if let Some(g) = self.genesis() {
                    g.heard(from, run, heard);
                }
            }
            voters => self.voters_message(now_ms, from, run, &head, voters, out),
        }
    }

    fn looked(
        &mut self,
        now_ms: u64,
        from: u64,
        head: &Head,
        (question, store, since, hash): (u64, u64, u32, u64),
        answer: Granted,
        out: &mut Vec<Out>,
    ) {
        self.answers = self.answers.saturating_add(1);
        let (number, origin) = (self.registers.number(), self.registers.origin());
        let voter = VoterId { front: from, store };
        let votes = self.registers.config().is_some_and(|c| c.voters.contains(&voter));
        if votes && origin != 0 && head.origin == origin && head.number == number {
            let own = first8(self.registers.hash());
            if own != hash {
                self.fork(number, own, hash);
            }
        }
        if origin != 0
            && head.origin != 0
            && head.origin != origin
            && (votes || self.s.voters.contains(&from))
        {
            self.fork(0, origin, head.origin);
        }
        let asked = self.asked.iter().find(|(q, _)| *q == question).map(|(_, ms)| *ms);
        let Some(asked) = asked.filter(|_| head.origin == origin) else { return };
        if self.hold.answered(voter, since, asked.min(now_ms), &answer) {
            out.push(Out::Settled(self.hold.settled()));
        }
        // It was under the floor when it asked, and is no more.
        self.look_soon |= !answer.granted && answer.floor > 0 && answer.floor <= self.hold.vouched();
    }

    fn asked_by(&mut self, now_ms: u64, from: u64, want: &crate::catch_up::Want, out: &mut Vec<Out>) {
        let reply = match &mut self.source {
            Some(source) if !self.forked => source.asked(now_ms, from, want, &self.registers),
            _ => Reply::Nothing,
        };
        match reply {
            Reply::Pieces(pieces) => {
                for p in pieces {
                    self.say(now_ms, from, &Message::Stretch(p), out);
                }
            }
            Reply::Fork { number, here } => self.say(now_ms, from, &Message::Fork { number, here }, out),
            Reply::Nothing => self.say(now_ms, from, &Message::NoMore, out),
        }
    }

    fn learned(&mut self, now_ms: u64, commands: Vec<crate::types::Command>, out: &mut Vec<Out>) {
        for command in commands {
            self.apply(now_ms, command, out);
        }
    }

    pub(super) fn genesis(&mut self) -> Option<&mut Genesis> {
        let may = self.id.is_some()
            && !self.stopped
            && self.registers.config().is_none()
            && self.begun.is_none()
            && self.s.voters.contains(&self.s.me);
        if !may {
            self.genesis = None;
        } else if self.genesis.is_none() {
            self.genesis = Some(Genesis::new(self.me(), &self.s.voters));
        }
        self.genesis.as_mut()
    }
}
