//! Detection of outliers from sets of reports.

use beechloft_outlier_detection::{
    AttemptCounts, DetectionSettings, FrontId, FrontReports, ServerReport, TitleAtServer, TitleReport,
    ViewerReport, detect_outliers, detect_title_outliers, detect_viewer_outliers, title_key,
};

use super::reports::{
    Finding, SECOND, SERVER, ZoneFinding, front_report, front_reports, servers, six_failing,
};

const FRONTS: usize = 6;
/// Assignments of the fronts to zones.
const LAYOUTS: [[u16; FRONTS]; 5] =
    [[0, 0, 0, 0, 0, 0], [0, 0, 0, 1, 1, 1], [0, 0, 0, 0, 0, 1], [0, 0, 1, 1, 2, 2], [0, 0, 0, 0, 1, 2]];

fn is_outlier(settings: &DetectionSettings, findings: &[ZoneFinding]) -> bool {
    !detect_outliers(settings, &servers(), &front_reports(settings, findings)).is_empty()
}

fn failing_zones(findings: &[ZoneFinding]) -> usize {
    let failing = findings.iter().filter(|(_, finding)| *finding == Finding::Failing);
    let mut zones: Vec<u16> = failing.map(|(zone, _)| *zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.len()
}

/// Returns the combination of six findings with an index.
fn combination(layout: [u16; FRONTS], mut index: usize) -> Vec<ZoneFinding> {
    let finding = |zone: u16| {
        let finding = [Finding::None, Finding::Failing, Finding::Healthy][index % 3];
        index /= 3;
        (zone, finding)
    };
    layout.into_iter().map(finding).collect()
}

/// Checks that a decision does not depend on the report of one lying front.
fn check_lying_front(
    settings: &DetectionSettings,
    findings: &[ZoneFinding],
    liar: usize,
    detected: bool,
) -> Result<(), String> {
    let others = findings.iter().enumerate().filter(|(front, _)| *front != liar);
    let honest: Vec<ZoneFinding> = others.map(|(_, finding)| *finding).collect();
    let failing = honest.iter().filter(|(_, finding)| *finding == Finding::Failing).count();
    if detected && (failing < 2 || failing_zones(&honest) < 2) {
        return Err(format!("ejected because of the lying front {liar}: {findings:?}"));
    }
    // If no honest front finds the server healthy, a false finding that it is must have the same effect as no finding.
    let mut without_liar = findings.to_vec();
    without_liar[liar].1 = Finding::None;
    let is_lie = findings[liar].1 == Finding::Healthy
        && honest.iter().all(|(_, finding)| *finding != Finding::Healthy);
    if is_lie && is_outlier(settings, &without_liar) && !detected {
        return Err(format!("not ejected because of the lying front {liar}: {findings:?}"));
    }
    Ok(())
}

/// Checks all combinations of findings of six fronts in five layouts of zones, each with any one front lying.
///
/// Returns the number of combinations in which the server is an outlier.
pub fn check_one_lying_front(settings: &DetectionSettings) -> Result<usize, String> {
    let mut ejections = 0;
    for layout in LAYOUTS {
        for index in 0..3usize.pow(6) {
            let findings = combination(layout, index);
            let detected = is_outlier(settings, &findings);
            ejections += usize::from(detected);
            for liar in 0..FRONTS {
                check_lying_front(settings, &findings, liar, detected)?;
            }
        }
    }
    Ok(ejections)
}

#[test]
fn one_lying_front_neither_ejects_nor_protects_a_server() {
    let ejections = check_one_lying_front(&DetectionSettings::default()).expect("the invariants hold");
    assert!(ejections > 100, "{ejections}");
}

#[test]
fn ignores_fronts_that_fail_throughout_the_zone() {
    let settings = DetectionSettings::default();
    let findings = six_failing();
    assert!(is_outlier(&settings, &findings));
    let is_outlier_with = |zone_successes: u8, zone_failures: u8| {
        let mut reports = FrontReports::default();
        for (front, (zone, finding)) in findings.iter().enumerate() {
            let mut report = front_report(*zone, *finding);
            let counts = &mut report.report.servers[0].counts;
            counts.zone_successes = zone_successes;
            counts.zone_failures = zone_failures;
            reports.insert(&settings, FrontId(front as u64), report);
        }
        !detect_outliers(&settings, &servers(), &reports).is_empty()
    };
    // The network path may be at fault if all or most attempts at other servers of the zone failed, or none was made.
    assert!(!is_outlier_with(0, 0));
    assert!(!is_outlier_with(0, 4));
    assert!(!is_outlier_with(3, 4));
    assert!(is_outlier_with(4, 4));
    assert!(is_outlier_with(1, 0));
}

#[test]
fn restarted_server_is_a_new_instance_and_newer_reports_replace_older() {
    let settings = DetectionSettings::default();
    let mut reports = front_reports(&settings, &six_failing());
    let duplicate = reports.clone();
    reports.merge(&settings, FrontId(99), &duplicate);
    assert_eq!(reports, duplicate);
    // Three fronts report the old instance and three the new one. Without one of them, neither has enough failing fronts.
    for zone in 0..3 {
        let mut report = front_report(zone, Finding::Failing);
        report.version = 2;
        let server = &mut report.report.servers[0];
        server.instance.boot_hash += 1;
        server.counts.errors = 1;
        server.counts.attempts = 1;
        reports.insert(&settings, FrontId(u64::from(zone)), report);
    }
    let outliers = detect_outliers(&settings, &servers(), &reports);
    assert!(outliers.iter().all(|outlier| outlier.instance == SERVER));
    let fresh = reports.fresh(&settings, |front| Some(if front.0 < 3 { SECOND } else { 7 * SECOND }));
    assert_eq!((fresh.iter().count(), detect_outliers(&settings, &servers(), &fresh).len()), (3, 0));
}

#[test]
fn detects_title_and_viewer_outliers_separately() {
    let settings = DetectionSettings::default();
    let title = title_key("title-3");
    let mut reports = FrontReports::default();
    for front in 0..6u16 {
        let mut report = front_report(front % 3, Finding::None);
        let counts = AttemptCounts { attempts: 9, errors: 2, ..AttemptCounts::default() };
        report.report.servers = vec![ServerReport { instance: SERVER, counts }];
        report.report.titles = vec![TitleReport { instance: SERVER, title, attempts: 2, failures: 2 }];
        report.report.viewers = vec![
            ViewerReport { viewer: 5, requests: 4, declined: 3 },
            ViewerReport { viewer: 6, requests: 3, declined: 3 },
        ];
        reports.insert(&settings, FrontId(u64::from(front)), report);
    }
    assert!(detect_outliers(&settings, &servers(), &reports).is_empty());
    assert_eq!(detect_title_outliers(&settings, &reports), [TitleAtServer { instance: SERVER, title }]);
    assert_eq!(detect_viewer_outliers(&settings, &reports), [5]);
}
