//! Scripted viewers: they ask, play, come again and leave, and write down what they saw on their sockets.

use crate::day::ViewerSettings;
use crate::wire::{Connection, HttpResponse, ReadError};
use pepperhook_playout::record::{Event, Recorder};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// A front as viewers know it.
#[derive(Clone, Debug)]
pub struct FrontEndpoint {
    /// Its name.
    pub name: String,
    /// Where it listens; `None` while it is down.
    pub address: Option<SocketAddr>,
}

/// What all viewers of a run share.
pub struct ViewerPool {
    /// How they behave.
    pub crowd: ViewerSettings,
    /// Class of their sessions, for the record.
    pub class: String,
    /// The fronts.
    pub fronts: RefCell<Vec<FrontEndpoint>>,
    /// Where they write.
    pub recorder: Recorder,
    /// Requests so far; each has a number.
    pub requests: Cell<u64>,
    /// Sessions that play now.
    pub playing: Cell<i64>,
    /// Answers by status.
    pub statuses: RefCell<std::collections::BTreeMap<u16, u64>>,
}

/// The offer that a viewer sends; its `o=` line names the request. Written here anew, so that the viewers
/// share nothing with what they ask.
#[must_use]
pub fn offer(request: u64) -> String {
    let mut out =
        format!("v=0\r\no=viewer {request} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\n");
    out += "m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\na=mid:0\r\na=recvonly\r\na=rtcp-mux\r\n";
    out += &format!("a=ice-ufrag:v{request:06}\r\na=ice-pwd:0123456789012345678901\r\na=setup:actpass\r\n");
    out += &format!("a=fingerprint:sha-256 {}\r\na=rtpmap:96 VP8/90000\r\n", ["AB"; 32].join(":"));
    out
}

/// Who asks for what.
#[derive(Clone)]
struct Viewer {
    n: u64,
    title: u32,
    path: String,
}

/// How one try went on.
enum Then {
    /// It is over for this viewer.
    Done,
    /// The viewer may come again after this time.
    Again(Duration),
}

impl ViewerPool {
    /// An audience that knows these fronts.
    #[must_use]
    pub fn new(
        crowd: ViewerSettings,
        class: &str,
        fronts: Vec<FrontEndpoint>,
        recorder: Recorder,
    ) -> Rc<Self> {
        Rc::new(Self {
            crowd,
            class: class.into(),
            fronts: RefCell::new(fronts),
            recorder,
            requests: Cell::new(0),
            playing: Cell::new(0),
            statuses: RefCell::default(),
        })
    }

    /// Viewer `n` comes for a title and stays until it is done with it; five tries at most.
    pub async fn run_viewer(self: Rc<Self>, n: u64, seed: u64, title: u32, tenant: Option<usize>) {
        let mut rng = StdRng::seed_from_u64(seed ^ n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let (low, high) = self.crowd.plays_s;
        let mut left = Duration::from_secs_f64(rng.random_range(low..=high));
        let top: u8 = if rng.random_bool(0.25) { 2 } else { 4 };
        let tenant = tenant.map_or(String::new(), |t| format!("&tenant=tenant-{t}"));
        let viewer = Viewer { n, title, path: format!("/whep/title-{title}?viewer=v{n}&top={top}{tenant}") };
        for _ in 0..5 {
            let began = Instant::now();
            match self.one_try(&viewer, left, &mut rng).await {
                Then::Done => return,
                Then::Again(_) if !rng.random_bool(self.crowd.returns) => return,
                Then::Again(pause) => {
                    sleep(pause + Duration::from_millis(rng.random_range(50..400))).await;
                    left = left.saturating_sub(began.elapsed());
                    if left < Duration::from_millis(500) {
                        return;
                    }
                }
            }
        }
    }

    fn number(&self) -> u64 {
        self.requests.set(self.requests.get() + 1);
        self.requests.get()
    }

    async fn one_try(self: &Rc<Self>, viewer: &Viewer, left: Duration, rng: &mut StdRng) -> Then {
        let front = self.fronts.borrow().choose(rng).cloned();
        let Some(FrontEndpoint { name, address: Some(address) }) = front else {
            return Then::Again(Duration::from_millis(300));
        };
        let Ok(mut connection) = Connection::open(address).await else {
            return Then::Again(Duration::from_millis(300));
        };
        let request = self.number();
        if rng.random_bool(self.crowd.impatient) {
            let wait = Duration::from_millis(rng.random_range(1..40));
            self.ask(&mut connection, request, viewer, &name, &offer(request)).await.ok();
            sleep(wait).await;
            self.recorder.write(Event::ViewerLeft { request });
            return Then::Done;
        }
        if rng.random_bool(self.crowd.twice) {
            // The same request once more on another connection, while the first one waits.
            let (audience, viewer, name, offer) =
                (self.clone(), viewer.clone(), name.clone(), offer(request));
            let twin = self.number();
            tokio::task::spawn_local(async move {
                let Ok(mut second) = Connection::open(address).await else { return };
                if audience.ask(&mut second, twin, &viewer, &name, &offer).await.is_ok() {
                    let _ = audience.answer(&mut second, twin).await;
                }
            });
        }
        if self.ask(&mut connection, request, viewer, &name, &offer(request)).await.is_err() {
            self.recorder.write(Event::ConnectionLost { request });
            return Then::Again(Duration::from_millis(300));
        }
        let Ok(reply) = self.answer(&mut connection, request).await else {
            return Then::Again(Duration::from_millis(500));
        };
        match reply.status {
            201 => self.play(connection, request, address, &reply, left).await,
            503 | 409 => {
                let advised = reply.header("retry-after").and_then(|v| v.parse::<f64>().ok()).unwrap_or(1.0);
                let extra = connection.read_unsolicited(Instant::now() + Duration::from_millis(50)).await;
                self.extra(request, extra);
                Then::Again(Duration::from_secs_f64(advised.min(2.0)))
            }
            _ => Then::Again(Duration::from_millis(700)),
        }
    }

    async fn ask(
        &self,
        connection: &mut Connection,
        request: u64,
        viewer: &Viewer,
        front: &str,
        offer: &str,
    ) -> Result<(), ReadError> {
        let title = format!("title-{}", viewer.title);
        // The offer's `o=` line is what a node sees of the request; a copy of a request has the first's.
        let origin = offer.split("o=").nth(1).map(|o| o.split(' ').take(2).collect::<Vec<_>>().join(" "));
        self.recorder.write(Event::RequestSent {
            request,
            session: format!("v{}/{title}", viewer.n),
            origin: origin.unwrap_or_default(),
            title: title.clone(),
            class: self.class.clone(),
            front: front.into(),
        });
        connection.send("POST", &viewer.path, &[("content-type", "application/sdp")], offer.as_bytes()).await
    }

    async fn answer(&self, connection: &mut Connection, request: u64) -> Result<HttpResponse, ReadError> {
        let patience = Duration::from_secs_f64(self.crowd.patience_s);
        let reply = connection.read_response(Instant::now() + patience).await;
        match &reply {
            Ok(r) => {
                *self.statuses.borrow_mut().entry(r.status).or_default() += 1;
                let retry_after = r.header("retry-after").and_then(|v| v.parse().ok());
                self.recorder.write(Event::ResponseReceived { request, status: r.status, retry_after });
                self.under(request, r);
            }
            Err(ReadError::Timeout) => self.recorder.write(Event::TimedOut { request }),
            Err(_) => self.recorder.write(Event::ConnectionLost { request }),
        }
        reply
    }

    /// Writes down what an answer tells of the agreed policy; nothing where fronts agree on none.
    fn under(&self, request: u64, reply: &HttpResponse) {
        let problem: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        let entry = reply.header("pepperhook-policy").and_then(|v| v.parse().ok());
        let entry = entry.or_else(|| problem["policy"].as_u64());
        let problem_type =
            problem["type"].as_str().unwrap_or("").rsplit([':', '/']).next().unwrap_or("").to_owned();
        if entry.is_some() || problem_type == "fenced" {
            self.recorder.write(Event::PolicyReported { request, entry, problem_type });
        }
    }

    fn extra(&self, request: u64, bytes: usize) {
        if bytes > 0 {
            self.recorder.write(Event::UnexpectedBytes { request, bytes });
        }
    }

    /// Plays until the time is up, the front moves the session or the connection breaks.
    async fn play(
        self: &Rc<Self>,
        mut connection: Connection,
        request: u64,
        front: SocketAddr,
        reply: &HttpResponse,
        left: Duration,
    ) -> Then {
        let Some(session) = reply.header("location").map(str::to_owned) else {
            self.extra(request, 1);
            return Then::Done;
        };
        self.playing.set(self.playing.get() + 1);
        let until = Instant::now() + left;
        let events = async {
            let mut side = Connection::open(front).await?;
            let kind = [("content-type", "application/json")];
            let second = Duration::from_secs(1);
            let path = format!("{session}/events");
            side.request("POST", &path, &kind, b"[\"inactive\"]", second).await?;
            side.request("GET", &format!("{path}/stream"), &[], b"", second).await?;
            side.wait_for_any(
                &["event:move", "event: urn:pepperhook:whep:event:move", "event: inactive"],
                until,
            )
            .await
        };
        // The front closes an idle connection after a while; only the end of the events is a break.
        let audience = self.clone();
        tokio::task::spawn_local(async move {
            let extra = connection.read_unsolicited(until).await;
            audience.extra(request, extra);
        });
        let ended = events.await;
        self.playing.set(self.playing.get() - 1);
        match ended {
            Ok(_) => Then::Again(Duration::from_millis(250)),
            Err(ReadError::Closed) if Instant::now() < until => Then::Again(Duration::from_millis(500)),
            Err(_) => {
                sleep_until(until).await;
                let second = Duration::from_secs(1);
                if let Ok(mut last) = Connection::open(front).await {
                    let _ = last.request("DELETE", &session, &[], b"", second).await;
                }
                Then::Done
            }
        }
    }
}
