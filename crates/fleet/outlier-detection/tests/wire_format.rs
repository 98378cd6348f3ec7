//! The bytes of a report and of the numbers that stand in it: compared both ways with bytes that are committed.

use std::collections::BTreeMap;

use beechloft_outlier_detection::{BoxKey, BoxLine, Report, Seen, TitleLine, ViewerLine, title_key};

const FIXTURES: &str = include_str!("fixtures/reports.txt");

/// The committed bytes of each sample: a line each, a name and its bytes in hexadecimal.
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
    let key = BoxKey { server: 300, life: 0x89ab_cdef };
    let seen = Seen {
        tries: 1_000,
        errors: 200,
        hangs: 130,
        slow: 140,
        beside_well: 250,
        beside_bad: 3,
        trials_well: 2,
        trials_badly: 1,
    };
    let untried = BoxLine { key: BoxKey { server: 1, life: 0 }, seen: Seen::default() };
    let boxes = vec![BoxLine { key, seen }, untried];
    let titles = vec![TitleLine { key, title: 0xfedc_ba98, tries: 500, bad: 129 }];
    let viewers = vec![ViewerLine { viewer: u64::MAX - 5, tries: 8, bad: 7 }];
    vec![
        ("empty", Report::default()),
        ("boxes", Report { boxes: boxes.clone(), ..Report::default() }),
        ("titles", Report { titles: titles.clone(), ..Report::default() }),
        ("viewers", Report { viewers: viewers.clone(), ..Report::default() }),
        ("full", Report { boxes, titles, viewers }),
    ]
}

#[test]
fn each_report_has_its_committed_bytes() {
    let fixtures = fixtures();
    for (name, report) in reports() {
        let bytes = report.clone().encode();
        let committed = fixtures.get(name).unwrap_or_else(|| panic!("{name} {}", hex(&bytes)));
        assert_eq!(hex(&bytes), hex(committed), "{name}");
        assert_eq!(Report::decode(committed), Ok(report), "{name}");
    }
}

#[test]
fn no_committed_bytes_are_without_a_sample() {
    assert_eq!(fixtures().len(), reports().len());
}

#[test]
fn keys_of_runs_and_titles_are_the_same_on_all_fronts() {
    assert_eq!(BoxKey::new(4, None), BoxKey { server: 4, life: 0 });
    assert_eq!(BoxKey::new(4, Some(0)), BoxKey { server: 4, life: 1 });
    assert_eq!(BoxKey::new(4, Some(0x0123_4567_89ab_cdef)), BoxKey { server: 4, life: 0x8888_8888 });
    assert_eq!(title_key(""), 0x811c_9dc5);
    assert_eq!(title_key("a film"), 672_097_354);
}
