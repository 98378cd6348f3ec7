//! Errors of a settings file, each with its position.

use std::cell::RefCell;
use std::fmt;

use thiserror::Error;

/// A position in a file. Line and column are counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// One error of a settings file. Errors are ordered by position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Error)]
pub struct ConfigError {
    /// Where the value, or the mapping that lacks it, begins.
    pub position: Position,
    /// Path of the key from the top mapping, such as `service.classes[0].aim_ms`; empty for an error of the whole file.
    pub key: String,
    /// What is wrong.
    pub text: String,
}

impl ConfigError {
    /// An error at a position.
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

/// All errors of a file, in the order of their positions, one on each line when displayed.
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

/// Collects errors while a file is read.
#[derive(Debug, Default)]
pub(crate) struct ErrorCollector(RefCell<Vec<ConfigError>>);

impl ErrorCollector {
    /// Adds an error.
    pub fn add(&self, error: ConfigError) {
        self.0.borrow_mut().push(error);
    }

    /// All errors in the order of their positions, without duplicates.
    pub fn into_errors(self) -> Vec<ConfigError> {
        let mut errors = self.0.into_inner();
        errors.sort();
        errors.dedup();
        errors
    }
}
