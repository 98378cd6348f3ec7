//! What is wrong in a file, and where.

use std::cell::RefCell;
use std::fmt;

/// A place in a file, both counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// Something wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Where.
    pub place: Place,
    /// The key, from the top.
    pub key: String,
    /// What.
    pub text: String,
}

impl Fault {
    /// A fault.
    pub fn new(place: Place, key: impl Into<String>, text: impl Into<String>) -> Self {
        Fault { place, key: key.into(), text: text.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.place.line, self.place.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.text)
    }
}

/// All that is wrong in a file, in its order.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if n > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

/// Gathers faults while a file is read.
#[derive(Debug, Default)]
pub struct Sink(RefCell<Vec<Fault>>);

impl Sink {
    /// Notes one.
    pub fn add(&self, fault: Fault) {
        self.0.borrow_mut().push(fault);
    }

    /// All that were noted, in the order of the file, each once.
    pub fn into_faults(self) -> Vec<Fault> {
        let mut faults = self.0.into_inner();
        faults.sort();
        faults.dedup();
        faults
    }
}
