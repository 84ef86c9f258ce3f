//! What both listeners share: responses, bodies within their bounds, and the loop that accepts connections.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
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
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tracing::warn;

/// Body of every response.
pub type Out = BoxBody<Bytes, Infallible>;

/// A response with a body of one piece.
pub fn response(status: u16, kind: &str, body: impl Into<Bytes>) -> Response<Out> {
    let mut r = Response::new(Full::new(body.into()).boxed());
    *r.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if !kind.is_empty() {
        set(&mut r, CONTENT_TYPE.as_str(), kind);
    }
    r
}

/// Sets a header; a value that no header can hold is left out.
pub fn set(r: &mut Response<Out>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        r.headers_mut().insert(name, value);
    }
}

/// Adds a header beside those of its name.
pub fn add(r: &mut Response<Out>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        r.headers_mut().append(name, value);
    }
}

/// Problem details, with `Retry-After` where there is advice.
pub fn problem(p: &Problem) -> Response<Out> {
    let mut r = response(p.status, PROBLEM_JSON, p.to_json());
    if let Some(s) = p.retry_after_s() {
        set(&mut r, RETRY_AFTER.as_str(), &s.to_string());
    }
    r
}

/// What is read and thrown away past the bound, so that a client that sends all before it reads still hears
/// why it was turned away.
const DISCARDED: usize = 16 << 20;

/// Reads a body within its bounds.
///
/// # Errors
/// 413 past the bound, 408 past the time, 400 where it breaks off.
pub async fn body(mut incoming: Incoming, limits: &Limits) -> Result<Bytes, Problem> {
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
            } else if length > DISCARDED {
                break;
            }
        }
        Ok(())
    };
    match tokio::time::timeout(Duration::from_nanos(limits.body_time), whole).await {
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
pub struct Events(pub mpsc::Receiver<String>);

impl Body for Events {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|e| e.map(|e| Ok(Frame::data(Bytes::from(e)))))
    }
}

/// Accepts connections until told to close; then those that are open finish what they are writing.
pub async fn accept<F, R>(listener: TcpListener, limits: Limits, closed: watch::Receiver<bool>, each: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<Out>> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    let mut closing = closed.clone();
    let mut told = tokio::time::Instant::now() - Duration::from_secs(10);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    // Out of descriptors, most likely: the next one is tried once some may be free.
                    warn!(event = "accept-failed", "{e}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            _ = closing.wait_for(|c| *c) => return,
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
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let (each, open, mut closing) = (each.clone(), open.clone(), closed.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let answer = each(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_nanos(limits.head_time))
                .max_buf_size(limits.head)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            tokio::select! {
                // How a client's connection ended is told by what it left unanswered.
                _ = &mut connection => {}
                _ = closing.wait_for(|c| *c) => {
                    connection.as_mut().graceful_shutdown();
                    let _ = tokio::time::timeout(Duration::from_millis(900), connection).await;
                }
            }
            open.set(open.get() - 1);
        });
    }
}
