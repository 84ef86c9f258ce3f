//! The HTTP interface for viewers (WHEP) and publishers (WHIP).
//!
//! | request | answer |
//! | --- | --- |
//! | `POST /whep/{title}`, `POST /whip/{title}` | 201, or a problem: see `problem_of` |
//! | `PATCH /session/{id}` | forwarded to the node, whose response is returned |
//! | `DELETE /session/{id}` | 200; the session is deleted at the node |
//! | `POST /session/{id}/events`, `GET /session/{id}/events/stream` | server-sent events |
//! | `OPTIONS` on each | CORS |
//!
//! `viewer`, `class`, `tenant` and `top` come from the query. If the settings have tokens, tenant and rights come from
//! the bearer token (`docs/operators.md`).

use crate::engine::types::*;
use crate::http::{EventBody, Phase, ResponseBody, accept, append_header, problem, response, set_header};
use crate::request_body::read_body;
use crate::shell::Shell;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{ALLOW, AUTHORIZATION, CONTENT_TYPE, ETAG, IF_MATCH, LINK, LOCATION};
use hyper::{HeaderMap, Method, Request, Response};
use pepperhook::ViewerKey;
use pepperhook_settings::{Token, name_hash};
use pepperhook_signalling::{
    Direction, EVENT_MOVE, FRAGMENT_TYPE, Fragment, Offer, Problem, REL_EVENTS, SDP_TYPE,
};
use std::rc::Rc;
use std::time::Duration;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tracing::{Instrument, debug, info_span};

/// Time for a node to answer a forwarded PATCH.
const PATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry-After for viewers of a live title that nobody publishes yet, milliseconds.
const UNPUBLISHED_RETRY_MS: u64 = 1_000;
/// Response header with the version of the agreed policy under which a set-up was decided. Problems have it as a member.
const POLICY_HEADER: &str = "pepperhook-policy";
/// Longest query argument that is accepted, in bytes after decoding; a longer one counts as absent.
const MAX_NAME_BYTES: usize = 256;

/// Serves until [`Phase::Closing`].
pub async fn serve(shell: Rc<Shell>, listener: TcpListener, phase: watch::Receiver<Phase>) {
    let limits = shell.config.limits;
    accept(listener, limits, phase, move |request| {
        let shell = shell.clone();
        async move { handle(&shell, request).await }
    })
    .await;
}

async fn handle(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<ResponseBody> {
    let mut r = match route(shell, request).await {
        Ok(r) => r,
        Err(p) => problem(&p),
    };
    set_header(&mut r, "access-control-allow-origin", "*");
    set_header(&mut r, "access-control-expose-headers", "location, etag, link, retry-after");
    if r.headers().contains_key(POLICY_HEADER) {
        set_header(
            &mut r,
            "access-control-expose-headers",
            "location, etag, link, retry-after, pepperhook-policy",
        );
    }
    r
}

fn not_allowed(allow: &str) -> Response<ResponseBody> {
    let p = Problem::new(405, "method", "Method not allowed", format!("allowed here: {allow}"));
    let mut r = problem(&p);
    set_header(&mut r, ALLOW.as_str(), allow);
    r
}

fn options(allow: &str, accept_post: Option<&str>) -> Response<ResponseBody> {
    let mut r = response(204, "", Bytes::new());
    set_header(&mut r, ALLOW.as_str(), allow);
    set_header(&mut r, "access-control-allow-methods", allow);
    set_header(&mut r, "access-control-allow-headers", "authorization, content-type, if-match");
    if let Some(kind) = accept_post {
        set_header(&mut r, "accept-post", kind);
    }
    // RFC 5789, 3.1.
    if allow.contains("PATCH") {
        set_header(&mut r, "accept-patch", &format!("{FRAGMENT_TYPE}, {SDP_TYPE}"));
    }
    r
}

/// Checks the request's bearer token and returns it; `None` if the settings have no tokens (RFC 6750; RFC 9725, 4.7).
fn authorize<'a>(shell: &'a Shell, headers: &HeaderMap) -> Result<Option<&'a Token>, Problem> {
    if shell.config.tokens.is_empty() {
        return Ok(None);
    }
    let bearer = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok()).and_then(|v| {
        let (scheme, token) = v.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
    });
    let matches = |t: &&Token| bool::from(t.secret.as_bytes().ct_eq(bearer.unwrap_or("").as_bytes()));
    match shell.config.tokens.iter().find(matches) {
        Some(token) => Ok(Some(token)),
        None => Err(Problem::new(
            401,
            "token",
            "Not authorized",
            "the request needs one of the configured tokens as its bearer token",
        )),
    }
}

/// Compares the request's media type, without parameters, with the expected one.
fn is_type(headers: &HeaderMap, wanted: &str) -> bool {
    let given = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok()).unwrap_or("");
    given.split(';').next().unwrap_or("").trim().eq_ignore_ascii_case(wanted)
}

fn wrong_type(wanted: &str) -> Problem {
    Problem::new(415, "media-type", "Unsupported media type", format!("{wanted} is expected"))
}

async fn route(shell: &Rc<Shell>, request: Request<Incoming>) -> Result<Response<ResponseBody>, Problem> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let method = request.method().clone();
    match (parts.as_slice(), method) {
        (["whep" | "whip", _], Method::OPTIONS) => Ok(options("POST, OPTIONS", Some(SDP_TYPE))),
        ([kind @ ("whep" | "whip"), title], Method::POST) => {
            post(shell, *kind == "whip", title, request).await
        }
        (["whep" | "whip", _], _) => Ok(not_allowed("POST, OPTIONS")),
        (["session", _], Method::OPTIONS) => Ok(options("PATCH, DELETE, OPTIONS", None)),
        (["session", id], Method::PATCH) => patch(shell, id, request).await,
        (["session", id], Method::DELETE) => {
            authorize(shell, request.headers())?;
            let resource = (*id).to_owned();
            match shell.request(|ticket| Input::Delete(ticket, resource)).await.0 {
                Answer::Ended => Ok(response(200, "", Bytes::new())),
                _ => Err(unknown_session()),
            }
        }
        (["session", _], _) => Ok(not_allowed("PATCH, DELETE, OPTIONS")),
        (["session", id, "events"], Method::POST) => subscribe(shell, id, request).await,
        (["session", _, "events"], Method::OPTIONS) => Ok(options("POST, OPTIONS", Some("application/json"))),
        (["session", _, "events"], _) => Ok(not_allowed("POST, OPTIONS")),
        (["session", id, "events", "stream"], Method::GET) => {
            authorize(shell, request.headers())?;
            if !matches!(shell.route(id).0, Route::Node(..)) {
                return Err(unknown_session());
            }
            let mut r = Response::new(EventBody(shell.open_stream(id)).boxed());
            set_header(&mut r, CONTENT_TYPE.as_str(), "text/event-stream");
            set_header(&mut r, "cache-control", "no-store");
            Ok(r)
        }
        (["session", _, "events", "stream"], _) => Ok(not_allowed("GET")),
        _ => Err(Problem::new(
            404,
            "path",
            "Not found",
            "sessions are asked for at /whep/{title} or /whip/{title}",
        )),
    }
}

fn unknown_session() -> Problem {
    Problem::new(404, "session", "No such session", "it has ended, or never was")
}

/// A query argument, decoded; the first of that name counts.
fn query<'a>(request: &'a Request<Incoming>, name: &str) -> Option<std::borrow::Cow<'a, str>> {
    let all = request.uri().query()?;
    let value = all.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)?.1;
    let decoded = percent_encoding::percent_decode_str(value).decode_utf8().ok()?;
    (decoded.len() <= MAX_NAME_BYTES).then_some(decoded)
}

/// Builds the engine's request from an authorized POST; the offer is filled in later.
fn set_up_request(
    shell: &Shell,
    publish: bool,
    title: &str,
    request: &Request<Incoming>,
    token: Option<&Token>,
) -> Result<SessionRequest, Problem> {
    // The engine's config has the classes and tenants in force; an agreed policy may have added some to the file's.
    let config = shell.engine(|e, _| e.config().clone());
    let bad_query = |detail: String| Problem::new(400, "query", "Bad query", detail);
    let name = percent_encoding::percent_decode_str(title).decode_utf8_lossy().into_owned();
    let placement = config.titles.get(&name).filter(|t| t.copies > 0);
    let placement =
        placement.ok_or_else(|| Problem::new(404, "title", "No such title", "nobody holds this title"))?;
    if token.is_some_and(|t| publish && !t.publish) {
        return Err(Problem::new(403, "token", "Not allowed", "this token may not publish"));
    }
    let class = match query(request, "class") {
        _ if publish => config.classes.iter().position(|c| c.ingest),
        Some(name) => config.classes.iter().position(|c| c.name == *name && !c.ingest),
        None => Some(usize::from(placement.class)),
    };
    let class = class.ok_or_else(|| match publish {
        true => Problem::new(405, "publish", "Publishing is not offered", "there is no class for ingest"),
        false => {
            let class = query(request, "class").unwrap_or_default();
            bad_query(format!("'class' is '{class}', which is no class for viewers"))
        }
    })?;
    let tenant = match (token, query(request, "tenant")) {
        (Some(token), _) => usize::from(token.tenant),
        (None, Some(name)) => config
            .tenants
            .iter()
            .position(|t| *t == name)
            .ok_or_else(|| bad_query(format!("'tenant' is '{name}', which is no tenant")))?,
        (None, None) => 0,
    };
    let top = match query(request, "top") {
        Some(top) => {
            top.parse::<u8>().map_err(|_| bad_query("'top' is a rung, a number from 0 to 255".into()))?
        }
        None => u8::MAX,
    };
    let top = token.and_then(|t| t.top).map_or(top, |limit| top.min(limit));
    let viewer = match query(request, "viewer") {
        // The token's name is part of the key: viewers of different tokens may have the same name.
        Some(v) => name_hash(&format!("{}\n{v}\n{name}\n{publish}", token.map_or("", |t| &t.name))),
        None => rand::random(),
    };
    Ok(SessionRequest {
        offer: Bytes::new(),
        offer_hash: 0,
        title_name: title.to_owned(),
        title: placement.id,
        first_cell: placement.home,
        cell_count: placement.copies,
        class: class as u16,
        tenant: tenant as u16,
        viewer: ViewerKey(viewer),
        highest_rung: top,
        publish,
    })
}

async fn post(
    shell: &Rc<Shell>,
    publish: bool,
    title: &str,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Problem> {
    let token = authorize(shell, request.headers())?;
    if !is_type(request.headers(), SDP_TYPE) {
        return Err(wrong_type(SDP_TYPE));
    }
    let mut ask = set_up_request(shell, publish, title, &request, token)?;
    // Held, and counted, until the request has its answer.
    let offer = read_body(request.into_body(), &shell.config.limits, &shell.body_budget).await?;
    let direction = if publish { Direction::Send } else { Direction::Receive };
    let parsed = Offer::parse(&offer, direction)
        .map_err(|e| Problem::new(400, "offer", "The offer cannot be served", e.to_string()))?;
    ask.offer_hash = name_hash(&parsed.raw);
    ask.offer = offer.bytes.clone();
    let span = info_span!("session", title, viewer = format!("{:016x}", ask.viewer.0), publish);
    let (answer, policy) = async {
        let (answer, policy) = shell.request(|ticket| Input::Post(ticket, ask)).await;
        debug!(event = "answered", answer = answer_kind(&answer), policy, "a request was answered");
        (answer, policy)
    }
    .instrument(span)
    .await;
    let Answer::Created { resource, etag, sdp, ice } = answer else {
        let problem = problem_of(&answer);
        return Err(policy.map_or(problem.clone(), |version| problem.with("policy", version.into())));
    };
    let mut r = response(201, SDP_TYPE, sdp);
    set_header(&mut r, LOCATION.as_str(), &format!("/session/{resource}"));
    if let Some(etag) = etag {
        set_header(&mut r, ETAG.as_str(), &etag);
    }
    for link in ice {
        append_header(&mut r, LINK.as_str(), &link);
    }
    if let Some(version) = policy {
        set_header(&mut r, POLICY_HEADER, &version.to_string());
    }
    let events =
        format!("</session/{resource}/events>; rel=\"{REL_EVENTS}\"; events=\"inactive,{EVENT_MOVE}\"");
    append_header(&mut r, LINK.as_str(), &events);
    Ok(r)
}

/// Name of an answer in the log.
fn answer_kind(answer: &Answer) -> &'static str {
    match answer {
        Answer::Created { .. } => "playing",
        Answer::Refused(..) => "refused",
        Answer::Failed => "failed",
        Answer::Superseded => "superseded",
        Answer::NotPublished => "unpublished",
        Answer::AlreadyPublished => "published",
        Answer::ClassClosed => "closed",
        Answer::Ended => "ended",
        Answer::UnknownSession => "unknown",
    }
}

/// The problem that a client gets for each answer other than a 201.
fn problem_of(answer: &Answer) -> Problem {
    match answer {
        Answer::Refused(retry_after, reason) => {
            let (name, detail) = match reason {
                Refusal::NoRoom => ("refused", "no holder of the title has room now; a new try does no harm"),
                Refusal::Overload => {
                    ("overload", "the front has reached its limit of waiting requests or of sessions")
                }
                Refusal::Stopping => ("stopping", "the front is stopping; another one takes the request"),
                Refusal::TooManyCopies => {
                    ("copies", "too many copies of this request already wait for its answer")
                }
                Refusal::Fenced => {
                    ("fenced", "this front cannot know what the fleet agreed; trying elsewhere is harmless")
                }
            };
            let title = if *reason == Refusal::Fenced { "Fenced" } else { "Refused" };
            let p = Problem::new(503, name, title, detail);
            // 1 s if the decision module gave no time: RFC 9725 requires Retry-After with a 503.
            p.with_retry_after_ms(retry_after.map_or(1_000, |ns| ns.div_ceil(1_000_000)))
        }
        Answer::Superseded => {
            Problem::new(409, "superseded", "Superseded", "a newer request of the same viewer took its place")
        }
        Answer::NotPublished => {
            Problem::new(409, "unpublished", "Not published", "nobody publishes this title now")
                .with_retry_after_ms(UNPUBLISHED_RETRY_MS)
        }
        Answer::AlreadyPublished => {
            Problem::new(409, "published", "Published already", "another session publishes this title")
        }
        Answer::ClassClosed => Problem::new(
            409,
            "class-closed",
            "Closed",
            "the policy in force accepts no new sessions of this class",
        ),
        Answer::UnknownSession => unknown_session(),
        _ => Problem::new(504, "failed", "The set-up failed", "no node set the session up in time"),
    }
}

async fn patch(
    shell: &Rc<Shell>,
    id: &str,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Problem> {
    authorize(shell, request.headers())?;
    // An unknown session is a 404, whatever headers the request has or lacks.
    if shell.route(id).0 == Route::Unknown {
        return Err(unknown_session());
    }
    let is_answer = is_type(request.headers(), SDP_TYPE);
    if !is_answer && !is_type(request.headers(), FRAGMENT_TYPE) {
        return Err(wrong_type(FRAGMENT_TYPE));
    }
    let if_match = request.headers().get(IF_MATCH).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let no_if_match =
        || Problem::new(428, "if-match", "Precondition required", "If-Match names the ICE session");
    if if_match.is_none() && !is_answer && !shell.config.lenient_if_match {
        return Err(no_if_match());
    }
    let body = read_body(request.into_body(), &shell.config.limits, &shell.body_budget).await?;
    let fragment = if is_answer { None } else { Some(Fragment::parse(&body)) };
    let fragment =
        fragment.transpose().map_err(|e| Problem::new(422, "fragment", "Bad fragment", e.to_string()))?;
    // RFC 9725, 4.3.1 requires the header ("MUST"), but many players trickle without it. A fragment with the user fragment
    // of the running ICE session cannot mean another session. A restart has a new one and always needs the header.
    let running_tag = || {
        let (ufrag, etag) = shell.engine(|e, _| e.ice_session(id))?;
        fragment.as_ref().is_some_and(|f| f.ufrag.as_ref() == Some(&ufrag)).then_some(etag).flatten()
    };
    let tag = if is_answer { if_match } else { Some(if_match.or_else(running_tag).ok_or_else(no_if_match)?) };
    // Looked up only now: the session may have been moved while the body was read.
    let (node, path) = match shell.route(id) {
        (Route::Node(_, path), Some(address)) => (address, path),
        (Route::Moved, _) => {
            return Err(Problem::new(409, "moved", "Moved", "this session is being moved: POST again"));
        }
        _ => return Err(unknown_session()),
    };
    let kind = if is_answer { SDP_TYPE } else { FRAGMENT_TYPE };
    let _unanswered = shell.begin_forwarding();
    let forwarded =
        shell.upstream().patch(node, &path, kind, tag.as_deref(), body.bytes.clone(), PATCH_TIMEOUT).await;
    let (status, etag, kind, bytes) = forwarded.map_err(|_| {
        Problem::new(
            504,
            "node",
            "The node did not answer",
            "the node may or may not have applied the change",
        )
    })?;
    if let (200, Some(ufrag)) = (status, fragment.and_then(|f| f.ufrag)) {
        shell.drive(Input::IceRestarted(id.to_owned(), ufrag, etag.clone()));
    }
    let mut r = response(status, kind.as_deref().unwrap_or(""), bytes);
    if let Some(etag) = etag {
        set_header(&mut r, ETAG.as_str(), &etag);
    }
    Ok(r)
}

/// Creates an event stream for a session. The list of event names is checked, but each stream has all events.
async fn subscribe(
    shell: &Rc<Shell>,
    id: &str,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Problem> {
    authorize(shell, request.headers())?;
    if !is_type(request.headers(), "application/json") {
        return Err(wrong_type("application/json"));
    }
    let body = read_body(request.into_body(), &shell.config.limits, &shell.body_budget).await?;
    let wanted: Result<Vec<String>, _> = serde_json::from_slice(&body);
    wanted.map_err(|_| Problem::new(400, "events", "Bad list", "a JSON list of event names is expected"))?;
    match shell.route(id).0 {
        Route::Node(..) => {
            let mut r = response(201, "", Bytes::new());
            set_header(&mut r, LOCATION.as_str(), &format!("/session/{id}/events/stream"));
            Ok(r)
        }
        _ => Err(unknown_session()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fenced_front_says_so_in_a_problem_of_its_own() {
        let p = problem_of(&Answer::Refused(None, Refusal::Fenced));
        assert_eq!((p.status, p.kind.as_str()), (503, "urn:pepperhook:problem:fenced"));
        assert_eq!((p.title.as_str(), p.retry_after_s()), ("Fenced", Some(1)));
        assert!(p.detail.contains("cannot know what the fleet agreed") && p.detail.contains("is harmless"));
        let named = p.with("policy", 7.into());
        assert!(String::from_utf8(named.to_json()).expect("text").contains("\"policy\":7"));
        assert_eq!(problem_of(&Answer::ClassClosed).status, 409);
        let no_room = problem_of(&Answer::Refused(Some(500_000_000), Refusal::NoRoom));
        assert_eq!((no_room.title.as_str(), no_room.retry_after_ms), ("Refused", Some(500)));
    }
}
