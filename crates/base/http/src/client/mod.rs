//! A client with a connection pool. Pending exchanges can be polled together with other sockets.

mod connection;
mod exchange;
mod pool;
mod stream_requests;

use std::io;

use thiserror::Error;

use crate::message::HeadError;

pub use connection::Conn;
pub use exchange::{Exchange, Stream};
pub use pool::Pool;
pub use stream_requests::StreamRequests;

/// Error of a call. The variants distinguish whether the server may have processed the request.
#[derive(Debug, Error)]
pub enum CallError {
    /// No process listens at the address, so nothing was sent.
    #[error("connection refused")]
    Refused,
    /// The connection could not be established, so nothing was sent.
    #[error("failed to connect: {0}")]
    Connect(io::Error),
    /// The deadline passed before the request was sent or the response was complete.
    #[error("call timed out")]
    TimedOut,
    /// The connection broke before the response was complete.
    #[error("connection lost: {0}")]
    Broken(io::Error),
    /// The response is not HTTP or exceeds a limit.
    #[error("invalid response: {0}")]
    InvalidResponse(#[from] HeadError),
}
