//! `keeper`: to keep, and to change who does.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use beechloft_config::front::LogSettings;
use beechloft_consensus::NodeId;
use beechloft_coordinator::CoordinatorServer;
use beechloft_coordinator::client::{self};
use beechloft_coordinator::wire::ReplicaStatus;

use super::args::{Keeper, KeeperCommand};
use super::{settings, told_to_end};
use crate::{fail, log};

/// Keeps, or changes who does.
pub fn run_coordinator(args: &Keeper) -> ExitCode {
    match (&args.command, &args.file) {
        (Some(KeeperCommand::Replace { file, old, new }), _) => replace(file, old, new),
        (None, Some(file)) => keep(file),
        (None, None) => fail(2, "a settings file is needed"),
    }
}

pub(super) fn replace(file: &Path, old: &str, new: &str) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let id = |text: &str| u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16).map(NodeId);
    let (Some(old_id), Some(new_id)) = (id(old), id(new)) else {
        return fail(2, "an id has 16 hex digits, as `fleet status` says it");
    };
    if let Err(error) = client::replace(&set, old_id, new_id, Duration::from_secs(5)) {
        return fail(1, error);
    }
    let until = std::time::Instant::now() + Duration::from_secs(10);
    while std::time::Instant::now() < until {
        let all = set.replicas.iter().filter_map(|k| client::status(&set, *k, Duration::from_millis(500)));
        let votes = |s: &ReplicaStatus| s.members.iter().any(|m| m.id == new && m.voter);
        if all.filter(votes).count() * 2 > set.replicas.len() {
            println!("{new} is a keeper in place of {old}");
            return ExitCode::SUCCESS;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    fail(1, format_args!("{old} is let go, but {new} does not vote yet: see `fleet status`"))
}

/// Keeps until SIGTERM.
fn keep(file: &Path) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    log::start(&LogSettings::default());
    match CoordinatorServer::start(set, told_to_end()) {
        Ok(mut keeping) => match keeping.run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(1, e),
        },
        Err(e) => fail(2, e),
    }
}
