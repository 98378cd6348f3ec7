//! `serve` and `check`.

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

/// How long a front may take to answer what it took, once it is told to stop.
const STOP_WITHIN: Duration = Duration::from_secs(6);
/// How often a front that waits for its turn to restart looks.
const LOOK: Duration = Duration::from_millis(20);

/// A front's settings, and its fleet's if it is one of a fleet.
pub fn read_sections(top: &Section<'_>) -> (FrontSettings, Option<FleetSettings>) {
    let front = FrontSettings::read(top);
    let fleet = top.has("fleet").then(|| {
        let section = top.section("fleet");
        let known = KnownNames { customers: &front.service.tenants, classes: &front.service.classes };
        let mut fleet = FleetSettings::from_front_section(&section, &front.service.zones, known);
        if let Some(quotas) = &mut fleet.quotas {
            // Calls carry no tag: what a lost front of calls left can't be asked of boxes.
            quotas.tagged = front.sip.is_none();
        }
        if fleet.front_slot.is_some() && front.has_configured_slot {
            section.report("number", "it comes by lease; front.number and front.of say something else");
        }
        fleet
    });
    (front, fleet)
}

/// Runs a front until it is told to stop.
pub fn serve(file: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return fail(2, format_args!("{}: {e}", file.display())),
    };
    let (settings, fleet) = match config_reader::read(&text, read_sections) {
        Ok(settings) => settings,
        Err(faults) => return faulty(file, &faults.0),
    };
    log::start(&settings.log);
    // Before the first thread starts, so that no signal is missed.
    let mut signals = match Signals::new([SIGINT, SIGTERM]) {
        Ok(signals) => signals,
        Err(e) => return fail(1, format_args!("no signals: {e}")),
    };
    let listen = settings.listen;
    let span = Duration::from_micros(settings.settings.slow_start.overload_window.0);
    let mut membership = match fleet.map(|set| FleetMembership::start(&set, span)).transpose() {
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
    if let Some(Err(e)) = membership.as_ref().map(|m| m.survey(front.media_servers())) {
        return fail(1, e);
    }
    signals.forever().next();
    if let Some(membership) = &membership {
        wait_for_turn(membership, &mut signals);
    }
    front.stop(STOP_WITHIN);
    if let Some(membership) = &mut membership {
        membership.leave();
    }
    ExitCode::SUCCESS
}

/// Goes on serving until it is this front's turn to restart, or it was waited for long enough, or it is told again.
fn wait_for_turn(membership: &FleetMembership, signals: &mut Signals) {
    let Some(waits) = membership.request_stop() else { return };
    let until = Instant::now() + waits;
    while !membership.may_stop() {
        if signals.pending().next().is_some() {
            return;
        }
        if Instant::now() >= until {
            return tracing::warn!("no turn to end within the time that is waited for one; it ends without");
        }
        std::thread::sleep(LOOK);
    }
}

/// Says what is wrong with a file, all at once.
pub fn check(file: &Path, day: bool) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return fail(2, format_args!("{}: {e}", file.display())),
    };
    let read = if day {
        beechloft_scenario::parse(&text, 1).map(|_| None)
    } else {
        config_reader::read(&text, read_sections).map(|(_, fleet)| fleet)
    };
    match read {
        Err(faults) => faulty(file, &faults.0),
        Ok(fleet) => {
            println!("{}: sound", file.display());
            promises(fleet.as_ref());
            ExitCode::SUCCESS
        }
    }
}

/// What the limits of a file promise, worked out from it.
fn promises(fleet: Option<&FleetSettings>) {
    let Some((fleet, limits)) = fleet.and_then(|f| Some((f, f.quotas.as_ref()?))) else { return };
    for definition in &limits.definitions {
        for line in bounds::describe(definition, &limits.rules, fleet.drift_bound) {
            println!("limit {}: {line}", definition.name);
        }
    }
}

fn faulty(file: &Path, faults: &[ConfigError]) -> ExitCode {
    for fault in faults {
        eprintln!("{}:{fault}", file.display());
    }
    ExitCode::from(2)
}
