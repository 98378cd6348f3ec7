//! The module's size and width, which its users limit. Its files are those that `policy` names to them.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The files that `deploy/balancer.toml` names under `policy`.
fn policy() -> Vec<PathBuf> {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let (_, list) = deploy.split_once("policy = [").expect("a list of policy files");
    let (list, _) = list.split_once(']').expect("its end");
    let names = list.split(',').map(|n| n.trim().trim_matches('"')).filter(|n| !n.is_empty());
    names.map(|n| root().join(n)).collect()
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn text(file: &Path) -> String {
    std::fs::read_to_string(file).unwrap_or_else(|e| panic!("{}: {e}", file.display()))
}

#[test]
fn the_policy_keeps_its_size_and_width() {
    let texts: Vec<String> = policy().iter().map(|f| text(f)).collect();
    let lines: usize = texts.iter().map(|t| t.lines().filter(|l| !l.trim().is_empty()).count()).sum();
    assert!((300..=830).contains(&lines), "{lines} lines");
    let widest = texts.iter().flat_map(|t| t.lines()).map(|l| l.chars().count()).max().unwrap_or(0);
    assert!(widest <= 110, "{widest} characters");
}

#[test]
fn each_file_of_the_policy_is_listed() {
    let named: BTreeSet<PathBuf> = policy().into_iter().collect();
    let folder = std::fs::read_dir(root().join("src/policy")).expect("the module's folder");
    let there: BTreeSet<PathBuf> = folder.map(|f| f.expect("an entry").path()).collect();
    assert_eq!(named, there);
}

#[test]
fn the_policy_names_its_api_file_first() {
    let first = text(&policy()[0]);
    assert!(first.lines().take(5).any(|l| l.contains("src/api.rs")));
}
