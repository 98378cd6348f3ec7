//! A media server's load in ORCA's form: the `endpoint-load-metrics` field, or the same as a body.
//!
//! The form is that of xds ORCA's `OrcaLoadReport`: `JSON {...}` or `TEXT key=value, ...`. Of its `named_metrics` the
//! front knows `streams` (sessions run or being set up), `link` (what is asked of the link over what it gives) and
//! `uplink` (the same of the rack's).

use beechloft_http::HeaderName;
use beechloft_session::api::LoadReport;
use serde_json::Value;

/// The field.
pub const FIELD: HeaderName = HeaderName::from_static("endpoint-load-metrics");
/// Media type of a body of that form.
pub const BODY: &str = "application/json";

fn set(report: &mut LoadReport, name: &str, value: f64) {
    let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
    match name {
        "streams" => report.streams = value,
        "link" => report.link_utilization = value,
        "uplink" => report.uplink_utilization = value,
        _ => {}
    }
}

/// Reads a field's value. What can't be read says nothing.
pub fn field(value: Option<&str>) -> LoadReport {
    let mut report = LoadReport::default();
    let Some((form, text)) = value.and_then(|v| v.trim().split_once(' ')) else { return report };
    if form.eq_ignore_ascii_case("json") {
        return body(text.as_bytes());
    }
    if form.eq_ignore_ascii_case("text") {
        for (key, number) in text.split(',').filter_map(|pair| pair.split_once('=')) {
            let name = key.trim().strip_prefix("named_metrics.").unwrap_or_default();
            if let Ok(number) = number.trim().parse() {
                set(&mut report, name, number);
            }
        }
    }
    report
}

/// Reads a body. What can't be read says nothing.
pub fn body(text: &[u8]) -> LoadReport {
    let mut report = LoadReport::default();
    if let Ok(Value::Object(all)) = serde_json::from_slice(text)
        && let Some(Value::Object(named)) = all.get("named_metrics")
    {
        for (name, value) in named {
            set(&mut report, name, value.as_f64().unwrap_or(f64::NAN));
        }
    }
    report
}

/// Writes a body.
pub fn write(report: &LoadReport) -> String {
    let named = [
        ("streams", report.streams),
        ("link", report.link_utilization),
        ("uplink", report.uplink_utilization),
    ];
    let named: serde_json::Map<String, Value> =
        named.iter().filter_map(|(k, v)| Some(((*k).to_owned(), Value::from((*v)?)))).collect();
    serde_json::json!({ "named_metrics": named }).to_string()
}

#[cfg(test)]
mod tests;
