//! One voter in one configuration, around omnipaxos. Without I/O: ticks, messages and the disk's answers are handed
//! in.
//!
//! - **Nothing is said before it is synced.** Whatever comes up in a step waits for the step's own write and all
//!   before it. Heartbeats alone do not wait: a ballot in them makes a voter choose a higher one of its own and no
//!   more, and its own it has synced before it asks for promises. A voter whose disk has not answered for
//!   [`DISK_PATIENCE`] ticks falls silent altogether, so that another leads.
//! - **Order.** omnipaxos takes links for ordered and free of doubles: a doubled old `AcceptSync` would take entries
//!   out of a log that were counted as accepted. Each message therefore bears the lives (boots) of both ends and a
//!   number; what is older than the last one, or meant for an earlier life of its receiver, is refused.
//! - **Loss.** omnipaxos sends again what prepares a round, not what is lost within it. Each message says how far its
//!   sender is; a follower that is behind, or sees its leader's entries undecided, with nothing moving for
//!   [`RESEND_TICKS`], asks to be synchronized anew.
//! - **Left out.** A voter that promised a higher ballot of someone who is gone (itself before a restart, say) takes
//!   nothing from a leader that others follow, and the leader has no cause of its own to rise. After [`PASSED_OVER`]
//!   ticks it does.
//! - A configuration of one voter, which omnipaxos does not take, is its log alone: written is decided.

use crate::journal::{Journal, Shared, size};
use crate::store::{KeptLog, Op};
use crate::types::{Command, Config, MOST_BODY, MOST_VOTERS, VoterId, What};
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
pub const PASSED_OVER: u64 = 40;
/// Ticks that the disk may take for a write before the voter falls silent until it answers. 2 s.
pub const DISK_PATIENCE: u64 = 40;
/// Bytes of log from which on no [`What::Put`] is taken: the log is to be folded by then. A follower that has none of
/// it is sent all of it in one message.
pub const MOST_LOG: usize = 256 * 1024;
/// Bytes of a message between voters at most.
pub const MOST_SAID: usize = MOST_LOG + 128 * 1024;
/// Room beyond [`MOST_LOG`] for [`What::Voters`], so that a full log can still be folded.
const FOLD_ROOM: usize = 32 * 1024;
/// Entries that a leader may have undecided; beyond, it takes no more.
const MOST_OPEN: usize = 64;
/// Messages that wait for the disk at most. Those beyond are lost, as any message may be.
const MOST_HELD: usize = 64;

/// What comes out of a voter.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterOut {
    /// To be written as one synced transaction, in order of batches; answered by [`Voter::written`].
    Write {
        /// Counts up from 1.
        batch: u64,
        /// What to write.
        ops: Vec<Op>,
    },
    /// To be sent. May be lost.
    Say {
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
pub enum Unfit {
    /// It is not in the configuration.
    #[error("not a voter of this configuration")]
    NotAVoter,
    /// The configuration's number is 0, or its voters are none, too many, or not ascending.
    #[error("a configuration that cannot be")]
    Config,
    /// What was kept cannot be read, contradicts itself or is of another configuration.
    #[error("a kept log that cannot be")]
    Kept,
    /// [`KeptLog::boots`] is 0.
    #[error("boots of the store are missing")]
    Boots,
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// It is of another configuration, which may bear the same number. Whoever is behind is to learn.
    #[error("of configuration {number}")]
    OtherConfig {
        /// The sender's.
        number: u32,
    },
    /// Longer than [`MOST_SAID`].
    #[error("too long")]
    TooLong,
    /// Not a message.
    #[error("malformed")]
    Malformed,
    /// The sender is not in the configuration, or is this voter.
    #[error("not from another voter")]
    Stranger,
    /// A double, overtaken by a later one, or of or for an earlier life.
    #[error("old")]
    Old,
    /// Nothing that a voter would send.
    #[error("out of bounds")]
    Unsound,
    /// A proposal for the leader, which this voter is not.
    #[error("not the leader")]
    NotLeader,
    /// A proposal, and too much is undecided or the log is to be folded first.
    #[error("full")]
    Full,
    /// This voter has stopped.
    #[error("stopped")]
    Stopped,
}

/// Why a voter has stopped for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// The disk refused a write: what it has is not known.
    Disk,
    /// The disk's answers came out of order.
    Order,
    /// More is said to be decided than is there, or less than was: some voter says what is not so.
    Contradicted,
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
    came: [u64; 2],
    went: [u64; 2],
    /// Round of heartbeats that it has answered: one answer counts once.
    round: u32,
    decided: u64,
    accepted: u64,
    /// The ballot that it holds to although nobody leads it, and the tick since when.
    holds_to: Option<(Ballot, u64)>,
}

/// What waits for the disk.
enum Held {
    Say(Message<Command>),
    Decided { index: u64, command: Command },
}

/// A write that the disk has not answered.
struct Flight {
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
    engine: Option<OmniPaxos<Command, Shared>>,
    journal: Shared,
    peers: Vec<Peer>,
    ticks: u64,
    /// Ticks before the first election, drawn, so that voters started together do not all stand at once.
    wait: u64,
    last: u64,
    written: u64,
    flights: VecDeque<Flight>,
    held: VecDeque<(u64, Held)>,
    /// Decided ones that have come up.
    handed: u64,
    /// As synced: decided, length of the log.
    synced: (u64, u64),
    /// What the follower last saw of itself and its leader, and for how many ticks.
    still: ([u64; 4], u64),
    stopped: Option<Stopped>,
}

impl Voter {
    /// A voter that goes on from `kept`. One is made for a configuration in one opening of the store, not more:
    /// messages are ordered by [`KeptLog::boots`]. What was decided comes out again from index 0. `seed` sets the
    /// tick of its first election apart from others'.
    ///
    /// # Errors
    ///
    /// [`Unfit`] if it has no place in the configuration, or what was kept cannot be.
    pub fn new(me: VoterId, config: Config, kept: KeptLog, seed: u64) -> Result<Self, Unfit> {
        let ascending = config.voters.windows(2).all(|w| w[0] < w[1]);
        if config.number == 0 || config.voters.len() > MOST_VOTERS || config.voters.is_empty() || !ascending {
            return Err(Unfit::Config);
        }
        let place = config.voters.iter().position(|&v| v == me).ok_or(Unfit::NotAVoter)? as u64 + 1;
        let boots = kept.boots;
        if boots == 0 {
            return Err(Unfit::Boots);
        }
        let journal = Journal::of(kept).ok_or(Unfit::Kept)?;
        let count = config.voters.len() as u64;
        if !journal.ballots().all(|b| validate::ballot(b, config.number, count)) {
            return Err(Unfit::Kept);
        }
        let synced = (journal.decided() as u64, journal.len() as u64);
        let journal = Shared::new(journal);
        let engine = if count == 1 {
            None
        } else {
            let cluster = ClusterConfig {
                configuration_id: config.number,
                nodes: (1..=count).collect(),
                flexible_quorum: None,
            };
            let server = ServerConfig {
                pid: place,
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: RESEND_TICKS,
                buffer_size: 64,
                ..ServerConfig::default()
            };
            // With a promise in its storage it takes itself for recovered and asks the leader to synchronize it.
            Some(cluster.build_for_server(server, journal.clone()).map_err(|_| Unfit::Config)?)
        };
        // A configuration can always be written.
        let hash = Sha256::digest(postcard::to_stdvec(&config).unwrap_or_default());
        let mut digest = [0; 8];
        digest.copy_from_slice(&hash[..8]);
        Ok(Self {
            digest,
            boots,
            me: place,
            engine,
            journal,
            peers: vec![Peer::default(); config.voters.len()],
            config,
            ticks: 0,
            wait: seed % ELECTION_TICKS,
            last: 0,
            written: 0,
            flights: VecDeque::new(),
            held: VecDeque::new(),
            handed: 0,
            synced,
            still: ([0; 4], 0),
            stopped: None,
        })
    }

    /// To be called each 50 ms or so.
    pub fn tick(&mut self) {
        self.ticks += 1;
        if self.ticks <= self.wait {
            return;
        }
        self.guarded(OmniPaxos::tick);
        self.ask_if_behind();
        self.rise_if_passed_over();
    }

    /// Takes a message that `from` has said. Bounded in memory and time, and never a panic, whatever the bytes.
    ///
    /// # Errors
    ///
    /// [`Refused`]; nothing has changed then.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) -> Result<(), Refused> {
        if self.stopped.is_some() {
            return Err(Refused::Stopped);
        }
        if bytes.len() > MOST_SAID {
            return Err(Refused::TooLong);
        }
        let (head, rest) = postcard::take_from_bytes::<Head>(bytes).map_err(|_| Refused::Malformed)?;
        if (head.number, head.digest) != (self.config.number, self.digest) {
            return Err(Refused::OtherConfig { number: head.number });
        }
        let place = self.config.voters.iter().position(|&v| v == from).ok_or(Refused::Stranger)?;
        let (message, rest) =
            postcard::take_from_bytes::<Message<Command>>(rest).map_err(|_| Refused::Malformed)?;
        if !rest.is_empty() {
            return Err(Refused::Malformed);
        }
        let number = place as u64 + 1;
        if number == self.me {
            return Err(Refused::Stranger);
        }
        if message.get_sender() != number || message.get_receiver() != self.me {
            return Err(Refused::Unsound);
        }
        let known = self.peers.get(place).copied().ok_or(Refused::Stranger)?;
        if head.boots == 0 || head.boots < known.boots {
            return Err(Refused::Old);
        }
        // A question for a heartbeat is how voters come to know each other's lives.
        if head.to_boots != self.boots && !validate::is_question(&message) {
            return Err(Refused::Old);
        }
        let lane = lane(&message);
        let mut peer =
            if head.boots > known.boots { Peer { boots: head.boots, ..Peer::default() } } else { known };
        // Numbers of what went to it count on: a later life of it does not mind.
        peer.went = known.went;
        if head.sequence <= peer.came[lane] {
            return Err(Refused::Old);
        }
        self.sound(&message, &mut peer)?;
        peer.came[lane] = head.sequence;
        (peer.decided, peer.accepted) = (head.decided, head.accepted);
        if let Some(slot) = self.peers.get_mut(place) {
            *slot = peer;
        }
        self.guarded(|engine| engine.handle_incoming(message));
        Ok(())
    }

    /// Proposes: into the leader's log, or on to the leader, without a word on whether it came there. False if no
    /// leader is known, too much is undecided, or the log is to be folded first; try again later.
    pub fn append(&mut self, command: Command) -> bool {
        if self.stopped.is_some() || !validate::command(&command) || !self.has_room(&[&command]) {
            return false;
        }
        let Some((leader, true)) =
            self.engine.as_ref().map_or(Some((self.me, true)), |e| e.get_current_leader())
        else {
            return false;
        };
        if leader == self.me && !self.may_open(1) {
            return false;
        }
        if self.engine.is_none() {
            let mut journal = self.journal.lock();
            journal.append(vec![command]);
            let all = journal.len();
            journal.decide(all);
            return true;
        }
        self.guarded(|engine| engine.append(command).is_ok()).unwrap_or(false)
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
    pub fn take(&mut self, out: &mut Vec<VoterOut>) {
        if self.stopped.is_some() {
            return;
        }
        let mut messages = Vec::new();
        self.guarded(|engine| engine.take_outgoing_messages(&mut messages));
        if self.stopped.is_some() {
            return;
        }
        {
            let mut journal = self.journal.lock();
            let ops = journal.drain();
            let (decided, accepted) = (journal.decided() as u64, journal.len() as u64);
            if !ops.is_empty() {
                self.last += 1;
                self.flights.push_back(Flight { batch: self.last, since: self.ticks, decided, accepted });
                out.push(VoterOut::Write { batch: self.last, ops });
            }
            while self.handed < decided {
                let Some(command) = journal.get(self.handed as usize).cloned() else { break };
                self.held.push_back((self.last, Held::Decided { index: self.handed, command }));
                self.handed += 1;
            }
        }
        let late = self.flights.front().is_some_and(|f| self.ticks - f.since > DISK_PATIENCE);
        for message in messages {
            if late {
                // Heartbeats too: who cannot write shall not lead.
            } else if matches!(message, Message::BLE(_)) {
                self.say(message, out);
            } else if self.held.len() < MOST_HELD {
                self.held.push_back((self.last, Held::Say(message)));
            }
        }
        while self.held.front().is_some_and(|(batch, _)| *batch <= self.written) {
            match self.held.pop_front() {
                Some((_, Held::Say(message))) => self.say(message, out),
                Some((_, Held::Decided { index, command })) => out.push(VoterOut::Decided { index, command }),
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
        match self.flights.front() {
            Some(flight) if flight.batch == batch && ok => {
                self.synced = (flight.decided, flight.accepted);
                self.written = batch;
                self.flights.pop_front();
            }
            _ if !ok => self.stop(Stopped::Disk),
            _ => self.stop(Stopped::Order),
        }
    }

    /// Whether and why it votes no more.
    #[must_use]
    pub fn is_stopped(&self) -> Option<Stopped> {
        self.stopped
    }

    /// Its configuration.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Number of its promise and length of its log, as it has them, synced or not.
    #[must_use]
    pub fn reach(&self) -> (u32, u64) {
        (self.engine.as_ref().map_or(0, |e| e.get_promise().n), self.journal.lock().len() as u64)
    }

    /// Bytes of its log: the node folds it well before [`MOST_LOG`].
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.journal.lock().bytes()
    }

    fn stop(&mut self, why: Stopped) {
        self.stopped = Some(why);
        self.engine = None;
        self.held.clear();
        self.flights.clear();
    }

    /// omnipaxos has no other answer to what it holds for impossible than to panic. Messages are checked for all that
    /// is known to lead there; for what is not known the voter stops, and the front serves on as a learner.
    fn guarded<R>(&mut self, f: impl FnOnce(&mut OmniPaxos<Command, Shared>) -> R) -> Option<R> {
        let engine = self.engine.as_mut()?;
        match catch_unwind(AssertUnwindSafe(|| f(engine))) {
            Ok(answer) => {
                let sound = {
                    let journal = self.journal.lock();
                    journal.decided() <= journal.len() && self.handed <= journal.decided() as u64
                };
                if !sound {
                    self.stop(Stopped::Contradicted);
                }
                Some(answer).filter(|_| sound)
            }
            Err(_) => {
                self.stop(Stopped::Panicked);
                None
            }
        }
    }

    fn say(&mut self, message: Message<Command>, out: &mut Vec<VoterOut>) {
        let Ok(place) = usize::try_from(message.get_receiver().wrapping_sub(1)) else { return };
        let (Some(peer), Some(&to)) = (self.peers.get_mut(place), self.config.voters.get(place)) else {
            return;
        };
        // Whoever does not know the receiver's life cannot say more than ask for a heartbeat.
        if peer.boots == 0 && !validate::is_question(&message) {
            return;
        }
        let lane = lane(&message);
        peer.went[lane] += 1;
        let head = Head {
            number: self.config.number,
            digest: self.digest,
            boots: self.boots,
            to_boots: peer.boots,
            sequence: peer.went[lane],
            decided: self.synced.0,
            accepted: self.synced.1,
        };
        let Ok(bytes) = postcard::to_stdvec(&head).and_then(|bytes| postcard::to_extend(&message, bytes))
        else {
            return;
        };
        out.push(VoterOut::Say { to, message: bytes });
    }

    /// A follower that is behind its leader, or whose leader waits for someone, and nothing has moved: something was
    /// lost.
    fn ask_if_behind(&mut self) {
        let Some((leader, true)) = self.engine.as_ref().and_then(OmniPaxos::get_current_leader) else {
            return;
        };
        let Some(peer) = leader.checked_sub(1).and_then(|place| self.peers.get(place as usize)) else {
            return;
        };
        if leader == self.me || !self.flights.is_empty() {
            return;
        }
        let (decided, accepted) = self.synced;
        let now = [peer.decided, peer.accepted, decided, accepted];
        let behind = peer.accepted > peer.decided || peer.decided > decided || peer.accepted > accepted;
        if !behind || self.still.0 != now {
            self.still = (now, 0);
        } else {
            self.still.1 += 1;
            if self.still.1 >= RESEND_TICKS {
                self.still.1 = 0;
                self.guarded(|engine| engine.reconnected(leader));
            }
        }
    }

    /// Rises above the ballot of a voter that this leader does not reach by its own.
    fn rise_if_passed_over(&mut self) {
        let Some(engine) = self.engine.as_ref() else { return };
        if engine.get_current_leader() != Some((self.me, true)) {
            return;
        }
        let (promise, now) = (engine.get_promise(), self.ticks);
        let waits = |p: &Peer| p.holds_to.is_some_and(|(b, since)| b > promise && now - since >= PASSED_OVER);
        if self.peers.iter().any(waits) {
            self.guarded(OmniPaxos::try_become_leader);
        }
    }

    fn may_open(&self, more: usize) -> bool {
        let journal = self.journal.lock();
        self.engine.is_none() || (journal.len() - journal.decided()).saturating_add(more) <= MOST_OPEN
    }

    fn has_room(&self, commands: &[&Command]) -> bool {
        let puts = commands.iter().any(|c| matches!(c.what, What::Put { .. }));
        let bytes = commands.iter().map(|c| size(c)).sum::<usize>();
        let most = if puts { MOST_LOG } else { MOST_LOG + FOLD_ROOM };
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
