//! Tests of the `load` module.

use super::*;

#[test]
fn all_forms_say_the_same_and_nonsense_says_nothing() {
    let report = LoadReport { streams: Some(3.0), link_utilization: Some(0.5), uplink_utilization: None };
    assert_eq!(body(write(&report).as_bytes()), report);
    assert_eq!(field(Some(&format!("JSON {}", write(&report)))), report);
    let text =
        "TEXT cpu_utilization=0.3, named_metrics.streams=3,named_metrics.link=0.5, named_metrics.uplink=x";
    assert_eq!(field(Some(text)), report);
    for odd in [
        "",
        "JSON",
        "JSON [1]",
        "JSON {\"named_metrics\":{\"link\":-1}}",
        "TEXT named_metrics.link=NaN",
        "BIN AA",
    ] {
        assert_eq!(field(Some(odd)), LoadReport::default(), "{odd}");
    }
}
