//! Simulates many front nodes in one process with one simulated clock.
//!
//! The front nodes run the production state machines. The network only delays messages, and the media servers count what
//! they receive. The simulation shows load that is harmless from one front node and harmful from all of them at the same
//! instant: health checks, new connections, and set-ups on media servers that started recently. Runs with the same seed
//! are identical.
//!
//! [`Cluster`] contains the clock, the network and the viewers. The module [`media_server`] contains the media servers and
//! their counters, and [`settings`] the settings of the platform.
#![forbid(unsafe_code)]

mod cluster;
pub mod media_server;
pub mod settings;

pub use cluster::{Cluster, Totals};
