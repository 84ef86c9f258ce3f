//! The settings that are the same for all fronts; `crates/policy` agrees on them. They have the same keywords and are
//! read by the same code as in a front's file. Addresses, files, limits and the names used in the list of nodes are
//! settings of each front and are not included.

use crate::section::SectionReader;
use crate::syntax::{Loader, Section};
use crate::{
    ClassSettings, Config, MS, ReservationSettings, SECOND, SettingsError, SettingsErrors, named_sections,
    read_class, read_rules,
};
use pepperhook::{
    Class, DedupScope, Idempotency, Prices, RetryBudget, Rules, Rung, Settings, Tenant, Time, ZoneId,
};
use std::fmt::Write;

/// A class: its settings in the front and in the decision module.
#[derive(Clone, Debug)]
pub struct FleetClass {
    /// Settings that the front uses.
    pub front: ClassSettings,
    /// Settings that the decision module uses.
    pub class: Class,
}

/// Settings that are the same for all fronts.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Classes, in the order of [`Settings::classes`].
    pub classes: Vec<FleetClass>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<(String, Tenant)>,
    /// Worth of a session beyond its tenant's share, as a fraction of the usual worth.
    pub over_share_worth: f64,
    /// The ladder, lowest rung first.
    pub ladder: Vec<Rung>,
    /// Parameters of the placement rules and the retry budget.
    pub rules: Rules,
    /// Prices of moves, zone crossings and probes.
    pub prices: Prices,
    /// Mean uplink capacity of a rack, kB a second.
    pub uplink_kb: f64,
    /// Link capacity of a server for each unit of its weight, kB a second; 0 if unknown.
    pub kb_per_weight: f64,
    /// Capacity of all links together, kB a second; 0 if unknown.
    pub all_links_kb: f64,
    /// Rate that a further viewer adds to a shared live stream, as a fraction of its full rate.
    pub shared_stream_share: f64,
    /// Utilisation of its link at which a server refuses set-ups; 0: never.
    pub link_refusal_threshold: f64,
    /// Delay of notifications from servers, nanoseconds.
    pub notification_delay: Time,
    /// Cost of a change of rung, in seconds of worth.
    pub switch_cost_s: f64,
    /// Refused viewers get a retry-after time.
    pub send_retry_after: bool,
    /// Longest retry-after time, nanoseconds.
    pub max_retry_after: Time,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Limits of the capacity reserved for announced peaks.
    pub reservations: ReservationSettings,
}

/// Keywords before any section that each front sets for itself, or that may not change while fronts run.
const FRONT_KEYWORDS: [&str; 26] = [
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

/// Error for settings without a section `rules`, which has no defaults.
const MISSING_RULES: &str = "these settings have no section rules, such as: section rules / cold-share 0.4 / cold 12s / \
    fall-multiple 2.5 / fall-window 2s";

/// Formats a time in the largest unit that divides it, in the form that the settings are read in.
#[must_use]
pub fn format_duration(time: Time) -> String {
    const UNITS: [(Time, &str); 4] = [(60 * SECOND, "m"), (SECOND, "s"), (MS, "ms"), (1_000, "us")];
    match UNITS.iter().find(|(unit, _)| time >= *unit && time % unit == 0) {
        Some((unit, name)) => format!("{}{name}", time / unit),
        None => format!("{time}ns"),
    }
}

/// Quotes a value if it would not be read back as one value.
fn quoted(word: &str) -> String {
    if !word.is_empty() && !word.contains(|c: char| c.is_whitespace() || matches!(c, '#' | '"' | '\\')) {
        return word.to_owned();
    }
    format!("\"{}\"", word.replace('\\', "\\\\").replace('"', "\\\""))
}

fn yes_no(value: bool) -> String {
    if value { "yes".into() } else { "no".into() }
}

fn format_repeat(repeat: Idempotency) -> String {
    let (scope, span) = match repeat {
        Idempotency::Idempotent => return "harmless".into(),
        Idempotency::AtMostOnce => return "never".into(),
        Idempotency::Deduplicated(DedupScope::All, span) => ("all", span),
        Idempotency::Deduplicated(DedupScope::Zone, span) => ("zone", span),
        Idempotency::Deduplicated(DedupScope::Cell, span) => ("cell", span),
    };
    format!("within {scope} {}", format_duration(span))
}

/// A section to be written: kind, name, and keywords with their values.
type WrittenSection = (&'static str, Option<String>, Vec<(&'static str, String)>);

impl FleetSettings {
    /// Reads the fleet's settings from text. Includes and the keywords and sections of a single front are errors.
    ///
    /// # Errors
    /// All errors, with their positions.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsErrors> {
        let Loader { sources, sections, mut errors, .. } = Loader::without_includes(name, text);
        const KINDS: [&str; 5] = ["ladder", "class", "tenant", "rules", "prices"];
        for section in sections.iter().skip(1).filter(|s| !KINDS.contains(&s.kind.as_str())) {
            let message = format!(
                "section '{}' does not belong in a policy; expected one of: {}",
                section.kind,
                KINDS.join(", ")
            );
            errors.push(SettingsError { position: section.position, message });
        }
        // Keywords of a front get an error of their own, because 'unknown keyword' would suggest a misspelling.
        let mut head = sections[0].clone();
        head.lines.retain(|line| {
            let is_front_keyword = FRONT_KEYWORDS.contains(&line.keyword.text.as_str());
            if is_front_keyword {
                let message = format!(
                    "'{}' is no part of a policy: it is a front's own, or fixed while fronts run",
                    line.keyword.text
                );
                errors.push(SettingsError { position: line.keyword.position, message });
            }
            !is_front_keyword
        });
        let mut reader = SectionReader::new(&head);
        let fleet = Self::read(&sections, &mut reader, &mut errors);
        errors.extend(reader.finish());
        if errors.is_empty() {
            if let Err(message) = fleet.validate() {
                errors.push(SettingsError { position: sections[0].position, message });
            }
        }
        errors.sort_by_key(|e| (e.position.file, e.position.line, e.position.column));
        if errors.is_empty() { Ok(fleet) } else { Err(SettingsErrors { sources, errors }) }
    }

    /// Reads the fleet's settings from `sections`; `reader` reads the lines before the first section.
    pub(crate) fn read(
        sections: &[Section],
        reader: &mut SectionReader,
        errors: &mut Vec<SettingsError>,
    ) -> Self {
        let mut ladder = Vec::new();
        for section in sections.iter().filter(|s| s.kind == "ladder") {
            let mut reader = SectionReader::new(section);
            for line in reader.lines("rung", 2, 2) {
                match (line.values[0].text.parse(), line.values[1].text.parse()) {
                    (Ok(kb), Ok(worth)) => ladder.push(Rung { kb, worth }),
                    _ => reader.error(
                        line.values[0].position,
                        "expected: rung KB-A-SECOND WORTH, two numbers, such as: rung 600 1",
                    ),
                }
            }
            errors.extend(reader.finish());
        }
        let highest = u8::try_from(ladder.len().saturating_sub(1)).unwrap_or(u8::MAX);
        let mut classes = Vec::new();
        for (_, section) in named_sections(sections, "class", errors) {
            let (front, mut class) = read_class(section, errors);
            class.highest_rung = class.highest_rung.min(highest);
            classes.push(FleetClass { front, class });
        }
        let mut tenants = Vec::new();
        for (name, section) in named_sections(sections, "tenant", errors) {
            let mut reader = SectionReader::new(section);
            tenants.push((name, Tenant { quota_per_s: reader.number("quota").unwrap_or(0.0) }));
            errors.extend(reader.finish());
        }
        let rules = match sections.iter().find(|s| s.kind == "rules") {
            Some(section) => read_rules(section, errors),
            None => {
                errors.push(SettingsError { position: sections[0].position, message: MISSING_RULES.into() });
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
        for section in sections.iter().filter(|s| s.kind == "prices") {
            let mut reader = SectionReader::new(section);
            prices.session_move = reader.number("moved").unwrap_or(0.0);
            prices.cross_zone = reader.number("cross-zone").unwrap_or(0.0);
            prices.probe = reader.number("probe").unwrap_or(0.0);
            over_share_worth = reader.number("over-share-worth").unwrap_or(1.0);
            errors.extend(reader.finish());
        }
        let uplink = reader.number("uplink-kb");
        Self {
            classes,
            tenants,
            over_share_worth,
            ladder,
            rules,
            prices,
            uplink_kb: reader.require("uplink-kb", uplink),
            kb_per_weight: reader.number("kb-per-weight").unwrap_or(0.0),
            all_links_kb: reader.number("all-links-kb").unwrap_or(0.0),
            shared_stream_share: reader.number("join").unwrap_or(1.0),
            link_refusal_threshold: reader.number("refuses-from").unwrap_or(0.0),
            notification_delay: reader.time("seen-after").unwrap_or(0),
            switch_cost_s: reader.number("switch-cost").unwrap_or(0.0),
            send_retry_after: reader.boolean("advice").unwrap_or(true),
            max_retry_after: reader.time("max-advice").unwrap_or(SECOND),
            max_attempts: reader.parse("max-attempts", "whole number").unwrap_or(3),
            reservations: ReservationSettings {
                max_share: reader.number("hold-share").unwrap_or(0.5).min(1.0),
                no_show_after: reader.time("hold-late").unwrap_or(60 * SECOND),
                max_peaks: reader.parse("max-peaks", "whole number").unwrap_or(64),
            },
        }
    }

    /// Checks the values for consistency, as a front's settings are checked.
    ///
    /// # Errors
    /// Names the first inconsistent value.
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
        self.apply_to(settings).validate().map_err(|e| e.0)
    }

    /// The decision module's settings with the fleet's values replaced by these.
    fn apply_to(&self, settings: Settings) -> Settings {
        Settings {
            classes: self.classes.iter().map(|c| c.class.clone()).collect(),
            tenants: self.tenants.iter().map(|(_, t)| t.clone()).collect(),
            over_share_worth: self.over_share_worth,
            ladder: self.ladder.clone(),
            uplink_kb: self.uplink_kb,
            kb_per_weight: self.kb_per_weight,
            all_links_kb: self.all_links_kb,
            shared_stream_share: self.shared_stream_share,
            link_refusal_threshold: self.link_refusal_threshold,
            notification_delay: self.notification_delay,
            switch_cost_s: self.switch_cost_s,
            send_retry_after: self.send_retry_after,
            max_retry_after: self.max_retry_after,
            max_attempts: self.max_attempts,
            prices: self.prices,
            rules: self.rules,
            ..settings
        }
    }

    fn sections(&self) -> Vec<WrittenSection> {
        let mut out: Vec<WrittenSection> = vec![(
            "",
            None,
            vec![
                ("uplink-kb", self.uplink_kb.to_string()),
                ("kb-per-weight", self.kb_per_weight.to_string()),
                ("all-links-kb", self.all_links_kb.to_string()),
                ("join", self.shared_stream_share.to_string()),
                ("refuses-from", self.link_refusal_threshold.to_string()),
                ("seen-after", format_duration(self.notification_delay)),
                ("switch-cost", self.switch_cost_s.to_string()),
                ("advice", yes_no(self.send_retry_after)),
                ("max-advice", format_duration(self.max_retry_after)),
                ("max-attempts", self.max_attempts.to_string()),
                ("hold-share", self.reservations.max_share.to_string()),
                ("hold-late", format_duration(self.reservations.no_show_after)),
                ("max-peaks", self.reservations.max_peaks.to_string()),
            ],
        )];
        let rungs = self.ladder.iter().map(|r| ("rung", format!("{} {}", r.kb, r.worth)));
        out.push(("ladder", None, rungs.collect()));
        for FleetClass { front, class } in &self.classes {
            let lines = vec![
                ("aim", format_duration(class.set_up_target)),
                ("patience", format_duration(front.patience)),
                ("repeat", format_repeat(class.idempotency)),
                ("value", class.value.to_string()),
                ("scale", class.rate_scale.to_string()),
                ("floor", class.lowest_rung.to_string()),
                ("top", class.highest_rung.to_string()),
                ("seats", class.max_sessions_per_title.to_string()),
                ("live", yes_no(class.live)),
                ("ingest", yes_no(front.ingest)),
                ("closed", yes_no(front.closed)),
            ];
            out.push(("class", Some(front.name.clone()), lines));
        }
        for (name, tenant) in &self.tenants {
            out.push(("tenant", Some(name.clone()), vec![("quota", tenant.quota_per_s.to_string())]));
        }
        let mut lines = vec![
            ("cold-share", self.rules.cold_share.to_string()),
            ("cold", format_duration(self.rules.warm_up)),
            ("fall-multiple", self.rules.overload_multiple.to_string()),
            ("fall-window", format_duration(self.rules.overload_window)),
        ];
        if let Some(RetryBudget { min_retries: free, retry_ratio: share, window }) = self.rules.retry_budget {
            lines.push(("budget", format!("{free} {share} {}", format_duration(window))));
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

    /// Writes all values in a fixed order, in the form that [`Self::parse`] reads.
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

    /// Each value with a name for people, such as `class replay: aim`.
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
    /// The settings that are the same for all fronts.
    #[must_use]
    pub fn fleet_settings(&self) -> FleetSettings {
        let d = &self.decisions;
        let classes = self.classes.iter().zip(&d.classes);
        FleetSettings {
            classes: classes.map(|(o, c)| FleetClass { front: o.clone(), class: c.clone() }).collect(),
            tenants: self.tenants.iter().cloned().zip(d.tenants.iter().cloned()).collect(),
            over_share_worth: d.over_share_worth,
            ladder: d.ladder.clone(),
            rules: d.rules,
            prices: d.prices,
            uplink_kb: d.uplink_kb,
            kb_per_weight: d.kb_per_weight,
            all_links_kb: d.all_links_kb,
            shared_stream_share: d.shared_stream_share,
            link_refusal_threshold: d.link_refusal_threshold,
            notification_delay: d.notification_delay,
            switch_cost_s: d.switch_cost_s,
            send_retry_after: d.send_retry_after,
            max_retry_after: d.max_retry_after,
            max_attempts: d.max_attempts,
            reservations: self.reservations,
        }
    }

    /// These settings with the fleet's settings replaced. Titles and tokens keep their class and tenant by name.
    ///
    /// # Errors
    /// Why this front cannot use `fleet`: a title or a token refers to a class or tenant that it lacks, or the values
    /// are inconsistent with this front's own.
    pub fn with_fleet_settings(&self, fleet: &FleetSettings) -> Result<Self, String> {
        let mut config = self.clone();
        for (name, title) in &mut config.titles {
            let class = self.classes.get(usize::from(title.class)).map_or("", |c| c.name.as_str());
            let Some(at) = fleet.classes.iter().position(|c| c.front.name == class) else {
                return Err(format!("title {name} is of class {class}, which the policy does not have"));
            };
            title.class = u16::try_from(at).map_err(|_| "the policy has too many classes".to_owned())?;
        }
        for token in &mut config.tokens {
            let tenant = self.tenants.get(usize::from(token.tenant)).map_or("", String::as_str);
            // Without tenants, tokens have none.
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
        config.classes = fleet.classes.iter().map(|c| c.front.clone()).collect();
        config.tenants = fleet.tenants.iter().map(|(n, _)| n.clone()).collect();
        config.reservations = fleet.reservations;
        config.decisions = fleet.apply_to(config.decisions);
        config.decisions.validate().map_err(|e| e.0)?;
        Ok(config)
    }
}
