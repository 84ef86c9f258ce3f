//! The store: what was written is there, in one piece, or it is said that it is not.

use pepperhook_agreement::store::{Store, StoreError, StoreOp, StoredState};
use pepperhook_agreement::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fs;
use std::path::PathBuf;

fn place() -> (tempfile::TempDir, PathBuf) {
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

/// What a store should hold.
fn model(kept: &mut StoredState, ops: &[StoreOp]) {
    for op in ops.iter().cloned() {
        match op {
            StoreOp::Begin { config, snapshot } => {
                kept.log.promise.clear();
                kept.log.accepted.clear();
                kept.log.commands.clear();
                kept.log.decided = 0;
                (kept.config, kept.snapshot) = (Some(config), snapshot);
            }
            StoreOp::Promise(p) => kept.log.promise = p,
            StoreOp::Accepted(a) => kept.log.accepted = a,
            StoreOp::Decided(d) => kept.log.decided = d,
            StoreOp::Log { from, commands } => {
                kept.log.commands.truncate(from as usize);
                kept.log.commands.extend(commands);
            }
        }
    }
}

fn some_ops(rng: &mut StdRng, kept: &StoredState, n: u64) -> Vec<StoreOp> {
    let length = kept.log.commands.len() as u64;
    match rng.random_range(0..8) {
        0 => vec![StoreOp::Begin {
            config: config(n as u32),
            snapshot: vec![n as u8; rng.random_range(0..9000)],
        }],
        1 => vec![StoreOp::Promise(vec![n as u8; 4]), StoreOp::Accepted(vec![n as u8; 5])],
        2 => vec![StoreOp::Decided(length)],
        3 => {
            let from = rng.random_range(kept.log.decided..=length);
            vec![StoreOp::Log {
                from,
                commands: (0..rng.random_range(0..5)).map(|k| command(n + k)).collect(),
            }]
        }
        _ => vec![StoreOp::Promise(vec![n as u8]), StoreOp::Log { from: length, commands: vec![command(n)] }],
    }
}

#[test]
fn made_once_and_openings_are_counted() {
    let (_dir, path) = place();
    assert!(matches!(Store::open(&path, 0), Err(StoreError::ZeroId)));
    for boots in 1..5 {
        let (store, kept) = Store::open(&path, 70 + boots).expect("opens");
        assert_eq!((kept.store, kept.boots, kept.log.boots), (71, boots, boots));
        assert_eq!((kept.config, kept.log.commands.len()), (None, 0));
        assert!(matches!(Store::open(&path, 9), Err(StoreError::InUse)));
        drop(store);
    }
}

#[test]
fn what_was_written_is_there() {
    for seed in 0..6 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (_dir, path) = place();
        let (mut store, mut kept) = Store::open(&path, 5).expect("opens");
        for n in 0..60 {
            let ops = some_ops(&mut rng, &kept, n);
            store.write(&ops).expect("written");
            model(&mut kept, &ops);
            if rng.random_bool(0.2) {
                drop(store);
                let again = Store::open(&path, 6).expect("opens again");
                kept.boots += 1;
                kept.log.boots += 1;
                assert_eq!(again.1, kept);
                store = again.0;
            }
        }
    }
}

#[test]
fn a_foreign_file_is_said_and_left_as_it_is() {
    let (_dir, path) = place();
    let mut rng = StdRng::seed_from_u64(1);
    for length in [0, 1, 100, 5000, 100_000] {
        let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        fs::write(&path, &bytes).expect("written");
        let opened = Store::open(&path, 1).map(|o| o.1);
        assert!(matches!(opened, Err(StoreError::Invalid(_))), "{length}: {opened:?}");
        assert_eq!(fs::read(&path).expect("read"), bytes);
    }
    fs::remove_file(&path).expect("removed");
    redb::Database::create(&path).expect("another's base");
    assert!(matches!(Store::open(&path, 1), Err(StoreError::Invalid(_))));
}

/// Cut short or with bytes turned, a store is refused or is just what it was; it never comes up with less.
#[test]
fn a_torn_store_is_never_taken_for_a_whole_one_with_less() {
    let (_dir, path) = place();
    let mut rng = StdRng::seed_from_u64(2);
    let (store, mut kept) = Store::open(&path, 5).expect("opens");
    for n in 0..30 {
        let ops = some_ops(&mut rng, &kept, n);
        store.write(&ops).expect("written");
        model(&mut kept, &ops);
    }
    // As a killed process leaves it: redb looks then for the last commit that is whole.
    let whole = fs::read(&path).expect("read");
    drop(store);
    kept.boots += 1;
    kept.log.boots += 1;
    let (mut refused, mut same) = (0, 0);
    for round in 0..120 {
        let mut bytes = whole.clone();
        if round % 3 == 0 {
            bytes.truncate(rng.random_range(0..whole.len()));
        } else if round % 3 == 1 {
            // The head, where the commits are.
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
                assert_eq!(found, kept, "round {round}");
                same += 1;
            }
        }
    }
    println!("{refused} refused, {same} whole");
    assert!(refused > 20, "{refused} {same}");
}

#[test]
fn a_store_half_made_is_made_anew() {
    let (_dir, path) = place();
    fs::write(path.with_file_name("agreement.redb.new"), b"half").expect("written");
    assert_eq!(Store::open(&path, 3).expect("opens").1.store, 3);
}

#[test]
fn what_the_disk_does_not_let_be_made_is_said() {
    let (dir, path) = place();
    let missing = dir.path().join("none").join("agreement.redb");
    assert!(matches!(Store::open(&missing, 3), Err(StoreError::Io(_))));
    fs::create_dir(&path).expect("a directory");
    assert!(matches!(Store::open(&path, 3), Err(StoreError::Io(_) | StoreError::Invalid(_))));
}

/// Printed with `--nocapture`.
#[test]
fn what_a_write_and_an_opening_take() {
    let (_dir, path) = place();
    let (store, _) = Store::open(&path, 5).expect("opens");
    let began = std::time::Instant::now();
    for n in 0..50 {
        store.write(&[StoreOp::Log { from: n, commands: vec![command(n)] }]).expect("written");
    }
    let write = began.elapsed() / 50;
    drop(store);
    let began = std::time::Instant::now();
    Store::open(&path, 5).expect("opens");
    println!("a write {write:?}, an opening {:?}", began.elapsed());
}

#[cfg(feature = "failpoints")]
mod failpoints {
    use super::*;
    use std::process::{Command as Process, Stdio};

    const WHERE: &str = "AGREEMENT_STORE_OF_A_CHILD";

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
    fn child_that_dies_in_a_write() {
        let Ok(point) = std::env::var(WHERE) else { return };
        let (path, point) = point.split_once('|').expect("path|point");
        let (store, _) = Store::open(path.as_ref(), 1).expect("opens");
        fail::cfg(point, "return(abort)").expect("a point");
        let _ = store.write(&ops());
        unreachable!("it goes on");
    }

    #[test]
    fn killed_in_a_write() {
        for (point, there) in [("agreement-before-commit", false), ("agreement-after-commit", true)] {
            let (_dir, path) = place();
            let mut before = Store::open(&path, 5).expect("opens").1;
            let status = Process::new(std::env::current_exe().expect("this"))
                .args(["--ignored", "--exact", "failpoints::child_that_dies_in_a_write"])
                .env(WHERE, format!("{}|{point}", path.display()))
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .status()
                .expect("a child");
            assert_eq!(std::os::unix::process::ExitStatusExt::signal(&status), Some(6), "{point}: {status}");
            before.boots += 2;
            before.log.boots += 2;
            if there {
                model(&mut before, &ops());
            }
            assert_eq!(Store::open(&path, 6).expect("opens again").1, before, "{point}");
        }
    }

    #[test]
    fn a_disk_that_refuses() {
        let scenario = fail::FailScenario::setup();
        let (_dir, path) = place();
        let (store, mut kept) = Store::open(&path, 5).expect("opens");
        fail::cfg("agreement-before-commit", "1*return->off").expect("a point");
        assert!(matches!(store.write(&ops()), Err(StoreError::Io(_))));
        drop(store);
        kept.boots += 1;
        kept.log.boots += 1;
        let (store, found) = Store::open(&path, 5).expect("opens again");
        assert_eq!(found, kept);
        fail::cfg("agreement-after-commit", "1*return->off").expect("a point");
        assert!(matches!(store.write(&ops()), Err(StoreError::Io(_))));
        drop(store);
        kept.boots += 1;
        kept.log.boots += 1;
        model(&mut kept, &ops());
        assert_eq!(Store::open(&path, 5).expect("opens again").1, kept);
        scenario.teardown();
    }
}
