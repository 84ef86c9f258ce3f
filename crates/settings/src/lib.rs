//! Settings of the session front, in the manner of classic daemons.
//!
//! A line is `keyword value ...`; `section kind [name]` opens a block that lasts to the next one; `#` starts
//! a comment, `include FILE` reads another file in place. Every fault is told with file, line, column and
//! what was expected, all of them at once. The keywords are listed in `docs/operators.md`.

mod fleet;
mod section;
mod syntax;

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term;
pub use fleet::{Fleet, FleetClass, duration};
use pepperhook::{
    Class, DedupScope, Gauge, Idempotency, RetryBudget, Rules, Settings, Time, TitleId, ZoneId,
};
use pepperhook_inventory::InventoryNames;
use section::{Fields, time};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use syntax::{Block, Loader};
pub use syntax::{Fault, Place, Source};

const MS: Time = 1_000_000;
const SECOND: Time = 1_000 * MS;

/// Form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    /// A line a person reads.
    Text,
    /// One JSON object a line.
    Json,
}

/// Bounds of the listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; more are closed as they come.
    pub connections: usize,
    /// Requests that wait for their answer at once; more are refused with 503.
    pub waiting: usize,
    /// Sessions held at once; more are refused with 503.
    pub sessions: usize,
    /// Bytes of a body; more is 413.
    pub body: usize,
    /// Bytes of a request's head; more is 431.
    pub head: usize,
    /// A head must have come within this time.
    pub head_time: Time,
    /// A body must have come within this time; else 408.
    pub body_time: Time,
}

/// A class with what the front adds to the module's.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Its name in paths and tokens.
    pub name: String,
    /// A viewer gives up after this time.
    pub patience: Time,
    /// Sessions of publishers.
    pub ingest: bool,
    /// It takes nothing new; what plays goes on.
    pub closed: bool,
}

/// Where a title lies.
#[derive(Clone, Copy, Debug)]
pub struct Title {
    /// Its id: a stable hash of its name.
    pub id: TitleId,
    /// First cell that holds it.
    pub home: u32,
    /// Cells in a row that hold it.
    pub copies: u32,
    /// Class of its viewers.
    pub class: u16,
}

/// A bearer token (RFC 6750) and what it stands for. Its secret is never printed.
#[derive(Clone)]
pub struct Token {
    /// Its name, for logs.
    pub name: String,
    /// The secret itself.
    pub secret: String,
    /// Tenant of those who bear it.
    pub tenant: u16,
    /// It may publish.
    pub publish: bool,
    /// Highest rung of those who bear it.
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
    /// Where datagrams come.
    pub listen: SocketAddr,
    /// Where the other fronts send them, if that is another address: behind a translation of addresses, or a relay.
    pub advertise: Option<SocketAddr>,
    /// The other fronts.
    pub peers: Vec<SocketAddr>,
    /// Secret that all fronts share.
    pub key: String,
    /// The one before, while keys are being changed.
    pub previous_key: Option<String>,
    /// Time between two rounds.
    pub period: Time,
    /// Others that are told in a round.
    pub fanout: usize,
    /// Part of the datagrams that is lost on purpose, for rehearsals.
    pub loss: f64,
    /// This front's weight in shared work; 100 is one share.
    pub weight: u16,
    /// Time between two looks at another front.
    pub look: Time,
    /// A front that does not answer is given up after this time.
    pub suspicion: Time,
}

/// Duties that the fronts share. Only where there is an exchange.
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// Each node is asked for its load once in this time, by one of the fronts.
    pub probe: Time,
    /// Who stands by asks so much later than the one before.
    pub step: Time,
    /// A node has so long to answer.
    pub limit: Time,
    /// Times a period that a node may hear it from all fronts together.
    pub most: u32,
    /// What is asked for, by OPTIONS.
    pub path: String,
    /// What was read is told to the other fronts, and theirs is heard.
    pub share: bool,
    /// The decision module may ask for a reading of its own, within the same bound.
    pub ask: bool,
    /// Each node's list of sessions is read once in this time, by one of the fronts; where nodes offer it.
    pub sessions: Option<Time>,
    /// Where that list is.
    pub sessions_path: String,
}

/// Copies of what a front holds, on other fronts. Only where there is an exchange.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Copies beside the front's own.
    pub copies: usize,
    /// Fronts that settle who may act on what; an odd number.
    pub guards: usize,
    /// A dead front's sessions are another's after about twice this time.
    pub lease: Time,
    /// Time between two looks.
    pub look: Time,
    /// Bytes of copies a second.
    pub rate: u64,
}

/// What the fleet agrees on. Only where there is an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreementSettings {
    /// InventoryNames of the fronts that vote first; later voters are agreed on.
    pub voters: Vec<String>,
    /// A front knows for so long that nothing newer takes effect without it; and a change waits so long for one that is cut off.
    pub hold: Time,
    /// Time between two questions to the voters.
    pub look: Time,
    /// A front that has never heard of the voters serves by its file, instead of refusing: for the first roll-out.
    pub serve_unknown: bool,
}

impl std::fmt::Debug for ExchangeSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ExchangeSettings")
            .field("listen", &self.listen)
            .field("peers", &self.peers)
            .finish_non_exhaustive()
    }
}

/// Bounds on announced peaks.
#[derive(Clone, Copy, Debug)]
pub struct HoldSettings {
    /// Part of a link or uplink that may be held at most.
    pub share: f64,
    /// After the start plus this, room for viewers who have not come is given back.
    pub late: Time,
    /// Peaks known at once at most.
    pub most: usize,
}

/// Everything that a front is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The front's name, in logs and in `Via`.
    pub name: String,
    /// Where viewers and publishers come.
    pub listen: SocketAddr,
    /// Where the console is; loopback unless stated.
    pub admin: SocketAddr,
    /// Key of the console; made at the start where none is given.
    pub admin_key: Option<String>,
    /// Where the front keeps what a restart needs.
    pub state_dir: Option<PathBuf>,
    /// The list of nodes.
    pub inventory: PathBuf,
    /// Time between two looks at it.
    pub inventory_poll: Time,
    /// Form of the log.
    pub log: LogForm,
    /// Bounds.
    pub limits: Limits,
    /// A connection to a node must be up within this time.
    pub connect_time: Time,
    /// How long a node is heard out after an attempt timed out, before its connection is reset.
    pub close_grace: Time,
    /// Kept back from each patience, so that the answer is with the viewer in time.
    pub answer_margin: Time,
    /// A trickle fragment of the running ICE session is taken without `If-Match`, as many players send it.
    pub lenient_if_match: bool,
    /// Classes, in the order of [`Settings::classes`].
    pub classes: Vec<ClassSettings>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Titles by name.
    pub titles: BTreeMap<String, Title>,
    /// Tokens; without any, everyone is let in.
    pub tokens: Vec<Token>,
    /// The exchange with other fronts, where there is one.
    pub exchange: Option<ExchangeSettings>,
    /// Duties that the fronts share, where there are any.
    pub duties: Option<DutySettings>,
    /// Copies on other fronts.
    pub replica: Option<ReplicaSettings>,
    /// What the fleet agrees on.
    pub agreement: Option<AgreementSettings>,
    /// Bounds on announced peaks.
    pub holds: HoldSettings,
    /// InventoryNames that the list of nodes may use.
    pub names: InventoryNames,
    /// What the decision module is told.
    pub decisions: Settings,
}

/// Faults and the texts they were found in.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The texts.
    pub source: Source,
    /// What is wrong, in order of place.
    pub faults: Vec<Fault>,
}

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut files = SimpleFiles::new();
        let ids: Vec<_> =
            self.source.files.iter().map(|(p, t)| files.add(p.display().to_string(), t.as_str())).collect();
        for fault in &self.faults {
            let Some(id) = ids.get(fault.place.file) else { continue };
            let text = &self.source.files[fault.place.file].1;
            let start = text.split_inclusive('\n').take(fault.place.line - 1).map(str::len).sum::<usize>();
            let line = text[start..].lines().next().unwrap_or("");
            let from: usize = line.chars().take(fault.place.column - 1).map(char::len_utf8).sum();
            let long = line[from..].split([' ', '\t', '#']).next().map_or(0, str::len).max(1);
            let at = (start + from).min(text.len());
            let range = at..(at + long).min(text.len());
            let diagnostic =
                Diagnostic::error().with_message(&fault.what).with_labels(vec![Label::primary(*id, range)]);
            let mut out = term::termcolor::NoColor::new(Vec::new());
            let shown = term::emit(&mut out, &term::Config::default(), &files, &diagnostic);
            shown.map_err(|_| std::fmt::Error)?;
            f.write_str(&String::from_utf8_lossy(&out.into_inner()))?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// A stable id of a name.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    pepperhook_inventory::stable_hash(name.as_bytes())
}

impl Config {
    /// Reads settings from a file; relative paths in it are beside it.
    ///
    /// # Errors
    /// Every fault, with its place.
    pub fn load(path: &Path) -> Result<Self, Faults> {
        let mut config = build(Loader::file(path))?;
        let beside = path.parent().unwrap_or(Path::new(""));
        config.inventory = beside.join(&config.inventory);
        config.state_dir = config.state_dir.map(|d| beside.join(d));
        Ok(config)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    /// Every fault, with its place.
    pub fn parse(name: &str, text: &str) -> Result<Self, Faults> {
        build(Loader::text(name, text))
    }
}

fn rung(fields: &mut Fields, keyword: &'static str) -> Option<u8> {
    fields.parsed(keyword, "rung, a number from 0 to 255")
}

fn class(block: &Block, faults: &mut Vec<Fault>) -> (ClassSettings, Class) {
    let mut f = Fields::new(block);
    let aim = f.time("aim");
    let aim = f.need("aim", aim);
    let patience = f.time("patience");
    let patience = f.need("patience", patience);
    let mut repeat = Idempotency::Idempotent;
    for line in f.lines("repeat", 1, 3) {
        let words: Vec<&str> = line.values.iter().map(|w| w.text.as_str()).collect();
        let group = |g: &str| match g {
            "all" => Some(DedupScope::All),
            "zone" => Some(DedupScope::Zone),
            "cell" => Some(DedupScope::Cell),
            _ => None,
        };
        let read = match words.as_slice() {
            ["harmless"] => Some(Idempotency::Idempotent),
            ["never"] => Some(Idempotency::AtMostOnce),
            ["within", g, t] => group(g).zip(time(t)).map(|(g, t)| Idempotency::Deduplicated(g, t)),
            _ => None,
        };
        match read {
            Some(r) => repeat = r,
            None => f.fault(line.values[0].place, "expected: harmless, never, or within all|zone|cell TIME"),
        }
    }
    let name = block.name.as_ref().map_or_else(String::new, |n| n.text.clone());
    let class = Class {
        set_up_target: aim,
        idempotency: repeat,
        value: f.number("value").unwrap_or(1.0),
        rate_scale: f.number("scale").unwrap_or(1.0),
        lowest_rung: rung(&mut f, "floor").unwrap_or(0),
        highest_rung: rung(&mut f, "top").unwrap_or(u8::MAX),
        max_sessions_per_title: f.parsed("seats", "whole number").unwrap_or(0),
        live: f.yes("live").unwrap_or(false),
    };
    let ingest = f.yes("ingest").unwrap_or(false);
    let closed = f.yes("closed").unwrap_or(false);
    faults.extend(f.end());
    (ClassSettings { name, patience, ingest, closed }, class)
}

fn rules(block: &Block, faults: &mut Vec<Fault>) -> Rules {
    let mut f = Fields::new(block);
    let (share, cold) = (f.number("cold-share"), f.time("cold"));
    let (multiple, window) = (f.number("fall-multiple"), f.time("fall-window"));
    let mut budget = None;
    for line in f.lines("budget", 3, 3) {
        let v = &line.values;
        let number = |text: &str| text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
        match (number(&v[0].text), number(&v[1].text), time(&v[2].text)) {
            (Some(free), Some(share), Some(window)) => {
                budget = Some(RetryBudget { min_retries: free, retry_ratio: share, window })
            }
            _ => f.fault(v[0].place, "expected: budget FREE SHARE WINDOW, such as: budget 3 0.2 10s"),
        }
    }
    let rules = Rules {
        cold_share: f.need("cold-share", share),
        warm_up: f.need("cold", cold),
        overload_multiple: f.need("fall-multiple", multiple),
        overload_window: f.need("fall-window", window),
        retry_budget: budget,
    };
    faults.extend(f.end());
    rules
}

fn exchange(block: &Block, faults: &mut Vec<Fault>) -> ExchangeSettings {
    let mut f = Fields::new(block);
    let listen = f.parsed("listen", "address such as 127.0.0.1:7400");
    let listen = f.need("listen", listen.map(Some)).unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let advertise = f.with("advertise", "address such as 10.0.0.7:7400, with its port", |t| {
        t.parse::<SocketAddr>().ok().filter(|a| !a.ip().is_unspecified() && a.port() != 0)
    });
    let mut peers = Vec::new();
    for word in f.lines("peer", 1, 1).into_iter().map(|l| &l.values[0]) {
        match word.text.parse() {
            Ok(peer) if peers.contains(&peer) => f.fault(word.place, "this peer is given twice"),
            Ok(peer) => peers.push(peer),
            Err(_) => f.fault(word.place, format!("'{}' is no address such as 127.0.0.1:7400", word.text)),
        }
    }
    let key = f.word("key").map(|w| w.text.clone());
    let settings = ExchangeSettings {
        listen,
        advertise,
        peers,
        key: f.need("key", key),
        previous_key: f.word("previous-key").map(|w| w.text.clone()),
        period: f.time("period").unwrap_or(SECOND).max(50 * MS),
        fanout: f.parsed("fanout", "whole number").unwrap_or(2).clamp(1, 16),
        loss: f.number("loss").unwrap_or(0.0).min(1.0),
        weight: f.parsed("weight", "whole number, 100 for one share").unwrap_or(100).clamp(1, 10_000),
        look: f.time("look").unwrap_or(SECOND).max(100 * MS),
        suspicion: f.time("suspicion").unwrap_or(3 * SECOND).max(200 * MS),
    };
    faults.extend(f.end());
    settings
}

fn duties(block: &Block, faults: &mut Vec<Fault>) -> DutySettings {
    let mut f = Fields::new(block);
    let probe = f.time("probe");
    let probe = f.need("probe", probe).max(100 * MS);
    let mut path = |keyword, default: &str| {
        let given = f.word(keyword).map(|w| (w.place, w.text.clone()));
        if let Some((place, text)) = &given {
            if !text.starts_with('/') || !text.bytes().all(|b| b.is_ascii_graphic()) {
                f.fault(*place, "expected: a path such as /whep");
            }
        }
        given.map_or_else(|| default.to_owned(), |(_, text)| text)
    };
    let (path, sessions_path) = (path("path", "/whep"), path("sessions-path", "/sessions"));
    let settings = DutySettings {
        probe,
        step: f.time("step").unwrap_or(probe / 4).clamp(10 * MS, probe / 2),
        limit: f.time("limit").unwrap_or(probe / 2).max(10 * MS),
        most: f.parsed("most", "whole number").unwrap_or(5).max(1),
        path,
        sessions: f.time("sessions").map(|t| t.max(100 * MS)),
        sessions_path,
        share: f.yes("share").unwrap_or(true),
        ask: f.yes("ask").unwrap_or(false),
    };
    faults.extend(f.end());
    settings
}

fn replica(block: &Block, faults: &mut Vec<Fault>) -> ReplicaSettings {
    let mut f = Fields::new(block);
    let copies = f.parsed("copies", "whole number").unwrap_or(2usize);
    let guards = f.parsed("guards", "whole number").unwrap_or(5usize);
    if !(1..=5).contains(&copies) {
        f.fault(block.place, "expected: copies from 1 to 5");
    }
    if guards % 2 == 0 || guards > 9 {
        f.fault(block.place, "expected: an odd number of guards, 9 at most");
    }
    let lease = f.time("lease").unwrap_or(3 * SECOND).max(500 * MS);
    let look = f.time("look").unwrap_or(lease / 6);
    if look < 50 * MS || look > lease / 4 {
        f.fault(block.place, "expected: a look between 50ms and a quarter of the lease");
    }
    let rate = f.parsed("rate", "bytes a second").unwrap_or(200_000).max(10_000);
    faults.extend(f.end());
    ReplicaSettings { copies, guards, lease, look, rate }
}

/// Time that a hold has beside the longest patience, at least: some questions to the voters fit into it.
const HOLD_BESIDE: Time = SECOND;

fn agreement(block: &Block, patience: Time, faults: &mut Vec<Fault>) -> AgreementSettings {
    let mut f = Fields::new(block);
    let mut voters: Vec<String> = Vec::new();
    for word in f.lines("voter", 1, 1).into_iter().map(|l| &l.values[0]) {
        if voters.contains(&word.text) {
            f.fault(word.place, "this voter is given twice");
        }
        voters.push(word.text.clone());
    }
    if voters.len() % 2 == 0 || voters.len() > 7 {
        f.fault(block.place, "expected: 1, 3, 5 or 7 lines such as: voter front-1");
    }
    let least = patience.saturating_add(HOLD_BESIDE);
    let hold = f.time("hold").unwrap_or(patience.saturating_add(4 * SECOND));
    if hold < least {
        f.fault(
            block.place,
            format!("expected: a hold of {} ms or more, the longest patience and a second", least / MS),
        );
    }
    let look = f.time("look").unwrap_or_else(|| (hold.saturating_sub(patience) / 8).max(100 * MS));
    if look < 50 * MS || look > hold.saturating_sub(patience) / 2 {
        f.fault(
            block.place,
            "expected: a look between 50ms and half of what the hold has beside the longest patience",
        );
    }
    let serve_unknown = f
        .with("unknown", "what a front does that never heard of the voters, refuse or serve", |t| match t {
            "refuse" => Some(false),
            "serve" => Some(true),
            _ => None,
        })
        .unwrap_or(false);
    faults.extend(f.end());
    AgreementSettings { voters, hold, look, serve_unknown }
}

fn named<'a>(blocks: &'a [Block], kind: &'a str, faults: &mut Vec<Fault>) -> Vec<(String, &'a Block)> {
    let mut out: Vec<(String, &Block)> = Vec::new();
    for block in blocks.iter().filter(|b| b.kind == kind) {
        match &block.name {
            None => faults.push(Fault { place: block.place, what: format!("section {kind} needs a name") }),
            Some(name) if out.iter().any(|(n, _)| *n == name.text) => {
                let what = format!("section {kind} '{}' is given twice", name.text);
                faults.push(Fault { place: name.place, what });
            }
            Some(name) => out.push((name.text.clone(), block)),
        }
    }
    out
}

fn build(loader: Loader) -> Result<Config, Faults> {
    let Loader { source, blocks, mut faults, .. } = loader;
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
    for block in blocks.iter().filter(|b| !KINDS.contains(&b.kind.as_str())) {
        let what = format!("unknown section '{}'; expected one of: {}", block.kind, KINDS[1..].join(", "));
        faults.push(Fault { place: block.place, what });
    }

    let mut f = Fields::new(&blocks[0]);
    let fleet = Fleet::read(&blocks, &mut f, &mut faults);
    let (mut kinds, mut kind_streams) = (Vec::new(), Vec::new());
    for (name, block) in named(&blocks, "kind", &mut faults) {
        let mut f = Fields::new(block);
        let streams = f.number("streams");
        kind_streams.push(f.need("streams", streams));
        kinds.push(name);
        faults.extend(f.end());
    }
    let (classes, library): (Vec<ClassSettings>, Vec<Class>) =
        fleet.classes.into_iter().map(|c| (c.ours, c.class)).unzip();
    let (tenants, shares): (Vec<String>, Vec<_>) = fleet.tenants.into_iter().unzip();
    let mut titles = BTreeMap::new();
    for (name, block) in named(&blocks, "title", &mut faults) {
        let mut f = Fields::new(block);
        let (home, copies) = (f.parsed("home", "cell"), f.parsed("copies", "whole number"));
        let (home, copies) = (f.need("home", home), f.need("copies", copies));
        let by_name =
            f.with("class", "class of these settings", |t| classes.iter().position(|c| c.name == t));
        let class = f.need("class", by_name) as u16;
        faults.extend(f.end());
        titles.insert(name.clone(), Title { id: TitleId(name_hash(&name)), home, copies, class });
    }
    let mut tokens = Vec::new();
    for (name, block) in named(&blocks, "token", &mut faults) {
        let mut f = Fields::new(block);
        let secret = f.word("secret").map(|w| w.text.clone());
        let secret = f.need("secret", secret);
        let tenant = f.with("tenant", "tenant of these settings", |t| tenants.iter().position(|n| n == t));
        let (publish, top) = (f.yes("publish").unwrap_or(false), rung(&mut f, "top"));
        faults.extend(f.end());
        tokens.push(Token { name, secret, tenant: tenant.unwrap_or(0) as u16, publish, top });
    }
    let exchange = blocks.iter().find(|b| b.kind == "exchange").map(|b| exchange(b, &mut faults));
    let duty_block = blocks.iter().find(|b| b.kind == "duties");
    let duties = duty_block.map(|b| duties(b, &mut faults));
    if let Some(block) = duty_block.filter(|_| exchange.is_none()) {
        let what = "duties are shared between fronts: they need a section exchange".into();
        faults.push(Fault { place: block.place, what });
    }
    let replica_block = blocks.iter().find(|b| b.kind == "replica");
    let replica = replica_block.map(|b| replica(b, &mut faults));
    if let Some(block) = replica_block.filter(|_| exchange.is_none()) {
        let what = "copies are kept by other fronts: they need a section exchange".into();
        faults.push(Fault { place: block.place, what });
    }
    let agreement_block = blocks.iter().find(|b| b.kind == "agreement");
    let patience = classes.iter().map(|c| c.patience).max().unwrap_or(0);
    let agreement = agreement_block.map(|b| agreement(b, patience, &mut faults));
    if let Some(block) = agreement_block.filter(|_| exchange.is_none()) {
        let what = "fronts agree over the exchange: they need a section exchange".into();
        faults.push(Fault { place: block.place, what });
    }

    let zones: Vec<String> =
        f.lines("zones", 1, 64).iter().flat_map(|l| l.values.iter().map(|w| w.text.clone())).collect();
    let zone = f.with("zone", "zone of these settings", |t| zones.iter().position(|z| z == t));
    let zone = f.need("zone", zone);
    let mut gauges = Vec::new();
    for word in f.lines("gauges", 1, 4).into_iter().flat_map(|l| &l.values) {
        match word.text.as_str() {
            "streams" => gauges.push(Gauge::Streams),
            "link-capped" => gauges.push(Gauge::LinkCapped),
            "link" => gauges.push(Gauge::Link),
            "uplink" => gauges.push(Gauge::Uplink),
            other => f.fault(word.place, format!("'{other}' is none of streams, link-capped, link, uplink")),
        }
    }
    let address = "address such as 127.0.0.1:8080";
    let listen = f.parsed("listen", address);
    let inventory = f.word("inventory").map(|w| PathBuf::from(&w.text));
    let (racks, cells) = (f.parsed("racks", "whole number"), f.parsed("cells", "whole number"));
    let (racks, cells) = (f.need("racks", racks), f.need("cells", cells));
    let names = InventoryNames { zones, kinds, cells };
    let name = f.word("name").map(|w| w.text.clone());
    let config = Config {
        name: f.need("name", name),
        listen: f.need("listen", listen.map(Some)).unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        admin: f.parsed("admin", address).unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        admin_key: f.word("admin-key").map(|w| w.text.clone()),
        state_dir: f.word("state-dir").map(|w| PathBuf::from(&w.text)),
        inventory: f.need("inventory", inventory),
        inventory_poll: f.time("inventory-poll").unwrap_or(100 * MS).max(10 * MS),
        log: f
            .with("log", "form of log, text or json", |t| match t {
                "text" => Some(LogForm::Text),
                "json" => Some(LogForm::Json),
                _ => None,
            })
            .unwrap_or(LogForm::Text),
        limits: Limits {
            connections: f.parsed("max-connections", "whole number").unwrap_or(16_384),
            waiting: f.parsed("max-waiting", "whole number").unwrap_or(4_096),
            sessions: f.parsed("max-sessions", "whole number").unwrap_or(65_536),
            body: f.parsed("max-body", "number of bytes").unwrap_or(64 << 10),
            head: f.parsed("max-head", "number of bytes").unwrap_or(16 << 10).max(8 << 10),
            head_time: f.time("head-time").unwrap_or(5 * SECOND),
            body_time: f.time("body-time").unwrap_or(5 * SECOND),
        },
        exchange,
        holds: fleet.holds,
        connect_time: f.time("connect-time").unwrap_or(250 * MS),
        close_grace: f.time("close-grace").unwrap_or(40 * MS),
        answer_margin: f.time("answer-margin").unwrap_or(250 * MS),
        lenient_if_match: f
            .with("if-match", "way to take If-Match, strict or lenient", |t| match t {
                "lenient" => Some(true),
                "strict" => Some(false),
                _ => None,
            })
            .unwrap_or(true),
        decisions: Settings {
            fronts: f.parsed("fronts", "whole number").unwrap_or(1),
            zone: ZoneId(zone as u16),
            classes: library,
            tenants: shares,
            over_share_worth: fleet.over_share_worth,
            ladder: fleet.ladder,
            kind_max_streams: kind_streams,
            racks,
            cells,
            uplink_kb: fleet.uplink_kb,
            kb_per_weight: fleet.kb_per_weight,
            all_links_kb: fleet.all_links_kb,
            shared_stream_share: fleet.join,
            link_refusal_threshold: fleet.refuses_from,
            notification_delay: fleet.seen_after,
            switch_cost_s: fleet.switch_cost_s,
            gauges,
            // Else what it knows comes with answers, event streams and the duties' readings.
            probes: duties.as_ref().is_some_and(|d| d.ask),
            send_retry_after: fleet.advice,
            max_retry_after: fleet.max_advice,
            max_attempts: fleet.max_attempts,
            connection_idle_timeout: 0,
            list_on_request: false,
            min_event_interval: f.time("step").unwrap_or(MS),
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
    faults.extend(f.end());
    if faults.is_empty() {
        let first = blocks[0].place;
        if let Err(e) = config.decisions.validate() {
            faults.push(Fault { place: first, what: e.0 });
        }
        if !config.admin.ip().is_loopback() && config.admin_key.is_none() {
            faults
                .push(Fault { place: first, what: "an 'admin' beyond loopback needs an 'admin-key'".into() });
        }
        let fronts = config.decisions.fronts as usize;
        if let Some((block, r)) = replica_block.zip(config.replica).filter(|(_, r)| r.copies >= fronts) {
            let what = format!("{} copies need more fronts than the {fronts} of 'fronts'", r.copies);
            faults.push(Fault { place: block.place, what });
        }
        let votes = config.agreement.as_ref().is_some_and(|a| a.voters.contains(&config.name));
        if let Some(block) = agreement_block.filter(|_| votes && config.state_dir.is_none()) {
            let what = "this front votes: it needs a 'state-dir' for what it promised".into();
            faults.push(Fault { place: block.place, what });
        }
        if config.limits.waiting == 0 || config.limits.connections == 0 || config.limits.sessions == 0 {
            faults.push(Fault {
                place: first,
                what: "max-connections, max-waiting and max-sessions are above 0".into(),
            });
        }
    }
    faults.sort_by_key(|f| (f.place.file, f.place.line, f.place.column));
    if faults.is_empty() { Ok(config) } else { Err(Faults { source, faults }) }
}

#[cfg(test)]
mod tests;
