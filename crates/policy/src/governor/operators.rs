//! Answers to the operators' requests that are pending at this front.

use super::{CurrentRegister, Governor, MAX_STORED_ANSWERS, PendingRequest};
use crate::answer::{Answer, Effect};
use crate::change::RegisterState;
use pepperhook_agreement::Outcome;

impl Governor {
    /// Answers the pending requests whose outcome the register shows.
    pub(super) fn answer_requesters(&mut self, out: &mut Vec<Effect>) {
        // An accepted change that the register does not show was completed or undone, and followed by another, before a
        // snapshot: its outcome is unknown.
        let outcome_of = |key: u128, request: &PendingRequest| {
            let answer = self.current.as_ref().and_then(|current| answer_from_register(current, key));
            answer.or_else(|| request.accepted.then_some(Answer::Unknown))
        };
        let answers: Vec<(u128, Answer)> = self
            .pending
            .iter()
            .filter_map(|(key, w)| outcome_of(*key, w).map(|answer| (*key, answer)))
            .collect();
        for (key, answer) in answers {
            if answer == Answer::Unknown {
                self.pending.remove(&key);
                out.push(Effect::Answer { key, answer });
                continue;
            }
            if let Answer::Accepted { .. } = answer {
                match self.pending.get_mut(&key) {
                    Some(request) if !request.accepted => request.accepted = true,
                    _ => continue,
                }
                out.push(Effect::Answer { key, answer });
            } else {
                self.finish_request(key, answer, out);
            }
        }
    }

    /// A command for the policy's register was not applied: answers its requester.
    pub(super) fn command_rejected(&mut self, command: u128, outcome: &Outcome, out: &mut Vec<Effect>) {
        let request = self.pending.iter().find(|(_, w)| !w.accepted && w.command == command);
        let Some((key, request)) = request else { return };
        let key = *key;
        let answer = match (&self.current, outcome) {
            (_, Outcome::Full) => Answer::Refused("the agreed state has no room for it".into()),
            (Some(current), _) => Answer::Conflict {
                requester: request.origin.clone(),
                base_version: request.base_version,
                current_version: current.state.version(),
                origin: current.state.origin().clone(),
            },
            (None, _) => Answer::NotAgreed,
        };
        self.finish_request(key, answer, out);
    }

    fn finish_request(&mut self, key: u128, answer: Answer, out: &mut Vec<Effect>) {
        self.pending.remove(&key);
        if self.answers.len() >= MAX_STORED_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((key, answer.clone()));
        out.push(Effect::Answer { key, answer });
    }
}

/// The answer to the request with this key, if the register shows it.
pub(super) fn answer_from_register(current: &CurrentRegister, key: u128) -> Option<Answer> {
    match &current.state {
        RegisterState::Active { undone: Some(undone), .. } if undone.origin.key == key => {
            Some(Answer::Undone(undone.clone()))
        }
        RegisterState::Active { version, origin, .. } if origin.key == key => {
            Some(Answer::Completed { version: *version })
        }
        RegisterState::Active { .. } => None,
        RegisterState::FirstStep(s)
        | RegisterState::SecondStep(s)
        | RegisterState::Trial { steps: s, .. }
        | RegisterState::Rollback { steps: s, .. } => {
            let undone = s.undoes.as_ref().filter(|u| u.origin.key == key).map(|u| u.version);
            let version = undone.or_else(|| (s.origin.key == key).then_some(s.version))?;
            Some(Answer::Accepted { version, entry: current.entry })
        }
    }
}
