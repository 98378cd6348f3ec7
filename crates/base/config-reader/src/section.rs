//! Reads a mapping key by key and collects errors, unknown keys among them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::document::{self, Node, NodeKind};
use crate::error::{ConfigError, ConfigErrors, ErrorCollector, Position};

/// Reads a whole file: `read` takes the values that it needs from the top mapping.
///
/// # Errors
/// All errors of the file: that it is no YAML, or everything that was reported while `read` ran.
pub fn read<T>(text: &str, read: impl FnOnce(&Section<'_>) -> T) -> Result<T, ConfigErrors> {
    let node = document::parse(text).map_err(|error| ConfigErrors(vec![error]))?;
    let errors = ErrorCollector::default();
    let value = {
        let top = Section::of(&node, String::new(), &errors);
        read(&top)
    };
    let found = errors.into_errors();
    if found.is_empty() { Ok(value) } else { Err(ConfigErrors(found)) }
}

/// A mapping that is being read. When it is dropped, keys that were never asked for are reported as unknown.
#[derive(Debug)]
pub struct Section<'a> {
    node: Option<&'a Node>,
    position: Position,
    path: String,
    errors: &'a ErrorCollector,
    known_keys: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    /// A section over a node; a node that is no mapping is reported.
    fn of(node: &'a Node, path: String, errors: &'a ErrorCollector) -> Self {
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

    /// Where the mapping begins.
    pub fn position(&self) -> Position {
        self.position
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Reports an error of a key; of the mapping itself if the key is empty.
    pub fn report(&self, key: &str, text: impl Into<String>) {
        let position = self.peek(key).map_or(self.position, |n| n.position);
        let path = if key.is_empty() { self.path.clone() } else { self.key(key) };
        self.errors.add(ConfigError::new(position, path, text));
    }

    fn peek(&self, key: &str) -> Option<&'a Node> {
        match &self.node?.kind {
            NodeKind::Map(map) => map.iter().find(|(k, _)| k.name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    /// The node of a key, if the key is there and not null.
    pub fn node(&self, key: &'static str) -> Option<&'a Node> {
        self.known_keys.borrow_mut().insert(key);
        self.peek(key).filter(|n| n.kind != NodeKind::Null)
    }

    /// Whether a key is there.
    pub fn has(&self, key: &'static str) -> bool {
        self.node(key).is_some()
    }

    fn report_type(&self, key: &'static str, node: &Node, what: &str) {
        self.report(key, format!("{what} is expected, not {}", node.kind.name()));
    }

    /// A mapping; a missing one is read as an empty one.
    pub fn section(&self, key: &'static str) -> Section<'a> {
        match self.node(key) {
            Some(node) => Section::of(node, self.key(key), self.errors),
            None => Section {
                node: None,
                position: self.position,
                path: self.key(key),
                errors: self.errors,
                known_keys: RefCell::default(),
            },
        }
    }

    /// A list of mappings; a missing one is empty.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let NodeKind::List(list) = &node.kind else {
            self.report_type(key, node, "a list");
            return Vec::new();
        };
        let of = |(index, item)| Section::of(item, format!("{}[{index}]", self.key(key)), self.errors);
        list.iter().enumerate().map(of).collect()
    }

    /// Text, if the key is there. A whole number is read as text too.
    pub fn text(&self, key: &'static str) -> Option<String> {
        let node = self.node(key)?;
        match &node.kind {
            NodeKind::Text(text) => Some(text.clone()),
            NodeKind::Int(n) => Some(n.to_string()),
            _ => {
                self.report_type(key, node, "text");
                None
            }
        }
    }

    /// Text that must be there and not be blank; an empty string after an error.
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

    /// A list of texts; a missing one is empty.
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
                NodeKind::Int(n) => texts.push(n.to_string()),
                other => self.errors.add(ConfigError::new(
                    item.position,
                    self.key(key),
                    format!("text is expected, not {}", other.name()),
                )),
            }
        }
        texts
    }

    /// `true` or `false`; `default` if the key is not there.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        match self.node(key) {
            None => default,
            Some(Node { kind: NodeKind::Bool(b), .. }) => *b,
            Some(node) => {
                self.report_type(key, node, "true or false");
                default
            }
        }
    }

    /// A number within bounds, if it is there.
    pub fn number(&self, key: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let node = self.node(key)?;
        let x = match node.kind {
            NodeKind::Int(n) => n as f64,
            NodeKind::Float(x) => x,
            _ => {
                self.report_type(key, node, "a number");
                return None;
            }
        };
        if !range.contains(&x) {
            self.report(key, format!("{x} is out of range: {} to {}", range.start(), range.end()));
            return None;
        }
        Some(x)
    }

    /// A number that must be there; the lower bound after an error.
    pub fn required_number(&self, key: &'static str, range: RangeInclusive<f64>) -> f64 {
        if !self.has(key) {
            self.report(key, "missing");
        }
        let start = *range.start();
        self.number(key, range).unwrap_or(start)
    }

    /// A whole number within bounds, if it is there.
    pub fn integer(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let node = self.node(key)?;
        let NodeKind::Int(n) = node.kind else {
            self.report_type(key, node, "a whole number");
            return None;
        };
        let found = u64::try_from(n).ok().filter(|n| range.contains(n));
        if found.is_none() {
            self.report(key, format!("{n} is out of range: {} to {}", range.start(), range.end()));
        }
        found
    }

    /// A whole number that must be there; the lower bound after an error.
    pub fn required_integer(&self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        if !self.has(key) {
            self.report(key, "missing");
        }
        let start = *range.start();
        self.integer(key, range).unwrap_or(start)
    }

    /// A duration in milliseconds, if the key is there.
    pub fn millis(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<Duration> {
        self.integer(key, range).map(Duration::from_millis)
    }

    /// A list of whole numbers; a missing one is empty.
    pub fn integers(&self, key: &'static str, range: RangeInclusive<u64>) -> Vec<u64> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let NodeKind::List(list) = &node.kind else {
            self.report_type(key, node, "a list");
            return Vec::new();
        };
        let one = |item: &Node| match item.kind {
            NodeKind::Int(n) => u64::try_from(n).ok().filter(|n| range.contains(n)),
            _ => None,
        };
        let found: Vec<u64> = list.iter().filter_map(one).collect();
        if found.len() < list.len() {
            self.report(key, format!("whole numbers from {} to {} are expected", range.start(), range.end()));
        }
        found
    }

    /// A list of numbers; a missing one is empty.
    pub fn numbers(&self, key: &'static str, range: RangeInclusive<f64>) -> Vec<f64> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let NodeKind::List(list) = &node.kind else {
            self.report_type(key, node, "a list");
            return Vec::new();
        };
        let one = |item: &Node| match item.kind {
            NodeKind::Int(n) => Some(n as f64),
            NodeKind::Float(x) => Some(x),
            _ => None,
        };
        let found: Vec<f64> = list.iter().filter_map(one).filter(|x| range.contains(x)).collect();
        if found.len() < list.len() {
            self.report(key, format!("numbers from {} to {} are expected", range.start(), range.end()));
        }
        found
    }

    /// A range written as a list of two numbers, the lower first; `default` if the key is not there.
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

    /// One of the given words, if the key is there.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(key)?;
        let found = choices.iter().find(|c| c.0 == text).map(|c| c.1);
        if found.is_none() {
            let words: Vec<&str> = choices.iter().map(|c| c.0).collect();
            self.report(key, format!("'{text}' is not one of {}", words.join(", ")));
        }
        found
    }

    /// The index of a name in a list of names, if the key is there.
    pub fn index(&self, key: &'static str, names: &[String], what: &str) -> Option<usize> {
        let text = self.text(key)?;
        let found = names.iter().position(|n| *n == text);
        if found.is_none() {
            self.report(key, format!("no {what} is called '{text}'"));
        }
        found
    }

    /// An address with a port, if the key is there.
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
                self.errors.add(ConfigError::new(key.position, self.key(&key.name), text));
            }
        }
    }
}
