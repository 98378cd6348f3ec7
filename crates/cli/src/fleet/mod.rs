//! The commands `keeper`, `lease` and `fleet`: the fleet's coordinator and its clients.

mod args;
mod coordinator;
mod lease_hold;
mod reports;
mod token_probe;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use beechloft_config_reader as config_reader;
use beechloft_coordinator::FleetSettings;
use beechloft_leases::{LeaseSpec, Name};

use self::lease_hold::hold;
use self::reports::{list, members, status, watch};
use crate::{fail, serve};

pub use args::{CoordinatorArgs, FleetCommand, LeaseCommand};
pub use coordinator::run_coordinator;

/// Reads the fleet's settings from a file. Prints errors and returns the exit code if the file is invalid.
pub fn settings(file: &Path) -> Result<FleetSettings, ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|e| fail(2, format_args!("{}: {e}", file.display())))?;
    // The file is either a front's complete settings file or has a `fleet` section only.
    let result = config_reader::read(&text, |top| match top.has("service") {
        true => serve::read_sections(top).1,
        false => Some(FleetSettings::from_section(&top.section("fleet"), None)),
    });
    match result {
        Ok(Some(settings)) => Ok(settings),
        Ok(None) => Err(fail(2, format_args!("{}: missing fleet section", file.display()))),
        Err(errors) => Err(fail(2, format_args!("{}: {errors}", file.display()))),
    }
}

/// Returns a flag that SIGTERM and SIGINT set.
fn stop_flag() -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        // If registration fails, the signal ends the process at once, which a coordinator tolerates as well.
        let _ = signal_hook::flag::register(signal, Arc::clone(&stop));
    }
    stop
}

/// Runs a subcommand of `fleet`.
pub fn fleet(command: &FleetCommand) -> ExitCode {
    match command {
        FleetCommand::Members { file, of, json } => members(file, *of, *json),
        FleetCommand::Status { file, json } => status(file, *json),
    }
}

/// Runs a subcommand of `lease`.
pub fn lease(command: &LeaseCommand) -> ExitCode {
    match command {
        LeaseCommand::List { file, json } => list(file, *json),
        LeaseCommand::Act { at, holder, every_ms } => {
            token_probe::run(*at, holder, Duration::from_millis(*every_ms))
        }
        LeaseCommand::Watch { file, name, json } => watch(file, name.as_deref(), *json),
        LeaseCommand::Hold { file, name, holders, ttl_ms, wait_ms, command } => {
            let settings = match settings(file) {
                Ok(settings) => settings,
                Err(code) => return code,
            };
            let name = match Name::try_from(name.clone()) {
                Ok(name) => name,
                Err(e) => return fail(2, e),
            };
            let spec = LeaseSpec { name, slots: *holders, ttl_ms: *ttl_ms };
            if let Err(e) = spec.check(settings.drift_bound) {
                return fail(2, e);
            }
            hold(settings, &spec, wait_ms.map(Duration::from_millis), command)
        }
    }
}
