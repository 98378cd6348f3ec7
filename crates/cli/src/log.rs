//! Logging on standard error, as plain text or as JSON lines.

use beechloft_config::front::LogSettings;
use tracing_subscriber::EnvFilter;

/// Log targets of crates that were renamed, and the names that operators' filters may still give them.
const FORMER_TARGETS: [(&str, &str); 3] = [
    ("beechloft_shell", "beechloft_event_loop"),
    ("beechloft_keeper", "beechloft_coordinator"),
    ("beechloft_front", "beechloft_server"),
];

/// Starts logging with the given settings. `RUST_LOG` overrides their filter.
pub fn start(settings: &LogSettings) {
    let from_environment = std::env::var(EnvFilter::DEFAULT_ENV)
        .ok()
        .and_then(|directives| EnvFilter::try_new(with_current_targets(&directives)).ok());
    let filter = from_environment.unwrap_or_else(|| EnvFilter::new(&settings.filter));
    let subscriber = tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(filter);
    // A second start, as in tests, leaves the first subscriber in place.
    let _ = if settings.json { subscriber.json().try_init() } else { subscriber.with_ansi(false).try_init() };
}

/// The filter directives with former targets replaced, so that `beechloft_shell=debug` keeps its meaning.
fn with_current_targets(directives: &str) -> String {
    let current = directives.split(',').map(|directive| {
        let name_end = directive
            .find(|character: char| !(character.is_alphanumeric() || character == '_'))
            .unwrap_or(directive.len());
        let (target, rest) = directive.split_at(name_end);
        let renamed = FORMER_TARGETS.iter().find(|(former, _)| *former == target);
        renamed.map_or_else(|| directive.to_owned(), |(_, current)| format!("{current}{rest}"))
    });
    current.collect::<Vec<_>>().join(",")
}
