//! The list of playout nodes (the inventory), read from a CSV file.
//!
//! The file is CSV with a header line (RFC 4180): `name,address,zone,cell,kind,weight,state,started`.
//! `state` is `ready`, `draining` or `gone`; `started` is Unix time in milliseconds, and empty for a node that
//! started long ago. A node's rack is its cell modulo the number of racks. Unknown columns are ignored, for tools
//! that add their own.

mod watcher;

use pepperhook::{KindId, ServerEntry, ServerId, ServerState, ZoneId};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

pub use watcher::{InventoryWatcher, PollResult};

/// Largest list that is read, in bytes; 100,000 nodes take about 8 MB.
pub const MAX_FILE_BYTES: u64 = 16 << 20;

/// One row of the list.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name of the node; its id is a hash of it, and so the same in every front and after a restart.
    pub name: String,
    /// Address of its WHIP and WHEP endpoints.
    pub address: SocketAddr,
    /// The node as the decision module reads it.
    pub entry: ServerEntry,
}

/// Zones, kinds and cells that a list may name, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct InventoryNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of node.
    pub kinds: Vec<String>,
    /// Number of cells; valid cells are 0 to this number less one.
    pub cells: u32,
}

/// An error in a list, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    /// Line, counted from 1; 0 if the error concerns the whole file.
    pub line: u64,
    /// Name of the column; empty if the error concerns the whole line.
    pub column: String,
    /// What was found and what was expected.
    pub message: String,
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let column =
            if self.column.is_empty() { String::new() } else { format!(" column '{}':", self.column) };
        if self.line == 0 {
            return f.write_str(&self.message);
        }
        write!(f, "line {}:{column} {}", self.line, self.message)
    }
}

/// A hash (SipHash-1-3 with a zero key) that is the same in every process and on every machine. Fronts derive ids from
/// names with it without exchanging messages; it also detects changed contents.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut h = SipHasher13::new();
    h.write(bytes);
    h.finish()
}

/// The id of a node: a stable hash of its name, which every front computes alike.
#[must_use]
pub fn node_id(name: &str) -> ServerId {
    let bits = stable_hash(name.as_bytes());
    ServerId((bits ^ (bits >> 32)) as u32)
}

const COLUMNS: [&str; 8] = ["name", "address", "zone", "cell", "kind", "weight", "state", "started"];

/// Parses a list.
///
/// # Errors
/// All errors of the list, not only the first; no part of such a list is used.
pub fn parse(text: &[u8], names: &InventoryNames) -> Result<Vec<Node>, Vec<ListError>> {
    let text = text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(text);
    let mut rows = csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text);
    let line_error = |line: u64, message: String| ListError { line, column: String::new(), message };
    let header = rows.headers().map_err(|e| vec![line_error(1, e.to_string())])?.clone();
    let mut positions = [None; COLUMNS.len()];
    let mut errors = Vec::new();
    for (i, column) in COLUMNS.iter().enumerate() {
        positions[i] = header.iter().position(|h| h == *column);
        if positions[i].is_none() && *column != "started" {
            errors.push(line_error(1, format!("the header has no column '{column}'")));
        }
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    let (mut nodes, mut lines_by_name, mut names_by_id) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
    for row in rows.records() {
        let row = match row {
            Ok(row) => row,
            Err(e) => {
                let line = e.position().map_or(0, csv::Position::line);
                errors.push(line_error(line, format!("not a valid row: {e}")));
                continue;
            }
        };
        let line = row.position().map_or(0, csv::Position::line);
        let errors_before = errors.len();
        let value = |i: usize| positions[i].and_then(|p| row.get(p)).unwrap_or("");
        let mut bad = |i: usize, message: String| {
            errors.push(ListError { line, column: COLUMNS[i].to_owned(), message })
        };
        let name = value(0).to_owned();
        if name.is_empty() || name.len() > 255 {
            bad(0, format!("the name has {} bytes; expected: 1 to 255 bytes", name.len()));
        }
        if let Some(first) = lines_by_name.insert(name.clone(), line) {
            bad(0, format!("'{name}' is listed twice, first in line {first}"));
        }
        let id = node_id(&name);
        if let Some(other) = names_by_id.insert(id, name.clone()).filter(|o| *o != name) {
            bad(0, format!("'{name}' and '{other}' have the same id; rename one"));
        }
        let address = value(1)
            .parse()
            .map_err(|_| bad(1, format!("'{}' is not an address; expected: IP:port", value(1))));
        let zone = names.zones.iter().position(|z| z == value(2));
        if zone.is_none() {
            bad(2, format!("'{}' is not a zone; expected one of: {}", value(2), names.zones.join(", ")));
        }
        let cell = value(3).parse::<u32>().ok().filter(|c| *c < names.cells);
        if cell.is_none() {
            bad(3, format!("'{}' is not a cell; expected: a whole number below {}", value(3), names.cells));
        }
        let kind = names.kinds.iter().position(|k| k == value(4));
        if kind.is_none() {
            bad(4, format!("'{}' is not a kind; expected one of: {}", value(4), names.kinds.join(", ")));
        }
        let weight = value(5).parse::<f64>().ok().filter(|w| w.is_finite() && *w > 0.0);
        if weight.is_none() {
            bad(5, format!("'{}' is not a weight; expected: a number above 0", value(5)));
        }
        let state = match value(6) {
            "ready" => Some(ServerState::Ready),
            "draining" => Some(ServerState::Draining),
            "gone" => Some(ServerState::Gone),
            other => {
                bad(6, format!("'{other}' is not a state; expected one of: ready, draining, gone"));
                None
            }
        };
        let started = match value(7) {
            "" | "0" => None,
            ms => match ms.parse::<u64>() {
                Ok(ms) => Some(ms.saturating_mul(1_000_000)),
                Err(_) => {
                    bad(7, format!("'{ms}' is not a time; expected: Unix time in whole milliseconds"));
                    None
                }
            },
        };
        if errors.len() > errors_before {
            continue;
        }
        if let (Ok(address), Some(zone), Some(cell), Some(kind), Some(weight), Some(state)) =
            (address, zone, cell, kind, weight, state)
        {
            let (zone, kind) = (ZoneId(zone as u16), KindId(kind as u16));
            let entry = ServerEntry { server: id, zone, kind, cell, state, weight, started };
            nodes.push(Node { name, address, entry });
        }
    }
    if errors.is_empty() { Ok(nodes) } else { Err(errors) }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> InventoryNames {
        let zones = vec!["gedung-a".to_owned(), "gedung-b".to_owned()];
        InventoryNames { zones, kinds: vec!["small".to_owned()], cells: 4 }
    }

    const HEADER: &str = "name,address,zone,cell,kind,weight,state,started,owner\n";

    #[test]
    fn quotes_byte_order_mark_comments_and_unknown_columns_are_accepted() {
        let text = format!(
            "\u{feff}{HEADER}\"box,1\",127.0.0.1:9001,gedung-a,0,small,1.5,ready,,x\r\n# note\r\n\
                            box2,[::1]:9002,gedung-b,3,small,1,draining,1700000000000,y\r\n"
        );
        let nodes = parse(text.as_bytes(), &names()).expect("a list");
        assert_eq!((nodes[0].name.as_str(), nodes[0].entry.zone), ("box,1", ZoneId(0)));
        assert_eq!(nodes[1].entry.state, ServerState::Draining);
        assert_eq!(nodes[1].entry.started, Some(1_700_000_000_000_000_000));
        assert_eq!(nodes[0].entry.server, node_id("box,1"));
    }

    #[test]
    fn every_error_has_its_line_and_column() {
        let text = format!(
            "{HEADER}a,127.0.0.1:1,gedung-a,0,small,1,ready,,\na,nowhere,gedung-x,9,tiny,-1,up,soon,\nb,1\n"
        );
        let errors = parse(text.as_bytes(), &names()).expect_err("errors");
        let columns: Vec<_> = errors.iter().map(|e| (e.line, e.column.as_str())).collect();
        let mut want: Vec<_> = COLUMNS.iter().map(|c| (3, *c)).collect();
        want.push((4, ""));
        assert_eq!(columns, want);
        assert!(errors[0].to_string().contains("first in line 2"));
        assert!(parse(b"name,address\n", &names()).expect_err("columns").len() == 5);
    }

    #[test]
    fn a_list_truncated_within_a_row_is_rejected() {
        let text = format!(
            "{HEADER}a,127.0.0.1:1,gedung-a,0,small,1,ready,,\nb,127.0.0.1:2,gedung-a,1,small,1,ready,,z\n"
        );
        let second = text.find("b,127").expect("second row");
        for cut in second + 1..text.len() - 2 {
            assert!(parse(&text.as_bytes()[..cut], &names()).is_err(), "cut at {cut}");
        }
    }
}
