//! A YAML document as a tree whose every node knows its place.

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};

use crate::fault::{Fault, Place};

/// Largest file, bytes.
pub const BYTES: usize = 4 * 1024 * 1024;
/// Deepest nesting.
const DEPTH: usize = 32;

/// What a node is.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// Nothing.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// Any other number.
    Float(f64),
    /// Text.
    Text(String),
    /// A sequence.
    List(Vec<Node>),
    /// A mapping, in the file's order.
    Map(Vec<(Key, Node)>),
}

impl Kind {
    /// What people call it.
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Null => "nothing",
            Kind::Bool(_) => "true or false",
            Kind::Int(_) => "a whole number",
            Kind::Float(_) => "a number",
            Kind::Text(_) => "text",
            Kind::List(_) => "a list",
            Kind::Map(_) => "a mapping",
        }
    }
}

/// A key of a mapping.
#[derive(Debug, Clone, PartialEq)]
pub struct Key {
    /// Its text.
    pub name: String,
    /// Where it stands.
    pub place: Place,
}

/// A node of the tree.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Where it stands.
    pub place: Place,
    /// What it is.
    pub kind: Kind,
}

impl Node {
    /// The node as JSON, which is YAML as well.
    pub fn to_json(&self) -> serde_json::Value {
        use serde_json::Value;
        match &self.kind {
            Kind::Null => Value::Null,
            Kind::Bool(b) => (*b).into(),
            Kind::Int(n) => (*n).into(),
            Kind::Float(x) => (*x).into(),
            Kind::Text(text) => text.as_str().into(),
            Kind::List(list) => list.iter().map(Node::to_json).collect(),
            Kind::Map(map) => Value::Object(map.iter().map(|(k, v)| (k.name.clone(), v.to_json())).collect()),
        }
    }
}

/// Reads one document.
pub fn parse(text: &str) -> Result<Node, Fault> {
    let start = Place { line: 1, column: 1 };
    if text.len() > BYTES {
        return Err(Fault::new(start, "", format!("the file is longer than {BYTES} bytes")));
    }
    let documents = MarkedYaml::load_from_str(text).map_err(|e| {
        let place = Place { line: e.marker().line(), column: e.marker().col() + 1 };
        Fault::new(place, "", format!("not YAML: {}", e.info()))
    })?;
    match documents.as_slice() {
        [one] => node(one, DEPTH),
        [] => Err(Fault::new(start, "", "the file is empty")),
        [_, second, ..] => Err(Fault::new(place(second), "", "a second document; one is expected")),
    }
}

fn place(yaml: &MarkedYaml<'_>) -> Place {
    Place { line: yaml.span.start.line(), column: yaml.span.start.col() + 1 }
}

fn node(yaml: &MarkedYaml<'_>, depth: usize) -> Result<Node, Fault> {
    let place = place(yaml);
    let Some(depth) = depth.checked_sub(1) else {
        return Err(Fault::new(place, "", format!("nested deeper than {DEPTH}")));
    };
    let kind = match &yaml.data {
        YamlData::Value(Scalar::Null) => Kind::Null,
        YamlData::Value(Scalar::Boolean(b)) => Kind::Bool(*b),
        YamlData::Value(Scalar::Integer(n)) => Kind::Int(*n),
        YamlData::Value(Scalar::FloatingPoint(x)) => Kind::Float(x.into_inner()),
        YamlData::Value(Scalar::String(s)) => Kind::Text(s.to_string()),
        YamlData::Sequence(list) => {
            Kind::List(list.iter().map(|n| node(n, depth)).collect::<Result<_, _>>()?)
        }
        YamlData::Mapping(map) => {
            let mut entries = Vec::with_capacity(map.len());
            for (key, value) in map {
                entries.push((self::key(key)?, node(value, depth)?));
            }
            Kind::Map(entries)
        }
        _ => return Err(Fault::new(place, "", "tags and aliases are not used here")),
    };
    Ok(Node { place, kind })
}

fn key(yaml: &MarkedYaml<'_>) -> Result<Key, Fault> {
    let place = place(yaml);
    let name = match &yaml.data {
        YamlData::Value(Scalar::String(s)) => s.to_string(),
        YamlData::Value(Scalar::Integer(n)) => n.to_string(),
        YamlData::Value(Scalar::Boolean(b)) => b.to_string(),
        _ => return Err(Fault::new(place, "", "a key must be text")),
    };
    Ok(Key { name, place })
}
