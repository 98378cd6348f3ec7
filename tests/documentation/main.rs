//! The pages for people on call name only what exists: paths and items of the architecture page, and every warning
//! and error that the programs log.

mod log_lines;
mod sources;

use std::collections::BTreeSet;
use std::path::Path;

use sources::{Sources, code_spans};

fn page(name: &str) -> String {
    let path = sources::root().join("docs").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Whether a code span is meant as a path of the repository.
fn is_path(span: &str) -> bool {
    let known_ending = [".rs", ".toml", ".md", ".yaml", ".txt"].iter().any(|ending| span.ends_with(ending));
    !span.contains(' ') && !span.starts_with('/') && (known_ending || span.starts_with("crates/"))
}

/// The parts of `Type::function` or `Type`, if the span is meant as an item of the code.
fn item_parts(span: &str) -> Option<Vec<&str>> {
    let name = span.trim_end_matches("()");
    let parts: Vec<&str> = name.split("::").collect();
    let is_identifier =
        |part: &&str| !part.is_empty() && part.chars().all(|char| char.is_alphanumeric() || char == '_');
    let names_a_type = parts[0].starts_with(char::is_uppercase) && parts[0].contains(char::is_lowercase);
    let is_item = names_a_type || parts.len() > 1 || span.ends_with("()");
    (is_item && parts.iter().all(is_identifier)).then_some(parts)
}

/// What a page names and the sources don't have. A function is looked for in the path that its line names before it, if
/// there is one; types and variants anywhere.
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
fn the_architecture_page_names_only_paths_and_items_that_exist() {
    let missing = missing_names(&page("architecture.md"), &Sources::read());
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn a_path_or_an_item_that_does_not_exist_is_found() {
    let sources = Sources::read();
    let wrong = "`src/nowhere.rs` is read by `Policy::no_such_function`; `src/lib.rs` by `Policy::handle` and `NoType`";
    assert_eq!(missing_names(wrong, &sources).len(), 4);
    let right = "`src/policy/mod.rs`: `Policy::handle`, one state machine; `Cargo.toml` names it";
    assert_eq!(missing_names(right, &sources), Vec::<String>::new());
}

#[test]
fn the_on_call_page_has_every_warning_and_error_of_the_log_and_no_other() {
    let sources = Sources::read();
    let logged = log_lines::in_sources(&sources);
    let explained = log_lines::in_page(&page("oncall.md"));
    let unexplained: Vec<&String> = logged.difference(&explained).collect();
    // Some lines are made in one place and logged in another.
    let literals = log_lines::literals(&sources);
    let never_logged: Vec<&String> = explained.difference(&literals).collect();
    assert!(
        unexplained.is_empty() && never_logged.is_empty(),
        "not on the page: {unexplained:#?}\nnot in the sources: {never_logged:#?}"
    );
}

#[test]
fn log_lines_are_read_off_macros_and_table_rows() {
    let code = "warn!(target: \"list\", path = %p, \"the {thing:?} can't be read: {why}\"); \
        info!(\"no\"); error!(\"{fault}\"); warn!(id = format_args!(\"{:x}\", id.0), \"lost\"); Action::Log(format!(\"server {} ejected\", id))";
    let expected = ["the {} can't be read: {}", "lost", "server {} ejected"];
    let expected: BTreeSet<String> = expected.iter().map(ToString::to_string).collect();
    assert_eq!(log_lines::in_text(code), expected);
    let table = "| `the {what} can't be read: {why}` | a | b |\n| `lost` | a | b |\n| `server {} ejected` | c | d |\n| plain | e | f |";
    assert_eq!(log_lines::in_page(table), expected);
}
