//! One front's part in the changes of the policy.
//!
//! Two rules hold a change together. A front vouches for an entry only once it goes by it, and a step is driven only once
//! the entry of the step before is settled: then every front that holds goes by that step, and who does not hold is fenced.
//! Who drives does not matter: commands apply only to the entry that they follow, and their keys follow from it.

use crate::answer::{Answer, Ask, Effect, MOST_NAME, Pace, Unfit};
use crate::change::{Change, MOST_WHY, Made, Proof, SUBJECT, Steps, Undone, cut, derived};
use crate::intersection::tighter;
use crate::policy::Policy;
use crate::trial::{History, Sums, Verdict};
use pepperhook_agreement::{Command, Entry, Key, Operation, Outcome, Registers};
use pepperhook_settings::Config;
use std::collections::{BTreeMap, VecDeque};

mod operators;
mod view;

use operators::known;

/// Changes that wait at a front at most.
const MOST_WAITING: usize = 16;
/// Answers that are remembered for those who ask again.
const MOST_ANSWERS: usize = 64;
/// A first step's time, ms, whatever the register says.
const FIRST_MS: (u64, u64) = (1_000, 600_000);

/// What a front's own means say of a policy.
pub trait Fits {
    /// Whether this front can go by it.
    ///
    /// # Errors
    /// Why not.
    fn fits(&self, policy: &Policy) -> Result<(), String>;
}

impl Fits for Config {
    fn fits(&self, policy: &Policy) -> Result<(), String> {
        policy.over(self).map(drop)
    }
}

/// What the caller knows of the front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Around {
    /// The fleet agrees: the register that it knows is the register, also if it is empty.
    pub agreed: bool,
    /// The front leads the voters: it drives without delay.
    pub leads: bool,
}

/// What the register says, read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct At {
    number: u64,
    change: Change,
    old: Policy,
    new: Policy,
    since_ms: u64,
    settled_ms: Option<u64>,
}

/// Steps that follow one another; part of the keys.
#[derive(Clone, Copy, Debug)]
enum Next {
    Seed = 1,
    Second = 2,
    Through = 3,
    Back = 4,
    Gone = 5,
    First = 6,
    Trial = 7,
    Undo = 8,
    Keep = 9,
}

/// A change that was asked for here and is not through.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    made: Made,
    against: u64,
    since_ms: u64,
    accepted: bool,
    /// The key of its command.
    command: u128,
}

/// One front's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Governor {
    me: u64,
    pace: Pace,
    seed: Option<Policy>,
    around: Around,
    /// Since when the fleet agrees.
    agreed_ms: Option<u64>,
    /// The entry that wrote the register, 0 for none.
    register: u64,
    at: Option<At>,
    unread: bool,
    force: Option<(u64, &'static str, Policy)>,
    stuck: Option<String>,
    checked_ms: u64,
    seen: u64,
    vouched: u64,
    settled: u64,
    /// The entry behind which something was proposed, and when.
    proposed: Option<(u64, u64)>,
    waiting: BTreeMap<u128, Waiting>,
    answers: VecDeque<(u128, Answer)>,
    history: History,
}

impl Governor {
    /// A front that knows of nothing yet. `seed` is the policy of its file, if it may begin with it where none stands.
    #[must_use]
    pub fn new(me: u64, pace: Pace, seed: Option<Policy>) -> Self {
        Self {
            me,
            pace,
            seed,
            around: Around::default(),
            agreed_ms: None,
            register: 0,
            at: None,
            unread: false,
            force: None,
            stuck: None,
            checked_ms: 0,
            seen: 0,
            vouched: 0,
            settled: 0,
            proposed: None,
            waiting: BTreeMap::new(),
            answers: VecDeque::new(),
            history: History::default(),
        }
    }

    /// The next entry of the log, and what its command came to.
    pub fn applied(
        &mut self,
        now_ms: u64,
        entry: &Entry,
        outcome: &Outcome,
        fits: &dyn Fits,
        out: &mut Vec<Effect>,
    ) {
        if entry.number <= self.seen {
            return;
        }
        self.seen = entry.number;
        if let Operation::Put { subject: SUBJECT, expects, body } = &entry.command.operation {
            // A command that comes a second time has its first outcome again and changes nothing.
            if *outcome == Outcome::Applied && *expects == self.register {
                self.adopt(now_ms, entry.number, body, fits, out);
            } else {
                self.lost(entry.command.key.0, outcome, out);
            }
        }
        self.vouch(out);
    }

    /// The state was replaced by a snapshot, or this is what the front begins with.
    pub fn replaced(&mut self, now_ms: u64, state: &Registers, fits: &dyn Fits, out: &mut Vec<Effect>) {
        let register = state.get(SUBJECT).map(|r| (r.number, r.body.as_slice()));
        self.replaced_up_to(now_ms, state.number(), register, fits, out);
    }

    /// As [`Self::replaced`]: the state is that after this entry; `register` is the entry that wrote the policy's register,
    /// and what it says.
    pub fn replaced_up_to(
        &mut self,
        now_ms: u64,
        number: u64,
        register: Option<(u64, &[u8])>,
        fits: &dyn Fits,
        out: &mut Vec<Effect>,
    ) {
        self.seen = self.seen.max(number);
        match register {
            Some((at, body)) if at != self.register || self.unread => self.adopt(now_ms, at, body, fits, out),
            Some(_) => {}
            None => (self.at, self.register, self.unread, self.stuck) = (None, 0, false, None),
        }
        self.tell(out);
        self.vouch(out);
    }

    /// Every front that holds vouches for this entry or a later one.
    pub fn settled(&mut self, now_ms: u64, number: u64, out: &mut Vec<Effect>) {
        self.settled = self.settled.max(number);
        let settled = self.settled;
        if let Some(at) = self.at.as_mut().filter(|at| at.settled_ms.is_none() && at.number <= settled) {
            at.settled_ms = Some(now_ms);
        }
        self.drive(now_ms, out);
    }

    /// Time has passed. Every 200 ms or so.
    pub fn tick(&mut self, now_ms: u64, around: Around, fits: &dyn Fits, out: &mut Vec<Effect>) {
        self.around = around;
        if around.agreed && self.agreed_ms.is_none() {
            self.agreed_ms = Some(now_ms);
        }
        if self.stuck.is_some() && now_ms.saturating_sub(self.checked_ms) >= self.pace.again_ms {
            self.go(now_ms, fits, out);
            self.vouch(out);
        }
        self.drive(now_ms, out);
        let most = self.pace.ask_ms;
        let over = |w: &Waiting| !w.accepted && now_ms.saturating_sub(w.since_ms) >= most;
        let late: Vec<u128> = self.waiting.iter().filter(|(_, w)| over(w)).map(|(k, _)| *k).collect();
        for key in late {
            // Not remembered: who asks again has it proposed again.
            self.waiting.remove(&key);
            out.push(Effect::Told { key, answer: Answer::Unknown });
        }
    }

    /// An operator asks for a change. What comes of it is told under its key, at once or later.
    pub fn ask(&mut self, now_ms: u64, ask: Ask, fits: &dyn Fits, out: &mut Vec<Effect>) {
        let key = ask.key;
        if let Some((_, answer)) = self.answers.iter().find(|(k, _)| *k == key && !ask.dry_run) {
            out.push(Effect::Told { key, answer: answer.clone() });
            return;
        }
        // Whoever asks again waits for the one answer.
        if self.waiting.contains_key(&key) {
            return;
        }
        if let Err(answer) = self.checked(now_ms, ask, fits, out) {
            out.push(Effect::Told { key, answer });
        }
    }

    fn checked(
        &mut self,
        now_ms: u64,
        ask: Ask,
        fits: &dyn Fits,
        out: &mut Vec<Effect>,
    ) -> Result<(), Answer> {
        let refused = |why: &dyn std::fmt::Display| Answer::Refused(why.to_string());
        if ask.name.is_empty() || ask.name.len() > MOST_NAME || ask.name.chars().any(char::is_control) {
            return Err(refused(&format!("a name has 1 to {MOST_NAME} bytes and no control characters")));
        }
        let at = self.at.as_ref().filter(|_| !self.unread).ok_or(Answer::NotAgreed)?;
        // Asked before, at this front or another, and known from the register.
        if !ask.dry_run {
            if let Some(answer) = known(at, ask.key) {
                if let Answer::Accepted { .. } = answer {
                    let made = at.change.made().clone();
                    let (against, since_ms) = (ask.against, now_ms);
                    let waiting = Waiting { made, against, since_ms, accepted: true, command: 0 };
                    self.waiting.insert(ask.key, waiting);
                }
                return Err(answer);
            }
        }
        let made = Made { key: ask.key, front: self.me, name: ask.name };
        let Change::Stands { version, last, made: old_made, .. } = &at.change else {
            let (version, step) = (at.change.version(), at.change.step());
            return Err(Answer::UnderWay { version, step, made: at.change.made().clone() });
        };
        if ask.against != *version {
            let (stands, by) = (*version, old_made.clone());
            return Err(Answer::Conflict { asked: made, against: ask.against, stands, made: by });
        }
        let new = Policy::parse("policy", &ask.text).map_err(|e| refused(&e))?;
        let new = at.old.then(&new).map_err(|e| refused(&e))?;
        if new == at.old {
            return Err(Answer::Same { version: *version });
        }
        let both = tighter(&at.old, &new).map_err(|e| refused(&e))?;
        for policy in [&both, &new] {
            fits.fits(policy).map_err(|why| Answer::Unfit(Unfit { front: self.me, why }))?;
        }
        let proof = match ask.trial {
            None => None,
            Some(trial) if !trial.is_sound() => {
                return Err(refused(
                    &"a trial takes 10 s to an hour, and a loss of 1,000 thousandths at most",
                ));
            }
            Some(trial) => match self.history.before(now_ms, &trial) {
                Some(before) => Some(Proof { trial, before }),
                None => {
                    return Err(refused(&"this front has not known service for as long as the trial takes"));
                }
            },
        };
        let number = last.saturating_add(1);
        if ask.dry_run {
            let (changes, first) = (at.old.differences(&new), at.old.differences(&both));
            return Err(Answer::Dry { version: number, changes, first });
        }
        if self.waiting.len() >= MOST_WAITING {
            return Err(Answer::Busy);
        }
        let steps = Steps {
            version: number,
            made: made.clone(),
            old_version: *version,
            old_made: old_made.clone(),
            old: at.old.text().to_owned(),
            new: new.text().to_owned(),
            first_ms: self.pace.first_ms,
            proof,
            undoes: None,
        };
        let expects = at.number;
        let body = Change::First(steps).encode().ok_or_else(|| refused(&"the change is too long"))?;
        // One key never stands for commands that expect different entries: the agreement answers a key that came before
        // with its first outcome.
        let command = derived(&[ask.key, u128::from(expects), Next::First as u128]);
        let waiting = Waiting { made, against: ask.against, since_ms: now_ms, accepted: false, command };
        self.waiting.insert(ask.key, waiting);
        out.push(self.put(Key(command), expects, body));
        Ok(())
    }

    /// What the whole fleet served until now, as this front knows it. Once a second or so.
    pub fn served(&mut self, now_ms: u64, sums: Sums) {
        self.history.served(now_ms, sums);
    }

    /// An operator ends the trial of this version: it stands.
    pub fn keep(&mut self, key: u128, version: u64, out: &mut Vec<Effect>) {
        let answer = match self.at.as_ref().map(|at| &at.change) {
            Some(Change::Trial { steps, .. }) if steps.version == version => match through(steps).encode() {
                Some(body) => {
                    let command = derived(&[key, u128::from(self.register), Next::Keep as u128]);
                    out.push(self.put(Key(command), self.register, body));
                    Answer::Keeping { version }
                }
                None => Answer::Refused("the policy is too long".into()),
            },
            _ => Answer::Refused(format!("no trial of version {version} is under way")),
        };
        out.push(Effect::Told { key, answer });
    }

    fn put(&self, key: Key, expects: u64, body: Vec<u8>) -> Effect {
        let operation = Operation::Put { subject: SUBJECT, expects, body };
        Effect::Propose(Command { key, author: self.me, operation })
    }

    /// The register has a new body.
    fn adopt(&mut self, now_ms: u64, number: u64, body: &[u8], fits: &dyn Fits, out: &mut Vec<Effect>) {
        self.stuck = None;
        self.unread = false;
        self.proposed = None;
        self.register = number;
        if body.is_empty() {
            // Cleared, as if never written. The front goes by what it went by.
            (self.at, self.register) = (None, 0);
            return;
        }
        let known: Vec<&Policy> = self.at.iter().flat_map(|at| [&at.old, &at.new]).collect();
        let read = Change::decode(body).and_then(|change| change.policies(&known).map(|p| (change, p)));
        let Ok((change, (old, new))) = read else {
            // All fronts of this edition are fenced with it: better than going by something else than the others.
            self.unread = true;
            let why = "the register of the policy says what this edition cannot read".to_owned();
            out.push(Effect::Stuck(why));
            return;
        };
        let settled_ms = (self.settled >= number).then_some(now_ms);
        self.at = Some(At { number, change, old, new, since_ms: now_ms, settled_ms });
        self.go(now_ms, fits, out);
        self.tell(out);
    }

    /// Goes by what the register says, or says why it cannot.
    fn go(&mut self, now_ms: u64, fits: &dyn Fits, out: &mut Vec<Effect>) {
        let Some(at) = &self.at else { return };
        self.checked_ms = now_ms;
        let both;
        let target = match &at.change {
            Change::Stands { .. } | Change::Back { .. } => Ok(&at.old),
            Change::Second(_) | Change::Trial { .. } => Ok(&at.new),
            Change::First(_) => match tighter(&at.old, &at.new) {
                Ok(policy) => {
                    both = policy;
                    // After the first step it goes only forward: who cannot go by the last says so now.
                    fits.fits(&at.new).map(|()| &both)
                }
                Err(fixed) => Err(fixed.to_string()),
            },
        };
        let fit = target.and_then(|policy| fits.fits(policy).map(|()| policy));
        let (version, step) = match &at.change {
            Change::Back { steps, .. } => (steps.old_version, at.change.step()),
            change => (change.version(), change.step()),
        };
        match fit {
            Ok(policy) => {
                self.stuck = None;
                let next = Some((version, step, policy.clone()));
                if self.force != next {
                    out.push(Effect::InForce { version, step, policy: policy.clone() });
                    self.force = next;
                }
            }
            Err(why) => {
                let why = cut(&why, MOST_WHY);
                if self.stuck.as_ref() != Some(&why) {
                    out.push(Effect::Stuck(why.clone()));
                }
                self.stuck = Some(why);
            }
        }
    }

    fn vouch(&mut self, out: &mut Vec<Effect>) {
        if self.stuck.is_none() && !self.unread && self.seen > self.vouched {
            self.vouched = self.seen;
            out.push(Effect::Vouch(self.seen));
        }
    }

    /// Proposes what comes next, where it is due here.
    fn drive(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let number = self.register;
        if self.unread || !self.around.agreed {
            return;
        }
        if self
            .proposed
            .is_some_and(|(at, ms)| at == number && now_ms.saturating_sub(ms) < self.pace.again_ms)
        {
            return;
        }
        let Some((next, mine, body)) = self.next(now_ms) else { return };
        let Some(body) = body.encode() else { return };
        // An objection and a seed are this front's own; all else is the same whoever drives it.
        let own = if mine { u128::from(self.me) + 1 } else { 0 };
        // Where nothing stands, what came before tells two beginnings apart.
        let of = self.at.as_ref().map_or(u128::from(self.seen), |at| at.change.made().key);
        let key = derived(&[of, u128::from(number), next as u128, own]);
        self.proposed = Some((number, now_ms));
        out.push(self.put(Key(key), number, body));
    }

    /// The leader drives at once, the author if nothing came of that, then the others, each at a moment of its own: one of
    /// them is enough.
    fn turn(&self, author: u64) -> u64 {
        if self.around.leads {
            return 0;
        }
        if author == self.me {
            return self.pace.drive_ms / 2;
        }
        let lot = derived(&[u128::from(self.me), u128::from(self.register)]) >> 64;
        let spread = u64::try_from(lot).unwrap_or(0) % self.pace.drive_ms.saturating_mul(3).max(1);
        self.pace.drive_ms.saturating_add(spread)
    }

    fn next(&self, now_ms: u64) -> Option<(Next, bool, Change)> {
        let Some(at) = &self.at else {
            let policy = self.seed.as_ref()?.text().to_owned();
            if now_ms < self.agreed_ms?.saturating_add(self.turn(u64::MAX)) {
                return None;
            }
            let made = Made { key: 0, front: self.me, name: "settings".into() };
            return Some((
                Next::Seed,
                true,
                Change::Stands { version: 1, last: 1, policy, made, undone: None },
            ));
        };
        let passed = |since: u64, time: u64| now_ms >= since.saturating_add(time);
        let turn = self.turn(at.change.made().front);
        let settled = at.settled_ms.is_some_and(|since| passed(since, turn));
        match &at.change {
            Change::Stands { .. } => None,
            Change::First(steps) => {
                let back = |why: String| Change::Back { steps: steps.clone(), by: self.me, why };
                if let Some(why) = &self.stuck {
                    return passed(at.since_ms, turn / 4).then(|| (Next::Back, true, back(why.clone())));
                }
                if at.settled_ms.is_some() {
                    return settled.then(|| (Next::Second, false, Change::Second(steps.clone())));
                }
                let first_ms = u64::from(steps.first_ms).clamp(FIRST_MS.0, FIRST_MS.1);
                let why = || {
                    let after = first_ms / 1_000;
                    format!(
                        "not settled after {after} s: a front does not go by the first step, or voters are missing"
                    )
                };
                passed(at.since_ms, first_ms.saturating_add(turn)).then(|| (Next::Back, true, back(why())))
            }
            Change::Second(s) => match &s.proof {
                None => settled.then(|| (Next::Through, false, through(s))),
                Some(proof) => {
                    let from = proof.trial.of(self.history.last());
                    // Who does not know the sums leaves it to others; if nobody does the change goes unjudged.
                    if from.of < proof.before.of {
                        let late = settled && passed(at.since_ms, proof.trial.time_ms());
                        return late.then(|| (Next::Through, false, through(s)));
                    }
                    settled.then(|| (Next::Trial, false, Change::Trial { steps: s.clone(), from }))
                }
            },
            Change::Trial { steps: s, from } => {
                let Some(proof) = &s.proof else { return Some((Next::Through, false, through(s))) };
                if !passed(at.since_ms, proof.trial.time_ms().saturating_add(turn)) {
                    return None;
                }
                let after = proof.trial.of(self.history.last()).since(*from);
                // Sums that went back are those of a front that was lost: nothing can be said.
                let verdict = after.map_or(Verdict::Few, |after| proof.trial.judge(proof.before, after));
                let undo = match verdict {
                    Verdict::Worse(why) => self.undo(at, s, &why),
                    Verdict::Kept => None,
                    // Another front may know more.
                    Verdict::Few if !passed(at.since_ms, proof.trial.time_ms().saturating_mul(2)) => {
                        return None;
                    }
                    Verdict::Few => None,
                };
                Some(undo.map_or_else(|| (Next::Through, false, through(s)), |undo| (Next::Undo, true, undo)))
            }
            Change::Back { steps: s, by, why } => settled.then(|| {
                let undone = Undone { version: s.version, made: s.made.clone(), by: *by, why: why.clone() };
                let (version, policy, made) = (s.old_version, s.old.clone(), s.old_made.clone());
                (
                    Next::Gone,
                    false,
                    Change::Stands { version, last: s.version, policy, made, undone: Some(undone) },
                )
            }),
        }
    }

    /// Back to what stood before, by the same steps. Classes that the new one has stay, closed.
    fn undo(&self, at: &At, s: &Steps, why: &str) -> Option<Change> {
        let new = at.new.then(&at.old).ok()?;
        let key = derived(&[s.made.key, u128::from(at.number), Next::Undo as u128]);
        let undoes =
            Undone { version: s.version, made: s.made.clone(), by: self.me, why: cut(why, MOST_WHY) };
        Some(Change::First(Steps {
            version: s.version.saturating_add(1),
            made: Made { key, front: self.me, name: "trial".into() },
            old_version: s.version,
            old_made: s.made.clone(),
            old: s.new.clone(),
            new: new.text().to_owned(),
            first_ms: s.first_ms,
            proof: None,
            undoes: Some(undoes),
        }))
    }
}

/// The change is through.
fn through(s: &Steps) -> Change {
    let (version, policy, made) = (s.version, s.new.clone(), s.made.clone());
    Change::Stands { version, last: version, policy, made, undone: s.undoes.clone() }
}
