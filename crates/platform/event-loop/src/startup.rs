//! Reads and validates the configuration, and builds the state machine from it.

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use beechloft::api::Micros;
use beechloft_front_node::Node;
use beechloft_protocol::config::{Config, EnvironmentMismatch};
use beechloft_settings::Parsed;
use thiserror::Error;

use crate::limits::{LimitInputs, MIN_DESCRIPTORS, SocketLimits};

/// Number of bytes of a configuration file that are read at most.
const MAX_CONFIG_BYTES: u64 = 8 << 20;

/// Time between sending an answer and the deadline of its viewer. It covers the transfer of the answer.
const ANSWER_MARGIN: Micros = Micros(20_000);

/// Number of sessions that the state machine stores at most.
const MAX_SESSIONS: usize = 8192;

/// Reason for which a front node cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The configuration file is not JSON of the specified format.
    #[error("{path}: {source}")]
    Config {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The environment variables and the configuration name different front nodes.
    #[error(transparent)]
    EnvironmentMismatch(#[from] EnvironmentMismatch),
    /// The settings are not JSON of the specified format.
    #[error("malformed settings: {source}")]
    Settings {
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// A value of the configuration is well-formed, but a front node cannot run with it.
    #[error("{key}: {problem}")]
    InvalidSetting {
        /// Key of the value in the configuration.
        key: &'static str,
        /// Description of the problem.
        problem: String,
    },
    /// The operating system refuses a socket, the poll or the signal handlers.
    #[error("{operation}: {source}")]
    Io {
        /// Message that says which operation failed.
        operation: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl StartError {
    /// Returns a function that wraps an error of the operating system with the failed operation.
    pub(crate) fn io(operation: &'static str) -> impl FnOnce(io::Error) -> StartError {
        move |source| StartError::Io { operation, source }
    }
}

/// Reads a configuration file.
///
/// # Errors
/// Returns an error if the file cannot be read or is not JSON of the specified format.
pub(crate) fn read_config(path: &Path) -> Result<Config, StartError> {
    let text = read_file(path).map_err(|source| StartError::File { path: path.to_owned(), source })?;
    Config::parse(&text).map_err(|source| StartError::Config { path: path.to_owned(), source })
}

fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    File::open(path)?.take(MAX_CONFIG_BYTES).read_to_end(&mut text)?;
    Ok(text)
}

/// Rejects settings with which a front node would start, but refuse every session.
fn validate(config: &Config, parsed: &Parsed) -> Result<(), StartError> {
    let invalid = |key, problem: &str| Err(StartError::InvalidSetting { key, problem: problem.to_owned() });
    let settings = &parsed.settings;
    let descriptors = config.limits.sockets;
    if descriptors < MIN_DESCRIPTORS {
        return invalid(
            "limits.sockets",
            &format!("{descriptors} is less than the minimum of {MIN_DESCRIPTORS}"),
        );
    }
    if settings.classes.is_empty() {
        return invalid("settings.classes", "no class is configured");
    }
    if settings.classes.iter().any(|class| class.deadline == Micros(0)) {
        return invalid("settings.classes", "a class has a deadline of 0");
    }
    if settings.cells == 0 {
        return invalid("settings.family_info.places", "no cell is configured");
    }
    if settings.ladder.rates_kb.is_empty() {
        return invalid("settings.family_info.rates_kb", "no rung is configured");
    }
    Ok(())
}

/// Builds the state machine and the limits of the loop from a configuration.
///
/// # Errors
/// Returns an error if the settings are malformed or a front node cannot run with them.
pub(crate) fn build_node(config: &Config) -> Result<(Node, SocketLimits), StartError> {
    let settings_error = |source| StartError::Settings { source };
    let text = serde_json::to_vec(&config.settings).map_err(settings_error)?;
    let parsed = beechloft_settings::parse(&text).map_err(settings_error)?;
    validate(config, &parsed)?;
    let limits = SocketLimits::derive(&LimitInputs {
        descriptors: config.limits.sockets,
        memory_mb: config.limits.memory_mb,
        max_class_deadline: parsed
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default(),
        connect_timeout: parsed.connections.connect_timeout,
        server_idle_timeout: parsed.connections.idle_timeout,
    });
    let node_limits = beechloft_front_node::NodeLimits {
        answer_margin: ANSWER_MARGIN,
        health_check_timeout: limits.connect_timeout,
        max_sessions: MAX_SESSIONS,
        shutdown_deadline: limits.answer_deadline,
    };
    Ok((Node::new(parsed, config.seed(), node_limits), limits))
}
