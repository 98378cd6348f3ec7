//! `keeper`, `lease` and `fleet`: the keepers of the fleet's leases, and those who ask for them.

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

pub use args::{Fleet, Keeper, Lease};
pub use coordinator::run_coordinator;

pub fn settings(file: &Path) -> Result<FleetSettings, ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|e| fail(2, format_args!("{}: {e}", file.display())))?;
    // A front's file, with all that is in it, or one of the fleet's section alone.
    let read = config_reader::read(&text, |top| match top.has("service") {
        true => serve::read_sections(top).1,
        false => Some(FleetSettings::from_section(&top.section("fleet"), None)),
    });
    match read {
        Ok(Some(set)) => Ok(set),
        Ok(None) => Err(fail(2, format_args!("{}: there is no fleet section", file.display()))),
        Err(faults) => Err(fail(2, format_args!("{}: {faults}", file.display()))),
    }
}

fn told_to_end() -> Arc<AtomicBool> {
    let end = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        // Without it the process ends at once, which a keeper stands as well.
        let _ = signal_hook::flag::register(signal, Arc::clone(&end));
    }
    end
}

/// Runs one of `fleet`'s.
pub fn fleet(command: &Fleet) -> ExitCode {
    match command {
        Fleet::Members { file, of, json } => members(file, *of, *json),
        Fleet::Status { file, json } => status(file, *json),
    }
}

/// Runs one of `lease`'s.
pub fn lease(command: &Lease) -> ExitCode {
    match command {
        Lease::List { file, json } => list(file, *json),
        Lease::Act { at, holder, every_ms } => {
            token_probe::run(*at, holder, Duration::from_millis(*every_ms))
        }
        Lease::Watch { file, name, json } => watch(file, name.as_deref(), *json),
        Lease::Hold { file, name, holders, ttl_ms, wait_ms, command } => {
            let set = match settings(file) {
                Ok(set) => set,
                Err(code) => return code,
            };
            let name = match Name::try_from(name.clone()) {
                Ok(name) => name,
                Err(e) => return fail(2, e),
            };
            let terms = LeaseSpec { name, slots: *holders, ttl_ms: *ttl_ms };
            if let Err(e) = terms.check(set.drift_bound) {
                return fail(2, e);
            }
            hold(set, &terms, wait_ms.map(Duration::from_millis), command)
        }
    }
}
