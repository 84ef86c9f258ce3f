//! `platform`: the front end on the platform's protocol.

use crate::{Exit, log, run};
use pepperhook_platform::{Config, Signals};
use std::path::Path;

/// Runs a front end until a signal.
pub fn platform(path: Option<&Path>) -> Exit {
    run(async {
        // Before anything else: by default a SIGHUP, or a SIGTERM, would end a process that still reads its configuration.
        match Signals::new() {
            Ok(signals) => with_signals(path, signals).await,
            Err(e) => {
                eprintln!("pepperhook: signals cannot be had: {e}");
                Exit::Failed
            }
        }
    })
}

async fn with_signals(path: Option<&Path>, signals: Signals) -> Exit {
    let variable = |name: &str| std::env::var(name).ok();
    let path = match (path, variable("BALANCER_CONFIG")) {
        (Some(path), _) => path.to_owned(),
        (None, Some(path)) => path.into(),
        (None, None) => {
            eprintln!("pepperhook: neither --config nor BALANCER_CONFIG names a configuration");
            return Exit::Usage;
        }
    };
    let config = match Config::load(&path) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("pepperhook: {e}");
            return Exit::Usage;
        }
    };
    let (name, listen) = (variable("BALANCER_NAME"), variable("BALANCER_LISTEN"));
    if let Err(e) = config.check_environment(name.as_deref(), listen.as_deref()) {
        eprintln!("pepperhook: {}: {e}", path.display());
        return Exit::Usage;
    }
    log::start(pepperhook_settings::LogFormat::Text, "info");
    match pepperhook_platform::run(config, path.clone(), signals).await {
        Ok(()) => Exit::Done,
        Err(e) => {
            eprintln!("pepperhook: {}: {e}", path.display());
            Exit::Usage
        }
    }
}
