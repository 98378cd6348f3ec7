//! The command `node`: runs a front node on the platform's protocol.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use beechloft_config::front::LogSettings;
use beechloft_event_loop::EventLoop;
use beechloft_protocol::config::Environment;

use crate::fleet_membership::FleetMembership;
use crate::{fail, fleet, log};

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";

/// Exit code of a front node that stopped because of an error.
const RUN_FAILED: u8 = 1;

/// Exit code of a front node that can't start.
const START_FAILED: u8 = 2;

/// Runs the front node that the environment describes until SIGTERM. The node joins a fleet if a file with the fleet's settings
/// is given.
pub fn node(fleet_file: Option<&Path>) -> ExitCode {
    let Some(config_path) = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from) else {
        return fail(START_FAILED, format_args!("{CONFIG_VARIABLE} is not set"));
    };
    let fleet_settings = match fleet_file.map(fleet::settings).transpose() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    log::start(&LogSettings { filter: "info".into(), json: false });
    let mut event_loop = match EventLoop::start(&config_path, &environment()) {
        Ok(event_loop) => event_loop,
        Err(e) => return fail(START_FAILED, e),
    };
    let slow_start_window = event_loop.slow_start_window();
    let mut membership =
        match fleet_settings.map(|settings| FleetMembership::start(&settings, slow_start_window)).transpose()
        {
            Ok(membership) => membership,
            Err(e) => return fail(START_FAILED, e),
        };
    if let Some(membership) = &membership {
        event_loop.join_fleet(membership.event_loop_hooks());
    }
    let result = event_loop.run();
    if let Some(membership) = &mut membership {
        membership.leave();
    }
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(RUN_FAILED, e),
    }
}

/// Reads this front node's name and address from the environment. A value that isn't UTF-8 is converted lossily, so that it
/// matches no configuration.
fn environment() -> Environment {
    let variable = |name| std::env::var_os(name).map(|value| value.to_string_lossy().into_owned());
    Environment { name: variable("ROUTER_NAME"), listen: variable("ROUTER_LISTEN") }
}
