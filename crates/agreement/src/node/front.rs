//! Tasks of every front: it requests leases, fetches missing entries and sends its proposals.

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

/// Maximum number of lease requests whose replies are still accepted.
const MAX_PENDING_REQUESTS: usize = 64;
/// Minimum time between two lease requests outside the regular interval, in milliseconds.
const EARLY_RENEWAL_MS: u64 = 100;
/// Interval at which a front with a new store asks to replace its former store as a voter, in milliseconds.
const REPLACE_INTERVAL_MS: u64 = 2_000;
/// Maximum number of fronts whose store ids are kept.
const MAX_FRONT_STORES: usize = 1_024;

impl Node {
    pub(super) fn tick_front(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        let soon = self.renew_soon && now_ms >= self.last_renewal_ms.saturating_add(EARLY_RENEWAL_MS);
        if now_ms >= self.next_renewal_ms || soon {
            // The jitter prevents fronts that started together from sending their requests together forever.
            let jitter = self.random.random_range(0..=self.settings.renew_ms / 8);
            self.next_renewal_ms = now_ms.saturating_add(self.settings.renew_ms.saturating_sub(jitter));
            self.request_leases(now_ms, out);
        }
        if self.is_behind() {
            let contacts = self.contacts();
            if let Some((position, request)) = self.learner.tick(now_ms, &self.registers, contacts.len())
                && let Some(to) = contacts.get(position).copied()
            {
                self.send(now_ms, to, &Message::CatchUp(request), out);
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
        let mut due = Vec::new();
        self.fragmenter.tick(now_ms, &mut due);
        for (to, message) in due {
            let message = match message {
                FragmentMessage::Fragment(Fragment { id, length, index, bytes }) => {
                    Message::Fragment { id, length, index, bytes }
                }
                FragmentMessage::Ack(Ack { id, received }) => Message::FragmentAck { id, received },
            };
            self.send(now_ms, to, &message, out);
        }
    }

    /// Whether this front must catch up. A voter does so too: its registers may be ahead of its own log. Its
    /// grants depend only on what its disk has.
    pub(super) fn is_behind(&self) -> bool {
        let config = self.registers.config_number();
        !self.forked && (self.learner.is_behind(&self.registers) || self.highest_config > config)
    }

    fn request_leases(&mut self, now_ms: u64, out: &mut Vec<Output>) {
        (self.renew_soon, self.last_renewal_ms) = (false, now_ms);
        let contacts = self.contacts();
        let answered_permille =
            u64::from(self.replies).saturating_mul(1_000) / (contacts.len() as u64).max(1);
        self.reply_permille = (self.reply_permille * 7 + answered_permille.min(1_000)) / 8;
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
        if let (Some(id), Some((voters_since, reply))) =
            (self.id, self.grant_lease(now_ms, (self.settings.me, self.settings.run), request, confirmed))
            && self.lease.on_reply(id, voters_since, now_ms, &reply)
        {
            out.push(Output::Stable(self.lease.stable()));
        }
    }

    /// Whether more than about 5 % of the messages in one direction seem to be lost. A voter that is down has
    /// the same effect.
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

    /// Proposes this front's new store as a voter in place of its former store, if that is still listed as a
    /// voter.
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
        // The key is derived from the change, so repeated proposals take effect once.
        let key = Key(u128::from(id.store) << 64 | u128::from(old.store.rotate_left(config.number)));
        if !self.proposals.contains(key) && self.registers.outcome(key).is_none() {
            self.notes.push(Note::Replaces { old: old.store });
            self.propose(now_ms, crate::types::Command { key, author: self.settings.me, operation }, out);
        }
    }

    /// Processes the header of a message: how far the sender is.
    pub(super) fn on_head(&mut self, from: u64, head: &Head) {
        let here = self.registers.log_id();
        if from == self.settings.me || head.log_id == 0 || (here != 0 && here != head.log_id) {
            return;
        }
        self.learner.observe(head.number);
        self.highest_config = self.highest_config.max(head.config);
    }

    pub(super) fn on_message(
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
                // An entry that a front confirms in another log means nothing here, and a front that would
                // count the lease for longer than it is granted must not get one.
                let eligible = head.log_id == self.registers.log_id() && lease_ms <= self.settings.lease_ms;
                let reply =
                    if eligible { self.grant_lease(now_ms, (from, run), request, confirmed) } else { None };
                let (voters_since, reply) =
                    reply.unwrap_or((0, GrantReply { granted: false, min_confirmed: 0, watermark: None }));
                let store = self.id.map_or(0, |v| v.store);
                let hash = hash_prefix(self.registers.hash());
                let GrantReply { granted, min_confirmed, watermark } = reply;
                let message = Message::LeaseReply {
                    request,
                    store,
                    voters_since,
                    granted,
                    min_confirmed,
                    watermark,
                    hash,
                };
                self.send(now_ms, from, &message, out);
            }
            Message::LeaseReply { request, store, voters_since, granted, min_confirmed, watermark, hash } => {
                let (context, reply) =
                    ((request, store, voters_since, hash), GrantReply { granted, min_confirmed, watermark });
                self.on_lease_reply(now_ms, from, &head, context, reply, out);
            }
            Message::CatchUp(request) => self.answer_catch_up(now_ms, from, &request, out),
            Message::Chunk(chunk) => {
                if self.is_behind() {
                    match self.learner.receive(&chunk, &self.registers) {
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
                let voters = self.contacts().len();
                if self.learner.nothing_newer(voters) {
                    self.highest_config = self.registers.config_number();
                }
            }
            Message::Fork { number, here } => {
                let config = self.registers.config();
                let (own, log_id) = (hash_prefix(self.registers.hash()), self.registers.log_id());
                // Only a report about the present state counts, not a reply to an old request, and only from
                // a voter.
                let is_current = if number == 0 {
                    here != log_id
                } else {
                    number == self.registers.number() && here != own
                };
                let named = self.settings.voters.contains(&from);
                if is_current
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
                    // Only these messages can be long. Fragments inside a bundle could nest without end.
                    if matches!(message, Message::Consensus { .. } | Message::Propose(_)) {
                        self.on_message(now_ms, from, run, head, message, out);
                    }
                }
            }
            Message::FragmentAck { id, received } => self.fragmenter.ack(now_ms, from, &Ack { id, received }),
            Message::Genesis(announced) => {
                if self.registers.config().is_some() {
                    self.send(now_ms, from, &Message::HeadOnly, out);
                } else if let Some(genesis) = self.genesis() {
                    genesis.receive(from, run, announced);
                }
            }
            message => self.on_voter_message(now_ms, from, run, &head, message, out),
        }
    }

    fn on_lease_reply(
        &mut self,
        now_ms: u64,
        from: u64,
        head: &Head,
        (request, store, voters_since, hash): (u64, u64, u32, u64),
        reply: GrantReply,
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
        let sent_ms = self.requests.iter().find(|(id, _)| *id == request).map(|(_, ms)| *ms);
        let Some(sent_ms) = sent_ms.filter(|_| head.log_id == log_id) else { return };
        if self.lease.on_reply(voter, voters_since, sent_ms.min(now_ms), &reply) {
            out.push(Output::Stable(self.lease.stable()));
        }
        // The request confirmed less than the voter's minimum, but this front has confirmed enough since.
        self.renew_soon |=
            !reply.granted && reply.min_confirmed > 0 && reply.min_confirmed <= self.lease.confirmed();
    }

    fn answer_catch_up(
        &mut self,
        now_ms: u64,
        from: u64,
        request: &crate::catch_up::CatchUpRequest,
        out: &mut Vec<Output>,
    ) {
        let reply = match &mut self.source {
            Some(source) if !self.forked => source.answer(now_ms, from, request, &self.registers),
            _ => CatchUpReply::Nothing,
        };
        match reply {
            CatchUpReply::Chunks(chunks) => {
                for chunk in chunks {
                    self.send(now_ms, from, &Message::Chunk(chunk), out);
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

    /// The genesis state while this front can take part in genesis, otherwise `None`.
    pub(super) fn genesis(&mut self) -> Option<&mut Genesis> {
        let eligible = self.id.is_some()
            && !self.stopped
            && self.registers.config().is_none()
            && self.pending_config.is_none()
            && self.settings.voters.contains(&self.settings.me);
        if !eligible {
            self.genesis = None;
        } else if self.genesis.is_none() {
            self.genesis = Some(Genesis::new(self.own_genesis_voter(), &self.settings.voters));
        }
        self.genesis.as_mut()
    }
}
