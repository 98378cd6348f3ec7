//! What the sockets may take: counts, sizes and times.

use beechloft::interface::Micros;

/// Bounds of the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Viewers' connections at most.
    pub viewers: usize,
    /// Media servers' connections at most.
    pub servers: usize,
    /// Connections to one media server at most.
    pub per_server: usize,
    /// Bytes that wait to be written on a viewers' connection; past this it is closed.
    pub viewer_out: usize,
    /// The same for media servers.
    pub server_out: usize,
    /// Messages taken from one connection in a turn of the loop.
    pub messages_a_turn: usize,
    /// Bytes read from one connection in a turn of the loop.
    pub bytes_a_turn: usize,
    /// A viewers' connection that has carried nothing good yet is closed after this, and one with a part of a
    /// message too.
    pub unproved: Micros,
    /// One that has carried nothing but tests and what was turned away is closed when nothing came for this long.
    pub viewer_useless: Micros,
    /// One on which a session has stood is closed when nothing came for this long and nothing is open on it.
    pub viewer_idle: Micros,
    /// A connection to a media server that is not up by then has failed.
    pub connect_within: Micros,
    /// A connection to a media server idle for so long is closed there, and not used shortly before.
    pub server_idle: Micros,
    /// A media server at which sessions stand, unheard for so long, is looked at.
    pub silence: Micros,
    /// From one look at a media server that can't be reached to the next.
    pub look_again: Micros,
    /// A media server that can't be reached for so long is lost.
    pub lost_after: Micros,
    /// The event bus, silent for so long, is asked anew.
    pub bus_silence: Micros,
    /// From a failed try at the event bus to the next, at first; doubled by each failure.
    pub bus_again: Micros,
    /// ... up to this.
    pub bus_again_most: Micros,
    /// Bytes of an event.
    pub event_bytes: usize,
    /// After SIGTERM, connections and set-ups are served for so long at least.
    pub serve_on: Micros,
    /// After SIGTERM, the end comes by then.
    pub end_by: Micros,
}

impl Bounds {
    /// Bounds that fit so many descriptors.
    pub fn fit(descriptors: usize, deadline: Micros, connect_within: Micros, server_idle: Micros) -> Bounds {
        // Standard streams, poll, signals, the listener, the event bus, a file, some spare.
        let free = descriptors.saturating_sub(24).max(16);
        let servers = free * 2 / 5;
        Bounds {
            viewers: free - servers,
            servers,
            per_server: 8,
            viewer_out: 64 * 1024,
            server_out: 64 * 1024,
            messages_a_turn: 8,
            bytes_a_turn: 16 * 1024,
            unproved: Micros(1_800_000),
            viewer_useless: Micros(5_000_000),
            viewer_idle: Micros(120_000_000),
            connect_within,
            server_idle,
            silence: Micros(3_000_000),
            look_again: Micros(700_000),
            lost_after: Micros(2_000_000),
            bus_silence: Micros(2_500_000),
            bus_again: Micros(50_000),
            bus_again_most: Micros(500_000),
            event_bytes: 512 * 1024,
            serve_on: Micros(1_000_000),
            end_by: deadline.max(Micros(3_000_000)) + Micros(400_000),
        }
    }
}
