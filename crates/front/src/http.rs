//! HTTP parts that both listeners use: responses, and the accept loop.

use crate::client_stream::{ClientPresence, ClientStream};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::server::conn::http1::{self, Parts};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use pepperhook_net::ByteTotal;
use pepperhook_settings::Limits;
use pepperhook_signalling::{PROBLEM_JSON, Problem};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tracing::warn;

/// Body type of every response.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

/// A response with a complete body. An empty `kind` sets no content type.
pub fn response(status: u16, kind: &str, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut r = Response::new(Full::new(body.into()).boxed());
    *r.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if !kind.is_empty() {
        set_header(&mut r, CONTENT_TYPE.as_str(), kind);
    }
    r
}

/// Sets a header; a value that is not valid in a header is left out.
pub fn set_header(r: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        r.headers_mut().insert(name, value);
    }
}

/// Adds a header and keeps others of the same name.
pub fn append_header(r: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        r.headers_mut().append(name, value);
    }
}

/// A response with problem details (RFC 9457), and `Retry-After` if the problem has a time for it.
pub fn problem(p: &Problem) -> Response<ResponseBody> {
    let mut r = response(p.status, PROBLEM_JSON, p.to_json());
    if let Some(s) = p.retry_after_s() {
        set_header(&mut r, RETRY_AFTER.as_str(), &s.to_string());
    }
    // RFC 9110, 11.6.1; for viewers' tokens and the console's key.
    if p.status == 401 {
        set_header(&mut r, WWW_AUTHENTICATE.as_str(), "Bearer");
    }
    r
}

/// A response body of server-sent events, which ends when the sender is dropped.
pub struct EventBody(pub mpsc::Receiver<String>);

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|e| e.map(|e| Ok(Frame::data(Bytes::from(e)))))
    }
}

/// Phase of a front's shutdown, as its listeners see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The front serves.
    Serving,
    /// New requests are refused, and each response closes its connection (RFC 9112, 9.6).
    Stopping,
    /// All connections are being closed.
    Closing,
}

/// Time that a connection without a request in progress has for its next request once the front stops.
const FINAL_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// Response to a request that arrives while its connection is being closed.
const LATE_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\n\
access-control-allow-origin: *\r\ncontent-length: 0\r\n\r\n";

/// Accepts connections until [`Phase::Closing`] and serves each in a task of its own. Connections that are in the
/// backlog at that time are still accepted.
pub async fn accept<F, R>(listener: TcpListener, limits: Limits, phase: watch::Receiver<Phase>, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Unpin + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let open_connections = Rc::new(Cell::new(0usize));
    let read_ahead = ByteTotal::default();
    let mut closing = phase.clone();
    // Long enough ago that the first warning is due.
    let mut last_warning = tokio::time::Instant::now() - Duration::from_secs(10);
    loop {
        let (stream, _) = tokio::select! {
            biased;
            accepted = pepperhook_net::accept(&listener) => accepted,
            _ = closing.wait_for(|p| *p == Phase::Closing) => return,
        };
        if open_connections.get() >= limits.connections {
            if last_warning.elapsed() > Duration::from_secs(5) {
                last_warning = tokio::time::Instant::now();
                warn!(
                    event = "connections-full",
                    most = limits.connections,
                    "too many open connections: a new one was closed"
                );
            }
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (handler, open_connections, phase) = (handler.clone(), open_connections.clone(), phase.clone());
        let read_ahead = read_ahead.clone();
        tokio::task::spawn_local(async move {
            serve(stream, read_ahead, limits, phase, handler).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Serves one connection to its end. What is read ahead of the client counts in `read_ahead`.
async fn serve<F, R>(
    stream: TcpStream,
    read_ahead: ByteTotal,
    limits: Limits,
    phase: watch::Receiver<Phase>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Unpin + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    // Set once a response had `Connection: close`; no further response may follow it.
    let close_announced: Rc<Cell<bool>> = Rc::default();
    let (service_phase, announced) = (phase.clone(), close_announced.clone());
    let stream = ClientStream::new(stream, read_ahead);
    let client = stream.presence();
    let service = service_fn(move |request: Request<Incoming>| {
        let (phase, announced, client) = (service_phase.clone(), announced.clone(), client.clone());
        let ends_something = request.method() == Method::DELETE;
        let answer = handler(request);
        Box::pin(async move {
            let mut response = match ends_something {
                true => answer.await,
                false => answer_present_client(&client, answer).await,
            };
            if *phase.borrow() >= Phase::Stopping {
                set_header(&mut response, "connection", "close");
                announced.set(true);
            }
            Ok::<_, Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_nanos(limits.head_timeout))
        .max_buf_size(limits.head)
        .serve_connection(TokioIo::new(stream), service);
    let ended_cleanly = {
        let mut served = std::pin::pin!(std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)));
        let mut stopped = phase.clone();
        let time_up = async {
            let _ = stopped.wait_for(|p| *p >= Phase::Stopping).await;
            tokio::time::sleep(FINAL_REQUEST_WAIT).await;
        };
        tokio::select! {
            // A broken client connection is not logged: its unanswered requests are withdrawn and counted.
            result = &mut served => Some(result.is_ok()),
            () = time_up => None,
        }
    };
    let ended_cleanly = match ended_cleanly {
        Some(ended_cleanly) => ended_cleanly,
        None => {
            // A connection without a request in progress ends now; others end after their response or stream.
            Pin::new(&mut connection).graceful_shutdown();
            let mut closing = phase.clone();
            let time_up = async {
                let _ = closing.wait_for(|p| *p == Phase::Closing).await;
                tokio::time::sleep(FINAL_REQUEST_WAIT).await;
            };
            tokio::select! {
                result = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)) => result.is_ok(),
                () = time_up => false,
            }
        }
    };
    if *phase.borrow() == Phase::Serving || !ended_cleanly {
        return;
    }
    let Parts { io, read_buf, service, .. } = connection.into_parts();
    // It watches the socket too.
    drop(service);
    if let Some((stream, has_unread)) = io.into_inner().into_socket() {
        close_connection(stream, has_unread || !read_buf.is_empty(), close_announced.get()).await;
    }
}

/// Waits for the answer as long as the client is there. Dropping the answer withdraws the request, and an answer that has
/// not begun starts nothing: hyper reads requests that a client wrote ahead of its close one by one, long after the close.
async fn answer_present_client<R>(client: &ClientPresence, answer: R) -> Response<ResponseBody>
where
    R: Future<Output = Response<ResponseBody>>,
{
    if client.has_left() {
        return response(503, "", Bytes::new());
    }
    tokio::select! {
        biased;
        () = client.left() => response(503, "", Bytes::new()),
        answered = answer => answered,
    }
}

/// Closes a connection in order: answers a late request by [`LATE_RESPONSE`], unless a response has announced the close,
/// then half-closes and discards further input. `late_request`: bytes of a request have been read already.
async fn close_connection(mut stream: TcpStream, mut late_request: bool, close_announced: bool) {
    let mut buffer = [0u8; 4_096];
    let mut read_bytes = 0;
    if let (false, Ok(n)) = (late_request, stream.try_read(&mut buffer)) {
        (late_request, read_bytes) = (n > 0, n);
    }
    if late_request && !close_announced {
        let _ = tokio::time::timeout(pepperhook_net::LINGER_TIME, stream.write_all(LATE_RESPONSE)).await;
    }
    pepperhook_net::linger(&mut stream, read_bytes).await;
}
