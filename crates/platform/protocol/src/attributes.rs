//! The attributes of a set-up, one parameter of its message: `home:4;copies:3;top:4;viewer:00000000b4d65521`.

use thiserror::Error;

use crate::id::parse_hex64;

/// The maximum of a numeric attribute.
const MAX_VALUE: f64 = 1e6;

/// Why text is not the attributes of a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AttributeError {
    /// A required attribute is missing.
    #[error("the attribute {0} is missing")]
    Missing(&'static str),
    /// An attribute's value is not valid.
    #[error("the attribute {0} is not valid")]
    Invalid(&'static str),
}

/// The attributes of a set-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attributes {
    /// `home`: the first cell that holds the title.
    pub home_cell: u32,
    /// `copies`: how many consecutive cells hold it.
    pub copies: u32,
    /// `top`: the highest rung that the viewer can play.
    pub max_rung: u32,
    /// `viewer`: the viewer's identifier.
    pub viewer: u64,
    /// `again`: the viewer retries.
    pub is_retry: bool,
    /// `at`: the media server that the session plays on already.
    pub playing_at: Option<String>,
}

impl Attributes {
    /// Parses the text of the parameter. Unknown attributes are ignored; of one that repeats the last counts.
    ///
    /// # Errors
    ///
    /// An [`AttributeError`] for an attribute that is missing or not valid.
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
                "home" => home_cell = Some(parse_number(value, "home")?),
                "copies" => copies = Some(parse_number(value, "copies")?),
                "top" => max_rung = Some(parse_number(value, "top")?),
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

/// A number from 0 to [`MAX_VALUE`]; its fraction is dropped.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is checked to be from 0 to MAX_VALUE; its fraction is to be dropped"
)]
fn parse_number(text: &str, name: &'static str) -> Result<u32, AttributeError> {
    let value: f64 = text.parse().map_err(|_| AttributeError::Invalid(name))?;
    if !(0.0..=MAX_VALUE).contains(&value) {
        return Err(AttributeError::Invalid(name));
    }
    Ok(value as u32)
}
