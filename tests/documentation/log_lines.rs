//! The texts of warnings and errors: in the sources, and in the tables of the on-call page.

use std::collections::BTreeSet;

use crate::sources::{Sources, code_spans};

/// What a logged text stands in. The policy's and the front node's own lines are logged by the programs around them.
const LOGGING: [&str; 4] = ["warn!(", "error!(", "Action::Log(format!(", "Output::Log(format!("];
/// A text of a placeholder alone passes on an error or a line that is logged as it is.
const PASSED_ON: &str = "{}";

/// The texts that the programs log as warnings or errors.
pub fn in_sources(sources: &Sources) -> BTreeSet<String> {
    sources.0.values().flat_map(|text| in_text(text)).collect()
}

/// All string literals of the sources, placeholders emptied.
pub fn literals(sources: &Sources) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for text in sources.0.values() {
        let mut rest = text.as_str();
        while let Some((literal, after)) = rest.find('"').and_then(|start| literal(&rest[start + 1..])) {
            found.insert(without_names(&literal));
            rest = after;
        }
    }
    found
}

/// The texts that a source file logs, placeholders emptied.
pub fn in_text(text: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for start in LOGGING {
        for (at, _) in text.match_indices(start) {
            let message = message(&text[at + start.len()..]).map(|message| without_names(&message));
            found.extend(message.filter(|message| message != PASSED_ON));
        }
    }
    found
}

/// The texts that the page's tables explain: the code span at the start of a row.
pub fn in_page(text: &str) -> BTreeSet<String> {
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.filter_map(|row| code_spans(row).next()).map(without_names).collect()
}

/// The message of a logging macro: the last string literal among its own arguments that names no target.
fn message(arguments: &str) -> Option<String> {
    let mut rest = arguments;
    let mut depth = 1;
    let mut message = None;
    while let Some(at) = rest.find(['"', '(', ')']) {
        let (before, from) = rest.split_at(at);
        rest = &from[1..];
        match &from[..1] {
            "(" => depth += 1,
            ")" if depth == 1 => return message,
            ")" => depth -= 1,
            _ => {
                let (literal, after) = literal(rest)?;
                if depth == 1 && !before.trim_end().ends_with("target:") {
                    message = Some(literal);
                }
                rest = after;
            }
        }
    }
    message
}

/// A string literal up to its closing quote, and what follows it.
fn literal(text: &str) -> Option<(String, &str)> {
    let mut literal = String::new();
    let mut chars = text.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return Some((literal, &text[at + 1..])),
            '\\' => literal.extend(chars.next().map(|(_, escaped)| escaped)),
            other => literal.push(other),
        }
    }
    None
}

/// A text with what its placeholders name left out.
fn without_names(text: &str) -> String {
    let mut plain = String::new();
    let mut in_placeholder = false;
    for char in text.chars() {
        in_placeholder = (in_placeholder || char == '{') && char != '}';
        if !in_placeholder || char == '{' {
            plain.push(char);
        }
    }
    plain
}
