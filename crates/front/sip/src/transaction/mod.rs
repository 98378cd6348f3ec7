//! Transactions (RFC 3261, section 17, with RFC 6026): one request and its responses on one hop.
//!
//! Retransmissions are absorbed here: the user of the layer receives each request and each final response once. The
//! exception is a 2xx response to an INVITE. It is end to end, its ACK is up to the user, and each copy is delivered.

pub mod client;
pub mod layer;
pub mod server;

pub use layer::{Input, Key, Layer, Output, Side};

use beechloft_session::api::Micros;

/// Transport of a message. Only TCP retransmits lost data by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Transport {
    /// Unreliable datagrams.
    Udp,
    /// Reliable stream.
    Tcp,
}

impl Transport {
    /// Returns the delay on an unreliable transport, and zero on a reliable one.
    pub(crate) fn unreliable_delay(self, delay: Micros) -> Micros {
        if self == Transport::Udp { delay } else { Micros(0) }
    }
}
