//! Parsing of a YAML document into a tree of nodes with positions.

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};

use crate::error::{ConfigError, Position};

/// Maximum size of a file, bytes.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of nested levels, including the top one.
const MAX_DEPTH: usize = 32;

/// Type and value of a node.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeKind {
    /// A null or an empty value.
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
    /// A mapping in the order of the file.
    Map(Vec<(Key, Node)>),
}

impl NodeKind {
    /// Returns the name of the type for error messages.
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
    /// Text of the key.
    pub name: String,
    /// Position at which the key begins.
    pub position: Position,
}

/// A node of the tree.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Position at which the node begins.
    pub position: Position,
    /// Type and value of the node.
    pub kind: NodeKind,
}

impl Node {
    /// Converts the node to JSON, which is valid YAML too.
    pub fn to_json(&self) -> serde_json::Value {
        use serde_json::Value;
        match &self.kind {
            NodeKind::Null => Value::Null,
            NodeKind::Bool(value) => (*value).into(),
            NodeKind::Int(value) => (*value).into(),
            NodeKind::Float(value) => (*value).into(),
            NodeKind::Text(text) => text.as_str().into(),
            NodeKind::List(list) => list.iter().map(Node::to_json).collect(),
            NodeKind::Map(map) => {
                Value::Object(map.iter().map(|(key, value)| (key.name.clone(), value.to_json())).collect())
            }
        }
    }
}

/// Parses a file that contains exactly one document.
///
/// # Errors
/// Returns an error if the file is too long, is not YAML, has no document or several ones, exceeds the depth of nesting, or uses
/// tags or aliases.
pub fn parse(text: &str) -> Result<Node, ConfigError> {
    let start = Position { line: 1, column: 1 };
    if text.len() > MAX_FILE_BYTES {
        return Err(ConfigError::new(start, "", format!("the file is longer than {MAX_FILE_BYTES} bytes")));
    }
    let documents = MarkedYaml::load_from_str(text).map_err(|error| {
        let position = Position { line: error.marker().line(), column: error.marker().col() + 1 };
        ConfigError::new(position, "", format!("not YAML: {}", error.info()))
    })?;
    match documents.as_slice() {
        [document] => parse_node(document, MAX_DEPTH),
        [] => Err(ConfigError::new(start, "", "the file is empty")),
        [_, second, ..] => Err(ConfigError::new(start_of(second), "", "more than one document")),
    }
}

/// Returns the position at which a node begins. The parser counts lines from 1 and columns from 0.
fn start_of(yaml: &MarkedYaml<'_>) -> Position {
    Position { line: yaml.span.start.line(), column: yaml.span.start.col() + 1 }
}

/// Converts a node with at most `max_depth` nested levels.
fn parse_node(yaml: &MarkedYaml<'_>, max_depth: usize) -> Result<Node, ConfigError> {
    let position = start_of(yaml);
    let Some(child_depth) = max_depth.checked_sub(1) else {
        return Err(ConfigError::new(position, "", format!("nested deeper than {MAX_DEPTH} levels")));
    };
    let kind = match &yaml.data {
        YamlData::Value(Scalar::Null) => NodeKind::Null,
        YamlData::Value(Scalar::Boolean(b)) => NodeKind::Bool(*b),
        YamlData::Value(Scalar::Integer(n)) => NodeKind::Int(*n),
        YamlData::Value(Scalar::FloatingPoint(x)) => NodeKind::Float(x.into_inner()),
        YamlData::Value(Scalar::String(s)) => NodeKind::Text(s.to_string()),
        YamlData::Sequence(list) => {
            NodeKind::List(list.iter().map(|item| parse_node(item, child_depth)).collect::<Result<_, _>>()?)
        }
        YamlData::Mapping(map) => {
            let mut entries = Vec::with_capacity(map.len());
            for (key, value) in map {
                entries.push((parse_key(key)?, parse_node(value, child_depth)?));
            }
            NodeKind::Map(entries)
        }
        _ => return Err(ConfigError::new(position, "", "tags and aliases are not supported")),
    };
    Ok(Node { position, kind })
}

/// Converts a key. Whole numbers and booleans are read as text.
fn parse_key(yaml: &MarkedYaml<'_>) -> Result<Key, ConfigError> {
    let position = start_of(yaml);
    let name = match &yaml.data {
        YamlData::Value(Scalar::String(s)) => s.to_string(),
        YamlData::Value(Scalar::Integer(n)) => n.to_string(),
        YamlData::Value(Scalar::Boolean(b)) => b.to_string(),
        _ => return Err(ConfigError::new(position, "", "a key must be text")),
    };
    Ok(Key { name, position })
}
