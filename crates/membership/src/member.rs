//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A front's identity in the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The front's number, a stable hash of its name; 0 if only the address is known.
    pub front: u64,
    /// Number of the front's run, higher at each start. It distinguishes a restarted front from its earlier
    /// run, which may be suspected or have left.
    pub run: u64,
    /// How often the front rejoined in this run after the others had declared it down.
    pub renewals: u32,
    /// Address that receives its datagrams.
    pub address: SocketAddr,
    /// Weight of its share of the common work, relative to other members.
    pub weight: u16,
}

impl Member {
    /// A member of which only the address is known. It serves only as the destination of an announcement.
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
