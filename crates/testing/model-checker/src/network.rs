//! Messages in flight between the processes of a model.

use std::sync::Arc;

/// Adds a message to those in flight, unless an equal one is in flight. Models represent duplicates as explicit events.
pub fn insert_unique<T: PartialEq>(in_flight: &mut Vec<Arc<T>>, message: T) {
    if in_flight.iter().all(|other| **other != message) {
        in_flight.push(Arc::new(message));
    }
}
