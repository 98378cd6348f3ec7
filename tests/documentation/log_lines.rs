//! Texts of warnings and errors in the sources and in the tables of the on-call page.

use std::collections::BTreeSet;

use crate::sources::{Sources, code_spans};

/// Starts of the expressions that log a text. Lines of the policy and the front node are logged by their
/// callers.
const LOGGING_STARTS: [&str; 4] = ["warn!(", "error!(", "Action::Log(format!(", "Output::Log(format!("];

/// Text of a log line that only passes on an error or a line from elsewhere.
const PASSED_ON: &str = "{}";

/// Returns the texts that the programs log as warnings or errors.
pub fn in_sources(sources: &Sources) -> BTreeSet<String> {
    sources.0.values().flat_map(|text| in_text(text)).collect()
}

/// Returns all string literals of the sources, with empty placeholders.
pub fn literals(sources: &Sources) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for text in sources.0.values() {
        let mut rest = text.as_str();
        while let Some((literal, after)) = rest.find('"').and_then(|start| literal(&rest[start + 1..])) {
            found.insert(with_empty_placeholders(&literal));
            rest = after;
        }
    }
    found
}

/// Returns the texts that a source file logs, with empty placeholders.
pub fn in_text(text: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for start in LOGGING_STARTS {
        for (at, _) in text.match_indices(start) {
            let message = message(&text[at + start.len()..]).map(|message| with_empty_placeholders(&message));
            found.extend(message.filter(|message| message != PASSED_ON));
        }
    }
    found
}

/// Returns the texts that the tables of a page explain, which are the code spans at the start of rows.
pub fn in_page(text: &str) -> BTreeSet<String> {
    let rows = text.lines().filter(|line| line.starts_with("| `"));
    rows.filter_map(|row| code_spans(row).next()).map(with_empty_placeholders).collect()
}

/// Returns the message of a logging macro, which is the last string literal among its own arguments that is
/// not the target.
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

/// Splits a text after the closing quote of a string literal into the literal and the rest.
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

/// Returns a text with the content of its placeholders removed.
fn with_empty_placeholders(text: &str) -> String {
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
