//! Judges what fronts said, by a model of its own: it shares the types of commands with what it judges, and no code.

use pepperhook_agreement::{Command, Entry, Operation, Subject};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

#[derive(Default)]
pub struct Checker {
    /// The commands, by number from 1, as first applied anywhere.
    log: Vec<Command>,
    model: BTreeMap<Subject, (u64, Vec<u8>)>,
    seen: BTreeSet<u128>,
    config: u32,
    /// What the registers are after each entry.
    after: Vec<u64>,
    ahead: BTreeMap<u64, Command>,
    /// The highest that was ever told to be settled.
    pub settled: u64,
    pub wrong: Vec<String>,
}

fn digest<'a>(of: impl Iterator<Item = (&'a Subject, u64, &'a [u8])>) -> u64 {
    let mut h = DefaultHasher::new();
    for (subject, number, body) in of {
        (subject.space, subject.number, number, body).hash(&mut h);
    }
    h.finish()
}

impl Checker {
    pub fn new(config: u32) -> Self {
        let mut new = Self { config, ..Self::default() };
        new.after.push(digest(std::iter::empty()));
        new
    }

    fn complain(&mut self, what: String) {
        if self.wrong.len() < 5 {
            self.wrong.push(what);
        }
    }

    /// A front applied an entry.
    pub fn applied(&mut self, front: u64, entry: &Entry) {
        let at = (entry.number - 1) as usize;
        let known = self.log.get(at).or_else(|| self.ahead.get(&entry.number));
        match known {
            Some(known) if *known != entry.command => {
                self.complain(format!("two entries at {}: front {front} has another", entry.number));
            }
            Some(_) => {}
            None => drop(self.ahead.insert(entry.number, entry.command.clone())),
        }
        while let Some(command) = self.ahead.remove(&(self.log.len() as u64 + 1)) {
            self.log.push(command.clone());
            self.play(&command);
            let now = digest(self.model.iter().map(|(s, (n, b))| (s, *n, b.as_slice())));
            self.after.push(now);
        }
    }

    fn play(&mut self, command: &Command) {
        let number = self.log.len() as u64;
        if !self.seen.insert(command.key.0) {
            return;
        }
        match &command.operation {
            Operation::Put { subject, expects, body } => {
                let stands = self.model.get(subject).map_or(0, |(n, _)| *n);
                if stands == *expects && body.is_empty() {
                    self.model.remove(subject);
                } else if stands == *expects {
                    self.model.insert(*subject, (number, body.clone()));
                }
            }
            Operation::Voters { expects, .. } => self.config += u32::from(*expects == self.config),
        }
    }

    /// A front's registers after an entry.
    pub fn stands<'a>(
        &mut self,
        front: u64,
        number: u64,
        registers: impl Iterator<Item = (&'a Subject, u64, &'a [u8])>,
    ) {
        let here = digest(registers);
        if self.after.get(number as usize).is_some_and(|model| *model != here) {
            self.complain(format!("registers of front {front} at {number} are others than the model's"));
        }
    }

    pub fn told_settled(&mut self, number: u64) {
        self.settled = self.settled.max(number);
    }

    /// A front holds now and goes by this.
    pub fn holds(&mut self, front: u64, vouches: u64, now: u64) {
        if vouches < self.settled {
            let settled = self.settled;
            self.complain(format!(
                "at {now} ms {settled} is settled, and front {front} holds and vouches for {vouches}"
            ));
        }
    }

    pub fn len(&self) -> u64 {
        self.log.len() as u64
    }

    /// How often each key came, and which never did.
    pub fn keys(&self) -> HashMap<u128, usize> {
        let mut keys = HashMap::new();
        self.log.iter().for_each(|c| *keys.entry(c.key.0).or_insert(0) += 1);
        keys
    }
}
