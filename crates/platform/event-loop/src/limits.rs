//! Limits on the number of connections, the sizes of buffers and the times of the event loop.

use beechloft::api::Micros;

/// Limits of the event loop's sockets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketLimits {
    /// Maximum number of viewers' connections, including those that are being drained.
    pub max_viewer_connections: usize,
    /// Maximum number of connections to all media servers.
    pub max_server_connections: usize,
    /// Maximum number of connections to one media server.
    pub max_connections_per_server: usize,
    /// Maximum number of bytes of messages that are read ahead and queued on one viewers' connection.
    pub viewer_read_ahead_bytes: usize,
    /// Size of the write buffer of a viewers' connection. The connection is closed if the buffer overflows.
    pub viewer_write_buffer_bytes: usize,
    /// Size of the write buffer of a connection to a media server. The connection is closed if the buffer overflows.
    pub server_write_buffer_bytes: usize,
    /// Maximum number of messages that are handled from one viewers' connection in an iteration of the loop.
    pub viewer_messages_per_iteration: usize,
    /// Number of bytes after which reading one connection to a media server or to the event bus stops for an iteration of
    /// the loop.
    pub upstream_bytes_per_iteration: usize,
    /// Time after which a viewers' connection is closed if it has carried no valid request yet, or if a message on it is
    /// still incomplete.
    pub request_timeout: Micros,
    /// Replaces `request_timeout` on a connection on which further bytes of an incomplete message keep arriving.
    pub slow_sender_timeout: Micros,
    /// Time without further bytes after which an incomplete message counts as stalled.
    pub stall_timeout: Micros,
    /// Maximum time for which a connection that this side has closed is drained until the other side closes it.
    pub drain_timeout: Micros,
    /// Number of drained bytes after which such a connection is closed.
    pub max_drain_bytes: usize,
    /// Idle timeout of a viewers' connection that has carried only tests and refused set-ups.
    pub unused_viewer_timeout: Micros,
    /// Idle timeout of a viewers' connection that has carried a session.
    pub viewer_idle_timeout: Micros,
    /// Timeout of a connect to a media server.
    pub connect_timeout: Micros,
    /// Time after which a media server closes an idle connection. The loop stops using the connection shortly before.
    pub server_idle_timeout: Micros,
    /// Time without received data after which a media server with sessions is checked by a new connection.
    pub server_silence_timeout: Micros,
    /// Time between two connects to an unreachable media server.
    pub reconnect_interval: Micros,
    /// Time after which an unreachable media server counts as lost.
    pub unreachable_timeout: Micros,
    /// Time without received data after which the event bus is requested again on a further connection.
    pub bus_silence_timeout: Micros,
    /// Time without received data after which a connection to the event bus is closed.
    pub bus_response_timeout: Micros,
    /// Delay of the first retry after a failed request to the event bus. Each further failure doubles the delay.
    pub bus_retry_min: Micros,
    /// Maximum delay of a retry while the event bus does not respond.
    pub bus_retry_max: Micros,
    /// Maximum size of an event.
    pub max_event_bytes: usize,
    /// Time after SIGTERM for which new connections and set-ups are still served.
    pub serve_after_sigterm: Micros,
    /// Time after SIGTERM by which all requests are answered.
    pub answer_deadline: Micros,
    /// Time after SIGTERM by which the front node stops.
    pub shutdown_deadline: Micros,
}

/// Values of the configuration from which the limits are derived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitInputs {
    /// Number of file descriptors of the process.
    pub descriptors: usize,
    /// Memory of the process, in MB.
    pub memory_mb: f64,
    /// Longest deadline of all classes.
    pub max_class_deadline: Micros,
    /// Timeout of a connect to a media server.
    pub connect_timeout: Micros,
    /// Time after which a media server closes an idle connection.
    pub server_idle_timeout: Micros,
}

/// Number of file descriptors that are not available for viewers and media servers.
///
/// They cover the standard streams, the poll, the signals, the listener, [`MAX_BUS_CONNECTIONS`], a file and an accepted
/// connection that waits for capacity, with some in reserve.
pub const RESERVED_DESCRIPTORS: usize = 24;

/// Maximum number of connections to the event bus: a stream, and the requests that may wait for a response meanwhile.
pub const MAX_BUS_CONNECTIONS: usize = 5;

/// Minimum number of file descriptors for connections.
const MIN_CONNECTIONS: usize = 16;

/// Minimum number of file descriptors with which a front node can run.
pub const MIN_DESCRIPTORS: usize = RESERVED_DESCRIPTORS + MIN_CONNECTIONS;

/// Upper bound of the class deadline that counts for the time until SIGKILL.
///
/// SIGKILL follows SIGTERM after the longest deadline of a class, but at most this value, plus [`KILL_GRACE`].
const MAX_COUNTED_DEADLINE: Micros = Micros(3_000_000);

/// Time between the end of the longest counted deadline after SIGTERM and SIGKILL.
const KILL_GRACE: Micros = Micros(700_000);

/// Time after SIGTERM during which clients still send requests.
///
/// New connections arrive for 0.2 s to 0.4 s, and requests on open connections for 0.2 s more. Later arrivals are
/// answered too, but clients start no new requests by then.
const ARRIVALS_AFTER_SIGTERM: Micros = Micros(600_000);

/// Time for which requests are served after the last one should have arrived.
const ARRIVAL_MARGIN: Micros = Micros(400_000);

/// Time between the last answers and SIGKILL, in which the answers are transferred.
const ANSWERS_BEFORE_KILL: Micros = Micros(250_000);

/// Time between the stop of the front node and SIGKILL.
const STOP_BEFORE_KILL: Micros = Micros(80_000);

/// Smallest buffer of a viewers' connection: one complete message with its length prefix.
const MIN_VIEWER_BUFFER_BYTES: usize = beechloft_protocol::MAX_MESSAGE_BYTES + 2;

/// Largest buffer of a viewers' connection.
const MAX_VIEWER_BUFFER_BYTES: usize = 64 * 1024;

impl SocketLimits {
    /// Derives limits that fit the file descriptors, the memory and the time until SIGKILL.
    pub fn derive(inputs: &LimitInputs) -> SocketLimits {
        let connections = inputs.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS);
        let max_server_connections = connections * 2 / 5;
        let max_viewer_connections = connections - max_server_connections;
        let viewer_buffer_bytes = viewer_buffer_bytes(inputs.memory_mb, max_viewer_connections);
        let killed_after = inputs.max_class_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE;
        let answer_deadline = killed_after - ANSWERS_BEFORE_KILL;
        SocketLimits {
            max_viewer_connections,
            max_server_connections,
            max_connections_per_server: 8,
            viewer_read_ahead_bytes: viewer_buffer_bytes,
            viewer_write_buffer_bytes: viewer_buffer_bytes,
            server_write_buffer_bytes: 64 * 1024,
            viewer_messages_per_iteration: 8,
            upstream_bytes_per_iteration: 16 * 1024,
            // A connection without a valid request must be closed within 3 s, whatever the deadlines are.
            request_timeout: Micros(1_800_000),
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
            bus_response_timeout: Micros(10_000_000),
            bus_retry_min: Micros(50_000),
            bus_retry_max: Micros(500_000),
            max_event_bytes: 512 * 1024,
            serve_after_sigterm: (ARRIVALS_AFTER_SIGTERM + ARRIVAL_MARGIN).min(answer_deadline),
            answer_deadline,
            shutdown_deadline: killed_after - STOP_BEFORE_KILL,
        }
    }
}

/// Returns the size of the read-ahead and of the write buffer of one viewers' connection.
///
/// The read-ahead of all connections uses at most an eighth of the memory, and so do their write buffers, but each holds one
/// complete message, as an incomplete message cannot be handled.
fn viewer_buffer_bytes(memory_mb: f64, connections: usize) -> usize {
    #[expect(clippy::cast_possible_truncation, reason = "a fraction of a byte; the cast saturates")]
    let budget = (memory_mb.max(1.0) * 1e6 / 8.0) as usize;
    (budget / connections).clamp(MIN_VIEWER_BUFFER_BYTES, MAX_VIEWER_BUFFER_BYTES)
}
