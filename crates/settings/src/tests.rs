//! Tests of the settings format: defaults, positions of errors, includes, and the settings that fronts share.

use super::*;

const GOOD: &str = "name front-1\nlisten 127.0.0.1:0 # any port\nzones gedung-a gedung-b\nzone gedung-b\n\
racks 3\ncells 9\nuplink-kb 9000\nkb-per-weight 4000\ngauges streams link uplink\ninventory \"my nodes.csv\"\n\
section ladder\nrung 200 0.3\nrung 600 1\nsection class replay\naim 800ms\npatience 4s\nrepeat within zone 5s\n\
section kind small\nstreams 30\nsection tenant acme\nquota 4\nsection title t1\nhome 0\ncopies 3\nclass replay\n\
section token viewers\nsecret s3cret\ntenant acme\nsection rules\ncold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n";

#[test]
fn settings_are_read_with_their_defaults() {
    let c = Config::parse("front.conf", GOOD).expect("settings");
    assert_eq!((c.decisions.zone, c.inventory.to_str()), (ZoneId(1), Some("my nodes.csv")));
    assert_eq!(c.decisions.classes[0].idempotency, Idempotency::Deduplicated(DedupScope::Zone, 5 * SECOND));
    assert_eq!((c.decisions.classes[0].highest_rung, c.classes[0].patience), (1, 4 * SECOND));
    assert_eq!((c.titles["t1"].copies, c.titles["t1"].class), (3, 0));
    assert!(!format!("{c:?}").contains("s3cret"), "a secret is never printed");
}

#[test]
fn all_errors_are_reported_with_their_positions() {
    let bad = GOOD
        .replace("racks 3", "racks three")
        .replace("aim 800ms", "aim 800")
        .replace("streams 30", "stream 30")
        .replace("class replay\nsection token", "class replays\nsection token")
        .replace("section tenant", "section tenants")
        .replace("\"my nodes.csv\"", "\"my nodes.csv");
    let e = Config::parse("front.conf", &bad).expect_err("errors");
    let positions: Vec<_> = e.errors.iter().map(|e| (e.position.line, e.position.column)).collect();
    for position in [(5, 7), (10, 11), (15, 5), (19, 1), (20, 1), (25, 7)] {
        assert!(positions.contains(&position), "{position:?} in {e}");
    }
    let shown = e.to_string();
    assert!(shown.contains("front.conf:5:7") && shown.contains("racks three"), "{shown}");
    assert!(shown.contains("unknown keyword 'stream'"), "{shown}");
}

#[test]
fn includes_are_read_in_place_and_an_include_cycle_is_an_error() {
    let dir = tempfile::tempdir().expect("a folder");
    let main = dir.path().join("front.conf");
    std::fs::write(&main, GOOD.replace("section rules", "include rules.conf\n#")).expect("written");
    let rules = "section rules\ncold-share 0.4\ncold 12s\nfall-multiple 2.5\nfall-window 2s\n";
    std::fs::write(dir.path().join("rules.conf"), rules).expect("written");
    // What follows the include belongs to the section that the included file opened.
    let text = std::fs::read_to_string(&main).expect("read");
    let cut = text.find("\n#").expect("the mark");
    std::fs::write(&main, &text[..cut + 1]).expect("written");
    assert!(Config::load(&main).is_ok());
    std::fs::write(dir.path().join("rules.conf"), "include rules.conf\n").expect("written");
    assert!(Config::load(&main).expect_err("a cycle").to_string().contains("includes itself"));
    let missing = Config::load(&dir.path().join("none.conf")).expect_err("no file");
    assert!(missing.to_string().contains("none.conf"));
}

#[test]
fn an_admin_listener_beyond_loopback_needs_a_key() {
    let open = format!("admin 0.0.0.0:9000\n{GOOD}");
    assert!(Config::parse("f", &open).expect_err("no key").to_string().contains("admin-key"));
    assert!(Config::parse("f", &format!("admin-key abc\n{open}")).is_ok());
}

#[test]
fn the_exchange_hides_its_secret_and_checks_addresses() {
    let with =
        |more: &str| Config::parse("f", &format!("{GOOD}section exchange\nlisten 127.0.0.1:0\n{more}"));
    let c = with("key abcdef\nprevious-key ghi\npeer 127.0.0.1:7401\nperiod 500ms\n").expect("settings");
    assert!(!format!("{c:?}").contains("abcdef") && !format!("{c:?}").contains("ghi"));
    let x = c.exchange.expect("an exchange");
    assert_eq!((x.peers.len(), x.round_interval, x.fanout, x.advertise), (1, 500 * MS, 2, None));
    let c = with("key k\nadvertise 10.0.0.7:7400\n").expect("settings");
    assert_eq!(c.exchange.and_then(|x| x.advertise), "10.0.0.7:7400".parse().ok());
    for address in ["0.0.0.0:7400", "10.0.0.7:0", "10.0.0.7"] {
        let e = with(&format!("key k\nadvertise {address}\n"))
            .expect_err("not an address to send to")
            .to_string();
        assert!(e.contains(address) && e.contains("with its port"), "{e}");
    }
    let e = with("peer nowhere\npeer 127.0.0.1:1\npeer 127.0.0.1:1\n").expect_err("errors").to_string();
    assert!(e.contains("nowhere") && e.contains("given twice") && e.contains("lack 'key'"), "{e}");
}

#[test]
fn settings_without_rules_are_an_error_with_an_example() {
    let text = GOOD.split("section rules").next().expect("what is before");
    let shown = Config::parse("front.conf", text).expect_err("no rules").to_string();
    assert!(shown.contains("have no section rules") && shown.contains("fall-window 2s"), "{shown}");
}

#[test]
fn fleet_settings_round_trip_and_apply_to_another_front() {
    let c = Config::parse("f", GOOD).expect("settings");
    let text = c.fleet_settings().text();
    let fleet = FleetSettings::parse("policy", &text).expect("fleet settings");
    assert_eq!(fleet.text(), text);
    // Another front lists its classes in another order; its titles keep theirs by name.
    let other = GOOD
        .replace("section class replay", "section class other\naim 1s\npatience 2s\nsection class replay");
    let other = Config::parse("f", &other).expect("settings");
    assert_eq!(other.titles["t1"].class, 1);
    assert_eq!(other.with_fleet_settings(&fleet).expect("it fits").titles["t1"].class, 0);
    let gone =
        FleetSettings::parse("policy", &text.replace("class replay", "class replays")).expect("a policy");
    let why = other.with_fleet_settings(&gone).expect_err("a title without a class");
    assert_eq!(why, "title t1 is of class replay, which the policy does not have");
}

#[test]
fn fleet_settings_reject_front_keywords_and_includes() {
    let text = Config::parse("f", GOOD).expect("settings").fleet_settings().text();
    let bad = format!("racks 4\ninclude /dev/zero\nuplnk 3\n{text}section token x\nsecret y\n");
    let shown = FleetSettings::parse("policy", &bad).expect_err("errors").to_string();
    for part in [
        "policy:1:1",
        "'racks' is no part",
        "policy:2:1",
        "'include' is not allowed",
        "'uplnk'",
        "section 'token'",
    ] {
        assert!(shown.contains(part), "{part} in {shown}");
    }
    let e =
        FleetSettings::parse("policy", &text.replace("cold-share 0.4", "cold-share 0.4\nbudget NaN 1 1s"));
    assert!(e.expect_err("no number").to_string().contains("budget FREE SHARE WINDOW"));
}
