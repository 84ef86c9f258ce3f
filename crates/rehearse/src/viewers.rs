//! Scripted viewers: they request sessions, play, retry and leave, and record what they observe on their sockets.

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

/// Address of a front for viewers.
#[derive(Clone, Debug)]
pub struct FrontEndpoint {
    /// Name of the front.
    pub name: String,
    /// WHEP address; `None` while the front is down.
    pub address: Option<SocketAddr>,
}

/// State shared by all viewers of a run.
pub struct ViewerPool {
    /// Behaviour of the viewers.
    pub settings: ViewerSettings,
    /// Class of their sessions, for the record.
    pub class: String,
    /// The fronts.
    pub fronts: RefCell<Vec<FrontEndpoint>>,
    /// Record of the viewers.
    pub recorder: Recorder,
    /// Number of requests so far, which is the number of the latest.
    pub requests: Cell<u64>,
    /// Number of sessions playing now.
    pub playing: Cell<i64>,
    /// Number of answers by status.
    pub statuses: RefCell<std::collections::BTreeMap<u16, u64>>,
}

/// The SDP offer of a request; its `o=` line contains the request number. It does not use the signalling crate:
/// viewers share no code with the system under test.
#[must_use]
pub fn offer(request: u64) -> String {
    let mut out =
        format!("v=0\r\no=viewer {request} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\n");
    out += "m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\na=mid:0\r\na=recvonly\r\na=rtcp-mux\r\n";
    out += &format!("a=ice-ufrag:v{request:06}\r\na=ice-pwd:0123456789012345678901\r\na=setup:actpass\r\n");
    out += &format!("a=fingerprint:sha-256 {}\r\na=rtpmap:96 VP8/90000\r\n", ["AB"; 32].join(":"));
    out
}

/// One viewer and the title it requests.
#[derive(Clone)]
struct Viewer {
    number: u64,
    title: u32,
    path: String,
}

/// What a viewer does after an attempt.
enum NextStep {
    /// The viewer stops.
    Done,
    /// The viewer may retry after this delay.
    Retry(Duration),
}

impl ViewerPool {
    /// A pool of viewers that use these fronts.
    #[must_use]
    pub fn new(
        settings: ViewerSettings,
        class: &str,
        fronts: Vec<FrontEndpoint>,
        recorder: Recorder,
    ) -> Rc<Self> {
        Rc::new(Self {
            settings,
            class: class.into(),
            fronts: RefCell::new(fronts),
            recorder,
            requests: Cell::new(0),
            playing: Cell::new(0),
            statuses: RefCell::default(),
        })
    }

    /// Runs viewer number `n`: requests a title and plays it for the viewer's time, in at most five attempts.
    pub async fn run_viewer(self: Rc<Self>, n: u64, seed: u64, title: u32, tenant: Option<usize>) {
        let mut rng = StdRng::seed_from_u64(seed ^ n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let (low, high) = self.settings.plays_s;
        let mut remaining = Duration::from_secs_f64(rng.random_range(low..=high));
        let top: u8 = if rng.random_bool(0.25) { 2 } else { 4 };
        let tenant = tenant.map_or(String::new(), |t| format!("&tenant=tenant-{t}"));
        let viewer =
            Viewer { number: n, title, path: format!("/whep/title-{title}?viewer=v{n}&top={top}{tenant}") };
        for _ in 0..5 {
            let began = Instant::now();
            match self.attempt(&viewer, remaining, &mut rng).await {
                NextStep::Done => return,
                NextStep::Retry(_) if !rng.random_bool(self.settings.retry_share) => return,
                NextStep::Retry(pause) => {
                    sleep(pause + Duration::from_millis(rng.random_range(50..400))).await;
                    remaining = remaining.saturating_sub(began.elapsed());
                    if remaining < Duration::from_millis(500) {
                        return;
                    }
                }
            }
        }
    }

    fn next_request(&self) -> u64 {
        self.requests.set(self.requests.get() + 1);
        self.requests.get()
    }

    async fn attempt(self: &Rc<Self>, viewer: &Viewer, remaining: Duration, rng: &mut StdRng) -> NextStep {
        let front = self.fronts.borrow().choose(rng).cloned();
        let Some(FrontEndpoint { name, address: Some(address) }) = front else {
            return NextStep::Retry(Duration::from_millis(300));
        };
        let Ok(mut connection) = Connection::open(address).await else {
            return NextStep::Retry(Duration::from_millis(300));
        };
        let request = self.next_request();
        if rng.random_bool(self.settings.abandon_share) {
            let wait = Duration::from_millis(rng.random_range(1..40));
            self.send_request(&mut connection, request, viewer, &name, &offer(request)).await.ok();
            sleep(wait).await;
            self.recorder.write(Event::ViewerLeft { request });
            return NextStep::Done;
        }
        if rng.random_bool(self.settings.duplicate_share) {
            // Repeats the request on another connection while the first one waits.
            let (pool, viewer, name, offer) = (self.clone(), viewer.clone(), name.clone(), offer(request));
            let duplicate = self.next_request();
            tokio::task::spawn_local(async move {
                let Ok(mut second) = Connection::open(address).await else { return };
                if pool.send_request(&mut second, duplicate, &viewer, &name, &offer).await.is_ok() {
                    let _ = pool.read_answer(&mut second, duplicate).await;
                }
            });
        }
        if self.send_request(&mut connection, request, viewer, &name, &offer(request)).await.is_err() {
            self.recorder.write(Event::ConnectionLost { request });
            return NextStep::Retry(Duration::from_millis(300));
        }
        let Ok(reply) = self.read_answer(&mut connection, request).await else {
            return NextStep::Retry(Duration::from_millis(500));
        };
        match reply.status {
            201 => self.play(connection, request, address, &reply, remaining).await,
            503 | 409 => {
                let advised = reply.header("retry-after").and_then(|v| v.parse::<f64>().ok()).unwrap_or(1.0);
                let unexpected_bytes =
                    connection.read_unsolicited(Instant::now() + Duration::from_millis(50)).await;
                self.record_unexpected(request, unexpected_bytes);
                NextStep::Retry(Duration::from_secs_f64(advised.min(2.0)))
            }
            _ => NextStep::Retry(Duration::from_millis(700)),
        }
    }

    async fn send_request(
        &self,
        connection: &mut Connection,
        request: u64,
        viewer: &Viewer,
        front: &str,
        offer: &str,
    ) -> Result<(), ReadError> {
        let title = format!("title-{}", viewer.title);
        // Nodes identify a request by the `o=` line of its offer; a repeated request has the offer of the first.
        let origin = offer.split("o=").nth(1).map(|o| o.split(' ').take(2).collect::<Vec<_>>().join(" "));
        self.recorder.write(Event::RequestSent {
            request,
            session: format!("v{}/{title}", viewer.number),
            origin: origin.unwrap_or_default(),
            title: title.clone(),
            class: self.class.clone(),
            front: front.into(),
        });
        connection.send("POST", &viewer.path, &[("content-type", "application/sdp")], offer.as_bytes()).await
    }

    async fn read_answer(
        &self,
        connection: &mut Connection,
        request: u64,
    ) -> Result<HttpResponse, ReadError> {
        let patience = Duration::from_secs_f64(self.settings.patience_s);
        let reply = connection.read_response(Instant::now() + patience).await;
        match &reply {
            Ok(r) => {
                *self.statuses.borrow_mut().entry(r.status).or_default() += 1;
                let retry_after = r.header("retry-after").and_then(|v| v.parse().ok());
                self.recorder.write(Event::ResponseReceived { request, status: r.status, retry_after });
                self.record_policy(request, r);
            }
            Err(ReadError::Timeout) => self.recorder.write(Event::TimedOut { request }),
            Err(_) => self.recorder.write(Event::ConnectionLost { request }),
        }
        reply
    }

    /// Records what an answer reports about the agreed policy; nothing if the fronts have no agreement.
    fn record_policy(&self, request: u64, reply: &HttpResponse) {
        let problem: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
        let entry = reply.header("pepperhook-policy").and_then(|v| v.parse().ok());
        let entry = entry.or_else(|| problem["policy"].as_u64());
        let problem_type =
            problem["type"].as_str().unwrap_or("").rsplit([':', '/']).next().unwrap_or("").to_owned();
        if entry.is_some() || problem_type == "fenced" {
            self.recorder.write(Event::PolicyReported { request, entry, problem_type });
        }
    }

    fn record_unexpected(&self, request: u64, bytes: usize) {
        if bytes > 0 {
            self.recorder.write(Event::UnexpectedBytes { request, bytes });
        }
    }

    /// Plays until the viewer's time is over, the front moves the session or the event stream ends.
    async fn play(
        self: &Rc<Self>,
        mut connection: Connection,
        request: u64,
        front: SocketAddr,
        reply: &HttpResponse,
        remaining: Duration,
    ) -> NextStep {
        let Some(session) = reply.header("location").map(str::to_owned) else {
            self.record_unexpected(request, 1);
            return NextStep::Done;
        };
        self.playing.set(self.playing.get() + 1);
        let end = Instant::now() + remaining;
        let events = async {
            let mut event_connection = Connection::open(front).await?;
            let kind = [("content-type", "application/json")];
            let second = Duration::from_secs(1);
            let path = format!("{session}/events");
            event_connection.request("POST", &path, &kind, b"[\"inactive\"]", second).await?;
            event_connection.request("GET", &format!("{path}/stream"), &[], b"", second).await?;
            event_connection
                .wait_for_any(
                    &["event:move", "event: urn:pepperhook:whep:event:move", "event: inactive"],
                    end,
                )
                .await
        };
        // The front closes idle connections, so the end of this one is no failure; the end of the event stream is.
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let unexpected_bytes = connection.read_unsolicited(end).await;
            pool.record_unexpected(request, unexpected_bytes);
        });
        let ended = events.await;
        self.playing.set(self.playing.get() - 1);
        match ended {
            Ok(_) => NextStep::Retry(Duration::from_millis(250)),
            Err(ReadError::Closed) if Instant::now() < end => NextStep::Retry(Duration::from_millis(500)),
            Err(_) => {
                sleep_until(end).await;
                let second = Duration::from_secs(1);
                if let Ok(mut connection) = Connection::open(front).await {
                    let _ = connection.request("DELETE", &session, &[], b"", second).await;
                }
                NextStep::Done
            }
        }
    }
}
