//! The command `keeper`: runs a replica of the coordinator, or replaces one.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use beechloft_config::front::LogSettings;
use beechloft_consensus::NodeId;
use beechloft_coordinator::CoordinatorServer;
use beechloft_coordinator::client;
use beechloft_coordinator::wire::ReplicaStatus;

use super::args::{CoordinatorArgs, CoordinatorCommand};
use super::{settings, stop_flag};
use crate::{fail, log};

/// Runs the command `keeper`.
pub fn run_coordinator(args: &CoordinatorArgs) -> ExitCode {
    match (&args.command, &args.file) {
        (Some(CoordinatorCommand::Replace { file, old, new }), _) => replace(file, old, new),
        (None, Some(file)) => serve(file),
        (None, None) => fail(2, "missing settings file"),
    }
}

/// Time that the command waits for the leader to accept the replacement.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that the command waits until a majority reports the new replica as a voter.
const VOTER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that one replica has to answer a request for its status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Replaces a lost replica and waits until a majority reports the new one as a voter.
fn replace(file: &Path, old: &str, new: &str) -> ExitCode {
    let settings = match settings(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let parse_id = |text: &str| u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16).map(NodeId);
    let (Some(old_id), Some(new_id)) = (parse_id(old), parse_id(new)) else {
        return fail(2, "a replica id must have 16 hex digits, as printed by `fleet status`");
    };
    if let Err(error) = client::replace(&settings, old_id, new_id, REPLACE_TIMEOUT) {
        return fail(1, error);
    }
    let deadline = std::time::Instant::now() + VOTER_TIMEOUT;
    while std::time::Instant::now() < deadline {
        let statuses = settings
            .replicas
            .iter()
            .filter_map(|replica| client::status(&settings, *replica, STATUS_TIMEOUT));
        let reports_voter =
            |status: &ReplicaStatus| status.members.iter().any(|member| member.id == new && member.voter);
        if statuses.filter(reports_voter).count() * 2 > settings.replicas.len() {
            println!("replica {new} has replaced {old}");
            return ExitCode::SUCCESS;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    fail(1, format_args!("{old} is removed, but {new} isn't a voter yet; see `fleet status`"))
}

/// Runs a replica until SIGTERM.
fn serve(file: &Path) -> ExitCode {
    let settings = match settings(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    log::start(&LogSettings::default());
    match CoordinatorServer::start(settings, stop_flag()) {
        Ok(mut server) => match server.run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(1, e),
        },
        Err(e) => fail(2, e),
    }
}
