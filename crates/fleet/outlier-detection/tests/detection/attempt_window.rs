//! The sliding window of a front's own attempts.

use beechloft_outlier_detection::{
    Attempt, AttemptWindow, DetectionSettings, MAX_REPORT_BYTES, Outcome, Report, ServerInstance,
};

use super::reports::SECOND;

fn instance(server: u32) -> ServerInstance {
    ServerInstance { server, boot_hash: 1 }
}

/// An attempt that ends at a time in tenths of a second.
struct TestAttempt {
    tenths: u32,
    server: u32,
    outcome: Outcome,
}

fn success(tenths: u32, server: u32) -> TestAttempt {
    TestAttempt { tenths, server, outcome: Outcome::Success }
}

fn error(tenths: u32, server: u32) -> TestAttempt {
    TestAttempt { tenths, server, outcome: Outcome::Error }
}

/// Returns the reported successes and failures at other servers of the zone of server 7.
///
/// Servers 1, 4 and 7 are in one zone, and server 2 is in another.
fn zone_context(attempts: &[TestAttempt]) -> (u8, u8) {
    let mut window = AttemptWindow::new(DetectionSettings::default().window, 0);
    for attempt in attempts {
        let recorded = Attempt {
            instance: instance(attempt.server),
            zone: if attempt.server == 2 { 2 } else { 1 },
            title: 0,
            viewer: None,
            outcome: attempt.outcome,
            is_probe: false,
        };
        window.record(SECOND + SECOND / 10 * attempt.tenths, recorded);
    }
    let report = window.report(9 * SECOND, &[].into());
    let counts = report.counts_of(instance(7)).copied().expect("server 7 is reported");
    (counts.zone_successes, counts.zone_failures)
}

#[test]
fn zone_context_ignores_attempts_outside_the_failures() {
    let between = [success(0, 4), error(1, 7), success(2, 4), error(3, 7), success(4, 4)];
    assert_eq!(zone_context(&between), (1, 0));
    // A partition: all attempts in the zone fail, and attempts before and after it succeed.
    let partition = [success(0, 4), error(1, 7), error(2, 4), error(3, 1), error(4, 7), success(5, 1)];
    assert_eq!(zone_context(&partition), (0, 2));
    // Successes in another zone do not count.
    assert_eq!(zone_context(&[error(1, 7), success(2, 2), error(3, 7)]), (0, 0));
    assert_eq!(zone_context(&[success(0, 4), error(1, 7), success(2, 4)]), (0, 0), "a single failure");
}

#[test]
fn window_slides_and_bounds_its_report() {
    let mut window = AttemptWindow::new(10 * SECOND, 0);
    for server in 0..100u32 {
        for index in 0..=server {
            let fails = index.is_multiple_of(2) && server < 50;
            let attempt = Attempt {
                instance: instance(server),
                zone: u16::try_from(server % 3).expect("a small integer"),
                title: index % 60,
                viewer: Some(u64::from(index)),
                outcome: if fails { Outcome::Error } else { Outcome::Success },
                is_probe: index == 0,
            };
            window.record(5 * SECOND, attempt);
        }
    }
    let requested = [80].into();
    let report = window.report(6 * SECOND, &requested);
    assert!(report.counts_of(instance(80)).is_some(), "server 80 was requested");
    let bytes = report.encode();
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{}", bytes.len());
    assert!(Report::decode(&bytes).expect("a valid report").servers.len() >= 20);
    assert!(Report::decode(&bytes[..bytes.len() - 1]).is_err());
    assert!(Report::decode(&vec![0xff; MAX_REPORT_BYTES]).is_err());
    let empty = window.report(15 * SECOND, &requested);
    assert_eq!(empty, Report::default());
}
