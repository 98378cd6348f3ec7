//! What is printed of the fleet: members, keepers and grants.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use beechloft_coordinator::client::{self, WatchEvent};
use beechloft_coordinator::wire::{LeaseInfo, ReplicaStatus};
use beechloft_leases::Name;

use super::settings;
use crate::fail;

pub(super) fn members(file: &Path, of: Option<std::net::SocketAddr>, json: bool) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let anyone = set.listen.into_iter().chain(set.seeds.iter().copied()).chain(set.replicas.iter().copied());
    let asked: Vec<_> = of.map_or_else(|| anyone.collect(), |of| vec![of]);
    let mut seen = asked.iter().filter_map(|at| client::members(&set, *at, Duration::from_secs(1)));
    let Some(mut lines) = seen.next() else {
        return fail(1, "no member answers");
    };
    lines.sort_by(|a, b| (&a.zone, &a.address, &a.id).cmp(&(&b.zone, &b.address, &b.id)));
    for l in lines {
        if json {
            println!("{}", serde_json::to_string(&l).unwrap_or_default());
        } else {
            let zone = if l.zone.is_empty() { "-" } else { &l.zone };
            let mark = if l.is_reporter { "  (asked)" } else { "" };
            println!(
                "{}  {}  {}  {zone}  {} for {} s{mark}",
                l.id,
                l.address,
                l.kind,
                l.state,
                l.since_ms / 1_000
            );
        }
    }
    ExitCode::SUCCESS
}

pub(super) fn status(file: &Path, json: bool) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let mut reached = 0;
    for keeper in &set.replicas {
        let status = client::status(&set, *keeper, Duration::from_millis(1_000));
        reached += usize::from(status.is_some());
        if json {
            println!("{}", serde_json::json!({"keeper": keeper.to_string(), "status": status}));
        } else {
            match status {
                Some(s) => print_status(keeper, &s),
                None => println!("{keeper}  not reached"),
            }
        }
    }
    if reached * 2 > set.replicas.len() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn print_status(keeper: &std::net::SocketAddr, s: &ReplicaStatus) {
    let voters = s.members.iter().filter(|m| m.voter).count();
    println!(
        "{keeper}  {}  {}  term {}  committed {} of {}  voters {voters} of {}",
        s.id,
        s.role,
        s.term,
        s.commit_index,
        s.last_index,
        s.members.len()
    );
    for t in &s.topics {
        println!(
            "    topic {}  head {}  horizon {}  keys {}  bytes {} (held {})  subscribers {}  behind {} ms at most",
            t.name, t.head, t.horizon, t.keys, t.bytes, t.memory_bytes, t.subscribers, s.staleness_ms
        );
    }
}

pub(super) fn list(file: &Path, json: bool) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let Some(lines) = client::list(&set, Duration::from_secs(5)) else {
        return fail(1, "no keeper leads");
    };
    for l in lines {
        if json {
            println!("{}", serde_json::to_string(&l).unwrap_or_default());
        } else {
            println!(
                "{}  place {} of {}  token {}  holder {:016x}  {} ms  renewed {}",
                l.name, l.slot, l.slots, l.token, l.holder, l.ttl_ms, l.renewals
            );
        }
    }
    ExitCode::SUCCESS
}

pub(super) fn watch(file: &Path, name: Option<&str>, json: bool) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let name = match name.map(|n| Name::try_from(n.to_owned())).transpose() {
        Ok(name) => name,
        Err(e) => return fail(2, e),
    };
    let mut out = std::io::stdout();
    client::watch(&set, name.as_ref(), |watched| {
        let text = match (json, watched) {
            (true, WatchEvent::Snapshot(lines)) => serde_json::json!({ "stands": lines }).to_string(),
            (true, WatchEvent::Changed(line)) => serde_json::json!({ "changed": line }).to_string(),
            (false, WatchEvent::Snapshot(lines)) => {
                let one = |l: &LeaseInfo| {
                    format!("{}  place {} of {}  token {}  stands", l.name, l.slot, l.slots, l.token)
                };
                lines.iter().map(one).collect::<Vec<_>>().join("\n")
            }
            (false, WatchEvent::Changed(l)) => format!("{}  token {}  {}", l.name, l.token, l.kind),
        };
        // Whoever read it is gone.
        (text.is_empty() || writeln!(out, "{text}").is_ok()) && out.flush().is_ok()
    });
    ExitCode::SUCCESS
}
