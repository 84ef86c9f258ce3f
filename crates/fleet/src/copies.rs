//! Copies of what fronts hold, on a lane of the exchange: who is where, and the replica's words with the sender's zone.

use pepperhook_exchange::MAX_CHANNEL_MESSAGE_BYTES;
use pepperhook_membership::Member;
use pepperhook_replica::{Counters, Output as Said, Peer, PutError, Replica, Settings, StreamRow};
use std::collections::BTreeMap;

/// Bytes of the zone before a message.
const ZONE: usize = 2;
/// The zone of a front that was not heard yet.
const UNKNOWN: u16 = u16::MAX;

/// This front's copies and what it keeps for others.
pub struct Copies {
    replica: Replica,
    zone: u16,
    zones: BTreeMap<u64, u16>,
    view: BTreeMap<u64, u64>,
}

impl Copies {
    pub fn new(settings: Settings, now_ms: u64) -> Self {
        let zone = settings.zone;
        let replica = Replica::new(settings, now_ms);
        Self { replica, zone, zones: BTreeMap::new(), view: BTreeMap::new() }
    }

    /// The view changed, or a front's zone is known now.
    fn put_view(&mut self) {
        let zone = |front: &u64| self.zones.get(front).copied().unwrap_or(UNKNOWN);
        let view = self.view.iter().map(|(front, run)| (*front, Peer { run: *run, zone: zone(front) }));
        self.replica.set_view(view.collect());
    }

    pub fn set_view(&mut self, view: &BTreeMap<u64, Member>) {
        self.view = view.iter().map(|(front, m)| (*front, m.run)).collect();
        self.zones.retain(|front, _| view.contains_key(front));
        self.put_view();
    }

    pub fn raise(&mut self, run: u64) {
        self.replica.set_run(run);
    }

    pub fn tick(&mut self, now_ms: u64) -> Vec<Said> {
        let mut said = Vec::new();
        self.replica.tick(now_ms, &mut said);
        said
    }

    pub fn heard(&mut self, now_ms: u64, sender: u64, content: &[u8]) -> Vec<Said> {
        let mut said = Vec::new();
        if let Some((zone, message)) = content.split_first_chunk::<ZONE>() {
            let zone = u16::from_be_bytes(*zone);
            if self.view.contains_key(&sender) && self.zones.insert(sender, zone) != Some(zone) {
                self.put_view();
            }
            self.replica.receive(now_ms, sender, message, &mut said);
        }
        said
    }

    /// A message as it travels; `None` where it does not fit.
    pub fn content(&self, message: &[u8]) -> Option<Vec<u8>> {
        let mut content = self.zone.to_be_bytes().to_vec();
        content.extend_from_slice(message);
        (content.len() <= MAX_CHANNEL_MESSAGE_BYTES).then_some(content)
    }

    pub fn keep(&mut self, now_ms: u64, key: u64, body: Option<Vec<u8>>) -> Result<(), PutError> {
        match body {
            Some(body) => self.replica.put(now_ms, key, body),
            None => {
                self.replica.remove(key);
                Ok(())
            }
        }
    }

    pub fn rows(&self, now_ms: u64) -> Vec<StreamRow> {
        self.replica.rows(now_ms)
    }

    pub fn counters(&self) -> &Counters {
        self.replica.counters()
    }
}
