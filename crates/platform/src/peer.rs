//! One connection, a viewer's or a node's: bytes in through a decoder, bytes out through a bounded queue.

use bytes::{Buf, BytesMut};
use pepperhook_rtsp::{DecodeError, Decoder, Message};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::ops::ControlFlow;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

/// Bytes that wait to be written, at most; who does not read them loses the connection.
const QUEUE: usize = 256 * 1024;
/// Bytes read at a time.
const PIECE: usize = 8 * 1024;
/// Bytes read ahead of what was taken, at most.
const AHEAD: usize = 64 * 1024;
/// Messages taken before others have their turn.
const TURN: usize = 16;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The other side ended or reset it.
    Gone,
    /// The other side ended it after this side had shut its own half.
    Shut,
    /// It was closed from here.
    Closed,
    /// What came was no message.
    Unreadable(DecodeError),
    /// What came was a message that may not come here.
    Noise,
    /// A message that had begun did not become whole in time, or none came.
    Slow,
}

/// The sending side of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Half {
    Open,
    /// To be shut once what was said is written.
    Ending,
    Shut,
}

/// What a connection brings.
pub enum Word {
    /// The other side has ended its half, or what came can't be read. Known before the messages that came before it are
    /// taken, so that nothing is begun for who has left.
    Ends,
    /// A message.
    Message(Message),
}

/// What was read and is not taken yet.
#[derive(Default)]
struct Inbox {
    decoder: Decoder,
    messages: VecDeque<Message>,
    /// Bytes read since it was last empty.
    bytes: usize,
    /// Nothing more comes after the messages.
    end: Option<End>,
    /// Whoever takes the messages has heard of it.
    told: bool,
}

/// One connection, shared by its reader with whoever has something to say on it or wants to know whether it still is.
pub struct Peer {
    stream: TcpStream,
    inbox: RefCell<Inbox>,
    queue: RefCell<BytesMut>,
    wake: Notify,
    closing: Cell<bool>,
    half: Cell<Half>,
    /// The queue ran over.
    over: Cell<bool>,
    /// When something last came, or the connection did.
    heard: Cell<Instant>,
    /// When the machine last took of what waits, or something began to wait.
    moved: Cell<Instant>,
}

/// How long a connection may say nothing.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Until its first whole message.
    pub first: Option<Duration>,
    /// From the first byte of a message to its last.
    pub message: Duration,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            inbox: RefCell::default(),
            queue: RefCell::default(),
            wake: Notify::new(),
            closing: Cell::new(false),
            half: Cell::new(Half::Open),
            over: Cell::new(false),
            heard: Cell::new(Instant::now()),
            moved: Cell::new(Instant::now()),
        }
    }

    /// Writes at once what the socket takes, and keeps the rest.
    pub fn send(&self, message: &Message) {
        if self.half.get() != Half::Open {
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
                self.moved.set(Instant::now());
            }
            queue.extend_from_slice(&bytes);
            if queue.len() > QUEUE {
                self.over.set(true);
            }
            self.wake.notify_one();
        }
    }

    /// Something that was said is not written yet.
    pub fn is_writing(&self) -> bool {
        !self.queue.borrow().is_empty() && !self.over.get()
    }

    /// Something said now would not leave now.
    pub fn is_blocked(&self) -> bool {
        !self.queue.borrow().is_empty()
    }

    /// Ends the connection once what was said is written.
    pub fn close(&self) {
        self.closing.set(true);
        self.wake.notify_one();
    }

    /// Shuts the sending side once what was said is written; the other side is read to its end.
    pub fn shut(&self) {
        self.half.set(Half::Ending);
        self.wake.notify_one();
    }

    /// Takes the stream back, to end it in order.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Writes what waits, as far as the socket takes it.
    fn flush(&self) -> bool {
        let mut queue = self.queue.borrow_mut();
        while !queue.is_empty() {
            match self.stream.try_write(&queue) {
                Ok(0) => return false,
                Ok(n) => {
                    queue.advance(n);
                    self.moved.set(Instant::now());
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        true
    }

    /// Waits until what was said is written, or cannot be.
    pub async fn written(&self) {
        while self.is_writing() && self.stream.writable().await.is_ok() && self.flush() {}
    }

    /// Reads by `read` until it would block, up to the bound on what is read ahead.
    fn pull(&self, mut read: impl FnMut(&mut [u8]) -> io::Result<usize>) {
        let mut inbox = self.inbox.borrow_mut();
        let mut piece = [0u8; PIECE];
        while inbox.end.is_none() && inbox.bytes < AHEAD {
            let n = match read(&mut piece) {
                Ok(0) if self.half.get() == Half::Shut => return inbox.end = Some(End::Shut),
                Ok(0) => return inbox.end = Some(End::Gone),
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return inbox.end = Some(End::Gone),
            };
            inbox.bytes += n;
            self.heard.set(Instant::now());
            inbox.decoder.feed(&piece[..n]);
            loop {
                match inbox.decoder.decode() {
                    Ok(Some(message)) => inbox.messages.push_back(message),
                    Ok(None) => break,
                    Err(fault) => return inbox.end = Some(End::Unreadable(fault)),
                }
            }
        }
    }

    /// Looks at the socket itself, now: whether the other side has ended its half, or has sent a message that `ends`
    /// what is asked about. What is found is taken in its order by whoever reads this connection.
    ///
    /// The readiness that the runtime knows is as old as its last wait: a timer, or a node's word, may come up before
    /// the end of a connection that was there earlier.
    pub fn has_left(&self, ends: impl Fn(&Message) -> bool) -> bool {
        self.pull(|piece| (&*SockRef::from(&self.stream)).read(piece));
        self.wake.notify_one();
        let inbox = self.inbox.borrow();
        inbox.end.is_some() || inbox.messages.iter().any(ends)
    }

    /// The next word that is to be taken.
    fn next(&self) -> Option<Word> {
        let mut inbox = self.inbox.borrow_mut();
        if inbox.end.is_some() && !std::mem::replace(&mut inbox.told, true) {
            return Some(Word::Ends);
        }
        let message = inbox.messages.pop_front();
        if message.is_none() {
            inbox.bytes = 0;
        }
        message.map(Word::Message)
    }

    /// Reads messages and writes what is said, until one side ends it. `each` breaks to end it from here.
    pub async fn pump(&self, patience: Patience, mut each: impl FnMut(Word) -> ControlFlow<End>) -> End {
        let mut due = patience.first.map(|t| Instant::now() + t);
        let (mut heard, mut closing) = (false, false);
        loop {
            let mut taken = 0;
            while let Some(word) = self.next() {
                heard |= matches!(word, Word::Message(_));
                if let ControlFlow::Break(end) = each(word) {
                    return end;
                }
                taken += 1;
                if taken % TURN == 0 {
                    tokio::task::yield_now().await;
                }
            }
            if let Some(end) = self.inbox.borrow().end {
                return end;
            }
            let within = self.inbox.borrow().decoder.has_partial_message();
            due = match (within, due) {
                _ if closing => due,
                // Another message than the one that was waited for: it has its own time.
                (true, _) if taken > 0 => Some(Instant::now() + patience.message),
                (true, Some(at)) if !heard => Some(at),
                (true, at) => at.or_else(|| Some(Instant::now() + patience.message)),
                (false, _) if heard => None,
                (false, at) => at,
            };
            let waits = !self.queue.borrow().is_empty();
            if self.over.get() || (closing && !waits) {
                return End::Closed;
            }
            if self.half.get() == Half::Ending && !waits {
                self.half.set(Half::Shut);
                let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
            }
            let time_up = async {
                match due {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                ready = self.stream.writable(), if waits => {
                    if ready.is_err() || !self.flush() {
                        return End::Gone;
                    }
                }
                () = self.wake.notified() => {
                    if self.closing.get() && !closing {
                        closing = true;
                        // A peer that does not read cannot hold the end up.
                        due = Some(Instant::now() + patience.message);
                        // What had come by now is heard and answered.
                        self.pull(|piece| self.stream.try_read(piece));
                    }
                }
                ready = self.stream.readable() => {
                    if ready.is_err() {
                        return End::Gone;
                    }
                    self.pull(|piece| self.stream.try_read(piece));
                }
                () = time_up => return End::Slow,
            }
        }
    }

    /// Nothing is under way on it: all that was said is written, and nothing came that was not taken, be it half a
    /// message or bytes that nobody has read.
    pub fn is_idle(&self) -> bool {
        let inbox = self.inbox.borrow();
        if inbox.decoder.has_partial_message() || !inbox.messages.is_empty() || self.is_writing() {
            return false;
        }
        // The machine is asked: the runtime may not have heard of the latest bytes yet. An end, or an error, is no byte.
        !matches!(SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]), Ok(1..))
    }

    /// The machine has taken nothing of what waits for so long: the other side does not read.
    pub fn is_stuck(&self, long: Duration) -> bool {
        self.is_writing() && self.moved.get().elapsed() >= long
    }

    /// When something last came, or the connection did.
    pub fn heard(&self) -> Instant {
        self.heard.get()
    }
}
