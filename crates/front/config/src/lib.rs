//! Settings in YAML. Every key is checked; `beechloft check` says all faults of a file at once, each with its line.
//!
//! The settings describe a deployment and this front's place in it. What the decision module decides is not in them.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::missing_errors_doc, clippy::wildcard_imports)]
#![forbid(unsafe_code)]

pub mod front;
pub mod list;
pub mod service;

pub use front::FrontSettings;
pub use service::Service;
