//! Reads request bodies within the limits on one body and the memory for all of them.

use crate::body_budget::{BodyBudget, Reservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pepperhook_settings::Limits;
use pepperhook_signalling::Problem;
use std::ops::Deref;
use std::time::Duration;

/// Retry-After of a request that the memory for bodies does not suffice for, milliseconds.
const OVERLOAD_RETRY_MS: u64 = 1_000;
/// Largest request body that is read to its end, bytes. What exceeds the limit of the settings is discarded, not refused
/// at once: a client that sends its whole body before it reads would otherwise not receive the 413.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// A complete request body. It counts towards the budget until it is dropped.
pub struct RequestBody {
    /// Its bytes.
    pub bytes: Bytes,
    _reservation: Reservation,
}

impl Deref for RequestBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a request body within the limits and the budget.
///
/// # Errors
/// 413 if it is too large, 408 if it takes too long, 400 if it breaks off, 503 if the memory for bodies is exhausted.
pub async fn read_body(
    mut incoming: Incoming,
    limits: &Limits,
    budget: &BodyBudget,
) -> Result<RequestBody, Problem> {
    let mut reservation = budget.begin();
    // Allocated once: a buffer that grows step by step leaves holes behind that add up over hundreds of bodies.
    let expected = usize::try_from(incoming.size_hint().upper().unwrap_or(0)).unwrap_or(usize::MAX);
    let (mut kept, mut length) = (BytesMut::with_capacity(expected.min(limits.body)), 0usize);
    let read_frames = async {
        loop {
            let frame = tokio::select! {
                biased;
                () = reservation.evicted() => return Err(no_memory()),
                frame = incoming.frame() => frame,
            };
            let Some(frame) = frame else { return reservation.complete().map_err(|_| no_memory()) };
            let frame = frame.map_err(|_| body_broken())?;
            let Some(data) = frame.data_ref() else { continue };
            length = length.saturating_add(data.len());
            if length <= limits.body {
                reservation.grow(data.len()).map_err(|_| no_memory())?;
                kept.extend_from_slice(data);
                continue;
            }
            // Of a body that is too large nothing is kept.
            (kept, reservation) = (BytesMut::new(), budget.begin());
            if length > MAX_DISCARDED_BYTES {
                return Ok(());
            }
        }
    };
    match tokio::time::timeout(Duration::from_nanos(limits.body_timeout), read_frames).await {
        Ok(read) => read?,
        Err(_) => {
            let limit_ms = limits.body_timeout / 1_000_000;
            let detail = format!("the body did not arrive within {limit_ms} ms");
            return Err(Problem::new(408, "body-slow", "The body took too long", detail));
        }
    }
    if length > limits.body {
        let detail = format!("the body has more than the allowed {} bytes", limits.body);
        return Err(Problem::new(413, "body-too-large", "The body is too large", detail));
    }
    Ok(RequestBody { bytes: kept.freeze(), _reservation: reservation })
}

fn body_broken() -> Problem {
    let detail = "the connection ended before the whole body had arrived";
    Problem::new(400, "body-broken", "The body broke off", detail)
}

fn no_memory() -> Problem {
    let detail = "the front has no memory for more request bodies now; a new try does no harm";
    Problem::new(503, "overload", "Refused", detail).with_retry_after_ms(OVERLOAD_RETRY_MS)
}
