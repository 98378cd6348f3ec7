//! Settings of the session front, read from YAML.
//!
//! Every key is checked, and `beechloft check` reports all errors of a file at once with their lines. The settings describe
//! a deployment and the front's place in it.
#![forbid(unsafe_code)]

mod endpoint_list;
pub mod front;
mod narrow;
pub mod service;

pub use front::FrontSettings;
pub use service::Service;
