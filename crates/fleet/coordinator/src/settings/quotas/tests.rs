use beechloft_config_reader as config_reader;

use super::*;

fn read(list: &str) -> Result<QuotaSettings, String> {
    let customers = ["market".to_owned(), "school".to_owned()];
    let known = KnownNames { customers: &customers, classes: &[] };
    let drift = DriftBound::ppm(10_000).expect("within bounds");
    let text = format!("limits:\n  fronts: 10\n  list:\n{list}");
    config_reader::read(&text, |top| quotas(&top.section("limits"), drift, Some(known)))
        .map_err(|f| f.to_string())
}

#[test]
fn a_valid_section_is_read() {
    let all = read(
        "    - {name: all, counts: sessions, of: all, limit: 900, kind: hard, least: 3, weights: [{customer: market, weight: 2}, {customer: school, weight: 1}]}\n    - {name: pace, counts: set_ups, of: all, limit: 20, kind: hard, least: 0.5}\n    - {name: box, counts: kbits, of: box, limit: 90000, kind: soft, over: 0.2}\n",
    )
    .expect("sound");
    assert_eq!((all.rules.fronts, all.definitions.len()), (10, 3));
    assert_eq!((all.definitions[0].weights.len(), all.definitions[1].min_share), (2, 500));
}

#[test]
fn each_error_is_named_with_its_line_and_key() {
    let one = |line: &str, expected: &str| {
        let errors = read(&format!("    - {{{line}}}\n")).expect_err(line);
        assert!(errors.starts_with("4:") && errors.contains(expected), "{line}: {errors}");
    };
    let head = "name: x, counts: sessions, of: all, kind: hard";
    one(&format!("{head}, limit: 20, least: 3"), "least: 3 for each of 10");
    one(&format!("{head}, limit: 0"), "limit: 0 is out of range");
    one(&format!("{head}, limit: 9, over: 0.1"), "over: a hard limit is never over");
    one(&format!("{head}, limit: 9, most: 1"), "most: unknown key");
    one(
        &format!("{head}, limit: 9, weights: [{{customer: dairy, weight: 1}}]"),
        "no customer is called 'dairy'",
    );
    one(
        "name: x, counts: sessions, of: customer, key: dairy, kind: hard, limit: 9",
        "key: no customer is called 'dairy'",
    );
    one(
        "name: x, counts: sessions, of: all, kind: soft, limit: 20, over: 0.1",
        "over: it lets none of 10 fronts grow",
    );
    one("name: a b, counts: sessions, of: all, kind: hard, limit: 20", "name: a name has");
    one("name: x, counts: seats, of: all, kind: hard, limit: 20", "counts");
    let short = config_reader::read("limits: {fronts: 3, ttl_ms: 300}", |top| {
        quotas(&top.section("limits"), DriftBound::default(), None)
    });
    assert!(short.expect_err("short").to_string().contains("limits.ttl_ms: 300 ms leave 300 ms"));
}
