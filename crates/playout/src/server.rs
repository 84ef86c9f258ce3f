//! The node's sockets: WHIP and WHEP for fronts, and the control port.

use crate::node::{Command, Fate, Faults, Node, Options, Rack, Session, State};
use crate::record::{Event, Recorder};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_TYPE, ETAG, HeaderValue, IF_MATCH, LINK, LOCATION, VIA};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use pepperhook_signalling::{
    Direction, EVENT_DELIVERED, EVENT_LINK, EVENT_UPLINK, FRAGMENT_TYPE, Fragment, LoadReport, ORCA_HEADER,
    Offer, REL_EVENTS, REL_LAYER, SDP_TYPE, answer_to, write_event,
};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

type Failure = Box<dyn std::error::Error + Send + Sync>;
type Out = BoxBody<Bytes, Failure>;
type Shared = Rc<RefCell<Node>>;

/// Connections of one node at most; more are closed as they come.
const MOST_CONNECTIONS: usize = 20_000;

/// A node that serves.
pub struct NodeHandle {
    /// Its name.
    pub name: String,
    /// Where fronts come.
    pub address: SocketAddr,
    /// Its control port.
    pub control: SocketAddr,
    node: Shared,
    dead: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl NodeHandle {
    /// Carries a command out, as the control port does.
    pub fn command(&self, command: Command) {
        obey(&self.node, &self.dead, command);
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: Faults) {
        self.command(Command { faults: Some(faults), ..Command::default() });
    }

    /// Its state.
    #[must_use]
    pub fn state(&self) -> State {
        self.node.borrow().state()
    }

    /// Dies: connections are reset, the ports are closed.
    pub fn crash(&self) {
        let _ = self.dead.send(true);
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Ends all its sessions of itself, and tells their fronts on the event streams.
    pub fn end_sessions(&self) {
        let mut node = self.node.borrow_mut();
        let ids: Vec<String> = node.sessions.keys().cloned().collect();
        ids.iter().for_each(|id| {
            node.end(id, "node", true);
        });
    }
}

fn obey(node: &Shared, dead: &watch::Sender<bool>, command: Command) {
    let mut n = node.borrow_mut();
    if let Some(faults) = command.faults {
        n.faults = faults;
        n.rack.borrow_mut().left = faults.uplink_left;
    }
    if let Some(kb) = command.elsewhere_kb {
        n.rack.borrow_mut().elsewhere_kb = kb;
    }
    if command.die {
        let _ = dead.send(true);
    }
}

/// Starts nodes within a `LocalSet`; those of one rack share its uplink.
///
/// # Errors
/// When an address cannot be bound.
pub async fn start(nodes: Vec<Options>, recorder: &Recorder) -> io::Result<Vec<NodeHandle>> {
    let mut racks: BTreeMap<u32, Rc<RefCell<Rack>>> = BTreeMap::new();
    let mut out = Vec::new();
    for options in nodes {
        let rack = racks.entry(options.rack).or_default().clone();
        if options.uplink_kb > 0.0 {
            rack.borrow_mut().uplink_kb = options.uplink_kb;
        }
        let listener = TcpListener::bind(&options.listen).await?;
        let control = TcpListener::bind("127.0.0.1:0").await?;
        let (address, control_address) = (listener.local_addr()?, control.local_addr()?);
        let name = options.name.clone();
        let node = Rc::new(RefCell::new(Node::new(options, rack, recorder.with_source(&name))));
        let (dead, died) = watch::channel(false);
        let tasks = vec![
            spawn_local(serve(node.clone(), listener, died.clone())),
            spawn_local(serve_control(node.clone(), control, dead.clone())),
            spawn_local(live(node.clone(), died)),
        ];
        out.push(NodeHandle { name, address, control: control_address, node, dead, tasks });
    }
    Ok(out)
}

/// What happens of itself: measuring, leases.
async fn live(node: Shared, mut died: watch::Receiver<bool>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(100));
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = died.wait_for(|d| *d) => return,
        }
        let mut n = node.borrow_mut();
        n.observe();
        n.sweep();
    }
}

async fn serve(node: Shared, listener: TcpListener, died: watch::Receiver<bool>) {
    let open = Rc::new(Cell::new(0usize));
    let mut dying = died.clone();
    loop {
        let accepted = tokio::select! {
            a = listener.accept() => a,
            _ = dying.wait_for(|d| *d) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() < MOST_CONNECTIONS {
            open.set(open.get() + 1);
            let (node, died, open) = (node.clone(), died.clone(), open.clone());
            spawn_local(async move {
                connection(node, stream, died).await;
                open.set(open.get() - 1);
            });
        }
    }
}

async fn connection(node: Shared, stream: TcpStream, mut died: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let deaf = node.borrow().faults.ignore_half_close;
    // The session set up last on this connection, until it carries another request.
    let last: Rc<RefCell<Option<String>>> = Rc::default();
    let (served, kept) = (node.clone(), last.clone());
    let dead = Rc::new(Cell::new(false));
    let gone = dead.clone();
    let service = service_fn(move |request| {
        kept.borrow_mut().take();
        let (node, kept, gone) = (served.clone(), kept.clone(), gone.clone());
        async move { answer(node, request, &kept, &gone).await }
    });
    let io = TokioIo::new(Lingering(stream, dead.clone()));
    let serving =
        http1::Builder::new().timer(TokioTimer::new()).half_close(deaf).serve_connection(io, service);
    tokio::pin!(serving);
    let ended = tokio::select! {
        ended = &mut serving => ended,
        _ = died.wait_for(|d| *d) => {
            dead.set(true);
            return;
        }
    };
    // An answer that its front may never have read holds no session.
    if let (Err(_), Some(id)) = (ended, last.borrow_mut().take()) {
        let mut n = node.borrow_mut();
        if n.sessions.get(&id).is_some_and(|s| s.made.elapsed() < Duration::from_secs(1)) {
            n.end(&id, "undelivered", false);
        }
    }
}

/// A socket that is reset, not closed, where its node has died.
struct Lingering(TcpStream, Rc<Cell<bool>>);

impl Drop for Lingering {
    fn drop(&mut self) {
        if self.1.get() {
            let _ = SockRef::from(&self.0).set_linger(Some(Duration::ZERO));
        }
    }
}

impl tokio::io::AsyncRead for Lingering {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl tokio::io::AsyncWrite for Lingering {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// A body that promises more than it gives.
struct Half(bool);

impl Body for Half {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        if std::mem::replace(&mut self.0, true) {
            return Poll::Ready(Some(Err("cut".into())));
        }
        cx.waker().wake_by_ref();
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"v=0\r\no=- 1 1 IN IP4")))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(400)
    }
}

/// A body of events.
struct Events(mpsc::Receiver<String>);

impl Body for Events {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        self.0.poll_recv(cx).map(|e| e.map(|e| Ok(Frame::data(Bytes::from(e)))))
    }
}

fn plain(status: u16, body: impl Into<Bytes>) -> Response<Out> {
    let mut r = Response::new(Full::new(body.into()).map_err(|e| match e {}).boxed());
    *r.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    r
}

fn header(r: &mut Response<Out>, name: hyper::header::HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        r.headers_mut().append(name, value);
    }
}

fn given<'a>(request: &'a Request<Incoming>, name: &hyper::header::HeaderName) -> &'a str {
    request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}

async fn answer(
    node: Shared,
    request: Request<Incoming>,
    last: &RefCell<Option<String>>,
    dead: &Cell<bool>,
) -> Result<Response<Out>, Failure> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (parts.as_slice(), request.method()) {
        (_, &Method::OPTIONS) => options(&node, &request).await,
        ([kind @ ("whep" | "whip"), title], &Method::POST) => {
            set_up(&node, *kind == "whip", title, request, last, dead).await
        }
        (["sessions"], &Method::GET) => {
            let n = node.borrow();
            n.recorder.write(Event::SessionsListed { front: front(given(&request, &VIA)) });
            let row =
                |(id, s): (&String, &Session)| serde_json::json!({"path": format!("/s/{id}"), "via": s.run});
            let list: Vec<serde_json::Value> = n.sessions.iter().map(row).collect();
            let mut r = plain(200, serde_json::to_vec(&list)?);
            header(&mut r, CONTENT_TYPE, "application/json");
            Ok(r)
        }
        (["s", id], &Method::DELETE) => {
            let ended = node.borrow_mut().end(id, "delete", false);
            Ok(plain(if ended { 200 } else { 404 }, ""))
        }
        (["s", id], &Method::PATCH) => patch(&node, id, request).await,
        (["s", id, "layer"], &Method::POST) => layer(&node, id, request).await,
        (["s", id, "events"], &Method::POST) => {
            let known = node.borrow().sessions.contains_key(*id);
            let mut r = plain(if known { 201 } else { 404 }, "");
            header(&mut r, LOCATION, &format!("/s/{id}/events/stream"));
            Ok(r)
        }
        (["s", id, "events", "stream"], &Method::GET) => {
            let run = node.borrow().sessions.get(*id).map(|s| s.run.clone());
            let Some(run) = run else { return Ok(plain(404, "")) };
            let mut r = Response::new(Events(stream(node.clone(), run, (*id).to_owned())).boxed());
            header(&mut r, CONTENT_TYPE, "text/event-stream");
            Ok(r)
        }
        _ => Ok(plain(404, "")),
    }
}

/// The name of the front in a request's `Via`: `1.1 front (run ...)`.
fn front(run: &str) -> String {
    run.split(' ').nth(1).unwrap_or("").to_owned()
}

/// OPTIONS tells what an endpoint takes, and by its load report how full the node is.
async fn options(node: &Shared, request: &Request<Incoming>) -> Result<Response<Out>, Failure> {
    let (faults, fell) = {
        let n = node.borrow();
        n.recorder.write(Event::Probe { front: front(given(request, &VIA)) });
        (n.faults, n.overloaded)
    };
    if fell || faults.hang >= 1.0 {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    let mut r = plain(204, "");
    header(&mut r, hyper::header::HeaderName::from_static("accept-post"), SDP_TYPE);
    report(node, &mut r);
    Ok(r)
}

/// Tells what becomes of an attempt, also where its future is dropped because the connection closed.
struct Account {
    recorder: Recorder,
    attempt: u64,
    told: bool,
}

impl Account {
    fn answered(&mut self, status: u16) {
        self.told = true;
        self.recorder.write(Event::AttemptAnswered { attempt: self.attempt, status });
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if !self.told {
            self.recorder.write(Event::AttemptClosed { attempt: self.attempt });
        }
    }
}

async fn set_up(
    node: &Shared,
    publish: bool,
    title: &str,
    request: Request<Incoming>,
    last: &RefCell<Option<String>>,
    dead: &Cell<bool>,
) -> Result<Response<Out>, Failure> {
    // `1.1 front (run ...)`: the record names the front, the lease is this run's.
    let run = given(&request, &VIA).to_owned();
    let front = front(&run);
    let is_sdp = given(&request, &CONTENT_TYPE).starts_with(SDP_TYPE);
    let body = Limited::new(request.into_body(), 64 << 10).collect().await?.to_bytes();
    let way = if publish { Direction::Send } else { Direction::Receive };
    let offer = Offer::parse(&body, way);
    let origin = offer.as_ref().map(|o| o.origin.clone()).unwrap_or_default();
    let (fate, mut account) = {
        let mut n = node.borrow_mut();
        let fell = n.pushed();
        let (attempt, recorder) = (n.attempts, n.recorder.clone());
        recorder.write(Event::Attempt {
            attempt,
            front: front.clone(),
            origin: origin.clone(),
            title: title.into(),
        });
        let account = Account { recorder, attempt, told: false };
        (if fell { Fate::Hang } else { n.fate() }, account)
    };
    let status = match fate {
        Fate::Hang => {
            std::future::pending::<()>().await;
            0
        }
        Fate::Refuse => 503,
        Fate::Error => {
            let slow = node.borrow().faults.slow_ms;
            tokio::time::sleep(Duration::from_millis(2 + slow)).await;
            500
        }
        Fate::Half => {
            account.answered(201);
            let mut r = Response::new(Half(false).boxed());
            *r.status_mut() = StatusCode::CREATED;
            header(&mut r, CONTENT_TYPE, SDP_TYPE);
            header(&mut r, LOCATION, "/s/none");
            dead.set(true);
            return Ok(r);
        }
        Fate::SetUp(time) => {
            tokio::time::sleep(time).await;
            if node.borrow().faults.drain { 503 } else { 201 }
        }
    };
    let (Ok(offer), 201, true) = (&offer, status, is_sdp) else {
        let status = if offer.is_err() || !is_sdp { 400 } else { status };
        account.answered(status);
        let mut r = plain(status, "");
        report(node, &mut r);
        return Ok(r);
    };
    let ufrag = format!("node{:x}", account.attempt);
    let session = Session {
        origin,
        run,
        title: title.to_owned(),
        rung: 0,
        ufrag: ufrag.clone(),
        etag: String::new(),
        made: Instant::now(),
    };
    let (id, etag) = {
        let mut n = node.borrow_mut();
        let id = n.hold(session);
        let etag = n.sessions.get(&id).map(|s| s.etag.clone()).unwrap_or_default();
        (id, etag)
    };
    let pwd = if node.borrow_mut().garbles() { "short" } else { "standinpassword0123456789" };
    let sdp = match answer_to(offer, &format!("{}", account.attempt), &ufrag, pwd) {
        Ok(sdp) => sdp,
        // Nothing that it knows is offered: the session is not kept.
        Err(_) => {
            node.borrow_mut().end(&id, "codec", false);
            account.answered(406);
            return Ok(plain(406, ""));
        }
    };
    account.answered(201);
    *last.borrow_mut() = Some(id.clone());
    let mut r = plain(201, sdp);
    header(&mut r, CONTENT_TYPE, SDP_TYPE);
    header(&mut r, LOCATION, &format!("/s/{id}"));
    header(&mut r, ETAG, &etag);
    let events = format!("inactive,{EVENT_DELIVERED},{EVENT_LINK},{EVENT_UPLINK}");
    header(&mut r, LINK, &format!("</s/{id}/events>; rel=\"{REL_EVENTS}\"; events=\"{events}\""));
    header(&mut r, LINK, &format!("</s/{id}/layer>; rel=\"{REL_LAYER}\""));
    header(&mut r, LINK, "<stun:127.0.0.1:3478>; rel=\"ice-server\"");
    report(node, &mut r);
    Ok(r)
}

fn report(node: &Shared, r: &mut Response<Out>) {
    let [streams, link, uplink] = node.borrow_mut().load();
    let metrics = [("streams", streams), ("link", link), ("uplink", uplink)];
    let load = LoadReport(metrics.into_iter().map(|(n, v)| (n.to_owned(), v)).collect());
    header(r, hyper::header::HeaderName::from_static(ORCA_HEADER), &load.to_header());
}

async fn layer(node: &Shared, id: &str, request: Request<Incoming>) -> Result<Response<Out>, Failure> {
    let body = Limited::new(request.into_body(), 4 << 10).collect().await?.to_bytes();
    let choice: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let rung =
        choice.get("encodingId").and_then(serde_json::Value::as_str).and_then(|r| r.parse::<u8>().ok());
    let mut n = node.borrow_mut();
    let rungs = n.options.ladder.len();
    let (Some(rung), Some(s)) = (rung.filter(|r| usize::from(*r) < rungs), n.sessions.get_mut(id)) else {
        return Ok(plain(if rung.is_none() { 400 } else { 404 }, ""));
    };
    s.rung = rung;
    let origin = s.origin.clone();
    n.recorder.write(Event::RungSelected { origin, rung });
    Ok(plain(200, ""))
}

/// Trickle and ICE restart (RFC 9725, 4.3).
async fn patch(node: &Shared, id: &str, request: Request<Incoming>) -> Result<Response<Out>, Failure> {
    let tag = given(&request, &IF_MATCH).to_owned();
    let is_fragment = given(&request, &CONTENT_TYPE).starts_with(FRAGMENT_TYPE);
    let body = Limited::new(request.into_body(), 64 << 10).collect().await?.to_bytes();
    let mut n = node.borrow_mut();
    let Some(s) = n.sessions.get_mut(id) else { return Ok(plain(404, "")) };
    let fragment = match (is_fragment, Fragment::parse(&body)) {
        (false, _) => return Ok(plain(415, "")),
        (true, Err(_)) => return Ok(plain(422, "")),
        (true, Ok(f)) => f,
    };
    match tag.as_str() {
        "" => Ok(plain(428, "")),
        "*" if fragment.ufrag.is_some() => {
            let count =
                s.etag.trim_matches('"').rsplit('-').next().and_then(|n| n.parse::<u32>().ok()).unwrap_or(0);
            (s.etag, s.ufrag) = (format!("\"{id}-{}\"", count + 1), format!("{}r{}", s.ufrag, count + 1));
            let restart = format!("a=ice-ufrag:{}\r\na=ice-pwd:standinpassword0123456789\r\n", s.ufrag);
            let etag = s.etag.clone();
            let mut r = plain(200, restart);
            header(&mut r, CONTENT_TYPE, FRAGMENT_TYPE);
            header(&mut r, ETAG, &etag);
            Ok(r)
        }
        "*" => Ok(plain(422, "")),
        tag if tag == s.etag => Ok(plain(204, "")),
        _ => Ok(plain(412, "")),
    }
}

/// The event stream of a front, on one of its sessions; it ends with that session.
fn stream(node: Shared, run: String, id: String) -> mpsc::Receiver<String> {
    let (tell, told) = mpsc::channel(8);
    node.borrow_mut().streams(&run, true);
    spawn_local(async move {
        let mut ticks = tokio::time::interval(Duration::from_millis(100));
        let every = Duration::from_millis(node.borrow().options.load_event_period_ms);
        let (mut delivered_at, mut link_at, mut spoke_at) =
            (Instant::now(), Instant::now() - every, Instant::now());
        let (mut was_short, mut closing) = (false, false);
        'stream: while !closing {
            tokio::select! {
                _ = ticks.tick() => {}
                () = tell.closed() => break,
            }
            let mut say = Vec::new();
            {
                let mut n = node.borrow_mut();
                closing = !n.sessions.contains_key(&id);
                for ended in n.ended.remove(&run).unwrap_or_default() {
                    say.push(write_event("inactive", &format!("{{\"session\":\"/s/{ended}\"}}")));
                }
                if let Some([delivered, link, uplink]) = n.seen() {
                    if delivered_at.elapsed() >= Duration::from_secs(1) && (delivered < 0.98 || was_short) {
                        (delivered_at, was_short) = (Instant::now(), delivered < 0.98);
                        say.push(write_event(EVENT_DELIVERED, &format!("{{\"value\":{delivered:.4}}}")));
                    }
                    if link_at.elapsed() >= every {
                        link_at = Instant::now();
                        say.push(write_event(EVENT_LINK, &format!("{{\"value\":{link:.4}}}")));
                        say.push(write_event(EVENT_UPLINK, &format!("{{\"value\":{uplink:.4}}}")));
                    }
                }
            }
            if say.is_empty() && spoke_at.elapsed() >= Duration::from_secs(1) {
                say.push(": still here\n\n".into());
            }
            for event in say {
                spoke_at = Instant::now();
                if tell.send(event).await.is_err() {
                    break 'stream;
                }
            }
        }
        node.borrow_mut().streams(&run, false);
    });
    told
}

async fn serve_control(node: Shared, listener: TcpListener, dead: watch::Sender<bool>) {
    let mut died = dead.subscribe();
    loop {
        let accepted = tokio::select! {
            a = listener.accept() => a,
            _ = died.wait_for(|d| *d) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let (node, dead) = (node.clone(), dead.clone());
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (node, dead) = (node.clone(), dead.clone());
                async move {
                    if request.method() == Method::POST {
                        let body = Limited::new(request.into_body(), 16 << 10).collect().await?.to_bytes();
                        match serde_json::from_slice::<Command>(&body) {
                            Ok(command) => obey(&node, &dead, command),
                            Err(e) => return Ok::<_, Failure>(plain(400, e.to_string())),
                        }
                    }
                    let state = node.borrow().state();
                    Ok(plain(200, serde_json::to_vec(&state)?))
                }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
