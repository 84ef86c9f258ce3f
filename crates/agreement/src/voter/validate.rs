//! What of a message is checked before omnipaxos sees it: all that its code indexes, adds to, subtracts from or
//! asserts (0.2.4). It takes messages for those of its own kind.

use super::{Ballot, Command, MOST_BODY, MOST_SAID, MOST_VOTERS, Message, Peer, Refused, Voter, What, size};
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::{AcceptSync, PaxosMsg, Promise};
use omnipaxos::util::SequenceNumber;

/// A voter that takes over adds 1 to the highest number that it has seen.
const MOST_ROUNDS: u32 = u32::MAX / 2;
/// omnipaxos adds 1 to these too.
const MOST_NUMBER: u64 = u64::MAX / 2;

/// A ballot that a voter of this configuration can have.
pub(super) fn ballot(ballot: &Ballot, number: u32, voters: u64) -> bool {
    ballot.config_id == number
        && ballot.n <= MOST_ROUNDS
        && ballot.priority == 0
        && (1..=voters).contains(&ballot.pid)
}

/// A command as the types bound it.
pub(super) fn command(command: &Command) -> bool {
    match &command.what {
        What::Put { body, .. } => body.len() <= MOST_BODY,
        What::Voters { voters, .. } => voters.len() <= MOST_VOTERS,
    }
}

/// A question for a heartbeat. It changes nothing in who is asked.
pub(super) fn is_question(message: &Message<Command>) -> bool {
    matches!(message, Message::BLE(ble) if matches!(ble.msg, HeartbeatMsg::Request(_)))
}

fn ensure(holds: bool) -> Result<(), Refused> {
    if holds { Ok(()) } else { Err(Refused::Unsound) }
}

fn number(number: &SequenceNumber) -> bool {
    number.session <= MOST_NUMBER && number.counter <= MOST_NUMBER
}

impl Voter {
    /// Whether omnipaxos may see it. Sender and receiver agree with who sent it already.
    pub(super) fn sound(&self, message: &Message<Command>, peer: &mut Peer) -> Result<(), Refused> {
        let voters = self.config.voters.len() as u64;
        let of = |b: &Ballot| ballot(b, self.config.number, voters);
        let of_or_none = |b: &Ballot| *b == Ballot::default() || of(b);
        let from = message.get_sender();
        let paxos = match message {
            Message::BLE(ble) => {
                return match &ble.msg {
                    HeartbeatMsg::Request(_) => Ok(()),
                    HeartbeatMsg::Reply(reply) => {
                        ensure(of(&reply.ballot) && reply.ballot.pid == from && of(&reply.leader))?;
                        // omnipaxos counts answers, not who answered.
                        if reply.round <= peer.round {
                            return Err(Refused::Old);
                        }
                        peer.round = reply.round;
                        let since =
                            peer.holds_to.filter(|(b, _)| *b == reply.leader).map_or(self.ticks, |(_, t)| t);
                        peer.holds_to = (!reply.happy).then_some((reply.leader, since));
                        Ok(())
                    }
                };
            }
            Message::SequencePaxos(paxos) => &paxos.msg,
        };
        let Some(engine) = &self.engine else { return Err(Refused::Unsound) };
        let leads = |b: &Ballot| of(b) && b.pid == from;
        match paxos {
            PaxosMsg::PrepareReq(m) => ensure(of_or_none(&m.n)),
            PaxosMsg::Prepare(m) => ensure(
                leads(&m.n)
                    && of_or_none(&m.n_accepted)
                    && m.n_accepted <= m.n
                    && m.decided_idx <= m.accepted_idx,
            ),
            PaxosMsg::Promise(m) => {
                ensure(of(&m.n) && m.n.pid == self.me && of_or_none(&m.n_accepted))?;
                if m.n != engine.get_promise() {
                    return Err(Refused::Old);
                }
                let accepts = engine.get_current_leader().is_some_and(|(_, accepts)| accepts);
                self.sound_promise(m, accepts)
            }
            PaxosMsg::AcceptSync(m) => {
                ensure(leads(&m.n) && number(&m.seq_num))?;
                self.sound_sync(m)
            }
            PaxosMsg::AcceptDecide(m) => {
                ensure(leads(&m.n) && number(&m.seq_num) && m.entries.iter().all(command))?;
                let bytes: usize = m.entries.iter().map(size).sum();
                ensure(self.log_bytes().saturating_add(bytes) <= MOST_SAID)
            }
            PaxosMsg::Accepted(m) => {
                ensure(of(&m.n) && m.n.pid == self.me)?;
                // A leader decides up to what a majority says it has.
                ensure(m.n != engine.get_promise() || m.accepted_idx <= self.journal.lock().len())
            }
            PaxosMsg::NotAccepted(m) => ensure(of(&m.n)),
            PaxosMsg::Decide(m) => ensure(leads(&m.n) && number(&m.seq_num)),
            PaxosMsg::ProposalForward(commands) => {
                ensure(commands.iter().all(command))?;
                // Who does not lead would hand it on, and two that take each other for the leader for ever; or keep
                // it.
                if engine.get_current_leader() != Some((self.me, true)) {
                    return Err(Refused::NotLeader);
                }
                let all: Vec<&Command> = commands.iter().collect();
                if self.may_open(all.len()) && self.has_room(&all) { Ok(()) } else { Err(Refused::Full) }
            }
            PaxosMsg::Compaction(_) | PaxosMsg::AcceptStopSign(_) | PaxosMsg::ForwardStopSign(_) => {
                Err(Refused::Unsound)
            }
        }
    }

    /// A promise to this voter's present ballot.
    fn sound_promise(&self, m: &Promise<Command>, accepts: bool) -> Result<(), Refused> {
        let (decided, length) = {
            let journal = self.journal.lock();
            (journal.decided(), journal.len())
        };
        ensure(m.decided_idx <= m.accepted_idx && m.n_accepted <= m.n)?;
        if let Some(sync) = &m.log_sync {
            ensure(
                sync.decided_snapshot.is_none() && sync.stopsign.is_none() && sync.suffix.iter().all(command),
            )?;
            ensure(sync.sync_idx.checked_add(sync.suffix.len()) == Some(m.accepted_idx))?;
        }
        if accepts {
            // It will be sent the log from where it says it is.
            return ensure(m.decided_idx <= length && (m.n_accepted != m.n || m.accepted_idx <= length));
        }
        // Without a log to add it has no more than this voter.
        ensure(m.n_accepted < m.n && (m.log_sync.is_some() || m.decided_idx <= length))?;
        // What it has more is put into this voter's log, neither into what is decided nor beyond the end.
        ensure(m.log_sync.as_ref().is_none_or(|sync| (decided..=length).contains(&sync.sync_idx)))
    }

    /// A leader's log for this voter.
    fn sound_sync(&self, m: &AcceptSync<Command>) -> Result<(), Refused> {
        let (decided, length) = {
            let journal = self.journal.lock();
            (journal.decided(), journal.len())
        };
        let sync = &m.log_sync;
        ensure(
            sync.decided_snapshot.is_none() && sync.stopsign.is_none() && sync.suffix.iter().all(command),
        )?;
        let end = sync.sync_idx.checked_add(sync.suffix.len()).ok_or(Refused::Unsound)?;
        // Nothing that is decided is written over, nor is a gap left, nor more decided than is there.
        ensure((decided..=length).contains(&sync.sync_idx) && end >= decided && m.decided_idx <= end)
    }
}
