//! `serve`, `check` and `playout`.

use crate::{Exit, log, run, signalled};
use pepperhook_front::Front;
use pepperhook_inventory::InventoryWatcher;
use pepperhook_playout::record::Recorder;
use pepperhook_playout::{Options, start};
use pepperhook_settings::Config;
use serde_json::json;
use std::io::Write;
use std::path::{Path, PathBuf};
use tracing::warn;

/// Reads settings; faults go to standard error.
fn load(path: &Path) -> Option<Config> {
    Config::load(path).map_err(|e| eprint!("{e}")).ok()
}

fn keeper(config: &Config) -> InventoryWatcher {
    InventoryWatcher::new(config.inventory.clone(), config.state_dir.as_deref(), config.names.clone())
}

/// Raises the soft limit of open files to the hard one: a front holds a connection a viewer.
fn raise_files() {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    if let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        if soft < hard && setrlimit(Resource::RLIMIT_NOFILE, hard, hard).is_err() {
            warn!(event = "file-limit", soft, hard, "the limit of open files could not be raised");
        }
    }
}

/// Runs a front until a signal.
pub fn serve(path: &Path) -> Exit {
    let Some(config) = load(path) else { return Exit::Usage };
    log::start(config.log, "info");
    raise_files();
    if let Some(dir) = &config.state_dir {
        if let Err(e) = std::fs::create_dir_all(dir) {
            eprintln!("pepperhook: state-dir {}: {e}", dir.display());
            return Exit::Usage;
        }
    }
    let mut keeper = keeper(&config);
    let nodes = match keeper.load_initial() {
        Ok((nodes, faults)) => {
            for fault in faults.iter().take(10) {
                warn!(event = "inventory-fault", "{fault}");
            }
            if !faults.is_empty() {
                warn!(event = "inventory-kept", nodes = nodes.len(), "started on the last good list");
            }
            nodes
        }
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{}: {f}", config.inventory.display()));
            return Exit::Usage;
        }
    };
    run(async move {
        let front = match Front::start(config, rand::random(), nodes, Some(keeper)).await {
            Ok(front) => front,
            Err(e) => {
                eprintln!("pepperhook: {e}");
                return Exit::Usage;
            }
        };
        say(&json!({"address": front.address(), "admin": front.admin()}));
        signalled().await;
        front.stop().await;
        Exit::Done
    })
}

/// One line on standard output; who does not read it has no use for it.
fn say(line: &serde_json::Value) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Reads settings and list, and prints what is wrong.
pub fn check(path: &Path) -> Exit {
    let Some(config) = load(path) else { return Exit::Usage };
    let read = std::fs::read(&config.inventory);
    let faults = match read.map(|b| pepperhook_inventory::parse(&b, &config.names)) {
        Ok(Ok(nodes)) => {
            println!("{}: {} nodes, {} titles", path.display(), nodes.len(), config.titles.len());
            return without_holders(&config, &nodes);
        }
        Ok(Err(faults)) => faults.iter().map(ToString::to_string).collect(),
        Err(e) => vec![e.to_string()],
    };
    faults.iter().for_each(|f| eprintln!("{}: {f}", config.inventory.display()));
    Exit::Failed
}

/// A title that no listed node holds can never be played.
fn without_holders(config: &Config, nodes: &[pepperhook_inventory::Node]) -> Exit {
    let cells = config.decisions.cells;
    let held = |t: &pepperhook_settings::Title| {
        nodes.iter().any(|n| (n.entry.cell + cells - t.home % cells) % cells < t.copies)
    };
    let missing: Vec<&String> = config.titles.iter().filter(|(_, t)| !held(t)).map(|(n, _)| n).collect();
    for name in &missing {
        eprintln!("title '{name}': no listed node holds it");
    }
    if missing.is_empty() { Exit::Done } else { Exit::Failed }
}

/// Stands in for nodes until a signal.
pub async fn playout(config: Option<PathBuf>, record: Option<PathBuf>) -> Exit {
    let nodes = match config {
        None => vec![Options::default()],
        Some(path) => {
            let text = std::fs::read_to_string(&path).map_err(|e| e.to_string());
            match text.and_then(|t| serde_json::from_str::<Vec<Options>>(&t).map_err(|e| e.to_string())) {
                Ok(nodes) => nodes,
                Err(e) => {
                    eprintln!("{}: {e}", path.display());
                    return Exit::Usage;
                }
            }
        }
    };
    raise_files();
    let recorder = match &record {
        Some(path) => Recorder::to_file("playout", path),
        None => Ok(Recorder::disabled()),
    };
    let stands = match recorder {
        Ok(recorder) => start(nodes, &recorder).await,
        Err(e) => Err(e),
    };
    match stands {
        Ok(stands) => {
            for s in &stands {
                say(&json!({"name": s.name, "address": s.address, "control": s.control}));
            }
            signalled().await;
            Exit::Done
        }
        Err(e) => {
            eprintln!("pepperhook: {e}");
            Exit::Usage
        }
    }
}
