use super::*;

#[test]
fn outlier_detection_is_off_unless_configured_and_its_errors_are_named() {
    let head = "fleet:\n  name: market\n  listen: 127.0.0.1:7009\n  keepers: ['127.0.0.1:7000']\n";
    let off = FleetSettings::read(head).expect("sound");
    assert_eq!((off.gossip, off.outlier_detection), (None, None));
    let on = FleetSettings::read(&format!("{head}  seeds: ['127.0.0.1:7000']\n  verdicts:\n    part: 0.4\n"));
    let on = on.expect("sound");
    assert_eq!(on.outlier_detection.map(|v| v.rules.max_ejection_per_mille), Some(400));
    assert_eq!(on.gossip, Some(beechloft_gossip::Settings::default()));
    let bad = format!(
        "{head}  rows:\n    round_ms: 5\n  verdicts:\n    fresh_ms: 100\n    fronts: 1\n    party: 1\n"
    );
    let errors = FleetSettings::read(&bad).expect_err("faulty").to_string();
    for expected in [
        "round of at least 10 ms",
        "evidence is fresh for 100ms",
        "fronts",
        "party: unknown key",
        "fleet.seeds",
    ] {
        assert!(errors.contains(expected), "{expected} is not in {errors}");
    }
}

#[test]
fn a_valid_section_is_read_and_all_errors_are_named() {
    let text = "fleet:\n  name: market\n  listen: 127.0.0.1:7000\n  keepers: ['127.0.0.1:7000', '127.0.0.1:7001', '127.0.0.1:7002']\n  store: /tmp/x\n  drift_ppm: 200\n";
    let read = FleetSettings::read(text).expect("sound");
    assert_eq!((read.replicas.len(), read.name.as_str(), read.test_clock_rate), (3, "market", 1.0));
    let bad = "fleet:\n  keepers: ['127.0.0.1:7000', '127.0.0.1:7000', 'x', '127.0.0.1:7002']\n  drift_ppm: 99999\n  seed: 3\n  zones: [a, b]\n  zone: c\n  seeds: ['127.0.0.1:1', y]\n  number: lease\n  number_ttl_ms: 460\n  seat: no space\n  restart:\n    at_least: 1\n    back_ms: 100\n  topics:\n    - name: limits\n      retention_ms: 1\n      bytes: 60000000\n    - name: limits\n      bytes: 60000000\n    - name: a b\n      bytes: 1\n";
    let errors = FleetSettings::read(bad).expect_err("faulty").to_string();
    let all = [
        "name",
        "twice",
        "'x' is no address",
        "odd number",
        "seed: unknown key",
        "no zone 'c'; there are a, b",
        "'y' is no address",
        "fleet.listen, which is missing",
        "number_ttl_ms: 460 ms leave 414 ms after a drift of 99999 ppm",
        "seat: a name has",
        "at_least: unknown key",
        "at_most: missing",
        "back_ms: 100 ms leave",
        "topics[0].retention_ms",
        "topics[1].name: limits is there twice",
        "topics[2].name: a name has 1 to 96 letters",
        "topics: 120000000 bytes together are more than 100663296",
    ];
    for expected in all {
        assert!(errors.contains(expected), "{expected} is not in {errors}");
    }
}
