//! Which configurations are accepted at the start and on reload, and which field an error names.

use super::*;
use crate::core::{Bounds, Core};
use proptest::prelude::*;
use serde_json::json;
use std::io::Write;

/// One second in nanoseconds.
const S: u64 = 1_000_000_000;

/// A valid configuration with every key that is read: two classes, zones, kinds, tenants and nodes.
fn valid() -> Value {
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "idempotency": idempotency, "group": "zone", "window_ns": 5 * S, "aim_ns": S,
               "deadline_ns": 3 * S, "value": 1.0})
    };
    let server = |id: &str, zone: &str| {
        json!({"id": id, "addr": "10.1.0.9:2905", "zone": zone, "kind": "big", "cell": 1, "state": "up",
               "weight": 4, "started_ms": 0})
    };
    json!({
        "name": "n3", "listen": "10.0.0.4:2905", "seed": "8c1f30d27a5be964", "changelog": "10.2.0.1:4222",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 3, "results": [{"seq": 3, "fleet": {"version": 1, "full": true,
            "servers": [server("s-00c41f7a", "east"), server("s-00c41f7b", "west")]}}]},
        "settings": {
            "n_instances": 3, "me": 0, "az": 1, "zones": ["east", "west"], "flavors": ["small", "big"],
            "classes": [class("lesson", "at_most_once"), class("clip", "deduplicated")],
            "tenants": [{"name": "a", "quota_per_s": 0.5}, {"name": "b", "quota_per_s": 2}], "over_share_worth": 0.1,
            "limits": {"max_attempts": 3, "dial_timeout_ns": S / 4, "conn_idle_ns": 15 * S, "max_streams": 100,
                       "probes": true, "retry_after": true, "max_retry_after_ns": S / 2},
            "load_report": {"fields": ["x0", "x1"], "via": "pull"},
            "prices": {"moves": 0.1, "cross_zone": 0.04, "probe": 0.01, "handshake": 0.0},
            "rules": {"cold_ns": 12 * S, "fall_multiple": 2.5, "fall_ns": 2 * S, "start_capacity": 0.4,
                      "extra_per_request": 0.2, "look_back_ns": 10 * S, "min_extra": 3},
            "specifics": {"groups": 2, "positions": 4, "highest_rung": [2, 1], "lowest_rung": [0, 1], "seats": [0, 3],
                          "is_live": [false, true], "join": 0.5, "scale_by_class": [1.0, 0.7],
                          "rung_kb": [200.0, 400.0, 900.0], "ladder_worth": [0.4, 0.7, 1.0], "kind_slots": [22, 44],
                          "uplink_kb": 900_000.0, "all_links_kb": 900_000.0, "kb_per_weight": 400_000.0,
                          "refuses_from": 0.9, "seen_after_ns": 5, "switch_cost_s": 0.7},
            "step_ns": 10_000_000,
        },
    })
}

fn temporary_file(text: &[u8]) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(text).expect("writes");
    file
}

fn load(text: &str) -> Result<Config, String> {
    let file = temporary_file(text.as_bytes());
    let name = format!("{}: ", file.path().display());
    Config::load(file.path()).map_err(|e| {
        let line = e.to_string();
        assert!(!line.contains('\n') && line.len() < 400, "an error is one short line: {line:?}");
        line.strip_prefix(&name).unwrap_or_else(|| panic!("{line:?} names no file")).to_owned()
    })
}

/// The value at this path of keys and indices, separated by dots; created if it is missing.
fn at<'a>(mut v: &'a mut Value, path: &str) -> &'a mut Value {
    for key in path.split('.') {
        v = match key.parse::<usize>() {
            Ok(i) => &mut v[i],
            Err(_) => &mut v[key],
        };
    }
    v
}

fn with(path: &str, value: Value) -> String {
    let mut v = valid();
    *at(&mut v, path) = value;
    v.to_string()
}

fn without(path: &str) -> String {
    let mut v = valid();
    let (above, key) = path.rsplit_once('.').unwrap_or(("", path));
    let above = if above.is_empty() { &mut v } else { at(&mut v, above) };
    above.as_object_mut().expect("an object").remove(key).expect("it was there");
    v.to_string()
}

#[test]
fn the_valid_configuration_is_accepted_and_starts() {
    let config = load(&valid().to_string()).expect("a valid configuration");
    assert_eq!(
        (config.seed, config.descriptor_limit, config.list.last_number()),
        (0x8c1f_30d2_7a5b_e964, 1024, 3)
    );
    assert_eq!(config.list.nodes().len(), 2);
    assert!(starts(&config));
}

fn starts(config: &Config) -> bool {
    let bounds = Bounds::for_descriptors(config.descriptor_limit);
    Core::new(config.settings.clone(), config.sockets.clone(), bounds, config.seed).is_ok()
}

/// Each required field is named if it is missing, and each optional one may be absent.
#[test]
fn a_field_that_is_missing_is_named() {
    let required = "name listen seed changelog limits.sockets known known.results known.results.0.seq \
        known.results.0.fleet known.results.0.fleet.servers known.results.0.fleet.servers.0.id \
        known.results.0.fleet.servers.0.addr known.results.0.fleet.servers.0.zone \
        known.results.0.fleet.servers.0.kind known.results.0.fleet.servers.0.cell \
        known.results.0.fleet.servers.0.state settings settings.n_instances settings.az settings.zones \
        settings.flavors settings.classes settings.classes.0.name settings.classes.0.idempotency \
        settings.classes.0.aim_ns settings.classes.0.deadline_ns settings.classes.0.value settings.classes.1.window_ns \
        settings.limits settings.limits.max_attempts settings.limits.dial_timeout_ns settings.limits.conn_idle_ns \
        settings.limits.max_streams settings.rules settings.rules.cold_ns settings.rules.fall_multiple \
        settings.rules.fall_ns settings.rules.start_capacity settings.rules.look_back_ns settings.specifics \
        settings.specifics.groups settings.specifics.positions settings.specifics.highest_rung \
        settings.specifics.lowest_rung settings.specifics.scale_by_class settings.specifics.rung_kb \
        settings.specifics.ladder_worth settings.specifics.kind_slots settings.specifics.uplink_kb";
    for path in required.split_whitespace() {
        let error = load(&without(path)).expect_err(path);
        let key = path.rsplit('.').next().expect("a key");
        let named = if path == "limits.sockets" { path } else { key };
        assert!(error.contains(&format!("'{named}'")), "{path}: {error}");
    }
    let optional = "limits.cores limits.memory_mb known.seq known.results.0.fleet.full \
        known.results.0.fleet.servers.0.weight known.results.0.fleet.servers.0.started_ms settings.tenants \
        settings.tenants.0.name settings.tenants.0.quota_per_s settings.over_share_worth settings.limits.probes \
        settings.limits.retry_after settings.limits.max_retry_after_ns settings.load_report \
        settings.load_report.fields settings.prices settings.prices.moves settings.rules.extra_per_request \
        settings.rules.min_extra settings.specifics.seats settings.specifics.is_live settings.specifics.join \
        settings.specifics.all_links_kb settings.specifics.kb_per_weight settings.specifics.refuses_from \
        settings.specifics.seen_after_ns settings.specifics.switch_cost_s settings.step_ns settings.me \
        settings.classes.0.window_ns settings.classes.1.group";
    for path in optional.split_whitespace() {
        assert!(load(&without(path)).is_ok_and(|c| starts(&c)), "{path} may be absent");
    }
}

#[test]
fn a_field_of_the_wrong_type_out_of_range_or_contradicting_another_is_named() {
    let long = "9".repeat(400);
    let s = |path: &str| format!("settings.{path}");
    let p = |path: &str| format!("settings.specifics.{path}");
    let server = |key: &str| format!("known.results.0.fleet.servers.0.{key}");
    let cases = [
        ("name".to_owned(), json!(""), "'name'"),
        ("listen".into(), json!("n3"), "'listen'"),
        ("listen".into(), json!("10.0.0.4:65536"), "'listen'"),
        ("seed".into(), json!("+c1f30d27a5be964"), "'seed'"),
        ("seed".into(), json!("8c1f30d27a5be9641"), "'seed'"),
        ("seed".into(), json!(""), "'seed'"),
        ("seed".into(), json!(7), "'seed'"),
        ("changelog".into(), json!("10.2.0.1:0"), "'changelog'"),
        ("changelog".into(), json!("0.0.0.0:4222"), "'changelog'"),
        ("changelog".into(), json!(null), "'changelog'"),
        ("limits".into(), json!(7), "'limits.sockets'"),
        ("limits.sockets".into(), json!(0), "'limits.sockets'"),
        ("limits.sockets".into(), json!(17), "'limits.sockets'"),
        ("limits.sockets".into(), json!(-1), "'limits.sockets'"),
        ("limits.sockets".into(), json!(256.5), "'limits.sockets'"),
        ("limits.sockets".into(), json!("256"), "'limits.sockets'"),
        ("known".into(), json!([]), "'results'"),
        ("known.results.0.seq".into(), json!(0), "'seq'"),
        ("known.results.0.seq".into(), json!(-3), "'seq'"),
        ("known.results.0.fleet.full".into(), json!("yes"), "'full'"),
        ("known.results.0.fleet.servers".into(), json!({}), "'servers'"),
        (server("id"), json!("00c41f7a"), "'id'"),
        (server("id"), json!("s-+0c41f7a"), "'id'"),
        (server("addr"), json!("[::1]:2905"), "'addr'"),
        (server("addr"), json!("10.1.0.9"), "'addr'"),
        (server("zone"), json!("north"), "'zone'"),
        (server("kind"), json!("huge"), "'kind'"),
        (server("cell"), json!(-1), "'cell'"),
        (server("state"), json!("asleep"), "'state'"),
        (server("weight"), json!(-4), "'weight'"),
        (server("weight"), json!("4"), "'weight'"),
        (server("started_ms"), json!(-1), "'started_ms'"),
        (s("n_instances"), json!(0), "'n_instances'"),
        (s("n_instances"), json!(1u64 << 32), "'n_instances'"),
        (s("az"), json!(2), "'az'"),
        (s("az"), json!(1u64 << 16), "'az'"),
        (s("az"), json!("east"), "'az'"),
        (s("zones"), json!(["east", "east"]), "'zones'"),
        (s("zones"), json!([1, 2]), "'zones'"),
        (s("flavors"), json!(["big", "big"]), "'flavors'"),
        (s("flavors"), json!(["small", "big", "huge"]), "'kind_slots'"),
        (s("classes"), json!([]), "'classes'"),
        (s("classes"), json!({}), "'classes'"),
        (s("classes.1.name"), json!("lesson"), "'classes'"),
        (s("classes.0.name"), json!(""), "'name'"),
        (s("classes.0.name"), json!("a\r\nCSeq: 2"), "'name'"),
        (s("classes.0.name"), json!(" lesson"), "'name'"),
        (s("classes.0.idempotency"), json!("never"), "'idempotency'"),
        (s("classes.1.group"), json!("rack"), "'group'"),
        (s("classes.1.group"), json!("a\nb".repeat(1_000)), "'group'"),
        (s("classes.1.window_ns"), json!(u64::MAX), "'window_ns'"),
        (s("classes.0.aim_ns"), json!(0), "'aim_ns'"),
        (s("classes.0.deadline_ns"), json!(0), "'deadline_ns'"),
        (s("classes.0.deadline_ns"), json!(-1), "'deadline_ns'"),
        (s("classes.0.deadline_ns"), json!(u64::MAX), "'deadline_ns'"),
        (s("classes.0.value"), json!(0), "'value'"),
        (s("classes.0.value"), json!("NaN"), "'value'"),
        (s("tenants"), json!({"a": 1}), "'tenants'"),
        (s("tenants.0.quota_per_s"), json!(-0.5), "'quota_per_s'"),
        (s("tenants.0.quota_per_s"), json!("much"), "'quota_per_s'"),
        (s("tenants.0.name"), json!(7), "'name'"),
        (s("over_share_worth"), json!(-1), "'over_share_worth'"),
        (s("limits.max_attempts"), json!(0), "'max_attempts'"),
        (s("limits.dial_timeout_ns"), json!(0), "'dial_timeout_ns'"),
        (s("limits.conn_idle_ns"), json!(u64::MAX), "'conn_idle_ns'"),
        (s("limits.max_streams"), json!(-1), "'max_streams'"),
        (s("limits.max_retry_after_ns"), json!(-1), "'max_retry_after_ns'"),
        (s("limits.probes"), json!("yes"), "'probes'"),
        (s("load_report.fields"), json!("x0"), "'fields'"),
        (s("load_report.fields"), json!(["x0", "x0"]), "'fields'"),
        (s("prices"), json!([1]), "'prices'"),
        (s("prices.moves"), json!(-0.1), "'moves'"),
        (s("prices.probe"), json!("dear"), "'probe'"),
        (s("rules.cold_ns"), json!(u64::MAX), "'cold_ns'"),
        (s("rules.fall_ns"), json!(-1), "'fall_ns'"),
        (s("rules.fall_multiple"), json!(0), "'fall_multiple'"),
        (s("rules.start_capacity"), json!(1.1), "'start_capacity'"),
        (s("rules.extra_per_request"), json!("few"), "'extra_per_request'"),
        (s("rules.extra_per_request"), json!(-0.2), "'extra_per_request'"),
        (s("rules.look_back_ns"), json!(0), "'look_back_ns'"),
        (s("rules.look_back_ns"), json!(-1), "'look_back_ns'"),
        (s("rules.min_extra"), json!(-1), "'min_extra'"),
        (p("groups"), json!(0), "'groups'"),
        (p("groups"), json!(u32::MAX), "'groups'"),
        (p("positions"), json!(0), "'positions'"),
        (p("positions"), json!(u32::MAX), "'positions'"),
        (p("highest_rung"), json!([2]), "'highest_rung'"),
        (p("highest_rung"), json!([2, 0]), "'highest_rung'"),
        (p("highest_rung"), json!([2, 256]), "'highest_rung'"),
        (p("highest_rung"), json!([2, 1.5]), "'highest_rung'"),
        (p("lowest_rung"), json!([]), "'lowest_rung'"),
        (p("lowest_rung"), json!([0, -1]), "'lowest_rung'"),
        (p("lowest_rung"), json!([0, 3]), "'lowest_rung'"),
        (p("seats"), json!([0]), "'seats'"),
        (p("seats"), json!([0, -3]), "'seats'"),
        (p("seats"), json!([0, 0.5]), "'seats'"),
        (p("seats"), json!([0, "three"]), "'seats'"),
        (p("is_live"), json!([0, 1]), "'is_live'"),
        (p("is_live"), json!("no"), "'is_live'"),
        (p("join"), json!(1.5), "'join'"),
        (p("scale_by_class"), json!([1.0]), "'scale_by_class'"),
        (p("scale_by_class"), json!([1.0, 0]), "'scale_by_class'"),
        (p("rung_kb"), json!([]), "'rung_kb'"),
        (p("rung_kb"), json!([400.0, 200.0, 900.0]), "'rung_kb'"),
        (p("rung_kb"), json!([200.0, 200.0, 900.0]), "'rung_kb'"),
        (p("rung_kb"), json!([-200.0, 400.0, 900.0]), "'rung_kb'"),
        (p("ladder_worth"), json!([0.4]), "'ladder_worth'"),
        (p("ladder_worth"), json!([-0.4, 0.7, 1.0]), "'ladder_worth'"),
        (p("kind_slots"), json!([]), "'kind_slots'"),
        (p("kind_slots"), json!([22]), "'kind_slots'"),
        (p("kind_slots"), json!([22, 0]), "'kind_slots'"),
        (p("uplink_kb"), json!(0), "'uplink_kb'"),
        (p("all_links_kb"), json!(-1), "'all_links_kb'"),
        (p("kb_per_weight"), json!("much"), "'kb_per_weight'"),
        (p("refuses_from"), json!(-0.1), "'refuses_from'"),
        (p("seen_after_ns"), json!(-1), "'seen_after_ns'"),
        (p("switch_cost_s"), json!(-1), "'switch_cost_s'"),
    ];
    for (path, value, named) in &cases {
        let error = load(&with(path, value.clone())).expect_err(path);
        assert!(error.contains(named), "{path} {value}: {error}");
    }
    // Texts that are not JSON, duplicate keys, and a file that is too long.
    let text = valid().to_string();
    let raw = [
        (text[..text.len() / 2].to_owned(), "not JSON"),
        (String::new(), "not JSON"),
        (text.clone() + "{}", "not JSON"),
        (text.replace("\"uplink_kb\":900000.0", "\"uplink_kb\":NaN"), "not JSON"),
        (text.replace("\"uplink_kb\":900000.0", "\"uplink_kb\":1e999"), "not JSON"),
        (text.replace("\"n_instances\":3", &format!("\"n_instances\":{long}")), "not JSON"),
        (text.replace("\"n_instances\":3", &format!("\"n_instances\":{}", &long[..30])), "'n_instances'"),
        ("[".repeat(100_000), "not JSON"),
        ("[]".to_owned(), "'settings'"),
        ("null".to_owned(), "'settings'"),
        (text.replace("\"sockets\":1024", "\"sockets\":1024,\"sockets\":64"), "'sockets' is given twice"),
        (text.replace("\"name\":\"n3\"", "\"name\":\"n3\",\"name\":\"n4\""), "'name' is given twice"),
        (text.replace("\"fall_ns\"", "\"cold_ns\":1,\"fall_ns\""), "'cold_ns' is given twice"),
        (" ".repeat(MAX_FILE_BYTES as usize) + &text, "longer than"),
    ];
    for (raw, named) in raw {
        let error = load(&raw).expect_err(named);
        assert!(error.contains(named), "{}: {error}", &raw[..raw.len().min(60)]);
    }
    assert!(Config::load(Path::new("/")).is_err_and(|e| e.to_string().contains("is no file")));
    assert!(Config::load(Path::new("/no/such/file")).is_err());
}

/// Values that the platform's protocol allows or leaves open are accepted.
#[test]
fn values_that_the_protocol_allows_are_accepted() {
    let s = |path: &str| format!("settings.{path}");
    let p = |path: &str| format!("settings.specifics.{path}");
    let server = |key: &str| format!("known.results.0.fleet.servers.0.{key}");
    let cases = [
        ("listen".to_owned(), json!("127.0.0.1:0")),
        ("limits.sockets".into(), json!(18)),
        ("limits.sockets".into(), json!(u64::MAX)),
        ("known".into(), json!({"seq": 0, "results": []})),
        ("something_new".into(), json!([1, {"a": null}])),
        (server("addr"), json!("0.0.0.0:0")),
        (server("weight"), json!(0)),
        (server("weight"), json!(1e308)),
        (server("started_ms"), json!(u64::MAX)),
        (server("cell"), json!(65_535)),
        (s("n_instances"), json!(300)),
        (s("tenants"), json!([])),
        (s("tenants"), json!(null)),
        (s("prices"), json!(null)),
        (s("load_report"), json!({"via": "silent"})),
        (s("load_report.fields"), json!(["a", "b", "c", "d", "e"])),
        (s("limits.max_streams"), json!(1u64 << 20)),
        (s("limits.conn_idle_ns"), json!(0)),
        (s("classes.0.aim_ns"), json!(9 * S)),
        (s("classes.0.group"), json!("unused here")),
        (s("rules.cold_ns"), json!(0)),
        (s("rules.fall_ns"), json!(0)),
        (s("rules.extra_per_request"), json!(0)),
        (p("highest_rung"), json!([255, 1])),
        (p("highest_rung"), json!([2, 1, 7])),
        (p("highest_rung"), json!([2.0, 1.0])),
        (p("kind_slots"), json!([22, 44, 9])),
        (p("all_links_kb"), json!(0)),
        (p("is_live"), json!([])),
        (p("seats"), json!([])),
    ];
    for (path, value) in cases {
        let config = load(&with(&path, value.clone()));
        assert!(config.as_ref().is_ok_and(starts), "{path} {value}: {config:?}");
    }
    let mut v = valid();
    *at(&mut v, "settings.zones") = json!([]);
    *at(&mut v, "settings.az") = json!(0);
    *at(&mut v, "known.results") = json!([]);
    assert!(load(&v.to_string()).is_ok_and(|c| starts(&c)), "a site without zones is accepted");
}

#[test]
fn descriptors_are_bound_by_the_smaller_limit_and_the_minimum_suffices() {
    let mut config = load(&valid().to_string()).expect("a valid configuration");
    let soft = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
    config.descriptor_limit = MIN_DESCRIPTORS;
    assert_eq!(config.effective_descriptor_limit(), Ok(MIN_DESCRIPTORS));
    config.descriptor_limit = usize::MAX;
    assert_eq!(config.effective_descriptor_limit(), Ok(usize::try_from(soft).unwrap_or(usize::MAX)));
    // The largest sum of connections that the core's bounds allow, as in the core's own test.
    let b = Bounds::for_descriptors(MIN_DESCRIPTORS);
    assert!(
        16 + b.viewers * 9 / 8 + b.viewers / 16 + b.links <= MIN_DESCRIPTORS && b.viewers > 0 && b.links > 0
    );
}

/// On reload, a file of another front or an invalid one is rejected as a whole, and the error names the field.
#[test]
fn a_reload_of_another_fronts_file_or_of_an_invalid_one_is_rejected() {
    let start = load(&valid().to_string()).expect("a valid configuration").start_config();
    let s = |path: &str| format!("settings.{path}");
    let reversed = |path: &str| {
        let mut v = valid();
        at(&mut v, path).as_array_mut().expect("a list").reverse();
        v
    };
    let changed = |path: &str, value: Value| {
        let mut v = valid();
        *at(&mut v, path) = value;
        v
    };
    let mut fewer = valid();
    at(&mut fewer, "settings.classes").as_array_mut().expect("a list").pop();
    let mut more = valid();
    let mut new = more["settings"]["classes"][0].clone();
    new["name"] = json!("third");
    at(&mut more, "settings.classes").as_array_mut().expect("a list").push(new);
    for key in ["highest_rung", "lowest_rung", "seats", "is_live", "scale_by_class"] {
        let list = at(&mut more, &format!("settings.specifics.{key}")).as_array_mut().expect("a list");
        list.push(list[0].clone());
    }
    let mut zones = reversed("settings.zones");
    zones["changelog"] = json!("10.2.0.9:4222");
    let rejected = [
        (changed("name", json!("n4")), "name"),
        (changed("listen", json!("10.0.0.4:2906")), "listen"),
        (fewer, "settings.classes"),
        (more, "settings.classes"),
        (reversed("settings.classes"), "settings.classes"),
        (changed(&s("classes.1.name"), json!("clips")), "settings.classes"),
        (changed(&s("classes.1.deadline_ns"), json!(4 * S)), "settings.classes.deadline_ns"),
        (changed(&s("classes.1.idempotency"), json!("idempotent")), "settings.classes.idempotency"),
        (changed(&s("classes.1.group"), json!("all")), "settings.classes.idempotency"),
        (zones, "settings.zones"),
        (reversed("settings.flavors"), "settings.flavors"),
        (reversed("settings.load_report.fields"), "settings.load_report.fields"),
        (reversed("settings.tenants"), "settings.tenants"),
        (changed(&s("specifics.groups"), json!(3)), "settings.specifics.groups"),
        (changed(&s("specifics.positions"), json!(5)), "settings.specifics.positions"),
        // Invalid or incomplete files.
        (changed(&s("limits"), json!(null)), "max_attempts"),
        (changed(&s("n_instances"), json!(0)), "n_instances"),
        (changed("changelog", json!("10.2.0.9")), "changelog"),
        (json!({}), "settings"),
    ];
    for (v, field) in rejected {
        let file = temporary_file(v.to_string().as_bytes());
        let line = start.reload(file.path()).expect_err(field).to_string();
        let named = line.contains(&format!("'{field}")) || line.contains(&format!("'{field}'"));
        assert!(named && line.starts_with(&file.path().display().to_string()), "{field}: {line}");
    }
}

#[test]
fn a_reload_takes_the_change_logs_address_and_names_the_fields_that_need_a_restart() {
    let start = load(&valid().to_string()).expect("a valid configuration").start_config();
    let reload = |v: &Value| {
        let file = temporary_file(v.to_string().as_bytes());
        start.reload(file.path()).expect("a valid configuration")
    };
    let mut v = valid();
    v["changelog"] = json!("10.2.0.9:4222");
    let changelog = "10.2.0.9:4222".parse().expect("an address");
    assert_eq!(reload(&v), Reload { changelog, needs_restart: Vec::new() });
    let other = [
        ("limits.sockets", json!(64), "limits.sockets"),
        ("seed", json!("00c0ffee00c0ffee"), "seed"),
        ("known.seq", json!(9), "known"),
        ("settings.n_instances", json!(300), "settings.n_instances"),
        ("settings.prices.moves", json!(0.5), "settings.prices.moves"),
        ("settings.classes.1.value", json!(7), "settings.classes[1].value"),
        ("settings.tenants.0.quota_per_s", json!(7), "settings.tenants[0].quota_per_s"),
        ("settings.specifics.seats", json!([1, 3]), "settings.specifics.seats[0]"),
        ("settings.specifics.rung_kb", json!([200.0, 400.0, 900.0, 950.0]), "settings.specifics.rung_kb"),
        ("settings.specifics.ladder_worth", json!([0.4, 0.7, 1.0, 1.0]), "settings.specifics.ladder_worth"),
        ("new", json!(1), "new"),
    ];
    other.iter().for_each(|(path, value, _)| *at(&mut v, path) = value.clone());
    let mut names: Vec<_> = other.iter().map(|(.., name)| (*name).to_owned()).collect();
    names.sort_unstable();
    let mut reloaded = reload(&v);
    reloaded.needs_restart.sort_unstable();
    assert_eq!(reloaded, Reload { changelog, needs_restart: names });
    // The number of named fields is bounded, however many differ.
    (0..1_000).for_each(|n| v[format!("new_{n}")] = json!(n));
    assert_eq!(reload(&v).needs_restart.len(), MAX_NAMED_FIELDS + 1);
}

/// Collects the paths of all values.
fn paths(v: &Value, path: &str, out: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match v {
        Value::Object(o) => o.iter().map(|(k, v)| (k.clone(), v)).collect(),
        Value::Array(a) => a.iter().enumerate().map(|(i, v)| (i.to_string(), v)).collect(),
        _ => Vec::new(),
    };
    for (key, v) in children {
        let path = if path.is_empty() { key } else { format!("{path}.{key}") };
        out.push(path.clone());
        paths(v, &path, out);
    }
}

fn arbitrary_value() -> impl Strategy<Value = Value> {
    let text = prop_oneof![Just(String::new()), Just("NaN".to_owned()), "[a-z0-9:.\r\n -]{0,40}"];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        prop_oneof![Just(0u64), Just(1), Just(u64::MAX), any::<u64>()].prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        prop_oneof![Just(f64::MIN), Just(f64::MAX), Just(-0.0), Just(1e-300), any::<f64>()]
            .prop_map(Value::from),
        text.prop_map(Value::from),
    ];
    leaf.prop_recursive(2, 12, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-z_]{1,8}", inner, 0..4).prop_map(Value::from_iter),
        ]
    })
}

proptest! {
    /// With arbitrary values in arbitrary places, the file is rejected with a one-line error or the front starts with it;
    /// nothing panics.
    #[test]
    fn any_value_in_any_place_is_rejected_or_starts(
        picks in prop::collection::vec((any::<prop::sample::Index>(), arbitrary_value(), any::<bool>()), 1..4),
    ) {
        let mut v = valid();
        for (pick, value, removes) in picks {
            let mut all = Vec::new();
            paths(&v, "", &mut all);
            if all.is_empty() {
                break;
            }
            let path = pick.get(&all).clone();
            if removes {
                let (above, key) = path.rsplit_once('.').unwrap_or(("", &path));
                let above = if above.is_empty() { &mut v } else { at(&mut v, above) };
                match above {
                    Value::Object(o) => _ = o.remove(key),
                    Value::Array(a) => _ = a.remove(key.parse().expect("a place")),
                    _ => {}
                }
            } else {
                *at(&mut v, &path) = value;
            }
        }
        if let Ok(config) = load(&v.to_string()) {
            prop_assert!(starts(&config), "{v}");
        }
    }

    /// A truncated text is never accepted.
    #[test]
    fn a_truncated_text_is_never_accepted(cut in any::<prop::sample::Index>()) {
        let text = valid().to_string();
        let cut = cut.index(text.len());
        prop_assert!(load(&text[..cut]).is_err());
    }
}
