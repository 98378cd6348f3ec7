//! Output of the commands that show the fleet: members, replicas of the coordinator and grants.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use beechloft_coordinator::client::{self, WatchEvent};
use beechloft_coordinator::wire::{LeaseInfo, ReplicaStatus};
use beechloft_leases::Name;

use super::settings;
use crate::fail;

/// Time that a process has to answer a request for its members or status.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which the leader has to list the grants.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the members that the first process to answer sees.
pub(super) fn members(file: &Path, of: Option<std::net::SocketAddr>, json: bool) -> ExitCode {
    let settings = match settings(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let known = settings
        .listen
        .into_iter()
        .chain(settings.seeds.iter().copied())
        .chain(settings.replicas.iter().copied());
    let addresses: Vec<_> = of.map_or_else(|| known.collect(), |of| vec![of]);
    let mut answers =
        addresses.iter().filter_map(|address| client::members(&settings, *address, QUERY_TIMEOUT));
    let Some(mut members) = answers.next() else {
        return fail(1, "no member answered");
    };
    members.sort_by(|a, b| (&a.zone, &a.address, &a.id).cmp(&(&b.zone, &b.address, &b.id)));
    for member in members {
        if json {
            println!("{}", serde_json::to_string(&member).unwrap_or_default());
        } else {
            let zone = if member.zone.is_empty() { "-" } else { &member.zone };
            let mark = if member.is_reporter { "  (asked)" } else { "" };
            println!(
                "{}  {}  {}  {zone}  {} for {} s{mark}",
                member.id,
                member.address,
                member.kind,
                member.state,
                member.since_ms / 1_000
            );
        }
    }
    ExitCode::SUCCESS
}

/// Prints the status of each replica. Fails unless a majority answers.
pub(super) fn status(file: &Path, json: bool) -> ExitCode {
    let settings = match settings(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let mut reached = 0;
    for address in &settings.replicas {
        let status = client::status(&settings, *address, QUERY_TIMEOUT);
        reached += usize::from(status.is_some());
        if json {
            println!("{}", serde_json::json!({"keeper": address.to_string(), "status": status}));
        } else {
            match status {
                Some(status) => print_status(address, &status),
                None => println!("{address}  not reached"),
            }
        }
    }
    if reached * 2 > settings.replicas.len() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn print_status(address: &std::net::SocketAddr, status: &ReplicaStatus) {
    let voters = status.members.iter().filter(|member| member.voter).count();
    println!(
        "{address}  {}  {}  term {}  committed {} of {}  voters {voters} of {}",
        status.id,
        status.role,
        status.term,
        status.commit_index,
        status.last_index,
        status.members.len()
    );
    for topic in &status.topics {
        println!(
            "    topic {}  head {}  horizon {}  keys {}  bytes {} (held {})  subscribers {}  behind {} ms at most",
            topic.name,
            topic.head,
            topic.horizon,
            topic.keys,
            topic.bytes,
            topic.memory_bytes,
            topic.subscribers,
            status.staleness_ms
        );
    }
}

/// Prints all grants.
pub(super) fn list(file: &Path, json: bool) -> ExitCode {
    let settings = match settings(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let Some(leases) = client::list(&settings, LIST_TIMEOUT) else {
        return fail(1, "no replica of the coordinator is leader");
    };
    for lease in leases {
        if json {
            println!("{}", serde_json::to_string(&lease).unwrap_or_default());
        } else {
            println!(
                "{}  place {} of {}  token {}  holder {:016x}  {} ms  renewed {}",
                lease.name, lease.slot, lease.slots, lease.token, lease.holder, lease.ttl_ms, lease.renewals
            );
        }
    }
    ExitCode::SUCCESS
}

/// Prints the current grants and then their changes, until nobody reads the output.
pub(super) fn watch(file: &Path, name: Option<&str>, json: bool) -> ExitCode {
    let settings = match settings(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let name = match name.map(|name| Name::try_from(name.to_owned())).transpose() {
        Ok(name) => name,
        Err(e) => return fail(2, e),
    };
    let mut out = std::io::stdout();
    client::watch(&settings, name.as_ref(), |event| {
        let text = match (json, event) {
            (true, WatchEvent::Snapshot(leases)) => serde_json::json!({ "stands": leases }).to_string(),
            (true, WatchEvent::Changed(lease)) => serde_json::json!({ "changed": lease }).to_string(),
            (false, WatchEvent::Snapshot(leases)) => {
                let describe = |lease: &LeaseInfo| {
                    format!(
                        "{}  place {} of {}  token {}  stands",
                        lease.name, lease.slot, lease.slots, lease.token
                    )
                };
                leases.iter().map(describe).collect::<Vec<_>>().join("\n")
            }
            (false, WatchEvent::Changed(lease)) => {
                format!("{}  token {}  {}", lease.name, lease.token, lease.kind)
            }
        };
        // Watching ends when the reader has closed the pipe.
        (text.is_empty() || writeln!(out, "{text}").is_ok()) && out.flush().is_ok()
    });
    ExitCode::SUCCESS
}
