//! Announced peaks between fronts and over restarts: the exchange on a UDP socket, and its store.

use crate::engine::types::Input;
use crate::shell::Shell;
use pepperhook_exchange::{Counters, Exchange, Id, Keys, Merge, Out, Record, Settings, Store};
use pepperhook_peaks::{Announcement, Refused};
use pepperhook_settings::{Config, name_hash};
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tracing::{info, warn};

/// Space of announced peaks.
const PEAKS: u8 = 1;
/// A record outlasts its peak by this, so that a front whose clock is behind still finds it; milliseconds.
const OUTLAST_MS: u64 = 30_000;

/// The exchange, its store and its socket.
pub struct Spread {
    exchange: RefCell<Exchange>,
    store: Option<Arc<Store>>,
    socket: Option<Arc<UdpSocket>>,
    loss: f64,
    /// Warnings about datagrams come once in so many.
    warned: Cell<u64>,
}

/// Why an announcement was not taken.
#[derive(Debug)]
pub enum NotTaken {
    /// By the holds.
    Refused(Refused),
    /// A peak of this name stands; it must be amended.
    Exists,
    /// There is none of this name.
    Unknown,
    /// It is too long for a datagram.
    Long,
    /// It could not be kept.
    Store(String),
}

fn other(e: impl std::fmt::Display) -> io::Error {
    io::Error::other(e.to_string())
}

impl Spread {
    /// Opens the store and binds the socket, where the settings have them.
    pub async fn start(config: &Config, now_ms: u64) -> io::Result<(Self, Option<Arc<UdpSocket>>)> {
        let store = match &config.state_dir {
            Some(dir) => Some(Arc::new(Store::open(&dir.join("records.redb")).map_err(other)?)),
            None => None,
        };
        let run = store.as_ref().map_or(Ok(now_ms), |s| s.next_run(now_ms)).map_err(other)?;
        let kept = store.as_ref().map_or(Ok(Vec::new()), |s| s.records()).map_err(other)?;
        let x = config.exchange.as_ref();
        let socket = match x {
            Some(x) => Some(Arc::new(UdpSocket::bind(x.listen).await?)),
            None => None,
        };
        let settings = Settings {
            me: name_hash(&config.name),
            run,
            keys: x.map_or(Keys::new("", None), |x| Keys::new(&x.key, x.previous_key.as_deref())),
            peers: x.map_or(Vec::new(), |x| x.peers.clone()),
            period_ms: x.map_or(1_000, |x| x.period / 1_000_000),
            fanout: x.map_or(1, |x| x.fanout),
            seed: rand::random(),
        };
        let exchange = RefCell::new(Exchange::new(settings, kept, now_ms));
        let loss = x.map_or(0.0, |x| x.loss);
        Ok((Self { exchange, store, socket: socket.clone(), loss, warned: Cell::new(0) }, socket))
    }

    /// What was sent, taken and thrown away.
    pub fn counters(&self) -> Counters {
        self.exchange.borrow().counters().clone()
    }

    /// Announcements that are known, calls-off included.
    pub fn announcements(&self) -> Vec<Announcement> {
        let exchange = self.exchange.borrow();
        let peaks = exchange.records().iter().filter(|r| r.id.space == PEAKS);
        peaks.filter_map(|r| serde_json::from_slice(&r.body).ok()).collect()
    }

    /// The last version of a peak.
    pub fn announcement(&self, name: &str) -> Option<Announcement> {
        let exchange = self.exchange.borrow();
        exchange.records().get(&id(name)).and_then(|r| serde_json::from_slice(&r.body).ok())
    }

    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        let lost = self.loss > 0.0 && rand::rng().random_bool(self.loss);
        if let Some(socket) = self.socket.as_ref().filter(|_| !lost) {
            // A datagram that cannot be sent now is one that is lost; a later round makes up for it.
            let _ = socket.try_send_to(datagram, to);
        }
    }
}

fn id(name: &str) -> Id {
    Id { space: PEAKS, number: name_hash(name) }
}

/// Takes what the store kept back into force.
pub fn recall(shell: &Rc<Shell>) {
    let kept: Vec<Record> = shell.spread.exchange.borrow().records().iter().cloned().collect();
    for record in kept {
        heard(shell, &record);
    }
}

/// Puts a record that came, or was kept, into force.
fn heard(shell: &Rc<Shell>, record: &Record) {
    if record.id.space != PEAKS {
        return;
    }
    let said: Result<Announcement, _> = serde_json::from_slice(&record.body);
    let peak = match &said {
        Ok(said) if id(&said.name) == record.id => {
            shell.engine(|e, now| e.heard_peak(now, said)).map_err(|e| format!("{e:?}"))
        }
        Ok(_) => Err("its number is not its name's".to_owned()),
        Err(e) => Err(e.to_string()),
    };
    match peak {
        Ok(peak) => {
            info!(
                event = "peak-heard",
                name = peak.said.name,
                cancelled = peak.said.cancelled,
                version = record.version.counter,
                "a peak is in force"
            );
            shell.drive(Input::Peak(peak));
        }
        Err(why) => warn!(event = "peak-not-taken", why, "a peak of another front is not in force here"),
    }
}

/// Announces, amends or calls off a peak at this front: checked, kept, in force, then told.
///
/// # Errors
/// Why it is not taken; nothing has changed then.
pub async fn announce(shell: &Rc<Shell>, said: Announcement, amends: bool) -> Result<Announcement, NotTaken> {
    let spread = &shell.spread;
    let standing = spread.announcement(&said.name).filter(|a| !a.cancelled);
    match (&standing, amends) {
        // The same once more, as a client that heard no answer sends it, changes nothing.
        (Some(s), false) if *s == said => return Ok(said),
        (Some(_), false) => return Err(NotTaken::Exists),
        (None, true) => return Err(NotTaken::Unknown),
        _ => {}
    }
    let peak = shell.engine(|e, now| e.admit_peak(now, &said)).map_err(NotTaken::Refused)?;
    let body = serde_json::to_vec(&said).map_err(|e| NotTaken::Store(e.to_string()))?;
    if body.len() > pepperhook_exchange::MOST_BODY {
        return Err(NotTaken::Long);
    }
    let (now_ms, id) = (shell.clock.now() / 1_000_000, id(&said.name));
    let mut out = Vec::new();
    let merge =
        spread.exchange.borrow_mut().put(now_ms, id, said.end_ms.saturating_add(OUTLAST_MS), body, &mut out);
    if merge != Merge::Taken {
        return Err(NotTaken::Store("there is no room for more records".into()));
    }
    for o in &out {
        if let Out::Changed(record) = o {
            keep(spread.store.clone(), record.clone()).await.map_err(NotTaken::Store)?;
        }
    }
    shell.drive(Input::Peak(peak));
    for o in out {
        if let Out::Send(to, datagram) = o {
            spread.send(to, &datagram);
        }
    }
    Ok(said)
}

/// Writes a record on a thread of its own: a disk that is slow must not hold up set-ups.
async fn keep(store: Option<Arc<Store>>, record: Record) -> Result<(), String> {
    let Some(store) = store else { return Ok(()) };
    let kept = tokio::task::spawn_blocking(move || store.keep(&record).map_err(|e| e.to_string())).await;
    kept.map_err(|e| e.to_string())?
}

/// Runs the exchange on its socket.
pub async fn run(shell: Rc<Shell>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; 2_048];
    let mut ticks = tokio::time::interval(Duration::from_millis(50));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let mut out = Vec::new();
        tokio::select! {
            _ = ticks.tick() => {
                let now_ms = shell.clock.now() / 1_000_000;
                shell.spread.exchange.borrow_mut().tick(now_ms, &mut out);
            }
            got = socket.recv_from(&mut buffer) => {
                // A port of a peer that is down answers by an error on the next call.
                let Ok((n, from)) = got else { continue };
                let now_ms = shell.clock.now() / 1_000_000;
                let taken = shell.spread.exchange.borrow_mut().receive(now_ms, from, &buffer[..n], &mut out);
                if let Err(why) = taken {
                    let warned = shell.spread.warned.replace(shell.spread.warned.get() + 1);
                    if warned % 1_000 == 0 {
                        warn!(event = "datagram-rejected", why = ?why, "a datagram was thrown away");
                    }
                }
            }
        }
        for o in out {
            match o {
                Out::Send(to, datagram) => shell.spread.send(to, &datagram),
                Out::Changed(record) => {
                    heard(&shell, &record);
                    let store = shell.spread.store.clone();
                    tokio::task::spawn_local(async move {
                        if let Err(e) = keep(store, record).await {
                            warn!(event = "record-not-kept", e, "a restart would not know of it");
                        }
                    });
                }
            }
        }
    }
}
