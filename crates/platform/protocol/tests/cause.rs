//! Codes of release causes.

use beechloft_protocol::Cause;

#[test]
fn all_codes_round_trip() {
    for code in 0..=u8::MAX {
        assert_eq!(Cause::from(code).code(), code);
        assert!(!matches!(
            Cause::from(code),
            Cause::Other(16 | 31 | 34 | 41 | 42 | 47 | 96 | 100 | 102 | 111)
        ));
    }
}
