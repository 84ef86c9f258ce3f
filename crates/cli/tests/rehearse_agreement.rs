//! `rehearse agreement` in a short form: five fronts as processes, changes by two operators, kills, stops and cuts by a
//! schedule from a fixed seed; and what the command says of plans that it cannot play.

use std::process::{Command, Output};

fn rehearse(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pepperhook"));
    command.args(["rehearse", "agreement"]).args(arguments).output().expect("it ran")
}

#[test]
fn a_short_rehearsal_keeps_all_rules() {
    let dir = tempfile::tempdir().expect("a folder");
    let (keep, report) = (dir.path().join("run"), dir.path().join("report.json"));
    let (keep, report) = (keep.to_str().expect("a path"), report.to_str().expect("a path"));
    let out = rehearse(&[
        "--seed",
        "3",
        "--fronts",
        "5",
        "--seconds",
        "24",
        "--changes",
        "12",
        "--loss",
        "0.05",
        "--keep",
        keep,
        "--report",
        report,
    ]);
    let (said, told) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    let verdict = said.lines().last().unwrap_or("");
    assert!(out.status.success() && verdict.starts_with("kept: 0 broken"), "{said}\n{told}");
    let text = std::fs::read_to_string(report).expect("a report");
    let figures: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    // It was no empty run: changes stood while fronts were down, stopped or cut off, and viewers played.
    assert!(figures["told"]["stands"].as_u64() >= Some(3), "{text}");
    assert!(figures["playing"].as_u64() >= Some(100), "{text}");
    let plan = std::fs::read_to_string(dir.path().join("run/plan.json")).expect("a plan");
    for what in ["\"kill\"", "\"stop\"", "\"start\"", "\"cut\"", "\"kill_leader\":true", "\"flood\":11"] {
        assert!(plan.contains(what), "{what}: {plan}");
    }
}

#[test]
fn plans_that_cannot_be_played_are_refused() {
    let dir = tempfile::tempdir().expect("a folder");
    let bad = dir.path().join("bad.json");
    std::fs::write(&bad, "{\"seed\": 1, \"fronts\": 99}").expect("written");
    for arguments in [&["--fronts", "99"][..], &["--loss", "0.9"], &["--plan", bad.to_str().expect("a path")]]
    {
        let out = rehearse(arguments);
        assert_eq!(out.status.code(), Some(2), "{arguments:?}");
        assert!(!out.stderr.is_empty());
    }
}
