//! The operators' page, on a listener of its own: authenticated by the admin key, loopback by default.

use crate::console_policy;
use crate::fleet_io::{AnnounceError, announce};
use crate::http::{EventBody, Phase, ResponseBody, accept, problem, read_body, response, set_header};
use crate::shell::Shell;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, COOKIE, SET_COOKIE};
use hyper::{Method, Request, Response};
use pepperhook_peaks::{Announcement, Refused};
use pepperhook_signalling::{Problem, write_event};
use std::rc::Rc;
use std::time::Duration;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const PAGE_HTML: &str = include_str!("console.html");
/// Time between two states on the page.
const STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Serves until told to close.
pub async fn serve(shell: Rc<Shell>, listener: TcpListener, phase: watch::Receiver<Phase>) {
    let mut limits = shell.config.limits;
    // A console has few readers; they must not take the viewers' descriptors.
    limits.connections = limits.connections.min(64);
    accept(listener, limits, phase, move |request| {
        let shell = shell.clone();
        async move { handle(&shell, request).await }
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

async fn handle(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<ResponseBody> {
    let Some(by_query) = authorized(shell, &request) else {
        return problem(&Problem::new(401, "admin-key", "Not authorized", "open the address with its key"));
    };
    let path = request.uri().path().to_owned();
    let reads = request.method() == Method::GET;
    let mut r = match path.as_str() {
        "/console" if reads => response(200, "text/html; charset=utf-8", PAGE_HTML),
        "/state" if reads => response(200, "application/json", state_json(shell)),
        "/console/events" if reads => event_stream(shell),
        "/peaks" if reads => response(200, "application/json", peaks_json(shell)),
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
    if by_query {
        set_header(
            &mut r,
            SET_COOKIE.as_str(),
            &format!("pepperhook-key={}; HttpOnly; SameSite=Strict; Path=/", shell.admin_key),
        );
    }
    r
}

/// Announcements and what is held for them here.
fn peaks_json(shell: &Shell) -> String {
    let holds = shell.engine(|e, now| e.hold_rows(now));
    serde_json::json!({"announced": shell.fleet_io.announcements(), "holds": holds}).to_string()
}

/// A browser sends the cookie wherever a page bids it; only who shows the key itself may change something.
pub fn require_bearer_key(request: &Request<Incoming>) -> Option<Response<ResponseBody>> {
    let shown = request.headers().contains_key(AUTHORIZATION);
    let detail = "changes need the key as a bearer token";
    (!shown).then(|| problem(&Problem::new(401, "admin-key", "Not authorized", detail)))
}

/// `POST /peaks` announces, `PUT /peaks/{name}` amends, `DELETE /peaks/{name}` calls off.
async fn change_peak(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<ResponseBody> {
    if let Some(no) = require_bearer_key(&request) {
        return no;
    }
    let method = request.method().clone();
    let name = request.uri().path().strip_prefix("/peaks/").map(str::to_owned);
    let name = name.map(|n| percent_encoding::percent_decode_str(&n).decode_utf8_lossy().into_owned());
    let bytes = match read_body(request.into_body(), &shell.config.limits).await {
        Ok(bytes) => bytes,
        Err(p) => return problem(&p),
    };
    let parsed = || {
        serde_json::from_slice::<Announcement>(&bytes)
            .map_err(|e| Problem::new(422, "announcement", "Not an announcement", e.to_string()))
    };
    let (said, amends) = match (method, name) {
        (Method::POST, None) => (parsed(), false),
        (Method::PUT, Some(name)) => (
            parsed().and_then(|a| match a.name == name {
                true => Ok(a),
                false => Err(Problem::new(
                    422,
                    "announcement",
                    "Not this peak",
                    "'name' is not the one of the path",
                )),
            }),
            true,
        ),
        (Method::DELETE, Some(name)) => {
            let standing = shell.fleet_io.announcement(&name).filter(|a| !a.cancelled);
            let none = || Problem::new(404, "peak", "No such peak", "none of this name stands");
            (standing.ok_or_else(none).map(|a| Announcement { cancelled: true, ..a }), true)
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
    let done = match said {
        Ok(said) => announce(shell, said, amends).await.map_err(|e| announce_problem(&e)),
        Err(p) => Err(p),
    };
    match done {
        Ok(said) => response(
            if amends { 200 } else { 201 },
            "application/json",
            serde_json::to_vec(&said).unwrap_or_default(),
        ),
        Err(p) => problem(&p),
    }
}

fn announce_problem(why: &AnnounceError) -> Problem {
    match why {
        AnnounceError::Refused(Refused::Fields(faults)) => {
            let detail =
                faults.iter().map(|f| format!("{}: {}", f.field, f.what)).collect::<Vec<_>>().join("; ");
            let fields = serde_json::to_value(faults).unwrap_or_default();
            Problem::new(422, "announcement", "Not an announcement", detail).with("fields", fields)
        }
        AnnounceError::Refused(Refused::Room { could }) => {
            let detail =
                format!("there is room for {could} viewers at their most, beside the peaks that stand");
            Problem::new(409, "room", "Not the room", detail).with("could-hold-viewers", (*could).into())
        }
        AnnounceError::Refused(Refused::Many) => {
            Problem::new(409, "many", "Too many peaks", "max-peaks is reached")
        }
        AnnounceError::Exists => {
            Problem::new(409, "exists", "It stands already", "a peak of this name stands: amend it")
        }
        AnnounceError::Unknown => Problem::new(404, "peak", "No such peak", "none of this name stands"),
        AnnounceError::TooLong => {
            Problem::new(422, "announcement", "Too long", "an announcement of 900 bytes at most is taken")
        }
        AnnounceError::Store(e) => Problem::new(500, "store", "It could not be kept", e.clone()),
    }
}

fn state_json(shell: &Shell) -> String {
    serde_json::to_string(&shell.snapshot()).unwrap_or_default()
}

fn event_stream(shell: &Rc<Shell>) -> Response<ResponseBody> {
    let (tell, told) = mpsc::channel(2);
    let shell = shell.clone();
    tokio::task::spawn_local(async move {
        let mut ticks = tokio::time::interval(STATE_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = tell.closed() => return,
            }
            // A reader who lags gets the newest state when it is ready for one.
            if tell.send(write_event("state", &state_json(&shell))).await.is_err() {
                return;
            }
        }
    });
    let mut r = Response::new(EventBody(told).boxed());
    set_header(&mut r, CONTENT_TYPE.as_str(), "text/event-stream");
    r
}
