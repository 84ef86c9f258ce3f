//! Transcripts of whole changes on three fronts, compared with the approved texts in `tests/snapshots`.
//!
//! The agreement is simulated: proposals are decided in the order of their arrival, each front learns of an entry a tenth of
//! a second later, and a lease of 3 s is renewed while a front is up and has confirmed all decided entries.

use pepperhook_agreement::{Command, Entry, Operation, Outcome, Registers};
use pepperhook_policy::{
    Context, Effect, Governor, Policy, PolicyChecker, PolicyRequest, RegisterState, RequestCounts, SUBJECT,
    ServiceTotals, Timing, Trial, TrialMetric,
};
use std::fmt::Write;

const STEP_MS: u64 = 100;
const LEASE_MS: u64 = 3_000;

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

/// The policy with a higher quota for one tenant and a lower one for the other.
fn shifted() -> String {
    TEXT.replace("quota 40", "quota 30").replace("quota 10", "quota 20")
}

/// A front that cannot apply policies with this quota, if any.
struct RefusesQuota(Option<&'static str>);

impl PolicyChecker for RefusesQuota {
    fn check_policy(&self, policy: &Policy) -> Result<(), String> {
        match self.0 {
            Some(quota) if policy.text().contains(quota) => Err(format!("too small for a '{quota}'")),
            _ => Ok(()),
        }
    }
}

struct Front {
    governor: Governor,
    checker: RefusesQuota,
    up: bool,
    applied: usize,
    confirmed: u64,
    lease_until: u64,
    had_lease: bool,
}

struct World {
    transcript: String,
    now: u64,
    started: u64,
    state: Registers,
    log: Vec<(Entry, Outcome)>,
    proposed: Vec<Command>,
    stable: u64,
    /// Whether entries become stable; false without a majority of the voters.
    has_majority: bool,
    /// Requests so far, and how many of the hundred in each step are in time under the old policy and under another one.
    served: RequestCounts,
    in_time: (u64, u64),
    fronts: Vec<Front>,
}

impl World {
    /// Three fronts before their first step; each may propose the policy in its file.
    fn empty() -> Self {
        let seed = Policy::parse("front.conf", TEXT).expect("a policy");
        let front = |number| Front {
            governor: Governor::new(number, Timing::default(), Some(seed.clone())),
            checker: RefusesQuota(None),
            up: true,
            applied: 0,
            confirmed: 0,
            lease_until: LEASE_MS,
            had_lease: true,
        };
        Self {
            transcript: String::new(),
            now: 0,
            started: 0,
            state: Registers::default(),
            log: vec![],
            proposed: vec![],
            stable: 0,
            has_majority: true,
            served: RequestCounts::default(),
            in_time: (99, 99),
            fronts: (1..=3).map(front).collect(),
        }
    }

    /// Three fronts with version 1, from their file. The transcript starts after that.
    fn new() -> Self {
        let mut w = Self::empty();
        w.pass(5_000);
        w.transcript.clear();
        // The transcript's times start at 0, the fronts' clocks do not.
        w.started = w.now;
        w
    }

    fn log_line(&mut self, what: &str) {
        let _ = writeln!(self.transcript, "{:>5.1} s  {what}", (self.now - self.started) as f64 / 1_000.0);
    }

    fn note(&mut self, what: &str) {
        let _ = writeln!(self.transcript, "-- {what}");
    }

    fn execute(&mut self, i: usize, effects: Vec<Effect>) {
        let me = i + 1;
        for effect in effects {
            match effect {
                Effect::Propose(command) => self.proposed.push(command),
                Effect::Activate { version, step, policy } => {
                    let quotas: Vec<String> = policy
                        .fleet()
                        .tenants
                        .iter()
                        .map(|(n, t)| format!("{n} {}", t.quota_per_s))
                        .collect();
                    self.log_line(&format!(
                        "front {me} applies version {version}, {step}: quotas {}",
                        quotas.join(", ")
                    ));
                }
                Effect::Confirm(number) => {
                    self.fronts[i].confirmed = number;
                    self.log_line(&format!("front {me} confirms entry {number}"));
                }
                Effect::Answer { key, answer } => {
                    self.log_line(&format!("front {me} answers key {key}: {answer}"))
                }
                Effect::CannotApply(reason) => {
                    self.log_line(&format!("front {me} cannot apply the agreed policy: {reason}"))
                }
            }
        }
    }

    fn decide(&mut self) {
        for command in std::mem::take(&mut self.proposed) {
            let Operation::Put { subject: SUBJECT, body, .. } = &command.operation else {
                panic!("another subject")
            };
            let change = RegisterState::decode(body).expect("what a governor wrote");
            let (version, step, by) = (change.version(), change.step(), command.author);
            let mut what = format!("version {version}, {step}");
            match &change {
                RegisterState::FirstStep(s) => what = format!("{what}, asked for by {}", s.origin),
                RegisterState::Rollback { reason, .. } => what = format!("{what}, because: {reason}"),
                RegisterState::Active { undone: Some(u), .. } => {
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
            self.log_line(&format!("entry {} is decided: {what} (from front {by}){taken}", entry.number));
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
            while f.up && f.applied < self.log.len() {
                let (entry, outcome) = &self.log[f.applied];
                f.applied += 1;
                f.governor.entry_applied(now, entry, outcome, &f.checker, &mut out);
            }
            self.execute(i, out);
            let f = &mut self.fronts[i];
            if f.up && f.confirmed >= self.log.len() as u64 {
                f.lease_until = now + LEASE_MS;
            }
            let holds = now < f.lease_until;
            let turned = f.had_lease != holds;
            f.had_lease = holds;
            if turned {
                let what = if holds { "has its lease again" } else { "has lost its lease: it is fenced" };
                self.log_line(&format!("front {} {what}", i + 1));
            }
        }
        let old =
            self.fronts[0].governor.active_policy().is_none_or(|(_, _, p)| p.text().contains("quota 40"));
        self.served.total += 100;
        self.served.good += if old { self.in_time.0 } else { self.in_time.1 };
        let all = self.log.len() as u64;
        let least = self.fronts.iter().filter(|f| f.had_lease).map(|f| f.confirmed).min().unwrap_or(all);
        if self.has_majority && least > self.stable {
            self.stable = least;
            self.log_line(&format!("entry {least} is stable"));
        }
        for i in 0..self.fronts.len() {
            let (settled, f) = (self.stable, &mut self.fronts[i]);
            let mut out = vec![];
            if f.up {
                f.governor
                    .record_service(now, ServiceTotals { in_time: self.served, ..ServiceTotals::default() });
                f.governor.entry_stable(now, settled, &mut out);
                f.governor.tick(
                    now,
                    Context { register_known: true, is_leader: i == 0 },
                    &f.checker,
                    &mut out,
                );
            }
            self.execute(i, out);
        }
        self.decide();
    }

    fn ask(&mut self, front: usize, name: &str, key: u128, base_version: u64, text: &str) {
        self.ask_for(
            front,
            PolicyRequest {
                key,
                name: name.into(),
                base_version,
                text: text.into(),
                dry_run: false,
                trial: None,
            },
        );
    }

    fn ask_for(&mut self, front: usize, ask: PolicyRequest) {
        let (name, base_version, key) = (&ask.name, ask.base_version, ask.key);
        let what = match (ask.dry_run, &ask.trial) {
            (true, _) => format!("what would be if version {base_version} were changed"),
            (false, None) => format!("to change version {base_version}"),
            (false, Some(_)) => format!("to try a change of version {base_version}"),
        };
        let what = format!("{name} asks front {front} {what}, key {key}");
        self.log_line(&what);
        let f = &mut self.fronts[front - 1];
        let mut out = vec![];
        f.governor.request_change(self.now, ask, &f.checker, &mut out);
        self.execute(front - 1, out);
    }

    fn down(&mut self, front: usize) {
        self.log_line(&format!("front {front} stops"));
        self.fronts[front - 1].up = false;
        // Its undecided proposals are lost.
        self.proposed.retain(|c| c.author != front as u64);
    }

    /// A front restarts with the other fronts' state.
    fn up(&mut self, front: usize) {
        self.log_line(&format!(
            "front {front} starts again and takes the state up to entry {}",
            self.log.len()
        ));
        let f = &mut self.fronts[front - 1];
        f.governor = Governor::new(front as u64, Timing::default(), None);
        (f.up, f.confirmed, f.applied) = (true, 0, self.log.len());
        let mut out = vec![];
        f.governor.load_snapshot(self.now, &self.state, &f.checker, &mut out);
        self.execute(front - 1, out);
    }

    fn rows(&mut self, front: usize) {
        let rows = self.fronts[front - 1].governor.rows(self.now);
        self.note(&format!("front {front} shows:"));
        for (name, what) in rows {
            let _ = writeln!(self.transcript, "     {name}: {what}");
        }
    }
}

#[test]
fn the_file_is_the_first_version() {
    let mut w = World::empty();
    w.note("Three fronts agree for the first time; no policy stands.");
    w.pass(1_000);
    w.rows(2);
    insta::assert_snapshot!(w.transcript);
}

#[test]
fn a_change_step_by_step() {
    let mut w = World::new();
    w.note("From 40 and 10 to 30 and 20 requests a second: in between nobody gives more than 30 and 10.");
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(1_000);
    w.rows(3);
    insta::assert_snapshot!(w.transcript);
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
    insta::assert_snapshot!(w.transcript);
}

#[test]
fn one_front_refuses() {
    let mut w = World::new();
    w.fronts[2].checker = RefusesQuota(Some("quota 20"));
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(2_000);
    w.note("The same change asked for at the front that refuses:");
    w.ask(3, "ana", 8, 1, &shifted());
    w.rows(1);
    insta::assert_snapshot!(w.transcript);
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
    insta::assert_snapshot!(w.transcript);
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
    insta::assert_snapshot!(w.transcript);
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
        said += &w.transcript;
    }
    insta::assert_snapshot!(said);
}

#[test]
fn who_refused_dies_before_the_old_one_stands_again() {
    let mut w = World::new();
    w.fronts[2].checker = RefusesQuota(Some("quota 20"));
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(500);
    w.down(3);
    w.pass(5_000);
    insta::assert_snapshot!(w.transcript);
}

#[test]
fn undone_by_time() {
    let mut w = World::new();
    w.note("The voters decide, but clear nothing: nobody knows whether all go by the first step.");
    w.has_majority = false;
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(31_000);
    w.rows(3);
    w.note("They clear again.");
    w.has_majority = true;
    w.pass(500);
    w.rows(3);
    insta::assert_snapshot!(w.transcript);
}

#[test]
fn a_dry_run() {
    let mut w = World::new();
    let text = shifted()
        .replace("section rules", "section class live\naim 1s\npatience 6s\nlive yes\nsection rules");
    w.ask_for(
        2,
        PolicyRequest { key: 7, name: "ana".into(), base_version: 1, text, dry_run: true, trial: None },
    );
    w.pass(500);
    w.note("Nothing was proposed.");
    insta::assert_snapshot!(w.transcript);
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
    insta::assert_snapshot!(w.transcript);
}

#[test]
fn a_class_goes_and_another_comes() {
    let mut w = World::new();
    w.note("Class replay is left out, class live is new: in between there is neither.");
    let text = TEXT.replace("section class replay\naim 800ms", "section class live\nlive yes\naim 1s");
    w.ask_for(
        2,
        PolicyRequest { key: 7, name: "ana".into(), base_version: 1, text, dry_run: true, trial: None },
    );
    insta::assert_snapshot!(w.transcript);
}

#[test]
fn without_a_majority_nothing_is_known() {
    let mut w = World::new();
    w.note("Front 2 is cut off from the voters: what it proposes is not decided.");
    w.ask(2, "ana", 7, 1, &shifted());
    w.proposed.clear();
    w.pass(11_000);
    w.note("It is heard again, and asked again with the same key.");
    w.ask(2, "ana", 7, 1, &shifted());
    w.pass(1_000);
    insta::assert_snapshot!(w.transcript);
}

fn on_trial() -> PolicyRequest {
    let trial = Some(Trial { metric: TrialMetric::InTime, duration_s: 10, min_loss_permille: 10 });
    PolicyRequest { key: 7, name: "ana".into(), base_version: 1, text: shifted(), dry_run: false, trial }
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
    insta::assert_snapshot!(w.transcript);
}

#[test]
fn a_trial_that_goes_well_and_one_that_is_ended_early() {
    let mut w = World::new();
    w.pass(10_000);
    w.ask_for(2, on_trial());
    w.pass(12_000);
    w.note("Another, ended by its operator. The same call ends none any more.");
    w.ask_for(2, PolicyRequest { key: 8, base_version: 2, text: TEXT.into(), ..on_trial() });
    w.pass(2_000);
    for _ in 0..2 {
        let mut out = vec![];
        w.fronts[2].governor.end_trial(9, 3, &mut out);
        w.execute(2, out);
        w.pass(1_000);
    }
    insta::assert_snapshot!(w.transcript);
}
