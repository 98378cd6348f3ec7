//! HTTP/1.1 (RFC 9112) on `std::net`, with a bound on every size, time and count.
//!
//! Heads are parsed by `httparse`, terms come from `http`; what is here is the framing of bodies, the waiting, and
//! the accounting of connections. No async runtime: a connection is a thread with a small stack, taken from a pool.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, clippy::shadow_unrelated)]
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
