//! Runs the adapter as a process: valid frames are answered, an invalid one ends the process with one line on
//! standard error.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"n_instances": 1, "az": 0, "unknown": [1],
 "classes": [{"aim_ns": 800000000, "idempotency": "idempotent", "value": 1.0}],
 "limits": {"max_attempts": 3}, "load_report": {"fields": ["cpu"]},
 "rules": {"cold_ns": 12000000000, "fall_multiple": 2.5, "fall_ns": 2000000000, "start_capacity": 0.4},
 "specifics": {"groups": 1, "positions": 4, "highest_rung": [1], "lowest_rung": [0], "scale_by_class": [1.0],
  "rung_kb": [200.0, 400.0], "ladder_worth": [0.4, 1.0], "kind_slots": [20], "uplink_kb": 9000.0,
  "all_links_kb": 9000.0}}"#;

/// Runs the adapter with this input until it ends.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pepperhook-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let mut stdin = child.stdin.take().expect("piped");
    // After an error the adapter no longer reads its input.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("ends")
}

/// An input frame at 5 seconds.
fn frame(batch: u32, count: u32, body: &[u8]) -> Vec<u8> {
    let mut f = Vec::new();
    for number in [batch, count, body.len() as u32] {
        f.extend(number.to_be_bytes());
    }
    f.extend(5_000_000_000u64.to_be_bytes());
    f.extend(body);
    f
}

/// A record that starts instance 3 with these settings.
fn start_record(settings: &str) -> Vec<u8> {
    let mut b = vec![1, 0, 3];
    b.extend(9u64.to_be_bytes());
    b.extend((settings.len() as u32).to_be_bytes());
    b.extend(settings.as_bytes());
    b
}

/// A record that defines list 0 with server 77, and one that gives it to instance 3.
fn list_records() -> Vec<u8> {
    let mut b = vec![13, 0, 0, 0, 0, 0, 1, 0, 0, 0, 77, 0, 0, 0, 0, 0, 0, 1];
    b.extend(1f32.to_be_bytes());
    b.extend(0u64.to_be_bytes());
    b.extend([2, 0, 3, 0, 0, 0, 1, 0, 0, 2]);
    b
}

/// The adapter fails, and its line on standard error contains all parts.
fn fails_with(input: &[u8], parts: &[&str]) {
    let out = run_adapter(input);
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success(), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
    for part in parts {
        assert!(text.contains(part), "{part:?} not in {text:?}");
    }
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_ends_the_process_with_success() {
    let out = run_adapter(&frame(7, 0, &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0, 0, 0, 7, 0, 0, 0, 0, 0, 0, 0, 0]);
    assert!(out.stderr.is_empty());
}

#[test]
fn a_request_is_sent_to_the_listed_server() {
    let mut body = [start_record(SETTINGS), list_records()].concat();
    body.extend([3, 0, 3]);
    body.extend(55u64.to_be_bytes());
    body.extend([0, 0, 0, 0]);
    for x in [4u64, 5, 4_000_000_000, 0] {
        body.extend(x.to_be_bytes());
    }
    for x in [0f32, 3.0, 1.0] {
        body.extend(x.to_be_bytes());
    }
    body.push(0);
    let out = run_adapter(&frame(1, 4, &body));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let attempt = [[65, 0, 3].as_slice(), &55u64.to_be_bytes(), &77u32.to_be_bytes()].concat();
    assert!(out.stdout.windows(attempt.len()).any(|w| w == attempt));
}

#[test]
fn malformed_input_is_named_with_record_and_offset() {
    fails_with(&frame(1, 1, &[99, 0, 3]), &["record 0", "offset", "unknown code 99"]);
    fails_with(&frame(1, 1, &[7, 0, 3, 1]), &["record 0", "offset 3", "needs 8 bytes"]);
    fails_with(&frame(1, 0, &[7]), &["left after the last record"]);
    fails_with(&frame(1, 1, &[2, 0, 3, 0, 0, 0, 1, 0, 5, 2]), &["unknown list number 5"]);
    fails_with(&frame(1, 1, &[13, 0, 0, 255, 255, 255, 255]), &["record 0", "needs 4 bytes"]);
    fails_with(&[0, 0, 0], &["3 of 20 bytes"]);
    let mut short = frame(1, 1, &[]);
    short[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    fails_with(&short, &["ends after 0 of 4294967295 bytes"]);
}

#[test]
fn bad_settings_are_named() {
    fails_with(&frame(1, 1, &start_record("nonsense")), &["not JSON"]);
    fails_with(&frame(1, 1, &start_record("{}")), &["lack 'specifics'"]);
    let uneven = SETTINGS.replace("[0.4, 1.0]", "[0.4]");
    fails_with(&frame(1, 1, &start_record(&uneven)), &["differ in length"]);
    let no_racks = SETTINGS.replace("\"groups\": 1", "\"groups\": 0");
    fails_with(&frame(1, 1, &start_record(&no_racks)), &["no racks"]);
    let no_rungs = SETTINGS.replace("[0.4, 1.0]", "[]").replace("[200.0, 400.0]", "[]");
    fails_with(&frame(1, 1, &start_record(&no_rungs)), &["no rungs"]);
}

#[test]
fn every_cut_of_a_good_frame_ends_without_a_panic() {
    let whole = frame(1, 3, &[start_record(SETTINGS), list_records()].concat());
    for cut in (1..whole.len()).step_by(7) {
        let out = run_adapter(&whole[..cut]);
        assert_eq!(out.status.code(), Some(1), "cut at {cut}");
    }
}
