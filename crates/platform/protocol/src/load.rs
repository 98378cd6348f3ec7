//! Load reports of media servers, such as `x0:12;x1:40;queue:3`.

/// Maximum number of entries that are parsed. Further entries of a report are ignored.
const MAX_ENTRIES: usize = 32;

/// One value of a load report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadValue<'a> {
    /// Name of the measured quantity, as defined in the settings.
    pub name: &'a str,
    /// Measured value, which is finite and not negative.
    pub value: f64,
}

/// Returns the values of a load report in the order of the report.
///
/// Entries whose value is not a finite, non-negative number are skipped.
pub fn parse(text: &str) -> impl Iterator<Item = LoadValue<'_>> {
    text.split(';').take(MAX_ENTRIES).filter_map(|entry| {
        let (name, value) = entry.split_once(':')?;
        let value: f64 = value.trim().parse().ok()?;
        let is_valid = value.is_finite() && value >= 0.0;
        is_valid.then_some(LoadValue { name: name.trim(), value })
    })
}
