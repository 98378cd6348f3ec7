//! Reads a YAML file of settings and reports all its errors at once.
//!
//! [`read`] passes the top mapping to a function of its caller as a [`Section`]. The function reads the keys that it supports.
//! Wrong types, values out of range and unknown keys are collected, and [`read`] returns all errors of the file together, each
//! with its [`Position`]. The crate does not know the meaning of any setting.
#![forbid(unsafe_code)]

pub mod document;
mod error;
mod section;

pub use error::{ConfigError, ConfigErrors, Position};
pub use section::{Section, read};
