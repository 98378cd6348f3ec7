//! Reading a mapping key by key: faults are gathered, unknown keys among them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

pub use crate::fault::{Fault, Faults, Place, Sink};
use crate::yaml::{self, Kind, Node};

/// Reads a whole file: `read` takes what it wants from the top mapping, and all faults come back together.
pub fn read<T>(text: &str, read: impl FnOnce(&Section<'_>) -> T) -> Result<T, Faults> {
    let node = yaml::parse(text).map_err(|f| Faults(vec![f]))?;
    let sink = Sink::default();
    let value = {
        let top = Section::of(&node, String::new(), &sink);
        read(&top)
    };
    let faults = sink.into_faults();
    if faults.is_empty() { Ok(value) } else { Err(Faults(faults)) }
}

/// A mapping that is being read. When it is dropped, keys that nobody asked for are faults.
#[derive(Debug)]
pub struct Section<'a> {
    node: Option<&'a Node>,
    place: Place,
    path: String,
    sink: &'a Sink,
    asked: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    /// A section over a node; one that is no mapping is a fault.
    pub fn of(node: &'a Node, path: String, sink: &'a Sink) -> Self {
        let is_map = matches!(node.kind, Kind::Map(_));
        if !is_map && node.kind != Kind::Null {
            sink.add(Fault::new(
                node.place,
                path.clone(),
                format!("a mapping is expected, not {}", node.kind.name()),
            ));
        }
        Section { node: Some(node), place: node.place, path, sink, asked: RefCell::default() }
    }

    /// Where it begins.
    pub fn place(&self) -> Place {
        self.place
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Notes a fault of a key.
    pub fn fault(&self, key: &str, text: impl Into<String>) {
        let place = self.peek(key).map_or(self.place, |n| n.place);
        let path = if key.is_empty() { self.path.clone() } else { self.key(key) };
        self.sink.add(Fault::new(place, path, text));
    }

    fn peek(&self, key: &str) -> Option<&'a Node> {
        match &self.node?.kind {
            Kind::Map(map) => map.iter().find(|(k, _)| k.name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    /// A key's node, if it is there and not null.
    pub fn node(&self, key: &'static str) -> Option<&'a Node> {
        self.asked.borrow_mut().insert(key);
        self.peek(key).filter(|n| n.kind != Kind::Null)
    }

    /// Whether a key is there.
    pub fn has(&self, key: &'static str) -> bool {
        self.node(key).is_some()
    }

    fn want(&self, key: &'static str, node: &Node, what: &str) {
        self.fault(key, format!("{what} is expected, not {}", node.kind.name()));
    }

    fn missing(&self, key: &'static str) {
        self.fault(key, "missing");
    }

    /// A mapping; a missing one is read as an empty one.
    pub fn section(&self, key: &'static str) -> Section<'a> {
        match self.node(key) {
            Some(node) => Section::of(node, self.key(key), self.sink),
            None => Section {
                node: None,
                place: self.place,
                path: self.key(key),
                sink: self.sink,
                asked: RefCell::default(),
            },
        }
    }

    /// A list of mappings; a missing one is empty.
    pub fn sections(&self, key: &'static str) -> Vec<Section<'a>> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let Kind::List(list) = &node.kind else {
            self.want(key, node, "a list");
            return Vec::new();
        };
        let of = |(n, node)| Section::of(node, format!("{}[{n}]", self.key(key)), self.sink);
        list.iter().enumerate().map(of).collect()
    }

    /// Text, if it is there.
    pub fn text(&self, key: &'static str) -> Option<String> {
        let node = self.node(key)?;
        match &node.kind {
            Kind::Text(text) => Some(text.clone()),
            Kind::Int(n) => Some(n.to_string()),
            _ => {
                self.want(key, node, "text");
                None
            }
        }
    }

    /// Text that must be there and not empty.
    pub fn needed_text(&self, key: &'static str) -> String {
        match self.text(key) {
            Some(text) if !text.trim().is_empty() => text,
            Some(_) => {
                self.fault(key, "empty");
                String::new()
            }
            None => {
                if !self.has(key) {
                    self.missing(key);
                }
                String::new()
            }
        }
    }

    /// A list of texts; a missing one is empty.
    pub fn texts(&self, key: &'static str) -> Vec<String> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let Kind::List(list) = &node.kind else {
            self.want(key, node, "a list");
            return Vec::new();
        };
        let mut texts = Vec::with_capacity(list.len());
        for node in list {
            match &node.kind {
                Kind::Text(text) => texts.push(text.clone()),
                Kind::Int(n) => texts.push(n.to_string()),
                other => self.sink.add(Fault::new(
                    node.place,
                    self.key(key),
                    format!("text is expected, not {}", other.name()),
                )),
            }
        }
        texts
    }

    /// `true` or `false`.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        match self.node(key) {
            None => default,
            Some(Node { kind: Kind::Bool(b), .. }) => *b,
            Some(node) => {
                self.want(key, node, "true or false");
                default
            }
        }
    }

    /// A number within bounds, if it is there.
    pub fn number(&self, key: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let node = self.node(key)?;
        let x = match node.kind {
            Kind::Int(n) => n as f64,
            Kind::Float(x) => x,
            _ => {
                self.want(key, node, "a number");
                return None;
            }
        };
        if !range.contains(&x) {
            self.fault(key, format!("{x} is out of range: {} to {}", range.start(), range.end()));
            return None;
        }
        Some(x)
    }

    /// A number that must be there.
    pub fn needed_number(&self, key: &'static str, range: RangeInclusive<f64>) -> f64 {
        if !self.has(key) {
            self.missing(key);
        }
        let start = *range.start();
        self.number(key, range).unwrap_or(start)
    }

    /// A whole number within bounds, if it is there.
    pub fn whole(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let node = self.node(key)?;
        let Kind::Int(n) = node.kind else {
            self.want(key, node, "a whole number");
            return None;
        };
        let found = u64::try_from(n).ok().filter(|n| range.contains(n));
        if found.is_none() {
            self.fault(key, format!("{n} is out of range: {} to {}", range.start(), range.end()));
        }
        found
    }

    /// A whole number that must be there.
    pub fn needed_whole(&self, key: &'static str, range: RangeInclusive<u64>) -> u64 {
        if !self.has(key) {
            self.missing(key);
        }
        let start = *range.start();
        self.whole(key, range).unwrap_or(start)
    }

    /// A span in milliseconds, if it is there.
    pub fn millis(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<Duration> {
        self.whole(key, range).map(Duration::from_millis)
    }

    /// A list of whole numbers; a missing one is empty.
    pub fn wholes(&self, key: &'static str, range: RangeInclusive<u64>) -> Vec<u64> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let Kind::List(list) = &node.kind else {
            self.want(key, node, "a list");
            return Vec::new();
        };
        let one = |node: &Node| match node.kind {
            Kind::Int(n) => u64::try_from(n).ok().filter(|n| range.contains(n)),
            _ => None,
        };
        let found: Vec<u64> = list.iter().filter_map(one).collect();
        if found.len() < list.len() {
            self.fault(key, format!("whole numbers from {} to {} are expected", range.start(), range.end()));
        }
        found
    }

    /// A list of numbers; a missing one is empty.
    pub fn numbers(&self, key: &'static str, range: RangeInclusive<f64>) -> Vec<f64> {
        let Some(node) = self.node(key) else { return Vec::new() };
        let Kind::List(list) = &node.kind else {
            self.want(key, node, "a list");
            return Vec::new();
        };
        let one = |node: &Node| match node.kind {
            Kind::Int(n) => Some(n as f64),
            Kind::Float(x) => Some(x),
            _ => None,
        };
        let found: Vec<f64> = list.iter().filter_map(one).filter(|x| range.contains(x)).collect();
        if found.len() < list.len() {
            self.fault(key, format!("numbers from {} to {} are expected", range.start(), range.end()));
        }
        found
    }

    /// A span written as a pair, low and high.
    pub fn pair(&self, key: &'static str, range: RangeInclusive<f64>, default: (f64, f64)) -> (f64, f64) {
        if !self.has(key) {
            return default;
        }
        match self.numbers(key, range)[..] {
            [low, high] if low <= high => (low, high),
            _ => {
                self.fault(key, "two numbers are expected, the lower first");
                default
            }
        }
    }

    /// One of some words, if it is there.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(key)?;
        let found = choices.iter().find(|c| c.0 == text).map(|c| c.1);
        if found.is_none() {
            let words: Vec<&str> = choices.iter().map(|c| c.0).collect();
            self.fault(key, format!("'{text}' is not one of {}", words.join(", ")));
        }
        found
    }

    /// The place of a name in a list of names, if the key is there.
    pub fn index(&self, key: &'static str, names: &[String], what: &str) -> Option<usize> {
        let text = self.text(key)?;
        let found = names.iter().position(|n| *n == text);
        if found.is_none() {
            self.fault(key, format!("no {what} is called '{text}'"));
        }
        found
    }

    /// An address with a port, if it is there.
    pub fn address<T: std::str::FromStr>(&self, key: &'static str) -> Option<T> {
        let text = self.text(key)?;
        let found = text.parse().ok();
        if found.is_none() {
            self.fault(key, format!("'{text}' is not an address with a port"));
        }
        found
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        let Some(Node { kind: Kind::Map(map), .. }) = self.node else { return };
        let asked = self.asked.borrow();
        for (key, _) in map {
            if !asked.contains(key.name.as_str()) {
                let known: Vec<&str> = asked.iter().copied().collect();
                let text = format!("unknown key; known here: {}", known.join(", "));
                self.sink.add(Fault::new(key.place, self.key(&key.name), text));
            }
        }
    }
}
