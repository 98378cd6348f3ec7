//! Settings in YAML. Every key is checked; `beechloft check` reports all errors of a file at once, each with its line.
//!
//! The settings describe a deployment and this front's place in it. What the policy decides is not in them.
#![forbid(unsafe_code)]

mod endpoint_list;
pub mod front;
mod narrow;
pub mod service;

pub use front::FrontSettings;
pub use service::Service;
