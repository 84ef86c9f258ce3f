//! What both listeners share: responses, bodies within their bounds, and the loop that accepts connections.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
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

/// Body of every response.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

/// A response with a body of one piece.
pub fn response(status: u16, kind: &str, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut r = Response::new(Full::new(body.into()).boxed());
    *r.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if !kind.is_empty() {
        set_header(&mut r, CONTENT_TYPE.as_str(), kind);
    }
    r
}

/// Sets a header; a value that no header can hold is left out.
pub fn set_header(r: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        r.headers_mut().insert(name, value);
    }
}

/// Adds a header beside those of its name.
pub fn append_header(r: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        r.headers_mut().append(name, value);
    }
}

/// Problem details, with `Retry-After` where there is advice.
pub fn problem(p: &Problem) -> Response<ResponseBody> {
    let mut r = response(p.status, PROBLEM_JSON, p.to_json());
    if let Some(s) = p.retry_after_s() {
        set_header(&mut r, RETRY_AFTER.as_str(), &s.to_string());
    }
    // RFC 9110, 11.6.1, of viewers' tokens and of the console's key alike.
    if p.status == 401 {
        set_header(&mut r, WWW_AUTHENTICATE.as_str(), "Bearer");
    }
    r
}

/// What is read and thrown away past the bound, so that a client that sends all before it reads still hears
/// why it was turned away.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Reads a body within its bounds.
///
/// # Errors
/// 413 past the bound, 408 past the time, 400 where it breaks off.
pub async fn read_body(mut incoming: Incoming, limits: &Limits) -> Result<Bytes, Problem> {
    let (mut kept, mut length) = (BytesMut::new(), 0usize);
    let whole = async {
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| {
                Problem::new(400, "body-broken", "The body broke off", "the body did not come whole")
            })?;
            let Some(data) = frame.data_ref() else { continue };
            length = length.saturating_add(data.len());
            if length <= limits.body {
                kept.extend_from_slice(data);
            } else if length > MAX_DISCARDED_BYTES {
                break;
            }
        }
        Ok(())
    };
    match tokio::time::timeout(Duration::from_nanos(limits.body_timeout), whole).await {
        Ok(read) => read?,
        Err(_) => {
            return Err(Problem::new(408, "body-slow", "The body took too long", "send the body at once"));
        }
    }
    if length > limits.body {
        let detail = format!("bodies of {} bytes at most are taken", limits.body);
        return Err(Problem::new(413, "body-too-large", "The body is too large", detail));
    }
    Ok(kept.freeze())
}

/// A body of server-sent events.
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

/// How far a front's stop has come, as its listeners see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It takes no new work: each response closes its connection (RFC 9112, 9.6).
    Stopping,
    /// Connections end.
    Closing,
}

/// A connection between two requests has so long for its next one once the front stops.
const FINAL_REQUEST_WAIT: Duration = Duration::from_millis(300);
/// What a request hears that came as its connection was about to be shut.
const LATE_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 1\r\n\
access-control-allow-origin: *\r\ncontent-length: 0\r\n\r\n";

/// Accepts connections until told to close; those that wait in the backlog then are served too.
pub async fn accept<F, R>(listener: TcpListener, limits: Limits, phase: watch::Receiver<Phase>, each: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Unpin + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    let mut closing = phase.clone();
    let mut told = tokio::time::Instant::now() - Duration::from_secs(10);
    loop {
        let (stream, _) = tokio::select! {
            biased;
            accepted = pepperhook_net::accept(&listener) => accepted,
            _ = closing.wait_for(|p| *p == Phase::Closing) => return,
        };
        if open.get() >= limits.connections {
            if told.elapsed() > Duration::from_secs(5) {
                told = tokio::time::Instant::now();
                warn!(
                    event = "connections-full",
                    most = limits.connections,
                    "a connection was closed as it came"
                );
            }
            continue;
        }
        open.set(open.get() + 1);
        let (each, open, phase) = (each.clone(), open.clone(), phase.clone());
        tokio::task::spawn_local(async move {
            serve(stream, limits, phase, each).await;
            open.set(open.get() - 1);
        });
    }
}

/// Serves one connection to its end.
async fn serve<F, R>(stream: TcpStream, limits: Limits, phase: watch::Receiver<Phase>, each: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Unpin + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    // Whether a response has said that the connection closes: nothing may follow that one.
    let said: Rc<Cell<bool>> = Rc::default();
    let (stopping, saying) = (phase.clone(), said.clone());
    let service = service_fn(move |request| {
        let (answer, stopping, saying) = (each(request), stopping.clone(), saying.clone());
        Box::pin(async move {
            let mut response = answer.await;
            if *stopping.borrow() >= Phase::Stopping {
                set_header(&mut response, "connection", "close");
                saying.set(true);
            }
            Ok::<_, Infallible>(response)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_nanos(limits.head_timeout))
        .max_buf_size(limits.head)
        .serve_connection(TokioIo::new(stream), service);
    let whole = {
        let mut served = std::pin::pin!(std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)));
        let mut stopped = phase.clone();
        let time_up = async {
            let _ = stopped.wait_for(|p| *p >= Phase::Stopping).await;
            tokio::time::sleep(FINAL_REQUEST_WAIT).await;
        };
        tokio::select! {
            // How a client's connection ended is told by what it left unanswered.
            ended = &mut served => Some(ended.is_ok()),
            () = time_up => None,
        }
    };
    let whole = match whole {
        Some(whole) => whole,
        None => {
            // Between two requests it ends here; one that is being answered, or streams, ends as that does.
            Pin::new(&mut connection).graceful_shutdown();
            let mut ended = phase.clone();
            let last = async {
                let _ = ended.wait_for(|p| *p == Phase::Closing).await;
                tokio::time::sleep(FINAL_REQUEST_WAIT).await;
            };
            tokio::select! {
                ended = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)) => ended.is_ok(),
                () = last => false,
            }
        }
    };
    if *phase.borrow() == Phase::Serving || !whole {
        return;
    }
    let parts = connection.into_parts();
    close_connection(parts.io.into_inner(), !parts.read_buf.is_empty(), said.get()).await;
}

/// Ends a connection in order: what came too late is told so, the sending side is shut, the rest is read and left.
async fn close_connection(mut stream: TcpStream, mut late: bool, said_close: bool) {
    let mut buffer = [0u8; 4_096];
    let mut read = 0;
    if let (false, Ok(n)) = (late, stream.try_read(&mut buffer)) {
        (late, read) = (n > 0, n);
    }
    if late && !said_close {
        let _ = tokio::time::timeout(pepperhook_net::LINGER_TIME, stream.write_all(LATE_RESPONSE)).await;
    }
    pepperhook_net::linger(&mut stream, read).await;
}
