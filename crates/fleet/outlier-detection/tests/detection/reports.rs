//! Fixtures: reports of several fronts on one server.

use std::time::Duration;

use beechloft_outlier_detection::{
    AttemptCounts, DetectionSettings, FrontId, FrontReport, FrontReports, Report, ServerInstance,
    ServerLocation, ServerLocations, ServerReport,
};

pub const SECOND: Duration = Duration::from_secs(1);
pub const SERVER: ServerInstance = ServerInstance { server: 7, boot_hash: 70 };

/// The finding of a front about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The front made no attempt.
    None,
    Failing,
    Healthy,
}

/// The zone and the finding of a front.
pub type ZoneFinding = (u16, Finding);

/// Returns nine servers of equal capacity in three zones.
pub fn servers() -> ServerLocations {
    let location = |server: u16| ServerLocation { zone: server % 3, capacity: 1.0 };
    (0..9).map(|server| (u32::from(server), location(server))).collect()
}

fn counts(finding: Finding) -> Option<AttemptCounts> {
    match finding {
        Finding::None => None,
        // Most attempts at other servers of the zone succeeded.
        Finding::Failing => Some(AttemptCounts {
            attempts: 3,
            errors: 3,
            zone_successes: 5,
            zone_failures: 1,
            ..AttemptCounts::default()
        }),
        Finding::Healthy => Some(AttemptCounts { attempts: 3, ..AttemptCounts::default() }),
    }
}

pub fn front_report(zone: u16, finding: Finding) -> FrontReport {
    let server = counts(finding).map(|counts| ServerReport { instance: SERVER, counts });
    let servers = server.into_iter().collect();
    FrontReport { version: 1, zone, report: Report { servers, ..Report::default() } }
}

pub fn front_reports(settings: &DetectionSettings, findings: &[ZoneFinding]) -> FrontReports {
    let mut reports = FrontReports::default();
    for (front, (zone, finding)) in findings.iter().enumerate() {
        reports.insert(settings, FrontId(front as u64), front_report(*zone, *finding));
    }
    reports
}

/// Returns the findings of six fronts in three zones that all find the server failing.
pub fn six_failing() -> Vec<ZoneFinding> {
    (0..6).map(|front| (front % 3, Finding::Failing)).collect()
}
