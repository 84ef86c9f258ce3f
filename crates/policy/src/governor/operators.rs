//! What those who asked are told.

use super::{At, Governor, MOST_ANSWERS, Waiting};
use crate::answer::{Answer, Effect};
use crate::change::Change;
use pepperhook_agreement::Outcome;

impl Governor {
    /// Tells who asked here how far their change is.
    pub(super) fn tell(&mut self, out: &mut Vec<Effect>) {
        // An accepted change that the register knows nothing of went by in a snapshot.
        let of = |key: u128, w: &Waiting| {
            let answer = self.at.as_ref().and_then(|at| known(at, key));
            answer.or_else(|| w.accepted.then_some(Answer::Unknown))
        };
        let told: Vec<(u128, Answer)> =
            self.waiting.iter().filter_map(|(key, w)| of(*key, w).map(|answer| (*key, answer))).collect();
        for (key, answer) in told {
            if answer == Answer::Unknown {
                self.waiting.remove(&key);
                out.push(Effect::Told { key, answer });
                continue;
            }
            if let Answer::Accepted { .. } = answer {
                match self.waiting.get_mut(&key) {
                    Some(waiting) if !waiting.accepted => waiting.accepted = true,
                    _ => continue,
                }
                out.push(Effect::Told { key, answer });
            } else {
                self.done(key, answer, out);
            }
        }
    }

    /// A command of the policy's register changed nothing.
    pub(super) fn lost(&mut self, command: u128, outcome: &Outcome, out: &mut Vec<Effect>) {
        let mine = self.waiting.iter().find(|(_, w)| !w.accepted && w.command == command);
        let Some((key, waiting)) = mine else { return };
        let key = *key;
        let answer = match (&self.at, outcome) {
            (_, Outcome::Full) => Answer::Refused("the agreed state has no room for it".into()),
            (Some(at), _) => Answer::Conflict {
                asked: waiting.made.clone(),
                against: waiting.against,
                stands: at.change.version(),
                made: at.change.made().clone(),
            },
            (None, _) => Answer::NotAgreed,
        };
        self.done(key, answer, out);
    }

    fn done(&mut self, key: u128, answer: Answer, out: &mut Vec<Effect>) {
        self.waiting.remove(&key);
        if self.answers.len() >= MOST_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((key, answer.clone()));
        out.push(Effect::Told { key, answer });
    }
}

/// What the register says of a change.
pub(super) fn known(at: &At, key: u128) -> Option<Answer> {
    match &at.change {
        Change::Stands { undone: Some(undone), .. } if undone.made.key == key => {
            Some(Answer::Undone(undone.clone()))
        }
        Change::Stands { version, made, .. } if made.key == key => Some(Answer::Stands { version: *version }),
        Change::Stands { .. } => None,
        Change::First(s)
        | Change::Second(s)
        | Change::Trial { steps: s, .. }
        | Change::Back { steps: s, .. } => {
            let undone = s.undoes.as_ref().filter(|u| u.made.key == key).map(|u| u.version);
            let version = undone.or_else(|| (s.made.key == key).then_some(s.version))?;
            Some(Answer::Accepted { version, number: at.number })
        }
    }
}
