//! Reads a YAML file of settings.
//!
//! [`read`] hands the top mapping to its caller as a [`Section`]. The caller takes the keys that it knows; wrong types, values out
//! of range and unknown keys are collected, and all errors of the file come back together, each with its [`Position`]. What the
//! settings mean is up to the caller.
#![forbid(unsafe_code)]

pub mod document;
mod error;
mod section;

pub use error::{ConfigError, ConfigErrors, Position};
pub use section::{Section, read};
