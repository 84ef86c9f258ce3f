//! The operators' console and its HTTP interface, on a separate listener (loopback by default). Each request needs the
//! admin key.

use crate::console_policy;
use crate::fleet_io::{AnnounceError, announce};
use crate::http::{EventBody, Phase, ResponseBody, accept, problem, response, set_header};
use crate::request_body::read_body;
use crate::shell::Shell;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, COOKIE, SET_COOKIE};
use hyper::{Method, Request, Response};
use pepperhook_peaks::{AdmissionError, Announcement};
use pepperhook_signalling::{Problem, write_event};
use std::rc::Rc;
use std::time::Duration;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// The console's page.
const PAGE_HTML: &str = include_str!("console.html");
/// Time between two states on the console's event stream.
const STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Serves until [`Phase::Closing`].
pub async fn serve(shell: Rc<Shell>, listener: TcpListener, phase: watch::Receiver<Phase>) {
    let mut limits = shell.config.limits;
    // A console has few readers, which must not use up the file descriptors for viewers.
    limits.connections = limits.connections.min(64);
    accept(listener, limits, phase, move |request| {
        let shell = shell.clone();
        async move { handle(&shell, request).await }
    })
    .await;
}

/// Looks for the admin key in the query, a cookie or a bearer token. `None` without a valid key, `Some(true)` for a key in
/// the query, in which case the response sets the cookie.
fn authorized(shell: &Shell, request: &Request<Incoming>) -> Option<bool> {
    let is_key = |given: &str| bool::from(shell.admin_key.as_bytes().ct_eq(given.as_bytes()));
    let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    let query = request.uri().query().unwrap_or("").split('&').find_map(|p| p.strip_prefix("key="));
    let cookie = header(COOKIE).split(';').find_map(|c| c.trim().strip_prefix("pepperhook-key="));
    let bearer = header(AUTHORIZATION).strip_prefix("Bearer ");
    match (query.is_some_and(is_key), cookie.is_some_and(is_key) || bearer.is_some_and(is_key)) {
        (true, _) => Some(true),
        (false, true) => Some(false),
        _ => None,
    }
}

async fn handle(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<ResponseBody> {
    let Some(key_in_query) = authorized(shell, &request) else {
        return problem(&Problem::new(401, "admin-key", "Not authorized", "open the address with its key"));
    };
    let path = request.uri().path().to_owned();
    let is_get = request.method() == Method::GET;
    let mut r = match path.as_str() {
        "/console" if is_get => response(200, "text/html; charset=utf-8", PAGE_HTML),
        "/state" if is_get => response(200, "application/json", state_json(shell)),
        "/console/events" if is_get => event_stream(shell),
        "/peaks" if is_get => response(200, "application/json", peaks_json(shell)),
        p if p == "/peaks" || p.starts_with("/peaks/") => change_peak(shell, request).await,
        "/policy" | "/voters" => console_policy::handle(shell, request).await,
        "/console" | "/state" | "/console/events" => {
            problem(&Problem::new(405, "method", "Method not allowed", "GET is allowed here"))
        }
        _ => problem(&Problem::new(
            404,
            "path",
            "Not found",
            "/console, /console/events, /state, /peaks, /policy and /voters are served",
        )),
    };
    set_header(&mut r, "cache-control", "no-store");
    set_header(
        &mut r,
        "content-security-policy",
        "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'",
    );
    set_header(&mut r, "referrer-policy", "no-referrer");
    if key_in_query {
        set_header(
            &mut r,
            SET_COOKIE.as_str(),
            &format!("pepperhook-key={}; HttpOnly; SameSite=Strict; Path=/", shell.admin_key),
        );
    }
    r
}

/// Announced peaks, and the capacity that this front holds for them, as JSON.
fn peaks_json(shell: &Shell) -> String {
    let holds = shell.engine(|e, now| e.reservation_rows(now));
    serde_json::json!({"announced": shell.fleet_io.announcements(), "holds": holds}).to_string()
}

/// Protects changes against cross-site request forgery: a browser adds the cookie to requests from any page, so a change
/// needs an `Authorization` header, which a foreign page cannot set. Returns the refusal, or `None` if the header is there.
pub fn require_bearer_key(request: &Request<Incoming>) -> Option<Response<ResponseBody>> {
    let has_header = request.headers().contains_key(AUTHORIZATION);
    let detail = "a change needs the admin key as a bearer token";
    (!has_header).then(|| problem(&Problem::new(401, "admin-key", "Not authorized", detail)))
}

/// `POST /peaks` announces a peak, `PUT /peaks/{name}` amends it, `DELETE /peaks/{name}` cancels it.
async fn change_peak(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<ResponseBody> {
    if let Some(refusal) = require_bearer_key(&request) {
        return refusal;
    }
    let method = request.method().clone();
    let name = request.uri().path().strip_prefix("/peaks/").map(str::to_owned);
    let name = name.map(|n| percent_encoding::percent_decode_str(&n).decode_utf8_lossy().into_owned());
    let body = match read_body(request.into_body(), &shell.config.limits, &shell.body_budget).await {
        Ok(body) => body,
        Err(p) => return problem(&p),
    };
    let parsed = || {
        serde_json::from_slice::<Announcement>(&body)
            .map_err(|e| Problem::new(422, "announcement", "Not an announcement", e.to_string()))
    };
    let (announcement, amends) = match (method, name) {
        (Method::POST, None) => (parsed(), false),
        (Method::PUT, Some(name)) => (
            parsed().and_then(|a| match a.name == name {
                true => Ok(a),
                false => Err(Problem::new(
                    422,
                    "announcement",
                    "Not this peak",
                    format!("'name' is '{}', but the path names '{name}'", a.name),
                )),
            }),
            true,
        ),
        (Method::DELETE, Some(name)) => {
            let current = shell.fleet_io.announcement(&name).filter(|a| !a.cancelled);
            let unknown = || {
                let detail = format!("no peak '{name}' is announced, or it was cancelled");
                Problem::new(404, "peak", "No such peak", detail)
            };
            (current.ok_or_else(unknown).map(|a| Announcement { cancelled: true, ..a }), true)
        }
        _ => (
            Err(Problem::new(
                405,
                "method",
                "Method not allowed",
                "POST /peaks, PUT and DELETE /peaks/{name}",
            )),
            false,
        ),
    };
    let result = match announcement {
        Ok(announcement) => announce(shell, announcement, amends).await.map_err(|e| announce_problem(&e)),
        Err(p) => Err(p),
    };
    match result {
        Ok(announcement) => response(
            if amends { 200 } else { 201 },
            "application/json",
            serde_json::to_vec(&announcement).unwrap_or_default(),
        ),
        Err(p) => problem(&p),
    }
}

fn announce_problem(error: &AnnounceError) -> Problem {
    match error {
        AnnounceError::Refused(AdmissionError::Fields(faults)) => {
            let detail =
                faults.iter().map(|f| format!("{}: {}", f.field, f.what)).collect::<Vec<_>>().join("; ");
            let fields = serde_json::to_value(faults).unwrap_or_default();
            Problem::new(422, "announcement", "Not an announcement", detail).with("fields", fields)
        }
        AnnounceError::Refused(AdmissionError::Capacity { viewers }) => {
            let detail =
                format!("beside the peaks announced already there is room for {viewers} viewers at the most");
            Problem::new(409, "room", "Not the room", detail).with("could-hold-viewers", (*viewers).into())
        }
        AnnounceError::Refused(AdmissionError::TooManyPeaks) => {
            Problem::new(409, "many", "Too many peaks", "as many peaks are announced as max-peaks allows")
        }
        AnnounceError::Exists => Problem::new(
            409,
            "exists",
            "It stands already",
            "a peak of this name is already announced: amend it",
        ),
        AnnounceError::Unknown => Problem::new(
            404,
            "peak",
            "No such peak",
            "no peak of this name is announced, or it was cancelled",
        ),
        AnnounceError::TooLong => {
            Problem::new(422, "announcement", "Too long", "an announcement may have 900 bytes at the most")
        }
        AnnounceError::Store(e) => Problem::new(500, "store", "It could not be kept", e.clone()),
    }
}

fn state_json(shell: &Shell) -> String {
    serde_json::to_string(&shell.snapshot()).unwrap_or_default()
}

fn event_stream(shell: &Rc<Shell>) -> Response<ResponseBody> {
    let (sender, receiver) = mpsc::channel(2);
    let shell = shell.clone();
    tokio::task::spawn_local(async move {
        let mut ticks = tokio::time::interval(STATE_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = sender.closed() => return,
            }
            // A slow reader skips states: this waits until there is room for the next one.
            if sender.send(write_event("state", &state_json(&shell))).await.is_err() {
                return;
            }
        }
    });
    let mut r = Response::new(EventBody(receiver).boxed());
    set_header(&mut r, CONTENT_TYPE.as_str(), "text/event-stream");
    r
}
