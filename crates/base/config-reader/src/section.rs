//! Reads a mapping key by key and collects its errors, including unknown keys.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::document::{self, Node, NodeKind};
use crate::error::{ConfigError, ConfigErrors, ErrorCollector, Position};

/// Parses a file and calls `read_settings` with its top mapping.
///
/// # Errors
/// Returns an error if the file can't be parsed. Otherwise returns all errors that were reported during the call, if any.
pub fn read<T>(text: &str, read_settings: impl FnOnce(&Section<'_>) -> T) -> Result<T, ConfigErrors> {
    let node = document::parse(text).map_err(|error| ConfigErrors(vec![error]))?;
    let errors = ErrorCollector::default();
    let value = {
        let top = Section::from_node(&node, String::new(), &errors);
        read_settings(&top)
    };
    let found = errors.into_errors();
    if found.is_empty() { Ok(value) } else { Err(ConfigErrors(found)) }
}

/// A mapping that is being read.
///
/// Each method that reads a key marks the key as known. Dropping the section reports all other keys of the mapping as unknown.
#[derive(Debug)]
pub struct Section<'a> {
    /// The mapping, or `None` if the file lacks it.
    node: Option<&'a Node>,
    position: Position,
    /// Path of the mapping from the top one. Empty for the top mapping.
    path: String,
    errors: &'a ErrorCollector,
    known_keys: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    /// Creates a section of a node. A node that is neither a mapping nor null is reported as an error.
    fn from_node(node: &'a Node, path: String, errors: &'a ErrorCollector) -> Self {
        let is_map = matches!(node.kind, NodeKind::Map(_));
        if !is_map && node.kind != NodeKind::Null {
            errors.add(ConfigError::new(
                node.position,
                path.clone(),
                format!("a mapping is expected, not {}", node.kind.name()),
            ));
        }
        Section { node: Some(node), position: node.position, path, errors, known_keys: RefCell::default() }
    }

    /// Returns the position at which the mapping begins.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the path of a key from the top mapping.
    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Reports an error of a key. An empty key stands for the mapping itself.
    pub fn report(&self, key: &str, text: impl Into<String>) {
        let position = self.find(key).map_or(self.position, |node| node.position);
        let path = if key.is_empty() { self.path.clone() } else { self.key_path(key) };
        self.errors.add(ConfigError::new(position, path, text));
    }

    /// Returns the node of a key without marking the key as known. Returns `None` if the key is missing.
    fn find(&self, key: &str) -> Option<&'a Node> {
        match &self.node?.kind {
            NodeKind::Map(map) => {
                map.iter().find(|(entry_key, _)| entry_key.name == key).map(|(_, value)| value)
            }
            _ => None,
        }
    }

    /// Returns the node of a key. Returns `None` if the key is missing or null.
    pub fn node(&self, key: &'static str) -> Option<&'a Node> {
        self.known_keys.borrow_mut().insert(key);
        self.find(key).filter(|node| node.kind != NodeKind::Null)
    }

    /// Returns whether a key is present and not null.
    pub fn has(&self, key: &'static str) -> bool {
        self.node(key).is_some()
    }

    /// Reports that the node of a key has another type than `expected`.
    fn report_type(&self, key: &'static str, node: &Node, expected: &str) {
        self.report(key, format!("{expected} is expected, not {}", node.kind.name()));
    }

    /// Returns the mapping of a key. A missing mapping is read as an empty one.
    pub fn section(&self, key: &'static str) -> Section<'a> {
        match self.node(key) {
            Some(node) => Section::from_node(node, self.key_path(key), self.errors),
            None => Section {
                node: None,
                position: self.position,
                path: self.key_path(key),
                errors: self.errors,
                known_keys: RefCell::default(),
            },
        }
    }

    /// Returns the mappings in the list of a key. A missing list is read as an empty one.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let NodeKind::List(list) = &node.kind else {
            self.report_type(key, node, "a list");
            return Vec::new();
        };
        let section =
            |(index, item)| Section::from_node(item, format!("{}[{index}]", self.key_path(key)), self.errors);
        list.iter().enumerate().map(section).collect()
    }

    /// Returns the text of a key. A whole number is read as text too. Returns `None` if the key is missing, and also after an
    /// error.
    pub fn text(&self, key: &'static str) -> Option<String> {
        let node = self.node(key)?;
        match &node.kind {
            NodeKind::Text(text) => Some(text.clone()),
            NodeKind::Int(number) => Some(number.to_string()),
            _ => {
                self.report_type(key, node, "text");
                None
            }
        }
    }

    /// Returns the text of a key that must be present and not blank. Returns an empty string after an error.
    pub fn required_text(&self, key: &'static str) -> String {
        match self.text(key) {
            Some(text) if !text.trim().is_empty() => text,
            Some(_) => {
                self.report(key, "empty");
                String::new()
            }
            None => {
                if !self.has(key) {
                    self.report(key, "missing");
                }
                String::new()
            }
        }
    }

    /// Returns the texts in the list of a key. A missing list is read as an empty one, and invalid items are left out.
    pub fn texts(&self, key: &'static str) -> Vec<String> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let NodeKind::List(list) = &node.kind else {
            self.report_type(key, node, "a list");
            return Vec::new();
        };
        let mut texts = Vec::with_capacity(list.len());
        for item in list {
            match &item.kind {
                NodeKind::Text(text) => texts.push(text.clone()),
                NodeKind::Int(number) => texts.push(number.to_string()),
                other => self.errors.add(ConfigError::new(
                    item.position,
                    self.key_path(key),
                    format!("text is expected, not {}", other.name()),
                )),
            }
        }
        texts
    }

    /// Returns the boolean of a key. Returns `default` if the key is missing, and also after an error.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        match self.node(key) {
            None => default,
            Some(Node { kind: NodeKind::Bool(value), .. }) => *value,
            Some(node) => {
                self.report_type(key, node, "true or false");
                default
            }
        }
    }

    /// Returns the number of a key, which must be in the range. Returns `None` if the key is missing, and also after an error.
    pub fn number(&self, key: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let node = self.node(key)?;
        let number = match node.kind {
            NodeKind::Int(number) => number as f64,
            NodeKind::Float(number) => number,
            _ => {
                self.report_type(key, node, "a number");
                return None;
            }
        };
        if !range.contains(&number) {
            self.report(key, format!("{number} is out of range: {} to {}", range.start(), range.end()));
            return None;
        }
        Some(number)
    }

    /// Returns the number of a key that must be present. Returns the lower bound of the range after an error.
    pub fn required_number(&self, key: &'static str, range: RangeInclusive<f64>) -> f64 {
        if !self.has(key) {
            self.report(key, "missing");
        }
        let start = *range.start();
        self.number(key, range).unwrap_or(start)
    }

    /// Returns the whole number of a key, which must be in the range. Returns `None` if the key is missing, and also after an
    /// error.
    pub fn integer(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let node = self.node(key)?;
        let NodeKind::Int(number) = node.kind else {
            self.report_type(key, node, "a whole number");
            return None;
        };
        let found = u64::try_from(number).ok().filter(|number| range.contains(number));
        if found.is_none() {
            self.report(key, format!("{number} is out of range: {} to {}", range.start(), range.end()));
        }
        found
    }

    /// Returns the whole number of a key that must be present. Returns the lower bound of the range after an error.
    pub fn required_integer(&self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        if !self.has(key) {
            self.report(key, "missing");
        }
        let start = *range.start();
        self.integer(key, range).unwrap_or(start)
    }

    /// Returns the duration of a key, which is written as a whole number of milliseconds in the range. Returns `None` if the key
    /// is missing, and also after an error.
    pub fn millis(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<Duration> {
        self.integer(key, range).map(Duration::from_millis)
    }

    /// Returns the whole numbers in the list of a key. A missing list is read as an empty one, and invalid items are left out.
    pub fn integers(&self, key: &'static str, range: RangeInclusive<u64>) -> Vec<u64> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let NodeKind::List(list) = &node.kind else {
            self.report_type(key, node, "a list");
            return Vec::new();
        };
        let parse_item = |item: &Node| match item.kind {
            NodeKind::Int(number) => u64::try_from(number).ok().filter(|number| range.contains(number)),
            _ => None,
        };
        let found: Vec<u64> = list.iter().filter_map(parse_item).collect();
        if found.len() < list.len() {
            self.report(key, format!("whole numbers from {} to {} are expected", range.start(), range.end()));
        }
        found
    }

    /// Returns the numbers in the list of a key. A missing list is read as an empty one, and invalid items are left out.
    pub fn numbers(&self, key: &'static str, range: RangeInclusive<f64>) -> Vec<f64> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let NodeKind::List(list) = &node.kind else {
            self.report_type(key, node, "a list");
            return Vec::new();
        };
        let parse_item = |item: &Node| match item.kind {
            NodeKind::Int(number) => Some(number as f64),
            NodeKind::Float(number) => Some(number),
            _ => None,
        };
        let found: Vec<f64> =
            list.iter().filter_map(parse_item).filter(|number| range.contains(number)).collect();
        if found.len() < list.len() {
            self.report(key, format!("numbers from {} to {} are expected", range.start(), range.end()));
        }
        found
    }

    /// Returns the lower and the upper bound of a range, which is written as a list of two numbers. Returns `default` if the key
    /// is missing, and also after an error.
    pub fn pair(&self, key: &'static str, range: RangeInclusive<f64>, default: (f64, f64)) -> (f64, f64) {
        if !self.has(key) {
            return default;
        }
        match self.numbers(key, range)[..] {
            [low, high] if low <= high => (low, high),
            _ => {
                self.report(key, "two numbers are expected, the lower first");
                default
            }
        }
    }

    /// Returns the value of the choice whose word is the text of a key. Returns `None` if the key is missing, and also after an
    /// error.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(key)?;
        let found = choices.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        if found.is_none() {
            let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            self.report(key, format!("'{text}' is not one of {}", words.join(", ")));
        }
        found
    }

    /// Returns the index in `names` of the text of a key. Errors describe a name as a `kind`. Returns `None` if the key is missing,
    /// and also after an error.
    pub fn index(&self, key: &'static str, names: &[String], kind: &str) -> Option<usize> {
        let text = self.text(key)?;
        let found = names.iter().position(|name| *name == text);
        if found.is_none() {
            self.report(key, format!("no {kind} is called '{text}'"));
        }
        found
    }

    /// Returns the address of a key, which has a port. Returns `None` if the key is missing, and also after an error.
    pub fn address<T: std::str::FromStr>(&self, key: &'static str) -> Option<T> {
        let text = self.text(key)?;
        let found = text.parse().ok();
        if found.is_none() {
            self.report(key, format!("'{text}' is not an address with a port"));
        }
        found
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        let Some(Node { kind: NodeKind::Map(map), .. }) = self.node else { return };
        let known_keys = self.known_keys.borrow();
        for (key, _) in map {
            if !known_keys.contains(key.name.as_str()) {
                let known: Vec<&str> = known_keys.iter().copied().collect();
                let text = format!("unknown key; known here: {}", known.join(", "));
                self.errors.add(ConfigError::new(key.position, self.key_path(&key.name), text));
            }
        }
    }
}
