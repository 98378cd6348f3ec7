//! Logs: lines for people or JSON lines, on standard error.

use beechloft_config::front::LogSettings;
use tracing_subscriber::EnvFilter;

/// Starts logging as settings say. `RUST_LOG` overrides their levels.
pub fn start(settings: &LogSettings) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(&settings.filter));
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(filter);
    // A second start, as in tests, leaves the first in place.
    let _ = if settings.json { lines.json().try_init() } else { lines.with_ansi(false).try_init() };
}
