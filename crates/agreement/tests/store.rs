//! The store returns what was written, completely, or reports an error.

use pepperhook_agreement::store::{Store, StoreError, StoreOp, StoredState};
use pepperhook_agreement::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fs;
use std::path::PathBuf;

fn store_path() -> (tempfile::TempDir, PathBuf) {
    let dir = tempfile::tempdir().expect("a directory");
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

#[test]
fn a_store_is_created_once_and_its_openings_are_counted() {
    let (_dir, path) = store_path();
    assert!(matches!(Store::open(&path, 0), Err(StoreError::ZeroId)));
    for boots in 1..5 {
        let (store, found) = Store::open(&path, 70 + boots).expect("opens");
        assert_eq!((found.store, found.boots, found.log.boots), (71, boots, boots));
        assert_eq!((found.config, found.log.commands.len()), (None, 0));
        assert!(matches!(Store::open(&path, 9), Err(StoreError::InUse)));
        drop(store);
    }
}

#[test]
fn written_operations_are_read_back() {
    for seed in 0..6 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (_dir, path) = store_path();
        let (mut store, mut expected) = Store::open(&path, 5).expect("opens");
        for n in 0..60 {
            let ops = random_ops(&mut rng, &expected, n);
            store.write(&ops).expect("written");
            apply(&mut expected, &ops);
            if rng.random_bool(0.2) {
                drop(store);
                let reopened = Store::open(&path, 6).expect("opens again");
                expected.boots += 1;
                expected.log.boots += 1;
                assert_eq!(reopened.1, expected);
                store = reopened.0;
            }
        }
    }
}

#[test]
fn a_foreign_file_is_reported_and_left_unchanged() {
    let (_dir, path) = store_path();
    let mut rng = StdRng::seed_from_u64(1);
    for length in [0, 1, 100, 5000, 100_000] {
        let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        fs::write(&path, &bytes).expect("written");
        let opened = Store::open(&path, 1).map(|o| o.1);
        assert!(matches!(opened, Err(StoreError::Invalid(_))), "{length}: {opened:?}");
        assert_eq!(fs::read(&path).expect("read"), bytes);
    }
    fs::remove_file(&path).expect("removed");
    redb::Database::create(&path).expect("another database");
    assert!(matches!(Store::open(&path, 1), Err(StoreError::Invalid(_))));
}

/// A truncated or corrupted store is either refused or has its complete content; it never opens with part of
/// it.
#[test]
fn a_damaged_store_never_opens_with_part_of_its_content() {
    let (_dir, path) = store_path();
    let mut rng = StdRng::seed_from_u64(2);
    let (store, mut expected) = Store::open(&path, 5).expect("opens");
    for n in 0..30 {
        let ops = random_ops(&mut rng, &expected, n);
        store.write(&ops).expect("written");
        apply(&mut expected, &ops);
    }
    // The file of a killed process: redb then searches for the last complete commit.
    let whole = fs::read(&path).expect("read");
    drop(store);
    expected.boots += 1;
    expected.log.boots += 1;
    let (mut refused, mut complete) = (0, 0);
    for round in 0..120 {
        let mut bytes = whole.clone();
        if round % 3 == 0 {
            bytes.truncate(rng.random_range(0..whole.len()));
        } else if round % 3 == 1 {
            // The header, which refers to the commits.
            bytes[rng.random_range(0..320)] ^= 1 << rng.random_range(0..8);
        } else {
            let at = rng.random_range(0..whole.len() / 4096) * 4096;
            bytes[at..at + 4096].fill(rng.random());
        }
        fs::write(&path, &bytes).expect("written");
        match Store::open(&path, 1) {
            Err(StoreError::Invalid(_) | StoreError::Io(_)) => refused += 1,
            Err(other) => panic!("{other}"),
            Ok((_, found)) => {
                assert_eq!(found, expected, "round {round}");
                complete += 1;
            }
        }
    }
    println!("{refused} refused, {complete} complete");
    assert!(refused > 20, "{refused} {complete}");
}

#[test]
fn a_half_created_store_is_created_again() {
    let (_dir, path) = store_path();
    fs::write(path.with_file_name("agreement.redb.new"), b"half").expect("written");
    assert_eq!(Store::open(&path, 3).expect("opens").1.store, 3);
}

#[test]
fn errors_at_creation_are_reported() {
    let (dir, path) = store_path();
    let missing = dir.path().join("none").join("agreement.redb");
    assert!(matches!(Store::open(&missing, 3), Err(StoreError::Io(_))));
    fs::create_dir(&path).expect("a directory");
    assert!(matches!(Store::open(&path, 3), Err(StoreError::Io(_) | StoreError::Invalid(_))));
}

/// Prints measurements with `--nocapture`.
#[test]
fn time_of_a_write_and_of_an_opening() {
    let (_dir, path) = store_path();
    let (store, _) = Store::open(&path, 5).expect("opens");
    let started = std::time::Instant::now();
    for n in 0..50 {
        store.write(&[StoreOp::Log { from: n, commands: vec![command(n)] }]).expect("written");
    }
    let write_time = started.elapsed() / 50;
    drop(store);
    let started = std::time::Instant::now();
    Store::open(&path, 5).expect("opens");
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

    /// Run as another process by [`killed_in_a_write`].
    #[test]
    #[ignore = "a child of another test"]
    fn child_that_aborts_in_a_write() {
        let Ok(value) = std::env::var(CHILD_VARIABLE) else { return };
        let (path, point) = value.split_once('|').expect("path|point");
        let (store, _) = Store::open(path.as_ref(), 1).expect("opens");
        fail::cfg(point, "return(abort)").expect("a failpoint");
        let _ = store.write(&ops());
        unreachable!("the failpoint did not abort the process");
    }

    #[test]
    fn killed_in_a_write() {
        for (point, is_committed) in [("agreement-before-commit", false), ("agreement-after-commit", true)] {
            let (_dir, path) = store_path();
            let mut expected = Store::open(&path, 5).expect("opens").1;
            let status = Process::new(std::env::current_exe().expect("the path of this binary"))
                .args(["--ignored", "--exact", "failpoints::child_that_aborts_in_a_write"])
                .env(CHILD_VARIABLE, format!("{}|{point}", path.display()))
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .status()
                .expect("a child");
            assert_eq!(std::os::unix::process::ExitStatusExt::signal(&status), Some(6), "{point}: {status}");
            expected.boots += 2;
            expected.log.boots += 2;
            if is_committed {
                apply(&mut expected, &ops());
            }
            assert_eq!(Store::open(&path, 6).expect("opens again").1, expected, "{point}");
        }
    }

    #[test]
    fn failed_writes_are_reported() {
        let scenario = fail::FailScenario::setup();
        let (_dir, path) = store_path();
        let (store, mut expected) = Store::open(&path, 5).expect("opens");
        fail::cfg("agreement-before-commit", "1*return->off").expect("a failpoint");
        assert!(matches!(store.write(&ops()), Err(StoreError::Io(_))));
        drop(store);
        expected.boots += 1;
        expected.log.boots += 1;
        let (store, found) = Store::open(&path, 5).expect("opens again");
        assert_eq!(found, expected);
        fail::cfg("agreement-after-commit", "1*return->off").expect("a failpoint");
        assert!(matches!(store.write(&ops()), Err(StoreError::Io(_))));
        drop(store);
        expected.boots += 1;
        expected.log.boots += 1;
        apply(&mut expected, &ops());
        assert_eq!(Store::open(&path, 5).expect("opens again").1, expected);
        scenario.teardown();
    }
}
