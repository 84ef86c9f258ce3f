//! The client of the change log: catches up from the last event it has, and asks again when it breaks off or falls
//! silent.

use crate::shell::Shell;
use pepperhook_changelog::{Applied, Decoder, Frame};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::{info, warn};

/// The change log says something each second; after this it is asked again on a new connection.
const SILENCE: Duration = Duration::from_millis(2_300);
/// A connection to it is up within this time.
const DIAL: Duration = Duration::from_millis(1_000);
/// Between two tries, doubled up to the second one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// Follows the change log for as long as the front runs.
pub async fn follow(shell: Rc<Shell>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let before = shell.last_event();
        let moved = shell.log_moved.notified();
        let why = tokio::select! {
            why = once(&shell) => why,
            () = moved => {
                info!(event = "changelog-moved", "the change log is asked at its new address");
                pause = FIRST_PAUSE;
                continue;
            }
        };
        if shell.last_event() > before || why == "silent" {
            pause = FIRST_PAUSE;
        }
        if shell.may_warn("changelog") {
            warn!(event = "changelog-broke", why, last = shell.last_event(), "the change log is asked again");
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// One connection to the change log; says why it ended.
async fn once(shell: &Rc<Shell>) -> &'static str {
    let address = shell.log_address();
    let Ok(Ok(mut stream)) = timeout(DIAL, TcpStream::connect(address)).await else { return "no connection" };
    if !matches!(timeout(DIAL, stream.write_all(&shell.last_event().to_be_bytes())).await, Ok(Ok(()))) {
        return "no connection";
    }
    let (mut decoder, mut piece) = (Decoder::default(), vec![0u8; 8 * 1024]);
    loop {
        let n = match timeout(SILENCE, stream.read(&mut piece)).await {
            Err(_) => return "silent",
            Ok(Ok(n)) if n > 0 => n,
            Ok(_) => return "ended",
        };
        decoder.feed(&piece[..n]);
        loop {
            match decoder.decode() {
                Ok(None) => break,
                Ok(Some(Frame::Nothing(number))) => {
                    if shell.is_behind(number) {
                        return "events are missing";
                    }
                }
                Ok(Some(Frame::Event(event))) => {
                    if shell.told(&event) == Applied::Gap {
                        return "events are missing";
                    }
                }
                Err(_) => return "noise",
            }
        }
    }
}
