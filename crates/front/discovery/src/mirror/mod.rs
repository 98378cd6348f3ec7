//! The complete list as it was sent, assembled from a snapshot and its changes.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::Message;

/// The entries of the latest list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Mirror {
    media_servers: BTreeMap<u64, Value>,
    titles: BTreeMap<String, Value>,
}

impl Mirror {
    /// Applies a message. A media server without an id and a title without a name are ignored.
    pub fn apply(&mut self, is_snapshot: bool, message: &Message) {
        if is_snapshot {
            if message.media_servers.is_empty() && !self.media_servers.is_empty() {
                return; // counts as a failure of the list service, as in the session controller's catalog
            }
            *self = Mirror::default();
        }
        for entry in &message.media_servers {
            let Some(id) = entry.get("id").and_then(Value::as_u64) else { continue };
            if entry.get("state").and_then(Value::as_str) == Some("gone") {
                self.media_servers.remove(&id);
            } else {
                self.media_servers.insert(id, entry.clone());
            }
        }
        for name in &message.removed_titles {
            self.titles.remove(name);
        }
        for entry in &message.titles {
            if let Some(name) = entry.get("name").and_then(Value::as_str) {
                self.titles.insert(name.to_owned(), entry.clone());
            }
        }
    }

    /// Returns the complete list as one message.
    pub fn message(&self) -> Message {
        Message {
            media_servers: self.media_servers.values().cloned().collect(),
            titles: self.titles.values().cloned().collect(),
            removed_titles: Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests;
