//! The list of playout nodes as a file: read whole, checked, and kept as the last good one.
//!
//! The form is CSV with a header line (RFC 4180): `name,address,zone,cell,kind,weight,state,started`.
//! `state` is `ready`, `draining` or `gone`; `started` is in milliseconds of Unix time, empty for "long
//! ago". A node's rack is its cell modulo the number of racks. Unknown columns are passed over, so that
//! tools may keep their own.

mod watcher;

use pepperhook::{KindId, ServerEntry, ServerId, ServerState, ZoneId};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

pub use watcher::{Keeper, Look};

/// Bytes of a list at most; 100,000 nodes take about 8 MB.
pub const MOST_BYTES: u64 = 16 << 20;

/// A playout node as the list names it.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its name, by which its id is made: the same in every front and after a restart.
    pub name: String,
    /// Where it speaks WHIP and WHEP.
    pub address: SocketAddr,
    /// What the decision module is told.
    pub entry: ServerEntry,
}

/// Names that a list may use, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of node.
    pub kinds: Vec<String>,
    /// Number of cells; a cell is below it.
    pub cells: u32,
}

/// One fault of a list, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from 1; 0 where the whole file is meant.
    pub line: u64,
    /// Column of the table, by name; empty where the whole line is meant.
    pub column: String,
    /// What was found and what was expected.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let column =
            if self.column.is_empty() { String::new() } else { format!(" column '{}':", self.column) };
        if self.line == 0 {
            return f.write_str(&self.what);
        }
        write!(f, "line {}:{column} {}", self.line, self.what)
    }
}

/// A hash that is the same in every process and on every machine: of names that fronts must agree on without
/// speaking, and of contents that are compared.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut h = SipHasher13::new();
    h.write(bytes);
    h.finish()
}

/// The id of a node: a stable hash of its name, so that no front needs to agree on it with another.
#[must_use]
pub fn node_id(name: &str) -> ServerId {
    let bits = stable_hash(name.as_bytes());
    ServerId((bits ^ (bits >> 32)) as u32)
}

const COLUMNS: [&str; 8] = ["name", "address", "zone", "cell", "kind", "weight", "state", "started"];

/// Reads a list. All faults are reported, not only the first.
///
/// # Errors
/// Every line that cannot be used; the caller keeps what it had.
pub fn read(text: &[u8], names: &Names) -> Result<Vec<Node>, Vec<Fault>> {
    let text = text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(text);
    let mut rows = csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text);
    let whole = |line: u64, what: String| Fault { line, column: String::new(), what };
    let header = rows.headers().map_err(|e| vec![whole(1, e.to_string())])?.clone();
    let mut at = [None; COLUMNS.len()];
    let mut faults = Vec::new();
    for (i, column) in COLUMNS.iter().enumerate() {
        at[i] = header.iter().position(|h| h == *column);
        if at[i].is_none() && *column != "started" {
            faults.push(whole(1, format!("there is no column '{column}'")));
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let (mut nodes, mut seen, mut ids) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
    for row in rows.records() {
        let row = match row {
            Ok(row) => row,
            Err(e) => {
                let line = e.position().map_or(0, csv::Position::line);
                faults.push(whole(line, format!("not a row of this table: {e}")));
                continue;
            }
        };
        let line = row.position().map_or(0, csv::Position::line);
        let before = faults.len();
        let get = |i: usize| at[i].and_then(|c| row.get(c)).unwrap_or("");
        let mut bad =
            |i: usize, what: String| faults.push(Fault { line, column: COLUMNS[i].to_owned(), what });
        let name = get(0).to_owned();
        if name.is_empty() || name.len() > 255 {
            bad(0, "a name of 1 to 255 bytes is expected".into());
        }
        if let Some(first) = seen.insert(name.clone(), line) {
            bad(0, format!("'{name}' is listed twice, first in line {first}"));
        }
        let id = node_id(&name);
        if let Some(other) = ids.insert(id, name.clone()).filter(|o| *o != name) {
            bad(0, format!("'{name}' and '{other}' have the same id; rename one"));
        }
        let address = get(1).parse().map_err(|_| bad(1, format!("'{}' is no IP:port", get(1))));
        let zone = names.zones.iter().position(|z| z == get(2));
        if zone.is_none() {
            bad(2, format!("'{}' is none of {}", get(2), names.zones.join(", ")));
        }
        let cell = get(3).parse::<u32>().ok().filter(|c| *c < names.cells);
        if cell.is_none() {
            bad(3, format!("'{}' is no cell below {}", get(3), names.cells));
        }
        let kind = names.kinds.iter().position(|k| k == get(4));
        if kind.is_none() {
            bad(4, format!("'{}' is none of {}", get(4), names.kinds.join(", ")));
        }
        let weight = get(5).parse::<f64>().ok().filter(|w| w.is_finite() && *w > 0.0);
        if weight.is_none() {
            bad(5, format!("'{}' is no number above 0", get(5)));
        }
        let state = match get(6) {
            "ready" => Some(ServerState::Ready),
            "draining" => Some(ServerState::Draining),
            "gone" => Some(ServerState::Gone),
            other => {
                bad(6, format!("'{other}' is none of ready, draining, gone"));
                None
            }
        };
        let started = match get(7) {
            "" | "0" => None,
            ms => match ms.parse::<u64>() {
                Ok(ms) => Some(ms.saturating_mul(1_000_000)),
                Err(_) => {
                    bad(7, format!("'{ms}' is no time in whole milliseconds"));
                    None
                }
            },
        };
        if faults.len() > before {
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
    if faults.is_empty() { Ok(nodes) } else { Err(faults) }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        let zones = vec!["gedung-a".to_owned(), "gedung-b".to_owned()];
        Names { zones, kinds: vec!["small".to_owned()], cells: 4 }
    }

    const HEAD: &str = "name,address,zone,cell,kind,weight,state,started,owner\n";

    #[test]
    fn a_list_is_read_with_quotes_marks_and_unknown_columns() {
        let text = format!(
            "\u{feff}{HEAD}\"box,1\",127.0.0.1:9001,gedung-a,0,small,1.5,ready,,x\r\n# note\r\n\
                            box2,[::1]:9002,gedung-b,3,small,1,draining,1700000000000,y\r\n"
        );
        let nodes = read(text.as_bytes(), &names()).expect("a list");
        assert_eq!((nodes[0].name.as_str(), nodes[0].entry.zone), ("box,1", ZoneId(0)));
        assert_eq!(nodes[1].entry.state, ServerState::Draining);
        assert_eq!(nodes[1].entry.started, Some(1_700_000_000_000_000_000));
        assert_eq!(nodes[0].entry.server, node_id("box,1"));
    }

    #[test]
    fn every_fault_is_named_with_line_and_column() {
        let text = format!(
            "{HEAD}a,127.0.0.1:1,gedung-a,0,small,1,ready,,\na,nowhere,gedung-x,9,tiny,-1,up,soon,\nb,1\n"
        );
        let faults = read(text.as_bytes(), &names()).expect_err("faults");
        let columns: Vec<_> = faults.iter().map(|f| (f.line, f.column.as_str())).collect();
        let mut want: Vec<_> = COLUMNS.iter().map(|c| (3, *c)).collect();
        want.push((4, ""));
        assert_eq!(columns, want);
        assert!(faults[0].to_string().contains("first in line 2"));
        assert!(read(b"name,address\n", &names()).expect_err("columns").len() == 5);
    }

    #[test]
    fn a_list_cut_anywhere_inside_a_row_is_no_list() {
        let text = format!(
            "{HEAD}a,127.0.0.1:1,gedung-a,0,small,1,ready,,\nb,127.0.0.1:2,gedung-a,1,small,1,ready,,z\n"
        );
        let second = text.find("b,127").expect("second row");
        for cut in second + 1..text.len() - 2 {
            assert!(read(&text.as_bytes()[..cut], &names()).is_err(), "cut at {cut}");
        }
    }
}
