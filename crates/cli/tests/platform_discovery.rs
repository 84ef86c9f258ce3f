//! Slow change logs of `pepperhook platform` as a process on loopback: at the start, after a break, after a reload, and in
//! pieces. Each answer is complete and correct, but comes later than a change log may be silent.

#[path = "common/platform.rs"]
mod harness;
#[path = "common/log.rs"]
mod scripted_log;

use harness::*;
use scripted_log::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time from a question to the first byte of its answer.
const ANSWER_TIME: Duration = Duration::from_millis(3_000);
/// By the protocol, events of a change log in trouble count as told after 4 s; 1 s of grace follows.
const FORCE_TIME: Duration = Duration::from_millis(5_000);

/// How a change log sends the events that a front asks for.
#[derive(Clone, Copy)]
enum Manner {
    /// All at once after [`ANSWER_TIME`].
    Late,
    /// In three pieces from the question on, with [`ANSWER_TIME`] between two of them.
    InPieces,
    /// Heartbeats, which name the last event, come from the question on; the events after [`ANSWER_TIME`].
    HeartbeatsFirst,
}

/// A change log with one event that fronts can ask for.
struct SlowLog {
    address: SocketAddr,
    questions: Arc<AtomicUsize>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl SlowLog {
    fn start(manner: Manner, event: (u64, Vec<u8>)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind to a loopback port");
        let address = listener.local_addr().expect("no valid address");
        let (questions, connections) = (Arc::<AtomicUsize>::default(), Arc::<Mutex<Vec<_>>>::default());
        let (count, kept) = (questions.clone(), connections.clone());
        spawn(move || {
            for stream in listener.incoming() {
                let (Ok(mut stream), event, count) = (stream, event.clone(), count.clone()) else { return };
                let Ok(copy) = stream.try_clone() else { return };
                kept.lock().expect("poisoned").push(copy);
                spawn(move || {
                    let mut last_event = [0; 8];
                    if stream.read_exact(&mut last_event).is_ok() {
                        count.fetch_add(1, Ordering::SeqCst);
                        let is_known = u64::from_be_bytes(last_event) >= event.0;
                        let _ = answer(&mut stream, manner, event.0, if is_known { &[] } else { &event.1 });
                    }
                });
            }
        });
        Self { address, questions, connections }
    }

    fn break_off(&self) {
        let connections = std::mem::take(&mut *self.connections.lock().expect("poisoned"));
        connections.iter().for_each(|c| _ = c.shutdown(std::net::Shutdown::Both));
    }
}

fn answer(stream: &mut TcpStream, manner: Manner, last: u64, event: &[u8]) -> std::io::Result<()> {
    match manner {
        Manner::Late => {
            sleep(ANSWER_TIME);
            stream.write_all(event)?;
        }
        Manner::InPieces => {
            for piece in event.chunks(event.len() / 3 + 1) {
                stream.write_all(piece)?;
                sleep(ANSWER_TIME);
            }
        }
        Manner::HeartbeatsFirst => {
            for _ in 0..3 {
                stream.write_all(&heartbeat(last))?;
                sleep(ANSWER_TIME / 3);
            }
            stream.write_all(event)?;
        }
    }
    loop {
        stream.write_all(&heartbeat(last))?;
        sleep(SECOND);
    }
}

/// A change log whose event adds a node that serves; the front of the test has no other node.
fn log_with_node(manner: Manner) -> SlowLog {
    let (node, set_ups) = start_node();
    // Keeps the node's channel open until the test process ends.
    std::mem::forget(set_ups);
    SlowLog::start(manner, (4, changes(4, &[Record::new(70, 0, node)])))
}

/// Asserts that the event is in force in time, and that the front has not asked again and again for it.
fn assert_in_force(front: &Front, log: &SlowLog, since: Instant, time: Duration) {
    wait_until_served(front, 1);
    let (took, questions) = (since.elapsed(), log.questions.load(Ordering::SeqCst));
    assert!(took < time, "the event is in force after {took:?} only, {questions} questions");
    assert!(questions <= 3, "the front asked {questions} times");
}

/// Guards against a front that never hears a change log which is slow from the front's start on.
#[test]
fn an_event_of_a_log_that_is_slow_at_the_start_is_applied() {
    let log = log_with_node(Manner::Late);
    let began = Instant::now();
    let front = front(&config(&[], log.address));
    assert_in_force(&front, &log, began, FORCE_TIME);
}

/// Guards against a front that never hears its change log again after a break, as of then the log answers slowly.
#[test]
fn an_event_of_a_log_that_is_slow_after_a_break_is_applied() {
    let log = log_with_node(Manner::Late);
    let first_log = ChangeLog::new();
    // The slow log takes over the address of the first one by relaying to it.
    let front = front(&config(&[], first_log.address));
    first_log.accept().close();
    let began = Instant::now();
    let mut second = first_log.accept();
    assert_eq!(second.last_event, 3);
    // Relays the slow answer to the question.
    let mut source = TcpStream::connect(log.address).expect("cannot connect to the slow log");
    source.write_all(&second.last_event.to_be_bytes()).expect("cannot write to the connection");
    let relay = spawn(move || std::io::copy(&mut source, &mut second.stream));
    assert_in_force(&front, &log, began, FORCE_TIME);
    log.break_off();
    drop(front);
    let _ = relay.join();
}

/// Guards against a front that never hears the change log to which a reload has moved it, since it answers slowly.
#[test]
fn an_event_of_a_log_that_is_slow_after_a_reload_is_applied() {
    let (first_log, log) = (ChangeLog::new(), log_with_node(Manner::Late));
    let mut configuration = config(&[], first_log.address);
    let front = front(&configuration);
    first_log.accept().send(&heartbeat(3));
    configuration["changelog"] = json!(log.address.to_string());
    std::fs::write(front.file.path(), configuration.to_string()).expect("cannot write the file");
    let began = Instant::now();
    front.signal("SIGHUP");
    assert_in_force(&front, &log, began, FORCE_TIME);
}

/// Guards against a front that never gets an event which comes in pieces, with long pauses between them.
#[test]
fn an_event_that_comes_in_pieces_is_applied() {
    let log = log_with_node(Manner::InPieces);
    let began = Instant::now();
    let front = front(&config(&[], log.address));
    // The last of three pieces is sent after two pauses.
    assert_in_force(&front, &log, began, 2 * ANSWER_TIME + SECOND);
}

/// Guards against a front that gives its connection up since a slow log names an event before it sends it.
#[test]
fn an_event_that_a_log_names_before_it_sends_it_is_applied() {
    let log = log_with_node(Manner::HeartbeatsFirst);
    let began = Instant::now();
    let front = front(&config(&[], log.address));
    assert_in_force(&front, &log, began, FORCE_TIME);
}
