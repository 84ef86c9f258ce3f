//! Operators who request changes of the policy: two operators, each one request at a time, and the senders of a flood.

use super::checker::{GUEST, MARKED, OperatorAnswer};
use super::plan::{Change, ChangeRequest, Plan};
use crate::wire::Connection;
use pepperhook_playout::record::unix_nanos;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

/// Timeout of a call that waits for the result of its change.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for reading the policy from a console.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after which a call without a final result is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time during which a call is repeated.
const RETRY_TIME: Duration = Duration::from_secs(12);

/// All operators of a run.
pub struct Operators {
    /// Admin addresses of the fronts, through their relays.
    pub consoles: Vec<SocketAddr>,
    /// Answers to the calls.
    pub answers: RefCell<Vec<OperatorAnswer>>,
    /// Number of calls so far; it makes the aim of each call unique.
    pub calls: Cell<u64>,
    /// Requests to kill the leader of the voters.
    pub kill_leader: mpsc::UnboundedSender<()>,
}

/// Reads the policy from a console (`GET /policy`); `None` on any failure.
pub async fn read_policy(at: SocketAddr) -> Option<Value> {
    let mut c = Connection::open(at).await.ok()?;
    let reply = c.request("GET", "/policy", &[("authorization", "Bearer key")], b"", READ_TIMEOUT).await;
    let reply = reply.ok().filter(|r| r.status == 200)?;
    serde_json::from_slice(&reply.body).ok()
}

/// Replaces the value of a field of a class in a policy.
fn with_field(policy: &str, class: &str, field: &str, value: &str) -> String {
    let (mut in_class, mut out) = (false, String::new());
    for line in policy.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.first() == Some(&"section") {
            in_class = words.get(1..3) == Some(&["class", class]);
        }
        if in_class && words.first() == Some(&field) {
            out += &format!("{field} {value}\n");
        } else {
            out += &format!("{line}\n");
        }
    }
    out
}

/// A call to change the policy; a repeated call is identical.
#[derive(Clone)]
struct Call {
    key: u64,
    marker: String,
    path: String,
    text: String,
}

impl Operators {
    /// Makes the requests of one operator, one after the other, while viewers arrive.
    pub async fn operate(self: Rc<Self>, plan: Rc<Plan>, by: String, begin: Instant) {
        for request in plan.requests.iter().filter(|w| w.by == by) {
            sleep_until(begin + Duration::from_millis(request.at_ms)).await;
            if begin.elapsed() > Duration::from_millis(plan.length_ms) {
                return;
            }
            self.clone().make_request(request).await;
        }
    }

    /// Makes one request; returns the key of its call if it was sent.
    pub async fn make_request(self: Rc<Self>, request: &ChangeRequest) -> Option<u64> {
        let call = self.prepare_call(request).await?;
        let key = call.key;
        let mut concurrent = Vec::new();
        for i in 0..request.flood {
            let front = (request.front + 1 + i) % u32::try_from(self.consoles.len()).unwrap_or(1);
            let other = ChangeRequest { front, change: Change::Aim, flood: 0, ..request.clone() };
            let me = self.clone();
            concurrent.push(tokio::task::spawn_local(async move {
                if let Some(call) = me.prepare_call(&other).await {
                    me.call_until_final(&call, other.front).await;
                }
            }));
        }
        if let Some(front) = request.twice_at {
            let (me, call) = (self.clone(), call.clone());
            concurrent.push(tokio::task::spawn_local(async move {
                sleep(Duration::from_millis(20)).await;
                me.call_until_final(&call, front).await;
            }));
        }
        if request.kill_leader {
            let kill = self.kill_leader.clone();
            tokio::task::spawn_local(async move {
                // By then the front has sent the call to the voters.
                sleep(Duration::from_millis(5)).await;
                let _ = kill.send(());
            });
        }
        self.call_until_final(&call, request.front).await;
        for task in concurrent {
            let _ = task.await;
        }
        Some(key)
    }

    /// Prepares the call of a request, based on the policy at its front, or at another front if that shows none that stands.
    async fn prepare_call(&self, request: &ChangeRequest) -> Option<Call> {
        let mut policy = None;
        for i in 0..30 {
            let at = self.consoles[(request.front as usize + i / 10) % self.consoles.len()];
            policy = read_policy(at).await.filter(|s| s["step"] == "stands");
            if policy.is_some() {
                break;
            }
            sleep(Duration::from_millis(150)).await;
        }
        let policy = policy?;
        let (text, mut against) = (policy["text"].as_str()?.to_owned(), policy["version"].as_u64()?);
        let n = self.calls.get() + 1;
        self.calls.set(n);
        let marker = format!("{}ms", 900 + n);
        let mut text = with_field(&text, MARKED, "aim", &marker);
        match request.change {
            Change::Aim => {}
            Change::Top(rung) => text = with_field(&text, GUEST, "top", &rung.to_string()),
            Change::Closed(closed) => {
                text = with_field(&text, GUEST, "closed", if closed { "yes" } else { "no" })
            }
            Change::OutdatedVersion => against = against.saturating_sub(1),
            Change::Conflicting => {
                let class = "section class extra\naim 800ms\npatience 2s\nsection rules";
                text = text.replacen("section rules", class, 1);
            }
        }
        let path = format!("/policy?against={against}&by={}&key={n:x}&wait=yes", request.by);
        Some(Call { key: n, marker, path, text })
    }

    /// Repeats a call until it has a final answer; without a definite answer, it goes to the next front.
    async fn call_until_final(&self, call: &Call, front: u32) {
        let end = Instant::now() + RETRY_TIME;
        let mut front = front as usize;
        loop {
            let called_ns = unix_nanos();
            let answered = self.send(self.consoles[front % self.consoles.len()], call).await;
            let (answer, detail) = answered.unwrap_or_default();
            let mut words = detail.split_whitespace().skip_while(|w| *w != "version").skip(1);
            let version =
                words.next().and_then(|w| w.trim_matches(|c: char| !c.is_ascii_digit()).parse().ok());
            let (key, marker) = (call.key, call.marker.clone());
            self.answers.borrow_mut().push(OperatorAnswer {
                key,
                marker,
                called_ns,
                answered_ns: unix_nanos(),
                answer: answer.clone(),
                version,
            });
            match answer.as_str() {
                "under-way" | "busy" => {}
                "" | "unknown" | "not-agreed" => front += 1,
                _ => return,
            }
            if Instant::now() > end {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn send(&self, at: SocketAddr, call: &Call) -> Option<(String, String)> {
        let mut c = Connection::open(at).await.ok()?;
        let key = [("authorization", "Bearer key")];
        let reply = c.request("POST", &call.path, &key, call.text.as_bytes(), CALL_TIMEOUT).await.ok()?;
        let body: Value = serde_json::from_slice(&reply.body).ok()?;
        let kind = body["answer"].as_str().or_else(|| body["type"].as_str()?.rsplit([':', '/']).next());
        Some((kind?.to_owned(), body["detail"].as_str().unwrap_or("").to_owned()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agreement::checker::value;

    #[test]
    fn one_field_of_one_class_is_another() {
        let policy =
            "join 1\nsection class replay\naim 800ms\nsection class guest\naim 800ms\nsection rules\naim 1\n";
        let other = with_field(policy, GUEST, "aim", "5ms");
        assert_eq!((value(&other, MARKED, "aim"), value(&other, GUEST, "aim")), (Some("800ms"), Some("5ms")));
        assert_eq!(other.replace("5ms", "800ms"), policy);
    }
}
