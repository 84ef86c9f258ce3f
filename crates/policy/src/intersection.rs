//! The tighter of two policies: what everyone goes by in the middle of a change.
//!
//! While some fronts have taken a step and others have not, two documents are in force in the fleet. Nothing goes wrong as
//! long as one of them lies within the other: what adds up over the fleet then adds up to no more than the wider allows.
//! Two documents that an operator writes one after the other seldom lie so; the tighter of both lies within both.

use crate::policy::{Fixed, Policy, fixed};
use pepperhook::{DedupScope, Idempotency, RetryBudget, Time};
use pepperhook_settings::{FleetClass, FleetSettings};

/// How the tighter value of a figure is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The lower.
    Lower,
    /// The lower; 0 stands for no bound.
    LowerOr0,
    /// The higher.
    Higher,
    /// A rule of its own, see `docs/policy.md`.
    Own,
    /// It may not differ.
    Fixed,
    /// That of the standing policy: the figure neither adds up over the fleet nor contradicts itself between fronts.
    Old,
}

/// The rule of each figure, by section and keyword as settings have them.
pub const RULES: [(&str, &str, Rule); 35] = [
    ("", "uplink-kb", Rule::Lower),
    ("", "kb-per-weight", Rule::LowerOr0),
    ("", "all-links-kb", Rule::LowerOr0),
    ("", "join", Rule::Higher),
    ("", "refuses-from", Rule::Old),
    ("", "seen-after", Rule::Old),
    ("", "switch-cost", Rule::Old),
    ("", "advice", Rule::Old),
    ("", "max-advice", Rule::Lower),
    ("", "max-attempts", Rule::Lower),
    ("", "hold-share", Rule::Lower),
    ("", "hold-late", Rule::Lower),
    ("", "max-peaks", Rule::Lower),
    ("ladder", "rung", Rule::Old),
    ("class", "aim", Rule::Lower),
    ("class", "patience", Rule::Lower),
    ("class", "repeat", Rule::Own),
    ("class", "value", Rule::Old),
    ("class", "scale", Rule::Old),
    ("class", "floor", Rule::Higher),
    ("class", "top", Rule::Own),
    ("class", "seats", Rule::LowerOr0),
    ("class", "live", Rule::Fixed),
    ("class", "ingest", Rule::Fixed),
    ("class", "closed", Rule::Own),
    ("tenant", "quota", Rule::Lower),
    ("rules", "cold-share", Rule::Lower),
    ("rules", "cold", Rule::Higher),
    ("rules", "fall-multiple", Rule::Lower),
    ("rules", "fall-window", Rule::Lower),
    ("rules", "budget", Rule::Own),
    ("prices", "moved", Rule::Old),
    ("prices", "cross-zone", Rule::Old),
    ("prices", "probe", Rule::Old),
    ("prices", "over-share-worth", Rule::Old),
];

/// The lower of two bounds of which 0 is none.
fn bound<T: PartialOrd + Default + Copy>(a: T, b: T) -> T {
    let none = T::default();
    if a == none || (b != none && b < a) { b } else { a }
}

fn within_bound<T: PartialOrd + Default + Copy>(a: T, b: T) -> bool {
    b == T::default() || (a != T::default() && a <= b)
}

/// Zones and cells cut the nodes up in different ways: what may be repeated in both is not known to be the same node's.
fn repeat(a: Idempotency, b: Idempotency) -> Idempotency {
    match (a, b) {
        (Idempotency::Idempotent, other) | (other, Idempotency::Idempotent) => other,
        (Idempotency::AtMostOnce, _) | (_, Idempotency::AtMostOnce) => Idempotency::AtMostOnce,
        (Idempotency::Deduplicated(g, s), Idempotency::Deduplicated(h, t)) => match (g, h) {
            (DedupScope::All, group) | (group, DedupScope::All) => Idempotency::Deduplicated(group, s.min(t)),
            _ if g == h => Idempotency::Deduplicated(g, s.min(t)),
            _ => Idempotency::AtMostOnce,
        },
    }
}

/// Over windows of different length the shares of sessions cannot be compared, the free attempts can: as many in the
/// longer window are no more in the shorter.
fn budget(a: Option<RetryBudget>, b: Option<RetryBudget>) -> Option<RetryBudget> {
    match (a, b) {
        (None, other) | (other, None) => other,
        (Some(a), Some(b)) => Some(RetryBudget {
            min_retries: a.min_retries.min(b.min_retries),
            retry_ratio: if a.window == b.window { a.retry_ratio.min(b.retry_ratio) } else { 0.0 },
            window: a.window.max(b.window),
        }),
    }
}

fn class(old: &FleetClass, new: &FleetClass) -> FleetClass {
    let mut both = old.clone();
    both.front.patience = old.front.patience.min(new.front.patience);
    both.class.set_up_target = old.class.set_up_target.min(new.class.set_up_target);
    both.class.idempotency = repeat(old.class.idempotency, new.class.idempotency);
    both.class.max_sessions_per_title =
        bound(old.class.max_sessions_per_title, new.class.max_sessions_per_title);
    both.class.lowest_rung = old.class.lowest_rung.max(new.class.lowest_rung);
    both.class.highest_rung = old.class.highest_rung.min(new.class.highest_rung);
    both.front.closed = old.front.closed || new.front.closed;
    if both.class.lowest_rung > both.class.highest_rung {
        // No rung is allowed by both: the class takes nothing new until the second step.
        both.class.highest_rung = both.class.lowest_rung;
        both.front.closed = true;
    }
    both
}

/// The policy under which nothing that adds up over the fleet exceeds either of two, and nothing contradicts either.
///
/// A class that only the old one has is closed, one that only the new one has is not there yet.
///
/// # Errors
/// They differ in what may not change while fronts run, or the outcome has no text of its own.
pub fn tighter(old: &Policy, new: &Policy) -> Result<Policy, Fixed> {
    let (a, b) = (old.fleet(), new.fleet());
    fixed(a, b)?;
    let of_class = |was: &FleetClass| {
        let mut closed = was.clone();
        closed.front.closed = true;
        b.classes.iter().find(|c| c.front.name == was.front.name).map_or(closed, |is| class(was, is))
    };
    let mut tenants = a.tenants.clone();
    for (name, tenant) in &mut tenants {
        let other = b.tenants.iter().find(|(n, _)| n == name).map_or(0.0, |(_, t)| t.quota_per_s);
        tenant.quota_per_s = tenant.quota_per_s.min(other);
    }
    let mut both = FleetSettings {
        classes: a.classes.iter().map(of_class).collect(),
        tenants,
        uplink_kb: a.uplink_kb.min(b.uplink_kb),
        kb_per_weight: bound(a.kb_per_weight, b.kb_per_weight),
        all_links_kb: bound(a.all_links_kb, b.all_links_kb),
        shared_stream_share: a.shared_stream_share.max(b.shared_stream_share),
        max_retry_after: a.max_retry_after.min(b.max_retry_after),
        max_attempts: a.max_attempts.min(b.max_attempts),
        ..a.clone()
    };
    both.reservations.max_share = a.reservations.max_share.min(b.reservations.max_share);
    both.reservations.no_show_after = a.reservations.no_show_after.min(b.reservations.no_show_after);
    both.reservations.max_peaks = a.reservations.max_peaks.min(b.reservations.max_peaks);
    both.rules.cold_share = a.rules.cold_share.min(b.rules.cold_share);
    both.rules.warm_up = a.rules.warm_up.max(b.rules.warm_up);
    both.rules.overload_multiple = a.rules.overload_multiple.min(b.rules.overload_multiple);
    both.rules.overload_window = a.rules.overload_window.min(b.rules.overload_window);
    both.rules.retry_budget = budget(a.rules.retry_budget, b.rules.retry_budget);
    Policy::from_fleet(&both)
        .map_err(|e| Fixed { field: "the policy of the first step".into(), why: e.to_string() })
}

fn within_repeat(a: Idempotency, b: Idempotency) -> bool {
    match (a, b) {
        (Idempotency::AtMostOnce, _) | (_, Idempotency::Idempotent) => true,
        (Idempotency::Deduplicated(g, s), Idempotency::Deduplicated(h, t)) => {
            (g == h || h == DedupScope::All) && s <= t
        }
        _ => false,
    }
}

fn within_budget(a: Option<RetryBudget>, b: Option<RetryBudget>) -> bool {
    let (Some(a), Some(b)) = (a, b) else { return b.is_none() };
    let share = if a.window == b.window { a.retry_ratio <= b.retry_ratio } else { a.retry_ratio == 0.0 };
    a.min_retries <= b.min_retries && share && a.window >= b.window
}

fn within_class(a: &FleetClass, b: &FleetClass) -> bool {
    let range = a.class.lowest_rung >= b.class.lowest_rung && a.class.highest_rung <= b.class.highest_rung;
    a.class.set_up_target <= b.class.set_up_target
        && a.front.patience <= b.front.patience
        && within_repeat(a.class.idempotency, b.class.idempotency)
        && within_bound(a.class.max_sessions_per_title, b.class.max_sessions_per_title)
        && (a.front.closed || (range && !b.front.closed))
}

/// Whether one policy allows no more than another, in all that adds up over the fleet or could contradict.
#[must_use]
pub fn within(one: &Policy, other: &Policy) -> bool {
    let (a, b) = (one.fleet(), other.fleet());
    let lower = |x: f64, y: f64| x <= y;
    let sooner = |x: Time, y: Time| x <= y;
    fixed(a, b).is_ok()
        && a.classes.iter().all(|c| {
            let there = b.classes.iter().find(|o| o.front.name == c.front.name);
            there.map_or(c.front.closed, |there| within_class(c, there))
        })
        && a.tenants.iter().all(|(name, t)| {
            let there = b.tenants.iter().find(|(n, _)| n == name).map_or(0.0, |(_, t)| t.quota_per_s);
            t.quota_per_s <= there
        })
        && lower(a.uplink_kb, b.uplink_kb)
        && within_bound(a.kb_per_weight, b.kb_per_weight)
        && within_bound(a.all_links_kb, b.all_links_kb)
        && lower(b.shared_stream_share, a.shared_stream_share)
        && sooner(a.max_retry_after, b.max_retry_after)
        && a.max_attempts <= b.max_attempts
        && lower(a.reservations.max_share, b.reservations.max_share)
        && sooner(a.reservations.no_show_after, b.reservations.no_show_after)
        && a.reservations.max_peaks <= b.reservations.max_peaks
        && lower(a.rules.cold_share, b.rules.cold_share)
        && sooner(b.rules.warm_up, a.rules.warm_up)
        && lower(a.rules.overload_multiple, b.rules.overload_multiple)
        && sooner(a.rules.overload_window, b.rules.overload_window)
        && within_budget(a.rules.retry_budget, b.rules.retry_budget)
}

/// Whether both may be in force in the fleet at one moment: one lies within the other.
#[must_use]
pub fn neighbours(one: &Policy, other: &Policy) -> bool {
    within(one, other) || within(other, one)
}
