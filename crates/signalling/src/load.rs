//! ORCA load reports (Open Request Cost Aggregation), sent in the response header `endpoint-load-metrics`.

use std::collections::BTreeMap;

/// Name of the response header that contains a load report.
pub const ORCA_HEADER: &str = "endpoint-load-metrics";
/// Maximum number of metrics kept from a report.
const MAX_METRICS: usize = 32;

/// The metrics of a report by name: those under `named_metrics` and the standard ones, such as `cpu_utilization`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport(pub BTreeMap<String, f64>);

impl LoadReport {
    /// Parses either form, `TEXT a=1,named_metrics.b=2` or `JSON {...}`. Invalid parts are ignored: the report is only
    /// a hint, and a response remains usable without it.
    #[must_use]
    pub fn parse(header: &str) -> Self {
        let mut out = BTreeMap::new();
        let mut insert = |name: &str, value: f64| {
            if value.is_finite() && out.len() < MAX_METRICS {
                out.insert(name.strip_prefix("named_metrics.").unwrap_or(name).to_owned(), value);
            }
        };
        if let Some(json) = header.trim().strip_prefix("JSON") {
            let Ok(serde_json::Value::Object(members)) = serde_json::from_str(json) else { return Self(out) };
            for (name, value) in &members {
                match value {
                    serde_json::Value::Object(named) => {
                        named
                            .iter()
                            .filter_map(|(n, v)| Some((n, v.as_f64()?)))
                            .for_each(|(n, v)| insert(n, v));
                    }
                    value => {
                        value.as_f64().into_iter().for_each(|v| insert(name, v));
                    }
                }
            }
            return Self(out);
        }
        let text = header.trim();
        for pair in text.strip_prefix("TEXT").unwrap_or(text).split(',') {
            if let Some((name, value)) = pair.trim().split_once('=') {
                if let Ok(value) = value.trim().parse() {
                    insert(name.trim(), value);
                }
            }
        }
        Self(out)
    }

    /// The value of a metric, if reported.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.get(name).copied()
    }

    /// Serialises the report in its text form, all metrics as named ones.
    #[must_use]
    pub fn to_header(&self) -> String {
        let pairs: Vec<String> = self.0.iter().map(|(n, v)| format!("named_metrics.{n}={v:.4}")).collect();
        format!("TEXT {}", pairs.join(","))
    }
}

#[cfg(test)]
mod tests {
    use super::LoadReport;

    #[test]
    fn both_forms_are_parsed_and_invalid_parts_are_ignored() {
        let text = LoadReport::parse("TEXT cpu_utilization=0.3,named_metrics.link=0.8,x=nan,y");
        let json = LoadReport::parse(r#"JSON {"cpu_utilization":0.3,"named_metrics":{"link":0.8},"z":"w"}"#);
        assert_eq!(text, json);
        assert_eq!((text.get("link"), text.get("x")), (Some(0.8), None));
        assert_eq!(LoadReport::parse(&text.to_header()), text);
        assert_eq!(LoadReport::parse("JSON {"), LoadReport::default());
    }
}
