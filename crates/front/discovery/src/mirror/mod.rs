//! The whole list, put together from a snapshot and changes, as it was sent.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::Message;

/// The list as last heard, line by line.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Mirror {
    boxes: BTreeMap<u64, Value>,
    titles: BTreeMap<String, Value>,
}

impl Mirror {
    /// Takes a message over. A media server without a number or a title without a name can't be kept.
    pub fn apply(&mut self, whole: bool, message: &Message) {
        if whole {
            if message.boxes.is_empty() && !self.boxes.is_empty() {
                return; // taken for a failure of the list service, see the session controller's catalog
            }
            *self = Mirror::default();
        }
        for line in &message.boxes {
            let Some(id) = line.get("id").and_then(Value::as_u64) else { continue };
            if line.get("state").and_then(Value::as_str) == Some("gone") {
                self.boxes.remove(&id);
            } else {
                self.boxes.insert(id, line.clone());
            }
        }
        for name in &message.gone {
            self.titles.remove(name);
        }
        for line in &message.titles {
            if let Some(name) = line.get("name").and_then(Value::as_str) {
                self.titles.insert(name.to_owned(), line.clone());
            }
        }
    }

    /// The whole list as one message.
    pub fn message(&self) -> Message {
        let (boxes, titles) =
            (self.boxes.values().cloned().collect(), self.titles.values().cloned().collect());
        Message { boxes, titles, gone: Vec::new() }
    }
}

#[cfg(test)]
mod tests;
