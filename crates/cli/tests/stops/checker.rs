//! Checks a stop of a front by the traffic on the sockets. Shares no code with the front.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A final answer as a viewer received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub at: Instant,
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn is_served(&self) -> bool {
        self.status == 200
    }
}

/// A set-up request of a viewer, and its outcome.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    /// Whether its class is `at_most_once`: it must not be repeated once it may have run.
    pub at_most_once: bool,
    /// Time from sending to its deadline.
    pub patience: Duration,
    /// When its last byte was written; `None` if the write failed.
    pub sent: Option<Instant>,
    /// Final answers to it, in order of arrival.
    pub answers: Vec<Answer>,
    /// Number of bytes at the end of its connection that are not a complete message.
    pub incomplete_bytes: usize,
}

/// Kinds of events of a session at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeEventKind {
    /// The set-up arrived.
    Arrived,
    /// The node accepted the set-up.
    Served,
    /// The node refused the set-up without running it.
    Refused,
    /// The front cancelled the set-up or released the session.
    Released,
}

/// An event of a session at a node.
#[derive(Clone, Debug)]
pub struct NodeEvent {
    pub at: Instant,
    pub node: usize,
    /// Id of the session.
    pub id: u64,
    pub kind: NodeEventKind,
}

/// A planned stop of a front under load.
pub struct Stop {
    /// The exit code; `None` if a signal ended the process.
    pub exit_code: Option<i32>,
    /// Time from SIGTERM to the end of the process.
    pub took: Duration,
    /// Shortest time from SIGTERM after which the platform sends SIGKILL.
    pub sigkill_after: Duration,
    pub requests: Vec<Request>,
    pub node_events: Vec<NodeEvent>,
    /// The draining node, and when the front was signalled to use the change log that reports it.
    pub draining: Option<(usize, Instant)>,
}

/// An answer is worthless after its request's deadline, and counts as lost this much later.
const LOST_AFTER_DEADLINE: Duration = Duration::from_millis(500);
/// Tolerance for measurements on sockets.
const TOLERANCE: Duration = Duration::from_millis(50);
/// Time from an event of the change log to its effect in the front: network and scheduling on a busy machine.
const EVENT_DELAY: Duration = Duration::from_millis(300);

/// Returns all violations in a stop.
pub fn find_violations(stop: &Stop) -> Vec<String> {
    let mut violations = Vec::new();
    let mut report = |violation: String| violations.push(violation);
    if stop.exit_code != Some(0) {
        report(format!("the exit code is {:?}, not 0", stop.exit_code));
    }
    if stop.took > stop.sigkill_after + TOLERANCE {
        report(format!(
            "the front ended {:?} after SIGTERM; SIGKILL may come after {:?}",
            stop.took, stop.sigkill_after
        ));
    }
    for request in &stop.requests {
        let (id, has_event) = (request.id, |kind| {
            stop.node_events.iter().any(|event| event.id == request.id && event.kind == kind)
        });
        if request.incomplete_bytes > 0 {
            report(format!(
                "request {id:x}: the last {} bytes on its connection are not a complete message",
                request.incomplete_bytes
            ));
        }
        let Some(sent) = request.sent else {
            if !request.answers.is_empty() {
                report(format!("request {id:x} was answered although it was not sent completely"));
            }
            continue;
        };
        let [answer] = &request.answers[..] else {
            report(match request.answers.len() {
                0 => format!("request {id:x} has no answer"),
                n => format!("request {id:x} has {n} answers"),
            });
            continue;
        };
        let took = answer.at - sent;
        if took > request.patience + LOST_AFTER_DEADLINE {
            report(format!(
                "request {id:x} was answered {} ms after it was sent; its deadline is {} ms",
                took.as_millis(),
                request.patience.as_millis()
            ));
        }
        match answer.status {
            200 if answer.body != format!("answer for {id:016x}\r\n").into_bytes()
                || !has_event(NodeEventKind::Served) =>
            {
                report(format!("request {id:x} was answered with a body that no node sent for it"));
            }
            // A session that one node accepted and the front cancelled there exists only at the other node that accepted it.
            200 => {
                let has_event_at = |node, kind| {
                    stop.node_events
                        .iter()
                        .any(|event| event.id == id && event.node == node && event.kind == kind)
                };
                let served_at: BTreeSet<usize> = stop
                    .node_events
                    .iter()
                    .filter(|event| event.id == id && event.kind == NodeEventKind::Served)
                    .map(|event| event.node)
                    .collect();
                match served_at.iter().filter(|node| !has_event_at(**node, NodeEventKind::Released)).count() {
                    0 => report(format!("session {id:x} was answered with 200 and released at its node")),
                    1 => {}
                    n => report(format!("session {id:x} exists at {n} nodes")),
                }
            }
            453 | 454 | 503
                if request.at_most_once
                    && has_event(NodeEventKind::Arrived)
                    && !has_event(NodeEventKind::Refused) =>
            {
                report(format!("request {id:x} was refused although it may have run"));
            }
            453 | 454 | 503 => {}
            _ if !has_event(NodeEventKind::Arrived) => {
                report(format!("request {id:x} was never sent to a node and is answered as failed"));
            }
            _ => {}
        }
    }
    if let Some((node, at)) = stop.draining {
        for event in stop.node_events.iter().filter(|event| {
            event.node == node && event.kind == NodeEventKind::Arrived && event.at > at + EVENT_DELAY
        }) {
            report(format!("set-up {:x} was sent to draining node {node}", event.id));
        }
    }
    violations
}
