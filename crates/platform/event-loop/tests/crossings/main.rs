//! Tests of concurrent events at the sockets of the front node, with a forced order: data, FIN or RST are in the kernel's
//! buffers before the iteration that handles them.

mod hand_over;
mod phases;
mod servers;
mod shutdown;
#[path = "../support/mod.rs"]
mod support;
mod viewers;
