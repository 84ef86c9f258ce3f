//! Client of the platform's change log. It subscribes after the last complete event that the front has, and reconnects
//! when the connection breaks, stays silent too long, sends invalid or missing events, or when the log's address changes.

use crate::backoff::{Backoff, SilenceDeadline};
use crate::shell::Shell;
use pepperhook_changelog::{Applied, Decoder, Frame};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::{info, warn};

/// Time limit for establishing a connection, and for writing the request on it.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Follows the change log for as long as the front runs. The seed of each front differs, which spreads reconnections.
pub async fn follow(shell: Rc<Shell>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    loop {
        // A change of address interrupts whatever is in progress with the old address: a connection, a dial or a pause.
        // The new address is dialled at once, and only once: a notification that comes before the address is read
        // leaves no further one pending.
        tokio::select! {
            biased;
            () = shell.log_moved.notified() => {
                info!(event = "changelog-moved", "connecting to the change log at its new address");
                backoff.reset();
            }
            never = reconnect_forever(&shell, &mut backoff) => match never {},
        }
    }
}

/// Connects to the current address again and again, with back-off.
async fn reconnect_forever(shell: &Rc<Shell>, backoff: &mut Backoff) -> Infallible {
    loop {
        let began = Instant::now();
        let reason = read_events(shell).await;
        if shell.may_warn("changelog") {
            warn!(
                event = "changelog-broke",
                why = reason,
                last = shell.last_event(),
                "reconnecting to the change log after its last complete event"
            );
        }
        tokio::time::sleep(backoff.pause(began.elapsed())).await;
    }
}

/// Opens one connection to the change log and applies its events until it ends; returns the reason of the end. An
/// incomplete event changes nothing.
async fn read_events(shell: &Rc<Shell>) -> &'static str {
    let address = shell.log_address();
    let Ok(Ok(mut stream)) = timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await else {
        return "no connection";
    };
    if !matches!(timeout(DIAL_TIMEOUT, stream.write_all(&shell.last_event().to_be_bytes())).await, Ok(Ok(())))
    {
        return "no connection";
    }
    let (mut decoder, mut buffer) = (Decoder::default(), vec![0u8; 8 * 1024]);
    let (began, mut silence) = (Instant::now(), SilenceDeadline::default());
    loop {
        let n = match timeout_at(began + silence.deadline(), stream.read(&mut buffer)).await {
            Err(_) => return "silent",
            Ok(Ok(n)) if n > 0 => n,
            Ok(_) => return "ended",
        };
        silence.bytes_received(began.elapsed());
        decoder.feed(&buffer[..n]);
        loop {
            match decoder.decode() {
                Ok(None) => break,
                Ok(Some(Frame::Heartbeat(number))) => {
                    if shell.is_behind(number) {
                        return "events are missing";
                    }
                }
                Ok(Some(Frame::Event(event))) => {
                    match shell.apply_event(&event) {
                        Applied::New | Applied::Duplicate => {}
                        Applied::Gap => return "events are missing",
                        Applied::TooMany => return "too many nodes",
                    }
                    // Many events in a row must not starve the other tasks.
                    yield_now().await;
                }
                Err(_) => return "noise",
            }
            silence.frame_completed(began.elapsed());
        }
        silence.set_frame_length(decoder.announced_bytes());
    }
}
