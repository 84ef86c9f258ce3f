//! ORCA load reports as the response header `endpoint-load-metrics`.

use std::collections::BTreeMap;

/// Name of the header.
pub const ORCA_HEADER: &str = "endpoint-load-metrics";
/// Metrics read from one report at most.
const MOST: usize = 32;

/// Named metrics of a report: those under `named_metrics`, and the standard ones by their names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport(pub BTreeMap<String, f64>);

impl LoadReport {
    /// Reads either form, `TEXT a=1,named_metrics.b=2` or `JSON {...}`; what is no number is passed over,
    /// since a report is a hint and an answer is worth more than its header.
    #[must_use]
    pub fn parse(header: &str) -> Self {
        let mut out = BTreeMap::new();
        let mut put = |name: &str, value: f64| {
            if value.is_finite() && out.len() < MOST {
                out.insert(name.strip_prefix("named_metrics.").unwrap_or(name).to_owned(), value);
            }
        };
        if let Some(json) = header.trim().strip_prefix("JSON") {
            let Ok(serde_json::Value::Object(members)) = serde_json::from_str(json) else { return Self(out) };
            for (name, value) in &members {
                match value {
                    serde_json::Value::Object(named) => {
                        named.iter().filter_map(|(n, v)| Some((n, v.as_f64()?))).for_each(|(n, v)| put(n, v));
                    }
                    value => {
                        value.as_f64().into_iter().for_each(|v| put(name, v));
                    }
                }
            }
            return Self(out);
        }
        let text = header.trim();
        for pair in text.strip_prefix("TEXT").unwrap_or(text).split(',') {
            if let Some((name, value)) = pair.trim().split_once('=') {
                if let Ok(value) = value.trim().parse() {
                    put(name.trim(), value);
                }
            }
        }
        Self(out)
    }

    /// One metric.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.get(name).copied()
    }

    /// The text form, all as named metrics.
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
    fn both_forms_are_read_and_nonsense_is_passed_over() {
        let text = LoadReport::parse("TEXT cpu_utilization=0.3,named_metrics.link=0.8,x=nan,y");
        let json = LoadReport::parse(r#"JSON {"cpu_utilization":0.3,"named_metrics":{"link":0.8},"z":"w"}"#);
        assert_eq!(text, json);
        assert_eq!((text.get("link"), text.get("x")), (Some(0.8), None));
        assert_eq!(LoadReport::parse(&text.to_header()), text);
        assert_eq!(LoadReport::parse("JSON {"), LoadReport::default());
    }
}
