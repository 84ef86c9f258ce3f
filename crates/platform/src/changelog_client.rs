//! The client of the change log: catches up from the last whole event it has, and asks again when it breaks off, falls
//! silent, tells what is no event, or moves.

use crate::backoff::{Backoff, Patience};
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

/// A connection to it is up within this time.
const DIAL: Duration = Duration::from_millis(1_000);

/// Follows the change log for as long as the front runs; the seed spreads what fronts do at one moment.
pub async fn follow(shell: Rc<Shell>, seed: u64) {
    let mut backoff = Backoff::new(seed);
    loop {
        // Whatever is waited for at the old address, an end, a dial or a pause, the new one is asked at once; and once:
        // a move that is told before the address is read leaves nothing behind.
        tokio::select! {
            biased;
            () = shell.log_moved.notified() => {
                info!(event = "changelog-moved", "the change log is asked at its new address");
                backoff.reset();
            }
            never = watch(&shell, &mut backoff) => match never {},
        }
    }
}

/// Asks at the address that holds, again and again.
async fn watch(shell: &Rc<Shell>, backoff: &mut Backoff) -> Infallible {
    loop {
        let began = Instant::now();
        let why = once(shell).await;
        if shell.may_warn("changelog") {
            warn!(event = "changelog-broke", why, last = shell.last_event(), "the change log is asked again");
        }
        tokio::time::sleep(backoff.pause(began.elapsed())).await;
    }
}

/// One connection to the change log; says why it ended. What was not told as a whole event changes nothing.
async fn once(shell: &Rc<Shell>) -> &'static str {
    let address = shell.log_address();
    let Ok(Ok(mut stream)) = timeout(DIAL, TcpStream::connect(address)).await else { return "no connection" };
    if !matches!(timeout(DIAL, stream.write_all(&shell.last_event().to_be_bytes())).await, Ok(Ok(()))) {
        return "no connection";
    }
    let (mut decoder, mut piece) = (Decoder::default(), vec![0u8; 8 * 1024]);
    let (began, mut patience) = (Instant::now(), Patience::default());
    loop {
        let n = match timeout_at(began + patience.due(), stream.read(&mut piece)).await {
            Err(_) => return "silent",
            Ok(Ok(n)) if n > 0 => n,
            Ok(_) => return "ended",
        };
        patience.heard(began.elapsed());
        decoder.feed(&piece[..n]);
        loop {
            match decoder.decode() {
                Ok(None) => break,
                Ok(Some(Frame::Heartbeat(number))) => {
                    if shell.is_behind(number) {
                        return "events are missing";
                    }
                }
                Ok(Some(Frame::Event(event))) => {
                    match shell.told(&event) {
                        Applied::New | Applied::Duplicate => {}
                        Applied::Gap => return "events are missing",
                        Applied::TooMany => return "too many nodes",
                    }
                    // A log that tells much at once holds nobody else up.
                    yield_now().await;
                }
                Err(_) => return "noise",
            }
            patience.whole(began.elapsed());
        }
        patience.announced(decoder.announced_bytes());
    }
}
