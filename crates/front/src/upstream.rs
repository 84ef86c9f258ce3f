//! The client of the nodes: WHIP and WHEP over HTTP/1.1, keep-alive connections pooled a node.

use crate::engine::types::{AttemptEnd, Created, NodeEvent, StreamEnd};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{ACCEPT, CONTENT_TYPE, ETAG, HOST, LINK, LOCATION, VIA};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use pepperhook_signalling::{
    Direction, EVENT_DELIVERED, EVENT_LINK, EVENT_UPLINK, EventReader, LoadReport, ORCA_HEADER, Offer,
    REL_EVENTS, REL_LAYER, SDP_TYPE, ServerEvent, check_answer, link_with_rel,
};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tracing::warn;

/// Bytes of a node's body at most.
const MOST_BODY: usize = 64 << 10;
/// Bytes of a node's list of sessions at most.
const MOST_LIST: usize = 4 << 20;
/// Idle connections kept for a node, and how long.
const MOST_IDLE: usize = 32;
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Warnings of answers that do not fit come no more often.
const WARN_EVERY: Duration = Duration::from_secs(5);
/// An event stream that says nothing for so long is held to be broken; nodes send comments each second.
const SILENCE: Duration = Duration::from_secs(5);

/// A socket that can be shut or reset from outside while hyper reads and writes it.
struct Wire(Arc<TcpStream>);

impl AsyncRead for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

/// Holds on to one request's connection, to close it from outside.
#[derive(Clone, Default)]
pub struct Hold(Rc<HoldState>);

#[derive(Default)]
struct HoldState {
    stream: RefCell<Option<Arc<TcpStream>>>,
    closed: Cell<bool>,
}

impl Hold {
    /// Shuts the sending side: the node sees the end of the requests and may still be heard.
    pub fn close(&self) {
        self.0.closed.set(true);
        if let Some(stream) = &*self.0.stream.borrow() {
            // A connection that is gone already is closed all the same.
            let _ = SockRef::from(&**stream).shutdown(Shutdown::Write);
        }
    }

    /// Makes the close of the connection, which follows as its task ends, a reset.
    pub fn reset(&self) {
        self.close();
        if let Some(stream) = self.0.stream.borrow_mut().take() {
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
    }

    fn is_closed(&self) -> bool {
        self.0.closed.get()
    }
}

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoResponse {
    /// The request never left.
    NoConnection,
    /// It may have been seen.
    Broken,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    stream: Arc<TcpStream>,
    since: Instant,
}

/// A response with what brought it.
struct Reply {
    response: Response<Incoming>,
    idle: Idle,
}

/// The client of all nodes.
pub struct Upstream {
    pools: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    via: String,
    connect_time: Duration,
    warned: Cell<Option<Instant>>,
}

fn text(response: &Response<Incoming>, name: impl hyper::header::AsHeaderName) -> Option<&str> {
    response.headers().get(name).and_then(|v| v.to_str().ok())
}

/// The path of a URL that a node gave: relative to the node's root, or absolute at its own address.
fn path_at(node: SocketAddr, url: &str) -> Option<String> {
    let own = format!("http://{node}");
    let path = url.strip_prefix(&own).unwrap_or(url);
    let sane = path.starts_with('/') && !path.starts_with("//") && path.len() <= 1_024;
    (sane && path.bytes().all(|b| b.is_ascii_graphic())).then(|| path.to_owned())
}

impl Upstream {
    /// A client that names its front in `Via` (RFC 9110, 7.6.3), with a comment that tells this run of it from
    /// another: a node must not take a restarted front for the one that set its sessions up.
    #[must_use]
    pub fn new(front: &str, run: u32, connect_time: Duration) -> Self {
        let front: String =
            front.chars().filter(|c| c.is_ascii_alphanumeric() || "-._".contains(*c)).collect();
        Self {
            pools: RefCell::default(),
            via: format!("1.1 {front} (run {run:08x})"),
            connect_time,
            warned: Cell::new(None),
        }
    }

    fn build(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        kind: &str,
        body: Bytes,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder().method(method).uri(path).header(HOST, node.to_string());
        request = request.header(VIA, &self.via).header(ACCEPT, "*/*");
        // What has no body has no type.
        if !body.is_empty() {
            request = request.header(CONTENT_TYPE, kind);
        }
        request.body(Full::new(body)).ok()
    }

    fn pooled(&self, node: SocketAddr) -> Option<Idle> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&node)?;
        pool.retain(|i| i.since.elapsed() < IDLE_TIME && !i.sender.is_closed());
        pool.pop()
    }

    fn give_back(&self, node: SocketAddr, mut idle: Idle, hold: &Hold) {
        if hold.is_closed() || idle.sender.is_closed() {
            return;
        }
        idle.since = Instant::now();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(node).or_default();
        if pool.len() < MOST_IDLE {
            pool.push(idle);
        }
    }

    async fn connect(&self, node: SocketAddr) -> Result<Idle, NoResponse> {
        let connecting = timeout(self.connect_time, TcpStream::connect(node));
        let stream =
            connecting.await.map_err(|_| NoResponse::NoConnection)?.map_err(|_| NoResponse::NoConnection)?;
        // Set-ups are one small write each way.
        let _ = stream.set_nodelay(true);
        let stream = Arc::new(stream);
        let io = TokioIo::new(Wire(stream.clone()));
        let (sender, connection) = http1::handshake(io).await.map_err(|_| NoResponse::NoConnection)?;
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Idle { sender, stream, since: Instant::now() })
    }

    /// Sends a request. A pooled connection that closed before it took the request is passed over: the
    /// request then never left.
    async fn send(
        &self,
        node: SocketAddr,
        request: Request<Full<Bytes>>,
        hold: &Hold,
    ) -> Result<Reply, NoResponse> {
        let mut request = request;
        loop {
            let (mut idle, fresh) = match self.pooled(node) {
                Some(idle) => (idle, false),
                None => (self.connect(node).await?, true),
            };
            if hold.is_closed() {
                return Err(NoResponse::NoConnection);
            }
            *hold.0.stream.borrow_mut() = Some(idle.stream.clone());
            if idle.sender.ready().await.is_err() {
                if fresh {
                    return Err(NoResponse::NoConnection);
                }
                continue;
            }
            match idle.sender.try_send_request(request).await {
                Ok(response) => return Ok(Reply { response, idle }),
                Err(mut e) => match e.take_message() {
                    Some(back) if !fresh && !hold.is_closed() => request = back,
                    Some(_) => return Err(NoResponse::NoConnection),
                    None => return Err(NoResponse::Broken),
                },
            }
        }
    }

    async fn body(&self, node: SocketAddr, reply: Reply, hold: &Hold) -> Result<Bytes, NoResponse> {
        let Reply { response, idle } = reply;
        let collected = Limited::new(response.into_body(), MOST_BODY).collect().await;
        let bytes = collected.map_err(|_| NoResponse::Broken)?.to_bytes();
        self.give_back(node, idle, hold);
        Ok(bytes)
    }

    /// One attempt to set a session up.
    pub async fn set_up(
        &self,
        node: SocketAddr,
        publish: bool,
        title: &str,
        offer: Bytes,
        hold: &Hold,
    ) -> AttemptEnd {
        let offered = offer.clone();
        let path = format!("/{}/{title}", if publish { "whip" } else { "whep" });
        let Some(request) = self.build(node, Method::POST, &path, SDP_TYPE, offer) else {
            return AttemptEnd::NoConnection;
        };
        let reply = match self.send(node, request, hold).await {
            Ok(reply) => reply,
            Err(_) if hold.is_closed() => return AttemptEnd::Closed,
            Err(NoResponse::NoConnection) => return AttemptEnd::NoConnection,
            Err(NoResponse::Broken) => return AttemptEnd::Broken,
        };
        let r = &reply.response;
        let load = text(r, ORCA_HEADER).map(LoadReport::parse).unwrap_or_default();
        let status = r.status().as_u16();
        if status != 201 {
            // Its body tells nothing more, but must be read before the connection can serve again.
            let _ = self.body(node, reply, hold).await;
            return AttemptEnd::Answered(status, load);
        }
        let links = || r.headers().get_all(LINK).iter().filter_map(|v| v.to_str().ok());
        let at = |rel| link_with_rel(links(), rel).and_then(|url| path_at(node, &url));
        let (events, layer) = (at(REL_EVENTS), at(REL_LAYER));
        let ice = links().filter(|l| l.contains("ice-server")).map(str::to_owned).collect();
        let etag = text(r, ETAG).map(str::to_owned);
        let path = text(r, LOCATION).and_then(|url| path_at(node, url));
        let is_sdp = text(r, CONTENT_TYPE).is_some_and(|t| t.starts_with(SDP_TYPE));
        let body = self.body(node, reply, hold).await;
        match (body, path) {
            (Ok(answer), Some(path)) if is_sdp && self.fits(node, publish, &offered, &answer) => {
                AttemptEnd::Created(Created { path, etag, answer, events, layer, ice, load })
            }
            (Err(_), _) if hold.is_closed() => AttemptEnd::Closed,
            (Err(_), _) => AttemptEnd::Broken,
            // A 201 that names no session, or whose answer is no viewer's to take, is an answer all the same: the attempt is over.
            (Ok(_), Some(path)) => {
                self.delete(node, &path).await;
                AttemptEnd::Answered(502, load)
            }
            (Ok(_), None) => AttemptEnd::Answered(502, load),
        }
    }

    /// Whether a node's answer is one to the offer; else a viewer would reject it, and the node's session is of no use.
    fn fits(&self, node: SocketAddr, publish: bool, offered: &[u8], answer: &[u8]) -> bool {
        let way = if publish { Direction::Send } else { Direction::Receive };
        let Ok(offer) = Offer::parse(offered, way) else { return false };
        let Err(fault) = check_answer(&offer, answer) else { return true };
        if self.warned.get().is_none_or(|at| at.elapsed() >= WARN_EVERY) {
            self.warned.set(Some(Instant::now()));
            warn!(event = "answer-rejected", node = %node, "{fault}");
        }
        false
    }

    /// Deletes a session, within three tries of a second each; a node that cannot be reached has lost it.
    pub async fn delete(&self, node: SocketAddr, path: &str) {
        for pause in [0, 100, 400] {
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let Some(request) = self.build(node, Method::DELETE, path, SDP_TYPE, Bytes::new()) else {
                return;
            };
            if let Ok(Ok(_)) = timeout(Duration::from_secs(1), self.exchange(node, request)).await {
                return;
            }
        }
    }

    async fn exchange(
        &self,
        node: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(u16, Bytes), NoResponse> {
        let hold = Hold::default();
        let reply = self.send(node, request, &hold).await?;
        let status = reply.response.status().as_u16();
        Ok((status, self.body(node, reply, &hold).await?))
    }

    /// Asks a node for its load: OPTIONS on an endpoint, which every node answers and which changes nothing (RFC
    /// 9725, 4.2); the load report comes as with any answer. `None` where none came within the time.
    pub async fn probe(&self, node: SocketAddr, path: &str, time: Duration) -> Option<LoadReport> {
        let request = self.build(node, Method::OPTIONS, path, SDP_TYPE, Bytes::new())?;
        let hold = Hold::default();
        let whole = async {
            let reply = self.send(node, request, &hold).await.ok()?;
            let load = text(&reply.response, ORCA_HEADER).map(LoadReport::parse);
            self.body(node, reply, &hold).await.ok()?;
            load
        };
        timeout(time, whole).await.ok().flatten()
    }

    /// What this front's requests say in `Via`.
    #[must_use]
    pub fn via(&self) -> &str {
        &self.via
    }

    /// Reads a node's list of sessions: the path of each and the `Via` it was set up with. An extension of the
    /// project's own: JSON, `[{"path":"/s/1","via":"1.1 front (run 0)"}]`.
    pub async fn sessions(
        &self,
        node: SocketAddr,
        path: &str,
        time: Duration,
    ) -> Option<Vec<(String, String)>> {
        #[derive(serde::Deserialize)]
        struct Row {
            path: String,
            via: String,
        }
        let request = self.build(node, Method::GET, path, "application/json", Bytes::new())?;
        let hold = Hold::default();
        let whole = async {
            let reply = self.send(node, request, &hold).await.ok()?;
            let Reply { response, idle } = reply;
            let found = response.status() == 200;
            let body = Limited::new(response.into_body(), MOST_LIST).collect().await.ok()?.to_bytes();
            self.give_back(node, idle, &hold);
            found.then_some(body)
        };
        let body = timeout(time, whole).await.ok().flatten()?;
        let rows: Vec<Row> = serde_json::from_slice(&body).ok()?;
        rows.into_iter().map(|r| Some((path_at(node, &r.path)?, r.via))).collect()
    }

    /// Chooses the rung of a session by the layer extension; false if the node did not take it.
    pub async fn set_layer(&self, node: SocketAddr, path: &str, rung: u8) -> bool {
        let body = format!("{{\"mediaId\":\"1\",\"encodingId\":\"{rung}\"}}");
        let Some(request) = self.build(node, Method::POST, path, "application/json", body.into()) else {
            return false;
        };
        let done = timeout(Duration::from_secs(1), self.exchange(node, request)).await;
        matches!(done, Ok(Ok((200..=299, _))))
    }

    /// Carries a PATCH through; returns status, entity tag, content type and body.
    ///
    /// # Errors
    /// Without a response within the time.
    pub async fn patch(
        &self,
        node: SocketAddr,
        path: &str,
        kind: &str,
        if_match: Option<&str>,
        body: Bytes,
        time: Duration,
    ) -> Result<(u16, Option<String>, Option<String>, Bytes), NoResponse> {
        let mut request =
            self.build(node, Method::PATCH, path, kind, body).ok_or(NoResponse::NoConnection)?;
        if let Some(tag) = if_match.and_then(|t| t.parse().ok()) {
            request.headers_mut().insert(hyper::header::IF_MATCH, tag);
        }
        let hold = Hold::default();
        let whole = async {
            let reply = self.send(node, request, &hold).await?;
            let status = reply.response.status().as_u16();
            let (etag, kind) = (text(&reply.response, ETAG), text(&reply.response, CONTENT_TYPE));
            let (etag, kind) = (etag.map(str::to_owned), kind.map(str::to_owned));
            Ok((status, etag, kind, self.body(node, reply, &hold).await?))
        };
        timeout(time, whole).await.unwrap_or(Err(NoResponse::Broken))
    }

    /// Follows a node's events until they end.
    pub async fn follow(&self, node: SocketAddr, path: &str, mut each: impl FnMut(NodeEvent)) -> StreamEnd {
        let wanted = serde_json::json!(["inactive", EVENT_DELIVERED, EVENT_LINK, EVENT_UPLINK]).to_string();
        let Some(post) = self.build(node, Method::POST, path, "application/json", wanted.into()) else {
            return StreamEnd::Refused;
        };
        let opened = timeout(Duration::from_secs(1), async {
            let hold = Hold::default();
            let reply = self.send(node, post, &hold).await?;
            let status = reply.response.status().as_u16();
            let at = text(&reply.response, LOCATION).and_then(|u| path_at(node, u));
            self.body(node, reply, &hold).await?;
            let Some(at) = at.filter(|_| status == 201) else { return Ok(Err(status)) };
            let get = self.build(node, Method::GET, &at, "text/event-stream", Bytes::new());
            let get = get.ok_or(NoResponse::NoConnection)?;
            // A stream lasts: it has a connection of its own.
            let mut idle = self.connect(node).await?;
            let sent = idle.sender.try_send_request(get).await;
            let response = sent.map_err(|_| NoResponse::Broken)?;
            let status = response.status().as_u16();
            Ok(if status == 200 { Ok((response, idle)) } else { Err(status) })
        });
        let (response, _idle) = match opened.await {
            Ok(Ok(Ok(open))) => open,
            Ok(Ok(Err(404 | 410))) => return StreamEnd::SessionUnknown,
            Ok(Ok(Err(_))) => return StreamEnd::Refused,
            Ok(Err(NoResponse::NoConnection)) => return StreamEnd::NoConnection,
            Ok(Err(NoResponse::Broken)) | Err(_) => return StreamEnd::Closed,
        };
        let mut body = response.into_body();
        let mut reader = EventReader::default();
        while let Ok(Some(Ok(frame))) = timeout(SILENCE, body.frame()).await {
            if let Some(data) = frame.data_ref() {
                reader.push(data, |e| each_news(&e, &mut each));
            }
        }
        StreamEnd::Closed
    }
}

fn each_news(event: &ServerEvent, each: &mut impl FnMut(NodeEvent)) {
    let Ok(data) = serde_json::from_str::<serde_json::Value>(&event.data) else { return };
    let value = data.get("value").and_then(serde_json::Value::as_f64);
    let news = match (event.name.as_str(), value) {
        (EVENT_DELIVERED, Some(v)) => NodeEvent::Delivered(v),
        (EVENT_LINK, Some(v)) => NodeEvent::Link(v),
        (EVENT_UPLINK, Some(v)) => NodeEvent::Uplink(v),
        ("inactive", _) => match data.get("session").and_then(serde_json::Value::as_str) {
            Some(path) => NodeEvent::Inactive(path.to_owned()),
            None => return,
        },
        _ => return,
    };
    each(news);
}

#[cfg(test)]
mod tests {
    use super::path_at;

    #[test]
    fn a_session_url_stays_at_its_node() {
        let node = "127.0.0.1:9".parse().expect("an address");
        assert_eq!(path_at(node, "/s/1").as_deref(), Some("/s/1"));
        assert_eq!(path_at(node, "http://127.0.0.1:9/s/1").as_deref(), Some("/s/1"));
        for bad in ["http://127.0.0.2:9/s/1", "//evil/s", "s/1", "/a b", "/\r\n", ""] {
            assert_eq!(path_at(node, bad), None, "{bad}");
        }
    }
}
