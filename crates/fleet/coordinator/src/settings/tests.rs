use super::*;

#[test]
fn outlier_detection_is_disabled_by_default_and_its_errors_are_reported() {
    let head = "fleet:\n  name: market\n  listen: 127.0.0.1:7009\n  keepers: ['127.0.0.1:7000']\n";
    let disabled = FleetSettings::read(head).expect("valid settings");
    assert_eq!((disabled.gossip, disabled.outlier_detection), (None, None));
    let text = format!("{head}  seeds: ['127.0.0.1:7000']\n  verdicts:\n    part: 0.4\n");
    let enabled = FleetSettings::read(&text).expect("valid settings");
    let detection = enabled.outlier_detection.expect("outlier detection is enabled");
    assert_eq!(detection.rules.max_ejection_per_mille, 400);
    assert_eq!(enabled.gossip, Some(beechloft_gossip::Settings::default()));
    let invalid = format!(
        "{head}  rows:\n    round_ms: 5\n  verdicts:\n    fresh_ms: 100\n    fronts: 1\n    party: 1\n"
    );
    let errors = FleetSettings::read(&invalid).expect_err("invalid settings").to_string();
    for expected in [
        "round of at least 10 ms",
        "reports expire after 100ms",
        "fronts",
        "party: unknown key",
        "fleet.seeds",
    ] {
        assert!(errors.contains(expected), "{expected} is not in {errors}");
    }
}

#[test]
fn reads_valid_section_and_reports_all_errors() {
    let text = "fleet:\n  name: market\n  listen: 127.0.0.1:7000\n  keepers: ['127.0.0.1:7000', '127.0.0.1:7001', '127.0.0.1:7002']\n  store: /tmp/x\n  drift_ppm: 200\n";
    let settings = FleetSettings::read(text).expect("valid settings");
    assert_eq!(
        (settings.replicas.len(), settings.name.as_str(), settings.test_clock_rate),
        (3, "market", 1.0)
    );
    let invalid = "fleet:\n  keepers: ['127.0.0.1:7000', '127.0.0.1:7000', 'x', '127.0.0.1:7002']\n  drift_ppm: 99999\n  seed: 3\n  zones: [a, b]\n  zone: c\n  seeds: ['127.0.0.1:1', y]\n  number: lease\n  number_ttl_ms: 460\n  seat: no space\n  restart:\n    at_least: 1\n    back_ms: 100\n  topics:\n    - name: limits\n      retention_ms: 1\n      bytes: 60000000\n    - name: limits\n      bytes: 60000000\n    - name: a b\n      bytes: 1\n";
    let errors = FleetSettings::read(invalid).expect_err("invalid settings").to_string();
    let all = [
        "name",
        "127.0.0.1:7000 is listed twice",
        "'x' is not an address",
        "odd number",
        "seed: unknown key",
        "unknown zone 'c', expected one of: a, b",
        "'y' is not an address",
        "fleet.listen, which is missing",
        "number_ttl_ms: 460 ms leave 414 ms after a drift of 99999 ppm",
        "seat: a name has",
        "at_least: unknown key",
        "at_most: missing",
        "back_ms: 100 ms leave",
        "topics[0].retention_ms",
        "topics[1].name: limits is listed twice",
        "topics[2].name: a name has 1 to 96 letters",
        "topics: 120000000 bytes in total exceed the maximum of 100663296",
    ];
    for expected in all {
        assert!(errors.contains(expected), "{expected} is not in {errors}");
    }
}
