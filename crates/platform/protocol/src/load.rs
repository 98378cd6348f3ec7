//! Load reports of media servers: `x0:12;x1:40;queue:3`.

/// Values of a report that are read; further ones are ignored.
const MAX_VALUES: usize = 32;

/// A value of a load report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadValue<'a> {
    /// What it measures, by the name that the settings give it.
    pub name: &'a str,
    /// Finite, and not negative.
    pub value: f64,
}

/// The values of a load report in its order. Entries whose value is not a finite number from 0 on are left out.
pub fn parse(text: &str) -> impl Iterator<Item = LoadValue<'_>> {
    text.split(';').take(MAX_VALUES).filter_map(|entry| {
        let (name, value) = entry.split_once(':')?;
        let value: f64 = value.trim().parse().ok()?;
        let is_valid = value.is_finite() && value >= 0.0;
        is_valid.then_some(LoadValue { name: name.trim(), value })
    })
}
