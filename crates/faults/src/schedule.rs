//! Schedules of faults, read from a file (`docs/rehearsals.md`) or drawn from a seed.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::de::value::MapAccessDeserializer;
use serde::de::{Error as _, MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;
use std::path::Path;
use thiserror::Error;

/// Maximum length of a schedule, in milliseconds.
pub const MAX_SCHEDULE_MS: u64 = 600_000;
/// Maximum number of link faults, and of process events, in a schedule.
pub const MAX_FAULTS: usize = 512;
/// Matches every party.
pub const ANY: &str = "*";

/// Effect of a fault on the traffic of a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Nothing passes. Datagrams are dropped, bytes of connections wait, and no connection is established.
    Cut,
    /// Datagrams are lost with this probability.
    Lose {
        /// 0 to 1.
        p: f64,
    },
    /// Traffic is delayed by `ms` plus up to `jitter_ms` and keeps its order.
    Delay {
        /// Constant delay, in milliseconds.
        ms: u64,
        /// Maximum additional delay, in milliseconds, uniformly distributed.
        jitter_ms: u64,
    },
    /// Datagrams are held back with this probability, which lets later ones overtake them.
    Reorder {
        /// 0 to 1.
        p: f64,
        /// Time for which they are held back, in milliseconds.
        ms: u64,
    },
    /// Datagrams are duplicated with this probability.
    Double {
        /// 0 to 1.
        p: f64,
    },
    /// All traffic is held back and delivered in order at the end. Connections stay open, and new ones are
    /// established.
    Stall,
    /// Bytes of a connection are delivered one by one.
    Drip {
        /// Interval between two bytes, in milliseconds.
        every_ms: u64,
    },
    /// Connections are reset at the start, and new ones immediately while the fault lasts.
    Reset,
}

impl Kind {
    /// Whether it applies to datagrams.
    #[must_use]
    pub fn fits_datagrams(self) -> bool {
        !matches!(self, Self::Drip { .. } | Self::Reset)
    }

    /// Whether it applies to connections. TCP hides loss, duplication and reordering.
    #[must_use]
    pub fn fits_streams(self) -> bool {
        !matches!(self, Self::Lose { .. } | Self::Reorder { .. } | Self::Double { .. })
    }
}

/// A fault of a link.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "FaultRecord")]
pub struct Fault {
    /// Start, in milliseconds from the start of the schedule.
    pub at_ms: u64,
    /// Duration, in milliseconds.
    pub for_ms: u64,
    /// Sending party; [`ANY`] for every party.
    pub from: String,
    /// Receiving party; [`ANY`] for every party.
    pub to: String,
    /// Whether it also applies in the other direction.
    pub both: bool,
    /// Effect on the traffic.
    pub kind: Kind,
}

/// A fault as it is serialized.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultRecord {
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
        /// Checks an entry before the parser continues, which gives an error the line of its entry.
        struct Entry;
        impl<'de> Visitor<'de> for Entry {
            type Value = Fault;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a fault with at_ms, for_ms, from, to and kind")
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Fault, A::Error> {
                FaultRecord::deserialize(MapAccessDeserializer::new(map))?
                    .try_into()
                    .map_err(A::Error::custom)
            }
        }
        d.deserialize_map(Entry)
    }
}

impl TryFrom<FaultRecord> for Fault {
    type Error = String;

    fn try_from(mut w: FaultRecord) -> Result<Self, String> {
        let name = w.kind.clone();
        let missing = |field: &str| format!("a `{name}` fault requires `{field}`");
        let time = |field: &str, ms: u64| match ms {
            0..=MAX_SCHEDULE_MS => Ok(ms),
            _ => Err(format!("`{field}` is {ms}, expected at most {MAX_SCHEDULE_MS}")),
        };
        let probability = |p: Option<f64>| match p {
            Some(p) if (0.0..=1.0).contains(&p) => Ok(p),
            Some(p) => Err(format!("`p` is {p}, expected 0 to 1")),
            None => Err(missing("p")),
        };
        let kind = match name.as_str() {
            "cut" => Kind::Cut,
            "lose" => Kind::Lose { p: probability(w.p.take())? },
            "delay" => Kind::Delay {
                ms: time("ms", w.ms.take().ok_or_else(|| missing("ms"))?)?,
                jitter_ms: time("jitter_ms", w.jitter_ms.take().unwrap_or(0))?,
            },
            "reorder" => Kind::Reorder {
                p: probability(w.p.take())?,
                ms: time("ms", w.ms.take().ok_or_else(|| missing("ms"))?)?,
            },
            "double" => Kind::Double { p: probability(w.p.take())? },
            "stall" => Kind::Stall,
            "drip" => Kind::Drip {
                every_ms: time("every_ms", w.every_ms.take().ok_or_else(|| missing("every_ms"))?)?,
            },
            "reset" => Kind::Reset,
            other => {
                return Err(format!(
                    "unknown `kind` `{other}`, expected one of cut, lose, delay, reorder, double, stall, drip, reset"
                ));
            }
        };
        let unused = [
            ("p", w.p.is_some()),
            ("ms", w.ms.is_some()),
            ("jitter_ms", w.jitter_ms.is_some()),
            ("every_ms", w.every_ms.is_some()),
        ];
        if let Some((field, _)) = unused.iter().find(|(_, is_present)| *is_present) {
            return Err(format!("a `{name}` fault has no `{field}`"));
        }
        let (at_ms, for_ms) = (time("at_ms", w.at_ms)?, time("for_ms", w.for_ms)?);
        Ok(Self { at_ms, for_ms, from: w.from, to: w.to, both: w.both, kind })
    }
}

impl From<Fault> for FaultRecord {
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

/// Store with which a front starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Store {
    /// Its present store.
    #[default]
    Kept,
    /// The copy that was saved last.
    Older,
    /// No store.
    None,
}

/// Action on a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessAction {
    /// Kills it (SIGKILL).
    Kill,
    /// Stops it (SIGSTOP).
    Stop,
    /// Resumes it (SIGCONT).
    Cont,
    /// Saves a copy of its store. It should be stopped or killed at that time.
    Save,
    /// Starts it again.
    Start,
}

/// An action on a front's process at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessEvent {
    /// Time, in milliseconds from the start of the schedule.
    pub at_ms: u64,
    /// Name of the front.
    #[serde(rename = "who")]
    pub front: String,
    /// The action.
    #[serde(rename = "do")]
    pub action: ProcessAction,
    /// For a start: the store that it starts with.
    #[serde(default, skip_serializing_if = "is_kept")]
    pub store: Store,
}

fn is_kept(store: &Store) -> bool {
    *store == Store::Kept
}

/// A schedule of faults.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Seed of the random effects on links.
    pub seed: u64,
    /// Faults of links.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Actions on processes.
    #[serde(default)]
    pub processes: Vec<ProcessEvent>,
}

/// Why a schedule cannot be run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScheduleError {
    /// It cannot be read: file, line, column and error.
    #[error("{0}:{1}:{2}: {3}")]
    Text(String, usize, usize, String),
    /// An entry (such as `faults[2]`) is not valid for the parties or the bounds.
    #[error("{0}: {1}")]
    Entry(String, String),
}

impl Schedule {
    /// Parses a schedule; `name` is used in errors.
    ///
    /// # Errors
    /// If it is malformed; the error has the line and the field.
    pub fn parse(name: &str, text: &str) -> Result<Self, ScheduleError> {
        serde_json::from_str(text).map_err(|e| {
            let message = e.to_string();
            let message = message.split(" at line ").next().unwrap_or(&message).to_owned();
            ScheduleError::Text(name.to_owned(), e.line(), e.column(), message)
        })
    }

    /// Reads a schedule from a file.
    ///
    /// # Errors
    /// As [`Schedule::parse`], and if the file cannot be read.
    pub fn load(path: &Path) -> Result<Self, ScheduleError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| ScheduleError::Text(name.clone(), 0, 0, e.to_string()))?;
        Self::parse(&name, &text)
    }

    /// Checks it against the fronts and the other parties of their links (nodes, viewers, operators).
    ///
    /// # Errors
    /// The first entry that names an unknown party or is not possible.
    pub fn check(&self, fronts: &[&str], others: &[&str]) -> Result<(), ScheduleError> {
        let invalid =
            |list: &str, i: usize, what: String| Err(ScheduleError::Entry(format!("{list}[{i}]"), what));
        if self.faults.len() > MAX_FAULTS || self.processes.len() > MAX_FAULTS {
            return invalid(
                "faults",
                MAX_FAULTS,
                format!(
                    "the schedule has {} faults and {} processes, expected at most {MAX_FAULTS} of each",
                    self.faults.len(),
                    self.processes.len()
                ),
            );
        }
        for (i, f) in self.faults.iter().enumerate() {
            for (field, name) in [("from", &f.from), ("to", &f.to)] {
                let is_known =
                    name == ANY || fronts.contains(&name.as_str()) || others.contains(&name.as_str());
                if !is_known {
                    let known = [&[ANY], fronts, others].concat().join(", ");
                    return invalid("faults", i, format!("`{field}` is `{name}`, expected one of {known}"));
                }
            }
            if f.from == f.to && f.from != ANY {
                return invalid(
                    "faults",
                    i,
                    format!("`from` and `to` are both `{}`, expected two parties", f.from),
                );
            }
        }
        let mut events: Vec<(usize, &ProcessEvent)> = self.processes.iter().enumerate().collect();
        events.sort_by_key(|(_, event)| event.at_ms);
        let mut saved = Vec::new();
        for (i, event) in events {
            if !fronts.contains(&event.front.as_str()) {
                let known = fronts.join(", ");
                return invalid(
                    "processes",
                    i,
                    format!("`who` is `{}`, expected one of {known}", event.front),
                );
            }
            if event.at_ms > MAX_SCHEDULE_MS {
                return invalid(
                    "processes",
                    i,
                    format!("`at_ms` is {}, expected at most {MAX_SCHEDULE_MS}", event.at_ms),
                );
            }
            if event.action == ProcessAction::Save {
                saved.push(event.front.as_str());
            }
            if event.store != Store::Kept && event.action != ProcessAction::Start {
                return invalid("processes", i, "`store` is only allowed where `do` is `start`".into());
            }
            if event.store == Store::Older && !saved.contains(&event.front.as_str()) {
                return invalid(
                    "processes",
                    i,
                    format!("`store` is `older`, expected an earlier `save` of `{}`", event.front),
                );
            }
        }
        Ok(())
    }

    /// Time at which the last fault has ended and the last action is done, in milliseconds.
    #[must_use]
    pub fn length_ms(&self) -> u64 {
        let faults = self.faults.iter().map(|f| f.at_ms.saturating_add(f.for_ms));
        faults.chain(self.processes.iter().map(|a| a.at_ms)).max().unwrap_or(0)
    }

    /// The schedule as text, one entry per line.
    #[must_use]
    pub fn text(&self) -> String {
        let line = |v: &dyn Fn() -> Result<String, serde_json::Error>| v().unwrap_or_default();
        let faults: Vec<String> = self.faults.iter().map(|f| line(&|| serde_json::to_string(f))).collect();
        let events: Vec<String> = self.processes.iter().map(|a| line(&|| serde_json::to_string(a))).collect();
        format!(
            "{{\"seed\": {},\n \"faults\": [\n  {}],\n \"processes\": [\n  {}]}}\n",
            self.seed,
            faults.join(",\n  "),
            events.join(",\n  ")
        )
    }

    /// Draws a random schedule, which is determined by the seed and the bounds.
    #[must_use]
    pub fn random(seed: u64, bounds: &Bounds) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut schedule = Self { seed, ..Self::default() };
        let end = bounds.length_ms.min(MAX_SCHEDULE_MS).saturating_sub(bounds.quiet_ms);
        // Start and end of each drawn fault, and the front whose process is down.
        let mut drawn: Vec<(u64, u64, Option<String>)> = Vec::new();
        let shortest_ms = 300.min(end);
        // A fault that would exceed the bounds is drawn again, up to a limit.
        for _ in 0..bounds.max_faults.min(MAX_FAULTS) * 20 {
            if drawn.len() >= bounds.max_faults || bounds.fronts.len() < 2 || end == 0 {
                break;
            }
            let for_ms = rng.random_range(shortest_ms..=end.min(4_000));
            let at_ms = rng.random_range(0..=end - for_ms);
            let until = at_ms + for_ms;
            let concurrent: Vec<&(u64, u64, Option<String>)> =
                drawn.iter().filter(|t| t.0 < until && at_ms < t.1).collect();
            let pair: Vec<&String> = bounds.fronts.choose_multiple(&mut rng, 2).collect();
            let [from, to] = pair[..] else { break };
            let (draw, p) = (rng.random_range(0..8), f64::from(rng.random_range(5..=60)) / 100.0);
            let (ms, both) = (rng.random_range(1..=150), rng.random_bool(0.5));
            if concurrent.len() >= bounds.max_concurrent {
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
                    let down = concurrent.iter().filter(|t| t.2.is_some()).count();
                    let overlaps =
                        drawn.iter().any(|t| t.2.as_ref() == Some(from) && t.0 <= until && at_ms <= t.1);
                    if down >= bounds.max_down || overlaps {
                        continue;
                    }
                    let (down, up) = if both {
                        (ProcessAction::Stop, ProcessAction::Cont)
                    } else {
                        (ProcessAction::Kill, ProcessAction::Start)
                    };
                    let event = |at_ms, action| ProcessEvent {
                        at_ms,
                        front: from.clone(),
                        action,
                        store: Store::Kept,
                    };
                    schedule.processes.extend([event(at_ms, down), event(until, up)]);
                    drawn.push((at_ms, until, Some(from.clone())));
                    continue;
                }
            };
            drawn.push((at_ms, until, None));
            schedule.faults.push(Fault { at_ms, for_ms, from: from.clone(), to: to.clone(), both, kind });
        }
        schedule.faults.sort_by_key(|f| f.at_ms);
        schedule.processes.sort_by_key(|a| a.at_ms);
        schedule
    }
}

/// Bounds of random schedules.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Names of the fronts.
    pub fronts: Vec<String>,
    /// Length of a schedule, in milliseconds.
    pub length_ms: u64,
    /// Time at the end without faults, in milliseconds: all links work and all processes run.
    pub quiet_ms: u64,
    /// Maximum number of faults.
    pub max_faults: usize,
    /// Maximum number of faults at the same time.
    pub max_concurrent: usize,
    /// Maximum number of processes that are killed or stopped at the same time.
    pub max_down: usize,
}

/// Prints how to run a schedule again if it is dropped while the test panics.
pub struct RerunHint<'a> {
    schedule: &'a Schedule,
    command: &'a str,
}

/// Environment variable with the path of a schedule that replaces the test's own.
pub const SCHEDULE_VARIABLE: &str = "PEPPERHOOK_FAULTS";

impl<'a> RerunHint<'a> {
    /// `command` runs the test; see [`from_environment`].
    #[must_use]
    pub fn new(schedule: &'a Schedule, command: &'a str) -> Self {
        Self { schedule, command }
    }

    /// Writes the schedule to a file and returns the command that runs it.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn write(&self) -> std::io::Result<String> {
        let path = std::env::temp_dir().join(format!("faults-seed-{}.json", self.schedule.seed));
        std::fs::write(&path, self.schedule.text())?;
        Ok(format!("{SCHEDULE_VARIABLE}={} {}", path.display(), self.command))
    }
}

impl Drop for RerunHint<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            match self.write() {
                Ok(command) => eprintln!("seed {} failed; to run it again: {command}", self.schedule.seed),
                Err(e) => eprintln!("seed {} failed: {self} ({e})", self.schedule.seed),
            }
        }
    }
}

impl fmt::Display for RerunHint<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.schedule.text())
    }
}

/// The schedule that [`SCHEDULE_VARIABLE`] names, if the variable is set.
///
/// # Errors
/// If it cannot be read.
pub fn from_environment() -> Result<Option<Schedule>, ScheduleError> {
    std::env::var_os(SCHEDULE_VARIABLE).map(|path| Schedule::load(Path::new(&path))).transpose()
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
        let command = RerunHint::new(&s, "cargo test").write().expect("written");
        let path = command.split(['=', ' ']).nth(1).expect("a path");
        assert_eq!(Schedule::load(Path::new(path)), Ok(s));
    }

    #[test]
    fn errors_name_the_line_and_the_field() {
        for (from, to, line, message) in [
            ("\"kind\": \"cut\"", "\"kind\": \"cutt\"", 3, "unknown `kind` `cutt`"),
            ("\"from\": \"a\"", "\"form\": \"a\"", 3, "unknown field `form`"),
            ("\"kind\": \"cut\"", "\"kind\": \"cut\", \"p\": 1", 3, "a `cut` fault has no `p`"),
            ("\"kind\": \"cut\"", "\"kind\": \"lose\"", 3, "a `lose` fault requires `p`"),
            ("\"kind\": \"cut\"", "\"kind\": \"lose\", \"p\": 1.5", 3, "`p` is 1.5, expected 0 to 1"),
            ("\"ms\": 20", "\"ms\": -20", 4, "invalid value"),
            ("\"for_ms\": 10", "\"for_ms\": 9000000", 4, "`for_ms` is 9000000, expected at most 600000"),
            ("\"do\": \"kill\"", "\"do\": \"kil\"", 7, "unknown variant `kil`"),
        ] {
            let text = EXAMPLE.replace(from, to);
            let error = Schedule::parse("x.json", &text).expect_err(to).to_string();
            assert!(error.starts_with(&format!("x.json:{line}:")) && error.contains(message), "{error}");
        }
        for (from, to, message) in [
            ("\"to\": \"b\"", "\"to\": \"x\"", "faults[0]: `to` is `x`, expected one of *, a, b, c, n0"),
            ("\"to\": \"b\"", "\"to\": \"a\"", "faults[0]: `from` and `to` are both `a`"),
            (
                "\"do\": \"save\"",
                "\"do\": \"stop\"",
                "processes[2]: `store` is `older`, expected an earlier `save` of `c`",
            ),
            ("\"who\": \"c\", \"do\": \"kill\"", "\"who\": \"n0\", \"do\": \"kill\"", "processes[1]: `who`"),
        ] {
            let s = Schedule::parse("x.json", &EXAMPLE.replace(from, to)).expect("a schedule");
            let error = s.check(&["a", "b", "c"], &["n0"]).expect_err(to).to_string();
            assert!(error.starts_with(message), "{error}");
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

        #[test]
        fn random_schedules_keep_their_bounds(
            seed: u64,
            n in 2..7usize,
            max_concurrent in 1..5usize,
            max_down in 0..2usize,
            max_faults in 0..30usize,
        ) {
            let fronts: Vec<String> = (0..n).map(|i| format!("f{i}")).collect();
            let bounds =
                Bounds { fronts, length_ms: 20_000, quiet_ms: 5_000, max_faults, max_concurrent, max_down };
            let s = Schedule::random(seed, &bounds);
            prop_assert_eq!(&s, &Schedule::random(seed, &bounds));
            let names: Vec<&str> = bounds.fronts.iter().map(String::as_str).collect();
            prop_assert_eq!(s.check(&names, &[]), Ok(()));
            prop_assert_eq!(Schedule::parse("x", &s.text()), Ok(s.clone()));
            prop_assert!(s.length_ms() <= 15_000);
            prop_assert!(s.faults.len() + s.processes.len() / 2 <= max_faults);
            for t in 0..15_000u64 {
                let active = s.faults.iter().filter(|f| (f.at_ms..f.at_ms + f.for_ms).contains(&t)).count();
                let (mut down, mut up) = (0usize, 0usize);
                for a in s.processes.iter().filter(|a| a.at_ms <= t) {
                    let goes_down = matches!(a.action, ProcessAction::Kill | ProcessAction::Stop);
                    if goes_down { down += 1 } else { up += 1 }
                }
                prop_assert!(down - up <= max_down && active + down - up <= max_concurrent);
            }
            // A front that is killed is started, and one that is stopped is resumed, before it goes down
            // again.
            for f in &bounds.fronts {
                let events = s.processes.iter().filter(|a| a.front == *f);
                let actions: Vec<ProcessAction> = events.map(|a| a.action).collect();
                prop_assert!(actions.chunks(2).all(|c| matches!(
                    c,
                    [ProcessAction::Kill, ProcessAction::Start] | [ProcessAction::Stop, ProcessAction::Cont]
                )));
            }
        }
    }
}
