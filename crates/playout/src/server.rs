//! The sockets of a node: WHIP and WHEP for fronts, and the control port.

use crate::node::{Command, Faults, Node, Options, Rack, Session, SetUpOutcome, State};
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

type BoxError = Box<dyn std::error::Error + Send + Sync>;
type ResponseBody = BoxBody<Bytes, BoxError>;
type SharedNode = Rc<RefCell<Node>>;

/// Maximum number of open connections of one node; further ones are closed at once.
const MAX_CONNECTIONS: usize = 20_000;

/// A running node.
pub struct NodeHandle {
    /// Name.
    pub name: String,
    /// Address for fronts (WHIP and WHEP).
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    node: SharedNode,
    /// Set to true to crash the node.
    crash: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl NodeHandle {
    /// Executes a command, as the control port does.
    pub fn command(&self, command: Command) {
        execute(&self.node, &self.crash, command);
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.command(Command { faults: Some(faults), ..Command::default() });
    }

    /// Current state.
    #[must_use]
    pub fn state(&self) -> State {
        self.node.borrow().state()
    }

    /// Crashes the node: connections are reset and the ports closed.
    pub fn crash(&self) {
        let _ = self.crash.send(true);
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Ends all sessions on the node's initiative, and reports that on the event streams of their fronts.
    pub fn end_sessions(&self) {
        let mut node = self.node.borrow_mut();
        let ids: Vec<String> = node.sessions.keys().cloned().collect();
        ids.iter().for_each(|id| {
            node.end(id, "node", true);
        });
    }
}

fn execute(node: &SharedNode, crash: &watch::Sender<bool>, command: Command) {
    let mut n = node.borrow_mut();
    if let Some(faults) = command.faults {
        n.faults = faults;
        n.rack.borrow_mut().share_left = faults.uplink_left;
    }
    if let Some(kb) = command.elsewhere_kb {
        n.rack.borrow_mut().elsewhere_kb = kb;
    }
    if command.die {
        let _ = crash.send(true);
    }
}

/// Starts nodes within a `LocalSet`; nodes of one rack share its uplink.
///
/// # Errors
/// If an address cannot be bound.
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
        let (crash, crashed) = watch::channel(false);
        let tasks = vec![
            spawn_local(serve(node.clone(), listener, crashed.clone())),
            spawn_local(serve_control(node.clone(), control, crash.clone())),
            spawn_local(run_timers(node.clone(), crashed)),
        ];
        out.push(NodeHandle { name, address, control: control_address, node, crash, tasks });
    }
    Ok(out)
}

/// Measures the load and expires leases, every 100 ms.
async fn run_timers(node: SharedNode, mut crashed: watch::Receiver<bool>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(100));
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = crashed.wait_for(|d| *d) => return,
        }
        let mut n = node.borrow_mut();
        n.record_load();
        n.expire_leases();
    }
}

async fn serve(node: SharedNode, listener: TcpListener, crashed: watch::Receiver<bool>) {
    let open = Rc::new(Cell::new(0usize));
    let mut stop_accepting = crashed.clone();
    loop {
        let accepted = tokio::select! {
            a = listener.accept() => a,
            _ = stop_accepting.wait_for(|d| *d) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() < MAX_CONNECTIONS {
            open.set(open.get() + 1);
            let (node, crashed, open) = (node.clone(), crashed.clone(), open.clone());
            spawn_local(async move {
                connection(node, stream, crashed).await;
                open.set(open.get() - 1);
            });
        }
    }
}

async fn connection(node: SharedNode, stream: TcpStream, mut crashed: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let half_close = node.borrow().faults.ignore_half_close;
    // The session set up by the latest request on this connection.
    let last: Rc<RefCell<Option<String>>> = Rc::default();
    let (served, kept) = (node.clone(), last.clone());
    let reset = Rc::new(Cell::new(false));
    let served_reset = reset.clone();
    let service = service_fn(move |request| {
        kept.borrow_mut().take();
        let (node, kept, reset) = (served.clone(), kept.clone(), served_reset.clone());
        async move { answer(node, request, &kept, &reset).await }
    });
    let io = TokioIo::new(ResetOnDrop(stream, reset.clone()));
    let serving =
        http1::Builder::new().timer(TokioTimer::new()).half_close(half_close).serve_connection(io, service);
    tokio::pin!(serving);
    let ended = tokio::select! {
        ended = &mut serving => ended,
        _ = crashed.wait_for(|d| *d) => {
            reset.set(true);
            return;
        }
    };
    // The connection failed right after the answer, which the front may not have read: the session is ended.
    if let (Err(_), Some(id)) = (ended, last.borrow_mut().take()) {
        let mut n = node.borrow_mut();
        if n.sessions.get(&id).is_some_and(|s| s.created_at.elapsed() < Duration::from_secs(1)) {
            n.end(&id, "undelivered", false);
        }
    }
}

/// A socket that is reset on drop, not closed, if the flag is set.
struct ResetOnDrop(TcpStream, Rc<Cell<bool>>);

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if self.1.get() {
            let _ = SockRef::from(&self.0).set_linger(Some(Duration::ZERO));
        }
    }
}

impl tokio::io::AsyncRead for ResetOnDrop {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl tokio::io::AsyncWrite for ResetOnDrop {
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

/// A body shorter than its announced length: an error follows the first frame. The flag is set after that frame.
struct TruncatedBody(bool);

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
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

/// The body of an event stream.
struct EventBody(mpsc::Receiver<String>);

impl Body for EventBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.0.poll_recv(cx).map(|e| e.map(|e| Ok(Frame::data(Bytes::from(e)))))
    }
}

fn response(status: u16, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut r = Response::new(Full::new(body.into()).map_err(|e| match e {}).boxed());
    *r.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    r
}

fn add_header(r: &mut Response<ResponseBody>, name: hyper::header::HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        r.headers_mut().append(name, value);
    }
}

fn request_header<'a>(request: &'a Request<Incoming>, name: &hyper::header::HeaderName) -> &'a str {
    request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
}

async fn answer(
    node: SharedNode,
    request: Request<Incoming>,
    last: &RefCell<Option<String>>,
    reset: &Cell<bool>,
) -> Result<Response<ResponseBody>, BoxError> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (parts.as_slice(), request.method()) {
        (_, &Method::OPTIONS) => options(&node, &request).await,
        ([kind @ ("whep" | "whip"), title], &Method::POST) => {
            set_up(&node, *kind == "whip", title, request, last, reset).await
        }
        (["sessions"], &Method::GET) => {
            let n = node.borrow();
            n.recorder.write(Event::SessionsListed { front: front_name(request_header(&request, &VIA)) });
            let row =
                |(id, s): (&String, &Session)| serde_json::json!({"path": format!("/s/{id}"), "via": s.run});
            let list: Vec<serde_json::Value> = n.sessions.iter().map(row).collect();
            let mut r = response(200, serde_json::to_vec(&list)?);
            add_header(&mut r, CONTENT_TYPE, "application/json");
            Ok(r)
        }
        (["s", id], &Method::DELETE) => {
            let ended = node.borrow_mut().end(id, "delete", false);
            Ok(response(if ended { 200 } else { 404 }, ""))
        }
        (["s", id], &Method::PATCH) => patch(&node, id, request).await,
        (["s", id, "layer"], &Method::POST) => layer(&node, id, request).await,
        (["s", id, "events"], &Method::POST) => {
            let known = node.borrow().sessions.contains_key(*id);
            let mut r = response(if known { 201 } else { 404 }, "");
            add_header(&mut r, LOCATION, &format!("/s/{id}/events/stream"));
            Ok(r)
        }
        (["s", id, "events", "stream"], &Method::GET) => {
            let run = node.borrow().sessions.get(*id).map(|s| s.run.clone());
            let Some(run) = run else { return Ok(response(404, "")) };
            let mut r = Response::new(EventBody(event_stream(node.clone(), run, (*id).to_owned())).boxed());
            add_header(&mut r, CONTENT_TYPE, "text/event-stream");
            Ok(r)
        }
        _ => Ok(response(404, "")),
    }
}

/// The name of the front in a `Via` value of the form `1.1 front (run ...)`.
fn front_name(via: &str) -> String {
    via.split(' ').nth(1).unwrap_or("").to_owned()
}

/// Answers `OPTIONS`: the accepted content type and the load report.
async fn options(node: &SharedNode, request: &Request<Incoming>) -> Result<Response<ResponseBody>, BoxError> {
    let (faults, overloaded) = {
        let n = node.borrow();
        n.recorder.write(Event::Probe { front: front_name(request_header(request, &VIA)) });
        (n.faults, n.overloaded)
    };
    if overloaded || faults.hang >= 1.0 {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    let mut r = response(204, "");
    add_header(&mut r, hyper::header::HeaderName::from_static("accept-post"), SDP_TYPE);
    add_load_report(node, &mut r);
    Ok(r)
}

/// Records the end of an attempt, also if its future is dropped because the connection closed.
struct AttemptRecord {
    recorder: Recorder,
    attempt: u64,
    answered: bool,
}

impl AttemptRecord {
    fn answered(&mut self, status: u16) {
        self.answered = true;
        self.recorder.write(Event::AttemptAnswered { attempt: self.attempt, status });
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        if !self.answered {
            self.recorder.write(Event::AttemptClosed { attempt: self.attempt });
        }
    }
}

async fn set_up(
    node: &SharedNode,
    publish: bool,
    title: &str,
    request: Request<Incoming>,
    last: &RefCell<Option<String>>,
    reset: &Cell<bool>,
) -> Result<Response<ResponseBody>, BoxError> {
    // The record names the front; the lease belongs to its run, so the whole `Via` value is kept.
    let run = request_header(&request, &VIA).to_owned();
    let front = front_name(&run);
    let is_sdp = request_header(&request, &CONTENT_TYPE).starts_with(SDP_TYPE);
    let body = Limited::new(request.into_body(), 64 << 10).collect().await?.to_bytes();
    let way = if publish { Direction::Send } else { Direction::Receive };
    let offer = Offer::parse(&body, way);
    let origin = offer.as_ref().map(|o| o.origin.clone()).unwrap_or_default();
    let (outcome, mut account) = {
        let mut n = node.borrow_mut();
        let overloaded = n.count_set_up();
        let (attempt, recorder) = (n.attempts, n.recorder.clone());
        recorder.write(Event::Attempt {
            attempt,
            front: front.clone(),
            origin: origin.clone(),
            title: title.into(),
        });
        let account = AttemptRecord { recorder, attempt, answered: false };
        (if overloaded { SetUpOutcome::Hang } else { n.draw_outcome() }, account)
    };
    let status = match outcome {
        SetUpOutcome::Hang => {
            std::future::pending::<()>().await;
            0
        }
        SetUpOutcome::Refuse => 503,
        SetUpOutcome::Error => {
            let slow = node.borrow().faults.slow_ms;
            tokio::time::sleep(Duration::from_millis(2 + slow)).await;
            500
        }
        SetUpOutcome::Truncate => {
            account.answered(201);
            let mut r = Response::new(TruncatedBody(false).boxed());
            *r.status_mut() = StatusCode::CREATED;
            add_header(&mut r, CONTENT_TYPE, SDP_TYPE);
            add_header(&mut r, LOCATION, "/s/none");
            reset.set(true);
            return Ok(r);
        }
        SetUpOutcome::SetUp(time) => {
            tokio::time::sleep(time).await;
            if node.borrow().faults.drain { 503 } else { 201 }
        }
    };
    let (Ok(offer), 201, true) = (&offer, status, is_sdp) else {
        let status = if offer.is_err() || !is_sdp { 400 } else { status };
        account.answered(status);
        let mut r = response(status, "");
        add_load_report(node, &mut r);
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
        created_at: Instant::now(),
    };
    let (id, etag) = {
        let mut n = node.borrow_mut();
        let id = n.add_session(session);
        let etag = n.sessions.get(&id).map(|s| s.etag.clone()).unwrap_or_default();
        (id, etag)
    };
    let pwd = if node.borrow_mut().draw_malformed() { "short" } else { "standinpassword0123456789" };
    let sdp = match answer_to(offer, &format!("{}", account.attempt), &ufrag, pwd) {
        Ok(sdp) => sdp,
        // No offered codec is supported: the session is not kept.
        Err(_) => {
            node.borrow_mut().end(&id, "codec", false);
            account.answered(406);
            return Ok(response(406, ""));
        }
    };
    account.answered(201);
    *last.borrow_mut() = Some(id.clone());
    let mut r = response(201, sdp);
    add_header(&mut r, CONTENT_TYPE, SDP_TYPE);
    add_header(&mut r, LOCATION, &format!("/s/{id}"));
    add_header(&mut r, ETAG, &etag);
    let events = format!("inactive,{EVENT_DELIVERED},{EVENT_LINK},{EVENT_UPLINK}");
    add_header(&mut r, LINK, &format!("</s/{id}/events>; rel=\"{REL_EVENTS}\"; events=\"{events}\""));
    add_header(&mut r, LINK, &format!("</s/{id}/layer>; rel=\"{REL_LAYER}\""));
    add_header(&mut r, LINK, "<stun:127.0.0.1:3478>; rel=\"ice-server\"");
    add_load_report(node, &mut r);
    Ok(r)
}

fn add_load_report(node: &SharedNode, r: &mut Response<ResponseBody>) {
    let [streams, link, uplink] = node.borrow_mut().load_report();
    let metrics = [("streams", streams), ("link", link), ("uplink", uplink)];
    let load = LoadReport(metrics.into_iter().map(|(n, v)| (n.to_owned(), v)).collect());
    add_header(r, hyper::header::HeaderName::from_static(ORCA_HEADER), &load.to_header());
}

async fn layer(
    node: &SharedNode,
    id: &str,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, BoxError> {
    let body = Limited::new(request.into_body(), 4 << 10).collect().await?.to_bytes();
    let choice: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let rung =
        choice.get("encodingId").and_then(serde_json::Value::as_str).and_then(|r| r.parse::<u8>().ok());
    let mut n = node.borrow_mut();
    let rungs = n.options.ladder.len();
    let (Some(rung), Some(s)) = (rung.filter(|r| usize::from(*r) < rungs), n.sessions.get_mut(id)) else {
        return Ok(response(if rung.is_none() { 400 } else { 404 }, ""));
    };
    s.rung = rung;
    let origin = s.origin.clone();
    n.recorder.write(Event::RungSelected { origin, rung });
    Ok(response(200, ""))
}

/// Trickle ICE and ICE restart (RFC 9725, section 4.3).
async fn patch(
    node: &SharedNode,
    id: &str,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, BoxError> {
    let tag = request_header(&request, &IF_MATCH).to_owned();
    let is_fragment = request_header(&request, &CONTENT_TYPE).starts_with(FRAGMENT_TYPE);
    let body = Limited::new(request.into_body(), 64 << 10).collect().await?.to_bytes();
    let delay = Duration::from_millis(node.borrow().faults.slow_patch_ms);
    tokio::time::sleep(delay).await;
    let mut n = node.borrow_mut();
    let Some(s) = n.sessions.get_mut(id) else { return Ok(response(404, "")) };
    let fragment = match (is_fragment, Fragment::parse(&body)) {
        (false, _) => return Ok(response(415, "")),
        (true, Err(_)) => return Ok(response(422, "")),
        (true, Ok(f)) => f,
    };
    match tag.as_str() {
        "" => Ok(response(428, "")),
        "*" if fragment.ufrag.is_some() => {
            let count =
                s.etag.trim_matches('"').rsplit('-').next().and_then(|n| n.parse::<u32>().ok()).unwrap_or(0);
            (s.etag, s.ufrag) = (format!("\"{id}-{}\"", count + 1), format!("{}r{}", s.ufrag, count + 1));
            let restart = format!("a=ice-ufrag:{}\r\na=ice-pwd:standinpassword0123456789\r\n", s.ufrag);
            let etag = s.etag.clone();
            let mut r = response(200, restart);
            add_header(&mut r, CONTENT_TYPE, FRAGMENT_TYPE);
            add_header(&mut r, ETAG, &etag);
            Ok(r)
        }
        "*" => Ok(response(422, "")),
        tag if tag == s.etag => Ok(response(204, "")),
        _ => Ok(response(412, "")),
    }
}

/// Opens an event stream of a front on one of its sessions; it ends with that session.
fn event_stream(node: SharedNode, run: String, id: String) -> mpsc::Receiver<String> {
    let (sender, receiver) = mpsc::channel(8);
    node.borrow_mut().count_event_stream(&run, true);
    spawn_local(async move {
        let mut ticks = tokio::time::interval(Duration::from_millis(100));
        let load_period = Duration::from_millis(node.borrow().options.load_event_period_ms);
        let (mut delivered_at, mut link_at, mut sent_at) =
            (Instant::now(), Instant::now() - load_period, Instant::now());
        let (mut was_short, mut closing) = (false, false);
        'stream: while !closing {
            tokio::select! {
                _ = ticks.tick() => {}
                () = sender.closed() => break,
            }
            let mut events = Vec::new();
            {
                let mut n = node.borrow_mut();
                closing = !n.sessions.contains_key(&id);
                for ended in n.ended.remove(&run).unwrap_or_default() {
                    events.push(write_event("inactive", &format!("{{\"session\":\"/s/{ended}\"}}")));
                }
                if let Some([delivered, link, uplink]) = n.visible_load() {
                    if delivered_at.elapsed() >= Duration::from_secs(1) && (delivered < 0.98 || was_short) {
                        (delivered_at, was_short) = (Instant::now(), delivered < 0.98);
                        events.push(write_event(EVENT_DELIVERED, &format!("{{\"value\":{delivered:.4}}}")));
                    }
                    if link_at.elapsed() >= load_period {
                        link_at = Instant::now();
                        events.push(write_event(EVENT_LINK, &format!("{{\"value\":{link:.4}}}")));
                        events.push(write_event(EVENT_UPLINK, &format!("{{\"value\":{uplink:.4}}}")));
                    }
                }
            }
            if events.is_empty() && sent_at.elapsed() >= Duration::from_secs(1) {
                events.push(": still here\n\n".into());
            }
            for event in events {
                sent_at = Instant::now();
                if sender.send(event).await.is_err() {
                    break 'stream;
                }
            }
        }
        node.borrow_mut().count_event_stream(&run, false);
    });
    receiver
}

async fn serve_control(node: SharedNode, listener: TcpListener, crash: watch::Sender<bool>) {
    let mut crashed = crash.subscribe();
    loop {
        let accepted = tokio::select! {
            a = listener.accept() => a,
            _ = crashed.wait_for(|d| *d) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let (node, crash) = (node.clone(), crash.clone());
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (node, crash) = (node.clone(), crash.clone());
                async move {
                    if request.method() == Method::POST {
                        let body = Limited::new(request.into_body(), 16 << 10).collect().await?.to_bytes();
                        match serde_json::from_slice::<Command>(&body) {
                            Ok(command) => execute(&node, &crash, command),
                            Err(e) => return Ok::<_, BoxError>(response(400, e.to_string())),
                        }
                    }
                    let state = node.borrow().state();
                    Ok(response(200, serde_json::to_vec(&state)?))
                }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
