//! Compatibility with a coordinator's store that the previous release wrote: commands print the same text for it, and a
//! coordinator that starts on it has the same leases.

mod support;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use support::{Process, beechloft, reserve_addresses, wait_until};

const STORE_FILE: &str = "0000000000000001.log";
/// Placeholder for the coordinator's address in the expected text.
const ADDRESS: &str = "ADDRESS";

/// Directory of the fixture.
fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/coordinator-store")
}

/// Expected output from the fixture.
fn expected(name: &str) -> String {
    std::fs::read_to_string(fixture().join("expected").join(name)).expect("read the fixture")
}

/// Copies the store, because opening it may change it.
fn copy_store(to: &Path) {
    std::fs::create_dir_all(to).expect("create the directory");
    std::fs::copy(fixture().join(STORE_FILE), to.join(STORE_FILE)).expect("copy the store");
}

/// Returns the output of a command that must succeed.
fn run_command(args: &[&str], path: &Path) -> String {
    let output = beechloft().args(args).arg(path).output().expect("run beechloft");
    assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("UTF-8")
}

/// Writes the coordinator's settings file, with additional lines in its `fleet` section.
fn write_settings(folder: &Path, address: SocketAddr, more: &str) -> PathBuf {
    let path = folder.join("coordinator.yaml");
    let store = folder.join("store");
    let text = format!(
        "fleet:\n  name: fixture\n  listen: {address}\n  keepers: ['{address}']\n  store: {}\n  \
         drift_ppm: 10000\n{more}",
        store.display()
    );
    std::fs::write(&path, text).expect("write");
    path
}

/// Starts a coordinator and waits until it is the leader.
fn start_coordinator(settings: &Path) -> Process {
    let coordinator = Process::start(beechloft().arg("keeper").arg(settings).stderr(Stdio::null()));
    wait_until(|| {
        let output =
            beechloft().args(["fleet", "status", "--json"]).arg(settings).output().expect("run beechloft");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if text.contains(r#""role":"leader""#) { Ok(()) } else { Err(text) }
    });
    coordinator
}

/// Returns what a command that doesn't end prints within a second.
fn run_for_a_second(args: &[&str], settings: &Path, folder: &Path) -> String {
    let path = folder.join("printed");
    let file = std::fs::File::create(&path).expect("create a file");
    let running = Process::start_to(beechloft().args(args).arg(settings).stderr(Stdio::null()), file);
    std::thread::sleep(Duration::from_secs(1));
    drop(running);
    std::fs::read_to_string(path).expect("read the output")
}

#[test]
fn store_commands_print_same_text_for_old_store() {
    for (command, name) in
        [("check", "store-check.txt"), ("stat", "store-stat.txt"), ("dump", "store-dump.txt")]
    {
        let folder = tempfile::tempdir().expect("create a temporary directory");
        copy_store(folder.path());
        assert_eq!(run_command(&["store", command], folder.path()), expected(name), "store {command}");
    }
}

#[test]
fn coordinator_on_old_store_has_same_leases_and_status() {
    let folder = tempfile::tempdir().expect("create a temporary directory");
    copy_store(&folder.path().join("store"));
    let address = reserve_addresses(1)[0];
    let topic = "  topics:\n    - {name: quotas, writers: many, retention_ms: 2592000000, keys: 100, bytes: 100000}\n";
    let file = write_settings(folder.path(), address, topic);
    let _coordinator = start_coordinator(&file);
    let status = |args| run_command(args, &file).replace(&address.to_string(), ADDRESS);
    assert_eq!(status(&["fleet", "status"]), expected("fleet-status.txt"));
    assert_eq!(status(&["fleet", "status", "--json"]), expected("fleet-status.json"));
    assert_eq!(run_command(&["lease", "list"], &file), expected("lease-list.txt"));
    assert_eq!(run_command(&["lease", "list", "--json"], &file), expected("lease-list.json"));
    let watch = |args| run_for_a_second(args, &file, folder.path());
    assert_eq!(watch(&["lease", "watch"]), expected("lease-watch.txt"));
    assert_eq!(watch(&["lease", "watch", "--json"]), expected("lease-watch.json"));
}

/// Replaces each number after `key`, which differs from run to run, with `N`.
fn mask_numbers_after(text: &str, key: &str) -> String {
    let mut masked = String::new();
    let mut rest = text;
    while let Some(position) = rest.find(key) {
        let (before, after) = rest.split_at(position + key.len());
        masked += before;
        masked.push('N');
        rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
    }
    masked + rest
}

#[test]
fn fleet_members_prints_same_format() {
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let address = reserve_addresses(1)[0];
    let file = write_settings(folder.path(), address, &format!("  seeds: ['{address}']\n"));
    let _coordinator = start_coordinator(&file);
    let json = run_command(&["fleet", "members", "--json"], &file).replace(&address.to_string(), ADDRESS);
    let id = json.split('"').nth(3).expect("member id").to_owned();
    let mut json = json.replace(&id, "ID");
    for key in ["\"since_ms\":", "\"known_ms\":", "\"sent\":", "\"sent_bytes\":"] {
        json = mask_numbers_after(&json, key);
    }
    assert_eq!(
        json,
        "{\"id\":\"ID\",\"address\":\"ADDRESS\",\"zone\":\"\",\"kind\":\"keeper\",\"life\":\"alive\",\
         \"since_ms\":N,\"known_ms\":N,\"incarnation\":0,\"asked\":true,\"sent\":N,\"sent_bytes\":N}\n"
    );
    let text =
        run_command(&["fleet", "members"], &file).replace(&address.to_string(), ADDRESS).replace(&id, "ID");
    let text = mask_numbers_after(&text, "alive for ");
    assert_eq!(text, "ID  ADDRESS  keeper  -  alive for N s  (asked)\n");
}
