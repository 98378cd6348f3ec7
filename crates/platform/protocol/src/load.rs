//! Load reports: `x0:12;x1:40;queue:3`.

/// The values of a load report by name; what is not a finite number is absent, and so is what comes past the bound.
pub fn read(text: &str) -> impl Iterator<Item = (&str, f64)> {
    const MOST_VALUES: usize = 32;
    text.split(';').take(MOST_VALUES).filter_map(|part| {
        let (name, value) = part.split_once(':')?;
        let value: f64 = value.trim().parse().ok()?;
        (value.is_finite() && value >= 0.0).then_some((name.trim(), value))
    })
}

#[cfg(test)]
mod tests {
    #[test]
    fn sound_values_are_read_and_others_are_absent() {
        let got: Vec<_> = super::read("x0:12;x1:0.5;queue:NaN;a;b:-1;:3;c:inf").collect();
        assert_eq!(got, [("x0", 12.0), ("x1", 0.5), ("", 3.0)]);
    }
}
