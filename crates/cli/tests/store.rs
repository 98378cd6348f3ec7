//! Output and exit codes of the `store` commands for an intact, a torn and a damaged store.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

use std::path::Path;
use std::process::{Command, Output};

use beechloft_store::directory::DiskDirectory;
use beechloft_store::{Batch, Options, Store, Table};

/// Runs a `store` command. Returns its exit code and its output.
fn store(args: &[&str], folder: &Path) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_beechloft");
    let Output { status, stdout, stderr } =
        Command::new(program).arg("store").args(args).arg(folder).output().expect("run beechloft");
    (status.code(), String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr))
}

#[test]
fn commands_report_and_compact_a_store() {
    let temporary = tempfile::tempdir().expect("create a temporary directory");
    let folder = temporary.path().join("store");
    assert_eq!(store(&["check"], &folder).0, Some(2), "accepted a missing directory");
    assert!(!folder.exists());
    let (mut open, _) =
        Store::open(DiskDirectory::open(&folder).expect("open the directory"), Options::default())
            .expect("open the store");
    for n in 0..20u8 {
        open.write(Batch::default().put(Table(n % 2), vec![n % 4], vec![n; 50]).clone()).expect("write");
    }
    open.sync().expect("sync");
    assert_eq!(store(&["compact"], &folder).0, Some(2), "compacted a store in use");
    drop(open);
    let (code, text) = store(&["check"], &folder);
    assert!(code == Some(0) && text.contains("sound, 4 keys, up to batch 20"), "{text}");
    let (code, text) = store(&["stat"], &folder);
    assert!(code == Some(0) && text.contains("table 1: 2 keys, 102 bytes"), "{text}");
    let (code, text) = store(&["dump", "--table", "0"], &folder);
    assert!(code == Some(0) && text.lines().count() == 2 && text.contains(r#""key":"00""#), "{text}");
    let (code, text) = store(&["compact"], &folder);
    assert!(code == Some(0) && text.contains("generation 2 with 4 keys"), "{text}");

    let newest = folder.join("0000000000000002.log");
    let bytes = std::fs::read(&newest).expect("read the newest generation");
    std::fs::write(&newest, [&bytes[..], b"half a batch"].concat()).expect("write");
    let (code, text) = store(&["check"], &folder);
    assert!(code == Some(0) && text.contains("12 bytes of no whole batch"), "{text}");
    let mut corrupted = bytes.clone();
    corrupted[60] ^= 4;
    std::fs::write(&newest, corrupted).expect("write");
    let (code, text) = store(&["check"], &folder);
    assert!(code == Some(1) && text.contains("DAMAGED, offset 22: "), "{text}");
    assert_eq!(store(&["stat"], &folder).0, Some(1));
    assert_eq!(store(&["compact"], &folder).0, Some(1), "compacted a damaged store");
}
