//! Network faults between two processes on loopback, which tests may change at any time.
//!
//! [`TcpProxy`] delays, throttles or blocks the bytes of each direction of a connection. [`udp`] drops, duplicates, delays
//! and reorders datagrams. [`ports`] reserves ports for processes that are to listen there.
#![forbid(unsafe_code)]

pub mod ports;
mod tcp;
pub mod udp;

pub use tcp::{DirectionFault, LinkFault, TcpProxy};

/// Of the proxies' threads, which need little and are many.
const STACK_BYTES: usize = 128 << 10;
