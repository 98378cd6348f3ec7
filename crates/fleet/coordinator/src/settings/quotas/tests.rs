use beechloft_config_reader as config_reader;

use super::*;

/// Reads a section with the given entries of `list`.
fn read_list(list: &str) -> Result<QuotaSettings, String> {
    let customers = ["market".to_owned(), "school".to_owned()];
    let known = KnownNames { customers: &customers, classes: &[] };
    let drift = DriftBound::ppm(10_000).expect("within bounds");
    let text = format!("limits:\n  fronts: 10\n  list:\n{list}");
    config_reader::read(&text, |top| read(&top.section("limits"), drift, Some(known)))
        .map_err(|errors| errors.to_string())
}

#[test]
fn reads_valid_section() {
    let settings = read_list(
        "    - {name: all, counts: sessions, of: all, limit: 900, kind: hard, least: 3, weights: [{customer: market, weight: 2}, {customer: school, weight: 1}]}\n    - {name: pace, counts: set_ups, of: all, limit: 20, kind: hard, least: 0.5}\n    - {name: box, counts: kbits, of: box, limit: 90000, kind: soft, over: 0.2}\n",
    )
    .expect("valid settings");
    assert_eq!((settings.rules.fronts, settings.definitions.len()), (10, 3));
    assert_eq!((settings.definitions[0].weights.len(), settings.definitions[1].min_share), (2, 500));
}

#[test]
fn reports_each_error_with_line_and_key() {
    let expect_error = |entry: &str, expected: &str| {
        let errors = read_list(&format!("    - {{{entry}}}\n")).expect_err(entry);
        assert!(errors.starts_with("4:") && errors.contains(expected), "{entry}: {errors}");
    };
    let head = "name: x, counts: sessions, of: all, kind: hard";
    expect_error(&format!("{head}, limit: 20, least: 3"), "least: 3 for each of 10");
    expect_error(&format!("{head}, limit: 0"), "limit: 0 is out of range");
    expect_error(&format!("{head}, limit: 9, over: 0.1"), "over: not applicable to a hard limit");
    expect_error(&format!("{head}, limit: 9, most: 1"), "most: unknown key");
    expect_error(
        &format!("{head}, limit: 9, weights: [{{customer: dairy, weight: 1}}]"),
        "customer: unknown customer 'dairy'",
    );
    expect_error(
        "name: x, counts: sessions, of: customer, key: dairy, kind: hard, limit: 9",
        "key: unknown customer 'dairy'",
    );
    expect_error(
        "name: x, counts: sessions, of: all, kind: soft, limit: 20, over: 0.1",
        "over: too small for any of 10 fronts to grow",
    );
    expect_error("name: a b, counts: sessions, of: all, kind: hard, limit: 20", "name: a name has");
    expect_error("name: x, counts: seats, of: all, kind: hard, limit: 20", "counts");
    let short_ttl = config_reader::read("limits: {fronts: 3, ttl_ms: 300}", |top| {
        read(&top.section("limits"), DriftBound::default(), None)
    });
    let errors = short_ttl.expect_err("a time to live that is too short").to_string();
    assert!(errors.contains("limits.ttl_ms: 300 ms leave 300 ms"), "{errors}");
}
