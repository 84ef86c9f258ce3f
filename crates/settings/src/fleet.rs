//! The part of the settings that is the fleet's and not one front's: what `crates/policy` agrees on. The same keywords,
//! read by the same reader; addresses, files, bounds and what the list of nodes names stay each front's own.

use crate::section::Fields;
use crate::syntax::{Block, Loader};
use crate::{ClassSettings, Config, Fault, Faults, HoldSettings, MS, SECOND, class, named, rules};
use pepperhook::{
    Class, DedupScope, Idempotency, Prices, RetryBudget, Rules, Rung, Settings, Tenant, Time, ZoneId,
};
use std::fmt::Write;

/// A class: what the front and what the decision module is told of it.
#[derive(Clone, Debug)]
pub struct FleetClass {
    /// Its name, patience and kind.
    pub ours: ClassSettings,
    /// Its aim, rungs and the rest.
    pub class: Class,
}

/// What is the same for every front.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Classes, in the order of [`Settings::classes`].
    pub classes: Vec<FleetClass>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<(String, Tenant)>,
    /// Worth of a session beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// The ladder, lowest rung first.
    pub ladder: Vec<Rung>,
    /// Figures of the rules and the ration of further attempts.
    pub rules: Rules,
    /// Prices.
    pub prices: Prices,
    /// Mean uplink of a rack, kB a second.
    pub uplink_kb: f64,
    /// Link of a server for each unit of its weight, kB a second; 0 if not told.
    pub kb_per_weight: f64,
    /// All links together, kB a second; 0 if not told.
    pub all_links_kb: f64,
    /// What a further viewer adds to a shared live stream, as a part of the rate.
    pub join: f64,
    /// A server turns set-ups away at this use of its link; 0: never.
    pub refuses_from: f64,
    /// How late notes are.
    pub seen_after: Time,
    /// A change of rung costs so many seconds of worth.
    pub switch_cost_s: f64,
    /// Refused viewers are told when to come again.
    pub advice: bool,
    /// The longest advice.
    pub max_advice: Time,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Bounds on announced peaks.
    pub holds: HoldSettings,
}

/// Keywords before any section that are a front's own, or that nobody may change while fronts run.
const OWN: [&str; 26] = [
    "name",
    "listen",
    "admin",
    "admin-key",
    "inventory",
    "inventory-poll",
    "state-dir",
    "log",
    "max-connections",
    "max-waiting",
    "max-sessions",
    "max-body",
    "max-head",
    "head-time",
    "body-time",
    "connect-time",
    "close-grace",
    "answer-margin",
    "if-match",
    "fronts",
    "zones",
    "zone",
    "racks",
    "cells",
    "gauges",
    "step",
];

/// What is wrong where no section has the figures behind the rules; there are no defaults for those.
const MISSING_RULES: &str = "these settings have no section rules, such as: section rules / cold-share 0.4 / cold 12s / \
    fall-multiple 2.5 / fall-window 2s";

/// Writes a time so that it is read as the same one.
#[must_use]
pub fn duration(time: Time) -> String {
    const UNITS: [(Time, &str); 4] = [(60 * SECOND, "m"), (SECOND, "s"), (MS, "ms"), (1_000, "us")];
    match UNITS.iter().find(|(unit, _)| time >= *unit && time % unit == 0) {
        Some((unit, name)) => format!("{}{name}", time / unit),
        None => format!("{time}ns"),
    }
}

/// Writes a word so that it is read as one.
fn quoted(word: &str) -> String {
    if !word.is_empty() && !word.contains(|c: char| c.is_whitespace() || matches!(c, '#' | '"' | '\\')) {
        return word.to_owned();
    }
    format!("\"{}\"", word.replace('\\', "\\\\").replace('"', "\\\""))
}

fn yes(is: bool) -> String {
    if is { "yes".into() } else { "no".into() }
}

fn repeat(repeat: Idempotency) -> String {
    let (group, span) = match repeat {
        Idempotency::Idempotent => return "harmless".into(),
        Idempotency::AtMostOnce => return "never".into(),
        Idempotency::Deduplicated(DedupScope::All, span) => ("all", span),
        Idempotency::Deduplicated(DedupScope::Zone, span) => ("zone", span),
        Idempotency::Deduplicated(DedupScope::Cell, span) => ("cell", span),
    };
    format!("within {group} {}", duration(span))
}

/// A section as it is written: kind, name, keywords with their values.
type Section = (&'static str, Option<String>, Vec<(&'static str, String)>);

impl Fleet {
    /// Reads the fleet's part of the settings from text that stands alone: it includes no files and has nothing in it
    /// that is a front's own.
    ///
    /// # Errors
    /// Every fault, with its place.
    pub fn parse(name: &str, text: &str) -> Result<Self, Faults> {
        let Loader { source, blocks, mut faults, .. } = Loader::alone(name, text);
        const KINDS: [&str; 5] = ["ladder", "class", "tenant", "rules", "prices"];
        for block in blocks.iter().skip(1).filter(|b| !KINDS.contains(&b.kind.as_str())) {
            let what =
                format!("section '{}' is no part of a policy; it has: {}", block.kind, KINDS.join(", "));
            faults.push(Fault { place: block.place, what });
        }
        // Told by name, so that it does not look like a slip of the pen.
        let mut head = blocks[0].clone();
        head.lines.retain(|line| {
            let own = OWN.contains(&line.keyword.text.as_str());
            if own {
                let what = format!(
                    "'{}' is no part of a policy: it is a front's own, or fixed while fronts run",
                    line.keyword.text
                );
                faults.push(Fault { place: line.keyword.place, what });
            }
            !own
        });
        let mut f = Fields::new(&head);
        let fleet = Self::read(&blocks, &mut f, &mut faults);
        faults.extend(f.end());
        if faults.is_empty() {
            if let Err(what) = fleet.validate() {
                faults.push(Fault { place: blocks[0].place, what });
            }
        }
        faults.sort_by_key(|f| (f.place.file, f.place.line, f.place.column));
        if faults.is_empty() { Ok(fleet) } else { Err(Faults { source, faults }) }
    }

    /// Reads the fleet's part of blocks; `f` is the block before any section.
    pub(crate) fn read(blocks: &[Block], f: &mut Fields, faults: &mut Vec<Fault>) -> Self {
        let mut ladder = Vec::new();
        for block in blocks.iter().filter(|b| b.kind == "ladder") {
            let mut f = Fields::new(block);
            for line in f.lines("rung", 2, 2) {
                match (line.values[0].text.parse(), line.values[1].text.parse()) {
                    (Ok(kb), Ok(worth)) => ladder.push(Rung { kb, worth }),
                    _ => f.fault(line.values[0].place, "expected: rung KB-A-SECOND WORTH, two numbers"),
                }
            }
            faults.extend(f.end());
        }
        let highest = u8::try_from(ladder.len().saturating_sub(1)).unwrap_or(u8::MAX);
        let mut classes = Vec::new();
        for (_, block) in named(blocks, "class", faults) {
            let (ours, mut class) = class(block, faults);
            class.highest_rung = class.highest_rung.min(highest);
            classes.push(FleetClass { ours, class });
        }
        let mut tenants = Vec::new();
        for (name, block) in named(blocks, "tenant", faults) {
            let mut f = Fields::new(block);
            tenants.push((name, Tenant { quota_per_s: f.number("quota").unwrap_or(0.0) }));
            faults.extend(f.end());
        }
        let rules = match blocks.iter().find(|b| b.kind == "rules") {
            Some(block) => rules(block, faults),
            None => {
                faults.push(Fault { place: blocks[0].place, what: MISSING_RULES.into() });
                Rules {
                    cold_share: 1.0,
                    warm_up: 1,
                    overload_multiple: 1.0,
                    overload_window: 1,
                    retry_budget: None,
                }
            }
        };
        let (mut prices, mut over_share_worth) = (Prices::default(), 1.0);
        for block in blocks.iter().filter(|b| b.kind == "prices") {
            let mut f = Fields::new(block);
            prices.session_move = f.number("moved").unwrap_or(0.0);
            prices.cross_zone = f.number("cross-zone").unwrap_or(0.0);
            prices.probe = f.number("probe").unwrap_or(0.0);
            over_share_worth = f.number("over-share-worth").unwrap_or(1.0);
            faults.extend(f.end());
        }
        let uplink = f.number("uplink-kb");
        Self {
            classes,
            tenants,
            over_share_worth,
            ladder,
            rules,
            prices,
            uplink_kb: f.need("uplink-kb", uplink),
            kb_per_weight: f.number("kb-per-weight").unwrap_or(0.0),
            all_links_kb: f.number("all-links-kb").unwrap_or(0.0),
            join: f.number("join").unwrap_or(1.0),
            refuses_from: f.number("refuses-from").unwrap_or(0.0),
            seen_after: f.time("seen-after").unwrap_or(0),
            switch_cost_s: f.number("switch-cost").unwrap_or(0.0),
            advice: f.yes("advice").unwrap_or(true),
            max_advice: f.time("max-advice").unwrap_or(SECOND),
            max_attempts: f.parsed("max-attempts", "whole number").unwrap_or(3),
            holds: HoldSettings {
                share: f.number("hold-share").unwrap_or(0.5).min(1.0),
                late: f.time("hold-late").unwrap_or(60 * SECOND),
                most: f.parsed("max-peaks", "whole number").unwrap_or(64),
            },
        }
    }

    /// Checks that the figures agree with one another, as a front's settings are checked.
    ///
    /// # Errors
    /// Names the first figure that is off.
    pub fn validate(&self) -> Result<(), String> {
        let settings = Settings {
            fronts: 1,
            zone: ZoneId(0),
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            ladder: Vec::new(),
            kind_max_streams: vec![1.0],
            racks: 1,
            cells: 1,
            uplink_kb: 1.0,
            kb_per_weight: 0.0,
            all_links_kb: 0.0,
            shared_stream_share: 1.0,
            link_refusal_threshold: 0.0,
            notification_delay: 0,
            switch_cost_s: 0.0,
            gauges: Vec::new(),
            probes: false,
            send_retry_after: true,
            max_retry_after: 0,
            max_attempts: 1,
            list_on_request: false,
            min_event_interval: MS,
            connection_idle_timeout: 0,
            prices: Prices::default(),
            rules: self.rules,
        };
        self.onto(settings).validate().map_err(|e| e.0)
    }

    /// The decision module's settings with these figures in the place of theirs.
    fn onto(&self, settings: Settings) -> Settings {
        Settings {
            classes: self.classes.iter().map(|c| c.class.clone()).collect(),
            tenants: self.tenants.iter().map(|(_, t)| t.clone()).collect(),
            over_share_worth: self.over_share_worth,
            ladder: self.ladder.clone(),
            uplink_kb: self.uplink_kb,
            kb_per_weight: self.kb_per_weight,
            all_links_kb: self.all_links_kb,
            shared_stream_share: self.join,
            link_refusal_threshold: self.refuses_from,
            notification_delay: self.seen_after,
            switch_cost_s: self.switch_cost_s,
            send_retry_after: self.advice,
            max_retry_after: self.max_advice,
            max_attempts: self.max_attempts,
            prices: self.prices,
            rules: self.rules,
            ..settings
        }
    }

    fn sections(&self) -> Vec<Section> {
        let mut out: Vec<Section> = vec![(
            "",
            None,
            vec![
                ("uplink-kb", self.uplink_kb.to_string()),
                ("kb-per-weight", self.kb_per_weight.to_string()),
                ("all-links-kb", self.all_links_kb.to_string()),
                ("join", self.join.to_string()),
                ("refuses-from", self.refuses_from.to_string()),
                ("seen-after", duration(self.seen_after)),
                ("switch-cost", self.switch_cost_s.to_string()),
                ("advice", yes(self.advice)),
                ("max-advice", duration(self.max_advice)),
                ("max-attempts", self.max_attempts.to_string()),
                ("hold-share", self.holds.share.to_string()),
                ("hold-late", duration(self.holds.late)),
                ("max-peaks", self.holds.most.to_string()),
            ],
        )];
        let rungs = self.ladder.iter().map(|r| ("rung", format!("{} {}", r.kb, r.worth)));
        out.push(("ladder", None, rungs.collect()));
        for FleetClass { ours, class } in &self.classes {
            let lines = vec![
                ("aim", duration(class.set_up_target)),
                ("patience", duration(ours.patience)),
                ("repeat", repeat(class.idempotency)),
                ("value", class.value.to_string()),
                ("scale", class.rate_scale.to_string()),
                ("floor", class.lowest_rung.to_string()),
                ("top", class.highest_rung.to_string()),
                ("seats", class.max_sessions_per_title.to_string()),
                ("live", yes(class.live)),
                ("ingest", yes(ours.ingest)),
                ("closed", yes(ours.closed)),
            ];
            out.push(("class", Some(ours.name.clone()), lines));
        }
        for (name, tenant) in &self.tenants {
            out.push(("tenant", Some(name.clone()), vec![("quota", tenant.quota_per_s.to_string())]));
        }
        let mut lines = vec![
            ("cold-share", self.rules.cold_share.to_string()),
            ("cold", duration(self.rules.warm_up)),
            ("fall-multiple", self.rules.overload_multiple.to_string()),
            ("fall-window", duration(self.rules.overload_window)),
        ];
        if let Some(RetryBudget { min_retries: free, retry_ratio: share, window }) = self.rules.retry_budget {
            lines.push(("budget", format!("{free} {share} {}", duration(window))));
        }
        out.push(("rules", None, lines));
        let lines = vec![
            ("moved", self.prices.session_move.to_string()),
            ("cross-zone", self.prices.cross_zone.to_string()),
            ("probe", self.prices.probe.to_string()),
            ("over-share-worth", self.over_share_worth.to_string()),
        ];
        out.push(("prices", None, lines));
        out
    }

    /// Writes it so that it is read as the same: every figure, in one order.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        for (kind, name, lines) in self.sections() {
            if !kind.is_empty() {
                let name = name.map_or_else(String::new, |n| format!(" {}", quoted(&n)));
                // Writing to a string does not fail.
                let _ = writeln!(out, "section {kind}{name}");
            }
            for (keyword, value) in lines {
                let _ = writeln!(out, "{keyword} {value}");
            }
        }
        out
    }

    /// Each figure with the name that a person looks for it by, such as `class replay: aim`.
    #[must_use]
    pub fn figures(&self) -> Vec<(String, String)> {
        let mut out = Vec::new();
        for (kind, name, lines) in self.sections() {
            for (i, (keyword, value)) in lines.into_iter().enumerate() {
                let at = match (kind, &name) {
                    ("", _) => keyword.to_owned(),
                    ("ladder", _) => format!("ladder: rung {i}"),
                    (kind, None) => format!("{kind}: {keyword}"),
                    (kind, Some(name)) => format!("{kind} {name}: {keyword}"),
                };
                out.push((at, value));
            }
        }
        out
    }
}

impl Config {
    /// The fleet's part of these settings.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        let d = &self.decisions;
        let classes = self.classes.iter().zip(&d.classes);
        Fleet {
            classes: classes.map(|(o, c)| FleetClass { ours: o.clone(), class: c.clone() }).collect(),
            tenants: self.tenants.iter().cloned().zip(d.tenants.iter().cloned()).collect(),
            over_share_worth: d.over_share_worth,
            ladder: d.ladder.clone(),
            rules: d.rules,
            prices: d.prices,
            uplink_kb: d.uplink_kb,
            kb_per_weight: d.kb_per_weight,
            all_links_kb: d.all_links_kb,
            join: d.shared_stream_share,
            refuses_from: d.link_refusal_threshold,
            seen_after: d.notification_delay,
            switch_cost_s: d.switch_cost_s,
            advice: d.send_retry_after,
            max_advice: d.max_retry_after,
            max_attempts: d.max_attempts,
            holds: self.holds,
        }
    }

    /// These settings with the fleet's part replaced. Titles and tokens keep their class and tenant by name.
    ///
    /// # Errors
    /// Why this front cannot go by it: a title, a token or a figure of its own that the fleet's part leaves without a
    /// footing.
    pub fn with_fleet(&self, fleet: &Fleet) -> Result<Self, String> {
        let mut config = self.clone();
        for (name, title) in &mut config.titles {
            let class = self.classes.get(usize::from(title.class)).map_or("", |c| c.name.as_str());
            let Some(at) = fleet.classes.iter().position(|c| c.ours.name == class) else {
                return Err(format!("title {name} is of class {class}, which the policy does not have"));
            };
            title.class = u16::try_from(at).map_err(|_| "the policy has too many classes".to_owned())?;
        }
        for token in &mut config.tokens {
            let tenant = self.tenants.get(usize::from(token.tenant)).map_or("", String::as_str);
            // Without tenants a token stands for none.
            if self.tenants.is_empty() {
                continue;
            }
            let Some(at) = fleet.tenants.iter().position(|(n, _)| n == tenant) else {
                return Err(format!(
                    "token {} is of tenant {tenant}, which the policy does not have",
                    token.name
                ));
            };
            token.tenant = u16::try_from(at).map_err(|_| "the policy has too many tenants".to_owned())?;
        }
        config.classes = fleet.classes.iter().map(|c| c.ours.clone()).collect();
        config.tenants = fleet.tenants.iter().map(|(n, _)| n.clone()).collect();
        config.holds = fleet.holds;
        config.decisions = fleet.onto(config.decisions);
        config.decisions.validate().map_err(|e| e.0)?;
        Ok(config)
    }
}
