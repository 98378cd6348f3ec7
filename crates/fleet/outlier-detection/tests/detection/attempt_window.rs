//! What a front counts of its own attempts.

use beechloft_outlier_detection::{
    Attempt, AttemptWindow, DetectionSettings, MAX_REPORT_BYTES, Outcome, Report, ServerInstance,
};

use super::reports::SECOND;

fn instance(server: u32) -> ServerInstance {
    ServerInstance { server, boot_hash: 1 }
}

/// An attempt at a tenth of a second.
struct Tried {
    tenth: u32,
    server: u32,
    outcome: Outcome,
}

fn success(tenth: u32, server: u32) -> Tried {
    Tried { tenth, server, outcome: Outcome::Success }
}

fn error(tenth: u32, server: u32) -> Tried {
    Tried { tenth, server, outcome: Outcome::Error }
}

/// Successes and failures at others of the zone that are reported of server 7. Servers 1, 4 and 7 are of one zone, 2 of another.
fn zone_context(attempts: &[Tried]) -> (u8, u8) {
    let mut window = AttemptWindow::new(DetectionSettings::default().window, 0);
    for tried in attempts {
        let attempt = Attempt {
            instance: instance(tried.server),
            zone: if tried.server == 2 { 2 } else { 1 },
            title: 0,
            viewer: None,
            outcome: tried.outcome,
            is_probe: false,
        };
        window.record(SECOND + SECOND / 10 * tried.tenth, attempt);
    }
    let report = window.report(9 * SECOND, &[].into());
    let counts = report.counts_of(instance(7)).copied().expect("it was tried");
    (counts.zone_successes, counts.zone_failures)
}

#[test]
fn successes_before_or_after_a_servers_failures_show_nothing_of_the_time_between() {
    let between = [success(0, 4), error(1, 7), success(2, 4), error(3, 7), success(4, 4)];
    assert_eq!(zone_context(&between), (1, 0));
    // A partition: success before, all fails, success after.
    let partition = [success(0, 4), error(1, 7), error(2, 4), error(3, 1), error(4, 7), success(5, 1)];
    assert_eq!(zone_context(&partition), (0, 2));
    // Another zone shows nothing of this one.
    assert_eq!(zone_context(&[error(1, 7), success(2, 2), error(3, 7)]), (0, 0));
    assert_eq!(zone_context(&[success(0, 4), error(1, 7), success(2, 4)]), (0, 0), "one failure");
}

#[test]
fn the_window_slides_and_its_report_is_bounded() {
    let mut window = AttemptWindow::new(10 * SECOND, 0);
    for server in 0..100u32 {
        for number in 0..=server {
            let fails = number.is_multiple_of(2) && server < 50;
            let attempt = Attempt {
                instance: instance(server),
                zone: u16::try_from(server % 3).expect("small"),
                title: number % 60,
                viewer: Some(u64::from(number)),
                outcome: if fails { Outcome::Error } else { Outcome::Success },
                is_probe: number == 0,
            };
            window.record(5 * SECOND, attempt);
        }
    }
    let requested = [80].into();
    let report = window.report(6 * SECOND, &requested);
    assert!(report.counts_of(instance(80)).is_some(), "it was requested");
    let bytes = report.encode();
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{}", bytes.len());
    assert!(Report::decode(&bytes).expect("valid").servers.len() >= 20);
    assert!(Report::decode(&bytes[..bytes.len() - 1]).is_err());
    assert!(Report::decode(&vec![0xff; MAX_REPORT_BYTES]).is_err());
    let empty = window.report(15 * SECOND, &requested);
    assert_eq!(empty, Report::default());
}
