//! Tests of the pages for operators: the architecture page names only existing paths and items, and the
//! on-call page explains each warning and error that the programs log.

mod log_lines;
mod sources;

use std::collections::BTreeSet;
use std::path::Path;

use sources::{Sources, code_spans};

/// Returns the text of a page in `docs`.
fn read_page(name: &str) -> String {
    let path = sources::root().join("docs").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns whether a code span is a path of the repository.
fn is_path(span: &str) -> bool {
    let known_ending = [".rs", ".toml", ".md", ".yaml", ".txt"].iter().any(|ending| span.ends_with(ending));
    !span.contains(' ') && !span.starts_with('/') && (known_ending || span.starts_with("crates/"))
}

/// Returns the parts of a span such as `Type::function` or `Type`, or `None` if the span is not an item of
/// the code.
fn item_parts(span: &str) -> Option<Vec<&str>> {
    let name = span.trim_end_matches("()");
    let parts: Vec<&str> = name.split("::").collect();
    let is_identifier =
        |part: &&str| !part.is_empty() && part.chars().all(|char| char.is_alphanumeric() || char == '_');
    let names_a_type = parts[0].starts_with(char::is_uppercase) && parts[0].contains(char::is_lowercase);
    let is_item = names_a_type || parts.len() > 1 || span.ends_with("()");
    (is_item && parts.iter().all(is_identifier)).then_some(parts)
}

/// Returns the names on a page that the sources do not have.
///
/// A function is searched in the path that its line names last before it, if there is one. Types and variants
/// are searched everywhere.
fn missing_names(text: &str, sources: &Sources) -> Vec<String> {
    let mut missing = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let mut last_path = None;
        for span in code_spans(line) {
            if is_path(span) {
                if !sources::root().join(span).exists() {
                    missing.push(format!("line {}: there is no path {span}", number + 1));
                }
                last_path = Some(Path::new(span));
            } else if let Some(parts) = item_parts(span) {
                let is_defined = |part: &&str| {
                    let is_function = part.starts_with(char::is_lowercase);
                    sources.defines(part, last_path.filter(|_| is_function))
                };
                if !parts.iter().all(is_defined) {
                    missing.push(format!("line {}: {span} is not defined in {last_path:?}", number + 1));
                }
            }
        }
    }
    missing
}

#[test]
fn architecture_page_names_only_existing_paths_and_items() {
    let missing = missing_names(&read_page("architecture.md"), &Sources::read());
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn finds_missing_paths_and_items() {
    let sources = Sources::read();
    let wrong = "`src/nowhere.rs` is read by `Policy::no_such_function`; `src/lib.rs` by `Policy::handle` and `NoType`";
    assert_eq!(missing_names(wrong, &sources).len(), 4);
    let right = "`src/policy/mod.rs`: `Policy::handle`, one state machine; `Cargo.toml` names it";
    assert_eq!(missing_names(right, &sources), Vec::<String>::new());
}

#[test]
fn on_call_page_explains_exactly_the_logged_warnings_and_errors() {
    let sources = Sources::read();
    let logged = log_lines::in_sources(&sources);
    let explained = log_lines::in_page(&read_page("oncall.md"));
    let unexplained: Vec<&String> = logged.difference(&explained).collect();
    // Some texts are formatted in one place and logged in another.
    let literals = log_lines::literals(&sources);
    let never_logged: Vec<&String> = explained.difference(&literals).collect();
    assert!(
        unexplained.is_empty() && never_logged.is_empty(),
        "not on the page: {unexplained:#?}\nnot in the sources: {never_logged:#?}"
    );
}

#[test]
fn reads_log_lines_from_macros_and_table_rows() {
    let code = "warn!(target: \"list\", path = %p, \"the {thing:?} can't be read: {why}\"); \
        info!(\"no\"); error!(\"{fault}\"); warn!(id = format_args!(\"{:x}\", id.0), \"lost\"); Action::Log(format!(\"server {} ejected\", id))";
    let expected = ["the {} can't be read: {}", "lost", "server {} ejected"];
    let expected: BTreeSet<String> = expected.iter().map(ToString::to_string).collect();
    assert_eq!(log_lines::in_text(code), expected);
    let table = "| `the {what} can't be read: {why}` | a | b |\n| `lost` | a | b |\n| `server {} ejected` | c | d |\n| plain | e | f |";
    assert_eq!(log_lines::in_page(table), expected);
}
