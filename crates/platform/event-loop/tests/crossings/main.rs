//! Events that meet at the front node's sockets in one instant, each order forced: bytes, FIN or RST are in the kernel's
//! buffers before the turn that finds them.

mod phases;
mod servers;
mod shutdown;
#[path = "../support/mod.rs"]
mod support;
mod viewers;
