//! The command `rehearse agreement`. A short run with five front processes, changes by two operators, and
//! kills, suspensions and cuts by a schedule from a fixed seed must break no rule; plans that cannot be run
//! must be rejected.

use std::process::{Command, Output};

fn rehearse(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pepperhook"));
    command.args(["rehearse", "agreement"]).args(arguments).output().expect("cannot run the command")
}

#[test]
fn a_short_rehearsal_breaks_no_rule() {
    let dir = tempfile::tempdir().expect("cannot create a folder");
    let (keep, report) = (dir.path().join("run"), dir.path().join("report.json"));
    let (keep, report) =
        (keep.to_str().expect("not a UTF-8 path"), report.to_str().expect("not a UTF-8 path"));
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
    let (stdout, stderr) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    let verdict = stdout.lines().last().unwrap_or("");
    assert!(
        out.status.success() && verdict.starts_with("kept: 0 broken"),
        "a rule was broken or the run failed: {stdout}\n{stderr}"
    );
    let text = std::fs::read_to_string(report).expect("cannot read the report");
    let figures: serde_json::Value = serde_json::from_str(&text).expect("invalid JSON");
    // Not an empty run: changes were settled while fronts were down, suspended or cut off, and viewers
    // played.
    assert!(figures["told"]["stands"].as_u64() >= Some(3), "fewer than 3 changes were settled: {text}");
    assert!(figures["playing"].as_u64() >= Some(100), "fewer than 100 set-ups succeeded: {text}");
    let plan = std::fs::read_to_string(dir.path().join("run/plan.json")).expect("cannot read the plan");
    for what in ["\"kill\"", "\"stop\"", "\"start\"", "\"cut\"", "\"kill_leader\":true", "\"flood\":11"] {
        assert!(plan.contains(what), "{what} is not in the plan: {plan}");
    }
}

#[test]
fn plans_that_cannot_be_run_are_rejected() {
    let dir = tempfile::tempdir().expect("cannot create a folder");
    let bad = dir.path().join("bad.json");
    std::fs::write(&bad, "{\"seed\": 1, \"fronts\": 99}").expect("cannot write the file");
    for arguments in
        [&["--fronts", "99"][..], &["--loss", "0.9"], &["--plan", bad.to_str().expect("not a UTF-8 path")]]
    {
        let out = rehearse(arguments);
        assert_eq!(out.status.code(), Some(2), "{arguments:?}: not rejected");
        assert!(!out.stderr.is_empty(), "{arguments:?}: rejected without an error message");
    }
}
