//! The store returns what was written, completely, or reports an error.

use pepperhook_agreement::store::{Store, StoreError, StoreOp, StoredState};
use pepperhook_agreement::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fs;
use std::path::PathBuf;

fn store_path() -> (tempfile::TempDir, PathBuf) {
    let dir = tempfile::tempdir().expect("cannot create a directory");
    let path = dir.path().join("agreement.redb");
    (dir, path)
}

fn command(n: u64) -> Command {
    let operation = Operation::Put {
        subject: Subject { space: 1, number: n % 3 },
        expects: n,
        body: vec![n as u8; n as usize % 50],
    };
    Command { key: Key(n.into()), author: 4, operation }
}

fn config(number: u32) -> Config {
    Config { number, first: u64::from(number) * 10, voters: vec![VoterId { front: 1, store: 2 }] }
}

/// Applies operations to the expected content of a store.
fn apply(expected: &mut StoredState, ops: &[StoreOp]) {
    for op in ops.iter().cloned() {
        match op {
            StoreOp::Begin { config, snapshot } => {
                expected.log.promise.clear();
                expected.log.accepted.clear();
                expected.log.commands.clear();
                expected.log.decided = 0;
                (expected.config, expected.snapshot) = (Some(config), snapshot);
            }
            StoreOp::Promise(p) => expected.log.promise = p,
            StoreOp::Accepted(a) => expected.log.accepted = a,
            StoreOp::Decided(d) => expected.log.decided = d,
            StoreOp::Log { from, commands } => {
                expected.log.commands.truncate(from as usize);
                expected.log.commands.extend(commands);
            }
        }
    }
}

/// Operations of one write that are valid for the expected content; `n` marks their values.
fn random_ops(rng: &mut StdRng, expected: &StoredState, n: u64) -> Vec<StoreOp> {
    let length = expected.log.commands.len() as u64;
    match rng.random_range(0..8) {
        0 => vec![StoreOp::Begin {
            config: config(n as u32),
            snapshot: vec![n as u8; rng.random_range(0..9000)],
        }],
        1 => vec![StoreOp::Promise(vec![n as u8; 4]), StoreOp::Accepted(vec![n as u8; 5])],
        2 => vec![StoreOp::Decided(length)],
        3 => {
            let from = rng.random_range(expected.log.decided..=length);
            vec![StoreOp::Log {
                from,
                commands: (0..rng.random_range(0..5)).map(|k| command(n + k)).collect(),
            }]
        }
        _ => vec![StoreOp::Promise(vec![n as u8]), StoreOp::Log { from: length, commands: vec![command(n)] }],
    }
}

/// Guards against a store that gets a new id when it is opened again, and against two open handles of one file.
#[test]
fn a_store_is_created_once_and_its_openings_are_counted() {
    let (_dir, path) = store_path();
    assert!(matches!(Store::open(&path, 0), Err(StoreError::ZeroId)));
    for boots in 1..5 {
        let (store, found) = Store::open(&path, 70 + boots).expect("the store should open");
        assert_eq!((found.store, found.boots, found.log.boots), (71, boots, boots));
        assert_eq!((found.config, found.log.commands.len()), (None, 0));
        assert!(matches!(Store::open(&path, 9), Err(StoreError::InUse)));
        drop(store);
    }
}

/// Guards against written operations that are lost or reordered over closing and opening.
#[test]
fn written_operations_are_read_back() {
    for seed in 0..6 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (_dir, path) = store_path();
        let (mut store, mut expected) = Store::open(&path, 5).expect("the store should open");
        for n in 0..60 {
            let ops = random_ops(&mut rng, &expected, n);
            store.write(&ops).expect("the write should succeed");
            apply(&mut expected, &ops);
            if rng.random_bool(0.2) {
                drop(store);
                let reopened = Store::open(&path, 6).expect("the store should open again");
                expected.boots += 1;
                expected.log.boots += 1;
                assert_eq!(reopened.1, expected);
                store = reopened.0;
            }
        }
    }
}

/// Guards against a file of another program, or another redb database, that is overwritten or opens as a store.
#[test]
fn a_foreign_file_is_reported_and_left_unchanged() {
    let (_dir, path) = store_path();
    let mut rng = StdRng::seed_from_u64(1);
    for length in [0, 1, 100, 5000, 100_000] {
        let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        fs::write(&path, &bytes).expect("cannot write the file");
        let opened = Store::open(&path, 1).map(|o| o.1);
        assert!(
            matches!(opened, Err(StoreError::Invalid(_))),
            "opening {length} random bytes should fail as invalid: {opened:?}"
        );
        assert_eq!(
            fs::read(&path).expect("the file should be readable"),
            bytes,
            "content of the file of {length} bytes after opening"
        );
    }
    fs::remove_file(&path).expect("cannot remove the file");
    redb::Database::create(&path).expect("cannot create another database");
    assert!(matches!(Store::open(&path, 1), Err(StoreError::Invalid(_))));
}

/// A truncated or corrupted store is either refused or has its complete content; it never opens with part of
/// it.
#[test]
fn a_damaged_store_never_opens_with_part_of_its_content() {
    let (_dir, path) = store_path();
    let mut rng = StdRng::seed_from_u64(2);
    let (store, mut expected) = Store::open(&path, 5).expect("the store should open");
    for n in 0..30 {
        let ops = random_ops(&mut rng, &expected, n);
        store.write(&ops).expect("the write should succeed");
        apply(&mut expected, &ops);
    }
    // The file is read while the store is open, as a killed process leaves it: when it is opened, redb searches for
    // the last complete commit.
    let undamaged = fs::read(&path).expect("the file should be readable");
    drop(store);
    expected.boots += 1;
    expected.log.boots += 1;
    let (mut refused, mut complete) = (0, 0);
    // Each round truncates the file, flips a bit of its header or overwrites a page.
    for round in 0..120 {
        let mut bytes = undamaged.clone();
        if round % 3 == 0 {
            bytes.truncate(rng.random_range(0..undamaged.len()));
        } else if round % 3 == 1 {
            // The header, which locates the commits, is in the first 320 bytes.
            bytes[rng.random_range(0..320)] ^= 1 << rng.random_range(0..8);
        } else {
            let at = rng.random_range(0..undamaged.len() / 4096) * 4096;
            bytes[at..at + 4096].fill(rng.random());
        }
        fs::write(&path, &bytes).expect("cannot write the file");
        match Store::open(&path, 1) {
            Err(StoreError::Invalid(_) | StoreError::Io(_)) => refused += 1,
            Err(other) => panic!("round {round}: opening failed with another error: {other}"),
            Ok((_, found)) => {
                assert_eq!(found, expected, "content of the damaged store in round {round}");
                complete += 1;
            }
        }
    }
    println!("{refused} refused, {complete} complete");
    assert!(
        refused > 20,
        "{refused} damaged stores refused, {complete} complete; more than 20 refused expected"
    );
}

/// Guards against the leftover of an interrupted creation that prevents the next one.
#[test]
fn a_half_created_store_is_created_again() {
    let (_dir, path) = store_path();
    fs::write(path.with_file_name("agreement.redb.new"), b"half").expect("cannot write the file");
    assert_eq!(Store::open(&path, 3).expect("the store should open").1.store, 3);
}

/// Guards against an unreported error if the store's directory is missing or its path is a directory.
#[test]
fn errors_at_creation_are_reported() {
    let (dir, path) = store_path();
    let missing = dir.path().join("none").join("agreement.redb");
    assert!(matches!(Store::open(&missing, 3), Err(StoreError::Io(_))));
    fs::create_dir(&path).expect("cannot create a directory");
    assert!(matches!(Store::open(&path, 3), Err(StoreError::Io(_) | StoreError::Invalid(_))));
}

/// Prints how long a write and an opening take (with `--nocapture`); fails only if one of them fails.
#[test]
fn time_of_a_write_and_of_an_opening() {
    let (_dir, path) = store_path();
    let (store, _) = Store::open(&path, 5).expect("the store should open");
    let started = std::time::Instant::now();
    for n in 0..50 {
        store
            .write(&[StoreOp::Log { from: n, commands: vec![command(n)] }])
            .expect("the write should succeed");
    }
    let write_time = started.elapsed() / 50;
    drop(store);
    let started = std::time::Instant::now();
    Store::open(&path, 5).expect("the store should open");
    println!("write {write_time:?}, opening {:?}", started.elapsed());
}

#[cfg(feature = "failpoints")]
mod failpoints {
    use super::*;
    use std::process::{Command as Process, Stdio};

    /// Environment variable that gives the child its store and failpoint as `path|failpoint`.
    const CHILD_VARIABLE: &str = "AGREEMENT_STORE_OF_A_CHILD";

    fn ops() -> Vec<StoreOp> {
        vec![
            StoreOp::Promise(vec![9]),
            StoreOp::Log { from: 0, commands: vec![command(7), command(8)] },
            StoreOp::Decided(1),
        ]
    }

    /// The process that [`a_write_is_complete_or_absent_after_a_kill`] starts; it aborts at the failpoint.
    #[test]
    #[ignore = "run as a child process by another test"]
    fn child_that_aborts_in_a_write() {
        let Ok(value) = std::env::var(CHILD_VARIABLE) else { return };
        let (path, point) = value.split_once('|').expect("the variable should be path|failpoint");
        let (store, _) = Store::open(path.as_ref(), 1).expect("the store should open");
        fail::cfg(point, "return(abort)").expect("the failpoint should be valid");
        let _ = store.write(&ops());
        unreachable!("the failpoint did not abort the process");
    }

    /// Guards against a store with part of a write after the process is killed just before or after the commit.
    #[test]
    fn a_write_is_complete_or_absent_after_a_kill() {
        for (point, is_committed) in [("agreement-before-commit", false), ("agreement-after-commit", true)] {
            let (_dir, path) = store_path();
            let mut expected = Store::open(&path, 5).expect("the store should open").1;
            let status = Process::new(std::env::current_exe().expect("cannot find the path of this binary"))
                .args(["--ignored", "--exact", "failpoints::child_that_aborts_in_a_write"])
                .env(CHILD_VARIABLE, format!("{}|{point}", path.display()))
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .status()
                .expect("cannot start the child");
            assert_eq!(
                std::os::unix::process::ExitStatusExt::signal(&status),
                Some(6),
                "{point}: the child should end by SIGABRT: {status}"
            );
            expected.boots += 2;
            expected.log.boots += 2;
            if is_committed {
                apply(&mut expected, &ops());
            }
            assert_eq!(
                Store::open(&path, 6).expect("the store should open again").1,
                expected,
                "content after {point}"
            );
        }
    }

    /// Guards against a failed write that is reported as done, and against part of its content in the store.
    #[test]
    fn failed_writes_are_reported() {
        let scenario = fail::FailScenario::setup();
        let (_dir, path) = store_path();
        let (store, mut expected) = Store::open(&path, 5).expect("the store should open");
        fail::cfg("agreement-before-commit", "1*return->off").expect("the failpoint should be valid");
        assert!(matches!(store.write(&ops()), Err(StoreError::Io(_))));
        drop(store);
        expected.boots += 1;
        expected.log.boots += 1;
        let (store, found) = Store::open(&path, 5).expect("the store should open again");
        assert_eq!(found, expected);
        fail::cfg("agreement-after-commit", "1*return->off").expect("the failpoint should be valid");
        assert!(matches!(store.write(&ops()), Err(StoreError::Io(_))));
        drop(store);
        expected.boots += 1;
        expected.log.boots += 1;
        apply(&mut expected, &ops());
        assert_eq!(Store::open(&path, 5).expect("the store should open again").1, expected);
        scenario.teardown();
    }
}
