//! Errors of a settings file with their positions.

use std::cell::RefCell;
use std::fmt;

use thiserror::Error;

/// A position in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Position {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
}

/// An error of a settings file. Errors are ordered by position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Error)]
pub struct ConfigError {
    /// Position at which the value begins, or the mapping that lacks it.
    pub position: Position,
    /// Path of the key from the top mapping, such as `service.classes[0].aim_ms`. Empty for an error of the whole file.
    pub key: String,
    /// Description of the error.
    pub text: String,
}

impl ConfigError {
    /// Creates an error at a position.
    pub fn new(position: Position, key: impl Into<String>, text: impl Into<String>) -> Self {
        ConfigError { position, key: key.into(), text: text.into() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.position.line, self.position.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.text)
    }
}

/// All errors of a file in the order of their positions. They are displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            write!(f, "{}{error}", if index > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

/// The errors found so far while a file is read.
#[derive(Debug, Default)]
pub(crate) struct ErrorCollector(RefCell<Vec<ConfigError>>);

impl ErrorCollector {
    pub fn add(&self, error: ConfigError) {
        self.0.borrow_mut().push(error);
    }

    /// Returns all errors in the order of their positions, without duplicates.
    pub fn into_errors(self) -> Vec<ConfigError> {
        let mut errors = self.0.into_inner();
        errors.sort();
        errors.dedup();
        errors
    }
}
