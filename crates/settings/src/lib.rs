//! Settings of the session front, in a line-based format like that of classic daemons.
//!
//! A line is `keyword value ...`; `section kind [name]` opens a section that lasts to the next one; `#` starts
//! a comment, `include FILE` reads another file in place. All errors are reported together, each with its file, line,
//! column and what was expected. The keywords are listed in `docs/operators.md`.

mod fleet;
mod section;
mod syntax;

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term;
pub use fleet::{FleetClass, FleetSettings, format_duration};
use pepperhook::{
    Class, DedupScope, Gauge, Idempotency, RetryBudget, Rules, Settings, Time, TitleId, ZoneId,
};
use pepperhook_inventory::InventoryNames;
use section::{SectionReader, parse_time};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use syntax::{Loader, Section};
pub use syntax::{Position, SettingsError, SourceFiles};

const MS: Time = 1_000_000;
const SECOND: Time = 1_000 * MS;

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for people to read.
    Text,
    /// One JSON object per line.
    Json,
}

/// Limits of the listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most open connections; further ones are closed when accepted.
    pub connections: usize,
    /// Most requests that wait for their answer; further ones are refused with 503.
    pub waiting: usize,
    /// Most sessions; further ones are refused with 503.
    pub sessions: usize,
    /// Most bytes of a body; a longer one is answered with 413.
    pub body: usize,
    /// Most bytes of a request's head; a longer one is answered with 431.
    pub head: usize,
    /// Time limit for receiving a head, nanoseconds.
    pub head_timeout: Time,
    /// Time limit for receiving a body, nanoseconds; after it the answer is 408.
    pub body_timeout: Time,
}

/// Settings of a class that the front uses; the others are in the decision module's `Class`.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Name of the class, in settings and requests.
    pub name: String,
    /// Time after which a viewer gives up waiting, nanoseconds.
    pub patience: Time,
    /// The sessions of this class are publishers.
    pub ingest: bool,
    /// New sessions are refused; those that play continue.
    pub closed: bool,
}

/// Placement and class of a title.
#[derive(Clone, Copy, Debug)]
pub struct Title {
    /// Id: a stable hash of its name.
    pub id: TitleId,
    /// First cell that holds it.
    pub home: u32,
    /// Number of consecutive cells that hold it.
    pub copies: u32,
    /// Class of its viewers.
    pub class: u16,
}

/// A bearer token (RFC 6750) and its rights. The secret is never printed.
#[derive(Clone)]
pub struct Token {
    /// Its name, for logs.
    pub name: String,
    /// Secret that a request must present.
    pub secret: String,
    /// Tenant of its bearers.
    pub tenant: u16,
    /// Bearers may publish.
    pub publish: bool,
    /// Highest rung of its bearers.
    pub top: Option<u8>,
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Token").field("name", &self.name).finish_non_exhaustive()
    }
}

/// The exchange with other fronts. Secrets are never printed.
#[derive(Clone)]
pub struct ExchangeSettings {
    /// Address on which datagrams are received.
    pub listen: SocketAddr,
    /// Address to which the other fronts send, if it differs from `listen`: behind address translation or a relay.
    pub advertise: Option<SocketAddr>,
    /// Addresses of the other fronts.
    pub peers: Vec<SocketAddr>,
    /// Secret that all fronts share.
    pub key: String,
    /// The previous secret, still accepted while keys are being changed.
    pub previous_key: Option<String>,
    /// Time between two rounds of the exchange, nanoseconds.
    pub round_interval: Time,
    /// Number of fronts contacted in a round.
    pub fanout: usize,
    /// Share of the datagrams that is dropped on purpose, for rehearsals: 0 to 1.
    pub simulated_loss: f64,
    /// This front's weight in shared work; 100 is the usual share.
    pub weight: u16,
    /// Time between two probes of another front, nanoseconds.
    pub probe_interval: Time,
    /// Time without an answer after which a suspected front is declared dead, nanoseconds.
    pub suspicion_timeout: Time,
}

/// Periodic work that the fronts divide among themselves. Needs an exchange.
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// Time between two load probes of a node, each by one of the fronts; nanoseconds.
    pub probe_interval: Time,
    /// Delay after which the next front in order takes over a probe that was not made, nanoseconds.
    pub takeover_delay: Time,
    /// Time limit for the answer of a node, nanoseconds.
    pub probe_timeout: Time,
    /// Most requests to a node in a period, from all fronts together.
    pub max_per_period: u32,
    /// Path of the load probe, an OPTIONS request.
    pub probe_path: String,
    /// Readings are sent to the other fronts, and theirs are used.
    pub share_readings: bool,
    /// The decision module may request further probes, within `max_per_period`.
    pub module_probes: bool,
    /// Time between two readings of a node's list of sessions, each by one of the fronts; nanoseconds. `None`: not read.
    pub session_list_interval: Option<Time>,
    /// Path of that list.
    pub session_list_path: String,
}

/// Replication of a front's sessions on other fronts. Needs an exchange.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Number of replicas, beside the front's own state.
    pub copies: usize,
    /// Number of fronts that grant leases on sessions; odd.
    pub grantors: usize,
    /// Duration of a lease, nanoseconds. Another front takes over the sessions of a dead one after about twice this time.
    pub lease: Time,
    /// Time between two periodic checks of leases and replicas, nanoseconds.
    pub check_interval: Time,
    /// Most bytes of replica traffic a second.
    pub bytes_per_s: u64,
}

/// Agreement of the fleet on its policy. Needs an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreementSettings {
    /// Names of the initial voters; later changes of the voters are agreed on.
    pub voters: Vec<String>,
    /// Duration of a front's lease, nanoseconds: while it lasts, no newer policy takes effect without that front. A
    /// change waits at most this long for a front that is cut off.
    pub lease: Time,
    /// Time between two lease renewals from the voters, nanoseconds.
    pub renew_interval: Time,
    /// A front that has had no contact with the voters serves with its own file instead of refusing; for the first
    /// roll-out.
    pub serve_before_contact: bool,
}

impl std::fmt::Debug for ExchangeSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ExchangeSettings")
            .field("listen", &self.listen)
            .field("peers", &self.peers)
            .finish_non_exhaustive()
    }
}

/// Limits of the capacity reserved for announced peaks.
#[derive(Clone, Copy, Debug)]
pub struct ReservationSettings {
    /// Largest share of a link or uplink that may be reserved, 0 to 1.
    pub max_share: f64,
    /// Time after the start at which the capacity for viewers who have not come is released, nanoseconds.
    pub no_show_after: Time,
    /// Most peaks at a time.
    pub max_peaks: usize,
}

/// All settings of a front.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the front, in logs and in `Via` headers.
    pub name: String,
    /// Address of the listener for viewers and publishers.
    pub listen: SocketAddr,
    /// Address of the console; on loopback by default.
    pub admin: SocketAddr,
    /// Key of the console; a random one is made at each start if none is given.
    pub admin_key: Option<String>,
    /// Directory for state that survives a restart.
    pub state_dir: Option<PathBuf>,
    /// Path of the list of nodes.
    pub inventory: PathBuf,
    /// Time between two polls of the list, nanoseconds.
    pub inventory_poll_interval: Time,
    /// Format of the log.
    pub log: LogFormat,
    /// Limits of the listener.
    pub limits: Limits,
    /// Time limit for connecting to a node, nanoseconds.
    pub connect_timeout: Time,
    /// Time after which the connection of a timed-out attempt is reset, nanoseconds; until then a late answer is read.
    pub close_grace: Time,
    /// Subtracted from each patience, nanoseconds: the time that an answer needs to reach the viewer.
    pub answer_margin: Time,
    /// A trickle fragment of the current ICE session is accepted without `If-Match`, because many players omit it.
    pub lenient_if_match: bool,
    /// Classes, in the order of [`Settings::classes`].
    pub classes: Vec<ClassSettings>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Titles by name.
    pub titles: BTreeMap<String, Title>,
    /// Tokens; if there are none, every request is accepted.
    pub tokens: Vec<Token>,
    /// The exchange with other fronts, if configured.
    pub exchange: Option<ExchangeSettings>,
    /// Duties that the fronts share, if configured.
    pub duties: Option<DutySettings>,
    /// Replication on other fronts, if configured.
    pub replica: Option<ReplicaSettings>,
    /// Agreement of the fleet, if configured.
    pub agreement: Option<AgreementSettings>,
    /// Limits of the capacity reserved for announced peaks.
    pub reservations: ReservationSettings,
    /// Names that the list of nodes may use.
    pub names: InventoryNames,
    /// Settings of the decision module.
    pub decisions: Settings,
}

/// Errors and the texts that they refer to.
#[derive(Clone, Debug)]
pub struct SettingsErrors {
    /// The texts.
    pub sources: SourceFiles,
    /// The errors, in order of position.
    pub errors: Vec<SettingsError>,
}

impl std::fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut files = SimpleFiles::new();
        let ids: Vec<_> =
            self.sources.files.iter().map(|(p, t)| files.add(p.display().to_string(), t.as_str())).collect();
        for error in &self.errors {
            let Some(id) = ids.get(error.position.file) else { continue };
            let text = &self.sources.files[error.position.file].1;
            let start = text.split_inclusive('\n').take(error.position.line - 1).map(str::len).sum::<usize>();
            let line = text[start..].lines().next().unwrap_or("");
            let offset: usize = line.chars().take(error.position.column - 1).map(char::len_utf8).sum();
            let length = line[offset..].split([' ', '\t', '#']).next().map_or(0, str::len).max(1);
            let at = (start + offset).min(text.len());
            let range = at..(at + length).min(text.len());
            let diagnostic = Diagnostic::error()
                .with_message(&error.message)
                .with_labels(vec![Label::primary(*id, range)]);
            let mut out = term::termcolor::NoColor::new(Vec::new());
            let shown = term::emit(&mut out, &term::Config::default(), &files, &diagnostic);
            shown.map_err(|_| std::fmt::Error)?;
            f.write_str(&String::from_utf8_lossy(&out.into_inner()))?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// A hash of a name that is the same in every process; ids are made of it.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    pepperhook_inventory::stable_hash(name.as_bytes())
}

impl Config {
    /// Reads settings from a file; relative paths in it are relative to its folder.
    ///
    /// # Errors
    /// All errors, with their positions.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let mut config = build(Loader::from_file(path))?;
        let folder = path.parent().unwrap_or(Path::new(""));
        config.inventory = folder.join(&config.inventory);
        config.state_dir = config.state_dir.map(|d| folder.join(d));
        Ok(config)
    }

    /// Reads settings from text; `name` is its path in error messages.
    ///
    /// # Errors
    /// All errors, with their positions.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsErrors> {
        build(Loader::from_text(name, text))
    }
}

fn read_rung(reader: &mut SectionReader, keyword: &'static str) -> Option<u8> {
    reader.parse(keyword, "rung, a number from 0 to 255")
}

fn read_class(section: &Section, errors: &mut Vec<SettingsError>) -> (ClassSettings, Class) {
    let mut reader = SectionReader::new(section);
    let set_up_target = reader.time("aim");
    let set_up_target = reader.require("aim", set_up_target);
    let patience = reader.time("patience");
    let patience = reader.require("patience", patience);
    let mut idempotency = Idempotency::Idempotent;
    for line in reader.lines("repeat", 1, 3) {
        let values: Vec<&str> = line.values.iter().map(|v| v.text.as_str()).collect();
        let scope = |group: &str| match group {
            "all" => Some(DedupScope::All),
            "zone" => Some(DedupScope::Zone),
            "cell" => Some(DedupScope::Cell),
            _ => None,
        };
        let parsed = match values.as_slice() {
            ["harmless"] => Some(Idempotency::Idempotent),
            ["never"] => Some(Idempotency::AtMostOnce),
            ["within", group, time] => scope(group)
                .zip(parse_time(time))
                .map(|(scope, window)| Idempotency::Deduplicated(scope, window)),
            _ => None,
        };
        match parsed {
            Some(i) => idempotency = i,
            None => reader.error(
                line.values[0].position,
                "expected: harmless, never, or within all|zone|cell TIME, such as: within zone 5s",
            ),
        }
    }
    let name = section.name.as_ref().map_or_else(String::new, |n| n.text.clone());
    let class = Class {
        set_up_target,
        idempotency,
        value: reader.number("value").unwrap_or(1.0),
        rate_scale: reader.number("scale").unwrap_or(1.0),
        lowest_rung: read_rung(&mut reader, "floor").unwrap_or(0),
        highest_rung: read_rung(&mut reader, "top").unwrap_or(u8::MAX),
        max_sessions_per_title: reader.parse("seats", "whole number").unwrap_or(0),
        live: reader.boolean("live").unwrap_or(false),
    };
    let ingest = reader.boolean("ingest").unwrap_or(false);
    let closed = reader.boolean("closed").unwrap_or(false);
    errors.extend(reader.finish());
    (ClassSettings { name, patience, ingest, closed }, class)
}

fn read_rules(section: &Section, errors: &mut Vec<SettingsError>) -> Rules {
    let mut reader = SectionReader::new(section);
    let (cold_share, warm_up) = (reader.number("cold-share"), reader.time("cold"));
    let (overload_multiple, overload_window) = (reader.number("fall-multiple"), reader.time("fall-window"));
    let mut budget = None;
    for line in reader.lines("budget", 3, 3) {
        let values = &line.values;
        let number = |text: &str| text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
        match (number(&values[0].text), number(&values[1].text), parse_time(&values[2].text)) {
            (Some(min_retries), Some(retry_ratio), Some(window)) => {
                budget = Some(RetryBudget { min_retries, retry_ratio, window })
            }
            _ => reader
                .error(values[0].position, "expected: budget FREE SHARE WINDOW, such as: budget 3 0.2 10s"),
        }
    }
    let rules = Rules {
        cold_share: reader.require("cold-share", cold_share),
        warm_up: reader.require("cold", warm_up),
        overload_multiple: reader.require("fall-multiple", overload_multiple),
        overload_window: reader.require("fall-window", overload_window),
        retry_budget: budget,
    };
    errors.extend(reader.finish());
    rules
}

fn read_exchange(section: &Section, errors: &mut Vec<SettingsError>) -> ExchangeSettings {
    let mut reader = SectionReader::new(section);
    let listen = reader.parse("listen", "address such as 127.0.0.1:7400");
    let listen =
        reader.require("listen", listen.map(Some)).unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let advertise = reader.parse_with("advertise", "address such as 10.0.0.7:7400, with its port", |t| {
        t.parse::<SocketAddr>().ok().filter(|a| !a.ip().is_unspecified() && a.port() != 0)
    });
    let mut peers = Vec::new();
    for value in reader.lines("peer", 1, 1).into_iter().map(|l| &l.values[0]) {
        match value.text.parse() {
            Ok(peer) if peers.contains(&peer) => {
                reader.error(value.position, format!("peer '{}' is given twice", value.text))
            }
            Ok(peer) => peers.push(peer),
            Err(_) => reader.error(
                value.position,
                format!("'{}' is not valid; expected: address such as 127.0.0.1:7400", value.text),
            ),
        }
    }
    let key = reader.value("key").map(|v| v.text.clone());
    let settings = ExchangeSettings {
        listen,
        advertise,
        peers,
        key: reader.require("key", key),
        previous_key: reader.value("previous-key").map(|v| v.text.clone()),
        round_interval: reader.time("period").unwrap_or(SECOND).max(50 * MS),
        fanout: reader.parse("fanout", "whole number").unwrap_or(2).clamp(1, 16),
        simulated_loss: reader.number("loss").unwrap_or(0.0).min(1.0),
        weight: reader.parse("weight", "whole number, 100 for one share").unwrap_or(100).clamp(1, 10_000),
        probe_interval: reader.time("look").unwrap_or(SECOND).max(100 * MS),
        suspicion_timeout: reader.time("suspicion").unwrap_or(3 * SECOND).max(200 * MS),
    };
    errors.extend(reader.finish());
    settings
}

fn read_duties(section: &Section, errors: &mut Vec<SettingsError>) -> DutySettings {
    let mut reader = SectionReader::new(section);
    let probe_interval = reader.time("probe");
    let probe_interval = reader.require("probe", probe_interval).max(100 * MS);
    let mut path = |keyword, default: &str| {
        let given = reader.value(keyword).map(|v| (v.position, v.text.clone()));
        if let Some((position, text)) = &given {
            if !text.starts_with('/') || !text.bytes().all(|b| b.is_ascii_graphic()) {
                reader.error(*position, format!("'{text}' is not a path; expected: a path such as /whep"));
            }
        }
        given.map_or_else(|| default.to_owned(), |(_, text)| text)
    };
    let (probe_path, session_list_path) = (path("path", "/whep"), path("sessions-path", "/sessions"));
    let settings = DutySettings {
        probe_interval,
        takeover_delay: reader.time("step").unwrap_or(probe_interval / 4).clamp(10 * MS, probe_interval / 2),
        probe_timeout: reader.time("limit").unwrap_or(probe_interval / 2).max(10 * MS),
        max_per_period: reader.parse("most", "whole number").unwrap_or(5).max(1),
        probe_path,
        session_list_interval: reader.time("sessions").map(|t| t.max(100 * MS)),
        session_list_path,
        share_readings: reader.boolean("share").unwrap_or(true),
        module_probes: reader.boolean("ask").unwrap_or(false),
    };
    errors.extend(reader.finish());
    settings
}

fn read_replica(section: &Section, errors: &mut Vec<SettingsError>) -> ReplicaSettings {
    let mut reader = SectionReader::new(section);
    let copies = reader.parse("copies", "whole number").unwrap_or(2usize);
    let grantors = reader.parse("guards", "whole number").unwrap_or(5usize);
    if !(1..=5).contains(&copies) {
        reader.error(section.position, format!("{copies} copies; expected: copies from 1 to 5"));
    }
    if grantors % 2 == 0 || grantors > 9 {
        reader.error(
            section.position,
            format!("{grantors} guards; expected: an odd number of guards, 9 at most"),
        );
    }
    let lease = reader.time("lease").unwrap_or(3 * SECOND).max(500 * MS);
    let check_interval = reader.time("look").unwrap_or(lease / 6);
    if check_interval < 50 * MS || check_interval > lease / 4 {
        reader.error(
            section.position,
            format!(
                "a look of {}; expected: a look between 50ms and a quarter of the lease, {}",
                format_duration(check_interval),
                format_duration(lease / 4)
            ),
        );
    }
    let bytes_per_s = reader.parse("rate", "bytes a second").unwrap_or(200_000).max(10_000);
    errors.extend(reader.finish());
    ReplicaSettings { copies, grantors, lease, check_interval, bytes_per_s }
}

/// Smallest time by which a lease exceeds the longest patience, nanoseconds; several renewals fit into it.
const MIN_LEASE_MARGIN: Time = SECOND;

fn read_agreement(section: &Section, patience: Time, errors: &mut Vec<SettingsError>) -> AgreementSettings {
    let mut reader = SectionReader::new(section);
    let mut voters: Vec<String> = Vec::new();
    for value in reader.lines("voter", 1, 1).into_iter().map(|l| &l.values[0]) {
        if voters.contains(&value.text) {
            reader.error(value.position, format!("voter '{}' is given twice", value.text));
        }
        voters.push(value.text.clone());
    }
    if voters.len() % 2 == 0 || voters.len() > 7 {
        reader.error(
            section.position,
            format!("{} voters; expected: 1, 3, 5 or 7 lines such as: voter front-1", voters.len()),
        );
    }
    let min_lease = patience.saturating_add(MIN_LEASE_MARGIN);
    let lease = reader.time("hold").unwrap_or(patience.saturating_add(4 * SECOND));
    if lease < min_lease {
        reader.error(
            section.position,
            format!(
                "a hold of {}; expected: a hold of {} ms or more, the longest patience and a second",
                format_duration(lease),
                min_lease / MS
            ),
        );
    }
    let renew_interval =
        reader.time("look").unwrap_or_else(|| (lease.saturating_sub(patience) / 8).max(100 * MS));
    if renew_interval < 50 * MS || renew_interval > lease.saturating_sub(patience) / 2 {
        reader.error(
            section.position,
            format!(
                "a look of {}; expected: a look between 50ms and {}, half of the hold less the longest patience",
                format_duration(renew_interval),
                format_duration(lease.saturating_sub(patience) / 2)
            ),
        );
    }
    let serve_before_contact = reader
        .parse_with("unknown", "action for a front without contact to the voters, refuse or serve", |t| {
            match t {
                "refuse" => Some(false),
                "serve" => Some(true),
                _ => None,
            }
        })
        .unwrap_or(false);
    errors.extend(reader.finish());
    AgreementSettings { voters, lease, renew_interval, serve_before_contact }
}

/// Sections of a kind with their names; a missing or repeated name is an error.
fn named_sections<'a>(
    sections: &'a [Section],
    kind: &'a str,
    errors: &mut Vec<SettingsError>,
) -> Vec<(String, &'a Section)> {
    let mut out: Vec<(String, &Section)> = Vec::new();
    for section in sections.iter().filter(|s| s.kind == kind) {
        match &section.name {
            None => errors.push(SettingsError {
                position: section.position,
                message: format!("section {kind} needs a name"),
            }),
            Some(name) if out.iter().any(|(n, _)| *n == name.text) => {
                let message = format!("section {kind} '{}' is given twice", name.text);
                errors.push(SettingsError { position: name.position, message });
            }
            Some(name) => out.push((name.text.clone(), section)),
        }
    }
    out
}

/// Builds the settings from the sections, or returns all errors.
fn build(loader: Loader) -> Result<Config, SettingsErrors> {
    let Loader { sources, sections, mut errors, .. } = loader;
    const KINDS: [&str; 13] = [
        "",
        "class",
        "ladder",
        "kind",
        "tenant",
        "title",
        "token",
        "rules",
        "prices",
        "exchange",
        "duties",
        "replica",
        "agreement",
    ];
    for section in sections.iter().filter(|s| !KINDS.contains(&s.kind.as_str())) {
        let message =
            format!("unknown section '{}'; expected one of: {}", section.kind, KINDS[1..].join(", "));
        errors.push(SettingsError { position: section.position, message });
    }

    let mut reader = SectionReader::new(&sections[0]);
    let fleet = FleetSettings::read(&sections, &mut reader, &mut errors);
    let (mut kinds, mut kind_streams) = (Vec::new(), Vec::new());
    for (name, section) in named_sections(&sections, "kind", &mut errors) {
        let mut reader = SectionReader::new(section);
        let streams = reader.number("streams");
        kind_streams.push(reader.require("streams", streams));
        kinds.push(name);
        errors.extend(reader.finish());
    }
    let (classes, module_classes): (Vec<ClassSettings>, Vec<Class>) =
        fleet.classes.into_iter().map(|c| (c.front, c.class)).unzip();
    let (tenants, module_tenants): (Vec<String>, Vec<_>) = fleet.tenants.into_iter().unzip();
    let mut titles = BTreeMap::new();
    for (name, section) in named_sections(&sections, "title", &mut errors) {
        let mut reader = SectionReader::new(section);
        let (home, copies) = (reader.parse("home", "cell"), reader.parse("copies", "whole number"));
        let (home, copies) = (reader.require("home", home), reader.require("copies", copies));
        let class_names = classes.iter().map(|c| c.name.as_str()).collect::<Vec<_>>().join(", ");
        let by_name = reader.parse_with("class", &format!("class of these settings: {class_names}"), |t| {
            classes.iter().position(|c| c.name == t)
        });
        let class = reader.require("class", by_name) as u16;
        errors.extend(reader.finish());
        titles.insert(name.clone(), Title { id: TitleId(name_hash(&name)), home, copies, class });
    }
    let mut tokens = Vec::new();
    for (name, section) in named_sections(&sections, "token", &mut errors) {
        let mut reader = SectionReader::new(section);
        let secret = reader.value("secret").map(|v| v.text.clone());
        let secret = reader.require("secret", secret);
        let tenant =
            reader.parse_with("tenant", &format!("tenant of these settings: {}", tenants.join(", ")), |t| {
                tenants.iter().position(|n| n == t)
            });
        let (publish, top) = (reader.boolean("publish").unwrap_or(false), read_rung(&mut reader, "top"));
        errors.extend(reader.finish());
        tokens.push(Token { name, secret, tenant: tenant.unwrap_or(0) as u16, publish, top });
    }
    let exchange = sections.iter().find(|s| s.kind == "exchange").map(|s| read_exchange(s, &mut errors));
    let duty_section = sections.iter().find(|s| s.kind == "duties");
    let duties = duty_section.map(|s| read_duties(s, &mut errors));
    if let Some(section) = duty_section.filter(|_| exchange.is_none()) {
        let message = "duties are shared between fronts: they need a section exchange".into();
        errors.push(SettingsError { position: section.position, message });
    }
    let replica_section = sections.iter().find(|s| s.kind == "replica");
    let replica = replica_section.map(|s| read_replica(s, &mut errors));
    if let Some(section) = replica_section.filter(|_| exchange.is_none()) {
        let message = "copies are kept by other fronts: they need a section exchange".into();
        errors.push(SettingsError { position: section.position, message });
    }
    let agreement_section = sections.iter().find(|s| s.kind == "agreement");
    let patience = classes.iter().map(|c| c.patience).max().unwrap_or(0);
    let agreement = agreement_section.map(|s| read_agreement(s, patience, &mut errors));
    if let Some(section) = agreement_section.filter(|_| exchange.is_none()) {
        let message = "fronts use the exchange to agree: they need a section exchange".into();
        errors.push(SettingsError { position: section.position, message });
    }

    let zones: Vec<String> =
        reader.lines("zones", 1, 64).iter().flat_map(|l| l.values.iter().map(|v| v.text.clone())).collect();
    let zone = reader.parse_with("zone", &format!("zone of these settings: {}", zones.join(", ")), |t| {
        zones.iter().position(|z| z == t)
    });
    let zone = reader.require("zone", zone);
    let mut gauges = Vec::new();
    for value in reader.lines("gauges", 1, 4).into_iter().flat_map(|l| &l.values) {
        match value.text.as_str() {
            "streams" => gauges.push(Gauge::Streams),
            "link-capped" => gauges.push(Gauge::LinkCapped),
            "link" => gauges.push(Gauge::Link),
            "uplink" => gauges.push(Gauge::Uplink),
            other => reader.error(
                value.position,
                format!("'{other}' is not a gauge; expected one of: streams, link-capped, link, uplink"),
            ),
        }
    }
    let address = "address such as 127.0.0.1:8080";
    let listen = reader.parse("listen", address);
    let inventory = reader.value("inventory").map(|v| PathBuf::from(&v.text));
    let (racks, cells) = (reader.parse("racks", "whole number"), reader.parse("cells", "whole number"));
    let (racks, cells) = (reader.require("racks", racks), reader.require("cells", cells));
    let names = InventoryNames { zones, kinds, cells };
    let name = reader.value("name").map(|v| v.text.clone());
    let config = Config {
        name: reader.require("name", name),
        listen: reader
            .require("listen", listen.map(Some))
            .unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        admin: reader.parse("admin", address).unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        admin_key: reader.value("admin-key").map(|v| v.text.clone()),
        state_dir: reader.value("state-dir").map(|v| PathBuf::from(&v.text)),
        inventory: reader.require("inventory", inventory),
        inventory_poll_interval: reader.time("inventory-poll").unwrap_or(100 * MS).max(10 * MS),
        log: reader
            .parse_with("log", "log format, text or json", |t| match t {
                "text" => Some(LogFormat::Text),
                "json" => Some(LogFormat::Json),
                _ => None,
            })
            .unwrap_or(LogFormat::Text),
        limits: Limits {
            connections: reader.parse("max-connections", "whole number").unwrap_or(16_384),
            waiting: reader.parse("max-waiting", "whole number").unwrap_or(4_096),
            sessions: reader.parse("max-sessions", "whole number").unwrap_or(65_536),
            body: reader.parse("max-body", "number of bytes").unwrap_or(64 << 10),
            head: reader.parse("max-head", "number of bytes").unwrap_or(16 << 10).max(8 << 10),
            head_timeout: reader.time("head-time").unwrap_or(5 * SECOND),
            body_timeout: reader.time("body-time").unwrap_or(5 * SECOND),
        },
        exchange,
        reservations: fleet.reservations,
        connect_timeout: reader.time("connect-time").unwrap_or(250 * MS),
        close_grace: reader.time("close-grace").unwrap_or(40 * MS),
        answer_margin: reader.time("answer-margin").unwrap_or(250 * MS),
        lenient_if_match: reader
            .parse_with("if-match", "treatment of If-Match, strict or lenient", |t| match t {
                "lenient" => Some(true),
                "strict" => Some(false),
                _ => None,
            })
            .unwrap_or(true),
        decisions: Settings {
            fronts: reader.parse("fronts", "whole number").unwrap_or(1),
            zone: ZoneId(zone as u16),
            classes: module_classes,
            tenants: module_tenants,
            over_share_worth: fleet.over_share_worth,
            ladder: fleet.ladder,
            kind_max_streams: kind_streams,
            racks,
            cells,
            uplink_kb: fleet.uplink_kb,
            kb_per_weight: fleet.kb_per_weight,
            all_links_kb: fleet.all_links_kb,
            shared_stream_share: fleet.shared_stream_share,
            link_refusal_threshold: fleet.link_refusal_threshold,
            notification_delay: fleet.notification_delay,
            switch_cost_s: fleet.switch_cost_s,
            gauges,
            // Without these probes the module learns loads from answers, event streams and readings of the duties.
            probes: duties.as_ref().is_some_and(|d| d.module_probes),
            send_retry_after: fleet.send_retry_after,
            max_retry_after: fleet.max_retry_after,
            max_attempts: fleet.max_attempts,
            connection_idle_timeout: 0,
            list_on_request: false,
            min_event_interval: reader.time("step").unwrap_or(MS),
            prices: fleet.prices,
            rules: fleet.rules,
        },
        duties,
        replica,
        agreement,
        classes,
        tenants,
        titles,
        tokens,
        names,
    };
    errors.extend(reader.finish());
    if errors.is_empty() {
        let first = sections[0].position;
        if let Err(e) = config.decisions.validate() {
            errors.push(SettingsError { position: first, message: e.0 });
        }
        if !config.admin.ip().is_loopback() && config.admin_key.is_none() {
            errors.push(SettingsError {
                position: first,
                message: "an 'admin' address that is not on loopback needs an 'admin-key'".into(),
            });
        }
        let fronts = config.decisions.fronts as usize;
        if let Some((section, r)) = replica_section.zip(config.replica).filter(|(_, r)| r.copies >= fronts) {
            let message = format!("{} copies need more fronts than the {fronts} of 'fronts'", r.copies);
            errors.push(SettingsError { position: section.position, message });
        }
        let votes = config.agreement.as_ref().is_some_and(|a| a.voters.contains(&config.name));
        if let Some(section) = agreement_section.filter(|_| votes && config.state_dir.is_none()) {
            let message = "this front is a voter: it needs a 'state-dir' for its stored votes".into();
            errors.push(SettingsError { position: section.position, message });
        }
        if config.limits.waiting == 0 || config.limits.connections == 0 || config.limits.sessions == 0 {
            errors.push(SettingsError {
                position: first,
                message:
                    "one of max-connections, max-waiting and max-sessions is 0; expected: numbers above 0"
                        .into(),
            });
        }
    }
    errors.sort_by_key(|e| (e.position.file, e.position.line, e.position.column));
    if errors.is_empty() { Ok(config) } else { Err(SettingsErrors { sources, errors }) }
}

#[cfg(test)]
mod tests;
