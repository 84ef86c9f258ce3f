//! What every front does: it asks for holds, learns what it misses, and has its proposals on their way.

use super::{Node, Note, Output};
use crate::catch_up::{CatchUpReply, Received};
use crate::fragments::{Ack, Fragment, FragmentMessage};
use crate::genesis::Genesis;
use crate::lease::GrantReply;
use crate::proposals::ProposalResult;
use crate::registers::hash_prefix;
use crate::types::{Key, Operation, VoterId};
use crate::wire::{Head, Message, decode};
use rand::Rng;

/// Questions in flight that are remembered.
const MAX_PENDING_REQUESTS: usize = 64;
/// Questions out of turn are at least this far apart, milliseconds.
const EARLY_RENEWAL_MS: u64 = 100;
/// A wiped voter asks for its replacement this often, milliseconds.
const REPLACE_INTERVAL_MS: u64 = 2_000;
/// Fronts whose stores are remembered at most.
const MAX_FRONT_STORES: usize = 1_024;

impl Node {
    pub(super) fn tick_front(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let soon = self.renew_soon && now_ms >= self.last_renewal_ms.saturating_add(EARLY_RENEWAL_MS);
        if now_ms >= self.next_renewal_ms || soon {
            // A little unevenly, so that fronts started together do not ask together for ever.
            let jitter = self.random.random_range(0..=self.settings.renew_ms / 8);
            self.next_renewal_ms = now_ms.saturating_add(self.settings.renew_ms.saturating_sub(jitter));
            self.request_leases(now_ms, out);
        }
        if self.is_behind() {
            let contacts = self.contacts();
            if let Some((place, want)) = self.learner.tick(now_ms, &self.registers, contacts.len())
                && let Some(to) = contacts.get(place).copied()
            {
                self.send(now_ms, to, &Message::CatchUp(want), out);
            }
        }
        self.replace_own_former_store(now_ms, out);
        self.send_proposals(now_ms, out);
        for key in self.proposals.expired(now_ms) {
            out.push(Output::Proposed { key, result: ProposalResult::Expired });
        }
        while let Some((_, to, bytes)) = self.duplicates.front().filter(|(due, ..)| *due <= now_ms).cloned() {
            self.duplicates.pop_front();
            out.push(Output::Send { to, message: bytes });
        }
        let mut leave = Vec::new();
        self.fragmenter.tick(now_ms, &mut leave);
        for (to, what) in leave {
            let message = match what {
                FragmentMessage::Fragment(Fragment { id, length, index, bytes }) => {
                    Message::Fragment { id, length, index, bytes }
                }
                FragmentMessage::Ack(Ack { id, received }) => Message::FragmentAck { id, received },
            };
            self.send(now_ms, to, &message, out);
        }
    }

    /// A voter learns as well: what it has in use may be ahead of its own log, what it grants by is its disk.
    pub(super) fn is_behind(&self) -> bool {
        let config = self.registers.config_number();
        !self.forked && (self.learner.is_behind(&self.registers) || self.highest_config > config)
    }

    fn request_leases(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        (self.renew_soon, self.last_renewal_ms) = (false, now_ms);
        let contacts = self.contacts();
        let came = u64::from(self.replies).saturating_mul(1_000) / (contacts.len() as u64).max(1);
        self.reply_permille = (self.reply_permille * 7 + came.min(1_000)) / 8;
        self.replies = 0;
        self.request = self.request.saturating_add(1);
        if self.requests.len() >= MAX_PENDING_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back((self.request, now_ms));
        let (request, confirmed, lease_ms) = (self.request, self.lease.confirmed(), self.settings.lease_ms);
        let store = self.id.filter(|_| !self.stopped).map_or(0, |v| v.store);
        for to in contacts {
            self.send(now_ms, to, &Message::LeaseRequest { request, confirmed, lease_ms, store }, out);
        }
        if let (Some(id), Some((voters_since, answer))) =
            (self.id, self.grant_lease(now_ms, (self.settings.me, self.settings.run), request, confirmed))
            && self.lease.on_reply(id, voters_since, now_ms, &answer)
        {
            out.push(Output::Stable(self.lease.stable()));
        }
    }

    /// Whether more than one in twenty messages seems to be lost, here or there. A voter that is down looks the same.
    pub(super) fn is_lossy(&self) -> bool {
        self.reply_permille < 900
    }

    pub(super) fn send_proposals(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        if self.proposals.is_empty() {
            return;
        }
        let leader = self.leader().map(|v| v.front);
        let mut contacts = self.contacts();
        if self.voting.is_some() {
            contacts.push(self.settings.me);
        }
        for (to, command) in self.proposals.due(now_ms, &contacts, leader) {
            if to == self.settings.me {
                let key = command.key;
                if let Err(leader) = self.append_if_leader(now_ms, command, out) {
                    self.proposals.declined(now_ms, key, leader);
                }
            } else {
                self.send(now_ms, to, &Message::Propose(command), out);
            }
        }
    }

    /// Its store was lost or put away, and the former one is still a voter.
    fn replace_own_former_store(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let Some(id) = self.id.filter(|_| !self.stopped && !self.forked && now_ms >= self.next_replace_ms)
        else {
            return;
        };
        let Some(config) = self.registers.config() else { return };
        let Some(old) = config.voters.iter().find(|v| v.front == id.front && v.store != id.store).copied()
        else {
            return;
        };
        self.next_replace_ms = now_ms.saturating_add(REPLACE_INTERVAL_MS);
        let voters = config.voters.iter().map(|v| if *v == old { id } else { *v }).collect();
        let operation = Operation::Voters { expects: config.number, voters };
        // One key for one change: asked again, it counts once.
        let key = Key(u128::from(id.store) << 64 | u128::from(old.store.rotate_left(config.number)));
        if !self.proposals.contains(key) && self.registers.outcome(key).is_none() {
            self.notes.push(Note::Replaces { old: old.store });
            self.propose(now_ms, crate::types::Command { key, author: self.settings.me, operation }, out);
        }
    }

    /// Where another front is, as it says with each message.
    pub(super) fn head(&mut self, from: u64, head: &Head) {
        let here = self.registers.log_id();
        if from == self.settings.me || head.log_id == 0 || (here != 0 && here != head.log_id) {
            return;
        }
        self.learner.observe(head.number);
        self.highest_config = self.highest_config.max(head.config);
    }

    pub(super) fn message(
        &mut self,
        now_ms: u64,
        from: u64,
        run: u64,
        head: Head,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::HeadOnly => {}
            Message::LeaseRequest { request, confirmed, lease_ms, store } => {
                if self.front_stores.len() >= MAX_FRONT_STORES {
                    self.front_stores.retain(|_, (_, at)| now_ms.saturating_sub(*at) < 10_000);
                }
                if store != 0
                    && (self.front_stores.len() < MAX_FRONT_STORES || self.front_stores.contains_key(&from))
                {
                    self.front_stores.insert(from, (store, now_ms));
                }
                // What a front of another fleet's state vouches for says nothing here, and one that would hold for longer
                // than is granted must not.
                let ours = head.log_id == self.registers.log_id() && lease_ms <= self.settings.lease_ms;
                let answer =
                    if ours { self.grant_lease(now_ms, (from, run), request, confirmed) } else { None };
                let (voters_since, a) =
                    answer.unwrap_or((0, GrantReply { granted: false, min_confirmed: 0, watermark: None }));
                let store = self.id.map_or(0, |v| v.store);
                let hash = hash_prefix(self.registers.hash());
                let GrantReply { granted, min_confirmed, watermark } = a;
                let on_lease_reply = Message::LeaseReply {
                    request,
                    store,
                    voters_since,
                    granted,
                    min_confirmed,
                    watermark,
                    hash,
                };
                self.send(now_ms, from, &on_lease_reply, out);
            }
            Message::LeaseReply { request, store, voters_since, granted, min_confirmed, watermark, hash } => {
                let (of, answer) =
                    ((request, store, voters_since, hash), GrantReply { granted, min_confirmed, watermark });
                self.on_lease_reply(now_ms, from, &head, of, answer, out);
            }
            Message::CatchUp(want) => self.answer_catch_up(now_ms, from, &want, out),
            Message::Chunk(s) => {
                if self.is_behind() {
                    match self.learner.receive(&s, &self.registers) {
                        Some(Received::Commands(commands)) => self.apply_learned(now_ms, commands, out),
                        Some(Received::Snapshot(new))
                            if self.voting.is_none()
                                || new.config_number() > self.registers.config_number() =>
                        {
                            self.replace(now_ms, *new, out);
                        }
                        _ => {}
                    }
                }
            }
            Message::NothingNewer => {
                let of = self.contacts().len();
                if self.learner.nothing_newer(of) {
                    self.highest_config = self.registers.config_number();
                }
            }
            Message::Fork { number, here } => {
                let config = self.registers.config();
                let (own, log_id) = (hash_prefix(self.registers.hash()), self.registers.log_id());
                // From a voter, and about what this front has now: not an answer to a question long ago.
                let now = if number == 0 {
                    here != log_id
                } else {
                    number == self.registers.number() && here != own
                };
                let named = self.settings.voters.contains(&from);
                if now
                    && log_id != 0
                    && (named || config.is_some_and(|c| c.voters.iter().any(|v| v.front == from)))
                {
                    self.fork(number, if number == 0 { log_id } else { own }, here);
                }
            }
            Message::Propose(command) => {
                let key = command.key;
                if head.log_id == self.registers.log_id()
                    && let Err(leader) = self.append_if_leader(now_ms, command, out)
                {
                    self.send(now_ms, from, &Message::Declined { key, leader }, out);
                }
            }
            Message::Declined { key, leader } => self.proposals.declined(now_ms, key, leader),
            Message::Fragment { id, length, index, bytes } => {
                let (messages, ack) =
                    self.fragmenter.receive(now_ms, from, run, &Fragment { id, length, index, bytes });
                if let Some(Ack { id, received }) = ack {
                    self.send(now_ms, from, &Message::FragmentAck { id, received }, out);
                }
                for (head, message) in messages.iter().filter_map(|m| decode(m)) {
                    // Nothing else is long, and a parcel in a parcel could be one without end.
                    if matches!(message, Message::Consensus { .. } | Message::Propose(_)) {
                        self.message(now_ms, from, run, head, message, out);
                    }
                }
            }
            Message::FragmentAck { id, received } => self.fragmenter.ack(now_ms, from, &Ack { id, received }),
            Message::Genesis(announced) => {
                if self.registers.config().is_some() {
                    self.send(now_ms, from, &Message::HeadOnly, out);
                } else if let Some(g) = self.genesis() {
                    g.receive(from, run, announced);
                }
            }
            voters => self.voter_message(now_ms, from, run, &head, voters, out),
        }
    }

    fn on_lease_reply(
        &mut self,
        now_ms: u64,
        from: u64,
        head: &Head,
        (request, store, voters_since, hash): (u64, u64, u32, u64),
        answer: GrantReply,
        out: &mut Vec<Output>,
    ) {
        self.replies = self.replies.saturating_add(1);
        let (number, log_id) = (self.registers.number(), self.registers.log_id());
        let voter = VoterId { front: from, store };
        let votes = self.registers.config().is_some_and(|c| c.voters.contains(&voter));
        if votes && log_id != 0 && head.log_id == log_id && head.number == number {
            let own = hash_prefix(self.registers.hash());
            if own != hash {
                self.fork(number, own, hash);
            }
        }
        if log_id != 0
            && head.log_id != 0
            && head.log_id != log_id
            && (votes || self.settings.voters.contains(&from))
        {
            self.fork(0, log_id, head.log_id);
        }
        let requests = self.requests.iter().find(|(q, _)| *q == request).map(|(_, ms)| *ms);
        let Some(requests) = requests.filter(|_| head.log_id == log_id) else { return };
        if self.lease.on_reply(voter, voters_since, requests.min(now_ms), &answer) {
            out.push(Output::Stable(self.lease.stable()));
        }
        // It was under the floor when it asked, and is no more.
        self.renew_soon |=
            !answer.granted && answer.min_confirmed > 0 && answer.min_confirmed <= self.lease.confirmed();
    }

    fn answer_catch_up(
        &mut self,
        now_ms: u64,
        from: u64,
        want: &crate::catch_up::CatchUpRequest,
        out: &mut Vec<Output>,
    ) {
        let reply = match &mut self.source {
            Some(source) if !self.forked => source.answer(now_ms, from, want, &self.registers),
            _ => CatchUpReply::Nothing,
        };
        match reply {
            CatchUpReply::Chunks(pieces) => {
                for p in pieces {
                    self.send(now_ms, from, &Message::Chunk(p), out);
                }
            }
            CatchUpReply::Fork { number, here } => {
                self.send(now_ms, from, &Message::Fork { number, here }, out)
            }
            CatchUpReply::Nothing => self.send(now_ms, from, &Message::NothingNewer, out),
        }
    }

    fn apply_learned(&mut self, now_ms: u64, commands: Vec<crate::types::Command>, out: &mut Vec<Output>) {
        for command in commands {
            self.apply(now_ms, command, out);
        }
    }

    pub(super) fn genesis(&mut self) -> Option<&mut Genesis> {
        let may = self.id.is_some()
            && !self.stopped
            && self.registers.config().is_none()
            && self.pending_config.is_none()
            && self.settings.voters.contains(&self.settings.me);
        if !may {
            self.genesis = None;
        } else if self.genesis.is_none() {
            self.genesis = Some(Genesis::new(self.me(), &self.settings.voters));
        }
        self.genesis.as_mut()
    }
}
