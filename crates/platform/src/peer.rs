//! One connection to a viewer or a node: received bytes go through a decoder, sent bytes through a bounded queue.

use crate::inbox::Inbox;
use crate::send_queue::SendQueue;
use bytes::Buf;
use pepperhook_net::ByteTotal;
use pepperhook_rtsp::{DecodeError, Message};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::ops::ControlFlow;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

/// Size in bytes of the read buffer.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Number of messages handled before the task yields to others.
const MESSAGES_PER_TURN: usize = 16;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The peer closed it.
    Gone,
    /// The peer, or the system that it runs on, reset it.
    Reset,
    /// It broke, and nothing was seen of the peer.
    Broken,
    /// This side closed it.
    Closed,
    /// The received bytes are not a message.
    Unreadable(DecodeError),
    /// A message was received that the peer must not send.
    Noise,
    /// The first message, or the rest of a message in progress, did not arrive in time.
    Slow,
}

impl EndReason {
    /// Why a connection ended on which reading or writing failed.
    fn of_error(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Self::Reset,
            _ => Self::Broken,
        }
    }
}

/// State of the sending half of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SendHalf {
    Open,
    /// To be shut down once the send queue is written.
    Ending,
    Shut,
}

/// What the reader of a connection receives.
pub enum Received {
    /// The peer has closed its sending half, or its bytes cannot be decoded. This comes before the messages that were
    /// received ahead of it: no work should begin for a peer that has left.
    EndOfInput,
    /// A message.
    Message(Message),
}

/// Number of bytes that all connections of a kind hold together.
#[derive(Clone, Debug, Default)]
pub struct BufferTotals {
    /// Received, and not handled yet.
    received: ByteTotal,
    /// Still to be written.
    queued: ByteTotal,
}

/// One connection, shared by the task that reads it and by those that send on it or check its state.
pub struct Peer {
    stream: TcpStream,
    inbox: RefCell<Inbox>,
    /// The reader has taken [`Received::EndOfInput`].
    end_reported: Cell<bool>,
    queue: RefCell<SendQueue>,
    wake: Notify,
    closing: Cell<bool>,
    send_half: Cell<SendHalf>,
    /// The send queue exceeded its bound: the peer does not read.
    overflowed: Cell<bool>,
    /// When bytes were last received, or when the connection was made.
    last_received: Cell<Instant>,
    /// When the socket last accepted bytes of the queue, or when the queue last became non-empty.
    last_progress: Cell<Instant>,
}

/// Time limits for receiving messages on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ReceiveTimeouts {
    /// From the start of the connection to the end of its first message; no limit if `None`.
    pub first_message: Option<Duration>,
    /// From the first byte of a message to its last.
    pub message: Duration,
}

impl Peer {
    /// A connection whose bytes count in these totals.
    pub fn new(stream: TcpStream, totals: &BufferTotals) -> Self {
        Self {
            stream,
            inbox: RefCell::new(Inbox::new(totals.received.clone())),
            end_reported: Cell::new(false),
            queue: RefCell::new(SendQueue::new(totals.queued.clone())),
            wake: Notify::new(),
            closing: Cell::new(false),
            send_half: Cell::new(SendHalf::Open),
            overflowed: Cell::new(false),
            last_received: Cell::new(Instant::now()),
            last_progress: Cell::new(Instant::now()),
        }
    }

    /// Writes at once what the socket accepts, and queues the rest.
    pub fn send(&self, message: &Message) {
        if self.send_half.get() != SendHalf::Open {
            return;
        }
        let mut bytes = message.encode();
        let mut queue = self.queue.borrow_mut();
        if queue.is_empty() {
            if let Ok(n) = self.stream.try_write(&bytes) {
                bytes.advance(n);
            }
        }
        if !bytes.is_empty() {
            if queue.is_empty() {
                self.last_progress.set(Instant::now());
            }
            if !queue.push(&bytes) {
                self.overflowed.set(true);
            }
            self.wake.notify_one();
        }
    }

    /// Returns whether messages are queued and can still be written.
    pub fn is_writing(&self) -> bool {
        !self.queue.borrow().is_empty() && !self.overflowed.get()
    }

    /// Returns whether a message sent now would have to wait in the queue.
    pub fn is_blocked(&self) -> bool {
        !self.queue.borrow().is_empty()
    }

    /// Closes the connection once the send queue is written.
    pub fn close(&self) {
        self.closing.set(true);
        self.wake.notify_one();
    }

    /// Shuts down the sending half once the send queue is written; receiving goes on until the peer closes.
    pub fn shut_down_sending(&self) {
        self.send_half.set(SendHalf::Ending);
        self.wake.notify_one();
    }

    /// Returns the stream, for an orderly close.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Writes as much of the queue as the socket accepts; false if the connection is broken.
    fn flush(&self) -> bool {
        let mut queue = self.queue.borrow_mut();
        while !queue.is_empty() {
            match self.stream.try_write(queue.unwritten()) {
                Ok(0) => return false,
                Ok(n) => {
                    queue.advance(n);
                    self.last_progress.set(Instant::now());
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        true
    }

    /// Waits until the send queue is written or the connection is broken.
    pub async fn finish_writing(&self) {
        while self.is_writing() && self.stream.writable().await.is_ok() && self.flush() {}
    }

    /// Reads into the inbox with `read` until it would block or the inbox is full.
    fn fill_inbox(&self, mut read: impl FnMut(&mut [u8]) -> io::Result<usize>) {
        let mut inbox = self.inbox.borrow_mut();
        let mut buffer = [0u8; READ_BUFFER_BYTES];
        while inbox.has_room() {
            let n = match read(&mut buffer) {
                Ok(0) => return inbox.set_end(EndReason::Gone),
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => return inbox.set_end(EndReason::of_error(&e)),
            };
            self.last_received.set(Instant::now());
            inbox.receive(&buffer[..n]);
        }
    }

    /// Reads from the socket now and returns whether the peer has closed its sending half, or has sent a message for
    /// which `is_end` is true. What was read stays in the inbox for the connection's reader.
    ///
    /// The runtime's readiness is as old as its last poll: a timer or a node's message may be handled before a viewer's
    /// close that came earlier.
    pub fn has_left(&self, is_end: impl Fn(&Message) -> bool) -> bool {
        self.fill_inbox(|buffer| (&*SockRef::from(&self.stream)).read(buffer));
        self.wake.notify_one();
        let inbox = self.inbox.borrow();
        inbox.end().is_some() || pepperhook_net::is_read_closed(&self.stream) || inbox.any_message(is_end)
    }

    /// Takes the next item for the reader.
    fn next(&self) -> Option<Received> {
        let mut inbox = self.inbox.borrow_mut();
        if !self.end_reported.get() && (inbox.end().is_some() || pepperhook_net::is_read_closed(&self.stream))
        {
            self.end_reported.set(true);
            return Some(Received::EndOfInput);
        }
        inbox.pop().map(Received::Message)
    }

    /// Passes received messages to `handle` and writes the send queue until either side ends the connection; `handle`
    /// ends it by returning `Break`.
    pub async fn run(
        &self,
        timeouts: ReceiveTimeouts,
        mut handle: impl FnMut(Received) -> ControlFlow<EndReason>,
    ) -> EndReason {
        let mut deadline = timeouts.first_message.map(|t| Instant::now() + t);
        let (mut any_message, mut closing) = (false, false);
        loop {
            let mut taken = 0;
            while let Some(received) = self.next() {
                any_message |= matches!(received, Received::Message(_));
                if let ControlFlow::Break(end) = handle(received) {
                    return end;
                }
                taken += 1;
                if taken % MESSAGES_PER_TURN == 0 {
                    tokio::task::yield_now().await;
                }
            }
            if let Some(end) = self.inbox.borrow().end() {
                return end;
            }
            let is_partial = self.inbox.borrow().has_undecoded_bytes();
            deadline = match (is_partial, deadline) {
                _ if closing => deadline,
                // Messages were handled meanwhile: the one in progress is another, with its own deadline.
                (true, _) if taken > 0 => Some(Instant::now() + timeouts.message),
                (true, Some(at)) if !any_message => Some(at),
                (true, at) => at.or_else(|| Some(Instant::now() + timeouts.message)),
                (false, _) if any_message => None,
                (false, at) => at,
            };
            let has_queued = !self.queue.borrow().is_empty();
            if self.overflowed.get() || (closing && !has_queued) {
                return EndReason::Closed;
            }
            if self.send_half.get() == SendHalf::Ending && !has_queued {
                self.send_half.set(SendHalf::Shut);
                let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
            }
            let timeout = async {
                match deadline {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                ready = self.stream.writable(), if has_queued => {
                    if ready.is_err() || !self.flush() {
                        return EndReason::Reset;
                    }
                }
                () = self.wake.notified() => {
                    if self.closing.get() && !closing {
                        closing = true;
                        // A peer that does not read must not delay the close.
                        deadline = Some(Instant::now() + timeouts.message);
                        // Messages that have arrived by now are still handled and answered.
                        self.fill_inbox(|buffer| self.stream.try_read(buffer));
                    }
                }
                ready = self.stream.readable() => {
                    if ready.is_err() {
                        return EndReason::Broken;
                    }
                    self.fill_inbox(|buffer| self.stream.try_read(buffer));
                }
                () = timeout => return EndReason::Slow,
            }
        }
    }

    /// Returns whether nothing is in progress: the send queue is empty, the inbox has no message or part of one, and the
    /// socket has no unread bytes.
    pub fn is_idle(&self) -> bool {
        if !self.inbox.borrow().is_empty() || self.is_writing() {
            return false;
        }
        // Peeks at the socket, since the runtime may not know of the latest bytes yet. A close or an error is not a byte.
        !matches!(SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]), Ok(1..))
    }

    /// Returns whether the socket has accepted no queued bytes for this long: the peer does not read.
    pub fn is_stuck(&self, duration: Duration) -> bool {
        self.is_writing() && self.last_progress.get().elapsed() >= duration
    }

    /// When bytes were last received, or when the connection was made.
    pub fn last_received(&self) -> Instant {
        self.last_received.get()
    }
}
