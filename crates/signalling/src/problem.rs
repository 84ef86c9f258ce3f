//! Problem details: the JSON bodies of HTTP error responses (RFC 9457).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Media type of problem details.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// Body of an error response. Members that RFC 9457 does not define are extensions (3.2).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// URN that identifies the kind of problem, `urn:pepperhook:problem:<name>`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short summary, the same for each problem of the kind.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Explanation of this occurrence.
    pub detail: String,
    /// Extension: time to wait before a retry, in milliseconds; `Retry-After` has it in whole seconds.
    #[serde(rename = "retry-after-ms", skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Further extension members.
    #[serde(flatten)]
    pub extensions: BTreeMap<String, serde_json::Value>,
}

impl Problem {
    /// Creates a problem of the kind `urn:pepperhook:problem:<name>`.
    #[must_use]
    pub fn new(status: u16, name: &str, title: &str, detail: impl Into<String>) -> Self {
        let kind = format!("urn:pepperhook:problem:{name}");
        Self {
            kind,
            title: title.to_owned(),
            status,
            detail: detail.into(),
            retry_after_ms: None,
            extensions: BTreeMap::new(),
        }
    }

    /// Sets the time to wait before a retry, in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(mut self, delay_ms: u64) -> Self {
        self.retry_after_ms = Some(delay_ms);
        self
    }

    /// Adds an extension member.
    #[must_use]
    pub fn with(mut self, name: &str, value: serde_json::Value) -> Self {
        self.extensions.insert(name.to_owned(), value);
        self
    }

    /// Value of `Retry-After`: whole seconds, rounded up, at least 1 (RFC 9110, 10.2.3).
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1000).max(1))
    }

    /// Serialises the body as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::Problem;

    #[test]
    fn the_retry_delay_is_exact_in_the_body_and_rounded_up_in_the_header() {
        let p = Problem::new(503, "refused", "Refused", "no room").with_retry_after_ms(1_250);
        assert_eq!(p.retry_after_s(), Some(2));
        let v: serde_json::Value = serde_json::from_slice(&p.to_json()).expect("JSON");
        assert_eq!((v["retry-after-ms"].as_u64(), v["status"].as_u64()), (Some(1250), Some(503)));
        assert_eq!(v["type"], "urn:pepperhook:problem:refused");
    }
}
