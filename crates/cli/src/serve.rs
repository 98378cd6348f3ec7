//! `serve` and `check`.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use beechloft_config::front;
use beechloft_front::Front;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::{fail, log};

/// How long a front may take to answer what it took, once it is told to stop.
const STOP_WITHIN: Duration = Duration::from_secs(6);

/// Runs a front until it is told to stop.
pub fn serve(file: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return fail(2, format_args!("{}: {e}", file.display())),
    };
    let settings = match front::parse(&text) {
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
    let front = match Front::start(settings, None) {
        Ok(front) => front,
        Err(e) => return fail(1, format_args!("{listen}: {e}")),
    };
    signals.forever().next();
    front.stop(STOP_WITHIN);
    ExitCode::SUCCESS
}

/// Says what is wrong with a file, all at once.
pub fn check(file: &Path, day: bool) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return fail(2, format_args!("{}: {e}", file.display())),
    };
    let faults = if day { beechloft_day::parse(&text, 1).err() } else { front::parse(&text).err() };
    match faults {
        Some(faults) => faulty(file, &faults.0),
        None => {
            println!("{}: sound", file.display());
            ExitCode::SUCCESS
        }
    }
}

fn faulty(file: &Path, faults: &[beechloft_config::Fault]) -> ExitCode {
    for fault in faults {
        eprintln!("{}:{fault}", file.display());
    }
    ExitCode::from(2)
}
