//! A YAML document as a tree of nodes with positions.

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};

use crate::error::{ConfigError, Position};

/// Maximum size of a file, bytes.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum depth of nesting.
const MAX_DEPTH: usize = 32;

/// The type of a node, with its value.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeKind {
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

impl NodeKind {
    /// What the type is called in error messages.
    pub fn name(&self) -> &'static str {
        match self {
            NodeKind::Null => "nothing",
            NodeKind::Bool(_) => "true or false",
            NodeKind::Int(_) => "a whole number",
            NodeKind::Float(_) => "a number",
            NodeKind::Text(_) => "text",
            NodeKind::List(_) => "a list",
            NodeKind::Map(_) => "a mapping",
        }
    }
}

/// A key of a mapping.
#[derive(Debug, Clone, PartialEq)]
pub struct Key {
    /// The text of the key.
    pub name: String,
    /// Where it begins.
    pub position: Position,
}

/// A node of the tree.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Where it begins.
    pub position: Position,
    /// Its type and value.
    pub kind: NodeKind,
}

impl Node {
    /// The node as JSON, which is YAML as well.
    pub fn to_json(&self) -> serde_json::Value {
        use serde_json::Value;
        match &self.kind {
            NodeKind::Null => Value::Null,
            NodeKind::Bool(b) => (*b).into(),
            NodeKind::Int(n) => (*n).into(),
            NodeKind::Float(x) => (*x).into(),
            NodeKind::Text(text) => text.as_str().into(),
            NodeKind::List(list) => list.iter().map(Node::to_json).collect(),
            NodeKind::Map(map) => {
                Value::Object(map.iter().map(|(k, v)| (k.name.clone(), v.to_json())).collect())
            }
        }
    }
}

/// Parses a file of exactly one document.
///
/// # Errors
/// The file is too long or no YAML, has no document or several, is nested too deep, or uses tags or aliases.
pub fn parse(text: &str) -> Result<Node, ConfigError> {
    let start = Position { line: 1, column: 1 };
    if text.len() > MAX_FILE_BYTES {
        return Err(ConfigError::new(start, "", format!("the file is longer than {MAX_FILE_BYTES} bytes")));
    }
    let documents = MarkedYaml::load_from_str(text).map_err(|e| {
        let position = Position { line: e.marker().line(), column: e.marker().col() + 1 };
        ConfigError::new(position, "", format!("not YAML: {}", e.info()))
    })?;
    match documents.as_slice() {
        [one] => node(one, MAX_DEPTH),
        [] => Err(ConfigError::new(start, "", "the file is empty")),
        [_, second, ..] => Err(ConfigError::new(position(second), "", "a second document; one is expected")),
    }
}

fn position(yaml: &MarkedYaml<'_>) -> Position {
    Position { line: yaml.span.start.line(), column: yaml.span.start.col() + 1 }
}

fn node(yaml: &MarkedYaml<'_>, depth: usize) -> Result<Node, ConfigError> {
    let position = position(yaml);
    let Some(depth) = depth.checked_sub(1) else {
        return Err(ConfigError::new(position, "", format!("nested deeper than {MAX_DEPTH}")));
    };
    let kind = match &yaml.data {
        YamlData::Value(Scalar::Null) => NodeKind::Null,
        YamlData::Value(Scalar::Boolean(b)) => NodeKind::Bool(*b),
        YamlData::Value(Scalar::Integer(n)) => NodeKind::Int(*n),
        YamlData::Value(Scalar::FloatingPoint(x)) => NodeKind::Float(x.into_inner()),
        YamlData::Value(Scalar::String(s)) => NodeKind::Text(s.to_string()),
        YamlData::Sequence(list) => {
            NodeKind::List(list.iter().map(|n| node(n, depth)).collect::<Result<_, _>>()?)
        }
        YamlData::Mapping(map) => {
            let mut entries = Vec::with_capacity(map.len());
            for (key, value) in map {
                entries.push((self::key(key)?, node(value, depth)?));
            }
            NodeKind::Map(entries)
        }
        _ => return Err(ConfigError::new(position, "", "tags and aliases are not used here")),
    };
    Ok(Node { position, kind })
}

fn key(yaml: &MarkedYaml<'_>) -> Result<Key, ConfigError> {
    let position = position(yaml);
    let name = match &yaml.data {
        YamlData::Value(Scalar::String(s)) => s.to_string(),
        YamlData::Value(Scalar::Integer(n)) => n.to_string(),
        YamlData::Value(Scalar::Boolean(b)) => b.to_string(),
        _ => return Err(ConfigError::new(position, "", "a key must be text")),
    };
    Ok(Key { name, position })
}
