//! Socket I/O of the front node: one thread that runs one poll loop around the state machine of `beechloft-front-node`.
//!
//! [`EventLoop`] owns all sockets. It passes received messages to the state machine as inputs and executes the outputs
//! that the state machine returns. The loop selects the socket that carries a message and enforces limits of time and
//! size. The policy makes all decisions about media servers, bitrates, retries and refusals.
//!
//! Each iteration reads received data before it checks timeouts, so that a stall of this process does not make media
//! servers look slow. [`limits::SocketLimits`] bounds all buffers, counts and times.
#![forbid(unsafe_code)]

mod buffered_stream;
#[doc(hidden)]
pub mod event_bus;
mod event_loop;
mod fleet;
pub mod limits;
mod servers;
mod signals;
mod startup;
mod time_source;
#[doc(hidden)]
pub mod tokens;
mod viewers;

pub use event_loop::{EventLoop, IterationPhase, LoopStatus};
pub use fleet::FleetHooks;
pub use signals::SignalHandle;
pub use startup::StartError;
