//! One voter in one configuration, around omnipaxos. Without I/O: ticks, messages and the disk's answers are handed
//! in.
//!
//! - **Nothing is said before it is synced.** Whatever comes up in a step waits for the step's own write and all
//!   before it. Heartbeats alone do not wait: a ballot in them makes a voter choose a higher one of its own and no
//!   more, and its own it has synced before it asks for promises. A voter whose disk has not answered for
//!   [`DISK_TIMEOUT_TICKS`] ticks falls silent altogether, so that another leads.
//! - **Order.** omnipaxos takes links for ordered and free of doubles: a doubled old `AcceptSync` would take entries
//!   out of a log that were counted as accepted. Each message therefore bears the lives (boots) of both ends and a
//!   number; what is older than the last one, or meant for an earlier life of its receiver, is refused.
//! - **Loss.** omnipaxos sends again what prepares a round, not what is lost within it. Each message says how far its
//!   sender is; a follower that is behind, or sees its leader's entries undecided, with nothing moving for
//!   [`RESEND_TICKS`], asks to be synchronized anew.
//! - **Left out.** A voter that promised a higher ballot of someone who is gone (itself before a restart, say) takes
//!   nothing from a leader that others follow, and the leader has no cause of its own to rise. After [`UNREACHED_BALLOT_TICKS`]
//!   ticks it does.
//! - A configuration of one voter, which omnipaxos does not take, is its log alone: written is decided.

use crate::journal::{Journal, SharedJournal, message_bytes};
use crate::store::{StoreOp, StoredLog};
use crate::types::{Command, Config, MAX_BODY_BYTES, MAX_VOTERS, Operation, VoterId};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};

mod validate;

/// Ticks of a round of heartbeats: a leader that is silent for one to two of them is replaced. At a tick of 50 ms,
/// 250 ms.
pub const ELECTION_TICKS: u64 = 5;
/// Ticks after which what was not answered is sent again, and a follower that is behind asks anew. 500 ms.
pub const RESEND_TICKS: u64 = 10;
/// Ticks that a voter may be out of reach of its leader's ballot before the leader takes a higher one. 2 s.
pub const UNREACHED_BALLOT_TICKS: u64 = 40;
/// Ticks that the disk may take for a write before the voter falls silent until it answers. 2 s.
pub const DISK_TIMEOUT_TICKS: u64 = 40;
/// Bytes of log from which on no [`Operation::Put`] is taken: the log is to be folded by then. A follower that has none of
/// it is sent all of it in one message.
pub const MAX_LOG_BYTES: usize = 256 * 1024;
/// Bytes of a message between voters at most.
pub const MAX_VOTER_MESSAGE_BYTES: usize = MAX_LOG_BYTES + 128 * 1024;
/// Room beyond [`MAX_LOG_BYTES`] for [`Operation::Voters`], so that a full log can still be folded.
const COMPACTION_RESERVE_BYTES: usize = 32 * 1024;
/// Entries that a leader may have undecided; beyond, it takes no more.
const MAX_UNDECIDED: usize = 64;
/// Messages that wait for the disk at most. Those beyond are lost, as any message may be.
const MAX_DEFERRED_MESSAGES: usize = 64;

/// What comes out of a voter.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterOutput {
    /// To be written as one synced transaction, in order of batches; answered by [`Voter::written`].
    Write {
        /// Counts up from 1.
        batch: u64,
        /// What to write.
        ops: Vec<StoreOp>,
    },
    /// To be sent. May be lost.
    Send {
        /// To whom.
        to: VoterId,
        /// For its [`Voter::receive`].
        message: Vec<u8>,
    },
    /// Decided: of each index once, in order, from index 0 in each life.
    Decided {
        /// From 0 in this configuration.
        index: u64,
        /// What was decided.
        command: Command,
    },
}

/// Why a voter cannot be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterError {
    /// It is not in the configuration.
    #[error("not a voter of this configuration")]
    NotAVoter,
    /// The configuration's number is 0, or its voters are none, too many, or not ascending.
    #[error("a configuration that cannot be")]
    InvalidConfig,
    /// What was kept cannot be read, contradicts itself or is of another configuration.
    #[error("a kept log that cannot be")]
    InvalidLog,
    /// [`StoredLog::boots`] is 0.
    #[error("boots of the store are missing")]
    MissingBoots,
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// It is of another configuration, which may bear the same number. Whoever is behind is to learn.
    #[error("of configuration {number}")]
    OtherConfig {
        /// The sender's.
        number: u32,
    },
    /// Longer than [`MAX_VOTER_MESSAGE_BYTES`].
    #[error("too long")]
    TooLong,
    /// Not a message.
    #[error("malformed")]
    Malformed,
    /// The sender is not in the configuration, or is this voter.
    #[error("not from another voter")]
    NotAPeer,
    /// A double, overtaken by a later one, or of or for an earlier life.
    #[error("old")]
    Outdated,
    /// Nothing that a voter would send.
    #[error("out of bounds")]
    Invalid,
    /// A proposal for the leader, which this voter is not.
    #[error("not the leader")]
    NotLeader,
    /// A proposal, and too much is undecided or the log is to be folded first.
    #[error("full")]
    Overloaded,
    /// This voter has stopped.
    #[error("stopped")]
    StopReason,
}

/// Why a voter has stopped for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The disk refused a write: what it has is not known.
    WriteFailed,
    /// The disk's answers came out of order.
    WriteOrder,
    /// More is said to be decided than is there, or less than was: some voter says what is not so.
    Inconsistent,
    /// omnipaxos panicked. What it holds is not known to be sound.
    Panicked,
}

/// Before each message. The digest tells apart configurations that bear the same number.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Head {
    number: u32,
    digest: [u8; 8],
    /// Life of the sender.
    boots: u64,
    /// Life of the receiver as the sender knows it, 0 if it does not.
    to_boots: u64,
    /// Counts in each of the two lanes (heartbeats and the rest) of one life towards one receiver.
    sequence: u64,
    /// How far the sender is, as synced: a hint for who is behind.
    decided: u64,
    accepted: u64,
}

/// What is known of another voter.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    boots: u64,
    /// Last numbers that came from it and went to it, by lane.
    received: [u64; 2],
    sent: [u64; 2],
    /// Round of heartbeats that it has answered: one answer counts once.
    round: u32,
    decided: u64,
    accepted: u64,
    /// The ballot that it holds to although nobody leads it, and the tick since when.
    unreachable_ballot: Option<(Ballot, u64)>,
}

/// What waits for the disk.
enum Deferred {
    Send(Message<Command>),
    Decided { index: u64, command: Command },
}

/// A write that the disk has not answered.
struct PendingWrite {
    batch: u64,
    since: u64,
    decided: u64,
    accepted: u64,
}

/// One voter in one configuration.
pub struct Voter {
    config: Config,
    digest: [u8; 8],
    boots: u64,
    /// Place in the configuration, from 1: its number in omnipaxos.
    me: u64,
    /// `None` in a configuration of one.
    engine: Option<OmniPaxos<Command, SharedJournal>>,
    journal: SharedJournal,
    peers: Vec<Peer>,
    ticks: u64,
    /// Ticks before the first election, drawn, so that voters started together do not all stand at once.
    start_delay_ticks: u64,
    last_batch: u64,
    synced_batch: u64,
    pending_writes: VecDeque<PendingWrite>,
    deferred: VecDeque<(u64, Deferred)>,
    /// Decided ones that have come up.
    delivered: u64,
    /// As synced: decided, length of the log.
    synced: (u64, u64),
    /// What the follower last saw of itself and its leader, and for how many ticks.
    stalled: ([u64; 4], u64),
    stopped: Option<StopReason>,
}

impl Voter {
    /// A voter that goes on from `kept`. One is made for a configuration in one opening of the store, not more:
    /// messages are ordered by [`StoredLog::boots`]. What was decided comes out again from index 0. `seed` sets the
    /// tick of its first election apart from others'.
    ///
    /// # Errors
    ///
    /// [`VoterError`] if it has no place in the configuration, or what was kept cannot be.
    pub fn new(me: VoterId, config: Config, kept: StoredLog, seed: u64) -> Result<Self, VoterError> {
        let ascending = config.voters.windows(2).all(|w| w[0] < w[1]);
        if config.number == 0 || config.voters.len() > MAX_VOTERS || config.voters.is_empty() || !ascending {
            return Err(VoterError::InvalidConfig);
        }
        let position = config.voters.iter().position(|&v| v == me).ok_or(VoterError::NotAVoter)? as u64 + 1;
        let boots = kept.boots;
        if boots == 0 {
            return Err(VoterError::MissingBoots);
        }
        let journal = Journal::from_store(kept).ok_or(VoterError::InvalidLog)?;
        let count = config.voters.len() as u64;
        if !journal.ballots().all(|b| validate::is_valid_ballot(b, config.number, count)) {
            return Err(VoterError::InvalidLog);
        }
        let synced = (journal.decided() as u64, journal.len() as u64);
        let journal = SharedJournal::new(journal);
        let engine = if count == 1 {
            None
        } else {
            let cluster = ClusterConfig {
                configuration_id: config.number,
                nodes: (1..=count).collect(),
                flexible_quorum: None,
            };
            let server = ServerConfig {
                pid: position,
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: RESEND_TICKS,
                buffer_size: 64,
                ..ServerConfig::default()
            };
            // With a promise in its storage it takes itself for recovered and asks the leader to synchronize it.
            Some(cluster.build_for_server(server, journal.clone()).map_err(|_| VoterError::InvalidConfig)?)
        };
        // A configuration can always be written.
        let hash = Sha256::digest(postcard::to_stdvec(&config).unwrap_or_default());
        let mut digest = [0; 8];
        digest.copy_from_slice(&hash[..8]);
        Ok(Self {
            digest,
            boots,
            me: position,
            engine,
            journal,
            peers: vec![Peer::default(); config.voters.len()],
            config,
            ticks: 0,
            start_delay_ticks: seed % ELECTION_TICKS,
            last_batch: 0,
            synced_batch: 0,
            pending_writes: VecDeque::new(),
            deferred: VecDeque::new(),
            delivered: 0,
            synced,
            stalled: ([0; 4], 0),
            stopped: None,
        })
    }

    /// To be called each 50 ms or so.
    pub fn tick(&mut self) {
        self.ticks += 1;
        if self.ticks <= self.start_delay_ticks {
            return;
        }
        self.call_engine(OmniPaxos::tick);
        self.resync_if_stalled();
        self.raise_ballot_if_unreached();
    }

    /// Takes a message that `from` has said. Bounded in memory and time, and never a panic, whatever the bytes.
    ///
    /// # Errors
    ///
    /// [`ReceiveError`]; nothing has changed then.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) -> Result<(), ReceiveError> {
        if self.stopped.is_some() {
            return Err(ReceiveError::StopReason);
        }
        if bytes.len() > MAX_VOTER_MESSAGE_BYTES {
            return Err(ReceiveError::TooLong);
        }
        let (head, rest) = postcard::take_from_bytes::<Head>(bytes).map_err(|_| ReceiveError::Malformed)?;
        if (head.number, head.digest) != (self.config.number, self.digest) {
            return Err(ReceiveError::OtherConfig { number: head.number });
        }
        let position = self.config.voters.iter().position(|&v| v == from).ok_or(ReceiveError::NotAPeer)?;
        let (message, rest) =
            postcard::take_from_bytes::<Message<Command>>(rest).map_err(|_| ReceiveError::Malformed)?;
        if !rest.is_empty() {
            return Err(ReceiveError::Malformed);
        }
        let number = position as u64 + 1;
        if number == self.me {
            return Err(ReceiveError::NotAPeer);
        }
        if message.get_sender() != number || message.get_receiver() != self.me {
            return Err(ReceiveError::Invalid);
        }
        let known = self.peers.get(position).copied().ok_or(ReceiveError::NotAPeer)?;
        if head.boots == 0 || head.boots < known.boots {
            return Err(ReceiveError::Outdated);
        }
        // A question for a heartbeat is how voters come to know each other's lives.
        if head.to_boots != self.boots && !validate::is_heartbeat_request(&message) {
            return Err(ReceiveError::Outdated);
        }
        let lane = lane(&message);
        let mut peer =
            if head.boots > known.boots { Peer { boots: head.boots, ..Peer::default() } } else { known };
        // Numbers of what went to it count on: a later life of it does not mind.
        peer.sent = known.sent;
        if head.sequence <= peer.received[lane] {
            return Err(ReceiveError::Outdated);
        }
        self.validate(&message, &mut peer)?;
        peer.received[lane] = head.sequence;
        (peer.decided, peer.accepted) = (head.decided, head.accepted);
        if let Some(slot) = self.peers.get_mut(position) {
            *slot = peer;
        }
        self.call_engine(|engine| engine.handle_incoming(message));
        Ok(())
    }

    /// Proposes: into the leader's log, or on to the leader, without a word on whether it came there. False if no
    /// leader is known, too much is undecided, or the log is to be folded first; try again later.
    pub fn append(&mut self, command: Command) -> bool {
        if self.stopped.is_some() || !validate::is_valid_command(&command) || !self.has_log_room(&[&command])
        {
            return false;
        }
        let Some((leader, true)) =
            self.engine.as_ref().map_or(Some((self.me, true)), |e| e.get_current_leader())
        else {
            return false;
        };
        if leader == self.me && !self.has_undecided_room(1) {
            return false;
        }
        if self.engine.is_none() {
            let mut journal = self.journal.lock();
            journal.append(vec![command]);
            let all = journal.len();
            journal.set_decided(all);
            return true;
        }
        self.call_engine(|engine| engine.append(command).is_ok()).unwrap_or(false)
    }

    /// Whom this voter follows and has been synchronized by. It may be gone already.
    #[must_use]
    pub fn leader(&self) -> Option<VoterId> {
        if self.stopped.is_some() {
            return None;
        }
        let (leader, _) = match &self.engine {
            None => (self.me, true),
            Some(engine) => engine.get_current_leader().filter(|&(_, accepts)| accepts)?,
        };
        self.config.voters.get(usize::try_from(leader).ok()?.checked_sub(1)?).copied()
    }

    /// What has come up since: at most one write, then what rests on writes that are synced.
    pub fn take_output(&mut self, out: &mut Vec<VoterOutput>) {
        if self.stopped.is_some() {
            return;
        }
        let mut messages = Vec::new();
        self.call_engine(|engine| engine.take_outgoing_messages(&mut messages));
        if self.stopped.is_some() {
            return;
        }
        {
            let mut journal = self.journal.lock();
            let ops = journal.take_changes();
            let (decided, accepted) = (journal.decided() as u64, journal.len() as u64);
            if !ops.is_empty() {
                self.last_batch += 1;
                self.pending_writes.push_back(PendingWrite {
                    batch: self.last_batch,
                    since: self.ticks,
                    decided,
                    accepted,
                });
                out.push(VoterOutput::Write { batch: self.last_batch, ops });
            }
            while self.delivered < decided {
                let Some(command) = journal.get(self.delivered as usize).cloned() else { break };
                self.deferred
                    .push_back((self.last_batch, Deferred::Decided { index: self.delivered, command }));
                self.delivered += 1;
            }
        }
        let disk_late =
            self.pending_writes.front().is_some_and(|f| self.ticks - f.since > DISK_TIMEOUT_TICKS);
        for message in messages {
            if disk_late {
                // Heartbeats too: who cannot write shall not lead.
            } else if matches!(message, Message::BLE(_)) {
                self.send(message, out);
            } else if self.deferred.len() < MAX_DEFERRED_MESSAGES {
                self.deferred.push_back((self.last_batch, Deferred::Send(message)));
            }
        }
        while self.deferred.front().is_some_and(|(batch, _)| *batch <= self.synced_batch) {
            match self.deferred.pop_front() {
                Some((_, Deferred::Send(message))) => self.send(message, out),
                Some((_, Deferred::Decided { index, command })) => {
                    out.push(VoterOutput::Decided { index, command })
                }
                None => {}
            }
        }
    }

    /// The disk's answer to a batch, in order of batches. After a refusal, or an answer out of order, this voter says
    /// nothing more, for good.
    pub fn written(&mut self, batch: u64, ok: bool) {
        if self.stopped.is_some() {
            return;
        }
        match self.pending_writes.front() {
            Some(pending) if pending.batch == batch && ok => {
                self.synced = (pending.decided, pending.accepted);
                self.synced_batch = batch;
                self.pending_writes.pop_front();
            }
            _ if !ok => self.stop(StopReason::WriteFailed),
            _ => self.stop(StopReason::WriteOrder),
        }
    }

    /// Whether and why it votes no more.
    #[must_use]
    pub fn stop_reason(&self) -> Option<StopReason> {
        self.stopped
    }

    /// Its configuration.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Number of its promise and length of its log, as it has them, synced or not.
    #[must_use]
    pub fn promise_and_log_len(&self) -> (u32, u64) {
        (self.engine.as_ref().map_or(0, |e| e.get_promise().n), self.journal.lock().len() as u64)
    }

    /// Bytes of its log: the node folds it well before [`MAX_LOG_BYTES`].
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.journal.lock().log_bytes()
    }

    fn stop(&mut self, why: StopReason) {
        self.stopped = Some(why);
        self.engine = None;
        self.deferred.clear();
        self.pending_writes.clear();
    }

    /// omnipaxos has no other answer to what it holds for impossible than to panic. Messages are checked for all that
    /// is known to lead there; for what is not known the voter stops, and the front serves on as a learner.
    fn call_engine<R>(&mut self, f: impl FnOnce(&mut OmniPaxos<Command, SharedJournal>) -> R) -> Option<R> {
        let engine = self.engine.as_mut()?;
        match catch_unwind(AssertUnwindSafe(|| f(engine))) {
            Ok(answer) => {
                let sound = {
                    let journal = self.journal.lock();
                    journal.decided() <= journal.len() && self.delivered <= journal.decided() as u64
                };
                if !sound {
                    self.stop(StopReason::Inconsistent);
                }
                Some(answer).filter(|_| sound)
            }
            Err(_) => {
                self.stop(StopReason::Panicked);
                None
            }
        }
    }

    fn send(&mut self, message: Message<Command>, out: &mut Vec<VoterOutput>) {
        let Ok(position) = usize::try_from(message.get_receiver().wrapping_sub(1)) else { return };
        let (Some(peer), Some(&to)) = (self.peers.get_mut(position), self.config.voters.get(position)) else {
            return;
        };
        // Whoever does not know the receiver's life cannot say more than ask for a heartbeat.
        if peer.boots == 0 && !validate::is_heartbeat_request(&message) {
            return;
        }
        let lane = lane(&message);
        peer.sent[lane] += 1;
        let head = Head {
            number: self.config.number,
            digest: self.digest,
            boots: self.boots,
            to_boots: peer.boots,
            sequence: peer.sent[lane],
            decided: self.synced.0,
            accepted: self.synced.1,
        };
        let Ok(bytes) = postcard::to_stdvec(&head).and_then(|bytes| postcard::to_extend(&message, bytes))
        else {
            return;
        };
        out.push(VoterOutput::Send { to, message: bytes });
    }

    /// A follower that is behind its leader, or whose leader waits for someone, and nothing has moved: something was
    /// lost.
    fn resync_if_stalled(&mut self) {
        let Some((leader, true)) = self.engine.as_ref().and_then(OmniPaxos::get_current_leader) else {
            return;
        };
        let Some(peer) = leader.checked_sub(1).and_then(|position| self.peers.get(position as usize)) else {
            return;
        };
        if leader == self.me || !self.pending_writes.is_empty() {
            return;
        }
        let (decided, accepted) = self.synced;
        let now = [peer.decided, peer.accepted, decided, accepted];
        let behind = peer.accepted > peer.decided || peer.decided > decided || peer.accepted > accepted;
        if !behind || self.stalled.0 != now {
            self.stalled = (now, 0);
        } else {
            self.stalled.1 += 1;
            if self.stalled.1 >= RESEND_TICKS {
                self.stalled.1 = 0;
                self.call_engine(|engine| engine.reconnected(leader));
            }
        }
    }

    /// Rises above the ballot of a voter that this leader does not reach by its own.
    fn raise_ballot_if_unreached(&mut self) {
        let Some(engine) = self.engine.as_ref() else { return };
        if engine.get_current_leader() != Some((self.me, true)) {
            return;
        }
        let (promise, now) = (engine.get_promise(), self.ticks);
        let waits = |p: &Peer| {
            p.unreachable_ballot
                .is_some_and(|(b, since)| b > promise && now - since >= UNREACHED_BALLOT_TICKS)
        };
        if self.peers.iter().any(waits) {
            self.call_engine(OmniPaxos::try_become_leader);
        }
    }

    fn has_undecided_room(&self, more: usize) -> bool {
        let journal = self.journal.lock();
        self.engine.is_none() || (journal.len() - journal.decided()).saturating_add(more) <= MAX_UNDECIDED
    }

    fn has_log_room(&self, commands: &[&Command]) -> bool {
        let puts = commands.iter().any(|c| matches!(c.operation, Operation::Put { .. }));
        let bytes = commands.iter().map(|c| message_bytes(c)).sum::<usize>();
        let most = if puts { MAX_LOG_BYTES } else { MAX_LOG_BYTES + COMPACTION_RESERVE_BYTES };
        self.log_bytes().saturating_add(bytes) <= most
    }
}

fn lane(message: &Message<Command>) -> usize {
    usize::from(!matches!(message, Message::BLE(_)))
}

/// Whether a message of a voter is a heartbeat: those need not keep their place among the others.
#[must_use]
pub fn is_heartbeat(bytes: &[u8]) -> bool {
    let after_head = postcard::take_from_bytes::<Head>(bytes).map(|(_, rest)| rest);
    after_head.is_ok_and(|rest| {
        postcard::take_from_bytes::<Message<Command>>(rest).is_ok_and(|(m, _)| lane(&m) == 0)
    })
}
