//! Tests of a front's settings.

use super::*;

const VALID_SETTINGS: &str = "\
service:
  zones: [hala-a, hala-b]
  racks: 2
  ladder:
    - {rate_kb: 200, worth: 0.2}
    - {rate_kb: 450, worth: 0.5}
  classes:
    - {name: stall-video, aim_ms: 800, patience_ms: 4000}
  kinds:
    - {name: small, streams: 20}
front:
  listen: 127.0.0.1:8080
  zone: hala-b
list:
  boxes:
    - {id: 1, address: \"127.0.0.1:9001\", rack: 1, zone: hala-a}
  titles:
    - {name: asparagus, class: stall-video, holders: [1]}
";

fn faults(from: &str, to: &str) -> Vec<String> {
    assert!(VALID_SETTINGS.contains(from), "{from}");
    match parse(&VALID_SETTINGS.replacen(from, to, 1)) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn reads_valid_file() {
    let front = parse(VALID_SETTINGS).expect("valid settings");
    assert_eq!(
        (front.settings.zone, front.settings.ladder.rates_kb.len(), front.settings.front_count),
        (ZoneId(1), 2, 1)
    );
    let ListSource::Static(servers, titles) = front.list else { panic!("a static list") };
    assert_eq!((servers.len(), titles[0].holders.len()), (1, 1));
}

#[test]
fn reports_each_fault_with_line_and_key() {
    let one = |from, to| match faults(from, to).as_slice() {
        [one] => one.clone(),
        other => panic!("{from} to {to}: {other:?}"),
    };
    assert!(
        one("  racks: 2", "  racks: 2\n  rack: 2")
            .starts_with("4:3: service.rack: unknown key; known here: ")
    );
    assert_eq!(one("  listen: 127.0.0.1:8080\n", ""), "12:3: front.listen: missing");
    assert_eq!(
        one("aim_ms: 800", "aim_ms: 0"),
        "8:35: service.classes[0].aim_ms: 0 is out of range: 1 to 86400000"
    );
    assert!(one("aim_ms: 800", "aim_ms: 5000").contains("more than patience_ms"));
    assert!(one("rate_kb: 450", "rate_kb: 150").contains("higher rate"));
    assert!(one("zone: hala-b", "zone: hala-c").contains("no zone is called 'hala-c'"));
    assert!(one("holders: [1]", "holders: [2]").contains("no media server is called '2'"));
    assert!(
        one("  racks: 2", "  racks: 2\n  notes_late_ms: two")
            .contains("a whole number is expected, not text")
    );
    assert!(one("racks: 2", "racks: 2\n  reports: probes").contains("limits.probes does not allow any"));
    assert!(one("  zone: hala-b", "  number: 3").contains("fronts are counted from 0"));
}

#[test]
fn reports_all_faults_in_order() {
    let text = VALID_SETTINGS
        .replace("racks: 2", "racks: 0")
        .replace("streams: 20", "streams: x")
        .replace("hala-b\n", "q\n");
    let faults = parse(&text).expect_err("several faults").0;
    let lines: Vec<usize> = faults.iter().map(|fault| fault.position.line).collect();
    assert_eq!(lines.len(), 4, "{faults:?}");
    assert!(lines.is_sorted());
}

#[test]
fn rejects_text_that_is_not_settings() {
    for text in
        ["", "- 1\n", "a: [1\n", "a: 1\na: 2\n", "x\n", "a: &b [*b]\n", "---\na: 1\n---\nb: 1\n", "\u{0}"]
    {
        assert!(parse(text).is_err(), "{text:?}");
    }
    assert!(parse(&format!("{}1{}", "[".repeat(100), "]".repeat(100))).is_err());
}
