//! Whole changes as approved text: three fronts, step by step, in `tests/snapshots`.
//!
//! What stands in for the agreement here: proposals are decided in the order they come, each front hears of an entry a tenth
//! of a second later, a hold lasts 3 s and is renewed for as long as a front is up and vouches for all that was decided.

use pepperhook_agreement::{Command, Entry, Operation, Outcome, Registers};
use pepperhook_policy::{
    Around, Ask, Change, Counts, Effect, Fits, Governor, Pace, Policy, SUBJECT, Sums, Trial, Watch,
};
use std::fmt::Write;

const STEP_MS: u64 = 100;
const HOLD_MS: u64 = 3_000;

const TEXT: &str = "uplink-kb 9000
kb-per-weight 4000
section ladder
rung 200 0.3
rung 600 1
section class replay
aim 800ms
patience 4s
section tenant acme
quota 40
section tenant zeta
quota 10
section rules
cold-share 0.4
cold 12s
fall-multiple 2.5
fall-window 2s
";

/// More for one tenant, less for the other.
fn shifted() -> String {
    TEXT.replace("quota 40", "quota 30").replace("quota 10", "quota 20")
}

/// A front's own means: it may be too small for what a tenant is given.
struct Means(Option<&'static str>);

impl Fits for Means {
    fn fits(&self, policy: &Policy) -> Result<(), String> {
        match self.0 {
            Some(quota) if policy.text().contains(quota) => Err(format!("too small for a '{quota}'")),
            _ => Ok(()),
        }
    }
}

struct Front {
    governor: Governor,
    means: Means,
    up: bool,
    learned: usize,
    vouched: u64,
    holds_until: u64,
    held: bool,
}

struct World {
    said: String,
    now: u64,
    begun: u64,
    state: Registers,
    log: Vec<(Entry, Outcome)>,
    flight: Vec<Command>,
    settled: u64,
    /// The voters clear nothing: nothing settles.
    clears: bool,
    /// Requests so far, and of a hundred in a step how many are in time under the old policy and under another.
    served: Counts,
    in_time: (u64, u64),
    fronts: Vec<Front>,
}

impl World {
    /// Three fronts that may begin with their file, not yet begun.
    fn empty() -> Self {
        let seed = Policy::parse("front.conf", TEXT).expect("a policy");
        let front = |number| Front {
            governor: Governor::new(number, Pace::default(), Some(seed.clone())),
            means: Means(None),
            up: true,
            learned: 0,
            vouched: 0,
            holds_until: HOLD_MS,
            held: true,
        };
        Self {
            said: String::new(),
            now: 0,
            begun: 0,
            state: Registers::default(),
            log: vec![],
            flight: vec![],
            settled: 0,
            clears: true,
            served: Counts::default(),
            in_time: (99, 99),
            fronts: (1..=3).map(front).collect(),
        }
    }

    /// Three fronts at version 1, from the file, and nothing said of how they came there.
    fn new() -> Self {
        let mut w = Self::empty();
        w.pass(5_000);
        w.said.clear();
        // Their clocks go on; what is shown begins at 0.
        w.begun = w.now;
        w
    }

    fn say(&mut self, what: &str) {
        let _ = writeln!(self.said, "{:>5.1} s  {what}", (self.now - self.begun) as f64 / 1_000.0);
    }

    fn note(&mut self, what: &str) {
        let _ = writeln!(self.said, "-- {what}");
    }

    fn carry_out(&mut self, i: usize, effects: Vec<Effect>) {
        let me = i + 1;
        for effect in effects {
            match effect {
                Effect::Propose(command) => self.flight.push(command),
                Effect::InForce { version, step, policy } => {
                    let quotas: Vec<String> = policy
                        .fleet()
                        .tenants
                        .iter()
                        .map(|(n, t)| format!("{n} {}", t.quota_per_s))
                        .collect();
                    self.say(&format!(
                        "front {me} goes by version {version}, {step}: quotas {}",
                        quotas.join(", ")
                    ));
                }
                Effect::Vouch(number) => {
                    self.fronts[i].vouched = number;
                    self.say(&format!("front {me} vouches for entry {number}"));
                }
                Effect::Told { key, answer } => {
                    self.say(&format!("front {me} tells who asked with key {key}: {answer}"))
                }
                Effect::Stuck(why) => self.say(&format!("front {me} cannot go by what was decided: {why}")),
            }
        }
    }

    fn decide(&mut self) {
        for command in std::mem::take(&mut self.flight) {
            let Operation::Put { subject: SUBJECT, body, .. } = &command.operation else {
                panic!("another subject")
            };
            let change = Change::decode(body).expect("what a governor wrote");
            let (version, step, by) = (change.version(), change.step(), command.author);
            let mut what = format!("version {version}, {step}");
            match &change {
                Change::First(s) => what = format!("{what}, asked for by {}", s.made),
                Change::Back { why, .. } => what = format!("{what}, because: {why}"),
                Change::Stands { undone: Some(u), .. } => {
                    what = format!("{what} again, version {} undone", u.version)
                }
                _ => {}
            }
            let again = self.log.iter().any(|(e, _)| e.command.key == command.key);
            let (entry, outcome) = self.state.apply(command);
            let taken = match outcome {
                _ if again => " - the same again, it changes nothing",
                Outcome::Applied => "",
                _ => " - too late, it changes nothing",
            };
            self.say(&format!("entry {} is decided: {what} (from front {by}){taken}", entry.number));
            self.log.push((entry, outcome));
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for i in 0..self.fronts.len() {
            let f = &mut self.fronts[i];
            let mut out = vec![];
            while f.up && f.learned < self.log.len() {
                let (entry, outcome) = &self.log[f.learned];
                f.learned += 1;
                f.governor.applied(now, entry, outcome, &f.means, &mut out);
            }
            self.carry_out(i, out);
            let f = &mut self.fronts[i];
            if f.up && f.vouched >= self.log.len() as u64 {
                f.holds_until = now + HOLD_MS;
            }
            let holds = now < f.holds_until;
            let turned = f.held != holds;
            f.held = holds;
            if turned {
                let what = if holds { "holds again" } else { "has no hold any more: it is fenced" };
                self.say(&format!("front {} {what}", i + 1));
            }
        }
        let old = self.fronts[0].governor.in_force().is_none_or(|(_, _, p)| p.text().contains("quota 40"));
        self.served.of += 100;
        self.served.well += if old { self.in_time.0 } else { self.in_time.1 };
        let all = self.log.len() as u64;
        let least = self.fronts.iter().filter(|f| f.held).map(|f| f.vouched).min().unwrap_or(all);
        if self.clears && least > self.settled {
            self.settled = least;
            self.say(&format!("entry {least} is settled"));
        }
        for i in 0..self.fronts.len() {
            let (settled, f) = (self.settled, &mut self.fronts[i]);
            let mut out = vec![];
            if f.up {
                f.governor.served(now, Sums { in_time: self.served, ..Sums::default() });
                f.governor.settled(now, settled, &mut out);
                f.governor.tick(now, Around { agreed: true, leads: i == 0 }, &f.means, &mut out);
            }
            self.carry_out(i, out);
        }
        self.decide();
    }

    fn ask(&mut self, front: usize, name: &str, key: u128, against: u64, text: &str) {
        self.ask_for(
            front,
            Ask { key, name: name.into(), against, text: text.into(), dry_run: false, trial: None },
        );
    }

    fn ask_for(&mut self, front: usize, ask: Ask) {
        let (name, against, key) = (&ask.name, ask.against, ask.key);
        let what = match (ask.dry_run, &ask.trial) {
            (true, _) => format!("what would be if version {against} were changed"),
            (false, None) => format!("to change version {against}"),
            (false, Some(_)) => format!("to try a change of version {against}"),
        };
        let what = format!("{name} asks front {front} {what}, key {key}");
        self.say(&what);
        let f = &mut self.fronts[front - 1];
        let mut out = vec![];
        f.governor.ask(self.now, ask, &f.means, &mut out);
        self.carry_out(front - 1, out);
    }

    fn down(&mut self, front: usize) {
        self.say(&format!("front {front} stops"));
        self.fronts[front - 1].up = false;
        // What it had not sent is gone with it.
        self.flight.retain(|c| c.author != front as u64);
    }

    /// It begins anew, with the state of the others.
    fn up(&mut self, front: usize) {
        self.say(&format!("front {front} starts again and takes the state up to entry {}", self.log.len()));
        let f = &mut self.fronts[front - 1];
        f.governor = Governor::new(front as u64, Pace::default(), None);
        (f.up, f.vouched, f.learned) = (true, 0, self.log.len());
        let mut out = vec![];
        f.governor.replaced(self.now, &self.state, &f.means, &mut out);
        self.carry_out(front - 1, out);
    }

    fn rows(&mut self, front: usize) {
        let rows = self.fronts[front - 1].governor.rows(self.now);
        self.note(&format!("front {front} shows:"));
        for (name, what) in rows {
            let _ = writeln!(self.said, "     {name}: {what}");
        }
    }
}

#[test]
fn the_file_is_the_first_version() {
    let mut w = World::empty();
    w.note("Three fronts agree for the first time; no policy stands.");
    w.pass(1_000);
    w.rows(2);
    insta::assert_snapshot!(w.said);
}

#[test]
fn a_change_step_by_step() {
    let mut w = World::new();
    w.note("From 40 and 10 to 30 and 20 requests a second: in between nobody gives more than 30 and 10.");
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(1_000);
    w.rows(3);
    insta::assert_snapshot!(w.said);
}

#[test]
fn one_front_is_down() {
    let mut w = World::new();
    w.note("The change waits until the front that is down can no longer hold.");
    w.down(3);
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(1_000);
    w.rows(1);
    w.pass(4_000);
    w.up(3);
    w.pass(500);
    insta::assert_snapshot!(w.said);
}

#[test]
fn one_front_refuses() {
    let mut w = World::new();
    w.fronts[2].means = Means(Some("quota 20"));
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(2_000);
    w.note("The same change asked for at the front that refuses:");
    w.ask(3, "ana", 8, 1, &shifted());
    w.rows(1);
    insta::assert_snapshot!(w.said);
}

#[test]
fn two_race_and_one_is_lost() {
    let mut w = World::new();
    w.ask(1, "ana", 7, 1, &shifted());
    w.ask(3, "beni", 8, 1, &TEXT.replace("aim 800ms", "aim 600ms"));
    w.pass(200);
    w.note("A third comes while the change is under way, and one who looked at the version before it when it is through.");
    w.ask(2, "cita", 9, 1, &TEXT.replace("aim 800ms", "aim 700ms"));
    w.pass(1_000);
    w.ask(2, "cita", 10, 1, &TEXT.replace("aim 800ms", "aim 700ms"));
    insta::assert_snapshot!(w.said);
}

#[test]
fn a_call_that_is_made_again() {
    let mut w = World::new();
    w.note("Each call of key 7 is the same call.");
    w.ask(2, "ana", 7, 1, &shifted());
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(200);
    w.note("At another front, under way:");
    w.ask(3, "ana", 7, 1, &shifted());
    w.pass(1_000);
    w.note("When it is through, at the first front and at one that was never asked:");
    w.ask(2, "ana", 7, 1, &shifted());
    w.ask(1, "ana", 7, 1, &shifted());
    insta::assert_snapshot!(w.said);
}

#[test]
fn who_asked_dies_in_each_step() {
    let mut said = String::new();
    for (when, ms) in
        [("before anything was decided", 0), ("after the first step", 100), ("after the second step", 200)]
    {
        let mut w = World::new();
        w.note(&format!("Front 3 was asked and stops {when}."));
        w.ask(3, "ana", 7, 1, &shifted());
        w.pass(ms);
        w.down(3);
        w.pass(7_000);
        w.rows(2);
        said += &w.said;
    }
    insta::assert_snapshot!(said);
}

#[test]
fn who_refused_dies_before_the_old_one_stands_again() {
    let mut w = World::new();
    w.fronts[2].means = Means(Some("quota 20"));
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(500);
    w.down(3);
    w.pass(5_000);
    insta::assert_snapshot!(w.said);
}

#[test]
fn undone_by_time() {
    let mut w = World::new();
    w.note("The voters decide, but clear nothing: nobody knows whether all go by the first step.");
    w.clears = false;
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(31_000);
    w.rows(3);
    w.note("They clear again.");
    w.clears = true;
    w.pass(500);
    w.rows(3);
    insta::assert_snapshot!(w.said);
}

#[test]
fn a_dry_run() {
    let mut w = World::new();
    let text = shifted()
        .replace("section rules", "section class live\naim 1s\npatience 6s\nlive yes\nsection rules");
    w.ask_for(2, Ask { key: 7, name: "ana".into(), against: 1, text, dry_run: true, trial: None });
    w.pass(500);
    w.note("Nothing was proposed.");
    insta::assert_snapshot!(w.said);
}

#[test]
fn documents_that_are_refused() {
    let mut w = World::new();
    w.note("A time without its unit, a keyword that is none, and one that is a front's own:");
    w.ask(1, "ana", 7, 1, &TEXT.replace("aim 800ms", "aim 800").replace("fall-window", "fall-windw"));
    w.ask(1, "ana", 8, 1, &format!("racks 12\n{TEXT}"));
    w.note("A ladder of another length, no change at all:");
    w.ask(1, "ana", 9, 1, &TEXT.replace("rung 600 1\n", ""));
    w.ask(1, "ana", 10, 1, &format!("# the same\n{TEXT}"));
    w.pass(500);
    insta::assert_snapshot!(w.said);
}

#[test]
fn a_class_goes_and_another_comes() {
    let mut w = World::new();
    w.note("Class replay is left out, class live is new: in between there is neither.");
    let text = TEXT.replace("section class replay\naim 800ms", "section class live\nlive yes\naim 1s");
    w.ask_for(2, Ask { key: 7, name: "ana".into(), against: 1, text, dry_run: true, trial: None });
    insta::assert_snapshot!(w.said);
}

#[test]
fn without_a_majority_nothing_is_known() {
    let mut w = World::new();
    w.note("Front 2 is cut off from the voters: what it proposes is not decided.");
    w.ask(2, "ana", 7, 1, &shifted());
    w.flight.clear();
    w.pass(11_000);
    w.note("It is heard again, and asked again with the same key.");
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(1_000);
    insta::assert_snapshot!(w.said);
}

fn on_trial() -> Ask {
    let trial = Some(Trial { watch: Watch::InTime, time_s: 10, least: 10 });
    Ask { key: 7, name: "ana".into(), against: 1, text: shifted(), dry_run: false, trial }
}

#[test]
fn a_trial_that_goes_badly() {
    let mut w = World::new();
    w.ask_for(2, on_trial());
    w.note("The fronts know service only since 5 s ago. Ten seconds later:");
    w.pass(10_000);
    w.ask_for(2, on_trial());
    w.note("Under the new policy 95 of 100 are in time, not 99.");
    w.in_time.1 = 95;
    w.pass(6_000);
    w.rows(3);
    w.pass(6_000);
    insta::assert_snapshot!(w.said);
}

#[test]
fn a_trial_that_goes_well_and_one_that_is_ended_early() {
    let mut w = World::new();
    w.pass(10_000);
    w.ask_for(2, on_trial());
    w.pass(12_000);
    w.note("Another, ended by its operator. The same call ends none any more.");
    w.ask_for(2, Ask { key: 8, against: 2, text: TEXT.into(), ..on_trial() });
    w.pass(2_000);
    for _ in 0..2 {
        let mut out = vec![];
        w.fronts[2].governor.keep(9, 3, &mut out);
        w.carry_out(2, out);
        w.pass(1_000);
    }
    insta::assert_snapshot!(w.said);
}
