//! Configuration file of a front node.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::bus::InitialEvents;
use crate::id::parse_hex64;

/// Initial value of the 64-bit FNV-1a hash (Fowler, Noll and Vo).
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Resources that the front node may use.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Processor time in cores.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits { cores: 1.0, memory_mb: 64.0, sockets: 256 }
    }
}

/// Configuration of a front node. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Config {
    /// Name of the front node.
    pub name: String,
    /// Address that viewers connect to.
    pub listen: SocketAddr,
    /// Seed of the random numbers, which is 16 hexadecimal digits or any other text.
    #[serde(default)]
    pub seed: String,
    /// Resources that the front node may use.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// Address of the event bus.
    pub bus: SocketAddr,
    /// Events of the event bus up to the start of the front node.
    #[serde(default, rename = "known")]
    pub initial_events: InitialEvents,
    /// Settings of the platform, which `beechloft-settings` parses.
    pub settings: Value,
}

/// Environment variables that must agree with the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Environment {
    /// Value of `ROUTER_NAME`. `None` if it is not set.
    pub name: Option<String>,
    /// Value of `ROUTER_LISTEN`. `None` if it is not set.
    pub listen: Option<String>,
}

/// Error for an environment variable that differs from the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{variable} says {value:?}, the configuration says {configured:?}")]
pub struct EnvironmentMismatch {
    /// Name of the environment variable.
    pub variable: &'static str,
    /// Value of the environment variable.
    pub value: String,
    /// Value in the configuration.
    pub configured: String,
}

impl Config {
    /// Parses the text of the configuration file.
    ///
    /// # Errors
    ///
    /// Returns the JSON error if a required field is missing or a field is not valid.
    pub fn parse(text: &[u8]) -> Result<Config, serde_json::Error> {
        serde_json::from_slice(text)
    }

    /// Checks that the environment agrees with the configuration.
    ///
    /// A front node with the name or the address of another one would answer for sessions that are not its own.
    ///
    /// # Errors
    ///
    /// Returns the first variable that differs from the configuration.
    pub fn check_environment(&self, environment: &Environment) -> Result<(), EnvironmentMismatch> {
        if let Some(name) = environment.name.as_ref().filter(|name| **name != self.name) {
            return Err(EnvironmentMismatch {
                variable: "ROUTER_NAME",
                value: name.clone(),
                configured: self.name.clone(),
            });
        }
        let matches = |listen: &String| listen.parse() == Ok(self.listen);
        if let Some(listen) = environment.listen.as_ref().filter(|listen| !matches(listen)) {
            return Err(EnvironmentMismatch {
                variable: "ROUTER_LISTEN",
                value: listen.clone(),
                configured: self.listen.to_string(),
            });
        }
        Ok(())
    }

    /// Returns the seed as a number, which is its hexadecimal value or the FNV-1a hash of any other text.
    pub fn seed(&self) -> u64 {
        parse_hex64(&self.seed).unwrap_or_else(|_| fnv1a(self.seed.as_bytes()))
    }
}

fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
