//! Problem details (RFC 9457).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Media type of problem details.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// An error's body. Members beyond the document's own are extensions (RFC 9457, 3.2).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// A `urn` of the project's that names the kind.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind in words, the same each time.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What it was this time.
    pub detail: String,
    /// Extension: the exact advice when to come again, milliseconds; `Retry-After` holds it in whole seconds.
    #[serde(rename = "retry-after-ms", skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Further extension members.
    #[serde(flatten)]
    pub more: BTreeMap<String, serde_json::Value>,
}

impl Problem {
    /// A problem of the kind `urn:pepperhook:problem:<name>`.
    #[must_use]
    pub fn new(status: u16, name: &str, title: &str, detail: impl Into<String>) -> Self {
        let kind = format!("urn:pepperhook:problem:{name}");
        Self {
            kind,
            title: title.to_owned(),
            status,
            detail: detail.into(),
            retry_after_ms: None,
            more: BTreeMap::new(),
        }
    }

    /// With advice when to come again.
    #[must_use]
    pub fn after(mut self, advice_ms: u64) -> Self {
        self.retry_after_ms = Some(advice_ms);
        self
    }

    /// With an extension member.
    #[must_use]
    pub fn with(mut self, name: &str, value: serde_json::Value) -> Self {
        self.more.insert(name.to_owned(), value);
        self
    }

    /// `Retry-After` in whole seconds, rounded up (RFC 9110, 10.2.3).
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1000).max(1))
    }

    /// The body as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::Problem;

    #[test]
    fn advice_is_rounded_up_and_kept_exactly() {
        let p = Problem::new(503, "refused", "Refused", "no room").after(1_250);
        assert_eq!(p.retry_after_s(), Some(2));
        let v: serde_json::Value = serde_json::from_slice(&p.to_json()).expect("JSON");
        assert_eq!((v["retry-after-ms"].as_u64(), v["status"].as_u64()), (Some(1250), Some(503)));
        assert_eq!(v["type"], "urn:pepperhook:problem:refused");
    }
}
