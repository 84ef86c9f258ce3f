//! The `platform` command: a front end for the platform's protocol.

use crate::{Exit, log, run};
use pepperhook_platform::{Config, Signals};
use std::path::Path;

/// Runs a front end until SIGTERM; `path` is its configuration file, if given on the command line.
pub fn platform(path: Option<&Path>) -> Exit {
    run(async {
        // Handlers are installed first: by default SIGHUP or SIGTERM would kill the process while it reads its
        // configuration.
        match Signals::new() {
            Ok(signals) => run_with_signals(path, signals).await,
            Err(e) => {
                eprintln!("pepperhook: cannot install signal handlers: {e}");
                Exit::Failed
            }
        }
    })
}

async fn run_with_signals(path: Option<&Path>, signals: Signals) -> Exit {
    let variable = |name: &str| std::env::var(name).ok();
    let path = match (path, variable("BALANCER_CONFIG")) {
        (Some(path), _) => path.to_owned(),
        (None, Some(path)) => path.into(),
        (None, None) => {
            eprintln!("pepperhook: no configuration file: pass --config or set BALANCER_CONFIG");
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
