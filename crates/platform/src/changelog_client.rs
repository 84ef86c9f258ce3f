//! Client of the platform's change log. It subscribes after the last complete event that the front has, and reconnects
//! when the connection breaks, stays silent too long, sends invalid or missing events, or when the log's address changes.
//! [`Subscriptions`] decides which connections are open.

use crate::shell::Shell;
use crate::subscriptions::{Command, SubscriptionId, Subscriptions};
use pepperhook_changelog::{Applied, Decoder, Event, Frame};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet, yield_now};
use tokio::time::Instant;
use tracing::{info, warn};

/// Size in bytes of the read buffer.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Reason of the log line for a connection past its deadline.
const SILENT: &str = "silent";

/// Follows the change log for as long as the front runs. The seed of each front differs, which spreads reconnections.
pub async fn follow(shell: Rc<Shell>, seed: u64) {
    let client = Rc::new(Client {
        shell,
        began: Instant::now(),
        subscriptions: RefCell::new(Subscriptions::new(seed)),
        closing: RefCell::default(),
        changed: Notify::new(),
    });
    let mut connections = Connections::default();
    loop {
        client.wait(&mut connections).await;
        let (commands, became_late) = client.subscriptions.borrow_mut().poll(client.now());
        if became_late {
            client.warn_broken(SILENT);
        }
        for command in client.closing.take().into_iter().chain(commands) {
            connections.carry_out(command, &client);
        }
    }
}

/// State shared by the connections.
struct Client {
    shell: Rc<Shell>,
    /// Start of the client, to which the times of `subscriptions` are relative.
    began: Instant,
    subscriptions: RefCell<Subscriptions>,
    /// Commands that are not carried out yet.
    closing: RefCell<Vec<Command>>,
    /// Notified when `closing` has changed.
    changed: Notify,
}

impl Client {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Waits until something may have to be done, and records why.
    async fn wait(&self, connections: &mut Connections) {
        let wake = self.subscriptions.borrow().next_wake();
        let timer = async {
            match wake {
                Some(at) => tokio::time::sleep_until(self.began + at).await,
                None => std::future::pending().await,
            }
        };
        // A change of address interrupts whatever is in progress with the old address. The new address is dialled at
        // once, and only once: a notification that comes before the address is read leaves no further one pending.
        tokio::select! {
            biased;
            () = self.shell.log_moved.notified() => {
                info!(event = "changelog-moved", "connecting to the change log at its new address");
                let commands = self.subscriptions.borrow_mut().moved(self.now());
                self.closing.borrow_mut().extend(commands);
            }
            (id, reason) = connections.next_end() => {
                self.subscriptions.borrow_mut().ended(id, self.now());
                self.warn_broken(reason);
            }
            () = self.changed.notified() => {}
            () = timer => {}
        }
    }

    fn warn_broken(&self, reason: &str) {
        if self.shell.may_warn("changelog") {
            warn!(
                event = "changelog-broke",
                why = reason,
                last = self.shell.last_event(),
                "reconnecting to the change log after its last complete event"
            );
        }
    }

    /// A frame has shown that a connection is up to date.
    fn frame_completed(&self, id: SubscriptionId) {
        let commands = self.subscriptions.borrow_mut().frame_completed(id, self.now());
        if !commands.is_empty() {
            self.closing.borrow_mut().extend(commands);
            self.changed.notify_one();
        }
    }

    /// Handles a complete frame; `Break` ends its connection for this reason.
    fn handle(&self, id: SubscriptionId, frame: &Frame) -> ControlFlow<&'static str> {
        match frame {
            Frame::Heartbeat(number) => self.handle_heartbeat(id, *number),
            Frame::Event(event) => self.handle_event(id, event),
        }
    }

    fn handle_heartbeat(&self, id: SubscriptionId, number: u64) -> ControlFlow<&'static str> {
        if !self.shell.is_behind(number) {
            self.frame_completed(id);
        } else if self.subscriptions.borrow().has_answered(id) {
            return ControlFlow::Break("events are missing");
        }
        // Ahead of its first answer a slow log may name events that it has yet to send: this is no answer.
        ControlFlow::Continue(())
    }

    fn handle_event(&self, id: SubscriptionId, event: &Event) -> ControlFlow<&'static str> {
        match self.shell.apply_event(event) {
            Applied::New | Applied::Duplicate => self.frame_completed(id),
            Applied::Gap => return ControlFlow::Break("events are missing"),
            Applied::TooMany => return ControlFlow::Break("too many nodes"),
        }
        ControlFlow::Continue(())
    }

    /// Opens one connection to the change log and applies its events until it ends; returns the reason of the end. An
    /// incomplete event changes nothing.
    async fn read_events(&self, id: SubscriptionId, address: SocketAddr) -> &'static str {
        let Ok(mut stream) = TcpStream::connect(address).await else { return "no connection" };
        if stream.write_all(&self.shell.last_event().to_be_bytes()).await.is_err() {
            return "no connection";
        }
        self.subscriptions.borrow_mut().asked(id, self.now());
        let (mut decoder, mut buffer) = (Decoder::default(), vec![0u8; READ_BUFFER_BYTES]);
        loop {
            let received = match stream.read(&mut buffer).await {
                Ok(n) if n > 0 => &buffer[..n],
                _ => return "ended",
            };
            decoder.feed(received);
            loop {
                let frame = match decoder.decode() {
                    Ok(Some(frame)) => frame,
                    Ok(None) => break,
                    Err(_) => return "noise",
                };
                if let ControlFlow::Break(reason) = self.handle(id, &frame) {
                    return reason;
                }
                // Many events in a row must not starve the other tasks.
                yield_now().await;
            }
            self.subscriptions.borrow_mut().bytes_received(id, self.now(), decoder.announced_bytes());
        }
    }
}

/// The tasks of the open connections.
#[derive(Default)]
struct Connections {
    tasks: JoinSet<(SubscriptionId, &'static str)>,
    handles: BTreeMap<SubscriptionId, AbortHandle>,
}

impl Connections {
    fn carry_out(&mut self, command: Command, client: &Rc<Client>) {
        match command {
            Command::Open(id) => {
                let (client, address) = (client.clone(), client.shell.log_address());
                let task = async move { (id, client.read_events(id, address).await) };
                self.handles.insert(id, self.tasks.spawn_local(task));
            }
            Command::Close(id) => {
                if let Some(task) = self.handles.remove(&id) {
                    task.abort();
                }
            }
        }
    }

    /// The next connection that ends by itself, and the reason. Never completes if there is none.
    async fn next_end(&mut self) -> (SubscriptionId, &'static str) {
        loop {
            match self.tasks.join_next().await {
                Some(Ok((id, reason))) => {
                    self.handles.remove(&id);
                    return (id, reason);
                }
                // Closed from this side.
                Some(Err(_)) => {}
                None => return std::future::pending().await,
            }
        }
    }
}
