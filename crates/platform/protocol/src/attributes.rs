//! Attributes of a set-up, which are one parameter of its message: `home:4;copies:3;top:4;viewer:00000000b4d65521`.

use thiserror::Error;

use crate::id::parse_hex64;

/// Maximum value of a numeric attribute.
const MAX_ATTRIBUTE_VALUE: f64 = 1e6;

/// Error of parsing the attributes of a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AttributeError {
    /// A required attribute is missing.
    #[error("the attribute {0} is missing")]
    Missing(&'static str),
    /// An attribute's value is not valid.
    #[error("the attribute {0} is not valid")]
    Invalid(&'static str),
}

/// Attributes of a set-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attributes {
    /// First cell that holds the title (`home`).
    pub home_cell: u32,
    /// Number of consecutive cells that hold the title (`copies`).
    pub copies: u32,
    /// Highest rung that the viewer can play (`top`).
    pub max_rung: u32,
    /// Identifier of the viewer (`viewer`).
    pub viewer: u64,
    /// Whether the set-up is a retry of the viewer (`again`).
    pub is_retry: bool,
    /// Name of the media server at which the session is already established (`at`).
    pub playing_at: Option<String>,
}

impl Attributes {
    /// Parses the text of the parameter.
    ///
    /// Unknown attributes are ignored. If an attribute repeats, its last value is used.
    ///
    /// # Errors
    ///
    /// Returns an [`AttributeError`] if an attribute is missing or not valid.
    pub fn parse(text: &str) -> Result<Attributes, AttributeError> {
        let mut home_cell = None;
        let mut copies = None;
        let mut max_rung = None;
        let mut viewer = None;
        let mut is_retry = false;
        let mut playing_at = None;
        for entry in text.split(';') {
            let Some((name, value)) = entry.split_once(':') else { continue };
            match name {
                "home" => home_cell = Some(parse_integer(value, "home")?),
                "copies" => copies = Some(parse_integer(value, "copies")?),
                "top" => max_rung = Some(parse_integer(value, "top")?),
                "viewer" => {
                    viewer = Some(parse_hex64(value).map_err(|_| AttributeError::Invalid("viewer"))?);
                }
                "again" => is_retry = value == "1",
                "at" if !value.is_empty() => playing_at = Some(value.to_owned()),
                _ => {}
            }
        }
        Ok(Attributes {
            home_cell: home_cell.ok_or(AttributeError::Missing("home"))?,
            copies: copies.ok_or(AttributeError::Missing("copies"))?,
            max_rung: max_rung.ok_or(AttributeError::Missing("top"))?,
            viewer: viewer.ok_or(AttributeError::Missing("viewer"))?,
            is_retry,
            playing_at,
        })
    }
}

/// Parses a number from 0 to [`MAX_ATTRIBUTE_VALUE`], and truncates its fraction.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is checked to be from 0 to MAX_ATTRIBUTE_VALUE, and its fraction is truncated"
)]
fn parse_integer(text: &str, name: &'static str) -> Result<u32, AttributeError> {
    let value: f64 = text.parse().map_err(|_| AttributeError::Invalid(name))?;
    if !(0.0..=MAX_ATTRIBUTE_VALUE).contains(&value) {
        return Err(AttributeError::Invalid(name));
    }
    Ok(value as u32)
}
