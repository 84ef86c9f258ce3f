use super::*;
use serde_json::json;

/// A site whose nodes report nothing need not name a report; the front did not start there.
#[test]
fn a_site_without_reports_is_read() {
    let limits = json!({"dial_timeout_ns": 1, "conn_idle_ns": 1, "max_streams": 1});
    let bare = json!({"classes": [], "limits": limits, "zones": [], "flavors": []});
    for report in [json!(null), json!({"via": "silent"}), json!({"via": "silent", "fields": null})] {
        let mut v = bare.clone();
        v["load_report"] = report;
        assert!(sockets(&v).is_ok_and(|s| s.fields.is_empty()), "{v}");
    }
    assert!(sockets(&bare).is_ok_and(|s| s.fields.is_empty()));
}
