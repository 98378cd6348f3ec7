//! Parsing of load reports.

use beechloft_protocol::load::{self, LoadValue};

#[test]
fn parses_valid_values_and_skips_others() {
    let values: Vec<LoadValue<'_>> = load::parse("x0:12;x1:0.5;queue:NaN;a;b:-1;:3;c:inf").collect();
    let expected = [("x0", 12.0), ("x1", 0.5), ("", 3.0)].map(|(name, value)| LoadValue { name, value });
    assert_eq!(values, expected);
}
