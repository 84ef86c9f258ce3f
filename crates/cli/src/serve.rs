//! The commands `serve`, `check` and `playout`.

use crate::{Exit, log, run, shutdown_signal};
use pepperhook_front::Front;
use pepperhook_inventory::InventoryWatcher;
use pepperhook_playout::record::Recorder;
use pepperhook_playout::{Options, start};
use pepperhook_settings::Config;
use serde_json::json;
use std::io::Write;
use std::path::{Path, PathBuf};
use tracing::warn;

/// Loads the settings file; prints its faults to standard error.
fn load_settings(path: &Path) -> Option<Config> {
    Config::load(path).map_err(|e| eprint!("{e}")).ok()
}

fn inventory_watcher(config: &Config) -> InventoryWatcher {
    InventoryWatcher::new(config.inventory.clone(), config.state_dir.as_deref(), config.names.clone())
}

/// Raises the soft limit of open files to the hard limit, because a front holds one connection per viewer.
fn raise_open_file_limit() {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    if let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        if soft < hard && setrlimit(Resource::RLIMIT_NOFILE, hard, hard).is_err() {
            warn!(
                event = "file-limit",
                soft, hard, "could not raise the soft limit of open files to the hard limit"
            );
        }
    }
}

/// Runs a front until SIGTERM or SIGINT; prints its addresses as one JSON line once it serves.
pub fn serve(path: &Path) -> Exit {
    let Some(config) = load_settings(path) else { return Exit::Usage };
    log::start(config.log, "info");
    raise_open_file_limit();
    if let Some(dir) = &config.state_dir {
        if let Err(e) = std::fs::create_dir_all(dir) {
            eprintln!("pepperhook: state-dir {}: {e}", dir.display());
            return Exit::Usage;
        }
    }
    let mut watcher = inventory_watcher(&config);
    let nodes = match watcher.load_initial() {
        Ok((nodes, faults)) => {
            for fault in faults.iter().take(10) {
                warn!(event = "inventory-fault", "{fault}");
            }
            if !faults.is_empty() {
                warn!(
                    event = "inventory-kept",
                    nodes = nodes.len(),
                    "the current list of nodes is invalid; started on the last valid list"
                );
            }
            nodes
        }
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{}: {f}", config.inventory.display()));
            return Exit::Usage;
        }
    };
    run(async move {
        let front = match Front::start(config, rand::random(), nodes, Some(watcher)).await {
            Ok(front) => front,
            Err(e) => {
                eprintln!("pepperhook: {e}");
                return Exit::Usage;
            }
        };
        print_json_line(&json!({"address": front.address(), "admin": front.admin()}));
        shutdown_signal().await;
        front.stop().await;
        Exit::Done
    })
}

/// Prints one line to standard output; write errors are ignored, since a reader that closed it needs no output.
fn print_json_line(line: &serde_json::Value) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Checks the settings and the list of nodes, and prints their faults.
pub fn check(path: &Path) -> Exit {
    let Some(config) = load_settings(path) else { return Exit::Usage };
    let list = std::fs::read(&config.inventory);
    let faults = match list.map(|bytes| pepperhook_inventory::parse(&bytes, &config.names)) {
        Ok(Ok(nodes)) => {
            println!("{}: {} nodes, {} titles", path.display(), nodes.len(), config.titles.len());
            return check_title_holders(&config, &nodes);
        }
        Ok(Err(faults)) => faults.iter().map(ToString::to_string).collect(),
        Err(e) => vec![e.to_string()],
    };
    faults.iter().for_each(|f| eprintln!("{}: {f}", config.inventory.display()));
    Exit::Failed
}

/// Fails if no listed node holds a copy of a title, since such a title can never be played.
fn check_title_holders(config: &Config, nodes: &[pepperhook_inventory::Node]) -> Exit {
    let cells = config.decisions.cells;
    let is_held = |title: &pepperhook_settings::Title| {
        nodes.iter().any(|node| (node.entry.cell + cells - title.home % cells) % cells < title.copies)
    };
    let missing: Vec<&String> =
        config.titles.iter().filter(|(_, title)| !is_held(title)).map(|(name, _)| name).collect();
    for name in &missing {
        eprintln!("title '{name}': no listed node holds a copy of it");
    }
    if missing.is_empty() { Exit::Done } else { Exit::Failed }
}

/// Simulates playout nodes until SIGTERM or SIGINT; prints each node's addresses as one JSON line.
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
    raise_open_file_limit();
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
                print_json_line(&json!({"name": s.name, "address": s.address, "control": s.control}));
            }
            shutdown_signal().await;
            Exit::Done
        }
        Err(e) => {
            eprintln!("pepperhook: {e}");
            Exit::Usage
        }
    }
}
