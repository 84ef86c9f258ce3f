//! Memory for request bodies, bounded over all connections together.
//!
//! A body is held from its first byte until its request has an answer. Each may be as long as the settings allow, and
//! there may be as many as there are connections, which is far more memory than a front has. When the budget is
//! exhausted, the bodies that have been arriving for longest give way: the usual client's body arrives at once, and one
//! that stopped half way must not keep others out. A body that is complete is never evicted.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The budget, shared by all connections.
#[derive(Clone, Debug)]
pub struct BodyBudget(Rc<RefCell<Bodies>>);

#[derive(Debug)]
struct Bodies {
    /// Most bytes of all bodies together.
    limit: usize,
    /// Bytes of all bodies, complete or not.
    used: usize,
    next_id: u64,
    /// Bodies that are still arriving, in the order in which they began.
    arriving: BTreeMap<u64, ArrivingBody>,
}

#[derive(Debug)]
struct ArrivingBody {
    bytes: usize,
    /// Dropped when the body is evicted.
    _evict: oneshot::Sender<()>,
}

/// There is no memory left, although no body is arriving that could be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for request bodies is exhausted")]
pub struct Exhausted;

/// One body's part of the budget; dropping it returns the part.
#[derive(Debug)]
pub struct Reservation {
    budget: BodyBudget,
    id: u64,
    bytes: usize,
    evicted: oneshot::Receiver<()>,
    is_complete: bool,
}

impl BodyBudget {
    /// A budget of this many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Rc::new(RefCell::new(Bodies { limit, used: 0, next_id: 0, arriving: BTreeMap::new() })))
    }

    /// Begins a body, which has no bytes yet.
    #[must_use]
    pub fn begin(&self) -> Reservation {
        let (evict, evicted) = oneshot::channel();
        let mut bodies = self.0.borrow_mut();
        bodies.next_id += 1;
        let id = bodies.next_id;
        bodies.arriving.insert(id, ArrivingBody { bytes: 0, _evict: evict });
        Reservation { budget: self.clone(), id, bytes: 0, evicted, is_complete: false }
    }
}

impl Bodies {
    /// Evicts the body that has been arriving for longest, other than this one; false if there is none.
    fn evict_oldest_but(&mut self, id: u64) -> bool {
        let oldest = self.arriving.iter().find(|(other, body)| **other != id && body.bytes > 0);
        let Some(oldest) = oldest.map(|(other, _)| *other) else { return false };
        if let Some(body) = self.arriving.remove(&oldest) {
            self.used -= body.bytes;
        }
        true
    }
}

impl Reservation {
    /// Adds bytes to the body. Evicts others for them if necessary.
    ///
    /// # Errors
    /// If the budget is exhausted by bodies that cannot be evicted, or this one has been evicted.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let mut bodies = self.budget.0.borrow_mut();
        if !bodies.arriving.contains_key(&self.id) {
            return Err(Exhausted);
        }
        while bodies.used.saturating_add(bytes) > bodies.limit {
            if !bodies.evict_oldest_but(self.id) {
                return Err(Exhausted);
            }
        }
        let body = bodies.arriving.get_mut(&self.id).ok_or(Exhausted)?;
        body.bytes += bytes;
        bodies.used += bytes;
        self.bytes += bytes;
        Ok(())
    }

    /// Waits until the body is evicted.
    pub async fn evicted(&mut self) {
        let _ = (&mut self.evicted).await;
    }

    /// The body is complete: it is not evicted any more.
    ///
    /// # Errors
    /// If it has been evicted already.
    pub fn complete(&mut self) -> Result<(), Exhausted> {
        self.budget.0.borrow_mut().arriving.remove(&self.id).ok_or(Exhausted)?;
        self.is_complete = true;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut bodies = self.budget.0.borrow_mut();
        let was_arriving = bodies.arriving.remove(&self.id).is_some();
        // The bytes of an evicted body were returned at its eviction.
        if was_arriving || self.is_complete {
            bodies.used -= self.bytes;
        }
    }
}

#[cfg(test)]
mod tests;
