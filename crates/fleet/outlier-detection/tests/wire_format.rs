//! Encoding of reports and of the hashes in them. Committed bytes must be encoded and decoded without a difference.

use std::collections::BTreeMap;

use beechloft_outlier_detection::{
    AttemptCounts, Report, ServerInstance, ServerReport, TitleReport, ViewerReport, title_key,
};

const FIXTURES: &str = include_str!("fixtures/reports.txt");

/// Returns the committed bytes of each sample. Each line of the file has a sample's name and its bytes in hexadecimal.
fn fixtures() -> BTreeMap<&'static str, Vec<u8>> {
    let parse = |line: &'static str| {
        let (name, hex) = line.split_once(' ').expect("a name and its bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
        (name, (0..hex.len()).step_by(2).map(byte).collect())
    };
    FIXTURES.lines().map(parse).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn reports() -> Vec<(&'static str, Report)> {
    let instance = ServerInstance { server: 300, boot_hash: 0x89ab_cdef };
    let counts = AttemptCounts {
        attempts: 1_000,
        errors: 200,
        timeouts: 130,
        slow: 140,
        zone_successes: 250,
        zone_failures: 3,
        probe_successes: 2,
        probe_failures: 1,
    };
    let untried = ServerReport {
        instance: ServerInstance { server: 1, boot_hash: 0 },
        counts: AttemptCounts::default(),
    };
    let servers = vec![ServerReport { instance, counts }, untried];
    let titles = vec![TitleReport { instance, title: 0xfedc_ba98, attempts: 500, failures: 129 }];
    let viewers = vec![ViewerReport { viewer: u64::MAX - 5, requests: 8, declined: 7 }];
    vec![
        ("empty", Report::default()),
        ("servers", Report { servers: servers.clone(), ..Report::default() }),
        ("titles", Report { titles: titles.clone(), ..Report::default() }),
        ("viewers", Report { viewers: viewers.clone(), ..Report::default() }),
        ("full", Report { servers, titles, viewers }),
    ]
}

#[test]
fn report_encoding_matches_fixtures() {
    let fixtures = fixtures();
    for (name, report) in reports() {
        let bytes = report.clone().encode();
        let committed = fixtures.get(name).unwrap_or_else(|| panic!("{name} {}", hex(&bytes)));
        assert_eq!(hex(&bytes), hex(committed), "{name}");
        assert_eq!(Report::decode(committed), Ok(report), "{name}");
    }
}

#[test]
fn every_fixture_has_a_sample() {
    assert_eq!(fixtures().len(), reports().len());
}

#[test]
fn boot_hashes_and_title_keys_are_stable() {
    assert_eq!(ServerInstance::new(4, None), ServerInstance { server: 4, boot_hash: 0 });
    assert_eq!(ServerInstance::new(4, Some(0)), ServerInstance { server: 4, boot_hash: 1 });
    assert_eq!(
        ServerInstance::new(4, Some(0x0123_4567_89ab_cdef)),
        ServerInstance { server: 4, boot_hash: 0x8888_8888 }
    );
    assert_eq!(title_key(""), 0x811c_9dc5);
    assert_eq!(title_key("a film"), 672_097_354);
}
