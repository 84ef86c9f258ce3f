//! The relays: sockets and tasks that apply [`crate::datagrams`] and [`crate::stream`] to real traffic.
//!
//! Datagrams of fronts: each front listens at its own address of 127.0.0.0/8 and is configured to advertise
//! its relay's address, which is the only one that the others know. A datagram that arrives at the relay of
//! front `x` from the address of front `y` is on the link from `y` to `x`. It is forwarded from the relay of
//! `y`, because `x` knows `y` by that address. A relay learns a front's port from the datagrams that the
//! front sends, also after the front has restarted.
//!
//! Connections: each pair of a connecting and a listening party has its own listener.

use crate::datagrams::{Counters, Datagrams};
use crate::link::{MAX_WINDOWS, Window, Windows};
use crate::schedule::{ANY, Fault, Kind};
use crate::stream::{Step, Stream};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Maximum number of concurrent connections through one relay; more are reset.
pub const MAX_CONNECTIONS: usize = 512;
/// Maximum number of fronts of one net.
pub const MAX_FRONTS: usize = 64;
/// A relay waits this long for the listening party to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 << 10;

/// Why a fault cannot be added to a link.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    /// No link connects these parties.
    #[error("no link from {0} to {1}")]
    NoLink(String, String),
    /// The fault does not apply to the link's traffic (datagrams or connections).
    #[error("the fault {0} does not apply to the traffic from {1} to {2}")]
    Form(String, String, String),
    /// The link has the maximum number of faults.
    #[error("a link from {0} to {1} has {max} faults already, the maximum", max = MAX_WINDOWS)]
    Many(String, String),
}

/// One direction of a link.
struct Direction {
    windows: Mutex<Windows>,
    /// For datagrams only; the bytes of a connection are with its task.
    datagrams: Option<Mutex<Datagrams>>,
    seed: u64,
}

struct Shared {
    started: Instant,
    seed: u64,
    /// By sender and receiver.
    directions: Mutex<BTreeMap<(String, String), Arc<Direction>>>,
    /// Signals that faults were added or removed.
    changed: watch::Sender<u64>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    // The data is consistent even if a test panicked while it held the lock.
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stable hash of a pair of names (FNV-1a), from which a link's seed is derived.
fn pair_hash(from: &str, to: &str) -> u64 {
    let bytes = from.bytes().chain([0]).chain(to.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Shared {
    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Sleeps until a time; forever with `None`.
    async fn sleep_until_us(&self, at_us: Option<u64>) {
        match at_us {
            Some(at) => sleep_until(self.started + Duration::from_micros(at.min(1 << 45))).await,
            None => std::future::pending().await,
        }
    }

    /// Registers one direction of a link.
    fn add_direction(&self, from: &str, to: &str, datagrams: bool) -> Arc<Direction> {
        let seed = self.seed ^ pair_hash(from, to);
        let datagrams = datagrams.then(|| Mutex::new(Datagrams::new(seed)));
        let direction = Arc::new(Direction { windows: Mutex::default(), datagrams, seed });
        lock(&self.directions).insert((from.to_owned(), to.to_owned()), direction.clone());
        direction
    }
}

/// Addresses of a front.
#[derive(Clone, Copy, Debug)]
pub struct FrontAddresses {
    /// For `listen` of `section exchange`: the front's own address, any port.
    pub listen: SocketAddr,
    /// For `advertise`, and for `peer` at the other fronts: the address of its relay.
    pub advertise: SocketAddr,
}

/// A relay for connections.
#[derive(Clone)]
pub struct StreamRelay {
    /// Address to connect to.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl StreamRelay {
    /// Sets the address to which new connections go; with `None` they are reset.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *lock(&self.target) = target;
    }
}

/// Relays with their faults. All tasks end when this is dropped.
pub struct Net {
    shared: Arc<Shared>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Net {
    fn drop(&mut self) {
        lock(&self.tasks).iter().for_each(JoinHandle::abort);
    }
}

/// A new address of 127.64.0.0/10 for each front of each net of this process. A port that one front has
/// closed is therefore never reused at the address of another.
fn new_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let n = std::process::id().wrapping_mul(257).wrapping_add(n) % (1 << 22);
    Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 64, 0, 0)) + n)
}

impl Net {
    /// Creates a net without relays. The random effects on all links are drawn from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let changed = watch::Sender::new(0);
        let shared = Shared { started: Instant::now(), seed, directions: Mutex::default(), changed };
        Self { shared: Arc::new(shared), tasks: Mutex::default() }
    }

    /// Starts relays for the datagrams between all fronts. To be called once.
    ///
    /// # Errors
    /// If a socket cannot be opened, or there are more than [`MAX_FRONTS`] fronts.
    pub async fn fronts(&self, names: &[String]) -> io::Result<Vec<FrontAddresses>> {
        if names.len() > MAX_FRONTS {
            return Err(io::Error::other(format!("{} fronts, expected at most {MAX_FRONTS}", names.len())));
        }
        let mut sockets = Vec::new();
        for _ in names {
            sockets.push(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        }
        let own: Vec<IpAddr> = names.iter().map(|_| IpAddr::V4(new_address())).collect();
        let advertise = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let sockets = Arc::new(RelaySockets {
            sockets,
            last_from: Mutex::new(vec![None; names.len()]),
            own: own.clone(),
        });
        for (x, to) in names.iter().enumerate() {
            let direction = |from: &String| self.shared.add_direction(from, to, true);
            let directions = names.iter().map(|from| (from != to).then(|| direction(from))).collect();
            let task = tokio::spawn(relay_datagrams(self.shared.clone(), sockets.clone(), x, directions));
            lock(&self.tasks).push(task);
        }
        let addresses = |(ip, advertise)| FrontAddresses { listen: SocketAddr::new(ip, 0), advertise };
        Ok(own.into_iter().zip(advertise).map(addresses).collect())
    }

    /// Starts a relay for connections from one party to another; there is one for each pair.
    ///
    /// # Errors
    /// If a socket cannot be opened, or the pair has a link already.
    pub async fn stream(&self, from: &str, to: &str, target: Option<SocketAddr>) -> io::Result<StreamRelay> {
        if lock(&self.shared.directions).contains_key(&(from.to_owned(), to.to_owned())) {
            return Err(io::Error::other(format!("there is a link from {from} to {to} already")));
        }
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let relay = StreamRelay { address: listener.local_addr()?, target: Arc::new(Mutex::new(target)) };
        let forward = self.shared.add_direction(from, to, false);
        let backward = self.shared.add_direction(to, from, false);
        let task = relay_connections(self.shared.clone(), listener, relay.target.clone(), forward, backward);
        lock(&self.tasks).push(tokio::spawn(task));
        Ok(relay)
    }

    /// Microseconds since this net was created.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.shared.now_us()
    }

    /// Adds a fault to its links; its times count from `base_us`. With [`ANY`] it is added to all links that
    /// it applies to.
    ///
    /// # Errors
    /// If it applies to no link, in which case nothing has changed, or if a link has too many faults.
    pub fn add_fault(&self, fault: &Fault, base_us: u64) -> Result<(), Unfit> {
        let from_us = base_us.saturating_add(fault.at_ms.saturating_mul(1_000));
        let until_us = from_us.saturating_add(fault.for_ms.saturating_mul(1_000));
        let window = Window { from_us, until_us, kind: fault.kind };
        let (from, to) = (fault.from.as_str(), fault.to.as_str());
        let matches = |name: &str, pattern: &str| pattern == ANY || pattern == name;
        let directions = lock(&self.shared.directions);
        let matching: Vec<&Arc<Direction>> = directions
            .iter()
            .filter(|((f, t), _)| {
                matches(f, from) && matches(t, to) || fault.both && matches(f, to) && matches(t, from)
            })
            .map(|(_, direction)| direction)
            .collect();
        let pair = || (from.to_owned(), to.to_owned());
        if matching.is_empty() {
            return Err(Unfit::NoLink(pair().0, pair().1));
        }
        let applicable: Vec<&Arc<Direction>> = matching
            .into_iter()
            .filter(|direction| match direction.datagrams {
                Some(_) => fault.kind.fits_datagrams(),
                None => fault.kind.fits_streams(),
            })
            .collect();
        if applicable.is_empty() {
            return Err(Unfit::Form(format!("{:?}", fault.kind), pair().0, pair().1));
        }
        let now_us = self.now_us();
        let mut has_room = true;
        for direction in applicable {
            let mut windows = lock(&direction.windows);
            windows.remove_expired(now_us);
            has_room &= windows.add(window);
        }
        drop(directions);
        self.shared.changed.send_modify(|n| *n += 1);
        if has_room { Ok(()) } else { Err(Unfit::Many(pair().0, pair().1)) }
    }

    /// Adds a fault to its links from now until [`Net::heal`].
    ///
    /// # Errors
    /// As [`Net::add_fault`].
    pub fn add_fault_now(&self, from: &str, to: &str, both: bool, kind: Kind) -> Result<(), Unfit> {
        let for_ms = u64::MAX / 2_000_000;
        let fault = Fault { at_ms: 0, for_ms, from: from.into(), to: to.into(), both, kind };
        self.add_fault(&fault, self.now_us())
    }

    /// Removes all faults of all links, including future ones.
    pub fn heal(&self) {
        lock(&self.shared.directions).values().for_each(|d| lock(&d.windows).heal());
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// Counters of the datagrams from one front to another.
    #[must_use]
    pub fn counters(&self, from: &str, to: &str) -> Option<Counters> {
        let directions = lock(&self.shared.directions);
        directions.get(&(from.to_owned(), to.to_owned()))?.datagrams.as_ref().map(|d| lock(d).counters())
    }
}

// ---- datagrams ---------------------------------------------------------------------------------

/// Sockets of all fronts' relays, and the addresses of the fronts.
struct RelaySockets {
    sockets: Vec<UdpSocket>,
    /// Address from which each front sent last.
    last_from: Mutex<Vec<Option<SocketAddr>>>,
    /// Address at which each front listens.
    own: Vec<IpAddr>,
}

/// Relays the datagrams to front `x`.
async fn relay_datagrams(
    shared: Arc<Shared>,
    relays: Arc<RelaySockets>,
    x: usize,
    directions: Vec<Option<Arc<Direction>>>,
) {
    let Some(socket) = relays.sockets.get(x) else { return };
    let mut changed = shared.changed.subscribe();
    let mut buffer = vec![0; 1 << 16];
    loop {
        let next = deliver(&shared, &relays, x, &directions);
        tokio::select! {
            got = socket.recv_from(&mut buffer) => {
                let Ok((n, from)) = got else { continue };
                // Datagrams from other senders than the fronts are dropped.
                let Some(y) = relays.own.iter().position(|ip| *ip == from.ip()) else { continue };
                if let Some(last_from) = lock(&relays.last_from).get_mut(y) {
                    *last_from = Some(from);
                }
                let Some(Some(direction)) = directions.get(y) else { continue };
                if let (Some(d), Some(datagram)) = (&direction.datagrams, buffer.get(..n)) {
                    lock(d).offer(shared.now_us(), &lock(&direction.windows), datagram.to_vec());
                }
            }
            () = shared.sleep_until_us(next) => {}
            result = changed.changed() => if result.is_err() { return },
        }
    }
}

/// Forwards the datagrams to front `x` that are due; returns when the next one is.
fn deliver(
    shared: &Shared,
    relays: &RelaySockets,
    x: usize,
    directions: &[Option<Arc<Direction>>],
) -> Option<u64> {
    let to = lock(&relays.last_from).get(x).copied().flatten();
    let mut next: Option<u64> = None;
    for (socket, direction) in relays.sockets.iter().zip(directions) {
        let Some((direction, datagrams)) = direction.as_ref().and_then(|d| Some((d, d.datagrams.as_ref()?)))
        else {
            continue;
        };
        let (mut datagrams, windows) = (lock(datagrams), lock(&direction.windows));
        while let Some(datagram) = datagrams.due(shared.now_us(), &windows) {
            if let Some(to) = to {
                // A full socket buffer loses datagrams, as on a real network.
                let _ = socket.try_send_to(&datagram, to);
            }
        }
        next = next.into_iter().chain(datagrams.next_due_us(&windows)).min();
    }
    next
}

// ---- connections -------------------------------------------------------------------------------

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Accepts connections and relays them to the target.
async fn relay_connections(
    shared: Arc<Shared>,
    listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    forward: Arc<Direction>,
    backward: Arc<Direction>,
) {
    let (permits, mut number) = (Arc::new(Semaphore::new(MAX_CONNECTIONS)), 0u64);
    let mut open = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = open.join_next() => continue,
        };
        let Ok((client, _)) = accepted else {
            // Most likely out of file descriptors; some may become free soon.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let at = *lock(&target);
        let (Ok(permit), Some(at)) = (permits.clone().try_acquire_owned(), at) else {
            reset(client);
            continue;
        };
        number += 1;
        let (shared, forward, backward) = (shared.clone(), forward.clone(), backward.clone());
        open.spawn(async move {
            relay_connection(&shared, &forward, &backward, client, at, number).await;
            drop(permit);
        });
    }
}

/// Relays one connection until it ends.
async fn relay_connection(
    shared: &Shared,
    forward: &Direction,
    backward: &Direction,
    client: TcpStream,
    at: SocketAddr,
    number: u64,
) {
    let connect = async {
        wait_while_cut(shared, forward, backward).await;
        let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // A connection that is abandoned while it is being established is reset too.
        SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
        timeout(CONNECT_TIMEOUT, socket.connect(at)).await?
    };
    let server = tokio::select! {
        // While connections are reset, none is opened to the target.
        biased;
        () = until_reset(shared, forward, backward) => return reset(client),
        server = connect => server,
    };
    let Ok(mut server) = server else { return reset(client) };
    let _ = SockRef::from(&server).set_linger(None);
    let mut client = client;
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let broken = {
        let ((cr, cw), (sr, sw)) = (client.split(), server.split());
        let both = async {
            tokio::try_join!(
                relay_bytes(shared, forward, number, cr, sw),
                relay_bytes(shared, backward, number, sr, cw)
            )
            .is_err()
        };
        tokio::select! {
            broken = both => broken,
            () = until_reset(shared, forward, backward) => true,
        }
    };
    if broken {
        reset(client);
        reset(server);
    }
}

/// Waits while a direction is cut, which prevents new connections.
async fn wait_while_cut(shared: &Shared, forward: &Direction, backward: &Direction) {
    let mut changed = shared.changed.subscribe();
    loop {
        let now = shared.now_us();
        let cut = |d: &Direction| lock(&d.windows).blocked_until(now, |k| k == Kind::Cut);
        let Some(until) = cut(forward).into_iter().chain(cut(backward)).max() else { return };
        tokio::select! {
            () = shared.sleep_until_us(Some(until)) => {}
            result = changed.changed() => if result.is_err() { return },
        }
    }
}

/// Waits until connections are reset.
async fn until_reset(shared: &Shared, forward: &Direction, backward: &Direction) {
    let mut changed = shared.changed.subscribe();
    loop {
        let now = shared.now_us();
        if lock(&forward.windows).is_reset(now) || lock(&backward.windows).is_reset(now) {
            return;
        }
        let next = |d: &Direction| lock(&d.windows).next_change(now);
        let until = next(forward).into_iter().chain(next(backward)).min();
        tokio::select! {
            () = shared.sleep_until_us(until) => {}
            result = changed.changed() => if result.is_err() { return },
        }
    }
}

/// Relays one direction of a connection until it ends.
async fn relay_bytes(
    shared: &Shared,
    direction: &Direction,
    number: u64,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
) -> io::Result<()> {
    let mut stream = Stream::new(direction.seed ^ number.rotate_left(32));
    let mut changed = shared.changed.subscribe();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let step = stream.step(shared.now_us(), &lock(&direction.windows));
        match step {
            Step::Write(bytes) => to.write_all(&bytes).await?,
            Step::End => {
                // If the receiver has closed meanwhile, the other direction detects it.
                let _ = to.shutdown().await;
                return Ok(());
            }
            Step::Wait(until) => {
                let room = stream.room().min(READ_BYTES);
                let free = buffer.get_mut(..room).unwrap_or_default();
                tokio::select! {
                    got = from.read(free), if room > 0 => match got? {
                        0 => stream.end(),
                        n => {
                            let bytes = buffer.get(..n).unwrap_or_default();
                            stream.receive(shared.now_us(), &lock(&direction.windows), bytes);
                        }
                    },
                    () = shared.sleep_until_us(until) => {}
                    result = changed.changed() => if result.is_err() { return Ok(()) },
                }
            }
        }
    }
}
