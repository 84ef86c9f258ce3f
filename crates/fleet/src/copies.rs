//! Connects the replica protocol, which copies sessions to other fronts, to a channel of the exchange. Each message is
//! prefixed with its sender's zone, because the replica protocol chooses the holders of copies by zone.

use pepperhook_exchange::MAX_CHANNEL_MESSAGE_BYTES;
use pepperhook_membership::Member;
use pepperhook_replica::{Counters, Output, Peer, PutError, Replica, Settings, StreamRow};
use std::collections::BTreeMap;

/// Length of the zone before a message, bytes.
const ZONE_BYTES: usize = 2;
/// Zone of a front from which no message was received yet.
const UNKNOWN_ZONE: u16 = u16::MAX;

/// The copies of this front's sessions and the copies that it keeps for other fronts.
pub struct Copies {
    replica: Replica,
    zone: u16,
    /// Zone of each front, from the last message of that front.
    zones: BTreeMap<u64, u16>,
    /// Run of each front in the view.
    runs: BTreeMap<u64, u64>,
}

impl Copies {
    pub fn new(settings: Settings, now_ms: u64) -> Self {
        let zone = settings.zone;
        let replica = Replica::new(settings, now_ms);
        Self { replica, zone, zones: BTreeMap::new(), runs: BTreeMap::new() }
    }

    /// Passes the view with the known zones to the replica protocol.
    fn update_replica_view(&mut self) {
        let zone = |front: &u64| self.zones.get(front).copied().unwrap_or(UNKNOWN_ZONE);
        let view = self.runs.iter().map(|(front, run)| (*front, Peer { run: *run, zone: zone(front) }));
        self.replica.set_view(view.collect());
    }

    pub fn set_view(&mut self, view: &BTreeMap<u64, Member>) {
        self.runs = view.iter().map(|(front, m)| (*front, m.run)).collect();
        self.zones.retain(|front, _| view.contains_key(front));
        self.update_replica_view();
    }

    pub fn raise_run(&mut self, run: u64) {
        self.replica.set_run(run);
    }

    pub fn tick(&mut self, now_ms: u64) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.replica.tick(now_ms, &mut outputs);
        outputs
    }

    /// Processes a message as [`Self::encode`] made it.
    pub fn receive(&mut self, now_ms: u64, sender: u64, content: &[u8]) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let Some((zone, message)) = content.split_first_chunk::<ZONE_BYTES>() {
            let zone = u16::from_be_bytes(*zone);
            if self.runs.contains_key(&sender) && self.zones.insert(sender, zone) != Some(zone) {
                self.update_replica_view();
            }
            self.replica.receive(now_ms, sender, message, &mut outputs);
        }
        outputs
    }

    /// Prefixes a message with this front's zone; `None` if the result is too long for the channel.
    pub fn encode(&self, message: &[u8]) -> Option<Vec<u8>> {
        let mut content = self.zone.to_be_bytes().to_vec();
        content.extend_from_slice(message);
        (content.len() <= MAX_CHANNEL_MESSAGE_BYTES).then_some(content)
    }

    /// Stores a body under a key, or removes the key if there is no body.
    pub fn put(&mut self, now_ms: u64, key: u64, body: Option<Vec<u8>>) -> Result<(), PutError> {
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
