//! Reads and checks the configuration, and builds the state machine from it.

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use beechloft::api::Micros;
use beechloft_front_node::Node;
use beechloft_protocol::config::{Config, EnvironmentMismatch};
use beechloft_settings::Parsed;
use thiserror::Error;

use crate::limits::{LimitInputs, MIN_DESCRIPTORS, SocketLimits};

/// A configuration file is read up to this size.
const MAX_CONFIG_BYTES: u64 = 8 << 20;

/// An answer is sent so long before its viewer gives up: the time that it takes to arrive.
const ANSWER_MARGIN: Micros = Micros(20_000);

/// Sessions that the state machine remembers at most.
const MAX_SESSIONS: usize = 8192;

/// Why a front node can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration file can't be read.
    #[error("{path}: {source}")]
    File {
        /// Its path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration is not the specified JSON.
    #[error("{path}: {source}")]
    Config {
        /// Its path.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The environment names another front node than the configuration.
    #[error(transparent)]
    EnvironmentMismatch(#[from] EnvironmentMismatch),
    /// The settings are not the specified JSON.
    #[error("the settings can't be read: {source}")]
    Settings {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A front node can't work with a value of the configuration.
    #[error("{key}: {problem}")]
    Unfit {
        /// The key of the configuration.
        key: &'static str,
        /// What is wrong with its value.
        problem: String,
    },
    /// The system refuses a socket, the poll or the signal handlers.
    #[error("{operation}: {source}")]
    Io {
        /// What failed.
        operation: &'static str,
        /// The system's error.
        source: io::Error,
    },
}

impl StartError {
    /// Names the operation that an error of the system made impossible.
    pub(crate) fn io(operation: &'static str) -> impl FnOnce(io::Error) -> StartError {
        move |source| StartError::Io { operation, source }
    }
}

/// Reads a configuration file.
///
/// # Errors
/// The file can't be read, or is not the specified JSON.
pub(crate) fn read_config(path: &Path) -> Result<Config, StartError> {
    let text = read_file(path).map_err(|source| StartError::File { path: path.to_owned(), source })?;
    Config::parse(&text).map_err(|source| StartError::Config { path: path.to_owned(), source })
}

fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    File::open(path)?.take(MAX_CONFIG_BYTES).read_to_end(&mut text)?;
    Ok(text)
}

/// Rejects settings with which a front node would start and then refuse every session.
fn validate(config: &Config, parsed: &Parsed) -> Result<(), StartError> {
    let unfit = |key, problem: &str| Err(StartError::Unfit { key, problem: problem.to_owned() });
    let settings = &parsed.settings;
    let descriptors = config.limits.sockets;
    if descriptors < MIN_DESCRIPTORS {
        return unfit(
            "limits.sockets",
            &format!("{descriptors} is fewer than the {MIN_DESCRIPTORS} that are needed"),
        );
    }
    if settings.classes.is_empty() {
        return unfit("settings.classes", "there is no class");
    }
    if settings.classes.iter().any(|class| class.deadline == Micros(0)) {
        return unfit("settings.classes", "a class has no time for an answer");
    }
    if settings.cells == 0 {
        return unfit("settings.family_info.places", "there is no cell that a title could lie on");
    }
    if settings.ladder.rates_kb.is_empty() {
        return unfit("settings.family_info.rates_kb", "there is no rung");
    }
    Ok(())
}

/// Builds the state machine and the loop's limits from a configuration.
///
/// # Errors
/// The settings can't be read, or a front node can't work with them.
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
