//! `node`: the real front node on the platform's protocol.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use beechloft_config::front::LogSettings;
use beechloft_event_loop::Shell;
use beechloft_protocol::config::Environment;

use crate::fleet_membership::FleetMembership;
use crate::{fail, fleet, log};

/// The variable that names the configuration's file.
const CONFIG: &str = "ROUTER_CONFIG";

/// Runs the front node that the environment tells of, until SIGTERM; as one of a fleet, if a file says which.
pub fn node(of_fleet: Option<&Path>) -> ExitCode {
    let Some(path) = std::env::var_os(CONFIG).map(PathBuf::from) else {
        return fail(2, format_args!("{CONFIG} is not set"));
    };
    let set = match of_fleet.map(fleet::settings).transpose() {
        Ok(set) => set,
        Err(code) => return code,
    };
    log::start(&LogSettings { filter: "info".into(), json: false });
    // What is no text agrees with nothing.
    let stated = |name| std::env::var_os(name).map(|v| v.to_string_lossy().into_owned());
    let stated = Environment { name: stated("ROUTER_NAME"), listen: stated("ROUTER_LISTEN") };
    let mut shell = match Shell::start(&path, &stated) {
        Ok(shell) => shell,
        Err(e) => return fail(2, e),
    };
    let mut among = match set.map(|set| FleetMembership::start(&set, shell.pace_span())).transpose() {
        Ok(among) => among,
        Err(e) => return fail(2, e),
    };
    if let Some(among) = &among {
        shell.join(among.for_shell());
    }
    let ended = shell.run();
    if let Some(among) = &mut among {
        among.leave();
    }
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(1, e),
    }
}
