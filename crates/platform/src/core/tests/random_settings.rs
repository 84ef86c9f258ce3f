//! Random settings in the form that the platform hands over, within the ranges of its documentation, each
//! with a random history checked by the checker. Guards against settings that break a rule, and against valid
//! set-ups that are rejected.

use super::histories::CheckedHarness;
use super::*;
use crate::viewer::{FromViewer, decode};
use pepperhook_rtsp::Message;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

fn pick<T: Copy>(rng: &mut StdRng, of: &[T]) -> T {
    of.choose(rng).copied().expect("something to pick from")
}

/// Random settings.
fn random_settings(rng: &mut StdRng) -> Value {
    let classes = pick(rng, &[1usize, 1, 2, 3, 5]);
    let rungs = rng.random_range(1..8usize);
    let (zones, kinds) = (pick(rng, &[1usize, 2, 7]), rng.random_range(1..4usize));
    let cells: u32 = pick(rng, &[1, 3, 3, 5]);
    let all: Vec<Value> = (0..classes)
        .map(|i| {
            let deadline = pick(rng, &[120 * MS, 280 * MS, 3 * S, 30 * S, 90 * S]);
            json!({"name": format!("klasse_{i}"), "aim_ns": deadline / rng.random_range(1..5), "deadline_ns": deadline,
                   "idempotency": pick(rng, &["idempotent", "at_most_once"]), "value": pick(rng, &[0.01, 1.0, 30.0]),
                   "group": "all", "window_ns": S, "late_worth": 0.0, "stream": true})
        })
        .collect();
    let each = |rng: &mut StdRng, of: &[u64]| (0..classes).map(|_| pick(rng, of)).collect::<Vec<_>>();
    let tops: Vec<usize> = (0..classes).map(|_| rng.random_range(0..rungs)).collect();
    let floors: Vec<usize> = tops.iter().map(|top| rng.random_range(0..=*top)).collect();
    let price = pick(rng, &[0.0, 0.0, 0.3]);
    let tenants = pick(rng, &[0u32, 1, 4]);
    let tenants: Vec<Value> =
        (0..tenants).map(|i| json!({"name": format!("t{i}"), "quota_per_s": 0.5})).collect();
    let mut rules = json!({"cold_ns": pick(rng, &[100 * MS, 8 * S, 60 * S]), "fall_multiple": pick(rng, &[1.0, 2.5, 9.0]),
        "fall_ns": pick(rng, &[50 * MS, S, 10 * S]), "start_capacity": pick(rng, &[0.0, 0.4, 1.0]),
        "stop_sending_within_ns": 250 * MS, "answer_slack_ns": 40 * MS});
    if rng.random() {
        rules["extra_per_request"] = json!(pick(rng, &[0.0, 0.2, 1.0]));
        rules["look_back_ns"] = json!(pick(rng, &[S, 10 * S]));
        if rng.random() {
            rules["min_extra"] = json!(pick(rng, &[0.0, 3.0]));
        }
    }
    let report = pick(rng, &[0, 1, 2, 3]);
    let fields =
        [vec![], vec!["x0", "x1"], vec!["rps", "cpu", "new_one"], vec!["active", "waiting", "avg_ms", "x1"]];
    json!({
        "n_instances": pick(rng, &[1, 3, 300]), "me": 0, "az": rng.random_range(0..zones), "membership_mode": "push",
        "zones": (0..zones).map(|z| format!("z{z}")).collect::<Vec<_>>(),
        "flavors": (0..kinds).map(|k| format!("k{k}")).collect::<Vec<_>>(),
        "classes": all, "tenants": tenants, "over_share_worth": 0.1, "something_new": {"a": [1, 2]},
        "limits": {"max_attempts": pick(rng, &[1, 2, 5]), "dial_timeout_ns": pick(rng, &[50 * MS, 250 * MS, S]),
                   "conn_idle_ns": pick(rng, &[2 * S, 15 * S, 60 * S]), "max_streams": pick(rng, &[1, 1, 100, 1 << 20]),
                   "probes": rng.random::<bool>(), "retry_after": rng.random::<bool>(),
                   "max_retry_after_ns": pick(rng, &[0, 500 * MS])},
        "load_report": {"fields": fields[report], "via": "pull"},
        "prices": {"moves": price, "cross_zone": price, "probe": price, "handshake": price},
        "rules": rules,
        "specifics": {"groups": pick(rng, &[1, 2, 9]), "positions": cells, "highest_rung": tops, "lowest_rung": floors,
                      "scale_by_class": vec![pick(rng, &[0.3, 1.0]); classes], "seats": each(rng, &[0, 0, 1, 3]),
                      "is_live": vec![rng.random::<bool>(); classes], "join": pick(rng, &[0.2, 1.0]),
                      "rung_kb": (1..=rungs).map(|r| r as f64 * 170.0).collect::<Vec<_>>(),
                      "ladder_worth": (1..=rungs).map(|r| r as f64 / rungs as f64).collect::<Vec<_>>(),
                      "kind_slots": vec![pick(rng, &[1.0, 40.0, 40.0]); kinds], "uplink_kb": pick(rng, &[300.0, 90_000.0, 90_000.0, 90_000.0]),
                      "all_links_kb": pick(rng, &[900.0, 900_000.0, 900_000.0, 900_000.0]), "kb_per_weight": pick(rng, &[0.0, 2_000.0]),
                      "refuses_from": pick(rng, &[0.0, 0.9]), "switch_cost_s": pick(rng, &[0.0, 0.7])},
    })
}

/// A valid set-up under these settings.
fn valid_set_up(rng: &mut StdRng, v: &Value, id: u64) -> Message {
    let class = &v["classes"][rng.random_range(0..v["classes"].as_array().expect("classes").len())];
    let cells = v["specifics"]["positions"].as_u64().expect("cells");
    let longest = class["deadline_ns"].as_u64().expect("a deadline") / MS;
    let info = format!(
        "home:{};copies:{};top:{};viewer:{:016x}{}",
        rng.random_range(0..cells),
        rng.random_range(1..=cells),
        rng.random_range(0..9),
        rng.random::<u64>(),
        if rng.random() { ";again:1" } else { "" }
    );
    let m = Message::request("SETUP", format!("rtsp://media/{:016x}", rng.random_range(0..3u64)));
    let m = m.with("CSeq", 1).with("Session", format!("{id:016x}"));
    let m = m.with("Priority-Class", class["name"].as_str().expect("a name"));
    let m = m.with("Expires-Ms", rng.random_range(1..=longest)).with("P-Trunk-Info", info);
    if rng.random() { m.with("X-Length", "8200.0") } else { m }
}

/// Set-ups, started sessions and refusals; departures, restarts and hand-overs.
type Counts = ([usize; 3], [usize; 3]);

/// Runs one history under random settings.
fn run_history(seed: u64, steps: &[(u8, usize, u64)]) -> Result<Counts, String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let v = random_settings(&mut rng);
    let settings = pepperhook_parameters::decision_settings(&v)?;
    let sockets = pepperhook_parameters::socket_settings(&v)?;
    let (cells, descriptors) = (settings.cells, pick(&mut rng, &[24, 64, 1_024]));
    let at_most_once =
        settings.classes.iter().map(|c| c.idempotency == pepperhook::Idempotency::AtMostOnce).collect();
    let mut checked = CheckedHarness::with_settings(&v, descriptors, at_most_once);
    for (what, which, ms) in steps {
        if what % 16 <= 3 {
            match decode(&valid_set_up(&mut rng, &v, checked.next), &sockets, cells) {
                Ok(FromViewer::SetUp(ask)) => checked.set_up(*ask),
                _ => return Err("a valid set-up was rejected".to_owned()),
            }
        } else if (11..13).contains(&(what % 16)) {
            checked.answer_latest_set_up();
        } else if *what >= 232 && which % 2 == 0 {
            // Rarer than the other steps, so that sessions play or requests are open by then.
            match which / 2 % 4 {
                0 => checked.viewer_departs(),
                1 => checked.report_departed(which / 8),
                _ => checked.restart(),
            }
        } else if what % 16 < 15 || which % 4 == 0 {
            // The list changes less often than in other histories, so that more set-ups succeed.
            checked.step(*what, *which);
        }
        checked.advance(ms * MS);
    }
    checked.advance(120 * S);
    checked.verdict()?;
    checked.check_all_released().map(|()| (checked.counts(), checked.event_counts))
}

#[test]
fn no_settings_break_a_rule() {
    let config = Config { failure_persistence: None, ..Config::with_cases(700) };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = prop::collection::vec((any::<u8>(), 0usize..64, 0u64..300), 1..120);
    let sum = std::cell::Cell::new([0; 6]);
    let all = runner.run(&(any::<u64>(), steps), |(seed, steps)| {
        let seen = run_history(seed, &steps)
            .map_err(|e| TestCaseError::fail(format!("{e}; settings of seed {seed}")))?;
        let seen: Vec<usize> = seen.0.into_iter().chain(seen.1).collect();
        sum.set(std::array::from_fn(|i| sum.get()[i] + seen[i]));
        Ok(())
    });
    assert!(all.is_ok(), "{}", all.expect_err("a fault"));
    // The histories must reach nodes and viewers.
    println!("set-ups, plays, refusals, departures, restarts, hand-overs: {:?}", sum.get());
    assert!(sum.get()[..3].iter().all(|n| *n > 200), "{:?}", sum.get());
    assert!(sum.get()[3..].iter().all(|n| *n > 50), "{:?}", sum.get());
}

/// Guards against all requests being counted for the first tenant, whichever tenant they name.
#[test]
fn a_request_counts_for_the_tenant_that_its_set_up_names() {
    let mut v = settings();
    let tenant = |v: &Value, name: Option<&str>| {
        let sockets = pepperhook_parameters::socket_settings(v).expect("settings");
        let m = valid_set_up(&mut StdRng::seed_from_u64(1), v, 1);
        let m = name.map_or(m.clone(), |name| m.with("P-Customer", name));
        match decode(&m, &sockets, 3) {
            Ok(FromViewer::SetUp(ask)) => Some(ask.spec.tenant.0),
            _ => None,
        }
    };
    assert_eq!(tenant(&v, Some("anyone")), Some(0), "settings without tenants");
    v["tenants"] = json!([{"name": "first", "quota_per_s": 1.0}, {"name": "second", "quota_per_s": 2.0}]);
    assert_eq!(tenant(&v, Some("second")), Some(1));
    assert_eq!(tenant(&v, Some("first")), Some(0));
    assert_eq!(tenant(&v, Some("third")), None, "an unknown tenant is rejected");
    assert_eq!(tenant(&v, None), Some(0));
}
