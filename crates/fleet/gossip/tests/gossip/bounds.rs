//! Limits of rows and settings.

use beechloft_gossip::{Gossip, SectionKind, Settings};
use beechloft_membership::MemberId;

use super::SECOND;

#[test]
fn rejects_oversized_row_and_ignores_unchanged_content() {
    let mut gossip = Gossip::new(MemberId(1), Settings::default(), 1, SECOND);
    let version = |front: &Gossip| front.row(SECOND, MemberId(1)).expect("the own row").version;
    gossip.write_section(SECOND, SectionKind::OUTLIER_REPORT, vec![1; 600]).expect("the section fits");
    let before = version(&gossip);
    gossip.write_section(SECOND, SectionKind::OUTLIER_REPORT, vec![1; 600]).expect("the section fits");
    assert_eq!(version(&gossip), before);
    assert!(gossip.write_section(SECOND, SectionKind::SOFT_QUOTAS, vec![1; 501]).is_err());
    gossip.write_section(SECOND, SectionKind::SOFT_QUOTAS, vec![1; 500]).expect("the section fits");
    assert!(version(&gossip) > before);
}

#[test]
fn rejects_invalid_settings() {
    let settings = Settings::default();
    assert_eq!(settings.check(300), Ok(()));
    assert!(Settings { fanout: 0, ..settings }.check(300).is_err());
    let short =
        Settings { row_expiry: 2 * SECOND, ..settings }.check(300).expect_err("the expiry is too short");
    assert!(short.to_string().contains("10s"), "{short}");
}
