//! The intersection of two policies, which all fronts apply in the first step of a change.
//!
//! While some fronts have taken a step and others have not, two policies are in force in the fleet. This is safe if one of
//! them is within the other, that is, allows no more: the sums over all fronts then stay within what the wider one allows.
//! The old and the new policy are seldom like that, but their intersection is within both.

use crate::policy::{ImmutableField, Policy, check_immutable};
use pepperhook::{DedupScope, Idempotency, RetryBudget, Time};
use pepperhook_settings::{FleetClass, FleetSettings};

/// How the intersection takes a setting's value from those of the old and the new policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The lower value.
    Lower,
    /// The lower value; 0 means unlimited.
    LowerOrUnbounded,
    /// The higher value.
    Higher,
    /// A rule for this setting alone; see `docs/policy.md`.
    Custom,
    /// The values must not differ.
    Immutable,
    /// The old value: fronts with different values neither exceed a common limit nor contradict each other.
    KeepOld,
}

/// The rule of each setting, by its section and keyword.
pub const RULES: [(&str, &str, Rule); 35] = [
    ("", "uplink-kb", Rule::Lower),
    ("", "kb-per-weight", Rule::LowerOrUnbounded),
    ("", "all-links-kb", Rule::LowerOrUnbounded),
    ("", "join", Rule::Higher),
    ("", "refuses-from", Rule::KeepOld),
    ("", "seen-after", Rule::KeepOld),
    ("", "switch-cost", Rule::KeepOld),
    ("", "advice", Rule::KeepOld),
    ("", "max-advice", Rule::Lower),
    ("", "max-attempts", Rule::Lower),
    ("", "hold-share", Rule::Lower),
    ("", "hold-late", Rule::Lower),
    ("", "max-peaks", Rule::Lower),
    ("ladder", "rung", Rule::KeepOld),
    ("class", "aim", Rule::Lower),
    ("class", "patience", Rule::Lower),
    ("class", "repeat", Rule::Custom),
    ("class", "value", Rule::KeepOld),
    ("class", "scale", Rule::KeepOld),
    ("class", "floor", Rule::Higher),
    ("class", "top", Rule::Custom),
    ("class", "seats", Rule::LowerOrUnbounded),
    ("class", "live", Rule::Immutable),
    ("class", "ingest", Rule::Immutable),
    ("class", "closed", Rule::Custom),
    ("tenant", "quota", Rule::Lower),
    ("rules", "cold-share", Rule::Lower),
    ("rules", "cold", Rule::Higher),
    ("rules", "fall-multiple", Rule::Lower),
    ("rules", "fall-window", Rule::Lower),
    ("rules", "budget", Rule::Custom),
    ("prices", "moved", Rule::KeepOld),
    ("prices", "cross-zone", Rule::KeepOld),
    ("prices", "probe", Rule::KeepOld),
    ("prices", "over-share-worth", Rule::KeepOld),
];

/// The lower of two limits; 0 means unlimited.
fn lower_limit<T: PartialOrd + Default + Copy>(a: T, b: T) -> T {
    let none = T::default();
    if a == none || (b != none && b < a) { b } else { a }
}

/// Whether limit `a` allows no more than `b`; 0 means unlimited.
fn is_within_limit<T: PartialOrd + Default + Copy>(a: T, b: T) -> bool {
    b == T::default() || (a != T::default() && a <= b)
}

/// The stricter rule for repeating a set-up. Zones and cells partition the nodes differently: two nodes in the same zone may
/// be in different cells, so the intersection of both scopes allows no repetition.
fn stricter_idempotency(a: Idempotency, b: Idempotency) -> Idempotency {
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

/// The stricter retry budget. Ratios over windows of different lengths cannot be compared, so the ratio is 0 then. The least
/// numbers of retries can: a number per longer window is no more per shorter window.
fn stricter_budget(a: Option<RetryBudget>, b: Option<RetryBudget>) -> Option<RetryBudget> {
    match (a, b) {
        (None, other) | (other, None) => other,
        (Some(a), Some(b)) => Some(RetryBudget {
            min_retries: a.min_retries.min(b.min_retries),
            retry_ratio: if a.window == b.window { a.retry_ratio.min(b.retry_ratio) } else { 0.0 },
            window: a.window.max(b.window),
        }),
    }
}

fn intersect_class(old: &FleetClass, new: &FleetClass) -> FleetClass {
    let mut both = old.clone();
    both.front.patience = old.front.patience.min(new.front.patience);
    both.class.set_up_target = old.class.set_up_target.min(new.class.set_up_target);
    both.class.idempotency = stricter_idempotency(old.class.idempotency, new.class.idempotency);
    both.class.max_sessions_per_title =
        lower_limit(old.class.max_sessions_per_title, new.class.max_sessions_per_title);
    both.class.lowest_rung = old.class.lowest_rung.max(new.class.lowest_rung);
    both.class.highest_rung = old.class.highest_rung.min(new.class.highest_rung);
    both.front.closed = old.front.closed || new.front.closed;
    if both.class.lowest_rung > both.class.highest_rung {
        // No rung is allowed by both policies: the class accepts no new sessions until the second step.
        both.class.highest_rung = both.class.lowest_rung;
        both.front.closed = true;
    }
    both
}

/// The intersection of two policies: it is within both (see [`is_within`]).
///
/// A class that only the old one has is closed; one that only the new one has is left out.
///
/// # Errors
/// If they differ in a field that must not change while fronts run, or if the intersection has no valid text.
pub fn intersect(old: &Policy, new: &Policy) -> Result<Policy, ImmutableField> {
    let (a, b) = (old.fleet(), new.fleet());
    check_immutable(a, b)?;
    let of_class = |was: &FleetClass| {
        let mut closed = was.clone();
        closed.front.closed = true;
        b.classes
            .iter()
            .find(|c| c.front.name == was.front.name)
            .map_or(closed, |is| intersect_class(was, is))
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
        kb_per_weight: lower_limit(a.kb_per_weight, b.kb_per_weight),
        all_links_kb: lower_limit(a.all_links_kb, b.all_links_kb),
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
    both.rules.retry_budget = stricter_budget(a.rules.retry_budget, b.rules.retry_budget);
    Policy::from_fleet(&both)
        .map_err(|e| ImmutableField { field: "the policy of the first step".into(), reason: e.to_string() })
}

fn is_idempotency_within(a: Idempotency, b: Idempotency) -> bool {
    match (a, b) {
        (Idempotency::AtMostOnce, _) | (_, Idempotency::Idempotent) => true,
        (Idempotency::Deduplicated(g, s), Idempotency::Deduplicated(h, t)) => {
            (g == h || h == DedupScope::All) && s <= t
        }
        _ => false,
    }
}

fn is_budget_within(a: Option<RetryBudget>, b: Option<RetryBudget>) -> bool {
    let (Some(a), Some(b)) = (a, b) else { return b.is_none() };
    let share = if a.window == b.window { a.retry_ratio <= b.retry_ratio } else { a.retry_ratio == 0.0 };
    a.min_retries <= b.min_retries && share && a.window >= b.window
}

fn is_class_within(a: &FleetClass, b: &FleetClass) -> bool {
    let range = a.class.lowest_rung >= b.class.lowest_rung && a.class.highest_rung <= b.class.highest_rung;
    a.class.set_up_target <= b.class.set_up_target
        && a.front.patience <= b.front.patience
        && is_idempotency_within(a.class.idempotency, b.class.idempotency)
        && is_within_limit(a.class.max_sessions_per_title, b.class.max_sessions_per_title)
        && (a.front.closed || (range && !b.front.closed))
}

/// Whether one policy allows no more than another in every setting that is summed over the fleet or could contradict.
#[must_use]
pub fn is_within(one: &Policy, other: &Policy) -> bool {
    let (a, b) = (one.fleet(), other.fleet());
    let lower = |x: f64, y: f64| x <= y;
    let sooner = |x: Time, y: Time| x <= y;
    check_immutable(a, b).is_ok()
        && a.classes.iter().all(|c| {
            let there = b.classes.iter().find(|o| o.front.name == c.front.name);
            there.map_or(c.front.closed, |there| is_class_within(c, there))
        })
        && a.tenants.iter().all(|(name, t)| {
            let there = b.tenants.iter().find(|(n, _)| n == name).map_or(0.0, |(_, t)| t.quota_per_s);
            t.quota_per_s <= there
        })
        && lower(a.uplink_kb, b.uplink_kb)
        && is_within_limit(a.kb_per_weight, b.kb_per_weight)
        && is_within_limit(a.all_links_kb, b.all_links_kb)
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
        && is_budget_within(a.rules.retry_budget, b.rules.retry_budget)
}

/// Whether two policies may be in force in the fleet at the same time, which is so if one is within the other.
#[must_use]
pub fn can_coexist(one: &Policy, other: &Policy) -> bool {
    is_within(one, other) || is_within(other, one)
}
