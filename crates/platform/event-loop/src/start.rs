//! How a front node starts, and why it can't.

use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use beechloft::api::Micros;
use beechloft_front_node::Node;
use beechloft_protocol::config::{Config, EnvironmentMismatch};
use beechloft_settings::Parsed;
use mio::net::UnixStream;
use thiserror::Error;

use crate::bounds::{Bounds, Given, LEAST_DESCRIPTORS};

/// A configuration is read up to this size.
const MOST_CONFIG: u64 = 8 << 20;

/// Why a front node can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration can't be read.
    #[error("{path}: {source}")]
    File {
        /// Its path.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// It is not the stated JSON.
    #[error("{path}: {source}")]
    Config {
        /// Its path.
        path: PathBuf,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// The environment states another front node than the configuration.
    #[error(transparent)]
    Disagreement(#[from] EnvironmentMismatch),
    /// Its settings are not the stated ones.
    #[error("the settings can't be read: {0}")]
    Settings(serde_json::Error),
    /// A front node can't do its work with what it states.
    #[error("{key}: {why}")]
    Unfit {
        /// The key of the configuration.
        key: &'static str,
        /// What is wrong with it.
        why: String,
    },
    /// No socket, or no signals.
    #[error("{0}: {1}")]
    Io(&'static str, io::Error),
}

pub(crate) fn read_config(path: &Path) -> Result<Config, StartError> {
    let file = |source| StartError::File { path: path.to_owned(), source };
    let mut text = Vec::new();
    std::fs::File::open(path).map_err(file)?.take(MOST_CONFIG).read_to_end(&mut text).map_err(file)?;
    Config::parse(&text).map_err(|source| StartError::Config { path: path.to_owned(), source })
}

/// Guards against a start that would look sound and turn every session away.
fn fitness(config: &Config, parsed: &Parsed) -> Result<(), StartError> {
    let unfit = |key, why: &str| Err(StartError::Unfit { key, why: why.to_owned() });
    let s = &parsed.settings;
    if config.limits.sockets < LEAST_DESCRIPTORS {
        let why = format!("{} is fewer than the {LEAST_DESCRIPTORS} that are needed", config.limits.sockets);
        return Err(StartError::Unfit { key: "limits.sockets", why });
    }
    if s.classes.is_empty() {
        return unfit("settings.classes", "there is no class");
    }
    if s.classes.iter().any(|c| c.deadline == Micros(0)) {
        return unfit("settings.classes", "a class has no time for an answer");
    }
    if s.cells == 0 {
        return unfit("settings.family_info.places", "there is no cell that a title could lie on");
    }
    if s.ladder.rates_kb.is_empty() {
        return unfit("settings.family_info.rates_kb", "there is no rung");
    }
    Ok(())
}

/// The machine and the bounds that a configuration asks for.
pub(crate) fn machine(config: &Config) -> Result<(Node, Bounds), StartError> {
    let text = serde_json::to_vec(&config.settings).map_err(StartError::Settings)?;
    let parsed = beechloft_settings::parse(&text).map_err(StartError::Settings)?;
    fitness(config, &parsed)?;
    let bounds = Bounds::fit(&Given {
        descriptors: config.limits.sockets,
        memory_mb: config.limits.memory_mb,
        deadline: parsed.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
        connect_within: parsed.connections.connect_within,
        server_idle: parsed.connections.idle,
    });
    let machine = beechloft_front_node::NodeLimits {
        answer_margin: Micros(20_000),
        probe_timeout: bounds.connect_within,
        max_sessions: 8192,
        shutdown_deadline: bounds.last_call,
    };
    Ok((Node::new(parsed, config.seed(), machine), bounds))
}

/// The end of a pipe that a signal's arrival is read from, and the one it is written to.
pub(crate) fn signal(number: i32) -> io::Result<(UnixStream, std::os::unix::net::UnixStream)> {
    let (read, write) = std::os::unix::net::UnixStream::pair()?;
    read.set_nonblocking(true)?;
    write.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(number, write.try_clone()?)?;
    Ok((UnixStream::from_std(read), write))
}

/// Empties a signal's pipe; how many there were, up to its bound.
pub(crate) fn drain(pipe: &mut UnixStream) -> usize {
    let (mut buf, mut signals) = ([0; 64], 0);
    while let Ok(n @ 1..) = pipe.read(&mut buf) {
        signals += n;
    }
    signals
}

/// Does from within the process what signals do from outside.
#[derive(Debug)]
pub struct Control {
    pub(crate) hup: std::os::unix::net::UnixStream,
    pub(crate) term: std::os::unix::net::UnixStream,
}

impl Control {
    /// As SIGHUP: the configuration is read again.
    pub fn reload(&self) {
        // A full pipe has enough to tell.
        let _ = (&self.hup).write(&[1]);
    }

    /// As SIGTERM: what was taken is answered, and the front node ends.
    pub fn terminate(&self) {
        let _ = (&self.term).write(&[1]);
    }
}
