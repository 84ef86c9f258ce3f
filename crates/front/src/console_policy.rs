//! Operators' interface to the agreement, on the console's listener: `GET /policy` returns the policy in force,
//! `POST /policy` requests another one, and `POST /voters` requests a change of the voters.

use crate::agreement;
use crate::console::require_bearer_key;
use crate::fleet_io::call_fleet;
use crate::http::{ResponseBody, problem, response};
use crate::request_body::read_body;
use crate::shell::Shell;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use pepperhook_policy::{Answer, PolicyRequest};
use pepperhook_settings::name_hash;
use pepperhook_signalling::Problem;
use serde_json::json;
use std::collections::HashMap;
use std::rc::Rc;

/// Query arguments by name, decoded.
type Query = HashMap<String, String>;

/// Answers a request to `/policy` or `/voters`.
pub async fn handle(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<ResponseBody> {
    if shell.config.agreement.is_none() {
        let detail = "the settings of this front have no section agreement";
        return problem(&Problem::new(404, "agreement", "Nothing is agreed on", detail));
    }
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    if method == Method::GET && path == "/policy" {
        let json = agreement::policy_json(shell).unwrap_or_default();
        return response(200, "application/json", json.to_string());
    }
    if method != Method::POST {
        let detail = "allowed here: GET and POST /policy, POST /voters";
        return problem(&Problem::new(405, "method", "Method not allowed", detail));
    }
    if let Some(refusal) = require_bearer_key(&request) {
        return refusal;
    }
    let decode = |t: &str| percent_encoding::percent_decode_str(t).decode_utf8_lossy().into_owned();
    let query = request.uri().query().unwrap_or("").split('&').filter_map(|p| p.split_once('='));
    let query: Query = query.map(|(k, v)| (k.to_owned(), decode(v))).collect();
    let body = match read_body(request.into_body(), &shell.config.limits, &shell.body_budget).await {
        Ok(body) => body,
        Err(p) => return problem(&p),
    };
    let result = match path.as_str() {
        "/voters" => change_voters(shell, &query),
        _ => change_policy(shell, &query, &body).await,
    };
    result.unwrap_or_else(|p| problem(&p))
}

fn bad_query(detail: &str) -> Problem {
    Problem::new(422, "query", "Not such a request", detail)
}

/// Idempotency key of a request: a client that repeats a request sends the same key. Random if the query has none.
fn idempotency_key(query: &Query) -> Result<u128, Problem> {
    match query.get("key") {
        Some(text) => u128::from_str_radix(text, 16)
            .map_err(|_| bad_query(&format!("'key' is '{text}'; expected at most 32 hex digits"))),
        None => Ok(rand::random()),
    }
}

/// True if this argument is `yes`.
fn is_yes(query: &Query, name: &str) -> bool {
    query.get(name).is_some_and(|v| v == "yes")
}

/// Requests another policy, whose text is the body. The query has `against` (the version that the operator started from)
/// and `by` (the operator), and optionally `key`, `dry-run` and `wait`.
async fn change_policy(
    shell: &Rc<Shell>,
    query: &Query,
    bytes: &[u8],
) -> Result<Response<ResponseBody>, Problem> {
    let against = query.get("against").and_then(|v| v.parse().ok());
    let ask = PolicyRequest {
        key: idempotency_key(query)?,
        name: query.get("by").cloned().ok_or_else(|| bad_query("'by' names who asks"))?,
        base_version: against.ok_or_else(|| bad_query("'against' is the version that was looked at"))?,
        text: String::from_utf8(bytes.to_vec())
            .map_err(|_| bad_query("the body must be the policy's text in UTF-8"))?,
        dry_run: is_yes(query, "dry-run"),
        trial: None,
    };
    let key = ask.key;
    let answer = agreement::request_policy_change(shell, ask, is_yes(query, "wait")).await;
    let too_many = "too many operators' requests already wait for an answer at this front: try again";
    let answer = answer.ok_or_else(|| Problem::new(503, "busy", "Busy", too_many))?;
    let detail = answer.to_string();
    let success = |status: u16, name: &str| {
        let body = json!({"answer": name, "key": format!("{key:032x}"), "detail": detail});
        Ok(response(status, "application/json", body.to_string()))
    };
    let refused = |status: u16, name: &str, title: &str| {
        let problem = Problem::new(status, name, title, detail.clone());
        Err(problem.with("key", format!("{key:032x}").into()))
    };
    match &answer {
        Answer::Accepted { .. } => success(202, "accepted"),
        Answer::Completed { .. } => success(200, "stands"),
        Answer::DryRun { .. } => success(200, "dry-run"),
        Answer::Unchanged { .. } => success(200, "same"),
        Answer::EndingTrial { .. } => success(202, "keeping"),
        Answer::Undone(_) => refused(409, "undone", "Undone"),
        Answer::Conflict { .. } => refused(409, "conflict", "Conflict"),
        Answer::ChangeInProgress { .. } => refused(409, "under-way", "A change is under way"),
        Answer::Refused(_) => refused(422, "policy", "Not a policy"),
        Answer::Inapplicable(_) => refused(422, "unfit", "It cannot be gone by"),
        Answer::NotAgreed => refused(503, "not-agreed", "No policy is agreed on"),
        Answer::Busy => refused(503, "busy", "Busy"),
        Answer::Unknown => refused(504, "unknown", "Not known"),
    }
}

/// Requests a change of the voters: `add`, `remove` or both name a front. `GET /policy` shows the result.
fn change_voters(shell: &Rc<Shell>, query: &Query) -> Result<Response<ResponseBody>, Problem> {
    let front = |name: &str| query.get(name).map(|n| name_hash(n));
    let change = (front("add"), front("remove"));
    if change == (None, None) {
        return Err(bad_query("'add' or 'remove' names a front"));
    }
    let key = idempotency_key(query)?;
    let requested =
        call_fleet(shell, |fleet, now_ms, out| fleet.request_voter_change(now_ms, key, change, out));
    let fronts = requested.map_err(|reason| Problem::new(409, "voters", "Not these voters", reason))?;
    Ok(response(202, "application/json", json!({"key": format!("{key:032x}"), "asked": fronts}).to_string()))
}
