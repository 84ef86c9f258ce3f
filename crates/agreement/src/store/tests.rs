//! Guards against stores that are lost or inconsistent after a power failure. A simulated disk loses power at
//! each write in turn; unsynced writes survive completely, partly or not at all.

use super::*;
use crate::types::{Key, Operation, Subject};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::{Arc, Mutex, PoisonError};

#[derive(Debug, Default)]
struct DiskState {
    /// Content as of the last sync.
    synced: Vec<u8>,
    /// Content that the program reads.
    visible: Vec<u8>,
    /// Writes since the last sync: offset and bytes, or the new length and `None`.
    unsynced: Vec<(u64, Option<Vec<u8>>)>,
    /// Number of writes until the power fails.
    writes_left: Option<u64>,
}

impl DiskState {
    fn count_write(&mut self) -> io::Result<()> {
        if let Some(writes_left) = &mut self.writes_left {
            *writes_left = writes_left.checked_sub(1).ok_or_else(|| io::Error::other("power failed"))?;
        }
        Ok(())
    }

    /// The content after a power failure: of each unsynced write all, some or none of the sectors,
    /// independently.
    fn after_power_loss(&self, rng: &mut StdRng) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        for (offset, data) in &self.unsynced {
            let at = usize::try_from(*offset).expect("small");
            match data {
                None => bytes.resize(at.max(bytes.len()), 0),
                Some(data) => {
                    let sectors = data.len().div_ceil(512);
                    let keep = rng.random_range(0..3);
                    for sector in 0..sectors {
                        let (from, to) = (sector * 512, data.len().min(sector * 512 + 512));
                        if keep == 2 || keep == 1 && rng.random() {
                            bytes.resize(bytes.len().max(at + to), 0);
                            bytes[at + from..at + to].copy_from_slice(&data[from..to]);
                        }
                    }
                }
            }
        }
        bytes
    }
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    fn of(bytes: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(DiskState {
            synced: bytes.clone(),
            visible: bytes,
            ..DiskState::default()
        })))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.lock().visible.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let at = usize::try_from(offset).expect("small");
        self.lock()
            .visible
            .get(at..at + len)
            .map(<[u8]>::to_vec)
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut platter = self.lock();
        platter.count_write()?;
        platter.visible.resize(usize::try_from(len).expect("small"), 0);
        platter.unsynced.push((len, None));
        Ok(())
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        let mut platter = self.lock();
        platter.count_write()?;
        platter.unsynced.clear();
        platter.synced = platter.visible.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut platter = self.lock();
        platter.count_write()?;
        let at = usize::try_from(offset).expect("small");
        let length = platter.visible.len().max(at + data.len());
        platter.visible.resize(length, 0);
        platter.visible[at..at + data.len()].copy_from_slice(data);
        platter.unsynced.push((offset, Some(data.to_vec())));
        Ok(())
    }
}

fn open(disk: &Disk) -> (Store, StoredState) {
    let mut database =
        redb::Builder::new().create_with_backend(disk.clone()).expect("opens after power failed");
    assert!(database.check_integrity().expect("sound"), "the database needed a repair");
    let kept = open_and_count(&database).expect("reads");
    (Store { database }, kept)
}

fn ops(n: u64, length: u64) -> Vec<StoreOp> {
    let body = vec![n as u8; n as usize * 97 % 3000];
    let operation = Operation::Put { subject: Subject { space: 1, number: n }, expects: 0, body };
    let command = Command { key: Key(n.into()), author: 1, operation };
    let from = length - u64::from(length > 0 && n % 5 == 0);
    vec![StoreOp::Promise(n.to_be_bytes().to_vec()), StoreOp::Log { from, commands: vec![command] }]
}

/// The power fails at each write of a few transactions in turn. Afterwards the store opens with the last
/// confirmed transaction or the one in progress, never with something in between.
#[test]
fn power_may_fail_at_any_write() {
    let disk = Disk::default();
    {
        let database = redb::Builder::new().create_with_backend(disk.clone()).expect("made");
        transact(&database, |meta, _| {
            meta.insert("format", FORMAT)?;
            meta.insert("store", 5_u64.to_be_bytes().as_slice())?;
            meta.insert("boots", 0_u64.to_be_bytes().as_slice())?;
            Ok(())
        })
        .expect("written");
        let (store, mut kept) = (Store { database }, StoredLog::default());
        for n in 1..8 {
            let ops = ops(n, kept.commands.len() as u64);
            store.write(&ops).expect("written");
            model(&mut kept, &ops);
        }
    }
    let whole = disk.lock().visible.clone();
    let (mut before, mut under_way, mut done) = (0, 0, false);
    // Each write is tried with two random selections of surviving writes.
    let mut turn = 0;
    while !done {
        let mut rng = StdRng::seed_from_u64(turn);
        let writes_left = turn / 2;
        let disk = Disk::of(whole.clone());
        let (store, kept) = open(&disk);
        disk.lock().writes_left = Some(writes_left);
        let (mut synced, mut maybe) = (kept.log, None);
        for n in 20..24 {
            let ops = ops(n, synced.commands.len() as u64);
            let mut next = synced.clone();
            model(&mut next, &ops);
            if store.write(&ops).is_err() {
                maybe = Some(next);
                break;
            }
            synced = next;
        }
        done = maybe.is_none();
        drop(store);
        let after_power_loss = Disk::of(disk.lock().after_power_loss(&mut rng));
        let (_store, mut found) = open(&after_power_loss);
        assert_eq!(found.boots, kept.boots + 1);
        found.log.boots = synced.boots;
        if found.log == synced {
            before += 1;
        } else {
            let mut maybe = maybe.expect("what was confirmed is there");
            maybe.boots = synced.boots;
            assert_eq!(found.log, maybe, "power failed after {writes_left} writes");
            under_way += 1;
        }
        turn += 1;
    }
    println!("{before} with the last confirmed, {under_way} with the one under way");
    assert!(before > 10 && under_way > 0, "{before} {under_way}");
}

fn model(kept: &mut StoredLog, ops: &[StoreOp]) {
    for op in ops.iter().cloned() {
        match op {
            StoreOp::Promise(p) => kept.promise = p,
            StoreOp::Log { from, commands } => {
                kept.commands.truncate(usize::try_from(from).expect("small"));
                kept.commands.extend(commands);
            }
            _ => unreachable!("not used here"),
        }
    }
}
