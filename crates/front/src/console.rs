//! The operators' page, on a listener of its own: authenticated by the admin key, loopback by default.

use crate::console_policy;
use crate::http::{Events, Out, Phase, accept, body, problem, response, set};
use crate::shell::Shell;
use crate::spread::{NotTaken, announce};
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

const PAGE: &str = include_str!("console.html");
/// Time between two states on the page.
const EVERY: Duration = Duration::from_secs(1);

/// Serves until told to close.
pub async fn serve(shell: Rc<Shell>, listener: TcpListener, phase: watch::Receiver<Phase>) {
    let mut limits = shell.config.limits;
    // A console has few readers; they must not take the viewers' descriptors.
    limits.connections = limits.connections.min(64);
    accept(listener, limits, phase, move |request| {
        let shell = shell.clone();
        async move { answer(&shell, request).await }
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

async fn answer(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<Out> {
    let Some(by_query) = authorized(shell, &request) else {
        return problem(&Problem::new(401, "admin-key", "Not authorized", "open the address with its key"));
    };
    let path = request.uri().path().to_owned();
    let reads = request.method() == Method::GET;
    let mut r = match path.as_str() {
        "/console" if reads => response(200, "text/html; charset=utf-8", PAGE),
        "/state" if reads => response(200, "application/json", state(shell)),
        "/console/events" if reads => events(shell),
        "/peaks" if reads => response(200, "application/json", peaks(shell)),
        p if p == "/peaks" || p.starts_with("/peaks/") => change(shell, request).await,
        "/policy" | "/voters" => console_policy::answer(shell, request).await,
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

/// Announcements and what is held for them here.
fn peaks(shell: &Shell) -> String {
    let holds = shell.engine(|e, now| e.reservation_rows(now));
    serde_json::json!({"announced": shell.spread.announcements(), "holds": holds}).to_string()
}

/// A browser sends the cookie wherever a page bids it; only who shows the key itself may change something.
pub fn only_by_key(request: &Request<Incoming>) -> Option<Response<Out>> {
    let shown = request.headers().contains_key(AUTHORIZATION);
    let detail = "changes need the key as a bearer token";
    (!shown).then(|| problem(&Problem::new(401, "admin-key", "Not authorized", detail)))
}

/// `POST /peaks` announces, `PUT /peaks/{name}` amends, `DELETE /peaks/{name}` calls off.
async fn change(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<Out> {
    if let Some(no) = only_by_key(&request) {
        return no;
    }
    let method = request.method().clone();
    let name = request.uri().path().strip_prefix("/peaks/").map(str::to_owned);
    let name = name.map(|n| percent_encoding::percent_decode_str(&n).decode_utf8_lossy().into_owned());
    let bytes = match body(request.into_body(), &shell.config.limits).await {
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
            let standing = shell.spread.announcement(&name).filter(|a| !a.cancelled);
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
        Ok(said) => announce(shell, said, amends).await.map_err(|e| not_taken(&e)),
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

fn not_taken(why: &NotTaken) -> Problem {
    match why {
        NotTaken::Refused(Refused::Fields(faults)) => {
            let detail =
                faults.iter().map(|f| format!("{}: {}", f.field, f.what)).collect::<Vec<_>>().join("; ");
            let fields = serde_json::to_value(faults).unwrap_or_default();
            Problem::new(422, "announcement", "Not an announcement", detail).with("fields", fields)
        }
        NotTaken::Refused(Refused::Room { could }) => {
            let detail =
                format!("there is room for {could} viewers at their most, beside the peaks that stand");
            Problem::new(409, "room", "Not the room", detail).with("could-hold-viewers", (*could).into())
        }
        NotTaken::Refused(Refused::Many) => {
            Problem::new(409, "many", "Too many peaks", "max-peaks is reached")
        }
        NotTaken::Exists => {
            Problem::new(409, "exists", "It stands already", "a peak of this name stands: amend it")
        }
        NotTaken::Unknown => Problem::new(404, "peak", "No such peak", "none of this name stands"),
        NotTaken::Long => {
            Problem::new(422, "announcement", "Too long", "an announcement of 900 bytes at most is taken")
        }
        NotTaken::Store(e) => Problem::new(500, "store", "It could not be kept", e.clone()),
    }
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
