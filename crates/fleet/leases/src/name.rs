//! Validated names of tasks and instances.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a [`Name`] in bytes.
pub const MAX_NAME_LEN: usize = 96;

/// Name of a task or of an instance, with 1 to [`MAX_NAME_LEN`] ASCII letters, digits, `.`, `-`, `_` and `/`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// Error for a text that is not a valid [`Name`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a name has 1 to {MAX_NAME_LEN} letters, digits, '.', '-', '_' or '/'")]
pub struct NameError;

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Name, NameError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_' | '/');
        let is_valid = !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(is_allowed);
        if is_valid { Ok(Name(text)) } else { Err(NameError) }
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
