//! A single governor: how it processes log entries, its limits, and register bytes that it cannot decode.

use pepperhook_agreement::{Command, Entry, Key, Operation, Outcome, Registers, Subject};
use pepperhook_policy::{
    Answer, Context, Effect, Governor, Origin, Policy, PolicyChecker, PolicyRequest, RegisterState, SUBJECT,
    Timing,
};
use pepperhook_settings::Config;

const OWN: &str = "name f\nlisten 127.0.0.1:0\nzones z\nzone z\nracks 3\ncells 9\ninventory n.csv\n";
const TEXT: &str = "uplink-kb 9000\nkb-per-weight 4000\nsection ladder\nrung 200 0.3\nsection class replay\naim 800ms\n\
patience 4s\nsection rules\ncold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n";
const MORE: &str = "section kind k\nstreams 3\nsection title t\nhome 0\ncopies 1\nclass replay\n";

struct AcceptsAll;

impl PolicyChecker for AcceptsAll {
    fn check_policy(&self, _: &Policy) -> Result<(), String> {
        Ok(())
    }
}

fn put(key: u128, expects: u64, body: Vec<u8>) -> Command {
    Command { key: Key(key), author: 9, operation: Operation::Put { subject: SUBJECT, expects, body } }
}

fn active_state(version: u64, text: &str) -> Vec<u8> {
    let policy = Policy::parse("policy", text).expect("a policy").text().to_owned();
    let origin = Origin { key: version.into(), front: 9, name: "ana".into() };
    RegisterState::Active { version, highest_version: version, policy, origin, undone: None }
        .encode()
        .expect("a body")
}

/// One front's governor and the agreed registers.
struct Bench {
    governor: Governor,
    state: Registers,
}

impl Bench {
    fn new() -> Self {
        let mut bench =
            Self { governor: Governor::new(1, Timing::default(), None), state: Registers::default() };
        bench.decide(put(1, 0, active_state(1, TEXT)));
        bench
    }

    fn decide(&mut self, command: Command) -> (Entry, Vec<Effect>) {
        let (entry, outcome) = self.state.apply(command);
        let mut out = vec![];
        self.governor.entry_applied(0, &entry, &outcome, &AcceptsAll, &mut out);
        (entry, out)
    }

    fn ask(&mut self, now: u64, key: u128, text: &str) -> Vec<Effect> {
        let ask = PolicyRequest {
            key,
            name: "ana".into(),
            base_version: 1,
            text: text.into(),
            dry_run: false,
            trial: None,
        };
        let mut out = vec![];
        self.governor.request_change(now, ask, &AcceptsAll, &mut out);
        out
    }
}

#[test]
fn what_others_write_is_vouched_for_and_changes_nothing() {
    let mut bench = Bench::new();
    let other = Operation::Put { subject: Subject { space: 2, number: 0 }, expects: 0, body: vec![1] };
    let (entry, out) = bench.decide(Command { key: Key(5), author: 2, operation: other });
    assert_eq!(out, [Effect::Confirm(entry.number)]);
    assert_eq!(bench.governor.active_policy().map(|f| (f.0, f.1)), Some((1, "stands")));
}

#[test]
fn a_command_that_comes_again_changes_nothing() {
    let mut bench = Bench::new();
    let second = put(2, 1, active_state(2, &TEXT.replace("800ms", "700ms")));
    bench.decide(second.clone());
    bench.decide(put(3, 2, active_state(3, TEXT)));
    let (entry, out) = bench.decide(second);
    assert_eq!(out, [Effect::Confirm(entry.number)]);
    assert_eq!(bench.governor.active_policy().map(|f| f.0), Some(3));
    // An entry that was processed before is ignored.
    let mut out = vec![];
    bench.governor.entry_applied(0, &entry, &Outcome::Applied, &AcceptsAll, &mut out);
    assert!(out.is_empty());
}

#[test]
fn a_body_that_cannot_be_read_stops_the_front_until_one_can() {
    let mut bench = Bench::new();
    let (_, out) = bench.decide(put(2, 1, vec![9, 9, 9]));
    assert!(matches!(&out[..], [Effect::CannotApply(_)]), "{out:?}");
    let answers = bench.ask(0, 7, &TEXT.replace("800ms", "700ms"));
    assert!(matches!(&answers[..], [Effect::Answer { answer: Answer::NotAgreed, .. }]), "{answers:?}");
    let mut out = vec![];
    bench.governor.tick(60_000, Context { register_known: true, is_leader: true }, &AcceptsAll, &mut out);
    assert!(out.is_empty(), "{out:?}");
    let (entry, out) = bench.decide(put(3, 2, active_state(2, &TEXT.replace("800ms", "700ms"))));
    assert!(
        matches!(&out[..], [Effect::Activate { version: 2, .. }, Effect::Confirm(n)] if *n == entry.number)
    );
}

#[test]
fn a_flood_of_changes_is_bounded_and_each_is_answered() {
    let mut bench = Bench::new();
    let text = TEXT.replace("800ms", "700ms");
    let (mut proposed, mut busy) = (0, 0);
    for key in 100..200 {
        match &bench.ask(0, key, &text)[..] {
            [Effect::Propose(_)] => proposed += 1,
            [Effect::Answer { answer: Answer::Busy, .. }] => busy += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((proposed, busy), (16, 84));
    let mut out = vec![];
    bench.governor.tick(10_000, Context { register_known: true, is_leader: false }, &AcceptsAll, &mut out);
    let unknown = out.iter().filter(|e| matches!(e, Effect::Answer { answer: Answer::Unknown, .. }));
    assert_eq!(unknown.count(), 16);
    assert!(matches!(&bench.ask(10_000, 300, &text)[..], [Effect::Propose(_)]), "there is room again");
}

#[test]
fn what_stands_is_driven_by_nobody_and_what_is_proposed_is_proposed_again_now_and_then() {
    let mut bench = Bench::new();
    let Some(Effect::Propose(first)) = bench.ask(0, 7, &TEXT.replace("800ms", "700ms")).pop() else {
        panic!()
    };
    bench.decide(first);
    let context = Context { register_known: true, is_leader: true };
    let mut proposals = vec![];
    let mut out = vec![];
    bench.governor.tick(100, context, &AcceptsAll, &mut out);
    assert!(out.is_empty(), "no entry is stable: {out:?}");
    for now in (200..7_000).step_by(200) {
        bench.governor.entry_stable(now, 2, &mut out);
        bench.governor.tick(now, context, &AcceptsAll, &mut out);
        proposals.extend(out.drain(..).map(|e| (now, e)));
    }
    let at: Vec<u64> = proposals.iter().map(|(now, _)| *now).collect();
    assert_eq!(at, [200, 3_200, 6_200]);
    let same =
        |e: &Effect| matches!((e, &proposals[0].1), (Effect::Propose(a), Effect::Propose(b)) if a == b);
    assert!(proposals.iter().all(|(_, e)| same(e)), "one command, whoever drives and however often");
}

#[test]
fn a_front_says_in_what_its_file_differs_and_what_it_cannot_go_by() {
    let bench = Bench::new();
    let file = |text: &str| Config::parse("front.conf", &format!("{OWN}{text}{MORE}")).expect("settings");
    let config = file(&TEXT.replace("aim 800ms", "aim 600ms"));
    let differences: Vec<String> =
        bench.governor.differences_from(&config).iter().map(ToString::to_string).collect();
    assert_eq!(differences, ["class replay: aim: 600ms -> 800ms"]);
    // The front's file has a title of a class that the policy lacks.
    let mut governor = Governor::new(2, Timing::default(), None);
    let mut state = Registers::default();
    state.apply(put(1, 0, active_state(1, &TEXT.replace("class replay", "class vod"))));
    let mut out = vec![];
    governor.load_snapshot(0, &state, &config, &mut out);
    let reason = "title t is of class replay, which the policy does not have";
    assert_eq!(out, [Effect::CannotApply(reason.into())]);
    assert_eq!(governor.inapplicable_reason(), Some(reason));
    // The front's file is corrected.
    let mut out = vec![];
    let mended =
        Config::parse("front.conf", &format!("{OWN}{TEXT}section kind k\nstreams 3\n")).expect("settings");
    governor.tick(5_000, Context { register_known: true, is_leader: false }, &mended, &mut out);
    assert!(matches!(&out[..], [Effect::Activate { version: 1, .. }, Effect::Confirm(1)]), "{out:?}");
}
