//! What the fleet agrees on, as a front carries it out: the voter's store on the disk, policies into the engine, the fence,
//! and operators' wishes. It decides nothing.

use crate::engine::types::Input;
use crate::shell::Shell;
use crate::spread::with;
use pepperhook_agreement::{Store, StoreError, StoreOp, StoredState};
use pepperhook_fleet::{AgreedNote, AgreedSettings, Force, Means};
use pepperhook_policy::{Answer, Ask, Policy};
use pepperhook_settings::{ClassSettings, Config, name_hash};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use tokio::sync::mpsc;
use tracing::{error, info, warn};

/// The file of a voter's promises, in `state-dir`.
const FILE: &str = "agreement.redb";
/// Writes that wait for the disk at most. A disk that is further behind counts as one that refuses.
const MOST_WRITES: usize = 1_024;
/// Wishes that are waited for at once at most.
const MOST_WAITING: usize = 64;
/// A proposal is sent again for so long, milliseconds.
const PROPOSE_MS: u64 = 10_000;

/// What the store is to do.
pub enum Job {
    /// Write a batch.
    Write(u64, Vec<StoreOp>),
    /// Put the file away and make another.
    Remake,
}

/// This front's side of the agreement, where it has one.
#[derive(Default)]
pub struct Agreed {
    jobs: Option<mpsc::Sender<Job>>,
    fenced: Cell<bool>,
    waiting: RefCell<HashMap<u128, Vec<mpsc::Sender<Answer>>>>,
}

/// A voter's store and where it lies.
pub struct Disk {
    store: Arc<Store>,
    path: PathBuf,
}

/// Opens a store. One that is torn or no store is put beside it under another name, and a new one made: this front is
/// another voter then, and cannot contradict what the former promised.
fn open(path: &Path) -> io::Result<(Store, StoredState)> {
    let draw = || rand::random::<u64>().max(1);
    match Store::open(path, draw()) {
        Err(StoreError::Invalid(why)) => {
            let away = put_away(path)?;
            warn!(event = "agreement-store-new", why, away = %away.display(), "its store could not be read");
            Store::open(path, draw())
        }
        opened => opened,
    }
    .map_err(|e| io::Error::other(format!("{}: {e}", path.display())))
}

/// Renames a file to the first free name beside it.
fn put_away(path: &Path) -> io::Result<PathBuf> {
    let name = |n: u32| path.with_extension(format!("away-{n}"));
    let away = (1..10_000).map(name).find(|p| !p.exists());
    let away = away.ok_or_else(|| io::Error::other("too many stores were put away"))?;
    std::fs::rename(path, &away)?;
    Ok(away)
}

/// What the fleet's part is told of the agreement, and the disk; nothing where settings do not name it.
///
/// # Errors
/// When the store cannot be opened.
pub fn prepare(config: &Config, run: u64) -> io::Result<Option<(AgreedSettings, Option<Disk>)>> {
    let Some(a) = &config.agreement else { return Ok(None) };
    let (me, ms) = (name_hash(&config.name), |t: u64| t / 1_000_000);
    let disk = match &config.state_dir {
        Some(dir) => {
            let path = dir.join(FILE);
            let (store, kept) = open(&path)?;
            Some((Disk { store: Arc::new(store), path }, kept))
        }
        None => None,
    };
    let (disk, kept) = disk.unzip();
    let mut voters: Vec<u64> = a.voters.iter().map(|v| name_hash(v)).collect();
    voters.sort_unstable();
    // The file of a voter is the seed, where the fleet has no policy yet.
    let seed = voters.contains(&me).then(|| Policy::from_config(config)).transpose();
    let seed = seed.map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e.to_string()))?;
    let settings = AgreedSettings {
        node: pepperhook_agreement::node::Settings {
            me,
            run,
            voters,
            lease_ms: ms(a.lease),
            renew_ms: ms(a.renew_interval),
            proposal_timeout_ms: PROPOSE_MS,
            seed: rand::random(),
        },
        kept,
        seed,
        patience_ms: ms(config.classes.iter().map(|c| c.patience).max().unwrap_or(0)),
        serve_unknown: a.serve_before_contact,
    };
    Ok(Some((settings, disk)))
}

impl Agreed {
    /// With a disk: the queue of what it is to do.
    pub fn new(disk: Option<&Disk>) -> (Self, Option<mpsc::Receiver<Job>>) {
        let (jobs, queue) = disk.map(|_| mpsc::channel(MOST_WRITES)).unzip();
        (Self { jobs, ..Self::default() }, queue)
    }

    /// Hands the disk something to do; false if it is too far behind.
    pub fn hand(&self, job: Job) -> bool {
        self.jobs.as_ref().is_some_and(|jobs| jobs.try_send(job).is_ok())
    }

    /// What came of an operator's wish goes to whoever waits for it.
    pub fn told(&self, key: u128, answer: &Answer) {
        info!(event = "policy-answer", answer = %answer, "a change of the policy was answered");
        let mut waiting = self.waiting.borrow_mut();
        let Some(who) = waiting.get_mut(&key) else { return };
        who.retain(|w| w.try_send(answer.clone()).is_ok());
        if who.is_empty() {
            waiting.remove(&key);
        }
    }

    /// Waits for what comes of a wish; `None` where too many wait.
    fn listen(&self, key: u128) -> Option<mpsc::Receiver<Answer>> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, who| {
            who.retain(|w| !w.is_closed());
            !who.is_empty()
        });
        if waiting.values().map(Vec::len).sum::<usize>() >= MOST_WAITING {
            return None;
        }
        // An answer that a change is accepted, and one that it is through.
        let (tell, told) = mpsc::channel(4);
        waiting.entry(key).or_default().push(tell);
        Some(told)
    }
}

/// Writes what voters promise, batch after batch, on a thread for such work.
pub async fn write(shell: Rc<Shell>, mut disk: Disk, mut jobs: mpsc::Receiver<Job>) {
    while let Some(job) = jobs.recv().await {
        match job {
            Job::Write(batch, ops) => {
                let store = disk.store.clone();
                let done = tokio::task::spawn_blocking(move || store.write(&ops)).await;
                let ok = match done {
                    Ok(Ok(())) => true,
                    Ok(Err(e)) => {
                        error!(event = "agreement-disk", %e, "this front votes no more in this run");
                        false
                    }
                    Err(_) => false,
                };
                with(&shell, |fleet, now_ms, out| fleet.written(now_ms, batch, ok, out));
            }
            Job::Remake => {
                let Disk { store, path } = disk;
                // Closed before its file is renamed.
                drop(store);
                let at = path.clone();
                let made = tokio::task::spawn_blocking(move || put_away(&at).and_then(|_| open(&at))).await;
                match made {
                    Ok(Ok((store, kept))) => {
                        disk = Disk { store: Arc::new(store), path };
                        with(&shell, |fleet, _, _| fleet.remade(kept));
                    }
                    Ok(Err(e)) => {
                        error!(event = "agreement-disk", %e, "no new store could be made: this front does not vote");
                        return;
                    }
                    Err(_) => return,
                }
            }
        }
    }
}

/// What the engine is told of a policy: what it decides by, its open classes and its tenants.
type Terms = (Box<pepperhook::Settings>, Vec<ClassSettings>, Vec<String>);

/// A policy laid over this front's file. A class that the policy has closed is left out: the engine takes nothing new of it.
fn terms(config: &Config, policy: &Policy) -> Result<Terms, String> {
    let mut over = policy.over(config)?;
    let open: Vec<bool> = over.classes.iter().map(|c| !c.closed).collect();
    let mut keep = open.iter();
    over.classes.retain(|_| keep.next().copied().unwrap_or(false));
    let mut keep = open.iter();
    over.decisions.classes.retain(|_| keep.next().copied().unwrap_or(false));
    Ok((Box::new(over.decisions), over.classes, over.tenants))
}

/// A policy that the fleet agreed on comes into force here.
pub fn in_force(shell: &Rc<Shell>, force: Force) {
    let Force { entry, version, step, policy } = force;
    match terms(&shell.config, &policy) {
        Ok((settings, classes, tenants)) => {
            info!(
                event = "policy-in-force",
                version, step, entry, "a policy that the fleet agreed on is in force"
            );
            shell.drive(Input::Policy { version: entry, settings, classes, tenants });
        }
        // It was asked before, so this is a fault of the program: what is not in force is never vouched for.
        Err(why) => {
            error!(event = "policy-stuck", version, step, entry, why, "this policy cannot be gone by")
        }
    }
}

/// The engine's side of what is agreed.
pub struct EngineMeans(pub Weak<Shell>);

impl Means for EngineMeans {
    fn fits(&self, policy: &Policy) -> Result<(), String> {
        let Some(shell) = self.0.upgrade() else { return Ok(()) };
        let (settings, classes, tenants) = terms(&shell.config, policy)?;
        shell.engine(|e, _| e.check_policy(&settings, &classes, &tenants)).map_err(|e| e.0)
    }

    fn decides_by(&self) -> Option<u64> {
        self.0.upgrade().and_then(|shell| shell.engine(|e, _| e.earliest_policy_version()))
    }
}

/// Before a set-up is taken, and at each look: the engine is told whether this front can know what the fleet agreed.
pub fn fence(shell: &Rc<Shell>) {
    if shell.config.agreement.is_none() {
        return;
    }
    let fenced = shell.spread.fenced(shell.fleet_time.now_ms());
    if shell.spread.agreed.fenced.replace(fenced) != fenced {
        shell.drive(Input::Fenced(fenced));
    }
}

/// For the log.
pub fn log(note: &AgreedNote) {
    use pepperhook_agreement::node::Note;
    match note {
        AgreedNote::Held(true) => {
            info!(event = "agreement-holds", "nothing newer takes effect without this front")
        }
        AgreedNote::Held(false) => {
            warn!(event = "agreement-hold-lost", "no majority of the voters answers: set-ups are refused");
        }
        AgreedNote::Stuck(why) => {
            warn!(
                event = "policy-stuck",
                why, "this front cannot go by what was decided: set-ups are refused"
            );
        }
        AgreedNote::Node(note @ Note::Forked { .. }) => {
            error!(
                event = "agreement-forked",
                ?note,
                "what this front has is not what was agreed: it is not used"
            );
        }
        AgreedNote::Node(note @ (Note::Disk | Note::Broken | Note::OldStore)) => {
            error!(event = "agreement-votes-no-more", ?note, "this front does not vote in this run");
        }
        AgreedNote::Node(note) => info!(event = "agreement", ?note, "a change in who votes"),
    }
}

// ---- what operators ask ------------------------------------------------------------------------

/// What is in force here and stands, as JSON.
pub fn shown(shell: &Shell) -> Option<serde_json::Value> {
    let now_ms = shell.fleet_time.now_ms();
    let (agreement, force, differs) = shell.spread.policy(now_ms, &shell.config)?;
    let mut shown = json!({"file-differs": differs, "agreement": agreement});
    if let Some((version, step, text)) = force {
        shown["version"] = version.into();
        shown["step"] = step.into();
        shown["text"] = text.into();
    }
    Some(shown)
}

/// A change is asked for, and what comes of it waited for: that it is accepted, or with `wait` that it is through or undone.
pub async fn ask(shell: &Rc<Shell>, ask: Ask, wait: bool) -> Option<Answer> {
    let mut told = shell.spread.agreed.listen(ask.key)?;
    with(shell, |fleet, now_ms, out| fleet.ask_policy(now_ms, ask, out));
    loop {
        match told.recv().await? {
            Answer::Accepted { .. } if wait => {}
            answer => return Some(answer),
        }
    }
}
