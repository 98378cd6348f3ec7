//! The commands `serve` and `check`.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use beechloft_config::FrontSettings;
use beechloft_config_reader::{self as config_reader, ConfigError, Section};
use beechloft_coordinator::{FleetSettings, KnownNames};
use beechloft_quotas::bounds;
use beechloft_server::Front;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::fleet_membership::FleetMembership;
use crate::{fail, log};

/// Time that a stopping front has to answer the requests that it has accepted.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which a front that waits for permission to stop asks for it.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reads a front's settings, and those of its fleet if there is a `fleet` section.
pub fn read_sections(top: &Section<'_>) -> (FrontSettings, Option<FleetSettings>) {
    let front = FrontSettings::read(top);
    let fleet = top.has("fleet").then(|| {
        let section = top.section("fleet");
        let known = KnownNames { customers: &front.service.tenants, classes: &front.service.classes };
        let mut fleet = FleetSettings::from_front_section(&section, &front.service.zones, known);
        if let Some(quotas) = &mut fleet.quotas {
            // SIP calls carry no tag, so media servers can't report which calls a lost front left behind.
            quotas.tagged = front.sip.is_none();
        }
        if fleet.front_slot.is_some() && front.has_configured_slot {
            section
                .report("number", "the front's number comes from a lease; remove front.number and front.of");
        }
        fleet
    });
    (front, fleet)
}

/// Runs a front until SIGINT or SIGTERM.
pub fn serve(file: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return fail(2, format_args!("{}: {e}", file.display())),
    };
    let (settings, fleet) = match config_reader::read(&text, read_sections) {
        Ok(settings) => settings,
        Err(errors) => return report_errors(file, &errors.0),
    };
    log::start(&settings.log);
    // Signals are registered before the first thread starts, so that none is missed.
    let mut signals = match Signals::new([SIGINT, SIGTERM]) {
        Ok(signals) => signals,
        Err(e) => return fail(1, format_args!("can't register signal handlers: {e}")),
    };
    let listen = settings.listen;
    let slow_start_window = Duration::from_micros(settings.settings.slow_start.overload_window.0);
    let mut membership =
        match fleet.map(|settings| FleetMembership::start(&settings, slow_start_window)).transpose() {
            Ok(membership) => membership,
            Err(e) => return fail(1, e),
        };
    let started = match &membership {
        Some(membership) => Front::start_in_fleet(settings, membership.hooks()),
        None => Front::start(settings, None),
    };
    let front = match started {
        Ok(front) => front,
        Err(e) => return fail(1, format_args!("{listen}: {e}")),
    };
    if let Some(Err(e)) =
        membership.as_ref().map(|membership| membership.start_orphan_reconciliation(front.media_servers()))
    {
        return fail(1, e);
    }
    signals.forever().next();
    if let Some(membership) = &membership {
        wait_for_stop_permission(membership, &mut signals);
    }
    front.stop(STOP_TIMEOUT);
    if let Some(membership) = &mut membership {
        membership.leave();
    }
    ExitCode::SUCCESS
}

/// Keeps serving until the front may stop, the maximum wait has passed, or a second signal arrives.
fn wait_for_stop_permission(membership: &FleetMembership, signals: &mut Signals) {
    let Some(max_wait) = membership.request_stop() else { return };
    let deadline = Instant::now() + max_wait;
    while !membership.may_stop() {
        if signals.pending().next().is_some() {
            return;
        }
        if Instant::now() >= deadline {
            return tracing::warn!("no permission to stop within the maximum wait; stopping without it");
        }
        std::thread::sleep(STOP_POLL_INTERVAL);
    }
}

/// Checks a settings file, or a day script if `day` is set, and reports all errors.
pub fn check(file: &Path, day: bool) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return fail(2, format_args!("{}: {e}", file.display())),
    };
    let result = if day {
        beechloft_scenario::parse(&text, 1).map(|_| None)
    } else {
        config_reader::read(&text, read_sections).map(|(_, fleet)| fleet)
    };
    match result {
        Err(errors) => report_errors(file, &errors.0),
        Ok(fleet) => {
            println!("{}: sound", file.display());
            print_quota_bounds(fleet.as_ref());
            ExitCode::SUCCESS
        }
    }
}

/// Prints the bounds that the quotas of a settings file guarantee.
fn print_quota_bounds(fleet: Option<&FleetSettings>) {
    let Some((fleet, quotas)) = fleet.and_then(|fleet| Some((fleet, fleet.quotas.as_ref()?))) else { return };
    for definition in &quotas.definitions {
        for line in bounds::describe(definition, &quotas.rules, fleet.drift_bound) {
            println!("limit {}: {line}", definition.name);
        }
    }
}

/// Prints the errors of a settings file, one per line.
fn report_errors(file: &Path, errors: &[ConfigError]) -> ExitCode {
    for error in errors {
        eprintln!("{}:{error}", file.display());
    }
    ExitCode::from(2)
}
