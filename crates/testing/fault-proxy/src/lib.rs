//! Proxies that inject network faults between two processes on loopback. Tests can change the faults at any time.
//!
//! [`TcpProxy`] delays, throttles or blocks the bytes of each direction of a connection. [`udp`] drops, duplicates, delays
//! and reorders datagrams. [`ports`] reserves ports for processes that are to listen there.
#![forbid(unsafe_code)]

pub mod ports;
mod tcp;
pub mod udp;

pub use tcp::{DirectionFault, LinkFault, TcpProxy};

/// Stack size of the threads of proxies, bytes. It is small because there are many threads.
const STACK_BYTES: usize = 128 << 10;
