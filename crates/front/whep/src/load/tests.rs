//! Tests of the `load` module.

use super::*;

#[test]
fn all_formats_give_equal_reports_and_malformed_values_are_ignored() {
    let report = LoadReport { streams: Some(3.0), link_utilization: Some(0.5), uplink_utilization: None };
    assert_eq!(parse_body(encode(&report).as_bytes()), report);
    assert_eq!(parse_header(Some(&format!("JSON {}", encode(&report)))), report);
    let text =
        "TEXT cpu_utilization=0.3, named_metrics.streams=3,named_metrics.link=0.5, named_metrics.uplink=x";
    assert_eq!(parse_header(Some(text)), report);
    for odd in [
        "",
        "JSON",
        "JSON [1]",
        "JSON {\"named_metrics\":{\"link\":-1}}",
        "TEXT named_metrics.link=NaN",
        "BIN AA",
    ] {
        assert_eq!(parse_header(Some(odd)), LoadReport::default(), "{odd}");
    }
}
