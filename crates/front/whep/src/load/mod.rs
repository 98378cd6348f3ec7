//! Load reports of media servers in ORCA's format, as the `endpoint-load-metrics` header or as a body.
//!
//! The format is that of xDS ORCA's `OrcaLoadReport`: `JSON {...}` or `TEXT key=value, ...`. The front reads three of the
//! `named_metrics`: `streams` (sessions that run or are being set up), `link` (demand on the link over its capacity) and
//! `uplink` (demand on the rack's uplink over its capacity).

use beechloft_http::HeaderName;
use beechloft_session::api::LoadReport;
use serde_json::Value;

/// Name of the header that carries a load report.
pub const FIELD: HeaderName = HeaderName::from_static("endpoint-load-metrics");
/// Media type of a body that carries a load report.
pub const BODY: &str = "application/json";

fn set_metric(report: &mut LoadReport, name: &str, value: f64) {
    let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
    match name {
        "streams" => report.streams = value,
        "link" => report.link_utilization = value,
        "uplink" => report.uplink_utilization = value,
        _ => {}
    }
}

/// Parses a header value. Metrics that can't be parsed are left out of the report.
pub fn parse_header(value: Option<&str>) -> LoadReport {
    let mut report = LoadReport::default();
    let Some((form, text)) = value.and_then(|v| v.trim().split_once(' ')) else { return report };
    if form.eq_ignore_ascii_case("json") {
        return parse_body(text.as_bytes());
    }
    if form.eq_ignore_ascii_case("text") {
        for (key, number) in text.split(',').filter_map(|pair| pair.split_once('=')) {
            let name = key.trim().strip_prefix("named_metrics.").unwrap_or_default();
            if let Ok(number) = number.trim().parse() {
                set_metric(&mut report, name, number);
            }
        }
    }
    report
}

/// Parses a body. Metrics that can't be parsed are left out of the report.
pub fn parse_body(text: &[u8]) -> LoadReport {
    let mut report = LoadReport::default();
    if let Ok(Value::Object(object)) = serde_json::from_slice(text)
        && let Some(Value::Object(named)) = object.get("named_metrics")
    {
        for (name, value) in named {
            set_metric(&mut report, name, value.as_f64().unwrap_or(f64::NAN));
        }
    }
    report
}

/// Encodes a load report as a body.
pub fn encode(report: &LoadReport) -> String {
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
