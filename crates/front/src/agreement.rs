//! I/O of the agreement between fronts: writes the voter's store, applies agreed policies to the engine, fences the engine
//! while the front cannot know what was agreed, and passes operators' requests on. The protocol itself is in
//! `pepperhook_agreement`.

use crate::engine::types::Input;
use crate::fleet_io::call_fleet;
use crate::shell::Shell;
use pepperhook_agreement::{Store, StoreError, StoreOp, StoredState};
use pepperhook_fleet::{ActivePolicy, AgreementNote, AgreementSettings, PolicyEngine};
use pepperhook_policy::{Answer, Policy, PolicyRequest};
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

/// Name of the voter's store in `state-dir`.
const STORE_FILE: &str = "agreement.redb";
/// Capacity of the store's queue, jobs. A write that finds it full counts as failed.
const MAX_QUEUED_WRITES: usize = 1_024;
/// Limit of operators' requests that wait for an answer at the same time.
const MAX_WAITING_OPERATORS: usize = 64;
/// Time for which a proposal is sent again, milliseconds.
const PROPOSAL_TIMEOUT_MS: u64 = 10_000;

/// A job of the task that writes the voter's store.
pub enum StoreJob {
    /// Write the operations of this batch.
    Write(u64, Vec<StoreOp>),
    /// Rename the file and create a new one.
    Replace,
}

/// State of the agreement's I/O; unused if the settings have no agreement.
#[derive(Default)]
pub struct AgreementIo {
    jobs: Option<mpsc::Sender<StoreJob>>,
    /// The engine's last known fence.
    fenced: Cell<bool>,
    /// Operators that wait for an answer, by the key of their request.
    waiting: RefCell<HashMap<u128, Vec<mpsc::Sender<Answer>>>>,
}

/// A voter's store and its path.
pub struct VoterStore {
    store: Arc<Store>,
    path: PathBuf,
}

/// Opens a store. A damaged file is renamed and replaced by a new store. The new store has an identity of its own: the
/// front then counts as another voter, and cannot contradict the promises in the lost one.
fn open(path: &Path) -> io::Result<(Store, StoredState)> {
    let random_identity = || rand::random::<u64>().max(1);
    match Store::open(path, random_identity()) {
        Err(StoreError::Invalid(reason)) => {
            let new_path = set_aside(path)?;
            warn!(
                event = "agreement-store-new",
                why = reason,
                away = %new_path.display(),
                "the voter's store was unreadable: it was renamed and a new one created"
            );
            Store::open(path, random_identity())
        }
        opened => opened,
    }
    .map_err(|e| io::Error::other(format!("{}: {e}", path.display())))
}

/// Renames a file to the first free name beside it.
fn set_aside(path: &Path) -> io::Result<PathBuf> {
    let numbered = |n: u32| path.with_extension(format!("away-{n}"));
    let new_path = (1..10_000).map(numbered).find(|p| !p.exists());
    let new_path = new_path.ok_or_else(|| {
        let shown = path.display();
        io::Error::other(format!("cannot rename {shown}: all names from .away-1 to .away-9999 are in use"))
    })?;
    std::fs::rename(path, &new_path)?;
    Ok(new_path)
}

/// Opens the voter's store and builds the settings of the agreement; `None` if the configuration has no agreement.
///
/// # Errors
/// If the store cannot be opened, or the configuration makes no valid policy.
pub fn prepare(config: &Config, run: u64) -> io::Result<Option<(AgreementSettings, Option<VoterStore>)>> {
    let Some(a) = &config.agreement else { return Ok(None) };
    let (me, ms) = (name_hash(&config.name), |ns: u64| ns / 1_000_000);
    let opened = match &config.state_dir {
        Some(dir) => {
            let path = dir.join(STORE_FILE);
            let (store, kept) = open(&path)?;
            Some((VoterStore { store: Arc::new(store), path }, kept))
        }
        None => None,
    };
    let (voter_store, kept) = opened.unzip();
    let mut voters: Vec<u64> = a.voters.iter().map(|v| name_hash(v)).collect();
    voters.sort_unstable();
    // A voter proposes the policy in its configuration file if the fleet has none yet.
    let seed = voters.contains(&me).then(|| Policy::from_config(config)).transpose();
    let seed = seed.map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e.to_string()))?;
    let settings = AgreementSettings {
        node: pepperhook_agreement::node::Settings {
            me,
            run,
            voters,
            lease_ms: ms(a.lease),
            renew_ms: ms(a.renew_interval),
            proposal_timeout_ms: PROPOSAL_TIMEOUT_MS,
            seed: rand::random(),
        },
        stored_state: kept,
        initial_policy: seed,
        patience_ms: ms(config.classes.iter().map(|c| c.patience).max().unwrap_or(0)),
        serve_before_contact: a.serve_before_contact,
    };
    Ok(Some((settings, voter_store)))
}

impl AgreementIo {
    /// Also returns the queue of the store's jobs, if there is a store.
    pub fn new(store: Option<&VoterStore>) -> (Self, Option<mpsc::Receiver<StoreJob>>) {
        let (jobs, queue) = store.map(|_| mpsc::channel(MAX_QUEUED_WRITES)).unzip();
        (Self { jobs, ..Self::default() }, queue)
    }

    /// Queues a job for the store; false if the queue is full or there is no store.
    pub fn enqueue(&self, job: StoreJob) -> bool {
        self.jobs.as_ref().is_some_and(|jobs| jobs.try_send(job).is_ok())
    }

    /// Passes an answer to the operators that wait for it.
    pub fn deliver_answer(&self, key: u128, answer: &Answer) {
        info!(event = "policy-answer", answer = %answer, "an operator's request about the policy was answered");
        let mut waiting = self.waiting.borrow_mut();
        let Some(receivers) = waiting.get_mut(&key) else { return };
        receivers.retain(|r| r.try_send(answer.clone()).is_ok());
        if receivers.is_empty() {
            waiting.remove(&key);
        }
    }

    /// Subscribes to the answers to a request; `None` if too many operators wait.
    fn subscribe(&self, key: u128) -> Option<mpsc::Receiver<Answer>> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, receivers| {
            receivers.retain(|r| !r.is_closed());
            !receivers.is_empty()
        });
        if waiting.values().map(Vec::len).sum::<usize>() >= MAX_WAITING_OPERATORS {
            return None;
        }
        // A change has up to two answers: accepted, then completed.
        let (sender, receiver) = mpsc::channel(4);
        waiting.entry(key).or_default().push(sender);
        Some(receiver)
    }
}

/// Runs the store's jobs in order, on the runtime's threads for blocking work.
pub async fn run_store(shell: Rc<Shell>, mut voter_store: VoterStore, mut jobs: mpsc::Receiver<StoreJob>) {
    while let Some(job) = jobs.recv().await {
        match job {
            StoreJob::Write(batch, ops) => {
                let store = voter_store.store.clone();
                let result = tokio::task::spawn_blocking(move || store.write(&ops)).await;
                let ok = match result {
                    Ok(Ok(())) => true,
                    Ok(Err(e)) => {
                        error!(
                            event = "agreement-disk", %e,
                            "a write to the voter's store failed: this front does not vote until restart"
                        );
                        false
                    }
                    Err(_) => false,
                };
                call_fleet(&shell, |fleet, now_ms, out| fleet.store_written(now_ms, batch, ok, out));
            }
            StoreJob::Replace => {
                let VoterStore { store, path } = voter_store;
                // The store must be closed before its file is renamed.
                drop(store);
                let old_path = path.clone();
                let replace = move || set_aside(&old_path).and_then(|_| open(&old_path));
                match tokio::task::spawn_blocking(replace).await {
                    Ok(Ok((store, kept))) => {
                        voter_store = VoterStore { store: Arc::new(store), path };
                        call_fleet(&shell, |fleet, _, _| fleet.store_recreated(kept));
                    }
                    Ok(Err(e)) => {
                        error!(
                            event = "agreement-disk", %e,
                            "no new voter's store could be created: this front does not vote"
                        );
                        return;
                    }
                    Err(_) => return,
                }
            }
        }
    }
}

/// A policy as the engine takes it: settings of the decision module, classes that are not closed, and tenants.
type MergedPolicy = (Box<pepperhook::Settings>, Vec<ClassSettings>, Vec<String>);

/// Applies a policy to this front's configuration. A class that the policy closes is left out, and the engine then accepts
/// no new sessions of it.
fn merge_policy(config: &Config, policy: &Policy) -> Result<MergedPolicy, String> {
    let mut merged = policy.apply_to(config)?;
    let open: Vec<bool> = merged.classes.iter().map(|c| !c.closed).collect();
    let mut keep = open.iter();
    merged.classes.retain(|_| keep.next().copied().unwrap_or(false));
    let mut keep = open.iter();
    merged.decisions.classes.retain(|_| keep.next().copied().unwrap_or(false));
    Ok((Box::new(merged.decisions), merged.classes, merged.tenants))
}

/// Puts an agreed policy into force in the engine.
pub fn apply_policy(shell: &Rc<Shell>, force: ActivePolicy) {
    let ActivePolicy { entry, version, step, policy } = force;
    match merge_policy(&shell.config, &policy) {
        Ok((settings, classes, tenants)) => {
            info!(event = "policy-in-force", version, step, entry, "an agreed policy is in force");
            shell.drive(Input::Policy { version: entry, settings, classes, tenants });
        }
        // `check_policy` has accepted the policy before, so this is a defect of the program. A policy that is not in force here is
        // never confirmed to the other fronts.
        Err(reason) => {
            error!(
                event = "policy-stuck",
                version,
                step,
                entry,
                why = reason,
                "an agreed policy cannot be applied here"
            )
        }
    }
}

/// Checks policies against this front's engine, for the agreement.
pub struct EnginePolicyCheck(pub Weak<Shell>);

impl PolicyEngine for EnginePolicyCheck {
    fn check_policy(&self, policy: &Policy) -> Result<(), String> {
        let Some(shell) = self.0.upgrade() else { return Ok(()) };
        let (settings, classes, tenants) = merge_policy(&shell.config, policy)?;
        shell.engine(|e, _| e.check_policy(&settings, &classes, &tenants)).map_err(|e| e.0)
    }

    fn oldest_entry_in_use(&self) -> Option<u64> {
        self.0.upgrade().and_then(|shell| shell.engine(|e, _| e.earliest_policy_version()))
    }
}

/// Fences the engine if this front may have missed an agreed change, and lifts the fence otherwise. Called before each
/// request and after each call of the fleet.
pub fn update_fence(shell: &Rc<Shell>) {
    if shell.config.agreement.is_none() {
        return;
    }
    let fenced = shell.fleet_io.fenced(shell.fleet_clock.now_ms());
    if shell.fleet_io.agreement.fenced.replace(fenced) != fenced {
        shell.drive(Input::Fenced(fenced));
    }
}

/// Logs a note of the agreement.
pub fn log_note(note: &AgreementNote) {
    use pepperhook_agreement::node::Note;
    match note {
        AgreementNote::Held(true) => {
            info!(
                event = "agreement-holds",
                "this front holds a lease: no later change takes effect without its confirmation"
            )
        }
        AgreementNote::Held(false) => {
            warn!(
                event = "agreement-hold-lost",
                "this front's lease expired and no majority of the voters renews it: set-ups are refused"
            );
        }
        AgreementNote::Stuck(reason) => {
            warn!(
                event = "policy-stuck",
                why = reason,
                "this front cannot apply the agreed policy: set-ups are refused"
            );
        }
        AgreementNote::Node(note @ Note::Forked { .. }) => {
            error!(
                event = "agreement-forked",
                ?note,
                "this front's log differs from the agreed one: it is not used"
            );
        }
        AgreementNote::Node(note @ (Note::Disk | Note::Broken | Note::OldStore)) => {
            error!(event = "agreement-votes-no-more", ?note, "this front does not vote until restart");
        }
        AgreementNote::Node(note) => info!(event = "agreement", ?note, "the state of the agreement changed"),
    }
}

// ---- operators' requests -----------------------------------------------------------------------

/// The policy in force, the state of the agreement, and where this front's file differs, as JSON.
pub fn policy_json(shell: &Shell) -> Option<serde_json::Value> {
    let now_ms = shell.fleet_clock.now_ms();
    let (agreement, force, differs) = shell.fleet_io.policy(now_ms, &shell.config)?;
    let mut json = json!({"file-differs": differs, "agreement": agreement});
    if let Some((version, step, text)) = force {
        json["version"] = version.into();
        json["step"] = step.into();
        json["text"] = text.into();
    }
    Some(json)
}

/// Requests a change of the policy and waits for the answer: that it is accepted or refused, or with `wait`, that it is
/// completed or undone. `None` if too many operators wait, or the front stops.
pub async fn request_policy_change(shell: &Rc<Shell>, ask: PolicyRequest, wait: bool) -> Option<Answer> {
    let mut answers = shell.fleet_io.agreement.subscribe(ask.key)?;
    call_fleet(shell, |fleet, now_ms, out| fleet.request_policy_change(now_ms, ask, out));
    loop {
        match answers.recv().await? {
            Answer::Accepted { .. } if wait => {}
            answer => return Some(answer),
        }
    }
}
