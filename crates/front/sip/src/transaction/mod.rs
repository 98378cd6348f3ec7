//! Transactions (RFC 3261, section 17, with RFC 6026): one request and its responses on one hop.
//!
//! A retransmission is absorbed here and never reaches the user of the layer: a request is told once, a final response
//! once. Only 2xx responses to INVITE are told each time, since they go from end to end and their ACK is the user's.

pub mod client;
pub mod layer;
pub mod server;

pub use layer::{Input, Key, Layer, Output, Side};

use beechloft_session::api::Micros;

/// Whether the transport repeats lost data by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Transport {
    /// Datagrams.
    Udp,
    /// A stream.
    Tcp,
}

impl Transport {
    /// A pause that only datagrams need: none on a stream.
    pub(crate) fn wait(self, pause: Micros) -> Micros {
        if self == Transport::Udp { pause } else { Micros(0) }
    }
}
