//! What goes wrong when, as a file (`docs/rehearsals.md`) and from a seed.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::de::value::MapAccessDeserializer;
use serde::de::{Error as _, MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;
use std::path::Path;
use thiserror::Error;

/// A schedule lasts so long at most, milliseconds.
pub const MOST_MS: u64 = 600_000;
/// Faults of links, and acts on processes, at most.
pub const MOST_FAULTS: usize = 512;
/// Stands for every party.
pub const ANY: &str = "*";

/// What a link does to what passes one way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Nothing passes. Datagrams are gone; bytes of connections wait, and no connection is made.
    Cut,
    /// Datagrams are lost with this probability.
    Lose {
        /// 0 to 1.
        p: f64,
    },
    /// What passes comes later by `ms` and up to `jitter_ms`, in its order.
    Delay {
        /// Milliseconds.
        ms: u64,
        /// Milliseconds, spread evenly.
        jitter_ms: u64,
    },
    /// Datagrams are held back with this probability, and later ones overtake them.
    Reorder {
        /// 0 to 1.
        p: f64,
        /// Held back for so long, milliseconds.
        ms: u64,
    },
    /// Datagrams come twice with this probability.
    Double {
        /// 0 to 1.
        p: f64,
    },
    /// All is held back, and comes in its order at the end. Connections stay open, and new ones are made.
    Stall,
    /// Bytes of a connection come one by one.
    Drip {
        /// Time between two of them, milliseconds.
        every_ms: u64,
    },
    /// Connections are reset at the beginning, and new ones at once as long as it lasts.
    Reset,
}

impl Kind {
    /// It can be done to datagrams.
    #[must_use]
    pub fn fits_datagrams(self) -> bool {
        !matches!(self, Self::Drip { .. } | Self::Reset)
    }

    /// It can be done to connections: TCP shows no loss, no doubles and no other order.
    #[must_use]
    pub fn fits_streams(self) -> bool {
        !matches!(self, Self::Lose { .. } | Self::Reorder { .. } | Self::Double { .. })
    }
}

/// A fault of a link.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "Written")]
pub struct Fault {
    /// Its beginning, milliseconds from that of the schedule.
    pub at_ms: u64,
    /// It lasts so long, milliseconds.
    pub for_ms: u64,
    /// What this party sends; [`ANY`] for each.
    pub from: String,
    /// To this one.
    pub to: String,
    /// The other way too.
    pub both: bool,
    /// What happens to it.
    pub kind: Kind,
}

/// A fault as it is written down.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    at_ms: u64,
    for_ms: u64,
    from: String,
    to: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    both: bool,
    kind: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    p: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    jitter_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    every_ms: Option<u64>,
}

impl<'de> Deserialize<'de> for Fault {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        /// Checked before the reader goes on, so that an error is told with the entry's own line.
        struct Entry;
        impl<'de> Visitor<'de> for Entry {
            type Value = Fault;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a fault with at_ms, for_ms, from, to and kind")
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Fault, A::Error> {
                Written::deserialize(MapAccessDeserializer::new(map))?.try_into().map_err(A::Error::custom)
            }
        }
        d.deserialize_map(Entry)
    }
}

impl TryFrom<Written> for Fault {
    type Error = String;

    fn try_from(mut w: Written) -> Result<Self, String> {
        let name = w.kind.clone();
        let needs = |field: &str| format!("a `{name}` needs `{field}`");
        let time = |field: &str, ms: u64| match ms {
            0..=MOST_MS => Ok(ms),
            _ => Err(format!("`{field}` is above {MOST_MS}")),
        };
        let part = |p: Option<f64>| match p {
            Some(p) if (0.0..=1.0).contains(&p) => Ok(p),
            Some(_) => Err("`p` is from 0 to 1".to_owned()),
            None => Err(needs("p")),
        };
        let kind = match name.as_str() {
            "cut" => Kind::Cut,
            "lose" => Kind::Lose { p: part(w.p.take())? },
            "delay" => Kind::Delay {
                ms: time("ms", w.ms.take().ok_or_else(|| needs("ms"))?)?,
                jitter_ms: time("jitter_ms", w.jitter_ms.take().unwrap_or(0))?,
            },
            "reorder" => Kind::Reorder {
                p: part(w.p.take())?,
                ms: time("ms", w.ms.take().ok_or_else(|| needs("ms"))?)?,
            },
            "double" => Kind::Double { p: part(w.p.take())? },
            "stall" => Kind::Stall,
            "drip" => Kind::Drip {
                every_ms: time("every_ms", w.every_ms.take().ok_or_else(|| needs("every_ms"))?)?,
            },
            "reset" => Kind::Reset,
            other => {
                return Err(format!(
                    "unknown `kind` `{other}`, expected one of cut, lose, delay, reorder, double, stall, drip, reset"
                ));
            }
        };
        let left = [
            ("p", w.p.is_some()),
            ("ms", w.ms.is_some()),
            ("jitter_ms", w.jitter_ms.is_some()),
            ("every_ms", w.every_ms.is_some()),
        ];
        if let Some((field, _)) = left.iter().find(|l| l.1) {
            return Err(format!("`{field}` means nothing to a `{name}`"));
        }
        let (at_ms, for_ms) = (time("at_ms", w.at_ms)?, time("for_ms", w.for_ms)?);
        Ok(Self { at_ms, for_ms, from: w.from, to: w.to, both: w.both, kind })
    }
}

impl From<Fault> for Written {
    fn from(f: Fault) -> Self {
        let (name, p, ms, jitter_ms, every_ms) = match f.kind {
            Kind::Cut => ("cut", None, None, None, None),
            Kind::Lose { p } => ("lose", Some(p), None, None, None),
            Kind::Delay { ms, jitter_ms } => {
                ("delay", None, Some(ms), Some(jitter_ms).filter(|j| *j > 0), None)
            }
            Kind::Reorder { p, ms } => ("reorder", Some(p), Some(ms), None, None),
            Kind::Double { p } => ("double", Some(p), None, None, None),
            Kind::Stall => ("stall", None, None, None, None),
            Kind::Drip { every_ms } => ("drip", None, None, None, Some(every_ms)),
            Kind::Reset => ("reset", None, None, None, None),
        };
        Self {
            at_ms: f.at_ms,
            for_ms: f.for_ms,
            from: f.from,
            to: f.to,
            both: f.both,
            kind: name.into(),
            p,
            ms,
            jitter_ms,
            every_ms,
        }
    }
}

/// With what a front starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Store {
    /// What it had.
    #[default]
    Kept,
    /// The copy that was saved last.
    Older,
    /// Nothing.
    None,
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Do {
    /// SIGKILL.
    Kill,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Cont,
    /// Its store is copied as it is; it should be stopped or killed then.
    Save,
    /// It starts again.
    Start,
}

/// Something that is done to a front's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Act {
    /// When, milliseconds.
    pub at_ms: u64,
    /// To whom.
    pub who: String,
    /// What.
    #[serde(rename = "do")]
    pub what: Do,
    /// Of a start: with what.
    #[serde(default, skip_serializing_if = "is_kept")]
    pub store: Store,
}

fn is_kept(store: &Store) -> bool {
    *store == Store::Kept
}

/// What goes wrong when.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Seed of what chance does on links.
    pub seed: u64,
    /// Faults of links.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Acts on processes.
    #[serde(default)]
    pub processes: Vec<Act>,
}

/// Why a schedule cannot be played.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Bad {
    /// It cannot be read: file, line, column, and what is wrong there.
    #[error("{0}:{1}:{2}: {3}")]
    Text(String, usize, usize, String),
    /// An entry (`faults[2]`) does not fit the parties or the bounds.
    #[error("{0}: {1}")]
    Entry(String, String),
}

impl Schedule {
    /// Reads a schedule; `name` is told in errors.
    ///
    /// # Errors
    /// Where it is not of the form, with line and field.
    pub fn parse(name: &str, text: &str) -> Result<Self, Bad> {
        serde_json::from_str(text).map_err(|e| {
            let said = e.to_string();
            let what = said.split(" at line ").next().unwrap_or(&said).to_owned();
            Bad::Text(name.to_owned(), e.line(), e.column(), what)
        })
    }

    /// Reads a file.
    ///
    /// # Errors
    /// As [`Schedule::parse`], and where it cannot be read.
    pub fn load(path: &Path) -> Result<Self, Bad> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Bad::Text(name.clone(), 0, 0, e.to_string()))?;
        Self::parse(&name, &text)
    }

    /// Checks it against the fronts there are and the other parties of their links (nodes, viewers, operators).
    ///
    /// # Errors
    /// The first entry that names nobody, or cannot be done.
    pub fn check(&self, fronts: &[&str], others: &[&str]) -> Result<(), Bad> {
        let bad = |list: &str, i: usize, what: String| Err(Bad::Entry(format!("{list}[{i}]"), what));
        if self.faults.len() > MOST_FAULTS || self.processes.len() > MOST_FAULTS {
            return bad("faults", MOST_FAULTS, format!("there are more than {MOST_FAULTS}"));
        }
        for (i, f) in self.faults.iter().enumerate() {
            for (field, name) in [("from", &f.from), ("to", &f.to)] {
                let known = name == ANY || fronts.contains(&name.as_str()) || others.contains(&name.as_str());
                if !known {
                    return bad("faults", i, format!("`{field}` is `{name}`, who is not there"));
                }
            }
            if f.from == f.to && f.from != ANY {
                return bad("faults", i, "`from` and `to` are the same".into());
            }
        }
        let mut acts: Vec<(usize, &Act)> = self.processes.iter().enumerate().collect();
        acts.sort_by_key(|(_, a)| a.at_ms);
        let mut saved = Vec::new();
        for (i, a) in acts {
            if !fronts.contains(&a.who.as_str()) {
                return bad("processes", i, format!("`who` is `{}`, who is no front", a.who));
            }
            if a.at_ms > MOST_MS {
                return bad("processes", i, format!("`at_ms` is above {MOST_MS}"));
            }
            if a.what == Do::Save {
                saved.push(a.who.as_str());
            }
            if a.store != Store::Kept && a.what != Do::Start {
                return bad("processes", i, "`store` is of a `start`".into());
            }
            if a.store == Store::Older && !saved.contains(&a.who.as_str()) {
                return bad("processes", i, "`store` is `older`, and nothing was saved before".into());
            }
        }
        Ok(())
    }

    /// When the last fault is over and the last act done, milliseconds.
    #[must_use]
    pub fn length_ms(&self) -> u64 {
        let faults = self.faults.iter().map(|f| f.at_ms.saturating_add(f.for_ms));
        faults.chain(self.processes.iter().map(|a| a.at_ms)).max().unwrap_or(0)
    }

    /// The same as text, an entry a line.
    #[must_use]
    pub fn text(&self) -> String {
        let line = |v: &dyn Fn() -> Result<String, serde_json::Error>| v().unwrap_or_default();
        let faults: Vec<String> = self.faults.iter().map(|f| line(&|| serde_json::to_string(f))).collect();
        let acts: Vec<String> = self.processes.iter().map(|a| line(&|| serde_json::to_string(a))).collect();
        format!(
            "{{\"seed\": {},\n \"faults\": [\n  {}],\n \"processes\": [\n  {}]}}\n",
            self.seed,
            faults.join(",\n  "),
            acts.join(",\n  ")
        )
    }

    /// A random schedule; the same seed and bounds give the same.
    #[must_use]
    pub fn random(seed: u64, bounds: &Bounds) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut made = Self { seed, ..Self::default() };
        let end = bounds.length_ms.min(MOST_MS).saturating_sub(bounds.quiet_ms);
        // When each trouble begins and ends, and whose process it holds down.
        let mut taken: Vec<(u64, u64, Option<String>)> = Vec::new();
        let shortest = 300.min(end);
        // Troubles that would be too many at once are drawn again, so often at most.
        for _ in 0..bounds.faults.min(MOST_FAULTS) * 20 {
            if taken.len() >= bounds.faults || bounds.fronts.len() < 2 || end == 0 {
                break;
            }
            let for_ms = rng.random_range(shortest..=end.min(4_000));
            let at_ms = rng.random_range(0..=end - for_ms);
            let until = at_ms + for_ms;
            let beside: Vec<&(u64, u64, Option<String>)> =
                taken.iter().filter(|t| t.0 < until && at_ms < t.1).collect();
            let pair: Vec<&String> = bounds.fronts.choose_multiple(&mut rng, 2).collect();
            let [from, to] = pair[..] else { break };
            let (draw, p) = (rng.random_range(0..8), f64::from(rng.random_range(5..=60)) / 100.0);
            let (ms, both) = (rng.random_range(1..=150), rng.random_bool(0.5));
            if beside.len() >= bounds.at_once {
                continue;
            }
            let kind = match draw {
                0 | 1 => Kind::Cut,
                2 => Kind::Lose { p },
                3 => Kind::Delay { ms, jitter_ms: ms },
                4 => Kind::Reorder { p, ms },
                5 => Kind::Double { p },
                6 => Kind::Stall,
                _ => {
                    let down = beside.iter().filter(|t| t.2.is_some()).count();
                    let again =
                        taken.iter().any(|t| t.2.as_ref() == Some(from) && t.0 <= until && at_ms <= t.1);
                    if down >= bounds.down_at_once || again {
                        continue;
                    }
                    let acts = if both { (Do::Stop, Do::Cont) } else { (Do::Kill, Do::Start) };
                    let act = |at_ms, what| Act { at_ms, who: from.clone(), what, store: Store::Kept };
                    made.processes.extend([act(at_ms, acts.0), act(until, acts.1)]);
                    taken.push((at_ms, until, Some(from.clone())));
                    continue;
                }
            };
            taken.push((at_ms, until, None));
            made.faults.push(Fault { at_ms, for_ms, from: from.clone(), to: to.clone(), both, kind });
        }
        made.faults.sort_by_key(|f| f.at_ms);
        made.processes.sort_by_key(|a| a.at_ms);
        made
    }
}

/// Bounds of random schedules.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Names of the fronts.
    pub fronts: Vec<String>,
    /// A schedule lasts so long, milliseconds,
    pub length_ms: u64,
    /// of which the end is quiet for so long: all links whole, all processes running.
    pub quiet_ms: u64,
    /// Troubles in all, at most.
    pub faults: usize,
    /// Troubles at once, at most.
    pub at_once: usize,
    /// Processes killed or stopped at once, at most.
    pub down_at_once: usize,
}

/// Tells how a schedule is played again if the test that holds this fails.
pub struct Again<'a> {
    schedule: &'a Schedule,
    command: &'a str,
}

/// Variable of the environment that names a schedule's file to be played instead of a test's own.
pub const VARIABLE: &str = "PEPPERHOOK_FAULTS";

impl<'a> Again<'a> {
    /// `command` runs the test; see [`given`].
    #[must_use]
    pub fn new(schedule: &'a Schedule, command: &'a str) -> Self {
        Self { schedule, command }
    }

    /// Writes the schedule to a file and says with what command it is played.
    ///
    /// # Errors
    /// Where the file cannot be written.
    pub fn write(&self) -> std::io::Result<String> {
        let path = std::env::temp_dir().join(format!("faults-seed-{}.json", self.schedule.seed));
        std::fs::write(&path, self.schedule.text())?;
        Ok(format!("{VARIABLE}={} {}", path.display(), self.command))
    }
}

impl Drop for Again<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            match self.write() {
                Ok(command) => eprintln!("seed {} failed; again: {command}", self.schedule.seed),
                Err(e) => eprintln!("seed {} failed: {self} ({e})", self.schedule.seed),
            }
        }
    }
}

impl fmt::Display for Again<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.schedule.text())
    }
}

/// The schedule of [`VARIABLE`], if that is set.
///
/// # Errors
/// Where it cannot be read.
pub fn given() -> Result<Option<Schedule>, Bad> {
    std::env::var_os(VARIABLE).map(|path| Schedule::load(Path::new(&path))).transpose()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const EXAMPLE: &str = r#"{"seed": 1,
 "faults": [
  {"at_ms": 2000, "for_ms": 3000, "from": "a", "to": "b", "kind": "cut"},
  {"at_ms": 0, "for_ms": 10, "from": "*", "to": "n0", "both": true, "kind": "delay", "ms": 20, "jitter_ms": 5}],
 "processes": [
  {"at_ms": 5, "who": "c", "do": "save"},
  {"at_ms": 10, "who": "c", "do": "kill"},
  {"at_ms": 90, "who": "c", "do": "start", "store": "older"}]}"#;

    #[test]
    fn a_schedule_is_read_checked_and_written_the_same() {
        let s = Schedule::parse("x.json", EXAMPLE).expect("a schedule");
        assert_eq!(s.check(&["a", "b", "c"], &["n0"]), Ok(()));
        assert_eq!((s.faults[0].kind, s.length_ms()), (Kind::Cut, 5_000));
        assert_eq!(Schedule::parse("y.json", &s.text()), Ok(s.clone()));
        assert_eq!(Schedule::parse("z", "{\"seed\": 3}").map(|s| s.length_ms()), Ok(0));
        let told = Again::new(&s, "cargo test").write().expect("written");
        let path = told.split(['=', ' ']).nth(1).expect("a path");
        assert_eq!(Schedule::load(Path::new(path)), Ok(s));
    }

    #[test]
    fn errors_name_the_line_and_the_field() {
        for (from, to, line, told) in [
            ("\"kind\": \"cut\"", "\"kind\": \"cutt\"", 3, "unknown `kind` `cutt`"),
            ("\"from\": \"a\"", "\"form\": \"a\"", 3, "unknown field `form`"),
            ("\"kind\": \"cut\"", "\"kind\": \"cut\", \"p\": 1", 3, "`p` means nothing to a `cut`"),
            ("\"kind\": \"cut\"", "\"kind\": \"lose\"", 3, "a `lose` needs `p`"),
            ("\"kind\": \"cut\"", "\"kind\": \"lose\", \"p\": 1.5", 3, "`p` is from 0 to 1"),
            ("\"ms\": 20", "\"ms\": -20", 4, "invalid value"),
            ("\"for_ms\": 10", "\"for_ms\": 9000000", 4, "`for_ms` is above"),
            ("\"do\": \"kill\"", "\"do\": \"kil\"", 7, "unknown variant `kil`"),
        ] {
            let text = EXAMPLE.replace(from, to);
            let bad = Schedule::parse("x.json", &text).expect_err(to).to_string();
            assert!(bad.starts_with(&format!("x.json:{line}:")) && bad.contains(told), "{bad}");
        }
        for (from, to, told) in [
            ("\"to\": \"b\"", "\"to\": \"x\"", "faults[0]: `to` is `x`, who is not there"),
            ("\"to\": \"b\"", "\"to\": \"a\"", "faults[0]: `from` and `to` are the same"),
            (
                "\"do\": \"save\"",
                "\"do\": \"stop\"",
                "processes[2]: `store` is `older`, and nothing was saved",
            ),
            ("\"who\": \"c\", \"do\": \"kill\"", "\"who\": \"n0\", \"do\": \"kill\"", "processes[1]: `who`"),
        ] {
            let s = Schedule::parse("x.json", &EXAMPLE.replace(from, to)).expect("a schedule");
            let bad = s.check(&["a", "b", "c"], &["n0"]).expect_err(to).to_string();
            assert!(bad.starts_with(told), "{bad}");
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

        #[test]
        fn random_schedules_keep_their_bounds(
            seed: u64, n in 2..7usize, at_once in 1..5usize, down_at_once in 0..2usize, faults in 0..30usize,
        ) {
            let fronts: Vec<String> = (0..n).map(|i| format!("f{i}")).collect();
            let bounds =
                Bounds { fronts, length_ms: 20_000, quiet_ms: 5_000, faults, at_once, down_at_once };
            let s = Schedule::random(seed, &bounds);
            prop_assert_eq!(&s, &Schedule::random(seed, &bounds));
            let names: Vec<&str> = bounds.fronts.iter().map(String::as_str).collect();
            prop_assert_eq!(s.check(&names, &[]), Ok(()));
            prop_assert_eq!(Schedule::parse("x", &s.text()), Ok(s.clone()));
            prop_assert!(s.length_ms() <= 15_000);
            prop_assert!(s.faults.len() + s.processes.len() / 2 <= faults);
            for t in 0..15_000u64 {
                let on = s.faults.iter().filter(|f| (f.at_ms..f.at_ms + f.for_ms).contains(&t)).count();
                let (mut down, mut up) = (0usize, 0usize);
                for a in s.processes.iter().filter(|a| a.at_ms <= t) {
                    if matches!(a.what, Do::Kill | Do::Stop) { down += 1 } else { up += 1 }
                }
                prop_assert!(down - up <= down_at_once && on + down - up <= at_once);
            }
            // Who goes down comes up again, in the way that fits, before it goes down once more.
            for f in &bounds.fronts {
                let acts: Vec<Do> = s.processes.iter().filter(|a| a.who == *f).map(|a| a.what).collect();
                prop_assert!(acts.chunks(2).all(|c| matches!(c, [Do::Kill, Do::Start] | [Do::Stop, Do::Cont])));
            }
        }
    }
}
