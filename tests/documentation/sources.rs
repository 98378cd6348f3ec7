//! The sources of the workspace and the names that they define.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Keywords before the name of an item.
const KEYWORDS: [&str; 9] =
    ["fn", "struct", "enum", "trait", "type", "const", "static", "mod", "macro_rules!"];

/// Returns the root folder of the workspace.
pub fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the code spans of a line without their backticks.
pub fn code_spans(line: &str) -> impl Iterator<Item = &str> {
    line.split('`').skip(1).step_by(2)
}

/// Texts of the source files of the programs and libraries without tests, by their paths from the root.
pub struct Sources(pub BTreeMap<PathBuf, String>);

impl Sources {
    /// Reads the sources in `src` and `crates`.
    pub fn read() -> Sources {
        let mut files = BTreeMap::new();
        collect(&root().join("src"), &mut files);
        collect(&root().join("crates"), &mut files);
        Sources(files)
    }

    /// Returns whether an item or enum variant of this name is defined, within a file or folder if one is
    /// given.
    pub fn defines(&self, name: &str, within: Option<&Path>) -> bool {
        let is_within = |path: &PathBuf| within.is_none_or(|within| path.starts_with(within));
        let searched = self.0.iter().filter(|(path, _)| is_within(path));
        searched.map(|(_, text)| definitions(text)).any(|names| names.contains(name))
    }
}

/// Adds the source files of a folder and its subfolders.
fn collect(folder: &Path, files: &mut BTreeMap<PathBuf, String>) {
    let entries = std::fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display()));
    for entry in entries {
        let path = entry.expect("an entry of the folder").path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if path.is_dir() {
            if !["tests", "target"].contains(&name) {
                collect(&path, files);
            }
        } else if name.ends_with(".rs") && name != "tests.rs" {
            let text = std::fs::read_to_string(&path).expect("a source file in UTF-8");
            let from_root = path.strip_prefix(root()).expect("a path under the root");
            files.insert(from_root.to_owned(), text);
        }
    }
}

/// Returns the names of the items and enum variants that a text defines.
fn definitions(text: &str) -> BTreeSet<&str> {
    let mut names = BTreeSet::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        for pair in words.windows(2) {
            if KEYWORDS.contains(&pair[0]) {
                names.insert(identifier(pair[1]));
            }
        }
        // An enum variant is the first word of its line.
        if let Some(first) = words.first().filter(|word| word.starts_with(char::is_uppercase)) {
            names.insert(identifier(first));
        }
    }
    names
}

/// Returns the identifier at the start of a word.
fn identifier(word: &str) -> &str {
    let end = word.find(|char: char| !(char.is_alphanumeric() || char == '_')).unwrap_or(word.len());
    &word[..end]
}
