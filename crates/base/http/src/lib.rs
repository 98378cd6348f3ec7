//! HTTP/1.1 (RFC 9112) on `std::net`, with limits on every size, time and count.
//!
//! The crate `httparse` parses heads, and `http` supplies basic types. This crate adds the framing of bodies, timeouts, and the
//! management of connections. It uses no async runtime. A thread with a small stack, taken from a pool, serves each connection.
#![forbid(unsafe_code)]

pub mod body;
pub mod client;
pub mod limits;
pub mod message;
pub mod server;
pub mod sse;
pub mod wait;

pub use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
pub use limits::Limits;
pub use message::{Request, Response};
