//! Tests that each key of the platform's settings sets its field.

use beechloft::api;

/// Settings with every key, each with a different value.
const EVERY_KEY: &str = r#"{
    "caps": {"cancel": true, "conn_idle_us": 31, "dial_timeout_us": 32, "max_attempts": 33,
             "max_retry_after_us": 34, "probes": true, "retry_after": true},
    "classes": [
        {"name": "film", "aim_us": 41, "deadline_us": 42, "effect": "repeatable", "points": 0.75},
        {"name": "match", "aim_us": 43, "deadline_us": 44, "effect": "by_key", "group": "zone", "window_us": 45},
        {"name": "talk", "aim_us": 46, "deadline_us": 47, "effect": "by_key", "group": "all", "window_us": 48},
        {"name": "news", "aim_us": 49, "deadline_us": 50, "effect": "by_key", "group": "cell", "window_us": 51},
        {"aim_us": 52, "deadline_us": 53, "effect": "by_key", "group": "same zone", "window_us": 54},
        {"aim_us": 55, "deadline_us": 56, "effect": "once"}
    ],
    "discovery": "ask",
    "family_info": {
        "all_links_kb": 61.5, "change_costs_s": 62.5, "floor_by_class": [1, 0], "guard": 63.5,
        "is_live": [false, true], "join_adds": 0.25, "kind_streams": [64, 65.9], "link_unit_kb": 66.5,
        "places": 67, "rack_link_kb": 68.5, "rates_kb": [200, 450, 1000], "scale_by_class": [1.5, 0.5],
        "seats": [3, 0], "see_us": 69, "shelves": 70, "top_by_class": [1, 9], "worth_by_rung": [0.2, 0.5, 1]
    },
    "group_size": 71,
    "kinds": ["small", "large"],
    "locality": 72,
    "my_number": 73,
    "over_share_worth": 0.125,
    "prices": {"moves": 0.375, "probe": 0.625},
    "reporting": {"how": "piggyback", "names": ["outstanding", "utilization", "x0", "x1", "x2"]},
    "rules": {"budget_free": 81.5, "extra_per_request": 82.5, "resend_span_us": 83, "cold_from": 84.5,
              "cold_us": 85, "fall_multiple": 86.5, "fall_us": 87},
    "tenants": [{"quota_per_s": 91.5}, {"quota_per_s": null}],
    "weights": "nominal",
    "zones": ["north", "south"],
    "a_key_of_a_later_version": 1
}"#;

/// Settings with the required keys only.
const REQUIRED_KEYS: &str =
    r#"{"classes": [{"aim_us": 1, "deadline_us": 2, "effect": "once"}], "family_info": {}}"#;

/// Returns a class with default values and the given times in microseconds.
fn class(latency_objective: u64, deadline: u64, idempotency: api::Idempotency) -> api::Class {
    api::Class {
        latency_objective: api::Micros(latency_objective),
        deadline: api::Micros(deadline),
        idempotency,
        utility: 1.0,
        rate_scale: 1.0,
        min_rung: api::Rung(0),
        max_rung: api::Rung(2),
        max_sessions_per_title: None,
        shared_rate_fraction: 1.0,
    }
}

fn deduplicated(scope: api::DedupScope, window: u64) -> api::Idempotency {
    api::Idempotency::Deduplicated { scope, window: api::Micros(window) }
}

fn parse(text: &str) -> beechloft_settings::Parsed {
    beechloft_settings::parse(text.as_bytes()).expect("well-formed settings")
}

#[test]
fn each_key_sets_its_field() {
    let parsed = parse(EVERY_KEY);
    let classes = vec![
        api::Class {
            utility: 0.75,
            rate_scale: 1.5,
            min_rung: api::Rung(1),
            max_rung: api::Rung(1),
            max_sessions_per_title: Some(3),
            ..class(41, 42, api::Idempotency::Idempotent)
        },
        api::Class {
            rate_scale: 0.5,
            shared_rate_fraction: 0.25,
            ..class(43, 44, deduplicated(api::DedupScope::Zone, 45))
        },
        class(46, 47, deduplicated(api::DedupScope::All, 48)),
        class(49, 50, deduplicated(api::DedupScope::Cell, 51)),
        class(52, 53, deduplicated(api::DedupScope::Zone, 54)),
        class(55, 56, api::Idempotency::AtMostOnce),
    ];
    let expected = api::Settings {
        classes,
        tenants: vec![api::Tenant { quota_per_s: Some(91.5) }, api::Tenant { quota_per_s: None }],
        max_streams_by_type: vec![64, 65],
        ladder: api::BitrateLadder {
            rates_kb: vec![200.0, 450.0, 1000.0],
            utility: vec![0.2, 0.5, 1.0],
            switch_cost_s: 62.5,
        },
        cells: 67,
        racks: 70,
        total_link_kb: Some(61.5),
        link_kb_per_weight: Some(66.5),
        mean_uplink_kb: Some(68.5),
        admission_limit: Some(63.5),
        feedback_delay: api::Micros(69),
        front_count: 71,
        slot: 73,
        zone: api::ZoneId(72),
        load_reporting: api::LoadReporting::InResponses,
        weight_meaning: api::WeightMeaning::Capacity,
        discovery: api::Discovery::Subscribe,
        capabilities: api::Capabilities {
            max_attempts: 33,
            health_checks: true,
            cancel: true,
            max_retry_after: Some(api::Micros(34)),
        },
        retry_budget: Some(api::RetryBudget {
            min_retries: 81.5,
            retry_ratio: 82.5,
            window: api::Micros(83),
        }),
        slow_start: api::SlowStart {
            warm_up: api::Micros(85),
            initial_fraction: 84.5,
            overload_factor: 86.5,
            overload_window: api::Micros(87),
        },
        health_check_price: 0.625,
        migration_price: 0.375,
        over_quota_utility: 0.125,
    };
    assert_eq!(parsed.settings, expected);
    assert_eq!(parsed.names.classes, ["film", "match", "talk", "news", "", ""]);
    assert_eq!(parsed.names.zones, ["north", "south"]);
    assert_eq!(parsed.names.server_types, ["small", "large"]);
    assert_eq!(parsed.names.report_values, ["outstanding", "utilization", "x0", "x1", "x2"]);
    assert_eq!(parsed.connections.connect_timeout, api::Micros(32));
    assert_eq!(parsed.connections.idle_timeout, api::Micros(31));
    let fields = [
        api::ReportField::Streams,
        api::ReportField::LinkUtilization,
        api::ReportField::LinkUtilization,
        api::ReportField::UplinkUtilization,
        api::ReportField::Other,
    ];
    assert_eq!(parsed.report_fields, fields);
}

#[test]
fn absent_key_leaves_default() {
    let parsed = parse(REQUIRED_KEYS);
    let expected = api::Settings {
        classes: vec![api::Class { max_rung: api::Rung(0), ..class(1, 2, api::Idempotency::AtMostOnce) }],
        front_count: 1,
        capabilities: api::Capabilities { max_attempts: u32::MAX, ..api::Capabilities::default() },
        over_quota_utility: 1.0,
        ..api::Settings::default()
    };
    assert_eq!(parsed.settings, expected);
    assert_eq!(parsed.connections.connect_timeout, api::Micros(250_000));
    assert_eq!(parsed.connections.idle_timeout, api::Micros(30_000_000));
    assert!(parsed.report_fields.is_empty());
}

#[test]
fn each_enumerated_value_has_its_meaning() {
    let with = |key: &str, value: &str| {
        let text = REQUIRED_KEYS.replacen('{', &format!("{{\"{key}\": {value},"), 1);
        parse(&text).settings
    };
    let reporting = |how: &str| with("reporting", &format!("{{\"how\": \"{how}\"}}")).load_reporting;
    assert_eq!(reporting("piggyback"), api::LoadReporting::InResponses);
    assert_eq!(reporting("pull"), api::LoadReporting::InHealthChecks);
    assert_eq!(reporting("anything else"), api::LoadReporting::Disabled);
    let weight_meaning = |weights: &str| with("weights", &format!("\"{weights}\"")).weight_meaning;
    assert_eq!(weight_meaning("nominal"), api::WeightMeaning::Capacity);
    assert_eq!(weight_meaning("rough"), api::WeightMeaning::Capacity);
    assert_eq!(weight_meaning("live"), api::WeightMeaning::LoadAdjusted);
    assert_eq!(weight_meaning("anything else"), api::WeightMeaning::Unset);
    assert_eq!(with("discovery", "\"ask\"").discovery, api::Discovery::Subscribe);
    assert_eq!(with("discovery", "\"push\"").discovery, api::Discovery::Push);
}
