//! The script `.ci/test` and its list of tests known to fail, on packages of a few lines, without a network.

use std::path::Path;
use std::process::{Command, Output};
use tempfile::TempDir;

const COMMAND: &str = "cargo test --workspace --locked";
const HOLDS: &str = "#[test]\nfn holds() {}\n";
const BREAKS: &str = "#[test]\nfn breaks() {\n    panic!(\"planted\");\n}\n";
const BREAKS_TOO: &str = "#[test]\nfn breaks_too() {\n    panic!(\"planted\");\n}\n";
const THIRD: &str = "#[test]\nfn third() {\n    panic!(\"planted\");\n}\n";
const DOCUMENTED: &str =
    "/// ```\n/// assert_eq!(sample::two(), 2);\n/// ```\npub fn two() -> u32 {\n    2\n}\n";
const DOCUMENTED_WRONGLY: &str =
    "/// ```\n/// assert_eq!(sample::two(), 3);\n/// ```\npub fn two() -> u32 {\n    2\n}\n";

fn file(path: &str) -> String {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    std::fs::read_to_string(root.join(path)).expect("a file of the repository")
}

/// A package without dependencies; `library` is its library, each of `binaries` the text of a test binary.
fn package(library: &str, binaries: &[&[&str]]) -> TempDir {
    let dir = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| {
        let path = dir.path().join(name);
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
        std::fs::write(path, text).expect("written");
    };
    write(
        "Cargo.toml",
        "[workspace]\n[package]\nname = \"sample\"\nversion = \"0.0.0\"\nedition = \"2024\"\n",
    );
    write("Cargo.lock", "version = 4\n\n[[package]]\nname = \"sample\"\nversion = \"0.0.0\"\n");
    write("src/lib.rs", library);
    for (n, tests) in binaries.iter().enumerate() {
        write(&format!("tests/binary{n}.rs"), &tests.concat());
    }
    dir
}

fn script(dir: &Path, list: Option<&str>, command: &[&str]) -> Output {
    if let Some(list) = list {
        std::fs::write(dir.join("KNOWN-RED.txt"), list).expect("written");
    }
    Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/test"))
        .args(command)
        .current_dir(dir)
        .env("CARGO_TARGET_DIR", dir.join("target"))
        .env("CARGO_NET_OFFLINE", "true")
        .output()
        .expect("the script runs")
}

/// Standard output, then standard error.
fn text(output: &Output) -> String {
    [&output.stdout[..], &output.stderr[..]].map(String::from_utf8_lossy).concat()
}

#[track_caller]
fn passes(dir: &TempDir, list: Option<&str>) -> String {
    let output = script(dir.path(), list, &COMMAND.split(' ').collect::<Vec<_>>());
    let text = text(&output);
    assert!(output.status.success(), "{}\n{text}", output.status);
    text
}

#[track_caller]
fn fails(dir: &TempDir, list: Option<&str>) -> String {
    let output = script(dir.path(), list, &COMMAND.split(' ').collect::<Vec<_>>());
    let text = text(&output);
    assert!(matches!(output.status.code(), Some(1..)), "{}\n{text}", output.status);
    text
}

/// The list is refused with `message` before any command is run.
#[track_caller]
fn refused(list: &str, message: &str) {
    let dir = tempfile::tempdir().expect("a folder");
    let output = script(dir.path(), Some(list), &["touch", "was-run"]);
    let text = text(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains(message), "{message:?} is not in:\n{text}");
    assert!(!dir.path().join("was-run").exists(), "the command was run in spite of: {list:?}");
}

#[track_caller]
fn tells(text: &str, parts: &[&str]) {
    for part in parts {
        assert!(text.contains(part), "{part:?} is not in:\n{text}");
    }
}

#[test]
fn ci_runs_the_command_of_the_readme() {
    assert!(file(".ci/run").lines().any(|l| l == format!(".ci/test {COMMAND}")));
    assert!(file("README.md").lines().any(|l| l.trim() == COMMAND));
}

#[test]
fn without_a_list_all_tests_must_pass_and_the_figures_are_shown() {
    let dir = package(DOCUMENTED, &[&[HOLDS], &[HOLDS]]);
    tells(&passes(&dir, None), &["test result: ok. 1 passed", "3 tests executed, all passed\n"]);
}

#[test]
fn without_a_list_the_command_is_run_once_and_as_it_is() {
    let dir = tempfile::tempdir().expect("a folder");
    let line = "echo \"$# $*\" >> was-run; echo 'test result: ok. 1 passed; 0 failed'; exit $1";
    let output = script(dir.path(), None, &["sh", "-c", line, "sh", "0", "b c"]);
    assert!(output.status.success(), "{}", text(&output));
    assert_eq!(std::fs::read_to_string(dir.path().join("was-run")).expect("was run"), "2 0 b c\n");
    let output = script(dir.path(), None, &["sh", "-c", line, "sh", "7"]);
    assert_eq!(output.status.code(), Some(7), "the verdict is the command's: {}", text(&output));
}

#[test]
fn without_a_list_a_failing_test_fails() {
    tells(&fails(&package("", &[&[HOLDS, BREAKS]]), None), &["test breaks ... FAILED"]);
    let text = fails(&package(DOCUMENTED_WRONGLY, &[&[HOLDS]]), None);
    tells(&text, &["test src/lib.rs - two (line 1) ... FAILED"]);
}

#[test]
fn a_run_without_a_test_fails() {
    tells(&fails(&package("", &[]), None), &["no test was executed"]);
    let dir = package("", &[&[BREAKS]]);
    tells(
        &fails(&dir, Some("breaks | planted | #1\n")),
        &["fails as listed: breaks", "no test was executed"],
    );
}

#[test]
fn three_listed_tests_that_fail_are_passed_over_and_shown() {
    let dir = package(DOCUMENTED, &[&[HOLDS, BREAKS, THIRD], &[BREAKS_TOO]]);
    let list =
        "breaks | planted, seen on each run | #1\nbreaks_too | planted | #2\nthird | the third | issue 3";
    let text = passes(&dir, Some(list));
    tells(&text, &["2 tests executed, all passed; passed over"]);
    tells(&text, &["fails as listed: breaks\n", "fails as listed: breaks_too\n", "fails as listed: third\n"]);
    assert_eq!(text.matches(list).count(), 2, "the lines are shown at the begin and at the end:\n{text}");
}

#[test]
fn another_test_that_fails_still_fails() {
    let dir = package("", &[&[HOLDS, BREAKS, BREAKS_TOO]]);
    let text = fails(&dir, Some("breaks | planted | #1\n"));
    tells(&text, &["fails as listed: breaks\n", "test breaks_too ... FAILED"]);
    assert!(!text.contains("test breaks ... "), "the listed test is passed over:\n{text}");

    let dir = package(DOCUMENTED_WRONGLY, &[&[HOLDS, BREAKS]]);
    let text = fails(&dir, Some("breaks | planted | #1\n"));
    tells(&text, &["fails as listed: breaks\n", "test src/lib.rs - two (line 1) ... FAILED"]);
}

#[test]
fn a_run_that_passes_over_more_than_is_listed_fails() {
    let dir = tempfile::tempdir().expect("a folder");
    let runner = |over: u32| {
        format!(
            r#"case "$*" in
                "-- --list") echo "breaks: test" ;;
                "-- --exact breaks") echo "test result: FAILED. 0 passed; 1 failed; 0 ignored; 0 measured"; exit 101 ;;
                "-- --exact --skip breaks") echo "test result: ok. 5 passed; 0 failed; 0 ignored; {over} filtered out" ;;
                *) exit 1 ;;
            esac"#
        )
    };
    for (over, passes) in [(1, true), (2, false), (0, false)] {
        let command = runner(over);
        let output = script(dir.path(), Some("breaks | planted | #1\n"), &["sh", "-c", &command, "sh"]);
        let text = text(&output);
        assert_eq!(output.status.success(), passes, "{text}");
        if !passes {
            tells(&text, &[&format!("1 tests listed, {over} passed over")]);
        }
    }
}

#[test]
fn a_listed_test_that_passes_fails() {
    let dir = package("", &[&[HOLDS, BREAKS]]);
    let text = fails(&dir, Some("breaks | planted | #1\nholds | was mended | #2\n"));
    tells(&text, &["passes, take it off the list: holds"]);
}

#[test]
fn a_listed_test_must_be_seen_to_fail() {
    let ignored = "#[test]\n#[ignore]\nfn ignored() {\n    panic!(\"planted\");\n}\n";
    let ends = "#[test]\nfn ends() {\n    std::process::abort();\n}\n";
    let dir = package("", &[&[HOLDS, ignored, ends]]);
    tells(
        &fails(&dir, Some("ignored | planted | #1\n")),
        &["was not seen to fail, its run ended with 0: ignored"],
    );
    tells(
        &fails(&dir, Some("ends | planted | #1\n")),
        &["was not seen to fail, its run ended with 101: ends"],
    );
}

#[test]
fn a_listed_name_is_the_whole_name_of_one_test() {
    let module = "mod inner {\n    #[test]\n    fn breaks() {\n        panic!(\"planted\");\n    }\n}\n";
    let dir = package("", &[&[HOLDS, module, BREAKS_TOO], &[HOLDS]]);
    for name in
        ["nothing", "inner", "inner::break", "breaks", "breaks_to", "inner::breaks_", "BREAKS_TOO", "b.*"]
    {
        let text = fails(&dir, Some(&format!("{name} | planted | #1\n")));
        tells(&text, &[&format!("no test has this name: {name}\n")]);
    }
    tells(&fails(&dir, Some("holds | planted | #1\n")), &["2 tests have this name", "meant: holds\n"]);
    let text = passes(&dir, Some("inner::breaks | planted | #1\nbreaks_too | planted | #2\n"));
    tells(&text, &["2 tests executed, all passed"]);
}

#[test]
fn a_doc_test_cannot_be_listed() {
    refused("src/lib.rs - two (line 1) | planted | #1\n", "line 1: a doc-test can't be passed over alone");
}

#[test]
fn a_package_that_does_not_build_fails() {
    let dir = package("", &[&[HOLDS, BREAKS, "fn broken( {"]]);
    let text = fails(&dir, Some("breaks | planted | #1\n"));
    assert!(!text.contains("fails as listed"), "{text}");
}

#[test]
fn a_fourth_line_is_refused() {
    let line = |n: u32| format!("t{n} | cause | #{n}\n");
    refused(&(1..=4).map(line).collect::<String>(), "line 4: 3 tests at most may be listed");
    refused(&format!("{}\n", (1..=3).map(line).collect::<String>()), "line 4: 3 tests at most may be listed");
}

#[test]
fn a_malformed_line_is_refused() {
    let lines = [
        "t",
        "t | cause",
        "t | cause | ",
        "t | cause |",
        "t |  | #1",
        "t | | #1",
        " | cause | #1",
        "t | cause | #1 | more",
        "t|cause|#1",
        "t, cause, #1",
        " t | cause | #1",
        "t | cause | #1 ",
        "t | cause | #1\r",
        "# t | cause",
        "",
        " ",
    ];
    for line in lines {
        refused(&format!("{line}\n"), "line 1: not TEST | CAUSE | ISSUE");
        refused(&format!("u | cause | #1\n{line}\nv | cause | #1\n"), "line 2: not TEST | CAUSE | ISSUE");
    }
    refused("", "lists no test; remove the file");
}

#[test]
fn a_name_listed_twice_is_refused() {
    refused("t | cause | #1\nu | cause | #2\nt | another | #3\n", "line 3: listed twice: t");
}
