//! Structured logging to standard error.

use pepperhook_settings::LogFormat;
use tracing_subscriber::EnvFilter;

/// Installs the global log subscriber. The environment variable `PEPPERHOOK_LOG` overrides `level`; both are
/// filters in the syntax of [`EnvFilter`].
pub fn start(format: LogFormat, level: &str) {
    let filter = EnvFilter::try_from_env("PEPPERHOOK_LOG").unwrap_or_else(|_| EnvFilter::new(level));
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    // A second call in the same process fails, which is ignored: the first subscriber stays installed.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}
