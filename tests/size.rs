//! Limits on the size and width of the policy's files, which `deploy/balancer.toml` lists for the module's
//! users.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Maximum number of lines of one policy file, blank lines included.
const MAX_FILE_LINES: usize = 400;
/// Minimum number of lines of all policy files together, blank lines excluded; fewer mean that the list or a file was cut off.
const MIN_TOTAL_LINES: usize = 300;
/// Maximum number of characters in a line.
const MAX_LINE_CHARACTERS: usize = 110;

/// Returns the files that `deploy/balancer.toml` names under `policy`, in its order.
fn policy_files() -> Vec<PathBuf> {
    let deploy_path = repository_root().join("deploy/balancer.toml");
    let deploy = std::fs::read_to_string(deploy_path).expect("the deploy file is readable");
    let (_, list) = deploy.split_once("policy = [").expect("the deploy file has a list of policy files");
    let (list, _) = list.split_once(']').expect("the list of policy files is closed");
    let names = list.split(',').map(|name| name.trim().trim_matches('"')).filter(|name| !name.is_empty());
    names.map(|name| repository_root().join(name)).collect()
}

fn repository_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read_text(file: &Path) -> String {
    std::fs::read_to_string(file).unwrap_or_else(|e| panic!("{}: {e}", file.display()))
}

#[test]
fn policy_files_keep_length_and_width_limits() {
    let mut total_lines = 0;
    for file in policy_files() {
        let text = read_text(&file);
        let lines = text.lines().count();
        assert!(lines <= MAX_FILE_LINES, "{} has {lines} lines", file.display());
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= MAX_LINE_CHARACTERS, "{} has a line of {widest} characters", file.display());
        total_lines += text.lines().filter(|line| !line.trim().is_empty()).count();
    }
    assert!(total_lines >= MIN_TOTAL_LINES, "the policy has {total_lines} lines");
}

#[test]
fn policy_list_is_complete() {
    let listed: BTreeSet<PathBuf> = policy_files().into_iter().collect();
    let folder = std::fs::read_dir(repository_root().join("src/policy")).expect("the folder is readable");
    let present: BTreeSet<PathBuf> = folder.map(|entry| entry.expect("a folder entry").path()).collect();
    assert_eq!(listed, present);
}

#[test]
fn first_policy_file_names_api_file() {
    let first = read_text(&policy_files()[0]);
    assert!(first.lines().take(5).any(|line| line.contains("src/api.rs")));
}
