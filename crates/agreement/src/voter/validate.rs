//! Validates messages before omnipaxos processes them. omnipaxos trusts its peers, so every value that its
//! code (0.2.4) uses as an index, in arithmetic or in an assertion is checked here.

use super::{
    Ballot, Command, MAX_BODY_BYTES, MAX_VOTER_MESSAGE_BYTES, MAX_VOTERS, Message, Operation, Peer,
    ReceiveError, Voter, message_bytes,
};
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::{AcceptSync, PaxosMsg, Promise};
use omnipaxos::util::SequenceNumber;

/// Maximum number of a ballot. A voter that takes over adds 1 to the highest number that it has seen, which
/// must not overflow.
const MAX_BALLOT_ROUND: u32 = u32::MAX / 2;
/// Maximum session and counter of a sequence number; omnipaxos adds 1 to these too.
const MAX_SEQUENCE_NUMBER: u64 = u64::MAX / 2;

/// Whether a voter of the configuration with this number and count of voters can have this ballot.
pub(super) fn is_valid_ballot(ballot: &Ballot, number: u32, voters: u64) -> bool {
    ballot.config_id == number
        && ballot.n <= MAX_BALLOT_ROUND
        && ballot.priority == 0
        && (1..=voters).contains(&ballot.pid)
}

/// Whether a command is within the limits of its type.
pub(super) fn is_valid_command(command: &Command) -> bool {
    match &command.operation {
        Operation::Put { body, .. } => body.len() <= MAX_BODY_BYTES,
        Operation::Voters { voters, .. } => voters.len() <= MAX_VOTERS,
    }
}

/// Whether the message requests a heartbeat. Such a request changes no state of its receiver.
pub(super) fn is_heartbeat_request(message: &Message<Command>) -> bool {
    matches!(message, Message::BLE(ble) if matches!(ble.msg, HeartbeatMsg::Request(_)))
}

fn ensure(condition: bool) -> Result<(), ReceiveError> {
    if condition { Ok(()) } else { Err(ReceiveError::Invalid) }
}

fn is_valid_sequence(number: &SequenceNumber) -> bool {
    number.session <= MAX_SEQUENCE_NUMBER && number.counter <= MAX_SEQUENCE_NUMBER
}

impl Voter {
    /// Checks a message whose sender and receiver are already verified, and records the content of a
    /// heartbeat reply in `peer`.
    pub(super) fn validate(&self, message: &Message<Command>, peer: &mut Peer) -> Result<(), ReceiveError> {
        let voters = self.config.voters.len() as u64;
        let valid = |b: &Ballot| is_valid_ballot(b, self.config.number, voters);
        let valid_or_default = |b: &Ballot| *b == Ballot::default() || valid(b);
        let from = message.get_sender();
        let paxos = match message {
            Message::BLE(ble) => {
                return match &ble.msg {
                    HeartbeatMsg::Request(_) => Ok(()),
                    HeartbeatMsg::Reply(reply) => {
                        ensure(valid(&reply.ballot) && reply.ballot.pid == from && valid(&reply.leader))?;
                        // omnipaxos counts replies without regard to who sent them.
                        if reply.round <= peer.round {
                            return Err(ReceiveError::Outdated);
                        }
                        peer.round = reply.round;
                        let since = peer
                            .unreachable_ballot
                            .filter(|(ballot, _)| *ballot == reply.leader)
                            .map_or(self.ticks, |(_, tick)| tick);
                        peer.unreachable_ballot = (!reply.happy).then_some((reply.leader, since));
                        Ok(())
                    }
                };
            }
            Message::SequencePaxos(paxos) => &paxos.msg,
        };
        let Some(engine) = &self.engine else { return Err(ReceiveError::Invalid) };
        let is_senders = |b: &Ballot| valid(b) && b.pid == from;
        match paxos {
            PaxosMsg::PrepareReq(m) => ensure(valid_or_default(&m.n)),
            PaxosMsg::Prepare(m) => ensure(
                is_senders(&m.n)
                    && valid_or_default(&m.n_accepted)
                    && m.n_accepted <= m.n
                    && m.decided_idx <= m.accepted_idx,
            ),
            PaxosMsg::Promise(m) => {
                ensure(valid(&m.n) && m.n.pid == self.me && valid_or_default(&m.n_accepted))?;
                if m.n != engine.get_promise() {
                    return Err(ReceiveError::Outdated);
                }
                let synchronized = engine.get_current_leader().is_some_and(|(_, synchronized)| synchronized);
                self.validate_promise(m, synchronized)
            }
            PaxosMsg::AcceptSync(m) => {
                ensure(is_senders(&m.n) && is_valid_sequence(&m.seq_num))?;
                self.validate_sync(m)
            }
            PaxosMsg::AcceptDecide(m) => {
                ensure(
                    is_senders(&m.n)
                        && is_valid_sequence(&m.seq_num)
                        && m.entries.iter().all(is_valid_command),
                )?;
                let bytes: usize = m.entries.iter().map(message_bytes).sum();
                ensure(self.log_bytes().saturating_add(bytes) <= MAX_VOTER_MESSAGE_BYTES)
            }
            PaxosMsg::Accepted(m) => {
                ensure(valid(&m.n) && m.n.pid == self.me)?;
                // A leader decides up to the index that a majority reports as accepted.
                ensure(m.n != engine.get_promise() || m.accepted_idx <= self.journal.lock().len())
            }
            PaxosMsg::NotAccepted(m) => ensure(valid(&m.n)),
            PaxosMsg::Decide(m) => ensure(is_senders(&m.n) && is_valid_sequence(&m.seq_num)),
            PaxosMsg::ProposalForward(commands) => {
                ensure(commands.iter().all(is_valid_command))?;
                // omnipaxos would forward it at a voter that does not lead, endlessly between two voters that
                // each take the other for the leader, or buffer it.
                if engine.get_current_leader() != Some((self.me, true)) {
                    return Err(ReceiveError::NotLeader);
                }
                let all: Vec<&Command> = commands.iter().collect();
                if self.has_undecided_room(all.len()) && self.has_log_room(&all) {
                    Ok(())
                } else {
                    Err(ReceiveError::Overloaded)
                }
            }
            PaxosMsg::Compaction(_) | PaxosMsg::AcceptStopSign(_) | PaxosMsg::ForwardStopSign(_) => {
                Err(ReceiveError::Invalid)
            }
        }
    }

    /// Checks a promise for this voter's present ballot. `synchronized` is whether it already leads with that
    /// ballot.
    fn validate_promise(&self, m: &Promise<Command>, synchronized: bool) -> Result<(), ReceiveError> {
        let (decided, length) = {
            let journal = self.journal.lock();
            (journal.decided(), journal.len())
        };
        ensure(m.decided_idx <= m.accepted_idx && m.n_accepted <= m.n)?;
        if let Some(sync) = &m.log_sync {
            ensure(
                sync.decided_snapshot.is_none()
                    && sync.stopsign.is_none()
                    && sync.suffix.iter().all(is_valid_command),
            )?;
            ensure(sync.sync_idx.checked_add(sync.suffix.len()) == Some(m.accepted_idx))?;
        }
        if synchronized {
            // omnipaxos will send it the log from the index that it reports.
            return ensure(m.decided_idx <= length && (m.n_accepted != m.n || m.accepted_idx <= length));
        }
        // A promise without entries must not report more decided entries than this voter has.
        ensure(m.n_accepted < m.n && (m.log_sync.is_some() || m.decided_idx <= length))?;
        // Its additional entries are put into this voter's log: neither over decided entries nor beyond the
        // end.
        ensure(m.log_sync.as_ref().is_none_or(|sync| (decided..=length).contains(&sync.sync_idx)))
    }

    /// Checks the log that a leader sends to synchronize this voter.
    fn validate_sync(&self, m: &AcceptSync<Command>) -> Result<(), ReceiveError> {
        let (decided, length) = {
            let journal = self.journal.lock();
            (journal.decided(), journal.len())
        };
        let sync = &m.log_sync;
        ensure(
            sync.decided_snapshot.is_none()
                && sync.stopsign.is_none()
                && sync.suffix.iter().all(is_valid_command),
        )?;
        let end = sync.sync_idx.checked_add(sync.suffix.len()).ok_or(ReceiveError::Invalid)?;
        // No decided entry is overwritten, no gap is left, and no more is decided than the log has.
        ensure((decided..=length).contains(&sync.sync_idx) && end >= decided && m.decided_idx <= end)
    }
}
