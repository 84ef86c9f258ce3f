//! The relays: sockets and tasks that carry out what [`crate::datagrams`] and [`crate::stream`] say.
//!
//! A front's datagrams. Each front listens at an address of 127.0.0.0/8 of its own and is told to advertise its relay's
//! address, so that the others know only that. Whatever comes to the relay of front `x` from the address of front `y` is on
//! the way from `y` to `x`; it is sent on from the relay of `y`, so that `x` sees `y` at the address it knows. A relay
//! learns a front's port from what the front sends; a front that started again is found the same way.
//!
//! Connections. Each pair of who connects and who listens has a listener of its own.

use crate::datagrams::{Counters, Datagrams};
use crate::link::{Window, Windows};
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

/// Connections through one relay at once, at most; more are reset.
pub const MOST_CONNECTIONS: usize = 512;
/// Fronts of one net at most.
pub const MOST_FRONTS: usize = 64;
/// A relay waits so long for who listens to take a connection.
const CONNECT: Duration = Duration::from_secs(2);
/// Bytes read at once.
const PIECE: usize = 16 << 10;

/// Why a fault cannot be put on a link.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    /// There is no link of these two.
    #[error("no link from {0} to {1}")]
    NoLink(String, String),
    /// The fault is none of datagrams, or none of connections.
    #[error("{0} cannot be done to what passes from {1} to {2}")]
    Form(String, String, String),
    /// A link has too many.
    #[error("the link from {0} to {1} has too many faults")]
    Many(String, String),
}

/// One way of one link.
struct Way {
    windows: Mutex<Windows>,
    /// Of datagrams; a connection has its bytes with its task.
    datagrams: Option<Mutex<Datagrams>>,
    seed: u64,
}

struct Shared {
    begin: Instant,
    seed: u64,
    ways: Mutex<BTreeMap<(String, String), Arc<Way>>>,
    /// Faults were added or ended.
    changed: watch::Sender<u64>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    // A test that failed with a lock held has nothing half done in it.
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stable number of a pair of names (FNV-1a), for seeds.
fn number(from: &str, to: &str) -> u64 {
    let bytes = from.bytes().chain([0]).chain(to.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Shared {
    fn now_us(&self) -> u64 {
        u64::try_from(self.begin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    async fn until(&self, at_us: Option<u64>) {
        match at_us {
            Some(at) => sleep_until(self.begin + Duration::from_micros(at.min(1 << 45))).await,
            None => std::future::pending().await,
        }
    }

    fn way(&self, from: &str, to: &str, datagrams: bool) -> Arc<Way> {
        let seed = self.seed ^ number(from, to);
        let datagrams = datagrams.then(|| Mutex::new(Datagrams::new(seed)));
        let way = Arc::new(Way { windows: Mutex::default(), datagrams, seed });
        lock(&self.ways).insert((from.to_owned(), to.to_owned()), way.clone());
        way
    }
}

/// Where a front listens, and what it tells the others.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// For `listen` of `section exchange`: an address of its own, any port.
    pub listen: SocketAddr,
    /// For `advertise`, and for `peer` at the others: its relay.
    pub advertise: SocketAddr,
}

/// A relay for connections.
#[derive(Clone)]
pub struct Entrance {
    /// Connect here.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Entrance {
    /// Connections go there from now on; `None`: they are reset.
    pub fn lead(&self, target: Option<SocketAddr>) {
        *lock(&self.target) = target;
    }
}

/// Relays and the faults on them. All end with this.
pub struct Net {
    shared: Arc<Shared>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

impl Drop for Net {
    fn drop(&mut self) {
        lock(&self.tasks).iter().for_each(JoinHandle::abort);
    }
}

/// An address of 127.64.0.0/10 for each front of each net of this process, so that a port which one of them gave up is
/// never found again at another's address.
fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let n = std::process::id().wrapping_mul(257).wrapping_add(n) % (1 << 22);
    Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 64, 0, 0)) + n)
}

impl Net {
    /// No relay yet. `seed` is that of what chance does on all links.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let changed = watch::Sender::new(0);
        let shared = Shared { begin: Instant::now(), seed, ways: Mutex::default(), changed };
        Self { shared: Arc::new(shared), tasks: Mutex::default() }
    }

    /// Relays for the datagrams of fronts, each to each; to be called once.
    ///
    /// # Errors
    /// Where no socket can be had, or there are more than [`MOST_FRONTS`].
    pub async fn fronts(&self, names: &[String]) -> io::Result<Vec<Place>> {
        if names.len() > MOST_FRONTS {
            return Err(io::Error::other(format!("more than {MOST_FRONTS} fronts")));
        }
        let mut sockets = Vec::new();
        for _ in names {
            sockets.push(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        }
        let own: Vec<IpAddr> = names.iter().map(|_| IpAddr::V4(own_address())).collect();
        let advertise = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let hub = Arc::new(Hub { sockets, at: Mutex::new(vec![None; names.len()]), own: own.clone() });
        for (x, to) in names.iter().enumerate() {
            let way = |from: &String| self.shared.way(from, to, true);
            let ways = names.iter().map(|from| (from != to).then(|| way(from))).collect();
            let task = tokio::spawn(relay_datagrams(self.shared.clone(), hub.clone(), x, ways));
            lock(&self.tasks).push(task);
        }
        let place = |(ip, advertise)| Place { listen: SocketAddr::new(ip, 0), advertise };
        Ok(own.into_iter().zip(advertise).map(place).collect())
    }

    /// A relay for connections from one party to another, one for each pair.
    ///
    /// # Errors
    /// Where no socket can be had, or the pair has a link.
    pub async fn stream(&self, from: &str, to: &str, target: Option<SocketAddr>) -> io::Result<Entrance> {
        if lock(&self.shared.ways).contains_key(&(from.to_owned(), to.to_owned())) {
            return Err(io::Error::other(format!("there is a link from {from} to {to}")));
        }
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let entrance = Entrance { address: listener.local_addr()?, target: Arc::new(Mutex::new(target)) };
        let there = self.shared.way(from, to, false);
        let back = self.shared.way(to, from, false);
        let task = relay_connections(self.shared.clone(), listener, entrance.target.clone(), there, back);
        lock(&self.tasks).push(tokio::spawn(task));
        Ok(entrance)
    }

    /// Microseconds since these relays began.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.shared.now_us()
    }

    /// Puts a fault on its links; its time counts from `base_us`. With [`ANY`] it is put on all links that it fits.
    ///
    /// # Errors
    /// Where it fits none; nothing has changed then.
    pub fn fault(&self, fault: &Fault, base_us: u64) -> Result<(), Unfit> {
        let from_us = base_us.saturating_add(fault.at_ms.saturating_mul(1_000));
        let until_us = from_us.saturating_add(fault.for_ms.saturating_mul(1_000));
        let window = Window { from_us, until_us, kind: fault.kind };
        let (from, to) = (fault.from.as_str(), fault.to.as_str());
        let names = |has: &str, asked: &str| asked == ANY || asked == has;
        let ways = lock(&self.shared.ways);
        let meant: Vec<&Arc<Way>> = ways
            .iter()
            .filter(|((f, t), _)| {
                names(f, from) && names(t, to) || fault.both && names(f, to) && names(t, from)
            })
            .map(|(_, way)| way)
            .collect();
        let pair = || (from.to_owned(), to.to_owned());
        if meant.is_empty() {
            return Err(Unfit::NoLink(pair().0, pair().1));
        }
        let fits: Vec<&Arc<Way>> = meant
            .into_iter()
            .filter(|way| match way.datagrams {
                Some(_) => fault.kind.fits_datagrams(),
                None => fault.kind.fits_streams(),
            })
            .collect();
        if fits.is_empty() {
            return Err(Unfit::Form(format!("{:?}", fault.kind), pair().0, pair().1));
        }
        let now_us = self.now_us();
        let mut room = true;
        for way in fits {
            let mut windows = lock(&way.windows);
            windows.sweep(now_us);
            room &= windows.add(window);
        }
        drop(ways);
        self.shared.changed.send_modify(|n| *n += 1);
        if room { Ok(()) } else { Err(Unfit::Many(pair().0, pair().1)) }
    }

    /// Puts a fault on its links from now until [`Net::heal`].
    ///
    /// # Errors
    /// As [`Net::fault`].
    pub fn break_now(&self, from: &str, to: &str, both: bool, kind: Kind) -> Result<(), Unfit> {
        let for_ms = u64::MAX / 2_000_000;
        let fault = Fault { at_ms: 0, for_ms, from: from.into(), to: to.into(), both, kind };
        self.fault(&fault, self.now_us())
    }

    /// Ends all faults of all links, those to come too.
    pub fn heal(&self) {
        lock(&self.shared.ways).values().for_each(|w| lock(&w.windows).heal());
        self.shared.changed.send_modify(|n| *n += 1);
    }

    /// What became of datagrams from one front to another.
    #[must_use]
    pub fn counters(&self, from: &str, to: &str) -> Option<Counters> {
        let ways = lock(&self.shared.ways);
        ways.get(&(from.to_owned(), to.to_owned()))?.datagrams.as_ref().map(|d| lock(d).counters())
    }
}

// ---- datagrams ---------------------------------------------------------------------------------

/// The sockets of all fronts' relays, and where the fronts are.
struct Hub {
    sockets: Vec<UdpSocket>,
    /// Addresses from which each front sent last.
    at: Mutex<Vec<Option<SocketAddr>>>,
    own: Vec<IpAddr>,
}

/// Carries what comes for front `x`.
async fn relay_datagrams(shared: Arc<Shared>, hub: Arc<Hub>, x: usize, ways: Vec<Option<Arc<Way>>>) {
    let Some(socket) = hub.sockets.get(x) else { return };
    let mut changed = shared.changed.subscribe();
    let mut buffer = vec![0; 1 << 16];
    loop {
        let next = deliver(&shared, &hub, x, &ways);
        tokio::select! {
            got = socket.recv_from(&mut buffer) => {
                let Ok((n, from)) = got else { continue };
                // Whoever is none of the fronts has no business here.
                let Some(y) = hub.own.iter().position(|ip| *ip == from.ip()) else { continue };
                if let Some(at) = lock(&hub.at).get_mut(y) {
                    *at = Some(from);
                }
                let Some(Some(way)) = ways.get(y) else { continue };
                if let (Some(d), Some(datagram)) = (&way.datagrams, buffer.get(..n)) {
                    lock(d).offer(shared.now_us(), &lock(&way.windows), datagram.to_vec());
                }
            }
            () = shared.until(next) => {}
            heard = changed.changed() => if heard.is_err() { return },
        }
    }
}

/// Sends on what is due for front `x`; tells when the next is.
fn deliver(shared: &Shared, hub: &Hub, x: usize, ways: &[Option<Arc<Way>>]) -> Option<u64> {
    let to = lock(&hub.at).get(x).copied().flatten();
    let mut next: Option<u64> = None;
    for (socket, way) in hub.sockets.iter().zip(ways) {
        let Some((way, d)) = way.as_ref().and_then(|w| Some((w, w.datagrams.as_ref()?))) else { continue };
        let (mut d, windows) = (lock(d), lock(&way.windows));
        while let Some(datagram) = d.due(shared.now_us(), &windows) {
            if let Some(to) = to {
                // A full buffer loses datagrams here as anywhere else.
                let _ = socket.try_send_to(&datagram, to);
            }
        }
        next = next.into_iter().chain(d.next(&windows)).min();
    }
    next
}

// ---- connections -------------------------------------------------------------------------------

/// Lets go of a connection by a reset.
fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

async fn relay_connections(
    shared: Arc<Shared>,
    listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    there: Arc<Way>,
    back: Arc<Way>,
) {
    let (room, mut number) = (Arc::new(Semaphore::new(MOST_CONNECTIONS)), 0u64);
    let mut open = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = open.join_next() => continue,
        };
        let Ok((client, _)) = accepted else {
            // Out of descriptors, most likely; some may be free soon.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let at = *lock(&target);
        let (Ok(place), Some(at)) = (room.clone().try_acquire_owned(), at) else {
            reset(client);
            continue;
        };
        number += 1;
        let (shared, there, back) = (shared.clone(), there.clone(), back.clone());
        open.spawn(async move {
            carry(&shared, &there, &back, client, at, number).await;
            drop(place);
        });
    }
}

/// Carries one connection to its end.
async fn carry(shared: &Shared, there: &Way, back: &Way, client: TcpStream, at: SocketAddr, number: u64) {
    let connect = async {
        wait_for_cut(shared, there, back).await;
        let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // One that is given up half way is reset too.
        SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
        timeout(CONNECT, socket.connect(at)).await?
    };
    let server = tokio::select! {
        // While connections are reset nobody is asked for one.
        biased;
        () = until_reset(shared, there, back) => return reset(client),
        server = connect => server,
    };
    let Ok(mut server) = server else { return reset(client) };
    let _ = SockRef::from(&server).set_linger(None);
    let mut client = client;
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let broken = {
        let ((cr, cw), (sr, sw)) = (client.split(), server.split());
        let both = async {
            tokio::try_join!(pass(shared, there, number, cr, sw), pass(shared, back, number, sr, cw)).is_err()
        };
        tokio::select! {
            broken = both => broken,
            () = until_reset(shared, there, back) => true,
        }
    };
    if broken {
        reset(client);
        reset(server);
    }
}

/// Waits while no connection can be made, since one way is cut.
async fn wait_for_cut(shared: &Shared, there: &Way, back: &Way) {
    let mut changed = shared.changed.subscribe();
    loop {
        let now = shared.now_us();
        let cut = |w: &Way| lock(&w.windows).held_until(now, |k| k == Kind::Cut);
        let Some(until) = cut(there).into_iter().chain(cut(back)).max() else { return };
        tokio::select! {
            () = shared.until(Some(until)) => {}
            heard = changed.changed() => if heard.is_err() { return },
        }
    }
}

/// Waits until connections are reset.
async fn until_reset(shared: &Shared, there: &Way, back: &Way) {
    let mut changed = shared.changed.subscribe();
    loop {
        let now = shared.now_us();
        if lock(&there.windows).resets(now) || lock(&back.windows).resets(now) {
            return;
        }
        let next = |w: &Way| lock(&w.windows).next_change(now);
        let until = next(there).into_iter().chain(next(back)).min();
        tokio::select! {
            () = shared.until(until) => {}
            heard = changed.changed() => if heard.is_err() { return },
        }
    }
}

/// Carries one way of a connection to its end.
async fn pass(
    shared: &Shared,
    way: &Way,
    number: u64,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
) -> io::Result<()> {
    let mut stream = Stream::new(way.seed ^ number.rotate_left(32));
    let mut changed = shared.changed.subscribe();
    let mut buffer = vec![0; PIECE];
    loop {
        let step = stream.step(shared.now_us(), &lock(&way.windows));
        match step {
            Step::Write(bytes) => to.write_all(&bytes).await?,
            Step::End => {
                // Whoever has gone meanwhile is found out by the other way.
                let _ = to.shutdown().await;
                return Ok(());
            }
            Step::Wait(until) => {
                let room = stream.room().min(PIECE);
                let free = buffer.get_mut(..room).unwrap_or_default();
                tokio::select! {
                    got = from.read(free), if room > 0 => match got? {
                        0 => stream.end(),
                        n => stream.take(shared.now_us(), &lock(&way.windows), buffer.get(..n).unwrap_or_default()),
                    },
                    () = shared.until(until) => {}
                    heard = changed.changed() => if heard.is_err() { return Ok(()) },
                }
            }
        }
    }
}
