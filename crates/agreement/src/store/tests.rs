//! The store on a disk that loses power at any of its writes: what was not synced is there in part, torn, or not at
//! all.

use super::*;
use crate::types::{Key, Subject, What};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::{Arc, Mutex, PoisonError};

#[derive(Debug, Default)]
struct Platter {
    /// As synced.
    firm: Vec<u8>,
    /// As the program sees it.
    seen: Vec<u8>,
    /// Since the last sync: offset and bytes; a new length as `None`.
    loose: Vec<(u64, Option<Vec<u8>>)>,
    /// Writes until power fails.
    left: Option<u64>,
}

impl Platter {
    fn spend(&mut self) -> io::Result<()> {
        if let Some(left) = &mut self.left {
            *left = left.checked_sub(1).ok_or_else(|| io::Error::other("power failed"))?;
        }
        Ok(())
    }

    /// What is there after power failed: of each loose write, all, some, or nothing, whatever came of those before.
    fn after(&self, rng: &mut StdRng) -> Vec<u8> {
        let mut bytes = self.firm.clone();
        for (offset, what) in &self.loose {
            let at = usize::try_from(*offset).expect("small");
            match what {
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
struct Disk(Arc<Mutex<Platter>>);

impl Disk {
    fn of(bytes: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(Platter { firm: bytes.clone(), seen: bytes, ..Platter::default() })))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Platter> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.lock().seen.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let at = usize::try_from(offset).expect("small");
        self.lock()
            .seen
            .get(at..at + len)
            .map(<[u8]>::to_vec)
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut platter = self.lock();
        platter.spend()?;
        platter.seen.resize(usize::try_from(len).expect("small"), 0);
        platter.loose.push((len, None));
        Ok(())
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        let mut platter = self.lock();
        platter.spend()?;
        platter.loose.clear();
        platter.firm = platter.seen.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut platter = self.lock();
        platter.spend()?;
        let at = usize::try_from(offset).expect("small");
        let length = platter.seen.len().max(at + data.len());
        platter.seen.resize(length, 0);
        platter.seen[at..at + data.len()].copy_from_slice(data);
        platter.loose.push((offset, Some(data.to_vec())));
        Ok(())
    }
}

fn open(disk: &Disk) -> (Store, Kept) {
    let mut base = redb::Builder::new().create_with_backend(disk.clone()).expect("opens after power failed");
    assert!(base.check_integrity().expect("sound"), "it had to be mended");
    let kept = count(&base).expect("reads");
    (Store { base }, kept)
}

fn ops(n: u64, length: u64) -> Vec<Op> {
    let body = vec![n as u8; n as usize * 97 % 3000];
    let what = What::Put { subject: Subject { space: 1, number: n }, expects: 0, body };
    let command = Command { key: Key(n.into()), author: 1, what };
    let from = length - u64::from(length > 0 && n % 5 == 0);
    vec![Op::Promise(n.to_be_bytes().to_vec()), Op::Log { from, commands: vec![command] }]
}

/// Power fails at each write of a few transactions in turn: the store opens, with the last one that was confirmed, or
/// with the one that was under way, and with nothing in between.
#[test]
fn power_may_fail_at_any_write() {
    let disk = Disk::default();
    {
        let base = redb::Builder::new().create_with_backend(disk.clone()).expect("made");
        transact(&base, |meta, _| {
            meta.insert("format", FORMAT)?;
            meta.insert("store", 5_u64.to_be_bytes().as_slice())?;
            meta.insert("boots", 0_u64.to_be_bytes().as_slice())?;
            Ok(())
        })
        .expect("written");
        let (store, mut kept) = (Store { base }, KeptLog::default());
        for n in 1..8 {
            let ops = ops(n, kept.commands.len() as u64);
            store.write(&ops).expect("written");
            model(&mut kept, &ops);
        }
    }
    let whole = disk.lock().seen.clone();
    let (mut before, mut under_way, mut done) = (0, 0, false);
    // Each write with two draws of what is left of the loose ones.
    let mut turn = 0;
    while !done {
        let mut rng = StdRng::seed_from_u64(turn);
        let left = turn / 2;
        let disk = Disk::of(whole.clone());
        let (store, kept) = open(&disk);
        disk.lock().left = Some(left);
        let (mut firm, mut maybe) = (kept.log, None);
        for n in 20..24 {
            let ops = ops(n, firm.commands.len() as u64);
            let mut next = firm.clone();
            model(&mut next, &ops);
            if store.write(&ops).is_err() {
                maybe = Some(next);
                break;
            }
            firm = next;
        }
        done = maybe.is_none();
        drop(store);
        let after = Disk::of(disk.lock().after(&mut rng));
        let (_store, mut found) = open(&after);
        assert_eq!(found.boots, kept.boots + 1);
        found.log.boots = firm.boots;
        if found.log == firm {
            before += 1;
        } else {
            let mut maybe = maybe.expect("what was confirmed is there");
            maybe.boots = firm.boots;
            assert_eq!(found.log, maybe, "power failed after {left} writes");
            under_way += 1;
        }
        turn += 1;
    }
    println!("{before} with the last confirmed, {under_way} with the one under way");
    assert!(before > 10 && under_way > 0, "{before} {under_way}");
}

fn model(kept: &mut KeptLog, ops: &[Op]) {
    for op in ops.iter().cloned() {
        match op {
            Op::Promise(p) => kept.promise = p,
            Op::Log { from, commands } => {
                kept.commands.truncate(usize::try_from(from).expect("small"));
                kept.commands.extend(commands);
            }
            _ => unreachable!("not used here"),
        }
    }
}
