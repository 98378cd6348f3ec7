//! The front node on sockets: one thread, one poll loop around the state machine of `beechloft-front-node`.
//!
//! [`EventLoop`] owns all sockets. It passes what arrives to the state machine as inputs and carries out the machine's
//! outputs. The loop decides which socket carries a message, and for how long and up to which size; every choice of
//! server, bitrate, retry and refusal is the policy's.
//!
//! What has arrived is read before timeouts are checked, so that a stall of this process does not make media servers
//! look slow. All buffers, counts and times are bounded by [`limits::SocketLimits`].
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

pub use event_loop::{EventLoop, LoopStatus, TurnPhase};
pub use fleet::FleetHooks;
pub use signals::SignalHandle;
pub use startup::StartError;
