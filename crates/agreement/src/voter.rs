//! One voter in one configuration, built around omnipaxos. It does no I/O: ticks, messages and the results of
//! disk writes are passed in.
//!
//! - **Sync before send.** Everything that a step produces waits until the step's own write and all earlier
//!   ones are synced. Only heartbeats do not wait. The ballot in a heartbeat can at most make the receiver
//!   choose a higher ballot of its own, which it syncs before it requests promises. A voter whose disk has
//!   not completed a write for [`DISK_TIMEOUT_TICKS`] ticks sends nothing at all, so that another voter
//!   becomes the leader.
//! - **Order.** omnipaxos assumes ordered links without duplicates: a duplicate of an old `AcceptSync` would
//!   remove entries from a log that were already counted as accepted. Each message therefore carries the
//!   incarnations (`boots`) of both ends and a sequence number. A message that is not newer than the last
//!   one, or is meant for an earlier incarnation of its receiver, is refused.
//! - **Loss.** omnipaxos resends the messages that prepare a ballot, but not those lost within it. Each
//!   message carries its sender's progress. A follower that is behind, or that sees undecided entries at its
//!   leader, asks to be synchronized again if nothing has changed for [`RESEND_TICKS`] ticks.
//! - **Excluded voters.** A voter that promised a higher ballot of a voter that is gone (of itself before a
//!   restart, for example) accepts nothing from the leader that the others follow, and that leader has no
//!   other reason to choose a higher ballot. It chooses one after [`UNREACHED_BALLOT_TICKS`] ticks.
//! - **Single voter.** omnipaxos does not support a configuration of one voter. There the log alone is used:
//!   an entry is decided once it is written.

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

/// Length of a heartbeat round, in ticks: a leader that is silent for one to two rounds is replaced. 250 ms
/// at a tick of 50 ms.
pub const ELECTION_TICKS: u64 = 5;
/// Ticks after which an unanswered message is resent, and a follower without progress asks to be synchronized
/// again. 500 ms at a tick of 50 ms.
pub const RESEND_TICKS: u64 = 10;
/// Ticks that a voter may stay with a higher ballot than its leader's before the leader chooses a higher one.
/// 2 s at a tick of 50 ms.
pub const UNREACHED_BALLOT_TICKS: u64 = 40;
/// Ticks that a disk write may take before the voter stops sending until the write completes. 2 s at a tick
/// of 50 ms.
pub const DISK_TIMEOUT_TICKS: u64 = 40;
/// Maximum size of the log for a new [`Operation::Put`], in bytes; the log should be compacted before. A
/// follower without any entries receives the whole log in one message.
pub const MAX_LOG_BYTES: usize = 256 * 1024;
/// Maximum size of a message between voters, in bytes.
pub const MAX_VOTER_MESSAGE_BYTES: usize = MAX_LOG_BYTES + 128 * 1024;
/// Bytes beyond [`MAX_LOG_BYTES`] that are reserved for [`Operation::Voters`], so that a full log can still
/// be compacted.
const COMPACTION_RESERVE_BYTES: usize = 32 * 1024;
/// Maximum number of undecided entries at a leader; it accepts no further command beyond that.
const MAX_UNDECIDED: usize = 64;
/// Maximum number of messages that wait for the disk. Further ones are dropped, which is safe because any
/// message may be lost.
const MAX_DEFERRED_MESSAGES: usize = 64;

/// Output of a voter.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterOutput {
    /// Changes to write as one synced transaction, in order of batches. Their completion is reported by
    /// [`Voter::written`].
    Write {
        /// Batch number, ascending from 1.
        batch: u64,
        /// The changes.
        ops: Vec<StoreOp>,
    },
    /// A message to send. It may be lost.
    Send {
        /// The receiver.
        to: VoterId,
        /// Input for the receiver's [`Voter::receive`].
        message: Vec<u8>,
    },
    /// A decided entry. Entries are reported in order, each once in an incarnation, starting from index 0.
    Decided {
        /// Index in this configuration, from 0.
        index: u64,
        /// The decided command.
        command: Command,
    },
}

/// Why a voter cannot be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterError {
    /// It is not in the configuration.
    #[error("this front with this store is not among the voters of the configuration")]
    NotAVoter,
    /// The configuration's number is 0, or its list of voters is empty, too long, or not in ascending order.
    #[error(
        "invalid configuration: it needs a number from 1 and 1 to {} voters in ascending order",
        MAX_VOTERS
    )]
    InvalidConfig,
    /// The stored log cannot be parsed, contradicts itself or belongs to another configuration.
    #[error("the stored log is malformed, inconsistent or of another configuration")]
    InvalidLog,
    /// [`StoredLog::boots`] is 0.
    #[error("the opening count (boots) of the store is 0; it must be at least 1")]
    MissingBoots,
}

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// It belongs to another configuration, which may have the same number. The end that is behind has to
    /// catch up.
    #[error("the message belongs to another configuration, with number {number}")]
    OtherConfig {
        /// Number of the sender's configuration.
        number: u32,
    },
    /// Longer than [`MAX_VOTER_MESSAGE_BYTES`].
    #[error("the message is longer than {} bytes", MAX_VOTER_MESSAGE_BYTES)]
    TooLong,
    /// The bytes are not a message.
    #[error("malformed")]
    Malformed,
    /// The sender is not in the configuration, or is this voter.
    #[error("the sender is not another voter of this configuration")]
    NotAPeer,
    /// A duplicate, overtaken by a later message, or from or for an earlier incarnation.
    #[error("old message: a duplicate, overtaken by a later one, or of an earlier incarnation")]
    Outdated,
    /// The content is not one that a correct voter sends.
    #[error("the content of the message is out of bounds")]
    Invalid,
    /// A proposal, but this voter is not the leader.
    #[error("a proposal for the leader, but this voter is not the leader")]
    NotLeader,
    /// A proposal, but too many entries are undecided or the log must be compacted first.
    #[error(
        "full: more than {} entries would be undecided, or the log must be compacted first",
        MAX_UNDECIDED
    )]
    Overloaded,
    /// This voter has stopped.
    #[error("stopped")]
    Stopped,
}

/// Why a voter has stopped for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// A disk write failed, so the state on the disk is unknown.
    WriteFailed,
    /// The completions of disk writes came out of order.
    WriteOrder,
    /// The decided index is beyond the end of the log or has decreased: a voter reported something wrong.
    Inconsistent,
    /// omnipaxos panicked, so its state may be corrupt.
    Panicked,
}

/// Header of each message. The digest distinguishes configurations with the same number.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Head {
    number: u32,
    digest: [u8; 8],
    /// Incarnation of the sender.
    boots: u64,
    /// Incarnation of the receiver as the sender knows it, 0 if unknown.
    to_boots: u64,
    /// Sequence number, counted for each receiver and each of the two lanes (heartbeats and all other
    /// messages) within one incarnation of the sender.
    sequence: u64,
    /// The sender's synced decided index, for a receiver that is behind.
    decided: u64,
    /// The sender's synced log length, for a receiver that is behind.
    accepted: u64,
}

/// What is known of another voter.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    boots: u64,
    /// Last sequence number received from it, by lane.
    received: [u64; 2],
    /// Last sequence number sent to it, by lane.
    sent: [u64; 2],
    /// The last heartbeat round that it answered; an answer counts once.
    round: u32,
    decided: u64,
    accepted: u64,
    /// The ballot that it follows without reaching its leader, and the tick since which it does.
    unreachable_ballot: Option<(Ballot, u64)>,
}

/// Output that waits until a write is synced.
enum Deferred {
    Send(Message<Command>),
    Decided { index: u64, command: Command },
}

/// A write that the disk has not completed. `decided` and `accepted` are the decided index and the log length
/// after it.
struct PendingWrite {
    batch: u64,
    since_tick: u64,
    decided: u64,
    accepted: u64,
}

/// One voter in one configuration.
pub struct Voter {
    config: Config,
    digest: [u8; 8],
    boots: u64,
    /// Position in the configuration, from 1, which is its node id in omnipaxos.
    me: u64,
    /// `None` in a configuration of one voter.
    engine: Option<OmniPaxos<Command, SharedJournal>>,
    journal: SharedJournal,
    peers: Vec<Peer>,
    ticks: u64,
    /// Random delay before the first election, so that voters that start together do not all become
    /// candidates at once.
    start_delay_ticks: u64,
    last_batch: u64,
    synced_batch: u64,
    pending_writes: VecDeque<PendingWrite>,
    /// Output that waits for the disk, each with the batch that must be synced first.
    deferred: VecDeque<(u64, Deferred)>,
    /// Number of decided entries that were moved to `deferred`.
    delivered: u64,
    /// Synced decided index and log length.
    synced: (u64, u64),
    /// The progress of this follower and its leader when last checked, and for how many ticks it is
    /// unchanged.
    stalled: ([u64; 4], u64),
    stopped: Option<StopReason>,
}

impl Voter {
    /// A voter that continues from `stored`. At most one may be created for a configuration in one opening of
    /// the store, because messages are ordered by [`StoredLog::boots`]. Decided entries are reported again
    /// from index 0. `seed` varies the tick of the first election between voters.
    ///
    /// # Errors
    ///
    /// [`VoterError`] if it is not in the configuration, or the configuration or the stored log is invalid.
    pub fn new(me: VoterId, config: Config, stored: StoredLog, seed: u64) -> Result<Self, VoterError> {
        let ascending = config.voters.windows(2).all(|w| w[0] < w[1]);
        if config.number == 0 || config.voters.len() > MAX_VOTERS || config.voters.is_empty() || !ascending {
            return Err(VoterError::InvalidConfig);
        }
        let position = config.voters.iter().position(|&v| v == me).ok_or(VoterError::NotAVoter)? as u64 + 1;
        let boots = stored.boots;
        if boots == 0 {
            return Err(VoterError::MissingBoots);
        }
        let journal = Journal::from_store(stored).ok_or(VoterError::InvalidLog)?;
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
            // With a promise in its storage, omnipaxos assumes a recovery and asks the leader to synchronize
            // it.
            Some(cluster.build_for_server(server, journal.clone()).map_err(|_| VoterError::InvalidConfig)?)
        };
        // Serializing a configuration cannot fail.
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

    /// Advances time by one tick; to be called about every 50 ms.
    pub fn tick(&mut self) {
        self.ticks += 1;
        if self.ticks <= self.start_delay_ticks {
            return;
        }
        self.call_engine(OmniPaxos::tick);
        self.resync_if_stalled();
        self.raise_ballot_if_unreached();
    }

    /// Processes a message from `from`. For any bytes, memory and time are bounded and it does not panic.
    ///
    /// # Errors
    ///
    /// [`ReceiveError`] if the message is refused; nothing has changed then.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) -> Result<(), ReceiveError> {
        if self.stopped.is_some() {
            return Err(ReceiveError::Stopped);
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
        // Voters learn each other's incarnations from heartbeat requests.
        if head.to_boots != self.boots && !validate::is_heartbeat_request(&message) {
            return Err(ReceiveError::Outdated);
        }
        let lane = lane(&message);
        let mut peer =
            if head.boots > known.boots { Peer { boots: head.boots, ..Peer::default() } } else { known };
        // The sequence numbers towards the peer continue; a later incarnation of the peer accepts that.
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

    /// Proposes a command: appends it to the log if this voter is the leader, otherwise forwards it to the
    /// leader without confirmation. Returns false if no leader is known, too many entries are undecided, or
    /// the log must be compacted first; the caller may retry later.
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

    /// The leader that this voter follows and was synchronized by. It may be gone already.
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

    /// Takes the output since the last call: at most one write, then everything whose writes are synced.
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
                    since_tick: self.ticks,
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
            self.pending_writes.front().is_some_and(|w| self.ticks - w.since_tick > DISK_TIMEOUT_TICKS);
        for message in messages {
            if disk_late {
                // Heartbeats are dropped too: a voter that cannot write must not lead.
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

    /// Reports the completion of a batch, in order of batches. After a failure, or a completion out of order,
    /// this voter sends nothing more for good.
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

    /// Why this voter has stopped for good; `None` while it votes.
    #[must_use]
    pub fn stop_reason(&self) -> Option<StopReason> {
        self.stopped
    }

    /// Its configuration.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Number of the promised ballot and length of the log, including what is not synced yet.
    #[must_use]
    pub fn promise_and_log_len(&self) -> (u32, u64) {
        (self.engine.as_ref().map_or(0, |e| e.get_promise().n), self.journal.lock().len() as u64)
    }

    /// Upper bound for the size of the log in bytes. The node compacts it well before [`MAX_LOG_BYTES`].
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.journal.lock().log_bytes()
    }

    fn stop(&mut self, reason: StopReason) {
        self.stopped = Some(reason);
        self.engine = None;
        self.deferred.clear();
        self.pending_writes.clear();
    }

    /// Calls omnipaxos and catches panics, which are its only reaction to states that it considers
    /// impossible. Messages are checked beforehand for everything known to cause a panic. On any other panic
    /// the voter stops, and the front continues as a learner.
    fn call_engine<R>(&mut self, f: impl FnOnce(&mut OmniPaxos<Command, SharedJournal>) -> R) -> Option<R> {
        let engine = self.engine.as_mut()?;
        match catch_unwind(AssertUnwindSafe(|| f(engine))) {
            Ok(result) => {
                let consistent = {
                    let journal = self.journal.lock();
                    journal.decided() <= journal.len() && self.delivered <= journal.decided() as u64
                };
                if !consistent {
                    self.stop(StopReason::Inconsistent);
                }
                Some(result).filter(|_| consistent)
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
        // While the receiver's incarnation is unknown, only heartbeat requests can be sent.
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

    /// Asks the leader for a new synchronization if this follower is behind, or the leader has undecided
    /// entries, and nothing has changed for [`RESEND_TICKS`]: a message was lost.
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

    /// Takes a higher ballot if this leader's ballot is below one that another voter has followed without a
    /// leader for [`UNREACHED_BALLOT_TICKS`].
    fn raise_ballot_if_unreached(&mut self) {
        let Some(engine) = self.engine.as_ref() else { return };
        if engine.get_current_leader() != Some((self.me, true)) {
            return;
        }
        let (promise, now) = (engine.get_promise(), self.ticks);
        let is_excluded = |p: &Peer| {
            p.unreachable_ballot
                .is_some_and(|(b, since)| b > promise && now - since >= UNREACHED_BALLOT_TICKS)
        };
        if self.peers.iter().any(is_excluded) {
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
        let max_bytes = if puts { MAX_LOG_BYTES } else { MAX_LOG_BYTES + COMPACTION_RESERVE_BYTES };
        self.log_bytes().saturating_add(bytes) <= max_bytes
    }
}

/// The lane whose sequence numbers a message uses: 0 for heartbeats, 1 for all others.
fn lane(message: &Message<Command>) -> usize {
    usize::from(!matches!(message, Message::BLE(_)))
}

/// Whether a message of a voter is a heartbeat. Heartbeats need not keep their order relative to other
/// messages.
#[must_use]
pub fn is_heartbeat(bytes: &[u8]) -> bool {
    let after_head = postcard::take_from_bytes::<Head>(bytes).map(|(_, rest)| rest);
    after_head.is_ok_and(|rest| {
        postcard::take_from_bytes::<Message<Command>>(rest).is_ok_and(|(m, _)| lane(&m) == 0)
    })
}
