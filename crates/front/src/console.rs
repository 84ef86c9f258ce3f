//! The operators' page, on a listener of its own: authenticated by the admin key, loopback by default.

use crate::http::{Events, Out, accept, problem, response, set};
use crate::shell::Shell;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, COOKIE, SET_COOKIE};
use hyper::{Method, Request, Response};
use pepperhook_signalling::{Problem, write_event};
use std::rc::Rc;
use std::time::Duration;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const PAGE: &str = include_str!("console.html");
/// Time between two states on the page.
const EVERY: Duration = Duration::from_secs(1);

/// Serves until told to close.
pub async fn serve(shell: Rc<Shell>, listener: TcpListener, closed: watch::Receiver<bool>) {
    let mut limits = shell.config.limits;
    // A console has few readers; they must not take the viewers' descriptors.
    limits.connections = limits.connections.min(64);
    accept(listener, limits, closed, move |request| {
        let shell = shell.clone();
        async move { answer(&shell, &request) }
    })
    .await;
}

/// The key, from the query, a cookie or a bearer token; `true` for the query, which sets the cookie.
fn authorized(shell: &Shell, request: &Request<Incoming>) -> Option<bool> {
    let same = |given: &str| bool::from(shell.admin_key.as_bytes().ct_eq(given.as_bytes()));
    let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    let query = request.uri().query().unwrap_or("").split('&').find_map(|p| p.strip_prefix("key="));
    let cookie = header(COOKIE).split(';').find_map(|c| c.trim().strip_prefix("pepperhook-key="));
    let bearer = header(AUTHORIZATION).strip_prefix("Bearer ");
    match (query.is_some_and(same), cookie.is_some_and(same) || bearer.is_some_and(same)) {
        (true, _) => Some(true),
        (false, true) => Some(false),
        _ => None,
    }
}

fn answer(shell: &Rc<Shell>, request: &Request<Incoming>) -> Response<Out> {
    let Some(by_query) = authorized(shell, request) else {
        return problem(&Problem::new(401, "admin-key", "Not authorized", "open the address with its key"));
    };
    if request.method() != Method::GET {
        return problem(&Problem::new(405, "method", "Method not allowed", "GET is allowed here"));
    }
    let mut r = match request.uri().path() {
        "/console" => response(200, "text/html; charset=utf-8", PAGE),
        "/state" => response(200, "application/json", state(shell)),
        "/console/events" => events(shell),
        _ => problem(&Problem::new(
            404,
            "path",
            "Not found",
            "/console, /console/events and /state are served",
        )),
    };
    set(&mut r, "cache-control", "no-store");
    set(
        &mut r,
        "content-security-policy",
        "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'",
    );
    set(&mut r, "referrer-policy", "no-referrer");
    if by_query {
        set(
            &mut r,
            SET_COOKIE.as_str(),
            &format!("pepperhook-key={}; HttpOnly; SameSite=Strict; Path=/", shell.admin_key),
        );
    }
    r
}

fn state(shell: &Shell) -> String {
    serde_json::to_string(&shell.snapshot()).unwrap_or_default()
}

fn events(shell: &Rc<Shell>) -> Response<Out> {
    let (tell, told) = mpsc::channel(2);
    let shell = shell.clone();
    tokio::task::spawn_local(async move {
        let mut ticks = tokio::time::interval(EVERY);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = tell.closed() => return,
            }
            // A reader who lags gets the newest state when it is ready for one.
            if tell.send(write_event("state", &state(&shell))).await.is_err() {
                return;
            }
        }
    });
    let mut r = Response::new(Events(told).boxed());
    set(&mut r, CONTENT_TYPE.as_str(), "text/event-stream");
    r
}
