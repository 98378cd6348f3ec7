//! The figures of a set-up: `home:4;copies:3;top:4;viewer:00000000b4d65521`.

use thiserror::Error;

use crate::id::hex64;

/// Figures past this make no sense anywhere.
const MOST: f64 = 1e6;

/// What is wrong with a set-up's figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FigureError {
    /// One that must be there is not.
    #[error("the figure {0} is missing")]
    Missing(&'static str),
    /// One is not a number that it can be.
    #[error("the figure {0} makes no sense")]
    Nonsense(&'static str),
}

/// The figures of a set-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Figures {
    /// First cell that holds the title.
    pub home: u32,
    /// How many cells in a row hold it.
    pub copies: u32,
    /// Highest rung that the viewer can use.
    pub top: u32,
    /// The viewer.
    pub viewer: u64,
    /// The viewer comes again.
    pub again: bool,
    /// The session plays at this media server already.
    pub at: Option<String>,
}

fn number(text: &str, name: &'static str) -> Result<u32, FigureError> {
    let value: f64 = text.parse().map_err(|_| FigureError::Nonsense(name))?;
    if (0.0..=MOST).contains(&value) { Ok(value as u32) } else { Err(FigureError::Nonsense(name)) }
}

impl Figures {
    /// Reads them; what is not known is skipped.
    pub fn read(text: &str) -> Result<Figures, FigureError> {
        let (mut home, mut copies, mut top, mut viewer) = (None, None, None, None);
        let (mut again, mut at) = (false, None);
        for part in text.split(';') {
            let Some((name, value)) = part.split_once(':') else { continue };
            match name {
                "home" => home = Some(number(value, "home")?),
                "copies" => copies = Some(number(value, "copies")?),
                "top" => top = Some(number(value, "top")?),
                "viewer" => viewer = Some(hex64(value).map_err(|_| FigureError::Nonsense("viewer"))?),
                "again" => again = value == "1",
                "at" if !value.is_empty() => at = Some(value.to_owned()),
                _ => {}
            }
        }
        Ok(Figures {
            home: home.ok_or(FigureError::Missing("home"))?,
            copies: copies.ok_or(FigureError::Missing("copies"))?,
            top: top.ok_or(FigureError::Missing("top"))?,
            viewer: viewer.ok_or(FigureError::Missing("viewer"))?,
            again,
            at,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_are_read_and_nonsense_is_told() {
        let got = Figures::read("home:4;copies:3;top:4;viewer:00000000b4d65521;again:1;new:9;at:s-1");
        let want =
            Figures { home: 4, copies: 3, top: 4, viewer: 0xb4d6_5521, again: true, at: Some("s-1".into()) };
        assert_eq!(got, Ok(want));
        assert_eq!(Figures::read("home:4"), Err(FigureError::Missing("copies")));
        for bad in ["-1", "NaN", "inf", "1e300", "x", ""] {
            let text = format!("home:{bad};copies:3;top:4;viewer:00000000b4d65521");
            assert_eq!(Figures::read(&text), Err(FigureError::Nonsense("home")), "{bad}");
        }
    }
}
