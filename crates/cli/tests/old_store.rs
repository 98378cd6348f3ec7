//! A coordinator's store as the release before wrote it: the commands print the same text of it, and a coordinator that is
//! started on it holds the same leases.

mod support;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use support::{Process, beechloft, kept_addresses, until};

const STORE_FILE: &str = "0000000000000001.log";
/// Stands for the coordinator's address in the expected text.
const ADDRESS: &str = "ADDRESS";

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/coordinator-store")
}

fn expected(name: &str) -> String {
    std::fs::read_to_string(fixture().join("expected").join(name)).expect("a fixture")
}

/// A copy of the store, as opening one may change it.
fn copy_store(to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    std::fs::copy(fixture().join(STORE_FILE), to.join(STORE_FILE)).expect("copied");
}

fn print(args: &[&str], path: &Path) -> String {
    let out = beechloft().args(args).arg(path).output().expect("it runs");
    assert!(out.status.success(), "{args:?}: {}", String::from_utf8_lossy(&out.stderr));
    String::from_utf8(out.stdout).expect("text")
}

fn settings(folder: &Path, address: SocketAddr, more: &str) -> PathBuf {
    let path = folder.join("coordinator.yaml");
    let store = folder.join("store");
    let text = format!(
        "fleet:\n  name: fixture\n  listen: {address}\n  keepers: ['{address}']\n  store: {}\n  \
         drift_ppm: 10000\n{more}",
        store.display()
    );
    std::fs::write(&path, text).expect("written");
    path
}

fn start(settings: &Path) -> Process {
    let coordinator = Process::start(beechloft().arg("keeper").arg(settings).stderr(Stdio::null()));
    until(|| {
        let out = beechloft().args(["fleet", "status", "--json"]).arg(settings).output().expect("it runs");
        let text = String::from_utf8_lossy(&out.stdout).into_owned();
        if text.contains(r#""role":"leader""#) { Ok(()) } else { Err(text) }
    });
    coordinator
}

/// What a command that does not end prints within a second.
fn print_for_a_second(args: &[&str], settings: &Path, folder: &Path) -> String {
    let path = folder.join("printed");
    let file = std::fs::File::create(&path).expect("a file");
    let running = Process::start_to(beechloft().args(args).arg(settings).stderr(Stdio::null()), file);
    std::thread::sleep(Duration::from_secs(1));
    drop(running);
    std::fs::read_to_string(path).expect("text")
}

#[test]
fn store_commands_print_the_same_text_of_an_old_store() {
    for (command, name) in
        [("check", "store-check.txt"), ("stat", "store-stat.txt"), ("dump", "store-dump.txt")]
    {
        let folder = tempfile::tempdir().expect("a folder");
        copy_store(folder.path());
        assert_eq!(print(&["store", command], folder.path()), expected(name), "store {command}");
    }
}

#[test]
fn a_coordinator_on_an_old_store_has_the_same_leases_and_status() {
    let folder = tempfile::tempdir().expect("a folder");
    copy_store(&folder.path().join("store"));
    let address = kept_addresses(1)[0];
    let topic = "  topics:\n    - {name: quotas, writers: many, retention_ms: 2592000000, keys: 100, bytes: 100000}\n";
    let file = settings(folder.path(), address, topic);
    let _coordinator = start(&file);
    let status = |args| print(args, &file).replace(&address.to_string(), ADDRESS);
    assert_eq!(status(&["fleet", "status"]), expected("fleet-status.txt"));
    assert_eq!(status(&["fleet", "status", "--json"]), expected("fleet-status.json"));
    assert_eq!(print(&["lease", "list"], &file), expected("lease-list.txt"));
    assert_eq!(print(&["lease", "list", "--json"], &file), expected("lease-list.json"));
    let watch = |args| print_for_a_second(args, &file, folder.path());
    assert_eq!(watch(&["lease", "watch"]), expected("lease-watch.txt"));
    assert_eq!(watch(&["lease", "watch", "--json"]), expected("lease-watch.json"));
}

/// The digits that differ from run to run become a mark.
fn without_numbers_after(text: &str, key: &str) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(at) = rest.find(key) {
        let (before, after) = rest.split_at(at + key.len());
        out += before;
        out.push('N');
        rest = after.trim_start_matches(|c: char| c.is_ascii_digit());
    }
    out + rest
}

#[test]
fn members_are_printed_in_the_same_form() {
    let folder = tempfile::tempdir().expect("a folder");
    let address = kept_addresses(1)[0];
    let file = settings(folder.path(), address, &format!("  seeds: ['{address}']\n"));
    let _coordinator = start(&file);
    let json = print(&["fleet", "members", "--json"], &file).replace(&address.to_string(), ADDRESS);
    let id = json.split('"').nth(3).expect("an id").to_owned();
    let mut json = json.replace(&id, "ID");
    for key in ["\"since_ms\":", "\"known_ms\":", "\"sent\":", "\"sent_bytes\":"] {
        json = without_numbers_after(&json, key);
    }
    assert_eq!(
        json,
        "{\"id\":\"ID\",\"address\":\"ADDRESS\",\"zone\":\"\",\"kind\":\"keeper\",\"life\":\"alive\",\
         \"since_ms\":N,\"known_ms\":N,\"incarnation\":0,\"asked\":true,\"sent\":N,\"sent_bytes\":N}\n"
    );
    let text = print(&["fleet", "members"], &file).replace(&address.to_string(), ADDRESS).replace(&id, "ID");
    let text = without_numbers_after(&text, "alive for ");
    assert_eq!(text, "ID  ADDRESS  keeper  -  alive for N s  (asked)\n");
}
