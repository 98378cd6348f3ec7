//! Many front nodes in one process under one simulated clock: the real state machines, a network that only delays, and
//! media servers that count what they receive.
//!
//! It shows what is harmless in one front node and harmful in all of them at the same instant: health checks, new
//! connections, and set-ups on media servers that started lately. The same seed gives the same run.
//!
//! [`Cluster`] holds the clock, the network and the viewers; [`media_server`] the media servers and their counts;
//! [`settings`] the settings of the platform.
#![forbid(unsafe_code)]

mod cluster;
pub mod media_server;
pub mod settings;

pub use cluster::{Cluster, Totals};
