//! Checks the outputs of fronts against a model of its own. It shares the command types with the code under
//! test, but no logic.

use pepperhook_agreement::{Command, Entry, Operation, Subject};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

#[derive(Default)]
pub struct Checker {
    /// The commands by number, from 1, as the first front applied them.
    log: Vec<Command>,
    model: BTreeMap<Subject, (u64, Vec<u8>)>,
    applied_keys: BTreeSet<u128>,
    config: u32,
    /// Digest of the registers after each entry.
    digests: Vec<u64>,
    /// Applied entries whose predecessors no front has applied yet.
    pending: BTreeMap<u64, Command>,
    /// The highest entry that any front has reported as stable.
    pub stable: u64,
    pub violations: Vec<String>,
}

fn digest<'a>(registers: impl Iterator<Item = (&'a Subject, u64, &'a [u8])>) -> u64 {
    let mut h = DefaultHasher::new();
    for (subject, number, body) in registers {
        (subject.space, subject.number, number, body).hash(&mut h);
    }
    h.finish()
}

impl Checker {
    pub fn new(config: u32) -> Self {
        let mut new = Self { config, ..Self::default() };
        new.digests.push(digest(std::iter::empty()));
        new
    }

    /// Records a violation, up to five.
    fn report(&mut self, violation: String) {
        if self.violations.len() < 5 {
            self.violations.push(violation);
        }
    }

    /// A front applied an entry.
    pub fn applied(&mut self, front: u64, entry: &Entry) {
        let at = (entry.number - 1) as usize;
        let known = self.log.get(at).or_else(|| self.pending.get(&entry.number));
        match known {
            Some(known) if *known != entry.command => {
                self.report(format!(
                    "entry {}: front {front} applied another command than an earlier front",
                    entry.number
                ));
            }
            Some(_) => {}
            None => drop(self.pending.insert(entry.number, entry.command.clone())),
        }
        while let Some(command) = self.pending.remove(&(self.log.len() as u64 + 1)) {
            self.log.push(command.clone());
            self.apply(&command);
            let digest = digest(self.model.iter().map(|(s, (n, b))| (s, *n, b.as_slice())));
            self.digests.push(digest);
        }
    }

    /// Applies a command to the model.
    fn apply(&mut self, command: &Command) {
        let number = self.log.len() as u64;
        if !self.applied_keys.insert(command.key.0) {
            return;
        }
        match &command.operation {
            Operation::Put { subject, expects, body } => {
                let current = self.model.get(subject).map_or(0, |(n, _)| *n);
                if current == *expects && body.is_empty() {
                    self.model.remove(subject);
                } else if current == *expects {
                    self.model.insert(*subject, (number, body.clone()));
                }
            }
            Operation::Voters { expects, .. } => self.config += u32::from(*expects == self.config),
        }
    }

    /// Checks a front's registers after an entry.
    pub fn check_registers<'a>(
        &mut self,
        front: u64,
        number: u64,
        registers: impl Iterator<Item = (&'a Subject, u64, &'a [u8])>,
    ) {
        let actual = digest(registers);
        if self.digests.get(number as usize).is_some_and(|expected| *expected != actual) {
            self.report(format!("registers of front {front} after entry {number} differ from the model's"));
        }
    }

    /// A front reported this entry as stable.
    pub fn on_stable(&mut self, number: u64) {
        self.stable = self.stable.max(number);
    }

    /// Checks a front that holds a lease now and has confirmed this entry.
    pub fn check_leaseholder(&mut self, front: u64, confirmed: u64, now_ms: u64) {
        if confirmed < self.stable {
            let stable = self.stable;
            self.report(format!(
                "at {now_ms} ms entry {stable} is stable, and front {front} holds a lease and has confirmed {confirmed}"
            ));
        }
    }

    pub fn len(&self) -> u64 {
        self.log.len() as u64
    }

    /// How often each key is in the log; a key that is not in the log is absent.
    pub fn keys(&self) -> HashMap<u128, usize> {
        let mut keys = HashMap::new();
        self.log.iter().for_each(|c| *keys.entry(c.key.0).or_insert(0) += 1);
        keys
    }
}
