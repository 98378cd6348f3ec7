//! Tests of the detection of outliers, of ejections over time, and of the window of attempts.

mod attempt_window;
mod decisions;
mod ejection;
mod reports;

use beechloft_outlier_detection::{DetectionSettings, Fault};

fn settings_with(fault: Fault) -> DetectionSettings {
    let mut settings = DetectionSettings::default();
    settings.inject_fault(fault);
    settings
}

#[test]
fn injected_faults_are_detected() {
    for fault in [Fault::OneZone, Fault::OneFront, Fault::OneHealthyFrontVetoes] {
        let detected =
            decisions::check_one_lying_front(&settings_with(fault)).expect_err("the fault is detected");
        println!("{fault:?}: {detected}");
    }
    for fault in [
        Fault::NoExpiry,
        Fault::IgnoresInstance,
        Fault::ProbesWithoutLease,
        Fault::NoProbation,
        Fault::OneProbe,
        Fault::NoEjectionLimit,
    ] {
        let detected = ejection::check_ejections(settings_with(fault)).expect_err("the fault is detected");
        println!("{fault:?}: {detected}");
    }
}
