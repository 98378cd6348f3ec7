//! The configuration file that a front node starts with.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::bus::InitialEvents;
use crate::id::parse_hex64;

/// The FNV-1a hash of 64 bits, by Fowler, Noll and Vo: its initial value and its prime.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The resources that the front node may use.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Processor time, as a fraction of a core.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits { cores: 1.0, memory_mb: 64.0, sockets: 256 }
    }
}

/// The configuration. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Config {
    /// The front node's name.
    pub name: String,
    /// The address that viewers connect to.
    pub listen: SocketAddr,
    /// The seed of random numbers: 16 hexadecimal digits, or any text.
    #[serde(default)]
    pub seed: String,
    /// The resources that it may use.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// The event bus's address.
    pub bus: SocketAddr,
    /// The events of the event bus up to the start.
    #[serde(default, rename = "known")]
    pub initial_events: InitialEvents,
    /// The platform's settings, as `beechloft-settings` parses them.
    pub settings: Value,
}

/// What the environment states beside the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Environment {
    /// `ROUTER_NAME`, if set.
    pub name: Option<String>,
    /// `ROUTER_LISTEN`, if set.
    pub listen: Option<String>,
}

/// The environment and the configuration describe two different front nodes.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{variable} says {stated:?}, the configuration says {configured:?}")]
pub struct EnvironmentMismatch {
    /// The environment variable.
    pub variable: &'static str,
    /// Its value.
    pub stated: String,
    /// The configuration's value.
    pub configured: String,
}

impl Config {
    /// Parses the text of the file.
    ///
    /// # Errors
    ///
    /// The JSON error if a required field is missing or a field is not valid.
    pub fn parse(text: &[u8]) -> Result<Config, serde_json::Error> {
        serde_json::from_slice(text)
    }

    /// Checks that the environment describes this front node. One that takes another's name or address would answer for
    /// sessions that are not its own.
    ///
    /// # Errors
    ///
    /// The first variable that differs from the configuration.
    pub fn check_environment(&self, environment: &Environment) -> Result<(), EnvironmentMismatch> {
        if let Some(name) = environment.name.as_ref().filter(|name| **name != self.name) {
            return Err(EnvironmentMismatch {
                variable: "ROUTER_NAME",
                stated: name.clone(),
                configured: self.name.clone(),
            });
        }
        let matches = |listen: &String| listen.parse() == Ok(self.listen);
        if let Some(listen) = environment.listen.as_ref().filter(|listen| !matches(listen)) {
            return Err(EnvironmentMismatch {
                variable: "ROUTER_LISTEN",
                stated: listen.clone(),
                configured: self.listen.to_string(),
            });
        }
        Ok(())
    }

    /// The seed as a number: its hexadecimal value, or the FNV-1a hash of other text.
    pub fn seed(&self) -> u64 {
        parse_hex64(&self.seed).unwrap_or_else(|_| fnv1a(self.seed.as_bytes()))
    }
}

fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
