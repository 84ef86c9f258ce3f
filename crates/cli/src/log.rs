//! The log: structured, on standard error.

use pepperhook_settings::LogFormat;
use tracing_subscriber::EnvFilter;

/// Starts the log; `PEPPERHOOK_LOG` overrides the level (in the form of `tracing`'s filters).
pub fn start(form: LogFormat, level: &str) {
    let filter = EnvFilter::try_from_env("PEPPERHOOK_LOG").unwrap_or_else(|_| EnvFilter::new(level));
    let base =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    // A second start in one process, as tests may have it, changes nothing.
    let _ = match form {
        LogFormat::Text => base.try_init(),
        LogFormat::Json => base.json().flatten_event(true).try_init(),
    };
}
