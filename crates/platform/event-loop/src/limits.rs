//! Limits of the sockets: counts, sizes and times.

use beechloft::api::Micros;

/// Limits of the loop's sockets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketLimits {
    /// Viewers' connections at most, those being drained included.
    pub max_viewer_connections: usize,
    /// Connections to media servers at most.
    pub max_server_connections: usize,
    /// Connections to one media server at most.
    pub max_connections_per_server: usize,
    /// Bytes of messages that are read ahead on one viewers' connection and wait for their turn.
    pub viewer_read_ahead_bytes: usize,
    /// Bytes that wait to be written on a viewers' connection; past this it is closed.
    pub viewer_write_buffer_bytes: usize,
    /// Bytes that wait to be written on a connection to a media server; past this it is closed.
    pub server_write_buffer_bytes: usize,
    /// Messages taken from one viewers' connection in a turn of the loop.
    pub viewer_messages_per_turn: usize,
    /// Bytes read from one connection to a media server or the event bus in a turn of the loop.
    pub upstream_bytes_per_turn: usize,
    /// A viewers' connection is closed after this time if it has carried no valid request yet, or holds a part of a message.
    pub unproven_timeout: Micros,
    /// The same for a connection on which a part of a message goes on arriving.
    pub slow_sender_timeout: Micros,
    /// A part of a message has stopped arriving once nothing more of it came for this time.
    pub stall_timeout: Micros,
    /// A connection that this side has closed is drained for this time at most, until the other side closes it.
    pub drain_timeout: Micros,
    /// Bytes that are drained from such a connection at most.
    pub max_drain_bytes: usize,
    /// A connection that has carried only tests and refused set-ups is closed when nothing came for this time.
    pub unused_viewer_timeout: Micros,
    /// A connection that has carried a session, and has none now, is closed when nothing came for this time.
    pub viewer_idle_timeout: Micros,
    /// A connect to a media server that takes longer has failed.
    pub connect_timeout: Micros,
    /// A media server closes a connection that is idle for this time; the loop stops using it shortly before.
    pub server_idle_timeout: Micros,
    /// A media server with sessions is checked by a new connection when nothing came from it for this time.
    pub server_silence_timeout: Micros,
    /// From one connect to a media server that can't be reached to the next.
    pub reconnect_interval: Micros,
    /// A media server that can't be reached for this time is lost.
    pub unreachable_timeout: Micros,
    /// The event bus is requested again when nothing came from it for this time.
    pub bus_silence_timeout: Micros,
    /// The first wait after a failed request to the event bus; each further failure doubles it.
    pub bus_retry_min: Micros,
    /// The longest such wait.
    pub bus_retry_max: Micros,
    /// Bytes of an event at most.
    pub max_event_bytes: usize,
    /// After SIGTERM, new connections and set-ups are served for this time at least.
    pub serve_after_sigterm: Micros,
    /// After SIGTERM, everything owed is answered within this time.
    pub answer_deadline: Micros,
    /// After SIGTERM, the front node stops within this time.
    pub shutdown_deadline: Micros,
}

/// What the limits are derived from: the configuration's limits and the settings' times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitInputs {
    /// Descriptors of the process.
    pub descriptors: usize,
    /// Its memory, in MB.
    pub memory_mb: f64,
    /// The longest deadline of all classes.
    pub max_class_deadline: Micros,
    /// A connect to a media server that takes longer has failed.
    pub connect_timeout: Micros,
    /// A media server closes a connection that is idle for this time.
    pub server_idle_timeout: Micros,
}

/// Descriptors that are no connections: standard streams, poll, signals, the listener, the event bus, a file, a connection
/// that is accepted and waits for capacity, some spare.
pub const RESERVED_DESCRIPTORS: usize = 24;

/// Descriptors for connections at least.
const MIN_CONNECTIONS: usize = 16;

/// With fewer descriptors a front node can't work.
pub const MIN_DESCRIPTORS: usize = RESERVED_DESCRIPTORS + MIN_CONNECTIONS;

/// SIGKILL comes no sooner after SIGTERM than the longest deadline of a class, counted up to this, ...
const MAX_COUNTED_DEADLINE: Micros = Micros(3_000_000);

/// ... plus this.
const KILL_GRACE: Micros = Micros(700_000);

/// Requests arrive for up to 0.6 s after SIGTERM: new connections for 0.2 to 0.4 s, and requests on open ones for 0.2 s more.
/// Requests that come later are owed their answer too, but no more are begun.
const ARRIVALS_AFTER_SIGTERM: Micros = Micros(600_000);

/// Requests are served for this time after the last should have arrived.
const ARRIVAL_MARGIN: Micros = Micros(400_000);

/// Answers are given so long before SIGKILL, so that they have time to leave.
const ANSWERS_BEFORE_KILL: Micros = Micros(250_000);

/// The front node stops so long before SIGKILL.
const STOP_BEFORE_KILL: Micros = Micros(80_000);

/// The smallest and the largest read-ahead of a viewers' connection: a whole message, and 64 KiB.
const MIN_READ_AHEAD_BYTES: usize = beechloft_protocol::MAX_MESSAGE_BYTES + 2;
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

impl SocketLimits {
    /// Derives limits that keep within the descriptors, the memory and the time until SIGKILL.
    pub fn derive(inputs: &LimitInputs) -> SocketLimits {
        let connections = inputs.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS);
        let max_server_connections = connections * 2 / 5;
        let max_viewer_connections = connections - max_server_connections;
        let killed_after = inputs.max_class_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE;
        let answer_deadline = killed_after - ANSWERS_BEFORE_KILL;
        SocketLimits {
            max_viewer_connections,
            max_server_connections,
            max_connections_per_server: 8,
            viewer_read_ahead_bytes: read_ahead_bytes(inputs.memory_mb, max_viewer_connections),
            viewer_write_buffer_bytes: 64 * 1024,
            server_write_buffer_bytes: 64 * 1024,
            viewer_messages_per_turn: 8,
            upstream_bytes_per_turn: 16 * 1024,
            // A client that sends no valid request must see its connection end within 3 s, whatever the deadlines.
            unproven_timeout: Micros(1_800_000),
            slow_sender_timeout: Micros(2_600_000),
            stall_timeout: Micros(700_000),
            drain_timeout: Micros(300_000),
            max_drain_bytes: 256 * 1024,
            unused_viewer_timeout: Micros(5_000_000),
            viewer_idle_timeout: Micros(120_000_000),
            connect_timeout: inputs.connect_timeout,
            server_idle_timeout: inputs.server_idle_timeout,
            server_silence_timeout: Micros(3_000_000),
            reconnect_interval: Micros(700_000),
            unreachable_timeout: Micros(2_000_000),
            bus_silence_timeout: Micros(2_500_000),
            bus_retry_min: Micros(50_000),
            bus_retry_max: Micros(500_000),
            max_event_bytes: 512 * 1024,
            serve_after_sigterm: (ARRIVALS_AFTER_SIGTERM + ARRIVAL_MARGIN).min(answer_deadline),
            answer_deadline,
            shutdown_deadline: killed_after - STOP_BEFORE_KILL,
        }
    }
}

/// An eighth of the memory for what is read ahead, if all viewers' connections read as much as they may; a whole message at
/// least, as a message can be handled only once it is read wholly.
fn read_ahead_bytes(memory_mb: f64, connections: usize) -> usize {
    #[expect(clippy::cast_possible_truncation, reason = "a fraction of a byte; the cast saturates")]
    let budget = (memory_mb.max(1.0) * 1e6 / 8.0) as usize;
    (budget / connections).clamp(MIN_READ_AHEAD_BYTES, MAX_READ_AHEAD_BYTES)
}
