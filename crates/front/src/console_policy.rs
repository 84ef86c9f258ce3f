//! What operators ask of the agreement, on the console's listener: `GET /policy` shows it, `POST /policy` asks for another,
//! `POST /voters` for other voters.

use crate::agreement;
use crate::console::require_bearer_key;
use crate::fleet_io::call_fleet;
use crate::http::{ResponseBody, problem, read_body, response};
use crate::shell::Shell;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use pepperhook_policy::{Answer, Ask};
use pepperhook_settings::name_hash;
use pepperhook_signalling::Problem;
use serde_json::json;
use std::collections::HashMap;
use std::rc::Rc;

/// Arguments of the query.
type Query = HashMap<String, String>;

pub async fn handle(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<ResponseBody> {
    if shell.config.agreement.is_none() {
        let detail = "this front has no section agreement";
        return problem(&Problem::new(404, "agreement", "Nothing is agreed on", detail));
    }
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    if method == Method::GET && path == "/policy" {
        let shown = agreement::policy_json(shell).unwrap_or_default();
        return response(200, "application/json", shown.to_string());
    }
    if method != Method::POST {
        let detail = "GET and POST /policy, POST /voters";
        return problem(&Problem::new(405, "method", "Method not allowed", detail));
    }
    if let Some(no) = require_bearer_key(&request) {
        return no;
    }
    let decoded = |t: &str| percent_encoding::percent_decode_str(t).decode_utf8_lossy().into_owned();
    let query = request.uri().query().unwrap_or("").split('&').filter_map(|p| p.split_once('='));
    let query: Query = query.map(|(k, v)| (k.to_owned(), decoded(v))).collect();
    let bytes = match read_body(request.into_body(), &shell.config.limits).await {
        Ok(bytes) => bytes,
        Err(p) => return problem(&p),
    };
    let done = match path.as_str() {
        "/voters" => change_voters(shell, &query),
        _ => change_policy(shell, &query, &bytes).await,
    };
    done.unwrap_or_else(|p| problem(&p))
}

fn bad_query(detail: &str) -> Problem {
    Problem::new(422, "query", "Not such a request", detail)
}

/// The key that names a call: who sends it again sends the same.
fn idempotency_key(query: &Query) -> Result<u128, Problem> {
    match query.get("key") {
        Some(text) => u128::from_str_radix(text, 16).map_err(|_| bad_query("'key' is at most 32 hex digits")),
        None => Ok(rand::random()),
    }
}

fn is_yes(query: &Query, name: &str) -> bool {
    query.get(name).is_some_and(|v| v == "yes")
}

/// Asks for a policy: its text is the body, the query has `against`, `by`, and perhaps `key`, `dry-run` and `wait`.
async fn change_policy(
    shell: &Rc<Shell>,
    query: &Query,
    bytes: &[u8],
) -> Result<Response<ResponseBody>, Problem> {
    let against = query.get("against").and_then(|v| v.parse().ok());
    let ask = Ask {
        key: idempotency_key(query)?,
        name: query.get("by").cloned().ok_or_else(|| bad_query("'by' names who asks"))?,
        against: against.ok_or_else(|| bad_query("'against' is the version that was looked at"))?,
        text: String::from_utf8(bytes.to_vec()).map_err(|_| bad_query("a policy is UTF-8 text"))?,
        dry_run: is_yes(query, "dry-run"),
        trial: None,
    };
    let key = ask.key;
    let answer = agreement::request_policy_change(shell, ask, is_yes(query, "wait")).await;
    let answer = answer.ok_or_else(|| Problem::new(503, "busy", "Busy", "too many wait for an answer"))?;
    let said = answer.to_string();
    let done = |status: u16, name: &str| {
        let body = json!({"answer": name, "key": format!("{key:032x}"), "detail": said});
        Ok(response(status, "application/json", body.to_string()))
    };
    let refused = |status: u16, name: &str, title: &str| {
        let p = Problem::new(status, name, title, said.clone());
        Err(p.with("key", format!("{key:032x}").into()))
    };
    match &answer {
        Answer::Accepted { .. } => done(202, "accepted"),
        Answer::Stands { .. } => done(200, "stands"),
        Answer::Dry { .. } => done(200, "dry-run"),
        Answer::Same { .. } => done(200, "same"),
        Answer::Keeping { .. } => done(202, "keeping"),
        Answer::Undone(_) => refused(409, "undone", "Undone"),
        Answer::Conflict { .. } => refused(409, "conflict", "Conflict"),
        Answer::UnderWay { .. } => refused(409, "under-way", "A change is under way"),
        Answer::Refused(_) => refused(422, "policy", "Not a policy"),
        Answer::Unfit(_) => refused(422, "unfit", "It cannot be gone by"),
        Answer::NotAgreed => refused(503, "not-agreed", "No policy is agreed on"),
        Answer::Busy => refused(503, "busy", "Busy"),
        Answer::Unknown => refused(504, "unknown", "Not known"),
    }
}

/// Asks for other voters: `add`, `remove` or both name fronts. Who votes then is shown by `GET /policy`.
fn change_voters(shell: &Rc<Shell>, query: &Query) -> Result<Response<ResponseBody>, Problem> {
    let front = |name: &str| query.get(name).map(|n| name_hash(n));
    let change = (front("add"), front("remove"));
    if change == (None, None) {
        return Err(bad_query("'add' or 'remove' names a front"));
    }
    let key = idempotency_key(query)?;
    let asked = call_fleet(shell, |fleet, now_ms, out| fleet.ask_voters(now_ms, key, change, out));
    let fronts = asked.map_err(|why| Problem::new(409, "voters", "Not these voters", why))?;
    Ok(response(202, "application/json", json!({"key": format!("{key:032x}"), "asked": fronts}).to_string()))
}
