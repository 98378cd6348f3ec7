//! Ejections over time: expiry, probes, probation and limits.

use std::time::Duration;

use beechloft_outlier_detection::{
    DetectionSettings, EjectionEvent, FrontId, FrontReports, OutlierDetector, ServerInstance, ServerReport,
};

use super::reports::{Finding, SECOND, SERVER, front_report, front_reports, servers, six_failing};

const STEP: Duration = Duration::from_millis(100);

/// A detector that evaluates the reports every [`STEP`], with a record of the results.
struct Timeline {
    detector: OutlierDetector,
    now: Duration,
    events: Vec<EjectionEvent>,
    /// The fraction of sessions that are offered the server, in thousandths, after each change.
    admitted_per_mille: Vec<u16>,
    probes_without_lease: usize,
}

impl Timeline {
    fn new(settings: DetectionSettings) -> Timeline {
        Timeline {
            detector: OutlierDetector::new(settings),
            now: SECOND,
            events: Vec::new(),
            admitted_per_mille: Vec::new(),
            probes_without_lease: 0,
        }
    }

    /// Evaluates the reports for a duration without the lease. `boot_hash` identifies the running instance of the server.
    fn run_for(&mut self, span: Duration, reports: &FrontReports, boot_hash: u32) {
        let end = self.now + span;
        let current = |server: u32| {
            let boot_hash = if server == SERVER.server { boot_hash } else { 1 };
            ServerInstance { server, boot_hash }
        };
        while self.now < end {
            let result = self.detector.evaluate(self.now, reports, &servers(), current, false);
            self.events.extend(result.events);
            let exclusion =
                result.exclusions.iter().find(|exclusion| exclusion.instance.server == SERVER.server);
            let admitted = exclusion.map_or(1_000, |exclusion| exclusion.admitted_per_mille);
            if self.admitted_per_mille.last() != Some(&admitted) {
                self.admitted_per_mille.push(admitted);
            }
            self.probes_without_lease += usize::from(result.probing.is_some());
            self.now += STEP;
        }
    }

    fn event_names(&self) -> Vec<&'static str> {
        let name = |event: &EjectionEvent| match event {
            EjectionEvent::Ejected(_) => "ejected",
            EjectionEvent::EjectionSuppressed(_) => "suppressed",
            EjectionEvent::ProbesSucceeded(_) => "probes succeeded",
            EjectionEvent::EjectionExpired(_) => "expired",
            EjectionEvent::Reinstated(_) => "reinstated",
            EjectionEvent::InstanceReplaced(_) => "replaced",
        };
        self.events.iter().map(name).collect()
    }

    fn expect_events(&self, case: &str, expected: &[&str]) -> Result<(), String> {
        if self.event_names() == expected {
            return Ok(());
        }
        Err(format!("{case}: {:?}", self.events))
    }
}

fn failing(settings: &DetectionSettings) -> FrontReports {
    front_reports(settings, &six_failing())
}

/// Checks that an ejection expires without probes, and that the server is readmitted in steps.
fn check_expiry(settings: DetectionSettings) -> Result<(), String> {
    let mut timeline = Timeline::new(settings);
    let none = FrontReports::default();
    timeline.run_for(5 * SECOND, &failing(&settings), SERVER.boot_hash);
    timeline.run_for(settings.ejection_time + 2 * SECOND, &none, SERVER.boot_hash);
    if timeline.probes_without_lease > 0 {
        return Err("a probe was started without the lease".into());
    }
    timeline.run_for(20 * SECOND, &none, SERVER.boot_hash);
    timeline.expect_events("without probes", &["ejected", "expired", "reinstated"])?;
    if timeline.admitted_per_mille != [0, 125, 250, 500, 1_000] {
        return Err(format!("the server is readmitted as {:?}", timeline.admitted_per_mille));
    }
    Ok(())
}

/// Checks that a new process of an ejected server is not ejected.
fn check_restart(settings: DetectionSettings) -> Result<(), String> {
    let mut timeline = Timeline::new(settings);
    timeline.run_for(SECOND, &failing(&settings), SERVER.boot_hash);
    timeline.run_for(SECOND, &failing(&settings), SERVER.boot_hash + 1);
    timeline.expect_events("a new process", &["ejected", "replaced"])
}

/// Checks that successful probes of two fronts end an ejection, and that one does not.
fn check_probes(settings: DetectionSettings) -> Result<(), String> {
    let mut timeline = Timeline::new(settings);
    timeline.run_for(SECOND, &failing(&settings), SERVER.boot_hash);
    timeline.run_for(settings.probe_delay, &FrontReports::default(), SERVER.boot_hash);
    let successful_probes = |fronts: u16| {
        let mut reports = FrontReports::default();
        for front in 0..fronts {
            let mut report = front_report(front, Finding::Healthy);
            report.report.servers[0].counts.probe_successes = 1;
            reports.insert(&settings, FrontId(u64::from(front)), report);
        }
        reports
    };
    timeline.run_for(5 * SECOND, &successful_probes(1), SERVER.boot_hash);
    timeline.expect_events("one successful probe", &["ejected"])?;
    timeline.run_for(SECOND, &successful_probes(2), SERVER.boot_hash);
    timeline.expect_events("two successful probes", &["ejected", "probes succeeded"])
}

/// Checks that only one of a zone's three servers is ejected, as the limit is half of the zone.
fn check_ejection_limit(settings: DetectionSettings) -> Result<(), String> {
    let one_failing = failing(&settings);
    let mut two_failing = one_failing.clone();
    for (front, report) in one_failing.iter() {
        let mut both = report.clone();
        both.version = 2;
        let counts = both.report.servers[0].counts;
        let instance = ServerInstance { server: 4, boot_hash: 1 };
        both.report.servers.push(ServerReport { instance, counts });
        two_failing.insert(&settings, front, both);
    }
    let mut timeline = Timeline::new(settings);
    timeline.run_for(5 * SECOND, &two_failing, SERVER.boot_hash);
    timeline.expect_events("two of three servers of a zone", &["ejected", "suppressed"])
}

/// Checks all ways in which an ejection ends, and the ejection limit.
pub fn check_ejections(settings: DetectionSettings) -> Result<(), String> {
    check_expiry(settings)?;
    check_restart(settings)?;
    check_probes(settings)?;
    check_ejection_limit(settings)
}

#[test]
fn ejections_expire_in_steps_and_respect_the_zone_limit() {
    assert_eq!(check_ejections(DetectionSettings::default()), Ok(()));
}

#[test]
fn front_leaves_the_next_probe_to_others_after_its_own() {
    let settings = DetectionSettings::default();
    let (failing, none) = (failing(&settings), FrontReports::default());
    let current = |server: u32| {
        if server == SERVER.server { SERVER } else { ServerInstance { server, boot_hash: 1 } }
    };
    let mut detector = OutlierDetector::new(settings);
    detector.evaluate(SECOND, &failing, &servers(), current, false);
    let early = detector.evaluate(10 * SECOND, &none, &servers(), current, true);
    assert!(!early.wants_probe_lease && early.probing.is_none());
    assert_eq!(early.exclusions[0].admitted_per_mille, 0);
    let due = detector.evaluate(18 * SECOND, &none, &servers(), current, false);
    assert!(due.wants_probe_lease && due.probing.is_none());
    let probing = detector.evaluate(19 * SECOND, &none, &servers(), current, true);
    assert!(probing.probing == Some(SERVER) && probing.exclusions.is_empty());
    detector.probe_ended(19 * SECOND, SERVER, false);
    let failed = detector.evaluate(20 * SECOND, &none, &servers(), current, true);
    assert!(
        failed.wants_probe_lease && failed.probing.is_none(),
        "the front keeps the lease to delay the next probe"
    );
    assert_eq!(failed.exclusions[0].admitted_per_mille, 0);
    let released = detector.evaluate(30 * SECOND, &none, &servers(), current, true);
    assert!(!released.wants_probe_lease && released.probing.is_none());
}
