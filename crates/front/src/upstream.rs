//! HTTP client for the nodes: WHIP and WHEP over HTTP/1.1, with a pool of keep-alive connections per node.

use crate::engine::types::{AttemptEnd, Created, NodeEvent, StreamEnd};
use crate::shared_stream::SharedStream;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{ACCEPT, CONTENT_TYPE, ETAG, HOST, LINK, LOCATION, VIA};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use pepperhook_liveness::FailedDial;
use pepperhook_signalling::{
    Direction, EVENT_DELIVERED, EVENT_LINK, EVENT_UPLINK, EventReader, LoadReport, ORCA_HEADER, Offer,
    REL_EVENTS, REL_LAYER, SDP_TYPE, ServerEvent, check_answer, link_with_rel,
};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tracing::warn;

/// Largest response body that is read from a node, bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Largest list of sessions that is read from a node, bytes.
const MAX_SESSION_LIST_BYTES: usize = 4 << 20;
/// Idle connections kept in the pool of one node.
const MAX_IDLE_PER_NODE: usize = 32;
/// An idle connection is dropped from the pool after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a request to a node other than a set-up.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between two warnings about SDP answers that do not fit their offer.
const WARNING_INTERVAL: Duration = Duration::from_secs(5);
/// An event stream without data for this time counts as broken; nodes send a comment every second.
const EVENT_STREAM_TIMEOUT: Duration = Duration::from_secs(5);

/// Handle of the connection that carries one request, to close or reset it from outside the task that sends it.
#[derive(Clone, Default)]
pub struct AttemptHandle(Rc<HandleState>);

#[derive(Default)]
struct HandleState {
    stream: RefCell<Option<Arc<TcpStream>>>,
    closed: Cell<bool>,
}

impl AttemptHandle {
    /// Half-close: shuts down the sending side. The node sees the end of the requests, and its response can still be read.
    pub fn close(&self) {
        self.0.closed.set(true);
        if let Some(stream) = &*self.0.stream.borrow() {
            // An error means that the connection is already closed.
            let _ = SockRef::from(&**stream).shutdown(Shutdown::Write);
        }
    }

    /// Sets a linger time of zero, which makes the close at the end of the connection's task a reset (RST).
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

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoResponse {
    /// The request was not sent.
    NoConnection,
    /// The request may have reached the node.
    Broken,
}

/// Why a dial failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DialError {
    /// The node, or the way to it.
    Node(FailedDial),
    /// This process or its machine.
    Local,
}

impl DialError {
    fn of_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                Self::Node(FailedDial::Refused)
            }
            io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable | io::ErrorKind::TimedOut => {
                Self::Node(FailedDial::TimedOut)
            }
            _ => Self::Local,
        }
    }
}

impl From<DialError> for NoResponse {
    fn from(_: DialError) -> Self {
        Self::NoConnection
    }
}

impl From<DialError> for StreamEnd {
    fn from(error: DialError) -> Self {
        match error {
            DialError::Node(end) => Self::DialFailed(Some(end)),
            DialError::Local => Self::DialFailed(None),
        }
    }
}

/// A connection to a node, in use or in the pool.
struct NodeConnection {
    sender: SendRequest<Full<Bytes>>,
    stream: Arc<TcpStream>,
    /// When it was opened or last returned to the pool.
    since: Instant,
}

/// A response and the connection on which it came.
struct Reply {
    response: Response<Incoming>,
    connection: NodeConnection,
}

/// The HTTP client for all nodes.
pub struct Upstream {
    pools: RefCell<HashMap<SocketAddr, Vec<NodeConnection>>>,
    via: String,
    connect_timeout: Duration,
    last_warning: Cell<Option<Instant>>,
}

/// A response header as text; `None` if absent or not ASCII.
fn text(response: &Response<Incoming>, name: impl hyper::header::AsHeaderName) -> Option<&str> {
    response.headers().get(name).and_then(|v| v.to_str().ok())
}

/// The path of a URL that a node returned: either an absolute path, or an absolute URL at the node's own address.
/// Anything else is rejected, because a request would then go to another host.
fn path_at(node: SocketAddr, url: &str) -> Option<String> {
    let own = format!("http://{node}");
    let path = url.strip_prefix(&own).unwrap_or(url);
    let valid = path.starts_with('/') && !path.starts_with("//") && path.len() <= 1_024;
    (valid && path.bytes().all(|b| b.is_ascii_graphic())).then(|| path.to_owned())
}

impl Upstream {
    /// A client that sends its front's name in `Via` (RFC 9110, 7.6.3). The comment in it is unique to this run: sessions
    /// of a restarted front must not be attributed to the run that set them up.
    #[must_use]
    pub fn new(front: &str, run: u32, connect_timeout: Duration) -> Self {
        let front: String =
            front.chars().filter(|c| c.is_ascii_alphanumeric() || "-._".contains(*c)).collect();
        Self {
            pools: RefCell::default(),
            via: format!("1.1 {front} (run {run:08x})"),
            connect_timeout,
            last_warning: Cell::new(None),
        }
    }

    fn build_request(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder().method(method).uri(path).header(HOST, node.to_string());
        request = request.header(VIA, &self.via).header(ACCEPT, "*/*");
        // A request without a body has no content type.
        if !body.is_empty() {
            request = request.header(CONTENT_TYPE, content_type);
        }
        request.body(Full::new(body)).ok()
    }

    fn take_pooled(&self, node: SocketAddr) -> Option<NodeConnection> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&node)?;
        pool.retain(|i| i.since.elapsed() < IDLE_TIMEOUT && !i.sender.is_closed());
        pool.pop()
    }

    fn return_to_pool(&self, node: SocketAddr, mut connection: NodeConnection, handle: &AttemptHandle) {
        if handle.is_closed() || connection.sender.is_closed() {
            return;
        }
        connection.since = Instant::now();
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(node).or_default();
        if pool.len() < MAX_IDLE_PER_NODE {
            pool.push(connection);
        }
    }

    async fn connect(&self, node: SocketAddr) -> Result<NodeConnection, DialError> {
        let connecting = timeout(self.connect_timeout, TcpStream::connect(node));
        let connected = connecting.await.map_err(|_| DialError::Node(FailedDial::TimedOut))?;
        let stream = connected.map_err(|e| DialError::of_error(&e))?;
        // A set-up is one small write in each direction: Nagle's algorithm would only delay it.
        let _ = stream.set_nodelay(true);
        let stream = Arc::new(stream);
        let io = TokioIo::new(SharedStream(stream.clone()));
        let (sender, connection) = http1::handshake(io).await.map_err(|_| DialError::Local)?;
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(NodeConnection { sender, stream, since: Instant::now() })
    }

    /// Sends a request. If a pooled connection closed before the request was written, the next one is tried; the request
    /// was not sent then. The first new connection is the last try.
    async fn send(
        &self,
        node: SocketAddr,
        request: Request<Full<Bytes>>,
        handle: &AttemptHandle,
    ) -> Result<Reply, NoResponse> {
        let mut request = request;
        loop {
            let (mut connection, fresh) = match self.take_pooled(node) {
                Some(connection) => (connection, false),
                None => (self.connect(node).await?, true),
            };
            if handle.is_closed() {
                return Err(NoResponse::NoConnection);
            }
            *handle.0.stream.borrow_mut() = Some(connection.stream.clone());
            if connection.sender.ready().await.is_err() {
                if fresh {
                    return Err(NoResponse::NoConnection);
                }
                continue;
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(Reply { response, connection }),
                Err(mut e) => match e.take_message() {
                    Some(unsent) if !fresh && !handle.is_closed() => request = unsent,
                    Some(_) => return Err(NoResponse::NoConnection),
                    None => return Err(NoResponse::Broken),
                },
            }
        }
    }

    /// Reads the response's body and returns the connection to the pool.
    async fn read_body(
        &self,
        node: SocketAddr,
        reply: Reply,
        handle: &AttemptHandle,
    ) -> Result<Bytes, NoResponse> {
        let Reply { response, connection } = reply;
        let collected = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
        let bytes = collected.map_err(|_| NoResponse::Broken)?.to_bytes();
        self.return_to_pool(node, connection, handle);
        Ok(bytes)
    }

    /// Runs one attempt to set a session up: POST of the offer, then a check of the answer.
    pub async fn set_up(
        &self,
        node: SocketAddr,
        publish: bool,
        title: &str,
        offer: Bytes,
        handle: &AttemptHandle,
    ) -> AttemptEnd {
        let offered = offer.clone();
        let path = format!("/{}/{title}", if publish { "whip" } else { "whep" });
        let Some(request) = self.build_request(node, Method::POST, &path, SDP_TYPE, offer) else {
            return AttemptEnd::NoConnection;
        };
        let reply = match self.send(node, request, handle).await {
            Ok(reply) => reply,
            Err(_) if handle.is_closed() => return AttemptEnd::Closed,
            Err(NoResponse::NoConnection) => return AttemptEnd::NoConnection,
            Err(NoResponse::Broken) => return AttemptEnd::Broken,
        };
        let r = &reply.response;
        let load = text(r, ORCA_HEADER).map(LoadReport::parse).unwrap_or_default();
        let status = r.status().as_u16();
        if status != 201 {
            // The body is not used, but must be read before the connection can be reused.
            let _ = self.read_body(node, reply, handle).await;
            return AttemptEnd::Answered(status, load);
        }
        let links = || r.headers().get_all(LINK).iter().filter_map(|v| v.to_str().ok());
        let linked_path = |rel| link_with_rel(links(), rel).and_then(|url| path_at(node, &url));
        let (events, layer) = (linked_path(REL_EVENTS), linked_path(REL_LAYER));
        let ice = links().filter(|l| l.contains("ice-server")).map(str::to_owned).collect();
        let etag = text(r, ETAG).map(str::to_owned);
        let path = text(r, LOCATION).and_then(|url| path_at(node, url));
        let is_sdp = text(r, CONTENT_TYPE).is_some_and(|t| t.starts_with(SDP_TYPE));
        let body = self.read_body(node, reply, handle).await;
        match (body, path) {
            (Ok(answer), Some(path))
                if is_sdp && self.answer_fits_offer(node, publish, &offered, &answer) =>
            {
                AttemptEnd::Created(Created { path, etag, answer, events, layer, ice, load })
            }
            (Err(_), _) if handle.is_closed() => AttemptEnd::Closed,
            (Err(_), _) => AttemptEnd::Broken,
            // A 201 without a session path, or with an answer that does not fit the offer, also ends the attempt.
            (Ok(_), Some(path)) => {
                self.delete(node, &path).await;
                AttemptEnd::Answered(502, load)
            }
            (Ok(_), None) => AttemptEnd::Answered(502, load),
        }
    }

    /// True if the SDP answer fits the offer. A viewer would reject any other, and the node's session would be useless.
    fn answer_fits_offer(&self, node: SocketAddr, publish: bool, offered: &[u8], answer: &[u8]) -> bool {
        let direction = if publish { Direction::Send } else { Direction::Receive };
        let Ok(offer) = Offer::parse(offered, direction) else { return false };
        let Err(error) = check_answer(&offer, answer) else { return true };
        if self.last_warning.get().is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) {
            self.last_warning.set(Some(Instant::now()));
            warn!(event = "answer-rejected", node = %node, "{error}");
        }
        false
    }

    /// Deletes a session: three tries with a time-out of 1 s each. A node that cannot be reached is taken to have lost it.
    pub async fn delete(&self, node: SocketAddr, path: &str) {
        for pause in [0, 100, 400] {
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if self.delete_once(node, path).await {
                return;
            }
        }
    }

    /// Deletes a session, with a time-out of 1 s; false if the node did not answer.
    pub async fn delete_once(&self, node: SocketAddr, path: &str) -> bool {
        let Some(request) = self.build_request(node, Method::DELETE, path, SDP_TYPE, Bytes::new()) else {
            return true;
        };
        matches!(timeout(REQUEST_TIMEOUT, self.request(node, request)).await, Ok(Ok(_)))
    }

    /// Sends a request outside any attempt; returns status and body.
    async fn request(
        &self,
        node: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(u16, Bytes), NoResponse> {
        let handle = AttemptHandle::default();
        let reply = self.send(node, request, &handle).await?;
        let status = reply.response.status().as_u16();
        Ok((status, self.read_body(node, reply, &handle).await?))
    }

    /// Reads a node's load by OPTIONS on an endpoint, which every node answers and which changes nothing (RFC 9725, 4.2);
    /// the load report is in a header, as in any response. `None` if none arrived within `time_limit`.
    pub async fn probe(&self, node: SocketAddr, path: &str, time_limit: Duration) -> Option<LoadReport> {
        let request = self.build_request(node, Method::OPTIONS, path, SDP_TYPE, Bytes::new())?;
        let handle = AttemptHandle::default();
        let exchange = async {
            let reply = self.send(node, request, &handle).await.ok()?;
            let load = text(&reply.response, ORCA_HEADER).map(LoadReport::parse);
            self.read_body(node, reply, &handle).await.ok()?;
            load
        };
        timeout(time_limit, exchange).await.ok().flatten()
    }

    /// Value of `Via` in this front's requests.
    #[must_use]
    pub fn via(&self) -> &str {
        &self.via
    }

    /// Reads a node's list of sessions: the path of each and the `Via` it was set up with. This is no standard but an
    /// extension of this project: JSON, `[{"path":"/s/1","via":"1.1 front (run 0)"}]`.
    pub async fn sessions(
        &self,
        node: SocketAddr,
        path: &str,
        time_limit: Duration,
    ) -> Option<Vec<(String, String)>> {
        #[derive(serde::Deserialize)]
        struct Row {
            path: String,
            via: String,
        }
        let request = self.build_request(node, Method::GET, path, "application/json", Bytes::new())?;
        let handle = AttemptHandle::default();
        let exchange = async {
            let reply = self.send(node, request, &handle).await.ok()?;
            let Reply { response, connection } = reply;
            let found = response.status() == 200;
            let body =
                Limited::new(response.into_body(), MAX_SESSION_LIST_BYTES).collect().await.ok()?.to_bytes();
            self.return_to_pool(node, connection, &handle);
            found.then_some(body)
        };
        let body = timeout(time_limit, exchange).await.ok().flatten()?;
        let rows: Vec<Row> = serde_json::from_slice(&body).ok()?;
        rows.into_iter().map(|r| Some((path_at(node, &r.path)?, r.via))).collect()
    }

    /// Sets the rung of a session by the WHEP layer extension; false if the node did not accept it.
    pub async fn set_layer(&self, node: SocketAddr, path: &str, rung: u8) -> bool {
        let body = format!("{{\"mediaId\":\"1\",\"encodingId\":\"{rung}\"}}");
        let Some(request) = self.build_request(node, Method::POST, path, "application/json", body.into())
        else {
            return false;
        };
        let done = timeout(REQUEST_TIMEOUT, self.request(node, request)).await;
        matches!(done, Ok(Ok((200..=299, _))))
    }

    /// Forwards a PATCH to the node; returns status, entity tag, content type and body.
    ///
    /// # Errors
    /// If no response arrived within `time_limit`.
    pub async fn patch(
        &self,
        node: SocketAddr,
        path: &str,
        content_type: &str,
        if_match: Option<&str>,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<(u16, Option<String>, Option<String>, Bytes), NoResponse> {
        let mut request = self
            .build_request(node, Method::PATCH, path, content_type, body)
            .ok_or(NoResponse::NoConnection)?;
        if let Some(tag) = if_match.and_then(|t| t.parse().ok()) {
            request.headers_mut().insert(hyper::header::IF_MATCH, tag);
        }
        let handle = AttemptHandle::default();
        let exchange = async {
            let reply = self.send(node, request, &handle).await?;
            let status = reply.response.status().as_u16();
            let (etag, content_type) = (text(&reply.response, ETAG), text(&reply.response, CONTENT_TYPE));
            let (etag, content_type) = (etag.map(str::to_owned), content_type.map(str::to_owned));
            Ok((status, etag, content_type, self.read_body(node, reply, &handle).await?))
        };
        timeout(time_limit, exchange).await.unwrap_or(Err(NoResponse::Broken))
    }

    /// Subscribes to a node's event stream and calls `on_news` for each event, until the stream ends.
    pub async fn follow(
        &self,
        node: SocketAddr,
        path: &str,
        mut on_news: impl FnMut(NodeEvent),
    ) -> StreamEnd {
        // Each on a new connection: whether one comes up tells more of the node than one of the pool, which it may have
        // forgotten.
        let mut subscription = match self.connect(node).await {
            Ok(connection) => connection,
            Err(e) => return e.into(),
        };
        let subscribing = self.subscribe(node, path, &mut subscription);
        let stream_path = match timeout(REQUEST_TIMEOUT, subscribing).await {
            Ok(Ok(stream_path)) => stream_path,
            Ok(Err(end)) => return end,
            Err(_) => return StreamEnd::Refused,
        };
        self.return_to_pool(node, subscription, &AttemptHandle::default());
        // The stream stays open, so it gets a connection outside the pool.
        let mut connection = match self.connect(node).await {
            Ok(connection) => connection,
            Err(e) => return e.into(),
        };
        let opening = self.open_stream(node, &stream_path, &mut connection);
        let response = match timeout(REQUEST_TIMEOUT, opening).await {
            Ok(Ok(response)) => response,
            Ok(Err(end)) => return end,
            Err(_) => return StreamEnd::Refused,
        };
        let mut body = response.into_body();
        let mut reader = EventReader::default();
        loop {
            match timeout(EVENT_STREAM_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        reader.push(data, |e| dispatch_event(&e, &mut on_news));
                    }
                }
                Ok(_) => return StreamEnd::Closed,
                Err(_) => return StreamEnd::Silent(EVENT_STREAM_TIMEOUT.as_nanos() as u64),
            }
        }
    }

    /// Subscribes to the events of a session on this connection; returns the path of the stream.
    async fn subscribe(
        &self,
        node: SocketAddr,
        path: &str,
        connection: &mut NodeConnection,
    ) -> Result<String, StreamEnd> {
        let wanted = serde_json::json!(["inactive", EVENT_DELIVERED, EVENT_LINK, EVENT_UPLINK]).to_string();
        let post = self.build_request(node, Method::POST, path, "application/json", wanted.into());
        let response = send_on(connection, post).await?;
        let status = response.status().as_u16();
        let stream_path = text(&response, LOCATION).and_then(|u| path_at(node, u));
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
        body.map_err(|_| StreamEnd::Refused)?;
        match (status, stream_path) {
            (201, Some(stream_path)) => Ok(stream_path),
            (404 | 410, _) => Err(StreamEnd::SessionUnknown),
            _ => Err(StreamEnd::Refused),
        }
    }

    /// Opens an event stream on this connection.
    async fn open_stream(
        &self,
        node: SocketAddr,
        stream_path: &str,
        connection: &mut NodeConnection,
    ) -> Result<Response<Incoming>, StreamEnd> {
        let get = self.build_request(node, Method::GET, stream_path, "text/event-stream", Bytes::new());
        let response = send_on(connection, get).await?;
        match response.status().as_u16() {
            200 => Ok(response),
            404 | 410 => Err(StreamEnd::SessionUnknown),
            _ => Err(StreamEnd::Refused),
        }
    }
}

/// Sends a request of an event stream on a connection that has just come up.
async fn send_on(
    connection: &mut NodeConnection,
    request: Option<Request<Full<Bytes>>>,
) -> Result<Response<Incoming>, StreamEnd> {
    let request = request.ok_or(StreamEnd::Refused)?;
    connection.sender.try_send_request(request).await.map_err(|_| StreamEnd::Refused)
}

/// Parses an event of a node and passes it on; unknown events are ignored.
fn dispatch_event(event: &ServerEvent, on_news: &mut impl FnMut(NodeEvent)) {
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
    on_news(news);
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
