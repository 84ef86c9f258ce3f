//! Policy documents: the canonical text parses to the same policy, the intersection of two policies is within both, and
//! sizes are limited.

use pepperhook::{Class, DedupScope, Idempotency, Prices, RetryBudget, Rules, Rung, Tenant};
use pepperhook_policy::{
    MAX_POLICY_BYTES, MAX_REASON_BYTES, MAX_REQUEST_BYTES, Origin, Policy, PolicyChange, PolicyError, RULES,
    RegisterState, RequestCounts, Rule, Trial, TrialBaseline, TrialMetric, UndoneChange,
};
use pepperhook_policy::{can_coexist, intersect, is_within};
use pepperhook_settings::{ClassSettings, Config, FleetClass, FleetSettings, ReservationSettings};
use proptest::collection::vec;
use proptest::prelude::*;

const TEXT: &str = "uplink-kb 9000\nkb-per-weight 4000\nsection ladder\nrung 200 0.3\nrung 600 1\nrung 1200 1.5\n\
section class replay\naim 800ms\npatience 4s\nrepeat within zone 5s\nsection class \"live # 1\"\naim 1s\npatience 6s\n\
live yes\nfloor 1\nsection tenant acme\nquota 40\nsection rules\ncold-share 0.4\ncold 12s\nfall-multiple 2.5\n\
fall-window 2s\nbudget 3 0.2 10s\nsection prices\nmoved 0.1\n";

fn policy(text: &str) -> Policy {
    Policy::parse("policy", text).unwrap_or_else(|e| panic!("{e}"))
}

fn time() -> impl Strategy<Value = u64> {
    // Both round and odd values; the settings' parser reads times as floating-point numbers, exact to 53 bits.
    prop_oneof![
        0u64..1 << 53,
        (0u64..100_000).prop_map(|t| t * 1_000_000),
        (0u64..100).prop_map(|t| t * 60_000_000_000)
    ]
}

fn number() -> impl Strategy<Value = f64> {
    prop_oneof![0.0f64..1e9, (0u32..20).prop_map(f64::from), 0.0f64..1.0]
}

fn above_0() -> impl Strategy<Value = f64> {
    prop_oneof![1e-9f64..1e9, (1u32..5).prop_map(f64::from)]
}

fn repeat() -> impl Strategy<Value = Idempotency> {
    let group = prop_oneof![Just(DedupScope::All), Just(DedupScope::Zone), Just(DedupScope::Cell)];
    prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::AtMostOnce),
        (group, time()).prop_map(|(group, span)| Idempotency::Deduplicated(group, span)),
    ]
}

const RUNGS: u8 = 4;

fn class(name: String) -> impl Strategy<Value = FleetClass> {
    let rungs = (0..RUNGS, 0..RUNGS).prop_map(|(a, b)| (a.min(b), a.max(b)));
    let figures = (time(), time(), repeat(), above_0(), above_0(), rungs, 0u32..4, any::<bool>());
    figures.prop_map(move |(aim, patience, repeat, value, scale, (floor, top), seats, closed)| FleetClass {
        front: ClassSettings { name: name.clone(), patience, ingest: name == "c0", closed },
        class: Class {
            set_up_target: aim,
            idempotency: repeat,
            value,
            rate_scale: scale,
            lowest_rung: floor,
            highest_rung: top,
            max_sessions_per_title: seats,
            live: name == "c1",
        },
    })
}

fn rules() -> impl Strategy<Value = Rules> {
    let window = prop_oneof![Just(10_000_000_000), time()];
    let budget = (number(), number(), window).prop_map(|(free, share, window)| RetryBudget {
        min_retries: free,
        retry_ratio: share,
        window,
    });
    (0.0f64..=1.0, time(), above_0(), time(), proptest::option::of(budget)).prop_map(
        |(cold_share, cold, fall_multiple, fall_window, budget)| Rules {
            cold_share,
            warm_up: cold,
            overload_multiple: fall_multiple,
            overload_window: fall_window,
            retry_budget: budget,
        },
    )
}

prop_compose! {
    fn fleet()(
        classes in proptest::sample::subsequence(vec!["c0", "c 1#", "c1", "\"c3\\", "c\u{e9}"], 1..=5),
        tenants in proptest::sample::subsequence(vec!["a", "b", "c"], 0..=3),
        drawn in vec(class(String::new()), 5),
        quotas in vec(number(), 3),
        steps in vec(above_0(), RUNGS as usize),
        worths in vec(-5.0f64..5.0, RUNGS as usize),
        rules in rules(),
        links in (above_0(), number(), above_0(), 0.0f64..=1.0, number()),
        times in (time(), time(), time()),
        prices in (number(), number(), number(), number(), number()),
        (advice, max_attempts, share, most) in (any::<bool>(), any::<u32>(), 0.0f64..=1.0, any::<u16>()),
    ) -> FleetSettings {
        let named = |(class, name): (FleetClass, &str)| FleetClass {
            front: ClassSettings { name: name.into(), ingest: name == "c0", ..class.front },
            class: Class { live: name == "c1", ..class.class },
        };
        let mut kb = 0.0;
        let rung = |(step, worth): (f64, f64)| { kb += step; Rung { kb, worth } };
        FleetSettings {
            classes: drawn.into_iter().zip(classes).map(named).collect(),
            tenants: tenants.iter().map(|t| (*t).to_owned())
                .zip(quotas.into_iter().map(|quota_per_s| Tenant { quota_per_s })).collect(),
            over_share_worth: prices.3,
            ladder: steps.into_iter().zip(worths).map(rung).collect(),
            rules,
            prices: Prices { session_move: prices.0, cross_zone: prices.1, probe: prices.2, handshake: 0.0 },
            uplink_kb: links.0,
            kb_per_weight: links.1,
            all_links_kb: links.2,
            shared_stream_share: links.3,
            link_refusal_threshold: links.4,
            notification_delay: times.0,
            switch_cost_s: prices.4,
            send_retry_after: advice,
            max_retry_after: times.1,
            max_attempts,
            reservations: ReservationSettings { max_share: share, no_show_after: times.2, max_peaks: most.into() },
        }
    }
}

fn drawn() -> impl Strategy<Value = Policy> {
    let valid = |f: FleetSettings| f.ladder.windows(2).all(|w| w[0].kb < w[1].kb).then(|| policy(&f.text()));
    fleet().prop_filter_map("rungs ascend", valid)
}

/// A policy and a copy in which about a quarter of the settings are another policy's. Of two independent policies, one is
/// rarely within the other.
fn pair() -> impl Strategy<Value = (Policy, Policy)> {
    (drawn(), drawn(), any::<bool>(), any::<u32>()).prop_map(|(a, b, apart, bits)| {
        if apart {
            return (a, b);
        }
        let (mut f, other) = (a.fleet().clone(), b.fleet());
        if bits & 1 > 0 {
            f.rules = other.rules;
        }
        if bits & 2 > 0 {
            f.tenants.clone_from(&other.tenants);
        }
        if bits & 4 > 0 {
            (f.uplink_kb, f.shared_stream_share) = (other.uplink_kb, other.shared_stream_share);
        }
        if bits & 8 > 0 {
            f.reservations = other.reservations;
        }
        let b = policy(&f.text());
        (a, b)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_written_reads_the_same(f in fleet()) {
        prop_assume!(f.ladder.windows(2).all(|w| w[0].kb < w[1].kb));
        let text = f.text();
        let read = policy(&text);
        prop_assert_eq!(read.text(), &text);
        prop_assert_eq!(Policy::from_canonical(&text), Ok(read));
    }

    #[test]
    fn the_tighter_of_two_is_within_both_and_valid((a, b) in pair()) {
        let both = intersect(&a, &b).expect("they differ in nothing that is fixed");
        prop_assert!(is_within(&both, &a) && is_within(&both, &b), "{both:?}");
        prop_assert!(can_coexist(&both, &a) && can_coexist(&b, &both));
        prop_assert_eq!(Policy::from_canonical(both.text()), Ok(both.clone()));
        // Intersecting again changes nothing.
        prop_assert_eq!(intersect(&a, &a), Ok(a.clone()));
        prop_assert!(is_within(&intersect(&both, &b).expect("both"), &both));
        prop_assert_eq!(intersect(&both, &a).map(|p| p.text().to_owned()), Ok(both.text().to_owned()));
    }

    #[test]
    fn the_tighter_of_two_is_the_same_both_ways_where_figures_have_an_order((a, b) in pair()) {
        let (one, other) = (intersect(&a, &b).expect("one"), intersect(&b, &a).expect("other"));
        // Both results allow the same: a class that one of them lacks is closed in the other.
        prop_assert!(is_within(&one, &other) && is_within(&other, &one));
        let ordered = |field: &str| {
            let rule = |(_, keyword, rule): &&(&str, &str, Rule)| {
                (field == *keyword || field.ends_with(&format!(": {keyword}"))) && *rule != Rule::KeepOld
            };
            RULES.iter().any(|r| rule(&r))
        };
        for d in one.differences(&other) {
            if ordered(&d.field) {
                prop_assert!(d.left.is_none() || d.right.is_none(), "{d}");
            }
        }
    }

    #[test]
    fn the_next_policy_keeps_every_place((a, b) in pair()) {
        let new = a.successor(&b).expect("nothing fixed differs");
        let names = |p: &Policy| p.fleet().classes.iter().map(|c| c.front.name.clone()).collect::<Vec<_>>();
        prop_assert!(names(&new).starts_with(&names(&a)));
        let both = intersect(&a, &new).expect("both");
        // The first step has no class and no tenant that the old policy lacks.
        prop_assert_eq!(names(&both), names(&a));
        prop_assert!(can_coexist(&a, &both) && can_coexist(&both, &new));
        prop_assert_eq!(a.successor(&new), Ok(new));
    }

    #[test]
    fn whatever_bytes_come_cost_little_and_break_nothing(bytes in vec(any::<u8>(), 0..2_000)) {
        let _ = RegisterState::decode(&bytes);
        let _ = Policy::from_canonical(&String::from_utf8_lossy(&bytes));
        let _ = Policy::parse("policy", &String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn a_broken_body_is_unread_or_another_change(at in 0usize..3_000, bit in 0u8..8) {
        let (a, origin) = (policy(TEXT), Origin { key: 7, front: 3, name: "ana".into() });
        let change = RegisterState::Active { version: 3, highest_version: 4, policy: a.text().into(), origin, undone: None };
        let mut bytes = change.encode().expect("a body");
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert_ne!(RegisterState::decode(&bytes), Ok(change));
    }
}

#[test]
fn what_may_not_change_is_named() {
    let old = policy(TEXT);
    let asked =
        |from: &str, to: &str| old.successor(&policy(&TEXT.replace(from, to))).expect_err("fixed").field;
    assert_eq!(asked("rung 1200 1.5\n", ""), "ladder");
    assert_eq!(asked("live yes\n", ""), "class live # 1: live");
    assert_eq!(asked("aim 800ms", "aim 800ms\ningest yes"), "class replay: ingest");
    let e = Policy::parse("policy", &format!("racks 4\n{TEXT}"))
        .expect_err("racks are no part of it")
        .to_string();
    assert!(e.contains("'racks' is no part of a policy") && e.contains("policy:1:1"), "{e}");
}

#[test]
fn who_is_left_out_keeps_a_place_and_who_is_new_comes_last() {
    let old = policy(TEXT);
    let cut = TEXT.find("section class replay").expect("replay");
    let end = TEXT.find("section class \"live").expect("live");
    let without = format!("{}section class vod\naim 1s\npatience 2s\n{}", &TEXT[..cut], &TEXT[end..]);
    let new = old.successor(&policy(&without.replace("tenant acme", "tenant other"))).expect("a policy");
    let classes = |p: &Policy| -> Vec<(String, bool)> {
        p.fleet().classes.iter().map(|c| (c.front.name.clone(), c.front.closed)).collect()
    };
    let named = |name: &str, closed: bool| (name.to_owned(), closed);
    assert_eq!(classes(&new), [named("replay", true), named("live # 1", false), named("vod", false)]);
    let both = intersect(&old, &new).expect("both");
    assert_eq!(classes(&both), [named("replay", true), named("live # 1", false)]);
    let quotas =
        |p: &Policy| p.fleet().tenants.iter().map(|(n, t)| (n.clone(), t.quota_per_s)).collect::<Vec<_>>();
    assert_eq!(quotas(&new), [("acme".into(), 0.0), ("other".into(), 40.0)]);
    assert_eq!(quotas(&both), [("acme".into(), 0.0)]);
}

#[test]
fn a_class_that_no_rung_suits_takes_nothing_new_in_between() {
    let low = policy(&TEXT.replace("live yes\nfloor 1", "live yes\nfloor 0\ntop 0"));
    let high = policy(&TEXT.replace("live yes\nfloor 1", "live yes\nfloor 2"));
    assert!(!can_coexist(&low, &high));
    let both = intersect(&low, &high).expect("both");
    let class = &both.fleet().classes[1];
    assert!(class.front.closed && class.class.lowest_rung == 2 && class.class.highest_rung == 2);
}

#[test]
fn the_ration_in_between_is_no_more_than_either() {
    let budget = |text: &str| policy(&TEXT.replace("budget 3 0.2 10s", text));
    let both = |a: &str, b: &str| {
        let p = intersect(&budget(a), &budget(b)).expect("both");
        p.fleet().rules.retry_budget.map(|b| (b.min_retries, b.retry_ratio, b.window / 1_000_000_000))
    };
    assert_eq!(both("budget 3 0.2 10s", "budget 5 0.1 10s"), Some((3.0, 0.1, 10)));
    assert_eq!(both("budget 3 0.2 10s", "budget 5 0.1 20s"), Some((3.0, 0.0, 20)));
    assert_eq!(both("budget 3 0.2 10s", ""), Some((3.0, 0.2, 10)));
}

/// Counts the retries in each window: a retry budget that is within another grants no more in any window of that one.
#[test]
fn a_ration_within_another_grants_no_more() {
    let text =
        |free: u32, share: f64, window: u32| TEXT.replace("3 0.2 10s", &format!("{free} {share} {window}s"));
    // With one retry wanted each second, and sessions accepted by the pattern: the number granted in each second.
    let grants = |free: u32, share: f64, window: usize, sessions: &[u32]| {
        let mut granted = vec![0u32; sessions.len()];
        for at in 0..sessions.len() {
            let from = (at + 1).saturating_sub(window);
            let taken: u32 = sessions[from..=at].iter().sum();
            let used: u32 = granted[from..at].iter().sum();
            granted[at] = u32::from(f64::from(used + 1) <= f64::from(free) + share * f64::from(taken));
        }
        granted
    };
    let sessions: Vec<u32> = (0..60u32).map(|s| if (s / 7) % 2 == 0 { 9 } else { 0 }).collect();
    for (a, b) in [((3, 0.2, 10), (5, 0.1, 20)), ((1, 0.5, 5), (4, 0.1, 5)), ((8, 0.0, 30), (2, 0.3, 4))] {
        let both = intersect(&policy(&text(a.0, a.1, a.2)), &policy(&text(b.0, b.1, b.2))).expect("both");
        let r = both.fleet().rules.retry_budget.expect("a ration");
        let window = (r.window / 1_000_000_000) as usize;
        let granted = grants(r.min_retries as u32, r.retry_ratio, window, &sessions);
        for (free, share, window) in [a, b] {
            let window = window as usize;
            for at in 0..sessions.len() {
                let from = (at + 1).saturating_sub(window);
                let (used, taken): (u32, u32) =
                    (granted[from..=at].iter().sum(), sessions[from..=at].iter().sum());
                assert!(f64::from(used) <= f64::from(free) + share * f64::from(taken), "{a:?} {b:?} at {at}");
            }
        }
    }
}

#[test]
fn every_figure_has_its_rule_here_and_in_the_docs() {
    let docs = include_str!("../../../docs/policy.md");
    for (field, _) in policy(TEXT).fleet().figures() {
        let (section, keyword) = match field.split_once(": ") {
            Some((section, keyword)) => (section.split(' ').next().unwrap_or(""), keyword),
            None => ("", field.as_str()),
        };
        let keyword = keyword.split(' ').next().unwrap_or(keyword);
        let rules: Vec<_> = RULES.iter().filter(|(s, k, _)| *s == section && *k == keyword).collect();
        assert_eq!(rules.len(), 1, "{field}");
        let row = format!("| {} | `{keyword}` |", if section.is_empty() { "-" } else { section });
        assert!(docs.contains(&row), "docs/policy.md has no row {row}");
    }
}

#[test]
fn documents_and_bodies_are_bounded() {
    let long = "#".repeat(MAX_REQUEST_BYTES + 1);
    assert!(matches!(Policy::parse("p", &long), Err(PolicyError::TooLong { .. })));
    let tenants: String = (0..800).map(|i| format!("section tenant t{i}\nquota 1\n")).collect();
    let long = format!("{TEXT}{tenants}").replace("section rules", "section rules");
    assert!(matches!(Policy::parse("p", &long), Err(PolicyError::TooLong { .. })));
    // The longest policies allowed fit into one body, together with the longest names and reason.
    let most = |c: &str| c.repeat(MAX_POLICY_BYTES);
    let origin =
        Origin { key: u128::MAX, front: u64::MAX, name: "n".repeat(pepperhook_policy::MAX_OPERATOR_BYTES) };
    let reason = "w".repeat(MAX_REASON_BYTES);
    let trial = Trial {
        metric: TrialMetric::Class("c".repeat(MAX_REASON_BYTES)),
        duration_s: u32::MAX,
        min_loss_permille: u16::MAX,
    };
    let undone =
        UndoneChange { version: u64::MAX, origin: origin.clone(), by: u64::MAX, reason: reason.clone() };
    let steps = PolicyChange {
        version: u64::MAX,
        origin: origin.clone(),
        old_version: u64::MAX,
        old_origin: origin.clone(),
        old: most("a"),
        new: most("b"),
        first_step_timeout_ms: u32::MAX,
        baseline: Some(TrialBaseline { trial, before: RequestCounts { total: u64::MAX, good: u64::MAX } }),
        undoes: Some(undone),
    };
    let back = RegisterState::Rollback { steps, by: u64::MAX, reason: reason.clone() };
    let body = back.encode().expect("it fits");
    assert_eq!(RegisterState::decode(&body), Ok(back));
    let undone = Some(UndoneChange { version: u64::MAX, origin: origin.clone(), by: u64::MAX, reason });
    let active = RegisterState::Active {
        version: u64::MAX,
        highest_version: u64::MAX,
        policy: most("a"),
        origin,
        undone,
    };
    assert!(active.encode().is_some());
    // Only the first of many faults are listed.
    let bad: String = (0..3_000).map(|i| format!("x{i}\n")).collect();
    let e = Policy::parse("p", &bad[..MAX_REQUEST_BYTES.min(bad.len())]).expect_err("faults").to_string();
    assert!(e.contains("more") && e.len() < 8_000, "{} bytes", e.len());
}

#[test]
fn a_policy_from_a_file_goes_over_another_front() {
    let own = "name f\nlisten 127.0.0.1:0\nzones z\nzone z\nracks 3\ncells 9\ninventory n.csv\nsection kind k\nstreams 3\n";
    let text = format!("{}{TEXT}", own.replace("section kind k\nstreams 3\n", ""))
        + "section kind k\nstreams 3\nsection title t\nhome 0\ncopies 1\nclass replay\n";
    let config = Config::parse("f", &text).expect("settings");
    let seed = Policy::from_config(&config).expect("a policy");
    assert_eq!(seed, policy(TEXT));
    let wider = policy(&TEXT.replace("quota 40", "quota 80"));
    assert_eq!(wider.apply_to(&config).expect("it fits").decisions.tenants[0].quota_per_s, 80.0);
    let other = policy(&TEXT.replace("class replay", "class vod"));
    assert!(other.apply_to(&config).expect_err("no class").contains("title t is of class replay"));
}
