//! What a connection has received and its reader has not taken yet, bounded for one connection and for all of them
//! together. No I/O.

use crate::peer::EndReason;
use pepperhook_net::{BufferLimits, ByteShare, ByteTotal};
use pepperhook_rtsp::{Decoder, Message};
use std::collections::VecDeque;

/// Bounds on the inboxes of all connections. A close of the peer becomes known once all that it wrote before is read.
const LIMITS: BufferLimits = BufferLimits { alone: 1024 * 1024, total: 16 * 1024 * 1024, always: 64 * 1024 };
/// Number of decoded messages at which decoding pauses. A small message takes several times its length once decoded.
const MAX_DECODED_MESSAGES: usize = 64;
/// Size in bytes to which received bytes that wait for the decoder are joined.
const CHUNK_BYTES: usize = 8 * 1024;

/// The received data of one connection. It counts in the total until the reader has taken all of it.
pub struct Inbox {
    decoder: Decoder,
    messages: VecDeque<Message>,
    /// Received bytes that the decoder has not got yet.
    undecoded: VecDeque<Vec<u8>>,
    /// The bytes received since the inbox was last empty.
    received: ByteShare,
    end: Option<EndReason>,
}

impl Inbox {
    /// An empty inbox that counts in this total.
    pub fn new(total: ByteTotal) -> Self {
        Self {
            decoder: Decoder::default(),
            messages: VecDeque::new(),
            undecoded: VecDeque::new(),
            received: ByteShare::new(total),
            end: None,
        }
    }

    /// Returns whether reading may go on.
    pub fn has_room(&self) -> bool {
        self.end.is_none() && self.received.bytes() < self.received.limit(&LIMITS)
    }

    /// Adds received bytes.
    pub fn receive(&mut self, bytes: &[u8]) {
        self.received.set(self.received.bytes() + bytes.len());
        match self.undecoded.back_mut() {
            Some(last) if last.len() + bytes.len() <= CHUNK_BYTES => last.extend_from_slice(bytes),
            _ => self.undecoded.push_back(bytes.to_vec()),
        }
        self.decode();
    }

    /// Nothing more follows. The first reason stays.
    pub fn set_end(&mut self, reason: EndReason) {
        self.end.get_or_insert(reason);
    }

    /// Why nothing more follows, if that is so.
    pub fn end(&self) -> Option<EndReason> {
        self.end
    }

    /// Decodes what has arrived, up to [`MAX_DECODED_MESSAGES`] that wait for the reader.
    fn decode(&mut self) {
        while self.messages.len() < MAX_DECODED_MESSAGES {
            match self.decoder.decode() {
                Ok(Some(message)) => self.messages.push_back(message),
                Ok(None) => match self.undecoded.pop_front() {
                    Some(bytes) => self.decoder.feed(&bytes),
                    None => return,
                },
                Err(error) => {
                    self.undecoded.clear();
                    return self.set_end(EndReason::Unreadable(error));
                }
            }
        }
    }

    /// Takes the next message.
    pub fn pop(&mut self) -> Option<Message> {
        if self.messages.is_empty() {
            self.decode();
        }
        let message = self.messages.pop_front();
        if message.is_none() {
            self.received.set(0);
        }
        message
    }

    /// Returns whether one of the decoded messages that wait for the reader fulfils a condition.
    pub fn any_message(&self, condition: impl Fn(&Message) -> bool) -> bool {
        self.messages.iter().any(condition)
    }

    /// Returns whether bytes wait that form no decoded message.
    pub fn has_undecoded_bytes(&self) -> bool {
        self.decoder.has_partial_message() || !self.undecoded.is_empty()
    }

    /// Returns whether nothing waits for the reader or the decoder.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty() && !self.has_undecoded_bytes()
    }
}

#[cfg(test)]
mod tests;
