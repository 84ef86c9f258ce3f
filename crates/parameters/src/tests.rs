use super::*;
use serde_json::json;

/// `load_report` may be absent, null or without `fields` where nodes send no load reports. The front rejected such
/// settings and did not start.
#[test]
fn a_site_without_reports_is_read() {
    let limits = json!({"dial_timeout_ns": 1, "conn_idle_ns": 1, "max_streams": 1});
    let minimal = json!({"classes": [], "limits": limits, "zones": [], "flavors": []});
    for report in [json!(null), json!({"via": "silent"}), json!({"via": "silent", "fields": null})] {
        let mut v = minimal.clone();
        v["load_report"] = report;
        assert!(socket_settings(&v).is_ok_and(|s| s.report_fields.is_empty()), "{v}");
    }
    assert!(socket_settings(&minimal).is_ok_and(|s| s.report_fields.is_empty()));
}
