//! Who a member is.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A front as the others know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its number: a stable hash of its name. 0 where only the address is known yet.
    pub front: u64,
    /// Higher at each start, so that a restarted front is not taken for the one that was suspected or left.
    pub run: u64,
    /// Times that it came back in this run after the others had given it up.
    pub renewals: u32,
    /// Where its datagrams come.
    pub address: SocketAddr,
    /// Its part of shared work against others'.
    pub weight: u16,
}

impl Member {
    /// An address of which nothing more is known: only to announce oneself there.
    #[must_use]
    pub fn unidentified(address: SocketAddr) -> Self {
        Self { front: 0, run: 0, renewals: 0, address, weight: 0 }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self { renewals: self.renewals.checked_add(1)?, ..*self })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.run, self.renewals) > (other.run, other.renewals)
    }
}
